/* The configured endpoints and the state that this host has observed for
   each. */
#ifndef GALENA_ENDPOINT_ENDPOINT_H
#define GALENA_ENDPOINT_ENDPOINT_H

#include "common/fetch.h"
#include "config/config.h"
#include "policy/retry.h"
#include <jansson.h>

enum
{
  ENDPOINT_AFFINITY_SLOTS = 1024,
};

/* A program whose prompt an engine is expected to have in its cache. */
struct endpoint_affinity
{
  uint64_t program; /* hash of the program id */
  int64_t tokens;   /* length of the cached prompt */
};

/* Owned by the endpoint table.  An endpoint removed from the configuration is
   kept while calls to it are in flight. */
struct endpoint
{
  char *name;
  enum endpoint_kind kind;
  char *url;
  char *credential;
  char *route;
  struct strings models;
  int64_t slots; /* calls that it can run at once */
  bool checks_fencing;
  bool leaving;               /* the configuration says to send no new calls */
  bool configured;            /* in the current configuration */
  int64_t in_flight;          /* calls from this host */
  int64_t isolated_in_flight; /* retries of requests suspected of crashing
                                 endpoints; at most one at a time */
  int64_t reported_busy; /* running and waiting calls of all hosts, as last
                            reported by the endpoint */
  bool reports_leaving;  /* its load report says to send no new calls */
  int64_t call_ms;       /* moving average of call durations */
  uint32_t consecutive_failures; /* since the last success or ejection */
  uint32_t ejections;            /* since the last success */
  int64_t ejected_until_ms;
  int64_t last_response_ms; /* time of the last response of any kind */
  int64_t last_crash_ms;
  struct fetch *load_fetch; /* pending load request; NULL for none */
  struct retry_budget retries;
  /* Direct-mapped by program hash. */
  struct endpoint_affinity affinity[ENDPOINT_AFFINITY_SLOTS];
  struct endpoint *next;
};

struct endpoint_table
{
  struct endpoint *first;
};

void endpoint_table_apply (struct endpoint_table *table,
                           const struct config *config);
void endpoint_table_release (struct endpoint_table *table);
bool endpoint_is_eligible (const struct endpoint *endpoint, int64_t now_ms);
bool endpoint_serves_model (const struct endpoint *endpoint,
                            const char *model);
void endpoint_record_success (struct endpoint *endpoint, int64_t duration_ms);
bool endpoint_record_crash (struct endpoint *endpoint, int64_t now_ms);
void endpoint_record_failure (struct endpoint *endpoint, int64_t now_ms);
int64_t endpoint_cached_tokens (const struct endpoint *endpoint,
                                uint64_t program);
void endpoint_record_cached_tokens (struct endpoint *endpoint,
                                    uint64_t program, int64_t tokens);
json_t *endpoint_table_to_json (const struct endpoint_table *table,
                                int64_t now_ms);

#endif
