/* A customer whose callers come at once uses up its limit.  Then all entry
   hosts are killed at the same moment and start again, and its callers go on.
   The endpoints count what arrives in each window.  */
#include "rig.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum
{
  HOSTS = 3, /* of each role, one in each data centre */
  ENDPOINTS = 6,
  /* The customer's limit, and what the rule adds to it. */
  RATE_PER_S = 40,
  BURST = 40,
  WINDOW_MS = 5000,
  OVERRUN_PERCENT = 10,
  SLACK = 20,
  LIMIT = RATE_PER_S * WINDOW_MS / 1000 + BURST,
  BOUND = LIMIT * (100 + OVERRUN_PERCENT) / 100 + SLACK,
  /* 7.5 times the usual, by which the limit is 1.6 times as high. */
  CALLERS = 60,
  CALL_MS = 320, /* between the calls of a caller */
  KILL_MS = 1300,
  DOWN_MS = 800,
  DURATION_MS = 6500,
  SETTLE_MS = 10000, /* before the traffic */
  DEADLINE_MS = 2000,
  MAX_RUNS = 10000,
  MAX_STATUS = 600,
};

static const char *const zones[HOSTS] = { "a", "b", "c" };

static struct rig_host *entries[HOSTS];
static struct rig_server endpoints[ENDPOINTS];
static char endpoint_ids[ENDPOINTS][16];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t begun_ms;
static int64_t runs_ms[MAX_RUNS]; /* when requests arrived that ran */
static int run_count;
static int statuses[MAX_STATUS];

static int64_t
elapsed_ms (void)
{
  return rig_now_ms () - begun_ms;
}

static bool
serve (struct rig_server *server, struct rig_connection *connection,
       const struct rig_message *request)
{
  char id[64] = "";
  char customer[64] = "";

  rig_header (request, "Attempt-Id", id, sizeof id);
  rig_header (request, "Tenant", customer, sizeof customer);
  pthread_mutex_lock (&lock);
  if (strcmp (customer, "tenant-1") == 0 && run_count < MAX_RUNS)
    runs_ms[run_count++] = elapsed_ms ();
  pthread_mutex_unlock (&lock);
  return rig_printf (connection->fd,
                     "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: %s"
                     "\r\nContent-Length: 2\r\n\r\nok",
                     id, server->id);
}

static void
call (const struct rig_host *entry, const char *id)
{
  struct rig_connection connection;
  struct rig_message response = { .status = 0 };
  int fd = rig_connect (entry->caller_port, 0, DEADLINE_MS + 500);

  if (fd < 0)
    return;
  rig_connection_init (&connection, fd);
  if (rig_printf (fd,
                  "POST /note/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s"
                  "\r\nDeadline-Ms: %d\r\nCredential: key1key1key1\r\n"
                  "Content-Length: 2\r\n\r\nhi",
                  id, DEADLINE_MS))
    rig_read_response (&connection, &response);
  pthread_mutex_lock (&lock);
  statuses[response.status]++;
  pthread_mutex_unlock (&lock);
  rig_message_release (&response);
  rig_connection_close (&connection);
}

static void *
run_caller (void *data)
{
  int number = (int)(intptr_t)data;
  int64_t due_ms = (int64_t)CALL_MS * number / CALLERS;

  for (int i = 0; due_ms < DURATION_MS; i++)
    {
      char id[32];

      if (due_ms > elapsed_ms ())
        rig_sleep_ms (due_ms - elapsed_ms ());
      snprintf (id, sizeof id, "c%d-%d", number, i);
      call (entries[number % HOSTS], id);
      due_ms += CALL_MS;
    }
  return NULL;
}

static void
set_routes (void)
{
  rig_put (
      "config", "main",
      "{\"version\": 3, \"routes\": ["
      "{\"name\": \"note\", \"hostname\": \"h.example\", \"path_prefix\": "
      "\"/note/\", \"type\": \"idempotent\", \"timeout_ms\": 2000, "
      "\"slo_ms\": 400, \"priority\": 2, \"backend\": \"app\", "
      "\"max_attempts\": 2, \"anonymous\": false}], "
      "\"services\": [{\"name\": \"app\", \"health_path\": \"/healthz\", "
      "\"max_connections\": 110, \"protocol\": \"h1\", \"tls\": false}], "
      "\"limits\": {\"max_header_bytes\": 16384, \"max_body_bytes\": 4194304, "
      "\"header_timeout_ms\": 3000, \"idle_timeout_ms\": 15000}, "
      "\"tenants\": [{\"name\": \"tenant-1\", \"api_keys\": "
      "[\"key1key1key1\"], \"rate_per_s\": 40, \"burst\": 40}]}");
}

static void
start_fleet (void)
{
  char name[32];

  for (int i = 0; i < ENDPOINTS; i++)
    {
      snprintf (endpoint_ids[i], sizeof endpoint_ids[i], "i-%d", i);
      endpoints[i] = (struct rig_server){ .id = endpoint_ids[i],
                                          .service = "app",
                                          .zone = zones[i % HOSTS],
                                          .slots = 6,
                                          .handle = serve };
      rig_start_server (&endpoints[i]);
    }
  for (int i = 0; i < HOSTS; i++)
    {
      snprintf (name, sizeof name, "entry-%d", i);
      entries[i] = rig_add_host (name, zones[i], false, 1, "");
    }
  for (int i = 0; i < HOSTS; i++)
    {
      snprintf (name, sizeof name, "keeper-%d", i);
      rig_start_host (rig_add_host (name, zones[i], true, 1, ""));
      rig_start_host (entries[i]);
    }
  for (int i = 0; i < HOSTS; i++)
    rig_await_ready (entries[i], 20000);
  rig_sleep_ms (SETTLE_MS);
}

static void
kill_entries (void)
{
  rig_record ("%d requests have run after %lld ms; all entry hosts are killed",
              run_count, (long long)elapsed_ms ());
  for (int i = 0; i < HOSTS; i++)
    rig_signal_host (entries[i], SIGKILL);
  rig_sleep_ms (DOWN_MS);
  for (int i = 0; i < HOSTS; i++)
    rig_start_host (entries[i]);
  rig_record ("they are started after %lld ms", (long long)elapsed_ms ());
}

/* Returns the most requests that ran in a window, and sets when it began.  */
static int
find_fullest_window (int64_t *from_ms)
{
  int most = 0;

  for (int first = 0, last = 0; last < run_count; last++)
    {
      while (runs_ms[last] - runs_ms[first] >= WINDOW_MS)
        first++;
      if (last - first + 1 <= most)
        continue;
      most = last - first + 1;
      *from_ms = runs_ms[first];
    }
  return most;
}

int
main (int argc, char **argv)
{
  int64_t from_ms = 0;
  int most;

  if (argc < 2)
    return RIG_COULD_NOT;
  rig_begin (argv[1]);
  rig_start_store ();
  set_routes ();
  start_fleet ();
  begun_ms = rig_now_ms ();
  for (int i = 0; i < CALLERS; i++)
    rig_thread (run_caller, (void *)(intptr_t)i);
  rig_sleep_ms (KILL_MS);
  if (rig_has_trouble)
    kill_entries ();
  rig_sleep_ms (DURATION_MS + DEADLINE_MS - elapsed_ms ());
  for (int second = 0; second * 1000 < DURATION_MS; second++)
    {
      int count = 0;

      for (int i = 0; i < run_count; i++)
        count += runs_ms[i] / 1000 == second;
      rig_record ("second %d: %d requests ran", second, count);
    }
  for (int i = 1; i < MAX_STATUS; i++)
    if (statuses[i] > 0)
      rig_record ("callers got status %d: %d times", i, statuses[i]);
  most = find_fullest_window (&from_ms);
  rig_record ("the fullest window of %d ms, from %lld ms on, has %d requests; "
              "the limit is %d, the rule's bound %d",
              WINDOW_MS, (long long)from_ms, most, LIMIT, BOUND);
  rig_finish (most > BOUND ? RIG_BROKEN : RIG_HELD);
}
