/* The entry hosts of the fleet, from which all hosts choose the same ones for
   shared work by rendezvous hashing. */
#ifndef GALENA_REQUEST_HOST_SET_H
#define GALENA_REQUEST_HOST_SET_H

#include "peer/host.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct host_member
{
  char *name;
  uint64_t hash;             /* of the name */
  uint64_t data_centre_hash; /* of its data centre's name */
};

/* Owned by the caller. */
struct host_set
{
  struct host_member *members;
  size_t count;
};

/* Which data centres a host is chosen from. */
struct host_choice
{
  uint64_t item;     /* hash of what the host is chosen for */
  uint64_t only;     /* hash of the only data centre; 0 for all */
  uint64_t excluded; /* hash of a data centre that is left out; 0 for none */
};

bool host_set_assign (struct host_set *set, const struct host_location *hosts,
                      size_t count);
void host_set_release (struct host_set *set);
const struct host_member *host_set_find (const struct host_set *set,
                                         const char *name);
uint32_t host_set_choose (const struct host_set *set,
                          const struct host_choice *choice,
                          const struct host_member **chosen, uint32_t max);

#endif
