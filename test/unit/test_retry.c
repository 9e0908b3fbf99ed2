#include "policy/retry.h"
#include "suites.h"

static void
test_budget_is_exhausted_and_earned (void)
{
  struct retry_budget budget;

  retry_budget_init (&budget);
  for (int i = 0; i < RETRY_INITIAL_CREDIT; i++)
    CU_ASSERT_TRUE (retry_budget_withdraw (&budget));
  CU_ASSERT_FALSE (retry_budget_withdraw (&budget));
  for (int i = 0; i < 100 / RETRY_PERCENT; i++)
    retry_budget_deposit (&budget);
  CU_ASSERT_TRUE (retry_budget_withdraw (&budget));
  CU_ASSERT_FALSE (retry_budget_withdraw (&budget));
}

static void
test_backoff_is_bounded (void)
{
  uint64_t seed = 42;

  for (uint32_t attempt = 1; attempt < 40; attempt++)
    {
      int64_t wait = retry_backoff_ms (attempt, &seed);

      CU_ASSERT_TRUE (wait >= 1 && wait <= RETRY_MAX_BACKOFF_MS);
    }
}

static void
test_refused_after_second_crash (void)
{
  static struct poison_table poison;

  CU_ASSERT_EQUAL (poison_check (&poison, 9, 0), POISON_CLEAR);
  CU_ASSERT_EQUAL (poison_record_crash (&poison, 9, 101, 0, 0), 1);
  CU_ASSERT_EQUAL (poison_check (&poison, 9, 1), POISON_SUSPECT);
  poison_set_retrying (&poison, 9, true);
  CU_ASSERT_EQUAL (poison_check (&poison, 9, 2), POISON_WAIT);
  CU_ASSERT_EQUAL (poison_record_crash (&poison, 9, 102, 0, 3), 2);
  CU_ASSERT_EQUAL (poison_check (&poison, 9, 4), POISON_REFUSE);
  CU_ASSERT_EQUAL (poison_check (&poison, 9, 4 + POISON_REFUSE_MS),
                   POISON_CLEAR);
}

static void
test_remote_crashes_count (void)
{
  static struct poison_table poison;

  poison_record_crash (&poison, 9, 100, 1, 0);
  CU_ASSERT_EQUAL (poison_record_crash (&poison, 9, 101, 0, 1), 2);
  poison_record_crash (&poison, 5, 100, 2, 0);
  CU_ASSERT_EQUAL (poison_record_crash (&poison, 5, 100, 0, 0), 2);
  CU_ASSERT_EQUAL (poison_check (&poison, 5, 1), POISON_REFUSE);
}

static void
test_same_crash_counts_once (void)
{
  static struct poison_table poison;

  poison_record_crash (&poison, 9, 101, 0, 0);
  CU_ASSERT_EQUAL (poison_record_crash (&poison, 9, 101, 0, 1), 1);
  CU_ASSERT_EQUAL (poison_check (&poison, 9, 2), POISON_SUSPECT);
  CU_ASSERT_EQUAL (
      poison_record_crash (&poison, 9, 101, 0, 1 + POISON_SAME_CRASH_MS), 2);
}

static void
test_success_clears_request (void)
{
  static struct poison_table poison;

  poison_record_crash (&poison, 9, 101, 0, 0);
  poison_record_success (&poison, 9);
  CU_ASSERT_EQUAL (poison_check (&poison, 9, 1), POISON_CLEAR);
  CU_ASSERT_EQUAL (poison_record_crash (&poison, 9, 102, 0, 2), 1);
}

CU_TestInfo retry_tests[]
    = { { "a budget is exhausted and earned again",
          test_budget_is_exhausted_and_earned },
        { "the back-off is bounded", test_backoff_is_bounded },
        { "a request is refused after its second crash",
          test_refused_after_second_crash },
        { "crashes seen by other hosts count", test_remote_crashes_count },
        { "the same crash counts once", test_same_crash_counts_once },
        { "a request that succeeds is cleared", test_success_clears_request },
        CU_TEST_INFO_NULL };
