#include "config/objects.h"
#include "suites.h"
#include <string.h>

static bool
merge (struct objects *objects, const char *name, int version, bool deleted)
{
  json_t *list = json_pack ("[{s:s, s:s, s:i, s:{s:i}, s:b}]", "kind", "key",
                            "name", name, "version", version, "data", "v",
                            version, "deleted", deleted);
  bool changed = objects_merge (objects, list);

  json_decref (list);
  return changed;
}

static void
test_older_versions_are_ignored (void)
{
  struct objects objects;

  objects_init (&objects);
  CU_ASSERT_TRUE (merge (&objects, "a", 5, false));
  CU_ASSERT_FALSE (merge (&objects, "a", 4, false));
  CU_ASSERT_FALSE (merge (&objects, "a", 5, false));
  CU_ASSERT_EQUAL (objects_version (objects_find (&objects, "key", "a")), 5);
  CU_ASSERT_TRUE (merge (&objects, "a", 6, true));
  CU_ASSERT_FALSE (merge (&objects, "a", 5, false));
  CU_ASSERT_PTR_NULL (objects_find (&objects, "key", "a"));
  CU_ASSERT_EQUAL (objects.revision, 6);
  objects_release (&objects);
}

static void
test_since_includes_deletions (void)
{
  struct objects objects;
  json_t *since;

  objects_init (&objects);
  merge (&objects, "a", 5, false);
  merge (&objects, "b", 7, true);
  since = objects_since (&objects, 5);
  CU_ASSERT_EQUAL (json_array_size (since), 1);
  json_decref (since);
  since = objects_live (&objects);
  CU_ASSERT_EQUAL (json_array_size (since), 1);
  json_decref (since);
  objects_release (&objects);
}

static void
test_withdrawal_overrides_older_objects (void)
{
  struct objects objects;
  json_t *live;
  const json_t *data;

  objects_init (&objects);
  CU_ASSERT_TRUE (objects_withdraw_key (&objects, "a"));
  CU_ASSERT_FALSE (objects_withdraw_key (&objects, "a"));
  merge (&objects, "a", 5, false);
  live = objects_live (&objects);
  data = json_object_get (json_array_get (live, 0), "data");
  CU_ASSERT_TRUE (json_is_true (json_object_get (data, "withdrawn")));
  json_decref (live);
  objects_release (&objects);
}

static json_t *
parse_reply (const char *text)
{
  return objects_parse_reply ((struct json_span){ text, strlen (text) });
}

/* Guards against a list that is refused as a whole, again and again, because
   one object in it cannot be read.  */
static void
test_odd_objects_are_left_out (void)
{
  static const char text[]
      = "{\"objects\": [{\"kind\": \"key\", \"name\": \"a\", \"version\": 3},"
        " {\"kind\": \"key\", \"name\": \"b\", \"version\": 4, \"data\": "
        "1e999},"
        " {\"kind\": \"key\", \"name\": \"c\","
        " \"version\": 99999999999999999999}, nonsense, \"\xff\","
        " {\"kind\": \"key\", \"name\": \"d\", \"version\": 5}],"
        " \"revision\": 6}";
  static const char *const broken[]
      = { "",
          "text",
          "{\"objects\": [1e999]",
          "{\"objects\": 1e999}",
          "{\"objects\": [1e999]}",
          "{\"objects\": [{} 1e999], \"revision\": 6}",
          "{\"objects\": [], \"revision\": 1e999}" };
  struct objects objects;
  json_t *reply = parse_reply (text);

  objects_init (&objects);
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (reply, "revision")),
                   6);
  CU_ASSERT_TRUE (
      objects_merge (&objects, json_object_get (reply, "objects")));
  CU_ASSERT_PTR_NOT_NULL (objects_find (&objects, "key", "a"));
  CU_ASSERT_PTR_NULL (objects_find (&objects, "key", "b"));
  CU_ASSERT_PTR_NULL (objects_find (&objects, "key", "c"));
  CU_ASSERT_PTR_NOT_NULL (objects_find (&objects, "key", "d"));
  json_decref (reply);
  for (size_t i = 0; i < sizeof broken / sizeof *broken; i++)
    CU_ASSERT_PTR_NULL (parse_reply (broken[i]));
  objects_release (&objects);
}

/* Guards against a version that is read as a very large one, behind which
   every later change is ignored.  */
static void
test_negative_versions_are_ignored (void)
{
  struct objects objects;

  objects_init (&objects);
  CU_ASSERT_FALSE (merge (&objects, "a", -1, false));
  CU_ASSERT_TRUE (merge (&objects, "a", 5, false));
  CU_ASSERT_EQUAL (objects.revision, 5);
  objects_release (&objects);
}

CU_TestInfo objects_tests[]
    = { { "odd objects are left out", test_odd_objects_are_left_out },
        { "negative versions are ignored",
          test_negative_versions_are_ignored },
        { "older versions are ignored", test_older_versions_are_ignored },
        { "changes since a revision include deletions",
          test_since_includes_deletions },
        { "a withdrawal at a host overrides older objects",
          test_withdrawal_overrides_older_objects },
        CU_TEST_INFO_NULL };
