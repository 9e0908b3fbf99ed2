/* A mesh on the loopback interface, for tests that run hosts in one process.
 */
#ifndef GALENA_TEST_LOCAL_MESH_H
#define GALENA_TEST_LOCAL_MESH_H

#include "peer/mesh.h"

struct local_mesh_options
{
  struct ev_loop *loop;
  const struct keyring *keyring; /* outlives the mesh */
  const char *name;              /* of the host; outlives the mesh */
  uint16_t port;
  bool has_sparse_pings;
  size_t max_unsent_bytes; /* 0 for the default */
  mesh_frame_handler *handle_frame;
  mesh_down_handler *handle_down; /* may be NULL */
  void *data;
};

struct mesh *local_mesh_open (const struct local_mesh_options *options);

#endif
