#include "galenactl/command.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  HTTP_OK = 200,
  HTTP_ACCEPTED = 202,
  POLL_US = 100000,
  DEFAULT_WAIT_S = 30,
  US_PER_S = 1000000,
};

static const char *
get_operator_address (const json_t *host)
{
  return json_string_value (
      json_object_get (json_object_get (host, "data"), "operator_address"));
}

/* Returns the status of HOST, an object of the platform, from its operator
   listener.  Returns NULL if the host does not respond.  */
static json_t *
fetch_status (const struct ctl *ctl, const json_t *host)
{
  const char *address = get_operator_address (host);
  struct ctl_response response;

  if (!address)
    return NULL;
  response = ctl_request_operator (ctl, address, "GET", "/status");
  if (response.status == HTTP_OK)
    return response.body;
  json_decref (response.body);
  return NULL;
}

static int
list_hosts (struct ctl *ctl)
{
  static const char *const titles[]
      = { "HOST", "DATA CENTRE", "STATE", "REVISION", "OPERATORS" };
  json_t *hosts = ctl_list (ctl, "host");
  json_t *rows = json_array ();
  json_t *host;
  size_t i;

  json_array_foreach (hosts, i, host)
  {
    const json_t *data = json_object_get (host, "data");
    json_t *status = fetch_status (ctl, host);
    char *revision
        = xasprintf ("%lld", (long long)json_integer_value (json_object_get (
                                 status, "applied_revision")));
    const char *state = !status ? "does not answer"
                        : json_is_true (json_object_get (status, "stopping"))
                            ? "stopping"
                            : "serving";

    json_array_append_new (
        rows, json_pack ("[O, O, s, s, O]", json_object_get (host, "name"),
                         json_object_get (data, "data_centre"), state,
                         status ? revision : "-",
                         json_object_get (data, "operator_address")));
    free (revision);
    json_decref (status);
  }
  if (ctl->json)
    ctl_print_json (rows);
  else if (hosts)
    ctl_print_table (titles, 5, rows);
  json_decref (rows);
  json_decref (hosts);
  return hosts ? CTL_OK : CTL_FAILED;
}

/* Deletes the object of a host, so that the other hosts take over its slots.
   Fails if the host still responds.  */
static int
remove_host (struct ctl *ctl, const char *name)
{
  json_t *host = ctl_get (ctl, "host", name);
  json_t *status;
  bool removed;

  if (!host)
    return ctl_fail ("host \"%s\" does not exist; see galenactl host list",
                     name);
  status = fetch_status (ctl, host);
  if (status)
    {
      json_decref (status);
      json_decref (host);
      return ctl_fail ("host \"%s\" is still running; drain it instead", name);
    }
  removed = ctl_delete (ctl, "host", name, ctl_version (host));
  json_decref (host);
  return removed ? CTL_OK : CTL_FAILED;
}

/* galenactl host: lists hosts, or removes one that has failed permanently.  */
int
ctl_host (struct ctl *ctl, int argc, char **argv)
{
  if (argc == 1 && strcmp (argv[0], "list") == 0)
    return list_hosts (ctl);
  if (argc == 2 && strcmp (argv[0], "remove") == 0)
    return remove_host (ctl, argv[1]);
  return ctl_usage ("host", "list | remove NAME");
}

static int
drain_endpoint (struct ctl *ctl, const char *name)
{
  json_t *object = ctl_get (ctl, "endpoint", name);
  json_t *data;
  bool written;

  if (!object)
    return ctl_fail ("endpoint \"%s\" does not exist", name);
  data = json_deep_copy (json_object_get (object, "data"));
  json_object_set_new (data, "leaving", json_true ());
  written = ctl_put (ctl, "endpoint", name, ctl_version (object), data, NULL);
  json_decref (data);
  json_decref (object);
  if (written)
    printf ("endpoint \"%s\" is draining and receives no new calls\n", name);
  return written ? CTL_OK : CTL_FAILED;
}

/* galenactl drain: starts a graceful shutdown of a host, or stops sending new
   calls to an endpoint.  */
int
ctl_drain (struct ctl *ctl, int argc, char **argv)
{
  json_t *host;
  struct ctl_response response = { 0 };

  if (argc == 2 && strcmp (argv[0], "endpoint") == 0)
    return drain_endpoint (ctl, argv[1]);
  if (argc != 1)
    return ctl_usage ("drain", "HOST | endpoint NAME");
  host = ctl_get (ctl, "host", argv[0]);
  if (host && get_operator_address (host))
    response = ctl_request_operator (ctl, get_operator_address (host), "POST",
                                     "/drain");
  json_decref (response.body);
  json_decref (host);
  if (response.status != HTTP_ACCEPTED)
    return ctl_fail (
        "host \"%s\" did not accept the request; see galenactl host list",
        argv[0]);
  printf ("host \"%s\" is stopping; it exits once no work is in progress\n",
          argv[0]);
  return CTL_OK;
}

/* Returns the highest version of any configuration object.  */
static uint64_t
find_latest_revision (const struct ctl *ctl)
{
  json_t *objects = ctl_list (ctl, "template,customer,key,endpoint,route");
  uint64_t latest = 0;
  size_t i;
  json_t *object;

  json_array_foreach (objects, i, object) if (ctl_version (object) > latest)
      latest
      = ctl_version (object);
  json_decref (objects);
  return latest;
}

/* Returns the number of hosts that have not applied REVISION or do not
   respond.  Prints them if PRINT is set.  */
static size_t
count_lagging_hosts (const struct ctl *ctl, uint64_t revision, bool print)
{
  json_t *hosts = ctl_list (ctl, "host");
  size_t lagging = hosts ? 0 : 1;
  size_t i;
  json_t *host;

  json_array_foreach (hosts, i, host)
  {
    json_t *status = fetch_status (ctl, host);
    uint64_t applied = (uint64_t)json_integer_value (
        json_object_get (status, "applied_revision"));

    if (!status || applied < revision)
      {
        lagging++;
        if (print)
          printf ("%s %s\n",
                  json_string_value (json_object_get (host, "name")),
                  status ? "is behind" : "does not answer");
      }
    json_decref (status);
  }
  json_decref (hosts);
  return lagging;
}

/* galenactl wait: waits until every host has applied a revision.  */
int
ctl_wait (struct ctl *ctl, int argc, char **argv)
{
  uint64_t revision = 0;
  int64_t remaining_us = (int64_t)DEFAULT_WAIT_S * US_PER_S;

  for (int i = 0; i + 1 < argc; i += 2)
    {
      if (strcmp (argv[i], "--revision") == 0)
        revision = strtoull (argv[i + 1], NULL, 10);
      else if (strcmp (argv[i], "--timeout-s") == 0)
        remaining_us = strtoll (argv[i + 1], NULL, 10) * US_PER_S;
      else
        return ctl_usage ("wait", "[--revision N] [--timeout-s S]");
    }
  if (argc % 2 != 0)
    return ctl_usage ("wait", "[--revision N] [--timeout-s S]");
  if (revision == 0)
    revision = find_latest_revision (ctl);
  for (; remaining_us > 0; remaining_us -= POLL_US)
    {
      if (count_lagging_hosts (ctl, revision, false) == 0)
        {
          printf ("revision %llu is applied on all hosts\n",
                  (unsigned long long)revision);
          return CTL_OK;
        }
      usleep (POLL_US);
    }
  count_lagging_hosts (ctl, revision, true);
  return ctl_fail ("revision %llu is not applied on all hosts",
                   (unsigned long long)revision);
}
