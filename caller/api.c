#include "caller/api.h"
#include "common/counters.h"
#include "common/log.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_LOGGED_PATH_BYTES = 60, /* so that a line holds the whole message */
};

/* Frees the string in SLOT and replaces it with a copy of VALUE.  */
void
api_set_string (char **slot, const char *value)
{
  free (*slot);
  *slot = xstrdup (value);
}

static struct log_ids
log_ids (const struct api_request *request)
{
  return (struct log_ids){ .request = request->id,
                           .program = request->program,
                           .customer = request->customer && *request->customer
                                           ? request->customer
                                           : NULL };
}

/* Records that the response is to end by WAY and returns how it ends.  All
   ends of the own interface's requests pass here.  */
static enum ending_way
claim_end (struct api_request *request, enum ending_way way)
{
  struct log_ids ids = log_ids (request);

  way = ending_end (&request->ending, way, "a request", &ids);
  if (way != ENDING_NONE)
    request->handle_disconnect = NULL;
  return way;
}

/* Returns the path for a log line.  It may contain any bytes of the caller;
   the result is freed with g_free.  */
static char *
loggable_path (const struct api_request *request)
{
  const char *path = request->path ? request->path : "";

  return g_utf8_make_valid (path,
                            (gssize)strnlen (path, MAX_LOGGED_PATH_BYTES));
}

/* Aborts the response, whose end is claimed.  */
static void
abort_claimed (struct api_request *request)
{
  struct log_ids ids = log_ids (request);
  char *path = loggable_path (request);

  log_write (LOG_INFO, "caller", &ids,
             "response aborted %s it had begun (%s %s, %u hops)",
             request->ending.has_begun ? "after" : "before",
             request->method ? request->method : "", path, request->hops);
  g_free (path);
  request->impl->abort (request);
}

/* Starts the response.  One that has begun is aborted, which may free the
   request.  */
void
api_begin (struct api_request *request, unsigned status,
           const char *content_type, bool streaming)
{
  struct log_ids ids = log_ids (request);

  if (ending_begin (&request->ending, "a request", &ids))
    request->impl->begin (request, status, content_type, streaming);
  else if (!request->ending.has_ended)
    api_abort (request);
}

/* Appends to the response body.  Returns false if the client is too slow.  */
bool
api_write (struct api_request *request, const void *data, size_t len)
{
  if (request->ending.has_ended)
    return true;
  return request->impl->write (request, data, len);
}

/* Completes the response.  May free the request.  */
void
api_end (struct api_request *request)
{
  enum ending_way way = claim_end (request, ENDING_COMPLETE);

  if (way == ENDING_COMPLETE)
    request->impl->end (request);
  else if (way == ENDING_ABORT)
    abort_claimed (request);
}

/* Aborts the response in a way that the client can detect as truncated.  May
   free the request.  */
void
api_abort (struct api_request *request)
{
  if (claim_end (request, ENDING_ABORT) == ENDING_ABORT)
    abort_claimed (request);
}

/* Sends a complete response, or aborts one that has begun.  May free the
   request.  */
void
api_respond (struct api_request *request, unsigned status,
             const char *content_type, const void *body, size_t len)
{
  enum ending_way way = claim_end (request, ENDING_WHOLE);

  if (way == ENDING_WHOLE)
    {
      request->impl->begin (request, status, content_type, false);
      if (request->impl->write (request, body, len))
        request->impl->end (request);
      else
        abort_claimed (request);
    }
  else if (way == ENDING_ABORT)
    abort_claimed (request);
}

/* Counts ERROR, which REQUEST ends with, and logs which request this host
   refused and why.  The message may contain any bytes of the caller.  */
void
api_record_refusal (const struct api_request *request,
                    const struct error *error)
{
  struct log_ids ids = log_ids (request);
  char *path = loggable_path (request);
  char *message = g_utf8_make_valid (error->message, -1);

  counter_add_refusal (error->kind);
  log_write (LOG_INFO, "caller", &ids, "refused: %s: %s (%s, %s %s, %u hops)",
             error_kind_name (error->kind), message,
             error_run_name (error->run),
             request->method ? request->method : "", path, request->hops);
  g_free (message);
  g_free (path);
}

/* Sends ERROR as the response.  May free the request.  */
void
api_respond_error (struct api_request *request, const struct error *error)
{
  char *body = error_to_json (error);

  api_record_refusal (request, error);
  request->retry_after_ms = error->retry_after_ms;
  api_respond (request, error_http_status (error->kind), "application/json",
               body, strlen (body));
  free (body);
}

/* Frees the request's contents, not the request itself.  */
void
api_request_release (struct api_request *request)
{
  free (request->customer);
  free (request->key_id);
  free (request->method);
  free (request->path);
  for (int i = 0; i < API_MAX_ARGS; i++)
    free (request->args[i]);
  free (request->cursor);
  free (request->program);
  free (request->idempotency_key);
  free (request->content_type);
  free (request->answer_cursor);
  free (request->answer_program);
  buf_release (&request->body);
}
