#include "feed/feed.h"
#include "common/buf.h"
#include "common/counters.h"
#include "common/id.h"
#include "common/log.h"
#include "common/object.h"
#include "policy/leader.h"
#include <stdlib.h>
#include <string.h>

enum
{
  MS_PER_S = 1000,
  MAX_TABLES = 8,
  BEACONS_PER_STALE = 5,     /* sent before state becomes stale */
  REQUEST_INTERVAL_MS = 200, /* between requests for one kind to the leader */
  HOSTS_PER_REQUEST = 2,     /* asked at once while the store is unreachable */
  /* A change of more objects is not sent to all followers: they ask for it, so
     that a host of the data centre need not send it to each of them. */
  MAX_FORWARDED_OBJECTS = 64,
  /* Sent between two beacons to hosts that lack a whole table; their further
     requests are not answered and are repeated, to this host or another. */
  MAX_ANSWER_BYTES = 512 * 1024,
  RELAYS_PER_DATA_CENTRE = 2, /* hosts that the leader sends to elsewhere */
  /* The hosts of a data centre take over one after the other, in the order of
     their ranks.  While the store is down, so few of them call it. */
  TAKEOVER_STEP_MS = 150,
  MAX_TAKEOVER_DELAY_MS = 4000,
  /* Hosts of other data centres that follow the store beside this one, and how
     long they are sent beacons after their last one. */
  MAX_RIVALS = 8,
  RIVAL_MS = 10000,
};

/* A table that is replicated between hosts. */
struct replicated_table
{
  struct table *table;
  int64_t requested_ms; /* when an update was last requested from the leader */
};

/* Another host. */
struct feed_member
{
  char *name;
  uint64_t rank;
  uint64_t data_centre_hash;
  bool is_local; /* of this host's data centre */
  bool is_entry;
};

/* A host of another data centre that also followed the store. */
struct rival
{
  char *name;
  int64_t until_ms;
};

struct feed
{
  struct feed_options options;
  struct leader leader;
  struct replicated_table tables[MAX_TABLES];
  size_t table_count;
  GHashTable *members;        /* name -> struct feed_member */
  struct strings local_hosts; /* other hosts of the data centre */
  struct strings relays;      /* in other data centres */
  struct strings entry_hosts; /* other entry hosts of all data centres */
  struct rival rivals[MAX_RIVALS];
  size_t next_host;   /* index of the host to ask next */
  bool follows_store; /* whether this host was last told to follow the store */
  bool is_store_reachable; /* by this host */
  size_t answered_bytes;   /* of whole tables, since the last beacon */
  ev_timer tick;
};

/* Returns the time at which all tables were up to date.  */
static int64_t
oldest_as_of_ms (const struct feed *feed)
{
  int64_t oldest = INT64_MAX;

  for (size_t i = 0; i < feed->table_count; i++)
    if (table_as_of_ms (feed->tables[i].table) < oldest)
      oldest = table_as_of_ms (feed->tables[i].table);
  return oldest;
}

static bool
are_tables_loaded (const struct feed *feed)
{
  for (size_t i = 0; i < feed->table_count; i++)
    if (!table_is_loaded (feed->tables[i].table))
      return false;
  return true;
}

/* Whether this host sends beacons and updates to relays in the other data
   centres.  */
static bool
is_leading (const struct feed *feed)
{
  return feed->options.may_lead && feed->follows_store
         && feed->is_store_reachable && are_tables_loaded (feed);
}

/* Whether this host sends beacons and updates to the other hosts of its data
   centre.  */
static bool
is_relaying (const struct feed *feed, int64_t now_ms)
{
  return is_leading (feed)
         || (feed->options.may_lead && are_tables_loaded (feed)
             && !feed->follows_store && leader_relays (&feed->leader, now_ms));
}

static void
send_to (struct feed *feed, const struct strings *hosts,
         const Peer__Frame *frame)
{
  for (size_t i = 0; i < hosts->count; i++)
    feed->options.send (feed->options.data, hosts->items[i], frame);
}

/* Sends FRAME to the hosts that rely on this one.  */
static void
send_to_followers (struct feed *feed, const Peer__Frame *frame, int64_t now_ms)
{
  if (is_relaying (feed, now_ms))
    send_to (feed, &feed->local_hosts, frame);
  if (!is_leading (feed))
    return;
  send_to (feed, &feed->relays, frame);
  for (size_t i = 0; i < MAX_RIVALS; i++)
    if (feed->rivals[i].name && now_ms < feed->rivals[i].until_ms
        && !strings_contain (&feed->relays, feed->rivals[i].name))
      feed->options.send (feed->options.data, feed->rivals[i].name, frame);
}

static void
fill_state (Peer__FeedState *state, const struct table *table, int64_t now_ms)
{
  peer__feed_state__init (state);
  state->kind = (char *)(uintptr_t)table_kind (table);
  state->revision = (uint64_t)table_revision (table);
  state->count = table_count (table);
  state->age_ms = (uint32_t)(now_ms - table_as_of_ms (table));
}

static void
send_beacon (struct feed *feed, int64_t now_ms)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__FeedBeacon beacon = PEER__FEED_BEACON__INIT;
  Peer__FeedState states[MAX_TABLES];
  Peer__FeedState *list[MAX_TABLES];

  for (size_t i = 0; i < feed->table_count; i++)
    {
      fill_state (&states[i], feed->tables[i].table, now_ms);
      list[i] = &states[i];
    }
  beacon.states = list;
  beacon.n_states = feed->table_count;
  frame.body_case = PEER__FRAME__BODY_FEED_BEACON;
  frame.feed_beacon = &beacon;
  send_to_followers (feed, &frame, now_ms);
}

static void
request_update (struct feed *feed, const char *host, const struct table *table)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__FeedAsk request = PEER__FEED_ASK__INIT;

  request.kind = (char *)(uintptr_t)table_kind (table);
  request.revision = (uint64_t)table_revision (table);
  frame.body_case = PEER__FRAME__BODY_FEED_ASK;
  frame.feed_ask = &request;
  feed->options.send (feed->options.data, host, &frame);
}

/* Asks some other hosts for updates that the store does not deliver.  */
static void
request_from_other_hosts (struct feed *feed)
{
  const struct strings *hosts
      = feed->entry_hosts.count > 0 ? &feed->entry_hosts : feed->options.seeds;

  for (size_t i = 0; i < HOSTS_PER_REQUEST && i < hosts->count; i++)
    {
      const char *host = hosts->items[feed->next_host++ % hosts->count];

      for (size_t t = 0; t < feed->table_count; t++)
        request_update (feed, host, feed->tables[t].table);
    }
}

static void
set_follows_store (struct feed *feed, bool follows_store)
{
  if (feed->follows_store == follows_store)
    return;
  feed->follows_store = follows_store;
  log_write (LOG_INFO, "feed", NULL,
             follows_store
                 ? "following the store: no other host sends up-to-date "
                   "beacons"
                 : "following another host");
  feed->options.handle_follow (feed->options.data, follows_store);
}

static int64_t
beacon_interval_ms (const struct feed *feed)
{
  return feed->options.stale_ms / BEACONS_PER_STALE;
}

static void
handle_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct feed *feed = timer->data;
  int64_t now_ms = clock_now_ms ();

  feed->answered_bytes = 0;
  set_follows_store (feed, leader_watches_store (&feed->leader, now_ms));
  if (is_relaying (feed, now_ms))
    send_beacon (feed, now_ms);
  /* By then, the store has had time to answer. */
  if (feed->follows_store
      && now_ms - oldest_as_of_ms (feed)
             > feed->options.stale_ms + beacon_interval_ms (feed))
    request_from_other_hosts (feed);
}

static void
feed_member_destroy (gpointer data)
{
  struct feed_member *member = data;

  free (member->name);
  free (member);
}

/* Creates a feed without tables.  It does not follow the store at first.  */
struct feed *
feed_create (const struct feed_options *options)
{
  struct feed *feed = xcalloc (1, sizeof *feed);

  struct leader_options leader = { .own_rank = id_hash_text (options->host),
                                   .may_lead = options->may_lead,
                                   .stale_ms = options->stale_ms };
  double interval_s;

  feed->options = *options;
  feed->members = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                         feed_member_destroy);
  feed->is_store_reachable = true;
  leader_init (&feed->leader, &leader, clock_now_ms ());
  interval_s = (double)beacon_interval_ms (feed) / MS_PER_S;
  ev_timer_init (&feed->tick, handle_tick, interval_s, interval_s);
  feed->tick.data = feed;
  ev_timer_start (options->loop, &feed->tick);
  return feed;
}

/* Frees the feed.  The tables remain with their owner.  */
void
feed_destroy (struct feed *feed)
{
  if (!feed)
    return;
  for (size_t i = 0; i < feed->table_count; i++)
    table_set_listener (feed->tables[i].table, NULL, NULL);
  ev_timer_stop (feed->options.loop, &feed->tick);
  strings_release (&feed->local_hosts);
  strings_release (&feed->relays);
  strings_release (&feed->entry_hosts);
  for (size_t i = 0; i < MAX_RIVALS; i++)
    free (feed->rivals[i].name);
  g_hash_table_destroy (feed->members);
  free (feed);
}

/* An update that is being built. */
struct pending_update
{
  Peer__FeedUpdate message;
  Peer__FeedState state;
  GPtrArray *objects; /* Peer__FeedObject */
  /* Names of all objects, in complete updates; borrowed from the table. */
  GPtrArray *names;
};

static void
object_free (gpointer data)
{
  Peer__FeedObject *object = data;

  free (object->text.data);
  free (object);
}

static void
update_init (struct pending_update *update, const struct table *table,
             int64_t base)
{
  peer__feed_update__init (&update->message);
  fill_state (&update->state, table, clock_now_ms ());
  update->message.state = &update->state;
  update->message.since = (uint64_t)base;
  update->objects = g_ptr_array_new_with_free_func (object_free);
  update->names = g_ptr_array_new ();
}

static void
update_add (struct pending_update *update, const struct table_entry *entry)
{
  Peer__FeedObject *object = xcalloc (1, sizeof *object);
  char *text = json_dumps (entry->object, JSON_COMPACT);

  peer__feed_object__init (object);
  object->name = entry->name;
  object->revision = (uint64_t)entry->revision;
  object->text.data = (uint8_t *)text;
  object->text.len = strlen (text);
  g_ptr_array_add (update->objects, object);
}

static void
update_add_removed (struct pending_update *update, const char *name)
{
  Peer__FeedObject *object = xcalloc (1, sizeof *object);

  peer__feed_object__init (object);
  object->name = (char *)(uintptr_t)name;
  g_ptr_array_add (update->objects, object);
}

static void
update_add_names (struct pending_update *update, const struct table *table)
{
  GPtrArray *entries = table_entries (table);

  update->message.is_complete = true;
  for (guint i = 0; i < entries->len; i++)
    g_ptr_array_add (update->names,
                     ((const struct table_entry *)entries->pdata[i])->name);
  g_ptr_array_free (entries, TRUE);
}

/* Sends the update to HOST, or to all hosts that rely on this one if it is
   NULL, and frees its arrays.  */
static void
update_send (struct feed *feed, struct pending_update *update,
             const char *host)
{
  Peer__Frame frame = PEER__FRAME__INIT;

  update->message.objects = (Peer__FeedObject **)update->objects->pdata;
  update->message.n_objects = update->objects->len;
  update->message.names = (char **)update->names->pdata;
  update->message.n_names = update->names->len;
  frame.body_case = PEER__FRAME__BODY_FEED_UPDATE;
  frame.feed_update = &update->message;
  if (host)
    feed->options.send (feed->options.data, host, &frame);
  else
    send_to_followers (feed, &frame, clock_now_ms ());
  g_ptr_array_free (update->objects, TRUE);
  g_ptr_array_free (update->names, TRUE);
}

/* Forwards a change that this host has read from the store, or received from
   the leader, to the hosts that rely on this one.  */
static void
forward_change (void *data, struct table *table,
                const struct table_change *change)
{
  struct feed *feed = data;
  struct pending_update update;

  int64_t now_ms = clock_now_ms ();

  if (!is_relaying (feed, now_ms) || change->names->len == 0)
    return;
  if (change->names->len > MAX_FORWARDED_OBJECTS)
    {
      send_beacon (feed, now_ms);
      return;
    }
  update_init (&update, table, change->base);
  for (guint i = 0; i < change->names->len; i++)
    {
      const char *name = change->names->pdata[i];
      const struct table_entry *entry = table_find (table, name);

      if (entry)
        update_add (&update, entry);
      else
        update_add_removed (&update, name);
    }
  if (change->is_complete)
    update_add_names (&update, table);
  update_send (feed, &update, NULL);
}

/* Adds a table, which must outlive the feed.  */
void
feed_add_table (struct feed *feed, struct table *table)
{
  feed->tables[feed->table_count++]
      = (struct replicated_table){ .table = table };
  table_set_listener (table, forward_change, feed);
}

static void
add_member (struct feed *feed, const struct feed_host *host)
{
  struct feed_member *member = xcalloc (1, sizeof *member);

  member->name = xstrdup (host->name);
  member->rank = id_hash_text (host->name);
  member->data_centre_hash = id_hash_text (host->data_centre);
  member->is_local
      = strcmp (host->data_centre, feed->options.data_centre) == 0;
  member->is_entry = host->is_entry;
  g_hash_table_replace (feed->members, member->name, member);
  if (member->is_local)
    strings_add (&feed->local_hosts, member->name);
  if (member->is_entry)
    strings_add (&feed->entry_hosts, member->name);
}

/* Returns how many entry hosts of MEMBER's data centre rank before it.  */
static size_t
count_better_ranked (const struct feed *feed, const struct feed_member *member)
{
  GHashTableIter iter;
  gpointer value;
  size_t count = 0;

  g_hash_table_iter_init (&iter, feed->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct feed_member *other = value;

      count += other->is_entry && other->rank < member->rank
               && other->data_centre_hash == member->data_centre_hash;
    }
  return count;
}

static void
select_relays (struct feed *feed)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, feed->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct feed_member *member = value;

      if (member->is_entry && !member->is_local
          && count_better_ranked (feed, member) < RELAYS_PER_DATA_CENTRE)
        strings_add (&feed->relays, member->name);
    }
}

static int64_t
takeover_delay_ms (const struct feed *feed)
{
  struct feed_member self
      = { .rank = feed->leader.options.own_rank,
          .data_centre_hash = id_hash_text (feed->options.data_centre) };
  int64_t position = (int64_t)count_better_ranked (feed, &self);

  if (!feed->options.may_lead)
    return MAX_TAKEOVER_DELAY_MS;
  return MIN (position * TAKEOVER_STEP_MS, MAX_TAKEOVER_DELAY_MS);
}

/* Sets the list of all hosts.  This host is ignored if listed.  */
void
feed_set_hosts (struct feed *feed, const struct feed_host *hosts, size_t count)
{
  strings_release (&feed->local_hosts);
  strings_release (&feed->relays);
  strings_release (&feed->entry_hosts);
  g_hash_table_remove_all (feed->members);
  for (size_t i = 0; i < count; i++)
    if (strcmp (hosts[i].name, feed->options.host) != 0)
      add_member (feed, &hosts[i]);
  select_relays (feed);
  feed->leader.takeover_delay_ms = takeover_delay_ms (feed);
}

/* Records whether the store is reachable.  While it is not, this host cannot
   become the leader.  */
void
feed_set_store_reachable (struct feed *feed, bool is_reachable)
{
  feed->is_store_reachable = is_reachable;
  feed->leader.options.may_lead = feed->options.may_lead && is_reachable;
}

static struct replicated_table *
find_table (struct feed *feed, const char *kind)
{
  for (size_t i = 0; i < feed->table_count; i++)
    if (strcmp (table_kind (feed->tables[i].table), kind) == 0)
      return &feed->tables[i];
  return NULL;
}

/* Remembers a host that follows the store although this one does, so that it
   gets this host's beacons.  */
static void
record_rival (struct feed *feed, const char *host, int64_t now_ms)
{
  struct rival *oldest = &feed->rivals[0];

  for (size_t i = 0; i < MAX_RIVALS; i++)
    {
      struct rival *rival = &feed->rivals[i];

      if (rival->name && strcmp (rival->name, host) == 0)
        {
          rival->until_ms = now_ms + RIVAL_MS;
          return;
        }
      if (rival->until_ms < oldest->until_ms)
        oldest = rival;
    }
  free (oldest->name);
  oldest->name = xstrdup (host);
  oldest->until_ms = now_ms + RIVAL_MS;
}

/* Records that HOST sends beacons or updates.  This host relies on it if the
   local tables are up to date.  */
static void
record_leader (struct feed *feed, const char *host)
{
  const struct feed_member *member = g_hash_table_lookup (feed->members, host);
  int64_t now_ms = clock_now_ms ();

  if (!are_tables_loaded (feed) || !member || !member->is_entry)
    return;
  if (leader_record_beacon (&feed->leader, member->is_local, member->rank,
                            now_ms - oldest_as_of_ms (feed), now_ms))
    set_follows_store (feed, leader_watches_store (&feed->leader, now_ms));
  else if (!member->is_local && feed->follows_store)
    record_rival (feed, host, now_ms);
}

/* Updates the time at which the table was last up to date.  Returns false if
   the table lacks something that STATE describes.  */
static bool
confirm_state (struct table *table, const Peer__FeedState *state)
{
  int64_t revision = (int64_t)state->revision;

  if (!table_is_loaded (table) || table_revision (table) < revision
      || (table_revision (table) == revision
          && table_count (table) != state->count))
    return false;
  if (table_revision (table) == revision)
    table_commit (table, revision, clock_now_ms () - state->age_ms, false);
  return true;
}

/* Returns the host to ask for what TABLE lacks, as LEADER's beacon tells.  A
   whole table is asked of any host of the data centre every other time, so
   that a start of all hosts does not wait for the leader's link.  */
static const char *
pick_source (const struct feed *feed, const struct table *table,
             const char *leader)
{
  uint64_t draw = id_random64 ();

  if (table_is_loaded (table) || feed->local_hosts.count == 0 || draw % 2 == 0)
    return leader;
  return feed->local_hosts.items[draw / 2 % feed->local_hosts.count];
}

static void
handle_beacon (struct feed *feed, const char *host,
               const Peer__FeedBeacon *beacon)
{
  int64_t now_ms = clock_now_ms ();

  for (size_t i = 0; i < beacon->n_states; i++)
    {
      struct replicated_table *replicated
          = find_table (feed, beacon->states[i]->kind);

      if (!replicated || confirm_state (replicated->table, beacon->states[i])
          || now_ms - replicated->requested_ms < REQUEST_INTERVAL_MS)
        continue;
      replicated->requested_ms = now_ms;
      request_update (feed, pick_source (feed, replicated->table, host),
                      replicated->table);
    }
  record_leader (feed, host);
}

static void
apply_object (struct table *table, const Peer__FeedObject *object)
{
  struct json_span text
      = { (const char *)object->text.data, object->text.len };
  const char *reason;
  json_t *json;

  if (text.len == 0)
    {
      table_remove (table, object->name, INT64_MAX);
      return;
    }
  /* What cannot be read is kept as an empty object: the leader counts it.  */
  json = object_parse (text, table_max_tree_bytes (table), &reason);
  table_put (table, object->name, (int64_t)object->revision, json);
  if (reason)
    object_report_unreadable (table_kind (table), object->name,
                              (int64_t)object->revision, reason);
  json_decref (json);
}

static void
apply_update (struct table *table, const Peer__FeedUpdate *update)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < update->n_objects; i++)
    apply_object (table, update->objects[i]);
  for (size_t i = 0; i < update->n_names; i++)
    g_hash_table_add (names, update->names[i]);
  if (update->is_complete)
    table_retain (table, names);
  table_commit (table, (int64_t)update->state->revision,
                clock_now_ms () - update->state->age_ms, update->is_complete);
  g_hash_table_destroy (names);
}

/* Applies an update if its base revision fits the local table; otherwise
   requests one that does.  */
static void
handle_update (struct feed *feed, const char *host,
               const Peer__FeedUpdate *update)
{
  struct replicated_table *replicated
      = update->state ? find_table (feed, update->state->kind) : NULL;
  int64_t revision;

  if (!replicated)
    return;
  revision = table_revision (replicated->table);
  if ((int64_t)update->state->revision < revision)
    return;
  if (confirm_state (replicated->table, update->state))
    {
      record_leader (feed, host);
      return;
    }
  if (update->is_complete ? (int64_t)update->since > revision
                          : !table_is_loaded (replicated->table)
                                || (int64_t)update->since != revision)
    {
      request_update (feed, host, replicated->table);
      return;
    }
  apply_update (replicated->table, update);
  record_leader (feed, host);
}

static size_t
count_bytes (const struct pending_update *update)
{
  size_t bytes = 0;

  for (guint i = 0; i < update->objects->len; i++)
    bytes += ((const Peer__FeedObject *)update->objects->pdata[i])->text.len;
  return bytes;
}

/* Answers a request with the objects that changed after its revision and the
   names of all objects.  Stale state is not sent, and of whole tables no more
   than MAX_ANSWER_BYTES between two beacons.  */
static void
handle_request (struct feed *feed, const char *host,
                const Peer__FeedAsk *request)
{
  const struct replicated_table *replicated = find_table (feed, request->kind);
  struct pending_update update;
  GPtrArray *entries;

  counter_add (COUNTER_FEED_REQUESTS, 1);
  if (!replicated || !table_is_loaded (replicated->table)
      || (request->revision == 0 && feed->answered_bytes > MAX_ANSWER_BYTES)
      || clock_now_ms () - table_as_of_ms (replicated->table)
             > feed->options.stale_ms)
    return;
  update_init (&update, replicated->table, (int64_t)request->revision);
  entries = table_entries (replicated->table);
  for (guint i = 0; i < entries->len; i++)
    {
      const struct table_entry *entry = entries->pdata[i];

      if (entry->revision > (int64_t)request->revision)
        update_add (&update, entry);
    }
  g_ptr_array_free (entries, TRUE);
  update_add_names (&update, replicated->table);
  if (request->revision == 0)
    feed->answered_bytes += count_bytes (&update);
  counter_add (COUNTER_FEED_ANSWERS, 1);
  counter_add (COUNTER_FEED_ANSWER_BYTES, (int64_t)count_bytes (&update));
  update_send (feed, &update, host);
}

/* Handles beacons, requests and updates of other hosts; ignores other frames.
 */
void
feed_handle_frame (struct feed *feed, const char *host,
                   const Peer__Frame *frame)
{
  if (frame->body_case == PEER__FRAME__BODY_FEED_BEACON)
    handle_beacon (feed, host, frame->feed_beacon);
  else if (frame->body_case == PEER__FRAME__BODY_FEED_ASK)
    handle_request (feed, host, frame->feed_ask);
  else if (frame->body_case == PEER__FRAME__BODY_FEED_UPDATE)
    handle_update (feed, host, frame->feed_update);
}
