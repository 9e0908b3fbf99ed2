#include "request/pool_speed.h"
#include "common/counters.h"
#include "common/log.h"
#include "request/pool.h"

enum
{
  FIGURES_TTL_MS = 200, /* well below the half-lives of the figures */
  MIN_EVENTS = 8,       /* fewer are too short for a clock of milliseconds */
  US_PER_MS = 1000,
  PERMILLE = 1000,
  MAX_FIRST_FIGURE = 1000 * 1000, /* of a first sample, which may be far off */
  EVENTS_SHARE = 16, /* of a response in the mean number of events */
  /* Against the prior, in permille; a service's users notice twice the time.
     The other bounds keep the log from repeating itself. */
  SLOW_PERMILLE = 2500,
  NO_LONGER_SLOW_PERMILLE = 1700,
  NO_LONGER_FAILING_PERMILLE = 60,
};

/* What an endpoint counts for at most in the mean of its service, so that a
   busy one does not stand for all.  */
static const double MAX_PRIOR_SHARE = 2.0;

/* Initializes a service of which nothing is known.  */
void
service_speed_init (struct service_speed *service)
{
  *service = (struct service_speed){ .prior = *speed_default_prior () };
}

/* Adds the figures of an endpoint to the sums of SERVICE, which is its service
   or a copy of that.  */
void
service_speed_collect (struct service_speed *service,
                       const struct pool_speed *speed, int64_t now_ms)
{

  for (int i = 0; i < SPEED_FIGURES; i++)
    {
      double own = speed_weight (&speed->own, (enum speed_figure)i, now_ms);
      double shared
          = speed_weight (&speed->shared, (enum speed_figure)i, now_ms);
      double share = MIN (own + shared, MAX_PRIOR_SHARE);

      if (share <= 0)
        continue;
      service->sums[i] += (speed->own.tracks[i].value * own
                           + speed->shared.tracks[i].value * shared)
                          / (own + shared) * share;
      service->weights[i] += share;
    }
}

/* Moves the prior of SERVICE to the mean of what was collected, and clears the
   sums.  Errors are no property of a service.  */
void
service_speed_apply (struct service_speed *service)
{
  for (int i = 0; i < SPEED_FIGURES; i++)
    {
      double prior = (double)service->prior.values[i];

      if (i != SPEED_ERROR_PERMILLE)
        service->prior.values[i] = (int64_t)((service->sums[i] + prior)
                                             / (service->weights[i] + 1));
      service->sums[i] = 0;
      service->weights[i] = 0;
    }
}

/* Returns how long an endpoint's work takes against the usual, in permille: of
   the figures that this host uses, the largest one.  */
static int64_t
slowness_permille (const struct pool_speed *speed)
{
  static const enum speed_figure speeds[]
      = { SPEED_PREFILL_NS, SPEED_EVENT_US, SPEED_CALL_US };
  int64_t slowness = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (speeds); i++)
    {
      int64_t usual = MAX (speed->service->prior.values[speeds[i]], 1);

      slowness = MAX (slowness,
                      speed->figures.values[speeds[i]] * PERMILLE / usual);
    }
  return slowness;
}

static void
log_slowness (struct pool_endpoint *endpoint)
{
  struct pool_speed *speed = &endpoint->speed;
  int64_t slowness = slowness_permille (speed);

  if (slowness >= SLOW_PERMILLE && !speed->is_slow)
    {
      speed->is_slow = true;
      counter_add (COUNTER_ENDPOINTS_SLOW, 1);
      log_write (LOG_INFO, "pool", NULL,
                 "endpoint %s of service %s takes %" G_GINT64_FORMAT
                 " %% of its service's usual time",
                 endpoint->id, endpoint->service, slowness / 10);
    }
  else if (slowness < NO_LONGER_SLOW_PERMILLE && speed->is_slow)
    {
      speed->is_slow = false;
      log_write (LOG_INFO, "pool", NULL, "endpoint %s is no longer slow",
                 endpoint->id);
    }
}

static void
log_errors (struct pool_endpoint *endpoint)
{
  struct pool_speed *speed = &endpoint->speed;
  int64_t errors = speed->figures.values[SPEED_ERROR_PERMILLE];

  if (errors >= PLACE_UNSAFE_PERMILLE && !speed->is_failing)
    {
      speed->is_failing = true;
      counter_add (COUNTER_ENDPOINTS_FAILING, 1);
      log_write (LOG_INFO, "pool", NULL,
                 "endpoint %s of service %s fails %" G_GINT64_FORMAT
                 " of 1000 requests",
                 endpoint->id, endpoint->service, errors);
    }
  else if (errors < NO_LONGER_FAILING_PERMILLE && speed->is_failing)
    {
      speed->is_failing = false;
      log_write (LOG_INFO, "pool", NULL, "endpoint %s no longer fails",
                 endpoint->id);
    }
}

static bool
has_current_figures (const struct pool_speed *speed, int64_t now_ms)
{
  return speed->figures_ms && speed->epoch == speed->service->epoch
         && now_ms - speed->figures_ms < FIGURES_TTL_MS;
}

/* Stores what pool_speed_figures would return if the service's prior were
   PRIOR, without storing it in the endpoint.  */
void
pool_speed_preview (const struct pool_speed *speed,
                    const struct speed_figures *prior, int64_t now_ms,
                    struct speed_figures *out)
{
  if (has_current_figures (speed, now_ms))
    *out = speed->figures;
  else
    speed_estimate (&speed->own, &speed->shared, prior, now_ms, out);
}

/* Returns the current estimate for ENDPOINT.  */
const struct speed_figures *
pool_speed_figures (struct pool_endpoint *endpoint, int64_t now_ms)
{
  struct pool_speed *speed = &endpoint->speed;

  if (has_current_figures (speed, now_ms))
    return &speed->figures;
  speed_estimate (&speed->own, &speed->shared, &speed->service->prior, now_ms,
                  &speed->figures);
  speed->figures_ms = now_ms;
  speed->epoch = speed->service->epoch;
  log_slowness (endpoint);
  log_errors (endpoint);
  return &speed->figures;
}

/* Returns the load under which a request ran, by its response.  */
static struct speed_load
load_of (const struct pool_endpoint *endpoint,
         const struct pool_outcome *outcome)
{
  int64_t running = MAX (outcome->running, endpoint->in_flight);

  return (struct speed_load){ .running = CLAMP (running, 1, endpoint->slots),
                              .slots = endpoint->slots,
                              .work_percent = outcome->work_percent };
}

/* Takes the first sample of a service as its prior: endpoints that have not
   been tried must not look slower than those that have.  */
static void
learn_first (struct pool_endpoint *endpoint, enum speed_figure figure,
             int64_t value)
{
  struct service_speed *service = endpoint->speed.service;

  if (service->learned & 1U << figure)
    return;
  service->learned |= 1U << figure;
  service->prior.values[figure] = CLAMP (value, 1, MAX_FIRST_FIGURE);
  service->epoch++;
}

/* Returns TIME_US without what the load has added.  */
static int64_t
without_work (int64_t time_us, const struct speed_load *load)
{
  return load->work_percent > 0 ? time_us * 100 / load->work_percent : time_us;
}

static void
note_use (struct pool_endpoint *endpoint, int64_t now_ms)
{
  endpoint->speed.used_ms = now_ms;
  endpoint->speed.figures_ms = 0;
}

/* Records the time to the first event of a request with MISSING_TOKENS that
   were not cached, unless it may have waited for a slot.  */
void
pool_record_first_event (struct pool_endpoint *endpoint,
                         int64_t missing_tokens,
                         const struct pool_outcome *outcome, int64_t now_ms)
{
  struct speed_load load = load_of (endpoint, outcome);

  if (outcome->waiting > 0)
    return;
  speed_record_first_event (
      &endpoint->speed.own, pool_speed_figures (endpoint, now_ms), &load,
      MAX (missing_tokens, 0), outcome->elapsed_ms * US_PER_MS, now_ms);
  note_use (endpoint, now_ms);
}

/* Records a stream whose last of EVENTS arrived so long after the first.
 */
void
pool_record_stream (struct pool_endpoint *endpoint, int64_t events,
                    const struct pool_outcome *outcome, int64_t now_ms)
{
  struct speed_load load = load_of (endpoint, outcome);
  struct service_speed *service = endpoint->speed.service;

  service->events_milli
      = service->events_milli
            ? service->events_milli
                  + (events * PERMILLE - service->events_milli) / EVENTS_SHARE
            : events * PERMILLE;
  if (events < MIN_EVENTS)
    return;
  learn_first (
      endpoint, SPEED_EVENT_US,
      without_work (outcome->elapsed_ms * US_PER_MS / (events - 1), &load));
  speed_record_events (&endpoint->speed.own,
                       pool_speed_figures (endpoint, now_ms), &load,
                       outcome->elapsed_ms * US_PER_MS / (events - 1), now_ms);
  note_use (endpoint, now_ms);
}

/* Records the duration of a plain call, unless it may have waited for a slot.
 */
void
pool_record_call (struct pool_endpoint *endpoint,
                  const struct pool_outcome *outcome, int64_t now_ms)
{
  struct speed_load load = load_of (endpoint, outcome);

  if (outcome->waiting > 0)
    return;
  learn_first (endpoint, SPEED_CALL_US,
               without_work (outcome->elapsed_ms * US_PER_MS, &load));
  speed_record_call (
      &endpoint->speed.own, pool_speed_figures (endpoint, now_ms), &load,
      MAX (outcome->elapsed_ms * US_PER_MS, US_PER_MS / 2), now_ms);
  note_use (endpoint, now_ms);
}

/* Records whether ENDPOINT served a request that reached it.  */
void
pool_record_outcome (struct pool_endpoint *endpoint, bool is_success,
                     int64_t now_ms)
{
  speed_record_outcome (&endpoint->speed.own, is_success, now_ms);
  note_use (endpoint, now_ms);
}

/* Records figures that another host has learned.  */
void
pool_record_shared_speed (struct pool_endpoint *endpoint,
                          const uint32_t *figures, size_t count,
                          uint32_t samples, int64_t now_ms)
{
  speed_merge (&endpoint->speed.shared, figures, count, samples, now_ms);
  endpoint->speed.figures_ms = 0;
}

/* Returns the latest estimate for ENDPOINT as a new reference.  */
json_t *
pool_speed_to_json (const struct pool_endpoint *endpoint)
{
  const struct pool_speed *speed = &endpoint->speed;
  const int64_t *values = speed->figures_ms ? speed->figures.values
                                            : speed->service->prior.values;
  const struct speed_figures figures
      = speed->figures_ms ? speed->figures : speed->service->prior;

  return json_pack (
      "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "first_event_us",
      (json_int_t)values[SPEED_FIRST_US], "prefill_ns_per_token",
      (json_int_t)values[SPEED_PREFILL_NS], "event_us",
      (json_int_t)values[SPEED_EVENT_US], "call_us",
      (json_int_t)values[SPEED_CALL_US], "errors_permille",
      (json_int_t)values[SPEED_ERROR_PERMILLE], "takes_at_a_time",
      (json_int_t)speed_knee (&figures, endpoint->slots),
      "slowdown_full_permille", (json_int_t)values[SPEED_FIGURES - 1],
      "work_percent", (json_int_t)endpoint->work_percent);
}
