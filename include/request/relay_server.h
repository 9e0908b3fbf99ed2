/* Sends requests for other hosts; see request/relay.h. */
#ifndef GALENA_REQUEST_RELAY_SERVER_H
#define GALENA_REQUEST_RELAY_SERVER_H

#include "common/fetch.h"
#include "peer/transport.h"
#include "request/endpoint_limiter.h"
#include "request/path_monitor.h"
#include "request/pool.h"
#include "request/request.h"

struct relay_server;

struct relay_server_options
{
  struct transport *transport;
  struct fetcher *fetcher;
  struct pool *pool;
  struct endpoint_limiter *limiter; /* NULL to ignore endpoints' limits */
  struct path_monitor *monitor;
  const struct request_wire *wire;
};

struct relay_server *
relay_server_create (const struct relay_server_options *options);
void relay_server_destroy (struct relay_server *server);
void relay_server_tick (struct relay_server *server, int64_t now_ms);
void relay_server_handle_frame (struct relay_server *server, const char *host,
                                const Peer__Frame *frame, int64_t now_ms);
void relay_server_handle_down (struct relay_server *server, const char *host);
void relay_server_fail_path (struct relay_server *server,
                             const struct pool_endpoint *endpoint,
                             int64_t silent_ms);
void relay_server_close (struct relay_server *server);
uint32_t relay_server_active (const struct relay_server *server);

#endif
