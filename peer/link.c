#include "peer/link.h"
#include "common/counters.h"
#include "common/log.h"
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
  MAX_BACKLOG_BYTES = 64 * 1024 * 1024,
  READ_BYTES = 64 * 1024,
  UNACKED_MS = 1500, /* then the link is made anew: TCP's own pauses grow */
};

static const double HELLO_TIMEOUT_S = 2.0;

static void
close_link (struct link *link)
{
  link->owner.handle_closed (link->owner.data, link);
}

static void
put_length (struct buf *out, size_t len)
{
  uint32_t value = htonl ((uint32_t)len);

  buf_append (out, &value, sizeof value);
}

static void
want_write (struct link *link)
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
  uint8_t sign[SEAL_SIGN_BYTES];
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
  seal_sign (&link->keyring->keys[0], packed, len, sign);
  put_length (&link->out, len + sizeof sign);
  buf_append (&link->out, sign, sizeof sign);
  buf_append (&link->out, packed, len);
  want_write (link);
}

static const struct keyring_key *
find_signer (const struct link *link, const uint8_t *data, size_t len)
{
  for (uint32_t i = 0; i < link->keyring->count; i++)
    if (seal_verify (&link->keyring->keys[i], data + SEAL_SIGN_BYTES,
                     len - SEAL_SIGN_BYTES, data))
      return &link->keyring->keys[i];
  return NULL;
}

/* The session key is made under the opener's key, so that both sides agree
   while a new fleet key is being brought out.  */
static bool
take_hello (struct link *link, const uint8_t *data, size_t len)
{
  const struct keyring_key *key;
  Peer__Hello *hello;

  if (len < SEAL_SIGN_BYTES || len > MAX_HELLO_BYTES + SEAL_SIGN_BYTES)
    return false;
  key = find_signer (link, data, len);
  if (!key)
    return false;
  hello = peer__hello__unpack (NULL, len - SEAL_SIGN_BYTES,
                               data + SEAL_SIGN_BYTES);
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
  if (link->opener)
    seal_init (&link->seal, &link->keyring->keys[0], link->own_nonce,
               hello->nonce.data);
  else
    seal_init (&link->seal, key, hello->nonce.data, link->own_nonce);
  peer__hello__free_unpacked (hello, NULL);
  if (!link->opener)
    append_hello (link);
  link->state = LINK_OPEN;
  ev_timer_stop (link->loop, &link->hello_timer);
  link->owner.handle_open (link->owner.data, link, link->host);
  return true;
}

static bool
take_frame (struct link *link, uint8_t *data, size_t len)
{
  Peer__Frame *frame;
  size_t plain_len;

  if (link->opener || !seal_decrypt (&link->seal, data, len, &plain_len))
    return false;
  frame = peer__frame__unpack (NULL, plain_len, data);
  if (!frame)
    return false;
  link->owner.handle_frame (link->owner.data, link, frame);
  peer__frame__free_unpacked (frame, NULL);
  return true;
}

static bool
take_next (struct link *link, size_t *offset)
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
  if (link->state == LINK_HELLO ? !take_hello (link, body, length)
                                : !take_frame (link, body, length))
    {
      *offset = SIZE_MAX;
      return false;
    }
  return true;
}

/* Returns false where the link must close.  */
static bool
take_input (struct link *link)
{
  size_t offset = 0;

  while (take_next (link, &offset))
    continue;
  if (offset == SIZE_MAX)
    {
      counter_add (COUNTER_PEER_FRAMES_REFUSED, 1);
      return false;
    }
  buf_consume (&link->in, offset);
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
  if (!take_input (link))
    close_link (link);
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
    }
  want_write (link);
  return true;
}

static void
handle_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct link *link = watcher->data;
  int failure = 0;
  socklen_t size = sizeof failure;

  if (link->state == LINK_CONNECTING)
    {
      getsockopt (link->fd, SOL_SOCKET, SO_ERROR, &failure, &size);
      if (failure)
        {
          close_link (link);
          return;
        }
      link->state = LINK_HELLO;
      append_hello (link);
    }
  if (!flush (link))
    close_link (link);
}

static void
handle_hello_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  close_link (watcher->data);
}

static struct link *
link_create (struct ev_loop *loop, int fd, bool opener,
             const struct keyring *keyring, const struct link_identity *self,
             const struct link_owner *owner)
{
  struct link *link = xcalloc (1, sizeof *link);
  int on = 1;
  unsigned unacked_ms = UNACKED_MS;

  link->fd = fd;
  link->opener = opener;
  link->loop = loop;
  link->keyring = keyring;
  link->self = *self;
  link->owner = *owner;
  link->state = opener ? LINK_CONNECTING : LINK_HELLO;
  randombytes_buf (link->own_nonce, sizeof link->own_nonce);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
              sizeof unacked_ms);
  ev_io_init (&link->readable, handle_readable, fd, EV_READ);
  link->readable.data = link;
  ev_io_init (&link->writable, handle_writable, fd, EV_WRITE);
  link->writable.data = link;
  ev_timer_init (&link->hello_timer, handle_hello_timeout, HELLO_TIMEOUT_S, 0);
  link->hello_timer.data = link;
  ev_io_start (loop, &link->readable);
  ev_timer_start (loop, &link->hello_timer);
  want_write (link);
  return link;
}

/* Opens a link to ADDRESS; NULL where the socket cannot be made.  */
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

/* Takes over the accepted socket FD.  */
struct link *
link_accept (struct ev_loop *loop, int fd, const struct keyring *keyring,
             const struct link_identity *self, const struct link_owner *owner)
{
  return link_create (loop, fd, false, keyring, self, owner);
}

/* Queues a packed frame on an open link that this host opened.  False where
   it cannot be queued.  */
bool
link_send (struct link *link, const uint8_t *packed, size_t len)
{
  uint8_t *sealed;
  size_t sealed_len;

  if (link->state != LINK_OPEN || !link->opener
      || len + SEAL_TAG_BYTES > MAX_FRAME_BYTES
      || link->out.len + len > MAX_BACKLOG_BYTES)
    return false;
  sealed = xcalloc (1, len + SEAL_TAG_BYTES);
  sealed_len = seal_encrypt (&link->seal, packed, len, sealed);
  put_length (&link->out, sealed_len);
  buf_append (&link->out, sealed, sealed_len);
  free (sealed);
  counter_add (COUNTER_PEER_FRAMES_SENT, 1);
  counter_add (COUNTER_PEER_BYTES_SENT, (int64_t)(LENGTH_BYTES + sealed_len));
  want_write (link);
  return true;
}

/* Closes the connection and frees the link, without calling its owner.  */
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
  free (link->host);
  free (link->address);
  free (link);
}
