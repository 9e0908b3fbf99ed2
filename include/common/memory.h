/* Accounts of the memory that the process holds for others: callers, readers,
   other hosts, and the configuration that it hands on to them.  Any thread may
   change them.  Each account has a share of the memory that the process may
   use; memory_take refuses what would exceed it. */
#ifndef GALENA_COMMON_MEMORY_H
#define GALENA_COMMON_MEMORY_H

#include "common/buf.h"
#include <stdbool.h>
#include <stdint.h>

enum memory_account
{
  MEMORY_CALLERS,   /* requests and responses that callers have not read */
  MEMORY_RESPONSES, /* bodies of endpoints and of the platform's store */
  MEMORY_LINKS_OUT, /* frames that other hosts have not read */
  MEMORY_LINKS_IN,  /* frames that have not arrived as a whole */
  MEMORY_MESSAGES,  /* frames passed between the process's threads */
  MEMORY_OBJECTS,   /* compressed updates of objects, for other hosts */
  MEMORY_CONFIG,    /* versions of the configuration, and parts in use */
  MEMORY_TABLES,    /* what is remembered of endpoints, streams and turns */
  MEMORY_ACCOUNT_COUNT,
};

/* What the host does, which decides how its memory is divided. */
enum memory_profile
{
  MEMORY_SERVES_CALLERS,
  MEMORY_STORES_TURNS,
  MEMORY_PROFILE_COUNT,
};

/* How much of its memory the process has left for work. */
enum memory_state
{
  MEMORY_ENOUGH,
  MEMORY_SHORT,     /* takes no work that it can refuse without a loss */
  MEMORY_EXHAUSTED, /* takes no work */
};

bool memory_set_limit (int64_t limit_bytes, enum memory_profile profile);
int64_t memory_limit (void);
int64_t memory_share (enum memory_account account);
bool memory_take (enum memory_account account, int64_t bytes);
void memory_add (enum memory_account account, int64_t bytes);
int64_t memory_used (enum memory_account account);
enum memory_state memory_state (void);
enum memory_state memory_measure (int64_t resident_bytes);
void memory_tune_allocator (void);
void memory_return_free (void);
const char *memory_state_name (enum memory_state state);
int64_t memory_resident_bytes (void);
void memory_describe (struct buf *text);
void memory_to_text (struct buf *text);

#endif
