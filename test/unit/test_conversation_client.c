#include "common/id.h"
#include "conversation/turn.h"
#include "fake_keepers.h"
#include "suites.h"
#include <string.h>

enum
{
  KEEPERS = 9,
  CENTRES = 3,
  LOSSES = 2,
  CUSTOMER = 7,
  START_MS = 1000,
  DEADLINE_MS = 4000, /* of a turn */
  ROUND_TRIP_MS = 2,
  AT_ONCE_MS = 50, /* the callers' bound for a refusal that is known */
  PENDING = -1,
};

/* A client of simulated keepers, with virtual time. */
struct fixture
{
  struct fake_keepers fleet;
  struct conversations *client;
  int64_t now_ms;
  int verdict; /* of the last task; PENDING until then */
  uint32_t calls;
  uint64_t group;
  struct buf text;
};

static void
fixture_init (struct fixture *fixture, uint32_t count)
{
  struct conversations_options options
      = { .data_centre = "a", .losses = LOSSES };

  *fixture = (struct fixture){ .now_ms = START_MS };
  fake_keepers_init (&fixture->fleet, count, CENTRES);
  options.transport = &fixture->fleet.base;
  fixture->client = fixture->fleet.client = conversations_create (&options);
  fixture->fleet.now_ms = START_MS;
  fake_keepers_list (&fixture->fleet, count);
}

static void
fixture_release (struct fixture *fixture)
{
  fake_keepers_release (&fixture->fleet);
  conversations_destroy (fixture->client);
  buf_release (&fixture->text);
}

static void
handle_read (void *data, enum turn_read_verdict verdict, uint64_t group,
             const char *text, size_t len)
{
  struct fixture *fixture = data;

  fixture->verdict = (int)verdict;
  fixture->calls++;
  fixture->group = group;
  buf_append (&fixture->text, text, len);
}

static void
handle_written (void *data, bool is_durable)
{
  struct fixture *fixture = data;

  fixture->verdict = is_durable;
  fixture->calls++;
}

/* Lets LIMIT_MS pass, or less if the task ends; returns how long it took.  */
static int64_t
run (struct fixture *fixture, int64_t limit_ms)
{
  int64_t start_ms = fixture->now_ms;

  while (fixture->verdict == PENDING && fixture->now_ms - start_ms < limit_ms)
    fake_keepers_run (&fixture->fleet, ++fixture->now_ms);
  return fixture->now_ms - start_ms;
}

static struct conversation_task *
start_write (struct fixture *fixture, const char *id, const char *previous)
{
  struct conversation_turn turn = { .group = 11,
                                    .customer = CUSTOMER,
                                    .turn = id,
                                    .previous = previous,
                                    .prefix = "1i1o",
                                    .prefix_len = previous ? 4 : 0,
                                    .input = id,
                                    .input_len = strlen (id),
                                    .output = "o",
                                    .output_len = 1,
                                    .now_ms = fixture->now_ms };

  fixture->verdict = PENDING;
  return conversations_write (fixture->client, &turn, handle_written, fixture);
}

static struct conversation_task *
start_read (struct fixture *fixture, uint64_t customer, const char *turn)
{
  struct conversation_query query
      = { .customer = customer,
          .turn = turn,
          .program = "p",
          .now_ms = fixture->now_ms,
          .deadline_at_ms = fixture->now_ms + DEADLINE_MS };

  fixture->verdict = PENDING;
  buf_release (&fixture->text);
  return conversations_read (fixture->client, &query, handle_read, fixture);
}

static int64_t
write_turn (struct fixture *fixture, const char *id, const char *previous)
{
  start_write (fixture, id, previous);
  return run (fixture, DEADLINE_MS);
}

static int64_t
read_turn (struct fixture *fixture, const char *turn)
{
  start_read (fixture, CUSTOMER, turn);
  return run (fixture, DEADLINE_MS);
}

static uint32_t
centres_holding (const struct fixture *fixture, const char *turn)
{
  uint32_t seen = 0;

  for (uint32_t i = 0; i < fixture->fleet.count; i++)
    if (g_hash_table_contains (fixture->fleet.keepers[i].turns, turn))
      seen |= 1u << (fixture->fleet.keepers[i].data_centre[0] - 'a');
  return (uint32_t)__builtin_popcount (seen);
}

static void
expect_text (const struct fixture *fixture, const char *text)
{
  CU_ASSERT_EQUAL (fixture->verdict, TURN_READ_FOUND);
  CU_ASSERT_EQUAL_FATAL (fixture->text.len, strlen (text));
  CU_ASSERT_EQUAL (memcmp (fixture->text.data, text, strlen (text)), 0);
}

/* Guards against a turn with too few copies, or all in one data centre, and
   against needless copies.  */
static void
test_written_turn_has_its_copies (void)
{
  struct fixture fixture;

  fixture_init (&fixture, KEEPERS);
  CU_ASSERT_EQUAL (write_turn (&fixture, "t1", NULL), ROUND_TRIP_MS);
  CU_ASSERT_EQUAL (fixture.verdict, true);
  CU_ASSERT_EQUAL (fake_keepers_holding (&fixture.fleet, "t1"), LOSSES + 1);
  CU_ASSERT (centres_holding (&fixture, "t1") >= 2);
  read_turn (&fixture, "t1");
  expect_text (&fixture, "t1o");
  CU_ASSERT_EQUAL (fixture.group, 11);
  fixture_release (&fixture);
}

/* Guards against ending a response before all copies are acknowledged, and
   against waiting for a silent keeper longer than the 40 ms of the design.  */
static void
test_silent_keeper_is_supplemented (void)
{
  struct fixture fixture;
  int64_t took_ms;

  fixture_init (&fixture, KEEPERS);
  write_turn (&fixture, "t0", NULL);
  for (uint32_t i = 0; i < KEEPERS; i++)
    if (g_hash_table_contains (fixture.fleet.keepers[i].turns, "t0"))
      {
        fixture.fleet.keepers[i].is_silent = true;
        break;
      }
  took_ms = write_turn (&fixture, "t1", NULL);
  CU_ASSERT_EQUAL (fixture.verdict, true);
  CU_ASSERT_EQUAL (took_ms, TURN_COPIES_SUPPLEMENT_MS + ROUND_TRIP_MS);
  CU_ASSERT_EQUAL (fake_keepers_holding (&fixture.fleet, "t1"), LOSSES + 1);
  fixture_release (&fixture);
}

/* Guards against a chain whose beginning is on fewer keepers than its end.  */
static void
test_keeper_without_previous_turn_gets_the_chain (void)
{
  struct fixture fixture;
  uint32_t prefixes = 0;

  fixture_init (&fixture, KEEPERS);
  write_turn (&fixture, "1i", NULL);
  for (uint32_t i = 0; i < KEEPERS; i++)
    if (g_hash_table_remove (fixture.fleet.keepers[i].turns, "1i"))
      break;
  CU_ASSERT_EQUAL (write_turn (&fixture, "2i", "1i"), 2 * ROUND_TRIP_MS);
  CU_ASSERT_EQUAL (fixture.verdict, true);
  for (uint32_t i = 0; i < KEEPERS; i++)
    prefixes += fixture.fleet.keepers[i].prefixes;
  CU_ASSERT_EQUAL (prefixes, 1);
  CU_ASSERT_EQUAL (fake_keepers_holding (&fixture.fleet, "2i"), LOSSES + 1);
  fixture_release (&fixture);
}

/* Guards against a data centre that is cut off and cannot go on, against
   taking it for cut off before 300 ms, and against paying that time for each
   turn.  */
static void
test_cut_off_data_centre_goes_on (void)
{
  struct fixture fixture;

  fixture_init (&fixture, KEEPERS);
  fake_keepers_silence (&fixture.fleet, "b", true);
  fake_keepers_silence (&fixture.fleet, "c", true);
  CU_ASSERT_EQUAL (write_turn (&fixture, "t1", NULL), TURN_COPIES_CUT_OFF_MS);
  CU_ASSERT_EQUAL (fixture.verdict, true);
  CU_ASSERT_TRUE (conversations_may_begin (fixture.client, fixture.now_ms));
  for (int i = 0; i < TURN_COPIES_CUT_OFF_MS; i++)
    fake_keepers_run (&fixture.fleet, ++fixture.now_ms);
  CU_ASSERT_EQUAL (write_turn (&fixture, "t2", NULL), ROUND_TRIP_MS);
  read_turn (&fixture, "t2");
  expect_text (&fixture, "t2o");
  fixture_release (&fixture);
}

/* Guards against taking acknowledgements of one data centre for enough while
   another one answers.  */
static void
test_two_data_centres_are_needed (void)
{
  struct fixture fixture;

  fixture_init (&fixture, KEEPERS);
  for (uint32_t i = 0; i < KEEPERS; i++)
    fixture.fleet.keepers[i].is_on_hold
        = strcmp (fixture.fleet.keepers[i].data_centre, "a") != 0;
  start_write (&fixture, "t1", NULL);
  run (&fixture, TURN_COPIES_CUT_OFF_MS - 1);
  CU_ASSERT_EQUAL (fixture.verdict, PENDING);
  fixture.fleet.keepers[1].is_on_hold = false;
  run (&fixture, DEADLINE_MS);
  CU_ASSERT_EQUAL (fixture.verdict, true);
  fixture_release (&fixture);
}

/* Guards against a write that waits for ever for an answer that was lost, and
   against a resent turn that counts as another content.  */
static void
test_lost_answers_are_asked_for_again (void)
{
  struct fixture fixture;

  fixture_init (&fixture, LOSSES + 1);
  for (uint32_t i = 0; i < LOSSES + 1; i++)
    fixture.fleet.keepers[i].lose = 1;
  CU_ASSERT_EQUAL (write_turn (&fixture, "t1", NULL),
                   TURN_COPIES_RESEND_MS + ROUND_TRIP_MS);
  CU_ASSERT_EQUAL (fixture.verdict, true);
  for (uint32_t i = 0; i < LOSSES + 1; i++)
    fixture.fleet.keepers[i].lose = 1;
  read_turn (&fixture, "t1");
  expect_text (&fixture, "t1o");
  fixture_release (&fixture);
}

/* Guards against acknowledgements that count twice.  */
static void
test_repeated_answers_count_once (void)
{
  struct fixture fixture;

  fixture_init (&fixture, KEEPERS);
  fixture.fleet.answer_twice = true;
  write_turn (&fixture, "t1", NULL);
  CU_ASSERT_EQUAL (fixture.verdict, true);
  CU_ASSERT_EQUAL (fake_keepers_holding (&fixture.fleet, "t1"), LOSSES + 1);
  read_turn (&fixture, "t1");
  read_turn (&fixture, "none");
  CU_ASSERT_EQUAL (fixture.verdict, TURN_READ_NO_SUCH_TURN);
  CU_ASSERT_EQUAL (fixture.calls, 3);
  fixture_release (&fixture);
}

/* Guards against 404 for a turn that a keeper may have lost or has not been
   asked for, and against a late 503.  */
static void
test_miss_needs_all_keepers (void)
{
  struct fixture fixture;

  fixture_init (&fixture, KEEPERS);
  CU_ASSERT_EQUAL (read_turn (&fixture, "none"), 2 * ROUND_TRIP_MS);
  CU_ASSERT_EQUAL (fixture.verdict, TURN_READ_NO_SUCH_TURN);
  fixture.fleet.keepers[4].is_fresh = true;
  CU_ASSERT (read_turn (&fixture, "none") <= 2 * ROUND_TRIP_MS);
  CU_ASSERT_EQUAL (fixture.verdict, TURN_READ_NOT_CERTAIN);
  fixture.fleet.keepers[4].is_fresh = false;
  fixture.fleet.keepers[4].is_silent = true;
  CU_ASSERT_EQUAL (read_turn (&fixture, "none"), TURN_COPIES_READ_MS);
  CU_ASSERT_EQUAL (fixture.verdict, TURN_READ_NOT_CERTAIN);
  fake_keepers_list (&fixture.fleet, 0);
  CU_ASSERT_EQUAL (read_turn (&fixture, "none"), 1);
  CU_ASSERT_EQUAL (fixture.verdict, TURN_READ_NOT_CERTAIN);
  fixture_release (&fixture);
}

/* Guards against a read that waits for keepers that were silent before it, and
   against one that gives up a keeper that is slow or back again.  */
static void
test_known_silence_is_not_waited_for (void)
{
  struct fixture fixture;

  fixture_init (&fixture, KEEPERS);
  fixture.fleet.keepers[4].is_silent = true;
  read_turn (&fixture, "none");
  for (int i = 0; i < 3; i++)
    {
      CU_ASSERT (read_turn (&fixture, "none") <= AT_ONCE_MS);
      CU_ASSERT_EQUAL (fixture.verdict, TURN_READ_NOT_CERTAIN);
    }
  fake_keepers_silence (&fixture.fleet, NULL, true);
  read_turn (&fixture, "none");
  CU_ASSERT (read_turn (&fixture, "none") <= AT_ONCE_MS);
  CU_ASSERT_EQUAL (fixture.verdict, TURN_READ_NOT_CERTAIN);
  /* All answer again, but this host has not heard them yet. */
  fake_keepers_silence (&fixture.fleet, NULL, false);
  read_turn (&fixture, "none");
  CU_ASSERT_EQUAL (fixture.verdict, TURN_READ_NO_SUCH_TURN);
  fixture_release (&fixture);
}

/* Guards against 404 from a host whose list lacks the keepers that have the
   turn, while all that it knows are certain.  */
static void
test_miss_needs_the_same_list (void)
{
  struct fixture fixture;

  fixture_init (&fixture, KEEPERS);
  fake_keepers_list (&fixture.fleet, KEEPERS - 1);
  read_turn (&fixture, "none");
  CU_ASSERT_EQUAL (fixture.verdict, TURN_READ_NOT_CERTAIN);
  fake_keepers_list (&fixture.fleet, KEEPERS);
  read_turn (&fixture, "none");
  CU_ASSERT_EQUAL (fixture.verdict, TURN_READ_NO_SUCH_TURN);
  fixture_release (&fixture);
}

/* Guards against handing a turn to another customer.  */
static void
test_turn_of_another_customer_is_not_read (void)
{
  struct fixture fixture;

  fixture_init (&fixture, KEEPERS);
  write_turn (&fixture, "t1", NULL);
  start_read (&fixture, CUSTOMER + 1, "t1");
  run (&fixture, DEADLINE_MS);
  CU_ASSERT_EQUAL (fixture.verdict, TURN_READ_NO_SUCH_TURN);
  CU_ASSERT_EQUAL (fixture.text.len, 0);
  fixture_release (&fixture);
}

/* Guards against a read that fails while one keeper has the turn, in any data
   centre, and takes longer than the 30 ms for the first keeper.  */
static void
test_any_keeper_with_the_turn_suffices (void)
{
  for (uint32_t holder = 0; holder < KEEPERS; holder++)
    {
      struct fixture fixture;

      fixture_init (&fixture, KEEPERS);
      fake_keepers_silence (&fixture.fleet, NULL, true);
      fixture.fleet.keepers[holder].is_silent = false;
      start_write (&fixture, "t1", NULL);
      run (&fixture, TURN_COPIES_CUT_OFF_MS);
      CU_ASSERT_EQUAL (fake_keepers_holding (&fixture.fleet, "t1"), 1);
      fixture.calls = 0;
      CU_ASSERT (read_turn (&fixture, "t1")
                 <= TURN_COPIES_READ_ONE_MS + ROUND_TRIP_MS);
      expect_text (&fixture, "t1o");
      /* The write still waits for others, with the fixture as its data. */
      fake_keepers_silence (&fixture.fleet, NULL, false);
      fixture.verdict = PENDING;
      run (&fixture, DEADLINE_MS);
      CU_ASSERT_EQUAL (fixture.verdict, true);
      fixture_release (&fixture);
    }
}

/* Guards against chains that begin while they cannot become durable, and
   against keepers that stay unused after they are back.  */
static void
test_chains_do_not_begin_without_keepers (void)
{
  struct fixture fixture;
  struct conversation_task *task;

  fixture_init (&fixture, KEEPERS);
  CU_ASSERT_TRUE (conversations_may_begin (fixture.client, fixture.now_ms));
  fake_keepers_silence (&fixture.fleet, NULL, true);
  task = start_write (&fixture, "t1", NULL);
  run (&fixture, 2 * TURN_COPIES_CUT_OFF_MS);
  CU_ASSERT_EQUAL (fixture.verdict, PENDING);
  CU_ASSERT_FALSE (conversations_may_begin (fixture.client, fixture.now_ms));
  conversation_task_cancel (task);
  fake_keepers_silence (&fixture.fleet, NULL, false);
  run (&fixture, 2 * TURN_COPIES_RESEND_MS);
  CU_ASSERT_TRUE (conversations_may_begin (fixture.client, fixture.now_ms));
  CU_ASSERT_EQUAL (fixture.calls, 0);
  fake_keepers_list (&fixture.fleet, 0);
  CU_ASSERT_FALSE (conversations_may_begin (fixture.client, fixture.now_ms));
  fixture_release (&fixture);
}

/* Guards against a turn that counts though keepers were full, and against new
   chains that fill them.  */
static void
test_full_keepers_refuse (void)
{
  struct fixture fixture;

  fixture_init (&fixture, KEEPERS);
  fixture.fleet.keepers[0].is_full = true;
  fixture.fleet.keepers[4].is_full = true;
  /* At worst, the two full keepers are asked one after the other. */
  CU_ASSERT (write_turn (&fixture, "t1", NULL) <= 3 * ROUND_TRIP_MS);
  CU_ASSERT_EQUAL (fixture.verdict, true);
  for (uint32_t i = 0; i < KEEPERS; i++)
    fixture.fleet.keepers[i].is_full = true;
  write_turn (&fixture, "t2", NULL);
  CU_ASSERT_EQUAL (fixture.verdict, false);
  CU_ASSERT_FALSE (conversations_may_begin (fixture.client, fixture.now_ms));
  fixture_release (&fixture);
}

/* Guards against two contents under one id.  */
static void
test_other_content_is_refused (void)
{
  struct fixture fixture;

  fixture_init (&fixture, KEEPERS);
  write_turn (&fixture, "2i", "1i");
  CU_ASSERT_EQUAL (fixture.verdict, true);
  write_turn (&fixture, "2i", NULL);
  CU_ASSERT_EQUAL (fixture.verdict, false);
  read_turn (&fixture, "2i");
  expect_text (&fixture, "1i1o2io");
  fixture_release (&fixture);
}

/* Guards against acknowledgements of a keeper that has left the list.  */
static void
test_keepers_may_change_during_a_write (void)
{
  struct fixture fixture;
  uint32_t listed = 0;

  fixture_init (&fixture, KEEPERS);
  start_write (&fixture, "t1", NULL);
  run (&fixture, 1);
  fake_keepers_list (&fixture.fleet, 4);
  run (&fixture, DEADLINE_MS);
  CU_ASSERT_EQUAL (fixture.verdict, true);
  for (uint32_t i = 0; i < 4; i++)
    listed += g_hash_table_contains (fixture.fleet.keepers[i].turns, "t1");
  CU_ASSERT (listed >= LOSSES + 1);
  fixture_release (&fixture);
}

/* Guards against texts without a bound on a host with little memory.  */
static void
test_held_memory_is_bounded (void)
{
  struct conversations_options options
      = { .data_centre = "a", .max_held_bytes = 100 };
  struct conversations *client = conversations_create (&options);

  CU_ASSERT_TRUE (conversations_hold (client, 60));
  CU_ASSERT_FALSE (conversations_hold (client, 41));
  CU_ASSERT_FALSE (conversations_hold (client, SIZE_MAX));
  CU_ASSERT_TRUE (conversations_hold (client, 40));
  conversations_release (client, 100);
  CU_ASSERT_TRUE (conversations_hold (client, 100));
  conversations_destroy (client);
}

CU_TestInfo conversation_client_tests[] = {
  { "a written turn has its copies", test_written_turn_has_its_copies },
  { "a silent keeper is supplemented", test_silent_keeper_is_supplemented },
  { "a keeper without the previous turn gets the chain",
    test_keeper_without_previous_turn_gets_the_chain },
  { "a cut-off data centre goes on", test_cut_off_data_centre_goes_on },
  { "two data centres are needed", test_two_data_centres_are_needed },
  { "lost answers are asked for again",
    test_lost_answers_are_asked_for_again },
  { "repeated answers count once", test_repeated_answers_count_once },
  { "a miss needs all keepers", test_miss_needs_all_keepers },
  { "known silence is not waited for", test_known_silence_is_not_waited_for },
  { "a miss needs the same list", test_miss_needs_the_same_list },
  { "a turn of another customer is not read",
    test_turn_of_another_customer_is_not_read },
  { "any keeper with the turn suffices",
    test_any_keeper_with_the_turn_suffices },
  { "chains do not begin without keepers",
    test_chains_do_not_begin_without_keepers },
  { "full keepers refuse", test_full_keepers_refuse },
  { "another content is refused", test_other_content_is_refused },
  { "keepers may change during a write",
    test_keepers_may_change_during_a_write },
  { "held memory is bounded", test_held_memory_is_bounded },
  CU_TEST_INFO_NULL
};
