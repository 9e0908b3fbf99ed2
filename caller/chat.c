#include "caller/body.h"
#include "caller/routes.h"
#include "program/open.h"
#include <stdlib.h>

enum
{
  DEFAULT_MAX_TOKENS = 256,
};

/* Reads the fields of the OpenAI chat API that are supported here and ignores
   the others, so that existing clients work unchanged.  */
static bool
read_chat_body (const json_t *root, struct model_body *body,
                struct error *error)
{
  const json_t *model = json_object_get (root, "model");
  const json_t *max_tokens = json_object_get (root, "max_tokens");

  if (!json_is_string (model))
    {
      error_set (error, ERROR_BAD_REQUEST, RUN_NOT_RUN,
                 "\"model\" is missing; name the model");
      return false;
    }
  if (max_tokens
      && (!json_is_integer (max_tokens)
          || json_integer_value (max_tokens) < 1))
    {
      error_set (error, ERROR_BAD_REQUEST, RUN_NOT_RUN,
                 "\"max_tokens\" must be a positive integer");
      return false;
    }
  body->model = xstrdup (json_string_value (model));
  body->messages = json_incref (json_object_get (root, "messages"));
  body->max_tokens
      = max_tokens ? json_integer_value (max_tokens) : DEFAULT_MAX_TOKENS;
  body->stream = json_is_true (json_object_get (root, "stream"));
  return true;
}

static bool
read_call_spec (struct api_request *request, struct call_spec *spec,
                struct error *error)
{
  struct model_body body = { 0 };
  json_t *root = NULL;
  bool ok = body_parse (request, &root, error)
            && read_chat_body (root, &body, error)
            && body_to_model_spec (request, &body, spec, error);

  spec->full_conversation = true;
  spec->format = body.stream ? CALL_CHAT_EVENTS : CALL_CHAT_JSON;
  json_decref (root);
  json_decref (body.messages);
  free (body.model);
  return ok;
}

static void
submit_chat_call (struct api_request *request, const char *program_id)
{
  struct call_spec spec = { 0 };
  struct error error;

  if (read_call_spec (request, &spec, &error))
    {
      call_submit (request, &spec, program_id);
      return;
    }
  call_spec_release (&spec);
  api_respond_error (request, &error);
}

static void
handle_opened (struct api_request *request, struct program *program,
               const struct error *error)
{
  if (program)
    submit_chat_call (request, program->id);
  else
    api_respond_error (request, error);
}

/* POST /v1/chat/completions runs a model call in the OpenAI chat format.  The
   program is given in X-Galena-Program; without it a new one is opened.  */
void
handle_chat (struct api_request *request)
{
  if (request->program)
    submit_chat_call (request, request->program);
  else
    program_open (request, handle_opened);
}
