/* Cuts a stream of server-sent events into whole events. */
#ifndef GALENA_REQUEST_EVENTS_H
#define GALENA_REQUEST_EVENTS_H

#include "common/buf.h"
#include <stdbool.h>
#include <stdint.h>

/* ID is negative where the event has none.  Returns false to stop. */
typedef bool events_handler (void *data, int64_t id, const char *bytes,
                             size_t len);

/* Owned by its user. */
struct events
{
  struct buf pending; /* the beginning of an event */
};

bool events_take (struct events *events, const char *bytes, size_t len,
                  events_handler *handle, void *data);
void events_release (struct events *events);

#endif
