/* Tells all entry hosts what some host has learned of the speed of endpoints,
   by relays (request/notice_relays.h) that merge it.  What has changed most or
   was told longest ago goes first, in a bounded number of facts a second: the
   messages do not grow with the requests.  */
#ifndef GALENA_REQUEST_SPEED_NOTICES_H
#define GALENA_REQUEST_SPEED_NOTICES_H

#include "peer/transport.h"
#include "request/host_set.h"
#include "request/pool.h"
#include <stddef.h>
#include <stdint.h>

struct speed_notices;

struct speed_notices_options
{
  const char *host; /* name of this host; outlives the notices */
  const char *data_centre;
  struct transport *transport;
  struct pool *pool;
};

struct speed_notices *
speed_notices_create (const struct speed_notices_options *options);
void speed_notices_destroy (struct speed_notices *notices);
void speed_notices_set_hosts (struct speed_notices *notices,
                              const struct host_location *hosts, size_t count);
void speed_notices_handle_frame (struct speed_notices *notices,
                                 const Peer__Frame *frame, int64_t now_ms);
void speed_notices_tick (struct speed_notices *notices, int64_t now_ms);

#endif
