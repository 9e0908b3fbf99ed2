#include "program/handover.h"
#include "caller/routes.h"
#include "common/counters.h"
#include "common/id.h"
#include "common/log.h"
#include "galenashored/server.h"
#include "program/load.h"
#include <stdlib.h>
#include <string.h>

/* A program whose handover is being written to the journal. */
struct handover
{
  struct programs *programs;
  char *id;
  char *host;
};

/* The host that a program was handed over to.  Requests that still arrive here
   are forwarded to it until the entry expires. */
struct forwarding_entry
{
  char *host;
  int64_t expires_ms;
};

/* A request for a program whose handover is being written to the journal. */
struct queued_request
{
  struct programs *programs;
  struct api_request *request;
  struct queued_request *next;
};

enum
{
  FORWARD_TTL_MS = 10000,
};

static void
forwarding_entry_destroy (void *pointer)
{
  struct forwarding_entry *entry = pointer;

  free (entry->host);
  free (entry);
}

static void
add_forwarding_entry (struct programs *programs, const char *id,
                      const char *host)
{
  struct forwarding_entry *entry = xcalloc (1, sizeof *entry);

  if (!programs->forwarding_entries)
    programs->forwarding_entries = g_hash_table_new_full (
        g_str_hash, g_str_equal, free, forwarding_entry_destroy);
  entry->host = xstrdup (host);
  entry->expires_ms = clock_now_ms () + FORWARD_TTL_MS;
  g_hash_table_replace (programs->forwarding_entries, xstrdup (id), entry);
}

/* Returns the host that a program was recently handed over to, or NULL.  */
const char *
handover_target (const struct programs *programs, const char *id)
{
  const struct forwarding_entry *entry
      = programs->forwarding_entries
            ? g_hash_table_lookup (programs->forwarding_entries, id)
            : NULL;

  return entry ? entry->host : NULL;
}

static gboolean
is_expired (gpointer id, gpointer entry, gpointer now_ms)
{
  return ((const struct forwarding_entry *)entry)->expires_ms
         < *(const int64_t *)now_ms;
}

/* Drops expired forwarding entries.  */
void
handover_tick (struct programs *programs, int64_t now_ms)
{
  if (programs->forwarding_entries)
    g_hash_table_foreach_remove (programs->forwarding_entries, is_expired,
                                 &now_ms);
}

static void
handle_queued_disconnect (struct api_request *request)
{
  struct queued_request *queued = request->user;
  struct queued_request **slot = &queued->programs->queued_requests;

  while (*slot && *slot != queued)
    slot = &(*slot)->next;
  if (*slot)
    *slot = queued->next;
  free (queued);
}

/* Queues REQUEST until its program has been handed over;
   handover_resume_requests then forwards it.  */
void
handover_queue_request (struct programs *programs, struct api_request *request)
{
  struct queued_request *queued = xcalloc (1, sizeof *queued);

  queued->programs = programs;
  queued->request = request;
  queued->next = programs->queued_requests;
  programs->queued_requests = queued;
  request->user = queued;
  request->handle_disconnect = handle_queued_disconnect;
}

/* Dispatches the queued requests again.  A request whose program is still
   being handed over is queued again.  */
void
handover_resume_requests (struct programs *programs)
{
  struct queued_request *queued = programs->queued_requests;

  programs->queued_requests = NULL;
  while (queued)
    {
      struct queued_request *next = queued->next;
      struct api_request *request = queued->request;

      free (queued);
      request->user = NULL;
      request->handle_disconnect = NULL;
      routes_dispatch (request);
      queued = next;
    }
}

/* Frees the forwarding entries and the queue.  */
void
handover_release (struct programs *programs)
{
  if (programs->forwarding_entries)
    g_hash_table_destroy (programs->forwarding_entries);
  while (programs->queued_requests)
    handle_queued_disconnect (programs->queued_requests->request);
}

static char *
string_or_empty (const char *value)
{
  return (char *)(uintptr_t)(value ? value : "");
}

/* Fills in STATE, which refers to BRANCH's data.  */
static void
pack_branch (Peer__BranchState *state, const struct program_branch *branch)
{
  peer__branch_state__init (state);
  state->branch = branch->number;
  state->next_turn = branch->state.next_turn;
  state->history_hash = branch->state.history_hash;
  state->parent_hash = branch->parent_hash;
  state->messages.data = (uint8_t *)branch->messages.data;
  state->messages.len = branch->messages.len;
  state->has_last = branch->state.has_last;
  state->last_doubtful = branch->state.last_doubtful;
  state->last_request = branch->state.last_request;
  state->last_history_hash = branch->state.last_history_hash;
  state->last_answer.data = (uint8_t *)branch->last_answer.text.data;
  state->last_answer.len = branch->last_answer.text.len;
  state->last_status = branch->last_answer.status;
  state->last_content_type
      = string_or_empty (branch->last_answer.content_type);
  state->last_token_ends = branch->last_answer.token_ends;
  state->n_last_token_ends = branch->last_answer.token_count;
  state->last_error_kind = branch->last_answer.error.kind;
  state->last_error_run = branch->last_answer.error.run;
  state->last_error_message
      = string_or_empty (branch->last_answer.error.message);
}

static uint32_t
count_branches (const struct program *program)
{
  uint32_t count = 0;

  for (const struct program_branch *b = program->branches; b; b = b->next)
    count++;
  return count;
}

static bool
send_program (const struct program *program, const char *host)
{
  struct server *server = program->programs->server;
  uint32_t count = count_branches (program);
  Peer__BranchState *states = xcalloc (count + 1, sizeof *states);
  Peer__BranchState **list = xcalloc (count + 1, sizeof *list);
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__ProgramHandover message = PEER__PROGRAM_HANDOVER__INIT;
  uint32_t i = 0;
  bool sent;

  for (const struct program_branch *b = program->branches; b; b = b->next, i++)
    {
      pack_branch (&states[i], b);
      list[i] = &states[i];
    }
  message.program = program->id;
  message.customer = program->customer;
  message.incarnation = program->incarnation;
  message.granted_tokens = program->budget.granted.tokens;
  message.granted_calls = program->budget.granted.calls;
  message.granted_cost_micros = program->budget.granted.cost_micros;
  message.spent_tokens = program->budget.spent.tokens;
  message.spent_calls = program->budget.spent.calls;
  message.spent_cost_micros = program->budget.spent.cost_micros;
  message.attained_tokens = program->attained_tokens;
  message.n_branches = count;
  message.branches = list;
  frame.body_case = PEER__FRAME__BODY_PROGRAM_HANDOVER;
  frame.program_handover = &message;
  sent = mesh_send (server->mesh, host, &frame);
  free (states);
  free (list);
  return sent;
}

/* Once the journal names the other process as the owner, this process must not
   use the program any more, so it is unloaded even if the handover frame is
   lost.  The new owner then loads it from its replicas.  */
static void
handle_handover_journaled (void *data, enum journal_status status)
{
  struct handover *handover = data;
  struct program *program = program_find (handover->programs, handover->id);

  if (program && status == JOURNAL_RECORDED)
    {
      send_program (program, handover->host);
      add_forwarding_entry (handover->programs, handover->id, handover->host);
      program_destroy (program);
    }
  else if (program)
    program->handing_over = false;
  free (handover->id);
  free (handover->host);
  free (handover);
}

/* Starts handing PROGRAM over to its next owner, unless this host stays the
   owner or the journal is unavailable.  */
static void
start_handover (struct program *program)
{
  struct server *server = program->programs->server;
  const struct config_host *owner = server_find_owner (server, program->id);
  struct handover *handover;

  if (!owner || server_is_self (server, owner)
      || journal_is_down (server->journal))
    return;
  program->handing_over = true;
  handover = xcalloc (1, sizeof *handover);
  handover->programs = program->programs;
  handover->id = xstrdup (program->id);
  handover->host = xstrdup (owner->name);
  journal_hand_over (server->journal, program->id, owner->process,
                     handle_handover_journaled, handover);
}

/* Starts handing over every program without calls in flight.  Must be
   called again for the others, once their calls have finished.  */
void
handover_start_all (struct programs *programs)
{
  GList *all = g_hash_table_get_values (programs->by_id);

  for (GList *at = all; at; at = at->next)
    {
      struct program *program = at->data;

      if (program->calls_in_flight == 0 && !program->handing_over
          && !program->opening)
        start_handover (program);
    }
  g_list_free (all);
}

/* Whether all programs have been handed over or unloaded.  */
bool
handover_is_complete (const struct programs *programs)
{
  return g_hash_table_size (programs->by_id) == 0;
}

/* Adds a branch received from the previous owner.  */
static void
restore_branch (struct program *program, const Peer__BranchState *state)
{
  struct program_branch *branch = program_add_branch (program, state->branch);
  uint32_t start = 0;

  branch->state.next_turn = state->next_turn;
  branch->state.history_hash = state->history_hash;
  branch->state.has_last = state->has_last;
  branch->state.last_doubtful = state->last_doubtful;
  branch->state.last_request = state->last_request;
  branch->state.last_history_hash = state->last_history_hash;
  branch->parent_hash = state->parent_hash;
  buf_append (&branch->messages, state->messages.data, state->messages.len);
  branch->last_answer.status = state->last_status;
  branch->last_answer.content_type = xstrdup (state->last_content_type);
  for (size_t i = 0; i < state->n_last_token_ends; i++)
    {
      uint32_t end = state->last_token_ends[i];

      if (end < start || end > state->last_answer.len)
        break;
      answer_append_token (&branch->last_answer,
                           (const char *)state->last_answer.data + start,
                           end - start);
      start = end;
    }
  buf_append (&branch->last_answer.text, state->last_answer.data + start,
              state->last_answer.len - start);
  if (state->last_error_kind < ERROR_KIND_COUNT
      && state->last_error_run <= RUN_RAN)
    error_set (&branch->last_answer.error,
               (enum error_kind)state->last_error_kind,
               (enum run_state)state->last_error_run, "%s",
               state->last_error_message);
}

/* Loads a program handed over by its previous owner, unless it has been loaded
   here in the meantime.  */
void
handover_receive (struct programs *programs,
                  const Peer__ProgramHandover *handover)
{
  const struct config_customer *customer
      = config_find_customer (programs->server->config, handover->customer);
  struct program *program;

  if (!customer || program_find (programs, handover->program)
      || load_in_progress (programs, handover->program))
    return;
  if (programs->forwarding_entries)
    g_hash_table_remove (programs->forwarding_entries, handover->program);
  program = program_create (programs, handover->program, customer);
  program->incarnation = handover->incarnation;
  program->attained_tokens = handover->attained_tokens;
  budget_grant (&program->budget,
                (struct budget_amount){ handover->granted_tokens,
                                        handover->granted_calls,
                                        handover->granted_cost_micros });
  program->budget.spent
      = (struct budget_amount){ handover->spent_tokens, handover->spent_calls,
                                handover->spent_cost_micros };
  for (size_t i = 0; i < handover->n_branches; i++)
    restore_branch (program, handover->branches[i]);
  journal_accept_handover (programs->server->journal, handover->program);
  counter_add (COUNTER_TAKEOVERS, 1);
  log_write (LOG_DEBUG, "handover",
             &(struct log_ids){ .program = program->id,
                                .customer = program->customer },
             "program received from its stopping owner");
}
