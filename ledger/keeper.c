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
  bool is_read;            /* read in full since it was last silent */
  bool is_silent;        /* for SILENT_MS; it may hold charges unknown here */
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
  int64_t list_changed_ms;
  bool is_complete;          /* see keeper_is_complete */
  bool is_disk_lost;         /* the store had no marker on a restart */
  uint32_t programs_loading; /* programs not yet read from the store */
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

/* Returns whether another keeper of ACCOUNT may hold charges that this one
   lacks.  */
static bool
is_behind (const struct keeper *keeper, struct account *account)
{
  const struct keeper_replicas *replicas = account_replicas (keeper, account);

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
  answers.answers = &only;
  answers.n_answers = 1;
  frame.body_case = PEER__FRAME__BODY_LEDGER_ANSWERS;
  frame.ledger_answers = &answers;
  send_frame (keeper, host, &frame);
  free (list);
  free (items);
}

static void
handle_answered_item_stored (void *data, bool is_stored)
{
  struct pending_answer *pending = data;

  if (is_stored)
    send_answer (pending->keeper, pending->host, pending->id,
                 pending->program);
  else
    log_write (
        LOG_WARN, "keeper", NULL,
        "a charge could not be written to the store; no answer is sent");
  free (pending->host);
  free (pending);
}

static void
handle_unanswered_item_stored (void *data, bool is_stored)
{
  if (!is_stored)
    log_write (LOG_WARN, "keeper", NULL,
               "a charge could not be written to the store");
}

/* Stores ITEM.  If it has an id, HOST is sent an answer once the item is on
   disk; then the item is appended even if it is not new, because its first
   copy may not be on disk yet.  An incomplete keeper answers only items that
   another keeper hands over, so that its answers do not count towards a
   majority.  */
static void
handle_item (struct keeper *keeper, const char *host,
             const Peer__LedgerItem *item, bool is_handed_over)
{
  bool is_new = merge_item (keeper, item);
  struct pending_answer *pending;

  if (item->id == 0 || (!keeper->is_complete && !is_handed_over))
    {
      if (is_new)
        append_item (keeper, item, handle_unanswered_item_stored, NULL);
      return;
    }
  pending = xcalloc (1, sizeof *pending);
  pending->keeper = keeper;
  pending->host = xstrdup (host);
  pending->id = item->id;
  pending->program = item->program;
  append_item (keeper, item, handle_answered_item_stored, pending);
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

/* Sends the page after program AFTER to the keeper on HOST.  Sends nothing
   while the ledger is being loaded.  */
static void
send_page (struct keeper *keeper, const char *host, uint64_t after)
{
  struct page page = { .keeper = keeper,
                       .recipient = find_remote_index (keeper, host),
                       .after = after,
                       .next = after };
  Peer__LedgerItem **list;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LedgerPage answer = PEER__LEDGER_PAGE__INIT;

  if (keeper->programs_loading > 0)
    return;
  g_tree_foreach (keeper->accounts, add_to_page, &page);
  list = ledger_items_list (page.items, page.count);
  answer.items = list;
  answer.n_items = page.count;
  answer.next = page.next;
  answer.last = !page.has_more;
  answer.whole = keeper->is_complete;
  frame.body_case = PEER__FRAME__BODY_LEDGER_PAGE;
  frame.ledger_page = &answer;
  send_frame (keeper, host, &frame);
  free (list);
  free (page.items);
}

/* Writes the marker record, which tells after a restart that the disk has not
   been lost: it is written once the disk holds every charge acknowledged so
   far.  */
static void
write_marker (struct keeper *keeper)
{
  Peer__LedgerItem marker = PEER__LEDGER_ITEM__INIT;

  marker.program = MARKER_PROGRAM;
  marker.version = 1;
  merge_item (keeper, &marker);
  append_item (keeper, &marker, handle_unanswered_item_stored, NULL);
}

/* Marks a lost ledger as complete once it has been read from so many complete
   keepers that a read quorum of each program's is among them: each
   acknowledged charge is held by at least one of them.  If every other keeper
   has been read, nothing more can be recovered, so the ledger is complete as
   well.  */
static void
check_complete (struct keeper *keeper)
{
  uint32_t replicas = MIN (keeper->set.wanted, keeper->set.count);
  uint32_t unread_max; /* of the other keepers of a program */
  uint32_t complete = 0;
  uint32_t read = 0;

  for (size_t i = 0; i < keeper->remote_count; i++)
    {
      read += keeper->remotes[i].is_read;
      complete += keeper->remotes[i].is_read && keeper->remotes[i].is_complete;
    }
  if (keeper->is_complete || !keeper->is_disk_lost || read == 0)
    return;
  unread_max = replicas - 1 - charges_read_quorum (replicas);
  if (complete + unread_max < keeper->remote_count
      && read < keeper->remote_count)
    return;
  keeper->is_complete = true;
  write_marker (keeper);
  log_write (LOG_INFO, "keeper", NULL,
             "the ledger is complete again: read from %u of %zu keepers, %d "
             "programs",
             read, keeper->remote_count, g_tree_nnodes (keeper->accounts));
}

static void
handle_page (struct keeper *keeper, const char *host,
             const Peer__LedgerPage *page)
{
  struct remote_keeper *remote = find_remote (keeper, host);

  for (size_t i = 0; i < page->n_items; i++)
    if (merge_item (keeper, page->items[i]))
      append_item (keeper, page->items[i], handle_unanswered_item_stored,
                   NULL);
  if (!remote)
    return;
  remote->page_after = page->next;
  remote->last_request_ms = 0;
  remote->is_complete = page->whole;
  if (page->last && !remote->is_read)
    log_write (LOG_INFO, "keeper", NULL,
               "read the ledger of keeper %s, which is %s: %zu charges on the "
               "last page, %d programs here, a list of %u keepers for %" PRId64
               " ms",
               remote->name, page->whole ? "complete" : "incomplete",
               page->n_items, g_tree_nnodes (keeper->accounts),
               keeper->set.count, clock_now_ms () - keeper->list_changed_ms);
  if (page->last)
    remote->is_read = true;
  check_complete (keeper);
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
      send_page (keeper, host, frame->ledger_ask->after);
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

/* Decides, when the last program has been read from the store, whether the
   disk was lost.  */
static void
finish_loading (struct keeper *keeper)
{
  uint64_t marker = MARKER_PROGRAM;
  bool has_marker = g_tree_lookup (keeper->accounts, &marker) != NULL;

  keeper->is_disk_lost = !has_marker && !keeper->options.first_start;
  keeper->is_complete = !keeper->is_disk_lost;
  if (keeper->is_complete && !has_marker)
    write_marker (keeper);
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
      remotes[i].name = xstrdup (keeper->set.names[i]);
      if (!is_selective)
        continue;
      remotes[i].is_read = false;
      remotes[i].page_after = 0;
      remotes[i].last_request_ms = 0;
    }
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
  if (keeper_set_assign (&keeper->set, all, count + 1, keeper->options.losses))
    {
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
      check_complete (keeper);
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

/* Whether this keeper's answers on PROGRAM count, as far as it knows.  */
bool
keeper_answers_for (const struct keeper *keeper, uint64_t program)
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

/* Sends the ledger to the other present keepers, so that this host can be
   removed from the list.  To be called repeatedly until it returns true: then
   they have it on disk.  */
bool
keeper_hand_over (struct keeper *keeper, int64_t now_ms)
{
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
  for (size_t i = 0; i < keeper->remote_count; i++)
    {
      struct remote_keeper *remote = &keeper->remotes[i];

      remote->page_after = 0;
      remote->last_request_ms = 0;
      remote->hand_over_id = 0;
      remote->is_read = remote->has_ledger = remote->is_ledger_sent = false;
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
  if (now_ms - keeper->last_expiry_ms < EXPIRE_INTERVAL_MS)
    return;
  keeper->last_expiry_ms = now_ms;
  delete_expired (keeper, now_ms);
}
