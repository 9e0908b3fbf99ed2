#include "common/buf.h"
#include "common/id.h"
#include "peer/packed_frame.h"
#include "request/endpoint_limiter.h"
#include "suites.h"
#include <CUnit/CUnit.h>
#include <stdlib.h>

enum
{
  LIMIT_MILLI = 8000,
  HIGH_LIMIT_MILLI = 200000, /* turns come at once */
  TICK_MS = 50,
  PAUSE_MS = 160, /* of the host, between two ticks */
  /* Longer than a permit is valid. */
  LONG_PAUSE_MS = 400,
  /* The spare takes over 300 ms after it has begun to ask; the question that
     shows the silence, and the one that finds it over, take 100 ms each.  It
     permits a second's requests less, as its predecessor may have permitted
     them. */
  REPLACE_MS = 1500,
  /* After a change of the hosts, until holders permit their whole share. */
  SETTLED_MS = 10000,
  START_MS = 100000,
};

/* A host whose questions to a holder are kept, and answered by the test. */
struct asking_host
{
  struct transport transport; /* first member */
  struct pool *pool;
  struct endpoint_limiter *limiter;
  uint64_t nonce; /* of the latest question */
  uint32_t questions;
  uint32_t results;
  bool is_granted;
};

static bool
keep_frame (struct transport *transport, const char *host,
            const Peer__Frame *frame)
{
  struct asking_host *asking = (struct asking_host *)transport;

  if (frame->body_case != PEER__FRAME__BODY_ENDPOINT_ASK)
    return true;
  asking->nonce = frame->endpoint_ask->nonce;
  asking->questions++;
  return true;
}

static void
ping (struct transport *transport, const char *host)
{
}

static int64_t
last_received_ms (struct transport *transport, const char *host)
{
  return 0;
}

static void
handle_result (void *data, bool is_granted, int64_t wait_ms)
{
  struct asking_host *asking = data;

  asking->results++;
  asking->is_granted = is_granted;
}

static void
create_host (struct asking_host *asking)
{
  static const struct transport_vtable vtable = {
    .send = keep_frame, .ping = ping, .last_received_ms = last_received_ms
  };
  static const struct host_location hosts[]
      = { { "h1", "b" }, { "h2", "c" } }; /* both are holders */
  struct endpoint_limiter_options options
      = { .host = "h0", .data_centre = "a" };
  struct endpoint_list *list = xcalloc (1, sizeof *list);

  *asking = (struct asking_host){ .transport.vtable = &vtable };
  options.transport = &asking->transport;
  options.pool = asking->pool = pool_create ("a");
  list->entries = xcalloc (1, sizeof *list->entries);
  list->count = 1;
  list->entries[0] = (struct endpoint_entry){ .id = xstrdup ("e"),
                                              .service = xstrdup ("app"),
                                              .address = xstrdup ("1.2.3.4:5"),
                                              .data_centre = xstrdup ("b"),
                                              .slots = 8 };
  pool_apply (asking->pool, list, START_MS);
  endpoint_list_destroy (list);
  asking->limiter = endpoint_limiter_create (&options);
  endpoint_limiter_set_hosts (asking->limiter, hosts, G_N_ELEMENTS (hosts),
                              START_MS);
  pool_at (asking->pool, 0)->limit_milli = LIMIT_MILLI;
}

static void
release_host (struct asking_host *asking)
{
  endpoint_limiter_destroy (asking->limiter);
  pool_destroy (asking->pool);
}

/* Asks for a permit and ticks until NOW_MS.  */
static void
ask (struct asking_host *asking, int64_t now_ms)
{
  struct permit_query query = { .endpoint = pool_at (asking->pool, 0),
                                .handler = handle_result,
                                .data = asking };
  struct permit_ask *pending = NULL;
  int64_t wait_ms;

  for (int64_t at_ms = START_MS; at_ms <= now_ms; at_ms += TICK_MS)
    endpoint_limiter_tick (asking->limiter, at_ms);
  CU_ASSERT_EQUAL (endpoint_limiter_acquire (asking->limiter, &query, now_ms,
                                             &wait_ms, &pending),
                   PERMIT_PENDING);
  CU_ASSERT_EQUAL (asking->questions, 1);
}

static void
answer (struct asking_host *asking, int64_t now_ms)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__EndpointPermit permit = PEER__ENDPOINT_PERMIT__INIT;

  permit.nonce = asking->nonce;
  permit.is_granted = true;
  permit.limit_milli = LIMIT_MILLI;
  frame.body_case = PEER__FRAME__BODY_ENDPOINT_PERMIT;
  frame.endpoint_permit = &permit;
  endpoint_limiter_handle_frame (asking->limiter, "h1", &frame, now_ms);
}

/* Guards against a host that was paused and takes questions for unanswered
   whose answers it has not read yet.  */
static void
test_pause_is_no_silence (void)
{
  struct asking_host asking;
  int64_t now_ms = START_MS + TICK_MS;

  create_host (&asking);
  ask (&asking, now_ms);
  now_ms += PAUSE_MS / 2;
  endpoint_limiter_tick (asking.limiter, now_ms);
  CU_ASSERT_EQUAL (asking.questions, 1);
  answer (&asking, now_ms);
  CU_ASSERT_EQUAL (asking.results, 1);
  CU_ASSERT (asking.is_granted);
  release_host (&asking);
}

/* Guards against questions that stay open after a pause.  */
static void
test_silence_after_a_pause (void)
{
  struct asking_host asking;
  int64_t now_ms = START_MS + TICK_MS;

  create_host (&asking);
  ask (&asking, now_ms);
  now_ms += PAUSE_MS;
  endpoint_limiter_tick (asking.limiter, now_ms);
  CU_ASSERT_EQUAL (asking.questions, 1);
  endpoint_limiter_tick (asking.limiter, now_ms + TICK_MS);
  CU_ASSERT_EQUAL (asking.questions, 2); /* to the spare holder */
  release_host (&asking);
}

/* Makes the host itself the spare holder, and h1 the primary one.  */
static void
make_spare (struct asking_host *asking)
{
  static const struct host_location hosts[] = { { "h0", "a" }, { "h1", "b" } };

  endpoint_limiter_set_hosts (asking->limiter, hosts, G_N_ELEMENTS (hosts),
                              START_MS);
}

static enum permit_verdict
acquire (struct asking_host *asking, int64_t now_ms)
{
  struct permit_query query = { .endpoint = pool_at (asking->pool, 0),
                                .max_wait_ms = 600,
                                .handler = handle_result,
                                .data = asking };
  struct permit_ask *pending = NULL;
  int64_t wait_ms;

  return endpoint_limiter_acquire (asking->limiter, &query, now_ms, &wait_ms,
                                   &pending);
}

/* Guards against requests that are refused after a pause of a host that is the
   spare holder: it denied them while it did not know yet whether the primary
   holder answers, instead of asking that one again.  */
static void
test_spare_asks_the_primary_again (void)
{
  struct asking_host asking;
  int64_t now_ms = START_MS + TICK_MS;

  create_host (&asking);
  make_spare (&asking);
  ask (&asking, now_ms);
  now_ms += LONG_PAUSE_MS;
  answer (&asking, now_ms);
  CU_ASSERT_EQUAL (asking.results, 0);
  CU_ASSERT_EQUAL (asking.questions, 2);
  answer (&asking, now_ms + 1);
  CU_ASSERT_EQUAL (asking.results, 1);
  CU_ASSERT (asking.is_granted);
  CU_ASSERT_EQUAL (acquire (&asking, now_ms + 2), PERMIT_PENDING);
  CU_ASSERT_EQUAL (asking.questions, 3);
  answer (&asking, now_ms + 3);
  CU_ASSERT_EQUAL (asking.results, 2);
  CU_ASSERT (asking.is_granted);
  release_host (&asking);
}

/* Guards against a spare holder that waits for a silent primary one for
   ever.  */
static void
test_silent_primary_is_replaced (void)
{
  struct asking_host asking;
  int64_t start_ms = START_MS + SETTLED_MS;
  int64_t now_ms = start_ms;
  enum permit_verdict verdict = PERMIT_PENDING;

  create_host (&asking);
  make_spare (&asking);
  pool_at (asking.pool, 0)->limit_milli = HIGH_LIMIT_MILLI;
  for (; verdict != PERMIT_GRANTED && !asking.is_granted
         && now_ms <= start_ms + REPLACE_MS;
       now_ms += TICK_MS)
    {
      endpoint_limiter_tick (asking.limiter, now_ms);
      verdict = acquire (&asking, now_ms);
    }
  CU_ASSERT (verdict == PERMIT_GRANTED || asking.is_granted);
  release_host (&asking);
}

CU_TestInfo late_tick_tests[] = {
  { "a pause of this host is no silence of a holder",
    test_pause_is_no_silence },
  { "a holder is silent after a pause", test_silence_after_a_pause },
  { "a spare holder asks the primary one again after a pause",
    test_spare_asks_the_primary_again },
  { "a silent primary holder is replaced", test_silent_primary_is_replaced },
  CU_TEST_INFO_NULL,
};
