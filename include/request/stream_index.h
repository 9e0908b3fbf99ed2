/* Tells an entry host which build began a stream that its caller resumes here,
   also if it began at another host.

   A host records each stream, with its first event, in its own table and at
   the keepers that the stream's hash selects.  Keepers hold the records in
   memory. */
#ifndef GALENA_REQUEST_STREAM_INDEX_H
#define GALENA_REQUEST_STREAM_INDEX_H

#include "common/recent_table.h"
#include "peer/host.h"
#include "peer/mesh.h"
#include <ev.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  /* Longer than a caller takes to resume a stream. */
  STREAM_TTL_MS = 60 * 1000,
};

struct stream_index;
struct stream_lookup;

enum stream_origin
{
  STREAM_ORIGIN_FOUND,
  STREAM_ORIGIN_NOT_RECORDED, /* the keepers that answered do not know it */
  STREAM_ORIGIN_UNREACHABLE,  /* no keeper answered */
};

/* BUILD is valid for STREAM_ORIGIN_FOUND. */
typedef void stream_origin_handler (void *data, enum stream_origin origin,
                                    uint64_t build);

struct stream_index_options
{
  struct ev_loop *loop;
  struct mesh *mesh;
  uint32_t losses; /* of keepers at once, which the records survive */
};

struct stream_index *
stream_index_create (const struct stream_index_options *options);
void stream_index_destroy (struct stream_index *index);
void stream_index_set_keepers (struct stream_index *index,
                               const struct host_location *locations,
                               size_t count);
void stream_index_record (struct stream_index *index, uint64_t stream,
                          uint64_t build);
uint64_t stream_index_find_local (struct stream_index *index, uint64_t stream);
struct stream_lookup *stream_index_find (struct stream_index *index,
                                         uint64_t stream,
                                         stream_origin_handler *handle,
                                         void *data);
void stream_lookup_cancel (struct stream_lookup *lookup);
void stream_index_handle_frame (struct stream_index *index, const char *host,
                                const Peer__Frame *frame);

void stream_keeper_handle_frame (struct recent_table *table, struct mesh *mesh,
                                 const char *host, const Peer__Frame *frame);

#endif
