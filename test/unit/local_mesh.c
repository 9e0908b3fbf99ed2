#include "local_mesh.h"
#include <CUnit/CUnit.h>

static void
ignore_down (void *data, const char *host)
{
}

/* Opens a mesh that listens on 127.0.0.1.  Fails the test if it cannot.  */
struct mesh *
local_mesh_open (const struct local_mesh_options *options)
{
  struct mesh_options mesh_options
      = { .loop = options->loop,
          .host = options->name,
          .data_centre = "dc",
          .process = options->port,
          .listen_address = "127.0.0.1",
          .listen_port = options->port,
          .keyring = options->keyring,
          .has_sparse_pings = options->has_sparse_pings,
          .max_unsent_bytes = options->max_unsent_bytes,
          .handle_frame = options->handle_frame,
          .handle_down
          = options->handle_down ? options->handle_down : ignore_down,
          .data = options->data };
  struct error error;
  struct mesh *mesh = mesh_create (&mesh_options, &error);

  CU_ASSERT_PTR_NOT_NULL_FATAL (mesh);
  return mesh;
}
