#include "policy/charges.h"
#include "common/buf.h"
#include <stdlib.h>

/* Returns the entry of SOURCE, or NULL.  The pointer is valid until the next
   merge.  */
const struct charge *
charges_find (const struct charges *charges, uint64_t source)
{
  for (size_t i = 0; i < charges->count; i++)
    if (charges->entries[i].source == source)
      return &charges->entries[i];
  return NULL;
}

/* Merges ENTRY if its source is unknown or its version newer.  Returns whether
   it was merged.  */
bool
charges_merge (struct charges *charges, const struct charge *entry)
{
  struct charge *known
      = (struct charge *)(uintptr_t)charges_find (charges, entry->source);

  if (known && known->version >= entry->version)
    return false;
  if (!known)
    {
      charges->entries = xrealloc (
          charges->entries, (charges->count + 1) * sizeof *charges->entries);
      known = &charges->entries[charges->count++];
    }
  *known = *entry;
  return true;
}

/* Returns the total tokens charged by all hosts.  */
int64_t
charges_total (const struct charges *charges)
{
  int64_t total = 0;

  for (size_t i = 0; i < charges->count; i++)
    total += charges->entries[i].tokens;
  return total;
}

void
charges_release (struct charges *charges)
{
  free (charges->entries);
  *charges = (struct charges){ 0 };
}

/* Returns the majority of KEEPERS: any two majorities share a keeper.  */
uint32_t
charges_quorum (uint32_t keepers)
{
  return keepers / 2 + 1;
}

/* Returns how many other keepers a keeper that lost its disk must read: enough
   that each majority that it was part of is represented among them.  */
uint32_t
charges_read_quorum (uint32_t keepers)
{
  return keepers - charges_quorum (keepers) + 1;
}

/* Decides QUESTION.  Fewer than a majority decide nothing where a keeper that
   answered may not know what others granted, or what was forgotten with a lost
   disk.  Of two turns that are reserved concurrently, at least one keeper sees
   both reservations, so both are granted only if both fit.  */
enum charges_verdict
charges_decide (const struct charges_question *question)
{
  uint32_t keepers = question->keepers;
  uint32_t answers = question->answers;
  int64_t budget = question->budget;
  bool has_majority = keepers > 0 && answers >= charges_quorum (keepers);
  int64_t limit = budget;

  if (question->total > budget)
    return CHARGES_EXHAUSTED;
  if (answers == 0 || (!has_majority && question->is_unsynced))
    return CHARGES_UNDECIDED;
  if (!has_majority)
    limit = budget * CHARGES_MINORITY_PERCENT / 100;
  else if (question->has_missing_answers)
    limit = budget * CHARGES_MAJORITY_PERCENT / 100;
  return question->total <= limit ? CHARGES_GRANTED : CHARGES_UNDECIDED;
}
