/* Holds on engines' KV cache while a program's tool runs.

   A hold always carries an expiry, sized from the pauses that the tool has
   been seen to take and bounded, so that an engine frees it even if every host
   that knows of it is gone.  It is dropped at the program's end, and a sweep
   drops what an engine lists for programs that this host should hold and does
   not.  */
#ifndef GALENA_ENDPOINT_HOLDS_H
#define GALENA_ENDPOINT_HOLDS_H

#include <jansson.h>
#include <stdint.h>

enum
{
  HOLD_MIN_MS = 500,
  HOLD_MAX_MS = 8000,
  HOLD_FIRST_PAUSE_MS = 1000, /* of a tool that has not been seen yet */
  HOLD_PAUSE_FACTOR = 2,
  HOLD_SWEEP_MS = 4000,
};

struct server;
struct holds;

struct holds *holds_create (struct server *server);
void holds_destroy (struct holds *holds);
void holds_begin_pause (struct holds *holds, const char *program,
                        const char *engine, const char *route);
void holds_end_pause (struct holds *holds, const char *program);
void holds_drop (struct holds *holds, const char *program);
void holds_tick (struct holds *holds, int64_t now_ms);
json_t *holds_to_json (const struct holds *holds);

#endif
