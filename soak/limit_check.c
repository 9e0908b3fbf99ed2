#include "soak/limit_check.h"

enum
{
  SETTLE_MS = 3000, /* from the first answer until the limit must hold */
  WINDOW_MS = 4000,
  MARGIN = 5, /* requests beyond one and a half times the limit */
  /* A host that has just started may send what its callers ask for until it
     has the first answer or notice.  */
  PER_START = 8,
  LEARN_MS = 1000,
  /* Requests that a fault of the link held up arrive within this time. */
  LINK_SETTLE_MS = 1000,
  COLD_WINDOW_MS = 1000,
  /* cold_per_s x cold_overrun + cold_slack: 20 x 1.5 + 5.  */
  MAX_COLD_REQUESTS = 35,
};

/* Initializes a check in which nothing has happened.  */
void
limit_check_init (struct limit_check *check)
{
  check->starts_ms = g_array_new (FALSE, FALSE, sizeof (int64_t));
  check->disturbed_ms = g_array_new (FALSE, FALSE, sizeof (int64_t));
  check->cold = g_array_new (FALSE, FALSE, sizeof (struct limit_span));
  check->evacuated = g_array_new (FALSE, FALSE, sizeof (struct limit_span));
}

/* Frees the content of CHECK.  */
void
limit_check_release (struct limit_check *check)
{
  g_array_free (check->starts_ms, TRUE);
  g_array_free (check->disturbed_ms, TRUE);
  g_array_free (check->cold, TRUE);
  g_array_free (check->evacuated, TRUE);
}

/* Returns how many of TIMES lie between FROM_MS and TO_MS.  */
static uint32_t
count_between (const GArray *times, int64_t from_ms, int64_t to_ms)
{
  uint32_t count = 0;

  for (guint i = 0; i < times->len; i++)
    {
      int64_t at_ms = g_array_index (times, int64_t, i);

      count += at_ms >= from_ms && at_ms <= to_ms;
    }
  return count;
}

/* Returns by how many requests the worst window exceeds what LIMIT_MILLI, in
   requests per 1,000 s, allows.  ARRIVALS_MS is a list of times.  */
uint32_t
limit_check_excess (const struct limit_check *check, const json_t *arrivals_ms,
                    int64_t limit_milli)
{
  size_t count = json_array_size (arrivals_ms);
  uint32_t worst = 0;
  size_t first = 0;

  for (size_t last = 0; last < count; last++)
    {
      int64_t at_ms = json_integer_value (json_array_get (arrivals_ms, last));
      int64_t settled_ms
          = json_integer_value (json_array_get (arrivals_ms, 0)) + SETTLE_MS;
      int64_t from_ms = MAX (at_ms - WINDOW_MS + 1, settled_ms);
      uint32_t allowed
          = (uint32_t)(limit_milli * WINDOW_MS / 1000 * 3 / 2 / 1000) + MARGIN
            + PER_START
                  * count_between (check->starts_ms, from_ms - LEARN_MS,
                                   at_ms);

      while (first < last
             && json_integer_value (json_array_get (arrivals_ms, first))
                    < from_ms)
        first++;
      if (at_ms < settled_ms
          || count_between (check->disturbed_ms, from_ms - LINK_SETTLE_MS,
                            at_ms)
                 > 0)
        continue;
      if (last - first + 1 > allowed + worst)
        worst = (uint32_t)(last - first + 1) - allowed;
    }
  return worst;
}

/* Returns how many of ARRIVALS_MS lie between FROM_MS and TO_MS, or 0 if a
   fault of the link may have held requests up until then.  */
static uint32_t
count_arrivals (const struct limit_check *check, const json_t *arrivals_ms,
                int64_t from_ms, int64_t to_ms)
{
  uint32_t count = 0;
  size_t i;
  json_t *arrival;

  if (count_between (check->disturbed_ms, from_ms - LINK_SETTLE_MS, to_ms) > 0)
    return 0;
  json_array_foreach (arrivals_ms, i, arrival)
  {
    int64_t at_ms = json_integer_value (arrival);

    count += at_ms >= from_ms && at_ms <= to_ms;
  }
  return count;
}

/* Returns by how many requests the worst second exceeds what a cold endpoint
   may get.  */
uint32_t
limit_check_cold_excess (const struct limit_check *check,
                         const json_t *arrivals_ms)
{
  uint32_t worst = 0;

  for (guint s = 0; s < check->cold->len; s++)
    {
      struct limit_span span
          = g_array_index (check->cold, struct limit_span, s);
      size_t i;
      json_t *arrival;

      json_array_foreach (arrivals_ms, i, arrival)
      {
        int64_t from_ms = json_integer_value (arrival);
        int64_t to_ms = MIN (from_ms + COLD_WINDOW_MS - 1, span.to_ms);
        uint32_t count;

        if (from_ms < span.from_ms || from_ms > span.to_ms)
          continue;
        count = count_arrivals (check, arrivals_ms, from_ms, to_ms);
        if (count > MAX_COLD_REQUESTS + worst)
          worst = count - MAX_COLD_REQUESTS;
      }
    }
  return worst;
}

/* Returns how many requests arrived while the data centre was evacuated.  */
uint32_t
limit_check_evacuated (const struct limit_check *check,
                       const json_t *arrivals_ms)
{
  uint32_t count = 0;

  for (guint s = 0; s < check->evacuated->len; s++)
    {
      struct limit_span span
          = g_array_index (check->evacuated, struct limit_span, s);
      size_t i;
      json_t *arrival;

      json_array_foreach (arrivals_ms, i, arrival)
      {
        int64_t at_ms = json_integer_value (arrival);

        if (at_ms >= span.from_ms && at_ms <= span.to_ms)
          count += count_arrivals (check, arrivals_ms, at_ms, at_ms) > 0;
      }
    }
  return count;
}
