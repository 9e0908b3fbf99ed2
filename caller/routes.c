#include "caller/routes.h"
#include "common/id.h"
#include "galenashored/server.h"
#include "peer/forward.h"
#include "program/handover.h"
#include "program/program.h"
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_HOPS = 4,
  PEER_RETRY_MS = 500,
};

/* Sorted by pattern, then by method. */
static const struct route_entry route_table[] = {
  { "POST", "/v1/chat/completions", ROUTE_PROGRAM, true, handle_chat },
  { "POST", "/v1/programs", ROUTE_HERE, true, handle_program_open },
  { "DELETE", "/v1/programs/*", ROUTE_PROGRAM, false, handle_program_close },
  { "GET", "/v1/programs/*", ROUTE_PROGRAM, false, handle_program_show },
  { "POST", "/v1/programs/*/branches", ROUTE_PROGRAM, false,
    handle_branch_open },
  { "POST", "/v1/programs/*/calls", ROUTE_PROGRAM, true, handle_call },
  { "POST", "/v1/programs/*/tools/**", ROUTE_PROGRAM, true, handle_tool },
  { "DELETE", "/v1/services/**", ROUTE_HERE, true, handle_service },
  { "GET", "/v1/services/**", ROUTE_HERE, true, handle_service },
  { "POST", "/v1/services/**", ROUTE_HERE, true, handle_service },
  { "PUT", "/v1/services/**", ROUTE_HERE, true, handle_service },
  { "GET", "/v1/uploads/*", ROUTE_HERE, false, handle_upload_show },
  { "PUT", "/v1/uploads/*", ROUTE_HERE, true, handle_upload },
};

static size_t
segment_len (const char *text)
{
  return strcspn (text, "/");
}

static void
set_arg (struct api_request *request, int index, const char *text, size_t len)
{
  if (index >= API_MAX_ARGS)
    return;
  free (request->args[index]);
  request->args[index] = strndup (text, len);
}

/* Matches PATH against PATTERN and stores what the stars stand for.  */
static bool
match (struct api_request *request, const char *pattern)
{
  const char *path = request->path;
  int arg = 0;

  while (*pattern == '/' && *path == '/')
    {
      size_t pattern_len = segment_len (++pattern);
      size_t path_len = segment_len (++path);

      if (strcmp (pattern, "**") == 0)
        {
          set_arg (request, arg, path, strlen (path));
          return *path != '\0';
        }
      if (pattern_len == 1 && *pattern == '*' && path_len > 0)
        set_arg (request, arg++, path, path_len);
      else if (pattern_len != path_len
               || memcmp (pattern, path, path_len) != 0)
        return false;
      pattern += pattern_len;
      path += path_len;
    }
  return *pattern == '\0' && *path == '\0';
}

/* Finds the handler of REQUEST and fills in its arguments.  NULL and ERROR
   where there is none.  */
const struct route_entry *
routes_find (struct api_request *request, struct error *error)
{
  bool path_known = false;

  for (size_t i = 0; i < sizeof route_table / sizeof *route_table; i++)
    {
      if (!match (request, route_table[i].pattern))
        continue;
      path_known = true;
      if (strcmp (route_table[i].method, request->method) == 0)
        return &route_table[i];
    }
  error_set (error, path_known ? ERROR_METHOD : ERROR_NOT_FOUND, RUN_NOT_RUN,
             path_known ? "this path does not take %s; see CALLER-API"
                        : "there is no such path for %s; see CALLER-API",
             request->method);
  return NULL;
}

static const char *
program_of (const struct api_request *request)
{
  return request->args[0] ? request->args[0] : request->program;
}

/* Serves a program that this host holds, or passes its request on to where it
   has just been handed.  False where the host knows nothing of it.  */
static bool
serve_held (struct api_request *request, const struct route_entry *entry,
            const char *program)
{
  struct server *server = request->server;
  const char *gone_to = handover_host (server->programs, program);
  const struct config_host *host
      = gone_to ? config_find_host (server->config, gone_to) : NULL;

  if (program_is_held (server->programs, program))
    {
      entry->handle (request);
      return true;
    }
  if (program_find (server->programs, program))
    {
      handover_park (server->programs, request);
      return true;
    }
  return host && request->hops++ < MAX_HOPS
         && forwarder_forward (server->forwarder, request, host);
}

/* The process that gave the cursor out serves the program as long as it lives
   and stays, whoever would own it by the hosts that there are now: only there
   does a call that must not be repeated run.  */
static const struct config_host *
host_of_cursor (const struct api_request *request)
{
  const struct server *server = request->server;
  const struct config_host *host;
  struct cursor cursor;
  struct error error;

  if (!request->cursor
      || !cursor_open (&server->settings->keyring, request->cursor, &cursor,
                       &error))
    return NULL;
  host = server_host_of_process (server, cursor.process);
  if (!host || server_is_self (server, host))
    return host;
  if (host->leaving || mesh_is_suspect (server->mesh, host->name)
      || mesh_is_leaving (server->mesh, host->name))
    return NULL;
  return host;
}

static const struct config_host *
pick_host (const struct api_request *request, const char *program)
{
  const struct config_host *host = host_of_cursor (request);

  if (host
      && !(server_is_self (request->server, host)
           && request->server->stopping))
    return host;
  return server_owner (request->server, program);
}

/* Hands REQUEST to the host that serves its program, or handles it here.  A
   host serves the programs that it holds, whoever owns them next.  */
void
routes_enter (struct api_request *request)
{
  struct server *server = request->server;
  struct error error;
  const struct route_entry *entry = routes_find (request, &error);
  const char *program;
  const struct config_host *owner;

  if (!entry)
    {
      api_respond_error (request, &error);
      return;
    }
  program = entry->owner == ROUTE_PROGRAM ? program_of (request) : NULL;
  if (program && serve_held (request, entry, program))
    return;
  while (program && request->hops++ < MAX_HOPS)
    {
      owner = pick_host (request, program);
      if (!owner || server_is_self (server, owner))
        {
          entry->handle (request);
          return;
        }
      if (forwarder_forward (server->forwarder, request, owner))
        return;
    }
  if (!program)
    {
      entry->handle (request);
      return;
    }
  error_set (&error, ERROR_PEER, RUN_MAY_HAVE_RUN,
             "the hosts that own the program do not answer; send the call "
             "again with the same cursor");
  error.retry_after_ms = PEER_RETRY_MS;
  api_respond_error (request, &error);
}

/* Handles a request that another host has passed on because this one owns its
   program, or owned it a moment ago.  */
void
routes_deliver (struct api_request *request)
{
  struct error error;
  const struct route_entry *entry = routes_find (request, &error);
  const char *program;

  if (!entry)
    {
      api_respond_error (request, &error);
      return;
    }
  program = entry->owner == ROUTE_PROGRAM ? program_of (request) : NULL;
  if (program && serve_held (request, entry, program))
    return;
  if (request->server->stopping)
    routes_enter (request);
  else
    entry->handle (request);
}
