/* Assignment of a data centre's slots to hosts. */
#ifndef GALENA_POLICY_HOLDERS_H
#define GALENA_POLICY_HOLDERS_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  HOLDERS_MAX_HOSTS = 128,
};

/* The next changes of one host to the assignment. */
struct holders_plan
{
  uint64_t release; /* bit mask of slots to stop using, then release */
  uint64_t claim;   /* bit mask of slots whose holders are gone */
};

struct holders_plan holders_plan (const uint64_t *holders, uint32_t count,
                                  uint64_t self, const uint64_t *live,
                                  uint32_t live_count, bool leaving);

#endif
