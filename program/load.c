#include "program/load.h"
#include "common/counters.h"
#include "common/id.h"
#include "common/log.h"
#include "galenashored/server.h"
#include "program/copies.h"
#include <stdlib.h>
#include <string.h>

enum
{
  UNKNOWN_RETRY_MS = 1000,
};

/* A program on its way into memory, and the calls that wait for it.  Owned by
   the programs. */
struct load
{
  struct programs *programs;
  char *program_id;
  struct call *waiting; /* list through next, oldest last */
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

static void
refuse_waiting (struct load *load, enum error_kind kind, bool proven,
                uint32_t retry_after_ms, const char *message)
{
  struct error error;

  while (load->waiting)
    {
      struct call *call = load->waiting;

      load->waiting = call->next;
      error_set (&error, kind,
                 proven || call->spec.idempotent ? RUN_NOT_RUN
                                                 : RUN_MAY_HAVE_RUN,
                 "%s", message);
      error.retry_after_ms = retry_after_ms;
      call_refuse (call, &error);
    }
  load_destroy (load);
}

static void
restore_answer (struct answer *answer, const History__Turn *last)
{
  if (last->doubtful)
    {
      error_set (&answer->error, ERROR_OUTCOME_UNKNOWN, RUN_MAY_HAVE_RUN,
                 "an earlier host closed this call without a known outcome; "
                 "look whether it ran, then go on with the new cursor");
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

/* Brings the branch of CALL's cursor in.  False where no whole copy of it was
   found.  */
static bool
restore_branch (struct program *program, const struct history *history,
                const struct call *call)
{
  struct branch state;
  struct buf messages = { 0 };
  const History__Turn *last = NULL;
  struct program_branch *branch;

  if (!history_find_branch (history, &call->cursor, call->request_hash, &state,
                            &messages, &last))
    {
      buf_release (&messages);
      return false;
    }
  branch = program_add_branch (program, call->cursor.branch);
  branch->state = state;
  branch->messages = messages;
  if (last)
    restore_answer (&branch->last, last);
  return true;
}

static void
continue_waiting (struct load *load)
{
  struct call *waiting = load->waiting;

  load->waiting = NULL;
  load_destroy (load);
  while (waiting)
    {
      struct call *call = waiting;

      waiting = call->next;
      call->next = NULL;
      call_continue_loaded (call);
    }
}

static void
restore_branches (struct load *load, struct program *program)
{
  for (struct call *call = load->waiting; call; call = call->next)
    if (!program_branch (program, call->cursor.branch))
      restore_branch (program, &load->history, call);
}

static void
restore (struct load *load, const struct journal_takeover *taken)
{
  struct programs *programs = load->programs;
  struct call *first = load->waiting;
  const struct config_customer *customer
      = config_customer (programs->server->config, first->customer);
  struct program *program
      = customer ? program_create (programs, load->program_id, customer)
                 : NULL;

  if (!program)
    {
      refuse_waiting (load, ERROR_FORBIDDEN, false, 0,
                      "the customer does not exist any more; ask the "
                      "operator");
      return;
    }
  program->recorded = taken->found;
  budget_adopt (&program->budget,
                taken->found ? taken->granted : program->budget.limit);
  restore_branches (load, program);
  counter_add (COUNTER_TAKEOVERS, 1);
  log_write (LOG_INFO, "load",
             &(struct log_ids){ .program = load->program_id,
                                .customer = first->customer },
             "loaded from copies");
  continue_waiting (load);
}

static void
handle_taken (void *data, const struct journal_takeover *taken)
{
  struct load *load = data;

  if (taken->status != JOURNAL_RECORDED)
    refuse_waiting (load, ERROR_PLATFORM, false, UNKNOWN_RETRY_MS,
                    "the platform is out, so the program cannot be taken "
                    "over; send the call again later with the same cursor");
  else
    restore (load, taken);
}

static bool
belongs_to (const struct load *load, const History__Open *open)
{
  return strcmp (open->program, load->program_id) == 0
         && strcmp (open->customer, load->waiting->customer) == 0;
}

static void
handle_fetched (void *data, struct history *history, bool complete)
{
  struct load *load = data;
  const History__Open *open = history_open (history);
  struct program *program;

  if (!open)
    {
      refuse_waiting (load,
                      complete ? ERROR_NOT_FOUND : ERROR_HISTORY_UNAVAILABLE,
                      false, complete ? 0 : UNKNOWN_RETRY_MS,
                      complete ? "there is no such program; open one first"
                               : "no copy of the program can be reached; "
                                 "send the call again later");
      return;
    }
  if (!belongs_to (load, open))
    {
      refuse_waiting (load, ERROR_NOT_FOUND, true, 0,
                      "there is no such program; open one first");
      return;
    }
  if (history_is_closed (history))
    {
      refuse_waiting (load, ERROR_CANCELLED, true, 0,
                      "the program has ended; open another");
      return;
    }
  load->history = *history;
  *history = (struct history){ 0 };
  program = program_find (load->programs, load->program_id);
  if (program)
    {
      /* Held already: only the branch was missing.  */
      restore_branches (load, program);
      continue_waiting (load);
      return;
    }
  journal_take_over (load->programs->server->journal,
                     load->waiting->cursor.process, load->program_id,
                     load->waiting->cursor.branch, load->waiting->cursor.turn,
                     handle_taken, load);
}

/* Loads CALL's program and then continues the call; it waits in the load.  */
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
                 "the program is not in memory here; send its newest cursor "
                 "as X-Galena-Cursor");
      call_refuse (call, &error);
      return;
    }
  load = xcalloc (1, sizeof *load);
  load->programs = programs;
  load->program_id = xstrdup (call->program_id);
  load->waiting = call;
  load->next = programs->loads;
  programs->loads = load;
  copies_fetch (call->server->copies, load->program_id, handle_fetched, load);
}

/* Whether a program is being loaded.  */
bool
load_is_under_way (const struct programs *programs, const char *id)
{
  for (const struct load *load = programs->loads; load; load = load->next)
    if (strcmp (load->program_id, id) == 0)
      return true;
  return false;
}

/* Refuses every call that waits for a load, when the process stops.  */
void
load_drop_all (struct programs *programs)
{
  while (programs->loads)
    {
      struct load *load = programs->loads;

      journal_cancel (programs->server->journal, load);
      copies_cancel (programs->server->copies, load);
      refuse_waiting (load, ERROR_STOPPING, false, UNKNOWN_RETRY_MS,
                      "this host is stopping; send the call again");
    }
}
