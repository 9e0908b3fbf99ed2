#include "peer/link.h"
#include "common/counters.h"
#include "common/log.h"
#include "common/memory.h"
#include <errno.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  LENGTH_BYTES = 4,
  MAX_HELLO_BYTES = 1024,
  MAX_FRAME_BYTES = 32 * 1024 * 1024,
  /* What a buffer keeps once it is empty.  Larger buffers are freed, so that a
     link does not hold the memory of its largest frame. */
  KEPT_BYTES = 16 * 1024,
  /* Larger frames leave a part of the budget to smaller ones, such as pings,
     so that hosts are not taken for silent while large ones wait. */
  SMALL_FRAME_BYTES = 4 * 1024,
  LARGE_FRAMES_PERCENT = 75,
  READ_BYTES = 64 * 1024,
  UNACKED_TIMEOUT_MS = 1500, /* close and reconnect instead of waiting for
                                TCP's growing retransmission delays */
};

static const double HELLO_TIMEOUT_S = 2.0;

static void
close_link (struct link *link)
{
  link->owner.handle_closed (link->owner.data, link);
}

/* Adds BYTES, which may be negative, to what is held for other hosts.  */
void
link_budget_add_out (struct link_budget *budget, int64_t bytes)
{
  budget->out_bytes += (size_t)bytes;
  memory_add (MEMORY_LINKS_OUT, bytes);
}

/* Whether a frame of LEN bytes, for which a buffer grows by GROWTH bytes, may
   be queued.  */
bool
link_budget_admits (const struct link_budget *budget, size_t len,
                    size_t growth)
{
  size_t limit_bytes = len <= SMALL_FRAME_BYTES ? budget->out_limit_bytes
                                                : budget->out_limit_bytes / 100
                                                      * LARGE_FRAMES_PERCENT;

  return growth == 0 || budget->out_bytes + growth <= limit_bytes;
}

/* Accounts for the memory that the link's buffers hold.  */
static void
update_accounts (struct link *link)
{
  struct link_budget *budget = link->owner.budget;
  int64_t in_growth = (int64_t)link->in.capacity - (int64_t)link->in_bytes;

  budget->in_bytes += (size_t)in_growth;
  memory_add (MEMORY_LINKS_IN, in_growth);
  link_budget_add_out (budget,
                       (int64_t)link->out.capacity - (int64_t)link->out_bytes);
  link->in_bytes = link->in.capacity;
  link->out_bytes = link->out.capacity;
}

/* Returns what an empty buffer may keep: nothing while the buffers of all
   links hold more than half of their limit.  */
static size_t
kept_bytes (size_t used_bytes, size_t limit_bytes)
{
  return used_bytes > limit_bytes / 2 ? 0 : KEPT_BYTES;
}

/* Frees the buffers that are empty and large.  */
static void
trim_buffers (struct link *link)
{
  const struct link_budget *budget = link->owner.budget;

  if (link->in.len == 0
      && link->in.capacity
             > kept_bytes (budget->in_bytes, budget->in_limit_bytes))
    buf_release (&link->in);
  if (link->out.len == 0
      && link->out.capacity
             > kept_bytes (budget->out_bytes, budget->out_limit_bytes))
    buf_release (&link->out);
  update_accounts (link);
}

static void
append_length (struct buf *out, size_t len)
{
  uint32_t value = htonl ((uint32_t)len);

  buf_append (out, &value, sizeof value);
}

static void
update_write_watcher (struct link *link)
{
  if (link->out.len > 0 || link->state == LINK_CONNECTING)
    ev_io_start (link->loop, &link->writable);
  else
    ev_io_stop (link->loop, &link->writable);
}

static void
append_hello (struct link *link)
{
  Peer__Hello hello = PEER__HELLO__INIT;
  uint8_t packed[MAX_HELLO_BYTES];
  uint8_t mac[SEAL_MAC_BYTES];
  size_t len;

  hello.host = (char *)(uintptr_t)link->self.host;
  hello.data_centre = (char *)(uintptr_t)link->self.data_centre;
  hello.process = link->self.process;
  hello.peer_address = (char *)(uintptr_t)link->self.address;
  hello.nonce.data = link->own_nonce;
  hello.nonce.len = sizeof link->own_nonce;
  if (peer__hello__get_packed_size (&hello) > sizeof packed)
    return;
  len = peer__hello__pack (&hello, packed);
  seal_compute_mac (&link->keyring->keys[0], packed, len, mac);
  append_length (&link->out, len + sizeof mac);
  buf_append (&link->out, mac, sizeof mac);
  buf_append (&link->out, packed, len);
  link->queued_bytes += LENGTH_BYTES + len + sizeof mac;
  update_accounts (link);
  update_write_watcher (link);
}

/* Returns the fleet key that authenticates a hello, or NULL for none.  */
static const struct keyring_key *
find_mac_key (const struct link *link, const uint8_t *data, size_t len)
{
  for (uint32_t i = 0; i < link->keyring->count; i++)
    if (seal_verify_mac (&link->keyring->keys[i], data + SEAL_MAC_BYTES,
                         len - SEAL_MAC_BYTES, data))
      return &link->keyring->keys[i];
  return NULL;
}

/* Verifies the peer's hello and opens the link.  The session key derives from
   the fleet key that the initiator used, so that both sides agree while a new
   fleet key is being rolled out.  */
static bool
process_hello (struct link *link, const uint8_t *data, size_t len)
{
  const struct keyring_key *key;
  Peer__Hello *hello;

  if (len < SEAL_MAC_BYTES || len > MAX_HELLO_BYTES + SEAL_MAC_BYTES)
    return false;
  key = find_mac_key (link, data, len);
  if (!key)
    return false;
  hello = peer__hello__unpack (NULL, len - SEAL_MAC_BYTES,
                               data + SEAL_MAC_BYTES);
  if (!hello)
    return false;
  if (hello->nonce.len != SEAL_NONCE_BYTES)
    {
      peer__hello__free_unpacked (hello, NULL);
      return false;
    }
  link->host = xstrdup (hello->host);
  link->address = xstrdup (hello->peer_address);
  link->process = hello->process;
  if (link->initiator)
    seal_init (&link->seal, &link->keyring->keys[0], link->own_nonce,
               hello->nonce.data);
  else
    seal_init (&link->seal, key, hello->nonce.data, link->own_nonce);
  peer__hello__free_unpacked (hello, NULL);
  if (!link->initiator)
    append_hello (link);
  link->state = LINK_OPEN;
  ev_timer_stop (link->loop, &link->hello_timer);
  link->owner.handle_open (link->owner.data, link, link->host);
  return true;
}

static bool
process_frame (struct link *link, uint8_t *data, size_t len)
{
  Peer__Frame *frame;
  size_t plain_len;

  if (link->initiator || !seal_decrypt (&link->seal, data, len, &plain_len))
    return false;
  frame = peer__frame__unpack (NULL, plain_len, data);
  if (!frame)
    return false;
  link->owner.handle_frame (link->owner.data, link, frame);
  peer__frame__free_unpacked (frame, NULL);
  return true;
}

/* Processes the message at OFFSET and advances OFFSET past it.  Returns false
   when no complete message is left, or sets OFFSET to SIZE_MAX when the
   message is invalid.  */
static bool
process_next_message (struct link *link, size_t *offset)
{
  uint32_t length;
  uint8_t *body;

  if (link->in.len - *offset < LENGTH_BYTES)
    return false;
  memcpy (&length, link->in.data + *offset, sizeof length);
  length = ntohl (length);
  if (length > MAX_FRAME_BYTES)
    {
      *offset = SIZE_MAX;
      return false;
    }
  if (link->in.len - *offset < LENGTH_BYTES + length)
    return false;
  body = (uint8_t *)link->in.data + *offset + LENGTH_BYTES;
  *offset += LENGTH_BYTES + length;
  if (link->state == LINK_HELLO ? !process_hello (link, body, length)
                                : !process_frame (link, body, length))
    {
      *offset = SIZE_MAX;
      return false;
    }
  return true;
}

/* Processes the complete messages received so far.  Returns false when one is
   invalid and the link must be closed.  */
static bool
process_input (struct link *link)
{
  size_t offset = 0;

  while (process_next_message (link, &offset))
    continue;
  if (offset == SIZE_MAX)
    {
      counter_add (COUNTER_PEER_FRAMES_REFUSED, 1);
      return false;
    }
  buf_consume (&link->in, offset);
  return true;
}

/* Whether the frames that are arriving exceed the memory for them.  The one on
   this link is then lost, as on a broken link.  */
static bool
lacks_memory (const struct link *link)
{
  const struct link_budget *budget = link->owner.budget;

  if (link->in.len <= KEPT_BYTES || budget->in_bytes <= budget->in_limit_bytes)
    return false;
  counter_add (COUNTER_PEER_FRAMES_DROPPED, 1);
  log_write (LOG_WARN, "link", NULL,
             "closed the link from host %s: %zu bytes of frames are arriving, "
             "%zu are allowed",
             link->host ? link->host : "(unknown)", budget->in_bytes,
             budget->in_limit_bytes);
  return true;
}

static void
handle_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct link *link = watcher->data;
  static _Thread_local char chunk[READ_BYTES];
  ssize_t got = recv (link->fd, chunk, sizeof chunk, 0);

  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (got <= 0)
    {
      close_link (link);
      return;
    }
  buf_append (&link->in, chunk, (size_t)got);
  update_accounts (link);
  if (link->state == LINK_OPEN && link->owner.handle_received)
    link->owner.handle_received (link->owner.data, link);
  if (!process_input (link) || lacks_memory (link))
    {
      close_link (link);
      return;
    }
  trim_buffers (link);
}

static bool
flush (struct link *link)
{
  while (link->out.len > 0)
    {
      ssize_t sent
          = send (link->fd, link->out.data, link->out.len, MSG_NOSIGNAL);

      if (sent < 0 && (errno == EAGAIN || errno == EINTR))
        break;
      if (sent <= 0)
        return false;
      buf_consume (&link->out, (size_t)sent);
      link->flushed_bytes += (uint64_t)sent;
    }
  trim_buffers (link);
  update_write_watcher (link);
  return true;
}

static void
handle_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct link *link = watcher->data;
  int socket_error = 0;
  socklen_t size = sizeof socket_error;

  if (link->state == LINK_CONNECTING)
    {
      getsockopt (link->fd, SOL_SOCKET, SO_ERROR, &socket_error, &size);
      if (socket_error)
        {
          close_link (link);
          return;
        }
      link->state = LINK_HELLO;
      append_hello (link);
    }
  if (!flush (link))
    close_link (link);
  else if (link->owner.handle_flushed)
    link->owner.handle_flushed (link->owner.data, link);
}

static void
handle_hello_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  close_link (watcher->data);
}

static struct link *
link_create (struct ev_loop *loop, int fd, bool initiator,
             const struct keyring *keyring, const struct link_identity *self,
             const struct link_owner *owner)
{
  struct link *link = xcalloc (1, sizeof *link);
  int enable = 1;
  unsigned unacked_timeout_ms = UNACKED_TIMEOUT_MS;

  link->fd = fd;
  link->initiator = initiator;
  link->loop = loop;
  link->keyring = keyring;
  link->self = *self;
  link->owner = *owner;
  link->state = initiator ? LINK_CONNECTING : LINK_HELLO;
  randombytes_buf (link->own_nonce, sizeof link->own_nonce);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_timeout_ms,
              sizeof unacked_timeout_ms);
  ev_io_init (&link->readable, handle_readable, fd, EV_READ);
  link->readable.data = link;
  ev_io_init (&link->writable, handle_writable, fd, EV_WRITE);
  link->writable.data = link;
  ev_timer_init (&link->hello_timer, handle_hello_timeout, HELLO_TIMEOUT_S, 0);
  link->hello_timer.data = link;
  ev_io_start (loop, &link->readable);
  ev_timer_start (loop, &link->hello_timer);
  update_write_watcher (link);
  return link;
}

/* Opens a link to ADDRESS.  Returns NULL when the socket cannot be created or
   connected.  */
struct link *
link_connect (struct ev_loop *loop, const struct sockaddr_in *address,
              const struct keyring *keyring, const struct link_identity *self,
              const struct link_owner *owner)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return NULL;
  if (connect (fd, (const struct sockaddr *)address, sizeof *address) != 0
      && errno != EINPROGRESS)
    {
      close (fd);
      return NULL;
    }
  return link_create (loop, fd, true, keyring, self, owner);
}

/* Creates a link on the accepted socket FD and takes ownership of FD.  */
struct link *
link_accept (struct ev_loop *loop, int fd, const struct keyring *keyring,
             const struct link_identity *self, const struct link_owner *owner)
{
  return link_create (loop, fd, false, keyring, self, owner);
}

/* Queues a packed frame on an open link that this host initiated.  Returns
   false when the link is not open, the frame is too large or the host's links
   hold too much.  */
bool
link_send (struct link *link, const uint8_t *packed, size_t len)
{
  size_t queued_len = LENGTH_BYTES + len + SEAL_TAG_BYTES;
  uint8_t *sealed;
  size_t sealed_len;

  if (link->state != LINK_OPEN || !link->initiator
      || len + SEAL_TAG_BYTES > MAX_FRAME_BYTES
      || !link_budget_admits (link->owner.budget, len,
                              buf_capacity_for (&link->out, queued_len)
                                  - link->out.capacity))
    return false;
  sealed = xcalloc (1, len + SEAL_TAG_BYTES);
  sealed_len = seal_encrypt (&link->seal, packed, len, sealed);
  append_length (&link->out, sealed_len);
  buf_append (&link->out, sealed, sealed_len);
  link->queued_bytes += queued_len;
  update_accounts (link);
  free (sealed);
  counter_add (COUNTER_PEER_FRAMES_SENT, 1);
  counter_add (COUNTER_PEER_BYTES_SENT, (int64_t)(LENGTH_BYTES + sealed_len));
  update_write_watcher (link);
  return true;
}

/* Closes the connection and frees the link without calling its owner's
   callbacks.  */
void
link_destroy (struct link *link)
{
  if (!link)
    return;
  ev_io_stop (link->loop, &link->readable);
  ev_io_stop (link->loop, &link->writable);
  ev_timer_stop (link->loop, &link->hello_timer);
  close (link->fd);
  buf_release (&link->in);
  buf_release (&link->out);
  update_accounts (link);
  free (link->host);
  free (link->address);
  free (link);
}
