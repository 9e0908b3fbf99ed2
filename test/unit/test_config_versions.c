#include "common/counters.h"
#include "common/id.h"
#include "common/memory.h"
#include "local_pipeline.h"
#include "suites.h"
#include "wide_routing.h"
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

CU_TestInfo config_versions_tests[] = {
  { "versions are freed while requests of theirs run",
    test_versions_are_freed_under_requests },
  { "answers arrive after the route is gone",
    test_answers_arrive_after_the_route_is_gone },
  CU_TEST_INFO_NULL,
};
