#include "common/id.h"
#include "standin/standin.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Mock endpoint that speaks the platform's protocol.  It sends a plain
   response, or a stream of events if the request has a Token-Usage header. The
   end of the path selects a failure: /shed refuses the request, /fail responds
   with 500, /early drops the response and /crash exits the process.  */

enum
{
  STREAM_EVENTS = 6,
  MAX_ARRIVALS = 65536,
  LIMIT_BYTES = 32,
};

struct stream
{
  ev_timer timer;
  struct standin *standin;
  struct httpd_request *request;
  int64_t next; /* id of the next event */
};

struct endpoint
{
  json_t *counts;   /* request id to number of executions */
  json_t *bodies;   /* request id to a list of bodies, if recorded */
  json_t *last;     /* headers of the latest request */
  json_t *arrivals; /* times of requests, ms */
  int64_t cancelled;
};

static void
collect_header (void *data, const char *name, const char *value)
{
  json_object_set_new (data, name, json_string (value));
}

static void
add_limit (struct standin *standin, struct httpd_request *request)
{
  long long limit_milli = standin->faults.limit_milli;
  char text[LIMIT_BYTES];

  if (limit_milli <= 0)
    return;
  snprintf (text, sizeof text, "%lld.%03lld", limit_milli / 1000,
            limit_milli % 1000);
  httpd_add_header (request, "Server-Limit", text);
}

static void
add_response_headers (struct standin *standin, struct httpd_request *request)
{
  const char *id = httpd_header (request, "Attempt-Id");

  if (standin_use_fault (&standin->faults.crossed_next))
    id = "another";
  httpd_add_header (request, "Attempt-Id", id ? id : "none");
  httpd_add_header (request, "Server-Stamp", "stamp-1");
  httpd_add_header (request, "Server-Load", "1,0,8");
  add_limit (standin, request);
}

static void
handle_disconnect (struct httpd_request *request)
{
  struct stream *stream = request->user;
  struct endpoint *endpoint = stream->standin->state;

  endpoint->cancelled++;
  ev_timer_stop (stream->standin->loop, &stream->timer);
  free (stream);
}

static void
handle_event (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct stream *stream = timer->data;
  struct httpd_request *request = stream->request;
  char text[96];

  if (stream->next <= STREAM_EVENTS
      && !(stream->next == STREAM_EVENTS / 2
           && standin_use_fault (&stream->standin->faults.half_next)))
    {
      snprintf (text, sizeof text, "id: %lld\ndata: token-%lld from %u\n\n",
                (long long)stream->next, (long long)stream->next,
                httpd_port (stream->standin->httpd));
      stream->next++;
      httpd_stream_write (request, text, strlen (text));
      return;
    }
  request->handle_disconnect = NULL;
  request->user = NULL;
  if (stream->next <= STREAM_EVENTS)
    httpd_stream_abort (request);
  else
    httpd_stream_end (request);
  ev_timer_stop (loop, timer);
  free (stream);
}

static void
start_stream (struct standin *standin, struct httpd_request *request)
{
  const char *after = httpd_header (request, "Last-Event-Id");
  struct stream *stream = xcalloc (1, sizeof *stream);
  double interval_s = (double)(standin->settings.work_ms + 1) / 1000.0;

  stream->standin = standin;
  stream->request = request;
  stream->next = after ? strtoll (after, NULL, 10) + 1 : 1;
  request->user = stream;
  request->handle_disconnect = handle_disconnect;
  add_response_headers (standin, request);
  httpd_stream_begin (request, 200, "text/event-stream");
  ev_timer_init (&stream->timer, handle_event, interval_s, interval_s);
  stream->timer.data = stream;
  ev_timer_start (standin->loop, &stream->timer);
}

static bool
ends_with (const char *text, const char *end)
{
  size_t len = strlen (text);

  return len >= strlen (end) && strcmp (text + len - strlen (end), end) == 0;
}

static void
count_run (struct endpoint *endpoint, const char *id)
{
  json_int_t runs
      = json_integer_value (json_object_get (endpoint->counts, id));

  json_object_set_new (endpoint->counts, id, json_integer (runs + 1));
}

static void
record_body (struct endpoint *endpoint, const char *id,
             const struct httpd_request *request)
{
  json_t *list = json_object_get (endpoint->bodies, id);
  json_t *body = json_stringn (request->body.data ? request->body.data : "",
                               request->body.len);

  if (!list)
    {
      list = json_array ();
      json_object_set_new (endpoint->bodies, id, list);
    }
  /* A body that is not UTF-8 is listed as null.  */
  json_array_append_new (list, body ? body : json_null ());
}

static void
endpoint_handle_request (struct standin *standin,
                         struct httpd_request *request)
{
  struct endpoint *endpoint = standin->state;
  const char *id = httpd_header (request, "Attempt-Id");

  if (strcmp (request->path, "/counts") == 0)
    {
      standin_respond_json (
          standin, request, 200,
          json_pack ("{s:O, s:O, s:O, s:I}", "counts", endpoint->counts,
                     "arrivals", endpoint->arrivals, "last", endpoint->last,
                     "cancelled", (json_int_t)endpoint->cancelled));
      return;
    }
  if (strcmp (request->path, "/bodies") == 0)
    {
      standin_respond_json (standin, request, 200,
                            json_incref (endpoint->bodies));
      return;
    }
  if (json_array_size (endpoint->arrivals) < MAX_ARRIVALS)
    json_array_append_new (endpoint->arrivals, json_integer (clock_now_ms ()));
  if (ends_with (request->path, "/crash"))
    _exit (EXIT_FAILURE);
  if (ends_with (request->path, "/shed"))
    {
      httpd_add_header (request, "Attempt-Id", id ? id : "none");
      httpd_add_header (request, "Not-Executed", "1");
      httpd_respond (request, 503, "text/plain", "full", 4);
      return;
    }
  count_run (endpoint, id ? id : "none");
  if (standin->faults.record_bodies)
    record_body (endpoint, id ? id : "none", request);
  json_object_clear (endpoint->last);
  httpd_foreach_header (request, collect_header, endpoint->last);
  if (standin_use_fault (&standin->faults.lose_answers)
      || ends_with (request->path, "/early"))
    {
      standin_drop_response (request);
      return;
    }
  if (httpd_header (request, "Token-Usage"))
    {
      start_stream (standin, request);
      return;
    }
  add_response_headers (standin, request);
  httpd_respond (request, ends_with (request->path, "/fail") ? 500 : 200,
                 "text/plain", request->target, strlen (request->target));
}

static void
endpoint_create (struct standin *standin)
{
  struct endpoint *endpoint = xcalloc (1, sizeof *endpoint);

  endpoint->counts = json_object ();
  endpoint->bodies = json_object ();
  endpoint->last = json_object ();
  endpoint->arrivals = json_array ();
  standin->state = endpoint;
}

static void
endpoint_destroy (struct standin *standin)
{
  struct endpoint *endpoint = standin->state;

  json_decref (endpoint->counts);
  json_decref (endpoint->bodies);
  json_decref (endpoint->last);
  json_decref (endpoint->arrivals);
  free (endpoint);
}

const struct standin_mode standin_endpoint
    = { .name = "endpoint",
        .create = endpoint_create,
        .handle_request = endpoint_handle_request,
        .destroy = endpoint_destroy };
