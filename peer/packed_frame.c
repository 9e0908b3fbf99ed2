#include "peer/packed_frame.h"
#include <stdlib.h>

/* Appends the serialised FRAME to BUF.  */
void
packed_frame_append (struct buf *buf, const Peer__Frame *frame)
{
  size_t len = peer__frame__get_packed_size (frame);
  uint8_t *packed = xcalloc (1, len + 1);

  peer__frame__pack (frame, packed);
  buf_append (buf, packed, len);
  free (packed);
}

/* Parses the frame in BUF.  Returns NULL when it is not valid; otherwise the
   caller frees the result with peer__frame__free_unpacked.  */
Peer__Frame *
packed_frame_unpack (const struct buf *buf)
{
  return peer__frame__unpack (NULL, buf->len, (const uint8_t *)buf->data);
}
