#include "request/event_splitter.h"
#include "common/memory.h"
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_ID_DIGITS = 18, /* fit into 64 bits */
  /* An empty buffer is kept for the next event unless it is larger: it would
     be held for as long as the stream lasts. */
  KEPT_BYTES = 8 * 1024,
};

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

/* Returns the number in the LEN bytes behind "id:", or -1 if it is none or is
   too large to count on from.  */
static int64_t
parse_id (const char *bytes, size_t len)
{
  size_t at = 0;
  size_t start;
  int64_t id = 0;

  while (at < len && bytes[at] == ' ')
    at++;
  for (start = at; at < len && bytes[at] >= '0' && bytes[at] <= '9'; at++)
    if (at - start < MAX_ID_DIGITS)
      id = id * 10 + (bytes[at] - '0');
  return at > start && at - start <= MAX_ID_DIGITS ? id : -1;
}

/* Returns the id of an event, or -1 if it has none.  */
static int64_t
event_id (const char *bytes, size_t len)
{
  static const char field[] = "id:";
  size_t line_start = 0;

  for (size_t i = 0; i < len; i++)
    {
      if (bytes[i] != '\n')
        continue;
      if (i - line_start > strlen (field)
          && memcmp (bytes + line_start, field, strlen (field)) == 0)
        return parse_id (bytes + line_start + strlen (field),
                         i - line_start - strlen (field));
      line_start = i + 1;
    }
  return -1;
}

/* Charges what the buffer occupies with LEN more bytes.  */
static bool
charge (struct event_splitter *events, size_t len)
{
  size_t capacity = buf_capacity_for (&events->pending, len);
  size_t growth = capacity - events->pending.capacity;

  if (!memory_take (MEMORY_RESPONSES, (int64_t)growth))
    return false;
  events->charged_bytes += growth;
  return true;
}

static void
release_buffer (struct event_splitter *events)
{
  buf_release (&events->pending);
  memory_add (MEMORY_RESPONSES, -(int64_t)events->charged_bytes);
  events->charged_bytes = 0;
}

/* Appends bytes that are no events.  Returns false if there is no memory for
   them.  */
bool
event_splitter_collect (struct event_splitter *events, const char *bytes,
                        size_t len)
{
  if (!charge (events, len))
    return false;
  buf_append (&events->pending, bytes, len);
  return true;
}

/* Appends bytes of the stream and calls HANDLER with each event that is
   complete.  Returns false if HANDLER did, if an event is too long, or if
   there is no memory for it.  */
bool
event_splitter_append (struct event_splitter *events, const char *bytes,
                       size_t len, event_handler *handler, void *data)
{
  size_t offset = 0;
  size_t event_length;
  bool should_continue = true;

  if (!event_splitter_collect (events, bytes, len))
    return false;
  while (should_continue
         && (event_length = find_event_end (events, offset)) > 0)
    {
      const char *event = events->pending.data + offset;

      should_continue = handler (data, event_id (event, event_length), event,
                                 event_length);
      offset += event_length;
    }
  buf_consume (&events->pending, offset);
  if (events->pending.len == 0 && events->pending.capacity > KEPT_BYTES)
    release_buffer (events);
  return should_continue
         && events->pending.len <= EVENT_SPLITTER_MAX_EVENT_BYTES;
}

/* Frees the buffered data and starts a new stream.  */
void
event_splitter_release (struct event_splitter *events)
{
  release_buffer (events);
  events->scanned = events->line_start = 0;
}
