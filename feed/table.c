#include "feed/table.h"
#include "common/buf.h"
#include "common/deflate.h"
#include "common/log.h"
#include "common/memory.h"
#include "common/object.h"
#include <stdlib.h>
#include <string.h>

enum
{
  MS_PER_S = 1000,
  /* A tree takes about eight times its text, a compressed text a seventh. */
  MIN_PACKED_BYTES = 16 * 1024,
};

struct table
{
  struct table_options options;
  GHashTable *entries; /* name -> struct table_entry */
  GPtrArray *changed;  /* names changed since the last commit */
  uint64_t generation; /* of the content; 0 before the first commit */
  int64_t revision;
  int64_t as_of_ms;     /* when the store last had exactly this content */
  bool has_unpacked;    /* objects were stored since table_pack */
  bool is_loaded;       /* a complete read has been committed */
  ev_timer grace_timer; /* grace period after the store has recovered */
  table_listener *listener;
  void *listener_data;
};

static void
release_packed (struct table_entry *entry)
{
  memory_add (MEMORY_OBJECTS, -(int64_t)entry->packed.capacity);
  buf_release (&entry->packed);
}

static void
entry_destroy (gpointer data)
{
  struct table_entry *entry = data;

  free (entry->name);
  json_decref (entry->object);
  release_packed (entry);
  free (entry);
}

/* What count_text counts, up to a limit. */
struct text_count
{
  size_t bytes;
  size_t limit_bytes;
};

static int
count_text (const char *text, size_t len, void *data)
{
  struct text_count *count = data;

  count->bytes += len;
  return count->bytes > count->limit_bytes ? -1 : 0;
}

/* Whether the text of the entry's object is longer than LIMIT_BYTES.  */
bool
table_entry_is_larger (const struct table_entry *entry, size_t limit_bytes)
{
  struct text_count count = { .limit_bytes = limit_bytes };

  return entry->object ? json_dump_callback (entry->object, count_text, &count,
                                             JSON_COMPACT)
                             != 0
                       : entry->text_bytes > limit_bytes;
}

/* Returns the text of the entry's object, which the caller frees, and sets its
   length.  */
char *
table_entry_text (const struct table_entry *entry, size_t *len)
{
  struct buf text = { 0 };
  char *copy;

  if (entry->object)
    {
      copy = json_dumps (entry->object, JSON_COMPACT);
      *len = strlen (copy);
      return copy;
    }
  if (!inflate_append (&text, entry->packed.data, entry->packed.len,
                       entry->text_bytes))
    abort ();
  *len = text.len;
  return text.data;
}

static void
pack_entry (struct table_entry *entry)
{
  char *text = table_entry_text (entry, &entry->text_bytes);

  deflate_append (&entry->packed, text, entry->text_bytes);
  memory_add (MEMORY_OBJECTS, (int64_t)entry->packed.capacity);
  json_decref (entry->object);
  entry->object = NULL;
  free (text);
}

/* Replaces large objects with their compressed texts, once their handlers have
   seen them, if the table's options allow it.  */
void
table_pack (struct table *table)
{
  GHashTableIter iter;
  gpointer value;

  if (!table->options.packs_objects || !table->has_unpacked)
    return;
  table->has_unpacked = false;
  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct table_entry *entry = value;

      if (entry->object && table_entry_is_larger (entry, MIN_PACKED_BYTES))
        pack_entry (entry);
    }
}

static void
record_change (struct table *table, const char *name)
{
  g_ptr_array_add (table->changed, xstrdup (name));
}

static void
remove_entry (struct table *table, struct table_entry *entry)
{
  json_t *object = json_incref (entry->object);
  char *name = xstrdup (entry->name);

  record_change (table, name);
  g_hash_table_remove (table->entries, name);
  if (table->options.handle_object)
    table->options.handle_object (table->options.data, name, object, true);
  json_decref (object);
  free (name);
}

static void
handle_grace_end (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct table *table = timer->data;
  GPtrArray *entries = table_entries (table);
  bool removed_any = false;

  for (guint i = 0; i < entries->len; i++)
    {
      struct table_entry *entry = entries->pdata[i];

      if (!entry->is_missing)
        continue;
      log_write (LOG_INFO, "table", NULL,
                 "removed %s of kind %s: still missing in the store after the "
                 "grace period",
                 entry->name, table->options.kind);
      remove_entry (table, entry);
      removed_any = true;
    }
  g_ptr_array_free (entries, TRUE);
  if (removed_any)
    table_commit (table, table->revision, table->as_of_ms, false);
}

/* Creates an empty table.  */
struct table *
table_create (const struct table_options *options)
{
  struct table *table = xcalloc (1, sizeof *table);

  table->options = *options;
  table->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_destroy);
  table->changed = g_ptr_array_new_with_free_func (free);
  ev_timer_init (&table->grace_timer, handle_grace_end, 0, 0);
  table->grace_timer.data = table;
  return table;
}

/* Frees the table and its objects.  */
void
table_destroy (struct table *table)
{
  if (!table)
    return;
  ev_timer_stop (table->options.loop, &table->grace_timer);
  g_ptr_array_free (table->changed, TRUE);
  g_hash_table_destroy (table->entries);
  free (table);
}

/* Sets the listener, which is called at each commit after the table's own
   handlers.  */
void
table_set_listener (struct table *table, table_listener *listener, void *data)
{
  table->listener = listener;
  table->listener_data = data;
}

/* Returns the name of the table's kind of objects.  */
const char *
table_kind (const struct table *table)
{
  return table->options.kind;
}

/* Returns the limit for an object's parsed tree.  */
size_t
table_max_tree_bytes (const struct table *table)
{
  return table->options.max_tree_bytes > 0 ? table->options.max_tree_bytes
                                           : OBJECT_MAX_TREE_BYTES;
}

/* Whether the table's content already accounts for an unknown object's
   REVISION: it has been removed since then.  A table that is still being read
   has no such content.  */
static bool
is_removed_since (const struct table *table, int64_t revision)
{
  return table->is_loaded && revision <= table->revision;
}

/* Stores OBJECT under NAME, adding a reference, unless the table already has
   this or a later revision of it, or has removed it since: a delayed answer of
   the store may be older than the changes that another host has forwarded.  */
void
table_put (struct table *table, const char *name, int64_t revision,
           json_t *object)
{
  struct table_entry *entry = g_hash_table_lookup (table->entries, name);

  if (entry)
    entry->is_missing = false;
  if (entry ? entry->revision >= revision : is_removed_since (table, revision))
    return;
  if (!entry)
    {
      entry = xcalloc (1, sizeof *entry);
      entry->name = xstrdup (name);
      g_hash_table_insert (table->entries, entry->name, entry);
    }
  json_decref (entry->object);
  release_packed (entry);
  entry->object = json_incref (object);
  entry->revision = revision;
  table->has_unpacked = true;
  record_change (table, name);
  if (table->options.handle_object)
    table->options.handle_object (table->options.data, name, object, false);
}

/* Removes the entry NAME unless it changed after REVISION.  During the grace
   period after the store has recovered, the entry is kept until the end of
   that period, as it may reappear.  */
void
table_remove (struct table *table, const char *name, int64_t revision)
{
  struct table_entry *entry = g_hash_table_lookup (table->entries, name);

  if (!entry || entry->revision > revision)
    return;
  if (ev_is_active (&table->grace_timer))
    entry->is_missing = true;
  else
    remove_entry (table, entry);
}

/* Removes every entry whose name is not in NAMES.  */
void
table_retain (struct table *table, GHashTable *names)
{
  GPtrArray *entries = table_entries (table);

  for (guint i = 0; i < entries->len; i++)
    {
      const struct table_entry *entry = entries->pdata[i];

      if (!g_hash_table_contains (names, entry->name))
        table_remove (table, entry->name, INT64_MAX);
    }
  g_ptr_array_free (entries, TRUE);
}

/* Ends a set of changes.  The table now equals the store's content at
   REVISION, as of AS_OF_MS.  IS_COMPLETE: the whole content was read.  */
void
table_commit (struct table *table, int64_t revision, int64_t as_of_ms,
              bool is_complete)
{
  GPtrArray *names = table->changed;
  struct table_change change = { .base = table->revision,
                                 .is_complete = is_complete,
                                 .names = names };
  bool is_first_load = is_complete && !table->is_loaded;

  table->changed = g_ptr_array_new_with_free_func (free);
  if (revision > table->revision)
    table->revision = revision;
  if (as_of_ms > table->as_of_ms)
    table->as_of_ms = as_of_ms;
  table->is_loaded = table->is_loaded || is_complete;
  table->generation += names->len > 0 || is_first_load;
  if (names->len > 0 || is_first_load)
    table->options.handle_commit (table->options.data);
  if (table->listener)
    table->listener (table->listener_data, table, &change);
  g_ptr_array_free (names, TRUE);
}

/* Starts the grace period, when the store answers again after an outage.  */
void
table_start_grace_period (struct table *table)
{
  if (table->options.grace_ms == 0 || !table->is_loaded)
    return;
  ev_timer_stop (table->options.loop, &table->grace_timer);
  ev_timer_set (&table->grace_timer,
                (double)table->options.grace_ms / (double)MS_PER_S, 0);
  ev_timer_start (table->options.loop, &table->grace_timer);
}

/* Whether the whole content has been read at least once.  */
bool
table_is_loaded (const struct table *table)
{
  return table->is_loaded;
}

/* Returns the store's revision that the table reflects.  */
int64_t
table_revision (const struct table *table)
{
  return table->revision;
}

/* Returns a number that changes with each commit of changes.  */
uint64_t
table_generation (const struct table *table)
{
  return table->generation;
}

/* Returns the last time at which the store had exactly this content.  */
int64_t
table_as_of_ms (const struct table *table)
{
  return table->as_of_ms;
}

/* Returns the number of objects.  */
uint32_t
table_count (const struct table *table)
{
  return g_hash_table_size (table->entries);
}

/* Returns the entry NAME, or NULL.  It is valid until the next change of the
   table.  */
const struct table_entry *
table_find (const struct table *table, const char *name)
{
  return g_hash_table_lookup (table->entries, name);
}

/* Returns all entries; the caller frees the array.  */
GPtrArray *
table_entries (const struct table *table)
{
  GPtrArray *entries = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (entries, value);
  return entries;
}
