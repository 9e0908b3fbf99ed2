#include "endpoint/endpoint.h"
#include "common/buf.h"
#include "common/id.h"
#include <stdlib.h>
#include <string.h>

enum
{
  SAME_CRASH_MS = 500, /* calls cut within it fell to the same crash */
  EJECT_AFTER = 3,
  EJECT_BASE_MS = 500,
  EJECT_CAP_MS = 15000,
  CALL_MS_WEIGHT = 8, /* of the moving average */
  FIRST_CALL_MS = 500,
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
copy_text (char **slot, const char *value)
{
  free (*slot);
  *slot = xstrdup (value);
}

static void
apply_one (struct endpoint_table *table, const struct config_endpoint *config)
{
  struct endpoint *endpoint = find_endpoint (table, config->name);

  if (!endpoint)
    {
      endpoint = xcalloc (1, sizeof *endpoint);
      endpoint->name = xstrdup (config->name);
      endpoint->call_ms = FIRST_CALL_MS;
      retry_budget_init (&endpoint->retries);
      endpoint->next = table->first;
      table->first = endpoint;
    }
  endpoint->kind = config->kind;
  copy_text (&endpoint->url, config->url);
  copy_text (&endpoint->credential, config->credential);
  copy_text (&endpoint->route, config->route);
  strings_copy (&endpoint->models, &config->models);
  endpoint->slots = config->slots;
  endpoint->checks_fencing = config->checks_fencing;
  endpoint->leaving = config->leaving;
  endpoint->listed = true;
}

static void
drop_unused (struct endpoint_table *table)
{
  struct endpoint **slot = &table->first;

  while (*slot)
    {
      struct endpoint *endpoint = *slot;

      if (endpoint->listed || endpoint->in_flight > 0 || endpoint->load_fetch)
        {
          slot = &endpoint->next;
          continue;
        }
      *slot = endpoint->next;
      endpoint_destroy (endpoint);
    }
}

/* Takes over the endpoints that CONFIG names; what was seen of them stays.  */
void
endpoint_table_apply (struct endpoint_table *table,
                      const struct config *config)
{
  for (struct endpoint *e = table->first; e; e = e->next)
    e->listed = false;
  for (size_t i = 0; i < config->endpoint_count; i++)
    apply_one (table, &config->endpoints[i]);
  drop_unused (table);
}

/* Frees all endpoints; nothing may be in flight there.  */
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

/* Whether new work may go there.  One that has been ejected gets one call at
   a time once its time is over, until a call succeeds.  */
bool
endpoint_is_eligible (const struct endpoint *endpoint, int64_t now_ms)
{
  if (!endpoint->listed || endpoint->leaving || endpoint->reports_leaving)
    return false;
  if (now_ms < endpoint->ejected_until_ms)
    return false;
  return endpoint->ejections == 0 || endpoint->in_flight == 0;
}

/* Whether the engine serves MODEL; one that lists none serves all.  */
bool
endpoint_serves_model (const struct endpoint *endpoint, const char *model)
{
  if (endpoint->kind != ENDPOINT_ENGINE)
    return false;
  return endpoint->models.count == 0
         || strings_contain (&endpoint->models, model);
}

/* A call there has had its whole answer after TOOK_MS.  */
void
endpoint_note_success (struct endpoint *endpoint, int64_t took_ms)
{
  endpoint->answered_ms = clock_now_ms ();
  endpoint->failures_in_a_row = 0;
  endpoint->ejections = 0;
  endpoint->call_ms += (took_ms - endpoint->call_ms) / CALL_MS_WEIGHT;
}

/* A stream there was cut and nothing answers.  Whether that is a crash that
   the calls in flight may have caused: one that had not come up since the last
   crash is still down, which is nobody's fault.  */
bool
endpoint_note_crash (struct endpoint *endpoint, int64_t now_ms)
{
  if (endpoint->answered_ms > endpoint->crashed_ms)
    endpoint->crashed_ms = now_ms;
  return now_ms - endpoint->crashed_ms < SAME_CRASH_MS;
}

/* A call there has failed for a reason that is the endpoint's.  */
void
endpoint_note_failure (struct endpoint *endpoint, int64_t now_ms)
{
  int64_t hold_ms = EJECT_BASE_MS;

  if (++endpoint->failures_in_a_row < EJECT_AFTER && endpoint->ejections == 0)
    return;
  for (uint32_t i = 0; i < endpoint->ejections && hold_ms < EJECT_CAP_MS; i++)
    hold_ms *= 2;
  if (hold_ms > EJECT_CAP_MS)
    hold_ms = EJECT_CAP_MS;
  endpoint->ejections++;
  endpoint->failures_in_a_row = 0;
  endpoint->ejected_until_ms = now_ms + hold_ms;
}

/* Returns how much of the program's prompt is believed to be cached there.  */
int64_t
endpoint_cached_tokens (const struct endpoint *endpoint, uint64_t program)
{
  const struct endpoint_affinity *slot
      = &endpoint->affinity[program % ENDPOINT_AFFINITY_SLOTS];

  return slot->program == program ? slot->tokens : 0;
}

/* The engine has just had a prompt of TOKENS of the program.  */
void
endpoint_note_cached (struct endpoint *endpoint, uint64_t program,
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
                   e->listed, "leaving", e->leaving || e->reports_leaving,
                   "in_flight", (json_int_t)e->in_flight, "reported_busy",
                   (json_int_t)e->reported_busy, "slots", (json_int_t)e->slots,
                   "call_ms", (json_int_t)e->call_ms, "ejected",
                   now_ms < e->ejected_until_ms));
  return list;
}
