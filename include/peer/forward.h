/* Forwards requests from callers to the hosts that own their programs, and
   serves the requests that other hosts forward to this one. */
#ifndef GALENA_PEER_FORWARD_H
#define GALENA_PEER_FORWARD_H

#include "caller/api.h"
#include "config/config.h"
#include "peer/peer.pb-c.h"

struct forwarder;

struct forwarder *forwarder_create (struct server *server);
void forwarder_destroy (struct forwarder *forwarder);
bool forwarder_forward (struct forwarder *forwarder,
                        struct api_request *request,
                        const struct config_host *host);
void forwarder_handle_frame (struct forwarder *forwarder, const char *host,
                             const Peer__Frame *frame);
void forwarder_handle_down (struct forwarder *forwarder, const char *host);
bool forwarder_is_idle (const struct forwarder *forwarder);

#endif
