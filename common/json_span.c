#include "common/json_span.h"
#include "common/buf.h"
#include <jansson.h>
#include <string.h>

enum
{
  /* Upper bounds of what jansson allocates for a value, with the allocator's
     own share: an object with its table of 8 buckets, a member, an array with
     its first 8 slots, and a number or string beside its bytes.  */
  OBJECT_BYTES = 256,
  MEMBER_BYTES = 160,
  ARRAY_BYTES = 160,
  VALUE_BYTES = 128,
  PARSER_BYTES = 256, /* its own buffer, beside what the text's length adds */
};

static bool
is_any_of (const char *bytes, char byte)
{
  return byte != '\0' && strchr (bytes, byte);
}

static size_t
skip_space (struct json_span span, size_t at)
{
  while (at < span.len && is_any_of (" \t\r\n", span.text[at]))
    at++;
  return at;
}

static bool
is_at (struct json_span span, size_t at, char byte)
{
  return at < span.len && span.text[at] == byte;
}

/* Returns the offset behind the string that begins at AT, or 0 if it does not
   end.  */
static size_t
skip_string (struct json_span span, size_t at)
{
  for (at++; at < span.len; at++)
    {
      if (span.text[at] == '"')
        return at + 1;
      if (span.text[at] == '\\')
        at++;
    }
  return 0;
}

/* Returns the offset behind the number or word that begins at AT, or 0 if
   there is none.  */
static size_t
skip_word (struct json_span span, size_t at)
{
  size_t start = at;

  while (at < span.len && !is_any_of (" \t\r\n,:[]{}\"", span.text[at]))
    at++;
  return at > start ? at : 0;
}

/* Returns the offset behind the value that begins at AT, or 0 if it does not
   end.  Of arrays and objects, only the strings and the depth of the brackets
   are looked at.  */
static size_t
skip_value (struct json_span span, size_t at)
{
  size_t depth = 0;

  if (at < span.len && !is_any_of ("[{\"", span.text[at]))
    return skip_word (span, at);
  while (at < span.len)
    {
      char byte = span.text[at];

      if (byte == '"')
        {
          at = skip_string (span, at);
          if (at == 0)
            return 0;
        }
      else
        {
          if (byte == '[' || byte == '{')
            depth++;
          else if (byte == ']' || byte == '}')
            depth--;
          at++;
        }
      if (depth == 0)
        return at;
    }
  return 0;
}

/* Whether SPAN holds one value that is not cut off, and nothing else but white
   space.  */
bool
json_span_is_whole (struct json_span span)
{
  size_t end = skip_value (span, skip_space (span, 0));

  return end > 0 && skip_space (span, end) == span.len;
}

static bool
is_key (struct json_span key, const char *name)
{
  size_t len = strlen (name);

  return key.len == len + 2 && memcmp (key.text + 1, name, len) == 0;
}

/* Finds the member NAME of OBJECT, the last one if there are several.  Keys
   with escape sequences are not found.  Returns false, without changing VALUE,
   if there is none in front of the first syntax error.  */
bool
json_span_member (struct json_span object, const char *name,
                  struct json_span *value)
{
  size_t at = skip_space (object, 0);
  bool found = false;

  if (!is_at (object, at, '{'))
    return false;
  do
    {
      struct json_span key;
      size_t end;

      at = skip_space (object, at + 1);
      if (!is_at (object, at, '"') || !(end = skip_string (object, at)))
        break;
      key = (struct json_span){ object.text + at, end - at };
      at = skip_space (object, end);
      if (!is_at (object, at, ':'))
        break;
      at = skip_space (object, at + 1);
      end = skip_value (object, at);
      if (end == 0)
        break;
      if (is_key (key, name))
        {
          *value = (struct json_span){ object.text + at, end - at };
          found = true;
        }
      at = skip_space (object, end);
    }
  while (is_at (object, at, ','));
  return found;
}

/* Whether SPAN is the word "true".  */
bool
json_span_is_true (struct json_span span)
{
  return span.len == strlen ("true") && memcmp (span.text, "true", 4) == 0;
}

/* Reads an integer.  Returns false, without changing NUMBER, if SPAN is
   something else or does not fit.  */
bool
json_span_read_int64 (struct json_span span, int64_t *number)
{
  json_t *value;
  bool is_integer;

  if (span.len == 0 || is_any_of ("[{\"", span.text[0]))
    return false;
  value = json_loadb (span.text, span.len, JSON_DECODE_ANY, NULL);
  is_integer = json_is_integer (value);
  if (is_integer)
    *number = json_integer_value (value);
  json_decref (value);
  return is_integer;
}

/* Reads a string, which the caller frees.  Returns NULL if SPAN is something
   else, is not valid, or is longer than MAX_BYTES in the text.  */
char *
json_span_read_string (struct json_span span, size_t max_bytes)
{
  json_t *value;
  char *string = NULL;

  if (span.len == 0 || span.len > max_bytes || span.text[0] != '"')
    return NULL;
  value = json_loadb (span.text, span.len, JSON_DECODE_ANY, NULL);
  if (value)
    string = xstrdup (json_string_value (value));
  json_decref (value);
  return string;
}

/* Returns how many bytes the tree of SPAN takes at most while and after it is
   parsed.  */
size_t
json_span_tree_bytes (struct json_span span)
{
  size_t bytes = PARSER_BYTES + VALUE_BYTES + 2 * span.len;

  for (size_t at = 0; at < span.len; at++)
    switch (span.text[at])
      {
      case '"':
        at = skip_string (span, at);
        if (at == 0)
          return bytes;
        at--;
        break;
      case '{':
        bytes += OBJECT_BYTES + VALUE_BYTES;
        break;
      case '[':
        bytes += ARRAY_BYTES + VALUE_BYTES;
        break;
      case ':':
        bytes += MEMBER_BYTES;
        break;
      case ',':
        bytes += VALUE_BYTES;
        break;
      default:
        break;
      }
  return bytes;
}

/* Starts to read the items of ARRAY.  */
void
json_items_init (struct json_items *items, struct json_span array)
{
  *items
      = (struct json_items){ .array = array, .offset = skip_space (array, 0) };
  items->is_broken = !is_at (array, items->offset, '[');
}

/* Reads the next item into AT.  Returns false behind the last one, and where
   the array is broken.  */
bool
json_items_next (struct json_items *items)
{
  struct json_span array = items->array;
  size_t start;
  size_t end;

  if (items->is_broken || is_at (array, items->offset, ']'))
    return false;
  start = skip_space (array, items->offset + 1);
  if (is_at (array, items->offset, '[') && is_at (array, start, ']'))
    {
      items->offset = start;
      return false;
    }
  end = skip_value (array, start);
  items->offset = skip_space (array, end);
  items->is_broken = end == 0
                     || (!is_at (array, items->offset, ',')
                         && !is_at (array, items->offset, ']'));
  if (items->is_broken)
    return false;
  items->at = (struct json_span){ array.text + start, end - start };
  return true;
}

/* Whether SPAN is an array whose items can be told apart.  */
bool
json_span_is_array (struct json_span span)
{
  struct json_items items;

  json_items_init (&items, span);
  while (json_items_next (&items))
    continue;
  return !items.is_broken;
}
