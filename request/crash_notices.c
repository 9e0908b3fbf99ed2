#include "request/crash_notices.h"
#include "common/buf.h"
#include "common/counters.h"
#include "common/id.h"
#include "common/log.h"
#include "ledger/item.h"
#include "ledger/keeper_set.h"
#include "request/host_set.h"
#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum
{
  JOINERS = 2,     /* hosts at which the reports of a request meet */
  MAX_STATES = 64, /* in one frame */
  KEEPER_RETRY_MS = 250,
  /* A longer time between ticks is a pause, in which frames may have been
     lost. */
  MAX_TICK_MS = 1000,
  /* After the loss of a link the keepers are asked again for so long, so that
     the end of a cut lies within. */
  ASK_AFTER_DOWN_MS = 10000,
  ASK_INTERVAL_MS = 1000,
  EXPIRE_INTERVAL_MS = 5000,
  /* The keepers hold what was shared within a time of this length as charges
     of one program, which expires as all programs do. */
  EPOCH_MS = 600 * 1000,
  EPOCHS = 2, /* asked for: the present one and the one before */
  /* Version of a charge: how often the request was cleared, and the number of
     crashes since, so that the newer one is the higher. */
  VERSION_CLEAR_SHIFT = 8,
  VERSION_COUNT_MASK = 0xff,
  QUESTION_SOURCE = 1, /* of the charge that only asks; no fingerprint */
};

static const char EPOCH_NAME[]
    = "requests that crash endpoints, epoch %" PRId64;

/* What the keepers are asked or told. */
struct keeper_call
{
  uint64_t id;
  uint64_t program;
  struct charge charge;
  uint64_t answered[REPLICAS_MAX]; /* hashes of the keepers that answered */
  uint32_t answer_count;
  int64_t sent_ms;
};

struct crash_notices
{
  struct crash_notices_options options;
  struct crash_evidence *evidence;
  struct host_set hosts; /* all entry hosts */
  struct keeper_set keepers;
  GPtrArray *calls; /* struct keeper_call, without a majority's answer */
  GHashTable *kept; /* fingerprint -> uint64_t, version at the keepers */
  int64_t ticked_ms;
  int64_t asked_ms; /* when the keepers were last asked */
  int64_t ask_until_ms;
  int64_t gossiped_ms;
  int64_t expired_ms;
};

static int64_t
system_unix_ms (void *data)
{
  return g_get_real_time () / 1000;
}

/* Creates notices that know no other hosts.  */
struct crash_notices *
crash_notices_create (const struct crash_notices_options *options)
{
  struct crash_notices *notices = xcalloc (1, sizeof *notices);

  notices->options = *options;
  if (!notices->options.now_unix_ms)
    notices->options.now_unix_ms = system_unix_ms;
  notices->evidence = crash_evidence_create ();
  notices->calls = g_ptr_array_new_with_free_func (free);
  notices->kept
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, free, free);
  return notices;
}

/* Frees the notices.  */
void
crash_notices_destroy (struct crash_notices *notices)
{
  if (!notices)
    return;
  crash_evidence_destroy (notices->evidence);
  g_ptr_array_free (notices->calls, TRUE);
  g_hash_table_destroy (notices->kept);
  host_set_release (&notices->hosts);
  keeper_set_release (&notices->keepers);
  free (notices);
}

/* Replaces the entry hosts.  */
void
crash_notices_set_hosts (struct crash_notices *notices,
                         const struct host_location *hosts, size_t count)
{
  host_set_assign (&notices->hosts, hosts, count);
}

static int64_t
unix_ms (const struct crash_notices *notices)
{
  return notices->options.now_unix_ms (notices->options.data);
}

/* Returns the program as whose charges the keepers hold crashes that were
   shared in the epoch AGE epochs ago.  */
static uint64_t
epoch_program (const struct crash_notices *notices, int64_t age)
{
  char *name = xasprintf (EPOCH_NAME, unix_ms (notices) / EPOCH_MS - age);
  uint64_t program = id_hash_text (name);

  free (name);
  return program;
}

static void
send_call (struct crash_notices *notices, struct keeper_call *call,
           int64_t now_ms)
{
  struct keeper_replicas replicas
      = keeper_set_replicas (&notices->keepers, call->program);
  Peer__LedgerItem item;
  Peer__LedgerItem *only = &item;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LedgerWrite write = PEER__LEDGER_WRITE__INIT;

  call->sent_ms = now_ms;
  ledger_item_set (&item, call->program, &call->charge);
  item.id = call->id;
  write.items = &only;
  write.n_items = 1;
  frame.body_case = PEER__FRAME__BODY_LEDGER_WRITE;
  frame.ledger_write = &write;
  for (uint32_t i = 0; i < replicas.count; i++)
    {
      const char *name = notices->keepers.names[replicas.keepers[i]];

      if (notices->options.transport->vtable->send (notices->options.transport,
                                                    name, &frame))
        counter_add (COUNTER_CRASH_KEEPER_CALLS, 1);
    }
}

/* Sends CHARGE to the keepers until a majority has answered.  A call of the
   same source that still waits is replaced.  */
static void
start_call (struct crash_notices *notices, uint64_t program,
            const struct charge *charge, int64_t now_ms)
{
  struct keeper_call *call = NULL;

  if (notices->keepers.count == 0 || !notices->options.transport)
    return;
  for (guint i = 0; i < notices->calls->len && !call; i++)
    {
      struct keeper_call *waiting = notices->calls->pdata[i];

      if (waiting->program == program
          && waiting->charge.source == charge->source)
        call = waiting;
    }
  if (!call)
    {
      call = xcalloc (1, sizeof *call);
      g_ptr_array_add (notices->calls, call);
    }
  *call = (struct keeper_call){ .id = id_random64 (),
                                .program = program,
                                .charge = *charge };
  send_call (notices, call, now_ms);
}

/* Asks the keepers for what they hold.  */
static void
ask_keepers (struct crash_notices *notices, int64_t now_ms)
{
  struct charge question = { .source = QUESTION_SOURCE, .version = 1 };

  notices->asked_ms = now_ms;
  for (int64_t age = 0; age < EPOCHS; age++)
    start_call (notices, epoch_program (notices, age), &question, now_ms);
}

/* Replaces the keepers.  */
void
crash_notices_set_keepers (struct crash_notices *notices,
                           const struct host_location *keepers, size_t count,
                           int64_t now_ms)
{
  if (keeper_set_assign (&notices->keepers, keepers, count,
                         notices->options.losses))
    ask_keepers (notices, now_ms);
}

static uint64_t
kept_version (const struct crash_notices *notices, uint64_t fingerprint)
{
  const uint64_t *version = g_hash_table_lookup (notices->kept, &fingerprint);

  return version ? *version : 0;
}

static void
set_kept_version (struct crash_notices *notices, uint64_t fingerprint,
                  uint64_t version)
{
  g_hash_table_insert (notices->kept,
                       g_memdup2 (&fingerprint, sizeof fingerprint),
                       g_memdup2 (&version, sizeof version));
}

/* Returns when the request last crashed an endpoint.  */
static int64_t
last_crash_ms (const struct crash_state *state)
{
  int64_t last_ms = state->earlier > 0 ? state->earlier_ms : 0;

  for (uint32_t i = 0; i < state->record_count; i++)
    if (state->records[i].is_confirmed)
      last_ms = MAX (last_ms, state->records[i].at_ms);
  return last_ms;
}

/* Has the keepers hold what is known of a request that is shared, if that is
   more than they hold.  */
static void
keep (struct crash_notices *notices, const struct crash_state *state,
      bool shared, int64_t now_ms)
{
  uint32_t count = crash_state_count (state, now_ms);
  uint64_t version = (uint64_t)state->clears << VERSION_CLEAR_SHIFT
                     | MIN (count, VERSION_COUNT_MASK);
  struct charge charge
      = { .source = state->fingerprint,
          .version = version,
          .tokens = unix_ms (notices) - (now_ms - last_crash_ms (state)) };

  if (!shared || version <= kept_version (notices, state->fingerprint))
    return;
  set_kept_version (notices, state->fingerprint, version);
  start_call (notices, epoch_program (notices, 0), &charge, now_ms);
}

/* Converts what is known of a request.  RECORDS has room for
   CRASH_MAX_RECORDS.  */
static void
pack_state (const struct crash_state *state, Peer__CrashState *packed,
            Peer__CrashRecord *records, Peer__CrashRecord **list,
            int64_t now_ms)
{
  peer__crash_state__init (packed);
  packed->fingerprint = state->fingerprint;
  for (uint32_t i = 0; i < state->record_count; i++)
    {
      peer__crash_record__init (&records[i]);
      records[i].endpoint = state->records[i].endpoint;
      records[i].age_ms = now_ms - state->records[i].at_ms;
      records[i].is_confirmed = state->records[i].is_confirmed;
      list[i] = &records[i];
    }
  packed->records = list;
  packed->n_records = state->record_count;
  packed->earlier = state->earlier;
  packed->earlier_age_ms = state->earlier > 0 ? now_ms - state->earlier_ms : 0;
  packed->clears = state->clears;
  packed->cleared_age_ms
      = state->cleared_ms > 0 ? now_ms - state->cleared_ms : 0;
  packed->trial_ms = MAX (state->trial_until_ms - now_ms, 0);
}

/* Returns an age that another host told, in a range in which times can be
   computed.  */
static int64_t
valid_age_ms (int64_t age_ms)
{
  return CLAMP (age_ms, 0, CRASH_TTL_MS);
}

static struct crash_state
unpack_state (const Peer__CrashState *packed, int64_t now_ms)
{
  struct crash_state state = {
    .fingerprint = packed->fingerprint,
    .earlier = MIN (packed->earlier, VERSION_COUNT_MASK),
    .earlier_ms = now_ms - valid_age_ms (packed->earlier_age_ms),
    .clears = packed->clears,
    .cleared_ms
    = packed->clears > 0 ? now_ms - valid_age_ms (packed->cleared_age_ms) : 0,
    .trial_until_ms = packed->trial_ms > 0
                          ? now_ms + MIN (packed->trial_ms, CRASH_TRIAL_MS)
                          : 0
  };

  for (size_t i = 0; i < packed->n_records && i < CRASH_MAX_RECORDS; i++)
    state.records[state.record_count++] = (struct crash_record){
      .endpoint = packed->records[i]->endpoint,
      .at_ms = now_ms - valid_age_ms (packed->records[i]->age_ms),
      .is_confirmed = packed->records[i]->is_confirmed,
    };
  return state;
}

/* States that are sent in one frame. */
struct notice
{
  Peer__CrashState states[MAX_STATES];
  Peer__CrashState *state_list[MAX_STATES];
  Peer__CrashRecord records[MAX_STATES][CRASH_MAX_RECORDS];
  Peer__CrashRecord *record_list[MAX_STATES][CRASH_MAX_RECORDS];
  size_t count;
  int64_t now_ms;
};

static void
notice_add (struct notice *notice, const struct crash_state *state)
{
  size_t i = notice->count;

  if (i == MAX_STATES)
    return;
  pack_state (state, &notice->states[i], notice->records[i],
              notice->record_list[i], notice->now_ms);
  notice->state_list[i] = &notice->states[i];
  notice->count++;
}

/* Sends NOTICE to HOST.  A host that knows no states is told of the number of
   crashes of the first one.  */
static void
notice_send (const struct crash_notices *notices, struct notice *notice,
             const char *host)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__CrashNotice packed = PEER__CRASH_NOTICE__INIT;
  struct transport *transport = notices->options.transport;
  const struct crash_state *state
      = crash_evidence_find (notices->evidence, notice->states[0].fingerprint);
  uint32_t crashes = state ? crash_state_count (state, notice->now_ms) : 0;

  if (!transport || strcmp (host, notices->options.host) == 0)
    return;
  if (crashes > 0)
    {
      packed.fingerprint = notice->states[0].fingerprint;
      packed.crashes = crashes;
    }
  packed.states = notice->state_list;
  packed.n_states = notice->count;
  frame.body_case = PEER__FRAME__BODY_CRASH_NOTICE;
  frame.crash_notice = &packed;
  if (transport->vtable->send (transport, host, &frame))
    counter_add (COUNTER_CRASH_NOTICES, 1);
}

/* Whether all hosts are to know of the request.  */
static bool
is_shared (const struct crash_notices *notices, uint64_t fingerprint,
           int64_t now_ms)
{
  const struct crash_state *state
      = crash_evidence_find (notices->evidence, fingerprint);

  return kept_version (notices, fingerprint) > 0
         || (state && crash_state_count (state, now_ms) >= CRASH_SHARED_FROM);
}

/* Tells the hosts at which reports of the request meet, or all hosts if
   TO_ALL.  */
static void
tell (struct crash_notices *notices, const struct crash_state *state,
      bool to_all, int64_t now_ms)
{
  struct notice *notice = xcalloc (1, sizeof *notice);
  struct host_choice choice = { .item = state->fingerprint };
  const struct host_member *joiners[JOINERS];

  notice->now_ms = now_ms;
  notice_add (notice, state);
  if (to_all)
    for (size_t i = 0; i < notices->hosts.count; i++)
      notice_send (notices, notice, notices->hosts.members[i].name);
  else
    {
      uint32_t count
          = host_set_choose (&notices->hosts, &choice, joiners, JOINERS);

      for (uint32_t i = 0; i < count; i++)
        notice_send (notices, notice, joiners[i]->name);
    }
  free (notice);
}

static void
log_state (const struct crash_state *state, const char *what, int64_t now_ms)
{
  log_write (LOG_WARN, "crashes", NULL,
             "%s a request with fingerprint %016" PRIx64
             ": %u crashes of endpoints, run without one %u times",
             what, state->fingerprint, crash_state_count (state, now_ms),
             state->clears);
}

/* Records that an endpoint crashed, or seems to have, as it ran the request
   FINGERPRINT for this host.  Returns the number of known crashes.  */
uint32_t
crash_notices_record (struct crash_notices *notices, uint64_t fingerprint,
                      const struct crash_record *record, int64_t now_ms)
{
  const struct crash_state *state;

  if (!crash_evidence_record (notices->evidence, fingerprint, record, now_ms))
    {
      state = crash_evidence_find (notices->evidence, fingerprint);
      return state ? crash_state_count (state, now_ms) : 0;
    }
  state = crash_evidence_find (notices->evidence, fingerprint);
  if (record->is_confirmed
      || crash_state_count (state, now_ms) >= CRASH_SHARED_FROM)
    {
      tell (notices, state, is_shared (notices, fingerprint, now_ms), now_ms);
      keep (notices, state, is_shared (notices, fingerprint, now_ms), now_ms);
    }
  return crash_state_count (state, now_ms);
}

/* Records that the request has run without a crash.  */
void
crash_notices_record_success (struct crash_notices *notices,
                              uint64_t fingerprint, int64_t now_ms)
{
  bool was_shared = is_shared (notices, fingerprint, now_ms);
  const struct crash_state *state;

  if (!crash_evidence_clear (notices->evidence, fingerprint, now_ms))
    return;
  state = crash_evidence_find (notices->evidence, fingerprint);
  log_state (state, "cleared", now_ms);
  tell (notices, state, was_shared, now_ms);
  keep (notices, state, was_shared, now_ms);
}

/* Returns whether the request may be sent; see crash_evidence_check.  */
enum crash_verdict
crash_notices_check (struct crash_notices *notices, uint64_t fingerprint,
                     int64_t now_ms, int64_t *wait_ms)
{
  return crash_evidence_check (notices->evidence, fingerprint, now_ms,
                               wait_ms);
}

static void
set_trial (struct crash_notices *notices, uint64_t fingerprint,
           int64_t until_ms, int64_t now_ms)
{
  crash_evidence_set_trial (notices->evidence, fingerprint, until_ms);
  tell (notices, crash_evidence_find (notices->evidence, fingerprint), true,
        now_ms);
}

/* Records that this host sends a request for which CRASH_TRY was returned, so
   that no other host does meanwhile.  */
void
crash_notices_begin_trial (struct crash_notices *notices, uint64_t fingerprint,
                           int64_t now_ms)
{
  const struct crash_state *state
      = crash_evidence_find (notices->evidence, fingerprint);

  if (!state)
    return;
  log_state (state, "sends on trial", now_ms);
  set_trial (notices, fingerprint, now_ms + CRASH_TRIAL_MS, now_ms);
}

/* Records what another host, of a build that knows no states, counts.  */
static void
join_count (struct crash_notices *notices, const Peer__CrashNotice *notice,
            int64_t now_ms)
{
  struct crash_state state = { .fingerprint = notice->fingerprint };

  if (notice->crashes == 1)
    state.records[state.record_count++]
        = (struct crash_record){ .endpoint = id_hash_text (notice->endpoint),
                                 .at_ms = now_ms,
                                 .is_confirmed = true };
  else
    {
      state.earlier = MIN (notice->crashes, VERSION_COUNT_MASK);
      state.earlier_ms = now_ms;
    }
  if (notice->crashes > 0)
    crash_evidence_join (notices->evidence, &state, now_ms);
}

/* Joins what another host knows.  What becomes shared by that is told to
   all.  */
static void
join_state (struct crash_notices *notices, const Peer__CrashState *packed,
            int64_t now_ms)
{
  struct crash_state joined = unpack_state (packed, now_ms);
  const struct crash_state *state
      = crash_evidence_find (notices->evidence, joined.fingerprint);
  uint32_t before = state ? crash_state_count (state, now_ms) : 0;
  uint32_t told = crash_state_count (&joined, now_ms);
  uint32_t count;

  if (!crash_evidence_join (notices->evidence, &joined, now_ms))
    return;
  state = crash_evidence_find (notices->evidence, joined.fingerprint);
  count = crash_state_count (state, now_ms);
  if (count > before && count >= CRASH_SHARED_FROM)
    log_state (state, "knows of", now_ms);
  /* Whoever knows more than it was told is the one to tell others. */
  if (count <= told || count <= before || count < CRASH_SHARED_FROM)
    return;
  tell (notices, state, true, now_ms);
  keep (notices, state, true, now_ms);
}

static uint32_t
count_answers (const struct crash_notices *notices,
               const struct keeper_call *call)
{
  struct keeper_replicas replicas
      = keeper_set_replicas (&notices->keepers, call->program);
  uint32_t count = 0;

  for (uint32_t i = 0; i < replicas.count; i++)
    for (uint32_t k = 0; k < call->answer_count; k++)
      count += notices->keepers.hosts[replicas.keepers[i]].hash
               == call->answered[k];
  return count;
}

/* Joins what a keeper holds of a request.  */
static void
join_charge (struct crash_notices *notices, const struct charge *charge,
             int64_t now_ms)
{
  int64_t age_ms = MAX (unix_ms (notices) - charge->tokens, 0);
  struct crash_state joined
      = { .fingerprint = charge->source,
          .earlier = (uint32_t)(charge->version & VERSION_COUNT_MASK),
          .earlier_ms = now_ms - age_ms,
          .clears = (uint32_t)(charge->version >> VERSION_CLEAR_SHIFT) };

  if (charge->source == QUESTION_SOURCE || age_ms >= CRASH_TTL_MS)
    return;
  if (joined.clears > 0 && joined.earlier == 0)
    joined.cleared_ms = now_ms - age_ms;
  if (charge->version > kept_version (notices, charge->source))
    set_kept_version (notices, charge->source, charge->version);
  if (crash_evidence_join (notices->evidence, &joined, now_ms))
    log_state (crash_evidence_find (notices->evidence, joined.fingerprint),
               "the keepers hold", now_ms);
}

static void
handle_answer (struct crash_notices *notices, const char *keeper,
               const Peer__LedgerAnswer *answer, int64_t now_ms)
{
  const char *name
      = answer->keeper && *answer->keeper ? answer->keeper : keeper;
  struct keeper_call *call = NULL;
  uint64_t hash = id_hash_text (name);

  for (guint i = 0; i < notices->calls->len && !call; i++)
    if (((struct keeper_call *)notices->calls->pdata[i])->id == answer->id)
      call = notices->calls->pdata[i];
  if (!call)
    return;
  for (size_t i = 0; i < answer->n_entries; i++)
    {
      struct charge charge = ledger_item_charge (answer->entries[i]);

      join_charge (notices, &charge, now_ms);
    }
  for (uint32_t i = 0; i < call->answer_count; i++)
    if (call->answered[i] == hash)
      return;
  if (call->answer_count < REPLICAS_MAX)
    call->answered[call->answer_count++] = hash;
  if (count_answers (notices, call) >= charges_quorum (
          keeper_set_replicas (&notices->keepers, call->program).count))
    g_ptr_array_remove_fast (notices->calls, call);
}

/* Handles notices of other hosts and answers of keepers; ignores other
   frames.  */
void
crash_notices_handle_frame (struct crash_notices *notices, const char *host,
                            const Peer__Frame *frame, int64_t now_ms)
{
  if (frame->body_case == PEER__FRAME__BODY_CRASH_NOTICE)
    {
      const Peer__CrashNotice *notice = frame->crash_notice;

      if (notice->n_states == 0)
        join_count (notices, notice, now_ms);
      for (size_t i = 0; i < notice->n_states; i++)
        join_state (notices, notice->states[i], now_ms);
    }
  if (frame->body_case != PEER__FRAME__BODY_LEDGER_ANSWERS)
    return;
  for (size_t i = 0; i < frame->ledger_answers->n_answers; i++)
    handle_answer (notices, host, frame->ledger_answers->answers[i], now_ms);
}

/* Records that a link was lost: this host may miss what is told meanwhile.  */
void
crash_notices_handle_down (struct crash_notices *notices, int64_t now_ms)
{
  notices->ask_until_ms = now_ms + ASK_AFTER_DOWN_MS;
}

static void
add_if_shared (void *data, const struct crash_state *state)
{
  struct notice *notice = data;

  if (crash_state_count (state, notice->now_ms) >= CRASH_SHARED_FROM)
    notice_add (notice, state);
}

/* Repeats what is shared to one host, so that one that missed it learns of
   it.  */
static void
repeat_to_one (struct crash_notices *notices, int64_t now_ms)
{
  struct notice *notice;

  notices->gossiped_ms = now_ms;
  if (notices->hosts.count == 0)
    return;
  notice = xcalloc (1, sizeof *notice);
  notice->now_ms = now_ms;
  crash_evidence_foreach (notices->evidence, add_if_shared, notice);
  if (notice->count > 0)
    notice_send (
        notices, notice,
        notices->hosts.members[id_random64 () % notices->hosts.count].name);
  free (notice);
}

static gboolean
is_forgotten (gpointer fingerprint, gpointer version, gpointer data)
{
  return crash_evidence_find (data, *(const uint64_t *)fingerprint) == NULL;
}

/* Repeats and asks what is due.  Must be called at least every 100 ms.  */
void
crash_notices_tick (struct crash_notices *notices, int64_t now_ms)
{
  if (notices->ticked_ms && now_ms - notices->ticked_ms > MAX_TICK_MS)
    notices->ask_until_ms = now_ms + ASK_INTERVAL_MS;
  notices->ticked_ms = now_ms;
  if (now_ms < notices->ask_until_ms
      && now_ms - notices->asked_ms >= ASK_INTERVAL_MS)
    ask_keepers (notices, now_ms);
  for (guint i = 0; i < notices->calls->len; i++)
    {
      struct keeper_call *call = notices->calls->pdata[i];

      if (now_ms - call->sent_ms >= KEEPER_RETRY_MS)
        send_call (notices, call, now_ms);
    }
  if (now_ms - notices->gossiped_ms >= CRASH_GOSSIP_MS)
    repeat_to_one (notices, now_ms);
  if (now_ms - notices->expired_ms < EXPIRE_INTERVAL_MS)
    return;
  notices->expired_ms = now_ms;
  crash_evidence_expire (notices->evidence, now_ms);
  g_hash_table_foreach_remove (notices->kept, is_forgotten, notices->evidence);
}
