/* Endpoint selection in the pool of the platform's endpoints (request/pool.h):
   minimizes the time that a request waits plus the time by which it delays the
   requests that run at the endpoint.  For engines see policy/route.h.  */
#ifndef GALENA_POLICY_PLACE_H
#define GALENA_POLICY_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  /* Between the speeds of the slowest and the fastest engine that users
     described in their deployments. */
  PLACE_PREFILL_TOKENS_PER_MS = 40,
  PLACE_RUNNING_COST_US = 10000, /* slowdown of decoding per running request */
  /* Slots of a plain service are independent; some services still slow down
     slightly under load. */
  PLACE_SLOT_COST_US = 2000,
  PLACE_WAITING_COST_US = 40000, /* per request ahead in its queue */
  PLACE_REMOTE_COST_US = 2500,   /* latency and cost of another data centre */
  /* A call that cannot be repeated is lost if its data centre is partitioned
     off while it runs, so calls stay local until the local endpoints are full.
   */
  PLACE_REMOTE_CALL_COST_US = 15000,
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
  int64_t cached_tokens; /* tokens of this prompt that its cache should
                            hold, by earlier placements */
};

struct place_options
{
  int64_t prompt_tokens; /* 0 for plain services */
  /* Hash of the program id, which makes all hosts prefer the same endpoint for
     the program; 0 for none. */
  uint64_t program;
};

int64_t place_cost_us (const struct place_endpoint *endpoint,
                       const struct place_options *options);
int32_t place_pick (const struct place_endpoint *endpoints, size_t count,
                    const struct place_options *options, uint64_t *seed);

#endif
