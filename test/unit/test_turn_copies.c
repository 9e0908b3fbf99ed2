#include "policy/turn_copies.h"
#include "suites.h"

enum
{
  KEEPERS = 9,
  CENTRES = 3,
  WANTED = 3,
  START_MS = 1000,
};

static struct turn_copies
create (uint64_t group)
{
  struct replica_host hosts[KEEPERS];
  struct turn_copies copies;

  for (uint32_t i = 0; i < KEEPERS; i++)
    hosts[i] = (struct replica_host){ .hash = 100 + i,
                                      .data_centre_hash = 1 + i % CENTRES };
  turn_copies_init (&copies, group, hosts, KEEPERS, WANTED, START_MS);
  return copies;
}

/* Guards against preferred keepers that do not survive a data centre, and
   against a list that lacks some keeper.  */
static void
test_all_keepers_are_ordered (void)
{
  for (uint64_t group = 1; group <= 100; group++)
    {
      struct turn_copies copies = create (group);

      CU_ASSERT_EQUAL (copies.count, KEEPERS);
      CU_ASSERT_EQUAL (copies.preferred, WANTED);
      CU_ASSERT_NOT_EQUAL (copies.keepers[0].centre, copies.keepers[1].centre);
      CU_ASSERT_NOT_EQUAL (copies.keepers[1].centre, copies.keepers[2].centre);
      CU_ASSERT_NOT_EQUAL (copies.keepers[0].centre, copies.keepers[2].centre);
    }
}

/* Guards against more than the preferred keepers in a healthy fleet.  */
static void
test_only_preferred_keepers_are_written_to (void)
{
  struct turn_copies copies = create (5);
  struct turn_copy_keeper *keeper;
  uint32_t sent = 0;

  while ((keeper = turn_copies_next_write (&copies, START_MS)))
    {
      CU_ASSERT_PTR_EQUAL (keeper, &copies.keepers[sent]);
      turn_copies_record_asked (keeper, START_MS);
      sent++;
    }
  CU_ASSERT_EQUAL (sent, WANTED);
}

/* Guards against a read in another data centre while the own one has the turn,
   and against waiting for a keeper that is known to be silent.  */
static void
test_nearest_keeper_is_read_first (void)
{
  struct turn_copies copies = create (5);
  struct turn_copy_keeper *keeper;

  for (uint64_t centre = 1; centre <= CENTRES; centre++)
    {
      copies.near_centre = centre;
      keeper = turn_copies_next_read (&copies, START_MS);
      CU_ASSERT_PTR_NOT_NULL_FATAL (keeper);
      CU_ASSERT_EQUAL (keeper->centre, centre);
      keeper->is_silent = true;
      CU_ASSERT_PTR_NOT_EQUAL (turn_copies_next_read (&copies, START_MS),
                               keeper);
      keeper->is_silent = false;
    }
}

/* Guards against a certain miss while any listed keeper is not certain.  */
static void
test_miss_is_certain_only_with_all (void)
{
  struct turn_copies copies = create (5);

  for (uint32_t i = 0; i < KEEPERS; i++)
    {
      CU_ASSERT_EQUAL (
          turn_copies_decide_read (&copies, START_MS + 1, START_MS),
          TURN_READ_PENDING);
      CU_ASSERT_EQUAL (
          turn_copies_decide_read (&copies, START_MS + 1, START_MS + 1),
          TURN_READ_NOT_CERTAIN);
      copies.keepers[i].copy = TURN_COPY_MISSING_FOR_CERTAIN;
    }
  CU_ASSERT_EQUAL (turn_copies_decide_read (&copies, START_MS + 1, START_MS),
                   TURN_READ_NO_SUCH_TURN);
  copies.listed++;
  CU_ASSERT_EQUAL (turn_copies_decide_read (&copies, START_MS + 1, START_MS),
                   TURN_READ_NOT_CERTAIN);
}

/* Guards against a turn that counts with fewer copies than needed, also when
   few keepers are left that could hold one.  */
static void
test_write_needs_all_copies (void)
{
  struct turn_copies copies = create (5);

  copies.keepers[0].copy = copies.keepers[1].copy = TURN_COPY_HELD;
  CU_ASSERT_EQUAL (turn_copies_decide_write (&copies, START_MS + 10000),
                   TURN_WRITE_PENDING);
  for (uint32_t i = 2; i < KEEPERS; i++)
    copies.keepers[i].copy = TURN_COPY_REFUSED;
  CU_ASSERT_EQUAL (turn_copies_decide_write (&copies, START_MS),
                   TURN_WRITE_FAILED);
  copies.keepers[8].copy = TURN_COPY_HELD;
  CU_ASSERT_EQUAL (turn_copies_decide_write (&copies, START_MS),
                   TURN_WRITE_DURABLE);
}

CU_TestInfo turn_copies_tests[] = {
  { "all keepers are ordered", test_all_keepers_are_ordered },
  { "only preferred keepers are written to",
    test_only_preferred_keepers_are_written_to },
  { "the nearest keeper is read first", test_nearest_keeper_is_read_first },
  { "a miss is certain only with all", test_miss_is_certain_only_with_all },
  { "a write needs all copies", test_write_needs_all_copies },
  CU_TEST_INFO_NULL
};
