/* Simulates the queue policies on an identical workload: an engine pool with
   a fixed number of slots, programs of sequential calls with tool pauses, and
   customers of unequal size, the largest of which has periodic load peaks. */
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
  /* Periodic load peaks of the largest customer.  */
  PEAK_EVERY_MS = 150000,
  PEAK_MS = 30000,
  PEAK_FACTOR = 5,
};

struct mix
{
  const char *name;
  uint32_t slots;
  double shares[CUSTOMERS]; /* fractions of the load */
  double long_share;        /* fraction of programs that are long */
  double short_turns;
  double long_turns;
  double mean_tokens;
};

/* Workloads modelled on two deployments.  hanmae: short student questions and
   a few long term plans.  kajaste: night summaries and long clinic reviews.
   Both have 8 customers, a few of them large. */
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
  double unqueued_ms; /* calls and pauses, without queueing */
  struct fair_item item;
  int64_t call_tokens;
};

enum event_kind
{
  EVENT_ARRIVAL,
  EVENT_READY,  /* a tool pause has ended */
  EVENT_SERVED, /* a call has generated all its tokens */
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
  bool active[CUSTOMERS];
  uint64_t seed;
  uint64_t event_count;
};

struct result
{
  double mean_ms;
  double p95_ms;
  double customer_p95_ms[CUSTOMERS];
  double longest_ms;
  double unqueued_mean_ms; /* mean of the same programs without queueing */
  uint32_t finished;
  uint32_t unfinished;
};

static double
mean_turns (const struct mix *mix)
{
  return (1 - mix->long_share) * mix->short_turns
         + mix->long_share * mix->long_turns;
}

/* Returns a customer's arrival rate, in programs per millisecond, at which the
   total utilization of the slots equals the load.  */
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
  /* Lowers the base rate so that the mean including peaks is unchanged.  */
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
  event->node.tie = ++simulation->event_count;
  heap_push (&simulation->events, &event->node);
}

/* Derives call sizes from the program and turn instead of a shared generator,
   so that every policy runs an identical workload.  */
static uint64_t
program_seed (const struct program *program, uint32_t index)
{
  return ((uint64_t)index + 1) * UINT64_C (0x9e3779b97f4a7c15)
         ^ ((uint64_t)program->customer << 32)
         ^ ((uint64_t)program->turn << 48);
}

static void
enqueue_call (struct simulation *simulation, struct program *program)
{
  uint64_t seed
      = program_seed (program, (uint32_t)(program - simulation->programs)) | 1;
  double tokens = figure_exponential (&seed, simulation->mix->mean_tokens);

  program->call_tokens = (int64_t)tokens + 1;
  program->unqueued_ms += (double)(program->call_tokens * TOKEN_MS);
  program->item.customer = program->customer + 1;
  program->item.weight = 1;
  program->item.attained = program->attained;
  program->item.enqueued_ms = (int64_t)simulation->now_ms;
  fair_push (simulation->queue, &program->item);
}

static void
handle_arrival (struct simulation *simulation, uint32_t customer)
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
  if (simulation->active[customer])
    enqueue_call (simulation, program);
}

static void
handle_served (struct simulation *simulation, struct program *program)
{
  simulation->busy--;
  program->attained += program->call_tokens;
  if (++program->turn == program->turns)
    {
      program->finished_ms = simulation->now_ms;
      return;
    }
  program->unqueued_ms += PAUSE_MS;
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
        handle_arrival (simulation, event->customer);
      else if (event->kind == EVENT_READY)
        enqueue_call (simulation, event->program);
      else
        handle_served (simulation, event->program);
      free (event);
      fill_slots (simulation);
    }
}

static void
collect (const struct simulation *simulation, struct result *result)
{
  double *all_samples = xcalloc (simulation->count + 1, sizeof *all_samples);
  double *samples = xcalloc (simulation->count + 1, sizeof *samples);
  uint32_t count = 0;
  double sum = 0;
  double unqueued_sum = 0;

  memset (result, 0, sizeof *result);
  for (uint32_t c = 0; c < CUSTOMERS; c++)
    {
      uint32_t sample_count = 0;

      for (uint32_t i = 0; i < simulation->count; i++)
        {
          const struct program *program = &simulation->programs[i];
          double elapsed_ms = program->finished_ms - program->arrived_ms;

          if (program->customer != c || !simulation->active[c]
              || program->arrived_ms < WARM_UP_MS
              || program->arrived_ms > RUN_MS * 0.8)
            continue;
          if (program->finished_ms <= 0)
            {
              result->unfinished++;
              elapsed_ms = RUN_MS - program->arrived_ms;
            }
          samples[sample_count++] = elapsed_ms;
          all_samples[count++] = elapsed_ms;
          sum += elapsed_ms;
          unqueued_sum += program->unqueued_ms;
          if (elapsed_ms > result->longest_ms)
            result->longest_ms = elapsed_ms;
        }
      result->customer_p95_ms[c]
          = figure_percentile (samples, sample_count, 95);
    }
  result->finished = count - result->unfinished;
  result->mean_ms = count > 0 ? sum / count : 0;
  result->unqueued_mean_ms = count > 0 ? unqueued_sum / count : 0;
  result->p95_ms = figure_percentile (all_samples, count, 95);
  free (all_samples);
  free (samples);
}

/* Simulates MIX under a policy: customer ONLY_CUSTOMER alone on an equal share
   of the slots, or all customers on all slots if ONLY_CUSTOMER
   is negative.  */
static void
simulate (const struct mix *mix, const struct fair_policy *policy, double load,
          int only_customer, struct result *result)
{
  struct simulation simulation
      = { .mix = mix,
          .queue = fair_create (policy),
          .programs = xcalloc (MAX_PROGRAMS, sizeof (struct program)),
          .slots = mix->slots,
          .load = load,
          .seed = 20261203 };

  for (uint32_t c = 0; c < CUSTOMERS; c++)
    {
      simulation.active[c] = only_customer < 0 || (uint32_t)only_customer == c;
      schedule (&simulation, 0, EVENT_ARRIVAL, c, NULL);
    }
  /* A customer alone gets an equal share of the slots.  */
  if (only_customer >= 0)
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

/* A customer whose load is within its fair share should see about the p95 that
   it would have alone on that share.  Returns the worst ratio of the two.  */
static double
worst_ratio_to_alone (const struct mix *mix, const struct result *result,
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
compare_policies (const struct mix *mix, int percent)
{
  static const struct fair_policy *const policies[]
      = { &fair_fcfs, &fair_round_robin, &fair_least_attained,
          &fair_weighted };
  double load = percent / 100.0;
  struct result results[4];

  for (int i = 0; i < 4; i++)
    {
      simulate (mix, policies[i], load, -1, &results[i]);
      print (mix, policies[i]->name, percent, "mean_ms", results[i].mean_ms,
             "ms", 0, FIGURE_NO_BOUND);
      print (mix, policies[i]->name, percent, "p95_ms", results[i].p95_ms,
             "ms", 0, FIGURE_NO_BOUND);
      print (mix, policies[i]->name, percent, "longest_ms",
             results[i].longest_ms, "ms", 0, FIGURE_NO_BOUND);
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
         worst_ratio_to_alone (mix, &results[3], load), "ratio", 1.25,
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
      compare_policies (&mixes[m], percents[i]);
  return 0;
}
