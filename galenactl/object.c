#include "config/config.h"
#include "galenactl/command.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char USAGE[]
    = "list | show NAME | set NAME FIELD=VALUE... | delete NAME";

static json_t *
redact_credential (const json_t *data)
{
  json_t *copy = json_deep_copy (data);

  if (json_object_get (copy, "credential"))
    json_object_set_new (copy, "credential", json_string ("(set)"));
  return copy;
}

static int
list_objects (struct ctl *ctl, const char *kind)
{
  static const char *const titles[] = { "NAME", "VERSION", "DATA" };
  json_t *objects = ctl_list (ctl, kind);
  json_t *rows = json_array ();
  json_t *object;
  size_t i;

  if (!objects)
    {
      json_decref (rows);
      return CTL_FAILED;
    }
  json_array_foreach (objects, i, object)
  {
    json_t *shown = redact_credential (json_object_get (object, "data"));
    char *text = json_dumps (shown, JSON_COMPACT);
    char *version
        = xasprintf ("%llu", (unsigned long long)ctl_version (object));

    json_array_append_new (rows, json_pack ("[O, s, s]",
                                            json_object_get (object, "name"),
                                            version, text));
    json_object_set (object, "data", shown);
    json_decref (shown);
    free (text);
    free (version);
  }
  if (ctl->json)
    ctl_print_json (objects);
  else
    ctl_print_table (titles, 3, rows);
  json_decref (objects);
  json_decref (rows);
  return CTL_OK;
}

static int
show_object (struct ctl *ctl, const char *kind, const char *name)
{
  json_t *object = ctl_get (ctl, kind, name);
  json_t *shown;

  if (!object)
    return ctl_fail ("%s \"%s\" does not exist", kind, name);
  shown = redact_credential (json_object_get (object, "data"));
  json_object_set_new (object, "data", shown);
  ctl_print_json (object);
  json_decref (object);
  return CTL_OK;
}

/* Sets a field to VALUE, parsed as JSON, or as a string if it is not valid
   JSON.  An empty value removes the field.  */
static void
set_field (json_t *data, const char *field, const char *value)
{
  json_t *parsed = json_loads (value, JSON_DECODE_ANY, NULL);

  if (*value == '\0')
    json_object_del (data, field);
  else
    json_object_set_new (data, field, parsed ? parsed : json_string (value));
}

/* Sets the fields given as FIELD=VALUE.  Creates the object if it does not
   exist.  */
static int
update_object (struct ctl *ctl, const char *kind, const char *name, int argc,
               char **argv)
{
  json_t *object = ctl_get (ctl, kind, name);
  json_t *data = object ? json_deep_copy (json_object_get (object, "data"))
                        : json_object ();
  uint64_t new_version = 0;
  int status = CTL_OK;

  for (int i = 0; i < argc && status == CTL_OK; i++)
    {
      char *equals = strchr (argv[i], '=');

      if (!equals)
        {
          status = ctl_usage (kind, USAGE);
          break;
        }
      *equals = '\0';
      set_field (data, argv[i], equals + 1);
    }
  if (status == CTL_OK
      && !ctl_put (ctl, kind, name, ctl_version (object), data, &new_version))
    status = CTL_FAILED;
  if (status == CTL_OK)
    printf ("%s \"%s\" is accepted as version %llu\n", kind, name,
            (unsigned long long)new_version);
  json_decref (data);
  json_decref (object);
  return status;
}

static int
delete_object (struct ctl *ctl, const char *kind, const char *name)
{
  json_t *object = ctl_get (ctl, kind, name);
  uint64_t version = ctl_version (object);

  if (!object)
    return ctl_fail ("%s \"%s\" does not exist", kind, name);
  json_decref (object);
  return ctl_delete (ctl, kind, name, version) ? CTL_OK : CTL_FAILED;
}

static int
run_object_command (struct ctl *ctl, const char *kind, int argc, char **argv)
{
  if (argc == 1 && strcmp (argv[0], "list") == 0)
    return list_objects (ctl, kind);
  if (argc == 2 && strcmp (argv[0], "show") == 0)
    return show_object (ctl, kind, argv[1]);
  if (argc >= 3 && strcmp (argv[0], "set") == 0)
    return update_object (ctl, kind, argv[1], argc - 2, argv + 2);
  if (argc == 2 && strcmp (argv[0], "set") == 0)
    return update_object (ctl, kind, argv[1], 0, NULL);
  if (argc == 2 && strcmp (argv[0], "delete") == 0)
    return delete_object (ctl, kind, argv[1]);
  return ctl_usage (kind, USAGE);
}

/* galenactl customer: lists, shows, sets and deletes customers.  */
int
ctl_customer (struct ctl *ctl, int argc, char **argv)
{
  return run_object_command (ctl, "customer", argc, argv);
}

/* galenactl endpoint: lists, shows, sets and deletes endpoints.  */
int
ctl_endpoint (struct ctl *ctl, int argc, char **argv)
{
  return run_object_command (ctl, "endpoint", argc, argv);
}

/* galenactl route: lists, shows, sets and deletes routes.  */
int
ctl_route (struct ctl *ctl, int argc, char **argv)
{
  return run_object_command (ctl, "route", argc, argv);
}

/* galenactl template: lists, shows, sets and deletes templates.  */
int
ctl_template (struct ctl *ctl, int argc, char **argv)
{
  return run_object_command (ctl, "template", argc, argv);
}
