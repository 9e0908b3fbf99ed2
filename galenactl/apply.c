#include "config/config.h"
#include "galenactl/command.h"
#include <stdio.h>
#include <string.h>

static json_t *
read_file (int argc, char **argv)
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
      ctl_fail ("%s: not a list of {\"kind\", \"name\", \"data\"}", argv[1]);
      json_decref (list);
      list = NULL;
    }
  return list;
}

static const char *
text_of (const json_t *object, const char *field)
{
  const char *text = json_string_value (json_object_get (object, field));

  return text ? text : "";
}

/* The file is refused whole where one of its objects is wrong.  */
static bool
check_all (const json_t *list)
{
  size_t i;
  json_t *object;
  bool ok = true;

  json_array_foreach (list, i, object)
  {
    struct error error;

    if (config_validate_object (text_of (object, "kind"),
                                text_of (object, "name"),
                                json_object_get (object, "data"), &error))
      continue;
    ctl_fail ("object %zu, %s \"%s\": %s", i, text_of (object, "kind"),
              text_of (object, "name"), error.message);
    ok = false;
  }
  return ok;
}

static bool
is_same (const json_t *present, const json_t *wanted)
{
  return present
         && json_equal (json_object_get (present, "data"),
                        json_object_get (wanted, "data"));
}

static int
apply_all (struct ctl *ctl, const json_t *list)
{
  size_t i;
  json_t *object;
  int status = CTL_OK;

  json_array_foreach (list, i, object)
  {
    const char *kind = text_of (object, "kind");
    const char *name = text_of (object, "name");
    json_t *present = ctl_get (ctl, kind, name);
    uint64_t written = 0;

    if (is_same (present, object))
      printf ("%s \"%s\" is unchanged\n", kind, name);
    else if (ctl_put (ctl, kind, name, ctl_version (present),
                      json_object_get (object, "data"), &written))
      printf ("%s \"%s\" is accepted as version %llu\n", kind, name,
              (unsigned long long)written);
    else
      status = CTL_FAILED;
    json_decref (present);
  }
  return status;
}

/* galenactl apply: writes the objects of a file.  */
int
ctl_apply (struct ctl *ctl, int argc, char **argv)
{
  json_t *list = read_file (argc, argv);
  int status;

  if (!list)
    return argc == 2 ? CTL_FAILED : ctl_usage ("apply", "-f FILE");
  status = check_all (list) ? apply_all (ctl, list) : CTL_FAILED;
  json_decref (list);
  return status;
}

/* galenactl diff: tells what apply would change.  */
int
ctl_diff (struct ctl *ctl, int argc, char **argv)
{
  json_t *list = read_file (argc, argv);
  size_t i;
  json_t *object;

  if (!list)
    return argc == 2 ? CTL_FAILED : ctl_usage ("diff", "-f FILE");
  json_array_foreach (list, i, object)
  {
    json_t *present
        = ctl_get (ctl, text_of (object, "kind"), text_of (object, "name"));

    printf ("%s %s \"%s\"\n",
            !present                    ? "create   "
            : is_same (present, object) ? "unchanged"
                                        : "change   ",
            text_of (object, "kind"), text_of (object, "name"));
    json_decref (present);
  }
  json_decref (list);
  return CTL_OK;
}
