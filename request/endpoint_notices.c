#include "request/endpoint_notices.h"
#include "common/buf.h"
#include "common/id.h"
#include "request/notice_relays.h"
#include <glib.h>
#include <stdlib.h>

enum
{
  FLUSH_INTERVAL_MS = 200,
  REPEAT_INTERVAL_MS = 10000, /* for hosts that have missed a notice */
  /* A relay drops a fact that its source has not repeated for so long. */
  FACT_TTL_MS = 15000,
  MAX_FACTS = 4096,
  MAX_FRAME_FACTS = 512,
};

/* A fact that this host passes on. */
struct relayed_fact
{
  struct endpoint_fact fact;
  int64_t until_ms;
  bool is_new; /* has not been passed on yet */
};

/* Facts that are being sent. */
struct fact_message
{
  struct endpoint_notices *notices;
  const GArray *facts; /* struct endpoint_fact */
  bool pass_on;
  int64_t now_ms;
};

struct endpoint_notices
{
  struct endpoint_notices_options options;
  struct notice_relays relays;
  GArray *outbox;      /* struct endpoint_fact, to be sent to the relays */
  GHashTable *relayed; /* endpoint -> struct relayed_fact */
  int64_t flushed_ms;
  int64_t repeated_ms;
  bool is_urgent; /* flushes at the next tick */
};

/* Creates notices without any facts.  */
struct endpoint_notices *
endpoint_notices_create (const struct endpoint_notices_options *options)
{
  struct endpoint_notices *notices = xcalloc (1, sizeof *notices);

  notices->options = *options;
  notices->relays = (struct notice_relays){ .host = options->host,
                                            .data_centre_hash = id_hash_text (
                                                options->data_centre),
                                            .hosts = options->hosts };
  notices->outbox = g_array_new (FALSE, FALSE, sizeof (struct endpoint_fact));
  notices->relayed
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free);
  return notices;
}

/* Frees the notices.  */
void
endpoint_notices_destroy (struct endpoint_notices *notices)
{
  if (!notices)
    return;
  g_array_free (notices->outbox, TRUE);
  g_hash_table_destroy (notices->relayed);
  free (notices);
}

/* Sends a fact to all hosts with the next flush.  */
void
endpoint_notices_announce (struct endpoint_notices *notices,
                           const struct endpoint_fact *fact)
{
  if (notices->outbox->len < MAX_FACTS)
    g_array_append_vals (notices->outbox, fact, 1);
}

/* Keeps a fact in order to pass it on.  */
static void
keep_fact (struct endpoint_notices *notices, const struct endpoint_fact *fact,
           int64_t now_ms)
{
  struct relayed_fact *relayed
      = g_hash_table_lookup (notices->relayed, &fact->endpoint);

  if (!relayed)
    {
      if (g_hash_table_size (notices->relayed) >= MAX_FACTS)
        return;
      relayed = xcalloc (1, sizeof *relayed);
      relayed->fact.endpoint = fact->endpoint;
      relayed->is_new = true;
      g_hash_table_insert (notices->relayed, &relayed->fact.endpoint, relayed);
    }
  relayed->is_new |= relayed->fact.is_leaving != fact->is_leaving;
  if (cold_is_news (&relayed->fact.cold, &fact->cold)
      && cold_is_active (&fact->cold, now_ms))
    relayed->is_new = notices->is_urgent = true;
  relayed->fact = *fact;
  relayed->until_ms = now_ms + FACT_TTL_MS;
}

/* Fills MESSAGE, and returns it, with what is known of a cold endpoint.  */
Peer__EndpointCold *
endpoint_notices_pack_cold (Peer__EndpointCold *message,
                            const struct cold_state *cold, int64_t now_ms)
{
  peer__endpoint_cold__init (message);
  message->revision = cold->revision;
  message->remaining_ms
      = (uint32_t)CLAMP (cold->until_ms - now_ms, 0, COLD_MAX_MS);
  message->rate_milli = cold->rate_milli;
  message->id_hash = cold->id_hash;
  message->started_ms = cold->started_ms;
  return message;
}

/* Returns what another host tells of a cold endpoint; nothing for NULL.  */
struct cold_state
endpoint_notices_unpack_cold (const Peer__EndpointCold *message,
                              int64_t now_ms)
{
  if (!message)
    return (struct cold_state){ 0 };
  return (struct cold_state){
    .revision = message->revision,
    .id_hash = message->id_hash,
    .started_ms = message->started_ms,
    .until_ms = now_ms + MIN (message->remaining_ms, (uint32_t)COLD_MAX_MS),
    .rate_milli = MAX (message->rate_milli, 0),
  };
}

/* Sends a frame with COUNT facts to HOST.  */
static void
send_facts (const struct endpoint_notices *notices, const char *host,
            const struct endpoint_fact *facts, uint32_t count, bool pass_on,
            int64_t now_ms)
{
  struct transport *transport = notices->options.transport;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__EndpointNotice notice = PEER__ENDPOINT_NOTICE__INIT;
  Peer__EndpointFact *items = xcalloc (count, sizeof *items);
  Peer__EndpointFact **pointers = xcalloc (count, sizeof *pointers);
  Peer__EndpointCold *colds = xcalloc (count, sizeof *colds);

  for (uint32_t i = 0; i < count; i++)
    {
      peer__endpoint_fact__init (&items[i]);
      items[i].endpoint = facts[i].endpoint;
      items[i].limit_milli = facts[i].limit_milli;
      items[i].is_leaving = facts[i].is_leaving;
      if (facts[i].cold.revision > 0)
        items[i].cold
            = endpoint_notices_pack_cold (&colds[i], &facts[i].cold, now_ms);
      pointers[i] = &items[i];
    }
  notice.facts = pointers;
  notice.n_facts = count;
  notice.pass_on = pass_on;
  frame.body_case = PEER__FRAME__BODY_ENDPOINT_NOTICE;
  frame.endpoint_notice = &notice;
  transport->vtable->send (transport, host, &frame);
  free (colds);
  free (pointers);
  free (items);
}

/* Sends a message to HOST, or keeps its facts if this host is the relay.  */
static void
send_message (void *data, const char *host)
{
  const struct fact_message *message = data;
  const GArray *facts = message->facts;

  for (guint i = 0; i < facts->len && !host; i++)
    keep_fact (message->notices,
               &g_array_index (facts, struct endpoint_fact, i),
               message->now_ms);
  for (guint i = 0; i < facts->len && host; i += MAX_FRAME_FACTS)
    send_facts (message->notices, host,
                &g_array_index (facts, struct endpoint_fact, i),
                MIN (facts->len - i, (guint)MAX_FRAME_FACTS), message->pass_on,
                message->now_ms);
}

static void
flush_outbox (struct endpoint_notices *notices, int64_t now_ms)
{
  struct fact_message message = { .notices = notices,
                                  .facts = notices->outbox,
                                  .pass_on = true,
                                  .now_ms = now_ms };

  if (notices->outbox->len == 0 || notices->options.hosts->count == 0)
    return;
  notice_relays_for_each (&notices->relays, send_message, &message);
  g_array_set_size (notices->outbox, 0);
}

/* Passes the new facts, or all, on to the hosts of this data centre.  */
static void
pass_on (struct endpoint_notices *notices, bool all, int64_t now_ms)
{
  GArray *facts = g_array_new (FALSE, FALSE, sizeof (struct endpoint_fact));
  struct fact_message message
      = { .notices = notices, .facts = facts, .now_ms = now_ms };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, notices->relayed);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct relayed_fact *relayed = value;

      if (relayed->until_ms <= now_ms)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      if (all || relayed->is_new)
        g_array_append_val (facts, relayed->fact);
      relayed->is_new = false;
    }
  if (facts->len > 0)
    notice_relays_for_neighbours (&notices->relays, send_message, &message);
  g_array_free (facts, TRUE);
}

/* Handles a notice of another host.  */
void
endpoint_notices_handle (struct endpoint_notices *notices,
                         const Peer__EndpointNotice *notice, int64_t now_ms)
{
  for (size_t i = 0; i < notice->n_facts; i++)
    {
      struct endpoint_fact fact
          = { .endpoint = notice->facts[i]->endpoint,
              .limit_milli = notice->facts[i]->limit_milli,
              .is_leaving = notice->facts[i]->is_leaving,
              .cold = endpoint_notices_unpack_cold (notice->facts[i]->cold,
                                                    now_ms) };

      if (notice->pass_on)
        keep_fact (notices, &fact, now_ms);
      notices->options.handle_fact (notices->options.data, &fact, now_ms);
    }
}

/* Sends what is new with the next tick instead of the next flush.  */
void
endpoint_notices_hurry (struct endpoint_notices *notices)
{
  notices->is_urgent = true;
}

/* Sends what is due.  Must be called at least every 100 ms.  */
void
endpoint_notices_tick (struct endpoint_notices *notices, int64_t now_ms)
{
  bool is_repeat = now_ms - notices->repeated_ms >= REPEAT_INTERVAL_MS;

  if (now_ms - notices->flushed_ms < FLUSH_INTERVAL_MS && !notices->is_urgent)
    return;
  notices->flushed_ms = now_ms;
  notices->is_urgent = false;
  flush_outbox (notices, now_ms);
  if (g_hash_table_size (notices->relayed) == 0)
    return;
  if (is_repeat)
    notices->repeated_ms = now_ms;
  pass_on (notices, is_repeat, now_ms);
}
