#include "policy/place.h"
#include <math.h>

enum
{
  PERMILLE = 1000,
  /* Endpoints that cost up to an eighth more than the best one are chosen
     among at random, so that hosts with the same late reports do not all
     choose the same one.  The upper bound is below the difference between a
     local and a remote call. */
  CLOSE_SHARE = 8,
  MIN_CLOSE_US = 1000,
  MAX_CLOSE_US = 4000,
  REPEAT_COST_US = 50000, /* of a request that fails, besides its own time */
  /* A failure costs more than the time for a repetition: callers and routes
     allow one or two. */
  ERROR_WEIGHT = 4,
  /* Programs may take about twice their time on idle endpoints, so that an
     endpoint with more than twice the usual cost makes them late. */
  LATE_RATIO = 2,
  /* More than any wait for an endpoint with a free slot. */
  UNSAFE_COST_US = 5000000,
  /* An endpoint that fails all requests must not look infinitely bad, or a
     service in which all fail would be ordered by chance. */
  MAX_ERROR_PERMILLE = 900,
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

static const struct speed_figures *
figures_of (const struct place_endpoint *endpoint)
{
  return endpoint->speed ? endpoint->speed : speed_default_prior ();
}

/* Returns how many requests run at ENDPOINT, as far as this host knows.  */
static int64_t
occupied (const struct place_endpoint *endpoint)
{
  return endpoint->running > endpoint->usual_running ? endpoint->running
                                                     : endpoint->usual_running;
}

/* Returns the load of ENDPOINT once a further request runs there.  */
static struct speed_load
next_load (const struct place_endpoint *endpoint)
{
  int64_t running = occupied (endpoint) + 1;

  return (struct speed_load){ .running = running < endpoint->slots
                                             ? running
                                             : endpoint->slots,
                              .slots = endpoint->slots,
                              .work_percent = endpoint->work_percent };
}

static int64_t
missing_tokens (const struct place_endpoint *endpoint,
                const struct place_options *options)
{
  int64_t missing = options->prompt_tokens - endpoint->cached_tokens;

  return missing > 0 ? missing : 0;
}

static int64_t
expected_events (const struct place_options *options)
{
  return options->events > 0 ? options->events : PLACE_EVENTS;
}

/* Returns how long a request runs at ENDPOINT once it has a slot.  */
static int64_t
service_us (const struct place_endpoint *endpoint,
            const struct place_options *options)
{
  struct speed_load load = next_load (endpoint);
  const struct speed_figures *figures = figures_of (endpoint);

  if (options->prompt_tokens == 0)
    return speed_call_us (figures, &load);
  return speed_first_event_us (figures, &load,
                               missing_tokens (endpoint, options))
         + expected_events (options) * speed_event_us (figures, &load);
}

/* Returns SERVICE_US, the time of a request, as it is compared between
   endpoints.  Calls of one service differ more in their work than its
   endpoints in their speed, so that small differences of the learned times
   are chance.  All hosts would choose the few endpoints that it favours.  */
static int64_t
comparable_us (int64_t service, const struct place_options *options)
{
  if (options->prompt_tokens > 0 || options->usual_call_us <= 0
      || service > options->usual_call_us * LATE_RATIO)
    return service;
  return options->usual_call_us;
}

/* Returns the wait for a slot behind the queue at ENDPOINT and the requests
   that run beyond its slots.  SERVICE_US is how long each takes.  */
static int64_t
wait_us (const struct place_endpoint *endpoint, int64_t service)
{
  int64_t slots = endpoint->slots > 0 ? endpoint->slots : 1;
  int64_t each_us = service / slots;
  int64_t ahead = endpoint->waiting;

  if (endpoint->running >= endpoint->slots)
    ahead += endpoint->running - endpoint->slots + 1;
  if (ahead < endpoint->usual_running - endpoint->slots)
    ahead = endpoint->usual_running - endpoint->slots;
  if (each_us < PLACE_WAITING_COST_US)
    each_us = PLACE_WAITING_COST_US;
  return ahead * each_us;
}

/* Predicts the wait for a slot at ENDPOINT.  */
int64_t
place_wait_us (const struct place_endpoint *endpoint,
               const struct place_options *options)
{
  return wait_us (endpoint, service_us (endpoint, options));
}

/* Predicts the time to the first event at ENDPOINT, without the way there; of
   a plain call, the time to its response.  */
int64_t
place_first_event_us (const struct place_endpoint *endpoint,
                      const struct place_options *options)
{
  struct speed_load load = next_load (endpoint);

  if (options->prompt_tokens == 0)
    return place_wait_us (endpoint, options)
           + speed_call_us (figures_of (endpoint), &load);
  return place_wait_us (endpoint, options)
         + speed_first_event_us (figures_of (endpoint), &load,
                                 missing_tokens (endpoint, options));
}

/* Predicts the time to the end of the response at ENDPOINT.  */
int64_t
place_completion_us (const struct place_endpoint *endpoint,
                     const struct place_options *options)
{
  return place_wait_us (endpoint, options) + service_us (endpoint, options);
}

/* Predicts the time between two events of a further stream at ENDPOINT.  */
int64_t
place_event_us (const struct place_endpoint *endpoint)
{
  struct speed_load load = next_load (endpoint);

  return speed_event_us (figures_of (endpoint), &load);
}

/* Returns the cost of reading the part of the prompt that is not cached: it
   delays the request and those that run at ENDPOINT, between whose events it
   is read.  */
int64_t
place_prefill_cost_us (const struct place_endpoint *endpoint,
                       const struct place_options *options)
{
  struct speed_load load = next_load (endpoint);

  return (1 + endpoint->running)
         * speed_prefill_us (figures_of (endpoint), &load,
                             missing_tokens (endpoint, options));
}

/* Returns what the errors of ENDPOINT cost a request that takes COST_US.  */
static int64_t
error_cost_us (const struct place_endpoint *endpoint,
               const struct place_options *options, int64_t cost_us)
{
  int64_t errors = figures_of (endpoint)->values[SPEED_ERROR_PERMILLE];
  int64_t bounded = errors < MAX_ERROR_PERMILLE ? errors : MAX_ERROR_PERMILLE;
  int64_t unsafe_us
      = options->is_unrepeatable && errors >= PLACE_UNSAFE_PERMILLE
            ? UNSAFE_COST_US
            : 0;

  return (cost_us + REPEAT_COST_US) * bounded * ERROR_WEIGHT
             / (PERMILLE - bounded)
         + unsafe_us;
}

/* Returns the cost of a request at ENDPOINT in microseconds: the time until
   its predicted completion, and what errors and another data centre add.  */
int64_t
place_cost_us (const struct place_endpoint *endpoint,
               const struct place_options *options)
{
  int64_t service = comparable_us (service_us (endpoint, options), options);
  int64_t cost = wait_us (endpoint, service) + service;

  if (options->prompt_tokens == 0)
    cost += occupied (endpoint) * PLACE_SLOT_COST_US
            + (endpoint->remote ? PLACE_REMOTE_CALL_COST_US : 0);
  else if (endpoint->remote)
    cost += PLACE_REMOTE_COST_US;
  return cost + error_cost_us (endpoint, options, cost);
}

static size_t
count_eligible (const struct place_endpoint *endpoints, size_t count)
{
  size_t eligible = 0;

  for (size_t i = 0; i < count; i++)
    eligible += endpoints[i].eligible;
  return eligible > 0 ? eligible : 1;
}

/* Returns the cost of ENDPOINT times a factor above 1, which is the same on
   every host.  The factor makes the chance to be the cheapest inversely
   proportional to the cost: a host with slightly different figures mostly
   finds the same endpoint, which has the prompts of the program's turns
   before.  It is 1 where all of the prompt is known to be cached, since a
   chain then stays there unless that is slower than reading the prompt
   elsewhere.  Endpoints that would make the program late get an even smaller
   share.  */
static int64_t
preferred_cost_us (const struct place_endpoint *endpoint,
                   const struct place_options *options, size_t eligible,
                   int64_t usual_us)
{
  double uniform
      = ((double)(mix (options->program ^ endpoint->hash) >> 11) + 0.5)
        * 0x1p-53;
  double missing = (double)missing_tokens (endpoint, options)
                   / (double)options->prompt_tokens;
  double late
      = (double)endpoint->cost_us / (double)usual_us / (double)LATE_RATIO;
  double factor = pow (1 - log (uniform) * (double)eligible, missing);

  if (late > 1)
    factor *= late * late;
  return (int64_t)((double)endpoint->cost_us * factor);
}

/* Sets the costs and returns their mean.  */
static int64_t
set_costs (struct place_endpoint *endpoints, size_t count,
           const struct place_options *options)
{
  int64_t sum_us = 0;

  for (size_t i = 0; i < count; i++)
    {
      if (!endpoints[i].eligible)
        continue;
      endpoints[i].cost_us = place_cost_us (&endpoints[i], options);
      sum_us += endpoints[i].cost_us;
    }
  return sum_us / (int64_t)count_eligible (endpoints, count) + 1;
}

/* Sets the costs and returns the index of the cheapest endpoint, or -1.  */
static int32_t
find_cheapest (struct place_endpoint *endpoints, size_t count,
               const struct place_options *options)
{
  int64_t usual_us = set_costs (endpoints, count, options);
  size_t eligible = count_eligible (endpoints, count);
  int32_t best = -1;

  for (size_t i = 0; i < count; i++)
    {
      if (!endpoints[i].eligible)
        continue;
      if (options->program && options->prompt_tokens > 0)
        endpoints[i].cost_us
            = preferred_cost_us (&endpoints[i], options, eligible, usual_us);
      if (best < 0 || endpoints[i].cost_us < endpoints[best].cost_us)
        best = (int32_t)i;
    }
  return best;
}

/* Returns the weight of an endpoint in the random choice, 0 if it costs more
   than CLOSE_US above the cheapest one.  */
static uint64_t
closeness (const struct place_endpoint *endpoint,
           const struct place_endpoint *best, int64_t close_us)
{
  int64_t excess_us = endpoint->cost_us - best->cost_us;

  return endpoint->eligible && excess_us < close_us
             ? (uint64_t)(close_us - excess_us)
             : 0;
}

/* Chooses among the endpoints that cost about as much as the cheapest one.  */
static int32_t
pick_close (const struct place_endpoint *endpoints, size_t count, int32_t best,
            uint64_t *seed)
{
  int64_t close_us = endpoints[best].cost_us / CLOSE_SHARE;
  uint64_t sum = 0;
  uint64_t at;

  if (close_us < MIN_CLOSE_US)
    close_us = MIN_CLOSE_US;
  if (close_us > MAX_CLOSE_US)
    close_us = MAX_CLOSE_US;
  for (size_t i = 0; i < count; i++)
    sum += closeness (&endpoints[i], &endpoints[best], close_us);
  if (sum == 0)
    return best;
  at = next_random (seed) % sum;
  for (size_t i = 0; i < count; i++)
    {
      uint64_t weight = closeness (&endpoints[i], &endpoints[best], close_us);

      if (at < weight)
        return (int32_t)i;
      at -= weight;
    }
  return best;
}

/* Returns the index of one of the eligible endpoints with the lowest cost, or
   -1 if there is none.  A program's hash takes the place of chance.  SEED is
   the state of the random choice.  */
int32_t
place_pick (struct place_endpoint *endpoints, size_t count,
            const struct place_options *options, uint64_t *seed)
{
  int32_t best = find_cheapest (endpoints, count, options);

  if (best < 0 || (options->program && options->prompt_tokens > 0))
    return best;
  return pick_close (endpoints, count, best, seed);
}
