#include "common/counters.h"
#include "common/id.h"
#include "fake_keepers.h"
#include "local_pipeline.h"
#include "suites.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  KEEPERS = 3,
  LOSSES = 1,
  TIMEOUT_MS = 2000,
  WINDOW_MS = 400,
  LIMIT = 2, /* requests of the first customer in a window */
  TICK_MS = 1,
  BEFORE_CHANGE_MS = 20,
  AT_ONCE_MS = 20, /* after a change that makes a refusal certain */
  AFTER_MS = 700,  /* in which a request that still waits would be sent */
};

#define EVENTS "id: 1\ndata: out\n\n"

/* What a request waits for while the configuration changes. */
enum wait
{
  WAIT_TOKEN,
  WAIT_CHAIN,
  WAIT_RETRY, /* the change comes while the first send runs, and breaks off */
  WAITS,
};

struct version
{
  int key_owner; /* number of the customer that has the caller's key; 0: none
                  */
  bool lacks_route;
  bool is_open;
  enum route_retry_mode retry_mode;
  bool lacks_retention; /* of a streaming route */
  uint32_t weight;      /* of the only target */
};

enum outcome
{
  GOES_ON,
  UNAUTHORIZED,
  NOT_FOUND,
  SENT_AGAIN, /* by the caller, who is told so */
};

/* Versions that come one after the other while a request waits. */
struct change
{
  const char *name;
  bool is_open; /* the route asks for no key before */
  struct version versions[2];
  int count;
  enum outcome outcome;
};

/* Of the only kind before: streams whose turns are kept, of customer 1. */
#define SOUND                                                                 \
  {                                                                           \
    .key_owner = 1, .retry_mode = ROUTE_STREAM, .weight = 1                   \
  }

static const struct change changes[] = {
  { "another weight",
    .versions
    = { { .key_owner = 1, .retry_mode = ROUTE_STREAM, .weight = 2 } },
    .count = 1, .outcome = GOES_ON },
  { "the key moves",
    .versions
    = { { .key_owner = 2, .retry_mode = ROUTE_STREAM, .weight = 1 } },
    .count = 1, .outcome = SENT_AGAIN },
  { "the key moves and is back",
    .versions
    = { { .key_owner = 2, .retry_mode = ROUTE_STREAM, .weight = 1 }, SOUND },
    .count = 2, .outcome = SENT_AGAIN },
  { "the key is removed",
    .versions
    = { { .key_owner = 0, .retry_mode = ROUTE_STREAM, .weight = 1 } },
    .count = 1, .outcome = UNAUTHORIZED },
  { "the key is removed and given back",
    .versions
    = { { .key_owner = 0, .retry_mode = ROUTE_STREAM, .weight = 1 }, SOUND },
    .count = 2, .outcome = UNAUTHORIZED },
  { "the key is removed and given to another customer",
    .versions
    = { { .key_owner = 0, .retry_mode = ROUTE_STREAM, .weight = 1 },
        { .key_owner = 2, .retry_mode = ROUTE_STREAM, .weight = 1 } },
    .count = 2, .outcome = UNAUTHORIZED },
  { "the route is removed",
    .versions = { { .key_owner = 1, .lacks_route = true, .weight = 1 } },
    .count = 1, .outcome = NOT_FOUND },
  { "the route is removed and back",
    .versions
    = { { .key_owner = 1, .lacks_route = true, .weight = 1 }, SOUND },
    .count = 2, .outcome = NOT_FOUND },
  { "the route is of another kind",
    .versions
    = { { .key_owner = 1, .retry_mode = ROUTE_IDEMPOTENT, .weight = 1 } },
    .count = 1, .outcome = SENT_AGAIN },
  { "the route keeps no turns",
    .versions = { { .key_owner = 1,
                    .retry_mode = ROUTE_STREAM,
                    .lacks_retention = true,
                    .weight = 1 } },
    .count = 1, .outcome = SENT_AGAIN },
  { "the route asks for no key",
    .versions = { { .key_owner = 1,
                    .is_open = true,
                    .retry_mode = ROUTE_STREAM,
                    .weight = 1 } },
    .count = 1, .outcome = SENT_AGAIN },
  { "the route asks for a key", .is_open = true,
    .versions
    = { { .key_owner = 0, .retry_mode = ROUTE_STREAM, .weight = 1 } },
    .count = 1, .outcome = UNAUTHORIZED },
  { "the route asks for a key, and the caller has one", .is_open = true,
    .versions = { SOUND }, .count = 1, .outcome = SENT_AGAIN },
};

struct fixture
{
  struct fake_keepers fleet;
  struct conversations *client;
  struct local_pipeline *local;
  struct local_pipeline *helper; /* sends for LOCAL; NULL for none */
  ev_timer clock;
  bool holds_keepers;
  bool breaks_off; /* the next send, before its first event */
  char id[16];     /* of the request that is under way */
  char customer[16];
  char body[64];
  char answer[256];
  uint32_t sends;
  const struct change *change; /* applied by the next send; NULL for none */
  int64_t changed_ms;          /* when it was applied; 0 for not yet */
};

static const char *const customer_names[] = { "c1", "c2" };

static struct routing *
create_routing (const struct version *version)
{
  struct local_route route
      = { .retry_mode = version->retry_mode,
          .timeout_ms = TIMEOUT_MS,
          .max_attempts = 3,
          .resumable = true,
          .retained
          = version->retry_mode == ROUTE_STREAM && !version->lacks_retention,
          .host = version->lacks_route ? "elsewhere" : "h" };
  struct routing *routing = local_routing_begin (&route);

  routing->routes[0].is_open = version->is_open;
  routing->routes[0].targets[0].weight = version->weight;
  routing->customers = xcalloc (2, sizeof *routing->customers);
  routing->customer_count = 2;
  for (int i = 0; i < 2; i++)
    routing->customers[i]
        = (struct customer){ .name = xstrdup (customer_names[i]),
                             .priority = -1 };
  routing->customers[0].rate_milli = (int64_t)LIMIT * 1000000 / WINDOW_MS;
  routing_add_key (routing, "k2", 1);
  if (version->key_owner > 0)
    routing_add_key (routing, "k1", (uint32_t)version->key_owner - 1);
  routing_build_index (routing);
  return routing;
}

static void
run_for (struct fixture *fixture, int64_t duration_ms)
{
  int64_t until_ms = clock_now_ms () + duration_ms;

  while (clock_now_ms () < until_ms)
    ev_run (fixture->local->loop, EVRUN_ONCE);
}

static void
apply_change (struct fixture *fixture)
{
  const struct change *change = fixture->change;

  fixture->change = NULL;
  fixture->changed_ms = clock_now_ms ();
  for (int i = 0; i < change->count; i++)
    pipeline_apply (fixture->local->pipeline,
                    create_routing (&change->versions[i]));
}

static struct raw_answer
answer (void *data, struct raw_endpoint *endpoint, const char *request)
{
  struct fixture *fixture = data;
  const char *customer = strstr (request, "\r\nTenant: ");
  const char *body = strstr (request, "\r\n\r\n") + 4;

  fixture->sends++;
  *fixture->customer = '\0';
  if (customer)
    sscanf (customer, "\r\nTenant: %15s", fixture->customer);
  g_strlcpy (fixture->body, body, sizeof fixture->body);
  if (fixture->change)
    apply_change (fixture);
  snprintf (fixture->answer, sizeof fixture->answer,
            "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\n"
            "Content-Type: text/event-stream\r\nContent-Length: %zu\r\n\r\n"
            "%s",
            fixture->id, strlen (EVENTS), fixture->breaks_off ? "" : EVENTS);
  if (fixture->breaks_off)
    fixture->answer[0] = '\0';
  return (struct raw_answer){ .bytes = fixture->answer,
                              .len = strlen (fixture->answer),
                              .end
                              = fixture->breaks_off ? RAW_CLOSE : RAW_KEEP };
}

static void
handle_clock (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct fixture *fixture = timer->data;

  if (!fixture->holds_keepers)
    fake_keepers_run (&fixture->fleet, clock_now_ms ());
}

static void
add_helper (struct fixture *fixture, const struct version *version)
{
  struct local_pipeline_options options
      = { .route = { .retry_mode = ROUTE_STREAM, .timeout_ms = TIMEOUT_MS },
          .host = "y",
          .shared = fixture->local };

  fixture->helper = local_pipeline_create (&options);
  pipeline_apply (fixture->helper->pipeline, create_routing (version));
  local_pipeline_use_helper (fixture->local);
  pool_at (fixture->local->pool, 0)->unreachable = true;
}

static void
fixture_init (struct fixture *fixture, bool is_open, bool is_relayed)
{
  struct version version = SOUND;
  struct conversations_options conversations
      = { .data_centre = "a", .losses = LOSSES };
  struct local_pipeline_options options
      = { .route = { .retry_mode = ROUTE_STREAM, .timeout_ms = TIMEOUT_MS },
          .answer = answer,
          .data = fixture,
          .window_ms = WINDOW_MS };
  struct host_location self = { .name = "x", .data_centre = "a" };

  *fixture = (struct fixture){ 0 };
  fake_keepers_init (&fixture->fleet, KEEPERS, KEEPERS);
  fixture->fleet.now_ms = clock_now_ms ();
  conversations.transport = &fixture->fleet.base;
  fixture->client = fixture->fleet.client
      = conversations_create (&conversations);
  fake_keepers_list (&fixture->fleet, KEEPERS);
  options.conversations = fixture->client;
  fixture->local = local_pipeline_create (&options);
  limits_set_hosts (fixture->local->limits, &self, 1);
  version.is_open = is_open;
  pipeline_apply (fixture->local->pipeline, create_routing (&version));
  ev_timer_init (&fixture->clock, handle_clock, TICK_MS / 1000.0,
                 TICK_MS / 1000.0);
  fixture->clock.data = fixture;
  ev_timer_start (fixture->local->loop, &fixture->clock);
  if (is_relayed)
    add_helper (fixture, &version);
}

static void
fixture_release (struct fixture *fixture)
{
  pipeline_abort (fixture->local->pipeline);
  ev_timer_stop (fixture->local->loop, &fixture->clock);
  if (fixture->helper)
    local_pipeline_destroy (fixture->helper);
  local_pipeline_destroy (fixture->local);
  conversations_destroy (fixture->client);
  fake_keepers_release (&fixture->fleet);
}

static void
start_turn (struct fixture *fixture, const char *id, const char *previous)
{
  struct request_input *input = xcalloc (1, sizeof *input);

  g_strlcpy (fixture->id, id, sizeof fixture->id);
  input->id = xstrdup (id);
  input->key = xstrdup ("k1");
  input->previous = previous ? xstrdup (previous) : NULL;
  input->program = xstrdup ("p");
  input->resume_after = -1;
  buf_append_str (&input->body, id);
  local_pipeline_submit (fixture->local, input);
}

static void
run_turn (struct fixture *fixture, const char *id)
{
  start_turn (fixture, id, NULL);
  while (fixture->local->response.outcome == LOCAL_PENDING)
    ev_run (fixture->local->loop, EVRUN_ONCE);
}

static bool
is_outcome (const struct local_response *response, enum outcome outcome,
            bool may_have_run)
{
  enum error_kind kind = response->error.kind;

  if (outcome == GOES_ON)
    return local_response_is_success (response);
  return response->outcome == LOCAL_REFUSED
         && (outcome == UNAUTHORIZED ? kind == ERROR_UNAUTHORIZED
             : outcome == NOT_FOUND  ? kind == ERROR_NOT_FOUND
             : may_have_run          ? kind == ERROR_ENDPOINT
                                     : kind == ERROR_OVERLOADED
                                  && response->error.retry_after_ms > 0);
}

/* Makes the next request wait as WAIT says.  */
static void
make_wait (struct fixture *fixture, enum wait wait,
           const struct change *change)
{
  run_turn (fixture, "t1");
  CU_ASSERT_TRUE (local_response_is_success (&fixture->local->response));
  if (wait == WAIT_TOKEN)
    run_turn (fixture, "u");
  fixture->holds_keepers = wait == WAIT_CHAIN;
  fixture->breaks_off = wait == WAIT_RETRY;
  fixture->change = wait == WAIT_RETRY ? change : NULL;
  fixture->sends = 0;
  start_turn (fixture, "t2", "t1");
}

/* Plays one change while a turn that continues a conversation waits.  */
static void
play (const struct change *change, enum wait wait, bool is_relayed)
{
  struct fixture fixture;
  const struct local_response *response;
  bool is_right;
  int64_t ended_ms;

  fixture_init (&fixture, change->is_open, is_relayed);
  response = &fixture.local->response;
  make_wait (&fixture, wait, change);
  run_for (&fixture, BEFORE_CHANGE_MS);
  if (wait != WAIT_RETRY)
    {
      CU_ASSERT_EQUAL (response->outcome, LOCAL_PENDING);
      fixture.change = change;
      apply_change (&fixture);
    }
  if (change->outcome != GOES_ON)
    while (response->outcome == LOCAL_PENDING
           && (!fixture.changed_ms
               || clock_now_ms () - fixture.changed_ms < AFTER_MS))
      ev_run (fixture.local->loop, EVRUN_ONCE);
  ended_ms = clock_now_ms ();
  fixture.holds_keepers = fixture.breaks_off = false;
  run_for (&fixture, AFTER_MS);
  is_right
      = is_outcome (response, change->outcome, wait == WAIT_RETRY)
        && (change->outcome == GOES_ON
                ? strcmp (fixture.body, "t1out\nt2") == 0
                      && strcmp (fixture.customer, change->is_open ? "" : "c1")
                             == 0
                : fixture.sends == (wait == WAIT_RETRY)
                      && ended_ms - fixture.changed_ms <= AT_ONCE_MS);
  if (!is_right)
    fprintf (stderr,
             "%s, wait %d, relayed %d: outcome %d, status %ld, error %s, %u "
             "sends for '%s' of '%s', ended after %d ms\n",
             change->name, (int)wait, is_relayed, (int)response->outcome,
             response->status, error_kind_name (response->error.kind),
             fixture.sends, fixture.customer, fixture.body,
             (int)(ended_ms - fixture.changed_ms));
  CU_ASSERT_TRUE (is_right);
  fixture_release (&fixture);
}

/* Plays all changes; those of an open route, which has no quota, while
   something else is waited for.  */
static void
play_all (enum wait wait, bool is_relayed)
{
  for (size_t i = 0; i < G_N_ELEMENTS (changes); i++)
    if (wait != WAIT_TOKEN || !changes[i].is_open)
      play (&changes[i], wait, is_relayed);
}

/* Guards against a turn that runs for the customer of another configuration
   than the one by which its conversation was read.  */
static void
test_waits_for_quota (void)
{
  play_all (WAIT_TOKEN, false);
}

static void
test_waits_for_chain (void)
{
  play_all (WAIT_CHAIN, false);
}

/* Guards against a send that is repeated for another customer, without the key
   that its route asks for by now, or on a route of another kind.  */
static void
test_waits_for_retry (void)
{
  play_all (WAIT_RETRY, false);
}

/* Guards against the same where a host that keeps the older configuration
   sends the request.  */
static void
test_waits_with_old_helper (void)
{
  int64_t relays = counter_get (COUNTER_RELAYS_SENT);

  play_all (WAIT_TOKEN, true);
  play_all (WAIT_RETRY, true);
  CU_ASSERT (counter_get (COUNTER_RELAYS_SENT) > relays);
}

/* Guards against the end of a request that an endpoint has got, or whose turn
   is being written, because of a change.  */
static void
test_running_requests_go_on (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (changes); i++)
    {
      struct fixture fixture;

      fixture_init (&fixture, changes[i].is_open, false);
      fixture.change = &changes[i];
      run_turn (&fixture, "t1");
      CU_ASSERT_TRUE (local_response_is_success (&fixture.local->response));
      CU_ASSERT_EQUAL (fixture.sends, 1);
      CU_ASSERT (fake_keepers_holding (&fixture.fleet, "t1") >= LOSSES + 1);
      fixture_release (&fixture);
    }
}

CU_TestInfo changes_while_waiting_tests[] = {
  { "a turn waits for the quota", test_waits_for_quota },
  { "a turn waits for its conversation", test_waits_for_chain },
  { "a turn is to be sent once more", test_waits_for_retry },
  { "a host with an older configuration sends it",
    test_waits_with_old_helper },
  { "requests at an endpoint go on", test_running_requests_go_on },
  CU_TEST_INFO_NULL,
};
