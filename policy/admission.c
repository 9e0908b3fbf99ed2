#include "policy/admission.h"
#include "common/buf.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_SERVICES = 32,
  /* Fewer reports may come from the few endpoints that happen to be full. */
  MIN_REPORTS = 3,
  MIN_REPORTED_FRACTION = 16, /* at least one in so many endpoints reports */
  DEFAULT_HELD_MS = 200,      /* a turn of 0.4 KB on an idle engine */
  DEFAULT_TURNS = 4,          /* of a program */
  MAX_TURNS = 16,       /* also of a host that has seen few programs begin */
  COUNTED_BEGINS = 256, /* counts are halved beyond */
  SAMPLE_WEIGHT = 16,   /* a sample counts for 1 / 16 */
  IDLE_DRIFT = 4096, /* lets the idle time follow a service that slows down */

  /* Demand is averaged over about this time: longer would take a burst of 6 s
     for usual, shorter would hold too few programs. */
  DEMAND_MS = 2000,
  SHARE_MS = 300, /* over which the share of admitted programs is averaged */
  CONTENDED_MS = 10000, /* after programs had to be refused; two bursts */
  FLOOR_TTL_MS = 60000,
  FLOOR_MARGIN = 2, /* with half of the shortest known time, it surely fails */
  MIN_RETRY_MS = 100, /* an earlier retry would find the same load */
  MIN_SPREAD_MS = 200,
  /* One program in four of each kind is as urgent as the most urgent kind, so
     that strict priorities at the endpoints starve none. */
  PROMOTED_FRACTION = 4,
  FIRST_SLACK_MS = 1000, /* bound of the first level of urgency; doubles */
};

/* Callers give a program about twice its time on idle endpoints. */
static const double IDLE_SHARE = 0.5;
/* Of the slack, for the first turn's wait; the rest is for later turns. */
static const double USABLE_SLACK = 0.5;
static const double MAX_SLOWDOWN = 1.6;
/* The share of programs admitted falls from all to none while the wait grows
   from a quarter to twice what is bearable.  A step would make all
   hosts admit and refuse in turns, as they see the load late. */
static const double ALL_ADMITTED = 0.25;
static const double NONE_ADMITTED = 2.0;
/* Customers below their part bear so many times the wait.  With 2 instead of
   4, other customers lost 11 instead of 8 % of their programs beside one with
   7 times its load (simulated, test/unit/test_admission.c at 80 % load). */
static const double PROTECTED = 4;
/* The parts are those of at least this share of the demand, so that the load's
   swings do not make all customers exceed theirs. */
static const double LEVEL_SHARE = 0.5;
/* The least part of the usual share that programs of any size get. */
static const double MIN_SIZE_SHARE = 0.25;

struct service_state
{
  uint64_t service; /* 0 if unused */
  double held_ms;   /* a slot, by a turn */
  double idle_held_ms;
  double begins;
  double turns;
  double share;          /* of programs to admit */
  int64_t share_ms;      /* when it was computed */
  double allowed_ms;     /* bearable wait, averaged over programs */
  int64_t floor_ms;      /* shortest time to a first event; 0 if unknown */
  int64_t floor_seen_ms; /* when it was seen */
};

/* The time of a customer's programs that came, decaying.  It is averaged with
   that of other hosts, so that all hosts approach the mean over the fleet. */
struct demand
{
  uint64_t customer;
  double work_ms;
  int64_t updated_ms;
  bool is_used;
};

struct admission
{
  struct service_state services[MAX_SERVICES];
  uint32_t replaced; /* services, when the table is full */
  struct demand demands[ADMISSION_MAX_CUSTOMERS];
  int64_t contended_ms; /* when the load last asked for refusals; 0: never */
};

/* Creates an admission that has seen nothing.  */
struct admission *
admission_create (void)
{
  return xcalloc (1, sizeof (struct admission));
}

/* Frees ADMISSION.  */
void
admission_destroy (struct admission *admission)
{
  free (admission);
}

static struct service_state *
find_service (struct admission *admission, uint64_t service)
{
  struct service_state *state = NULL;

  for (uint32_t i = 0; i < MAX_SERVICES; i++)
    {
      if (admission->services[i].service == service)
        return &admission->services[i];
      if (!state && !admission->services[i].service)
        state = &admission->services[i];
    }
  if (!state)
    state = &admission->services[admission->replaced++ % MAX_SERVICES];
  *state = (struct service_state){ .service = service,
                                   .held_ms = DEFAULT_HELD_MS,
                                   .idle_held_ms = DEFAULT_HELD_MS,
                                   .begins = 1,
                                   .share = 1,
                                   .turns = DEFAULT_TURNS };
  return state;
}

/* Counts a turn that this host sends.  A program's turns come to many hosts,
   but on average a host sees as many turns for each begin.  */
void
admission_record_turn (struct admission *admission, uint64_t service,
                       bool begins_program)
{
  struct service_state *state = find_service (admission, service);

  state->turns++;
  if (begins_program)
    state->begins++;
  if (state->begins <= COUNTED_BEGINS
      && state->turns <= (double)COUNTED_BEGINS * MAX_TURNS)
    return;
  state->begins /= 2;
  state->turns /= 2;
}

/* Records how long a turn took from its send to its first event.  */
void
admission_record_first_event (struct admission *admission, uint64_t service,
                              int64_t first_event_ms, int64_t now_ms)
{
  struct service_state *state = find_service (admission, service);

  if (state->floor_ms && first_event_ms > state->floor_ms
      && now_ms - state->floor_seen_ms <= FLOOR_TTL_MS)
    return;
  state->floor_ms = first_event_ms > 1 ? first_event_ms : 1;
  state->floor_seen_ms = now_ms;
}

/* Records how long a turn held its slot.  */
void
admission_record_end (struct admission *admission, uint64_t service,
                      int64_t held_ms)
{
  struct service_state *state = find_service (admission, service);

  state->held_ms += ((double)held_ms - state->held_ms) / SAMPLE_WEIGHT;
  state->idle_held_ms += state->idle_held_ms / IDLE_DRIFT;
  if (state->held_ms < state->idle_held_ms)
    state->idle_held_ms = state->held_ms;
}

/* Returns the time that a turn of SERVICE surely needs until its first event,
   or 0 if that is unknown.  */
int64_t
admission_least_ms (const struct admission *admission, uint64_t service,
                    int64_t now_ms)
{
  for (uint32_t i = 0; i < MAX_SERVICES; i++)
    {
      const struct service_state *state = &admission->services[i];

      if (state->service == service
          && now_ms - state->floor_seen_ms <= FLOOR_TTL_MS)
        return state->floor_ms / FLOOR_MARGIN;
    }
  return 0;
}

static void
decay (struct demand *demand, int64_t now_ms)
{
  double age_ms = (double)(now_ms - demand->updated_ms);

  if (age_ms <= 0)
    return;
  demand->work_ms *= exp (-age_ms / DEMAND_MS);
  demand->updated_ms = now_ms;
}

/* Adds WORK_MS to the customer's demand and returns the sum.  When the table
   is full, the lowest demand is forgotten.  */
static double
add_demand (struct admission *admission, uint64_t customer, double work_ms,
            int64_t now_ms)
{
  struct demand *lowest = &admission->demands[0];
  struct demand *found = NULL;

  for (uint32_t i = 0; i < ADMISSION_MAX_CUSTOMERS && !found; i++)
    {
      struct demand *demand = &admission->demands[i];

      decay (demand, now_ms);
      if (demand->is_used && demand->customer == customer)
        found = demand;
      else if (demand->work_ms < lowest->work_ms)
        lowest = demand;
    }
  if (!found)
    {
      found = lowest;
      *found = (struct demand){ .customer = customer,
                                .updated_ms = now_ms,
                                .is_used = true };
    }
  found->work_ms += work_ms;
  return found->work_ms;
}

static int
compare_demands (const void *a, const void *b)
{
  uint32_t x = ((const struct admission_demand *)a)->work_ms;
  uint32_t y = ((const struct admission_demand *)b)->work_ms;

  return (x < y) - (x > y);
}

/* Stores the MAX highest demands, for another host, and returns their number.
 */
uint32_t
admission_export (struct admission *admission,
                  struct admission_demand *demands, uint32_t max,
                  int64_t now_ms)
{
  struct admission_demand all[ADMISSION_MAX_CUSTOMERS];
  uint32_t count = 0;

  for (uint32_t i = 0; i < ADMISSION_MAX_CUSTOMERS; i++)
    {
      struct demand *demand = &admission->demands[i];

      decay (demand, now_ms);
      if (demand->is_used && demand->work_ms >= 1)
        all[count++] = (struct admission_demand){
          .customer = demand->customer,
          .work_ms = (uint32_t)fmin (demand->work_ms, UINT32_MAX),
        };
    }
  qsort (all, count, sizeof *all, compare_demands);
  if (count > max)
    count = max;
  memcpy (demands, all, count * sizeof *all);
  return count;
}

/* Averages the demands with those of another host; a customer that it does not
   name has none there.  */
void
admission_merge (struct admission *admission,
                 const struct admission_demand *demands, uint32_t count,
                 int64_t now_ms)
{
  for (uint32_t i = 0; i < ADMISSION_MAX_CUSTOMERS; i++)
    {
      decay (&admission->demands[i], now_ms);
      admission->demands[i].work_ms /= 2;
    }
  for (uint32_t i = 0; i < count && i < ADMISSION_MAX_CUSTOMERS; i++)
    add_demand (admission, demands[i].customer, demands[i].work_ms / 2.0,
                now_ms);
}

/* Whether programs had to be refused lately.  */
bool
admission_is_contended (const struct admission *admission, int64_t now_ms)
{
  return admission->contended_ms
         && now_ms - admission->contended_ms <= CONTENDED_MS;
}

static double
total_demand (struct admission *admission, int64_t now_ms)
{
  double total = 0;

  for (uint32_t i = 0; i < ADMISSION_MAX_CUSTOMERS; i++)
    {
      decay (&admission->demands[i], now_ms);
      total += admission->demands[i].work_ms;
    }
  return total;
}

/* Returns the demand up to which each customer is served if CAPACITY is shared
   equally and what some do not need goes to the others.  */
static double
fair_level (const struct admission *admission, double capacity)
{
  double level = 0;
  uint32_t above = 0;

  for (uint32_t i = 0; i < ADMISSION_MAX_CUSTOMERS; i++)
    above += admission->demands[i].work_ms > 0;
  while (above > 0 && capacity > 1)
    {
      double next = level + capacity / above;
      double used = 0;
      uint32_t still_above = 0;

      for (uint32_t i = 0; i < ADMISSION_MAX_CUSTOMERS; i++)
        {
          double work_ms = admission->demands[i].work_ms;

          if (work_ms <= level)
            continue;
          used += fmin (work_ms, next) - level;
          still_above += work_ms > next;
        }
      level = next;
      capacity -= used;
      above = still_above;
    }
  return above > 0 ? level : INFINITY;
}

static bool
is_load_known (const struct admission_load *load)
{
  uint32_t needed = load->endpoints / MIN_REPORTED_FRACTION;

  if (needed < MIN_REPORTS)
    needed = MIN_REPORTS;
  if (needed > load->endpoints)
    needed = load->endpoints;
  return load->reporting > 0 && load->reporting >= needed && load->slots > 0;
}

static double
turns_per_program (const struct service_state *state)
{
  return fmin (fmax (state->turns / state->begins, 1), MAX_TURNS);
}

/* Returns the expected wait of a first turn.  Turns under way go before it and
   take their part of the slots, so that the queue is served for first turns at
   the rate at which programs begin.  */
static double
first_wait_ms (const struct service_state *state,
               const struct admission_query *query)
{
  const struct admission_load *load = &query->load;
  double wait_ms = (double)load->waiting * state->held_ms / (double)load->slots
                   * turns_per_program (state);

  if (query->first_event_ms > state->floor_ms && load->waiting > 0)
    wait_ms
        = fmax (wait_ms, (double)(query->first_event_ms - state->floor_ms));
  return wait_ms;
}

/* Returns how long the first turn may wait for the program to end in time at
   the speed that the service has now.  */
static double
bearable_wait_ms (const struct service_state *state, int64_t remaining_ms)
{
  double slowdown
      = fmin (fmax (state->held_ms / state->idle_held_ms, 1), MAX_SLOWDOWN);

  return fmax (
      (double)remaining_ms * (1 - IDLE_SHARE * slowdown) * USABLE_SLACK, 1);
}

static double
admitted_share (double wait_ms, double allowed_ms)
{
  double share = (NONE_ADMITTED - wait_ms / allowed_ms)
                 / (NONE_ADMITTED - ALL_ADMITTED);

  return fmin (fmax (share, 0), 1);
}

/* Returns the share of programs to admit, averaged over a while: a host sees
   few reports at a time, and each customer's part is cut from this share.  */
static double
smooth_share (struct service_state *state, double share, int64_t now_ms)
{
  double weight = 1 - exp (-(double)(now_ms - state->share_ms) / SHARE_MS);

  state->share += (share - state->share) * weight;
  state->share_ms = now_ms;
  return state->share;
}

/* Returns when a refused caller should come back: after ROOM_IN_MS, spread so
   that the refused do not return together, and within the third of its time
   that it waits at most.  */
int64_t
admission_retry_after_ms (int64_t room_in_ms, int64_t remaining_ms,
                          uint64_t random)
{
  int64_t longest_ms = remaining_ms / 3;
  int64_t from_ms = room_in_ms;
  int64_t spread_ms;

  if (from_ms > longest_ms / 2)
    from_ms = longest_ms / 2;
  if (from_ms < MIN_RETRY_MS)
    from_ms = MIN_RETRY_MS;
  spread_ms = from_ms > MIN_SPREAD_MS ? from_ms : MIN_SPREAD_MS;
  if (spread_ms > longest_ms - from_ms)
    spread_ms = longest_ms - from_ms;
  return spread_ms > 0 ? from_ms + (int64_t)(random % (uint64_t)spread_ms)
                       : from_ms;
}

/* Returns the share of a customer's programs to admit, if of all programs
   SHARE is to be admitted, and PROTECTED_SHARE of those of customers that stay
   below their part.  */
static double
customer_share (struct admission *admission, double demand_ms, double share,
                double protected_share, int64_t now_ms)
{
  double level_share = fmax (share, LEVEL_SHARE);
  double level
      = fair_level (admission, level_share * total_demand (admission, now_ms));

  if (demand_ms <= level)
    return fmax (share, protected_share);
  return level / demand_ms * share / level_share;
}

/* Decides whether a program may begin.  */
struct admission_decision
admission_decide (struct admission *admission,
                  const struct admission_query *query, int64_t now_ms)
{
  struct service_state *state = find_service (admission, query->service);
  struct admission_decision decision
      = { .verdict = ADMISSION_ADMITTED, .share = 1 };
  double work_ms = fmax ((double)query->remaining_ms * IDLE_SHARE, 1);
  double allowed_ms = bearable_wait_ms (state, query->remaining_ms);
  double chance = (double)(query->random >> 11) / (double)(1ULL << 53);
  /* The program itself does not count, or each customer would seem to have
     more than its mean at the very host that decides. */
  double demand_ms
      = add_demand (admission, query->customer, work_ms, now_ms) - work_ms;
  double wait_ms;
  double usual_share;
  double share;

  state->allowed_ms
      = state->allowed_ms > 0
            ? state->allowed_ms
                  + (allowed_ms - state->allowed_ms) / SAMPLE_WEIGHT
            : allowed_ms;
  if (!is_load_known (&query->load) || query->load.waiting == 0)
    {
      smooth_share (state, 1, now_ms);
      return decision;
    }
  wait_ms = first_wait_ms (state, query);
  decision.wait_ms = (int64_t)wait_ms;
  usual_share = smooth_share (
      state, admitted_share (wait_ms, state->allowed_ms), now_ms);
  share = fmin (fmax (usual_share + admitted_share (wait_ms, allowed_ms)
                          - admitted_share (wait_ms, state->allowed_ms),
                      usual_share * MIN_SIZE_SHARE),
                1);
  if (share >= 1)
    return decision;
  admission->contended_ms = now_ms;
  share = customer_share (admission, demand_ms, share,
                          admitted_share (wait_ms, allowed_ms * PROTECTED),
                          now_ms);
  decision.share = share;
  if (chance < share)
    return decision;
  decision.verdict
      = share < usual_share ? ADMISSION_REFUSED_SHARE : ADMISSION_REFUSED_LOAD;
  decision.retry_after_ms = admission_retry_after_ms (
      (int64_t)(wait_ms - allowed_ms * ALL_ADMITTED), query->remaining_ms,
      query->random * 0x9e3779b97f4a7c15ULL >> 11);
  return decision;
}

/* Returns what admission_decide would return, and changes nothing.  */
struct admission_decision
admission_preview (const struct admission *admission,
                   const struct admission_query *query, int64_t now_ms)
{
  struct admission *copy = admission_create ();
  struct admission_decision decision;

  *copy = *admission;
  decision = admission_decide (copy, query, now_ms);
  admission_destroy (copy);
  return decision;
}

/* Returns how many of the levels of urgency each configured priority gets, and
   in *RANK how many configured priorities are more urgent than PRIORITY.  */
static int32_t
levels_per_priority (uint32_t configured, int32_t priority, int32_t *rank)
{
  int32_t count = 0;

  *rank = 0;
  configured |= 1U << priority;
  for (int32_t i = 0; i < ADMISSION_PRIORITIES; i++)
    {
      if (!(configured >> i & 1U))
        continue;
      count++;
      *rank += i < priority;
    }
  return ADMISSION_PRIORITIES / count;
}

/* Returns the urgency at the endpoint, 0 to 9.  The configured priorities
   divide the levels between them.  Within one of them, first turns come last
   and turns under way go by the time left; those whose time is over come last
   of these.  */
int32_t
admission_priority (const struct admission_turn *turn)
{
  int32_t priority = turn->priority < 0 ? 0 : turn->priority;
  int32_t rank;
  int32_t levels;
  int32_t level = 0;

  if (priority >= ADMISSION_PRIORITIES)
    priority = ADMISSION_PRIORITIES - 1;
  levels = levels_per_priority (turn->configured, priority, &rank);
  if (turn->program % PROMOTED_FRACTION == 0)
    rank = 0;
  if (turn->begins_program)
    level = levels - 1;
  else if (turn->remaining_ms <= 0)
    level = levels - 2;
  else
    for (int64_t bound_ms = FIRST_SLACK_MS;
         turn->remaining_ms > bound_ms && level < levels - 2; bound_ms *= 2)
      level++;
  return rank * levels + (level > 0 ? level : 0);
}
