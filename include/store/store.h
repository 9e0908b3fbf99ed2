/* An append-only log of records, indexed by program and stored in segment
   files.

   A dedicated thread writes and syncs.  Appends that arrive during a sync
   share the next one.  All functions must be called on one thread, which also
   runs the callbacks.  */
#ifndef GALENA_STORE_STORE_H
#define GALENA_STORE_STORE_H

#include "common/buf.h"
#include "common/error.h"
#include <ev.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct store;

/* DURABLE is true once the record is on disk. */
typedef void store_append_handler (void *data, bool durable);
/* RECORDS is an array of COUNT buffers that the store frees after the call. */
typedef void store_fetch_handler (void *data, const struct buf *records,
                                  size_t count);
typedef void store_foreach_handler (void *data, const char *program);

struct store_options
{
  struct ev_loop *loop; /* runs the callbacks */
  const char *directory;
  size_t segment_bytes; /* size above which a new segment file is begun; 0 for
                           the default */
  bool skip_sync;       /* for benchmarks that exclude disk syncs */
};

struct store *store_create (const struct store_options *options,
                            struct error *error);
void store_destroy (struct store *store);
void store_append (struct store *store, const char *program, const void *data,
                   size_t len, store_append_handler *handle, void *data_arg);
void store_fetch (struct store *store, const char *program,
                  store_fetch_handler *handle, void *data_arg);
void store_delete (struct store *store, const char *program);
void store_foreach_program (struct store *store, store_foreach_handler *handle,
                            void *data_arg);
uint64_t store_disk_bytes (const struct store *store);
json_t *store_to_json (const struct store *store);

#endif
