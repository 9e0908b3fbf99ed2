#include "endpoint/dispatcher.h"
#include "common/counters.h"
#include "common/deferred.h"
#include "common/id.h"
#include "common/log.h"
#include "galenashored/server.h"
#include "policy/route.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  LOAD_POLL_MS = 500,
  LOAD_TIMEOUT_MS = 400,
  PROBE_TIMEOUT_MS = 250,
  STALL_TIMEOUT_MS = 10000,
  SUSPECT_WAIT_MS = 50,
  MAX_WAIT_MS = 30000, /* a longer wait is refused, expected or not */
  MAX_ENGINES = 1024,
  PREFILL_US_PER_TOKEN = 20,
  HTTP_TOO_MANY = 429,
  HTTP_SERVER_ERROR = 500,
};

/* The calls that wait for one model. */
struct lane
{
  char *model;
  struct fair_queue *fair;
  struct lane *next;
};

/* The engines of one model, as a decision sees them. */
struct engine_view
{
  struct route_engine engines[MAX_ENGINES];
  struct endpoint *endpoints[MAX_ENGINES];
  size_t count;
  bool has_room;
};

struct dispatcher
{
  struct server *server;
  struct endpoint_table endpoints;
  struct lane *lanes;
  struct deferred pump;
  struct poison poison;
  struct engine_view view;      /* of the decision under way */
  GHashTable *customer_retries; /* name to struct retry_budget */
  uint64_t seed;
  int64_t polled_ms;
};

static struct lane *
find_lane (struct dispatcher *dispatcher, const char *model)
{
  struct lane *lane = dispatcher->lanes;

  while (lane && strcmp (lane->model, model) != 0)
    lane = lane->next;
  if (lane)
    return lane;
  lane = xcalloc (1, sizeof *lane);
  lane->model = xstrdup (model);
  lane->fair = fair_create (&fair_weighted);
  lane->next = dispatcher->lanes;
  dispatcher->lanes = lane;
  return lane;
}

static struct retry_budget *
customer_budget (struct dispatcher *dispatcher, const char *customer)
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

/* Ends the job's hold on its endpoint.  */
static void
leave_endpoint (struct job *job)
{
  if (!job->endpoint)
    return;
  job->endpoint->in_flight--;
  if (job->alone)
    {
      job->endpoint->suspects--;
      poison_set_retrying (&job->dispatcher->poison, job->fingerprint, false);
    }
  job->alone = false;
  job->endpoint = NULL;
  deferred_schedule (&job->dispatcher->pump);
}

static void
detach (struct job *job)
{
  leave_endpoint (job);
  ev_timer_stop (job->dispatcher->server->loop, &job->backoff);
  free (job->avoid);
  job->avoid = NULL;
  job->lane = NULL;
}

static void
fail (struct job *job, const struct error *error)
{
  detach (job);
  job->handlers.handle_failed (job->handlers.data, error);
}

static void
succeed (struct job *job, const struct engine_usage *usage)
{
  struct dispatcher *dispatcher = job->dispatcher;
  int64_t took_ms = clock_now_ms () - job->started_ms;

  endpoint_note_success (job->endpoint, took_ms);
  free (job->served_by);
  job->served_by = xstrdup (job->endpoint->name);
  endpoint_note_cached (job->endpoint, job->program,
                        job->prompt_tokens + (int64_t)job->tokens);
  poison_record_success (&dispatcher->poison, job->fingerprint);
  detach (job);
  job->handlers.handle_done (job->handlers.data, usage);
}

static void
fail_poisoned (struct job *job, enum run_state run)
{
  struct error error;
  int64_t now_ms = clock_now_ms ();
  int64_t until_ms
      = poison_until_ms (&job->dispatcher->poison, job->fingerprint);

  error_set (&error, ERROR_POISONED, run,
             "endpoints crashed while they ran this request; change the "
             "request, or ask the operator to look at the model");
  if (until_ms > now_ms)
    error.retry_after_ms = (uint32_t)(until_ms - now_ms);
  fail (job, &error);
}

static void
queue_job (struct job *job)
{
  fair_push (job->lane->fair, &job->fair);
  deferred_schedule (&job->dispatcher->pump);
}

static void
handle_backoff (struct ev_loop *loop, ev_timer *timer, int events)
{
  queue_job (timer->data);
}

static void
queue_later (struct job *job, int64_t wait_ms)
{
  ev_timer_stop (job->dispatcher->server->loop, &job->backoff);
  ev_timer_set (&job->backoff, (double)wait_ms / 1000.0, 0);
  ev_timer_start (job->dispatcher->server->loop, &job->backoff);
}

static void
fail_endpoint (struct job *job, enum error_kind kind, const char *what)
{
  struct error error;

  error_set (&error, kind, RUN_MAY_HAVE_RUN,
             "%s; send the call again with the same cursor", what);
  error.retry_after_ms = (uint32_t)retry_backoff_ms (RETRY_MAX_ATTEMPTS,
                                                     &job->dispatcher->seed);
  fail (job, &error);
}

/* Tries the job elsewhere, as far as the budgets allow.  */
static void
retry (struct job *job, enum error_kind kind, const char *what)
{
  struct dispatcher *dispatcher = job->dispatcher;
  struct endpoint *endpoint = job->endpoint;

  counter_add (COUNTER_ENDPOINT_FAILURES, 1);
  endpoint_note_failure (endpoint, clock_now_ms ());
  if (job->attempts >= RETRY_MAX_ATTEMPTS
      || !retry_budget_withdraw (&endpoint->retries)
      || !retry_budget_withdraw (customer_budget (dispatcher, job->customer)))
    {
      fail_endpoint (job, kind, what);
      return;
    }
  counter_add (COUNTER_ENDPOINT_RETRIES, 1);
  free (job->avoid);
  job->avoid = xstrdup (endpoint->name);
  leave_endpoint (job);
  queue_later (job, retry_backoff_ms (job->attempts, &dispatcher->seed));
}

static void
tell_crash (struct dispatcher *dispatcher, const struct endpoint *endpoint,
            uint64_t fingerprint, uint32_t crashes)
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
note_crash (struct job *job)
{
  struct dispatcher *dispatcher = job->dispatcher;
  uint32_t crashes = poison_record_crash (
      &dispatcher->poison, job->fingerprint,
      id_hash_text (job->endpoint->name), 0, clock_now_ms ());

  log_write (
      LOG_WARN, "dispatcher", &(struct log_ids){ .customer = job->customer },
      "endpoint %s crashed under request %016llx, crash %u",
      job->endpoint->name, (unsigned long long)job->fingerprint, crashes);
  tell_crash (dispatcher, job->endpoint, job->fingerprint, crashes);
  if (crashes >= POISON_CRASHES)
    fail_poisoned (job, RUN_MAY_HAVE_RUN);
  else
    retry (job, ERROR_ENDPOINT, "the endpoint crashed");
}

/* An endpoint that does not answer right after it cut a stream has crashed;
   one that does has only lost the connection.  */
static void
handle_probe (void *data, const struct fetch_result *result)
{
  struct job *job = data;

  job->probe = NULL;
  if (result->complete)
    retry (job, ERROR_ENDPOINT, "the endpoint cut its answer");
  else if (endpoint_note_crash (job->endpoint, clock_now_ms ()))
    note_crash (job);
  else
    retry (job, ERROR_ENDPOINT, "the endpoint is down");
}

static void
probe (struct job *job)
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
      succeed (job, usage);
      return;
    }
  switch (outcome)
    {
    case ENGINE_BROKEN:
      probe (job);
      return;
    case ENGINE_UNREACHED:
      retry (job, ERROR_ENDPOINT, "the endpoint cannot be reached");
      return;
    case ENGINE_STALLED:
      retry (job, ERROR_ENDPOINT_TIMEOUT, "the endpoint stopped answering");
      return;
    case ENGINE_GARBAGE:
      retry (job, ERROR_ENDPOINT, "the endpoint gave no usable answer");
      return;
    case ENGINE_REFUSED:
    case ENGINE_FINISHED:
      break;
    }
  if (status == HTTP_TOO_MANY || status >= HTTP_SERVER_ERROR)
    {
      retry (job, ERROR_ENDPOINT, "the endpoint refused the call");
      return;
    }
  error_set (&error, ERROR_ENDPOINT, RUN_NOT_RUN,
             "the engine refused the request with status %ld; correct the "
             "request",
             status);
  fail (job, &error);
}

static bool
handle_token (void *data, const char *text, size_t len)
{
  struct job *job = data;

  job->tokens++;
  fair_charge (job->lane->fair, job->fair.customer, job->fair.weight, 1);
  if (job->handlers.handle_token (job->handlers.data, text, len))
    return true;
  job->stopped = true;
  return false;
}

static void
start (struct job *job, struct endpoint *endpoint, bool alone)
{
  struct engine_handlers handlers = { .handle_token = handle_token,
                                      .handle_end = handle_end,
                                      .data = job };
  char request_id[ID_TEXT_BYTES];
  struct buf body = { 0 };

  job->endpoint = endpoint;
  job->alone = alone;
  job->attempts++;
  job->started_ms = clock_now_ms ();
  endpoint->in_flight++;
  if (alone)
    {
      endpoint->suspects++;
      poison_set_retrying (&job->dispatcher->poison, job->fingerprint, true);
    }
  if (job->attempts == 1)
    {
      retry_budget_deposit (&endpoint->retries);
      retry_budget_deposit (customer_budget (job->dispatcher, job->customer));
    }
  id_random_text (request_id);
  job->handlers.build_body (job->handlers.data, &body);
  job->attempt = engine_start (job->dispatcher->server->fetcher, endpoint,
                               request_id, &body, STALL_TIMEOUT_MS, &handlers);
  buf_release (&body);
}

/* How many calls this host may have at an engine: its part of the slots, and
   its part of what the last report says is free.  */
static int64_t
window_of (const struct dispatcher *dispatcher,
           const struct endpoint *endpoint)
{
  int64_t hosts = 0;
  int64_t spare = endpoint->slots - endpoint->reported_busy;
  int64_t window;

  for (size_t i = 0; i < dispatcher->server->config->host_count; i++)
    if (!dispatcher->server->config->hosts[i].leaving)
      hosts++;
  if (hosts < 1)
    hosts = 1;
  window = (endpoint->slots + hosts - 1) / hosts;
  if (spare > 0 && endpoint->in_flight + spare / hosts > window)
    window = endpoint->in_flight + (spare + hosts - 1) / hosts;
  return window > 0 ? window : 1;
}

static struct job *
job_of (struct fair_item *item)
{
  return (struct job *)(void *)((char *)item - offsetof (struct job, fair));
}

static void
look (struct dispatcher *dispatcher, const char *model,
      struct engine_view *view)
{
  int64_t now_ms = clock_now_ms ();

  view->count = 0;
  view->has_room = false;
  for (struct endpoint *e = dispatcher->endpoints.first;
       e && view->count < MAX_ENGINES; e = e->next)
    {
      struct route_engine *engine = &view->engines[view->count];

      if (!endpoint_serves_model (e, model))
        continue;
      *engine = (struct route_engine){ .eligible
                                       = endpoint_is_eligible (e, now_ms),
                                       .slots = e->slots,
                                       .window = window_of (dispatcher, e),
                                       .own_in_flight = e->in_flight,
                                       .reported_busy = e->reported_busy,
                                       .call_ms = e->call_ms };
      if (engine->eligible && engine->own_in_flight < engine->window)
        view->has_room = true;
      view->endpoints[view->count++] = e;
    }
}

static int32_t
pick (struct dispatcher *dispatcher, struct engine_view *view,
      const struct job *job, bool alone)
{
  struct route_options options
      = { .prompt_tokens = job->prompt_tokens,
          .prefill_us_per_token = PREFILL_US_PER_TOKEN,
          .avoid = -1 };

  for (size_t i = 0; i < view->count; i++)
    {
      view->engines[i].cached_tokens
          = endpoint_cached_tokens (view->endpoints[i], job->program);
      if (job->avoid && strcmp (view->endpoints[i]->name, job->avoid) == 0)
        options.avoid = (int32_t)i;
      if (alone && view->endpoints[i]->suspects > 0)
        view->engines[i].eligible = false;
    }
  return route_pick (view->engines, view->count, &options, &dispatcher->seed);
}

/* Takes one job off the lane.  False where nothing more can start now.  */
static bool
pump_one (struct dispatcher *dispatcher, struct lane *lane,
          struct engine_view *view)
{
  int64_t now_ms = clock_now_ms ();
  struct fair_item *item;
  struct job *job;
  enum poison_verdict verdict;
  int32_t picked;

  if (fair_count (lane->fair) == 0)
    return false;
  look (dispatcher, lane->model, view);
  if (!view->has_room)
    return false;
  item = fair_pop (lane->fair, now_ms);
  job = job_of (item);
  verdict = poison_check (&dispatcher->poison, job->fingerprint, now_ms);
  if (verdict == POISON_REFUSE)
    {
      fail_poisoned (job, job->attempts ? RUN_MAY_HAVE_RUN : RUN_NOT_RUN);
      return true;
    }
  if (verdict == POISON_WAIT)
    {
      queue_later (job, SUSPECT_WAIT_MS);
      return true;
    }
  picked = pick (dispatcher, view, job, verdict == POISON_SUSPECT);
  if (picked < 0)
    {
      queue_later (job, SUSPECT_WAIT_MS);
      return true;
    }
  start (job, view->endpoints[picked], verdict == POISON_SUSPECT);
  return true;
}

static void
handle_pump (void *data)
{
  struct dispatcher *dispatcher = data;

  for (struct lane *lane = dispatcher->lanes; lane; lane = lane->next)
    while (pump_one (dispatcher, lane, &dispatcher->view))
      continue;
}

/* Creates the dispatcher of SERVER, which has its fetcher and mesh.  */
struct dispatcher *
dispatcher_create (struct server *server)
{
  struct dispatcher *dispatcher = xcalloc (1, sizeof *dispatcher);

  dispatcher->server = server;
  dispatcher->seed = id_random64 ();
  dispatcher->customer_retries
      = g_hash_table_new_full (g_str_hash, g_str_equal, free, free);
  deferred_init (&dispatcher->pump, server->loop, handle_pump, dispatcher);
  return dispatcher;
}

/* Frees the dispatcher; no job may be in its hands.  */
void
dispatcher_destroy (struct dispatcher *dispatcher)
{
  if (!dispatcher)
    return;
  deferred_release (&dispatcher->pump);
  while (dispatcher->lanes)
    {
      struct lane *lane = dispatcher->lanes;

      dispatcher->lanes = lane->next;
      fair_destroy (lane->fair);
      free (lane->model);
      free (lane);
    }
  endpoint_table_release (&dispatcher->endpoints);
  g_hash_table_destroy (dispatcher->customer_retries);
  free (dispatcher);
}

/* Takes over the endpoints of a new configuration.  */
void
dispatcher_apply (struct dispatcher *dispatcher, const struct config *config)
{
  endpoint_table_apply (&dispatcher->endpoints, config);
  deferred_schedule (&dispatcher->pump);
}

/* Returns the endpoints; the dispatcher keeps them.  */
struct endpoint_table *
dispatcher_endpoints (struct dispatcher *dispatcher)
{
  return &dispatcher->endpoints;
}

static int64_t
expected_wait_ms (struct dispatcher *dispatcher, const struct lane *lane)
{
  int64_t slots = 0;
  int64_t call_ms = 0;

  for (const struct endpoint *e = dispatcher->endpoints.first; e; e = e->next)
    if (endpoint_serves_model (e, lane->model)
        && endpoint_is_eligible (e, clock_now_ms ()))
      {
        slots += window_of (dispatcher, e);
        if (e->call_ms > call_ms)
          call_ms = e->call_ms;
      }
  if (slots == 0)
    return 0;
  return fair_count (lane->fair) * call_ms / slots;
}

static bool
model_is_served (const struct dispatcher *dispatcher, const char *model)
{
  for (const struct endpoint *e = dispatcher->endpoints.first; e; e = e->next)
    if (e->listed && endpoint_serves_model (e, model))
      return true;
  return false;
}

/* Takes JOB into the queue.  The handlers may be called before this returns,
   where the job is refused at once.  */
void
dispatcher_submit (struct dispatcher *dispatcher, struct job *job)
{
  int64_t now_ms = clock_now_ms ();
  struct error error;
  int64_t wait_ms;

  job->dispatcher = dispatcher;
  job->lane = find_lane (dispatcher, job->model);
  ev_timer_init (&job->backoff, handle_backoff, 0, 0);
  job->backoff.data = job;
  if (!model_is_served (dispatcher, job->model))
    {
      error_set (&error, ERROR_NOT_FOUND, RUN_NOT_RUN,
                 "no engine serves the model \"%.60s\"; name another model",
                 job->model);
      fail (job, &error);
      return;
    }
  if (poison_check (&dispatcher->poison, job->fingerprint, now_ms)
      == POISON_REFUSE)
    {
      fail_poisoned (job, RUN_NOT_RUN);
      return;
    }
  wait_ms = expected_wait_ms (dispatcher, job->lane);
  if (wait_ms > MAX_WAIT_MS)
    {
      error_set (&error, ERROR_OVERLOADED, RUN_NOT_RUN,
                 "the engines are busy for about %lld s; come back then",
                 (long long)(wait_ms / 1000));
      error.retry_after_ms = (uint32_t)(wait_ms - MAX_WAIT_MS / 2);
      fail (job, &error);
      return;
    }
  job->fair.enqueued_ms = now_ms;
  queue_job (job);
}

/* Takes JOB back without calling its handlers.  */
void
dispatcher_cancel (struct job *job)
{
  if (!job->lane)
    return;
  fair_remove (job->lane->fair, &job->fair);
  if (job->attempt)
    engine_cancel (job->attempt);
  job->attempt = NULL;
  if (job->probe)
    fetch_cancel (job->probe);
  job->probe = NULL;
  detach (job);
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
      endpoint->answered_ms = clock_now_ms ();
      endpoint->reported_busy
          = json_integer_value (json_object_get (load, "running"))
            + json_integer_value (json_object_get (load, "waiting"));
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

  if (endpoint->load_fetch || !endpoint->listed)
    return;
  url = xasprintf ("%s/v1/load", endpoint->url);
  options.url = url;
  endpoint->load_fetch = fetch_start (dispatcher->server->fetcher, &options);
  free (url);
}

/* A call that has waited too long gets its final answer.  */
static void
give_up_waiting (struct lane *lane, int64_t now_ms)
{
  struct fair_item *item;

  while ((item = fair_oldest (lane->fair))
         && now_ms - item->enqueued_ms > MAX_WAIT_MS)
    {
      struct job *job = job_of (item);
      struct error error;

      fair_remove (lane->fair, item);
      error_set (&error, ERROR_OVERLOADED,
                 job->attempts > 0 ? RUN_MAY_HAVE_RUN : RUN_NOT_RUN,
                 "no engine could take the call in %d s; send it again with "
                 "the same cursor",
                 MAX_WAIT_MS / 1000);
      error.retry_after_ms = RETRY_MAX_BACKOFF_MS;
      fail (job, &error);
    }
}

/* Polls the endpoints' load, tries what waits for an ejected one, and gives up
   what has waited too long.  */
void
dispatcher_tick (struct dispatcher *dispatcher, int64_t now_ms)
{
  deferred_schedule (&dispatcher->pump);
  for (struct lane *lane = dispatcher->lanes; lane; lane = lane->next)
    give_up_waiting (lane, now_ms);
  if (now_ms - dispatcher->polled_ms < LOAD_POLL_MS)
    return;
  dispatcher->polled_ms = now_ms;
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

/* Another host has seen CRASHES under the request FINGERPRINT, the last of
   them at the endpoint NAME.  The crash is the one that this host sees there
   too, if it does.  */
void
dispatcher_note_remote_crash (struct dispatcher *dispatcher, const char *name,
                              uint64_t fingerprint, uint32_t crashes)
{
  struct endpoint *endpoint = find_endpoint (dispatcher, name);
  int64_t now_ms = clock_now_ms ();

  if (!endpoint)
    return;
  endpoint_note_crash (endpoint, now_ms);
  log_write (LOG_INFO, "dispatcher", NULL,
             "another host saw endpoint %s crash under request %016llx, "
             "crash %u",
             name, (unsigned long long)fingerprint, crashes);
  poison_record_crash (&dispatcher->poison, fingerprint, id_hash_text (name),
                       crashes, now_ms);
}

/* Returns the queues and endpoints as a new reference.  */
json_t *
dispatcher_to_json (struct dispatcher *dispatcher, int64_t now_ms)
{
  json_t *lanes = json_array ();

  for (const struct lane *lane = dispatcher->lanes; lane; lane = lane->next)
    json_array_append_new (
        lanes, json_pack ("{s:s, s:I}", "model", lane->model, "waiting",
                          (json_int_t)fair_count (lane->fair)));
  return json_pack ("{s:o, s:o}", "queues", lanes, "endpoints",
                    endpoint_table_to_json (&dispatcher->endpoints, now_ms));
}
