/* An endpoint's limit on the requests that it gets from all hosts together, as
   the host that shares it out keeps it.

   The primary holder permits requests at the named rate.  While it does not
   answer, a spare holder permits them at SPARE_PERCENT of that rate, since the
   primary may be alive and permit requests of hosts that still reach it.  */
#ifndef GALENA_POLICY_ENDPOINT_LIMIT_H
#define GALENA_POLICY_ENDPOINT_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  ENDPOINT_LIMIT_NONE = -1,
  /* Requests per 1,000 s that are permitted at least: only the answer to a
     request tells that a limit has ended. */
  ENDPOINT_LIMIT_MIN_MILLI = 200,
  ENDPOINT_LIMIT_SPARE_PERCENT = 40,
  /* The longest that a request may wait for its turn. */
  ENDPOINT_LIMIT_MAX_TURN_MS = 1000,
};

/* Higher limits count as this one. */
#define ENDPOINT_LIMIT_MAX_MILLI INT64_C (1000000000000)

enum endpoint_limit_role
{
  ENDPOINT_LIMIT_PRIMARY,
  ENDPOINT_LIMIT_SPARE,
};

/* Owned by the caller. */
struct endpoint_limit
{
  enum endpoint_limit_role role;
  bool is_known; /* the endpoint has been reported with or without a limit */
  /* Another holder may have permitted requests just before the limit became
     known here. */
  bool has_predecessor;
  int64_t limit_milli; /* requests per 1,000 s, or ENDPOINT_LIMIT_NONE */
  int64_t named_ms;    /* when an answer that names it was last reported */
  /* While the endpoint is cold, what this holder permits then; 0 else. */
  int64_t cold_milli;
  int64_t cold_burst_utokens;
  int64_t level_utokens; /* negative if requests are permitted in advance */
  int64_t refilled_ms;
};

void endpoint_limit_init (struct endpoint_limit *limit,
                          enum endpoint_limit_role role, int64_t now_ms);
void endpoint_limit_assume (struct endpoint_limit *limit, int64_t limit_milli,
                            int64_t now_ms);
void endpoint_limit_record_named (struct endpoint_limit *limit,
                                  int64_t limit_milli, int64_t now_ms);
void endpoint_limit_record_absent (struct endpoint_limit *limit,
                                   int64_t sent_ms, int64_t now_ms);
void endpoint_limit_set_cold (struct endpoint_limit *limit, int64_t cold_milli,
                              int64_t burst_utokens, int64_t now_ms);
bool endpoint_limit_take (struct endpoint_limit *limit, int64_t max_wait_ms,
                          int64_t now_ms, int64_t *wait_ms);

#endif
