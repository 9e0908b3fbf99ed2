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
     first percentage of the budget, others up to the second, so that two sides
     that do not know of each other stay within the budget.  */
  CHARGES_MAJORITY_PERCENT = 55,
  CHARGES_MINORITY_PERCENT = 45,
};

/* Whether a turn may run. */
struct charges_question
{
  int64_t total; /* charged by the answers, with this reservation */
  int64_t budget;
  uint32_t answers; /* of keepers that have it on their disks */
  uint32_t keepers;
  /* Charges may be missing from the total: a keeper did not answer, or
     answered that it is behind. */
  bool has_missing_answers;
  /* A keeper that answered may not know what others granted below a majority.
   */
  bool is_unsynced;
};

bool charges_merge (struct charges *charges, const struct charge *entry);
const struct charge *charges_find (const struct charges *charges,
                                   uint64_t source);
int64_t charges_total (const struct charges *charges);
void charges_release (struct charges *charges);
uint32_t charges_quorum (uint32_t keepers);
uint32_t charges_read_quorum (uint32_t keepers);
enum charges_verdict charges_decide (const struct charges_question *question);

#endif
