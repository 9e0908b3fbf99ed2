#include "request/stream_index.h"
#include "common/buf.h"
#include "common/counters.h"
#include "common/id.h"
#include "ledger/keeper_set.h"
#include <glib.h>
#include <stdlib.h>

enum
{
  LOCAL_CAPACITY = 4096,
  /* A keeper answers within a few milliseconds.  The second round finds
     records that were still on their way in the first. */
  ROUND_MS = 100,
  ROUNDS = 2,
};

struct stream_index
{
  struct stream_index_options options;
  struct recent_table *table; /* streams that had events through this host */
  struct keeper_set set;
  bool knows_keepers;  /* the list of keepers has been set */
  GHashTable *lookups; /* id -> struct stream_lookup */
};

/* A question to the keepers.  Exists until its handler is called or it is
   cancelled. */
struct stream_lookup
{
  struct stream_index *index;
  uint64_t id; /* random, the same in each round */
  uint64_t stream;
  struct keeper_replicas replicas;
  bool has_answered[REPLICAS_MAX]; /* in this round */
  bool is_answered;                /* by any keeper in any round */
  uint32_t round;
  ev_timer timer;
  stream_origin_handler *handle;
  void *data;
};

/* Creates an index that does not know the keepers yet.  */
struct stream_index *
stream_index_create (const struct stream_index_options *options)
{
  struct recent_table_options table
      = { .capacity = LOCAL_CAPACITY, .ttl_ms = STREAM_TTL_MS };
  struct stream_index *index = xcalloc (1, sizeof *index);

  index->options = *options;
  index->table = recent_table_create (&table);
  index->lookups = g_hash_table_new (g_int64_hash, g_int64_equal);
  return index;
}

/* Frees the index.  There must be no lookups.  */
void
stream_index_destroy (struct stream_index *index)
{
  if (!index)
    return;
  recent_table_destroy (index->table);
  keeper_set_release (&index->set);
  g_hash_table_destroy (index->lookups);
  free (index);
}

/* Sets the keepers, which store all later records.  */
void
stream_index_set_keepers (struct stream_index *index,
                          const struct host_location *locations, size_t count)
{
  keeper_set_assign (&index->set, locations, count, index->options.losses);
  index->knows_keepers = true;
}

static void
send_to_replicas (struct stream_index *index,
                  const struct keeper_replicas *replicas,
                  const Peer__Frame *frame)
{
  for (uint32_t i = 0; i < replicas->count; i++)
    mesh_send (index->options.mesh, index->set.names[replicas->keepers[i]],
               frame);
}

/* Records that STREAM began at BUILD.  Must be called before its first event
   is forwarded.  */
void
stream_index_record (struct stream_index *index, uint64_t stream,
                     uint64_t build)
{
  struct keeper_replicas replicas = keeper_set_replicas (&index->set, stream);
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__StreamOrigin origin = PEER__STREAM_ORIGIN__INIT;

  recent_table_record (index->table, stream, build, clock_now_ms ());
  origin.stream = stream;
  origin.build = build;
  frame.body_case = PEER__FRAME__BODY_STREAM_RECORD;
  frame.stream_record = &origin;
  send_to_replicas (index, &replicas, &frame);
}

/* Returns the build that began STREAM if it had events through this host, or
   0.  */
uint64_t
stream_index_find_local (struct stream_index *index, uint64_t stream)
{
  return recent_table_find (index->table, stream, clock_now_ms ());
}

static void
finish_lookup (struct stream_lookup *lookup, enum stream_origin origin,
               uint64_t build)
{
  stream_origin_handler *handle = lookup->handle;
  void *data = lookup->data;

  if (origin == STREAM_ORIGIN_FOUND)
    recent_table_record (lookup->index->table, lookup->stream, build,
                         clock_now_ms ());
  else
    counter_add (COUNTER_STREAM_ORIGINS_UNKNOWN, 1);
  stream_lookup_cancel (lookup);
  handle (data, origin, build);
}

static void
start_round (struct stream_lookup *lookup)
{
  struct stream_index *index = lookup->index;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__StreamAsk ask = PEER__STREAM_ASK__INIT;

  lookup->round++;
  lookup->replicas = keeper_set_replicas (&index->set, lookup->stream);
  for (uint32_t i = 0; i < REPLICAS_MAX; i++)
    lookup->has_answered[i] = false;
  ask.id = lookup->id;
  ask.stream = lookup->stream;
  frame.body_case = PEER__FRAME__BODY_STREAM_ASK;
  frame.stream_ask = &ask;
  send_to_replicas (index, &lookup->replicas, &frame);
  ev_timer_set (&lookup->timer,
                lookup->replicas.count > 0 ? ROUND_MS / 1000.0 : 0, 0);
  ev_timer_start (index->options.loop, &lookup->timer);
}

static void
finish_unknown (struct stream_lookup *lookup)
{
  bool has_keepers = lookup->replicas.count > 0;
  bool is_certain
      = lookup->is_answered || (lookup->index->knows_keepers && !has_keepers);

  finish_lookup (
      lookup,
      is_certain ? STREAM_ORIGIN_NOT_RECORDED : STREAM_ORIGIN_UNREACHABLE, 0);
}

static void
handle_round_end (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct stream_lookup *lookup = timer->data;

  if (lookup->round < ROUNDS && lookup->replicas.count > 0)
    start_round (lookup);
  else
    finish_unknown (lookup);
}

/* Asks the keepers which build began STREAM.  HANDLE is called once, never
   from within this call, unless the lookup is cancelled before.  */
struct stream_lookup *
stream_index_find (struct stream_index *index, uint64_t stream,
                   stream_origin_handler *handle, void *data)
{
  struct stream_lookup *lookup = xcalloc (1, sizeof *lookup);

  lookup->index = index;
  lookup->id = id_random64 ();
  lookup->stream = stream;
  lookup->handle = handle;
  lookup->data = data;
  ev_timer_init (&lookup->timer, handle_round_end, 0, 0);
  lookup->timer.data = lookup;
  g_hash_table_insert (index->lookups, &lookup->id, lookup);
  counter_add (COUNTER_STREAM_LOOKUPS, 1);
  start_round (lookup);
  return lookup;
}

/* Ends a lookup without calling its handler.  No effect if it is NULL.  */
void
stream_lookup_cancel (struct stream_lookup *lookup)
{
  if (!lookup)
    return;
  ev_timer_stop (lookup->index->options.loop, &lookup->timer);
  g_hash_table_remove (lookup->index->lookups, &lookup->id);
  free (lookup);
}

static bool
have_all_answered (const struct stream_lookup *lookup)
{
  for (uint32_t i = 0; i < lookup->replicas.count; i++)
    if (!lookup->has_answered[i])
      return false;
  return true;
}

/* Any keeper that knows the stream decides.  Those that do not may have missed
   its record.  */
static void
handle_answer (struct stream_lookup *lookup, const char *host, uint64_t build)
{
  int32_t keeper = keeper_set_find (&lookup->index->set, host);

  if (build)
    {
      finish_lookup (lookup, STREAM_ORIGIN_FOUND, build);
      return;
    }
  lookup->is_answered = true;
  for (uint32_t i = 0; i < lookup->replicas.count; i++)
    if ((int32_t)lookup->replicas.keepers[i] == keeper)
      lookup->has_answered[i] = true;
  if (lookup->round == ROUNDS && have_all_answered (lookup))
    finish_unknown (lookup);
}

/* Handles answers of keepers and ignores all other frames.  */
void
stream_index_handle_frame (struct stream_index *index, const char *host,
                           const Peer__Frame *frame)
{
  struct stream_lookup *lookup;

  if (frame->body_case != PEER__FRAME__BODY_STREAM_ANSWER)
    return;
  lookup = g_hash_table_lookup (index->lookups, &frame->stream_answer->id);
  if (lookup)
    handle_answer (lookup, host, frame->stream_answer->build);
}

/* On a keeper: stores records in TABLE, answers questions from it and ignores
   all other frames.  */
void
stream_keeper_handle_frame (struct recent_table *table, struct mesh *mesh,
                            const char *host, const Peer__Frame *frame)
{
  Peer__Frame reply = PEER__FRAME__INIT;
  Peer__StreamOrigin origin = PEER__STREAM_ORIGIN__INIT;
  int64_t now_ms = clock_now_ms ();

  if (frame->body_case == PEER__FRAME__BODY_STREAM_RECORD
      && frame->stream_record->build)
    recent_table_record (table, frame->stream_record->stream,
                         frame->stream_record->build, now_ms);
  if (frame->body_case != PEER__FRAME__BODY_STREAM_ASK)
    return;
  origin.id = frame->stream_ask->id;
  origin.stream = frame->stream_ask->stream;
  origin.build = recent_table_find (table, origin.stream, now_ms);
  reply.body_case = PEER__FRAME__BODY_STREAM_ANSWER;
  reply.stream_answer = &origin;
  mesh_send (mesh, host, &reply);
}
