#include "allocated.h"
#include "common/buf.h"
#include "common/id.h"
#include "common/memory.h"
#include "request/limits.h"
#include "suites.h"
#include <stdlib.h>
#include <string.h>

enum
{
  WINDOW_MS = 500,
  RATE_PER_S = 40,
  BURST = 20,
  /* 40 tokens. */
  WINDOW_TOKENS = RATE_PER_S * WINDOW_MS / 1000 + BURST,
  LONG_WAIT_MS = 5000, /* many windows */
  VERSIONS = 20,
  VERSION_CUSTOMERS = 500,
  MAX_ACCOUNT_ERROR_PERCENT = 10,
};

static const char customer_name[] = "c";

/* The only host of the fleet, which holds the whole rate itself. */
struct fixture
{
  struct ev_loop *loop;
  struct limits *limits;
  struct routing *routing;
  struct limits_waiter *wait;
  int admitted;
  int refused;
};

static void
fixture_init (struct fixture *fixture)
{
  static const struct host_location self = { .name = "h", .data_centre = "d" };
  struct limits_options options
      = { .host = "h", .data_centre = "d", .window_ms = WINDOW_MS };

  *fixture = (struct fixture){ .loop = ev_loop_new (EVFLAG_AUTO) };
  options.loop = fixture->loop;
  fixture->limits = limits_create (&options);
  limits_set_hosts (fixture->limits, &self, 1);
  fixture->routing = routing_create ();
  fixture->routing->customers
      = xcalloc (1, sizeof *fixture->routing->customers);
  fixture->routing->customers[0]
      = (struct customer){ .name = xstrdup (customer_name),
                           .rate_milli = RATE_PER_S * 1000,
                           .burst = BURST };
  fixture->routing->customer_count = 1;
  limits_apply (fixture->limits, fixture->routing);
  /* A newly assigned share starts empty, so wait until the rate has filled it.
   */
  ev_sleep (2.0 * WINDOW_MS / 1000);
}

static void
fixture_release (struct fixture *fixture)
{
  limits_destroy (fixture->limits);
  routing_unref (fixture->routing);
  ev_loop_destroy (fixture->loop);
}

static void
handle_admission (void *data, bool admitted)
{
  struct fixture *fixture = data;

  fixture->wait = NULL;
  if (admitted)
    fixture->admitted++;
  else
    fixture->refused++;
  ev_break (fixture->loop, EVBREAK_ALL);
}

/* Requests a token, waits for the result and returns whether the request was
   admitted.  */
static bool
admit (struct fixture *fixture, bool begins_program, int64_t max_wait_ms)
{
  int before = fixture->admitted;
  enum limits_verdict verdict = limits_admit (
      fixture->limits, &fixture->routing->customers[0], begins_program,
      max_wait_ms, handle_admission, fixture, &fixture->wait);

  if (verdict != LIMITS_PENDING)
    return verdict == LIMITS_ADMITTED;
  ev_run (fixture->loop, 0);
  return fixture->admitted > before;
}

static void
use_up_limit (struct fixture *fixture)
{
  for (int i = 0; i < WINDOW_TOKENS; i++)
    CU_ASSERT_TRUE (admit (fixture, false, 0));
}

/* When a customer exceeds its rate, a request of a running program must wait
   for the next token instead of being refused.  */
static void
test_running_program_waits (void)
{
  struct fixture fixture;

  fixture_init (&fixture);
  use_up_limit (&fixture);
  CU_ASSERT_TRUE (admit (&fixture, false, LONG_WAIT_MS));
  fixture_release (&fixture);
}

/* A request whose wait would expire before the next token must be refused
   immediately.  */
static void
test_hopeless_wait_is_refused (void)
{
  struct fixture fixture;
  int64_t started_ms;

  fixture_init (&fixture);
  use_up_limit (&fixture);
  started_ms = clock_now_ms ();
  CU_ASSERT_FALSE (admit (&fixture, false, WINDOW_MS / 10));
  CU_ASSERT (limits_retry_after_ms (fixture.limits,
                                    &fixture.routing->customers[0], false)
             > WINDOW_MS / 10);
  CU_ASSERT (clock_now_ms () - started_ms < WINDOW_MS);
  fixture_release (&fixture);
}

/* In a burst of new programs, some must be refused although tokens are left,
   since the programs admitted before need those tokens.  */
static void
test_new_programs_leave_tokens (void)
{
  struct fixture fixture;
  int admitted = 0;

  fixture_init (&fixture);
  for (int i = 0; i < WINDOW_TOKENS; i++)
    admitted += admit (&fixture, true, 0);
  CU_ASSERT (admitted >= 2);
  CU_ASSERT (admitted <= WINDOW_TOKENS / 4);
  for (int i = admitted; i < WINDOW_TOKENS; i++)
    CU_ASSERT_TRUE (admit (&fixture, false, 0));
  fixture_release (&fixture);
}

/* A caller cancels a waiting request; its handler must not be called.  */
static void
test_wait_is_cancelled (void)
{
  struct fixture fixture;

  fixture_init (&fixture);
  use_up_limit (&fixture);
  CU_ASSERT_EQUAL (
      limits_admit (fixture.limits, &fixture.routing->customers[0], false,
                    LONG_WAIT_MS, handle_admission, &fixture, &fixture.wait),
      LIMITS_PENDING);
  limits_cancel (fixture.wait);
  CU_ASSERT_TRUE (admit (&fixture, false, LONG_WAIT_MS));
  CU_ASSERT_EQUAL (fixture.admitted, 1);
  fixture_release (&fixture);
}

/* Guards against previews that take tokens or count as demand, and against
   ones that tell something else than what is done.  */
static void
test_preview (void)
{
  struct fixture fixture;
  const struct customer *customer;

  fixture_init (&fixture);
  customer = &fixture.routing->customers[0];
  for (int i = 0; i < 10 * WINDOW_TOKENS; i++)
    CU_ASSERT_EQUAL (
        limits_preview (fixture.limits, customer, i % 2 == 0).verdict,
        LIMITS_ADMITTED);
  use_up_limit (&fixture);
  CU_ASSERT_EQUAL (limits_preview (fixture.limits, customer, false).verdict,
                   LIMITS_PENDING);
  CU_ASSERT_FALSE (admit (&fixture, true, 0));
  CU_ASSERT_EQUAL (limits_preview (fixture.limits, customer, true).verdict,
                   LIMITS_REFUSED);
  fixture_release (&fixture);
}

/* Returns a version with customers that no other version has.  */
static struct routing *
create_version (uint32_t version)
{
  struct routing *routing = routing_create ();

  routing->customer_count = VERSION_CUSTOMERS;
  routing->customers = xcalloc (VERSION_CUSTOMERS, sizeof *routing->customers);
  for (uint32_t i = 0; i < VERSION_CUSTOMERS; i++)
    routing->customers[i]
        = (struct customer){ .name = xasprintf ("customer-%u-%u", version, i),
                             .rate_milli = RATE_PER_S * 1000,
                             .burst = BURST };
  return routing;
}

/* Guards against a host that keeps a window for each customer that any version
   ever had.  */
static void
test_gone_customers_are_forgotten (void)
{
  int64_t before = memory_used (MEMORY_CONFIG);
  int64_t first = 0;
  struct fixture fixture;

  fixture_init (&fixture);
  for (uint32_t i = 0; i < VERSIONS; i++)
    {
      struct routing *routing = create_version (VERSIONS + i);

      limits_apply (fixture.limits, routing);
      routing_unref (routing);
      if (i == 0)
        first = memory_used (MEMORY_CONFIG) - before;
      CU_ASSERT_EQUAL (memory_used (MEMORY_CONFIG) - before, first);
    }
  CU_ASSERT (first > 0);
  fixture_release (&fixture);
  CU_ASSERT_EQUAL (memory_used (MEMORY_CONFIG), before);
}

/* Guards against forgetting a customer for whose tokens a request waits: the
   request gets its token, and the customer is forgotten after that.  */
static void
test_gone_customer_with_a_waiter (void)
{
  struct routing *empty = routing_create ();
  struct fixture fixture;
  int64_t before = memory_used (MEMORY_CONFIG);

  fixture_init (&fixture);
  use_up_limit (&fixture);
  CU_ASSERT_EQUAL (
      limits_admit (fixture.limits, &fixture.routing->customers[0], false,
                    LONG_WAIT_MS, handle_admission, &fixture, &fixture.wait),
      LIMITS_PENDING);
  limits_apply (fixture.limits, empty);
  CU_ASSERT (memory_used (MEMORY_CONFIG) > before);
  ev_run (fixture.loop, 0);
  CU_ASSERT_EQUAL (fixture.admitted, 1);
  ev_run (fixture.loop, EVRUN_NOWAIT);
  limits_apply (fixture.limits, empty);
  CU_ASSERT_EQUAL (memory_used (MEMORY_CONFIG), before);
  /* It returns with an empty share, so that no token is granted twice. */
  limits_apply (fixture.limits, fixture.routing);
  CU_ASSERT_FALSE (admit (&fixture, false, 0));
  CU_ASSERT_TRUE (admit (&fixture, false, LONG_WAIT_MS));
  routing_unref (empty);
  fixture_release (&fixture);
}

/* Guards against an account that does not tell what a customer takes, which
   docs/CAPACITY.md has a row for.  */
static void
test_account_of_customers (void)
{
  struct routing *routing = create_version (0);
  struct fixture fixture;
  int64_t accounted;
  int64_t allocated;

  fixture_init (&fixture);
  accounted = memory_used (MEMORY_CONFIG);
  allocated = allocated_bytes ();
  limits_apply (fixture.limits, routing);
  accounted = memory_used (MEMORY_CONFIG) - accounted;
  allocated = allocated_bytes () - allocated;
  if (!HAS_SANITIZER_ALLOCATOR)
    CU_ASSERT (llabs (accounted - allocated) * 100
               <= allocated * MAX_ACCOUNT_ERROR_PERCENT);
  routing_unref (routing);
  fixture_release (&fixture);
}

CU_TestInfo limits_tests[] = {
  { "a preview takes no token", test_preview },
  { "a running program waits for a token", test_running_program_waits },
  { "a wait that cannot succeed is refused", test_hopeless_wait_is_refused },
  { "new programs leave tokens to running ones",
    test_new_programs_leave_tokens },
  { "a wait is cancelled", test_wait_is_cancelled },
  { "customers' account is what they take", test_account_of_customers },
  { "gone customers are forgotten", test_gone_customers_are_forgotten },
  { "a gone customer with a waiter", test_gone_customer_with_a_waiter },
  CU_TEST_INFO_NULL,
};
