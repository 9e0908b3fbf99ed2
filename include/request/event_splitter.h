/* Splits a stream of server-sent events into complete events. */
#ifndef GALENA_REQUEST_EVENT_SPLITTER_H
#define GALENA_REQUEST_EVENT_SPLITTER_H

#include "common/buf.h"
#include <stdbool.h>
#include <stdint.h>

/* Handles a complete event.  ID is negative if it has none.  Returns false to
   skip the remaining events. */
typedef bool event_handler (void *data, int64_t id, const char *bytes,
                            size_t len);

/* State of the splitter; initially all zero. */
struct event_splitter
{
  struct buf pending; /* an incomplete event */
};

bool event_splitter_append (struct event_splitter *events, const char *bytes,
                            size_t len, event_handler *handler, void *data);
void event_splitter_release (struct event_splitter *events);

#endif
