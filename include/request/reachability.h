/* Detects which data centres this host can reach, from the messages that it
   receives from their hosts. */
#ifndef GALENA_REQUEST_REACHABILITY_H
#define GALENA_REQUEST_REACHABILITY_H

#include "peer/host.h"
#include "peer/mesh.h"
#include <stdbool.h>
#include <stdint.h>

struct reachability;

/* Called when a data centre has become reachable or unreachable. */
typedef void reachability_handler (void *data, const char *data_centre,
                                   bool reachable);

struct reachability_options
{
  struct mesh *mesh;
  const char *host; /* name of this host */
  const char *data_centre;
  reachability_handler *handle_change;
  void *data;
};

struct reachability *
reachability_create (const struct reachability_options *options);
void reachability_destroy (struct reachability *reach);
void reachability_set_hosts (struct reachability *reach,
                             const struct host_location *hosts, size_t count);
void reachability_record_heard (struct reachability *reach, const char *host,
                                int64_t now_ms);
void reachability_record_endpoint_heard (struct reachability *reach,
                                         const char *data_centre,
                                         int64_t now_ms);
void reachability_tick (struct reachability *reach, int64_t now_ms);

#endif
