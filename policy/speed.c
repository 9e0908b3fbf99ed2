#include "policy/speed.h"
#include <math.h>

/* A change is followed within 2 s, and an endpoint that no longer gets
   requests because it was slow or failed is tried again within some 6 s, the
   length of the users' disturbances.  */
static const double HALF_LIFE_MS = 2000.0;
static const double ERROR_HALF_LIFE_MS = 2000.0;
static const double MAX_WEIGHT = 6.0; /* of a new sample, at least a seventh */
static const double MAX_SHARED_WEIGHT = 6.0;
/* Load changes with each request.  Single hosts rarely see it: of 60 hosts and
   45 engines, one gets a report of one engine every few seconds.  */
static const double LOAD_HALF_LIFE_MS = 1000.0;
static const double LOAD_MAX_WEIGHT = 3.0;
static const double ERROR_MAX_WEIGHT = 20.0;
static const double PRIOR_WEIGHT = 0.6;
static const double ERROR_PRIOR_WEIGHT = 1.0; /* of no errors */
static const double MIN_TOLD_WEIGHT = 0.5;
/* Samples further off are outliers.  The work of other machines that share
   one with the endpoint changes its times by less.  */
static const double OUTLIER_FACTOR = 1.7;
static const double MAX_FACTOR = 16.0; /* of a sample against the estimate */
static const double STREAK_WEIGHT = 0.5;

enum
{
  STREAK = 3, /* outliers in a row that show a change of speed */
  /* Shorter prompts tell the fixed part of the time to the first event, longer
     ones the time per token. */
  MIN_PREFILL_TOKENS = 400,
  MAX_SLOWDOWN_PERMILLE = 20000,
  MIN_SLOWDOWN_PERMILLE = 300,
  MAX_LOAD_PERMILLE = 10000,
  MAX_FIGURE = 10 * 1000 * 1000,    /* 10 s, or 10 ms per token */
  MAX_WORK_US = 1000 * 1000 * 1000, /* bounds what is computed with it */
  KNEE_PERMILLE = 1500,             /* more is a slowdown by load */
  NS_PER_US = 1000,
  PERMILLE = 1000,
};

/* Upper ends of the ranges of load, in percent of the slots.  The last ones
   are narrow, since some endpoints slow down just before they are full.  */
static const int64_t load_ends[SPEED_LOADS] = { 25, 50, 75, 90, INT64_MAX };

/* Ranges up to this one tell the speed itself, the others the slowdown.  */
static const int LAST_LIGHT_LOAD = 1;

/* Returns the figures for endpoints of a service of which nothing is known.
 */
const struct speed_figures *
speed_default_prior (void)
{
  static const struct speed_figures prior
      = { { [SPEED_FIRST_US] = 10000,
            [SPEED_PREFILL_NS] = 1000000 / SPEED_PREFILL_TOKENS_PER_MS,
            [SPEED_EVENT_US] = 5000,
            [SPEED_CALL_US] = 30000,
            [SPEED_SLOWDOWN_PERMILLE] = PERMILLE,
            [SPEED_SLOWDOWN_PERMILLE + 1] = PERMILLE,
            [SPEED_SLOWDOWN_PERMILLE + 2] = PERMILLE,
            [SPEED_SLOWDOWN_PERMILLE + 3] = PERMILLE,
            [SPEED_SLOWDOWN_PERMILLE + 4] = PERMILLE } };

  return &prior;
}

static int
load_range (const struct speed_load *load)
{
  int64_t slots = load->slots > 0 ? load->slots : 1;
  int range = 0;

  while (load->running * 100 / slots > load_ends[range])
    range++;
  return range;
}

static double
decayed_weight (const struct speed_track *track, double half_life_ms,
                int64_t now_ms)
{
  int64_t age_ms = now_ms > track->at_ms ? now_ms - track->at_ms : 0;

  if (track->weight <= 0)
    return 0;
  return track->weight * exp2 (-(double)age_ms / half_life_ms);
}

static double
half_life_ms (enum speed_figure figure)
{
  if (figure == SPEED_LOAD_PERMILLE)
    return LOAD_HALF_LIFE_MS;
  return figure == SPEED_ERROR_PERMILLE ? ERROR_HALF_LIFE_MS : HALF_LIFE_MS;
}

static void
add_sample (struct speed_track *track, double sample, double weight,
            int64_t now_ms)
{
  track->value = (track->value * weight + sample) / (weight + 1);
  track->weight = weight + 1;
  track->at_ms = now_ms;
}

/* Adds a sample, whose influence is limited unless it is one of several
   outliers in a row.  ESTIMATE is what the sample was expected to be.  */
static void
record (struct speed_track *track, double sample, double estimate,
        int64_t now_ms)
{
  double weight
      = fmin (decayed_weight (track, HALF_LIFE_MS, now_ms), MAX_WEIGHT);
  double factor = OUTLIER_FACTOR;

  if (sample <= 0 || estimate <= 0)
    return;
  if (sample > estimate * OUTLIER_FACTOR)
    track->streak = track->streak > 0 ? track->streak + 1 : 1;
  else if (sample < estimate / OUTLIER_FACTOR)
    track->streak = track->streak < 0 ? track->streak - 1 : -1;
  else
    track->streak = 0;
  if (track->streak >= STREAK || track->streak <= -STREAK)
    {
      weight = fmin (weight, STREAK_WEIGHT);
      factor = MAX_FACTOR;
    }
  sample = fmax (fmin (sample, estimate * factor), estimate / factor);
  sample = fmin (sample, MAX_FIGURE);
  add_sample (track, sample, weight, now_ms);
}

/* Returns by how much work takes longer than at rest, in permille, apart from
   the slowdown that was learned.  */
static double
batch_permille (const struct speed_load *load)
{
  int64_t others = load->running > 1 ? load->running - 1 : 0;

  return (double)(PERMILLE + others * SPEED_BATCH_PERMILLE);
}

static double
work_factor (const struct speed_load *load)
{
  return load->work_percent > 0 ? (double)load->work_percent / 100.0 : 1.0;
}

/* Records that work which takes ALONE_US without other requests took
   ELAPSED_US; *FIGURE is the estimate of the track.  Under a heavy load the
   slowdown is learned.  */
static void
record_work (struct speed *speed, const struct speed_figures *estimate,
             const struct speed_load *load, enum speed_figure figure,
             double sample, int64_t now_ms)
{
  int range = load_range (load);
  enum speed_figure slowdown = SPEED_SLOWDOWN_PERMILLE + (unsigned)range;
  double expected = (double)estimate->values[figure];

  if (range <= LAST_LIGHT_LOAD)
    record (&speed->tracks[figure], sample, expected, now_ms);
  else if (expected > 0)
    record (&speed->tracks[slowdown],
            fmin (fmax (sample / expected * PERMILLE, MIN_SLOWDOWN_PERMILLE),
                  MAX_SLOWDOWN_PERMILLE),
            (double)estimate->values[slowdown], now_ms);
}

/* Records the time to the first event of a request with MISSING_TOKENS that
   were not cached.  It must not have waited for a slot.  */
void
speed_record_first_event (struct speed *speed,
                          const struct speed_figures *estimate,
                          const struct speed_load *load,
                          int64_t missing_tokens, int64_t elapsed_us,
                          int64_t now_ms)
{
  double alone_us = (double)elapsed_us / work_factor (load)
                    / batch_permille (load) * PERMILLE;
  double prefill_us = (double)missing_tokens
                      * (double)estimate->values[SPEED_PREFILL_NS] / NS_PER_US;

  if (missing_tokens < MIN_PREFILL_TOKENS)
    record_work (speed, estimate, load, SPEED_FIRST_US,
                 fmax (alone_us - prefill_us, 1), now_ms);
  else
    record_work (speed, estimate, load, SPEED_PREFILL_NS,
                 fmax (alone_us - (double)estimate->values[SPEED_FIRST_US], 1)
                     * NS_PER_US / (double)missing_tokens,
                 now_ms);
}

/* Records the mean time between the events of a stream.  */
void
speed_record_events (struct speed *speed, const struct speed_figures *estimate,
                     const struct speed_load *load, int64_t event_us,
                     int64_t now_ms)
{
  record_work (speed, estimate, load, SPEED_EVENT_US,
               (double)event_us / work_factor (load) / batch_permille (load)
                   * PERMILLE,
               now_ms);
}

/* Records the duration of a plain call.  */
void
speed_record_call (struct speed *speed, const struct speed_figures *estimate,
                   const struct speed_load *load, int64_t elapsed_us,
                   int64_t now_ms)
{
  record_work (speed, estimate, load, SPEED_CALL_US,
               (double)elapsed_us / work_factor (load), now_ms);
}

/* Records whether the endpoint served a request.  */
void
speed_record_outcome (struct speed *speed, bool is_success, int64_t now_ms)
{
  struct speed_track *track = &speed->tracks[SPEED_ERROR_PERMILLE];
  double weight = fmin (decayed_weight (track, ERROR_HALF_LIFE_MS, now_ms),
                        ERROR_MAX_WEIGHT);

  add_sample (track, is_success ? 0 : PERMILLE, weight, now_ms);
}

/* Records the load that the endpoint reported.  */
void
speed_record_load (struct speed *speed, int64_t running, int64_t slots,
                   int64_t now_ms)
{
  struct speed_track *track = &speed->tracks[SPEED_LOAD_PERMILLE];
  double weight = fmin (decayed_weight (track, LOAD_HALF_LIFE_MS, now_ms),
                        LOAD_MAX_WEIGHT);

  if (slots > 0)
    add_sample (
        track,
        fmin ((double)running * PERMILLE / (double)slots, MAX_LOAD_PERMILLE),
        weight, now_ms);
}

/* Returns how many samples the figure is worth now.  */
double
speed_weight (const struct speed *speed, enum speed_figure figure,
              int64_t now_ms)
{
  return decayed_weight (&speed->tracks[figure], half_life_ms (figure),
                         now_ms);
}

/* Returns the largest plausible value of a figure.  */
static double
max_value (size_t figure)
{
  if (figure >= SPEED_SLOWDOWN_PERMILLE)
    return MAX_SLOWDOWN_PERMILLE;
  if (figure == SPEED_LOAD_PERMILLE)
    return MAX_LOAD_PERMILLE;
  return figure == SPEED_ERROR_PERMILLE ? PERMILLE : MAX_FIGURE;
}

/* Adds the figures that another host has sent, as speed_export stores them.
   What was heard before counts for at most MAX_SHARED_WEIGHT samples.  */
void
speed_merge (struct speed *speed, const uint32_t *figures, size_t count,
             uint32_t samples, int64_t now_ms)
{
  double added = fmin (samples, MAX_SHARED_WEIGHT);

  for (size_t i = 0; i < count && i < SPEED_FIGURES && added > 0; i++)
    {
      struct speed_track *track = &speed->tracks[i];
      double weight = speed_weight (speed, (enum speed_figure)i, now_ms);

      if (figures[i] == 0)
        continue;
      track->value = (track->value * weight
                      + fmin (figures[i] - 1, max_value (i)) * added)
                     / (weight + added);
      track->weight = fmin (weight + added, MAX_SHARED_WEIGHT);
      track->at_ms = now_ms;
    }
}

/* Stores what is known, each figure plus 1, or 0 where it is unknown.  Returns
   how many samples it is worth, 0 if nothing is known.  */
uint32_t
speed_export (const struct speed *speed, uint32_t figures[SPEED_FIGURES],
              int64_t now_ms)
{
  double samples = 0;

  for (int i = 0; i < SPEED_FIGURES; i++)
    {
      double weight = speed_weight (speed, (enum speed_figure)i, now_ms);

      figures[i] = 0;
      if (weight < MIN_TOLD_WEIGHT)
        continue;
      figures[i] = (uint32_t)fmin (speed->tracks[i].value + 1, UINT32_MAX);
      samples = fmax (samples, weight);
    }
  return (uint32_t)ceil (samples);
}

/* Estimates the figures from the requests of this host, from what other hosts
   have learned and from PRIOR.  */
void
speed_estimate (const struct speed *own, const struct speed *shared,
                const struct speed_figures *prior, int64_t now_ms,
                struct speed_figures *out)
{
  for (int i = 0; i < SPEED_FIGURES; i++)
    {
      double own_weight = speed_weight (own, (enum speed_figure)i, now_ms);
      double shared_weight
          = speed_weight (shared, (enum speed_figure)i, now_ms);
      double prior_weight
          = i == SPEED_ERROR_PERMILLE ? ERROR_PRIOR_WEIGHT : PRIOR_WEIGHT;

      out->values[i]
          = (int64_t)((own->tracks[i].value * own_weight
                       + shared->tracks[i].value * shared_weight
                       + (double)prior->values[i] * prior_weight)
                      / (own_weight + shared_weight + prior_weight));
    }
}

/* Returns the time of work that takes ALONE_US without other requests.  */
static int64_t
work_us (const struct speed_figures *figures, const struct speed_load *load,
         int64_t alone_us)
{
  int64_t slowdown
      = figures->values[SPEED_SLOWDOWN_PERMILLE + load_range (load)];
  int64_t percent = load->work_percent > 0 ? load->work_percent : 100;

  if (alone_us > MAX_WORK_US)
    alone_us = MAX_WORK_US;
  alone_us = alone_us * slowdown / PERMILLE * percent / 100;
  return alone_us < MAX_WORK_US ? alone_us : MAX_WORK_US;
}

static int64_t
batch_us (const struct speed_load *load, int64_t alone_us)
{
  int64_t others = load->running > 1 ? load->running - 1 : 0;

  return alone_us + alone_us * others * SPEED_BATCH_PERMILLE / PERMILLE;
}

/* Predicts how long reading TOKENS of a prompt takes.  */
int64_t
speed_prefill_us (const struct speed_figures *figures,
                  const struct speed_load *load, int64_t tokens)
{
  return work_us (
      figures, load,
      batch_us (load, tokens * figures->values[SPEED_PREFILL_NS] / NS_PER_US));
}

/* Predicts the time to the first event from when the request has a slot.  */
int64_t
speed_first_event_us (const struct speed_figures *figures,
                      const struct speed_load *load, int64_t missing_tokens)
{
  return speed_prefill_us (figures, load, missing_tokens)
         + work_us (figures, load,
                    batch_us (load, figures->values[SPEED_FIRST_US]));
}

/* Predicts the time between two events.  */
int64_t
speed_event_us (const struct speed_figures *figures,
                const struct speed_load *load)
{
  return work_us (figures, load,
                  batch_us (load, figures->values[SPEED_EVENT_US]));
}

/* Predicts the duration of a plain call from when it has a slot.  */
int64_t
speed_call_us (const struct speed_figures *figures,
               const struct speed_load *load)
{
  return work_us (figures, load, figures->values[SPEED_CALL_US]);
}

/* Returns how many requests an endpoint with SLOTS takes at a time before it
   slows down.  */
int64_t
speed_knee (const struct speed_figures *figures, int64_t slots)
{
  for (int64_t running = 1; running <= slots; running++)
    {
      struct speed_load load = { .running = running, .slots = slots };

      if (figures->values[SPEED_SLOWDOWN_PERMILLE + load_range (&load)]
          > KNEE_PERMILLE)
        return running - 1;
    }
  return slots;
}
