#include "galenactl/command.h"
#include "policy/cursor.h"
#include <sodium.h>
#include <string.h>

static json_t *
fresh_key (int id)
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

/* galenactl fleet-key: prints a key file with a fresh key, or an existing one
   with a fresh key added behind the others, so that every host knows it before
   any host uses it.  */
int
ctl_fleet_key (struct ctl *ctl, int argc, char **argv)
{
  json_t *keys;
  json_t *key;
  size_t i;
  json_int_t highest = 0;

  if (argc == 0)
    {
      keys = json_pack ("[o]", fresh_key (1));
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
      return ctl_fail ("%s is no key file with room for one more; take the "
                       "oldest key out",
                       argv[1]);
    }
  json_array_foreach (keys, i, key)
  {
    json_int_t id = json_integer_value (json_object_get (key, "id"));

    if (id > highest)
      highest = id;
  }
  json_array_append_new (keys, fresh_key ((int)((highest + 1) % 256)));
  ctl_print_json (keys);
  json_decref (keys);
  return CTL_OK;
}
