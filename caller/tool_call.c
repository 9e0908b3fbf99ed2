#include "caller/body.h"
#include "caller/routes.h"
#include "galenashored/server.h"

static bool
customer_may_use_tool (const struct api_request *request, const char *route,
                       struct error *error)
{
  const struct config_customer *customer
      = config_find_customer (request->server->config, request->customer);

  if (!customer || customer->params.tools.count == 0
      || strings_contain (&customer->params.tools, route))
    return true;
  error_set (error, ERROR_FORBIDDEN, RUN_NOT_RUN,
             "the customer is not allowed to use tool \"%.60s\"; use one of "
             "its tools",
             route);
  return false;
}

/* POST /v1/programs/ID/tools/ROUTE/... runs a tool call of a branch.  */
void
handle_tool_call (struct api_request *request)
{
  struct call_spec spec = { 0 };
  struct error error;

  if (body_to_tool_spec (request, request->args[1], &spec, &error)
      && customer_may_use_tool (request, spec.route, &error))
    {
      call_submit (request, &spec, request->args[0]);
      return;
    }
  call_spec_release (&spec);
  api_respond_error (request, &error);
}
