#include "common/buf.h"
#include "common/id.h"
#include "common/log.h"
#include "soak/callers.h"
#include "soak/chains.h"
#include "soak/fleet.h"
#include "soak/limit_check.h"
#include "soak/proxy.h"
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

/* Randomized soak test.  Runs the real programs as separate processes, injects
   faults from outside and checks the guarantees to callers during the run.  */

enum
{
  CALLER_COUNT = 24,
  CHAIN_COUNT = 8,
  MAX_FAULTS = 4,          /* at once */
  FAULT_INTERVAL_MS = 400, /* mean */
  FAULT_MIN_MS = 200,      /* shortest duration */
  FAULT_MAX_MS = 2500,     /* longest duration */
  KEEPER_SYNC_MS = 4000,   /* a restarted keeper catches up from the others */
  /* The copies of wiped keepers must be restored within 6 s under load.  */
  KEEPER_RESTORE_MS = 6000,
  COLD_MS = 2500,
  /* Until hosts follow the store again after a fault of its link.  */
  STORE_SETTLE_MS = 2000,
  EVACUATION_MS = 8000,
  EVACUATED_WITHIN_MS = 5000, /* evacuate_within_ms */
  RETIREMENT_LIMIT_MS = 6000,
  RETIREMENT_POLL_MS = 200,
  /* For all hosts to be ready after the last fault.  */
  RECOVERY_TIMEOUT_MS = 12000,
  START_TIMEOUT_MS = 10000,
  START_TRIES = 100,      /* to reach a mock server, START_PAUSE_S apart */
  STOP_TIMEOUT_MS = 9000, /* for a host to exit after SIGTERM */
  CALL_TIMEOUT_MS = 2000,
  /* Endpoints with even numbers name this limit, below what they would get. */
  LIMIT_MILLI = 10000,
  /* A response may list every attempt of a run.  */
  MAX_RESPONSE_BYTES = 64 * 1024 * 1024,
  DEFAULT_SECONDS = 15,
  DEFAULT_PORT = 26000,
  EXIT_USAGE = 2,
};

static const double START_PAUSE_S = 0.05;

enum fault_kind
{
  FAULT_KILL,
  FAULT_STOP,
  FAULT_PAUSE,
  FAULT_RETIRE, /* of a keeper; another with its name replaces it */
  FAULT_WIPE,   /* kills one or two keepers and deletes their data */
  FAULT_STORE_LINK,
  FAULT_ENDPOINT_LINK,
  FAULT_REJECT_HOST,
  FAULT_STORE_RESPONSES,
  FAULT_COMPACT,
  FAULT_ENDPOINT_RESPONSES,
  FAULT_CONFIG,
  FAULT_COLD,     /* of an endpoint */
  FAULT_EVACUATE, /* of a data centre */
  FAULT_KINDS,
};

/* A fault in progress, or a free entry. */
struct fault
{
  enum fault_kind kind;
  int target; /* index of a host or a proxy */
  int second; /* another wiped keeper, or the target */
  int64_t next_poll_ms;
  struct limit_span span; /* evacuation: when nothing may arrive */
  int64_t ends_ms;
  bool active;
};

struct soak
{
  struct fleet fleet;
  struct ev_loop *loop;
  struct fetcher *fetcher;
  struct proxy *proxies[1 + FLEET_ENDPOINTS];
  struct callers *callers;
  struct chains *chains;
  struct fault faults[MAX_FAULTS];
  uint64_t seed;
  int64_t next_fault_ms;
  int64_t next_keeper_fault_ms; /* after the last one */
  int64_t config_version;
  int64_t store_link_fault_ms; /* the last moment of one */
  int64_t entry_sequence;
  struct limit_check limits[FLEET_ENDPOINTS];
  ev_timer tick;
  bool injecting;
  uint32_t injected_count;
  uint32_t retired_count; /* retirements that keepers completed */
};

static const char *const fault_names[FAULT_KINDS] = { "kill",
                                                      "stop",
                                                      "pause",
                                                      "retire",
                                                      "wipe",
                                                      "store link",
                                                      "endpoint link",
                                                      "reject host",
                                                      "lost store responses",
                                                      "compact",
                                                      "endpoint responses",
                                                      "configuration",
                                                      "cold",
                                                      "evacuation" };

static uint64_t
random_below (struct soak *soak, uint64_t below)
{
  soak->seed = id_hash64 (&soak->seed, sizeof soak->seed, 2);
  return soak->seed % below;
}

/* A request of the soak itself, which bypasses the proxies. */
struct http_call
{
  bool done;
  long status;
  json_t *body;
};

static void
handle_call_done (void *data, const struct fetch_result *result)
{
  struct http_call *call = data;

  call->done = true;
  call->status = result->complete ? result->status : 0;
  call->body = json_loadb (result->body->data ? result->body->data : "",
                           result->body->len, 0, NULL);
}

/* Sends a request and waits for the response.  The caller releases the body.
 */
static struct http_call
send_request (struct soak *soak, int port, const char *method,
              const char *path, const char *body)
{
  struct http_call call = { 0 };
  char *url = xasprintf ("http://127.0.0.1:%d%s", soak->fleet.base_port + port,
                         path);
  const char *const headers[] = { "Content-Type: application/json", NULL };
  struct fetch_options options = { .method = method,
                                   .url = url,
                                   .headers = headers,
                                   .body = body,
                                   .body_len = body ? strlen (body) : 0,
                                   .timeout_ms = CALL_TIMEOUT_MS,
                                   .connect_timeout_ms = CALL_TIMEOUT_MS,
                                   .max_body_bytes = MAX_RESPONSE_BYTES,
                                   .handle_done = handle_call_done,
                                   .data = &call };

  fetch_start (soak->fetcher, &options);
  while (!call.done)
    ev_run (soak->loop, EVRUN_ONCE);
  free (url);
  return call;
}

static void
send_command (struct soak *soak, int port, const char *method,
              const char *path, const char *body)
{
  struct http_call call = send_request (soak, port, method, path, body);

  json_decref (call.body);
}

static bool
responds_ok (struct soak *soak, int port, const char *path)
{
  struct http_call call = send_request (soak, port, "GET", path, NULL);

  json_decref (call.body);
  return call.status == 200;
}

/* Writes the next configuration.  Odd versions have an extra route, so that
   every write changes the routes.  */
static void
write_config (struct soak *soak, const char *method)
{
  int64_t version = ++soak->config_version;
  char *body = xasprintf (
      "{\"metadata\": {\"name\": \"main\"}, \"spec\": {\"version\": %lld, "
      "\"routes\": ["
      "{\"name\": \"turns\", \"hostname\": \"h\", \"path_prefix\": \"/turn/\","
      " \"type\": \"streaming\", \"timeout_ms\": 4000, \"backend\": "
      "\"models\","
      " \"max_attempts\": 1, \"resumable\": true},"
      "{\"name\": \"chains\", \"hostname\": \"h\", \"path_prefix\": "
      "\"/chain/\", \"type\": \"streaming\", \"timeout_ms\": 4000, "
      "\"backend\": \"chat\", \"max_attempts\": 2, \"retained\": true, "
      "\"retention_s\": 60.0},"
      "{\"name\": \"notes\", \"hostname\": \"h\", \"path_prefix\": \"/note/\","
      " \"type\": \"idempotent\", \"timeout_ms\": 2000, \"backend\": \"app\"},"
      "{\"name\": \"charges\", \"hostname\": \"h\", \"path_prefix\": "
      "\"/charge/\", \"type\": \"non_idempotent\", \"timeout_ms\": 2000, "
      "\"backend\": \"app\", \"max_attempts\": 1}%s],"
      "\"services\": [{\"name\": \"models\", \"engine\": {\"chunk_tokens\": "
      "%d}, \"cold_start_s\": 2.5, \"cold_per_s\": 20.0}, "
      "{\"name\": \"app\", \"cold_start_s\": 2.5, \"cold_per_s\": 20.0}, "
      "{\"name\": \"chat\", \"engine\": {\"chunk_tokens\": %d}, "
      "\"cold_start_s\": 2.5, \"cold_per_s\": 20.0}],"
      "\"tenants\": [{\"name\": \"c\", \"api_keys\": [\"key\"], "
      "\"rate_per_s\": 2000, \"burst\": 2000}, {\"name\": \"d\", "
      "\"api_keys\": [\"other-key\"], \"rate_per_s\": 2000, \"burst\": "
      "2000}]}}",
      (long long)version,
      version % 2
          ? ", {\"name\": \"more\", \"hostname\": \"h\", \"path_prefix\": "
            "\"/more/\", \"type\": \"idempotent\", \"timeout_ms\": 2000, "
            "\"backend\": \"app\"}"
          : "",
      CALLERS_TOKENS_PER_EVENT, CALLERS_TOKENS_PER_EVENT);

  send_command (soak, FLEET_STORE_PORT, method,
                strcmp (method, "PUT") == 0 ? "/objects/config/main"
                                            : "/objects/config",
                body);
  free (body);
}

/* Writes the registry's entry of an endpoint, which is cold for COLD_MS.  */
static void
write_entry (struct soak *soak, int endpoint, const char *method, int cold_ms)
{
  static const char *const backends[FLEET_ENDPOINTS / 2]
      = { "models", "app", "chat" };
  char *path = strcmp (method, "PUT") == 0
                   ? xasprintf ("/objects/servers/w%d", endpoint)
                   : xstrdup ("/objects/servers");
  char *body = xasprintf (
      "{\"metadata\": {\"name\": \"w%d\"}, \"spec\": {\"backend\": \"%s\","
      " \"address\": \"127.0.0.1:%d\", \"zone\": \"%s\", \"version\": "
      "\"v%d\", \"max_concurrency\": 8, \"state\": \"ready\", \"born\": 1, "
      "\"cold_remaining_ms\": %d, \"seq\": %lld}}",
      endpoint, backends[endpoint / 2],
      soak->fleet.base_port + FLEET_PROXY_PORT + 1 + endpoint,
      fleet_data_centre (endpoint), endpoint, cold_ms,
      (long long)++soak->entry_sequence);

  send_command (soak, FLEET_STORE_PORT, method, path, body);
  free (body);
  free (path);
}

static void
register_endpoints (struct soak *soak)
{
  for (int i = 0; i < FLEET_ENDPOINTS; i++)
    write_entry (soak, i, "POST", 0);
}

/* Returns whether ENDPOINT serves conversations.  */
static bool
is_chat (int endpoint)
{
  return endpoint >= FLEET_ENDPOINTS - 2;
}

static bool
is_limited (int endpoint)
{
  return endpoint % 2 == 0;
}

/* Makes the endpoints record bodies or name their limit, once they are up.
   Returns false if one does not come up.  */
static bool
prepare_endpoints (struct soak *soak)
{
  bool is_ready = true;

  for (int i = 0; i < FLEET_ENDPOINTS && is_ready; i++)
    {
      char *body = xasprintf ("{\"limit_milli\": %d, \"record_bodies\": %d}",
                              is_limited (i) ? LIMIT_MILLI : 0, is_chat (i));

      is_ready = false;
      for (int k = 0; k < START_TRIES && !is_ready; k++)
        {
          struct http_call call = send_request (soak, FLEET_ENDPOINT_PORT + i,
                                                "POST", "/faults", body);

          json_decref (call.body);
          is_ready = call.status == 200;
          if (!is_ready)
            ev_sleep (START_PAUSE_S);
        }
      free (body);
    }
  return is_ready;
}

static void
start_host (struct soak *soak, int host, bool is_first)
{
  int64_t now_ms = clock_now_ms ();

  for (int i = 0; i < FLEET_ENDPOINTS && !fleet_is_keeper (host); i++)
    g_array_append_val (soak->limits[i].starts_ms, now_ms);
  fleet_start_host (&soak->fleet, host, is_first);
}

static bool
is_active (const struct soak *soak, enum fault_kind kind)
{
  for (int i = 0; i < MAX_FAULTS; i++)
    if (soak->faults[i].active && soak->faults[i].kind == kind)
      return true;
  return false;
}

/* Records that the link to an endpoint, or all of them, had a fault.  */
static void
record_disturbance (struct soak *soak, struct fault *fault)
{
  int64_t now_ms = clock_now_ms ();

  if (fault->active && fault->kind == FAULT_STORE_LINK)
    soak->store_link_fault_ms = now_ms;
  /* Without the link to the store no host is in touch with it.  */
  if (fault->active && fault->kind == FAULT_EVACUATE
      && is_active (soak, FAULT_STORE_LINK))
    fault->span.from_ms = now_ms + EVACUATED_WITHIN_MS;
  if (fault->active && fault->kind == FAULT_ENDPOINT_LINK)
    g_array_append_val (soak->limits[fault->target - 1].disturbed_ms, now_ms);
}

static bool
is_targeted (const struct soak *soak, bool is_host, int target)
{
  for (int i = 0; i < MAX_FAULTS; i++)
    {
      const struct fault *fault = &soak->faults[i];
      bool hits_host
          = fault->kind <= FAULT_WIPE || fault->kind == FAULT_REJECT_HOST;

      if (fault->active && hits_host == is_host
          && (fault->target == target || (is_host && fault->second == target)))
        return true;
    }
  return false;
}

static bool
may_fail_keeper (const struct soak *soak, int64_t now_ms)
{
  for (int i = FLEET_ENTRIES; i < FLEET_HOSTS; i++)
    if (is_targeted (soak, true, i))
      return false;
  return now_ms > soak->next_keeper_fault_ms;
}

static void
reject_host (struct soak *soak, int host)
{
  char name[FLEET_NAME_BYTES];
  char *body;

  if (host >= 0)
    fleet_host_name (host, name);
  body = host >= 0 ? xasprintf ("[\"%s\"]", name) : xstrdup ("[]");
  send_command (soak, FLEET_STORE_PORT, "POST", "/turned-away", body);
  free (body);
}

static void
request_retirement (struct soak *soak, int host)
{
  char name[FLEET_NAME_BYTES];
  char *body;

  fleet_host_name (host, name);
  body = xasprintf ("{\"metadata\": {\"name\": \"%s\"}, \"spec\": {}}", name);
  send_command (soak, FLEET_STORE_PORT, "POST", "/objects/retirements", body);
  free (body);
}

/* Ends the fault once the keeper has written that others hold its copies.  */
static void
poll_retirement (struct soak *soak, struct fault *fault, int64_t now_ms)
{
  char name[FLEET_NAME_BYTES];
  struct http_call call;
  const char *state;
  char *path;

  if (now_ms < fault->next_poll_ms)
    return;
  fault->next_poll_ms = now_ms + RETIREMENT_POLL_MS;
  fleet_host_name (fault->target, name);
  path = xasprintf ("/objects/retirements/%s", name);
  call = send_request (soak, FLEET_STORE_PORT, "GET", path, NULL);
  state = json_string_value (
      json_object_get (json_object_get (call.body, "status"), "state"));
  if (state && strcmp (state, "complete") == 0)
    {
      printf ("%lld ms: %s is retired\n", (long long)now_ms, name);
      soak->retired_count++;
      fault->ends_ms = 0;
    }
  json_decref (call.body);
  free (path);
}

/* Starts an empty keeper in place of a retired one.  */
static void
replace_retired (struct soak *soak, int host)
{
  char name[FLEET_NAME_BYTES];
  char *path;

  fleet_host_name (host, name);
  path = xasprintf ("/objects/retirements/%s", name);
  fleet_kill (&soak->fleet.hosts[host]);
  fleet_delete_data (&soak->fleet, host);
  send_command (soak, FLEET_STORE_PORT, "DELETE", path, NULL);
  start_host (soak, host, false);
  free (path);
}

/* Makes an endpoint cold.  The store has acknowledged that at the start of the
   span; the entry tells how long it lasts from when it was sent.  */
static void
make_cold (struct soak *soak, struct fault *fault)
{
  struct limit_span span = { .to_ms = clock_now_ms () + COLD_MS };
  int endpoint = fault->target - 1;

  write_entry (soak, endpoint, "PUT", COLD_MS);
  span.from_ms = clock_now_ms ();
  g_array_append_val (soak->limits[endpoint].cold, span);
  fault->ends_ms = span.to_ms;
}

/* Has the registry's entry say that an endpoint is no longer cold.  If faults
   end before their time, hosts learn so from the entry, and what the endpoint
   may get ends with it.  */
static void
end_cold (struct soak *soak, const struct fault *fault)
{
  int endpoint = fault->target - 1;
  GArray *spans = soak->limits[endpoint].cold;
  struct limit_span *last
      = &g_array_index (spans, struct limit_span, spans->len - 1);

  last->to_ms = MIN (last->to_ms, clock_now_ms ());
  write_entry (soak, endpoint, "PUT", 0);
}

static void
evacuate (struct soak *soak, struct fault *fault)
{
  char *body = xasprintf ("{\"metadata\": {\"name\": \"%s\"}, \"spec\": {}}",
                          fleet_data_centre (fault->target));

  send_command (soak, FLEET_STORE_PORT, "POST", "/objects/evacuations", body);
  fault->span.from_ms = clock_now_ms () + EVACUATED_WITHIN_MS;
  fault->ends_ms = clock_now_ms () + EVACUATION_MS;
  free (body);
}

static void
end_evacuation (struct soak *soak, struct fault *fault)
{
  char *path = xasprintf ("/objects/evacuations/%s",
                          fleet_data_centre (fault->target));

  fault->span.to_ms = clock_now_ms ();
  for (int i = 0; i < FLEET_ENDPOINTS; i++)
    if (i % 2 == fault->target)
      g_array_append_val (soak->limits[i].evacuated, fault->span);
  send_command (soak, FLEET_STORE_PORT, "DELETE", path, NULL);
  free (path);
}

static void
inject_endpoint_fault (struct soak *soak, int endpoint)
{
  static const char *const bodies[]
      = { "{\"half_next\": 2}", "{\"lose_answers\": 2}",
          "{\"crossed_next\": 1}" };

  send_command (soak, FLEET_ENDPOINT_PORT + endpoint, "POST", "/faults",
                bodies[random_below (soak, sizeof bodies / sizeof *bodies)]);
}

static void
inject_link_fault (struct soak *soak, int proxy)
{
  proxy_set_fault (
      soak->proxies[proxy],
      (enum proxy_fault) (1 + random_below (soak, PROXY_FAULTS - 1)));
}

static void
start_fault (struct soak *soak, struct fault *fault)
{
  struct fleet *fleet = &soak->fleet;

  fault->active = true;
  soak->injected_count++;
  printf ("%lld ms: %s %d\n", (long long)clock_now_ms (),
          fault_names[fault->kind], fault->target);
  switch (fault->kind)
    {
    case FAULT_KILL:
      fleet_kill (&fleet->hosts[fault->target]);
      break;
    case FAULT_WIPE:
      fleet_kill (&fleet->hosts[fault->target]);
      fleet_kill (&fleet->hosts[fault->second]);
      fleet_delete_data (fleet, fault->target);
      fleet_delete_data (fleet, fault->second);
      break;
    case FAULT_RETIRE:
      request_retirement (soak, fault->target);
      fault->ends_ms = clock_now_ms () + RETIREMENT_LIMIT_MS;
      break;
    case FAULT_STOP:
      fleet_signal (&fleet->hosts[fault->target], SIGTERM);
      fault->ends_ms = clock_now_ms () + STOP_TIMEOUT_MS;
      break;
    case FAULT_PAUSE:
      fleet_signal (&fleet->hosts[fault->target], SIGSTOP);
      break;
    case FAULT_STORE_LINK:
    case FAULT_ENDPOINT_LINK:
      inject_link_fault (soak, fault->target);
      break;
    case FAULT_REJECT_HOST:
      reject_host (soak, fault->target);
      break;
    case FAULT_STORE_RESPONSES:
      send_command (soak, FLEET_STORE_PORT, "POST", "/faults",
                    "{\"lose_answers\": 3}");
      break;
    case FAULT_COMPACT:
      send_command (soak, FLEET_STORE_PORT, "GET", "/compact", NULL);
      break;
    case FAULT_ENDPOINT_RESPONSES:
      inject_endpoint_fault (soak, fault->target - 1);
      break;
    case FAULT_CONFIG:
      write_config (soak, "PUT");
      break;
    case FAULT_COLD:
      make_cold (soak, fault);
      break;
    case FAULT_EVACUATE:
      evacuate (soak, fault);
      break;
    case FAULT_KINDS:
      break;
    }
}

static void
end_fault (struct soak *soak, struct fault *fault)
{
  struct fleet *fleet = &soak->fleet;

  fault->active = false;
  if (fault->kind <= FAULT_WIPE && fleet_is_keeper (fault->target))
    soak->next_keeper_fault_ms
        = clock_now_ms ()
          + (fault->kind < FAULT_RETIRE ? KEEPER_SYNC_MS : KEEPER_RESTORE_MS);
  switch (fault->kind)
    {
    case FAULT_KILL:
      start_host (soak, fault->target, false);
      break;
    case FAULT_WIPE:
      start_host (soak, fault->target, false);
      if (fault->second != fault->target)
        start_host (soak, fault->second, false);
      break;
    case FAULT_RETIRE:
      replace_retired (soak, fault->target);
      break;
    case FAULT_STOP:
      if (fleet->hosts[fault->target].pid > 0)
        {
          callers_report_violation (soak->callers,
                                    "host %d has not stopped in %d ms",
                                    fault->target, STOP_TIMEOUT_MS);
          fleet_kill (&fleet->hosts[fault->target]);
        }
      start_host (soak, fault->target, false);
      break;
    case FAULT_PAUSE:
      fleet_signal (&fleet->hosts[fault->target], SIGCONT);
      break;
    case FAULT_STORE_LINK:
    case FAULT_ENDPOINT_LINK:
      proxy_set_fault (soak->proxies[fault->target], PROXY_NONE);
      break;
    case FAULT_REJECT_HOST:
      reject_host (soak, -1);
      break;
    case FAULT_COLD:
      end_cold (soak, fault);
      break;
    case FAULT_EVACUATE:
      end_evacuation (soak, fault);
      break;
    default:
      break;
    }
}

static int
pick_target (struct soak *soak, enum fault_kind kind)
{
  switch (kind)
    {
    case FAULT_KILL:
    case FAULT_STOP:
    case FAULT_PAUSE:
      return (int)random_below (soak, FLEET_HOSTS);
    case FAULT_RETIRE:
    case FAULT_WIPE:
      return FLEET_ENTRIES + (int)random_below (soak, FLEET_KEEPERS);
    case FAULT_REJECT_HOST:
      return (int)random_below (soak, FLEET_ENTRIES);
    case FAULT_ENDPOINT_LINK:
    case FAULT_ENDPOINT_RESPONSES:
    case FAULT_COLD:
      return 1 + (int)random_below (soak, FLEET_ENDPOINTS);
    case FAULT_EVACUATE:
      return (int)random_below (soak, 2);
    default:
      return 0;
    }
}

/* One evacuation at a time, so that endpoints are left; and an endpoint turns
   cold only while some host can learn it from the store.  */
static bool
may_start (const struct soak *soak, enum fault_kind kind, int64_t now_ms)
{
  if (kind == FAULT_EVACUATE)
    return !is_active (soak, FAULT_EVACUATE);
  if (kind == FAULT_COLD)
    return now_ms - soak->store_link_fault_ms > STORE_SETTLE_MS;
  return kind != FAULT_STORE_LINK || !is_active (soak, FAULT_COLD);
}

/* Starts a random fault in FAULT, unless its target already has one or it
   would fail a keeper too soon after another.  */
static void
try_inject_fault (struct soak *soak, struct fault *fault, int64_t now_ms)
{
  enum fault_kind kind = (enum fault_kind)random_below (soak, FAULT_KINDS);
  int target = pick_target (soak, kind);
  bool is_host = kind <= FAULT_WIPE || kind == FAULT_REJECT_HOST;

  if (is_targeted (soak, is_host, target) || !may_start (soak, kind, now_ms)
      || (kind <= FAULT_WIPE && fleet_is_keeper (target)
          && !may_fail_keeper (soak, now_ms)))
    return;
  *fault = (struct fault){
    .kind = kind,
    .target = target,
    .second = kind == FAULT_WIPE ? pick_target (soak, kind) : target,
    .ends_ms = now_ms + FAULT_MIN_MS
               + (int64_t)random_below (soak, FAULT_MAX_MS - FAULT_MIN_MS)
  };
  start_fault (soak, fault);
}

/* Reports hosts that exited without being told to or with an error.  */
static void
check_host_exits (struct soak *soak)
{
  for (int i = 0; i < FLEET_HOSTS; i++)
    {
      struct fleet_process *host = &soak->fleet.hosts[i];
      bool stop_requested = host->stop_requested;
      int status = 0;

      if (!fleet_has_exited (host, &status))
        continue;
      if (!stop_requested || !WIFEXITED (status) || WEXITSTATUS (status) != 0)
        callers_report_violation (
            soak->callers, "host %d ended with status %d%s", i, status,
            stop_requested ? "" : " without being told to stop");
      for (int f = 0; f < MAX_FAULTS; f++)
        if (soak->faults[f].active && soak->faults[f].kind == FAULT_STOP
            && soak->faults[f].target == i)
          soak->faults[f].ends_ms = 0;
    }
}

static void
handle_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct soak *soak = timer->data;
  int64_t now_ms = clock_now_ms ();

  check_host_exits (soak);
  for (int i = 0; i < MAX_FAULTS; i++)
    {
      struct fault *fault = &soak->faults[i];

      record_disturbance (soak, fault);
      if (fault->active && fault->kind == FAULT_RETIRE)
        poll_retirement (soak, fault, now_ms);
      if (fault->active && now_ms >= fault->ends_ms)
        end_fault (soak, fault);
      if (fault->active || !soak->injecting || now_ms < soak->next_fault_ms)
        continue;
      soak->next_fault_ms
          = now_ms
            + (int64_t)random_below (soak, FAULT_INTERVAL_MS * UINT64_C (2));
      try_inject_fault (soak, fault, now_ms);
    }
}

static void
run_for (struct soak *soak, int64_t duration_ms)
{
  int64_t until_ms = clock_now_ms () + duration_ms;

  while (clock_now_ms () < until_ms)
    {
      handle_tick (soak->loop, &soak->tick, 0);
      ev_run (soak->loop, EVRUN_NOWAIT);
      ev_sleep (0.005);
    }
}

static bool
all_hosts_ready (struct soak *soak)
{
  for (int i = 0; i < FLEET_ENTRIES; i++)
    if (!responds_ok (soak, FLEET_HEALTH_PORT + i, "/readyz"))
      return false;
  return true;
}

static bool
wait_until_ready (struct soak *soak, int64_t limit_ms)
{
  int64_t until_ms = clock_now_ms () + limit_ms;

  while (clock_now_ms () < until_ms)
    {
      if (all_hosts_ready (soak))
        return true;
      run_for (soak, 100);
    }
  return false;
}

static bool
open_proxies (struct soak *soak)
{
  for (int i = 0; i <= FLEET_ENDPOINTS; i++)
    {
      soak->proxies[i] = proxy_create (
          soak->loop, (uint16_t)(soak->fleet.base_port + FLEET_PROXY_PORT + i),
          (uint16_t)(soak->fleet.base_port + i));
      if (!soak->proxies[i])
        return false;
    }
  return true;
}

static bool
start_system (struct soak *soak)
{
  struct callers_options callers
      = { .loop = soak->loop,
          .fetcher = soak->fetcher,
          .first_port = (uint16_t)(soak->fleet.base_port + FLEET_CALLER_PORT),
          .hosts = FLEET_ENTRIES,
          .count = CALLER_COUNT,
          .seed = soak->seed };

  fleet_start_standins (&soak->fleet);
  for (int i = 0;
       i < START_TRIES && !responds_ok (soak, FLEET_STORE_PORT, "/stats"); i++)
    ev_sleep (START_PAUSE_S);
  if (!open_proxies (soak))
    {
      printf ("cannot bind a port from %d on; choose another --port\n",
              soak->fleet.base_port);
      return false;
    }
  write_config (soak, "POST");
  register_endpoints (soak);
  if (!prepare_endpoints (soak))
    {
      printf ("not every endpoint started\n");
      return false;
    }
  for (int i = 0; i < FLEET_HOSTS; i++)
    start_host (soak, i, true);
  if (!wait_until_ready (soak, START_TIMEOUT_MS))
    {
      printf ("not every host became ready in %d ms\n", START_TIMEOUT_MS);
      return false;
    }
  soak->callers = callers_create (&callers);
  callers.count = CHAIN_COUNT;
  soak->chains = chains_create (&callers, soak->callers);
  return true;
}

/* Ends every fault.  */
static void
end_faults (struct soak *soak)
{
  soak->injecting = false;
  for (int i = 0; i < MAX_FAULTS; i++)
    while (soak->faults[i].active)
      {
        if (soak->faults[i].kind != FAULT_STOP
            && soak->faults[i].kind != FAULT_RETIRE
            && soak->faults[i].kind != FAULT_EVACUATE)
          soak->faults[i].ends_ms = 0;
        run_for (soak, 50);
      }
}

static void
wait_for_recovery (struct soak *soak)
{
  if (!wait_until_ready (soak, RECOVERY_TIMEOUT_MS))
    callers_report_violation (
        soak->callers, "not every host is ready %d ms after the last fault",
        RECOVERY_TIMEOUT_MS);
}

static void
check_limit (struct soak *soak, int endpoint, const json_t *arrivals)
{
  uint32_t excess = is_limited (endpoint) ? limit_check_excess (
                        &soak->limits[endpoint], arrivals, LIMIT_MILLI)
                                          : 0;

  uint32_t cold = limit_check_cold_excess (&soak->limits[endpoint], arrivals);
  uint32_t evacuated
      = limit_check_evacuated (&soak->limits[endpoint], arrivals);

  printf ("endpoint %d: %zu requests\n", endpoint, json_array_size (arrivals));
  if (excess > 0)
    callers_report_violation (soak->callers,
                              "endpoint %d got %u requests too many in 4 s",
                              endpoint, excess);
  if (cold > 0)
    callers_report_violation (soak->callers,
                              "endpoint %d got %u requests too many in 1 s "
                              "while cold",
                              endpoint, cold);
  if (evacuated > 0)
    callers_report_violation (
        soak->callers, "endpoint %d got %u requests while it was evacuated",
        endpoint, evacuated);
}

/* Checks what the endpoints of conversations got.  */
static void
check_bodies (struct soak *soak)
{
  json_t *bodies = json_object ();

  for (int i = 0; i < FLEET_ENDPOINTS; i++)
    {
      struct http_call call = send_request (soak, FLEET_ENDPOINT_PORT + i,
                                            "GET", "/bodies", NULL);
      const char *id;
      json_t *list;

      if (call.status != 200)
        callers_report_violation (soak->callers,
                                  "endpoint %d does not list its bodies", i);
      json_object_foreach (call.body, id, list)
      {
        json_t *known = json_object_get (bodies, id);

        if (known)
          json_array_extend (known, list);
        else
          json_object_set (bodies, id, list);
      }
      json_decref (call.body);
    }
  chains_check_bodies (soak->chains, bodies);
  json_decref (bodies);
}

static json_t *
collect_runs (struct soak *soak)
{
  json_t *runs = json_object ();

  for (int i = 0; i < FLEET_ENDPOINTS; i++)
    {
      struct http_call call = send_request (soak, FLEET_ENDPOINT_PORT + i,
                                            "GET", "/counts", NULL);
      const char *id;
      json_t *count;

      if (call.status != 200)
        callers_report_violation (soak->callers,
                                  "endpoint %d does not respond", i);
      json_object_foreach (json_object_get (call.body, "counts"), id, count)
      {
        if (is_chat (i))
          continue; /* checked with their bodies */
        json_int_t sum = json_integer_value (json_object_get (runs, id));

        json_object_set_new (runs, id,
                             json_integer (sum + json_integer_value (count)));
      }
      check_limit (soak, i, json_object_get (call.body, "arrivals"));
      json_decref (call.body);
    }
  return runs;
}

/* Checks that requests succeed again once all hosts have recovered.  */
static void
check_service (struct soak *soak)
{
  struct callers_totals before;
  struct callers_totals after;

  run_for (soak, KEEPER_SYNC_MS);
  before = callers_totals (soak->callers);
  run_for (soak, CALL_TIMEOUT_MS);
  after = callers_totals (soak->callers);
  if (after.answered == before.answered
      || after.broken_off > before.broken_off)
    callers_report_violation (
        soak->callers, "%u answered and %u broken off with all hosts healthy",
        after.answered - before.answered,
        after.broken_off - before.broken_off);
}

static void
finish (struct soak *soak)
{
  json_t *runs;

  end_faults (soak);
  chains_begin_last_check (soak->chains);
  wait_for_recovery (soak);
  check_service (soak);
  while (!chains_are_done (soak->chains))
    run_for (soak, 50);
  check_bodies (soak);
  callers_stop (soak->callers);
  while (!callers_are_done (soak->callers))
    run_for (soak, 50);
  runs = collect_runs (soak);
  callers_check_runs (soak->callers, runs);
  json_decref (runs);
}

static void
close_soak (struct soak *soak)
{
  chains_destroy (soak->chains);
  callers_destroy (soak->callers);
  for (int i = 0; i <= FLEET_ENDPOINTS; i++)
    proxy_destroy (soak->proxies[i]);
  fetcher_destroy (soak->fetcher);
  fleet_kill_all (&soak->fleet);
  for (int i = 0; i < FLEET_ENDPOINTS; i++)
    limit_check_release (&soak->limits[i]);
  ev_loop_destroy (soak->loop);
}

static int
run_soak (struct soak *soak, uint64_t seed, gint seconds)
{
  struct callers_totals totals = { .violations = 1 };
  struct chains_totals chains = { 0 };

  /* The default loop would reap the programs before fleet_has_exited.  */
  soak->loop = ev_loop_new (EVFLAG_AUTO);
  soak->fetcher = fetcher_create (soak->loop);
  for (int i = 0; i < FLEET_ENDPOINTS; i++)
    limit_check_init (&soak->limits[i]);
  ev_timer_init (&soak->tick, handle_tick, 0, 0);
  soak->tick.data = soak;
  if (start_system (soak))
    {
      soak->injecting = true;
      run_for (soak, (int64_t)seconds * 1000);
      finish (soak);
      totals = callers_totals (soak->callers);
      chains = chains_totals (soak->chains);
    }
  printf ("seed %" G_GUINT64_FORMAT ": %u faults, %u programs, %u attempts: "
          "%u answered, %u refused, %u broken off, %u resumptions; "
          "%u violations\n",
          seed, soak->injected_count, totals.programs, totals.attempts,
          totals.answered, totals.refused, totals.broken_off, totals.resumed,
          totals.violations);
  printf ("chains: %u turns, %u whole, %u continued, %u forbidden; %u of %u "
          "went on after the faults; %u keepers retired\n",
          chains.turns, chains.whole, chains.continued, chains.forbidden,
          chains.ends_continued, chains.ends, soak->retired_count);
  close_soak (soak);
  return totals.violations > 0;
}

int
main (int argc, char **argv)
{
  gint64 seed = 1;
  gint seconds = DEFAULT_SECONDS;
  gint port = DEFAULT_PORT;
  char *build = NULL;
  GOptionEntry entries[] = {
    { "seed", 0, 0, G_OPTION_ARG_INT64, &seed, "Random seed of the faults",
      "N" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
      "Duration of fault injection in seconds", "N" },
    { "port", 0, 0, G_OPTION_ARG_INT, &port, "First of 100 free ports", "N" },
    { "build", 0, 0, G_OPTION_ARG_STRING, &build, "Build directory", "DIR" },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  GOptionContext *context
      = g_option_context_new ("- run the programs under random faults");
  GError *problem = NULL;
  char directory[] = "/tmp/galena-soak-XXXXXX";
  struct soak soak = { 0 };
  int status = EXIT_USAGE;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &problem))
    {
      fprintf (stderr, "soak: %s\n", problem->message);
      g_error_free (problem);
      goto out;
    }
  if (!build || sodium_init () < 0 || !mkdtemp (directory))
    {
      fputs ("soak: --build must name the build directory\n", stderr);
      goto out;
    }
  signal (SIGPIPE, SIG_IGN);
  log_init ("soak", LOG_ERROR);
  soak.fleet.build = build;
  soak.fleet.directory = directory;
  soak.fleet.base_port = (uint16_t)port;
  soak.seed = (uint64_t)seed;
  setvbuf (stdout, NULL, _IOLBF, 0);
  printf ("logs and data directories are in %s\n", directory);
  status = run_soak (&soak, (uint64_t)seed, seconds);
out:
  g_option_context_free (context);
  g_free (build);
  return status;
}
