#include "local_mesh.h"
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
  int pings;      /* received */
  bool answers;   /* each limit ask with another one */
  int down_events;
};

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
handle_frame (void *data, const char *host, const Peer__Frame *frame)
{
  struct node *node = data;

  node->pings += frame->body_case == PEER__FRAME__BODY_PING;
  if (frame->body_case != PEER__FRAME__BODY_LIMIT_ASK)
    return;
  if (node->answers)
    send_nonce (node, host, frame->limit_ask->nonce);
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
open_node_with (struct node *node, struct ev_loop *loop, const char *name,
                uint16_t port, uint8_t key, bool has_sparse_pings)
{
  struct mesh_host hosts[]
      = { { "a", "127.0.0.1:23901" }, { "b", "127.0.0.1:23902" } };
  struct local_mesh_options options = { .loop = loop,
                                        .keyring = &node->keyring,
                                        .name = name,
                                        .port = port,
                                        .has_sparse_pings = has_sparse_pings,
                                        .handle_frame = handle_frame,
                                        .handle_down = handle_down,
                                        .data = node };

  memset (node, 0, sizeof *node);
  node->keyring.count = 1;
  node->keyring.keys[0].id = 1;
  memset (node->keyring.keys[0].secret, key, KEYRING_KEY_BYTES);
  node->mesh = local_mesh_open (&options);
  mesh_set_hosts (node->mesh, hosts, 2);
}

static void
open_node (struct node *node, struct ev_loop *loop, const char *name,
           uint16_t port, uint8_t key)
{
  open_node_with (node, loop, name, port, key, false);
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

static void
run_for (struct ev_loop *loop, double duration_s)
{
  ev_tstamp until = ev_time () + duration_s;

  while (ev_time () < until)
    {
      ev_sleep (0.002);
      ev_run (loop, EVRUN_NOWAIT);
    }
}

static void
run_until_frames (struct ev_loop *loop, const struct node *node, int frames)
{
  for (int i = 0; i < MAX_LOOP_ITERATIONS && node->frames < frames; i++)
    ev_run (loop, EVRUN_ONCE);
  CU_ASSERT_EQUAL (node->frames, frames);
}

/* A host whose frames are answered, or to which nothing is sent, is not
   pinged; one that does not answer is, and becomes suspect.  */
static void
test_sparse_pings (void)
{
  enum
  {
    FRAMES = 60,
  };
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct node a;
  struct node b;
  int pings;

  open_node_with (&a, loop, "a", 23901, 7, true);
  open_node_with (&b, loop, "b", 23902, 7, true);
  b.answers = true;
  for (int i = 1; i <= FRAMES; i++)
    {
      send_nonce (&a, "b", (uint64_t)i);
      run_until_frames (loop, &a, i);
    }
  /* An answer may be late on a busy machine, but pings do not come with
     frames. */
  CU_ASSERT_TRUE (b.pings < FRAMES / 10);
  pings = b.pings;
  run_for (loop, 0.7);
  CU_ASSERT_EQUAL (b.pings, pings);
  b.answers = false;
  send_nonce (&a, "b", 100);
  for (int i = 0; i < 1000 && b.pings == pings; i++)
    run_for (loop, 0.01);
  CU_ASSERT_TRUE (b.pings > pings);
  CU_ASSERT_FALSE (mesh_is_suspect (a.mesh, "b"));
  mesh_block (b.mesh, "a", true);
  for (int i = 0; i < 1000 && a.down_events == 0; i++)
    {
      send_nonce (&a, "b", 200);
      run_for (loop, 0.02);
    }
  CU_ASSERT_EQUAL (a.down_events, 1);
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
        { "only unheard hosts are pinged", test_sparse_pings },
        CU_TEST_INFO_NULL };
