/* Which build began each stream, for streams that their callers may still
   resume.  Bounded in number and age. */
#ifndef GALENA_REQUEST_STREAM_TABLE_H
#define GALENA_REQUEST_STREAM_TABLE_H

#include <stdint.h>

enum
{
  /* Longer than a caller takes to resume a stream. */
  STREAM_TTL_MS = 60 * 1000,
};

struct stream_table;

struct stream_table *stream_table_create (uint32_t capacity);
void stream_table_destroy (struct stream_table *table);
void stream_table_record (struct stream_table *table, uint64_t stream,
                          uint64_t build, int64_t now_ms);
uint64_t stream_table_find (struct stream_table *table, uint64_t stream,
                            int64_t now_ms);
uint32_t stream_table_count (const struct stream_table *table);

#endif
