#include "policy/window.h"
#include <string.h>

enum
{
  MS_PER_S = 1000,
};

static int64_t
slot_ms (const struct window *window)
{
  return (window->length_ms + WINDOW_SLOTS - 1) / WINDOW_SLOTS;
}

/* Initializes a window with a limit of 0.  */
void
window_init (struct window *window, int64_t length_ms, int64_t now_ms)
{
  memset (window, 0, sizeof *window);
  window->length_ms = length_ms;
  window->slot = now_ms / slot_ms (window);
  window->started_ms = now_ms;
}

/* Drops the slots that have left the window.  A slot leaves as a whole, once
   its last millisecond has.  */
static void
advance (struct window *window, int64_t now_ms)
{
  int64_t slot = now_ms / slot_ms (window);

  if (slot - window->slot > WINDOW_SLOTS)
    {
      memset (window->granted, 0, sizeof window->granted);
      window->total = 0;
      window->slot = slot;
    }
  while (window->slot < slot)
    {
      int64_t *next;

      window->slot++;
      next = &window->granted[window->slot % (WINDOW_SLOTS + 1)];
      window->total -= *next;
      *next = 0;
    }
}

/* Sets the limit and rate, in millionths of a token per window and per second.
 */
void
window_configure (struct window *window, int64_t limit, int64_t per_s,
                  int64_t now_ms)
{
  advance (window, now_ms);
  window->limit = limit;
  window->per_s = per_s;
}

/* Restarts the window, because another holder may have granted the whole limit
   up to now.  For the length of one window, only what accrues at the rate from
   now on is granted.  */
void
window_restart (struct window *window, int64_t now_ms)
{
  advance (window, now_ms);
  window->started_ms = now_ms;
}

/* Returns the millionths of a token that can be granted now.  */
int64_t
window_available (struct window *window, int64_t now_ms)
{
  int64_t age_ms = now_ms - window->started_ms;
  int64_t limit = window->limit;

  advance (window, now_ms);
  if (age_ms < window->length_ms)
    {
      int64_t accrued = window->per_s * age_ms / MS_PER_S;

      limit = accrued < limit ? accrued : limit;
    }
  return limit > window->total ? limit - window->total : 0;
}

/* Records a grant of TOKENS whole tokens, even if it exceeds the limit.  */
void
window_charge (struct window *window, int64_t tokens, int64_t now_ms)
{
  advance (window, now_ms);
  window->granted[window->slot % (WINDOW_SLOTS + 1)]
      += tokens * WINDOW_UTOKENS_PER_TOKEN;
  window->total += tokens * WINDOW_UTOKENS_PER_TOKEN;
}

/* Grants up to TOKENS whole tokens.  Returns the number granted.  */
int64_t
window_take (struct window *window, int64_t tokens, int64_t now_ms)
{
  int64_t left = window_available (window, now_ms) / WINDOW_UTOKENS_PER_TOKEN;
  int64_t taken = left < tokens ? left : tokens;

  window_charge (window, taken, now_ms);
  return taken;
}

/* Returns the time until a token is available if none is taken meanwhile, or
   the length of the window if that cannot be determined.  */
int64_t
window_wait_ms (struct window *window, int64_t now_ms)
{
  int64_t left = window_available (window, now_ms);

  if (left >= WINDOW_UTOKENS_PER_TOKEN)
    return 0;
  for (int64_t i = 1; i <= WINDOW_SLOTS; i++)
    {
      int64_t slot = window->slot + i;

      left += window->granted[slot % (WINDOW_SLOTS + 1)];
      if (left >= WINDOW_UTOKENS_PER_TOKEN)
        return slot * slot_ms (window) - now_ms;
    }
  return window->length_ms;
}
