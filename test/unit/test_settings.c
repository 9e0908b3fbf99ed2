#include "galenashored/settings.h"
#include "suites.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

struct files
{
  char folder[64];
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
start (struct files *files)
{
  strcpy (files->folder, "/tmp/galena-settings-XXXXXX");
  CU_ASSERT_PTR_NOT_NULL_FATAL (mkdtemp (files->folder));
  snprintf (files->settings, sizeof files->settings, "%s/s.json",
            files->folder);
  snprintf (files->key, sizeof files->key, "%s/fleet.key", files->folder);
  write_text (files->key,
              "[{\"id\": 1, \"secret\": \"00112233445566778899aabbccddeeff"
              "00112233445566778899aabbccddeeff\"}]",
              0600);
}

static void
stop (struct files *files)
{
  unlink (files->settings);
  unlink (files->key);
  rmdir (files->folder);
}

static bool
load (struct files *files, const char *extra, struct error *error)
{
  struct settings settings;
  char text[1024];
  bool ok;

  snprintf (text, sizeof text,
            "{\"host\": \"h\", \"data_centre\": \"d\", \"caller_listen\": "
            "\"127.0.0.1:1\", \"peer_listen\": \"127.0.0.1:2\", "
            "\"operator_listen\": \"127.0.0.1:3\", \"platform_url\": "
            "\"http://127.0.0.1:4\", \"fleet_key_file\": \"%s\"%s}",
            files->key, extra);
  write_text (files->settings, text, 0600);
  ok = settings_load (&settings, files->settings, error);
  settings_release (&settings);
  return ok;
}

static void
check_refused (struct files *files, const char *extra, const char *part)
{
  struct error error = { 0 };

  CU_ASSERT_FALSE (load (files, extra, &error));
  CU_ASSERT_PTR_NOT_NULL (strstr (error.message, part));
}

static void
test_good_settings_load (void)
{
  struct files files;
  struct error error;

  start (&files);
  CU_ASSERT_TRUE (load (&files, "", &error));
  CU_ASSERT_TRUE (load (&files, ", \"log_level\": \"debug\"", &error));
  stop (&files);
}

static void
test_wrong_settings_name_the_field (void)
{
  struct files files;

  start (&files);
  check_refused (&files, ", \"caler\": 1", "unknown key \"caler\"");
  check_refused (&files, ", \"log_level\": \"loud\"", "\"log_level\"");
  check_refused (&files, ", \"max_body_bytes\": 1", "\"max_body_bytes\" is 1");
  check_refused (&files, ", \"data_dir\": 7", "\"data_dir\" must be a string");
  check_refused (&files, ", \"caller_cert_file\": \"x\"",
                 "\"caller_key_file\" is missing");
  stop (&files);
}

static void
test_missing_file_is_named (void)
{
  struct settings settings;
  struct error error;

  CU_ASSERT_FALSE (settings_load (&settings, "/nonexistent", &error));
  CU_ASSERT_PTR_NOT_NULL (strstr (error.message, "/nonexistent"));
  settings_release (&settings);
}

static void
test_readable_secret_is_refused (void)
{
  struct files files;

  start (&files);
  chmod (files.key, 0644);
  check_refused (&files, "", "chmod 600");
  chmod (files.key, 0600);
  write_text (files.key, "[{\"id\": 1, \"secret\": \"00\"}]", 0600);
  check_refused (&files, "", "galenactl fleet-key");
  stop (&files);
}

CU_TestInfo settings_tests[]
    = { { "good settings load", test_good_settings_load },
        { "wrong settings name the field",
          test_wrong_settings_name_the_field },
        { "a missing file is named", test_missing_file_is_named },
        { "a secret that others can read is refused",
          test_readable_secret_is_refused },
        CU_TEST_INFO_NULL };
