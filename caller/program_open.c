#include "caller/routes.h"
#include "program/open.h"
#include <stdlib.h>
#include <string.h>

enum
{
  HTTP_CREATED = 201,
};

static void
handle_opened (struct api_request *request, struct program *program,
               const struct error *error)
{
  char cursor[CURSOR_TEXT_BYTES];
  char *body;

  if (!program)
    {
      api_respond_error (request, error);
      return;
    }
  program_seal_cursor (program, program_find_branch (program, 0), cursor);
  api_set_string (&request->answer_cursor, cursor);
  api_set_string (&request->answer_program, program->id);
  body = xasprintf ("{\"program\":\"%s\",\"branch\":0,\"cursor\":\"%s\"}",
                    program->id, cursor);
  api_respond (request, HTTP_CREATED, "application/json", body, strlen (body));
  free (body);
}

/* POST /v1/programs opens a program and returns its first cursor.  */
void
handle_program_open (struct api_request *request)
{
  program_open (request, handle_opened);
}
