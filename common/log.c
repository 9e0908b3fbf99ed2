#include "common/log.h"
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum
{
  LOG_MESSAGE_BYTES = 1024,
};

static const char *const level_names[] = {
  [LOG_ERROR] = "error",
  [LOG_WARN] = "warn",
  [LOG_INFO] = "info",
  [LOG_DEBUG] = "debug",
};

/* Set once by log_init, before any thread starts.  */
static char log_host[64] = "-";
static enum log_level log_threshold = LOG_INFO;

/* Sets the host name and the level for the whole process.  */
void
log_init (const char *host, enum log_level level)
{
  snprintf (log_host, sizeof log_host, "%s", host);
  log_threshold = level;
}

/* Reads a level by its name; false where there is none.  */
bool
log_level_parse (const char *name, enum log_level *level)
{
  for (size_t i = 0; i < sizeof level_names / sizeof *level_names; i++)
    if (strcmp (level_names[i], name) == 0)
      {
        *level = (enum log_level)i;
        return true;
      }
  return false;
}

static void
set_id (json_t *line, const char *name, const char *value)
{
  if (value && *value)
    json_object_set_new (line, name, json_string (value));
}

/* Writes one line to standard error.  IDS may be NULL.  */
void
log_write (enum log_level level, const char *module, const struct log_ids *ids,
           const char *format, ...)
{
  char message[LOG_MESSAGE_BYTES];
  struct timespec now;
  va_list args;
  json_t *line;
  char *text;

  if (level > log_threshold)
    return;
  va_start (args, format);
  vsnprintf (message, sizeof message, format, args);
  va_end (args);
  clock_gettime (CLOCK_REALTIME, &now);
  line = json_pack ("{s:I, s:s, s:s, s:s, s:s}", "time_ms",
                    (json_int_t)now.tv_sec * 1000 + now.tv_nsec / 1000000,
                    "level", level_names[level], "module", module, "host",
                    log_host, "message", message);
  if (!line)
    return;
  if (ids)
    {
      set_id (line, "request", ids->request);
      set_id (line, "program", ids->program);
      set_id (line, "customer", ids->customer);
    }
  text = json_dumps (line, JSON_COMPACT);
  json_decref (line);
  if (!text)
    return;
  dprintf (STDERR_FILENO, "%s\n", text);
  free (text);
}
