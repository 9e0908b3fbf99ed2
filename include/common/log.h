/* JSON Lines logger.  Never log keys, prompts or model output. */
#ifndef GALENA_COMMON_LOG_H
#define GALENA_COMMON_LOG_H

#include "common/error.h"
#include <stdbool.h>
#include <stdint.h>

enum log_level
{
  LOG_ERROR,
  LOG_WARN,
  LOG_INFO,
  LOG_DEBUG,
};

/* Optional ids of a log line.  NULL and empty ones are omitted. */
struct log_ids
{
  const char *request;
  const char *program;
  const char *customer;
};

void log_init (const char *host, enum log_level level);
bool log_level_parse (const char *name, enum log_level *level,
                      struct error *error);
void log_write (enum log_level level, const char *module,
                const struct log_ids *ids, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

#endif
