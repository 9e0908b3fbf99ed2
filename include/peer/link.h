/* One TCP connection between two hosts.  Each side sends a hello message;
   after that only the initiator sends frames. */
#ifndef GALENA_PEER_LINK_H
#define GALENA_PEER_LINK_H

#include "common/buf.h"
#include "peer/peer.pb-c.h"
#include "peer/seal.h"
#include <ev.h>
#include <netinet/in.h>

enum link_state
{
  LINK_CONNECTING,
  LINK_HELLO, /* waiting for the peer's hello */
  LINK_OPEN,
};

struct link;

/* Bounds of what the links of a host hold in sum.  Shared by its links. */
struct link_budget
{
  size_t out_limit_bytes; /* for frames that other hosts have not read */
  size_t in_limit_bytes;  /* for frames that have not arrived as a whole */
  size_t out_bytes;
  size_t in_bytes;
};

/* What a host states about itself in its hello. */
struct link_identity
{
  const char *host;
  const char *data_centre;
  const char *address; /* "IP:port" of its listener for hosts */
  uint64_t process;
};

/* Callbacks into the owner of a link.  The link must not be used after
   handle_closed. */
struct link_owner
{
  void (*handle_open) (void *data, struct link *link, const char *host);
  void (*handle_frame) (void *data, struct link *link,
                        const Peer__Frame *frame);
  /* Called when bytes have arrived on an open link; may be NULL. */
  void (*handle_received) (void *data, struct link *link);
  /* Called after bytes were written to the socket; may be NULL. */
  void (*handle_flushed) (void *data, struct link *link);
  void (*handle_closed) (void *data, struct link *link);
  struct link_budget *budget;
  void *data;
};

/* Inbound links are owned by the mesh, outbound links by their peer. */
struct link
{
  int fd;
  enum link_state state;
  bool initiator; /* this host opened the connection */
  struct ev_loop *loop;
  ev_io readable;
  ev_io writable;
  ev_timer hello_timer;
  struct buf in;
  struct buf out;
  size_t in_bytes; /* capacities of the buffers, as accounted */
  size_t out_bytes;
  uint64_t queued_bytes;  /* ever appended to the output */
  uint64_t flushed_bytes; /* of them, written to the socket */
  struct seal seal;
  uint8_t own_nonce[SEAL_NONCE_BYTES];
  const struct keyring *keyring;
  struct link_identity self;
  struct link_owner owner;
  char *host;       /* the peer's name; NULL until its hello has arrived */
  char *address;    /* the peer's, from its hello */
  uint64_t process; /* the peer's, from its hello */
  struct link *next;
};

struct link *link_connect (struct ev_loop *loop,
                           const struct sockaddr_in *address,
                           const struct keyring *keyring,
                           const struct link_identity *self,
                           const struct link_owner *owner);
struct link *link_accept (struct ev_loop *loop, int fd,
                          const struct keyring *keyring,
                          const struct link_identity *self,
                          const struct link_owner *owner);
bool link_budget_admits (const struct link_budget *budget, size_t len,
                         size_t growth);
void link_budget_add_out (struct link_budget *budget, int64_t bytes);
bool link_send (struct link *link, const uint8_t *packed, size_t len);
void link_destroy (struct link *link);

#endif
