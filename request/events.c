#include "request/events.h"
#include <stdlib.h>
#include <string.h>

/* Returns the length of the first event with its blank line, 0 where it is not
   whole.  */
static size_t
event_len (const char *bytes, size_t len)
{
  size_t line = 0;

  for (size_t i = 0; i < len; i++)
    {
      if (bytes[i] != '\n')
        continue;
      if (i == line || (i == line + 1 && bytes[line] == '\r'))
        return i + 1;
      line = i + 1;
    }
  return 0;
}

static int64_t
event_id (const char *bytes, size_t len)
{
  static const char field[] = "id:";
  size_t line = 0;

  for (size_t i = 0; i < len; i++)
    {
      if (bytes[i] != '\n')
        continue;
      if (i - line > strlen (field)
          && memcmp (bytes + line, field, strlen (field)) == 0)
        return strtoll (bytes + line + strlen (field), NULL, 10);
      line = i + 1;
    }
  return -1;
}

/* Calls HANDLE with each event that is whole by now.  False where HANDLE
   stopped.  */
bool
events_take (struct events *events, const char *bytes, size_t len,
             events_handler *handle, void *data)
{
  size_t offset = 0;
  size_t next;
  bool go_on = true;

  buf_append (&events->pending, bytes, len);
  while (go_on
         && (next = event_len (events->pending.data + offset,
                               events->pending.len - offset))
                > 0)
    {
      const char *event = events->pending.data + offset;

      go_on = handle (data, event_id (event, next), event, next);
      offset += next;
    }
  buf_consume (&events->pending, offset);
  return go_on;
}

/* Frees what is pending.  */
void
events_release (struct events *events)
{
  buf_release (&events->pending);
}
