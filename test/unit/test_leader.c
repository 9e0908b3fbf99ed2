#include "policy/leader.h"
#include "suites.h"

enum
{
  START_MS = 100000,
  LATER_MS = START_MS + 2 * LEADER_STALE_MS,
};

/* Without beacons a host watches the store, but first allows time for one.  */
static void
test_no_beacons (void)
{
  struct leader leader;

  leader_init (&leader, 5, true, START_MS);
  CU_ASSERT_FALSE (leader_is_self (&leader, START_MS));
  CU_ASSERT_TRUE (leader_is_self (&leader, START_MS + LEADER_STALE_MS));
}

/* A crashed leader is replaced once its state is stale, counted from the time
   of the state and not from the receipt of the beacon.  */
static void
test_leader_crash (void)
{
  struct leader leader;

  leader_init (&leader, 5, true, START_MS);
  CU_ASSERT_TRUE (leader_record_beacon (&leader, 3, 400, LATER_MS));
  CU_ASSERT_FALSE (leader_is_self (&leader, LATER_MS));
  CU_ASSERT_TRUE (leader_is_self (&leader, LATER_MS + LEADER_STALE_MS - 400));
}

/* Of two hosts that watch the store, the one with the lower rank continues and
   the other stops.  */
static void
test_better_rank_leads (void)
{
  struct leader better;
  struct leader worse;

  leader_init (&better, 3, true, START_MS);
  leader_init (&worse, 5, true, START_MS);
  CU_ASSERT_FALSE (leader_record_beacon (&better, 5, 0, LATER_MS));
  CU_ASSERT_TRUE (leader_record_beacon (&worse, 3, 0, LATER_MS));
  CU_ASSERT_TRUE (leader_is_self (&better, LATER_MS));
  CU_ASSERT_FALSE (leader_is_self (&worse, LATER_MS));
}

/* The host with the lowest rank was paused, so the state in its beacon is
 * stale.  */
static void
test_stale_beacon_is_ignored (void)
{
  struct leader leader;

  leader_init (&leader, 5, true, START_MS);
  CU_ASSERT_FALSE (
      leader_record_beacon (&leader, 3, LEADER_STALE_MS, LATER_MS));
  CU_ASSERT_TRUE (leader_is_self (&leader, LATER_MS));
}

/* The store rejects the host with the lowest rank, which then relies on any
   other.  */
static void
test_rejected_by_store (void)
{
  struct leader leader;

  leader_init (&leader, 3, true, START_MS);
  leader.may_lead = false;
  CU_ASSERT_TRUE (leader_record_beacon (&leader, 5, 100, LATER_MS));
  CU_ASSERT_FALSE (leader_is_self (&leader, LATER_MS));
}

/* The beacon of a host with a higher rank does not shorten the time for which
   the leader's state is fresh.  */
static void
test_worse_leader_is_ignored (void)
{
  struct leader leader;

  leader_init (&leader, 9, true, START_MS);
  CU_ASSERT_TRUE (leader_record_beacon (&leader, 3, 0, LATER_MS));
  CU_ASSERT_FALSE (leader_record_beacon (&leader, 5, 1000, LATER_MS + 1));
  CU_ASSERT_FALSE (leader_is_self (&leader, LATER_MS + 1000));
}

CU_TestInfo leader_tests[] = {
  { "without beacons a host watches the store", test_no_beacons },
  { "a crashed leader is replaced", test_leader_crash },
  { "the better ranked host leads", test_better_rank_leads },
  { "a stale beacon is ignored", test_stale_beacon_is_ignored },
  { "a host rejected by the store does not lead", test_rejected_by_store },
  { "a worse ranked leader is ignored", test_worse_leader_is_ignored },
  CU_TEST_INFO_NULL,
};
