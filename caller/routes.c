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
  MAX_HOPS = 4, /* ends forwarding loops between hosts */
  PEER_RETRY_MS = 500,
};

/* Sorted by pattern, then by method. */
static const struct route_entry route_table[] = {
  { "POST", "/v1/chat/completions", ROUTE_PROGRAM_OWNER, true, handle_chat },
  { "POST", "/v1/programs", ROUTE_ANY_HOST, true, handle_program_open },
  { "DELETE", "/v1/programs/*", ROUTE_PROGRAM_OWNER, false,
    handle_program_close },
  { "GET", "/v1/programs/*", ROUTE_PROGRAM_OWNER, false, handle_program_show },
  { "POST", "/v1/programs/*/branches", ROUTE_PROGRAM_OWNER, false,
    handle_branch_open },
  { "POST", "/v1/programs/*/calls", ROUTE_PROGRAM_OWNER, true,
    handle_model_call },
  { "POST", "/v1/programs/*/tools/**", ROUTE_PROGRAM_OWNER, true,
    handle_tool_call },
  { "DELETE", "/v1/services/**", ROUTE_ANY_HOST, true, handle_service },
  { "GET", "/v1/services/**", ROUTE_ANY_HOST, true, handle_service },
  { "POST", "/v1/services/**", ROUTE_ANY_HOST, true, handle_service },
  { "PUT", "/v1/services/**", ROUTE_ANY_HOST, true, handle_service },
  { "GET", "/v1/uploads/*", ROUTE_ANY_HOST, false, handle_upload_show },
  { "PUT", "/v1/uploads/*", ROUTE_ANY_HOST, true, handle_upload },
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

/* Matches REQUEST's path against PATTERN and stores the segments that match
   wildcards as its arguments.  Arguments may be stored even if the pattern
   does not match.  */
static bool
match_pattern (struct api_request *request, const char *pattern)
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

/* Returns the route of REQUEST and fills in its arguments.  Returns NULL and
   sets ERROR if there is none.  */
const struct route_entry *
routes_find (struct api_request *request, struct error *error)
{
  bool path_found = false;

  for (size_t i = 0; i < sizeof route_table / sizeof *route_table; i++)
    {
      if (!match_pattern (request, route_table[i].pattern))
        continue;
      path_found = true;
      if (strcmp (route_table[i].method, request->method) == 0)
        return &route_table[i];
    }
  error_set (error, path_found ? ERROR_METHOD : ERROR_NOT_FOUND, RUN_NOT_RUN,
             path_found
                 ? "method %s is not supported for this path; see CALLER-API"
                 : "unknown path for method %s; see CALLER-API",
             request->method);
  return NULL;
}

/* Returns the program named by the path or else by X-Galena-Program.  */
static const char *
request_program_id (const struct api_request *request)
{
  return request->args[0] ? request->args[0] : request->program;
}

/* Handles REQUEST if its program is loaded here, queues it while the program
   is being handed over, or forwards it to the host that the program was
   recently handed over to.  Returns false if none of this applies.  */
static bool
serve_if_known (struct api_request *request, const struct route_entry *entry,
                const char *program)
{
  struct server *server = request->server;
  const char *new_host = handover_target (server->programs, program);
  const struct config_host *host
      = new_host ? config_find_host (server->config, new_host) : NULL;

  if (program_is_active (server->programs, program))
    {
      entry->handle (request);
      return true;
    }
  if (program_find (server->programs, program))
    {
      handover_queue_request (server->programs, request);
      return true;
    }
  return host && request->hops++ < MAX_HOPS
         && forwarder_forward (server->forwarder, request, host);
}

/* Returns the host of the process that issued REQUEST's cursor, unless it is
   suspect or leaving.  That process keeps serving the program even if the
   current set of hosts maps it to another owner, because a non-idempotent call
   may only run there.  */
static const struct config_host *
cursor_host (const struct api_request *request)
{
  const struct server *server = request->server;
  const struct config_host *host;
  struct cursor cursor;
  struct error error;

  if (!request->cursor
      || !cursor_open (&server->settings->keyring, request->cursor, &cursor,
                       &error))
    return NULL;
  host = server_find_host_of_process (server, cursor.process);
  if (!host || server_is_self (server, host))
    return host;
  if (host->leaving || mesh_is_suspect (server->mesh, host->name)
      || mesh_is_leaving (server->mesh, host->name))
    return NULL;
  return host;
}

/* Returns the host that REQUEST should be handled on, or NULL.  */
static const struct config_host *
select_host (const struct api_request *request, const char *program)
{
  const struct config_host *host = cursor_host (request);

  if (host
      && !(server_is_self (request->server, host)
           && request->server->stopping))
    return host;
  return server_find_owner (request->server, program);
}

/* Handles REQUEST here or forwards it to the host that serves its program.  A
   host serves the programs it has loaded, even if another host owns them by
   now.  */
void
routes_dispatch (struct api_request *request)
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
  program = entry->owner == ROUTE_PROGRAM_OWNER ? request_program_id (request)
                                                : NULL;
  if (program && serve_if_known (request, entry, program))
    return;
  while (program && request->hops++ < MAX_HOPS)
    {
      owner = select_host (request, program);
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
             "the hosts that own the program are not responding; retry the "
             "call with the same cursor");
  error.retry_after_ms = PEER_RETRY_MS;
  api_respond_error (request, &error);
}

/* Handles a request that another host forwarded because this host owns its
   program, or did so recently.  */
void
routes_dispatch_forwarded (struct api_request *request)
{
  struct error error;
  const struct route_entry *entry = routes_find (request, &error);
  const char *program;

  if (!entry)
    {
      api_respond_error (request, &error);
      return;
    }
  program = entry->owner == ROUTE_PROGRAM_OWNER ? request_program_id (request)
                                                : NULL;
  if (program && serve_if_known (request, entry, program))
    return;
  if (request->server->stopping)
    routes_dispatch (request);
  else
    entry->handle (request);
}
