#include "policy/silence.h"

/* Initializes a data centre as reachable.  */
void
failure_detector_init (struct failure_detector *silence, int64_t now_ms)
{
  *silence
      = (struct failure_detector){ .heard_ms = now_ms, .ticked_ms = now_ms };
}

/* Records that a message from one of its hosts arrived at HEARD_MS.  */
void
failure_detector_record_heard (struct failure_detector *silence,
                               int64_t heard_ms)
{
  if (heard_ms <= silence->heard_ms)
    return;
  silence->heard_ms = heard_ms;
  if (heard_ms < silence->probed_ms)
    return;
  silence->probed_ms = 0;
  silence->is_unreachable = false;
}

/* Updates is_unreachable.  Returns true if the hosts should be probed now.
   After a pause of this host, unanswered probes sent before it are not
   counted, because they say nothing about the other data centre.  */
bool
failure_detector_tick (struct failure_detector *silence, int64_t now_ms)
{
  bool was_paused = now_ms - silence->ticked_ms > FAILURE_DETECTOR_PAUSE_MS;

  silence->ticked_ms = now_ms;
  if (was_paused && !silence->is_unreachable)
    silence->probed_ms = 0;
  if (silence->probed_ms
      && now_ms - silence->probed_ms > FAILURE_DETECTOR_TIMEOUT_MS)
    silence->is_unreachable = true;
  if (now_ms - silence->heard_ms < FAILURE_DETECTOR_PROBE_MS
      || now_ms - silence->asked_ms < FAILURE_DETECTOR_PROBE_MS)
    return false;
  silence->asked_ms = now_ms;
  if (!silence->probed_ms)
    silence->probed_ms = now_ms;
  return true;
}
