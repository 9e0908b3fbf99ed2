#include "policy/owner.h"
#include "suites.h"

enum
{
  HOSTS = 8,
  PROGRAMS = 400,
};

static void
make_hosts (struct owner_candidate *hosts)
{
  for (uint32_t i = 0; i < HOSTS; i++)
    hosts[i] = (struct owner_candidate){ .host_hash = 1000 + i,
                                         .dc_hash = i % 2,
                                         .eligible = true };
}

static void
test_owner_prefers_home_data_centre (void)
{
  struct owner_candidate hosts[HOSTS];

  make_hosts (hosts);
  for (uint64_t key = 0; key < PROGRAMS; key++)
    CU_ASSERT_EQUAL (hosts[owner_pick (key, 1, hosts, HOSTS)].dc_hash, 1);
  for (uint32_t i = 1; i < HOSTS; i += 2)
    hosts[i].eligible = false;
  CU_ASSERT_EQUAL (hosts[owner_pick (5, 1, hosts, HOSTS)].dc_hash, 0);
  for (uint32_t i = 0; i < HOSTS; i++)
    hosts[i].eligible = false;
  CU_ASSERT_EQUAL (owner_pick (5, 1, hosts, HOSTS), -1);
}

static void
test_host_loss_moves_only_its_programs (void)
{
  struct owner_candidate hosts[HOSTS];
  int32_t before[PROGRAMS];

  make_hosts (hosts);
  for (uint64_t key = 0; key < PROGRAMS; key++)
    before[key] = owner_pick (key, 0, hosts, HOSTS);
  hosts[2].eligible = false;
  for (uint64_t key = 0; key < PROGRAMS; key++)
    if (before[key] != 2)
      CU_ASSERT_EQUAL (owner_pick (key, 0, hosts, HOSTS), before[key]);
}

static void
test_ranking_spreads_over_data_centres (void)
{
  struct owner_candidate hosts[HOSTS];
  int32_t ranked[HOSTS];

  make_hosts (hosts);
  for (uint64_t key = 0; key < PROGRAMS; key++)
    {
      CU_ASSERT_EQUAL (owner_rank_spread (key, hosts, HOSTS, 2, ranked), 2);
      CU_ASSERT_NOT_EQUAL (hosts[ranked[0]].dc_hash, hosts[ranked[1]].dc_hash);
    }
  CU_ASSERT_EQUAL (owner_rank_spread (1, hosts, HOSTS, HOSTS, ranked), HOSTS);
}

CU_TestInfo owner_tests[]
    = { { "the owner is in the home data centre if possible",
          test_owner_prefers_home_data_centre },
        { "the loss of a host moves only its programs",
          test_host_loss_moves_only_its_programs },
        { "ranked hosts spread over data centres",
          test_ranking_spreads_over_data_centres },
        CU_TEST_INFO_NULL };
