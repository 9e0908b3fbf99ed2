/* Selects the host of a data centre that watches the platform's store on
   behalf of the others.

   Every host that watches the store sends beacons a few times per second.  A
   host relies on the lowest ranked host whose state is fresh; if there is
   none, it watches the store itself.  There is no election: a leader that
   crashes, hangs or loses the store is replaced as soon as its state is stale.
 */
#ifndef GALENA_POLICY_LEADER_H
#define GALENA_POLICY_LEADER_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  /* A change in the store must take effect within 2 s. Detecting a lost leader
     after this time leaves 700 ms to read the change. */
  LEADER_STALE_MS = 1300,
};

/* Owned by the caller. */
struct leader
{
  uint64_t own_rank;    /* the host with the lowest rank leads */
  bool may_lead;        /* if false, all other hosts rank before this one */
  uint64_t leader_rank; /* of the host that this one relies on */
  /* When that host's state becomes stale, and this host starts to lead. */
  int64_t fresh_until_ms;
};

void leader_init (struct leader *leader, uint64_t own_rank, bool may_lead,
                  int64_t now_ms);
bool leader_record_beacon (struct leader *leader, uint64_t rank,
                           int64_t age_ms, int64_t now_ms);
bool leader_is_self (const struct leader *leader, int64_t now_ms);

#endif
