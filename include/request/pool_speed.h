/* What this host has learned of the speed and the errors of the pool's
   endpoints (policy/speed.h), from its own requests and from other hosts
   (request/speed_notices.h).  */
#ifndef GALENA_REQUEST_POOL_SPEED_H
#define GALENA_REQUEST_POOL_SPEED_H

#include "policy/speed.h"
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct pool_endpoint;

/* What is usual at the endpoints of a service.  Owned by the pool. */
struct service_speed
{
  struct speed_figures prior;
  uint32_t learned;     /* bits of the figures of which a sample was seen */
  uint32_t epoch;       /* changes with the prior */
  int64_t events_milli; /* mean number in a response; 0 if unknown */
  double sums[SPEED_FIGURES];
  double weights[SPEED_FIGURES];
};

/* Part of an endpoint in the pool, as which it is forgotten with each start.
 */
struct pool_speed
{
  struct speed own;    /* from requests of this host */
  struct speed shared; /* from other hosts */
  struct speed_figures figures;
  int64_t figures_ms; /* when they were computed; 0 if they must be again */
  uint32_t epoch;     /* of the prior by which they were */
  int64_t used_ms;    /* when this host last learned something */
  int64_t told_ms;    /* when it last told others */
  bool is_slow;       /* was logged */
  bool is_failing;
  struct service_speed *service;
};

/* How long something took, and the load that the response reported. */
struct pool_outcome
{
  int64_t elapsed_ms;
  int64_t running; /* negative if it reported none */
  int64_t waiting;
  int64_t work_percent; /* 0 if it did not tell */
};

void service_speed_init (struct service_speed *service);
void service_speed_collect (struct service_speed *service,
                            const struct pool_speed *speed, int64_t now_ms);
void service_speed_apply (struct service_speed *service);
const struct speed_figures *pool_speed_figures (struct pool_endpoint *endpoint,
                                                int64_t now_ms);
void pool_speed_preview (const struct pool_speed *speed,
                         const struct speed_figures *prior, int64_t now_ms,
                         struct speed_figures *out);
void pool_record_first_event (struct pool_endpoint *endpoint,
                              int64_t missing_tokens,
                              const struct pool_outcome *outcome,
                              int64_t now_ms);
void pool_record_stream (struct pool_endpoint *endpoint, int64_t events,
                         const struct pool_outcome *outcome, int64_t now_ms);
void pool_record_call (struct pool_endpoint *endpoint,
                       const struct pool_outcome *outcome, int64_t now_ms);
void pool_record_outcome (struct pool_endpoint *endpoint, bool is_success,
                          int64_t now_ms);
void pool_record_shared_speed (struct pool_endpoint *endpoint,
                               const uint32_t *figures, size_t count,
                               uint32_t samples, int64_t now_ms);
json_t *pool_speed_to_json (const struct pool_endpoint *endpoint);

#endif
