/* Reads single objects from the texts of the platform and
   of other hosts.  One that cannot be read becomes an empty object, so that
   all hosts count the same ones. */
#ifndef GALENA_COMMON_OBJECT_H
#define GALENA_COMMON_OBJECT_H

#include "common/json_span.h"
#include <jansson.h>
#include <stdint.h>

enum
{
  /* Of the tree of an object of most kinds, which are some hundred bytes. */
  OBJECT_MAX_TREE_BYTES = 64 * 1024,
};

/* Name and revision of an object. */
struct object_id
{
  char *name;       /* NULL if it cannot be told */
  int64_t revision; /* 0 if it cannot be told */
};

void object_id_read (struct object_id *id, struct json_span text);
void object_id_release (struct object_id *id);
json_t *object_parse (struct json_span text, size_t max_tree_bytes,
                      const char **reason);
void object_report_unreadable (const char *kind, const char *name,
                               int64_t revision, const char *reason);

#endif
