#include "common/httpd.h"
#include "common/id.h"
#include "local_front.h"
#include "suites.h"
#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  ROUTE_TIMEOUT_MS = 2000,
  AT_ONCE_MS = 500,
  AFTER_MS = 60, /* in which what is hidden would run */
  MAX_HEAD_BYTES = 2000,
};

/* What is hidden behind a head, or in what one reading takes for its body. */
#define EVIL                                                                  \
  "POST /evil HTTP/1.1\r\nHost: h\r\nAttempt-Id: evil\r\nContent-Length: 0"   \
  "\r\n\r\n"

/* A request with LINES after its first ones.  */
#define WITH(lines)                                                           \
  "POST /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\n" lines "\r\n"

struct raw_request
{
  const char *bytes;
  size_t len;
};

#define RAW(text)                                                             \
  {                                                                           \
    text, sizeof text - 1                                                     \
  }

/* Heads that can be read in two ways.  */
static const struct raw_request ambiguous[] = {
  RAW (WITH ("Content-Length : 5\r\n") EVIL),
  RAW (WITH ("Content-Length\t: 5\r\n") EVIL),
  RAW (WITH ("Transfer-Encoding : chunked\r\n") "0\r\n\r\n" EVIL),
  RAW (WITH (" Content-Length: 5\r\n") EVIL),
  RAW (WITH ("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") "0\r\n\r"
                                                                    "\n" EVIL),
  RAW (WITH ("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n") "0\r\n\r"
                                                                    "\n" EVIL),
  RAW (WITH ("Content-Length: 0\r\nContent-Length: 5\r\n") EVIL),
  RAW (WITH ("Content-Length: 5\r\nContent-Length: 0\r\n") EVIL),
  RAW (WITH ("Content-Length: 0\r\ncontent-length: 0\r\n") EVIL),
  RAW (WITH ("Content-Length: 0, 5\r\n") EVIL),
  RAW (WITH ("Content-Length: +0\r\n") EVIL),
  RAW (WITH ("Content-Length: 0x5\r\n") EVIL),
  RAW (WITH ("Content-Length: \r\n") EVIL),
  RAW (WITH ("Content-Length: 0 \r\n") EVIL),
  RAW (WITH ("Transfer-Encoding: chunked\r\nTransfer-Encoding: "
             "identity\r\n") "0\r\n"
                             "\r\n" EVIL),
  RAW (WITH ("Transfer-Encoding: identity\r\nTransfer-Encoding: "
             "chunked\r\n") "0\r\n"
                            "\r\n" EVIL),
  RAW (WITH ("Transfer-Encoding: identity\r\n") EVIL),
  RAW (WITH ("Transfer-Encoding: gzip, chunked\r\n") "0\r\n\r\n" EVIL),
  RAW (WITH ("Transfer-Encoding: chunked, chunked\r\n") "0\r\n\r\n" EVIL),
  RAW (WITH ("Transfer-Encoding: xchunked\r\n") "0\r\n\r\n" EVIL),
  RAW (WITH ("Transfer-Encoding: chunked \r\n") "0\r\n\r\n" EVIL),
  RAW (WITH ("Transfer-Encoding: \"chunked\"\r\n") "0\r\n\r\n" EVIL),
  RAW (WITH ("Transfer-Encoding:\x0b"
             "chunked\r\n") "0\r\n\r\n" EVIL),
  RAW (WITH ("Transfer-Encoding:\r\n chunked\r\n") "0\r\n\r\n" EVIL),
  RAW (WITH ("X: a\r\n Transfer-Encoding: chunked\r\n") "0\r\n\r\n" EVIL),
  RAW (WITH ("X: a\r\n\tContent-Length: 5\r\n") EVIL),
  RAW (WITH ("X: a\r\n \r\n") EVIL),
  RAW (WITH ("X: a\rContent-Length: 5\r\n") EVIL),
  RAW (WITH ("X: a\r\rContent-Length: 5\r\n") EVIL),
  RAW (WITH ("X: a\nContent-Length: 5\r\n") EVIL),
  RAW (WITH ("X: a\n") EVIL),
  RAW (WITH ("X: a\r\n\n") EVIL),
  RAW (WITH ("X: a\0b\r\n") EVIL),
  RAW (WITH ("X: a\0\r\n") EVIL),
  RAW (WITH ("X\0Y: a\r\n") EVIL),
  RAW (WITH ("X Y: a\r\n") EVIL),
  RAW (WITH ("X\x01: a\r\n") EVIL),
  RAW (WITH ("X: a\x01\r\n") EVIL),
  RAW (WITH ("X: a\x7f\r\n") EVIL),
  RAW (WITH (": a\r\n") EVIL),
  RAW (WITH ("no colon\r\n") EVIL),
  RAW (WITH ("Host: i\r\n") EVIL),
  RAW (WITH ("Attempt-Id: 2\r\n") EVIL),
  RAW (WITH ("Credential: a\r\nCredential: b\r\n") EVIL),
  RAW (WITH ("Deadline-Ms: 1000\r\nDeadline-Ms: 2000\r\n") EVIL),
  RAW ("POST /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\n\n" EVIL),
  RAW ("POST /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\n\r\n" EVIL),
  RAW ("POST /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\n\n" EVIL),
  RAW ("POST /x HTTP/1.1\nHost: h\nAttempt-Id: 1\n\n" EVIL),
  RAW ("POST /x HTTP/1.1\n\n" EVIL),
  RAW ("POST /x y HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\n\r\n" EVIL),
  RAW ("POST /x\ty HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\n\r\n" EVIL),
  RAW ("POST /x\0y HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\n\r\n" EVIL),
  RAW ("POST /x\ry HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\n\r\n" EVIL),
  RAW ("POST  /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\n\r\n" EVIL),
  RAW ("POST /x  HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\n\r\n" EVIL),
  RAW ("POST\t/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\n\r\n" EVIL),
  RAW ("PO\0ST /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\n\r\n" EVIL),
  RAW ("PO(ST /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\n\r\n" EVIL),
  RAW ("POST /x HTTP/1.7\r\nHost: h\r\nAttempt-Id: 1\r\n\r\n" EVIL),
  RAW ("POST /x HTTP/1.1 \r\nHost: h\r\nAttempt-Id: 1\r\n\r\n" EVIL),
  RAW ("POST /x HTTP/1.0\r\nHost: h\r\nAttempt-Id: "
       "1\r\nTransfer-Encoding: "
       "chunked\r\n\r\n0\r\n\r\n" EVIL),
  RAW ("POST /x\r\nHost: h\r\nAttempt-Id: 1\r\n\r\n" EVIL),
};

/* Likewise: a null byte stands in place of a carriage return.  */
static const struct raw_request disguised[] = {
  RAW (WITH ("X: a\0\nContent-Length: 5\r\n") EVIL),
  RAW ("POST /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\0\n\0\n" EVIL),
  RAW ("POST /x HTTP/1.1\0\nHost: h\r\nAttempt-Id: 1\r\n\r\n" EVIL),
};

/* Heads that can be read in one way only.  */
static const struct raw_request sound[] = {
  RAW (WITH ("")),
  RAW ("\r\n" WITH ("")),
  RAW (WITH ("X:\r\nY: \r\nZ:  a  b \t\r\n")),
  RAW (WITH ("X: a\r\nX: b\r\nCookie: c=d; e=f\r\nCookie: g\r\n")),
  RAW (WITH ("X: \xc3\xa4\r\n")),
  RAW (WITH ("content-LENGTH: 2\r\n") "ab"),
  RAW (WITH ("Content-Length:0002\r\n") "ab"),
  RAW (WITH ("TRANSFER-encoding: CHUNKED\r\n") "2\r\nab\r\n0\r\n\r\n"),
  RAW (WITH ("Transfer-Encoding: chunked\r\n") "2;x=y\r\nab\r\n0\r\nT: u\r\n"
                                               "\r\n"),
  RAW ("GET /x%20y%00?a=%0d%0a&b=%41 HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\n"
       "\r\n"),
  RAW ("GET /x HTTP/1.0\r\nHost: h\r\nAttempt-Id: 1\r\n\r\n"),
  RAW ("get!#$%&'*+-.^_`|~ /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\n\r\n"),
};

static const struct local_route plain_route
    = { .retry_mode = ROUTE_ONCE, .timeout_ms = ROUTE_TIMEOUT_MS };

static void
tell (const char *what, const struct raw_request *raw,
      const struct front_answer *got, guint arrived)
{
  char *text = g_strescape (raw->bytes, NULL);

  fprintf (stderr, "%s: %d, closed %d, after %d ms, %u requests ran: %.200s\n",
           what, got->status, got->is_closed, (int)got->took_ms, arrived,
           text);
  g_free (text);
}

static void
expect_refusals (const struct raw_request *requests, size_t count)
{
  struct local_front front;

  local_front_open (&front, &plain_route, false);
  front.after_ms = AFTER_MS;
  for (size_t i = 0; i < count; i++)
    {
      struct front_answer got
          = local_front_ask (&front, requests[i].bytes, requests[i].len);
      bool is_refused = got.status == 400 && got.is_closed
                        && got.took_ms < AT_ONCE_MS
                        && front.requests->len == 0;

      if (!is_refused)
        tell ("not refused", &requests[i], &got, front.requests->len);
      CU_ASSERT_TRUE (is_refused);
      g_ptr_array_set_size (front.requests, 0);
    }
  local_front_close (&front);
}

/* Guards against requests that run though they are hidden in others: in heads
   of which two readers see different ends or lengths.  */
static void
test_ambiguous_heads (void)
{
  expect_refusals (ambiguous, G_N_ELEMENTS (ambiguous));
}

/* Guards against the same where a null byte looks like the carriage return
   that libmicrohttpd replaces by one.  */
static void
test_null_line_ends (void)
{
  expect_refusals (disguised, G_N_ELEMENTS (disguised));
}

/* Guards against the refusal of heads that only look unusual.  */
static void
test_sound_heads (void)
{
  struct local_front front;

  local_front_open (&front, &plain_route, false);
  for (size_t i = 0; i < G_N_ELEMENTS (sound); i++)
    {
      struct front_answer got
          = local_front_ask (&front, sound[i].bytes, sound[i].len);

      if (got.status != 200 || front.requests->len != i + 1)
        tell ("not served", &sound[i], &got, front.requests->len);
      CU_ASSERT_EQUAL (got.status, 200);
      CU_ASSERT_EQUAL (front.requests->len, i + 1);
    }
  local_front_close (&front);
}

/* Guards against the refusal of sound heads for how they arrive: of any
   length, in parts, and one after the other on a connection.  The check relies
   on where libmicrohttpd keeps a head.  */
static void
test_heads_in_parts (void)
{
  struct local_front front;

  local_front_open (&front, &plain_route, false);
  for (size_t len = 1; len < MAX_HEAD_BYTES; len += len / 7 + 1)
    {
      char *filler = g_strnfill (len, 'f');
      char *request = xasprintf (
          "GET /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\nX: %s\r\nY: %s\r\n"
          "Connection: close\r\n\r\n",
          filler, filler);
      struct http_caller *caller = http_caller_create (
          front.local->loop, frontend_port (front.frontend), "");

      for (size_t at = 0, step; request[at]; at += step)
        {
          step = MIN (strlen (request + at), len % 5 * 100 + 7);
          CU_ASSERT_EQUAL (send (caller->fd, request + at, step, MSG_NOSIGNAL),
                           (ssize_t)step);
          local_front_run (&front, len % 3);
        }
      for (int i = 0; i < AT_ONCE_MS && caller->end == HTTP_PENDING; i++)
        local_front_run (&front, 1);
      CU_ASSERT_EQUAL (caller->status, 200);
      http_caller_destroy (caller);
      free (request);
      g_free (filler);
    }
  local_front_close (&front);
}

static void
count_request (void *data, struct httpd_request *request)
{
  ++*(int *)data;
  httpd_respond (request, 200, NULL, "", 0);
}

/* Sends RAW to HTTPD and returns whether it answers 400 and closes.  */
static bool
is_refused_by (struct ev_loop *loop, const struct httpd *httpd,
               const struct raw_request *raw)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int64_t until_ms = clock_now_ms () + AT_ONCE_MS;
  char text[4096] = "";
  size_t len = 0;
  ssize_t got = -1;

  address.sin_port = htons (httpd_port (httpd));
  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  CU_ASSERT_EQUAL_FATAL (
      connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL (send (fd, raw->bytes, raw->len, MSG_NOSIGNAL),
                   (ssize_t)raw->len);
  while (got != 0 && clock_now_ms () < until_ms)
    {
      ev_run (loop, EVRUN_NOWAIT);
      got = recv (fd, text + len, sizeof text - 1 - len, MSG_DONTWAIT);
      len += got > 0 ? (size_t)got : 0;
    }
  close (fd);
  text[len] = '\0';
  return got == 0 && g_str_has_prefix (text, "HTTP/1.1 400 ");
}

/* Guards against the same on the other listeners, which all use this server:
   the own interface and that of the operators.  */
static void
test_other_listeners (void)
{
  int handled = 0;
  struct httpd_options options = { .loop = ev_loop_new (EVFLAG_AUTO),
                                   .address = "127.0.0.1",
                                   .connection_memory_bytes = 16384,
                                   .max_body_bytes = 8192,
                                   .max_connections = 8,
                                   .handle_request = count_request,
                                   .data = &handled };
  struct error error;
  struct httpd *httpd = httpd_create (&options, &error);

  CU_ASSERT_PTR_NOT_NULL_FATAL (httpd);
  for (size_t i = 0; i < G_N_ELEMENTS (ambiguous); i++)
    {
      /* Which headers come once is the listener's to say.  */
      if (strstr (ambiguous[i].bytes, "\r\nAttempt-Id: 2")
          || strstr (ambiguous[i].bytes, "\r\nCredential:")
          || strstr (ambiguous[i].bytes, "\r\nDeadline-Ms:"))
        continue;
      CU_ASSERT_TRUE (is_refused_by (options.loop, httpd, &ambiguous[i]));
    }
  CU_ASSERT_EQUAL (handled, 0);
  httpd_destroy (httpd);
  ev_loop_destroy (options.loop);
}

CU_TestInfo null_line_ends_tests[] = {
  { "null bytes at the ends of lines", test_null_line_ends },
  CU_TEST_INFO_NULL,
};

CU_TestInfo hidden_requests_tests[] = {
  { "heads that can be read in two ways", test_ambiguous_heads },
  { "sound heads", test_sound_heads },
  { "sound heads in parts", test_heads_in_parts },
  { "the other listeners", test_other_listeners },
  CU_TEST_INFO_NULL,
};
