/* What every host has charged to one program, and whether a turn fits its
   budget.

   Each entry has one writer, its source, so that two copies of the charges
   merge by taking the newer version of each entry.  */
#ifndef GALENA_POLICY_CHARGES_H
#define GALENA_POLICY_CHARGES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct charge
{
  uint64_t source; /* a host, from when it knows the program */
  uint64_t version;
  int64_t tokens;
};

/* The holder of the struct owns the entries. */
struct charges
{
  struct charge *entries;
  size_t count;
};

enum charges_verdict
{
  CHARGES_GRANTED,
  CHARGES_SPENT,   /* the budget does not hold the turn */
  CHARGES_UNKNOWN, /* too few keepers answered to tell */
};

enum
{
  /* Unless all keepers answer, a cut may have two sides that charge the same
     program.  The larger one, which has a majority, may bring the charges up
     to the first part of the budget; on the smaller one a turn may begin below
     the second.  Together they hold the budget and the most of one turn.  */
  CHARGES_MAJORITY_PERCENT = 55,
  CHARGES_MINORITY_PERCENT = 45,
};

bool charges_merge (struct charges *charges, const struct charge *entry);
const struct charge *charges_find (const struct charges *charges,
                                   uint64_t source);
int64_t charges_total (const struct charges *charges);
void charges_release (struct charges *charges);
uint32_t charges_quorum (uint32_t keepers);
uint32_t charges_read_quorum (uint32_t keepers);
enum charges_verdict charges_decide (int64_t total, int64_t budget,
                                     int64_t turn, uint32_t answers,
                                     uint32_t keepers,
                                     bool some_did_not_answer);

#endif
