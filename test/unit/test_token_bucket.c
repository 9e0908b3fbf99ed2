#include "policy/token_bucket.h"
#include "suites.h"

enum
{
  ONE_TOKEN = UTOKENS_PER_TOKEN,
};

static struct token_bucket
make_bucket (int64_t rate_tokens, int64_t capacity_tokens)
{
  struct token_bucket bucket;

  token_bucket_init (&bucket, 0);
  token_bucket_configure (&bucket, rate_tokens * ONE_TOKEN,
                          capacity_tokens * ONE_TOKEN, 0, 0);
  return bucket;
}

static void
test_starts_empty_and_refills (void)
{
  struct token_bucket bucket = make_bucket (10, 5);

  CU_ASSERT_FALSE (token_bucket_take (&bucket, ONE_TOKEN, 0));
  CU_ASSERT_FALSE (token_bucket_take (&bucket, ONE_TOKEN, 99));
  CU_ASSERT_TRUE (token_bucket_take (&bucket, ONE_TOKEN, 100));
  for (int i = 0; i < 5; i++)
    CU_ASSERT_TRUE (token_bucket_take (&bucket, ONE_TOKEN, 100000));
  CU_ASSERT_FALSE (token_bucket_take (&bucket, ONE_TOKEN, 100000));
}

static void
test_loan_counts_against_capacity (void)
{
  struct token_bucket bucket = make_bucket (10, 5);

  CU_ASSERT_EQUAL (token_bucket_lend (&bucket, 1, 3 * ONE_TOKEN, 10000),
                   3 * ONE_TOKEN);
  /* Two tokens are left, and there is no refill while three are lent.  */
  CU_ASSERT_TRUE (token_bucket_take (&bucket, 2 * ONE_TOKEN, 10500));
  CU_ASSERT_EQUAL (bucket.level_utokens + bucket.lent_utokens, 3 * ONE_TOKEN);
  CU_ASSERT_FALSE (token_bucket_take (&bucket, 3 * ONE_TOKEN, 12000));
  CU_ASSERT_TRUE (token_bucket_take (&bucket, 2 * ONE_TOKEN, 12000));
}

static void
test_repeated_request_returns_same_loan (void)
{
  struct token_bucket bucket = make_bucket (1, 5);

  CU_ASSERT_EQUAL (token_bucket_lend (&bucket, 7, 2 * ONE_TOKEN, 10000),
                   2 * ONE_TOKEN);
  CU_ASSERT_EQUAL (token_bucket_lend (&bucket, 7, 2 * ONE_TOKEN, 10001),
                   2 * ONE_TOKEN);
  CU_ASSERT_EQUAL (bucket.lent_utokens, 2 * ONE_TOKEN);
}

static void
test_confirm_returns_unused_tokens (void)
{
  struct token_bucket bucket = make_bucket (1, 5);

  token_bucket_lend (&bucket, 7, 4 * ONE_TOKEN, 10000);
  token_bucket_confirm (&bucket, 7, 3 * ONE_TOKEN, 10000);
  CU_ASSERT_EQUAL (bucket.lent_utokens, 0);
  CU_ASSERT_EQUAL (bucket.level_utokens, 4 * ONE_TOKEN);
  token_bucket_confirm (&bucket, 7, 3 * ONE_TOKEN, 10000);
  CU_ASSERT_EQUAL (bucket.level_utokens, 4 * ONE_TOKEN);
}

static void
test_expired_loan_counts_as_spent (void)
{
  struct token_bucket bucket = make_bucket (1, 5);

  token_bucket_lend (&bucket, 7, 4 * ONE_TOKEN, 10000);
  token_bucket_take (&bucket, ONE_TOKEN, 10000);
  token_bucket_confirm (&bucket, 7, 4 * ONE_TOKEN,
                        10000 + TOKEN_BUCKET_LOAN_EXPIRY_MS);
  CU_ASSERT_EQUAL (bucket.lent_utokens, 0);
  CU_ASSERT_TRUE (bucket.level_utokens < 4 * ONE_TOKEN);
}

static void
test_decrease_is_immediate_increase_delayed (void)
{
  struct token_bucket bucket = make_bucket (10, 10);

  token_bucket_take (&bucket, 0, 100000);
  token_bucket_configure (&bucket, 20 * ONE_TOKEN, 4 * ONE_TOKEN, 1000,
                          100000);
  CU_ASSERT_EQUAL (bucket.capacity_utokens, 4 * ONE_TOKEN);
  CU_ASSERT_EQUAL (bucket.rate_utokens_per_s, 10 * ONE_TOKEN);
  CU_ASSERT_EQUAL (bucket.level_utokens, 4 * ONE_TOKEN);
  token_bucket_take (&bucket, 0, 101000);
  CU_ASSERT_EQUAL (bucket.rate_utokens_per_s, 20 * ONE_TOKEN);
}

static void
test_wait_time (void)
{
  struct token_bucket bucket = make_bucket (10, 5);

  token_bucket_take (&bucket, 0, 0);
  CU_ASSERT_EQUAL (token_bucket_wait_ms (&bucket, ONE_TOKEN, 0), 101);
  CU_ASSERT_EQUAL (token_bucket_wait_ms (&bucket, 6 * ONE_TOKEN, 0), -1);
  CU_ASSERT_EQUAL (token_bucket_wait_ms (&bucket, ONE_TOKEN, 100), 0);
}

CU_TestInfo token_bucket_tests[] = {
  { "starts empty and refills", test_starts_empty_and_refills },
  { "a loan counts against the capacity", test_loan_counts_against_capacity },
  { "a repeated request returns the same loan",
    test_repeated_request_returns_same_loan },
  { "a confirmation returns unused tokens",
    test_confirm_returns_unused_tokens },
  { "an expired loan counts as spent", test_expired_loan_counts_as_spent },
  { "decreases are immediate, increases delayed",
    test_decrease_is_immediate_increase_delayed },
  { "the wait time is computed", test_wait_time },
  CU_TEST_INFO_NULL
};
