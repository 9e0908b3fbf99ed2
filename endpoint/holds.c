#include "endpoint/holds.h"
#include "common/buf.h"
#include "common/counters.h"
#include "common/id.h"
#include "endpoint/dispatcher.h"
#include "galenashored/server.h"
#include "program/program.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  PAUSE_EWMA_DIVISOR = 4, /* weight of a new sample is 1 / this */
  REQUEST_TIMEOUT_MS = 1000,
};

/* The hold of a program that is waiting for a tool call.  Owned by struct
   holds. */
struct hold
{
  char *engine; /* name of the endpoint that has the KV cache */
  char *route;  /* of the tool */
  int64_t started_ms;
};

struct holds
{
  struct server *server;
  GHashTable *by_program; /* program id to struct hold */
  GHashTable *pauses;     /* route to moving average of pauses, in ms */
  int64_t last_sweep_ms;
};

static void
hold_destroy (void *pointer)
{
  struct hold *hold = pointer;

  free (hold->engine);
  free (hold->route);
  free (hold);
}

/* Creates the holds of SERVER, whose fetcher and dispatcher must exist.  */
struct holds *
holds_create (struct server *server)
{
  struct holds *holds = xcalloc (1, sizeof *holds);

  holds->server = server;
  holds->by_program
      = g_hash_table_new_full (g_str_hash, g_str_equal, free, hold_destroy);
  holds->pauses = g_hash_table_new_full (g_str_hash, g_str_equal, free, free);
  return holds;
}

/* Frees the holds.  The holds at the engines expire on their own.  */
void
holds_destroy (struct holds *holds)
{
  if (!holds)
    return;
  g_hash_table_destroy (holds->by_program);
  g_hash_table_destroy (holds->pauses);
  free (holds);
}

static struct endpoint *
find_engine (const struct holds *holds, const char *name)
{
  struct endpoint *endpoint
      = dispatcher_endpoints (holds->server->dispatcher)->first;

  while (endpoint && strcmp (endpoint->name, name) != 0)
    endpoint = endpoint->next;
  return endpoint;
}

static void
ignore_response (void *data, const struct fetch_result *result)
{
}

/* Sends a request that sets or deletes a hold.  The response is ignored: a
   hold that was not set only costs one more prefill.  */
static void
send_hold_request (struct holds *holds, const struct endpoint *engine,
                   const char *method, const char *program, int64_t ttl_ms)
{
  char *url = xasprintf ("%s/v1/holds/%s", engine->url, program);
  char *body
      = ttl_ms > 0 ? xasprintf ("{\"ttl_ms\":%lld}", (long long)ttl_ms) : NULL;
  char *credential_header
      = engine->credential
            ? xasprintf ("Authorization: Bearer %s", engine->credential)
            : NULL;
  const char *headers[]
      = { "Content-Type: application/json", credential_header, NULL };
  struct fetch_options options = { .method = method,
                                   .url = url,
                                   .headers = headers,
                                   .body = body,
                                   .body_len = body ? strlen (body) : 0,
                                   .connect_timeout_ms = REQUEST_TIMEOUT_MS,
                                   .timeout_ms = REQUEST_TIMEOUT_MS,
                                   .handle_done = ignore_response };

  fetch_start (holds->server->fetcher, &options);
  free (url);
  free (body);
  free (credential_header);
}

static int64_t
expected_pause_ms (const struct holds *holds, const char *route)
{
  const int64_t *average_ms = g_hash_table_lookup (holds->pauses, route);

  return average_ms ? *average_ms : HOLD_DEFAULT_PAUSE_MS;
}

static void
record_pause (struct holds *holds, const char *route, int64_t duration_ms)
{
  int64_t *average_ms = g_hash_table_lookup (holds->pauses, route);

  if (!average_ms)
    {
      average_ms = xcalloc (1, sizeof *average_ms);
      *average_ms = HOLD_DEFAULT_PAUSE_MS;
      g_hash_table_insert (holds->pauses, xstrdup (route), average_ms);
    }
  *average_ms += (duration_ms - *average_ms) / PAUSE_EWMA_DIVISOR;
}

/* Places a hold on the KV cache of PROGRAM.  Called when PROGRAM, whose last
   model call ran on ENGINE, starts a call of the tool ROUTE.  ENGINE may be
   NULL when it is not known; then no hold is placed.  */
void
holds_begin_pause (struct holds *holds, const char *program,
                   const char *engine, const char *route)
{
  struct endpoint *endpoint = engine ? find_engine (holds, engine) : NULL;
  int64_t ttl_ms = HOLD_PAUSE_FACTOR * expected_pause_ms (holds, route);
  struct hold *hold;

  if (!endpoint)
    return;
  if (ttl_ms < HOLD_MIN_MS)
    ttl_ms = HOLD_MIN_MS;
  if (ttl_ms > HOLD_MAX_MS)
    ttl_ms = HOLD_MAX_MS;
  hold = xcalloc (1, sizeof *hold);
  hold->engine = xstrdup (engine);
  hold->route = xstrdup (route);
  hold->started_ms = clock_now_ms ();
  g_hash_table_replace (holds->by_program, xstrdup (program), hold);
  counter_add (COUNTER_HOLDS_PLACED, 1);
  send_hold_request (holds, endpoint, "POST", program, ttl_ms);
}

/* Called when the next model call of PROGRAM begins: records the length of the
   pause.  The hold is no longer needed and expires on its own.  */
void
holds_end_pause (struct holds *holds, const char *program)
{
  struct hold *hold = g_hash_table_lookup (holds->by_program, program);

  if (!hold)
    return;
  record_pause (holds, hold->route, clock_now_ms () - hold->started_ms);
  g_hash_table_remove (holds->by_program, program);
}

/* Deletes the hold of PROGRAM, which has ended or moved to another host.  */
void
holds_delete (struct holds *holds, const char *program)
{
  struct hold *hold = g_hash_table_lookup (holds->by_program, program);
  struct endpoint *endpoint;

  if (!hold)
    return;
  endpoint = find_engine (holds, hold->engine);
  if (endpoint)
    send_hold_request (holds, endpoint, "DELETE", program, 0);
  g_hash_table_remove (holds->by_program, program);
}

/* A request for the list of holds at an engine. */
struct sweep
{
  struct holds *holds;
  char *engine;
};

static void
sweep_release (void *pointer)
{
  struct sweep *sweep = pointer;

  free (sweep->engine);
  free (sweep);
}

/* Returns whether this host owns PROGRAM but does not have it in memory.  Such
   a program has ended, or its previous owner died.  */
static bool
is_orphan (struct holds *holds, const char *program)
{
  struct server *server = holds->server;
  const struct config_host *owner = server_find_owner (server, program);

  return owner && server_is_self (server, owner)
         && !program_find (server->programs, program);
}

static void
handle_hold_list (void *data, const struct fetch_result *result)
{
  struct sweep *sweep = data;
  struct endpoint *endpoint = find_engine (sweep->holds, sweep->engine);
  json_t *body = json_loadb (result->body->data ? result->body->data : "",
                             result->body->len, 0, NULL);
  size_t i;
  json_t *program;

  json_array_foreach (json_object_get (body, "holds"), i, program)
  {
    const char *id = json_string_value (program);

    if (!endpoint || !id || !is_orphan (sweep->holds, id))
      continue;
    counter_add (COUNTER_HOLDS_SWEPT, 1);
    send_hold_request (sweep->holds, endpoint, "DELETE", id, 0);
  }
  json_decref (body);
}

static void
sweep_engine (struct holds *holds, const struct endpoint *endpoint)
{
  struct sweep *sweep = xcalloc (1, sizeof *sweep);
  char *url = xasprintf ("%s/v1/holds", endpoint->url);
  struct fetch_options options = { .method = "GET",
                                   .url = url,
                                   .connect_timeout_ms = REQUEST_TIMEOUT_MS,
                                   .timeout_ms = REQUEST_TIMEOUT_MS,
                                   .handle_done = handle_hold_list,
                                   .release_data = sweep_release,
                                   .data = sweep };

  sweep->holds = holds;
  sweep->engine = xstrdup (endpoint->name);
  fetch_start (holds->server->fetcher, &options);
  free (url);
}

/* Deletes orphaned holds at the engines every HOLD_SWEEP_MS.  */
void
holds_tick (struct holds *holds, int64_t now_ms)
{
  if (now_ms - holds->last_sweep_ms < HOLD_SWEEP_MS)
    return;
  holds->last_sweep_ms = now_ms;
  for (struct endpoint *e
       = dispatcher_endpoints (holds->server->dispatcher)->first;
       e; e = e->next)
    if (e->kind == ENDPOINT_ENGINE && e->configured)
      sweep_engine (holds, e);
}

/* Returns the average pauses and the number of holds as a new reference.  */
json_t *
holds_to_json (const struct holds *holds)
{
  json_t *pauses = json_object ();
  GHashTableIter iter;
  void *route;
  void *pause;

  g_hash_table_iter_init (&iter, holds->pauses);
  while (g_hash_table_iter_next (&iter, &route, &pause))
    json_object_set_new (pauses, route, json_integer (*(int64_t *)pause));
  return json_pack ("{s:I, s:o}", "programs",
                    (json_int_t)g_hash_table_size (holds->by_program),
                    "pauses_ms", pauses);
}
