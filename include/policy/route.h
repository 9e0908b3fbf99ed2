/* Engine selection for queued model calls (endpoint/dispatcher.h): weighs the
   prefill that a cached prompt saves against the expected wait.  For the pool
   of the platform's endpoints see policy/place.h.  */
#ifndef GALENA_POLICY_ROUTE_H
#define GALENA_POLICY_ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What this host knows about an engine. */
struct route_engine
{
  bool eligible;         /* serves the model, responds, is not leaving */
  int64_t slots;         /* calls that it runs concurrently; others queue */
  int64_t window;        /* maximum of own_in_flight */
  int64_t own_in_flight; /* calls of this host in flight there */
  int64_t reported_busy; /* running and waiting, by its last report */
  int64_t cached_tokens; /* of this program's prompt, as observed */
  int64_t call_ms;       /* moving average of a call's duration there */
};

struct route_options
{
  int64_t prompt_tokens;
  int64_t prefill_us_per_token;
  int32_t avoid; /* index of the engine that just failed this call; -1: none */
};

int32_t route_pick (const struct route_engine *engines, size_t count,
                    const struct route_options *options, uint64_t *seed);
int64_t route_cost_us (const struct route_engine *engine,
                       const struct route_options *options);

#endif
