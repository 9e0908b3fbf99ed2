#include "policy/place.h"

enum
{
  US_PER_MS = 1000,
  TIE_US = 1000, /* random tie-breaker between equal costs */
  /* Penalty for each further endpoint in a program's order of preference,
     equal to the prefill of 4,000 tokens, the prompt of a long program. It
     makes hosts that know nothing about the program mostly agree on the
     endpoint that has its prompt cached. */
  PREFERENCE_US = 100000,
};

/* The finalizer of MurmurHash3, which spreads the bits of VALUE.  */
static uint64_t
mix (uint64_t value)
{
  value ^= value >> 33;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33;
  value *= 0xc4ceb9fe1a85ec53ULL;
  return value ^ (value >> 33);
}

static uint64_t
next_random (uint64_t *seed)
{
  *seed += 0x9e3779b97f4a7c15ULL;
  return mix (*seed);
}

/* Returns the cost of the queue at ENDPOINT, including the requests that run
   beyond its slots.  */
static int64_t
waiting_cost_us (const struct place_endpoint *endpoint)
{
  int64_t cost = endpoint->waiting * PLACE_WAITING_COST_US;

  if (endpoint->running >= endpoint->slots)
    cost += (endpoint->running - endpoint->slots + 1) * PLACE_WAITING_COST_US;
  return cost;
}

/* Returns the cost of a plain service's call at ENDPOINT.  */
static int64_t
call_cost_us (const struct place_endpoint *endpoint)
{
  return waiting_cost_us (endpoint) + endpoint->running * PLACE_SLOT_COST_US
         + (endpoint->remote ? PLACE_REMOTE_CALL_COST_US : 0);
}

/* Returns the cost of a request at ENDPOINT in microseconds of waiting: its
   own until its first token, and that of the running requests, which share the
   endpoint's batch steps.  */
int64_t
place_cost_us (const struct place_endpoint *endpoint,
               const struct place_options *options)
{
  int64_t missing = options->prompt_tokens - endpoint->cached_tokens;
  int64_t cost = waiting_cost_us (endpoint);

  if (options->prompt_tokens == 0)
    return call_cost_us (endpoint);

  if (missing > 0)
    cost += missing * US_PER_MS / PLACE_PREFILL_TOKENS_PER_MS
            * (1 + endpoint->running);
  cost += endpoint->running * PLACE_RUNNING_COST_US;
  if (endpoint->remote)
    cost += PLACE_REMOTE_COST_US;
  return cost;
}

static size_t
count_eligible (const struct place_endpoint *endpoints, size_t count)
{
  size_t eligible = 0;

  for (size_t i = 0; i < count; i++)
    eligible += endpoints[i].eligible;
  return eligible > 0 ? eligible : 1;
}

/* Returns a penalty below SPREAD, by which a program's hash orders the
   endpoints the same way on every host.  It is reduced by the share of the
   prompt that is known to be cached there.  */
static int64_t
preference_us (const struct place_endpoint *endpoint,
               const struct place_options *options, uint64_t spread)
{
  int64_t rank_us
      = (int64_t)(mix (options->program ^ endpoint->hash) % spread);
  int64_t missing = options->prompt_tokens - endpoint->cached_tokens;

  if (missing <= 0)
    return 0;
  return rank_us * missing / options->prompt_tokens;
}

/* Returns the index of the eligible endpoint with the lowest cost, or -1 if
   there is none.  SEED is the state of the random tie-breaker.  */
int32_t
place_pick (const struct place_endpoint *endpoints, size_t count,
            const struct place_options *options, uint64_t *seed)
{
  int32_t best = -1;
  int64_t best_cost = 0;
  uint64_t spread
      = PREFERENCE_US * (uint64_t)count_eligible (endpoints, count);

  for (size_t i = 0; i < count; i++)
    {
      int64_t cost;

      if (!endpoints[i].eligible)
        continue;
      cost = place_cost_us (&endpoints[i], options);
      if (options->program && options->prompt_tokens > 0)
        cost += preference_us (&endpoints[i], options, spread);
      else
        cost += (int64_t)(next_random (seed) % TIE_US);
      if (best >= 0 && cost >= best_cost)
        continue;
      best = (int32_t)i;
      best_cost = cost;
    }
  return best;
}
