/* The latest known configuration objects, received from the platform or from
   another host.  The version of an object never decreases. */
#ifndef GALENA_CONFIG_OBJECTS_H
#define GALENA_CONFIG_OBJECTS_H

#include "common/json_span.h"
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct objects
{
  json_t *by_key;    /* "KIND/NAME" to object */
  json_t *withdrawn; /* ids of keys marked by objects_withdraw_key, mapped to
                        true */
  uint64_t revision; /* the highest version seen */
};

void objects_init (struct objects *objects);
void objects_release (struct objects *objects);
json_t *objects_parse_reply (struct json_span text);
bool objects_merge (struct objects *objects, const json_t *list);
bool objects_withdraw_key (struct objects *objects, const char *key_id);
json_t *objects_live (const struct objects *objects);
json_t *objects_since (const struct objects *objects, uint64_t revision);
const json_t *objects_find (const struct objects *objects, const char *kind,
                            const char *name);
uint64_t objects_version (const json_t *object);

#endif
