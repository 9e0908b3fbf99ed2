#include "endpoint/engine.h"
#include "common/number.h"
#include <stdlib.h>
#include <string.h>

enum
{
  CONNECT_TIMEOUT_MS = 1000,
  MAX_LINE_BYTES = 1024 * 1024,
  MAX_TOKENS = 1000 * 1000 * 1000, /* of a prompt, as an engine reports it */
  HTTP_OK = 200,
};

static const char DATA_PREFIX[] = "data: ";
static const char DONE_MARKER[] = "[DONE]";

/* One streamed completion request.  Owned by the dispatcher's job. */
struct engine_attempt
{
  struct fetch *fetch;
  char *request_id;
  struct buf line; /* received bytes of an incomplete line */
  struct engine_usage usage;
  bool finished; /* a chunk carried a finish_reason */
  bool invalid;  /* malformed, or the response to another request */
  bool stopped;  /* handle_token returned false */
  struct engine_handlers handlers;
};

static void
attempt_destroy (struct engine_attempt *attempt)
{
  buf_release (&attempt->line);
  free (attempt->request_id);
  free (attempt);
}

static void
read_usage (struct engine_attempt *attempt, const json_t *usage)
{
  if (!json_is_object (usage))
    return;
  attempt->usage.prompt_tokens
      = number_read_count (usage, "prompt_tokens", MAX_TOKENS);
  attempt->usage.cached_tokens
      = number_read_count (usage, "cached_tokens", MAX_TOKENS);
}

static bool
process_chunk (struct engine_attempt *attempt, const json_t *chunk)
{
  const char *id = json_string_value (json_object_get (chunk, "id"));
  const json_t *choice
      = json_array_get (json_object_get (chunk, "choices"), 0);
  const json_t *content
      = json_object_get (json_object_get (choice, "delta"), "content");

  if (!id || strcmp (id, attempt->request_id) != 0)
    return false;
  read_usage (attempt, json_object_get (chunk, "usage"));
  if (json_is_string (json_object_get (choice, "finish_reason")))
    attempt->finished = true;
  if (!json_is_string (content) || json_string_length (content) == 0)
    return true;
  if (!attempt->handlers.handle_token (attempt->handlers.data,
                                       json_string_value (content),
                                       json_string_length (content)))
    attempt->stopped = true;
  return true;
}

/* Processes one line of the event stream.  Returns false when its data is
   malformed or belongs to the response to another request.  */
static bool
process_line (struct engine_attempt *attempt, const char *line, size_t len)
{
  size_t prefix = strlen (DATA_PREFIX);
  json_t *chunk;
  bool ok;

  while (len > 0 && (line[len - 1] == '\r' || line[len - 1] == '\n'))
    len--;
  if (len < prefix || memcmp (line, DATA_PREFIX, prefix) != 0)
    return true;
  line += prefix;
  len -= prefix;
  if (len == strlen (DONE_MARKER) && memcmp (line, DONE_MARKER, len) == 0)
    return true;
  chunk = json_loadb (line, len, 0, NULL);
  ok = chunk && process_chunk (attempt, chunk);
  json_decref (chunk);
  return ok;
}

static bool
process_lines (struct engine_attempt *attempt)
{
  size_t offset = 0;

  while (!attempt->stopped)
    {
      char *start = attempt->line.data + offset;
      char *end = memchr (start, '\n', attempt->line.len - offset);

      if (!end)
        break;
      if (!process_line (attempt, start, (size_t)(end - start)))
        return false;
      offset += (size_t)(end - start) + 1;
    }
  buf_consume (&attempt->line, offset);
  return attempt->line.len < MAX_LINE_BYTES;
}

static bool
handle_bytes (void *data, const char *bytes, size_t len)
{
  struct engine_attempt *attempt = data;

  if (fetch_status (attempt->fetch) != HTTP_OK)
    return true;
  buf_append (&attempt->line, bytes, len);
  if (process_lines (attempt))
    return !attempt->stopped;
  attempt->invalid = true;
  return false;
}

static enum engine_outcome
classify_outcome (const struct engine_attempt *attempt,
                  const struct fetch_result *result)
{
  if (attempt->invalid)
    return ENGINE_INVALID_RESPONSE;
  if (attempt->finished)
    return ENGINE_FINISHED;
  if (!result->sent)
    return ENGINE_UNREACHABLE;
  if (result->timed_out)
    return ENGINE_STALLED;
  if (!result->complete)
    return ENGINE_TRUNCATED;
  if (result->status != HTTP_OK)
    return ENGINE_HTTP_ERROR;
  /* A complete HTTP response without a finish_reason is truncated.  */
  return ENGINE_TRUNCATED;
}

static void
handle_done (void *data, const struct fetch_result *result)
{
  struct engine_attempt *attempt = data;
  struct engine_handlers handlers = attempt->handlers;
  enum engine_outcome outcome = classify_outcome (attempt, result);
  struct engine_usage usage = attempt->usage;

  attempt_destroy (attempt);
  handlers.handle_end (handlers.data, outcome, result->status, &usage);
}

/* Starts an attempt: sends BODY to the engine.  STALL_TIMEOUT_MS limits the
   time without any data.  The handlers are never called before this
   function returns.  */
struct engine_attempt *
engine_attempt_start (struct fetcher *fetcher, struct endpoint *endpoint,
                      const char *request_id, const struct buf *body,
                      int64_t stall_timeout_ms,
                      const struct engine_handlers *handlers)
{
  struct engine_attempt *attempt = xcalloc (1, sizeof *attempt);
  char *url = xasprintf ("%s/v1/chat/completions", endpoint->url);
  char *id_header = xasprintf ("X-Request-Id: %s", request_id);
  char *credential_header
      = endpoint->credential
            ? xasprintf ("Authorization: Bearer %s", endpoint->credential)
            : NULL;
  const char *headers[] = { "Content-Type: application/json", id_header,
                            credential_header, NULL };
  struct fetch_options options = { .method = "POST",
                                   .url = url,
                                   .headers = headers,
                                   .body = body->data,
                                   .body_len = body->len,
                                   .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                                   .stall_timeout_ms = stall_timeout_ms,
                                   .handle_data = handle_bytes,
                                   .handle_done = handle_done,
                                   .data = attempt };

  attempt->request_id = xstrdup (request_id);
  attempt->handlers = *handlers;
  attempt->fetch = fetch_start (fetcher, &options);
  free (url);
  free (id_header);
  free (credential_header);
  return attempt;
}

/* Cancels the attempt without calling its handlers.  Closing the connection
   cancels it at the engine too.  */
void
engine_attempt_cancel (struct engine_attempt *attempt)
{
  fetch_cancel (attempt->fetch);
  attempt_destroy (attempt);
}
