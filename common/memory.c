#include "common/memory.h"
#include <ck_pr.h>
#include <stdio.h>
#include <unistd.h>

enum
{
  BYTES_PER_KB = 1024,
};

static const char *const account_names[MEMORY_ACCOUNT_COUNT] = {
  [MEMORY_CALLERS] = "callers",     [MEMORY_RESPONSES] = "responses",
  [MEMORY_LINKS_OUT] = "links_out", [MEMORY_LINKS_IN] = "links_in",
  [MEMORY_MESSAGES] = "messages",   [MEMORY_OBJECTS] = "objects",
  [MEMORY_CONFIG] = "config",
};

static uint64_t used_bytes[MEMORY_ACCOUNT_COUNT];

/* Adds BYTES, which may be negative, to ACCOUNT.  */
void
memory_add (enum memory_account account, int64_t bytes)
{
  ck_pr_add_64 (&used_bytes[account], (uint64_t)bytes);
}

/* Returns the bytes held on ACCOUNT.  */
int64_t
memory_used (enum memory_account account)
{
  return (int64_t)ck_pr_load_64 (&used_bytes[account]);
}

/* Returns the memory that the process occupies, or 0 if the system does not
   tell.  */
int64_t
memory_resident_bytes (void)
{
  FILE *file = fopen ("/proc/self/statm", "re");
  long resident_pages = 0;

  if (!file)
    return 0;
  if (fscanf (file, "%*d %ld", &resident_pages) != 1)
    resident_pages = 0;
  fclose (file);
  return (int64_t)resident_pages * sysconf (_SC_PAGESIZE);
}

/* Appends the resident memory and the accounts in kilobytes, for logs.  */
void
memory_describe (struct buf *text)
{
  buf_printf (text, "resident %lld KB",
              (long long)(memory_resident_bytes () / BYTES_PER_KB));
  for (int i = 0; i < MEMORY_ACCOUNT_COUNT; i++)
    buf_printf (
        text, ", %s %lld KB", account_names[i],
        (long long)(memory_used ((enum memory_account)i) / BYTES_PER_KB));
}

/* Appends the accounts and the resident memory in the Prometheus text format.
 */
void
memory_to_text (struct buf *text)
{
  for (int i = 0; i < MEMORY_ACCOUNT_COUNT; i++)
    buf_printf (text, "galenashore_memory_bytes{account=\"%s\"} %lld\n",
                account_names[i],
                (long long)memory_used ((enum memory_account)i));
  buf_printf (text, "galenashore_resident_bytes %lld\n",
              (long long)memory_resident_bytes ());
}
