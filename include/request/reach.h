/* Detects which data centres this host can reach, from the messages that it
   receives from their hosts. */
#ifndef GALENA_REQUEST_REACH_H
#define GALENA_REQUEST_REACH_H

#include "peer/mesh.h"
#include "request/host.h"
#include <stdbool.h>
#include <stdint.h>

struct reach;

/* Called when a data centre has become reachable or unreachable. */
typedef void reach_handler (void *data, const char *data_centre,
                            bool reachable);

struct reach_options
{
  struct mesh *mesh;
  const char *host; /* name of this host */
  const char *data_centre;
  reach_handler *handle_change;
  void *data;
};

struct reach *reach_create (const struct reach_options *options);
void reach_destroy (struct reach *reach);
void reach_set_hosts (struct reach *reach, const struct host_location *hosts,
                      size_t count);
void reach_tick (struct reach *reach, int64_t now_ms);

#endif
