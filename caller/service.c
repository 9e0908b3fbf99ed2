#include "caller/body.h"
#include "caller/routes.h"
#include "galenashored/server.h"
#include "program/idempotency.h"
#include <stdlib.h>
#include <string.h>

/* An idempotent request to a service, in progress. */
struct proxied_request
{
  struct api_request *request;
  struct service_call *call;
};

static void
handle_disconnect (struct api_request *request)
{
  struct proxied_request *proxied = request->user;

  service_call_cancel (proxied->call);
  free (proxied);
}

static struct api_request *
detach_request (struct proxied_request *proxied)
{
  struct api_request *request = proxied->request;

  request->user = NULL;
  request->handle_disconnect = NULL;
  free (proxied);
  return request;
}

static void
handle_answer (void *data, long status, const struct buf *body)
{
  api_respond (detach_request (data), (unsigned)status, "application/json",
               body->data ? body->data : "", body->len);
}

static void
handle_failed (void *data, const struct error *error)
{
  api_respond_error (detach_request (data), error);
}

static void
proxy_request (struct api_request *request, const struct call_spec *spec)
{
  struct proxied_request *proxied = xcalloc (1, sizeof *proxied);
  struct service_options options = { .route = spec->route,
                                     .method = spec->method,
                                     .subpath = spec->subpath,
                                     .content_type = spec->content_type,
                                     .request_id = request->id,
                                     .body = spec->body.data,
                                     .body_len = spec->body.len,
                                     .idempotent = true,
                                     .timeout_ms = spec->timeout_ms,
                                     .handle_response = handle_answer,
                                     .handle_failed = handle_failed,
                                     .data = proxied };

  proxied->request = request;
  request->user = proxied;
  request->handle_disconnect = handle_disconnect;
  proxied->call = service_call_start (request->server, &options);
}

/* METHOD /v1/services/ROUTE/... proxies a request to a service.  A request
   that is not idempotent requires an Idempotency-Key.  */
void
handle_service (struct api_request *request)
{
  struct call_spec spec = { 0 };
  struct error error;

  if (!body_to_tool_spec (request, request->args[0], &spec, &error))
    goto fail;
  if (spec.idempotent)
    {
      proxy_request (request, &spec);
      call_spec_release (&spec);
      return;
    }
  if (request->idempotency_key && *request->idempotency_key)
    {
      idempotency_submit (request->server->idempotency, request, &spec);
      return;
    }
  error_set (&error, ERROR_BAD_REQUEST, RUN_NOT_RUN,
             "the service is not idempotent; send an Idempotency-Key, or open "
             "a program and send this as a tool call");
fail:
  call_spec_release (&spec);
  api_respond_error (request, &error);
}
