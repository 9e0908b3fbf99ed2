#include "common/buf.h"
#include "common/id.h"
#include "local_mesh.h"
#include "request/limits.h"
#include "suites.h"
#include <stdlib.h>
#include <string.h>

enum
{
  HOSTS = 4, /* of one data centre */
  FIRST_PORT = 23951,
  WINDOW_MS = 2000,
  RATE_PER_S = 300,
  LIMIT_TOKENS = RATE_PER_S * WINDOW_MS / 1000,
  FILL_MS = 4000, /* until all links are up and shares may be granted whole */
  LOAN_LIFETIME_MS = 150, /* by which a holder's window is longer */
  MOST_PERCENT = 95, /* of what the windows allow: the rest may be untold */
  LINK_MS = 500,     /* until a started host has its links and their news */
  EARLIER_MS = 1500, /* start of the witnesses before that of a holder */
  /* What the users' rule leaves beyond a limit. */
  OVERRUN_PERCENT = 10,
  SLACK_TOKENS = 20,
};

struct fleet;

struct node
{
  struct fleet *fleet;
  struct mesh *mesh;
  struct limits *limits;
};

struct fleet
{
  struct ev_loop *loop;
  struct keyring keyring;
  struct routing *routing;
  struct node nodes[HOSTS];
  int holder; /* of the customer's share */
};

static const struct mesh_host addresses[HOSTS]
    = { { "h0", "127.0.0.1:23951" },
        { "h1", "127.0.0.1:23952" },
        { "h2", "127.0.0.1:23953" },
        { "h3", "127.0.0.1:23954" } };
static const struct host_location locations[HOSTS]
    = { { .name = "h0", .data_centre = "a" },
        { .name = "h1", .data_centre = "a" },
        { .name = "h2", .data_centre = "a" },
        { .name = "h3", .data_centre = "a" } };

static void
handle_frame (void *data, const char *host, const Peer__Frame *frame)
{
  struct node *node = data;

  if (node->limits)
    limits_handle_frame (node->limits, host, frame);
}

static void
ignore_admission (void *data, bool is_admitted)
{
}

static void
run_for (struct fleet *fleet, int64_t duration_ms)
{
  int64_t until_ms = clock_now_ms () + duration_ms;

  while (clock_now_ms () < until_ms)
    {
      ev_run (fleet->loop, EVRUN_NOWAIT);
      ev_sleep (0.001);
    }
}

static void
start_node (struct fleet *fleet, int number)
{
  struct node *node = &fleet->nodes[number];
  struct local_mesh_options mesh = { .loop = fleet->loop,
                                     .keyring = &fleet->keyring,
                                     .name = locations[number].name,
                                     .port = (uint16_t)(FIRST_PORT + number),
                                     .handle_frame = handle_frame,
                                     .data = node };
  struct limits_options limits
      = { .loop = fleet->loop,
          .host = locations[number].name,
          .data_centre = locations[number].data_centre,
          .window_ms = WINDOW_MS };

  node->fleet = fleet;
  node->mesh = limits.mesh = local_mesh_open (&mesh);
  mesh_set_hosts (node->mesh, addresses, HOSTS);
  node->limits = limits_create (&limits);
  limits_set_hosts (node->limits, locations, HOSTS);
  limits_apply (node->limits, fleet->routing);
}

static void
stop_node (struct fleet *fleet, int number)
{
  struct node *node = &fleet->nodes[number];

  limits_destroy (node->limits);
  node->limits = NULL;
  mesh_destroy (node->mesh);
  node->mesh = NULL;
}

/* Takes tokens at a host until it has none, or MAX.  */
static int
take_tokens (const struct fleet *fleet, int number, int max)
{
  const struct node *node = &fleet->nodes[number];
  int taken = 0;

  while (taken < max)
    {
      struct limits_waiter *wait;

      if (limits_admit (node->limits, &fleet->routing->customers[0], false,
                        WINDOW_MS, ignore_admission, NULL, &wait)
          != LIMITS_ADMITTED)
        {
          limits_cancel (wait);
          break;
        }
      taken++;
    }
  return taken;
}

/* Returns the host that holds the customer's share.  */
static int
find_holder (const struct fleet *fleet)
{
  const struct customer *customer = &fleet->routing->customers[0];

  for (int i = 0; i < HOSTS; i++)
    if (limits_preview (fleet->nodes[i].limits, customer, false).is_holder)
      return i;
  CU_FAIL_FATAL ("no host holds the share");
  return -1;
}

static void
fleet_init (struct fleet *fleet)
{
  *fleet = (struct fleet){ .loop = ev_loop_new (EVFLAG_AUTO) };
  fleet->keyring.count = 1;
  fleet->keyring.keys[0].id = 1;
  fleet->routing = routing_create ();
  fleet->routing->customers = xcalloc (1, sizeof *fleet->routing->customers);
  fleet->routing->customers[0]
      = (struct customer){ .name = xstrdup ("c"),
                           .rate_milli = RATE_PER_S * 1000 };
  fleet->routing->customer_count = 1;
  for (int i = 0; i < HOSTS; i++)
    start_node (fleet, i);
  run_for (fleet, FILL_MS);
  fleet->holder = find_holder (fleet);
}

static void
fleet_release (struct fleet *fleet)
{
  for (int i = 0; i < HOSTS; i++)
    stop_node (fleet, i);
  routing_unref (fleet->routing);
  ev_loop_destroy (fleet->loop);
}

/* Guards against a holder that starts anew and grants what the one before has
   granted in the same window.  */
static void
test_killed_holder (void)
{
  struct fleet fleet;
  int64_t begin_ms;
  int taken;

  fleet_init (&fleet);
  begin_ms = clock_now_ms ();
  taken = take_tokens (&fleet, fleet.holder, LIMIT_TOKENS);
  CU_ASSERT (taken > LIMIT_TOKENS / 2);
  run_for (&fleet, 20);
  stop_node (&fleet, fleet.holder);
  start_node (&fleet, fleet.holder);
  while (clock_now_ms () - begin_ms < WINDOW_MS - 50)
    {
      run_for (&fleet, 5);
      taken += take_tokens (&fleet, fleet.holder, LIMIT_TOKENS);
    }
  CU_ASSERT (taken
             <= LIMIT_TOKENS * (100 + OVERRUN_PERCENT) / 100 + SLACK_TOKENS);
  fleet_release (&fleet);
}

/* Guards against a window without tokens for customers that have used few,
   each time a holder starts anew.  */
static void
test_unused_share_is_granted (void)
{
  struct fleet fleet;

  fleet_init (&fleet);
  take_tokens (&fleet, fleet.holder, LIMIT_TOKENS / 10);
  run_for (&fleet, 20);
  stop_node (&fleet, fleet.holder);
  start_node (&fleet, fleet.holder);
  run_for (&fleet, LINK_MS);
  CU_ASSERT (take_tokens (&fleet, fleet.holder, LIMIT_TOKENS)
             > LIMIT_TOKENS * 3 / 4);
  fleet_release (&fleet);
}

/* Guards against grants that a holder charges twice: it has made them itself,
   and a witness that has begun a little earlier tells it of them.  */
static void
test_own_grants_are_charged_once (void)
{
  struct fleet fleet;
  int64_t begin_ms;
  int taken = 0;

  fleet_init (&fleet);
  stop_node (&fleet, fleet.holder);
  for (int i = 0; i < HOSTS; i++)
    if (i != fleet.holder)
      {
        stop_node (&fleet, i);
        start_node (&fleet, i);
      }
  run_for (&fleet, EARLIER_MS);
  start_node (&fleet, fleet.holder);
  begin_ms = clock_now_ms ();
  while (clock_now_ms () - begin_ms < 2 * WINDOW_MS)
    {
      run_for (&fleet, 5);
      taken += take_tokens (&fleet, fleet.holder, LIMIT_TOKENS);
    }
  CU_ASSERT (taken >= LIMIT_TOKENS * 2 * WINDOW_MS
                          / (WINDOW_MS + LOAN_LIFETIME_MS) * MOST_PERCENT
                          / 100);
  fleet_release (&fleet);
}

/* Guards against a limit that is granted again where the share passes to
   another host as the list of hosts changes.  */
static void
test_moved_share (void)
{
  struct host_location others[HOSTS];
  struct fleet fleet;
  size_t count = 0;
  int64_t begin_ms;
  int taken;
  int next;

  fleet_init (&fleet);
  next = fleet.holder;
  for (int i = 0; i < HOSTS; i++)
    if (i != next)
      others[count++] = locations[i];
  for (int i = 0; i < HOSTS; i++)
    limits_set_hosts (fleet.nodes[i].limits, others, count);
  run_for (&fleet, FILL_MS);
  fleet.holder = find_holder (&fleet);
  CU_ASSERT_NOT_EQUAL (fleet.holder, next);
  begin_ms = clock_now_ms ();
  taken = take_tokens (&fleet, fleet.holder, LIMIT_TOKENS);
  CU_ASSERT (taken > LIMIT_TOKENS / 2);
  run_for (&fleet, 20);
  for (int i = 0; i < HOSTS; i++)
    limits_set_hosts (fleet.nodes[i].limits, locations, HOSTS);
  while (clock_now_ms () - begin_ms < WINDOW_MS - 50)
    {
      run_for (&fleet, 5);
      taken += take_tokens (&fleet, next, LIMIT_TOKENS);
    }
  CU_ASSERT (taken
             <= LIMIT_TOKENS * (100 + OVERRUN_PERCENT) / 100 + SLACK_TOKENS);
  fleet_release (&fleet);
}

CU_TestInfo limit_history_tests[] = {
  { "a killed holder", test_killed_holder },
  { "an unused share is granted", test_unused_share_is_granted },
  { "own grants are charged once", test_own_grants_are_charged_once },
  { "a share that moves", test_moved_share },
  CU_TEST_INFO_NULL,
};
