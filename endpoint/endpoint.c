#include "endpoint/endpoint.h"
#include "common/buf.h"
#include "common/id.h"
#include <stdlib.h>
#include <string.h>

enum
{
  CRASH_WINDOW_MS
  = 500, /* streams cut within this time of a crash are attributed to it */
  EJECT_AFTER_FAILURES = 3,
  EJECT_BASE_MS = 500,
  EJECT_MAX_MS = 15000,
  CALL_MS_EWMA_DIVISOR = 8, /* weight of a new sample is 1 / this */
  INITIAL_CALL_MS = 500,
};

static struct endpoint *
find_endpoint (const struct endpoint_table *table, const char *name)
{
  for (struct endpoint *e = table->first; e; e = e->next)
    if (strcmp (e->name, name) == 0)
      return e;
  return NULL;
}

static void
endpoint_destroy (struct endpoint *endpoint)
{
  free (endpoint->name);
  free (endpoint->url);
  free (endpoint->credential);
  free (endpoint->route);
  strings_release (&endpoint->models);
  free (endpoint);
}

static void
replace_string (char **slot, const char *value)
{
  free (*slot);
  *slot = xstrdup (value);
}

static void
apply_endpoint (struct endpoint_table *table,
                const struct config_endpoint *config)
{
  struct endpoint *endpoint = find_endpoint (table, config->name);

  if (!endpoint)
    {
      endpoint = xcalloc (1, sizeof *endpoint);
      endpoint->name = xstrdup (config->name);
      endpoint->call_ms = INITIAL_CALL_MS;
      retry_budget_init (&endpoint->retries);
      endpoint->next = table->first;
      table->first = endpoint;
    }
  endpoint->kind = config->kind;
  replace_string (&endpoint->url, config->url);
  replace_string (&endpoint->credential, config->credential);
  replace_string (&endpoint->route, config->route);
  strings_copy (&endpoint->models, &config->models);
  endpoint->slots = config->slots;
  endpoint->checks_fencing = config->checks_fencing;
  endpoint->leaving = config->leaving;
  endpoint->configured = true;
}

static void
remove_unused (struct endpoint_table *table)
{
  struct endpoint **slot = &table->first;

  while (*slot)
    {
      struct endpoint *endpoint = *slot;

      if (endpoint->configured || endpoint->in_flight > 0
          || endpoint->load_fetch)
        {
          slot = &endpoint->next;
          continue;
        }
      *slot = endpoint->next;
      endpoint_destroy (endpoint);
    }
}

/* Applies the endpoints in CONFIG.  The observed state of endpoints that
   remain is kept.  */
void
endpoint_table_apply (struct endpoint_table *table,
                      const struct config *config)
{
  for (struct endpoint *e = table->first; e; e = e->next)
    e->configured = false;
  for (size_t i = 0; i < config->endpoint_count; i++)
    apply_endpoint (table, &config->endpoints[i]);
  remove_unused (table);
}

/* Frees all endpoints; no call may be in flight.  */
void
endpoint_table_release (struct endpoint_table *table)
{
  while (table->first)
    {
      struct endpoint *endpoint = table->first;

      table->first = endpoint->next;
      endpoint_destroy (endpoint);
    }
}

/* Returns whether new calls may be sent to ENDPOINT.  After its ejection time,
   an endpoint gets one call at a time until a call succeeds.  */
bool
endpoint_is_eligible (const struct endpoint *endpoint, int64_t now_ms)
{
  if (!endpoint->configured || endpoint->leaving || endpoint->reports_leaving)
    return false;
  if (now_ms < endpoint->ejected_until_ms)
    return false;
  return endpoint->ejections == 0 || endpoint->in_flight == 0;
}

/* Returns whether the endpoint is an engine that serves MODEL; an engine
   without a model list serves all models.  */
bool
endpoint_serves_model (const struct endpoint *endpoint, const char *model)
{
  if (endpoint->kind != ENDPOINT_ENGINE)
    return false;
  return endpoint->models.count == 0
         || strings_contain (&endpoint->models, model);
}

/* Records a call that completed after DURATION_MS.  */
void
endpoint_record_success (struct endpoint *endpoint, int64_t duration_ms)
{
  endpoint->last_response_ms = clock_now_ms ();
  endpoint->consecutive_failures = 0;
  endpoint->ejections = 0;
  endpoint->call_ms
      += (duration_ms - endpoint->call_ms) / CALL_MS_EWMA_DIVISOR;
}

/* Records that a stream was cut and the endpoint does not respond. Returns
   whether the cut is attributed to a crash that the call may have caused.  An
   endpoint that has not responded since its last crash is still down: cuts
   within CRASH_WINDOW_MS belong to that crash, later ones to none.  */
bool
endpoint_record_crash (struct endpoint *endpoint, int64_t now_ms)
{
  if (endpoint->last_response_ms > endpoint->last_crash_ms)
    endpoint->last_crash_ms = now_ms;
  return now_ms - endpoint->last_crash_ms < CRASH_WINDOW_MS;
}

/* Records a failure caused by the endpoint.  After EJECT_AFTER_FAILURES
   consecutive failures, or on any failure between an ejection and the next
   success, the endpoint is ejected; the ejection time doubles each time up to
   EJECT_MAX_MS.  */
void
endpoint_record_failure (struct endpoint *endpoint, int64_t now_ms)
{
  int64_t ejection_ms = EJECT_BASE_MS;

  if (++endpoint->consecutive_failures < EJECT_AFTER_FAILURES
      && endpoint->ejections == 0)
    return;
  for (uint32_t i = 0; i < endpoint->ejections && ejection_ms < EJECT_MAX_MS;
       i++)
    ejection_ms *= 2;
  if (ejection_ms > EJECT_MAX_MS)
    ejection_ms = EJECT_MAX_MS;
  endpoint->ejections++;
  endpoint->consecutive_failures = 0;
  endpoint->ejected_until_ms = now_ms + ejection_ms;
}

/* Returns how many prompt tokens of PROGRAM the endpoint is expected to have
   cached.  */
int64_t
endpoint_cached_tokens (const struct endpoint *endpoint, uint64_t program)
{
  const struct endpoint_affinity *slot
      = &endpoint->affinity[program % ENDPOINT_AFFINITY_SLOTS];

  return slot->program == program ? slot->tokens : 0;
}

/* Records that the engine now has a prompt of TOKENS tokens of PROGRAM
   cached.  */
void
endpoint_record_cached_tokens (struct endpoint *endpoint, uint64_t program,
                               int64_t tokens)
{
  struct endpoint_affinity *slot
      = &endpoint->affinity[program % ENDPOINT_AFFINITY_SLOTS];

  slot->program = program;
  slot->tokens = tokens;
}

/* Returns the state of every endpoint as a new reference.  */
json_t *
endpoint_table_to_json (const struct endpoint_table *table, int64_t now_ms)
{
  json_t *list = json_array ();

  for (const struct endpoint *e = table->first; e; e = e->next)
    json_array_append_new (
        list,
        json_pack ("{s:s, s:s, s:b, s:b, s:I, s:I, s:I, s:I, s:b}", "name",
                   e->name, "kind",
                   e->kind == ENDPOINT_ENGINE ? "engine" : "service", "listed",
                   e->configured, "leaving", e->leaving || e->reports_leaving,
                   "in_flight", (json_int_t)e->in_flight, "reported_busy",
                   (json_int_t)e->reported_busy, "slots", (json_int_t)e->slots,
                   "call_ms", (json_int_t)e->call_ms, "ejected",
                   now_ms < e->ejected_until_ms));
  return list;
}
