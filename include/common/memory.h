/* Accounts of the memory that the process holds for others: callers, readers,
   other hosts, and the configuration that it hands on to them.  Any thread may
   change them. */
#ifndef GALENA_COMMON_MEMORY_H
#define GALENA_COMMON_MEMORY_H

#include "common/buf.h"
#include <stdint.h>

enum memory_account
{
  MEMORY_CALLERS,   /* requests and responses that callers have not read */
  MEMORY_RESPONSES, /* bodies of endpoints and of the platform's store */
  MEMORY_LINKS_OUT, /* frames that other hosts have not read */
  MEMORY_LINKS_IN,  /* frames that have not arrived as a whole */
  MEMORY_MESSAGES,  /* frames passed between the process's threads */
  MEMORY_CONFIG,    /* versions of the configuration, and parts in use */
  MEMORY_ACCOUNT_COUNT,
};

void memory_add (enum memory_account account, int64_t bytes);
int64_t memory_used (enum memory_account account);
int64_t memory_resident_bytes (void);
void memory_describe (struct buf *text);
void memory_to_text (struct buf *text);

#endif
