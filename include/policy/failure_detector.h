/* Failure detector: decides when a data centre counts as unreachable.

   A data centre that is silent is probed.  It is unreachable once a probe has
   been unanswered for FAILURE_DETECTOR_TIMEOUT_MS.  */
#ifndef GALENA_POLICY_FAILURE_DETECTOR_H
#define GALENA_POLICY_FAILURE_DETECTOR_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Silence after which hosts are probed, and the interval between probes. */
  FAILURE_DETECTOR_PROBE_MS = 200,
  /* Ten times the longest latency between data centres of a region; also
     covers the pause of a host that has used up its CPU quota. */
  FAILURE_DETECTOR_TIMEOUT_MS = 400,
  /* A longer gap between ticks is a pause of this host. */
  FAILURE_DETECTOR_PAUSE_MS = 300,
};

/* The state of one data centre.  Owned by the caller. */
struct failure_detector
{
  int64_t last_heard_ms;       /* when the last message was received */
  int64_t unanswered_since_ms; /* oldest unanswered probe; 0: none */
  int64_t last_probe_ms;       /* latest probe */
  int64_t last_tick_ms;
  int64_t timeout_ms; /* of a probe; FAILURE_DETECTOR_TIMEOUT_MS at first */
  bool is_unreachable;
};

void failure_detector_init (struct failure_detector *detector, int64_t now_ms);
void failure_detector_record_heard (struct failure_detector *detector,
                                    int64_t heard_ms);
bool failure_detector_tick (struct failure_detector *detector, int64_t now_ms);

#endif
