/* Settings of the daemon in platform mode, read from a JSON file that deploy/
   generates from the platform's own settings.  The settings of the other mode
   are in galenashored/settings.h. */
#ifndef GALENA_PLATFORM_SETTINGS_H
#define GALENA_PLATFORM_SETTINGS_H

#include "common/error.h"
#include "common/fields.h"
#include "common/log.h"
#include <stdbool.h>
#include <stdint.h>

/* Environment variable with the path of the settings file, used if the command
   line has none. */
#define PLATFORM_SETTINGS_VARIABLE "GALENASHORE_CONFIG"

/* The struct owns every string. */
struct platform_settings
{
  char *host;
  char *data_centre;
  char *role; /* "entry" or "keeper" */
  /* Listening addresses, "IP:port". */
  char *caller_listen;  /* entry hosts only */
  char *health_listen;  /* entry hosts only */
  char *peer_listen;    /* for the other hosts */
  char *metrics_listen; /* NULL for none */
  char *store_address;  /* "IP:port" of the platform's store */
  struct strings seeds; /* addresses of hosts to contact until the host list is
                           known */
  char *data_dir;       /* holds the ledger; keepers only */
  char *log_level;
  enum log_level level; /* parsed from log_level */
  bool
      first_start; /* of the whole system: a keeper's empty disk is expected */
  int64_t stop_grace_s; /* from the stop signal until the process is killed */
  int64_t limit_window_s; /* window over which customers' rates are measured */
  /* Times within which a change of the configuration, and the end of an
     endpoint, must be in force. */
  int64_t config_within_ms;
  int64_t drain_within_ms;
  /* Time within which the evacuation of a data centre must be in force; 0 if
     evacuations are not followed. */
  int64_t evacuate_within_ms;
  /* In each second, cold endpoints may get the requests that they tolerate
     times the first, and the second more.  Thousandths.  0: cold endpoints are
     treated as others. */
  int64_t cold_overrun;
  int64_t cold_slack;
  int64_t contact_ms;   /* after a fault, the platform's limits apply again */
  int64_t stale_ms;     /* age at which state of the store is stale; derived */
  int64_t watch_ms;     /* how long the store may hold a watch call; derived */
  int64_t absent_ms;    /* a silent host is removed from the list after this */
  int64_t retention_ms; /* the ledger drops programs unused for longer */
  int64_t max_connections;
  int64_t memory_limit_mb; /* that the process may use */
  /* For what is held for callers, in sum; 0 for their share of the memory. */
  int64_t buffer_limit_mb;
  int64_t tolerated_losses; /* of keepers at once */
  struct strings contracts; /* parts of the platform's rules that are in force
                             */
};

bool platform_settings_load (struct platform_settings *settings,
                             const char *path, struct error *error);
void platform_settings_release (struct platform_settings *settings);
bool platform_settings_is_keeper (const struct platform_settings *settings);
bool platform_settings_has_contract (const struct platform_settings *settings,
                                     const char *name);

/* Callers compete for endpoints that are not always enough for them. */
#define PLATFORM_CONTRACT_PRESSURE "pressure"

#endif
