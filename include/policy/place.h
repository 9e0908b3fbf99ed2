/* Endpoint selection in the pool of the platform's endpoints (request/pool.h):
   minimizes the time that a request waits plus the time by which it delays the
   requests that run at the endpoint.  For engines see policy/route.h.  */
#ifndef GALENA_POLICY_PLACE_H
#define GALENA_POLICY_PLACE_H

#include "policy/speed.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  PLACE_EVENTS = 64, /* of a stream, until responses have been seen */
  /* Slots of a plain service are independent; some services still slow down
     slightly under load. */
  PLACE_SLOT_COST_US = 2000,
  PLACE_WAITING_COST_US = 40000, /* per request ahead in its queue */
  PLACE_REMOTE_COST_US = 2500,   /* latency and cost of another data centre */
  /* A call that cannot be repeated is lost if its data centre is partitioned
     off while it runs, so calls stay local until the local endpoints are full.
   */
  PLACE_REMOTE_CALL_COST_US = 15000,
  /* A higher share of errors is no accident among the few requests that a
     host sees. A call that cannot be repeated then goes there only if all
     others are full. */
  PLACE_UNSAFE_PERMILLE = 120,
};

/* What this host knows about an endpoint. */
struct place_endpoint
{
  bool eligible; /* may be picked */
  bool remote;   /* in another data centre */
  uint64_t hash;
  int64_t slots; /* requests that it runs concurrently; others queue */
  int64_t running;
  int64_t waiting;
  /* Requests that ran or waited there in the last seconds, as other hosts tell
     too.  It counts in the prediction of speed and in waits beyond the slots
     only: hosts that all went by it more strongly would move from one endpoint
     to another together. */
  int64_t usual_running;
  int64_t cached_tokens; /* tokens of this prompt that its cache should
                            hold, by earlier placements */
  int64_t work_percent;  /* how long work takes there now, 100: as usual; 0 if
                            unknown */
  const struct speed_figures *speed; /* NULL if nothing is known */
  int64_t cost_us;                   /* set by place_pick */
};

struct place_options
{
  int64_t prompt_tokens; /* 0 for plain services */
  /* Hash of the program id, which makes all hosts prefer the same endpoint for
     the program; 0 for none. */
  uint64_t program;
  int64_t events;        /* expected in the response; 0 if unknown */
  int64_t usual_call_us; /* of the service's plain calls; 0 if unknown */
  bool is_unrepeatable;  /* lost if the endpoint fails */
};

int64_t place_wait_us (const struct place_endpoint *endpoint,
                       const struct place_options *options);
int64_t place_first_event_us (const struct place_endpoint *endpoint,
                              const struct place_options *options);
int64_t place_completion_us (const struct place_endpoint *endpoint,
                             const struct place_options *options);
int64_t place_prefill_cost_us (const struct place_endpoint *endpoint,
                               const struct place_options *options);
int64_t place_event_us (const struct place_endpoint *endpoint);
int64_t place_cost_us (const struct place_endpoint *endpoint,
                       const struct place_options *options);
int32_t place_pick (struct place_endpoint *endpoints, size_t count,
                    const struct place_options *options, uint64_t *seed);

#endif
