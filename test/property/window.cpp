// In any span of the window's length no more tokens are given than the limit,
// whatever is asked for, when, and however the part changes hands.
#include "properties.h"
#include <rapidcheck.h>
#include <vector>
extern "C"
{
#include "policy/window.h"
}

namespace
{

constexpr int64_t LENGTH_MS = 5300;
constexpr int64_t START_MS = 1000000;

struct gift
{
  int64_t at_ms;
  int64_t tokens;
};

int64_t
most_in_a_span (const std::vector<gift> &gifts)
{
  int64_t most = 0;

  for (size_t i = 0; i < gifts.size (); i++)
    {
      int64_t sum = 0;

      for (size_t j = i;
           j < gifts.size () && gifts[j].at_ms < gifts[i].at_ms + LENGTH_MS;
           j++)
        sum += gifts[j].tokens;
      most = sum > most ? sum : most;
    }
  return most;
}

}

bool
check_window ()
{
  return rc::check ("no span holds more than the limit", [] {
    const int64_t rate = *rc::gen::inRange<int64_t> (1, 500);
    const int64_t burst = *rc::gen::inRange<int64_t> (0, 500);
    const int64_t limit = rate * LENGTH_MS / 1000 + burst;
    const int steps = *rc::gen::inRange (1, 200);
    std::vector<gift> gifts;
    struct window window;
    int64_t now_ms = START_MS;

    window_init (&window, LENGTH_MS, now_ms - LENGTH_MS);
    window_configure (&window, limit * WINDOW_TOKEN, rate * WINDOW_TOKEN,
                      now_ms);
    for (int i = 0; i < steps; i++)
      {
        now_ms += *rc::gen::inRange<int64_t> (0, 900);
        if (*rc::gen::inRange (0, 40) == 0)
          {
            /* Another holder gave all of it just before. */
            window_init (&window, LENGTH_MS, now_ms);
            window_configure (&window, limit * WINDOW_TOKEN,
                              rate * WINDOW_TOKEN, now_ms);
            gifts.clear ();
          }
        gifts.push_back (
            { now_ms,
              window_take (&window, *rc::gen::inRange<int64_t> (0, 900),
                           now_ms) });
        RC_ASSERT (window_wait_ms (&window, now_ms) >= 0);
      }
    RC_ASSERT (most_in_a_span (gifts) <= limit);
  });
}
