/* Which host of a data centre follows the platform's store for the others.

   Every host that follows it sends beacons a few times a second.  A host
   relies on the best ranked one whose state is fresh; without any it follows
   the store itself.  There is no election: a leader that dies, freezes or
   loses the store is replaced as soon as its state is stale.  */
#ifndef GALENA_POLICY_LEAD_H
#define GALENA_POLICY_LEAD_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  /* A store's change must be in force within 2 s: this long until a lost
     leader is noticed leaves 700 ms to read the change. */
  LEAD_STALE_MS = 1300,
};

/* Owned by its user. */
struct lead
{
  uint64_t own_rank; /* the lowest leads */
  bool may_lead;     /* else every other host ranks before this one */
  uint64_t rank;     /* of the host that is followed */
  int64_t until_ms;  /* its state is fresh until then */
};

void lead_init (struct lead *lead, uint64_t own_rank, bool may_lead,
                int64_t now_ms);
bool lead_note_beacon (struct lead *lead, uint64_t rank, int64_t age_ms,
                       int64_t now_ms);
bool lead_follows_store (const struct lead *lead, int64_t now_ms);

#endif
