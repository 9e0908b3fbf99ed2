#include "request/stream_memory.h"
#include "common/buf.h"
#include "common/id.h"
#include "common/log.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  PAGE_RECORDS = 512, /* 8 KB */
  /* Until a page is asked for again: a keeper answers within milliseconds. */
  PAGE_TIMEOUT_MS = 300,
};

/* The copy of another keeper's records. */
struct stream_copy
{
  char *host;
  uint64_t id;
  uint64_t after; /* sequence of the last record that has arrived */
  int64_t asked_ms;
  bool is_whole;
  int64_t since_ms; /* from when on it has all that was sent to that keeper */
};

struct stream_memory
{
  struct stream_memory_options options;
  struct recent_table *table;
  GPtrArray *copies; /* struct stream_copy, of the other keepers */
  /* From when on it has all records that were sent to this keeper, or to
     enough others to know of each. */
  int64_t since_ms;
  /* From when on it has all records for which it is asked: the list of keepers
     tells which, so that a new list makes it ask the others again. */
  int64_t whole_since_ms;
  bool is_copying;
};

/* Records the build of a stream by its attempt and by its content.  Content
   that began at different builds does not tell which stream is resumed.  */
void
stream_table_record (struct recent_table *table, const struct stream_key *key,
                     uint64_t build, int64_t now_ms)
{
  uint64_t known = recent_table_find (table, key->content, now_ms);

  recent_table_replace (
      table, key->content,
      known && known != build ? STREAM_BUILD_AMBIGUOUS : build, now_ms);
  if (key->attempt)
    recent_table_record (table, key->attempt, build, now_ms);
}

static void
copy_destroy (gpointer data)
{
  struct stream_copy *copy = data;

  free (copy->host);
  free (copy);
}

/* Creates an empty memory.  */
struct stream_memory *
stream_memory_create (const struct stream_memory_options *options,
                      int64_t now_ms)
{
  struct recent_table_options table
      = { .capacity = options->capacity, .ttl_ms = STREAM_TTL_MS };
  struct stream_memory *memory = xcalloc (1, sizeof *memory);

  memory->options = *options;
  memory->table = recent_table_create (&table);
  memory->copies = g_ptr_array_new_with_free_func (copy_destroy);
  memory->since_ms = memory->whole_since_ms
      = options->first_start ? now_ms - STREAM_TTL_MS : now_ms;
  return memory;
}

/* Frees the memory.  */
void
stream_memory_destroy (struct stream_memory *memory)
{
  if (!memory)
    return;
  recent_table_destroy (memory->table);
  g_ptr_array_free (memory->copies, TRUE);
  free (memory);
}

static struct stream_copy *
find_copy (const struct stream_memory *memory, const char *host)
{
  for (guint i = 0; i < memory->copies->len; i++)
    {
      struct stream_copy *copy = memory->copies->pdata[i];

      if (strcmp (copy->host, host) == 0)
        return copy;
    }
  return NULL;
}

static bool
has_same_others (const struct stream_memory *memory,
                 const struct host_location *locations, size_t count)
{
  if (memory->copies->len != count)
    return false;
  for (size_t i = 0; i < count; i++)
    if (!find_copy (memory, locations[i].name))
      return false;
  return true;
}

static void
ask_page (const struct stream_memory *memory, struct stream_copy *copy,
          int64_t now_ms)
{
  struct transport *transport = memory->options.transport;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__StreamCopyAsk ask = PEER__STREAM_COPY_ASK__INIT;

  copy->asked_ms = now_ms;
  ask.id = copy->id;
  ask.after = copy->after;
  frame.body_case = PEER__FRAME__BODY_STREAM_COPY_ASK;
  frame.stream_copy_ask = &ask;
  transport->vtable->send (transport, copy->host, &frame);
}

/* Sets the other keepers.  A list that has changed may give this one streams
   that it was not told of, so that it copies all records again.  */
void
stream_memory_set_others (struct stream_memory *memory,
                          const struct host_location *locations, size_t count,
                          int64_t now_ms)
{
  if (has_same_others (memory, locations, count))
    return;
  g_ptr_array_set_size (memory->copies, 0);
  for (size_t i = 0; i < count; i++)
    {
      struct stream_copy *copy = xcalloc (1, sizeof *copy);

      copy->host = xstrdup (locations[i].name);
      copy->id = id_random64 ();
      g_ptr_array_add (memory->copies, copy);
      ask_page (memory, copy, now_ms);
    }
  memory->is_copying = count > 0;
  memory->whole_since_ms = count > 0 ? now_ms : memory->since_ms;
}

/* Asks again for the pages that have not come, until the memory knows as much
   without them.  Must be called at least every 100 ms.  */
void
stream_memory_tick (struct stream_memory *memory, int64_t now_ms)
{
  if (now_ms - memory->whole_since_ms >= STREAM_TTL_MS)
    memory->is_copying = false;
  for (guint i = 0; i < memory->copies->len && memory->is_copying; i++)
    {
      struct stream_copy *copy = memory->copies->pdata[i];

      if (!copy->is_whole && now_ms - copy->asked_ms >= PAGE_TIMEOUT_MS)
        ask_page (memory, copy, now_ms);
    }
}

/* Returns for how long records have been here without a gap, if none was
   missing after SINCE_MS but for those that were dropped for room.  */
static int64_t
gapless_ms (const struct stream_memory *memory, int64_t since_ms,
            int64_t now_ms)
{
  since_ms = MAX (since_ms, recent_table_dropped_ms (memory->table));
  return CLAMP (now_ms - since_ms, 0, STREAM_TTL_MS);
}

/* Returns for how long the memory has known all streams for which it is asked,
   STREAM_TTL_MS if nothing is missing.  */
int64_t
stream_memory_known_ms (const struct stream_memory *memory, int64_t now_ms)
{
  return gapless_ms (memory, memory->whole_since_ms, now_ms);
}

static int
compare_times (const void *a, const void *b)
{
  int64_t left = *(const int64_t *)a;
  int64_t right = *(const int64_t *)b;

  return (left > right) - (left < right);
}

/* Ends the copying once enough of the others have been copied to know of each
   record that the losses allowed have left: this keeper counts as one of
   these.  */
static void
finish_copying (struct stream_memory *memory)
{
  guint others = memory->copies->len;
  guint spared = memory->options.losses > 1 ? memory->options.losses - 1 : 0;
  guint needed = others > spared ? others - spared : 1;
  int64_t *since_ms = xcalloc (others, sizeof *since_ms);
  guint whole = 0;
  int64_t copied_since_ms;

  for (guint i = 0; i < others; i++)
    {
      const struct stream_copy *copy = memory->copies->pdata[i];

      if (copy->is_whole)
        since_ms[whole++] = copy->since_ms;
    }
  if (whole >= needed)
    {
      qsort (since_ms, whole, sizeof *since_ms, compare_times);
      copied_since_ms = since_ms[needed - 1];
      memory->since_ms = MIN (memory->since_ms, copied_since_ms);
      memory->whole_since_ms = copied_since_ms;
      memory->is_copying = whole < others;
      log_write (LOG_DEBUG, "streams", NULL,
                 "copied %u records of streams from %u of %u keepers",
                 recent_table_count (memory->table), whole, others);
    }
  free (since_ms);
}

/* Adds a copied record, unless it is known: keepers that copy each other would
   send it to and fro as a new one.  Its age is not told; keeping it for longer
   only makes more streams start again.  */
static void
add_record (struct stream_memory *memory, uint64_t key, uint64_t build,
            int64_t now_ms)
{
  uint64_t known = recent_table_find (memory->table, key, now_ms);

  if (key && build && known != build && known != STREAM_BUILD_AMBIGUOUS)
    recent_table_replace (memory->table, key,
                          known ? STREAM_BUILD_AMBIGUOUS : build, now_ms);
}

static void
handle_copy (struct stream_memory *memory, const char *host,
             const Peer__StreamCopy *page, int64_t now_ms)
{
  struct stream_copy *copy = find_copy (memory, host);

  if (!copy || copy->id != page->id || copy->is_whole
      || page->n_keys != page->n_builds)
    return;
  for (size_t i = 0; i < page->n_keys; i++)
    add_record (memory, page->keys[i], page->builds[i], now_ms);
  copy->after = MAX (copy->after, page->last);
  if (!page->is_last)
    {
      ask_page (memory, copy, now_ms);
      return;
    }
  copy->is_whole = true;
  copy->since_ms = now_ms - (int64_t)page->known_ms;
  finish_copying (memory);
}

/* Sends the page of records that ASK names.  */
static void
send_page (const struct stream_memory *memory, const char *host,
           const Peer__StreamCopyAsk *ask, int64_t now_ms)
{
  struct transport *transport = memory->options.transport;
  struct recent_record records[PAGE_RECORDS];
  uint64_t keys[PAGE_RECORDS];
  uint64_t builds[PAGE_RECORDS];
  size_t count
      = recent_table_list (memory->table, ask->after, records, PAGE_RECORDS);
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__StreamCopy page = PEER__STREAM_COPY__INIT;

  for (size_t i = 0; i < count; i++)
    {
      keys[i] = records[i].key;
      builds[i] = records[i].value;
    }
  page.id = ask->id;
  page.n_keys = page.n_builds = count;
  page.keys = keys;
  page.builds = builds;
  page.last = count > 0 ? records[count - 1].sequence : ask->after;
  page.is_last = count < PAGE_RECORDS;
  page.known_ms = (uint32_t)gapless_ms (memory, memory->since_ms, now_ms);
  frame.body_case = PEER__FRAME__BODY_STREAM_COPY;
  frame.stream_copy = &page;
  transport->vtable->send (transport, host, &frame);
}

static void
send_answer (const struct stream_memory *memory, const char *host,
             const Peer__StreamAsk *ask, int64_t now_ms)
{
  struct transport *transport = memory->options.transport;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__StreamOrigin origin = PEER__STREAM_ORIGIN__INIT;

  origin.id = ask->id;
  origin.stream = ask->stream;
  origin.attempt = ask->attempt;
  origin.is_by_attempt = true;
  origin.build = recent_table_find (
      memory->table, ask->attempt ? ask->attempt : ask->stream, now_ms);
  origin.known_ms = (uint32_t)stream_memory_known_ms (memory, now_ms);
  frame.body_case = PEER__FRAME__BODY_STREAM_ANSWER;
  frame.stream_answer = &origin;
  transport->vtable->send (transport, host, &frame);
}

/* Stores records, answers questions and ignores all other frames.  */
void
stream_memory_handle_frame (struct stream_memory *memory, const char *host,
                            const Peer__Frame *frame, int64_t now_ms)
{
  struct stream_key key;

  switch (frame->body_case)
    {
    case PEER__FRAME__BODY_STREAM_RECORD:
      key = (struct stream_key){ .content = frame->stream_record->stream,
                                 .attempt = frame->stream_record->attempt };
      if (frame->stream_record->build)
        stream_table_record (memory->table, &key, frame->stream_record->build,
                             now_ms);
      break;
    case PEER__FRAME__BODY_STREAM_ASK:
      send_answer (memory, host, frame->stream_ask, now_ms);
      break;
    case PEER__FRAME__BODY_STREAM_COPY_ASK:
      send_page (memory, host, frame->stream_copy_ask, now_ms);
      break;
    case PEER__FRAME__BODY_STREAM_COPY:
      handle_copy (memory, host, frame->stream_copy, now_ms);
      break;
    default:
      break;
    }
}
