/* The daemon's settings on the users' platform, read from a JSON file that
   deploy/ has made from theirs. */
#ifndef GALENA_PLATFORM_SETTINGS_H
#define GALENA_PLATFORM_SETTINGS_H

#include "common/error.h"
#include "common/fields.h"
#include "common/log.h"
#include <stdbool.h>
#include <stdint.h>

/* Names the settings file where the command line does not. */
#define PLATFORM_SETTINGS_VARIABLE "GALENASHORE_CONFIG"

/* Every text is owned by the struct. */
struct platform_settings
{
  char *host;
  char *data_centre;
  char *role; /* "entry" or "keeper" */
  char *caller_listen;
  char *health_listen;
  char *peer_listen;
  char *metrics_listen;
  char *store_address;
  struct strings seeds; /* addresses of hosts to ask while none is known */
  char *data_dir;       /* keepers only */
  char *log_level;
  enum log_level level; /* that it names */
  bool first_start;
  int64_t stop_grace_s;   /* until the process is killed */
  int64_t limit_window_s; /* over which customers' rates are counted */
  int64_t watch_ms;
  int64_t absent_ms; /* a silent host is taken out of the list then */
  int64_t retention_ms;
  int64_t max_connections;
};

bool platform_settings_load (struct platform_settings *settings,
                             const char *path, struct error *error);
void platform_settings_release (struct platform_settings *settings);
bool platform_settings_is_keeper (const struct platform_settings *settings);

#endif
