#include "request/event_data.h"
#include <string.h>

/* Returns the value of a data field, or NULL if LINE is another one.  *LEN is
   the length of the line, and then of the value.  */
static const char *
find_data (const char *line, size_t *len)
{
  static const char field[] = "data";
  size_t name_len = strlen (field);

  if (*len > 0 && line[*len - 1] == '\r')
    --*len;
  if (*len < name_len || memcmp (line, field, name_len) != 0
      || (*len > name_len && line[name_len] != ':'))
    return NULL;
  line += name_len;
  *len -= name_len;
  if (*len > 0) /* the colon */
    {
      line++;
      --*len;
    }
  if (*len > 0 && *line == ' ')
    {
      line++;
      --*len;
    }
  return line;
}

/* Appends the data of EVENT, its lines joined by line feeds, and a line feed.
   Appends nothing, and returns false, if it has no data field: that is a
   comment or a bare id, and no event to its reader.  */
bool
event_data_append (struct buf *output, const char *event, size_t len)
{
  bool has_data = false;

  while (len > 0)
    {
      const char *end = memchr (event, '\n', len);
      size_t line_len = end ? (size_t)(end - event) : len;
      size_t value_len = line_len;
      const char *value = find_data (event, &value_len);

      if (value)
        {
          if (has_data)
            buf_append (output, "\n", 1);
          buf_append (output, value, value_len);
          has_data = true;
        }
      if (!end)
        break;
      event += line_len + 1;
      len -= line_len + 1;
    }
  if (has_data)
    buf_append (output, "\n", 1);
  return has_data;
}
