#include "common/buf.h"
#include "common/fetch.h"
#include "common/id.h"
#include "common/mailbox.h"
#include "local_pipeline.h"
#include "platform/traffic.h"
#include "suites.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  TIMEOUT_MS = 2000,
  NODES = 3, /* two entry hosts and a keeper */
  FIRST_PORT = 24021,
  PORTS_PER_NODE = 3,
  STREAMS = 16,
  VERSIONS = 2,
  READY_TIMEOUT_MS = 5000,
  RETRY_INTERVAL_US = 10 * 1000,
  MAX_CONNECTIONS = 2 * READY_TIMEOUT_MS * 1000 / RETRY_INTERVAL_US,
  REFUSED_WITHIN_MS = 50, /* callers start the stream again then */
};

#define HEAD                                                                  \
  "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\n"                  \
  "Content-Type: text/event-stream\r\n\r\n"
#define EVENT_1 "id: 1\ndata: a\n\n"
#define EVENT_2 "id: 2\ndata: b\n\n"

/* Endpoints that break off the first send of a stream after its first event
   and complete the second. */
struct breaking_endpoints
{
  struct local_pipeline *local;
  uint32_t sends;
  uint32_t began;   /* index of the endpoint that got the first send */
  uint32_t resumed; /* of the one that got the last */
  char answer[512];
  /* Called when the stream has broken off; may be NULL. */
  void (*handle_break) (struct breaking_endpoints *endpoints);
};

static uint32_t
endpoint_index (const struct local_pipeline *local,
                const struct raw_endpoint *endpoint)
{
  uint32_t i = 0;

  while (local->endpoints[i] != endpoint)
    i++;
  return i;
}

static struct raw_answer
answer_breaking (void *data, struct raw_endpoint *endpoint,
                 const char *request)
{
  struct breaking_endpoints *endpoints = data;
  uint32_t index = endpoint_index (endpoints->local, endpoint);
  bool is_first = endpoints->sends++ == 0;

  *(is_first ? &endpoints->began : &endpoints->resumed) = index;
  snprintf (endpoints->answer, sizeof endpoints->answer, HEAD "%s", "1",
            is_first ? EVENT_1 "id: " : EVENT_2);
  if (is_first && endpoints->handle_break)
    endpoints->handle_break (endpoints);
  return (struct raw_answer){ .bytes = endpoints->answer,
                              .len = strlen (endpoints->answer),
                              .end = RAW_CLOSE };
}

/* Endpoints I and I + VERSIONS have the same one.  */
static const char *const alternating[] = { "v1", "v2", "v1", "v2" };

static struct local_pipeline *
create_breaking (struct breaking_endpoints *endpoints, uint32_t count,
                 const char *const *versions)
{
  struct local_pipeline_options options = { .route.retry_mode = ROUTE_STREAM,
                                            .route.resumable = true,
                                            .route.timeout_ms = TIMEOUT_MS,
                                            .answer = answer_breaking,
                                            .data = endpoints,
                                            .endpoint_count = count,
                                            .versions = versions };

  endpoints->local = local_pipeline_create (&options);
  return endpoints->local;
}

static void
remove_first_endpoint (struct breaking_endpoints *endpoints)
{
  endpoints->local->listed[endpoints->began].is_gone = true;
  local_pipeline_list_endpoints (endpoints->local);
}

/* Guards against going on at another software version within one response
   when the endpoint that began the stream is gone.  */
static void
test_response_goes_on_at_its_version (void)
{
  for (int i = 0; i < STREAMS; i++)
    {
      struct breaking_endpoints endpoints
          = { .handle_break = remove_first_endpoint };
      struct local_pipeline *local
          = create_breaking (&endpoints, 4, alternating);
      const struct local_response *response;

      response = local_pipeline_run (local);
      CU_ASSERT_EQUAL (response->outcome, LOCAL_ENDED);
      CU_ASSERT_EQUAL (endpoints.sends, 2);
      CU_ASSERT_NOT_EQUAL (endpoints.resumed, endpoints.began);
      CU_ASSERT_EQUAL (endpoints.resumed % VERSIONS,
                       endpoints.began % VERSIONS);
      local_pipeline_destroy (local);
    }
}

/* Guards against going on at another software version within one response
   when no endpoint of the first one is left: the stream is aborted at once.
 */
static void
test_response_ends_with_its_version (void)
{
  struct breaking_endpoints endpoints
      = { .handle_break = remove_first_endpoint };
  struct local_pipeline *local = create_breaking (&endpoints, 2, alternating);
  int64_t started_ms = clock_now_ms ();

  CU_ASSERT_EQUAL (local_pipeline_run (local)->outcome, LOCAL_ABORTED);
  CU_ASSERT_EQUAL (endpoints.sends, 1);
  CU_ASSERT_TRUE (clock_now_ms () - started_ms < TIMEOUT_MS);
  local_pipeline_destroy (local);
}

static void
restart_at_other_version (struct breaking_endpoints *endpoints)
{
  endpoints->local->listed[0].version = "v9";
  local_pipeline_list_endpoints (endpoints->local);
}

/* Guards against going on at an endpoint that came back under its id and
   address with another software version.  */
static void
test_restarted_endpoint_is_another_version (void)
{
  struct breaking_endpoints endpoints
      = { .handle_break = restart_at_other_version };
  struct local_pipeline *local = create_breaking (&endpoints, 1, alternating);

  CU_ASSERT_EQUAL (local_pipeline_run (local)->outcome, LOCAL_ABORTED);
  CU_ASSERT_EQUAL (endpoints.sends, 1);
  local_pipeline_destroy (local);
}

/* Guards against resuming a stream of which no host knows where it began while
   two software versions serve.  The refusal says truly that it has not run.
 */
static void
test_unknown_stream_is_refused_with_two_versions (void)
{
  struct breaking_endpoints endpoints = { .sends = 1 };
  struct local_pipeline *local = create_breaking (&endpoints, 2, alternating);
  const struct local_response *response;

  response = local_pipeline_resume (local, 1);
  CU_ASSERT_EQUAL (response->outcome, LOCAL_REFUSED);
  CU_ASSERT_EQUAL (response->error.run, RUN_NOT_RUN);
  CU_ASSERT_EQUAL (endpoints.sends, 1);
  local_pipeline_destroy (local);
}

/* Guards against resuming a stream of which no host knows where it began,
   because only one software version is listed: the version that began it may
   have left before this host started.  */
static void
test_unknown_stream_is_refused_with_one_version (void)
{
  static const char *const versions[] = { "v1", "v1" };
  struct breaking_endpoints endpoints = { .sends = 1 };
  struct local_pipeline *local = create_breaking (&endpoints, 2, versions);
  const struct local_response *response;
  int64_t started_ms = clock_now_ms ();

  response = local_pipeline_resume (local, 1);
  CU_ASSERT_EQUAL (response->outcome, LOCAL_REFUSED);
  CU_ASSERT_EQUAL (response->error.run, RUN_NOT_RUN);
  CU_ASSERT_EQUAL (endpoints.sends, 1);
  CU_ASSERT_TRUE (clock_now_ms () - started_ms < REFUSED_WITHIN_MS);
  local_pipeline_destroy (local);
}

/* Two entry hosts and a keeper, each with its traffic thread, before endpoints
   of two software versions. */
struct fleet
{
  struct ev_loop *loop;
  struct fetcher *fetcher;
  struct mailbox *control;
  char directory[32]; /* of the keeper */
  struct platform_settings settings[NODES];
  struct node_traffic *nodes[NODES];
  struct raw_endpoint *endpoints[VERSIONS];
  bool is_gone[VERSIONS]; /* the version's endpoint is not listed */
  int last_version; /* index of the endpoint of the last send; negative: none
                     */
  char answer[512];
  /* The caller's current attempt. */
  struct fetch *fetch;
  long status;
  struct buf body;
  bool leaves_after_event; /* breaks off the response after its first event */
};

static void
drop_report (void *data, void *message)
{
  node_report_destroy (message);
}

/* Sends the first event to an attempt that begins a stream and the second one
   to one that resumes it.  */
static struct raw_answer
answer_fleet (void *data, struct raw_endpoint *endpoint, const char *request)
{
  struct fleet *fleet = data;
  bool is_resumed = strstr (request, "Last-Event-Id: 1\r\n") != NULL;
  char id[32] = "";

  sscanf (strstr (request, "Attempt-Id: "), "Attempt-Id: %31s", id);
  fleet->last_version = endpoint == fleet->endpoints[1];
  snprintf (fleet->answer, sizeof fleet->answer, HEAD "%s", id,
            is_resumed ? EVENT_2 : EVENT_1);
  return (struct raw_answer){ .bytes = fleet->answer,
                              .len = strlen (fleet->answer),
                              .end = is_resumed ? RAW_CLOSE : RAW_KEEP };
}

static char *
node_address (uint32_t node, uint32_t port)
{
  return xasprintf ("127.0.0.1:%u", FIRST_PORT + node * PORTS_PER_NODE + port);
}

static bool
is_keeper (uint32_t node)
{
  return node == NODES - 1;
}

static void
start_node (struct fleet *fleet, uint32_t node)
{
  struct platform_settings *settings = &fleet->settings[node];
  struct error error;

  *settings = (struct platform_settings){
    .host = xasprintf ("host-%u", node),
    .data_centre = xstrdup ("a"),
    .role = xstrdup (is_keeper (node) ? "keeper" : "entry"),
    .peer_listen = node_address (node, 0),
    .caller_listen = node_address (node, 1),
    .health_listen = node_address (node, 2),
    .store_address = xstrdup ("127.0.0.1:1"),
    .data_dir = is_keeper (node) ? xstrdup (fleet->directory) : NULL,
    .first_start = true,
    .stop_grace_s = 1,
    .limit_window_s = 1,
    .absent_ms = 60 * 1000,
    .retention_ms = 60 * 1000,
    .max_connections = MAX_CONNECTIONS,
    .buffer_limit_mb = 8,
  };
  fleet->nodes[node] = node_traffic_create (settings, fleet->control, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fleet->nodes[node]);
  CU_ASSERT_TRUE_FATAL (node_traffic_start (fleet->nodes[node], &error));
}

static struct endpoint_list *
create_endpoint_list (const struct fleet *fleet)
{
  struct endpoint_list *list = xcalloc (1, sizeof *list);

  list->entries = xcalloc (VERSIONS, sizeof *list->entries);
  for (uint32_t i = 0; i < VERSIONS; i++)
    if (!fleet->is_gone[i])
      list->entries[list->count++] = (struct endpoint_entry){
        .id = xasprintf ("e%u", i),
        .service = xstrdup ("app"),
        .address = xasprintf ("127.0.0.1:%u", fleet->endpoints[i]->port),
        .data_centre = xstrdup ("a"),
        .version = xasprintf ("v%u", i + 1),
        .slots = 8
      };
  return list;
}

static struct host_list *
create_host_list (void)
{
  struct host_list *list = xcalloc (1, sizeof *list);

  list->entries = xcalloc (NODES, sizeof *list->entries);
  list->count = NODES;
  for (uint32_t i = 0; i < NODES; i++)
    list->entries[i] = (struct host_entry){ .name = xasprintf ("host-%u", i),
                                            .address = node_address (i, 0),
                                            .data_centre = xstrdup ("a"),
                                            .is_keeper = is_keeper (i) };
  return list;
}

static void
post (struct node_traffic *node, struct node_message content)
{
  struct node_message *message = xcalloc (1, sizeof *message);

  *message = content;
  node_traffic_post (node, message);
}

/* Tells NODE the hosts, the configuration and the listed endpoints.  */
static void
configure_node (struct fleet *fleet, uint32_t node)
{
  struct local_route route = { .retry_mode = ROUTE_STREAM,
                               .resumable = true,
                               .timeout_ms = TIMEOUT_MS };

  post (fleet->nodes[node],
        (struct node_message){ .kind = NODE_HOSTS,
                               .hosts = create_host_list () });
  if (is_keeper (node))
    return;
  post (fleet->nodes[node],
        (struct node_message){ .kind = NODE_ROUTING,
                               .routing = local_routing_create (&route) });
  post (fleet->nodes[node],
        (struct node_message){ .kind = NODE_ENDPOINTS,
                               .endpoints = create_endpoint_list (fleet) });
}

static void
stop_node (struct fleet *fleet, uint32_t node)
{
  post (fleet->nodes[node], (struct node_message){ .kind = NODE_QUIT });
  node_traffic_join (fleet->nodes[node]);
  node_traffic_destroy (fleet->nodes[node]);
  platform_settings_release (&fleet->settings[node]);
}

static void
fleet_start (struct fleet *fleet)
{
  *fleet = (struct fleet){ .directory = "/tmp/galena-versions-XXXXXX" };
  CU_ASSERT_PTR_NOT_NULL_FATAL (mkdtemp (fleet->directory));
  fleet->loop = ev_loop_new (EVFLAG_AUTO);
  fleet->fetcher = fetcher_create (fleet->loop);
  fleet->control = mailbox_create (fleet->loop, drop_report, NULL);
  for (uint32_t i = 0; i < VERSIONS; i++)
    fleet->endpoints[i]
        = raw_endpoint_create (fleet->loop, answer_fleet, fleet);
  for (uint32_t i = 0; i < NODES; i++)
    start_node (fleet, i);
  for (uint32_t i = 0; i < NODES; i++)
    configure_node (fleet, i);
}

static void
remove_directory (const char *path)
{
  GDir *directory = g_dir_open (path, 0, NULL);
  const char *name;

  while (directory && (name = g_dir_read_name (directory)))
    {
      char *file = xasprintf ("%s/%s", path, name);

      remove (file);
      free (file);
    }
  if (directory)
    g_dir_close (directory);
  remove (path);
}

static void
fleet_stop (struct fleet *fleet)
{
  for (uint32_t i = 0; i < NODES; i++)
    stop_node (fleet, i);
  for (uint32_t i = 0; i < VERSIONS; i++)
    raw_endpoint_destroy (fleet->endpoints[i]);
  fetcher_destroy (fleet->fetcher);
  mailbox_drain (fleet->control, drop_report, NULL);
  mailbox_destroy (fleet->control);
  ev_loop_destroy (fleet->loop);
  buf_release (&fleet->body);
  remove_directory (fleet->directory);
}

static bool
handle_caller_data (void *data, const char *bytes, size_t len)
{
  struct fleet *fleet = data;

  buf_append (&fleet->body, bytes, len);
  return !fleet->leaves_after_event;
}

static void
handle_caller_done (void *data, const struct fetch_result *result)
{
  struct fleet *fleet = data;

  fleet->fetch = NULL;
  fleet->status = result->status;
}

/* An attempt of a caller at a stream. */
struct attempt
{
  const char *id;
  const char *stream;  /* its path, which tells requests apart */
  bool is_resumed;     /* after the first event */
  const char *resumed; /* attempt that began the stream; NULL if not named */
};

/* Runs an attempt at an entry host.  One that does not resume its stream
   breaks off after the first event.  */
static void
run_attempt (struct fleet *fleet, uint32_t node, const struct attempt *attempt)
{
  char *url = xasprintf ("http://%s/%s", fleet->settings[node].caller_listen,
                         attempt->stream);
  char *id_line = xasprintf ("Attempt-Id: %s", attempt->id);
  char *resumes_line
      = attempt->resumed ? xasprintf ("Resumes: %s", attempt->resumed) : NULL;
  const char *headers[]
      = { "Host: h", id_line, attempt->is_resumed ? "Last-Event-Id: 1" : NULL,
          resumes_line, NULL };
  struct fetch_options options = { .method = "GET",
                                   .url = url,
                                   .headers = headers,
                                   .single_attempt = true,
                                   .handle_data = handle_caller_data,
                                   .handle_done = handle_caller_done,
                                   .data = fleet };

  buf_release (&fleet->body);
  fleet->last_version = -1;
  fleet->leaves_after_event = !attempt->is_resumed;
  fleet->fetch = fetch_start (fleet->fetcher, &options);
  while (fleet->fetch)
    ev_run (fleet->loop, EVRUN_ONCE);
  free (url);
  free (id_line);
  free (resumes_line);
}

/* Waits until both entry hosts have applied their configuration and reach the
   keeper: a stream that begins at one of them is resumed at the other one.  */
static void
wait_until_ready (struct fleet *fleet)
{
  int64_t started_ms = clock_now_ms ();

  for (uint32_t node = 0; !is_keeper (node); node++)
    do
      {
        char *id
            = xasprintf ("ready-%016" G_GINT64_MODIFIER "x", id_random64 ());
        struct attempt begin = { .id = id, .stream = id };
        struct attempt resume = {
          .id = "again", .stream = id, .is_resumed = true, .resumed = id
        };

        run_attempt (fleet, node, &begin);
        if (fleet->status == 200)
          run_attempt (fleet, 1 - node, &resume);
        /* Each refused attempt leaves a connection open, of which a host
           accepts MAX_CONNECTIONS. */
        if (fleet->status != 200)
          g_usleep (RETRY_INTERVAL_US);
        free (id);
        CU_ASSERT_TRUE_FATAL (clock_now_ms () - started_ms < READY_TIMEOUT_MS);
      }
    while (fleet->status != 200);
}

/* Guards against going on at another software version when the caller resumes
   its stream at another host than the one at which it began, and a second time
   back at the first host, with and without the name of the attempt that began
   it.  */
static void
test_caller_resumes_at_another_host (void)
{
  struct fleet fleet;

  fleet_start (&fleet);
  wait_until_ready (&fleet);
  for (int i = 0; i < STREAMS; i++)
    {
      char *stream = xasprintf ("%d", i);
      char *first = xasprintf ("%d-first", i);
      const char *resumed = i % 2 ? first : NULL;
      struct attempt begin = { .id = first, .stream = stream };
      struct attempt second = { .id = "second",
                                .stream = stream,
                                .is_resumed = true,
                                .resumed = resumed };
      struct attempt third = {
        .id = "third", .stream = stream, .is_resumed = true, .resumed = resumed
      };
      int version;

      run_attempt (&fleet, 0, &begin);
      version = fleet.last_version;
      CU_ASSERT_TRUE (version >= 0);
      run_attempt (&fleet, 1, &second);
      CU_ASSERT_EQUAL (fleet.status, 200);
      CU_ASSERT_EQUAL (fleet.last_version, version);
      run_attempt (&fleet, 0, &third);
      CU_ASSERT_EQUAL (fleet.status, 200);
      CU_ASSERT_EQUAL (fleet.last_version, version);
      free (first);
      free (stream);
    }
  fleet_stop (&fleet);
}

/* Begins stream I and returns its version.  */
static int
begin_stream (struct fleet *fleet, int i)
{
  char *stream = xasprintf ("%d", i);
  char *id = xasprintf ("%d-first", i);
  struct attempt begin = { .id = id, .stream = stream };

  run_attempt (fleet, 0, &begin);
  CU_ASSERT_TRUE (fleet->last_version >= 0);
  free (id);
  free (stream);
  return fleet->last_version;
}

/* Resumes stream I at a host, and returns for how long that took.  */
static int64_t
resume_stream (struct fleet *fleet, uint32_t node, int i)
{
  char *stream = xasprintf ("%d", i);
  struct attempt resume
      = { .id = "again", .stream = stream, .is_resumed = true };
  int64_t started_ms = clock_now_ms ();

  run_attempt (fleet, node, &resume);
  free (stream);
  return clock_now_ms () - started_ms;
}

/* Kills the entry hosts, and the keeper, too, if IS_KEEPER_KILLED.  The first
   version's endpoint leaves meanwhile.  */
static void
restart_without_first_version (struct fleet *fleet, bool is_keeper_killed)
{
  uint32_t count = is_keeper_killed ? NODES : NODES - 1;

  for (uint32_t i = 0; i < count; i++)
    stop_node (fleet, i);
  fleet->is_gone[0] = true;
  for (uint32_t i = 0; i < count; i++)
    start_node (fleet, i);
  for (uint32_t i = 0; i < count; i++)
    configure_node (fleet, i);
}

/* Guards against joining two software versions when all entry hosts were
   killed and the version that began a stream has left before they are back:
   what the keepers hold tells which streams may go on.  */
static void
test_entry_hosts_restart (void)
{
  struct fleet fleet;
  int versions[STREAMS];
  int proved = 0;
  int resumed = 0;

  fleet_start (&fleet);
  wait_until_ready (&fleet);
  for (int i = 0; i < STREAMS; i++)
    versions[i] = begin_stream (&fleet, i);
  restart_without_first_version (&fleet, false);
  wait_until_ready (&fleet);
  for (int i = 0; i < STREAMS; i++)
    {
      int64_t elapsed_ms = resume_stream (&fleet, (uint32_t)i % 2, i);

      if (versions[i] == 0)
        {
          CU_ASSERT_EQUAL (fleet.status, 503);
          CU_ASSERT_EQUAL (fleet.last_version, -1);
          CU_ASSERT_TRUE (elapsed_ms < REFUSED_WITHIN_MS);
          continue;
        }
      proved++;
      resumed += fleet.status == 200;
      CU_ASSERT_TRUE (fleet.last_version != 0);
    }
  CU_ASSERT_TRUE (resumed * 10 >= proved * 9);
  fleet_stop (&fleet);
}

/* Guards against joining two software versions when no host is left that knows
   which one began a stream.  */
static void
test_all_hosts_restart (void)
{
  struct fleet fleet;

  fleet_start (&fleet);
  wait_until_ready (&fleet);
  for (int i = 0; i < STREAMS; i++)
    begin_stream (&fleet, i);
  restart_without_first_version (&fleet, true);
  wait_until_ready (&fleet);
  for (int i = 0; i < STREAMS; i++)
    {
      CU_ASSERT_TRUE (resume_stream (&fleet, (uint32_t)i % 2, i)
                      < REFUSED_WITHIN_MS);
      CU_ASSERT_EQUAL (fleet.status, 503);
      CU_ASSERT_EQUAL (fleet.last_version, -1);
    }
  fleet_stop (&fleet);
}

/* Guards against going on at another software version at a host that is out of
   step: endpoints of a new version have joined while it was cut off or stood
   still, streams began there through another host, and their callers resume
   them at this one.  */
static void
test_host_does_not_know_new_version (void)
{
  struct fleet fleet;

  fleet_start (&fleet);
  wait_until_ready (&fleet);
  fleet.is_gone[1] = true;
  configure_node (&fleet, 1);
  fleet.is_gone[1] = false;
  for (int i = 0; i < STREAMS; i++)
    {
      int version = begin_stream (&fleet, i);
      int64_t elapsed_ms = resume_stream (&fleet, 1, i);

      if (version == 0)
        continue;
      CU_ASSERT_NOT_EQUAL (fleet.status, 200);
      CU_ASSERT_EQUAL (fleet.last_version, -1);
      CU_ASSERT_TRUE (elapsed_ms < REFUSED_WITHIN_MS);
    }
  fleet_stop (&fleet);
}

/* Guards against resuming the wrong one of two streams with the same content,
   which began at different versions, if the caller does not name it.  */
static void
test_equal_streams_at_two_versions (void)
{
  struct attempt begin[VERSIONS]
      = { { .id = "a", .stream = "equal" }, { .id = "b", .stream = "equal" } };
  struct attempt unnamed
      = { .id = "c", .stream = "equal", .is_resumed = true };
  struct attempt named
      = { .id = "d", .stream = "equal", .is_resumed = true, .resumed = "b" };
  struct fleet fleet;

  fleet_start (&fleet);
  wait_until_ready (&fleet);
  for (uint32_t i = 0; i < VERSIONS; i++)
    {
      fleet.is_gone[i] = false;
      fleet.is_gone[1 - i] = true;
      for (uint32_t node = 0; !is_keeper (node); node++)
        configure_node (&fleet, node);
      do
        run_attempt (&fleet, i, &begin[i]);
      while (fleet.last_version != (int)i);
    }
  fleet.is_gone[0] = false;
  for (uint32_t node = 0; !is_keeper (node); node++)
    configure_node (&fleet, node);
  for (uint32_t node = 0; !is_keeper (node); node++)
    {
      run_attempt (&fleet, node, &unnamed);
      CU_ASSERT_EQUAL (fleet.status, 503);
      CU_ASSERT_EQUAL (fleet.last_version, -1);
    }
  run_attempt (&fleet, 1, &named);
  CU_ASSERT_EQUAL (fleet.status, 200);
  CU_ASSERT_EQUAL (fleet.last_version, 1);
  fleet_stop (&fleet);
}

CU_TestInfo stream_versions_tests[] = {
  { "a response goes on at its version",
    test_response_goes_on_at_its_version },
  { "a response ends with its version", test_response_ends_with_its_version },
  { "a restarted endpoint is another version",
    test_restarted_endpoint_is_another_version },
  { "an unknown stream is refused with two versions",
    test_unknown_stream_is_refused_with_two_versions },
  { "an unknown stream is refused with one version",
    test_unknown_stream_is_refused_with_one_version },
  { "a caller resumes at another host", test_caller_resumes_at_another_host },
  { "entry hosts restart", test_entry_hosts_restart },
  { "all hosts restart", test_all_hosts_restart },
  { "a host does not know a new version",
    test_host_does_not_know_new_version },
  { "equal streams at two versions", test_equal_streams_at_two_versions },
  CU_TEST_INFO_NULL,
};
