/* Case 7: a program spends a part of its budget while one store machine alone
   answers, and that machine then loses its disk.  */
#include "rig.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ENTRIES = 3,
  KEEPERS = 3,
  HOSTS = ENTRIES + KEEPERS,
  CHUNK_TOKENS = 3,
  TURN_EVENTS = 33,
  TURN_TOKENS = CHUNK_TOKENS * TURN_EVENTS, /* the most of one turn */
  BUDGET = 300,
  SETTLE_MS = 6000, /* after the start of all; the keepers' ledgers agree */
  DOWN_MS = 900,    /* of the two processes that are killed */
  /* For which the third one is alone, until it loses its disk. */
  ALONE_MS = 450,
  WIPED_MS = 1000, /* until that one is back */
  BACK_MS = 8000,  /* until the program goes on, with all machines back */
  TURN_TIMEOUT_MS = 5000,
  MAX_TURNS = 20,
};

static struct rig_host hosts[HOSTS] = {
  { .name = "edge-a", .zone = "zone-a" },
  { .name = "edge-b", .zone = "zone-b" },
  { .name = "edge-c", .zone = "zone-c" },
  { .name = "storage-a", .zone = "zone-a", .is_keeper = true },
  { .name = "storage-b", .zone = "zone-b", .is_keeper = true },
  { .name = "storage-c", .zone = "zone-c", .is_keeper = true },
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

static int64_t handed_tokens;

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
          "protocol", "h1", "tls", 0, "engine", "max_concurrency", 64,
          "kv_capacity", 202823, "chunk_tokens", CHUNK_TOKENS, "models",
          "name", "m", "limits", "max_header_bytes", 16384, "max_body_bytes",
          4194304, "header_timeout_ms", 3000, "idle_timeout_ms", 15000,
          "tenants", "name", "tenant-1", "api_keys", "key-1", "priority", 1,
          "rate_per_s", 184, "burst", 184));
}

static int
count_events (const char *text)
{
  int count = 0;

  while (text && (text = strstr (text, "id: ")))
    {
      text++;
      count++;
    }
  return count;
}

/* Sends a turn of the program through ENTRY and returns its status.  */
static int
send_turn (const struct rig_host *entry)
{
  static int number;
  char head[1024];
  struct rig_answer answer;
  int events;
  int status;

  number++;
  snprintf (head, sizeof head,
            "POST /turn/x HTTP/1.1\r\nHost: a.example\r\nCredential: key-1\r\n"
            "Attempt-Id: attempt-%02d\r\nProgram-Id: 3fa81c\r\n"
            "Session-Id: session-%02d\r\nProgram-Deadline-Ms: 60000\r\n"
            "Token-Budget: %d\r\nToken-Usage: 100,%d\r\nModel: m\r\n"
            "Prompt-Prefix: ab:90,%x:10\r\nDeadline-Ms: %d\r\n",
            number, number, BUDGET, TURN_TOKENS, number + 16, TURN_TIMEOUT_MS);
  answer = rig_call (entry->caller_port, head, "prompt", TURN_TIMEOUT_MS);
  events = answer.status == 200 ? count_events (answer.message.body) : 0;
  handed_tokens += (int64_t)events * CHUNK_TOKENS;
  rig_record (
      "attempt-%02d through %s: %d, %d tokens, %lld in sum of a budget "
      "of %d",
      number, entry->name, answer.status, events * CHUNK_TOKENS,
      (long long)handed_tokens, BUDGET);
  status = answer.status;
  rig_release (&answer.message);
  return status;
}

/* Has sub-agents of the program send turns through ENTRY until UNTIL_MS or a
   402.  */
static void
send_turns (const struct rig_host *entry, int64_t until_ms)
{
  for (int i = 0; i < MAX_TURNS && rig_now_ms () < until_ms; i++)
    {
      int status = send_turn (entry);

      if (status == 402)
        return;
      rig_sleep_ms (status == 200 ? 10 : 100);
    }
}

/* Two store machines are killed at the same moment and are back within about
   a second; the third one loses its disk meanwhile.  */
static void
spend_during_losses (void)
{
  int64_t killed_ms = rig_now_ms ();

  rig_kill_host (&keepers[1]);
  rig_kill_host (&keepers[2]);
  send_turns (&hosts[0], killed_ms + ALONE_MS);
  rig_kill_host (&keepers[0]);
  rig_wipe_host (&keepers[0]);
  while (rig_now_ms () < killed_ms + DOWN_MS)
    rig_sleep_ms (5);
  rig_start_host (&keepers[1]);
  rig_start_host (&keepers[2]);
  rig_sleep_ms (WIPED_MS);
  rig_start_host (&keepers[0]);
}

int
main (int argc, char **argv)
{
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
  if (rig_has_trouble ())
    spend_during_losses ();
  else
    send_turns (&hosts[0], rig_now_ms () + ALONE_MS);
  rig_sleep_ms (BACK_MS);
  send_turns (&hosts[1], rig_now_ms () + BACK_MS);
  for (size_t i = 0; i < rig_run_count (); i++)
    rig_record ("run: %s at %s", rig_run_at (i).attempt,
                rig_run_at (i).worker);
  if (handed_tokens == 0)
    rig_end (RIG_CANNOT_RUN);
  rig_record ("%lld tokens were handed out; the budget and the most of one "
              "turn are %d",
              (long long)handed_tokens, BUDGET + TURN_TOKENS);
  rig_end (handed_tokens > BUDGET + TURN_TOKENS ? RIG_BROKEN : RIG_HELD);
}
