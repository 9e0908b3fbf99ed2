#include "policy/charges.h"
#include "common/buf.h"
#include <stdlib.h>

/* Returns the entry of SOURCE, or NULL.  It is valid until the next merge.  */
const struct charge *
charges_find (const struct charges *charges, uint64_t source)
{
  for (size_t i = 0; i < charges->count; i++)
    if (charges->entries[i].source == source)
      return &charges->entries[i];
  return NULL;
}

/* Takes ENTRY in where it is new or newer; true where it was.  */
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

/* Returns the tokens that all processes have charged.  */
int64_t
charges_total (const struct charges *charges)
{
  int64_t total = 0;

  for (size_t i = 0; i < charges->count; i++)
    total += charges->entries[i].tokens;
  return total;
}

/* Frees the entries.  */
void
charges_release (struct charges *charges)
{
  free (charges->entries);
  *charges = (struct charges){ 0 };
}

/* Returns how many of KEEPERS must answer: any two majorities share one.  */
uint32_t
charges_quorum (uint32_t keepers)
{
  return keepers / 2 + 1;
}

/* Returns from how many of the others a keeper must read that has lost its
   disk: with itself gone, each majority still has one of them.  */
uint32_t
charges_read_quorum (uint32_t keepers)
{
  return keepers - charges_quorum (keepers) + 1;
}

/* Decides on a turn whose reservation, TURN, is part of TOTAL already.  Two
   turns that are reserved at the same time see each other's reservation at one
   keeper at least, so that both can be granted only where both fit.  */
enum charges_verdict
charges_decide (int64_t total, int64_t budget, int64_t turn, uint32_t answers,
                uint32_t keepers, bool some_did_not_answer)
{
  bool has_majority = keepers > 0 && answers >= charges_quorum (keepers);
  int64_t limit = budget;

  if (total > budget)
    return CHARGES_SPENT;
  if (answers == 0)
    return CHARGES_UNKNOWN;
  if (!has_majority)
    limit = budget * CHARGES_MINORITY_PERCENT / 100 + turn;
  else if (some_did_not_answer)
    limit = budget * CHARGES_MAJORITY_PERCENT / 100;
  return total <= limit ? CHARGES_GRANTED : CHARGES_UNKNOWN;
}
