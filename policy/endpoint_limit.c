#include "policy/endpoint_limit.h"
#include "policy/utokens.h"

enum
{
  MS_PER_S = 1000,
  PERCENT = 100,
  /* Parts of a second's limit that may be permitted at once, beside one
     request, or two by the primary.  In any 4 s, both holders together permit
     5.6 s of the limit, and 3 requests and 0.3 s of it at once, which leaves a
     margin to one and a half times the limit and 5 requests.  */
  PRIMARY_BURST_PERCENT = 25,
  SPARE_BURST_PERCENT = 5,
  RESERVED_DIVISOR = 2, /* of the capacity, for requests that would wait */
  /* Reported if a request is permitted even later: the limit may end or change
     meanwhile. */
  MAX_WAIT_MS = 2000,
};

/* Initializes a limit about which nothing is known.  */
void
endpoint_limit_init (struct endpoint_limit *limit,
                     enum endpoint_limit_role role, int64_t now_ms)
{
  *limit = (struct endpoint_limit){ .role = role,
                                    .has_predecessor = true,
                                    .limit_milli = ENDPOINT_LIMIT_NONE,
                                    .refilled_ms = now_ms };
}

/* Returns the permitted requests per 1,000 s, which are also the utokens per
   millisecond.  */
static int64_t
named_rate_milli (const struct endpoint_limit *limit)
{
  int64_t rate = limit->limit_milli < ENDPOINT_LIMIT_MIN_MILLI
                     ? ENDPOINT_LIMIT_MIN_MILLI
                     : limit->limit_milli;

  return limit->role == ENDPOINT_LIMIT_SPARE
             ? rate * ENDPOINT_LIMIT_SPARE_PERCENT / PERCENT
             : rate;
}

static int64_t
min64 (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

static bool
is_limited (const struct endpoint_limit *limit)
{
  return limit->limit_milli >= 0 || limit->cold_milli > 0;
}

/* Returns the lower of the named rate and that of a cold endpoint.  */
static int64_t
rate_milli (const struct endpoint_limit *limit)
{
  if (limit->cold_milli == 0)
    return named_rate_milli (limit);
  return limit->limit_milli < 0
             ? limit->cold_milli
             : min64 (limit->cold_milli, named_rate_milli (limit));
}

static int64_t
named_capacity_utokens (const struct endpoint_limit *limit)
{
  int64_t second_utokens
      = (limit->limit_milli < 0 ? 0 : limit->limit_milli) * MS_PER_S;

  if (limit->role == ENDPOINT_LIMIT_SPARE)
    return UTOKENS_PER_TOKEN + second_utokens / PERCENT * SPARE_BURST_PERCENT;
  return UTOKENS_PER_TOKEN + min64 (UTOKENS_PER_TOKEN, second_utokens)
         + second_utokens / PERCENT * PRIMARY_BURST_PERCENT;
}

static int64_t
capacity_utokens (const struct endpoint_limit *limit)
{
  if (limit->cold_milli == 0)
    return named_capacity_utokens (limit);
  return limit->limit_milli < 0 ? limit->cold_burst_utokens
                                : min64 (limit->cold_burst_utokens,
                                         named_capacity_utokens (limit));
}

static void
refill (struct endpoint_limit *limit, int64_t now_ms)
{
  int64_t capacity = capacity_utokens (limit);
  int64_t rate = rate_milli (limit);
  int64_t missing = capacity - limit->level_utokens;
  int64_t elapsed_ms = now_ms - limit->refilled_ms;

  limit->refilled_ms = now_ms;
  if (elapsed_ms > missing / rate)
    limit->level_utokens = capacity;
  else if (elapsed_ms > 0)
    limit->level_utokens += elapsed_ms * rate;
}

/* Sets the level of a limit that begins or has changed.  */
static void
set_level (struct endpoint_limit *limit, bool begins, int64_t now_ms)
{
  limit->refilled_ms = now_ms;
  if (begins)
    limit->level_utokens = limit->has_predecessor ? -ENDPOINT_LIMIT_MAX_TURN_MS
                                                        * rate_milli (limit)
                                                  : 0;
  else
    limit->level_utokens
        = min64 (limit->level_utokens, capacity_utokens (limit));
}

static void
set_limit (struct endpoint_limit *limit, int64_t limit_milli, int64_t now_ms)
{
  bool begins = !is_limited (limit);

  limit->is_known = true;
  limit_milli = min64 (limit_milli, ENDPOINT_LIMIT_MAX_MILLI);
  if (limit->limit_milli == limit_milli)
    return;
  if (!begins)
    refill (limit, now_ms);
  limit->limit_milli = limit_milli;
  set_level (limit, begins, now_ms);
}

/* Sets what this holder permits while the endpoint is cold, beside the named
   limit; a RATE_MILLI of 0 ends it.  What was permitted in advance at a higher
   rate is not used, so that no more than a second's debt is kept.  */
void
endpoint_limit_set_cold (struct endpoint_limit *limit, int64_t cold_milli,
                         int64_t burst_utokens, int64_t now_ms)
{
  bool begins = !is_limited (limit);
  int64_t most_debt;

  if (limit->cold_milli == cold_milli
      && limit->cold_burst_utokens == burst_utokens)
    return;
  if (!begins)
    refill (limit, now_ms);
  limit->cold_milli = cold_milli;
  limit->cold_burst_utokens = burst_utokens;
  if (!is_limited (limit))
    return;
  set_level (limit, begins, now_ms);
  most_debt = -ENDPOINT_LIMIT_MAX_TURN_MS * rate_milli (limit);
  if (limit->level_utokens < most_debt)
    limit->level_utokens = most_debt;
}

/* Sets the limit that another host assumes, unless an answer of the endpoint
   has been reported.  */
void
endpoint_limit_assume (struct endpoint_limit *limit, int64_t limit_milli,
                       int64_t now_ms)
{
  if (!limit->is_known && limit_milli >= 0)
    set_limit (limit, limit_milli, now_ms);
}

/* Records an answer that names a limit.  */
void
endpoint_limit_record_named (struct endpoint_limit *limit, int64_t limit_milli,
                             int64_t now_ms)
{
  limit->named_ms = now_ms;
  set_limit (limit, limit_milli, now_ms);
}

/* Records an answer that names no limit, to a request sent at SENT_MS.  It
   ends the limit unless that was named since: the answer may be the older one.
 */
void
endpoint_limit_record_absent (struct endpoint_limit *limit, int64_t sent_ms,
                              int64_t now_ms)
{
  if (limit->limit_milli >= 0 && sent_ms < limit->named_ms)
    return;
  limit->is_known = true;
  if (limit->cold_milli > 0)
    refill (limit, now_ms);
  limit->limit_milli = ENDPOINT_LIMIT_NONE;
}

/* Permits a request at once or after *WAIT_MS, at most MAX_WAIT_MS.  Otherwise
   returns false, with the time after which to ask again in *WAIT_MS. A request
   that would not wait is as well off elsewhere, and leaves some tokens to
   those that are not.  */
bool
endpoint_limit_take (struct endpoint_limit *limit, int64_t max_wait_ms,
                     int64_t now_ms, int64_t *wait_ms)
{
  int64_t needed = UTOKENS_PER_TOKEN;
  int64_t rate;

  *wait_ms = 0;
  if (!is_limited (limit))
    return true;
  refill (limit, now_ms);
  rate = rate_milli (limit);
  max_wait_ms = min64 (max_wait_ms, ENDPOINT_LIMIT_MAX_TURN_MS);
  if (max_wait_ms == 0)
    needed = min64 (needed + capacity_utokens (limit) / RESERVED_DIVISOR,
                    capacity_utokens (limit));
  if (limit->level_utokens < needed)
    *wait_ms = (needed - limit->level_utokens + rate - 1) / rate;
  if (*wait_ms > max_wait_ms)
    {
      *wait_ms = min64 (*wait_ms, MAX_WAIT_MS);
      return false;
    }
  limit->level_utokens -= UTOKENS_PER_TOKEN;
  return true;
}
