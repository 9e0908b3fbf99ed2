#include "caller/lookup.h"
#include "caller/routes.h"
#include "galenashored/server.h"
#include "program/program.h"
#include <stdlib.h>
#include <string.h>

enum
{
  HTTP_OK = 200,
};

static void
respond_json (struct api_request *request, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);

  json_decref (body);
  api_respond (request, HTTP_OK, "application/json", text, strlen (text));
  free (text);
}

static void
handle_lookup (struct api_request *request, const struct history *history,
               const struct error *error)
{
  if (!history)
    {
      api_respond_error (request, error);
      return;
    }
  respond_json (request,
                json_pack ("{s:s, s:s, s:b, s:b}", "program", request->args[0],
                           "customer", request->customer, "held", 0, "ended",
                           history_is_closed (history)));
}

/* GET /v1/programs/ID returns a program's branches and budget, or only whether
   it has been closed if it is not loaded here.  */
void
handle_program_show (struct api_request *request)
{
  struct program *program
      = program_find (request->server->programs, request->args[0]);

  if (!program || strcmp (program->customer, request->customer) != 0)
    {
      lookup_program (request, handle_lookup);
      return;
    }
  respond_json (request, program_to_json (program));
}
