#include "caller/body.h"
#include "caller/routes.h"
#include "galenashored/server.h"

static bool
may_use (const struct api_request *request, const char *route,
         struct error *error)
{
  const struct config_customer *customer
      = config_find_customer (request->server->config, request->customer);

  if (!customer || customer->params.tools.count == 0
      || strings_contain (&customer->params.tools, route))
    return true;
  error_set (error, ERROR_FORBIDDEN, RUN_NOT_RUN,
             "the customer may not use the tool \"%.60s\"; name one of its "
             "tools",
             route);
  return false;
}

/* POST /v1/programs/ID/tools/ROUTE/... runs a tool call of a branch.  */
void
handle_tool (struct api_request *request)
{
  struct call_spec spec = { 0 };
  struct error error;

  if (body_tool_route (request, request->args[1], &spec, &error)
      && may_use (request, spec.route, &error))
    {
      call_submit (request, &spec, request->args[0]);
      return;
    }
  call_spec_release (&spec);
  api_respond_error (request, &error);
}
