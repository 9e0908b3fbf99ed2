#include "ledger/keeper.h"
#include "common/id.h"
#include "common/log.h"
#include "ledger/item.h"
#include "policy/charges.h"
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  PAGE_ITEMS = 500, /* about 20 KB a frame */
  ASK_MS = 500,     /* until a page is asked for again */
  /* What this host answered before it lost its disk may be counted until the
     question is over; ledger.c gives questions up after 300 ms. */
  READ_AFTER_MS = 1000,
  WATCH_MS = 400,   /* between questions for a sign of life */
  SILENT_MS = 1200, /* three questions without an answer */
  /* Until an absent keeper is reported again: as long as the call that takes
     it out may last. */
  REPORT_AGAIN_MS = 3000,
  ACT_AFTER_MS = 2000,    /* between one keeper's turn and the next one's */
  FORGET_EVERY_MS = 5000, /* between looks for programs to forget */
  RECORD_BYTES = 64,      /* of a packed item, with room */
  PROGRAM_TEXT_BYTES = 17,
  MARK_PROGRAM = 1, /* no hash of a program's id in practice */
};

/* Owned by the keeper. */
struct account
{
  uint64_t program;
  struct charges charges;
  int64_t used_ms;
};

/* Another keeper, from which a lost ledger is read.  Owned by the keeper. */
struct other
{
  char *name;
  uint64_t next; /* program to read on from */
  int64_t asked_ms;
  bool complete;     /* its ledger has been read since it was last silent */
  bool is_silent;    /* for SILENT_MS; it may charge what is not known here */
  bool whole;        /* and it knows all that was ever answered */
  bool handed;       /* it has all of this host's ledger */
  uint64_t hand_id;  /* of the last item handed over */
  bool is_handed_to; /* the items were sent */
  bool is_absent;    /* silent for long */
  int64_t absent_ms; /* since when; 0 where it is not */
};

struct keeper
{
  struct keeper_options options;
  GTree *accounts; /* program -> struct account, in order */
  struct other *others;
  size_t other_count;
  bool complete;
  bool lost;        /* the disk was empty where it should not be */
  uint32_t loading; /* programs still to be read from the disk */
  int64_t started_ms;
  int64_t watched_ms;  /* when the others were last looked at */
  int64_t reported_ms; /* when an absent one was last reported */
  char *removing;      /* absent keeper whose ledger is being made safe */
  int64_t forgot_ms;
};

/* An answer that waits for the disk. */
struct pending
{
  struct keeper *keeper;
  char *host;
  uint64_t id;
  uint64_t program;
};

static gint
compare_programs (gconstpointer a, gconstpointer b, gpointer data)
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

static struct account *
find_account (struct keeper *keeper, uint64_t program)
{
  struct account *account = g_tree_lookup (keeper->accounts, &program);

  if (!account)
    {
      account = xcalloc (1, sizeof *account);
      account->program = program;
      g_tree_insert (keeper->accounts, &account->program, account);
    }
  account->used_ms = clock_now_ms ();
  return account;
}

static void
program_text (uint64_t program, char out[PROGRAM_TEXT_BYTES])
{
  snprintf (out, PROGRAM_TEXT_BYTES, "%016" PRIx64, program);
}

static bool
merge_item (struct keeper *keeper, const Peer__LedgerItem *item)
{
  struct charge entry = ledger_item_charge (item);

  return charges_merge (&find_account (keeper, item->program)->charges,
                        &entry);
}

static void
append_item (struct keeper *keeper, const Peer__LedgerItem *item,
             store_append_handler *handle, void *data)
{
  uint8_t packed[RECORD_BYTES];
  char program[PROGRAM_TEXT_BYTES];
  Peer__LedgerItem record = *item;
  size_t len;

  record.id = 0;
  program_text (item->program, program);
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

/* Whether another keeper may know charges that this one does not.  */
static bool
is_behind (const struct keeper *keeper)
{
  for (size_t i = 0; i < keeper->other_count; i++)
    if (keeper->others[i].is_silent || !keeper->others[i].complete)
      return true;
  return false;
}

static void
send_answer (struct keeper *keeper, const char *host, uint64_t id,
             uint64_t program)
{
  struct account *account = find_account (keeper, program);
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
  answer.behind = is_behind (keeper);
  answers.answers = &only;
  answers.n_answers = 1;
  frame.body_case = PEER__FRAME__BODY_LEDGER_ANSWERS;
  frame.ledger_answers = &answers;
  mesh_send (keeper->options.mesh, host, &frame);
  free (list);
  free (items);
}

static void
handle_kept (void *data, bool kept)
{
  struct pending *pending = data;

  if (kept)
    send_answer (pending->keeper, pending->host, pending->id,
                 pending->program);
  else
    log_write (LOG_WARN, "keeper", NULL,
               "a charge could not be written; its host is not answered");
  free (pending->host);
  free (pending);
}

static void
handle_unasked (void *data, bool kept)
{
  if (!kept)
    log_write (LOG_WARN, "keeper", NULL, "a charge could not be written");
}

/* An item that brings nothing new is written all the same where an answer is
   due: its first copy may still be on its way to the disk.  */
static void
take_item (struct keeper *keeper, const char *host,
           const Peer__LedgerItem *item, bool is_handed_over)
{
  bool is_new = merge_item (keeper, item);
  struct pending *pending;

  if (item->id == 0 || (!keeper->complete && !is_handed_over))
    {
      if (is_new)
        append_item (keeper, item, handle_unasked, NULL);
      return;
    }
  pending = xcalloc (1, sizeof *pending);
  pending->keeper = keeper;
  pending->host = xstrdup (host);
  pending->id = item->id;
  pending->program = item->program;
  append_item (keeper, item, handle_kept, pending);
}

struct page
{
  Peer__LedgerItem *items;
  size_t count;
  uint64_t after;
  uint64_t next;
  bool full;
};

static gboolean
add_to_page (gpointer key, gpointer value, gpointer data)
{
  const struct account *account = value;
  struct page *page = data;

  if (account->program <= page->after && page->after > 0)
    return FALSE;
  if (page->count + account->charges.count > PAGE_ITEMS && page->count > 0)
    {
      page->full = true;
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

static void
send_page (struct keeper *keeper, const char *host, uint64_t after)
{
  struct page page = { .after = after, .next = after };
  Peer__LedgerItem **list;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LedgerPage answer = PEER__LEDGER_PAGE__INIT;

  if (keeper->loading > 0)
    return;
  g_tree_foreach (keeper->accounts, add_to_page, &page);
  list = ledger_items_list (page.items, page.count);
  answer.items = list;
  answer.n_items = page.count;
  answer.next = page.next;
  answer.last = !page.full;
  answer.whole = keeper->complete;
  frame.body_case = PEER__FRAME__BODY_LEDGER_PAGE;
  frame.ledger_page = &answer;
  mesh_send (keeper->options.mesh, host, &frame);
  free (list);
  free (page.items);
}

static struct other *
find_other (struct keeper *keeper, const char *name)
{
  for (size_t i = 0; i < keeper->other_count; i++)
    if (strcmp (keeper->others[i].name, name) == 0)
      return &keeper->others[i];
  return NULL;
}

/* A disk with this mark once held all that was answered until then.  */
static void
mark_disk (struct keeper *keeper)
{
  Peer__LedgerItem mark = PEER__LEDGER_ITEM__INIT;

  mark.program = MARK_PROGRAM;
  mark.version = 1;
  merge_item (keeper, &mark);
  append_item (keeper, &mark, handle_unasked, NULL);
}

/* A lost ledger is whole again once it has been read from so many keepers that
   know all that each charge that was answered lies with one of them.
   Where every other keeper has been read, nothing more can be known.  */
static void
check_complete (struct keeper *keeper)
{
  uint32_t whole = 0;
  uint32_t read = 0;

  for (size_t i = 0; i < keeper->other_count; i++)
    {
      read += keeper->others[i].complete;
      whole += keeper->others[i].complete && keeper->others[i].whole;
    }
  if (keeper->complete || !keeper->lost || read == 0)
    return;
  if (whole < charges_read_quorum ((uint32_t)keeper->other_count + 1)
      && read < keeper->other_count)
    return;
  keeper->complete = true;
  mark_disk (keeper);
  log_write (LOG_INFO, "keeper", NULL,
             "the ledger is whole again: read from %u of %zu keepers, %d "
             "programs",
             read, keeper->other_count, g_tree_nnodes (keeper->accounts));
}

static void
take_page (struct keeper *keeper, const char *host,
           const Peer__LedgerPage *page)
{
  struct other *other = find_other (keeper, host);

  for (size_t i = 0; i < page->n_items; i++)
    if (merge_item (keeper, page->items[i]))
      append_item (keeper, page->items[i], handle_unasked, NULL);
  if (!other)
    return;
  other->next = page->next;
  other->asked_ms = 0;
  other->whole = page->whole;
  if (page->last)
    other->complete = true;
  check_complete (keeper);
}

static void
take_answers (struct keeper *keeper, const char *host,
              const Peer__LedgerAnswers *answers)
{
  struct other *other = find_other (keeper, host);

  for (size_t i = 0; other && i < answers->n_answers; i++)
    if (other->is_handed_to && answers->answers[i]->id == other->hand_id)
      other->handed = true;
}

/* Takes frames of entry hosts and of other keepers.  Others are left alone. */
void
keeper_handle_frame (struct keeper *keeper, const char *host,
                     const Peer__Frame *frame)
{
  switch (frame->body_case)
    {
    case PEER__FRAME__BODY_LEDGER_WRITE:
      for (size_t i = 0; i < frame->ledger_write->n_items; i++)
        take_item (keeper, host, frame->ledger_write->items[i],
                   frame->ledger_write->hand_over);
      break;
    case PEER__FRAME__BODY_LEDGER_ASK:
      send_page (keeper, host, frame->ledger_ask->after);
      break;
    case PEER__FRAME__BODY_LEDGER_PAGE:
      take_page (keeper, host, frame->ledger_page);
      break;
    case PEER__FRAME__BODY_LEDGER_ANSWERS:
      take_answers (keeper, host, frame->ledger_answers);
      break;
    default:
      break;
    }
}

static void
finish_loading (struct keeper *keeper)
{
  uint64_t mark = MARK_PROGRAM;
  bool is_marked = g_tree_lookup (keeper->accounts, &mark) != NULL;

  keeper->lost = !is_marked && !keeper->options.first_start;
  keeper->complete = !keeper->lost;
  if (keeper->complete && !is_marked)
    mark_disk (keeper);
  log_write (LOG_INFO, "keeper", NULL,
             "%d programs on the disk; the ledger is %s",
             g_tree_nnodes (keeper->accounts),
             keeper->complete ? "whole" : "to be read from the others");
}

static void
handle_stored (void *data, const struct buf *records, size_t count)
{
  struct keeper *keeper = data;

  for (size_t i = 0; i < count; i++)
    {
      Peer__LedgerItem *item = peer__ledger_item__unpack (
          NULL, records[i].len, (const uint8_t *)records[i].data);

      if (!item)
        {
          log_write (LOG_WARN, "keeper", NULL,
                     "a record of the ledger cannot be read and is skipped");
          continue;
        }
      merge_item (keeper, item);
      peer__ledger_item__free_unpacked (item, NULL);
    }
  if (--keeper->loading == 0)
    finish_loading (keeper);
}

static void
handle_stored_program (void *data, const char *program)
{
  struct keeper *keeper = data;

  keeper->loading++;
  store_fetch (keeper->options.store, program, handle_stored, keeper);
}

/* Creates a keeper; what lies in its store is read on the loop.  */
struct keeper *
keeper_create (const struct keeper_options *options)
{
  struct keeper *keeper = xcalloc (1, sizeof *keeper);

  keeper->options = *options;
  keeper->started_ms = clock_now_ms ();
  keeper->accounts
      = g_tree_new_full (compare_programs, NULL, NULL, account_destroy);
  store_foreach_program (options->store, handle_stored_program, keeper);
  if (keeper->loading == 0)
    finish_loading (keeper);
  return keeper;
}

static void
release_others (struct other *others, size_t count)
{
  for (size_t i = 0; i < count; i++)
    free (others[i].name);
  free (others);
}

/* Frees the keeper.  */
void
keeper_destroy (struct keeper *keeper)
{
  if (!keeper)
    return;
  release_others (keeper->others, keeper->other_count);
  free (keeper->removing);
  g_tree_destroy (keeper->accounts);
  free (keeper);
}

/* Names the other keepers.  What was read from one that stays is kept.  */
void
keeper_set_others (struct keeper *keeper, const struct strings *names)
{
  struct other *others = xcalloc (names->count + 1, sizeof *others);
  struct other *old = keeper->others;
  size_t old_count = keeper->other_count;

  for (size_t i = 0; i < names->count; i++)
    {
      const struct other *known = find_other (keeper, names->items[i]);

      if (known)
        others[i] = *known;
      others[i].name = xstrdup (names->items[i]);
    }
  keeper->others = others;
  keeper->other_count = names->count;
  release_others (old, old_count);
  check_complete (keeper);
}

static void
ask_others (struct keeper *keeper, int64_t now_ms)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LedgerAsk ask = PEER__LEDGER_ASK__INIT;

  frame.body_case = PEER__FRAME__BODY_LEDGER_ASK;
  frame.ledger_ask = &ask;
  for (size_t i = 0; i < keeper->other_count; i++)
    {
      struct other *other = &keeper->others[i];

      if (other->complete || other->is_silent
          || now_ms - other->asked_ms < ASK_MS)
        continue;
      other->asked_ms = now_ms;
      ask.after = other->next;
      mesh_send (keeper->options.mesh, other->name, &frame);
    }
}

struct forgetting
{
  int64_t oldest_ms;
  GArray *programs;
};

static gboolean
note_stale (gpointer key, gpointer value, gpointer data)
{
  const struct account *account = value;
  struct forgetting *forgetting = data;

  if (account->used_ms < forgetting->oldest_ms
      && account->program != MARK_PROGRAM)
    g_array_append_val (forgetting->programs, account->program);
  return FALSE;
}

static void
forget_stale (struct keeper *keeper, int64_t now_ms)
{
  struct forgetting forgetting
      = { .oldest_ms = now_ms - keeper->options.retention_ms,
          .programs = g_array_new (FALSE, FALSE, sizeof (uint64_t)) };

  g_tree_foreach (keeper->accounts, note_stale, &forgetting);
  for (guint i = 0; i < forgetting.programs->len; i++)
    {
      uint64_t program = g_array_index (forgetting.programs, uint64_t, i);
      char text[PROGRAM_TEXT_BYTES];

      program_text (program, text);
      store_delete (keeper->options.store, text);
      g_tree_remove (keeper->accounts, &program);
    }
  g_array_free (forgetting.programs, TRUE);
}

/* Whether this host knows all that was ever answered.  */
bool
keeper_is_complete (const struct keeper *keeper)
{
  return keeper->complete;
}

static void
hand_to (struct keeper *keeper, struct other *other)
{
  struct page page = { 0 };
  Peer__LedgerItem **list;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LedgerWrite write = PEER__LEDGER_WRITE__INIT;

  do
    {
      page.after = page.next;
      page.count = 0;
      page.full = false;
      g_tree_foreach (keeper->accounts, add_to_page, &page);
      if (page.count == 0)
        break;
      other->hand_id = id_random64 ();
      page.items[page.count - 1].id = other->hand_id;
      list = ledger_items_list (page.items, page.count);
      write.items = list;
      write.n_items = page.count;
      write.hand_over = true;
      frame.body_case = PEER__FRAME__BODY_LEDGER_WRITE;
      frame.ledger_write = &write;
      mesh_send (keeper->options.mesh, other->name, &frame);
      free (list);
    }
  while (page.full);
  free (page.items);
  other->handed = other->hand_id == 0;
  other->is_handed_to = true;
}

/* Gives the whole ledger to the keepers that are there.  True once all of them
   have it on disk.  */
static bool
hand_to_present (struct keeper *keeper, int64_t now_ms)
{
  bool done = true;

  for (size_t i = 0; i < keeper->other_count; i++)
    {
      struct other *other = &keeper->others[i];

      if (other->is_absent)
        continue;
      if (!other->handed
          && (!other->is_handed_to || now_ms - other->asked_ms > ASK_MS))
        {
          other->asked_ms = now_ms;
          hand_to (keeper, other);
        }
      done = done && other->handed;
    }
  return done;
}

static uint32_t
count_present (const struct keeper *keeper)
{
  uint32_t present = 1;

  for (size_t i = 0; i < keeper->other_count; i++)
    present += !keeper->others[i].is_absent;
  return present;
}

/* Gives the whole ledger to every other keeper, so that this host can go.
   Call it until it returns true: then all that are there have it on disk.  */
bool
keeper_hand_over (struct keeper *keeper, int64_t now_ms)
{
  return keeper->complete && count_present (keeper) > 1
         && hand_to_present (keeper, now_ms);
}

/* Whether this host may act for all keepers on something that is known since
   SINCE_MS.  They do so one after the other, by name, so that it is mostly
   one; those that do not act may not know all, or be gone, too.  */
bool
keeper_may_act (const struct keeper *keeper, int64_t since_ms, int64_t now_ms)
{
  int64_t rank = 0;

  if (!keeper->complete
      || count_present (keeper)
             < charges_quorum ((uint32_t)keeper->other_count + 1))
    return false;
  for (size_t i = 0; i < keeper->other_count; i++)
    rank += !keeper->others[i].is_absent
            && strcmp (keeper->others[i].name, keeper->options.host) < 0;
  return now_ms - since_ms >= rank * ACT_AFTER_MS;
}

static void
watch_others (struct keeper *keeper, int64_t now_ms)
{
  if (now_ms - keeper->watched_ms < WATCH_MS)
    return;
  keeper->watched_ms = now_ms;
  for (size_t i = 0; i < keeper->other_count; i++)
    {
      struct other *other = &keeper->others[i];
      int64_t heard_ms
          = mesh_last_received_ms (keeper->options.mesh, other->name);

      if (heard_ms < keeper->started_ms)
        heard_ms = keeper->started_ms;
      if (now_ms - heard_ms > SILENT_MS)
        other->is_silent = true;
      else if (other->is_silent)
        {
          other->is_silent = other->complete = false;
          other->next = 0;
        }
      other->is_absent = now_ms - heard_ms > keeper->options.absent_ms;
      if (!other->is_absent)
        other->absent_ms = 0;
      else if (!other->absent_ms)
        other->absent_ms = now_ms;
      mesh_ping (keeper->options.mesh, other->name);
    }
}

static void
begin_removal (struct keeper *keeper, const struct other *absent)
{
  keeper->removing = xstrdup (absent->name);
  log_write (LOG_INFO, "keeper", NULL,
             "keeper %s is silent; the others' ledgers are made the same "
             "before it is taken out",
             absent->name);
  for (size_t i = 0; i < keeper->other_count; i++)
    {
      struct other *other = &keeper->others[i];

      other->next = 0;
      other->asked_ms = 0;
      other->hand_id = 0;
      other->complete = other->handed = other->is_handed_to = false;
    }
}

static void
end_removal (struct keeper *keeper)
{
  free (keeper->removing);
  keeper->removing = NULL;
}

/* With an absent keeper out of the list a majority is smaller.  So that it
   still holds each charge, the keepers that are there get the same ledger
   first.  */
static void
remove_absent (struct keeper *keeper, int64_t now_ms)
{
  const struct other *absent
      = keeper->removing ? find_other (keeper, keeper->removing) : NULL;

  if (now_ms - keeper->reported_ms < REPORT_AGAIN_MS)
    return;
  if (keeper->removing && (!absent || !absent->is_absent))
    {
      end_removal (keeper);
      return;
    }
  for (size_t i = 0; i < keeper->other_count && !keeper->removing; i++)
    if (keeper->others[i].is_absent
        && keeper_may_act (keeper, keeper->others[i].absent_ms, now_ms))
      begin_removal (keeper, &keeper->others[i]);
  if (!keeper->removing)
    return;
  for (size_t i = 0; i < keeper->other_count; i++)
    if (!keeper->others[i].is_absent && !keeper->others[i].complete)
      return;
  if (!hand_to_present (keeper, now_ms))
    return;
  keeper->reported_ms = now_ms;
  keeper->options.handle_absent (keeper->options.data, keeper->removing);
  end_removal (keeper);
}

/* Reads the ledgers of keepers that were silent, or of all where this one's is
   lost, takes out keepers that are gone, and forgets programs that are long
   unused.  */
void
keeper_tick (struct keeper *keeper, int64_t now_ms)
{
  watch_others (keeper, now_ms);
  if (keeper->options.handle_absent)
    remove_absent (keeper, now_ms);
  if (keeper->loading == 0
      && (keeper->complete || now_ms - keeper->started_ms >= READ_AFTER_MS))
    ask_others (keeper, now_ms);
  if (now_ms - keeper->forgot_ms < FORGET_EVERY_MS)
    return;
  keeper->forgot_ms = now_ms;
  forget_stale (keeper, now_ms);
}
