#include "conversation/keeper.h"
#include "common/counters.h"
#include "common/id.h"
#include "common/log.h"
#include "common/memory.h"
#include "conversation/keeper_state.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MS_PER_S = 1000,
  /* A keeper gets a turn before its response ends; the margin covers the time
     between, and the time that a read takes. */
  EXPIRY_MARGIN_MS = 10000,
  EXPIRE_STEP = 64,    /* groups deleted in a tick */
  BUSY_GROUP_MS = 500, /* until an expired group in use is tried again */
  /* Time for which an unclean loss leaves misses uncertain, if the configured
     retention is not known from a write. */
  ASSUMED_RETENTION_S = 600,
  DEFAULT_CONTENT_BYTES = 24 * 1024 * 1024,
  /* About 200 bytes each; five times what 190 turns a second need that are
     kept for 70 s, and a sixth of 130 MB of memory. */
  DEFAULT_TURNS_MAX = 100 * 1000,
  /* New chains are refused above this part of the limits, so that those begun
     before can go on. */
  NEW_CHAIN_PERCENT = 80,
  /* A program's turns are read and copied as a whole.  The longest programs
     have about 40 turns, 31 KB and then 5 KB each. */
  GROUP_BYTES_MAX = 2 * 1024 * 1024,
  MAX_PENDING_BYTES = 12 * 1024 * 1024, /* of records that wait for the disk */
  MAX_WAITERS = 512,                    /* for reads of the disk */
  /* Of groups that are read from the disk at a time: they are in memory as a
     whole until all jobs of the disk before the next sync are done.  A disk
     that needs longer for them answers too late for hosts that read. */
  MAX_FETCH_BYTES = 8 * 1024 * 1024,
  MAX_ID_BYTES = 512,
  FULL_RETRY_MS = 1000, /* new chains are refused after a failed write */
  LOAD_WINDOW = 8,      /* groups that are read at a time after a start */
  GROUP_TEXT_BYTES = 17,
};

/* Program of the store under which the marker record is, see
   keeper_write_marker.  Groups have hexadecimal numbers.  */
static const char MARKER[] = "marker";

/* Who is told when a turn is durable or has failed: a host, or a group's
   receipt. */
struct turn_waiter
{
  char *host;
  uint64_t id;
  struct group_receipt *receipt;
};

/* A record that is being written. */
struct pending_record
{
  struct conversation_keeper *keeper;
  struct kept_turn *turn;
  size_t bytes;
};

/* Who gets a group that is read from the disk: a host that reads TURN, or a
   keeper that gets all of it. */
struct fetch_waiter
{
  char *host;
  uint64_t id;
  struct kept_turn *turn; /* NULL: the whole group */
};

struct group_fetch
{
  struct conversation_keeper *keeper;
  uint64_t group;
  uint64_t bytes; /* on the disk, when the fetch began */
  GSList *waiters;
};

static void
format_group (uint64_t group, char out[GROUP_TEXT_BYTES])
{
  snprintf (out, GROUP_TEXT_BYTES, "%016" PRIx64, group);
}

/* Sends FRAME to HOST.  A frame that cannot be sent counts as lost: the other
   side asks again.  */
void
keeper_send (struct conversation_keeper *keeper, const char *host,
             const Peer__Frame *frame)
{
  struct transport *transport = keeper->options.transport;

  transport->vtable->send (transport, host, frame);
}

/* Returns for how long a turn is kept at the longest.  */
int64_t
keeper_retention_ms (const struct conversation_keeper *keeper)
{
  uint32_t retention_s
      = keeper->retention_s ? keeper->retention_s : ASSUMED_RETENTION_S;

  return (int64_t)retention_s * MS_PER_S + EXPIRY_MARGIN_MS;
}

/* Whether writes or reads of the store are unfinished.  */
bool
keeper_is_busy (const struct conversation_keeper *keeper)
{
  return keeper->pending_appends > 0 || keeper->fetches > 0
         || keeper->loading > 0;
}

/* Whether a turn that is not here was never acknowledged by this keeper, and
   no turn was lost with another one.  */
static bool
keeper_is_certain (const struct conversation_keeper *keeper)
{
  return keeper->is_loaded && keeper->is_complete && keeper->has_list
         && keeper->now_ms >= keeper->uncertain_until_ms;
}

static void
send_written (struct conversation_keeper *keeper, const char *host,
              uint64_t id, enum turn_write_result result)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__TurnWritten written = PEER__TURN_WRITTEN__INIT;

  written.id = id;
  written.result = result;
  frame.body_case = PEER__FRAME__BODY_TURN_WRITTEN;
  frame.turn_written = &written;
  keeper_send (keeper, host, &frame);
}

/* Tells HOST or RECEIPT the result of a write.  */
static void
answer_write (struct conversation_keeper *keeper, const char *host,
              uint64_t id, struct group_receipt *receipt,
              enum turn_write_result result)
{
  if (result == TURN_NO_ROOM)
    counter_add (COUNTER_TURNS_NO_ROOM, 1);
  if (result == TURN_CONFLICT)
    counter_add (COUNTER_TURN_CONFLICTS, 1);
  if (!receipt)
    {
      send_written (keeper, host, id, result);
      return;
    }
  /* Of two contents under one id, each keeper keeps its own; more copies of
     either cannot settle that.  */
  if (result != TURN_STORED && result != TURN_CONFLICT)
    receipt->is_kept = false;
  if (--receipt->remaining == 0)
    keeper_repair_finish_receipt (receipt);
}

/* Whether HOST waits for the write ID of TURN already.  */
static bool
has_waiter (const struct kept_turn *turn, const char *host, uint64_t id)
{
  for (const GSList *at = turn->waiters; at; at = at->next)
    {
      const struct turn_waiter *waiter = at->data;

      if (waiter->host && waiter->id == id && strcmp (waiter->host, host) == 0)
        return true;
    }
  return false;
}

/* Has HOST or RECEIPT told of the result of TURN's write.  A host sends a
   write again while it is unanswered, which may be long on a slow disk; it is
   told once.  */
static void
add_waiter (struct kept_turn *turn, const char *host, uint64_t id,
            struct group_receipt *receipt)
{
  struct turn_waiter *waiter;

  if (host && has_waiter (turn, host, id))
    return;
  waiter = xcalloc (1, sizeof *waiter);
  waiter->host = host ? xstrdup (host) : NULL;
  waiter->id = id;
  waiter->receipt = receipt;
  turn->waiters = g_slist_prepend (turn->waiters, waiter);
}

static void
answer_waiters (struct conversation_keeper *keeper, struct kept_turn *turn,
                enum turn_write_result result)
{
  GSList *waiters = turn->waiters;

  turn->waiters = NULL;
  for (GSList *at = waiters; at; at = at->next)
    {
      struct turn_waiter *waiter = at->data;

      answer_write (keeper, waiter->host, waiter->id, waiter->receipt, result);
      free (waiter->host);
      free (waiter);
    }
  g_slist_free (waiters);
}

static void
record_failed_write (struct conversation_keeper *keeper)
{
  keeper->full_until_ms = keeper->now_ms + FULL_RETRY_MS;
  if (keeper->last_full_log_ms
      && keeper->now_ms - keeper->last_full_log_ms < FULL_RETRY_MS)
    return;
  keeper->last_full_log_ms = keeper->now_ms;
  log_write (LOG_WARN, "conversations", NULL,
             "a turn could not be written to the store; new conversations are "
             "refused for %d ms",
             FULL_RETRY_MS);
}

static void
handle_record_written (void *data, bool is_durable)
{
  struct pending_record *pending = data;
  struct conversation_keeper *keeper = pending->keeper;
  struct kept_turn *turn = pending->turn;

  keeper->pending_appends--;
  keeper->pending_bytes -= pending->bytes;
  free (pending);
  turn_index_finish (&keeper->index, turn, is_durable);
  if (!is_durable)
    record_failed_write (keeper);
  if (turn->state == KEPT_TURN_DURABLE)
    {
      counter_add (COUNTER_TURNS_KEPT, 1);
      answer_waiters (keeper, turn, TURN_STORED);
    }
  else
    answer_waiters (keeper, turn,
                    is_durable ? TURN_LACKS_PREVIOUS : TURN_NO_ROOM);
}

/* Appends the record of TURN, which is that of WRITE.  */
static void
append_record (struct conversation_keeper *keeper, struct kept_turn *turn,
               const Peer__TurnWrite *write)
{
  struct pending_record *pending = xcalloc (1, sizeof *pending);
  Peer__TurnWrite record = *write;
  char group[GROUP_TEXT_BYTES];
  uint8_t *packed;

  record.id = 0;
  record.group = turn->group->id;
  record.has_prefix = turn->has_prefix;
  if (!turn->has_prefix)
    record.prefix = (ProtobufCBinaryData){ 0 };
  pending->keeper = keeper;
  pending->turn = turn;
  pending->bytes = peer__turn_write__get_packed_size (&record);
  packed = xcalloc (1, pending->bytes);
  peer__turn_write__pack (&record, packed);
  format_group (turn->group->id, group);
  keeper->pending_appends++;
  keeper->pending_bytes += pending->bytes;
  turn->group->disk_bytes += pending->bytes;
  store_append (keeper->options.store, group, packed, pending->bytes,
                handle_record_written, pending);
  free (packed);
}

/* Whether a turn of a host can be added to GROUP, which may be NULL.  */
static bool
has_room_in_group (const struct turn_group *group, bool is_new_chain)
{
  uint64_t percent = is_new_chain ? NEW_CHAIN_PERCENT : 100;

  return !group || group->disk_bytes * 100 < GROUP_BYTES_MAX * percent;
}

/* Whether the process has memory for a turn that begins a chain, or continues
   one.  */
static bool
has_memory (bool is_new_chain)
{
  enum memory_state state = memory_state ();

  return state == MEMORY_ENOUGH || (state == MEMORY_SHORT && !is_new_chain);
}

/* Whether a turn can be added that begins a chain, or continues one.  */
static bool
has_room (const struct conversation_keeper *keeper, bool is_new_chain)
{
  uint64_t percent = is_new_chain ? NEW_CHAIN_PERCENT : 100;
  uint64_t disk_bytes_max = keeper->options.disk_bytes_max;
  uint64_t disk_bytes
      = store_disk_bytes (keeper->options.store) + keeper->pending_bytes;

  if (!has_memory (is_new_chain) || keeper->pending_bytes > MAX_PENDING_BYTES
      || (is_new_chain && keeper->now_ms < keeper->full_until_ms))
    return false;
  if (keeper->index.turn_count * 100ULL >= keeper->options.turns_max * percent)
    return false;
  return disk_bytes_max == 0 || disk_bytes * 100 < disk_bytes_max * percent;
}

/* Whether turns of hosts are refused.  The others are enough for them while
   this keeper hands its groups over, which would otherwise not end.  */
static bool
is_closing (const struct conversation_keeper *keeper)
{
  return keeper->hand_over.is_active
         && keeper->remote_count
                >= turn_copies_wanted (keeper->options.losses);
}

/* Returns the turn that WRITE continues, if it can be built from the disk and
   is in the same group; a group expires as a whole.  */
static struct kept_turn *
find_previous (const struct conversation_keeper *keeper,
               const Peer__TurnWrite *write, uint64_t group)
{
  struct kept_turn *previous;

  if (write->previous[0] == '\0')
    return NULL;
  previous
      = turn_index_find (&keeper->index, write->customer, write->previous);
  if (!previous || previous->group->id != group
      || previous->state == KEPT_TURN_FAILED)
    return NULL;
  if (write->has_prefix && previous->state != KEPT_TURN_DURABLE)
    return NULL;
  return previous;
}

static bool
is_valid (const Peer__TurnWrite *write)
{
  return write->turn[0] != '\0' && strlen (write->turn) <= MAX_ID_BYTES
         && strlen (write->previous) <= MAX_ID_BYTES && write->group != 0
         && strcmp (write->turn, write->previous) != 0;
}

/* Stores the turn of WRITE and answers once it is durable.  RECEIPT is not
   NULL if another keeper sent it.  */
static void
store_turn (struct conversation_keeper *keeper, const char *host,
            const Peer__TurnWrite *write, struct group_receipt *receipt)
{
  struct kept_turn *turn
      = turn_index_find (&keeper->index, write->customer, write->turn);
  bool is_new_chain = write->previous[0] == '\0';
  struct kept_turn *previous;

  if (turn && turn->state != KEPT_TURN_FAILED)
    {
      if (turn->hash != turn_write_hash (write))
        answer_write (keeper, host, write->id, receipt, TURN_CONFLICT);
      else if (turn->state == KEPT_TURN_DURABLE)
        answer_write (keeper, host, write->id, receipt, TURN_STORED);
      else
        add_waiter (turn, host, write->id, receipt);
      return;
    }
  previous
      = find_previous (keeper, write, turn ? turn->group->id : write->group);
  if (!is_new_chain && !previous && !write->has_prefix)
    {
      answer_write (keeper, host, write->id, receipt, TURN_LACKS_PREVIOUS);
      return;
    }
  if (!has_room (keeper, is_new_chain && !receipt)
      || (!receipt
          && (is_closing (keeper)
              || !has_room_in_group (
                  turn_index_find_group (&keeper->index, write->group),
                  is_new_chain))))
    {
      answer_write (keeper, host, write->id, receipt, TURN_NO_ROOM);
      return;
    }
  turn
      = turn_index_put (&keeper->index, write, previous, keeper->now_ms,
                        keeper->now_ms + (int64_t)write->retention_s * MS_PER_S
                            + EXPIRY_MARGIN_MS);
  add_waiter (turn, host, write->id, receipt);
  turn_index_set_content (&keeper->index, turn, write);
  turn_index_trim (&keeper->index);
  append_record (keeper, turn, write);
}

/* Stores a turn of a group that another keeper sent.  */
void
keeper_store_copy (struct conversation_keeper *keeper,
                   const Peer__TurnWrite *write, struct group_receipt *receipt)
{
  receipt->remaining++;
  if (is_valid (write))
    store_turn (keeper, NULL, write, receipt);
  else
    answer_write (keeper, NULL, 0, receipt, TURN_LACKS_PREVIOUS);
}

static void
handle_write (struct conversation_keeper *keeper, const char *host,
              const Peer__TurnWrite *write)
{
  if (!is_valid (write))
    {
      log_write (LOG_WARN, "conversations", NULL,
                 "a turn from host %s has no valid id or group and is dropped",
                 host);
      return;
    }
  if (write->retention_s > keeper->retention_s)
    keeper->retention_s = write->retention_s;
  store_turn (keeper, host, write, NULL);
}

static void
send_text (struct conversation_keeper *keeper, const char *host,
           Peer__TurnText *text)
{
  Peer__Frame frame = PEER__FRAME__INIT;

  counter_add (text->result == TURN_FOUND ? COUNTER_TURN_READS
                                          : COUNTER_TURN_READS_UNKNOWN,
               1);
  frame.body_case = PEER__FRAME__BODY_TURN_TEXT;
  frame.turn_text = text;
  keeper_send (keeper, host, &frame);
}

/* Returns the digest of the listed keepers, this one included.  */
static uint64_t
keepers_digest (const struct conversation_keeper *keeper)
{
  uint64_t digest = turn_keepers_digest (0, keeper->options.host);

  for (size_t i = 0; i < keeper->remote_count; i++)
    digest = turn_keepers_digest (digest, keeper->remotes[i].name);
  return digest;
}

/* Tells HOST that a turn is not found.  A certain miss counts only for a host
   that knows the same list of keepers.  */
static void
send_miss (struct conversation_keeper *keeper, const char *host, uint64_t id,
           enum turn_read_result result)
{
  Peer__TurnText text = PEER__TURN_TEXT__INIT;

  text.id = id;
  text.result = result;
  text.keepers = keepers_digest (keeper);
  send_text (keeper, host, &text);
}

/* Sends HOST the text up to TURN.  Returns false if a part of it is not in
   memory.  */
static bool
send_found (struct conversation_keeper *keeper, const char *host, uint64_t id,
            struct kept_turn *turn)
{
  Peer__TurnText text = PEER__TURN_TEXT__INIT;
  struct buf bytes = { 0 };

  if (!kept_turn_append_text (&keeper->index, turn, &bytes, &text.turns))
    return false;
  text.id = id;
  text.result = TURN_FOUND;
  text.group = turn->group->id;
  text.text.data = (uint8_t *)bytes.data;
  text.text.len = bytes.len;
  text.age_ms = (uint32_t)(keeper->now_ms - turn->received_ms);
  send_text (keeper, host, &text);
  buf_release (&bytes);
  return true;
}

static void
fetch_waiter_destroy (void *data)
{
  struct fetch_waiter *waiter = data;

  free (waiter->host);
  free (waiter);
}

/* The records of a group as read from the disk, unpacked. */
struct group_records
{
  Peer__TurnWrite **items;
  size_t count;
};

static struct group_records
unpack_records (const struct buf *records, size_t count)
{
  struct group_records unpacked
      = { .items = xcalloc (count + 1, sizeof *unpacked.items) };

  for (size_t i = 0; i < count; i++)
    {
      Peer__TurnWrite *write = peer__turn_write__unpack (
          NULL, records[i].len, (const uint8_t *)records[i].data);

      if (write)
        unpacked.items[unpacked.count++] = write;
      else
        log_write (LOG_WARN, "conversations", NULL,
                   "a record of a turn could not be decoded and is skipped");
    }
  return unpacked;
}

static void
release_records (struct group_records *records)
{
  for (size_t i = 0; i < records->count; i++)
    peer__turn_write__free_unpacked (records->items[i], NULL);
  free (records->items);
}

/* Returns the record that TURN was indexed from, or NULL.  A turn whose first
   write failed may have an earlier one, with or without the text before.  */
static Peer__TurnWrite *
find_record (const struct group_records *records, const struct kept_turn *turn)
{
  for (size_t i = 0; i < records->count; i++)
    {
      Peer__TurnWrite *write = records->items[i];

      if (write->customer == turn->customer
          && write->has_prefix == turn->has_prefix
          && strcmp (write->turn, turn->id) == 0
          && turn_write_hash (write) == turn->hash)
        return write;
    }
  return NULL;
}

static void
restore_contents (struct conversation_keeper *keeper, struct turn_group *group,
                  const struct group_records *records)
{
  for (guint i = 0; i < group->turns->len; i++)
    {
      struct kept_turn *turn = g_ptr_array_index (group->turns, i);
      const Peer__TurnWrite *write
          = turn->content ? NULL : find_record (records, turn);

      if (write)
        turn_index_set_content (&keeper->index, turn, write);
    }
}

/* Sends all durable turns of GROUP to HOST.  Their retention is the time that
   the group has left here, so that copies do not prolong it.  */
static void
send_group_records (struct conversation_keeper *keeper, const char *host,
                    uint64_t id, const struct turn_group *group,
                    const struct group_records *records)
{
  int64_t left_ms = group->expires_ms - EXPIRY_MARGIN_MS - keeper->now_ms;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__TurnGroup message = PEER__TURN_GROUP__INIT;
  uint32_t missing = 0;

  message.id = id;
  message.group = group->id;
  message.turns = xcalloc (group->turns->len + 1, sizeof *message.turns);
  for (guint i = 0; i < group->turns->len; i++)
    {
      const struct kept_turn *turn = g_ptr_array_index (group->turns, i);
      Peer__TurnWrite *write = turn->state == KEPT_TURN_DURABLE
                                   ? find_record (records, turn)
                                   : NULL;

      if (write)
        {
          write->retention_s
              = left_ms > 0 ? (uint32_t)((left_ms + MS_PER_S - 1) / MS_PER_S)
                            : 0;
          message.turns[message.n_turns++] = write;
        }
      else
        missing += turn->state == KEPT_TURN_DURABLE;
    }
  if (missing > 0)
    log_write (LOG_ERROR, "conversations", NULL,
               "%u turns of a group could not be read from the store",
               missing);
  frame.body_case = PEER__FRAME__BODY_TURN_GROUP;
  frame.turn_group = &message;
  keeper_send (keeper, host, &frame);
  counter_add (COUNTER_TURN_GROUPS_SENT, 1);
  free (message.turns);
}

static void start_fetch (struct conversation_keeper *keeper,
                         struct turn_group *group);

static void
serve_waiter (struct conversation_keeper *keeper, struct turn_group *group,
              const struct fetch_waiter *waiter,
              const struct group_records *records)
{
  if (!waiter->turn)
    {
      send_group_records (keeper, waiter->host, waiter->id, group, records);
      return;
    }
  if (send_found (keeper, waiter->host, waiter->id, waiter->turn))
    {
      counter_add (COUNTER_TURN_READS_FROM_DISK, 1);
      return;
    }
  log_write (LOG_ERROR, "conversations", NULL,
             "a turn could not be read from the store");
  send_miss (keeper, waiter->host, waiter->id, TURN_UNKNOWN);
}

static void
handle_group_fetched (void *data, const struct buf *buffers, size_t count)
{
  struct group_fetch *fetch = data;
  struct conversation_keeper *keeper = fetch->keeper;
  struct turn_group *group
      = turn_index_find_group (&keeper->index, fetch->group);
  struct group_records records = unpack_records (buffers, count);
  bool is_read = false;

  keeper->fetches--;
  keeper->fetch_bytes -= fetch->bytes;
  group->is_fetching = false;
  for (GSList *at = fetch->waiters; at; at = at->next)
    is_read |= ((struct fetch_waiter *)at->data)->turn != NULL;
  if (is_read)
    restore_contents (keeper, group, &records);
  for (GSList *at = fetch->waiters; at; at = at->next)
    {
      serve_waiter (keeper, group, at->data, &records);
      keeper->waiters--;
    }
  turn_index_trim (&keeper->index);
  g_slist_free_full (fetch->waiters, fetch_waiter_destroy);
  release_records (&records);
  free (fetch);
  if (group->fetch_waiters && !keeper->is_stopped)
    start_fetch (keeper, group);
}

/* Reads GROUP from the disk for those who wait.  Others who come later wait
   for the next read, as this one may lack the turns written since.  */
static void
start_fetch (struct conversation_keeper *keeper, struct turn_group *group)
{
  struct group_fetch *fetch = xcalloc (1, sizeof *fetch);
  char name[GROUP_TEXT_BYTES];

  fetch->keeper = keeper;
  fetch->group = group->id;
  fetch->waiters = g_slist_reverse (group->fetch_waiters);
  group->fetch_waiters = NULL;
  group->is_fetching = true;
  keeper->fetches++;
  fetch->bytes = group->disk_bytes;
  keeper->fetch_bytes += fetch->bytes;
  format_group (group->id, name);
  store_fetch (keeper->options.store, name, handle_group_fetched, fetch);
}

/* Whether HOST waits for the next read of GROUP with the same question.  */
static bool
has_fetch_waiter (const struct turn_group *group, const char *host,
                  uint64_t id, const struct kept_turn *turn)
{
  for (const GSList *at = group->fetch_waiters; at; at = at->next)
    {
      const struct fetch_waiter *waiter = at->data;

      if (waiter->id == id && waiter->turn == turn
          && strcmp (waiter->host, host) == 0)
        return true;
    }
  return false;
}

/* Whether GROUP may be read from the disk beside those that are being read.
   It may be if there are none, however large it is.  */
static bool
may_fetch (const struct conversation_keeper *keeper,
           const struct turn_group *group)
{
  return group->is_fetching || keeper->fetches == 0
         || keeper->fetch_bytes + group->disk_bytes <= MAX_FETCH_BYTES;
}

/* Has GROUP read from the disk for HOST, once for all repetitions of a
   question that come during another read.  Returns false if too many wait, or
   too much is being read.  */
static bool
fetch_for (struct conversation_keeper *keeper, struct turn_group *group,
           const char *host, uint64_t id, struct kept_turn *turn)
{
  struct fetch_waiter *waiter;

  if (has_fetch_waiter (group, host, id, turn))
    return true;
  if (keeper->waiters >= MAX_WAITERS || !may_fetch (keeper, group))
    return false;
  waiter = xcalloc (1, sizeof *waiter);
  waiter->host = xstrdup (host);
  waiter->id = id;
  waiter->turn = turn;
  keeper->waiters++;
  group->fetch_waiters = g_slist_prepend (group->fetch_waiters, waiter);
  if (!group->is_fetching)
    start_fetch (keeper, group);
  return true;
}

/* Sends the group with the number GROUP to the keeper on HOST, an empty one if
   it is not here.  ID is that of a hand-over, or 0.  */
void
keeper_send_group (struct conversation_keeper *keeper, const char *host,
                   uint64_t group, uint64_t id)
{
  struct turn_group *found = turn_index_find_group (&keeper->index, group);
  struct turn_group none = { .id = group, .turns = NULL };
  struct group_records records = { 0 };

  if (found)
    {
      fetch_for (keeper, found, host, id, NULL);
      return;
    }
  none.turns = g_ptr_array_new ();
  send_group_records (keeper, host, id, &none, &records);
  g_ptr_array_free (none.turns, TRUE);
}

/* Answers a host that reads a turn.  A turn that is not durable yet is given
   as well: it is whole, and no caller knows its id before it counts.  */
static void
handle_read (struct conversation_keeper *keeper, const char *host,
             const Peer__TurnRead *read)
{
  struct kept_turn *turn
      = turn_index_find (&keeper->index, read->customer, read->turn);

  if (!turn || turn->state == KEPT_TURN_FAILED)
    {
      bool is_other = !turn
                      && turn_index_has_other_customer (
                          &keeper->index, read->customer, read->turn);

      send_miss (keeper, host, read->id,
                 is_other ? TURN_OTHER_CUSTOMER
                 : !turn && keeper_is_certain (keeper)
                     ? TURN_UNKNOWN_FOR_CERTAIN
                     : TURN_UNKNOWN);
      return;
    }
  if (!send_found (keeper, host, read->id, turn)
      && !fetch_for (keeper, turn->group, host, read->id, turn))
    send_miss (keeper, host, read->id, TURN_UNKNOWN);
}

/* Handles frames of conversations from hosts and other keepers.  Ignores other
   frames, and all before the first tick.  */
void
conversation_keeper_handle_frame (struct conversation_keeper *keeper,
                                  const char *host, const Peer__Frame *frame)
{
  if (keeper->started_ms == 0)
    return;
  switch (frame->body_case)
    {
    case PEER__FRAME__BODY_TURN_WRITE:
      handle_write (keeper, host, frame->turn_write);
      break;
    case PEER__FRAME__BODY_TURN_READ:
      handle_read (keeper, host, frame->turn_read);
      break;
    default:
      keeper_repair_handle_frame (keeper, host, frame);
      break;
    }
}

static void
ignore_written (void *data, bool is_durable)
{
  struct conversation_keeper *keeper = data;

  keeper->pending_appends--;
  if (!is_durable)
    log_write (LOG_WARN, "conversations", NULL,
               "the marker could not be written to the store; after a restart "
               "the disk counts as lost");
}

/* Writes the marker record, which tells after a restart that the disk was not
   lost, and names the other keepers: one that is then not listed may have left
   without being retired.  */
void
keeper_write_marker (struct conversation_keeper *keeper)
{
  Peer__TurnWrite marker = PEER__TURN_WRITE__INIT;
  struct buf names = { 0 };
  uint8_t *packed;
  size_t len;

  for (size_t i = 0; i < keeper->remote_count; i++)
    buf_printf (&names, "%s\n", keeper->remotes[i].name);
  /* A record that the program already has would not be appended again, and the
     last one counts.  */
  marker.id = id_random64 ();
  marker.input.data = (uint8_t *)names.data;
  marker.input.len = names.len;
  len = peer__turn_write__get_packed_size (&marker);
  packed = xcalloc (1, len);
  peer__turn_write__pack (&marker, packed);
  keeper->has_marker = true;
  keeper->pending_appends++;
  store_delete (keeper->options.store, MARKER);
  store_append (keeper->options.store, MARKER, packed, len, ignore_written,
                keeper);
  free (packed);
  buf_release (&names);
}

static void
load_marker (struct conversation_keeper *keeper,
             const struct group_records *records)
{
  const Peer__TurnWrite *last;

  if (records->count == 0)
    return;
  last = records->items[records->count - 1];
  keeper->has_marker = true;
  free (keeper->marked_others);
  keeper->marked_others = xcalloc (1, last->input.len + 1);
  if (last->input.len > 0)
    memcpy (keeper->marked_others, last->input.data, last->input.len);
}

/* Adds the turn of WRITE, read from the disk, to the index.  Returns false if
   it is there already, or the turn before is not.  */
static bool
load_turn (struct conversation_keeper *keeper, const Peer__TurnWrite *write)
{
  struct kept_turn *turn
      = turn_index_find (&keeper->index, write->customer, write->turn);
  struct kept_turn *previous;

  if (turn || !is_valid (write))
    return false;
  previous
      = write->has_prefix ? NULL : find_previous (keeper, write, write->group);
  if (!previous && !write->has_prefix && write->previous[0] != '\0')
    return false;
  if (previous && previous->state != KEPT_TURN_DURABLE)
    return false;
  turn
      = turn_index_put (&keeper->index, write, previous, keeper->now_ms,
                        keeper->now_ms + (int64_t)write->retention_s * MS_PER_S
                            + EXPIRY_MARGIN_MS);
  turn->group->disk_bytes += peer__turn_write__get_packed_size (write);
  turn_index_finish (&keeper->index, turn, true);
  return true;
}

/* Adds the turns of a group to the index.  A turn may come before the one that
   it continues, if that one's first write failed.  Records of turns that were
   never acknowledged may remain.  */
static void
load_turns (struct conversation_keeper *keeper,
            const struct group_records *records)
{
  bool has_progress;

  do
    {
      has_progress = false;
      for (size_t i = 0; i < records->count; i++)
        has_progress |= load_turn (keeper, records->items[i]);
    }
  while (has_progress);
}

/* A group that is read after a start. */
struct group_load
{
  struct conversation_keeper *keeper;
  char *name;
};

static void load_more (struct conversation_keeper *keeper);

static void
handle_group_loaded (void *data, const struct buf *buffers, size_t count)
{
  struct group_load *load = data;
  struct conversation_keeper *keeper = load->keeper;
  struct group_records records = unpack_records (buffers, count);

  keeper->loading--;
  if (strcmp (load->name, MARKER) == 0)
    load_marker (keeper, &records);
  else
    {
      load_turns (keeper, &records);
      if (!turn_index_find_group (&keeper->index,
                                  strtoull (load->name, NULL, 16)))
        store_delete (keeper->options.store, load->name);
    }
  release_records (&records);
  free (load->name);
  free (load);
  load_more (keeper);
}

static void
finish_loading (struct conversation_keeper *keeper)
{
  keeper->is_loaded = true;
  keeper->is_complete = keeper->has_marker || keeper->options.first_start;
  log_write (LOG_INFO, "conversations", NULL,
             "loaded %u turns in %d groups from the store; they are %s",
             keeper->index.turn_count, g_tree_nnodes (keeper->index.groups),
             keeper->is_complete ? "complete"
                                 : "to be read from the other keepers");
  keeper_repair_check_list (keeper);
}

/* Reads the next groups, a few at a time, so that the memory for their
   contents is bounded.  */
static void
load_more (struct conversation_keeper *keeper)
{
  if (keeper->is_stopped)
    return;
  while (keeper->loading < LOAD_WINDOW && !g_queue_is_empty (keeper->unloaded))
    {
      struct group_load *load = xcalloc (1, sizeof *load);

      load->keeper = keeper;
      load->name = g_queue_pop_head (keeper->unloaded);
      keeper->loading++;
      store_fetch (keeper->options.store, load->name, handle_group_loaded,
                   load);
    }
  if (keeper->loading == 0 && !keeper->is_loaded)
    finish_loading (keeper);
}

static void
add_unloaded (void *data, const char *program)
{
  struct conversation_keeper *keeper = data;

  g_queue_push_tail (keeper->unloaded, xstrdup (program));
}

/* Creates a keeper.  Its turns are loaded from the store asynchronously, on
   the event loop, from the first tick on.  */
struct conversation_keeper *
conversation_keeper_create (const struct conversation_keeper_options *options)
{
  struct conversation_keeper *keeper = xcalloc (1, sizeof *keeper);

  keeper->options = *options;
  if (keeper->options.content_bytes_max == 0)
    keeper->options.content_bytes_max = DEFAULT_CONTENT_BYTES;
  if (keeper->options.turns_max == 0)
    keeper->options.turns_max = DEFAULT_TURNS_MAX;
  turn_index_init (&keeper->index, keeper->options.content_bytes_max);
  keeper->wanted = g_hash_table_new (g_int64_hash, g_int64_equal);
  keeper->unloaded = g_queue_new ();
  store_foreach_program (options->store, add_unloaded, keeper);
  return keeper;
}

/* Frees KEEPER, which may be NULL, and its store.  */
void
conversation_keeper_destroy (struct conversation_keeper *keeper)
{
  if (!keeper)
    return;
  keeper->is_stopped = true;
  /* Runs the callbacks of unfinished writes and reads.  */
  store_destroy (keeper->options.store);
  for (struct turn_group *group = turn_index_next_group (&keeper->index, 0);
       group; group = turn_index_next_group (&keeper->index, group->id))
    g_slist_free_full (group->fetch_waiters, fetch_waiter_destroy);
  keeper_repair_release (keeper);
  turn_index_release (&keeper->index);
  g_hash_table_destroy (keeper->wanted);
  g_queue_free_full (keeper->unloaded, free);
  free (keeper->marked_others);
  free (keeper);
}

/* Deletes expired groups, a bounded number at a time.  */
static void
expire (struct conversation_keeper *keeper)
{
  for (int i = 0; i < EXPIRE_STEP; i++)
    {
      struct turn_group *group = turn_index_first_expiring (&keeper->index);
      char name[GROUP_TEXT_BYTES];

      if (!group || group->expires_ms > keeper->now_ms)
        return;
      if (group->pending_turns > 0 || group->is_fetching)
        {
          turn_index_extend (&keeper->index, group,
                             keeper->now_ms + BUSY_GROUP_MS);
          continue;
        }
      format_group (group->id, name);
      store_delete (keeper->options.store, name);
      turn_index_remove_group (&keeper->index, group);
      counter_add (COUNTER_TURN_GROUPS_EXPIRED, 1);
    }
}

/* Exchanges groups with the other keepers and deletes expired ones.  */
void
conversation_keeper_tick (struct conversation_keeper *keeper, int64_t now_ms)
{
  keeper->now_ms = now_ms;
  if (keeper->started_ms == 0)
    {
      keeper->started_ms = now_ms;
      load_more (keeper);
    }
  keeper_repair_tick (keeper);
  if (keeper->is_loaded)
    expire (keeper);
}

/* Returns the keeper's state as a new reference.  */
json_t *
conversation_keeper_to_json (const struct conversation_keeper *keeper)
{
  json_t *wants = json_object ();
  json_t *state;

  for (size_t i = 0; i < keeper->remote_count; i++)
    if (!keeper->remotes[i].is_listed || keeper->remotes[i].wants.length > 0)
      json_object_set_new (
          wants, keeper->remotes[i].name,
          json_integer ((json_int_t)keeper->remotes[i].wants.length));
  state = json_pack (
      "{s:b, s:b, s:b, s:i, s:I, s:I, s:I, s:I, s:b, s:o}", "loaded",
      keeper->is_loaded, "complete", keeper->is_complete, "certain",
      keeper_is_certain (keeper), "groups",
      g_tree_nnodes (keeper->index.groups), "turns",
      (json_int_t)keeper->index.turn_count, "content_bytes",
      (json_int_t)keeper->index.content_bytes, "disk_bytes",
      (json_int_t)store_disk_bytes (keeper->options.store), "pending",
      (json_int_t)keeper->pending_appends + keeper->fetches + keeper->loading,
      "handing_over", keeper->hand_over.is_active, "unread_keepers", wants);
  return state;
}
