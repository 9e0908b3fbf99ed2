#include "common/counters.h"
#include "common/httpd.h"
#include "common/id.h"
#include "suites.h"
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  MAX_LOOP_ITERATIONS = 1000,
  READ_TIMEOUT_S = 5,
  SMALL_BUFFER_BYTES = 4096,
  STREAM_BYTES = 200 * 1024,
  SLOW_READS = 34, /* over longer than a client may stall */
  SLOW_READ_MS = 100,
  RESPONSE_BYTES = 4 * 1024 * 1024,
  SLOW_READ_BYTES = 16 * 1024,
  STATUS_CONNECTIONS = 16,
  STATUS_RUNS = 50, /* a second: the probe's time */
};

static const char request_text[] = "GET / HTTP/1.1\r\nHost: test\r\n\r\n";

/* A server whose handler leaves its requests open, and one client. */
struct fixture
{
  struct ev_loop *loop;
  struct httpd *httpd;
  struct httpd_request *last;
  int handled;
  int disconnected;
  int client;
  struct buffer_budget buffers;
};

static void
handle_disconnect (struct httpd_request *request)
{
  ((struct fixture *)request->user)->disconnected++;
}

static void
handle_request (void *data, struct httpd_request *request)
{
  struct fixture *fixture = data;

  fixture->handled++;
  fixture->last = request;
  request->user = fixture;
  request->handle_disconnect = handle_disconnect;
}

/* Connects a client whose kernel buffers little.  */
static int
connect_client (const struct fixture *fixture)
{
  struct timeval timeout = { .tv_sec = READ_TIMEOUT_S };
  struct sockaddr_in address = { .sin_family = AF_INET };
  int client = socket (AF_INET, SOCK_STREAM, 0);
  int bytes = SMALL_BUFFER_BYTES;

  address.sin_port = htons (httpd_port (fixture->httpd));
  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  setsockopt (client, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  if (fixture->buffers.limit_bytes > 0)
    setsockopt (client, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  CU_ASSERT_EQUAL_FATAL (
      connect (client, (struct sockaddr *)&address, sizeof address), 0);
  return client;
}

/* Starts a server that holds up to BUFFER_BYTES for its clients; 0 for no
   bound.  */
static void
setup_bounded (struct fixture *fixture, size_t buffer_bytes)
{
  struct httpd_options options = { .address = "127.0.0.1",
                                   .connection_memory_bytes = 8192,
                                   .max_body_bytes = 8192,
                                   .max_connections = 8,
                                   .handle_request = handle_request,
                                   .data = fixture };
  struct error error;

  memset (fixture, 0, sizeof *fixture);
  fixture->buffers.limit_bytes = buffer_bytes;
  if (buffer_bytes > 0)
    {
      options.buffers = &fixture->buffers;
      options.send_buffer_bytes = SMALL_BUFFER_BYTES;
    }
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  options.loop = fixture->loop;
  fixture->httpd = httpd_create (&options, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->httpd);
  fixture->client = connect_client (fixture);
}

static void
setup (struct fixture *fixture)
{
  setup_bounded (fixture, 0);
}

static void
send_request (const struct fixture *fixture)
{
  CU_ASSERT_EQUAL (
      write (fixture->client, request_text, sizeof request_text - 1),
      (ssize_t)sizeof request_text - 1);
}

static void
run_until_handled (const struct fixture *fixture, int count)
{
  for (int i = 0; i < MAX_LOOP_ITERATIONS && fixture->handled < count; i++)
    ev_run (fixture->loop, EVRUN_ONCE);
  CU_ASSERT_EQUAL_FATAL (fixture->handled, count);
}

/* Reads all that the client receives until the server closes.  */
static void
read_response (const struct fixture *fixture, char *text, size_t size)
{
  size_t len = 0;
  ssize_t got;

  while (len + 1 < size
         && (got = read (fixture->client, text + len, size - 1 - len)) > 0)
    len += (size_t)got;
  text[len] = '\0';
}

static void
teardown (struct fixture *fixture)
{
  close (fixture->client);
  ev_loop_destroy (fixture->loop);
}

/* The handler has a request without a response when the server is destroyed:
   the caller gets a response, and the handler learns that the request is
   over.  */
static void
answers_a_waiting_request (void)
{
  struct fixture fixture;
  char text[1024];

  setup (&fixture);
  send_request (&fixture);
  run_until_handled (&fixture, 1);
  httpd_destroy (fixture.httpd);
  read_response (&fixture, text, sizeof text);
  CU_ASSERT_EQUAL (strncmp (text, "HTTP/1.1 409", 12), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "may_have_run"));
  CU_ASSERT_EQUAL (fixture.disconnected, 1);
  teardown (&fixture);
}

/* A request that is read only while the server is destroyed does not reach
   the handler.  */
static void
refuses_a_request_that_arrives_last (void)
{
  struct fixture fixture;
  char text[1024];

  setup (&fixture);
  send_request (&fixture);
  httpd_destroy (fixture.httpd);
  read_response (&fixture, text, sizeof text);
  CU_ASSERT_EQUAL (fixture.handled, 0);
  CU_ASSERT_TRUE (*text == '\0' || strstr (text, "not_run"));
  teardown (&fixture);
}

/* A second request on a kept connection arrives with the server's last turn.
 */
static void
refuses_a_second_request (void)
{
  struct fixture fixture;
  char text[2048];

  setup (&fixture);
  send_request (&fixture);
  run_until_handled (&fixture, 1);
  fixture.last->handle_disconnect = NULL;
  httpd_respond (fixture.last, 200, "text/plain", "first", 5);
  send_request (&fixture);
  httpd_destroy (fixture.httpd);
  read_response (&fixture, text, sizeof text);
  CU_ASSERT_EQUAL (fixture.handled, 1);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "first"));
  teardown (&fixture);
}

/* A stream that has not ended must not look complete.  */
static void
aborts_an_open_stream (void)
{
  struct fixture fixture;
  char text[2048];

  setup (&fixture);
  send_request (&fixture);
  run_until_handled (&fixture, 1);
  httpd_stream_begin (fixture.last, 200, "text/event-stream");
  httpd_stream_write (fixture.last, "data", 4);
  for (int i = 0; i < 4; i++)
    ev_run (fixture.loop, EVRUN_NOWAIT);
  httpd_destroy (fixture.httpd);
  read_response (&fixture, text, sizeof text);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "data"));
  CU_ASSERT_PTR_NULL (strstr (text, "\r\n0\r\n\r\n"));
  teardown (&fixture);
}

/* Sends REQUEST and aborts the stream that is the response to it.  Returns
   whether the client takes the response for complete.  */
static bool
aborted_stream_looks_complete (const char *request)
{
  struct fixture fixture;
  char text[2048];
  size_t len = 0;
  ssize_t got;
  bool is_chunked;

  setup (&fixture);
  CU_ASSERT_EQUAL (write (fixture.client, request, strlen (request)),
                   (ssize_t)strlen (request));
  run_until_handled (&fixture, 1);
  httpd_stream_begin (fixture.last, 200, "text/event-stream");
  httpd_stream_write (fixture.last, "data", 4);
  for (int i = 0; i < 4; i++)
    ev_run (fixture.loop, EVRUN_NOWAIT);
  httpd_stream_abort (fixture.last);
  for (int i = 0; i < 4; i++)
    ev_run (fixture.loop, EVRUN_NOWAIT);
  while (len + 1 < sizeof text
         && (got = read (fixture.client, text + len, sizeof text - 1 - len))
                > 0)
    len += (size_t)got;
  text[len] = '\0';
  is_chunked = strstr (text, "chunked") != NULL;
  httpd_destroy (fixture.httpd);
  teardown (&fixture);
  return got == 0 && strstr (text, " 200 ")
         && (!is_chunked || strstr (text, "\r\n0\r\n\r\n"));
}

/* A client that does not know chunks gets a whole stream with its length.  */
static void
stream_without_chunks_has_length (void)
{
  static const char old_request[] = "GET / HTTP/1.0\r\n\r\n";
  struct fixture fixture;
  char text[2048];

  setup (&fixture);
  CU_ASSERT_EQUAL (write (fixture.client, old_request, strlen (old_request)),
                   (ssize_t)strlen (old_request));
  run_until_handled (&fixture, 1);
  httpd_stream_begin (fixture.last, 200, "text/event-stream");
  httpd_stream_write (fixture.last, "da", 2);
  httpd_stream_write (fixture.last, "ta", 2);
  httpd_stream_end (fixture.last);
  for (int i = 0; i < 4; i++)
    ev_run (fixture.loop, EVRUN_NOWAIT);
  read_response (&fixture, text, sizeof text);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, " 200 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "Content-Length: 4\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "\r\n\r\ndata"));
  httpd_destroy (fixture.httpd);
  teardown (&fixture);
}

/* Guards against an orderly close that ends a response without a length or
   chunks, which callers take for its complete end.  */
static void
aborted_stream_never_looks_complete (void)
{
  CU_ASSERT_FALSE (
      aborted_stream_looks_complete ("GET / HTTP/1.1\r\nHost: test\r\n\r\n"));
  CU_ASSERT_FALSE (aborted_stream_looks_complete (
      "GET / HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n"));
  CU_ASSERT_FALSE (aborted_stream_looks_complete ("GET / HTTP/1.0\r\n\r\n"));
}

static void
begin_long_stream (struct fixture *fixture, int client, int count)
{
  static const char block[1024];

  CU_ASSERT_EQUAL (write (client, request_text, sizeof request_text - 1),
                   (ssize_t)sizeof request_text - 1);
  run_until_handled (fixture, count);
  httpd_stream_begin (fixture->last, 200, "text/event-stream");
  for (size_t sent = 0; sent < STREAM_BYTES; sent += sizeof block)
    CU_ASSERT_TRUE (httpd_stream_write (fixture->last, block, sizeof block));
}

/* Guards against a host that holds more and more for callers that do not read
   until it is killed, and against cutting one that only reads slowly: of two
   callers with 200 KB waiting, one reads nothing for 3.4 s and the other 4 KB
   each 100 ms.  */
static void
cuts_a_stalled_reader_only (void)
{
  struct fixture fixture;
  struct httpd_request *slow;
  char bytes[SMALL_BUFFER_BYTES];
  int slow_client;

  setup_bounded (&fixture, (size_t)2 * STREAM_BYTES);
  begin_long_stream (&fixture, fixture.client, 1);
  slow_client = connect_client (&fixture);
  begin_long_stream (&fixture, slow_client, 2);
  slow = fixture.last;
  CU_ASSERT_TRUE (buffer_budget_is_contended (&fixture.buffers));
  for (int i = 0; i < SLOW_READS; i++)
    {
      usleep (SLOW_READ_MS * 1000);
      for (int k = 0; k < 10; k++)
        ev_run (fixture.loop, EVRUN_NOWAIT);
      CU_ASSERT_TRUE (read (slow_client, bytes, sizeof bytes) > 0);
      httpd_cut_stalled (fixture.httpd, clock_now_ms ());
    }
  CU_ASSERT_EQUAL (fixture.disconnected, 1);
  CU_ASSERT_TRUE (fixture.buffers.used_bytes < STREAM_BYTES);
  CU_ASSERT_FALSE (slow->stream_aborted);
  /* The budget bounds what is held also while nothing is cut. */
  CU_ASSERT_FALSE (
      buffer_budget_take (&fixture.buffers, (size_t)2 * STREAM_BYTES));
  close (slow_client);
  httpd_destroy (fixture.httpd);
  CU_ASSERT_EQUAL (fixture.buffers.used_bytes, 0);
  teardown (&fixture);
}

static void
begin_long_response (struct fixture *fixture, int client, int count)
{
  char *body = calloc (1, RESPONSE_BYTES);

  CU_ASSERT_EQUAL (write (client, request_text, sizeof request_text - 1),
                   (ssize_t)sizeof request_text - 1);
  run_until_handled (fixture, count);
  httpd_respond (fixture->last, 200, "text/plain", body, RESPONSE_BYTES);
  free (body);
  for (int i = 0; i < 10; i++)
    ev_run (fixture->loop, EVRUN_NOWAIT);
}

/* Guards against the same with responses in one piece, which are held outside
   of the budget until the client has read them.  */
static void
cuts_a_stalled_reader_of_a_whole_response (void)
{
  struct fixture fixture;
  char bytes[SLOW_READ_BYTES];
  int slow_client;

  setup_bounded (&fixture, (size_t)2 * RESPONSE_BYTES);
  begin_long_response (&fixture, fixture.client, 1);
  slow_client = connect_client (&fixture);
  begin_long_response (&fixture, slow_client, 2);
  CU_ASSERT_TRUE (fixture.buffers.used_bytes >= (size_t)2 * RESPONSE_BYTES);
  for (int i = 0; i < SLOW_READS; i++)
    {
      usleep (SLOW_READ_MS * 1000);
      for (int k = 0; k < 10; k++)
        ev_run (fixture.loop, EVRUN_NOWAIT);
      CU_ASSERT_TRUE (read (slow_client, bytes, sizeof bytes) > 0);
      httpd_cut_stalled (fixture.httpd, clock_now_ms ());
    }
  for (int k = 0; k < 10; k++)
    ev_run (fixture.loop, EVRUN_NOWAIT);
  CU_ASSERT_EQUAL (fixture.buffers.used_bytes, RESPONSE_BYTES);
  CU_ASSERT_EQUAL (httpd_open_requests (fixture.httpd), 1);
  close (slow_client);
  for (int k = 0; k < 10; k++)
    ev_run (fixture.loop, EVRUN_NOWAIT);
  httpd_destroy (fixture.httpd);
  CU_ASSERT_EQUAL (fixture.buffers.used_bytes, 0);
  teardown (&fixture);
}

/* Guards against bodies that together take more than the host has.  */
static void
refuses_a_body_beyond_the_budget (void)
{
  static const char request[] = "POST / HTTP/1.1\r\nHost: test\r\n"
                                "Content-Length: 20\r\n\r\n"
                                "01234567890123456789";
  struct fixture fixture;
  char text[1024];

  setup_bounded (&fixture, 10);
  CU_ASSERT_EQUAL (write (fixture.client, request, sizeof request - 1),
                   (ssize_t)sizeof request - 1);
  for (int i = 0; i < 50; i++)
    ev_run (fixture.loop, EVRUN_NOWAIT);
  httpd_destroy (fixture.httpd);
  read_response (&fixture, text, sizeof text);
  CU_ASSERT_EQUAL (fixture.handled, 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "not_run"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "Retry-After"));
  teardown (&fixture);
}

enum late_response
{
  LATE_WHOLE,
  LATE_ERROR,
  LATE_BEGINNING,
  LATE_RESPONSES,
};

static void
respond_late (struct httpd_request *request, enum late_response late)
{
  struct error error;

  error_set (&error, ERROR_ENDPOINT, RUN_MAY_HAVE_RUN, "late");
  if (late == LATE_WHOLE)
    httpd_respond (request, 502, "text/plain", "late", 4);
  else if (late == LATE_ERROR)
    httpd_respond_error (request, &error);
  else
    httpd_stream_begin (request, 200, "text/event-stream");
}

/* Sends REQUEST, begins a stream and then makes a further response.  Returns
   whether the client sees within moments that the stream is incomplete.  */
static bool
late_response_aborts (const char *request, enum late_response late, bool is_up)
{
  struct fixture fixture;
  char text[2048];
  size_t len = 0;
  ssize_t got = 1;
  int64_t count = counter_get (COUNTER_RESPONSES_LATE);

  setup (&fixture);
  CU_ASSERT_EQUAL (write (fixture.client, request, strlen (request)),
                   (ssize_t)strlen (request));
  run_until_handled (&fixture, 1);
  httpd_stream_begin (fixture.last, 200, "text/event-stream");
  httpd_stream_write (fixture.last, "data", 4);
  for (int i = 0; i < 4 && is_up; i++)
    ev_run (fixture.loop, EVRUN_NOWAIT);
  respond_late (fixture.last, late);
  for (int i = 0; i < 4; i++)
    ev_run (fixture.loop, EVRUN_NOWAIT);
  while (len + 1 < sizeof text
         && (got = recv (fixture.client, text + len, sizeof text - 1 - len,
                         MSG_DONTWAIT))
                > 0)
    len += (size_t)got;
  text[len] = '\0';
  CU_ASSERT_EQUAL (counter_get (COUNTER_RESPONSES_LATE), count + 1);
  httpd_destroy (fixture.httpd);
  teardown (&fixture);
  return strstr (text, " 502 ")
         || (got == 0 && !strstr (text, "\r\n0\r\n\r\n"));
}

/* Guards against a stream without an end, after a response that came when it
   had begun and was dropped without a trace: by callers of both versions of
   HTTP, before and after the head is on its way.  */
static void
late_response_aborts_a_stream (void)
{
  static const char *const requests[]
      = { request_text, "GET / HTTP/1.0\r\n\r\n" };

  for (int late = 0; late < LATE_RESPONSES; late++)
    for (int i = 0; i < 4; i++)
      CU_ASSERT_TRUE (late_response_aborts (requests[i / 2],
                                            (enum late_response)late, i % 2));
}

/* Guards against a second response that changes a whole one, or passes
   unseen.  */
static void
late_response_leaves_a_whole_one (void)
{
  struct fixture fixture;
  char text[1024];
  int64_t count = counter_get (COUNTER_RESPONSES_LATE);

  setup (&fixture);
  send_request (&fixture);
  run_until_handled (&fixture, 1);
  httpd_respond (fixture.last, 200, "text/plain", "first", 5);
  for (int late = 0; late < LATE_RESPONSES; late++)
    respond_late (fixture.last, (enum late_response)late);
  httpd_stream_end (fixture.last);
  httpd_stream_abort (fixture.last);
  CU_ASSERT_EQUAL (counter_get (COUNTER_RESPONSES_LATE),
                   count + LATE_RESPONSES + 2);
  httpd_destroy (fixture.httpd);
  read_response (&fixture, text, sizeof text);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, " 200 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "first"));
  CU_ASSERT_PTR_NULL (strstr (text, "late"));
  teardown (&fixture);
}

static void
respond_at_once (void *data, struct httpd_request *request)
{
  ((struct fixture *)data)->handled++;
  httpd_respond (request, 200, "text/plain", "", 0);
}

/* Starts a server of short answers that drops its oldest connections.  */
static void
setup_status (struct fixture *fixture)
{
  struct httpd_options options = { .address = "127.0.0.1",
                                   .connection_memory_bytes = 8192,
                                   .max_body_bytes = 8192,
                                   .max_connections = STATUS_CONNECTIONS,
                                   .drops_oldest = true,
                                   .handle_request = respond_at_once,
                                   .data = fixture };
  struct error error;

  memset (fixture, 0, sizeof *fixture);
  options.loop = fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->httpd = httpd_create (&options, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->httpd);
}

static void
run_shortly (const struct fixture *fixture)
{
  for (int i = 0; i < 20; i++)
    {
      ev_run (fixture->loop, EVRUN_NOWAIT);
      ev_sleep (0.001);
    }
}

/* Guards against strangers, idle or with a part of a request, that keep the
   platform's probe out.  */
static void
strangers_keep_no_probe_out (void)
{
  static const char *const parts[] = { "", "GE", "GET / HTTP/1.1\r\nHost: te",
                                       "POST / HTTP/1.1\r\nHost: "
                                       "test\r\nContent-Length: 9\r\n\r\nx" };
  int strangers[3 * STATUS_CONNECTIONS];
  struct fixture fixture;

  setup_status (&fixture);
  for (int i = 0; i < 3 * STATUS_CONNECTIONS; i++)
    {
      const char *part = parts[i % 4];

      strangers[i] = connect_client (&fixture);
      send (strangers[i], part, strlen (part), MSG_NOSIGNAL);
      run_shortly (&fixture);
    }
  fixture.client = connect_client (&fixture);
  send_request (&fixture);
  for (int i = 0; i < STATUS_RUNS && fixture.handled == 0; i++)
    run_shortly (&fixture);
  CU_ASSERT_EQUAL (fixture.handled, 1);
  CU_ASSERT (httpd_open_connections (fixture.httpd) <= STATUS_CONNECTIONS);
  for (int i = 0; i < 3 * STATUS_CONNECTIONS; i++)
    close (strangers[i]);
  httpd_destroy (fixture.httpd);
  teardown (&fixture);
}

CU_TestInfo httpd_tests[] = {
  { "answers a waiting request", answers_a_waiting_request },
  { "refuses a request that arrives last",
    refuses_a_request_that_arrives_last },
  { "refuses a second request", refuses_a_second_request },
  { "aborts an open stream", aborts_an_open_stream },
  { "a stream without chunks has a length", stream_without_chunks_has_length },
  { "an aborted stream never looks complete",
    aborted_stream_never_looks_complete },
  { "a late response aborts a stream", late_response_aborts_a_stream },
  { "a late response leaves a whole one", late_response_leaves_a_whole_one },
  { "cuts a stalled reader, not a slow one", cuts_a_stalled_reader_only },
  { "cuts a stalled reader of a whole response",
    cuts_a_stalled_reader_of_a_whole_response },
  { "refuses a body beyond the budget", refuses_a_body_beyond_the_budget },
  { "strangers keep no probe out", strangers_keep_no_probe_out },
  CU_TEST_INFO_NULL
};
