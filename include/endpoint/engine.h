/* One call to a model engine: an OpenAI-style streamed chat completion. */
#ifndef GALENA_ENDPOINT_ENGINE_H
#define GALENA_ENDPOINT_ENGINE_H

#include "common/buf.h"
#include "common/fetch.h"
#include "endpoint/endpoint.h"

enum engine_outcome
{
  ENGINE_FINISHED,
  ENGINE_BROKEN,    /* the stream was cut after the request had left */
  ENGINE_UNREACHED, /* no byte of the request left */
  ENGINE_STALLED,   /* no token for too long */
  ENGINE_GARBAGE,   /* not this request's answer, or none at all */
  ENGINE_REFUSED,   /* an HTTP status that is not 200 */
};

struct engine_usage
{
  int64_t prompt_tokens;
  int64_t cached_tokens;
};

struct engine_attempt;

struct engine_handlers
{
  /* False gives the attempt up. */
  bool (*handle_token) (void *data, const char *text, size_t len);
  /* The attempt is gone afterwards. */
  void (*handle_end) (void *data, enum engine_outcome outcome, long status,
                      const struct engine_usage *usage);
  void *data;
};

struct engine_attempt *engine_start (struct fetcher *fetcher,
                                     struct endpoint *endpoint,
                                     const char *request_id,
                                     const struct buf *body,
                                     int64_t stall_timeout_ms,
                                     const struct engine_handlers *handlers);
void engine_cancel (struct engine_attempt *attempt);

#endif
