#include "journal/journal.h"
#include "common/deferred.h"
#include "common/id.h"
#include "common/log.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* After a platform failure, operations fail immediately for this time. */
  PLATFORM_DOWN_MS = 1000,
  MAX_FAILED_WRITES = 12,  /* in a row, as other processes may write, too */
  MAX_TAKEOVER_STEPS = 16, /* marks followed and retries */
  PROCESS_NAME_BYTES = 17,
  BRANCH_KEY_BYTES = 12,
};

static const char KIND[] = "journal";

enum operation_kind
{
  OP_GRANT,
  OP_INTENT,
  OP_REMOVE,    /* the program has ended */
  OP_RECLAIM,   /* the program has returned to this process */
  OP_HAND_OVER, /* this process hands the program over to another one */
};

/* A change to be recorded.  Owned by the journal. */
struct operation
{
  enum operation_kind kind;
  char *program;
  struct budget_amount total; /* of OP_GRANT */
  uint32_t branch;            /* of OP_INTENT */
  uint32_t turn;              /* of OP_INTENT */
  uint64_t process;           /* new holder, of OP_HAND_OVER */
  journal_handler *handler;
  void *data;
  struct operation *next;
};

/* A takeover of a program from the process that held it. */
struct takeover
{
  char *program;
  uint64_t process; /* whose journal is read and marked next */
  uint32_t branch;
  uint32_t turn;
  uint32_t steps;
  struct journal_takeover result;
  journal_takeover_handler *handler;
  void *data;
  struct takeover *next;
};

/* All takeovers from one process, done with one conditional update. */
struct takeover_round
{
  struct journal *journal;
  uint64_t process;
  struct takeover *takeovers;
  json_t *document;
  struct takeover_round *next;
};

struct journal
{
  struct journal_options options;
  json_t *document;   /* last known content in the platform */
  uint64_t version;   /* of that content */
  bool is_up_to_date; /* document and version are expected to be up to date */
  json_t *document_in_flight; /* being written; NULL if none */
  /* Of the last write; identifies it when the journal is read again. */
  char nonce[PROCESS_NAME_BYTES];
  struct operation *operations_waiting;   /* for the next write */
  struct operation *operations_in_flight; /* in the current write */
  bool is_busy;                           /* a read or write is in progress */
  uint32_t failed_writes;
  ev_timer batch_timer;
  struct deferred start_takeovers;
  int64_t down_until_ms;
  struct takeover *takeovers; /* not assigned to a round yet */
  struct takeover_round *rounds;
  int64_t writes;
};

static void
format_process (uint64_t process, char out[PROCESS_NAME_BYTES])
{
  snprintf (out, PROCESS_NAME_BYTES, "%016" PRIx64, process);
}

static json_t *
empty_document (void)
{
  return json_pack ("{s:s, s:{}}", "nonce", "", "programs");
}

/* Returns the entry of PROGRAM.  If there is none, creates it if CREATE is
   set, or else returns NULL.  */
static json_t *
find_entry (json_t *document, const char *program, bool create)
{
  json_t *programs = json_object_get (document, "programs");
  json_t *entry = json_object_get (programs, program);

  if (entry || !create)
    return entry;
  entry = json_pack ("{s:[i, i, i], s:{}}", "grant", 0, 0, 0, "turns");
  json_object_set_new (programs, program, entry);
  return entry;
}

static bool
is_moved (json_t *document, const char *program)
{
  return json_object_get (find_entry (document, program, false), "moved")
         != NULL;
}

static struct budget_amount
read_grant (const json_t *entry)
{
  const json_t *grant = json_object_get (entry, "grant");

  return (struct budget_amount){
    json_integer_value (json_array_get (grant, 0)),
    json_integer_value (json_array_get (grant, 1)),
    json_integer_value (json_array_get (grant, 2)),
  };
}

static void
write_grant (json_t *entry, struct budget_amount total)
{
  json_object_set_new (entry, "grant",
                       json_pack ("[I, I, I]", (json_int_t)total.tokens,
                                  (json_int_t)total.calls,
                                  (json_int_t)total.cost_micros));
}

/* Raises each amount of GRANTED to that of OTHER if it is lower.  */
static void
raise_grant (struct budget_amount *granted, struct budget_amount other)
{
  if (other.tokens > granted->tokens)
    granted->tokens = other.tokens;
  if (other.calls > granted->calls)
    granted->calls = other.calls;
  if (other.cost_micros > granted->cost_micros)
    granted->cost_micros = other.cost_micros;
}

/* Whether an intent for BRANCH at TURN or later is recorded.  Only the latest
   one of each branch is stored, as earlier turns have ended.  */
static bool
has_intent (const json_t *entry, uint32_t branch, uint32_t turn)
{
  char key[BRANCH_KEY_BYTES];
  json_t *latest;

  snprintf (key, sizeof key, "%" PRIu32, branch);
  latest = json_object_get (json_object_get (entry, "turns"), key);
  return latest && json_integer_value (latest) >= (json_int_t)turn;
}

static void
apply_operation (json_t *document, const struct operation *operation)
{
  char key[BRANCH_KEY_BYTES];
  char process[PROCESS_NAME_BYTES];
  json_t *entry;

  if (operation->kind == OP_RECLAIM)
    {
      json_object_del (find_entry (document, operation->program, false),
                       "moved");
      return;
    }
  if (operation->kind == OP_REMOVE)
    {
      /* A mark is kept so that a process that receives an old cursor finds
         the new holder.  */
      if (!is_moved (document, operation->program))
        json_object_del (json_object_get (document, "programs"),
                         operation->program);
      return;
    }
  entry = find_entry (document, operation->program, true);
  if (operation->kind == OP_HAND_OVER)
    {
      format_process (operation->process, process);
      json_object_set_new (entry, "moved", json_string (process));
      return;
    }
  if (operation->kind == OP_GRANT)
    {
      struct budget_amount total = read_grant (entry);

      raise_grant (&total, operation->total);
      write_grant (entry, total);
      json_object_set_new (entry, "recorded", json_true ());
      return;
    }
  snprintf (key, sizeof key, "%" PRIu32, operation->branch);
  json_object_set_new (json_object_get (entry, "turns"), key,
                       json_integer (operation->turn));
}

static void
operation_destroy (struct operation *operation)
{
  free (operation->program);
  free (operation);
}

static void
complete_operations (struct operation *list, enum journal_status status)
{
  while (list)
    {
      struct operation *operation = list;

      list = operation->next;
      if (operation->handler)
        operation->handler (operation->data, status);
      operation_destroy (operation);
    }
}

static void
append_operation (struct operation **list, struct operation *operation)
{
  while (*list)
    list = &(*list)->next;
  operation->next = NULL;
  *list = operation;
}

/* Handles a failure of the platform: all operations fail, as do new ones for
   PLATFORM_DOWN_MS.  */
static void
fail_operations (struct journal *journal)
{
  struct operation *failed = journal->operations_in_flight;

  journal->down_until_ms = clock_now_ms () + PLATFORM_DOWN_MS;
  journal->operations_in_flight = NULL;
  journal->is_busy = false;
  complete_operations (failed, JOURNAL_UNAVAILABLE);
  failed = journal->operations_waiting;
  journal->operations_waiting = NULL;
  complete_operations (failed, JOURNAL_UNAVAILABLE);
}

/* Moves waiting operations into the next write.  Those on programs that have
   moved to other processes fail, except removals.  */
static void
collect_waiting (struct journal *journal)
{
  struct operation *waiting = journal->operations_waiting;
  struct operation *refused = NULL;

  journal->operations_waiting = NULL;
  while (waiting)
    {
      struct operation *operation = waiting;

      waiting = operation->next;
      if (operation->kind == OP_RECLAIM)
        apply_operation (journal->document, operation);
      if (operation->kind != OP_REMOVE
          && is_moved (journal->document, operation->program))
        append_operation (&refused, operation);
      else
        append_operation (&journal->operations_in_flight, operation);
    }
  complete_operations (refused, JOURNAL_MOVED);
}

static void
schedule_write (struct journal *journal, int64_t delay_ms)
{
  ev_timer_stop (journal->options.loop, &journal->batch_timer);
  ev_timer_set (&journal->batch_timer, (double)delay_ms / 1000.0, 0);
  ev_timer_start (journal->options.loop, &journal->batch_timer);
}

static void
set_document (struct journal *journal, json_t *document, uint64_t version)
{
  json_decref (journal->document);
  journal->document = document;
  journal->version = version;
  journal->is_up_to_date = true;
}

static void
finish_write (struct journal *journal, json_t *document, uint64_t version)
{
  struct operation *done = journal->operations_in_flight;

  set_document (journal, document, version);
  journal->operations_in_flight = NULL;
  journal->is_busy = false;
  journal->failed_writes = 0;
  complete_operations (done, JOURNAL_RECORDED);
  if (journal->operations_waiting && !journal->is_busy)
    schedule_write (journal, 0);
}

/* Reports the programs that are marked as moved in DOCUMENT but not in BEFORE.
 */
static void
report_moved (struct journal *journal, json_t *before, json_t *document)
{
  const char *program;
  json_t *entry;
  void *position;

  json_object_foreach_safe (json_object_get (document, "programs"), position,
                            program, entry)
  {
    if (json_object_get (entry, "moved") && !is_moved (before, program))
      journal->options.handle_moved (journal->options.data, program);
  }
}

/* Handles the document that was read again after a failed write.  Either
   another process has set marks, or the response was lost; the nonce shows
   whether this process's last write took effect.  */
static void
handle_read (void *data, const struct platform_response *response)
{
  struct journal *journal = data;
  json_t *document;
  const char *nonce;

  if (response->status == PLATFORM_NOT_FOUND)
    set_document (journal, empty_document (), 0);
  else if (response->status == PLATFORM_OK)
    {
      document = json_object_get (response->body, "data");
      nonce = json_string_value (json_object_get (document, "nonce"));
      if (nonce && journal->document_in_flight
          && strcmp (nonce, journal->nonce) == 0)
        {
          json_decref (journal->document_in_flight);
          journal->document_in_flight = NULL;
          finish_write (journal, json_deep_copy (document), response->version);
          return;
        }
      document = json_deep_copy (document);
      report_moved (journal, journal->document, document);
      set_document (journal, document, response->version);
    }
  else
    {
      fail_operations (journal);
      return;
    }
  json_decref (journal->document_in_flight);
  journal->document_in_flight = NULL;
  journal->is_busy = false;
  while (journal->operations_in_flight)
    {
      struct operation *operation = journal->operations_in_flight;

      journal->operations_in_flight = operation->next;
      append_operation (&journal->operations_waiting, operation);
    }
  schedule_write (journal, 0);
}

static void
handle_written (void *data, const struct platform_response *response)
{
  struct journal *journal = data;
  char name[PROCESS_NAME_BYTES];

  if (response->status == PLATFORM_OK)
    {
      json_t *document = journal->document_in_flight;

      journal->document_in_flight = NULL;
      finish_write (journal, document, response->version);
      return;
    }
  journal->is_up_to_date = false;
  if (response->status == PLATFORM_NOT_SENT
      || ++journal->failed_writes > MAX_FAILED_WRITES)
    {
      journal->failed_writes = 0;
      fail_operations (journal);
      return;
    }
  format_process (journal->options.process, name);
  platform_get (journal->options.platform, KIND, name, handle_read, journal);
}

static void
put_document (struct journal *journal)
{
  char name[PROCESS_NAME_BYTES];
  struct operation *operation;

  journal->is_busy = true;
  journal->document_in_flight = json_deep_copy (journal->document);
  for (operation = journal->operations_in_flight; operation;
       operation = operation->next)
    apply_operation (journal->document_in_flight, operation);
  format_process (id_random64 (), journal->nonce);
  json_object_set_new (journal->document_in_flight, "nonce",
                       json_string (journal->nonce));
  format_process (journal->options.process, name);
  journal->writes++;
  platform_put (journal->options.platform, KIND, name, journal->version,
                journal->document_in_flight, handle_written, journal);
}

static void
handle_batch_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct journal *journal = timer->data;
  char name[PROCESS_NAME_BYTES];

  if (journal->is_busy || !journal->operations_waiting)
    return;
  if (!journal->is_up_to_date)
    {
      journal->is_busy = true;
      format_process (journal->options.process, name);
      platform_get (journal->options.platform, KIND, name, handle_read,
                    journal);
      return;
    }
  collect_waiting (journal);
  if (journal->operations_in_flight)
    put_document (journal);
}

static void
takeover_destroy (struct takeover *takeover)
{
  free (takeover->program);
  free (takeover);
}

static void
complete_takeover (struct takeover *takeover, enum journal_status status)
{
  takeover->result.status = status;
  if (takeover->handler)
    takeover->handler (takeover->data, &takeover->result);
  takeover_destroy (takeover);
}

/* Adds what one journal has recorded about the program to the result.  */
static void
merge_entry (struct takeover *takeover, const json_t *entry)
{
  if (json_object_get (entry, "recorded"))
    takeover->result.found = true;
  raise_grant (&takeover->result.granted, read_grant (entry));
  if (has_intent (entry, takeover->branch, takeover->turn))
    takeover->result.has_intent = true;
}

static void
queue_takeover (struct journal *journal, struct takeover *takeover)
{
  takeover->next = journal->takeovers;
  journal->takeovers = takeover;
  deferred_schedule (&journal->start_takeovers);
}

/* Continues a takeover at the process that a mark refers to.  */
static void
follow_mark (struct journal *journal, struct takeover *takeover,
             const char *moved)
{
  takeover->process = strtoull (moved, NULL, 16);
  if (++takeover->steps > MAX_TAKEOVER_STEPS)
    complete_takeover (takeover, JOURNAL_UNAVAILABLE);
  else
    queue_takeover (journal, takeover);
}

static void
takeover_round_destroy (struct takeover_round *round)
{
  struct takeover_round **link = &round->journal->rounds;

  while (*link != round)
    link = &(*link)->next;
  *link = round->next;
  deferred_schedule (&round->journal->start_takeovers);
  json_decref (round->document);
  free (round);
}

/* Whether the platform failed recently, so that operations fail immediately.
 */
bool
journal_is_down (const struct journal *journal)
{
  return clock_now_ms () < journal->down_until_ms;
}

static void
submit_operation (struct journal *journal, struct operation *operation)
{
  if (journal_is_down (journal))
    {
      operation->next = NULL;
      complete_operations (operation, JOURNAL_UNAVAILABLE);
      return;
    }
  append_operation (&journal->operations_waiting, operation);
  if (!journal->is_busy && !ev_is_active (&journal->batch_timer))
    schedule_write (journal, journal->options.batch_delay_ms);
}

static struct operation *
operation_create (enum operation_kind kind, const char *program,
                  journal_handler *handler, void *data)
{
  struct operation *operation = xcalloc (1, sizeof *operation);

  operation->kind = kind;
  operation->program = xstrdup (program);
  operation->handler = handler;
  operation->data = data;
  return operation;
}

static void
finish_round (struct takeover_round *round, enum journal_status status)
{
  while (round->takeovers)
    {
      struct takeover *takeover = round->takeovers;

      round->takeovers = takeover->next;
      /* The program may have been taken from this process earlier, in which
         case its own journal has a mark that it may not have read yet.  */
      if (status == JOURNAL_RECORDED)
        submit_operation (
            round->journal,
            operation_create (OP_RECLAIM, takeover->program, NULL, NULL));
      complete_takeover (takeover, status);
    }
  takeover_round_destroy (round);
}

/* Handles the result of marking a journal.  On a conflict or a lost response,
   the takeovers are retried from the journal's new content.  */
static void
handle_mark_written (void *data, const struct platform_response *response)
{
  struct takeover_round *round = data;
  struct journal *journal = round->journal;

  if (response->status == PLATFORM_OK)
    {
      finish_round (round, JOURNAL_RECORDED);
      return;
    }
  while (round->takeovers)
    {
      struct takeover *takeover = round->takeovers;

      round->takeovers = takeover->next;
      if (response->status == PLATFORM_NOT_SENT
          || ++takeover->steps > MAX_TAKEOVER_STEPS)
        complete_takeover (takeover, JOURNAL_UNAVAILABLE);
      else
        queue_takeover (journal, takeover);
    }
  takeover_round_destroy (round);
}

/* Marks the round's programs as moved to this process, unless the journal that
   was read is its own.  Takeovers of programs that had moved before leave the
   round and follow the mark.  Returns whether the document must be written. */
static bool
mark_takeovers (struct takeover_round *round)
{
  struct journal *journal = round->journal;
  struct takeover *takeovers = round->takeovers;
  char self[PROCESS_NAME_BYTES];
  bool is_own_journal = round->process == journal->options.process;
  bool changed = false;

  format_process (journal->options.process, self);
  round->takeovers = NULL;
  while (takeovers)
    {
      struct takeover *takeover = takeovers;
      json_t *entry
          = find_entry (round->document, takeover->program, !is_own_journal);
      const char *moved = json_string_value (json_object_get (entry, "moved"));

      takeovers = takeover->next;
      merge_entry (takeover, entry);
      if (moved && strcmp (moved, self) != 0)
        {
          follow_mark (journal, takeover, moved);
          continue;
        }
      if (!is_own_journal && !moved)
        {
          json_object_set_new (entry, "moved", json_string (self));
          changed = true;
        }
      if (!is_own_journal && moved)
        {
          /* This process has set the mark before, and may have recorded more
             in its own journal since.  */
          follow_mark (journal, takeover, moved);
          continue;
        }
      takeover->next = round->takeovers;
      round->takeovers = takeover;
    }
  return changed;
}

static void
handle_round_read (void *data, const struct platform_response *response)
{
  struct takeover_round *round = data;
  struct journal *journal = round->journal;
  char name[PROCESS_NAME_BYTES];
  uint64_t version = 0;

  if (response->status == PLATFORM_OK)
    {
      round->document
          = json_deep_copy (json_object_get (response->body, "data"));
      version = response->version;
    }
  else if (response->status == PLATFORM_NOT_FOUND)
    round->document = empty_document ();
  else
    {
      journal->down_until_ms = clock_now_ms () + PLATFORM_DOWN_MS;
      finish_round (round, JOURNAL_UNAVAILABLE);
      return;
    }
  if (!mark_takeovers (round))
    {
      finish_round (round, JOURNAL_RECORDED);
      return;
    }
  format_process (round->process, name);
  platform_put (journal->options.platform, KIND, name, version,
                round->document, handle_mark_written, round);
}

static bool
has_round (const struct journal *journal, uint64_t process)
{
  for (const struct takeover_round *round = journal->rounds; round;
       round = round->next)
    if (round->process == process)
      return true;
  return false;
}

/* Starts a round with all waiting takeovers from PROCESS.  */
static void
start_round (struct journal *journal, uint64_t process)
{
  struct takeover_round *round = xcalloc (1, sizeof *round);
  struct takeover **link = &journal->takeovers;
  char name[PROCESS_NAME_BYTES];

  round->journal = journal;
  round->process = process;
  round->next = journal->rounds;
  journal->rounds = round;
  while (*link)
    {
      struct takeover *takeover = *link;

      if (takeover->process != process)
        {
          link = &takeover->next;
          continue;
        }
      *link = takeover->next;
      takeover->next = round->takeovers;
      round->takeovers = takeover;
    }
  format_process (process, name);
  platform_get (journal->options.platform, KIND, name, handle_round_read,
                round);
}

static void
handle_start_takeovers (void *data)
{
  struct journal *journal = data;
  struct takeover *takeover = journal->takeovers;

  while (takeover)
    {
      if (has_round (journal, takeover->process))
        {
          takeover = takeover->next;
          continue;
        }
      start_round (journal, takeover->process);
      takeover = journal->takeovers;
    }
}

/* Creates the journal of this process.  Nothing is written to the platform
   until the first operation.  */
struct journal *
journal_create (const struct journal_options *options)
{
  struct journal *journal = xcalloc (1, sizeof *journal);

  journal->options = *options;
  journal->document = empty_document ();
  journal->is_up_to_date = true;
  ev_timer_init (&journal->batch_timer, handle_batch_timer, 0, 0);
  journal->batch_timer.data = journal;
  deferred_init (&journal->start_takeovers, options->loop,
                 handle_start_takeovers, journal);
  return journal;
}

/* Records that up to TOTAL of PROGRAM's budget may be spent.  HANDLER may be
   called before this returns.  */
void
journal_record_grant (struct journal *journal, const char *program,
                      struct budget_amount total, journal_handler *handler,
                      void *data)
{
  struct operation *operation
      = operation_create (OP_GRANT, program, handler, data);

  operation->total = total;
  submit_operation (journal, operation);
}

/* Records that the call at BRANCH and TURN is about to be dispatched.  HANDLER
   may be called before this returns.  */
void
journal_record_intent (struct journal *journal, const char *program,
                       uint32_t branch, uint32_t turn,
                       journal_handler *handler, void *data)
{
  struct operation *operation
      = operation_create (OP_INTENT, program, handler, data);

  operation->branch = branch;
  operation->turn = turn;
  submit_operation (journal, operation);
}

/* Records that PROGRAM is handed over to PROCESS; this process can record
   nothing more for it.  HANDLER may be called before this returns.  */
void
journal_hand_over (struct journal *journal, const char *program,
                   uint64_t process, journal_handler *handler, void *data)
{
  struct operation *operation
      = operation_create (OP_HAND_OVER, program, handler, data);

  operation->process = process;
  submit_operation (journal, operation);
}

/* Records that PROGRAM has been handed over to this process, by removing the
   mark that an earlier move away from it may have left.  */
void
journal_accept_handover (struct journal *journal, const char *program)
{
  submit_operation (journal,
                    operation_create (OP_RECLAIM, program, NULL, NULL));
}

/* Removes everything recorded about a program that has ended, except the mark
   of its move.  */
void
journal_remove_program (struct journal *journal, const char *program)
{
  submit_operation (journal,
                    operation_create (OP_REMOVE, program, NULL, NULL));
}

/* Takes PROGRAM over from PROCESS and from every process that has taken it
   over since.  Once HANDLER is called with JOURNAL_RECORDED, none of them can
   record anything for it.  The result holds the budget grants they had
   recorded, and whether they had recorded an intent for BRANCH at TURN or
   later.  HANDLER is never called before this returns.  */
void
journal_take_over (struct journal *journal, uint64_t process,
                   const char *program, uint32_t branch, uint32_t turn,
                   journal_takeover_handler *handler, void *data)
{
  struct takeover *takeover = xcalloc (1, sizeof *takeover);

  takeover->program = xstrdup (program);
  takeover->process = process;
  takeover->branch = branch;
  takeover->turn = turn;
  takeover->handler = handler;
  takeover->data = data;
  queue_takeover (journal, takeover);
}

static void
cancel_operations (struct operation *operation, const void *data)
{
  for (; operation; operation = operation->next)
    if (operation->data == data)
      operation->handler = NULL;
}

static void
cancel_takeovers (struct takeover *takeover, const void *data)
{
  for (; takeover; takeover = takeover->next)
    if (takeover->data == data)
      takeover->handler = NULL;
}

/* Removes all handlers registered with DATA, so that they are never called.
   Their operations still complete.  */
void
journal_remove_handlers (struct journal *journal, void *data)
{
  cancel_operations (journal->operations_waiting, data);
  cancel_operations (journal->operations_in_flight, data);
  cancel_takeovers (journal->takeovers, data);
  for (struct takeover_round *round = journal->rounds; round;
       round = round->next)
    cancel_takeovers (round->takeovers, data);
}

static void
destroy_operations (struct operation *operation)
{
  while (operation)
    {
      struct operation *next = operation->next;

      operation_destroy (operation);
      operation = next;
    }
}

static void
destroy_takeovers (struct takeover *takeover)
{
  while (takeover)
    {
      struct takeover *next = takeover->next;

      takeover_destroy (takeover);
      takeover = next;
    }
}

/* Frees the journal without calling any handler.  The fetcher of its platform
   client must be destroyed first.  */
void
journal_destroy (struct journal *journal)
{
  if (!journal)
    return;
  ev_timer_stop (journal->options.loop, &journal->batch_timer);
  destroy_operations (journal->operations_waiting);
  destroy_operations (journal->operations_in_flight);
  destroy_takeovers (journal->takeovers);
  while (journal->rounds)
    {
      destroy_takeovers (journal->rounds->takeovers);
      takeover_round_destroy (journal->rounds);
    }
  deferred_cancel (&journal->start_takeovers);
  json_decref (journal->document);
  json_decref (journal->document_in_flight);
  free (journal);
}

/* Returns the journal's state as a new reference.  */
json_t *
journal_to_json (const struct journal *journal)
{
  return json_pack ("{s:I, s:I, s:I, s:b}", "version",
                    (json_int_t)journal->version, "writes",
                    (json_int_t)journal->writes, "programs",
                    (json_int_t)json_object_size (
                        json_object_get (journal->document, "programs")),
                    "down", journal_is_down (journal));
}
