#include "request/relay_client.h"
#include "common/counters.h"
#include "common/id.h"
#include "common/log.h"
#include "policy/failure_detector.h"
#include "request/host_set.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ASK_INTERVAL_MS = 150,
  /* Of an offer; a helping host verifies its paths several times as often. */
  OFFER_TTL_MS = 600,
  REFUSED_MS = 250, /* for which a host that refused is not asked for more */
  LOST_MS = 1000,   /* the same for one that was lost */
  SILENT_MS = 500,  /* of a relay, until its helping host is asked about it */
  WANTED_HELPERS = 4,
  MAX_HELPERS = 24, /* with those that were asked and did not offer help */
  MAX_NEW_ASKS = 6, /* to hosts that have not offered help, each time */
  FORGET_MS = 3000, /* without an offer, until a host is forgotten */
  MAX_SILENT = 128, /* relays per question */
  REMOTE_COST = 4,  /* relays that make a helping host of another data centre
                       as good as one of the endpoint's */
  LOST_TIMEOUT_MS = 1000, /* a host may pause that long without harm */
};

/* Another host that helps or was asked to. */
struct helper
{
  char *name;
  uint64_t data_centre;
  GArray *services; /* uint64_t, hashes of those that it reaches */
  uint32_t room;
  int64_t added_ms;
  int64_t offered_ms; /* when its latest offer arrived; 0 for never */
  int64_t avoid_until_ms;
  uint32_t in_flight;
  struct failure_detector detector; /* while in_flight */
};

struct relay
{
  struct relay_client *client;
  struct helper *helper;
  uint64_t id;
  uint32_t sequence; /* of the next frame */
  long status;
  bool is_first_response; /* on its connection */
  int64_t heard_ms;
  bool is_delivering; /* one of its handlers is running */
  bool is_cancelled;
  fetch_data_handler *handle_data;
  fetch_header_handler *handle_header;
  relay_done_handler *handle_done;
  void *data;
};

struct relay_client
{
  struct relay_client_options options;
  struct host_set hosts;
  GPtrArray *helpers; /* struct helper */
  GHashTable *relays; /* id -> struct relay */
  int64_t asked_ms;
};

/* Returns the name of REFUSAL, for logs.  */
const char *
relay_refusal_name (enum relay_refusal refusal)
{
  static const char *const names[]
      = { "none",     "unknown endpoint", "endpoint leaves",
          "no path",  "no permit",        "busy",
          "stopping", "malformed" };

  return (unsigned)refusal < G_N_ELEMENTS (names) ? names[refusal] : "unknown";
}

static void
helper_destroy (gpointer data)
{
  struct helper *helper = data;

  g_array_free (helper->services, TRUE);
  free (helper->name);
  free (helper);
}

/* Creates a client that knows no other hosts.  */
struct relay_client *
relay_client_create (const struct relay_client_options *options)
{
  struct relay_client *client = xcalloc (1, sizeof *client);

  client->options = *options;
  client->helpers = g_ptr_array_new_with_free_func (helper_destroy);
  client->relays
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free);
  return client;
}

/* Frees the client and its relays, without calling their handlers.  */
void
relay_client_destroy (struct relay_client *client)
{
  if (!client)
    return;
  g_hash_table_destroy (client->relays);
  g_ptr_array_free (client->helpers, TRUE);
  host_set_release (&client->hosts);
  free (client);
}

/* Sets the list of all entry hosts.  */
void
relay_client_set_hosts (struct relay_client *client,
                        const struct host_location *hosts, size_t count)
{
  host_set_assign (&client->hosts, hosts, count);
}

static struct helper *
find_helper (const struct relay_client *client, const char *name)
{
  for (guint i = 0; i < client->helpers->len; i++)
    {
      struct helper *helper = client->helpers->pdata[i];

      if (strcmp (helper->name, name) == 0)
        return helper;
    }
  return NULL;
}

static bool
has_fresh_offer (const struct helper *helper, int64_t now_ms)
{
  return helper->offered_ms && now_ms - helper->offered_ms <= OFFER_TTL_MS
         && helper->services->len > 0;
}

static bool
may_help (const struct helper *helper, uint64_t service, int64_t now_ms)
{
  if (!has_fresh_offer (helper, now_ms) || helper->room == 0
      || helper->avoid_until_ms > now_ms)
    return false;
  for (guint i = 0; i < helper->services->len; i++)
    if (g_array_index (helper->services, uint64_t, i) == service)
      return true;
  return false;
}

/* Whether a host has offered to send requests to SERVICE.  */
bool
relay_client_has_helper (const struct relay_client *client,
                         const char *service, int64_t now_ms)
{
  uint64_t hash = id_hash_text (service);

  for (guint i = 0; i < client->helpers->len; i++)
    if (may_help (client->helpers->pdata[i], hash, now_ms))
      return true;
  return false;
}

static void
relay_destroy (struct relay *relay)
{
  relay->helper->in_flight--;
  g_hash_table_remove (relay->client->relays, &relay->id);
}

static bool
send_frame (const struct relay_client *client, const struct helper *helper,
            const Peer__Frame *frame)
{
  return client->options.transport->vtable->send (client->options.transport,
                                                  helper->name, frame);
}

static void
send_cancel (const struct relay *relay)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__RelayCancel cancel = PEER__RELAY_CANCEL__INIT;

  cancel.id = relay->id;
  frame.body_case = PEER__FRAME__BODY_RELAY_CANCEL;
  frame.relay_cancel = &cancel;
  send_frame (relay->client, relay->helper, &frame);
}

/* Cancels a relay.  Its handlers are not called afterwards.  */
void
relay_cancel (struct relay *relay)
{
  if (!relay || relay->is_cancelled)
    return;
  send_cancel (relay);
  relay->is_cancelled = true;
  if (!relay->is_delivering)
    relay_destroy (relay);
}

/* Returns the HTTP status received so far, or 0 if there is none.  */
long
relay_status (const struct relay *relay)
{
  return relay->status;
}

/* Whether the response is certainly the first one on its connection.  Helping
   hosts of a build before do not tell.  */
bool
relay_is_first_response (const struct relay *relay)
{
  return relay->is_first_response;
}

/* Frees the relay and calls its handler.  */
static void
finish (struct relay *relay, const struct fetch_result *result,
        enum relay_refusal refusal)
{
  relay_done_handler *handle_done = relay->handle_done;
  void *data = relay->data;

  relay_destroy (relay);
  handle_done (data, result, refusal);
}

/* Ends a relay whose response did not arrive, though the endpoint may have got
   the request.  */
static void
finish_broken (struct relay *relay, const char *reason, bool is_aborted)
{
  struct buf body = { 0 };
  struct fetch_result result = { .status = relay->status,
                                 .sent = true,
                                 .aborted = is_aborted,
                                 .reason = reason,
                                 .body = &body };

  finish (relay, &result, RELAY_NOT_REFUSED);
}

static struct relay *
find_relay_of (const struct relay_client *client, const struct helper *helper)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, client->relays);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct relay *relay = value;

      if (relay->helper == helper && !relay->is_delivering)
        return relay;
    }
  return NULL;
}

/* Ends all relays of HELPER, whose frames may be lost.  */
static void
lose_helper (struct relay_client *client, struct helper *helper,
             int64_t now_ms)
{
  struct relay *relay;

  helper->offered_ms = 0;
  helper->avoid_until_ms = now_ms + LOST_MS;
  if (helper->in_flight == 0)
    return;
  counter_add (COUNTER_RELAYS_LOST, 1);
  log_write (LOG_WARN, "relay", NULL,
             "host %s was lost while it was sending %u requests for this one",
             helper->name, helper->in_flight);
  while ((relay = find_relay_of (client, helper)))
    {
      send_cancel (relay);
      finish_broken (relay, "the helping host was lost", false);
    }
}

/* Must be called when the link to HOST breaks.  */
void
relay_client_handle_down (struct relay_client *client, const char *host,
                          int64_t now_ms)
{
  struct helper *helper = find_helper (client, host);

  if (helper)
    lose_helper (client, helper, now_ms);
}

/* Asks a host whether it helps, and whether it still knows the relays that
   were long without a frame.  */
static void
ask (const struct relay_client *client, const struct helper *helper,
     int64_t now_ms)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__RelayAsk question = PEER__RELAY_ASK__INIT;
  uint64_t silent[MAX_SILENT];
  GHashTableIter iter;
  gpointer value;

  question.silent = silent;
  g_hash_table_iter_init (&iter, client->relays);
  while (question.n_silent < MAX_SILENT
         && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct relay *relay = value;

      if (relay->helper == helper && now_ms - relay->heard_ms >= SILENT_MS)
        silent[question.n_silent++] = relay->id;
    }
  frame.body_case = PEER__FRAME__BODY_RELAY_ASK;
  frame.relay_ask = &question;
  send_frame (client, helper, &frame);
}

static void
forget_helpers (struct relay_client *client, int64_t now_ms)
{
  for (guint i = client->helpers->len; i > 0; i--)
    {
      const struct helper *helper = client->helpers->pdata[i - 1];

      if (helper->in_flight == 0
          && now_ms - MAX (helper->offered_ms, helper->added_ms) > FORGET_MS)
        g_ptr_array_remove_index_fast (client->helpers, i - 1);
    }
}

/* Asks hosts at random that have not been asked yet.  */
static void
ask_new_hosts (struct relay_client *client, int64_t now_ms)
{
  const struct host_set *hosts = &client->hosts;
  size_t first = hosts->count > 0 ? id_random64 () % hosts->count : 0;
  uint32_t asked = 0;

  for (size_t i = 0; i < hosts->count && asked < MAX_NEW_ASKS
                     && client->helpers->len < MAX_HELPERS;
       i++)
    {
      const struct host_member *member
          = &hosts->members[(first + i) % hosts->count];
      struct helper *helper;

      if (strcmp (member->name, client->options.host) == 0
          || find_helper (client, member->name))
        continue;
      helper = xcalloc (1, sizeof *helper);
      helper->name = xstrdup (member->name);
      helper->data_centre = member->data_centre_hash;
      helper->services = g_array_new (FALSE, FALSE, sizeof (uint64_t));
      helper->added_ms = now_ms;
      g_ptr_array_add (client->helpers, helper);
      ask (client, helper, now_ms);
      asked++;
    }
}

static void
ask_hosts (struct relay_client *client, int64_t now_ms)
{
  uint32_t helping = 0;

  client->asked_ms = now_ms;
  forget_helpers (client, now_ms);
  for (guint i = 0; i < client->helpers->len; i++)
    {
      const struct helper *helper = client->helpers->pdata[i];

      helping += has_fresh_offer (helper, now_ms);
      ask (client, helper, now_ms);
    }
  if (helping < WANTED_HELPERS)
    ask_new_hosts (client, now_ms);
}

static void
watch_helper (struct relay_client *client, struct helper *helper,
              int64_t now_ms)
{
  struct transport *transport = client->options.transport;

  if (helper->in_flight == 0)
    return;
  failure_detector_record_heard (
      &helper->detector,
      transport->vtable->last_received_ms (transport, helper->name));
  if (failure_detector_tick (&helper->detector, now_ms))
    transport->vtable->ping (transport, helper->name);
  if (helper->detector.is_unreachable)
    lose_helper (client, helper, now_ms);
}

/* Asks for help if IS_NEEDED, and ends relays of hosts that have fallen
   silent.  Must be called at least every 100 ms.  */
void
relay_client_tick (struct relay_client *client, bool is_needed, int64_t now_ms)
{
  for (guint i = 0; i < client->helpers->len; i++)
    watch_helper (client, client->helpers->pdata[i], now_ms);
  if ((is_needed || g_hash_table_size (client->relays) > 0)
      && now_ms - client->asked_ms >= ASK_INTERVAL_MS)
    ask_hosts (client, now_ms);
}

static void
handle_offer (struct helper *helper, const Peer__RelayOffer *offer,
              int64_t now_ms)
{
  helper->offered_ms = now_ms;
  helper->room = offer->room;
  g_array_set_size (helper->services, 0);
  g_array_append_vals (helper->services, offer->services,
                       (guint)offer->n_services);
}

static void
deliver_headers (struct relay *relay, size_t count, char *const *names,
                 char *const *values)
{
  for (size_t i = 0; i < count && !relay->is_cancelled; i++)
    relay->handle_header (relay->data, names[i], values[i]);
}

/* Delivers a part of the response.  Helping hosts of a build before pass on
   any status.  Returns false if the relay has ended.  */
static bool
deliver_data (struct relay *relay, const Peer__RelayData *data)
{
  bool is_accepted = fetch_is_final_status ((long)data->status);

  relay->status = is_accepted ? (long)data->status : 0;
  relay->is_first_response = data->is_first_response;
  relay->is_delivering = true;
  if (is_accepted && data->n_names == data->n_values)
    deliver_headers (relay, data->n_names, data->names, data->values);
  if (is_accepted && !relay->is_cancelled && data->bytes.len > 0)
    is_accepted = relay->handle_data (
        relay->data, (const char *)data->bytes.data, data->bytes.len);
  relay->is_delivering = false;
  if (relay->is_cancelled)
    {
      relay_destroy (relay);
      return false;
    }
  if (is_accepted)
    return true;
  send_cancel (relay);
  finish_broken (relay, "the response was not accepted", true);
  return false;
}

static void
deliver_done (struct relay *relay, const Peer__RelayDone *done)
{
  enum relay_refusal refusal = (enum relay_refusal)done->refusal;
  struct buf body = { .data = (char *)done->body.data, .len = done->body.len };
  char reason[128];
  struct fetch_result result = { .status = (long)done->status,
                                 .framing = (enum fetch_framing)done->framing,
                                 .complete = done->is_complete,
                                 .aborted = done->is_aborted,
                                 .sent = done->is_sent,
                                 .connection_opened = done->is_first_response,
                                 .resend_refused = done->is_resend_refused,
                                 .reason = reason,
                                 .body = &body };

  g_strlcpy (reason, done->reason, sizeof reason);
  if (result.status != 0 && !fetch_is_final_status (result.status))
    {
      result.status = 0;
      result.complete = false;
      result.aborted = true;
    }
  if (refusal != RELAY_NOT_REFUSED || !done->is_sent)
    relay->helper->avoid_until_ms
        = refusal == RELAY_BUSY || refusal == RELAY_STOPPING
              ? relay->heard_ms + REFUSED_MS
              : relay->helper->avoid_until_ms;
  relay->status = result.status;
  relay->is_first_response = done->is_first_response;
  relay->is_delivering = true;
  if (done->n_names == done->n_values)
    deliver_headers (relay, done->n_names, done->names, done->values);
  relay->is_delivering = false;
  if (relay->is_cancelled)
    relay_destroy (relay);
  else
    finish (relay, &result, refusal);
}

/* Returns the relay of HOST with ID, or NULL.  */
static struct relay *
find_relay (struct relay_client *client, const char *host, uint64_t id)
{
  struct relay *relay = g_hash_table_lookup (client->relays, &id);

  return relay && strcmp (relay->helper->name, host) == 0 ? relay : NULL;
}

/* Whether a frame is the next one of its relay.  If others were lost, the
   relay is broken.  */
static bool
is_next (struct relay *relay, uint32_t sequence, int64_t now_ms)
{
  relay->heard_ms = now_ms;
  if (sequence == relay->sequence++)
    return true;
  send_cancel (relay);
  finish_broken (relay, "a part of the response was lost between hosts",
                 false);
  return false;
}

/* Handles offers and responses, and ignores other frames.  */
void
relay_client_handle_frame (struct relay_client *client, const char *host,
                           const Peer__Frame *frame, int64_t now_ms)
{
  struct helper *helper;
  struct relay *relay;

  switch (frame->body_case)
    {
    case PEER__FRAME__BODY_RELAY_OFFER:
      helper = find_helper (client, host);
      if (helper)
        handle_offer (helper, frame->relay_offer, now_ms);
      break;
    case PEER__FRAME__BODY_RELAY_DATA:
      relay = find_relay (client, host, frame->relay_data->id);
      if (relay && relay->handle_data
          && is_next (relay, frame->relay_data->sequence, now_ms))
        deliver_data (relay, frame->relay_data);
      break;
    case PEER__FRAME__BODY_RELAY_DONE:
      relay = find_relay (client, host, frame->relay_done->id);
      if (relay && is_next (relay, frame->relay_done->sequence, now_ms))
        deliver_done (relay, frame->relay_done);
      break;
    default:
      break;
    }
}

/* Returns the least used host that offers to send to ENDPOINT, or NULL.  */
static struct helper *
pick_helper (const struct relay_client *client,
             const struct pool_endpoint *endpoint, int64_t now_ms)
{
  uint64_t service = id_hash_text (endpoint->service);
  struct helper *best = NULL;
  uint32_t best_cost = 0;

  for (guint i = 0; i < client->helpers->len; i++)
    {
      struct helper *helper = client->helpers->pdata[i];
      uint32_t cost = helper->in_flight
                      + (helper->data_centre == endpoint->data_centre_hash
                             ? 0
                             : REMOTE_COST);

      if (!may_help (helper, service, now_ms) || (best && cost >= best_cost))
        continue;
      best = helper;
      best_cost = cost;
    }
  return best;
}

static bool
send_request (const struct relay_client *client, const struct helper *helper,
              uint64_t id, const struct relay_request *request)
{
  const struct fetch_options *fetch = request->fetch;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__RelaySend send = PEER__RELAY_SEND__INIT;

  send.id = id;
  send.endpoint = request->endpoint->start;
  send.fingerprint = request->fingerprint;
  send.method = (char *)(uintptr_t)fetch->method;
  send.target = (char *)(uintptr_t)fetch->target;
  send.headers = (char **)(uintptr_t)fetch->headers;
  while (fetch->headers[send.n_headers])
    send.n_headers++;
  send.body.data = (uint8_t *)(uintptr_t)fetch->body;
  send.body.len = fetch->body_len;
  send.timeout_ms = (uint32_t)request->timeout_ms;
  send.max_idle_ms = (uint32_t)fetch->max_idle_ms;
  send.is_streamed = fetch->handle_data != NULL;
  send.is_single_attempt = fetch->single_attempt;
  send.has_permit = request->has_permit;
  send.needs_new_connection = fetch->new_connection;
  if (request->request_id)
    send.request_id = (char *)(uintptr_t)request->request_id;
  frame.body_case = PEER__FRAME__BODY_RELAY_SEND;
  frame.relay_send = &send;
  return send_frame (client, helper, &frame);
}

/* Has another host send a request.  The handlers run on the loop's thread,
   never from within this call.  Returns NULL if no host helps; otherwise the
   relay is valid until its end or relay_cancel.  */
struct relay *
relay_client_start (struct relay_client *client,
                    const struct relay_request *request, int64_t now_ms)
{
  struct helper *helper;

  while ((helper = pick_helper (client, request->endpoint, now_ms)))
    {
      uint64_t id = id_random64 ();
      struct relay *relay;

      if (!send_request (client, helper, id, request))
        {
          helper->avoid_until_ms = now_ms + REFUSED_MS;
          continue;
        }
      if (helper->in_flight++ == 0)
        {
          failure_detector_init (&helper->detector, now_ms);
          helper->detector.timeout_ms = LOST_TIMEOUT_MS;
        }
      helper->room--;
      relay = xcalloc (1, sizeof *relay);
      *relay = (struct relay){ .client = client,
                               .helper = helper,
                               .id = id,
                               .heard_ms = now_ms,
                               .handle_data = request->fetch->handle_data,
                               .handle_header = request->fetch->handle_header,
                               .handle_done = request->handle_done,
                               .data = request->fetch->data };
      g_hash_table_insert (client->relays, &relay->id, relay);
      counter_add (COUNTER_RELAYS_SENT, 1);
      return relay;
    }
  return NULL;
}
