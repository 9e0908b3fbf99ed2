#include "common/fetch.h"
#include "common/httpd.h"
#include "common/id.h"
#include "platform/watch.h"
#include "suites.h"
#include <stdio.h>
#include <string.h>

enum
{
  MAX_LOOP_ITERATIONS = 2000,
  GRACE_MS = 60000, /* longer than the test */
  WAIT_MS = 200,    /* of a watch call */
};

/* A store with one object, and a watch of it. */
struct fixture
{
  struct ev_loop *loop;
  struct httpd *httpd;
  struct fetcher *fetcher;
  struct store_client store;
  struct table *table;
  struct watch *watch;
  bool is_down;
  bool is_removed; /* the object, at revision 2 */
  int calls;
};

static void
handle_request (void *data, struct httpd_request *request)
{
  struct fixture *fixture = data;
  static const char list[]
      = "{\"items\": [{\"metadata\": {\"name\": \"e\", \"rev\": 1}}],"
        " \"store_revision\": 1}";
  static const char removal[]
      = "{\"events\": [{\"removed\": true, \"object\":"
        " {\"metadata\": {\"name\": \"e\", \"rev\": 2}}}],"
        " \"store_revision\": 2}";
  static const char nothing[] = "{\"events\": [], \"store_revision\": 1}";
  const char *body = httpd_query (request, "watch") ? nothing : list;

  fixture->calls++;
  if (fixture->is_removed && body == nothing)
    body = removal;
  if (fixture->is_down)
    httpd_respond (request, 503, "text/plain", "", 0);
  else
    httpd_respond (request, 200, "application/json", body, strlen (body));
}

static void
handle_commit (void *data)
{
}

static void
handle_reachability (void *data)
{
}

static void
fixture_open (struct fixture *fixture)
{
  struct httpd_options httpd = { .address = "127.0.0.1",
                                 .connection_memory_bytes = 8192,
                                 .max_body_bytes = 8192,
                                 .max_connections = 8,
                                 .handle_request = handle_request,
                                 .data = fixture };
  struct table_options table = { .kind = "servers",
                                 .grace_ms = GRACE_MS,
                                 .handle_commit = handle_commit };
  struct watch_options watch
      = { .wait_ms = WAIT_MS, .handle_reachability = handle_reachability };
  struct error error;
  char address[32];

  memset (fixture, 0, sizeof *fixture);
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  httpd.loop = table.loop = watch.loop = fixture->loop;
  fixture->httpd = httpd_create (&httpd, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->httpd);
  fixture->fetcher = fetcher_create (fixture->loop);
  snprintf (address, sizeof address, "127.0.0.1:%u",
            httpd_port (fixture->httpd));
  store_client_init (&fixture->store, fixture->fetcher, address, "test");
  fixture->table = table_create (&table);
  watch.store = &fixture->store;
  watch.table = fixture->table;
  fixture->watch = watch_create (&watch);
}

static void
fixture_close (struct fixture *fixture)
{
  watch_destroy (fixture->watch);
  table_destroy (fixture->table);
  fetcher_destroy (fixture->fetcher);
  store_client_release (&fixture->store);
  httpd_destroy (fixture->httpd);
  ev_loop_destroy (fixture->loop);
}

static bool
is_listed (const struct fixture *fixture)
{
  return table_is_loaded (fixture->table);
}

static bool
is_failing (const struct fixture *fixture)
{
  return watch_is_unreachable (fixture->watch);
}

static bool
is_object_gone (const struct fixture *fixture)
{
  return !table_find (fixture->table, "e");
}

static void
run_until (const struct fixture *fixture,
           bool (*is_met) (const struct fixture *))
{
  for (int i = 0; i < MAX_LOOP_ITERATIONS && !is_met (fixture); i++)
    ev_run (fixture->loop, EVRUN_ONCE);
  CU_ASSERT_TRUE (is_met (fixture));
}

/* Activates the watch while the store is down, until a call has failed.  */
static void
fail_active_watch (struct fixture *fixture)
{
  run_until (fixture, is_listed);
  fixture->is_down = true;
  watch_set_active (fixture->watch, true);
  run_until (fixture, is_failing);
}

/* A host that could not reach the store leaves the watch to another one.  When
   it watches again, long after, an endpoint that was removed meanwhile must go
   at once: its removal is no lapse in an outage.  */
static void
test_no_grace_after_a_rest (void)
{
  struct fixture fixture;

  fixture_open (&fixture);
  fail_active_watch (&fixture);
  watch_set_active (fixture.watch, false);
  CU_ASSERT_FALSE (is_failing (&fixture));
  fixture.is_down = false;
  fixture.is_removed = true;
  watch_set_active (fixture.watch, true);
  run_until (&fixture, is_object_gone);
  fixture_close (&fixture);
}

/* In an outage that the watch itself sees, entries lapse: they are kept until
   the end of the grace period.  */
static void
test_grace_after_an_outage (void)
{
  struct fixture fixture;

  fixture_open (&fixture);
  fail_active_watch (&fixture);
  fixture.is_down = false;
  fixture.is_removed = true;
  for (int i = 0; i < MAX_LOOP_ITERATIONS && is_failing (&fixture); i++)
    ev_run (fixture.loop, EVRUN_ONCE);
  CU_ASSERT_FALSE (is_failing (&fixture));
  CU_ASSERT_FALSE (is_object_gone (&fixture));
  fixture_close (&fixture);
}

CU_TestInfo watch_tests[]
    = { { "no grace period after a rest", test_no_grace_after_a_rest },
        { "a grace period after an outage", test_grace_after_an_outage },
        CU_TEST_INFO_NULL };
