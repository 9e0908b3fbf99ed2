#include "common/fields.h"
#include "common/number.h"
#include "suites.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

struct sample
{
  char *name;
  int64_t count;
  bool on;
  struct strings tags;
};

static const struct field sample_fields[] = {
  { .name = "name",
    .type = FIELD_STRING,
    .offset = offsetof (struct sample, name),
    .required = true,
    .remedy = "give it one" },
  { .name = "count",
    .type = FIELD_INT64,
    .offset = offsetof (struct sample, count),
    .min = 1,
    .max = 9 },
  { .name = "on", .type = FIELD_BOOL, .offset = offsetof (struct sample, on) },
  { .name = "tags",
    .type = FIELD_STRINGS,
    .offset = offsetof (struct sample, tags) },
};

static bool
decode_text (const char *text, struct sample *out, struct error *error)
{
  json_t *root = json_loads (text, 0, NULL);
  bool ok = fields_read (root, sample_fields, 4, "sample", out, error);

  json_decref (root);
  return ok;
}

static void
test_decodes_all_types (void)
{
  struct sample out = { .count = 5 };
  struct error error;

  CU_ASSERT_TRUE (decode_text (
      "{\"name\":\"x\",\"on\":true,\"tags\":[\"a\",\"b\"]}", &out, &error));
  CU_ASSERT_STRING_EQUAL (out.name, "x");
  CU_ASSERT_EQUAL (out.count, 5);
  CU_ASSERT_TRUE (out.on);
  CU_ASSERT_TRUE (strings_contain (&out.tags, "b"));
  CU_ASSERT_FALSE (strings_contain (&out.tags, "c"));
  fields_release (sample_fields, 4, &out);
}

/* Checks that decoding TEXT fails, that the message contains PART and that
   nothing was stored.  */
static void
check_rejected (const char *text, const char *part)
{
  struct sample out = { 0 };
  struct error error = { 0 };

  CU_ASSERT_FALSE (decode_text (text, &out, &error));
  CU_ASSERT_PTR_NOT_NULL (strstr (error.message, part));
  CU_ASSERT_PTR_NULL (out.name);
}

static void
test_error_names_field_and_remedy (void)
{
  check_rejected ("{}", "\"name\" is missing; give it one");
  check_rejected ("{\"name\":\"x\",\"nmae\":1}", "unknown key \"nmae\"");
  check_rejected ("{\"name\":3}", "\"name\" must be a string");
  check_rejected ("{\"name\":\"x\",\"count\":10}",
                  "\"count\" is 10; it must be between 1 and 9");
  check_rejected ("{\"name\":\"x\",\"tags\":[1]}",
                  "\"tags\" must be an array of strings");
  check_rejected ("[]", "not a JSON object");
}

static void
check_file_is_rejected (const char *text, size_t len)
{
  char path[] = "/tmp/galena-fields-XXXXXX";
  int fd = mkstemp (path);
  struct error error = { .message = "" };
  json_t *root;
  struct sample out = { 0 };
  bool is_read = false;

  CU_ASSERT_TRUE_FATAL (fd >= 0);
  CU_ASSERT_EQUAL (write (fd, text, len), (ssize_t)len);
  close (fd);
  root = fields_load_file (path, &error);
  if (root)
    is_read = fields_read (root, sample_fields, 4, "sample", &out, &error);
  CU_ASSERT_FALSE (is_read);
  CU_ASSERT_TRUE (strlen (error.message) > 0);
  json_decref (root);
  fields_release (sample_fields, 4, &out);
  unlink (path);
}

/* Guards against a crash, or a value that nobody wrote, at odd contents of a
   settings file.  */
static void
test_odd_files_are_rejected (void)
{
  static const char *const texts[]
      = { "",
          "[]",
          "7",
          "{",
          "{\"name\":\"x\",\"count\":1e999}",
          "{\"name\":\"x\",\"count\":99999999999999999999}",
          "{\"name\":\"x\",\"count\":1e300}",
          "{\"name\":\"x\",\"count\":9223372036854775807}",
          "{\"name\":\"x\",\"name\":\"y\"}",
          "{\"name\":\"a\\u0000b\"}",
          "{\"name\":\"\xff\"}",
          "{\"name\":\"x\",\"tags\":[[\"a\"]]}" };
  enum
  {
    LEVELS = 100000,
  };
  char *deep = malloc (LEVELS);

  for (size_t i = 0; i < sizeof texts / sizeof *texts; i++)
    check_file_is_rejected (texts[i], strlen (texts[i]));
  check_file_is_rejected ("{\"name\":\"x\"\0}", 13);
  memset (deep, '[', LEVELS);
  check_file_is_rejected (deep, LEVELS);
  free (deep);
}

/* Guards against sums that overflow, and conversions that differ between
   processors.  */
static void
test_numbers_are_cut_off (void)
{
  json_t *object = json_loads ("{\"a\":9223372036854775807,\"b\":-1,"
                               "\"c\":1e300,\"d\":-1e300,\"e\":7,\"f\":7.9,"
                               "\"g\":\"7\",\"h\":-9223372036854775808}",
                               0, NULL);

  CU_ASSERT_EQUAL (number_read_count (object, "a", 100), 100);
  CU_ASSERT_EQUAL (number_read_count (object, "b", 100), 0);
  CU_ASSERT_EQUAL (number_read_count (object, "c", 100), 100);
  CU_ASSERT_EQUAL (number_read_count (object, "d", 100), 0);
  CU_ASSERT_EQUAL (number_read_count (object, "e", 100), 7);
  CU_ASSERT_EQUAL (number_read_count (object, "f", 100), 7);
  CU_ASSERT_EQUAL (number_read_count (object, "g", 100), 0);
  CU_ASSERT_EQUAL (number_read_count (object, "x", 100), 0);
  CU_ASSERT_EQUAL (number_read_count (NULL, "x", 100), 0);
  CU_ASSERT_EQUAL (number_from_json (json_object_get (object, "h"), 3),
                   INT64_MIN);
  CU_ASSERT_EQUAL (number_from_json (json_object_get (object, "g"), 3), 3);
  json_decref (object);
  CU_ASSERT_EQUAL (number_to_int64 (9223372036854775808.0), INT64_MAX);
  CU_ASSERT_EQUAL (number_to_int64 (9223372036854774784.0),
                   9223372036854774784);
  CU_ASSERT_EQUAL (number_to_int64 (-9223372036854775808.0), INT64_MIN);
  CU_ASSERT_EQUAL (number_to_int64 (HUGE_VAL), INT64_MAX);
  CU_ASSERT_EQUAL (number_to_int64 (-HUGE_VAL), INT64_MIN);
  CU_ASSERT_EQUAL (number_to_int64 (HUGE_VAL - HUGE_VAL), 0);
  CU_ASSERT_EQUAL (number_to_int64 (-2.9), -2);
}

CU_TestInfo fields_tests[]
    = { { "numbers are cut off", test_numbers_are_cut_off },
        { "odd files are rejected", test_odd_files_are_rejected },
        { "decodes all types", test_decodes_all_types },
        { "errors name the field and the remedy",
          test_error_names_field_and_remedy },
        CU_TEST_INFO_NULL };
