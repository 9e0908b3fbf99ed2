#include "request/request.h"
#include "common/counters.h"
#include "common/histogram.h"
#include "common/id.h"
#include "common/log.h"
#include "policy/endpoint_limit.h"
#include "request/admission_step.h"
#include "request/chosen_route.h"
#include "request/conversation_step.h"
#include "request/event_splitter.h"
#include "request/observation.h"
#include "request/stream_memory.h"
#include <stdlib.h>
#include <string.h>

enum
{
  CONNECT_TIMEOUT_MS = 250, /* many times the round trip to any data centre */
  /* Connections that have been idle for longer are not reused, since the
     endpoint may close one just as a request is sent on it. */
  MAX_IDLE_NON_IDEMPOTENT_MS = 2000,
  MAX_IDLE_MS = 4000,     /* the same for idempotent requests */
  SILENT_MS = 1000,       /* silence of an endpoint that is logged */
  HEARD_INTERVAL_MS = 50, /* between reports that an endpoint sends */
  /* Of a request that begins a program, by full endpoints: 90 ms in total,
     after which its caller gains more by coming back later. */
  MAX_FIRST_TURN_REFUSALS = 4,
  MAX_SENDS = 12,  /* per request, including sends that endpoints refuse */
  BACKOFF_MS = 15, /* multiplied by the number of failed sends */
  MIN_REMAINING_MS = 20, /* with less time left, a request is not retried */
  DEFAULT_ATTEMPTS = 2, /* of idempotent requests if the route sets no limit */
  RETRY_AFTER_MS = 300, /* told to callers if no endpoint is available */
  STOPPING_RETRY_MS = 50, /* another host accepts the request immediately */
  CRASH_RETRY_MAX_MS = 60000, /* for requests that crash endpoints */
  MAX_TOKEN_WAIT_MS = 1000,   /* with longer waits, most programs are late */
  /* For the same reason.  Requests that begin a program are refused first,
     since no work is lost with them. */
  MAX_PERMIT_WAIT_MS = ENDPOINT_LIMIT_MAX_TURN_MS,
  MAX_NEW_PERMIT_WAIT_MS = 100,
  /* Several times the usual wait, and well below what callers wait.  Programs
     under way have a third of their time, since their work would be lost. */
  MAX_FIRST_EVENT_MS = 500,
  MAX_CACHE_WAIT_MS = 300, /* for an endpoint that has the prompt cached */
  MAX_DENIALS = 4,         /* then only endpoints without a limit are tried */
  MIN_PERMIT_RETRY_MS = 100,  /* an earlier retry would find the limits used */
  MAX_PERMIT_RETRY_MS = 1500, /* callers wait a few seconds in total */
  BUDGET_RETRY_MS = 500, /* while too few of the ledger's keepers respond */
  /* For streams that cannot be resumed: the caller can start them again. */
  RESUME_RETRY_MS = 50,
  CHANGED_RETRY_MS = 50, /* the new configuration is in force already */
  MAX_RESPONSE_BYTES = 8 * 1024 * 1024,
};

enum
{
  STATUS_TIMEOUT = 408,
  STATUS_MISDIRECTED = 421,
  STATUS_TOO_MANY = 429,
  STATUS_SERVER_ERROR = 500, /* and above */
  STATUS_UNAVAILABLE = 503,
};

/* Owned by the pipeline. */
struct request
{
  struct pipeline *pipeline;
  struct request_input *input;
  struct response *response; /* its end ends the request */
  struct chosen_route *chosen;
  const struct route *route; /* owned by chosen; NULL until it is found */
  const struct customer *customer; /* owned by chosen; NULL on open routes */
  const struct service *service;   /* of the current send; owned by chosen */
  uint64_t generation; /* of the configuration that was looked up last */
  /* What a later configuration made of what the request is; it is not sent
     any more then. */
  enum chosen_route_change change;
  uint64_t program;
  struct stream_key stream; /* content is 0 if it cannot be resumed */
  uint64_t fingerprint; /* hash of the content, equal for repeated attempts */
  int64_t started_ms;
  int64_t deadline_at_ms;
  int64_t sent_ms;        /* start of the current send */
  int64_t first_event_ms; /* arrival of its first event; 0 for none */
  int64_t cached_tokens;  /* prompt tokens expected in the endpoint's cache */
  ev_timer backoff;
  bool begins_program; /* no turn of the program has run before */
  bool is_weighed;     /* admission has decided on it */
  bool has_origin;     /* build is known, or the stream begins */
  bool has_token;      /* holds a token of the customer's rate limit */
  struct conversation_step conversation;
  struct stream_lookup *origin_lookup;
  struct limits_waiter *token_wait;
  struct ledger_reservation *reservation;
  struct permit_ask *permit_ask;
  uint64_t permit_endpoint; /* start of that for which a permit is acquired */
  bool has_permit;          /* for that endpoint, not used yet */
  int64_t permitted_ms;
  int64_t permit_asked_ms;
  uint32_t denials;        /* of permits, for the next send */
  bool has_awaited_permit; /* has asked for a permit in advance */
  bool is_last_denied;     /* by the endpoint that may have run the request */
  struct pool_endpoint *endpoint; /* of the current send; NULL if none */
  bool is_relayed;                /* the current send, by another host */
  /* Of the endpoint that may have run the request; 0 for none. */
  uint64_t last_endpoint_hash;
  /* Of the endpoint that began the stream, at which alone it may go on; 0
     until the first event. */
  uint64_t build;
  /* Of the current send, one of: */
  struct fetch *fetch; /* from this host */
  struct relay *relay; /* from another one */
  struct response_head head;
  bool is_first_response; /* on its connection */
  struct event_splitter events;
  /* Id of the last event that the caller has, also from earlier attempts;
     negative for none. */
  int64_t last_event_id;
  int64_t events_forwarded;
  int64_t tokens_forwarded; /* by the services that sent them */
  int64_t sent_events;      /* events of the current send */
  bool goes_on;       /* the current send, with a stream that has begun */
  bool has_new_event; /* of the current send, forwarded */
  /* The caller's buffer had no room for an event of the current send, which
     the caller thus lacks. */
  bool lacks_room;
  bool lacks_unnamed_event; /* after which the stream cannot go on */
  /* An earlier send broke off inside the event after the last one. */
  bool lacks_event;
  uint32_t sends;         /* including those that certainly did not run */
  uint32_t possible_runs; /* sends after which the request may have run */
  uint32_t full_refusals; /* by endpoints that state they have no room */
  uint32_t failed_sends;  /* multiplies the backoff */
  /* Starts of the endpoints that refused it on a connection of another host,
     which that one may keep.  Their refusals name the request, as those of a
     further send would. */
  uint64_t refused_by[MAX_SENDS];
  uint32_t refusals;
  bool was_refused_here; /* by the endpoint of the current send, before */
  GList link;
};

struct pipeline
{
  struct pipeline_options options;
  struct routing *routing; /* NULL until the first configuration */
  uint64_t generation;     /* counts the configurations applied */
  bool is_closed;          /* refuses new requests */
  struct admission_step *admission;
  struct crash_notices *own_crashes; /* if the options have none */
  GQueue requests;
};

static void continue_admission (struct request *request);

/* Frees INPUT.  */
void
request_input_destroy (struct request_input *input)
{
  if (!input)
    return;
  free (input->id);
  free (input->method);
  free (input->target);
  free (input->path);
  free (input->host);
  free (input->key);
  free (input->program);
  free (input->previous);
  free (input->resumed_id);
  free (input->parts);
  headers_destroy (input->headers, input->header_count);
  buf_release (&input->body);
  free (input);
}

static struct log_ids
log_ids (const struct request *request)
{
  return (struct log_ids){ .request = request->input->id,
                           .program = request->input->program,
                           .customer = request->customer
                                           ? request->customer->name
                                           : NULL };
}

static void
release_endpoint (struct request *request)
{
  if (request->fetch)
    fetch_cancel (request->fetch);
  request->fetch = NULL;
  relay_cancel (request->relay);
  request->relay = NULL;
  if (request->endpoint && !request->is_relayed)
    pool_end_direct (request->endpoint);
  if (request->endpoint)
    pool_release (request->pipeline->options.pool, request->endpoint);
  request->endpoint = NULL;
}

/* Called by the end of the request's response, and by nothing else.  */
static void
request_destroy (void *data)
{
  struct request *request = data;
  struct pipeline *pipeline = request->pipeline;

  release_endpoint (request);
  conversation_step_release (&request->conversation);
  stream_lookup_cancel (request->origin_lookup);
  limits_cancel (request->token_wait);
  endpoint_limiter_cancel (request->permit_ask);
  ledger_settle (request->reservation, request->tokens_forwarded);
  ev_timer_stop (pipeline->options.loop, &request->backoff);
  g_queue_unlink (&pipeline->requests, &request->link);
  response_head_release (&request->head);
  event_splitter_release (&request->events);
  request_input_destroy (request->input);
  chosen_route_destroy (request->chosen);
  free (request);
}

static int64_t
remaining_ms (const struct request *request)
{
  return request->deadline_at_ms - clock_now_ms ();
}

/* Returns the time left for the request's program, which may be negative.  */
static int64_t
program_left_ms (const struct request *request)
{
  return request->started_ms + request->input->program_deadline_ms
         - clock_now_ms ();
}

/* Whether admission concerns the request: this host admits programs by load,
   and it is a turn whose caller states the program's deadline.  */
static bool
has_program_deadline (const struct request *request)
{
  return request->pipeline->options.admits_programs && request->route
         && route_admits_programs (request->route,
                                   request->input->program_deadline_ms);
}

/* Returns the least time in which a send of the request can succeed.  */
static int64_t
least_send_ms (const struct request *request)
{
  int64_t least_ms = 0;

  if (has_program_deadline (request))
    least_ms = admission_step_least_ms (
        request->pipeline->admission, request->service->name, clock_now_ms ());
  return MAX (least_ms, MIN_REMAINING_MS);
}

/* Whether the request has had all of its sends.  */
static bool
has_used_sends (const struct request *request)
{
  return request->sends >= MAX_SENDS
         || (has_program_deadline (request) && request->begins_program
             && request->full_refusals >= MAX_FIRST_TURN_REFUSALS);
}

/* Returns when the caller of a request for which there is no room should come
   back.  */
static uint32_t
overload_retry_ms (const struct request *request)
{
  return has_program_deadline (request) ? (uint32_t)admission_retry_after_ms (
             RETRY_AFTER_MS, program_left_ms (request), id_random64 ())
                                        : RETRY_AFTER_MS;
}

/* Ends the request: all of its ends pass here.  */
static void
end_request (struct request *request, const struct response_end *end)
{
  struct log_ids ids = log_ids (request);

  response_end (request->response, end, &ids);
}

/* Refuses the request.  */
static void
refuse (struct request *request, const struct error *error)
{
  struct response_end end = { .way = ENDING_WHOLE, .error = error };
  struct log_ids ids = log_ids (request);

  counter_add_refusal (error->kind);
  log_write (LOG_INFO, "request", &ids,
             "refused: %s: %s (%s, %u sends, %" G_GINT64_FORMAT
             " ms after arrival)",
             error_kind_name (error->kind), error->message,
             error_run_name (error->run), request->sends,
             clock_now_ms () - request->started_ms);
  end_request (request, &end);
}

static void
refuse_with_message (struct request *request, enum error_kind kind,
                     uint32_t retry_after_ms, const char *message)
{
  struct error error;

  error_set (&error, kind,
             request->possible_runs > 0 ? RUN_MAY_HAVE_RUN : RUN_NOT_RUN, "%s",
             message);
  error.retry_after_ms = retry_after_ms;
  refuse (request, &error);
}

/* Ends a request that will not get a response from any endpoint: aborts its
   stream if that has begun, or else refuses it.  */
static void
fail_request (struct request *request, const char *reason)
{
  static const struct response_end abort_end = { .way = ENDING_ABORT };
  struct log_ids ids = log_ids (request);

  if (response_has_begun (request->response))
    {
      log_write (LOG_WARN, "request", &ids,
                 "stream aborted after event %" G_GINT64_FORMAT ": %s",
                 request->last_event_id, reason);
      end_request (request, &abort_end);
      return;
    }
  if (request->possible_runs > 0)
    refuse_with_message (request,
                         remaining_ms (request) <= 0 ? ERROR_ENDPOINT_TIMEOUT
                                                     : ERROR_ENDPOINT,
                         0, reason);
  else
    refuse_with_message (request, ERROR_OVERLOADED,
                         overload_retry_ms (request), reason);
}

/* Logs for how long the endpoint has been silent, if that is long enough for
   the connection to be the cause.  */
static void
log_silence (const struct request *request)
{
  const struct pool_endpoint *endpoint = request->endpoint;
  struct log_ids ids = log_ids (request);
  int64_t silent_ms;

  if (!endpoint || request->is_relayed)
    return;
  silent_ms
      = clock_now_ms () - MAX (endpoint->last_heard_ms, request->sent_ms);
  if (silent_ms < SILENT_MS)
    return;
  counter_add (COUNTER_SILENT_DEADLINES, 1);
  log_write (LOG_INFO, "request", &ids,
             "endpoint %s has sent nothing to this host for %" G_GINT64_FORMAT
             " ms; %u connections to it failed since the last one",
             endpoint->id, silent_ms, endpoint->path.failures);
}

static void
handle_deadline (void *data)
{
  log_silence (data);
  fail_request (data, "the request's deadline has passed");
}

static void
handle_backoff (struct ev_loop *loop, ev_timer *timer, int events)
{
  continue_admission (timer->data);
}

static void
schedule_retry (struct request *request)
{
  int64_t wait_ms = (int64_t)BACKOFF_MS * request->failed_sends;

  ev_timer_set (&request->backoff, (double)wait_ms / 1000.0, 0);
  ev_timer_start (request->pipeline->options.loop, &request->backoff);
}

/* Records CRASH against each request that was running at the endpoint.  */
static void
record_crash (struct pipeline *pipeline, const struct pool_crash *crash,
              int64_t now_ms)
{
  for (uint32_t i = 0; i < crash->suspect_count; i++)
    {
      const struct pool_suspect *suspect = &crash->suspects[i];
      struct crash_record record = { .endpoint = crash->endpoint,
                                     .at_ms = suspect->interrupted_ms,
                                     .is_confirmed = true };
      uint32_t crashes = crash_notices_record (
          pipeline->options.crashes, suspect->fingerprint, &record, now_ms);

      log_write (LOG_WARN, "request", NULL,
                 "endpoint %s crashed while running a request with "
                 "fingerprint %016" G_GINT64_MODIFIER
                 "x: crash %u for this fingerprint",
                 crash->id, suspect->fingerprint, crashes);
      if (pipeline->options.handle_crash)
        pipeline->options.handle_crash (
            pipeline->options.data, suspect->fingerprint, crashes, crash->id);
    }
}

/* Attributes endpoint crashes to the requests that were running there.  Must
   be called at least every 100 ms.  */
void
pipeline_tick (struct pipeline *pipeline, int64_t now_ms)
{
  struct pool_crash *crash;

  while ((crash = pool_take_crash (pipeline->options.pool, now_ms)))
    {
      record_crash (pipeline, crash, now_ms);
      pool_crash_destroy (crash);
    }
  crash_notices_tick (pipeline->options.crashes, now_ms);
}

/* Records that the request's endpoint closed its connection.  */
static void
record_interruption (struct request *request)
{
  int64_t now_ms = clock_now_ms ();
  struct crash_record record
      = { .endpoint = request->endpoint->hash, .at_ms = now_ms };

  if (!request->is_relayed)
    pool_record_interrupted (request->endpoint, request->fingerprint, now_ms);
  crash_notices_record (request->pipeline->options.crashes,
                        request->fingerprint, &record, now_ms);
}

/* Records that a connection to ENDPOINT could not be opened.  */
static void
record_connect_failure (struct pipeline *pipeline,
                        struct pool_endpoint *endpoint, bool is_refused)
{
  int64_t now_ms = clock_now_ms ();

  pool_record_failure (endpoint, now_ms);
  if (!is_refused)
    return;
  pool_record_connection_refused (endpoint, now_ms);
  pipeline_tick (pipeline, now_ms);
}

/* Retries a request that has not run, or ends it if no retry is possible.  */
static void
retry_not_run (struct request *request, const char *reason)
{
  struct pool_endpoint *endpoint = request->endpoint;

  request->possible_runs--;
  request->failed_sends++;
  if (!response_has_begun (request->response))
    request->last_endpoint_hash = 0;
  counter_add (COUNTER_ENDPOINT_RETRIES, 1);
  if (endpoint && !request->is_relayed)
    endpoint->avoid_until_ms
        = MAX (endpoint->avoid_until_ms, clock_now_ms () + BACKOFF_MS);
  release_endpoint (request);
  if (has_used_sends (request)
      || remaining_ms (request) < least_send_ms (request))
    {
      fail_request (request, reason);
      return;
    }
  schedule_retry (request);
}

/* Returns the endpoint that may have run the request if it is still available,
   or NULL.  */
static struct pool_endpoint *
find_last_endpoint (const struct request *request)
{
  struct pool_endpoint *endpoint
      = request->last_endpoint_hash ? pool_find_available (
            request->pipeline->options.pool, request->last_endpoint_hash)
                                    : NULL;

  return endpoint && (!request->build || endpoint->build == request->build)
             ? endpoint
             : NULL;
}

/* Whether the route allows another endpoint to run the request, too.  */
static bool
may_run_elsewhere (const struct request *request)
{
  uint32_t attempts = request->route->max_attempts;

  return request->possible_runs < (attempts > 0 ? attempts : DEFAULT_ATTEMPTS);
}

/* Whether what the caller has got names the event after which its stream goes
   on.  */
static bool
can_go_on (const struct request *request)
{
  return !response_has_begun (request->response)
         || (request->last_event_id >= 0 && !request->lacks_unnamed_event);
}

/* Whether a request that may have run may be sent again.  */
static bool
may_run_again (const struct request *request)
{
  if (remaining_ms (request) < least_send_ms (request)
      || request->sends >= MAX_SENDS)
    return false;
  if (request->route->retry_mode == ROUTE_ONCE)
    return false;
  if (request->route->retry_mode == ROUTE_STREAM
      && (!request->route->resumable || !can_go_on (request)))
    return false;
  /* An attempt on an endpoint that is gone does not count against the route's
     limit, and a stream may be resumed on the endpoint that ran it.  */
  if (!find_last_endpoint (request)
      || request->route->retry_mode == ROUTE_STREAM)
    return true;
  return may_run_elsewhere (request);
}

static struct pool_outcome
make_outcome (const struct request *request, int64_t since_ms, int64_t now_ms)
{
  return (struct pool_outcome){ .elapsed_ms = now_ms - since_ms,
                                .running = request->head.running,
                                .waiting = request->head.waiting,
                                .work_percent = request->head.work_percent };
}

/* Records what a send tells of the endpoint's speed and errors.  One that was
   relayed tells of the way, too.  */
static void
record_speed (const struct request *request, bool is_served)
{
  bool is_call = request->input->prompt_tokens <= 0;
  int64_t now_ms = clock_now_ms ();
  struct pool_outcome outcome = make_outcome (
      request, is_call ? request->sent_ms : request->first_event_ms, now_ms);

  if (request->is_relayed)
    return;
  pool_record_outcome (request->endpoint, is_served, now_ms);
  if (is_served && is_call)
    pool_record_call (request->endpoint, &outcome, now_ms);
  else if (is_served && request->first_event_ms)
    pool_record_stream (request->endpoint, request->sent_events, &outcome,
                        now_ms);
}

/* Has a stream go on after the last event that its caller has, once there is
   room for further ones, or aborts it.  */
static void
handle_lack_of_room (struct request *request)
{
  struct log_ids ids = log_ids (request);

  log_write (LOG_WARN, "request", &ids,
             "no room for what the caller has not read: the stream goes on "
             "after event %" G_GINT64_FORMAT " if it may",
             request->last_event_id);
  if (!may_run_again (request))
    {
      fail_request (request, "the caller reads too slowly");
      return;
    }
  request->failed_sends++;
  release_endpoint (request);
  schedule_retry (request);
}

/* Retries or ends a request that may have run and whose endpoint will not
   deliver the response.  */
static void
handle_endpoint_failure (struct request *request, const char *reason)
{
  struct log_ids ids = log_ids (request);

  counter_add (COUNTER_ENDPOINT_FAILURES, 1);
  log_write (
      LOG_WARN, "request", &ids,
      "no usable response from endpoint %s, version %s: %s (after event "
      "%" G_GINT64_FORMAT ", %zu bytes follow it)",
      request->endpoint->id, pool_endpoint_version (request->endpoint), reason,
      request->last_event_id, request->events.pending.len);
  if (request->is_relayed)
    pool_record_relay_failure (request->endpoint, clock_now_ms ());
  else
    pool_record_failure (request->endpoint, clock_now_ms ());
  record_speed (request, false);
  if (!may_run_again (request))
    {
      fail_request (request, reason);
      return;
    }
  request->failed_sends++;
  release_endpoint (request);
  schedule_retry (request);
}

/* Returns the HTTP status received so far, or 0 if there is none.  */
static long
received_status (const struct request *request)
{
  return request->relay ? relay_status (request->relay)
                        : fetch_status (request->fetch);
}

static struct observation
make_observation (const struct request *request, long status)
{
  const struct pipeline_options *options = &request->pipeline->options;

  return (struct observation){ .pool = options->pool,
                               .limiter = options->limiter,
                               .endpoint = request->endpoint,
                               .head = &request->head,
                               .sent_ms = request->sent_ms,
                               .status = status,
                               .ids = log_ids (request) };
}

static void
handle_header (void *data, const char *name, const char *value)
{
  struct request *request = data;
  struct observation observation
      = make_observation (request, received_status (request));

  request->pipeline->options.wire->read_header (&request->head, name, value);
  observation_record_header (&observation);
}

static bool
is_success (long status)
{
  return status >= 200 && status < 300;
}

/* Whether the response names this request, and not an earlier send of it.  A
   failure without an endpoint's stamp may name none, as endpoints refuse
   requests that they have not read; but on a connection that was used before
   it may be a late or repeated response to another request.  */
static bool
has_matching_id (const struct request *request)
{
  const char *id = request->head.request_id;

  if (id && request->input->id)
    return strcmp (id, request->input->id) == 0
           && (request->is_first_response || !request->was_refused_here);
  return request->is_first_response
         && (!request->input->id
             || (!is_success (request->head.status)
                 && !request->head.is_from_endpoint));
}

/* Whether the response is a success that cannot go on with the stream of which
   the caller has the beginning: it is no stream.  */
static bool
is_foreign_success (const struct request *request)
{
  return request->goes_on && is_success (request->head.status)
         && request->head.has_content_type && !request->head.is_event_stream;
}

/* Whether the response is valid and belongs to this request.  */
static bool
is_matching_response (const struct request *request)
{
  return !request->head.is_encoded && !is_foreign_success (request)
         && (request->head.is_from_endpoint
             || !is_success (request->head.status))
         && has_matching_id (request);
}

static void
record_first_event (struct request *request)
{
  int64_t now_ms = clock_now_ms ();
  struct pool_outcome outcome
      = make_outcome (request, request->sent_ms, now_ms);

  if (request->first_event_ms)
    return;
  request->first_event_ms = now_ms;
  histogram_record (HISTOGRAM_FIRST_EVENT_MS, outcome.elapsed_ms);
  if (!request->is_relayed && request->input->prompt_tokens > 0)
    pool_record_first_event (request->endpoint,
                             request->input->prompt_tokens
                                 - request->cached_tokens,
                             &outcome, now_ms);
  admission_step_record_first_event (
      request->pipeline->admission, request->service->name,
      request->first_event_ms - request->sent_ms, request->first_event_ms);
}

/* Forwards the response's head.  The stream stays at the build that sends its
   first event.  */
static void
begin_stream (struct request *request)
{
  const struct pipeline_options *options = &request->pipeline->options;
  struct log_ids ids = log_ids (request);

  request->build = request->endpoint->build;
  if (options->streams && request->stream.content)
    stream_index_record (options->streams, &request->stream, request->build);
  response_begin (request->response, &request->head, &ids);
}

/* Whether what an endpoint sends as an event is none of the stream: bytes of
   another response, or what may have been forwarded before.  */
static bool
is_foreign_event (const struct request *request, int64_t id)
{
  bool is_next = request->has_new_event || !request->goes_on || id >= 0;

  if (id == EVENT_MALFORMED)
    return request->head.is_event_stream || request->goes_on;
  return id == EVENT_WITHOUT_ID && !is_next && request->last_event_id >= 0;
}

/* Forwards an event, skipping those that the caller has already received from
   an earlier send.  The response's head is forwarded with the first event, so
   that both come from the same endpoint.  Returns false to stop if an event is
   missing or is none.  */
static bool
forward_event (void *data, int64_t id, const char *bytes, size_t len)
{
  struct request *request = data;

  if (is_foreign_event (request, id))
    return false;
  record_first_event (request);
  request->sent_events++;
  if (id >= 0 && request->last_event_id >= 0 && id <= request->last_event_id)
    return true;
  if (id >= 0 && request->last_event_id >= 0
      && id != request->last_event_id + 1)
    return false;
  if (!response_has_begun (request->response))
    begin_stream (request);
  if (!response_write (request->response, bytes, len))
    {
      request->lacks_room = true;
      request->lacks_unnamed_event = request->lacks_unnamed_event || id < 0;
      return false;
    }
  if (id >= 0)
    {
      request->last_event_id = id;
      request->has_new_event = true;
      request->lacks_event = false;
    }
  request->events_forwarded++;
  request->tokens_forwarded += request->service->tokens_per_event;
  conversation_step_add_event (&request->conversation, bytes, len);
  return true;
}

/* Reports that this host hears the request's endpoint: its data centre is
   reachable.  */
static void
report_heard (const struct request *request)
{
  const struct pipeline_options *options = &request->pipeline->options;
  int64_t now_ms = clock_now_ms ();

  if (request->is_relayed)
    return;
  request->endpoint->last_heard_ms = now_ms;
  if (!options->handle_heard
      || now_ms - request->endpoint->heard_ms < HEARD_INTERVAL_MS)
    return;
  request->endpoint->heard_ms = now_ms;
  options->handle_heard (options->data, request->endpoint->data_centre,
                         now_ms);
}

/* Looks at the head of a response once it is complete.  */
static void
observe_head (struct request *request)
{
  struct observation observation
      = make_observation (request, received_status (request));

  if (request->head.status != 0)
    return;
  request->head.status = observation.status;
  request->is_first_response
      = request->relay ? relay_is_first_response (request->relay)
                       : fetch_has_opened_connection (request->fetch);
  observation_record_load (&observation);
  observation_record_head_end (&observation);
}

static bool reports_not_run (const struct request *request);

/* Stops a response whose connection must not be used again: the response to
   this request follows one that does not belong to it, and a refusal may be
   repeated as the request, whose id it bears, is sent again.  */
static bool
handle_head (void *data)
{
  struct request *request = data;

  observe_head (request);
  return is_matching_response (request)
         && (request->route->retry_mode == ROUTE_IDEMPOTENT
             || !reports_not_run (request));
}

/* Handles data of a streamed response, whose head is complete.  */
static bool
handle_stream_data (void *data, const char *bytes, size_t len)
{
  struct request *request = data;

  report_heard (request);
  observe_head (request);
  if (!is_matching_response (request))
    return false;
  if (!is_success (request->head.status))
    return event_splitter_collect (&request->events, bytes, len)
           && request->events.pending.len <= EVENT_SPLITTER_MAX_EVENT_BYTES;
  return event_splitter_append (&request->events, bytes, len, forward_event,
                                request);
}

static void
log_response (struct request *request, enum fetch_framing framing)
{
  struct log_ids ids = log_ids (request);
  int64_t now_ms = clock_now_ms ();

  histogram_record (HISTOGRAM_REQUEST_MS, now_ms - request->started_ms);
  if (request->first_event_ms && request->events_forwarded > 0)
    admission_step_record_end (request->pipeline->admission,
                               request->service->name,
                               now_ms - request->first_event_ms);
  log_write (
      LOG_INFO, "request", &ids,
      "status %ld from endpoint %s, version %s, after %" G_GINT64_FORMAT
      " ms: route %s, %u sends, the last %" G_GINT64_FORMAT
      " ms ago, first event after %" G_GINT64_FORMAT " ms, %" G_GINT64_FORMAT
      " events, %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT
      " prompt tokens expected in its cache, configuration "
      "%" G_GINT64_FORMAT ", framed by %s",
      request->head.status, request->endpoint->id,
      pool_endpoint_version (request->endpoint), now_ms - request->started_ms,
      request->route->name, request->sends, now_ms - request->sent_ms,
      request->first_event_ms ? request->first_event_ms - request->sent_ms : 0,
      request->events_forwarded, request->cached_tokens,
      request->input->prompt_tokens, request->chosen->version,
      fetch_framing_name (framing));
}

/* Forwards a complete response.  The caller keeps ownership of BODY.  */
static void
forward_response (struct request *request, const struct buf *body)
{
  struct response_head head = request->head;
  struct response_end end
      = { .way = ENDING_WHOLE, .head = &head, .body = body };

  request->head = (struct response_head){ 0 };
  end_request (request, &end);
  response_head_release (&head);
}

/* Ends the response on a streaming route.  */
static void
end_stream (struct request *request)
{
  static const struct response_end complete = { .way = ENDING_COMPLETE };
  struct buf pending = request->events.pending;

  if (response_has_begun (request->response))
    {
      end_request (request, &complete);
      return;
    }
  request->events.pending = (struct buf){ 0 };
  forward_response (request, &pending);
  buf_release (&pending);
}

static void
handle_turn_written (void *data, bool is_durable)
{
  if (is_durable)
    end_stream (data);
  else
    fail_request (data, "the turn cannot be made durable");
}

/* Ends a successful response on a streaming route, once its turn is durable if
   the route keeps turns.  The endpoint is released before, so that it does not
   wait for keepers.  */
static void
end_turn (struct request *request)
{
  enum conversation_end end;

  release_endpoint (request);
  end = conversation_step_end (&request->conversation, handle_turn_written,
                               request);
  if (end == CONVERSATION_END_AT_ONCE)
    end_stream (request);
  else if (end == CONVERSATION_END_LOST)
    fail_request (request, "the turn's output cannot be held");
}

/* Whether the endpoint states that it has not run the request.  */
static bool
reports_not_run (const struct request *request)
{
  return request->head.status != 0 && is_matching_response (request)
         && (request->head.not_run
             || request->head.status == STATUS_MISDIRECTED);
}

/* Whether the response may be forwarded.  Some statuses are not, since callers
   take them to mean that the request has not run.  Responses that do mean this
   are handled before: see reports_not_run.  */
static bool
may_forward_response (const struct request *request)
{
  switch (request->head.status)
    {
    case 0:
    case STATUS_TIMEOUT:
    case STATUS_TOO_MANY:
    case STATUS_UNAVAILABLE:
      return false;
    default:
      return is_matching_response (request);
    }
}

/* Whether the end of a send that goes on with a stream, without a further
   event, cannot be that of the stream.  */
static bool
ends_too_early (const struct request *request)
{
  return request->goes_on && !request->has_new_event
         && (request->lacks_event || !request->head.is_event_stream);
}

/* Whether a stream ended inside an event or, without a framing that shows that
   it is complete, before its first one.  */
static bool
is_broken_off (const struct request *request,
               const struct fetch_result *result)
{
  if (request->route->retry_mode != ROUTE_STREAM
      || !is_success (request->head.status))
    return false;
  return request->events.pending.len > 0 || ends_too_early (request)
         || (result->framing == FETCH_FRAMING_CLOSE
             && !request->first_event_ms);
}

static const char *
describe_failure (const struct request *request,
                  const struct fetch_result *result)
{
  if (result->complete && is_matching_response (request)
      && is_broken_off (request, result))
    return "the stream was broken off";
  if (request->head.status == 0 && !result->resend_refused)
    return result->reason;
  if (result->resend_refused)
    return "the connection was closed before a response";
  if (result->complete || !is_matching_response (request))
    return "the response does not belong to this request";
  if (result->aborted)
    return "the response is too long or its events are out of sequence";
  return result->reason;
}

/* Records what a send from this host tells about its path to the endpoint.  */
static void
record_path (const struct request *request, const struct fetch_result *result)
{
  struct path_monitor *monitor = request->pipeline->options.monitor;
  struct pool_endpoint *endpoint = request->endpoint;
  int64_t now_ms = clock_now_ms ();

  if (result->connection_failed && endpoint->path.failures == 0)
    log_write (LOG_WARN, "request", NULL,
               "no connection to endpoint %s in data centre %s: %s",
               endpoint->id, endpoint->data_centre, result->reason);
  if (monitor)
    path_monitor_record_result (monitor, endpoint, result, now_ms);
}

/* Whether the request has been refused by ENDPOINT through another host.  */
static bool
was_refused_by (const struct request *request,
                const struct pool_endpoint *endpoint)
{
  for (uint32_t i = 0; i < request->refusals; i++)
    if (request->refused_by[i] == endpoint->start)
      return true;
  return false;
}

/* Records a refusal.  One for want of a slot is no error.  */
static void
record_refusal (struct request *request)
{
  const struct response_head *head = &request->head;

  if (request->is_relayed && request->refusals < MAX_SENDS)
    request->refused_by[request->refusals++] = request->endpoint->start;
  if (head->status != STATUS_MISDIRECTED && !head->is_leaving
      && head->running >= 0 && head->running < request->endpoint->slots
      && head->waiting <= 0 && request->endpoint->limit_milli < 0)
    record_speed (request, false);
}

/* Handles the end of a response, or of a send without one, that was sent.  */
static void
handle_sent (struct request *request, const struct fetch_result *result)
{
  const struct buf *body = result->body;
  struct observation observation = make_observation (request, result->status);
  bool is_complete;

  if (result->status > 0)
    report_heard (request);
  /* An incomplete head states nothing. */
  if (request->head.status == 0 && result->complete)
    {
      request->head.status = result->status;
      request->is_first_response = result->connection_opened;
      observation_record_head_end (&observation);
      observation_record_load (&observation);
    }
  if (reports_not_run (request))
    {
      record_refusal (request);
      request->full_refusals += request->head.status == STATUS_UNAVAILABLE;
      retry_not_run (request, "the endpoints are full");
      return;
    }
  if (request->lacks_room)
    {
      handle_lack_of_room (request);
      return;
    }
  is_complete = result->complete && !is_broken_off (request, result);
  if (!is_complete || !may_forward_response (request))
    {
      if (is_success (request->head.status) && request->events.pending.len > 0)
        {
          counter_add (COUNTER_UNFINISHED_EVENTS, 1);
          request->lacks_event |= !result->aborted;
        }
      if (!is_complete && !result->aborted && !result->resend_refused)
        record_interruption (request);
      handle_endpoint_failure (request, describe_failure (request, result));
      return;
    }
  if (request->is_relayed)
    pool_record_relay_success (request->endpoint);
  else
    pool_record_success (request->endpoint);
  record_speed (request, request->head.status < STATUS_SERVER_ERROR);
  crash_notices_record_success (request->pipeline->options.crashes,
                                request->fingerprint, clock_now_ms ());
  if (response_has_begun (request->response))
    {
      if (!is_success (request->head.status))
        {
          fail_request (request, "the endpoint failed to resume the stream");
          return;
        }
    }
  log_response (request, result->framing);
  if (request->route->retry_mode != ROUTE_STREAM)
    forward_response (request, body);
  else if (is_success (request->head.status))
    end_turn (request);
  else
    end_stream (request);
}

static void
handle_fetch_done (void *data, const struct fetch_result *result)
{
  struct request *request = data;

  request->fetch = NULL;
  record_path (request, result);
  if (result->sent)
    {
      handle_sent (request, result);
      return;
    }
  if (request->change == CHOSEN_ROUTE_SAME)
    record_connect_failure (request->pipeline, request->endpoint,
                            result->connection_refused);
  retry_not_run (request, "no endpoint could be reached");
}

/* Whether the request, for which a connection has been opened or chosen, may
   still be sent.  */
static bool
may_send (void *data)
{
  const struct request *request = data;

  return request->change == CHOSEN_ROUTE_SAME;
}

static void
handle_relay_done (void *data, const struct fetch_result *result,
                   enum relay_refusal refusal)
{
  struct request *request = data;
  struct log_ids ids = log_ids (request);

  request->relay = NULL;
  if (refusal == RELAY_NOT_REFUSED && result->sent)
    {
      handle_sent (request, result);
      return;
    }
  log_write (LOG_INFO, "request", &ids,
             "another host did not send it to endpoint %s: %s, %s",
             request->endpoint->id, relay_refusal_name (refusal),
             result->reason);
  if (refusal == RELAY_NO_PATH || refusal == RELAY_LEAVING
      || refusal == RELAY_UNKNOWN_ENDPOINT || refusal == RELAY_NO_PERMIT)
    pool_record_relay_failure (request->endpoint, clock_now_ms ());
  retry_not_run (request, "no endpoint could be reached");
}

static struct pool_query
make_pool_query (const struct request *request)
{
  return (struct pool_query){
    .service = request->service->name,
    .parts = request->input->parts,
    .part_count = request->input->part_count,
    .prompt_tokens
    = request->input->prompt_tokens > 0 ? request->input->prompt_tokens : 0,
    .program = request->program,
    .build = request->build,
    .is_unrepeatable = request->route->retry_mode == ROUTE_ONCE
  };
}

/* Has another host send the request, if this one has no path to its endpoint
   and another one offers that.  */
static struct relay *
start_relay (struct request *request, const struct fetch_options *options)
{
  struct relay_request relay
      = { .endpoint = request->endpoint,
          .fingerprint = request->fingerprint,
          .has_permit = request->endpoint->limit_milli >= 0,
          .timeout_ms = MAX (remaining_ms (request), 1),
          .request_id = request->input->id,
          .fetch = options,
          .handle_done = handle_relay_done };
  int64_t now_ms = clock_now_ms ();

  if (!request->pipeline->options.relays
      || !pool_lacks_path (request->endpoint, now_ms))
    return NULL;
  return relay_client_start (request->pipeline->options.relays, &relay,
                             now_ms);
}

static void
start_transfer (struct request *request, const struct fetch_options *options)
{
  request->relay = start_relay (request, options);
  request->is_relayed = request->relay != NULL;
  if (request->is_relayed)
    return;
  pool_begin_direct (request->endpoint, request->sent_ms);
  if (request->endpoint->limit_milli >= 0)
    counter_add (COUNTER_LIMITED_SENDS, 1);
  if (request->endpoint->is_cold)
    counter_add (COUNTER_COLD_SENDS, 1);
  request->fetch = fetch_start (request->pipeline->options.fetcher, options);
}

/* Returns the priority that the endpoint is told.  */
static int32_t
send_priority (const struct request *request)
{
  struct admission_turn turn
      = { .priority = request->customer && request->customer->priority >= 0
                          ? request->customer->priority
                          : request->route->priority,
          .begins_program = request->begins_program,
          .remaining_ms = program_left_ms (request),
          .program = request->program };

  return has_program_deadline (request)
             ? admission_step_priority (request->pipeline->admission, &turn)
             : turn.priority;
}

/* Tells the other hosts of a send that is a trial.  */
static void
begin_trial (const struct request *request)
{
  struct crash_notices *crashes = request->pipeline->options.crashes;
  int64_t wait_ms;

  if (crash_notices_check (crashes, request->fingerprint, request->sent_ms,
                           &wait_ms)
      == CRASH_TRY)
    crash_notices_begin_trial (crashes, request->fingerprint,
                               request->sent_ms);
}

static void
send_to_endpoint (struct request *request, struct pool_endpoint *endpoint)
{
  const struct pipeline_options *dependencies = &request->pipeline->options;
  struct request_input *input = request->input;
  struct request_send send
      = { .input = input,
          .customer = request->customer ? request->customer->name : NULL,
          .endpoint = endpoint->id,
          .remaining_ms = remaining_ms (request),
          .resume_after = request->last_event_id,
          .priority = send_priority (request) };
  bool is_stream = request->route->retry_mode == ROUTE_STREAM;
  /* What may run again may also be refused again.  */
  bool was_refused_here = request->route->retry_mode != ROUTE_IDEMPOTENT
                          && was_refused_by (request, endpoint);
  GPtrArray *lines = g_ptr_array_new_with_free_func (free);
  char *url = xasprintf ("http://%s/", endpoint->address);
  struct pool_query query = make_pool_query (request);
  struct fetch_options options
      = { .method = input->method,
          .url = url,
          .target = input->target,
          .exact_headers = true,
          .body = input->body.len > 0 ? input->body.data : NULL,
          .body_len = input->body.len,
          .connect_timeout_ms = CONNECT_TIMEOUT_MS,
          .max_body_bytes = MAX_RESPONSE_BYTES,
          .single_attempt = request->route->retry_mode != ROUTE_IDEMPOTENT,
          .new_connection = !input->id || was_refused_here,
          .refuses_resend = endpoint->limit_milli >= 0,
          .max_idle_ms = request->route->retry_mode == ROUTE_IDEMPOTENT
                             ? MAX_IDLE_MS
                             : MAX_IDLE_NON_IDEMPOTENT_MS,
          .may_send = may_send,
          .handle_header = handle_header,
          .handle_head = handle_head,
          .handle_data = is_stream ? handle_stream_data : NULL,
          .handle_done = handle_fetch_done,
          .data = request };

  response_head_release (&request->head);
  request->is_first_response = false;
  request->was_refused_here = was_refused_here;
  event_splitter_release (&request->events);
  dependencies->wire->write_headers (&send, lines);
  g_ptr_array_add (lines, NULL);
  options.headers = (const char *const *)lines->pdata;
  request->endpoint = endpoint;
  request->last_endpoint_hash = endpoint->hash;
  request->sends++;
  request->possible_runs++;
  request->denials = 0;
  request->has_awaited_permit = false;
  request->is_last_denied = false;
  request->sent_ms = clock_now_ms ();
  request->first_event_ms = 0;
  request->sent_events = 0;
  request->has_new_event = false;
  request->lacks_room = false;
  request->goes_on = is_stream
                     && (response_has_begun (request->response)
                         || input->resume_after >= 0);
  request->cached_tokens
      = pool_cached_tokens (endpoint, &query, request->sent_ms);
  pool_acquire (endpoint, &query, request->sent_ms);
  begin_trial (request);
  start_transfer (request, &options);
  g_ptr_array_free (lines, TRUE);
  free (url);
}

/* Sets *CUSTOMER to the request's customer, or to NULL on an open ROUTE.
   Returns false if its key is unknown.  */
static bool
find_customer (const struct request *request, const struct route *route,
               const struct customer **customer)
{
  const char *key = request->input->key;

  *customer = !route->is_open && key
                  ? routing_find_customer (request->pipeline->routing, key)
                  : NULL;
  return route->is_open || *customer;
}

/* Makes the request run by ROUTE and CUSTOMER, which may be NULL, of the
   configuration in force.  It keeps copies: a request may outlive many
   versions of thousands of routes.  */
static void
choose_route (struct request *request, const struct route *route,
              const struct customer *customer)
{
  struct chosen_route *chosen
      = chosen_route_create (request->pipeline->routing, route, customer);

  chosen_route_destroy (request->chosen);
  request->chosen = chosen;
  request->route = &chosen->route;
  request->customer = customer ? &chosen->customer : NULL;
  request->service = NULL;
  request->generation = request->pipeline->generation;
}

/* Returns what the configuration in force makes of what the request is.  */
static enum chosen_route_change
find_change (const struct request *request)
{
  const struct routing *latest = request->pipeline->routing;
  const struct route *route = routing_find_route (latest, request->input->host,
                                                  request->input->path);
  const struct customer *customer;

  if (!route)
    return CHOSEN_ROUTE_GONE;
  if (!find_customer (request, route, &customer))
    return CHOSEN_ROUTE_KEY_UNKNOWN;
  return chosen_route_compare (request->chosen, route, customer);
}

/* Ends a request that a later configuration has made another one.  All that
   was read for it holds for what it was.  */
static void
end_changed (struct request *request)
{
  if (response_has_begun (request->response))
    fail_request (request, "the configuration has changed what it is");
  else if (request->change == CHOSEN_ROUTE_GONE)
    refuse_with_message (request, ERROR_NOT_FOUND, 0,
                         "the request's route has been removed");
  else if (request->change == CHOSEN_ROUTE_KEY_UNKNOWN)
    refuse_with_message (request, ERROR_UNAUTHORIZED, 0,
                         "the request's API key has been removed");
  else if (request->possible_runs == 0)
    refuse_with_message (request, ERROR_OVERLOADED, CHANGED_RETRY_MS,
                         "the request's route or customer has changed; send "
                         "it again");
  else
    fail_request (request, "the request's route or customer has changed");
}

/* Ends the requests that wait and have become other ones.  The end of one may
   end others, so that the list is read from its begin each time.  Those that
   an endpoint has got go on.  */
static void
end_changed_requests (struct pipeline *pipeline)
{
  GList *at = pipeline->requests.head;

  while (at)
    {
      struct request *request = at->data;

      at = at->next;
      if (request->change == CHOSEN_ROUTE_SAME || request->endpoint
          || conversation_step_is_writing (&request->conversation))
        continue;
      end_changed (request);
      at = pipeline->requests.head;
    }
}

/* Looks the route up again so that a request that waited, and is what it was,
   uses the latest configuration.  A program that would go to other services
   is weighed anew.  */
static void
refresh_route (struct request *request)
{
  const struct routing *latest = request->pipeline->routing;
  const struct customer *customer;
  const struct route *route;

  if (request->pipeline->generation == request->generation)
    return;
  route = routing_find_route (latest, request->input->host,
                              request->input->path);
  find_customer (request, route, &customer);
  if (request->sends == 0
      && !chosen_route_has_targets (request->chosen, latest, route))
    request->is_weighed = false;
  choose_route (request, route, customer);
}

/* Returns the route's target that has endpoints of the stream's build, or
   NULL.  */
static const struct service *
find_service_of_build (const struct request *request)
{
  const struct route *route = request->route;

  for (uint32_t i = 0; i < route->target_count; i++)
    {
      const struct service *service
          = &request->chosen->services[route->targets[i].service];

      if (pool_has_build (request->pipeline->options.pool, service->name,
                          request->build))
        return service;
    }
  return NULL;
}

/* Selects a target of the route by weight.  All requests of a program go to
   the same service, and a stream stays at the one that began it.  */
static const struct service *
pick_service (const struct request *request)
{
  if (request->build)
    return find_service_of_build (request);
  return route_pick_service (request->route, request->chosen->services,
                             request->program ? request->program
                                              : id_random64 ());
}

/* Returns how long the request may wait for its turn at an endpoint.  */
static int64_t
max_permit_wait_ms (const struct request *request)
{
  int64_t third_ms = remaining_ms (request) / 3;
  int64_t longest_ms
      = request->begins_program ? MAX_NEW_PERMIT_WAIT_MS : MAX_PERMIT_WAIT_MS;

  return CLAMP (third_ms, 0, longest_ms);
}

/* Whether another host offers to send to ENDPOINT.  */
static bool
has_helper (const struct request *request,
            const struct pool_endpoint *endpoint, int64_t now_ms)
{
  const struct relay_client *relays = request->pipeline->options.relays;

  return relays && endpoint->relay_avoid_until_ms <= now_ms
         && relay_client_has_helper (relays, endpoint->service, now_ms);
}

/* Returns the best endpoint that this host reaches; else one that another host
   reaches; else one that may become reachable; or NULL.  */
static struct pool_endpoint *
pick_reachable (const struct request *request, const struct pool_query *query,
                int64_t now_ms)
{
  const struct pipeline_options *options = &request->pipeline->options;
  struct pool_query relayed = *query;
  struct pool_endpoint *endpoint = pool_pick (options->pool, query, now_ms);

  relayed.is_relayed = true;
  if (!endpoint && options->relays
      && relay_client_has_helper (options->relays, query->service, now_ms))
    endpoint = pool_pick (options->pool, &relayed, now_ms);
  return endpoint ? endpoint
                  : pool_pick_least_avoided (options->pool, query, now_ms);
}

/* Whether a stream may go on at ENDPOINT, which ran it before.  */
static bool
may_return_to (const struct request *request,
               const struct pool_endpoint *endpoint, int64_t now_ms)
{
  return !request->is_last_denied
         && (!endpoint->path.is_broken
             || has_helper (request, endpoint, now_ms));
}

/* Whether a stream that was sent to ENDPOINT has been without its first event
   for MAX_WAIT_MS, so that a further one would probably wait longer.  */
static bool
is_slow (const struct pipeline *pipeline, const struct pool_endpoint *endpoint,
         int64_t max_wait_ms, int64_t now_ms)
{
  for (const GList *at = pipeline->requests.head; at; at = at->next)
    {
      const struct request *request = at->data;

      if (request->endpoint == endpoint && !request->first_event_ms
          && request->route->retry_mode == ROUTE_STREAM
          && now_ms - request->sent_ms >= max_wait_ms)
        return true;
    }
  return false;
}

/* Whether ENDPOINT, which has no limit, is overloaded by what the limits of
   others do not allow.  */
static bool
is_overflowing (const struct request *request, const struct pool_query *query,
                const struct pool_endpoint *endpoint, int64_t now_ms)
{
  const struct pipeline *pipeline = request->pipeline;
  int64_t max_wait_ms
      = request->begins_program
            ? MAX_FIRST_EVENT_MS
            : MAX (MAX_FIRST_EVENT_MS, remaining_ms (request) / 3);

  return (request->denials > 0
          || pool_may_overflow (pipeline->options.pool, query, now_ms))
         && (pool_is_full (endpoint, now_ms)
             || is_slow (pipeline, endpoint, max_wait_ms, now_ms));
}

/* Returns the endpoint to send to, or NULL if there is none.  *MAX_WAIT_MS is
   how long the request may wait for a permit: while others may take it, only
   as long as it saves by the prompt that the endpoint has cached.  A stream is
   resumed on the endpoint that ran it, if that is still available: the route
   may not allow another attempt elsewhere.  */
static struct pool_endpoint *
pick_endpoint (struct request *request, int64_t *max_wait_ms)
{
  struct pool *pool = request->pipeline->options.pool;
  struct pool_query query = make_pool_query (request);
  struct pool_endpoint *last_endpoint = find_last_endpoint (request);
  struct pool_endpoint *endpoint;
  int64_t now_ms = clock_now_ms ();

  *max_wait_ms = max_permit_wait_ms (request);
  if (last_endpoint && !last_endpoint->is_evacuated
      && request->route->retry_mode == ROUTE_STREAM)
    {
      if (may_return_to (request, last_endpoint, now_ms))
        return last_endpoint;
      if (!may_run_elsewhere (request))
        return NULL;
    }
  query.is_unlimited = request->denials >= MAX_DENIALS;
  endpoint = pick_reachable (request, &query, now_ms);
  if (endpoint && endpoint->limit_milli < 0)
    {
      if (!is_overflowing (request, &query, endpoint, now_ms))
        return endpoint;
      endpoint = NULL;
    }
  if (endpoint)
    {
      int64_t gain_ms = pool_cache_gain_ms (pool, &query, endpoint, now_ms);

      *max_wait_ms = MIN (*max_wait_ms, MIN (gain_ms, MAX_CACHE_WAIT_MS));
      return endpoint;
    }
  if (request->has_awaited_permit)
    return NULL;
  request->has_awaited_permit = true;
  return pool_pick_awaiting_permit (pool, &query, now_ms);
}

static void
record_denial (struct request *request, const struct pool_endpoint *endpoint)
{
  request->denials++;
  if (endpoint && endpoint->hash == request->last_endpoint_hash)
    request->is_last_denied = true;
}

/* Sends the request to the endpoint for which it has a permit, at once or
   after WAIT_MS.  */
static void
use_permit (struct request *request, int64_t wait_ms)
{
  request->has_permit = true;
  request->permitted_ms = clock_now_ms ();
  if (wait_ms <= 0)
    {
      continue_admission (request);
      return;
    }
  ev_timer_set (&request->backoff, (double)wait_ms / 1000.0, 0);
  ev_timer_start (request->pipeline->options.loop, &request->backoff);
}

/* After a question to the silent holder of a cold endpoint, goes on with warm
   endpoints only: where many are cold, further silent holders would cost the
   request its time.  */
static void
record_silent_holder (struct request *request,
                      const struct pool_endpoint *endpoint)
{
  if (!endpoint || !endpoint->is_cold
      || clock_now_ms () - request->permit_asked_ms
             < ENDPOINT_LIMITER_ASK_TIMEOUT_MS)
    return;
  request->denials = MAX (request->denials, MAX_DENIALS);
  request->has_awaited_permit = true;
}

static void
handle_permit (void *data, bool is_granted, int64_t wait_ms)
{
  struct request *request = data;
  const struct pool_endpoint *endpoint;

  request->permit_ask = NULL;
  if (is_granted)
    {
      use_permit (request, wait_ms);
      return;
    }
  endpoint = pool_find_start (request->pipeline->options.pool,
                              request->permit_endpoint);
  record_denial (request, endpoint);
  record_silent_holder (request, endpoint);
  continue_admission (request);
}

/* Acquires a permit to send the request to ENDPOINT within MAX_WAIT_MS.  */
static enum permit_verdict
acquire_permit (struct request *request, struct pool_endpoint *endpoint,
                int64_t max_wait_ms, int64_t *wait_ms)
{
  struct permit_query query = { .endpoint = endpoint,
                                .max_wait_ms = max_wait_ms,
                                .handler = handle_permit,
                                .data = request };
  enum permit_verdict verdict;

  *wait_ms = 0;
  if (!request->pipeline->options.limiter)
    return PERMIT_GRANTED;
  request->permit_endpoint = endpoint->start;
  request->permit_asked_ms = clock_now_ms ();
  verdict = endpoint_limiter_acquire (request->pipeline->options.limiter,
                                      &query, clock_now_ms (), wait_ms,
                                      &request->permit_ask);
  if (verdict == PERMIT_DENIED)
    record_denial (request, endpoint);
  return verdict;
}

/* Returns the endpoint for which the request has a permit, or NULL if there is
   none or it is no longer available.  */
static struct pool_endpoint *
take_permitted_endpoint (struct request *request)
{
  const struct pool *pool = request->pipeline->options.pool;
  struct pool_endpoint *endpoint
      = request->has_permit ? pool_find_start (pool, request->permit_endpoint)
                            : NULL;

  request->has_permit = false;
  if (!endpoint || endpoint->leaving || endpoint->is_evacuated
      || endpoint->cold_since_ms > request->permitted_ms
      || (endpoint->unreachable
          && !has_helper (request, endpoint, clock_now_ms ()))
      || strcmp (endpoint->service, request->service->name) != 0
      || (request->build && endpoint->build != request->build))
    return NULL;
  return endpoint;
}

/* Returns when a request that the endpoints' limits do not allow should be
   retried.  It is spread, so that callers do not return together.  */
static uint32_t
permit_retry_ms (const struct request *request)
{
  struct log_ids ids = log_ids (request);
  struct pool_query query = make_pool_query (request);
  int64_t now_ms = clock_now_ms ();
  const struct pool_endpoint *endpoint = pool_pick_awaiting_permit (
      request->pipeline->options.pool, &query, now_ms);
  int64_t wait_ms = endpoint ? endpoint->permit_after_ms - now_ms : 0;

  log_write (LOG_INFO, "request", &ids,
             "%u permits denied; the first is expected from endpoint %s in "
             "%" G_GINT64_FORMAT " ms",
             request->denials, endpoint ? endpoint->id : "(none)", wait_ms);
  wait_ms = CLAMP (wait_ms, MIN_PERMIT_RETRY_MS, MAX_PERMIT_RETRY_MS);
  return (uint32_t)wait_ms
         + (uint32_t)(id_random64 () % (uint64_t)(wait_ms / 2));
}

/* Ends a request that no endpoint may get.  */
static void
fail_undispatched (struct request *request)
{
  /* A configuration that was applied meanwhile may have left the route without
     a service. */
  if (request->service && request->denials > 0
      && !response_has_begun (request->response)
      && request->possible_runs == 0)
    refuse_with_message (request, ERROR_OVERLOADED, permit_retry_ms (request),
                         "the limits of the service's endpoints are used up");
  else if (request->denials > 0)
    fail_request (request, "the limits of the service's endpoints are used "
                           "up");
  else
    fail_request (request,
                  request->build
                      ? "no endpoint has the software version of the stream"
                      : "the route's service has no endpoint");
}

/* Sends the request to the best endpoint that may get it.  */
static void
send_or_await_permit (struct request *request)
{
  struct pool_endpoint *endpoint = take_permitted_endpoint (request);
  int64_t max_wait_ms;

  if (endpoint)
    {
      send_to_endpoint (request, endpoint);
      return;
    }
  while ((endpoint = pick_endpoint (request, &max_wait_ms)))
    {
      int64_t wait_ms;
      enum permit_verdict verdict
          = acquire_permit (request, endpoint, max_wait_ms, &wait_ms);

      if (verdict == PERMIT_GRANTED && wait_ms <= 0)
        send_to_endpoint (request, endpoint);
      else if (verdict == PERMIT_GRANTED)
        use_permit (request, wait_ms);
      if (verdict != PERMIT_DENIED)
        return;
    }
  fail_undispatched (request);
}

/* Ends a request that must not be sent because identical ones have crashed
   endpoints.  Returns whether it did.  */
static bool
ends_for_crashes (struct request *request)
{
  int64_t wait_ms;
  enum crash_verdict verdict
      = crash_notices_check (request->pipeline->options.crashes,
                             request->fingerprint, clock_now_ms (), &wait_ms);

  if (verdict == CRASH_SEND || verdict == CRASH_TRY)
    return false;
  if (response_has_begun (request->response))
    fail_request (request, "identical requests have crashed endpoints");
  else if (verdict == CRASH_REFUSE)
    refuse_with_message (request, ERROR_CRASHES_ENDPOINTS,
                         (uint32_t)MIN (wait_ms, CRASH_RETRY_MAX_MS),
                         "identical requests have crashed endpoints");
  else
    refuse_with_message (request, ERROR_OVERLOADED, (uint32_t)wait_ms,
                         "identical requests have crashed endpoints, and one "
                         "is being tried");
  return true;
}

/* Sends the request to an endpoint, or ends it if that is not possible.  */
static void
dispatch (struct request *request)
{
  if (ends_for_crashes (request))
    return;
  if (!request->service)
    request->service = pick_service (request);
  if (request->service)
    send_or_await_permit (request);
  else
    fail_undispatched (request);
}

/* Returns the maximum number of tokens that the request may generate, or 0 if
   the caller did not set it.  */
static int64_t
turn_tokens_limit (const struct request *request)
{
  int64_t max_tokens = request->input->max_output_tokens;

  return max_tokens > 0 ? max_tokens : 0;
}

static void
refuse_over_limit (struct request *request)
{
  refuse_with_message (request, ERROR_RATE_LIMITED,
                       (uint32_t)limits_retry_after_ms (
                           request->pipeline->options.limits,
                           request->customer, request->begins_program),
                       "the customer's rate limit is exceeded");
}

static void find_chain (struct request *request);
static void find_origin (struct request *request);
static void reserve_budget (struct request *request);
static void acquire_token (struct request *request);

/* Has admission decide whether the turn may be sent.  */
static void
weigh (struct request *request, bool has_budget)
{
  struct admission_step *step = request->pipeline->admission;
  int64_t now_ms = clock_now_ms ();
  struct admission_ask ask
      = { .customer = request->customer ? request->customer->name : NULL,
          .program = request->program,
          .request_left_ms = remaining_ms (request),
          .program_left_ms = program_left_ms (request),
          .ids = log_ids (request) };
  struct error error;

  request->is_weighed = true;
  if (!request->service)
    request->service = pick_service (request);
  if (!has_budget)
    request->begins_program = admission_step_is_first (
        step, request->input, request->program, now_ms);
  ask.begins_program = request->begins_program;
  if (request->service)
    ask.service = request->service->name;
  if (!ask.service || admission_step_admit (step, &ask, now_ms, &error))
    continue_admission (request);
  else
    refuse (request, &error);
}

/* Runs the next step of admission, or dispatches the request if none is left.
   The steps are the turns before this one, the origin of a stream that is
   resumed, whether the program may begin, the rate limit and the token budget.
   If this host has not seen the program before, the budget comes first: the
   ledger's reply tells whether this is the program's first request, which the
   other steps treat
   differently.  */
static void
continue_admission (struct request *request)
{
  bool has_budget;
  bool is_program_known;

  if (request->change != CHOSEN_ROUTE_SAME)
    {
      end_changed (request);
      return;
    }
  refresh_route (request);
  has_budget = request->input->program && request->input->token_budget >= 0
               && request->route->retry_mode == ROUTE_STREAM;
  is_program_known = has_budget
                     && ledger_has_turns (request->pipeline->options.ledger,
                                          request->program);
  if (!conversation_step_is_ready (&request->conversation))
    find_chain (request);
  else if (!request->has_origin)
    find_origin (request);
  else if (!request->is_weighed && request->sends == 0
           && has_program_deadline (request)
           && (!has_budget || is_program_known || request->reservation))
    weigh (request, has_budget);
  else if (!request->has_token && request->customer
           && (!has_budget || is_program_known || request->reservation))
    acquire_token (request);
  else if (has_budget && !request->reservation)
    reserve_budget (request);
  else
    dispatch (request);
}

static void
handle_chain (void *data, enum conversation_verdict verdict)
{
  struct request *request = data;
  struct error error;

  if (verdict == CONVERSATION_PENDING)
    return;
  if (verdict == CONVERSATION_READY)
    {
      continue_admission (request);
      return;
    }
  conversation_verdict_error (verdict, &error);
  refuse (request, &error);
}

/* Reads the turns that this one continues.  */
static void
find_chain (struct request *request)
{
  handle_chain (request, conversation_step_begin (&request->conversation,
                                                  request->deadline_at_ms,
                                                  handle_chain, request));
}

/* Refuses to resume a stream of which it is not known which build began it.
   The endpoints that are registered now do not tell: those of another build
   may have left since.  */
static void
refuse_unknown_origin (struct request *request)
{
  refuse_with_message (request, ERROR_OVERLOADED, RESUME_RETRY_MS,
                       "it is not known which software version began the "
                       "stream; start it again");
}

static void
handle_origin (void *data, enum stream_origin origin, uint64_t build)
{
  struct request *request = data;
  struct log_ids ids = log_ids (request);

  request->origin_lookup = NULL;
  if (origin == STREAM_ORIGIN_FOUND)
    {
      request->build = build;
      request->has_origin = true;
      continue_admission (request);
      return;
    }
  log_write (LOG_INFO, "request", &ids,
             "the build that began the stream is unknown: %s",
             stream_origin_name (origin));
  refuse_unknown_origin (request);
}

/* Finds the build that began the stream which the caller resumes.  */
static void
find_origin (struct request *request)
{
  struct stream_index *streams = request->pipeline->options.streams;

  if (!streams)
    {
      refuse_unknown_origin (request);
      return;
    }
  request->build = stream_index_find_local (streams, &request->stream);
  if (request->build)
    {
      request->has_origin = true;
      continue_admission (request);
      return;
    }
  request->origin_lookup
      = stream_index_find (streams, &request->stream, handle_origin, request);
}

static void
handle_budget_reserved (void *data, enum charges_verdict verdict,
                        int64_t charged)
{
  struct request *request = data;
  struct log_ids ids = log_ids (request);

  histogram_record (HISTOGRAM_BUDGET_MS,
                    clock_now_ms () - request->started_ms);
  log_write (verdict == CHARGES_GRANTED ? LOG_DEBUG : LOG_INFO, "request",
             &ids,
             "token budget %" G_GINT64_FORMAT ", charged %" G_GINT64_FORMAT
             " including %" G_GINT64_FORMAT " for this turn: verdict %d",
             request->input->token_budget, charged,
             request->input->max_output_tokens, verdict);
  request->begins_program = charged <= turn_tokens_limit (request);
  if (verdict == CHARGES_GRANTED)
    continue_admission (request);
  else if (verdict == CHARGES_EXHAUSTED)
    refuse_with_message (
        request, ERROR_BUDGET_EXHAUSTED, 0,
        "the program's remaining token budget is too small for this "
        "turn");
  else
    refuse_with_message (request, ERROR_OVERLOADED, BUDGET_RETRY_MS,
                         "too few keepers of the budget ledger responded");
}

static void
reserve_budget (struct request *request)
{
  request->reservation = ledger_reserve (
      request->pipeline->options.ledger, request->program,
      request->input->token_budget, turn_tokens_limit (request),
      handle_budget_reserved, request);
}

static void
handle_token_acquired (void *data, bool admitted)
{
  struct request *request = data;

  request->token_wait = NULL;
  request->has_token = admitted;
  if (admitted)
    continue_admission (request);
  else
    refuse_over_limit (request);
}

/* Returns how long the request may wait for a token.  Requests wait because a
   running program loses all of its work if one of them is refused.  */
static int64_t
max_token_wait_ms (const struct request *request)
{
  int64_t third_ms = remaining_ms (request) / 3;

  return third_ms < MAX_TOKEN_WAIT_MS ? third_ms : MAX_TOKEN_WAIT_MS;
}

static void
acquire_token (struct request *request)
{
  enum limits_verdict verdict
      = limits_admit (request->pipeline->options.limits, request->customer,
                      request->begins_program, max_token_wait_ms (request),
                      handle_token_acquired, request, &request->token_wait);

  if (verdict != LIMITS_PENDING)
    handle_token_acquired (request, verdict == LIMITS_ADMITTED);
}

/* Creates a pipeline that has no configuration yet.  */
struct pipeline *
pipeline_create (const struct pipeline_options *options)
{
  struct pipeline *pipeline = xcalloc (1, sizeof *pipeline);
  struct admission_step_options admission
      = { .pool = options->pool, .buffers = options->buffers };

  struct crash_notices_options alone = { .host = "" };

  pipeline->options = *options;
  if (!options->crashes)
    pipeline->options.crashes = pipeline->own_crashes
        = crash_notices_create (&alone);
  pipeline->admission = admission_step_create (&admission);
  g_queue_init (&pipeline->requests);
  return pipeline;
}

/* Frees the pipeline.  Active requests, of which there should be none, end;
   none may be started afterwards.  */
void
pipeline_destroy (struct pipeline *pipeline)
{
  if (!pipeline)
    return;
  for (uint32_t i = 0; i < pipeline->requests.length; i++)
    ending_record_missing ("a request", NULL);
  pipeline_abort (pipeline);
  routing_unref (pipeline->routing);
  admission_step_destroy (pipeline->admission);
  crash_notices_destroy (pipeline->own_crashes);
  free (pipeline);
}

/* Applies a configuration, taking ownership of the caller's reference.
   Requests that wait and have become other ones end, before any of the steps
   that they wait for goes on.  */
void
pipeline_apply (struct pipeline *pipeline, struct routing *routing)
{
  routing_unref (pipeline->routing);
  pipeline->routing = routing;
  pipeline->generation++;
  for (GList *at = pipeline->requests.head; at; at = at->next)
    {
      struct request *request = at->data;

      /* One that was another request for a time does not become itself
         again. */
      if (request->change == CHOSEN_ROUTE_SAME)
        request->change = find_change (request);
    }
  end_changed_requests (pipeline);
  limits_apply (pipeline->options.limits, routing);
  admission_step_apply (pipeline->admission, routing);
}

/* Retries requests elsewhere that were sent to endpoints of DATA_CENTRE, which
   this host can no longer reach, if they may run again.  */
void
pipeline_fail_over (struct pipeline *pipeline, const char *data_centre)
{
  GList *next;

  for (GList *at = pipeline->requests.head; at; at = next)
    {
      struct request *request = at->data;

      next = at->next;
      if (request->endpoint
          && strcmp (request->endpoint->data_centre, data_centre) == 0
          && request->route->retry_mode != ROUTE_ONCE
          && may_run_again (request))
        handle_endpoint_failure (request,
                                 "the endpoint's data centre is unreachable");
    }
}

/* Sends requests again that have waited for SILENT_MS for ENDPOINT, to which
   this host has no path any more, as far as they may run again.  */
void
pipeline_fail_path (struct pipeline *pipeline,
                    const struct pool_endpoint *endpoint, int64_t silent_ms)
{
  int64_t now_ms = clock_now_ms ();
  GList *next;

  for (GList *at = pipeline->requests.head; at; at = next)
    {
      struct request *request = at->data;

      next = at->next;
      if (request->endpoint == endpoint && !request->is_relayed
          && now_ms - request->sent_ms >= silent_ms && may_run_again (request))
        handle_endpoint_failure (request,
                                 "this host has no path to the endpoint");
    }
}

/* Returns the admission of programs, which the pipeline owns.  */
struct admission *
pipeline_admission (const struct pipeline *pipeline)
{
  return admission_step_policy (pipeline->admission);
}

/* Returns the configuration in force, which the pipeline owns, or NULL.  */
const struct routing *
pipeline_routing (const struct pipeline *pipeline)
{
  return pipeline->routing;
}

/* Returns the step that admits programs, which the pipeline owns.  */
const struct admission_step *
pipeline_admission_step (const struct pipeline *pipeline)
{
  return pipeline->admission;
}

/* Refuses new requests and ends the active ones.  */
void
pipeline_abort (struct pipeline *pipeline)
{
  GList *link;

  pipeline->is_closed = true;
  while ((link = g_queue_peek_head_link (&pipeline->requests)))
    fail_request (link->data, "this host has stopped");
}

/* Refuses new requests; active ones continue.  */
void
pipeline_close (struct pipeline *pipeline)
{
  pipeline->is_closed = true;
}

/* Whether there are no active requests.  */
bool
pipeline_is_idle (const struct pipeline *pipeline)
{
  return pipeline->requests.length == 0;
}

/* Returns the number of active requests.  */
uint32_t
pipeline_active_requests (const struct pipeline *pipeline)
{
  return pipeline->requests.length;
}

static struct request *
request_create (struct pipeline *pipeline, struct request_input *input,
                struct request_sink *sink)
{
  struct request *request = xcalloc (1, sizeof *request);
  struct response_options response = { .loop = pipeline->options.loop,
                                       .sink = sink,
                                       .handle_timeout = handle_deadline,
                                       .release = request_destroy,
                                       .data = request };

  request->pipeline = pipeline;
  request->input = input;
  request->started_ms = clock_now_ms ();
  request->last_event_id = input->resume_after >= 0 ? input->resume_after : -1;
  response_head_init (&request->head);
  if (input->program)
    request->program = id_hash_text (input->program);
  request->response = response_create (&response);
  ev_timer_init (&request->backoff, handle_backoff, 0, 0);
  request->backoff.data = request;
  request->link.data = request;
  g_queue_push_tail_link (&pipeline->requests, &request->link);
  counter_add (COUNTER_REQUESTS, 1);
  return request;
}

static uint64_t
compute_fingerprint (const struct request *request)
{
  const struct request_input *input = request->input;
  uint64_t hash = id_hash_text (input->target);

  if (request->customer)
    hash = id_hash64 (request->customer->name,
                      strlen (request->customer->name), hash);
  if (input->previous)
    hash = id_hash64 (input->previous, strlen (input->previous), hash);
  return id_hash64 (input->body.data ? input->body.data : "", input->body.len,
                    hash);
}

static void
set_deadline (struct request *request)
{
  int64_t limit_ms
      = route_limit_ms (request->route, request->input->deadline_ms);

  request->deadline_at_ms = request->started_ms + limit_ms;
  response_set_timeout (request->response, limit_ms);
}

/* Returns a hash of what all attempts at a request have in common, also those
   that resume its stream.  */
static uint64_t
compute_stream_content (const struct request *request)
{
  const struct request_input *input = request->input;
  uint64_t hash = request->fingerprint;

  hash = id_hash64 (input->method, strlen (input->method), hash);
  hash = id_hash64 (&request->program, sizeof request->program, hash);
  for (size_t i = 0; i < input->part_count; i++)
    hash = id_hash64 (&input->parts[i].id, sizeof input->parts[i].id, hash);
  return hash ? hash : 1;
}

/* Sets what identifies the stream on all hosts, or leaves it 0 if it cannot be
   resumed.  */
static void
set_stream (struct request *request)
{
  const struct request_input *input = request->input;
  bool is_resumed = input->resume_after >= 0;
  const char *id = is_resumed ? input->resumed_id : input->id;

  request->has_origin = true;
  if (request->route->retry_mode != ROUTE_STREAM || !request->route->resumable)
    return;
  request->has_origin = !is_resumed;
  request->stream.content = compute_stream_content (request);
  if (id)
    request->stream.attempt = id_hash64 (
        id, strlen (id),
        request->customer ? id_hash_text (request->customer->name) : 0);
}

static void
log_resumption (const struct request *request)
{
  const struct request_input *input = request->input;
  struct log_ids ids = log_ids (request);

  log_write (LOG_INFO, "request", &ids,
             "its caller resumes stream %s after event %" G_GINT64_FORMAT,
             input->resumed_id ? input->resumed_id : "(without an id)",
             input->resume_after);
}

/* Starts a request, taking ownership of INPUT.  The response goes to SINK.
   Returns NULL if the request has already ended; otherwise the request, which
   is valid until the sink's end, abort, refuse or respond is called.  */
struct request *
request_start (struct pipeline *pipeline, struct request_input *input,
               struct request_sink *sink)
{
  struct request *request = request_create (pipeline, input, sink);
  const struct customer *customer;
  const struct route *route;

  if (pipeline->is_closed)
    {
      refuse_with_message (request, ERROR_STOPPING, STOPPING_RETRY_MS,
                           "this host is stopping");
      return NULL;
    }
  if (!pipeline->routing)
    {
      refuse_with_message (request, ERROR_OVERLOADED, RETRY_AFTER_MS,
                           "this host has no configuration yet");
      return NULL;
    }
  route = routing_find_route (pipeline->routing, input->host, input->path);
  if (!route)
    {
      refuse_with_message (request, ERROR_NOT_FOUND, 0, "no route matches");
      return NULL;
    }
  if (!find_customer (request, route, &customer))
    {
      refuse_with_message (request, ERROR_UNAUTHORIZED, 0,
                           "the API key is unknown");
      return NULL;
    }
  choose_route (request, route, customer);
  if (input->resume_after >= 0)
    log_resumption (request);
  request->fingerprint = compute_fingerprint (request);
  set_stream (request);
  set_deadline (request);
  conversation_step_init (
      &request->conversation, pipeline->options.conversations, request->route,
      request->customer ? request->customer->name : NULL, input);
  continue_admission (request);
  /* If the request is still active, it is the last one in the queue.  */
  return g_queue_peek_tail (&pipeline->requests) == request ? request : NULL;
}

/* Cancels a request whose caller has disconnected, including its transfer from
   the endpoint.  */
void
request_cancel (struct request *request)
{
  static const struct response_end left = { .way = ENDING_LEFT };
  struct log_ids ids = log_ids (request);

  log_write (LOG_INFO, "request", &ids,
             "cancelled by its caller after %" G_GINT64_FORMAT " ms",
             clock_now_ms () - request->started_ms);
  end_request (request, &left);
}
