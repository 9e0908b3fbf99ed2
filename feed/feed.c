#include "feed/feed.h"
#include "common/buf.h"
#include "common/id.h"
#include "common/log.h"
#include "policy/lead.h"
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_TABLES = 8,
  BEACON_MS = 250, /* five chances to be heard before state is stale */
  ASK_MS = 200, /* between questions about one kind to the host that leads */
  ASKED_HOSTS = 2, /* at once, where the store does not answer */
  /* Older state: the store has had time to answer this host.  */
  ASK_AROUND_MS = LEADER_STALE_MS + BEACON_MS,
};

/* A table that is passed on. */
struct fed
{
  struct table *table;
  int64_t asked_ms;
};

struct feed
{
  struct feed_options options;
  struct leader lead;
  struct fed tables[MAX_TABLES];
  size_t table_count;
  struct strings near;    /* the other hosts of the data centre */
  struct strings leaders; /* those of them that may lead */
  struct strings entries; /* the other entry hosts of all data centres */
  size_t next_asked;
  bool follows;       /* the store, by what was told last */
  bool store_answers; /* this host */
  bool is_applying;   /* what another host has passed on */
  ev_timer tick;
};

static int64_t
oldest_fresh_ms (const struct feed *feed)
{
  int64_t oldest = INT64_MAX;

  for (size_t i = 0; i < feed->table_count; i++)
    if (table_fresh_ms (feed->tables[i].table) < oldest)
      oldest = table_fresh_ms (feed->tables[i].table);
  return oldest;
}

static bool
is_complete (const struct feed *feed)
{
  for (size_t i = 0; i < feed->table_count; i++)
    if (!table_is_current (feed->tables[i].table))
      return false;
  return true;
}

/* Whether the others may rely on this host.  */
static bool
leads (const struct feed *feed)
{
  return feed->options.may_lead && feed->follows && feed->store_answers
         && is_complete (feed);
}

static void
fill_state (Peer__FeedState *state, const struct table *table, int64_t now_ms)
{
  peer__feed_state__init (state);
  state->kind = (char *)(uintptr_t)table_kind (table);
  state->revision = (uint64_t)table_revision (table);
  state->count = table_count (table);
  state->age_ms = (uint32_t)(now_ms - table_fresh_ms (table));
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
  for (size_t i = 0; i < feed->near.count; i++)
    feed->options.send (feed->options.data, feed->near.items[i], &frame);
}

static void
ask (struct feed *feed, const char *host, const struct table *table)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__FeedAsk question = PEER__FEED_ASK__INIT;

  question.kind = (char *)(uintptr_t)table_kind (table);
  question.revision = (uint64_t)table_revision (table);
  frame.body_case = PEER__FRAME__BODY_FEED_ASK;
  frame.feed_ask = &question;
  feed->options.send (feed->options.data, host, &frame);
}

/* Asks some of the other hosts for what the store does not tell.  */
static void
ask_around (struct feed *feed)
{
  const struct strings *hosts
      = feed->entries.count > 0 ? &feed->entries : feed->options.seeds;

  for (size_t i = 0; i < ASKED_HOSTS && i < hosts->count; i++)
    {
      const char *host = hosts->items[feed->next_asked++ % hosts->count];

      for (size_t t = 0; t < feed->table_count; t++)
        ask (feed, host, feed->tables[t].table);
    }
}

static void
set_follows (struct feed *feed, bool follows)
{
  if (feed->follows == follows)
    return;
  feed->follows = follows;
  log_write (LOG_INFO, "feed", NULL,
             follows ? "follows the store: no other host of the data centre "
                       "has fresh news"
                     : "goes by another host of the data centre");
  feed->options.handle_follow (feed->options.data, follows);
}

static void
handle_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct feed *feed = timer->data;
  int64_t now_ms = clock_now_ms ();

  set_follows (feed, leader_is_self (&feed->lead, now_ms));
  if (leads (feed))
    send_beacon (feed, now_ms);
  if (feed->follows && now_ms - oldest_fresh_ms (feed) > ASK_AROUND_MS)
    ask_around (feed);
}

/* Creates a feed of no tables.  It does not follow the store at first.  */
struct feed *
feed_create (const struct feed_options *options)
{
  struct feed *feed = xcalloc (1, sizeof *feed);

  feed->options = *options;
  feed->store_answers = true;
  leader_init (&feed->lead, id_hash_text (options->host), options->may_lead,
               clock_now_ms ());
  ev_timer_init (&feed->tick, handle_tick, BEACON_MS / 1000.0,
                 BEACON_MS / 1000.0);
  feed->tick.data = feed;
  ev_timer_start (options->loop, &feed->tick);
  return feed;
}

/* Frees the feed; the tables are their owner's.  */
void
feed_destroy (struct feed *feed)
{
  if (!feed)
    return;
  for (size_t i = 0; i < feed->table_count; i++)
    table_set_listener (feed->tables[i].table, NULL, NULL);
  ev_timer_stop (feed->options.loop, &feed->tick);
  strings_release (&feed->near);
  strings_release (&feed->leaders);
  strings_release (&feed->entries);
  free (feed);
}

/* An update under construction. */
struct update
{
  Peer__FeedUpdate message;
  Peer__FeedState state;
  GPtrArray *objects; /* Peer__FeedObject */
  GPtrArray *names;   /* the entries' own */
};

static void
object_free (gpointer data)
{
  Peer__FeedObject *object = data;

  free (object->text.data);
  free (object);
}

static void
update_init (struct update *update, const struct table *table, int64_t base)
{
  peer__feed_update__init (&update->message);
  fill_state (&update->state, table, clock_now_ms ());
  update->message.state = &update->state;
  update->message.since = (uint64_t)base;
  update->objects = g_ptr_array_new_with_free_func (object_free);
  update->names = g_ptr_array_new ();
}

static void
update_add (struct update *update, const struct table_entry *entry)
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
update_add_removed (struct update *update, const char *name)
{
  Peer__FeedObject *object = xcalloc (1, sizeof *object);

  peer__feed_object__init (object);
  object->name = (char *)(uintptr_t)name;
  g_ptr_array_add (update->objects, object);
}

static void
update_add_names (struct update *update, const struct table *table)
{
  GPtrArray *entries = table_entries (table);

  update->message.is_complete = true;
  for (guint i = 0; i < entries->len; i++)
    g_ptr_array_add (update->names,
                     ((const struct table_entry *)entries->pdata[i])->name);
  g_ptr_array_free (entries, TRUE);
}

static void
update_send (struct feed *feed, struct update *update,
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

/* Passes a change on that this host has read from the store.  */
static void
handle_change (void *data, struct table *table,
               const struct table_change *change)
{
  struct feed *feed = data;
  struct update update;

  if (feed->is_applying || !leads (feed) || change->names->len == 0)
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
  update_send (feed, &update, &feed->near);
}

/* Adds a table, which outlives the feed.  */
void
feed_add (struct feed *feed, struct table *table)
{
  feed->tables[feed->table_count++] = (struct fed){ .table = table };
  table_set_listener (table, handle_change, feed);
}

/* Names all hosts; this one is left out.  */
void
feed_set_hosts (struct feed *feed, const struct feed_host *hosts, size_t count)
{
  strings_release (&feed->near);
  strings_release (&feed->leaders);
  strings_release (&feed->entries);
  for (size_t i = 0; i < count; i++)
    {
      bool is_near
          = strcmp (hosts[i].data_centre, feed->options.data_centre) == 0;

      if (strcmp (hosts[i].name, feed->options.host) == 0)
        continue;
      if (is_near)
        strings_add (&feed->near, hosts[i].name);
      if (is_near && hosts[i].is_entry)
        strings_add (&feed->leaders, hosts[i].name);
      if (hosts[i].is_entry)
        strings_add (&feed->entries, hosts[i].name);
    }
}

/* Notes whether the store answers this host.  */
void
feed_note_store (struct feed *feed, bool answers)
{
  feed->store_answers = answers;
  feed->lead.may_lead = feed->options.may_lead && answers;
}

static struct fed *
find_table (struct feed *feed, const char *kind)
{
  for (size_t i = 0; i < feed->table_count; i++)
    if (strcmp (table_kind (feed->tables[i].table), kind) == 0)
      return &feed->tables[i];
  return NULL;
}

/* HOST follows the store and this host's tables equal its own.  */
static void
rely_on (struct feed *feed, const char *host)
{
  int64_t now_ms = clock_now_ms ();

  if (!is_complete (feed) || !strings_contain (&feed->leaders, host))
    return;
  if (leader_record_beacon (&feed->lead, id_hash_text (host),
                            now_ms - oldest_fresh_ms (feed), now_ms))
    set_follows (feed, false);
}

/* Takes over how fresh the table is.  False where it misses something that
   STATE describes.  */
static bool
take_state (struct table *table, const Peer__FeedState *state)
{
  int64_t revision = (int64_t)state->revision;

  if (!table_is_current (table) || table_revision (table) < revision
      || (table_revision (table) == revision
          && table_count (table) != state->count))
    return false;
  if (table_revision (table) == revision)
    table_commit (table, revision, clock_now_ms () - state->age_ms, false);
  return true;
}

static void
take_beacon (struct feed *feed, const char *host,
             const Peer__FeedBeacon *beacon)
{
  int64_t now_ms = clock_now_ms ();

  for (size_t i = 0; i < beacon->n_states; i++)
    {
      struct fed *fed = find_table (feed, beacon->states[i]->kind);

      if (!fed || take_state (fed->table, beacon->states[i])
          || now_ms - fed->asked_ms < ASK_MS)
        continue;
      fed->asked_ms = now_ms;
      ask (feed, host, fed->table);
    }
  rely_on (feed, host);
}

static void
put_object (struct table *table, const Peer__FeedObject *object)
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
    log_write (LOG_ERROR, "feed", NULL, "%s of kind %s cannot be read",
               object->name, table_kind (table));
  json_decref (json);
}

static void
apply_update (struct feed *feed, struct table *table,
              const Peer__FeedUpdate *update)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < update->n_objects; i++)
    put_object (table, update->objects[i]);
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

/* Applies an update that fits to what this host knows; else asks for one that
   does.  */
static void
take_update (struct feed *feed, const char *host,
             const Peer__FeedUpdate *update)
{
  struct fed *fed
      = update->state ? find_table (feed, update->state->kind) : NULL;
  int64_t known;

  if (!fed)
    return;
  known = table_revision (fed->table);
  if ((int64_t)update->state->revision < known)
    return;
  if (update->is_complete
          ? (int64_t)update->since > known
          : !table_is_current (fed->table) || (int64_t)update->since != known)
    {
      ask (feed, host, fed->table);
      return;
    }
  apply_update (feed, fed->table, update);
  rely_on (feed, host);
}

/* Answers with what changed after the asker's revision, and all names.  Stale
   state is not passed on.  */
static void
answer (struct feed *feed, const char *host, const Peer__FeedAsk *question)
{
  const struct fed *fed = find_table (feed, question->kind);
  char *name = (char *)(uintptr_t)host;
  struct strings only = { .items = &name, .count = 1 };
  struct update update;
  GPtrArray *entries;

  if (!fed || !table_is_current (fed->table)
      || clock_now_ms () - table_fresh_ms (fed->table) > LEADER_STALE_MS)
    return;
  update_init (&update, fed->table, (int64_t)question->revision);
  entries = table_entries (fed->table);
  for (guint i = 0; i < entries->len; i++)
    {
      const struct table_entry *entry = entries->pdata[i];

      if (entry->revision > (int64_t)question->revision)
        update_add (&update, entry);
    }
  g_ptr_array_free (entries, TRUE);
  update_add_names (&update, fed->table);
  update_send (feed, &update, &only);
}

/* Takes beacons, questions and updates of other hosts.  Other frames are left
   alone.  */
void
feed_handle_frame (struct feed *feed, const char *host,
                   const Peer__Frame *frame)
{
  if (frame->body_case == PEER__FRAME__BODY_FEED_BEACON)
    take_beacon (feed, host, frame->feed_beacon);
  else if (frame->body_case == PEER__FRAME__BODY_FEED_ASK)
    answer (feed, host, frame->feed_ask);
  else if (frame->body_case == PEER__FRAME__BODY_FEED_UPDATE)
    take_update (feed, host, frame->feed_update);
}
