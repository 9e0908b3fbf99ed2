#include "policy/limit.h"
#include "suites.h"

enum
{
  TOKEN = LIMIT_UTOKENS,
};

static struct limit
bucket_of (int64_t rate_tokens, int64_t capacity_tokens)
{
  struct limit limit;

  limit_init (&limit, 0);
  limit_configure (&limit, rate_tokens * TOKEN, capacity_tokens * TOKEN, 0, 0);
  return limit;
}

static void
test_starts_empty_and_fills (void)
{
  struct limit limit = bucket_of (10, 5);

  CU_ASSERT_FALSE (limit_take (&limit, TOKEN, 0));
  CU_ASSERT_FALSE (limit_take (&limit, TOKEN, 99));
  CU_ASSERT_TRUE (limit_take (&limit, TOKEN, 100));
  for (int i = 0; i < 5; i++)
    CU_ASSERT_TRUE (limit_take (&limit, TOKEN, 100000));
  CU_ASSERT_FALSE (limit_take (&limit, TOKEN, 100000));
}

static void
test_loan_stays_under_capacity (void)
{
  struct limit limit = bucket_of (10, 5);

  CU_ASSERT_EQUAL (limit_lend (&limit, 1, 3 * TOKEN, 10000), 3 * TOKEN);
  /* Two are left, and no refill while three are out.  */
  CU_ASSERT_TRUE (limit_take (&limit, 2 * TOKEN, 10500));
  CU_ASSERT_EQUAL (limit.level_utokens + limit.lent_utokens, 3 * TOKEN);
  CU_ASSERT_FALSE (limit_take (&limit, 3 * TOKEN, 12000));
  CU_ASSERT_TRUE (limit_take (&limit, 2 * TOKEN, 12000));
}

static void
test_repeated_question_gets_the_same_loan (void)
{
  struct limit limit = bucket_of (1, 5);

  CU_ASSERT_EQUAL (limit_lend (&limit, 7, 2 * TOKEN, 10000), 2 * TOKEN);
  CU_ASSERT_EQUAL (limit_lend (&limit, 7, 2 * TOKEN, 10001), 2 * TOKEN);
  CU_ASSERT_EQUAL (limit.lent_utokens, 2 * TOKEN);
}

static void
test_confirm_returns_what_was_not_used (void)
{
  struct limit limit = bucket_of (1, 5);

  limit_lend (&limit, 7, 4 * TOKEN, 10000);
  limit_confirm (&limit, 7, 3 * TOKEN, 10000);
  CU_ASSERT_EQUAL (limit.lent_utokens, 0);
  CU_ASSERT_EQUAL (limit.level_utokens, 4 * TOKEN);
  limit_confirm (&limit, 7, 3 * TOKEN, 10000);
  CU_ASSERT_EQUAL (limit.level_utokens, 4 * TOKEN);
}

static void
test_lapsed_loan_counts_as_spent (void)
{
  struct limit limit = bucket_of (1, 5);

  limit_lend (&limit, 7, 4 * TOKEN, 10000);
  limit_take (&limit, TOKEN, 10000);
  limit_confirm (&limit, 7, 4 * TOKEN, 10000 + LIMIT_LOAN_LAPSE_MS);
  CU_ASSERT_EQUAL (limit.lent_utokens, 0);
  CU_ASSERT_TRUE (limit.level_utokens < 4 * TOKEN);
}

static void
test_falls_now_and_rises_later (void)
{
  struct limit limit = bucket_of (10, 10);

  limit_take (&limit, 0, 100000);
  limit_configure (&limit, 20 * TOKEN, 4 * TOKEN, 1000, 100000);
  CU_ASSERT_EQUAL (limit.capacity_utokens, 4 * TOKEN);
  CU_ASSERT_EQUAL (limit.rate_utokens_per_s, 10 * TOKEN);
  CU_ASSERT_EQUAL (limit.level_utokens, 4 * TOKEN);
  limit_take (&limit, 0, 101000);
  CU_ASSERT_EQUAL (limit.rate_utokens_per_s, 20 * TOKEN);
}

static void
test_wait_is_told (void)
{
  struct limit limit = bucket_of (10, 5);

  limit_take (&limit, 0, 0);
  CU_ASSERT_EQUAL (limit_wait_ms (&limit, TOKEN, 0), 101);
  CU_ASSERT_EQUAL (limit_wait_ms (&limit, 6 * TOKEN, 0), -1);
  CU_ASSERT_EQUAL (limit_wait_ms (&limit, TOKEN, 100), 0);
}

CU_TestInfo limit_tests[]
    = { { "starts empty and fills", test_starts_empty_and_fills },
        { "a loan stays under the capacity", test_loan_stays_under_capacity },
        { "a repeated question gets the same loan",
          test_repeated_question_gets_the_same_loan },
        { "a confirmation returns what was not used",
          test_confirm_returns_what_was_not_used },
        { "a lapsed loan counts as spent", test_lapsed_loan_counts_as_spent },
        { "limits fall now and rise later", test_falls_now_and_rises_later },
        { "the wait is told", test_wait_is_told },
        CU_TEST_INFO_NULL };
