/* Assignment of a data centre's rate limit slots (policy/slots.h) to the
   processes of its hosts. */
#ifndef GALENA_POLICY_HOLDERS_H
#define GALENA_POLICY_HOLDERS_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  HOLDERS_MAX_HOSTS = 128,
};

/* The changes that one process is to make to the assignment. */
struct holders_plan
{
  uint64_t release; /* bit mask of own slots to stop using, then release */
  uint64_t claim;   /* bit mask of free slots to take over */
};

struct holders_plan holders_plan (const uint64_t *holders, uint32_t count,
                                  uint64_t self, const uint64_t *live,
                                  uint32_t live_count, bool leaving);

#endif
