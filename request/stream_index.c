#include "request/stream_index.h"
#include "common/buf.h"
#include "common/counters.h"
#include "common/id.h"
#include "ledger/keeper_set.h"
#include "request/stream_memory.h"
#include <glib.h>
#include <stdlib.h>

enum
{
  LOCAL_CAPACITY = 8192, /* two entries per stream */
  /* A keeper answers within a few milliseconds.  The second round finds
     records that were still on their way in the first.  Callers are refused
     within 50 ms. */
  ROUND_MS = 20,
  ROUNDS = 2,
  SILENT_ROUNDS = 5, /* while no keeper has answered: a stream may be lost */
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
  struct stream_key key;
  uint64_t build; /* that some keeper knows; 0 for none */
  struct keeper_replicas replicas;
  bool has_answered[REPLICAS_MAX]; /* in this round, for certain */
  bool is_answered;                /* by any keeper in any round */
  uint32_t round;
  ev_timer timer;
  stream_origin_handler *handle;
  void *data;
};

/* Returns a description of ORIGIN, for logs.  */
const char *
stream_origin_name (enum stream_origin origin)
{
  switch (origin)
    {
    case STREAM_ORIGIN_FOUND:
      return "found";
    case STREAM_ORIGIN_NOT_RECORDED:
      return "no keeper has a record";
    case STREAM_ORIGIN_AMBIGUOUS:
      return "equal requests began at different builds";
    case STREAM_ORIGIN_UNREACHABLE:
      return "too few keepers answered";
    }
  return "unknown";
}

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
  struct transport *transport = index->options.transport;

  for (uint32_t i = 0; i < replicas->count; i++)
    transport->vtable->send (transport, index->set.names[replicas->keepers[i]],
                             frame);
}

/* Records that the stream KEY began at BUILD.  Must be called before its first
   event is forwarded.  */
void
stream_index_record (struct stream_index *index, const struct stream_key *key,
                     uint64_t build)
{
  struct keeper_replicas replicas
      = keeper_set_replicas (&index->set, key->content);
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__StreamOrigin origin = PEER__STREAM_ORIGIN__INIT;

  stream_table_record (index->table, key, build, clock_now_ms ());
  origin.stream = key->content;
  origin.attempt = key->attempt;
  origin.build = build;
  frame.body_case = PEER__FRAME__BODY_STREAM_RECORD;
  frame.stream_record = &origin;
  send_to_replicas (index, &replicas, &frame);
}

/* Returns the build that began the stream if its attempt is named and had
   events through this host, or 0.  Equal requests may have begun elsewhere, so
   the content alone decides only together with the keepers.  */
uint64_t
stream_index_find_local (struct stream_index *index,
                         const struct stream_key *key)
{
  return key->attempt
             ? recent_table_find (index->table, key->attempt, clock_now_ms ())
             : 0;
}

static void
finish_lookup (struct stream_lookup *lookup, enum stream_origin origin,
               uint64_t build)
{
  stream_origin_handler *handle = lookup->handle;
  void *data = lookup->data;

  if (origin == STREAM_ORIGIN_FOUND)
    stream_table_record (lookup->index->table, &lookup->key, build,
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
  lookup->replicas = keeper_set_replicas (&index->set, lookup->key.content);
  for (uint32_t i = 0; i < REPLICAS_MAX; i++)
    lookup->has_answered[i] = false;
  ask.id = lookup->id;
  ask.stream = lookup->key.content;
  ask.attempt = lookup->key.attempt;
  frame.body_case = PEER__FRAME__BODY_STREAM_ASK;
  frame.stream_ask = &ask;
  send_to_replicas (index, &lookup->replicas, &frame);
  ev_timer_set (&lookup->timer,
                lookup->replicas.count > 0 ? ROUND_MS / 1000.0 : 0, 0);
  ev_timer_start (index->options.loop, &lookup->timer);
}

static uint32_t
count_answers (const struct stream_lookup *lookup)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < lookup->replicas.count; i++)
    count += lookup->has_answered[i];
  return count;
}

/* Ends a lookup for which no keeper has decided.  Keepers that know the
   content decide together with a majority: a keeper that does not answer, or
   has forgotten, may have known that an equal request began at another build.
 */
static void
finish_undecided (struct stream_lookup *lookup)
{
  bool has_keepers = lookup->replicas.count > 0;
  bool is_certain
      = lookup->is_answered || (lookup->index->knows_keepers && !has_keepers);

  if (lookup->build == STREAM_BUILD_AMBIGUOUS)
    finish_lookup (lookup, STREAM_ORIGIN_AMBIGUOUS, 0);
  else if (lookup->build
           && count_answers (lookup) > lookup->replicas.count / 2)
    finish_lookup (lookup, STREAM_ORIGIN_FOUND, lookup->build);
  else if (lookup->build || !is_certain)
    finish_lookup (lookup, STREAM_ORIGIN_UNREACHABLE, 0);
  else
    finish_lookup (lookup, STREAM_ORIGIN_NOT_RECORDED, 0);
}

static void
handle_round_end (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct stream_lookup *lookup = timer->data;

  uint32_t rounds = lookup->is_answered ? ROUNDS : SILENT_ROUNDS;

  if (lookup->round < rounds && lookup->replicas.count > 0)
    start_round (lookup);
  else
    finish_undecided (lookup);
}

/* Asks the keepers which build began the stream KEY.  HANDLE is called once,
   never from within this call, unless the lookup is cancelled before.  */
struct stream_lookup *
stream_index_find (struct stream_index *index, const struct stream_key *key,
                   stream_origin_handler *handle, void *data)
{
  struct stream_lookup *lookup = xcalloc (1, sizeof *lookup);

  lookup->index = index;
  lookup->id = id_random64 ();
  lookup->key = *key;
  if (!key->attempt)
    lookup->build
        = recent_table_find (index->table, key->content, clock_now_ms ());
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

/* A keeper that knows the attempt decides.  One that knows only the content
   decides unless another one knows of a different build.  Those that know
   nothing may have missed the record, and one that has not known everything
   for KNOWN_MS may have forgotten it: it counts for no majority.  */
static void
handle_answer (struct stream_lookup *lookup, const char *host, uint64_t build,
               int64_t known_ms)
{
  int32_t keeper = keeper_set_find (&lookup->index->set, host);

  if (build && build != STREAM_BUILD_AMBIGUOUS && lookup->key.attempt)
    {
      finish_lookup (lookup, STREAM_ORIGIN_FOUND, build);
      return;
    }
  if (build && lookup->build && build != lookup->build)
    build = STREAM_BUILD_AMBIGUOUS;
  if (build == STREAM_BUILD_AMBIGUOUS)
    {
      finish_lookup (lookup, STREAM_ORIGIN_AMBIGUOUS, 0);
      return;
    }
  if (build)
    lookup->build = build;
  lookup->is_answered = true;
  for (uint32_t i = 0; i < lookup->replicas.count; i++)
    if ((int32_t)lookup->replicas.keepers[i] == keeper
        && known_ms >= STREAM_TTL_MS)
      lookup->has_answered[i] = true;
  if (lookup->round >= ROUNDS
      && count_answers (lookup) == lookup->replicas.count)
    finish_undecided (lookup);
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
  /* Keepers of earlier versions know only one build of equal requests. */
  if (lookup && frame->stream_answer->is_by_attempt)
    handle_answer (lookup, host, frame->stream_answer->build,
                   frame->stream_answer->known_ms);
}
