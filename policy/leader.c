#include "policy/leader.h"

/* Initializes the state.  The host waits LEADER_STALE_MS for another host's
   beacon before it starts to watch the store.  */
void
leader_init (struct leader *leader, uint64_t own_rank, bool may_lead,
             int64_t now_ms)
{
  *leader = (struct leader){ .own_rank = own_rank,
                             .may_lead = may_lead,
                             .leader_rank = UINT64_MAX,
                             .fresh_until_ms = now_ms + LEADER_STALE_MS };
}

/* Records a beacon from the host of this data centre with RANK, whose oldest
   state from the store is AGE_MS old.  Returns whether this host relies on
   that host.  */
bool
leader_record_beacon (struct leader *leader, uint64_t rank, int64_t age_ms,
                      int64_t now_ms)
{
  int64_t fresh_until_ms = now_ms - age_ms + LEADER_STALE_MS;

  if (fresh_until_ms <= now_ms)
    return false;
  if (leader->may_lead && rank > leader->own_rank
      && leader_is_self (leader, now_ms))
    return false;
  if (rank > leader->leader_rank && now_ms < leader->fresh_until_ms)
    return false;
  if (rank != leader->leader_rank || fresh_until_ms > leader->fresh_until_ms)
    leader->fresh_until_ms = fresh_until_ms;
  leader->leader_rank = rank;
  return true;
}

/* Returns whether this host leads, that is, must watch the store itself.  */
bool
leader_is_self (const struct leader *leader, int64_t now_ms)
{
  return now_ms >= leader->fresh_until_ms;
}
