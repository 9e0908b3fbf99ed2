#include "peer/forward.h"
#include "caller/routes.h"
#include "common/counters.h"
#include "common/id.h"
#include "galenashored/server.h"
#include <stdlib.h>
#include <string.h>

/* A request from a caller of this host that another host serves. */
struct outgoing
{
  struct forwarder *forwarder;
  uint64_t id; /* random; identifies the request between the two hosts */
  char *host;  /* that serves the request */
  struct api_request *request;
  struct outgoing *next;
};

/* A request that another host forwarded to this one.  REQUEST must be the
   first member, because the sink callbacks cast it back to the whole
   struct. */
struct incoming
{
  struct api_request request;
  struct forwarder *forwarder;
  uint64_t id;      /* given by the forwarding host */
  char *host;       /* that forwarded the request */
  bool lacks_frame; /* the head of the response could not be sent */
  struct incoming *next;
};

struct forwarder
{
  struct server *server;
  struct outgoing *outgoing;
  struct incoming *incoming;
};

/* Unlinks and frees OUTGOING, but not its request.  */
static void
outgoing_destroy (struct outgoing *outgoing)
{
  struct outgoing **slot = &outgoing->forwarder->outgoing;

  while (*slot && *slot != outgoing)
    slot = &(*slot)->next;
  if (*slot)
    *slot = outgoing->next;
  mesh_release_link (outgoing->forwarder->server->mesh, outgoing->host);
  free (outgoing->host);
  free (outgoing);
}

static void
incoming_destroy (struct incoming *incoming)
{
  struct incoming **slot = &incoming->forwarder->incoming;

  while (*slot && *slot != incoming)
    slot = &(*slot)->next;
  if (*slot)
    *slot = incoming->next;
  mesh_release_link (incoming->forwarder->server->mesh, incoming->host);
  api_request_release (&incoming->request);
  free (incoming->host);
  free (incoming);
}

static char *
string_or_empty (const char *value)
{
  return (char *)(uintptr_t)(value ? value : "");
}

static bool
send_frame (struct incoming *incoming, const Peer__Frame *frame)
{
  return mesh_send (incoming->forwarder->server->mesh, incoming->host, frame);
}

static void
sink_begin (struct api_request *request, unsigned status,
            const char *content_type, bool streaming)
{
  struct incoming *incoming = (struct incoming *)request;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__CallHead head = PEER__CALL_HEAD__INIT;

  head.id = incoming->id;
  head.status = status;
  head.content_type = string_or_empty (content_type);
  head.streaming = streaming;
  head.retry_after_ms = request->retry_after_ms;
  head.cursor = string_or_empty (request->answer_cursor);
  head.program = string_or_empty (request->answer_program);
  frame.body_case = PEER__FRAME__BODY_CALL_HEAD;
  frame.call_head = &head;
  incoming->lacks_frame = !send_frame (incoming, &frame);
}

static bool
sink_write (struct api_request *request, const void *data, size_t len)
{
  struct incoming *incoming = (struct incoming *)request;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__CallData body = PEER__CALL_DATA__INIT;

  if (incoming->lacks_frame)
    return false;
  if (len == 0)
    return true;
  body.id = incoming->id;
  body.data.data = (uint8_t *)(uintptr_t)data;
  body.data.len = len;
  frame.body_case = PEER__FRAME__BODY_CALL_DATA;
  frame.call_data = &body;
  return send_frame (incoming, &frame);
}

static void
finish_incoming (struct incoming *incoming, bool aborted)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__CallEnd end = PEER__CALL_END__INIT;

  end.id = incoming->id;
  end.aborted = aborted;
  frame.body_case = PEER__FRAME__BODY_CALL_END;
  frame.call_end = &end;
  send_frame (incoming, &frame);
  incoming_destroy (incoming);
}

static void
sink_end (struct api_request *request)
{
  finish_incoming ((struct incoming *)request, false);
}

static void
sink_abort (struct api_request *request)
{
  finish_incoming ((struct incoming *)request, true);
}

static const struct api_sink_impl peer_sink = { .begin = sink_begin,
                                                .write = sink_write,
                                                .end = sink_end,
                                                .abort = sink_abort };

/* Creates the forwarder of SERVER.  */
struct forwarder *
forwarder_create (struct server *server)
{
  struct forwarder *forwarder = xcalloc (1, sizeof *forwarder);

  forwarder->server = server;
  return forwarder;
}

/* Frees the forwarder and drops the requests in progress.  */
void
forwarder_destroy (struct forwarder *forwarder)
{
  if (!forwarder)
    return;
  while (forwarder->outgoing)
    outgoing_destroy (forwarder->outgoing);
  while (forwarder->incoming)
    incoming_destroy (forwarder->incoming);
  free (forwarder);
}

/* Called when the caller disconnects: tells the owner host to cancel the
   request.  */
static void
handle_caller_disconnect (struct api_request *request)
{
  struct outgoing *outgoing = request->user;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__CallCancel cancel = PEER__CALL_CANCEL__INIT;

  cancel.id = outgoing->id;
  frame.body_case = PEER__FRAME__BODY_CALL_CANCEL;
  frame.call_cancel = &cancel;
  mesh_send (outgoing->forwarder->server->mesh, outgoing->host, &frame);
  outgoing_destroy (outgoing);
}

static bool
send_request (struct outgoing *outgoing)
{
  const struct api_request *request = outgoing->request;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__CallRequest call = PEER__CALL_REQUEST__INIT;

  call.id = outgoing->id;
  call.customer = string_or_empty (request->customer);
  call.key_id = string_or_empty (request->key_id);
  call.method = string_or_empty (request->method);
  call.path = string_or_empty (request->path);
  call.cursor = string_or_empty (request->cursor);
  call.program = string_or_empty (request->program);
  call.idempotency_key = string_or_empty (request->idempotency_key);
  call.content_type = string_or_empty (request->content_type);
  call.resume_from = request->resume_from;
  call.body.data = (uint8_t *)request->body.data;
  call.body.len = request->body.len;
  call.hops = request->hops + 1;
  frame.body_case = PEER__FRAME__BODY_CALL_REQUEST;
  frame.call_request = &call;
  return mesh_send (outgoing->forwarder->server->mesh, outgoing->host, &frame);
}

/* Forwards REQUEST to HOST.  Returns false when HOST cannot be reached
   now.  */
bool
forwarder_forward (struct forwarder *forwarder, struct api_request *request,
                   const struct config_host *host)
{
  struct outgoing *outgoing = xcalloc (1, sizeof *outgoing);

  outgoing->forwarder = forwarder;
  outgoing->id = id_random64 ();
  outgoing->host = xstrdup (host->name);
  outgoing->request = request;
  outgoing->next = forwarder->outgoing;
  forwarder->outgoing = outgoing;
  mesh_acquire_link (forwarder->server->mesh, host->name);
  if (!send_request (outgoing))
    {
      outgoing_destroy (outgoing);
      return false;
    }
  request->user = outgoing;
  request->handle_disconnect = handle_caller_disconnect;
  counter_add (COUNTER_FORWARDED, 1);
  return true;
}

static void
set_if_present (char **slot, const char *value)
{
  if (value && *value)
    api_set_string (slot, value);
}

static void
accept_request (struct forwarder *forwarder, const char *host,
                const Peer__CallRequest *call)
{
  struct incoming *incoming = xcalloc (1, sizeof *incoming);
  struct api_request *request = &incoming->request;

  incoming->forwarder = forwarder;
  incoming->id = call->id;
  incoming->host = xstrdup (host);
  incoming->next = forwarder->incoming;
  forwarder->incoming = incoming;
  mesh_acquire_link (forwarder->server->mesh, host);
  request->impl = &peer_sink;
  request->server = forwarder->server;
  id_random_text (request->id);
  request->customer = xstrdup (call->customer);
  request->key_id = xstrdup (call->key_id);
  request->method = xstrdup (call->method);
  request->path = xstrdup (call->path);
  set_if_present (&request->cursor, call->cursor);
  set_if_present (&request->program, call->program);
  set_if_present (&request->idempotency_key, call->idempotency_key);
  set_if_present (&request->content_type, call->content_type);
  request->resume_from = call->resume_from;
  request->hops = call->hops;
  buf_append (&request->body, call->body.data, call->body.len);
  routes_dispatch_forwarded (request);
}

static struct outgoing *
find_outgoing (struct forwarder *forwarder, uint64_t id, const char *host)
{
  for (struct outgoing *o = forwarder->outgoing; o; o = o->next)
    if (o->id == id && strcmp (o->host, host) == 0)
      return o;
  return NULL;
}

static void
handle_head (struct outgoing *outgoing, const Peer__CallHead *head)
{
  struct api_request *request = outgoing->request;

  set_if_present (&request->answer_cursor, head->cursor);
  set_if_present (&request->answer_program, head->program);
  request->retry_after_ms = head->retry_after_ms;
  api_begin (request, head->status, head->content_type, head->streaming);
}

static void
handle_data (struct outgoing *outgoing, const Peer__CallData *data)
{
  struct api_request *request = outgoing->request;

  if (api_write (request, data->data.data, data->data.len))
    return;
  handle_caller_disconnect (request);
  request->user = NULL;
  api_abort (request);
}

static void
handle_end (struct outgoing *outgoing, bool aborted)
{
  struct api_request *request = outgoing->request;

  request->user = NULL;
  request->handle_disconnect = NULL;
  outgoing_destroy (outgoing);
  if (aborted)
    api_abort (request);
  else
    api_end (request);
}

/* Cancels a request whose caller or forwarding host is gone.  */
static void
cancel_incoming (struct incoming *incoming)
{
  if (incoming->request.handle_disconnect)
    incoming->request.handle_disconnect (&incoming->request);
  incoming_destroy (incoming);
}

static void
handle_cancel (struct forwarder *forwarder, const char *host, uint64_t id)
{
  for (struct incoming *i = forwarder->incoming; i; i = i->next)
    if (i->id == id && strcmp (i->host, host) == 0)
      {
        cancel_incoming (i);
        return;
      }
}

/* Handles frames of forwarded requests and ignores all others.  Responses to
   requests that are no longer pending are dropped.  */
void
forwarder_handle_frame (struct forwarder *forwarder, const char *host,
                        const Peer__Frame *frame)
{
  struct outgoing *outgoing;

  switch (frame->body_case)
    {
    case PEER__FRAME__BODY_CALL_REQUEST:
      accept_request (forwarder, host, frame->call_request);
      break;
    case PEER__FRAME__BODY_CALL_CANCEL:
      handle_cancel (forwarder, host, frame->call_cancel->id);
      break;
    case PEER__FRAME__BODY_CALL_HEAD:
      outgoing = find_outgoing (forwarder, frame->call_head->id, host);
      if (outgoing)
        handle_head (outgoing, frame->call_head);
      break;
    case PEER__FRAME__BODY_CALL_DATA:
      outgoing = find_outgoing (forwarder, frame->call_data->id, host);
      if (outgoing)
        handle_data (outgoing, frame->call_data);
      break;
    case PEER__FRAME__BODY_CALL_END:
      outgoing = find_outgoing (forwarder, frame->call_end->id, host);
      if (outgoing)
        handle_end (outgoing, frame->call_end->aborted);
      break;
    default:
      break;
    }
}

static struct outgoing *
find_outgoing_to (struct forwarder *forwarder, const char *host)
{
  for (struct outgoing *o = forwarder->outgoing; o; o = o->next)
    if (strcmp (o->host, host) == 0)
      return o;
  return NULL;
}

static struct incoming *
find_incoming_from (struct forwarder *forwarder, const char *host)
{
  for (struct incoming *i = forwarder->incoming; i; i = i->next)
    if (strcmp (i->host, host) == 0)
      return i;
  return NULL;
}

/* Called when HOST stops answering.  Requests whose response has not begun are
   routed again with the same cursor; their new owner determines whether they
   already ran.  Responses that have begun are aborted, and their callers
   resume the stream.  */
void
forwarder_handle_down (struct forwarder *forwarder, const char *host)
{
  struct outgoing *outgoing;
  struct incoming *incoming;

  while ((outgoing = find_outgoing_to (forwarder, host)))
    {
      struct api_request *request = outgoing->request;

      request->user = NULL;
      request->handle_disconnect = NULL;
      outgoing_destroy (outgoing);
      if (request->ending.has_begun)
        api_abort (request);
      else
        routes_dispatch (request);
    }
  while ((incoming = find_incoming_from (forwarder, host)))
    cancel_incoming (incoming);
}

/* Returns whether no request is being forwarded to or from another host.  */
bool
forwarder_is_idle (const struct forwarder *forwarder)
{
  return !forwarder->outgoing && !forwarder->incoming;
}
