#include "common/counters.h"
#include "common/id.h"
#include "common/log.h"
#include "galenashored/control_state.h"
#include <stdlib.h>
#include <string.h>

enum
{
  WATCH_WAIT_MS = 20000,
  MIN_BACKOFF_MS = 100,
  MAX_BACKOFF_MS = 2000,
  WATCHERS_PER_DC = 2, /* hosts that watch the platform */
};

static const char *
host_data_centre (const json_t *host)
{
  return json_string_value (
      json_object_get (json_object_get (host, "data"), "data_centre"));
}

/* Called for each other host.  */
typedef void host_visitor (struct control *control, const char *name,
                           const json_t *host, void *data);

static void
for_each_host (struct control *control, host_visitor *visit, void *data)
{
  const char *key;
  json_t *object;

  json_object_foreach (control->objects.by_key, key, object)
  {
    const char *name = json_string_value (json_object_get (object, "name"));

    if (strncmp (key, "host/", strlen ("host/")) == 0
        && !json_is_true (json_object_get (object, "deleted"))
        && strcmp (name, control->settings->host) != 0)
      visit (control, name, object, data);
  }
}

static void
count_lower_hash (struct control *control, const char *name,
                  const json_t *host, void *data)
{
  uint32_t *lower_hashes = data;
  const char *dc = host_data_centre (host);

  if (dc && strcmp (dc, control->settings->data_centre) == 0
      && id_hash_text (name) < id_hash_text (control->settings->host))
    ++*lower_hashes;
}

/* Whether this host watches the platform.  The platform counts watches, so
   only WATCHERS_PER_DC hosts per data centre hold one, those whose names have
   the lowest hashes; they push changes to the others.
 */
static bool
is_watcher (struct control *control)
{
  uint32_t lower_hashes = 0;

  for_each_host (control, count_lower_hash, &lower_hashes);
  return lower_hashes < WATCHERS_PER_DC;
}

/* Requests from HOST the changes that this host does not know.  */
static void
request_config (struct control *control, const char *host)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__ConfigAsk message = PEER__CONFIG_ASK__INIT;

  message.have_revision = control->sync.seen_revision;
  frame.body_case = PEER__FRAME__BODY_CONFIG_ASK;
  frame.config_ask = &message;
  control_send (control, host, &frame);
}

/* Requests the configuration from the seeds: a host that starts during a
   platform outage gets it from another host.  */
static void
request_from_seeds (struct control *control)
{
  const struct strings *seeds = &control->settings->seeds;

  for (size_t i = 0; i < seeds->count && !control->sync.loaded; i++)
    request_config (control, seeds->items[i]);
}

static void
record_platform_failure (struct control *control)
{
  struct sync *sync = &control->sync;

  if (sync->platform_reachable)
    log_write (LOG_WARN, "sync", NULL, "the platform is unreachable");
  sync->platform_reachable = false;
  sync->backoff_ms = sync->backoff_ms ? 2 * sync->backoff_ms : MIN_BACKOFF_MS;
  if (sync->backoff_ms > MAX_BACKOFF_MS)
    sync->backoff_ms = MAX_BACKOFF_MS;
  sync->next_try_ms = clock_now_ms () + sync->backoff_ms;
  request_from_seeds (control);
}

static void
record_platform_success (struct control *control)
{
  struct sync *sync = &control->sync;

  if (!sync->platform_reachable)
    log_write (LOG_INFO, "sync", NULL, "the platform is reachable");
  sync->platform_reachable = true;
  sync->backoff_ms = 0;
  sync->next_try_ms = 0;
}

static void
advance_seen_revision (struct control *control, uint64_t revision)
{
  if (revision > control->sync.seen_revision)
    control->sync.seen_revision = revision;
}

/* Sends HOST the objects that changed after SINCE, and all withdrawn keys.  */
static void
push_config (struct control *control, const char *host, uint64_t since)
{
  json_t *document
      = json_pack ("{s:I, s:o, s:O}", "since", (json_int_t)since, "objects",
                   objects_since (&control->objects, since), "withdrawn",
                   control->objects.withdrawn);
  char *text = json_dumps (document, JSON_COMPACT);
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__ConfigPush message = PEER__CONFIG_PUSH__INIT;

  json_decref (document);
  message.revision = control->sync.seen_revision;
  message.document.data = (uint8_t *)text;
  message.document.len = strlen (text);
  frame.body_case = PEER__FRAME__BODY_CONFIG_PUSH;
  frame.config_push = &message;
  control_send (control, host, &frame);
  free (text);
}

static void
push_to_host (struct control *control, const char *name, const json_t *host,
              void *data)
{
  const char *dc = host_data_centre (host);

  if (dc && strcmp (dc, control->settings->data_centre) == 0)
    push_config (control, name, *(const uint64_t *)data);
}

/* Sends the changes after SINCE to the other hosts of this data centre.  */
static void
push_to_data_centre (struct control *control, uint64_t since)
{
  for_each_host (control, push_to_host, &since);
}

/* Merges a list or a watch reply, which contains every change after
   seen_revision, and pushes the changes to the other hosts.  */
static void
merge_reply (struct control *control, const json_t *response)
{
  uint64_t before = control->sync.seen_revision;
  bool changed = objects_merge (&control->objects,
                                json_object_get (response, "objects"));
  bool first = !control->sync.loaded;

  advance_seen_revision (control, (uint64_t)json_integer_value (
                                      json_object_get (response, "revision")));
  control->sync.loaded = true;
  if (!changed && !first)
    return;
  control_publish (control);
  if (!first)
    push_to_data_centre (control, before);
}

static void
handle_list (void *data, const struct platform_response *response)
{
  struct control *control = data;

  control->sync.list = NULL;
  if (response->status != PLATFORM_OK)
    {
      record_platform_failure (control);
      return;
    }
  control->sync.needs_list = false;
  record_platform_success (control);
  merge_reply (control, response->body);
}

static void
handle_watch (void *data, const struct platform_response *response)
{
  struct control *control = data;

  control->sync.watch = NULL;
  if (response->status != PLATFORM_OK)
    {
      record_platform_failure (control);
      return;
    }
  record_platform_success (control);
  merge_reply (control, response->body);
}

/* Starts the calls that are due: the first or a repeated list, a watch.  */
void
sync_tick (struct control *control, int64_t now_ms)
{
  struct sync *sync = &control->sync;

  if (now_ms < sync->next_try_ms)
    return;
  if ((!sync->loaded || sync->needs_list) && !sync->list)
    sync->list = platform_list (&control->platform, CONFIG_KINDS, handle_list,
                                control);
  if (sync->loaded && !sync->watch && is_watcher (control))
    sync->watch = platform_watch (&control->platform, CONFIG_KINDS,
                                  control->sync.seen_revision, WATCH_WAIT_MS,
                                  handle_watch, control);
}

/* Cancels pending calls.  */
void
sync_release (struct control *control)
{
  if (control->sync.watch)
    fetch_cancel (control->sync.watch);
  if (control->sync.list)
    fetch_cancel (control->sync.list);
  control->sync.watch = NULL;
  control->sync.list = NULL;
}

/* Returns whether a key was withdrawn that was not before.  */
static bool
merge_withdrawn (struct control *control, const json_t *withdrawn)
{
  bool changed = false;
  const char *key_id;
  json_t *value;

  json_object_foreach ((json_t *)(uintptr_t)withdrawn, key_id, value)
  {
    if (objects_withdraw_key (&control->objects, key_id))
      changed = true;
  }
  return changed;
}

static void
handle_push (struct control *control, const char *host,
             const Peer__ConfigPush *message)
{
  json_t *document = json_loadb ((const char *)message->document.data,
                                 message->document.len, 0, NULL);
  uint64_t since
      = (uint64_t)json_integer_value (json_object_get (document, "since"));

  if (!document)
    return;
  if (merge_withdrawn (control, json_object_get (document, "withdrawn")))
    control_publish (control);
  /* A push that starts after the last seen revision leaves a gap: request the
     changes in between.  */
  if (since > control->sync.seen_revision)
    request_config (control, host);
  else
    {
      advance_seen_revision (control, message->revision);
      control->sync.loaded
          = control->sync.loaded
            || json_array_size (json_object_get (document, "objects")) > 0;
      if (objects_merge (&control->objects,
                         json_object_get (document, "objects")))
        control_publish (control);
    }
  json_decref (document);
}

/* REVISION is that of HOST's configuration.  */
static void
request_config_if_newer (struct control *control, const char *host,
                         uint64_t revision)
{
  if (revision > control->objects.revision)
    request_config (control, host);
}

/* Handles a frame from another host about the configuration.  */
void
sync_handle_frame (struct control *control, const char *host,
                   const Peer__Frame *frame)
{
  switch (frame->body_case)
    {
    case PEER__FRAME__BODY_CONFIG_ASK:
      if (control->sync.seen_revision > frame->config_ask->have_revision)
        push_config (control, host, frame->config_ask->have_revision);
      break;
    case PEER__FRAME__BODY_CONFIG_PUSH:
      handle_push (control, host, frame->config_push);
      break;
    case PEER__FRAME__BODY_KEY_WITHDRAW:
      if (objects_withdraw_key (&control->objects,
                                frame->key_withdraw->key_id))
        control_publish (control);
      break;
    case PEER__FRAME__BODY_PING:
      request_config_if_newer (control, host, frame->ping->config_revision);
      break;
    case PEER__FRAME__BODY_PONG:
      request_config_if_newer (control, host, frame->pong->config_revision);
      break;
    default:
      break;
    }
}

static void
send_withdrawal (struct control *control, const char *name, const json_t *host,
                 void *data)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__KeyWithdraw message = PEER__KEY_WITHDRAW__INIT;

  message.key_id = data;
  frame.body_case = PEER__FRAME__BODY_KEY_WITHDRAW;
  frame.key_withdraw = &message;
  control_send (control, name, &frame);
}

/* Withdraws an API key on this host and on every reachable host, without
   waiting for the platform; the caller updates the platform's record
   separately.  */
void
sync_withdraw (struct control *control, const char *key_id)
{
  objects_withdraw_key (&control->objects, key_id);
  control_publish (control);
  for_each_host (control, send_withdrawal, (void *)(uintptr_t)key_id);
}
