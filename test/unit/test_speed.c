#include "common/buf.h"
#include "policy/speed.h"
#include "request/pool.h"
#include "suites.h"
#include <string.h>

enum
{
  EVENT_US = 5000,
  CALL_US = 40000,
  SLOTS = 16,
  START_MS = 100000,
  INTERVAL_MS = 330, /* a host sees an endpoint some three times a second */
  FOLLOW_MS = 2000,
};

static struct speed_figures
estimate (const struct speed *own, int64_t now_ms)
{
  static const struct speed nothing;
  struct speed_figures figures;

  speed_estimate (own, &nothing, speed_default_prior (), now_ms, &figures);
  return figures;
}

static int64_t
event_us (const struct speed *speed, int64_t running, int64_t now_ms)
{
  struct speed_figures figures = estimate (speed, now_ms);
  struct speed_load load = { .running = running, .slots = SLOTS };

  return speed_event_us (&figures, &load);
}

/* Records streams for DURATION_MS and returns the time at their end.  */
static int64_t
record_streams (struct speed *speed, int64_t running, int64_t step_us,
                int64_t now_ms, int64_t duration_ms)
{
  struct speed_load load = { .running = running, .slots = SLOTS };

  for (int64_t end_ms = now_ms + duration_ms; now_ms < end_ms;
       now_ms += INTERVAL_MS)
    {
      struct speed_figures figures = estimate (speed, now_ms);

      speed_record_events (speed, &figures, &load, step_us, now_ms);
    }
  return now_ms;
}

/* A caller that stalls, or a lost packet, makes single streams take very long.
   They must not ease the endpoint out: its estimate stays within a quarter,
   far from the factor of two that makes programs late.  */
static void
test_outliers_count_little (void)
{
  struct speed speed = { 0 };
  int64_t now_ms = record_streams (&speed, 1, EVENT_US, START_MS, 5000);

  now_ms = record_streams (&speed, 1, EVENT_US * 30, now_ms, 1);
  CU_ASSERT (event_us (&speed, 1, now_ms) < EVENT_US * 5 / 4);
}

/* Engines turn 5 times slower for 6 s.  With three requests a second, four
   fifths of the change must be known after 2 s, and as much of the way back
   2 s after its end.  */
static void
test_change_is_followed (void)
{
  struct speed speed = { 0 };
  int64_t now_ms = record_streams (&speed, 1, EVENT_US, START_MS, 5000);

  now_ms = record_streams (&speed, 1, EVENT_US * 5, now_ms, FOLLOW_MS);
  CU_ASSERT (event_us (&speed, 1, now_ms) >= EVENT_US * 4);
  now_ms = record_streams (&speed, 1, EVENT_US, now_ms, FOLLOW_MS);
  CU_ASSERT (event_us (&speed, 1, now_ms) <= EVENT_US * 2);
}

/* Without requests, a slow endpoint counts as usual again after some time:
   otherwise nobody would find out that it is fast again.  */
static void
test_estimate_decays (void)
{
  struct speed speed = { 0 };
  int64_t now_ms = record_streams (&speed, 1, EVENT_US * 5, START_MS, 5000);

  CU_ASSERT (event_us (&speed, 1, now_ms + 12000) < EVENT_US * 2);
}

/* The machine of an endpoint is shared: its work takes 60 to 400 % of the
   usual time, as it reports, and 200 times otherwise in between.  The learned
   speed stays within a tenth.  */
static void
test_work_percent_is_not_learned (void)
{
  struct speed speed = { 0 };
  int64_t now_ms = START_MS;

  for (int i = 0; i < 200; i++)
    {
      int64_t percent = 60 + (i * 7919) % 340;
      struct speed_load load
          = { .running = 1, .slots = SLOTS, .work_percent = percent };
      struct speed_figures figures = estimate (&speed, now_ms);

      speed_record_events (&speed, &figures, &load, EVENT_US * percent / 100,
                           now_ms);
      now_ms += 20;
    }
  CU_ASSERT (event_us (&speed, 1, now_ms) > EVENT_US * 9 / 10);
  CU_ASSERT (event_us (&speed, 1, now_ms) < EVENT_US * 11 / 10);
}

/* Some endpoints take three times as long when nearly full.  They must look so
   only for the request that would fill them.  */
static void
test_slowdown_when_nearly_full (void)
{
  struct speed speed = { 0 };
  struct speed_figures figures;
  int64_t now_ms = record_streams (&speed, 4, EVENT_US, START_MS, 3000);

  now_ms = record_streams (&speed, SLOTS, EVENT_US * 3, now_ms, 3000);
  figures = estimate (&speed, now_ms);
  CU_ASSERT (event_us (&speed, SLOTS, now_ms)
             > event_us (&speed, 4, now_ms) * 2);
  CU_ASSERT (event_us (&speed, 4, now_ms) < EVENT_US * 3 / 2);
  CU_ASSERT_EQUAL (speed_knee (&figures, SLOTS), 14);
}

/* Endpoints fail 42 % of their requests for 6 s while healthy.  A call that
   cannot be repeated avoids them after 2 s of requests, and 8 s after the last
   one they are used again.  */
static void
test_errors_ease_out_and_back (void)
{
  struct speed speed = { 0 };
  int64_t now_ms = START_MS;

  for (int i = 0; i < FOLLOW_MS / INTERVAL_MS; i++, now_ms += INTERVAL_MS)
    speed_record_outcome (&speed, i * 42 % 100 >= 42, now_ms);
  CU_ASSERT (estimate (&speed, now_ms).values[SPEED_ERROR_PERMILLE]
             >= PLACE_UNSAFE_PERMILLE);
  CU_ASSERT (estimate (&speed, now_ms + 8000).values[SPEED_ERROR_PERMILLE]
             < PLACE_UNSAFE_PERMILLE);
}

/* Frames come from other versions and hosts: extreme figures must neither
   overflow nor stay, and unknown ones be ignored.  */
static void
test_extreme_figures_are_bounded (void)
{
  uint32_t figures[SPEED_FIGURES + 3];
  static const struct speed own;
  struct speed shared = { 0 };
  struct speed_figures estimated;
  struct speed_load load = { .running = 1000, .slots = 1000 };

  memset (figures, 0xff, sizeof figures);
  speed_merge (&shared, figures, SPEED_FIGURES + 3, UINT32_MAX, START_MS);
  speed_estimate (&own, &shared, speed_default_prior (), START_MS, &estimated);
  load.work_percent = 10000;
  CU_ASSERT (speed_first_event_us (&estimated, &load, 1000000) > 0);
  speed_estimate (&own, &shared, speed_default_prior (), START_MS + 60000,
                  &estimated);
  CU_ASSERT (estimated.values[SPEED_EVENT_US] < EVENT_US * 2);
}

static void
apply_endpoints (struct pool *pool, int64_t first_started_ms, int64_t now_ms)
{
  struct endpoint_entry entries[4];
  struct endpoint_list list = { .entries = entries, .count = 4 };

  for (int i = 0; i < 4; i++)
    entries[i] = (struct endpoint_entry){ .id = xasprintf ("e%d", i),
                                          .service = (char *)"tool",
                                          .address = (char *)"127.0.0.1:1",
                                          .data_centre = (char *)"a",
                                          .slots = 6,
                                          .started_ms
                                          = i == 0 ? first_started_ms : 1 };
  pool_apply (pool, &list, now_ms);
  for (int i = 0; i < 4; i++)
    free (entries[i].id);
}

/* An endpoint of which nothing is known is expected to be as the others of its
   service, not as the constants say; and one that starts anew is no longer
   taken to be as slow as it was.  */
static void
test_prior_and_restart (void)
{
  struct pool *pool = pool_create ("a");
  struct pool_query query = { .service = "tool" };
  struct pool_outcome outcome = { .running = 1 };
  int64_t now_ms = START_MS;

  apply_endpoints (pool, 1, now_ms);
  for (int i = 0; i < 20; i++, now_ms += INTERVAL_MS)
    for (size_t k = 0; k < 3; k++)
      {
        outcome.elapsed_ms = k == 0 ? 400 : 80;
        pool_record_call (pool_at (pool, k), &outcome, now_ms);
        pool_pick (pool, &query, now_ms);
      }
  CU_ASSERT (
      pool_predict_first_event_ms (pool, pool_at (pool, 0), &query, now_ms)
      > 300);
  CU_ASSERT (
      pool_predict_first_event_ms (pool, pool_at (pool, 3), &query, now_ms)
      > 60);
  apply_endpoints (pool, 2, now_ms);
  CU_ASSERT (
      pool_predict_first_event_ms (pool, pool_at (pool, 0), &query, now_ms)
      < 250);
  pool_destroy (pool);
}

CU_TestInfo speed_tests[] = {
  { "outliers count little", test_outliers_count_little },
  { "a change of speed is followed", test_change_is_followed },
  { "an estimate decays without requests", test_estimate_decays },
  { "reported work percent is not learned", test_work_percent_is_not_learned },
  { "slowdown when nearly full", test_slowdown_when_nearly_full },
  { "errors ease out and back", test_errors_ease_out_and_back },
  { "extreme figures are bounded", test_extreme_figures_are_bounded },
  { "prior of the service, and restart", test_prior_and_restart },
  CU_TEST_INFO_NULL,
};
