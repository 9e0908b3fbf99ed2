#include "endpoint/service.h"
#include "common/counters.h"
#include "common/deferred.h"
#include "common/id.h"
#include "galenashored/server.h"
#include <stdlib.h>
#include <string.h>

enum
{
  CONNECT_TIMEOUT_MS = 1000,
  MAX_RESPONSE_BYTES = 4 * 1024 * 1024,
  HTTP_TOO_MANY_REQUESTS = 429,
  HTTP_UNAVAILABLE = 503,
};

/* One call to a service.  Owned by the program call or request that started
   it. */
struct service_call
{
  struct server *server;
  char *route;
  char *method;
  char *subpath;
  char *content_type;
  char *request_id;
  struct buf body;
  bool idempotent;
  int64_t timeout_ms;
  void (*handle_response) (void *data, long status, const struct buf *body);
  void (*handle_failed) (void *data, const struct error *error);
  void *data;
  struct endpoint *endpoint;
  struct fetch *fetch;
  struct deferred start_event;
  ev_timer backoff;
  uint32_t attempts;
  int64_t started_ms;
  bool may_have_run; /* an attempt has been sent */
  uint64_t seed;
};

static void
call_destroy (struct service_call *call)
{
  if (call->endpoint)
    call->endpoint->in_flight--;
  deferred_cancel (&call->start_event);
  ev_timer_stop (call->server->loop, &call->backoff);
  free (call->route);
  free (call->method);
  free (call->subpath);
  free (call->content_type);
  free (call->request_id);
  buf_release (&call->body);
  free (call);
}

/* Returns the eligible endpoint of the service with the fewest calls in
   flight, or NULL when there is none.  */
static struct endpoint *
pick_endpoint (const struct service_call *call)
{
  struct endpoint *picked = NULL;
  int64_t now_ms = clock_now_ms ();

  for (struct endpoint *e
       = dispatcher_endpoints (call->server->dispatcher)->first;
       e; e = e->next)
    if (e->kind == ENDPOINT_SERVICE && strcmp (e->route, call->route) == 0
        && endpoint_is_eligible (e, now_ms)
        && (!picked || e->in_flight < picked->in_flight))
      picked = e;
  return picked;
}

static void
fail_call (struct service_call *call, enum error_kind kind, const char *what)
{
  void (*handle_failed) (void *, const struct error *) = call->handle_failed;
  void *data = call->data;
  struct error error;

  if (call->may_have_run && !call->idempotent)
    error_set (&error, ERROR_OUTCOME_UNKNOWN, RUN_MAY_HAVE_RUN,
               "%s after the request had been sent; check at the service "
               "whether it ran, then continue with the new cursor",
               what);
  else
    error_set (&error, kind,
               call->may_have_run ? RUN_MAY_HAVE_RUN : RUN_NOT_RUN,
               "%s; send the call again with the same cursor", what);
  error.retry_after_ms
      = (uint32_t)retry_backoff_ms (RETRY_MAX_ATTEMPTS, &call->seed);
  call_destroy (call);
  handle_failed (data, &error);
}

static bool
response_matches_request (const struct service_call *call,
                          const struct fetch_result *result)
{
  json_t *body = json_loadb (result->body->data ? result->body->data : "",
                             result->body->len, 0, NULL);
  const char *id = json_string_value (json_object_get (body, "request_id"));
  /* A body with a request_id must have the id of this request; a body without
     one cannot be checked.  */
  bool ok = !id || strcmp (id, call->request_id) == 0;

  json_decref (body);
  return ok;
}

/* Returns whether the call may be retried, and if so takes the retry from the
   endpoint's budget.  */
static bool
may_retry (struct service_call *call, bool unsent)
{
  if (!unsent && !call->idempotent)
    return false;
  return call->attempts < RETRY_MAX_ATTEMPTS
         && retry_budget_withdraw (&call->endpoint->retries);
}

static void
retry_or_fail (struct service_call *call, bool unsent, enum error_kind kind,
               const char *what)
{
  bool retrying = may_retry (call, unsent);

  counter_add (COUNTER_ENDPOINT_FAILURES, 1);
  endpoint_record_failure (call->endpoint, clock_now_ms ());
  if (!retrying)
    {
      fail_call (call, kind, what);
      return;
    }
  counter_add (COUNTER_ENDPOINT_RETRIES, 1);
  call->endpoint->in_flight--;
  call->endpoint = NULL;
  ev_timer_set (
      &call->backoff,
      (double)retry_backoff_ms (call->attempts, &call->seed) / 1000.0, 0);
  ev_timer_start (call->server->loop, &call->backoff);
}

static void
handle_done (void *data, const struct fetch_result *result)
{
  struct service_call *call = data;

  call->fetch = NULL;
  if (result->sent)
    call->may_have_run = true;
  if (!result->complete)
    {
      retry_or_fail (
          call, !result->sent,
          result->timed_out ? ERROR_ENDPOINT_TIMEOUT : ERROR_ENDPOINT,
          result->timed_out ? "the service took too long"
                            : "the service sent no complete response");
      return;
    }
  if (!response_matches_request (call, result))
    {
      retry_or_fail (call, false, ERROR_ENDPOINT,
                     "the service sent the response to another request");
      return;
    }
  if (call->idempotent
      && (result->status == HTTP_TOO_MANY_REQUESTS
          || result->status == HTTP_UNAVAILABLE)
      && may_retry (call, false))
    {
      retry_or_fail (call, false, ERROR_ENDPOINT, "the service is busy");
      return;
    }
  endpoint_record_success (call->endpoint, clock_now_ms () - call->started_ms);
  call->handle_response (call->data, result->status, result->body);
  call_destroy (call);
}

static void
start_attempt (struct service_call *call)
{
  struct endpoint *endpoint = pick_endpoint (call);
  char *url;
  char *type_header;
  char *id_header;
  char *credential_header;

  if (!endpoint)
    {
      fail_call (call, ERROR_ENDPOINT,
                 "no endpoint of the service is available");
      return;
    }
  url = xasprintf ("%s%s", endpoint->url, call->subpath);
  type_header = xasprintf ("Content-Type: %s", call->content_type);
  id_header = xasprintf ("X-Request-Id: %s", call->request_id);
  credential_header
      = endpoint->credential
            ? xasprintf ("Authorization: Bearer %s", endpoint->credential)
            : NULL;
  {
    const char *headers[]
        = { type_header, id_header, credential_header, NULL };
    struct fetch_options options = { .method = call->method,
                                     .url = url,
                                     .headers = headers,
                                     .body = call->body.data,
                                     .body_len = call->body.len,
                                     .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                                     .timeout_ms = call->timeout_ms,
                                     .max_body_bytes = MAX_RESPONSE_BYTES,
                                     .single_attempt = !call->idempotent,
                                     .handle_done = handle_done,
                                     .data = call };

    call->endpoint = endpoint;
    endpoint->in_flight++;
    call->attempts++;
    call->started_ms = clock_now_ms ();
    if (call->attempts == 1)
      retry_budget_deposit (&endpoint->retries);
    call->fetch = fetch_start (call->server->fetcher, &options);
  }
  free (url);
  free (type_header);
  free (id_header);
  free (credential_header);
}

static void
handle_start (void *data)
{
  start_attempt (data);
}

static void
handle_backoff (struct ev_loop *loop, ev_timer *timer, int events)
{
  start_attempt (timer->data);
}

/* Calls an endpoint of the service OPTIONS->route.  Failed attempts are
   retried; a call that is not idempotent is retried only if no byte of the
   failed attempt was sent.  The handlers are never called
   before this function returns, and the call is freed after either of
   them.  */
struct service_call *
service_call_start (struct server *server,
                    const struct service_options *options)
{
  struct service_call *call = xcalloc (1, sizeof *call);

  call->server = server;
  call->route = xstrdup (options->route);
  call->method = xstrdup (options->method);
  call->subpath = xstrdup (options->subpath);
  call->content_type = xstrdup (options->content_type);
  call->request_id = xstrdup (options->request_id);
  buf_append (&call->body, options->body, options->body_len);
  call->idempotent = options->idempotent;
  call->timeout_ms = options->timeout_ms;
  call->handle_response = options->handle_response;
  call->handle_failed = options->handle_failed;
  call->data = options->data;
  call->seed = id_random64 ();
  ev_timer_init (&call->backoff, handle_backoff, 0, 0);
  call->backoff.data = call;
  deferred_init (&call->start_event, server->loop, handle_start, call);
  deferred_schedule (&call->start_event);
  return call;
}

/* Cancels the call without calling its handlers.  */
void
service_call_cancel (struct service_call *call)
{
  if (call->fetch)
    fetch_cancel (call->fetch);
  call_destroy (call);
}
