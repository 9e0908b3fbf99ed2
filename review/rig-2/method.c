/* Case 10: a GET with a body, in which another request is smuggled, reaches
   the worker as a POST.  */
#include "rig.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ENTRIES = 3,
  KEEPERS = 3,
  HOSTS = ENTRIES + KEEPERS,
  SETTLE_MS = 2000,
  CALLS = 12,
  CALL_TIMEOUT_MS = 3000,
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
    .slots = 6 },
  { .id = "i-app-b",
    .service = "app",
    .zone = "zone-b",
    .work_ms = 5,
    .slots = 6 },
  { .id = "i-app-c",
    .service = "app",
    .zone = "zone-c",
    .work_ms = 5,
    .slots = 6 },
};

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
          "max_connections", 96, "protocol", "h1", "tls", 0, "limits",
          "max_header_bytes", 16384, "max_body_bytes", 4194304,
          "header_timeout_ms", 3000, "idle_timeout_ms", 15000, "tenants",
          "name", "tenant-1", "api_keys", "key-1", "priority", 1, "rate_per_s",
          184, "burst", 184));
}

/* Sends a GET, with a body if there is trouble.  */
static void
send_call (int number)
{
  const struct rig_host *entry = &hosts[number % ENTRIES];
  char head[512];
  char body[256];
  struct rig_answer answer;

  snprintf (head, sizeof head,
            "GET /note/%d?x=1 HTTP/1.1\r\nHost: a.example\r\n"
            "Credential: key-1\r\nAttempt-Id: attempt-%02d\r\n"
            "Deadline-Ms: 2000\r\n",
            number, number);
  snprintf (body, sizeof body,
            "GET /note/smuggled HTTP/1.1\r\nHost: a.example\r\n"
            "Credential: key-1\r\nAttempt-Id: smuggled-%02d\r\n\r\n",
            number);
  answer = rig_call (entry->caller_port, head,
                     rig_has_trouble () ? body : NULL, CALL_TIMEOUT_MS);
  rig_record ("sent attempt-%02d, GET /note/%d?x=1, %zu bytes in its body, "
              "through %s: %d",
              number, number, rig_has_trouble () ? strlen (body) : 0,
              entry->name, answer.status);
  rig_release (&answer.message);
}

int
main (int argc, char **argv)
{
  int changed = 0;

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
  for (int i = 0; i < CALLS; i++)
    send_call (i);
  rig_sleep_ms (200);
  for (size_t i = 0; i < rig_run_count (); i++)
    {
      struct rig_run run = rig_run_at (i);
      bool is_as_sent = strcmp (run.method, "GET") == 0
                        && strncmp (run.attempt, "attempt-", 8) == 0;

      changed += !is_as_sent;
      rig_record ("run: %s, %s %s, %zu bytes in its body, at %s", run.attempt,
                  run.method, run.target, run.body_bytes, run.worker);
    }
  rig_record ("%d of %zu requests that ran are not as they were sent", changed,
              rig_run_count ());
  if (!rig_has_trouble () && rig_run_count () == 0)
    rig_end (RIG_CANNOT_RUN);
  rig_end (changed > 0 ? RIG_BROKEN : RIG_HELD);
}
