/* Limits that endpoints name in their answers, on the requests that they get
   from all hosts of the fleet together.

   Each limited endpoint has a holder, an entry host of its data centre chosen
   by hashing, which permits requests one by one.  A host asks the holder
   before each request to such an endpoint.  A spare holder elsewhere takes
   over, at a part of the limit, while the holder does not answer.  Hosts
   report to the holder what they learn from answers, and it tells the others
   (request/endpoint_notices.h).

   All times are passed in, so that fleets can be simulated.  */
#ifndef GALENA_REQUEST_ENDPOINT_LIMITER_H
#define GALENA_REQUEST_ENDPOINT_LIMITER_H

#include "peer/host.h"
#include "peer/transport.h"
#include "request/pool.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  /* A holder answers within a few milliseconds; after this time it counts as
     silent, and the spare one is asked.  A question that takes longer has met
     a silent holder. */
  ENDPOINT_LIMITER_ASK_TIMEOUT_MS = 60,
};

struct endpoint_limiter;
struct permit_ask; /* a question to a holder */

struct endpoint_limiter_options
{
  const char *host; /* name of this host; outlives the limiter */
  const char *data_centre;
  struct pool *pool;
  struct cold_bound cold_bound; /* of cold endpoints */
  struct transport *transport;
};

enum permit_verdict
{
  PERMIT_GRANTED,
  PERMIT_DENIED,
  PERMIT_PENDING, /* the handler is called later, with the result */
};

/* Called with the result of a question.  If IS_GRANTED, the request may be
   sent after WAIT_MS.  Otherwise the pool does not pick the endpoint before
   another request may be permitted.  */
typedef void permit_handler (void *data, bool is_granted, int64_t wait_ms);

/* A request for a permit. */
struct permit_query
{
  struct pool_endpoint *endpoint;
  int64_t max_wait_ms; /* how long the request may wait for its turn */
  permit_handler *handler;
  void *data;
};

struct endpoint_limiter *
endpoint_limiter_create (const struct endpoint_limiter_options *options);
void endpoint_limiter_destroy (struct endpoint_limiter *limiter);
void endpoint_limiter_set_hosts (struct endpoint_limiter *limiter,
                                 const struct host_location *hosts,
                                 size_t count, int64_t now_ms);
enum permit_verdict endpoint_limiter_acquire (struct endpoint_limiter *limiter,
                                              const struct permit_query *query,
                                              int64_t now_ms, int64_t *wait_ms,
                                              struct permit_ask **ask);
void endpoint_limiter_cancel (struct permit_ask *ask);
bool endpoint_limiter_record_limit (struct endpoint_limiter *limiter,
                                    struct pool_endpoint *endpoint,
                                    int64_t limit_milli, int64_t sent_ms,
                                    int64_t now_ms);
void endpoint_limiter_record_leaving (struct endpoint_limiter *limiter,
                                      const struct pool_endpoint *endpoint,
                                      int64_t now_ms);
void endpoint_limiter_handle_frame (struct endpoint_limiter *limiter,
                                    const char *host, const Peer__Frame *frame,
                                    int64_t now_ms);
void endpoint_limiter_tick (struct endpoint_limiter *limiter, int64_t now_ms);

#endif
