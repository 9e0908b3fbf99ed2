#include "caller/api.h"
#include "common/counters.h"
#include <stdlib.h>
#include <string.h>

/* Replaces a string that the request owns.  */
void
api_set (char **slot, const char *value)
{
  free (*slot);
  *slot = xstrdup (value);
}

/* Opens the answer.  */
void
api_begin (struct api_request *request, unsigned status,
           const char *content_type, bool streaming)
{
  if (request->begun)
    return;
  request->begun = true;
  request->impl->begin (request, status, content_type, streaming);
}

/* Appends to the answer's body; false where its reader is too slow.  */
bool
api_write (struct api_request *request, const void *data, size_t len)
{
  if (request->ended)
    return true;
  return request->impl->write (request, data, len);
}

/* Ends the answer.  The request may be gone afterwards.  */
void
api_end (struct api_request *request)
{
  if (request->ended)
    return;
  request->ended = true;
  request->handle_gone = NULL;
  request->impl->end (request);
}

/* Cuts the answer so that its reader sees that it is not whole.  The request
   may be gone afterwards.  */
void
api_abort (struct api_request *request)
{
  if (request->ended)
    return;
  request->ended = true;
  request->handle_gone = NULL;
  request->impl->abort (request);
}

/* Gives a whole answer.  The request may be gone afterwards.  */
void
api_respond (struct api_request *request, unsigned status,
             const char *content_type, const void *body, size_t len)
{
  api_begin (request, status, content_type, false);
  api_write (request, body, len);
  api_end (request);
}

/* Answers with ERROR and counts it.  The request may be gone afterwards.  */
void
api_respond_error (struct api_request *request, const struct error *error)
{
  char *body = error_to_json (error);

  counter_refusal (error->kind);
  request->retry_after_ms = error->retry_after_ms;
  api_respond (request, error_http_status (error->kind), "application/json",
               body, strlen (body));
  free (body);
}

/* Frees what the request holds, not the request itself.  */
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
