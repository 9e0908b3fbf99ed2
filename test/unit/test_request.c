#include "common/id.h"
#include "local_pipeline.h"
#include "request/request.h"
#include "suites.h"
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  DEADLINE_MS = 400, /* of each request, which bounds the wait for its end */
  FILLERS = 4,       /* connections that fill a listener's backlog */
  BACKLOG = 64,
};

/* How the test endpoint handles a request. */
enum endpoint_behavior
{
  ENDPOINT_IGNORES,       /* accepts the connection and never responds */
  ENDPOINT_CLOSES,        /* closes the connection */
  ENDPOINT_ANSWERS_OTHER, /* sends the response to another request */
};

/* A pipeline with one endpoint, implemented by a plain socket. */
struct fixture
{
  struct ev_loop *loop;
  struct fetcher *fetcher;
  struct pool *pool;
  struct limits *limits;
  struct pipeline *pipeline;
  struct request_sink sink;
  enum endpoint_behavior behavior;
  int listener;
  struct sockaddr_in address;
  int accepted[BACKLOG];
  int accepted_count;
  int fillers[FILLERS]; /* sockets; -1 if not open */
  ev_io acceptor;
  ev_timer alarm;
  int active;  /* requests that have not ended */
  int crashes; /* reported by the pipeline */
};

static struct fixture *
fixture_from_sink (struct request_sink *sink)
{
  return (struct fixture *)((char *)sink - offsetof (struct fixture, sink));
}

static void
handle_end (struct request_sink *sink)
{
  struct fixture *fixture = fixture_from_sink (sink);

  if (--fixture->active == 0)
    ev_break (fixture->loop, EVBREAK_ALL);
}

static void
sink_begin (struct request_sink *sink, const struct response_head *head)
{
}

static bool
sink_write (struct request_sink *sink, const char *bytes, size_t len)
{
  return true;
}

static void
sink_refuse (struct request_sink *sink, const struct error *error)
{
  handle_end (sink);
}

static void
sink_respond (struct request_sink *sink, const struct response_head *head,
              const struct buf *body)
{
  handle_end (sink);
}

static void
wire_write (const struct request_send *send, GPtrArray *lines)
{
}

static void
wire_read (struct response_head *head, const char *name, const char *value)
{
  head->is_from_endpoint = true;
  if (strcmp (name, "Id") == 0 && !head->request_id)
    head->request_id = xstrdup (value);
}

static const struct request_wire wire
    = { .write_headers = wire_write, .read_header = wire_read };

static void
handle_crash (void *data, uint64_t fingerprint, uint32_t crashes,
              const char *endpoint)
{
  struct fixture *fixture = data;

  fixture->crashes++;
}

static void
handle_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  static const char other_response[]
      = "HTTP/1.1 200 OK\r\nId: another\r\nContent-Length: 0\r\n\r\n";
  struct fixture *fixture = watcher->data;
  char request[1024];
  int fd = accept (fixture->listener, NULL, NULL);

  if (fd < 0)
    return;
  fixture->accepted[fixture->accepted_count++] = fd;
  if (fixture->behavior == ENDPOINT_IGNORES)
    return;
  /* Blocks until the request has arrived, so that it counts as sent.  */
  CU_ASSERT_TRUE (recv (fd, request, sizeof request, 0) > 0);
  if (fixture->behavior == ENDPOINT_ANSWERS_OTHER)
    CU_ASSERT_TRUE (send (fd, other_response, sizeof other_response - 1, 0)
                    > 0);
  shutdown (fd, SHUT_RDWR);
}

static void
fixture_listen (struct fixture *fixture, int backlog)
{
  socklen_t len = sizeof fixture->address;
  int enable = 1;

  fixture->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fixture->listener, SOL_SOCKET, SO_REUSEADDR, &enable,
              sizeof enable);
  CU_ASSERT_EQUAL_FATAL (
      bind (fixture->listener, (struct sockaddr *)&fixture->address, len), 0);
  CU_ASSERT_EQUAL_FATAL (listen (fixture->listener, backlog), 0);
  getsockname (fixture->listener, (struct sockaddr *)&fixture->address, &len);
}

static void
fixture_close_listener (struct fixture *fixture)
{
  ev_io_stop (fixture->loop, &fixture->acceptor);
  if (fixture->listener >= 0)
    close (fixture->listener);
  fixture->listener = -1;
}

/* Makes connection attempts time out, as in a network partition: the listener
   accepts none and its backlog is full.  */
static void
fixture_drop_connections (struct fixture *fixture)
{
  fixture_close_listener (fixture);
  fixture_listen (fixture, 0);
  for (int i = 0; i < FILLERS; i++)
    {
      fixture->fillers[i]
          = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      connect (fixture->fillers[i], (struct sockaddr *)&fixture->address,
               sizeof fixture->address);
    }
}

static void
apply_route (struct fixture *fixture, uint32_t max_attempts)
{
  struct local_route route = { .retry_mode = ROUTE_IDEMPOTENT,
                               .timeout_ms = DEADLINE_MS,
                               .max_attempts = max_attempts };

  pipeline_apply (fixture->pipeline, local_routing_create (&route));
}

static void
apply_endpoint (struct fixture *fixture, const char *data_centre)
{
  char address[64];
  struct endpoint_list *list = xcalloc (1, sizeof *list);

  snprintf (address, sizeof address, "127.0.0.1:%d",
            ntohs (fixture->address.sin_port));
  list->entries = xcalloc (1, sizeof *list->entries);
  list->count = 1;
  list->entries[0]
      = (struct endpoint_entry){ .id = xstrdup ("e"),
                                 .service = xstrdup ("app"),
                                 .address = xstrdup (address),
                                 .data_centre = xstrdup (data_centre),
                                 .slots = 8 };
  pool_apply (fixture->pool, list, clock_now_ms ());
  endpoint_list_destroy (list);
}

static void
handle_alarm (struct ev_loop *loop, ev_timer *timer, int events)
{
  ev_break (loop, EVBREAK_ALL);
}

static struct fixture *
fixture_create (enum endpoint_behavior behavior, uint32_t max_attempts)
{
  struct fixture *fixture = xcalloc (1, sizeof *fixture);
  struct limits_options limits = { .host = "x", .data_centre = "a" };
  struct pipeline_options options
      = { .wire = &wire, .handle_crash = handle_crash, .data = fixture };

  fixture->behavior = behavior;
  fixture->address.sin_family = AF_INET;
  fixture->address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  for (int i = 0; i < FILLERS; i++)
    fixture->fillers[i] = -1;
  fixture_listen (fixture, BACKLOG);
  limits.loop = options.loop = fixture->loop = ev_loop_new (EVFLAG_AUTO);
  options.fetcher = fixture->fetcher = fetcher_create (fixture->loop);
  options.pool = fixture->pool = pool_create ("a");
  options.limits = fixture->limits = limits_create (&limits);
  fixture->pipeline = pipeline_create (&options);
  fixture->sink = (struct request_sink){ .begin = sink_begin,
                                         .write = sink_write,
                                         .end = handle_end,
                                         .abort = handle_end,
                                         .refuse = sink_refuse,
                                         .respond = sink_respond };
  ev_io_init (&fixture->acceptor, handle_accept, fixture->listener, EV_READ);
  fixture->acceptor.data = fixture;
  ev_io_start (fixture->loop, &fixture->acceptor);
  ev_timer_init (&fixture->alarm, handle_alarm, 0, 0);
  apply_route (fixture, max_attempts);
  apply_endpoint (fixture, "a");
  return fixture;
}

static void
fixture_destroy (struct fixture *fixture)
{
  pipeline_destroy (fixture->pipeline);
  limits_destroy (fixture->limits);
  pool_destroy (fixture->pool);
  fetcher_destroy (fixture->fetcher);
  fixture_close_listener (fixture);
  for (int i = 0; i < fixture->accepted_count; i++)
    close (fixture->accepted[i]);
  for (int i = 0; i < FILLERS; i++)
    if (fixture->fillers[i] >= 0)
      close (fixture->fillers[i]);
  ev_timer_stop (fixture->loop, &fixture->alarm);
  ev_loop_destroy (fixture->loop);
  free (fixture);
}

static void
fixture_send (struct fixture *fixture, const char *path)
{
  struct request_input *input = xcalloc (1, sizeof *input);

  input->id = xstrdup (path);
  input->method = xstrdup ("GET");
  input->target = xstrdup (path);
  input->path = xstrdup (path);
  input->host = xstrdup ("h");
  input->deadline_ms = input->token_budget = input->prompt_tokens = -1;
  input->max_output_tokens = input->resume_after = -1;
  fixture->active++;
  request_start (fixture->pipeline, input, &fixture->sink);
}

/* Starts a request and waits until it has ended.  */
static void
fixture_run (struct fixture *fixture, const char *path)
{
  fixture_send (fixture, path);
  ev_run (fixture->loop, 0);
  CU_ASSERT_EQUAL (fixture->active, 0);
}

static void
pass_crash_settle_time (struct fixture *fixture)
{
  pipeline_tick (fixture->pipeline, clock_now_ms () + POOL_CRASH_CONFIRM_MS);
}

/* A cut of this host looks the same at first, so that a crash must be counted
   only after a delay.  */
static void
test_lost_then_refused_connection_is_crash (void)
{
  struct fixture *fixture = fixture_create (ENDPOINT_CLOSES, 1);

  fixture_run (fixture, "/x");
  fixture_close_listener (fixture);
  fixture_run (fixture, "/y");
  CU_ASSERT_EQUAL (fixture->crashes, 0);
  pass_crash_settle_time (fixture);
  CU_ASSERT_EQUAL (fixture->crashes, 1);
  fixture_destroy (fixture);
}

/* A network partition is detected only after a delay, so a crash in another
   data centre must be counted only after it.  */
static void
test_remote_crash_is_counted_after_delay (void)
{
  struct fixture *fixture = fixture_create (ENDPOINT_CLOSES, 1);

  apply_endpoint (fixture, "b");
  fixture_run (fixture, "/x");
  fixture_close_listener (fixture);
  fixture_run (fixture, "/y");
  CU_ASSERT_EQUAL (fixture->crashes, 0);
  pass_crash_settle_time (fixture);
  CU_ASSERT_EQUAL (fixture->crashes, 1);
  fixture_destroy (fixture);
}

/* A network partition also breaks and refuses connections, and must not count
   as a crash.  */
static void
test_partition_is_not_crash (void)
{
  struct fixture *fixture = fixture_create (ENDPOINT_CLOSES, 1);

  apply_endpoint (fixture, "b");
  fixture_run (fixture, "/x");
  fixture_close_listener (fixture);
  fixture_run (fixture, "/y");
  pool_set_reachable (fixture->pool, "b", false);
  pass_crash_settle_time (fixture);
  pool_set_reachable (fixture->pool, "b", true);
  pass_crash_settle_time (fixture);
  CU_ASSERT_EQUAL (fixture->crashes, 0);
  fixture_destroy (fixture);
}

/* A response that belongs to another request must not make this request count
   as the cause of a crash.  */
static void
test_response_to_other_request_is_not_crash (void)
{
  struct fixture *fixture = fixture_create (ENDPOINT_ANSWERS_OTHER, 1);

  fixture_run (fixture, "/x");
  CU_ASSERT_TRUE (fixture->accepted_count > 0);
  fixture_close_listener (fixture);
  fixture_run (fixture, "/y");
  CU_ASSERT_EQUAL (fixture->crashes, 0);
  fixture_destroy (fixture);
}

/* A request that this host cancelled at an endpoint because its data centre
   became unreachable must not count as the cause of a crash.  */
static void
test_unreachable_data_centre_is_not_crash (void)
{
  struct fixture *fixture = fixture_create (ENDPOINT_IGNORES, 2);

  fixture_send (fixture, "/x");
  while (fixture->accepted_count == 0)
    ev_run (fixture->loop, EVRUN_ONCE);
  pipeline_fail_over (fixture->pipeline, "a");
  if (fixture->active > 0)
    ev_run (fixture->loop, 0);
  fixture_close_listener (fixture);
  fixture_run (fixture, "/y");
  CU_ASSERT_EQUAL (fixture->crashes, 0);
  fixture_destroy (fixture);
}

/* Connections to a disconnected endpoint time out instead of being refused,
   which must not count as a crash.  */
static void
test_connect_timeout_is_not_crash (void)
{
  struct fixture *fixture = fixture_create (ENDPOINT_CLOSES, 1);

  fixture_run (fixture, "/x");
  fixture_drop_connections (fixture);
  fixture_run (fixture, "/y");
  CU_ASSERT_EQUAL (fixture->crashes, 0);
  fixture_destroy (fixture);
}

CU_TestInfo request_tests[]
    = { { "a lost connection followed by a refused one is a crash",
          test_lost_then_refused_connection_is_crash },
        { "a crash in another data centre is counted after a delay",
          test_remote_crash_is_counted_after_delay },
        { "a network partition is not a crash", test_partition_is_not_crash },
        { "a response to another request is not a crash",
          test_response_to_other_request_is_not_crash },
        { "an unreachable data centre is not a crash",
          test_unreachable_data_centre_is_not_crash },
        { "a connect timeout is not a crash",
          test_connect_timeout_is_not_crash },
        CU_TEST_INFO_NULL };
