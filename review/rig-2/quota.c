/* Case 9: the process that holds a part of a tenant's quota is killed after it
   has granted all of it, and the next one grants again in the same window.  */
#include "rig.h"
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ENTRIES = 3,
  KEEPERS = 3,
  HOSTS = ENTRIES + KEEPERS,
  RATE_PER_S = 184,
  BURST = 20,
  WINDOW_MS = 5000,
  SETTLE_MS = 8000, /* more than a window after the start of all */
  /* The tenant's usual rate is its quota / 1.6; it sends 7.5 times that. */
  DEMAND_PER_S = RATE_PER_S * 75 / 16,
  DEMAND_MS = 6500,
  USED_PERCENT
  = 97, /* of the quota of the window, when the process is killed */
  USED_WITHIN_MS = 3000,
  DOWN_MS = 200,
  THREADS = 60,
  CALL_TIMEOUT_MS = 2000,
  SLACK = 20,
  MAX_CALLS = 10 * 1000,
};

static struct rig_host hosts[HOSTS] = {
  { .name = "edge-a", .zone = "zone-a" },
  { .name = "edge-b", .zone = "zone-b" },
  { .name = "edge-c", .zone = "zone-c" },
  { .name = "storage-a", .zone = "zone-a", .is_keeper = true },
  { .name = "storage-b", .zone = "zone-b", .is_keeper = true },
  { .name = "storage-c", .zone = "zone-c", .is_keeper = true },
};

static struct rig_worker workers[] = {
  { .id = "i-app-a",
    .service = "app",
    .zone = "zone-a",
    .work_ms = 5,
    .slots = 64 },
  { .id = "i-app-b",
    .service = "app",
    .zone = "zone-b",
    .work_ms = 5,
    .slots = 64 },
  { .id = "i-app-c",
    .service = "app",
    .zone = "zone-c",
    .work_ms = 5,
    .slots = 64 },
};

static int64_t begun_ms;
static int64_t sent_ms[MAX_CALLS]; /* of each call */
static atomic_int next_call;
static atomic_int statuses[600];

static void
write_manifest (void)
{
  rig_store_put (
      "config", "main",
      json_pack (
          "{s:i, s:[{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:b}], "
          "s:[{s:s, s:s, s:i, s:s, s:b}], s:{s:i, s:i, s:i, s:i}, s:[{s:s, "
          "s:[s], s:i, s:i, s:i}]}",
          "version", 7, "routes", "name", "notes", "hostname", "a.example",
          "path_prefix", "/note/", "type", "idempotent", "timeout_ms", 2000,
          "slo_ms", 400, "priority", 2, "backend", "app", "max_attempts", 2,
          "anonymous", 0, "services", "name", "app", "health_path", "/healthz",
          "max_connections", 200, "protocol", "h1", "tls", 0, "limits",
          "max_header_bytes", 16384, "max_body_bytes", 4194304,
          "header_timeout_ms", 3000, "idle_timeout_ms", 15000, "tenants",
          "name", "tenant-1", "api_keys", "key-1", "priority", 1, "rate_per_s",
          RATE_PER_S, "burst", BURST));
}

/* Sends the tenant's calls at a steady rate, spread over the entry hosts.  */
static void *
send_calls (void *data)
{
  for (;;)
    {
      int number = atomic_fetch_add (&next_call, 1);
      int64_t due_ms = begun_ms + (int64_t)number * 1000 / DEMAND_PER_S;
      const struct rig_host *entry = &hosts[number % ENTRIES];
      char head[512];
      struct rig_answer answer;

      if (due_ms - begun_ms >= DEMAND_MS || number >= MAX_CALLS)
        return NULL;
      if (due_ms > rig_now_ms ())
        rig_sleep_ms (due_ms - rig_now_ms ());
      snprintf (head, sizeof head,
                "GET /note/%d HTTP/1.1\r\nHost: a.example\r\n"
                "Credential: key-1\r\nAttempt-Id: attempt-%05d\r\n"
                "Program-Id: program-%d\r\nSession-Id: session-%d\r\n"
                "Program-Deadline-Ms: 20000\r\nDeadline-Ms: %d\r\n",
                number, number, number / 8, number / 8, CALL_TIMEOUT_MS);
      sent_ms[number] = rig_now_ms ();
      answer = rig_call (entry->caller_port, head, NULL, CALL_TIMEOUT_MS);
      atomic_fetch_add (&statuses[answer.status], 1);
      rig_record ("attempt-%05d through %s: %d", number, entry->name,
                  answer.status);
      rig_release (&answer.message);
    }
}

/* Returns how many calls were both sent and run in the window that ends with
   the run LAST.  */
static int
count_runs (size_t last)
{
  int64_t start_ms = rig_run_at (last).at_ms - WINDOW_MS;
  int count = 0;

  for (size_t i = last + 1; i > 0 && rig_run_at (i - 1).at_ms > start_ms; i--)
    {
      int number = atoi (rig_run_at (i - 1).attempt + strlen ("attempt-"));

      count += sent_ms[number] > start_ms;
    }
  return count;
}

/* Returns the most runs in some window, and sets *END_MS to its end.  */
static int
count_most_runs (int64_t *end_ms)
{
  int most = 0;

  for (size_t i = 0; i < rig_run_count (); i++)
    {
      int count = count_runs (i);

      if (count <= most)
        continue;
      most = count;
      *end_ms = rig_run_at (i).at_ms - begun_ms;
    }
  return most;
}

static void
wait_until_used (double quota)
{
  while (rig_run_count () * 100.0 < quota * USED_PERCENT
         && rig_now_ms () - begun_ms < USED_WITHIN_MS)
    rig_sleep_ms (5);
}

int
main (int argc, char **argv)
{
  double quota = RATE_PER_S * (WINDOW_MS / 1000.0) + BURST;
  double allowed = quota * 1.1 + SLACK;
  pthread_t threads[THREADS];
  int64_t end_ms = 0;
  int most;

  rig_begin (argc, argv);
  rig_start_store ();
  write_manifest ();
  for (size_t i = 0; i < sizeof workers / sizeof *workers; i++)
    rig_start_worker (&workers[i]);
  rig_set_hosts (hosts, HOSTS);
  for (int i = 0; i < HOSTS; i++)
    rig_start_host (&hosts[i]);
  rig_wait_ready ();
  rig_sleep_ms (SETTLE_MS);
  begun_ms = rig_now_ms ();
  for (int i = 0; i < THREADS; i++)
    if (pthread_create (&threads[i], NULL, send_calls, NULL) != 0)
      rig_end (RIG_CANNOT_RUN);
  if (rig_has_trouble ())
    {
      wait_until_used (quota);
      rig_kill_host (&hosts[0]);
      rig_sleep_ms (DOWN_MS);
      rig_start_host (&hosts[0]);
    }
  for (int i = 0; i < THREADS; i++)
    pthread_join (threads[i], NULL);
  for (size_t i = 0; i < rig_run_count (); i++)
    rig_record ("run: %s at %s, %lld ms after the first call was due",
                rig_run_at (i).attempt, rig_run_at (i).worker,
                (long long)(rig_run_at (i).at_ms - begun_ms));
  most = count_most_runs (&end_ms);
  for (int i = 0; i < 600; i++)
    if (statuses[i] > 0)
      rig_record ("answers with status %d: %d", i, statuses[i]);
  rig_record ("quota %.0f in %d ms; allowed %.0f; most runs in a window: %d, "
              "until %lld ms after the first call",
              quota, WINDOW_MS, allowed, most, (long long)end_ms);
  if (most < (int)quota / 2)
    rig_end (RIG_CANNOT_RUN);
  rig_end (most > allowed ? RIG_BROKEN : RIG_HELD);
}
