/* Selects the hosts that store the replicas of an item, by rendezvous hashing
   over the hosts and with the replicas spread over the data centres.

   Their number is even, so that two majorities share a host also where the two
   sides select from lists that differ in one host: such selections differ in
   at most one replica.  */
#ifndef GALENA_POLICY_REPLICAS_H
#define GALENA_POLICY_REPLICAS_H

#include <stdint.h>

enum
{
  REPLICAS_MAX = 16,
  /* Losses that REPLICAS_MAX hosts survive. */
  REPLICAS_MAX_LOSSES = REPLICAS_MAX / 2 - 1,
};

struct replica_host
{
  uint64_t hash;             /* of its name */
  uint64_t data_centre_hash; /* of its data centre's name */
};

uint32_t replicas_count_centres (const struct replica_host *hosts,
                                 uint32_t host_count);
uint32_t replicas_wanted (uint32_t losses, uint32_t centres);
uint32_t replicas_select (uint64_t item, const struct replica_host *hosts,
                          uint32_t host_count, uint32_t wanted,
                          uint32_t selected[REPLICAS_MAX]);

#endif
