#include "policy/leader.h"
#include "suites.h"

enum
{
  STALE_MS = 1300,
  START_MS = 100000,
  LATER_MS = START_MS + 2 * STALE_MS,
};

static struct leader
make_leader (uint64_t rank)
{
  struct leader_options options
      = { .own_rank = rank, .may_lead = true, .stale_ms = STALE_MS };
  struct leader leader;

  leader_init (&leader, &options, START_MS);
  return leader;
}

/* Without beacons a host watches the store, but first allows time for one.  */
static void
test_no_beacons (void)
{
  struct leader leader;

  leader = make_leader (5);
  CU_ASSERT_FALSE (leader_watches_store (&leader, START_MS));
  CU_ASSERT_TRUE (leader_watches_store (&leader, START_MS + STALE_MS));
}

/* A crashed leader is replaced once its state is stale, counted from the time
   of the state and not from the receipt of the beacon.  */
static void
test_leader_crash (void)
{
  struct leader leader;

  leader = make_leader (5);
  CU_ASSERT_TRUE (leader_record_beacon (&leader, true, 3, 400, LATER_MS));
  CU_ASSERT_FALSE (leader_watches_store (&leader, LATER_MS));
  CU_ASSERT_TRUE (leader_watches_store (&leader, LATER_MS + STALE_MS - 400));
}

/* Of two hosts that watch the store, the one with the lower rank continues and
   the other stops.  */
static void
test_better_rank_leads (void)
{
  struct leader better;
  struct leader worse;

  better = make_leader (3);
  worse = make_leader (5);
  CU_ASSERT_FALSE (leader_record_beacon (&better, true, 5, 0, LATER_MS));
  CU_ASSERT_TRUE (leader_record_beacon (&worse, true, 3, 0, LATER_MS));
  CU_ASSERT_TRUE (leader_watches_store (&better, LATER_MS));
  CU_ASSERT_FALSE (leader_watches_store (&worse, LATER_MS));
}

/* The host with the lowest rank was paused, so the state in its beacon is
 * stale.  */
static void
test_stale_beacon_is_ignored (void)
{
  struct leader leader;

  leader = make_leader (5);
  CU_ASSERT_FALSE (
      leader_record_beacon (&leader, true, 3, STALE_MS, LATER_MS));
  CU_ASSERT_TRUE (leader_watches_store (&leader, LATER_MS));
}

/* The store rejects the host with the lowest rank, which then relies on any
   other.  */
static void
test_rejected_by_store (void)
{
  struct leader leader;

  leader = make_leader (3);
  leader.options.may_lead = false;
  CU_ASSERT_TRUE (leader_record_beacon (&leader, true, 5, 100, LATER_MS));
  CU_ASSERT_FALSE (leader_watches_store (&leader, LATER_MS));
}

/* The beacon of a host with a higher rank does not shorten the time for which
   the leader's state is fresh.  */
static void
test_worse_leader_is_ignored (void)
{
  struct leader leader;

  leader = make_leader (9);
  CU_ASSERT_TRUE (leader_record_beacon (&leader, true, 3, 0, LATER_MS));
  CU_ASSERT_FALSE (
      leader_record_beacon (&leader, true, 5, 1000, LATER_MS + 1));
  CU_ASSERT_FALSE (leader_watches_store (&leader, LATER_MS + 1000));
}

/* One host of the fleet watches the store; a host of another data centre that
   hears it relays its state and does not watch.  */
static void
test_remote_leader_is_relayed (void)
{
  struct leader leader = make_leader (5);

  CU_ASSERT_FALSE (leader_relays (&leader, START_MS));
  CU_ASSERT_TRUE (leader_record_beacon (&leader, false, 3, 100, LATER_MS));
  CU_ASSERT_FALSE (leader_watches_store (&leader, LATER_MS));
  CU_ASSERT_TRUE (leader_relays (&leader, LATER_MS));
  /* A better ranked relay of its data centre takes over, a worse one not. */
  CU_ASSERT_FALSE (leader_record_beacon (&leader, true, 7, 0, LATER_MS));
  CU_ASSERT_TRUE (leader_relays (&leader, LATER_MS));
  CU_ASSERT_TRUE (leader_record_beacon (&leader, true, 4, 100, LATER_MS));
  CU_ASSERT_FALSE (leader_relays (&leader, LATER_MS));
  /* That relay is lost while the remote leader is still heard. */
  CU_ASSERT_TRUE (
      leader_record_beacon (&leader, false, 3, 0, LATER_MS + 1000));
  CU_ASSERT_TRUE (leader_relays (&leader, LATER_MS + STALE_MS));
  CU_ASSERT_FALSE (leader_watches_store (&leader, LATER_MS + STALE_MS));
}

/* The remote leader is cut off: the host watches the store, and relays.  A
   worse ranked watcher elsewhere does not stop it, a better ranked one does.
   */
static void
test_remote_leader_is_lost (void)
{
  struct leader leader = make_leader (5);
  int64_t lost_ms = LATER_MS + STALE_MS;

  leader_record_beacon (&leader, false, 3, 0, LATER_MS);
  CU_ASSERT_TRUE (leader_watches_store (&leader, lost_ms));
  CU_ASSERT_TRUE (leader_relays (&leader, lost_ms));
  CU_ASSERT_FALSE (leader_record_beacon (&leader, false, 8, 0, lost_ms));
  CU_ASSERT_TRUE (leader_record_beacon (&leader, false, 3, 0, lost_ms));
  CU_ASSERT_FALSE (leader_watches_store (&leader, lost_ms));
}

/* All hosts of a data centre lose their source at the same time: they take
   over one after the other, so that one watches the store and not all.  */
static void
test_takeover_is_staggered (void)
{
  enum
  {
    HOSTS = 43,
    STEP_MS = 150,
    BEACON_DELAY_MS = 20,
  };
  int watching = 0;

  for (int i = 0; i < HOSTS; i++)
    {
      struct leader leader = make_leader ((uint64_t)i + 10);

      leader.takeover_delay_ms = (int64_t)i * STEP_MS;
      leader_record_beacon (&leader, true, 3, 0, LATER_MS);
      if (i > 0)
        leader_record_beacon (&leader, true, 10, 0,
                              LATER_MS + STALE_MS + BEACON_DELAY_MS);
      watching
          += leader_watches_store (&leader, LATER_MS + STALE_MS + 2 * STEP_MS);
    }
  CU_ASSERT_EQUAL (watching, 1);
}

CU_TestInfo leader_tests[] = {
  { "without beacons a host watches the store", test_no_beacons },
  { "a crashed leader is replaced", test_leader_crash },
  { "the better ranked host leads", test_better_rank_leads },
  { "a stale beacon is ignored", test_stale_beacon_is_ignored },
  { "a host rejected by the store does not lead", test_rejected_by_store },
  { "a worse ranked leader is ignored", test_worse_leader_is_ignored },
  { "a remote leader is relayed", test_remote_leader_is_relayed },
  { "a remote leader is lost", test_remote_leader_is_lost },
  { "hosts take over one after the other", test_takeover_is_staggered },
  CU_TEST_INFO_NULL,
};
