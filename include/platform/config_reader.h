/* Reads the configuration from what changes in its table, once for each set of
   changes. */
#ifndef GALENA_PLATFORM_CONFIG_READER_H
#define GALENA_PLATFORM_CONFIG_READER_H

#include "request/routing.h"
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Owned by the caller; all zero at first. */
struct config_reader
{
  json_t *object;  /* the last one of this set; NULL for none */
  int64_t version; /* the last one that was read */
};

void config_reader_note (struct config_reader *reader, const char *name,
                         json_t *object, bool removed);
struct routing *config_reader_read (struct config_reader *reader);
void config_reader_release (struct config_reader *reader);

#endif
