#include "common/id.h"
#include "common/memory.h"
#include "local_pipeline.h"
#include "suites.h"
#include <stdlib.h>
#include <string.h>

enum
{
  TIMEOUT_MS = 2000,
  ENDLESS_TIMEOUT_MS = 4000,
  PARALLEL_BODIES = 16,
  MAX_BODY_BYTES = 8 * 1024 * 1024,
  PARALLEL_SHORT_BODIES = 200, /* in sum more than a host has for bodies */
  SHORT_BODY_BYTES = 63 * 1024,
  HOST_BYTES = 88 * 1024 * 1024, /* of the smallest entry hosts */
  /* A third of the memory of the smallest hosts, 88 MB. */
  BODIES_MEMORY_BYTES = 88 * 1000 * 1000 / 3,
};

/* 64 bytes without the end of a line. */
static const char filler[]
    = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx";

#define HEAD "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nServer-Stamp: s\r\n"
#define STREAM_HEAD HEAD "Content-Type: text/event-stream\r\n\r\n"
#define EVENT_1 "id: 1\ndata: a\n\n"
#define EVENT_2 "id: 2\r\ndata: b\r\n\r\n"
#define EVENT_3 "id: 3\ndata: c\n\n"

static const char unframed_stream[] = STREAM_HEAD EVENT_1 EVENT_2 EVENT_3;
static const char unframed_answer[] = HEAD "\r\nbody";
static const char framed_answer[] = HEAD "Content-Length: 4\r\n\r\nbody";

/* An answer of which the first send gets only a part. */
struct cut_answer
{
  const char *bytes;
  size_t cut;
  enum raw_end end;
  uint32_t sends;
};

static struct raw_answer
answer_cut (void *data, struct raw_endpoint *endpoint, const char *request)
{
  struct cut_answer *cut = data;

  cut->sends++;
  return (struct raw_answer){ .bytes = cut->bytes,
                              .len = cut->cut,
                              .end = cut->end };
}

/* Resumes the stream completely once it has been cut.  */
static struct raw_answer
answer_cut_then_resume (void *data, struct raw_endpoint *endpoint,
                        const char *request)
{
  struct cut_answer *cut = data;
  const char *after = strstr (request, "Last-Event-Id: ");
  int64_t id = after ? strtoll (strchr (after, ' '), NULL, 10) : 0;
  static const char *const rest[]
      = { unframed_stream, STREAM_HEAD EVENT_2 EVENT_3, STREAM_HEAD EVENT_3 };

  if (cut->sends == 0)
    return answer_cut (data, endpoint, request);
  cut->sends++;
  CU_ASSERT_FATAL (id < 3);
  return (struct raw_answer){ .bytes = rest[id],
                              .len = strlen (rest[id]),
                              .end = RAW_CLOSE };
}

static size_t
head_len (const char *answer)
{
  return (size_t)(strstr (answer, "\r\n\r\n") - answer) + strlen ("\r\n\r\n");
}

/* Whether a stream that was cut after LEN bytes ends with a whole event.  */
static bool
ends_with_event (size_t len)
{
  size_t first = head_len (unframed_stream) + strlen (EVENT_1);

  return len == first || len == first + strlen (EVENT_2)
         || len == first + strlen (EVENT_2 EVENT_3);
}

static bool
consists_of_events (const struct buf *body)
{
  static const char events[] = EVENT_1 EVENT_2 EVENT_3;

  return body->len == 0
         || (memcmp (body->data, events, body->len) == 0
             && ends_with_event (head_len (unframed_stream) + body->len));
}

/* Cuts the connection of an unframed stream after each byte.  It may look
   complete only if MAY_END and where it ends with a whole event.  */
static void
cut_unframed_stream (enum raw_end end, bool may_end)
{
  struct cut_answer cut = { .bytes = unframed_stream, .end = end };
  struct local_pipeline_options options = { .route.retry_mode = ROUTE_STREAM,
                                            .route.timeout_ms = TIMEOUT_MS,
                                            .answer = answer_cut,
                                            .data = &cut };

  for (cut.cut = 0; cut.cut < sizeof unframed_stream; cut.cut++)
    {
      struct local_pipeline *local = local_pipeline_create (&options);
      const struct local_response *response = local_pipeline_run (local);

      CU_ASSERT_EQUAL (local_response_is_success (response),
                       may_end && ends_with_event (cut.cut));
      CU_ASSERT_TRUE (consists_of_events (&response->body));
      local_pipeline_destroy (local);
    }
}

/* Guards against passing on a stream that broke off inside an event, or before
   its first one, as complete: the response has neither a length nor chunks and
   its connection is closed.  */
static void
test_unframed_stream_closed_at_every_byte (void)
{
  cut_unframed_stream (RAW_CLOSE, true);
}

/* Guards against passing on a stream as complete whose connection was reset.
 */
static void
test_unframed_stream_reset_at_every_byte (void)
{
  cut_unframed_stream (RAW_RESET, false);
}

/* Guards against losing or repeating events when a stream without a length or
   chunks breaks off and is resumed.  A close after a whole event cannot be
   told from the stream's end.  */
static void
test_unframed_stream_is_resumed_at_every_byte (void)
{
  static const char events[] = EVENT_1 EVENT_2 EVENT_3;
  struct local_pipeline_options options = { .route.retry_mode = ROUTE_STREAM,
                                            .route.resumable = true,
                                            .route.timeout_ms = TIMEOUT_MS,
                                            .answer = answer_cut_then_resume };

  for (size_t len = 0; len < sizeof unframed_stream - 1; len++)
    {
      struct cut_answer cut
          = { .bytes = unframed_stream, .cut = len, .end = RAW_CLOSE };
      struct local_pipeline *local;
      const struct local_response *response;

      if (ends_with_event (len))
        continue;
      options.data = &cut;
      local = local_pipeline_create (&options);
      response = local_pipeline_run (local);
      CU_ASSERT_TRUE (local_response_is_success (response));
      CU_ASSERT_EQUAL (response->body.len, strlen (events));
      CU_ASSERT_TRUE (consists_of_events (&response->body));
      local_pipeline_destroy (local);
    }
}

/* Runs a request that is not repeated whose answer ends after LEN bytes.
   Returns whether the caller takes the response for a success.  */
static bool
succeeds_if_cut (const char *answer, size_t len, enum raw_end end)
{
  struct cut_answer cut = { .bytes = answer, .cut = len, .end = end };
  struct local_pipeline_options options = { .route.retry_mode = ROUTE_ONCE,
                                            .route.timeout_ms = TIMEOUT_MS,
                                            .answer = answer_cut,
                                            .data = &cut };
  struct local_pipeline *local = local_pipeline_create (&options);
  bool succeeds = local_response_is_success (local_pipeline_run (local));

  local_pipeline_destroy (local);
  return succeeds;
}

/* Guards against passing on an answer whose head broke off as complete.  */
static void
test_answer_closed_inside_its_head (void)
{
  for (size_t len = 0; len < head_len (framed_answer); len++)
    CU_ASSERT_FALSE (succeeds_if_cut (framed_answer, len, RAW_CLOSE));
  for (size_t len = 0; len < head_len (unframed_answer); len++)
    CU_ASSERT_FALSE (succeeds_if_cut (unframed_answer, len, RAW_CLOSE));
}

/* An endpoint that answers the first request of a connection, and stops in the
   head of the next answer. */
static struct raw_answer
answer_then_stop (void *data, struct raw_endpoint *endpoint,
                  const char *request)
{
  struct cut_answer *cut = data;

  if (cut->sends++ == 0)
    return (struct raw_answer){ .bytes = framed_answer,
                                .len = strlen (framed_answer),
                                .end = RAW_KEEP };
  return (struct raw_answer){ .bytes = cut->bytes,
                              .len = cut->cut,
                              .end = cut->end,
                              .late = "",
                              .late_ms = cut->cut % 3 };
}

/* Guards against passing on an empty or short body as whole when an endpoint
   stops in the middle of its head and closes: on all kinds of routes, with
   each framing, on a new connection and on one that was used before.  */
static void
test_endpoint_stops_inside_its_head (void)
{
  static const char chunked[]
      = HEAD "Content-Type: text/event-stream\r\nTransfer-Encoding: "
             "chunked\r\n\r\n";
  static const char *const answers[]
      = { framed_answer, unframed_answer, unframed_stream, chunked };
  static const enum route_retry_mode modes[]
      = { ROUTE_ONCE, ROUTE_IDEMPOTENT, ROUTE_STREAM };

  for (size_t a = 0; a < sizeof answers / sizeof *answers; a++)
    for (size_t m = 0; m < sizeof modes / sizeof *modes; m++)
      for (size_t len = 0; len < head_len (answers[a]); len++)
        {
          struct cut_answer cut = {
            .bytes = answers[a], .cut = len, .end = RAW_CLOSE, .sends = len % 2
          };
          struct local_pipeline_options options
              = { .route.retry_mode = modes[m],
                  .route.timeout_ms = TIMEOUT_MS,
                  .route.max_attempts = 1,
                  .answer = answer_then_stop,
                  .data = &cut };
          struct local_pipeline *local = local_pipeline_create (&options);
          const struct local_response *response = local_pipeline_run (local);

          if (len % 2 == 0)
            response = local_pipeline_run (local);
          CU_ASSERT_FALSE (local_response_is_success (response));
          CU_ASSERT_EQUAL (response->body.len, 0);
          local_pipeline_destroy (local);
        }
}

/* Guards against passing on an answer as complete that broke off before its
   declared length, or whose connection was reset.  */
static void
test_answer_cut_inside_its_body (void)
{
  for (size_t len = head_len (framed_answer); len < strlen (framed_answer);
       len++)
    CU_ASSERT_FALSE (succeeds_if_cut (framed_answer, len, RAW_CLOSE));
  for (size_t len = 0; len <= strlen (unframed_answer); len++)
    CU_ASSERT_FALSE (succeeds_if_cut (unframed_answer, len, RAW_RESET));
  CU_ASSERT_TRUE (
      succeeds_if_cut (framed_answer, strlen (framed_answer), RAW_CLOSE));
  CU_ASSERT_TRUE (
      succeeds_if_cut (unframed_answer, strlen (unframed_answer), RAW_CLOSE));
}

/* Resumes a stream after its event 1 at an endpoint that answers BYTES.  */
static struct local_pipeline *
resume_after_first (const char *bytes)
{
  struct cut_answer cut
      = { .bytes = bytes, .cut = strlen (bytes), .end = RAW_CLOSE };
  struct local_pipeline_options options = { .route.retry_mode = ROUTE_STREAM,
                                            .route.resumable = true,
                                            .route.timeout_ms = TIMEOUT_MS,
                                            .knows_origin = true,
                                            .answer = answer_cut,
                                            .data = &cut };
  struct local_pipeline *local = local_pipeline_create (&options);

  local_pipeline_resume (local, 1);
  return local;
}

/* Guards against events that are missing or come twice over a caller's tries,
   when an endpoint does not go on just after the event that the caller named.
 */
static void
test_caller_resumes_after_its_event (void)
{
  struct local_pipeline *local
      = resume_after_first (STREAM_HEAD EVENT_1 EVENT_2);

  CU_ASSERT_TRUE (local_response_is_success (&local->response));
  CU_ASSERT_EQUAL (local->response.body.len, strlen (EVENT_2));
  local_pipeline_destroy (local);
  local = resume_after_first (STREAM_HEAD EVENT_3);
  CU_ASSERT_FALSE (local_response_is_success (&local->response));
  CU_ASSERT_EQUAL (local->response.body.len, 0);
  local_pipeline_destroy (local);
}

static struct raw_answer
answer_endless (void *data, struct raw_endpoint *endpoint, const char *request)
{
  const char *const *parts = data;

  return (struct raw_answer){ .bytes = parts[0],
                              .len = strlen (parts[0]),
                              .end = RAW_REPEAT,
                              .repeat = parts[1] };
}

/* Runs a request whose answer is START and then REPEAT without end.  The host
   must close the connection before the request's deadline.  */
static void
expect_endless_answer_to_end (enum route_retry_mode retry_mode,
                              const char *start, const char *repeat)
{
  const char *parts[] = { start, repeat };
  struct local_pipeline_options options
      = { .route.retry_mode = retry_mode,
          .route.timeout_ms = ENDLESS_TIMEOUT_MS,
          .answer = answer_endless,
          .data = parts };
  struct local_pipeline *local = local_pipeline_create (&options);
  int64_t started_ms = clock_now_ms ();
  const struct local_response *response = local_pipeline_run (local);

  CU_ASSERT_FALSE (local_response_is_success (response));
  CU_ASSERT_EQUAL (response->body.len, 0);
  CU_ASSERT_TRUE (clock_now_ms () - started_ms < ENDLESS_TIMEOUT_MS);
  while (local->endpoints[0]->open > 0
         && clock_now_ms () - started_ms < ENDLESS_TIMEOUT_MS)
    ev_run (local->loop, EVRUN_ONCE);
  CU_ASSERT_EQUAL (local->endpoints[0]->open, 0);
  local_pipeline_destroy (local);
}

/* Guards against reading a head that never ends until the request's deadline.
 */
static void
test_head_without_end (void)
{
  expect_endless_answer_to_end (ROUTE_ONCE, "", "x");
  expect_endless_answer_to_end (ROUTE_ONCE, "HTTP/1.1 200 OK\r\nA: ", "x");
  expect_endless_answer_to_end (ROUTE_ONCE, HEAD, "A: b\r\n");
  expect_endless_answer_to_end (ROUTE_STREAM, HEAD, "A: b\r\n");
  expect_endless_answer_to_end (ROUTE_ONCE, "",
                                "HTTP/1.1 100 Continue\r\n\r\n");
}

/* Guards against buffering a body that never ends until the process is out of
   memory.  */
static void
test_body_without_end (void)
{
  expect_endless_answer_to_end (ROUTE_ONCE, HEAD "\r\n", filler);
  expect_endless_answer_to_end (ROUTE_STREAM, STREAM_HEAD, filler);
  expect_endless_answer_to_end (ROUTE_STREAM,
                                HEAD "Transfer-Encoding: chunked\r\n\r\n",
                                "10\r\nxxxxxxxxxxxxxxxx\r\n");
  expect_endless_answer_to_end (
      ROUTE_STREAM, "HTTP/1.1 500 Oops\r\nAttempt-Id: 1\r\n\r\n", filler);
  expect_endless_answer_to_end (
      ROUTE_ONCE, HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n");
}

static void
count_response (void *data, const struct fetch_result *result)
{
  CU_ASSERT_FALSE (result->complete);
  ++*(int *)data;
}

/* Receives COUNT bodies of up to MAX_BYTES at the same time, which ENDPOINT
   does not end.  What they hold together must not exceed LIMIT_BYTES.  */
static void
expect_bodies_to_be_bounded (const struct raw_endpoint *endpoint, int count,
                             size_t max_bytes, int64_t limit_bytes)
{
  struct fetcher *fetcher = fetcher_create (endpoint->loop);
  char *url = xasprintf ("http://127.0.0.1:%u/", endpoint->port);
  int ended = 0;
  struct fetch_options options = { .method = "GET",
                                   .url = url,
                                   .timeout_ms = TIMEOUT_MS,
                                   .max_body_bytes = max_bytes,
                                   .handle_done = count_response,
                                   .data = &ended };

  for (int i = 0; i < count; i++)
    fetch_start (fetcher, &options);
  while (ended < count)
    {
      ev_run (endpoint->loop, EVRUN_ONCE);
      CU_ASSERT_TRUE_FATAL ((int64_t)fetcher_buffered_bytes (fetcher)
                            <= limit_bytes);
      CU_ASSERT_TRUE_FATAL (memory_used (MEMORY_RESPONSES) <= limit_bytes);
    }
  CU_ASSERT_EQUAL (fetcher_buffered_bytes (fetcher), 0);
  CU_ASSERT_EQUAL (memory_used (MEMORY_RESPONSES), 0);
  free (url);
  fetcher_destroy (fetcher);
}

/* Guards against buffering many bodies without end until the process is out of
   memory, though each stays below the limit of one.  */
static void
test_many_bodies_without_end (void)
{
  const char *parts[] = { HEAD "\r\n", filler };
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct raw_endpoint *endpoint
      = raw_endpoint_create (loop, answer_endless, parts);

  expect_bodies_to_be_bounded (endpoint, PARALLEL_BODIES, MAX_BODY_BYTES,
                               BODIES_MEMORY_BYTES);
  raw_endpoint_destroy (endpoint);
  ev_loop_destroy (loop);
}

static struct raw_answer
answer_without_end (void *data, struct raw_endpoint *endpoint,
                    const char *request)
{
  const struct buf *answer = data;

  return (struct raw_answer){ .bytes = answer->data,
                              .len = answer->len,
                              .end = RAW_KEEP };
}

/* Guards against short bodies that are not bounded in sum: more of them come
   at the same time than the host has memory for.  */
static void
test_many_short_bodies (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct buf answer = { 0 };
  struct raw_endpoint *endpoint
      = raw_endpoint_create (loop, answer_without_end, &answer);
  char *body = xcalloc (SHORT_BODY_BYTES, 1);

  buf_printf (&answer, HEAD "Content-Length: %d\r\n\r\n",
              SHORT_BODY_BYTES + 1);
  buf_append (&answer, body, SHORT_BODY_BYTES);
  memory_set_limit (HOST_BYTES, MEMORY_SERVES_CALLERS);
  expect_bodies_to_be_bounded (endpoint, PARALLEL_SHORT_BODIES, MAX_BODY_BYTES,
                               memory_share (MEMORY_RESPONSES));
  memory_set_limit (0, MEMORY_SERVES_CALLERS);
  free (body);
  buf_release (&answer);
  raw_endpoint_destroy (endpoint);
  ev_loop_destroy (loop);
}

CU_TestInfo broken_answers_tests[] = {
  { "an unframed stream that is closed at any byte",
    test_unframed_stream_closed_at_every_byte },
  { "an unframed stream that is reset at any byte",
    test_unframed_stream_reset_at_every_byte },
  { "an unframed stream is resumed whatever byte it was closed at",
    test_unframed_stream_is_resumed_at_every_byte },
  { "a caller resumes after the event that it named",
    test_caller_resumes_after_its_event },
  { "an answer that is closed inside its head",
    test_answer_closed_inside_its_head },
  { "an endpoint that stops inside its head",
    test_endpoint_stops_inside_its_head },
  { "an answer that is cut inside its body", test_answer_cut_inside_its_body },
  { "a head without end", test_head_without_end },
  { "a body without end", test_body_without_end },
  { "many bodies without end", test_many_bodies_without_end },
  { "many short bodies", test_many_short_bodies },
  CU_TEST_INFO_NULL,
};
