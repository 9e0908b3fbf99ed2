#include "feed/table.h"
#include "common/buf.h"
#include "common/log.h"
#include <stdlib.h>

enum
{
  MS_PER_S = 1000,
};

struct table
{
  struct table_options options;
  GHashTable *entries; /* name -> struct table_entry */
  GPtrArray *changed;  /* names since the last commit */
  int64_t revision;
  int64_t fresh_ms; /* the store held just this then */
  bool is_current;  /* everything has been read once */
  ev_timer lapse;   /* runs for a while after the store's return */
  table_listener *listener;
  void *listener_data;
};

static void
entry_destroy (gpointer data)
{
  struct table_entry *entry = data;

  free (entry->name);
  json_decref (entry->object);
  free (entry);
}

static void
note_change (struct table *table, const char *name)
{
  g_ptr_array_add (table->changed, xstrdup (name));
}

static void
drop (struct table *table, struct table_entry *entry)
{
  json_t *object = json_incref (entry->object);
  char *name = xstrdup (entry->name);

  note_change (table, name);
  g_hash_table_remove (table->entries, name);
  if (table->options.handle_object)
    table->options.handle_object (table->options.data, name, object, true);
  json_decref (object);
  free (name);
}

static void
handle_lapse (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct table *table = timer->data;
  GPtrArray *entries = table_entries (table);
  bool dropped = false;

  for (guint i = 0; i < entries->len; i++)
    {
      struct table_entry *entry = entries->pdata[i];

      if (!entry->lapsed)
        continue;
      log_write (LOG_INFO, "table", NULL, "%s of kind %s has not come back",
                 entry->name, table->options.kind);
      drop (table, entry);
      dropped = true;
    }
  g_ptr_array_free (entries, TRUE);
  if (dropped)
    table_commit (table, table->revision, table->fresh_ms, false);
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
  ev_timer_init (&table->lapse, handle_lapse, 0, 0);
  table->lapse.data = table;
  return table;
}

/* Frees the table and its objects.  */
void
table_destroy (struct table *table)
{
  if (!table)
    return;
  ev_timer_stop (table->options.loop, &table->lapse);
  g_ptr_array_free (table->changed, TRUE);
  g_hash_table_destroy (table->entries);
  free (table);
}

/* LISTENER is told of each commit after the table's own handlers.  */
void
table_set_listener (struct table *table, table_listener *listener, void *data)
{
  table->listener = listener;
  table->listener_data = data;
}

/* Returns the kind's name.  */
const char *
table_kind (const struct table *table)
{
  return table->options.kind;
}

/* Takes OBJECT in under NAME, with a new reference, unless a newer one is
   known.  */
void
table_put (struct table *table, const char *name, int64_t revision,
           json_t *object)
{
  struct table_entry *entry = g_hash_table_lookup (table->entries, name);

  if (entry)
    entry->lapsed = false;
  if (entry && entry->revision >= revision)
    return;
  if (!entry)
    {
      entry = xcalloc (1, sizeof *entry);
      entry->name = xstrdup (name);
      g_hash_table_insert (table->entries, entry->name, entry);
    }
  json_decref (entry->object);
  entry->object = json_incref (object);
  entry->revision = revision;
  note_change (table, name);
  if (table->options.handle_object)
    table->options.handle_object (table->options.data, name, object, false);
}

/* Notes that the store holds NAME no more, which last changed at REVISION.
   Shortly after the store's return the entry stays for a while, as it may come
   back.  */
void
table_remove (struct table *table, const char *name, int64_t revision)
{
  struct table_entry *entry = g_hash_table_lookup (table->entries, name);

  if (!entry || entry->revision > revision)
    return;
  if (ev_is_active (&table->lapse))
    entry->lapsed = true;
  else
    drop (table, entry);
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

/* Ends a set of changes: the store held just this, at REVISION, when the clock
   stood at FRESH_MS.  IS_COMPLETE: everything was read.  */
void
table_commit (struct table *table, int64_t revision, int64_t fresh_ms,
              bool is_complete)
{
  GPtrArray *names = table->changed;
  struct table_change change = { .base = table->revision,
                                 .is_complete = is_complete,
                                 .names = names };
  bool is_first = is_complete && !table->is_current;

  table->changed = g_ptr_array_new_with_free_func (free);
  if (revision > table->revision)
    table->revision = revision;
  if (fresh_ms > table->fresh_ms)
    table->fresh_ms = fresh_ms;
  table->is_current = table->is_current || is_complete;
  if (names->len > 0 || is_first)
    table->options.handle_current (table->options.data);
  if (table->listener)
    table->listener (table->listener_data, table, &change);
  g_ptr_array_free (names, TRUE);
}

/* Notes that the store answers again after it did not.  */
void
table_note_return (struct table *table)
{
  if (table->options.lapse_ms == 0 || !table->is_current)
    return;
  ev_timer_stop (table->options.loop, &table->lapse);
  ev_timer_set (&table->lapse,
                (double)table->options.lapse_ms / (double)MS_PER_S, 0);
  ev_timer_start (table->options.loop, &table->lapse);
}

/* Whether everything has been read once.  */
bool
table_is_current (const struct table *table)
{
  return table->is_current;
}

/* Returns the store's revision up to which the table is known.  */
int64_t
table_revision (const struct table *table)
{
  return table->revision;
}

/* Returns when the store was last known to hold just this.  */
int64_t
table_fresh_ms (const struct table *table)
{
  return table->fresh_ms;
}

/* Returns how many objects there are.  */
uint32_t
table_count (const struct table *table)
{
  return g_hash_table_size (table->entries);
}

/* Returns the entry NAME, or NULL.  It is valid until the next change.  */
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
