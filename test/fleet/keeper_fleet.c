/* Guards against acknowledged charges that a majority of a program's keepers
   lacks.  The real keepers (ledger/keeper.c) run with simulated time, links
   and disks.  Played by lot, within what the ledger has to bear: changes of
   the list that reach the hosts one after the other, keepers that are added,
   retired and replaced, kills, lost disks, cuts, losses of power of all, each
   of which may drop any write that was not synced, and disks that refuse
   writes.

   After each step: of the keepers that store a program by the list, fewer than
   a majority answer for it without an acknowledged charge, so that any
   majority of answers has it.  Entry hosts on both sides of a cut spend
   budgets, and forget at once what they have spent: no program is granted more
   than its budget and one turn.

   Usage: keeper-fleet FIRST_SEED COUNT [FAULT]
   A planted FAULT must be found, so that the program then succeeds if some
   seed fails: unsynced-answers, lost-writes, blind-lists, few-answers,
   untold-losses.  */
#include "common/buf.h"
#include "common/id.h"
#include "common/log.h"
#include "ledger/item.h"
#include "ledger/keeper.h"
#include "ledger/keeper_set.h"
#include "peer/packed_frame.h"
#include "policy/charges.h"
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SLOTS = 14,  /* keepers that ever exist in a run */
  STARTED = 9, /* of them, at first */
  CENTRES = 4,
  LOSSES = 2,  /* fault tolerance */
  WRITERS = 4, /* entry hosts */
  PROGRAMS = 24,
  TICK_MS = 50,
  RING_MS = 4096,     /* longer than any delay */
  SYNC_MS = 20,       /* longest sync */
  RING_JOBS = 24,     /* that a disk takes before it refuses more */
  LIST_LAG_MS = 1500, /* within which all hosts get a new list */
  LONG_LIST_LAG_MS = 4000,
  CATCH_UP_MS = 4000, /* after which a lost machine counts as back */
  EVENT_MS = 700,     /* mean time between events */
  /* The same of every other seed: there, cuts find keepers that may grant
     parts of budgets below a majority, as no disk was lost for long. */
  RARE_EVENT_MS = 7000,
  RUN_MS = 60000,
  /* Longer than a program is charged, or rests between its charges. */
  RETENTION_MS = 20000,
  ABSENT_MS = 8000,
  CHECK_MS = 20,
  LOST_FRAMES = 3, /* one of so many frames to a keeper */
  SPENDERS = 4,    /* entry hosts that spend budgets */
  BUDGETS = 64,    /* programs with one */
  BUDGET_TOKENS = 1000,
  MAX_TURN_TOKENS = 300,
  SPEND_MS = 60,        /* between turns of a spender */
  SPEND_ANSWER_MS = 40, /* after which it decides */
  BUDGET_MS = 1500,     /* after which the next program begins */
  BUDGETS_AT_ONCE = 6,  /* programs that run at a time */
  ACTIVE_MS = 700,
  DOWN_MS = 900, /* of keepers that are killed together */
  WRITE_MS = 12, /* between charges of a writer */
};

/* One write of a keeper's disk. */
struct disk_write
{
  char *program;
  struct buf data;
  bool is_synced;
  store_append_handler *handle; /* NULL once it was called */
  void *data_arg;
};

struct node;

/* What keepers use as the store of their host. */
struct store
{
  struct node *node;
};

struct node
{
  struct transport transport; /* first member */
  struct fleet *fleet;
  int index;
  char name[16];
  char data_centre[16];
  struct store store;
  struct keeper *keeper; /* NULL while it does not run */
  GPtrArray *disk;       /* struct disk_write */
  guint synced;          /* the first so many of them are synced */
  GHashTable *versions;  /* source -> uint64_t, of synced charges */
  uint64_t life;         /* of the process; events of others are void */
  bool is_gone;          /* for good */
  bool is_listed;
  bool is_retiring;
  bool has_started;
  int64_t lost_until_ms; /* counts as a lost disk before */
  int64_t wipe_due_ms;   /* loses its disk then; 0 for never */
  int64_t start_due_ms;  /* is down until then; 0 if it is not */
  int64_t list_due_ms;
  uint64_t list; /* that it has: bits of slots */
  int64_t heard_ms[SLOTS];
};

/* An entry host that charges programs. */
struct writer
{
  char name[16];
  uint64_t list;
  int64_t list_due_ms;
  uint64_t source[PROGRAMS];
  uint64_t version[PROGRAMS];
};

/* A charge on its way to be acknowledged. */
struct pending_charge
{
  uint64_t id;
  int writer;
  int program;
  uint64_t source;
  uint64_t version;
  uint64_t answered; /* bits of slots */
  uint64_t replicas; /* by the writer's list when it was sent */
};

enum event_kind
{
  EVENT_FRAME,
  EVENT_SYNC,
  EVENT_LOADED,
};

struct event
{
  enum event_kind kind;
  int to; /* a slot, or SLOTS + a writer */
  int from;
  uint64_t life;
  struct buf bytes;
  size_t upto; /* writes of the disk that are synced */
  char *program;
  store_fetch_handler *fetch;
  void *data_arg;
};

/* A program whose turns spend a budget. */
struct budget
{
  int64_t turn_tokens;
  int64_t granted_tokens;
};

/* A turn that waits for the keepers' answers. */
struct spending
{
  uint64_t id;
  int spender;
  int program;
  uint64_t source;
  uint64_t replicas; /* bits of slots */
  uint64_t answered;
  struct charges charges;
  bool is_behind;
  bool is_unsynced;
  int64_t decide_ms;
};

struct fleet
{
  int64_t now_ms;
  int64_t event_ms; /* mean time between events */
  uint64_t seed;
  struct node nodes[SLOTS];
  struct writer writers[WRITERS];
  uint64_t list; /* the present one */
  GQueue ring[RING_MS];
  GHashTable *pending; /* id -> struct pending_charge */
  uint64_t acknowledged[WRITERS][PROGRAMS];
  uint64_t
      cut; /* bits of slots that do not reach the others, nor these them */
  int64_t cut_until_ms;
  bool refuses_writes; /* disks take RING_JOBS only */
  struct budget budgets[BUDGETS];
  GQueue spendings; /* struct spending, in the order of decide_ms */
  uint32_t acks;
  uint32_t violations;
  uint32_t grants;
  uint32_t small_grants; /* below a majority */
};

static struct fleet *the_fleet;
static const char *fault = "";
static bool is_verbose;

int64_t __wrap_clock_now_ms (void);

int64_t
__wrap_clock_now_ms (void)
{
  return the_fleet->now_ms;
}

int64_t __wrap_clock_unix_ms (void);

int64_t
__wrap_clock_unix_ms (void)
{
  return the_fleet->now_ms;
}

static bool
has_fault (const char *name)
{
  return strcmp (fault, name) == 0;
}

static uint64_t
next_random (struct fleet *fleet)
{
  fleet->seed = id_hash64 (&fleet->seed, sizeof fleet->seed, 1);
  return fleet->seed;
}

static int64_t
draw (struct fleet *fleet, int64_t below)
{
  return (int64_t)(next_random (fleet) % (uint64_t)below);
}

static void
tell (const struct fleet *fleet, const char *format, ...)
{
  va_list arguments;

  if (!is_verbose)
    return;
  fprintf (stderr, "%7" PRId64 " ", fleet->now_ms);
  va_start (arguments, format);
  vfprintf (stderr, format, arguments);
  va_end (arguments);
  fputc ('\n', stderr);
}

static void
event_destroy (gpointer data)
{
  struct event *event = data;

  buf_release (&event->bytes);
  free (event->program);
  free (event);
}

static void
schedule (struct fleet *fleet, struct event *event, int64_t delay_ms)
{
  g_queue_push_tail (&fleet->ring[(fleet->now_ms + delay_ms) % RING_MS],
                     event);
}

/* Disks.  */

static void
write_destroy (gpointer data)
{
  struct disk_write *write = data;

  free (write->program);
  buf_release (&write->data);
  free (write);
}

/* Records that the writes before UPTO are synced.  */
static void
mark_synced (struct node *node, size_t upto)
{
  for (; node->synced < upto && node->synced < node->disk->len; node->synced++)
    {
      struct disk_write *write = node->disk->pdata[node->synced];
      Peer__LedgerItem *item = peer__ledger_item__unpack (
          NULL, write->data.len, (const uint8_t *)write->data.data);
      uint64_t source = item->source;
      const uint64_t *known = g_hash_table_lookup (node->versions, &source);
      uint64_t version = MAX (known ? *known : 0, item->version);

      write->is_synced = true;
      g_hash_table_insert (node->versions, g_memdup2 (&source, sizeof source),
                           g_memdup2 (&version, sizeof version));
      peer__ledger_item__free_unpacked (item, NULL);
    }
}

static void
erase_disk (struct node *node)
{
  g_ptr_array_set_size (node->disk, 0);
  node->synced = 0;
  g_hash_table_remove_all (node->versions);
}

static void
append_write (struct node *node, const char *program, const void *data,
              size_t len)
{
  struct disk_write *write = xcalloc (1, sizeof *write);

  write->program = xstrdup (program);
  if (len > 0)
    buf_append (&write->data, data, len);
  g_ptr_array_add (node->disk, write);
}

/* Declared in store/store.h.  */
void
store_append (struct store *store, const char *program, const void *data,
              size_t len, store_append_handler *handle, void *data_arg)
{
  struct node *node = store->node;
  struct fleet *fleet = node->fleet;
  struct disk_write *write;
  struct event *event;

  if (fleet->refuses_writes && node->disk->len - node->synced >= RING_JOBS)
    {
      handle (data_arg, false);
      return;
    }
  if (has_fault ("lost-writes") && draw (fleet, 20) == 0)
    {
      handle (data_arg, true);
      return;
    }
  append_write (node, program, data, len);
  write = node->disk->pdata[node->disk->len - 1];
  if (has_fault ("unsynced-answers"))
    {
      handle (data_arg, true);
      handle = NULL;
    }
  write->handle = handle;
  write->data_arg = data_arg;
  event = xcalloc (1, sizeof *event);
  *event = (struct event){ .kind = EVENT_SYNC,
                           .to = node->index,
                           .life = node->life,
                           .upto = node->disk->len };
  schedule (fleet, event, 1 + draw (fleet, SYNC_MS));
}

void
store_delete (struct store *store, const char *program)
{
  append_write (store->node, program, "", 0);
}

void
store_fetch (struct store *store, const char *program,
             store_fetch_handler *handle, void *data_arg)
{
  struct event *event = xcalloc (1, sizeof *event);

  *event = (struct event){ .kind = EVENT_LOADED,
                           .to = store->node->index,
                           .life = store->node->life,
                           .program = xstrdup (program),
                           .fetch = handle,
                           .data_arg = data_arg };
  schedule (store->node->fleet, event, 1 + draw (store->node->fleet, 300));
}

void
store_foreach_program (struct store *store, store_foreach_handler *handle,
                       void *data_arg)
{
  GHashTable *programs = g_hash_table_new (g_str_hash, g_str_equal);
  GList *names;

  for (guint i = 0; i < store->node->disk->len; i++)
    g_hash_table_add (
        programs, ((struct disk_write *)store->node->disk->pdata[i])->program);
  names = g_hash_table_get_keys (programs);
  for (GList *at = names; at; at = at->next)
    handle (data_arg, at->data);
  g_list_free (names);
  g_hash_table_destroy (programs);
}

/* Ends the sync of the writes before UPTO.  */
static void
end_sync (struct node *node, size_t upto)
{
  size_t first = node->synced;

  mark_synced (node, upto);
  for (size_t i = first; i < upto && i < node->disk->len; i++)
    {
      struct disk_write *write = node->disk->pdata[i];
      store_append_handler *handle = write->handle;

      write->handle = NULL;
      if (handle)
        handle (write->data_arg, true);
    }
}

static void
end_load (struct node *node, const struct event *event)
{
  struct buf *records = xcalloc (node->disk->len + 1, sizeof *records);
  size_t count = 0;

  for (guint i = 0; i < node->disk->len; i++)
    {
      const struct disk_write *write = node->disk->pdata[i];

      if (strcmp (write->program, event->program) != 0)
        continue;
      if (write->data.len == 0)
        count = 0;
      else
        records[count++] = write->data;
    }
  event->fetch (event->data_arg, records, count);
  free (records);
}

/* Drops by lot what was not synced.  */
static void
lose_power (struct node *node)
{
  bool all = draw (node->fleet, 3) == 0;

  for (guint i = node->disk->len; i > node->synced; i--)
    if (all || draw (node->fleet, 2) == 0)
      g_ptr_array_remove_index (node->disk, i - 1);
  mark_synced (node, node->disk->len);
}

/* Hosts.  */

static bool is_spender_cut (const struct fleet *fleet, int spender, int slot);

static bool
is_cut (const struct fleet *fleet, int from, int to)
{
  if (from >= SLOTS + WRITERS)
    return is_spender_cut (fleet, from - SLOTS - WRITERS, to);
  if (to >= SLOTS + WRITERS)
    return is_spender_cut (fleet, to - SLOTS - WRITERS, from);

  bool a = from < SLOTS && (fleet->cut >> from & 1);
  bool b = to < SLOTS && (fleet->cut >> to & 1);

  return a != b;
}

static int
find_host (const char *name)
{
  return name[0] == 'e' ? SLOTS + atoi (name + 1) : atoi (name + 1);
}

static bool
send_frame (struct transport *transport, const char *name,
            const Peer__Frame *frame)
{
  struct node *node = (struct node *)transport;
  struct fleet *fleet = node->fleet;
  int to = find_host (name);
  struct event *event;

  if (is_cut (fleet, node->index, to))
    return true;
  event = xcalloc (1, sizeof *event);
  event->kind = EVENT_FRAME;
  event->from = node->index;
  event->to = to;
  packed_frame_append (&event->bytes, frame);
  schedule (fleet, event, 1 + draw (fleet, 4));
  return true;
}

static void
ping_host (struct transport *transport, const char *name)
{
  struct node *node = (struct node *)transport;
  int to = find_host (name);

  if (!is_cut (node->fleet, node->index, to) && node->fleet->nodes[to].keeper)
    node->heard_ms[to] = node->fleet->now_ms;
}

static int64_t
last_received_ms (struct transport *transport, const char *name)
{
  return ((struct node *)transport)->heard_ms[find_host (name)];
}

static const struct transport_vtable transport_vtable = {
  .send = send_frame, .ping = ping_host, .last_received_ms = last_received_ms
};

static void remove_from_list (struct fleet *fleet, int index);

static void
handle_absent (void *data, const char *name)
{
  struct fleet *fleet = data;

  if (fleet->nodes[find_host (name)].is_gone)
    remove_from_list (fleet, find_host (name));
}

/* Returns the names and places of the slots of LIST but EXCEPT.  */
static size_t
locate (struct fleet *fleet, uint64_t list, int except,
        struct host_location *locations)
{
  size_t count = 0;

  for (int i = 0; i < SLOTS; i++)
    if ((list >> i & 1) && i != except)
      locations[count++]
          = (struct host_location){ .name = fleet->nodes[i].name,
                                    .data_centre
                                    = fleet->nodes[i].data_centre };
  return count;
}

static void
apply_list (struct node *node)
{
  struct host_location others[SLOTS];
  size_t count = locate (node->fleet, node->fleet->list, node->index, others);

  node->list_due_ms = 0;
  node->list = node->fleet->list;
  /* A host relies on the list once it is on it. */
  if (node->list >> node->index & 1)
    keeper_set_others (node->keeper, others, count);
}

static void
start_node (struct node *node, bool is_first)
{
  struct keeper_options options = { .transport = &node->transport,
                                    .store = &node->store,
                                    .host = node->name,
                                    .data_centre = node->data_centre,
                                    .losses = LOSSES,
                                    .first_start = is_first,
                                    .retention_ms = RETENTION_MS,
                                    .absent_ms = ABSENT_MS,
                                    .handle_absent = handle_absent,
                                    .data = node->fleet };

  node->life++;
  node->store.node = node;
  node->has_started = true;
  node->keeper = keeper_create (&options);
  node->list_due_ms = node->fleet->now_ms + 20 + draw (node->fleet, 200);
  for (int i = 0; i < SLOTS; i++)
    node->heard_ms[i] = node->fleet->now_ms;
}

static void
stop_node (struct node *node)
{
  node->life++;
  node->list = 0;
  /* Calls that wait free what they hold, and tell nobody anything. */
  for (guint i = 0; i < node->disk->len; i++)
    {
      struct disk_write *write = node->disk->pdata[i];
      store_append_handler *handle = write->handle;

      write->handle = NULL;
      if (handle)
        handle (write->data_arg, false);
    }
  keeper_destroy (node->keeper);
  node->keeper = NULL;
}

/* Returns within which time all hosts get a new list.  The fault that lists
   are not compared shows where they differ for long.  */
static int64_t
list_lag_ms (void)
{
  return has_fault ("blind-lists") ? LONG_LIST_LAG_MS : LIST_LAG_MS;
}

/* Has all hosts get the new list, each after a time of its own.  */
static void
spread_list (struct fleet *fleet)
{
  for (int i = 0; i < SLOTS; i++)
    fleet->nodes[i].list_due_ms
        = fleet->now_ms + 1 + draw (fleet, list_lag_ms ());
  for (int i = 0; i < WRITERS; i++)
    fleet->writers[i].list_due_ms
        = fleet->now_ms + 1 + draw (fleet, list_lag_ms ());
}

static void
remove_from_list (struct fleet *fleet, int index)
{
  if (!fleet->nodes[index].is_listed)
    return;
  tell (fleet, "k%d leaves the list", index);
  fleet->nodes[index].is_listed = false;
  fleet->list &= ~(UINT64_C (1) << index);
  spread_list (fleet);
}

/* Charges.  */

static uint64_t
program_hash (int program)
{
  return UINT64_C (0x9e3779b97f4a7c15) * (uint64_t)(program + 11);
}

static uint64_t
replicas_of (struct fleet *fleet, uint64_t list, int program)
{
  struct keeper_set set = { 0 };
  struct host_location locations[SLOTS];
  size_t count = locate (fleet, list, -1, locations);
  struct keeper_replicas replicas;
  uint64_t bits = 0;

  keeper_set_assign (&set, locations, count, LOSSES);
  replicas = keeper_set_replicas (&set, program_hash (program));
  for (uint32_t i = 0; i < replicas.count; i++)
    bits |= UINT64_C (1) << find_host (set.names[replicas.keepers[i]]);
  keeper_set_release (&set);
  return bits;
}

static int
count_bits (uint64_t bits)
{
  return __builtin_popcountll (bits);
}

static void
charge (struct fleet *fleet, int index)
{
  struct writer *writer = &fleet->writers[index];
  /* Few programs are charged at a time, and rest afterwards. */
  int program
      = (int)((fleet->now_ms / ACTIVE_MS + draw (fleet, 2)) % PROGRAMS);
  struct pending_charge *pending = xcalloc (1, sizeof *pending);
  struct charge entry;
  Peer__LedgerItem item;
  Peer__LedgerItem *only = &item;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LedgerWrite write = PEER__LEDGER_WRITE__INIT;

  /* An entry host that starts anew has new sources. */
  if (draw (fleet, 400) == 0)
    {
      writer->source[program] = next_random (fleet);
      writer->version[program] = 0;
      fleet->acknowledged[index][program] = 0;
    }
  entry = (struct charge){ .source = writer->source[program],
                           .version = ++writer->version[program],
                           .tokens = (int64_t)writer->version[program] * 4 };
  *pending = (struct pending_charge){ .id = next_random (fleet),
                                      .writer = index,
                                      .program = program,
                                      .source = entry.source,
                                      .version = entry.version,
                                      .replicas = replicas_of (
                                          fleet, writer->list, program) };
  g_hash_table_insert (fleet->pending, &pending->id, pending);
  ledger_item_set (&item, program_hash (program), &entry);
  item.id = pending->id;
  write.items = &only;
  write.n_items = 1;
  frame.body_case = PEER__FRAME__BODY_LEDGER_WRITE;
  frame.ledger_write = &write;
  for (int i = 0; i < SLOTS; i++)
    {
      struct event *event;

      /* Many charges are held by a bare majority. */
      if (!(pending->replicas >> i & 1) || is_cut (fleet, SLOTS + index, i)
          || draw (fleet, LOST_FRAMES) == 0)
        continue;
      event = xcalloc (1, sizeof *event);
      event->kind = EVENT_FRAME;
      event->from = SLOTS + index;
      event->to = i;
      packed_frame_append (&event->bytes, &frame);
      schedule (fleet, event, 1 + draw (fleet, 4));
    }
}

static void
handle_answers (struct fleet *fleet, int from,
                const Peer__LedgerAnswers *answers)
{
  for (size_t i = 0; i < answers->n_answers; i++)
    {
      uint64_t id = answers->answers[i]->id;
      struct pending_charge *pending
          = g_hash_table_lookup (fleet->pending, &id);

      if (!pending)
        continue;
      pending->answered |= UINT64_C (1) << from;
      if (count_bits (pending->answered & pending->replicas)
              + has_fault ("few-answers")
          < (int)charges_quorum ((uint32_t)count_bits (pending->replicas)))
        continue;
      fleet->acks++;
      /* What an entry host charged before it started anew has another source.
       */
      if (pending->source
              == fleet->writers[pending->writer].source[pending->program]
          && pending->version
                 > fleet->acknowledged[pending->writer][pending->program])
        fleet->acknowledged[pending->writer][pending->program]
            = pending->version;
      g_hash_table_remove (fleet->pending, &id);
    }
}

/* Budgets.  */

static uint64_t
budget_hash (int program)
{
  return program_hash (PROGRAMS + program);
}

/* Half of the spenders are on the side of those that are cut off.  */
static bool
is_spender_cut (const struct fleet *fleet, int spender, int slot)
{
  bool is_slot_cut = (fleet->cut >> slot & 1) != 0;

  return fleet->cut && is_slot_cut != (spender >= SPENDERS / 2);
}

static void
send_charge (struct fleet *fleet, const struct spending *spending,
             const struct charge *entry, uint64_t id)
{
  Peer__LedgerItem item;
  Peer__LedgerItem *only = &item;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LedgerWrite write = PEER__LEDGER_WRITE__INIT;

  ledger_item_set (&item, budget_hash (spending->program), entry);
  item.id = id;
  write.items = &only;
  write.n_items = 1;
  frame.body_case = PEER__FRAME__BODY_LEDGER_WRITE;
  frame.ledger_write = &write;
  for (int i = 0; i < SLOTS; i++)
    {
      struct event *event;

      if (!(spending->replicas >> i & 1)
          || is_spender_cut (fleet, spending->spender, i))
        continue;
      event = xcalloc (1, sizeof *event);
      event->kind = EVENT_FRAME;
      event->from = SLOTS + WRITERS + spending->spender;
      event->to = i;
      packed_frame_append (&event->bytes, &frame);
      schedule (fleet, event, 1 + draw (fleet, 4));
    }
}

/* Has a spender reserve a turn, under a source of its own, as if each turn
   were of an entry host that has started anew.  */
static void
spend (struct fleet *fleet, int spender)
{
  struct spending *spending = xcalloc (1, sizeof *spending);
  int newest = (int)(fleet->now_ms / BUDGET_MS % BUDGETS);
  struct charge entry;

  spending->program
      = (int)((newest + BUDGETS - draw (fleet, BUDGETS_AT_ONCE)) % BUDGETS);
  spending->id = next_random (fleet);
  spending->source = next_random (fleet);
  spending->spender = spender;
  spending->replicas
      = replicas_of (fleet, fleet->list, PROGRAMS + spending->program);
  spending->decide_ms = fleet->now_ms + SPEND_ANSWER_MS;
  entry = (struct charge){
    .source = spending->source,
    .version = 1,
    .tokens = fleet->budgets[spending->program].turn_tokens,
  };
  charges_merge (&spending->charges, &entry);
  send_charge (fleet, spending, &entry, spending->id);
  g_queue_push_tail (&fleet->spendings, spending);
}

static void
take_spending_answer (struct fleet *fleet, int from,
                      const Peer__LedgerAnswer *answer)
{
  for (GList *at = fleet->spendings.head; at; at = at->next)
    {
      struct spending *spending = at->data;

      if (spending->id != answer->id)
        continue;
      spending->answered |= UINT64_C (1) << from;
      spending->is_behind = spending->is_behind || answer->behind;
      spending->is_unsynced = spending->is_unsynced || answer->unsynced;
      for (size_t i = 0; i < answer->n_entries; i++)
        {
          struct charge entry = ledger_item_charge (answer->entries[i]);

          charges_merge (&spending->charges, &entry);
        }
      return;
    }
}

static void
decide_spending (struct fleet *fleet, struct spending *spending)
{
  struct budget *budget = &fleet->budgets[spending->program];
  uint32_t answers
      = (uint32_t)count_bits (spending->answered & spending->replicas);
  uint32_t keepers = (uint32_t)count_bits (spending->replicas);
  struct charges_question question
      = { .total = charges_total (&spending->charges),
          .budget = BUDGET_TOKENS,
          .answers = answers,
          .keepers = keepers,
          .has_missing_answers = spending->is_behind || answers < keepers,
          .is_unsynced = spending->is_unsynced };
  struct charge none = { .source = spending->source, .version = 2 };

  if (has_fault ("untold-losses"))
    {
      question.has_missing_answers = answers < keepers;
      question.is_unsynced = false;
    }

  if (charges_decide (&question) == CHARGES_GRANTED)
    {
      budget->granted_tokens += budget->turn_tokens;
      tell (fleet,
            "program %d: spender %d is granted %d, %d in sum, known "
            "%d, by %llx of %llx, behind %d, unsynced %d",
            spending->program, spending->spender, (int)budget->turn_tokens,
            (int)budget->granted_tokens, (int)question.total,
            (unsigned long long)spending->answered,
            (unsigned long long)spending->replicas, spending->is_behind,
            spending->is_unsynced);
      fleet->grants++;
      fleet->small_grants += answers < charges_quorum (keepers);
    }
  else
    send_charge (fleet, spending, &none, 0);
  if (budget->granted_tokens > BUDGET_TOKENS + budget->turn_tokens)
    {
      fleet->violations++;
      tell (fleet, "program %d of %d a turn: %d tokens were granted",
            spending->program, (int)budget->turn_tokens,
            (int)budget->granted_tokens);
      budget->granted_tokens = -BUDGET_TOKENS * BUDGETS; /* told once */
    }
}

static void
spending_destroy (gpointer data)
{
  struct spending *spending = data;

  charges_release (&spending->charges);
  free (spending);
}

static void
decide_due_spendings (struct fleet *fleet)
{
  const struct spending *next;

  while ((next = g_queue_peek_head (&fleet->spendings))
         && next->decide_ms <= fleet->now_ms)
    {
      struct spending *spending = g_queue_pop_head (&fleet->spendings);

      decide_spending (fleet, spending);
      spending_destroy (spending);
    }
}

/* Has hosts take any list for their own.  */
static void
blind (struct node *node, Peer__Frame *frame)
{
  if (frame->body_case == PEER__FRAME__BODY_LEDGER_PAGE)
    frame->ledger_page->list = 0;
  if (node && node->list && frame->body_case == PEER__FRAME__BODY_LEDGER_ASK)
    {
      struct keeper_set set = { 0 };
      struct host_location locations[SLOTS];
      size_t count = locate (node->fleet, node->list, -1, locations);

      keeper_set_assign (&set, locations, count, LOSSES);
      frame->ledger_ask->list = keeper_set_hash (&set);
      keeper_set_release (&set);
    }
}

static void
handle_event (struct fleet *fleet, struct event *event)
{
  struct node *node = event->to < SLOTS ? &fleet->nodes[event->to] : NULL;

  if (event->kind == EVENT_SYNC && node->life == event->life)
    end_sync (node, event->upto);
  if (event->kind == EVENT_LOADED && node->life == event->life)
    end_load (node, event);
  if (event->kind == EVENT_FRAME && !is_cut (fleet, event->from, event->to))
    {
      struct buf bytes = event->bytes;
      Peer__Frame *frame = packed_frame_unpack (&bytes);
      char name[16];

      snprintf (name, sizeof name, "%c%d", event->from < SLOTS ? 'k' : 'e',
                event->from < SLOTS ? event->from : event->from - SLOTS);
      if (has_fault ("blind-lists"))
        blind (node, frame);
      if (!node && frame->body_case == PEER__FRAME__BODY_LEDGER_ANSWERS)
        {
          if (event->to < SLOTS + WRITERS)
            handle_answers (fleet, event->from, frame->ledger_answers);
          for (size_t i = 0; event->to >= SLOTS + WRITERS
                             && i < frame->ledger_answers->n_answers;
               i++)
            take_spending_answer (fleet, event->from,
                                  frame->ledger_answers->answers[i]);
        }
      if (node && node->keeper)
        {
          if (event->from < SLOTS)
            node->heard_ms[event->from] = fleet->now_ms;
          keeper_handle_frame (node->keeper, name, frame);
        }
      peer__frame__free_unpacked (frame, NULL);
    }
  event_destroy (event);
}

/* Returns the version of the charge of SOURCE that is synced on the disk of
   NODE.  */
static uint64_t
disk_version (const struct node *node, uint64_t source)
{
  const uint64_t *version = g_hash_table_lookup (node->versions, &source);

  return version ? *version : 0;
}

/* Checks all charges that were acknowledged.  A keeper that answers for a
   program has them on its disk, or enough others have.  */
static void
check (struct fleet *fleet)
{
  for (int p = 0; p < PROGRAMS; p++)
    {
      uint64_t replicas = replicas_of (fleet, fleet->list, p);
      int quorum = (int)charges_quorum ((uint32_t)count_bits (replicas));
      uint64_t answering = 0;

      for (int i = 0; i < SLOTS; i++)
        if ((replicas >> i & 1) && fleet->nodes[i].keeper
            && keeper_answers_for (fleet->nodes[i].keeper, program_hash (p)))
          answering |= UINT64_C (1) << i;
      for (int w = 0; w < WRITERS; w++)
        {
          uint64_t version = fleet->acknowledged[w][p];
          uint64_t lacking = 0;

          for (int i = 0; version > 0 && i < SLOTS; i++)
            if ((answering >> i & 1)
                && disk_version (&fleet->nodes[i], fleet->writers[w].source[p])
                       < version)
              lacking |= UINT64_C (1) << i;
          if (count_bits (lacking) < quorum)
            continue;
          fleet->violations++;
          if (is_verbose)
            tell (fleet,
                  "program %d: version %" PRIu64
                  " of e%d is acknowledged; of keepers %llx, %llx answer "
                  "without it",
                  p, version, w, (unsigned long long)replicas,
                  (unsigned long long)lacking);
          fleet->acknowledged[w][p] = 0;
        }
    }
}

/* Events.  */

/* Returns how many disks count as lost.  */
static int
count_lost (const struct fleet *fleet)
{
  int count = 0;

  for (int i = 0; i < SLOTS; i++)
    count += fleet->nodes[i].lost_until_ms > fleet->now_ms;
  return count;
}

static int
random_listed (struct fleet *fleet)
{
  for (;;)
    {
      int index = (int)draw (fleet, SLOTS);

      if (fleet->nodes[index].is_listed && !fleet->nodes[index].is_gone)
        return index;
    }
}

static void
wipe_node (struct fleet *fleet, struct node *node)
{
  if (count_lost (fleet) >= LOSSES || node->is_retiring)
    return;
  tell (fleet, "k%d loses its disk", node->index);
  if (node->keeper)
    stop_node (node);
  erase_disk (node);
  start_node (node, false);
  node->lost_until_ms = fleet->now_ms + CATCH_UP_MS;
}

static void
wipe (struct fleet *fleet)
{
  wipe_node (fleet, &fleet->nodes[random_listed (fleet)]);
}

static void
lose_all_power (struct fleet *fleet)
{
  int wiped = draw (fleet, 2) == 0 ? LOSSES - count_lost (fleet) : 0;

  tell (fleet, "all lose power");
  for (int i = 0; i < SLOTS; i++)
    {
      struct node *node = &fleet->nodes[i];

      if (!node->keeper)
        continue;
      stop_node (node);
      lose_power (node);
      if (wiped > 0 && !node->is_retiring && draw (fleet, 3) == 0)
        {
          wiped--;
          tell (fleet, "k%d loses its disk, too", i);
          erase_disk (node);
          node->lost_until_ms = fleet->now_ms + 600 + CATCH_UP_MS;
        }
      start_node (node, false);
    }
}

static void
kill_one (struct fleet *fleet, bool has_power_loss)
{
  struct node *node = &fleet->nodes[random_listed (fleet)];

  if (!node->keeper)
    return;
  tell (fleet, "k%d is killed", node->index);
  stop_node (node);
  if (has_power_loss)
    lose_power (node);
  start_node (node, false);
}

static void
add_nodes (struct fleet *fleet, int count)
{
  for (int i = 0; i < SLOTS && count > 0; i++)
    {
      struct node *node = &fleet->nodes[i];

      if (node->has_started)
        continue;
      tell (fleet, "k%d is added", i);
      start_node (node, false);
      node->is_listed = true;
      fleet->list |= UINT64_C (1) << i;
      count--;
    }
  spread_list (fleet);
}

static void
replace (struct fleet *fleet)
{
  struct node *node = &fleet->nodes[random_listed (fleet)];

  if (count_lost (fleet) >= LOSSES || node->is_retiring
      || fleet->nodes[SLOTS - 1].has_started)
    return;
  tell (fleet, "k%d is gone for good", node->index);
  if (node->keeper)
    stop_node (node);
  node->is_gone = true;
  erase_disk (node);
  node->lost_until_ms = fleet->now_ms + 1000 + CATCH_UP_MS;
  add_nodes (fleet, 1);
}

static void
retire (struct fleet *fleet)
{
  struct node *node = &fleet->nodes[random_listed (fleet)];
  int listed = count_bits (fleet->list);

  if (listed <= 7 || !node->keeper)
    return;
  for (int i = 0; i < SLOTS; i++)
    if (fleet->nodes[i].is_retiring)
      return;
  tell (fleet, "k%d is to be retired", node->index);
  node->is_retiring = true;
}

static void
cut_some (struct fleet *fleet)
{
  if (fleet->cut)
    return;
  for (int i = 0, count = 1 + (int)draw (fleet, LOSSES); i < count; i++)
    fleet->cut |= UINT64_C (1) << random_listed (fleet);
  fleet->cut_until_ms = fleet->now_ms + 500 + draw (fleet, 5000);
  tell (fleet, "cut off: %llx", (unsigned long long)fleet->cut);
}

/* Kills all keepers of a random set but one, which loses its disk while the
   others are down.  They are back within a second.  */
static void
kill_others (struct fleet *fleet)
{
  struct node *left = &fleet->nodes[random_listed (fleet)];

  if (count_lost (fleet) >= LOSSES || !left->keeper || left->is_retiring)
    return;
  tell (fleet, "all but k%d are killed", left->index);
  for (int i = 0; i < SLOTS; i++)
    if (fleet->nodes[i].keeper && &fleet->nodes[i] != left
        && !fleet->nodes[i].is_retiring)
      {
        stop_node (&fleet->nodes[i]);
        fleet->nodes[i].start_due_ms = fleet->now_ms + DOWN_MS;
      }
  left->wipe_due_ms = fleet->now_ms + 1 + draw (fleet, DOWN_MS);
}

/* Cuts some off, of which one loses its disk before the end of the cut.  */
static void
cut_and_wipe (struct fleet *fleet)
{
  if (fleet->cut)
    return;
  cut_some (fleet);
  for (int i = 0; i < SLOTS; i++)
    if (fleet->cut >> i & 1)
      {
        fleet->nodes[i].wipe_due_ms = fleet->cut_until_ms - draw (fleet, 500);
        return;
      }
}

/* Starts the keepers that are due, and has those lose their disks that are.
 */
static void
play_due (struct fleet *fleet)
{
  for (int i = 0; i < SLOTS; i++)
    {
      struct node *node = &fleet->nodes[i];

      if (node->start_due_ms && node->start_due_ms <= fleet->now_ms)
        {
          node->start_due_ms = 0;
          if (!node->keeper && !node->is_gone)
            start_node (node, false);
        }
      if (!node->wipe_due_ms || node->wipe_due_ms > fleet->now_ms)
        continue;
      node->wipe_due_ms = 0;
      if (!node->is_gone && node->is_listed)
        wipe_node (fleet, node);
    }
}

static void
play_event (struct fleet *fleet)
{
  /* Those that this planted fault needs: changes of the list beside lost disks
     and kills.  */
  static const int list_events[] = { 0, 2, 3, 4, 4, 5, 5, 6, 8 };
  int64_t kind = has_fault ("blind-lists")
                     ? list_events[draw (fleet, G_N_ELEMENTS (list_events))]
                     : draw (fleet, 12);

  switch (kind)
    {
    case 9:
      kill_others (fleet);
      break;
    case 10:
    case 11:
      cut_and_wipe (fleet);
      break;
    case 0:
      wipe (fleet);
      break;
    case 1:
      lose_all_power (fleet);
      break;
    case 2:
      kill_one (fleet, draw (fleet, 2) == 0);
      break;
    case 3:
      add_nodes (fleet, 1 + (int)draw (fleet, 2));
      break;
    case 4:
      replace (fleet);
      break;
    case 5:
      retire (fleet);
      break;
    case 6:
      cut_some (fleet);
      break;
    case 7:
      fleet->refuses_writes = !fleet->refuses_writes;
      break;
    default:
      wipe (fleet);
      break;
    }
}

static void
tick_nodes (struct fleet *fleet)
{
  for (int i = (int)(fleet->now_ms % TICK_MS); i < SLOTS; i += TICK_MS)
    {
      struct node *node = &fleet->nodes[i];

      if (!node->keeper)
        continue;
      keeper_tick (node->keeper, fleet->now_ms);
      if (node->is_retiring && node->is_listed
          && keeper_hand_over (node->keeper, fleet->now_ms))
        remove_from_list (fleet, i);
      /* It is taken away once its removal is known to it. */
      if (node->is_retiring && !(node->list >> i & 1) && node->list != 0)
        {
          tell (fleet, "k%d is retired", i);
          stop_node (node);
          node->is_gone = true;
          erase_disk (node);
        }
    }
}

static void
apply_due_lists (struct fleet *fleet)
{
  for (int i = 0; i < SLOTS; i++)
    if (fleet->nodes[i].list_due_ms
        && fleet->nodes[i].list_due_ms <= fleet->now_ms
        && fleet->nodes[i].keeper)
      apply_list (&fleet->nodes[i]);
  for (int i = 0; i < WRITERS; i++)
    if (fleet->writers[i].list_due_ms
        && fleet->writers[i].list_due_ms <= fleet->now_ms)
      {
        fleet->writers[i].list_due_ms = 0;
        fleet->writers[i].list = fleet->list;
      }
}

static void
run (struct fleet *fleet)
{
  int64_t event_at_ms = fleet->now_ms + 6000;

  for (int64_t end_ms = fleet->now_ms + RUN_MS; fleet->now_ms < end_ms;)
    {
      struct event *event;

      fleet->now_ms++;
      while (
          (event = g_queue_pop_head (&fleet->ring[fleet->now_ms % RING_MS])))
        handle_event (fleet, event);
      apply_due_lists (fleet);
      play_due (fleet);
      tick_nodes (fleet);
      if (fleet->cut && fleet->now_ms >= fleet->cut_until_ms)
        fleet->cut = 0;
      for (int i = 0; i < WRITERS; i++)
        if ((fleet->now_ms + i * 3) % WRITE_MS == 0)
          charge (fleet, i);
      decide_due_spendings (fleet);
      for (int i = 0; i < SPENDERS; i++)
        if ((fleet->now_ms + i * 7) % SPEND_MS == 0)
          spend (fleet, i);
      if (fleet->now_ms >= event_at_ms)
        {
          event_at_ms = fleet->now_ms + 1 + draw (fleet, 2 * fleet->event_ms);
          /* Now and then all is calm, so that what was begun comes to its
             end. */
          if (draw (fleet, 12) == 0)
            event_at_ms += 9000;
          play_event (fleet);
        }
      if (fleet->now_ms % CHECK_MS == 0)
        check (fleet);
    }
}

static struct fleet *
create_fleet (uint64_t seed)
{
  struct fleet *fleet = xcalloc (1, sizeof *fleet);

  the_fleet = fleet;
  fleet->seed = seed;
  fleet->event_ms = seed % 2 == 0 ? RARE_EVENT_MS : EVENT_MS;
  fleet->now_ms = 100000;
  fleet->pending
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free);
  for (int i = 0; i < RING_MS; i++)
    g_queue_init (&fleet->ring[i]);
  for (int i = 0; i < SLOTS; i++)
    {
      struct node *node = &fleet->nodes[i];

      *node = (struct node){ .transport.vtable = &transport_vtable,
                             .fleet = fleet,
                             .index = i };
      snprintf (node->name, sizeof node->name, "k%d", i);
      snprintf (node->data_centre, sizeof node->data_centre, "d%d",
                i % CENTRES);
      node->disk = g_ptr_array_new_with_free_func (write_destroy);
      node->versions
          = g_hash_table_new_full (g_int64_hash, g_int64_equal, free, free);
    }
  for (int i = 0; i < STARTED; i++)
    {
      fleet->nodes[i].is_listed = true;
      fleet->list |= UINT64_C (1) << i;
    }
  for (int i = 0; i < STARTED; i++)
    start_node (&fleet->nodes[i], true);
  for (int i = 0; i < WRITERS; i++)
    {
      fleet->writers[i].list = fleet->list;
      for (int p = 0; p < PROGRAMS; p++)
        fleet->writers[i].source[p] = next_random (fleet);
    }
  for (int i = 0; i < BUDGETS; i++)
    fleet->budgets[i].turn_tokens = 10 + draw (fleet, MAX_TURN_TOKENS);
  return fleet;
}

static void
destroy_fleet (struct fleet *fleet)
{
  for (int i = 0; i < SLOTS; i++)
    {
      if (fleet->nodes[i].keeper)
        stop_node (&fleet->nodes[i]);
      g_ptr_array_free (fleet->nodes[i].disk, TRUE);
      g_hash_table_destroy (fleet->nodes[i].versions);
    }
  for (int i = 0; i < RING_MS; i++)
    g_queue_clear_full (&fleet->ring[i], event_destroy);
  g_hash_table_destroy (fleet->pending);
  g_queue_clear_full (&fleet->spendings, spending_destroy);
  free (fleet);
}

int
main (int argc, char **argv)
{
  uint64_t first = argc > 1 ? strtoull (argv[1], NULL, 10) : 1;
  uint64_t count = argc > 2 ? strtoull (argv[2], NULL, 10) : 1;
  uint32_t failed = 0;

  if (argc > 3)
    fault = argv[3];
  is_verbose = getenv ("VERBOSE") != NULL;
  log_init ("keepers", LOG_ERROR);
  for (uint64_t seed = first; seed < first + count; seed++)
    {
      struct fleet *fleet = create_fleet (seed);

      run (fleet);
      printf ("seed %" PRIu64
              ": %u acknowledged, %u turns granted, %u of them "
              "below a majority, %u violations\n",
              seed, fleet->acks, fleet->grants, fleet->small_grants,
              fleet->violations);
      failed += fleet->violations > 0;
      destroy_fleet (fleet);
    }
  if (*fault)
    printf ("fault %s: found by %u of %" PRIu64 " seeds\n", fault, failed,
            count);
  return (failed > 0) == (*fault != '\0') ? EXIT_SUCCESS : EXIT_FAILURE;
}
