/* A program's budget, spent from grants that are recorded before use.

   Spent and reserved amounts together never exceed what was granted, and
   grants never exceed the limit.  A new owner counts the whole recorded grant
   as spent, so it need not know how much the previous owner used.  */
#ifndef GALENA_POLICY_BUDGET_H
#define GALENA_POLICY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  BUDGET_GRANT_PARTS = 8, /* a grant adds at least limit / this, if left */
};

struct budget_amount
{
  int64_t tokens;
  int64_t calls;
  int64_t cost_micros;
};

struct budget
{
  struct budget_amount limit;
  struct budget_amount granted;
  struct budget_amount spent;
  struct budget_amount reserved;
};

enum budget_verdict
{
  BUDGET_OK,          /* the amount is reserved */
  BUDGET_NEEDS_GRANT, /* record budget_next_grant, then retry */
  BUDGET_EXHAUSTED,   /* the amount would exceed the limit */
};

void budget_init (struct budget *budget, struct budget_amount limit);
void budget_restore (struct budget *budget, struct budget_amount recorded);
enum budget_verdict budget_reserve (struct budget *budget,
                                    struct budget_amount amount);
void budget_settle (struct budget *budget, struct budget_amount reserved,
                    struct budget_amount actual);
struct budget_amount budget_next_grant (const struct budget *budget,
                                        struct budget_amount amount);
void budget_grant (struct budget *budget, struct budget_amount recorded);

#endif
