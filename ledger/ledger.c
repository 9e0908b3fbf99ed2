#include "ledger/ledger.h"
#include "common/buf.h"
#include "common/deferred.h"
#include "common/id.h"
#include "ledger/item.h"
#include "ledger/keeper_set.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* A keeper in another data centre syncs and answers within a few
     milliseconds. A longer timeout would delay turns by more than a slow
     keeper's answer is worth. */
  ANSWER_TIMEOUT_MS = 150,
  SETTLE_INTERVAL_MS = 100, /* settlements are batched for this long */
  /* A keeper counts as silent once a request to it has been unanswered for
     longer than this. */
  SILENT_MS = 250,
  RELAYS_PER_REQUEST = 2, /* hosts through which a request is relayed */
  /* Answers to a relayed request that arrive later are not passed on. */
  RELAY_EXPIRY_MS = 2000,
  EXPIRE_INTERVAL_MS = 5000, /* between scans for unused programs */
};

/* What this host knows about the charges to a program.  Owned by the ledger.
 */
struct program_state
{
  struct ledger *ledger;
  uint64_t program;
  struct charges charges;
  /* What this host has charged since it created this entry. The source is new
     for each entry, because keepers may hold an older one with a later
     version.  */
  struct charge own_charge;
  uint32_t turns; /* in progress on this host */
  int64_t last_used_ms;
  bool has_unsent_settlement; /* the keepers have an older version of own */
};

/* The reservation of a turn's tokens.  Exists from ledger_reserve until
   ledger_settle.  */
struct ledger_reservation
{
  struct program_state *state;
  uint64_t id;
  int64_t budget;
  int64_t tokens;
  uint64_t *answered_keepers; /* hashes of the keepers that answered */
  uint32_t answer_count;
  bool is_relayed;
  bool is_behind;   /* a keeper that answered may lack charges
                       that other keepers hold */
  bool is_unsynced; /* one has not read the others since it started */
  ev_timer timer;
  ledger_verdict_handler *handle; /* NULL once it has been called */
  void *data;
};

/* What this host knows about a keeper. */
struct keeper_view
{
  int64_t unanswered_since_ms; /* oldest unanswered request; 0 for none */
  GPtrArray *batch;            /* Peer__LedgerItem, in the frame being built */
};

/* A request that this host relayed for another one. */
struct relayed_request
{
  uint64_t id;
  char *host;
  int64_t relayed_ms;
};

struct ledger
{
  struct ledger_options options;
  struct keeper_set set;
  struct keeper_view *keepers; /* by index in the set */
  struct strings relays;       /* entry hosts that can relay requests */
  size_t next_relay;           /* relays are used in rotation */
  GHashTable *relayed;         /* reservation id -> struct relayed_request */
  GHashTable *programs;        /* hash of program id -> struct program_state */
  /* Reservations without a verdict: id -> struct ledger_reservation. */
  GHashTable *reservations;
  GArray *pending_items; /* Peer__LedgerItem, to send in the next frame */
  struct deferred send;
  GPtrArray *unsent_programs; /* with has_unsent_settlement */
  int64_t last_settle_ms;     /* when settlements were last sent */
  int64_t last_expiry_ms;     /* when unused programs were last scanned for */
};

static void
program_state_destroy (gpointer data)
{
  struct program_state *state = data;

  charges_release (&state->charges);
  free (state);
}

static struct program_state *
find_or_create_program (struct ledger *ledger, uint64_t program)
{
  struct program_state *state
      = g_hash_table_lookup (ledger->programs, &program);

  if (state)
    return state;
  state = xcalloc (1, sizeof *state);
  state->ledger = ledger;
  state->program = program;
  state->own_charge.source = id_random64 ();
  g_hash_table_insert (ledger->programs, &state->program, state);
  return state;
}

/* Adds AMOUNT, which may be negative, to what this host has charged.  */
static void
add_own_charge (struct program_state *state, int64_t amount)
{
  state->own_charge.tokens += amount;
  state->own_charge.version++;
  charges_merge (&state->charges, &state->own_charge);
}

static Peer__LedgerItem
make_item (const struct program_state *state, uint64_t id)
{
  Peer__LedgerItem item;

  ledger_item_set (&item, state->program, &state->own_charge);
  item.id = id;
  return item;
}

static bool
is_silent (const struct keeper_view *keeper, int64_t now_ms)
{
  return keeper->unanswered_since_ms
         && now_ms - keeper->unanswered_since_ms > SILENT_MS;
}

/* Returns how many of the keepers do not respond to this host.  */
static uint32_t
count_silent (const struct ledger *ledger,
              const struct keeper_replicas *replicas)
{
  int64_t now_ms = clock_now_ms ();
  uint32_t count = 0;

  for (uint32_t i = 0; i < replicas->count; i++)
    count += is_silent (&ledger->keepers[replicas->keepers[i]], now_ms);
  return count;
}

/* Returns whether a request must also be relayed, because fewer keepers than a
   majority respond to this host.  */
static bool
needs_relay (const struct ledger *ledger,
             const struct keeper_replicas *replicas)
{
  return replicas->count > 0
         && replicas->count - count_silent (ledger, replicas)
                < charges_quorum (replicas->count);
}

/* Sends a keeper the items of its batch.  Only items with an id are answered.
 */
static void
send_batch (struct ledger *ledger, uint32_t index, int64_t now_ms)
{
  struct keeper_view *keeper = &ledger->keepers[index];
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LedgerWrite write = PEER__LEDGER_WRITE__INIT;
  bool expects_answer = false;

  for (guint i = 0; i < keeper->batch->len; i++)
    expects_answer
        = expects_answer
          || ((const Peer__LedgerItem *)keeper->batch->pdata[i])->id != 0;
  write.items = (Peer__LedgerItem **)keeper->batch->pdata;
  write.n_items = keeper->batch->len;
  frame.body_case = PEER__FRAME__BODY_LEDGER_WRITE;
  frame.ledger_write = &write;
  mesh_send (ledger->options.mesh, ledger->set.names[index], &frame);
  if (expects_answer && !keeper->unanswered_since_ms)
    keeper->unanswered_since_ms = now_ms;
  g_ptr_array_set_size (keeper->batch, 0);
}

/* Sends each item in LIST to the keepers of its program, in one frame a
   keeper.  Moves the items that must also be relayed to the front of LIST and
   returns their number.  */
static size_t
send_to_keepers (struct ledger *ledger, Peer__LedgerItem **list, size_t count)
{
  int64_t now_ms = clock_now_ms ();
  size_t relayed = 0;

  for (size_t i = 0; i < count; i++)
    {
      struct keeper_replicas replicas
          = keeper_set_replicas (&ledger->set, list[i]->program);

      for (uint32_t k = 0; k < replicas.count; k++)
        g_ptr_array_add (ledger->keepers[replicas.keepers[k]].batch, list[i]);
      if (needs_relay (ledger, &replicas))
        {
          Peer__LedgerItem *item = list[i];

          list[i] = list[relayed];
          list[relayed++] = item;
        }
    }
  for (uint32_t i = 0; i < ledger->set.count; i++)
    if (ledger->keepers[i].batch->len > 0)
      send_batch (ledger, i, now_ms);
  return relayed;
}

static void
send_to_relays (struct ledger *ledger, Peer__LedgerItem **list, size_t count)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LedgerRelay relay = PEER__LEDGER_RELAY__INIT;
  uint32_t sent = 0;

  relay.items = list;
  relay.n_items = count;
  frame.body_case = PEER__FRAME__BODY_LEDGER_RELAY;
  frame.ledger_relay = &relay;
  for (size_t i = 0; i < ledger->relays.count && sent < RELAYS_PER_REQUEST;
       i++)
    {
      const char *host
          = ledger->relays.items[ledger->next_relay++ % ledger->relays.count];

      if (!mesh_is_suspect (ledger->options.mesh, host)
          && mesh_send (ledger->options.mesh, host, &frame))
        sent++;
    }
}

static void
send_items (struct ledger *ledger, Peer__LedgerItem *items, size_t count)
{
  Peer__LedgerItem **list;
  size_t relayed;

  if (count == 0)
    return;
  list = ledger_items_list (items, count);
  relayed = send_to_keepers (ledger, list, count);
  if (relayed > 0)
    send_to_relays (ledger, list, relayed);
  free (list);
}

/* Sends all reservations of one event loop iteration in one frame per keeper.
 */
static void
handle_send (void *data)
{
  struct ledger *ledger = data;

  send_items (ledger, (Peer__LedgerItem *)(void *)ledger->pending_items->data,
              ledger->pending_items->len);
  g_array_set_size (ledger->pending_items, 0);
}

/* Stops waiting for answers.  The reservation itself stays charged.  */
static void
cancel_request (struct ledger_reservation *reservation)
{
  struct ledger *ledger = reservation->state->ledger;

  ev_timer_stop (ledger->options.loop, &reservation->timer);
  g_hash_table_remove (ledger->reservations, &reservation->id);
}

static void
report_verdict (struct ledger_reservation *reservation,
                enum charges_verdict verdict)
{
  ledger_verdict_handler *handle = reservation->handle;

  cancel_request (reservation);
  reservation->handle = NULL;
  if (handle)
    handle (reservation->data, verdict,
            charges_total (&reservation->state->charges));
}

static bool
has_answered (const struct ledger_reservation *reservation, uint64_t keeper)
{
  for (uint32_t i = 0; i < reservation->answer_count; i++)
    if (reservation->answered_keepers[i] == keeper)
      return true;
  return false;
}

/* Returns how many of the program's present keepers have answered: the list
   may have changed since the reservation was made.  */
static uint32_t
count_answers (const struct ledger_reservation *reservation,
               const struct keeper_replicas *replicas)
{
  const struct keeper_set *set = &reservation->state->ledger->set;
  uint32_t count = 0;

  for (uint32_t i = 0; i < replicas->count; i++)
    count += has_answered (reservation, set->hosts[replicas->keepers[i]].hash);
  return count;
}

static enum charges_verdict
decide (const struct ledger_reservation *reservation)
{
  struct keeper_replicas replicas = keeper_set_replicas (
      &reservation->state->ledger->set, reservation->state->program);
  uint32_t answers = count_answers (reservation, &replicas);

  return charges_decide (&(struct charges_question){
      .total = charges_total (&reservation->state->charges),
      .budget = reservation->budget,
      .answers = answers,
      .keepers = replicas.count,
      .has_missing_answers
      = reservation->is_behind || answers < replicas.count,
      .is_unsynced = reservation->is_unsynced });
}

/* Handles the timeout of a reservation.  The first time, sends the request
   again through relays if the answers do not suffice; otherwise decides with
   the answers received.  */
static void
handle_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct ledger_reservation *reservation = timer->data;
  struct ledger *ledger = reservation->state->ledger;

  if (!reservation->is_relayed && decide (reservation) == CHARGES_UNDECIDED
      && ledger->relays.count > 0)
    {
      Peer__LedgerItem item = make_item (reservation->state, reservation->id);
      Peer__LedgerItem *only = &item;

      reservation->is_relayed = true;
      send_to_relays (ledger, &only, 1);
      ev_timer_set (timer, (double)ANSWER_TIMEOUT_MS / 1000.0, 0);
      ev_timer_start (loop, timer);
      return;
    }
  report_verdict (reservation, decide (reservation));
}

static void
relayed_request_destroy (gpointer data)
{
  struct relayed_request *relayed = data;

  free (relayed->host);
  free (relayed);
}

/* Creates a ledger with no keepers; see ledger_set_keepers.  */
struct ledger *
ledger_create (const struct ledger_options *options)
{
  struct ledger *ledger = xcalloc (1, sizeof *ledger);

  ledger->options = *options;
  ledger->programs = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                            program_state_destroy);
  ledger->reservations = g_hash_table_new (g_int64_hash, g_int64_equal);
  ledger->relayed = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                           relayed_request_destroy);
  ledger->unsent_programs = g_ptr_array_new ();
  ledger->pending_items
      = g_array_new (FALSE, FALSE, sizeof (Peer__LedgerItem));
  deferred_init (&ledger->send, options->loop, handle_send, ledger);
  return ledger;
}

static void
release_keepers (struct ledger *ledger)
{
  for (uint32_t i = 0; i < ledger->set.count; i++)
    g_ptr_array_free (ledger->keepers[i].batch, TRUE);
  free (ledger->keepers);
  keeper_set_release (&ledger->set);
}

/* Frees the ledger.  Every reservation must have been settled.  */
void
ledger_destroy (struct ledger *ledger)
{
  if (!ledger)
    return;
  deferred_cancel (&ledger->send);
  release_keepers (ledger);
  strings_release (&ledger->relays);
  g_hash_table_destroy (ledger->relayed);
  g_hash_table_destroy (ledger->reservations);
  g_hash_table_destroy (ledger->programs);
  g_ptr_array_free (ledger->unsent_programs, TRUE);
  g_array_free (ledger->pending_items, TRUE);
  free (ledger);
}

/* Sets the keepers, to which all later requests are sent.  */
void
ledger_set_keepers (struct ledger *ledger,
                    const struct host_location *locations, size_t count)
{
  struct keeper_set set = { 0 };
  struct keeper_view *keepers = xcalloc (count + 1, sizeof *keepers);

  keeper_set_assign (&set, locations, count, ledger->options.losses);
  for (uint32_t i = 0; i < set.count; i++)
    {
      int32_t known = keeper_set_find (&ledger->set, set.names[i]);

      keepers[i].batch = g_ptr_array_new ();
      if (known >= 0)
        keepers[i].unanswered_since_ms
            = ledger->keepers[known].unanswered_since_ms;
    }
  release_keepers (ledger);
  ledger->set = set;
  ledger->keepers = keepers;
}

/* Sets the entry hosts that relay requests when this host cannot reach enough
   keepers.  */
void
ledger_set_relays (struct ledger *ledger, const struct strings *names)
{
  strings_copy (&ledger->relays, names);
}

/* Returns whether this host knows of a turn of PROGRAM that has run on any
   host or is in progress on this one.  */
bool
ledger_has_turns (const struct ledger *ledger, uint64_t program)
{
  const struct program_state *state
      = g_hash_table_lookup (ledger->programs, &program);

  return state && (state->turns > 0 || charges_total (&state->charges) > 0);
}

/* Reserves TOKENS for a turn of PROGRAM, the hash of a program id, of which
   all turns together may use BUDGET tokens.  HANDLE is called once, never from
   within this call; it is not called if the reservation is settled first.
   Whatever the verdict, the tokens stay charged and the reservation valid
   until ledger_settle.  */
struct ledger_reservation *
ledger_reserve (struct ledger *ledger, uint64_t program, int64_t budget,
                int64_t tokens, ledger_verdict_handler *handle, void *data)
{
  struct ledger_reservation *reservation = xcalloc (1, sizeof *reservation);
  Peer__LedgerItem item;

  reservation->state = find_or_create_program (ledger, program);
  reservation->state->turns++;
  reservation->state->last_used_ms = clock_now_ms ();
  reservation->id = id_random64 ();
  reservation->budget = budget;
  reservation->tokens = tokens;
  reservation->handle = handle;
  reservation->data = data;
  add_own_charge (reservation->state, tokens);
  item = make_item (reservation->state, reservation->id);
  g_array_append_val (ledger->pending_items, item);
  g_hash_table_insert (ledger->reservations, &reservation->id, reservation);
  deferred_schedule (&ledger->send);
  ev_timer_init (&reservation->timer, handle_timeout,
                 (double)ANSWER_TIMEOUT_MS / 1000.0, 0);
  reservation->timer.data = reservation;
  ev_timer_start (ledger->options.loop, &reservation->timer);
  return reservation;
}

/* Returns the id that the keepers' answers to this reservation carry.  */
uint64_t
ledger_reservation_id (const struct ledger_reservation *reservation)
{
  return reservation->id;
}

/* Frees the reservation and reduces its charge to USED tokens; 0 if the turn
   did not run.  The keepers learn of it from a later ledger_tick.  Does
   nothing for NULL.  */
void
ledger_settle (struct ledger_reservation *reservation, int64_t used)
{
  struct program_state *state;

  if (!reservation)
    return;
  state = reservation->state;
  reservation->handle = NULL;
  cancel_request (reservation);
  state->turns--;
  state->last_used_ms = clock_now_ms ();
  if (used != reservation->tokens)
    {
      add_own_charge (state, used - reservation->tokens);
      if (!state->has_unsent_settlement)
        g_ptr_array_add (state->ledger->unsent_programs, state);
      state->has_unsent_settlement = true;
    }
  free (reservation->answered_keepers);
  free (reservation);
}

/* Records the answer of KEEPER, a hash of its name.  Returns false if it has
   answered before.  */
static bool
record_answer (struct ledger_reservation *reservation, uint64_t keeper)
{
  if (has_answered (reservation, keeper))
    return false;
  reservation->answered_keepers = xrealloc (
      reservation->answered_keepers,
      (reservation->answer_count + 1) * sizeof *reservation->answered_keepers);
  reservation->answered_keepers[reservation->answer_count++] = keeper;
  return true;
}

/* Passes KEEPER's answer on to the host whose request was relayed.  */
static void
forward_answer (struct ledger *ledger, const struct relayed_request *relayed,
                const char *keeper, const Peer__LedgerAnswer *answer)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LedgerAnswers answers = PEER__LEDGER_ANSWERS__INIT;
  Peer__LedgerAnswer copy = *answer;
  Peer__LedgerAnswer *only = &copy;

  copy.keeper = (char *)(uintptr_t)keeper;
  answers.answers = &only;
  answers.n_answers = 1;
  frame.body_case = PEER__FRAME__BODY_LEDGER_ANSWERS;
  frame.ledger_answers = &answers;
  mesh_send (ledger->options.mesh, relayed->host, &frame);
}

static void
handle_answer (struct ledger *ledger, const char *host,
               const Peer__LedgerAnswer *answer)
{
  uint64_t id = answer->id;
  struct ledger_reservation *reservation
      = g_hash_table_lookup (ledger->reservations, &id);
  const struct relayed_request *relayed
      = g_hash_table_lookup (ledger->relayed, &id);
  const char *name = answer->keeper && *answer->keeper ? answer->keeper : host;
  int32_t keeper = keeper_set_find (&ledger->set, name);
  struct keeper_replicas replicas;
  uint32_t answers;
  bool is_last; /* every keeper has answered or is silent */
  enum charges_verdict verdict;

  if (keeper < 0)
    return;
  if (name == host)
    ledger->keepers[keeper].unanswered_since_ms = 0;
  if (relayed && name == host)
    forward_answer (ledger, relayed, host, answer);
  if (!reservation)
    return;
  for (size_t i = 0; i < answer->n_entries; i++)
    {
      struct charge entry = ledger_item_charge (answer->entries[i]);

      charges_merge (&reservation->state->charges, &entry);
    }
  reservation->is_behind = reservation->is_behind || answer->behind;
  reservation->is_unsynced = reservation->is_unsynced || answer->unsynced;
  if (!record_answer (reservation, ledger->set.hosts[keeper].hash))
    return;
  replicas = keeper_set_replicas (&ledger->set, reservation->state->program);
  answers = count_answers (reservation, &replicas);
  is_last = answers + count_silent (ledger, &replicas) >= replicas.count;
  if (!is_last && answers < charges_quorum (replicas.count))
    return;
  verdict = decide (reservation);
  if (verdict != CHARGES_UNDECIDED)
    report_verdict (reservation, verdict);
}

/* Sends another host's items to the keepers, and remembers where their answers
   belong.  */
static void
handle_relay (struct ledger *ledger, const char *host,
              const Peer__LedgerRelay *relay)
{
  int64_t now_ms = clock_now_ms ();

  for (size_t i = 0; i < relay->n_items; i++)
    {
      struct relayed_request *relayed;

      if (relay->items[i]->id == 0)
        continue;
      relayed = xcalloc (1, sizeof *relayed);
      relayed->id = relay->items[i]->id;
      relayed->host = xstrdup (host);
      relayed->relayed_ms = now_ms;
      g_hash_table_replace (ledger->relayed, &relayed->id, relayed);
    }
  send_to_keepers (ledger, relay->items, relay->n_items);
}

/* Handles answers from keepers and requests that this host is to relay.
   Ignores other frames.  */
void
ledger_handle_frame (struct ledger *ledger, const char *host,
                     const Peer__Frame *frame)
{
  if (frame->body_case == PEER__FRAME__BODY_LEDGER_RELAY)
    handle_relay (ledger, host, frame->ledger_relay);
  if (frame->body_case != PEER__FRAME__BODY_LEDGER_ANSWERS)
    return;
  for (size_t i = 0; i < frame->ledger_answers->n_answers; i++)
    handle_answer (ledger, host, frame->ledger_answers->answers[i]);
}

static void
send_settlements (struct ledger *ledger)
{
  guint count = ledger->unsent_programs->len;
  Peer__LedgerItem *items = xcalloc (count + 1, sizeof *items);

  for (guint i = 0; i < count; i++)
    {
      struct program_state *state = ledger->unsent_programs->pdata[i];

      state->has_unsent_settlement = false;
      items[i] = make_item (state, 0);
    }
  send_items (ledger, items, count);
  free (items);
  g_ptr_array_set_size (ledger->unsent_programs, 0);
}

static gboolean
is_unused (gpointer key, gpointer value, gpointer data)
{
  const struct program_state *state = value;
  const int64_t *oldest_ms = data;

  return state->turns == 0 && !state->has_unsent_settlement
         && state->last_used_ms < *oldest_ms;
}

static gboolean
is_relay_expired (gpointer key, gpointer value, gpointer data)
{
  const struct relayed_request *relayed = value;
  const int64_t *now_ms = data;

  return *now_ms - relayed->relayed_ms > RELAY_EXPIRY_MS;
}

/* Sends pending settlements and drops programs unused for retention_ms.  */
void
ledger_tick (struct ledger *ledger, int64_t now_ms)
{
  int64_t oldest_ms = now_ms - ledger->options.retention_ms;

  g_hash_table_foreach_remove (ledger->relayed, is_relay_expired, &now_ms);
  if (ledger->unsent_programs->len > 0
      && now_ms - ledger->last_settle_ms >= SETTLE_INTERVAL_MS)
    {
      ledger->last_settle_ms = now_ms;
      send_settlements (ledger);
    }
  if (now_ms - ledger->last_expiry_ms < EXPIRE_INTERVAL_MS)
    return;
  ledger->last_expiry_ms = now_ms;
  g_hash_table_foreach_remove (ledger->programs, is_unused, &oldest_ms);
}

/* Returns whether every settlement has been sent to the keepers.  */
bool
ledger_is_flushed (const struct ledger *ledger)
{
  return ledger->unsent_programs->len == 0;
}
