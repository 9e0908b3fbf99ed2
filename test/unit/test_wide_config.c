#include "common/buf.h"
#include "common/id.h"
#include "common/memory.h"
#include "feed/feed.h"
#include "peer/packed_frame.h"
#include "suites.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HOSTS = 120,
  CENTRES = 3,
  ROUTES = 2850,
  STEP_MS = 10,
  STALE_MS = 1950, /* for changes that must be in force within 3 s */
  WITHIN_MS = 3000,
  SETTLE_MS = 8000,
  CHANGES = 4,
  CHANGE_MS = 1000,
  LINK_BYTES_PER_MS = 30 * 1000 / 8, /* 30 Mbit/s */
  PACKET_BYTES = 1500,
  TABLE_ROUTE_BYTES = 64, /* compressed, with the spare room of its buffer */
  CONFIG_TREE_BYTES = 32 * 1024 * 1024,
  HOST_MEMORY_BYTES = 88 * 1000 * 1000,
  LINK_MEMORY_PERCENT = 12, /* of it, for what other hosts have not read */
};

/* A frame on its way to another host. */
struct transfer
{
  struct host *to;
  struct buf bytes;
  size_t sent;
  bool is_bulk; /* the sender's feed waits for its end */
};

/* A host behind a link whose bandwidth its transfers share. */
struct host
{
  struct fleet *fleet;
  char name[8];
  char data_centre[8];
  struct table *table;
  struct feed *feed;
  GQueue transfers[HOSTS]; /* by receiver, each in order */
  size_t next_receiver;
  size_t queued_bytes;
  size_t peak_bytes;
  int64_t next_tick_ms;
  int64_t version; /* in force */
  bool follows;
};

struct fleet
{
  struct host hosts[HOSTS];
  int64_t now_ms;
  int64_t version; /* in the store */
  json_t *object;  /* the store's configuration */
  int follow_changes;
};

static int64_t
fleet_now_ms (void *data)
{
  return ((struct host *)data)->fleet->now_ms;
}

static struct host *
find_host (struct fleet *fleet, const char *name)
{
  for (size_t i = 0; i < HOSTS; i++)
    if (strcmp (fleet->hosts[i].name, name) == 0)
      return &fleet->hosts[i];
  return NULL;
}

static void
queue_transfer (struct host *from, const char *name, const Peer__Frame *frame,
                bool is_bulk)
{
  struct transfer *transfer = xcalloc (1, sizeof *transfer);

  transfer->is_bulk = is_bulk;
  transfer->to = find_host (from->fleet, name);
  packed_frame_append (&transfer->bytes, frame);
  from->queued_bytes += transfer->bytes.len;
  if (from->queued_bytes > from->peak_bytes)
    from->peak_bytes = from->queued_bytes;
  g_queue_push_tail (&from->transfers[transfer->to - from->fleet->hosts],
                     transfer);
}

static void
queue_frame (void *data, const char *name, const Peer__Frame *frame)
{
  queue_transfer (data, name, frame, false);
}

static bool
queue_bulk_frame (void *data, const char *name, const Peer__Frame *frame)
{
  queue_transfer (data, name, frame, true);
  return true;
}

static void
transfer_destroy (gpointer data)
{
  struct transfer *transfer = data;

  buf_release (&transfer->bytes);
  free (transfer);
}

static void
deliver (struct host *from, struct transfer *transfer)
{
  Peer__Frame *frame = packed_frame_unpack (&transfer->bytes);

  feed_handle_frame (transfer->to->feed, from->name, frame);
  peer__frame__free_unpacked (frame, NULL);
  if (transfer->is_bulk)
    feed_handle_sent (from->feed, transfer->to->name);
  transfer_destroy (transfer);
}

/* Sends a packet of the first frame to the next receiver that has one.
   Returns the bytes sent, or 0 if there is none.  */
static size_t
send_packet (struct host *host)
{
  for (size_t i = 0; i < HOSTS; i++)
    {
      GQueue *queue = &host->transfers[host->next_receiver++ % HOSTS];
      struct transfer *transfer = g_queue_peek_head (queue);
      size_t len;

      if (!transfer)
        continue;
      len = MIN (transfer->bytes.len - transfer->sent, PACKET_BYTES);
      transfer->sent += len;
      host->queued_bytes -= len;
      if (transfer->sent == transfer->bytes.len)
        deliver (host, g_queue_pop_head (queue));
      return len;
    }
  return 0;
}

static void
send_for_step (struct host *host)
{
  size_t budget = STEP_MS * LINK_BYTES_PER_MS;
  size_t sent = 0;
  size_t len;

  while (sent < budget && (len = send_packet (host)) > 0)
    sent += len;
}

static void
handle_follow (void *data, bool follows)
{
  struct host *host = data;

  host->follows = follows;
  host->fleet->follow_changes++;
}

static void
handle_object (void *data, const char *name, json_t *object, bool removed)
{
  ((struct host *)data)->version
      = json_integer_value (json_object_get (object, "version"));
}

static void
handle_commit (void *data)
{
}

/* Returns a configuration with ROUTES routes, whose names differ as much as
   random ones do.  */
static json_t *
build_config (int64_t version)
{
  json_t *routes = json_array ();

  for (uint32_t i = 0; i < ROUTES; i++)
    {
      uint64_t draw = (uint64_t)(i + 1) * UINT64_C (0x9e3779b97f4a7c15);
      char name[24];
      char hostname[32];
      char path[32];

      snprintf (name, sizeof name, "r-%08x", (unsigned)(draw >> 32));
      snprintf (hostname, sizeof hostname, "h%04x.example",
                (unsigned)(draw >> 20) & 0xffff);
      snprintf (path, sizeof path, "/%06x/%04x/",
                (unsigned)(draw >> 8) & 0xffffff, (unsigned)draw & 0xffff);
      json_array_append_new (
          routes, json_pack ("{s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:i}",
                             "name", name, "hostname", hostname, "path_prefix",
                             path, "backend", i % 2 ? "models" : "records",
                             "type", "idempotent", "timeout_ms", 2000,
                             "priority", (int)(i % 10), "max_attempts", 2));
    }
  return json_pack ("{s:I, s:o}", "version", (json_int_t)version, "routes",
                    routes);
}

static void
change_config (struct fleet *fleet)
{
  json_decref (fleet->object);
  fleet->object = build_config (++fleet->version);
}

/* What a host that follows the store reads from it.  */
static void
read_store (struct host *host)
{
  struct fleet *fleet = host->fleet;
  bool is_loaded = table_is_loaded (host->table);

  if (is_loaded && !host->follows)
    return;
  if (host->version < fleet->version)
    table_put (host->table, "main", fleet->version, fleet->object);
  table_commit (host->table, fleet->version, fleet->now_ms, !is_loaded);
}

static void
run_for (struct fleet *fleet, int64_t duration_ms)
{
  int64_t until_ms = fleet->now_ms + duration_ms;

  for (; fleet->now_ms < until_ms; fleet->now_ms += STEP_MS)
    for (size_t i = 0; i < HOSTS; i++)
      {
        struct host *host = &fleet->hosts[i];

        read_store (host);
        if (fleet->now_ms >= host->next_tick_ms)
          {
            feed_tick (host->feed);
            host->next_tick_ms += feed_interval_ms (host->feed);
          }
        send_for_step (host);
      }
}

static void
host_init (struct fleet *fleet, size_t index)
{
  static const struct strings no_seeds;
  struct host *host = &fleet->hosts[index];
  struct table_options table = { .kind = "config",
                                 .max_tree_bytes = CONFIG_TREE_BYTES,
                                 .packs_objects = true,
                                 .handle_object = handle_object,
                                 .handle_commit = handle_commit,
                                 .data = host };
  struct feed_options options = { .host = host->name,
                                  .data_centre = host->data_centre,
                                  .may_lead = true,
                                  .stale_ms = STALE_MS,
                                  .seeds = &no_seeds,
                                  .send = queue_frame,
                                  .send_bulk = queue_bulk_frame,
                                  .handle_follow = handle_follow,
                                  .now_ms = fleet_now_ms,
                                  .data = host };

  host->fleet = fleet;
  snprintf (host->name, sizeof host->name, "h%zu", index);
  snprintf (host->data_centre, sizeof host->data_centre, "dc%zu",
            index % CENTRES);
  host->table = table_create (&table);
  host->feed = feed_create (&options);
  host->next_tick_ms
      = fleet->now_ms + (int64_t)index * feed_interval_ms (host->feed) / HOSTS;
  feed_add_table (host->feed, host->table);
}

static struct fleet *
fleet_create (void)
{
  struct fleet *fleet = xcalloc (1, sizeof *fleet);
  struct feed_host hosts[HOSTS];

  fleet->now_ms = 1000000;
  change_config (fleet);
  for (size_t i = 0; i < HOSTS; i++)
    {
      host_init (fleet, i);
      hosts[i]
          = (struct feed_host){ .name = fleet->hosts[i].name,
                                .data_centre = fleet->hosts[i].data_centre,
                                .is_entry = true };
    }
  for (size_t i = 0; i < HOSTS; i++)
    feed_set_hosts (fleet->hosts[i].feed, hosts, HOSTS);
  run_for (fleet, SETTLE_MS);
  fleet->follow_changes = 0;
  for (size_t i = 0; i < HOSTS; i++)
    fleet->hosts[i].peak_bytes = 0;
  return fleet;
}

static void
fleet_destroy (struct fleet *fleet)
{
  for (size_t i = 0; i < HOSTS; i++)
    {
      feed_destroy (fleet->hosts[i].feed);
      table_destroy (fleet->hosts[i].table);
      for (size_t to = 0; to < HOSTS; to++)
        g_queue_clear_full (&fleet->hosts[i].transfers[to], transfer_destroy);
    }
  json_decref (fleet->object);
  free (fleet);
}

/* Guards against hosts that run out of memory, are taken for silent or keep an
   old version when a wide configuration changes a few times: each must hold no
   more for the others than its links' share of its memory, the same host must
   go on following the store, and the last version must be in force in time. */
static void
test_wide_config_changes (void)
{
  struct fleet *fleet = fleet_create ();
  size_t peak_bytes = 0;
  int outdated = 0;

  for (int i = 0; i < CHANGES; i++)
    {
      change_config (fleet);
      run_for (fleet, CHANGE_MS);
    }
  run_for (fleet, WITHIN_MS - CHANGE_MS);
  for (size_t i = 0; i < HOSTS; i++)
    {
      peak_bytes = MAX (peak_bytes, fleet->hosts[i].peak_bytes);
      outdated += fleet->hosts[i].version < fleet->version;
    }
  CU_ASSERT_TRUE (peak_bytes <= HOST_MEMORY_BYTES / 100 * LINK_MEMORY_PERCENT);
  CU_ASSERT_EQUAL (outdated, 0);
  CU_ASSERT_EQUAL (fleet->follow_changes, 0);
  if (peak_bytes > HOST_MEMORY_BYTES / 100 * LINK_MEMORY_PERCENT
      || outdated > 0)
    printf ("\n%zu bytes queued at most, %d hosts outdated, %d changes of "
            "following\n",
            peak_bytes, outdated, fleet->follow_changes);
  fleet_destroy (fleet);
}

/* A feed without a network, whose last large frame is kept. */
struct lone_host
{
  struct table *table;
  struct feed *feed;
  Peer__Frame *sent; /* NULL for none */
};

static void
ignore_frame (void *data, const char *host, const Peer__Frame *frame)
{
}

static bool
keep_frame (void *data, const char *host, const Peer__Frame *frame)
{
  struct lone_host *lone = data;
  struct buf packed = { 0 };

  packed_frame_append (&packed, frame);
  lone->sent = packed_frame_unpack (&packed);
  buf_release (&packed);
  return true;
}

static void
ignore_follow (void *data, bool follows)
{
}

static void
lone_host_init (struct lone_host *lone)
{
  static const struct strings no_seeds;
  struct table_options table = { .kind = "config",
                                 .max_tree_bytes = CONFIG_TREE_BYTES,
                                 .packs_objects = true,
                                 .handle_commit = handle_commit };
  struct feed_options options = { .host = "lone",
                                  .data_centre = "dc",
                                  .may_lead = true,
                                  .stale_ms = STALE_MS,
                                  .seeds = &no_seeds,
                                  .send = ignore_frame,
                                  .send_bulk = keep_frame,
                                  .handle_follow = ignore_follow,
                                  .data = lone };

  *lone = (struct lone_host){ .table = table_create (&table) };
  lone->feed = feed_create (&options);
  feed_add_table (lone->feed, lone->table);
}

static void
lone_host_release (struct lone_host *lone)
{
  if (lone->sent)
    peer__frame__free_unpacked (lone->sent, NULL);
  feed_destroy (lone->feed);
  table_destroy (lone->table);
}

/* Asks the host for its table and returns the answer, which the host owns.  */
static Peer__FeedUpdate *
ask (struct lone_host *lone, bool accepts_deflate)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__FeedAsk request = PEER__FEED_ASK__INIT;

  request.kind = (char *)"config";
  request.accepts_deflate = accepts_deflate;
  frame.body_case = PEER__FRAME__BODY_FEED_ASK;
  frame.feed_ask = &request;
  feed_handle_frame (lone->feed, "other", &frame);
  CU_ASSERT_PTR_NOT_NULL_FATAL (lone->sent);
  return lone->sent->feed_update;
}

static void
load_config (struct lone_host *lone)
{
  json_t *object = build_config (7);

  table_put (lone->table, "main", 7, object);
  table_commit (lone->table, 7, clock_now_ms (), true);
  json_decref (object);
}

/* Guards against updates that hosts of the version before, which do not know
   compressed ones, take for empty.  */
static void
test_host_without_deflate (void)
{
  struct lone_host lone;
  const Peer__FeedUpdate *update;

  lone_host_init (&lone);
  load_config (&lone);
  update = ask (&lone, false);
  CU_ASSERT_EQUAL (update->deflated.len, 0);
  CU_ASSERT_EQUAL_FATAL (update->n_objects, 1);
  CU_ASSERT_EQUAL (update->n_names, 1);
  CU_ASSERT_EQUAL (update->objects[0]->revision, 7);
  CU_ASSERT_TRUE (update->objects[0]->text.len > 100 * ROUTES);
  CU_ASSERT_TRUE (update->is_complete);
  lone_host_release (&lone);
}

/* Guards against compressed updates that end or fill a host: those with other
   content than they state are ignored, and a sound one is applied after them.
   */
static void
test_damaged_payload (void)
{
  struct lone_host sender;
  struct lone_host receiver;
  Peer__FeedUpdate *update;
  uint32_t inflated_bytes;

  lone_host_init (&sender);
  lone_host_init (&receiver);
  load_config (&sender);
  update = ask (&sender, true);
  CU_ASSERT_EQUAL (update->n_objects, 0);
  CU_ASSERT_TRUE (update->deflated.len > 0);
  inflated_bytes = update->inflated_bytes;

  update->inflated_bytes = UINT32_MAX;
  feed_handle_frame (receiver.feed, "other", sender.sent);
  update->inflated_bytes = inflated_bytes - 1;
  feed_handle_frame (receiver.feed, "other", sender.sent);
  update->inflated_bytes = inflated_bytes;
  update->deflated.data[update->deflated.len / 2] ^= 1;
  feed_handle_frame (receiver.feed, "other", sender.sent);
  CU_ASSERT_FALSE (table_is_loaded (receiver.table));
  update->deflated.data[update->deflated.len / 2] ^= 1;
  feed_handle_frame (receiver.feed, "other", sender.sent);
  CU_ASSERT_PTR_NOT_NULL (table_find (receiver.table, "main"));
  lone_host_release (&sender);
  lone_host_release (&receiver);
}

/* Guards against hosts that keep the parsed tree of the whole configuration,
   eight times its text.  The price of a route that a host keeps for others is
   TABLE_ROUTE_BYTES; what others get is the same as before.  */
static void
test_price_of_a_route (void)
{
  struct lone_host lone;
  const struct table_entry *entry;
  json_t *expected = build_config (7);
  char *expected_text = json_dumps (expected, JSON_COMPACT);
  char *text;
  size_t len;
  int64_t before_bytes = memory_used (MEMORY_OBJECTS);

  lone_host_init (&lone);
  load_config (&lone);
  feed_tick (lone.feed);
  entry = table_find (lone.table, "main");
  CU_ASSERT_PTR_NULL (entry->object);
  CU_ASSERT_TRUE (memory_used (MEMORY_OBJECTS) - before_bytes
                  <= ROUTES * TABLE_ROUTE_BYTES);
  text = table_entry_text (entry, &len);
  CU_ASSERT_EQUAL (len, strlen (expected_text));
  CU_ASSERT_STRING_EQUAL (text, expected_text);
  ask (&lone, true);
  CU_ASSERT_TRUE (memory_used (MEMORY_OBJECTS) - before_bytes
                  <= ROUTES * 2 * TABLE_ROUTE_BYTES);
  lone_host_release (&lone);
  CU_ASSERT_EQUAL (memory_used (MEMORY_OBJECTS), before_bytes);
  free (text);
  free (expected_text);
  json_decref (expected);
}

CU_TestInfo wide_config_tests[] = {
  { "wide configuration changes a few times", test_wide_config_changes },
  { "a host that does not know compressed updates",
    test_host_without_deflate },
  { "damaged payload", test_damaged_payload },
  { "price of a route", test_price_of_a_route },
  CU_TEST_INFO_NULL,
};
