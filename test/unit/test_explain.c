#include "common/buf.h"
#include "common/id.h"
#include "policy/admission.h"
#include "request/explain.h"
#include "request/pool.h"
#include "suites.h"
#include <stdio.h>
#include <string.h>

enum
{
  NOW_MS = 100000,
  ENDPOINTS = 6,
  ROUNDS = 200,
  STEP_MS = 137, /* not a divisor of the intervals of the pool's figures */
};

/* Creates a pool with endpoints of two slots of service "app".  */
static struct pool *
create_pool (uint64_t seed)
{
  struct endpoint_entry entries[ENDPOINTS] = { 0 };
  struct endpoint_list list = { .entries = entries, .count = ENDPOINTS };
  struct pool *pool = pool_create ("a");
  char ids[ENDPOINTS][8];

  for (size_t i = 0; i < ENDPOINTS; i++)
    {
      snprintf (ids[i], sizeof ids[i], "e%zu", i);
      entries[i] = (struct endpoint_entry){ .id = ids[i],
                                            .service = (char *)"app",
                                            .address = (char *)"127.0.0.1:1",
                                            .data_centre
                                            = (char *)(i % 3 == 2 ? "b" : "a"),
                                            .version = (char *)"v1",
                                            .slots = 2 };
    }
  pool_apply (pool, &list, NOW_MS);
  pool_set_seed (pool, seed);
  return pool;
}

/* Guards against an explanation that names another endpoint than the one that
   is chosen, and against one that changes the choices after it: of two pools
   with equal histories only one is asked for explanations.  */
static void
check_choices (const struct pool_query *query)
{
  struct pool *asked = create_pool (7);
  struct pool *other = create_pool (7);
  uint64_t random = 11;
  uint32_t wrong = 0;

  for (int64_t now_ms = NOW_MS; now_ms < NOW_MS + ROUNDS * STEP_MS;
       now_ms += STEP_MS)
    {
      struct pool_preview preview = pool_preview (asked, query, now_ms);
      const struct pool_endpoint *named
          = preview.picked >= 0 ? preview.candidates[preview.picked].endpoint
                                : NULL;
      struct pool_endpoint *picked = pool_pick (asked, query, now_ms);
      struct pool_endpoint *unasked = pool_pick (other, query, now_ms);
      struct pool_outcome outcome;

      pool_preview_release (&preview);
      wrong += named != picked || !picked != !unasked
               || (picked && strcmp (picked->id, unasked->id) != 0);
      if (!picked || !unasked)
        continue;
      random = id_hash64 (&random, sizeof random, 1);
      outcome = (struct pool_outcome){ .elapsed_ms = 5 + random % 90,
                                       .running = random % 3 };
      for (int i = 0; i < 2; i++)
        {
          struct pool_endpoint *used = i ? unasked : picked;

          pool_acquire (used, query, now_ms);
          pool_release (i ? other : asked, used);
          pool_record_load (used, outcome.running, random % 2, now_ms);
          pool_record_call (used, &outcome, now_ms);
          pool_record_first_event (used, 100, &outcome, now_ms);
          if (random % 7 == 0)
            pool_record_failure (used, now_ms);
        }
    }
  CU_ASSERT_EQUAL (wrong, 0);
  pool_destroy (asked);
  pool_destroy (other);
}

static void
test_choices (void)
{
  struct prompt_part part = { .id = 5, .tokens = 400 };
  struct pool_query call = { .service = "app" };
  struct pool_query turn = { .service = "app",
                             .parts = &part,
                             .part_count = 1,
                             .prompt_tokens = 500,
                             .program = 99 };
  struct pool_query other_build = { .service = "app", .build = 1 };

  check_choices (&call);
  check_choices (&turn);
  check_choices (&other_build);
}

/* Guards against a reason that is not the one for which the endpoint is left
   out.  */
static void
check_obstacle (void (*change) (struct pool *, struct pool_endpoint *),
                const struct pool_query *query, enum pool_obstacle expected)
{
  struct pool *pool = create_pool (7);
  struct pool_preview preview;

  if (change)
    change (pool, pool_at (pool, 0));
  preview = pool_preview (pool, query, NOW_MS);
  CU_ASSERT_EQUAL (preview.count, ENDPOINTS);
  CU_ASSERT_EQUAL (preview.candidates[0].obstacle, expected);
  CU_ASSERT_EQUAL (preview.candidates[0].place.eligible,
                   expected == POOL_ELIGIBLE);
  CU_ASSERT_TRUE (expected == POOL_ELIGIBLE || preview.picked != 0);
  pool_preview_release (&preview);
  pool_destroy (pool);
}

static void
leave (struct pool *pool, struct pool_endpoint *endpoint)
{
  pool_record_leaving (pool, endpoint, NOW_MS);
}

static void
evacuate (struct pool *pool, struct pool_endpoint *endpoint)
{
  struct strings centres = { 0 };

  strings_add (&centres, endpoint->data_centre);
  pool_set_evacuated (pool, &centres, NOW_MS);
  strings_release (&centres);
}

static void
cut_off (struct pool *pool, struct pool_endpoint *endpoint)
{
  pool_set_reachable (pool, endpoint->data_centre, false);
}

static void
break_path (struct pool *pool, struct pool_endpoint *endpoint)
{
  endpoint->path.is_broken = true;
}

static void
fail (struct pool *pool, struct pool_endpoint *endpoint)
{
  pool_record_failure (endpoint, NOW_MS);
}

static void
limit (struct pool *pool, struct pool_endpoint *endpoint)
{
  endpoint->limit_milli = 1000;
}

static void
use_up_limit (struct pool *pool, struct pool_endpoint *endpoint)
{
  endpoint->limit_milli = 1000;
  endpoint->permit_after_ms = NOW_MS + 1;
}

static void
test_obstacles (void)
{
  struct pool_query query = { .service = "app" };
  struct pool_query build = { .service = "app", .build = 1 };
  struct pool_query relayed = { .service = "app", .is_relayed = true };
  struct pool_query unlimited = { .service = "app", .is_unlimited = true };

  check_obstacle (NULL, &query, POOL_ELIGIBLE);
  check_obstacle (leave, &query, POOL_LEAVING);
  check_obstacle (evacuate, &query, POOL_EVACUATED);
  check_obstacle (NULL, &build, POOL_OTHER_BUILD);
  check_obstacle (cut_off, &query, POOL_UNREACHABLE);
  check_obstacle (break_path, &query, POOL_NO_PATH);
  check_obstacle (NULL, &relayed, POOL_HAS_PATH);
  check_obstacle (fail, &query, POOL_AVOIDED);
  check_obstacle (limit, &query, POOL_ELIGIBLE);
  check_obstacle (limit, &unlimited, POOL_LIMITED);
  check_obstacle (use_up_limit, &query, POOL_NO_PERMIT);
}

/* Guards against previews that count as demand or move the smoothed share: of
   two admissions with equal histories only one is asked for previews.  */
static void
test_admission (void)
{
  struct admission *asked = admission_create ();
  struct admission *other = admission_create ();
  struct admission_query query
      = { .service = 1, .remaining_ms = 4000, .first_event_ms = -1 };
  uint32_t refused = 0;
  uint32_t wrong = 0;

  for (int i = 0; i < ROUNDS; i++)
    {
      int64_t now_ms = NOW_MS + (int64_t)i * STEP_MS;
      struct admission_decision named;
      struct admission_decision made;
      struct admission_decision unasked;

      query.customer = 1 + (uint64_t)i % 3;
      query.random = id_hash64 (&i, sizeof i, 1);
      query.load = (struct admission_load){ .endpoints = 4,
                                            .reporting = 4,
                                            .slots = 32,
                                            .running = 32,
                                            .waiting = i };
      named = admission_preview (asked, &query, now_ms);
      made = admission_decide (asked, &query, now_ms);
      unasked = admission_decide (other, &query, now_ms);
      wrong += named.verdict != made.verdict
               || named.retry_after_ms != made.retry_after_ms
               || made.verdict != unasked.verdict
               || made.retry_after_ms != unasked.retry_after_ms
               || made.wait_ms != unasked.wait_ms;
      refused += made.verdict != ADMISSION_ADMITTED;
    }
  CU_ASSERT_EQUAL (wrong, 0);
  CU_ASSERT_TRUE (refused > 0 && refused < ROUNDS);
  admission_destroy (asked);
  admission_destroy (other);
}

/* Checks that the explanation's sentence contains TEXT, and whether it names
   an endpoint.  */
static void
check_summary (const struct explain_sources *sources,
               const struct explain_query *query, const char *text,
               bool is_picked)
{
  json_t *answer = explain_request (sources, query, NOW_MS);
  const char *summary
      = json_string_value (json_object_get (answer, "summary"));

  CU_ASSERT_PTR_NOT_NULL_FATAL (summary);
  CU_ASSERT_PTR_NOT_NULL (strstr (summary, text));
  CU_ASSERT_EQUAL (json_object_get (answer, "picked") != NULL, is_picked);
  json_decref (answer);
}

/* Guards against a summary that does not tell what decides.  */
static void
test_summaries (void)
{
  struct route_target target = { .service = 0, .weight = 1 };
  struct route route = { .name = (char *)"r",
                         .host = (char *)"h",
                         .path_prefix = (char *)"/a/",
                         .targets = &target,
                         .target_count = 1 };
  struct service service = { .name = (char *)"app" };
  struct routing *routing = routing_create ();
  struct explain_sources sources = { .pool = create_pool (7) };
  struct explain_query query = { .host = "h", .path = "/a/x" };

  check_summary (&sources, &query, "no configuration", false);
  routing->routes = &route;
  routing->services = &service;
  routing->route_count = routing->service_count = 1;
  routing_build_index (routing);
  sources.routing = routing;
  check_summary (&sources, &query, "Goes to e", true);
  query.version = "v2";
  check_summary (&sources, &query, "no endpoint of service app", false);
  query.version = NULL;
  query.customer = "nobody";
  check_summary (&sources, &query, "customer nobody is unknown", false);
  query.path = "/b";
  check_summary (&sources, &query, "no route", false);
  query = (struct explain_query){ .host = "h", .path = "/a/x" };
  for (size_t i = 0; i < ENDPOINTS; i++)
    use_up_limit ((struct pool *)sources.pool, pool_at (sources.pool, i));
  check_summary (&sources, &query, "Waits for a permit", false);
  for (size_t i = 0; i < ENDPOINTS; i++)
    {
      pool_at (sources.pool, i)->limit_milli = -1;
      fail ((struct pool *)sources.pool, pool_at (sources.pool, i));
    }
  check_summary (&sources, &query, "whose avoidance ends first", true);
  routing->routes = NULL;
  routing->services = NULL;
  routing->route_count = routing->service_count = 0;
  routing_unref (routing);
  pool_destroy ((struct pool *)sources.pool);
}

CU_TestInfo explain_tests[] = {
  { "the explained choice is the one made", test_choices },
  { "each reason against an endpoint", test_obstacles },
  { "admission's preview", test_admission },
  { "what decides is told first", test_summaries },
  CU_TEST_INFO_NULL,
};
