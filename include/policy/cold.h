/* Endpoints that are cold: for some seconds after a start they are slow and
   tolerate few requests a second from all hosts together.

   The registry tells for how long an endpoint is still cold.  Each entry has a
   revision, so hosts that hear of the same entry at different times agree on
   the earliest end that one of them knows, which is never before the real one.
 */
#ifndef GALENA_POLICY_COLD_H
#define GALENA_POLICY_COLD_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  COLD_MAX_MS = 60000, /* longer times in an entry count as this */
  /* After an evacuation of a data centre ends, its endpoints get their share
     of the requests back within this time.  They are cold for 3 s after a
     start, and may have started shortly before the end. */
  COLD_RETURN_MS = 5000,
};

/* What is known of an endpoint's cold time.  All zeros: nothing. */
struct cold_state
{
  int64_t revision;   /* of the registry entry that tells it */
  uint64_t id_hash;   /* of the endpoint */
  int64_t started_ms; /* when its process started, Unix time */
  int64_t until_ms;   /* is cold before this time */
  int64_t rate_milli; /* requests per 1,000 s tolerated while cold; 0: any */
};

/* What all hosts together may send in one second: the tolerated requests times
   OVERRUN_MILLI / 1000, and SLACK_MILLI / 1000. */
struct cold_bound
{
  int64_t overrun_milli; /* 0: any number */
  int64_t slack_milli;
};

/* How an endpoint's two holders permit requests while it is cold. */
struct cold_rates
{
  int64_t primary_milli; /* requests per 1,000 s */
  int64_t primary_burst_utokens;
  int64_t spare_milli;
  int64_t spare_burst_utokens;
};

bool cold_is_active (const struct cold_state *state, int64_t now_ms);
bool cold_is_news (const struct cold_state *state,
                   const struct cold_state *heard);
bool cold_merge (struct cold_state *state, const struct cold_state *heard);
struct cold_rates cold_divide (int64_t rate_milli,
                               const struct cold_bound *bound);
int64_t cold_return_percent (int64_t since_ms);

#endif
