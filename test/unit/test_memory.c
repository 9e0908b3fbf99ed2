#include "common/memory.h"
#include "platform/settings.h"
#include "suites.h"
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  BYTES_PER_MB = 1024 * 1024,
  SMALLEST_MB = 88, /* entry hosts */
  KEEPER_MB = 130,
  TAKES = 64,
  LARGE_BLOCKS = 16,
  LARGE_BYTES = 1024 * 1024,
  SMALL_BYTES = 20 * 1024, /* no free one lies elsewhere */
};

static int64_t
sum_shares (void)
{
  int64_t sum = 0;

  for (int i = 0; i < MEMORY_ACCOUNT_COUNT; i++)
    sum += memory_share ((enum memory_account)i);
  return sum;
}

/* Guards against accounts that together exceed the memory of the process, on
   any host, and against an account without a share.  */
static void
test_shares_fit_the_limit (void)
{
  static const int64_t sizes_mb[]
      = { 32, SMALLEST_MB, 110, KEEPER_MB, 512, 1024 * 1024 };

  for (int profile = 0; profile < MEMORY_PROFILE_COUNT; profile++)
    for (size_t i = 0; i < sizeof sizes_mb / sizeof *sizes_mb; i++)
      {
        int64_t limit_bytes = sizes_mb[i] * BYTES_PER_MB;

        CU_ASSERT_TRUE (
            memory_set_limit (limit_bytes, (enum memory_profile)profile));
        CU_ASSERT_EQUAL (memory_limit (), limit_bytes);
        CU_ASSERT_TRUE (sum_shares () < limit_bytes);
      }
  CU_ASSERT_FALSE (memory_set_limit (BYTES_PER_MB, MEMORY_STORES_TURNS));
  CU_ASSERT_EQUAL (sum_shares (), 0);
  memory_set_limit (SMALLEST_MB * BYTES_PER_MB, MEMORY_SERVES_CALLERS);
  for (int i = 0; i < MEMORY_ACCOUNT_COUNT; i++)
    CU_ASSERT_TRUE (memory_share ((enum memory_account)i) > 0);
  memory_set_limit (0, MEMORY_SERVES_CALLERS);
}

/* Guards against an account that grows past its share, and against a refusal
   that is charged.  */
static void
test_share_is_refused_beyond (void)
{
  int64_t used_bytes = memory_used (MEMORY_LINKS_OUT);
  int64_t free_bytes;
  int64_t part_bytes;

  memory_set_limit (SMALLEST_MB * BYTES_PER_MB, MEMORY_SERVES_CALLERS);
  free_bytes = memory_share (MEMORY_LINKS_OUT) - used_bytes;
  part_bytes = free_bytes / TAKES;
  for (int i = 0; i < TAKES; i++)
    CU_ASSERT_TRUE (memory_take (MEMORY_LINKS_OUT, part_bytes));
  CU_ASSERT_FALSE (memory_take (MEMORY_LINKS_OUT, part_bytes));
  CU_ASSERT_FALSE (memory_take (MEMORY_LINKS_OUT, INT64_MAX));
  CU_ASSERT_EQUAL (memory_used (MEMORY_LINKS_OUT),
                   used_bytes + TAKES * part_bytes);
  memory_add (MEMORY_LINKS_OUT, -part_bytes);
  CU_ASSERT_TRUE (memory_take (MEMORY_LINKS_OUT, part_bytes));
  memory_add (MEMORY_LINKS_OUT, -TAKES * part_bytes);
  CU_ASSERT_EQUAL (memory_used (MEMORY_LINKS_OUT), used_bytes);
  memory_set_limit (0, MEMORY_SERVES_CALLERS);
}

/* Guards against refusals in a process that was given no limit.  */
static void
test_without_a_limit_nothing_is_refused (void)
{
  int64_t bytes = 1024LL * 1024 * BYTES_PER_MB;

  memory_set_limit (0, MEMORY_SERVES_CALLERS);
  CU_ASSERT_TRUE (memory_take (MEMORY_CONFIG, bytes));
  memory_add (MEMORY_CONFIG, -bytes);
}

/* Guards against a process that goes on taking work when it occupies nearly
   all of its memory, and against one that changes its mind with each block
   that is freed.  */
static void
test_resident_memory_is_judged (void)
{
  int64_t percent_bytes = (int64_t)SMALLEST_MB * BYTES_PER_MB / 100;

  memory_set_limit (100 * percent_bytes, MEMORY_SERVES_CALLERS);
  CU_ASSERT_EQUAL (memory_measure (83 * percent_bytes), MEMORY_ENOUGH);
  CU_ASSERT_EQUAL (memory_measure (85 * percent_bytes), MEMORY_SHORT);
  CU_ASSERT_EQUAL (memory_state (), MEMORY_SHORT);
  CU_ASSERT_EQUAL (memory_measure (79 * percent_bytes), MEMORY_SHORT);
  CU_ASSERT_EQUAL (memory_measure (77 * percent_bytes), MEMORY_ENOUGH);
  CU_ASSERT_EQUAL (memory_measure (92 * percent_bytes), MEMORY_EXHAUSTED);
  CU_ASSERT_EQUAL (memory_measure (88 * percent_bytes), MEMORY_EXHAUSTED);
  CU_ASSERT_EQUAL (memory_measure (86 * percent_bytes), MEMORY_SHORT);
  CU_ASSERT_EQUAL (memory_measure (0), MEMORY_ENOUGH);
  memory_measure (100 * percent_bytes);
  memory_set_limit (0, MEMORY_SERVES_CALLERS);
  CU_ASSERT_EQUAL (memory_state (), MEMORY_ENOUGH);
  CU_ASSERT_EQUAL (memory_measure (INT64_MAX), MEMORY_ENOUGH);
}

/* Guards against large blocks that stay with the process after they are freed,
   since small ones that live on lie behind them.  */
static void
test_large_blocks_go_back (void)
{
  char *large[LARGE_BLOCKS];
  char *small[LARGE_BLOCKS];
  size_t arena_bytes;

  memory_tune_allocator ();
  /* By default, the allocator would keep blocks of this size from now on.  */
  free (xcalloc (2, LARGE_BYTES));
  arena_bytes = mallinfo2 ().arena;
  for (int i = 0; i < LARGE_BLOCKS; i++)
    {
      large[i] = xcalloc (LARGE_BYTES, 1);
      small[i] = xcalloc (SMALL_BYTES, 1);
    }
  for (int i = 0; i < LARGE_BLOCKS; i++)
    free (large[i]);
  CU_ASSERT_TRUE (mallinfo2 ().arena - arena_bytes
                  < (size_t)LARGE_BLOCKS * LARGE_BYTES / 2);
  for (int i = 0; i < LARGE_BLOCKS; i++)
    free (small[i]);
}

/* Guards against figures that cannot be seen: each account, its share and its
   refusals.  */
static void
test_accounts_are_shown (void)
{
  struct buf text = { 0 };

  memory_set_limit (KEEPER_MB * BYTES_PER_MB, MEMORY_STORES_TURNS);
  CU_ASSERT_FALSE (
      memory_take (MEMORY_TABLES, memory_share (MEMORY_TABLES) + 1));
  memory_to_text (&text);
  buf_append (&text, "", 1);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text.data, "galenashore_memory_bytes{account=\"callers\"} "));
  CU_ASSERT_PTR_NOT_NULL (strstr (
      text.data, "galenashore_memory_share_bytes{account=\"config\"} "));
  CU_ASSERT_PTR_NOT_NULL (strstr (
      text.data, "galenashore_memory_refusals{account=\"tables\"} 1\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text.data, "galenashore_memory_limit_bytes 136314880\n"));
  buf_release (&text);
  memory_set_limit (0, MEMORY_SERVES_CALLERS);
}

static bool
load_settings (const char *extra, struct platform_settings *settings,
               struct error *error)
{
  char path[] = "/tmp/galena-memory-XXXXXX";
  int file = mkstemp (path);
  bool is_loaded;

  CU_ASSERT_FATAL (file >= 0);
  dprintf (file,
           "{\"host\": \"h\", \"data_centre\": \"a\", \"role\": \"keeper\", "
           "\"data_dir\": \"/tmp\", \"peer_listen\": \"127.0.0.1:3\", "
           "\"store_address\": \"127.0.0.1:4\"%s}",
           extra);
  close (file);
  is_loaded = platform_settings_load (settings, path, error);
  unlink (path);
  return is_loaded;
}

/* Guards against a host that does not know the memory that it was given, and
   against a default that exceeds that of the smallest hosts.  */
static void
test_limit_is_read (void)
{
  struct platform_settings settings;
  struct error error = { 0 };

  CU_ASSERT_TRUE (load_settings ("", &settings, &error));
  CU_ASSERT_EQUAL (settings.memory_limit_mb, SMALLEST_MB);
  platform_settings_release (&settings);
  CU_ASSERT_TRUE (
      load_settings (", \"memory_limit_mb\": 130", &settings, &error));
  CU_ASSERT_EQUAL (settings.memory_limit_mb, KEEPER_MB);
  platform_settings_release (&settings);
  CU_ASSERT_FALSE (
      load_settings (", \"memory_limit_mb\": 8", &settings, &error));
  CU_ASSERT_PTR_NOT_NULL (strstr (error.message, "memory_limit_mb"));
  platform_settings_release (&settings);
}

CU_TestInfo memory_tests[] = {
  { "the shares fit the limit", test_shares_fit_the_limit },
  { "bytes beyond a share are refused", test_share_is_refused_beyond },
  { "without a limit nothing is refused",
    test_without_a_limit_nothing_is_refused },
  { "the limit is read from the settings", test_limit_is_read },
  { "resident memory is judged", test_resident_memory_is_judged },
  { "large blocks go back", test_large_blocks_go_back },
  { "the accounts are shown", test_accounts_are_shown },
  CU_TEST_INFO_NULL,
};
