#include "policy/window.h"
#include "suites.h"

enum
{
  LENGTH_MS = 5300,
  RATE = 40,
  LIMIT = 240,
};

static struct window
open_window (int64_t now_ms)
{
  struct window window;

  window_init (&window, LENGTH_MS, now_ms - LENGTH_MS);
  window_configure (&window, (int64_t)LIMIT * WINDOW_TOKEN,
                    (int64_t)RATE * WINDOW_TOKEN, now_ms);
  return window;
}

/* A customer within its rate that sends everything at once.  */
static void
test_all_may_go_at_once (void)
{
  struct window window = open_window (100000);

  CU_ASSERT_EQUAL (window_take (&window, LIMIT + 5, 100000), LIMIT);
  CU_ASSERT_EQUAL (window_take (&window, 1, 100000 + LENGTH_MS - 200), 0);
  CU_ASSERT_EQUAL (window_take (&window, LIMIT, 100000 + LENGTH_MS + 100),
                   LIMIT);
}

/* A customer with many times its rate.  */
static void
test_no_window_holds_more (void)
{
  struct window window = open_window (100000);
  int64_t given[40000] = { 0 };

  for (int ms = 0; ms < 40000; ms += 3)
    given[ms] = window_take (&window, 2, 100000 + ms);
  for (int start = 0; start + LENGTH_MS < 40000; start += 50)
    {
      int64_t sum = 0;

      for (int ms = start; ms < start + LENGTH_MS; ms++)
        sum += given[ms];
      CU_ASSERT (sum <= LIMIT);
    }
}

/* The part comes from a host that may have used it up.  */
static void
test_restart_gives_what_the_rate_brings (void)
{
  struct window window = open_window (100000);
  int64_t taken = 0;

  window_restart (&window, 100000);
  CU_ASSERT_EQUAL (window_take (&window, 10, 100000), 0);
  for (int ms = 0; ms <= 1000; ms += 10)
    taken += window_take (&window, 10, 100000 + ms);
  CU_ASSERT_EQUAL (taken, RATE);
}

static void
test_wait_ends_with_a_token (void)
{
  struct window window = open_window (100000);
  int64_t wait_ms;

  CU_ASSERT_EQUAL (window_wait_ms (&window, 100000), 0);
  window_take (&window, LIMIT, 100000);
  wait_ms = window_wait_ms (&window, 100500);
  CU_ASSERT (wait_ms > 0 && wait_ms <= LENGTH_MS);
  CU_ASSERT (window_take (&window, 1, 100500 + wait_ms) == 1);
}

static void
test_lower_limit_holds_at_once (void)
{
  struct window window = open_window (100000);

  window_take (&window, 100, 100000);
  window_configure (&window, (int64_t)60 * WINDOW_TOKEN,
                    (int64_t)10 * WINDOW_TOKEN, 100001);
  CU_ASSERT_EQUAL (window_take (&window, 1, 100002), 0);
}

CU_TestInfo window_tests[] = {
  { "all tokens may go at once", test_all_may_go_at_once },
  { "no window holds more", test_no_window_holds_more },
  { "a restart gives what the rate brings",
    test_restart_gives_what_the_rate_brings },
  { "the wait ends with a token", test_wait_ends_with_a_token },
  { "a lower limit holds at once", test_lower_limit_holds_at_once },
  CU_TEST_INFO_NULL,
};
