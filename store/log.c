#include "store/log.h"
#include "common/counters.h"
#include "common/handoff.h"
#include "common/id.h"
#include "common/log.h"
#include "common/mailbox.h"
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
  RECORD_MAGIC = 0x474c5232,
  DEFAULT_SEGMENT_BYTES = 64 * 1024 * 1024,
  MAX_RECORD_BYTES = 128 * 1024 * 1024,
  MAX_PROGRAM_BYTES = 512,
  QUEUE_SLOTS = 8192, /* a power of two */
  FOLDER_MODE = 0700,
  FILE_MODE = 0600,
};

/* What stands before each record's program id and bytes.  */
struct record_head
{
  uint32_t magic;
  uint32_t program_len;
  uint32_t data_len;
  uint32_t forgets;  /* 1: drops what came before for the program */
  uint64_t checksum; /* over the head's lengths, the program and the data */
};

struct segment
{
  uint64_t number;
  int fd;
  uint64_t size;
  uint64_t live; /* records that a program still needs */
};

struct place
{
  struct segment *segment;
  uint64_t offset;
  uint32_t len;
  uint64_t hash;
};

enum job_kind
{
  JOB_APPEND,
  JOB_FETCH,
  JOB_FORGET,
  JOB_STOP,
};

struct job
{
  enum job_kind kind;
  char *program;
  struct buf data;
  struct buf *records;
  size_t record_count;
  bool kept;
  store_append_handler *handle_append;
  store_fetch_handler *handle_fetch;
  void *arg;
};

struct store
{
  struct store_options options;
  char *folder;
  int folder_fd;
  pthread_t thread;
  ck_ring_t ring;
  ck_ring_buffer_t *slots;
  sem_t ready;
  struct mailbox *answers;
  GHashTable *index;    /* program to GArray of struct place; store thread */
  GHashTable *programs; /* set of ids; the other thread */
  GPtrArray *segments;  /* the last one is written; store thread */
  uint64_t damaged_records;
};

static void
segment_destroy (void *pointer)
{
  struct segment *segment = pointer;

  close (segment->fd);
  free (segment);
}

static void
places_destroy (void *pointer)
{
  g_array_free (pointer, TRUE);
}

static uint64_t
checksum (const struct record_head *head, const void *program,
          const void *data)
{
  uint32_t lengths[3] = { head->program_len, head->data_len, head->forgets };
  uint64_t sum = id_hash64 (lengths, sizeof lengths, 0);

  sum = id_hash64 (program, head->program_len, sum);
  return id_hash64 (data, head->data_len, sum);
}

static struct segment *
open_segment (struct store *store, uint64_t number)
{
  char name[32];
  struct segment *segment;
  struct stat info;
  int fd;

  snprintf (name, sizeof name, "%016" PRIx64 ".log", number);
  fd = openat (store->folder_fd, name, O_RDWR | O_CREAT | O_CLOEXEC,
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

static void
drop_places (struct store *store, const char *program)
{
  GArray *places = g_hash_table_lookup (store->index, program);

  for (guint i = 0; places && i < places->len; i++)
    g_array_index (places, struct place, i).segment->live--;
  g_hash_table_remove (store->index, program);
}

static void
add_place (struct store *store, const char *program, struct place place)
{
  GArray *places = g_hash_table_lookup (store->index, program);

  if (!places)
    {
      places = g_array_new (FALSE, FALSE, sizeof (struct place));
      g_hash_table_insert (store->index, xstrdup (program), places);
    }
  g_array_append_val (places, place);
  place.segment->live++;
}

static bool
has_record (const struct store *store, const char *program, uint64_t hash)
{
  const GArray *places = g_hash_table_lookup (store->index, program);

  for (guint i = 0; places && i < places->len; i++)
    if (g_array_index (places, struct place, i).hash == hash)
      return true;
  return false;
}

/* Closed segments that no program needs any more are removed.  */
static void
remove_dead_segments (struct store *store)
{
  for (guint i = 0; i + 1 < store->segments->len;)
    {
      struct segment *segment = g_ptr_array_index (store->segments, i);
      char name[32];

      if (segment->live > 0)
        {
          i++;
          continue;
        }
      snprintf (name, sizeof name, "%016" PRIx64 ".log", segment->number);
      unlinkat (store->folder_fd, name, 0);
      g_ptr_array_remove_index (store->segments, i);
    }
}

static bool
write_whole (int fd, const void *data, size_t len, uint64_t offset)
{
  const char *at = data;

  while (len > 0)
    {
      ssize_t wrote = pwrite (fd, at, len, (off_t)offset);

      if (wrote < 0 && errno == EINTR)
        continue;
      if (wrote <= 0)
        return false;
      at += wrote;
      offset += (uint64_t)wrote;
      len -= (size_t)wrote;
    }
  return true;
}

static bool
read_whole (int fd, void *data, size_t len, uint64_t offset)
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

static bool
roll_segment (struct store *store)
{
  struct segment *segment
      = open_segment (store, last_segment (store)->number + 1);

  if (!segment)
    return false;
  fdatasync (last_segment (store)->fd);
  fsync (store->folder_fd);
  g_ptr_array_add (store->segments, segment);
  remove_dead_segments (store);
  return true;
}

static bool
write_record (struct store *store, const char *program, const void *data,
              size_t len, bool forgets)
{
  struct record_head head = { .magic = RECORD_MAGIC,
                              .program_len = (uint32_t)strlen (program),
                              .data_len = (uint32_t)len,
                              .forgets = forgets };
  struct segment *segment;
  struct buf whole = { 0 };
  bool ok;

  if (last_segment (store)->size > store->options.segment_bytes
      && !roll_segment (store))
    return false;
  segment = last_segment (store);
  head.checksum = checksum (&head, program, data);
  buf_append (&whole, &head, sizeof head);
  buf_append (&whole, program, head.program_len);
  buf_append (&whole, data, len);
  ok = write_whole (segment->fd, whole.data, whole.len, segment->size);
  if (ok)
    {
      struct place place
          = { .segment = segment,
              .offset = segment->size + sizeof head + head.program_len,
              .len = head.data_len,
              .hash = id_hash64 (data, len, 0) };

      segment->size += whole.len;
      if (!forgets)
        add_place (store, program, place);
    }
  buf_release (&whole);
  return ok;
}

static void
run_append (struct store *store, struct job *job)
{
  uint64_t hash = id_hash64 (job->data.data, job->data.len, 0);

  counter_add (COUNTER_STORE_APPENDS, 1);
  job->kept = has_record (store, job->program, hash)
              || write_record (store, job->program, job->data.data,
                               job->data.len, false);
  if (!job->kept)
    log_write (LOG_ERROR, "store", NULL, "cannot write to %s: %s",
               store->folder, strerror (errno));
}

static void
run_fetch (struct store *store, struct job *job)
{
  const GArray *places = g_hash_table_lookup (store->index, job->program);

  if (!places)
    return;
  job->records = xcalloc (places->len + 1, sizeof *job->records);
  for (guint i = 0; i < places->len; i++)
    {
      struct place place = g_array_index (places, struct place, i);
      struct buf *record = &job->records[job->record_count];

      record->data = xcalloc (1, (size_t)place.len + 1);
      record->len = place.len;
      if (read_whole (place.segment->fd, record->data, place.len, place.offset)
          && id_hash64 (record->data, record->len, 0) == place.hash)
        {
          job->record_count++;
          continue;
        }
      store->damaged_records++;
      buf_release (record);
      log_write (LOG_ERROR, "store",
                 &(struct log_ids){ .program = job->program },
                 "a record no longer reads back as written");
    }
}

static void
run_forget (struct store *store, struct job *job)
{
  if (!g_hash_table_contains (store->index, job->program))
    return;
  drop_places (store, job->program);
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

static void
answer (struct store *store, struct job *job)
{
  if (job->kind == JOB_FORGET)
    {
      job_destroy (job);
      return;
    }
  mailbox_post_wait (store->answers, job);
}

/* Writes every append that waits, then syncs once for all of them.  */
static bool
run_batch (struct store *store)
{
  GPtrArray *done = g_ptr_array_new ();
  bool go_on = true;
  bool wrote = false;
  bool synced = true;
  void *next;

  while (ck_ring_dequeue_spsc (&store->ring, store->slots, &next))
    {
      struct job *job = next;

      handoff_acquire (job);
      if (job->kind == JOB_STOP)
        {
          go_on = false;
          job_destroy (job);
          continue;
        }
      if (job->kind == JOB_APPEND)
        {
          run_append (store, job);
          wrote = true;
        }
      else if (job->kind == JOB_FETCH)
        run_fetch (store, job);
      else
        run_forget (store, job);
      g_ptr_array_add (done, job);
    }
  if (wrote && !store->options.skip_sync)
    {
      synced = fdatasync (last_segment (store)->fd) == 0;
      counter_add (COUNTER_STORE_SYNCS, 1);
    }
  for (guint i = 0; i < done->len; i++)
    {
      struct job *job = g_ptr_array_index (done, i);

      job->kept = job->kept && synced;
      answer (store, job);
    }
  g_ptr_array_free (done, TRUE);
  return go_on;
}

static void *
run_thread (void *pointer)
{
  struct store *store = pointer;

  do
    while (sem_wait (&store->ready) != 0)
      continue;
  while (run_batch (store));
  return NULL;
}

static void
handle_answer (void *data, void *message)
{
  struct job *job = message;

  if (job->kind == JOB_APPEND && job->handle_append)
    job->handle_append (job->arg, job->kept);
  if (job->kind == JOB_FETCH && job->handle_fetch)
    job->handle_fetch (job->arg, job->records, job->record_count);
  job_destroy (job);
}

static bool
record_fits (const struct segment *segment, uint64_t offset,
             const struct record_head *head)
{
  return head->magic == RECORD_MAGIC && head->program_len > 0
         && head->program_len <= MAX_PROGRAM_BYTES
         && head->data_len <= MAX_RECORD_BYTES
         && offset + sizeof *head + head->program_len + head->data_len
                <= segment->size;
}

/* Reads one record.  Returns where the next one starts, or 0 where this one is
   torn or damaged.  */
static uint64_t
scan_record (struct store *store, struct segment *segment, uint64_t offset)
{
  struct record_head head;
  char program[MAX_PROGRAM_BYTES + 1] = { 0 };
  struct place place;
  char *data;
  uint64_t next = 0;

  if (!read_whole (segment->fd, &head, sizeof head, offset)
      || !record_fits (segment, offset, &head))
    return 0;
  place.segment = segment;
  place.offset = offset + sizeof head + head.program_len;
  place.len = head.data_len;
  data = xcalloc (1, (size_t)head.data_len + 1);
  if (read_whole (segment->fd, program, head.program_len, offset + sizeof head)
      && read_whole (segment->fd, data, head.data_len, place.offset)
      && checksum (&head, program, data) == head.checksum)
    {
      place.hash = id_hash64 (data, head.data_len, 0);
      if (head.forgets)
        drop_places (store, program);
      else
        add_place (store, program, place);
      next = place.offset + head.data_len;
    }
  free (data);
  return next;
}

/* Finds the next intact record behind a damaged one.  */
static uint64_t
find_next_record (struct segment *segment, uint64_t offset)
{
  struct record_head head;

  for (offset++; offset + sizeof head < segment->size; offset++)
    if (read_whole (segment->fd, &head, sizeof head, offset)
        && record_fits (segment, offset, &head))
      return offset;
  return segment->size;
}

static void
set_aside (struct store *store, struct segment *segment, uint64_t from,
           uint64_t to)
{
  char name[64];
  char *bytes = xcalloc (1, (size_t)(to - from) + 1);
  int fd;

  snprintf (name, sizeof name, "%016" PRIx64 "-%" PRIx64 ".damaged",
            segment->number, from);
  fd = openat (store->folder_fd, name,
               O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
  if (fd >= 0 && read_whole (segment->fd, bytes, to - from, from))
    write_whole (fd, bytes, to - from, 0);
  if (fd >= 0)
    close (fd);
  free (bytes);
  store->damaged_records++;
  log_write (LOG_WARN, "store", NULL,
             "set %" PRIu64 " damaged bytes of segment %016" PRIx64
             " aside as %s; they are fetched again from the other copy",
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
          set_aside (store, segment, offset, next);
        }
      offset = next;
    }
}

static int
compare_numbers (const void *a, const void *b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return left < right ? -1 : left > right;
}

static bool
load_segments (struct store *store)
{
  GArray *numbers = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  DIR *folder = opendir (store->folder);
  uint64_t number = 0;
  bool ok = folder != NULL;

  for (struct dirent *entry; ok && (entry = readdir (folder));)
    {
      char tail[8];

      if (sscanf (entry->d_name, "%16" SCNx64 "%7s", &number, tail) == 2
          && strcmp (tail, ".log") == 0)
        g_array_append_val (numbers, number);
    }
  if (folder)
    closedir (folder);
  g_array_sort (numbers, compare_numbers);
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
  /* Appends go to a fresh segment, never behind a torn end.  */
  if (ok)
    {
      struct segment *segment = open_segment (store, number + 1);

      ok = segment != NULL;
      if (ok)
        g_ptr_array_add (store->segments, segment);
    }
  if (ok)
    remove_dead_segments (store);
  return ok;
}

static void
note_programs (struct store *store)
{
  GHashTableIter iter;
  void *program;

  g_hash_table_iter_init (&iter, store->index);
  while (g_hash_table_iter_next (&iter, &program, NULL))
    g_hash_table_add (store->programs, xstrdup (program));
}

static bool
open_folder (struct store *store, struct error *error)
{
  if (mkdir (store->folder, FOLDER_MODE) != 0 && errno != EEXIST)
    goto fail;
  store->folder_fd = open (store->folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (store->folder_fd < 0)
    goto fail;
  if (flock (store->folder_fd, LOCK_EX | LOCK_NB) != 0)
    {
      error_set (error, ERROR_SETTINGS, RUN_NOT_RUN,
                 "%s is in use by another process; stop it, or set another "
                 "\"data_dir\"",
                 store->folder);
      return false;
    }
  if (load_segments (store))
    return true;
fail:
  error_set (error, ERROR_SETTINGS, RUN_NOT_RUN,
             "%s: %s; make it a folder that this user may write to",
             store->folder, strerror (errno));
  return false;
}

static void
store_free (struct store *store)
{
  if (store->answers)
    mailbox_destroy (store->answers);
  g_hash_table_destroy (store->index);
  g_hash_table_destroy (store->programs);
  g_ptr_array_free (store->segments, TRUE);
  if (store->folder_fd >= 0)
    close (store->folder_fd);
  sem_destroy (&store->ready);
  free (store->slots);
  free (store->folder);
  free (store);
}

/* Opens the log in a folder and starts its thread.  Damaged records are set
   aside.  NULL and ERROR where the folder cannot be used.  */
struct store *
store_create (const struct store_options *options, struct error *error)
{
  struct store *store = xcalloc (1, sizeof *store);

  store->options = *options;
  if (store->options.segment_bytes == 0)
    store->options.segment_bytes = DEFAULT_SEGMENT_BYTES;
  store->folder = xstrdup (options->folder);
  store->folder_fd = -1;
  store->slots = xcalloc (QUEUE_SLOTS, sizeof *store->slots);
  ck_ring_init (&store->ring, QUEUE_SLOTS);
  sem_init (&store->ready, 0, 0);
  store->index
      = g_hash_table_new_full (g_str_hash, g_str_equal, free, places_destroy);
  store->programs
      = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  store->segments = g_ptr_array_new_with_free_func (segment_destroy);
  if (!open_folder (store, error))
    {
      store_free (store);
      return NULL;
    }
  note_programs (store);
  store->answers = mailbox_create (options->loop, handle_answer, store);
  if (pthread_create (&store->thread, NULL, run_thread, store) != 0)
    {
      error_set (error, ERROR_INTERNAL, RUN_NOT_RUN,
                 "cannot start the store's thread; raise the process limit");
      store_free (store);
      return NULL;
    }
  return store;
}

static bool
submit (struct store *store, struct job *job)
{
  handoff_release (job);
  if (!ck_ring_enqueue_spsc (&store->ring, store->slots, job))
    return false;
  sem_post (&store->ready);
  return true;
}

/* Finishes what was submitted and frees the log.  */
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
  mailbox_drain (store->answers, handle_answer, store);
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

/* Appends a record.  HANDLE is called once it is on disk, or cannot be; a
   record that is there already counts as kept.  */
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
  if (submit (store, job))
    return;
  job_destroy (job);
  handle (data_arg, false);
}

/* Reads all records of a program, oldest first.  */
void
store_fetch (struct store *store, const char *program,
             store_fetch_handler *handle, void *data_arg)
{
  struct job *job = job_create (JOB_FETCH, program);

  job->handle_fetch = handle;
  job->arg = data_arg;
  if (submit (store, job))
    return;
  job_destroy (job);
  handle (data_arg, NULL, 0);
}

/* Drops the records of a program.  */
void
store_forget (struct store *store, const char *program)
{
  struct job *job = job_create (JOB_FORGET, program);

  g_hash_table_remove (store->programs, program);
  if (!submit (store, job))
    job_destroy (job);
}

/* Calls HANDLE for each program that has records.  */
void
store_each_program (struct store *store, store_each_handler *handle,
                    void *data_arg)
{
  GList *names = g_hash_table_get_keys (store->programs);

  for (GList *at = names; at; at = at->next)
    handle (data_arg, at->data);
  g_list_free (names);
}

/* Returns the log's state as a new reference.  */
json_t *
store_to_json (const struct store *store)
{
  return json_pack ("{s:s, s:I, s:I}", "folder", store->folder, "programs",
                    (json_int_t)g_hash_table_size (store->programs),
                    "damaged_records", (json_int_t)store->damaged_records);
}
