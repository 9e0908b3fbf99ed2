/* Decodes the configuration and the endpoint entries, which are JSON objects
   in the platform's store. */
#ifndef GALENA_PLATFORM_DECODE_H
#define GALENA_PLATFORM_DECODE_H

#include "request/pool.h"
#include "request/routing.h"
#include <jansson.h>
#include <stdbool.h>

enum
{
  /* Of the configuration's parsed tree: an object of 1 MB, the most that the
     platform stores, full of short routes takes less. */
  DECODE_MAX_CONFIG_TREE_BYTES = 32 * 1024 * 1024,
};

struct routing *decode_routing (const json_t *object);
bool decode_endpoint (const char *name, const json_t *object,
                      struct endpoint_entry *entry, const char **fault);

#endif
