// In any interval of the window's length, at most the limit is granted,
// whatever the requests and their timing.  After a change of the holder, the
// grants of the previous one are not counted.
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

struct token_grant
{
  int64_t at_ms;
  int64_t tokens;
};

int64_t
max_per_interval (const std::vector<token_grant> &grants)
{
  int64_t most = 0;

  for (size_t i = 0; i < grants.size (); i++)
    {
      int64_t sum = 0;

      for (size_t j = i;
           j < grants.size () && grants[j].at_ms < grants[i].at_ms + LENGTH_MS;
           j++)
        sum += grants[j].tokens;
      most = sum > most ? sum : most;
    }
  return most;
}

}

bool
check_window ()
{
  return rc::check ("no interval exceeds the limit", [] {
    const int64_t rate = *rc::gen::inRange<int64_t> (1, 500);
    const int64_t burst = *rc::gen::inRange<int64_t> (0, 500);
    const int64_t limit = rate * LENGTH_MS / 1000 + burst;
    const int steps = *rc::gen::inRange (1, 200);
    std::vector<token_grant> grants;
    struct window window;
    int64_t now_ms = START_MS;

    window_init (&window, LENGTH_MS, now_ms - LENGTH_MS);
    window_configure (&window, limit * UTOKENS_PER_TOKEN,
                      rate * UTOKENS_PER_TOKEN, now_ms);
    for (int i = 0; i < steps; i++)
      {
        now_ms += *rc::gen::inRange<int64_t> (0, 900);
        if (*rc::gen::inRange (0, 40) == 0)
          {
            /* Another holder granted the whole limit just before. */
            window_init (&window, LENGTH_MS, now_ms);
            window_configure (&window, limit * UTOKENS_PER_TOKEN,
                              rate * UTOKENS_PER_TOKEN, now_ms);
            grants.clear ();
          }
        grants.push_back (
            { now_ms,
              window_take (&window, *rc::gen::inRange<int64_t> (0, 900),
                           now_ms) });
        RC_ASSERT (window_wait_ms (&window, now_ms) >= 0);
      }
    RC_ASSERT (max_per_interval (grants) <= limit);
  });
}
