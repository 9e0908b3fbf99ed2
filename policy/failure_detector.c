#include "policy/failure_detector.h"

/* Initializes a data centre as reachable.  */
void
failure_detector_init (struct failure_detector *detector, int64_t now_ms)
{
  *detector
      = (struct failure_detector){ .last_heard_ms = now_ms,
                                   .last_tick_ms = now_ms,
                                   .timeout_ms = FAILURE_DETECTOR_TIMEOUT_MS };
}

/* Records that a message from one of its hosts arrived at HEARD_MS.  */
void
failure_detector_record_heard (struct failure_detector *detector,
                               int64_t heard_ms)
{
  if (heard_ms <= detector->last_heard_ms)
    return;
  detector->last_heard_ms = heard_ms;
  if (heard_ms < detector->unanswered_since_ms)
    return;
  detector->unanswered_since_ms = 0;
  detector->is_unreachable = false;
}

/* Updates is_unreachable.  Returns true if the hosts should be probed now.
   After a pause of this host, unanswered probes sent before it are not
   counted, because they say nothing about the other data centre.  */
bool
failure_detector_tick (struct failure_detector *detector, int64_t now_ms)
{
  bool was_paused
      = now_ms - detector->last_tick_ms > FAILURE_DETECTOR_PAUSE_MS;

  detector->last_tick_ms = now_ms;
  if (was_paused && !detector->is_unreachable)
    detector->unanswered_since_ms = 0;
  if (detector->unanswered_since_ms
      && now_ms - detector->unanswered_since_ms > detector->timeout_ms)
    detector->is_unreachable = true;
  if (now_ms - detector->last_heard_ms < FAILURE_DETECTOR_PROBE_MS
      || now_ms - detector->last_probe_ms < FAILURE_DETECTOR_PROBE_MS)
    return false;
  detector->last_probe_ms = now_ms;
  if (!detector->unanswered_since_ms)
    detector->unanswered_since_ms = now_ms;
  return true;
}
