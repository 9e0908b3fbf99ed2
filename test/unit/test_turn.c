#include "policy/turn.h"
#include "suites.h"

enum
{
  SELF = 100,
  OTHER = 200,
  REQUEST = 7,
  ANOTHER = 8,
};

static struct branch
fresh (void)
{
  return (struct branch){ .next_turn = 3, .history_hash = 33 };
}

static struct cursor
cursor_at (uint32_t turn, uint64_t hash, uint64_t incarnation)
{
  return (struct cursor){ .turn = turn,
                          .history_hash = hash,
                          .incarnation = incarnation };
}

static void
test_runs_at_the_next_turn (void)
{
  struct branch branch = fresh ();
  struct cursor cursor = cursor_at (3, 33, SELF);

  CU_ASSERT_EQUAL (turn_decide (&branch, &cursor, SELF, false, REQUEST),
                   TURN_RUN);
}

static void
test_foreign_cursor_runs_only_what_may_repeat (void)
{
  struct branch branch = fresh ();
  struct cursor cursor = cursor_at (3, 33, OTHER);

  CU_ASSERT_EQUAL (turn_decide (&branch, &cursor, SELF, true, REQUEST),
                   TURN_RUN);
  CU_ASSERT_EQUAL (turn_decide (&branch, &cursor, SELF, false, REQUEST),
                   TURN_RESOLVE);
}

static void
test_call_in_flight_is_joined_or_busy (void)
{
  struct branch branch = fresh ();
  struct cursor cursor = cursor_at (3, 33, SELF);

  turn_begin (&branch, REQUEST);
  CU_ASSERT_EQUAL (turn_decide (&branch, &cursor, SELF, false, REQUEST),
                   TURN_JOIN);
  CU_ASSERT_EQUAL (turn_decide (&branch, &cursor, SELF, true, ANOTHER),
                   TURN_BUSY);
}

static void
test_finished_call_is_replayed (void)
{
  struct branch branch = fresh ();
  struct cursor cursor = cursor_at (3, 33, SELF);

  turn_begin (&branch, REQUEST);
  turn_finish (&branch, 44);
  CU_ASSERT_EQUAL (branch.next_turn, 4);
  CU_ASSERT_EQUAL (turn_decide (&branch, &cursor, SELF, false, REQUEST),
                   TURN_REPLAY);
  CU_ASSERT_EQUAL (turn_decide (&branch, &cursor, SELF, false, ANOTHER),
                   TURN_MISMATCH);
}

static void
test_closed_turn_never_runs (void)
{
  struct branch branch = fresh ();
  struct cursor cursor = cursor_at (3, 33, OTHER);

  turn_begin (&branch, REQUEST);
  turn_close (&branch, REQUEST);
  CU_ASSERT_EQUAL (branch.next_turn, 4);
  CU_ASSERT_EQUAL (branch.history_hash, 33);
  CU_ASSERT_EQUAL (turn_decide (&branch, &cursor, SELF, false, REQUEST),
                   TURN_DOUBTFUL);
}

static void
test_failed_call_keeps_its_turn (void)
{
  struct branch branch = fresh ();
  struct cursor cursor = cursor_at (3, 33, SELF);

  turn_begin (&branch, REQUEST);
  turn_fail (&branch);
  CU_ASSERT_EQUAL (turn_decide (&branch, &cursor, SELF, true, REQUEST),
                   TURN_RUN);
}

static void
test_other_history_is_reloaded (void)
{
  struct branch branch = fresh ();
  struct cursor ahead = cursor_at (9, 99, OTHER);
  struct cursor beside = cursor_at (3, 34, OTHER);
  struct cursor behind = cursor_at (1, 11, OTHER);
  struct cursor stale = cursor_at (1, 11, SELF);

  CU_ASSERT_EQUAL (turn_decide (&branch, &ahead, SELF, true, REQUEST),
                   TURN_RELOAD);
  CU_ASSERT_EQUAL (turn_decide (&branch, &beside, SELF, true, REQUEST),
                   TURN_RELOAD);
  CU_ASSERT_EQUAL (turn_decide (&branch, &behind, SELF, true, REQUEST),
                   TURN_RELOAD);
  CU_ASSERT_EQUAL (turn_decide (&branch, &stale, SELF, true, REQUEST),
                   TURN_STALE);
}

CU_TestInfo turn_tests[]
    = { { "runs at the next turn", test_runs_at_the_next_turn },
        { "a foreign cursor runs only what may repeat",
          test_foreign_cursor_runs_only_what_may_repeat },
        { "a call in flight is joined, or the branch is busy",
          test_call_in_flight_is_joined_or_busy },
        { "a finished call is replayed", test_finished_call_is_replayed },
        { "a closed turn never runs", test_closed_turn_never_runs },
        { "a failed call keeps its turn", test_failed_call_keeps_its_turn },
        { "another history is reloaded", test_other_history_is_reloaded },
        CU_TEST_INFO_NULL };
