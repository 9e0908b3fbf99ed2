#include "caller/lookup.h"
#include "caller/routes.h"
#include "galenashored/server.h"
#include "program/program.h"
#include "program/replication.h"
#include <string.h>

enum
{
  HTTP_OK = 200,
};

static void
respond_closed (struct api_request *request)
{
  static const char body[] = "{\"ended\":true}";

  api_respond (request, HTTP_OK, "application/json", body, strlen (body));
}

static void
handle_lookup (struct api_request *request, const struct history *history,
               const struct error *error)
{
  History__Record record = HISTORY__RECORD__INIT;
  History__Close close = HISTORY__CLOSE__INIT;

  if (!history)
    {
      api_respond_error (request, error);
      return;
    }
  if (!history_is_closed (history))
    {
      close.reason = (char *)"closed by its caller";
      record.body_case = HISTORY__RECORD__BODY_CLOSE;
      record.close = &close;
      replication_append (request->server->replication, request->args[0],
                          &record, NULL, NULL);
    }
  respond_closed (request);
}

/* DELETE /v1/programs/ID closes a program and cancels its calls in flight.  */
void
handle_program_close (struct api_request *request)
{
  struct program *program
      = program_find (request->server->programs, request->args[0]);

  if (!program || strcmp (program->customer, request->customer) != 0)
    {
      lookup_program (request, handle_lookup);
      return;
    }
  program_close (program, "closed by its caller");
  respond_closed (request);
}
