/* Selects the hosts that watch the platform's store on behalf of the others.

   One host of the fleet watches the store and sends beacons a few times per
   second, to the hosts of its own data centre and to two of each other one.
   The best ranked of those relays them within its data centre.  A host relies
   on the lowest ranked host whose state is fresh: on a relay of its own data
   centre, or else on a host that watches the store; if there is none, it
   watches the store itself.  There is no election: a leader that crashes,
   hangs or loses the store is replaced as soon as its state is stale.
 */
#ifndef GALENA_POLICY_LEADER_H
#define GALENA_POLICY_LEADER_H

#include <stdbool.h>
#include <stdint.h>

/* The host that this one relies on. */
struct leader_source
{
  uint64_t rank;
  int64_t fresh_until_ms; /* when its state becomes stale */
};

struct leader_options
{
  uint64_t own_rank; /* of all hosts, the one with the lowest rank leads */
  bool may_lead;     /* if false, all other hosts rank before this one */
  int64_t stale_ms;  /* age at which state is stale */
};

/* Owned by the caller. */
struct leader
{
  struct leader_options options;
  /* How long after its sources have become stale this host watches the store,
     so that not all hosts of a data centre do at once. */
  int64_t takeover_delay_ms;
  struct leader_source local;  /* relays within this data centre */
  struct leader_source remote; /* watches the store in another one */
};

void leader_init (struct leader *leader, const struct leader_options *options,
                  int64_t now_ms);
bool leader_record_beacon (struct leader *leader, bool is_local, uint64_t rank,
                           int64_t age_ms, int64_t now_ms);
bool leader_watches_store (const struct leader *leader, int64_t now_ms);
bool leader_relays (const struct leader *leader, int64_t now_ms);

#endif
