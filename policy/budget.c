#include "policy/budget.h"

static int64_t
max64 (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

static int64_t
min64 (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

static struct budget_amount
add (struct budget_amount a, struct budget_amount b)
{
  return (struct budget_amount){ a.tokens + b.tokens, a.calls + b.calls,
                                 a.cost_micros + b.cost_micros };
}

static struct budget_amount
subtract (struct budget_amount a, struct budget_amount b)
{
  return (struct budget_amount){ a.tokens - b.tokens, a.calls - b.calls,
                                 a.cost_micros - b.cost_micros };
}

static struct budget_amount
minimum (struct budget_amount a, struct budget_amount b)
{
  return (struct budget_amount){ min64 (a.tokens, b.tokens),
                                 min64 (a.calls, b.calls),
                                 min64 (a.cost_micros, b.cost_micros) };
}

static struct budget_amount
maximum (struct budget_amount a, struct budget_amount b)
{
  return (struct budget_amount){ max64 (a.tokens, b.tokens),
                                 max64 (a.calls, b.calls),
                                 max64 (a.cost_micros, b.cost_micros) };
}

/* Returns whether no component of A exceeds that of B.  */
static bool
is_within (struct budget_amount a, struct budget_amount b)
{
  return a.tokens <= b.tokens && a.calls <= b.calls
         && a.cost_micros <= b.cost_micros;
}

/* Initializes a budget with nothing granted.  */
void
budget_init (struct budget *budget, struct budget_amount limit)
{
  *budget = (struct budget){ .limit = limit };
}

/* Restores the budget of a program whose previous owner was granted RECORDED:
   all of it counts as spent.  */
void
budget_restore (struct budget *budget, struct budget_amount recorded)
{
  budget->granted = maximum (budget->granted, recorded);
  budget->spent = maximum (budget->spent, recorded);
}

/* Reserves AMOUNT, the maximum that a call can use.  */
enum budget_verdict
budget_reserve (struct budget *budget, struct budget_amount amount)
{
  struct budget_amount used
      = add (add (budget->spent, budget->reserved), amount);

  if (!is_within (used, budget->limit))
    return BUDGET_EXHAUSTED;
  if (!is_within (used, budget->granted))
    return BUDGET_NEEDS_GRANT;
  budget->reserved = add (budget->reserved, amount);
  return BUDGET_OK;
}

/* Replaces a reservation with the amount used.  ACTUAL is capped at RESERVED.
 */
void
budget_settle (struct budget *budget, struct budget_amount reserved,
               struct budget_amount actual)
{
  budget->reserved = subtract (budget->reserved, reserved);
  budget->spent = add (budget->spent, minimum (actual, reserved));
}

/* Returns the total grant that must be recorded before AMOUNT can be reserved.
 */
struct budget_amount
budget_next_grant (const struct budget *budget, struct budget_amount amount)
{
  struct budget_amount need
      = add (add (budget->spent, budget->reserved), amount);
  struct budget_amount step
      = { budget->limit.tokens / BUDGET_GRANT_PARTS,
          budget->limit.calls / BUDGET_GRANT_PARTS,
          budget->limit.cost_micros / BUDGET_GRANT_PARTS };

  need = maximum (need, add (budget->granted, step));
  return minimum (need, budget->limit);
}

/* Makes a total of RECORDED available.  The caller must have recorded it
   before, so that the next owner counts it as spent.  */
void
budget_grant (struct budget *budget, struct budget_amount recorded)
{
  budget->granted
      = maximum (budget->granted, minimum (recorded, budget->limit));
}
