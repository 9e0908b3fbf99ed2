/* Guards against calls that come late in the grace of a planned stop, on
   connections that were open before, and are passed on and then cut: each call
   gets a whole answer, or is refused and never runs.

   Usage: planned-stop RECORD  */
#include "rig.h"
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  KEEPERS = 4,
  SERVERS = 4,
  CALLS = 16,
  FIRST_MS = 200,    /* of the first call, after the signal */
  INTERVAL_MS = 450, /* to the last one, late in the grace of 8 s */
  WORK_MS = 4000,
  CONTACT_MS = 3000,
};

struct call
{
  int number;
  int fd;
  int status; /* 0: no answer */
  bool is_whole;
  bool is_done;
};

static struct rig_server servers[SERVERS];
static char ids[SERVERS][16];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static bool has_run[CALLS];

static bool
handle_call (struct rig_server *server, struct rig_connection *connection,
             const struct rig_message *request)
{
  char id[64] = "";
  int number = -1;

  rig_header (request, "Attempt-Id", id, sizeof id);
  sscanf (id, "c%d", &number);
  pthread_mutex_lock (&lock);
  if (number >= 0 && number < CALLS)
    has_run[number] = true;
  pthread_mutex_unlock (&lock);
  if (number >= 0)
    rig_sleep_ms (WORK_MS);
  return rig_printf (connection->fd,
                     "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: "
                     "1.1.1\r\nContent-Length: 2\r\n\r\nok",
                     id);
}

/* Sends a request on a kept connection and reads the answer.  */
static void
exchange (struct call *call, const char *id)
{
  struct rig_connection connection;
  struct rig_message response = { .status = 0 };

  rig_connection_init (&connection, call->fd);
  if (rig_printf (call->fd,
                  "POST /call/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: "
                  "%s\r\nDeadline-Ms: 6000\r\nCredential: key0key0key0\r\n"
                  "Content-Length: 4\r\n\r\ncall",
                  id)
      && rig_read_response (&connection, &response))
    {
      call->status = response.status;
      call->is_whole = response.end == RIG_COMPLETE;
    }
  rig_message_release (&response);
}

static void *
run_call (void *data)
{
  struct call *call = data;
  char id[32];

  call->status = 0;
  snprintf (id, sizeof id, "c%d", call->number);
  exchange (call, id);
  rig_record ("call %d: status %d, %s", call->number, call->status,
              call->is_whole ? "whole" : "no whole answer");
  call->is_done = true;
  return NULL;
}

int
main (int argc, char **argv)
{
  static struct call calls[CALLS];
  static const char *const zones[] = { "a", "b", "c", "d" };
  struct rig_host *entry;
  struct rig_host *keepers[KEEPERS];
  int broken = 0;

  if (argc < 2)
    return RIG_COULD_NOT;
  rig_begin (argv[1]);
  rig_start_store ();
  rig_put ("config", "main",
           "{\"version\": 3, \"routes\": [{\"name\": \"calls\", \"hostname\": "
           "\"h.example\", \"path_prefix\": \"/call/\", \"type\": "
           "\"non_idempotent\", \"timeout_ms\": 6000, \"slo_ms\": 1200, "
           "\"priority\": 0, \"backend\": \"app\", \"max_attempts\": 1, "
           "\"retained\": false, \"anonymous\": false, \"session_affinity\": "
           "false, \"resumable\": false}], \"services\": [{\"name\": \"app\", "
           "\"health_path\": \"/healthz\", \"max_connections\": 110, "
           "\"protocol\": \"h1\", \"tls\": false}], "
           "\"limits\": {\"max_header_bytes\": 16384, \"max_body_bytes\": "
           "4194304, \"header_timeout_ms\": 3000, \"idle_timeout_ms\": 15000},"
           " \"tenants\": [{\"name\": \"tenant\", \"api_keys\": "
           "[\"key0key0key0\"], \"rate_per_s\": 1000, \"burst\": 1000}]}");
  for (int i = 0; i < SERVERS; i++)
    {
      snprintf (ids[i], sizeof ids[i], "i-app-%d", i);
      servers[i] = (struct rig_server){ .id = ids[i],
                                        .service = "app",
                                        .zone = "a",
                                        .version = "v1",
                                        .slots = 16,
                                        .handle = handle_call };
      rig_start_server (&servers[i]);
    }
  entry = rig_add_host ("entry-1", "a", false, 1, "");
  for (int i = 0; i < KEEPERS; i++)
    {
      char name[32];

      snprintf (name, sizeof name, "keeper-%d", i + 1);
      keepers[i] = rig_add_host (name, zones[i], true, 1, "");
      rig_start_host (keepers[i]);
    }
  rig_start_host (entry);
  rig_await_ready (entry, 20000);
  rig_sleep_ms (CONTACT_MS + 500);
  for (int i = 0; i < CALLS; i++)
    {
      calls[i] = (struct call){ .number = i };
      calls[i].fd = rig_connect (entry->caller_port, 0, 9000);
      if (calls[i].fd < 0)
        rig_finish (RIG_COULD_NOT);
      exchange (&calls[i], "warm");
      if (calls[i].status != 200)
        rig_finish (RIG_COULD_NOT);
    }
  if (rig_has_trouble)
    rig_signal_host (entry, SIGTERM);
  rig_sleep_ms (FIRST_MS);
  for (int i = 0; i < CALLS; i++)
    {
      rig_thread (run_call, &calls[i]);
      rig_sleep_ms (INTERVAL_MS);
    }
  rig_sleep_ms (WORK_MS + 2000);
  for (int i = 0; i < CALLS; i++)
    {
      bool has_answer = calls[i].is_done && calls[i].is_whole;
      bool is_refusal = calls[i].status == 503 || calls[i].status == 429;
      /* A connection that was closed before the call was read is no answer,
         and the call has not run. */
      bool is_ok = has_answer ? !(is_refusal && has_run[i]) : !has_run[i];

      if (is_ok)
        continue;
      broken++;
      rig_record ("call %d: status %d, %s", i, calls[i].status,
                  has_run[i] ? "has run" : "has not run");
    }
  rig_finish (broken > 0 ? RIG_BROKEN : RIG_HELD);
}
