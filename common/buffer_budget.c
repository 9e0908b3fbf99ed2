#include "common/buffer_budget.h"
#include "common/counters.h"
#include "common/memory.h"

enum
{
  CONTENDED_PERCENT = 25, /* from here on, clients that stall are cut */
  NEAR_PERCENT = 75,      /* from here on, no new work is taken */
};

/* Takes BYTES.  Returns false if the budget, or the callers' share of the
   memory, does not have them.  */
bool
buffer_budget_take (struct buffer_budget *budget, size_t bytes)
{
  if (bytes > budget->limit_bytes
      || budget->used_bytes > budget->limit_bytes - bytes
      || !memory_take (MEMORY_CALLERS, (int64_t)bytes))
    return false;
  budget->used_bytes += bytes;
  counter_add (COUNTER_BUFFERED_BYTES, (int64_t)bytes);
  return true;
}

/* Takes BYTES of what is held already, whatever the limits.  */
void
buffer_budget_add (struct buffer_budget *budget, size_t bytes)
{
  budget->used_bytes += bytes;
  counter_add (COUNTER_BUFFERED_BYTES, (int64_t)bytes);
  memory_add (MEMORY_CALLERS, (int64_t)bytes);
}

/* Returns BYTES that were taken.  */
void
buffer_budget_return (struct buffer_budget *budget, size_t bytes)
{
  budget->used_bytes -= bytes;
  counter_add (COUNTER_BUFFERED_BYTES, -(int64_t)bytes);
  memory_add (MEMORY_CALLERS, -(int64_t)bytes);
}

static bool
is_above (const struct buffer_budget *budget, size_t percent)
{
  return budget->used_bytes / percent > budget->limit_bytes / 100;
}

/* Whether so much is held that clients which do not read must be cut.  */
bool
buffer_budget_is_contended (const struct buffer_budget *budget)
{
  return is_above (budget, CONTENDED_PERCENT);
}

/* Whether so much is held that no new work should be taken.  */
bool
buffer_budget_is_near (const struct buffer_budget *budget)
{
  return is_above (budget, NEAR_PERCENT);
}
