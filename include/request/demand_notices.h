/* Shares the customers' demand between the entry hosts: at intervals each
   sends its view to another one, which averages it with its own, so that all
   views approach the mean over the fleet. */
#ifndef GALENA_REQUEST_DEMAND_NOTICES_H
#define GALENA_REQUEST_DEMAND_NOTICES_H

#include "peer/transport.h"
#include "policy/admission.h"
#include "request/host_set.h"

struct demand_notices;

struct demand_notices_options
{
  const char *host;
  const char *data_centre;
  struct transport *transport;
  struct admission *admission;
};

struct demand_notices *
demand_notices_create (const struct demand_notices_options *options);
void demand_notices_destroy (struct demand_notices *notices);
void demand_notices_set_hosts (struct demand_notices *notices,
                               const struct host_location *hosts,
                               size_t count);
void demand_notices_handle_frame (struct demand_notices *notices,
                                  const Peer__Frame *frame, int64_t now_ms);
void demand_notices_tick (struct demand_notices *notices, int64_t now_ms);

#endif
