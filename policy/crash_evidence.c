#include "policy/crash_evidence.h"
#include "common/buf.h"
#include <glib.h>
#include <stdlib.h>

struct crash_evidence
{
  GHashTable *states; /* fingerprint -> struct crash_state */
};

/* Creates evidence of nothing.  */
struct crash_evidence *
crash_evidence_create (void)
{
  struct crash_evidence *evidence = xcalloc (1, sizeof *evidence);

  evidence->states
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free);
  return evidence;
}

void
crash_evidence_destroy (struct crash_evidence *evidence)
{
  if (!evidence)
    return;
  g_hash_table_destroy (evidence->states);
  free (evidence);
}

/* Returns what is known of the request FINGERPRINT, or NULL.  The pointer is
   valid until the next change.  */
const struct crash_state *
crash_evidence_find (const struct crash_evidence *evidence,
                     uint64_t fingerprint)
{
  return g_hash_table_lookup (evidence->states, &fingerprint);
}

/* Returns when something of STATE was last seen.  */
static int64_t
latest_ms (const struct crash_state *state)
{
  int64_t latest
      = MAX (state->earlier > 0 ? state->earlier_ms : 0, state->cleared_ms);

  for (uint32_t i = 0; i < state->record_count; i++)
    latest = MAX (latest, state->records[i].at_ms);
  return latest;
}

/* Makes room for one more request: what is known of the one with the fewest
   crashes goes, of several the one that was seen least lately.  */
static void
evict_one (struct crash_evidence *evidence, int64_t now_ms)
{
  const struct crash_state *victim = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, evidence->states);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct crash_state *state = value;
      uint32_t count = crash_state_count (state, now_ms);
      uint32_t least = victim ? crash_state_count (victim, now_ms) : 0;

      if (!victim || count < least
          || (count == least && latest_ms (state) < latest_ms (victim)))
        victim = state;
    }
  if (victim)
    g_hash_table_remove (evidence->states, &victim->fingerprint);
}

static struct crash_state *
find_or_add (struct crash_evidence *evidence, uint64_t fingerprint,
             int64_t now_ms)
{
  struct crash_state *state
      = g_hash_table_lookup (evidence->states, &fingerprint);

  if (state)
    return state;
  if (g_hash_table_size (evidence->states) >= CRASH_MAX_ENTRIES)
    evict_one (evidence, now_ms);
  state = xcalloc (1, sizeof *state);
  state->fingerprint = fingerprint;
  g_hash_table_insert (evidence->states, &state->fingerprint, state);
  return state;
}

static bool
is_fresh (const struct crash_record *record, int64_t now_ms)
{
  return !record->is_confirmed
         && now_ms - record->at_ms < CRASH_PROVISIONAL_MS;
}

/* Whether a record counts besides the crashes of which only the number is
   known.  */
static bool
is_after_earlier (const struct crash_state *state,
                  const struct crash_record *record)
{
  return state->earlier == 0
         || record->at_ms > state->earlier_ms + CRASH_CLOCK_ERROR_MS;
}

/* Returns the number of confirmed crashes that count at NOW_MS.  */
uint32_t
crash_state_count (const struct crash_state *state, int64_t now_ms)
{
  uint32_t count
      = state->earlier > 0 && now_ms - state->earlier_ms < CRASH_TTL_MS
            ? state->earlier
            : 0;

  for (uint32_t i = 0; i < state->record_count; i++)
    count += state->records[i].is_confirmed
             && now_ms - state->records[i].at_ms < CRASH_TTL_MS
             && is_after_earlier (state, &state->records[i]);
  return count;
}

/* Removes the record at INDEX.  */
static void
remove_record (struct crash_state *state, uint32_t index)
{
  for (uint32_t i = index + 1; i < state->record_count; i++)
    state->records[i - 1] = state->records[i];
  state->record_count--;
}

/* Removes what was before the request last ran without a crash, and what no
   sign confirmed.  */
static void
tidy (struct crash_state *state, int64_t now_ms)
{
  for (uint32_t i = state->record_count; i > 0; i--)
    {
      const struct crash_record *record = &state->records[i - 1];

      if (record->at_ms <= state->cleared_ms
          || (!record->is_confirmed && !is_fresh (record, now_ms)))
        remove_record (state, i - 1);
    }
  if (state->earlier > 0 && state->earlier_ms <= state->cleared_ms)
    state->earlier = 0;
}

/* Adds RECORD, or confirms the one of the same crash.  Returns whether that
   tells anything new.  */
static bool
add_record (struct crash_state *state, const struct crash_record *record)
{
  for (uint32_t i = 0; i < state->record_count; i++)
    {
      struct crash_record *known = &state->records[i];

      if (known->endpoint != record->endpoint
          || llabs (known->at_ms - record->at_ms) >= CRASH_SAME_MS)
        continue;
      if (known->is_confirmed || !record->is_confirmed)
        return false;
      known->is_confirmed = true;
      return true;
    }
  if (state->record_count == CRASH_MAX_RECORDS)
    return false;
  state->records[state->record_count++] = *record;
  return true;
}

/* Joins what another host knows.  Returns whether it tells anything new.  */
bool
crash_evidence_join (struct crash_evidence *evidence,
                     const struct crash_state *other, int64_t now_ms)
{
  struct crash_state *state
      = find_or_add (evidence, other->fingerprint, now_ms);
  bool is_news = false;

  if (other->cleared_ms > state->cleared_ms && other->clears > state->clears)
    {
      state->cleared_ms = other->cleared_ms;
      is_news = true;
    }
  state->clears = MAX (state->clears, other->clears);
  state->trial_until_ms = MAX (state->trial_until_ms, other->trial_until_ms);
  for (uint32_t i = 0; i < other->record_count; i++)
    if (other->records[i].at_ms > state->cleared_ms
        && now_ms - other->records[i].at_ms < CRASH_TTL_MS)
      is_news = add_record (state, &other->records[i]) || is_news;
  /* A number only tells something where it is more than the crashes that are
     known one by one. */
  if (other->earlier > crash_state_count (state, now_ms)
      && other->earlier_ms > state->cleared_ms
      && now_ms - other->earlier_ms < CRASH_TTL_MS)
    {
      state->earlier = other->earlier;
      state->earlier_ms = other->earlier_ms;
      is_news = true;
    }
  tidy (state, now_ms);
  return is_news;
}

/* Records a crash, or an interruption that may be one.  Of a request that has
   crashed CRASH_SHARED_FROM endpoints, an interruption is another crash.
   Returns whether it was not known.  */
bool
crash_evidence_record (struct crash_evidence *evidence, uint64_t fingerprint,
                       const struct crash_record *record, int64_t now_ms)
{
  struct crash_state *state = find_or_add (evidence, fingerprint, now_ms);
  struct crash_record added = *record;
  bool is_news;

  tidy (state, now_ms);
  added.is_confirmed
      = record->is_confirmed
        || crash_state_count (state, now_ms) >= CRASH_SHARED_FROM;
  is_news = add_record (state, &added);
  if (is_news)
    state->trial_until_ms = 0;
  return is_news;
}

/* Records that the request has run without a crash.  Returns whether it was
   taken to have crashed an endpoint.  */
bool
crash_evidence_clear (struct crash_evidence *evidence, uint64_t fingerprint,
                      int64_t now_ms)
{
  struct crash_state *state
      = g_hash_table_lookup (evidence->states, &fingerprint);

  if (!state || (state->record_count == 0 && state->earlier == 0))
    return false;
  state->cleared_ms = now_ms;
  state->clears++;
  state->trial_until_ms = 0;
  state->record_count = 0;
  state->earlier = 0;
  return true;
}

/* Records that a trial of the request runs until UNTIL_MS at the longest; 0:
   none runs.  */
void
crash_evidence_set_trial (struct crash_evidence *evidence,
                          uint64_t fingerprint, int64_t until_ms)
{
  struct crash_state *state
      = g_hash_table_lookup (evidence->states, &fingerprint);

  if (state)
    state->trial_until_ms = until_ms;
}

/* Returns whether the request may be sent.  *WAIT_MS is the time until it may
   be asked again: of a refusal, until the crashes no longer count.  */
enum crash_verdict
crash_evidence_check (const struct crash_evidence *evidence,
                      uint64_t fingerprint, int64_t now_ms, int64_t *wait_ms)
{
  const struct crash_state *state
      = crash_evidence_find (evidence, fingerprint);
  uint32_t count = state ? crash_state_count (state, now_ms) : 0;

  *wait_ms = 0;
  if (count >= CRASH_LIMIT + CRASH_MAX_TRIALS)
    {
      *wait_ms = latest_ms (state) + CRASH_TTL_MS - now_ms;
      return CRASH_REFUSE;
    }
  if (count < CRASH_LIMIT)
    return CRASH_SEND;
  if (state->trial_until_ms > now_ms)
    {
      *wait_ms = state->trial_until_ms - now_ms;
      return CRASH_WAIT;
    }
  return CRASH_TRY;
}

/* Calls VISIT for each request of which something is known.  */
void
crash_evidence_foreach (const struct crash_evidence *evidence,
                        crash_evidence_visitor *visit, void *data)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, evidence->states);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    visit (data, value);
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer data)
{
  struct crash_state *state = value;
  int64_t now_ms = *(const int64_t *)data;

  tidy (state, now_ms);
  return now_ms - latest_ms (state) >= CRASH_TTL_MS;
}

/* Forgets crashes that no longer count.  */
void
crash_evidence_expire (struct crash_evidence *evidence, int64_t now_ms)
{
  g_hash_table_foreach_remove (evidence->states, is_expired, &now_ms);
}
