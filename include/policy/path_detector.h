/* Decides whether this host can open connections to an endpoint.

   A path is broken once connections have failed for PATH_BROKEN_MS, and whole
   again after several have been opened.  Bytes that arrive over a connection
   opened before tell nothing about new ones.

   A connection that opens does not show that anything comes back: what stands
   between may accept it and then reset it, or read the request and answer
   nothing.  A path on which requests stayed without a byte lacks answers until
   a byte of the endpoint arrives.  */
#ifndef GALENA_POLICY_PATH_DETECTOR_H
#define GALENA_POLICY_PATH_DETECTOR_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  PATH_PROBE_INTERVAL_MS = 200, /* while connections fail */
  /* An endpoint that is busy with long requests is silent for longer than
     this; then a probe tells. */
  PATH_SILENT_MS = 500,
  PATH_SILENT_INTERVAL_MS = 1000, /* between probes of a silent endpoint */
  PATH_BROKEN_MS = 200,  /* longer than the pause of a host that has used up
                            its share of the processor */
  PATH_MIN_FAILURES = 2, /* consecutive, until the path is broken */
  PATH_MIN_OPENED = 2,   /* consecutive, until it is whole again */
  /* Consecutive requests that are lost on new connections, until the path
     lacks answers. */
  PATH_MIN_UNANSWERED = 2,
  /* Between requests over a path that lacks answers while other hosts send
     for this one.  Such a request may be lost, and it alone shows that the
     path is whole again. */
  PATH_TRIAL_INTERVAL_MS = 10000,
};

/* The state of one path.  Owned by the caller; zeroed at first. */
struct path_detector
{
  int64_t failing_since_ms; /* first failure since an opened connection; 0 for
                               none */
  int64_t opened_ms;        /* when the latest connection was opened */
  int64_t probed_ms;        /* start of the latest probe */
  int64_t failed_ms;        /* latest failure or missing answer; 0 for none */
  int64_t unanswered_ms;    /* latest missing answer; 0 for none */
  int64_t sent_ms;          /* when a request was last sent over it */
  uint32_t failures;        /* consecutive */
  uint32_t opened;          /* consecutive, while the path is broken */
  uint32_t unanswered;      /* consecutive */
  bool is_broken;
  bool is_silent; /* answers are missing because its service is silent */
  /* Others are broken and no connection was tried lately, or it lacks answers
     while other hosts send for this one.  Set by the caller; the former is
     cleared by an opened connection. */
  bool is_doubted;
};

bool path_detector_record_opened (struct path_detector *path, int64_t now_ms);
bool path_detector_record_failed (struct path_detector *path, int64_t now_ms);
void path_detector_record_unanswered (struct path_detector *path,
                                      int64_t heard_ms, int64_t now_ms);
void path_detector_record_silent (struct path_detector *path, int64_t now_ms);
void path_detector_record_sent (struct path_detector *path, int64_t heard_ms,
                                int64_t now_ms);
bool path_detector_lacks_answers (const struct path_detector *path,
                                  int64_t heard_ms);
bool path_detector_is_trial_due (const struct path_detector *path,
                                 int64_t now_ms);
bool path_detector_is_probe_due (const struct path_detector *path,
                                 int64_t silent_ms, int64_t now_ms);

#endif
