/* Compares schemes that enforce one customer's rate limit across many hosts,
   on identical arrivals: per-slot buckets with token loans (the product's own
   code), a static split, a single limiting host, and pairwise transfer of
   shares in proportion to measured demand with a gain threshold, as in
   "Malleable iterative MPI applications".  */
#include "bench/figure.h"
#include "common/buf.h"
#include "policy/slots.h"
#include "policy/token_bucket.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  DCS = 4,
  HOSTS_PER_DC = 2,
  HOSTS = DCS * HOSTS_PER_DC,
  SLOTS = 16,
  MAX_PARTS = DCS * SLOTS,
  RUN_MS = 120000,
  LOCAL_MS = 1,  /* round trip within a data centre */
  REMOTE_MS = 2, /* round trip to another data centre */
  ADMIT_WAIT_MS = 400,
  MAX_ASKS = 6,
  MAX_WAITING = 4096,
  MOVE_MS = 10000, /* time the load stays in one data centre */
  FAULT_MS = 40000,
  FAULT_LASTS_MS = 40000,
  PAIR_EVERY_MS = 200,
  RATE = 100,
  BURST = 100,
};

static const double GAIN_THRESHOLD = 0.1;

enum scenario
{
  SCENARIO_STEADY,
  SCENARIO_MOVING, /* the load moves from one data centre to the next */
  SCENARIO_DEATH,  /* a host dies, and its slots are not reassigned */
  SCENARIO_CUT,    /* one data centre is partitioned from the others */
  SCENARIO_GREEDY, /* offered load of five times the rate */
  SCENARIO_COUNT,
};

static const char *const scenario_names[]
    = { "steady", "moving", "host_death", "cut", "greedy" };

struct simulation;

/* A rate limiting scheme. */
struct scheme
{
  const char *name;
  /* Returns whether HOST may admit a request at NOW_MS, and adds the latency
     of the decision to COST_MS. */
  bool (*admit) (struct simulation *simulation, int host, int64_t now_ms,
                 int64_t *cost_ms);
  void (*tick) (struct simulation *simulation, int64_t now_ms);
};

struct waiting
{
  int host;
  int64_t since_ms;
  int64_t next_ms;
};

struct simulation
{
  const struct scheme *scheme;
  enum scenario scenario;
  struct token_bucket buckets[MAX_PARTS];
  int bucket_host[MAX_PARTS];
  uint32_t bucket_count;
  double share[HOSTS];  /* fraction of the rate, for the pairwise scheme */
  double demand[HOSTS]; /* exponentially decayed request count */
  bool dead[HOSTS];
  struct token_bucket reference; /* one exact bucket for all hosts */
  struct waiting waiting[MAX_WAITING];
  uint32_t waiting_count;
  uint64_t seed;
  uint64_t nonce;
  int64_t offered;
  int64_t refused;
  int64_t over_admitted;
  int64_t wait_ms;
  int64_t admitted;
  int64_t asks;
};

static int
dc_of (int host)
{
  return host / HOSTS_PER_DC;
}

static bool
is_reachable (const struct simulation *simulation, int from, int to,
              int64_t now_ms)
{
  bool during_fault = now_ms >= FAULT_MS && now_ms < FAULT_MS + FAULT_LASTS_MS;

  if (simulation->dead[to])
    return false;
  if (simulation->scenario != SCENARIO_CUT || !during_fault)
    return true;
  return (dc_of (from) == 0) == (dc_of (to) == 0);
}

static void
add_bucket (struct simulation *simulation, int host, int64_t rate,
            int64_t capacity)
{
  struct token_bucket *bucket = &simulation->buckets[simulation->bucket_count];

  token_bucket_init (bucket, 0);
  token_bucket_configure (bucket, rate, capacity, 0, 0);
  simulation->bucket_host[simulation->bucket_count++] = host;
}

static bool
ask_bucket (struct simulation *simulation, uint32_t at, int host,
            int64_t now_ms, int64_t *cost_ms)
{
  uint64_t nonce = ++simulation->nonce;

  if (!is_reachable (simulation, host, simulation->bucket_host[at], now_ms))
    return false;
  simulation->asks++;
  *cost_ms += dc_of (host) == dc_of (simulation->bucket_host[at]) ? LOCAL_MS
                                                                  : REMOTE_MS;
  if (token_bucket_lend (&simulation->buckets[at], nonce, UTOKENS_PER_TOKEN,
                         now_ms)
      < UTOKENS_PER_TOKEN)
    return false;
  token_bucket_confirm (&simulation->buckets[at], nonce, 0, now_ms);
  return true;
}

static bool
admit_borrowing (struct simulation *simulation, int host, int64_t now_ms,
                 int64_t *cost_ms)
{
  uint32_t start = (uint32_t)figure_random (&simulation->seed);
  int asks = 0;

  for (uint32_t i = 0; i < simulation->bucket_count; i++)
    if (simulation->bucket_host[i] == host
        && token_bucket_take (&simulation->buckets[i], UTOKENS_PER_TOKEN,
                              now_ms))
      return true;
  for (int round = 0; round < 2; round++)
    for (uint32_t i = 0; i < simulation->bucket_count && asks < MAX_ASKS; i++)
      {
        uint32_t at = (start + i) % simulation->bucket_count;
        bool local = dc_of (simulation->bucket_host[at]) == dc_of (host);

        if (simulation->bucket_host[at] == host || local != (round == 0))
          continue;
        asks++;
        if (ask_bucket (simulation, at, host, now_ms, cost_ms))
          return true;
      }
  return false;
}

static bool
admit_local (struct simulation *simulation, int host, int64_t now_ms,
             int64_t *cost_ms)
{
  return token_bucket_take (&simulation->buckets[host], UTOKENS_PER_TOKEN,
                            now_ms);
}

static bool
admit_single (struct simulation *simulation, int host, int64_t now_ms,
              int64_t *cost_ms)
{
  return ask_bucket (simulation, 0, host, now_ms, cost_ms);
}

static void
tick_none (struct simulation *simulation, int64_t now_ms)
{
}

/* Pairs of hosts rebalance their shares in proportion to demand if the change
   exceeds the gain threshold.  The decrease of one bucket applies at once, the
   increase of the other only after REMOTE_MS.  */
static void
tick_pairwise (struct simulation *simulation, int64_t now_ms)
{
  if (now_ms % PAIR_EVERY_MS != 0)
    return;
  for (int a = 0; a < HOSTS; a++)
    {
      int b = (a + 1 + (int)(now_ms / PAIR_EVERY_MS) % (HOSTS - 1)) % HOSTS;
      double total = simulation->share[a] + simulation->share[b];
      double target_share
          = total * (simulation->demand[a] + 0.01)
            / (simulation->demand[a] + simulation->demand[b] + 0.02);

      if (simulation->dead[a] || !is_reachable (simulation, a, b, now_ms)
          || fabs (target_share - simulation->share[a])
                 < GAIN_THRESHOLD * total)
        continue;
      simulation->share[a] = target_share;
      simulation->share[b] = total - target_share;
      for (int i = 0; i < 2; i++)
        {
          int host = i == 0 ? a : b;

          token_bucket_configure (
              &simulation->buckets[host],
              (int64_t)(simulation->share[host] * RATE * UTOKENS_PER_TOKEN),
              (int64_t)(simulation->share[host] * BURST * UTOKENS_PER_TOKEN),
              REMOTE_MS, now_ms);
        }
    }
}

static const struct scheme schemes[] = {
  { "borrowing", admit_borrowing, tick_none },
  { "static_split", admit_local, tick_none },
  { "single_host", admit_single, tick_none },
  { "pairwise", admit_local, tick_pairwise },
};

static void
make_buckets (struct simulation *simulation)
{
  struct slots_dc dcs[DCS];
  struct slot_part parts[MAX_PARTS];
  uint32_t count;

  if (simulation->scheme->admit == admit_local)
    for (int host = 0; host < HOSTS; host++)
      {
        simulation->share[host] = 1.0 / HOSTS;
        add_bucket (simulation, host,
                    (int64_t)RATE * UTOKENS_PER_TOKEN / HOSTS,
                    (int64_t)BURST * UTOKENS_PER_TOKEN / HOSTS);
      }
  else if (simulation->scheme->admit == admit_single)
    add_bucket (simulation, 3, (int64_t)RATE * UTOKENS_PER_TOKEN,
                (int64_t)BURST * UTOKENS_PER_TOKEN);
  else
    {
      for (int dc = 0; dc < DCS; dc++)
        dcs[dc] = (struct slots_dc){ .dc_hash = 77 + (uint64_t)dc,
                                     .slot_count = SLOTS };
      count = slots_for_customer (dcs, DCS, 12345, (int64_t)RATE * 1000, BURST,
                                  parts, MAX_PARTS);
      for (uint32_t i = 0; i < count; i++)
        add_bucket (
            simulation,
            (int)(parts[i].dc * HOSTS_PER_DC + parts[i].slot % HOSTS_PER_DC),
            parts[i].rate_utokens_per_s, parts[i].capacity_utokens);
    }
}

/* Records an admission, and counts it as an over-admission if one
   exact bucket of the whole rate and burst would have refused it.  */
static void
record_admission (struct simulation *simulation, int64_t since_ms,
                  int64_t now_ms)
{
  simulation->admitted++;
  simulation->wait_ms += now_ms - since_ms;
  if (!token_bucket_take (&simulation->reference, UTOKENS_PER_TOKEN, now_ms))
    simulation->over_admitted++;
}

static void
try_waiting (struct simulation *simulation, int64_t now_ms)
{
  for (uint32_t i = 0; i < simulation->waiting_count;)
    {
      struct waiting *waiting = &simulation->waiting[i];
      int64_t cost_ms = 0;

      if (now_ms < waiting->next_ms)
        {
          i++;
          continue;
        }
      if (!simulation->dead[waiting->host]
          && simulation->scheme->admit (simulation, waiting->host, now_ms,
                                        &cost_ms))
        record_admission (simulation, waiting->since_ms, now_ms);
      else if (now_ms - waiting->since_ms < ADMIT_WAIT_MS)
        {
          waiting->next_ms = now_ms + 10 + cost_ms;
          i++;
          continue;
        }
      else
        simulation->refused++;
      simulation->waiting[i]
          = simulation->waiting[--simulation->waiting_count];
    }
}

static int
pick_host (struct simulation *simulation, int64_t now_ms)
{
  int host;

  do
    {
      host = (int)(figure_random (&simulation->seed) % HOSTS);
      if (simulation->scenario == SCENARIO_MOVING)
        host = (int)(now_ms / MOVE_MS % DCS) * HOSTS_PER_DC
               + host % HOSTS_PER_DC;
    }
  while (simulation->dead[host]);
  return host;
}

static void
add_arrival (struct simulation *simulation, int64_t now_ms)
{
  int host = pick_host (simulation, now_ms);

  simulation->offered++;
  simulation->demand[host] += 1;
  if (simulation->waiting_count < MAX_WAITING)
    simulation->waiting[simulation->waiting_count++]
        = (struct waiting){ host, now_ms, now_ms };
  else
    simulation->refused++;
}

static void
run (struct simulation *simulation, double load)
{
  double next_ms = 0;

  token_bucket_init (&simulation->reference, 0);
  token_bucket_configure (&simulation->reference,
                          (int64_t)RATE * UTOKENS_PER_TOKEN,
                          (int64_t)BURST * UTOKENS_PER_TOKEN, 0, 0);
  token_bucket_take (&simulation->reference, 0, 10000);
  make_buckets (simulation);
  for (int64_t now_ms = 10000; now_ms < 10000 + RUN_MS; now_ms++)
    {
      simulation->dead[3] = simulation->scenario == SCENARIO_DEATH
                            && now_ms >= FAULT_MS
                            && now_ms < FAULT_MS + FAULT_LASTS_MS;
      for (int host = 0; host < HOSTS; host++)
        simulation->demand[host] *= 0.999;
      if (next_ms < (double)now_ms)
        next_ms = (double)now_ms;
      while (next_ms < (double)now_ms + 1)
        {
          add_arrival (simulation, now_ms);
          next_ms += figure_exponential (&simulation->seed,
                                         1000.0 / (load * RATE));
        }
      simulation->scheme->tick (simulation, now_ms);
      try_waiting (simulation, now_ms);
    }
}

static void
print (const struct simulation *simulation, const char *what, double value,
       const char *unit, double bound, enum figure_sense sense)
{
  char *name = xasprintf ("%s_%s_%s", simulation->scheme->name,
                          scenario_names[simulation->scenario], what);

  figure_print (name, value, unit, bound, sense);
  free (name);
}

int
main (void)
{
  for (size_t s = 0; s < sizeof schemes / sizeof *schemes; s++)
    for (int scenario = 0; scenario < SCENARIO_COUNT; scenario++)
      {
        struct simulation *simulation = xcalloc (1, sizeof *simulation);
        bool is_product = s == 0;
        double load = scenario == SCENARIO_GREEDY ? 5 : 0.7;
        double bound = scenario == SCENARIO_STEADY ? 0.1 : 1.0;

        simulation->scheme = &schemes[s];
        simulation->scenario = (enum scenario)scenario;
        simulation->seed = 20261203;
        run (simulation, load);
        print (simulation, "over_admissions",
               (double)simulation->over_admitted, "requests", 0,
               is_product ? FIGURE_AT_MOST : FIGURE_NO_BOUND);
        if (scenario != SCENARIO_GREEDY)
          print (simulation, "wrongful_refusals",
                 100.0 * (double)simulation->refused
                     / (double)simulation->offered,
                 "percent", bound,
                 is_product ? FIGURE_AT_MOST : FIGURE_NO_BOUND);
        else
          print (simulation, "admitted_of_rate",
                 100.0 * (double)simulation->admitted
                     / (RATE * (RUN_MS / 1000.0) + BURST),
                 "percent", 0, FIGURE_NO_BOUND);
        print (simulation, "mean_wait_ms",
               (double)simulation->wait_ms
                   / (double)(simulation->admitted ? simulation->admitted : 1),
               "ms", 0, FIGURE_NO_BOUND);
        print (simulation, "questions_per_request",
               (double)simulation->asks / (double)simulation->offered,
               "frames", 0, FIGURE_NO_BOUND);
        free (simulation);
      }
  return 0;
}
