#include "common/id.h"
#include "http_caller.h"
#include "local_pipeline.h"
#include "platform/frontend.h"
#include "suites.h"
#include <string.h>

/* Streams through the platform's frontend, over HTTP.  */

enum
{
  ENDPOINTS = 6,
  TIMEOUT_MS = 3000, /* of the route */
  SLACK_MS = 500,    /* within which the users want an end */
  CRASHES = 3,       /* after which a request is refused or on trial */
  STEP_MS = 1500,    /* for each step of a play */
  MAX_CALLERS = 32,
};

#define REQUEST "GET /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\n\r\n"

static const char beginning[]
    = "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nServer-Stamp: s\r\n"
      "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n";

/* Callers that send the same request, each of which an endpoint begins to
   answer. */
struct play
{
  struct local_pipeline *local;
  struct frontend *frontend;
  struct raw_endpoint *last; /* that got the latest request */
  struct http_caller *callers[MAX_CALLERS];
  uint32_t caller_count;
};

static struct raw_answer
begin_answer (void *data, struct raw_endpoint *endpoint, const char *request)
{
  struct play *play = data;

  play->last = endpoint;
  return (struct raw_answer){ .bytes = beginning,
                              .len = strlen (beginning),
                              .end = RAW_KEEP };
}

static void
play_begin (struct play *play)
{
  struct local_pipeline_options options = { .route.retry_mode = ROUTE_STREAM,
                                            .route.resumable = true,
                                            .route.max_attempts = 1,
                                            .route.timeout_ms = TIMEOUT_MS,
                                            .endpoint_count = ENDPOINTS,
                                            .answer = begin_answer,
                                            .data = play };
  struct frontend_options frontend
      = { .listen = "127.0.0.1:0", .max_connections = 2 * MAX_CALLERS };
  struct error error;

  *play = (struct play){ .local = local_pipeline_create (&options) };
  frontend.loop = play->local->loop;
  frontend.pipeline = play->local->pipeline;
  play->frontend = frontend_create (&frontend, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (play->frontend);
}

static void
play_end (struct play *play)
{
  pipeline_abort (play->local->pipeline);
  frontend_destroy (play->frontend);
  for (uint32_t i = 0; i < play->caller_count; i++)
    http_caller_destroy (play->callers[i]);
  local_pipeline_destroy (play->local);
}

/* Sends the request once more and waits until its stream has begun or it is
   refused.  Returns the caller.  */
static struct http_caller *
call (struct play *play)
{
  struct http_caller *caller = http_caller_create (
      play->local->loop, frontend_port (play->frontend), REQUEST);
  int64_t until_ms = clock_now_ms () + STEP_MS;

  play->callers[play->caller_count++] = caller;
  while (!http_caller_has (caller, "data: a") && caller->end == HTTP_PENDING
         && clock_now_ms () < until_ms)
    ev_run (play->local->loop, EVRUN_ONCE);
  CU_ASSERT_TRUE (caller->status > 0);
  return caller;
}

/* Sends the request until an endpoint other than FIRST gets it, which is
   chosen among equals at random.  */
static void
call_elsewhere (struct play *play, const struct raw_endpoint *first)
{
  while (play->caller_count < MAX_CALLERS - 1)
    {
      struct http_caller *caller = call (play);

      if (play->last != first)
        return;
      http_caller_leave (caller);
    }
  CU_FAIL ("no other endpoint gets the request");
}

static void
await_crashes (struct play *play)
{
  int64_t until_ms = clock_now_ms () + STEP_MS;

  while (play->local->crashes < CRASHES && clock_now_ms () < until_ms)
    ev_run (play->local->loop, EVRUN_ONCE);
  CU_ASSERT_EQUAL (play->local->crashes, CRASHES);
}

static void
await_end (struct play *play, const struct http_caller *caller)
{
  while (caller->end == HTTP_PENDING
         && clock_now_ms () < caller->sent_ms + TIMEOUT_MS + SLACK_MS)
    ev_run (play->local->loop, EVRUN_ONCE);
}

/* Guards against a stream without an end: its caller has the beginning when
   identical requests have crashed so many endpoints that it is not sent on,
   and then its endpoint crashes, too.  */
static void
stream_of_crashing_request_ends (void)
{
  struct play play;
  struct http_caller *caller;
  struct raw_endpoint *endpoint;

  play_begin (&play);
  caller = call (&play);
  endpoint = play.last;
  for (int i = 0; i < CRASHES; i++)
    {
      call_elsewhere (&play, endpoint);
      raw_endpoint_crash (play.last);
    }
  await_crashes (&play);
  /* A fifth one is refused, or runs as the only trial. */
  call (&play);
  CU_ASSERT_EQUAL (caller->end, HTTP_PENDING);
  raw_endpoint_crash (endpoint);
  await_end (&play, caller);
  CU_ASSERT_EQUAL (caller->end, HTTP_CUT);
  play_end (&play);
}

CU_TestInfo stream_ends_tests[] = { { "the stream of a crashing request ends",
                                      stream_of_crashing_request_ends },
                                    CU_TEST_INFO_NULL };
