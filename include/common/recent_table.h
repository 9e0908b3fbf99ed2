/* A table of 64-bit values under 64-bit keys, bounded in number and age. */
#ifndef GALENA_COMMON_RECENT_TABLE_H
#define GALENA_COMMON_RECENT_TABLE_H

#include <stddef.h>
#include <stdint.h>

struct recent_table;

struct recent_record
{
  uint64_t key;
  uint64_t value;
  uint64_t sequence; /* rises with each record of a key; never 0 */
};

struct recent_table_options
{
  uint32_t capacity; /* the oldest entries beyond it are dropped */
  int64_t ttl_ms;    /* after which an entry is dropped */
};

struct recent_table *
recent_table_create (const struct recent_table_options *options);
void recent_table_destroy (struct recent_table *table);
void recent_table_record (struct recent_table *table, uint64_t key,
                          uint64_t value, int64_t now_ms);
void recent_table_replace (struct recent_table *table, uint64_t key,
                           uint64_t value, int64_t now_ms);
uint64_t recent_table_find (struct recent_table *table, uint64_t key,
                            int64_t now_ms);
size_t recent_table_list (const struct recent_table *table, uint64_t after,
                          struct recent_record *records, size_t max);
int64_t recent_table_dropped_ms (const struct recent_table *table);
uint32_t recent_table_count (const struct recent_table *table);

#endif
