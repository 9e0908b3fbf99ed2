/* Holds that keep a program's KV cache at an engine while the program waits
   for a tool.

   Every hold has an expiry time, derived from the observed pauses of the tool
   and bounded, so that the engine frees the cache even if every host that
   knows of the hold is down.  A hold is deleted when its program ends.  A
   periodic sweep deletes holds that an engine lists for programs that this
   host owns but does not have in memory.  */
#ifndef GALENA_ENDPOINT_HOLDS_H
#define GALENA_ENDPOINT_HOLDS_H

#include <jansson.h>
#include <stdint.h>

enum
{
  HOLD_MIN_MS = 500, /* bounds of the expiry time */
  HOLD_MAX_MS = 8000,
  HOLD_DEFAULT_PAUSE_MS = 1000, /* for a tool without observed pauses */
  HOLD_PAUSE_FACTOR = 2,        /* expiry time per expected pause */
  HOLD_SWEEP_MS = 4000,         /* time between sweeps */
};

struct server;
struct holds;

struct holds *holds_create (struct server *server);
void holds_destroy (struct holds *holds);
void holds_begin_pause (struct holds *holds, const char *program,
                        const char *engine, const char *route);
void holds_end_pause (struct holds *holds, const char *program);
void holds_delete (struct holds *holds, const char *program);
void holds_tick (struct holds *holds, int64_t now_ms);
json_t *holds_to_json (const struct holds *holds);

#endif
