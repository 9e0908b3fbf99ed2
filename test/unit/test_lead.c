#include "policy/lead.h"
#include "suites.h"

enum
{
  START_MS = 100000,
  LATER_MS = START_MS + 2 * LEAD_STALE_MS,
};

/* Without any beacon a host follows the store, but leaves others the time for
   one.  */
static void
test_alone (void)
{
  struct lead lead;

  lead_init (&lead, 5, true, START_MS);
  CU_ASSERT_FALSE (lead_follows_store (&lead, START_MS));
  CU_ASSERT_TRUE (lead_follows_store (&lead, START_MS + LEAD_STALE_MS));
}

/* A leader dies: it is done without once its news are stale, counted from when
   they were true and not from when they were heard.  */
static void
test_leader_dies (void)
{
  struct lead lead;

  lead_init (&lead, 5, true, START_MS);
  CU_ASSERT_TRUE (lead_note_beacon (&lead, 3, 400, LATER_MS));
  CU_ASSERT_FALSE (lead_follows_store (&lead, LATER_MS));
  CU_ASSERT_TRUE (lead_follows_store (&lead, LATER_MS + LEAD_STALE_MS - 400));
}

/* Two hosts follow the store: the better ranked goes on, the other stops.  */
static void
test_better_rank_leads (void)
{
  struct lead better;
  struct lead worse;

  lead_init (&better, 3, true, START_MS);
  lead_init (&worse, 5, true, START_MS);
  CU_ASSERT_FALSE (lead_note_beacon (&better, 5, 0, LATER_MS));
  CU_ASSERT_TRUE (lead_note_beacon (&worse, 3, 0, LATER_MS));
  CU_ASSERT_TRUE (lead_follows_store (&better, LATER_MS));
  CU_ASSERT_FALSE (lead_follows_store (&worse, LATER_MS));
}

/* The best ranked host froze and woke: what it says is old.  */
static void
test_old_news_do_not_lead (void)
{
  struct lead lead;

  lead_init (&lead, 5, true, START_MS);
  CU_ASSERT_FALSE (lead_note_beacon (&lead, 3, LEAD_STALE_MS, LATER_MS));
  CU_ASSERT_TRUE (lead_follows_store (&lead, LATER_MS));
}

/* The store turns the best ranked host away: it goes by any other.  */
static void
test_turned_away (void)
{
  struct lead lead;

  lead_init (&lead, 3, true, START_MS);
  lead.may_lead = false;
  CU_ASSERT_TRUE (lead_note_beacon (&lead, 5, 100, LATER_MS));
  CU_ASSERT_FALSE (lead_follows_store (&lead, LATER_MS));
}

/* A worse ranked leader's beacon does not shorten what a better one's gave. */
static void
test_worse_leader_is_left_alone (void)
{
  struct lead lead;

  lead_init (&lead, 9, true, START_MS);
  CU_ASSERT_TRUE (lead_note_beacon (&lead, 3, 0, LATER_MS));
  CU_ASSERT_FALSE (lead_note_beacon (&lead, 5, 1000, LATER_MS + 1));
  CU_ASSERT_FALSE (lead_follows_store (&lead, LATER_MS + 1000));
}

CU_TestInfo lead_tests[] = {
  { "alone", test_alone },
  { "a leader dies", test_leader_dies },
  { "the better rank leads", test_better_rank_leads },
  { "old news do not lead", test_old_news_do_not_lead },
  { "turned away by the store", test_turned_away },
  { "a worse leader is left alone", test_worse_leader_is_left_alone },
  CU_TEST_INFO_NULL,
};
