#include "store/store.h"
#include "common/counters.h"
#include "common/handoff.h"
#include "common/id.h"
#include "common/log.h"
#include "common/mailbox.h"
#include <ck_pr.h>
#include <ck_ring.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <inttypes.h>
#include <pthread.h>
#include <semaphore.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

enum
{
  RECORD_MAGIC = 0x474c5232, /* "GLR2" */
  DEFAULT_SEGMENT_BYTES = 64 * 1024 * 1024,
  MAX_RECORD_BYTES = 128 * 1024 * 1024,
  MAX_PROGRAM_BYTES = 512,
  RING_SLOTS = 8192, /* ck_ring requires a power of two */
  DIRECTORY_MODE = 0700,
  FILE_MODE = 0600,
};

/* Header of each record, followed by the program id and the data.  */
struct record_header
{
  uint32_t magic;
  uint32_t program_len;
  uint32_t data_len;
  uint32_t is_tombstone; /* 1: deletes all earlier records of the program */
  uint64_t checksum;     /* of the lengths, flag, program id and data */
};

struct segment
{
  uint64_t number;
  int fd;
  uint64_t size;
  uint64_t live_records; /* number of records in the index */
};

/* Where the data of a record is stored. */
struct record_location
{
  struct segment *segment;
  uint64_t offset;
  uint32_t len;
  uint64_t hash; /* of the data */
};

enum job_kind
{
  JOB_APPEND,
  JOB_FETCH,
  JOB_DELETE,
  JOB_STOP,
};

/* An operation that the store's thread runs. */
struct job
{
  enum job_kind kind;
  char *program;
  struct buf data;     /* to append */
  struct buf *records; /* fetched */
  size_t record_count;
  bool durable; /* the appended record is on disk */
  store_append_handler *handle_append;
  store_fetch_handler *handle_fetch;
  void *arg;
};

struct store
{
  struct store_options options;
  char *directory;
  int directory_fd;
  pthread_t thread;
  ck_ring_t ring; /* submitted jobs */
  ck_ring_buffer_t *ring_slots;
  /* Fetches and deletions that wait for space in the ring; caller's thread
     only. */
  GQueue *waiting_jobs;
  sem_t jobs_ready;            /* posted once for each submitted job */
  struct mailbox *completions; /* finished jobs, for the caller's thread */
  GHashTable *index; /* program id to GArray of locations; store thread only */
  GHashTable *programs; /* set of ids; caller's thread only */
  GPtrArray *segments; /* the last one is open for writes; store thread only */
  uint64_t damaged_records; /* found since the log was opened */
  /* Failed syncs: what they should have covered may never get to the disk, so
     that from the first one on records are written again although they are
     indexed.  Store thread only. */
  uint32_t lost_syncs;
  uint64_t disk_bytes; /* of all segments; any thread may read it */
};

static void
segment_destroy (void *pointer)
{
  struct segment *segment = pointer;

  close (segment->fd);
  free (segment);
}

static void
locations_destroy (void *pointer)
{
  g_array_free (pointer, TRUE);
}

static uint64_t
checksum (const struct record_header *header, const void *program,
          const void *data)
{
  uint32_t lengths[3]
      = { header->program_len, header->data_len, header->is_tombstone };
  uint64_t sum = id_hash64 (lengths, sizeof lengths, 0);

  sum = id_hash64 (program, header->program_len, sum);
  return id_hash64 (data, header->data_len, sum);
}

static struct segment *
open_segment (struct store *store, uint64_t number)
{
  char name[32];
  struct segment *segment;
  struct stat info;
  int fd;

  snprintf (name, sizeof name, "%016" PRIx64 ".log", number);
  fd = openat (store->directory_fd, name, O_RDWR | O_CREAT | O_CLOEXEC,
               FILE_MODE);
  if (fd < 0 || fstat (fd, &info) != 0)
    {
      if (fd >= 0)
        close (fd);
      return NULL;
    }
  segment = xcalloc (1, sizeof *segment);
  segment->number = number;
  segment->fd = fd;
  segment->size = (uint64_t)info.st_size;
  return segment;
}

static struct segment *
last_segment (const struct store *store)
{
  return g_ptr_array_index (store->segments, store->segments->len - 1);
}

/* Removes the records of PROGRAM from the index.  */
static void
remove_locations (struct store *store, const char *program)
{
  GArray *locations = g_hash_table_lookup (store->index, program);

  for (guint i = 0; locations && i < locations->len; i++)
    g_array_index (locations, struct record_location, i)
        .segment->live_records--;
  g_hash_table_remove (store->index, program);
}

static void
add_location (struct store *store, const char *program,
              struct record_location location)
{
  GArray *locations = g_hash_table_lookup (store->index, program);

  if (!locations)
    {
      locations = g_array_new (FALSE, FALSE, sizeof (struct record_location));
      g_hash_table_insert (store->index, xstrdup (program), locations);
    }
  g_array_append_val (locations, location);
  location.segment->live_records++;
}

static bool
has_record (const struct store *store, const char *program, uint64_t hash)
{
  const GArray *locations = g_hash_table_lookup (store->index, program);

  for (guint i = 0; locations && i < locations->len; i++)
    if (g_array_index (locations, struct record_location, i).hash == hash)
      return true;
  return false;
}

static void
update_disk_bytes (struct store *store)
{
  uint64_t bytes = 0;

  for (guint i = 0; i < store->segments->len; i++)
    bytes += ((struct segment *)g_ptr_array_index (store->segments, i))->size;
  ck_pr_store_64 (&store->disk_bytes, bytes);
}

/* Removes closed segments that contain no live records.  */
static void
remove_dead_segments (struct store *store)
{
  for (guint i = 0; i + 1 < store->segments->len;)
    {
      struct segment *segment = g_ptr_array_index (store->segments, i);
      char name[32];

      if (segment->live_records > 0)
        {
          i++;
          continue;
        }
      snprintf (name, sizeof name, "%016" PRIx64 ".log", segment->number);
      unlinkat (store->directory_fd, name, 0);
      g_ptr_array_remove_index (store->segments, i);
    }
}

static bool
write_all (int fd, const void *data, size_t len, uint64_t offset)
{
  const char *at = data;

  while (len > 0)
    {
      ssize_t written = pwrite (fd, at, len, (off_t)offset);

      if (written < 0 && errno == EINTR)
        continue;
      if (written <= 0)
        return false;
      at += written;
      offset += (uint64_t)written;
      len -= (size_t)written;
    }
  return true;
}

static bool
read_all (int fd, void *data, size_t len, uint64_t offset)
{
  char *at = data;

  while (len > 0)
    {
      ssize_t got = pread (fd, at, len, (off_t)offset);

      if (got < 0 && errno == EINTR)
        continue;
      if (got <= 0)
        return false;
      at += got;
      offset += (uint64_t)got;
      len -= (size_t)got;
    }
  return true;
}

/* Records that a sync failed: appends of this batch do not count as on disk.
 */
static void
record_lost_sync (struct store *store)
{
  store->lost_syncs++;
  log_write (LOG_ERROR, "store", NULL, "cannot sync %s: %s", store->directory,
             strerror (errno));
}

/* Starts a new segment.  The previous one is synced, because run_batch syncs
   only the last segment.  */
static bool
rotate_segment (struct store *store)
{
  struct segment *segment
      = open_segment (store, last_segment (store)->number + 1);

  if (!segment)
    return false;
  if (fdatasync (last_segment (store)->fd) != 0
      || fsync (store->directory_fd) != 0)
    record_lost_sync (store);
  g_ptr_array_add (store->segments, segment);
  remove_dead_segments (store);
  return true;
}

/* Appends a record to the last segment and, unless it is a tombstone, to the
   index.  */
static bool
write_record (struct store *store, const char *program, const void *data,
              size_t len, bool is_tombstone)
{
  struct record_header header = { .magic = RECORD_MAGIC,
                                  .program_len = (uint32_t)strlen (program),
                                  .data_len = (uint32_t)len,
                                  .is_tombstone = is_tombstone };
  struct segment *segment;
  struct buf record = { 0 };
  bool ok;

  if (last_segment (store)->size > store->options.segment_bytes
      && !rotate_segment (store))
    return false;
  segment = last_segment (store);
  header.checksum = checksum (&header, program, data);
  buf_append (&record, &header, sizeof header);
  buf_append (&record, program, header.program_len);
  buf_append (&record, data, len);
  ok = write_all (segment->fd, record.data, record.len, segment->size);
  if (ok)
    {
      struct record_location location
          = { .segment = segment,
              .offset = segment->size + sizeof header + header.program_len,
              .len = header.data_len,
              .hash = id_hash64 (data, len, 0) };

      segment->size += record.len;
      if (!is_tombstone)
        add_location (store, program, location);
    }
  buf_release (&record);
  return ok;
}

static void
run_append (struct store *store, struct job *job)
{
  uint64_t hash = id_hash64 (job->data.data, job->data.len, 0);

  counter_add (COUNTER_STORE_APPENDS, 1);
  job->durable
      = (store->lost_syncs == 0 && has_record (store, job->program, hash))
        || write_record (store, job->program, job->data.data, job->data.len,
                         false);
  if (!job->durable)
    log_write (LOG_ERROR, "store", NULL, "cannot write a record to %s: %s",
               store->directory, strerror (errno));
}

static void
run_fetch (struct store *store, struct job *job)
{
  const GArray *locations = g_hash_table_lookup (store->index, job->program);

  if (!locations)
    return;
  job->records = xcalloc (locations->len + 1, sizeof *job->records);
  for (guint i = 0; i < locations->len; i++)
    {
      struct record_location location
          = g_array_index (locations, struct record_location, i);
      struct buf *record = &job->records[job->record_count];

      record->data = xcalloc (1, (size_t)location.len + 1);
      record->len = location.len;
      if (read_all (location.segment->fd, record->data, location.len,
                    location.offset)
          && id_hash64 (record->data, record->len, 0) == location.hash)
        {
          job->record_count++;
          continue;
        }
      store->damaged_records++;
      buf_release (record);
      log_write (LOG_ERROR, "store",
                 &(struct log_ids){ .program = job->program },
                 "a stored record cannot be read or has a wrong checksum");
    }
}

static void
run_delete (struct store *store, struct job *job)
{
  if (!g_hash_table_contains (store->index, job->program))
    return;
  remove_locations (store, job->program);
  write_record (store, job->program, "", 0, true);
}

static void
job_destroy (struct job *job)
{
  for (size_t i = 0; i < job->record_count; i++)
    buf_release (&job->records[i]);
  free (job->records);
  buf_release (&job->data);
  free (job->program);
  free (job);
}

/* Passes a finished job to the caller's thread.  A deletion has no callback
   and is freed here.  */
static void
post_completion (struct store *store, struct job *job)
{
  if (job->kind == JOB_DELETE)
    {
      job_destroy (job);
      return;
    }
  mailbox_post_blocking (store->completions, job);
}

/* Runs all queued jobs, then syncs once for all appends among them.  Returns
   false when the thread must stop.  */
static bool
run_batch (struct store *store)
{
  GPtrArray *finished = g_ptr_array_new ();
  bool running = true;
  bool needs_sync = false;
  bool has_deletes = false;
  bool synced = true;
  uint32_t lost_syncs = store->lost_syncs;
  void *next;

  while (ck_ring_dequeue_spsc (&store->ring, store->ring_slots, &next))
    {
      struct job *job = next;

      handoff_acquire (job);
      if (job->kind == JOB_STOP)
        {
          running = false;
          job_destroy (job);
          continue;
        }
      if (job->kind == JOB_APPEND)
        {
          run_append (store, job);
          needs_sync = true;
        }
      else if (job->kind == JOB_FETCH)
        run_fetch (store, job);
      else
        {
          run_delete (store, job);
          has_deletes = true;
        }
      g_ptr_array_add (finished, job);
    }
  /* On a full disk no segment is begun any more, so that dead ones are removed
     here as well.  */
  if (has_deletes)
    remove_dead_segments (store);
  if (needs_sync || has_deletes)
    update_disk_bytes (store);
  if (needs_sync && !store->options.skip_sync)
    {
      if (fdatasync (last_segment (store)->fd) != 0)
        record_lost_sync (store);
      synced = store->lost_syncs == lost_syncs;
      counter_add (COUNTER_STORE_SYNCS, 1);
    }
  for (guint i = 0; i < finished->len; i++)
    {
      struct job *job = g_ptr_array_index (finished, i);

      job->durable = job->durable && synced;
      post_completion (store, job);
    }
  g_ptr_array_free (finished, TRUE);
  return running;
}

static void *
run_thread (void *pointer)
{
  struct store *store = pointer;

  do
    while (sem_wait (&store->jobs_ready) != 0)
      continue;
  while (run_batch (store));
  return NULL;
}

/* Calls the job's handler with its result and frees it.  */
static void
finish_job (struct job *job)
{
  if (job->kind == JOB_APPEND && job->handle_append)
    job->handle_append (job->arg, job->durable);
  if (job->kind == JOB_FETCH && job->handle_fetch)
    job->handle_fetch (job->arg, job->records, job->record_count);
  job_destroy (job);
}

/* Queues a job for the store's thread.  Returns false when the queue is
   full.  */
static bool
submit (struct store *store, struct job *job)
{
  handoff_release (job);
  if (!ck_ring_enqueue_spsc (&store->ring, store->ring_slots, job))
    return false;
  sem_post (&store->jobs_ready);
  return true;
}

/* Queues a fetch or deletion.  It waits for space if the queue is full, as
   nobody would repeat it.  */
static void
submit_or_wait (struct store *store, struct job *job)
{
  if (!g_queue_is_empty (store->waiting_jobs) || !submit (store, job))
    g_queue_push_tail (store->waiting_jobs, job);
}

static void
submit_waiting_jobs (struct store *store)
{
  while (!g_queue_is_empty (store->waiting_jobs)
         && submit (store, g_queue_peek_head (store->waiting_jobs)))
    g_queue_pop_head (store->waiting_jobs);
}

static void
handle_completion (void *data, void *message)
{
  struct store *store = data;
  struct job *job = message;

  submit_waiting_jobs (store);

  if (job->kind == JOB_APPEND && job->handle_append)
    job->handle_append (job->arg, job->durable);
  if (job->kind == JOB_FETCH && job->handle_fetch)
    job->handle_fetch (job->arg, job->records, job->record_count);
  job_destroy (job);
}

static bool
header_is_valid (const struct segment *segment, uint64_t offset,
                 const struct record_header *header)
{
  return header->magic == RECORD_MAGIC && header->program_len > 0
         && header->program_len <= MAX_PROGRAM_BYTES
         && header->data_len <= MAX_RECORD_BYTES
         && offset + sizeof *header + header->program_len + header->data_len
                <= segment->size;
}

/* Reads the record at OFFSET and applies it to the index.  Returns the offset
   of the next record, or 0 when this one is truncated or damaged.  */
static uint64_t
scan_record (struct store *store, struct segment *segment, uint64_t offset)
{
  struct record_header header;
  char program[MAX_PROGRAM_BYTES + 1] = { 0 };
  struct record_location location;
  char *data;
  uint64_t next = 0;

  if (!read_all (segment->fd, &header, sizeof header, offset)
      || !header_is_valid (segment, offset, &header))
    return 0;
  location.segment = segment;
  location.offset = offset + sizeof header + header.program_len;
  location.len = header.data_len;
  data = xcalloc (1, (size_t)header.data_len + 1);
  if (read_all (segment->fd, program, header.program_len,
                offset + sizeof header)
      && read_all (segment->fd, data, header.data_len, location.offset)
      && checksum (&header, program, data) == header.checksum)
    {
      location.hash = id_hash64 (data, header.data_len, 0);
      if (header.is_tombstone)
        remove_locations (store, program);
      else
        add_location (store, program, location);
      next = location.offset + header.data_len;
    }
  free (data);
  return next;
}

/* Finds the next offset after a damaged record that has a valid header.  */
static uint64_t
find_next_record (struct segment *segment, uint64_t offset)
{
  struct record_header header;

  for (offset++; offset + sizeof header < segment->size; offset++)
    if (read_all (segment->fd, &header, sizeof header, offset)
        && header_is_valid (segment, offset, &header))
      return offset;
  return segment->size;
}

/* Copies a damaged part of a segment to a file of its own.  */
static void
quarantine_bytes (struct store *store, struct segment *segment, uint64_t from,
                  uint64_t to)
{
  char name[64];
  char *bytes = xcalloc (1, (size_t)(to - from) + 1);
  int fd;

  snprintf (name, sizeof name, "%016" PRIx64 "-%" PRIx64 ".damaged",
            segment->number, from);
  fd = openat (store->directory_fd, name,
               O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
  if (fd >= 0 && read_all (segment->fd, bytes, to - from, from))
    write_all (fd, bytes, to - from, 0);
  if (fd >= 0)
    close (fd);
  free (bytes);
  store->damaged_records++;
  log_write (LOG_WARN, "store", NULL,
             "copied %" PRIu64 " damaged bytes of segment %016" PRIx64
             " to %s; the records will be fetched again from another replica",
             to - from, segment->number, name);
}

static void
scan_segment (struct store *store, struct segment *segment)
{
  uint64_t offset = 0;

  while (offset < segment->size)
    {
      uint64_t next = scan_record (store, segment, offset);

      if (next == 0)
        {
          next = find_next_record (segment, offset);
          quarantine_bytes (store, segment, offset, next);
        }
      offset = next;
    }
}

static int
compare_segment_numbers (const void *a, const void *b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return left < right ? -1 : left > right;
}

static bool
load_segments (struct store *store)
{
  GArray *numbers = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  DIR *dir = opendir (store->directory);
  uint64_t number = 0;
  bool ok = dir != NULL;

  for (struct dirent *entry; ok && (entry = readdir (dir));)
    {
      char tail[8];

      if (sscanf (entry->d_name, "%16" SCNx64 "%7s", &number, tail) == 2
          && strcmp (tail, ".log") == 0)
        g_array_append_val (numbers, number);
    }
  if (dir)
    closedir (dir);
  g_array_sort (numbers, compare_segment_numbers);
  number = 0;
  for (guint i = 0; ok && i < numbers->len; i++)
    {
      struct segment *segment;

      number = g_array_index (numbers, uint64_t, i);
      segment = open_segment (store, number);
      ok = segment != NULL;
      if (!ok)
        break;
      g_ptr_array_add (store->segments, segment);
      scan_segment (store, segment);
    }
  g_array_free (numbers, TRUE);
  /* Appends go to a new segment, never after a truncated record.  */
  if (ok)
    {
      struct segment *segment = open_segment (store, number + 1);

      ok = segment != NULL;
      if (ok)
        g_ptr_array_add (store->segments, segment);
      /* The names of the files outlast a loss of power. */
      if (fsync (store->directory_fd) != 0)
        record_lost_sync (store);
    }
  if (ok)
    remove_dead_segments (store);
  return ok;
}

static void
load_program_ids (struct store *store)
{
  GHashTableIter iter;
  void *program;

  g_hash_table_iter_init (&iter, store->index);
  while (g_hash_table_iter_next (&iter, &program, NULL))
    g_hash_table_add (store->programs, xstrdup (program));
}

static bool
open_directory (struct store *store, struct error *error)
{
  if (mkdir (store->directory, DIRECTORY_MODE) != 0 && errno != EEXIST)
    goto fail;
  store->directory_fd
      = open (store->directory, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (store->directory_fd < 0)
    goto fail;
  if (flock (store->directory_fd, LOCK_EX | LOCK_NB) != 0)
    {
      error_set (error, ERROR_SETTINGS, RUN_NOT_RUN,
                 "%s is in use by another process; stop it, or set another "
                 "\"data_dir\"",
                 store->directory);
      return false;
    }
  if (load_segments (store))
    return true;
fail:
  error_set (error, ERROR_SETTINGS, RUN_NOT_RUN,
             "%s: %s; it must be a directory that this user can write to",
             store->directory, strerror (errno));
  return false;
}

static void
store_free (struct store *store)
{
  if (store->completions)
    mailbox_destroy (store->completions);
  g_hash_table_destroy (store->index);
  g_hash_table_destroy (store->programs);
  g_ptr_array_free (store->segments, TRUE);
  if (store->directory_fd >= 0)
    close (store->directory_fd);
  sem_destroy (&store->jobs_ready);
  g_queue_free (store->waiting_jobs);
  free (store->ring_slots);
  free (store->directory);
  free (store);
}

/* Opens the log in a directory and starts its thread.  Damaged records are
   copied to separate files and skipped.  Returns NULL and sets ERROR when the
   directory cannot be used.  */
struct store *
store_create (const struct store_options *options, struct error *error)
{
  struct store *store = xcalloc (1, sizeof *store);

  store->options = *options;
  if (store->options.segment_bytes == 0)
    store->options.segment_bytes = DEFAULT_SEGMENT_BYTES;
  store->directory = xstrdup (options->directory);
  store->directory_fd = -1;
  store->ring_slots = xcalloc (RING_SLOTS, sizeof *store->ring_slots);
  ck_ring_init (&store->ring, RING_SLOTS);
  store->waiting_jobs = g_queue_new ();
  sem_init (&store->jobs_ready, 0, 0);
  store->index = g_hash_table_new_full (g_str_hash, g_str_equal, free,
                                        locations_destroy);
  store->programs
      = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  store->segments = g_ptr_array_new_with_free_func (segment_destroy);
  if (!open_directory (store, error))
    {
      store_free (store);
      return NULL;
    }
  load_program_ids (store);
  update_disk_bytes (store);
  store->completions
      = mailbox_create (options->loop, handle_completion, store);
  if (pthread_create (&store->thread, NULL, run_thread, store) != 0)
    {
      error_set (error, ERROR_INTERNAL, RUN_NOT_RUN,
                 "cannot start the store's thread; raise the process limit");
      store_free (store);
      return NULL;
    }
  return store;
}

/* Finishes the submitted jobs, runs their callbacks and frees the log.  Jobs
   that still wait for space are dropped; a fetch among them gets no records.
   STORE may be NULL.  */
void
store_destroy (struct store *store)
{
  struct job *job;

  if (!store)
    return;
  job = xcalloc (1, sizeof *job);
  job->kind = JOB_STOP;
  while (!submit (store, job))
    usleep (1000);
  pthread_join (store->thread, NULL);
  while ((job = g_queue_pop_head (store->waiting_jobs)))
    finish_job (job);
  mailbox_drain (store->completions, handle_completion, store);
  store_free (store);
}

static struct job *
job_create (enum job_kind kind, const char *program)
{
  struct job *job = xcalloc (1, sizeof *job);

  job->kind = kind;
  job->program = xstrdup (program);
  return job;
}

/* Appends a record.  HANDLE is called once the record is on disk or cannot be
   written; a record that the program already has counts as durable.  When the
   job queue is full, HANDLE is called before the function returns.  */
void
store_append (struct store *store, const char *program, const void *data,
              size_t len, store_append_handler *handle, void *data_arg)
{
  struct job *job = job_create (JOB_APPEND, program);

  buf_append (&job->data, data, len);
  job->handle_append = handle;
  job->arg = data_arg;
  if (!g_hash_table_contains (store->programs, program))
    g_hash_table_add (store->programs, xstrdup (program));
  if (g_queue_is_empty (store->waiting_jobs) && submit (store, job))
    return;
  job_destroy (job);
  handle (data_arg, false);
}

/* Reads all records of a program, oldest first, without the damaged ones.
   HANDLE is called after the function has returned.  */
void
store_fetch (struct store *store, const char *program,
             store_fetch_handler *handle, void *data_arg)
{
  struct job *job = job_create (JOB_FETCH, program);

  job->handle_fetch = handle;
  job->arg = data_arg;
  submit_or_wait (store, job);
}

/* Deletes the records of a program.  */
void
store_delete (struct store *store, const char *program)
{
  struct job *job = job_create (JOB_DELETE, program);

  g_hash_table_remove (store->programs, program);
  submit_or_wait (store, job);
}

/* Calls HANDLE for each program that has records, including those whose first
   append has not finished.  */
void
store_foreach_program (struct store *store, store_foreach_handler *handle,
                       void *data_arg)
{
  GList *names = g_hash_table_get_keys (store->programs);

  for (GList *at = names; at; at = at->next)
    handle (data_arg, at->data);
  g_list_free (names);
}

/* Returns the size of all segment files, which includes deleted records.  */
uint64_t
store_disk_bytes (const struct store *store)
{
  return ck_pr_load_64 (&store->disk_bytes);
}

/* Returns the log's state as a new reference.  */
json_t *
store_to_json (const struct store *store)
{
  return json_pack ("{s:s, s:I, s:I}", "folder", store->directory, "programs",
                    (json_int_t)g_hash_table_size (store->programs),
                    "damaged_records", (json_int_t)store->damaged_records);
}
