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
held_by (const uint64_t *holders, uint64_t process)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < SLOTS; i++)
    count += holders[i] == process;
  return count;
}

static void
settle (uint64_t *holders, const uint64_t *live, uint32_t live_count)
{
  for (int round = 0; round < 4; round++)
    for (uint32_t i = 0; i < live_count; i++)
      apply (holders, live[i],
             holders_plan (holders, SLOTS, live[i], live, live_count, false));
}

static void
test_hosts_settle_on_equal_parts (void)
{
  uint64_t holders[SLOTS] = { 0 };
  uint64_t live[] = { 11, 12, 13 };

  settle (holders, live, 1);
  CU_ASSERT_EQUAL (held_by (holders, 11), SLOTS);
  settle (holders, live, 3);
  CU_ASSERT_EQUAL (held_by (holders, 11), 6);
  CU_ASSERT_EQUAL (held_by (holders, 12), 5);
  CU_ASSERT_EQUAL (held_by (holders, 13), 5);
}

static void
test_listed_holder_keeps_its_slots (void)
{
  uint64_t holders[SLOTS] = { 0 };
  uint64_t live[] = { 11, 12 };
  struct holders_plan plan;

  settle (holders, live, 2);
  /* Host 12 says nothing but is still listed: nobody takes what it holds.  */
  plan = holders_plan (holders, SLOTS, 11, live, 2, false);
  CU_ASSERT_EQUAL (plan.claim, 0);
  plan = holders_plan (holders, SLOTS, 11, live, 1, false);
  apply (holders, 11, plan);
  CU_ASSERT_EQUAL (held_by (holders, 11), SLOTS);
}

static void
test_leaving_host_gives_all_up (void)
{
  uint64_t holders[SLOTS] = { 0 };
  uint64_t live[] = { 11, 12 };

  settle (holders, live, 2);
  apply (holders, 12, holders_plan (holders, SLOTS, 12, live, 2, true));
  CU_ASSERT_EQUAL (held_by (holders, 12), 0);
}

CU_TestInfo holders_tests[]
    = { { "hosts settle on equal parts", test_hosts_settle_on_equal_parts },
        { "a listed holder keeps its slots",
          test_listed_holder_keeps_its_slots },
        { "a leaving host gives all up", test_leaving_host_gives_all_up },
        CU_TEST_INFO_NULL };
