/* Tells all entry hosts what some host has learnt of an endpoint.

   A notice goes to two relays in each data centre, which pass on what is new
   to them to the hosts of their data centre, and all of it at long intervals,
   for hosts that missed it.  The messages grow with the number of endpoints
   and hosts, not with the requests.  */
#ifndef GALENA_REQUEST_ENDPOINT_NOTICES_H
#define GALENA_REQUEST_ENDPOINT_NOTICES_H

#include "peer/transport.h"
#include "policy/cold.h"
#include "request/host_set.h"
#include <stdbool.h>
#include <stdint.h>

struct endpoint_notices;

struct endpoint_fact
{
  uint64_t endpoint;   /* hash of its id and start */
  int64_t limit_milli; /* requests per 1,000 s; negative if it has no limit */
  bool is_leaving;
  struct cold_state cold; /* times of this host */
};

/* Called for each fact that another host has sent. */
typedef void endpoint_fact_handler (void *data,
                                    const struct endpoint_fact *fact,
                                    int64_t now_ms);

struct endpoint_notices_options
{
  const char *host; /* name of this host; outlives the notices */
  const char *data_centre;
  struct transport *transport;
  const struct host_set *hosts; /* all entry hosts */
  endpoint_fact_handler *handle_fact;
  void *data;
};

struct endpoint_notices *
endpoint_notices_create (const struct endpoint_notices_options *options);
void endpoint_notices_destroy (struct endpoint_notices *notices);
void endpoint_notices_announce (struct endpoint_notices *notices,
                                const struct endpoint_fact *fact);
void endpoint_notices_handle (struct endpoint_notices *notices,
                              const Peer__EndpointNotice *notice,
                              int64_t now_ms);
Peer__EndpointCold *endpoint_notices_pack_cold (Peer__EndpointCold *message,
                                                const struct cold_state *cold,
                                                int64_t now_ms);
struct cold_state
endpoint_notices_unpack_cold (const Peer__EndpointCold *message,
                              int64_t now_ms);
void endpoint_notices_hurry (struct endpoint_notices *notices);
void endpoint_notices_tick (struct endpoint_notices *notices, int64_t now_ms);

#endif
