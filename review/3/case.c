/* Requests that crash the endpoints which run them, after their streams have
   begun, and that come again.  Each attempt must get a final answer by the
   time-out of its route.  */
#include "rig.h"
#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  SERVERS = 12,
  REQUESTS = 10,
  ATTEMPTS = 3,   /* at each request, one after the other */
  RETRY_MS = 100, /* after the end of an attempt */
  REQUEST_INTERVAL_MS = 1500,
  EVENTS = 40,
  EVENT_INTERVAL_MS = 60,
  CRASH_AFTER_EVENTS = 9, /* of each run */
  DOWN_MS = 2500,
  DEADLINE_MS = 5000,
  TIMEOUT_MS = 3000, /* of the route */
  SLACK_MS = 500,
  /* The longest of two seconds, four times the objective and eight times the
     pause that the route declares. */
  ABANDON_MS = 3200,
};

/* What a caller has seen of an attempt. */
struct call
{
  int number;
  int attempt;
  int port;
  bool has_end;      /* complete, refused or cut */
  int64_t end_ms;    /* after its start */
  int64_t silent_ms; /* when it was abandoned, since its last byte */
  char status[16];
  int events;
  bool is_done;
};

static struct rig_server servers[SERVERS];
static char ids[SERVERS][16];

static void *
restart_later (void *data)
{
  struct rig_server *server = data;

  rig_sleep_ms (DOWN_MS);
  rig_restart_server (server);
  return NULL;
}

static void
crash (struct rig_server *server, const char *id, int event)
{
  if (!rig_crash_server (server))
    return;
  rig_record ("endpoint %s: crashes after event %d of attempt %s", server->id,
              event, id);
  rig_thread (restart_later, server);
}

/* Sends the events after the one that the request names.  */
static bool
handle_turn (struct rig_server *server, struct rig_connection *connection,
             const struct rig_message *request)
{
  bool is_poison = request->body && strstr (request->body, "poison");
  char id[64] = "";
  char after[32] = "0";
  int first;

  rig_header (request, "Attempt-Id", id, sizeof id);
  rig_header (request, "Last-Event-Id", after, sizeof after);
  first = atoi (after) + 1;
  rig_record ("endpoint %s: attempt %s, after event %s", server->id, id,
              after);
  if (!rig_printf (connection->fd,
                   "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: "
                   "1.1.1\r\nContent-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n",
                   id))
    return false;
  for (int event = first; event <= EVENTS; event++)
    {
      char text[64];
      int len = snprintf (text, sizeof text, "id: %d\ndata: t%d\n\n", event,
                          event);

      rig_sleep_ms (EVENT_INTERVAL_MS);
      if (!rig_printf (connection->fd, "%x\r\n%s\r\n", (unsigned)len, text))
        return false;
      if (is_poison && event == first + CRASH_AFTER_EVENTS - 1)
        {
          rig_sleep_ms (EVENT_INTERVAL_MS / 2);
          crash (server, id, event);
          return false;
        }
    }
  return rig_send (connection->fd, "0\r\n\r\n", 5);
}

/* Reads until the answer ends, or for so long that a caller leaves.  */
static void
read_answer (struct call *call, int fd, int64_t begun_ms)
{
  char bytes[16 * 1024];
  size_t len = 0;
  int64_t heard_ms = begun_ms;

  while (len < sizeof bytes - 1)
    {
      ssize_t got = recv (fd, bytes + len, sizeof bytes - 1 - len, 0);

      call->silent_ms = rig_now_ms () - heard_ms;
      call->end_ms = rig_now_ms () - begun_ms;
      if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        {
          if (call->silent_ms >= ABANDON_MS || call->end_ms >= DEADLINE_MS)
            break;
          continue;
        }
      if (got > 0)
        len += (size_t)got;
      bytes[len] = '\0';
      heard_ms = rig_now_ms ();
      /* A refusal has a length, and its body is short. */
      call->has_end = got <= 0 || strstr (bytes, "\r\n0\r\n\r\n")
                      || strstr (bytes, "Content-Length");
      if (call->has_end)
        break;
    }
  bytes[len] = '\0';
  snprintf (call->status, sizeof call->status, "%.12s", bytes);
  for (const char *at = bytes; (at = strstr (at, "\ndata: ")); at++)
    call->events++;
}

static void
run_attempt (struct call *call)
{
  int64_t begun_ms = rig_now_ms ();
  int fd = rig_connect (call->port, 0, 50);

  if (fd < 0
      || !rig_printf (fd,
                      "POST /turn/%d HTTP/1.1\r\nHost: h.example\r\n"
                      "Attempt-Id: a%d.%d\r\nDeadline-Ms: %d\r\nCredential: "
                      "key0key0key0\r\nModel: m\r\nToken-Usage: 10,120\r\n"
                      "Prompt-Prefix: 5c1e07a%d:10\r\nContent-Length: "
                      "%d\r\n\r\n%s %02d",
                      call->number, call->number, call->attempt, DEADLINE_MS,
                      call->number, rig_has_trouble ? 9 : 8,
                      rig_has_trouble ? "poison" : "sound", call->number))
    rig_finish (RIG_COULD_NOT);
  rig_record ("caller %d: attempt a%d.%d begins", call->number, call->number,
              call->attempt);
  read_answer (call, fd, begun_ms);
  if (call->has_end)
    rig_record ("caller %d: attempt a%d.%d: %s, %d events, its end after %lld "
                "ms",
                call->number, call->number, call->attempt, call->status,
                call->events, (long long)call->end_ms);
  else
    rig_record ("caller %d: attempt a%d.%d: %s, %d events, no end; leaves "
                "after %lld ms, %lld of them without a byte",
                call->number, call->number, call->attempt, call->status,
                call->events, (long long)call->end_ms,
                (long long)call->silent_ms);
  close (fd);
  call->is_done = true;
}

/* Makes the attempts at a request one after the other.  */
static void *
run_request (void *data)
{
  struct call *calls = data;

  for (int i = 0; i < ATTEMPTS; i++)
    {
      run_attempt (&calls[i]);
      rig_sleep_ms (RETRY_MS);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  static struct call calls[REQUESTS][ATTEMPTS];
  static const char *const zones[] = { "a", "b", "c", "d" };
  struct rig_host *entry;
  struct rig_host *keepers[4];
  int late = 0;
  int unanswered = 0;

  if (argc < 2)
    return RIG_COULD_NOT;
  rig_begin (argv[1]);
  rig_start_store ();
  rig_put ("config", "main",
           "{\"version\": 3, \"routes\": [{\"name\": \"turns\", \"hostname\": "
           "\"h.example\", \"path_prefix\": \"/turn/\", \"type\": "
           "\"streaming\", \"timeout_ms\": 3000, \"slo_ms\": 200, "
           "\"priority\": 0, \"backend\": \"models\", \"max_attempts\": 1, "
           "\"retained\": false, \"anonymous\": false, \"session_affinity\": "
           "true, \"resumable\": true, \"gap_aim_ms\": 400}], \"services\": "
           "[{\"name\": \"models\", \"health_path\": \"/healthz\", "
           "\"max_connections\": 370, \"protocol\": \"h1\", \"tls\": false, "
           "\"engine\": {\"max_concurrency\": 64, \"chunk_tokens\": 3}}], "
           "\"limits\": {\"max_header_bytes\": 16384, \"max_body_bytes\": "
           "4194304, \"header_timeout_ms\": 3000, \"idle_timeout_ms\": 15000},"
           " \"tenants\": [{\"name\": \"tenant\", \"api_keys\": "
           "[\"key0key0key0\"], \"rate_per_s\": 100, \"burst\": 100}]}");
  for (int i = 0; i < SERVERS; i++)
    {
      snprintf (ids[i], sizeof ids[i], "i-engine-%d", i);
      servers[i] = (struct rig_server){ .id = ids[i],
                                        .service = "models",
                                        .zone = "a",
                                        .version = "v1",
                                        .slots = 64,
                                        .handle = handle_turn };
      rig_start_server (&servers[i]);
    }
  entry = rig_add_host ("entry-1", "a", false, 1, "");
  for (int i = 0; i < 4; i++)
    {
      char name[32];

      snprintf (name, sizeof name, "keeper-%d", i + 1);
      keepers[i] = rig_add_host (name, zones[i], true, 1, "");
    }
  rig_start_host (entry);
  for (int i = 0; i < 4; i++)
    rig_start_host (keepers[i]);
  rig_await_ready (entry, 20000);
  /* For the machine to be in touch. */
  rig_sleep_ms (3500);

  for (int i = 0; i < REQUESTS; i++)
    {
      for (int k = 0; k < ATTEMPTS; k++)
        calls[i][k] = (struct call){ .number = i,
                                     .attempt = k + 1,
                                     .port = entry->caller_port };
      rig_thread (run_request, calls[i]);
      rig_sleep_ms (REQUEST_INTERVAL_MS);
    }
  rig_sleep_ms (ATTEMPTS * TIMEOUT_MS + ABANDON_MS);
  for (int i = 0; i < REQUESTS * ATTEMPTS; i++)
    {
      const struct call *call = &calls[i / ATTEMPTS][i % ATTEMPTS];

      if (!call->is_done)
        rig_finish (RIG_COULD_NOT);
      late += call->end_ms > TIMEOUT_MS;
      unanswered += call->end_ms > TIMEOUT_MS + SLACK_MS;
    }
  rig_record ("%d attempts last longer than %d ms, %d of them have no final "
              "answer %d ms later",
              late, TIMEOUT_MS, unanswered, SLACK_MS);
  rig_finish (unanswered >= 8 && 4 * unanswered > late ? RIG_BROKEN
                                                       : RIG_HELD);
}
