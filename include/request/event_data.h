/* Extracts the data of server-sent events. */
#ifndef GALENA_REQUEST_EVENT_DATA_H
#define GALENA_REQUEST_EVENT_DATA_H

#include "common/buf.h"
#include <stdbool.h>

bool event_data_append (struct buf *output, const char *event, size_t len);

#endif
