#include "feed/feed.h"
#include "common/buf.h"
#include "common/counters.h"
#include "common/id.h"
#include "common/log.h"
#include "common/object.h"
#include "feed/outbox.h"
#include "feed/update.h"
#include "policy/leader.h"
#include <stdlib.h>
#include <string.h>

enum
{
  MS_PER_S = 1000,
  MAX_TABLES = 8,
  BEACONS_PER_STALE = 5, /* sent before state becomes stale */
  /* Between requests for one kind.  A host that has part of it waits for its
     turn; while it has nothing, it asks more hosts. */
  REQUEST_INTERVAL_MS = 500,
  FIRST_REQUEST_INTERVAL_MS = 200,
  HOSTS_PER_REQUEST = 2, /* asked at once while the store is unreachable */
  /* A change of more objects is not sent to all followers: they ask for it, so
     that a host of the data centre need not send it to each of them. */
  MAX_FORWARDED_OBJECTS = 64,
  /* Larger updates are sent in turn, compressed, to hosts that ask. */
  MAX_DIRECT_BYTES = 16 * 1024,
  /* Large updates on their way at a time.  More would not pass sooner, as they
     share the host's link with all else that it sends. */
  MAX_ACTIVE_ANSWERS = 4,
  DEFAULT_BULK_BYTES = 4 * 1024 * 1024,
  ANSWER_STALL_MS = 300,
  MAX_WAIT_MS = 3000,
  MAX_SEND_MS = 3000,
  /* A larger update of another host is not inflated. */
  MAX_INFLATED_BYTES = 8 * 1024 * 1024,
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
  int64_t requested_ms; /* when an update was last requested, or 0 */
  struct payload payload;
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
  struct outbox *outbox;   /* answers to the requests of other hosts */
  bool is_answering;
  ev_timer tick;
};

static void answer_waiting (struct feed *feed);

static int64_t
current_ms (const struct feed *feed)
{
  return feed->options.now_ms ? feed->options.now_ms (feed->options.data)
                              : clock_now_ms ();
}

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
send_beacon (struct feed *feed, int64_t now_ms)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__FeedBeacon beacon = PEER__FEED_BEACON__INIT;
  Peer__FeedState states[MAX_TABLES];
  Peer__FeedState *list[MAX_TABLES];

  for (size_t i = 0; i < feed->table_count; i++)
    {
      update_fill_state (&states[i], feed->tables[i].table, now_ms);
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
  request.accepts_deflate = true;
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

/* Returns the interval of the beacons.  */
int64_t
feed_interval_ms (const struct feed *feed)
{
  return feed->options.stale_ms / BEACONS_PER_STALE;
}

/* Sends beacons, and requests what the store does not deliver.  Called at
   intervals of feed_interval_ms, by the feed itself if it has a loop.  */
void
feed_tick (struct feed *feed)
{
  int64_t now_ms = current_ms (feed);

  set_follows_store (feed, leader_watches_store (&feed->leader, now_ms));
  if (is_relaying (feed, now_ms))
    send_beacon (feed, now_ms);
  answer_waiting (feed);
  for (size_t i = 0; i < feed->table_count; i++)
    table_pack (feed->tables[i].table);
  /* By then, the store has had time to answer. */
  if (feed->follows_store
      && now_ms - oldest_as_of_ms (feed)
             > feed->options.stale_ms + feed_interval_ms (feed))
    request_from_other_hosts (feed);
}

static void
handle_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  feed_tick (timer->data);
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

  struct outbox_options outbox
      = { .max_bytes = options->max_bulk_bytes ? options->max_bulk_bytes
                                               : DEFAULT_BULK_BYTES,
          .max_active = MAX_ACTIVE_ANSWERS,
          .stall_ms = ANSWER_STALL_MS,
          .max_wait_ms = MAX_WAIT_MS,
          .max_send_ms = MAX_SEND_MS };
  struct leader_options leader = { .own_rank = id_hash_text (options->host),
                                   .may_lead = options->may_lead,
                                   .stale_ms = options->stale_ms };
  double interval_s;

  feed->options = *options;
  feed->outbox = outbox_create (&outbox);
  feed->members = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                         feed_member_destroy);
  feed->is_store_reachable = true;
  leader_init (&feed->leader, &leader, current_ms (feed));
  interval_s = (double)feed_interval_ms (feed) / MS_PER_S;
  ev_timer_init (&feed->tick, handle_tick, interval_s, interval_s);
  feed->tick.data = feed;
  if (options->loop)
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
    {
      table_set_listener (feed->tables[i].table, NULL, NULL);
      payload_release (&feed->tables[i].payload);
    }
  outbox_destroy (feed->outbox);
  if (feed->options.loop)
    ev_timer_stop (feed->options.loop, &feed->tick);
  strings_release (&feed->local_hosts);
  strings_release (&feed->relays);
  strings_release (&feed->entry_hosts);
  for (size_t i = 0; i < MAX_RIVALS; i++)
    free (feed->rivals[i].name);
  g_hash_table_destroy (feed->members);
  free (feed);
}

/* Sends the update to HOST, or to all hosts that rely on this one if it is
   NULL, and frees what it holds.  */
static void
send_update (struct feed *feed, struct update *update, const char *host)
{
  Peer__Frame frame;

  update_to_frame (update, &frame);
  if (host)
    feed->options.send (feed->options.data, host, &frame);
  else
    send_to_followers (feed, &frame, current_ms (feed));
  update_release (update);
}

/* Whether the change has so many objects, or so large ones, that followers ask
   for it in turn.  */
static bool
is_large (const struct table *table, const struct table_change *change)
{
  if (change->names->len > MAX_FORWARDED_OBJECTS)
    return true;
  for (guint i = 0; i < change->names->len; i++)
    {
      const struct table_entry *entry
          = table_find (table, change->names->pdata[i]);

      if (entry && table_entry_is_larger (entry, MAX_DIRECT_BYTES))
        return true;
    }
  return false;
}

/* Forwards a change that this host has read from the store, or received from
   the leader, to the hosts that rely on this one.  */
static void
forward_change (void *data, struct table *table,
                const struct table_change *change)
{
  struct feed *feed = data;
  struct update update;
  int64_t now_ms = current_ms (feed);

  if (!is_relaying (feed, now_ms) || change->names->len == 0)
    return;
  if (is_large (table, change))
    {
      send_beacon (feed, now_ms);
      return;
    }
  update_init (&update, table, change->base, now_ms);
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
  if (update_bytes (&update) <= MAX_DIRECT_BYTES)
    {
      send_update (feed, &update, NULL);
      return;
    }
  update_release (&update);
  send_beacon (feed, now_ms);
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
  int64_t now_ms = current_ms (feed);

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
confirm_state (struct table *table, const Peer__FeedState *state,
               int64_t now_ms)
{
  int64_t revision = (int64_t)state->revision;

  if (!table_is_loaded (table) || table_revision (table) < revision
      || (table_revision (table) == revision
          && table_count (table) != state->count))
    return false;
  if (table_revision (table) == revision)
    table_commit (table, revision, now_ms - state->age_ms, false);
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

static int64_t
request_interval_ms (const struct table *table)
{
  return table_is_loaded (table) ? REQUEST_INTERVAL_MS
                                 : FIRST_REQUEST_INTERVAL_MS;
}

static void
handle_beacon (struct feed *feed, const char *host,
               const Peer__FeedBeacon *beacon)
{
  int64_t now_ms = current_ms (feed);

  for (size_t i = 0; i < beacon->n_states; i++)
    {
      struct replicated_table *replicated
          = find_table (feed, beacon->states[i]->kind);

      if (!replicated
          || confirm_state (replicated->table, beacon->states[i], now_ms)
          || now_ms - replicated->requested_ms
                 < request_interval_ms (replicated->table))
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
apply_update (struct table *table, const Peer__FeedUpdate *update,
              int64_t now_ms)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < update->n_objects; i++)
    apply_object (table, update->objects[i]);
  for (size_t i = 0; i < update->n_names; i++)
    g_hash_table_add (names, update->names[i]);
  if (update->is_complete)
    table_retain (table, names);
  table_commit (table, (int64_t)update->state->revision,
                now_ms - update->state->age_ms, update->is_complete);
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
  if (confirm_state (replicated->table, update->state, current_ms (feed)))
    {
      record_leader (feed, host);
      return;
    }
  if (update->is_complete ? (int64_t)update->since > revision
                          : !table_is_loaded (replicated->table)
                                || (int64_t)update->since != revision)
    {
      replicated->requested_ms = current_ms (feed);
      request_update (feed, host, replicated->table);
      return;
    }
  apply_update (replicated->table, update, current_ms (feed));
  replicated->requested_ms = 0;
  record_leader (feed, host);
}

/* Handles an update whose objects and names are compressed.  */
static void
handle_deflated_update (struct feed *feed, const char *host,
                        const Peer__FeedUpdate *update)
{
  Peer__FeedUpdate *inner = NULL;

  if (update->inflated_bytes <= MAX_INFLATED_BYTES)
    inner = payload_inflate (update->deflated.data, update->deflated.len,
                             update->inflated_bytes);
  if (!inner)
    {
      log_write (LOG_ERROR, "feed", NULL,
                 "ignored an update from host %s: %u bytes in %zu compressed "
                 "ones are not valid",
                 host, update->inflated_bytes, update->deflated.len);
      return;
    }
  inner->state = update->state;
  inner->since = update->since;
  inner->is_complete = update->is_complete;
  handle_update (feed, host, inner);
  inner->state = NULL; /* owned by UPDATE */
  peer__feed_update__free_unpacked (inner, NULL);
}

/* Answers HOST, which knows REVISION of the table, if little changed since.
   Otherwise prepares the table's payload and returns false.  */
static bool
answer_directly (struct feed *feed, struct replicated_table *replicated,
                 const char *host, int64_t revision)
{
  const struct table *table = replicated->table;
  int64_t base = update_base (table, revision);
  struct update update;

  if (payload_is_current (&replicated->payload, table, base))
    return false;
  update_init (&update, table, base, current_ms (feed));
  update_add_changed (&update, table);
  update_add_names (&update, table);
  if (update_bytes (&update) <= MAX_DIRECT_BYTES)
    {
      counter_add (COUNTER_FEED_ANSWERS, 1);
      counter_add (COUNTER_FEED_ANSWER_BYTES, (int64_t)update_bytes (&update));
      send_update (feed, &update, host);
      return true;
    }
  payload_set (&replicated->payload, &update, table);
  update_release (&update);
  return false;
}

/* Sends FRAME, which carries BYTES of objects, to HOST.  feed_handle_sent is
   called once it has left this host or is lost.  Returns false if it cannot be
   sent now.  */
static bool
send_bulk (struct feed *feed, const char *host, const Peer__Frame *frame,
           size_t bytes)
{
  outbox_begin (feed->outbox, host, bytes, current_ms (feed));
  if (!feed->options.send_bulk (feed->options.data, host, frame))
    {
      outbox_end (feed->outbox, host);
      return false;
    }
  counter_add (COUNTER_FEED_ANSWERS, 1);
  counter_add (COUNTER_FEED_ANSWER_BYTES, (int64_t)bytes);
  return true;
}

/* Sends the table's payload, inflated for hosts that do not accept it
   otherwise.  Returns false if it cannot be sent now.  */
static bool
send_payload (struct feed *feed, const struct replicated_table *replicated,
              const struct outbox_request *request)
{
  const struct payload *payload = &replicated->payload;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__FeedUpdate message = PEER__FEED_UPDATE__INIT;
  Peer__FeedState state;
  Peer__FeedUpdate *inner = NULL;
  bool is_sent;

  update_fill_state (&state, replicated->table, current_ms (feed));
  message.state = &state;
  message.since = (uint64_t)payload->base;
  message.is_complete = true;
  if (request->accepts_deflate)
    {
      message.deflated.data = (uint8_t *)payload->deflated.data;
      message.deflated.len = payload->deflated.len;
      message.inflated_bytes = (uint32_t)payload->inflated_bytes;
    }
  else
    {
      inner = payload_inflate ((const uint8_t *)payload->deflated.data,
                               payload->deflated.len, payload->inflated_bytes);
      message.objects = inner->objects;
      message.n_objects = inner->n_objects;
      message.names = inner->names;
      message.n_names = inner->n_names;
    }
  frame.body_case = PEER__FRAME__BODY_FEED_UPDATE;
  frame.feed_update = &message;
  is_sent
      = send_bulk (feed, request->host, &frame,
                   inner ? payload->inflated_bytes : payload->deflated.len);
  if (inner)
    peer__feed_update__free_unpacked (inner, NULL);
  return is_sent;
}

/* Whether the table may be sent to others: stale state is not.  */
static bool
is_fresh (const struct feed *feed, const struct table *table)
{
  return table_is_loaded (table)
         && current_ms (feed) - table_as_of_ms (table)
                <= feed->options.stale_ms;
}

/* Returns false if the answer cannot be sent now.  */
static bool
answer (struct feed *feed, const struct outbox_request *request)
{
  struct replicated_table *replicated = &feed->tables[request->table];

  return !is_fresh (feed, replicated->table)
         || answer_directly (feed, replicated, request->host,
                             request->revision)
         || send_payload (feed, replicated, request);
}

/* Answers the hosts whose turn it is.  One that cannot be answered now waits
   on, and the others with it: the links' thread is busy.  */
static void
answer_waiting (struct feed *feed)
{
  struct outbox_request *request;
  bool is_sent = true;

  if (feed->is_answering)
    return;
  feed->is_answering = true;
  while (is_sent && (request = outbox_take (feed->outbox, current_ms (feed))))
    {
      is_sent = answer (feed, request);
      if (!is_sent)
        outbox_add (feed->outbox, request, false);
      outbox_request_destroy (request);
    }
  feed->is_answering = false;
}

/* Answers a request with the objects that changed after its revision and the
   names of all objects, at once or when it is the host's turn.  */
static void
handle_request (struct feed *feed, const char *host,
                const Peer__FeedAsk *message)
{
  struct replicated_table *replicated = find_table (feed, message->kind);
  struct outbox_request request
      = { .host = (char *)(uintptr_t)host,
          .revision = (int64_t)message->revision,
          .accepts_deflate = message->accepts_deflate,
          .requested_ms = current_ms (feed) };

  counter_add (COUNTER_FEED_REQUESTS, 1);
  if (!replicated || !is_fresh (feed, replicated->table)
      || answer_directly (feed, replicated, host, request.revision))
    return;
  request.table = (size_t)(replicated - feed->tables);
  outbox_add (feed->outbox, &request,
              is_leading (feed) && strings_contain (&feed->relays, host));
  answer_waiting (feed);
}

/* Records that the last large frame to HOST has left this host or is lost.  */
void
feed_handle_sent (struct feed *feed, const char *host)
{
  outbox_end (feed->outbox, host);
  answer_waiting (feed);
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
    {
      if (frame->feed_update->deflated.len > 0)
        handle_deflated_update (feed, host, frame->feed_update);
      else
        handle_update (feed, host, frame->feed_update);
    }
}
