#include "common/id.h"
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
  DEADLINE_MS = 400, /* of each request; nothing here waits for more */
  FILLERS = 4,       /* connections that fill a listener's queue */
  QUEUE = 64,
};

/* What the endpoint of a test does with a request. */
enum endpoint_manner
{
  ENDPOINT_SILENT,     /* takes it and never answers */
  ENDPOINT_BREAKS_OFF, /* closes the connection */
  ENDPOINT_CROSSES,    /* answers another request */
};

/* A pipeline with one endpoint, which is a bare socket. */
struct scene
{
  struct ev_loop *loop;
  struct fetcher *fetcher;
  struct pool *pool;
  struct limits *limits;
  struct pipeline *pipeline;
  struct request_sink sink;
  enum endpoint_manner manner;
  int listener;
  struct sockaddr_in address;
  int accepted[QUEUE];
  int accepted_count;
  int fillers[FILLERS];
  ev_io acceptor;
  ev_timer alarm;
  int open;    /* requests without an end */
  int crashes; /* that were noted */
};

static struct scene *
scene_of (struct request_sink *sink)
{
  return (struct scene *)((char *)sink - offsetof (struct scene, sink));
}

static void
note_end (struct request_sink *sink)
{
  struct scene *scene = scene_of (sink);

  if (--scene->open == 0)
    ev_break (scene->loop, EVBREAK_ALL);
}

static void
sink_begin (struct request_sink *sink, const struct answer_head *head)
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
  note_end (sink);
}

static void
sink_answer (struct request_sink *sink, const struct answer_head *head,
             const struct buf *body)
{
  note_end (sink);
}

static void
wire_write (const struct request_send *send, GPtrArray *lines)
{
}

static void
wire_read (struct answer_head *head, const char *name, const char *value)
{
  head->is_proven = true;
  if (strcmp (name, "Id") == 0 && !head->request_id)
    head->request_id = xstrdup (value);
}

static const struct request_wire wire
    = { .write = wire_write, .read = wire_read };

static void
handle_crash (void *data, uint64_t fingerprint, uint32_t crashes,
              const char *endpoint)
{
  struct scene *scene = data;

  scene->crashes++;
}

static void
handle_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  static const char crossed[]
      = "HTTP/1.1 200 OK\r\nId: another\r\nContent-Length: 0\r\n\r\n";
  struct scene *scene = watcher->data;
  char request[1024];
  int fd = accept (scene->listener, NULL, NULL);

  if (fd < 0)
    return;
  scene->accepted[scene->accepted_count++] = fd;
  if (scene->manner == ENDPOINT_SILENT)
    return;
  /* Blocks until the request is there, so that it counts as sent.  */
  CU_ASSERT_TRUE (recv (fd, request, sizeof request, 0) > 0);
  if (scene->manner == ENDPOINT_CROSSES)
    CU_ASSERT_TRUE (send (fd, crossed, sizeof crossed - 1, 0) > 0);
  shutdown (fd, SHUT_RDWR);
}

static void
scene_listen (struct scene *scene, int queue)
{
  socklen_t len = sizeof scene->address;
  int yes = 1;

  scene->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (scene->listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  CU_ASSERT_EQUAL_FATAL (
      bind (scene->listener, (struct sockaddr *)&scene->address, len), 0);
  CU_ASSERT_EQUAL_FATAL (listen (scene->listener, queue), 0);
  getsockname (scene->listener, (struct sockaddr *)&scene->address, &len);
}

static void
scene_close_listener (struct scene *scene)
{
  ev_io_stop (scene->loop, &scene->acceptor);
  if (scene->listener >= 0)
    close (scene->listener);
  scene->listener = -1;
}

/* Makes the endpoint's address swallow connections, as a network does that is
   cut: its listener accepts none, and its queue is full.  */
static void
scene_go_silent (struct scene *scene)
{
  scene_close_listener (scene);
  scene_listen (scene, 0);
  for (int i = 0; i < FILLERS; i++)
    {
      scene->fillers[i]
          = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      connect (scene->fillers[i], (struct sockaddr *)&scene->address,
               sizeof scene->address);
    }
}

static void
apply_route (struct scene *scene, uint32_t max_attempts)
{
  struct routing *routing = routing_create ();

  routing->services = xcalloc (1, sizeof *routing->services);
  routing->services[0].name = xstrdup ("app");
  routing->service_count = 1;
  routing->routes = xcalloc (1, sizeof *routing->routes);
  routing->route_count = 1;
  routing->routes[0]
      = (struct route){ .name = xstrdup ("r"),
                        .host = xstrdup ("h"),
                        .path_prefix = xstrdup ("/"),
                        .repeat = ROUTE_IDEMPOTENT,
                        .is_open = true,
                        .timeout_ms = DEADLINE_MS,
                        .max_attempts = max_attempts,
                        .targets = xcalloc (1, sizeof (struct route_target)),
                        .target_count = 1 };
  routing->routes[0].targets[0].weight = 1;
  routing_index (routing);
  pipeline_apply (scene->pipeline, routing);
}

static void
apply_endpoint (struct scene *scene, const char *data_centre)
{
  char address[64];
  struct endpoint_list *list = xcalloc (1, sizeof *list);

  snprintf (address, sizeof address, "127.0.0.1:%d",
            ntohs (scene->address.sin_port));
  list->entries = xcalloc (1, sizeof *list->entries);
  list->count = 1;
  list->entries[0]
      = (struct endpoint_entry){ .id = xstrdup ("e"),
                                 .service = xstrdup ("app"),
                                 .address = xstrdup (address),
                                 .data_centre = xstrdup (data_centre),
                                 .slots = 8 };
  pool_apply (scene->pool, list);
  endpoint_list_destroy (list);
}

static void
handle_alarm (struct ev_loop *loop, ev_timer *timer, int events)
{
  ev_break (loop, EVBREAK_ALL);
}

static struct scene *
scene_create (enum endpoint_manner manner, uint32_t max_attempts)
{
  struct scene *scene = xcalloc (1, sizeof *scene);
  struct limits_options limits = { .host = "x", .data_centre = "a" };
  struct pipeline_options options
      = { .wire = &wire, .handle_crash = handle_crash, .data = scene };

  scene->manner = manner;
  scene->address.sin_family = AF_INET;
  scene->address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  for (int i = 0; i < FILLERS; i++)
    scene->fillers[i] = -1;
  scene_listen (scene, QUEUE);
  limits.loop = options.loop = scene->loop = ev_loop_new (EVFLAG_AUTO);
  options.fetcher = scene->fetcher = fetcher_create (scene->loop);
  options.pool = scene->pool = pool_create ("a");
  options.limits = scene->limits = limits_create (&limits);
  scene->pipeline = pipeline_create (&options);
  scene->sink = (struct request_sink){ .begin = sink_begin,
                                       .write = sink_write,
                                       .end = note_end,
                                       .abort = note_end,
                                       .refuse = sink_refuse,
                                       .answer = sink_answer };
  ev_io_init (&scene->acceptor, handle_accept, scene->listener, EV_READ);
  scene->acceptor.data = scene;
  ev_io_start (scene->loop, &scene->acceptor);
  ev_timer_init (&scene->alarm, handle_alarm, 0, 0);
  apply_route (scene, max_attempts);
  apply_endpoint (scene, "a");
  return scene;
}

static void
scene_destroy (struct scene *scene)
{
  pipeline_destroy (scene->pipeline);
  limits_destroy (scene->limits);
  pool_destroy (scene->pool);
  fetcher_destroy (scene->fetcher);
  scene_close_listener (scene);
  for (int i = 0; i < scene->accepted_count; i++)
    close (scene->accepted[i]);
  for (int i = 0; i < FILLERS; i++)
    if (scene->fillers[i] >= 0)
      close (scene->fillers[i]);
  ev_timer_stop (scene->loop, &scene->alarm);
  ev_loop_destroy (scene->loop);
  free (scene);
}

static void
scene_send (struct scene *scene, const char *path)
{
  struct request_input *input = xcalloc (1, sizeof *input);

  input->id = xstrdup (path);
  input->method = xstrdup ("GET");
  input->target = xstrdup (path);
  input->path = xstrdup (path);
  input->host = xstrdup ("h");
  input->deadline_ms = input->token_budget = input->prompt_tokens = -1;
  input->max_output_tokens = input->resume_after = -1;
  scene->open++;
  request_start (scene->pipeline, input, &scene->sink);
}

/* Sends a request and waits for its end.  */
static void
scene_run (struct scene *scene, const char *path)
{
  scene_send (scene, path);
  ev_run (scene->loop, 0);
  CU_ASSERT_EQUAL (scene->open, 0);
}

static void
test_broken_connection_then_refusal_is_a_crash (void)
{
  struct scene *scene = scene_create (ENDPOINT_BREAKS_OFF, 1);

  scene_run (scene, "/x");
  scene_close_listener (scene);
  scene_run (scene, "/y");
  CU_ASSERT_EQUAL (scene->crashes, 1);
  scene_destroy (scene);
}

static void
settle (struct scene *scene)
{
  pipeline_tick (scene->pipeline, clock_now_ms () + POOL_CRASH_SETTLE_MS);
}

/* Whether a data centre is cut off is known only after a while.  */
static void
test_crash_elsewhere_counts_later (void)
{
  struct scene *scene = scene_create (ENDPOINT_BREAKS_OFF, 1);

  apply_endpoint (scene, "b");
  scene_run (scene, "/x");
  scene_close_listener (scene);
  scene_run (scene, "/y");
  CU_ASSERT_EQUAL (scene->crashes, 0);
  settle (scene);
  CU_ASSERT_EQUAL (scene->crashes, 1);
  scene_destroy (scene);
}

/* In a cut, connections break and are refused as in a crash.  */
static void
test_cut_is_no_crash (void)
{
  struct scene *scene = scene_create (ENDPOINT_BREAKS_OFF, 1);

  apply_endpoint (scene, "b");
  scene_run (scene, "/x");
  scene_close_listener (scene);
  scene_run (scene, "/y");
  pool_set_reach (scene->pool, "b", false);
  settle (scene);
  pool_set_reach (scene->pool, "b", true);
  settle (scene);
  CU_ASSERT_EQUAL (scene->crashes, 0);
  scene_destroy (scene);
}

/* That answers get crossed says nothing of the request.  */
static void
test_crossed_answer_is_no_crash (void)
{
  struct scene *scene = scene_create (ENDPOINT_CROSSES, 1);

  scene_run (scene, "/x");
  CU_ASSERT_TRUE (scene->accepted_count > 0);
  scene_close_listener (scene);
  scene_run (scene, "/y");
  CU_ASSERT_EQUAL (scene->crashes, 0);
  scene_destroy (scene);
}

/* A request that this host took away from an endpoint did not break it.  */
static void
test_unreachable_data_centre_is_no_crash (void)
{
  struct scene *scene = scene_create (ENDPOINT_SILENT, 2);

  scene_send (scene, "/x");
  while (scene->accepted_count == 0)
    ev_run (scene->loop, EVRUN_ONCE);
  pipeline_leave (scene->pipeline, "a");
  if (scene->open > 0)
    ev_run (scene->loop, 0);
  scene_close_listener (scene);
  scene_run (scene, "/y");
  CU_ASSERT_EQUAL (scene->crashes, 0);
  scene_destroy (scene);
}

/* An endpoint that is cut off does not refuse connections: they time out.  */
static void
test_connect_timeout_is_no_crash (void)
{
  struct scene *scene = scene_create (ENDPOINT_BREAKS_OFF, 1);

  scene_run (scene, "/x");
  scene_go_silent (scene);
  scene_run (scene, "/y");
  CU_ASSERT_EQUAL (scene->crashes, 0);
  scene_destroy (scene);
}

CU_TestInfo request_tests[]
    = { { "a broken connection, then a refusal, is a crash",
          test_broken_connection_then_refusal_is_a_crash },
        { "a crash elsewhere counts later",
          test_crash_elsewhere_counts_later },
        { "a cut is no crash", test_cut_is_no_crash },
        { "a crossed answer is no crash", test_crossed_answer_is_no_crash },
        { "an unreachable data centre is no crash",
          test_unreachable_data_centre_is_no_crash },
        { "a connect timeout is no crash", test_connect_timeout_is_no_crash },
        CU_TEST_INFO_NULL };
