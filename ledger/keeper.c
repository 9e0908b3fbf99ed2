#include "ledger/keeper.h"
#include "common/id.h"
#include "common/log.h"
#include "ledger/item.h"
#include "ledger/keeper_set.h"
#include "policy/charges.h"
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  PAGE_ITEMS = 500, /* about 20 KB per frame */
  /* Until an unanswered page request, or an unacknowledged hand-over of the
     ledger, is sent again. */
  PAGE_RETRY_MS = 500,
  /* A keeper that lost its disk waits before it reads from the others: answers
     that it sent before the loss may still be counted by requests in flight.
     ledger.c waits for answers for at most 300 ms, twice its
     ANSWER_TIMEOUT_MS. */
  READ_AFTER_MS = 1000,
  PROBE_INTERVAL_MS = 400, /* between liveness probes */
  SILENT_MS = 1200,        /* three unanswered probes */
  /* Until an absent keeper is reported again: the longest time that the call
     to the platform which removes it may take. */
  REPORT_INTERVAL_MS = 3000,
  /* Between the times from which the keepers, ordered by name, may act; see
     keeper_may_coordinate. */
  ACT_INTERVAL_MS = 2000,
  EXPIRE_INTERVAL_MS = 5000, /* between scans for expired accounts */
  /* Time in which keepers read, after a change of the list, what they have
     become a replica of.  The next change must come after it. */
  SETTLE_MS = 4000,
  WATCHERS = 3,          /* keepers that watch an entry host */
  MAX_RECORD_BYTES = 64, /* upper bound of a packed item */
  PROGRAM_TEXT_BYTES = 17,
  /* Key of the marker record, see write_marker.  No program id hashes to 1 in
     practice. */
  MARKER_PROGRAM = 1,
  MARKER_SOURCE = 1,
  /* Of charges that may be lost with a disk, see note_lost_charges. */
  DOUBT_SOURCE = 2,
  DOUBT_STEP_MS = 1000, /* a longer doubt is recorded in such steps */
  /* Keepers that a cut makes silent are last heard within this time: pings are
     PROBE_INTERVAL_MS apart. */
  CUT_SPREAD_MS = 1200,
  /* A full disk refuses charges for a while. */
  REWRITE_INTERVAL_MS = 250,
  REWRITTEN_PROGRAMS = 256, /* at a time */
};

/* The charges of one program.  Owned by the keeper. */
struct account
{
  uint64_t program;
  struct charges charges;
  int64_t last_used_ms;
  struct keeper_replicas replicas;
  uint64_t replicas_generation; /* of the list that they are selected from */
};

/* State of another keeper.  Owned by this keeper. */
struct remote_keeper
{
  char *name;
  uint64_t page_after;     /* the next page starts after this program */
  int64_t last_request_ms; /* last request for a page, or hand-over; 0: none */
  bool is_read;            /* read in full since it was last silent, by the
                              list that both have */
  bool is_silent;        /* for SILENT_MS; it may hold charges unknown here */
  int64_t heard_ms;      /* when it was last heard, as of the last probe */
  bool was_complete;     /* it has been read as complete since this host
                            started, or was listed before */
  bool is_complete;      /* its own is_complete, as of its last page */
  bool has_ledger;       /* it has acknowledged the ledger that was sent */
  uint64_t hand_over_id; /* id of the last item of the ledger as sent */
  bool is_ledger_sent;   /* this host has sent it the whole ledger */
  bool is_absent;        /* silent for options.absent_ms */
  int64_t absent_since_ms; /* when it became absent; 0 if present */
};

struct keeper
{
  struct keeper_options options;
  GTree *accounts; /* program -> struct account, sorted */
  struct remote_keeper *remotes;
  size_t remote_count;
  /* The keepers on the list.  This host follows the others, which have the
     indexes of their entries in remotes. */
  struct keeper_set set;
  uint64_t generation; /* of the list; grows with each change */
  uint64_t list;       /* hash of the list; 0 before it is known */
  /* The list by which this keeper last held each charge that it has to hold:
     it has read what that made it a keeper of.  No names where only the hash
     is known, from before a restart. */
  struct keeper_set synced;
  uint64_t synced_list;
  bool is_caught_up; /* has read the others since it started */
  int64_t list_changed_ms;
  bool is_complete;  /* see keeper_is_complete */
  bool is_disk_lost; /* the store had no marker on a restart */
  /* Until then, programs may have charges that were lost with a disk. */
  int64_t doubtful_until_ms;
  /* The same, as this host may have replaced a disk itself. */
  int64_t own_doubt_until_ms;
  uint32_t programs_loading; /* programs not yet read from the store */
  uint32_t reads_storing;    /* charges that were read, not yet on disk */
  GHashTable *refused;       /* programs with charges that the store refused */
  int64_t rewritten_ms;      /* when these were last written again */
  bool is_marking;           /* the marker is being written */
  bool is_handing_over;
  int64_t started_ms;
  int64_t last_probe_ms;  /* when the others were last probed */
  int64_t last_report_ms; /* when an absent keeper was last reported */
  char *removing;         /* absent keeper to report once the ledgers of the
                             present ones are in sync; NULL for none */
  int64_t last_expiry_ms;
};

/* An answer that is sent once its item is on disk. */
struct pending_answer
{
  struct keeper *keeper;
  char *host;
  uint64_t id;
  uint64_t program;
  bool is_handed_over;
};

/* A charge that is being stored without an answer. */
struct pending_charge
{
  struct keeper *keeper;
  uint64_t program;
  bool is_read; /* from another keeper */
};

static bool
send_frame (const struct keeper *keeper, const char *host,
            const Peer__Frame *frame)
{
  struct transport *transport = keeper->options.transport;

  return transport->vtable->send (transport, host, frame);
}

static int64_t
last_received_ms (const struct keeper *keeper, const char *host)
{
  struct transport *transport = keeper->options.transport;

  return transport->vtable->last_received_ms (transport, host);
}

static gint
compare_program_hashes (gconstpointer a, gconstpointer b, gpointer data)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return left < right ? -1 : left > right;
}

static void
account_destroy (gpointer data)
{
  struct account *account = data;

  charges_release (&account->charges);
  free (account);
}

/* Returns the account of PROGRAM, and counts this as a use of the program.  */
static struct account *
find_or_create_account (struct keeper *keeper, uint64_t program)
{
  struct account *account = g_tree_lookup (keeper->accounts, &program);

  if (!account)
    {
      account = xcalloc (1, sizeof *account);
      account->program = program;
      g_tree_insert (keeper->accounts, &account->program, account);
    }
  account->last_used_ms = clock_now_ms ();
  return account;
}

/* Returns the keepers that store ACCOUNT; none before the list is known.  */
static const struct keeper_replicas *
account_replicas (const struct keeper *keeper, struct account *account)
{
  if (account->replicas_generation != keeper->generation)
    {
      account->replicas = keeper_set_replicas (&keeper->set, account->program);
      account->replicas_generation = keeper->generation;
    }
  return &account->replicas;
}

static void
format_program (uint64_t program, char out[PROGRAM_TEXT_BYTES])
{
  snprintf (out, PROGRAM_TEXT_BYTES, "%016" PRIx64, program);
}

/* Merges ITEM in memory.  Returns whether it was new.  */
static bool
merge_item (struct keeper *keeper, const Peer__LedgerItem *item)
{
  struct charge entry = ledger_item_charge (item);

  return charges_merge (
      &find_or_create_account (keeper, item->program)->charges, &entry);
}

/* Appends ITEM to the store.  HANDLE is called with whether it is on disk.  */
static void
append_item (struct keeper *keeper, const Peer__LedgerItem *item,
             store_append_handler *handle, void *data)
{
  uint8_t packed[MAX_RECORD_BYTES];
  char program[PROGRAM_TEXT_BYTES];
  Peer__LedgerItem record = *item;
  size_t len;

  record.id = 0;
  format_program (item->program, program);
  if (peer__ledger_item__get_packed_size (&record) > sizeof packed)
    {
      handle (data, false);
      return;
    }
  len = peer__ledger_item__pack (&record, packed);
  store_append (keeper->options.store, program, packed, len, handle, data);
}

static void
set_items (Peer__LedgerItem *items, const struct account *account)
{
  for (size_t i = 0; i < account->charges.count; i++)
    ledger_item_set (&items[i], account->program,
                     &account->charges.entries[i]);
}

static int64_t
doubt_left_ms (const struct keeper *keeper)
{
  return MAX (keeper->doubtful_until_ms - clock_now_ms (), 0);
}

/* Whether charges of a program may have been lost with a disk, or another
   keeper of ACCOUNT may hold charges that this one lacks.  */
static bool
is_behind (const struct keeper *keeper, struct account *account)
{
  const struct keeper_replicas *replicas = account_replicas (keeper, account);

  if (keeper->list == 0 || keeper->list != keeper->synced_list
      || doubt_left_ms (keeper) > 0
      || keeper->own_doubt_until_ms > clock_now_ms ())
    return true;
  for (uint32_t i = 0; i < replicas->count; i++)
    {
      uint32_t index = replicas->keepers[i];

      if (index < keeper->remote_count
          && (keeper->remotes[index].is_silent
              || !keeper->remotes[index].is_read))
        return true;
    }
  return false;
}

/* Whether this keeper knows what was charged to ACCOUNT up to the cut that
   parts it from others now: it had read them, and they fell silent at the same
   time.  Those that fell silent earlier may since have been with the others,
   and these with them.  */
static bool
knows_charges_before_cut (const struct keeper *keeper, struct account *account)
{
  const struct keeper_replicas *replicas = account_replicas (keeper, account);
  int64_t first_ms = INT64_MAX;
  int64_t last_ms = 0;

  if (!keeper->is_caught_up || doubt_left_ms (keeper) > 0)
    return false;
  for (uint32_t i = 0; i < replicas->count; i++)
    {
      const struct remote_keeper *remote;

      if (replicas->keepers[i] >= keeper->remote_count)
        continue;
      remote = &keeper->remotes[replicas->keepers[i]];
      if (!remote->is_read || !remote->is_complete)
        return false;
      if (!remote->is_silent)
        continue;
      first_ms = MIN (first_ms, remote->heard_ms);
      last_ms = MAX (last_ms, remote->heard_ms);
    }
  return last_ms - first_ms <= CUT_SPREAD_MS || last_ms == 0;
}

/* Whether this host is one of the keepers of ACCOUNT by SET.  */
static bool
is_own_by (const struct keeper *keeper, const struct keeper_set *set,
           uint64_t program)
{
  int32_t self = keeper_set_find (set, keeper->options.host);
  struct keeper_replicas replicas;

  if (self < 0)
    return false;
  replicas = keeper_set_replicas (set, program);
  return keeper_replicas_contain (&replicas, (uint32_t)self);
}

/* Whether this keeper's answers on PROGRAM count towards a majority: it is one
   of the program's keepers, and holds every charge that it has to hold.  Right
   after a change of the list it does not answer for programs of which it has
   become a keeper, until it has read them.  */
bool
keeper_answers_for (const struct keeper *keeper, uint64_t program)
{
  if (!keeper->is_complete || keeper->list == 0
      || !is_own_by (keeper, &keeper->set, program))
    return false;
  return keeper->synced_list == keeper->list
         || is_own_by (keeper, &keeper->synced, program);
}

static void
send_answer (struct keeper *keeper, const char *host, uint64_t id,
             uint64_t program)
{
  struct account *account = find_or_create_account (keeper, program);
  size_t count = account->charges.count;
  Peer__LedgerItem *items = xcalloc (count + 1, sizeof *items);
  Peer__LedgerItem **list = ledger_items_list (items, count);
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LedgerAnswers answers = PEER__LEDGER_ANSWERS__INIT;
  Peer__LedgerAnswer answer = PEER__LEDGER_ANSWER__INIT;
  Peer__LedgerAnswer *only = &answer;

  set_items (items, account);
  answer.id = id;
  answer.entries = list;
  answer.n_entries = count;
  answer.behind = is_behind (keeper, account);
  answer.unsynced = !knows_charges_before_cut (keeper, account);
  answers.answers = &only;
  answers.n_answers = 1;
  frame.body_case = PEER__FRAME__BODY_LEDGER_ANSWERS;
  frame.ledger_answers = &answers;
  send_frame (keeper, host, &frame);
  free (list);
  free (items);
}

/* Has the charges of PROGRAM, which the store refused, appended again.  */
static void
record_refused (struct keeper *keeper, uint64_t program)
{
  g_hash_table_add (keeper->refused, g_memdup2 (&program, sizeof program));
}

static void
handle_answered_item_stored (void *data, bool is_stored)
{
  struct pending_answer *pending = data;
  struct keeper *keeper = pending->keeper;

  if (!is_stored)
    record_refused (keeper, pending->program);
  else if (pending->is_handed_over
           || keeper_answers_for (keeper, pending->program))
    send_answer (keeper, pending->host, pending->id, pending->program);
  free (pending->host);
  free (pending);
}

static void
handle_charge_stored (void *data, bool is_stored)
{
  struct pending_charge *pending = data;

  if (!is_stored)
    record_refused (pending->keeper, pending->program);
  if (pending->is_read)
    pending->keeper->reads_storing--;
  free (pending);
}

/* Stores ITEM without an answer.  */
static void
store_item (struct keeper *keeper, const Peer__LedgerItem *item, bool is_read)
{
  struct pending_charge *pending = xcalloc (1, sizeof *pending);

  *pending = (struct pending_charge){ .keeper = keeper,
                                      .program = item->program,
                                      .is_read = is_read };
  keeper->reads_storing += is_read;
  append_item (keeper, item, handle_charge_stored, pending);
}

/* Appends charges again that the store refused.  */
static void
rewrite_refused (struct keeper *keeper, int64_t now_ms)
{
  GList *programs;
  uint32_t count = 0;

  if (g_hash_table_size (keeper->refused) == 0
      || now_ms - keeper->rewritten_ms < REWRITE_INTERVAL_MS)
    return;
  keeper->rewritten_ms = now_ms;
  log_write (LOG_WARN, "keeper", NULL,
             "charges of %u programs could not be written to the store; they "
             "are written again",
             g_hash_table_size (keeper->refused));
  programs = g_hash_table_get_keys (keeper->refused);

  for (GList *at = programs; at && count < REWRITTEN_PROGRAMS;
       at = at->next, count++)
    {
      uint64_t program = *(const uint64_t *)at->data;
      const struct account *account
          = g_tree_lookup (keeper->accounts, &program);

      g_hash_table_remove (keeper->refused, &program);
      for (size_t i = 0; account && i < account->charges.count; i++)
        {
          Peer__LedgerItem item;

          ledger_item_set (&item, program, &account->charges.entries[i]);
          store_item (keeper, &item, true);
        }
    }
  g_list_free (programs);
}

/* Stores ITEM.  If it has an id, HOST is sent an answer once the item is on
   disk; then the item is appended even if it is not new, because its first
   copy may not be on disk yet.  A keeper whose answers would not count towards
   a majority answers only items that another keeper hands over.  */
static void
handle_item (struct keeper *keeper, const char *host,
             const Peer__LedgerItem *item, bool is_handed_over)
{
  bool is_new = merge_item (keeper, item);
  struct pending_answer *pending;

  if (item->id == 0
      || (!is_handed_over && !keeper_answers_for (keeper, item->program)))
    {
      if (is_new)
        store_item (keeper, item, false);
      return;
    }
  pending = xcalloc (1, sizeof *pending);
  pending->keeper = keeper;
  pending->host = xstrdup (host);
  pending->id = item->id;
  pending->program = item->program;
  pending->is_handed_over = is_handed_over;
  append_item (keeper, item, handle_answered_item_stored, pending);
}

/* Notes that charges may have been lost with a disk, which matters as long as
   programs may go on that were charged there, for another LEFT_MS.  Few
   keepers may have granted them, so that no other one knows of them: until
   then a majority leaves their part of each budget alone, and fewer grant
   nothing.  */
static void
note_lost_charges (struct keeper *keeper, int64_t left_ms, const char *name)
{
  int64_t until_ms
      = clock_now_ms () + MIN (left_ms, keeper->options.retention_ms);
  Peer__LedgerItem item;
  struct charge charge = { .source = DOUBT_SOURCE };

  if (until_ms <= keeper->doubtful_until_ms + DOUBT_STEP_MS)
    return;
  if (doubt_left_ms (keeper) == 0)
    log_write (
        LOG_WARN, "keeper", NULL,
        "the disk of keeper %s was lost, as this host knows or %s says; "
        "parts of budgets are withheld for %" PRId64 " ms",
        name, name, until_ms - clock_now_ms ());
  keeper->doubtful_until_ms = until_ms;
  /* Kept over restarts, by the time of day. */
  charge.version = (uint64_t)clock_unix_ms ();
  charge.tokens = clock_unix_ms () + until_ms - clock_now_ms ();
  ledger_item_set (&item, MARKER_PROGRAM, &charge);
  if (merge_item (keeper, &item))
    store_item (keeper, &item, false);
}

/* Returns the index of the keeper NAME, or -1 if it is not on the list.  */
static int32_t
find_remote_index (const struct keeper *keeper, const char *name)
{
  for (size_t i = 0; i < keeper->remote_count; i++)
    if (strcmp (keeper->remotes[i].name, name) == 0)
      return (int32_t)i;
  return -1;
}

static struct remote_keeper *
find_remote (struct keeper *keeper, const char *name)
{
  int32_t index = find_remote_index (keeper, name);

  return index >= 0 ? &keeper->remotes[index] : NULL;
}

/* A part of the ledger, in the order of the programs. */
struct page
{
  const struct keeper *keeper;
  /* Only accounts that this remote keeper stores, or will store without this
     host if IS_HAND_OVER; all if negative. */
  int32_t recipient;
  bool is_hand_over;
  Peer__LedgerItem *items;
  size_t count;
  uint64_t after; /* the page starts after this program; 0: at the first */
  uint64_t next;  /* last program on the page: "after" of the next page */
  bool has_more;  /* another page follows */
};

/* Whether the recipient of PAGE stores ACCOUNT.  */
static bool
is_for_recipient (const struct page *page, struct account *account)
{
  const struct keeper *keeper = page->keeper;
  struct keeper_set others = keeper->set;
  struct keeper_replicas replicas;

  if (page->recipient < 0 || account->program == MARKER_PROGRAM)
    return page->recipient < 0;
  if (!page->is_hand_over)
    return keeper_replicas_contain (account_replicas (keeper, account),
                                    (uint32_t)page->recipient);
  others.count = (uint32_t)keeper->remote_count;
  replicas = keeper_set_replicas (&others, account->program);
  return keeper_replicas_contain (&replicas, (uint32_t)page->recipient);
}

static gboolean
add_to_page (gpointer key, gpointer value, gpointer data)
{
  struct account *account = value;
  struct page *page = data;

  if ((account->program <= page->after && page->after > 0)
      || !is_for_recipient (page, account))
    return FALSE;
  if (page->count + account->charges.count > PAGE_ITEMS && page->count > 0)
    {
      page->has_more = true;
      return TRUE;
    }
  page->items
      = xrealloc (page->items, (page->count + account->charges.count + 1)
                                   * sizeof *page->items);
  set_items (&page->items[page->count], account);
  page->count += account->charges.count;
  page->next = account->program;
  return FALSE;
}

/* Notes what the question of HOST tells of its disk.  One that is new on the
   list has none to lose.  */
static void
note_ask (struct keeper *keeper, const char *host, const Peer__LedgerAsk *ask)
{
  const struct remote_keeper *remote = find_remote (keeper, host);

  if (ask->doubtful_ms > 0)
    note_lost_charges (keeper, ask->doubtful_ms, host);
  if (ask->has_lost_disk && remote && remote->was_complete)
    note_lost_charges (keeper, keeper->options.retention_ms, host);
}

/* Sends the page that ASK asks for to the keeper on HOST.  Sends nothing while
   the ledger is being loaded, and none to a host with another list: what it
   has to hold depends on that, and this keeper may still answer by its own.  A
   host of a build that names no list gets all.  */
static void
send_page (struct keeper *keeper, const char *host, const Peer__LedgerAsk *ask)
{
  struct page page
      = { .keeper = keeper,
          .recipient = ask->list ? find_remote_index (keeper, host) : -1,
          .after = ask->after,
          .next = ask->after };
  Peer__LedgerItem **list;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LedgerPage answer = PEER__LEDGER_PAGE__INIT;

  note_ask (keeper, host, ask);
  if (keeper->programs_loading > 0 || (ask->list && ask->list != keeper->list))
    return;
  g_tree_foreach (keeper->accounts, add_to_page, &page);
  list = ledger_items_list (page.items, page.count);
  answer.items = list;
  answer.n_items = page.count;
  answer.next = page.next;
  answer.last = !page.has_more;
  answer.whole = keeper->is_complete;
  answer.list = keeper->list;
  answer.doubtful_ms = (uint32_t)doubt_left_ms (keeper);
  frame.body_case = PEER__FRAME__BODY_LEDGER_PAGE;
  frame.ledger_page = &answer;
  send_frame (keeper, host, &frame);
  free (list);
  free (page.items);
}

/* Returns the charge of the marker record, or NULL.  */
static const struct charge *
find_marker (const struct keeper *keeper)
{
  uint64_t program = MARKER_PROGRAM;
  const struct account *account = g_tree_lookup (keeper->accounts, &program);

  return account ? charges_find (&account->charges, MARKER_SOURCE) : NULL;
}

static void check_synced (struct keeper *keeper);

static void
handle_marker_stored (void *data, bool is_stored)
{
  struct keeper *keeper = data;

  keeper->is_marking = false;
  if (!is_stored || keeper->is_complete)
    return;
  keeper->is_complete = true;
  log_write (LOG_INFO, "keeper", NULL,
             "the ledger is complete again: %d programs",
             g_tree_nnodes (keeper->accounts));
  check_synced (keeper);
}

/* Writes the marker record, which tells after a restart that the disk has not
   been lost, and by which list its content is all that this keeper has to
   hold: 0 where that is not known.  It is written once the disk holds every
   charge that was read.  */
static void
write_marker (struct keeper *keeper, uint64_t list)
{
  const struct charge *known = find_marker (keeper);
  struct charge charge = { .source = MARKER_SOURCE,
                           .version = known ? known->version + 1 : 1,
                           .tokens = (int64_t)list };
  Peer__LedgerItem marker;

  if (keeper->is_marking)
    return;
  keeper->is_marking = true;
  ledger_item_set (&marker, MARKER_PROGRAM, &charge);
  merge_item (keeper, &marker);
  append_item (keeper, &marker, handle_marker_stored, keeper);
}

static bool
is_read_whole (const struct keeper *keeper, const char *name)
{
  for (size_t i = 0; i < keeper->remote_count; i++)
    if (strcmp (keeper->remotes[i].name, name) == 0)
      return keeper->remotes[i].is_read && keeper->remotes[i].is_complete;
  return false;
}

/* Counts the keepers of the present list, and of the one that this keeper was
   last in sync with, that have not been read or did not hold everything
   themselves.  */
static uint32_t
count_unread (const struct keeper *keeper)
{
  uint32_t count = 0;

  for (size_t i = 0; i < keeper->remote_count; i++)
    count += !is_read_whole (keeper, keeper->remotes[i].name);
  for (uint32_t i = 0; i < keeper->synced.count; i++)
    count += strcmp (keeper->synced.names[i], keeper->options.host) != 0
             && keeper_set_find (&keeper->set, keeper->synced.names[i]) < 0;
  return count;
}

/* Whether so many keepers have been read that a read quorum of each program's
   is among them: each acknowledged charge is held by at least one of them.  If
   every other keeper has been read, nothing more can be found.  A keeper that
   does not know by which list its disk was whole reads all that it hears.  */
static bool
has_read_enough (const struct keeper *keeper)
{
  uint32_t replicas = MIN (keeper->set.wanted, keeper->set.count);
  bool knows_list = keeper->synced.count > 0 || keeper->is_disk_lost;
  bool has_read_all = true;
  bool has_read_heard = true;

  if (keeper->list == 0)
    return false;
  if (keeper->remote_count == 0)
    return !keeper->is_disk_lost;
  for (size_t i = 0; i < keeper->remote_count; i++)
    {
      const struct remote_keeper *remote = &keeper->remotes[i];

      has_read_all = has_read_all && remote->is_read;
      has_read_heard
          = has_read_heard && (remote->is_read || remote->is_silent);
    }
  return has_read_all
         || (count_unread (keeper)
                 <= replicas - 1 - charges_read_quorum (replicas)
             && (knows_list || has_read_heard));
}

static void
set_synced (struct keeper *keeper)
{
  keeper->synced_list = keeper->list;
  keeper_set_copy (&keeper->synced, &keeper->set);
}

/* Whether what was read is on disk.  */
static bool
has_stored_reads (const struct keeper *keeper)
{
  return keeper->reads_storing == 0
         && g_hash_table_size (keeper->refused) == 0;
}

/* Has this keeper answer for all programs that it stores by the present list,
   once it has read them and has them on disk.  One that lost its disk answers
   only after its marker is there, too.  */
static void
check_synced (struct keeper *keeper)
{
  if (keeper->programs_loading > 0 || !has_read_enough (keeper))
    return;
  keeper->is_caught_up = true;
  if (!has_stored_reads (keeper))
    return;
  if (!keeper->is_complete)
    {
      write_marker (keeper, 0);
      return;
    }
  if (keeper->synced_list == keeper->list)
    return;
  set_synced (keeper);
  log_write (LOG_INFO, "keeper", NULL,
             "holds all that it has to hold by list %" PRIu64
             ": %d programs, %u keepers not read",
             keeper->generation, g_tree_nnodes (keeper->accounts),
             count_unread (keeper));
  write_marker (keeper, keeper->list);
}

/* Merges a page.  It counts as read only if its sender has the list that this
   host has: it selects by that list, and has stopped to answer by an earlier
   one.  A build that names no list is trusted.  */
static void
handle_page (struct keeper *keeper, const char *host,
             const Peer__LedgerPage *page)
{
  struct remote_keeper *remote = find_remote (keeper, host);
  bool is_whole;

  for (size_t i = 0; i < page->n_items; i++)
    if (merge_item (keeper, page->items[i]))
      store_item (keeper, page->items[i], true);
  if (page->doubtful_ms > 0)
    note_lost_charges (keeper, page->doubtful_ms, host);
  if (!remote)
    return;
  remote->last_request_ms = 0;
  if (page->list && page->list != keeper->list)
    {
      remote->page_after = 0;
      return;
    }
  is_whole = page->whole && (remote->page_after == 0 || remote->is_complete);
  remote->page_after = page->next;
  remote->is_complete = is_whole;
  remote->was_complete = remote->was_complete || is_whole;
  if (page->last && !remote->is_read)
    log_write (LOG_INFO, "keeper", NULL,
               "read the ledger of keeper %s, which is %s: %zu charges on the "
               "last page, %d programs here, a list of %u keepers for %" PRId64
               " ms",
               remote->name, is_whole ? "complete" : "incomplete",
               page->n_items, g_tree_nnodes (keeper->accounts),
               keeper->set.count, clock_now_ms () - keeper->list_changed_ms);
  if (page->last)
    remote->is_read = true;
  check_synced (keeper);
}

/* Handles another keeper's acknowledgement of the ledger sent to it.  */
static void
handle_hand_over_answers (struct keeper *keeper, const char *host,
                          const Peer__LedgerAnswers *answers)
{
  struct remote_keeper *remote = find_remote (keeper, host);

  for (size_t i = 0; remote && i < answers->n_answers; i++)
    if (remote->is_ledger_sent
        && answers->answers[i]->id == remote->hand_over_id)
      remote->has_ledger = true;
}

/* Handles ledger frames from entry hosts and other keepers.  Ignores other
   frames.  */
void
keeper_handle_frame (struct keeper *keeper, const char *host,
                     const Peer__Frame *frame)
{
  switch (frame->body_case)
    {
    case PEER__FRAME__BODY_LEDGER_WRITE:
      for (size_t i = 0; i < frame->ledger_write->n_items; i++)
        handle_item (keeper, host, frame->ledger_write->items[i],
                     frame->ledger_write->hand_over);
      break;
    case PEER__FRAME__BODY_LEDGER_ASK:
      send_page (keeper, host, frame->ledger_ask);
      break;
    case PEER__FRAME__BODY_LEDGER_PAGE:
      handle_page (keeper, host, frame->ledger_page);
      break;
    case PEER__FRAME__BODY_LEDGER_ANSWERS:
      handle_hand_over_answers (keeper, host, frame->ledger_answers);
      break;
    default:
      break;
    }
}

/* Takes the present list for the one that this keeper is in sync with if it
   was so before a restart, or if IS_KNOWN.  */
static void
adopt_list (struct keeper *keeper, bool is_known)
{
  if (keeper->list == 0 || keeper->programs_loading > 0
      || !keeper->is_complete)
    return;
  if (is_known || keeper->synced_list == keeper->list)
    set_synced (keeper);
  check_synced (keeper);
}

/* Reads for how long charges may be missing, as of before the start.  */
static void
restore_doubt (struct keeper *keeper)
{
  uint64_t program = MARKER_PROGRAM;
  const struct account *account = g_tree_lookup (keeper->accounts, &program);
  const struct charge *doubt
      = account ? charges_find (&account->charges, DOUBT_SOURCE) : NULL;

  if (keeper->is_disk_lost)
    keeper->own_doubt_until_ms
        = clock_now_ms () + keeper->options.retention_ms;
  if (doubt && doubt->tokens > clock_unix_ms ())
    keeper->doubtful_until_ms = clock_now_ms ()
                                + MIN (doubt->tokens - clock_unix_ms (),
                                       keeper->options.retention_ms);
}

/* Decides, when the last program has been read from the store, whether the
   disk was lost.  */
static void
finish_loading (struct keeper *keeper)
{
  bool has_marker = find_marker (keeper) != NULL;

  keeper->is_disk_lost = !has_marker && !keeper->options.first_start;
  restore_doubt (keeper);
  keeper->is_complete = !keeper->is_disk_lost;
  if (has_marker)
    keeper->synced_list = (uint64_t)find_marker (keeper)->tokens;
  keeper->is_caught_up = keeper->options.first_start && !has_marker;
  if (keeper->is_complete && !has_marker)
    write_marker (keeper, 0);
  adopt_list (keeper, keeper->is_caught_up);
  log_write (LOG_INFO, "keeper", NULL,
             "loaded %d programs from the store; the ledger is %s",
             g_tree_nnodes (keeper->accounts),
             keeper->is_complete ? "complete"
                                 : "to be read from the other keepers");
}

static void
handle_program_loaded (void *data, const struct buf *records, size_t count)
{
  struct keeper *keeper = data;

  for (size_t i = 0; i < count; i++)
    {
      Peer__LedgerItem *item = peer__ledger_item__unpack (
          NULL, records[i].len, (const uint8_t *)records[i].data);

      if (!item)
        {
          log_write (LOG_WARN, "keeper", NULL,
                     "a ledger record could not be decoded and is skipped");
          continue;
        }
      merge_item (keeper, item);
      peer__ledger_item__free_unpacked (item, NULL);
    }
  if (--keeper->programs_loading == 0)
    finish_loading (keeper);
}

static void
load_program (void *data, const char *program)
{
  struct keeper *keeper = data;

  keeper->programs_loading++;
  store_fetch (keeper->options.store, program, handle_program_loaded, keeper);
}

/* Creates a keeper.  Its ledger is loaded from the store asynchronously, on
   the event loop.  */
struct keeper *
keeper_create (const struct keeper_options *options)
{
  struct keeper *keeper = xcalloc (1, sizeof *keeper);

  keeper->options = *options;
  keeper->started_ms = clock_now_ms ();
  keeper->accounts
      = g_tree_new_full (compare_program_hashes, NULL, NULL, account_destroy);
  keeper->refused
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, free, NULL);
  store_foreach_program (options->store, load_program, keeper);
  if (keeper->programs_loading == 0)
    finish_loading (keeper);
  return keeper;
}

static void
release_remotes (struct remote_keeper *remotes, size_t count)
{
  for (size_t i = 0; i < count; i++)
    free (remotes[i].name);
  free (remotes);
}

void
keeper_destroy (struct keeper *keeper)
{
  if (!keeper)
    return;
  release_remotes (keeper->remotes, keeper->remote_count);
  keeper_set_release (&keeper->set);
  keeper_set_release (&keeper->synced);
  g_hash_table_destroy (keeper->refused);
  free (keeper->removing);
  g_tree_destroy (keeper->accounts);
  free (keeper);
}

/* Copies the state of the keepers that stay on the list.  Where a program is
   stored by some keepers only, all are to be read again, as this host may have
   become one of its keepers.  */
static void
carry_remotes_over (struct keeper *keeper, struct remote_keeper *remotes)
{
  bool is_selective = keeper->set.count > keeper->set.wanted;

  for (size_t i = 0; i + 1 < keeper->set.count; i++)
    {
      const struct remote_keeper *known
          = find_remote (keeper, keeper->set.names[i]);

      if (known)
        remotes[i] = *known;
      else
        remotes[i].was_complete = keeper->generation == 0;
      remotes[i].name = xstrdup (keeper->set.names[i]);
      if (!is_selective)
        continue;
      remotes[i].is_read = false;
      remotes[i].page_after = 0;
      remotes[i].last_request_ms = 0;
    }
}

/* Notes the keepers that are no longer listed.  One that was silent has not
   handed its ledger over.  */
static void
note_removals (struct keeper *keeper)
{
  for (size_t i = 0; i < keeper->remote_count; i++)
    if (keeper->remotes[i].is_silent
        && keeper_set_find (&keeper->set, keeper->remotes[i].name) < 0)
      note_lost_charges (keeper, keeper->options.retention_ms,
                         keeper->remotes[i].name);
}

/* Sets the list of other keepers.  */
void
keeper_set_others (struct keeper *keeper, const struct host_location *others,
                   size_t count)
{
  struct host_location *all = xcalloc (count + 1, sizeof *all);
  struct remote_keeper *remotes = xcalloc (count + 1, sizeof *remotes);

  for (size_t i = 0; i < count; i++)
    all[i] = others[i];
  all[count]
      = (struct host_location){ .name = keeper->options.host,
                                .data_centre = keeper->options.data_centre };
  bool is_first = keeper->list == 0;
  bool stores_all = keeper->list != 0 && keeper->list == keeper->synced_list
                    && keeper->set.count <= keeper->set.wanted;

  if (keeper_set_assign (&keeper->set, all, count + 1, keeper->options.losses))
    {
      keeper->list = keeper_set_hash (&keeper->set);
      note_removals (keeper);
      carry_remotes_over (keeper, remotes);
      release_remotes (keeper->remotes, keeper->remote_count);
      keeper->remotes = remotes;
      keeper->remote_count = count;
      keeper->generation++;
      keeper->list_changed_ms = clock_now_ms ();
      log_write (LOG_INFO, "keeper", NULL,
                 "list of keepers %" PRIu64 ": %u keepers, %u of them store "
                 "each program",
                 keeper->generation, keeper->set.count, keeper->set.wanted);
      /* A keeper of all programs that stays one has nothing to read. */
      adopt_list (keeper,
                  (stores_all && keeper->set.count <= keeper->set.wanted)
                      || (is_first && keeper->options.first_start
                          && keeper->is_caught_up));
    }
  else
    free (remotes);
  free (all);
}

static void
request_pages (struct keeper *keeper, int64_t now_ms)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LedgerAsk ask = PEER__LEDGER_ASK__INIT;

  frame.body_case = PEER__FRAME__BODY_LEDGER_ASK;
  frame.ledger_ask = &ask;
  ask.list = keeper->list;
  ask.has_lost_disk = keeper->is_disk_lost && !keeper->is_complete;
  ask.doubtful_ms = (uint32_t)doubt_left_ms (keeper);
  for (size_t i = 0; i < keeper->remote_count; i++)
    {
      struct remote_keeper *remote = &keeper->remotes[i];

      if (remote->is_read || remote->is_silent
          || now_ms - remote->last_request_ms < PAGE_RETRY_MS)
        continue;
      remote->last_request_ms = now_ms;
      ask.after = remote->page_after;
      send_frame (keeper, remote->name, &frame);
    }
}

/* Programs found in a scan for unused ones. */
struct expiry
{
  int64_t oldest_ms;
  GArray *programs;
};

static gboolean
collect_expired (gpointer key, gpointer value, gpointer data)
{
  const struct account *account = value;
  struct expiry *expiry = data;

  if (account->last_used_ms < expiry->oldest_ms
      && account->program != MARKER_PROGRAM)
    g_array_append_val (expiry->programs, account->program);
  return FALSE;
}

static void
delete_expired (struct keeper *keeper, int64_t now_ms)
{
  struct expiry expiry
      = { .oldest_ms = now_ms - keeper->options.retention_ms,
          .programs = g_array_new (FALSE, FALSE, sizeof (uint64_t)) };

  g_tree_foreach (keeper->accounts, collect_expired, &expiry);
  for (guint i = 0; i < expiry.programs->len; i++)
    {
      uint64_t program = g_array_index (expiry.programs, uint64_t, i);
      char text[PROGRAM_TEXT_BYTES];

      format_program (program, text);
      store_delete (keeper->options.store, text);
      g_tree_remove (keeper->accounts, &program);
    }
  g_array_free (expiry.programs, TRUE);
}

/* Returns whether this keeper holds every charge that it has acknowledged,
   also before a loss of its disk.  Returns false until the store has been
   loaded.
 */
bool
keeper_is_complete (const struct keeper *keeper)
{
  return keeper->is_complete;
}

/* Sends REMOTE all accounts that it stores once this host is not on the list.
 */
static void
send_whole_ledger (struct keeper *keeper, struct remote_keeper *remote)
{
  struct page page = { .keeper = keeper,
                       .recipient = find_remote_index (keeper, remote->name),
                       .is_hand_over = true };
  Peer__LedgerItem **list;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LedgerWrite write = PEER__LEDGER_WRITE__INIT;

  do
    {
      page.after = page.next;
      page.count = 0;
      page.has_more = false;
      g_tree_foreach (keeper->accounts, add_to_page, &page);
      if (page.count == 0)
        break;
      remote->hand_over_id = id_random64 ();
      page.items[page.count - 1].id = remote->hand_over_id;
      list = ledger_items_list (page.items, page.count);
      write.items = list;
      write.n_items = page.count;
      write.hand_over = true;
      frame.body_case = PEER__FRAME__BODY_LEDGER_WRITE;
      frame.ledger_write = &write;
      send_frame (keeper, remote->name, &frame);
      free (list);
    }
  while (page.has_more);
  free (page.items);
  remote->has_ledger = remote->hand_over_id == 0;
  remote->is_ledger_sent = true;
}

/* Sends the whole ledger to the present keepers, again where the last attempt
   is unacknowledged.  Returns true once all of them have acknowledged it as
   written to disk.  */
static bool
hand_over_to_present (struct keeper *keeper, int64_t now_ms)
{
  bool done = true;

  for (size_t i = 0; i < keeper->remote_count; i++)
    {
      struct remote_keeper *remote = &keeper->remotes[i];

      if (remote->is_absent)
        continue;
      if (!remote->has_ledger
          && (!remote->is_ledger_sent
              || now_ms - remote->last_request_ms > PAGE_RETRY_MS))
        {
          remote->last_request_ms = now_ms;
          send_whole_ledger (keeper, remote);
        }
      done = done && remote->has_ledger;
    }
  return done;
}

static uint32_t
count_present (const struct keeper *keeper)
{
  uint32_t present = 1;

  for (size_t i = 0; i < keeper->remote_count; i++)
    present += !keeper->remotes[i].is_absent;
  return present;
}

/* Forgets what the others were sent before, as the ledger has grown since.  */
static void
forget_hand_over (struct keeper *keeper)
{
  for (size_t i = 0; i < keeper->remote_count; i++)
    {
      struct remote_keeper *remote = &keeper->remotes[i];

      remote->last_request_ms = 0;
      remote->hand_over_id = 0;
      remote->has_ledger = remote->is_ledger_sent = false;
    }
}

/* Sends the ledger to the other present keepers, so that this host can be
   removed from the list.  To be called repeatedly until it returns true: then
   they have it on disk.  */
bool
keeper_hand_over (struct keeper *keeper, int64_t now_ms)
{
  if (!keeper->is_handing_over)
    forget_hand_over (keeper);
  keeper->is_handing_over = true;
  return keeper->is_complete && count_present (keeper) > 1
         && hand_over_to_present (keeper, now_ms);
}

/* Whether this host's ledger is complete, and it hears most keepers.  */
static bool
has_majority (const struct keeper *keeper)
{
  return keeper->is_complete
         && count_present (keeper)
                >= charges_quorum ((uint32_t)keeper->remote_count + 1);
}

/* Returns whether this host may act on behalf of all keepers on a condition
   that holds since SINCE_MS.  Present keepers get permission one after the
   other, ordered by name and ACT_INTERVAL_MS apart, so that usually one acts.
   The later ones are the fallback where an earlier one is incomplete or has
   failed as well.  */
static bool
keeper_may_coordinate (const struct keeper *keeper, int64_t since_ms,
                       int64_t now_ms)
{
  int64_t rank = 0;

  if (!has_majority (keeper))
    return false;
  for (size_t i = 0; i < keeper->remote_count; i++)
    rank += !keeper->remotes[i].is_absent
            && strcmp (keeper->remotes[i].name, keeper->options.host) < 0;
  return now_ms - since_ms >= rank * ACT_INTERVAL_MS;
}

/* Returns the rank of this host among the present keepers that watch the entry
   host HOST, or -1 if it does not watch it.  Each entry host is watched by few
   keepers, so that a keeper pings only its part of the fleet.  */
static int32_t
watcher_rank (const struct keeper *keeper, const char *host)
{
  uint32_t watchers[REPLICAS_MAX];
  uint32_t count = replicas_select (id_hash_text (host), keeper->set.hosts,
                                    keeper->set.count, WATCHERS, watchers);
  int32_t rank = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      if (watchers[i] >= keeper->remote_count)
        return rank;
      rank += !keeper->remotes[watchers[i]].is_absent;
    }
  return -1;
}

/* Whether this host watches the entry host HOST.  */
bool
keeper_watches (const struct keeper *keeper, const char *host)
{
  return watcher_rank (keeper, host) >= 0;
}

/* Returns whether this host may have the entry host HOST removed, which has
   been absent since SINCE_MS.  Its watchers may one after the other; see
   keeper_may_coordinate.  */
bool
keeper_may_remove (const struct keeper *keeper, const char *host,
                   int64_t since_ms, int64_t now_ms)
{
  int32_t rank = watcher_rank (keeper, host);

  return rank >= 0 && has_majority (keeper)
         && now_ms - since_ms >= (int64_t)rank * ACT_INTERVAL_MS;
}

/* Updates which keepers are silent or absent, and pings all of them.  A keeper
   that was silent and is heard again is to be read anew.  */
static void
probe_remotes (struct keeper *keeper, int64_t now_ms)
{
  if (now_ms - keeper->last_probe_ms < PROBE_INTERVAL_MS)
    return;
  keeper->last_probe_ms = now_ms;
  for (size_t i = 0; i < keeper->remote_count; i++)
    {
      struct remote_keeper *remote = &keeper->remotes[i];
      int64_t heard_ms = last_received_ms (keeper, remote->name);

      if (heard_ms < keeper->started_ms)
        heard_ms = keeper->started_ms;
      remote->heard_ms = heard_ms;
      if (now_ms - heard_ms > SILENT_MS)
        remote->is_silent = true;
      else if (remote->is_silent)
        {
          remote->is_silent = remote->is_read = false;
          remote->page_after = 0;
        }
      remote->is_absent = now_ms - heard_ms > keeper->options.absent_ms;
      if (!remote->is_absent)
        remote->absent_since_ms = 0;
      else if (!remote->absent_since_ms)
        remote->absent_since_ms = now_ms;
      keeper->options.transport->vtable->ping (keeper->options.transport,
                                               remote->name);
    }
}

/* Starts to bring the present keepers to the same ledger: all are to be read,
   and to be sent the result, before ABSENT is reported.  */
static void
begin_sync_for_removal (struct keeper *keeper,
                        const struct remote_keeper *absent)
{
  keeper->removing = xstrdup (absent->name);
  log_write (LOG_INFO, "keeper", NULL,
             "keeper %s is absent; the ledgers of the other keepers are "
             "synchronized before it is removed from the list",
             absent->name);
  forget_hand_over (keeper);
  for (size_t i = 0; i < keeper->remote_count; i++)
    {
      keeper->remotes[i].page_after = 0;
      keeper->remotes[i].is_read = false;
    }
}

static void
end_sync_for_removal (struct keeper *keeper)
{
  free (keeper->removing);
  keeper->removing = NULL;
}

/* Whether every present keeper has been read since the list changed, and the
   others have had time to do the same.  */
static bool
is_settled (const struct keeper *keeper, int64_t now_ms)
{
  for (size_t i = 0; i < keeper->remote_count; i++)
    if (!keeper->remotes[i].is_absent && !keeper->remotes[i].is_read)
      return false;
  return now_ms - keeper->list_changed_ms >= SETTLE_MS;
}

/* Reports an absent keeper where each program is stored by some keepers only.
   One change of the list leaves any two majorities of a program's keepers with
   one in common (policy/replicas.h), so it waits only until the change before
   has settled.  */
static void
report_absent_replica (struct keeper *keeper, int64_t now_ms)
{
  if (!is_settled (keeper, now_ms))
    return;
  for (size_t i = 0; i < keeper->remote_count; i++)
    if (keeper->remotes[i].is_absent
        && keeper_may_coordinate (keeper, keeper->remotes[i].absent_since_ms,
                                  now_ms))
      {
        keeper->last_report_ms = now_ms;
        keeper->options.handle_absent (keeper->options.data,
                                       keeper->remotes[i].name);
        return;
      }
}

/* Reports an absent keeper to handle_absent, which removes it from the list.
   Where all keepers store all programs, the shorter list has a smaller
   majority, so the present keepers are brought to the same ledger first: then
   every majority still holds each charge.  */
static void
report_absent_keeper (struct keeper *keeper, int64_t now_ms)
{
  const struct remote_keeper *absent
      = keeper->removing ? find_remote (keeper, keeper->removing) : NULL;

  if (now_ms - keeper->last_report_ms < REPORT_INTERVAL_MS)
    return;
  if (keeper->set.count > keeper->set.wanted)
    {
      end_sync_for_removal (keeper);
      report_absent_replica (keeper, now_ms);
      return;
    }
  if (keeper->removing && (!absent || !absent->is_absent))
    {
      end_sync_for_removal (keeper);
      return;
    }
  for (size_t i = 0; i < keeper->remote_count && !keeper->removing; i++)
    if (keeper->remotes[i].is_absent
        && keeper_may_coordinate (keeper, keeper->remotes[i].absent_since_ms,
                                  now_ms))
      begin_sync_for_removal (keeper, &keeper->remotes[i]);
  if (!keeper->removing)
    return;
  for (size_t i = 0; i < keeper->remote_count; i++)
    if (!keeper->remotes[i].is_absent && !keeper->remotes[i].is_read)
      return;
  if (!hand_over_to_present (keeper, now_ms))
    return;
  keeper->last_report_ms = now_ms;
  keeper->options.handle_absent (keeper->options.data, keeper->removing);
  end_sync_for_removal (keeper);
}

/* Reads the ledger from keepers that were silent, or from all of them if the
   local one is lost, reports absent keepers, and deletes programs unused for
   retention_ms.  */
void
keeper_tick (struct keeper *keeper, int64_t now_ms)
{
  probe_remotes (keeper, now_ms);
  if (keeper->options.handle_absent)
    report_absent_keeper (keeper, now_ms);
  if (keeper->programs_loading == 0
      && (keeper->is_complete || now_ms - keeper->started_ms >= READ_AFTER_MS))
    request_pages (keeper, now_ms);
  rewrite_refused (keeper, now_ms);
  check_synced (keeper);
  if (now_ms - keeper->last_expiry_ms < EXPIRE_INTERVAL_MS)
    return;
  keeper->last_expiry_ms = now_ms;
  delete_expired (keeper, now_ms);
}
