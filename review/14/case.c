/* Turns of one customer wait for its rate limit when a manifest gives the key
   that they came with to another customer.  They run for the other one, with
   the text of the first one's conversation.  */
#include "rig.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  HOSTS = 3, /* of each role, one in each data centre */
  CHAINS = 8,
  EVENTS = 4,
  /* The limit of the first customer, in a window of 5 s. */
  RATE_PER_S = 20,
  BURST = 20,
  LIMIT = 5 * RATE_PER_S + BURST,
  SETTLE_MS = 8000,  /* until all hosts know each other */
  WINDOW_MS = 6000,  /* after which the first turns are out of the window */
  WAITING_MS = 4400, /* after the limit is used up; a little is left to wait */
  MANIFEST_MS = 100, /* after that */
  LAST_MS = 4000,    /* until all have their answers */
  DEADLINE_MS = 4000,
  MAX_RUNS = 200,
  ID_BYTES = 32,
};

/* A turn that an endpoint has run. */
struct run
{
  char id[ID_BYTES];
  char customer[ID_BYTES];
  char *body;
};

static const char *const zones[HOSTS] = { "a", "b", "c" };
static const char *const first_key = "key1key1key1";

static struct rig_host *entries[HOSTS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct run runs[MAX_RUNS];
static int run_count;
static int active;
static int statuses[CHAINS]; /* of the second turns */

static void
record_run (const struct rig_message *request, const char *id)
{
  struct run *run;
  char customer[ID_BYTES] = "";

  rig_header (request, "Tenant", customer, sizeof customer);
  for (size_t i = 0; i < request->body_len; i++)
    if (request->body[i] == '\n')
      request->body[i] = '|';
  rig_record ("endpoint: runs %s for %s, %zu bytes: %s", id, customer,
              request->body_len, request->body ? request->body : "");
  pthread_mutex_lock (&lock);
  if (run_count < MAX_RUNS)
    {
      run = &runs[run_count++];
      snprintf (run->id, sizeof run->id, "%s", id);
      snprintf (run->customer, sizeof run->customer, "%s", customer);
      run->body = strdup (request->body ? request->body : "");
    }
  pthread_mutex_unlock (&lock);
}

static bool
serve (struct rig_server *server, struct rig_connection *connection,
       const struct rig_message *request)
{
  char id[ID_BYTES] = "";

  rig_header (request, "Attempt-Id", id, sizeof id);
  if (strncmp (request->target, "/note/", 6) == 0)
    return rig_printf (connection->fd,
                       "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: %s"
                       "\r\nContent-Length: 2\r\n\r\nok",
                       id, server->id);
  record_run (request, id);
  if (!rig_printf (connection->fd,
                   "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: %s\r\n"
                   "Content-Type: text/event-stream\r\nTransfer-Encoding: "
                   "chunked\r\n\r\n",
                   id, server->id))
    return false;
  for (int i = 0; i < EVENTS; i++)
    {
      char event[128];
      int len = snprintf (event, sizeof event, "id: %d\ndata: %s.%d\n\n", i,
                          id, i);

      if (!rig_printf (connection->fd, "%x\r\n%s\r\n", (unsigned)len, event))
        return false;
    }
  return rig_printf (connection->fd, "0\r\n\r\n");
}

static int
read_status (int fd)
{
  struct rig_connection connection;
  struct rig_message response = { .status = 0 };
  int status;

  rig_connection_init (&connection, fd);
  rig_read_response (&connection, &response);
  status = response.end == RIG_COMPLETE ? response.status : 0;
  rig_message_release (&response);
  rig_connection_close (&connection);
  return status;
}

/* Sends turn NUMBER of a chain with KEY, which continues the one before.
   Returns its status, 0 for an answer that is not whole.  */
static int
send_turn (int chain, int number, const char *key)
{
  char previous[64] = "";
  char input[ID_BYTES];
  int fd = rig_connect (entries[0]->caller_port, 0, DEADLINE_MS + 500);
  int status;

  if (fd < 0)
    return 0;
  snprintf (input, sizeof input, "[input %d-%d]", chain, number);
  if (number > 1)
    snprintf (previous, sizeof previous, "Previous-Turn: c%d-%d\r\n", chain,
              number - 1);
  rig_printf (fd,
              "POST /turn/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: c%d-%d"
              "\r\nProgram-Id: 3fa8%02x\r\nSession-Id: 77d2%02x\r\n"
              "Program-Deadline-Ms: 60000\r\nToken-Budget: 4000\r\n"
              "Token-Usage: 100,20\r\nModel: m\r\n%sDeadline-Ms: %d\r\n"
              "Credential: %s\r\nContent-Length: %zu\r\n\r\n%s",
              chain, number, chain, chain, previous, DEADLINE_MS, key,
              strlen (input), input);
  status = read_status (fd);
  rig_record ("caller: c%d-%d with %s: status %d", chain, number, key, status);
  return status;
}

static void *
run_note (void *data)
{
  int fd = rig_connect (entries[0]->caller_port, 0, DEADLINE_MS);

  if (fd >= 0)
    {
      rig_printf (fd,
                  "POST /note/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: n%d"
                  "\r\nDeadline-Ms: 1000\r\nCredential: %s\r\n"
                  "Content-Length: 2\r\n\r\nhi",
                  (int)(intptr_t)data, first_key);
      read_status (fd);
    }
  pthread_mutex_lock (&lock);
  active--;
  pthread_mutex_unlock (&lock);
  return NULL;
}

static void *
run_second_turn (void *data)
{
  int chain = (int)(intptr_t)data;

  statuses[chain] = send_turn (chain, 2, first_key);
  pthread_mutex_lock (&lock);
  active--;
  pthread_mutex_unlock (&lock);
  return NULL;
}

/* Writes a manifest with the keys of both customers.  */
static void
write_manifest (int version, const char *first_keys, const char *second_keys)
{
  char spec[4096];

  snprintf (
      spec, sizeof spec,
      "{\"version\": %d, \"routes\": ["
      "{\"name\": \"turn\", \"hostname\": \"h.example\", \"path_prefix\": "
      "\"/turn/\", \"type\": \"streaming\", \"timeout_ms\": 4000, "
      "\"slo_ms\": 200, \"gap_aim_ms\": 400, \"priority\": 1, \"backend\": "
      "\"models\", \"max_attempts\": 1, \"session_affinity\": true, "
      "\"retained\": true, \"retention_s\": 60.0, \"anonymous\": false}, "
      "{\"name\": \"note\", \"hostname\": \"h.example\", \"path_prefix\": "
      "\"/note/\", \"type\": \"idempotent\", \"timeout_ms\": 2000, "
      "\"slo_ms\": 400, \"priority\": 2, \"backend\": \"models\", "
      "\"max_attempts\": 2, \"anonymous\": false}], "
      "\"services\": [{\"name\": \"models\", \"health_path\": \"/healthz\", "
      "\"max_connections\": 370, \"protocol\": \"h1\", \"tls\": false, "
      "\"engine\": {\"chunk_tokens\": 1}}], "
      "\"limits\": {\"max_header_bytes\": 16384, \"max_body_bytes\": 4194304, "
      "\"header_timeout_ms\": 3000, \"idle_timeout_ms\": 15000}, "
      "\"tenants\": [{\"name\": \"tenant-1\", \"api_keys\": [%s], "
      "\"rate_per_s\": %d, \"burst\": %d}, {\"name\": \"tenant-2\", "
      "\"api_keys\": [%s], \"rate_per_s\": 1000, \"burst\": 1000}]}",
      version, first_keys, RATE_PER_S, BURST, second_keys);
  rig_put ("config", "main", spec);
}

static void
start_fleet (void)
{
  char name[32];

  for (int i = 0; i < HOSTS; i++)
    {
      snprintf (name, sizeof name, "entry-%d", i);
      entries[i] = rig_add_host (name, zones[i], false, 1, "");
    }
  for (int i = 0; i < HOSTS; i++)
    {
      snprintf (name, sizeof name, "keeper-%d", i);
      rig_start_host (rig_add_host (name, zones[i], true, 1, ""));
      rig_start_host (entries[i]);
    }
  for (int i = 0; i < HOSTS; i++)
    rig_await_ready (entries[i], 20000);
  rig_sleep_ms (SETTLE_MS);
}

static void
await_callers (void)
{
  while (active > 0)
    rig_sleep_ms (10);
}

/* Returns for whom turn NUMBER of CHAIN has run, or NULL.  */
static const struct run *
find_run (int chain, int number)
{
  char id[ID_BYTES];

  snprintf (id, sizeof id, "c%d-%d", chain, number);
  for (int i = 0; i < run_count; i++)
    if (strcmp (runs[i].id, id) == 0)
      return &runs[i];
  return NULL;
}

int
main (int argc, char **argv)
{
  struct rig_server endpoint = {
    .id = "i-1", .service = "models", .zone = "a", .slots = 64, .handle = serve
  };
  int foreign = 0;
  int second = 0;
  int lost = 0;
  int64_t used_ms;

  if (argc < 2)
    return RIG_COULD_NOT;
  rig_begin (argv[1]);
  rig_start_store ();
  write_manifest (3, "\"key1key1key1\"", "\"key2key2key2\"");
  rig_start_server (&endpoint);
  start_fleet ();
  for (int i = 0; i < CHAINS; i++)
    if (send_turn (i, 1, first_key) != 200)
      rig_finish (RIG_COULD_NOT);
  rig_sleep_ms (WINDOW_MS);
  used_ms = rig_now_ms ();
  active = LIMIT;
  for (int i = 0; i < LIMIT; i++)
    rig_thread (run_note, (void *)(intptr_t)i);
  await_callers ();
  rig_sleep_ms (used_ms + WAITING_MS - rig_now_ms ());
  active = CHAINS;
  for (int i = 0; i < CHAINS; i++)
    rig_thread (run_second_turn, (void *)(intptr_t)i);
  rig_sleep_ms (MANIFEST_MS);
  if (rig_has_trouble)
    {
      write_manifest (5, "\"key3key3key3\"",
                      "\"key2key2key2\", \"key1key1key1\"");
      rig_record ("key1key1key1 now belongs to tenant-2");
    }
  await_callers ();
  rig_sleep_ms (LAST_MS);
  for (int i = 0; i < CHAINS; i++)
    {
      const struct run *first = find_run (i, 1);
      const struct run *run = find_run (i, 2);

      if (!run)
        continue;
      second++;
      foreign += strcmp (run->customer, first->customer) != 0;
      if (statuses[i] == 200 && send_turn (i, 3, first_key) == 404
          && strcmp (run->customer, "tenant-2") == 0)
        lost++;
    }
  rig_record ("%d second turns ran, %d of them for another customer than that "
              "of the turn before; %d third turns were answered 404",
              second, foreign, lost);
  if (second == 0)
    rig_finish (RIG_COULD_NOT);
  rig_finish (foreign > 0 ? RIG_BROKEN : RIG_HELD);
}
