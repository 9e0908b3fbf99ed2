#include "config/config.h"
#include "galenactl/command.h"
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SECRET_BYTES = 32,
  ID_HASH_BYTES = 8, /* the id is the start of the key's hash */
};

static const char USAGE[] = "create CUSTOMER | list | withdraw ID [--here]";

static int
create_key (struct ctl *ctl, const char *customer)
{
  unsigned char secret[SECRET_BYTES];
  char text[KEY_TEXT_BYTES] = "gk_";
  uint8_t hash[KEY_HASH_BYTES];
  char hash_text[KEY_HASH_TEXT_BYTES];
  char id[KEY_ID_TEXT_BYTES];
  json_t *owner = ctl_get (ctl, "customer", customer);
  json_t *data;
  int status = CTL_FAILED;

  if (!owner)
    return ctl_fail ("customer \"%s\" does not exist; create it first",
                     customer);
  json_decref (owner);
  randombytes_buf (secret, sizeof secret);
  sodium_bin2base64 (text + strlen (text), sizeof text - strlen (text), secret,
                     sizeof secret, sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  config_hash_key (text, hash);
  sodium_bin2hex (hash_text, sizeof hash_text, hash, sizeof hash);
  sodium_bin2hex (id, sizeof id, hash, ID_HASH_BYTES);
  data = json_pack ("{s:s, s:s}", "customer", customer, "hash", hash_text);
  if (ctl_put (ctl, "key", id, 0, data, NULL))
    {
      json_t *shown = json_pack ("{s:s, s:s, s:s}", "id", id, "customer",
                                 customer, "key", text);

      if (ctl->json)
        ctl_print_json (shown);
      else
        printf ("key %s of customer %s; it is not shown again:\n%s\n", id,
                customer, text);
      json_decref (shown);
      status = CTL_OK;
    }
  json_decref (data);
  sodium_memzero (secret, sizeof secret);
  sodium_memzero (text, sizeof text);
  return status;
}

static int
list_keys (struct ctl *ctl)
{
  static const char *const titles[] = { "ID", "CUSTOMER", "STATE" };
  json_t *objects = ctl_list (ctl, "key");
  json_t *rows = json_array ();
  json_t *object;
  size_t i;

  json_array_foreach (objects, i, object)
  {
    const json_t *data = json_object_get (object, "data");
    bool withdrawn = json_is_true (json_object_get (data, "withdrawn"));

    json_array_append_new (rows, json_pack ("[O, O, s]",
                                            json_object_get (object, "name"),
                                            json_object_get (data, "customer"),
                                            withdrawn ? "withdrawn" : "good"));
  }
  if (ctl->json)
    ctl_print_json (rows);
  else if (objects)
    ctl_print_table (titles, 3, rows);
  json_decref (rows);
  json_decref (objects);
  return objects ? CTL_OK : CTL_FAILED;
}

/* Withdraws a key through a host's operator listener, for a data centre that
   cannot reach the platform.  */
static int
withdraw_key_on_host (struct ctl *ctl, const char *id)
{
  char *path = xasprintf ("/withdraw?key=%s", id);
  struct ctl_response response
      = ctl_request_operator (ctl, NULL, "POST", path);

  free (path);
  json_decref (response.body);
  if (response.status != 202)
    return ctl_fail (
        "the host at %s did not accept the request (HTTP status %ld); "
        "check --operator and --operator-key-file",
        ctl->operator_address, response.status);
  printf ("key %s is withdrawn on this host and the hosts it can reach; "
          "withdraw it without --here once the platform is reachable\n",
          id);
  return CTL_OK;
}

static int
withdraw_key (struct ctl *ctl, const char *id)
{
  json_t *object = ctl_get (ctl, "key", id);
  json_t *data;
  int status = CTL_FAILED;

  if (!object)
    return ctl_fail ("key \"%s\" does not exist; see galenactl key list", id);
  data = json_deep_copy (json_object_get (object, "data"));
  json_object_set_new (data, "withdrawn", json_true ());
  if (ctl_put (ctl, "key", id, ctl_version (object), data, NULL))
    {
      printf ("key %s is withdrawn\n", id);
      status = CTL_OK;
    }
  json_decref (data);
  json_decref (object);
  return status;
}

/* galenactl key: creates, lists and withdraws API keys.  */
int
ctl_key (struct ctl *ctl, int argc, char **argv)
{
  if (argc == 2 && strcmp (argv[0], "create") == 0)
    return create_key (ctl, argv[1]);
  if (argc == 1 && strcmp (argv[0], "list") == 0)
    return list_keys (ctl);
  if (argc == 2 && strcmp (argv[0], "withdraw") == 0)
    return withdraw_key (ctl, argv[1]);
  if (argc == 3 && strcmp (argv[0], "withdraw") == 0
      && strcmp (argv[2], "--here") == 0)
    return withdraw_key_on_host (ctl, argv[1]);
  return ctl_usage ("key", USAGE);
}
