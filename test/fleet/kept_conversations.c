/* Guards against conversations that lose a turn, or get foreign text, when a
   keeper is retired and hands its turns over, when another one comes back with
   an empty disk, and when all processes are killed: the real threads of real
   processes.  Callers continue chains through two entry hosts all the while.

   Usage: kept-conversations RECORD  */
#include "rig.h"
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ENTRIES = 2,
  KEEPERS = 5, /* the last one joins when the first one is retired */
  SERVERS = 3,
  CHAINS = 8,
  MAX_TURNS = 400,
  EVENTS = 4,
  MAX_TEXT = 64 * 1024, /* of a chain, after which a new one begins */
  PAUSE_MS = 120,       /* between turns */
  DEADLINE_MS = 3000,
  PHASE_MS = 5000,
  CATCH_UP_MS = 6000,    /* for a keeper that starts, and a little longer */
  LAST_CHECK_MS = 15000, /* within which 95 of 100 chains go on */
  START_MS = 20000,
};

/* A caller that continues one chain after another. */
struct chain
{
  int number;
  int turn;
  int length;        /* turns of the present chain */
  char id[32];       /* of the turn under way */
  char previous[32]; /* of the last whole turn; empty for none */
  char *text;        /* of the chain up to it */
  char *body;        /* that the endpoint must get */
  bool is_foreign;   /* an endpoint got another one */
  int64_t whole_ms;  /* end of the last whole turn */
  int whole;         /* turns */
  int refused;
  int lost; /* turns that were answered as unknown */
};

static struct rig_server servers[SERVERS];
static char ids[SERVERS][16];
static struct rig_host *entries[ENTRIES];
static struct rig_host *keepers[KEEPERS];
static struct chain chains[CHAINS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static volatile bool is_over;

/* Compares the body with what the chain's caller expects.  */
static void
check_body (const char *id, const struct rig_message *request)
{
  const char *body = request->body ? request->body : "";

  pthread_mutex_lock (&lock);
  for (int i = 0; i < CHAINS; i++)
    if (strcmp (chains[i].id, id) == 0 && strcmp (chains[i].body, body) != 0)
      {
        chains[i].is_foreign = true;
        rig_record ("turn %s: the endpoint got %zu bytes, %zu are right", id,
                    strlen (body), strlen (chains[i].body));
      }
  pthread_mutex_unlock (&lock);
}

static bool
handle_turn (struct rig_server *server, struct rig_connection *connection,
             const struct rig_message *request)
{
  char id[64] = "";
  char after[32] = "0";

  rig_header (request, "Attempt-Id", id, sizeof id);
  rig_header (request, "Last-Event-Id", after, sizeof after);
  check_body (id, request);
  if (!rig_printf (connection->fd,
                   "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: "
                   "1.1.1\r\nContent-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n",
                   id))
    return false;
  for (int event = atoi (after) + 1; event <= EVENTS; event++)
    {
      char text[64];
      int len = snprintf (text, sizeof text, "id: %d\ndata: t%d\n\n", event,
                          event);

      rig_sleep_ms (5);
      if (!rig_printf (connection->fd, "%x\r\n%s\r\n", (unsigned)len, text))
        return false;
    }
  return rig_send (connection->fd, "0\r\n\r\n", 5);
}

/* Sends the turn's new input.  Returns the status, 0 without a whole
   answer.  */
static int
send_turn (const struct chain *chain, const char *input)
{
  const struct rig_host *entry
      = entries[(chain->number + chain->turn) % ENTRIES];
  struct rig_connection connection;
  struct rig_message response = { .status = 0 };
  int fd = rig_connect (entry->caller_port, 0, DEADLINE_MS + 500);
  int status = 0;

  if (fd < 0)
    return 0;
  rig_connection_init (&connection, fd);
  if (rig_printf (fd,
                  "POST /chat/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: "
                  "%s\r\nDeadline-Ms: %d\r\nCredential: key0key0key0\r\n"
                  "Program-Id: p%d\r\nSession-Id: s%d\r\nToken-Usage: "
                  "20,30\r\n%s%s%sContent-Length: %zu\r\n\r\n%s",
                  chain->id, DEADLINE_MS, chain->number, chain->number,
                  *chain->previous ? "Previous-Turn: " : "", chain->previous,
                  *chain->previous ? "\r\n" : "", strlen (input), input)
      && rig_read_response (&connection, &response))
    status = response.status;
  if (status == 200
      && (!response.body || !strstr (response.body, "data: t4\n")))
    status = 0;
  rig_message_release (&response);
  rig_connection_close (&connection);
  return status;
}

/* Begins a turn: sets its id and the body that the endpoint must get.  */
static void
begin_turn (struct chain *chain, char *input, size_t size)
{
  pthread_mutex_lock (&lock);
  if (strlen (chain->text) > MAX_TEXT)
    {
      *chain->text = '\0';
      *chain->previous = '\0';
      chain->length = 0;
    }
  snprintf (chain->id, sizeof chain->id, "c%d.%d", chain->number,
            ++chain->turn);
  snprintf (input, size, "[%s %0*d]", chain->id, 40 + chain->turn % 200,
            chain->turn);
  free (chain->body);
  if (asprintf (&chain->body, "%s%s", chain->text, input) < 0)
    rig_finish (RIG_COULD_NOT);
  pthread_mutex_unlock (&lock);
}

static void
end_turn (struct chain *chain, int status)
{
  pthread_mutex_lock (&lock);
  if (status == 200)
    {
      char *text;

      if (asprintf (&text, "%st1\nt2\nt3\nt4\n", chain->body) < 0)
        rig_finish (RIG_COULD_NOT);
      free (chain->text);
      chain->text = text;
      snprintf (chain->previous, sizeof chain->previous, "%s", chain->id);
      chain->length++;
      chain->whole++;
      chain->whole_ms = rig_now_ms ();
    }
  else
    chain->refused++;
  if (status >= 400 && status < 500 && status != 429)
    {
      chain->lost++;
      rig_record ("turn %s: status %d after %d turns", chain->id, status,
                  chain->length);
    }
  pthread_mutex_unlock (&lock);
}

static void *
run_chain (void *data)
{
  struct chain *chain = data;
  char input[512];

  while (!is_over && chain->turn < MAX_TURNS)
    {
      begin_turn (chain, input, sizeof input);
      end_turn (chain, send_turn (chain, input));
      rig_sleep_ms (PAUSE_MS);
    }
  return NULL;
}

static void
start_fleet (void)
{
  static const char *const zones[KEEPERS] = { "a", "b", "c", "d", "a" };

  rig_start_store ();
  rig_put ("config", "main",
           "{\"version\": 3, \"routes\": [{\"name\": \"chat\", \"hostname\": "
           "\"h.example\", \"path_prefix\": \"/chat/\", \"type\": "
           "\"streaming\", \"timeout_ms\": 3000, \"slo_ms\": 1000, "
           "\"priority\": 0, \"backend\": \"models\", \"max_attempts\": 2, "
           "\"retained\": true, \"retention_s\": 300.0, \"anonymous\": false, "
           "\"session_affinity\": true, \"resumable\": true, \"gap_aim_ms\": "
           "400}], \"services\": [{\"name\": \"models\", \"health_path\": "
           "\"/healthz\", \"max_connections\": 370, \"protocol\": \"h1\", "
           "\"tls\": false, \"engine\": {\"max_concurrency\": 64, "
           "\"chunk_tokens\": 3}}], \"limits\": {\"max_header_bytes\": 16384, "
           "\"max_body_bytes\": 4194304, \"header_timeout_ms\": 3000, "
           "\"idle_timeout_ms\": 15000}, \"tenants\": [{\"name\": \"tenant\", "
           "\"api_keys\": [\"key0key0key0\"], \"rate_per_s\": 1000, "
           "\"burst\": 1000}]}");
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
  for (int i = 0; i < ENTRIES; i++)
    {
      char name[32];

      snprintf (name, sizeof name, "entry-%d", i + 1);
      entries[i] = rig_add_host (name, zones[i], false, 1, "");
    }
  for (int i = 0; i < KEEPERS; i++)
    {
      char name[32];

      snprintf (name, sizeof name, "keeper-%d", i + 1);
      keepers[i] = rig_add_host (name, zones[i], true, 1, "");
    }
  for (int i = 0; i < ENTRIES; i++)
    rig_start_host (entries[i]);
  for (int i = 0; i < KEEPERS - 1; i++)
    rig_start_host (keepers[i]);
  for (int i = 0; i < ENTRIES; i++)
    rig_await_ready (entries[i], START_MS);
  rig_sleep_ms (CATCH_UP_MS);
}

/* Has the keepers retire, come back empty, and all processes be killed.  */
static void
disturb (void)
{
  if (!rig_has_trouble)
    return;
  rig_record ("keeper-5 joins, keeper-1 is retired");
  rig_start_host (keepers[4]);
  rig_sleep_ms (CATCH_UP_MS);
  rig_signal_host (keepers[0], SIGTERM);
  rig_sleep_ms (PHASE_MS + CATCH_UP_MS);
  rig_record ("keeper-1 has %s",
              rig_has_exited (keepers[0]) ? "ended" : "not ended");
  rig_record ("keeper-2 is killed and comes back with an empty disk");
  rig_signal_host (keepers[1], SIGKILL);
  rig_wipe_host (keepers[1]);
  rig_start_host (keepers[1]);
  rig_sleep_ms (PHASE_MS + CATCH_UP_MS);
  rig_record ("all are killed");
  rig_signal_host (keepers[0], SIGKILL);
  for (int i = 1; i < KEEPERS; i++)
    rig_signal_host (keepers[i], SIGKILL);
  for (int i = 0; i < ENTRIES; i++)
    rig_signal_host (entries[i], SIGKILL);
  for (int i = 1; i < KEEPERS; i++)
    rig_start_host (keepers[i]);
  for (int i = 0; i < ENTRIES; i++)
    rig_start_host (entries[i]);
  for (int i = 0; i < ENTRIES; i++)
    rig_await_ready (entries[i], START_MS);
}

int
main (int argc, char **argv)
{
  int64_t checked_ms;
  int broken = 0;
  int stopped = 0;

  if (argc < 2)
    return RIG_COULD_NOT;
  rig_begin (argv[1]);
  start_fleet ();
  for (int i = 0; i < CHAINS; i++)
    {
      chains[i] = (struct chain){ .number = i,
                                  .text = calloc (1, 1),
                                  .body = calloc (1, 1) };
      rig_thread (run_chain, &chains[i]);
    }
  rig_sleep_ms (PHASE_MS);
  disturb ();
  checked_ms = rig_now_ms ();
  rig_sleep_ms (LAST_CHECK_MS);
  is_over = true;
  rig_sleep_ms (DEADLINE_MS + 1000);
  for (int i = 0; i < CHAINS; i++)
    {
      rig_record ("chain %d: %d turns whole, %d not answered, %d lost%s", i,
                  chains[i].whole, chains[i].refused, chains[i].lost,
                  chains[i].is_foreign ? ", foreign text" : "");
      broken += chains[i].is_foreign || chains[i].lost > 0;
      stopped += chains[i].whole_ms < checked_ms;
    }
  if (chains[0].whole == 0)
    rig_finish (RIG_COULD_NOT);
  /* 95 of 100 chains must go on; of these, all. */
  rig_finish (broken + stopped > 0 ? RIG_BROKEN : RIG_HELD);
}
