#include "common/counters.h"
#include "common/id.h"
#include "fake_keepers.h"
#include "gate.h"
#include "local_pipeline.h"
#include "request/event_data.h"
#include "suites.h"
#include <string.h>

enum
{
  KEEPERS = 9,
  CENTRES = 3,
  LOSSES = 2,
  TIMEOUT_MS = 1500,
  TICK_MS = 1,
  HOLD_MS = 100,      /* for which keepers withhold their acknowledgements */
  UNCERTAIN_MS = 400, /* the design's bound for a read without all answers */
  AT_ONCE_MS = 50,    /* the callers' bound for a refusal that is known */
  RELAY_TRIES = 40,
};

#define HEAD                                                                  \
  "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\n"                  \
  "Content-Type: text/event-stream\r\n"
#define FULL                                                                  \
  "HTTP/1.1 503 Full\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\n"                \
  "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
#define EVENTS                                                                \
  "id: 1\ndata: a\ndata:  b\n\nid: 2\r\nevent: x\r\ndata:c\r\n\r\n"
#define OUTPUT "a\n b\nc\n"

enum endpoint_behaviour
{
  ENDPOINT_ANSWERS,
  ENDPOINT_BREAKS_OFF,   /* after the events, before the end of the body */
  ENDPOINT_STALLS,       /* the same, without closing the connection */
  ENDPOINT_SAYS_NOTHING, /* a complete response without events */
};

/* A host with keepers and an endpoint, and a caller of one turn at a time. */
struct chat
{
  struct fake_keepers fleet;
  struct conversations *client;
  struct local_pipeline *local;
  ev_timer clock;
  enum endpoint_behaviour behaviour;
  uint32_t refusals; /* of the endpoint, the next ones */
  char id[16];       /* of the turn that is under way */
  char answer[512];
  struct buf body; /* of the last request that arrived */
  uint32_t sends;  /* that arrived */
  struct buf first_body;
};

static void
handle_clock (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct chat *chat = timer->data;

  fake_keepers_run (&chat->fleet, clock_now_ms ());
}

static struct raw_answer
answer (void *data, struct raw_endpoint *endpoint, const char *request)
{
  struct chat *chat = data;
  const char *body = strstr (request, "\r\n\r\n") + 4;
  struct buf *record = chat->sends++ == 0 ? &chat->first_body : &chat->body;
  size_t whole = strlen (EVENTS);
  bool is_short = chat->behaviour == ENDPOINT_BREAKS_OFF
                  || chat->behaviour == ENDPOINT_STALLS;

  buf_release (record);
  buf_append_str (record, body);
  if (chat->refusals > 0)
    {
      chat->refusals--;
      snprintf (chat->answer, sizeof chat->answer, FULL, chat->id);
    }
  else if (chat->behaviour == ENDPOINT_SAYS_NOTHING)
    snprintf (chat->answer, sizeof chat->answer,
              HEAD "Content-Length: 0\r\n\r\n", chat->id);
  else
    snprintf (chat->answer, sizeof chat->answer,
              HEAD "Content-Length: %zu\r\n\r\n" EVENTS, chat->id,
              is_short ? whole + 1 : whole);
  return (struct raw_answer){ .bytes = chat->answer,
                              .len = strlen (chat->answer),
                              .end = chat->behaviour == ENDPOINT_BREAKS_OFF
                                         ? RAW_CLOSE
                                         : RAW_KEEP };
}

static void
chat_init (struct chat *chat)
{
  struct conversations_options conversations
      = { .data_centre = "a", .losses = LOSSES };
  struct local_pipeline_options options
      = { .route = { .retry_mode = ROUTE_STREAM,
                     .timeout_ms = TIMEOUT_MS,
                     .retained = true },
          .answer = answer,
          .data = chat };

  *chat = (struct chat){ .behaviour = ENDPOINT_ANSWERS };
  fake_keepers_init (&chat->fleet, KEEPERS, CENTRES);
  chat->fleet.now_ms = clock_now_ms ();
  conversations.transport = &chat->fleet.base;
  chat->client = chat->fleet.client = conversations_create (&conversations);
  fake_keepers_list (&chat->fleet, KEEPERS);
  options.conversations = chat->client;
  chat->local = local_pipeline_create (&options);
  ev_timer_init (&chat->clock, handle_clock, TICK_MS / 1000.0,
                 TICK_MS / 1000.0);
  chat->clock.data = chat;
  ev_timer_start (chat->local->loop, &chat->clock);
}

static void
chat_release (struct chat *chat)
{
  ev_timer_stop (chat->local->loop, &chat->clock);
  local_pipeline_destroy (chat->local);
  conversations_destroy (chat->client);
  fake_keepers_release (&chat->fleet);
  buf_release (&chat->body);
  buf_release (&chat->first_body);
}

static void
start_turn (struct chat *chat, const char *id, const char *previous,
            const char *text)
{
  struct request_input *input = xcalloc (1, sizeof *input);

  g_strlcpy (chat->id, id, sizeof chat->id);
  chat->sends = 0;
  input->id = xstrdup (id);
  input->previous = previous ? xstrdup (previous) : NULL;
  input->program = xstrdup ("p");
  input->resume_after = -1;
  buf_append_str (&input->body, text);
  local_pipeline_submit (chat->local, input);
}

/* Runs a turn to its end and returns how long it took.  */
static int64_t
run_turn (struct chat *chat, const char *id, const char *previous,
          const char *text)
{
  int64_t start_ms = clock_now_ms ();

  start_turn (chat, id, previous, text);
  if (chat->local->response.outcome == LOCAL_PENDING)
    ev_run (chat->local->loop, 0);
  return clock_now_ms () - start_ms;
}

static void
run_for (struct chat *chat, int64_t duration_ms)
{
  int64_t until_ms = clock_now_ms () + duration_ms;

  while (clock_now_ms () < until_ms)
    ev_run (chat->local->loop, EVRUN_ONCE);
}

static void
expect_bytes (const struct buf *actual, const char *expected)
{
  CU_ASSERT_EQUAL_FATAL (actual->len, strlen (expected));
  CU_ASSERT_EQUAL (memcmp (actual->data, expected, actual->len), 0);
}

static void
expect_refusal (const struct chat *chat, enum error_kind kind)
{
  const struct local_response *response = &chat->local->response;

  CU_ASSERT_EQUAL (response->outcome, LOCAL_REFUSED);
  CU_ASSERT_EQUAL (response->error.kind, kind);
  CU_ASSERT_EQUAL (response->error.run, RUN_NOT_RUN);
  CU_ASSERT ((response->error.retry_after_ms > 0)
             == (kind == ERROR_OVERLOADED));
  CU_ASSERT_EQUAL (chat->sends, 0);
}

/* Guards against a byte more or less than the chain's text in what the
   endpoint gets.  */
static void
test_endpoint_gets_the_chain (void)
{
  struct chat chat;

  chat_init (&chat);
  run_turn (&chat, "1", NULL, "first");
  expect_bytes (&chat.first_body, "first");
  run_turn (&chat, "2", "1", "second\r\n");
  expect_bytes (&chat.first_body, "first" OUTPUT "second\r\n");
  run_turn (&chat, "3", "2", "");
  expect_bytes (&chat.first_body, "first" OUTPUT "second\r\n" OUTPUT);
  run_turn (&chat, "4", "3", "last");
  expect_bytes (&chat.first_body,
                "first" OUTPUT "second\r\n" OUTPUT OUTPUT "last");
  run_turn (&chat, "5", "1", "branch");
  expect_bytes (&chat.first_body, "first" OUTPUT "branch");
  CU_ASSERT_TRUE (local_response_is_success (&chat.local->response));
  expect_bytes (&chat.local->response.body, EVENTS);
  chat_release (&chat);
}

/* Guards against a retry with another body than the first send.  */
static void
test_retry_sends_the_chain (void)
{
  struct chat chat;

  chat_init (&chat);
  run_turn (&chat, "1", NULL, "first");
  chat.refusals = 1;
  run_turn (&chat, "2", "1", "second");
  CU_ASSERT_TRUE (local_response_is_success (&chat.local->response));
  CU_ASSERT_EQUAL (chat.sends, 2);
  expect_bytes (&chat.first_body, "first" OUTPUT "second");
  expect_bytes (&chat.body, "first" OUTPUT "second");
  chat_release (&chat);
}

/* Guards against a relayed request without the chain, and against a relayed
   turn that is not kept.  */
static void
test_relay_sends_the_chain (void)
{
  struct chat chat;
  struct local_pipeline *helper;
  struct gate *gate;
  int64_t relays = counter_get (COUNTER_RELAYS_SENT);

  chat_init (&chat);
  run_turn (&chat, "1", NULL, "first");
  helper = local_pipeline_create (
      &(struct local_pipeline_options){ .route.retry_mode = ROUTE_STREAM,
                                        .route.timeout_ms = TIMEOUT_MS,
                                        .host = "y",
                                        .shared = chat.local });
  g_strlcpy (chat.id, "1", sizeof chat.id);
  local_pipeline_run (helper);
  gate = gate_create (chat.local->loop, chat.local->endpoints[0]->port);
  gate_set_mode (gate, GATE_RESET);
  chat.local->listed[0].port = gate_port (gate);
  local_pipeline_list_endpoints (chat.local);
  for (int i = 0; i < RELAY_TRIES; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "r%d", i);
      run_turn (&chat, id, "1", "second");
      if (local_response_is_success (&chat.local->response))
        break;
    }
  CU_ASSERT_TRUE (local_response_is_success (&chat.local->response));
  CU_ASSERT (counter_get (COUNTER_RELAYS_SENT) > relays);
  expect_bytes (&chat.first_body, "first" OUTPUT "second");
  CU_ASSERT_EQUAL (fake_keepers_holding (&chat.fleet, chat.id), LOSSES + 1);
  gate_destroy (gate);
  local_pipeline_destroy (helper);
  chat_release (&chat);
}

/* Guards against a turn that counts though its endpoint broke it off, or
   whose caller left.  */
static void
test_incomplete_turn_does_not_count (void)
{
  struct chat chat;

  chat_init (&chat);
  chat.behaviour = ENDPOINT_BREAKS_OFF;
  run_turn (&chat, "1", NULL, "first");
  CU_ASSERT_EQUAL (chat.local->response.outcome, LOCAL_ABORTED);
  chat.behaviour = ENDPOINT_STALLS;
  start_turn (&chat, "2", NULL, "second");
  run_for (&chat, HOLD_MS);
  expect_bytes (&chat.local->response.body, EVENTS);
  request_cancel (chat.local->active);
  run_for (&chat, HOLD_MS);
  CU_ASSERT_EQUAL (fake_keepers_holding (&chat.fleet, "1"), 0);
  CU_ASSERT_EQUAL (fake_keepers_holding (&chat.fleet, "2"), 0);
  chat_release (&chat);
}

static void
hold_keepers (struct chat *chat, bool is_on_hold)
{
  for (uint32_t i = 0; i < KEEPERS; i++)
    chat->fleet.keepers[i].is_on_hold = is_on_hold;
}

/* Guards against a response that ends before its turn is durable, and against
   events, or an endpoint's slot, that wait for keepers.  */
static void
test_only_the_end_waits_for_keepers (void)
{
  struct chat chat;

  chat_init (&chat);
  hold_keepers (&chat, true);
  start_turn (&chat, "1", NULL, "first");
  run_for (&chat, HOLD_MS);
  expect_bytes (&chat.local->response.body, EVENTS);
  CU_ASSERT_EQUAL (chat.local->response.outcome, LOCAL_PENDING);
  CU_ASSERT_EQUAL (
      pool_find_available (chat.local->pool, id_hash_text ("e0"))->in_flight,
      0);
  hold_keepers (&chat, false);
  ev_run (chat.local->loop, 0);
  CU_ASSERT_EQUAL (chat.local->response.outcome, LOCAL_ENDED);
  CU_ASSERT (fake_keepers_holding (&chat.fleet, "1") >= LOSSES + 1);
  chat_release (&chat);
}

/* Guards against a response without events that ends before its turn is
   durable.  */
static void
test_response_without_events_waits_for_keepers (void)
{
  struct chat chat;

  chat_init (&chat);
  chat.behaviour = ENDPOINT_SAYS_NOTHING;
  hold_keepers (&chat, true);
  start_turn (&chat, "1", NULL, "first");
  run_for (&chat, HOLD_MS);
  CU_ASSERT_EQUAL (chat.local->response.outcome, LOCAL_PENDING);
  hold_keepers (&chat, false);
  ev_run (chat.local->loop, 0);
  CU_ASSERT_EQUAL (chat.local->response.outcome, LOCAL_RESPONDED);
  chat.behaviour = ENDPOINT_ANSWERS;
  run_turn (&chat, "2", "1", "second");
  expect_bytes (&chat.first_body, "firstsecond");
  chat_release (&chat);
}

/* Guards against a caller who takes a turn for complete that is not durable by
   its deadline.  */
static void
test_turn_without_copies_is_aborted (void)
{
  struct chat chat;
  int64_t took_ms;

  chat_init (&chat);
  hold_keepers (&chat, true);
  took_ms = run_turn (&chat, "1", NULL, "first");
  CU_ASSERT_EQUAL (chat.local->response.outcome, LOCAL_ABORTED);
  CU_ASSERT (took_ms >= TIMEOUT_MS - TICK_MS);
  chat_release (&chat);
}

/* Guards against a write that goes on for a request that is gone.  */
static void
test_cancelled_request_cancels_its_write (void)
{
  struct chat chat;

  chat_init (&chat);
  hold_keepers (&chat, true);
  start_turn (&chat, "1", NULL, "first");
  run_for (&chat, HOLD_MS);
  request_cancel (chat.local->active);
  hold_keepers (&chat, false);
  run_for (&chat, HOLD_MS);
  CU_ASSERT_EQUAL (chat.local->response.outcome, LOCAL_PENDING);
  fake_keepers_silence (&chat.fleet, NULL, true);
  start_turn (&chat, "2", "1", "second");
  request_cancel (chat.local->active);
  run_for (&chat, HOLD_MS);
  CU_ASSERT_EQUAL (chat.sends, 0);
  chat_release (&chat);
}

/* Guards against a send without the whole chain, against 404 without
   certainty, and against a late refusal.  */
static void
test_unknown_turn_is_refused (void)
{
  struct chat chat;

  chat_init (&chat);
  CU_ASSERT (run_turn (&chat, "2", "none", "second") <= AT_ONCE_MS);
  expect_refusal (&chat, ERROR_NOT_FOUND);
  chat.fleet.keepers[8].is_silent = true;
  CU_ASSERT (run_turn (&chat, "3", "none", "second") <= UNCERTAIN_MS);
  expect_refusal (&chat, ERROR_OVERLOADED);
  chat.fleet.keepers[8].is_silent = false;
  chat.fleet.keepers[8].is_fresh = true;
  CU_ASSERT (run_turn (&chat, "4", "none", "second") <= AT_ONCE_MS);
  expect_refusal (&chat, ERROR_OVERLOADED);
  chat_release (&chat);
}

/* Guards against chains that run in vain while keepers are silent.  */
static void
test_chain_is_refused_without_keepers (void)
{
  struct chat chat;

  chat_init (&chat);
  fake_keepers_silence (&chat.fleet, NULL, true);
  run_turn (&chat, "1", NULL, "first");
  CU_ASSERT_EQUAL (chat.local->response.outcome, LOCAL_ABORTED);
  CU_ASSERT (run_turn (&chat, "2", NULL, "second") <= AT_ONCE_MS);
  expect_refusal (&chat, ERROR_OVERLOADED);
  chat_release (&chat);
}

/* Guards against a resumed turn whose kept output lacks the events before. */
static void
test_resumed_turn_is_refused (void)
{
  struct chat chat;

  chat_init (&chat);
  local_pipeline_resume (chat.local, 3);
  expect_refusal (&chat, ERROR_OVERLOADED);
  chat_release (&chat);
}

/* Guards against text that differs from what readers of the events get.  */
static void
test_event_data (void)
{
  static const struct
  {
    const char *event;
    const char *data;
  } cases[] = { { "data: a\n\n", "a\n" },
                { "data:a\r\ndata:  b\r\n\r\n", "a\n b\n" },
                { "id: 1\ndata: a\nevent: e\ndata\ndata:\n\n", "a\n\n\n" },
                { "data: \n\n", "\n" },
                { ": data: a\nid: 2\n\n", "" },
                { "database: a\n\n", "" },
                { "data: a: b\n\n", "a: b\n" } };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct buf output = { 0 };

      event_data_append (&output, cases[i].event, strlen (cases[i].event));
      expect_bytes (&output, cases[i].data);
      buf_release (&output);
    }
}

CU_TestInfo conversation_requests_tests[] = {
  { "the endpoint gets the chain", test_endpoint_gets_the_chain },
  { "a retry sends the chain", test_retry_sends_the_chain },
  { "a relay sends the chain", test_relay_sends_the_chain },
  { "an incomplete turn does not count", test_incomplete_turn_does_not_count },
  { "only the end waits for keepers", test_only_the_end_waits_for_keepers },
  { "a response without events waits for keepers",
    test_response_without_events_waits_for_keepers },
  { "a turn without copies is aborted", test_turn_without_copies_is_aborted },
  { "a cancelled request cancels its write",
    test_cancelled_request_cancels_its_write },
  { "an unknown turn is refused", test_unknown_turn_is_refused },
  { "a chain is refused without keepers",
    test_chain_is_refused_without_keepers },
  { "a resumed turn is refused", test_resumed_turn_is_refused },
  { "data of events", test_event_data },
  CU_TEST_INFO_NULL
};
