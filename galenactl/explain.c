#include "galenactl/command.h"
#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HTTP_OK = 200,
  US_PER_MS = 1000,
};

static const char USAGE[]
    = "ADDRESS METHOD HOST-NAME PATH [--customer NAME] [--program ID] "
      "[--previous TURN] [--version V] [--tokens N] [--parts ID:N,...] "
      "[--deadline-ms N] [--program-deadline-ms N] [--begins] [--resumes]";

/* An option of the command and the parameter that the host expects. */
struct option
{
  const char *name;
  const char *parameter;
  bool is_flag;
};

static const struct option options[] = {
  { "--customer", "customer", false },
  { "--program", "program", false },
  { "--previous", "previous", false },
  { "--version", "version", false },
  { "--tokens", "tokens", false },
  { "--parts", "parts", false },
  { "--deadline-ms", "deadline_ms", false },
  { "--program-deadline-ms", "program_deadline_ms", false },
  { "--begins", "begins", true },
  { "--resumes", "resumes", true },
};

static void
append_parameter (struct buf *url, const char *name, const char *value)
{
  char *escaped = curl_easy_escape (NULL, value, 0);

  buf_append_str (url, url->len > 0 ? "&" : "");
  buf_append_str (url, name);
  buf_append_str (url, "=");
  buf_append_str (url, escaped);
  curl_free (escaped);
}

static const struct option *
find_option (const char *name)
{
  for (size_t i = 0; i < sizeof options / sizeof *options; i++)
    if (strcmp (options[i].name, name) == 0)
      return &options[i];
  return NULL;
}

/* Appends the options in ARGV as parameters.  Returns false if one is unknown
   or lacks its value.  */
static bool
append_options (struct buf *url, int argc, char **argv)
{
  for (int i = 0; i < argc; i++)
    {
      const struct option *option = find_option (argv[i]);

      if (!option || (!option->is_flag && i + 1 == argc))
        return false;
      append_parameter (url, option->parameter,
                        option->is_flag ? "1" : argv[++i]);
    }
  return true;
}

static const char *
text_of (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));

  return text ? text : "-";
}

static json_t *
cell (const json_t *object, const char *name)
{
  json_t *value = json_object_get (object, name);
  char *text = json_is_integer (value)
                   ? xasprintf ("%lld", (long long)json_integer_value (value))
                   : xstrdup ("-");
  json_t *string = json_string (text);

  free (text);
  return string;
}

static json_t *
ms_cell (const json_t *object, const char *name)
{
  char *text = xasprintf (
      "%.1f",
      (double)json_integer_value (json_object_get (object, name)) / US_PER_MS);
  json_t *string = json_string (text);

  free (text);
  return string;
}

/* Returns why an endpoint is eligible or not, with for how long.  */
static json_t *
why_cell (const json_t *endpoint)
{
  const json_t *avoided = json_object_get (endpoint, "avoided_for_ms");
  const json_t *permit = json_object_get (endpoint, "no_permit_for_ms");
  const json_t *left = avoided ? avoided : permit;
  char *text = xasprintf (
      "%s%s", text_of (endpoint, "why"),
      json_is_true (json_object_get (endpoint, "cold")) ? ", cold" : "");
  char *whole = left ? xasprintf ("%s for %lld ms", text,
                                  (long long)json_integer_value (left))
                     : xstrdup (text);
  json_t *string = json_string (whole);

  free (whole);
  free (text);
  return string;
}

static void
print_endpoints (const json_t *list, const char *picked)
{
  static const char *const titles[]
      = { "",        "ENDPOINT", "DATA-CENTRE", "VERSION", "WHY",    "RUNNING",
          "WAITING", "CACHED",   "FIRST-MS",    "DONE-MS", "COST-MS" };
  json_t *rows = json_array ();
  size_t i;
  json_t *endpoint;

  json_array_foreach (list, i, endpoint)
  {
    const char *id = text_of (endpoint, "id");

    json_array_append_new (
        rows,
        json_pack ("[s, s, s, s, o, o, o, o, o, o, o]",
                   strcmp (id, picked) == 0 ? "*" : "", id,
                   text_of (endpoint, "data_centre"),
                   text_of (endpoint, "version"), why_cell (endpoint),
                   cell (endpoint, "running"), cell (endpoint, "waiting"),
                   cell (endpoint, "cached_tokens"),
                   ms_cell (endpoint, "first_event_us"),
                   ms_cell (endpoint, "completion_us"),
                   ms_cell (endpoint, "cost_us")));
  }
  ctl_print_table (titles, sizeof titles / sizeof *titles, rows);
  json_decref (rows);
}

static void
print_keepers (const json_t *list)
{
  size_t i;
  json_t *keeper;

  if (json_array_size (list) == 0)
    return;
  printf ("Keepers of the chain:");
  json_array_foreach (list, i, keeper) printf (
      "%s %s%s%s", i ? "," : "", text_of (keeper, "name"),
      json_is_true (json_object_get (keeper, "asked_first")) ? " (asked first)"
                                                             : "",
      json_is_true (json_object_get (keeper, "silent")) ? " (silent)" : "");
  printf ("\n");
}

static void
print_explanation (const json_t *answer)
{
  const json_t *admission = json_object_get (answer, "admission");
  const json_t *limit = json_object_get (answer, "limit");

  printf ("%s\n", text_of (answer, "summary"));
  if (!json_object_get (answer, "service"))
    return;
  printf ("Route %s, service %s%s.\n",
          text_of (json_object_get (answer, "route"), "name"),
          text_of (answer, "service"),
          json_is_true (json_object_get (answer, "service_by_chance"))
              ? ", one of several by chance"
              : "");
  if (admission)
    printf ("Admission: %s, %s.\n",
            json_is_true (json_object_get (admission, "admitted")) ? "admitted"
                                                                   : "refused",
            text_of (admission, "why"));
  if (limit)
    printf ("Rate limit of %s: %s.\n", text_of (limit, "customer"),
            text_of (limit, "verdict"));
  if (json_object_get (answer, "resumption"))
    printf ("Resumed stream: %s.\n", text_of (answer, "resumption"));
  print_keepers (json_object_get (answer, "keepers"));
  printf ("\n");
  print_endpoints (json_object_get (answer, "endpoints"),
                   text_of (answer, "picked"));
}

static int
explain (const struct ctl *ctl, const char *address, const char *parameters)
{
  char *url = xasprintf ("http://%s/explain?%s", address, parameters);
  struct ctl_response response = ctl_request ("GET", url, NULL, NULL, NULL);
  int status = CTL_OK;

  free (url);
  if (response.status != HTTP_OK)
    {
      char *body
          = response.body ? json_dumps (response.body, JSON_COMPACT) : NULL;

      status = ctl_fail ("the host at %s did not explain the request (HTTP "
                         "status %ld)%s%s; check the address, which is the "
                         "metrics address of an entry host",
                         address, response.status, body ? ": " : "",
                         body ? body : "");
      free (body);
    }
  else if (ctl->json)
    ctl_print_json (response.body);
  else
    print_explanation (response.body);
  json_decref (response.body);
  return status;
}

/* Runs the command "explain-route", which asks the metrics listener of a host
   where a request would go now.  Nothing is sent to an endpoint.  */
int
ctl_explain_route (struct ctl *ctl, int argc, char **argv)
{
  struct buf parameters = { 0 };
  int status;

  if (argc < 4)
    return ctl_usage ("explain-route", USAGE);
  append_parameter (&parameters, "method", argv[1]);
  append_parameter (&parameters, "host", argv[2]);
  append_parameter (&parameters, "path", argv[3]);
  status = append_options (&parameters, argc - 4, argv + 4)
               ? explain (ctl, argv[0], parameters.data)
               : ctl_usage ("explain-route", USAGE);
  buf_release (&parameters);
  return status;
}
