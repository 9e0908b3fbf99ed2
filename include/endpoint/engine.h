/* One call to a model engine: an OpenAI-style streamed chat completion. */
#ifndef GALENA_ENDPOINT_ENGINE_H
#define GALENA_ENDPOINT_ENGINE_H

#include "common/buf.h"
#include "common/fetch.h"
#include "endpoint/endpoint.h"

enum engine_outcome
{
  ENGINE_FINISHED,  /* the response is complete */
  ENGINE_TRUNCATED, /* the response was cut after the request had been sent */
  ENGINE_UNREACHABLE,      /* no byte of the request was sent */
  ENGINE_STALLED,          /* no data within the stall timeout */
  ENGINE_INVALID_RESPONSE, /* malformed, or the response to another request */
  ENGINE_HTTP_ERROR,       /* an HTTP status other than 200 */
};

/* Token counts that the engine reports at the end of a response; 0 where it
   reports none. */
struct engine_usage
{
  int64_t prompt_tokens;
  int64_t cached_tokens;
};

struct engine_attempt;

struct engine_handlers
{
  /* Returns false to stop the attempt. */
  bool (*handle_token) (void *data, const char *text, size_t len);
  /* Called once, when the attempt ends; the attempt is already freed.  STATUS
     is the HTTP status. */
  void (*handle_end) (void *data, enum engine_outcome outcome, long status,
                      const struct engine_usage *usage);
  void *data;
};

struct engine_attempt *
engine_attempt_start (struct fetcher *fetcher, struct endpoint *endpoint,
                      const char *request_id, const struct buf *body,
                      int64_t stall_timeout_ms,
                      const struct engine_handlers *handlers);
void engine_attempt_cancel (struct engine_attempt *attempt);

#endif
