#include "common/object.h"
#include "common/buf.h"
#include "common/counters.h"
#include "common/id.h"
#include "common/log.h"
#include "common/recent_table.h"
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_NAME_BYTES = 1024, /* in the text */
  SHOWN_NAME_BYTES = 64,
  /* Revisions of objects that are remembered as logged, in about 100 bytes
     each, and for how long after the last time that they were read. */
  MAX_REPORTED = 1024,
  REPORTED_MS = 24 * 3600 * 1000,
};

/* Reads the name and the revision of the object in TEXT, as far as they can be
   told; the rest of it need not be valid.  The caller releases ID.  */
void
object_id_read (struct object_id *id, struct json_span text)
{
  struct json_span metadata;
  struct json_span value;

  *id = (struct object_id){ 0 };
  if (!json_span_member (text, "metadata", &metadata))
    return;
  if (json_span_member (metadata, "name", &value))
    id->name = json_span_read_string (value, MAX_NAME_BYTES);
  if (id->name && !*id->name)
    object_id_release (id);
  if (json_span_member (metadata, "rev", &value)
      && (!json_span_read_int64 (value, &id->revision) || id->revision < 0))
    id->revision = 0;
}

/* Frees the name.  */
void
object_id_release (struct object_id *id)
{
  free (id->name);
  id->name = NULL;
}

/* The parser's own message quotes the text, which may hold keys.  */
static const char *
describe (const json_error_t *error)
{
  switch (json_error_code (error))
    {
    case json_error_numeric_overflow:
      return "a number is too large";
    case json_error_stack_overflow:
      return "it is nested too deeply";
    case json_error_invalid_utf8:
      return "it is not valid UTF-8";
    case json_error_null_character:
    case json_error_null_byte_in_key:
      return "a string contains a NUL character";
    default:
      return "it is not valid JSON";
    }
}

/* Parses an object whose tree takes at most MAX_TREE_BYTES.  The caller
   unrefs the result.  For other texts, sets REASON, which is static, and
   returns an empty object.  */
json_t *
object_parse (struct json_span text, size_t max_tree_bytes,
              const char **reason)
{
  json_error_t error;
  json_t *object = NULL;

  *reason = NULL;
  if (json_span_tree_bytes (text) > max_tree_bytes)
    *reason = "it is larger than any object of its kind";
  else
    {
      object = json_loadb (text.text, text.len, 0, &error);
      if (!object)
        *reason = describe (&error);
      else if (!json_is_object (object))
        *reason = "it is not an object";
    }
  if (!*reason)
    return object;
  json_decref (object);
  return json_object ();
}

static void
copy_printable (char out[SHOWN_NAME_BYTES], const char *name)
{
  size_t len = strnlen (name, SHOWN_NAME_BYTES - 1);

  for (size_t i = 0; i < len; i++)
    out[i] = g_ascii_isprint (name[i]) ? name[i] : '?';
  out[len] = '\0';
}

/* Logs and counts, once for each revision, that the object NAME of KIND is not
   used for REASON.  NAME is NULL if it cannot be told; such objects are told
   apart by the reason only.  Only for the control thread.  */
void
object_report_unreadable (const char *kind, const char *name, int64_t revision,
                          const char *reason)
{
  static const struct recent_table_options options
      = { .capacity = MAX_REPORTED, .ttl_ms = REPORTED_MS };
  static struct recent_table *reported;
  char shown[SHOWN_NAME_BYTES];
  uint64_t key = id_hash_text (kind);
  int64_t now_ms = clock_now_ms ();
  bool is_known;

  if (!reported)
    reported = recent_table_create (&options);
  key ^= id_hash64 (&revision, sizeof revision,
                    id_hash_text (name ? name : reason));
  is_known = recent_table_find (reported, key, now_ms) > 0;
  recent_table_record (reported, key, 1, now_ms);
  if (is_known)
    return;
  counter_add (COUNTER_OBJECTS_UNREADABLE, 1);
  copy_printable (shown, name ? name : "(no readable name)");
  log_write (LOG_WARN, "object", NULL,
             "object %s of kind %s, revision %" PRId64 ", is not used: %s",
             shown, kind, revision, reason);
}
