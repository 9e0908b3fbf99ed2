#include "peer/mesh.h"
#include "common/address.h"
#include "common/buf.h"
#include "common/counters.h"
#include "common/id.h"
#include "common/log.h"
#include "peer/link.h"
#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  PING_MS = 500,
  UNHEARD_MS = 100,  /* an answer to a frame takes a few milliseconds */
  SUSPECT_MS = 1500, /* without a pong, until a host is suspect */
  /* Wait before reconnecting after a failed connection. */
  RECONNECT_DELAY_MS = 3000,
  LINK_IDLE_MS = 30000, /* after which an unused link is closed */
  /* What all links may hold in sum, unless the options say otherwise. */
  DEFAULT_LINK_BYTES = 64 * 1024 * 1024,
  /* A host that announced itself but is not listed is forgotten this long
     after its last frame. */
  UNLISTED_MS = 60000,
  ACCEPT_BACKLOG = 256,
  MAX_FRAME_KINDS = 64, /* above the numbers in peer.proto */
};

/* Another host and the link to it.  Owned by the mesh. */
struct peer
{
  struct mesh *mesh;
  char *name;
  char *address;
  struct link *link;  /* outbound; owned by this peer */
  struct buf pending; /* length-prefixed frames queued until the link opens */
  bool has_bulk;      /* a frame of mesh_send_bulk is on its way */
  uint64_t bulk_end;  /* of it, in the link's output; 0 while it is pending */
  bool is_dropping;   /* the last frame found no memory */
  uint64_t ping_sequence; /* of the last ping sent */
  int64_t ping_sent_ms;   /* of the oldest unanswered ping; 0 for none */
  /* When the first frame was sent since one was received; 0 for none. */
  int64_t unheard_since_ms;
  int64_t last_used_ms;     /* when mesh_send or mesh_ping last sent a frame */
  int64_t last_received_ms; /* when the last frame arrived; 0 for never */
  uint32_t link_refs;       /* requests in progress that keep the link open */
  int64_t reconnect_at_ms;  /* no reconnection before; while suspect */
  bool suspect;             /* does not answer */
  bool leaving;             /* has announced that it is stopping */
  bool blocked;             /* by mesh_block */
  bool listed;              /* frames may be sent to it */
  bool self_announced; /* added from its own hello, not yet in the host list */
  struct peer *next;
};

/* Frames of one kind that this host has sent. */
struct sent_frames
{
  uint64_t frames;
  uint64_t bytes; /* packed, without encryption and headers */
};

struct mesh
{
  struct mesh_options options;
  int listener;
  ev_io accept_watcher;
  ev_timer ping_timer;
  struct peer *peers;
  GHashTable *peers_by_name; /* name -> struct peer */
  struct link *inbound; /* linked list of accepted links; owned by the mesh */
  char *own_address;
  uint64_t config_revision;
  bool leaving;
  struct sent_frames sent[MAX_FRAME_KINDS]; /* by the number of the body */
  struct link_budget budget;
};

/* Returns the bytes queued for PEER that it has not read.  */
static size_t
backlog_bytes (const struct peer *peer)
{
  return peer->pending.len + (peer->link ? peer->link->out.len : 0);
}

static struct peer *
find_peer (const struct mesh *mesh, const char *name)
{
  return g_hash_table_lookup (mesh->peers_by_name, name);
}

/* Queues a packed frame until the link opens.  Returns false if there is no
   memory for it.  */
static bool
append_pending (struct peer *peer, const uint8_t *packed, size_t len)
{
  struct link_budget *budget = &peer->mesh->budget;
  uint32_t prefix = (uint32_t)len;
  size_t growth = buf_capacity_for (&peer->pending, sizeof prefix + len)
                  - peer->pending.capacity;

  if (!link_budget_admits (budget, len, growth))
    return false;
  buf_append (&peer->pending, &prefix, sizeof prefix);
  buf_append (&peer->pending, packed, len);
  link_budget_add_out (budget, (int64_t)growth);
  return true;
}

/* Frees the frames that wait for the link.  */
static void
release_pending (struct peer *peer)
{
  link_budget_add_out (&peer->mesh->budget, -(int64_t)peer->pending.capacity);
  buf_release (&peer->pending);
}

/* Sends a packed frame whose body is of KIND, or queues it until the link
   opens.  Returns false if there is no memory for it: it is then lost, as on a
   broken link.  */
static bool
send_packed (struct peer *peer, unsigned kind, const uint8_t *packed,
             size_t len)
{
  struct mesh *mesh = peer->mesh;
  bool is_queued = peer->link && peer->link->state == LINK_OPEN
                       ? link_send (peer->link, packed, len)
                       : append_pending (peer, packed, len);

  if (is_queued && kind < MAX_FRAME_KINDS)
    {
      mesh->sent[kind].frames++;
      mesh->sent[kind].bytes += len;
    }
  if (!is_queued)
    counter_add (COUNTER_PEER_FRAMES_DROPPED, 1);
  if (!is_queued && !peer->is_dropping)
    log_write (
        LOG_WARN, "mesh", NULL,
        "dropping frames for host %s: %zu bytes wait on the link to it, "
        "%zu on all links",
        peer->name, backlog_bytes (peer), mesh->budget.out_bytes);
  peer->is_dropping = !is_queued;
  return is_queued;
}

static bool
send_frame (struct peer *peer, const Peer__Frame *frame)
{
  size_t len = peer__frame__get_packed_size (frame);
  uint8_t *packed = xcalloc (1, len + 1);
  bool is_queued;

  peer__frame__pack (frame, packed);
  is_queued = send_packed (peer, (unsigned)frame->body_case, packed, len);
  free (packed);
  return is_queued;
}

/* Reports that the frame of mesh_send_bulk is sent or lost.  */
static void
end_bulk (struct peer *peer)
{
  struct mesh *mesh = peer->mesh;

  if (!peer->has_bulk)
    return;
  peer->has_bulk = false;
  peer->bulk_end = 0;
  mesh->options.handle_bulk_end (mesh->options.data, peer->name);
}

/* Marks PEER as not answering and, when it was not yet marked, calls the
   handler of the mesh.  */
static void
mark_suspect (struct peer *peer, int64_t reconnect_delay_ms)
{
  bool was_suspect = peer->suspect;

  peer->suspect = true;
  peer->reconnect_at_ms = clock_now_ms () + reconnect_delay_ms;
  if (was_suspect)
    return;
  log_write (LOG_WARN, "mesh", NULL,
             "host %s does not answer: last heard %lld ms ago, %zu bytes wait "
             "on the link to it",
             peer->name,
             (long long)(peer->last_received_ms
                             ? clock_now_ms () - peer->last_received_ms
                             : -1),
             backlog_bytes (peer));
  peer->mesh->options.handle_down (peer->mesh->options.data, peer->name);
}

static void
mark_answering (struct peer *peer)
{
  peer->ping_sent_ms = 0;
  if (!peer->suspect)
    return;
  peer->suspect = false;
  log_write (LOG_INFO, "mesh", NULL, "host %s answers again", peer->name);
}

/* Closes the link to PEER, if any, and drops the queued frames.  */
static void
close_link (struct peer *peer)
{
  link_destroy (peer->link);
  peer->link = NULL;
  peer->ping_sent_ms = 0;
  peer->unheard_since_ms = 0;
  release_pending (peer);
  end_bulk (peer);
}

static void
handle_outbound_open (void *data, struct link *link, const char *host)
{
  struct peer *peer = data;
  struct buf pending = peer->pending;
  size_t offset = 0;

  /* The frames move from one buffer to the other, so they count once. */
  link_budget_add_out (&peer->mesh->budget, -(int64_t)pending.capacity);
  peer->pending = (struct buf){ 0 };
  while (offset + sizeof (uint32_t) <= pending.len)
    {
      uint32_t len;

      memcpy (&len, pending.data + offset, sizeof len);
      offset += sizeof len;
      link_send (link, (const uint8_t *)pending.data + offset, len);
      offset += len;
    }
  buf_release (&pending);
  if (peer->has_bulk)
    peer->bulk_end = link->queued_bytes;
}

/* Never called: frames arrive only on inbound links.  */
static void
handle_outbound_frame (void *data, struct link *link, const Peer__Frame *frame)
{
}

/* Notices when a bulk frame has left the host.  */
static void
handle_outbound_flushed (void *data, struct link *link)
{
  struct peer *peer = data;

  if (peer->bulk_end > 0 && link->flushed_bytes >= peer->bulk_end)
    end_bulk (peer);
}

static void
handle_outbound_closed (void *data, struct link *link)
{
  struct peer *peer = data;
  bool was_open = link->state == LINK_OPEN;

  close_link (peer);
  mark_suspect (peer, was_open ? PING_MS : RECONNECT_DELAY_MS);
}

static struct link_identity
own_identity (const struct mesh *mesh)
{
  return (struct link_identity){ .host = mesh->options.host,
                                 .data_centre = mesh->options.data_centre,
                                 .address = mesh->own_address,
                                 .process = mesh->options.process };
}

/* Opens a link to PEER unless there is one.  Returns false on failure.  */
static bool
open_link (struct peer *peer)
{
  struct mesh *mesh = peer->mesh;
  struct link_identity self = own_identity (mesh);
  struct link_owner owner = { .handle_open = handle_outbound_open,
                              .handle_frame = handle_outbound_frame,
                              .handle_flushed = handle_outbound_flushed,
                              .handle_closed = handle_outbound_closed,
                              .budget = &mesh->budget,
                              .data = peer };
  struct sockaddr_in address;

  if (peer->link)
    return true;
  if (!address_parse (peer->address, &address))
    return false;
  peer->link = link_connect (mesh->options.loop, &address,
                             mesh->options.keyring, &self, &owner);
  return peer->link != NULL;
}

static void
send_ping (struct peer *peer)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__Ping ping = PEER__PING__INIT;

  ping.sequence = ++peer->ping_sequence;
  ping.config_revision = peer->mesh->config_revision;
  ping.leaving = peer->mesh->leaving;
  frame.body_case = PEER__FRAME__BODY_PING;
  frame.ping = &ping;
  if (!peer->ping_sent_ms)
    peer->ping_sent_ms = clock_now_ms ();
  send_frame (peer, &frame);
}

static void
send_pong (struct peer *peer, uint64_t sequence)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__Pong pong = PEER__PONG__INIT;

  pong.sequence = sequence;
  pong.config_revision = peer->mesh->config_revision;
  pong.leaving = peer->mesh->leaving;
  frame.body_case = PEER__FRAME__BODY_PONG;
  frame.pong = &pong;
  if (open_link (peer))
    send_frame (peer, &frame);
}

static void
handle_pong (struct peer *peer, const Peer__Pong *pong)
{
  peer->leaving = pong->leaving;
  mark_answering (peer);
}

static struct peer *
add_peer (struct mesh *mesh, const char *name)
{
  struct peer *peer = xcalloc (1, sizeof *peer);

  peer->mesh = mesh;
  peer->name = xstrdup (name);
  peer->next = mesh->peers;
  mesh->peers = peer;
  g_hash_table_insert (mesh->peers_by_name, peer->name, peer);
  return peer;
}

/* Adds a host that is not in the host list yet, with the address from its
   hello.  The address can be trusted because the host has the fleet key.  */
static void
add_announced_peer (struct mesh *mesh, const struct link *link)
{
  struct peer *peer = find_peer (mesh, link->host);

  if (!link->address || !*link->address || (peer && peer->listed))
    return;
  if (!peer)
    peer = add_peer (mesh, link->host);
  free (peer->address);
  peer->address = xstrdup (link->address);
  peer->self_announced = true;
  peer->listed = true;
}

static void
handle_inbound_open (void *data, struct link *link, const char *host)
{
  struct mesh *mesh = data;
  struct peer *peer;

  add_announced_peer (mesh, link);
  peer = find_peer (mesh, host);
  if (peer && peer->blocked)
    shutdown (link->fd, SHUT_RDWR);
}

/* Records that a frame from PEER arrived.  Where pings are sparse, each one
   shows that it answers.  */
static void
record_received (struct peer *peer)
{
  peer->last_received_ms = clock_now_ms ();
  if (!peer->mesh->options.has_sparse_pings)
    return;
  peer->unheard_since_ms = 0;
  mark_answering (peer);
}

/* A part of a frame shows that its sender answers: a large one may take longer
   to arrive than a host may be silent.  */
static void
handle_inbound_bytes (void *data, struct link *link)
{
  struct mesh *mesh = data;
  struct peer *peer = find_peer (mesh, link->host);

  if (peer && !peer->blocked)
    record_received (peer);
}

static void
handle_inbound_frame (void *data, struct link *link, const Peer__Frame *frame)
{
  struct mesh *mesh = data;
  struct peer *peer = find_peer (mesh, link->host);

  if (peer && peer->blocked)
    return;
  if (peer)
    record_received (peer);
  if (peer && frame->body_case == PEER__FRAME__BODY_PING)
    {
      peer->leaving = frame->ping->leaving;
      send_pong (peer, frame->ping->sequence);
    }
  if (peer && frame->body_case == PEER__FRAME__BODY_PONG)
    handle_pong (peer, frame->pong);
  mesh->options.handle_frame (mesh->options.data, link->host, frame);
}

static void
handle_inbound_closed (void *data, struct link *link)
{
  struct mesh *mesh = data;
  struct link **slot = &mesh->inbound;

  while (*slot && *slot != link)
    slot = &(*slot)->next;
  if (*slot)
    *slot = link->next;
  link_destroy (link);
}

static void
handle_connection (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct mesh *mesh = watcher->data;
  struct link_identity self = own_identity (mesh);
  struct link_owner owner = { .handle_open = handle_inbound_open,
                              .handle_frame = handle_inbound_frame,
                              .handle_received = handle_inbound_bytes,
                              .handle_closed = handle_inbound_closed,
                              .budget = &mesh->budget,
                              .data = mesh };
  struct link *link;
  int fd = accept4 (mesh->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  if (fd < 0)
    return;
  link = link_accept (loop, fd, mesh->options.keyring, &self, &owner);
  link->next = mesh->inbound;
  mesh->inbound = link;
}

static bool
is_unheard (const struct peer *peer, int64_t now_ms)
{
  return peer->unheard_since_ms
         && now_ms - peer->unheard_since_ms >= UNHEARD_MS;
}

/* Reconnects to PEER, pings it, marks it as suspect or closes its idle link,
   as its state requires.  */
static void
tick_peer (struct peer *peer, int64_t now_ms)
{
  if (peer->suspect && now_ms >= peer->reconnect_at_ms && peer->listed
      && !peer->blocked && !peer->link && open_link (peer))
    send_ping (peer);
  if (!peer->link)
    return;
  if (peer->ping_sent_ms && now_ms - peer->ping_sent_ms > SUSPECT_MS)
    mark_suspect (peer, SUSPECT_MS);
  if (!peer->suspect && peer->link_refs == 0
      && now_ms - peer->last_used_ms > LINK_IDLE_MS)
    close_link (peer);
  else if (!peer->mesh->options.has_sparse_pings || peer->ping_sent_ms
           || is_unheard (peer, now_ms))
    send_ping (peer);
}

static void
handle_ping_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct mesh *mesh = watcher->data;
  int64_t now_ms = clock_now_ms ();

  for (struct peer *peer = mesh->peers; peer; peer = peer->next)
    tick_peer (peer, now_ms);
}

static int
listen_on (const struct mesh_options *options, struct error *error)
{
  struct sockaddr_in address;
  char *text
      = xasprintf ("%s:%u", options->listen_address, options->listen_port);
  bool parsed = address_parse (text, &address);
  int enable = 1;
  int fd;

  free (text);
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
  if (parsed && fd >= 0
      && bind (fd, (struct sockaddr *)&address, sizeof address) == 0
      && listen (fd, ACCEPT_BACKLOG) == 0)
    return fd;
  error_set (error, ERROR_SETTINGS, RUN_NOT_RUN,
             "cannot listen for hosts on %s:%u: %s; free the port or set "
             "another \"peer_listen\"",
             options->listen_address, options->listen_port, strerror (errno));
  if (fd >= 0)
    close (fd);
  return -1;
}

/* Starts listening for connections from other hosts.  The strings and the
   keyring in OPTIONS must outlive the mesh.  */
struct mesh *
mesh_create (const struct mesh_options *options, struct error *error)
{
  struct mesh *mesh = xcalloc (1, sizeof *mesh);

  mesh->options = *options;
  mesh->budget.out_limit_bytes = options->max_unsent_bytes
                                     ? options->max_unsent_bytes
                                     : DEFAULT_LINK_BYTES;
  mesh->budget.in_limit_bytes = options->max_unread_bytes
                                    ? options->max_unread_bytes
                                    : DEFAULT_LINK_BYTES;
  mesh->peers_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  mesh->own_address
      = xasprintf ("%s:%u", options->listen_address, options->listen_port);
  mesh->listener = listen_on (options, error);
  if (mesh->listener < 0)
    {
      g_hash_table_destroy (mesh->peers_by_name);
      free (mesh->own_address);
      free (mesh);
      return NULL;
    }
  ev_io_init (&mesh->accept_watcher, handle_connection, mesh->listener,
              EV_READ);
  mesh->accept_watcher.data = mesh;
  ev_io_start (options->loop, &mesh->accept_watcher);
  ev_timer_init (&mesh->ping_timer, handle_ping_timer, PING_MS / 1000.0,
                 PING_MS / 1000.0);
  mesh->ping_timer.data = mesh;
  ev_timer_start (options->loop, &mesh->ping_timer);
  return mesh;
}

static void
peer_destroy (struct peer *peer)
{
  link_destroy (peer->link);
  release_pending (peer);
  free (peer->name);
  free (peer->address);
  free (peer);
}

/* Closes every link and frees the mesh.  MESH may be NULL.  */
void
mesh_destroy (struct mesh *mesh)
{
  if (!mesh)
    return;
  ev_io_stop (mesh->options.loop, &mesh->accept_watcher);
  ev_timer_stop (mesh->options.loop, &mesh->ping_timer);
  close (mesh->listener);
  while (mesh->inbound)
    {
      struct link *link = mesh->inbound;

      mesh->inbound = link->next;
      link_destroy (link);
    }
  while (mesh->peers)
    {
      struct peer *peer = mesh->peers;

      mesh->peers = peer->next;
      peer_destroy (peer);
    }
  g_hash_table_destroy (mesh->peers_by_name);
  free (mesh->own_address);
  free (mesh);
}

/* Forgets the hosts that are not listed, so that hosts which were replaced do
   not add up.  */
static void
forget_unlisted_peers (struct mesh *mesh)
{
  struct peer **slot = &mesh->peers;

  while (*slot)
    {
      struct peer *peer = *slot;

      if (!peer->listed)
        close_link (peer);
      if (peer->listed || peer->blocked || peer->link_refs > 0)
        {
          slot = &peer->next;
          continue;
        }
      *slot = peer->next;
      g_hash_table_remove (mesh->peers_by_name, peer->name);
      peer_destroy (peer);
    }
}

/* Replaces the host list.  A host that is no longer listed gets no further
   frames; one with a new address gets a new link.  */
void
mesh_set_hosts (struct mesh *mesh, const struct mesh_host *hosts, size_t count)
{
  int64_t now_ms = clock_now_ms ();

  for (struct peer *peer = mesh->peers; peer; peer = peer->next)
    peer->listed = peer->self_announced
                   && now_ms - peer->last_received_ms < UNLISTED_MS;
  for (size_t i = 0; i < count; i++)
    {
      struct peer *peer;

      if (strcmp (hosts[i].name, mesh->options.host) == 0)
        continue;
      peer = find_peer (mesh, hosts[i].name);
      if (!peer)
        peer = add_peer (mesh, hosts[i].name);
      peer->listed = true;
      peer->self_announced = false;
      if (peer->address && strcmp (peer->address, hosts[i].address) == 0)
        continue;
      close_link (peer);
      free (peer->address);
      peer->address = xstrdup (hosts[i].address);
      peer->suspect = false;
    }
  forget_unlisted_peers (mesh);
}

/* Returns HOST with a link that is open or opening, or NULL if it is unknown,
   blocked or not reachable now.  */
static struct peer *
prepare_send (struct mesh *mesh, const char *host)
{
  struct peer *peer = find_peer (mesh, host);

  if (!peer || !peer->listed || peer->blocked)
    return NULL;
  if (peer->suspect && !peer->link && clock_now_ms () < peer->reconnect_at_ms)
    return NULL;
  if (!open_link (peer))
    return NULL;
  peer->last_used_ms = clock_now_ms ();
  if (!peer->unheard_since_ms)
    peer->unheard_since_ms = peer->last_used_ms;
  if (!mesh->options.has_sparse_pings && !peer->ping_sent_ms)
    send_ping (peer);
  return peer;
}

/* Sends FRAME to HOST.  Returns false when HOST is unknown, blocked or not
   reachable now, or too many frames wait.  True does not guarantee delivery.
   */
bool
mesh_send (struct mesh *mesh, const char *host, const Peer__Frame *frame)
{
  struct peer *peer = prepare_send (mesh, host);

  return peer && send_frame (peer, frame);
}

/* Sends a frame of KIND that is packed already.  Returns as mesh_send does. */
bool
mesh_send_packed (struct mesh *mesh, const char *host, unsigned kind,
                  const struct buf *packed)
{
  struct peer *peer = prepare_send (mesh, host);

  return peer
         && send_packed (peer, kind, (const uint8_t *)packed->data,
                         packed->len);
}

/* Sends a large packed frame.  handle_bulk_end is called once it has left this
   host or is lost; until then, HOST takes no other.  Returns false, without
   that call, if it cannot be sent.  */
bool
mesh_send_bulk (struct mesh *mesh, const char *host, unsigned kind,
                const struct buf *packed)
{
  struct peer *peer = prepare_send (mesh, host);

  if (!peer || peer->has_bulk
      || !send_packed (peer, kind, (const uint8_t *)packed->data, packed->len))
    return false;
  peer->has_bulk = true;
  peer->bulk_end
      = peer->link->state == LINK_OPEN ? peer->link->queued_bytes : 0;
  return true;
}

/* Returns whether HOST is unknown, blocked or has not answered recent
   pings.  */
bool
mesh_is_suspect (const struct mesh *mesh, const char *host)
{
  const struct peer *peer = find_peer (mesh, host);

  return !peer || !peer->listed || peer->blocked || peer->suspect;
}

/* Returns when the last frame from HOST arrived, or 0 when none has.  */
int64_t
mesh_last_received_ms (const struct mesh *mesh, const char *host)
{
  const struct peer *peer = find_peer (mesh, host);

  return peer ? peer->last_received_ms : 0;
}

/* Returns whether HOST has announced that it is stopping.  */
bool
mesh_is_leaving (const struct mesh *mesh, const char *host)
{
  const struct peer *peer = find_peer (mesh, host);

  return peer && peer->leaving;
}

/* Keeps the link to HOST open and monitored until a matching release.  */
void
mesh_acquire_link (struct mesh *mesh, const char *host)
{
  struct peer *peer = find_peer (mesh, host);

  if (peer)
    peer->link_refs++;
}

/* Releases one reference to the link to HOST.  */
void
mesh_release_link (struct mesh *mesh, const char *host)
{
  struct peer *peer = find_peer (mesh, host);

  if (peer && peer->link_refs > 0)
    peer->link_refs--;
}

/* Sets the status that this host reports in its pings and pongs.  */
void
mesh_set_status (struct mesh *mesh, uint64_t config_revision, bool leaving)
{
  mesh->config_revision = config_revision;
  mesh->leaving = leaving;
}

/* Pings HOST, which also sends it this host's status.  */
void
mesh_ping (struct mesh *mesh, const char *host)
{
  struct peer *peer = find_peer (mesh, host);

  if (!peer || !peer->listed || peer->blocked || !open_link (peer))
    return;
  peer->last_used_ms = clock_now_ms ();
  send_ping (peer);
}

/* Blocks or unblocks all traffic with HOST, so that tests can simulate a
   network partition.  */
void
mesh_block (struct mesh *mesh, const char *host, bool blocked)
{
  struct peer *peer = find_peer (mesh, host);

  if (!peer)
    peer = add_peer (mesh, host);
  if (peer->blocked == blocked)
    return;
  peer->blocked = blocked;
  if (!blocked)
    {
      peer->suspect = false;
      return;
    }
  close_link (peer);
  for (struct link *link = mesh->inbound; link; link = link->next)
    if (link->host && strcmp (link->host, host) == 0)
      shutdown (link->fd, SHUT_RDWR);
  mark_suspect (peer, RECONNECT_DELAY_MS);
}

/* Appends, in the Prometheus text format, how many frames and bytes of each
   kind this host has sent, how many hosts it knows and what its links hold.
   */
void
mesh_to_text (const struct mesh *mesh, struct buf *text)
{
  buf_printf (text, "galenashore_peer_hosts %u\n",
              g_hash_table_size (mesh->peers_by_name));
  buf_printf (text, "galenashore_link_out_bytes %zu\n",
              mesh->budget.out_bytes);
  buf_printf (text, "galenashore_link_out_limit_bytes %zu\n",
              mesh->budget.out_limit_bytes);
  buf_printf (text, "galenashore_link_in_bytes %zu\n", mesh->budget.in_bytes);
  buf_printf (text, "galenashore_link_in_limit_bytes %zu\n",
              mesh->budget.in_limit_bytes);
  for (unsigned i = 1; i < MAX_FRAME_KINDS; i++)
    {
      const ProtobufCFieldDescriptor *field
          = protobuf_c_message_descriptor_get_field (&peer__frame__descriptor,
                                                     i);

      if (!field)
        continue;
      buf_printf (text, "galenashore_peer_frames{kind=\"%s\"} %llu\n",
                  field->name, (unsigned long long)mesh->sent[i].frames);
      buf_printf (text, "galenashore_peer_frame_bytes{kind=\"%s\"} %llu\n",
                  field->name, (unsigned long long)mesh->sent[i].bytes);
    }
}

/* Returns the state of every peer as a new reference.  */
json_t *
mesh_to_json (const struct mesh *mesh)
{
  json_t *list = json_array ();

  for (const struct peer *peer = mesh->peers; peer; peer = peer->next)
    json_array_append_new (
        list, json_pack ("{s:s, s:s?, s:b, s:b, s:b, s:b, s:b, s:I}", "host",
                         peer->name, "address", peer->address, "listed",
                         peer->listed, "linked",
                         peer->link && peer->link->state == LINK_OPEN,
                         "suspect", peer->suspect, "leaving", peer->leaving,
                         "blocked", peer->blocked, "backlog_bytes",
                         (json_int_t)backlog_bytes (peer)));
  return list;
}
