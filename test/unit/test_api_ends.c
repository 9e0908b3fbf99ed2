#include "caller/api.h"
#include "caller/listener.h"
#include "common/buf.h"
#include "common/counters.h"
#include "common/id.h"
#include "endpoint/dispatcher.h"
#include "galenashored/server.h"
#include "http_caller.h"
#include "policy/retry.h"
#include "program/waiter.h"
#include "raw_endpoint.h"
#include "suites.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A request of the own interface whose response is only counted. */
struct counted
{
  struct api_request request; /* first member */
  bool is_full;               /* the caller takes nothing more */
  uint32_t begins;
  uint32_t ends; /* complete */
  uint32_t aborts;
  uint32_t late_writes; /* after an end */
};

static void
count_begin (struct api_request *request, unsigned status,
             const char *content_type, bool streaming)
{
  ((struct counted *)request)->begins++;
}

static bool
count_write (struct api_request *request, const void *data, size_t len)
{
  struct counted *counted = (struct counted *)request;

  counted->late_writes += counted->ends + counted->aborts > 0;
  return !counted->is_full;
}

static void
count_end (struct api_request *request)
{
  ((struct counted *)request)->ends++;
}

static void
count_abort (struct api_request *request)
{
  ((struct counted *)request)->aborts++;
}

static const struct api_sink_impl counting = { .begin = count_begin,
                                               .write = count_write,
                                               .end = count_end,
                                               .abort = count_abort };

enum operation
{
  BEGIN_STREAM,
  BEGIN_WHOLE,
  WRITE,
  END,
  ABORT,
  RESPOND,
  REFUSE,
  OPERATIONS,
};

enum
{
  MAX_OPERATIONS = 5,
};

static void
apply (struct api_request *request, enum operation operation)
{
  struct error error;

  switch (operation)
    {
    case BEGIN_STREAM:
    case BEGIN_WHOLE:
      api_begin (request, 200, "text/plain", operation == BEGIN_STREAM);
      break;
    case WRITE:
      api_write (request, "x", 1);
      break;
    case END:
      api_end (request);
      break;
    case ABORT:
      api_abort (request);
      break;
    case RESPOND:
      api_respond (request, 200, "text/plain", "x", 1);
      break;
    default:
      error_set (&error, ERROR_ENDPOINT, RUN_MAY_HAVE_RUN, "refused");
      api_respond_error (request, &error);
      break;
    }
}

/* What a response must be after operations, by the rules of common/ending.h.
 */
struct expected
{
  bool has_begun;
  bool is_complete;
  bool is_aborted;
  uint32_t late;
};

static void
expect (struct expected *expected, enum operation operation)
{
  bool has_ended = expected->is_complete || expected->is_aborted;
  bool is_whole = operation == RESPOND || operation == REFUSE;
  bool is_begin = operation == BEGIN_STREAM || operation == BEGIN_WHOLE;

  if (operation == WRITE)
    return;
  if (has_ended)
    {
      expected->late++;
      return;
    }
  if (operation == ABORT)
    expected->is_aborted = true;
  else if ((operation == END) == expected->has_begun && !is_begin)
    expected->is_complete = true;
  else if (is_begin && !expected->has_begun)
    expected->has_begun = true;
  else
    {
      expected->is_aborted = true;
      expected->late++;
    }
  expected->has_begun |= is_whole && expected->is_complete;
}

static void
check_sequence (uint32_t sequence, int count)
{
  struct counted counted = { .request = { .impl = &counting } };
  struct expected expected = { 0 };
  int64_t late = counter_get (COUNTER_RESPONSES_LATE);

  for (int i = 0; i < count; i++, sequence /= OPERATIONS)
    {
      enum operation operation = (enum operation) (sequence % OPERATIONS);

      apply (&counted.request, operation);
      expect (&expected, operation);
    }
  CU_ASSERT_EQUAL (counted.begins, expected.has_begun);
  CU_ASSERT_EQUAL (counted.ends, expected.is_complete);
  CU_ASSERT_EQUAL (counted.aborts, expected.is_aborted);
  CU_ASSERT_EQUAL (counted.late_writes, 0);
  CU_ASSERT_EQUAL (counter_get (COUNTER_RESPONSES_LATE), late + expected.late);
}

/* Guards against requests of the own interface that end twice, or whose
   refusal is written into a stream that then looks complete: all sequences of
   up to five operations.  */
static void
response_ends_once (void)
{
  uint32_t sequences = 1;

  for (int count = 1; count <= MAX_OPERATIONS; count++)
    {
      sequences *= OPERATIONS;
      for (uint32_t i = 0; i < sequences; i++)
        check_sequence (i, count);
    }
}

/* Ends the response to a model call in FORMAT whose caller takes nothing
   more.  */
static void
check_full_caller (enum call_format format, bool is_failure)
{
  struct counted counted
      = { .request = { .impl = &counting }, .is_full = true };
  struct engine_usage usage = { .prompt_tokens = 1 };
  struct answer_metadata metadata = {
    .cursor = "c", .program = "p", .turn = 1, .replicas = 2, .usage = &usage
  };
  struct waiter *list = NULL;
  struct answer answer = { .status = 200 };
  struct error error;

  answer_append_token (&answer, "word", 4);
  waiter_add (&list, &counted.request, format);
  list->streaming = is_failure;
  counted.request.ending.has_begun = is_failure;
  error_set (&error, ERROR_ENDPOINT, RUN_MAY_HAVE_RUN, "failed");
  if (is_failure)
    waiter_fail (list, &error, "c");
  else
    waiter_finish (list, CALL_MODEL, &answer, &metadata);
  CU_ASSERT_PTR_NULL (list);
  CU_ASSERT_EQUAL (counted.ends, 0);
  CU_ASSERT_EQUAL (counted.aborts, 1);
  answer_release (&answer);
  api_set_string (&counted.request.answer_cursor, NULL);
  api_set_string (&counted.request.answer_program, NULL);
}

/* Guards against responses that end as complete without the rest of the
   answer, for which the caller, or the link to the host that serves it, had no
   room.  */
static void
response_without_room_is_aborted (void)
{
  struct counted counted
      = { .request = { .impl = &counting }, .is_full = true };

  for (int format = CALL_EVENTS; format <= CALL_CHAT_JSON; format++)
    check_full_caller ((enum call_format)format, false);
  check_full_caller (CALL_EVENTS, true);
  api_respond (&counted.request, 200, "text/plain", "x", 1);
  CU_ASSERT_EQUAL (counted.ends, 0);
  CU_ASSERT_EQUAL (counted.aborts, 1);
}

enum
{
  CONFIG_WAIT_MS = 3500, /* longer than requests wait for a configuration */
  END_MS = 500,
  CALL_TIMEOUT_MS = 120, /* of the route, for each attempt */
};

enum listener_event
{
  EVENT_TICK, /* long after the request came */
  EVENT_DESTROY,
  EVENT_LEAVE,
  EVENT_TICK_AND_DESTROY,
  EVENT_LEAVE_AND_DESTROY,
  EVENT_COUNT,
};

static void
run_until_end (struct ev_loop *loop, const struct http_caller *caller)
{
  int64_t until_ms = clock_now_ms () + END_MS;

  while (caller->end == HTTP_PENDING && clock_now_ms () < until_ms)
    {
      ev_run (loop, EVRUN_NOWAIT);
      ev_sleep (0.001);
    }
}

/* Has EVENT happen to a request that waits for the first configuration.  */
static void
check_waiting (enum listener_event event, const char *request)
{
  uint16_t port = http_caller_free_port ();
  char *listen = xasprintf ("127.0.0.1:%u", port);
  struct settings settings = { .caller_listen = listen,
                               .max_body_bytes = 1024,
                               .max_connections = 8 };
  struct server server
      = { .settings = &settings, .loop = ev_loop_new (EVFLAG_AUTO) };
  struct error error;
  struct listener *listener = listener_create (&server, &error);
  int64_t late = counter_get (COUNTER_RESPONSES_LATE);
  bool leaves = event == EVENT_LEAVE || event == EVENT_LEAVE_AND_DESTROY;
  struct http_caller *caller;

  CU_ASSERT_PTR_NOT_NULL_FATAL (listener);
  caller = http_caller_create (server.loop, port, request);
  for (int i = 0; i < 20 && listener_is_idle (listener); i++)
    {
      ev_run (server.loop, EVRUN_NOWAIT);
      ev_sleep (0.002);
    }
  for (int i = 0; i < 5; i++)
    ev_run (server.loop, EVRUN_NOWAIT);
  if (leaves)
    http_caller_leave (caller);
  if (event == EVENT_TICK || event == EVENT_TICK_AND_DESTROY)
    listener_tick (listener, clock_now_ms () + CONFIG_WAIT_MS);
  if (event == EVENT_TICK)
    run_until_end (server.loop, caller);
  listener_destroy (listener);
  if (!leaves)
    {
      run_until_end (server.loop, caller);
      CU_ASSERT_NOT_EQUAL (caller->end, HTTP_PENDING);
      CU_ASSERT_TRUE (caller->status >= 500);
      CU_ASSERT_TRUE (http_caller_has (caller, "not_run"));
    }
  CU_ASSERT_EQUAL (caller->excess, 0);
  CU_ASSERT_EQUAL (counter_get (COUNTER_RESPONSES_LATE), late);
  http_caller_destroy (caller);
  ev_loop_destroy (server.loop);
  free (listen);
}

/* Guards against a planned stop that takes a request on a kept connection once
   it has found that no work is left, and then cuts it: the connection is
   closed before.  */
static void
stopping_listener_closes_kept_connections (void)
{
  uint16_t port = http_caller_free_port ();
  char *listen = xasprintf ("127.0.0.1:%u", port);
  struct settings settings = { .caller_listen = listen,
                               .max_body_bytes = 1024,
                               .max_connections = 8 };
  struct server server
      = { .settings = &settings, .loop = ev_loop_new (EVFLAG_AUTO) };
  struct error error;
  struct listener *listener = listener_create (&server, &error);
  struct http_caller *caller;
  int64_t until_ms = clock_now_ms () + END_MS;

  CU_ASSERT_PTR_NOT_NULL_FATAL (listener);
  caller = http_caller_create (server.loop, port, "");
  for (int i = 0; i < 10; i++)
    ev_run (server.loop, EVRUN_NOWAIT);
  CU_ASSERT_FALSE (listener_close_idle (listener, clock_now_ms ()));
  while (!listener_close_idle (listener, clock_now_ms ())
         && clock_now_ms () < until_ms)
    ev_run (server.loop, EVRUN_NOWAIT);
  CU_ASSERT_TRUE (listener_close_idle (listener, clock_now_ms ()));
  run_until_end (server.loop, caller);
  CU_ASSERT_EQUAL (caller->end, HTTP_CUT);
  listener_destroy (listener);
  http_caller_destroy (caller);
  ev_loop_destroy (server.loop);
  free (listen);
}

/* Guards against requests of the own interface without an end, or with two,
   that wait for a configuration while their host stops, gives up waiting, or
   their callers leave.  */
static void
waiting_request_ends_once (void)
{
  for (int event = 0; event < EVENT_COUNT; event++)
    {
      check_waiting ((enum listener_event)event,
                     "POST /v1/programs HTTP/1.1\r\nHost: h\r\n"
                     "Content-Length: 2\r\n\r\n{}");
      check_waiting ((enum listener_event)event,
                     "POST /v1/programs HTTP/1.0\r\n"
                     "Content-Length: 2\r\n\r\n{}");
    }
}

/* How far a call to a service is when something happens to it. */
enum call_step
{
  CALL_WAITING, /* the endpoint refuses it, and it is sent again */
  CALL_SENT,
  CALL_HEAD,
  CALL_STEPS,
};

enum call_way
{
  CALL_COMPLETES,
  CALL_CLOSES,
  CALL_RESETS,
  CALL_FAILS,    /* status 500 */
  CALL_NONSENSE, /* bytes that are no response */
  CALL_TIMES_OUT,
  CALL_LEAVES,      /* the caller does */
  CALL_STOPS,       /* the listener is destroyed */
  CALL_NO_ROUTE,    /* the route and its endpoints are removed */
  CALL_NO_LISTENER, /* refuses connections */
  CALL_WAYS,
};

struct service_play
{
  struct server server;
  struct settings settings;
  struct listener *listener;
  struct raw_endpoint *endpoint;
  struct http_caller *caller;
  enum call_step step;
  uint32_t sends;
  char *listen;
};

static struct raw_answer
answer_call (void *data, struct raw_endpoint *endpoint, const char *request)
{
  static const char full[] = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
  static const char head[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
  struct service_play *play = data;
  const char *bytes = play->step == CALL_WAITING ? full
                      : play->step == CALL_HEAD  ? head
                                                 : "";

  play->sends++;
  return (struct raw_answer){ .bytes = bytes,
                              .len = strlen (bytes),
                              .end = RAW_KEEP };
}

static struct config *
build_config (const struct service_play *play, bool has_route)
{
  json_t *objects = json_array ();
  struct config *config;

  if (has_route)
    {
      char *url = xasprintf ("http://127.0.0.1:%u", play->endpoint->port);

      json_array_append_new (objects,
                             json_pack ("{s:s,s:s,s:{s:b,s:b,s:i}}", "kind",
                                        "route", "name", "public", "data",
                                        "idempotent", 1, "open_to_all", 1,
                                        "timeout_ms", CALL_TIMEOUT_MS));
      json_array_append_new (
          objects, json_pack ("{s:s,s:s,s:{s:s,s:s,s:s}}", "kind", "endpoint",
                              "name", "s", "data", "kind", "service", "route",
                              "public", "url", url));
      free (url);
    }
  config = config_build (objects, has_route ? 1 : 2);
  json_decref (objects);
  return config;
}

static void
apply_config (struct service_play *play, bool has_route)
{
  struct config *old = play->server.config;

  play->server.config = build_config (play, has_route);
  dispatcher_apply (play->server.dispatcher, play->server.config);
  config_destroy (old);
}

static void
service_play_open (struct service_play *play, enum call_step step)
{
  uint16_t port = http_caller_free_port ();
  char request[] = "GET /v1/services/public/x HTTP/1.1\r\nHost: h\r\n\r\n";
  struct error error;

  *play = (struct service_play){ .step = step };
  play->listen = xasprintf ("127.0.0.1:%u", port);
  play->settings = (struct settings){ .caller_listen = play->listen,
                                      .max_body_bytes = 1024,
                                      .max_connections = 8 };
  play->server.settings = &play->settings;
  play->server.loop = ev_loop_new (EVFLAG_AUTO);
  play->server.fetcher = fetcher_create (play->server.loop);
  play->server.dispatcher = dispatcher_create (&play->server);
  play->server.serving = true;
  play->endpoint = raw_endpoint_create (play->server.loop, answer_call, play);
  apply_config (play, true);
  play->listener = listener_create (&play->server, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (play->listener);
  play->caller = http_caller_create (play->server.loop, port, request);
}

static void
service_play_close (struct service_play *play)
{
  listener_destroy (play->listener);
  dispatcher_destroy (play->server.dispatcher);
  fetcher_destroy (play->server.fetcher);
  config_destroy (play->server.config);
  raw_endpoint_destroy (play->endpoint);
  http_caller_destroy (play->caller);
  ev_loop_destroy (play->server.loop);
  free (play->listen);
}

static void
service_play_run (struct service_play *play, int64_t ms)
{
  int64_t until_ms = clock_now_ms () + ms;

  while (clock_now_ms () < until_ms)
    {
      ev_run (play->server.loop, EVRUN_NOWAIT);
      dispatcher_tick (play->server.dispatcher, clock_now_ms ());
      ev_sleep (0.0005);
    }
}

static void
end_call (struct service_play *play, enum call_way way)
{
  static const char whole[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  const char *rest = play->step == CALL_HEAD ? "ok" : whole;

  switch (way)
    {
    case CALL_COMPLETES:
      raw_endpoint_end_all (play->endpoint, RAW_KEEP, rest);
      break;
    case CALL_CLOSES:
    case CALL_RESETS:
      raw_endpoint_end_all (play->endpoint,
                            way == CALL_CLOSES ? RAW_CLOSE : RAW_RESET, "");
      break;
    case CALL_FAILS:
      raw_endpoint_end_all (
          play->endpoint, RAW_KEEP,
          "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n");
      break;
    case CALL_NONSENSE:
      raw_endpoint_end_all (play->endpoint, RAW_KEEP, "nonsense\r\n\r\n");
      break;
    case CALL_LEAVES:
      http_caller_leave (play->caller);
      break;
    case CALL_STOPS:
      listener_destroy (play->listener);
      play->listener = NULL;
      break;
    case CALL_NO_ROUTE:
      apply_config (play, false);
      break;
    case CALL_NO_LISTENER:
      raw_endpoint_crash (play->endpoint);
      break;
    default:
      break;
    }
}

/* Plays one way at one step.  Returns whether the call ends once.  */
static bool
call_ends_once (enum call_step step, enum call_way way)
{
  struct service_play play;
  int64_t late = counter_get (COUNTER_RESPONSES_LATE);
  bool is_right = true;
  int64_t until_ms;

  service_play_open (&play, step);
  for (int i = 0; i < END_MS && play.sends == 0; i++)
    service_play_run (&play, 1);
  service_play_run (&play, 5);
  CU_ASSERT_TRUE (play.sends > 0);
  end_call (&play, way);
  until_ms
      = play.caller->sent_ms + RETRY_MAX_ATTEMPTS * CALL_TIMEOUT_MS + END_MS;
  while (way != CALL_LEAVES && play.caller->end == HTTP_PENDING
         && clock_now_ms () < until_ms)
    service_play_run (&play, 1);
  if (way != CALL_LEAVES && play.caller->end == HTTP_PENDING)
    is_right = false;
  service_play_run (&play, 5);
  is_right = is_right && play.caller->excess == 0
             && counter_get (COUNTER_RESPONSES_LATE) == late;
  service_play_close (&play);
  return is_right && counter_get (COUNTER_RESPONSES_LATE) == late;
}

/* Guards against calls of the own interface without an end, or with two,
   whatever ends them, before and after the head of the endpoint's response. */
static void
each_way_ends_a_call_once (void)
{
  for (int step = 0; step < CALL_STEPS; step++)
    for (int way = 0; way < CALL_WAYS; way++)
      if (!call_ends_once ((enum call_step)step, (enum call_way)way))
        {
          fprintf (stderr, "step %d, way %d\n", step, way);
          CU_FAIL ("a call does not end once");
        }
}

CU_TestInfo api_ends_tests[] = {
  { "a response ends once", response_ends_once },
  { "a waiting request ends once", waiting_request_ends_once },
  { "each way ends a call once", each_way_ends_a_call_once },
  { "a stopping listener closes kept connections",
    stopping_listener_closes_kept_connections },
  { "a response without room is aborted", response_without_room_is_aborted },
  CU_TEST_INFO_NULL,
};
