/* Growable byte buffer, and allocators that abort if memory is exhausted. */
#ifndef GALENA_COMMON_BUF_H
#define GALENA_COMMON_BUF_H

#include <stddef.h>

/* The owner of the struct owns the bytes. */
struct buf
{
  char *data;
  size_t len;
  size_t capacity;
};

size_t buf_capacity_for (const struct buf *buf, size_t extra);
void buf_append (struct buf *buf, const void *data, size_t len);
void buf_append_str (struct buf *buf, const char *text);
void buf_printf (struct buf *buf, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void buf_consume (struct buf *buf, size_t len);
void buf_release (struct buf *buf);

/* These abort if memory is exhausted.  The caller frees the result. */
void *xcalloc (size_t count, size_t size);
void *xrealloc (void *old, size_t size);
char *xstrdup (const char *text);
char *xasprintf (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

#endif
