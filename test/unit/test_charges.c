#include "policy/charges.h"
#include "suites.h"

static void
test_newer_version_wins (void)
{
  struct charges charges = { 0 };
  struct charge first = { .source = 1, .version = 1, .tokens = 100 };
  struct charge settled = { .source = 1, .version = 2, .tokens = 40 };
  struct charge other = { .source = 2, .version = 1, .tokens = 7 };

  CU_ASSERT_TRUE (charges_merge (&charges, &first));
  CU_ASSERT_TRUE (charges_merge (&charges, &settled));
  CU_ASSERT_FALSE (charges_merge (&charges, &first));
  CU_ASSERT_TRUE (charges_merge (&charges, &other));
  CU_ASSERT_EQUAL (charges_total (&charges), 47);
  CU_ASSERT_PTR_NULL (charges_find (&charges, 3));
  charges_release (&charges);
}

static void
test_two_majorities_share_a_keeper (void)
{
  for (uint32_t keepers = 1; keepers < 12; keepers++)
    CU_ASSERT (2 * charges_quorum (keepers) > keepers);
}

/* A majority that included the lost keeper has one member less.  */
static void
test_read_quorum_intersects_majorities (void)
{
  for (uint32_t keepers = 2; keepers < 12; keepers++)
    CU_ASSERT (charges_read_quorum (keepers) + charges_quorum (keepers) - 1
               > keepers - 1);
}

static enum charges_verdict
decide (int64_t total, int64_t budget, uint32_t answers, uint32_t keepers,
        bool has_missing_answers, bool is_unsynced)
{
  struct charges_question question
      = { .total = total,
          .budget = budget,
          .answers = answers,
          .keepers = keepers,
          .has_missing_answers = has_missing_answers,
          .is_unsynced = is_unsynced };

  return charges_decide (&question);
}

static void
test_decision_by_answers (void)
{
  CU_ASSERT_EQUAL (decide (1000, 1000, 3, 4, false, false), CHARGES_GRANTED);
  CU_ASSERT_EQUAL (decide (1001, 1000, 3, 4, false, false), CHARGES_EXHAUSTED);
  CU_ASSERT_EQUAL (decide (1000, 1000, 2, 4, false, false), CHARGES_UNDECIDED);
  CU_ASSERT_EQUAL (decide (10, 1000, 0, 4, true, false), CHARGES_UNDECIDED);
  CU_ASSERT_EQUAL (decide (10, 1000, 0, 0, false, false), CHARGES_UNDECIDED);
}

/* Both sides of a network partition know what was charged before it, and
   continue to charge as far as they may.  Together they exceed the budget by
   at most one turn.  */
static void
test_partition_exceeds_budget_by_one_turn (void)
{
  const int64_t budget = 1000;

  for (int64_t turn = 10; turn <= 300; turn += 10)
    for (int64_t before = 0; before <= budget; before += 10)
      {
        int64_t majority = before;
        int64_t minority = before;

        while (decide (majority + turn, budget, 3, 4, true, false)
               == CHARGES_GRANTED)
          majority += turn;
        while (decide (minority + turn, budget, 1, 4, true, false)
               == CHARGES_GRANTED)
          minority += turn;
        CU_ASSERT (majority + minority - before <= budget + turn);
      }
}

/* Guards against a cut that splits an even number of keepers in halves, so
   that neither side has a majority and both charge more than their part.  */
static void
test_halves_exceed_budget_by_one_turn (void)
{
  const int64_t budget = 1000;

  for (int64_t turn = 10; turn <= 300; turn += 10)
    for (int64_t before = 0; before <= budget; before += 10)
      {
        int64_t side = before;

        while (decide (side + turn, budget, 3, 6, true, false)
               == CHARGES_GRANTED)
          side += turn;
        CU_ASSERT (2 * side - before <= budget + turn);
      }
}

/* Guards against budgets that are granted anew after a loss of power of all
   keepers: the first ones to answer are a minority, and may know next to
   nothing.  */
static void
test_unsynced_minority_decides_nothing (void)
{
  CU_ASSERT_EQUAL (decide (10, 1000, 2, 6, true, true), CHARGES_UNDECIDED);
  CU_ASSERT_EQUAL (decide (10, 1000, 3, 6, true, true), CHARGES_UNDECIDED);
  CU_ASSERT_EQUAL (decide (10, 1000, 2, 6, true, false), CHARGES_GRANTED);
  CU_ASSERT_EQUAL (decide (10, 1000, 4, 6, true, true), CHARGES_GRANTED);
  CU_ASSERT_EQUAL (decide (1001, 1000, 2, 6, true, true), CHARGES_EXHAUSTED);
}

/* Guards against a majority that does not know what a half granted, as one of
   the half has lost its disk and the other one is down.  */
static void
test_forgotten_half_exceeds_budget_by_one_turn (void)
{
  const int64_t budget = 1000;

  for (int64_t turn = 1; turn <= 300; turn++)
    {
      int64_t half = 0;
      int64_t majority = 0;

      while (decide (half + turn, budget, 2, 4, true, false)
             == CHARGES_GRANTED)
        half += turn;
      while (decide (majority + turn, budget, 3, 4, true, false)
             == CHARGES_GRANTED)
        majority += turn;
      CU_ASSERT (half + majority <= budget + turn);
    }
}

/* Guards against two minorities that do not know of each other, where one more
   keeper is down beside a cut.  */
static void
test_two_minorities_stay_within_budget (void)
{
  const int64_t budget = 1000;

  for (int64_t turn = 1; turn <= 600; turn++)
    {
      int64_t minority = 0;

      while (decide (minority + turn, budget, 1, 3, true, false)
             == CHARGES_GRANTED)
        minority += turn;
      CU_ASSERT (2 * minority <= budget + turn);
    }
}

CU_TestInfo charges_tests[] = {
  { "a forgotten half exceeds the budget by at most one turn",
    test_forgotten_half_exceeds_budget_by_one_turn },
  { "two minorities stay within the budget",
    test_two_minorities_stay_within_budget },
  { "the newer version wins", test_newer_version_wins },
  { "two majorities share a keeper", test_two_majorities_share_a_keeper },
  { "a read quorum intersects each majority",
    test_read_quorum_intersects_majorities },
  { "the decision follows the answers", test_decision_by_answers },
  { "partitioned sides exceed the budget by at most one turn",
    test_partition_exceeds_budget_by_one_turn },
  { "halves exceed the budget by at most one turn",
    test_halves_exceed_budget_by_one_turn },
  { "an unsynced minority decides nothing",
    test_unsynced_minority_decides_nothing },
  CU_TEST_INFO_NULL,
};
