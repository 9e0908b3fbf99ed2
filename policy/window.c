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

/* Prepares a window without tokens.  */
void
window_init (struct window *window, int64_t length_ms, int64_t now_ms)
{
  memset (window, 0, sizeof *window);
  window->length_ms = length_ms;
  window->slot = now_ms / slot_ms (window);
  window->started_ms = now_ms;
}

/* Forgets the slots that have left the window.  A slot leaves it as a whole,
   once its last moment has.  */
static void
advance (struct window *window, int64_t now_ms)
{
  int64_t slot = now_ms / slot_ms (window);

  if (slot - window->slot > WINDOW_SLOTS)
    {
      memset (window->given, 0, sizeof window->given);
      window->total = 0;
      window->slot = slot;
    }
  while (window->slot < slot)
    {
      int64_t *next;

      window->slot++;
      next = &window->given[window->slot % (WINDOW_SLOTS + 1)];
      window->total -= *next;
      *next = 0;
    }
}

/* Changes how many millionths of tokens may be given in a window, of which the
   rate brings PER_S a second.  */
void
window_configure (struct window *window, int64_t limit, int64_t per_s,
                  int64_t now_ms)
{
  advance (window, now_ms);
  window->limit = limit;
  window->per_s = per_s;
}

/* Another holder may have given everything until now: for one window, only
   what the rate brings from now on is given.  */
void
window_restart (struct window *window, int64_t now_ms)
{
  advance (window, now_ms);
  window->started_ms = now_ms;
}

/* Returns how many millionths may be given now.  */
int64_t
window_left (struct window *window, int64_t now_ms)
{
  int64_t age_ms = now_ms - window->started_ms;
  int64_t limit = window->limit;

  advance (window, now_ms);
  if (age_ms < window->length_ms)
    {
      int64_t brought = window->per_s * age_ms / MS_PER_S;

      limit = brought < limit ? brought : limit;
    }
  return limit > window->total ? limit - window->total : 0;
}

/* Counts TOKENS whole tokens as given, also where they are not left.  */
void
window_charge (struct window *window, int64_t tokens, int64_t now_ms)
{
  advance (window, now_ms);
  window->given[window->slot % (WINDOW_SLOTS + 1)] += tokens * WINDOW_TOKEN;
  window->total += tokens * WINDOW_TOKEN;
}

/* Gives up to TOKENS whole tokens.  Returns how many.  */
int64_t
window_take (struct window *window, int64_t tokens, int64_t now_ms)
{
  int64_t left = window_left (window, now_ms) / WINDOW_TOKEN;
  int64_t taken = left < tokens ? left : tokens;

  window_charge (window, taken, now_ms);
  return taken;
}

/* Returns after how long a token will be left, if none is taken meanwhile; the
   window's length where that cannot be told.  */
int64_t
window_wait_ms (struct window *window, int64_t now_ms)
{
  int64_t left = window_left (window, now_ms);

  if (left >= WINDOW_TOKEN)
    return 0;
  for (int64_t i = 1; i <= WINDOW_SLOTS; i++)
    {
      int64_t slot = window->slot + i;

      left += window->given[slot % (WINDOW_SLOTS + 1)];
      if (left >= WINDOW_TOKEN)
        return slot * slot_ms (window) - now_ms;
    }
  return window->length_ms;
}
