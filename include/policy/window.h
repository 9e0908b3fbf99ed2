/* A customer's tokens in one part of the fleet, over a sliding window.

   In any window, no more tokens are given than the rate brings in that time
   and the burst.  Unlike with a token bucket they may all go at once.  */
#ifndef GALENA_POLICY_WINDOW_H
#define GALENA_POLICY_WINDOW_H

#include <stdint.h>

enum
{
  WINDOW_SLOTS = 64, /* the window is counted in so many steps, and one more */
};

/* Owned by its user. */
struct window
{
  int64_t length_ms;
  int64_t limit;      /* tokens in a window, in millionths */
  int64_t per_s;      /* of the limit, what the rate brings in a second */
  int64_t started_ms; /* what was given before is not known */
  int64_t slot;       /* the newest one, counted since time 0 */
  int64_t given[WINDOW_SLOTS + 1];
  int64_t total;
};

enum
{
  WINDOW_TOKEN = 1000000, /* millionths in a token */
};

void window_init (struct window *window, int64_t length_ms, int64_t now_ms);
void window_configure (struct window *window, int64_t limit, int64_t per_s,
                       int64_t now_ms);
void window_restart (struct window *window, int64_t now_ms);
int64_t window_left (struct window *window, int64_t now_ms);
void window_charge (struct window *window, int64_t tokens, int64_t now_ms);
int64_t window_take (struct window *window, int64_t tokens, int64_t now_ms);
int64_t window_wait_ms (struct window *window, int64_t now_ms);

#endif
