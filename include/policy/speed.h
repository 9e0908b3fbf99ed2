/* Estimates how fast an endpoint works, from the outcomes of the requests sent
   there (request/pool_speed.h) and from what other hosts have learned.

   Each figure is a mean that forgets within seconds, limits the influence of
   single outliers, and tends to a prior while there are few samples.  */
#ifndef GALENA_POLICY_SPEED_H
#define GALENA_POLICY_SPEED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  SPEED_LOADS = 5, /* ranges of the share of slots in use */
  /* Last resort prior for the prompt tokens read per millisecond: between the
     speeds of the slowest and the fastest engine that users described in
     their deployments. */
  SPEED_PREFILL_TOKENS_PER_MS = 40,
  /* Growth of a batch step with each further request that runs, relative to
     the step of one request: 0.12 ms of 5 ms. */
  SPEED_BATCH_PERMILLE = 24,
};

/* Indexes of the figures, also in the message SpeedFact of peer/peer.proto. */
enum speed_figure
{
  SPEED_FIRST_US,       /* fixed part of the time to the first event */
  SPEED_PREFILL_NS,     /* per prompt token that is not cached */
  SPEED_EVENT_US,       /* per event of a stream that runs alone */
  SPEED_CALL_US,        /* of a plain call */
  SPEED_ERROR_PERMILLE, /* share of the requests that fail */
  SPEED_LOAD_PERMILLE,  /* share of the slots in use */
  /* Time of work against the above, for each range of load. */
  SPEED_SLOWDOWN_PERMILLE,
  SPEED_FIGURES = SPEED_SLOWDOWN_PERMILLE + SPEED_LOADS,
};

struct speed_figures
{
  int64_t values[SPEED_FIGURES];
};

struct speed_track
{
  double value;
  double weight; /* in samples, as of at_ms */
  int64_t at_ms;
  int32_t streak; /* outliers in a row; negative for low ones */
};

/* What is known of an endpoint.  Zero-initialized if nothing is. */
struct speed
{
  struct speed_track tracks[SPEED_FIGURES];
};

/* The load under which a request runs. */
struct speed_load
{
  int64_t running; /* including the request */
  int64_t slots;
  int64_t work_percent; /* how long work takes on the machine, 100: as usual;
                           0 if unknown */
};

const struct speed_figures *speed_default_prior (void);
void speed_record_first_event (struct speed *speed,
                               const struct speed_figures *estimate,
                               const struct speed_load *load,
                               int64_t missing_tokens, int64_t elapsed_us,
                               int64_t now_ms);
void speed_record_events (struct speed *speed,
                          const struct speed_figures *estimate,
                          const struct speed_load *load, int64_t event_us,
                          int64_t now_ms);
void speed_record_call (struct speed *speed,
                        const struct speed_figures *estimate,
                        const struct speed_load *load, int64_t elapsed_us,
                        int64_t now_ms);
void speed_record_outcome (struct speed *speed, bool is_success,
                           int64_t now_ms);
void speed_record_load (struct speed *speed, int64_t running, int64_t slots,
                        int64_t now_ms);
void speed_merge (struct speed *speed, const uint32_t *figures, size_t count,
                  uint32_t samples, int64_t now_ms);
uint32_t speed_export (const struct speed *speed,
                       uint32_t figures[SPEED_FIGURES], int64_t now_ms);
double speed_weight (const struct speed *speed, enum speed_figure figure,
                     int64_t now_ms);
void speed_estimate (const struct speed *own, const struct speed *shared,
                     const struct speed_figures *prior, int64_t now_ms,
                     struct speed_figures *out);
int64_t speed_prefill_us (const struct speed_figures *figures,
                          const struct speed_load *load, int64_t tokens);
int64_t speed_first_event_us (const struct speed_figures *figures,
                              const struct speed_load *load,
                              int64_t missing_tokens);
int64_t speed_event_us (const struct speed_figures *figures,
                        const struct speed_load *load);
int64_t speed_call_us (const struct speed_figures *figures,
                       const struct speed_load *load);
int64_t speed_knee (const struct speed_figures *figures, int64_t slots);

#endif
