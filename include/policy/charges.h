/* The tokens that each host has charged to one program, and the decision
   whether a turn fits the program's budget.

   The keepers are the hosts that store the charges of all programs
   (ledger/keeper.h).  Each entry has a single writer, its source, so two
   replicas of the charges are merged by taking the newer version of each
   entry.
 */
#ifndef GALENA_POLICY_CHARGES_H
#define GALENA_POLICY_CHARGES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The entry of one host for the program. */
struct charge
{
  uint64_t source;  /* random id that the host chose for the entry */
  uint64_t version; /* grows with each change of tokens */
  int64_t tokens;   /* reserved and used */
};

/* The owner of the struct owns the entries. */
struct charges
{
  struct charge *entries;
  size_t count;
};

enum charges_verdict
{
  CHARGES_GRANTED,
  CHARGES_EXHAUSTED, /* the turn exceeds the budget */
  CHARGES_UNDECIDED, /* too few keepers answered to decide */
};

enum
{
  /* Unless all keepers answer, the network may be partitioned and both sides
     may charge the same program. The side with a majority may charge up to the
     first percentage of the budget; on the minority side a turn may begin
     below the second. Together they exceed the budget by at most one turn.
     Two sides with half of the keepers may each charge up to the third.  */
  CHARGES_MAJORITY_PERCENT = 55,
  CHARGES_MINORITY_PERCENT = 45,
  CHARGES_HALF_PERCENT = 50,
};

bool charges_merge (struct charges *charges, const struct charge *entry);
const struct charge *charges_find (const struct charges *charges,
                                   uint64_t source);
int64_t charges_total (const struct charges *charges);
void charges_release (struct charges *charges);
uint32_t charges_quorum (uint32_t keepers);
uint32_t charges_read_quorum (uint32_t keepers);
enum charges_verdict charges_decide (int64_t total, int64_t budget,
                                     int64_t turn_tokens, uint32_t answers,
                                     uint32_t keepers,
                                     bool has_missing_answers,
                                     bool is_unsynced);

#endif
