#include "policy/leader.h"

/* Initializes the state.  The host waits until state could be stale for
   another host's beacon before it starts to watch the store.  */
void
leader_init (struct leader *leader, const struct leader_options *options,
             int64_t now_ms)
{
  *leader = (struct leader){
    .options = *options,
    .local
    = { .rank = UINT64_MAX, .fresh_until_ms = now_ms + options->stale_ms },
    .remote = { .rank = UINT64_MAX },
  };
}

static bool
is_fresh (const struct leader_source *source, int64_t now_ms)
{
  return now_ms < source->fresh_until_ms;
}

/* Records a beacon from the host with RANK, whose oldest state from the store
   is AGE_MS old.  IS_LOCAL: it relays within this data centre; otherwise it
   watches the store in another one.  Returns whether this host relies on that
   host.  */
bool
leader_record_beacon (struct leader *leader, bool is_local, uint64_t rank,
                      int64_t age_ms, int64_t now_ms)
{
  struct leader_source *source = is_local ? &leader->local : &leader->remote;
  int64_t fresh_until_ms = now_ms - age_ms + leader->options.stale_ms;
  bool is_own_role = is_local ? leader_relays (leader, now_ms)
                              : leader_watches_store (leader, now_ms);

  if (fresh_until_ms <= now_ms)
    return false;
  if (leader->options.may_lead && rank > leader->options.own_rank
      && is_own_role)
    return false;
  if (rank > source->rank && is_fresh (source, now_ms))
    return false;
  if (rank != source->rank || fresh_until_ms > source->fresh_until_ms)
    source->fresh_until_ms = fresh_until_ms;
  source->rank = rank;
  return true;
}

/* Returns whether this host must watch the store itself.  */
bool
leader_watches_store (const struct leader *leader, int64_t now_ms)
{
  return !is_fresh (&leader->local, now_ms - leader->takeover_delay_ms)
         && !is_fresh (&leader->remote, now_ms - leader->takeover_delay_ms);
}

/* Returns whether this host passes state on within its data centre.  */
bool
leader_relays (const struct leader *leader, int64_t now_ms)
{
  return leader_watches_store (leader, now_ms)
         || (!is_fresh (&leader->local, now_ms)
             && is_fresh (&leader->remote, now_ms));
}
