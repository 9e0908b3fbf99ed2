#include "common/buf.h"
#include "common/id.h"
#include "feed/feed.h"
#include "peer/packed.h"
#include "policy/lead.h"
#include "suites.h"
#include <stdlib.h>
#include <string.h>

enum
{
  HOSTS = 3,
  LEADER = 0, /* of those that follow the store */
  TICK_MS = 10,
  SETTLE_MS = 600, /* two beacons */
  WAIT_MS = 60000, /* for what must come in the end, on a busy machine too */
};

static const char *const names[HOSTS] = { "a", "b", "c" };
static const char kind[] = "things";

struct scene;

struct host
{
  struct scene *scene;
  const char *name;
  struct table *table;
  struct feed *feed;
  bool follows;
  bool is_cut;    /* nothing comes or goes */
  bool is_turned; /* away by the store */
  int updates;    /* frames with objects that came */
};

/* Hosts of one data centre and a store that is a list of calls. */
struct scene
{
  struct ev_loop *loop;
  struct host hosts[HOSTS];
  int64_t revision;
  GHashTable *store; /* name -> revision */
};

static struct host *
find_host (struct scene *scene, const char *name)
{
  for (size_t i = 0; i < HOSTS; i++)
    if (strcmp (scene->hosts[i].name, name) == 0)
      return &scene->hosts[i];
  return NULL;
}

static void
send_frame (void *data, const char *name, const Peer__Frame *frame)
{
  const struct host *from = data;
  struct host *to = find_host (from->scene, name);
  struct buf packed = { 0 };
  Peer__Frame *copy;

  if (!to || to->is_cut || from->is_cut)
    return;
  to->updates += frame->body_case == PEER__FRAME__BODY_FEED_UPDATE;
  packed_frame_append (&packed, frame);
  copy = packed_frame_unpack (&packed);
  feed_handle_frame (to->feed, from->name, copy);
  peer__frame__free_unpacked (copy, NULL);
  buf_release (&packed);
}

static void
handle_follow (void *data, bool follows)
{
  ((struct host *)data)->follows = follows;
}

static void
handle_current (void *data)
{
}

/* What a watch does: reads the store where it answers this host.  */
static void
read_store (struct host *host)
{
  struct scene *scene = host->scene;
  GHashTableIter iter;
  gpointer name;
  gpointer revision;
  json_t *object = json_pack ("{s:s}", "from", "store");

  if ((!host->follows && table_is_current (host->table)) || host->is_turned
      || host->is_cut)
    {
      feed_note_store (host->feed, !host->is_turned);
      json_decref (object);
      return;
    }
  feed_note_store (host->feed, true);
  g_hash_table_iter_init (&iter, scene->store);
  while (g_hash_table_iter_next (&iter, &name, &revision))
    table_put (host->table, name, GPOINTER_TO_INT (revision), object);
  table_retain (host->table, scene->store);
  table_commit (host->table, scene->revision, clock_now_ms (), true);
  json_decref (object);
}

static void
run (struct scene *scene, int64_t duration_ms)
{
  int64_t until_ms = clock_now_ms () + duration_ms;

  while (clock_now_ms () < until_ms)
    {
      for (size_t i = 0; i < HOSTS; i++)
        read_store (&scene->hosts[i]);
      ev_sleep (TICK_MS / 1000.0);
      ev_run (scene->loop, EVRUN_NOWAIT);
    }
}

typedef bool condition (struct scene *scene, const char *name);

/* Runs until IS_MET, which is asserted.  */
static void
wait_until (struct scene *scene, condition *is_met, const char *name)
{
  int64_t until_ms = clock_now_ms () + WAIT_MS;

  while (!is_met (scene, name) && clock_now_ms () < until_ms)
    run (scene, TICK_MS);
  CU_ASSERT_TRUE (is_met (scene, name));
}

static void
store_put (struct scene *scene, const char *name)
{
  scene->revision++;
  g_hash_table_insert (scene->store, (gpointer)(uintptr_t)name,
                       GINT_TO_POINTER ((gint)scene->revision));
}

static void
open_host (struct scene *scene, size_t index)
{
  static const struct strings no_seeds;
  struct host *host = &scene->hosts[index];
  struct table_options table = { .loop = scene->loop,
                                 .kind = kind,
                                 .handle_current = handle_current };
  struct feed_options options = { .loop = scene->loop,
                                  .host = names[index],
                                  .data_centre = "dc",
                                  .may_lead = true,
                                  .seeds = &no_seeds,
                                  .send = send_frame,
                                  .handle_follow = handle_follow,
                                  .data = host };

  *host = (struct host){ .scene = scene, .name = names[index] };
  host->table = table_create (&table);
  host->feed = feed_create (&options);
  feed_add (host->feed, host->table);
}

static void
open_scene (struct scene *scene)
{
  struct feed_host hosts[HOSTS];

  *scene = (struct scene){ .loop = ev_loop_new (EVFLAG_AUTO), .revision = 1 };
  scene->store = g_hash_table_new (g_str_hash, g_str_equal);
  for (size_t i = 0; i < HOSTS; i++)
    open_host (scene, i);
  for (size_t i = 0; i < HOSTS; i++)
    hosts[i] = (struct feed_host){ .name = names[i],
                                   .data_centre = "dc",
                                   .is_entry = true };
  for (size_t i = 0; i < HOSTS; i++)
    feed_set_hosts (scene->hosts[i].feed, hosts, HOSTS);
  store_put (scene, "one");
  run (scene, LEADER_STALE_MS + SETTLE_MS);
}

static void
close_scene (struct scene *scene)
{
  for (size_t i = 0; i < HOSTS; i++)
    {
      feed_destroy (scene->hosts[i].feed);
      table_destroy (scene->hosts[i].table);
    }
  g_hash_table_destroy (scene->store);
  ev_loop_destroy (scene->loop);
}

static bool
all_know (struct scene *scene, const char *name)
{
  for (size_t i = 0; i < HOSTS; i++)
    if (!scene->hosts[i].is_cut && !table_find (scene->hosts[i].table, name))
      return false;
  return true;
}

static bool
none_knows (struct scene *scene, const char *name)
{
  for (size_t i = 0; i < HOSTS; i++)
    if (!scene->hosts[i].is_cut && table_find (scene->hosts[i].table, name))
      return false;
  return true;
}

/* Of the hosts that the store answers.  */
static bool
one_follows (struct scene *scene, const char *name)
{
  int count = 0;

  for (size_t i = 0; i < HOSTS; i++)
    count += scene->hosts[i].follows && !scene->hosts[i].is_turned;
  return count == 1;
}

/* The best ranked host follows the store, alone.  */
static bool
best_follows (struct scene *scene, const char *name)
{
  const struct host *best = &scene->hosts[0];

  for (size_t i = 1; i < HOSTS; i++)
    if (id_hash_text (scene->hosts[i].name) < id_hash_text (best->name))
      best = &scene->hosts[i];
  return best->follows && one_follows (scene, name);
}

static struct host *
leader_of (struct scene *scene)
{
  wait_until (scene, one_follows, NULL);
  for (size_t i = 0; i < HOSTS; i++)
    if (scene->hosts[i].follows && !scene->hosts[i].is_turned)
      return &scene->hosts[i];
  return &scene->hosts[LEADER];
}

/* One host follows the store, and all know what it reads.  */
static void
test_one_follows (void)
{
  struct scene scene;

  open_scene (&scene);
  leader_of (&scene);
  wait_until (&scene, all_know, "one");
  store_put (&scene, "two");
  wait_until (&scene, all_know, "two");
  g_hash_table_remove (scene.store, "one");
  scene.revision++;
  wait_until (&scene, none_knows, "one");
  close_scene (&scene);
}

/* The host that follows the store dies.  */
static void
test_leader_dies (void)
{
  struct scene scene;
  struct host *leader;

  open_scene (&scene);
  wait_until (&scene, best_follows, NULL);
  leader = leader_of (&scene);
  leader->is_cut = true;
  store_put (&scene, "two");
  wait_until (&scene, all_know, "two");
  leader->is_cut = false;
  wait_until (&scene, all_know, "two");
  wait_until (&scene, best_follows, NULL);
  close_scene (&scene);
}

/* The store turns the host away that followed it, then all but one.  */
static void
test_turned_away (void)
{
  struct scene scene;

  open_scene (&scene);
  leader_of (&scene)->is_turned = true;
  store_put (&scene, "two");
  wait_until (&scene, all_know, "two");
  leader_of (&scene)->is_turned = true;
  store_put (&scene, "three");
  wait_until (&scene, all_know, "three");
  close_scene (&scene);
}

/* A host missed an update while it was cut off.  */
static void
test_missed_update (void)
{
  struct scene scene;
  struct host *other;

  open_scene (&scene);
  other = leader_of (&scene) == &scene.hosts[0] ? &scene.hosts[1]
                                                : &scene.hosts[0];
  other->is_cut = true;
  store_put (&scene, "two");
  g_hash_table_remove (scene.store, "one");
  wait_until (&scene, all_know, "two");
  CU_ASSERT_PTR_NULL (table_find (other->table, "two"));
  other->is_cut = false;
  wait_until (&scene, all_know, "two");
  wait_until (&scene, none_knows, "one");
  close_scene (&scene);
}

/* Nothing changes: beacons go round, but no objects.  */
static void
test_quiet (void)
{
  struct scene scene;
  int updates = 0;

  open_scene (&scene);
  for (size_t i = 0; i < HOSTS; i++)
    scene.hosts[i].updates = 0;
  run (&scene, SETTLE_MS);
  for (size_t i = 0; i < HOSTS; i++)
    updates += scene.hosts[i].updates;
  CU_ASSERT_EQUAL (updates, 0);
  close_scene (&scene);
}

CU_TestInfo feed_tests[] = {
  { "one host follows the store", test_one_follows },
  { "the host that follows it dies", test_leader_dies },
  { "the store turns hosts away", test_turned_away },
  { "a host missed an update", test_missed_update },
  { "nothing changes", test_quiet },
  CU_TEST_INFO_NULL,
};
