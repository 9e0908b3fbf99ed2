#include "common/buf.h"
#include "local_front.h"
#include "suites.h"
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ROUTE_TIMEOUT_MS = 2000,
  AT_ONCE_MS = 500, /* a quarter of the route's time-out */
};

static const char body_text[] = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";

/* How a caller frames a body. */
enum framing
{
  NO_BODY,
  EMPTY_BODY,
  WITH_LENGTH,
  IN_CHUNKS,
  FRAMINGS,
};

static char *
make_request (const char *method, enum framing framing, int number)
{
  char *head
      = xasprintf ("%s /x?y=1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: m%d\r\n"
                   "Deadline-Ms: 2500\r\n",
                   method, number);
  char *request = NULL;

  switch (framing)
    {
    case EMPTY_BODY:
      request = xasprintf ("%sContent-Length: 0\r\n\r\n", head);
      break;
    case WITH_LENGTH:
      request = xasprintf ("%sContent-Length: %zu\r\n\r\n%s", head,
                           strlen (body_text), body_text);
      break;
    case IN_CHUNKS:
      request = xasprintf ("%sTransfer-Encoding: chunked\r\n\r\n%zx\r\n%s"
                           "\r\n0\r\n\r\n",
                           head, strlen (body_text), body_text);
      break;
    default:
      request = xasprintf ("%s\r\n", head);
      break;
    }
  free (head);
  return request;
}

/* Whether TEXT, with its body, is what a caller sent by METHOD and FRAMING. */
static bool
is_as_sent (const char *text, const char *method, enum framing framing)
{
  char *line = xasprintf ("%s /x?y=1 HTTP/1.1\r\n", method);
  const char *body = strstr (text, "\r\n\r\n");
  bool has_body = framing == WITH_LENGTH || framing == IN_CHUNKS;
  bool is_same = g_str_has_prefix (text, line) && body
                 && strcmp (body + 4, has_body ? body_text : "") == 0;

  free (line);
  return is_same;
}

static void
play_methods (enum route_retry_mode retry_mode, bool is_relayed)
{
  static const char *const methods[]
      = { "GET",   "HEAD",    "POST",  "PUT",     "DELETE",
          "PATCH", "OPTIONS", "TRACE", "PROPFIND" };
  struct local_route route = { .retry_mode = retry_mode,
                               .timeout_ms = ROUTE_TIMEOUT_MS,
                               .max_attempts = 2 };
  struct local_front front;
  int number = 0;

  local_front_open (&front, &route, is_relayed);
  if (retry_mode == ROUTE_STREAM)
    front.answer
        = "Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n";
  for (size_t i = 0; i < G_N_ELEMENTS (methods); i++)
    for (enum framing framing = NO_BODY; framing < FRAMINGS; framing++)
      {
        char *request = make_request (methods[i], framing, ++number);
        guint before = front.requests->len;
        struct front_answer got
            = local_front_ask (&front, request, strlen (request));
        bool is_right = got.status == 200 && got.took_ms < AT_ONCE_MS
                        && front.requests->len == before + 1
                        && is_as_sent (front.requests->pdata[before],
                                       methods[i], framing);

        if (!is_right)
          fprintf (stderr,
                   "%s, framing %d, mode %d, relayed %d: %d after %d "
                   "ms, arrived:\n%s\n",
                   methods[i], (int)framing, (int)retry_mode, is_relayed,
                   got.status, (int)got.took_ms,
                   front.requests->len > before
                       ? (const char *)front.requests->pdata[before]
                       : "nothing");
        CU_ASSERT_TRUE (is_right);
        if (strcmp (methods[i], "HEAD") == 0 && retry_mode != ROUTE_STREAM)
          CU_ASSERT_PTR_NOT_NULL (
              strstr (got.head, "\r\nContent-Length: 4\r\n"));
        free (request);
      }
  local_front_close (&front);
}

/* Guards against a request that reaches its endpoint with another method or
   without its body, and against an answer to HEAD that waits for a body.  */
static void
test_methods (void)
{
  play_methods (ROUTE_IDEMPOTENT, false);
  play_methods (ROUTE_ONCE, false);
  play_methods (ROUTE_STREAM, false);
}

/* Guards against the same where another host sends the request.  */
static void
test_relayed_methods (void)
{
  play_methods (ROUTE_IDEMPOTENT, true);
  play_methods (ROUTE_ONCE, true);
  play_methods (ROUTE_STREAM, true);
}

/* Status lines that no answer may have, and how it is framed after them.  */
static const char *const no_statuses[]
    = { "HTTP/1.1 000 X",
        "HTTP/1.1 001 X",
        "HTTP/1.1 099 X",
        "HTTP/1.1 101 X",
        "HTTP/1.1 600 X",
        "HTTP/1.1 777 X",
        "HTTP/1.1 999 X",
        "HTTP/1.1 1000 X",
        "HTTP/1.1 20 X",
        "HTTP/1.1 2000 X",
        "HTTP/1.1 +200 X",
        "HTTP/1.1 -200 X",
        "HTTP/1.1 2x0 X",
        "HTTP/1.1 200X",
        "HTTP/1.1  200 X",
        "HTTP/1.1\t200 X",
        "HTTP/1.1 ",
        "HTTP/1.1",
        "HTTP/2 200 X",
        "HTTP/2.0 200 X",
        "HTTP/3 200 X",
        "HTTP/0.9 200 X",
        "HTTP/1.7 200 X",
        "HTTP/1.10 200 X",
        "ICY 200 X",
        "http/1.1 200 X",
        "200 X",
        "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 600 X",
        "HTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 000 X",
        "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 101 X" };

static const char *const framings[]
    = { "Content-Length: 4\r\n\r\nbody",
        "Content-Length: 0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        "\r\nbody",
        "Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n",
        "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n" };

static void
play_statuses (enum route_retry_mode retry_mode, bool is_relayed)
{
  struct local_route route = { .retry_mode = retry_mode,
                               .timeout_ms = ROUTE_TIMEOUT_MS,
                               .max_attempts = 1 };

  for (size_t i = 0; i < G_N_ELEMENTS (no_statuses); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (framings); k += is_relayed ? 5 : 1)
      {
        struct local_front front;
        char *request = make_request ("POST", WITH_LENGTH, 1);
        struct front_answer got;
        bool is_refused;

        local_front_open (&front, &route, is_relayed);
        front.status_line = no_statuses[i];
        front.answer = framings[k];
        got = local_front_ask (&front, request, strlen (request));
        is_refused = (got.status == 502 || (got.status == 0 && got.is_closed))
                     && got.took_ms < AT_ONCE_MS;
        if (!is_refused)
          fprintf (stderr,
                   "%s, framing %zu, mode %d, relayed %d: %d after "
                   "%d ms\n",
                   no_statuses[i], k, (int)retry_mode, is_relayed, got.status,
                   (int)got.took_ms);
        CU_ASSERT_TRUE (is_refused);
        free (request);
        local_front_close (&front);
      }
}

/* Guards against an answer whose status HTTP does not define as final: it must
   not reach a caller, nor wait for the time-out.  */
static void
test_statuses (void)
{
  play_statuses (ROUTE_ONCE, false);
  play_statuses (ROUTE_STREAM, false);
  play_statuses (ROUTE_IDEMPOTENT, false);
  play_statuses (ROUTE_ONCE, true);
  play_statuses (ROUTE_STREAM, true);
}

CU_TestInfo statuses_tests[] = {
  { "statuses that are none", test_statuses },
  CU_TEST_INFO_NULL,
};

CU_TestInfo methods_tests[] = {
  { "methods", test_methods },
  { "methods through a helping host", test_relayed_methods },
  CU_TEST_INFO_NULL,
};
