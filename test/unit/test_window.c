#include "policy/window.h"
#include "suites.h"

enum
{
  LENGTH_MS = 5300,
  RATE = 40,
  LIMIT = 240,
};

static struct window
make_window (int64_t now_ms)
{
  struct window window;

  window_init (&window, LENGTH_MS, now_ms - LENGTH_MS);
  window_configure (&window, (int64_t)LIMIT * UTOKENS_PER_TOKEN,
                    (int64_t)RATE * UTOKENS_PER_TOKEN, now_ms);
  return window;
}

/* A customer that sends the requests of a whole window at once.  */
static void
test_whole_limit_at_once (void)
{
  struct window window = make_window (100000);

  CU_ASSERT_EQUAL (window_take (&window, LIMIT + 5, 100000), LIMIT);
  CU_ASSERT_EQUAL (window_take (&window, 1, 100000 + LENGTH_MS - 200), 0);
  CU_ASSERT_EQUAL (window_take (&window, LIMIT, 100000 + LENGTH_MS + 100),
                   LIMIT);
}

/* A customer that requests many times its rate.  */
static void
test_no_window_exceeds_limit (void)
{
  struct window window = make_window (100000);
  int64_t granted[40000] = { 0 };

  for (int ms = 0; ms < 40000; ms += 3)
    granted[ms] = window_take (&window, 2, 100000 + ms);
  for (int start = 0; start + LENGTH_MS < 40000; start += 50)
    {
      int64_t sum = 0;

      for (int ms = start; ms < start + LENGTH_MS; ms++)
        sum += granted[ms];
      CU_ASSERT (sum <= LIMIT);
    }
}

/* The previous holder may have used up the limit.  */
static void
test_restart_grants_at_rate (void)
{
  struct window window = make_window (100000);
  int64_t taken = 0;

  window_restart (&window, 100000);
  CU_ASSERT_EQUAL (window_take (&window, 10, 100000), 0);
  for (int ms = 0; ms <= 1000; ms += 10)
    taken += window_take (&window, 10, 100000 + ms);
  CU_ASSERT_EQUAL (taken, RATE);
}

static void
test_token_available_after_wait (void)
{
  struct window window = make_window (100000);
  int64_t wait_ms;

  CU_ASSERT_EQUAL (window_wait_ms (&window, 100000), 0);
  window_take (&window, LIMIT, 100000);
  wait_ms = window_wait_ms (&window, 100500);
  CU_ASSERT (wait_ms > 0 && wait_ms <= LENGTH_MS);
  CU_ASSERT (window_take (&window, 1, 100500 + wait_ms) == 1);
}

static void
test_lower_limit_applies_at_once (void)
{
  struct window window = make_window (100000);

  window_take (&window, 100, 100000);
  window_configure (&window, (int64_t)60 * UTOKENS_PER_TOKEN,
                    (int64_t)10 * UTOKENS_PER_TOKEN, 100001);
  CU_ASSERT_EQUAL (window_take (&window, 1, 100002), 0);
}

/* Guards against a write before the window's ring: a grant of another host may
   be older than the clock of this one.  */
static void
test_grants_before_the_clock (void)
{
  struct
  {
    int64_t before[WINDOW_STEPS + 1];
    struct window window;
  } memory = { { 0 } };
  struct window *window = &memory.window;
  int64_t now_ms = LENGTH_MS / 10;

  window_init (window, LENGTH_MS, now_ms);
  window_configure (window, (int64_t)LIMIT * UTOKENS_PER_TOKEN,
                    (int64_t)RATE * UTOKENS_PER_TOKEN, now_ms);
  for (int64_t age_ms = 0; age_ms < LENGTH_MS; age_ms += LENGTH_MS / 10)
    window_charge_before (window, 1, age_ms, now_ms);
  window_set_known (window, LENGTH_MS, now_ms);
  for (int i = 0; i <= WINDOW_STEPS; i++)
    CU_ASSERT_EQUAL (memory.before[i], 0);
  CU_ASSERT_EQUAL (window->length_ms, LENGTH_MS);
  CU_ASSERT_EQUAL (window_available (window, now_ms),
                   (int64_t)(LIMIT - 10) * UTOKENS_PER_TOKEN);
  /* Each leaves the window once it is as old as the window is long. */
  CU_ASSERT_EQUAL (window_available (window, now_ms + LENGTH_MS * 55 / 100),
                   (int64_t)(LIMIT - 5) * UTOKENS_PER_TOKEN);
  CU_ASSERT_EQUAL (window_available (window, now_ms + 2 * LENGTH_MS),
                   (int64_t)LIMIT * UTOKENS_PER_TOKEN);
}

CU_TestInfo window_tests[] = {
  { "the whole limit may be used at once", test_whole_limit_at_once },
  { "no window exceeds the limit", test_no_window_exceeds_limit },
  { "after a restart tokens accrue at the rate", test_restart_grants_at_rate },
  { "a token is available after the wait", test_token_available_after_wait },
  { "a lower limit applies at once", test_lower_limit_applies_at_once },
  { "grants before the clock", test_grants_before_the_clock },
  CU_TEST_INFO_NULL,
};
