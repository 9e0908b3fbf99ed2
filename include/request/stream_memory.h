/* A keeper's memory of which build began each stream.

   It is lost with the process.  A memory that began lately cannot tell a
   stream that it has forgotten from one that was never there, so each answer
   says for how long the memory has known everything.  A keeper that starts, or
   whose list of keepers changes, copies the records of the others first.  */
#ifndef GALENA_REQUEST_STREAM_MEMORY_H
#define GALENA_REQUEST_STREAM_MEMORY_H

#include "common/recent_table.h"
#include "peer/host.h"
#include "peer/transport.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  /* Longer than a caller takes to resume a stream. */
  STREAM_TTL_MS = 60 * 1000,
};

/* Recorded for equal requests that began at different builds. */
#define STREAM_BUILD_AMBIGUOUS UINT64_MAX

struct stream_memory;

/* Identifies a stream on all hosts. */
struct stream_key
{
  uint64_t content; /* hash of what all attempts at the request have in common
                     */
  uint64_t attempt; /* hash of the id of the attempt that began the stream; 0
                       if it is not known */
};

struct stream_memory_options
{
  struct transport *transport;
  uint32_t capacity; /* records */
  uint32_t losses;   /* of keepers at once, which the records survive */
  bool first_start;  /* of the whole system: there was nothing before */
};

struct stream_memory *
stream_memory_create (const struct stream_memory_options *options,
                      int64_t now_ms);
void stream_memory_destroy (struct stream_memory *memory);
void stream_memory_set_others (struct stream_memory *memory,
                               const struct host_location *locations,
                               size_t count, int64_t now_ms);
void stream_memory_tick (struct stream_memory *memory, int64_t now_ms);
int64_t stream_memory_known_ms (const struct stream_memory *memory,
                                int64_t now_ms);
void stream_memory_handle_frame (struct stream_memory *memory,
                                 const char *host, const Peer__Frame *frame,
                                 int64_t now_ms);

void stream_table_record (struct recent_table *table,
                          const struct stream_key *key, uint64_t build,
                          int64_t now_ms);

#endif
