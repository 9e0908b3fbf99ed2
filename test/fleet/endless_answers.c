/* Guards against a faulty endpoint that sends bytes without end and takes the
   host that called it out of memory: what the host holds of such answers is
   bounded, given back afterwards, and other customers are served meanwhile.

   Usage: endless-answers RECORD KIND; see kinds below.  */
#include "rig.h"
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  MEMORY_MB = 88, /* of the smallest entry hosts */
  CALLERS = 250,
  PEAK_MB = 60,
  KEPT_MB = 5, /* that the host may hold more than before, BACK_MS after */
  BACK_MS = 5000,
  BYSTANDER_MS = 50, /* between the calls of the other customer */
  DEADLINE_MS = 4000,
  MEASURE_MS = 10,
  SETTLE_MS = 3500, /* until the host is in touch */
  /* Slow enough that all calls are under way before the first one ends. */
  BLOCK_BYTES = 4 * 1024,
  BLOCK_MS = 60,
  BYTES_PER_MB = 1024 * 1024,
};

/* An answer that begins with PREFIX and goes on with TEXT for ever. */
struct kind
{
  const char *name;
  const char *prefix;
  const char *text;
};

#define HEAD "HTTP/1.1 200 OK\r\nAttempt-Id: x\r\nServer-Stamp: s\r\n"
#define EVENTS HEAD "Content-Type: text/event-stream\r\n"

static const struct kind kinds[] = {
  { "lines", HEAD, "X-J: j\r\n" },
  { "empty-lines", HEAD, "X:\r\n" },
  { "long-lines", HEAD,
    "X-J: jjjjjjjjjjjjjjjjjjjjjjjjjjjjjjjjjjjjjjjjjjjjjj\r\n" },
  { "line", HEAD "X: ", "jjjjjjjjjjjjjjjj" },
  { "name", HEAD, "jjjjjjjjjjjjjjjj" },
  { "status-line", "HTTP/1.1 200 ", "jjjjjjjjjjjjjjjj" },
  { "interim", "", "HTTP/1.1 103 X\r\nA: b\r\n\r\n" },
  { "interim-lines", "HTTP/1.1 103 X\r\n", "A: b\r\n" },
  { "trailers", HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n" },
  { "garbage", "", "jjjjjjjjjjjjjjj\n" },
  { "body", HEAD "\r\n", "jjjjjjjjjjjjjjjj" },
  { "chunks", HEAD "Transfer-Encoding: chunked\r\n\r\n", "1\r\nj\r\n" },
  { "extension", HEAD "Transfer-Encoding: chunked\r\n\r\n1;", "jjjjjjjj" },
  { "event", EVENTS "\r\ndata: ", "jjjjjjjjjjjjjjjj" },
  { "comments", EVENTS "\r\n", ": j\n\n" },
};

static const struct kind *kind;
static struct rig_host *entry;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int ended;
static int served; /* calls of the other customer */
static int refused;
static double peak_mb;
static bool is_over;

static bool
answer_without_end (struct rig_server *server,
                    struct rig_connection *connection,
                    const struct rig_message *request)
{
  char block[BLOCK_BYTES];
  size_t text_len = strlen (kind->text);
  size_t len = 0;

  while (len + text_len <= sizeof block)
    {
      memcpy (block + len, kind->text, text_len);
      len += text_len;
    }
  if (!rig_send (connection->fd, kind->prefix, strlen (kind->prefix)))
    return false;
  while (rig_send (connection->fd, block, len))
    rig_sleep_ms (BLOCK_MS);
  return false;
}

static bool
answer_at_once (struct rig_server *server, struct rig_connection *connection,
                const struct rig_message *request)
{
  char id[64] = "";

  rig_header (request, "Attempt-Id", id, sizeof id);
  return rig_printf (connection->fd,
                     "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\n"
                     "Content-Length: 2\r\n\r\nok",
                     id);
}

/* Sends a call and returns the status of its answer, 0 for none.  */
static int
call (const char *target, const char *id, const char *key)
{
  struct rig_connection connection;
  struct rig_message response = { .status = 0 };
  int fd = rig_connect (entry->caller_port, 0, DEADLINE_MS + 1000);
  int status;

  if (fd < 0)
    return 0;
  rig_connection_init (&connection, fd);
  if (rig_printf (fd,
                  "POST %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\n"
                  "Deadline-Ms: %d\r\nCredential: %s\r\nContent-Length: 2\r\n"
                  "\r\nhi",
                  target, id, DEADLINE_MS, key))
    rig_read_response (&connection, &response);
  status = response.status;
  rig_message_release (&response);
  rig_connection_close (&connection);
  return status;
}

static void *
run_caller (void *data)
{
  int number = (int)(intptr_t)data;
  char id[32];

  snprintf (id, sizeof id, "b%d", number);
  call (number % 2 ? "/bad/x" : "/stream/x", id, "key1key1key1");
  pthread_mutex_lock (&lock);
  ended++;
  pthread_mutex_unlock (&lock);
  return NULL;
}

static void *
run_bystander (void *data)
{
  for (int i = 0; !is_over; i++)
    {
      char id[32];
      int status;

      snprintf (id, sizeof id, "o%d", i);
      status = call ("/ok/x", id, "key2key2key2");
      if (status != 200)
        rig_record ("the other customer's call %d: status %d", i, status);
      served += status == 200;
      refused += status != 200;
      rig_sleep_ms (BYSTANDER_MS);
    }
  return NULL;
}

static double
resident_mb (void)
{
  char path[64];
  FILE *file;
  long pages = 0;

  snprintf (path, sizeof path, "/proc/%d/statm", (int)entry->pid);
  file = fopen (path, "r");
  if (file && fscanf (file, "%*d %ld", &pages) != 1)
    pages = 0;
  if (file)
    fclose (file);
  return (double)pages * (double)sysconf (_SC_PAGESIZE) / BYTES_PER_MB;
}

static void
set_routes (void)
{
  rig_put (
      "config", "main",
      "{\"version\": 3, \"routes\": ["
      "{\"name\": \"bad\", \"hostname\": \"h.example\", \"path_prefix\": "
      "\"/bad/\", \"type\": \"non_idempotent\", \"timeout_ms\": 3000, "
      "\"slo_ms\": 1200, \"priority\": 2, \"backend\": \"bad\", "
      "\"max_attempts\": 1, \"anonymous\": false}, "
      "{\"name\": \"stream\", \"hostname\": \"h.example\", \"path_prefix\": "
      "\"/stream/\", \"type\": \"streaming\", \"timeout_ms\": 3000, "
      "\"slo_ms\": 1200, \"priority\": 2, \"backend\": \"bad\", "
      "\"max_attempts\": 1, \"anonymous\": false, \"gap_aim_ms\": 400}, "
      "{\"name\": \"ok\", \"hostname\": \"h.example\", \"path_prefix\": "
      "\"/ok/\", \"type\": \"idempotent\", \"timeout_ms\": 2000, \"slo_ms\": "
      "400, \"priority\": 2, \"backend\": \"ok\", \"max_attempts\": 2, "
      "\"anonymous\": false}], "
      "\"services\": [{\"name\": \"bad\", \"health_path\": \"/healthz\", "
      "\"max_connections\": 410, \"protocol\": \"h1\", \"tls\": false}, "
      "{\"name\": \"ok\", \"health_path\": \"/healthz\", \"max_connections\": "
      "410, \"protocol\": \"h1\", \"tls\": false}], "
      "\"limits\": {\"max_header_bytes\": 16384, \"max_body_bytes\": 4194304, "
      "\"header_timeout_ms\": 3000, \"idle_timeout_ms\": 15000}, "
      "\"tenants\": [{\"name\": \"tenant-1\", \"api_keys\": "
      "[\"key1key1key1\"], \"rate_per_s\": 1000, \"burst\": 1000}, "
      "{\"name\": \"tenant-2\", \"api_keys\": [\"key2key2key2\"], "
      "\"rate_per_s\": 1000, \"burst\": 1000}]}");
}

/* Has all callers ask at once and waits until they have their answers.  */
static void
run_callers (void)
{
  for (int i = 0; i < CALLERS; i++)
    rig_thread (run_caller, (void *)(intptr_t)i);
  while (ended < CALLERS)
    {
      double now_mb = resident_mb ();

      if (now_mb > peak_mb)
        peak_mb = now_mb;
      rig_sleep_ms (MEASURE_MS);
    }
}

int
main (int argc, char **argv)
{
  struct rig_server bad = { .id = "i-bad",
                            .service = "bad",
                            .zone = "a",
                            .slots = 2 * CALLERS,
                            .handle = answer_without_end };
  struct rig_server good = { .id = "i-ok",
                             .service = "ok",
                             .zone = "a",
                             .slots = 8,
                             .handle = answer_at_once };
  double before_mb;
  double after_mb;

  if (argc < 3)
    return RIG_COULD_NOT;
  for (size_t i = 0; i < sizeof kinds / sizeof *kinds; i++)
    if (strcmp (kinds[i].name, argv[2]) == 0)
      kind = &kinds[i];
  if (!kind)
    return RIG_COULD_NOT;
  signal (SIGPIPE, SIG_IGN);
  rig_begin (argv[1]);
  rig_start_store ();
  set_routes ();
  rig_start_server (&bad);
  rig_start_server (&good);
  entry = rig_add_host ("entry-1", "a", false, 1, ", \"memory_limit_mb\": 88");
  rig_start_host (entry);
  rig_await_ready (entry, 20000);
  rig_sleep_ms (SETTLE_MS);
  for (int i = 0; i < 20; i++)
    {
      char id[32];

      snprintf (id, sizeof id, "w%d", i);
      call ("/ok/x", id, "key2key2key2");
    }
  before_mb = resident_mb ();
  rig_thread (run_bystander, NULL);
  run_callers ();
  rig_sleep_ms (BACK_MS);
  after_mb = resident_mb ();
  is_over = true;
  rig_sleep_ms (2 * BYSTANDER_MS);
  rig_record ("%s from %d calls at once: %.1f MB before, %.1f MB at the peak, "
              "%.1f MB %d ms after; the other customer: %d served, %d not",
              kind->name, CALLERS, before_mb, peak_mb, after_mb, BACK_MS,
              served, refused);
  if (before_mb <= 0 || served + refused == 0)
    rig_finish (RIG_COULD_NOT);
  rig_finish (peak_mb < PEAK_MB && after_mb <= before_mb + KEPT_MB
                      && refused == 0
                  ? RIG_HELD
                  : RIG_BROKEN);
}
