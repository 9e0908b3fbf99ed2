#include "common/fields.h"
#include "common/buf.h"
#include <stdlib.h>
#include <string.h>

static const double MILLI_PER_UNIT = 1000;
static const double MAX_MILLI = 1e15;

static const char *const type_names[] = {
  [FIELD_STRING] = "a string",
  [FIELD_INT64] = "an integer",
  [FIELD_MILLI] = "a number",
  [FIELD_BOOL] = "true or false",
  [FIELD_STRINGS] = "an array of strings",
  [FIELD_JSON] = "an object or an array",
};

static const struct field *
find_field (const struct field *fields, size_t count, const char *name)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (fields[i].name, name) == 0)
      return &fields[i];
  return NULL;
}

static bool
type_matches (const struct field *field, const json_t *value)
{
  size_t i;
  json_t *item;

  switch (field->type)
    {
    case FIELD_STRING:
      return json_is_string (value);
    case FIELD_INT64:
      return json_is_integer (value);
    case FIELD_MILLI:
      return json_is_number (value);
    case FIELD_BOOL:
      return json_is_boolean (value);
    case FIELD_JSON:
      return json_is_object (value) || json_is_array (value);
    case FIELD_STRINGS:
      if (!json_is_array (value))
        return false;
      json_array_foreach (value, i,
                          item) if (!json_is_string (item)) return false;
      return true;
    }
  return false;
}

/* Returns thousandths of a number; very large ones are cut off.  */
static int64_t
to_milli (const json_t *value)
{
  double milli = json_number_value (value) * MILLI_PER_UNIT;

  if (milli > MAX_MILLI)
    return (int64_t)MAX_MILLI;
  return milli < -MAX_MILLI ? -(int64_t)MAX_MILLI : (int64_t)milli;
}

static bool
check_range (const struct field *field, const json_t *value, const char *where,
             struct error *error)
{
  json_int_t number;

  if (field->type != FIELD_INT64 && field->type != FIELD_MILLI)
    return true;
  number = field->type == FIELD_MILLI ? to_milli (value)
                                      : json_integer_value (value);
  if (number >= field->min && number <= field->max)
    return true;
  error_set (error, ERROR_SETTINGS, RUN_NOT_RUN,
             "%s: \"%s\" is %lld; it must be between %lld and %lld", where,
             field->name, (long long)number, (long long)field->min,
             (long long)field->max);
  return false;
}

/* Frees all strings and resets STRINGS to an empty list.  */
void
strings_release (struct strings *strings)
{
  for (size_t i = 0; i < strings->count; i++)
    free (strings->items[i]);
  free (strings->items);
  *strings = (struct strings){ 0 };
}

/* Appends a copy of ITEM.  */
void
strings_add (struct strings *strings, const char *item)
{
  strings->items = xrealloc (strings->items,
                             (strings->count + 1) * sizeof *strings->items);
  strings->items[strings->count++] = xstrdup (item);
}

/* Replaces the strings of TO by copies of those of FROM.  */
void
strings_copy (struct strings *to, const struct strings *from)
{
  strings_release (to);
  to->count = from->count;
  to->items = xcalloc (from->count + 1, sizeof (char *));
  for (size_t i = 0; i < from->count; i++)
    to->items[i] = xstrdup (from->items[i]);
}

static void
set_member (const struct field *field, json_t *value, void *out)
{
  char *member = (char *)out + field->offset;
  struct strings *strings;

  switch (field->type)
    {
    case FIELD_STRING:
      free (*(char **)(void *)member);
      *(char **)(void *)member = xstrdup (json_string_value (value));
      break;
    case FIELD_INT64:
      *(int64_t *)(void *)member = json_integer_value (value);
      break;
    case FIELD_MILLI:
      *(int64_t *)(void *)member = to_milli (value);
      break;
    case FIELD_BOOL:
      *(bool *)member = json_is_true (value);
      break;
    case FIELD_JSON:
      json_decref (*(json_t **)(void *)member);
      *(json_t **)(void *)member = json_incref (value);
      break;
    case FIELD_STRINGS:
      strings = (struct strings *)(void *)member;
      strings_release (strings);
      strings->count = json_array_size (value);
      strings->items = xcalloc (strings->count + 1, sizeof (char *));
      for (size_t i = 0; i < strings->count; i++)
        strings->items[i]
            = xstrdup (json_string_value (json_array_get (value, i)));
      break;
    }
}

static bool
check_required (const json_t *object, const struct field *fields, size_t count,
                const char *where, struct error *error)
{
  for (size_t i = 0; i < count; i++)
    {
      if (!fields[i].required || json_object_get (object, fields[i].name))
        continue;
      error_set (error, ERROR_SETTINGS, RUN_NOT_RUN,
                 "%s: \"%s\" is missing; %s", where, fields[i].name,
                 fields[i].remedy ? fields[i].remedy : "add it");
      return false;
    }
  return true;
}

/* Validates all keys of OBJECT against FIELDS, then stores the values in OUT.
   Members of OUT without a key are left unchanged.  WHERE is the prefix of
   error messages.  Returns false and leaves OUT unchanged if OBJECT is
   invalid.  */
bool
fields_read (const json_t *object, const struct field *fields, size_t count,
             const char *where, void *out, struct error *error)
{
  const char *name;
  json_t *value;

  if (!json_is_object (object))
    {
      error_set (error, ERROR_SETTINGS, RUN_NOT_RUN,
                 "%s: not a JSON object; enclose it in { ... }", where);
      return false;
    }
  if (!check_required (object, fields, count, where, error))
    return false;
  json_object_foreach ((json_t *)object, name, value)
  {
    const struct field *field = find_field (fields, count, name);

    if (!field)
      {
        error_set (error, ERROR_SETTINGS, RUN_NOT_RUN,
                   "%s: unknown key \"%s\"; remove or rename it", where, name);
        return false;
      }
    if (!type_matches (field, value))
      {
        error_set (error, ERROR_SETTINGS, RUN_NOT_RUN, "%s: \"%s\" must be %s",
                   where, name, type_names[field->type]);
        return false;
      }
    if (!check_range (field, value, where, error))
      return false;
  }
  json_object_foreach ((json_t *)object, name, value)
      set_member (find_field (fields, count, name), value, out);
  return true;
}

/* Frees the values that fields_read stored in OUT.  */
void
fields_release (const struct field *fields, size_t count, void *out)
{
  for (size_t i = 0; i < count; i++)
    {
      char *member = (char *)out + fields[i].offset;

      switch (fields[i].type)
        {
        case FIELD_STRING:
          free (*(char **)(void *)member);
          *(char **)(void *)member = NULL;
          break;
        case FIELD_JSON:
          json_decref (*(json_t **)(void *)member);
          *(json_t **)(void *)member = NULL;
          break;
        case FIELD_STRINGS:
          strings_release ((struct strings *)(void *)member);
          break;
        case FIELD_INT64:
        case FIELD_MILLI:
        case FIELD_BOOL:
          break;
        }
    }
}

/* Returns whether STRINGS contains ITEM.  */
bool
strings_contain (const struct strings *strings, const char *item)
{
  for (size_t i = 0; i < strings->count; i++)
    if (strcmp (strings->items[i], item) == 0)
      return true;
  return false;
}

/* Loads a JSON settings file.  The caller owns the result.  Returns NULL and
   sets ERROR if the file cannot be read or parsed.  */
json_t *
fields_load_file (const char *path, struct error *error)
{
  json_error_t problem;
  json_t *root = json_load_file (path, JSON_REJECT_DUPLICATES, &problem);

  if (!root)
    error_set (error, ERROR_SETTINGS, RUN_NOT_RUN,
               "%s:%d: %s; provide a readable JSON file", path, problem.line,
               problem.text);
  return root;
}
