/* Case 6: a store machine is replaced as planned, and later another one loses
   its disk: kept turns are lost.  */
#include "rig.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ENTRIES = 3,
  KEEPERS = 4, /* the last one is the successor */
  HOSTS = ENTRIES + KEEPERS,
  TURN_EVENTS = 5,
  TURN_TOKENS = 3 * TURN_EVENTS,
  CHAINS = 40,
  SETTLE_MS = 5000,
  /* The successor has had more than twice catch_up_s, 4 s, when the machine
     that it replaces leaves. */
  SUCCESSOR_MS = 9000,
  TERM_WAIT_MS = 8000, /* grace_s */
  /* From there until the disk is lost: contact_ms and catch_up_s, 7 s, have
     passed, as if the planned leave were a loss. */
  APART_MS = 7200,
  DOWN_MS = 1000, /* of the machine that loses its disk */
  /* With all machines back: contact_ms and catch_up_s have passed twice. */
  BACK_MS = 14000,
  TRIES = 5,
  TRY_PAUSE_MS = 300,
  TURN_TIMEOUT_MS = 4000,
};

static struct rig_host hosts[HOSTS] = {
  { .name = "edge-a", .zone = "zone-a" },
  { .name = "edge-b", .zone = "zone-b" },
  { .name = "edge-c", .zone = "zone-c" },
  { .name = "storage-a", .zone = "zone-a", .is_keeper = true },
  { .name = "storage-b", .zone = "zone-b", .is_keeper = true },
  { .name = "storage-c", .zone = "zone-c", .is_keeper = true },
  { .name = "storage-d", .zone = "zone-b", .is_keeper = true },
};
static struct rig_host *const keepers = &hosts[ENTRIES];

static struct rig_worker workers[] = {
  { .id = "i-llm-a",
    .service = "llm",
    .zone = "zone-a",
    .work_ms = 2,
    .events = TURN_EVENTS,
    .slots = 64 },
  { .id = "i-llm-b",
    .service = "llm",
    .zone = "zone-b",
    .work_ms = 2,
    .events = TURN_EVENTS,
    .slots = 64 },
  { .id = "i-llm-c",
    .service = "llm",
    .zone = "zone-c",
    .work_ms = 2,
    .events = TURN_EVENTS,
    .slots = 64 },
};

static char first_turns[CHAINS][RIG_ID_BYTES];

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
          "path_prefix", "/turn/", "type", "streaming", "timeout_ms", 4000,
          "slo_ms", 200, "priority", 0, "backend", "llm", "max_attempts", 1,
          "retained", 1, "retention_s", 60.0, "anonymous", 0,
          "session_affinity", 1, "resumable", 0, "gap_aim_ms", 400, "services",
          "name", "llm", "health_path", "/healthz", "max_connections", 200,
          "protocol", "h1", "tls", 0, "engine", "max_concurrency", 64,
          "kv_capacity", 202823, "chunk_tokens", 3, "models", "name", "m",
          "limits", "max_header_bytes", 16384, "max_body_bytes", 4194304,
          "header_timeout_ms", 3000, "idle_timeout_ms", 15000, "tenants",
          "name", "tenant-1", "api_keys", "key-1", "priority", 1, "rate_per_s",
          184, "burst", 184));
}

/* Sends a turn of PROGRAM through ENTRY, which continues from the attempt
   PREVIOUS or begins a chain.  Writes its own attempt to ATTEMPT.  Returns its
   status, 0 for an answer that is not whole.  */
static int
send_turn (const struct rig_host *entry, const char *program,
           const char *previous, char attempt[RIG_ID_BYTES])
{
  static int number;
  char head[1024];
  char link[128] = "";
  struct rig_answer answer;
  int status;

  snprintf (attempt, RIG_ID_BYTES, "attempt-%03d", ++number);
  if (previous)
    snprintf (link, sizeof link, "Previous-Turn: %s\r\n", previous);
  snprintf (head, sizeof head,
            "POST /turn/x HTTP/1.1\r\nHost: a.example\r\nCredential: key-1\r\n"
            "Attempt-Id: %s\r\nProgram-Id: %s\r\nSession-Id: %s-0\r\n%s"
            "Program-Deadline-Ms: 60000\r\nToken-Budget: 10000\r\n"
            "Token-Usage: 100,%d\r\nModel: m\r\nPrompt-Prefix: ab:90,%x:10\r\n"
            "Deadline-Ms: %d\r\n",
            attempt, program, program, link, TURN_TOKENS, number + 16,
            TURN_TIMEOUT_MS);
  answer = rig_call (entry->caller_port, head, "input", TURN_TIMEOUT_MS);
  status = answer.message.is_whole ? answer.status : 0;
  rig_record ("%s of %s through %s, after %s: %d", attempt, program,
              entry->name, previous ? previous : "none", status);
  rig_release (&answer.message);
  return status;
}

/* Whether a worker ran ATTEMPT.  */
static bool
has_run (const char *attempt)
{
  for (size_t i = 0; i < rig_run_count (); i++)
    if (strcmp (rig_run_at (i).attempt, attempt) == 0)
      return true;
  return false;
}

static void
begin_chains (void)
{
  for (int i = 0; i < CHAINS; i++)
    {
      char program[RIG_ID_BYTES];
      int status = 0;

      snprintf (program, sizeof program, "program-%02d", i);
      for (int k = 0; k < TRIES && status != 200; k++)
        status = send_turn (&hosts[(i + k) % ENTRIES], program, NULL,
                            first_turns[i]);
      if (status != 200)
        rig_end (RIG_CANNOT_RUN);
    }
}

static void
cause_trouble (void)
{
  int64_t left_ms;

  rig_stop_host (&keepers[1], TERM_WAIT_MS);
  left_ms = rig_now_ms ();
  while (rig_now_ms () < left_ms + APART_MS)
    rig_sleep_ms (5);
  rig_kill_host (&keepers[0]);
  rig_wipe_host (&keepers[0]);
  rig_sleep_ms (DOWN_MS);
  rig_start_host (&keepers[0]);
}

/* Continues a chain in up to TRIES tries.  Returns whether one reached a
   worker; *IS_DENIED: one was answered 404 or 410.  */
static bool
continue_chain (int chain, bool *is_denied)
{
  for (int i = 0; i < TRIES; i++)
    {
      char program[RIG_ID_BYTES];
      char attempt[RIG_ID_BYTES];
      int status;

      snprintf (program, sizeof program, "program-%02d", chain);
      status = send_turn (&hosts[(chain + i) % ENTRIES], program,
                          first_turns[chain], attempt);
      *is_denied = *is_denied || status == 404 || status == 410;
      if (has_run (attempt))
        return true;
      rig_sleep_ms (TRY_PAUSE_MS);
    }
  return false;
}

int
main (int argc, char **argv)
{
  bool is_denied = false;
  int64_t begun_ms;
  int lost = 0;
  int begun = 0;

  rig_begin (argc, argv);
  rig_start_store ();
  write_manifest ();
  for (size_t i = 0; i < sizeof workers / sizeof *workers; i++)
    rig_start_worker (&workers[i]);
  rig_set_hosts (hosts, HOSTS);
  for (int i = 0; i < HOSTS - 1; i++)
    rig_start_host (&hosts[i]);
  rig_wait_ready ();
  rig_sleep_ms (SETTLE_MS);
  keepers[3].first_start = false;
  rig_start_host (&keepers[3]);
  rig_sleep_ms (SUCCESSOR_MS);
  begin_chains ();
  begun_ms = rig_now_ms ();
  rig_sleep_ms (2000);
  if (rig_has_trouble ())
    cause_trouble ();
  rig_sleep_ms (BACK_MS);
  for (int i = 0; i < CHAINS; i++)
    {
      char attempt[RIG_ID_BYTES];
      char program[RIG_ID_BYTES];

      lost += !continue_chain (i, &is_denied);
      snprintf (program, sizeof program, "program-new-%02d", i);
      send_turn (&hosts[i % ENTRIES], program, NULL, attempt);
      begun += has_run (attempt);
    }
  for (size_t i = 0; i < rig_run_count (); i++)
    rig_record ("run: %s at %s, %zu bytes", rig_run_at (i).attempt,
                rig_run_at (i).worker, rig_run_at (i).body_bytes);
  rig_record ("%d of %d kept turns could not be continued in %d tries; %d of "
              "%d first turns reached a worker; 404 or 410: %s; all within "
              "%.1f s of the kept turns",
              lost, CHAINS, TRIES, begun, CHAINS, is_denied ? "yes" : "no",
              (double)(rig_now_ms () - begun_ms) / 1000.0);
  if (begun * 10 < CHAINS * 9)
    rig_end (RIG_CANNOT_RUN);
  rig_end (lost > 0 || is_denied ? RIG_BROKEN : RIG_HELD);
}
