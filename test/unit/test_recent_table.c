#include "common/recent_table.h"
#include "suites.h"

enum
{
  CAPACITY = 100,
  TTL_MS = 60000,
  KEY = 5,
  VALUE = 7,
};

static struct recent_table *
create_table (uint32_t capacity)
{
  struct recent_table_options options
      = { .capacity = capacity, .ttl_ms = TTL_MS };

  return recent_table_create (&options);
}

/* Guards against memory that grows with the number of keys.  */
static void
test_table_is_bounded (void)
{
  struct recent_table *table = create_table (CAPACITY);

  for (uint64_t i = 1; i <= 3 * CAPACITY; i++)
    recent_table_record (table, i, VALUE, 0);
  CU_ASSERT_EQUAL (recent_table_count (table), CAPACITY);
  CU_ASSERT_EQUAL (recent_table_find (table, 1, 0), 0);
  CU_ASSERT_EQUAL (recent_table_find (table, 3 * CAPACITY, 0), VALUE);
  CU_ASSERT_EQUAL (recent_table_find (table, 3 * CAPACITY, TTL_MS + 1), 0);
  CU_ASSERT_EQUAL (recent_table_count (table), 0);
  recent_table_destroy (table);
}

/* Guards against a second value that replaces the first one, and against
   dropping a key that is still in use.  */
static void
test_first_value_is_kept (void)
{
  struct recent_table *table = create_table (2);

  recent_table_record (table, KEY, VALUE, 0);
  recent_table_record (table, KEY + 1, VALUE, 1);
  recent_table_record (table, KEY, VALUE + 1, 2);
  recent_table_record (table, KEY + 2, VALUE, 3);
  CU_ASSERT_EQUAL (recent_table_find (table, KEY, 3), VALUE);
  CU_ASSERT_EQUAL (recent_table_find (table, KEY + 1, 3), 0);
  recent_table_destroy (table);
}

CU_TestInfo recent_table_tests[] = {
  { "the table is bounded", test_table_is_bounded },
  { "the first value is kept", test_first_value_is_kept },
  CU_TEST_INFO_NULL,
};
