#include "request/event_splitter.h"
#include <glib.h>
#include <string.h>

/* Returns the length of the event that starts at OFFSET of the pending bytes,
   including its blank line, or 0 if it is incomplete.  */
static size_t
find_event_end (struct event_splitter *events, size_t offset)
{
  const char *bytes = events->pending.data + offset;
  size_t len = events->pending.len - offset;

  for (size_t i = events->scanned; i < len; i++)
    {
      size_t line_start = events->line_start;

      if (bytes[i] != '\n')
        continue;
      events->line_start = i + 1;
      if (i == line_start
          || (i == line_start + 1 && bytes[line_start] == '\r'))
        {
          events->scanned = events->line_start = 0;
          return i + 1;
        }
    }
  events->scanned = len;
  return 0;
}

/* Returns the number that the LEN bytes of VALUE are, or EVENT_MALFORMED.  */
static int64_t
parse_id (const char *value, size_t len)
{
  int64_t id = 0;

  while (len > 0 && *value == ' ')
    {
      value++;
      len--;
    }
  if (len == 0)
    return EVENT_MALFORMED;
  for (size_t i = 0; i < len; i++)
    if (!g_ascii_isdigit (value[i]) || __builtin_mul_overflow (id, 10, &id)
        || __builtin_add_overflow (id, value[i] - '0', &id))
      return EVENT_MALFORMED;
  return id;
}

/* Returns the length of the field name with which a line of LEN bytes begins,
   or 0 if it is no field, such as the status line of a response.  */
static size_t
field_name_len (const char *line, size_t len)
{
  size_t i = 0;

  while (i < len
         && (g_ascii_isalnum (line[i]) || line[i] == '-' || line[i] == '_'))
    i++;
  return i == len || line[i] == ':' ? i : 0;
}

/* Returns what a line of LEN bytes tells about its event: an id, or one of the
   values in place of it.  */
static int64_t
read_line (const char *line, size_t len)
{
  static const char id_name[] = "id";
  size_t name_len;

  if (len > 0 && line[len - 1] == '\r')
    len--;
  if (len > 0 && *line == ':')
    return EVENT_COMMENT;
  name_len = field_name_len (line, len);
  if (name_len == 0)
    return EVENT_MALFORMED;
  if (name_len != strlen (id_name) || memcmp (line, id_name, name_len) != 0
      || len <= name_len + 1)
    return EVENT_WITHOUT_ID;
  return parse_id (line + name_len + 1, len - name_len - 1);
}

/* Returns the id of an event with its blank line, or what stands for it.  */
static int64_t
event_id (const char *bytes, size_t len)
{
  int64_t id = EVENT_COMMENT;
  size_t line_start = 0;

  for (size_t i = 0; i < len; i++)
    {
      size_t line_len = i - line_start;
      int64_t line_id;

      if (bytes[i] != '\n')
        continue;
      if (line_len == 0 || (line_len == 1 && bytes[line_start] == '\r'))
        return id;
      line_id = read_line (bytes + line_start, line_len);
      if (line_id == EVENT_MALFORMED)
        return EVENT_MALFORMED;
      if (id < 0 && line_id != EVENT_COMMENT)
        id = line_id;
      line_start = i + 1;
    }
  return id;
}

/* Appends bytes of the stream and calls HANDLER with each event that is
   complete.  Returns false if HANDLER did, or if an event is too long.  */
bool
event_splitter_append (struct event_splitter *events, const char *bytes,
                       size_t len, event_handler *handler, void *data)
{
  size_t offset = 0;
  size_t event_length;
  bool should_continue = true;

  buf_append (&events->pending, bytes, len);
  while (should_continue
         && (event_length = find_event_end (events, offset)) > 0)
    {
      const char *event = events->pending.data + offset;

      should_continue = handler (data, event_id (event, event_length), event,
                                 event_length);
      offset += event_length;
    }
  buf_consume (&events->pending, offset);
  return should_continue
         && events->pending.len <= EVENT_SPLITTER_MAX_EVENT_BYTES;
}

/* Frees the buffered data and starts a new stream.  */
void
event_splitter_release (struct event_splitter *events)
{
  buf_release (&events->pending);
  events->scanned = events->line_start = 0;
}
