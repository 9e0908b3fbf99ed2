#include "request/speed_notices.h"
#include "common/buf.h"
#include "common/counters.h"
#include "common/id.h"
#include "request/notice_relays.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  INTERVAL_MS = 1000,
  /* With 3 data centres a host sends 6 frames of 8 facts of some 40 bytes a
     second to relays, and gets 2 frames of 40 facts from them: below 6 KB a
     second for each host in the mean, however many endpoints there are.  */
  MAX_TOLD_FACTS = 8,
  MAX_PASSED_FACTS = 40,
  MAX_FACTS = 2048, /* that a relay merges */
  /* A relay drops figures that no host has told for so long. */
  FACT_TTL_MS = 10000,
  /* A change of the figures by a thousandth counts as much as so long a time
     since they were told. */
  MS_PER_PERMILLE = 20,
  MAX_CHANGE_PERMILLE = 5000,
  PERMILLE = 1000,
};

/* What this host relays or tells of an endpoint. */
struct speed_record
{
  uint64_t endpoint; /* hash of its id and start */
  struct speed merged;
  uint32_t passed[SPEED_FIGURES]; /* as last passed on */
  int64_t passed_ms;
  int64_t heard_ms;
  bool is_new; /* was heard since */
};

/* A fact that may be sent. */
struct speed_offer
{
  uint64_t endpoint;
  struct speed_record *record;   /* of a relay; NULL for own figures */
  struct pool_endpoint *learned; /* of own figures */
  uint32_t figures[SPEED_FIGURES];
  uint32_t samples;
  int64_t urgency;
};

struct speed_notices
{
  struct speed_notices_options options;
  struct host_set hosts;
  struct notice_relays relays;
  GHashTable *records; /* endpoint -> struct speed_record */
  int64_t told_ms;
};

/* What is being sent.  */
struct speed_message
{
  struct speed_notices *notices;
  const struct speed_offer *offers;
  guint count;
  bool pass_on;
  int64_t now_ms;
};

/* Creates notices that know no other hosts.  */
struct speed_notices *
speed_notices_create (const struct speed_notices_options *options)
{
  struct speed_notices *notices = xcalloc (1, sizeof *notices);

  notices->options = *options;
  notices->relays = (struct notice_relays){ .host = options->host,
                                            .data_centre_hash = id_hash_text (
                                                options->data_centre),
                                            .hosts = &notices->hosts };
  notices->records
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free);
  return notices;
}

/* Frees the notices.  */
void
speed_notices_destroy (struct speed_notices *notices)
{
  if (!notices)
    return;
  g_hash_table_destroy (notices->records);
  host_set_release (&notices->hosts);
  free (notices);
}

/* Replaces the entry hosts.  */
void
speed_notices_set_hosts (struct speed_notices *notices,
                         const struct host_location *hosts, size_t count)
{
  host_set_assign (&notices->hosts, hosts, count);
}

/* Returns how much the figures differ, in permille of the old ones.  */
static int64_t
change_permille (const uint32_t *figures, const uint32_t *old)
{
  int64_t change = 0;

  for (int i = 0; i < SPEED_FIGURES; i++)
    {
      int64_t difference = llabs ((int64_t)figures[i] - (int64_t)old[i]);
      bool is_share = i == SPEED_ERROR_PERMILLE || i == SPEED_LOAD_PERMILLE;
      int64_t base = is_share ? PERMILLE : MAX (old[i], 1);

      if (figures[i])
        change = MAX (change, difference * PERMILLE / base);
    }
  return MIN (change, MAX_CHANGE_PERMILLE);
}

static gint
compare_urgency (gconstpointer a, gconstpointer b)
{
  const struct speed_offer *left = a;
  const struct speed_offer *right = b;

  return left->urgency > right->urgency ? -1 : left->urgency < right->urgency;
}

/* Leaves the MAX most urgent offers.  */
static void
limit_offers (GArray *offers, guint max)
{
  g_array_sort (offers, compare_urgency);
  if (offers->len > max)
    g_array_set_size (offers, max);
}

/* Keeps figures in order to pass them on.  */
static void
keep_figures (struct speed_notices *notices, uint64_t endpoint,
              const uint32_t *figures, size_t count, uint32_t samples,
              int64_t now_ms)
{
  struct speed_record *record
      = g_hash_table_lookup (notices->records, &endpoint);

  if (!record)
    {
      if (g_hash_table_size (notices->records) >= MAX_FACTS)
        return;
      record = xcalloc (1, sizeof *record);
      record->endpoint = endpoint;
      g_hash_table_insert (notices->records, &record->endpoint, record);
    }
  speed_merge (&record->merged, figures, count, samples, now_ms);
  record->heard_ms = now_ms;
  record->is_new = true;
}

/* Takes figures into the estimates of this host.  */
static void
apply_figures (struct speed_notices *notices, uint64_t start,
               const uint32_t *figures, size_t count, uint32_t samples,
               int64_t now_ms)
{
  struct pool_endpoint *endpoint
      = pool_find_start (notices->options.pool, start);

  counter_add (COUNTER_SPEED_FACTS_RECEIVED, 1);
  if (endpoint)
    pool_record_shared_speed (endpoint, figures, count, samples, now_ms);
}

/* Sends a message to HOST, or keeps it if this host is the relay.  */
static void
send_message (void *data, const char *host)
{
  const struct speed_message *message = data;
  struct transport *transport = message->notices->options.transport;
  Peer__SpeedFact items[MAX (MAX_TOLD_FACTS, MAX_PASSED_FACTS)];
  Peer__SpeedFact *pointers[G_N_ELEMENTS (items)];
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__SpeedNotice notice = PEER__SPEED_NOTICE__INIT;

  for (guint i = 0; i < message->count; i++)
    {
      const struct speed_offer *offer = &message->offers[i];

      if (!host)
        keep_figures (message->notices, offer->endpoint, offer->figures,
                      SPEED_FIGURES, offer->samples, message->now_ms);
      peer__speed_fact__init (&items[i]);
      items[i].endpoint = offer->endpoint;
      items[i].samples = offer->samples;
      items[i].figures = (uint32_t *)offer->figures;
      items[i].n_figures = SPEED_FIGURES;
      pointers[i] = &items[i];
    }
  if (!host)
    return;
  notice.facts = pointers;
  notice.n_facts = message->count;
  notice.pass_on = message->pass_on;
  frame.body_case = PEER__FRAME__BODY_SPEED_NOTICE;
  frame.speed_notice = &notice;
  counter_add (COUNTER_SPEED_FACTS_SENT, (int64_t)message->count);
  transport->vtable->send (transport, host, &frame);
}

/* Tells the relays what this host has learned since it last did.  */
static void
tell_relays (struct speed_notices *notices, int64_t now_ms)
{
  struct pool *pool = notices->options.pool;
  GArray *offers = g_array_new (FALSE, TRUE, sizeof (struct speed_offer));
  struct speed_message message
      = { .notices = notices, .pass_on = true, .now_ms = now_ms };

  for (size_t i = 0; i < pool_count (pool); i++)
    {
      struct pool_endpoint *endpoint = pool_at (pool, i);
      struct speed_offer offer
          = { .endpoint = endpoint->start, .learned = endpoint };
      uint32_t shared[SPEED_FIGURES];

      if (endpoint->speed.used_ms <= endpoint->speed.told_ms)
        continue;
      offer.samples
          = speed_export (&endpoint->speed.own, offer.figures, now_ms);
      speed_export (&endpoint->speed.shared, shared, now_ms);
      offer.urgency = change_permille (offer.figures, shared)
                      + (now_ms - endpoint->speed.told_ms) / MS_PER_PERMILLE;
      if (offer.samples > 0)
        g_array_append_val (offers, offer);
    }
  limit_offers (offers, MAX_TOLD_FACTS);
  message.offers = (const struct speed_offer *)(void *)offers->data;
  message.count = offers->len;
  for (guint i = 0; i < offers->len; i++)
    message.offers[i].learned->speed.told_ms = now_ms;
  if (offers->len > 0)
    notice_relays_for_each (&notices->relays, send_message, &message);
  g_array_free (offers, TRUE);
}

/* Passes on what hosts have told this one as a relay.  */
static void
pass_on (struct speed_notices *notices, int64_t now_ms)
{
  GArray *offers = g_array_new (FALSE, TRUE, sizeof (struct speed_offer));
  struct speed_message message = { .notices = notices, .now_ms = now_ms };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, notices->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct speed_record *record = value;
      struct speed_offer offer
          = { .endpoint = record->endpoint, .record = record };

      if (now_ms - record->heard_ms >= FACT_TTL_MS)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      if (!record->is_new)
        continue;
      offer.samples = speed_export (&record->merged, offer.figures, now_ms);
      offer.urgency = change_permille (offer.figures, record->passed)
                      + (now_ms - record->passed_ms) / MS_PER_PERMILLE;
      if (offer.samples > 0)
        g_array_append_val (offers, offer);
    }
  limit_offers (offers, MAX_PASSED_FACTS);
  message.offers = (const struct speed_offer *)(void *)offers->data;
  message.count = offers->len;
  for (guint i = 0; i < offers->len; i++)
    {
      const struct speed_offer *offer = &message.offers[i];

      memcpy (offer->record->passed, offer->figures, sizeof offer->figures);
      offer->record->passed_ms = now_ms;
      offer->record->is_new = false;
      apply_figures (notices, offer->endpoint, offer->figures, SPEED_FIGURES,
                     offer->samples, now_ms);
    }
  if (offers->len > 0)
    notice_relays_for_neighbours (&notices->relays, send_message, &message);
  g_array_free (offers, TRUE);
}

/* Handles a notice of another host; ignores other frames.  */
void
speed_notices_handle_frame (struct speed_notices *notices,
                            const Peer__Frame *frame, int64_t now_ms)
{
  const Peer__SpeedNotice *notice = frame->speed_notice;

  if (frame->body_case != PEER__FRAME__BODY_SPEED_NOTICE)
    return;
  for (size_t i = 0; i < notice->n_facts; i++)
    {
      const Peer__SpeedFact *fact = notice->facts[i];

      if (notice->pass_on)
        keep_figures (notices, fact->endpoint, fact->figures, fact->n_figures,
                      fact->samples, now_ms);
      else
        apply_figures (notices, fact->endpoint, fact->figures, fact->n_figures,
                       fact->samples, now_ms);
    }
}

/* Sends what is due.  Must be called at least every 100 ms.  */
void
speed_notices_tick (struct speed_notices *notices, int64_t now_ms)
{
  if (notices->hosts.count == 0 || now_ms - notices->told_ms < INTERVAL_MS)
    return;
  notices->told_ms = now_ms;
  tell_relays (notices, now_ms);
  pass_on (notices, now_ms);
}
