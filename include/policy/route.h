/* Which engine a call goes to: what its cache saves against how long it
   waits there. */
#ifndef GALENA_POLICY_ROUTE_H
#define GALENA_POLICY_ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What this host knows of an engine. */
struct route_engine
{
  bool eligible; /* serves the model, answers, is not leaving */
  int64_t slots;
  int64_t window;        /* calls that this host may have there at once */
  int64_t own_in_flight; /* of this host */
  int64_t reported_busy; /* running and waiting there, by its last report */
  int64_t cached_tokens; /* of this program's prompt, by what was seen */
  int64_t call_ms;       /* moving average of a call's duration there */
};

struct route_options
{
  int64_t prompt_tokens;
  int64_t prefill_us_per_token;
  int32_t avoid; /* an engine that just failed this call; -1 for none */
};

int32_t route_pick (const struct route_engine *engines, size_t count,
                    const struct route_options *options, uint64_t *seed);
int64_t route_cost_us (const struct route_engine *engine,
                       const struct route_options *options);

#endif
