#include "common/memory.h"
#include <ck_pr.h>
#include <malloc.h>
#include <stdio.h>
#include <unistd.h>

enum
{
  BYTES_PER_KB = 1024,
  /* What a process needs while all accounts are empty: its code, libraries,
     stacks, loops and idle tables. */
  PROCESS_BYTES = 12 * 1024 * 1024,
  /* Of the rest: lost between blocks of the allocator, and held by what has no
     account. */
  UNASSIGNED_PERCENT = 8,
  ALL_PERCENT = 100,
  /* Of the callers' share.  The rest is for what requests under way still
     need: the remainder of their bodies, and what their callers have not read
     yet. */
  CALLERS_SHORT_PERCENT = 80,
  CALLERS_EXHAUSTED_PERCENT = 92,
  /* Of the limit: resident memory above which the process is short or out of
     memory, and below which it no longer is.  Between two measurements a link
     of 100 Mbit/s delivers 3 MB. */
  SHORT_PERCENT = 84,
  NOT_SHORT_PERCENT = 78,
  EXHAUSTED_PERCENT = 91,
  NOT_EXHAUSTED_PERCENT = 87,
  /* Larger blocks are mapped by themselves and go back to the system when they
     are freed, whatever lies behind them.  Fixed, since the allocator would
     raise the bound to the largest block that was freed. */
  MAPPED_BLOCK_BYTES = 128 * 1024,
  TRIM_BYTES = 256 * 1024, /* free at the end of the heap */
};

/* What an account is called, and its share in what a process may use beyond
   its own needs. */
struct account
{
  const char *name;
  uint8_t percent[MEMORY_PROFILE_COUNT];
};

/* Shares of a host that serves callers, and of one that stores turns. */
static const struct account accounts[MEMORY_ACCOUNT_COUNT] = {
  [MEMORY_CALLERS] = { "callers", { 34, 1 } },
  [MEMORY_RESPONSES] = { "responses", { 11, 3 } },
  [MEMORY_LINKS_OUT] = { "links_out", { 12, 18 } },
  [MEMORY_LINKS_IN] = { "links_in", { 9, 12 } },
  [MEMORY_MESSAGES] = { "messages", { 5, 4 } },
  [MEMORY_OBJECTS] = { "objects", { 2, 1 } },
  [MEMORY_CONFIG] = { "config", { 13, 3 } },
  [MEMORY_TABLES] = { "tables", { 6, 50 } },
};

static uint64_t used_bytes[MEMORY_ACCOUNT_COUNT];
static uint64_t refusals[MEMORY_ACCOUNT_COUNT]; /* by memory_take */
static int64_t process_limit_bytes;             /* 0 for none */
static enum memory_profile process_profile;
static uint32_t measured_state; /* enum memory_state, by resident memory */

/* Sets how many bytes the process may use, 0 for no limit.  To be called while
   no other thread runs.  Returns false if the shares and what the process
   needs by itself exceed the limit.  */
bool
memory_set_limit (int64_t limit_bytes, enum memory_profile profile)
{
  int percent = UNASSIGNED_PERCENT;

  process_limit_bytes = limit_bytes;
  process_profile = profile;
  ck_pr_store_32 (&measured_state, MEMORY_ENOUGH);
  for (int i = 0; i < MEMORY_ACCOUNT_COUNT; i++)
    percent += accounts[i].percent[profile];
  return percent <= ALL_PERCENT
         && (limit_bytes == 0 || limit_bytes >= PROCESS_BYTES);
}

/* Returns how many bytes the process may use, or 0 for no limit.  */
int64_t
memory_limit (void)
{
  return process_limit_bytes;
}

/* Returns how many bytes ACCOUNT may hold; INT64_MAX without a limit.  All
   shares together with what the process needs by itself fit the limit.  */
int64_t
memory_share (enum memory_account account)
{
  int64_t divided_bytes = process_limit_bytes - PROCESS_BYTES;

  if (process_limit_bytes == 0)
    return INT64_MAX;
  if (divided_bytes < 0)
    return 0;
  return divided_bytes / ALL_PERCENT
         * accounts[account].percent[process_profile];
}

/* Adds BYTES to ACCOUNT.  Returns false, and adds nothing, if the account
   would exceed its share.  They are returned with memory_add.  */
bool
memory_take (enum memory_account account, int64_t bytes)
{
  int64_t share_bytes = memory_share (account);
  uint64_t used = ck_pr_load_64 (&used_bytes[account]);

  do
    if (bytes > share_bytes || (int64_t)used > share_bytes - bytes)
      {
        ck_pr_inc_64 (&refusals[account]);
        return false;
      }
  while (!ck_pr_cas_64_value (&used_bytes[account], used,
                              used + (uint64_t)bytes, &used));
  return true;
}

/* Adds BYTES, which may be negative, to ACCOUNT, whatever its share.  */
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

/* Returns what the callers' account tells.  */
static enum memory_state
callers_state (void)
{
  int64_t percent_bytes = memory_share (MEMORY_CALLERS) / ALL_PERCENT;
  int64_t callers_bytes = memory_used (MEMORY_CALLERS);

  if (callers_bytes >= percent_bytes * CALLERS_EXHAUSTED_PERCENT)
    return MEMORY_EXHAUSTED;
  return callers_bytes >= percent_bytes * CALLERS_SHORT_PERCENT
             ? MEMORY_SHORT
             : MEMORY_ENOUGH;
}

/* Returns whether work may be taken.  */
enum memory_state
memory_state (void)
{
  enum memory_state measured
      = (enum memory_state)ck_pr_load_32 (&measured_state);
  enum memory_state callers = callers_state ();

  return measured > callers ? measured : callers;
}

/* Returns what a process with RESIDENT_BYTES is that was BEFORE.  */
static enum memory_state
judge (int64_t resident_bytes, enum memory_state before)
{
  int64_t percent_bytes = process_limit_bytes / ALL_PERCENT;
  int64_t exhausted_bytes
      = percent_bytes
        * (before == MEMORY_EXHAUSTED ? NOT_EXHAUSTED_PERCENT
                                      : EXHAUSTED_PERCENT);
  int64_t short_bytes
      = percent_bytes
        * (before == MEMORY_ENOUGH ? SHORT_PERCENT : NOT_SHORT_PERCENT);

  if (process_limit_bytes == 0)
    return MEMORY_ENOUGH;
  if (resident_bytes >= exhausted_bytes)
    return MEMORY_EXHAUSTED;
  return resident_bytes >= short_bytes ? MEMORY_SHORT : MEMORY_ENOUGH;
}

/* Records that the process occupies RESIDENT_BYTES.  To be called several
   times a second by one thread.  Returns the state, see memory_state.  */
enum memory_state
memory_measure (int64_t resident_bytes)
{
  enum memory_state before
      = (enum memory_state)ck_pr_load_32 (&measured_state);

  ck_pr_store_32 (&measured_state, (uint32_t)judge (resident_bytes, before));
  return memory_state ();
}

/* Returns the name of STATE, for logs.  */
const char *
memory_state_name (enum memory_state state)
{
  static const char *const names[] = { "enough", "short", "exhausted" };

  return names[state];
}

/* Has the allocator return large blocks to the system.  To be called before
   other threads run.  */
void
memory_tune_allocator (void)
{
  mallopt (M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES);
  mallopt (M_TRIM_THRESHOLD, TRIM_BYTES);
}

/* Returns what the allocator holds and nobody uses to the system.  */
void
memory_return_free (void)
{
  malloc_trim (0);
}

/* Returns what the allocator has taken from the system.  */
static int64_t
allocator_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (int64_t)(info.arena + info.hblkhd);
}

/* Returns the memory that the process occupies; where the system does not
   tell, an estimate.  */
int64_t
memory_resident_bytes (void)
{
  FILE *file = fopen ("/proc/self/statm", "re");
  long resident_pages = 0;

  if (file && fscanf (file, "%*d %ld", &resident_pages) != 1)
    resident_pages = 0;
  if (file)
    fclose (file);
  return resident_pages > 0 ? (int64_t)resident_pages * sysconf (_SC_PAGESIZE)
                            : PROCESS_BYTES + allocator_bytes ();
}

/* Appends the resident memory and the accounts in kilobytes, for logs.  */
void
memory_describe (struct buf *text)
{
  buf_printf (text, "resident %lld KB",
              (long long)(memory_resident_bytes () / BYTES_PER_KB));
  for (int i = 0; i < MEMORY_ACCOUNT_COUNT; i++)
    buf_printf (
        text, ", %s %lld KB", accounts[i].name,
        (long long)(memory_used ((enum memory_account)i) / BYTES_PER_KB));
}

static void
account_to_text (enum memory_account account, struct buf *text)
{
  const char *name = accounts[account].name;

  buf_printf (text, "galenashore_memory_bytes{account=\"%s\"} %lld\n", name,
              (long long)memory_used (account));
  buf_printf (text, "galenashore_memory_refusals{account=\"%s\"} %llu\n", name,
              (unsigned long long)ck_pr_load_64 (&refusals[account]));
  if (process_limit_bytes > 0)
    buf_printf (text, "galenashore_memory_share_bytes{account=\"%s\"} %lld\n",
                name, (long long)memory_share (account));
}

/* Appends the accounts, the limit and the resident memory in the Prometheus
   text format.  */
void
memory_to_text (struct buf *text)
{
  for (int i = 0; i < MEMORY_ACCOUNT_COUNT; i++)
    account_to_text ((enum memory_account)i, text);
  buf_printf (text, "galenashore_memory_limit_bytes %lld\n",
              (long long)process_limit_bytes);
  buf_printf (text, "galenashore_memory_state %d\n", (int)memory_state ());
  buf_printf (text, "galenashore_resident_bytes %lld\n",
              (long long)memory_resident_bytes ());
}
