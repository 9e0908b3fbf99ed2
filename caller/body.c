#include "caller/body.h"
#include "galenashored/server.h"
#include <stdlib.h>
#include <string.h>

/* Parses the request body as JSON; an empty body is read as {}.  Returns a new
   reference in ROOT.  */
bool
body_parse (const struct api_request *request, json_t **root,
            struct error *error)
{
  json_error_t json_error;

  if (request->body.len == 0)
    {
      *root = json_object ();
      return true;
    }
  *root = json_loadb (request->body.data, request->body.len,
                      JSON_REJECT_DUPLICATES, &json_error);
  if (*root)
    return true;
  error_set (error, ERROR_BAD_REQUEST, RUN_NOT_RUN,
             "the body is not valid JSON: %s (line %d, column %d); correct it",
             json_error.text, json_error.line, json_error.column);
  return false;
}

/* Validates MESSAGES and appends them to OUT, separated by commas.  */
static bool
append_valid_messages (const json_t *messages, struct buf *out,
                       struct error *error)
{
  size_t i;
  json_t *message;

  if (!json_is_array (messages) || json_array_size (messages) == 0)
    {
      error_set (error, ERROR_BAD_REQUEST, RUN_NOT_RUN,
                 "\"messages\" must be an array with at least one message");
      return false;
    }
  json_array_foreach (messages, i, message)
  {
    char *text;

    if (!json_is_object (message)
        || !json_is_string (json_object_get (message, "role")))
      {
        error_set (error, ERROR_BAD_REQUEST, RUN_NOT_RUN,
                   "message %zu has no \"role\"; every message needs one", i);
        return false;
      }
    text = json_dumps (message, JSON_COMPACT);
    history_append_messages (out, text, strlen (text));
    free (text);
  }
  return true;
}

/* Fills in SPEC for a model call.  Fails if the customer may not use the
   model.  The caller of this function releases SPEC, even on failure.  */
bool
body_to_model_spec (struct api_request *request, const struct model_body *body,
                    struct call_spec *spec, struct error *error)
{
  const struct config_customer *customer
      = config_find_customer (request->server->config, request->customer);

  if (customer && customer->params.models.count > 0
      && !strings_contain (&customer->params.models, body->model))
    {
      error_set (
          error, ERROR_FORBIDDEN, RUN_NOT_RUN,
          "the customer is not allowed to use model \"%.60s\"; use one of "
          "its models",
          body->model);
      return false;
    }
  spec->kind = CALL_MODEL;
  spec->idempotent = true;
  spec->model = xstrdup (body->model);
  spec->max_tokens = body->max_tokens;
  return append_valid_messages (body->messages, &spec->messages, error);
}

/* Fills in SPEC for a service call to PATH, which is "ROUTE" or
   "ROUTE/sub/path", and moves the request's body to it.  The caller of this
   function releases SPEC, even on failure.  */
bool
body_to_tool_spec (struct api_request *request, const char *path,
                   struct call_spec *spec, struct error *error)
{
  size_t len = strcspn (path, "/");
  const struct config_route *route;

  spec->kind = CALL_TOOL;
  spec->route = strndup (path, len);
  spec->subpath = xstrdup (path + len);
  route = config_find_route (request->server->config, spec->route);
  if (!route)
    {
      error_set (error, ERROR_NOT_FOUND, RUN_NOT_RUN,
                 "there is no route \"%.60s\"; see the list of routes",
                 spec->route);
      return false;
    }
  spec->method = xstrdup (request->method);
  spec->idempotent = route->idempotent || strcmp (request->method, "GET") == 0;
  spec->timeout_ms = route->timeout_ms;
  spec->content_type = xstrdup (request->content_type ? request->content_type
                                                      : "application/json");
  spec->body = request->body;
  request->body = (struct buf){ 0 };
  return true;
}
