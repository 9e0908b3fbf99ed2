/* The HTTP listener for callers: authenticates requests, applies the rate
   limits and dispatches them to the routes. */
#ifndef GALENA_CALLER_LISTENER_H
#define GALENA_CALLER_LISTENER_H

#include "common/error.h"
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct server;
struct listener;

struct listener *listener_create (struct server *server, struct error *error);
void listener_begin_destroy (struct listener *listener);
bool listener_is_idle (const struct listener *listener);
bool listener_close_idle (struct listener *listener, int64_t now_ms);
void listener_destroy (struct listener *listener);
void listener_resume_requests (struct listener *listener);
void listener_tick (struct listener *listener, int64_t now_ms);
void listener_enforce_key_withdrawal (struct listener *listener);
json_t *listener_to_json (const struct listener *listener);

#endif
