#include "request/pool.h"
#include "common/buf.h"
#include "common/id.h"
#include "common/log.h"
#include <stdlib.h>
#include <string.h>

enum
{
  LOAD_FRESH_MS = 500, /* an older report says nothing about now */
  AVOID_BASE_MS = 250, /* after a failure; doubles with each in a row */
  AVOID_CAP_MS = 4000, /* an endpoint that crashed is back in seconds */
  MAX_PARTS = 4096,    /* prompt parts remembered of an endpoint */
  SUSPECT_MS = 3000,   /* a crashed endpoint is down for some seconds */
  PART_MS = 60 * 1000, /* a part unused for so long has been evicted */
};

struct pool
{
  char *data_centre;
  GHashTable *cut;      /* names of data centres that are out of reach */
  GPtrArray *endpoints; /* struct pool_endpoint, those that are listed */
  GPtrArray *leftovers; /* gone, but still used by requests */
  uint64_t seed;
};

/* Frees a list.  */
void
endpoint_list_destroy (struct endpoint_list *list)
{
  if (!list)
    return;
  for (size_t i = 0; i < list->count; i++)
    {
      free (list->entries[i].id);
      free (list->entries[i].service);
      free (list->entries[i].address);
      free (list->entries[i].data_centre);
    }
  free (list->entries);
  free (list);
}

static void
endpoint_destroy (gpointer data)
{
  struct pool_endpoint *endpoint = data;

  free (endpoint->id);
  free (endpoint->service);
  free (endpoint->address);
  free (endpoint->data_centre);
  g_hash_table_destroy (endpoint->parts);
  free (endpoint);
}

/* Creates an empty pool for a host in DATA_CENTRE.  */
struct pool *
pool_create (const char *data_centre)
{
  struct pool *pool = xcalloc (1, sizeof *pool);

  pool->data_centre = xstrdup (data_centre);
  pool->endpoints = g_ptr_array_new_with_free_func (endpoint_destroy);
  pool->leftovers = g_ptr_array_new_with_free_func (endpoint_destroy);
  pool->cut = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  pool->seed = id_random64 ();
  return pool;
}

/* Frees the pool.  No request uses its endpoints any more.  */
void
pool_destroy (struct pool *pool)
{
  if (!pool)
    return;
  g_ptr_array_free (pool->endpoints, TRUE);
  g_ptr_array_free (pool->leftovers, TRUE);
  g_hash_table_destroy (pool->cut);
  free (pool->data_centre);
  free (pool);
}

static bool
is_same (const struct pool_endpoint *endpoint,
         const struct endpoint_entry *entry)
{
  return strcmp (endpoint->id, entry->id) == 0
         && strcmp (endpoint->address, entry->address) == 0
         && strcmp (endpoint->service, entry->service) == 0
         && strcmp (endpoint->data_centre, entry->data_centre) == 0
         && endpoint->started_ms == entry->started_ms;
}

static struct pool_endpoint *
endpoint_create (const struct endpoint_entry *entry)
{
  struct pool_endpoint *endpoint = xcalloc (1, sizeof *endpoint);

  endpoint->id = xstrdup (entry->id);
  endpoint->service = xstrdup (entry->service);
  endpoint->address = xstrdup (entry->address);
  endpoint->data_centre = xstrdup (entry->data_centre);
  endpoint->hash = id_hash_text (entry->id);
  endpoint->started_ms = entry->started_ms;
  endpoint->parts
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, free, free);
  return endpoint;
}

static struct pool_endpoint *
take_known (struct pool *pool, const struct endpoint_entry *entry)
{
  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

      if (endpoint && is_same (endpoint, entry))
        {
          pool->endpoints->pdata[i] = NULL;
          return endpoint;
        }
    }
  return NULL;
}

static void
log_change (const struct pool_endpoint *endpoint, const char *what)
{
  log_write (LOG_INFO, "pool", NULL, "endpoint %s of %s at %s %s",
             endpoint->id, endpoint->service, endpoint->address, what);
}

static void
drop_missing (struct pool *pool)
{
  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

      if (!endpoint)
        continue;
      pool->endpoints->pdata[i] = NULL;
      endpoint->gone = true;
      log_change (endpoint, "is gone");
      if (endpoint->in_flight > 0)
        g_ptr_array_add (pool->leftovers, endpoint);
      else
        endpoint_destroy (endpoint);
    }
}

/* Takes over the list of endpoints: new ones come, missing ones go; what is
   known of the others stays.  */
void
pool_apply (struct pool *pool, const struct endpoint_list *list)
{
  GPtrArray *endpoints = g_ptr_array_new_with_free_func (endpoint_destroy);

  for (size_t i = 0; i < list->count; i++)
    {
      const struct endpoint_entry *entry = &list->entries[i];
      struct pool_endpoint *endpoint = take_known (pool, entry);

      if (!endpoint)
        {
          endpoint = endpoint_create (entry);
          log_change (endpoint, "is new");
        }
      if (entry->leaving && !endpoint->leaving)
        log_change (endpoint, "is leaving");
      endpoint->leaving = entry->leaving;
      endpoint->slots = entry->slots;
      endpoint->remote = strcmp (entry->data_centre, pool->data_centre) != 0;
      endpoint->unreachable
          = g_hash_table_contains (pool->cut, entry->data_centre);
      g_ptr_array_add (endpoints, endpoint);
    }
  drop_missing (pool);
  g_ptr_array_set_free_func (pool->endpoints, NULL);
  g_ptr_array_free (pool->endpoints, TRUE);
  pool->endpoints = endpoints;
}

/* Returns how many tokens of the prompt ENDPOINT should have in its cache, by
   what was placed there.  */
int64_t
pool_cached_tokens (const struct pool_endpoint *endpoint,
                    const struct pool_query *query, int64_t now_ms)
{
  int64_t cached = 0;

  for (size_t i = 0; i < query->part_count; i++)
    {
      const int64_t *used_ms
          = g_hash_table_lookup (endpoint->parts, &query->parts[i].id);

      if (!used_ms || now_ms - *used_ms > PART_MS)
        break;
      cached += query->parts[i].tokens;
    }
  return cached;
}

static void
describe (const struct pool_endpoint *endpoint, const struct pool_query *query,
          int64_t now_ms, struct place_endpoint *out)
{
  bool is_fresh = now_ms - endpoint->reported_ms <= LOAD_FRESH_MS;

  *out = (struct place_endpoint){ .remote = endpoint->remote,
                                  .hash = endpoint->hash,
                                  .slots = endpoint->slots,
                                  .running = endpoint->in_flight };
  out->eligible = !endpoint->leaving && !endpoint->unreachable
                  && endpoint->avoid_until_ms <= now_ms
                  && strcmp (endpoint->service, query->service) == 0;
  if (!out->eligible)
    return;
  if (is_fresh && endpoint->reported_running > out->running)
    out->running = endpoint->reported_running;
  if (is_fresh)
    out->waiting = endpoint->reported_waiting;
  out->cached_tokens = pool_cached_tokens (endpoint, query, now_ms);
}

static struct pool_endpoint *
pick (struct pool *pool, const struct pool_query *query, int64_t now_ms)
{
  struct place_options options
      = { .prompt_tokens = query->prompt_tokens, .program = query->program };
  struct place_endpoint *described
      = xcalloc (pool->endpoints->len + 1, sizeof *described);
  int32_t picked;

  for (guint i = 0; i < pool->endpoints->len; i++)
    describe (pool->endpoints->pdata[i], query, now_ms, &described[i]);
  picked = place_pick (described, pool->endpoints->len, &options, &pool->seed);
  free (described);
  return picked >= 0 ? pool->endpoints->pdata[picked] : NULL;
}

static struct pool_endpoint *
pick_avoided (struct pool *pool, const struct pool_query *query)
{
  struct pool_endpoint *best = NULL;

  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

      if (endpoint->leaving || strcmp (endpoint->service, query->service) != 0)
        continue;
      if (!best || endpoint->avoid_until_ms < best->avoid_until_ms)
        best = endpoint;
    }
  return best;
}

/* Returns the endpoint that suits QUERY best, NULL where there is none.  Where
   all of them failed lately, the one whose failure is the oldest.  */
struct pool_endpoint *
pool_pick (struct pool *pool, const struct pool_query *query, int64_t now_ms)
{
  struct pool_endpoint *endpoint = pick (pool, query, now_ms);

  return endpoint ? endpoint : pick_avoided (pool, query);
}

/* Returns the endpoint whose id has HASH, NULL where it is gone, leaving or
   out of reach.  */
struct pool_endpoint *
pool_find (const struct pool *pool, uint64_t hash)
{
  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

      if (endpoint->hash == hash && !endpoint->leaving
          && !endpoint->unreachable)
        return endpoint;
    }
  return NULL;
}

static void
remember_part (struct pool_endpoint *endpoint, uint64_t id, int64_t now_ms)
{
  int64_t *used_ms = g_hash_table_lookup (endpoint->parts, &id);
  uint64_t *key;

  if (used_ms)
    {
      *used_ms = now_ms;
      return;
    }
  if (g_hash_table_size (endpoint->parts) >= MAX_PARTS)
    g_hash_table_remove_all (endpoint->parts);
  key = xcalloc (1, sizeof *key);
  used_ms = xcalloc (1, sizeof *used_ms);
  *key = id;
  *used_ms = now_ms;
  g_hash_table_insert (endpoint->parts, key, used_ms);
}

/* Notes that a request goes to ENDPOINT, which holds its prompt from now on.
   The endpoint stays valid until pool_end.  */
void
pool_begin (struct pool_endpoint *endpoint, const struct pool_query *query,
            int64_t now_ms)
{
  endpoint->in_flight++;
  for (size_t i = 0; i < query->part_count; i++)
    remember_part (endpoint, query->parts[i].id, now_ms);
}

/* Ends what pool_begin began.  */
void
pool_end (struct pool *pool, struct pool_endpoint *endpoint)
{
  endpoint->in_flight--;
  if (endpoint->gone && endpoint->in_flight == 0)
    g_ptr_array_remove_fast (pool->leftovers, endpoint);
}

/* Notes the load that an endpoint reported with an answer.  */
void
pool_note_load (struct pool_endpoint *endpoint, int64_t running,
                int64_t waiting, int64_t now_ms)
{
  endpoint->reported_running = running;
  endpoint->reported_waiting = waiting;
  endpoint->reported_ms = now_ms;
}

/* Notes an answer of an endpoint.  */
void
pool_note_success (struct pool_endpoint *endpoint)
{
  endpoint->failures = 0;
}

/* Notes that an endpoint could not be reached or broke off: it is avoided for
   a while, the longer the more often it fails in a row.  */
void
pool_note_failure (struct pool_endpoint *endpoint, int64_t now_ms)
{
  int64_t avoid_ms = AVOID_BASE_MS;

  for (uint32_t i = 0; i < endpoint->failures && avoid_ms < AVOID_CAP_MS; i++)
    avoid_ms *= 2;
  endpoint->failures++;
  endpoint->avoid_until_ms = now_ms + avoid_ms;
}

static void
forget_suspects (struct pool_endpoint *endpoint)
{
  memset (endpoint->suspects, 0, sizeof endpoint->suspects);
  endpoint->refused_ms = 0;
}

/* Notes that a request was running when ENDPOINT broke off.  It may be what
   crashed it.  */
void
pool_note_broken (struct pool_endpoint *endpoint, uint64_t fingerprint,
                  int64_t now_ms)
{
  struct pool_suspect *suspect
      = &endpoint->suspects[endpoint->suspect_count++ % POOL_SUSPECTS];

  *suspect = (struct pool_suspect){ .fingerprint = fingerprint,
                                    .broken_ms = now_ms };
}

static bool
is_suspect (const struct pool_suspect *suspect, int64_t refused_ms)
{
  return suspect->fingerprint && refused_ms - suspect->broken_ms <= SUSPECT_MS;
}

/* Notes that ENDPOINT refused a connection.  It has crashed if a request broke
   off there shortly before.  */
void
pool_note_refused (struct pool_endpoint *endpoint, int64_t now_ms)
{
  for (uint32_t i = 0; i < POOL_SUSPECTS && !endpoint->refused_ms; i++)
    if (is_suspect (&endpoint->suspects[i], now_ms))
      endpoint->refused_ms = now_ms;
}

/* Returns an endpoint that has crashed and whose suspects have not been taken,
   NULL where there is none.  A cut off data centre looks the same at first, so
   that endpoints of others are returned only when that would be known.  */
struct pool_endpoint *
pool_find_crashed (const struct pool *pool, int64_t now_ms)
{
  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

      if (endpoint->refused_ms
          && (!endpoint->remote
              || now_ms - endpoint->refused_ms >= POOL_CRASH_SETTLE_MS))
        return endpoint;
    }
  return NULL;
}

/* Returns the requests that broke off shortly before ENDPOINT crashed, and
   forgets them.  */
uint32_t
pool_take_suspects (struct pool_endpoint *endpoint,
                    uint64_t fingerprints[POOL_SUSPECTS])
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < POOL_SUSPECTS; i++)
    if (is_suspect (&endpoint->suspects[i], endpoint->refused_ms))
      fingerprints[count++] = endpoint->suspects[i].fingerprint;
  forget_suspects (endpoint);
  return count;
}

/* Notes whether the endpoints of a data centre can be reached.  What broke off
   at those that cannot says nothing of the requests.  */
void
pool_set_reach (struct pool *pool, const char *data_centre, bool reachable)
{
  if (reachable)
    g_hash_table_remove (pool->cut, data_centre);
  else
    g_hash_table_add (pool->cut, xstrdup (data_centre));
  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

      if (strcmp (endpoint->data_centre, data_centre) != 0)
        continue;
      endpoint->unreachable = !reachable;
      if (!reachable)
        forget_suspects (endpoint);
    }
}

/* Returns how many endpoints are known.  */
size_t
pool_count (const struct pool *pool)
{
  return pool->endpoints->len;
}

static gboolean
is_evicted (gpointer key, gpointer value, gpointer data)
{
  return *(const int64_t *)value < *(const int64_t *)data;
}

/* Forgets prompt parts that are long unused.  */
void
pool_tick (struct pool *pool, int64_t now_ms)
{
  int64_t oldest_ms = now_ms - PART_MS;

  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

      g_hash_table_foreach_remove (endpoint->parts, is_evicted, &oldest_ms);
    }
}

/* Returns every endpoint with what is known of it, as a new reference.  */
json_t *
pool_to_json (const struct pool *pool)
{
  json_t *list = json_array ();

  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      const struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

      json_array_append_new (
          list,
          json_pack (
              "{s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:b, s:I}", "id",
              endpoint->id, "service", endpoint->service, "address",
              endpoint->address, "slots", (json_int_t)endpoint->slots,
              "in_flight", (json_int_t)endpoint->in_flight, "reported_running",
              (json_int_t)endpoint->reported_running, "reported_waiting",
              (json_int_t)endpoint->reported_waiting, "leaving",
              endpoint->leaving, "failures", (json_int_t)endpoint->failures));
    }
  return list;
}
