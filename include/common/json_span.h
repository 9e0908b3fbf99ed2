/* Finds the parts of a JSON text without parsing it into a tree, so that one
   part that cannot be parsed does not spoil the others. */
#ifndef GALENA_COMMON_JSON_SPAN_H
#define GALENA_COMMON_JSON_SPAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A part of a text that is owned elsewhere.  Not ended by a NUL. */
struct json_span
{
  const char *text;
  size_t len;
};

/* The items of an array, one after the other. */
struct json_items
{
  struct json_span array;
  size_t offset;       /* of what follows the items read so far */
  bool is_broken;      /* the text is not an array */
  struct json_span at; /* the item read last */
};

bool json_span_is_whole (struct json_span span);
bool json_span_member (struct json_span object, const char *name,
                       struct json_span *value);
bool json_span_is_true (struct json_span span);
bool json_span_read_int64 (struct json_span span, int64_t *number);
char *json_span_read_string (struct json_span span, size_t max_bytes);
size_t json_span_tree_bytes (struct json_span span);
void json_items_init (struct json_items *items, struct json_span array);
bool json_items_next (struct json_items *items);
bool json_span_is_array (struct json_span span);

#endif
