/* One endpoint of three answers one request in 63 with bytes that are no
   response of HTTP/1.1: a status line of another version.  This goes on for
   less than 5.5 s.  The next two
   requests to it, of two customers, are written to one connection at the same
   time.  The endpoint gets one inside the body of the other.  */
#include "rig.h"
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum
{
  ROUNDS = 3, /* within 5.5 s */
  SHORT_CALLERS = 4,
  SHORT_CALLS = 15, /* of each caller in a round */
  SHORT_BYTES = 20,
  LONG_CALLERS = 2,
  LONG_BYTES = 3 * 1000 * 1000, /* below max_body_bytes */
  RECEIVE_BUFFER = 64 * 1024,   /* of the endpoint */
  PART_BYTES = 32 * 1024,       /* that it reads at a time, and how often */
  PART_MS = 15,
  MAX_HEAD_BYTES = 16 * 1024,
  DEADLINE_MS = 6000,
  SETTLE_MS = 3500, /* until the host is in touch */
  MAX_STATUS = 600,
};

static const char *const keys[] = { "key1key1key1", "key2key2key2" };

static struct rig_host *entry;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int connections;
static int running;              /* callers */
static int answers;              /* of the endpoint */
static int wrong;                /* of these, bytes that are no response */
static int wrong_due;            /* to be given to short requests */
static int changed;              /* requests that ran with another body */
static int strange;              /* heads that are none */
static int statuses[MAX_STATUS]; /* that callers got */

/* A connection to the endpoint. */
struct served
{
  int fd;
  int number;
  char *buffer;
  size_t len;
};

static bool
read_part (struct served *served)
{
  ssize_t got;

  served->buffer = realloc (served->buffer, served->len + PART_BYTES + 1);
  got = recv (served->fd, served->buffer + served->len, PART_BYTES, 0);
  if (got <= 0)
    return false;
  served->len += (size_t)got;
  served->buffer[served->len] = '\0';
  return true;
}

static void
consume (struct served *served, size_t len)
{
  memmove (served->buffer, served->buffer + len, served->len - len);
  served->len -= len;
  served->buffer[served->len] = '\0';
}

/* Reads the head of a request.  Returns false if there is none.  */
static bool
read_head (struct served *served, struct rig_message *request)
{
  char *end;

  while (!served->buffer || !(end = strstr (served->buffer, "\r\n\r\n")))
    {
      if (served->buffer && served->len > MAX_HEAD_BYTES)
        {
          rig_record ("endpoint, connection %d: no head where one is due: "
                      "%.40s",
                      served->number, served->buffer);
          strange++;
          return false;
        }
      if (!read_part (served))
        return false;
    }
  snprintf (request->head, sizeof request->head, "%.*s",
            (int)(end - served->buffer), served->buffer);
  consume (served, (size_t)(end - served->buffer) + 4);
  return true;
}

/* Writes TEXT, of which LEN bytes count, in one line to the record.  */
static void
record_changed (const struct served *served, const char *id, const char *text,
                size_t len)
{
  char line[256];

  snprintf (line, sizeof line, "%.*s", (int)len, text);
  for (char *at = line; *at; at++)
    if (*at == '\r' || *at == '\n')
      *at = '|';
  rig_record ("endpoint, connection %d: runs %s with other bytes in its body: "
              "%s",
              served->number, id, line);
}

/* Reads a body of LEN bytes, each of which is the first byte of ID as the
   caller sent it.  Returns false if it is cut.  */
static bool
read_body (struct served *served, const char *id, size_t len)
{
  bool is_long = len > SHORT_BYTES;
  bool is_changed = false;

  while (len > 0)
    {
      size_t part = served->len < len ? served->len : len;

      for (size_t i = 0; i < part && !is_changed; i++)
        if (served->buffer[i] != id[0])
          {
            is_changed = true;
            record_changed (served, id, served->buffer + i, part - i);
          }
      if (part > 0)
        consume (served, part);
      len -= part;
      if (len == 0)
        break;
      if (is_long)
        rig_sleep_ms (PART_MS);
      if (!read_part (served))
        {
          rig_record ("endpoint, connection %d: %s is cut, %zu bytes missing",
                      served->number, id, len);
          return false;
        }
    }
  pthread_mutex_lock (&lock);
  changed += is_changed;
  pthread_mutex_unlock (&lock);
  return true;
}

/* Whether the answer to a request of LEN bytes is to be wrong.  */
static bool
takes_wrong_answer (size_t len)
{
  bool is_wrong;

  pthread_mutex_lock (&lock);
  is_wrong = wrong_due > 0 && len <= SHORT_BYTES;
  wrong_due -= is_wrong;
  wrong += is_wrong;
  answers++;
  pthread_mutex_unlock (&lock);
  return is_wrong;
}

/* Answers the requests on a connection one after the other.  */
static void *
serve (void *data)
{
  struct served *served = data;
  struct rig_message *request = calloc (1, sizeof *request);
  char id[64];
  char length[32];

  while (read_head (served, request))
    {
      size_t len;

      if (!rig_header (request, "Attempt-Id", id, sizeof id)
          || !rig_header (request, "Content-Length", length, sizeof length))
        {
          rig_record ("endpoint, connection %d: no request of a caller: %.80s",
                      served->number, request->head);
          strange++;
          break;
        }
      len = strtoul (length, NULL, 10);
      if (!read_body (served, id, len))
        break;
      if (takes_wrong_answer (len))
        {
          rig_record ("endpoint, connection %d: wrong bytes for %s",
                      served->number, id);
          rig_printf (served->fd, "HTTP/2 200 OK\r\n\r\n");
        }
      else if (!rig_printf (served->fd,
                            "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
                            "Server-Stamp: s\r\nContent-Length: 2\r\n\r\nok",
                            id))
        break;
    }
  close (served->fd);
  free (served->buffer);
  free (served);
  free (request);
  return NULL;
}

static void *
accept_connections (void *data)
{
  int listener = (int)(intptr_t)data;
  int fd;

  while ((fd = accept (listener, NULL, NULL)) >= 0)
    {
      struct served *served = calloc (1, sizeof *served);

      *served = (struct served){ .fd = fd, .number = ++connections };
      rig_thread (serve, served);
    }
  return NULL;
}

/* Answers as one of the other endpoints, whose service no route names.  */
static bool
answer_at_once (struct rig_server *server, struct rig_connection *connection,
                const struct rig_message *request)
{
  rig_record ("endpoint %s: got a request", server->id);
  return rig_printf (connection->fd,
                     "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
}

/* Returns the port on which the endpoint listens.  */
static int
start_endpoint (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int buffer = RECEIVE_BUFFER;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || getsockname (fd, (struct sockaddr *)&address, &len) != 0
      || listen (fd, 64) != 0)
    rig_finish (RIG_COULD_NOT);
  rig_thread (accept_connections, (void *)(intptr_t)fd);
  return ntohs (address.sin_port);
}

/* Sends a request of LEN bytes, all of them the first byte of ID.  */
static void
call (const char *id, size_t len)
{
  struct rig_connection connection;
  struct rig_message response = { .status = 0 };
  int fd = rig_connect (entry->caller_port, 0, DEADLINE_MS + 2000);
  char *body = malloc (len);

  memset (body, id[0], len);
  rig_connection_init (&connection, fd);
  if (fd >= 0
      && rig_printf (fd,
                     "POST /n/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: "
                     "%s\r\nDeadline-Ms: %d\r\nCredential: %s\r\n"
                     "Content-Length: %zu\r\n\r\n",
                     id, DEADLINE_MS, keys[id[0] == 'B'], len)
      && rig_send (fd, body, len))
    rig_read_response (&connection, &response);
  if (response.status != 200 || len > SHORT_BYTES)
    rig_record ("caller: %s of %zu bytes: status %d", id, len,
                response.status);
  pthread_mutex_lock (&lock);
  statuses[response.status]++;
  pthread_mutex_unlock (&lock);
  rig_message_release (&response);
  rig_connection_close (&connection);
  free (body);
}

struct caller
{
  int round;
  int number;
  bool is_long;
};

static void *
run_caller (void *data)
{
  struct caller *caller = data;
  int calls = caller->is_long ? 1 : SHORT_CALLS;
  char id[64];

  for (int i = 0; i < calls; i++)
    {
      snprintf (id, sizeof id, "%c-%s-%d-%d-%d",
                caller->number % 2 ? 'B' : 'A',
                caller->is_long ? "long" : "short", caller->round,
                caller->number, i);
      call (id, caller->is_long ? LONG_BYTES : SHORT_BYTES);
    }
  free (caller);
  pthread_mutex_lock (&lock);
  running--;
  pthread_mutex_unlock (&lock);
  return NULL;
}

/* Runs COUNT callers at once until all have their answers.  */
static void
run_callers (int round, int count, bool is_long)
{
  running = count;
  for (int i = 0; i < count; i++)
    {
      struct caller *caller = calloc (1, sizeof *caller);

      *caller
          = (struct caller){ .round = round, .number = i, .is_long = is_long };
      rig_thread (run_caller, caller);
    }
  while (running > 0 && !rig_has_exited (entry))
    rig_sleep_ms (10);
}

static void
run_round (int round)
{
  char id[64];

  run_callers (round, SHORT_CALLERS, false);
  wrong_due = rig_has_trouble;
  snprintf (id, sizeof id, "A-last-%d", round);
  call (id, SHORT_BYTES);
  run_callers (round, LONG_CALLERS, true);
}

static void
set_routes (void)
{
  rig_put (
      "config", "main",
      "{\"version\": 3, \"routes\": ["
      "{\"name\": \"n\", \"hostname\": \"h.example\", \"path_prefix\": "
      "\"/n/\", \"type\": \"non_idempotent\", \"timeout_ms\": 6000, "
      "\"slo_ms\": 1200, \"priority\": 2, \"backend\": \"app\", "
      "\"max_attempts\": 1, \"anonymous\": false}], "
      "\"services\": [{\"name\": \"app\", \"health_path\": \"/healthz\", "
      "\"max_connections\": 110, \"protocol\": \"h1\", \"tls\": false}, "
      "{\"name\": \"models\", \"health_path\": \"/healthz\", "
      "\"max_connections\": 370, \"protocol\": \"h1\", \"tls\": false}], "
      "\"limits\": {\"max_header_bytes\": 16384, \"max_body_bytes\": 4194304, "
      "\"header_timeout_ms\": 3000, \"idle_timeout_ms\": 15000}, "
      "\"tenants\": [{\"name\": \"tenant-1\", \"api_keys\": "
      "[\"key1key1key1\"], \"rate_per_s\": 1000, \"burst\": 1000}, "
      "{\"name\": \"tenant-2\", \"api_keys\": [\"key2key2key2\"], "
      "\"rate_per_s\": 1000, \"burst\": 1000}]}");
}

int
main (int argc, char **argv)
{
  struct rig_server endpoint
      = { .id = "i-1", .service = "app", .zone = "a", .slots = 6 };
  struct rig_server others[]
      = { { .id = "i-2", .service = "models", .zone = "a", .slots = 64 },
          { .id = "i-3", .service = "models", .zone = "a", .slots = 64 } };
  bool has_crashed;

  if (argc < 2)
    return RIG_COULD_NOT;
  rig_begin (argv[1]);
  rig_start_store ();
  set_routes ();
  endpoint.port = start_endpoint ();
  endpoint.born_ms = (int64_t)time (NULL) * 1000;
  rig_register_server (&endpoint, "ready");
  for (int i = 0; i < 2; i++)
    {
      others[i].handle = answer_at_once;
      rig_start_server (&others[i]);
    }
  entry = rig_add_host ("entry-1", "a", false, 1, "");
  rig_start_host (entry);
  rig_await_ready (entry, 20000);
  rig_sleep_ms (SETTLE_MS);
  for (int i = 0; i < ROUNDS && !rig_has_exited (entry); i++)
    run_round (i);
  has_crashed = rig_has_exited (entry);
  for (int i = 0; i < MAX_STATUS; i++)
    if (statuses[i] > 0)
      rig_record ("callers got status %d: %d times", i, statuses[i]);
  rig_record ("%d answers of the endpoint, %d of them wrong; %d requests ran "
              "with another body, %d heads were none%s",
              answers, wrong, changed, strange,
              has_crashed ? "; the host has crashed" : "");
  rig_finish (changed > 0 || has_crashed ? RIG_BROKEN : RIG_HELD);
}
