#include "common/counters.h"
#include "common/id.h"
#include "common/memory.h"
#include "local_pipeline.h"
#include "platform/frontend.h"
#include "suites.h"
#include <arpa/inet.h>
#include <errno.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* What a host holds for callers, and what it does when that is much.  */

enum
{
  HOST_BYTES = 88 * 1024 * 1024, /* of the smallest entry hosts */
  MAX_CALLERS = 700,
  MAX_CONNECTIONS = 3000,
  TIMEOUT_MS = 20 * 1000,  /* of the route, longer than the test */
  PATIENCE_MS = 10 * 1000, /* of the test, for one condition */
  BACKLOG = 1024,
  PRICED_CALLERS = 100,
  RESPONSE_BYTES = 4096,
  BODY_BYTES = 1024 * 1024,
  BODIES = 48,
  /* A host's part of 11,000 requests a second at 380 hosts, of 10 s each. */
  MIN_CALLERS = 290,
};

#define STREAM_HEAD                                                           \
  "HTTP/1.1 200 OK\r\nServer-Stamp: 1\r\nTransfer-Encoding: "                 \
  "chunked\r\n\r\n"
/* The connection to the endpoint is not used again. */
#define CLOSING_HEAD                                                          \
  "HTTP/1.1 200 OK\r\nServer-Stamp: 1\r\nConnection: close\r\n"               \
  "Transfer-Encoding: chunked\r\n\r\n"
#define EVENT_END "data: abc\n\n"
#define EVENT "11\r\nid: 0\n" EVENT_END "\r\n"
#define LAST_CHUNK "0\r\n\r\n"

static const char request_text[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
static const char turn_text[]
    = "GET /x HTTP/1.1\r\nHost: h\r\nPrevious-Turn: t\r\n\r\n";

/* A frontend before a pipeline with one endpoint, which answers only when the
   test says so and takes no memory of the process. */
struct site
{
  struct local_pipeline *local;
  struct frontend *frontend;
  struct buffer_budget buffers;
  int callers[MAX_CALLERS];
  uint32_t caller_count;
  int listener;
  int endpoint[MAX_CALLERS]; /* its side of the connections */
  uint32_t accepted;
};

static struct sockaddr_in
local_address (uint16_t port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons (port),
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
}

static uint16_t
listen_endpoint (struct site *site)
{
  struct sockaddr_in address = local_address (0);
  socklen_t len = sizeof address;

  site->listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  CU_ASSERT_EQUAL_FATAL (
      bind (site->listener, (struct sockaddr *)&address, len), 0);
  CU_ASSERT_EQUAL_FATAL (listen (site->listener, BACKLOG), 0);
  getsockname (site->listener, (struct sockaddr *)&address, &len);
  return ntohs (address.sin_port);
}

static struct raw_answer
answer_nothing (void *data, struct raw_endpoint *endpoint, const char *request)
{
  return (struct raw_answer){ .bytes = "", .end = RAW_CLOSE };
}

static void
open_site (struct site *site, enum route_retry_mode retry_mode)
{
  struct local_pipeline_options options = { .route.retry_mode = retry_mode,
                                            .route.timeout_ms = TIMEOUT_MS,
                                            .answer = answer_nothing };
  struct frontend_options frontend = { .listen = "127.0.0.1:0",
                                       .max_connections = MAX_CONNECTIONS,
                                       .buffers = &site->buffers };
  struct error error;

  memset (site, 0, sizeof *site);
  memory_set_limit (HOST_BYTES, MEMORY_SERVES_CALLERS);
  site->local = local_pipeline_create (&options);
  site->local->listed[0].port = listen_endpoint (site);
  local_pipeline_list_endpoints (site->local);
  site->buffers.limit_bytes = (size_t)memory_share (MEMORY_CALLERS);
  frontend.loop = site->local->loop;
  frontend.pipeline = site->local->pipeline;
  site->frontend = frontend_create (&frontend, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (site->frontend);
}

static void
close_site (struct site *site)
{
  for (uint32_t i = 0; i < site->caller_count; i++)
    close (site->callers[i]);
  for (uint32_t i = 0; i < site->accepted; i++)
    close (site->endpoint[i]);
  close (site->listener);
  pipeline_abort (site->local->pipeline);
  frontend_destroy (site->frontend);
  local_pipeline_destroy (site->local);
  CU_ASSERT_EQUAL (memory_used (MEMORY_CALLERS), 0);
  memory_set_limit (0, MEMORY_SERVES_CALLERS);
}

static void
run_loop (struct site *site)
{
  ev_run (site->local->loop, EVRUN_NOWAIT);
  frontend_relieve (site->frontend, clock_now_ms ());
}

/* Connects a caller, which is the next one.  */
static int
connect_caller (struct site *site)
{
  struct sockaddr_in address = local_address (frontend_port (site->frontend));
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  CU_ASSERT_TRUE_FATAL (site->caller_count < MAX_CALLERS);
  CU_ASSERT_EQUAL_FATAL (
      connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  site->callers[site->caller_count++] = fd;
  return fd;
}

static void
send_text (int fd, const char *text)
{
  CU_ASSERT_EQUAL (send (fd, text, strlen (text), MSG_NOSIGNAL),
                   (ssize_t)strlen (text));
}

/* Returns what FD has received, after at most PATIENCE_MS; empty if the other
   side has closed.  */
static ssize_t
receive (struct site *site, int fd, char text[RESPONSE_BYTES])
{
  int64_t until_ms = clock_now_ms () + PATIENCE_MS;
  ssize_t got = -1;

  while (got < 0 && clock_now_ms () < until_ms)
    {
      run_loop (site);
      got = recv (fd, text, RESPONSE_BYTES - 1, MSG_DONTWAIT);
    }
  text[MAX (got, 0)] = '\0';
  return got;
}

/* Has the endpoint accept connections until COUNT are open.  */
static void
accept_at_endpoint (struct site *site, uint32_t count)
{
  int64_t until_ms = clock_now_ms () + PATIENCE_MS;

  while (site->accepted < count && clock_now_ms () < until_ms)
    {
      int fd;

      run_loop (site);
      fd = accept4 (site->listener, NULL, NULL, SOCK_NONBLOCK);
      if (fd >= 0)
        site->endpoint[site->accepted++] = fd;
    }
  CU_ASSERT_EQUAL_FATAL (site->accepted, count);
}

/* Runs until the callers' account has USED_BYTES.  */
static void
run_until_account_is (struct site *site, int64_t used_bytes)
{
  int64_t until_ms = clock_now_ms () + PATIENCE_MS;

  while (memory_used (MEMORY_CALLERS) != used_bytes
         && clock_now_ms () < until_ms)
    run_loop (site);
  CU_ASSERT_EQUAL (memory_used (MEMORY_CALLERS), used_bytes);
}

/* Receives from FD until what it got contains END.  */
static void
receive_text (struct site *site, int fd, const char *end)
{
  struct buf all = { 0 };
  char text[RESPONSE_BYTES];

  while (receive (site, fd, text) > 0)
    {
      buf_append_str (&all, text);
      if (strstr (all.data, end))
        break;
    }
  CU_ASSERT_PTR_NOT_NULL (all.data ? strstr (all.data, end) : NULL);
  buf_release (&all);
}

/* Returns 0 once FD is closed by the other side.  */
static ssize_t
receive_until_closed (struct site *site, int fd)
{
  char text[RESPONSE_BYTES];
  ssize_t got;

  while ((got = receive (site, fd, text)) > 0)
    continue;
  return got;
}

static size_t
allocated_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

static uint32_t
count_refusals (void)
{
  return (uint32_t)counter_get (COUNTER_REFUSED_MEMORY);
}

static void
expect_refusal (struct site *site, int fd)
{
  char text[RESPONSE_BYTES];

  receive (site, fd, text);
  CU_ASSERT_PTR_EQUAL (strstr (text, "HTTP/1.1 503 "), text);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "\r\nRetry-After: 0."));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "\r\nConnection: close\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "\"run\":\"not_run\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "short of memory"));
  CU_ASSERT_EQUAL (receive (site, fd, text), 0);
}

/* Starts requests of TEXT until one is refused.  Returns how many were
   accepted.  */
static uint32_t
fill (struct site *site, const char *text)
{
  uint32_t refused = count_refusals ();
  uint32_t before = site->accepted;

  while (count_refusals () == refused)
    {
      int64_t until_ms = clock_now_ms () + PATIENCE_MS;
      uint32_t accepted = site->accepted;

      send_text (connect_caller (site), text);
      while (site->accepted == accepted && count_refusals () == refused)
        {
          int fd;

          run_loop (site);
          CU_ASSERT_TRUE_FATAL (clock_now_ms () < until_ms);
          fd = accept4 (site->listener, NULL, NULL, SOCK_NONBLOCK);
          if (fd >= 0)
            site->endpoint[site->accepted++] = fd;
        }
      CU_ASSERT_TRUE_FATAL (memory_used (MEMORY_CALLERS)
                            <= memory_share (MEMORY_CALLERS));
    }
  expect_refusal (site, site->callers[site->caller_count - 1]);
  return site->accepted - before;
}

/* Guards against a host that accepts more requests than it has memory for and
   ends with those that it works on.  It refuses those that begin work first,
   accepted ones are answered, and what is free is used again.  */
static void
test_many_callers (void)
{
  static struct site site;
  char text[RESPONSE_BYTES];
  uint32_t new_ones;
  uint32_t turns;

  open_site (&site, ROUTE_STREAM);
  new_ones = fill (&site, request_text);
  CU_ASSERT_TRUE (new_ones >= MIN_CALLERS);
  turns = fill (&site, turn_text);
  CU_ASSERT_TRUE (turns > 0);
  for (uint32_t i = 0; i < site.accepted; i++)
    send_text (site.endpoint[i], STREAM_HEAD EVENT LAST_CHUNK);
  for (uint32_t i = 0; i < site.caller_count; i++)
    {
      if (i == new_ones || i == site.caller_count - 1)
        continue;
      receive (&site, site.callers[i], text);
      CU_ASSERT_PTR_EQUAL (strstr (text, "HTTP/1.1 200 "), text);
    }
  for (uint32_t i = 0; i < site.caller_count; i++)
    close (site.callers[i]);
  site.caller_count = 0;
  run_until_account_is (&site, 0);
  send_text (connect_caller (&site), request_text);
  accept_at_endpoint (&site, new_ones + turns + 1);
  close_site (&site);
}

/* Guards against connections that no request uses and that keep a host from
   taking requests: they are closed once memory is short.  */
static void
test_idle_connections_are_dropped (void)
{
  static struct site site;
  int64_t dropped = counter_get (COUNTER_IDLE_CONNECTIONS_DROPPED);
  int64_t taken_bytes = 0;
  int64_t until_ms;
  char text[RESPONSE_BYTES];
  uint32_t count;

  open_site (&site, ROUTE_STREAM);
  count = fill (&site, request_text);
  for (uint32_t i = 0; i < count; i++)
    send_text (site.endpoint[i], STREAM_HEAD EVENT LAST_CHUNK);
  for (uint32_t i = 0; i < count; i++)
    receive (&site, site.callers[i], text);
  for (; memory_state () == MEMORY_ENOUGH; taken_bytes += BODY_BYTES)
    CU_ASSERT_TRUE_FATAL (memory_take (MEMORY_CALLERS, BODY_BYTES));
  CU_ASSERT_EQUAL (receive_until_closed (&site, site.callers[0]), 0);
  CU_ASSERT_TRUE (counter_get (COUNTER_IDLE_CONNECTIONS_DROPPED) > dropped);
  until_ms = clock_now_ms () + PATIENCE_MS;
  while (memory_state () != MEMORY_ENOUGH && clock_now_ms () < until_ms)
    run_loop (&site);
  CU_ASSERT_EQUAL (memory_state (), MEMORY_ENOUGH);
  memory_add (MEMORY_CALLERS, -taken_bytes);
  close_site (&site);
}

/* Guards against a host that takes work while it occupies nearly all of its
   memory, for whatever it holds, and against one that breaks off what it has
   accepted.  */
static void
test_process_out_of_memory (void)
{
  static struct site site;
  char text[RESPONSE_BYTES];

  open_site (&site, ROUTE_STREAM);
  send_text (connect_caller (&site), request_text);
  accept_at_endpoint (&site, 1);
  send_text (site.endpoint[0], CLOSING_HEAD EVENT);
  receive_text (&site, site.callers[0], EVENT_END);
  CU_ASSERT_EQUAL (memory_measure (HOST_BYTES / 100 * 85), MEMORY_SHORT);
  send_text (connect_caller (&site), request_text);
  expect_refusal (&site, site.callers[1]);
  send_text (connect_caller (&site), turn_text);
  accept_at_endpoint (&site, 2);
  CU_ASSERT_EQUAL (memory_measure (HOST_BYTES), MEMORY_EXHAUSTED);
  send_text (connect_caller (&site), turn_text);
  expect_refusal (&site, site.callers[3]);
  send_text (site.endpoint[0], LAST_CHUNK);
  receive_text (&site, site.callers[0], LAST_CHUNK);
  send_text (site.endpoint[1], CLOSING_HEAD EVENT LAST_CHUNK);
  receive_text (&site, site.callers[2], EVENT_END);
  CU_ASSERT_EQUAL (memory_measure (0), MEMORY_ENOUGH);
  send_text (connect_caller (&site), request_text);
  accept_at_endpoint (&site, 3);
  send_text (site.endpoint[2], CLOSING_HEAD EVENT LAST_CHUNK);
  receive (&site, site.callers[4], text);
  CU_ASSERT_PTR_EQUAL (strstr (text, "HTTP/1.1 200 "), text);
  close_site (&site);
}

/* Sends as much as possible of what is left to send of a request with a body
   of BODY_BYTES, of which *SENT bytes are sent.  */
static void
send_part_of_body (int fd, const struct buf *request, size_t *sent)
{
  ssize_t got = send (fd, request->data + *sent, request->len - *sent,
                      MSG_NOSIGNAL | MSG_DONTWAIT);

  if (got > 0)
    *sent += (size_t)got;
}

/* Guards against large bodies that come at the same time and together exceed
   the memory of the host: they get 503 once there is no memory for them, and
   the others go on.  */
static void
test_large_bodies (void)
{
  static struct site site;
  struct buf request = { 0 };
  size_t sent[BODIES] = { 0 };
  uint32_t ended = 0;
  uint32_t refused = 0;
  char *body = xcalloc (BODY_BYTES, 1);
  int64_t until_ms = clock_now_ms () + PATIENCE_MS;

  buf_printf (&request,
              "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n",
              BODY_BYTES);
  buf_append (&request, body, BODY_BYTES);
  open_site (&site, ROUTE_STREAM);
  for (int i = 0; i < BODIES; i++)
    connect_caller (&site);
  while (ended < BODIES && clock_now_ms () < until_ms)
    {
      char text[RESPONSE_BYTES];
      int fd;

      for (int i = 0; i < BODIES; i++)
        send_part_of_body (site.callers[i], &request, &sent[i]);
      run_loop (&site);
      CU_ASSERT_TRUE_FATAL (memory_used (MEMORY_CALLERS)
                            <= memory_share (MEMORY_CALLERS));
      for (int i = 0; i < BODIES; i++)
        {
          ssize_t got
              = recv (site.callers[i], text, sizeof text - 1, MSG_DONTWAIT);

          text[MAX (got, 0)] = '\0';
          if (got <= 0)
            continue;
          CU_ASSERT_PTR_EQUAL (strstr (text, "HTTP/1.1 503 "), text);
          CU_ASSERT_PTR_NOT_NULL (strstr (text, "\r\nRetry-After: "));
          refused++;
        }
      fd = accept4 (site.listener, NULL, NULL, SOCK_NONBLOCK);
      if (fd >= 0)
        site.endpoint[site.accepted++] = fd;
      ended = refused + site.accepted;
    }
  CU_ASSERT_EQUAL (ended, BODIES);
  CU_ASSERT_TRUE (refused > 0);
  CU_ASSERT_TRUE (site.accepted > 0);
  close_site (&site);
  buf_release (&request);
  free (body);
}

/* Guards against callers that cost more than the price by which the host
   decides how many it can bear.  */
static void
test_price_of_a_caller (void)
{
  static struct site site;
  char text[RESPONSE_BYTES];
  size_t before;
  int64_t resident_bytes;
  int64_t used_bytes;

  open_site (&site, ROUTE_STREAM);
  send_text (connect_caller (&site), request_text);
  accept_at_endpoint (&site, 1);
  used_bytes = memory_used (MEMORY_CALLERS);
  CU_ASSERT_EQUAL (used_bytes, HTTPD_CONNECTION_BYTES + FRONTEND_CALLER_BYTES);
  resident_bytes = memory_resident_bytes ();
  before = allocated_bytes ();
  for (int i = 0; i < PRICED_CALLERS; i++)
    connect_caller (&site);
  run_until_account_is (&site,
                        used_bytes + PRICED_CALLERS * HTTPD_CONNECTION_BYTES);
  CU_ASSERT_TRUE (allocated_bytes () - before
                  <= PRICED_CALLERS * HTTPD_CONNECTION_BYTES);
  /* Each second request finds a connection of which all memory is in use.  */
  for (int round = 0; round < 2; round++)
    {
      uint32_t first = site.accepted;

      for (int i = 1; i <= PRICED_CALLERS; i++)
        send_text (site.callers[i], request_text);
      accept_at_endpoint (&site, first + PRICED_CALLERS);
      for (uint32_t i = first; i < site.accepted; i++)
        send_text (site.endpoint[i], CLOSING_HEAD EVENT);
      for (int i = 1; i <= PRICED_CALLERS; i++)
        receive_text (&site, site.callers[i], EVENT_END);
      if (round == 0)
        for (uint32_t i = first; i < site.accepted; i++)
          send_text (site.endpoint[i], LAST_CHUNK);
      for (int i = 1; i <= PRICED_CALLERS && round == 0; i++)
        receive (&site, site.callers[i], text);
    }
  CU_ASSERT_EQUAL (memory_used (MEMORY_CALLERS),
                   (PRICED_CALLERS + 1)
                       * (HTTPD_CONNECTION_BYTES + FRONTEND_CALLER_BYTES));
  CU_ASSERT_TRUE (allocated_bytes () - before
                  <= PRICED_CALLERS
                         * (HTTPD_CONNECTION_BYTES + FRONTEND_REQUEST_BYTES));
  if (before > 0)
    CU_ASSERT_TRUE (memory_resident_bytes () - resident_bytes
                    <= PRICED_CALLERS
                           * (HTTPD_CONNECTION_BYTES + FRONTEND_CALLER_BYTES));
  close_site (&site);
}

/* Guards against a helping host that ends for lack of memory: it holds the
   bodies of the requests that it sends for others.  */
static void
test_bodies_of_other_hosts (void)
{
  enum
  {
    RELAYS = 200,
  };
  struct local_pipeline_options options = { .route.timeout_ms = TIMEOUT_MS };
  struct local_pipeline *local = local_pipeline_create (&options);
  int64_t before = memory_used (MEMORY_CALLERS);
  char *body = calloc (1, BODY_BYTES);
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__RelaySend send = PEER__RELAY_SEND__INIT;

  memory_set_limit (HOST_BYTES, MEMORY_SERVES_CALLERS);
  send.endpoint = pool_at (local->pool, 0)->start;
  send.method = (char *)(uintptr_t) "POST";
  send.target = (char *)(uintptr_t) "/";
  send.timeout_ms = TIMEOUT_MS;
  send.body.data = (uint8_t *)body;
  send.body.len = BODY_BYTES;
  frame.body_case = PEER__FRAME__BODY_RELAY_SEND;
  frame.relay_send = &send;
  while (send.id < RELAYS)
    {
      send.id++;
      relay_server_handle_frame (local->relay_server, "y", &frame,
                                 clock_now_ms ());
    }
  CU_ASSERT_TRUE (relay_server_active (local->relay_server) > 0);
  CU_ASSERT_TRUE (relay_server_active (local->relay_server)
                  <= memory_share (MEMORY_CALLERS) / BODY_BYTES);
  local_pipeline_destroy (local);
  CU_ASSERT_EQUAL (memory_used (MEMORY_CALLERS), before);
  memory_set_limit (0, MEMORY_SERVES_CALLERS);
  free (body);
}

CU_TestInfo memory_pressure_tests[] = {
  { "bodies of other hosts", test_bodies_of_other_hosts },
  { "the price of one more caller", test_price_of_a_caller },
  { "many callers", test_many_callers },
  { "idle connections are dropped", test_idle_connections_are_dropped },
  { "large bodies", test_large_bodies },
  { "the process is out of memory", test_process_out_of_memory },
  CU_TEST_INFO_NULL,
};
