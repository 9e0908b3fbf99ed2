#include "program/load.h"
#include "common/counters.h"
#include "common/id.h"
#include "common/log.h"
#include "galenashored/server.h"
#include "program/replication.h"
#include <stdlib.h>
#include <string.h>

enum
{
  UNAVAILABLE_RETRY_MS = 1000,
};

/* A load in progress and the calls that wait for it.  Owned by struct
   programs. */
struct load
{
  struct programs *programs;
  char *program_id;
  struct call *waiting; /* linked by next, newest first */
  struct history history;
  struct load *next;
};

static void
load_unlink (struct load *load)
{
  struct load **slot = &load->programs->loads;

  while (*slot && *slot != load)
    slot = &(*slot)->next;
  if (*slot)
    *slot = load->next;
}

static void
load_destroy (struct load *load)
{
  load_unlink (load);
  history_release (&load->history);
  free (load->program_id);
  free (load);
}

/* Fails the calls that wait for LOAD and frees it.  A call that is not
   idempotent may have run on a previous owner, unless NOT_RUN.  */
static void
fail_waiting (struct load *load, enum error_kind kind, bool not_run,
              uint32_t retry_after_ms, const char *message)
{
  struct error error;

  while (load->waiting)
    {
      struct call *call = load->waiting;

      load->waiting = call->next;
      error_set (&error, kind,
                 not_run || call->spec.idempotent ? RUN_NOT_RUN
                                                  : RUN_MAY_HAVE_RUN,
                 "%s", message);
      error.retry_after_ms = retry_after_ms;
      call_fail (call, &error);
    }
  load_destroy (load);
}

static void
restore_answer (struct answer *answer, const History__Turn *last)
{
  if (last->doubtful)
    {
      error_set (&answer->error, ERROR_OUTCOME_UNKNOWN, RUN_MAY_HAVE_RUN,
                 "a previous host closed this call with an unknown outcome; "
                 "check whether it ran, then continue with the new cursor");
      return;
    }
  answer->status = last->status;
  answer->content_type = xstrdup (last->content_type);
  if (last->is_message || last->tokens > 0)
    answer_append_token (answer, (const char *)last->answer.data,
                         last->answer.len);
  else
    buf_append (&answer->text, last->answer.data, last->answer.len);
}

/* Adds the branch that CALL continues, in its state at the cursor.  Returns
   false if its records are incomplete.  */
static bool
restore_branch (struct program *program, const struct history *history,
                const struct call *call)
{
  struct branch state;
  struct buf messages = { 0 };
  const History__Turn *last = NULL;
  struct program_branch *branch;

  if (!history_restore_branch (history, &call->cursor, call->request_hash,
                               &state, &messages, &last))
    {
      buf_release (&messages);
      return false;
    }
  branch = program_add_branch (program, call->cursor.branch);
  branch->state = state;
  branch->messages = messages;
  if (last)
    restore_answer (&branch->last_answer, last);
  return true;
}

static void
resume_waiting (struct load *load)
{
  struct call *waiting = load->waiting;

  load->waiting = NULL;
  load_destroy (load);
  while (waiting)
    {
      struct call *call = waiting;

      waiting = call->next;
      call->next = NULL;
      call_resume_after_load (call);
    }
}

/* Restores the branches of the waiting calls; the others are restored when
   they are used.  */
static void
restore_branches (struct load *load, struct program *program)
{
  for (struct call *call = load->waiting; call; call = call->next)
    if (!program_find_branch (program, call->cursor.branch))
      restore_branch (program, &load->history, call);
}

/* Creates the program once the journals of its previous owners have been
   taken over.  */
static void
restore_program (struct load *load, const struct journal_takeover *takeover)
{
  struct programs *programs = load->programs;
  struct call *first = load->waiting;
  const struct config_customer *customer
      = config_find_customer (programs->server->config, first->customer);
  struct program *program
      = customer ? program_create (programs, load->program_id, customer)
                 : NULL;

  if (!program)
    {
      fail_waiting (load, ERROR_FORBIDDEN, false, 0,
                    "the customer no longer exists; contact the operator");
      return;
    }
  program->grants_journaled = takeover->found;
  budget_restore (&program->budget,
                  takeover->found ? takeover->granted : program->budget.limit);
  restore_branches (load, program);
  counter_add (COUNTER_TAKEOVERS, 1);
  log_write (LOG_INFO, "load",
             &(struct log_ids){ .program = load->program_id,
                                .customer = first->customer },
             "program loaded from replicas");
  resume_waiting (load);
}

static void
handle_takeover (void *data, const struct journal_takeover *takeover)
{
  struct load *load = data;

  if (takeover->status != JOURNAL_RECORDED)
    fail_waiting (load, ERROR_PLATFORM, false, UNAVAILABLE_RETRY_MS,
                  "the platform is unavailable and the program cannot be "
                  "taken over; retry later with the same cursor");
  else
    restore_program (load, takeover);
}

/* Whether the records are those of the requested program, and it belongs to
   the customer that requested it.  */
static bool
is_program_of_customer (const struct load *load, const History__Open *open)
{
  return strcmp (open->program, load->program_id) == 0
         && strcmp (open->customer, load->waiting->customer) == 0;
}

static void
handle_fetched (void *data, struct history *history, bool complete)
{
  struct load *load = data;
  const History__Open *open = history_open_record (history);
  struct program *program;

  if (!open)
    {
      fail_waiting (load,
                    complete ? ERROR_NOT_FOUND : ERROR_HISTORY_UNAVAILABLE,
                    false, complete ? 0 : UNAVAILABLE_RETRY_MS,
                    complete ? "program not found; open one first"
                             : "no replica of the program is reachable; "
                               "retry later");
      return;
    }
  if (!is_program_of_customer (load, open))
    {
      fail_waiting (load, ERROR_NOT_FOUND, true, 0,
                    "program not found; open one first");
      return;
    }
  if (history_is_closed (history))
    {
      fail_waiting (load, ERROR_CANCELLED, true, 0,
                    "the program has been closed; open a new one");
      return;
    }
  load->history = *history;
  *history = (struct history){ 0 };
  program = program_find (load->programs, load->program_id);
  if (program)
    {
      /* The program is loaded already; only the branch was missing.  */
      restore_branches (load, program);
      resume_waiting (load);
      return;
    }
  journal_take_over (load->programs->server->journal,
                     load->waiting->cursor.process, load->program_id,
                     load->waiting->cursor.branch, load->waiting->cursor.turn,
                     handle_takeover, load);
}

/* Loads CALL's program and then resumes the call.  Joins a load that is
   already in progress.  */
void
load_start (struct call *call)
{
  struct programs *programs = call->server->programs;
  struct load *load = programs->loads;

  while (load && strcmp (load->program_id, call->program_id) != 0)
    load = load->next;
  if (load)
    {
      call->next = load->waiting;
      load->waiting = call;
      return;
    }
  if (!call->has_cursor)
    {
      struct error error;

      error_set (&error, ERROR_NOT_FOUND, RUN_NOT_RUN,
                 "the program is not loaded here; send its latest cursor as "
                 "X-Galena-Cursor");
      call_fail (call, &error);
      return;
    }
  load = xcalloc (1, sizeof *load);
  load->programs = programs;
  load->program_id = xstrdup (call->program_id);
  load->waiting = call;
  load->next = programs->loads;
  programs->loads = load;
  replication_fetch (call->server->replication, load->program_id,
                     handle_fetched, load);
}

/* Whether program ID is being loaded.  */
bool
load_in_progress (const struct programs *programs, const char *id)
{
  for (const struct load *load = programs->loads; load; load = load->next)
    if (strcmp (load->program_id, id) == 0)
      return true;
  return false;
}

/* Cancels all loads and fails the calls that wait for them, on shutdown.  */
void
load_cancel_all (struct programs *programs)
{
  while (programs->loads)
    {
      struct load *load = programs->loads;

      journal_remove_handlers (programs->server->journal, load);
      replication_drop_handlers (programs->server->replication, load);
      fail_waiting (load, ERROR_STOPPING, false, UNAVAILABLE_RETRY_MS,
                    "this host is shutting down; retry the call");
    }
}
