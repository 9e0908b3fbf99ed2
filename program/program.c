#include "program/program.h"
#include "common/counters.h"
#include "common/id.h"
#include "common/log.h"
#include "endpoint/holds.h"
#include "galenashored/server.h"
#include "program/call.h"
#include "program/handover.h"
#include "program/load.h"
#include "program/replication.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MS_PER_S = 1000,
  IDLE_CHECK_MS = 2000,
  INITIAL_TOKEN_CAPACITY = 16,
};

/* Appends the text of one token to ANSWER.  */
void
answer_append_token (struct answer *answer, const char *text, size_t len)
{
  buf_append (&answer->text, text, len);
  if (answer->token_count == answer->token_capacity)
    {
      answer->token_capacity = answer->token_capacity
                                   ? 2 * answer->token_capacity
                                   : INITIAL_TOKEN_CAPACITY;
      answer->token_ends
          = xrealloc (answer->token_ends,
                      answer->token_capacity * sizeof *answer->token_ends);
    }
  answer->token_ends[answer->token_count++] = (uint32_t)answer->text.len;
}

/* Frees the contents of ANSWER and resets it.  */
void
answer_release (struct answer *answer)
{
  free (answer->content_type);
  free (answer->token_ends);
  buf_release (&answer->text);
  *answer = (struct answer){ 0 };
}

static void
branch_destroy (struct program_branch *branch)
{
  buf_release (&branch->messages);
  answer_release (&branch->last_answer);
  free (branch);
}

static void
free_program (void *pointer)
{
  struct program *program = pointer;

  while (program->branches)
    {
      struct program_branch *branch = program->branches;

      program->branches = branch->next;
      branch_destroy (branch);
    }
  holds_delete (program->programs->server->holds, program->id);
  free (program->last_engine);
  free (program->id);
  free (program->customer);
  free (program);
}

/* Creates an empty program table.  */
struct programs *
programs_create (struct server *server)
{
  struct programs *programs = xcalloc (1, sizeof *programs);

  programs->server = server;
  programs->by_id
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_program);
  return programs;
}

/* Frees the table and its programs.  Calls that wait for a load are failed;
   calls in flight get no answer.  */
void
programs_destroy (struct programs *programs)
{
  if (!programs)
    return;
  load_cancel_all (programs);
  handover_release (programs);
  g_hash_table_destroy (programs->by_id);
  free (programs);
}

/* Returns the loaded program ID, or NULL.  */
struct program *
program_find (struct programs *programs, const char *id)
{
  return g_hash_table_lookup (programs->by_id, id);
}

/* Whether program ID is loaded and not being handed over.  */
bool
program_is_active (struct programs *programs, const char *id)
{
  const struct program *program = program_find (programs, id);

  return program && !program->handing_over;
}

/* Adds a program with a new incarnation and no branches.  */
struct program *
program_create (struct programs *programs, const char *id,
                const struct config_customer *customer)
{
  struct program *program = xcalloc (1, sizeof *program);
  struct budget_amount limit
      = { .tokens = customer->params.budget_tokens,
          .calls = customer->params.budget_calls,
          .cost_micros = customer->params.budget_cost_micros };

  program->programs = programs;
  program->id = xstrdup (id);
  program->hash = id_hash_text (id);
  program->customer = xstrdup (customer->name);
  program->customer_hash = id_hash_text (customer->name);
  program->incarnation = id_random64 ();
  program->idle_timeout_ms = customer->params.program_idle_s * MS_PER_S;
  program->opened_ms = clock_now_ms ();
  program->last_used_ms = program->opened_ms;
  budget_init (&program->budget, limit);
  g_hash_table_insert (programs->by_id, program->id, program);
  return program;
}

/* Unloads a program; it can be loaded again from its replicas.  It must have
   no call in flight.  */
void
program_destroy (struct program *program)
{
  g_hash_table_remove (program->programs->by_id, program->id);
}

/* Closes a program permanently, cancelling its calls in flight first.  */
void
program_close (struct program *program, const char *reason)
{
  struct server *server = program->programs->server;
  History__Record record = HISTORY__RECORD__INIT;
  History__Close close = HISTORY__CLOSE__INIT;

  if (program->closing)
    return;
  program->closing = true;
  for (struct program_branch *b = program->branches; b; b = b->next)
    if (b->call)
      call_abort (b->call, ERROR_CANCELLED,
                  "the program has been closed; open a new one");
  close.reason = (char *)(uintptr_t)reason;
  record.body_case = HISTORY__RECORD__BODY_CLOSE;
  record.close = &close;
  replication_append (server->replication, program->id, &record, NULL, NULL);
  journal_remove_program (server->journal, program->id);
  counter_add (COUNTER_PROGRAMS_CLOSED, 1);
  log_write (LOG_DEBUG, "program", &(struct log_ids){ .program = program->id },
             "program closed: %s", reason);
  program_destroy (program);
}

/* Returns branch NUMBER, or NULL if it is not loaded.  */
struct program_branch *
program_find_branch (struct program *program, uint32_t number)
{
  for (struct program_branch *b = program->branches; b; b = b->next)
    if (b->number == number)
      return b;
  return NULL;
}

/* Adds an empty branch at turn 0.  */
struct program_branch *
program_add_branch (struct program *program, uint32_t number)
{
  struct program_branch *branch = xcalloc (1, sizeof *branch);

  branch->number = number;
  branch->state.history_hash = history_branch_seed (number, 0);
  branch->next = program->branches;
  program->branches = branch;
  return branch;
}

/* Encrypts the cursor for the branch's next call into OUT.  */
bool
program_seal_cursor (const struct program *program,
                     const struct program_branch *branch,
                     char out[CURSOR_TEXT_BYTES])
{
  const struct server *server = program->programs->server;
  struct cursor cursor
      = { .program = program->hash,
          .customer = program->customer_hash,
          .branch = branch->number,
          .turn = branch->state.next_turn,
          .incarnation = program->incarnation,
          .process = server->process,
          .history_hash = branch->state.history_hash,
          .spent_tokens = (uint64_t)program->budget.spent.tokens,
          .journaled
          = program->grants_journaled && !journal_is_down (server->journal) };

  return cursor_seal (&server->settings->keyring, &cursor, out);
}

/* Generates a random program id, prefixed with this data centre as the
   program's home.  */
void
program_make_id (const struct server *server, char out[PROGRAM_ID_BYTES])
{
  char random[ID_TEXT_BYTES];

  id_random_text (random);
  snprintf (out, PROGRAM_ID_BYTES, "%s.%s", server->settings->data_centre,
            random);
}

/* Extracts the home data centre from a program id.  Returns false if the id
   has none or it does not fit OUT.  */
bool
program_home_dc (const char *id, char *out, size_t size)
{
  const char *dot = strrchr (id, '.');

  if (!dot || dot == id || (size_t)(dot - id) >= size)
    return false;
  memcpy (out, id, (size_t)(dot - id));
  out[dot - id] = '\0';
  return true;
}

/* Closes programs that have been unused for longer than their idle timeout. */
void
programs_close_idle (struct programs *programs, int64_t now_ms)
{
  GList *all = g_hash_table_get_values (programs->by_id);

  for (GList *at = all; at; at = at->next)
    {
      struct program *program = at->data;

      if (program->calls_in_flight == 0
          && now_ms - program->last_used_ms > program->idle_timeout_ms)
        program_close (program, "idle");
    }
  g_list_free (all);
}

/* Unloads a program that another process has taken over, failing its calls. */
void
programs_handle_moved (struct programs *programs, const char *id)
{
  struct program *program = program_find (programs, id);

  if (!program)
    return;
  for (struct program_branch *b = program->branches; b; b = b->next)
    if (b->call)
      call_abort (b->call, ERROR_PEER,
                  "another host has taken over the program; retry the call "
                  "with the same cursor");
  program_destroy (program);
}

/* Whether no calls are in flight and no program is being loaded.  */
bool
programs_are_idle (const struct programs *programs)
{
  return programs->calls_in_flight == 0 && !programs->loads;
}

static json_t *
amount_to_json (struct budget_amount amount)
{
  return json_pack ("{s:I, s:I, s:I}", "tokens", (json_int_t)amount.tokens,
                    "calls", (json_int_t)amount.calls, "cost_micros",
                    (json_int_t)amount.cost_micros);
}

/* Returns a program's state without its messages, as a new reference.  */
json_t *
program_to_json (const struct program *program)
{
  json_t *branches = json_array ();

  for (const struct program_branch *b = program->branches; b; b = b->next)
    json_array_append_new (
        branches,
        json_pack ("{s:i, s:i, s:b, s:I}", "branch", (int)b->number, "turn",
                   (int)b->state.next_turn, "in_flight", b->call != NULL,
                   "history_bytes", (json_int_t)b->messages.len));
  return json_pack ("{s:s, s:s, s:o, s:o, s:o, s:o, s:I, s:I}", "program",
                    program->id, "customer", program->customer, "limit",
                    amount_to_json (program->budget.limit), "granted",
                    amount_to_json (program->budget.granted), "spent",
                    amount_to_json (program->budget.spent), "branches",
                    branches, "attained_tokens",
                    (json_int_t)program->attained_tokens, "idle_ms",
                    (json_int_t)(clock_now_ms () - program->last_used_ms));
}

/* Returns program and call counts, and with WITH_EACH the state of every
   program, as a new reference.  */
json_t *
programs_to_json (struct programs *programs, bool include_programs)
{
  json_t *root = json_pack (
      "{s:I, s:I}", "held", (json_int_t)g_hash_table_size (programs->by_id),
      "calls_in_flight", (json_int_t)programs->calls_in_flight);
  json_t *list;
  GHashTableIter iter;
  void *program;

  if (!include_programs)
    return root;
  list = json_array ();
  g_hash_table_iter_init (&iter, programs->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &program))
    json_array_append_new (list, program_to_json (program));
  json_object_set_new (root, "programs", list);
  return root;
}
