#include "feed/feed.h"
#include "common/buf.h"
#include "common/id.h"
#include "common/log.h"
#include "policy/leader.h"
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_TABLES = 8,
  /* Between beacons; five are sent before state becomes stale. */
  BEACON_MS = 250,
  REQUEST_INTERVAL_MS = 200, /* between requests for one kind to the leader */
  HOSTS_PER_REQUEST = 2,     /* asked at once while the store is unreachable */
  /* Age of state at which a host that follows the store asks other hosts: by
     then, the store has had time to answer. */
  MAX_STATE_AGE_MS = LEADER_STALE_MS + BEACON_MS,
};

/* A table that is replicated between hosts. */
struct replicated_table
{
  struct table *table;
  int64_t requested_ms; /* when an update was last requested from the leader */
};

struct feed
{
  struct feed_options options;
  struct leader leader;
  struct replicated_table tables[MAX_TABLES];
  size_t table_count;
  struct strings local_hosts;       /* other hosts of the data centre */
  struct strings leader_candidates; /* those of them that may lead */
  struct strings entry_hosts;       /* other entry hosts of all data centres */
  size_t next_host;                 /* index of the host to ask next */
  bool follows_store; /* whether this host was last told to follow the store */
  bool is_store_reachable; /* by this host */
  bool is_applying;        /* while an update from another host is applied */
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

/* Whether this host sends beacons and updates to the other hosts of the data
   centre.  */
static bool
is_leading (const struct feed *feed)
{
  return feed->options.may_lead && feed->follows_store
         && feed->is_store_reachable && are_tables_loaded (feed);
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
  for (size_t i = 0; i < feed->local_hosts.count; i++)
    feed->options.send (feed->options.data, feed->local_hosts.items[i],
                        &frame);
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
                 ? "following the store: no other host of the data centre "
                   "sends up-to-date beacons"
                 : "following another host of the data centre");
  feed->options.handle_follow (feed->options.data, follows_store);
}

static void
handle_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct feed *feed = timer->data;
  int64_t now_ms = clock_now_ms ();

  set_follows_store (feed, leader_is_self (&feed->leader, now_ms));
  if (is_leading (feed))
    send_beacon (feed, now_ms);
  if (feed->follows_store
      && now_ms - oldest_as_of_ms (feed) > MAX_STATE_AGE_MS)
    request_from_other_hosts (feed);
}

/* Creates a feed without tables.  It does not follow the store at first.  */
struct feed *
feed_create (const struct feed_options *options)
{
  struct feed *feed = xcalloc (1, sizeof *feed);

  feed->options = *options;
  feed->is_store_reachable = true;
  leader_init (&feed->leader, id_hash_text (options->host), options->may_lead,
               clock_now_ms ());
  ev_timer_init (&feed->tick, handle_tick, BEACON_MS / 1000.0,
                 BEACON_MS / 1000.0);
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
  strings_release (&feed->leader_candidates);
  strings_release (&feed->entry_hosts);
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

/* Sends the update to HOSTS and frees its arrays.  */
static void
update_send (struct feed *feed, struct pending_update *update,
             const struct strings *hosts)
{
  Peer__Frame frame = PEER__FRAME__INIT;

  update->message.objects = (Peer__FeedObject **)update->objects->pdata;
  update->message.n_objects = update->objects->len;
  update->message.names = (char **)update->names->pdata;
  update->message.n_names = update->names->len;
  frame.body_case = PEER__FRAME__BODY_FEED_UPDATE;
  frame.feed_update = &update->message;
  for (size_t i = 0; i < hosts->count; i++)
    feed->options.send (feed->options.data, hosts->items[i], &frame);
  g_ptr_array_free (update->objects, TRUE);
  g_ptr_array_free (update->names, TRUE);
}

/* Forwards a change that this host has read from the store to the other hosts
   of the data centre, if it is their leader.  */
static void
forward_change (void *data, struct table *table,
                const struct table_change *change)
{
  struct feed *feed = data;
  struct pending_update update;

  if (feed->is_applying || !is_leading (feed) || change->names->len == 0)
    return;
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
  update_send (feed, &update, &feed->local_hosts);
}

/* Adds a table, which must outlive the feed.  */
void
feed_add_table (struct feed *feed, struct table *table)
{
  feed->tables[feed->table_count++]
      = (struct replicated_table){ .table = table };
  table_set_listener (table, forward_change, feed);
}

/* Sets the list of all hosts.  This host is ignored if listed.  */
void
feed_set_hosts (struct feed *feed, const struct feed_host *hosts, size_t count)
{
  strings_release (&feed->local_hosts);
  strings_release (&feed->leader_candidates);
  strings_release (&feed->entry_hosts);
  for (size_t i = 0; i < count; i++)
    {
      bool is_local
          = strcmp (hosts[i].data_centre, feed->options.data_centre) == 0;

      if (strcmp (hosts[i].name, feed->options.host) == 0)
        continue;
      if (is_local)
        strings_add (&feed->local_hosts, hosts[i].name);
      if (is_local && hosts[i].is_entry)
        strings_add (&feed->leader_candidates, hosts[i].name);
      if (hosts[i].is_entry)
        strings_add (&feed->entry_hosts, hosts[i].name);
    }
}

/* Records whether the store is reachable.  While it is not, this host cannot
   become the leader.  */
void
feed_set_store_reachable (struct feed *feed, bool is_reachable)
{
  feed->is_store_reachable = is_reachable;
  feed->leader.may_lead = feed->options.may_lead && is_reachable;
}

static struct replicated_table *
find_table (struct feed *feed, const char *kind)
{
  for (size_t i = 0; i < feed->table_count; i++)
    if (strcmp (table_kind (feed->tables[i].table), kind) == 0)
      return &feed->tables[i];
  return NULL;
}

/* Records that HOST follows the store.  This host relies on it if the local
   tables are up to date.  */
static void
record_leader (struct feed *feed, const char *host)
{
  int64_t now_ms = clock_now_ms ();

  if (!are_tables_loaded (feed)
      || !strings_contain (&feed->leader_candidates, host))
    return;
  if (leader_record_beacon (&feed->leader, id_hash_text (host),
                            now_ms - oldest_as_of_ms (feed), now_ms))
    set_follows_store (feed, false);
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
      request_update (feed, host, replicated->table);
    }
  record_leader (feed, host);
}

static void
apply_object (struct table *table, const Peer__FeedObject *object)
{
  json_t *json;

  if (object->text.len == 0)
    {
      table_remove (table, object->name, INT64_MAX);
      return;
    }
  json = json_loadb ((const char *)object->text.data, object->text.len, 0,
                     NULL);
  if (json)
    table_put (table, object->name, (int64_t)object->revision, json);
  else
    log_write (LOG_ERROR, "feed", NULL,
               "ignored object %s of kind %s from another host: invalid JSON",
               object->name, table_kind (table));
  json_decref (json);
}

static void
apply_update (struct feed *feed, struct table *table,
              const Peer__FeedUpdate *update)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < update->n_objects; i++)
    apply_object (table, update->objects[i]);
  for (size_t i = 0; i < update->n_names; i++)
    g_hash_table_add (names, update->names[i]);
  if (update->is_complete)
    table_retain (table, names);
  feed->is_applying = true;
  table_commit (table, (int64_t)update->state->revision,
                clock_now_ms () - update->state->age_ms, update->is_complete);
  feed->is_applying = false;
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
  if (update->is_complete ? (int64_t)update->since > revision
                          : !table_is_loaded (replicated->table)
                                || (int64_t)update->since != revision)
    {
      request_update (feed, host, replicated->table);
      return;
    }
  apply_update (feed, replicated->table, update);
  record_leader (feed, host);
}

/* Answers a request with the objects that changed after its revision and the
   names of all objects.  Stale state is not sent.  */
static void
handle_request (struct feed *feed, const char *host,
                const Peer__FeedAsk *request)
{
  const struct replicated_table *replicated = find_table (feed, request->kind);
  char *name = (char *)(uintptr_t)host;
  struct strings recipient = { .items = &name, .count = 1 };
  struct pending_update update;
  GPtrArray *entries;

  if (!replicated || !table_is_loaded (replicated->table)
      || clock_now_ms () - table_as_of_ms (replicated->table)
             > LEADER_STALE_MS)
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
  update_send (feed, &update, &recipient);
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
