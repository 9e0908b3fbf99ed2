#include "caller/body.h"
#include "caller/routes.h"
#include "galenashored/server.h"
#include "program/once.h"
#include <stdlib.h>
#include <string.h>

/* An idempotent request on its way.  Owned by its service call. */
struct passage
{
  struct api_request *request;
  struct service_call *call;
};

static void
handle_gone (struct api_request *request)
{
  struct passage *passage = request->user;

  service_cancel (passage->call);
  free (passage);
}

static struct api_request *
finish (struct passage *passage)
{
  struct api_request *request = passage->request;

  request->user = NULL;
  request->handle_gone = NULL;
  free (passage);
  return request;
}

static void
handle_answer (void *data, long status, const struct buf *body)
{
  api_respond (finish (data), (unsigned)status, "application/json",
               body->data ? body->data : "", body->len);
}

static void
handle_failed (void *data, const struct error *error)
{
  api_respond_error (finish (data), error);
}

static void
pass (struct api_request *request, const struct call_spec *spec)
{
  struct passage *passage = xcalloc (1, sizeof *passage);
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
                                     .data = passage };

  passage->request = request;
  request->user = passage;
  request->handle_gone = handle_gone;
  passage->call = service_start (request->server, &options);
}

/* METHOD /v1/services/ROUTE/... passes a request to a plain service.  One that
   is not idempotent needs an Idempotency-Key.  */
void
handle_service (struct api_request *request)
{
  struct call_spec spec = { 0 };
  struct error error;

  if (!body_tool_route (request, request->args[0], &spec, &error))
    goto refuse;
  if (spec.idempotent)
    {
      pass (request, &spec);
      call_spec_release (&spec);
      return;
    }
  if (request->idempotency_key && *request->idempotency_key)
    {
      once_submit (request->server->once, request, &spec);
      return;
    }
  error_set (&error, ERROR_BAD_REQUEST, RUN_NOT_RUN,
             "the service's calls must not be repeated; send an "
             "Idempotency-Key, or open a program and make this a tool call");
refuse:
  call_spec_release (&spec);
  api_respond_error (request, &error);
}
