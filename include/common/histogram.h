/* Latency histograms of the process.  Any thread may update them. */
#ifndef GALENA_COMMON_HISTOGRAM_H
#define GALENA_COMMON_HISTOGRAM_H

#include "common/buf.h"
#include <stdint.h>

enum histogram
{
  HISTOGRAM_REQUEST_MS,     /* from request arrival to end of response */
  HISTOGRAM_FIRST_EVENT_MS, /* from sending to the first stream event */
  HISTOGRAM_BUDGET_MS,      /* for a budget reservation in the ledger */
  HISTOGRAM_STORE_MS,     /* for a store call that does not wait for changes */
  HISTOGRAM_TURN_READ_MS, /* of a chain, from keepers */
  HISTOGRAM_TURN_WRITE_MS, /* from a response's last event until the turn is
                              durable */
  HISTOGRAM_COUNT,
};

void histogram_record (enum histogram histogram, int64_t ms);
void histograms_to_text (struct buf *text);

#endif
