#include "config/config.h"
#include "galenactl/command.h"
#include <stdio.h>
#include <string.h>

/* Loads the array of objects named by the arguments "-f FILE".  Returns NULL
   if the arguments are wrong, or prints an error and returns NULL if the file
   is.  */
static json_t *
load_objects (int argc, char **argv)
{
  json_error_t problem;
  json_t *list;

  if (argc != 2 || strcmp (argv[0], "-f") != 0)
    return NULL;
  list = json_load_file (argv[1], JSON_REJECT_DUPLICATES, &problem);
  if (!list)
    ctl_fail ("%s:%d: %s", argv[1], problem.line, problem.text);
  else if (!json_is_array (list))
    {
      ctl_fail ("%s: not an array of {\"kind\", \"name\", \"data\"} objects",
                argv[1]);
      json_decref (list);
      list = NULL;
    }
  return list;
}

static const char *
get_string (const json_t *object, const char *field)
{
  const char *text = json_string_value (json_object_get (object, field));

  return text ? text : "";
}

/* Validates all objects before any of them is written, so that a file with an
   invalid object changes nothing.  Prints an error for each one.  */
static bool
validate_objects (const json_t *list)
{
  size_t i;
  json_t *object;
  bool ok = true;

  json_array_foreach (list, i, object)
  {
    struct error error;

    if (config_validate_object (get_string (object, "kind"),
                                get_string (object, "name"),
                                json_object_get (object, "data"), &error))
      continue;
    ctl_fail ("object %zu, %s \"%s\": %s", i, get_string (object, "kind"),
              get_string (object, "name"), error.message);
    ok = false;
  }
  return ok;
}

static bool
has_same_data (const json_t *current, const json_t *desired)
{
  return current
         && json_equal (json_object_get (current, "data"),
                        json_object_get (desired, "data"));
}

static int
apply_objects (struct ctl *ctl, const json_t *list)
{
  size_t i;
  json_t *object;
  int status = CTL_OK;

  json_array_foreach (list, i, object)
  {
    const char *kind = get_string (object, "kind");
    const char *name = get_string (object, "name");
    json_t *current = ctl_get (ctl, kind, name);
    uint64_t new_version = 0;

    if (has_same_data (current, object))
      printf ("%s \"%s\" is unchanged\n", kind, name);
    else if (ctl_put (ctl, kind, name, ctl_version (current),
                      json_object_get (object, "data"), &new_version))
      printf ("%s \"%s\" is accepted as version %llu\n", kind, name,
              (unsigned long long)new_version);
    else
      status = CTL_FAILED;
    json_decref (current);
  }
  return status;
}

/* galenactl apply: writes the objects in a file to the platform.  */
int
ctl_apply (struct ctl *ctl, int argc, char **argv)
{
  json_t *list = load_objects (argc, argv);
  int status;

  if (!list)
    return argc == 2 ? CTL_FAILED : ctl_usage ("apply", "-f FILE");
  status = validate_objects (list) ? apply_objects (ctl, list) : CTL_FAILED;
  json_decref (list);
  return status;
}

/* galenactl diff: shows what apply would change.  */
int
ctl_diff (struct ctl *ctl, int argc, char **argv)
{
  json_t *list = load_objects (argc, argv);
  size_t i;
  json_t *object;

  if (!list)
    return argc == 2 ? CTL_FAILED : ctl_usage ("diff", "-f FILE");
  json_array_foreach (list, i, object)
  {
    json_t *current = ctl_get (ctl, get_string (object, "kind"),
                               get_string (object, "name"));

    printf ("%s %s \"%s\"\n",
            !current                          ? "create   "
            : has_same_data (current, object) ? "unchanged"
                                              : "change   ",
            get_string (object, "kind"), get_string (object, "name"));
    json_decref (current);
  }
  json_decref (list);
  return CTL_OK;
}
