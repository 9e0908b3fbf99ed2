/* The processes of a soak: stand-ins, entry hosts and keepers. */
#ifndef GALENA_SOAK_FLEET_H
#define GALENA_SOAK_FLEET_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

enum
{
  FLEET_ENTRIES = 4, /* two in each of two data centres */
  FLEET_KEEPERS = 3, /* one in each of three */
  FLEET_NAME_BYTES = 16,
  FLEET_HOSTS = FLEET_ENTRIES + FLEET_KEEPERS,
  FLEET_ENDPOINTS = 4, /* two engines, two of a plain service */
  /* Ports of a soak, from its first one on. */
  FLEET_STORE_PORT = 0,
  FLEET_ENDPOINT_PORT = 1,
  FLEET_PROXY_PORT = 10, /* of the store, then of each endpoint */
  FLEET_CALLER_PORT = 20,
  FLEET_PEER_PORT = 40,
  FLEET_METRICS_PORT = 60,
  FLEET_HEALTH_PORT = 80,
};

struct fleet_process
{
  pid_t pid; /* 0 while it is not there */
  bool paused;
  bool told; /* it has been told to end */
};

/* Owned by main. */
struct fleet
{
  const char *build; /* directory of the built programs */
  const char *directory;
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
void fleet_end (struct fleet_process *process);
bool fleet_has_ended (struct fleet_process *process, int *status);
void fleet_wipe (const struct fleet *fleet, int host);
void fleet_stop (struct fleet *fleet);

#endif
