#include "galenashored/settings.h"
#include "common/address.h"
#include "common/buf.h"
#include "common/fields.h"
#include <errno.h>
#include <fcntl.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

enum
{
  MAX_KEY_FILE_BYTES = 64 * 1024,
  MAX_JOURNAL_WINDOW_MS = 1000,
  MAX_BODY_BYTES = 256 * 1024 * 1024,
  MIN_BODY_BYTES = 1024,
  MAX_CONNECTIONS = 1000000,
  MAX_DRAIN_MS = 24 * 3600 * 1000,
  DEFAULT_JOURNAL_WINDOW_MS = 2,
  DEFAULT_BODY_BYTES = 8 * 1024 * 1024,
  DEFAULT_CONNECTIONS = 20000,
  DEFAULT_DRAIN_MS = 600 * 1000,
};

#define TEXT(member, is_required, hint)                                       \
  {                                                                           \
    .name = #member, .type = FIELD_STRING,                                    \
    .offset = offsetof (struct settings, member), .required = (is_required),  \
    .remedy = (hint)                                                          \
  }
#define NUMBER(member, low, high)                                             \
  {                                                                           \
    .name = #member, .type = FIELD_INT64,                                     \
    .offset = offsetof (struct settings, member), .min = (low), .max = (high) \
  }

static const struct field setting_fields[] = {
  TEXT (host, true, "set it to a unique name for this host"),
  TEXT (data_centre, true, "set it to the name of this host's data centre"),
  TEXT (caller_listen, true, "set it to IP:port for callers"),
  TEXT (peer_listen, true, "set it to IP:port for the other hosts"),
  TEXT (operator_listen, true, "set it to IP:port for operators"),
  TEXT (platform_url, true,
        "set it to the base URL of the platform's object API"),
  TEXT (fleet_key_file, true, "set it to the path of the fleet key file"),
  TEXT (operator_key_file, false, NULL),
  TEXT (data_dir, false, NULL),
  TEXT (log_level, false, NULL),
  TEXT (caller_cert_file, false, NULL),
  TEXT (caller_key_file, false, NULL),
  TEXT (operator_cert_file, false, NULL),
  TEXT (operator_private_key_file, false, NULL),
  NUMBER (journal_window_ms, 0, MAX_JOURNAL_WINDOW_MS),
  NUMBER (max_body_bytes, MIN_BODY_BYTES, MAX_BODY_BYTES),
  NUMBER (max_connections, 1, MAX_CONNECTIONS),
  NUMBER (drain_limit_ms, 0, MAX_DRAIN_MS),
  { .name = "seeds",
    .type = FIELD_STRINGS,
    .offset = offsetof (struct settings, seeds) },
  { .name = "test_faults",
    .type = FIELD_BOOL,
    .offset = offsetof (struct settings, test_faults) },
};

enum
{
  SETTING_COUNT = sizeof setting_fields / sizeof *setting_fields,
};

static bool
check_set_together (const char *first_name, const char *first,
                    const char *second_name, const char *second,
                    struct error *error)
{
  if (!first == !second)
    return true;
  error_set (
      error, ERROR_SETTINGS, RUN_NOT_RUN,
      "settings: \"%s\" is missing but \"%s\" is set; set both or neither",
      first ? second_name : first_name, first ? first_name : second_name);
  return false;
}

static bool
check_seeds (const struct settings *settings, struct error *error)
{
  for (size_t i = 0; i < settings->seeds.count; i++)
    if (!address_validate ("seeds", settings->seeds.items[i], true, error))
      return false;
  return true;
}

static bool
validate (struct settings *settings, struct error *error)
{
  if (!check_seeds (settings, error)
      || !address_validate ("caller_listen", settings->caller_listen, true,
                            error)
      || !address_validate ("peer_listen", settings->peer_listen, true, error)
      || !address_validate ("operator_listen", settings->operator_listen, true,
                            error)
      || !check_set_together ("caller_cert_file", settings->caller_cert_file,
                              "caller_key_file", settings->caller_key_file,
                              error)
      || !check_set_together ("operator_cert_file",
                              settings->operator_cert_file,
                              "operator_private_key_file",
                              settings->operator_private_key_file, error))
    return false;
  if (strncmp (settings->platform_url, "http://", 7) != 0
      && strncmp (settings->platform_url, "https://", 8) != 0)
    {
      error_set (error, ERROR_SETTINGS, RUN_NOT_RUN,
                 "settings: \"platform_url\" must begin with http:// or "
                 "https://");
      return false;
    }
  return log_level_parse (settings->log_level, &settings->level, error);
}

/* Always returns false.  */
static bool
set_file_error (struct error *error, const char *path, const char *problem)
{
  error_set (error, ERROR_SETTINGS, RUN_NOT_RUN, "%s: %s", path, problem);
  return false;
}

/* Reads a text file of at most MAX_KEY_FILE_BYTES.  A secret file is refused
   if its group or others have any access.  The caller frees the text.  Returns
   NULL and sets ERROR on failure.
   */
char *
settings_read_text (const char *path, bool is_secret, struct error *error)
{
  int fd = open (path, O_RDONLY | O_CLOEXEC);
  struct stat info;
  char *text = NULL;
  ssize_t size_read;

  if (fd < 0 || fstat (fd, &info) != 0)
    {
      set_file_error (error, path,
                      "cannot open; check the path and the permissions");
      goto out;
    }
  if (is_secret && (info.st_mode & (S_IRWXG | S_IRWXO)))
    {
      set_file_error (
          error, path,
          "group or others have access to this secret; run chmod 600 on it");
      goto out;
    }
  if (info.st_size > MAX_KEY_FILE_BYTES)
    {
      set_file_error (error, path, "too large for a key file");
      goto out;
    }
  text = xcalloc (1, (size_t)info.st_size + 1);
  size_read = read (fd, text, (size_t)info.st_size);
  if (size_read < 0)
    {
      set_file_error (error, path, "read error; check the disk");
      free (text);
      text = NULL;
      goto out;
    }
  text[size_read] = '\0';
out:
  if (fd >= 0)
    close (fd);
  return text;
}

static bool
read_fleet_key (const json_t *item, struct keyring *keyring)
{
  struct keyring_key *key = &keyring->keys[keyring->count];
  const char *secret = json_string_value (json_object_get (item, "secret"));
  json_int_t id = json_integer_value (json_object_get (item, "id"));
  size_t len;

  if (!secret || id < 0 || id > UINT8_MAX
      || sodium_hex2bin (key->secret, sizeof key->secret, secret,
                         strlen (secret), NULL, &len, NULL)
             != 0
      || len != sizeof key->secret)
    return false;
  key->id = (uint8_t)id;
  keyring->count++;
  return true;
}

static bool
load_fleet_keys (struct settings *settings, struct error *error)
{
  char *text = settings_read_text (settings->fleet_key_file, true, error);
  struct keyring keyring = { 0 };
  json_t *root;
  json_t *item;
  size_t i;
  bool ok = true;

  if (!text)
    return false;
  root = json_loads (text, 0, NULL);
  sodium_memzero (text, strlen (text));
  free (text);
  if (json_array_size (root) == 0 || json_array_size (root) > KEYRING_MAX_KEYS)
    ok = false;
  json_array_foreach (root, i, item) ok
      = ok && read_fleet_key (item, &keyring);
  json_decref (root);
  if (!ok)
    return set_file_error (
        error, settings->fleet_key_file,
        "must be a list of 1 to 4 objects, each "
        "with \"id\" (0 to 255) and \"secret\" (64 hexadecimal "
        "digits); galenactl fleet-key generates one");
  settings->keyring = keyring;
  return true;
}

/* Reads the key files named in the settings.  Returns false and sets ERROR on
   failure.  */
bool
settings_load_keys (struct settings *settings, struct error *error)
{
  char *operator_key;

  if (!load_fleet_keys (settings, error))
    return false;
  if (!settings->operator_key_file)
    return true;
  operator_key = settings_read_text (settings->operator_key_file, true, error);
  if (!operator_key)
    return false;
  operator_key[strcspn (operator_key, "\r\n")] = '\0';
  free (settings->operator_key);
  settings->operator_key = operator_key;
  return true;
}

/* Reads and validates the settings file.  On failure returns false, ERROR
   names the field and how to correct it, and SETTINGS must still be released.
 */
bool
settings_load (struct settings *settings, const char *path,
               struct error *error)
{
  json_t *root = fields_load_file (path, error);
  bool ok;

  *settings
      = (struct settings){ .journal_window_ms = DEFAULT_JOURNAL_WINDOW_MS,
                           .max_body_bytes = DEFAULT_BODY_BYTES,
                           .max_connections = DEFAULT_CONNECTIONS,
                           .drain_limit_ms = DEFAULT_DRAIN_MS };
  if (!root)
    return false;
  ok = fields_read (root, setting_fields, SETTING_COUNT, "settings", settings,
                    error)
       && validate (settings, error) && settings_load_keys (settings, error);
  json_decref (root);
  return ok;
}

/* Frees what settings_load allocated and wipes the secrets from memory.  */
void
settings_release (struct settings *settings)
{
  fields_release (setting_fields, SETTING_COUNT, settings);
  if (settings->operator_key)
    sodium_memzero (settings->operator_key, strlen (settings->operator_key));
  free (settings->operator_key);
  settings->operator_key = NULL;
  sodium_memzero (&settings->keyring, sizeof settings->keyring);
}
