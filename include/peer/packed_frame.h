/* Serialised frames, for passing them between threads. */
#ifndef GALENA_PEER_PACKED_FRAME_H
#define GALENA_PEER_PACKED_FRAME_H

#include "common/buf.h"
#include "peer/peer.pb-c.h"

void packed_frame_append (struct buf *buf, const Peer__Frame *frame);
Peer__Frame *packed_frame_unpack (const struct buf *buf);

#endif
