/* Settings of the daemon that schedules agent programs, read from a JSON file.
   The settings of the other mode are in platform/settings.h. */
#ifndef GALENA_GALENASHORED_SETTINGS_H
#define GALENA_GALENASHORED_SETTINGS_H

#include "common/error.h"
#include "common/fields.h"
#include "common/log.h"
#include "policy/cursor.h"
#include <stdint.h>

struct settings
{
  char *host;
  char *data_centre;
  /* Listening addresses, "IP:port". */
  char *caller_listen;
  char *peer_listen; /* for the other hosts */
  char *operator_listen;
  char *platform_url;      /* base URL of the platform's object API */
  char *fleet_key_file;    /* keys of the links between hosts */
  char *operator_key_file; /* NULL: the operator API needs no key */
  char *data_dir;          /* NULL: this host stores no replicas */
  char *log_level;
  /* IP:port of hosts to contact during a platform outage */
  struct strings seeds;
  char *caller_cert_file;
  char *caller_key_file;
  char *operator_cert_file;
  char *operator_private_key_file;
  int64_t journal_window_ms; /* see journal_options */
  int64_t max_body_bytes;
  int64_t max_connections;
  int64_t drain_limit_ms; /* a graceful shutdown is ended after this */
  bool test_faults; /* enables POST /test/block, which blocks the links to
                       hosts */
  /* The members below are derived from those above. */
  enum log_level level;
  struct keyring keyring; /* from fleet_key_file */
  char *operator_key;     /* from operator_key_file; may be NULL */
};

bool settings_load (struct settings *settings, const char *path,
                    struct error *error);
bool settings_load_keys (struct settings *settings, struct error *error);
void settings_release (struct settings *settings);
char *settings_read_text (const char *path, bool is_secret,
                          struct error *error);

#endif
