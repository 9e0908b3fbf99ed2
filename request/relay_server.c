#include "request/relay_server.h"
#include "common/counters.h"
#include "common/id.h"
#include "common/log.h"
#include "common/memory.h"
#include "common/request_head.h"
#include "policy/failure_detector.h"
#include "request/observation.h"
#include "request/relay.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_RELAYS = 256,
  /* What a relay takes beside the body of its request: itself, its headers,
     and its transfer from the endpoint. */
  RELAY_BYTES = 24 * 1024,
  /* A loop that comes round this late several times in a row has too much to
     do for its own callers, and takes no more work of others for a while. */
  LATE_TICK_MS = 150,
  MAX_LATE_TICKS = 3,
  BUSY_MS = 300,
  MAX_SERVICES = 64,        /* per offer */
  ORIGIN_TIMEOUT_MS = 1000, /* silence of a host for which requests run */
  CONNECT_TIMEOUT_MS = 250, /* as for own requests */
  MAX_BODY_BYTES = 8 * 1024 * 1024,
};

/* A host for which requests run. */
struct relay_origin
{
  char *name;
  uint32_t relays;
  struct failure_detector detector;
};

/* A request of another host. */
struct served_relay
{
  struct relay_server *server;
  struct relay_origin *origin;
  uint64_t id; /* given by the origin */
  uint64_t fingerprint;
  char *request_id;      /* that responses name; empty if they name none */
  int64_t charged_bytes; /* to the callers' account */
  struct pool_endpoint *endpoint;
  struct fetch *fetch;
  int64_t sent_ms;
  bool may_run_again;
  bool has_status; /* the head has been looked at */
  uint32_t sequence;
  struct response_head head; /* only for what it tells about the endpoint */
  GPtrArray *names;          /* of headers that have not been sent yet */
  GPtrArray *values;
  GList link;
};

struct relay_server
{
  struct relay_server_options options;
  GQueue relays;       /* struct served_relay */
  GHashTable *origins; /* name -> struct relay_origin */
  int64_t ticked_ms;
  uint32_t late_ticks; /* in a row */
  int64_t busy_until_ms;
  bool is_closed;
};

static void
origin_destroy (gpointer data)
{
  struct relay_origin *origin = data;

  free (origin->name);
  free (origin);
}

/* Creates a server that serves all hosts.  */
struct relay_server *
relay_server_create (const struct relay_server_options *options)
{
  struct relay_server *server = xcalloc (1, sizeof *server);

  server->options = *options;
  g_queue_init (&server->relays);
  server->origins
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, origin_destroy);
  return server;
}

static struct relay_origin *
acquire_origin (struct relay_server *server, const char *host, int64_t now_ms)
{
  struct relay_origin *origin = g_hash_table_lookup (server->origins, host);

  if (!origin)
    {
      origin = xcalloc (1, sizeof *origin);
      origin->name = xstrdup (host);
      failure_detector_init (&origin->detector, now_ms);
      origin->detector.timeout_ms = ORIGIN_TIMEOUT_MS;
      g_hash_table_insert (server->origins, origin->name, origin);
    }
  origin->relays++;
  return origin;
}

static void
release_origin (struct relay_server *server, struct relay_origin *origin)
{
  if (--origin->relays == 0)
    g_hash_table_remove (server->origins, origin->name);
}

/* Frees RELAY and aborts its transfer.  */
static void
relay_destroy (struct served_relay *relay)
{
  struct relay_server *server = relay->server;

  if (relay->fetch)
    fetch_cancel (relay->fetch);
  memory_add (MEMORY_CALLERS, -relay->charged_bytes);
  pool_end_direct (relay->endpoint);
  pool_release (server->options.pool, relay->endpoint);
  release_origin (server, relay->origin);
  response_head_release (&relay->head);
  free (relay->request_id);
  g_ptr_array_free (relay->names, TRUE);
  g_ptr_array_free (relay->values, TRUE);
  g_queue_unlink (&server->relays, &relay->link);
  free (relay);
}

/* Frees the server and aborts all transfers.  */
void
relay_server_destroy (struct relay_server *server)
{
  GList *link;

  if (!server)
    return;
  while ((link = g_queue_peek_head_link (&server->relays)))
    relay_destroy (link->data);
  g_hash_table_destroy (server->origins);
  free (server);
}

static void
send_frame (const struct relay_server *server, const char *host,
            const Peer__Frame *frame)
{
  server->options.transport->vtable->send (server->options.transport, host,
                                           frame);
}

static void
send_done (const struct relay_server *server, const char *host,
           Peer__RelayDone *done)
{
  Peer__Frame frame = PEER__FRAME__INIT;

  frame.body_case = PEER__FRAME__BODY_RELAY_DONE;
  frame.relay_done = done;
  send_frame (server, host, &frame);
}

static void
send_refusal (const struct relay_server *server, const char *host, uint64_t id,
              enum relay_refusal refusal)
{
  Peer__RelayDone done = PEER__RELAY_DONE__INIT;

  counter_add (COUNTER_RELAYS_REFUSED, 1);
  done.id = id;
  done.refusal = (uint32_t)refusal;
  done.reason = (char *)(uintptr_t)relay_refusal_name (refusal);
  send_done (server, host, &done);
}

static struct served_relay *
find_relay (const struct relay_server *server, const char *host, uint64_t id)
{
  for (GList *at = server->relays.head; at; at = at->next)
    {
      struct served_relay *relay = at->data;

      if (relay->id == id && strcmp (relay->origin->name, host) == 0)
        return relay;
    }
  return NULL;
}

static bool
is_busy (const struct relay_server *server, int64_t now_ms)
{
  return server->relays.length >= MAX_RELAYS || now_ms < server->busy_until_ms
         || memory_state () != MEMORY_ENOUGH;
}

/* Tells HOST which services this one reaches and how many more requests it
   would send.  */
static void
send_offer (struct relay_server *server, const char *host, int64_t now_ms)
{
  const struct relay_server_options *options = &server->options;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__RelayOffer offer = PEER__RELAY_OFFER__INIT;
  uint64_t services[MAX_SERVICES];

  path_monitor_verify (options->monitor, now_ms);
  offer.services = services;
  for (size_t i = 0;
       i < pool_count (options->pool) && offer.n_services < MAX_SERVICES; i++)
    {
      const struct pool_endpoint *endpoint = pool_at (options->pool, i);
      uint64_t service = id_hash_text (endpoint->service);
      bool is_listed = false;

      if (!path_monitor_is_verified (options->monitor, endpoint, now_ms))
        continue;
      for (size_t k = 0; k < offer.n_services; k++)
        is_listed = is_listed || services[k] == service;
      if (!is_listed)
        services[offer.n_services++] = service;
    }
  if (!server->is_closed && !is_busy (server, now_ms))
    offer.room = MAX_RELAYS - server->relays.length;
  frame.body_case = PEER__FRAME__BODY_RELAY_OFFER;
  frame.relay_offer = &offer;
  send_frame (server, host, &frame);
}

/* Tells HOST of relays that it waits for and this host does not know: their
   ends were lost.  */
static void
report_unknown (const struct relay_server *server, const char *host,
                const Peer__RelayAsk *ask)
{
  for (size_t i = 0; i < ask->n_silent; i++)
    {
      Peer__RelayDone done = PEER__RELAY_DONE__INIT;

      if (find_relay (server, host, ask->silent[i]))
        continue;
      done.id = ask->silent[i];
      done.is_sent = true;
      done.reason = (char *)(uintptr_t) "the helping host has lost it";
      send_done (server, host, &done);
    }
}

static struct observation
make_observation (const struct served_relay *relay, long status)
{
  const struct relay_server_options *options = &relay->server->options;

  return (struct observation){ .pool = options->pool,
                               .limiter = options->limiter,
                               .endpoint = relay->endpoint,
                               .head = &relay->head,
                               .sent_ms = relay->sent_ms,
                               .status = status };
}

static void
handle_header (void *data, const char *name, const char *value)
{
  struct served_relay *relay = data;
  struct observation observation
      = make_observation (relay, fetch_status (relay->fetch));

  g_ptr_array_add (relay->names, xstrdup (name));
  g_ptr_array_add (relay->values, xstrdup (value));
  relay->server->options.wire->read_header (&relay->head, name, value);
  observation_record_header (&observation);
}

/* Looks at the head once it is complete.  */
static void
observe_head (struct served_relay *relay, long status)
{
  struct observation observation = make_observation (relay, status);

  relay->endpoint->last_heard_ms = clock_now_ms ();
  if (relay->has_status)
    return;
  relay->has_status = true;
  observation_record_load (&observation);
  observation_record_head_end (&observation);
}

/* Stops a response to another request: its connection must not be used again,
   as the response to this request follows there.  */
static bool
handle_head (void *data)
{
  struct served_relay *relay = data;
  const char *id = relay->head.request_id;

  observe_head (relay, fetch_status (relay->fetch));
  if (!*relay->request_id)
    return true;
  return id ? strcmp (id, relay->request_id) == 0
            : fetch_has_opened_connection (relay->fetch);
}

static void
forget_headers (struct served_relay *relay)
{
  g_ptr_array_set_size (relay->names, 0);
  g_ptr_array_set_size (relay->values, 0);
}

static bool
handle_data (void *data, const char *bytes, size_t len)
{
  struct served_relay *relay = data;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__RelayData part = PEER__RELAY_DATA__INIT;
  long status = fetch_status (relay->fetch);

  observe_head (relay, status);
  part.id = relay->id;
  part.sequence = relay->sequence++;
  part.status = (uint32_t)status;
  part.is_first_response = fetch_has_opened_connection (relay->fetch);
  part.n_names = relay->names->len;
  part.names = (char **)relay->names->pdata;
  part.n_values = relay->values->len;
  part.values = (char **)relay->values->pdata;
  part.bytes.data = (uint8_t *)(uintptr_t)bytes;
  part.bytes.len = len;
  frame.body_case = PEER__FRAME__BODY_RELAY_DATA;
  frame.relay_data = &part;
  send_frame (relay->server, relay->origin->name, &frame);
  forget_headers (relay);
  return true;
}

static void
record_result (struct served_relay *relay, const struct fetch_result *result,
               int64_t now_ms)
{
  struct path_monitor *monitor = relay->server->options.monitor;

  path_monitor_record_result (monitor, relay->endpoint, result, now_ms);
  if (result->status > 0 && result->complete)
    observe_head (relay, result->status);
  if (result->complete)
    pool_record_success (relay->endpoint);
  else
    pool_record_failure (relay->endpoint, now_ms);
  if (result->sent && !result->complete && !result->resend_refused
      && !result->aborted)
    pool_record_interrupted (relay->endpoint, relay->fingerprint, now_ms);
  if (result->connection_refused)
    pool_record_connection_refused (relay->endpoint, now_ms);
}

static void
handle_done (void *data, const struct fetch_result *result)
{
  struct served_relay *relay = data;
  Peer__RelayDone done = PEER__RELAY_DONE__INIT;

  relay->fetch = NULL;
  record_result (relay, result, clock_now_ms ());
  done.id = relay->id;
  done.sequence = relay->sequence;
  done.refusal = (uint32_t)(result->sent ? RELAY_NOT_REFUSED : RELAY_NO_PATH);
  done.status = (uint32_t)result->status;
  done.framing = (uint32_t)result->framing;
  done.is_complete = result->complete;
  done.is_sent = result->sent;
  done.is_aborted = result->aborted;
  done.is_resend_refused = result->resend_refused;
  done.reason = (char *)(uintptr_t)result->reason;
  done.is_first_response = result->connection_opened;
  done.n_names = relay->names->len;
  done.names = (char **)relay->names->pdata;
  done.n_values = relay->values->len;
  done.values = (char **)relay->values->pdata;
  done.body.data = (uint8_t *)result->body->data;
  done.body.len = result->body->len;
  send_done (relay->server, relay->origin->name, &done);
  relay_destroy (relay);
}

static int64_t
relay_bytes (const Peer__RelaySend *send)
{
  return RELAY_BYTES + (int64_t)send->body.len;
}

/* Whether the headers can be read in one way only: a host of a build before
   passes on what its caller sent.  */
static bool
has_sound_headers (const Peer__RelaySend *send)
{
  for (size_t i = 0; i < send->n_headers; i++)
    if (!request_head_is_field (send->headers[i]))
      return false;
  return true;
}

/* Returns why a request is not sent, or RELAY_NOT_REFUSED.  */
static enum relay_refusal
check (const struct relay_server *server, const Peer__RelaySend *send,
       const struct pool_endpoint *endpoint, int64_t now_ms)
{
  if (server->is_closed)
    return RELAY_STOPPING;
  if (is_busy (server, now_ms))
    return RELAY_BUSY;
  if (!endpoint)
    return RELAY_UNKNOWN_ENDPOINT;
  if (endpoint->leaving || endpoint->is_evacuated)
    return RELAY_LEAVING;
  if (pool_lacks_path (endpoint, now_ms))
    return RELAY_NO_PATH;
  if (endpoint->limit_milli >= 0 && !send->has_permit)
    return RELAY_NO_PERMIT;
  if (!*send->method || !*send->target || send->timeout_ms == 0
      || !has_sound_headers (send))
    return RELAY_MALFORMED;
  return RELAY_NOT_REFUSED;
}

static void
start_relay (struct relay_server *server, const char *host,
             const Peer__RelaySend *send, struct pool_endpoint *endpoint,
             int64_t now_ms)
{
  struct served_relay *relay = xcalloc (1, sizeof *relay);
  struct pool_query query = { .service = endpoint->service };
  char *url = xasprintf ("http://%s/", endpoint->address);
  const char **headers = xcalloc (send->n_headers + 1, sizeof *headers);
  struct fetch_options options
      = { .method = send->method,
          .url = url,
          .target = send->target,
          .headers = headers,
          .exact_headers = true,
          .body = send->body.len > 0 ? (const char *)send->body.data : NULL,
          .body_len = send->body.len,
          .connect_timeout_ms = CONNECT_TIMEOUT_MS,
          .timeout_ms = send->timeout_ms,
          .max_body_bytes = MAX_BODY_BYTES,
          .single_attempt = send->is_single_attempt,
          .new_connection = send->needs_new_connection,
          .refuses_resend = endpoint->limit_milli >= 0,
          .max_idle_ms = send->max_idle_ms,
          .handle_header = handle_header,
          .handle_head = handle_head,
          .handle_data = send->is_streamed ? handle_data : NULL,
          .handle_done = handle_done,
          .data = relay };

  if (send->n_headers > 0)
    memcpy (headers, send->headers, send->n_headers * sizeof *headers);
  relay->server = server;
  relay->origin = acquire_origin (server, host, now_ms);
  relay->id = send->id;
  relay->fingerprint = send->fingerprint;
  relay->request_id = xstrdup (send->request_id);
  relay->endpoint = endpoint;
  relay->sent_ms = now_ms;
  relay->charged_bytes = relay_bytes (send);
  relay->may_run_again = !send->is_single_attempt || send->is_streamed;
  response_head_init (&relay->head);
  relay->names = g_ptr_array_new_with_free_func (free);
  relay->values = g_ptr_array_new_with_free_func (free);
  relay->link.data = relay;
  g_queue_push_tail_link (&server->relays, &relay->link);
  pool_acquire (endpoint, &query, now_ms);
  pool_begin_direct (endpoint, now_ms);
  if (endpoint->limit_milli >= 0)
    counter_add (COUNTER_LIMITED_SENDS, 1);
  if (endpoint->is_cold)
    counter_add (COUNTER_COLD_SENDS, 1);
  counter_add (COUNTER_RELAYS_SERVED, 1);
  relay->fetch = fetch_start (server->options.fetcher, &options);
  free (headers);
  free (url);
}

static void
handle_send (struct relay_server *server, const char *host,
             const Peer__RelaySend *send, int64_t now_ms)
{
  struct pool_endpoint *endpoint
      = pool_find_start (server->options.pool, send->endpoint);
  enum relay_refusal refusal = check (server, send, endpoint, now_ms);

  if (refusal == RELAY_NOT_REFUSED
      && !memory_take (MEMORY_CALLERS, relay_bytes (send)))
    refusal = RELAY_BUSY;
  if (refusal == RELAY_NOT_REFUSED)
    start_relay (server, host, send, endpoint, now_ms);
  else
    send_refusal (server, host, send->id, refusal);
}

/* Handles requests of other hosts, and ignores other frames.  */
void
relay_server_handle_frame (struct relay_server *server, const char *host,
                           const Peer__Frame *frame, int64_t now_ms)
{
  struct served_relay *relay;

  switch (frame->body_case)
    {
    case PEER__FRAME__BODY_RELAY_ASK:
      report_unknown (server, host, frame->relay_ask);
      send_offer (server, host, now_ms);
      break;
    case PEER__FRAME__BODY_RELAY_SEND:
      handle_send (server, host, frame->relay_send, now_ms);
      break;
    case PEER__FRAME__BODY_RELAY_CANCEL:
      relay = find_relay (server, host, frame->relay_cancel->id);
      if (relay)
        relay_destroy (relay);
      break;
    default:
      break;
    }
}

/* Cancels all requests of HOST: its callers have left, or its frames may be
   lost.  */
void
relay_server_handle_down (struct relay_server *server, const char *host)
{
  GList *next;

  for (GList *at = server->relays.head; at; at = next)
    {
      struct served_relay *relay = at->data;

      next = at->next;
      if (strcmp (relay->origin->name, host) == 0)
        relay_destroy (relay);
    }
}

/* Ends requests that have waited for SILENT_MS for ENDPOINT, to which this
   host has no path any more, as far as they may run again.  */
void
relay_server_fail_path (struct relay_server *server,
                        const struct pool_endpoint *endpoint,
                        int64_t silent_ms)
{
  int64_t now_ms = clock_now_ms ();
  GList *next;

  for (GList *at = server->relays.head; at; at = next)
    {
      struct served_relay *relay = at->data;
      Peer__RelayDone done = PEER__RELAY_DONE__INIT;

      next = at->next;
      if (relay->endpoint != endpoint || !relay->may_run_again
          || now_ms - relay->sent_ms < silent_ms)
        continue;
      done.id = relay->id;
      done.sequence = relay->sequence;
      done.is_sent = true;
      done.reason = (char *)(uintptr_t) "the helping host has lost its path";
      send_done (server, relay->origin->name, &done);
      relay_destroy (relay);
    }
}

/* Returns a host for which requests run and that has fallen silent, or NULL.
 */
static const struct relay_origin *
find_silent_origin (struct relay_server *server, int64_t now_ms)
{
  struct transport *transport = server->options.transport;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, server->origins);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct relay_origin *origin = value;

      failure_detector_record_heard (
          &origin->detector,
          transport->vtable->last_received_ms (transport, origin->name));
      if (failure_detector_tick (&origin->detector, now_ms))
        transport->vtable->ping (transport, origin->name);
      if (origin->detector.is_unreachable)
        return origin;
    }
  return NULL;
}

/* Ends requests of silent hosts.  Must be called at least every 100 ms.  */
void
relay_server_tick (struct relay_server *server, int64_t now_ms)
{
  const struct relay_origin *silent;

  if (server->ticked_ms && now_ms - server->ticked_ms >= LATE_TICK_MS)
    server->late_ticks++;
  else
    server->late_ticks = 0;
  if (server->late_ticks >= MAX_LATE_TICKS)
    server->busy_until_ms = now_ms + BUSY_MS;
  server->ticked_ms = now_ms;
  while ((silent = find_silent_origin (server, now_ms)))
    {
      char *name = xstrdup (silent->name);

      log_write (LOG_WARN, "relay", NULL,
                 "host %s fell silent: %u requests sent for it are cancelled",
                 name, silent->relays);
      relay_server_handle_down (server, name);
      free (name);
    }
}

/* Refuses new requests; active ones continue.  */
void
relay_server_close (struct relay_server *server)
{
  server->is_closed = true;
}

/* Returns the number of requests that run for other hosts.  */
uint32_t
relay_server_active (const struct relay_server *server)
{
  return server->relays.length;
}
