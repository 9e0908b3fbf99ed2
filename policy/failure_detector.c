#include "policy/failure_detector.h"

/* Initializes a data centre as reachable.  */
void
failure_detector_init (struct failure_detector *detector, int64_t now_ms)
{
  *detector
      = (struct failure_detector){ .heard_ms = now_ms, .ticked_ms = now_ms };
}

/* Records that a message from one of its hosts arrived at HEARD_MS.  */
void
failure_detector_record_heard (struct failure_detector *detector,
                               int64_t heard_ms)
{
  if (heard_ms <= detector->heard_ms)
    return;
  detector->heard_ms = heard_ms;
  if (heard_ms < detector->probed_ms)
    return;
  detector->probed_ms = 0;
  detector->is_unreachable = false;
}

/* Updates is_unreachable.  Returns true if the hosts should be probed now.
   After a pause of this host, unanswered probes sent before it are not
   counted, because they say nothing about the other data centre.  */
bool
failure_detector_tick (struct failure_detector *detector, int64_t now_ms)
{
  bool was_paused = now_ms - detector->ticked_ms > FAILURE_DETECTOR_PAUSE_MS;

  detector->ticked_ms = now_ms;
  if (was_paused && !detector->is_unreachable)
    detector->probed_ms = 0;
  if (detector->probed_ms
      && now_ms - detector->probed_ms > FAILURE_DETECTOR_TIMEOUT_MS)
    detector->is_unreachable = true;
  if (now_ms - detector->heard_ms < FAILURE_DETECTOR_PROBE_MS
      || now_ms - detector->asked_ms < FAILURE_DETECTOR_PROBE_MS)
    return false;
  detector->asked_ms = now_ms;
  if (!detector->probed_ms)
    detector->probed_ms = now_ms;
  return true;
}
