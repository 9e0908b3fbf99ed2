#include "peer/transport.h"

static struct mesh *
mesh_of (struct transport *transport)
{
  return ((struct mesh_transport *)(void *)transport)->mesh;
}

static bool
send_over_mesh (struct transport *transport, const char *host,
                const Peer__Frame *frame)
{
  return mesh_send (mesh_of (transport), host, frame);
}

static void
ping_over_mesh (struct transport *transport, const char *host)
{
  mesh_ping (mesh_of (transport), host);
}

static int64_t
last_received_over_mesh (struct transport *transport, const char *host)
{
  return mesh_last_received_ms (mesh_of (transport), host);
}

/* Initializes a transport over MESH, which outlives it.  */
void
mesh_transport_init (struct mesh_transport *transport, struct mesh *mesh)
{
  static const struct transport_vtable vtable
      = { .send = send_over_mesh,
          .ping = ping_over_mesh,
          .last_received_ms = last_received_over_mesh };

  transport->base.vtable = &vtable;
  transport->mesh = mesh;
}
