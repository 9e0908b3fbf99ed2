#include "galenactl/command.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HTTP_OK = 200,
};

/* Returns the host's response to a GET of PATH.  Prints an error and returns
   NULL if the request fails.  */
static json_t *
fetch_json (struct ctl *ctl, const char *path)
{
  struct ctl_response response = ctl_request_operator (ctl, NULL, "GET", path);

  if (response.status == HTTP_OK)
    return response.body;
  json_decref (response.body);
  ctl_fail (
      "the host at %s did not respond as expected (HTTP status %ld); check "
      "--operator and --operator-key-file",
      ctl->operator_address, response.status);
  return NULL;
}

static int
print_response (struct ctl *ctl, const char *path)
{
  json_t *state = fetch_json (ctl, path);

  if (!state)
    return CTL_FAILED;
  ctl_print_json (state);
  json_decref (state);
  return CTL_OK;
}

/* galenactl counters: prints the counters of a host.  */
int
ctl_counters (struct ctl *ctl, int argc, char **argv)
{
  return argc == 0 ? print_response (ctl, "/counters")
                   : ctl_usage ("counters", "");
}

/* galenactl dump: prints the full state of a host.  */
int
ctl_dump (struct ctl *ctl, int argc, char **argv)
{
  if (argc == 1 && strcmp (argv[0], "--programs") == 0)
    return print_response (ctl, "/dump?programs=1");
  return argc == 0 ? print_response (ctl, "/dump")
                   : ctl_usage ("dump", "[--programs]");
}

/* galenactl status: prints the status of a host.  */
int
ctl_status (struct ctl *ctl, int argc, char **argv)
{
  return argc == 0 ? print_response (ctl, "/status")
                   : ctl_usage ("status", "");
}

/* Returns the programs that are active on the host at ADDRESS, or NULL.  */
static json_t *
fetch_programs (const struct ctl *ctl, const char *address)
{
  struct ctl_response response
      = ctl_request_operator (ctl, address, "GET", "/dump?programs=1");
  json_t *programs = json_incref (json_object_get (
      json_object_get (response.body, "programs"), "programs"));

  json_decref (response.body);
  return programs;
}

/* Returns true to end the iteration.  */
typedef bool host_callback (struct ctl *ctl, const char *host,
                            const char *address, void *data);

/* Calls CALLBACK for each host that has an operator address, until it returns
   true.  Returns whether it did.  */
static bool
foreach_host (struct ctl *ctl, host_callback *callback, void *data)
{
  json_t *hosts = ctl_list (ctl, "host");
  bool done = false;
  size_t i;
  json_t *host;

  json_array_foreach (hosts, i, host)
  {
    const char *address = json_string_value (
        json_object_get (json_object_get (host, "data"), "operator_address"));

    if (!done && address)
      done = callback (ctl, json_string_value (json_object_get (host, "name")),
                       address, data);
  }
  json_decref (hosts);
  return done;
}

/* Appends the programs of HOST to DATA, an array.  */
static bool
collect_programs (struct ctl *ctl, const char *host, const char *address,
                  void *data)
{
  json_t *programs = fetch_programs (ctl, address);
  size_t i;
  json_t *program;

  json_array_foreach (programs, i, program)
  {
    json_object_set_new (program, "host", json_string (host));
    json_array_append (data, program);
  }
  json_decref (programs);
  return false;
}

static void
print_programs (const json_t *programs)
{
  static const char *const titles[]
      = { "PROGRAM", "CUSTOMER", "HOST", "TOKENS", "CALLS" };
  json_t *rows = json_array ();
  size_t i;
  json_t *program;

  json_array_foreach (programs, i, program)
  {
    const json_t *spent = json_object_get (program, "spent");
    char *tokens = xasprintf ("%lld", (long long)json_integer_value (
                                          json_object_get (spent, "tokens")));
    char *calls = xasprintf ("%lld", (long long)json_integer_value (
                                         json_object_get (spent, "calls")));

    json_array_append_new (
        rows,
        json_pack ("[O, O, O, s, s]", json_object_get (program, "program"),
                   json_object_get (program, "customer"),
                   json_object_get (program, "host"), tokens, calls));
    free (tokens);
    free (calls);
  }
  ctl_print_table (titles, 5, rows);
  json_decref (rows);
}

static int
list_programs (struct ctl *ctl)
{
  json_t *programs = json_array ();

  foreach_host (ctl, collect_programs, programs);
  if (ctl->json)
    ctl_print_json (programs);
  else
    print_programs (programs);
  json_decref (programs);
  return CTL_OK;
}

static int
show_program (struct ctl *ctl, const char *id)
{
  json_t *programs = json_array ();
  size_t i;
  json_t *program;
  int status = CTL_FAILED;

  foreach_host (ctl, collect_programs, programs);
  json_array_foreach (programs, i, program)
  {
    const char *found
        = json_string_value (json_object_get (program, "program"));

    if (!found || strcmp (found, id) != 0)
      continue;
    ctl_print_json (program);
    status = CTL_OK;
  }
  json_decref (programs);
  return status == CTL_OK
             ? status
             : ctl_fail (
                 "program \"%s\" is not active on any host that responds", id);
}

/* Returns whether HOST cancelled the program whose id is DATA.  */
static bool
cancel_on_host (struct ctl *ctl, const char *host, const char *address,
                void *data)
{
  char *path = xasprintf ("/cancel?program=%s", (const char *)data);
  struct ctl_response response
      = ctl_request_operator (ctl, address, "POST", path);

  free (path);
  json_decref (response.body);
  return response.status == HTTP_OK;
}

/* galenactl program: lists, shows and cancels programs.  */
int
ctl_program (struct ctl *ctl, int argc, char **argv)
{
  if (argc == 1 && strcmp (argv[0], "list") == 0)
    return list_programs (ctl);
  if (argc == 2 && strcmp (argv[0], "show") == 0)
    return show_program (ctl, argv[1]);
  if (argc == 2 && strcmp (argv[0], "cancel") == 0)
    {
      if (foreach_host (ctl, cancel_on_host, argv[1]))
        return CTL_OK;
      return ctl_fail (
          "program \"%s\" is not active on any host that responds", argv[1]);
    }
  return ctl_usage ("program", "list | show ID | cancel ID");
}
