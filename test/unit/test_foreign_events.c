#include "common/id.h"
#include "local_pipeline.h"
#include "suites.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  TIMEOUT_MS = 3000,
  MAX_SENDS = 3, /* then the endpoint is removed */
};

#define ID "Attempt-Id: 1\r\nServer-Stamp: s\r\n"
#define OK_HEAD "HTTP/1.1 200 OK\r\n" ID
#define EVENTS_TYPE "Content-Type: text/event-stream\r\n"
#define STREAM_HEAD OK_HEAD EVENTS_TYPE "\r\n"
#define LONG_HEAD OK_HEAD EVENTS_TYPE "Content-Length: 1000\r\n\r\n"
#define EVENT_1 "id: 1\ndata: a\n\n"
#define EVENT_2 "id: 2\ndata: b\n\n"
#define EVENT_3 "id: 3\ndata: c\n\n"
#define ERROR_TEXT "data: error\n\nid: 2\ndata: error\n\n"

static const char all_events[] = EVENT_1 EVENT_2 EVENT_3;

/* What the first send gets before its connection is closed. */
static const char *const beginnings[] = {
  LONG_HEAD EVENT_1,
  LONG_HEAD EVENT_1 "id: 2\nda",
  LONG_HEAD EVENT_1 EVENT_2,
  STREAM_HEAD EVENT_1 "id: 2\nda",
  STREAM_HEAD EVENT_1 EVENT_2 "i",
};

/* What all further sends get, each without the rest of the stream. */
struct foreign_answer
{
  const char *name;
  const char *bytes;
};

static const struct foreign_answer foreign_answers[] = {
  { "500",
    "HTTP/1.1 500 Failed\r\n" ID "Content-Length: 32\r\n\r\n" ERROR_TEXT },
  { "500 that closes",
    "HTTP/1.1 500 Failed\r\n" ID EVENTS_TYPE "\r\n" ERROR_TEXT },
  { "500 without an id",
    "HTTP/1.1 500 Failed\r\nContent-Length: 32\r\n\r\n" ERROR_TEXT },
  { "refusal", "HTTP/1.1 503 Full\r\nAttempt-Id: 1\r\nNot-Executed: 1\r\n"
               "Content-Length: 32\r\n\r\n" ERROR_TEXT },
  { "503",
    "HTTP/1.1 503 Full\r\n" ID "Content-Length: 32\r\n\r\n" ERROR_TEXT },
  { "404",
    "HTTP/1.1 404 Gone\r\n" ID "Content-Length: 32\r\n\r\n" ERROR_TEXT },
  { "redirect", "HTTP/1.1 302 Found\r\n" ID "Location: /y\r\n"
                "Content-Length: 32\r\n\r\n" ERROR_TEXT },
  { "interim head and 500",
    "HTTP/1.1 103 Hints\r\nLink: </y>\r\n\r\n"
    "HTTP/1.1 500 Failed\r\n" ID "Content-Length: 32\r\n\r\n" ERROR_TEXT },
  { "interim head only", "HTTP/1.1 103 Hints\r\n" ID EVENTS_TYPE "\r\n" },
  { "switched protocols",
    "HTTP/1.1 101 Switching\r\n" ID EVENTS_TYPE "\r\n" ERROR_TEXT },
  { "plain text", OK_HEAD "Content-Type: text/plain\r\n"
                          "Content-Length: 32\r\n\r\n" ERROR_TEXT },
  { "plain text that closes",
    OK_HEAD "Content-Type: text/plain\r\n\r\nan error\n\n" },
  { "JSON", OK_HEAD "Content-Type: application/json\r\n"
                    "Content-Length: 11\r\n\r\n{\"error\":1}" },
  { "empty JSON", OK_HEAD "Content-Type: application/json\r\n"
                          "Content-Length: 0\r\n\r\n" },
  { "text without a type", OK_HEAD "Content-Length: 10\r\n\r\nan error\n\n" },
  { "text in a stream", STREAM_HEAD "an error\n\n" },
  { "empty, without a type", OK_HEAD "Content-Length: 0\r\n\r\n" },
  { "no content", "HTTP/1.1 204 None\r\n" ID "\r\n" },
  { "closes at once", OK_HEAD "\r\n" },
  { "stream that closes at once", STREAM_HEAD },
  { "another id",
    "HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\nServer-Stamp: s\r\n" EVENTS_TYPE
    "\r\n" EVENT_2 EVENT_3 },
  { "no id", "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n" EVENTS_TYPE
             "\r\n" EVENT_2 EVENT_3 },
  { "no stamp", "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\n" EVENTS_TYPE
                "\r\n" EVENT_2 EVENT_3 },
  { "a second head",
    STREAM_HEAD "HTTP/1.1 500 Failed\r\n" ID "\r\nan error\n\n" },
  { "a second head of a refusal",
    STREAM_HEAD "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n\r\n" },
  { "a second head after an event",
    STREAM_HEAD EVENT_2 "HTTP/1.1 500 Failed\r\n" ID "\r\n" },
  { "events without ids", STREAM_HEAD "data: x\n\n" },
  { "an id that is no number", STREAM_HEAD "id: x\ndata: x\n\n" },
  { "a negative id", STREAM_HEAD "id: -1\ndata: x\n\n" },
  { "an id that ends in text", STREAM_HEAD "id: 2x\ndata: x\n\n" },
  { "an id over 64 bits",
    STREAM_HEAD "id: 99999999999999999999\ndata: x\n\n" },
  { "a gap", STREAM_HEAD "id: 9\ndata: x\n\n" },
  { "a break", STREAM_HEAD "id: 2\nda" },
};

struct breaking_stream
{
  const char *beginning;
  const char *rest; /* of all further sends */
  uint32_t sends;
  struct local_pipeline *hosts[2];
  bool is_cut; /* the last host loses its path with the break */
};

/* Ends the request with the answer under way.  */
static void
remove_endpoint (struct breaking_stream *stream)
{
  for (int i = 0; i < 2 && stream->hosts[i]; i++)
    {
      stream->hosts[i]->listed[0].is_gone = true;
      local_pipeline_list_endpoints (stream->hosts[i]);
    }
}

static struct raw_answer
answer_breaking (void *data, struct raw_endpoint *endpoint,
                 const char *request)
{
  struct breaking_stream *stream = data;
  bool is_first = stream->sends++ == 0;
  const char *bytes = is_first ? stream->beginning : stream->rest;

  if (is_first && stream->is_cut)
    pool_at (stream->hosts[1]->pool, 0)->unreachable = true;
  if (stream->sends == MAX_SENDS)
    remove_endpoint (stream);
  return (struct raw_answer){ .bytes = bytes,
                              .len = strlen (bytes),
                              .end = RAW_CLOSE };
}

static struct local_pipeline *
create (struct breaking_stream *stream, bool knows_origin,
        struct local_pipeline *shared)
{
  struct local_pipeline_options options = { .route.retry_mode = ROUTE_STREAM,
                                            .route.resumable = true,
                                            .route.timeout_ms = TIMEOUT_MS,
                                            .knows_origin = knows_origin,
                                            .answer = answer_breaking,
                                            .host = shared ? "y" : "x",
                                            .shared = shared,
                                            .data = stream };

  return stream->hosts[shared != NULL] = local_pipeline_create (&options);
}

/* Whether the LEN bytes of BODY are the first events of TEXT.  */
static bool
are_events (const struct buf *body, const char *text)
{
  return body->len <= strlen (text) && body->len % strlen (EVENT_1) == 0
         && (body->len == 0 || memcmp (body->data, text, body->len) == 0);
}

/* Whether the caller got right events and can see that others are missing.  */
static bool
is_seen_as_broken (const struct local_response *response, const char *events)
{
  return are_events (&response->body, events)
         && !local_response_is_success (response);
}

static void
check (bool is_right, const struct foreign_answer *answer,
       const char *beginning, const struct local_response *response)
{
  CU_ASSERT_TRUE (is_right);
  if (!is_right)
    fprintf (stderr, "%s after %s: outcome %d, body %.*s\n", answer->name,
             beginning, (int)response->outcome, (int)response->body.len,
             response->body.len > 0 ? response->body.data : "");
}

/* Guards against bytes of another answer inside a stream, and against a stream
   that ends as complete, when a send breaks off and the next one gets an
   answer that does not go on with the stream.  */
static void
test_answer_after_break (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (beginnings); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (foreign_answers); k++)
      {
        struct breaking_stream stream
            = { .beginning = beginnings[i], .rest = foreign_answers[k].bytes };
        struct local_pipeline *local = create (&stream, false, NULL);
        const struct local_response *response = local_pipeline_run (local);

        check (response->outcome == LOCAL_ABORTED
                   && is_seen_as_broken (response, all_events),
               &foreign_answers[k], beginnings[i], response);
        local_pipeline_destroy (local);
      }
}

/* Guards against the same where another host sends for the one that began the
   stream.  */
static void
test_relayed_answer_after_break (void)
{
  for (size_t k = 0; k < G_N_ELEMENTS (foreign_answers); k++)
    {
      struct breaking_stream stream
          = { .beginning = beginnings[1], .rest = foreign_answers[k].bytes };
      struct local_pipeline *helper = create (&stream, false, NULL);
      struct local_pipeline *helped = create (&stream, false, helper);
      const struct local_response *response;

      stream.is_cut = true;
      local_pipeline_use_helper (helped);
      response = local_pipeline_run (helped);
      check (response->outcome == LOCAL_ABORTED
                 && is_seen_as_broken (response, all_events),
             &foreign_answers[k], beginnings[1], response);
      local_pipeline_destroy (helped);
      local_pipeline_destroy (helper);
    }
}

/* Guards against the same where the caller resumes its stream: a success must
   have events that follow the one that it named.  */
static void
test_answer_to_resuming_caller (void)
{
  for (size_t k = 0; k < G_N_ELEMENTS (foreign_answers); k++)
    {
      struct breaking_stream stream
          = { .sends = 1, .rest = foreign_answers[k].bytes };
      struct local_pipeline *local = create (&stream, true, NULL);
      const struct local_response *response = local_pipeline_resume (local, 1);

      check (response->outcome == LOCAL_RESPONDED
                 ? !local_response_is_success (response)
                 : is_seen_as_broken (response, EVENT_2 EVENT_3),
             &foreign_answers[k], "event 1", response);
      local_pipeline_destroy (local);
    }
}

/* A stream that starts again is joined without a gap or a repeated event.  */
static void
test_stream_that_starts_again (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (beginnings); i++)
    {
      struct breaking_stream stream
          = { .beginning = beginnings[i],
              .rest = STREAM_HEAD EVENT_1 EVENT_2 EVENT_3 };
      struct local_pipeline *local = create (&stream, false, NULL);
      const struct local_response *response = local_pipeline_run (local);

      if (response->outcome == LOCAL_ENDED)
        CU_ASSERT_EQUAL (response->body.len, strlen (all_events));
      CU_ASSERT_TRUE (are_events (&response->body, all_events));
      local_pipeline_destroy (local);
    }
}

/* Guards against starting a stream without ids again after its caller has got
   a part of it: events would come twice.  */
static void
test_stream_without_ids (void)
{
  static const char first[] = "data: a\n\n";
  struct breaking_stream stream
      = { .beginning = LONG_HEAD "data: a\n\n",
          .rest = STREAM_HEAD "data: a\n\ndata: b\n\n" };
  struct local_pipeline *local = create (&stream, false, NULL);
  const struct local_response *response = local_pipeline_run (local);

  CU_ASSERT_EQUAL (response->outcome, LOCAL_ABORTED);
  CU_ASSERT_EQUAL (response->body.len, strlen (first));
  CU_ASSERT_EQUAL (stream.sends, 1);
  local_pipeline_destroy (local);
}

/* Whole answers of a first send reach the caller as they are.  */
static const char *const whole_bodies[] = {
  "Content-Type: text/plain\r\n\r\nan event\n\nanother one\n\n",
  "\r\nan event\n\nanother one\n\n",
  "Content-Type: text/event-stream; charset=utf-8\r\n\r\n: comment\n\n"
  "event: a\ndata\ndata: b\n\n" EVENT_1 ":\n\n" EVENT_2 "data: [DONE]\n\n",
  EVENTS_TYPE "\r\nweight-versions: 2\r\nid:1\r\ndata: a\r\n\r\n",
};

/* Guards against refusing what an endpoint answers on a streaming route.  */
static void
test_whole_answers (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (whole_bodies); i++)
    {
      char *answer = xasprintf (OK_HEAD "%s", whole_bodies[i]);
      const char *body = strstr (answer, "\r\n\r\n") + 4;
      struct breaking_stream stream = { .beginning = answer };
      struct local_pipeline *local = create (&stream, false, NULL);
      const struct local_response *response = local_pipeline_run (local);

      CU_ASSERT_EQUAL (response->outcome, LOCAL_ENDED);
      CU_ASSERT_EQUAL_FATAL (response->body.len, strlen (body));
      CU_ASSERT_EQUAL (memcmp (response->body.data, body, strlen (body)), 0);
      local_pipeline_destroy (local);
      free (answer);
    }
}

CU_TestInfo foreign_events_tests[] = {
  { "an answer after a break", test_answer_after_break },
  { "a relayed answer after a break", test_relayed_answer_after_break },
  { "an answer to a caller that resumes", test_answer_to_resuming_caller },
  { "a stream that starts again", test_stream_that_starts_again },
  { "a stream without ids", test_stream_without_ids },
  { "whole answers", test_whole_answers },
  CU_TEST_INFO_NULL,
};
