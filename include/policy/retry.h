/* Retry budgets, back-off, and quarantine of requests that crash endpoints. */
#ifndef GALENA_POLICY_RETRY_H
#define GALENA_POLICY_RETRY_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  RETRY_MAX_ATTEMPTS = 4,
  RETRY_BASE_MS = 20, /* upper bound of the first back-off */
  RETRY_MAX_BACKOFF_MS = 1000,
  RETRY_PERCENT = 20, /* retries that a hundred first attempts earn */
  RETRY_INITIAL_CREDIT = 10,
  RETRY_MAX_CREDIT = 100, /* in retries */
  POISON_MAX_ENTRIES = 256,
  POISON_CRASHES = 2,        /* after which the request is refused */
  POISON_REFUSE_MS = 600000, /* for which the request is refused */
  POISON_SUSPECT_MS = 60000, /* for which it is suspect after one crash */
  /* Reports for one endpoint within this time are of the same crash. */
  POISON_SAME_CRASH_MS = 1000,
};

/* Credit is counted in hundredths of a retry. */
struct retry_budget
{
  int64_t credit_percent;
};

void retry_budget_init (struct retry_budget *budget);
void retry_budget_deposit (struct retry_budget *budget);
bool retry_budget_withdraw (struct retry_budget *budget);
int64_t retry_backoff_ms (uint32_t attempt, uint64_t *seed);

/* A request during whose execution an endpoint crashed. */
struct poison_entry
{
  uint64_t fingerprint; /* hash of the request's contents */
  uint32_t crashes;
  int64_t until_ms;       /* end of the refusal or suspicion */
  uint64_t last_endpoint; /* hash of the endpoint that crashed last */
  int64_t last_ms;        /* time of the last crash */
  bool is_retrying;       /* its one allowed retry is running */
};

struct poison_table
{
  struct poison_entry entries[POISON_MAX_ENTRIES];
};

enum poison_verdict
{
  POISON_CLEAR,
  POISON_SUSPECT, /* may be retried once, alone on its endpoint */
  POISON_WAIT,    /* its one allowed retry is running */
  POISON_REFUSE,
};

enum poison_verdict poison_check (const struct poison_table *poison,
                                  uint64_t fingerprint, int64_t now_ms);
uint32_t poison_record_crash (struct poison_table *poison,
                              uint64_t fingerprint, uint64_t endpoint,
                              uint32_t remote_crashes, int64_t now_ms);
void poison_set_retrying (struct poison_table *poison, uint64_t fingerprint,
                          bool is_retrying);
void poison_record_success (struct poison_table *poison, uint64_t fingerprint);
int64_t poison_until_ms (const struct poison_table *poison,
                         uint64_t fingerprint);

#endif
