/* Guards against requests that crash the endpoints which run them being sent
   to endpoints again and again: nine entry hosts with few requests each, four
   keepers and twelve endpoints, as separate processes and threads.  A call
   crashes three endpoints; then something happens to the fleet, and the same
   call comes again at each host in turn.  It may be sent three times more, and
   no sound call may be refused because it ran beside a crash.

   Usage: crashing-requests RECORD calm|rolling|power|freeze|join  */
#include "rig.h"
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  ENTRIES = 9,
  KEEPERS = 4,
  SERVERS = 12,
  CRASHES = 3,
  REPEATS = 18,
  MAX_SENDS = 3,     /* after the third crash, as the users allow */
  CONTACT_MS = 3000, /* from which on a host has to know */
  REPEAT_MS = 500,   /* between two hosts */
  DOWN_MS = 2500,    /* of an endpoint, after a crash */
  WORK_MS = 300,     /* of a sound call */
  SOUND_CALLERS = 9, /* one a host */
  SOUND_PAUSE_MS = 150,
  SOUND_ATTEMPTS = 6, /* of a sound call, until it is answered */
  START_MS = 20000,
};

struct caller
{
  struct rig_host *entry;
  int number;
  int calls;
  int failed; /* calls without an answer after all attempts */
};

static struct rig_server servers[SERVERS];
static char ids[SERVERS][16];
static struct rig_host *entries[ENTRIES];
static struct rig_host *keepers[KEEPERS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int crashes;
static volatile bool is_over;

static void *
restart_later (void *data)
{
  struct rig_server *server = data;

  rig_sleep_ms (DOWN_MS);
  rig_restart_server (server);
  return NULL;
}

static bool
handle_call (struct rig_server *server, struct rig_connection *connection,
             const struct rig_message *request)
{
  char id[64] = "";

  rig_header (request, "Attempt-Id", id, sizeof id);
  if (request->body && strstr (request->body, "poison"))
    {
      rig_sleep_ms (20);
      if (!rig_crash_server (server))
        return false;
      pthread_mutex_lock (&lock);
      crashes++;
      rig_record ("endpoint %s: crash %d, by attempt %s", server->id, crashes,
                  id);
      pthread_mutex_unlock (&lock);
      rig_thread (restart_later, server);
      return false;
    }
  rig_sleep_ms (WORK_MS);
  return rig_printf (connection->fd,
                     "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: "
                     "1.1.1\r\nContent-Length: 2\r\n\r\nok",
                     id);
}

static int
count_crashes (void)
{
  int count;

  pthread_mutex_lock (&lock);
  count = crashes;
  pthread_mutex_unlock (&lock);
  return count;
}

/* Sends a call with BODY to ENTRY.  Returns the status, 0 without one.  */
static int
call (const struct rig_host *entry, const char *id, const char *body)
{
  struct rig_connection connection;
  struct rig_message response = { .status = 0 };
  int fd = rig_connect (entry->caller_port, 0, 6000);
  int status = 0;

  if (fd < 0)
    return 0;
  rig_connection_init (&connection, fd);
  if (rig_printf (fd,
                  "POST /call/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: "
                  "%s\r\nDeadline-Ms: 5000\r\nCredential: key0key0key0\r\n"
                  "Content-Length: %zu\r\n\r\n%s",
                  id, strlen (body), body)
      && rig_read_response (&connection, &response))
    status = response.status;
  rig_message_release (&response);
  rig_connection_close (&connection);
  return status;
}

/* Makes sound calls, of which every other one has the same content.  */
static void *
run_sound_calls (void *data)
{
  struct caller *caller = data;

  while (!is_over)
    {
      char body[64];
      int status = 0;
      int at = caller->number;

      if (caller->calls % 2)
        snprintf (body, sizeof body, "sound of %d", caller->number);
      else
        snprintf (body, sizeof body, "sound %d.%d", caller->number,
                  caller->calls);
      for (int i = 0; i < SOUND_ATTEMPTS && status != 200 && !is_over; i++)
        {
          char id[64];

          snprintf (id, sizeof id, "s%d.%d.%d", caller->number, caller->calls,
                    i);
          status = call (entries[at], id, body);
          at = (at + 1) % ENTRIES;
          if (status != 200)
            rig_sleep_ms (300);
        }
      caller->calls++;
      if (status != 200 && !is_over)
        {
          caller->failed++;
          rig_record ("a sound call of caller %d failed: status %d",
                      caller->number, status);
        }
      rig_sleep_ms (SOUND_PAUSE_MS);
    }
  return NULL;
}

static void
call_poison (const struct rig_host *entry, int number)
{
  char id[64];
  int status;

  snprintf (id, sizeof id, "p%d", number);
  status = call (entry, id, "poison");
  rig_record ("attempt %s at %s: status %d", id, entry->name, status);
}

static void
configure (void)
{
  rig_put ("config", "main",
           "{\"version\": 3, \"routes\": [{\"name\": \"calls\", \"hostname\": "
           "\"h.example\", \"path_prefix\": \"/call/\", \"type\": "
           "\"non_idempotent\", \"timeout_ms\": 5000, \"slo_ms\": 1200, "
           "\"priority\": 0, \"backend\": \"app\", \"max_attempts\": 1, "
           "\"retained\": false, \"anonymous\": false, \"session_affinity\": "
           "false, \"resumable\": false}], \"services\": [{\"name\": \"app\", "
           "\"health_path\": \"/healthz\", \"max_connections\": 110, "
           "\"protocol\": \"h1\", \"tls\": false}], "
           "\"limits\": {\"max_header_bytes\": 16384, \"max_body_bytes\": "
           "4194304, \"header_timeout_ms\": 3000, \"idle_timeout_ms\": 15000},"
           " \"tenants\": [{\"name\": \"tenant\", \"api_keys\": "
           "[\"key0key0key0\"], \"rate_per_s\": 1000, \"burst\": 1000}]}");
}

static void
start_fleet (void)
{
  static const char *const zones[] = { "a", "b", "c", "d" };

  for (int i = 0; i < SERVERS; i++)
    {
      snprintf (ids[i], sizeof ids[i], "i-app-%d", i);
      servers[i] = (struct rig_server){ .id = ids[i],
                                        .service = "app",
                                        .zone = zones[i % 4],
                                        .version = "v1",
                                        .slots = 16,
                                        .handle = handle_call };
      rig_start_server (&servers[i]);
    }
  for (int i = 0; i < ENTRIES; i++)
    {
      char name[32];

      snprintf (name, sizeof name, "entry-%d", i + 1);
      entries[i] = rig_add_host (name, zones[i % 4], false, 1, "");
    }
  for (int i = 0; i < KEEPERS; i++)
    {
      char name[32];

      snprintf (name, sizeof name, "keeper-%d", i + 1);
      keepers[i] = rig_add_host (name, zones[i], true, 1, "");
    }
  /* The last entry host joins later in "join". */
  for (int i = 0; i < KEEPERS; i++)
    rig_start_host (keepers[i]);
}

static void
await_entries (int count)
{
  for (int i = 0; i < count; i++)
    rig_await_ready (entries[i], START_MS);
  rig_sleep_ms (CONTACT_MS + 500);
}

static void
restart_one_by_one (void)
{
  for (int i = 0; i < ENTRIES; i++)
    {
      rig_signal_host (entries[i], SIGKILL);
      rig_start_host (entries[i]);
      rig_await_ready (entries[i], START_MS);
    }
}

static void
kill_and_restart_all (void)
{
  for (int i = 0; i < ENTRIES; i++)
    rig_signal_host (entries[i], SIGKILL);
  for (int i = 0; i < KEEPERS; i++)
    rig_signal_host (keepers[i], SIGKILL);
  for (int i = 0; i < KEEPERS; i++)
    rig_start_host (keepers[i]);
  for (int i = 0; i < ENTRIES; i++)
    rig_start_host (entries[i]);
}

/* Stops COUNT entry hosts from the second one on, or wakes them.  */
static void
freeze (int count, bool is_frozen)
{
  for (int i = 1; i <= count; i++)
    rig_signal_host (entries[i], is_frozen ? SIGSTOP : SIGCONT);
}

int
main (int argc, char **argv)
{
  static struct caller callers[SOUND_CALLERS];
  const char *mode = argc > 2 ? argv[2] : "calm";
  bool joins = strcmp (mode, "join") == 0;
  bool freezes = strcmp (mode, "freeze") == 0;
  int started = joins ? ENTRIES - 3 : ENTRIES;
  int sends;
  int failed = 0;
  int calls = 0;

  if (argc < 2)
    return RIG_COULD_NOT;
  rig_begin (argv[1]);
  rig_start_store ();
  configure ();
  start_fleet ();
  for (int i = 0; i < started; i++)
    rig_start_host (entries[i]);
  await_entries (started);
  for (int i = 0; i < SOUND_CALLERS; i++)
    {
      callers[i].number = i % started;
      rig_thread (run_sound_calls, &callers[i]);
    }
  rig_sleep_ms (1000);
  if (freezes)
    freeze (5, true);
  for (int i = 0; i < 2 * CRASHES && count_crashes () < CRASHES; i++)
    {
      call_poison (entries[freezes ? 0 : i % started], i);
      rig_sleep_ms (1200);
    }
  if (count_crashes () < CRASHES)
    rig_finish (RIG_COULD_NOT);
  rig_record ("%d crashes; now %s", count_crashes (), mode);
  if (freezes)
    freeze (5, false);
  if (strcmp (mode, "rolling") == 0)
    restart_one_by_one ();
  if (strcmp (mode, "power") == 0)
    kill_and_restart_all ();
  for (int i = started; i < ENTRIES; i++)
    rig_start_host (entries[i]);
  await_entries (ENTRIES);
  sends = count_crashes ();
  for (int i = 0; i < REPEATS; i++)
    {
      call_poison (entries[i % ENTRIES], 100 + i);
      rig_sleep_ms (REPEAT_MS);
    }
  sends = count_crashes () - sends;
  rig_sleep_ms (DOWN_MS);
  is_over = true;
  rig_sleep_ms (1000);
  for (int i = 0; i < SOUND_CALLERS; i++)
    {
      calls += callers[i].calls;
      failed += callers[i].failed;
    }
  rig_record ("%s: the request was sent %d times after the third crash; %d "
              "sound calls, %d of them failed",
              mode, sends, calls, failed);
  fprintf (stderr,
           "%s: %d sends after the third crash, %d of %d sound calls "
           "failed\n",
           mode, sends, failed, calls);
  rig_finish (sends > MAX_SENDS || failed > 0 ? RIG_BROKEN : RIG_HELD);
}
