#include "policy/path_detector.h"

/* Records an opened connection.  Returns whether the path is whole again.  */
bool
path_detector_record_opened (struct path_detector *path, int64_t now_ms)
{
  path->opened_ms = now_ms;
  path->failing_since_ms = 0;
  path->failures = 0;
  if (path->unanswered < PATH_MIN_UNANSWERED)
    path->is_doubted = false;
  if (!path->is_broken || ++path->opened < PATH_MIN_OPENED)
    return false;
  path->is_broken = false;
  return true;
}

/* Records that a connection could not be opened.  Returns whether the path has
   become broken.  */
bool
path_detector_record_failed (struct path_detector *path, int64_t now_ms)
{
  path->opened = 0;
  path->failed_ms = now_ms;
  path->failures++;
  if (!path->failing_since_ms)
    path->failing_since_ms = now_ms;
  if (path->is_broken || path->failures < PATH_MIN_FAILURES
      || now_ms - path->failing_since_ms < PATH_BROKEN_MS)
    return false;
  path->is_broken = true;
  return true;
}

/* Records that a request was lost on a connection that had just been opened,
   without a byte of the endpoint.  HEARD_MS is when its latest bytes arrived
   at this host, over any connection; 0 for never.  */
void
path_detector_record_unanswered (struct path_detector *path, int64_t heard_ms,
                                 int64_t now_ms)
{
  if (heard_ms >= path->unanswered_ms)
    path->unanswered = 0;
  path->unanswered++;
  path->unanswered_ms = now_ms;
  path->failed_ms = now_ms;
  path->is_silent = false;
}

/* Records that nothing comes back from the endpoint's service though requests
   wait for it.  */
void
path_detector_record_silent (struct path_detector *path, int64_t now_ms)
{
  path->unanswered = PATH_MIN_UNANSWERED;
  path->unanswered_ms = now_ms;
  path->failed_ms = now_ms;
  path->is_silent = true;
}

/* Records that a request is sent over the path.  Further ones go another way
   while it lacks answers.  */
void
path_detector_record_sent (struct path_detector *path, int64_t heard_ms,
                           int64_t now_ms)
{
  path->sent_ms = now_ms;
  if (path_detector_lacks_answers (path, heard_ms))
    path->is_doubted = true;
}

/* Whether requests stayed without an answer, and no byte has arrived since.
 */
bool
path_detector_lacks_answers (const struct path_detector *path,
                             int64_t heard_ms)
{
  return path->unanswered >= PATH_MIN_UNANSWERED
         && heard_ms < path->unanswered_ms;
}

/* Whether a request may show that a path that lacks answers is whole again.
 */
bool
path_detector_is_trial_due (const struct path_detector *path, int64_t now_ms)
{
  int64_t latest_ms = path->sent_ms > path->unanswered_ms
                          ? path->sent_ms
                          : path->unanswered_ms;

  return now_ms - latest_ms >= PATH_TRIAL_INTERVAL_MS;
}

/* Whether a connection should be tried now.  SILENT_MS is for how long the
   endpoint has been silent while requests wait for it; 0 if none does.  */
bool
path_detector_is_probe_due (const struct path_detector *path,
                            int64_t silent_ms, int64_t now_ms)
{
  int64_t since_probe_ms = now_ms - path->probed_ms;

  if (path->failures > 0 || path->is_broken)
    return since_probe_ms >= PATH_PROBE_INTERVAL_MS;
  return silent_ms >= PATH_SILENT_MS
         && since_probe_ms >= PATH_SILENT_INTERVAL_MS
         && now_ms - path->opened_ms >= PATH_SILENT_INTERVAL_MS;
}
