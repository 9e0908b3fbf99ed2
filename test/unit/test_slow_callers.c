#include "common/id.h"
#include "http_caller.h"
#include "local_pipeline.h"
#include "platform/frontend.h"
#include "suites.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  TIMEOUT_MS = 6000,
  EVENTS = 100,
  EVENT_BYTES = 8 * 1024,
  PAUSE_MS = 150,  /* for which a caller reads nothing */
  WORK_MS = 300,   /* of an endpoint on a call */
  LEAVE_MS = 100,  /* after which a caller ends its sending side */
  MAX_CALLERS = 8, /* at the same time */
};

struct play
{
  struct local_pipeline *local;
  struct frontend *frontend;
  struct buffer_budget buffers;
  struct http_caller *callers[MAX_CALLERS];
  uint32_t count;
  struct buf answer;
  bool is_call; /* of a route whose requests may run once */
};

/* Returns the value of HEADER in REQUEST, a number, or 0.  */
static int
read_number (const char *request, const char *header)
{
  const char *at = strcasestr (request, header);

  return at ? atoi (at + strlen (header)) : 0;
}

/* Answers a stream from the event after the one that is named, and a call
   after some time.  */
static struct raw_answer
answer (void *data, struct raw_endpoint *endpoint, const char *request)
{
  struct play *play = data;
  int after = read_number (request, "\r\nLast-Event-Id:");
  int id = read_number (request, "\r\nAttempt-Id:");
  char payload[EVENT_BYTES + 1];
  struct buf events = { 0 };

  memset (payload, 'x', EVENT_BYTES);
  payload[EVENT_BYTES] = '\0';
  buf_release (&play->answer);
  if (play->is_call)
    {
      buf_printf (&play->answer,
                  "HTTP/1.1 200 OK\r\nAttempt-Id: %d\r\nServer-Stamp: s\r\n"
                  "Content-Length: 4\r\n\r\nbody",
                  id);
      buf_append (&play->answer, "", 1);
      return (struct raw_answer){ .end = RAW_KEEP,
                                  .late = play->answer.data,
                                  .late_ms = WORK_MS };
    }
  for (int i = after + 1; i <= EVENTS; i++)
    buf_printf (&events, "id: %d\ndata: %s\n\n", i, payload);
  buf_printf (&play->answer,
              "HTTP/1.1 200 OK\r\nAttempt-Id: %d\r\nServer-Stamp: s\r\n"
              "Content-Type: text/event-stream\r\nContent-Length: %zu\r\n\r\n",
              id, events.len);
  buf_append (&play->answer, events.data, events.len);
  buf_release (&events);
  return (struct raw_answer){ .bytes = play->answer.data,
                              .len = play->answer.len,
                              .end = RAW_KEEP };
}

static void
play_begin (struct play *play, size_t budget_bytes, bool is_call)
{
  struct local_pipeline_options options
      = { .route = { .retry_mode = is_call ? ROUTE_ONCE : ROUTE_STREAM,
                     .resumable = !is_call,
                     .max_attempts = is_call ? 1 : 2,
                     .timeout_ms = TIMEOUT_MS },
          .answer = answer,
          .data = play };
  struct frontend_options frontend
      = { .listen = "127.0.0.1:0", .max_connections = 2 * MAX_CALLERS };
  struct error error;

  *play = (struct play){ .is_call = is_call };
  play->buffers.limit_bytes = budget_bytes;
  play->local = local_pipeline_create (&options);
  frontend.loop = play->local->loop;
  frontend.pipeline = play->local->pipeline;
  frontend.buffers = &play->buffers;
  play->frontend = frontend_create (&frontend, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (play->frontend);
}

static void
play_end (struct play *play)
{
  pipeline_abort (play->local->pipeline);
  frontend_destroy (play->frontend);
  for (uint32_t i = 0; i < play->count; i++)
    http_caller_destroy (play->callers[i]);
  local_pipeline_destroy (play->local);
  buf_release (&play->answer);
}

static void
ignore_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
}

static void
run_for (struct play *play, int64_t duration_ms)
{
  int64_t until_ms = clock_now_ms () + duration_ms;
  ev_timer timer;

  ev_timer_init (&timer, ignore_timer, 0.001, 0.001);
  ev_timer_start (play->local->loop, &timer);
  while (clock_now_ms () < until_ms)
    ev_run (play->local->loop, EVRUN_ONCE);
  ev_timer_stop (play->local->loop, &timer);
}

static void
add_callers (struct play *play, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      char *request = xasprintf ("GET /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: "
                                 "%u\r\nDeadline-Ms: %d\r\n\r\n",
                                 i + 1, TIMEOUT_MS);

      play->callers[play->count++] = http_caller_create (
          play->local->loop, frontend_port (play->frontend), request);
      free (request);
    }
}

static bool
all_have_ended (const struct play *play)
{
  for (uint32_t i = 0; i < play->count; i++)
    if (play->callers[i]->end == HTTP_PENDING)
      return false;
  return true;
}

static void
run_to_ends (struct play *play)
{
  int64_t until_ms = clock_now_ms () + TIMEOUT_MS;

  while (!all_have_ended (play) && clock_now_ms () < until_ms)
    run_for (play, 5);
  CU_ASSERT_TRUE (all_have_ended (play));
}

/* Returns how many events CALLER has got, from the first on and each once; or
   -1 if one is missing or comes twice.  */
static int
count_events (const struct http_caller *caller)
{
  const char *at = caller->got.data;
  int count = 0;

  while ((at = strstr (at, "id: ")))
    if (atoi (at += strlen ("id: ")) != ++count)
      return -1;
  return count;
}

/* Plays streams whose callers stop reading for a while, longer than what the
   host may hold for them.  */
static void
play_slow_readers (size_t budget_bytes, uint32_t callers)
{
  struct play play;
  uint32_t whole = 0;

  play_begin (&play, budget_bytes, false);
  add_callers (&play, callers);
  for (int i = 0; i < 2; i++)
    {
      run_for (&play, 10);
      for (uint32_t j = 0; j < callers; j++)
        http_caller_pause (play.callers[j]);
      run_for (&play, PAUSE_MS);
      for (uint32_t j = 0; j < callers; j++)
        http_caller_resume (play.callers[j]);
    }
  run_to_ends (&play);
  for (uint32_t i = 0; i < callers; i++)
    {
      int count = count_events (play.callers[i]);

      CU_ASSERT (count >= 0);
      if (play.callers[i]->end == HTTP_COMPLETE
          && play.callers[i]->status == 200)
        {
          CU_ASSERT_EQUAL (count, EVENTS);
          whole++;
        }
    }
  /* The room was too small, or else nothing was tried. */
  CU_ASSERT (play.local->endpoints[0]->requests > callers || whole < callers);
  play_end (&play);
}

/* Guards against a stream that ends as complete though an event for which
   there was no room is missing: one slow caller, and many at once that share
   the room.  */
static void
test_events_without_room (void)
{
  play_slow_readers (64 * 1024, 1);
  play_slow_readers (512 * 1024, 1);
  play_slow_readers (256 * 1024, MAX_CALLERS);
}

/* Guards against the promise "not run" to a caller that has only ended its
   sending side, while an endpoint runs its call.  */
static void
test_half_closed_callers (void)
{
  struct play play;

  play_begin (&play, 1024 * 1024, true);
  add_callers (&play, MAX_CALLERS);
  run_for (&play, LEAVE_MS);
  CU_ASSERT_EQUAL (play.local->endpoints[0]->requests, MAX_CALLERS);
  for (uint32_t i = 0; i < MAX_CALLERS; i++)
    shutdown (play.callers[i]->fd, SHUT_WR);
  run_to_ends (&play);
  for (uint32_t i = 0; i < MAX_CALLERS; i++)
    {
      int status = play.callers[i]->status;

      CU_ASSERT (status != 408 && status != 421 && status != 429
                 && status != 503);
      CU_ASSERT_FALSE (http_caller_has (play.callers[i], "Not-Executed"));
    }
  play_end (&play);
}

CU_TestInfo slow_callers_tests[] = {
  { "events without room", test_events_without_room },
  { "half-closed callers", test_half_closed_callers },
  CU_TEST_INFO_NULL,
};
