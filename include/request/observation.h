/* What any response of an endpoint tells about the endpoint itself: its load,
   its limit and that it leaves. */
#ifndef GALENA_REQUEST_OBSERVATION_H
#define GALENA_REQUEST_OBSERVATION_H

#include "common/log.h"
#include "request/endpoint_limiter.h"
#include "request/pool.h"
#include "request/request.h"

/* A response that is being received.  Nothing is owned. */
struct observation
{
  struct pool *pool;
  struct endpoint_limiter *limiter; /* NULL to ignore limits */
  struct pool_endpoint *endpoint;
  const struct response_head *head;
  int64_t sent_ms; /* of the request */
  long status;     /* received so far; 0 for none */
  struct log_ids ids;
};

void observation_record_header (const struct observation *observation);
void observation_record_head_end (const struct observation *observation);
void observation_record_load (const struct observation *observation);

#endif
