#include "galenactl/command.h"
#include <stdlib.h>
#include <string.h>

enum
{
  STATUS_OK = 200,
  STATUS_CREATED = 201,
  STATUS_REDIRECT = 300,
  STATUS_NOT_FOUND = 404,
  STATUS_CONFLICT = 409,
};

static const char USAGE[] = "list | set DATA-CENTRE | end DATA-CENTRE";
static const char KIND[] = "evacuations";

static bool
is_name (const char *text)
{
  return *text
         && strspn (text,
                    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                    "0123456789._-")
                == strlen (text);
}

/* Calls the platform's store.  NAME and AFTER may be NULL.  */
static struct ctl_response
call_store (const struct ctl *ctl, const char *method, const char *name,
            const char *after, const json_t *body)
{
  char *url = xasprintf ("%s/objects/%s%s%s%s%s", ctl->platform_url, KIND,
                         name ? "/" : "", name ? name : "",
                         after ? "?after=" : "", after ? after : "");
  struct ctl_response response = ctl_request (method, url, NULL, NULL, body);

  free (url);
  return response;
}

static int
fail_unanswered (const struct ctl *ctl, const struct ctl_response *response)
{
  return ctl_fail ("the platform's store at %s did not respond as expected "
                   "(HTTP status %ld); check --platform and try again",
                   ctl->platform_url, response->status);
}

/* Appends the names on one page of the list to ROWS.  Returns the last name if
   more follow, which the caller frees, or NULL.  */
static char *
add_page (json_t *rows, const json_t *page)
{
  const json_t *items = json_object_get (page, "items");
  const char *last = NULL;
  json_t *item;
  size_t i;

  json_array_foreach (items, i, item)
  {
    const char *name = json_string_value (
        json_object_get (json_object_get (item, "metadata"), "name"));

    if (!name)
      continue;
    last = name;
    json_array_append_new (rows, json_pack ("[s]", name));
  }
  return last && json_is_true (json_object_get (page, "has_more"))
             ? xstrdup (last)
             : NULL;
}

static int
list_evacuations (const struct ctl *ctl)
{
  static const char *const titles[] = { "DATA-CENTRE" };
  json_t *rows = json_array ();
  char *after = NULL;
  int status = CTL_OK;

  do
    {
      struct ctl_response response
          = call_store (ctl, "GET", NULL, after, NULL);

      free (after);
      after = NULL;
      if (response.status == STATUS_OK)
        after = add_page (rows, response.body);
      else
        status = fail_unanswered (ctl, &response);
      json_decref (response.body);
    }
  while (after);
  if (status == CTL_OK && ctl->json)
    ctl_print_json (rows);
  else if (status == CTL_OK)
    ctl_print_table (titles, sizeof titles / sizeof *titles, rows);
  json_decref (rows);
  return status;
}

/* An evacuation that exists already is no error.  */
static int
set_evacuation (const struct ctl *ctl, const char *data_centre)
{
  json_t *body
      = json_pack ("{s:{s:s}, s:{}}", "metadata", "name", data_centre, "spec");
  struct ctl_response response = call_store (ctl, "POST", NULL, NULL, body);

  json_decref (body);
  json_decref (response.body);
  if (response.status == STATUS_OK || response.status == STATUS_CREATED
      || response.status == STATUS_CONFLICT)
    return CTL_OK;
  return fail_unanswered (ctl, &response);
}

static int
end_evacuation (const struct ctl *ctl, const char *data_centre)
{
  struct ctl_response response
      = call_store (ctl, "DELETE", data_centre, NULL, NULL);

  json_decref (response.body);
  if (response.status == STATUS_NOT_FOUND)
    return ctl_fail ("data centre \"%s\" is not evacuated; see galenactl "
                     "evacuate list",
                     data_centre);
  if (response.status >= STATUS_OK && response.status < STATUS_REDIRECT)
    return CTL_OK;
  return fail_unanswered (ctl, &response);
}

/* Runs the command "evacuate", which keeps requests from the endpoints of a
   data centre.  It calls the platform's store.  */
int
ctl_evacuate (struct ctl *ctl, int argc, char **argv)
{
  if (argc == 1 && strcmp (argv[0], "list") == 0)
    return list_evacuations (ctl);
  if (argc != 2 || !is_name (argv[1]))
    return ctl_usage ("evacuate", USAGE);
  if (strcmp (argv[0], "set") == 0)
    return set_evacuation (ctl, argv[1]);
  if (strcmp (argv[0], "end") == 0)
    return end_evacuation (ctl, argv[1]);
  return ctl_usage ("evacuate", USAGE);
}
