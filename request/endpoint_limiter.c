#include "request/endpoint_limiter.h"
#include "common/buf.h"
#include "common/counters.h"
#include "common/id.h"
#include "common/log.h"
#include "policy/endpoint_limit.h"
#include "request/cold_endpoint.h"
#include "request/endpoint_notices.h"
#include "request/host_set.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* A tick that comes later than this follows a pause of this host, in which
     answers may have arrived that it has not read. */
  ASK_TIMEOUT_MS = ENDPOINT_LIMITER_ASK_TIMEOUT_MS,
  /* Of a permit, from the question to the send: one that arrives later, as to
     a host that was suspended, belongs to a time that has passed. */
  PERMIT_LIFETIME_MS = 250,
  /* For how long the spare holder is asked instead of a silent primary. */
  SILENT_MS = 500,
  /* Before an endpoint is tried again for which no holder answers. */
  NO_HOLDER_WAIT_MS = 250,
  /* Without an answer of the primary holder to its questions, until the spare
     takes over.  Any frame counts. */
  TAKEOVER_MS = 300,
  PROBE_INTERVAL_MS = 100, /* of the spare's questions */
  PROBE_RESET_MS = 1000,   /* after which the spare begins anew */
  /* For so long after a change of the list of hosts, another host may have
     been an endpoint's holder: until all hosts have the list, and the requests
     that it permitted in advance are sent. */
  PREDECESSOR_MS = 2500 + ENDPOINT_LIMIT_MAX_TURN_MS,
  SHARED_TTL_MS = 120000,    /* of what is known of an unused endpoint */
  MAX_SHARED = 4096,         /* endpoints */
  REPEAT_INTERVAL_MS = 5000, /* of what this host announces */
  ANNOUNCE_TTL_MS = 30000,   /* an unused endpoint is no longer announced */
  SWEEP_INTERVAL_MS = 1000,
  /* If the registry is late on half of the hosts, all of these are among them
     once in 4,096 times. */
  COLD_REPORTERS = 12,
  HOLDERS = 2, /* of an endpoint: the primary and the spare */
};

/* What this host knows of an endpoint as its holder or spare holder. */
struct shared_endpoint
{
  uint64_t endpoint;    /* hash of its id and start */
  uint64_t data_centre; /* hash of the name */
  struct endpoint_limit primary;
  struct endpoint_limit spare;
  struct cold_state cold;
  bool is_primary; /* this host is the primary holder */
  bool is_leaving;
  bool is_announced; /* the present limit, or that it leaves */
  int64_t used_ms;
  /* Of the spare's questions whether the primary answers; 0 for none. */
  int64_t probing_since_ms;
  int64_t last_probe_ms;
  int64_t last_ping_ms;
  bool has_taken_over;
};

struct permit_ask
{
  struct endpoint_limiter *limiter;
  uint64_t nonce;
  uint64_t endpoint;
  enum endpoint_limit_role role; /* of the holder that was asked */
  int64_t begun_ms;
  int64_t asked_ms;     /* this holder */
  bool has_asked_again; /* the primary, after the spare */
  int64_t max_wait_ms;
  permit_handler *handler;
  void *data;
  GList link;
};

struct endpoint_limiter
{
  struct endpoint_limiter_options options;
  struct host_set hosts;
  struct endpoint_notices *notices;
  GHashTable *shared;       /* endpoint -> struct shared_endpoint */
  GHashTable *asks;         /* nonce -> struct permit_ask */
  GQueue asks_by_age;       /* struct permit_ask, by asked_ms */
  int64_t hosts_changed_ms; /* or this process started */
  int64_t ticked_ms;
  int64_t swept_ms;
  int64_t announced_ms;
};

static void apply_fact (void *data, const struct endpoint_fact *fact,
                        int64_t now_ms);

/* Creates a limiter that knows no other hosts.  */
struct endpoint_limiter *
endpoint_limiter_create (const struct endpoint_limiter_options *options)
{
  struct endpoint_limiter *limiter = xcalloc (1, sizeof *limiter);
  struct endpoint_notices_options notices
      = { .host = options->host,
          .data_centre = options->data_centre,
          .transport = options->transport,
          .hosts = &limiter->hosts,
          .handle_fact = apply_fact,
          .data = limiter };

  limiter->options = *options;
  limiter->notices = endpoint_notices_create (&notices);
  limiter->shared
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free);
  limiter->asks
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free);
  g_queue_init (&limiter->asks_by_age);
  return limiter;
}

/* Frees the limiter without calling the handlers of open questions.  */
void
endpoint_limiter_destroy (struct endpoint_limiter *limiter)
{
  if (!limiter)
    return;
  g_hash_table_destroy (limiter->asks);
  g_hash_table_destroy (limiter->shared);
  endpoint_notices_destroy (limiter->notices);
  host_set_release (&limiter->hosts);
  free (limiter);
}

static bool
has_same_hosts (const struct endpoint_limiter *limiter,
                const struct host_location *hosts, size_t count)
{
  if (limiter->hosts.count != count)
    return false;
  for (size_t i = 0; i < count; i++)
    if (!host_set_find (&limiter->hosts, hosts[i].name))
      return false;
  return true;
}

static bool
is_self (const struct endpoint_limiter *limiter,
         const struct host_member *member)
{
  return strcmp (member->name, limiter->options.host) == 0;
}

/* Returns the holder of an endpoint, or NULL.  The primary is in the
   endpoint's data centre, so that both are on the same side of a cut; the
   spare is elsewhere, for the case that the data centre has lost its hosts. */
static const struct host_member *
find_holder (const struct endpoint_limiter *limiter, uint64_t endpoint,
             uint64_t data_centre, enum endpoint_limit_role role)
{
  struct host_choice local = { .item = endpoint, .only = data_centre };
  struct host_choice others = { .item = endpoint, .excluded = data_centre };
  const struct host_member *holders[HOLDERS];
  uint32_t count = host_set_choose (&limiter->hosts, &local, holders, 1);
  uint32_t wanted = role == ENDPOINT_LIMIT_PRIMARY ? 1 : HOLDERS;

  if (count < wanted)
    count += host_set_choose (&limiter->hosts, &others, &holders[count],
                              wanted - count);
  if (count < wanted)
    count = host_set_choose (&limiter->hosts, &local, holders, wanted);
  return count >= wanted ? holders[wanted - 1] : NULL;
}

static bool
holds (const struct endpoint_limiter *limiter,
       const struct shared_endpoint *shared, enum endpoint_limit_role role)
{
  const struct host_member *holder
      = find_holder (limiter, shared->endpoint, shared->data_centre, role);

  return holder && is_self (limiter, holder);
}

/* Begins anew where this host has become the primary holder: another one may
   have permitted requests meanwhile.  */
static void
update_roles (struct endpoint_limiter *limiter, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, limiter->shared);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct shared_endpoint *shared = value;
      bool was_primary = shared->is_primary;

      shared->is_primary = holds (limiter, shared, ENDPOINT_LIMIT_PRIMARY);
      if (shared->is_primary && !was_primary)
        endpoint_limit_init (&shared->primary, ENDPOINT_LIMIT_PRIMARY, now_ms);
    }
}

/* Sets the list of all entry hosts.  */
void
endpoint_limiter_set_hosts (struct endpoint_limiter *limiter,
                            const struct host_location *hosts, size_t count,
                            int64_t now_ms)
{
  if (has_same_hosts (limiter, hosts, count))
    return;
  limiter->hosts_changed_ms = now_ms;
  host_set_assign (&limiter->hosts, hosts, count);
  update_roles (limiter, now_ms);
}

static void
remove_unused (struct endpoint_limiter *limiter, int64_t ttl_ms,
               int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, limiter->shared);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms - ((struct shared_endpoint *)value)->used_ms > ttl_ms)
      g_hash_table_iter_remove (&iter);
}

/* Returns what this host knows of an endpoint, or NULL if it knows too many
   others.  */
static struct shared_endpoint *
find_shared (struct endpoint_limiter *limiter, uint64_t endpoint,
             uint64_t data_centre, int64_t now_ms)
{
  struct shared_endpoint *shared
      = g_hash_table_lookup (limiter->shared, &endpoint);

  if (!shared)
    {
      if (g_hash_table_size (limiter->shared) >= MAX_SHARED)
        remove_unused (limiter, ANNOUNCE_TTL_MS, now_ms);
      if (g_hash_table_size (limiter->shared) >= MAX_SHARED)
        return NULL;
      shared = xcalloc (1, sizeof *shared);
      shared->endpoint = endpoint;
      shared->data_centre = data_centre;
      endpoint_limit_init (&shared->primary, ENDPOINT_LIMIT_PRIMARY, now_ms);
      endpoint_limit_init (&shared->spare, ENDPOINT_LIMIT_SPARE, now_ms);
      shared->is_primary = holds (limiter, shared, ENDPOINT_LIMIT_PRIMARY);
      g_hash_table_insert (limiter->shared, &shared->endpoint, shared);
    }
  shared->used_ms = now_ms;
  return shared;
}

static void
announce (struct endpoint_limiter *limiter, struct shared_endpoint *shared)
{
  struct endpoint_fact fact = { .endpoint = shared->endpoint,
                                .limit_milli = shared->primary.limit_milli,
                                .is_leaving = shared->is_leaving,
                                .cold = shared->cold };

  shared->is_announced = true;
  endpoint_notices_announce (limiter->notices, &fact);
}

static const char *
endpoint_name (const struct endpoint_limiter *limiter, uint64_t endpoint)
{
  const struct pool_endpoint *found
      = pool_find_start (limiter->options.pool, endpoint);

  return found ? found->id : "(not listed)";
}

/* Whether the primary holder has not answered the spare's questions for long
   enough.  Asks it once more.  */
static bool
is_primary_silent (struct endpoint_limiter *limiter,
                   struct shared_endpoint *shared, int64_t now_ms)
{
  struct transport *transport = limiter->options.transport;
  const struct host_member *primary = find_holder (
      limiter, shared->endpoint, shared->data_centre, ENDPOINT_LIMIT_PRIMARY);

  if (!primary)
    return true;
  if (!shared->probing_since_ms
      || now_ms - shared->last_probe_ms > PROBE_RESET_MS)
    shared->probing_since_ms = now_ms;
  shared->last_probe_ms = now_ms;
  if (transport->vtable->last_received_ms (transport, primary->name)
      >= shared->probing_since_ms)
    {
      shared->probing_since_ms = 0;
      return false;
    }
  if (now_ms - shared->last_ping_ms >= PROBE_INTERVAL_MS)
    {
      shared->last_ping_ms = now_ms;
      transport->vtable->ping (transport, primary->name);
    }
  return now_ms - shared->probing_since_ms >= TAKEOVER_MS;
}

static void
log_takeover (const struct endpoint_limiter *limiter,
              struct shared_endpoint *shared, bool has_taken_over)
{
  if (shared->has_taken_over == has_taken_over)
    return;
  shared->has_taken_over = has_taken_over;
  log_write (LOG_WARN, "limiter", NULL,
             has_taken_over
                 ? "permitting requests to endpoint %s: its holder is silent"
                 : "no longer permitting requests to endpoint %s: its holder "
                   "answers",
             endpoint_name (limiter, shared->endpoint));
}

/* Adds to what this host knows, as a holder, of a cold endpoint.  */
static void
record_cold (struct endpoint_limiter *limiter, struct shared_endpoint *shared,
             const struct cold_state *heard, int64_t now_ms)
{
  if (!cold_merge (&shared->cold, heard))
    return;
  if (!cold_is_active (&shared->cold, now_ms) || !shared->is_primary)
    return;
  shared->is_announced = false;
  endpoint_notices_hurry (limiter->notices);
}

/* Makes LIMIT permit what the endpoint tolerates now.  */
static void
apply_cold (const struct endpoint_limiter *limiter,
            const struct shared_endpoint *shared, struct endpoint_limit *limit,
            int64_t now_ms)
{
  struct cold_rates rates;

  if (!cold_is_active (&shared->cold, now_ms))
    {
      endpoint_limit_set_cold (limit, 0, 0, now_ms);
      return;
    }
  if (limit->limit_milli < 0 && limit->cold_milli == 0)
    limit->has_predecessor
        = now_ms - limiter->hosts_changed_ms < PREDECESSOR_MS;
  rates = cold_divide (shared->cold.rate_milli, &limiter->options.cold_bound);
  if (limit->role == ENDPOINT_LIMIT_PRIMARY)
    endpoint_limit_set_cold (limit, rates.primary_milli,
                             rates.primary_burst_utokens, now_ms);
  else
    endpoint_limit_set_cold (limit, rates.spare_milli,
                             rates.spare_burst_utokens, now_ms);
}

/* Permits a request to an endpoint whose limit this host holds in ROLE.  The
   asking host goes by ASSUMED_MILLI.  Sets PERMIT to the answer.  */
static void
decide (struct endpoint_limiter *limiter, struct shared_endpoint *shared,
        enum endpoint_limit_role role, int64_t assumed_milli,
        int64_t max_wait_ms, int64_t now_ms, Peer__EndpointPermit *permit)
{
  struct endpoint_limit *limit = &shared->primary;
  int64_t wait_ms;

  if (role == ENDPOINT_LIMIT_SPARE)
    {
      bool is_silent = is_primary_silent (limiter, shared, now_ms);

      log_takeover (limiter, shared, is_silent);
      if (!is_silent)
        {
          permit->limit_milli = assumed_milli;
          permit->wait_ms = PROBE_INTERVAL_MS;
          permit->is_primary_alive = true;
          return;
        }
      /* Reports go to the primary holder.  */
      limit = &shared->spare;
      if (assumed_milli >= 0)
        endpoint_limit_record_named (limit, assumed_milli, now_ms);
    }
  apply_cold (limiter, shared, limit, now_ms);
  endpoint_limit_assume (limit, assumed_milli, now_ms);
  permit->is_granted
      = endpoint_limit_take (limit, max_wait_ms, now_ms, &wait_ms);
  permit->wait_ms = (uint32_t)wait_ms;
  permit->limit_milli = limit->limit_milli;
  counter_add (permit->is_granted ? COUNTER_PERMITS_GRANTED
                                  : COUNTER_PERMITS_DENIED,
               1);
}

/* Applies a holder's answer to what this host knows of the endpoint.  */
static void
apply_permit (struct pool_endpoint *endpoint,
              const Peer__EndpointPermit *permit, int64_t now_ms)
{
  struct cold_state cold = endpoint_notices_unpack_cold (permit->cold, now_ms);

  cold_endpoint_record (endpoint, &cold, now_ms);
  cold_endpoint_set_named_limit (endpoint, permit->limit_milli, now_ms);
  endpoint->limit_heard_ms = now_ms;
  if (!permit->is_granted)
    endpoint->permit_after_ms = now_ms + MAX (permit->wait_ms, 1);
}

/* Returns how long the request may wait for its turn: the time for which a
   silent holder was asked counts.  0 stands for no wait at all and other
   shares of the limit, so the rest of a wait is not 0.  */
static int64_t
left_wait_ms (const struct permit_ask *ask, int64_t now_ms)
{
  if (ask->max_wait_ms == 0)
    return 0;
  return MAX (ask->max_wait_ms - (now_ms - ask->begun_ms), 1);
}

/* Asks the holder in ASK's role, or the spare one if that fails.  Where this
   host is the spare one and does not decide, it asks the primary one again, as
   other hosts do when they are told so.  Sets PERMIT unless the result is
   PERMIT_PENDING.  */
static enum permit_verdict
ask_holder (struct permit_ask *ask, const struct pool_endpoint *endpoint,
            int64_t now_ms, Peer__EndpointPermit *permit)
{
  struct endpoint_limiter *limiter = ask->limiter;
  struct transport *transport = limiter->options.transport;
  const struct host_member *holder = find_holder (
      limiter, ask->endpoint, endpoint->data_centre_hash, ask->role);
  struct shared_endpoint *shared;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__EndpointAsk question = PEER__ENDPOINT_ASK__INIT;
  Peer__EndpointCold cold;
  int64_t named_milli = cold_endpoint_named_limit (endpoint);

  ask->asked_ms = now_ms;
  if (holder && is_self (limiter, holder))
    {
      shared = find_shared (limiter, ask->endpoint, endpoint->data_centre_hash,
                            now_ms);
      if (shared)
        {
          record_cold (limiter, shared, &endpoint->cold, now_ms);
          decide (limiter, shared, ask->role, named_milli,
                  left_wait_ms (ask, now_ms), now_ms, permit);
        }
      if (permit->is_primary_alive && !ask->has_asked_again)
        {
          permit->is_primary_alive = false;
          ask->has_asked_again = true;
          ask->role = ENDPOINT_LIMIT_PRIMARY;
          return ask_holder (ask, endpoint, now_ms, permit);
        }
      return permit->is_granted ? PERMIT_GRANTED : PERMIT_DENIED;
    }
  question.nonce = ask->nonce;
  question.endpoint = ask->endpoint;
  question.data_centre = endpoint->data_centre_hash;
  question.limit_milli = named_milli;
  if (endpoint->cold.revision > 0)
    question.cold
        = endpoint_notices_pack_cold (&cold, &endpoint->cold, now_ms);
  question.max_wait_ms = (uint32_t)left_wait_ms (ask, now_ms);
  frame.body_case = PEER__FRAME__BODY_ENDPOINT_ASK;
  frame.endpoint_ask = &question;
  if (holder && transport->vtable->send (transport, holder->name, &frame))
    return PERMIT_PENDING;
  if (ask->role == ENDPOINT_LIMIT_PRIMARY)
    {
      ask->role = ENDPOINT_LIMIT_SPARE;
      return ask_holder (ask, endpoint, now_ms, permit);
    }
  return PERMIT_DENIED;
}

/* Initializes the answer to be assumed if no holder gives one.  */
static Peer__EndpointPermit
no_permit (int64_t limit_milli)
{
  Peer__EndpointPermit permit = PEER__ENDPOINT_PERMIT__INIT;

  permit.limit_milli = limit_milli;
  permit.wait_ms = NO_HOLDER_WAIT_MS;
  return permit;
}

/* Acquires a permit to send a request to an endpoint.  Sets *WAIT_MS if it is
   granted, and *ASK if the result is PERMIT_PENDING; the handler is then
   called later, unless *ASK is cancelled before.  */
enum permit_verdict
endpoint_limiter_acquire (struct endpoint_limiter *limiter,
                          const struct permit_query *query, int64_t now_ms,
                          int64_t *wait_ms, struct permit_ask **ask)
{
  struct pool_endpoint *endpoint = query->endpoint;
  Peer__EndpointPermit permit
      = no_permit (cold_endpoint_named_limit (endpoint));
  struct permit_ask *new_ask;
  enum permit_verdict verdict;

  cold_endpoint_refresh (endpoint, now_ms);
  *ask = NULL;
  *wait_ms = 0;
  if (endpoint->limit_milli < 0)
    return PERMIT_GRANTED;
  new_ask = xcalloc (1, sizeof *new_ask);
  *new_ask = (struct permit_ask){
    .limiter = limiter,
    .nonce = id_random64 (),
    .endpoint = endpoint->start,
    .role = now_ms < endpoint->holder_silent_until_ms ? ENDPOINT_LIMIT_SPARE
                                                      : ENDPOINT_LIMIT_PRIMARY,
    .max_wait_ms = query->max_wait_ms,
    .begun_ms = now_ms,
    .handler = query->handler,
    .data = query->data,
  };
  counter_add (COUNTER_PERMIT_ASKS, 1);
  verdict = ask_holder (new_ask, endpoint, now_ms, &permit);
  if (verdict == PERMIT_PENDING)
    {
      new_ask->link.data = new_ask;
      g_hash_table_insert (limiter->asks, &new_ask->nonce, new_ask);
      g_queue_push_tail_link (&limiter->asks_by_age, &new_ask->link);
      *ask = new_ask;
      return verdict;
    }
  free (new_ask);
  apply_permit (endpoint, &permit, now_ms);
  *wait_ms = permit.wait_ms;
  return verdict;
}

/* Cancels a question; its handler is not called.  No effect if it is NULL.  */
void
endpoint_limiter_cancel (struct permit_ask *ask)
{
  if (!ask)
    return;
  g_queue_unlink (&ask->limiter->asks_by_age, &ask->link);
  g_hash_table_remove (ask->limiter->asks, &ask->nonce);
}

static void
finish_ask (struct permit_ask *ask, const Peer__EndpointPermit *permit,
            int64_t now_ms)
{
  struct pool_endpoint *endpoint
      = pool_find_start (ask->limiter->options.pool, ask->endpoint);
  permit_handler *handler = ask->handler;
  void *data = ask->data;

  if (endpoint)
    apply_permit (endpoint, permit, now_ms);
  endpoint_limiter_cancel (ask);
  handler (data, permit->is_granted, permit->wait_ms);
}

/* Asks the holder in ROLE next.  Sets PERMIT unless that is PERMIT_PENDING. */
static enum permit_verdict
ask_other_holder (struct permit_ask *ask, enum endpoint_limit_role role,
                  const struct pool_endpoint *endpoint, int64_t now_ms,
                  Peer__EndpointPermit *permit)
{
  struct endpoint_limiter *limiter = ask->limiter;

  ask->role = role;
  g_queue_unlink (&limiter->asks_by_age, &ask->link);
  g_queue_push_tail_link (&limiter->asks_by_age, &ask->link);
  return ask_holder (ask, endpoint, now_ms, permit);
}

/* Handles a holder's silence.  */
static void
handle_ask_timeout (struct permit_ask *ask, int64_t now_ms)
{
  struct pool_endpoint *endpoint
      = pool_find_start (ask->limiter->options.pool, ask->endpoint);
  Peer__EndpointPermit permit = no_permit (
      endpoint ? cold_endpoint_named_limit (endpoint) : ENDPOINT_LIMIT_NONE);

  if (endpoint && ask->role == ENDPOINT_LIMIT_PRIMARY)
    {
      endpoint->holder_silent_until_ms = now_ms + SILENT_MS;
      if (ask_other_holder (ask, ENDPOINT_LIMIT_SPARE, endpoint, now_ms,
                            &permit)
          == PERMIT_PENDING)
        return;
    }
  finish_ask (ask, &permit, now_ms);
}

static void
handle_permit (struct endpoint_limiter *limiter,
               const Peer__EndpointPermit *permit, int64_t now_ms)
{
  struct permit_ask *ask = g_hash_table_lookup (limiter->asks, &permit->nonce);
  struct pool_endpoint *endpoint;
  Peer__EndpointPermit next;

  if (!ask)
    return;
  if (now_ms - ask->asked_ms > PERMIT_LIFETIME_MS)
    {
      handle_ask_timeout (ask, now_ms);
      return;
    }
  endpoint = pool_find_start (limiter->options.pool, ask->endpoint);
  if (!endpoint || !permit->is_primary_alive || ask->has_asked_again)
    {
      finish_ask (ask, permit, now_ms);
      return;
    }
  /* The primary was late, and is not silent.  */
  next = *permit;
  ask->has_asked_again = true;
  endpoint->holder_silent_until_ms = 0;
  if (ask_other_holder (ask, ENDPOINT_LIMIT_PRIMARY, endpoint, now_ms, &next)
      != PERMIT_PENDING)
    finish_ask (ask, &next, now_ms);
}

/* Records what the asking host and this one's registry tell of a cold
   endpoint.  */
static void
learn_cold (struct endpoint_limiter *limiter, struct shared_endpoint *shared,
            const Peer__EndpointCold *message, int64_t now_ms)
{
  const struct pool_endpoint *endpoint
      = pool_find_start (limiter->options.pool, shared->endpoint);
  struct cold_state heard = endpoint_notices_unpack_cold (message, now_ms);

  record_cold (limiter, shared, &heard, now_ms);
  if (endpoint)
    record_cold (limiter, shared, &endpoint->cold, now_ms);
}

static void
handle_question (struct endpoint_limiter *limiter, const char *host,
                 const Peer__EndpointAsk *question, int64_t now_ms)
{
  struct transport *transport = limiter->options.transport;
  struct shared_endpoint *shared = find_shared (limiter, question->endpoint,
                                                question->data_centre, now_ms);
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__EndpointPermit permit = no_permit (question->limit_milli);
  Peer__EndpointCold cold;

  permit.nonce = question->nonce;
  if (shared)
    learn_cold (limiter, shared, question->cold, now_ms);
  /* Without a role here, the hosts know different lists of hosts for now.  */
  if (shared && shared->is_primary)
    decide (limiter, shared, ENDPOINT_LIMIT_PRIMARY, question->limit_milli,
            question->max_wait_ms, now_ms, &permit);
  else if (shared && holds (limiter, shared, ENDPOINT_LIMIT_SPARE))
    decide (limiter, shared, ENDPOINT_LIMIT_SPARE, question->limit_milli,
            question->max_wait_ms, now_ms, &permit);
  if (shared && shared->cold.revision > 0)
    permit.cold = endpoint_notices_pack_cold (&cold, &shared->cold, now_ms);
  frame.body_case = PEER__FRAME__BODY_ENDPOINT_PERMIT;
  frame.endpoint_permit = &permit;
  transport->vtable->send (transport, host, &frame);
}

static void
log_limit (const struct endpoint_limiter *limiter,
           const struct shared_endpoint *shared)
{
  if (shared->primary.limit_milli < 0)
    log_write (LOG_INFO, "limiter", NULL,
               "endpoint %s has no limit any more; this host held it",
               endpoint_name (limiter, shared->endpoint));
  else
    log_write (LOG_INFO, "limiter", NULL,
               "this host holds the limit of endpoint %s: %" G_GINT64_FORMAT
               " requests per 1000 s for all hosts",
               endpoint_name (limiter, shared->endpoint),
               shared->primary.limit_milli);
}

/* Records, on a holder, what a host has learnt from an answer.  */
static void
record_report (struct endpoint_limiter *limiter,
               const Peer__EndpointReport *report, int64_t now_ms)
{
  struct shared_endpoint *shared
      = find_shared (limiter, report->endpoint, report->data_centre, now_ms);
  int64_t before_milli;

  if (!shared)
    return;
  if (report->cold)
    learn_cold (limiter, shared, report->cold, now_ms);
  before_milli = shared->primary.limit_milli;
  shared->primary.has_predecessor
      = now_ms - limiter->hosts_changed_ms < PREDECESSOR_MS;
  if (report->has_limit && report->limit_milli >= 0)
    endpoint_limit_record_named (&shared->primary, report->limit_milli,
                                 now_ms);
  else if (report->has_limit)
    endpoint_limit_record_absent (&shared->primary, now_ms - report->age_ms,
                                  now_ms);
  if (shared->primary.limit_milli != before_milli)
    log_limit (limiter, shared);
  if ((before_milli < 0 && shared->primary.limit_milli >= 0)
      || (report->is_leaving && !shared->is_leaving))
    shared->is_announced = false;
  shared->is_leaving |= report->is_leaving;
}

/* Sends REPORT to the endpoint's primary holder.  It is lost if that cannot be
   reached: the next question carries the limit, too.  */
static void
send_report (struct endpoint_limiter *limiter, Peer__EndpointReport *report,
             int64_t now_ms)
{
  struct transport *transport = limiter->options.transport;
  const struct host_member *holder = find_holder (
      limiter, report->endpoint, report->data_centre, ENDPOINT_LIMIT_PRIMARY);
  Peer__Frame frame = PEER__FRAME__INIT;

  if (!holder)
    return;
  if (is_self (limiter, holder))
    {
      record_report (limiter, report, now_ms);
      return;
    }
  frame.body_case = PEER__FRAME__BODY_ENDPOINT_REPORT;
  frame.endpoint_report = report;
  transport->vtable->send (transport, holder->name, &frame);
}

/* Records what an answer to a request sent at SENT_MS tells: the endpoint's
   limit, negative if it names none.  Returns whether this is news.  */
bool
endpoint_limiter_record_limit (struct endpoint_limiter *limiter,
                               struct pool_endpoint *endpoint,
                               int64_t limit_milli, int64_t sent_ms,
                               int64_t now_ms)
{
  Peer__EndpointReport report = PEER__ENDPOINT_REPORT__INIT;

  if (limit_milli >= 0)
    endpoint->limit_heard_ms = now_ms;
  else
    limit_milli = ENDPOINT_LIMIT_NONE;
  if (limit_milli == cold_endpoint_named_limit (endpoint))
    return false;
  report.endpoint = endpoint->start;
  report.data_centre = endpoint->data_centre_hash;
  report.has_limit = true;
  report.limit_milli = limit_milli;
  report.age_ms = (uint32_t)MAX (now_ms - sent_ms, 0);
  send_report (limiter, &report, now_ms);
  /* An answer to a request that was sent before the limit was last heard of
     may be the older one.  */
  if (limit_milli < 0 && sent_ms < endpoint->limit_heard_ms)
    return false;
  cold_endpoint_set_named_limit (endpoint, limit_milli, now_ms);
  return true;
}

/* Records that an answer told that the endpoint leaves, which is news.  */
void
endpoint_limiter_record_leaving (struct endpoint_limiter *limiter,
                                 const struct pool_endpoint *endpoint,
                                 int64_t now_ms)
{
  Peer__EndpointReport report = PEER__ENDPOINT_REPORT__INIT;

  report.endpoint = endpoint->start;
  report.data_centre = endpoint->data_centre_hash;
  report.is_leaving = true;
  send_report (limiter, &report, now_ms);
}

/* Handles a fact about a process of an endpoint that is not listed here.  */
static void
apply_unlisted (struct endpoint_limiter *limiter,
                const struct endpoint_fact *fact, int64_t now_ms)
{
  const struct pool_endpoint *replaced
      = fact->cold.revision > 0
            ? pool_record_replaced (limiter->options.pool, fact->cold.id_hash,
                                    fact->cold.started_ms, now_ms)
            : NULL;

  if (replaced)
    log_write (LOG_INFO, "limiter", NULL,
               "endpoint %s has started anew and is cold; it gets no requests "
               "until the registry lists its new process",
               replaced->id);
}

/* Applies a fact that another host has sent.  A limit that has ended meanwhile
   ends here with the holder's next answer.  */
static void
apply_fact (void *data, const struct endpoint_fact *fact, int64_t now_ms)
{
  struct endpoint_limiter *limiter = data;
  struct pool_endpoint *endpoint
      = pool_find_start (limiter->options.pool, fact->endpoint);

  if (!endpoint)
    {
      apply_unlisted (limiter, fact, now_ms);
      return;
    }
  cold_endpoint_record (endpoint, &fact->cold, now_ms);
  if (fact->limit_milli >= 0 && cold_endpoint_named_limit (endpoint) < 0)
    {
      cold_endpoint_set_named_limit (endpoint, fact->limit_milli, now_ms);
      endpoint->limit_heard_ms = now_ms;
    }
  if (fact->is_leaving && !endpoint->leaving)
    {
      counter_add (COUNTER_ENDPOINTS_LEAVING, 1);
      log_write (LOG_INFO, "limiter", NULL,
                 "another host was told by endpoint %s that it is leaving",
                 endpoint->id);
      pool_record_leaving (limiter->options.pool, endpoint, now_ms);
    }
}

/* Handles questions, answers, reports and notices of other hosts; ignores
   other frames.  */
void
endpoint_limiter_handle_frame (struct endpoint_limiter *limiter,
                               const char *host, const Peer__Frame *frame,
                               int64_t now_ms)
{
  if (frame->body_case == PEER__FRAME__BODY_ENDPOINT_ASK)
    handle_question (limiter, host, frame->endpoint_ask, now_ms);
  else if (frame->body_case == PEER__FRAME__BODY_ENDPOINT_PERMIT)
    handle_permit (limiter, frame->endpoint_permit, now_ms);
  else if (frame->body_case == PEER__FRAME__BODY_ENDPOINT_REPORT)
    record_report (limiter, frame->endpoint_report, now_ms);
  else if (frame->body_case == PEER__FRAME__BODY_ENDPOINT_NOTICE)
    endpoint_notices_handle (limiter->notices, frame->endpoint_notice, now_ms);
}

/* Announces what is new on the endpoints that this host holds, and from time
   to time all of it.  */
static void
announce_shared (struct endpoint_limiter *limiter, int64_t now_ms)
{
  bool is_repeat = now_ms - limiter->announced_ms >= REPEAT_INTERVAL_MS;
  GHashTableIter iter;
  gpointer value;

  if (is_repeat)
    limiter->announced_ms = now_ms;
  g_hash_table_iter_init (&iter, limiter->shared);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct shared_endpoint *shared = value;
      bool is_notable = shared->primary.limit_milli >= 0 || shared->is_leaving
                        || cold_is_active (&shared->cold, now_ms);

      if (is_notable && (!shared->is_announced || is_repeat)
          && now_ms - shared->used_ms <= ANNOUNCE_TTL_MS && shared->is_primary)
        announce (limiter, shared);
    }
}

/* Tells the holder what the registry has told this host, if this is the holder
   or one of about COLD_REPORTERS hosts: the registry may be late there.  */
static void
report_cold (struct endpoint_limiter *limiter,
             const struct pool_endpoint *endpoint, int64_t now_ms)
{
  Peer__EndpointReport report = PEER__ENDPOINT_REPORT__INIT;
  Peer__EndpointCold cold;
  const struct host_member *holder
      = find_holder (limiter, endpoint->start, endpoint->data_centre_hash,
                     ENDPOINT_LIMIT_PRIMARY);

  if (!holder
      || (!is_self (limiter, holder)
          && id_random64 () % limiter->hosts.count >= COLD_REPORTERS))
    return;
  report.endpoint = endpoint->start;
  report.data_centre = endpoint->data_centre_hash;
  report.cold = endpoint_notices_pack_cold (&cold, &endpoint->cold, now_ms);
  send_report (limiter, &report, now_ms);
}

/* Ends cold times that are over.  Passes on what the registry has told this
   host of cold endpoints.  */
static void
update_cold (struct endpoint_limiter *limiter, int64_t now_ms)
{
  struct pool *pool = limiter->options.pool;

  for (size_t i = 0; i < pool_count (pool); i++)
    {
      struct pool_endpoint *endpoint = pool_at (pool, i);

      cold_endpoint_refresh (endpoint, now_ms);
      if (endpoint->has_cold_news)
        report_cold (limiter, endpoint, now_ms);
      endpoint->has_cold_news = false;
    }
}

/* Ends questions that no holder has answered, and tells other hosts what is
   new.  Must be called at least every 100 ms.  */
void
endpoint_limiter_tick (struct endpoint_limiter *limiter, int64_t now_ms)
{
  bool is_late
      = limiter->ticked_ms && now_ms - limiter->ticked_ms >= ASK_TIMEOUT_MS;
  struct permit_ask *oldest;

  limiter->ticked_ms = now_ms;
  while (!is_late && (oldest = g_queue_peek_head (&limiter->asks_by_age))
         && now_ms - oldest->asked_ms >= ASK_TIMEOUT_MS)
    handle_ask_timeout (oldest, now_ms);
  update_cold (limiter, now_ms);
  announce_shared (limiter, now_ms);
  endpoint_notices_tick (limiter->notices, now_ms);
  if (now_ms - limiter->swept_ms < SWEEP_INTERVAL_MS)
    return;
  limiter->swept_ms = now_ms;
  remove_unused (limiter, SHARED_TTL_MS, now_ms);
}
