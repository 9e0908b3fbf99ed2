#include "feed/update.h"
#include "common/deflate.h"
#include "common/memory.h"
#include <stdlib.h>
#include <string.h>

/* Fills STATE with what TABLE holds.  */
void
update_fill_state (Peer__FeedState *state, const struct table *table,
                   int64_t now_ms)
{
  peer__feed_state__init (state);
  state->kind = (char *)(uintptr_t)table_kind (table);
  state->revision = (uint64_t)table_revision (table);
  state->count = table_count (table);
  state->age_ms = (uint32_t)(now_ms - table_as_of_ms (table));
}

static void
object_free (gpointer data)
{
  Peer__FeedObject *object = data;

  free (object->text.data);
  free (object);
}

/* Prepares an update of TABLE without objects.  */
void
update_init (struct update *update, const struct table *table, int64_t base,
             int64_t now_ms)
{
  peer__feed_update__init (&update->message);
  update_fill_state (&update->state, table, now_ms);
  update->message.state = &update->state;
  update->message.since = (uint64_t)base;
  update->objects = g_ptr_array_new_with_free_func (object_free);
  update->names = g_ptr_array_new ();
}

/* Frees what the update holds.  */
void
update_release (struct update *update)
{
  g_ptr_array_free (update->objects, TRUE);
  g_ptr_array_free (update->names, TRUE);
}

/* Adds the object of ENTRY.  */
void
update_add (struct update *update, const struct table_entry *entry)
{
  Peer__FeedObject *object = xcalloc (1, sizeof *object);

  peer__feed_object__init (object);
  object->name = entry->name;
  object->revision = (uint64_t)entry->revision;
  object->text.data = (uint8_t *)table_entry_text (entry, &object->text.len);
  g_ptr_array_add (update->objects, object);
}

/* Adds that the object NAME was removed.  */
void
update_add_removed (struct update *update, const char *name)
{
  Peer__FeedObject *object = xcalloc (1, sizeof *object);

  peer__feed_object__init (object);
  object->name = (char *)(uintptr_t)name;
  g_ptr_array_add (update->objects, object);
}

/* Makes the update complete: it names all objects of TABLE.  */
void
update_add_names (struct update *update, const struct table *table)
{
  GPtrArray *entries = table_entries (table);

  update->message.is_complete = true;
  for (guint i = 0; i < entries->len; i++)
    g_ptr_array_add (update->names,
                     ((const struct table_entry *)entries->pdata[i])->name);
  g_ptr_array_free (entries, TRUE);
}

/* Adds all objects of TABLE that changed after the base revision.  */
void
update_add_changed (struct update *update, const struct table *table)
{
  GPtrArray *entries = table_entries (table);

  for (guint i = 0; i < entries->len; i++)
    {
      const struct table_entry *entry = entries->pdata[i];

      if (entry->revision > (int64_t)update->message.since)
        update_add (update, entry);
    }
  g_ptr_array_free (entries, TRUE);
}

/* Returns the size of the objects and names.  */
size_t
update_bytes (const struct update *update)
{
  size_t bytes = 0;

  for (guint i = 0; i < update->objects->len; i++)
    bytes += ((const Peer__FeedObject *)update->objects->pdata[i])->text.len;
  for (guint i = 0; i < update->names->len; i++)
    bytes += strlen (update->names->pdata[i]);
  return bytes;
}

/* Makes FRAME carry the update, which must outlive it.  */
void
update_to_frame (struct update *update, Peer__Frame *frame)
{
  peer__frame__init (frame);
  update->message.objects = (Peer__FeedObject **)update->objects->pdata;
  update->message.n_objects = update->objects->len;
  update->message.names = (char **)update->names->pdata;
  update->message.n_names = update->names->len;
  frame->body_case = PEER__FRAME__BODY_FEED_UPDATE;
  frame->feed_update = &update->message;
}

/* Returns the lowest revision after which the same objects of TABLE changed as
   after REVISION, so that hosts which know different revisions get the same
   payload.  */
int64_t
update_base (const struct table *table, int64_t revision)
{
  GPtrArray *entries = table_entries (table);
  int64_t base = 0;

  for (guint i = 0; i < entries->len; i++)
    {
      const struct table_entry *entry = entries->pdata[i];

      if (entry->revision <= revision && entry->revision > base)
        base = entry->revision;
    }
  g_ptr_array_free (entries, TRUE);
  return base;
}

/* Whether PAYLOAD has what changed in TABLE after BASE, as update_base returns
   it.  */
bool
payload_is_current (const struct payload *payload, const struct table *table,
                    int64_t base)
{
  return payload->generation != 0
         && payload->generation == table_generation (table)
         && payload->base == base;
}

/* Frees the payload.  */
void
payload_release (struct payload *payload)
{
  memory_add (MEMORY_OBJECTS, -(int64_t)payload->deflated.capacity);
  buf_release (&payload->deflated);
  payload->generation = 0;
}

/* Replaces the payload with UPDATE, a complete one of TABLE.  */
void
payload_set (struct payload *payload, struct update *update,
             const struct table *table)
{
  Peer__FeedUpdate inner = PEER__FEED_UPDATE__INIT;
  uint8_t *packed;

  payload_release (payload);
  inner.objects = (Peer__FeedObject **)update->objects->pdata;
  inner.n_objects = update->objects->len;
  inner.names = (char **)update->names->pdata;
  inner.n_names = update->names->len;
  payload->inflated_bytes = peer__feed_update__get_packed_size (&inner);
  packed = xcalloc (1, payload->inflated_bytes + 1);
  peer__feed_update__pack (&inner, packed);
  deflate_append (&payload->deflated, packed, payload->inflated_bytes);
  free (packed);
  payload->generation = table_generation (table);
  payload->base = (int64_t)update->message.since;
  memory_add (MEMORY_OBJECTS, (int64_t)payload->deflated.capacity);
}

/* Returns the objects and names in DEFLATED, which the caller frees, or NULL
   if it is not valid.  */
Peer__FeedUpdate *
payload_inflate (const uint8_t *deflated, size_t len, size_t inflated_bytes)
{
  struct buf inflated = { 0 };
  Peer__FeedUpdate *update = NULL;

  if (inflate_append (&inflated, deflated, len, inflated_bytes))
    update = peer__feed_update__unpack (NULL, inflated.len,
                                        (const uint8_t *)inflated.data);
  buf_release (&inflated);
  return update;
}
