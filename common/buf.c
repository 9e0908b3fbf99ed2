#include "common/buf.h"
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  BUF_INITIAL_CAPACITY = 64,
};

static void
abort_out_of_memory (void)
{
  fputs ("out of memory\n", stderr);
  abort ();
}

/* calloc that aborts if memory is exhausted.  */
void *
xcalloc (size_t count, size_t size)
{
  void *block = calloc (count, size);

  if (!block)
    abort_out_of_memory ();
  return block;
}

/* realloc that aborts if memory is exhausted.  */
void *
xrealloc (void *old, size_t size)
{
  void *block = realloc (old, size);

  if (!block)
    abort_out_of_memory ();
  return block;
}

/* strdup that aborts if memory is exhausted.  Returns NULL for NULL.  */
char *
xstrdup (const char *text)
{
  char *copy;

  if (!text)
    return NULL;
  copy = strdup (text);
  if (!copy)
    abort_out_of_memory ();
  return copy;
}

/* asprintf that returns the text and aborts if memory is exhausted.  */
char *
xasprintf (const char *format, ...)
{
  char *text = NULL;
  va_list args;
  int len;

  va_start (args, format);
  len = vasprintf (&text, format, args);
  va_end (args);
  if (len < 0 || !text)
    abort_out_of_memory ();
  return text;
}

/* Returns the capacity of BUF once EXTRA bytes are appended.  */
size_t
buf_capacity_for (const struct buf *buf, size_t extra)
{
  size_t need = buf->len + extra + 1;
  size_t capacity = buf->capacity ? buf->capacity : BUF_INITIAL_CAPACITY;

  if (need <= buf->capacity)
    return buf->capacity;
  while (capacity < need)
    capacity *= 2;
  return capacity;
}

static void
reserve (struct buf *buf, size_t extra)
{
  size_t capacity = buf_capacity_for (buf, extra);

  if (capacity == buf->capacity)
    return;
  buf->data = xrealloc (buf->data, capacity);
  buf->capacity = capacity;
}

/* Appends LEN bytes and keeps the buffer NUL-terminated; the NUL is not
   counted in its length.  */
void
buf_append (struct buf *buf, const void *data, size_t len)
{
  reserve (buf, len);
  if (len)
    memcpy (buf->data + buf->len, data, len);
  buf->len += len;
  buf->data[buf->len] = '\0';
}

/* Appends a string.  */
void
buf_append_str (struct buf *buf, const char *text)
{
  buf_append (buf, text, strlen (text));
}

/* Appends formatted text.  */
void
buf_printf (struct buf *buf, const char *format, ...)
{
  va_list args;
  int len;

  va_start (args, format);
  len = vsnprintf (NULL, 0, format, args);
  va_end (args);
  if (len < 0)
    return;
  reserve (buf, (size_t)len);
  va_start (args, format);
  vsnprintf (buf->data + buf->len, (size_t)len + 1, format, args);
  va_end (args);
  buf->len += (size_t)len;
}

/* Removes LEN bytes from the front, or all if there are fewer.  */
void
buf_consume (struct buf *buf, size_t len)
{
  if (len >= buf->len)
    {
      buf->len = 0;
      return;
    }
  memmove (buf->data, buf->data + len, buf->len - len);
  buf->len -= len;
  buf->data[buf->len] = '\0';
}

/* Frees the bytes and resets BUF to an empty buffer.  */
void
buf_release (struct buf *buf)
{
  free (buf->data);
  *buf = (struct buf){ 0 };
}
