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
  DOWN_MS = 1000,  /* a platform that failed is left alone for so long */
  MAX_ROUNDS = 12, /* of one write or take against other writers */
  MAX_CHAIN = 16,  /* processes that held a program one after another */
  NAME_BYTES = 17,
  KEY_BYTES = 12,
};

static const char KIND[] = "journal";

enum op_kind
{
  OP_GRANT,
  OP_INTENT,
  OP_FORGET,
  OP_RETAKE, /* the program has come back to this process */
  OP_MOVE,   /* this process hands the program over */
};

/* A change that waits to be recorded.  Owned by the journal. */
struct op
{
  enum op_kind kind;
  char *program;
  struct budget_amount total;
  uint32_t branch;
  uint32_t turn;
  uint64_t process; /* that gets the program */
  journal_handler *handle;
  void *data;
  struct op *next;
};

/* A program that is being taken from the process that held it. */
struct take
{
  char *program;
  uint64_t process; /* the one that is being asked */
  uint32_t branch;
  uint32_t turn;
  uint32_t chain;
  struct journal_taken taken;
  journal_take_handler *handle;
  void *data;
  struct take *next;
};

/* All takes from one process, done with one conditional update. */
struct round
{
  struct journal *journal;
  uint64_t process;
  struct take *takes;
  json_t *document;
  struct round *next;
};

struct journal
{
  struct journal_options options;
  json_t *document; /* as last known to stand in the platform */
  uint64_t version;
  bool known; /* document and version are what stands there */
  json_t *writing;
  char nonce[NAME_BYTES];
  struct op *waiting;
  struct op *in_flight;
  bool busy;
  uint32_t tries;
  ev_timer window;
  struct deferred start_takes;
  int64_t down_until_ms;
  struct take *takes; /* not yet in a round */
  struct round *rounds;
  int64_t writes;
};

static void
process_name (uint64_t process, char out[NAME_BYTES])
{
  snprintf (out, NAME_BYTES, "%016" PRIx64, process);
}

static json_t *
empty_document (void)
{
  return json_pack ("{s:s, s:{}}", "nonce", "", "programs");
}

static json_t *
entry_of (json_t *document, const char *program, bool create)
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
  return json_object_get (entry_of (document, program, false), "moved")
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

/* A branch keeps its latest intent only: earlier turns are over.  */
static bool
has_intent (const json_t *entry, uint32_t branch, uint32_t turn)
{
  char key[KEY_BYTES];
  json_t *latest;

  snprintf (key, sizeof key, "%" PRIu32, branch);
  latest = json_object_get (json_object_get (entry, "turns"), key);
  return latest && json_integer_value (latest) >= (json_int_t)turn;
}

static void
apply (json_t *document, const struct op *op)
{
  char key[KEY_BYTES];
  char process[NAME_BYTES];
  json_t *entry;

  if (op->kind == OP_RETAKE)
    {
      json_object_del (entry_of (document, op->program, false), "moved");
      return;
    }
  if (op->kind == OP_FORGET)
    {
      /* A mark stays: whoever comes with an old cursor must find it.  */
      if (!is_moved (document, op->program))
        json_object_del (json_object_get (document, "programs"), op->program);
      return;
    }
  entry = entry_of (document, op->program, true);
  if (op->kind == OP_MOVE)
    {
      process_name (op->process, process);
      json_object_set_new (entry, "moved", json_string (process));
      return;
    }
  if (op->kind == OP_GRANT)
    {
      struct budget_amount total = read_grant (entry);

      raise_grant (&total, op->total);
      write_grant (entry, total);
      json_object_set_new (entry, "recorded", json_true ());
      return;
    }
  snprintf (key, sizeof key, "%" PRIu32, op->branch);
  json_object_set_new (json_object_get (entry, "turns"), key,
                       json_integer (op->turn));
}

static void
op_destroy (struct op *op)
{
  free (op->program);
  free (op);
}

static void
complete (struct op *list, enum journal_status status)
{
  while (list)
    {
      struct op *op = list;

      list = op->next;
      if (op->handle)
        op->handle (op->data, status);
      op_destroy (op);
    }
}

static void
append_op (struct op **list, struct op *op)
{
  while (*list)
    list = &(*list)->next;
  op->next = NULL;
  *list = op;
}

static void
fail_all (struct journal *journal)
{
  struct op *lost = journal->in_flight;

  journal->down_until_ms = clock_now_ms () + DOWN_MS;
  journal->in_flight = NULL;
  journal->busy = false;
  complete (lost, JOURNAL_UNAVAILABLE);
  lost = journal->waiting;
  journal->waiting = NULL;
  complete (lost, JOURNAL_UNAVAILABLE);
}

/* Moves what waits into the write; what concerns moved programs is refused. */
static void
gather (struct journal *journal)
{
  struct op *waiting = journal->waiting;
  struct op *refused = NULL;

  journal->waiting = NULL;
  while (waiting)
    {
      struct op *op = waiting;

      waiting = op->next;
      if (op->kind == OP_RETAKE)
        apply (journal->document, op);
      if (op->kind != OP_FORGET && is_moved (journal->document, op->program))
        append_op (&refused, op);
      else
        append_op (&journal->in_flight, op);
    }
  complete (refused, JOURNAL_MOVED);
}

static void
schedule_write (struct journal *journal, int64_t delay_ms)
{
  ev_timer_stop (journal->options.loop, &journal->window);
  ev_timer_set (&journal->window, (double)delay_ms / 1000.0, 0);
  ev_timer_start (journal->options.loop, &journal->window);
}

static void
adopt_document (struct journal *journal, json_t *document, uint64_t version)
{
  json_decref (journal->document);
  journal->document = document;
  journal->version = version;
  journal->known = true;
}

static void
finish_write (struct journal *journal, json_t *document, uint64_t version)
{
  struct op *done = journal->in_flight;

  adopt_document (journal, document, version);
  journal->in_flight = NULL;
  journal->busy = false;
  journal->tries = 0;
  complete (done, JOURNAL_RECORDED);
  if (journal->waiting && !journal->busy)
    schedule_write (journal, 0);
}

/* Tells of the marks that DOCUMENT has and BEFORE had not.  */
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

/* Another writer has set marks, or an answer was lost: go on from what stands
   there.  The nonce tells whether this process's last write took effect.  */
static void
handle_read (void *data, const struct platform_response *answer)
{
  struct journal *journal = data;
  json_t *document;
  const char *nonce;

  if (answer->status == PLATFORM_NOT_FOUND)
    adopt_document (journal, empty_document (), 0);
  else if (answer->status == PLATFORM_OK)
    {
      document = json_object_get (answer->body, "data");
      nonce = json_string_value (json_object_get (document, "nonce"));
      if (nonce && journal->writing && strcmp (nonce, journal->nonce) == 0)
        {
          json_decref (journal->writing);
          journal->writing = NULL;
          finish_write (journal, json_deep_copy (document), answer->version);
          return;
        }
      document = json_deep_copy (document);
      report_moved (journal, journal->document, document);
      adopt_document (journal, document, answer->version);
    }
  else
    {
      fail_all (journal);
      return;
    }
  json_decref (journal->writing);
  journal->writing = NULL;
  journal->busy = false;
  while (journal->in_flight)
    {
      struct op *op = journal->in_flight;

      journal->in_flight = op->next;
      append_op (&journal->waiting, op);
    }
  schedule_write (journal, 0);
}

static void
handle_written (void *data, const struct platform_response *answer)
{
  struct journal *journal = data;
  char name[NAME_BYTES];

  if (answer->status == PLATFORM_OK)
    {
      json_t *document = journal->writing;

      journal->writing = NULL;
      finish_write (journal, document, answer->version);
      return;
    }
  journal->known = false;
  if (answer->status == PLATFORM_NOT_SENT || ++journal->tries > MAX_ROUNDS)
    {
      journal->tries = 0;
      fail_all (journal);
      return;
    }
  process_name (journal->options.process, name);
  platform_get (journal->options.platform, KIND, name, handle_read, journal);
}

static void
put_document (struct journal *journal)
{
  char name[NAME_BYTES];
  struct op *op;

  journal->busy = true;
  journal->writing = json_deep_copy (journal->document);
  for (op = journal->in_flight; op; op = op->next)
    apply (journal->writing, op);
  process_name (id_random64 (), journal->nonce);
  json_object_set_new (journal->writing, "nonce",
                       json_string (journal->nonce));
  process_name (journal->options.process, name);
  journal->writes++;
  platform_put (journal->options.platform, KIND, name, journal->version,
                journal->writing, handle_written, journal);
}

static void
handle_window (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct journal *journal = timer->data;
  char name[NAME_BYTES];

  if (journal->busy || !journal->waiting)
    return;
  if (!journal->known)
    {
      journal->busy = true;
      process_name (journal->options.process, name);
      platform_get (journal->options.platform, KIND, name, handle_read,
                    journal);
      return;
    }
  gather (journal);
  if (journal->in_flight)
    put_document (journal);
}

static void
take_destroy (struct take *take)
{
  free (take->program);
  free (take);
}

static void
complete_take (struct take *take, enum journal_status status)
{
  take->taken.status = status;
  if (take->handle)
    take->handle (take->data, &take->taken);
  take_destroy (take);
}

static void
absorb (struct take *take, const json_t *entry)
{
  if (json_object_get (entry, "recorded"))
    take->taken.found = true;
  raise_grant (&take->taken.granted, read_grant (entry));
  if (has_intent (entry, take->branch, take->turn))
    take->taken.has_intent = true;
}

static void
queue_take (struct journal *journal, struct take *take)
{
  take->next = journal->takes;
  journal->takes = take;
  deferred_schedule (&journal->start_takes);
}

/* Follows the mark that another process has left.  */
static void
follow (struct journal *journal, struct take *take, const char *moved)
{
  take->process = strtoull (moved, NULL, 16);
  if (++take->chain > MAX_CHAIN)
    complete_take (take, JOURNAL_UNAVAILABLE);
  else
    queue_take (journal, take);
}

static void
round_destroy (struct round *round)
{
  struct round **slot = &round->journal->rounds;

  while (*slot != round)
    slot = &(*slot)->next;
  *slot = round->next;
  deferred_schedule (&round->journal->start_takes);
  json_decref (round->document);
  free (round);
}

/* Whether the platform failed a moment ago; records are refused meanwhile. */
bool
journal_is_down (const struct journal *journal)
{
  return clock_now_ms () < journal->down_until_ms;
}

static void
submit (struct journal *journal, struct op *op)
{
  if (journal_is_down (journal))
    {
      op->next = NULL;
      complete (op, JOURNAL_UNAVAILABLE);
      return;
    }
  append_op (&journal->waiting, op);
  if (!journal->busy && !ev_is_active (&journal->window))
    schedule_write (journal, journal->options.window_ms);
}

static struct op *
op_create (enum op_kind kind, const char *program, journal_handler *handle,
           void *data)
{
  struct op *op = xcalloc (1, sizeof *op);

  op->kind = kind;
  op->program = xstrdup (program);
  op->handle = handle;
  op->data = data;
  return op;
}

static void
finish_round (struct round *round, enum journal_status status)
{
  while (round->takes)
    {
      struct take *take = round->takes;

      round->takes = take->next;
      /* This process may have lost the program earlier, and its own journal
         may say so without its knowing yet.  */
      if (status == JOURNAL_RECORDED)
        submit (round->journal,
                op_create (OP_RETAKE, take->program, NULL, NULL));
      complete_take (take, status);
    }
  round_destroy (round);
}

/* A take whose round lost against another writer, or whose answer was lost,
   goes round again: what stands there then decides.  */
static void
handle_marked (void *data, const struct platform_response *answer)
{
  struct round *round = data;
  struct journal *journal = round->journal;

  if (answer->status == PLATFORM_OK)
    {
      finish_round (round, JOURNAL_RECORDED);
      return;
    }
  while (round->takes)
    {
      struct take *take = round->takes;

      round->takes = take->next;
      if (answer->status == PLATFORM_NOT_SENT || ++take->chain > MAX_CHAIN)
        complete_take (take, JOURNAL_UNAVAILABLE);
      else
        queue_take (journal, take);
    }
  round_destroy (round);
}

static bool
mark_takes (struct round *round)
{
  struct journal *journal = round->journal;
  struct take *takes = round->takes;
  char self[NAME_BYTES];
  bool own = round->process == journal->options.process;
  bool changed = false;

  process_name (journal->options.process, self);
  round->takes = NULL;
  while (takes)
    {
      struct take *take = takes;
      json_t *entry = entry_of (round->document, take->program, !own);
      const char *moved = json_string_value (json_object_get (entry, "moved"));

      takes = take->next;
      absorb (take, entry);
      if (moved && strcmp (moved, self) != 0)
        {
          follow (journal, take, moved);
          continue;
        }
      if (!own && !moved)
        {
          json_object_set_new (entry, "moved", json_string (self));
          changed = true;
        }
      if (!own && moved)
        {
          /* Marked before by this process, which may have recorded more in
             its own journal since.  */
          follow (journal, take, moved);
          continue;
        }
      take->next = round->takes;
      round->takes = take;
    }
  return changed;
}

static void
handle_round_read (void *data, const struct platform_response *answer)
{
  struct round *round = data;
  struct journal *journal = round->journal;
  char name[NAME_BYTES];
  uint64_t version = 0;

  if (answer->status == PLATFORM_OK)
    {
      round->document
          = json_deep_copy (json_object_get (answer->body, "data"));
      version = answer->version;
    }
  else if (answer->status == PLATFORM_NOT_FOUND)
    round->document = empty_document ();
  else
    {
      journal->down_until_ms = clock_now_ms () + DOWN_MS;
      finish_round (round, JOURNAL_UNAVAILABLE);
      return;
    }
  if (!mark_takes (round))
    {
      finish_round (round, JOURNAL_RECORDED);
      return;
    }
  process_name (round->process, name);
  platform_put (journal->options.platform, KIND, name, version,
                round->document, handle_marked, round);
}

static bool
round_is_open (const struct journal *journal, uint64_t process)
{
  for (const struct round *round = journal->rounds; round; round = round->next)
    if (round->process == process)
      return true;
  return false;
}

static void
start_round (struct journal *journal, uint64_t process)
{
  struct round *round = xcalloc (1, sizeof *round);
  struct take **slot = &journal->takes;
  char name[NAME_BYTES];

  round->journal = journal;
  round->process = process;
  round->next = journal->rounds;
  journal->rounds = round;
  while (*slot)
    {
      struct take *take = *slot;

      if (take->process != process)
        {
          slot = &take->next;
          continue;
        }
      *slot = take->next;
      take->next = round->takes;
      round->takes = take;
    }
  process_name (process, name);
  platform_get (journal->options.platform, KIND, name, handle_round_read,
                round);
}

static void
handle_start_takes (void *data)
{
  struct journal *journal = data;
  struct take *take = journal->takes;

  while (take)
    {
      if (round_is_open (journal, take->process))
        {
          take = take->next;
          continue;
        }
      start_round (journal, take->process);
      take = journal->takes;
    }
}

/* Creates the journal of this process.  Nothing stands in the platform until
   the first record.  */
struct journal *
journal_create (const struct journal_options *options)
{
  struct journal *journal = xcalloc (1, sizeof *journal);

  journal->options = *options;
  journal->document = empty_document ();
  journal->known = true;
  ev_timer_init (&journal->window, handle_window, 0, 0);
  journal->window.data = journal;
  deferred_init (&journal->start_takes, options->loop, handle_start_takes,
                 journal);
  return journal;
}

/* Records that TOTAL of PROGRAM's budget may be spent.  HANDLE may be called
   before this returns.  */
void
journal_grant (struct journal *journal, const char *program,
               struct budget_amount total, journal_handler *handle, void *data)
{
  struct op *op = op_create (OP_GRANT, program, handle, data);

  op->total = total;
  submit (journal, op);
}

/* Records that the call at BRANCH and TURN is about to be dispatched.  HANDLE
   may be called before this returns.  */
void
journal_intent (struct journal *journal, const char *program, uint32_t branch,
                uint32_t turn, journal_handler *handle, void *data)
{
  struct op *op = op_create (OP_INTENT, program, handle, data);

  op->branch = branch;
  op->turn = turn;
  submit (journal, op);
}

/* Records that PROGRAM belongs to PROCESS from here on: this process can
   record nothing more for it.  HANDLE may be called before this returns.  */
void
journal_hand_over (struct journal *journal, const char *program,
                   uint64_t process, journal_handler *handle, void *data)
{
  struct op *op = op_create (OP_MOVE, program, handle, data);

  op->process = process;
  submit (journal, op);
}

/* PROGRAM has been handed to this process, whose journal may still say that it
   went away earlier.  */
void
journal_accept (struct journal *journal, const char *program)
{
  submit (journal, op_create (OP_RETAKE, program, NULL, NULL));
}

/* Drops the record of a program that has ended.  */
void
journal_forget (struct journal *journal, const char *program)
{
  submit (journal, op_create (OP_FORGET, program, NULL, NULL));
}

/* Takes PROGRAM from PROCESS, and from whoever took it from there: none of
   them can record anything for it once HANDLE has been called with
   JOURNAL_RECORDED.  What they had recorded about BRANCH from TURN on, and of
   the budget, is in the result.  HANDLE is never called before this
   returns.  */
void
journal_take (struct journal *journal, uint64_t process, const char *program,
              uint32_t branch, uint32_t turn, journal_take_handler *handle,
              void *data)
{
  struct take *take = xcalloc (1, sizeof *take);

  take->program = xstrdup (program);
  take->process = process;
  take->branch = branch;
  take->turn = turn;
  take->handle = handle;
  take->data = data;
  queue_take (journal, take);
}

static void
cancel_ops (struct op *op, const void *data)
{
  for (; op; op = op->next)
    if (op->data == data)
      op->handle = NULL;
}

static void
cancel_takes (struct take *take, const void *data)
{
  for (; take; take = take->next)
    if (take->data == data)
      take->handle = NULL;
}

/* Forgets the handlers that were given with DATA; the records still happen. */
void
journal_cancel (struct journal *journal, void *data)
{
  cancel_ops (journal->waiting, data);
  cancel_ops (journal->in_flight, data);
  cancel_takes (journal->takes, data);
  for (struct round *round = journal->rounds; round; round = round->next)
    cancel_takes (round->takes, data);
}

static void
destroy_ops (struct op *op)
{
  while (op)
    {
      struct op *next = op->next;

      op_destroy (op);
      op = next;
    }
}

static void
destroy_takes (struct take *take)
{
  while (take)
    {
      struct take *next = take->next;

      take_destroy (take);
      take = next;
    }
}

/* Frees the journal without calling any handler.  The fetcher of its platform
   must have been destroyed before.  */
void
journal_destroy (struct journal *journal)
{
  if (!journal)
    return;
  ev_timer_stop (journal->options.loop, &journal->window);
  destroy_ops (journal->waiting);
  destroy_ops (journal->in_flight);
  destroy_takes (journal->takes);
  while (journal->rounds)
    {
      destroy_takes (journal->rounds->takes);
      round_destroy (journal->rounds);
    }
  deferred_release (&journal->start_takes);
  json_decref (journal->document);
  json_decref (journal->writing);
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
