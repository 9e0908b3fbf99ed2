/* Which host holds which of a data centre's slots. */
#ifndef GALENA_POLICY_HOLDERS_H
#define GALENA_POLICY_HOLDERS_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  HOLDERS_MAX_HOSTS = 128,
};

/* What one host does about the table next. */
struct holders_plan
{
  uint64_t release; /* bits of slots that it drops first, then gives up */
  uint64_t claim;   /* bits of slots whose holders are gone */
};

struct holders_plan holders_plan (const uint64_t *holders, uint32_t count,
                                  uint64_t self, const uint64_t *live,
                                  uint32_t live_count, bool leaving);

#endif
