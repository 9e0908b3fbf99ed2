#include "local_pipeline.h"
#include "common/id.h"
#include "peer/packed_frame.h"
#include "platform/wire.h"
#include "request/stream_memory.h"
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  DELIVERY_MS = 2, /* of a frame, to another host */
  TICK_MS = 50,
  HELPER_MS = 1000, /* for a helper's offer */
};

static struct local_pipeline *
local_from_sink (struct request_sink *sink)
{
  return (struct local_pipeline *)((char *)sink
                                   - offsetof (struct local_pipeline, sink));
}

static void
finish (struct local_pipeline *local, enum local_outcome outcome)
{
  CU_ASSERT_EQUAL (local->response.outcome, LOCAL_PENDING);
  local->response.outcome = outcome;
  local->active = NULL;
  ev_break (local->loop, EVBREAK_ALL);
}

static void
sink_begin (struct request_sink *sink, const struct response_head *head)
{
  struct local_pipeline *local = local_from_sink (sink);

  CU_ASSERT_EQUAL (local->response.status, 0);
  local->response.status = head->status;
}

static bool
sink_write (struct request_sink *sink, const char *bytes, size_t len)
{
  buf_append (&local_from_sink (sink)->response.body, bytes, len);
  return true;
}

static void
sink_end (struct request_sink *sink)
{
  finish (local_from_sink (sink), LOCAL_ENDED);
}

static void
sink_abort (struct request_sink *sink)
{
  finish (local_from_sink (sink), LOCAL_ABORTED);
}

static void
sink_refuse (struct request_sink *sink, const struct error *error)
{
  struct local_pipeline *local = local_from_sink (sink);

  local->response.error = *error;
  finish (local, LOCAL_REFUSED);
}

static void
sink_respond (struct request_sink *sink, const struct response_head *head,
              const struct buf *body)
{
  struct local_pipeline *local = local_from_sink (sink);

  local->response.status = head->status;
  buf_append (&local->response.body, body->data, body->len);
  finish (local, LOCAL_RESPONDED);
}

static void
count_crash (void *data, uint64_t fingerprint, uint32_t crashes,
             const char *endpoint)
{
  struct local_pipeline *local = data;

  local->crashes++;
}

/* Returns a configuration with one open route, of all paths of its host to the
   service "app", whose index is to be built.  */
struct routing *
local_routing_begin (const struct local_route *route)
{
  struct routing *routing = routing_create ();

  routing->services = xcalloc (1, sizeof *routing->services);
  routing->services[0]
      = (struct service){ .name = xstrdup ("app"), .tokens_per_event = 1 };
  routing->service_count = 1;
  routing->routes = xcalloc (1, sizeof *routing->routes);
  routing->route_count = 1;
  routing->routes[0]
      = (struct route){ .name = xstrdup ("r"),
                        .host = xstrdup (route->host ? route->host : "h"),
                        .path_prefix = xstrdup ("/"),
                        .retry_mode = route->retry_mode,
                        .resumable = route->resumable,
                        .is_open = true,
                        .timeout_ms = route->timeout_ms,
                        .max_attempts = route->max_attempts,
                        .retained = route->retained,
                        .retention_s = 60,
                        .targets = xcalloc (1, sizeof (struct route_target)),
                        .target_count = 1 };
  routing->routes[0].targets[0].weight = 1;
  return routing;
}

/* Returns the same, with its index.  */
struct routing *
local_routing_create (const struct local_route *route)
{
  struct routing *routing = local_routing_begin (route);

  routing_build_index (routing);
  return routing;
}

/* Makes the pool know the endpoints as LISTED describes them.  */
void
local_pipeline_list_endpoints (struct local_pipeline *local)
{
  struct endpoint_list *list = xcalloc (1, sizeof *list);

  list->entries = xcalloc (local->endpoint_count, sizeof *list->entries);
  for (uint32_t i = 0; i < local->endpoint_count; i++)
    if (!local->listed[i].is_gone)
      list->entries[list->count++] = (struct endpoint_entry){
        .id = xstrdup (local->listed[i].id),
        .service = xstrdup ("app"),
        .address = xasprintf ("127.0.0.1:%u", local->listed[i].port > 0
                                                  ? local->listed[i].port
                                                  : local->endpoints[i]->port),
        .data_centre = xstrdup ("a"),
        .version
        = local->listed[i].version ? xstrdup (local->listed[i].version) : NULL,
        .started_ms = local->listed[i].started_ms,
        .slots = 8
      };
  pool_apply (local->pool, list, clock_now_ms ());
  endpoint_list_destroy (list);
}

/* A frame on its way. */
struct local_frame
{
  const char *from;
  struct buf bytes;
};

static struct local_pipeline *
find_host (const struct local_pipeline *fleet, const char *name)
{
  for (uint32_t i = 0; i < fleet->host_count; i++)
    if (strcmp (fleet->hosts[i]->host, name) == 0)
      return fleet->hosts[i];
  return NULL;
}

static bool
send_frame (struct transport *base, const char *host, const Peer__Frame *frame)
{
  struct local_transport *transport = (struct local_transport *)base;
  struct local_pipeline *target = find_host (transport->local->fleet, host);
  struct local_frame *copy;

  if (!target || transport->is_cut || target->transport.is_cut)
    return target != NULL;
  copy = xcalloc (1, sizeof *copy);
  copy->from = transport->local->host;
  packed_frame_append (&copy->bytes, frame);
  g_queue_push_tail (&target->transport.frames, copy);
  if (!ev_is_active (&target->transport.delivery))
    {
      ev_timer_set (&target->transport.delivery, DELIVERY_MS / 1000.0, 0);
      ev_timer_start (target->loop, &target->transport.delivery);
    }
  return true;
}

static void
ping (struct transport *base, const char *host)
{
}

/* A host that is not cut off answers at once.  */
static int64_t
last_received_ms (struct transport *base, const char *host)
{
  const struct local_transport *transport
      = (const struct local_transport *)base;
  const struct local_pipeline *target
      = find_host (transport->local->fleet, host);

  return target && !target->transport.is_cut && !transport->is_cut
             ? clock_now_ms ()
             : 0;
}

static const struct transport_vtable transport_vtable = {
  .send = send_frame, .ping = ping, .last_received_ms = last_received_ms
};

/* Removes what a build before does not know.  */
static void
omit_response_origin (Peer__Frame *frame)
{
  if (frame->body_case == PEER__FRAME__BODY_RELAY_SEND)
    {
      frame->relay_send->needs_new_connection = false;
      if (*frame->relay_send->request_id)
        *frame->relay_send->request_id = '\0';
    }
  else if (frame->body_case == PEER__FRAME__BODY_RELAY_DATA)
    frame->relay_data->is_first_response = false;
  else if (frame->body_case == PEER__FRAME__BODY_RELAY_DONE)
    frame->relay_done->is_first_response = false;
}

static void
handle_frame (struct local_pipeline *local, const char *from,
              const Peer__Frame *frame, int64_t now_ms)
{
  endpoint_limiter_handle_frame (local->limiter, from, frame, now_ms);
  if (local->is_old)
    return;
  relay_client_handle_frame (local->relays, from, frame, now_ms);
  relay_server_handle_frame (local->relay_server, from, frame, now_ms);
}

static void
handle_delivery (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct local_transport *transport = timer->data;
  struct local_frame *copy;

  while ((copy = g_queue_pop_head (&transport->frames)))
    {
      Peer__Frame *frame = packed_frame_unpack (&copy->bytes);

      CU_ASSERT_PTR_NOT_NULL_FATAL (frame);
      if (transport->omits_response_origin
          || find_host (transport->local->fleet, copy->from)
                 ->transport.omits_response_origin)
        omit_response_origin (frame);
      handle_frame (transport->local, copy->from, frame, clock_now_ms ());
      peer__frame__free_unpacked (frame, NULL);
      buf_release (&copy->bytes);
      free (copy);
    }
}

static void
handle_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct local_transport *transport = timer->data;

  struct local_pipeline *local = transport->local;
  int64_t now_ms = clock_now_ms ();

  endpoint_limiter_tick (local->limiter, now_ms);
  pipeline_tick (local->pipeline, now_ms);
  path_monitor_tick (local->monitor, now_ms);
  relay_client_tick (local->relays, path_monitor_lacks_paths (local->monitor),
                     now_ms);
  relay_server_tick (local->relay_server, now_ms);
}

static bool
is_reached_elsewhere (void *data, const char *service)
{
  const struct local_pipeline *local = data;

  return relay_client_has_helper (local->relays, service, clock_now_ms ());
}

static void
handle_broken_path (void *data, struct pool_endpoint *endpoint,
                    int64_t silent_ms)
{
  struct local_pipeline *local = data;

  pipeline_fail_path (local->pipeline, endpoint, silent_ms);
  relay_server_fail_path (local->relay_server, endpoint, silent_ms);
}

/* Tells all hosts of the fleet that LOCAL has joined it.  */
static void
join_fleet (struct local_pipeline *local)
{
  struct local_pipeline *fleet = local->fleet;
  struct host_location locations[LOCAL_MAX_HOSTS];

  fleet->hosts[fleet->host_count++] = local;
  for (uint32_t i = 0; i < fleet->host_count; i++)
    locations[i] = (struct host_location){ .name = fleet->hosts[i]->host,
                                           .data_centre = "a" };
  for (uint32_t i = 0; i < fleet->host_count; i++)
    {
      endpoint_limiter_set_hosts (fleet->hosts[i]->limiter, locations,
                                  fleet->host_count, clock_now_ms ());
      relay_client_set_hosts (fleet->hosts[i]->relays, locations,
                              fleet->host_count);
    }
}

static void
open_transport (struct local_pipeline *local)
{
  struct local_transport *transport = &local->transport;
  struct endpoint_limiter_options limiter = { .host = local->host,
                                              .data_centre = "a",
                                              .pool = local->pool,
                                              .transport = &transport->base };
  struct path_monitor_options monitor
      = { .loop = local->loop,
          .pool = local->pool,
          .handle_broken = handle_broken_path,
          .is_reached_elsewhere = is_reached_elsewhere,
          .data = local };
  struct relay_client_options relays
      = { .host = local->host, .transport = &transport->base };
  struct relay_server_options relay_server = { .transport = &transport->base,
                                               .fetcher = local->fetcher,
                                               .pool = local->pool,
                                               .wire = &platform_wire };

  transport->base.vtable = &transport_vtable;
  transport->local = local;
  ev_timer_init (&transport->delivery, handle_delivery, 0, 0);
  transport->delivery.data = transport;
  ev_timer_init (&transport->tick, handle_tick, TICK_MS / 1000.0,
                 TICK_MS / 1000.0);
  transport->tick.data = transport;
  ev_timer_start (local->loop, &transport->tick);
  local->limiter = endpoint_limiter_create (&limiter);
  local->monitor = path_monitor_create (&monitor);
  local->relays = relay_client_create (&relays);
  relay_server.limiter = local->limiter;
  relay_server.monitor = local->monitor;
  local->relay_server = relay_server_create (&relay_server);
  join_fleet (local);
}

static void
close_transport (struct local_pipeline *local)
{
  struct local_frame *copy;

  ev_timer_stop (local->loop, &local->transport.delivery);
  ev_timer_stop (local->loop, &local->transport.tick);
  while ((copy = g_queue_pop_head (&local->transport.frames)))
    {
      buf_release (&copy->bytes);
      free (copy);
    }
  relay_client_destroy (local->relays);
  relay_server_destroy (local->relay_server);
  path_monitor_destroy (local->monitor);
  endpoint_limiter_destroy (local->limiter);
}

static void
create_endpoints (struct local_pipeline *local,
                  const struct local_pipeline_options *options)
{
  static const char *const names[LOCAL_MAX_ENDPOINTS]
      = { "e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7" };

  local->endpoint_count
      = options->endpoint_count > 0 ? options->endpoint_count : 1;
  for (uint32_t i = 0; i < local->endpoint_count; i++)
    {
      local->endpoints[i]
          = raw_endpoint_create (local->loop, options->answer, options->data);
      local->listed[i].id = names[i];
      local->listed[i].version
          = options->versions ? options->versions[i] : NULL;
    }
}

static void
share_endpoints (struct local_pipeline *local,
                 const struct local_pipeline *owner)
{
  local->endpoint_count = owner->endpoint_count;
  memcpy (local->endpoints, owner->endpoints, sizeof local->endpoints);
  memcpy (local->listed, owner->listed, sizeof local->listed);
}

static struct stream_index *
create_streams (struct local_pipeline *local)
{
  struct stream_index_options options = { .loop = local->loop };

  return stream_index_create (&options);
}

/* Records that the first endpoint began the stream of the attempt "0".  */
static void
record_origin (struct local_pipeline *local)
{
  struct stream_key key = { .content = 1, .attempt = id_hash64 ("0", 1, 0) };

  stream_index_record (local->streams, &key, pool_at (local->pool, 0)->build);
}

/* Creates a pipeline with one route to one service.  */
struct local_pipeline *
local_pipeline_create (const struct local_pipeline_options *options)
{
  struct local_pipeline *local = xcalloc (1, sizeof *local);
  struct limits_options limits
      = { .host = options->host ? options->host : "x", .data_centre = "a" };
  struct pipeline_options pipeline
      = { .wire = &platform_wire, .handle_crash = count_crash, .data = local };

  limits.window_ms = options->window_ms;
  pipeline.conversations = options->conversations;
  pipeline.ledger = options->ledger;
  pipeline.crashes = options->crashes;
  pipeline.admits_programs = true;
  local->host = limits.host;
  local->fleet = options->shared ? options->shared->fleet : local;
  local->loop
      = options->shared ? local->fleet->loop : ev_loop_new (EVFLAG_AUTO);
  limits.loop = pipeline.loop = local->loop;
  pipeline.fetcher = local->fetcher = fetcher_create (local->loop);
  pipeline.pool = local->pool = pool_create ("a");
  pipeline.limits = local->limits = limits_create (&limits);
  open_transport (local);
  pipeline.limiter = local->limiter;
  pipeline.monitor = local->monitor;
  pipeline.relays = local->relays;
  if (options->knows_origin)
    pipeline.streams = local->streams = create_streams (local);
  local->pipeline = pipeline_create (&pipeline);
  if (options->shared)
    share_endpoints (local, options->shared);
  else
    create_endpoints (local, options);
  local->sink = (struct request_sink){ .begin = sink_begin,
                                       .write = sink_write,
                                       .end = sink_end,
                                       .abort = sink_abort,
                                       .refuse = sink_refuse,
                                       .respond = sink_respond };
  pipeline_apply (local->pipeline, local_routing_create (&options->route));
  local_pipeline_list_endpoints (local);
  if (options->knows_origin)
    record_origin (local);
  return local;
}

/* Frees the pipeline, which must have no active request.  */
void
local_pipeline_destroy (struct local_pipeline *local)
{
  pipeline_destroy (local->pipeline);
  stream_index_destroy (local->streams);
  limits_destroy (local->limits);
  close_transport (local);
  pool_destroy (local->pool);
  for (uint32_t i = 0; i < local->endpoint_count && local->fleet == local; i++)
    raw_endpoint_destroy (local->endpoints[i]);
  fetcher_destroy (local->fetcher);
  buf_release (&local->response.body);
  if (local->fleet == local)
    ev_loop_destroy (local->loop);
  free (local);
}

/* Waits until another host offers to send requests for LOCAL.  */
void
local_pipeline_use_helper (struct local_pipeline *local)
{
  int64_t until_ms = clock_now_ms () + HELPER_MS;

  while (!relay_client_has_helper (local->relays, "app", clock_now_ms ()))
    {
      relay_client_tick (local->relays, true, clock_now_ms ());
      CU_ASSERT_TRUE_FATAL (clock_now_ms () < until_ms);
      ev_run (local->loop, EVRUN_ONCE);
    }
}

/* Starts a request, whose target and numbers are set here, and forgets the
   response before it.  */
void
local_pipeline_submit (struct local_pipeline *local,
                       struct request_input *input)
{
  buf_release (&local->response.body);
  local->response = (struct local_response){ 0 };
  local->is_started = true;
  input->method = xstrdup ("GET");
  input->target = xstrdup ("/x");
  input->path = xstrdup ("/x");
  input->host = xstrdup ("h");
  input->deadline_ms = input->token_budget = input->prompt_tokens = -1;
  input->max_output_tokens = -1;
  local->active = request_start (local->pipeline, input, &local->sink);
}

/* Starts a request with the id "1" and forgets the response before it.  Unless
   RESUME_AFTER is negative, it resumes the stream of an attempt "0" after this
   event.  */
void
local_pipeline_start (struct local_pipeline *local, int64_t resume_after)
{
  struct request_input *input = xcalloc (1, sizeof *input);

  input->id = xstrdup ("1");
  input->program = local->program ? xstrdup (local->program) : NULL;
  input->program_deadline_ms = local->program_deadline_ms;
  input->resume_after = resume_after;
  if (resume_after >= 0)
    input->resumed_id = xstrdup ("0");
  local_pipeline_submit (local, input);
}

/* Runs a request to its end.  */
const struct local_response *
local_pipeline_run (struct local_pipeline *local)
{
  return local_pipeline_resume (local, -1);
}

/* Runs a request to its end that resumes a stream after the event
   RESUME_AFTER.  */
const struct local_response *
local_pipeline_resume (struct local_pipeline *local, int64_t resume_after)
{
  local_pipeline_start (local, resume_after);
  if (local->response.outcome == LOCAL_PENDING)
    ev_run (local->loop, 0);
  return &local->response;
}

/* Whether the caller takes the response for a complete success.  */
bool
local_response_is_success (const struct local_response *response)
{
  return (response->outcome == LOCAL_ENDED
          || response->outcome == LOCAL_RESPONDED)
         && response->status >= 200 && response->status < 300;
}
