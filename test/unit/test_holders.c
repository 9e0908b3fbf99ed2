#include "policy/holders.h"
#include "suites.h"

enum
{
  SLOTS = 16,
};

static void
apply (uint64_t *holders, uint64_t self, struct holders_plan plan)
{
  for (uint32_t i = 0; i < SLOTS; i++)
    {
      if (plan.release & (UINT64_C (1) << i))
        holders[i] = 0;
      if (plan.claim & (UINT64_C (1) << i))
        holders[i] = self;
    }
}

static uint32_t
count_held (const uint64_t *holders, uint64_t process)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < SLOTS; i++)
    count += holders[i] == process;
  return count;
}

static void
converge (uint64_t *holders, const uint64_t *live, uint32_t live_count)
{
  for (int round = 0; round < 4; round++)
    for (uint32_t i = 0; i < live_count; i++)
      apply (holders, live[i],
             holders_plan (holders, SLOTS, live[i], live, live_count, false));
}

static void
test_hosts_converge_on_equal_shares (void)
{
  uint64_t holders[SLOTS] = { 0 };
  uint64_t live[] = { 11, 12, 13 };

  converge (holders, live, 1);
  CU_ASSERT_EQUAL (count_held (holders, 11), SLOTS);
  converge (holders, live, 3);
  CU_ASSERT_EQUAL (count_held (holders, 11), 6);
  CU_ASSERT_EQUAL (count_held (holders, 12), 5);
  CU_ASSERT_EQUAL (count_held (holders, 13), 5);
}

static void
test_listed_holder_keeps_its_slots (void)
{
  uint64_t holders[SLOTS] = { 0 };
  uint64_t live[] = { 11, 12 };
  struct holders_plan plan;

  converge (holders, live, 2);
  /* Host 12 is silent but still listed, so its slots are not claimed.  */
  plan = holders_plan (holders, SLOTS, 11, live, 2, false);
  CU_ASSERT_EQUAL (plan.claim, 0);
  plan = holders_plan (holders, SLOTS, 11, live, 1, false);
  apply (holders, 11, plan);
  CU_ASSERT_EQUAL (count_held (holders, 11), SLOTS);
}

static void
test_leaving_host_releases_all (void)
{
  uint64_t holders[SLOTS] = { 0 };
  uint64_t live[] = { 11, 12 };

  converge (holders, live, 2);
  apply (holders, 12, holders_plan (holders, SLOTS, 12, live, 2, true));
  CU_ASSERT_EQUAL (count_held (holders, 12), 0);
}

CU_TestInfo holders_tests[] = {
  { "hosts converge on equal shares", test_hosts_converge_on_equal_shares },
  { "slots of a listed holder are not claimed",
    test_listed_holder_keeps_its_slots },
  { "a leaving host releases all slots", test_leaving_host_releases_all },
  CU_TEST_INFO_NULL
};
