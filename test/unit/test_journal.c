#include "fake_platform.h"
#include "journal/journal.h"
#include "suites.h"
#include <string.h>

/* The journals of two processes in one event loop. */
struct fixture
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
  struct journal_takeover taken;
};

static const struct budget_amount GRANT = { 100, 10, 0 };

static void
handle_moved_from_first (void *data, const char *program)
{
  ((struct fixture *)data)->moved_from_first++;
}

static void
handle_moved_from_second (void *data, const char *program)
{
}

static struct journal *
open_journal (struct fixture *fixture, uint64_t process,
              journal_moved_handler *handle_moved)
{
  struct journal_options options = { .loop = fixture->fake.loop,
                                     .platform = &fixture->fake.client,
                                     .process = process,
                                     .batch_delay_ms = 0,
                                     .handle_moved = handle_moved,
                                     .data = fixture };

  return journal_create (&options);
}

static void
fixture_start (struct fixture *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  fake_platform_start (&fixture->fake);
  fixture->first = open_journal (fixture, 1, handle_moved_from_first);
  fixture->second = open_journal (fixture, 2, handle_moved_from_second);
}

static void
fixture_stop (struct fixture *fixture)
{
  fetcher_destroy (fixture->fake.fetcher);
  fixture->fake.fetcher = NULL;
  journal_destroy (fixture->first);
  journal_destroy (fixture->second);
  fake_platform_stop (&fixture->fake);
}

static void
handle_status (void *data, enum journal_status status)
{
  struct outcome *outcome = data;

  outcome->done = true;
  outcome->status = status;
}

static void
handle_taken (void *data, const struct journal_takeover *taken)
{
  struct outcome *outcome = data;

  outcome->done = true;
  outcome->status = taken->status;
  outcome->taken = *taken;
}

static enum journal_status
record_grant (struct fixture *fixture, struct journal *journal)
{
  struct outcome outcome = { 0 };

  journal_record_grant (journal, "p", GRANT, handle_status, &outcome);
  fake_platform_run (&fixture->fake, &outcome.done);
  return outcome.status;
}

static enum journal_status
record_intent (struct fixture *fixture, struct journal *journal, uint32_t turn)
{
  struct outcome outcome = { 0 };

  journal_record_intent (journal, "p", 0, turn, handle_status, &outcome);
  fake_platform_run (&fixture->fake, &outcome.done);
  return outcome.status;
}

static struct journal_takeover
take_over (struct fixture *fixture, struct journal *journal, uint64_t process,
           uint32_t turn)
{
  struct outcome outcome = { 0 };

  journal_take_over (journal, process, "p", 0, turn, handle_taken, &outcome);
  fake_platform_run (&fixture->fake, &outcome.done);
  return outcome.taken;
}

static void
test_takeover_returns_records (void)
{
  struct fixture fixture;
  struct journal_takeover taken;

  fixture_start (&fixture);
  CU_ASSERT_EQUAL (record_grant (&fixture, fixture.first), JOURNAL_RECORDED);
  CU_ASSERT_EQUAL (record_intent (&fixture, fixture.first, 4),
                   JOURNAL_RECORDED);
  taken = take_over (&fixture, fixture.second, 1, 4);
  CU_ASSERT_EQUAL (taken.status, JOURNAL_RECORDED);
  CU_ASSERT_TRUE (taken.found);
  CU_ASSERT_TRUE (taken.has_intent);
  CU_ASSERT_EQUAL (taken.granted.tokens, 100);
  taken = take_over (&fixture, fixture.second, 1, 5);
  CU_ASSERT_FALSE (taken.has_intent);
  fixture_stop (&fixture);
}

/* A process from which a program was taken must not record anything for it,
   and must be told of the takeover.  */
static void
test_no_records_after_takeover (void)
{
  struct fixture fixture;

  fixture_start (&fixture);
  record_grant (&fixture, fixture.first);
  take_over (&fixture, fixture.second, 1, 0);
  CU_ASSERT_EQUAL (record_intent (&fixture, fixture.first, 0), JOURNAL_MOVED);
  CU_ASSERT_EQUAL (fixture.moved_from_first, 1);
  CU_ASSERT_EQUAL (record_grant (&fixture, fixture.first), JOURNAL_MOVED);
  fixture_stop (&fixture);
}

/* The same holds for a process whose journal had not been written yet.  */
static void
test_unwritten_journal_is_fenced (void)
{
  struct fixture fixture;
  struct journal_takeover taken;

  fixture_start (&fixture);
  taken = take_over (&fixture, fixture.second, 1, 0);
  CU_ASSERT_EQUAL (taken.status, JOURNAL_RECORDED);
  CU_ASSERT_FALSE (taken.found);
  CU_ASSERT_EQUAL (record_intent (&fixture, fixture.first, 0), JOURNAL_MOVED);
  fixture_stop (&fixture);
}

/* Records and takeovers must succeed although the platform loses a request or
   a response.  */
static void
test_lost_responses (void)
{
  struct fixture fixture;

  fixture_start (&fixture);
  record_grant (&fixture, fixture.first);
  fixture.fake.lost_responses = 1;
  CU_ASSERT_EQUAL (record_intent (&fixture, fixture.first, 1),
                   JOURNAL_RECORDED);
  fixture.fake.lost_requests = 1;
  CU_ASSERT_EQUAL (record_intent (&fixture, fixture.first, 2),
                   JOURNAL_RECORDED);
  fixture.fake.lost_responses = 1;
  CU_ASSERT_EQUAL (take_over (&fixture, fixture.second, 1, 2).status,
                   JOURNAL_RECORDED);
  CU_ASSERT_TRUE (take_over (&fixture, fixture.second, 1, 2).has_intent);
  CU_ASSERT_EQUAL (record_intent (&fixture, fixture.first, 3), JOURNAL_MOVED);
  fixture_stop (&fixture);
}

static void
test_outage_is_reported_immediately (void)
{
  struct fixture fixture;

  fixture_start (&fixture);
  record_grant (&fixture, fixture.first);
  fixture.fake.down = true;
  CU_ASSERT_EQUAL (record_intent (&fixture, fixture.first, 1),
                   JOURNAL_UNAVAILABLE);
  CU_ASSERT_TRUE (journal_is_down (fixture.first));
  CU_ASSERT_EQUAL (take_over (&fixture, fixture.second, 1, 1).status,
                   JOURNAL_UNAVAILABLE);
  fixture_stop (&fixture);
}

static void
test_program_returns_after_takeover (void)
{
  struct fixture fixture;
  struct journal_takeover taken;

  fixture_start (&fixture);
  record_grant (&fixture, fixture.first);
  record_intent (&fixture, fixture.first, 1);
  take_over (&fixture, fixture.second, 1, 2);
  record_grant (&fixture, fixture.second);
  record_intent (&fixture, fixture.second, 5);
  taken = take_over (&fixture, fixture.first, 2, 5);
  CU_ASSERT_TRUE (taken.has_intent);
  CU_ASSERT_EQUAL (record_intent (&fixture, fixture.second, 6), JOURNAL_MOVED);
  CU_ASSERT_EQUAL (record_grant (&fixture, fixture.first), JOURNAL_RECORDED);
  CU_ASSERT_EQUAL (record_intent (&fixture, fixture.first, 7),
                   JOURNAL_RECORDED);
  /* A cursor issued by the second process leads back to the first.  */
  taken = take_over (&fixture, fixture.second, 2, 7);
  CU_ASSERT_TRUE (taken.has_intent);
  fixture_stop (&fixture);
}

static void
test_program_returns_after_handover (void)
{
  struct fixture fixture;
  struct outcome outcome = { 0 };
  struct journal_takeover taken;

  fixture_start (&fixture);
  record_grant (&fixture, fixture.first);
  journal_hand_over (fixture.first, "p", 2, handle_status, &outcome);
  fake_platform_run (&fixture.fake, &outcome.done);
  CU_ASSERT_EQUAL (outcome.status, JOURNAL_RECORDED);
  CU_ASSERT_EQUAL (record_intent (&fixture, fixture.first, 1), JOURNAL_MOVED);
  journal_accept_handover (fixture.second, "p");
  CU_ASSERT_EQUAL (record_intent (&fixture, fixture.second, 1),
                   JOURNAL_RECORDED);
  outcome.done = false;
  journal_hand_over (fixture.second, "p", 1, handle_status, &outcome);
  fake_platform_run (&fixture.fake, &outcome.done);
  journal_accept_handover (fixture.first, "p");
  CU_ASSERT_EQUAL (record_intent (&fixture, fixture.first, 2),
                   JOURNAL_RECORDED);
  taken = take_over (&fixture, fixture.second, 2, 2);
  CU_ASSERT_EQUAL (taken.status, JOURNAL_RECORDED);
  CU_ASSERT_TRUE (taken.has_intent);
  fixture_stop (&fixture);
}

/* Removing a program must not remove its mark, which would let this process
   record for the program again.  */
static void
test_removed_program_keeps_mark (void)
{
  struct fixture fixture;

  fixture_start (&fixture);
  record_grant (&fixture, fixture.first);
  take_over (&fixture, fixture.second, 1, 0);
  CU_ASSERT_EQUAL (record_intent (&fixture, fixture.first, 0), JOURNAL_MOVED);
  journal_remove_program (fixture.first, "p");
  journal_record_grant (fixture.first, "q", GRANT, NULL, NULL);
  CU_ASSERT_EQUAL (record_intent (&fixture, fixture.first, 0), JOURNAL_MOVED);
  fixture_stop (&fixture);
}

CU_TestInfo journal_tests[] = {
  { "a takeover returns what was recorded", test_takeover_returns_records },
  { "no records are accepted after a takeover",
    test_no_records_after_takeover },
  { "a process that never wrote is fenced, too",
    test_unwritten_journal_is_fenced },
  { "responses are lost before and after the write takes effect",
    test_lost_responses },
  { "an outage is reported immediately", test_outage_is_reported_immediately },
  { "a program returns after a takeover",
    test_program_returns_after_takeover },
  { "a program returns after a handover",
    test_program_returns_after_handover },
  { "removing a program keeps its mark", test_removed_program_keeps_mark },
  CU_TEST_INFO_NULL
};
