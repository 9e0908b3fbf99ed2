/* Child processes of a soak run: mock servers, entry hosts and keepers. */
#ifndef GALENA_SOAK_FLEET_H
#define GALENA_SOAK_FLEET_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

enum
{
  FLEET_ENTRIES = 4, /* two in each of two data centres */
  FLEET_KEEPERS = 5, /* in three data centres */
  FLEET_NAME_BYTES = 16,
  FLEET_HOSTS = FLEET_ENTRIES + FLEET_KEEPERS,
  FLEET_ENDPOINTS = 6, /* two of each of three services */
  /* Offsets from the base port. */
  FLEET_STORE_PORT = 0,
  FLEET_ENDPOINT_PORT = 1,
  FLEET_PROXY_PORT = 10, /* proxy of the store, then one per endpoint */
  FLEET_CALLER_PORT = 20,
  FLEET_PEER_PORT = 40,
  FLEET_METRICS_PORT = 60,
  FLEET_HEALTH_PORT = 80,
};

struct fleet_process
{
  pid_t pid; /* 0 while not running */
  bool paused;
  bool stop_requested; /* SIGTERM or SIGKILL was sent */
};

/* Owned by main. */
struct fleet
{
  const char *build;     /* build directory */
  const char *directory; /* settings, logs and data directories */
  uint16_t base_port;
  struct fleet_process hosts[FLEET_HOSTS];            /* entry hosts first */
  struct fleet_process standins[1 + FLEET_ENDPOINTS]; /* the store first */
};

bool fleet_is_keeper (int host);
void fleet_host_name (int host, char out[FLEET_NAME_BYTES]);
const char *fleet_data_centre (int index);
void fleet_start_standins (struct fleet *fleet);
void fleet_start_host (struct fleet *fleet, int host, bool is_first);
void fleet_signal (struct fleet_process *process, int signal);
void fleet_kill (struct fleet_process *process);
bool fleet_has_exited (struct fleet_process *process, int *status);
void fleet_delete_data (const struct fleet *fleet, int host);
void fleet_kill_all (struct fleet *fleet);

#endif
