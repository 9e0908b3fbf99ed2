#include "common/buf.h"
#include "common/id.h"
#include "feed/feed.h"
#include "peer/packed_frame.h"
#include "platform/decode.h"
#include "suites.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HOSTS = 3, /* of the small fixture, in one data centre */
  MAX_HOSTS = 48,
  MANY_OBJECTS = 200,  /* more than are forwarded at once */
  FALLBACK_LEADER = 0, /* index of the host used if none follows the store */
  TICK_MS = 10,
  STALE_MS = 1300,
  SETTLE_MS = 600, /* long enough for two beacons */
  WAIT_MS = 60000, /* limit for expected events, allowing for a busy machine */
};

static const char kind[] = "things";

struct fixture;

struct host
{
  struct fixture *fixture;
  char name[8];
  char data_centre[8];
  struct table *table;
  struct feed *feed;
  bool follows;
  bool is_disconnected; /* disconnected from the store and the other hosts */
  bool is_refused;      /* refused by the store */
  bool is_centre_cut;   /* its data centre is cut off from the others */
  int updates;          /* update frames received */
  int sent_updates;     /* update frames sent */
};

/* Hosts, and a store implemented as a hash table. */
struct fixture
{
  struct ev_loop *loop;
  struct host hosts[MAX_HOSTS];
  size_t count; /* of hosts */
  /* Hosts read the store only if they follow it, not at their start. */
  bool is_first_start;
  int64_t revision;
  GHashTable *store; /* name -> revision */
};

static struct host *
find_host (struct fixture *fixture, const char *name)
{
  for (size_t i = 0; i < fixture->count; i++)
    if (strcmp (fixture->hosts[i].name, name) == 0)
      return &fixture->hosts[i];
  return NULL;
}

static void
send_frame (void *data, const char *name, const Peer__Frame *frame)
{
  struct host *from = data;
  struct host *to = find_host (from->fixture, name);
  struct buf packed = { 0 };
  Peer__Frame *copy;

  if (!to || to->is_disconnected || from->is_disconnected
      || (to->is_centre_cut != from->is_centre_cut
          && strcmp (to->data_centre, from->data_centre) != 0))
    return;
  to->updates += frame->body_case == PEER__FRAME__BODY_FEED_UPDATE;
  from->sent_updates += frame->body_case == PEER__FRAME__BODY_FEED_UPDATE;
  packed_frame_append (&packed, frame);
  copy = packed_frame_unpack (&packed);
  feed_handle_frame (to->feed, from->name, copy);
  peer__frame__free_unpacked (copy, NULL);
  buf_release (&packed);
}

static bool
send_bulk (void *data, const char *name, const Peer__Frame *frame)
{
  struct host *from = data;

  send_frame (data, name, frame);
  feed_handle_sent (from->feed, name);
  return true;
}

static void
handle_follow (void *data, bool follows)
{
  ((struct host *)data)->follows = follows;
}

static void
handle_commit (void *data)
{
}

/* Simulates a watch of the store by HOST.  */
static void
read_store (struct host *host)
{
  struct fixture *fixture = host->fixture;
  GHashTableIter iter;
  gpointer name;
  gpointer revision;
  json_t *object = json_pack ("{s:s}", "from", "store");

  if ((!host->follows
       && (table_is_loaded (host->table) || fixture->is_first_start))
      || host->is_refused || host->is_disconnected)
    {
      feed_set_store_reachable (host->feed, !host->is_refused);
      json_decref (object);
      return;
    }
  feed_set_store_reachable (host->feed, true);
  g_hash_table_iter_init (&iter, fixture->store);
  while (g_hash_table_iter_next (&iter, &name, &revision))
    table_put (host->table, name, GPOINTER_TO_INT (revision), object);
  table_retain (host->table, fixture->store);
  table_commit (host->table, fixture->revision, clock_now_ms (), true);
  json_decref (object);
}

static void
run_for (struct fixture *fixture, int64_t duration_ms)
{
  int64_t until_ms = clock_now_ms () + duration_ms;

  while (clock_now_ms () < until_ms)
    {
      for (size_t i = 0; i < fixture->count; i++)
        read_store (&fixture->hosts[i]);
      ev_sleep (TICK_MS / 1000.0);
      ev_run (fixture->loop, EVRUN_NOWAIT);
    }
}

typedef bool condition_function (struct fixture *fixture, const char *name);

/* Runs until IS_MET returns true, and asserts that it does within WAIT_MS.  */
static void
wait_until (struct fixture *fixture, condition_function *is_met,
            const char *name)
{
  int64_t until_ms = clock_now_ms () + WAIT_MS;

  while (!is_met (fixture, name) && clock_now_ms () < until_ms)
    run_for (fixture, TICK_MS);
  CU_ASSERT_TRUE (is_met (fixture, name));
}

static void
store_put (struct fixture *fixture, const char *name)
{
  fixture->revision++;
  g_hash_table_insert (fixture->store, (gpointer)(uintptr_t)name,
                       GINT_TO_POINTER ((gint)fixture->revision));
}

static void
host_init (struct fixture *fixture, size_t index, size_t centres)
{
  static const struct strings no_seeds;
  struct host *host = &fixture->hosts[index];
  struct table_options table = { .loop = fixture->loop,
                                 .kind = kind,
                                 .handle_commit = handle_commit };
  struct feed_options options = { .loop = fixture->loop,
                                  .host = host->name,
                                  .data_centre = host->data_centre,
                                  .may_lead = true,
                                  .stale_ms = STALE_MS,
                                  .seeds = &no_seeds,
                                  .send = send_frame,
                                  .send_bulk = send_bulk,
                                  .handle_follow = handle_follow,
                                  .data = host };

  *host = (struct host){ .fixture = fixture };
  snprintf (host->name, sizeof host->name, "h%zu", index);
  snprintf (host->data_centre, sizeof host->data_centre, "dc%zu",
            index % centres);
  host->table = table_create (&table);
  host->feed = feed_create (&options);
  feed_add_table (host->feed, host->table);
}

static void
put_many (struct fixture *fixture)
{
  static char object_names[MANY_OBJECTS][8];

  for (size_t i = 0; i < MANY_OBJECTS; i++)
    {
      snprintf (object_names[i], sizeof object_names[i], "o%zu", i);
      store_put (fixture, object_names[i]);
    }
}

/* Starts COUNT hosts in CENTRES data centres, with MANY_OBJECTS in the store
   if HAS_MANY.  */
static void
fixture_init_fleet (struct fixture *fixture, size_t count, size_t centres,
                    bool has_many)
{
  struct feed_host hosts[MAX_HOSTS];

  *fixture = (struct fixture){ .loop = ev_loop_new (EVFLAG_AUTO),
                               .count = count,
                               .is_first_start = has_many,
                               .revision = 1 };
  fixture->store = g_hash_table_new (g_str_hash, g_str_equal);
  for (size_t i = 0; i < count; i++)
    {
      host_init (fixture, i, centres);
      hosts[i]
          = (struct feed_host){ .name = fixture->hosts[i].name,
                                .data_centre = fixture->hosts[i].data_centre,
                                .is_entry = true };
    }
  for (size_t i = 0; i < count; i++)
    feed_set_hosts (fixture->hosts[i].feed, hosts, count);
  store_put (fixture, "one");
  if (has_many)
    put_many (fixture);
  run_for (fixture, STALE_MS + SETTLE_MS);
}

static void
fixture_init (struct fixture *fixture)
{
  fixture_init_fleet (fixture, HOSTS, 1, false);
}

static void
fixture_release (struct fixture *fixture)
{
  for (size_t i = 0; i < fixture->count; i++)
    {
      feed_destroy (fixture->hosts[i].feed);
      table_destroy (fixture->hosts[i].table);
    }
  g_hash_table_destroy (fixture->store);
  ev_loop_destroy (fixture->loop);
}

static bool
all_have_object (struct fixture *fixture, const char *name)
{
  for (size_t i = 0; i < fixture->count; i++)
    if (!fixture->hosts[i].is_disconnected
        && !table_find (fixture->hosts[i].table, name))
      return false;
  return true;
}

static bool
no_host_has_object (struct fixture *fixture, const char *name)
{
  for (size_t i = 0; i < fixture->count; i++)
    if (!fixture->hosts[i].is_disconnected
        && table_find (fixture->hosts[i].table, name))
      return false;
  return true;
}

/* Whether exactly one of the hosts that the store answers follows it.  */
static bool
one_host_follows (struct fixture *fixture, const char *name)
{
  int count = 0;

  for (size_t i = 0; i < fixture->count; i++)
    count += fixture->hosts[i].follows && !fixture->hosts[i].is_refused;
  return count == 1;
}

/* Whether the host with the best rank is the only one that follows the store.
 */
static bool
best_ranked_host_follows (struct fixture *fixture, const char *name)
{
  const struct host *best = &fixture->hosts[0];

  for (size_t i = 1; i < fixture->count; i++)
    if (id_hash_text (fixture->hosts[i].name) < id_hash_text (best->name))
      best = &fixture->hosts[i];
  return best->follows && one_host_follows (fixture, name);
}

static struct host *
find_leader (struct fixture *fixture)
{
  wait_until (fixture, one_host_follows, NULL);
  for (size_t i = 0; i < fixture->count; i++)
    if (fixture->hosts[i].follows && !fixture->hosts[i].is_refused)
      return &fixture->hosts[i];
  return &fixture->hosts[FALLBACK_LEADER];
}

/* One host follows the store, and its updates must reach all hosts.  */
static void
test_one_follows (void)
{
  struct fixture fixture;

  fixture_init (&fixture);
  find_leader (&fixture);
  wait_until (&fixture, all_have_object, "one");
  store_put (&fixture, "two");
  wait_until (&fixture, all_have_object, "two");
  g_hash_table_remove (fixture.store, "one");
  fixture.revision++;
  wait_until (&fixture, no_host_has_object, "one");
  fixture_release (&fixture);
}

/* When the host that follows the store is lost, another one must take over. */
static void
test_leader_is_lost (void)
{
  struct fixture fixture;
  struct host *leader;

  fixture_init (&fixture);
  wait_until (&fixture, best_ranked_host_follows, NULL);
  leader = find_leader (&fixture);
  leader->is_disconnected = true;
  store_put (&fixture, "two");
  wait_until (&fixture, all_have_object, "two");
  leader->is_disconnected = false;
  wait_until (&fixture, all_have_object, "two");
  wait_until (&fixture, best_ranked_host_follows, NULL);
  fixture_release (&fixture);
}

/* When the store refuses the host that follows it, another one must take over,
   until the store answers only one host.  */
static void
test_store_refuses_hosts (void)
{
  struct fixture fixture;

  fixture_init (&fixture);
  find_leader (&fixture)->is_refused = true;
  store_put (&fixture, "two");
  wait_until (&fixture, all_have_object, "two");
  find_leader (&fixture)->is_refused = true;
  store_put (&fixture, "three");
  wait_until (&fixture, all_have_object, "three");
  fixture_release (&fixture);
}

/* A host that missed an update while disconnected must catch up.  */
static void
test_missed_update_is_recovered (void)
{
  struct fixture fixture;
  struct host *disconnected;

  fixture_init (&fixture);
  disconnected = find_leader (&fixture) == &fixture.hosts[0]
                     ? &fixture.hosts[1]
                     : &fixture.hosts[0];
  disconnected->is_disconnected = true;
  store_put (&fixture, "two");
  g_hash_table_remove (fixture.store, "one");
  wait_until (&fixture, all_have_object, "two");
  CU_ASSERT_PTR_NULL (table_find (disconnected->table, "two"));
  disconnected->is_disconnected = false;
  wait_until (&fixture, all_have_object, "two");
  wait_until (&fixture, no_host_has_object, "one");
  fixture_release (&fixture);
}

/* While nothing changes, hosts must send beacons but no objects.  */
static void
test_no_updates_without_changes (void)
{
  struct fixture fixture;
  int updates = 0;

  fixture_init (&fixture);
  for (size_t i = 0; i < fixture.count; i++)
    fixture.hosts[i].updates = 0;
  run_for (&fixture, SETTLE_MS);
  for (size_t i = 0; i < fixture.count; i++)
    updates += fixture.hosts[i].updates;
  CU_ASSERT_EQUAL (updates, 0);
  fixture_release (&fixture);
}

/* Whether two hosts follow the store: one on each side of a cut.  */
static bool
two_hosts_follow (struct fixture *fixture, const char *name)
{
  int count = 0;

  for (size_t i = 0; i < fixture->count; i++)
    count += fixture->hosts[i].follows;
  return count == 2;
}

/* A fleet of 48 hosts in six data centres: one of them follows the store, a
   data centre that is cut off gets one of its own, and after the cut there is
   one again.  Changes reach all hosts throughout.  */
static void
test_fleet_follows_one_host (void)
{
  struct fixture fixture;

  fixture_init_fleet (&fixture, MAX_HOSTS, 6, false);
  wait_until (&fixture, best_ranked_host_follows, NULL);
  store_put (&fixture, "two");
  wait_until (&fixture, all_have_object, "two");
  CU_ASSERT_TRUE (one_host_follows (&fixture, NULL));
  for (size_t i = 0; i < fixture.count; i++)
    fixture.hosts[i].is_centre_cut
        = strcmp (fixture.hosts[i].data_centre, "dc3") == 0;
  store_put (&fixture, "three");
  wait_until (&fixture, all_have_object, "three");
  wait_until (&fixture, two_hosts_follow, NULL);
  for (size_t i = 0; i < fixture.count; i++)
    fixture.hosts[i].is_centre_cut = false;
  wait_until (&fixture, best_ranked_host_follows, NULL);
  g_hash_table_remove (fixture.store, "one");
  fixture.revision++;
  wait_until (&fixture, no_host_has_object, "one");
  fixture_release (&fixture);
}

/* A start of a large data centre: the objects reach all hosts, and the leader
   sends them to few, because hosts that have them pass them on.  */
static void
test_start_is_shared (void)
{
  struct fixture fixture;
  struct host *leader;

  fixture_init_fleet (&fixture, MAX_HOSTS, 1, true);
  wait_until (&fixture, all_have_object, "o199");
  wait_until (&fixture, best_ranked_host_follows, NULL);
  leader = find_leader (&fixture);
  CU_ASSERT_TRUE (leader->sent_updates > 0);
  CU_ASSERT_TRUE (leader->sent_updates < MAX_HOSTS - 1);
  fixture_release (&fixture);
}

/* An answer of the store that was delayed until another host had forwarded
   later changes must not put back an object that these removed
   (FAULT_PUT_REMOVED in model/feed.pml).  */
static void
test_delayed_answer_puts_nothing_back (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct table_options options
      = { .loop = loop, .kind = kind, .handle_commit = handle_commit };
  struct table *table = table_create (&options);
  json_t *object = json_object ();

  table_put (table, "kept", 3, object);
  table_put (table, "removed", 4, object);
  table_commit (table, 4, clock_now_ms (), true);
  table_remove (table, "removed", INT64_MAX);
  table_commit (table, 5, clock_now_ms (), false);

  table_put (table, "removed", 4, object);
  table_put (table, "kept", 3, object);
  table_commit (table, 4, clock_now_ms (), true);
  CU_ASSERT_PTR_NULL (table_find (table, "removed"));
  CU_ASSERT_PTR_NOT_NULL (table_find (table, "kept"));
  table_put (table, "removed", 6, object);
  table_commit (table, 6, clock_now_ms (), false);
  CU_ASSERT_PTR_NOT_NULL (table_find (table, "removed"));
  json_decref (object);
  table_destroy (table);
  ev_loop_destroy (loop);
}

/* A host without a store, whose frames are counted. */
struct lone_host
{
  struct ev_loop *loop;
  struct table *table;
  struct feed *feed;
  int requests;         /* sent */
  int answered_objects; /* in the answers sent, valid ones only */
};

static void
record_frame (void *data, const char *name, const Peer__Frame *frame)
{
  struct lone_host *host = data;

  host->requests += frame->body_case == PEER__FRAME__BODY_FEED_ASK;
  if (frame->body_case != PEER__FRAME__BODY_FEED_UPDATE)
    return;
  for (size_t i = 0; i < frame->feed_update->n_objects; i++)
    {
      const Peer__FeedObject *object = frame->feed_update->objects[i];
      json_t *json = json_loadb ((const char *)object->text.data,
                                 object->text.len, 0, NULL);

      host->answered_objects += json_is_object (json);
      json_decref (json);
    }
}

static void
ignore_follow (void *data, bool follows)
{
}

static void
lone_host_init (struct lone_host *host)
{
  static const struct strings no_seeds;
  struct table_options table
      = { .kind = kind, .handle_commit = handle_commit };
  struct feed_options options = { .host = "h0",
                                  .data_centre = "dc0",
                                  .may_lead = true,
                                  .stale_ms = STALE_MS,
                                  .seeds = &no_seeds,
                                  .send = record_frame,
                                  .handle_follow = ignore_follow,
                                  .data = host };

  *host = (struct lone_host){ .loop = ev_loop_new (EVFLAG_AUTO) };
  table.loop = options.loop = host->loop;
  host->table = table_create (&table);
  host->feed = feed_create (&options);
  feed_add_table (host->feed, host->table);
}

static void
lone_host_release (struct lone_host *host)
{
  feed_destroy (host->feed);
  table_destroy (host->table);
  ev_loop_destroy (host->loop);
}

static void
receive_update (struct lone_host *host, Peer__FeedState *state,
                Peer__FeedObject **objects, size_t count)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__FeedUpdate update = PEER__FEED_UPDATE__INIT;
  char *names[MAX_HOSTS];

  for (size_t i = 0; i < count; i++)
    names[i] = objects[i]->name;
  update.state = state;
  update.objects = objects;
  update.n_objects = update.n_names = count;
  update.names = names;
  update.is_complete = true;
  frame.body_case = PEER__FRAME__BODY_FEED_UPDATE;
  frame.feed_update = &update;
  feed_handle_frame (host->feed, "h1", &frame);
}

static void
receive_beacon (struct lone_host *host, Peer__FeedState *state)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__FeedBeacon beacon = PEER__FEED_BEACON__INIT;

  beacon.states = &state;
  beacon.n_states = 1;
  frame.body_case = PEER__FRAME__BODY_FEED_BEACON;
  frame.feed_beacon = &beacon;
  feed_handle_frame (host->feed, "h1", &frame);
}

/* Appends an object with SPEC to an update.  */
static void
add_object (Peer__FeedObject *object, const char *name, const struct buf *text)
{
  peer__feed_object__init (object);
  object->name = (char *)(uintptr_t)name;
  object->revision = 4;
  object->text.data = (uint8_t *)text->data;
  object->text.len = text->len;
}

/* Guards against a host that asks for the same objects for ever, because it
   counts fewer than the leader: another host holds some that this one cannot
   read.  It hands them on as objects that every version can read.  */
static void
test_unreadable_objects_are_counted (void)
{
  static const char *const specs[]
      = { "{}", "1e999", "\"\xff\"", "123456789012345678901234567890", "{" };
  enum
  {
    COUNT = sizeof specs / sizeof *specs,
    LARGE_BYTES = 300 * 1024,
  };
  static const char *const names[COUNT + 1]
      = { "good", "real", "utf8", "integer", "cut", "large" };
  struct lone_host host;
  Peer__FeedObject objects[COUNT + 1];
  Peer__FeedObject *list[COUNT + 1];
  struct buf texts[COUNT + 1] = { { 0 } };
  Peer__FeedState state = PEER__FEED_STATE__INIT;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__FeedAsk request = PEER__FEED_ASK__INIT;

  for (size_t i = 0; i < COUNT; i++)
    buf_printf (&texts[i], "{\"spec\":%s}", specs[i]);
  buf_append_str (&texts[COUNT], "{\"spec\":[{}");
  while (texts[COUNT].len < LARGE_BYTES)
    buf_append_str (&texts[COUNT], ",{}");
  buf_append_str (&texts[COUNT], "]}");
  for (size_t i = 0; i <= COUNT; i++)
    {
      add_object (&objects[i], names[i], &texts[i]);
      list[i] = &objects[i];
    }
  state.kind = (char *)(uintptr_t)kind;
  state.revision = 5;
  state.count = COUNT + 1;
  lone_host_init (&host);
  receive_update (&host, &state, list, COUNT + 1);
  CU_ASSERT_EQUAL (table_count (host.table), COUNT + 1);
  receive_beacon (&host, &state);
  CU_ASSERT_EQUAL (host.requests, 0);
  CU_ASSERT_PTR_NOT_NULL (
      json_object_get (table_find (host.table, "good")->object, "spec"));
  for (size_t i = 1; i <= COUNT; i++)
    {
      const struct table_entry *entry = table_find (host.table, names[i]);

      CU_ASSERT_TRUE (entry && !json_object_get (entry->object, "spec"));
    }
  request.kind = (char *)(uintptr_t)kind;
  frame.body_case = PEER__FRAME__BODY_FEED_ASK;
  frame.feed_ask = &request;
  feed_handle_frame (host.feed, "h2", &frame);
  CU_ASSERT_EQUAL (host.answered_objects, COUNT + 1);
  lone_host_release (&host);
  for (size_t i = 0; i <= COUNT; i++)
    buf_release (&texts[i]);
}

/* Guards against an endpoint that gets no requests any more, because its entry
   is large: the list of endpoints is decoded from the table at each change of
   any of them.  */
static void
test_large_endpoints_remain (void)
{
  enum
  {
    NOTE_BYTES = 20 * 1024, /* more than a configuration that is packed */
  };
  struct table_options options = { .loop = ev_loop_new (EVFLAG_AUTO),
                                   .kind = "servers",
                                   .handle_commit = handle_commit };
  struct table *table = table_create (&options);
  char *note = calloc (1, NOTE_BYTES + 1);
  struct endpoint_entry entry;
  json_t *object;

  memset (note, 'x', NOTE_BYTES);
  object = json_pack ("{s:{s:s, s:s, s:s, s:s, s:i, s:i, s:s}}", "spec",
                      "backend", "chat", "address", "10.0.0.1:80", "zone", "a",
                      "state", "ready", "max_concurrency", 4, "born", 7,
                      "note", note);
  table_put (table, "e", 1, object);
  json_decref (object);
  table_commit (table, 1, 1, true);
  table_pack (table);
  CU_ASSERT_TRUE_FATAL (
      decode_endpoint ("e", table_find (table, "e")->object, &entry, NULL));
  free (entry.id);
  free (entry.service);
  free (entry.address);
  free (entry.data_centre);
  free (entry.version);
  table_destroy (table);
  ev_loop_destroy (options.loop);
  free (note);
}

CU_TestInfo feed_tests[] = {
  { "large endpoints remain", test_large_endpoints_remain },
  { "unreadable objects are counted", test_unreadable_objects_are_counted },
  { "one host follows the store", test_one_follows },
  { "the leader is lost", test_leader_is_lost },
  { "the store refuses hosts", test_store_refuses_hosts },
  { "a host catches up after a missed update",
    test_missed_update_is_recovered },
  { "no updates are sent without changes", test_no_updates_without_changes },
  { "a fleet follows one host", test_fleet_follows_one_host },
  { "hosts share a start", test_start_is_shared },
  { "a delayed answer puts nothing back",
    test_delayed_answer_puts_nothing_back },
  CU_TEST_INFO_NULL,
};
