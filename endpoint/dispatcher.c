#include "endpoint/dispatcher.h"
#include "common/counters.h"
#include "common/deferred.h"
#include "common/id.h"
#include "common/log.h"
#include "common/number.h"
#include "galenashored/server.h"
#include "policy/route.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  LOAD_POLL_MS = 500,
  LOAD_TIMEOUT_MS = 400,
  MAX_REPORTED_CALLS = 1000 * 1000, /* at an endpoint */
  PROBE_TIMEOUT_MS = 250,
  STALL_TIMEOUT_MS = 10000,
  SUSPECT_REQUEUE_MS = 50, /* delay before a job that cannot start yet is
                              queued again */
  MAX_WAIT_MS = 30000, /* calls expected to wait longer are refused, and queued
                          calls that have waited longer fail */
  MAX_ENGINES = 1024,
  PREFILL_US_PER_TOKEN = 20, /* estimated time to process a prompt token */
  HTTP_TOO_MANY_REQUESTS = 429,
  HTTP_SERVER_ERROR = 500,
};

/* The calls that are waiting for an engine of one model. */
struct model_queue
{
  char *model;
  struct fair_queue *fair;
  struct model_queue *next;
};

/* The engines that serve one model, as seen by one routing decision. */
struct engine_candidates
{
  struct route_engine engines[MAX_ENGINES];
  struct endpoint *endpoints[MAX_ENGINES];
  size_t count;
  bool has_free_engine; /* an eligible engine is below its concurrency limit */
};

struct dispatcher
{
  struct server *server;
  struct endpoint_table endpoints;
  struct model_queue *queues;
  struct deferred dispatch_event;
  struct poison_table poison;
  struct engine_candidates candidates; /* scratch space for the current routing
                                          decision */
  GHashTable *customer_retries;        /* name to struct retry_budget */
  uint64_t seed;                       /* of the random choices and backoffs */
  int64_t last_poll_ms;
};

static struct model_queue *
find_queue (struct dispatcher *dispatcher, const char *model)
{
  struct model_queue *queue = dispatcher->queues;

  while (queue && strcmp (queue->model, model) != 0)
    queue = queue->next;
  if (queue)
    return queue;
  queue = xcalloc (1, sizeof *queue);
  queue->model = xstrdup (model);
  queue->fair = fair_create (&fair_weighted);
  queue->next = dispatcher->queues;
  dispatcher->queues = queue;
  return queue;
}

static struct retry_budget *
customer_retry_budget (struct dispatcher *dispatcher, const char *customer)
{
  struct retry_budget *budget
      = g_hash_table_lookup (dispatcher->customer_retries, customer);

  if (budget)
    return budget;
  budget = xcalloc (1, sizeof *budget);
  retry_budget_init (budget);
  g_hash_table_insert (dispatcher->customer_retries, xstrdup (customer),
                       budget);
  return budget;
}

/* Releases the endpoint that the job occupies.  */
static void
release_endpoint (struct job *job)
{
  if (!job->endpoint)
    return;
  job->endpoint->in_flight--;
  if (job->isolated)
    {
      job->endpoint->isolated_in_flight--;
      poison_set_retrying (&job->dispatcher->poison, job->fingerprint, false);
    }
  job->isolated = false;
  job->endpoint = NULL;
  deferred_schedule (&job->dispatcher->dispatch_event);
}

/* Ends the dispatcher's use of the job.  */
static void
detach_job (struct job *job)
{
  release_endpoint (job);
  ev_timer_stop (job->dispatcher->server->loop, &job->backoff);
  free (job->last_failed);
  job->last_failed = NULL;
  job->queue = NULL;
}

static void
fail_job (struct job *job, const struct error *error)
{
  detach_job (job);
  job->handlers.handle_failed (job->handlers.data, error);
}

static void
complete_job (struct job *job, const struct engine_usage *usage)
{
  struct dispatcher *dispatcher = job->dispatcher;
  int64_t duration_ms = clock_now_ms () - job->started_ms;

  endpoint_record_success (job->endpoint, duration_ms);
  free (job->served_by);
  job->served_by = xstrdup (job->endpoint->name);
  endpoint_record_cached_tokens (job->endpoint, job->program,
                                 job->prompt_tokens + (int64_t)job->tokens);
  poison_record_success (&dispatcher->poison, job->fingerprint);
  detach_job (job);
  job->handlers.handle_done (job->handlers.data, usage);
}

static void
fail_poisoned_job (struct job *job, enum run_state run)
{
  struct error error;
  int64_t now_ms = clock_now_ms ();
  int64_t until_ms
      = poison_until_ms (&job->dispatcher->poison, job->fingerprint);

  error_set (&error, ERROR_CRASHES_ENDPOINTS, run,
             "endpoints crashed while running this request; change the "
             "request, or ask the operator to check the model");
  if (until_ms > now_ms)
    error.retry_after_ms = (uint32_t)(until_ms - now_ms);
  fail_job (job, &error);
}

static void
enqueue_job (struct job *job)
{
  fair_push (job->queue->fair, &job->fair);
  deferred_schedule (&job->dispatcher->dispatch_event);
}

static void
handle_backoff (struct ev_loop *loop, ev_timer *timer, int events)
{
  enqueue_job (timer->data);
}

static void
enqueue_after (struct job *job, int64_t wait_ms)
{
  ev_timer_stop (job->dispatcher->server->loop, &job->backoff);
  ev_timer_set (&job->backoff, (double)wait_ms / 1000.0, 0);
  ev_timer_start (job->dispatcher->server->loop, &job->backoff);
}

static void
fail_with_endpoint_error (struct job *job, enum error_kind kind,
                          const char *what)
{
  struct error error;

  error_set (&error, kind, RUN_MAY_HAVE_RUN,
             "%s; send the call again with the same cursor", what);
  error.retry_after_ms = (uint32_t)retry_backoff_ms (RETRY_MAX_ATTEMPTS,
                                                     &job->dispatcher->seed);
  fail_job (job, &error);
}

/* Records a failure of the job's endpoint.  Retries the job after a backoff,
   preferably at another endpoint, or fails it when its attempts or the retry
   budget of the endpoint or the customer are exhausted.  */
static void
retry_or_fail_job (struct job *job, enum error_kind kind, const char *what)
{
  struct dispatcher *dispatcher = job->dispatcher;
  struct endpoint *endpoint = job->endpoint;

  counter_add (COUNTER_ENDPOINT_FAILURES, 1);
  endpoint_record_failure (endpoint, clock_now_ms ());
  if (job->attempts >= RETRY_MAX_ATTEMPTS
      || !retry_budget_withdraw (&endpoint->retries)
      || !retry_budget_withdraw (
          customer_retry_budget (dispatcher, job->customer)))
    {
      fail_with_endpoint_error (job, kind, what);
      return;
    }
  counter_add (COUNTER_ENDPOINT_RETRIES, 1);
  free (job->last_failed);
  job->last_failed = xstrdup (endpoint->name);
  release_endpoint (job);
  enqueue_after (job, retry_backoff_ms (job->attempts, &dispatcher->seed));
}

/* Reports a crash to all other hosts, so that they refuse the request too.  */
static void
broadcast_crash (struct dispatcher *dispatcher,
                 const struct endpoint *endpoint, uint64_t fingerprint,
                 uint32_t crashes)
{
  struct server *server = dispatcher->server;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__CrashNotice notice = PEER__CRASH_NOTICE__INIT;

  notice.fingerprint = fingerprint;
  notice.crashes = crashes;
  notice.endpoint = endpoint->name;
  frame.body_case = PEER__FRAME__BODY_CRASH_NOTICE;
  frame.crash_notice = &notice;
  for (size_t i = 0; i < server->config->host_count; i++)
    if (!server_is_self (server, &server->config->hosts[i]))
      mesh_send (server->mesh, server->config->hosts[i].name, &frame);
}

static void
record_crash (struct job *job)
{
  struct dispatcher *dispatcher = job->dispatcher;
  uint32_t crashes = poison_record_crash (
      &dispatcher->poison, job->fingerprint,
      id_hash_text (job->endpoint->name), 0, clock_now_ms ());

  log_write (
      LOG_WARN, "dispatcher", &(struct log_ids){ .customer = job->customer },
      "endpoint %s crashed while running request %016llx, crash %u",
      job->endpoint->name, (unsigned long long)job->fingerprint, crashes);
  broadcast_crash (dispatcher, job->endpoint, job->fingerprint, crashes);
  if (crashes >= POISON_CRASHES)
    fail_poisoned_job (job, RUN_MAY_HAVE_RUN);
  else
    retry_or_fail_job (job, ERROR_ENDPOINT, "the endpoint crashed");
}

/* Handles the response to a probe sent after the endpoint cut a stream.  An
   endpoint that does not respond has crashed; one that responds has only lost
   the connection.  */
static void
handle_probe (void *data, const struct fetch_result *result)
{
  struct job *job = data;

  job->probe = NULL;
  if (result->complete)
    retry_or_fail_job (job, ERROR_ENDPOINT,
                       "the endpoint cut the response short");
  else if (endpoint_record_crash (job->endpoint, clock_now_ms ()))
    record_crash (job);
  else
    retry_or_fail_job (job, ERROR_ENDPOINT, "the endpoint is down");
}

static void
start_probe (struct job *job)
{
  char *url = xasprintf ("%s/v1/load", job->endpoint->url);
  struct fetch_options options = { .method = "GET",
                                   .url = url,
                                   .connect_timeout_ms = PROBE_TIMEOUT_MS,
                                   .timeout_ms = PROBE_TIMEOUT_MS,
                                   .handle_done = handle_probe,
                                   .data = job };

  job->probe = fetch_start (job->dispatcher->server->fetcher, &options);
  free (url);
}

static void
handle_end (void *data, enum engine_outcome outcome, long status,
            const struct engine_usage *usage)
{
  struct job *job = data;
  struct error error;

  job->attempt = NULL;
  if (job->stopped || outcome == ENGINE_FINISHED)
    {
      complete_job (job, usage);
      return;
    }
  switch (outcome)
    {
    case ENGINE_TRUNCATED:
      start_probe (job);
      return;
    case ENGINE_UNREACHABLE:
      retry_or_fail_job (job, ERROR_ENDPOINT,
                         "the endpoint cannot be reached");
      return;
    case ENGINE_STALLED:
      retry_or_fail_job (job, ERROR_ENDPOINT_TIMEOUT,
                         "the endpoint stopped sending data");
      return;
    case ENGINE_INVALID_RESPONSE:
      retry_or_fail_job (job, ERROR_ENDPOINT,
                         "the endpoint sent an invalid response");
      return;
    case ENGINE_HTTP_ERROR:
    case ENGINE_FINISHED:
      break;
    }
  if (status == HTTP_TOO_MANY_REQUESTS || status >= HTTP_SERVER_ERROR)
    {
      retry_or_fail_job (job, ERROR_ENDPOINT,
                         "the endpoint rejected the call");
      return;
    }
  error_set (&error, ERROR_ENDPOINT, RUN_NOT_RUN,
             "the engine rejected the request with status %ld; correct the "
             "request",
             status);
  fail_job (job, &error);
}

static bool
handle_token (void *data, const char *text, size_t len)
{
  struct job *job = data;

  job->tokens++;
  fair_charge (job->queue->fair, job->fair.customer, job->fair.weight, 1);
  if (job->handlers.handle_token (job->handlers.data, text, len))
    return true;
  job->stopped = true;
  return false;
}

static void
start_attempt (struct job *job, struct endpoint *endpoint, bool isolated)
{
  struct engine_handlers handlers = { .handle_token = handle_token,
                                      .handle_end = handle_end,
                                      .data = job };
  char request_id[ID_TEXT_BYTES];
  struct buf body = { 0 };

  job->endpoint = endpoint;
  job->isolated = isolated;
  job->attempts++;
  job->started_ms = clock_now_ms ();
  endpoint->in_flight++;
  if (isolated)
    {
      endpoint->isolated_in_flight++;
      poison_set_retrying (&job->dispatcher->poison, job->fingerprint, true);
    }
  if (job->attempts == 1)
    {
      retry_budget_deposit (&endpoint->retries);
      retry_budget_deposit (
          customer_retry_budget (job->dispatcher, job->customer));
    }
  id_random_text (request_id);
  job->handlers.build_body (job->handlers.data, &body);
  job->attempt
      = engine_attempt_start (job->dispatcher->server->fetcher, endpoint,
                              request_id, &body, STALL_TIMEOUT_MS, &handlers);
  buf_release (&body);
}

/* Returns how many calls this host may have in flight at an engine: its equal
   share of the slots, or its calls in flight plus its share of the slots last
   reported free, if that is more.  */
static int64_t
concurrency_limit (const struct dispatcher *dispatcher,
                   const struct endpoint *endpoint)
{
  int64_t hosts = 0;
  int64_t spare = endpoint->slots - endpoint->reported_busy;
  int64_t limit;

  for (size_t i = 0; i < dispatcher->server->config->host_count; i++)
    if (!dispatcher->server->config->hosts[i].leaving)
      hosts++;
  if (hosts < 1)
    hosts = 1;
  limit = (endpoint->slots + hosts - 1) / hosts;
  if (spare > 0 && endpoint->in_flight + spare / hosts > limit)
    limit = endpoint->in_flight + (spare + hosts - 1) / hosts;
  return limit > 0 ? limit : 1;
}

static struct job *
job_from_fair_item (struct fair_item *item)
{
  return (struct job *)(void *)((char *)item - offsetof (struct job, fair));
}

static void
collect_engines (struct dispatcher *dispatcher, const char *model,
                 struct engine_candidates *candidates)
{
  int64_t now_ms = clock_now_ms ();

  candidates->count = 0;
  candidates->has_free_engine = false;
  for (struct endpoint *e = dispatcher->endpoints.first;
       e && candidates->count < MAX_ENGINES; e = e->next)
    {
      struct route_engine *engine = &candidates->engines[candidates->count];

      if (!endpoint_serves_model (e, model))
        continue;
      *engine
          = (struct route_engine){ .eligible
                                   = endpoint_is_eligible (e, now_ms),
                                   .slots = e->slots,
                                   .window = concurrency_limit (dispatcher, e),
                                   .own_in_flight = e->in_flight,
                                   .reported_busy = e->reported_busy,
                                   .call_ms = e->call_ms };
      if (engine->eligible && engine->own_in_flight < engine->window)
        candidates->has_free_engine = true;
      candidates->endpoints[candidates->count++] = e;
    }
}

static int32_t
choose_engine (struct dispatcher *dispatcher,
               struct engine_candidates *candidates, const struct job *job,
               bool isolated)
{
  struct route_options options
      = { .prompt_tokens = job->prompt_tokens,
          .prefill_us_per_token = PREFILL_US_PER_TOKEN,
          .avoid = -1 };

  for (size_t i = 0; i < candidates->count; i++)
    {
      candidates->engines[i].cached_tokens
          = endpoint_cached_tokens (candidates->endpoints[i], job->program);
      if (job->last_failed
          && strcmp (candidates->endpoints[i]->name, job->last_failed) == 0)
        options.avoid = (int32_t)i;
      if (isolated && candidates->endpoints[i]->isolated_in_flight > 0)
        candidates->engines[i].eligible = false;
    }
  return route_pick (candidates->engines, candidates->count, &options,
                     &dispatcher->seed);
}

/* Takes the next job from the queue and starts it, queues it again after a
   delay, or fails it.  Returns false when the queue is empty or no engine of
   the model is free.  */
static bool
dispatch_next (struct dispatcher *dispatcher, struct model_queue *queue,
               struct engine_candidates *candidates)
{
  int64_t now_ms = clock_now_ms ();
  struct fair_item *item;
  struct job *job;
  enum poison_verdict verdict;
  int32_t picked;

  if (fair_count (queue->fair) == 0)
    return false;
  collect_engines (dispatcher, queue->model, candidates);
  if (!candidates->has_free_engine)
    return false;
  item = fair_pop (queue->fair, now_ms);
  job = job_from_fair_item (item);
  verdict = poison_check (&dispatcher->poison, job->fingerprint, now_ms);
  if (verdict == POISON_REFUSE)
    {
      fail_poisoned_job (job, job->attempts ? RUN_MAY_HAVE_RUN : RUN_NOT_RUN);
      return true;
    }
  if (verdict == POISON_WAIT)
    {
      enqueue_after (job, SUSPECT_REQUEUE_MS);
      return true;
    }
  picked
      = choose_engine (dispatcher, candidates, job, verdict == POISON_SUSPECT);
  if (picked < 0)
    {
      enqueue_after (job, SUSPECT_REQUEUE_MS);
      return true;
    }
  start_attempt (job, candidates->endpoints[picked],
                 verdict == POISON_SUSPECT);
  return true;
}

static void
handle_dispatch (void *data)
{
  struct dispatcher *dispatcher = data;

  for (struct model_queue *queue = dispatcher->queues; queue;
       queue = queue->next)
    while (dispatch_next (dispatcher, queue, &dispatcher->candidates))
      continue;
}

/* Creates the dispatcher of SERVER, whose fetcher and mesh must exist.  */
struct dispatcher *
dispatcher_create (struct server *server)
{
  struct dispatcher *dispatcher = xcalloc (1, sizeof *dispatcher);

  dispatcher->server = server;
  dispatcher->seed = id_random64 ();
  dispatcher->customer_retries
      = g_hash_table_new_full (g_str_hash, g_str_equal, free, free);
  deferred_init (&dispatcher->dispatch_event, server->loop, handle_dispatch,
                 dispatcher);
  return dispatcher;
}

/* Frees the dispatcher; no job may be queued or running.  */
void
dispatcher_destroy (struct dispatcher *dispatcher)
{
  if (!dispatcher)
    return;
  deferred_cancel (&dispatcher->dispatch_event);
  while (dispatcher->queues)
    {
      struct model_queue *queue = dispatcher->queues;

      dispatcher->queues = queue->next;
      fair_destroy (queue->fair);
      free (queue->model);
      free (queue);
    }
  endpoint_table_release (&dispatcher->endpoints);
  g_hash_table_destroy (dispatcher->customer_retries);
  free (dispatcher);
}

/* Applies the endpoints of a new configuration.  */
void
dispatcher_apply (struct dispatcher *dispatcher, const struct config *config)
{
  endpoint_table_apply (&dispatcher->endpoints, config);
  deferred_schedule (&dispatcher->dispatch_event);
}

/* Returns the endpoint table, which the dispatcher owns.  */
struct endpoint_table *
dispatcher_endpoints (struct dispatcher *dispatcher)
{
  return &dispatcher->endpoints;
}

/* Estimates how long a new call would wait in QUEUE.  Returns 0 when no engine
   is eligible.  */
static int64_t
expected_wait_ms (struct dispatcher *dispatcher,
                  const struct model_queue *queue)
{
  int64_t slots = 0;
  int64_t call_ms = 0;

  for (const struct endpoint *e = dispatcher->endpoints.first; e; e = e->next)
    if (endpoint_serves_model (e, queue->model)
        && endpoint_is_eligible (e, clock_now_ms ()))
      {
        slots += concurrency_limit (dispatcher, e);
        if (e->call_ms > call_ms)
          call_ms = e->call_ms;
      }
  if (slots == 0)
    return 0;
  return fair_count (queue->fair) * call_ms / slots;
}

static bool
model_is_served (const struct dispatcher *dispatcher, const char *model)
{
  for (const struct endpoint *e = dispatcher->endpoints.first; e; e = e->next)
    if (e->configured && endpoint_serves_model (e, model))
      return true;
  return false;
}

/* Enqueues JOB, or refuses it by calling its handle_failed before this
   function returns.  */
void
dispatcher_submit (struct dispatcher *dispatcher, struct job *job)
{
  int64_t now_ms = clock_now_ms ();
  struct error error;
  int64_t wait_ms;

  job->dispatcher = dispatcher;
  job->queue = find_queue (dispatcher, job->model);
  ev_timer_init (&job->backoff, handle_backoff, 0, 0);
  job->backoff.data = job;
  if (!model_is_served (dispatcher, job->model))
    {
      error_set (&error, ERROR_NOT_FOUND, RUN_NOT_RUN,
                 "no engine serves the model \"%.60s\"; name another model",
                 job->model);
      fail_job (job, &error);
      return;
    }
  if (poison_check (&dispatcher->poison, job->fingerprint, now_ms)
      == POISON_REFUSE)
    {
      fail_poisoned_job (job, RUN_NOT_RUN);
      return;
    }
  wait_ms = expected_wait_ms (dispatcher, job->queue);
  if (wait_ms > MAX_WAIT_MS)
    {
      error_set (&error, ERROR_OVERLOADED, RUN_NOT_RUN,
                 "the engines are busy for about %lld s; retry after that",
                 (long long)(wait_ms / 1000));
      error.retry_after_ms = (uint32_t)(wait_ms - MAX_WAIT_MS / 2);
      fail_job (job, &error);
      return;
    }
  job->fair.enqueued_ms = now_ms;
  enqueue_job (job);
}

/* Cancels JOB without calling its handlers.  */
void
dispatcher_cancel (struct job *job)
{
  if (!job->queue)
    return;
  fair_remove (job->queue->fair, &job->fair);
  if (job->attempt)
    engine_attempt_cancel (job->attempt);
  job->attempt = NULL;
  if (job->probe)
    fetch_cancel (job->probe);
  job->probe = NULL;
  detach_job (job);
}

static void
handle_load (void *data, const struct fetch_result *result)
{
  struct endpoint *endpoint = data;
  json_t *load = json_loadb (result->body->data ? result->body->data : "",
                             result->body->len, 0, NULL);

  endpoint->load_fetch = NULL;
  if (result->complete && load)
    {
      endpoint->last_response_ms = clock_now_ms ();
      endpoint->reported_busy
          = number_read_count (load, "running", MAX_REPORTED_CALLS)
            + number_read_count (load, "waiting", MAX_REPORTED_CALLS);
      endpoint->reports_leaving
          = json_is_true (json_object_get (load, "leaving"));
    }
  json_decref (load);
}

static void
poll_load (struct dispatcher *dispatcher, struct endpoint *endpoint)
{
  char *url;
  struct fetch_options options = { .method = "GET",
                                   .connect_timeout_ms = LOAD_TIMEOUT_MS,
                                   .timeout_ms = LOAD_TIMEOUT_MS,
                                   .handle_done = handle_load,
                                   .data = endpoint };

  if (endpoint->load_fetch || !endpoint->configured)
    return;
  url = xasprintf ("%s/v1/load", endpoint->url);
  options.url = url;
  endpoint->load_fetch = fetch_start (dispatcher->server->fetcher, &options);
  free (url);
}

/* Fails the jobs that have waited longer than MAX_WAIT_MS.  */
static void
expire_waiting_jobs (struct model_queue *queue, int64_t now_ms)
{
  struct fair_item *item;

  while ((item = fair_oldest (queue->fair))
         && now_ms - item->enqueued_ms > MAX_WAIT_MS)
    {
      struct job *job = job_from_fair_item (item);
      struct error error;

      fair_remove (queue->fair, item);
      error_set (&error, ERROR_OVERLOADED,
                 job->attempts > 0 ? RUN_MAY_HAVE_RUN : RUN_NOT_RUN,
                 "no engine was free within %d s; send the call again with "
                 "the same cursor",
                 MAX_WAIT_MS / 1000);
      error.retry_after_ms = RETRY_MAX_BACKOFF_MS;
      fail_job (job, &error);
    }
}

/* Polls the load of the endpoints, dispatches jobs whose endpoints are no
   longer ejected, and fails jobs that have waited too long.  */
void
dispatcher_tick (struct dispatcher *dispatcher, int64_t now_ms)
{
  deferred_schedule (&dispatcher->dispatch_event);
  for (struct model_queue *queue = dispatcher->queues; queue;
       queue = queue->next)
    expire_waiting_jobs (queue, now_ms);
  if (now_ms - dispatcher->last_poll_ms < LOAD_POLL_MS)
    return;
  dispatcher->last_poll_ms = now_ms;
  for (struct endpoint *e = dispatcher->endpoints.first; e; e = e->next)
    poll_load (dispatcher, e);
}

static struct endpoint *
find_endpoint (struct dispatcher *dispatcher, const char *name)
{
  struct endpoint *endpoint = dispatcher->endpoints.first;

  while (endpoint && strcmp (endpoint->name, name) != 0)
    endpoint = endpoint->next;
  return endpoint;
}

/* Records that another host has counted CRASHES crashes for the request
   FINGERPRINT, the last of them at the endpoint NAME.  If this host sees a
   crash there at about the same time, the two are counted as one.  */
void
dispatcher_record_remote_crash (struct dispatcher *dispatcher,
                                const char *name, uint64_t fingerprint,
                                uint32_t crashes)
{
  struct endpoint *endpoint = find_endpoint (dispatcher, name);
  int64_t now_ms = clock_now_ms ();

  if (!endpoint)
    return;
  endpoint_record_crash (endpoint, now_ms);
  log_write (LOG_INFO, "dispatcher", NULL,
             "another host reports that endpoint %s crashed while running "
             "request %016llx, crash %u",
             name, (unsigned long long)fingerprint, crashes);
  poison_record_crash (&dispatcher->poison, fingerprint, id_hash_text (name),
                       crashes, now_ms);
}

/* Returns the state of the queues and endpoints as a new reference.  */
json_t *
dispatcher_to_json (struct dispatcher *dispatcher, int64_t now_ms)
{
  json_t *queues = json_array ();

  for (const struct model_queue *queue = dispatcher->queues; queue;
       queue = queue->next)
    json_array_append_new (
        queues, json_pack ("{s:s, s:I}", "model", queue->model, "waiting",
                           (json_int_t)fair_count (queue->fair)));
  return json_pack ("{s:o, s:o}", "queues", queues, "endpoints",
                    endpoint_table_to_json (&dispatcher->endpoints, now_ms));
}
