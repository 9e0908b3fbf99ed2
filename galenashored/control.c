#include "galenashored/control.h"
#include "common/id.h"
#include "common/log.h"
#include "common/stop_signals.h"
#include "galenashored/control_state.h"
#include "peer/packed_frame.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* How long after its start a shutdown waits for the slots to be released on
     the platform, once traffic has drained. */
  SLOT_RELEASE_LIMIT_MS = 3000,
};

static const double TICK_INTERVAL_S = 0.05;

static void
send_config (struct control *control)
{
  json_t *live = objects_live (&control->objects);
  struct config *config = config_build (live, control->objects.revision);
  struct traffic_message *message = xcalloc (1, sizeof *message);

  json_decref (live);
  registrar_clear_released_slots (control, config);
  for (size_t i = 0; i < json_array_size (config->invalid); i++)
    {
      const json_t *invalid = json_array_get (config->invalid, i);

      log_write (LOG_WARN, "control", NULL, "ignoring invalid %s \"%s\": %s",
                 json_string_value (json_object_get (invalid, "kind")),
                 json_string_value (json_object_get (invalid, "name")),
                 json_string_value (json_object_get (invalid, "reason")));
    }
  message->kind = TRAFFIC_CONFIG;
  message->config = config;
  message->config_revision = control->objects.revision;
  message->sequence = ++control->sequence;
  control->published_revision = control->objects.revision;
  traffic_post (control->traffic, message);
}

static void
handle_publish (void *data)
{
  send_config (data);
}

/* Schedules sending the configuration to the traffic thread at the end of this
   event loop iteration, once for all changes made in it.  */
void
control_publish (struct control *control)
{
  deferred_schedule (&control->publish);
}

/* Sends MESSAGE to the traffic thread.  Returns the random id that the reply
   will carry as its sequence.  */
uint64_t
control_send_request (struct control *control, struct traffic_message *message)
{
  message->sequence = id_random64 ();
  traffic_post (control->traffic, message);
  return message->sequence;
}

/* Sends FRAME to HOST over the traffic thread's peer connections.  */
void
control_send (struct control *control, const char *host,
              const Peer__Frame *frame)
{
  struct traffic_message *message = xcalloc (1, sizeof *message);

  packed_frame_append (&message->frame, frame);
  message->kind = TRAFFIC_SEND;
  message->name = xstrdup (host);
  traffic_post (control->traffic, message);
}

static void
process_frame (struct control *control, const struct control_message *message)
{
  Peer__Frame *frame = packed_frame_unpack (&message->frame);

  if (!frame)
    return;
  sync_handle_frame (control, message->name, frame);
  peer__frame__free_unpacked (frame, NULL);
}

static void
handle_message (void *data, void *pointer)
{
  struct control *control = data;
  struct control_message *message = pointer;

  switch (message->kind)
    {
    case CONTROL_APPLIED:
      control->applied_sequence = message->sequence;
      if (control->applied_sequence == control->sequence)
        control->applied_revision = control->published_revision;
      break;
    case CONTROL_DRAINED:
      control->drained = true;
      break;
    case CONTROL_FRAME:
      process_frame (control, message);
      break;
    case CONTROL_DUMPED:
    case CONTROL_CANCELLED:
      admin_handle_reply (control->admin, message);
      break;
    }
  control_message_destroy (message);
}

/* Starts a graceful shutdown: this host accepts no new work and finishes open
   work.  */
void
control_begin_stop (struct control *control)
{
  struct traffic_message *message;

  if (control->stopping)
    return;
  control->stopping = true;
  control->stop_started_ms = clock_now_ms ();
  log_write (LOG_INFO, "control", NULL, "starting graceful shutdown");
  message = xcalloc (1, sizeof *message);
  message->kind = TRAFFIC_STOP;
  traffic_post (control->traffic, message);
}

static void
handle_stop_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  control_begin_stop (watcher->data);
}

static void
handle_sighup (struct ev_loop *loop, ev_signal *watcher, int events)
{
  log_write (LOG_INFO, "control", NULL,
             "ignoring SIGHUP: certificates are read only at startup");
}

/* Exits the loop once traffic has drained and the slots are released, or
   at the drain limit.  Waits for the slots only for a limited time, and not at
   all while the platform is unreachable.  */
static void
check_shutdown (struct control *control, int64_t now_ms)
{
  int64_t stopping_ms = now_ms - control->stop_started_ms;
  bool slots_released;

  if (!control->stopping)
    return;
  slots_released
      = registrar_holds_no_slots (control) || !control->sync.platform_reachable
        || (control->drained && stopping_ms > SLOT_RELEASE_LIMIT_MS);
  if ((control->drained && slots_released)
      || stopping_ms > control->settings->drain_limit_ms)
    ev_break (control->loop, EVBREAK_ALL);
}

static void
handle_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct control *control = timer->data;
  int64_t now_ms = clock_now_ms ();

  sync_tick (control, now_ms);
  registrar_tick (control, now_ms);
  check_shutdown (control, now_ms);
}

static void
start_signal_watcher (struct control *control, ev_signal *watcher, int number,
                      void (*handle) (struct ev_loop *, ev_signal *, int))
{
  ev_signal_init (watcher, handle, number);
  watcher->data = control;
  ev_signal_start (control->loop, watcher);
}

static void
start_watchers (struct control *control)
{
  start_signal_watcher (control, &control->sigterm, SIGTERM,
                        handle_stop_signal);
  start_signal_watcher (control, &control->sigint, SIGINT, handle_stop_signal);
  start_signal_watcher (control, &control->sighup, SIGHUP, handle_sighup);
  stop_signals_unblock ();
  ev_timer_init (&control->tick, handle_tick, 0, TICK_INTERVAL_S);
  control->tick.data = control;
  ev_timer_start (control->loop, &control->tick);
}

/* Exits the loop whether or not the platform deleted the host object.  */
static void
handle_host_deleted (void *data, const struct platform_response *answer)
{
  ev_break (((struct control *)data)->loop, EVBREAK_ALL);
}

/* Deletes this host's object, so that other hosts do not wait for it.  */
static void
delete_own_host (struct control *control)
{
  const json_t *host
      = objects_find (&control->objects, "host", control->settings->host);

  if (!host || !control->sync.platform_reachable)
    return;
  ev_timer_stop (control->loop, &control->tick);
  platform_delete (&control->platform, "host", control->settings->host,
                   objects_version (host), handle_host_deleted, control);
  ev_run (control->loop, 0);
}

static void
stop_traffic (struct control *control)
{
  struct traffic_message *message = xcalloc (1, sizeof *message);

  message->kind = TRAFFIC_QUIT;
  traffic_post (control->traffic, message);
  traffic_join (control->traffic);
}

static bool
create_components (struct control *control, struct error *error)
{
  control->fetcher = fetcher_create (control->loop);
  platform_init (&control->platform, control->fetcher,
                 control->settings->platform_url);
  objects_init (&control->objects);
  deferred_init (&control->publish, control->loop, handle_publish, control);
  control->inbox = mailbox_create (control->loop, handle_message, control);
  control->admin = admin_create (control, error);
  if (!control->admin)
    return false;
  control->traffic = traffic_create (control->settings, control->process,
                                     control->inbox, error);
  return control->traffic && traffic_start (control->traffic, error);
}

static void
drop_message (void *data, void *message)
{
  control_message_destroy (message);
}

static void
destroy_components (struct control *control)
{
  sync_release (control);
  registrar_release (control);
  admin_destroy (control->admin);
  fetcher_destroy (control->fetcher);
  if (control->traffic)
    traffic_destroy (control->traffic);
  mailbox_drain (control->inbox, drop_message, NULL);
  mailbox_destroy (control->inbox);
  deferred_cancel (&control->publish);
  platform_release (&control->platform);
  objects_release (&control->objects);
}

/* Runs the daemon with SETTINGS.  Returns its exit status: 0 after a graceful
   shutdown, 2 if a resource named in the settings cannot be used.  */
int
control_run (struct settings *settings)
{
  struct control control = { .settings = settings };
  struct error error;
  int status = EXIT_SUCCESS;

  control.loop = ev_default_loop (EVFLAG_AUTO);
  control.process = id_random64 ();
  control.started_ms = clock_now_ms ();
  if (!create_components (&control, &error))
    {
      fprintf (stderr, "galenashored: %s\n", error.message);
      destroy_components (&control);
      return 2;
    }
  start_watchers (&control);
  log_write (LOG_INFO, "control", NULL, "started, listening for callers on %s",
             settings->caller_listen);
  ev_run (control.loop, 0);
  delete_own_host (&control);
  stop_traffic (&control);
  log_write (LOG_INFO, "control", NULL, "stopped");
  destroy_components (&control);
  return status;
}
