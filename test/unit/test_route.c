#include "policy/route.h"
#include "suites.h"

static const struct route_options options
    = { .prompt_tokens = 1000, .prefill_us_per_token = 100, .avoid = -1 };

static struct route_engine
engine_with (int64_t busy, int64_t cached)
{
  return (struct route_engine){ .eligible = true,
                                .slots = 4,
                                .window = 4,
                                .reported_busy = busy,
                                .cached_tokens = cached,
                                .call_ms = 200 };
}

static void
test_cached_prompt_outweighs_small_load (void)
{
  struct route_engine engines[] = { engine_with (0, 0), engine_with (2, 900) };
  uint64_t seed = 1;

  for (int i = 0; i < 50; i++)
    CU_ASSERT_EQUAL (route_pick (engines, 2, &options, &seed), 1);
}

static void
test_long_queue_outweighs_cached_prompt (void)
{
  struct route_engine engines[]
      = { engine_with (0, 0), engine_with (30, 900) };
  uint64_t seed = 1;
  int picked = 0;

  for (int i = 0; i < 50; i++)
    picked += route_pick (engines, 2, &options, &seed) == 0;
  /* The random choices may miss the other engine in some rounds.  */
  CU_ASSERT_TRUE (picked > 30);
}

static void
test_full_and_leaving_engines_are_skipped (void)
{
  struct route_engine engines[] = { engine_with (0, 900), engine_with (0, 0) };
  uint64_t seed = 1;

  engines[0].eligible = false;
  engines[1].own_in_flight = 4;
  CU_ASSERT_EQUAL (route_pick (engines, 2, &options, &seed), -1);
  engines[1].own_in_flight = 3;
  CU_ASSERT_EQUAL (route_pick (engines, 2, &options, &seed), 1);
}

static void
test_failed_engine_is_last_choice (void)
{
  struct route_engine engines[] = { engine_with (0, 900), engine_with (9, 0) };
  struct route_options retry = options;
  uint64_t seed = 1;

  retry.avoid = 0;
  CU_ASSERT_EQUAL (route_pick (engines, 2, &retry, &seed), 1);
  engines[1].eligible = false;
  CU_ASSERT_EQUAL (route_pick (engines, 2, &retry, &seed), 0);
}

CU_TestInfo route_tests[] = { { "a cached prompt outweighs a small load",
                                test_cached_prompt_outweighs_small_load },
                              { "a long queue outweighs a cached prompt",
                                test_long_queue_outweighs_cached_prompt },
                              { "full and leaving engines are skipped",
                                test_full_and_leaving_engines_are_skipped },
                              { "an engine that failed is the last choice",
                                test_failed_engine_is_last_choice },
                              CU_TEST_INFO_NULL };
