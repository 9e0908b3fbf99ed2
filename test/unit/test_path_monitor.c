#include "common/buf.h"
#include "common/id.h"
#include "gate.h"
#include "request/path_monitor.h"
#include "suites.h"
#include <CUnit/CUnit.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ENDPOINTS = 60,
  BUSY = 4, /* endpoints for which requests wait */
  TICK_MS = 50,
  /* Half of the users' bound after a cut begins, so that callers that come
     later are served. */
  DETECT_MS = 1500,
  RETURN_MS = 1500,
  PAUSE_MS = 1100, /* of a sound endpoint */
  /* A call that may wait for 2 s is the only one that waits: the next one must
     not be lost, too. */
  SILENCE_LEARNT_MS = 2000,
  STOPPED_MS = 3000, /* of this process */
};

/* A host with endpoints behind one gate. */
struct watched_paths
{
  struct ev_loop *loop;
  struct pool *pool;
  struct path_monitor *monitor;
  struct gate *gate;       /* of every second endpoint, one service's */
  struct gate *other_gate; /* of the others */
  ev_timer tick;
  uint32_t broken; /* calls of the handler */
  bool is_reached_elsewhere;
};

static void
handle_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct watched_paths *paths = timer->data;

  path_monitor_tick (paths->monitor, clock_now_ms ());
}

static void
handle_broken (void *data, struct pool_endpoint *endpoint, int64_t silent_ms)
{
  struct watched_paths *paths = data;

  paths->broken++;
}

static bool
is_reached_elsewhere (void *data, const char *service)
{
  return ((const struct watched_paths *)data)->is_reached_elsewhere;
}

static void
list_endpoints (struct watched_paths *paths)
{
  struct endpoint_list *list = xcalloc (1, sizeof *list);

  list->entries = xcalloc (ENDPOINTS, sizeof *list->entries);
  list->count = ENDPOINTS;
  for (int i = 0; i < ENDPOINTS; i++)
    list->entries[i] = (struct endpoint_entry){
      .id = xasprintf ("e%d", i),
      .service = xstrdup (i % 2 == 0 ? "app" : "other"),
      .address
      = xasprintf ("127.0.0.1:%u",
                   gate_port (i % 2 == 0 ? paths->gate : paths->other_gate)),
      .data_centre = xstrdup ("a"),
      .slots = 8,
    };
  pool_apply (paths->pool, list, clock_now_ms ());
  endpoint_list_destroy (list);
}

/* Nothing listens behind the gate: a connection that opens is enough.  */
static void
watch_paths (struct watched_paths *paths)
{
  struct path_monitor_options options
      = { .handle_broken = handle_broken,
          .is_reached_elsewhere = is_reached_elsewhere,
          .data = paths };

  *paths = (struct watched_paths){ .loop = ev_loop_new (EVFLAG_AUTO) };
  options.loop = paths->loop;
  options.pool = paths->pool = pool_create ("a");
  paths->gate = gate_create (paths->loop, 1);
  paths->other_gate = gate_create (paths->loop, 1);
  list_endpoints (paths);
  paths->monitor = path_monitor_create (&options);
  ev_timer_init (&paths->tick, handle_tick, 0, TICK_MS / 1000.0);
  paths->tick.data = paths;
  ev_timer_start (paths->loop, &paths->tick);
}

static void
release_paths (struct watched_paths *paths)
{
  path_monitor_destroy (paths->monitor);
  gate_destroy (paths->gate);
  gate_destroy (paths->other_gate);
  pool_destroy (paths->pool);
  ev_timer_stop (paths->loop, &paths->tick);
  ev_loop_destroy (paths->loop);
}

static void
run_for (struct watched_paths *paths, int64_t duration_ms)
{
  int64_t until_ms = clock_now_ms () + duration_ms;

  while (clock_now_ms () < until_ms)
    ev_run (paths->loop, EVRUN_ONCE);
}

static uint32_t
count_without_path (const struct watched_paths *paths)
{
  uint32_t count = 0;

  for (size_t i = 0; i < pool_count (paths->pool); i++)
    count += pool_lacks_path (pool_at (paths->pool, i), clock_now_ms ());
  return count;
}

/* Has requests wait for the first endpoints.  */
static void
begin_requests (struct watched_paths *paths)
{
  for (size_t i = 0; i < BUSY; i++)
    pool_begin_direct (pool_at (paths->pool, i), clock_now_ms ());
}

/* Guards against a host that learns of its cut from each endpoint by itself,
   by requests that are lost there.  */
static void
test_cut_is_learnt_at_once (void)
{
  struct watched_paths paths;

  watch_paths (&paths);
  gate_set_mode (paths.gate, GATE_HANG);
  gate_set_mode (paths.other_gate, GATE_HANG);
  begin_requests (&paths);
  run_for (&paths, DETECT_MS);
  CU_ASSERT_EQUAL (count_without_path (&paths), ENDPOINTS);
  CU_ASSERT (paths.broken > 0);
  gate_set_mode (paths.gate, GATE_OPEN);
  gate_set_mode (paths.other_gate, GATE_OPEN);
  run_for (&paths, RETURN_MS);
  CU_ASSERT_EQUAL (count_without_path (&paths), 0);
  release_paths (&paths);
}

/* Guards against a host that gives up endpoints of one service because it is
   cut off from another one's.  */
static void
test_cut_of_one_service (void)
{
  struct watched_paths paths;

  watch_paths (&paths);
  gate_set_mode (paths.gate, GATE_RESET);
  begin_requests (&paths);
  run_for (&paths, DETECT_MS);
  CU_ASSERT_EQUAL (count_without_path (&paths), ENDPOINTS / 2);
  release_paths (&paths);
}

/* Guards against an endpoint that pauses for a second and counts as out of
   reach.  */
static void
test_pause_is_not_a_cut (void)
{
  struct watched_paths paths;

  watch_paths (&paths);
  begin_requests (&paths);
  run_for (&paths, PAUSE_MS);
  CU_ASSERT_EQUAL (count_without_path (&paths), 0);
  CU_ASSERT_EQUAL (paths.broken, 0);
  release_paths (&paths);
}

/* Ticks in virtual time until UNTIL_MS.  */
static void
tick_until (struct watched_paths *paths, int64_t *now_ms, int64_t until_ms)
{
  for (; *now_ms < until_ms; *now_ms += TICK_MS)
    path_monitor_tick (paths->monitor, *now_ms);
}

/* Guards against a host that sends one request after the other to endpoints
   from which nothing comes back though connections open, and against one that
   gives them up without another way, or after a pause of its own.  */
static void
test_silent_service (void)
{
  struct watched_paths paths;
  struct pool_endpoint *endpoint;
  int64_t now_ms = clock_now_ms ();
  int64_t start_ms = now_ms;

  watch_paths (&paths);
  endpoint = pool_at (paths.pool, 0);
  paths.is_reached_elsewhere = true;
  tick_until (&paths, &now_ms, start_ms + TICK_MS);
  pool_begin_direct (endpoint, now_ms);
  tick_until (&paths, &now_ms, start_ms + PAUSE_MS);
  CU_ASSERT_EQUAL (count_without_path (&paths), 0);
  CU_ASSERT_FALSE (path_monitor_lacks_paths (paths.monitor));
  tick_until (&paths, &now_ms, start_ms + SILENCE_LEARNT_MS);
  CU_ASSERT_EQUAL (count_without_path (&paths), ENDPOINTS / 2);
  CU_ASSERT (path_monitor_lacks_paths (paths.monitor));
  CU_ASSERT_FALSE (path_monitor_is_verified (paths.monitor, endpoint, now_ms));
  paths.is_reached_elsewhere = false;
  tick_until (&paths, &now_ms, now_ms + 2 * TICK_MS);
  CU_ASSERT_EQUAL (count_without_path (&paths), 0);
  paths.is_reached_elsewhere = true;
  endpoint->last_heard_ms = now_ms;
  tick_until (&paths, &now_ms, now_ms + 2 * TICK_MS);
  CU_ASSERT_EQUAL (count_without_path (&paths), 0);
  now_ms += STOPPED_MS;
  tick_until (&paths, &now_ms, now_ms + 2 * TICK_MS);
  CU_ASSERT_EQUAL (count_without_path (&paths), 0);
  release_paths (&paths);
}

/* Guards against a path that stays in use while each request on it is lost,
   and against one that is never tried again.  */
static void
test_lost_requests (void)
{
  static const struct fetch_result lost
      = { .sent = true, .connection_opened = true, .unanswered = true };
  struct watched_paths paths;
  struct pool_endpoint *endpoint;
  int64_t now_ms = clock_now_ms ();

  watch_paths (&paths);
  endpoint = pool_at (paths.pool, 0);
  paths.is_reached_elsewhere = true;
  tick_until (&paths, &now_ms, now_ms + 2 * TICK_MS);
  path_monitor_record (paths.monitor, endpoint, true, now_ms);
  CU_ASSERT (path_monitor_is_verified (paths.monitor, endpoint, now_ms));
  path_monitor_record_result (paths.monitor, endpoint, &lost, now_ms);
  path_monitor_record (paths.monitor, endpoint, true, now_ms);
  CU_ASSERT_FALSE (path_monitor_is_verified (paths.monitor, endpoint, now_ms));
  tick_until (&paths, &now_ms, now_ms + 2 * TICK_MS);
  CU_ASSERT_EQUAL (count_without_path (&paths), 0);
  path_monitor_record_result (paths.monitor, endpoint, &lost, now_ms);
  tick_until (&paths, &now_ms, now_ms + 2 * TICK_MS);
  path_monitor_record (paths.monitor, endpoint, true, now_ms);
  CU_ASSERT_EQUAL (count_without_path (&paths), 1);
  /* One request tries it, and further ones do not wait for that. */
  tick_until (&paths, &now_ms, now_ms + PATH_TRIAL_INTERVAL_MS + TICK_MS);
  CU_ASSERT_EQUAL (count_without_path (&paths), 0);
  pool_begin_direct (endpoint, now_ms);
  CU_ASSERT_EQUAL (count_without_path (&paths), 1);
  pool_end_direct (endpoint);
  endpoint->last_heard_ms = ++now_ms;
  tick_until (&paths, &now_ms, now_ms + 2 * TICK_MS);
  CU_ASSERT_EQUAL (count_without_path (&paths), 0);
  CU_ASSERT (path_monitor_is_verified (paths.monitor, endpoint, now_ms));
  release_paths (&paths);
}

CU_TestInfo path_monitor_tests[] = {
  { "a cut is learnt at once", test_cut_is_learnt_at_once },
  { "a cut of one service", test_cut_of_one_service },
  { "a pause is not a cut", test_pause_is_not_a_cut },
  { "a silent service", test_silent_service },
  { "lost requests", test_lost_requests },
  CU_TEST_INFO_NULL,
};
