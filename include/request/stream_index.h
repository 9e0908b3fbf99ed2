/* Tells an entry host which build began a stream that its caller resumes here,
   also if it began at another host.

   A host records each stream, with its first event, in its own table and at
   the keepers that the hash of its request's content selects, which hold the
   records in memory (request/stream_memory.h).

   A caller that resumes a stream may name the attempt that began it.  If it
   does not, the equal content of its requests tells which stream it resumes,
   unless equal requests began at different builds.  */
#ifndef GALENA_REQUEST_STREAM_INDEX_H
#define GALENA_REQUEST_STREAM_INDEX_H

#include "peer/host.h"
#include "peer/transport.h"
#include <ev.h>
#include <stddef.h>
#include <stdint.h>

struct stream_index;
struct stream_lookup;
struct stream_key;

enum stream_origin
{
  STREAM_ORIGIN_FOUND,
  STREAM_ORIGIN_NOT_RECORDED, /* the keepers that answered do not know it */
  STREAM_ORIGIN_AMBIGUOUS,    /* equal requests began at different builds */
  STREAM_ORIGIN_UNREACHABLE,  /* too few keepers answered */
};

/* BUILD is valid for STREAM_ORIGIN_FOUND. */
typedef void stream_origin_handler (void *data, enum stream_origin origin,
                                    uint64_t build);

struct stream_index_options
{
  struct ev_loop *loop;
  struct transport *transport;
  uint32_t losses; /* of keepers at once, which the records survive */
};

const char *stream_origin_name (enum stream_origin origin);

struct stream_index *
stream_index_create (const struct stream_index_options *options);
void stream_index_destroy (struct stream_index *index);
void stream_index_set_keepers (struct stream_index *index,
                               const struct host_location *locations,
                               size_t count);
void stream_index_record (struct stream_index *index,
                          const struct stream_key *key, uint64_t build);
uint64_t stream_index_find_local (struct stream_index *index,
                                  const struct stream_key *key);
struct stream_lookup *stream_index_find (struct stream_index *index,
                                         const struct stream_key *key,
                                         stream_origin_handler *handle,
                                         void *data);
void stream_lookup_cancel (struct stream_lookup *lookup);
void stream_index_handle_frame (struct stream_index *index, const char *host,
                                const Peer__Frame *frame);

#endif
