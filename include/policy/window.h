/* Sliding window rate limiter for a customer's tokens in one part of the
   fleet.  The window advances in WINDOW_STEPS steps.

   In any window, at most the burst plus the window's share of the rate is
   granted.  Unlike with a token bucket, the whole limit may be used at once.
 */
#ifndef GALENA_POLICY_WINDOW_H
#define GALENA_POLICY_WINDOW_H

#include "policy/utokens.h"
#include <stdint.h>

enum
{
  WINDOW_STEPS = 64, /* per window */
};

/* Owned by the caller. */
struct window
{
  int64_t length_ms;
  int64_t limit_utokens;      /* per window, in millionths of a token */
  int64_t rate_utokens_per_s; /* rate, in millionths of a token per second */
  int64_t started_ms;         /* grants before this time are unknown */
  int64_t step;               /* current step, counted from time 0 */
  /* Ring of the grants of each step; one more than fit into the window, as the
     oldest step is still partly in it. */
  int64_t granted_utokens[WINDOW_STEPS + 1];
  int64_t total_utokens; /* sum of granted_utokens */
};

void window_init (struct window *window, int64_t length_ms, int64_t now_ms);
void window_configure (struct window *window, int64_t limit_utokens,
                       int64_t rate_utokens_per_s, int64_t now_ms);
void window_restart (struct window *window, int64_t now_ms);
int64_t window_available (struct window *window, int64_t now_ms);
void window_charge (struct window *window, int64_t tokens, int64_t now_ms);
void window_charge_before (struct window *window, int64_t tokens,
                           int64_t age_ms, int64_t now_ms);
void window_set_known (struct window *window, int64_t known_ms,
                       int64_t now_ms);
int64_t window_grants (struct window *window, int64_t index, int64_t now_ms,
                       int64_t *age_ms);
int64_t window_take (struct window *window, int64_t tokens, int64_t now_ms);
int64_t window_wait_ms (struct window *window, int64_t now_ms);

#endif
