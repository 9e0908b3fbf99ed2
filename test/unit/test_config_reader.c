#include "common/counters.h"
#include "feed/table.h"
#include "platform/config_reader.h"
#include "suites.h"
#include <jansson.h>

enum
{
  VERSIONS = 5, /* in one set of changes */
};

/* A table whose changes are read as the control thread does.  */
struct fixture
{
  struct table *table;
  struct config_reader reader;
  struct routing *routing; /* of the last commit; NULL if it had none */
  int64_t held;            /* decoded versions, before the commit */
};

static void
handle_object (void *data, const char *name, json_t *object, bool removed)
{
  struct fixture *fixture = data;

  config_reader_note (&fixture->reader, name, object, removed);
}

static void
handle_commit (void *data)
{
  struct fixture *fixture = data;

  fixture->held = counter_get (COUNTER_CONFIG_VERSIONS);
  routing_unref (fixture->routing);
  fixture->routing = config_reader_read (&fixture->reader);
}

static void
fixture_init (struct fixture *fixture)
{
  struct table_options options = { .kind = "config",
                                   .handle_object = handle_object,
                                   .handle_commit = handle_commit,
                                   .data = fixture };

  options.loop = ev_default_loop (EVFLAG_AUTO);
  *fixture = (struct fixture){ .table = table_create (&options) };
}

static void
fixture_release (struct fixture *fixture)
{
  routing_unref (fixture->routing);
  config_reader_release (&fixture->reader);
  table_destroy (fixture->table);
}

/* Puts OBJECT, which is freed here, as NAME at REVISION.  */
static void
put (struct fixture *fixture, const char *name, int64_t revision,
     json_t *object)
{
  table_put (fixture->table, name, revision, object);
  json_decref (object);
}

static json_t *
create_version (json_int_t version)
{
  return json_pack ("{s:{s:I, s:[], s:[]}}", "spec", "version", version,
                    "services", "routes");
}

/* Guards against decoding each version of a storm, of which only the last one
   of a set of changes is used.  */
static void
test_one_version_of_a_set (void)
{
  int64_t held = counter_get (COUNTER_CONFIG_VERSIONS);
  struct fixture fixture;

  fixture_init (&fixture);
  for (int i = 1; i <= VERSIONS; i++)
    put (&fixture, "main", i, create_version (i));
  table_commit (fixture.table, VERSIONS, 1, true);
  CU_ASSERT_EQUAL (fixture.held, held);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture.routing);
  CU_ASSERT_EQUAL (fixture.routing->version, VERSIONS);
  CU_ASSERT_EQUAL (counter_get (COUNTER_CONFIG_VERSIONS), held + 1);
  fixture_release (&fixture);
  CU_ASSERT_EQUAL (counter_get (COUNTER_CONFIG_VERSIONS), held);
}

/* Guards against applying what is not a newer configuration: another object,
   an older version, one that cannot be decoded, or none.  */
static void
test_what_is_not_newer (void)
{
  struct fixture fixture;

  fixture_init (&fixture);
  put (&fixture, "main", 1, create_version (2));
  table_commit (fixture.table, 1, 1, true);
  CU_ASSERT_PTR_NOT_NULL (fixture.routing);
  put (&fixture, "other", 2, create_version (3));
  table_commit (fixture.table, 2, 2, false);
  CU_ASSERT_PTR_NULL (fixture.routing);
  put (&fixture, "main", 3, create_version (1));
  table_commit (fixture.table, 3, 3, false);
  CU_ASSERT_PTR_NULL (fixture.routing);
  put (&fixture, "main", 4, json_pack ("{s:{s:i}}", "spec", "version", 4));
  table_commit (fixture.table, 4, 4, false);
  CU_ASSERT_PTR_NULL (fixture.routing);
  table_remove (fixture.table, "main", 5);
  table_commit (fixture.table, 5, 5, false);
  CU_ASSERT_PTR_NULL (fixture.routing);
  put (&fixture, "main", 6, create_version (3));
  table_commit (fixture.table, 6, 6, false);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture.routing);
  CU_ASSERT_EQUAL (fixture.routing->version, 3);
  fixture_release (&fixture);
}

CU_TestInfo config_reader_tests[] = {
  { "one version of a set of changes", test_one_version_of_a_set },
  { "what is not a newer version", test_what_is_not_newer },
  CU_TEST_INFO_NULL,
};
