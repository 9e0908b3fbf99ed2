#include "feed/outbox.h"
#include "suites.h"
#include <string.h>

enum
{
  MAX_BYTES = 1000,
  STALL_MS = 300,
  WAIT_MS = 3000,
  SEND_MS = 10000,
};

static struct outbox *
create (void)
{
  struct outbox_options options = { .max_bytes = MAX_BYTES,
                                    .max_active = 2,
                                    .stall_ms = STALL_MS,
                                    .max_wait_ms = WAIT_MS,
                                    .max_send_ms = SEND_MS };

  return outbox_create (&options);
}

static void
add (struct outbox *outbox, const char *host, int64_t revision, int64_t now_ms)
{
  struct outbox_request request = { .host = (char *)(uintptr_t)host,
                                    .revision = revision,
                                    .requested_ms = now_ms };

  outbox_add (outbox, &request, false);
}

/* Takes the next request and begins an answer of BYTES.  Fails the test unless
   it is HOST's, or none if HOST is NULL.  Returns its revision.  */
static int64_t
begin (struct outbox *outbox, const char *host, size_t bytes, int64_t now_ms)
{
  struct outbox_request *request = outbox_take (outbox, now_ms);
  int64_t revision = 0;

  CU_ASSERT_EQUAL (request != NULL, host != NULL);
  if (!request)
    return 0;
  revision = request->revision;
  if (host)
    CU_ASSERT_STRING_EQUAL (request->host, host);
  outbox_begin (outbox, request->host, bytes, now_ms);
  outbox_request_destroy (request);
  return revision;
}

/* Guards against a copy of the answer for each time that a host asks while the
   first one waits for a slow link.  */
static void
test_one_answer_a_host (void)
{
  struct outbox *outbox = create ();

  add (outbox, "a", 1, 0);
  add (outbox, "a", 2, 10);
  CU_ASSERT_EQUAL (outbox_waiting (outbox), 1);
  CU_ASSERT_EQUAL (begin (outbox, "a", 10, 20), 2);
  add (outbox, "a", 2, 30);
  begin (outbox, NULL, 0, 30);
  begin (outbox, NULL, 0, 30 + 2 * STALL_MS);
  outbox_end (outbox, "a");
  begin (outbox, "a", 10, 40);
  outbox_destroy (outbox);
}

/* Guards against answers that together exceed their bound, and against hosts
   that do not read and keep others from being answered.  */
static void
test_answers_on_their_way (void)
{
  struct outbox *outbox = create ();

  add (outbox, "a", 0, 0);
  add (outbox, "b", 0, 0);
  add (outbox, "c", 0, 0);
  begin (outbox, "a", 400, 0);
  begin (outbox, "b", 400, 0);
  begin (outbox, NULL, 0, 0);
  /* They stall, so that others get their turn, up to the bound. */
  begin (outbox, "c", 400, STALL_MS);
  add (outbox, "d", 0, STALL_MS);
  begin (outbox, NULL, 0, 2 * STALL_MS);
  CU_ASSERT_EQUAL (outbox_bytes (outbox), 1200);
  outbox_end (outbox, "a");
  outbox_end (outbox, "a");
  CU_ASSERT_EQUAL (outbox_bytes (outbox), 800);
  begin (outbox, "d", 5000, 2 * STALL_MS);
  /* A link that never reports the end does not count for ever. */
  add (outbox, "b", 0, 2 * SEND_MS);
  begin (outbox, "b", 10, 2 * SEND_MS);
  CU_ASSERT_EQUAL (outbox_bytes (outbox), 10);
  outbox_destroy (outbox);
}

/* Guards against answers to hosts that have got theirs elsewhere.  */
static void
test_requests_are_dropped (void)
{
  struct outbox *outbox = create ();

  add (outbox, "a", 0, 0);
  add (outbox, "b", 0, 0);
  add (outbox, "b", 0, WAIT_MS);
  begin (outbox, "b", 10, WAIT_MS + 1);
  CU_ASSERT_EQUAL (outbox_waiting (outbox), 0);
  outbox_destroy (outbox);
}

CU_TestInfo outbox_tests[] = {
  { "one answer a host", test_one_answer_a_host },
  { "answers on their way", test_answers_on_their_way },
  { "requests are dropped", test_requests_are_dropped },
  CU_TEST_INFO_NULL,
};
