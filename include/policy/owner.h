/* Selects the host that owns a program, by rendezvous hashing over the
   eligible hosts.  */
#ifndef GALENA_POLICY_OWNER_H
#define GALENA_POLICY_OWNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A host that may be picked. */
struct owner_candidate
{
  uint64_t host_hash;
  uint64_t dc_hash;
  bool eligible; /* live and not leaving; others are never picked */
};

int32_t owner_pick (uint64_t key, uint64_t home_dc_hash,
                    const struct owner_candidate *hosts, size_t count);
uint32_t owner_rank_spread (uint64_t key, const struct owner_candidate *hosts,
                            size_t count, uint32_t wanted, int32_t *out);

#endif
