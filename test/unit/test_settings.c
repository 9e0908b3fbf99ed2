#include "galenashored/settings.h"
#include "suites.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

struct test_files
{
  char directory[64];
  char settings[128];
  char key[128];
};

static void
write_text (const char *path, const char *text, mode_t mode)
{
  FILE *file = fopen (path, "w");

  CU_ASSERT_PTR_NOT_NULL_FATAL (file);
  fputs (text, file);
  fclose (file);
  chmod (path, mode);
}

static void
create_files (struct test_files *test_files)
{
  strcpy (test_files->directory, "/tmp/galena-settings-XXXXXX");
  CU_ASSERT_PTR_NOT_NULL_FATAL (mkdtemp (test_files->directory));
  snprintf (test_files->settings, sizeof test_files->settings, "%s/s.json",
            test_files->directory);
  snprintf (test_files->key, sizeof test_files->key, "%s/fleet.key",
            test_files->directory);
  write_text (test_files->key,
              "[{\"id\": 1, \"secret\": \"00112233445566778899aabbccddeeff"
              "00112233445566778899aabbccddeeff\"}]",
              0600);
}

static void
remove_files (struct test_files *test_files)
{
  unlink (test_files->settings);
  unlink (test_files->key);
  rmdir (test_files->directory);
}

static bool
load_settings (struct test_files *test_files, const char *extra,
               struct error *error)
{
  struct settings settings;
  char text[1024];
  bool ok;

  snprintf (text, sizeof text,
            "{\"host\": \"h\", \"data_centre\": \"d\", \"caller_listen\": "
            "\"127.0.0.1:1\", \"peer_listen\": \"127.0.0.1:2\", "
            "\"operator_listen\": \"127.0.0.1:3\", \"platform_url\": "
            "\"http://127.0.0.1:4\", \"fleet_key_file\": \"%s\"%s}",
            test_files->key, extra);
  write_text (test_files->settings, text, 0600);
  ok = settings_load (&settings, test_files->settings, error);
  settings_release (&settings);
  return ok;
}

static void
expect_error (struct test_files *test_files, const char *extra,
              const char *expected)
{
  struct error error = { 0 };

  CU_ASSERT_FALSE (load_settings (test_files, extra, &error));
  CU_ASSERT_PTR_NOT_NULL (strstr (error.message, expected));
}

static void
test_valid_settings_are_loaded (void)
{
  struct test_files test_files;
  struct error error;

  create_files (&test_files);
  CU_ASSERT_TRUE (load_settings (&test_files, "", &error));
  CU_ASSERT_TRUE (
      load_settings (&test_files, ", \"log_level\": \"debug\"", &error));
  remove_files (&test_files);
}

static void
test_errors_name_the_field (void)
{
  struct test_files test_files;

  create_files (&test_files);
  expect_error (&test_files, ", \"caler\": 1", "unknown key \"caler\"");
  expect_error (&test_files, ", \"log_level\": \"loud\"", "\"log_level\"");
  expect_error (&test_files, ", \"max_body_bytes\": 1",
                "\"max_body_bytes\" is 1");
  expect_error (&test_files, ", \"data_dir\": 7",
                "\"data_dir\" must be a string");
  expect_error (&test_files, ", \"caller_cert_file\": \"x\"",
                "\"caller_key_file\" is missing");
  remove_files (&test_files);
}

static void
test_missing_file_error_names_path (void)
{
  struct settings settings;
  struct error error;

  CU_ASSERT_FALSE (settings_load (&settings, "/nonexistent", &error));
  CU_ASSERT_PTR_NOT_NULL (strstr (error.message, "/nonexistent"));
  settings_release (&settings);
}

static void
test_unusable_key_file_is_refused (void)
{
  struct test_files test_files;

  create_files (&test_files);
  chmod (test_files.key, 0644);
  expect_error (&test_files, "", "chmod 600");
  chmod (test_files.key, 0600);
  write_text (test_files.key, "[{\"id\": 1, \"secret\": \"00\"}]", 0600);
  expect_error (&test_files, "", "galenactl fleet-key");
  remove_files (&test_files);
}

CU_TestInfo settings_tests[]
    = { { "valid settings are loaded", test_valid_settings_are_loaded },
        { "errors name the invalid field", test_errors_name_the_field },
        { "the error for a missing file names its path",
          test_missing_file_error_names_path },
        { "a key file that others can read or that is malformed is refused",
          test_unusable_key_file_is_refused },
        CU_TEST_INFO_NULL };
