#include "store/store.h"
#include "suites.h"
#include <dirent.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

enum
{
  MAX_LOOP_ITERATIONS = 20000,
};

struct fixture
{
  struct ev_loop *loop;
  char directory[64];
  struct store *store;
  int durable_count; /* durable appends; far below 0 after a failed one */
  size_t fetched;    /* number of fetched records plus 1; 0 while pending */
  size_t fetched_records; /* by all fetches */
  char last[64];          /* the last fetched record */
};

static void
open_store (struct fixture *fixture, size_t segment_bytes)
{
  struct store_options options = { .loop = fixture->loop,
                                   .directory = fixture->directory,
                                   .segment_bytes = segment_bytes };
  struct error error;

  fixture->store = store_create (&options, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->store);
}

static void
start (struct fixture *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  strcpy (fixture->directory, "/tmp/galena-store-XXXXXX");
  CU_ASSERT_PTR_NOT_NULL_FATAL (mkdtemp (fixture->directory));
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  open_store (fixture, 0);
}

static void
stop (struct fixture *fixture)
{
  DIR *directory;
  char path[512];

  store_destroy (fixture->store);
  ev_loop_destroy (fixture->loop);
  directory = opendir (fixture->directory);
  for (struct dirent *entry; (entry = readdir (directory));)
    {
      snprintf (path, sizeof path, "%s/%s", fixture->directory, entry->d_name);
      unlink (path);
    }
  closedir (directory);
  rmdir (fixture->directory);
}

static void
handle_appended (void *data, bool durable)
{
  struct fixture *fixture = data;

  fixture->durable_count += durable ? 1 : -1000;
}

static void
handle_fetched (void *data, const struct buf *records, size_t count)
{
  struct fixture *fixture = data;

  fixture->fetched = count + 1;
  if (count > 0)
    snprintf (fixture->last, sizeof fixture->last, "%s",
              records[count - 1].data);
}

static void
append (struct fixture *fixture, const char *program, const char *text)
{
  int before = fixture->durable_count;

  store_append (fixture->store, program, text, strlen (text), handle_appended,
                fixture);
  for (int i = 0; i < MAX_LOOP_ITERATIONS && fixture->durable_count == before;
       i++)
    ev_run (fixture->loop, EVRUN_ONCE);
}

static size_t
fetch (struct fixture *fixture, const char *program)
{
  fixture->fetched = 0;
  store_fetch (fixture->store, program, handle_fetched, fixture);
  for (int i = 0; i < MAX_LOOP_ITERATIONS && fixture->fetched == 0; i++)
    ev_run (fixture->loop, EVRUN_ONCE);
  return fixture->fetched - 1;
}

static void
reopen (struct fixture *fixture, size_t segment_bytes)
{
  store_destroy (fixture->store);
  open_store (fixture, segment_bytes);
}

static void
test_records_survive_reopen (void)
{
  struct fixture fixture;

  start (&fixture);
  append (&fixture, "p", "one");
  append (&fixture, "q", "else");
  append (&fixture, "p", "two");
  CU_ASSERT_EQUAL (fetch (&fixture, "p"), 2);
  reopen (&fixture, 0);
  CU_ASSERT_EQUAL (fetch (&fixture, "p"), 2);
  CU_ASSERT_STRING_EQUAL (fixture.last, "two");
  CU_ASSERT_EQUAL (fetch (&fixture, "nothing"), 0);
  stop (&fixture);
}

static void
test_duplicate_record_is_stored_once (void)
{
  struct fixture fixture;

  start (&fixture);
  append (&fixture, "p", "one");
  append (&fixture, "p", "one");
  CU_ASSERT_EQUAL (fixture.durable_count, 2);
  CU_ASSERT_EQUAL (fetch (&fixture, "p"), 1);
  stop (&fixture);
}

/* Returns the path of the oldest segment file.  */
static char *
first_segment (const struct fixture *fixture)
{
  static char path[512];

  snprintf (path, sizeof path, "%s/%016x.log", fixture->directory, 1);
  return path;
}

static void
test_truncated_record_is_quarantined (void)
{
  struct fixture fixture;
  struct stat info;

  start (&fixture);
  append (&fixture, "p", "one");
  append (&fixture, "p", "two");
  store_destroy (fixture.store);
  CU_ASSERT_EQUAL (stat (first_segment (&fixture), &info), 0);
  CU_ASSERT_EQUAL (truncate (first_segment (&fixture), info.st_size - 2), 0);
  open_store (&fixture, 0);
  CU_ASSERT_EQUAL (fetch (&fixture, "p"), 1);
  append (&fixture, "p", "two");
  reopen (&fixture, 0);
  CU_ASSERT_EQUAL (fetch (&fixture, "p"), 2);
  stop (&fixture);
}

static void
test_records_after_damage_are_read (void)
{
  struct fixture fixture;
  int fd;

  start (&fixture);
  append (&fixture, "p", "one");
  append (&fixture, "p", "two");
  store_destroy (fixture.store);
  fd = open (first_segment (&fixture), O_WRONLY);
  /* The first record has a header of 24 bytes, the program id "p" and then its
     data.  */
  CU_ASSERT_EQUAL (pwrite (fd, "X", 1, 26), 1);
  close (fd);
  open_store (&fixture, 0);
  CU_ASSERT_EQUAL (fetch (&fixture, "p"), 1);
  CU_ASSERT_STRING_EQUAL (fixture.last, "two");
  stop (&fixture);
}

static void
test_segments_without_live_records_are_removed (void)
{
  struct fixture fixture;
  struct stat info;

  start (&fixture);
  /* Each record is longer than 16 bytes, so it fills a segment.  */
  reopen (&fixture, 16);
  append (&fixture, "p", "a record that fills its segment");
  append (&fixture, "q", "another one in the next segment");
  store_delete (fixture.store, "p");
  append (&fixture, "q", "and one more behind");
  CU_ASSERT_EQUAL (fetch (&fixture, "p"), 0);
  CU_ASSERT_NOT_EQUAL (stat (first_segment (&fixture), &info), 0);
  reopen (&fixture, 16);
  CU_ASSERT_EQUAL (fetch (&fixture, "p"), 0);
  CU_ASSERT_EQUAL (fetch (&fixture, "q"), 2);
  stop (&fixture);
}

static void
test_directory_is_locked (void)
{
  struct fixture fixture;
  struct store_options options = { 0 };
  struct error error;

  start (&fixture);
  options.loop = fixture.loop;
  options.directory = fixture.directory;
  CU_ASSERT_PTR_NULL (store_create (&options, &error));
  CU_ASSERT_PTR_NOT_NULL (strstr (error.message, "in use"));
  stop (&fixture);
}

static void
count_fetched (void *data, const struct buf *records, size_t count)
{
  struct fixture *fixture = data;

  fixture->fetched++;
  fixture->fetched_records += count;
}

/* A keeper that starts reads all of its programs at once.  None may look empty
   because the job queue is full.  */
static void
test_more_fetches_than_the_queue_holds (void)
{
  enum
  {
    FETCHES = 60000,
  };
  struct fixture fixture;

  start (&fixture);
  append (&fixture, "p", "one");
  fixture.fetched = 0;
  for (int i = 0; i < FETCHES; i++)
    store_fetch (fixture.store, "p", count_fetched, &fixture);
  for (int i = 0; i < FETCHES && fixture.fetched < FETCHES; i++)
    ev_run (fixture.loop, EVRUN_ONCE);
  CU_ASSERT_EQUAL (fixture.fetched, FETCHES);
  CU_ASSERT_EQUAL (fixture.fetched_records, FETCHES);
  stop (&fixture);
}

CU_TestInfo store_tests[]
    = { { "records survive reopening the log", test_records_survive_reopen },
        { "a duplicate record is stored once",
          test_duplicate_record_is_stored_once },
        { "a truncated record is quarantined",
          test_truncated_record_is_quarantined },
        { "records after a damaged record are read",
          test_records_after_damage_are_read },
        { "segments without live records are removed",
          test_segments_without_live_records_are_removed },
        { "a directory is locked by its user", test_directory_is_locked },
        { "more fetches than the queue holds",
          test_more_fetches_than_the_queue_holds },
        CU_TEST_INFO_NULL };
