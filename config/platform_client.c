#include "config/platform_client.h"
#include "common/counters.h"
#include "config/objects.h"
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CONNECT_TIMEOUT_MS = 500,
  CALL_TIMEOUT_MS = 2000,
  WATCH_MARGIN_MS = 2000, /* time to respond after a watch has timed out */
  MAX_RESPONSE_BYTES = 64 * 1024 * 1024,
  HTTP_OK = 200,
  HTTP_NOT_FOUND = 404,
  HTTP_CONFLICT = 409,
  HTTP_SERVER_ERROR = 500,
};

struct pending_request
{
  platform_handler *handle;
  void *data;
};

/* Initialises a client of the object API at URL.  */
void
platform_init (struct platform_client *platform, struct fetcher *fetcher,
               const char *url)
{
  platform->fetcher = fetcher;
  platform->url = xstrdup (url);
  platform->timeout_ms = CALL_TIMEOUT_MS;
}

/* Frees the members that platform_init allocated.  */
void
platform_release (struct platform_client *platform)
{
  free (platform->url);
  platform->url = NULL;
}

static enum platform_status
classify_result (const struct fetch_result *result, const json_t *body)
{
  if (!result->complete)
    return result->sent ? PLATFORM_OUTCOME_UNKNOWN : PLATFORM_NOT_SENT;
  if (result->status == HTTP_NOT_FOUND)
    return PLATFORM_NOT_FOUND;
  if (result->status == HTTP_CONFLICT)
    return PLATFORM_CONFLICT;
  if (result->status >= HTTP_SERVER_ERROR)
    return PLATFORM_OUTCOME_UNKNOWN;
  if (result->status != HTTP_OK)
    return PLATFORM_REJECTED;
  return body ? PLATFORM_OK : PLATFORM_OUTCOME_UNKNOWN;
}

static void
handle_done (void *data, const struct fetch_result *result)
{
  struct pending_request *request = data;
  json_t *body = objects_parse_reply ((struct json_span){
      result->body->data ? result->body->data : "", result->body->len });
  struct platform_response response
      = { .status = classify_result (result, body),
          .version
          = (uint64_t)json_integer_value (json_object_get (body, "version")),
          .body = body };

  request->handle (request->data, &response);
  json_decref (body);
}

static struct fetch *
start_request (struct platform_client *platform, const char *method, char *url,
               const json_t *value, int64_t timeout_ms,
               platform_handler *handle, void *data)
{
  static const char *const headers[]
      = { "Content-Type: application/json", NULL };
  struct pending_request *request = xcalloc (1, sizeof *request);
  char *body
      = value ? json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
  struct fetch_options options = { .method = method,
                                   .url = url,
                                   .headers = headers,
                                   .body = body,
                                   .body_len = body ? strlen (body) : 0,
                                   .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                                   .timeout_ms = timeout_ms,
                                   .max_body_bytes = MAX_RESPONSE_BYTES,
                                   .handle_done = handle_done,
                                   .release_data = free,
                                   .data = request };
  struct fetch *fetch;

  request->handle = handle;
  request->data = data;
  counter_add (COUNTER_PLATFORM_CALLS, 1);
  fetch = fetch_start (platform->fetcher, &options);
  free (body);
  free (url);
  return fetch;
}

/* Reads one object.  The response body has the members kind, name, version and
   data.  */
struct fetch *
platform_get (struct platform_client *platform, const char *kind,
              const char *name, platform_handler *handle, void *data)
{
  return start_request (
      platform, "GET",
      xasprintf ("%s/objects/%s/%s", platform->url, kind, name), NULL,
      platform->timeout_ms, handle, data);
}

/* Reads all objects of KINDS, a comma-separated list.  */
struct fetch *
platform_list (struct platform_client *platform, const char *kinds,
               platform_handler *handle, void *data)
{
  return start_request (
      platform, "GET", xasprintf ("%s/objects?kinds=%s", platform->url, kinds),
      NULL, platform->timeout_ms, handle, data);
}

/* Waits up to TIMEOUT_MS for changes of objects of KINDS, a comma-separated
   list, after revision SINCE.  */
struct fetch *
platform_watch (struct platform_client *platform, const char *kinds,
                uint64_t since, int64_t timeout_ms, platform_handler *handle,
                void *data)
{
  return start_request (platform, "GET",
                        xasprintf ("%s/watch?kinds=%s&since=%" PRIu64
                                   "&timeout_ms=%" PRId64,
                                   platform->url, kinds, since, timeout_ms),
                        NULL, timeout_ms + WATCH_MARGIN_MS, handle, data);
}

/* Writes VALUE if the object still has VERSION; VERSION is 0 to create the
   object.  */
struct fetch *
platform_put (struct platform_client *platform, const char *kind,
              const char *name, uint64_t version, const json_t *value,
              platform_handler *handle, void *data)
{
  return start_request (platform, "PUT",
                        xasprintf ("%s/objects/%s/%s?version=%" PRIu64,
                                   platform->url, kind, name, version),
                        value, platform->timeout_ms, handle, data);
}

/* Deletes an object if it still has VERSION.  */
struct fetch *
platform_delete (struct platform_client *platform, const char *kind,
                 const char *name, uint64_t version, platform_handler *handle,
                 void *data)
{
  return start_request (platform, "DELETE",
                        xasprintf ("%s/objects/%s/%s?version=%" PRIu64,
                                   platform->url, kind, name, version),
                        NULL, platform->timeout_ms, handle, data);
}
