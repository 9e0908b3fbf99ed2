#include "common/id.h"
#include "local_mesh.h"
#include "request/stream_index.h"
#include "request/stream_memory.h"
#include "suites.h"
#include <string.h>

enum
{
  CAPACITY = 100,
  ENTRY_PORT = 24041,
  KEEPER_PORT = 24042,
  CONTENT = 5,
  ATTEMPT = 6,
  BUILD = 7,
  RUN_MS = 3000, /* bounds the wait for the end of a lookup */
};

static const struct stream_key key = { CONTENT, ATTEMPT };

/* An entry host's index and a keeper's memory. */
struct fixture
{
  struct ev_loop *loop;
  struct keyring keyring;
  struct mesh *entry;
  struct mesh *keeper;
  struct stream_index *index;
  struct mesh_transport entry_transport;
  struct mesh_transport keeper_transport;
  struct stream_memory *memory;
  int asked;       /* questions that the keeper received */
  int deaf_rounds; /* it does not store records before so many questions */
  bool is_silent;  /* the keeper does not answer */
  int origin;      /* of the latest lookup; negative until it ends */
  uint64_t build;
};

static void
handle_entry_frame (void *data, const char *host, const Peer__Frame *frame)
{
  struct fixture *fixture = data;

  stream_index_handle_frame (fixture->index, host, frame);
}

/* Tells the keeper that the stream WANTED began at BUILD.  */
static void
record (const struct fixture *fixture, const struct stream_key *wanted,
        uint64_t build)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__StreamOrigin origin = PEER__STREAM_ORIGIN__INIT;

  origin.stream = wanted->content;
  origin.attempt = wanted->attempt;
  origin.build = build;
  frame.body_case = PEER__FRAME__BODY_STREAM_RECORD;
  frame.stream_record = &origin;
  stream_memory_handle_frame (fixture->memory, "entry", &frame,
                              clock_now_ms ());
}

static void
handle_keeper_frame (void *data, const char *host, const Peer__Frame *frame)
{
  struct fixture *fixture = data;

  if (frame->body_case == PEER__FRAME__BODY_STREAM_ASK
      && ++fixture->asked == fixture->deaf_rounds)
    record (fixture, &key, BUILD);
  if (!fixture->is_silent)
    stream_memory_handle_frame (fixture->memory, host, frame, clock_now_ms ());
}

static void
setup (struct fixture *fixture)
{
  struct local_mesh_options entry = { .name = "entry",
                                      .port = ENTRY_PORT,
                                      .handle_frame = handle_entry_frame,
                                      .data = fixture };
  struct local_mesh_options keeper = { .name = "keeper",
                                       .port = KEEPER_PORT,
                                       .handle_frame = handle_keeper_frame,
                                       .data = fixture };
  struct mesh_host hosts[]
      = { { "entry", "127.0.0.1:24041" }, { "keeper", "127.0.0.1:24042" } };
  struct stream_index_options options = { .losses = 1 };
  struct stream_memory_options memory
      = { .capacity = CAPACITY, .losses = 1, .first_start = true };

  memset (fixture, 0, sizeof *fixture);
  fixture->keyring.count = 1;
  fixture->keyring.keys[0].id = 1;
  entry.keyring = keeper.keyring = &fixture->keyring;
  entry.loop = keeper.loop = options.loop = fixture->loop
      = ev_loop_new (EVFLAG_AUTO);
  fixture->entry = local_mesh_open (&entry);
  fixture->keeper = local_mesh_open (&keeper);
  mesh_transport_init (&fixture->entry_transport, fixture->entry);
  mesh_transport_init (&fixture->keeper_transport, fixture->keeper);
  options.transport = &fixture->entry_transport.base;
  memory.transport = &fixture->keeper_transport.base;
  mesh_set_hosts (fixture->entry, hosts, 2);
  mesh_set_hosts (fixture->keeper, hosts, 2);
  fixture->index = stream_index_create (&options);
  fixture->memory = stream_memory_create (&memory, clock_now_ms ());
}

static void
list_keeper (struct fixture *fixture)
{
  struct host_location location = { .name = "keeper", .data_centre = "dc" };

  stream_index_set_keepers (fixture->index, &location, 1);
}

static void
teardown (struct fixture *fixture)
{
  stream_index_destroy (fixture->index);
  stream_memory_destroy (fixture->memory);
  mesh_destroy (fixture->entry);
  mesh_destroy (fixture->keeper);
  ev_loop_destroy (fixture->loop);
}

static void
handle_origin (void *data, enum stream_origin origin, uint64_t build)
{
  struct fixture *fixture = data;

  fixture->origin = (int)origin;
  fixture->build = build;
}

/* Looks the stream up and returns what the index tells of it.  */
static int
find_key (struct fixture *fixture, const struct stream_key *wanted)
{
  int64_t started_ms = clock_now_ms ();

  fixture->origin = -1;
  stream_index_find (fixture->index, wanted, handle_origin, fixture);
  CU_ASSERT_EQUAL (fixture->origin, -1);
  while (fixture->origin < 0 && clock_now_ms () - started_ms < RUN_MS)
    ev_run (fixture->loop, EVRUN_ONCE);
  return fixture->origin;
}

static int
find (struct fixture *fixture)
{
  return find_key (fixture, &key);
}

/* A stream that began at another host is found at the keeper, also if its
   record arrives after the first question.  */
static void
test_record_is_found (void)
{
  struct fixture fixture;

  setup (&fixture);
  list_keeper (&fixture);
  fixture.deaf_rounds = 2;
  CU_ASSERT_EQUAL (find (&fixture), STREAM_ORIGIN_FOUND);
  CU_ASSERT_EQUAL (fixture.build, BUILD);
  CU_ASSERT_EQUAL (stream_index_find_local (fixture.index, &key), BUILD);
  teardown (&fixture);
}

/* Guards against taking silence for the answer that a stream is not recorded:
   its record may be at a keeper that is cut off.  */
static void
test_silence_is_no_answer (void)
{
  struct fixture fixture;

  setup (&fixture);
  CU_ASSERT_EQUAL (find (&fixture), STREAM_ORIGIN_UNREACHABLE);
  list_keeper (&fixture);
  fixture.is_silent = true;
  CU_ASSERT_EQUAL (find (&fixture), STREAM_ORIGIN_UNREACHABLE);
  CU_ASSERT_TRUE (fixture.asked > 1);
  fixture.is_silent = false;
  CU_ASSERT_EQUAL (find (&fixture), STREAM_ORIGIN_NOT_RECORDED);
  stream_index_set_keepers (fixture.index, NULL, 0);
  CU_ASSERT_EQUAL (find (&fixture), STREAM_ORIGIN_NOT_RECORDED);
  teardown (&fixture);
}

/* A lookup that its request no longer needs does not call back.  */
static void
test_cancelled_lookup (void)
{
  struct fixture fixture;
  struct stream_lookup *lookup;

  setup (&fixture);
  list_keeper (&fixture);
  lookup = stream_index_find (fixture.index, &key, handle_origin, &fixture);
  stream_lookup_cancel (lookup);
  fixture.deaf_rounds = 1;
  CU_ASSERT_EQUAL (find (&fixture), STREAM_ORIGIN_FOUND);
  teardown (&fixture);
}

/* Guards against taking the first of equal requests for the one that is
   resumed: they may have begun at different builds.  */
static void
test_equal_content (void)
{
  struct stream_key other = { CONTENT, ATTEMPT + 1 };
  struct stream_key unnamed = { CONTENT, 0 };
  struct fixture fixture;

  setup (&fixture);
  list_keeper (&fixture);
  record (&fixture, &key, BUILD);
  CU_ASSERT_EQUAL (find_key (&fixture, &unnamed), STREAM_ORIGIN_FOUND);
  CU_ASSERT_EQUAL (fixture.build, BUILD);
  record (&fixture, &other, BUILD + 1);
  CU_ASSERT_EQUAL (find_key (&fixture, &unnamed), STREAM_ORIGIN_AMBIGUOUS);
  CU_ASSERT_EQUAL (find_key (&fixture, &other), STREAM_ORIGIN_FOUND);
  CU_ASSERT_EQUAL (fixture.build, BUILD + 1);
  teardown (&fixture);
}

/* Guards against resuming by the content alone while the keepers that may know
   of an equal request elsewhere do not answer.  */
static void
test_content_needs_keepers (void)
{
  struct stream_key unnamed = { CONTENT, 0 };
  struct fixture fixture;

  setup (&fixture);
  list_keeper (&fixture);
  stream_index_record (fixture.index, &key, BUILD);
  fixture.is_silent = true;
  CU_ASSERT_EQUAL (find_key (&fixture, &unnamed), STREAM_ORIGIN_UNREACHABLE);
  fixture.is_silent = false;
  CU_ASSERT_EQUAL (find_key (&fixture, &unnamed), STREAM_ORIGIN_FOUND);
  teardown (&fixture);
}

CU_TestInfo stream_index_tests[] = {
  { "a record is found", test_record_is_found },
  { "silence is no answer", test_silence_is_no_answer },
  { "a cancelled lookup", test_cancelled_lookup },
  { "equal content", test_equal_content },
  { "content needs keepers", test_content_needs_keepers },
  CU_TEST_INFO_NULL,
};
