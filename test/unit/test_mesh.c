#include "peer/mesh.h"
#include "suites.h"
#include <ev.h>
#include <string.h>

enum
{
  MAX_LOOP_ITERATIONS = 20000,
};

/* A mesh in this process, with the limit asks that it received. */
struct node
{
  struct mesh *mesh;
  struct keyring keyring;
  char from[32];  /* sender of the last limit ask */
  uint64_t nonce; /* of the last limit ask */
  int frames;     /* limit asks received */
  int down_events;
};

static void
handle_frame (void *data, const char *host, const Peer__Frame *frame)
{
  struct node *node = data;

  if (frame->body_case != PEER__FRAME__BODY_LIMIT_ASK)
    return;
  node->frames++;
  node->nonce = frame->limit_ask->nonce;
  strncpy (node->from, host, sizeof node->from - 1);
}

static void
handle_down (void *data, const char *host)
{
  ((struct node *)data)->down_events++;
}

static void
open_node (struct node *node, struct ev_loop *loop, const char *name,
           uint16_t port, uint8_t key)
{
  struct mesh_host hosts[]
      = { { "a", "127.0.0.1:23901" }, { "b", "127.0.0.1:23902" } };
  struct mesh_options options = { .loop = loop,
                                  .host = name,
                                  .data_centre = "dc",
                                  .process = port,
                                  .listen_address = "127.0.0.1",
                                  .listen_port = port,
                                  .keyring = &node->keyring,
                                  .handle_frame = handle_frame,
                                  .handle_down = handle_down,
                                  .data = node };
  struct error error;

  memset (node, 0, sizeof *node);
  node->keyring.count = 1;
  node->keyring.keys[0].id = 1;
  memset (node->keyring.keys[0].secret, key, KEYRING_KEY_BYTES);
  node->mesh = mesh_create (&options, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (node->mesh);
  mesh_set_hosts (node->mesh, hosts, 2);
}

static bool
send_nonce (struct node *node, const char *host, uint64_t nonce)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LimitAsk ask = PEER__LIMIT_ASK__INIT;

  ask.nonce = nonce;
  frame.body_case = PEER__FRAME__BODY_LIMIT_ASK;
  frame.limit_ask = &ask;
  return mesh_send (node->mesh, host, &frame);
}

static void
test_frames_arrive_in_order (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct node a;
  struct node b;

  open_node (&a, loop, "a", 23901, 7);
  open_node (&b, loop, "b", 23902, 7);
  for (uint64_t i = 1; i <= 100; i++)
    CU_ASSERT_TRUE (send_nonce (&a, "b", i));
  for (int i = 0; i < MAX_LOOP_ITERATIONS && b.frames < 100; i++)
    ev_run (loop, EVRUN_ONCE);
  CU_ASSERT_EQUAL (b.frames, 100);
  CU_ASSERT_EQUAL (b.nonce, 100);
  CU_ASSERT_STRING_EQUAL (b.from, "a");
  CU_ASSERT_FALSE (send_nonce (&a, "nobody", 1));
  mesh_destroy (a.mesh);
  mesh_destroy (b.mesh);
  ev_loop_destroy (loop);
}

static void
test_wrong_fleet_key_is_rejected (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct node a;
  struct node b;

  open_node (&a, loop, "a", 23901, 7);
  open_node (&b, loop, "b", 23902, 8);
  send_nonce (&a, "b", 1);
  for (int i = 0; i < MAX_LOOP_ITERATIONS && a.down_events == 0; i++)
    ev_run (loop, EVRUN_ONCE);
  CU_ASSERT_EQUAL (a.down_events, 1);
  CU_ASSERT_EQUAL (b.frames, 0);
  CU_ASSERT_TRUE (mesh_is_suspect (a.mesh, "b"));
  mesh_destroy (a.mesh);
  mesh_destroy (b.mesh);
  ev_loop_destroy (loop);
}

static void
test_blocked_host_gets_no_frames (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct node a;
  struct node b;

  open_node (&a, loop, "a", 23901, 7);
  open_node (&b, loop, "b", 23902, 7);
  mesh_block (a.mesh, "b", true);
  CU_ASSERT_FALSE (send_nonce (&a, "b", 1));
  CU_ASSERT_TRUE (mesh_is_suspect (a.mesh, "b"));
  mesh_block (a.mesh, "b", false);
  CU_ASSERT_TRUE (send_nonce (&a, "b", 2));
  for (int i = 0; i < MAX_LOOP_ITERATIONS && b.frames < 1; i++)
    ev_run (loop, EVRUN_ONCE);
  CU_ASSERT_EQUAL (b.nonce, 2);
  mesh_destroy (a.mesh);
  mesh_destroy (b.mesh);
  ev_loop_destroy (loop);
}

CU_TestInfo mesh_tests[]
    = { { "frames arrive in order", test_frames_arrive_in_order },
        { "a host with another fleet key is rejected",
          test_wrong_fleet_key_is_rejected },
        { "no frames are sent to a blocked host",
          test_blocked_host_gets_no_frames },
        CU_TEST_INFO_NULL };
