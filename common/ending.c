#include "common/ending.h"
#include "common/counters.h"

static const char *
way_name (enum ending_way way)
{
  static const char *const names[]
      = { "a whole response", "the end of a stream", "an abort",
          "the caller's leaving", "nothing" };

  return names[way];
}

/* Counts and logs that NEWS came to SUBJECT, such as a request's path, when it
   was too late for it.  */
static void
record_late (const struct ending *ending, const char *news,
             const char *subject, const struct log_ids *ids)
{
  counter_add (COUNTER_RESPONSES_LATE, 1);
  log_write (LOG_WARN, "ending", ids, "%s came to %s %s", news, subject,
             ending->has_ended   ? "after its end"
             : ending->has_begun ? "after its stream had begun: it is aborted"
                                 : "before its stream began: it is aborted");
}

/* Records that a stream begins.  Returns false if one has begun or the
   response has ended; what has begun must then be aborted.  */
bool
ending_begin (struct ending *ending, const char *subject,
              const struct log_ids *ids)
{
  if (ending->has_begun || ending->has_ended)
    {
      record_late (ending, "the beginning of a stream", subject, ids);
      return false;
    }
  ending->has_begun = true;
  return true;
}

/* Records that the response is to end by WAY.  Returns the way by which it
   ends: a stream that has begun cannot become a whole response, and one that
   has not begun cannot be complete.  */
enum ending_way
ending_end (struct ending *ending, enum ending_way way, const char *subject,
            const struct log_ids *ids)
{
  if (ending->has_ended)
    {
      record_late (ending, way_name (way), subject, ids);
      return ENDING_NONE;
    }
  if ((way == ENDING_WHOLE && ending->has_begun)
      || (way == ENDING_COMPLETE && !ending->has_begun))
    {
      record_late (ending, way_name (way), subject, ids);
      way = ENDING_ABORT;
    }
  ending->has_ended = true;
  return way;
}

/* Counts and logs that SUBJECT was about to be freed without an end.  */
void
ending_record_missing (const char *subject, const struct log_ids *ids)
{
  counter_add (COUNTER_ENDS_MISSING, 1);
  log_write (LOG_WARN, "ending", ids,
             "%s was freed without an end: its response is aborted", subject);
}
