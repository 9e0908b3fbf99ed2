#include "allocated.h"
#include "common/id.h"
#include "common/memory.h"
#include "local_mesh.h"
#include "suites.h"
#include <ev.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  FRAME_BYTES = 1024 * 1024,
  SMALL_BYTES = 64 * 1024,
  MAX_FRAMES = 1024,
  MAX_LOOP_ITERATIONS = 20000,
  LISTED_HOSTS = 20,
  REPLACEMENTS = 5,
  OPEN_MS = 5000, /* limit for the opening of links */
  HOST_MEMORY_BYTES = 88 * 1000 * 1000,
  LINK_MEMORY_PERCENT = 12, /* of it, for what hosts have not read */
  LINK_BYTES = HOST_MEMORY_BYTES / 100 * LINK_MEMORY_PERCENT,
  IDLE_LINK_BYTES = 128 * 1024, /* of a link on which nothing is under way */
};

/* Two meshes, each on its own loop, so that one of them can stop reading. */
struct node
{
  struct ev_loop *loop;
  struct mesh *mesh;
  struct keyring keyring;
  size_t received_bytes;
};

static void
handle_frame (void *data, const char *host, const Peer__Frame *frame)
{
  struct node *node = data;

  if (frame->body_case == PEER__FRAME__BODY_CALL_DATA)
    node->received_bytes += frame->call_data->data.len;
}

static void
node_open (struct node *node, const char *name, uint16_t port)
{
  struct mesh_host hosts[]
      = { { "a", "127.0.0.1:23905" }, { "b", "127.0.0.1:23906" } };
  struct local_mesh_options options = { .keyring = &node->keyring,
                                        .name = name,
                                        .port = port,
                                        .has_sparse_pings = true,
                                        .max_unsent_bytes = LINK_BYTES,
                                        .handle_frame = handle_frame,
                                        .data = node };

  *node = (struct node){ .loop = ev_loop_new (EVFLAG_AUTO) };
  options.loop = node->loop;
  node->keyring.count = 1;
  node->keyring.keys[0].id = 1;
  memset (node->keyring.keys[0].secret, 7, KEYRING_KEY_BYTES);
  node->mesh = local_mesh_open (&options);
  mesh_set_hosts (node->mesh, hosts, 2);
}

static void
node_close (struct node *node)
{
  mesh_destroy (node->mesh);
  ev_loop_destroy (node->loop);
}

static void
send_bytes (struct node *from, const char *to, size_t len)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__CallData data = PEER__CALL_DATA__INIT;

  data.data.data = calloc (1, len);
  data.data.len = len;
  frame.body_case = PEER__FRAME__BODY_CALL_DATA;
  frame.call_data = &data;
  mesh_send (from->mesh, to, &frame);
  free (data.data.data);
}

static void
run_both (struct node *a, struct node *b)
{
  ev_run (a->loop, EVRUN_NOWAIT);
  ev_run (b->loop, EVRUN_NOWAIT);
}

/* Opens a's link to b.  */
static void
open_link (struct node *a, struct node *b)
{
  int64_t until_ms = clock_now_ms () + OPEN_MS;

  send_bytes (a, "b", 1);
  while (b->received_bytes == 0 && clock_now_ms () < until_ms)
    run_both (a, b);
  CU_ASSERT_EQUAL (b->received_bytes, 1);
}

/* Guards against links that keep the memory of the largest frame that they
   ever carried, in either direction.  */
static void
test_buffers_of_idle_links (void)
{
  struct node a;
  struct node b;

  node_open (&a, "a", 23905);
  node_open (&b, "b", 23906);
  open_link (&a, &b);
  send_bytes (&a, "b", FRAME_BYTES);
  for (int i = 0; i < MAX_LOOP_ITERATIONS && b.received_bytes < FRAME_BYTES;
       i++)
    run_both (&a, &b);
  CU_ASSERT_EQUAL (b.received_bytes, 1 + FRAME_BYTES);
  run_both (&a, &b);
  CU_ASSERT_TRUE (memory_used (MEMORY_LINKS_OUT) <= IDLE_LINK_BYTES);
  CU_ASSERT_TRUE (memory_used (MEMORY_LINKS_IN) <= IDLE_LINK_BYTES);
  node_close (&a);
  node_close (&b);
}

/* Guards against hosts that do not read and fill the memory of those that send
   to them.  What is sent beyond the links' share of the memory is lost.  */
static void
test_host_that_does_not_read (void)
{
  struct node a;
  struct node b;

  node_open (&a, "a", 23905);
  node_open (&b, "b", 23906);
  open_link (&a, &b);
  for (int i = 0; i < MAX_FRAMES; i++)
    {
      send_bytes (&a, "b", SMALL_BYTES);
      ev_run (a.loop, EVRUN_NOWAIT);
    }
  CU_ASSERT_TRUE (memory_used (MEMORY_LINKS_OUT) <= LINK_BYTES);
  node_close (&a);
  node_close (&b);
  CU_ASSERT_EQUAL (memory_used (MEMORY_LINKS_OUT), 0);
  CU_ASSERT_EQUAL (memory_used (MEMORY_LINKS_IN), 0);
}

/* Guards against a host that is taken for silent while a large frame of it
   arrives.  */
static void
test_part_of_a_frame_is_heard (void)
{
  struct node a;
  struct node b;
  int64_t sent_ms;

  node_open (&a, "a", 23905);
  node_open (&b, "b", 23906);
  open_link (&a, &b);
  ev_sleep (0.02);
  sent_ms = clock_now_ms ();
  CU_ASSERT_TRUE (mesh_last_received_ms (b.mesh, "a") < sent_ms);
  send_bytes (&a, "b", FRAME_BYTES);
  for (int i = 0; i < MAX_LOOP_ITERATIONS
                  && mesh_last_received_ms (b.mesh, "a") < sent_ms;
       i++)
    run_both (&a, &b);
  CU_ASSERT_TRUE (mesh_last_received_ms (b.mesh, "a") >= sent_ms);
  CU_ASSERT_EQUAL (b.received_bytes, 1);
  node_close (&a);
  node_close (&b);
}

static size_t
count_hosts (const struct mesh *mesh)
{
  json_t *hosts = mesh_to_json (mesh);
  size_t count = json_array_size (hosts);

  json_decref (hosts);
  return count;
}

/* Guards against a list of hosts that grows with each host that was replaced
   by one of another name.  */
static void
test_replaced_hosts (void)
{
  struct node a;
  char names[LISTED_HOSTS][16];
  struct mesh_host hosts[LISTED_HOSTS];

  node_open (&a, "a", 23905);
  for (int round = 0; round < REPLACEMENTS; round++)
    {
      for (int i = 0; i < LISTED_HOSTS; i++)
        {
          snprintf (names[i], sizeof names[i], "h%d-%d", i, round);
          hosts[i] = (struct mesh_host){ names[i], "127.0.0.1:23906" };
        }
      mesh_set_hosts (a.mesh, hosts, LISTED_HOSTS);
      CU_ASSERT_EQUAL (count_hosts (a.mesh), LISTED_HOSTS);
    }
  node_close (&a);
}

/* Guards against a host whose price in memory is not known: one that is listed
   must cost at most MESH_HOST_BYTES, and the links to it and from it, once
   large frames have passed, MESH_LINK_BYTES more.  */
static void
test_price_of_a_host (void)
{
  struct node a;
  struct node b;
  char names[LISTED_HOSTS][16];
  struct mesh_host hosts[LISTED_HOSTS];
  int64_t before_bytes;

  node_open (&a, "a", 23905);
  before_bytes = allocated_bytes ();
  for (int i = 0; i < LISTED_HOSTS; i++)
    {
      snprintf (names[i], sizeof names[i], "entry-host-%d", i);
      hosts[i] = (struct mesh_host){ names[i], "127.0.0.1:23907" };
    }
  mesh_set_hosts (a.mesh, hosts, LISTED_HOSTS);
  CU_ASSERT_TRUE (allocated_bytes () - before_bytes
                  <= LISTED_HOSTS * MESH_HOST_BYTES);
  node_close (&a);

  node_open (&a, "a", 23905);
  node_open (&b, "b", 23906);
  before_bytes = allocated_bytes ();
  open_link (&a, &b);
  send_bytes (&a, "b", FRAME_BYTES);
  for (int i = 0; i < MAX_LOOP_ITERATIONS && b.received_bytes < FRAME_BYTES;
       i++)
    run_both (&a, &b);
  run_both (&a, &b);
  /* An outgoing link of one host and an incoming one of the other. */
  CU_ASSERT_TRUE (allocated_bytes () - before_bytes <= MESH_LINK_BYTES);
  node_close (&a);
  node_close (&b);
}

CU_TestInfo link_memory_tests[] = {
  { "buffers of idle links", test_buffers_of_idle_links },
  { "a host that does not read", test_host_that_does_not_read },
  { "a part of a frame is heard", test_part_of_a_frame_is_heard },
  { "hosts that were replaced", test_replaced_hosts },
  { "price of a host", test_price_of_a_host },
  CU_TEST_INFO_NULL,
};
