#include "policy/route.h"

enum
{
  US_PER_MS = 1000,
  RANDOM_CHOICES = 2, /* random engines that route_pick compares */
};

/* xorshift; the state is never 0.  */
static uint64_t
next_random (uint64_t *seed)
{
  uint64_t x = *seed ? *seed : 1;

  x ^= x << 13;
  x ^= x >> 7;
  x ^= x << 17;
  *seed = x;
  return x;
}

/* Returns whether this host may send another call to ENGINE.  */
static bool
has_capacity (const struct route_engine *engine)
{
  return engine->eligible && engine->own_in_flight < engine->window;
}

/* Returns the expected time to first token on ENGINE: the wait for a slot and
   the prefill of the uncached part of the prompt.  */
int64_t
route_cost_us (const struct route_engine *engine,
               const struct route_options *options)
{
  int64_t busy = engine->reported_busy > engine->own_in_flight
                     ? engine->reported_busy
                     : engine->own_in_flight;
  int64_t slots = engine->slots > 0 ? engine->slots : 1;
  int64_t queued = busy + 1 - slots;
  int64_t uncached = options->prompt_tokens - engine->cached_tokens;
  int64_t wait_us = 0;

  if (queued > 0)
    wait_us = queued * engine->call_ms * US_PER_MS / slots;
  if (uncached < 0)
    uncached = 0;
  /* Of several engines with free slots, the least loaded one batches faster.
   */
  wait_us += busy * engine->call_ms / slots;
  return wait_us + uncached * options->prefill_us_per_token;
}

/* Returns the first engine with a free window after a random one, or -1.  */
static int32_t
pick_random (const struct route_engine *engines, size_t count, int32_t avoid,
             uint64_t *seed)
{
  size_t start = (size_t)(next_random (seed) % count);

  for (size_t i = 0; i < count; i++)
    {
      size_t at = (start + i) % count;

      if (has_capacity (&engines[at]) && (int32_t)at != avoid)
        return (int32_t)at;
    }
  return -1;
}

/* Returns the engine with a free window that has the most of the prompt
   cached, or -1 if none has any.  */
static int32_t
pick_most_cached (const struct route_engine *engines, size_t count,
                  int32_t avoid)
{
  int32_t picked = -1;

  for (size_t i = 0; i < count; i++)
    if (has_capacity (&engines[i]) && (int32_t)i != avoid
        && engines[i].cached_tokens > 0
        && (picked < 0
            || engines[i].cached_tokens > engines[picked].cached_tokens))
      picked = (int32_t)i;
  return picked;
}

/* Picks an engine with a free window: the cheapest of the one with the most
   cached prompt and two random ones, so that stale reports do not send every
   host to the same engine.  The engine to avoid is picked only if no other has
   a free window.  Returns -1 if none has.  */
int32_t
route_pick (const struct route_engine *engines, size_t count,
            const struct route_options *options, uint64_t *seed)
{
  int32_t picked;
  int64_t picked_cost;

  if (count == 0)
    return -1;
  picked = pick_most_cached (engines, count, options->avoid);
  picked_cost = picked >= 0 ? route_cost_us (&engines[picked], options) : 0;
  for (int i = 0; i < RANDOM_CHOICES; i++)
    {
      int32_t other = pick_random (engines, count, options->avoid, seed);
      int64_t cost;

      if (other < 0)
        break;
      cost = route_cost_us (&engines[other], options);
      if (picked >= 0 && cost >= picked_cost)
        continue;
      picked = other;
      picked_cost = cost;
    }
  if (picked < 0 && options->avoid >= 0
      && has_capacity (&engines[options->avoid]))
    return options->avoid;
  return picked;
}
