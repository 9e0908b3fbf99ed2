/* Queue policies on the same programs: engines with slots, programs whose
   calls depend on one another, tool pauses, customers of unequal size, and one
   of them that now and then sends several times as much. */
#include "bench/figure.h"
#include "common/buf.h"
#include "policy/fair.h"
#include "policy/heap.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CUSTOMERS = 8,
  TOKEN_MS = 20,
  PAUSE_MS = 400,
  MAX_PROGRAMS = 40000,
  MAX_TURNS = 40,
  WARM_UP_MS = 60000,
  RUN_MS = 900000,
  SECOND_MS = 1000,
  /* Now and then the largest customer sends several times as much.  */
  PEAK_EVERY_MS = 150000,
  PEAK_MS = 30000,
  PEAK_FACTOR = 5,
};

struct mix
{
  const char *name;
  uint32_t slots;
  double shares[CUSTOMERS]; /* of the load */
  double long_share;        /* programs that are long ones */
  double short_turns;
  double long_turns;
  double mean_tokens;
};

/* Hanmae: students' questions and a few term plans.  Kajaste: night summaries
   and clinic reviews.  Both have 8 customers, a few of them large. */
static const struct mix mixes[] = {
  { "hanmae",
    96,
    { 0.32, 0.22, 0.16, 0.1, 0.08, 0.06, 0.04, 0.02 },
    0.08,
    3,
    24,
    90 },
  { "kajaste",
    64,
    { 0.3, 0.25, 0.15, 0.1, 0.08, 0.06, 0.04, 0.02 },
    0.15,
    2,
    18,
    110 },
};

struct program
{
  uint32_t customer;
  double arrived_ms;
  double finished_ms; /* 0 while it runs */
  uint32_t turns;
  uint32_t turn;
  int64_t attained;
  double own_ms; /* its calls and pauses, without waiting */
  struct fair_item item;
  int64_t call_tokens;
};

enum event_kind
{
  EVENT_ARRIVAL,
  EVENT_READY,  /* a pause is over */
  EVENT_SERVED, /* a call has had all its tokens */
};

struct event
{
  struct heap_node node; /* key: microseconds */
  enum event_kind kind;
  uint32_t customer;
  struct program *program;
};

struct simulation
{
  const struct mix *mix;
  struct fair_queue *queue;
  struct heap events;
  struct program *programs;
  uint32_t count;
  uint32_t slots;
  uint32_t busy;
  double now_ms;
  double load;
  bool present[CUSTOMERS];
  uint64_t seed;
  uint64_t ties;
};

struct result
{
  double mean_ms;
  double p95_ms;
  double customer_p95_ms[CUSTOMERS];
  double longest_ms;
  double unqueued_mean_ms; /* what the same programs take without waiting */
  uint32_t finished;
  uint32_t unfinished;
};

static double
mean_turns (const struct mix *mix)
{
  return (1 - mix->long_share) * mix->short_turns
         + mix->long_share * mix->long_turns;
}

/* Programs a millisecond that use the slots to the load.  */
static double
arrival_rate (const struct simulation *simulation, uint32_t customer)
{
  const struct mix *mix = simulation->mix;
  double work_ms = mean_turns (mix) * mix->mean_tokens * TOKEN_MS;

  double peak_share = (double)PEAK_MS / PEAK_EVERY_MS;
  double rate
      = simulation->load * mix->slots / work_ms * mix->shares[customer];

  if (customer != 0)
    return rate;
  /* The mean over peaks and the rest stays the same.  */
  rate /= 1 + peak_share * (PEAK_FACTOR - 1);
  return fmod (simulation->now_ms, PEAK_EVERY_MS) < PEAK_MS
             ? rate * PEAK_FACTOR
             : rate;
}

static void
schedule (struct simulation *simulation, double at_ms, enum event_kind kind,
          uint32_t customer, struct program *program)
{
  struct event *event = xcalloc (1, sizeof *event);

  event->kind = kind;
  event->customer = customer;
  event->program = program;
  event->node.key = (int64_t)(at_ms * SECOND_MS);
  event->node.tie = ++simulation->ties;
  heap_push (&simulation->events, &event->node);
}

/* Each program's sizes come from its own seed, so that every policy gets the
   very same programs.  */
static uint64_t
program_seed (const struct program *program, uint32_t index)
{
  return ((uint64_t)index + 1) * UINT64_C (0x9e3779b97f4a7c15)
         ^ ((uint64_t)program->customer << 32)
         ^ ((uint64_t)program->turn << 48);
}

static void
ready (struct simulation *simulation, struct program *program)
{
  uint64_t seed
      = program_seed (program, (uint32_t)(program - simulation->programs)) | 1;
  double tokens = figure_exponential (&seed, simulation->mix->mean_tokens);

  program->call_tokens = (int64_t)tokens + 1;
  program->own_ms += (double)(program->call_tokens * TOKEN_MS);
  program->item.customer = program->customer + 1;
  program->item.weight = 1;
  program->item.attained = program->attained;
  program->item.enqueued_ms = (int64_t)simulation->now_ms;
  fair_push (simulation->queue, &program->item);
}

static void
arrive (struct simulation *simulation, uint32_t customer)
{
  struct program *program;
  const struct mix *mix = simulation->mix;
  double mean;

  schedule (simulation,
            simulation->now_ms
                + figure_exponential (&simulation->seed,
                                      1 / arrival_rate (simulation, customer)),
            EVENT_ARRIVAL, customer, NULL);
  mean = figure_uniform (&simulation->seed) < mix->long_share
             ? mix->long_turns
             : mix->short_turns;
  if (simulation->count == MAX_PROGRAMS)
    return;
  program = &simulation->programs[simulation->count++];
  program->customer = customer;
  program->arrived_ms = simulation->now_ms;
  program->turns
      = (uint32_t)(figure_uniform (&simulation->seed) * 2 * (mean - 1)) + 1;
  if (program->turns > MAX_TURNS)
    program->turns = MAX_TURNS;
  if (simulation->present[customer])
    ready (simulation, program);
}

static void
served (struct simulation *simulation, struct program *program)
{
  simulation->busy--;
  program->attained += program->call_tokens;
  if (++program->turn == program->turns)
    {
      program->finished_ms = simulation->now_ms;
      return;
    }
  program->own_ms += PAUSE_MS;
  schedule (simulation, simulation->now_ms + PAUSE_MS, EVENT_READY,
            program->customer, program);
}

static void
fill_slots (struct simulation *simulation)
{
  while (simulation->busy < simulation->slots)
    {
      struct fair_item *item
          = fair_pop (simulation->queue, (int64_t)simulation->now_ms);
      struct program *program;

      if (!item)
        return;
      program = (struct program *)(void *)((char *)item
                                           - offsetof (struct program, item));
      simulation->busy++;
      fair_charge (simulation->queue, item->customer, item->weight,
                   program->call_tokens);
      schedule (simulation,
                simulation->now_ms + (double)(program->call_tokens * TOKEN_MS),
                EVENT_SERVED, program->customer, program);
    }
}

static void
run_events (struct simulation *simulation)
{
  while (simulation->now_ms < RUN_MS)
    {
      struct heap_node *node = heap_peek (&simulation->events);
      struct event *event = (struct event *)(void *)node;

      heap_remove (&simulation->events, node);
      simulation->now_ms = (double)node->key / SECOND_MS;
      if (event->kind == EVENT_ARRIVAL)
        arrive (simulation, event->customer);
      else if (event->kind == EVENT_READY)
        ready (simulation, event->program);
      else
        served (simulation, event->program);
      free (event);
      fill_slots (simulation);
    }
}

static void
collect (const struct simulation *simulation, struct result *result)
{
  double *all = xcalloc (simulation->count + 1, sizeof *all);
  double *own = xcalloc (simulation->count + 1, sizeof *own);
  uint32_t count = 0;
  double sum = 0;
  double own_sum = 0;

  memset (result, 0, sizeof *result);
  for (uint32_t c = 0; c < CUSTOMERS; c++)
    {
      uint32_t own_count = 0;

      for (uint32_t i = 0; i < simulation->count; i++)
        {
          const struct program *program = &simulation->programs[i];
          double took = program->finished_ms - program->arrived_ms;

          if (program->customer != c || !simulation->present[c]
              || program->arrived_ms < WARM_UP_MS
              || program->arrived_ms > RUN_MS * 0.8)
            continue;
          if (program->finished_ms <= 0)
            {
              result->unfinished++;
              took = RUN_MS - program->arrived_ms;
            }
          own[own_count++] = took;
          all[count++] = took;
          sum += took;
          own_sum += program->own_ms;
          if (took > result->longest_ms)
            result->longest_ms = took;
        }
      result->customer_p95_ms[c] = figure_percentile (own, own_count, 95);
    }
  result->finished = count - result->unfinished;
  result->mean_ms = count > 0 ? sum / count : 0;
  result->unqueued_mean_ms = count > 0 ? own_sum / count : 0;
  result->p95_ms = figure_percentile (all, count, 95);
  free (all);
  free (own);
}

/* Runs the mix under a policy; ONLY a customer on its share of the slots, or
   all of them where ONLY is negative.  */
static void
simulate (const struct mix *mix, const struct fair_policy *impl, double load,
          int only, struct result *result)
{
  struct simulation simulation
      = { .mix = mix,
          .queue = fair_create (impl),
          .programs = xcalloc (MAX_PROGRAMS, sizeof (struct program)),
          .slots = mix->slots,
          .load = load,
          .seed = 20261203 };

  for (uint32_t c = 0; c < CUSTOMERS; c++)
    {
      simulation.present[c] = only < 0 || (uint32_t)only == c;
      schedule (&simulation, 0, EVENT_ARRIVAL, c, NULL);
    }
  /* Alone: an equal part of the slots, or what its load needs if that is
     more of a help to the others.  */
  if (only >= 0)
    simulation.slots = mix->slots / CUSTOMERS;
  run_events (&simulation);
  collect (&simulation, result);
  while (simulation.events.count > 0)
    {
      struct heap_node *node = heap_peek (&simulation.events);

      heap_remove (&simulation.events, node);
      free (node);
    }
  heap_release (&simulation.events);
  fair_destroy (simulation.queue);
  free (simulation.programs);
}

static void
print (const struct mix *mix, const char *policy, int percent,
       const char *what, double value, const char *unit, double bound,
       enum figure_sense sense)
{
  char *name = xasprintf ("%s_%s_at_%d_%s", mix->name, policy, percent, what);

  figure_print (name, value, unit, bound, sense);
  free (name);
}

/* A customer whose load is below its fair share is owed the latency that it
   would have alone on that share; the worst of those counts.  */
static double
worst_against_alone (const struct mix *mix, const struct result *result,
                     double load)
{
  double worst = 0;

  for (int c = 0; c < CUSTOMERS; c++)
    {
      struct result alone;
      double ratio;

      if (mix->shares[c] * load > 1.0 / CUSTOMERS)
        continue;
      simulate (mix, &fair_fcfs, load, c, &alone);
      ratio = result->customer_p95_ms[c] / alone.customer_p95_ms[c];
      if (ratio > worst)
        worst = ratio;
    }
  return worst;
}

static void
compare (const struct mix *mix, int percent)
{
  static const struct fair_policy *const impls[]
      = { &fair_fcfs, &fair_round_robin, &fair_least_attained,
          &fair_weighted };
  double load = percent / 100.0;
  struct result results[4];

  for (int i = 0; i < 4; i++)
    {
      simulate (mix, impls[i], load, -1, &results[i]);
      print (mix, impls[i]->name, percent, "mean_ms", results[i].mean_ms, "ms",
             0, FIGURE_NO_BOUND);
      print (mix, impls[i]->name, percent, "p95_ms", results[i].p95_ms, "ms",
             0, FIGURE_NO_BOUND);
      print (mix, impls[i]->name, percent, "longest_ms", results[i].longest_ms,
             "ms", 0, FIGURE_NO_BOUND);
    }
  print (mix, "no_waiting", percent, "mean_to_fcfs",
         results[0].unqueued_mean_ms / results[0].mean_ms, "ratio", 0,
         FIGURE_NO_BOUND);
  print (mix, "weighted", percent, "mean_to_fcfs",
         results[3].mean_ms / results[0].mean_ms, "ratio", 0.6,
         percent == 90 ? FIGURE_AT_MOST : FIGURE_NO_BOUND);
  print (mix, "weighted", percent, "p95_to_fcfs",
         results[3].p95_ms / results[0].p95_ms, "ratio", 0.6,
         percent == 90 ? FIGURE_AT_MOST : FIGURE_NO_BOUND);
  print (mix, "weighted", percent, "worst_customer_to_alone",
         worst_against_alone (mix, &results[3], load), "ratio", 1.25,
         FIGURE_AT_MOST);
  if (percent < 100)
    print (mix, "weighted", percent, "unfinished", results[3].unfinished,
           "programs", 0, FIGURE_AT_MOST);
}

int
main (void)
{
  static const int percents[] = { 70, 90, 110 };

  for (size_t m = 0; m < sizeof mixes / sizeof *mixes; m++)
    for (size_t i = 0; i < sizeof percents / sizeof *percents; i++)
      compare (&mixes[m], percents[i]);
  return 0;
}
