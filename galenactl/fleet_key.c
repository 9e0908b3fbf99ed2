#include "galenactl/command.h"
#include "policy/cursor.h"
#include <sodium.h>
#include <string.h>

static json_t *
generate_key (int id)
{
  unsigned char secret[KEYRING_KEY_BYTES];
  char text[2 * KEYRING_KEY_BYTES + 1];
  json_t *key;

  randombytes_buf (secret, sizeof secret);
  sodium_bin2hex (text, sizeof text, secret, sizeof secret);
  key = json_pack ("{s:i, s:s}", "id", id, "secret", text);
  sodium_memzero (secret, sizeof secret);
  sodium_memzero (text, sizeof text);
  return key;
}

/* galenactl fleet-key: prints a key file with a new key, or an existing file
   with a new key appended.  Hosts encrypt with the first key of the file and
   decrypt with all, so that an appended key can reach every host before any
   host encrypts with it.  */
int
ctl_fleet_key (struct ctl *ctl, int argc, char **argv)
{
  json_t *keys;
  json_t *key;
  size_t i;
  json_int_t max_id = 0;

  if (argc == 0)
    {
      keys = json_pack ("[o]", generate_key (1));
      ctl_print_json (keys);
      json_decref (keys);
      return CTL_OK;
    }
  if (argc != 2 || strcmp (argv[0], "--add") != 0)
    return ctl_usage ("fleet-key", "[--add FILE]");
  keys = json_load_file (argv[1], 0, NULL);
  if (!json_is_array (keys) || json_array_size (keys) >= KEYRING_MAX_KEYS)
    {
      json_decref (keys);
      return ctl_fail (
          "%s is not a key file or already has the maximum number "
          "of keys; remove the oldest key",
          argv[1]);
    }
  json_array_foreach (keys, i, key)
  {
    json_int_t id = json_integer_value (json_object_get (key, "id"));

    if (id > max_id)
      max_id = id;
  }
  /* A key id is one byte.  */
  json_array_append_new (keys, generate_key ((int)((max_id + 1) % 256)));
  ctl_print_json (keys);
  json_decref (keys);
  return CTL_OK;
}
