#include "common/id.h"
#include "local_pipeline.h"
#include "suites.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  TIMEOUT_MS = 2000,
  LATE_MS = 20,
  LONG_BODY_BYTES = 12 * 1024 * 1024, /* more than sockets buffer */
  IDLE_MS = 30, /* until what was sent late has arrived */
  MAX_ANSWER_BYTES = 1024,
};

/* When an endpoint repeats the refusal. */
enum refusal_time
{
  BEFORE_ANSWER, /* as the next request has arrived, before its answer */
  WITH_ANSWER,   /* in the same segment as the answer before */
  WHILE_IDLE,    /* on the idle connection */
  REFUSAL_TIMES,
};

static const char *const statuses[]
    = { "503 Full", "429 Busy", "421 Misdirected", "400 Bad", "408 Late" };

/* An endpoint that answers the request 1, repeats a refusal of before on its
   connection, and runs the request 2.  */
struct repeating_endpoint
{
  bool is_stream;
  char refusal[MAX_ANSWER_BYTES];
  enum refusal_time time;
  guint connection; /* of the request 1 */
  uint32_t sends;   /* of the request 2 that have arrived */
  uint32_t runs;    /* of the request 2 */
  char own[MAX_ANSWER_BYTES];
  char answer[2 * MAX_ANSWER_BYTES];
};

static int
request_id (const char *request)
{
  const char *field = strstr (request, "Attempt-Id: ");

  return field ? atoi (strchr (field, ' ')) : 0;
}

/* Writes the answer to the request ID.  */
static void
write_own (struct repeating_endpoint *repeating, int id)
{
  static const char head[] = "HTTP/1.1 200 OK\r\nAttempt-Id: %d\r\n"
                             "Server-Stamp: s\r\n%s\r\n\r\n%s%d%s";

  snprintf (repeating->own, sizeof repeating->own, head, id,
            repeating->is_stream ? "Content-Type: text/event-stream\r\n"
                                   "Content-Length: 18"
                                 : "Content-Length: 4",
            repeating->is_stream ? "id: 1\ndata: own" : "own", id,
            repeating->is_stream ? "\n\n" : "");
}

static struct raw_answer
answer_repeating (void *data, struct raw_endpoint *endpoint,
                  const char *request)
{
  struct repeating_endpoint *repeating = data;
  int id = request_id (request);
  struct raw_answer answer = { .bytes = repeating->own };
  bool is_kept = endpoint->connection == repeating->connection;

  write_own (repeating, id);
  if (id == 1)
    repeating->connection = endpoint->connection;
  if (id == 2)
    repeating->runs++;
  if (id == 1 && repeating->time == WITH_ANSWER)
    {
      snprintf (repeating->answer, sizeof repeating->answer, "%s%s",
                repeating->own, repeating->refusal);
      answer.bytes = repeating->answer;
    }
  if (id == 1 && repeating->time == WHILE_IDLE)
    answer.late = repeating->refusal;
  if (id == 2 && is_kept && repeating->time == BEFORE_ANSWER)
    {
      answer.bytes = repeating->refusal;
      answer.late = repeating->own;
    }
  answer.late_ms = LATE_MS;
  answer.len = strlen (answer.bytes);
  return answer;
}

static struct local_pipeline *
create (raw_answer_handler *answer, void *data,
        enum route_retry_mode retry_mode)
{
  struct local_pipeline_options options = { .route.retry_mode = retry_mode,
                                            .route.timeout_ms = TIMEOUT_MS,
                                            .answer = answer,
                                            .data = data };

  return local_pipeline_create (&options);
}

/* Starts the request ID, with a body of LEN bytes.  */
static void
start (struct local_pipeline *local, int id, size_t len)
{
  struct request_input *input = xcalloc (1, sizeof *input);

  input->id = xasprintf ("%d", id);
  headers_add (&input->headers, &input->header_count, "Attempt-Id", input->id);
  input->resume_after = -1;
  input->body = (struct buf){ .data = xcalloc (1, len), .len = len };
  memset (input->body.data, RAW_BODY_BYTE, len);
  local_pipeline_submit (local, input);
}

/* Runs the request ID, with a body, so that it is sent on a connection that is
   kept, to its end.  */
static const struct local_response *
run (struct local_pipeline *local, int id)
{
  start (local, id, 1);
  if (local->response.outcome == LOCAL_PENDING)
    ev_run (local->loop, 0);
  return &local->response;
}

static void
wait_for (struct local_pipeline *local, int64_t duration_ms)
{
  int64_t until_ms = clock_now_ms () + duration_ms;

  while (clock_now_ms () < until_ms)
    {
      ev_run (local->loop, EVRUN_NOWAIT);
      usleep (1000);
    }
}

static bool
is_own (const struct local_response *response, int id)
{
  char own[16];

  snprintf (own, sizeof own, "own%d", id);
  return local_response_is_success (response)
         && memmem (response->body.data, response->body.len, own,
                    strlen (own));
}

/* Whether the caller is told the truth about a request that ran RUNS times: it
   has its own answer, or knows that it may have run.  */
static bool
is_true (const struct local_response *response, int id, uint32_t runs)
{
  if (runs > 1)
    return false;
  if (response->outcome == LOCAL_REFUSED)
    return runs == 0 || response->error.run == RUN_MAY_HAVE_RUN;
  return is_own (response, id);
}

static void
write_refusal (char *refusal, const char *status, const char *id,
               bool is_not_run)
{
  snprintf (refusal, MAX_ANSWER_BYTES,
            "HTTP/1.1 %s\r\n%s%sContent-Length: 4\r\n\r\nfull", status, id,
            is_not_run ? "Not-Executed: 1\r\n" : "");
}

/* Runs three requests while the endpoint repeats a refusal to the second.  The
   third must have its own answer.  */
static void
check_repeated (struct repeating_endpoint *repeating,
                enum route_retry_mode retry_mode)
{
  struct local_pipeline *local
      = create (answer_repeating, repeating, retry_mode);
  const struct local_response *response;
  bool is_right;

  repeating->is_stream = retry_mode == ROUTE_STREAM;
  CU_ASSERT_TRUE (is_own (run (local, 1), 1));
  wait_for (local, IDLE_MS);
  response = run (local, 2);
  wait_for (local, IDLE_MS);
  is_right = retry_mode == ROUTE_IDEMPOTENT
                 ? is_own (response, 2)
                 : is_true (response, 2, repeating->runs);
  if (!is_right)
    fprintf (stderr, "refusal at time %d, %u runs, status %ld: %s\n",
             repeating->time, repeating->runs, response->status,
             repeating->refusal);
  CU_ASSERT_TRUE (is_right);
  CU_ASSERT_TRUE (is_own (run (local, 3), 3));
  local_pipeline_destroy (local);
}

static void
check_all_refusals (enum route_retry_mode retry_mode, const char *id)
{
  for (int time = 0; time < REFUSAL_TIMES; time++)
    for (size_t i = 0; i < G_N_ELEMENTS (statuses); i++)
      for (int is_not_run = 0; is_not_run < 2; is_not_run++)
        {
          struct repeating_endpoint repeating
              = { .time = (enum refusal_time)time };

          write_refusal (repeating.refusal, statuses[i], id, is_not_run);
          check_repeated (&repeating, retry_mode);
        }
}

/* Guards against telling a caller "not run" for a call that an endpoint runs,
   or sending it twice, when the endpoint repeats an earlier refusal that names
   no request.  */
static void
test_refusal_without_id (void)
{
  check_all_refusals (ROUTE_ONCE, "");
}

/* Guards against the same with an empty id and with that of the request
   before.  */
static void
test_refusal_with_other_id (void)
{
  check_all_refusals (ROUTE_ONCE, "Attempt-Id: 1\r\n");
  check_all_refusals (ROUTE_ONCE, "Attempt-Id: \r\n");
}

/* Guards against the same for streams that may run once.  */
static void
test_refusal_of_stream (void)
{
  check_all_refusals (ROUTE_STREAM, "");
  check_all_refusals (ROUTE_STREAM, "Attempt-Id: 1\r\n");
}

/* Guards against losing a call that may run again to a repeated refusal.  */
static void
test_refusal_of_repeatable_call (void)
{
  check_all_refusals (ROUTE_IDEMPOTENT, "");
  check_all_refusals (ROUTE_IDEMPOTENT, "Attempt-Id: 1\r\n");
}

/* Returns a host that has no path to the only endpoint and has *HELPER send
   its requests.  It must be destroyed before *HELPER.  */
static struct local_pipeline *
create_relayed (raw_answer_handler *answer, void *data, bool is_old_helper,
                struct local_pipeline **helper)
{
  struct local_pipeline_options options = { .route.retry_mode = ROUTE_ONCE,
                                            .route.timeout_ms = TIMEOUT_MS,
                                            .host = "y" };
  struct local_pipeline *helped;

  *helper = options.shared = create (answer, data, ROUTE_ONCE);
  helped = local_pipeline_create (&options);
  (*helper)->transport.omits_response_origin = is_old_helper;
  local_pipeline_use_helper (helped);
  pool_at (helped->pool, 0)->unreachable = true;
  return helped;
}

/* Runs the request 1 at a host and the request 2 at another one, for which the
   first one sends.  */
static void
check_relayed (struct repeating_endpoint *repeating, bool is_old_helper)
{
  struct local_pipeline *helper;
  struct local_pipeline *helped
      = create_relayed (answer_repeating, repeating, is_old_helper, &helper);
  const struct local_response *response;

  CU_ASSERT_TRUE (is_own (run (helper, 1), 1));
  wait_for (helper, IDLE_MS);
  response = run (helped, 2);
  wait_for (helper, IDLE_MS);
  CU_ASSERT_EQUAL (relay_server_active (helper->relay_server), 0);
  CU_ASSERT_TRUE (is_true (response, 2, repeating->runs));
  if (!is_old_helper)
    CU_ASSERT_TRUE (is_own (run (helped, 3), 3));
  local_pipeline_destroy (helped);
  local_pipeline_destroy (helper);
}

/* Guards against the same where another host sends the call, also one of the
   build before, which does not tell whether its connection was used before.
 */
static void
test_refusal_of_relayed_call (void)
{
  static const char *const ids[] = { "", "Attempt-Id: 1\r\n" };

  for (size_t i = 0; i < G_N_ELEMENTS (statuses); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (ids); k++)
      for (int is_old_helper = 0; is_old_helper < 2; is_old_helper++)
        {
          struct repeating_endpoint repeating = { .time = BEFORE_ANSWER };

          write_refusal (repeating.refusal, statuses[i], ids[k], true);
          check_relayed (&repeating, is_old_helper);
        }
}

/* An endpoint that refuses the request 2 and repeats the refusal when it gets
   the request again on the same connection, though it runs it then.  */
static struct raw_answer
answer_refusing_twice (void *data, struct raw_endpoint *endpoint,
                       const char *request)
{
  struct repeating_endpoint *repeating = data;
  int id = request_id (request);
  struct raw_answer answer = { .bytes = repeating->own, .late_ms = LATE_MS };

  write_own (repeating, id);
  if (id == 2 && ++repeating->sends > 1)
    repeating->runs++;
  if (id == 2 && repeating->sends == 1)
    {
      repeating->connection = endpoint->connection;
      answer.bytes = repeating->refusal;
    }
  else if (id == 2 && endpoint->connection == repeating->connection)
    {
      answer.bytes = repeating->refusal;
      answer.late = repeating->own;
    }
  answer.len = strlen (answer.bytes);
  return answer;
}

/* Guards against running a call twice when an endpoint repeats the refusal of
   the very same attempt, which was sent to it again.  */
static void
test_refusal_with_own_id (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (statuses); i++)
    for (int is_stream = 0; is_stream < 2; is_stream++)
      {
        struct repeating_endpoint repeating = { .is_stream = is_stream };
        struct local_pipeline *local
            = create (answer_refusing_twice, &repeating,
                      is_stream ? ROUTE_STREAM : ROUTE_ONCE);
        const struct local_response *response;

        write_refusal (repeating.refusal, statuses[i], "Attempt-Id: 2\r\n",
                       true);
        CU_ASSERT_TRUE (is_own (run (local, 1), 1));
        response = run (local, 2);
        wait_for (local, IDLE_MS);
        CU_ASSERT_TRUE (is_own (response, 2));
        CU_ASSERT_EQUAL (repeating.runs, 1);
        local_pipeline_destroy (local);
      }
}

/* An endpoint that refuses the first send of the request 2 and repeats the
   refusal whenever another request arrives on the same connection.  */
static struct raw_answer
answer_repeating_later (void *data, struct raw_endpoint *endpoint,
                        const char *request)
{
  struct repeating_endpoint *repeating = data;
  int id = request_id (request);
  struct raw_answer answer = { .bytes = repeating->own, .late_ms = LATE_MS };
  bool is_refused = id == 2 && ++repeating->sends == 1;

  write_own (repeating, id);
  if (is_refused)
    repeating->connection = endpoint->connection;
  if (id > 1 && endpoint->connection == repeating->connection)
    answer.bytes = repeating->refusal;
  if (id > 1 && !is_refused && answer.bytes == repeating->refusal)
    answer.late = repeating->own;
  answer.len = strlen (answer.bytes);
  return answer;
}

/* Guards against losing the next call to a refusal that is repeated on the
   connection of a call that may not run twice.  */
static void
test_refusal_repeated_to_next_call (void)
{
  struct repeating_endpoint repeating = { 0 };
  struct local_pipeline *local
      = create (answer_repeating_later, &repeating, ROUTE_ONCE);

  write_refusal (repeating.refusal, statuses[0], "Attempt-Id: 2\r\n", true);
  for (int id = 1; id < 6; id++)
    CU_ASSERT_TRUE (is_own (run (local, id), id));
  local_pipeline_destroy (local);
}

/* Guards against the same where another host, also one of the build before,
   sends the call each time.  */
static void
test_refusal_of_relayed_call_with_own_id (void)
{
  for (int is_old_helper = 0; is_old_helper < 2; is_old_helper++)
    {
      struct repeating_endpoint repeating = { 0 };
      struct local_pipeline *helper;
      struct local_pipeline *helped = create_relayed (
          answer_refusing_twice, &repeating, is_old_helper, &helper);
      const struct local_response *response;

      write_refusal (repeating.refusal, statuses[0], "Attempt-Id: 2\r\n",
                     true);
      CU_ASSERT_TRUE (is_own (run (helper, 1), 1));
      response = run (helped, 2);
      wait_for (helper, IDLE_MS);
      CU_ASSERT_TRUE (is_true (response, 2, repeating.runs));
      CU_ASSERT_EQUAL (repeating.runs, 1);
      local_pipeline_destroy (helped);
      local_pipeline_destroy (helper);
    }
}

/* Guards against losing a call to what an endpoint has written on an idle
   connection, which can be seen before the call is sent.  */
static void
test_bytes_on_idle_connection (void)
{
  static const char *const ids[]
      = { "", "Attempt-Id: 1\r\n", "Attempt-Id: 2\r\n" };

  for (size_t i = 0; i < G_N_ELEMENTS (statuses); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (ids); k++)
      {
        struct repeating_endpoint repeating = { .time = WHILE_IDLE };
        struct local_pipeline *local
            = create (answer_repeating, &repeating, ROUTE_ONCE);

        write_refusal (repeating.refusal, statuses[i], ids[k], true);
        run (local, 1);
        wait_for (local, IDLE_MS);
        CU_ASSERT_TRUE (is_own (run (local, 2), 2));
        CU_ASSERT_EQUAL (repeating.runs, 1);
        local_pipeline_destroy (local);
      }
}

/* Guards against reading the head of a refusal that breaks off and the head of
   the next response as one: the call that ran would be taken for refused.  */
static void
test_refusal_broken_off_in_head (void)
{
  static const char *const refusals[] = {
    "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n",
    "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nAttempt-Id: 1\r\n",
    "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nX: ",
    "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nAttempt-Id: 1\r\nX: ",
    "HTTP/1.1 421 Misdirected\r\n",
    "HTTP/1.1 400 Bad\r\nNot-Executed: 1\r\nX: ",
    "HTTP/1.1 429 Busy\r\nNot-Executed: 1\r\nAttempt-Id: 2\r\nX: ",
    "HTTP/1.1 421 Misdirected\r\nX: ",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (refusals); i++)
    {
      struct repeating_endpoint repeating = { .time = BEFORE_ANSWER };

      snprintf (repeating.refusal, sizeof repeating.refusal, "%s",
                refusals[i]);
      check_repeated (&repeating, ROUTE_ONCE);
    }
}

/* Guards against a call that an endpoint runs and whose caller is told "not
   run", when a repeated refusal stands inside the body of the answer.  */
static void
test_refusal_inside_answer (void)
{
  static const char *const heads[] = {
    "HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\nServer-Stamp: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\nServer-Stamp: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n4\r\nown2\r\n",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (heads); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (statuses); k++)
      {
        struct repeating_endpoint repeating = { .time = BEFORE_ANSWER };
        char refusal[MAX_ANSWER_BYTES / 2];

        snprintf (refusal, sizeof refusal,
                  "HTTP/1.1 %s\r\nNot-Executed: 1\r\n"
                  "Content-Length: 4\r\n\r\nfull",
                  statuses[k]);
        snprintf (repeating.refusal, sizeof repeating.refusal, "%s%s",
                  heads[i], refusal);
        check_repeated (&repeating, ROUTE_ONCE);
      }
}

/* Guards against reading the answer of a cancelled call as that of the next
   one.  */
static void
test_answer_of_cancelled_call (void)
{
  struct repeating_endpoint repeating = { .time = BEFORE_ANSWER };
  struct local_pipeline *local
      = create (answer_repeating, &repeating, ROUTE_ONCE);

  /* What is sent at once is only the beginning of a head.  */
  snprintf (repeating.refusal, sizeof repeating.refusal, "HTTP/1.1 ");
  CU_ASSERT_TRUE (is_own (run (local, 1), 1));
  start (local, 2, 1);
  wait_for (local, LATE_MS / 2);
  request_cancel (local->active);
  wait_for (local, IDLE_MS);
  CU_ASSERT_TRUE (is_own (run (local, 3), 3));
  CU_ASSERT_EQUAL (repeating.runs, 1);
  local_pipeline_destroy (local);
}

/* An endpoint that answers the first two sends of the request 2 before it has
   read the body: with a refusal, then with the answer.  */
static struct raw_answer
answer_early (void *data, struct raw_endpoint *endpoint, const char *request)
{
  struct repeating_endpoint *repeating = data;
  int id = request_id (request);
  bool is_refused = id == 2 && repeating->sends++ == 0;
  const char *bytes = is_refused ? repeating->refusal : repeating->own;

  write_own (repeating, id);
  return (struct raw_answer){ .bytes = bytes, .len = strlen (bytes) };
}

/* Guards against sending the next request where the endpoint still reads the
   body of one that it has answered early.  */
static void
test_early_answers_to_long_bodies (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (statuses); i++)
    {
      struct repeating_endpoint repeating = { 0 };
      struct local_pipeline *local
          = create (answer_early, &repeating, ROUTE_ONCE);

      local->endpoints[0]->is_early = true;
      write_refusal (repeating.refusal, statuses[i], "Attempt-Id: 2\r\n",
                     true);
      CU_ASSERT_TRUE (is_own (run (local, 1), 1));
      start (local, 2, LONG_BODY_BYTES);
      ev_run (local->loop, 0);
      CU_ASSERT_NOT_EQUAL (local->response.outcome, LOCAL_PENDING);
      CU_ASSERT_TRUE (is_own (run (local, 3), 3));
      wait_for (local, 2 * IDLE_MS);
      CU_ASSERT_EQUAL (local->endpoints[0]->stray_bytes, 0);
      local_pipeline_destroy (local);
    }
}

CU_TestInfo repeated_refusals_tests[] = {
  { "a repeated refusal without an id", test_refusal_without_id },
  { "a repeated refusal with another id", test_refusal_with_other_id },
  { "a repeated refusal of a stream", test_refusal_of_stream },
  { "a repeated refusal of a repeatable call",
    test_refusal_of_repeatable_call },
  { "a repeated refusal of a relayed call", test_refusal_of_relayed_call },
  { "a repeated refusal with its own id", test_refusal_with_own_id },
  { "a refusal repeated to the next call",
    test_refusal_repeated_to_next_call },
  { "a repeated refusal of a relayed call with its own id",
    test_refusal_of_relayed_call_with_own_id },
  { "bytes on an idle connection", test_bytes_on_idle_connection },
  { "a refusal that breaks off in its head", test_refusal_broken_off_in_head },
  { "a refusal inside an answer", test_refusal_inside_answer },
  { "the answer of a cancelled call", test_answer_of_cancelled_call },
  { "early answers to long bodies", test_early_answers_to_long_bodies },
  CU_TEST_INFO_NULL,
};
