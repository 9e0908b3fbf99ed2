#include "caller/lookup.h"
#include "galenashored/server.h"
#include "program/replication.h"
#include <stdlib.h>
#include <string.h>

enum
{
  RETRY_MS = 1000,
};

struct lookup
{
  struct api_request *request;
  lookup_handler *handle;
};

static void
handle_disconnect (struct api_request *request)
{
  struct lookup *lookup = request->user;

  replication_drop_handlers (request->server->replication, lookup);
  free (lookup);
}

static void
handle_fetched (void *data, struct history *history, bool complete)
{
  struct lookup *lookup = data;
  struct api_request *request = lookup->request;
  lookup_handler *handle = lookup->handle;
  const History__Open *open = history_open_record (history);
  struct error error;

  request->user = NULL;
  request->handle_disconnect = NULL;
  free (lookup);
  if (open && strcmp (open->customer, request->customer) == 0)
    {
      handle (request, history, NULL);
      return;
    }
  if (open || complete)
    error_set (&error, ERROR_NOT_FOUND, RUN_NOT_RUN,
               "program not found; open one first");
  else
    error_set (&error, ERROR_HISTORY_UNAVAILABLE, RUN_NOT_RUN,
               "no replica of the program is reachable; retry later");
  error.retry_after_ms = open || complete ? 0 : RETRY_MS;
  handle (request, NULL, &error);
}

/* Fetches the records of the program that REQUEST's first argument names and
   checks that it belongs to REQUEST's customer.  HANDLE is not called if the
   caller disconnects first.  */
void
lookup_program (struct api_request *request, lookup_handler *handle)
{
  struct lookup *lookup = xcalloc (1, sizeof *lookup);

  lookup->request = request;
  lookup->handle = handle;
  request->user = lookup;
  request->handle_disconnect = handle_disconnect;
  replication_fetch (request->server->replication, request->args[0],
                     handle_fetched, lookup);
}
