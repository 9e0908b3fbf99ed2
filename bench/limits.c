/* Ways to hold one customer's rate over many hosts, on the same arrivals:
   buckets in slots with loans (the product's own code), a static split, one
   limiting host, and a pairwise transfer of shares in proportion to measured
   demand with a gain threshold, as in "Malleable iterative MPI applications".
 */
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
  LOCAL_MS = 1,  /* question and answer inside a data centre */
  REMOTE_MS = 2, /* and to another one */
  ADMIT_WAIT_MS = 400,
  MAX_ASKS = 6,
  MAX_WAITING = 4096,
  MOVE_MS = 10000, /* how long the load stays in a data centre */
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
  SCENARIO_DEATH,  /* a host dies, and its slots stay with it for a while */
  SCENARIO_CUT,    /* a data centre is cut off from the others */
  SCENARIO_GREEDY, /* five times the rate */
  SCENARIO_COUNT,
};

static const char *const scenario_names[]
    = { "steady", "moving", "host_death", "cut", "greedy" };

struct world;

/* One way to hold the rate. */
struct scheme
{
  const char *name;
  /* Whether a request at HOST may go on at the time NOW_MS; COST_MS receives
     how long the answer takes. */
  bool (*admit) (struct world *world, int host, int64_t now_ms,
                 int64_t *cost_ms);
  void (*tick) (struct world *world, int64_t now_ms);
};

struct waiting
{
  int host;
  int64_t since_ms;
  int64_t next_ms;
};

struct world
{
  const struct scheme *scheme;
  enum scenario scenario;
  struct token_bucket buckets[MAX_PARTS];
  int bucket_host[MAX_PARTS];
  uint32_t bucket_count;
  double share[HOSTS];  /* of the rate, for the transfer */
  double demand[HOSTS]; /* requests, decaying */
  bool dead[HOSTS];
  struct token_bucket reference; /* the rate and burst themselves */
  struct waiting waiting[MAX_WAITING];
  uint32_t waiting_count;
  uint64_t seed;
  uint64_t nonce;
  int64_t offered;
  int64_t refused;
  int64_t over;
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
can_reach (const struct world *world, int from, int to, int64_t now_ms)
{
  bool faulty = now_ms >= FAULT_MS && now_ms < FAULT_MS + FAULT_LASTS_MS;

  if (world->dead[to])
    return false;
  if (world->scenario != SCENARIO_CUT || !faulty)
    return true;
  return (dc_of (from) == 0) == (dc_of (to) == 0);
}

static void
add_bucket (struct world *world, int host, int64_t rate, int64_t capacity)
{
  struct token_bucket *bucket = &world->buckets[world->bucket_count];

  token_bucket_init (bucket, 0);
  token_bucket_configure (bucket, rate, capacity, 0, 0);
  world->bucket_host[world->bucket_count++] = host;
}

static bool
ask_bucket (struct world *world, uint32_t at, int host, int64_t now_ms,
            int64_t *cost_ms)
{
  uint64_t nonce = ++world->nonce;

  if (!can_reach (world, host, world->bucket_host[at], now_ms))
    return false;
  world->asks++;
  *cost_ms
      += dc_of (host) == dc_of (world->bucket_host[at]) ? LOCAL_MS : REMOTE_MS;
  if (token_bucket_lend (&world->buckets[at], nonce, UTOKENS_PER_TOKEN, now_ms)
      < UTOKENS_PER_TOKEN)
    return false;
  token_bucket_confirm (&world->buckets[at], nonce, 0, now_ms);
  return true;
}

static bool
admit_borrowing (struct world *world, int host, int64_t now_ms,
                 int64_t *cost_ms)
{
  uint32_t start = (uint32_t)figure_random (&world->seed);
  int asks = 0;

  for (uint32_t i = 0; i < world->bucket_count; i++)
    if (world->bucket_host[i] == host
        && token_bucket_take (&world->buckets[i], UTOKENS_PER_TOKEN, now_ms))
      return true;
  for (int round = 0; round < 2; round++)
    for (uint32_t i = 0; i < world->bucket_count && asks < MAX_ASKS; i++)
      {
        uint32_t at = (start + i) % world->bucket_count;
        bool local = dc_of (world->bucket_host[at]) == dc_of (host);

        if (world->bucket_host[at] == host || local != (round == 0))
          continue;
        asks++;
        if (ask_bucket (world, at, host, now_ms, cost_ms))
          return true;
      }
  return false;
}

static bool
admit_own (struct world *world, int host, int64_t now_ms, int64_t *cost_ms)
{
  return token_bucket_take (&world->buckets[host], UTOKENS_PER_TOKEN, now_ms);
}

static bool
admit_single (struct world *world, int host, int64_t now_ms, int64_t *cost_ms)
{
  return ask_bucket (world, 0, host, now_ms, cost_ms);
}

static void
tick_nothing (struct world *world, int64_t now_ms)
{
}

/* Two neighbours even their shares out by demand where the gain is worth the
   transfer: the giver lowers its bucket before the taker raises its own.  */
static void
tick_pairwise (struct world *world, int64_t now_ms)
{
  if (now_ms % PAIR_EVERY_MS != 0)
    return;
  for (int a = 0; a < HOSTS; a++)
    {
      int b = (a + 1 + (int)(now_ms / PAIR_EVERY_MS) % (HOSTS - 1)) % HOSTS;
      double total = world->share[a] + world->share[b];
      double wanted = total * (world->demand[a] + 0.01)
                      / (world->demand[a] + world->demand[b] + 0.02);

      if (world->dead[a] || !can_reach (world, a, b, now_ms)
          || fabs (wanted - world->share[a]) < GAIN_THRESHOLD * total)
        continue;
      world->share[a] = wanted;
      world->share[b] = total - wanted;
      for (int i = 0; i < 2; i++)
        {
          int host = i == 0 ? a : b;

          token_bucket_configure (
              &world->buckets[host],
              (int64_t)(world->share[host] * RATE * UTOKENS_PER_TOKEN),
              (int64_t)(world->share[host] * BURST * UTOKENS_PER_TOKEN),
              REMOTE_MS, now_ms);
        }
    }
}

static const struct scheme schemes[] = {
  { "borrowing", admit_borrowing, tick_nothing },
  { "static_split", admit_own, tick_nothing },
  { "single_host", admit_single, tick_nothing },
  { "pairwise", admit_own, tick_pairwise },
};

static void
make_buckets (struct world *world)
{
  struct slots_dc dcs[DCS];
  struct slot_part parts[MAX_PARTS];
  uint32_t count;

  if (world->scheme->admit == admit_own)
    for (int host = 0; host < HOSTS; host++)
      {
        world->share[host] = 1.0 / HOSTS;
        add_bucket (world, host, (int64_t)RATE * UTOKENS_PER_TOKEN / HOSTS,
                    (int64_t)BURST * UTOKENS_PER_TOKEN / HOSTS);
      }
  else if (world->scheme->admit == admit_single)
    add_bucket (world, 3, (int64_t)RATE * UTOKENS_PER_TOKEN,
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
            world,
            (int)(parts[i].dc * HOSTS_PER_DC + parts[i].slot % HOSTS_PER_DC),
            parts[i].rate_utokens_per_s, parts[i].capacity_utokens);
    }
}

/* Any admission that the rate and burst themselves would not allow.  */
static void
record_admitted (struct world *world, int64_t since_ms, int64_t now_ms)
{
  world->admitted++;
  world->wait_ms += now_ms - since_ms;
  if (!token_bucket_take (&world->reference, UTOKENS_PER_TOKEN, now_ms))
    world->over++;
}

static void
try_waiting (struct world *world, int64_t now_ms)
{
  for (uint32_t i = 0; i < world->waiting_count;)
    {
      struct waiting *waiting = &world->waiting[i];
      int64_t cost_ms = 0;

      if (now_ms < waiting->next_ms)
        {
          i++;
          continue;
        }
      if (!world->dead[waiting->host]
          && world->scheme->admit (world, waiting->host, now_ms, &cost_ms))
        record_admitted (world, waiting->since_ms, now_ms);
      else if (now_ms - waiting->since_ms < ADMIT_WAIT_MS)
        {
          waiting->next_ms = now_ms + 10 + cost_ms;
          i++;
          continue;
        }
      else
        world->refused++;
      world->waiting[i] = world->waiting[--world->waiting_count];
    }
}

static int
pick_host (struct world *world, int64_t now_ms)
{
  int host;

  do
    {
      host = (int)(figure_random (&world->seed) % HOSTS);
      if (world->scenario == SCENARIO_MOVING)
        host = (int)(now_ms / MOVE_MS % DCS) * HOSTS_PER_DC
               + host % HOSTS_PER_DC;
    }
  while (world->dead[host]);
  return host;
}

static void
offer (struct world *world, int64_t now_ms)
{
  int host = pick_host (world, now_ms);

  world->offered++;
  world->demand[host] += 1;
  if (world->waiting_count < MAX_WAITING)
    world->waiting[world->waiting_count++]
        = (struct waiting){ host, now_ms, now_ms };
  else
    world->refused++;
}

static void
run (struct world *world, double load)
{
  double next_ms = 0;

  token_bucket_init (&world->reference, 0);
  token_bucket_configure (&world->reference, (int64_t)RATE * UTOKENS_PER_TOKEN,
                          (int64_t)BURST * UTOKENS_PER_TOKEN, 0, 0);
  token_bucket_take (&world->reference, 0, 10000);
  make_buckets (world);
  for (int64_t now_ms = 10000; now_ms < 10000 + RUN_MS; now_ms++)
    {
      world->dead[3] = world->scenario == SCENARIO_DEATH && now_ms >= FAULT_MS
                       && now_ms < FAULT_MS + FAULT_LASTS_MS;
      for (int host = 0; host < HOSTS; host++)
        world->demand[host] *= 0.999;
      if (next_ms < (double)now_ms)
        next_ms = (double)now_ms;
      while (next_ms < (double)now_ms + 1)
        {
          offer (world, now_ms);
          next_ms += figure_exponential (&world->seed, 1000.0 / (load * RATE));
        }
      world->scheme->tick (world, now_ms);
      try_waiting (world, now_ms);
    }
}

static void
print (const struct world *world, const char *what, double value,
       const char *unit, double bound, enum figure_sense sense)
{
  char *name = xasprintf ("%s_%s_%s", world->scheme->name,
                          scenario_names[world->scenario], what);

  figure_print (name, value, unit, bound, sense);
  free (name);
}

int
main (void)
{
  for (size_t s = 0; s < sizeof schemes / sizeof *schemes; s++)
    for (int scenario = 0; scenario < SCENARIO_COUNT; scenario++)
      {
        struct world *world = xcalloc (1, sizeof *world);
        bool ours = s == 0;
        double load = scenario == SCENARIO_GREEDY ? 5 : 0.7;
        double bound = scenario == SCENARIO_STEADY ? 0.1 : 1.0;

        world->scheme = &schemes[s];
        world->scenario = (enum scenario)scenario;
        world->seed = 20261203;
        run (world, load);
        print (world, "over_admissions", (double)world->over, "requests", 0,
               ours ? FIGURE_AT_MOST : FIGURE_NO_BOUND);
        if (scenario != SCENARIO_GREEDY)
          print (world, "wrongful_refusals",
                 100.0 * (double)world->refused / (double)world->offered,
                 "percent", bound, ours ? FIGURE_AT_MOST : FIGURE_NO_BOUND);
        else
          print (world, "admitted_of_rate",
                 100.0 * (double)world->admitted
                     / (RATE * (RUN_MS / 1000.0) + BURST),
                 "percent", 0, FIGURE_NO_BOUND);
        print (world, "mean_wait_ms",
               (double)world->wait_ms
                   / (double)(world->admitted ? world->admitted : 1),
               "ms", 0, FIGURE_NO_BOUND);
        print (world, "questions_per_request",
               (double)world->asks / (double)world->offered, "frames", 0,
               FIGURE_NO_BOUND);
        free (world);
      }
  return 0;
}
