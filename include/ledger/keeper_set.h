/* The keepers of the ledger, and which of them store a program's charges. */
#ifndef GALENA_LEDGER_KEEPER_SET_H
#define GALENA_LEDGER_KEEPER_SET_H

#include "peer/host.h"
#include "policy/replicas.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Owned by the ledger or keeper that contains it. */
struct keeper_set
{
  char **names;
  struct replica_host *hosts;
  uint32_t count;
  uint32_t wanted; /* replicas of each program */
};

/* Indexes into a keeper set. */
struct keeper_replicas
{
  uint32_t keepers[REPLICAS_MAX];
  uint32_t count;
};

bool keeper_set_assign (struct keeper_set *set,
                        const struct host_location *locations, size_t count,
                        uint32_t losses);
void keeper_set_release (struct keeper_set *set);
void keeper_set_copy (struct keeper_set *copy, const struct keeper_set *set);
uint64_t keeper_set_hash (const struct keeper_set *set);
int32_t keeper_set_find (const struct keeper_set *set, const char *name);
struct keeper_replicas keeper_set_replicas (const struct keeper_set *set,
                                            uint64_t program);
bool keeper_replicas_contain (const struct keeper_replicas *replicas,
                              uint32_t keeper);

#endif
