#include "allocated.h"
#include "common/buf.h"
#include "common/memory.h"
#include "request/pool.h"
#include "request/stream_memory.h"
#include "suites.h"
#include <stdlib.h>

enum
{
  NOW_MS = 1000,
  LATER_MS = NOW_MS + 2 * STREAM_TTL_MS,
  ENDPOINTS = 24,       /* enough to track more parts than there is room for */
  PARTS = 4000,         /* sent to each of them */
  ROUNDS = 16,          /* of expiry, one a second */
  FIRST_SERVICE = 1000, /* names of the same length */
  LAST_SERVICE = 1999,
  /* Less than a tenth of what is learned of so many services. */
  MAX_GROWTH_BYTES = 16 * 1024,
};

/* Lists an endpoint of service "app" for each of VERSIONS, which ends with
   NULL.  */
static void
list_versions (struct pool *pool, const char *const *versions, int64_t now_ms)
{
  struct endpoint_list *list = xcalloc (1, sizeof *list);

  for (; versions[list->count]; list->count++)
    {
      list->entries = xrealloc (list->entries,
                                (list->count + 1) * sizeof *list->entries);
      list->entries[list->count]
          = (struct endpoint_entry){ .id = xasprintf ("e%zu", list->count),
                                     .service = xstrdup ("app"),
                                     .address = xstrdup ("127.0.0.1:1"),
                                     .data_centre = xstrdup ("a"),
                                     .version
                                     = xstrdup (versions[list->count]),
                                     .slots = 1 };
    }
  pool_apply (pool, list, now_ms);
  endpoint_list_destroy (list);
}

static const char *const both[] = { "v1", "v2", NULL };
static const char *const first[] = { "v1", NULL };
static const char *const second[] = { "v2", NULL };

/* Returns the build of the endpoint at INDEX.  */
static uint64_t
build_at (const struct pool *pool, size_t index)
{
  return pool_at (pool, index)->build;
}

/* Guards against taking versions that serve side by side for one build: a
   stream would go on at the other one.  */
static void
test_versions_side_by_side (void)
{
  struct pool *pool = pool_create ("a");

  list_versions (pool, both, NOW_MS);
  CU_ASSERT_NOT_EQUAL (build_at (pool, 0), build_at (pool, 1));
  CU_ASSERT_TRUE (pool_has_build (pool, "app", build_at (pool, 0)));
  CU_ASSERT_TRUE (pool_has_build (pool, "app", build_at (pool, 1)));
  pool_destroy (pool);
}

/* Guards against resuming a stream of a version that has been removed at the
   one that is left.  */
static void
test_removed_version (void)
{
  struct pool *pool = pool_create ("a");
  uint64_t removed;

  list_versions (pool, both, NOW_MS);
  removed = build_at (pool, 0);
  list_versions (pool, second, LATER_MS);
  CU_ASSERT_FALSE (pool_has_build (pool, "app", removed));
  CU_ASSERT_TRUE (pool_has_build (pool, "app", build_at (pool, 0)));
  pool_destroy (pool);
}

/* Guards against taking a version that replaces all endpoints at once, under
   their ids, for the one before, and against not knowing that one when it is
   back.  */
static void
test_replaced_version (void)
{
  struct pool *pool = pool_create ("a");
  uint64_t build;

  list_versions (pool, first, NOW_MS);
  build = build_at (pool, 0);
  list_versions (pool, second, LATER_MS);
  CU_ASSERT_FALSE (pool_has_build (pool, "app", build));
  list_versions (pool, first, LATER_MS);
  CU_ASSERT_TRUE (pool_has_build (pool, "app", build));
  pool_destroy (pool);
}

/* Sends a request with the prompt part ID to ENDPOINT.  */
static void
send_part (struct pool *pool, struct pool_endpoint *endpoint, uint64_t id,
           int64_t now_ms)
{
  struct prompt_part part = { .id = id, .tokens = 1 };
  struct pool_query query
      = { .service = "app", .parts = &part, .part_count = 1 };

  pool_acquire (endpoint, &query, now_ms);
  pool_release (pool, endpoint);
}

static bool
is_tracked (const struct pool_endpoint *endpoint, uint64_t id, int64_t now_ms)
{
  struct prompt_part part = { .id = id, .tokens = 1 };
  struct pool_query query
      = { .service = "app", .parts = &part, .part_count = 1 };

  return pool_cached_tokens (endpoint, &query, now_ms) > 0;
}

/* Guards against prompt parts that grow with the number of endpoints until the
   host is out of memory, against parts that take more than their price, and
   against a full table that learns nothing new.  */
static void
test_parts_are_bounded (void)
{
  const char *versions[ENDPOINTS + 1] = { NULL };
  struct pool *pool = pool_create ("a");
  int64_t used_bytes = memory_used (MEMORY_TABLES);
  int64_t now_ms = NOW_MS;
  int64_t before;
  uint64_t id = 0;

  for (int i = 0; i < ENDPOINTS; i++)
    versions[i] = "v";
  list_versions (pool, versions, NOW_MS);
  before = allocated_bytes ();
  for (size_t i = 0; i < ENDPOINTS; i++)
    for (int k = 0; k < PARTS; k++)
      send_part (pool, pool_at (pool, i), ++id, now_ms);
  CU_ASSERT_EQUAL (pool_part_count (pool), POOL_MAX_PARTS);
  CU_ASSERT_EQUAL (memory_used (MEMORY_TABLES) - used_bytes,
                   (int64_t)POOL_MAX_PARTS * POOL_PART_BYTES);
  CU_ASSERT_TRUE (allocated_bytes () - before
                  <= (int64_t)POOL_MAX_PARTS * POOL_PART_BYTES);
  for (int i = 0; i < ROUNDS && !is_tracked (pool_at (pool, 0), id, now_ms);
       i++)
    {
      now_ms += 1000;
      pool_expire_prompt_parts (pool, now_ms);
      send_part (pool, pool_at (pool, 0), ++id, now_ms);
    }
  CU_ASSERT_TRUE (is_tracked (pool_at (pool, 0), id, now_ms));
  pool_destroy (pool);
  CU_ASSERT_EQUAL (memory_used (MEMORY_TABLES), used_bytes);
}

static void
list_service (struct pool *pool, uint32_t number, const char *configured)
{
  struct endpoint_entry entry = { .id = (char *)"e",
                                  .service = xasprintf ("service-%u", number),
                                  .address = (char *)"127.0.0.1:1",
                                  .data_centre = (char *)"a",
                                  .slots = 1 };
  struct endpoint_list list = { .entries = &entry, .count = 1 };
  struct pool_cold_rate rate = { .service = configured };

  pool_apply (pool, &list, NOW_MS);
  pool_set_cold_rates (pool, &rate, 1, NOW_MS);
  free (entry.service);
}

/* Guards against a host that keeps what it learned of each service that any
   endpoint or version ever named; and against forgetting what endpoints still
   refer to.  */
static void
test_gone_services_are_forgotten (void)
{
  struct pool *pool = pool_create ("a");
  int64_t held = 0;

  for (uint32_t i = FIRST_SERVICE; i <= LAST_SERVICE; i++)
    {
      list_service (pool, i, "app");
      if (i == FIRST_SERVICE + 1)
        held = allocated_bytes ();
      CU_ASSERT_PTR_NOT_NULL (pool_at (pool, 0)->speed.service);
    }
  CU_ASSERT (allocated_bytes () - held <= MAX_GROWTH_BYTES);
  pool_destroy (pool);
}

CU_TestInfo pool_tests[] = {
  { "versions side by side", test_versions_side_by_side },
  { "a removed version", test_removed_version },
  { "a replaced version", test_replaced_version },
  { "the prompt parts are bounded", test_parts_are_bounded },
  { "gone services are forgotten", test_gone_services_are_forgotten },
  CU_TEST_INFO_NULL,
};
