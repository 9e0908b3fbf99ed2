#include "program/history.h"
#include "suites.h"
#include <stdlib.h>
#include <string.h>

static void
add_record (struct history *history, History__Record *record)
{
  size_t len = history__record__get_packed_size (record);
  uint8_t *packed = malloc (len + 1);

  history__record__pack (record, packed);
  history_add (history, packed, len);
  free (packed);
}

/* Adds a valid turn and returns the history hash after it.  */
static uint64_t
add_turn (struct history *history, uint32_t branch, uint32_t number,
          uint64_t before, const char *answer, uint64_t request)
{
  History__Record record = HISTORY__RECORD__INIT;
  History__Turn turn = HISTORY__TURN__INIT;

  turn.branch = branch;
  turn.turn = number;
  turn.hash_before = before;
  turn.request_hash = request;
  turn.messages.data = (uint8_t *)"{}";
  turn.messages.len = 2;
  turn.answer.data = (uint8_t *)(uintptr_t)answer;
  turn.answer.len = strlen (answer);
  turn.is_message = true;
  turn.hash_after
      = history_turn_hash (before, "{}", 2, answer, strlen (answer));
  record.body_case = HISTORY__RECORD__BODY_TURN;
  record.turn = &turn;
  add_record (history, &record);
  return turn.hash_after;
}

/* Restores the branch at the given cursor, for the request REQUEST.  */
static bool
restore (const struct history *history, uint32_t branch, uint32_t turn,
         uint64_t hash, uint64_t request, struct branch *out,
         struct buf *messages)
{
  struct cursor cursor
      = { .branch = branch, .turn = turn, .history_hash = hash };
  const History__Turn *last;

  return history_restore_branch (history, &cursor, request, out, messages,
                                 &last);
}

static void
test_restores_turns_before_cursor (void)
{
  struct history history = { 0 };
  struct branch branch;
  struct buf messages = { 0 };
  uint64_t seed = history_branch_seed (0, 0);
  uint64_t one = add_turn (&history, 0, 0, seed, "one", 1);
  uint64_t two = add_turn (&history, 0, 1, one, "two", 2);

  /* A different turn at the same position, not part of the cursor's chain.  */
  add_turn (&history, 0, 1, one, "other", 3);
  CU_ASSERT_TRUE (restore (&history, 0, 2, two, 9, &branch, &messages));
  CU_ASSERT_EQUAL (branch.next_turn, 2);
  CU_ASSERT_PTR_NOT_NULL (strstr (messages.data, "two"));
  CU_ASSERT_PTR_NULL (strstr (messages.data, "other"));
  buf_release (&messages);
  history_release (&history);
}

static void
test_restores_outcome_of_same_request (void)
{
  struct history history = { 0 };
  struct branch branch;
  struct buf messages = { 0 };
  uint64_t seed = history_branch_seed (0, 0);
  uint64_t one = add_turn (&history, 0, 0, seed, "one", 1);

  add_turn (&history, 0, 1, one, "two", 2);
  CU_ASSERT_TRUE (restore (&history, 0, 1, one, 2, &branch, &messages));
  CU_ASSERT_EQUAL (branch.next_turn, 2);
  CU_ASSERT_TRUE (branch.has_last);
  CU_ASSERT_EQUAL (branch.last_history_hash, one);
  buf_release (&messages);
  history_release (&history);
}

static void
test_rejects_broken_chain (void)
{
  struct history history = { 0 };
  struct branch branch;
  struct buf messages = { 0 };
  uint64_t seed = history_branch_seed (0, 0);
  uint64_t one = history_turn_hash (seed, "{}", 2, "one", 3);
  uint64_t two = add_turn (&history, 0, 1, one, "two", 2);

  CU_ASSERT_FALSE (restore (&history, 0, 2, two, 9, &branch, &messages));
  add_turn (&history, 0, 0, seed, "one", 1);
  CU_ASSERT_TRUE (restore (&history, 0, 2, two, 9, &branch, &messages));
  CU_ASSERT_FALSE (restore (&history, 0, 2, two + 1, 9, &branch, &messages));
  /* A turn whose contents do not match its hash is ignored.  */
  history.records[0]->turn->answer.data[0] ^= 1;
  CU_ASSERT_FALSE (restore (&history, 0, 2, two, 9, &branch, &messages));
  buf_release (&messages);
  history_release (&history);
}

static void
test_restores_initial_messages_of_branch (void)
{
  struct history history = { 0 };
  struct branch branch;
  struct buf messages = { 0 };
  History__Record record = HISTORY__RECORD__INIT;
  History__Branch branch_record = HISTORY__BRANCH__INIT;
  uint64_t seed = history_branch_seed (3, 77);

  CU_ASSERT_FALSE (restore (&history, 3, 0, seed, 9, &branch, &messages));
  branch_record.branch = 3;
  branch_record.parent_hash = 77;
  branch_record.messages.data = (uint8_t *)"{\"p\":1}";
  branch_record.messages.len = 7;
  record.body_case = HISTORY__RECORD__BODY_BRANCH;
  record.branch = &branch_record;
  add_record (&history, &record);
  CU_ASSERT_TRUE (restore (&history, 3, 0, seed, 9, &branch, &messages));
  CU_ASSERT_STRING_EQUAL (messages.data, "{\"p\":1}");
  buf_release (&messages);
  history_release (&history);
}

CU_TestInfo history_tests[]
    = { { "restores the turns before the cursor",
          test_restores_turns_before_cursor },
        { "restores the outcome of the same request",
          test_restores_outcome_of_same_request },
        { "rejects a broken hash chain", test_rejects_broken_chain },
        { "restores the messages that a branch starts with",
          test_restores_initial_messages_of_branch },
        CU_TEST_INFO_NULL };
