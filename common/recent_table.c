#include "common/recent_table.h"
#include "common/buf.h"
#include <glib.h>
#include <stdlib.h>

/* Owned by the table. */
struct recent_entry
{
  uint64_t key;
  uint64_t value;
  int64_t recorded_ms;
  uint64_t sequence;
  GList link;
};

struct recent_table
{
  struct recent_table_options options;
  GHashTable *entries; /* key -> struct recent_entry */
  GQueue by_age;       /* struct recent_entry, oldest first */
  uint64_t sequence;   /* of the last record */
  int64_t dropped_ms;  /* when the last entry dropped for room was recorded */
};

/* Creates an empty table.  */
struct recent_table *
recent_table_create (const struct recent_table_options *options)
{
  struct recent_table *table = xcalloc (1, sizeof *table);

  table->options = *options;
  table->dropped_ms = INT64_MIN;
  table->entries
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free);
  g_queue_init (&table->by_age);
  return table;
}

/* Frees the table.  */
void
recent_table_destroy (struct recent_table *table)
{
  if (!table)
    return;
  g_hash_table_destroy (table->entries);
  free (table);
}

static void
remove_oldest (struct recent_table *table)
{
  GList *link = g_queue_pop_head_link (&table->by_age);
  struct recent_entry *entry = link->data;

  g_hash_table_remove (table->entries, &entry->key);
}

/* Removes entries that are too old or exceed the capacity.  */
static void
expire (struct recent_table *table, int64_t now_ms)
{
  const struct recent_entry *oldest;

  while ((oldest = g_queue_peek_head (&table->by_age))
         && (now_ms - oldest->recorded_ms > table->options.ttl_ms
             || table->by_age.length > table->options.capacity))
    {
      if (now_ms - oldest->recorded_ms <= table->options.ttl_ms)
        table->dropped_ms = oldest->recorded_ms;
      remove_oldest (table);
    }
}

/* Records VALUE, which is not 0, under KEY.  A key that is known keeps its
   value and counts as new.  */
void
recent_table_record (struct recent_table *table, uint64_t key, uint64_t value,
                     int64_t now_ms)
{
  struct recent_entry *entry;

  expire (table, now_ms);
  entry = g_hash_table_lookup (table->entries, &key);
  if (entry)
    g_queue_unlink (&table->by_age, &entry->link);
  else
    {
      entry = xcalloc (1, sizeof *entry);
      entry->key = key;
      entry->value = value;
      entry->link.data = entry;
      g_hash_table_insert (table->entries, &entry->key, entry);
    }
  entry->recorded_ms = now_ms;
  entry->sequence = ++table->sequence;
  g_queue_push_tail_link (&table->by_age, &entry->link);
  expire (table, now_ms);
}

/* Records VALUE, which is not 0, under KEY in place of the value that it may
   have.  */
void
recent_table_replace (struct recent_table *table, uint64_t key, uint64_t value,
                      int64_t now_ms)
{
  struct recent_entry *entry;

  recent_table_record (table, key, value, now_ms);
  entry = g_hash_table_lookup (table->entries, &key);
  if (entry)
    entry->value = value;
}

/* Returns the value under KEY, or 0 if it is not known.  */
uint64_t
recent_table_find (struct recent_table *table, uint64_t key, int64_t now_ms)
{
  const struct recent_entry *entry;

  expire (table, now_ms);
  entry = g_hash_table_lookup (table->entries, &key);
  return entry ? entry->value : 0;
}

/* Writes up to MAX entries that were recorded last after the sequence AFTER,
   in this order, to RECORDS and returns their number.  */
size_t
recent_table_list (const struct recent_table *table, uint64_t after,
                   struct recent_record *records, size_t max)
{
  size_t count = 0;

  for (const GList *at = table->by_age.head; at && count < max; at = at->next)
    {
      const struct recent_entry *entry = at->data;

      if (entry->sequence > after)
        records[count++] = (struct recent_record){
          .key = entry->key, .value = entry->value, .sequence = entry->sequence
        };
    }
  return count;
}

/* Returns a time so that all entries that were recorded after it are here but
   for those that have expired; INT64_MIN if none was dropped for room.  */
int64_t
recent_table_dropped_ms (const struct recent_table *table)
{
  return table->dropped_ms;
}

/* Returns the number of entries.  */
uint32_t
recent_table_count (const struct recent_table *table)
{
  return table->by_age.length;
}
