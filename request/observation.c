#include "request/observation.h"
#include "common/counters.h"
#include "common/id.h"
#include <glib.h>

enum
{
  STATUS_MISDIRECTED = 421, /* from another endpoint than the chosen one */
};

static void
record_limit (const struct observation *observation)
{
  const struct pool_endpoint *endpoint = observation->endpoint;
  int64_t limit_milli = observation->head->limit_milli;

  if (!observation->limiter
      || !endpoint_limiter_record_limit (
          observation->limiter, observation->endpoint, limit_milli,
          observation->sent_ms, clock_now_ms ()))
    return;
  counter_add (COUNTER_ENDPOINT_LIMIT_CHANGES, 1);
  if (limit_milli >= 0)
    log_write (LOG_INFO, "request", &observation->ids,
               "endpoint %s takes %" G_GINT64_FORMAT
               " requests per 1000 s from all hosts together",
               endpoint->id, limit_milli);
  else
    log_write (LOG_INFO, "request", &observation->ids,
               "endpoint %s names no limit", endpoint->id);
}

static void
record_leaving (const struct observation *observation)
{
  struct pool_endpoint *endpoint = observation->endpoint;
  int64_t now_ms = clock_now_ms ();

  if (!pool_record_leaving (observation->pool, endpoint, now_ms))
    return;
  if (observation->limiter)
    endpoint_limiter_record_leaving (observation->limiter, endpoint, now_ms);
  counter_add (COUNTER_ENDPOINTS_LEAVING, 1);
  log_write (LOG_INFO, "request", &observation->ids,
             "endpoint %s announced in its response, status %ld, that it is "
             "leaving",
             endpoint->id, observation->status);
}

/* Must be called after each header of a response, also of one that will not be
   forwarded.  A misdirected request has reached another endpoint.  */
void
observation_record_header (const struct observation *observation)
{
  if (observation->status == STATUS_MISDIRECTED)
    return;
  if (observation->head->is_leaving)
    record_leaving (observation);
  if (observation->head->limit_milli >= 0)
    record_limit (observation);
}

/* Must be called at the end of a response's head, with its status.  Without a
   limit in it the endpoint has none, but a malformed one tells nothing.  */
void
observation_record_head_end (const struct observation *observation)
{
  const struct response_head *head = observation->head;

  if (head->has_malformed_limit)
    {
      counter_add (COUNTER_MALFORMED_LIMITS, 1);
      log_write (LOG_WARN, "request", &observation->ids,
                 "endpoint %s names a malformed limit",
                 observation->endpoint->id);
    }
  else if (head->limit_milli < 0 && observation->status != STATUS_MISDIRECTED)
    record_limit (observation);
}

/* Records the load that the response reports, if it does.  */
void
observation_record_load (const struct observation *observation)
{
  const struct response_head *head = observation->head;

  if (head->running < 0)
    return;
  pool_record_load (observation->endpoint, head->running, head->waiting,
                    clock_now_ms ());
  pool_record_work_percent (observation->endpoint, head->work_percent);
}
