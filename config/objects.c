#include "config/objects.h"
#include "common/buf.h"
#include "common/object.h"
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_NAME_BYTES = 256, /* of a kind or a name that is logged */
};

/* Initialises an empty set.  */
void
objects_init (struct objects *objects)
{
  objects->by_key = json_object ();
  objects->withdrawn = json_object ();
  objects->revision = 0;
}

/* Frees the members of the set.  */
void
objects_release (struct objects *objects)
{
  json_decref (objects->by_key);
  json_decref (objects->withdrawn);
}

/* Logs and counts an object that is left out.  */
static void
report_unreadable (struct json_span text, const char *reason)
{
  struct json_span value;
  int64_t version = 0;
  char *kind = NULL;
  char *name = NULL;

  if (json_span_member (text, "kind", &value))
    kind = json_span_read_string (value, MAX_NAME_BYTES);
  if (json_span_member (text, "name", &value))
    name = json_span_read_string (value, MAX_NAME_BYTES);
  if (json_span_member (text, "version", &value))
    json_span_read_int64 (value, &version);
  object_report_unreadable (kind ? kind : "(unknown)", name, version, reason);
  free (kind);
  free (name);
}

static json_t *
parse_readable (struct json_span array)
{
  json_t *list = json_array ();
  struct json_items items;

  json_items_init (&items, array);
  while (json_items_next (&items))
    {
      const char *reason;
      json_t *object = object_parse (items.at, SIZE_MAX, &reason);

      if (reason)
        {
          report_unreadable (items.at, reason);
          json_decref (object);
        }
      else
        json_array_append_new (list, object);
    }
  return list;
}

/* Parses a reply of the platform, as a new reference.  From a list of objects
   some of which cannot be read, these are left out.  Returns NULL if TEXT as a
   whole is not JSON.  */
json_t *
objects_parse_reply (struct json_span text)
{
  json_t *reply = json_loadb (text.text, text.len, 0, NULL);
  struct json_span array;
  struct json_span value;
  int64_t revision;

  if (reply)
    return reply;
  if (!json_span_is_whole (text) || !json_span_member (text, "objects", &array)
      || !json_span_is_array (array)
      || !json_span_member (text, "revision", &value)
      || !json_span_read_int64 (value, &revision))
    return NULL;
  return json_pack ("{s:o, s:I}", "objects", parse_readable (array),
                    "revision", (json_int_t)revision);
}

/* Returns the version of an object, or 0 when it has none.  */
uint64_t
objects_version (const json_t *object)
{
  json_int_t version
      = json_integer_value (json_object_get (object, "version"));

  return version > 0 ? (uint64_t)version : 0;
}

/* Adds OBJECT if it is newer than the one in the set.  Returns whether it
   was.  */
static bool
merge_object (struct objects *objects, json_t *object)
{
  const char *kind = json_string_value (json_object_get (object, "kind"));
  const char *name = json_string_value (json_object_get (object, "name"));
  uint64_t version = objects_version (object);
  char *key;
  bool newer;

  if (!kind || !name || version == 0)
    return false;
  key = xasprintf ("%s/%s", kind, name);
  newer = version > objects_version (json_object_get (objects->by_key, key));
  if (newer)
    json_object_set (objects->by_key, key, object);
  free (key);
  if (version > objects->revision)
    objects->revision = version;
  return newer;
}

/* Adds the objects in LIST that are newer than those in the set.  Returns
   whether there were any.  */
bool
objects_merge (struct objects *objects, const json_t *list)
{
  bool changed = false;
  size_t i;
  json_t *object;

  json_array_foreach (list, i, object) if (merge_object (objects, object))
      changed
      = true;
  return changed;
}

/* Marks a key as withdrawn, whatever its object says now or later.  Returns
   false when it was already marked.  */
bool
objects_withdraw_key (struct objects *objects, const char *key_id)
{
  if (json_object_get (objects->withdrawn, key_id))
    return false;
  json_object_set_new (objects->withdrawn, key_id, json_true ());
  return true;
}

/* Returns OBJECT, or a copy with "withdrawn" set if it is a key that is marked
   as withdrawn, as a new reference.  */
static json_t *
apply_withdrawal (const struct objects *objects, json_t *object)
{
  const char *kind = json_string_value (json_object_get (object, "kind"));
  const char *name = json_string_value (json_object_get (object, "name"));
  json_t *copy;

  if (strcmp (kind, "key") != 0 || !json_object_get (objects->withdrawn, name))
    return json_incref (object);
  copy = json_deep_copy (object);
  json_object_set_new (json_object_get (copy, "data"), "withdrawn",
                       json_true ());
  return copy;
}

/* Returns the objects that are not deleted, as a new reference.  Keys marked
   as withdrawn have "withdrawn" set.  */
json_t *
objects_live (const struct objects *objects)
{
  json_t *list = json_array ();
  const char *key;
  json_t *object;

  json_object_foreach (objects->by_key, key, object)
  {
    if (!json_is_true (json_object_get (object, "deleted")))
      json_array_append_new (list, apply_withdrawal (objects, object));
  }
  return list;
}

/* Returns the objects with versions above REVISION, including deleted ones, as
   a new reference.  */
json_t *
objects_since (const struct objects *objects, uint64_t revision)
{
  json_t *list = json_array ();
  const char *key;
  json_t *object;

  json_object_foreach (objects->by_key, key, object)
  {
    if (objects_version (object) > revision)
      json_array_append (list, object);
  }
  return list;
}

/* Returns an object, or NULL when it does not exist or is deleted.  */
const json_t *
objects_find (const struct objects *objects, const char *kind,
              const char *name)
{
  char *key = xasprintf ("%s/%s", kind, name);
  const json_t *object = json_object_get (objects->by_key, key);

  free (key);
  if (!object || json_is_true (json_object_get (object, "deleted")))
    return NULL;
  return object;
}
