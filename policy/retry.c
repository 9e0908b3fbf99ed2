#include "policy/retry.h"
#include <stddef.h>

enum
{
  PERCENT = 100,
};

/* Initializes a budget with RETRY_INITIAL_CREDIT.  */
void
retry_budget_init (struct retry_budget *budget)
{
  budget->credit_percent = (int64_t)RETRY_INITIAL_CREDIT * PERCENT;
}

/* Adds the credit that a first attempt earns.  */
void
retry_budget_deposit (struct retry_budget *budget)
{
  budget->credit_percent += RETRY_PERCENT;
  if (budget->credit_percent > (int64_t)RETRY_MAX_CREDIT * PERCENT)
    budget->credit_percent = (int64_t)RETRY_MAX_CREDIT * PERCENT;
}

/* Takes the credit of one retry.  Returns false if there is not enough.  */
bool
retry_budget_withdraw (struct retry_budget *budget)
{
  if (budget->credit_percent < PERCENT)
    return false;
  budget->credit_percent -= PERCENT;
  return true;
}

/* Returns the delay before retry number ATTEMPT, from 1: exponential back-off
   with full jitter.  */
int64_t
retry_backoff_ms (uint32_t attempt, uint64_t *seed)
{
  int64_t bound = RETRY_BASE_MS;

  for (uint32_t i = 1; i < attempt && bound < RETRY_MAX_BACKOFF_MS; i++)
    bound *= 2;
  if (bound > RETRY_MAX_BACKOFF_MS)
    bound = RETRY_MAX_BACKOFF_MS;
  *seed = *seed * UINT64_C (6364136223846793005)
          + UINT64_C (1442695040888963407);
  return 1 + (int64_t)((*seed >> 33) % (uint64_t)bound);
}

static struct poison_entry *
find_entry (const struct poison_table *poison, uint64_t fingerprint)
{
  for (size_t i = 0; i < POISON_MAX_ENTRIES; i++)
    if (poison->entries[i].crashes > 0
        && poison->entries[i].fingerprint == fingerprint)
      return (struct poison_entry *)(uintptr_t)&poison->entries[i];
  return NULL;
}

/* Returns a free entry, or else the one that ends first.  */
static struct poison_entry *
allocate_entry (struct poison_table *poison)
{
  struct poison_entry *slot = &poison->entries[0];

  for (size_t i = 0; i < POISON_MAX_ENTRIES; i++)
    {
      if (poison->entries[i].crashes == 0)
        return &poison->entries[i];
      if (poison->entries[i].until_ms < slot->until_ms)
        slot = &poison->entries[i];
    }
  return slot;
}

/* Returns whether the request with the contents FINGERPRINT may be dispatched.
 */
enum poison_verdict
poison_check (const struct poison_table *poison, uint64_t fingerprint,
              int64_t now_ms)
{
  const struct poison_entry *entry = find_entry (poison, fingerprint);

  if (!entry || entry->until_ms <= now_ms)
    return POISON_CLEAR;
  if (entry->crashes >= POISON_CRASHES)
    return POISON_REFUSE;
  return entry->is_retrying ? POISON_WAIT : POISON_SUSPECT;
}

static uint32_t
max32 (uint32_t a, uint32_t b)
{
  return a > b ? a : b;
}

/* Records that ENDPOINT, given by its hash, crashed while it ran the request.
   A crash counts once, however many calls with the same contents it
   interrupted and whichever host saw it.  REMOTE_CRASHES is another host's
   count including this crash, or 0 if this host saw the crash itself.  Returns
   the number of known crashes.  */
uint32_t
poison_record_crash (struct poison_table *poison, uint64_t fingerprint,
                     uint64_t endpoint, uint32_t remote_crashes,
                     int64_t now_ms)
{
  struct poison_entry *entry = find_entry (poison, fingerprint);
  bool is_same_crash = entry && entry->last_endpoint == endpoint
                       && now_ms - entry->last_ms < POISON_SAME_CRASH_MS;

  if (!entry)
    {
      entry = allocate_entry (poison);
      *entry = (struct poison_entry){ .fingerprint = fingerprint };
    }
  if (remote_crashes > 0)
    entry->crashes = max32 (entry->crashes, remote_crashes);
  else if (!is_same_crash)
    entry->crashes++;
  entry->last_endpoint = endpoint;
  entry->last_ms = now_ms;
  entry->is_retrying = false;
  entry->until_ms = now_ms
                    + (entry->crashes >= POISON_CRASHES ? POISON_REFUSE_MS
                                                        : POISON_SUSPECT_MS);
  return entry->crashes;
}

/* Records that the one retry of a suspect request starts or ends.  */
void
poison_set_retrying (struct poison_table *poison, uint64_t fingerprint,
                     bool is_retrying)
{
  struct poison_entry *entry = find_entry (poison, fingerprint);

  if (entry)
    entry->is_retrying = is_retrying;
}

/* Clears a request that has run without a crash.  */
void
poison_record_success (struct poison_table *poison, uint64_t fingerprint)
{
  struct poison_entry *entry = find_entry (poison, fingerprint);

  if (entry)
    *entry = (struct poison_entry){ 0 };
}

/* Returns the time until which the request is refused or suspect, or 0 if it
   is neither.  */
int64_t
poison_until_ms (const struct poison_table *poison, uint64_t fingerprint)
{
  const struct poison_entry *entry = find_entry (poison, fingerprint);

  return entry ? entry->until_ms : 0;
}
