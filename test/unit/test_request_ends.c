#include "common/counters.h"
#include "common/id.h"
#include "http_caller.h"
#include "ledger/ledger.h"
#include "local_mesh.h"
#include "local_pipeline.h"
#include "platform/frontend.h"
#include "request/crash_notices.h"
#include "request/response.h"
#include "suites.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The property that each request ends exactly once for its caller, by its
   route's time-out, whatever ended it.  Each play brings one request to a step
   of its life, then ends it in one way or two, and counts the ends: those that
   the pipeline makes, and what the caller sees over HTTP.

   PLANTED in the environment names a fault that the plays must find.  */

enum
{
  TIMEOUT_MS = 120, /* of the routes */
  /* The same, for the ledger to tell that too few keepers respond. */
  BUDGET_TIMEOUT_MS = 600,
  SLACK_MS = 500, /* within which the users want an end */
  STEP_MS = 400,  /* to reach a step */
  TRIES = 3,      /* to do so, in plays of their own */
  SETTLE_MS = 5,  /* after the end, for a second one */
  LEFT_MS = 200,  /* to notice that the caller has left */
  STALL_MS = 20,  /* between two runs of the loop, or more */
  SLOW_MS = 40,   /* for which a slow reader takes nothing */
  /* What a slow reader is sent, more than the kernel holds for it. */
  SLOW_PARTS = 5,
  SLOW_PART_BYTES = 50 * 1000,
  ENDPOINTS = 3,
  PAIRS = 160, /* of ways, at once */
  SEED = 20261205,
  CRASHES = 4, /* after which a request is refused */
};

/* How far the request is when something happens to it. */
enum step
{
  AT_BUDGET,  /* waits for silent keepers of the ledger */
  AT_BACKOFF, /* waits between sends that endpoints refuse */
  AT_SENT,
  AT_HEAD,     /* of the response; the body has not begun */
  AT_STREAM,   /* the caller has an event */
  AT_RESUMING, /* the stream was broken off and is sent for again */
  AT_SLOW,     /* the caller does not read what it is sent */
  STEPS,
};

static const char *const step_names[]
    = { "budget", "backoff", "sent", "head", "stream", "resuming", "slow" };

enum way
{
  BY_COMPLETION,
  BY_CLOSE,    /* of the endpoint's connection */
  BY_RESET,    /* the same */
  BY_REFUSAL,  /* of the endpoint, or what looks like one in a stream */
  BY_FAILURE,  /* status 500 of the endpoint */
  BY_GARBAGE,  /* bytes that are no response */
  BY_TIMEOUT,  /* nothing happens */
  BY_LEAVING,  /* of the caller */
  BY_STOP,     /* of the pipeline */
  BY_SHUTDOWN, /* of the HTTP server */
  BY_ROUTE,    /* which is removed, before a reset */
  BY_CRASHES,  /* of identical requests, before a reset */
  BY_LIST,     /* no endpoint is listed, before a reset */
  BY_VERSION,  /* all endpoints have a new one, before a reset */
  BY_LIMIT,    /* of the endpoints, which is used up, before a reset */
  BY_DRAIN,    /* all endpoints leave, before a reset */
  BY_CUT,      /* the data centre is unreachable */
  BY_PATH,     /* no path to the endpoint */
  BY_HELPER,   /* the host that sends the request is lost */
  WAYS,
};

static const char *const way_names[]
    = { "completion", "close",   "reset",   "refusal", "failure",
        "garbage",    "timeout", "leaving", "stop",    "shutdown",
        "route",      "crashes", "list",    "version", "limit",
        "drain",      "cut",     "path",    "helper" };

struct scene
{
  enum route_retry_mode mode;
  bool is_resumable;
  bool is_relayed; /* another host sends the request */
  bool is_old;     /* the caller speaks HTTP/1.0 */
  enum step step;
  enum way ways[2];
  int way_count;
};

struct play
{
  const struct scene *scene;
  struct local_pipeline *helper; /* NULL unless it is relayed */
  struct local_pipeline *local;
  struct frontend *frontend;
  struct crash_notices *crashes;
  struct ev_loop *ledger_loop;
  struct mesh *mesh;
  struct ledger *ledger;
  struct keyring keyring;
  struct http_caller *caller;
  struct raw_endpoint *last; /* that got the latest send */
  uint32_t sends;
  bool has_left;
  int64_t resumed_ms; /* when a slow reader began to read */
  int64_t stalled_ms; /* for which this process, the host, stood still */
  char *slow_parts[SLOW_PARTS];
};

#define OK_HEAD "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nServer-Stamp: s\r\n"
#define STREAM_HEAD                                                           \
  OK_HEAD "Content-Type: text/event-stream\r\nTransfer-Encoding: "            \
          "chunked\r\n\r\n"
#define WHOLE_HEAD OK_HEAD "Content-Length: 4\r\n\r\n"
#define EVENT "f\r\nid: 1\ndata: a\n\n\r\n"
#define LAST_CHUNK "0\r\n\r\n"
#define REFUSAL                                                               \
  "HTTP/1.1 503 Full\r\nAttempt-Id: 1\r\nServer-Stamp: s\r\n"                 \
  "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
#define FAILURE                                                               \
  "HTTP/1.1 500 Failed\r\nAttempt-Id: 1\r\nServer-Stamp: s\r\n"               \
  "Content-Length: 0\r\n\r\n"

/* Planted faults, and the count of ends.  */

static uint32_t ends; /* that the pipelines have made */

static bool
is_planted (const char *fault)
{
  const char *planted = getenv ("PLANTED");

  return planted && strcmp (planted, fault) == 0;
}

/* The functions of the product that the linker replaces.  */
void __real_response_end (struct response *response,
                          const struct response_end *end,
                          const struct log_ids *ids);
void __wrap_response_end (struct response *response,
                          const struct response_end *end,
                          const struct log_ids *ids);
bool __real_response_has_begun (const struct response *response);
bool __wrap_response_has_begun (const struct response *response);
void __real_response_set_timeout (struct response *response,
                                  int64_t timeout_ms);
void __wrap_response_set_timeout (struct response *response,
                                  int64_t timeout_ms);
void __real_httpd_stream_end (struct httpd_request *request);
void __wrap_httpd_stream_end (struct httpd_request *request);
void __real_httpd_stream_abort (struct httpd_request *request);
void __wrap_httpd_stream_abort (struct httpd_request *request);
void __real_httpd_respond (struct httpd_request *request, unsigned status,
                           const char *content_type, const char *body,
                           size_t len);
void __wrap_httpd_respond (struct httpd_request *request, unsigned status,
                           const char *content_type, const char *body,
                           size_t len);

void
__wrap_response_end (struct response *response, const struct response_end *end,
                     const struct log_ids *ids)
{
  ends++;
  __real_response_end (response, end, ids);
}

/* "refused-streams": a stream that has begun is refused, as in the review's
   case 3.  */
bool
__wrap_response_has_begun (const struct response *response)
{
  return !is_planted ("refused-streams")
         && __real_response_has_begun (response);
}

void
__wrap_response_set_timeout (struct response *response, int64_t timeout_ms)
{
  if (!is_planted ("no-time-outs"))
    __real_response_set_timeout (response, timeout_ms);
}

void
__wrap_httpd_stream_end (struct httpd_request *request)
{
  if (!is_planted ("lost-ends"))
    __real_httpd_stream_end (request);
}

void
__wrap_httpd_stream_abort (struct httpd_request *request)
{
  if (!is_planted ("lost-aborts"))
    __real_httpd_stream_abort (request);
}

void
__wrap_httpd_respond (struct httpd_request *request, unsigned status,
                      const char *content_type, const char *body, size_t len)
{
  __real_httpd_respond (request, status, content_type, body, len);
  if (is_planted ("second-responses"))
    __real_httpd_respond (request, status, content_type, body, len);
}

/* The play.  */

static struct raw_answer
make_answer (const char *bytes, enum raw_end end)
{
  return (
      struct raw_answer){ .bytes = bytes, .len = strlen (bytes), .end = end };
}

/* Answers so that the request stays at the step of the scene.  */
static struct raw_answer
answer (void *data, struct raw_endpoint *endpoint, const char *request)
{
  struct play *play = data;
  bool is_stream = play->scene->mode == ROUTE_STREAM;

  play->last = endpoint;
  play->sends++;
  switch (play->scene->step)
    {
    case AT_BACKOFF:
      return make_answer (REFUSAL, RAW_KEEP);
    case AT_HEAD:
      return make_answer (is_stream ? STREAM_HEAD : WHOLE_HEAD, RAW_KEEP);
    case AT_STREAM:
      return make_answer (STREAM_HEAD EVENT, RAW_KEEP);
    case AT_RESUMING:
      return play->sends == 1 ? make_answer (STREAM_HEAD EVENT, RAW_CLOSE)
                              : make_answer ("", RAW_KEEP);
    case AT_SLOW:
      return make_answer (play->slow_parts[0], RAW_KEEP);
    default:
      return make_answer ("", RAW_KEEP);
    }
}

/* Makes the parts of a large response: an event each, or pieces of a body.  */
static void
make_slow_parts (struct play *play)
{
  bool is_stream = play->scene->mode == ROUTE_STREAM;
  char *filler = xcalloc (1, SLOW_PART_BYTES + 1);

  memset (filler, 'z', SLOW_PART_BYTES);
  for (int i = 0; i < SLOW_PARTS; i++)
    {
      struct buf text = { 0 };

      if (i == 0 && is_stream)
        buf_append_str (&text, STREAM_HEAD);
      else if (i == 0)
        buf_printf (&text, OK_HEAD "Content-Length: %d\r\n\r\n",
                    SLOW_PARTS * SLOW_PART_BYTES);
      if (is_stream)
        buf_printf (&text, "%x\r\nid: %d\ndata: %s\n\n\r\n",
                    SLOW_PART_BYTES + 14, i + 1, filler);
      else
        buf_append_str (&text, filler);
      buf_append (&text, "", 1);
      play->slow_parts[i] = text.data;
    }
  free (filler);
}

static void
ignore_frame (void *data, const char *host, const Peer__Frame *frame)
{
}

/* Opens a ledger whose only keeper is silent.  */
static void
open_ledger (struct play *play)
{
  static const struct host_location keeper
      = { .name = "k", .data_centre = "dc" };
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct local_mesh_options mesh = { .loop = loop,
                                     .keyring = &play->keyring,
                                     .name = "e",
                                     .port = http_caller_free_port (),
                                     .handle_frame = ignore_frame,
                                     .data = play };
  struct ledger_options options = { .loop = loop, .retention_ms = 1000 };

  play->ledger_loop = loop;
  play->keyring.count = 1;
  play->keyring.keys[0].id = 1;
  play->mesh = local_mesh_open (&mesh);
  options.mesh = play->mesh;
  play->ledger = ledger_create (&options);
  ledger_set_keepers (play->ledger, &keeper, 1);
}

static int64_t
timeout_ms (const struct scene *scene)
{
  return scene->step == AT_BUDGET ? BUDGET_TIMEOUT_MS : TIMEOUT_MS;
}

static struct local_pipeline_options
pipeline_options_of (struct play *play)
{
  const struct scene *scene = play->scene;

  return (struct local_pipeline_options){
    .route = { .retry_mode = scene->mode,
               .resumable = scene->is_resumable,
               .max_attempts = 1,
               .timeout_ms = timeout_ms (scene) },
    .endpoint_count = ENDPOINTS,
    .answer = answer,
    .data = play,
    .ledger = play->ledger,
    .crashes = play->crashes,
  };
}

/* Creates the pipeline, and one that sends for it if the scene wants that.  */
static void
open_pipelines (struct play *play)
{
  struct local_pipeline_options options = pipeline_options_of (play);

  if (play->scene->is_relayed)
    {
      options.crashes = NULL;
      play->helper = options.shared = local_pipeline_create (&options);
      options.crashes = play->crashes;
      options.host = "y";
    }
  play->local = local_pipeline_create (&options);
  if (!play->helper)
    return;
  local_pipeline_use_helper (play->local);
  for (size_t i = 0; i < ENDPOINTS; i++)
    pool_at (play->local->pool, i)->unreachable = true;
}

static void
play_open (struct play *play, const struct scene *scene)
{
  struct crash_notices_options crashes = { .host = "" };
  struct frontend_options frontend
      = { .listen = "127.0.0.1:0", .max_connections = 8 };
  struct error error;

  *play = (struct play){ .scene = scene };
  make_slow_parts (play);
  play->crashes = crash_notices_create (&crashes);
  if (scene->step == AT_BUDGET)
    open_ledger (play);
  open_pipelines (play);
  frontend.loop = play->local->loop;
  frontend.pipeline = play->local->pipeline;
  play->frontend = frontend_create (&frontend, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (play->frontend);
}

static void
play_close (struct play *play)
{
  pipeline_abort (play->local->pipeline);
  frontend_destroy (play->frontend);
  http_caller_destroy (play->caller);
  local_pipeline_destroy (play->local);
  if (play->helper)
    local_pipeline_destroy (play->helper);
  if (play->ledger)
    {
      ledger_destroy (play->ledger);
      mesh_destroy (play->mesh);
      ev_loop_destroy (play->ledger_loop);
    }
  crash_notices_destroy (play->crashes);
  for (int i = 0; i < SLOW_PARTS; i++)
    free (play->slow_parts[i]);
}

static void
run_for (struct play *play, int64_t ms)
{
  int64_t until_ms = clock_now_ms () + ms;
  int64_t last_ms = clock_now_ms ();
  int64_t now_ms;

  for (; last_ms < until_ms; last_ms = now_ms)
    {
      ev_run (play->local->loop, EVRUN_NOWAIT);
      if (play->ledger)
        ev_run (play->ledger_loop, EVRUN_NOWAIT);
      ev_sleep (0.0003);
      now_ms = clock_now_ms ();
      if (now_ms - last_ms >= STALL_MS)
        play->stalled_ms += now_ms - last_ms;
    }
}

static bool
is_at_step (const struct play *play)
{
  switch (play->scene->step)
    {
    case AT_BUDGET:
      return pipeline_active_requests (play->local->pipeline) == 1;
    case AT_BACKOFF:
    case AT_RESUMING:
      return play->sends >= 2;
    case AT_STREAM:
      return play->scene->is_old ? play->sends >= 1
                                 : http_caller_has (play->caller, "data: a");
    default:
      return play->sends >= 1;
    }
}

static void
send_from_endpoint (struct play *play, enum raw_end end, const char *bytes)
{
  if (play->last)
    raw_endpoint_end_all (play->last, end, bytes);
}

/* Sends the request and waits until it is at the step.  Returns whether it
   is.  */
static bool
reach_step (struct play *play)
{
  const struct scene *scene = play->scene;
  int64_t until_ms = clock_now_ms () + STEP_MS;
  char request[256];

  snprintf (request, sizeof request,
            "GET /x HTTP/1.%d\r\nHost: h\r\nAttempt-Id: 1\r\n%s\r\n",
            scene->is_old ? 0 : 1,
            scene->step == AT_BUDGET ? "Program-Id: p\r\nToken-Budget: 10\r\n"
                                       "Token-Usage: 1,1\r\n"
                                     : "");
  play->caller = http_caller_create (play->local->loop,
                                     frontend_port (play->frontend), request);
  if (scene->step == AT_SLOW)
    http_caller_pause (play->caller);
  while (!is_at_step (play) && clock_now_ms () < until_ms)
    run_for (play, 1);
  if (scene->step == AT_HEAD || scene->is_old)
    run_for (play, 5);
  for (int i = 1; i < SLOW_PARTS && scene->step == AT_SLOW; i++)
    {
      run_for (play, 3);
      send_from_endpoint (play, RAW_KEEP, play->slow_parts[i]);
    }
  return is_at_step (play);
}

/* Returns the rest of the response.  */
static const char *
rest_of_response (const struct play *play)
{
  bool is_stream = play->scene->mode == ROUTE_STREAM;

  switch (play->scene->step)
    {
    case AT_HEAD:
      return is_stream ? EVENT LAST_CHUNK : "body";
    case AT_STREAM:
    case AT_SLOW:
      return LAST_CHUNK;
    case AT_RESUMING:
      return STREAM_HEAD LAST_CHUNK;
    default:
      return is_stream ? STREAM_HEAD EVENT LAST_CHUNK : WHOLE_HEAD "body";
    }
}

static void
remove_route (struct play *play)
{
  struct local_route route
      = { .host = "elsewhere", .retry_mode = play->scene->mode };

  pipeline_apply (play->local->pipeline, local_routing_create (&route));
}

/* Records that identical requests have crashed endpoints.  */
static void
record_crashes (struct play *play)
{
  int64_t now_ms = clock_now_ms ();
  uint64_t fingerprint = id_hash64 ("", 0, id_hash_text ("/x"));

  for (uint64_t i = 1; i <= CRASHES; i++)
    {
      struct crash_record record
          = { .endpoint = i, .at_ms = now_ms - 1, .is_confirmed = true };

      crash_notices_record (play->crashes, fingerprint, &record, now_ms);
    }
}

static void
change_list (struct play *play, bool is_gone)
{
  for (int i = 0; i < ENDPOINTS; i++)
    {
      play->local->listed[i].is_gone = is_gone;
      play->local->listed[i].version = "v2";
      play->local->listed[i].started_ms++;
    }
  local_pipeline_list_endpoints (play->local);
}

static void
change_endpoints (struct play *play, enum way way)
{
  for (size_t i = 0; i < pool_count (play->local->pool); i++)
    {
      struct pool_endpoint *endpoint = pool_at (play->local->pool, i);

      if (way == BY_LIMIT)
        endpoint->limit_milli = 1;
      else if (way == BY_DRAIN)
        endpoint->leaving = endpoint->is_evacuated = true;
      else
        pipeline_fail_path (play->local->pipeline, endpoint, 0);
    }
}

static void
end_by (struct play *play, enum way way)
{
  switch (way)
    {
    case BY_COMPLETION:
      send_from_endpoint (play, RAW_KEEP, rest_of_response (play));
      return;
    case BY_CLOSE:
      send_from_endpoint (play, RAW_CLOSE, "");
      return;
    case BY_REFUSAL:
      send_from_endpoint (play, RAW_KEEP, REFUSAL);
      return;
    case BY_FAILURE:
      send_from_endpoint (play, RAW_KEEP, FAILURE);
      return;
    case BY_GARBAGE:
      send_from_endpoint (play, RAW_KEEP, "nonsense\r\n\r\n\r\n");
      return;
    case BY_LEAVING:
      http_caller_leave (play->caller);
      play->has_left = true;
      return;
    case BY_STOP:
      pipeline_abort (play->local->pipeline);
      return;
    case BY_SHUTDOWN:
      frontend_destroy (play->frontend);
      play->frontend = NULL;
      return;
    case BY_CUT:
      pipeline_fail_over (play->local->pipeline, "a");
      return;
    case BY_PATH:
      change_endpoints (play, way);
      return;
    case BY_HELPER:
      if (play->helper)
        play->helper->transport.is_cut = true;
      return;
    case BY_ROUTE:
      remove_route (play);
      break;
    case BY_CRASHES:
      record_crashes (play);
      break;
    case BY_LIST:
    case BY_VERSION:
      change_list (play, way == BY_LIST);
      break;
    case BY_LIMIT:
    case BY_DRAIN:
      change_endpoints (play, way);
      break;
    case BY_RESET:
      break;
    default:
      return;
    }
  send_from_endpoint (play, RAW_RESET, "");
}

/* Returns until when the caller must have its end.  One that reads slowly
   first has to read what is ready; a host that stands still ends nothing.  */
static int64_t
latest_end_ms (const struct play *play)
{
  int64_t from_ms = play->caller->sent_ms + timeout_ms (play->scene);

  if (play->scene->step == AT_SLOW)
    from_ms = MAX (from_ms, MAX (play->resumed_ms, play->caller->heard_ms));
  return from_ms + SLACK_MS + play->stalled_ms;
}

/* Waits for the caller's end.  Returns what is wrong, or NULL.  */
static const char *
await_end (struct play *play)
{
  while (play->caller->end == HTTP_PENDING
         && clock_now_ms () < latest_end_ms (play))
    run_for (play, 1);
  return play->caller->end == HTTP_PENDING ? "the caller has no end" : NULL;
}

static const char *
await_release (struct play *play)
{
  int64_t until_ms = clock_now_ms () + LEFT_MS;

  while (pipeline_active_requests (play->local->pipeline) > 0
         && clock_now_ms () < until_ms)
    run_for (play, 1);
  return pipeline_active_requests (play->local->pipeline) > 0
             ? "the request goes on"
             : NULL;
}

/* Ends the request by the ways of the scene.  Returns what is wrong with its
   ends, or NULL.  */
static const char *
examine (struct play *play)
{
  const struct scene *scene = play->scene;
  const char *wrong = NULL;

  for (int i = 0; i < scene->way_count; i++)
    end_by (play, scene->ways[i]);
  if (scene->step == AT_SLOW && !play->has_left)
    {
      run_for (play, SLOW_MS);
      http_caller_resume (play->caller);
      play->resumed_ms = clock_now_ms ();
    }
  if (!play->has_left)
    wrong = await_end (play);
  if (!wrong)
    wrong = await_release (play);
  run_for (play, SETTLE_MS);
  if (!wrong && play->caller->excess > 0)
    wrong = "bytes follow the end";
  return wrong;
}

static void
report (const struct play *play, const char *wrong)
{
  const struct scene *scene = play->scene;

  if (getenv ("PLANTED"))
    return;
  fprintf (stderr,
           "mode %d%s%s%s, at %s, by %s%s%s: %s (%d ms after its start, %d of "
           "them without the processor)\n",
           (int)scene->mode, scene->is_resumable ? ", resumable" : "",
           scene->is_relayed ? ", relayed" : "",
           scene->is_old ? ", HTTP/1.0" : "", step_names[scene->step],
           way_names[scene->ways[0]], scene->way_count > 1 ? " and " : "",
           scene->way_count > 1 ? way_names[scene->ways[1]] : "", wrong,
           (int)(clock_now_ms () - play->caller->sent_ms),
           (int)play->stalled_ms);
}

/* Plays SCENE.  Returns whether its request ends as it should.  *IS_AT_STEP is
   whether it could be brought to its step, for which this process needs the
   processor in time.  */
static bool
try_scene (const struct scene *scene, bool *is_at_step)
{
  struct play play;
  const char *wrong = "the step is not reached";
  int64_t late = counter_get (COUNTER_RESPONSES_LATE);
  int64_t missing = counter_get (COUNTER_ENDS_MISSING);
  int64_t requests = counter_get (COUNTER_REQUESTS);

  ends = 0;
  play_open (&play, scene);
  *is_at_step = reach_step (&play);
  if (*is_at_step)
    wrong = examine (&play);
  if (!wrong && counter_get (COUNTER_RESPONSES_LATE) != late)
    wrong = "a response came late";
  if (!wrong && counter_get (COUNTER_ENDS_MISSING) != missing)
    wrong = "an end is missing";
  if (!wrong && counter_get (COUNTER_REQUESTS) - requests != (int64_t)ends)
    wrong = "there are not as many ends as requests";
  if (wrong)
    report (&play, wrong);
  play_close (&play);
  return !wrong;
}

/* Plays SCENE, again if its step is not reached.  Returns whether its request
   ends as it should.  */
static bool
ends_once (const struct scene *scene)
{
  bool is_at_step = false;
  bool is_right = false;

  for (int i = 0; i < TRIES && !is_at_step; i++)
    is_right = try_scene (scene, &is_at_step);
  return is_right;
}

static bool
is_possible (const struct scene *scene)
{
  bool is_stream = scene->mode == ROUTE_STREAM;

  switch (scene->step)
    {
    case AT_BUDGET:
      return is_stream && !scene->is_relayed;
    case AT_STREAM:
      return is_stream;
    case AT_RESUMING:
      return is_stream && scene->is_resumable;
    default:
      return true;
    }
}

/* Whether a planted fault has been found, so that no further play is due.  */
static bool
has_found_planted (uint32_t wrong)
{
  return wrong > 0 && getenv ("PLANTED");
}

/* Plays each way at each step, on routes of MODE.  Returns how many plays end
   wrongly.  */
static uint32_t
play_mode (enum route_retry_mode mode, bool is_resumable, bool is_relayed,
           bool is_old)
{
  uint32_t wrong = 0;

  for (int step = 0; step < STEPS; step++)
    for (int way = 0; way < WAYS && !has_found_planted (wrong); way++)
      {
        struct scene scene = { .mode = mode,
                               .is_resumable = is_resumable,
                               .is_relayed = is_relayed,
                               .is_old = is_old,
                               .step = (enum step)step,
                               .ways = { (enum way)way },
                               .way_count = 1 };

        if (is_possible (&scene))
          wrong += !ends_once (&scene);
      }
  return wrong;
}

static uint32_t
play_all (bool is_old)
{
  return play_mode (ROUTE_STREAM, true, false, is_old)
         + play_mode (ROUTE_STREAM, false, false, is_old)
         + play_mode (ROUTE_ONCE, false, false, is_old)
         + play_mode (ROUTE_IDEMPOTENT, false, false, is_old);
}

/* Plays two ways at once, drawn at random from a fixed seed.  */
static uint32_t
play_pairs (void)
{
  uint64_t state = SEED;
  uint32_t wrong = 0;

  for (int played = 0; played < PAIRS;)
    {
      uint64_t draw = state = id_hash64 (&state, sizeof state, SEED);
      struct scene scene = { .mode = (enum route_retry_mode) (draw % 3),
                             .is_resumable = draw >> 8 & 1,
                             .is_relayed = (draw >> 9) % 4 == 0,
                             .is_old = (draw >> 12) % 4 == 0,
                             .step = (enum step) ((draw >> 16) % STEPS),
                             .ways = { (enum way) ((draw >> 24) % WAYS),
                                       (enum way) ((draw >> 32) % WAYS) },
                             .way_count = 2 };

      if (!is_possible (&scene))
        continue;
      played++;
      wrong += !ends_once (&scene);
    }
  return wrong;
}

static void
check (uint32_t wrong)
{
  CU_ASSERT_EQUAL (wrong > 0, getenv ("PLANTED") != NULL);
}

/* Guards against requests without an end, or with two, whatever ends them.  */
static void
each_way_ends_once (void)
{
  check (play_all (false));
}

/* Guards against the same for callers without chunks, whose streams are held
   back until they are whole.  */
static void
each_way_ends_once_for_old_callers (void)
{
  check (play_all (true));
}

/* Guards against the same for requests that another host sends.  */
static void
each_way_ends_once_by_relay (void)
{
  check (play_mode (ROUTE_STREAM, true, true, false)
         + play_mode (ROUTE_ONCE, false, true, false));
}

/* Guards against the same if two things happen at once.  */
static void
two_ways_at_once_end_once (void)
{
  check (play_pairs ());
}

CU_TestInfo request_ends_tests[]
    = { { "each way ends a request once", each_way_ends_once },
        CU_TEST_INFO_NULL };

CU_TestInfo request_ends_old_tests[]
    = { { "the same for old callers", each_way_ends_once_for_old_callers },
        CU_TEST_INFO_NULL };

CU_TestInfo request_ends_relay_tests[]
    = { { "the same by relay", each_way_ends_once_by_relay },
        CU_TEST_INFO_NULL };

CU_TestInfo request_ends_pairs_tests[]
    = { { "two ways at once end a request once", two_ways_at_once_end_once },
        CU_TEST_INFO_NULL };
