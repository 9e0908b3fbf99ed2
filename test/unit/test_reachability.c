#include "common/buf.h"
#include "common/id.h"
#include "local_mesh.h"
#include "request/reachability.h"
#include "suites.h"
#include <stdlib.h>
#include <string.h>

enum
{
  ANSWER_MS = 5000, /* within which an answer arrives on a busy machine */
  SILENT_MS = 20,   /* waited for an answer that does not come */
  OWN_PORT = 23921,
  FIRST_PORT = 23930,
  REMOTE_HOSTS = 8,
  ROUNDS = 12,
  ROUND_MS = 250, /* longer than the interval between probes */
};

static const char *const names[REMOTE_HOSTS + 1]
    = { "r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7", "own" };

/* A host with its monitor, and the hosts of another data centre. */
struct fixture
{
  struct ev_loop *loop;
  struct keyring keyring;
  struct mesh *own;
  struct mesh *remotes[REMOTE_HOSTS];
  int frames[REMOTE_HOSTS]; /* received by each remote host */
  struct reachability *reach;
  bool is_reachable;
  int64_t now_ms; /* as the monitor is told */
  int heard;      /* frames received by the host */
};

static void
handle_own_frame (void *data, const char *host, const Peer__Frame *frame)
{
  struct fixture *fixture = data;

  fixture->heard++;
  reachability_record_heard (fixture->reach, host, fixture->now_ms);
}

static void
handle_remote_frame (void *data, const char *host, const Peer__Frame *frame)
{
  ++*(int *)data;
}

static void
handle_change (void *data, const char *data_centre, bool reachable)
{
  ((struct fixture *)data)->is_reachable = reachable;
}

static struct mesh *
open_mesh (const struct fixture *fixture, const char *name, uint16_t port,
           mesh_frame_handler *handle, void *data)
{
  struct local_mesh_options options = { .loop = fixture->loop,
                                        .keyring = &fixture->keyring,
                                        .name = name,
                                        .port = port,
                                        .has_sparse_pings = true,
                                        .handle_frame = handle,
                                        .data = data };

  return local_mesh_open (&options);
}

static void
fixture_open (struct fixture *fixture)
{
  struct mesh_host hosts[REMOTE_HOSTS + 1];
  struct host_location locations[REMOTE_HOSTS + 1];
  struct reachability_options options = { .host = "own",
                                          .data_centre = "here",
                                          .handle_change = handle_change,
                                          .data = fixture };

  memset (fixture, 0, sizeof *fixture);
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->is_reachable = true;
  fixture->now_ms = clock_now_ms ();
  fixture->keyring.count = 1;
  fixture->keyring.keys[0].id = 1;
  for (int i = 0; i <= REMOTE_HOSTS; i++)
    {
      hosts[i].name = names[i];
      hosts[i].address = xasprintf (
          "127.0.0.1:%d", i == REMOTE_HOSTS ? OWN_PORT : FIRST_PORT + i);
      locations[i] = (struct host_location){
        .name = names[i], .data_centre = i == REMOTE_HOSTS ? "here" : "there"
      };
    }
  fixture->own
      = open_mesh (fixture, "own", OWN_PORT, handle_own_frame, fixture);
  mesh_set_hosts (fixture->own, hosts, REMOTE_HOSTS + 1);
  for (int i = 0; i < REMOTE_HOSTS; i++)
    {
      fixture->remotes[i]
          = open_mesh (fixture, hosts[i].name, (uint16_t)(FIRST_PORT + i),
                       handle_remote_frame, &fixture->frames[i]);
      mesh_set_hosts (fixture->remotes[i], hosts, REMOTE_HOSTS + 1);
    }
  options.mesh = fixture->own;
  fixture->reach = reachability_create (&options);
  reachability_set_hosts (fixture->reach, locations, REMOTE_HOSTS + 1);
  for (int i = 0; i <= REMOTE_HOSTS; i++)
    free ((void *)(uintptr_t)hosts[i].address);
}

static void
fixture_close (struct fixture *fixture)
{
  reachability_destroy (fixture->reach);
  mesh_destroy (fixture->own);
  for (int i = 0; i < REMOTE_HOSTS; i++)
    mesh_destroy (fixture->remotes[i]);
  ev_loop_destroy (fixture->loop);
}

/* No remote host hears this one, or answers it, any more.  */
static void
block_all (const struct fixture *fixture)
{
  for (int i = 0; i < REMOTE_HOSTS; i++)
    mesh_block (fixture->remotes[i], "own", true);
}

static int
count_probed (const struct fixture *fixture)
{
  int probed = 0;

  for (int i = 0; i < REMOTE_HOSTS; i++)
    probed += fixture->frames[i] > 0;
  return probed;
}

static int
count_frames (const struct fixture *fixture)
{
  int frames = 0;

  for (int i = 0; i < REMOTE_HOSTS; i++)
    frames += fixture->frames[i];
  return frames;
}

/* Probes once, and runs until an answer has arrived or WAIT_MS have passed. */
static void
run_round (struct fixture *fixture, int wait_ms)
{
  int before = fixture->heard;

  reachability_tick (fixture->reach, fixture->now_ms += ROUND_MS);
  for (int i = 0; i < wait_ms && fixture->heard == before; i++)
    {
      ev_sleep (0.001);
      ev_run (fixture->loop, EVRUN_NOWAIT);
    }
}

/* A data centre of any size costs one probe an interval, always to the same
   host: links and messages do not grow with the fleet.  */
static void
test_probes_one_host (void)
{
  struct fixture fixture;

  fixture_open (&fixture);
  for (int i = 0; i < ROUNDS; i++)
    run_round (&fixture, ANSWER_MS);
  CU_ASSERT_TRUE (fixture.is_reachable);
  CU_ASSERT_EQUAL (count_probed (&fixture), 1);
  CU_ASSERT_TRUE (count_frames (&fixture) <= ROUNDS);
  fixture_close (&fixture);
}

/* The host that is probed is lost: others are probed before the data centre
   counts as unreachable.  */
static void
test_probed_host_is_lost (void)
{
  struct fixture fixture;

  fixture_open (&fixture);
  run_round (&fixture, ANSWER_MS);
  run_round (&fixture, ANSWER_MS);
  for (int i = 0; i < REMOTE_HOSTS; i++)
    if (fixture.frames[i] > 0)
      mesh_block (fixture.remotes[i], "own", true);
  for (int i = 0; i < ROUNDS; i++)
    run_round (&fixture, i == 0 ? SILENT_MS : ANSWER_MS);
  CU_ASSERT_TRUE (fixture.is_reachable);
  CU_ASSERT_TRUE (count_probed (&fixture) > 1);
  fixture_close (&fixture);
}

/* Nothing answers.  */
static void
test_data_centre_is_lost (void)
{
  struct fixture fixture;

  fixture_open (&fixture);
  run_round (&fixture, ANSWER_MS);
  block_all (&fixture);
  for (int i = 0; i < ROUNDS; i++)
    run_round (&fixture, SILENT_MS);
  CU_ASSERT_FALSE (fixture.is_reachable);
  fixture_close (&fixture);
}

/* All hosts of a data centre are down, but an endpoint there still sends.  */
static void
test_endpoint_is_heard (void)
{
  struct fixture fixture;

  fixture_open (&fixture);
  run_round (&fixture, ANSWER_MS);
  block_all (&fixture);
  for (int i = 0; i < ROUNDS; i++)
    {
      run_round (&fixture, SILENT_MS);
      reachability_record_endpoint_heard (fixture.reach, "there",
                                          fixture.now_ms);
    }
  CU_ASSERT_TRUE (fixture.is_reachable);
  for (int i = 0; i < ROUNDS; i++)
    run_round (&fixture, SILENT_MS);
  CU_ASSERT_FALSE (fixture.is_reachable);
  fixture_close (&fixture);
}

CU_TestInfo reachability_tests[]
    = { { "one host is probed", test_probes_one_host },
        { "the probed host is lost", test_probed_host_is_lost },
        { "a data centre is lost", test_data_centre_is_lost },
        { "only endpoints are heard", test_endpoint_is_heard },
        CU_TEST_INFO_NULL };
