/* Splits a stream of server-sent events into complete events. */
#ifndef GALENA_REQUEST_EVENT_SPLITTER_H
#define GALENA_REQUEST_EVENT_SPLITTER_H

#include "common/buf.h"
#include <stdbool.h>
#include <stdint.h>

/* In place of the id of an event that has none. */
enum
{
  EVENT_WITHOUT_ID = -1,
  EVENT_COMMENT = -2,   /* has no fields */
  EVENT_MALFORMED = -3, /* has a line that is no field, or its id is no number
                         */
};

/* Handles a complete event.  Returns false to skip the remaining events. */
typedef bool event_handler (void *data, int64_t id, const char *bytes,
                            size_t len);

enum
{
  /* A stream with a larger event is not valid: no caller's backlog could hold
     it. */
  EVENT_SPLITTER_MAX_EVENT_BYTES = 256 * 1024,
};

/* State of the splitter; initially all zero. */
struct event_splitter
{
  struct buf pending; /* an incomplete event */
  size_t scanned;     /* bytes of it that have been searched for its end */
  size_t line_start;  /* offset of the line in which the search stopped */
};

bool event_splitter_append (struct event_splitter *events, const char *bytes,
                            size_t len, event_handler *handler, void *data);
void event_splitter_release (struct event_splitter *events);

#endif
