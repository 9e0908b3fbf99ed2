/* A service in virtual time: hosts that know its load only from the answers
   that they got, endpoints that queue by priority, and programs of several
   turns.  Each host is a caller's choice at random, for each turn. */
#include "common/id.h"
#include "local_pipeline.h"
#include "policy/admission.h"
#include "suites.h"
#include <stdlib.h>
#include <string.h>

enum
{
  HOSTS = 58, /* as in the larger of the deployments that burst */
  ENDPOINTS = 12,
  SLOTS = 8,
  QUEUE = 48,
  CUSTOMERS = 8,
  TURN_MS = 150,
  PAUSE_MS = 20,
  BACKOFF_MS = 15,
  MAX_SENDS = 12,
  SHORT_TURNS = 3, /* of two thirds of the programs */
  LONG_TURNS = 9,
  MAX_PROGRAMS = 8192,
  SERVICE = 7,
  ARRIVALS_MS = 14000,
  END_MS = 20000,
  BURST_FROM_MS = 4000,
  BURST_TO_MS = 9000,
  /* ENDPOINTS * SLOTS / TURN_MS turns and 5 turns a program: 128 programs a
     second are the most, and usual load takes 60 % of it. */
  USUAL_PER_S = 77,
  REFUSAL_MS = 50,  /* in which callers are to know */
  NOTICE_MS = 200,  /* between notices of a host */
  MAX_DEMANDS = 64, /* of a notice */
};

enum program_state
{
  PROGRAM_READY,
  PROGRAM_SENT,
  PROGRAM_ENDED,
  PROGRAM_LATE,
  PROGRAM_REFUSED,
};

struct sim_program
{
  enum program_state state;
  uint64_t id;
  uint32_t customer;
  int32_t kind; /* configured priority */
  int turns;
  int done;
  int sends;
  int returns;
  int64_t next_ms; /* of its next send */
  int64_t begun_ms;
  int64_t deadline_ms;
  bool is_admitted;
  uint32_t host;      /* that sent its turn */
  int64_t started_ms; /* of its turn */
  int32_t priority;   /* of its turn */
};

struct sim_endpoint
{
  struct sim_program *running[SLOTS];
  int64_t ends_ms[SLOTS];
  struct sim_program *queue[QUEUE];
  int64_t queued;
};

struct sim_report
{
  int64_t running;
  int64_t waiting;
  int64_t at_ms; /* 0 for never */
};

struct sim_host
{
  struct admission *admission;
  struct sim_report reports[ENDPOINTS];
};

struct sim_options
{
  bool has_admission;
  bool hides_load;     /* answers carry no load */
  double per_s;        /* programs; 0 for the usual load */
  double burst;        /* in the burst, a multiple of the usual load */
  double customer;     /* the same for customer 0 alone; 0 for none */
  int32_t second_kind; /* priority of every other program; 0 for none */
};

struct sim_result
{
  int programs;
  int in_time;
  int in_time_of[CUSTOMERS];
  int begun_of[CUSTOMERS];
  int ended_of_kind[2];
  int refusals;
  int refusals_of[CUSTOMERS];
  int idle_refusals;   /* while under half of the slots were taken, none waited
                        */
  int returns_ms[100]; /* number of Retry-After in each 10 ms */
};

struct sim
{
  struct sim_options options;
  struct sim_result result;
  struct sim_host hosts[HOSTS];
  struct sim_endpoint endpoints[ENDPOINTS];
  struct sim_program programs[MAX_PROGRAMS];
  double due; /* programs, fractional */
  uint64_t seed;
  int64_t now_ms;
};

static uint64_t
draw (struct sim *sim)
{
  sim->seed++;
  return id_hash64 (&sim->seed, sizeof sim->seed, 1);
}

static int64_t
count_running (const struct sim_endpoint *endpoint)
{
  int64_t running = 0;

  for (int i = 0; i < SLOTS; i++)
    running += endpoint->running[i] != NULL;
  return running;
}

static void
report_load (struct sim *sim, uint32_t host, int endpoint)
{
  if (!sim->options.hides_load)
    sim->hosts[host].reports[endpoint] = (struct sim_report){
      .running = count_running (&sim->endpoints[endpoint]),
      .waiting = sim->endpoints[endpoint].queued,
      .at_ms = sim->now_ms,
    };
}

static struct admission_load
known_load (const struct sim *sim, uint32_t host)
{
  struct admission_load load = { .endpoints = ENDPOINTS };

  for (int i = 0; i < ENDPOINTS; i++)
    {
      const struct sim_report *report = &sim->hosts[host].reports[i];

      if (!report->at_ms
          || sim->now_ms - report->at_ms > ADMISSION_MAX_LOAD_AGE_MS)
        continue;
      load.reporting++;
      load.slots += SLOTS;
      load.running += report->running;
      load.waiting += report->waiting;
    }
  return load;
}

static bool
is_half_idle (const struct sim *sim)
{
  int64_t running = 0;
  int64_t waiting = 0;

  for (int i = 0; i < ENDPOINTS; i++)
    {
      running += count_running (&sim->endpoints[i]);
      waiting += sim->endpoints[i].queued;
    }
  return waiting == 0 && running * 2 < (int64_t)ENDPOINTS * SLOTS;
}

static void
refuse (struct sim *sim, struct sim_program *program, int64_t retry_after_ms)
{
  int64_t left_ms = program->deadline_ms - sim->now_ms;

  sim->result.refusals++;
  sim->result.refusals_of[program->customer]++;
  sim->result.idle_refusals += is_half_idle (sim);
  CU_ASSERT_TRUE (retry_after_ms >= 100 || retry_after_ms >= left_ms / 3);
  CU_ASSERT_TRUE (retry_after_ms <= 100 || retry_after_ms <= left_ms / 3);
  sim->result
      .returns_ms[retry_after_ms / 10 < 99 ? retry_after_ms / 10 : 99]++;
  program->state = PROGRAM_REFUSED;
  if (program->returns++ > 0)
    return;
  program->state = PROGRAM_READY;
  program->next_ms = sim->now_ms + retry_after_ms;
}

static bool
admit (struct sim *sim, struct sim_program *program)
{
  struct admission *admission = sim->hosts[program->host].admission;
  bool begins = program->done == 0;
  struct admission_query query
      = { .service = SERVICE,
          .customer = program->customer + 1,
          .load = known_load (sim, program->host),
          .remaining_ms = program->deadline_ms - sim->now_ms,
          .first_event_ms = -1,
          .random = draw (sim) };
  struct admission_turn turn
      = { .priority = program->kind,
          .configured = 1U | 1U << sim->options.second_kind,
          .begins_program = begins,
          .remaining_ms = query.remaining_ms,
          .program = program->id };
  struct admission_decision decision;

  program->priority = program->kind;
  if (!sim->options.has_admission)
    return true;
  program->priority = admission_priority (&turn);
  if (begins && !program->is_admitted)
    {
      decision = admission_decide (admission, &query, sim->now_ms);
      if (decision.verdict != ADMISSION_ADMITTED)
        {
          refuse (sim, program, decision.retry_after_ms);
          return false;
        }
      program->is_admitted = true;
    }
  admission_record_turn (admission, SERVICE, begins);
  return true;
}

/* Returns the one of two endpoints at random of which this host knows the
   lower load.  */
static int
pick (struct sim *sim, const struct sim_program *program)
{
  const struct sim_report *reports = sim->hosts[program->host].reports;
  int a = (int)(draw (sim) % ENDPOINTS);
  int b = (int)(draw (sim) % ENDPOINTS);

  return reports[a].running + reports[a].waiting
                 <= reports[b].running + reports[b].waiting
             ? a
             : b;
}

static void
send_turn (struct sim *sim, struct sim_program *program)
{
  struct sim_endpoint *endpoint;
  int64_t at;

  if (program->sends == 0)
    {
      program->host = (uint32_t)(draw (sim) % HOSTS);
      if (!admit (sim, program))
        return;
    }
  endpoint = &sim->endpoints[pick (sim, program)];
  program->sends++;
  if (endpoint->queued == QUEUE)
    {
      program->next_ms = sim->now_ms + (int64_t)BACKOFF_MS * program->sends;
      if (program->sends == MAX_SENDS)
        program->state = PROGRAM_LATE;
      return;
    }
  program->state = PROGRAM_SENT;
  for (at = endpoint->queued++;
       at > 0 && endpoint->queue[at - 1]->priority > program->priority; at--)
    endpoint->queue[at] = endpoint->queue[at - 1];
  endpoint->queue[at] = program;
}

static void
finish_turn (struct sim *sim, struct sim_program *program, int endpoint)
{
  report_load (sim, program->host, endpoint);
  admission_record_end (sim->hosts[program->host].admission, SERVICE,
                        sim->now_ms - program->started_ms);
  program->sends = 0;
  program->state = PROGRAM_READY;
  program->next_ms = sim->now_ms + PAUSE_MS;
  if (++program->done < program->turns)
    return;
  program->state
      = sim->now_ms <= program->deadline_ms ? PROGRAM_ENDED : PROGRAM_LATE;
  sim->result.ended_of_kind[program->kind > 0]++;
  if (program->state == PROGRAM_LATE)
    return;
  sim->result.in_time++;
  sim->result.in_time_of[program->customer]++;
}

static void
run_endpoint (struct sim *sim, int index)
{
  struct sim_endpoint *endpoint = &sim->endpoints[index];

  for (int i = 0; i < SLOTS; i++)
    {
      struct sim_program *program = endpoint->running[i];

      if (program && endpoint->ends_ms[i] > sim->now_ms)
        continue;
      endpoint->running[i] = NULL;
      if (program)
        finish_turn (sim, program, index);
      if (endpoint->queued == 0)
        continue;
      program = endpoint->running[i] = endpoint->queue[0];
      endpoint->ends_ms[i]
          = sim->now_ms + TURN_MS / 2 + (int64_t)(draw (sim) % TURN_MS);
      memmove (endpoint->queue, endpoint->queue + 1,
               (size_t)--endpoint->queued * sizeof *endpoint->queue);
      program->started_ms = sim->now_ms;
      report_load (sim, program->host, index);
    }
}

static void
add_program (struct sim *sim, uint32_t customer)
{
  struct sim_program *program = &sim->programs[sim->result.programs];

  CU_ASSERT_FATAL (sim->result.programs < MAX_PROGRAMS);
  program->id = draw (sim);
  program->customer = customer;
  program->kind = sim->result.programs % 2 == 0 ? sim->options.second_kind : 0;
  program->turns = draw (sim) % 3 == 0 ? LONG_TURNS : SHORT_TURNS;
  program->begun_ms = program->next_ms = sim->now_ms;
  /* As the deployments have it: twice its time on idle endpoints + 300 ms. */
  program->deadline_ms
      = sim->now_ms + (int64_t)2 * program->turns * (TURN_MS + PAUSE_MS) + 300;
  sim->result.programs++;
  sim->result.begun_of[customer]++;
}

static void
add_programs (struct sim *sim)
{
  bool is_burst = sim->now_ms >= BURST_FROM_MS && sim->now_ms < BURST_TO_MS;
  double per_ms
      = (sim->options.per_s > 0 ? sim->options.per_s : USUAL_PER_S) / 1000;
  double hog
      = is_burst && sim->options.customer > 0 ? sim->options.customer - 1 : 0;

  for (sim->due
       += per_ms
          * (is_burst && sim->options.burst > 0 ? sim->options.burst : 1);
       sim->due >= 1; sim->due--)
    add_program (sim, (uint32_t)(draw (sim) % CUSTOMERS));
  if ((double)(draw (sim) % 1000000) < hog * per_ms / CUSTOMERS * 1000000)
    add_program (sim, 0);
}

/* Has each host send its view of the demand to another one; one notice in ten
   is lost.  */
static void
exchange_demands (struct sim *sim)
{
  for (int i = 0; i < HOSTS; i++)
    {
      struct admission_demand demands[MAX_DEMANDS];
      uint64_t to = draw (sim) % HOSTS;
      uint32_t count;

      if ((sim->now_ms + i) % NOTICE_MS != 0 || draw (sim) % 10 == 0)
        continue;
      count = admission_export (sim->hosts[i].admission, demands, MAX_DEMANDS,
                                sim->now_ms);
      admission_merge (sim->hosts[to].admission, demands, count, sim->now_ms);
    }
}

/* Runs the service and returns what became of the programs.  */
static struct sim_result
run (const struct sim_options *options)
{
  struct sim *sim = calloc (1, sizeof *sim);
  struct sim_result result;

  CU_ASSERT_PTR_NOT_NULL_FATAL (sim);
  sim->options = *options;
  for (int i = 0; i < HOSTS; i++)
    sim->hosts[i].admission = admission_create ();
  for (sim->now_ms = 1; sim->now_ms < END_MS; sim->now_ms++)
    {
      if (sim->now_ms < ARRIVALS_MS)
        add_programs (sim);
      exchange_demands (sim);
      for (int i = 0; i < sim->result.programs; i++)
        if (sim->programs[i].state == PROGRAM_READY
            && sim->programs[i].next_ms <= sim->now_ms)
          send_turn (sim, &sim->programs[i]);
      for (int i = 0; i < ENDPOINTS; i++)
        run_endpoint (sim, i);
    }
  for (int i = 0; i < HOSTS; i++)
    admission_destroy (sim->hosts[i].admission);
  result = sim->result;
  free (sim);
  return result;
}

/* Guards against running many programs late in a burst of 2.5 times the usual
   load for 5 s, which is 1.5 times what the service can do, instead of
   refusing some.  */
static void
test_burst (void)
{
  struct sim_options options = { .burst = 2.5 };
  struct sim_result without = run (&options);
  struct sim_result with;
  int most = 0;

  options.has_admission = true;
  with = run (&options);
  for (int i = 0; i < 100; i++)
    most = with.returns_ms[i] > most ? with.returns_ms[i] : most;
  CU_ASSERT_EQUAL (with.programs, without.programs);
  CU_ASSERT_TRUE (with.in_time > without.in_time);
  CU_ASSERT_TRUE (with.refusals > 0);
  CU_ASSERT_EQUAL (with.idle_refusals, 0);
  /* Returns in one tenth of the time would be a second burst. */
  CU_ASSERT_TRUE (most * 10 < with.refusals);
}

/* Guards against refusals at the usual load.  */
static void
test_usual_load (void)
{
  struct sim_options options = { .has_admission = true };
  struct sim_result result = run (&options);

  CU_ASSERT_EQUAL (result.refusals, 0);
  CU_ASSERT_EQUAL (result.in_time, result.programs);
}

static double
others_in_time (const struct sim_result *result)
{
  int begun = 0;
  int in_time = 0;

  for (int i = 1; i < CUSTOMERS; i++)
    {
      begun += result->begun_of[i];
      in_time += result->in_time_of[i];
    }
  return (double)in_time / begun;
}

/* Guards against a customer with 7 times its usual load that pushes out the
   programs of the others.  */
static void
test_customer_at_7_times (void)
{
  /* At 80 % of what the service can do, the customer makes it 140 %. */
  static const double per_s[] = { USUAL_PER_S, USUAL_PER_S * 0.8 / 0.6 };

  for (size_t i = 0; i < sizeof per_s / sizeof *per_s; i++)
    {
      struct sim_options options
          = { .has_admission = true, .per_s = per_s[i] };
      struct sim_result alone = run (&options);
      struct sim_result beside;

      options.customer = 7;
      beside = run (&options);
      CU_ASSERT_TRUE (others_in_time (&beside)
                      >= 0.9 * others_in_time (&alone));
      for (int k = 1; k < CUSTOMERS; k++)
        CU_ASSERT_TRUE (beside.refusals_of[k] < beside.refusals_of[0]);
    }
}

/* Guards against a less urgent kind that is starved by strict priorities while
   the service has twice the load that it can serve.  */
static void
test_two_kinds (void)
{
  struct sim_options options = { .has_admission = true,
                                 .second_kind = 5,
                                 .per_s = 2.0 * USUAL_PER_S / 0.6 };
  struct sim_result result = run (&options);

  CU_ASSERT_TRUE (result.ended_of_kind[1] * 4 >= result.ended_of_kind[0]);
  CU_ASSERT_TRUE (result.in_time * 2 > result.ended_of_kind[0]);
}

/* Guards against hosts that refuse on a view that they do not have.  */
static void
test_unknown_load (void)
{
  struct sim_options options
      = { .has_admission = true, .hides_load = true, .burst = 2.5 };
  struct sim_result result = run (&options);

  CU_ASSERT_EQUAL (result.refusals, 0);
}

/* Guards against first turns before turns under way, against kinds that mix,
   and against one that is never urgent.  */
static void
test_urgency (void)
{
  struct admission_turn turn = { .priority = 4,
                                 .configured = 1U << 1 | 1U << 4,
                                 .remaining_ms = 500,
                                 .program = 1 };
  int32_t soon = admission_priority (&turn);
  int32_t later;
  int32_t first;

  turn.remaining_ms = 5000;
  later = admission_priority (&turn);
  turn.begins_program = true;
  first = admission_priority (&turn);
  CU_ASSERT_TRUE (soon < later && later < first && first <= 9);
  turn.priority = 1;
  CU_ASSERT_TRUE (admission_priority (&turn) < soon);
  turn.priority = 4;
  turn.program = 4;
  CU_ASSERT_TRUE (admission_priority (&turn) < soon);
}

/* Starts a turn of a program at a pipeline whose endpoint reported LOAD_AGE_MS
   ago that 400 requests wait.  Returns whether it is refused, and checks that
   the refusal comes in time and can be honoured.  */
static bool
is_refused (struct local_pipeline *local, int64_t load_age_ms)
{
  int64_t began_ms = clock_now_ms ();

  pool_record_load (pool_at (local->pool, 0), SLOTS, 400,
                    began_ms - load_age_ms);
  local_pipeline_start (local, -1);
  if (local->response.outcome != LOCAL_REFUSED)
    return false;
  CU_ASSERT_TRUE (clock_now_ms () - began_ms <= REFUSAL_MS);
  CU_ASSERT_EQUAL (local->response.error.run, RUN_NOT_RUN);
  CU_ASSERT_TRUE (local->response.error.retry_after_ms >= 100);
  CU_ASSERT_TRUE (local->response.error.retry_after_ms
                  <= (uint32_t)local->program_deadline_ms / 3);
  return true;
}

/* Guards against first turns that wait for a full service instead of being
   refused at once, and against decisions where no deadline is stated or no
   report is fresh.  */
static void
test_pipeline (void)
{
  struct local_pipeline_options options
      = { .route.retry_mode = ROUTE_STREAM, .route.timeout_ms = 4000 };
  struct local_pipeline *local = local_pipeline_create (&options);

  local->program = "a";
  CU_ASSERT_FALSE (is_refused (local, 0));
  request_cancel (local->active);
  local->program_deadline_ms = 2000;
  CU_ASSERT_TRUE (is_refused (local, 0));
  CU_ASSERT_TRUE (is_refused (local, 0));
  CU_ASSERT_FALSE (is_refused (local, ADMISSION_MAX_LOAD_AGE_MS + 50));
  request_cancel (local->active);
  /* The program is under way now. */
  CU_ASSERT_FALSE (is_refused (local, 0));
  request_cancel (local->active);
  local_pipeline_destroy (local);
}

CU_TestInfo admission_tests[] = {
  { "the pipeline refuses first turns", test_pipeline },
  { "refuses some in a burst so that more end in time", test_burst },
  { "refuses none at the usual load", test_usual_load },
  { "a customer at 7 times its load harms no other",
    test_customer_at_7_times },
  { "a less urgent kind gets its part", test_two_kinds },
  { "admits without fresh reports", test_unknown_load },
  { "turns under way are more urgent", test_urgency },
  CU_TEST_INFO_NULL,
};
