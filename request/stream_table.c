#include "request/stream_table.h"
#include "common/buf.h"
#include <glib.h>
#include <stdlib.h>

/* Owned by the table. */
struct stream_entry
{
  uint64_t stream; /* hash that identifies it */
  uint64_t build;
  int64_t recorded_ms;
  GList link;
};

struct stream_table
{
  uint32_t capacity;
  GHashTable *entries; /* stream -> struct stream_entry */
  GQueue by_age;       /* struct stream_entry, oldest first */
};

/* Creates a table that keeps the CAPACITY latest streams.  */
struct stream_table *
stream_table_create (uint32_t capacity)
{
  struct stream_table *table = xcalloc (1, sizeof *table);

  table->capacity = capacity;
  table->entries
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free);
  g_queue_init (&table->by_age);
  return table;
}

/* Frees the table.  */
void
stream_table_destroy (struct stream_table *table)
{
  if (!table)
    return;
  g_hash_table_destroy (table->entries);
  free (table);
}

static void
remove_oldest (struct stream_table *table)
{
  GList *link = g_queue_pop_head_link (&table->by_age);
  struct stream_entry *entry = link->data;

  g_hash_table_remove (table->entries, &entry->stream);
}

/* Removes streams that are too old or exceed the capacity.  */
static void
expire (struct stream_table *table, int64_t now_ms)
{
  const struct stream_entry *oldest;

  while ((oldest = g_queue_peek_head (&table->by_age))
         && (now_ms - oldest->recorded_ms > STREAM_TTL_MS
             || table->by_age.length > table->capacity))
    remove_oldest (table);
}

/* Records that STREAM began at BUILD.  A stream that is known keeps its build
   and counts as new.  */
void
stream_table_record (struct stream_table *table, uint64_t stream,
                     uint64_t build, int64_t now_ms)
{
  struct stream_entry *entry;

  expire (table, now_ms);
  entry = g_hash_table_lookup (table->entries, &stream);
  if (entry)
    g_queue_unlink (&table->by_age, &entry->link);
  else
    {
      entry = xcalloc (1, sizeof *entry);
      entry->stream = stream;
      entry->build = build;
      entry->link.data = entry;
      g_hash_table_insert (table->entries, &entry->stream, entry);
    }
  entry->recorded_ms = now_ms;
  g_queue_push_tail_link (&table->by_age, &entry->link);
  expire (table, now_ms);
}

/* Returns the build that began STREAM, or 0 if it is not known.  */
uint64_t
stream_table_find (struct stream_table *table, uint64_t stream, int64_t now_ms)
{
  const struct stream_entry *entry;

  expire (table, now_ms);
  entry = g_hash_table_lookup (table->entries, &stream);
  return entry ? entry->build : 0;
}

/* Returns the number of streams in the table.  */
uint32_t
stream_table_count (const struct stream_table *table)
{
  return table->by_age.length;
}
