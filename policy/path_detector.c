#include "policy/path_detector.h"

/* Records an opened connection.  Returns whether the path is whole again.  */
bool
path_detector_record_opened (struct path_detector *path, int64_t now_ms)
{
  path->opened_ms = now_ms;
  path->failing_since_ms = 0;
  path->failures = 0;
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
  path->failures++;
  if (!path->failing_since_ms)
    path->failing_since_ms = now_ms;
  if (path->is_broken || path->failures < PATH_MIN_FAILURES
      || now_ms - path->failing_since_ms < PATH_BROKEN_MS)
    return false;
  path->is_broken = true;
  return true;
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
