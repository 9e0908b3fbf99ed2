/* Links to the other hosts: framed protobuf-c over TCP, encrypted and
   authenticated with keys that each link derives from the fleet key.

   A host sends only over links that it opened and receives only over links
   that others opened.  Frames queued on a broken link are lost; callers must
   treat them as lost messages.  */
#ifndef GALENA_PEER_MESH_H
#define GALENA_PEER_MESH_H

#include "common/buf.h"
#include "common/error.h"
#include "peer/peer.pb-c.h"
#include "policy/cursor.h"
#include <ev.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct mesh;

/* What another host costs in memory: in the list, and for the links to it and
   from it while no frame is under way. */
enum
{
  MESH_HOST_BYTES = 512,
  MESH_LINK_BYTES = 36 * 1024,
};

struct mesh_host
{
  const char *name;
  const char *address; /* "IP:port" */
};

typedef void mesh_frame_handler (void *data, const char *host,
                                 const Peer__Frame *frame);
/* Called when HOST stops answering or the link to it breaks. */
typedef void mesh_down_handler (void *data, const char *host);
/* Called once a frame of mesh_send_bulk has left this host or is lost. */
typedef void mesh_bulk_handler (void *data, const char *host);

struct mesh_options
{
  struct ev_loop *loop;
  const char *host;
  const char *data_centre;
  uint64_t process;
  const char *listen_address;
  uint16_t listen_port;
  const struct keyring *keyring; /* must outlive the mesh */
  /* Pings only hosts that have been sent a frame and have not been heard
     since.  Otherwise, all open links are pinged, which also carries the
     status of mesh_set_status. */
  bool has_sparse_pings;
  mesh_frame_handler *handle_frame;
  mesh_down_handler *handle_down;
  mesh_bulk_handler *handle_bulk_end; /* NULL if mesh_send_bulk is not used */
  /* Bounds of what all links hold for frames that other hosts have not read,
     and for frames that have not arrived as a whole; 0 for the default. */
  size_t max_unsent_bytes;
  size_t max_unread_bytes;
  void *data;
};

struct mesh *mesh_create (const struct mesh_options *options,
                          struct error *error);
void mesh_destroy (struct mesh *mesh);
void mesh_set_hosts (struct mesh *mesh, const struct mesh_host *hosts,
                     size_t count);
bool mesh_send (struct mesh *mesh, const char *host, const Peer__Frame *frame);
bool mesh_send_packed (struct mesh *mesh, const char *host, unsigned kind,
                       const struct buf *packed);
bool mesh_send_bulk (struct mesh *mesh, const char *host, unsigned kind,
                     const struct buf *packed);
bool mesh_is_suspect (const struct mesh *mesh, const char *host);
int64_t mesh_last_received_ms (const struct mesh *mesh, const char *host);
bool mesh_is_leaving (const struct mesh *mesh, const char *host);
void mesh_set_status (struct mesh *mesh, uint64_t config_revision,
                      bool leaving);
void mesh_acquire_link (struct mesh *mesh, const char *host);
void mesh_release_link (struct mesh *mesh, const char *host);
void mesh_ping (struct mesh *mesh, const char *host);
void mesh_block (struct mesh *mesh, const char *host, bool blocked);
json_t *mesh_to_json (const struct mesh *mesh);
void mesh_to_text (const struct mesh *mesh, struct buf *text);

#endif
