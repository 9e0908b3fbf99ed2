#include "common/deflate.h"
#include <stdlib.h>
#include <zlib.h>

enum
{
  /* Processor time of small hosts is as scarce as their links. */
  LEVEL = 3,
};

/* Appends the LEN bytes at DATA, compressed.  */
void
deflate_append (struct buf *out, const void *data, size_t len)
{
  uLongf deflated_len = compressBound ((uLong)len);
  Bytef *deflated = xcalloc (1, deflated_len);

  if (compress2 (deflated, &deflated_len, data, (uLong)len, LEVEL) != Z_OK)
    abort ();
  buf_append (out, deflated, deflated_len);
  free (deflated);
}

/* Appends what deflate_append compressed.  Returns false if that is not
   exactly INFLATED_LEN bytes.  */
bool
inflate_append (struct buf *out, const void *data, size_t len,
                size_t inflated_len)
{
  uLongf got_len = (uLongf)inflated_len;
  Bytef *inflated = xcalloc (1, inflated_len + 1);
  bool is_valid = uncompress (inflated, &got_len, data, (uLong)len) == Z_OK
                  && got_len == inflated_len;

  if (is_valid)
    buf_append (out, inflated, got_len);
  free (inflated);
  return is_valid;
}
