#include "caller/routes.h"
#include "common/id.h"
#include "galenashored/server.h"
#include "peer/forward.h"
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

/* Runs the handler of a request that has come to the host that serves it.  */
void
routes_handle (struct api_request *request)
{
  struct error error;
  const struct route_entry *entry = routes_find (request, &error);

  if (entry)
    entry->handle (request);
  else
    api_respond_error (request, &error);
}

static const char *
program_of (const struct api_request *request)
{
  return request->args[0] ? request->args[0] : request->program;
}

/* Hands REQUEST to the host that owns its program, or handles it here.  A
   stopping host still serves the programs that it has not handed over.  */
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
  while (program && request->hops++ < MAX_HOPS)
    {
      owner = server_owner (server, program);
      if (!owner || server_is_self (server, owner)
          || program_is_held (server->programs, program))
        {
          entry->handle (request);
          return;
        }
      if (forward_start (server->forwarder, request, owner))
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
