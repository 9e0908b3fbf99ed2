#include "caller/body.h"
#include "caller/routes.h"

enum
{
  DEFAULT_MAX_TOKENS = 256,
  MAX_MAX_TOKENS = 1000000,
};

static const struct field call_fields[] = {
  { .name = "model",
    .type = FIELD_STRING,
    .offset = offsetof (struct model_body, model),
    .required = true,
    .remedy = "name the model" },
  { .name = "messages",
    .type = FIELD_JSON,
    .offset = offsetof (struct model_body, messages),
    .required = true,
    .remedy = "send the messages added since the last call" },
  { .name = "max_tokens",
    .type = FIELD_INT64,
    .offset = offsetof (struct model_body, max_tokens),
    .min = 1,
    .max = MAX_MAX_TOKENS },
  { .name = "stream",
    .type = FIELD_BOOL,
    .offset = offsetof (struct model_body, stream) },
};

enum
{
  FIELD_COUNT = sizeof call_fields / sizeof *call_fields,
};

/* POST /v1/programs/ID/calls runs the next model call of a branch.  */
void
handle_model_call (struct api_request *request)
{
  struct model_body body
      = { .max_tokens = DEFAULT_MAX_TOKENS, .stream = true };
  struct call_spec spec = { 0 };
  json_t *root = NULL;
  struct error error;
  bool ok
      = body_parse (request, &root, &error)
        && fields_read (root, call_fields, FIELD_COUNT, "call", &body, &error)
        && body_to_model_spec (request, &body, &spec, &error);

  spec.format = body.stream ? CALL_EVENTS : CALL_JSON;
  json_decref (root);
  fields_release (call_fields, FIELD_COUNT, &body);
  if (ok)
    {
      call_submit (request, &spec, request->args[0]);
      return;
    }
  call_spec_release (&spec);
  /* fields_read reports faults as errors of the settings.  */
  if (error.kind == ERROR_SETTINGS)
    error.kind = ERROR_BAD_REQUEST;
  api_respond_error (request, &error);
}
