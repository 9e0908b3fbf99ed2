#include "request/admission_step.h"
#include "common/buf.h"
#include "common/counters.h"
#include "common/id.h"
#include "common/recent_table.h"
#include "request/request.h"
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum
{
  MAX_PROGRAMS = 16384,   /* about 1.3 MB */
  PROGRAM_TTL_MS = 60000, /* longer than callers pause between turns */
  LOG_INTERVAL_MS = 1000, /* between log lines about refused programs */
  MEMORY_RETRY_MS = 300,
  HOPELESS_RETRY_MS = 100, /* another host may know a faster endpoint */
};

struct admission_step
{
  struct admission_step_options options;
  struct admission *admission;
  struct recent_table *programs; /* of which turns have come to this host */
  uint32_t priorities;           /* bit N is set if N is configured */
  int64_t logged_ms;
  uint32_t refused; /* since then */
};

/* Creates a step without a configuration.  */
struct admission_step *
admission_step_create (const struct admission_step_options *options)
{
  struct recent_table_options programs
      = { .capacity = MAX_PROGRAMS, .ttl_ms = PROGRAM_TTL_MS };
  struct admission_step *step = xcalloc (1, sizeof *step);

  step->options = *options;
  step->admission = admission_create ();
  step->programs = recent_table_create (&programs);
  return step;
}

/* Frees STEP.  */
void
admission_step_destroy (struct admission_step *step)
{
  if (!step)
    return;
  admission_destroy (step->admission);
  recent_table_destroy (step->programs);
  free (step);
}

/* Returns the decisions of STEP, which owns them.  */
struct admission *
admission_step_policy (const struct admission_step *step)
{
  return step->admission;
}

static void
add_priority (struct admission_step *step, int32_t priority)
{
  if (priority >= 0 && priority < ADMISSION_PRIORITIES)
    step->priorities |= 1U << priority;
}

/* Applies the configured priorities.  */
void
admission_step_apply (struct admission_step *step,
                      const struct routing *routing)
{
  step->priorities = 0;
  for (uint32_t i = 0; i < routing->route_count; i++)
    if (routing->routes[i].retry_mode == ROUTE_STREAM)
      add_priority (step, routing->routes[i].priority);
  for (uint32_t i = 0; i < routing->customer_count; i++)
    add_priority (step, routing->customers[i].priority);
}

/* Returns the load of SERVICE by the reports that this host got lately.  */
struct admission_load
admission_step_load (const struct pool *pool, const char *service,
                     int64_t now_ms)
{
  struct admission_load load = { 0 };

  for (size_t i = 0; i < pool_count (pool); i++)
    {
      const struct pool_endpoint *endpoint = pool_at (pool, i);

      if (endpoint->leaving || endpoint->unreachable
          || strcmp (endpoint->service, service) != 0)
        continue;
      load.endpoints++;
      if (endpoint->reported_ms == 0
          || now_ms - endpoint->reported_ms > ADMISSION_MAX_LOAD_AGE_MS)
        continue;
      load.reporting++;
      load.slots += endpoint->slots;
      load.running += endpoint->reported_running;
      load.waiting += endpoint->reported_waiting;
    }
  return load;
}

static bool
names_previous_turn (const struct request_input *input)
{
  for (size_t i = 0; i < input->header_count; i++)
    if (strcasecmp (input->headers[i].name, "Previous-Turn") == 0)
      return true;
  return false;
}

/* Whether a turn without a token budget begins its program, as far as this
   host knows: the turn names no earlier one and none has come here.  */
bool
admission_step_is_first (struct admission_step *step,
                         const struct request_input *input, uint64_t program,
                         int64_t now_ms)
{
  if (!program || input->resume_after >= 0 || names_previous_turn (input))
    return false;
  return recent_table_find (step->programs, program, now_ms) == 0;
}

/* Logs refused programs, at most one line per interval.  */
static void
log_refusal (struct admission_step *step, const struct admission_ask *ask,
             const struct admission_load *load,
             const struct admission_decision *decision, int64_t now_ms)
{
  step->refused++;
  if (step->logged_ms && now_ms - step->logged_ms < LOG_INTERVAL_MS)
    return;
  log_write (LOG_INFO, "admission", &ask->ids,
             "%u programs of service %s refused since the last such line: "
             "%u of %u endpoints reported, %" G_GINT64_FORMAT
             " requests run and %" G_GINT64_FORMAT " wait at %" G_GINT64_FORMAT
             " slots, a new program would wait %" G_GINT64_FORMAT
             " ms, this one has %" G_GINT64_FORMAT " ms left",
             step->refused, ask->service, load->reporting, load->endpoints,
             load->running, load->waiting, load->slots, decision->wait_ms,
             ask->program_left_ms);
  step->logged_ms = now_ms;
  step->refused = 0;
}

static bool
has_memory (const struct admission_step *step, const struct admission_ask *ask,
            struct error *error)
{
  if (!step->options.buffers || !buffer_budget_is_near (step->options.buffers))
    return true;
  counter_add (COUNTER_PROGRAMS_REFUSED_MEMORY, 1);
  error_set (error, ERROR_OVERLOADED, RUN_NOT_RUN,
             "this host buffers too much for slow readers; try another one");
  error->retry_after_ms = (uint32_t)admission_retry_after_ms (
      MEMORY_RETRY_MS, ask->program_left_ms, id_random64 ());
  return false;
}

static struct admission_query
make_query (const struct admission_step *step, const struct admission_ask *ask,
            uint64_t random, int64_t now_ms)
{
  return (struct admission_query){
    .service = id_hash_text (ask->service),
    .customer = ask->customer ? id_hash_text (ask->customer) : 0,
    .load = admission_step_load (step->options.pool, ask->service, now_ms),
    .remaining_ms = ask->program_left_ms,
    .first_event_ms = -1,
    .random = random
  };
}

static bool
decide (struct admission_step *step, const struct admission_ask *ask,
        int64_t now_ms, struct error *error)
{
  struct admission_query query
      = make_query (step, ask, id_random64 (), now_ms);
  struct admission_decision decision;

  if (step->options.predict)
    query.first_event_ms
        = step->options.predict (step->options.data, ask->service, now_ms);
  decision = admission_decide (step->admission, &query, now_ms);
  if (decision.verdict == ADMISSION_ADMITTED)
    return true;
  counter_add (decision.verdict == ADMISSION_REFUSED_SHARE
                   ? COUNTER_PROGRAMS_REFUSED_SHARE
                   : COUNTER_PROGRAMS_REFUSED_LOAD,
               1);
  log_refusal (step, ask, &query.load, &decision, now_ms);
  error_set (error, ERROR_OVERLOADED, RUN_NOT_RUN,
             decision.verdict == ADMISSION_REFUSED_SHARE
                 ? "the service is loaded and the customer has had its share"
                 : "the service is loaded, the program would end late");
  error->retry_after_ms = (uint32_t)decision.retry_after_ms;
  return false;
}

/* Whether the request's deadline is shorter than any answer takes.  */
static bool
is_hopeless (const struct admission_step *step,
             const struct admission_ask *ask, int64_t now_ms)
{
  return ask->request_left_ms
         < admission_step_least_ms (step, ask->service, now_ms);
}

/* Returns what admission_step_admit would decide, without the predictor, which
   may change the pool.  Changes nothing.  Refusals for load are by chance; the
   middle of the chances is taken.  */
struct admission_preview
admission_step_preview (const struct admission_step *step,
                        const struct admission_ask *ask, int64_t now_ms)
{
  struct admission_query query = make_query (step, ask, 1ULL << 63, now_ms);
  struct admission_preview preview
      = { .is_hopeless = is_hopeless (step, ask, now_ms),
          .load = query.load,
          .decision = { .verdict = ADMISSION_ADMITTED, .share = 1 } };

  preview.lacks_memory = ask->begins_program && step->options.buffers
                         && buffer_budget_is_near (step->options.buffers);
  if (ask->begins_program)
    preview.decision = admission_preview (step->admission, &query, now_ms);
  if (preview.is_hopeless)
    preview.decision.retry_after_ms = HOPELESS_RETRY_MS;
  else if (preview.lacks_memory)
    preview.decision.retry_after_ms
        = admission_retry_after_ms (MEMORY_RETRY_MS, ask->program_left_ms, 0);
  preview.is_admitted = !preview.is_hopeless && !preview.lacks_memory
                        && preview.decision.verdict == ADMISSION_ADMITTED;
  return preview;
}

/* Decides on a turn before its first send.  Returns false and sets ERROR if it
   is refused: a first turn for the service's load, and any turn whose deadline
   cannot be met.  */
bool
admission_step_admit (struct admission_step *step,
                      const struct admission_ask *ask, int64_t now_ms,
                      struct error *error)
{
  uint64_t service = id_hash_text (ask->service);

  if (is_hopeless (step, ask, now_ms))
    {
      counter_add (COUNTER_HOPELESS_REFUSED, 1);
      error_set (error, ERROR_OVERLOADED, RUN_NOT_RUN,
                 "the deadline is shorter than any answer takes");
      error->retry_after_ms = HOPELESS_RETRY_MS;
      return false;
    }
  if (ask->begins_program
      && (!has_memory (step, ask, error)
          || !decide (step, ask, now_ms, error)))
    return false;
  if (ask->begins_program)
    counter_add (COUNTER_PROGRAMS_ADMITTED, 1);
  if (ask->program)
    recent_table_record (step->programs, ask->program, 1, now_ms);
  admission_record_turn (step->admission, service, ask->begins_program);
  return true;
}

/* Returns the priority that the endpoint is told.  */
int32_t
admission_step_priority (const struct admission_step *step,
                         const struct admission_turn *turn)
{
  struct admission_turn known = *turn;

  known.configured = step->priorities;
  return admission_priority (&known);
}

/* Returns the time that a request to SERVICE surely needs; 0 if unknown.  */
int64_t
admission_step_least_ms (const struct admission_step *step,
                         const char *service, int64_t now_ms)
{
  return admission_least_ms (step->admission, id_hash_text (service), now_ms);
}

/* Records the time from the send of a turn to its first event.  */
void
admission_step_record_first_event (struct admission_step *step,
                                   const char *service, int64_t first_event_ms,
                                   int64_t now_ms)
{
  admission_record_first_event (step->admission, id_hash_text (service),
                                first_event_ms, now_ms);
}

/* Records how long a turn held its slot.  */
void
admission_step_record_end (struct admission_step *step, const char *service,
                           int64_t held_ms)
{
  admission_record_end (step->admission, id_hash_text (service), held_ms);
}
