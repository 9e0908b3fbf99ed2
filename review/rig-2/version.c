/* Case 8: a worker starts again with new software under the id that it had
   while the store is down; streams that it began go on there.  */
#include "rig.h"
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ENTRIES = 3,
  KEEPERS = 3,
  HOSTS = ENTRIES + KEEPERS,
  TURN_EVENTS = 40,
  EVENT_MS = 50,
  SETTLE_MS = 5000,
  STREAMS = 30,
  RUNNING_MS = 700, /* of the streams, when the store falls silent */
  OUTAGE_MS = 4500, /* of the store */
  STALE_MS = 300,   /* from its start until the worker ends */
  RESTART_MS = 50,  /* until it has started again */
  TURN_TIMEOUT_MS = 5000,
};

static struct rig_host hosts[HOSTS] = {
  { .name = "edge-a", .zone = "zone-a" },
  { .name = "edge-b", .zone = "zone-b" },
  { .name = "edge-c", .zone = "zone-c" },
  { .name = "storage-a", .zone = "zone-a", .is_keeper = true },
  { .name = "storage-b", .zone = "zone-b", .is_keeper = true },
  { .name = "storage-c", .zone = "zone-c", .is_keeper = true },
};

/* The first one is the last that has the old software. */
static struct rig_worker workers[] = {
  { .id = "i-llm-a",
    .service = "llm",
    .zone = "zone-a",
    .version = "v1",
    .work_ms = EVENT_MS,
    .events = TURN_EVENTS,
    .slots = 24 },
  { .id = "i-llm-b",
    .service = "llm",
    .zone = "zone-b",
    .version = "v2",
    .work_ms = EVENT_MS,
    .events = TURN_EVENTS,
    .slots = 24 },
  { .id = "i-llm-c",
    .service = "llm",
    .zone = "zone-c",
    .version = "v2",
    .work_ms = EVENT_MS,
    .events = TURN_EVENTS,
    .slots = 24 },
};

static struct rig_answer answers[STREAMS];

static void
write_manifest (void)
{
  rig_store_put (
      "config", "main",
      json_pack (
          "{s:i, s:[{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:b, s:f, "
          "s:b, s:b, s:b, s:i}], s:[{s:s, s:s, s:i, s:s, s:b, s:{s:i, s:i, "
          "s:i, s:[{s:s}]}}], s:{s:i, s:i, s:i, s:i}, s:[{s:s, s:[s], s:i, "
          "s:i, s:i}]}",
          "version", 7, "routes", "name", "turns", "hostname", "a.example",
          "path_prefix", "/turn/", "type", "streaming", "timeout_ms", 5000,
          "slo_ms", 200, "priority", 0, "backend", "llm", "max_attempts", 1,
          "retained", 0, "retention_s", 60.0, "anonymous", 0,
          "session_affinity", 1, "resumable", 1, "gap_aim_ms", 400, "services",
          "name", "llm", "health_path", "/healthz", "max_connections", 200,
          "protocol", "h1", "tls", 0, "engine", "max_concurrency", 24,
          "kv_capacity", 202823, "chunk_tokens", 3, "models", "name", "m",
          "limits", "max_header_bytes", 16384, "max_body_bytes", 4194304,
          "header_timeout_ms", 3000, "idle_timeout_ms", 15000, "tenants",
          "name", "tenant-1", "api_keys", "key-1", "priority", 1, "rate_per_s",
          184, "burst", 184));
}

static void *
read_stream (void *data)
{
  struct rig_answer *answer = data;
  int number = (int)(answer - answers);
  char head[1024];

  snprintf (head, sizeof head,
            "POST /turn/x HTTP/1.1\r\nHost: a.example\r\nCredential: key-1\r\n"
            "Attempt-Id: attempt-%02d\r\nProgram-Id: program-%02d\r\n"
            "Session-Id: session-%02d\r\nProgram-Deadline-Ms: 20000\r\n"
            "Token-Budget: 1000\r\nToken-Usage: 100,%d\r\nModel: m\r\n"
            "Prompt-Prefix: ab:90,%x:10\r\nDeadline-Ms: %d\r\n",
            number, number, number, 3 * TURN_EVENTS, number + 16,
            TURN_TIMEOUT_MS);
  *answer = rig_call (hosts[number % ENTRIES].caller_port, head, "prompt",
                      TURN_TIMEOUT_MS);
  return NULL;
}

static int
count_text (const char *text, const char *part)
{
  int count = 0;

  while (text && (text = strstr (text, part)))
    {
      text++;
      count++;
    }
  return count;
}

/* The worker is upgraded in place while the store is down, and registers once
   that is back.  */
static void
upgrade_during_outage (void)
{
  rig_set_store_down (true);
  rig_sleep_ms (STALE_MS);
  rig_restart_worker (&workers[0], "v2", RESTART_MS);
  rig_sleep_ms (OUTAGE_MS - STALE_MS - RESTART_MS);
  rig_set_store_down (false);
  rig_register_worker (&workers[0]);
}

int
main (int argc, char **argv)
{
  pthread_t threads[STREAMS];
  int joined = 0;
  int whole = 0;

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
  for (int i = 0; i < STREAMS; i++)
    if (pthread_create (&threads[i], NULL, read_stream, &answers[i]) != 0)
      rig_end (RIG_CANNOT_RUN);
  rig_sleep_ms (RUNNING_MS);
  if (rig_has_trouble ())
    upgrade_during_outage ();
  for (int i = 0; i < STREAMS; i++)
    {
      int old_events;
      int new_events;

      pthread_join (threads[i], NULL);
      old_events = count_text (answers[i].message.body, "data: v1-");
      new_events = count_text (answers[i].message.body, "data: v2-");
      rig_record ("attempt-%02d: %d, %d events of v1, %d of v2, %s", i,
                  answers[i].status, old_events, new_events,
                  answers[i].message.is_whole ? "ends as complete"
                                              : "broken off");
      joined += old_events > 0 && new_events > 0;
      whole += answers[i].message.is_whole;
    }
  for (size_t i = 0; i < rig_run_count (); i++)
    rig_record ("run: %s at %s, %lld ms after the first",
                rig_run_at (i).attempt, rig_run_at (i).worker,
                (long long)(rig_run_at (i).at_ms - rig_run_at (0).at_ms));
  rig_record ("%d of %d streams are joined from two versions; %d end as "
              "complete",
              joined, STREAMS, whole);
  if (rig_run_count () < STREAMS)
    rig_end (RIG_CANNOT_RUN);
  rig_end (joined > 0 ? RIG_BROKEN : RIG_HELD);
}
