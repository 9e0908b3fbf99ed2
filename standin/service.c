#include "common/id.h"
#include "standin/standin.h"
#include <stdlib.h>
#include <string.h>

struct execution
{
  ev_timer timer;
  struct standin *standin;
  struct httpd_request *request; /* NULL after the client disconnected */
  char *id;
};

struct service
{
  json_t *counts; /* request id to number of executions */
  int64_t total;
};

static void
count_execution (struct service *service, const char *id)
{
  json_int_t previous
      = json_integer_value (json_object_get (service->counts, id));

  service->total++;
  json_object_set_new (service->counts, id, json_integer (previous + 1));
}

static void
respond (struct standin *standin, struct httpd_request *request,
         const char *id)
{
  struct faults *faults = &standin->faults;
  struct service *service = standin->state;

  if (standin_use_fault (&faults->lose_answers))
    standin_drop_response (request);
  else if (standin_use_fault (&faults->garbage_next))
    httpd_respond (request, 200, "application/json", "{\"ok\": tru", 10);
  else if (standin_use_fault (&faults->half_next))
    {
      httpd_stream_begin (request, 200, "application/json");
      httpd_stream_write (request, "{\"ok\":", 6);
      httpd_stream_abort (request);
    }
  else
    standin_respond_json (
        standin, request, 200,
        json_pack ("{s:b, s:s, s:I}", "ok", 1, "request_id",
                   standin_use_fault (&faults->crossed_next) ? "another" : id,
                   "execution", (json_int_t)service->total));
}

static void
handle_execution_done (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct execution *execution = watcher->data;

  count_execution (execution->standin->state, execution->id);
  if (execution->request)
    {
      execution->request->user = NULL;
      execution->request->handle_disconnect = NULL;
      respond (execution->standin, execution->request, execution->id);
    }
  free (execution->id);
  free (execution);
}

static void
handle_disconnect (struct httpd_request *request)
{
  struct execution *execution = request->user;

  execution->request = NULL;
}

/* The execution continues if the client disconnects, as in real services.  */
static void
execute (struct standin *standin, struct httpd_request *request)
{
  const char *id = httpd_header (request, "X-Request-Id");
  struct execution *execution;

  if (!id)
    id = "none";
  if (standin->settings.work_ms <= 0)
    {
      count_execution (standin->state, id);
      respond (standin, request, id);
      return;
    }
  execution = xcalloc (1, sizeof *execution);
  execution->standin = standin;
  execution->request = request;
  execution->id = xstrdup (id);
  request->user = execution;
  request->handle_disconnect = handle_disconnect;
  ev_timer_init (&execution->timer, handle_execution_done,
                 (double)standin->settings.work_ms / 1000.0, 0);
  execution->timer.data = execution;
  ev_timer_start (standin->loop, &execution->timer);
}

static void
service_handle_request (struct standin *standin, struct httpd_request *request)
{
  struct service *service = standin->state;

  if (strcmp (request->path, "/counts") == 0)
    standin_respond_json (standin, request, 200,
                          json_pack ("{s:I, s:O}", "total",
                                     (json_int_t)service->total, "counts",
                                     service->counts));
  else if (strcmp (request->path, "/v1/load") == 0)
    standin_respond_json (
        standin, request, 200,
        json_pack ("{s:i, s:i}", "running", 0, "waiting", 0));
  else
    execute (standin, request);
}

static void
service_create (struct standin *standin)
{
  struct service *service = xcalloc (1, sizeof *service);

  service->counts = json_object ();
  standin->state = service;
}

static void
service_destroy (struct standin *standin)
{
  struct service *service = standin->state;

  json_decref (service->counts);
  free (service);
}

const struct standin_mode standin_service
    = { .name = "service",
        .create = service_create,
        .handle_request = service_handle_request,
        .destroy = service_destroy };
