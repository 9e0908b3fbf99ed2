#include "galenashored/traffic.h"
#include "caller/listener.h"
#include "common/address.h"
#include "common/counters.h"
#include "common/id.h"
#include "common/log.h"
#include "common/loop_thread.h"
#include "endpoint/dispatcher.h"
#include "endpoint/holds.h"
#include "peer/forward.h"
#include "peer/limiter.h"
#include "peer/packed_frame.h"
#include "program/handover.h"
#include "program/idempotency.h"
#include "program/program.h"
#include "program/replication.h"
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HANDOVER_LIMIT_MS
  = 2000, /* then the shutdown is announced even if not complete */
  DRAIN_IDLE_MS = 300, /* idle time before the thread counts as drained */
};

static const double TICK_INTERVAL_S = 0.01;

struct traffic
{
  struct server server;
  struct listener *listener;
  struct loop_thread thread;
  bool drained;
  bool shutdown_announced;
  int64_t idle_since_ms;
  int64_t last_slow_tick_ms;
};

static void
notify_control (struct traffic *traffic, struct control_message *message)
{
  mailbox_post_blocking (traffic->server.control, message);
}

static struct control_message *
create_message (enum control_kind kind, uint64_t sequence)
{
  struct control_message *message = xcalloc (1, sizeof *message);

  message->kind = kind;
  message->sequence = sequence;
  return message;
}

static void
set_mesh_hosts (struct server *server)
{
  const struct config *config = server->config;
  struct mesh_host *hosts = xcalloc (config->host_count + 1, sizeof *hosts);

  for (size_t i = 0; i < config->host_count; i++)
    hosts[i] = (struct mesh_host){ .name = config->hosts[i].name,
                                   .address = config->hosts[i].peer_address };
  mesh_set_hosts (server->mesh, hosts, config->host_count);
  free (hosts);
}

static void
apply_config (struct traffic *traffic, struct traffic_message *message)
{
  struct server *server = &traffic->server;
  struct config *old = server->config;

  server->config = message->config;
  message->config = NULL;
  server_update_candidates (server);
  set_mesh_hosts (server);
  mesh_set_status (server->mesh, message->config_revision,
                   traffic->shutdown_announced);
  dispatcher_apply (server->dispatcher, server->config);
  limiter_apply (server->limiter);
  replication_handle_hosts (server->replication);
  server->serving = true;
  listener_resume_requests (traffic->listener);
  listener_enforce_key_withdrawal (traffic->listener);
  config_destroy (old);
  notify_control (traffic,
                  create_message (CONTROL_APPLIED, message->sequence));
}

static json_t *
state_to_json (struct traffic *traffic, bool with_programs)
{
  struct server *server = &traffic->server;

  return json_pack ("{s:o, s:o, s:o, s:o, s:o, s:o, s:o, s:o, s:b}", "callers",
                    listener_to_json (traffic->listener), "hosts",
                    mesh_to_json (server->mesh), "dispatcher",
                    dispatcher_to_json (server->dispatcher, clock_now_ms ()),
                    "limits", limiter_to_json (server->limiter), "holds",
                    holds_to_json (server->holds), "programs",
                    programs_to_json (server->programs, with_programs),
                    "journal", journal_to_json (server->journal), "store",
                    server->store ? store_to_json (server->store)
                                  : json_null (),
                    "stopping", server->stopping);
}

static void
reply_with_state (struct traffic *traffic,
                  const struct traffic_message *request)
{
  struct control_message *reply
      = create_message (CONTROL_DUMPED, request->sequence);
  json_t *state = state_to_json (traffic, request->with_programs);

  reply->text = json_dumps (state, JSON_COMPACT);
  json_decref (state);
  notify_control (traffic, reply);
}

static void
cancel_program (struct traffic *traffic, const struct traffic_message *request)
{
  struct control_message *reply
      = create_message (CONTROL_CANCELLED, request->sequence);
  struct program *program
      = program_find (traffic->server.programs, request->name);

  reply->found = program != NULL;
  if (program)
    program_close (program, "ended by an operator");
  notify_control (traffic, reply);
}

static void
send_packed_frame (struct server *server,
                   const struct traffic_message *message)
{
  Peer__Frame *frame = packed_frame_unpack (&message->frame);

  if (!frame)
    return;
  mesh_send (server->mesh, message->name, frame);
  peer__frame__free_unpacked (frame, NULL);
}

/* Pings every host: a ping carries the leaving status (mesh_set_status), so
   that the hosts stop sending programs here.  */
static void
announce_leaving (struct server *server)
{
  for (size_t i = 0; i < server->config->host_count; i++)
    if (!server_is_self (server, &server->config->hosts[i]))
      mesh_ping (server->mesh, server->config->hosts[i].name);
}

static void
begin_stop (struct traffic *traffic)
{
  struct server *server = &traffic->server;

  if (server->stopping)
    return;
  server->stopping = true;
  server->stop_started_ms = clock_now_ms ();
  traffic->idle_since_ms = server->stop_started_ms;
  mesh_set_status (server->mesh, server->config ? server->config->revision : 0,
                   true);
  if (server->config)
    announce_leaving (server);
  listener_begin_destroy (traffic->listener);
  log_write (LOG_INFO, "traffic", NULL,
             "stopping: accepting no new connections");
}

static void
handle_message (void *data, void *pointer)
{
  struct traffic *traffic = data;
  struct traffic_message *message = pointer;

  switch (message->kind)
    {
    case TRAFFIC_CONFIG:
      apply_config (traffic, message);
      break;
    case TRAFFIC_STOP:
      begin_stop (traffic);
      break;
    case TRAFFIC_QUIT:
      ev_break (traffic->server.loop, EVBREAK_ALL);
      break;
    case TRAFFIC_DUMP:
      reply_with_state (traffic, message);
      break;
    case TRAFFIC_CANCEL:
      cancel_program (traffic, message);
      break;
    case TRAFFIC_BLOCK:
      mesh_block (traffic->server.mesh, message->name, message->blocked);
      break;
    case TRAFFIC_SEND:
      send_packed_frame (&traffic->server, message);
      break;
    }
  traffic_message_destroy (message);
}

static void
forward_to_control (struct traffic *traffic, const char *host,
                    const Peer__Frame *frame)
{
  struct control_message *message = create_message (CONTROL_FRAME, 0);

  packed_frame_append (&message->frame, frame);
  message->name = xstrdup (host);
  notify_control (traffic, message);
}

static void
handle_frame (void *data, const char *host, const Peer__Frame *frame)
{
  struct traffic *traffic = data;
  struct server *server = &traffic->server;

  switch (frame->body_case)
    {
    case PEER__FRAME__BODY_CONFIG_ASK:
    case PEER__FRAME__BODY_CONFIG_PUSH:
    case PEER__FRAME__BODY_KEY_WITHDRAW:
      forward_to_control (traffic, host, frame);
      return;
    case PEER__FRAME__BODY_PING:
      if (!server->config
          || frame->ping->config_revision != server->config->revision)
        forward_to_control (traffic, host, frame);
      return;
    case PEER__FRAME__BODY_PONG:
      if (!server->config
          || frame->pong->config_revision != server->config->revision)
        forward_to_control (traffic, host, frame);
      return;
    default:
      break;
    }
  if (!server->config)
    return;
  if (frame->body_case == PEER__FRAME__BODY_CRASH_NOTICE)
    dispatcher_record_remote_crash (
        server->dispatcher, frame->crash_notice->endpoint,
        frame->crash_notice->fingerprint, frame->crash_notice->crashes);
  forwarder_handle_frame (server->forwarder, host, frame);
  limiter_handle_frame (server->limiter, host, frame);
  replication_handle_frame (server->replication, host, frame);
  if (frame->body_case == PEER__FRAME__BODY_PROGRAM_HANDOVER)
    handover_receive (server->programs, frame->program_handover);
}

static void
handle_down (void *data, const char *host)
{
  struct server *server = &((struct traffic *)data)->server;

  if (!server->config)
    return;
  replication_handle_host_down (server->replication, host);
  forwarder_handle_down (server->forwarder, host);
}

static void
handle_moved (void *data, const char *program)
{
  programs_handle_moved (((struct traffic *)data)->server.programs, program);
}

static bool
is_drained (const struct traffic *traffic)
{
  const struct server *server = &traffic->server;

  return listener_is_idle (traffic->listener)
         && forwarder_is_idle (server->forwarder)
         && programs_are_idle (server->programs)
         && idempotency_is_idle (server->idempotency);
}

/* During a shutdown, announces it again after the programs are handed over,
   and reports to control once no work has been open for DRAIN_IDLE_MS and no
   connection is left on which a request could still come.  Until then a new
   configuration clears the leaving status that begin_stop set, so that other
   hosts find each program on the host where they look for it.  */
static void
check_drain (struct traffic *traffic, int64_t now_ms)
{
  struct server *server = &traffic->server;

  if (!server->stopping || traffic->drained)
    return;
  if (!traffic->shutdown_announced
      && (handover_is_complete (server->programs)
          || now_ms - server->stop_started_ms > HANDOVER_LIMIT_MS))
    {
      traffic->shutdown_announced = true;
      mesh_set_status (server->mesh, server->config->revision, true);
      announce_leaving (server);
    }
  if (!is_drained (traffic))
    {
      traffic->idle_since_ms = now_ms;
      return;
    }
  if (now_ms - traffic->idle_since_ms < DRAIN_IDLE_MS
      || !listener_close_idle (traffic->listener, now_ms))
    return;
  traffic->drained = true;
  notify_control (traffic, create_message (CONTROL_DRAINED, 0));
}

static void
handle_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct traffic *traffic = timer->data;
  struct server *server = &traffic->server;
  int64_t now_ms = clock_now_ms ();

  if (!server->config)
    {
      listener_tick (traffic->listener, now_ms);
      return;
    }
  limiter_tick (server->limiter, now_ms);
  if (server->stopping)
    handover_start_all (server->programs);
  handover_resume_requests (server->programs);
  replication_tick (server->replication, now_ms);
  dispatcher_tick (server->dispatcher, now_ms);
  if (now_ms - traffic->last_slow_tick_ms >= 1000)
    {
      traffic->last_slow_tick_ms = now_ms;
      programs_close_idle (server->programs, now_ms);
      handover_tick (server->programs, now_ms);
      holds_tick (server->holds, now_ms);
    }
  check_drain (traffic, now_ms);
}

static struct mesh *
open_mesh (struct traffic *traffic, struct error *error)
{
  struct server *server = &traffic->server;
  char ip[INET_ADDRSTRLEN];
  uint16_t port;
  struct mesh_options options = { .loop = server->loop,
                                  .host = server->settings->host,
                                  .data_centre = server->settings->data_centre,
                                  .process = server->process,
                                  .listen_address = ip,
                                  .keyring = &server->settings->keyring,
                                  .handle_frame = handle_frame,
                                  .handle_down = handle_down,
                                  .data = traffic };

  address_split (server->settings->peer_listen, ip, &port);
  options.listen_port = port;
  return mesh_create (&options, error);
}

static bool
open_store (struct server *server, struct error *error)
{
  struct store_options options
      = { .loop = server->loop, .directory = server->settings->data_dir };

  if (!server->settings->data_dir)
    return true;
  server->store = store_create (&options, error);
  return server->store != NULL;
}

static void
create_components (struct traffic *traffic)
{
  struct server *server = &traffic->server;
  struct journal_options journal
      = { .loop = server->loop,
          .platform = &server->platform,
          .process = server->process,
          .batch_delay_ms = server->settings->journal_window_ms,
          .handle_moved = handle_moved,
          .data = traffic };

  server->fetcher = fetcher_create (server->loop);
  platform_init (&server->platform, server->fetcher,
                 server->settings->platform_url);
  server->journal = journal_create (&journal);
  server->replication = replication_create (server);
  server->dispatcher = dispatcher_create (server);
  server->holds = holds_create (server);
  server->forwarder = forwarder_create (server);
  server->limiter = limiter_create (server);
  server->programs = programs_create (server);
  server->idempotency = idempotency_create (server);
  server->inbox = mailbox_create (server->loop, handle_message, traffic);
  ev_timer_init (&server->tick, handle_tick, TICK_INTERVAL_S, TICK_INTERVAL_S);
  server->tick.data = traffic;
  ev_timer_start (server->loop, &server->tick);
}

/* Connects to the seeds until a configuration is received.  Their names are
   not known yet, so their addresses serve as names.  */
static void
set_mesh_seeds (struct server *server)
{
  const struct strings *seeds = &server->settings->seeds;
  struct mesh_host *hosts = xcalloc (seeds->count + 1, sizeof *hosts);

  for (size_t i = 0; i < seeds->count; i++)
    hosts[i] = (struct mesh_host){ .name = seeds->items[i],
                                   .address = seeds->items[i] };
  mesh_set_hosts (server->mesh, hosts, seeds->count);
  free (hosts);
}

/* Opens the listeners and the store.  The thread does not run until
   traffic_start.  Returns NULL and sets ERROR on failure.  */
struct traffic *
traffic_create (const struct settings *settings, uint64_t process,
                struct mailbox *control, struct error *error)
{
  struct traffic *traffic = xcalloc (1, sizeof *traffic);
  struct server *server = &traffic->server;

  server->settings = settings;
  server->process = process;
  server->control = control;
  server->dc_hash = id_hash_text (settings->data_centre);
  server->loop = ev_loop_new (EVFLAG_AUTO);
  create_components (traffic);
  server->mesh = open_mesh (traffic, error);
  if (server->mesh)
    set_mesh_seeds (server);
  if (server->mesh && open_store (server, error))
    traffic->listener = listener_create (server, error);
  if (traffic->listener)
    return traffic;
  traffic_destroy (traffic);
  return NULL;
}

/* Starts the thread.  Returns false and sets ERROR on failure.  */
bool
traffic_start (struct traffic *traffic, struct error *error)
{
  return loop_thread_start (&traffic->thread, traffic->server.loop, "traffic",
                            error);
}

/* Sends MESSAGE to the thread, which frees it.  */
void
traffic_post (struct traffic *traffic, struct traffic_message *message)
{
  mailbox_post_blocking (traffic->server.inbox, message);
}

/* Waits for the thread to exit; post TRAFFIC_QUIT before.  */
void
traffic_join (struct traffic *traffic)
{
  loop_thread_join (&traffic->thread);
}

static void
drop_message (void *data, void *message)
{
  traffic_message_destroy (message);
}

/* Frees everything; the thread must not be running.  */
void
traffic_destroy (struct traffic *traffic)
{
  struct server *server = &traffic->server;

  listener_destroy (traffic->listener);
  programs_destroy (server->programs);
  forwarder_destroy (server->forwarder);
  limiter_destroy (server->limiter);
  store_destroy (server->store);
  replication_destroy (server->replication);
  fetcher_destroy (server->fetcher);
  idempotency_destroy (server->idempotency);
  journal_destroy (server->journal);
  holds_destroy (server->holds);
  dispatcher_destroy (server->dispatcher);
  mesh_destroy (server->mesh);
  platform_release (&server->platform);
  mailbox_drain (server->inbox, drop_message, NULL);
  mailbox_destroy (server->inbox);
  ev_timer_stop (server->loop, &server->tick);
  config_destroy (server->config);
  free (server->candidates);
  ev_loop_destroy (server->loop);
  free (traffic);
}
