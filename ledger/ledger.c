#include "ledger/ledger.h"
#include "common/buf.h"
#include "common/deferred.h"
#include "common/id.h"
#include "ledger/item.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* A keeper in another data centre answers in a few milliseconds with its
     sync; beyond this a turn would lose more than a slow keeper can tell. */
  ANSWER_MS = 150,
  SETTLE_MS = 100, /* settlements wait so long to share a frame */
  SILENT_MS = 250, /* a keeper that leaves questions unanswered for so long */
  RELAY_HOSTS = 2, /* asked to pass a question on */
  RELAYED_MS = 2000,      /* a question that was passed on is forgotten */
  FORGET_EVERY_MS = 5000, /* between looks for programs to forget */
};

/* What this host knows of a program.  Owned by the ledger. */
struct known
{
  struct ledger *ledger;
  uint64_t program;
  struct charges charges;
  /* What this host has charged since it knows the program.  The source is new
     each time: keepers may have an older entry with a later version.  */
  struct charge own;
  uint32_t turns; /* that are under way here */
  int64_t used_ms;
  bool is_unsent; /* the keepers have an older version */
};

/* A turn's reservation.  Owned by the ledger until it is settled. */
struct ledger_turn
{
  struct known *known;
  uint64_t id;
  int64_t budget;
  int64_t tokens;
  uint64_t *answered; /* hashes of the keepers that did */
  uint32_t answers;
  bool is_relayed;
  bool is_behind; /* a keeper that answered may miss charges of another */
  ev_timer timer;
  ledger_handler *handle; /* NULL once it has been told */
  void *data;
};

struct keeper_view
{
  char *name;
  int64_t asked_ms; /* the oldest question without an answer; 0 for none */
};

/* A question of another host that was passed on. */
struct relayed
{
  uint64_t id;
  char *host;
  int64_t asked_ms;
};

struct ledger
{
  struct ledger_options options;
  struct keeper_view *keepers;
  uint32_t keeper_count;
  struct strings relays; /* entry hosts that may pass questions on */
  size_t next_relay;
  GHashTable *relayed;  /* id -> struct relayed */
  GHashTable *programs; /* program -> struct known */
  GHashTable *waiting;  /* id -> struct ledger_turn */
  GArray *questions;    /* Peer__LedgerItem, for the next frame */
  struct deferred send;
  GPtrArray *unsent; /* struct known that the keepers have older */
  int64_t settled_ms;
  int64_t forgot_ms;
};

static void
known_destroy (gpointer data)
{
  struct known *known = data;

  charges_release (&known->charges);
  free (known);
}

static struct known *
find_program (struct ledger *ledger, uint64_t program)
{
  struct known *known = g_hash_table_lookup (ledger->programs, &program);

  if (known)
    return known;
  known = xcalloc (1, sizeof *known);
  known->ledger = ledger;
  known->program = program;
  known->own.source = id_random64 ();
  g_hash_table_insert (ledger->programs, &known->program, known);
  return known;
}

static void
change_own (struct known *known, int64_t amount)
{
  known->own.tokens += amount;
  known->own.version++;
  charges_merge (&known->charges, &known->own);
}

static Peer__LedgerItem
make_item (const struct known *known, uint64_t id)
{
  Peer__LedgerItem item;

  ledger_item_set (&item, known->program, &known->own);
  item.id = id;
  return item;
}

static bool
is_silent (const struct keeper_view *keeper, int64_t now_ms)
{
  return keeper->asked_ms && now_ms - keeper->asked_ms > SILENT_MS;
}

static uint32_t
count_silent (const struct ledger *ledger)
{
  int64_t now_ms = clock_now_ms ();
  uint32_t count = 0;

  for (uint32_t i = 0; i < ledger->keeper_count; i++)
    count += is_silent (&ledger->keepers[i], now_ms);
  return count;
}

/* Whether too many keepers are silent for a majority.  */
static bool
needs_relay (const struct ledger *ledger)
{
  return ledger->keeper_count > 0
         && ledger->keeper_count - count_silent (ledger)
                < charges_quorum (ledger->keeper_count);
}

static void
send_to_keepers (struct ledger *ledger, Peer__LedgerItem **list, size_t count)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LedgerWrite write = PEER__LEDGER_WRITE__INIT;
  int64_t now_ms = clock_now_ms ();
  bool asks = false;

  for (size_t i = 0; i < count; i++)
    asks = asks || list[i]->id != 0;
  write.items = list;
  write.n_items = count;
  frame.body_case = PEER__FRAME__BODY_LEDGER_WRITE;
  frame.ledger_write = &write;
  for (uint32_t i = 0; i < ledger->keeper_count; i++)
    {
      struct keeper_view *keeper = &ledger->keepers[i];

      mesh_send (ledger->options.mesh, keeper->name, &frame);
      if (asks && !keeper->asked_ms)
        keeper->asked_ms = now_ms;
    }
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
  for (size_t i = 0; i < ledger->relays.count && sent < RELAY_HOSTS; i++)
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

  if (count == 0)
    return;
  list = ledger_items_list (items, count);
  send_to_keepers (ledger, list, count);
  if (needs_relay (ledger))
    send_to_relays (ledger, list, count);
  free (list);
}

/* Sends all reservations of one turn of the loop in one frame a keeper.  */
static void
handle_send (void *data)
{
  struct ledger *ledger = data;

  send_items (ledger, (Peer__LedgerItem *)(void *)ledger->questions->data,
              ledger->questions->len);
  g_array_set_size (ledger->questions, 0);
}

static void
forget_turn (struct ledger_turn *turn)
{
  struct ledger *ledger = turn->known->ledger;

  ev_timer_stop (ledger->options.loop, &turn->timer);
  g_hash_table_remove (ledger->waiting, &turn->id);
}

static void
tell (struct ledger_turn *turn, enum charges_verdict verdict)
{
  ledger_handler *handle = turn->handle;

  forget_turn (turn);
  turn->handle = NULL;
  if (handle)
    handle (turn->data, verdict, charges_total (&turn->known->charges));
}

static enum charges_verdict
decide (const struct ledger_turn *turn)
{
  return charges_decide (
      charges_total (&turn->known->charges), turn->budget, turn->tokens,
      turn->answers, turn->known->ledger->keeper_count,
      turn->is_behind || turn->answers < turn->known->ledger->keeper_count);
}

/* Tries once more through other hosts before it decides with what is known. */
static void
handle_late (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct ledger_turn *turn = timer->data;
  struct ledger *ledger = turn->known->ledger;

  if (!turn->is_relayed && decide (turn) == CHARGES_UNKNOWN
      && ledger->relays.count > 0)
    {
      Peer__LedgerItem item = make_item (turn->known, turn->id);
      Peer__LedgerItem *only = &item;

      turn->is_relayed = true;
      send_to_relays (ledger, &only, 1);
      ev_timer_set (timer, (double)ANSWER_MS / 1000.0, 0);
      ev_timer_start (loop, timer);
      return;
    }
  tell (turn, decide (turn));
}

static void
relayed_destroy (gpointer data)
{
  struct relayed *relayed = data;

  free (relayed->host);
  free (relayed);
}

/* Creates a ledger without keepers.  */
struct ledger *
ledger_create (const struct ledger_options *options)
{
  struct ledger *ledger = xcalloc (1, sizeof *ledger);

  ledger->options = *options;
  ledger->programs = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                            known_destroy);
  ledger->waiting = g_hash_table_new (g_int64_hash, g_int64_equal);
  ledger->relayed = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                           relayed_destroy);
  ledger->unsent = g_ptr_array_new ();
  ledger->questions = g_array_new (FALSE, FALSE, sizeof (Peer__LedgerItem));
  deferred_init (&ledger->send, options->loop, handle_send, ledger);
  return ledger;
}

static struct keeper_view *
find_keeper (struct ledger *ledger, const char *host)
{
  for (uint32_t i = 0; i < ledger->keeper_count; i++)
    if (strcmp (ledger->keepers[i].name, host) == 0)
      return &ledger->keepers[i];
  return NULL;
}

static void
release_keepers (struct ledger *ledger)
{
  for (uint32_t i = 0; i < ledger->keeper_count; i++)
    free (ledger->keepers[i].name);
  free (ledger->keepers);
}

/* Frees the ledger.  Every turn must have been settled.  */
void
ledger_destroy (struct ledger *ledger)
{
  if (!ledger)
    return;
  deferred_release (&ledger->send);
  release_keepers (ledger);
  strings_release (&ledger->relays);
  g_hash_table_destroy (ledger->relayed);
  g_hash_table_destroy (ledger->waiting);
  g_hash_table_destroy (ledger->programs);
  g_ptr_array_free (ledger->unsent, TRUE);
  g_array_free (ledger->questions, TRUE);
  free (ledger);
}

/* Names the hosts that keep the ledger; they are written to from now on.  */
void
ledger_set_keepers (struct ledger *ledger, const struct strings *names)
{
  struct keeper_view *keepers = xcalloc (names->count + 1, sizeof *keepers);

  for (size_t i = 0; i < names->count; i++)
    {
      const struct keeper_view *known = find_keeper (ledger, names->items[i]);

      keepers[i].name = xstrdup (names->items[i]);
      keepers[i].asked_ms = known ? known->asked_ms : 0;
    }
  release_keepers (ledger);
  ledger->keepers = keepers;
  ledger->keeper_count = (uint32_t)names->count;
}

/* Names the entry hosts that pass questions on where this one does not reach
   the keepers.  */
void
ledger_set_relays (struct ledger *ledger, const struct strings *names)
{
  strings_copy (&ledger->relays, names);
}

/* Whether this host knows that turns of PROGRAM have run or are under way. */
bool
ledger_has_begun (const struct ledger *ledger, uint64_t program)
{
  const struct known *known = g_hash_table_lookup (ledger->programs, &program);

  return known && (known->turns > 0 || charges_total (&known->charges) > 0);
}

/* Reserves TOKENS for a turn of PROGRAM, whose calls may use BUDGET in all.
   HANDLE is called once, never from inside this call, unless the turn is
   settled first.  The turn is valid until ledger_settle.  */
struct ledger_turn *
ledger_reserve (struct ledger *ledger, uint64_t program, int64_t budget,
                int64_t tokens, ledger_handler *handle, void *data)
{
  struct ledger_turn *turn = xcalloc (1, sizeof *turn);
  Peer__LedgerItem item;

  turn->known = find_program (ledger, program);
  turn->known->turns++;
  turn->known->used_ms = clock_now_ms ();
  turn->id = id_random64 ();
  turn->budget = budget;
  turn->tokens = tokens;
  turn->handle = handle;
  turn->data = data;
  change_own (turn->known, tokens);
  item = make_item (turn->known, turn->id);
  g_array_append_val (ledger->questions, item);
  g_hash_table_insert (ledger->waiting, &turn->id, turn);
  deferred_schedule (&ledger->send);
  ev_timer_init (&turn->timer, handle_late, (double)ANSWER_MS / 1000.0, 0);
  turn->timer.data = turn;
  ev_timer_start (ledger->options.loop, &turn->timer);
  return turn;
}

/* Returns the id of the question that the keepers are asked.  */
uint64_t
ledger_turn_id (const struct ledger_turn *turn)
{
  return turn->id;
}

/* Ends the turn: USED tokens of its reservation stay charged.  Frees it.  */
void
ledger_settle (struct ledger_turn *turn, int64_t used)
{
  struct known *known;

  if (!turn)
    return;
  known = turn->known;
  turn->handle = NULL;
  forget_turn (turn);
  known->turns--;
  known->used_ms = clock_now_ms ();
  if (used != turn->tokens)
    {
      change_own (known, used - turn->tokens);
      if (!known->is_unsent)
        g_ptr_array_add (known->ledger->unsent, known);
      known->is_unsent = true;
    }
  free (turn->answered);
  free (turn);
}

static bool
note_answer (struct ledger_turn *turn, uint64_t keeper, uint32_t keepers)
{
  for (uint32_t i = 0; i < turn->answers; i++)
    if (turn->answered[i] == keeper)
      return false;
  if (turn->answers >= keepers)
    return false;
  /* Keepers may have been added since the turn was reserved. */
  turn->answered = xrealloc (turn->answered,
                             (turn->answers + 1) * sizeof *turn->answered);
  turn->answered[turn->answers++] = keeper;
  return true;
}

static void
pass_back (struct ledger *ledger, const struct relayed *relayed,
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
take_answer (struct ledger *ledger, const char *host,
             const Peer__LedgerAnswer *answer)
{
  uint64_t id = answer->id;
  struct ledger_turn *turn = g_hash_table_lookup (ledger->waiting, &id);
  const struct relayed *relayed = g_hash_table_lookup (ledger->relayed, &id);
  const char *name = answer->keeper && *answer->keeper ? answer->keeper : host;
  struct keeper_view *keeper = find_keeper (ledger, name);
  bool is_last; /* of those that are not silent */

  if (!keeper)
    return;
  if (name == host)
    keeper->asked_ms = 0;
  if (relayed && name == host)
    pass_back (ledger, relayed, host, answer);
  if (!turn)
    return;
  for (size_t i = 0; i < answer->n_entries; i++)
    {
      struct charge entry = ledger_item_charge (answer->entries[i]);

      charges_merge (&turn->known->charges, &entry);
    }
  turn->is_behind = turn->is_behind || answer->behind;
  if (!note_answer (turn, id_hash_text (name), ledger->keeper_count))
    return;
  is_last = turn->answers + count_silent (ledger) >= ledger->keeper_count;
  if ((is_last || turn->answers >= charges_quorum (ledger->keeper_count))
      && decide (turn) != CHARGES_UNKNOWN)
    tell (turn, decide (turn));
}

static void
take_relay (struct ledger *ledger, const char *host,
            const Peer__LedgerRelay *relay)
{
  int64_t now_ms = clock_now_ms ();

  for (size_t i = 0; i < relay->n_items; i++)
    {
      struct relayed *relayed;

      if (relay->items[i]->id == 0)
        continue;
      relayed = xcalloc (1, sizeof *relayed);
      relayed->id = relay->items[i]->id;
      relayed->host = xstrdup (host);
      relayed->asked_ms = now_ms;
      g_hash_table_replace (ledger->relayed, &relayed->id, relayed);
    }
  send_to_keepers (ledger, relay->items, relay->n_items);
}

/* Takes keepers' answers, and questions of other hosts that this one is to
   pass on.  Other frames are left alone.  */
void
ledger_handle_frame (struct ledger *ledger, const char *host,
                     const Peer__Frame *frame)
{
  if (frame->body_case == PEER__FRAME__BODY_LEDGER_RELAY)
    take_relay (ledger, host, frame->ledger_relay);
  if (frame->body_case != PEER__FRAME__BODY_LEDGER_ANSWERS)
    return;
  for (size_t i = 0; i < frame->ledger_answers->n_answers; i++)
    take_answer (ledger, host, frame->ledger_answers->answers[i]);
}

static void
send_settlements (struct ledger *ledger)
{
  guint count = ledger->unsent->len;
  Peer__LedgerItem *items = xcalloc (count + 1, sizeof *items);

  for (guint i = 0; i < count; i++)
    {
      struct known *known = ledger->unsent->pdata[i];

      known->is_unsent = false;
      items[i] = make_item (known, 0);
    }
  send_items (ledger, items, count);
  free (items);
  g_ptr_array_set_size (ledger->unsent, 0);
}

static gboolean
is_stale (gpointer key, gpointer value, gpointer data)
{
  const struct known *known = value;
  const int64_t *oldest_ms = data;

  return known->turns == 0 && !known->is_unsent && known->used_ms < *oldest_ms;
}

static gboolean
is_old_relayed (gpointer key, gpointer value, gpointer data)
{
  const struct relayed *relayed = value;
  const int64_t *now_ms = data;

  return *now_ms - relayed->asked_ms > RELAYED_MS;
}

/* Sends what was settled and forgets programs that are long unused.  */
void
ledger_tick (struct ledger *ledger, int64_t now_ms)
{
  int64_t oldest_ms = now_ms - ledger->options.retention_ms;

  g_hash_table_foreach_remove (ledger->relayed, is_old_relayed, &now_ms);
  if (ledger->unsent->len > 0 && now_ms - ledger->settled_ms >= SETTLE_MS)
    {
      ledger->settled_ms = now_ms;
      send_settlements (ledger);
    }
  if (now_ms - ledger->forgot_ms < FORGET_EVERY_MS)
    return;
  ledger->forgot_ms = now_ms;
  g_hash_table_foreach_remove (ledger->programs, is_stale, &oldest_ms);
}

/* Whether every settlement has been sent.  */
bool
ledger_is_settled (const struct ledger *ledger)
{
  return ledger->unsent->len == 0;
}
