#include "common/id.h"
#include "gate.h"
#include "local_pipeline.h"
#include "suites.h"
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  HOSTS = 4,
  ENDPOINTS = 3,
  TIMEOUT_MS = 2000,
  WARM_UP_MS = 300, /* until all hosts have connections to all endpoints */
  /* The users' bound is 3,000 ms after a cut begins. */
  LEARN_MS = 2500,
  RUN_MS = 1000,
  SEND_INTERVAL_MS = 10,
  MAX_FAILURE_SHARE = 50, /* the users' bound: one request in 50 */
  REFUSAL_MS = 250,       /* until a request that no host can serve ends */
  CANCEL_MS = 300,        /* until the endpoint is left in peace */
  LIMIT_PER_S = 20,       /* of LIMITED */
  WINDOW_MS = 4000,
  /* The users' bound: one and a half times the limit, and 5 requests. */
  WINDOW_BOUND = LIMIT_PER_S * 3 / 2 * WINDOW_MS / 1000 + 5,
};

#define HEAD "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nServer-Stamp: s\r\n"
#define PLAIN HEAD "Content-Length: 2\r\n\r\nok"
#define LIMITED HEAD "Server-Limit: 20.0\r\nContent-Length: 2\r\n\r\nok"
#define EVENTS "id: 0\ndata: a\n\nid: 1\ndata: b\n\n"
#define STREAM                                                                \
  HEAD "Content-Type: text/event-stream\r\n"                                  \
       "Transfer-Encoding: chunked\r\n\r\n"                                   \
       "f\r\nid: 0\ndata: a\n\n\r\nf\r\nid: 1\ndata: b\n\n\r\n0\r\n\r\n"

/* What the callers of a host got. */
struct cut_tally
{
  uint32_t requests;
  uint32_t successes;
  uint32_t refusals;
  int64_t slowest_ms;
  int64_t started_ms; /* of the active request */
};

/* Hosts of one fleet, whose callers send without a pause.  The first hosts are
   cut off from all endpoints. */
struct cut_fleet
{
  enum route_retry_mode retry_mode;
  enum gate_mode mode; /* of the cut */
  uint32_t cut_count;  /* hosts that are cut off */
  struct local_pipeline *hosts[HOSTS];
  struct gate *gates[HOSTS][ENDPOINTS];
  struct cut_tally tallies[HOSTS];
  bool is_silent;    /* the endpoints do not answer */
  bool is_limited;   /* the endpoints name a limit */
  uint32_t arrivals; /* at all endpoints */
  uint32_t sent;     /* requests of all callers */
  ev_timer sender;
};

static struct raw_answer
answer (void *data, struct raw_endpoint *endpoint, const char *request)
{
  struct cut_fleet *fleet = data;
  const char *bytes = fleet->retry_mode == ROUTE_STREAM ? STREAM : PLAIN;

  if (fleet->is_limited)
    bytes = LIMITED;
  fleet->arrivals++;
  if (fleet->is_silent)
    return (struct raw_answer){ .end = RAW_KEEP };
  return (struct raw_answer){ .bytes = bytes, .len = strlen (bytes) };
}

static void
count_response (struct cut_tally *tally, const struct local_response *response)
{
  int64_t took_ms = clock_now_ms () - tally->started_ms;

  tally->requests++;
  tally->successes += local_response_is_success (response);
  if (response->outcome == LOCAL_ENDED)
    {
      CU_ASSERT_EQUAL (response->body.len, strlen (EVENTS));
      CU_ASSERT_EQUAL (
          memcmp (response->body.data, EVENTS, response->body.len), 0);
    }
  tally->refusals += response->outcome == LOCAL_REFUSED
                     && response->error.run == RUN_NOT_RUN;
  tally->slowest_ms = MAX (tally->slowest_ms, took_ms);
}

/* Starts the next request of each host that has no active one.  */
static void
handle_sender (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct cut_fleet *fleet = timer->data;

  for (int i = 0; i < HOSTS; i++)
    {
      struct local_pipeline *host = fleet->hosts[i];

      if (host->is_started && host->response.outcome == LOCAL_PENDING)
        continue;
      if (host->is_started)
        count_response (&fleet->tallies[i], &host->response);
      fleet->tallies[i].started_ms = clock_now_ms ();
      fleet->sent++;
      local_pipeline_start (host, -1);
    }
}

static void
run_for (struct cut_fleet *fleet, int64_t duration_ms)
{
  int64_t until_ms = clock_now_ms () + duration_ms;

  while (clock_now_ms () < until_ms)
    ev_run (fleet->hosts[0]->loop, EVRUN_ONCE);
}

static void
create_fleet (struct cut_fleet *fleet)
{
  static const char *const names[HOSTS] = { "h0", "h1", "h2", "h3" };
  struct local_pipeline_options options
      = { .route.retry_mode = fleet->retry_mode,
          .route.resumable = true,
          .route.timeout_ms = TIMEOUT_MS,
          .answer = answer,
          .data = fleet,
          .endpoint_count = ENDPOINTS };

  for (int i = 0; i < HOSTS; i++)
    {
      options.host = names[i];
      options.shared = fleet->hosts[0];
      fleet->hosts[i] = local_pipeline_create (&options);
      for (int k = 0; k < ENDPOINTS; k++)
        {
          fleet->gates[i][k] = gate_create (
              fleet->hosts[0]->loop, fleet->hosts[0]->endpoints[k]->port);
          fleet->hosts[i]->listed[k].port = gate_port (fleet->gates[i][k]);
        }
      local_pipeline_list_endpoints (fleet->hosts[i]);
    }
  ev_timer_init (&fleet->sender, handle_sender, 0, SEND_INTERVAL_MS / 1000.0);
  fleet->sender.data = fleet;
  ev_timer_start (fleet->hosts[0]->loop, &fleet->sender);
}

static void
release_fleet (struct cut_fleet *fleet)
{
  ev_timer_stop (fleet->hosts[0]->loop, &fleet->sender);
  for (int i = 0; i < HOSTS; i++)
    while (fleet->hosts[i]->response.outcome == LOCAL_PENDING)
      ev_run (fleet->hosts[0]->loop, EVRUN_ONCE);
  for (int i = 0; i < HOSTS; i++)
    for (int k = 0; k < ENDPOINTS; k++)
      gate_destroy (fleet->gates[i][k]);
  for (int i = HOSTS - 1; i >= 0; i--)
    local_pipeline_destroy (fleet->hosts[i]);
}

static void
set_mode (struct cut_fleet *fleet, enum gate_mode mode)
{
  for (uint32_t i = 0; i < fleet->cut_count; i++)
    for (int k = 0; k < ENDPOINTS; k++)
      gate_set_mode (fleet->gates[i][k], mode);
}

/* Runs until all callers have learnt what they can, and forgets their
   responses so far.  */
static void
learn (struct cut_fleet *fleet)
{
  run_for (fleet, LEARN_MS);
  for (int i = 0; i < HOSTS; i++)
    fleet->tallies[i]
        = (struct cut_tally){ .started_ms = fleet->tallies[i].started_ms };
}

static bool
is_served (const struct cut_tally *tally)
{
  uint32_t failures = tally->requests - tally->successes;

  return tally->requests > MAX_FAILURE_SHARE / 2
         && failures * MAX_FAILURE_SHARE <= tally->requests;
}

/* Checks that the callers of cut-off hosts fare as those of the others.  */
static void
check_cut (struct cut_fleet *fleet)
{
  create_fleet (fleet);
  run_for (fleet, WARM_UP_MS);
  set_mode (fleet, fleet->mode);
  learn (fleet);
  run_for (fleet, RUN_MS);
  for (int i = 0; i < HOSTS; i++)
    CU_ASSERT (is_served (&fleet->tallies[i]));
  if (fleet->retry_mode == ROUTE_ONCE)
    CU_ASSERT (fleet->arrivals <= fleet->sent);
  set_mode (fleet, GATE_OPEN);
  learn (fleet);
  run_for (fleet, RUN_MS);
  for (int i = 0; i < HOSTS; i++)
    CU_ASSERT (is_served (&fleet->tallies[i]));
  release_fleet (fleet);
}

/* Guards against a host that sends to endpoints to which it has no connection
   until its callers' deadlines pass, while other hosts serve.  */
static void
test_hanging_connections (void)
{
  struct cut_fleet streams
      = { .retry_mode = ROUTE_STREAM, .mode = GATE_HANG, .cut_count = 2 };
  struct cut_fleet calls
      = { .retry_mode = ROUTE_ONCE, .mode = GATE_HANG, .cut_count = 3 };

  check_cut (&streams);
  check_cut (&calls);
}

/* Guards against the same where connections are reset and refused.  */
static void
test_reset_connections (void)
{
  struct cut_fleet calls
      = { .retry_mode = ROUTE_ONCE, .mode = GATE_RESET, .cut_count = 3 };
  struct cut_fleet streams
      = { .retry_mode = ROUTE_STREAM, .mode = GATE_RESET, .cut_count = 1 };

  check_cut (&calls);
  check_cut (&streams);
}

/* Guards against requests that wait for new connections while open ones live
   on.  */
static void
test_refused_connections (void)
{
  struct cut_fleet calls
      = { .retry_mode = ROUTE_ONCE, .mode = GATE_KEEP, .cut_count = 2 };

  check_cut (&calls);
}

/* Guards against requests that endpoints run while their responses are lost.
 */
static void
test_one_way (void)
{
  struct cut_fleet calls = { .retry_mode = ROUTE_IDEMPOTENT,
                             .mode = GATE_ONE_WAY,
                             .cut_count = 2 };

  check_cut (&calls);
}

/* Guards against requests that no host can serve and that are held, or passed
   from host to host, instead of refused.  */
static void
test_what_no_host_reaches_is_refused (void)
{
  struct cut_fleet fleet
      = { .retry_mode = ROUTE_ONCE, .mode = GATE_HANG, .cut_count = HOSTS };

  create_fleet (&fleet);
  run_for (&fleet, WARM_UP_MS);
  set_mode (&fleet, fleet.mode);
  learn (&fleet);
  run_for (&fleet, RUN_MS);
  for (int i = 0; i < HOSTS; i++)
    {
      CU_ASSERT (fleet.tallies[i].requests > 0);
      CU_ASSERT_EQUAL (fleet.tallies[i].refusals, fleet.tallies[i].requests);
      CU_ASSERT (fleet.tallies[i].slowest_ms <= REFUSAL_MS);
    }
  set_mode (&fleet, GATE_OPEN);
  learn (&fleet);
  run_for (&fleet, RUN_MS);
  for (int i = 0; i < HOSTS; i++)
    CU_ASSERT (is_served (&fleet.tallies[i]));
  release_fleet (&fleet);
}

/* Guards against a host that takes its own cut for crashes of the endpoints,
   caused by the requests that were running there: all hosts would refuse the
   same requests.  */
static void
test_cut_is_not_a_crash (void)
{
  struct cut_fleet fleet
      = { .retry_mode = ROUTE_IDEMPOTENT, .mode = GATE_RESET, .cut_count = 2 };

  create_fleet (&fleet);
  run_for (&fleet, WARM_UP_MS);
  fleet.is_silent = true;
  run_for (&fleet, WARM_UP_MS);
  set_mode (&fleet, fleet.mode);
  fleet.is_silent = false;
  learn (&fleet);
  for (int i = 0; i < HOSTS; i++)
    CU_ASSERT_EQUAL (fleet.hosts[i]->crashes, 0);
  release_fleet (&fleet);
}

/* Guards against a request that crashes all endpoints of a service and is
   taken for a cut: it would be sent to them again and again.  */
static void
test_crash_of_all_endpoints_counts (void)
{
  struct cut_fleet fleet = { .retry_mode = ROUTE_IDEMPOTENT,
                             .mode = GATE_RESET,
                             .cut_count = HOSTS };
  uint32_t crashes = 0;

  create_fleet (&fleet);
  run_for (&fleet, WARM_UP_MS);
  fleet.is_silent = true;
  run_for (&fleet, WARM_UP_MS);
  set_mode (&fleet, fleet.mode);
  learn (&fleet);
  for (int i = 0; i < HOSTS; i++)
    crashes += fleet.hosts[i]->crashes;
  CU_ASSERT (crashes > 0);
  release_fleet (&fleet);
}

/* Has hosts cut off and waits until others send for them.  */
static void
begin_cut (struct cut_fleet *fleet)
{
  create_fleet (fleet);
  run_for (fleet, WARM_UP_MS);
  set_mode (fleet, fleet->mode);
  learn (fleet);
}

/* Checks that cut-off hosts serve their callers some time after a change.  */
static void
check_after_change (struct cut_fleet *fleet)
{
  learn (fleet);
  run_for (fleet, RUN_MS);
  for (uint32_t i = 0; i < fleet->cut_count; i++)
    CU_ASSERT (is_served (&fleet->tallies[i]));
  if (fleet->retry_mode == ROUTE_ONCE)
    CU_ASSERT (fleet->arrivals <= fleet->sent);
  release_fleet (fleet);
}

/* Guards against requests that end with the host that sends them for another
   one, and against streams that miss events then.  */
static void
test_helping_host_is_lost (void)
{
  struct cut_fleet streams
      = { .retry_mode = ROUTE_STREAM, .mode = GATE_HANG, .cut_count = 2 };
  struct cut_fleet calls
      = { .retry_mode = ROUTE_ONCE, .mode = GATE_RESET, .cut_count = 2 };

  begin_cut (&streams);
  streams.hosts[2]->transport.is_cut = true;
  check_after_change (&streams);
  begin_cut (&calls);
  calls.hosts[2]->transport.is_cut = true;
  check_after_change (&calls);
}

/* Guards against requests that fail at a host that stops or does not know how
   to send them.  */
static void
test_hosts_that_do_not_help (void)
{
  struct cut_fleet fleet
      = { .retry_mode = ROUTE_ONCE, .mode = GATE_HANG, .cut_count = 1 };
  uint32_t failures;

  create_fleet (&fleet);
  fleet.hosts[1]->is_old = true;
  run_for (&fleet, WARM_UP_MS);
  set_mode (&fleet, fleet.mode);
  learn (&fleet);
  relay_server_close (fleet.hosts[2]->relay_server);
  run_for (&fleet, RUN_MS);
  failures = fleet.tallies[0].requests - fleet.tallies[0].successes;
  CU_ASSERT_EQUAL (failures, 0);
  CU_ASSERT_EQUAL (relay_server_active (fleet.hosts[1]->relay_server), 0);
  check_after_change (&fleet);
}

/* Guards against endpoints that work on for a caller that has left a host
   which is cut off.  */
static void
test_cancelled_request_ends_at_the_endpoint (void)
{
  struct cut_fleet fleet
      = { .retry_mode = ROUTE_IDEMPOTENT, .mode = GATE_HANG, .cut_count = 1 };
  uint32_t active = 0;

  begin_cut (&fleet);
  fleet.is_silent = true;
  run_for (&fleet, WARM_UP_MS);
  ev_timer_stop (fleet.hosts[0]->loop, &fleet.sender);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fleet.hosts[0]->active);
  for (int i = 1; i < HOSTS; i++)
    active += relay_server_active (fleet.hosts[i]->relay_server);
  CU_ASSERT_EQUAL (active, 1);
  request_cancel (fleet.hosts[0]->active);
  fleet.hosts[0]->response.outcome = LOCAL_REFUSED;
  run_for (&fleet, CANCEL_MS);
  for (int i = 1; i < HOSTS; i++)
    CU_ASSERT_EQUAL (relay_server_active (fleet.hosts[i]->relay_server), 0);
  release_fleet (&fleet);
}

/* Guards against requests beyond the limits of endpoints that come by way of
   other hosts.  */
static void
test_limits_hold (void)
{
  struct cut_fleet fleet = { .retry_mode = ROUTE_ONCE,
                             .mode = GATE_HANG,
                             .cut_count = 2,
                             .is_limited = true };
  uint32_t arrivals;

  begin_cut (&fleet);
  arrivals = fleet.arrivals;
  run_for (&fleet, WINDOW_MS);
  arrivals = fleet.arrivals - arrivals;
  CU_ASSERT (arrivals <= ENDPOINTS * WINDOW_BOUND);
  CU_ASSERT (arrivals >= ENDPOINTS * LIMIT_PER_S);
  for (int i = 0; i < HOSTS; i++)
    CU_ASSERT (fleet.tallies[i].successes > 0);
  release_fleet (&fleet);
}

/* Guards against a gate that cannot open again, as another program has got its
   port for a connection of its own while it refused connections.  */
static void
test_gate_keeps_its_port (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct gate *gate = gate_create (loop, 1);
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (gate_port (gate)),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int other = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int caller = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  gate_set_mode (gate, GATE_RESET);
  CU_ASSERT_NOT_EQUAL (
      bind (other, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_NOT_EQUAL (
      connect (caller, (struct sockaddr *)&address, sizeof address), 0);
  gate_set_mode (gate, GATE_OPEN);
  CU_ASSERT_EQUAL (
      connect (caller, (struct sockaddr *)&address, sizeof address), 0);
  close (other);
  close (caller);
  gate_destroy (gate);
  ev_loop_destroy (loop);
}

CU_TestInfo cut_off_hosts_tests[] = {
  { "a gate keeps its port", test_gate_keeps_its_port },
  { "connections that hang", test_hanging_connections },
  { "connections that are reset", test_reset_connections },
  { "new connections that are refused", test_refused_connections },
  { "one way only", test_one_way },
  { "what no host reaches is refused", test_what_no_host_reaches_is_refused },
  { "a cut is not a crash of the endpoints", test_cut_is_not_a_crash },
  { "a crash of all endpoints counts", test_crash_of_all_endpoints_counts },
  { "a helping host is lost", test_helping_host_is_lost },
  { "hosts that do not help", test_hosts_that_do_not_help },
  { "a cancelled request ends at the endpoint",
    test_cancelled_request_ends_at_the_endpoint },
  { "limits hold", test_limits_hold },
  CU_TEST_INFO_NULL,
};

/* Checks that, while some hosts are cut off, their callers are served at least
   two thirds as often as those of the others.  */
static void
check_loss_after_handshake (enum gate_mode mode)
{
  struct cut_fleet fleet
      = { .retry_mode = ROUTE_ONCE, .mode = mode, .cut_count = 2 };

  create_fleet (&fleet);
  run_for (&fleet, WARM_UP_MS);
  set_mode (&fleet, mode);
  learn (&fleet);
  run_for (&fleet, RUN_MS);
  for (uint32_t i = 0; i < HOSTS; i++)
    {
      const struct cut_tally *tally = &fleet.tallies[i];

      CU_ASSERT (tally->requests > 0);
      CU_ASSERT (tally->successes * 3 >= tally->requests * 2);
    }
  CU_ASSERT (fleet.arrivals <= fleet.sent);
  release_fleet (&fleet);
}

/* Guards against a path that counts as whole because connections open, though
   each is reset afterwards.  */
static void
test_reset_after_handshake (void)
{
  check_loss_after_handshake (GATE_ACCEPT_RESET);
}

/* Guards against the same where requests are read and never answered.  */
static void
test_silence_after_handshake (void)
{
  check_loss_after_handshake (GATE_ACCEPT_SILENT);
}

/* Guards against the same for new connections while open ones live on.  */
static void
test_new_connections_silent (void)
{
  check_loss_after_handshake (GATE_KEEP_SILENT);
}

/* Guards against slow refusals where all hosts' connections are accepted and
   then reset, and against hosts that do not recover.  */
static void
test_reset_of_all_after_handshake (void)
{
  struct cut_fleet fleet = { .retry_mode = ROUTE_ONCE,
                             .mode = GATE_ACCEPT_RESET,
                             .cut_count = HOSTS };

  create_fleet (&fleet);
  run_for (&fleet, WARM_UP_MS);
  set_mode (&fleet, fleet.mode);
  learn (&fleet);
  run_for (&fleet, RUN_MS);
  for (int i = 0; i < HOSTS; i++)
    {
      CU_ASSERT (fleet.tallies[i].requests > 0);
      CU_ASSERT (fleet.tallies[i].slowest_ms <= REFUSAL_MS);
    }
  set_mode (&fleet, GATE_OPEN);
  learn (&fleet);
  run_for (&fleet, RUN_MS);
  for (int i = 0; i < HOSTS; i++)
    CU_ASSERT_EQUAL (fleet.tallies[i].successes, fleet.tallies[i].requests);
  release_fleet (&fleet);
}

/* Apart from the suite above, so that known failures do not hide its tests. */
CU_TestInfo lossy_paths_tests[] = {
  { "reset after the handshake", test_reset_after_handshake },
  { "silence after the handshake", test_silence_after_handshake },
  { "new connections are silent", test_new_connections_silent },
  { "all hosts are reset after the handshake",
    test_reset_of_all_after_handshake },
  CU_TEST_INFO_NULL,
};
