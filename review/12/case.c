/* One endpoint of three answers one request in 50 with bytes that are no
   response of HTTP/1.1: a status line of another version.  It does so for 5.5
   s at a time, with as long a pause between.  Callers send calls and streams
   on kept connections. Seen are the connections that a host closes without an
   answer to a request that a sound endpoint has got, events of other streams,
   and hosts that end by themselves.  */
#include "rig.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum
{
  ENTRIES = 2,
  ENDPOINTS = 3, /* the first one is faulty, and the only one of its service */
  CALLERS = 60,
  WRONG_ONE_IN = 50,
  LEAVING_ONE_IN = 25, /* callers, before they have the answer */
  LEAVING_MS = 30,     /* after this at most */
  WORK_MS = 60,        /* of endpoints, before some answers, at most */
  EVENT_MS = 20,
  PART_MS = 4,   /* between the parts of an answer, at most */
  WRONG_MS = 40, /* from wrong bytes to the end of the connection */
  MAX_REQUESTS = 1000 * 1000,
  MAX_EVENTS = 9,
  MOST_LOST = 3, /* by the rule */
  SETTLE_MS = 4000,
  DURATION_MS = 88000,
  TROUBLE_MS = 5500, /* that the trouble lasts */
  PERIOD_MS = 11000, /* from its begin to the next one */
  LAST_MS = 4000,    /* for answers after that */
  DEADLINE_MS = 3000,
};

static const char *const zones[ENTRIES] = { "a", "b" };

static struct rig_host *entries[ENTRIES];
static struct rig_server endpoints[ENDPOINTS];
static char endpoint_ids[ENDPOINTS][16];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static bool is_over;
static int64_t begun_ms;
static unsigned last_request;
static bool is_at_sound[MAX_REQUESTS]; /* a sound endpoint has got it */
static int answers;                    /* of faulty endpoints, in trouble */
static int wrong;                      /* of these */
static int answered;
static int lost;
static int foreign;
static int crashes;

/* Returns a number below BELOW (xorshift).  */
static unsigned
draw (unsigned *seed, unsigned below)
{
  *seed ^= *seed << 13;
  *seed ^= *seed >> 17;
  *seed ^= *seed << 5;
  return *seed % below;
}

/* Sends TEXT in up to a few parts, as a slow endpoint does.  */
static bool
put (int fd, unsigned *seed, const char *text)
{
  size_t len = strlen (text);

  while (len > 0)
    {
      size_t part = draw (seed, 4) > 0 ? len : 1 + draw (seed, (unsigned)len);

      if (!rig_send (fd, text, part))
        return false;
      text += part;
      len -= part;
      if (len > 0)
        rig_sleep_ms (draw (seed, PART_MS));
    }
  return true;
}

static int
events_of (unsigned number)
{
  return 3 + (int)(number % (MAX_EVENTS - 2));
}

/* Whether an endpoint is to answer wrongly.  */
static bool
is_wrong_now (const struct rig_server *server)
{
  static unsigned seed = 1;
  bool is_wrong;

  if (server != &endpoints[0]
      || (rig_now_ms () - begun_ms) % PERIOD_MS >= TROUBLE_MS)
    return false;
  pthread_mutex_lock (&lock);
  is_wrong = rig_has_trouble && draw (&seed, WRONG_ONE_IN) == 0;
  answers++;
  wrong += is_wrong;
  pthread_mutex_unlock (&lock);
  return is_wrong;
}

static bool
send_stream (int fd, unsigned *seed, unsigned number, int from,
             bool has_chunks)
{
  char text[128];

  for (int i = from; i < events_of (number); i++)
    {
      char event[64];
      int len = snprintf (event, sizeof event, "id: %d\ndata: r%u.%d\n\n", i,
                          number, i);

      if (has_chunks)
        snprintf (text, sizeof text, "%x\r\n%s\r\n", (unsigned)len, event);
      if (!put (fd, seed, has_chunks ? text : event))
        return false;
      if (draw (seed, 5) == 0)
        rig_sleep_ms (draw (seed, EVENT_MS));
    }
  return has_chunks && put (fd, seed, "0\r\n\r\n");
}

static bool
serve (struct rig_server *server, struct rig_connection *connection,
       const struct rig_message *request)
{
  bool is_stream = strstr (request->target, "/turn/") != NULL;
  char id[64] = "";
  char last[32] = "-1";
  char head[512];
  unsigned number;
  unsigned seed;
  bool has_chunks;

  rig_header (request, "Attempt-Id", id, sizeof id);
  rig_header (request, "Last-Event-Id", last, sizeof last);
  number = (unsigned)atoi (id + 1);
  seed = number * 2654435761U + 1;
  if (server != &endpoints[0] && number < MAX_REQUESTS)
    is_at_sound[number] = true;
  if (draw (&seed, 6) == 0)
    rig_sleep_ms (draw (&seed, WORK_MS));
  if (is_wrong_now (server))
    {
      put (connection->fd, &seed, "HTTP/2 200 OK\r\n\r\n");
      rig_sleep_ms (draw (&seed, WRONG_MS));
      return false;
    }
  has_chunks = draw (&seed, 3) > 0;
  snprintf (
      head, sizeof head,
      "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: %s\r\n%s%s"
      "\r\n",
      id, server->id, is_stream ? "Content-Type: text/event-stream\r\n" : "",
      has_chunks ? "Transfer-Encoding: chunked\r\n" : "Connection: close\r\n");
  if (!put (connection->fd, &seed, head))
    return false;
  if (is_stream)
    return send_stream (connection->fd, &seed, number, atoi (last) + 1,
                        has_chunks);
  if (!has_chunks)
    {
      put (connection->fd, &seed, id);
      return false;
    }
  snprintf (head, sizeof head, "%zx\r\n%s\r\n0\r\n\r\n", strlen (id), id);
  return put (connection->fd, &seed, head);
}

/* Whether all that a caller got as the answer to request NUMBER belongs to
   it.  */
static bool
is_own (unsigned number, bool is_stream, const struct rig_message *response)
{
  char id[32];
  const char *at = response->body ? response->body : "";

  if (response->status != 200)
    return true;
  if (!is_stream)
    {
      snprintf (id, sizeof id, "r%u", number);
      return strncmp (id, at, strlen (at)) == 0;
    }
  snprintf (id, sizeof id, "data: r%u.", number);
  while ((at = strstr (at, "data: ")))
    {
      if (strstr (at, "\n\n") && strncmp (at, id, strlen (id)) != 0)
        return false;
      at++;
    }
  return true;
}

static void
count_answer (const struct rig_host *entry, unsigned number, bool is_stream,
              bool is_kept, const struct rig_message *response)
{
  bool is_foreign = !is_own (number, is_stream, response);
  bool is_lost = response->status == 0 && response->end == RIG_CUT && is_kept
                 && is_at_sound[number];

  if (is_foreign)
    rig_record ("caller: r%u got what is not its own from %s: %s", number,
                entry->name, response->body);
  if (is_lost)
    rig_record ("caller: r%u, which a sound endpoint has got, ends without an "
                "answer: %s has closed its kept connection",
                number, entry->name);
  pthread_mutex_lock (&lock);
  answered += response->status == 200 && response->end == RIG_COMPLETE;
  foreign += is_foreign;
  lost += is_lost;
  pthread_mutex_unlock (&lock);
}

/* Sends requests to a host, one after the other on one connection as long as
   that is open.  */
static void *
run_caller (void *data)
{
  int number_of_caller = (int)(intptr_t)data;
  unsigned seed = ((unsigned)number_of_caller + 1) * 2654435761U;
  const struct rig_host *entry = entries[number_of_caller % ENTRIES];
  struct rig_connection connection = { .fd = -1 };
  bool is_kept = false;

  while (!is_over)
    {
      struct rig_message response = { .status = 0 };
      bool is_stream = draw (&seed, 2) == 0;
      unsigned number;
      char value[64];

      if (connection.fd < 0)
        {
          int fd = rig_connect (entry->caller_port, 0, DEADLINE_MS + 1000);

          rig_sleep_ms (fd < 0 ? 50 : 0);
          if (fd < 0)
            continue;
          rig_connection_init (&connection, fd);
          is_kept = false;
        }
      pthread_mutex_lock (&lock);
      number = ++last_request;
      pthread_mutex_unlock (&lock);
      if (number >= MAX_REQUESTS)
        break;
      rig_printf (
          connection.fd,
          "POST /%s/%s/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: r%u"
          "\r\nDeadline-Ms: %d\r\nCredential: key1key1key1\r\n"
          "Content-Length: 2\r\n\r\nhi",
          number_of_caller % 4 < 2 ? "app" : "models",
          is_stream ? "turn" : "call", number, DEADLINE_MS);
      if (draw (&seed, LEAVING_ONE_IN) == 0)
        {
          rig_sleep_ms (draw (&seed, LEAVING_MS));
          rig_connection_close (&connection);
          continue;
        }
      rig_read_response (&connection, &response);
      count_answer (entry, number, is_stream, is_kept, &response);
      is_kept = true;
      if (response.end != RIG_COMPLETE || response.status == 0
          || rig_header (&response, "Connection", value, sizeof value))
        rig_connection_close (&connection);
      rig_message_release (&response);
    }
  return NULL;
}

static void
set_routes (void)
{
  rig_put (
      "config", "main",
      "{\"version\": 3, \"routes\": ["
      "{\"name\": \"app-turn\", \"hostname\": \"h.example\", \"path_prefix\": "
      "\"/app/turn/\", \"type\": \"streaming\", \"resumable\": true, "
      "\"timeout_ms\": 3000, \"slo_ms\": 200, \"gap_aim_ms\": 400, "
      "\"priority\": 1, \"backend\": \"app\", \"max_attempts\": 3, "
      "\"anonymous\": false},"
      "{\"name\": \"app-call\", \"hostname\": \"h.example\", \"path_prefix\": "
      "\"/app/call/\", \"type\": \"non_idempotent\", \"timeout_ms\": 2000, "
      "\"slo_ms\": 800, \"priority\": 2, \"backend\": \"app\", "
      "\"max_attempts\": 1, \"anonymous\": false},"
      "{\"name\": \"models-turn\", \"hostname\": \"h.example\", "
      "\"path_prefix\": \"/models/turn/\", \"type\": \"streaming\", "
      "\"resumable\": true, \"timeout_ms\": 3000, \"slo_ms\": 200, "
      "\"gap_aim_ms\": 400, \"priority\": 1, \"backend\": \"models\", "
      "\"max_attempts\": 3, \"anonymous\": false},"
      "{\"name\": \"models-call\", \"hostname\": \"h.example\", "
      "\"path_prefix\": \"/models/call/\", \"type\": \"non_idempotent\", "
      "\"timeout_ms\": 2000, \"slo_ms\": 800, \"priority\": 2, \"backend\": "
      "\"models\", \"max_attempts\": 1, \"anonymous\": false}], "
      "\"services\": [{\"name\": \"app\", \"health_path\": \"/healthz\", "
      "\"max_connections\": 370, \"protocol\": \"h1\", \"tls\": false, "
      "\"engine\": {\"chunk_tokens\": 1}}, "
      "{\"name\": \"models\", \"health_path\": \"/healthz\", "
      "\"max_connections\": 370, \"protocol\": \"h1\", \"tls\": false, "
      "\"engine\": {\"chunk_tokens\": 1}}], "
      "\"limits\": {\"max_header_bytes\": 16384, \"max_body_bytes\": 4194304, "
      "\"header_timeout_ms\": 3000, \"idle_timeout_ms\": 15000}, "
      "\"tenants\": [{\"name\": \"tenant-1\", \"api_keys\": "
      "[\"key1key1key1\"], \"rate_per_s\": 100000, \"burst\": 100000}]}");
}

/* Starts hosts again that have ended by themselves.  */
static void
watch_hosts (void)
{
  for (int i = 0; i < ENTRIES; i++)
    {
      int status;

      if (waitpid (entries[i]->pid, &status, WNOHANG) <= 0)
        continue;
      crashes++;
      rig_record ("%s has ended by itself: %s %d", entries[i]->name,
                  WIFSIGNALED (status) ? "signal" : "status",
                  WIFSIGNALED (status) ? WTERMSIG (status)
                                       : WEXITSTATUS (status));
      rig_sleep_ms (200);
      rig_start_host (entries[i]);
    }
}

int
main (int argc, char **argv)
{
  int64_t until_ms;

  if (argc < 2)
    return RIG_COULD_NOT;
  rig_begin (argv[1]);
  rig_start_store ();
  set_routes ();
  for (int i = 0; i < ENDPOINTS; i++)
    {
      snprintf (endpoint_ids[i], sizeof endpoint_ids[i], "i-%d", i);
      endpoints[i] = (struct rig_server){ .id = endpoint_ids[i],
                                          .service = i == 0 ? "app" : "models",
                                          .zone = zones[i % ENTRIES],
                                          .slots = 64,
                                          .handle = serve,
                                          .version = "1" };
      rig_start_server (&endpoints[i]);
    }
  for (int i = 0; i < ENTRIES; i++)
    {
      char name[32];

      snprintf (name, sizeof name, "entry-%d", i);
      entries[i] = rig_add_host (name, zones[i], false, 1, "");
      rig_start_host (entries[i]);
    }
  for (int i = 0; i < ENTRIES; i++)
    rig_await_ready (entries[i], 20000);
  rig_sleep_ms (SETTLE_MS);
  begun_ms = rig_now_ms ();
  rig_record ("the traffic begins");
  for (int i = 0; i < CALLERS; i++)
    rig_thread (run_caller, (void *)(intptr_t)i);
  until_ms = begun_ms + DURATION_MS;
  while (rig_now_ms () < until_ms && (lost <= MOST_LOST || foreign == 0))
    {
      rig_sleep_ms (50);
      watch_hosts ();
    }
  is_over = true;
  rig_sleep_ms (LAST_MS);
  rig_record ("%u requests, %d answered with success; %d of %d answers of the "
              "faulty endpoints were wrong",
              last_request, answered, wrong, answers);
  rig_record ("%d requests at sound endpoints ended without an answer, %d "
              "answers had what belongs to others, hosts ended %d times",
              lost, foreign, crashes);
  rig_finish (lost > MOST_LOST || foreign > 0 ? RIG_BROKEN : RIG_HELD);
}
