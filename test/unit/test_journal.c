#include "fake_platform.h"
#include "journal/journal.h"
#include "suites.h"
#include <string.h>

/* Two processes' journals on one loop. */
struct pair
{
  struct fake_platform fake;
  struct journal *first;
  struct journal *second;
  int moved_from_first;
};

struct outcome
{
  bool done;
  enum journal_status status;
  struct journal_taken taken;
};

static const struct budget_amount GRANT = { 100, 10, 0 };

static void
handle_moved_from_first (void *data, const char *program)
{
  ((struct pair *)data)->moved_from_first++;
}

static void
handle_moved_from_second (void *data, const char *program)
{
}

static struct journal *
open_journal (struct pair *pair, uint64_t process,
              journal_moved_handler *handle_moved)
{
  struct journal_options options = { .loop = pair->fake.loop,
                                     .platform = &pair->fake.client,
                                     .process = process,
                                     .window_ms = 0,
                                     .handle_moved = handle_moved,
                                     .data = pair };

  return journal_create (&options);
}

static void
start (struct pair *pair)
{
  memset (pair, 0, sizeof *pair);
  fake_platform_start (&pair->fake);
  pair->first = open_journal (pair, 1, handle_moved_from_first);
  pair->second = open_journal (pair, 2, handle_moved_from_second);
}

static void
stop (struct pair *pair)
{
  fetcher_destroy (pair->fake.fetcher);
  pair->fake.fetcher = NULL;
  journal_destroy (pair->first);
  journal_destroy (pair->second);
  fake_platform_stop (&pair->fake);
}

static void
handle_status (void *data, enum journal_status status)
{
  struct outcome *outcome = data;

  outcome->done = true;
  outcome->status = status;
}

static void
handle_taken (void *data, const struct journal_taken *taken)
{
  struct outcome *outcome = data;

  outcome->done = true;
  outcome->status = taken->status;
  outcome->taken = *taken;
}

static enum journal_status
grant (struct pair *pair, struct journal *journal)
{
  struct outcome outcome = { 0 };

  journal_grant (journal, "p", GRANT, handle_status, &outcome);
  fake_platform_run (&pair->fake, &outcome.done);
  return outcome.status;
}

static enum journal_status
intend (struct pair *pair, struct journal *journal, uint32_t turn)
{
  struct outcome outcome = { 0 };

  journal_intent (journal, "p", 0, turn, handle_status, &outcome);
  fake_platform_run (&pair->fake, &outcome.done);
  return outcome.status;
}

static struct journal_taken
take (struct pair *pair, struct journal *journal, uint64_t process,
      uint32_t turn)
{
  struct outcome outcome = { 0 };

  journal_take (journal, process, "p", 0, turn, handle_taken, &outcome);
  fake_platform_run (&pair->fake, &outcome.done);
  return outcome.taken;
}

static void
test_take_tells_what_was_recorded (void)
{
  struct pair pair;
  struct journal_taken taken;

  start (&pair);
  CU_ASSERT_EQUAL (grant (&pair, pair.first), JOURNAL_RECORDED);
  CU_ASSERT_EQUAL (intend (&pair, pair.first, 4), JOURNAL_RECORDED);
  taken = take (&pair, pair.second, 1, 4);
  CU_ASSERT_EQUAL (taken.status, JOURNAL_RECORDED);
  CU_ASSERT_TRUE (taken.found);
  CU_ASSERT_TRUE (taken.has_intent);
  CU_ASSERT_EQUAL (taken.granted.tokens, 100);
  taken = take (&pair, pair.second, 1, 5);
  CU_ASSERT_FALSE (taken.has_intent);
  stop (&pair);
}

static void
test_taken_program_takes_no_more_records (void)
{
  struct pair pair;

  start (&pair);
  grant (&pair, pair.first);
  take (&pair, pair.second, 1, 0);
  CU_ASSERT_EQUAL (intend (&pair, pair.first, 0), JOURNAL_MOVED);
  CU_ASSERT_EQUAL (pair.moved_from_first, 1);
  CU_ASSERT_EQUAL (grant (&pair, pair.first), JOURNAL_MOVED);
  stop (&pair);
}

static void
test_process_that_never_wrote_is_fenced_too (void)
{
  struct pair pair;
  struct journal_taken taken;

  start (&pair);
  taken = take (&pair, pair.second, 1, 0);
  CU_ASSERT_EQUAL (taken.status, JOURNAL_RECORDED);
  CU_ASSERT_FALSE (taken.found);
  CU_ASSERT_EQUAL (intend (&pair, pair.first, 0), JOURNAL_MOVED);
  stop (&pair);
}

static void
test_lost_answers_on_both_sides_of_the_effect (void)
{
  struct pair pair;

  start (&pair);
  grant (&pair, pair.first);
  pair.fake.lost_responses = 1;
  CU_ASSERT_EQUAL (intend (&pair, pair.first, 1), JOURNAL_RECORDED);
  pair.fake.lost_requests = 1;
  CU_ASSERT_EQUAL (intend (&pair, pair.first, 2), JOURNAL_RECORDED);
  pair.fake.lost_responses = 1;
  CU_ASSERT_EQUAL (take (&pair, pair.second, 1, 2).status, JOURNAL_RECORDED);
  CU_ASSERT_TRUE (take (&pair, pair.second, 1, 2).has_intent);
  CU_ASSERT_EQUAL (intend (&pair, pair.first, 3), JOURNAL_MOVED);
  stop (&pair);
}

static void
test_outage_is_told_at_once (void)
{
  struct pair pair;

  start (&pair);
  grant (&pair, pair.first);
  pair.fake.down = true;
  CU_ASSERT_EQUAL (intend (&pair, pair.first, 1), JOURNAL_UNAVAILABLE);
  CU_ASSERT_TRUE (journal_is_down (pair.first));
  CU_ASSERT_EQUAL (take (&pair, pair.second, 1, 1).status,
                   JOURNAL_UNAVAILABLE);
  stop (&pair);
}

static void
test_program_comes_back (void)
{
  struct pair pair;
  struct journal_taken taken;

  start (&pair);
  grant (&pair, pair.first);
  intend (&pair, pair.first, 1);
  take (&pair, pair.second, 1, 2);
  grant (&pair, pair.second);
  intend (&pair, pair.second, 5);
  taken = take (&pair, pair.first, 2, 5);
  CU_ASSERT_TRUE (taken.has_intent);
  CU_ASSERT_EQUAL (intend (&pair, pair.second, 6), JOURNAL_MOVED);
  CU_ASSERT_EQUAL (grant (&pair, pair.first), JOURNAL_RECORDED);
  CU_ASSERT_EQUAL (intend (&pair, pair.first, 7), JOURNAL_RECORDED);
  /* A cursor of the second process leads back to the first.  */
  taken = take (&pair, pair.second, 2, 7);
  CU_ASSERT_TRUE (taken.has_intent);
  stop (&pair);
}

static void
test_handed_over_program_comes_back (void)
{
  struct pair pair;
  struct outcome outcome = { 0 };
  struct journal_taken taken;

  start (&pair);
  grant (&pair, pair.first);
  journal_hand_over (pair.first, "p", 2, handle_status, &outcome);
  fake_platform_run (&pair.fake, &outcome.done);
  CU_ASSERT_EQUAL (outcome.status, JOURNAL_RECORDED);
  CU_ASSERT_EQUAL (intend (&pair, pair.first, 1), JOURNAL_MOVED);
  journal_accept (pair.second, "p");
  CU_ASSERT_EQUAL (intend (&pair, pair.second, 1), JOURNAL_RECORDED);
  outcome.done = false;
  journal_hand_over (pair.second, "p", 1, handle_status, &outcome);
  fake_platform_run (&pair.fake, &outcome.done);
  journal_accept (pair.first, "p");
  CU_ASSERT_EQUAL (intend (&pair, pair.first, 2), JOURNAL_RECORDED);
  taken = take (&pair, pair.second, 2, 2);
  CU_ASSERT_EQUAL (taken.status, JOURNAL_RECORDED);
  CU_ASSERT_TRUE (taken.has_intent);
  stop (&pair);
}

static void
test_forgotten_program_keeps_its_mark (void)
{
  struct pair pair;

  start (&pair);
  grant (&pair, pair.first);
  take (&pair, pair.second, 1, 0);
  CU_ASSERT_EQUAL (intend (&pair, pair.first, 0), JOURNAL_MOVED);
  journal_forget (pair.first, "p");
  journal_grant (pair.first, "q", GRANT, NULL, NULL);
  CU_ASSERT_EQUAL (intend (&pair, pair.first, 0), JOURNAL_MOVED);
  stop (&pair);
}

CU_TestInfo journal_tests[]
    = { { "a take tells what was recorded",
          test_take_tells_what_was_recorded },
        { "a taken program takes no more records",
          test_taken_program_takes_no_more_records },
        { "a process that never wrote is fenced too",
          test_process_that_never_wrote_is_fenced_too },
        { "lost answers on both sides of the effect",
          test_lost_answers_on_both_sides_of_the_effect },
        { "an outage is told at once", test_outage_is_told_at_once },
        { "a program comes back", test_program_comes_back },
        { "a program that was handed over comes back",
          test_handed_over_program_comes_back },
        { "a forgotten program keeps its mark",
          test_forgotten_program_keeps_its_mark },
        CU_TEST_INFO_NULL };
