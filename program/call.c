#include "program/call.h"
#include "common/counters.h"
#include "common/id.h"
#include "common/log.h"
#include "endpoint/holds.h"
#include "galenashored/server.h"
#include "program/load.h"
#include "program/replication.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HTTP_OK = 200,
  HTTP_CREATED = 201,
  PRIORITY_STEP_TOKENS = 512, /* tokens generated per priority level */
  MAX_PRIORITY = 16,
  BYTES_PER_TOKEN = 4, /* to estimate the length of a prompt */
  UNAVAILABLE_RETRY_MS = 1000,
  BUSY_RETRY_MS = 50,
};

/* Frees the contents of SPEC.  */
void
call_spec_release (struct call_spec *spec)
{
  buf_release (&spec->messages);
  buf_release (&spec->body);
  free (spec->model);
  free (spec->route);
  free (spec->subpath);
  free (spec->method);
  free (spec->content_type);
}

static void
fail_all_waiters (struct call *call, const struct error *error,
                  const char *cursor)
{
  while (call->waiters)
    waiter_fail (call->waiters, error, cursor);
}

static void
call_destroy (struct call *call)
{
  call_spec_release (&call->spec);
  answer_release (&call->answer);
  free (call->job.model);
  free (call->job.customer);
  free (call->job.served_by);
  free (call->program_id);
  free (call->customer);
  free (call);
}

/* Detaches the call from its branch.  */
static void
detach_from_branch (struct call *call)
{
  if (!call->branch)
    return;
  call->branch->call = NULL;
  call->branch = NULL;
  call->program->calls_in_flight--;
  call->program->programs->calls_in_flight--;
  call->program->last_used_ms = clock_now_ms ();
}

static struct budget_amount
amount_used (const struct call *call)
{
  struct budget_amount used = { .calls = 1 };
  const struct config_customer *customer
      = config_find_customer (call->server->config, call->customer);

  if (call->spec.kind == CALL_MODEL)
    used.tokens = call->answer.token_count;
  if (customer)
    used.cost_micros = used.tokens * customer->params.cost_micros_per_token;
  return used;
}

static void
settle_budget (struct call *call, struct budget_amount used)
{
  budget_settle (&call->program->budget, call->reserved, used);
  call->reserved = (struct budget_amount){ 0 };
}

/* Fails a call without closing its turn, so that its cursor remains valid.
   It is charged only if it has generated tokens.  */
static void
finish_failed (struct call *call, const struct error *error)
{
  struct budget_amount used = { 0 };

  if (call->branch)
    {
      if (call->answer.token_count > 0)
        used = amount_used (call);
      settle_budget (call, used);
      turn_fail (&call->branch->state);
      detach_from_branch (call);
    }
  fail_all_waiters (call, error, NULL);
  call_destroy (call);
}

/* Fails a call that is not attached to a branch yet.  */
void
call_fail (struct call *call, const struct error *error)
{
  finish_failed (call, error);
}

static void
finish_completed (struct call *call)
{
  struct program_branch *branch = call->branch;
  struct program *program = call->program;
  char cursor[CURSOR_TEXT_BYTES];
  struct answer_metadata answer_metadata
      = { .cursor = cursor,
          .program = program->id,
          .turn = branch->state.next_turn + 1,
          .replicas = call->stored_replicas,
          .usage = &call->usage };

  turn_finish (&branch->state, call->hash_after);
  settle_budget (call, amount_used (call));
  program->attained_tokens += call->answer.token_count;
  counter_add (COUNTER_CALLS_FINISHED, 1);
  program_seal_cursor (program, branch, cursor);
  answer_release (&branch->last_answer);
  branch->last_answer = call->answer;
  call->answer = (struct answer){ 0 };
  detach_from_branch (call);
  while (call->waiters)
    waiter_finish (call->waiters, call->spec.kind, &branch->last_answer,
                   &answer_metadata);
  call_destroy (call);
}

/* Ends a call whose outcome is unknown.  Its turn is closed, so that no call
   can run at its cursor any more; the caller gets the cursor after it.  */
static void
finish_unknown (struct call *call)
{
  struct program_branch *branch = call->branch;
  char cursor[CURSOR_TEXT_BYTES];

  turn_close (&branch->state, call->request_hash);
  settle_budget (call, (struct budget_amount){ .calls = 1 });
  answer_release (&branch->last_answer);
  branch->last_answer.error = call->unknown_outcome;
  program_seal_cursor (call->program, branch, cursor);
  detach_from_branch (call);
  fail_all_waiters (call, &call->unknown_outcome, cursor);
  call_destroy (call);
}

static void
handle_turn_stored (void *data, uint32_t stored, uint32_t wanted)
{
  struct call *call = data;

  call->stored_replicas = stored;
  if (stored < wanted)
    log_write (LOG_WARN, "call",
               &(struct log_ids){ .program = call->program_id,
                                  .customer = call->customer },
               "turn is stored on %u of %u hosts", stored, wanted);
  if (call->unknown_outcome.kind != ERROR_NONE)
    finish_unknown (call);
  else
    finish_completed (call);
}

/* Appends what the turn record stores as messages.  */
static void
record_messages (const struct call *call, struct buf *out)
{
  /* Every chat request repeats the complete conversation, so a hash of the
     request is enough.  */
  if (call->spec.full_conversation)
    buf_printf (out, "%016" PRIx64, call->request_hash);
  else
    buf_append (out, call->spec.messages.data, call->spec.messages.len);
}

/* Replicates the turn.  The answer is completed in handle_turn_stored, once
   the replicas are on disk.  */
static void
replicate_turn (struct call *call)
{
  struct program_branch *branch = call->branch;
  History__Record record = HISTORY__RECORD__INIT;
  History__Turn turn = HISTORY__TURN__INIT;
  struct buf messages = { 0 };
  bool doubtful = call->unknown_outcome.kind != ERROR_NONE;

  call->state = CALL_REPLICATING;
  record_messages (call, &messages);
  turn.branch = branch->number;
  turn.turn = branch->state.next_turn;
  turn.incarnation = call->program->incarnation;
  turn.request_hash = call->request_hash;
  turn.hash_before = branch->state.history_hash;
  turn.hash_after = branch->state.history_hash;
  turn.doubtful = doubtful;
  if (!doubtful)
    {
      turn.messages.data = (uint8_t *)messages.data;
      turn.messages.len = messages.len;
      turn.answer.data = (uint8_t *)call->answer.text.data;
      turn.answer.len = call->answer.text.len;
      turn.content_type = call->answer.content_type;
      turn.status = call->answer.status;
      turn.is_message
          = call->spec.kind == CALL_MODEL && !call->spec.full_conversation;
      turn.tokens = call->answer.token_count;
      turn.hash_after
          = history_turn_hash (turn.hash_before, messages.data, messages.len,
                               call->answer.text.data, call->answer.text.len);
      if (!call->spec.full_conversation)
        history_append_turn (&branch->messages, &turn);
    }
  call->hash_after = turn.hash_after;
  record.body_case = HISTORY__RECORD__BODY_TURN;
  record.turn = &turn;
  replication_append (call->server->replication, call->program_id, &record,
                      handle_turn_stored, call);
  buf_release (&messages);
}

/* Stores the turn as closed with an unknown outcome.  The callers get ERROR
   and the next cursor.  */
static void
close_with_unknown_outcome (struct call *call, const struct error *error)
{
  call->unknown_outcome = *error;
  replicate_turn (call);
}

/* Returns the priority for the engine, which grows with the tokens that the
   program has generated.  */
static int64_t
program_priority (const struct program *program)
{
  int64_t level = program->attained_tokens / PRIORITY_STEP_TOKENS;

  return level < MAX_PRIORITY ? level : MAX_PRIORITY;
}

/* Writes the engine request.  A job that is retried resumes after the tokens
   received so far.  */
static void
build_engine_request (void *data, struct buf *body)
{
  struct call *call = data;
  const struct buf *history = &call->branch->messages;

  buf_append_str (body, "{\"model\":");
  waiter_append_json_string (body, call->spec.model,
                             strlen (call->spec.model));
  buf_printf (body,
              ",\"stream\":true,\"max_tokens\":%" PRId64
              ",\"resume_from\":%" PRIu32 ",\"priority\":%" PRId64
              ",\"program\":\"%s\",\"messages\":[",
              call->max_tokens, call->answer.token_count,
              program_priority (call->program), call->program_id);
  if (!call->spec.full_conversation && history->len > 0)
    {
      buf_append (body, history->data, history->len);
      if (call->spec.messages.len > 0)
        buf_append (body, ",", 1);
    }
  buf_append (body, call->spec.messages.data, call->spec.messages.len);
  buf_append_str (body, "]}");
}

static bool
handle_job_token (void *data, const char *text, size_t len)
{
  struct call *call = data;

  if (call->answer.token_count >= call->max_tokens)
    return false;
  counter_add (COUNTER_TOKENS, 1);
  answer_append_token (&call->answer, text, len);
  waiter_send_tokens (call->waiters, &call->answer);
  return true;
}

static void
handle_job_done (void *data, const struct engine_usage *usage)
{
  struct call *call = data;

  call->job_submitted = false;
  call->usage = *usage;
  call->answer.status = HTTP_OK;
  free (call->program->last_engine);
  call->program->last_engine = call->job.served_by;
  call->job.served_by = NULL;
  replicate_turn (call);
}

static void
handle_job_failed (void *data, const struct error *error)
{
  struct call *call = data;

  call->job_submitted = false;
  finish_failed (call, error);
}

static void
handle_service_answer (void *data, long status, const struct buf *body)
{
  struct call *call = data;

  call->service = NULL;
  call->answer.status = (unsigned)status;
  call->answer.content_type = xstrdup ("application/json");
  buf_append (&call->answer.text, body->data, body->len);
  replicate_turn (call);
}

static void
handle_service_failed (void *data, const struct error *error)
{
  struct call *call = data;

  call->service = NULL;
  if (error->run == RUN_NOT_RUN || call->spec.idempotent)
    finish_failed (call, error);
  else
    close_with_unknown_outcome (call, error);
}

static void
dispatch_model (struct call *call)
{
  const struct config_customer *customer
      = config_find_customer (call->server->config, call->customer);
  struct job *job = &call->job;

  job->model = xstrdup (call->spec.model);
  job->customer = xstrdup (call->customer);
  job->program = call->program->hash;
  job->fingerprint
      = id_hash64 (call->spec.messages.data, call->spec.messages.len,
                   call->branch->state.history_hash);
  job->prompt_tokens
      = (int64_t)(call->branch->messages.len + call->spec.messages.len)
        / BYTES_PER_TOKEN;
  job->fair.customer = call->program->customer_hash;
  job->fair.weight = customer ? customer->params.weight : 1;
  job->fair.attained = call->program->attained_tokens;
  job->handlers = (struct job_handlers){ .build_body = build_engine_request,
                                         .handle_token = handle_job_token,
                                         .handle_done = handle_job_done,
                                         .handle_failed = handle_job_failed,
                                         .data = call };
  call->job_submitted = true;
  holds_end_pause (call->server->holds, call->program_id);
  dispatcher_submit (call->server->dispatcher, job);
}

/* Derives the request id from the call's position, so that a retry has the
   same id and the service can detect it.  */
static char *
service_request_id (const struct call *call)
{
  return xasprintf ("%s-%" PRIu32 "-%" PRIu32, call->program_id,
                    call->branch->number, call->cursor.turn);
}

static void
dispatch_tool (struct call *call)
{
  char *request_id = service_request_id (call);
  struct service_options options = { .route = call->spec.route,
                                     .method = call->spec.method,
                                     .subpath = call->spec.subpath,
                                     .content_type = call->spec.content_type,
                                     .request_id = request_id,
                                     .body = call->spec.body.data,
                                     .body_len = call->spec.body.len,
                                     .idempotent = call->spec.idempotent,
                                     .timeout_ms = call->spec.timeout_ms,
                                     .handle_response = handle_service_answer,
                                     .handle_failed = handle_service_failed,
                                     .data = call };

  holds_begin_pause (call->server->holds, call->program_id,
                     call->program->last_engine, call->spec.route);
  call->service = service_call_start (call->server, &options);
  free (request_id);
}

static void
dispatch (struct call *call)
{
  call->state = CALL_RUNNING;
  counter_add (COUNTER_CALLS_STARTED, 1);
  if (call->spec.kind == CALL_MODEL)
    dispatch_model (call);
  else
    dispatch_tool (call);
}

/* Fails a call because the journal names another process as the owner of its
   program, and unloads the program here.  */
static void
fail_moved (struct call *call)
{
  struct programs *programs = call->server->programs;
  char *id = xstrdup (call->program_id);
  struct error error;

  error_set (&error, ERROR_PEER, RUN_NOT_RUN,
             "another host has taken over the program; retry the call with "
             "the same cursor");
  error.retry_after_ms = BUSY_RETRY_MS;
  finish_failed (call, &error);
  programs_handle_moved (programs, id);
  free (id);
}

/* Dispatches a call whose intent is in the journal.  If the platform is
   unavailable, the turn is closed without running the call, and the next
   cursor is issued without the journaled flag, so that its call needs no
   intent.  */
static void
handle_intent (void *data, enum journal_status status)
{
  struct call *call = data;
  struct error error;

  if (status == JOURNAL_RECORDED)
    {
      dispatch (call);
      return;
    }
  if (status == JOURNAL_MOVED)
    {
      fail_moved (call);
      return;
    }
  error_set (&error, ERROR_PLATFORM, RUN_NOT_RUN,
             "the platform is unavailable and the call could not be "
             "journaled; retry with the new cursor");
  error.retry_after_ms = BUSY_RETRY_MS;
  close_with_unknown_outcome (call, &error);
}

/* Journals the intent to run a call before dispatching it.  A call that is
   idempotent, or whose cursor does not have the journaled flag, is dispatched
   at once.  */
static void
record_intent (struct call *call)
{
  if (call->spec.idempotent || !call->cursor.journaled)
    {
      dispatch (call);
      return;
    }
  call->state = CALL_AWAITING_JOURNAL;
  journal_record_intent (call->server->journal, call->program_id,
                         call->branch->number, call->cursor.turn,
                         handle_intent, call);
}

static void
fail_budget_exhausted (struct call *call)
{
  const struct budget *budget = &call->program->budget;
  struct error error;

  error_set (&error, ERROR_BUDGET_EXHAUSTED, RUN_NOT_RUN,
             "the program has used %lld of %lld tokens and %lld of %lld "
             "calls; open another program, or ask for a larger budget",
             (long long)budget->spent.tokens, (long long)budget->limit.tokens,
             (long long)budget->spent.calls, (long long)budget->limit.calls);
  finish_failed (call, &error);
}

/* Returns the maximum that the call may use.  Its tokens are capped at the
   remaining budget, so that a program can spend its budget completely.  */
static struct budget_amount
requested_amount (struct call *call)
{
  const struct config_customer *customer
      = config_find_customer (call->server->config, call->customer);
  const struct budget *budget = &call->program->budget;
  int64_t price = customer ? customer->params.cost_micros_per_token : 0;
  struct budget_amount amount = { .calls = 1 };
  int64_t left
      = budget->limit.tokens - budget->spent.tokens - budget->reserved.tokens;
  int64_t micros_left = budget->limit.cost_micros - budget->spent.cost_micros
                        - budget->reserved.cost_micros;

  if (call->spec.kind != CALL_MODEL)
    return amount;
  amount.tokens = call->spec.max_tokens;
  if (customer && amount.tokens > customer->params.max_tokens_per_call)
    amount.tokens = customer->params.max_tokens_per_call;
  if (left > 0 && amount.tokens > left)
    amount.tokens = left;
  if (price > 0 && micros_left >= price && amount.tokens > micros_left / price)
    amount.tokens = micros_left / price;
  amount.cost_micros = amount.tokens * price;
  return amount;
}

/* Reserves the maximum that the call may use.  Returns false if more budget
   must be granted first or the limit is reached.  */
static bool
reserve (struct call *call)
{
  struct budget_amount amount = requested_amount (call);

  if (budget_reserve (&call->program->budget, amount) != BUDGET_OK)
    return false;
  call->reserved = amount;
  call->max_tokens = amount.tokens;
  return true;
}

static void
fail_platform_unavailable (struct call *call)
{
  struct error error;

  error_set (&error, ERROR_PLATFORM, RUN_NOT_RUN,
             "the platform is unavailable and no further budget could be "
             "granted; retry later with the same cursor");
  error.retry_after_ms = UNAVAILABLE_RETRY_MS;
  finish_failed (call, &error);
}

/* Continues a call after its request for a grant.  A program that was opened
   while the platform was unavailable has no record there.  It may use its
   whole limit, and a takeover counts all of it as spent.  */
static void
handle_grant (void *data, enum journal_status status)
{
  struct call *call = data;
  struct budget *budget = &call->program->budget;

  if (status == JOURNAL_MOVED)
    {
      fail_moved (call);
      return;
    }
  if (status == JOURNAL_RECORDED)
    {
      budget_grant (budget,
                    budget_next_grant (budget, requested_amount (call)));
      call->program->grants_journaled = true;
    }
  else if (call->program->opened_in_outage && !call->program->grants_journaled)
    budget_grant (budget, budget->limit);
  else
    {
      fail_platform_unavailable (call);
      return;
    }
  if (reserve (call))
    record_intent (call);
  else
    fail_budget_exhausted (call);
}

static void
request_grant (struct call *call)
{
  struct budget *budget = &call->program->budget;

  call->state = CALL_AWAITING_GRANT;
  journal_record_grant (call->server->journal, call->program_id,
                        budget_next_grant (budget, requested_amount (call)),
                        handle_grant, call);
}

/* Reserves budget for a call, requesting a grant first if needed.  While the
   platform is unavailable, a program that was opened before continues within
   its granted budget.  */
static void
reserve_budget (struct call *call)
{
  struct budget probe = call->program->budget;
  enum budget_verdict verdict
      = budget_reserve (&probe, requested_amount (call));
  bool not_journaled = !call->program->grants_journaled
                       && !journal_is_down (call->server->journal);

  if (verdict == BUDGET_EXHAUSTED)
    fail_budget_exhausted (call);
  else if (verdict == BUDGET_NEEDS_GRANT || not_journaled)
    request_grant (call);
  else if (reserve (call))
    record_intent (call);
}

/* Attaches the call to the branch as its call in flight.  */
static void
attach_to_branch (struct call *call, struct program *program,
                  struct program_branch *branch)
{
  call->program = program;
  call->branch = branch;
  branch->call = call;
  program->calls_in_flight++;
  program->programs->calls_in_flight++;
  turn_begin (&branch->state, call->request_hash);
}

/* Closes the turn of a call that a previous owner may have run, and tells the
   caller if the journals of the previous owners show that it did not run.  */
static void
handle_outcome_resolved (void *data, const struct journal_takeover *takeover)
{
  struct call *call = data;
  struct error error;

  if (takeover->status != JOURNAL_RECORDED)
    {
      error_set (
          &error, ERROR_OUTCOME_UNKNOWN, RUN_MAY_HAVE_RUN,
          "the platform is unavailable, so it is unknown whether the call "
          "ran; retry later with the same cursor");
      error.retry_after_ms = UNAVAILABLE_RETRY_MS;
      finish_failed (call, &error);
      return;
    }
  budget_restore (&call->program->budget, takeover->granted);
  if (call->cursor.journaled && takeover->found && !takeover->has_intent)
    error_set (&error, ERROR_OUTCOME_UNKNOWN, RUN_NOT_RUN,
               "the previous host of the program is gone and had not run the "
               "call; retry with the new cursor");
  else
    error_set (
        &error, ERROR_OUTCOME_UNKNOWN, RUN_MAY_HAVE_RUN,
        "the previous host of the program is gone and may have run the "
        "call; check whether it did, then continue with the new cursor");
  error.retry_after_ms = BUSY_RETRY_MS;
  close_with_unknown_outcome (call, &error);
}

/* Takes the program over from the process that issued the cursor and from
   later owners; their journals tell whether the call may have run.  */
static void
resolve_outcome (struct call *call, struct program *program,
                 struct program_branch *branch)
{
  attach_to_branch (call, program, branch);
  call->state = CALL_AWAITING_JOURNAL;
  journal_take_over (call->server->journal, call->cursor.process,
                     call->program_id, call->cursor.branch, call->cursor.turn,
                     handle_outcome_resolved, call);
}

/* Fails a call with an error of the given kind, run state and message.  */
static void
fail_with (struct call *call, enum error_kind kind, enum run_state run,
           uint32_t retry_after_ms, const char *message)
{
  struct error error;

  error_set (&error, kind, run, "%s", message);
  error.retry_after_ms = retry_after_ms;
  finish_failed (call, &error);
}

/* Moves CALL's requests to RUNNING, the same call in flight.  */
static void
join_running_call (struct call *call, struct call *running)
{
  while (call->waiters)
    {
      struct waiter *waiter = call->waiters;
      struct api_request *request = waiter->request;
      enum call_format format = waiter->format;

      waiter_destroy (waiter);
      waiter_add (&running->waiters, request, format);
    }
  counter_add (COUNTER_CALLS_REPLAYED, 1);
  call_destroy (call);
  waiter_send_tokens (running->waiters, &running->answer);
}

/* Answers a call that has finished before with its stored answer.  The number
   of its replicas is not stored, so REPLICATION_FACTOR is reported.  */
static void
replay (struct call *call, struct program *program,
        struct program_branch *branch)
{
  char cursor[CURSOR_TEXT_BYTES];
  struct engine_usage usage = { 0 };
  struct answer_metadata answer_metadata = { .cursor = cursor,
                                             .program = program->id,
                                             .turn = branch->state.next_turn,
                                             .replicas = REPLICATION_FACTOR,
                                             .usage = &usage };

  counter_add (COUNTER_CALLS_REPLAYED, 1);
  program_seal_cursor (program, branch, cursor);
  while (call->waiters)
    waiter_finish (call->waiters, call->spec.kind, &branch->last_answer,
                   &answer_metadata);
  call_destroy (call);
}

static void
replay_unknown_outcome (struct call *call, struct program *program,
                        struct program_branch *branch)
{
  char cursor[CURSOR_TEXT_BYTES];

  program_seal_cursor (program, branch, cursor);
  fail_all_waiters (call, &branch->last_answer.error, cursor);
  call_destroy (call);
}

/* Loads the program because the history at the cursor is not in memory, at
   most once per call.  */
static void
reload (struct call *call, struct program *program)
{
  if (call->reloaded)
    {
      fail_with (
          call, ERROR_HISTORY_UNAVAILABLE,
          call->spec.idempotent ? RUN_NOT_RUN : RUN_MAY_HAVE_RUN,
          UNAVAILABLE_RETRY_MS,
          "no replica of the history at this cursor is reachable; retry "
          "later");
      return;
    }
  if (program && program->calls_in_flight > 0)
    {
      fail_with (call, ERROR_BRANCH_BUSY, RUN_NOT_RUN, BUSY_RETRY_MS,
                 "other calls of the program are in flight; retry when they "
                 "have finished");
      return;
    }
  if (program)
    program_destroy (program);
  load_start (call);
}

/* A chat request without a cursor continues at the end of branch 0.  */
static void
set_cursor_to_latest (struct call *call, const struct program *program,
                      const struct program_branch *branch)
{
  call->cursor = (struct cursor){ .program = program->hash,
                                  .customer = program->customer_hash,
                                  .turn = branch->state.next_turn,
                                  .incarnation = program->incarnation,
                                  .process = call->server->process,
                                  .history_hash = branch->state.history_hash };
}

static void
respond_branch (struct call *call, const struct program *program,
                const struct program_branch *branch)
{
  char cursor[CURSOR_TEXT_BYTES];
  char *body;

  program_seal_cursor (program, branch, cursor);
  body = xasprintf ("{\"program\":\"%s\",\"branch\":%" PRIu32
                    ",\"cursor\":\"%s\"}",
                    program->id, branch->number, cursor);
  while (call->waiters)
    {
      struct waiter *waiter = call->waiters;
      struct api_request *request = waiter->request;

      waiter_destroy (waiter);
      api_set_string (&request->answer_cursor, cursor);
      api_respond (request, HTTP_CREATED, "application/json", body,
                   strlen (body));
    }
  free (body);
  call_destroy (call);
}

static void
handle_branch_stored (void *data, uint32_t stored, uint32_t wanted)
{
  struct call *call = data;
  struct program *program
      = program_find (call->server->programs, call->program_id);
  struct program_branch *branch
      = program ? program_find_branch (program, call->spec.new_branch) : NULL;

  if (branch)
    respond_branch (call, program, branch);
  else
    fail_with (call, ERROR_PEER, RUN_NOT_RUN, BUSY_RETRY_MS,
               "another host has taken over the program; retry the request");
}

static void
open_branch (struct call *call, struct program *program,
             const struct program_branch *parent)
{
  struct program_branch *branch
      = program_add_branch (program, call->spec.new_branch);
  History__Record record = HISTORY__RECORD__INIT;
  History__Branch branch_record = HISTORY__BRANCH__INIT;

  branch->state.history_hash
      = history_branch_seed (branch->number, call->cursor.history_hash);
  branch->parent_hash = call->cursor.history_hash;
  branch_record.branch = branch->number;
  branch_record.parent = parent->number;
  branch_record.parent_hash = branch->parent_hash;
  if (call->spec.fork)
    {
      buf_append (&branch->messages, parent->messages.data,
                  parent->messages.len);
      branch_record.messages.data = (uint8_t *)parent->messages.data;
      branch_record.messages.len = parent->messages.len;
    }
  record.body_case = HISTORY__RECORD__BODY_BRANCH;
  record.branch = &branch_record;
  replication_append (call->server->replication, program->id, &record,
                      handle_branch_stored, call);
}

/* Opening a branch is idempotent: repeating it with the same cursor returns
   the same branch.  */
static void
process_branch_open (struct call *call, struct program *program,
                     const struct program_branch *parent)
{
  struct program_branch *branch
      = program_find_branch (program, call->spec.new_branch);

  if (branch && branch->parent_hash == call->cursor.history_hash
      && branch->state.next_turn == 0)
    respond_branch (call, program, branch);
  else if (branch)
    fail_with (call, ERROR_CONFLICT, RUN_NOT_RUN, 0,
               "the branch number is already in use; choose another");
  else if (turn_decide (&parent->state, &call->cursor, program->incarnation,
                        true, call->request_hash)
           != TURN_RUN)
    fail_with (call, ERROR_STALE_CURSOR, RUN_NOT_RUN, BUSY_RETRY_MS,
               "the parent branch has advanced or has a call in flight; use "
               "its latest cursor");
  else
    open_branch (call, program, parent);
}

static void
apply_verdict (struct call *call, struct program *program,
               struct program_branch *branch, enum turn_verdict verdict)
{
  switch (verdict)
    {
    case TURN_RUN:
      attach_to_branch (call, program, branch);
      reserve_budget (call);
      break;
    case TURN_RESOLVE:
      resolve_outcome (call, program, branch);
      break;
    case TURN_JOIN:
      join_running_call (call, branch->call);
      break;
    case TURN_REPLAY:
      replay (call, program, branch);
      break;
    case TURN_OUTCOME_UNKNOWN:
      replay_unknown_outcome (call, program, branch);
      break;
    case TURN_BUSY:
      fail_with (
          call, ERROR_BRANCH_BUSY, RUN_NOT_RUN, BUSY_RETRY_MS,
          "another call of the branch is in flight; wait for its answer");
      break;
    case TURN_STALE:
      fail_with (call, ERROR_STALE_CURSOR, RUN_NOT_RUN, 0,
                 "a later call of the branch has run; use the latest cursor");
      break;
    case TURN_MISMATCH:
      fail_with (call, ERROR_OUT_OF_ORDER, RUN_NOT_RUN, 0,
                 "a different call has run at this cursor; use the latest "
                 "cursor");
      break;
    case TURN_RELOAD:
      reload (call, program);
      break;
    }
}

static void
process_call (struct call *call)
{
  struct program *program
      = program_find (call->server->programs, call->program_id);
  struct program_branch *branch
      = program ? program_find_branch (program, call->cursor.branch) : NULL;

  if (program && strcmp (program->customer, call->customer) != 0)
    {
      fail_with (call, ERROR_NOT_FOUND, RUN_NOT_RUN, 0,
                 "program not found; open one first");
      return;
    }
  if (!branch)
    {
      if (call->reloaded)
        reload (call, program);
      else
        load_start (call);
      return;
    }
  if (!call->has_cursor)
    set_cursor_to_latest (call, program, branch);
  if (call->spec.kind == CALL_BRANCH)
    {
      process_branch_open (call, program, branch);
      return;
    }
  apply_verdict (call, program, branch,
                 turn_decide (&branch->state, &call->cursor,
                              program->incarnation, call->spec.idempotent,
                              call->request_hash));
}

/* Resumes a call after its program has been loaded.  */
void
call_resume_after_load (struct call *call)
{
  call->reloaded = true;
  process_call (call);
}

/* Aborts a call in flight: cancels its engine or service request and answers
   its callers with WHY immediately.  */
void
call_abort (struct call *call, enum error_kind kind, const char *why)
{
  bool may_have_run
      = call->state == CALL_RUNNING || call->state == CALL_REPLICATING;
  struct error error;

  if (call->job_submitted)
    dispatcher_cancel (&call->job);
  if (call->service)
    service_call_cancel (call->service);
  journal_remove_handlers (call->server->journal, call);
  replication_drop_handlers (call->server->replication, call);
  error_set (&error, kind, may_have_run ? RUN_MAY_HAVE_RUN : RUN_NOT_RUN, "%s",
             why);
  finish_failed (call, &error);
}

/* Returns the hash that identifies a request, to recognise its retries.  */
static uint64_t
hash_request (const struct call_spec *spec)
{
  uint64_t hash = id_hash64 (spec->messages.data, spec->messages.len,
                             (uint64_t)spec->kind + 1);

  if (spec->model)
    hash = id_hash64 (spec->model, strlen (spec->model), hash);
  if (spec->route)
    hash = id_hash64 (spec->route, strlen (spec->route), hash);
  if (spec->subpath)
    hash = id_hash64 (spec->subpath, strlen (spec->subpath), hash);
  hash = id_hash64 (&spec->max_tokens, sizeof spec->max_tokens, hash);
  return id_hash64 (spec->body.data, spec->body.len, hash);
}

/* Decrypts the cursor and checks that it belongs to the program and the
   customer.  */
static bool
open_cursor (struct call *call, const char *text, struct error *error)
{
  if (!cursor_open (&call->server->settings->keyring, text, &call->cursor,
                    error))
    return false;
  if (call->cursor.program == id_hash_text (call->program_id)
      && call->cursor.customer == id_hash_text (call->customer))
    return true;
  error_set (
      error, ERROR_BAD_REQUEST, RUN_NOT_RUN,
      "the cursor belongs to another program; send the latest cursor of "
      "this program");
  return false;
}

/* Runs a call of PROGRAM_ID for REQUEST at the position given by its cursor.
   Takes ownership of SPEC's contents.  */
void
call_submit (struct api_request *request, struct call_spec *spec,
             const char *program_id)
{
  struct call *call = xcalloc (1, sizeof *call);
  struct error error;

  call->server = request->server;
  call->spec = *spec;
  call->program_id = xstrdup (program_id);
  call->customer = xstrdup (request->customer);
  call->request_hash = hash_request (spec);
  call->started_ms = clock_now_ms ();
  waiter_add (&call->waiters, request, spec->format);
  if (request->cursor)
    {
      call->has_cursor = true;
      if (!open_cursor (call, request->cursor, &error))
        {
          finish_failed (call, &error);
          return;
        }
    }
  else if (!spec->full_conversation)
    {
      fail_with (call, ERROR_BAD_REQUEST, RUN_NOT_RUN, 0,
                 "X-Galena-Cursor is missing; send the latest cursor of the "
                 "branch");
      return;
    }
  process_call (call);
}
