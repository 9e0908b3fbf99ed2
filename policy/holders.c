#include "policy/holders.h"

static bool
is_live (uint64_t process, const uint64_t *live, uint32_t live_count)
{
  for (uint32_t i = 0; i < live_count; i++)
    if (live[i] == process)
      return true;
  return false;
}

static uint32_t
count_held (const uint64_t *holders, uint32_t count, uint64_t process)
{
  uint32_t held = 0;

  for (uint32_t i = 0; i < count; i++)
    if (holders[i] == process)
      held++;
  return held;
}

static uint32_t
process_rank (uint64_t self, const uint64_t *live, uint32_t live_count)
{
  uint32_t rank = 0;

  for (uint32_t i = 0; i < live_count; i++)
    if (live[i] < self)
      rank++;
  return rank;
}

/* Plans the next changes of process SELF.  HOLDERS are the processes that hold
   the COUNT slots, 0 for none; LIVE are the processes in the host list,
   including SELF.  A LEAVING process releases all its slots.  A slot is free
   if its holder is no longer in the list: either the platform or a restart
   under the same name has confirmed that the process is gone.  Slots are
   divided evenly; the remainder goes to the processes with the lowest numbers,
   so that hosts do not compete for it.  */
struct holders_plan
holders_plan (const uint64_t *holders, uint32_t count, uint64_t self,
              const uint64_t *live, uint32_t live_count, bool leaving)
{
  struct holders_plan plan = { 0 };
  uint32_t held = count_held (holders, count, self);
  uint32_t target = 0;

  if (!leaving && live_count > 0)
    {
      target = count / live_count;
      if (process_rank (self, live, live_count) < count % live_count)
        target++;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      if (holders[i] == self && held > target)
        {
          plan.release |= UINT64_C (1) << i;
          held--;
        }
      else if (held < target && !is_live (holders[i], live, live_count))
        {
          plan.claim |= UINT64_C (1) << i;
          held++;
        }
    }
  return plan;
}
