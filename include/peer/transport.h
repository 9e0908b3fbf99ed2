/* How modules reach other hosts: over the mesh, or simulated in tests. */
#ifndef GALENA_PEER_TRANSPORT_H
#define GALENA_PEER_TRANSPORT_H

#include "peer/mesh.h"

struct transport;

struct transport_vtable
{
  /* Returns false if the frame cannot be sent; it may be lost later. */
  bool (*send) (struct transport *transport, const char *host,
                const Peer__Frame *frame);
  /* Makes HOST answer, if it can. */
  void (*ping) (struct transport *transport, const char *host);
  /* When the last frame from HOST arrived, or 0 if none has. */
  int64_t (*last_received_ms) (struct transport *transport, const char *host);
};

struct transport
{
  const struct transport_vtable *vtable;
};

struct mesh_transport
{
  struct transport base; /* first member */
  struct mesh *mesh;
};

void mesh_transport_init (struct mesh_transport *transport, struct mesh *mesh);

#endif
