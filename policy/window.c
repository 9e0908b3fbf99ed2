#include "policy/window.h"
#include <glib.h>
#include <string.h>

enum
{
  MS_PER_S = 1000,
};

static int64_t
step_ms (const struct window *window)
{
  return (window->length_ms + WINDOW_STEPS - 1) / WINDOW_STEPS;
}

/* Returns the step that AT_MS, which may be negative, lies in.  */
static int64_t
step_at (const struct window *window, int64_t at_ms)
{
  int64_t length_ms = step_ms (window);

  return (at_ms - (at_ms < 0 ? length_ms - 1 : 0)) / length_ms;
}

/* Returns where the grants of STEP are counted.  */
static int64_t *
granted_in (struct window *window, int64_t step)
{
  int64_t slots = WINDOW_STEPS + 1;

  return &window->granted_utokens[(step % slots + slots) % slots];
}

/* Initializes a window with a limit of 0.  */
void
window_init (struct window *window, int64_t length_ms, int64_t now_ms)
{
  memset (window, 0, sizeof *window);
  window->length_ms = length_ms;
  window->step = now_ms / step_ms (window);
  window->started_ms = now_ms;
}

/* Drops the steps that have left the window.  A step leaves as a whole, once
   its last millisecond has.  */
static void
advance (struct window *window, int64_t now_ms)
{
  int64_t step = now_ms / step_ms (window);

  if (step - window->step > WINDOW_STEPS)
    {
      memset (window->granted_utokens, 0, sizeof window->granted_utokens);
      window->total_utokens = 0;
      window->step = step;
    }
  while (window->step < step)
    {
      int64_t *next;

      window->step++;
      next = granted_in (window, window->step);
      window->total_utokens -= *next;
      *next = 0;
    }
}

/* Sets the limit, in millionths of a token per window, and the rate, in
   millionths of a token per second.  */
void
window_configure (struct window *window, int64_t limit_utokens,
                  int64_t rate_utokens_per_s, int64_t now_ms)
{
  advance (window, now_ms);
  window->limit_utokens = limit_utokens;
  window->rate_utokens_per_s = rate_utokens_per_s;
}

/* Restarts the window when this host takes the limit over from another holder,
   which may have granted the whole limit up to now.  For the length of one
   window, only what accrues at the rate from now on is granted.  */
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
  int64_t limit_utokens = window->limit_utokens;

  advance (window, now_ms);
  if (age_ms < window->length_ms)
    {
      int64_t accrued = window->rate_utokens_per_s * age_ms / MS_PER_S;

      limit_utokens = accrued < limit_utokens ? accrued : limit_utokens;
    }
  return limit_utokens > window->total_utokens
             ? limit_utokens - window->total_utokens
             : 0;
}

/* Records a grant of TOKENS whole tokens that was made AGE_MS ago, even if it
   exceeds the limit, unless it has left the window.  */
void
window_charge_before (struct window *window, int64_t tokens, int64_t age_ms,
                      int64_t now_ms)
{
  int64_t step = step_at (window, now_ms - age_ms);

  advance (window, now_ms);
  if (window->step - step > WINDOW_STEPS)
    return;
  *granted_in (window, step) += tokens * UTOKENS_PER_TOKEN;
  window->total_utokens += tokens * UTOKENS_PER_TOKEN;
}

/* Records a grant of TOKENS whole tokens, even if it exceeds the limit.  */
void
window_charge (struct window *window, int64_t tokens, int64_t now_ms)
{
  window_charge_before (window, tokens, 0, now_ms);
}

/* States that all grants of the last KNOWN_MS are recorded.  */
void
window_set_known (struct window *window, int64_t known_ms, int64_t now_ms)
{
  window->started_ms = MIN (window->started_ms, now_ms - known_ms);
}

/* Returns the whole tokens, rounded up, that were granted in the step INDEX of
   the window, 0 to WINDOW_STEPS, and sets *AGE_MS to the least age of these
   grants.  */
int64_t
window_grants (struct window *window, int64_t index, int64_t now_ms,
               int64_t *age_ms)
{
  int64_t step;

  advance (window, now_ms);
  step = window->step - index;
  *age_ms = MAX (now_ms - (step + 1) * step_ms (window), 0);
  return (*granted_in (window, step) + UTOKENS_PER_TOKEN - 1)
         / UTOKENS_PER_TOKEN;
}

/* Grants up to TOKENS whole tokens.  Returns the number granted.  */
int64_t
window_take (struct window *window, int64_t tokens, int64_t now_ms)
{
  int64_t left = window_available (window, now_ms) / UTOKENS_PER_TOKEN;
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

  if (left >= UTOKENS_PER_TOKEN)
    return 0;
  for (int64_t i = 1; i <= WINDOW_STEPS; i++)
    {
      int64_t step = window->step + i;

      left += *granted_in (window, step);
      if (left >= UTOKENS_PER_TOKEN)
        return step * step_ms (window) - now_ms;
    }
  return window->length_ms;
}
