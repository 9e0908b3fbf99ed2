/* Which endpoint a request goes to: where it and the requests that run there
   lose the least time. */
#ifndef GALENA_POLICY_PLACE_H
#define GALENA_POLICY_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  PLACE_PREFILL_TOKENS_PER_MS = 40, /* between the slowest and fastest sheet */
  PLACE_RUNNING_US = 10000, /* a request slows each other one's tokens */
  /* Of a plain service's slots each is its own; some slow down a little. */
  PLACE_SLOT_US = 2000,
  PLACE_WAITING_US = 40000, /* one ahead in the endpoint's queue */
  PLACE_REMOTE_US = 2500,   /* another data centre: delay and price */
  /* A call that cannot be repeated is lost when its data centre is cut off
     while it runs; so it stays near until the near endpoints are full. */
  PLACE_REMOTE_CALL_US = 15000,
};

/* What this host knows of an endpoint. */
struct place_endpoint
{
  bool eligible;
  bool remote; /* in another data centre */
  uint64_t hash;
  int64_t slots;
  int64_t running;
  int64_t waiting;
  int64_t cached_tokens; /* of this prompt, by earlier placements */
};

struct place_options
{
  int64_t prompt_tokens; /* 0 for plain services */
  uint64_t program;      /* ties go to the same endpoint on every host */
};

int64_t place_cost_us (const struct place_endpoint *endpoint,
                       const struct place_options *options);
int32_t place_pick (const struct place_endpoint *endpoints, size_t count,
                    const struct place_options *options, uint64_t *seed);

#endif
