#include "allocated.h"
#include "common/counters.h"
#include "common/id.h"
#include "common/memory.h"
#include "local_pipeline.h"
#include "request/chosen_route.h"
#include "suites.h"
#include "wide_routing.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  VERSIONS = 20,
  ROUTES = 3000,
  SERVICES = 6,
  CUSTOMERS = 300,
  ENDPOINTS = 4,
  TIMEOUT_MS = 20000, /* of the requests, which end long before */
  WAIT_MS = 10000,    /* for what happens within milliseconds */
  /* Of what one more request keeps of its version: a twentieth of what an open
     stream takes, docs/CAPACITY.md. */
  REQUEST_BYTES_MAX = 1024,
  MAX_ACCOUNT_ERROR_PERCENT = 10,
};

#define OWN                                                                   \
  "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nServer-Stamp: s\r\n"                   \
  "Content-Length: 3\r\n\r\nown"

/* Callers of which each has a request open since another version. */
struct callers
{
  struct local_pipeline *local;
  struct request_sink sink;
  uint32_t answered;
  uint32_t refused;
};

static struct callers *
callers_from_sink (struct request_sink *sink)
{
  return (struct callers *)((char *)sink - offsetof (struct callers, sink));
}

static void
count_refusal (struct request_sink *sink, const struct error *error)
{
  callers_from_sink (sink)->refused++;
}

static void
count_response (struct request_sink *sink, const struct response_head *head,
                const struct buf *body)
{
  if (head->status == 200)
    callers_from_sink (sink)->answered++;
  else
    callers_from_sink (sink)->refused++;
}

static struct raw_answer
answer_nothing (void *data, struct raw_endpoint *endpoint, const char *request)
{
  return (struct raw_answer){ .end = RAW_KEEP };
}

static uint32_t
requests_seen (const struct callers *callers)
{
  uint32_t seen = 0;

  for (uint32_t i = 0; i < ENDPOINTS; i++)
    seen += callers->local->endpoints[i]->requests;
  return seen;
}

/* Runs the loop until the endpoints have got SEEN requests and ENDED requests
   have ended.  */
static void
run_until (struct callers *callers, uint32_t seen, uint32_t ended)
{
  int64_t until_ms = clock_now_ms () + WAIT_MS;

  while ((requests_seen (callers) < seen
          || callers->answered + callers->refused < ended)
         && clock_now_ms () < until_ms)
    ev_run (callers->local->loop, EVRUN_ONCE);
  CU_ASSERT_EQUAL (requests_seen (callers), seen);
  CU_ASSERT_EQUAL (callers->answered + callers->refused, ended);
}

static void
start_request (struct callers *callers)
{
  struct request_input *input = xcalloc (1, sizeof *input);

  input->id = xstrdup ("1");
  input->method = xstrdup ("POST");
  input->target = xstrdup ("/x");
  input->path = xstrdup ("/x");
  input->host = xstrdup ("h");
  input->resume_after = -1;
  input->deadline_ms = input->token_budget = input->prompt_tokens = -1;
  input->max_output_tokens = -1;
  request_start (callers->local->pipeline, input, &callers->sink);
}

static void
apply_version (struct callers *callers, int64_t version,
               enum route_retry_mode mode, bool has_route)
{
  struct wide_size size = { .version = version,
                            .routes = ROUTES,
                            .services = SERVICES,
                            .customers = CUSTOMERS };
  struct route route = { .name = (char *)"used",
                         .host = (char *)"h",
                         .path_prefix = (char *)"/",
                         .retry_mode = mode,
                         .is_open = true,
                         .timeout_ms = TIMEOUT_MS,
                         .max_attempts = VERSIONS };
  struct routing *routing = wide_routing_create (&size);

  if (has_route)
    wide_routing_add (routing, &route);
  routing_build_index (routing);
  pipeline_apply (callers->local->pipeline, routing);
}

static void
callers_init (struct callers *callers)
{
  struct local_pipeline_options options = { .route.retry_mode = ROUTE_ONCE,
                                            .route.timeout_ms = TIMEOUT_MS,
                                            .answer = answer_nothing,
                                            .endpoint_count = ENDPOINTS };

  *callers = (struct callers){ .local = local_pipeline_create (&options),
                               .sink = { .refuse = count_refusal,
                                         .respond = count_response } };
}

/* Opens a request under each of VERSIONS versions, with the account checked
   after each.  */
static void
open_under_each_version (struct callers *callers)
{
  int64_t one_version = 0;
  int64_t held = counter_get (COUNTER_CONFIG_VERSIONS);

  for (uint32_t i = 0; i < VERSIONS; i++)
    {
      apply_version (callers, i + 1, ROUTE_ONCE, true);
      if (i == 0)
        one_version = memory_used (MEMORY_CONFIG);
      CU_ASSERT_EQUAL (counter_get (COUNTER_CONFIG_VERSIONS), held);
      CU_ASSERT (memory_used (MEMORY_CONFIG)
                 <= one_version + (int64_t)i * REQUEST_BYTES_MAX);
      start_request (callers);
      run_until (callers, i + 1, 0);
    }
}

/* Guards against a host that keeps a whole version of the configuration for
   each change that a request has seen, and so runs out of memory in a storm of
   changes; and against a request that takes on a later version's retry mode.
 */
static void
test_versions_are_freed_under_requests (void)
{
  int64_t before = memory_used (MEMORY_CONFIG);
  struct callers callers;

  callers_init (&callers);
  open_under_each_version (&callers);
  apply_version (&callers, VERSIONS + 1, ROUTE_IDEMPOTENT, true);
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    raw_endpoint_end_all (callers.local->endpoints[i], RAW_CLOSE, "");
  run_until (&callers, VERSIONS, VERSIONS);
  CU_ASSERT_EQUAL (callers.refused, VERSIONS);
  local_pipeline_destroy (callers.local);
  CU_ASSERT_EQUAL (memory_used (MEMORY_CONFIG), before);
}

/* Guards against a request that loses its answer since a later version has
   dropped its route.  */
static void
test_answers_arrive_after_the_route_is_gone (void)
{
  struct callers callers;

  callers_init (&callers);
  open_under_each_version (&callers);
  apply_version (&callers, VERSIONS + 1, ROUTE_ONCE, false);
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    raw_endpoint_end_all (callers.local->endpoints[i], RAW_KEEP, OWN);
  run_until (&callers, VERSIONS, VERSIONS);
  CU_ASSERT_EQUAL (callers.answered, VERSIONS);
  local_pipeline_destroy (callers.local);
}

/* Asserts that ACCOUNTED bytes, which WHAT is said to take, are those which it
   took of the allocator.  */
static void
check_price (const char *what, int64_t accounted, int64_t allocated)
{
  int64_t error = llabs (accounted - allocated);

  if (HAS_SANITIZER_ALLOCATOR)
    return;
  if (error * 100 > allocated * MAX_ACCOUNT_ERROR_PERCENT)
    fprintf (stderr, "\n%s: %lld bytes accounted, %lld allocated\n", what,
             (long long)accounted, (long long)allocated);
  CU_ASSERT (error * 100 <= allocated * MAX_ACCOUNT_ERROR_PERCENT);
}

/* Guards against an account that does not tell what a version takes: hosts
   log it, and its rows in docs/CAPACITY.md say what one more route or customer
   costs.  */
static void
test_account_of_a_version (void)
{
  static const struct wide_size sizes[] = {
    { .routes = 5000, .services = SERVICES, .customers = 1800 },
    { .routes = 5000, .services = SERVICES },
    { .routes = 3000, .services = SERVICES },
    { .services = SERVICES, .customers = 1800 },
    { .services = SERVICES, .customers = 1000 },
    { .services = 600 },
  };

  for (size_t i = 0; i < sizeof sizes / sizeof *sizes; i++)
    {
      int64_t accounted = memory_used (MEMORY_CONFIG);
      int64_t allocated = allocated_bytes ();
      struct routing *routing = wide_routing_create (&sizes[i]);
      char *what = xasprintf ("%u routes, %u customers", sizes[i].routes,
                              sizes[i].customers);

      routing_build_index (routing);
      check_price (what, memory_used (MEMORY_CONFIG) - accounted,
                   allocated_bytes () - allocated);
      free (what);
      routing_unref (routing);
      CU_ASSERT_EQUAL (memory_used (MEMORY_CONFIG), accounted);
    }
}

/* Guards against the same for what a request keeps.  */
static void
test_account_of_a_request (void)
{
  struct wide_size size
      = { .routes = ROUTES, .services = SERVICES, .customers = CUSTOMERS };
  struct routing *routing = wide_routing_create (&size);
  struct chosen_route **chosen = xcalloc (ROUTES, sizeof *chosen);
  int64_t accounted;
  int64_t allocated;

  routing_build_index (routing);
  accounted = memory_used (MEMORY_CONFIG);
  allocated = allocated_bytes ();
  for (uint32_t i = 0; i < ROUTES; i++)
    chosen[i] = chosen_route_create (routing, &routing->routes[i],
                                     &routing->customers[i % CUSTOMERS]);
  accounted = memory_used (MEMORY_CONFIG) - accounted;
  check_price ("what requests keep", accounted,
               allocated_bytes () - allocated);
  CU_ASSERT (accounted / ROUTES <= REQUEST_BYTES_MAX);
  for (uint32_t i = 0; i < ROUTES; i++)
    chosen_route_destroy (chosen[i]);
  free (chosen);
  routing_unref (routing);
}

/* Asserts that the route NAME, NULL for none, serves PATH on HOST.  */
static void
check_route (const struct routing *routing, const char *host, const char *path,
             const char *name)
{
  const struct route *route = routing_find_route (routing, host, path);

  if (!name || !route)
    CU_ASSERT_TRUE (!name && !route);
  if (name && route)
    CU_ASSERT_STRING_EQUAL (route->name, name);
}

/* Adds routes of one host, in an order that is not that of their lengths, and
   of a host whose name begins with that one.  */
static void
add_overlapping_routes (struct routing *routing)
{
  static const struct route routes[] = { { .name = (char *)"short",
                                           .host = (char *)"h",
                                           .path_prefix = (char *)"/" },
                                         { .name = (char *)"long",
                                           .host = (char *)"h",
                                           .path_prefix = (char *)"/a/b" },
                                         { .name = (char *)"twin",
                                           .host = (char *)"h",
                                           .path_prefix = (char *)"/a/c" },
                                         { .name = (char *)"other",
                                           .host = (char *)"hh",
                                           .path_prefix = (char *)"/z" } };

  for (size_t i = 0; i < sizeof routes / sizeof *routes; i++)
    wide_routing_add (routing, &routes[i]);
}

/* Guards against lookups in a wide version that miss a route or a key, or find
   another's.  */
static void
test_lookups (void)
{
  struct wide_size size
      = { .routes = ROUTES, .services = SERVICES, .customers = CUSTOMERS };
  struct routing *routing = wide_routing_create (&size);

  add_overlapping_routes (routing);
  routing_add_key (routing, "key-of-customer-0", CUSTOMERS - 1);
  routing_build_index (routing);
  for (uint32_t i = 0; i < ROUTES; i++)
    {
      char *host = xasprintf ("department-%u.example.org:8443", i);
      char *path = xasprintf ("/v1/department/%u/x", i);

      CU_ASSERT_PTR_EQUAL (routing_find_route (routing, host, path),
                           &routing->routes[i]);
      free (path);
      free (host);
    }
  check_route (routing, "h", "/a/b/c", "long");
  check_route (routing, "h", "/a/c", "twin");
  check_route (routing, "h:80", "/a/", "short");
  check_route (routing, "hh", "/z", "other");
  check_route (routing, "hh", "/a/b", NULL);
  check_route (routing, "hhh", "/z", NULL);
  check_route (routing, "", "/", NULL);
  check_route (routing, NULL, "/", NULL);
  for (uint32_t i = 1; i < CUSTOMERS; i++)
    {
      char *key = xasprintf ("key-of-customer-%u", i);

      CU_ASSERT_PTR_EQUAL (routing_find_customer (routing, key),
                           &routing->customers[i]);
      free (key);
    }
  CU_ASSERT_PTR_EQUAL (routing_find_customer (routing, "key-of-customer-0"),
                       &routing->customers[CUSTOMERS - 1]);
  CU_ASSERT_PTR_NULL (routing_find_customer (routing, "unknown"));
  routing_unref (routing);
}

CU_TestInfo config_versions_tests[] = {
  { "versions are freed while requests of theirs run",
    test_versions_are_freed_under_requests },
  { "answers arrive after the route is gone",
    test_answers_arrive_after_the_route_is_gone },
  { "a version's account is what it takes", test_account_of_a_version },
  { "a request's account is what it keeps", test_account_of_a_request },
  { "lookups in a wide version", test_lookups },
  CU_TEST_INFO_NULL,
};
