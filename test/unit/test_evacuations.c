#include "common/buf.h"
#include "common/id.h"
#include "local_pipeline.h"
#include "platform/decode.h"
#include "platform/settings.h"
#include "suites.h"
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  NOW_MS = 1000,
  AT_ONCE_MS = 50,
  TRIES = 1000,
};

static const char *const data_centres[] = { "a", "b" };

/* Lists an endpoint of service "app" in each data centre.  */
static void
list_endpoints (struct pool *pool, int64_t now_ms)
{
  struct endpoint_list *list = xcalloc (1, sizeof *list);

  list->entries = xcalloc (2, sizeof *list->entries);
  for (; list->count < 2; list->count++)
    list->entries[list->count]
        = (struct endpoint_entry){ .id = xasprintf ("e%zu", list->count),
                                   .service = xstrdup ("app"),
                                   .address = xstrdup ("127.0.0.1:1"),
                                   .data_centre
                                   = xstrdup (data_centres[list->count]),
                                   .slots = 1 };
  pool_apply (pool, list, now_ms);
  endpoint_list_destroy (list);
}

static void
evacuate (struct pool *pool, const char *first, const char *second,
          int64_t now_ms)
{
  struct strings names = { 0 };

  if (first)
    strings_add (&names, first);
  if (second)
    strings_add (&names, second);
  pool_set_evacuated (pool, &names, now_ms);
  strings_release (&names);
}

/* Returns how many of TRIES requests go to data centre "a", where the endpoint
   is idle while that of "b" is busy.  */
static int
count_returned (struct pool *pool, int64_t now_ms)
{
  const struct pool_query query = { .service = "app" };
  int count = 0;

  for (int i = 0; i < TRIES; i++)
    count += !pool_pick (pool, &query, now_ms)->remote;
  return count;
}

/* Guards against one way of choosing an endpoint that still offers those of an
   evacuated data centre, and against a new list that forgets it.  */
static void
test_no_way_of_choosing (void)
{
  struct pool *pool = pool_create ("a");
  const struct pool_query query = { .service = "app" };

  list_endpoints (pool, NOW_MS);
  evacuate (pool, "a", NULL, NOW_MS);
  list_endpoints (pool, NOW_MS);
  CU_ASSERT_STRING_EQUAL (pool_pick (pool, &query, NOW_MS)->id, "e1");
  evacuate (pool, "a", "b", NOW_MS);
  pool_at (pool, 0)->limit_milli = pool_at (pool, 1)->limit_milli = 1000;
  CU_ASSERT_PTR_NULL (pool_pick (pool, &query, NOW_MS));
  CU_ASSERT_PTR_NULL (pool_pick_least_avoided (pool, &query, NOW_MS));
  CU_ASSERT_PTR_NULL (pool_pick_awaiting_permit (pool, &query, NOW_MS));
  CU_ASSERT_FALSE (pool_has_build (pool, "app", pool_at (pool, 0)->build));
  pool_destroy (pool);
}

/* Guards against the whole load of a data centre returning at once to
   endpoints that may be cold.  */
static void
test_gradual_return (void)
{
  struct pool *pool = pool_create ("a");
  const struct pool_query query = { .service = "app" };
  int early;
  int late;

  list_endpoints (pool, NOW_MS);
  for (int i = 0; i < 5; i++)
    pool_acquire (pool_at (pool, 1), &query, NOW_MS);
  evacuate (pool, "a", NULL, NOW_MS);
  CU_ASSERT_EQUAL (count_returned (pool, NOW_MS), 0);
  evacuate (pool, NULL, NULL, NOW_MS);
  early = count_returned (pool, NOW_MS);
  late = count_returned (pool, NOW_MS + COLD_RETURN_MS / 2);
  CU_ASSERT (early > 0 && early < TRIES / 5);
  CU_ASSERT (late > TRIES / 3 && late < TRIES * 2 / 3);
  CU_ASSERT_EQUAL (count_returned (pool, NOW_MS + COLD_RETURN_MS), TRIES);
  for (int i = 0; i < 5; i++)
    pool_release (pool, pool_at (pool, 1));
  pool_destroy (pool);
}

static struct raw_answer
answer (void *data, struct raw_endpoint *endpoint, const char *request)
{
  static const char text[] = "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\n"
                             "Server-Stamp: s\r\nContent-Length: 2\r\n\r\nok";

  (*(int *)data)++;
  return (struct raw_answer){ .bytes = text, .len = strlen (text) };
}

/* Guards against kept connections that are used on, and requests that wait or
   are tried while all data centres are evacuated.  */
static void
test_refused_at_once (void)
{
  int requests = 0;
  struct local_pipeline_options options
      = { .route = { .retry_mode = ROUTE_IDEMPOTENT, .timeout_ms = 2000 },
          .answer = answer,
          .data = &requests };
  struct local_pipeline *local = local_pipeline_create (&options);
  const struct local_response *response = local_pipeline_run (local);
  int64_t started_ms;

  CU_ASSERT_EQUAL (response->outcome, LOCAL_RESPONDED);
  evacuate (local->pool, "a", NULL, clock_now_ms ());
  started_ms = clock_now_ms ();
  response = local_pipeline_run (local);
  CU_ASSERT_EQUAL (response->outcome, LOCAL_REFUSED);
  CU_ASSERT_EQUAL (response->error.kind, ERROR_OVERLOADED);
  CU_ASSERT_EQUAL (response->error.run, RUN_NOT_RUN);
  CU_ASSERT (clock_now_ms () - started_ms <= AT_ONCE_MS);
  CU_ASSERT_EQUAL (requests, 1);
  evacuate (local->pool, NULL, NULL, clock_now_ms ());
  CU_ASSERT_EQUAL (local_pipeline_run (local)->outcome, LOCAL_RESPONDED);
  local_pipeline_destroy (local);
}

/* Guards against requests that another host, which does not know of the
   evacuation yet, has this one send.  */
static void
test_relays_are_refused (void)
{
  int requests = 0;
  struct local_pipeline_options options
      = { .route = { .retry_mode = ROUTE_IDEMPOTENT, .timeout_ms = 2000 },
          .answer = answer,
          .data = &requests };
  struct local_pipeline *local = local_pipeline_create (&options);
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__RelaySend send = PEER__RELAY_SEND__INIT;

  send.id = 1;
  send.endpoint = pool_at (local->pool, 0)->start;
  send.method = (char *)(uintptr_t) "GET";
  send.target = (char *)(uintptr_t) "/";
  send.timeout_ms = 1000;
  frame.body_case = PEER__FRAME__BODY_RELAY_SEND;
  frame.relay_send = &send;
  evacuate (local->pool, "a", NULL, clock_now_ms ());
  relay_server_handle_frame (local->relay_server, "x", &frame,
                             clock_now_ms ());
  CU_ASSERT_EQUAL (relay_server_active (local->relay_server), 0);
  evacuate (local->pool, NULL, NULL, clock_now_ms ());
  relay_server_handle_frame (local->relay_server, "x", &frame,
                             clock_now_ms ());
  CU_ASSERT_EQUAL (relay_server_active (local->relay_server), 1);
  local_pipeline_destroy (local);
}

static bool
load (const char *extra, struct platform_settings *settings)
{
  char path[] = "/tmp/galena-entry-XXXXXX";
  int file = mkstemp (path);
  struct error error;
  bool is_loaded;

  CU_ASSERT_FATAL (file >= 0);
  dprintf (file,
           "{\"host\": \"h\", \"data_centre\": \"a\", \"role\": \"entry\", "
           "\"caller_listen\": \"127.0.0.1:1\", "
           "\"health_listen\": \"127.0.0.1:2\", "
           "\"peer_listen\": \"127.0.0.1:3\", "
           "\"store_address\": \"127.0.0.1:4\"%s}",
           extra);
  close (file);
  is_loaded = platform_settings_load (settings, path, &error);
  unlink (path);
  return is_loaded;
}

/* Guards against settings without bounds that change something, and against a
   fractional bound that is rejected or cut off.  */
static void
test_settings (void)
{
  struct platform_settings settings;

  CU_ASSERT_TRUE (load ("", &settings));
  CU_ASSERT_EQUAL (settings.evacuate_within_ms, 0);
  CU_ASSERT_EQUAL (settings.cold_overrun, 0);
  platform_settings_release (&settings);
  CU_ASSERT_TRUE (load (", \"evacuate_within_ms\": 1000, "
                        "\"cold_overrun\": 1.5, \"cold_slack\": 5",
                        &settings));
  CU_ASSERT_EQUAL (settings.cold_overrun, 1500);
  CU_ASSERT_EQUAL (settings.cold_slack, 5000);
  CU_ASSERT (settings.stale_ms < settings.evacuate_within_ms);
  platform_settings_release (&settings);
}

/* Guards against an entry's time that is cut off or read as none.  */
static void
test_cold_entry (void)
{
  json_t *object = json_loads (
      "{\"spec\":{\"backend\":\"app\",\"address\":\"127.0.0.1:1\","
      "\"zone\":\"a\",\"state\":\"ready\",\"max_concurrency\":6,"
      "\"cold_remaining_ms\":2999.5}}",
      0, NULL);
  struct endpoint_list *list = xcalloc (1, sizeof *list);

  list->entries = xcalloc (1, sizeof *list->entries);
  CU_ASSERT_TRUE (decode_endpoint ("e", object, &list->entries[0], NULL));
  list->count = 1;
  CU_ASSERT_EQUAL (list->entries[0].cold_ms, 2999);
  endpoint_list_destroy (list);
  json_decref (object);
}

CU_TestInfo evacuations_tests[] = {
  { "no way of choosing an endpoint", test_no_way_of_choosing },
  { "gradual return", test_gradual_return },
  { "refused at once", test_refused_at_once },
  { "relays are refused", test_relays_are_refused },
  { "settings", test_settings },
  { "a cold entry", test_cold_entry },
  CU_TEST_INFO_NULL,
};
