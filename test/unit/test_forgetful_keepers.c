#include "common/buf.h"
#include "common/id.h"
#include "peer/packed_frame.h"
#include "request/stream_index.h"
#include "request/stream_memory.h"
#include "suites.h"
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  KEEPERS = 3,
  ENTRIES = 2,
  HOSTS = KEEPERS + ENTRIES,
  CAPACITY = 4000,
  STREAMS = 1500, /* more than a page of records */
  FIRST_BUILD = 1,
  SECOND_BUILD = 2,
  WAIT_MS = 2000,
  RESTARTS = 3,      /* of each keeper, in turn */
  MAX_PACKETS = 200, /* of copies: six, of a few pages, with questions */
};

struct fleet;

/* A host of the simulated fleet. */
struct host
{
  struct transport base; /* first member */
  struct fleet *fleet;
  const char *name;
  struct stream_memory *memory; /* of a keeper */
  struct stream_index *index;   /* of an entry host */
  bool is_down;
};

struct packet
{
  struct host *from;
  struct host *to;
  struct buf bytes;
};

struct fleet
{
  struct ev_loop *loop;
  struct host hosts[HOSTS]; /* the keepers first */
  GQueue packets;
  bool lacks_ages; /* planted: answers as if nothing had been forgotten */
  enum stream_origin origin;
  uint64_t build;
  bool has_ended;
};

static const char *const names[HOSTS] = { "k0", "k1", "k2", "e0", "e1" };

static struct host *
find_host (struct fleet *fleet, const char *name)
{
  for (int i = 0; i < HOSTS; i++)
    if (strcmp (fleet->hosts[i].name, name) == 0)
      return &fleet->hosts[i];
  return NULL;
}

static bool
send_packet (struct transport *base, const char *name,
             const Peer__Frame *frame)
{
  struct host *from = (struct host *)base;
  struct packet *packet = xcalloc (1, sizeof *packet);

  packet->from = from;
  packet->to = find_host (from->fleet, name);
  packed_frame_append (&packet->bytes, frame);
  g_queue_push_tail (&from->fleet->packets, packet);
  return true;
}

static const struct transport_vtable vtable = { .send = send_packet };

static void
deliver (struct fleet *fleet, struct packet *packet)
{
  Peer__Frame *frame = packed_frame_unpack (&packet->bytes);

  if (fleet->lacks_ages && frame->body_case == PEER__FRAME__BODY_STREAM_ANSWER)
    frame->stream_answer->known_ms = STREAM_TTL_MS;
  if (!packet->from->is_down && !packet->to->is_down && packet->to->memory)
    stream_memory_handle_frame (packet->to->memory, packet->from->name, frame,
                                clock_now_ms ());
  else if (!packet->from->is_down && !packet->to->is_down)
    stream_index_handle_frame (packet->to->index, packet->from->name, frame);
  peer__frame__free_unpacked (frame, NULL);
}

/* Delivers all frames, and those that follow from them.  */
static void
settle (struct fleet *fleet)
{
  struct packet *packet;

  while ((packet = g_queue_pop_head (&fleet->packets)))
    {
      deliver (fleet, packet);
      buf_release (&packet->bytes);
      free (packet);
    }
}

/* Tells a keeper of the others.  */
static void
list_others (struct fleet *fleet, int number)
{
  struct host_location others[KEEPERS];
  size_t count = 0;

  for (int i = 0; i < KEEPERS; i++)
    if (i != number)
      others[count++] = (struct host_location){ .name = names[i],
                                                .data_centre = names[i] };
  stream_memory_set_others (fleet->hosts[number].memory, others, count,
                            clock_now_ms ());
}

static void
start_keeper (struct fleet *fleet, int number, bool first_start)
{
  struct host *host = &fleet->hosts[number];
  struct stream_memory_options options = { .transport = &host->base,
                                           .capacity = CAPACITY,
                                           .losses = 1,
                                           .first_start = first_start };
  host->is_down = false;
  host->memory = stream_memory_create (&options, clock_now_ms ());
  list_others (fleet, number);
}

static void
stop_keeper (struct fleet *fleet, int number)
{
  stream_memory_destroy (fleet->hosts[number].memory);
  fleet->hosts[number].memory = NULL;
  fleet->hosts[number].is_down = true;
}

static void
fleet_init (struct fleet *fleet)
{
  struct host_location keepers[KEEPERS];

  *fleet = (struct fleet){ .loop = ev_loop_new (EVFLAG_AUTO) };
  for (int i = 0; i < HOSTS; i++)
    fleet->hosts[i] = (struct host){ .base.vtable = &vtable,
                                     .fleet = fleet,
                                     .name = names[i] };
  for (int i = 0; i < KEEPERS; i++)
    {
      keepers[i] = (struct host_location){ .name = names[i],
                                           .data_centre = names[i] };
      start_keeper (fleet, i, true);
    }
  settle (fleet);
  for (int i = KEEPERS; i < HOSTS; i++)
    {
      struct stream_index_options options = {
        .loop = fleet->loop, .transport = &fleet->hosts[i].base, .losses = 1
      };

      fleet->hosts[i].index = stream_index_create (&options);
      stream_index_set_keepers (fleet->hosts[i].index, keepers, KEEPERS);
    }
}

static void
fleet_release (struct fleet *fleet)
{
  settle (fleet);
  for (int i = 0; i < HOSTS; i++)
    {
      stream_memory_destroy (fleet->hosts[i].memory);
      stream_index_destroy (fleet->hosts[i].index);
    }
  ev_loop_destroy (fleet->loop);
}

static void
handle_origin (void *data, enum stream_origin origin, uint64_t build)
{
  struct fleet *fleet = data;

  fleet->origin = origin;
  fleet->build = build;
  fleet->has_ended = true;
}

/* Returns the content of stream NUMBER.  */
static uint64_t
content_of (int number)
{
  uint64_t value = (uint64_t)number;

  return id_hash64 (&value, sizeof value, 1);
}

/* Records attempts at each stream: at the first host by the first build, and
   then, if IS_JOINABLE, at the second host by the second one.  */
static void
record_streams (struct fleet *fleet, bool is_joinable)
{
  for (int i = 0; i < STREAMS; i++)
    {
      struct stream_key key = { .content = content_of (i) };

      stream_index_record (fleet->hosts[KEEPERS].index, &key, FIRST_BUILD);
      if (is_joinable)
        stream_index_record (fleet->hosts[KEEPERS + 1].index, &key,
                             SECOND_BUILD);
    }
  settle (fleet);
}

/* Whether the first host, asked to resume stream NUMBER without the attempt's
   id, goes on with it.  */
static bool
resumes (struct fleet *fleet, int number)
{
  struct stream_key key = { .content = content_of (number) };
  int64_t started_ms = clock_now_ms ();

  fleet->has_ended = false;
  stream_index_find (fleet->hosts[KEEPERS].index, &key, handle_origin, fleet);
  while (!fleet->has_ended && clock_now_ms () - started_ms < WAIT_MS)
    {
      settle (fleet);
      if (!fleet->has_ended)
        ev_run (fleet->loop, EVRUN_ONCE);
    }
  CU_ASSERT_TRUE (fleet->has_ended);
  return fleet->origin == STREAM_ORIGIN_FOUND;
}

/* What happens to the keepers. */
enum loss
{
  ALL_AT_ONCE,
  TWO_AT_ONCE,
  ONE,
  ONE_AFTER_THE_OTHER,
  LOSSES,
};

static void
lose_keepers (struct fleet *fleet, enum loss loss)
{
  int count = loss == ALL_AT_ONCE ? KEEPERS : loss == TWO_AT_ONCE ? 2 : 1;

  if (loss == ONE_AFTER_THE_OTHER)
    {
      for (int i = 0; i < RESTARTS * KEEPERS; i++)
        {
          stop_keeper (fleet, i % KEEPERS);
          start_keeper (fleet, i % KEEPERS, false);
          settle (fleet);
        }
      return;
    }
  for (int i = 0; i < count; i++)
    stop_keeper (fleet, i);
  for (int i = 0; i < count; i++)
    start_keeper (fleet, i, false);
  settle (fleet);
}

static int
count_resumed (enum loss loss, bool is_joinable, bool lacks_ages)
{
  struct fleet fleet;
  int resumed = 0;

  fleet_init (&fleet);
  fleet.lacks_ages = lacks_ages;
  record_streams (&fleet, is_joinable);
  lose_keepers (&fleet, loss);
  for (int i = 0; i < STREAMS; i += STREAMS / 5)
    resumed += resumes (&fleet, i);
  fleet_release (&fleet);
  return resumed;
}

/* Guards against streams that are joined of two versions because keepers that
   have started anew answer as if they had forgotten nothing.  */
static void
test_forgotten_builds_join_no_streams (void)
{
  for (enum loss loss = 0; loss < LOSSES; loss++)
    CU_ASSERT_EQUAL (count_resumed (loss, true, false), 0);
  /* Without the ages of memories this test finds joined streams. */
  CU_ASSERT (count_resumed (ALL_AT_ONCE, true, true) > 0);
}

/* Guards against keepers that come back one after the other, as in an upgrade,
   and know nothing of what the others knew.  */
static void
test_memory_survives_single_losses (void)
{
  CU_ASSERT_EQUAL (count_resumed (ONE, false, false), 5);
  CU_ASSERT_EQUAL (count_resumed (ONE_AFTER_THE_OTHER, false, false), 5);
  CU_ASSERT_EQUAL (count_resumed (ALL_AT_ONCE, false, false), 0);
  CU_ASSERT_EQUAL (count_resumed (TWO_AT_ONCE, false, false), 0);
}

/* Guards against keepers that copy each other's records as new ones, over and
   over.  */
static void
test_copies_come_to_an_end (void)
{
  struct fleet fleet;
  int packets = 0;
  struct packet *packet;

  fleet_init (&fleet);
  record_streams (&fleet, false);
  for (int i = 0; i < KEEPERS; i++)
    {
      struct host_location nobody = { .name = "k9", .data_centre = "k9" };

      stream_memory_set_others (fleet.hosts[i].memory, &nobody, 1,
                                clock_now_ms ());
    }
  while ((packet = g_queue_pop_head (&fleet.packets)))
    {
      buf_release (&packet->bytes);
      free (packet);
    }
  for (int i = 0; i < KEEPERS; i++)
    list_others (&fleet, i);
  while ((packet = g_queue_pop_head (&fleet.packets))
         && ++packets < MAX_PACKETS)
    {
      deliver (&fleet, packet);
      buf_release (&packet->bytes);
      free (packet);
    }
  CU_ASSERT (packets < MAX_PACKETS);
  CU_ASSERT_PTR_NULL (packet);
  fleet_release (&fleet);
}

/* Guards against questions without end to a keeper that never answers, as one
   of a build before.  */
static void
test_silent_keeper_is_not_asked_for_ever (void)
{
  struct fleet fleet;
  struct stream_memory *memory;
  int64_t now_ms;

  fleet_init (&fleet);
  stop_keeper (&fleet, 0);
  stop_keeper (&fleet, 1);
  start_keeper (&fleet, 0, false);
  settle (&fleet);
  memory = fleet.hosts[0].memory;
  now_ms = clock_now_ms ();
  stream_memory_tick (memory, now_ms + STREAM_TTL_MS / 2);
  CU_ASSERT_EQUAL (g_queue_get_length (&fleet.packets), 1);
  settle (&fleet);
  stream_memory_tick (memory, now_ms + 2 * STREAM_TTL_MS);
  CU_ASSERT_EQUAL (g_queue_get_length (&fleet.packets), 0);
  CU_ASSERT_EQUAL (stream_memory_known_ms (memory, now_ms + 2 * STREAM_TTL_MS),
                   STREAM_TTL_MS);
  fleet_release (&fleet);
}

/* Guards against a memory that never counts again after a loss, or that counts
   though it has dropped records for want of room.  */
static void
test_age_of_a_memory (void)
{
  struct fleet fleet;
  struct stream_memory *memory;
  int64_t now_ms;

  fleet_init (&fleet);
  now_ms = clock_now_ms ();
  memory = fleet.hosts[0].memory;
  CU_ASSERT_EQUAL (stream_memory_known_ms (memory, now_ms), STREAM_TTL_MS);
  lose_keepers (&fleet, ALL_AT_ONCE);
  memory = fleet.hosts[0].memory;
  now_ms = clock_now_ms ();
  CU_ASSERT (stream_memory_known_ms (memory, now_ms) < STREAM_TTL_MS / 2);
  CU_ASSERT_EQUAL (stream_memory_known_ms (memory, now_ms + STREAM_TTL_MS),
                   STREAM_TTL_MS);
  fleet_release (&fleet);
  fleet_init (&fleet);
  memory = fleet.hosts[0].memory;
  for (int i = 0; i < 4; i++)
    record_streams (&fleet, true);
  CU_ASSERT_EQUAL (stream_memory_known_ms (memory, clock_now_ms ()),
                   STREAM_TTL_MS);
  for (int i = 0; i < 2 * CAPACITY; i++)
    {
      struct stream_key key = { .content = content_of (STREAMS + i) };

      stream_index_record (fleet.hosts[KEEPERS].index, &key, FIRST_BUILD);
    }
  settle (&fleet);
  CU_ASSERT (stream_memory_known_ms (memory, clock_now_ms ())
             < STREAM_TTL_MS / 2);
  fleet_release (&fleet);
}

CU_TestInfo forgetful_keepers_tests[] = {
  { "forgotten builds join no streams",
    test_forgotten_builds_join_no_streams },
  { "a memory survives single losses", test_memory_survives_single_losses },
  { "copies come to an end", test_copies_come_to_an_end },
  { "a silent keeper is not asked for ever",
    test_silent_keeper_is_not_asked_for_ever },
  { "the age of a memory", test_age_of_a_memory },
  CU_TEST_INFO_NULL,
};
