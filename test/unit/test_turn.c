#include "policy/turn.h"
#include "suites.h"

enum
{
  OWN_INCARNATION = 100,
  FOREIGN_INCARNATION = 200,
  REQUEST = 7,
  OTHER_REQUEST = 8,
};

static struct branch
make_branch (void)
{
  return (struct branch){ .next_turn = 3, .history_hash = 33 };
}

static struct cursor
make_cursor (uint32_t turn, uint64_t hash, uint64_t incarnation)
{
  return (struct cursor){ .turn = turn,
                          .history_hash = hash,
                          .incarnation = incarnation };
}

static void
test_runs_at_the_next_turn (void)
{
  struct branch branch = make_branch ();
  struct cursor cursor = make_cursor (3, 33, OWN_INCARNATION);

  CU_ASSERT_EQUAL (
      turn_decide (&branch, &cursor, OWN_INCARNATION, false, REQUEST),
      TURN_RUN);
}

static void
test_foreign_cursor_runs_only_idempotent_calls (void)
{
  struct branch branch = make_branch ();
  struct cursor cursor = make_cursor (3, 33, FOREIGN_INCARNATION);

  CU_ASSERT_EQUAL (
      turn_decide (&branch, &cursor, OWN_INCARNATION, true, REQUEST),
      TURN_RUN);
  CU_ASSERT_EQUAL (
      turn_decide (&branch, &cursor, OWN_INCARNATION, false, REQUEST),
      TURN_RESOLVE);
}

static void
test_call_in_flight_is_joined_or_busy (void)
{
  struct branch branch = make_branch ();
  struct cursor cursor = make_cursor (3, 33, OWN_INCARNATION);

  turn_begin (&branch, REQUEST);
  CU_ASSERT_EQUAL (
      turn_decide (&branch, &cursor, OWN_INCARNATION, false, REQUEST),
      TURN_JOIN);
  CU_ASSERT_EQUAL (
      turn_decide (&branch, &cursor, OWN_INCARNATION, true, OTHER_REQUEST),
      TURN_BUSY);
}

static void
test_finished_call_is_replayed (void)
{
  struct branch branch = make_branch ();
  struct cursor cursor = make_cursor (3, 33, OWN_INCARNATION);

  turn_begin (&branch, REQUEST);
  turn_finish (&branch, 44);
  CU_ASSERT_EQUAL (branch.next_turn, 4);
  CU_ASSERT_EQUAL (
      turn_decide (&branch, &cursor, OWN_INCARNATION, false, REQUEST),
      TURN_REPLAY);
  CU_ASSERT_EQUAL (
      turn_decide (&branch, &cursor, OWN_INCARNATION, false, OTHER_REQUEST),
      TURN_MISMATCH);
}

static void
test_closed_turn_never_runs_again (void)
{
  struct branch branch = make_branch ();
  struct cursor cursor = make_cursor (3, 33, FOREIGN_INCARNATION);

  turn_begin (&branch, REQUEST);
  turn_close (&branch, REQUEST);
  CU_ASSERT_EQUAL (branch.next_turn, 4);
  CU_ASSERT_EQUAL (branch.history_hash, 33);
  CU_ASSERT_EQUAL (
      turn_decide (&branch, &cursor, OWN_INCARNATION, false, REQUEST),
      TURN_OUTCOME_UNKNOWN);
}

static void
test_failed_call_keeps_its_turn (void)
{
  struct branch branch = make_branch ();
  struct cursor cursor = make_cursor (3, 33, OWN_INCARNATION);

  turn_begin (&branch, REQUEST);
  turn_fail (&branch);
  CU_ASSERT_EQUAL (
      turn_decide (&branch, &cursor, OWN_INCARNATION, true, REQUEST),
      TURN_RUN);
}

static void
test_unknown_history_is_reloaded (void)
{
  struct branch branch = make_branch ();
  struct cursor ahead = make_cursor (9, 99, FOREIGN_INCARNATION);
  struct cursor diverged = make_cursor (3, 34, FOREIGN_INCARNATION);
  struct cursor behind = make_cursor (1, 11, FOREIGN_INCARNATION);
  struct cursor stale = make_cursor (1, 11, OWN_INCARNATION);

  CU_ASSERT_EQUAL (
      turn_decide (&branch, &ahead, OWN_INCARNATION, true, REQUEST),
      TURN_RELOAD);
  CU_ASSERT_EQUAL (
      turn_decide (&branch, &diverged, OWN_INCARNATION, true, REQUEST),
      TURN_RELOAD);
  CU_ASSERT_EQUAL (
      turn_decide (&branch, &behind, OWN_INCARNATION, true, REQUEST),
      TURN_RELOAD);
  CU_ASSERT_EQUAL (
      turn_decide (&branch, &stale, OWN_INCARNATION, true, REQUEST),
      TURN_STALE);
}

CU_TestInfo turn_tests[]
    = { { "runs at the next turn", test_runs_at_the_next_turn },
        { "a foreign cursor runs only idempotent calls",
          test_foreign_cursor_runs_only_idempotent_calls },
        { "a call in flight is joined, or the branch is busy",
          test_call_in_flight_is_joined_or_busy },
        { "a finished call is replayed", test_finished_call_is_replayed },
        { "a closed turn never runs again",
          test_closed_turn_never_runs_again },
        { "a failed call keeps its turn", test_failed_call_keeps_its_turn },
        { "an unknown history is reloaded", test_unknown_history_is_reloaded },
        CU_TEST_INFO_NULL };
