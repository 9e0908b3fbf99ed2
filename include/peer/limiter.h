/* Fleet-wide rate limits.  Each customer's rate is divided into parts
   that belong to rate limit slots.  The host that holds a slot has the token
   bucket of that part; a host without a token borrows from the holders of
   other slots. */
#ifndef GALENA_PEER_LIMITER_H
#define GALENA_PEER_LIMITER_H

#include "common/error.h"
#include "peer/peer.pb-c.h"
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct server;
struct limiter;
struct limiter_wait;

/* ERROR is NULL when the request is admitted. */
typedef void limiter_handler (void *data, const struct error *error);

struct limiter *limiter_create (struct server *server);
void limiter_destroy (struct limiter *limiter);
void limiter_apply (struct limiter *limiter);
struct limiter_wait *limiter_admit (struct limiter *limiter,
                                    const char *customer,
                                    limiter_handler *handle, void *data);
void limiter_cancel (struct limiter_wait *wait);
void limiter_handle_frame (struct limiter *limiter, const char *host,
                           const Peer__Frame *frame);
void limiter_tick (struct limiter *limiter, int64_t now_ms);
json_t *limiter_to_json (const struct limiter *limiter);

#endif
