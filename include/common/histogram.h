/* Latency histograms of the process, written by any thread. */
#ifndef GALENA_COMMON_HISTOGRAM_H
#define GALENA_COMMON_HISTOGRAM_H

#include "common/buf.h"
#include <stdint.h>

enum histogram
{
  HISTOGRAM_REQUEST_MS,     /* from a request's arrival to its answer's end */
  HISTOGRAM_FIRST_EVENT_MS, /* from a send to the first event of a stream */
  HISTOGRAM_BUDGET_MS,      /* for a reservation at the ledger */
  HISTOGRAM_STORE_MS,       /* for a call of the store that does not wait */
  HISTOGRAM_COUNT,
};

void histogram_add (enum histogram histogram, int64_t ms);
void histograms_to_text (struct buf *text);

#endif
