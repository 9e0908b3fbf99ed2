#include "common/id.h"
#include "policy/charges.h"
#include "policy/replicas.h"
#include "suites.h"
#include <stdbool.h>

enum
{
  CENTRES = 6,
  HOSTS = 36,
  MAX_HOSTS = 64,
  ITEMS = 5000,
  LOSSES = 2,
};

static uint64_t
hash_number (uint64_t number, uint64_t seed)
{
  return id_hash64 (&number, sizeof number, seed);
}

/* Fills HOSTS with COUNT hosts in CENTRES data centres.  */
static void
make_hosts (struct replica_host hosts[MAX_HOSTS], uint32_t count,
            uint32_t centres)
{
  for (uint32_t i = 0; i < count; i++)
    hosts[i] = (struct replica_host){ .hash = hash_number (i, 1),
                                      .data_centre_hash
                                      = hash_number (i % centres, 2) };
}

static uint32_t
count_in_centre (const struct replica_host *hosts, const uint32_t *selected,
                 uint32_t count, uint64_t centre)
{
  uint32_t in_centre = 0;

  for (uint32_t i = 0; i < count; i++)
    in_centre += hosts[selected[i]].data_centre_hash == centre;
  return in_centre;
}

/* A fleet of 36 in six data centres: six replicas an item, one a data centre,
   and each host stores about its part.  */
static void
test_spread_over_centres_and_hosts (void)
{
  struct replica_host hosts[MAX_HOSTS];
  uint32_t selected[REPLICAS_MAX];
  uint32_t stored[HOSTS] = { 0 };

  make_hosts (hosts, HOSTS, CENTRES);
  for (uint64_t item = 0; item < ITEMS; item++)
    {
      uint32_t count
          = replicas_select (hash_number (item, 3), hosts, HOSTS,
                             replicas_wanted (LOSSES, CENTRES), selected);

      CU_ASSERT_EQUAL_FATAL (count, 6);
      for (uint32_t c = 0; c < CENTRES; c++)
        CU_ASSERT_EQUAL (
            count_in_centre (hosts, selected, count, hash_number (c, 2)), 1);
      for (uint32_t i = 0; i < count; i++)
        stored[selected[i]]++;
    }
  for (uint32_t i = 0; i < HOSTS; i++)
    {
      CU_ASSERT_TRUE (stored[i] > ITEMS / 6 * 8 / 10);
      CU_ASSERT_TRUE (stored[i] < ITEMS / 6 * 12 / 10);
    }
}

/* The loss of any data centre leaves a majority.  */
static void
test_survives_a_centre (void)
{
  /* Hosts, data centres, losses of hosts. */
  static const uint32_t fleets[][3]
      = { { 9, 4, 2 },  { 10, 4, 2 }, { 8, 4, 2 }, { 36, 6, 2 }, { 12, 3, 2 },
          { 12, 3, 1 }, { 36, 6, 1 }, { 7, 4, 2 }, { 4, 4, 1 } };
  struct replica_host hosts[MAX_HOSTS];
  uint32_t selected[REPLICAS_MAX];

  for (size_t f = 0; f < sizeof fleets / sizeof *fleets; f++)
    {
      make_hosts (hosts, fleets[f][0], fleets[f][1]);
      for (uint64_t item = 0; item < ITEMS; item++)
        {
          uint32_t count = replicas_select (
              hash_number (item, 4), hosts, fleets[f][0],
              replicas_wanted (fleets[f][2], fleets[f][1]), selected);

          for (uint32_t c = 0; c < fleets[f][1]; c++)
            CU_ASSERT_TRUE (count
                                - count_in_centre (hosts, selected, count,
                                                   hash_number (c, 2))
                            >= charges_quorum (count));
        }
    }
}

static bool
contains (const struct replica_host *hosts, const uint32_t *selected,
          uint32_t count, uint64_t hash)
{
  for (uint32_t i = 0; i < count; i++)
    if (hosts[selected[i]].hash == hash)
      return true;
  return false;
}

/* Lists that differ in one host give selections that differ in at most one
   replica, and any two majorities of them share a host.  */
static void
test_one_change_moves_one_replica (void)
{
  for (uint32_t count = 4; count < 20; count++)
    for (uint32_t removed = 0; removed < count; removed++)
      for (uint64_t item = 0; item < 50; item++)
        {
          struct replica_host hosts[MAX_HOSTS];
          struct replica_host fewer[MAX_HOSTS];
          uint32_t before[REPLICAS_MAX];
          uint32_t after[REPLICAS_MAX];
          uint32_t before_count;
          uint32_t after_count;
          uint32_t shared = 0;

          make_hosts (hosts, count, 4);
          for (uint32_t i = 0, k = 0; i < count; i++)
            if (i != removed)
              fewer[k++] = hosts[i];
          before_count = replicas_select (hash_number (item, 5), hosts, count,
                                          replicas_wanted (LOSSES, 4), before);
          after_count
              = replicas_select (hash_number (item, 5), fewer, count - 1,
                                 replicas_wanted (LOSSES, 4), after);
          for (uint32_t i = 0; i < after_count; i++)
            shared += contains (hosts, before, before_count,
                                fewer[after[i]].hash);
          CU_ASSERT_TRUE (shared + 1 >= before_count);
          /* Majorities overlap if together they exceed all hosts that either
             selection has. */
          CU_ASSERT_TRUE (charges_quorum (before_count)
                              + charges_quorum (after_count)
                          > before_count + after_count - shared);
        }
}

/* Small fleets store each item on all hosts.  */
static void
test_small_fleet_uses_all (void)
{
  struct replica_host hosts[MAX_HOSTS];
  uint32_t selected[REPLICAS_MAX];

  make_hosts (hosts, 4, 4);
  for (uint32_t count = 0; count <= 4; count++)
    CU_ASSERT_EQUAL (
        replicas_select (7, hosts, count, replicas_wanted (1, 4), selected),
        count);
  CU_ASSERT_EQUAL (replicas_wanted (1, 4), 4);
  CU_ASSERT_EQUAL (replicas_wanted (100, 4), REPLICAS_MAX);
}

CU_TestInfo replicas_tests[] = {
  { "spread over data centres and hosts", test_spread_over_centres_and_hosts },
  { "a data centre may be lost", test_survives_a_centre },
  { "one change moves one replica", test_one_change_moves_one_replica },
  { "a small fleet uses all hosts", test_small_fleet_uses_all },
  CU_TEST_INFO_NULL,
};
