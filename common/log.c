#include "common/log.h"
#include <ck_pr.h>
#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

enum
{
  LOG_MESSAGE_BYTES = 1024,
  LOG_LINES_PER_S = 1000, /* about twice what a host logs at full load */
};

static const char *const level_names[] = {
  [LOG_ERROR] = "error",
  [LOG_WARN] = "warn",
  [LOG_INFO] = "info",
  [LOG_DEBUG] = "debug",
};

/* Set once by log_init, before any other thread starts.  */
static char log_host[64] = "-";
static enum log_level log_threshold = LOG_INFO;

/* State of the rate limit: the current second, the number of lines in it, and
   the number of lines dropped since the last one that was written.  */
static uint64_t current_second;
static uint32_t lines_in_second;
static uint32_t dropped_lines;

/* Sets the host name and the log level of the process.  If standard output is
   a pipe, makes it non-blocking, so that a reader that stops reading cannot
   block the process.  */
void
log_init (const char *host, enum log_level level)
{
  struct stat output;

  snprintf (log_host, sizeof log_host, "%s", host);
  log_threshold = level;
  if (fstat (STDOUT_FILENO, &output) == 0 && S_ISFIFO (output.st_mode))
    fcntl (STDOUT_FILENO, F_SETFL,
           fcntl (STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

/* Counts a line and returns whether it is within LOG_LINES_PER_S.  Errors are
   never dropped by the limit.  */
static bool
is_within_rate_limit (enum log_level level, uint64_t now_s)
{
  if (ck_pr_load_64 (&current_second) != now_s)
    {
      ck_pr_store_64 (&current_second, now_s);
      ck_pr_store_32 (&lines_in_second, 0);
    }
  if (ck_pr_faa_32 (&lines_in_second, 1) < LOG_LINES_PER_S
      || level == LOG_ERROR)
    return true;
  ck_pr_inc_32 (&dropped_lines);
  return false;
}

/* Parses the setting log_level; NULL means "info".  Returns false and sets
   ERROR if NAME is not a log level.  */
bool
log_level_parse (const char *name, enum log_level *level, struct error *error)
{
  *level = LOG_INFO;
  if (!name)
    return true;
  for (size_t i = 0; i < sizeof level_names / sizeof *level_names; i++)
    if (strcmp (level_names[i], name) == 0)
      {
        *level = (enum log_level)i;
        return true;
      }
  error_set (error, ERROR_SETTINGS, RUN_NOT_RUN,
             "settings: \"log_level\" is \"%s\"; use error, warn, info or "
             "debug",
             name);
  return false;
}

static void
set_id (json_t *line, const char *name, const char *value)
{
  if (value && *value)
    json_object_set_new (line, name, json_string (value));
}

/* Writes TEXT and a newline.  Counts the line as dropped if the write fails,
   for example because the pipe is full.  */
static void
write_line (char *text)
{
  size_t len = strlen (text);

  text[len] = '\n'; /* over the NUL: one write emits the whole line */
  if (write (STDOUT_FILENO, text, len + 1) < 0)
    ck_pr_inc_32 (&dropped_lines);
}

/* Logs a message as a line on standard output.  IDS may be NULL.  */
void
log_write (enum log_level level, const char *module, const struct log_ids *ids,
           const char *format, ...)
{
  char message[LOG_MESSAGE_BYTES];
  struct timespec now;
  va_list args;
  json_t *line;
  char *valid;
  char *text;
  uint32_t dropped;

  if (level > log_threshold)
    return;
  clock_gettime (CLOCK_REALTIME, &now);
  if (!is_within_rate_limit (level, (uint64_t)now.tv_sec))
    return;
  va_start (args, format);
  vsnprintf (message, sizeof message, format, args);
  va_end (args);
  /* The message may quote any bytes, and may be cut off inside a character. */
  valid = g_utf8_make_valid (message, -1);
  line = json_pack ("{s:I, s:s, s:s, s:s, s:s}", "time_ms",
                    (json_int_t)now.tv_sec * 1000 + now.tv_nsec / 1000000,
                    "level", level_names[level], "module", module, "host",
                    log_host, "message", valid);
  g_free (valid);
  if (!line)
    return;
  if (ids)
    {
      set_id (line, "request", ids->request);
      set_id (line, "program", ids->program);
      set_id (line, "customer", ids->customer);
    }
  dropped = ck_pr_fas_32 (&dropped_lines, 0);
  if (dropped > 0)
    json_object_set_new (line, "dropped_before", json_integer (dropped));
  text = json_dumps (line, JSON_COMPACT);
  json_decref (line);
  if (!text)
    return;
  write_line (text);
  free (text);
}
