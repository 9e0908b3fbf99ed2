#include "request/pool.h"
#include "common/buf.h"
#include "common/id.h"
#include "common/log.h"
#include "common/memory.h"
#include "common/recent_table.h"
#include "request/cold_endpoint.h"
#include "request/evacuations.h"
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_LOAD_AGE_MS = 500, /* older load reports are ignored */
  MIN_AVOID_MS = 250,  /* after a failure; doubles with each consecutive one */
  MAX_AVOID_MS = 4000, /* a crashed endpoint restarts within seconds */
  MAX_PARTS = 4096,    /* prompt parts tracked per endpoint */
  /* Between an interrupted request and a refused connection that shows a
     crash. A crashed endpoint is down for a few seconds. */
  MAX_SUSPECT_AGE_MS = 3000,
  /* Endpoints that have announced in a response that they leave.  The registry
     may list them for as long as its state is old. */
  LEAVING_CAPACITY = 4096,
  LEAVING_TTL_MS = 10 * 60 * 1000,
  PART_TTL_MS = 60 * 1000, /* a part unused for longer is assumed evicted */
  /* While so much of the room for parts is used, those that were not used for
     longer go sooner, so that there is room for new ones. */
  PARTS_FULL_PERCENT = 75,
  /* A cold endpoint is slow: it counts as one with so many requests in its
     queue, so that warm ones come first while they have room. */
  COLD_WAITING = 2,
  PRIOR_INTERVAL_MS = 1000,
  US_PER_MS = 1000,
  PERMILLE = 1000,
};

/* A prompt part that an endpoint is expected to have in its cache. */
struct tracked_part
{
  uint64_t id; /* first member, the key */
  int64_t used_ms;
  uint32_t *count; /* of all parts of the pool */
};

struct pool
{
  char *data_centre;
  uint32_t part_count; /* of all endpoints together */
  int64_t part_ttl_ms;
  GHashTable *unreachable_centres; /* names of unreachable data centres */
  struct recent_table *announced;  /* starts of endpoints that leave */
  GHashTable *cold_rates; /* service -> int64_t, requests per 1,000 s */
  struct evacuations *evacuations;
  GPtrArray *endpoints;      /* struct pool_endpoint, those currently listed */
  GPtrArray *removed_in_use; /* removed, but still in use by requests */
  GPtrArray *ended; /* struct pool_crash, of endpoints that were removed */
  /* Name -> struct service_speed, of the services of endpoints, which refer to
     them, and of the configuration. */
  GHashTable *service_speeds;
  int64_t priors_ms; /* when they were last computed */
  uint64_t seed;     /* of the random choice between endpoints */
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
      free (list->entries[i].version);
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
  free (endpoint->version);
  free (endpoint->suspects);
  g_hash_table_destroy (endpoint->parts);
  free (endpoint);
}

/* Frees CRASH, which may be NULL.  */
void
pool_crash_destroy (struct pool_crash *crash)
{
  if (!crash)
    return;
  free (crash->id);
  free (crash);
}

static void
free_crash (gpointer data)
{
  pool_crash_destroy (data);
}

/* Creates an empty pool for a host in DATA_CENTRE.  */
struct pool *
pool_create (const char *data_centre)
{
  struct recent_table_options announced
      = { .capacity = LEAVING_CAPACITY, .ttl_ms = LEAVING_TTL_MS };
  struct pool *pool = xcalloc (1, sizeof *pool);

  pool->announced = recent_table_create (&announced);
  pool->data_centre = xstrdup (data_centre);
  pool->endpoints = g_ptr_array_new_with_free_func (endpoint_destroy);
  pool->removed_in_use = g_ptr_array_new_with_free_func (endpoint_destroy);
  pool->ended = g_ptr_array_new_with_free_func (free_crash);
  pool->unreachable_centres
      = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  pool->cold_rates
      = g_hash_table_new_full (g_str_hash, g_str_equal, free, free);
  pool->evacuations = evacuations_create ();
  pool->service_speeds
      = g_hash_table_new_full (g_str_hash, g_str_equal, free, free);
  pool->seed = id_random64 ();
  pool->part_ttl_ms = PART_TTL_MS;
  return pool;
}

/* Makes the random choices repeatable, for simulations.  */
void
pool_set_seed (struct pool *pool, uint64_t seed)
{
  pool->seed = seed;
}

/* Frees the pool.  Its endpoints must not be in use by requests.  */
void
pool_destroy (struct pool *pool)
{
  if (!pool)
    return;
  g_ptr_array_free (pool->endpoints, TRUE);
  g_ptr_array_free (pool->removed_in_use, TRUE);
  g_ptr_array_free (pool->ended, TRUE);
  g_hash_table_destroy (pool->unreachable_centres);
  g_hash_table_destroy (pool->cold_rates);
  evacuations_destroy (pool->evacuations);
  g_hash_table_destroy (pool->service_speeds);
  recent_table_destroy (pool->announced);
  free (pool->data_centre);
  free (pool);
}

static uint64_t
compute_build (const struct endpoint_entry *entry)
{
  uint64_t build;

  if (entry->version)
    return pool_build_of (entry->service, entry->version);
  build = id_hash64 (&entry->started_ms, sizeof entry->started_ms,
                     id_hash_text (entry->id));
  return build ? build : 1;
}

/* Returns the build of the endpoints of SERVICE that state VERSION.  */
uint64_t
pool_build_of (const char *service, const char *version)
{
  uint64_t build
      = id_hash64 (version, strlen (version), id_hash_text (service));

  return build ? build : 1;
}

static bool
matches_entry (const struct pool_endpoint *endpoint,
               const struct endpoint_entry *entry)
{
  return strcmp (endpoint->id, entry->id) == 0
         && strcmp (endpoint->address, entry->address) == 0
         && strcmp (endpoint->service, entry->service) == 0
         && strcmp (endpoint->data_centre, entry->data_centre) == 0
         && endpoint->started_ms == entry->started_ms
         && endpoint->build == compute_build (entry);
}

static void
part_destroy (gpointer data)
{
  struct tracked_part *part = data;

  --*part->count;
  memory_add (MEMORY_TABLES, -POOL_PART_BYTES);
  free (part);
}

static struct pool_endpoint *
endpoint_create (struct pool *pool, const struct endpoint_entry *entry)
{
  struct pool_endpoint *endpoint = xcalloc (1, sizeof *endpoint);

  endpoint->id = xstrdup (entry->id);
  endpoint->service = xstrdup (entry->service);
  endpoint->address = xstrdup (entry->address);
  endpoint->data_centre = xstrdup (entry->data_centre);
  endpoint->version = entry->version ? xstrdup (entry->version) : NULL;
  endpoint->hash = id_hash_text (entry->id);
  endpoint->build = compute_build (entry);
  endpoint->started_ms = entry->started_ms;
  /* A later process at the same address, or with the same id, has another
     one.  */
  endpoint->start = id_hash64 (&entry->started_ms, sizeof entry->started_ms,
                               endpoint->hash);
  endpoint->data_centre_hash = id_hash_text (entry->data_centre);
  endpoint->limit_milli = -1;
  endpoint->parts = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                           part_destroy, NULL);
  endpoint->part_count = &pool->part_count;
  return endpoint;
}

/* Returns what is usual in SERVICE.  */
static struct service_speed *
get_service_speed (struct pool *pool, const char *service)
{
  struct service_speed *speed
      = g_hash_table_lookup (pool->service_speeds, service);

  if (speed)
    return speed;
  speed = xcalloc (1, sizeof *speed);
  service_speed_init (speed);
  g_hash_table_insert (pool->service_speeds, xstrdup (service), speed);
  return speed;
}

/* Returns the endpoint that ENTRY describes and removes it from the list,
   where BY_ID has its index plus 1; NULL if there is none.  */
static struct pool_endpoint *
take_matching (struct pool *pool, GHashTable *by_id,
               const struct endpoint_entry *entry)
{
  size_t index = GPOINTER_TO_SIZE (g_hash_table_lookup (by_id, entry->id));
  struct pool_endpoint *endpoint
      = index > 0 ? pool->endpoints->pdata[index - 1] : NULL;

  if (!endpoint || !matches_entry (endpoint, entry))
    return NULL;
  pool->endpoints->pdata[index - 1] = NULL;
  return endpoint;
}

/* Returns the endpoint's software version, for logs.  */
const char *
pool_endpoint_version (const struct pool_endpoint *endpoint)
{
  return endpoint->version ? endpoint->version : "unknown";
}

static void
log_change (const struct pool_endpoint *endpoint, const char *what)
{
  log_write (LOG_INFO, "pool", NULL,
             "endpoint %s of service %s, version %s, at %s %s", endpoint->id,
             endpoint->service, pool_endpoint_version (endpoint),
             endpoint->address, what);
}

/* Whether the configuration does not have the service NAME and no endpoint
   refers to what is usual in it.  */
static gboolean
is_unknown_service (gpointer name, gpointer speed, gpointer data)
{
  const struct pool *pool = data;

  if (g_hash_table_contains (pool->cold_rates, name))
    return FALSE;
  for (guint i = 0; i < pool->endpoints->len; i++)
    if (pool_at (pool, i)->speed.service == speed)
      return FALSE;
  for (guint i = 0; i < pool->removed_in_use->len; i++)
    if (((struct pool_endpoint *)pool->removed_in_use->pdata[i])->speed.service
        == speed)
      return FALSE;
  return TRUE;
}

/* Forgets what is usual in services that are no longer there.  What is known
   of a configured service is kept while all of its endpoints are replaced.  */
static void
forget_services (struct pool *pool)
{
  if (g_hash_table_size (pool->service_speeds)
      > g_hash_table_size (pool->cold_rates))
    g_hash_table_foreach_remove (pool->service_speeds, is_unknown_service,
                                 pool);
}

/* Whether the request was interrupted shortly before the connection was
   refused.  */
static bool
is_suspect (const struct pool_suspect *suspect, int64_t refused_ms)
{
  return suspect->fingerprint
         && refused_ms - suspect->interrupted_ms <= MAX_SUSPECT_AGE_MS;
}

/* Returns the crash of ENDPOINT with the requests that were running there, and
   clears them.  */
static struct pool_crash *
take_suspects (struct pool_endpoint *endpoint)
{
  struct pool_crash *crash = xcalloc (1, sizeof *crash);

  crash->id = xstrdup (endpoint->id);
  crash->endpoint = endpoint->hash;
  crash->refused_ms = endpoint->refused_ms;
  for (uint32_t i = 0; endpoint->suspects && i < POOL_MAX_SUSPECTS; i++)
    if (is_suspect (&endpoint->suspects[i], endpoint->refused_ms))
      crash->suspects[crash->suspect_count++] = endpoint->suspects[i];
  pool_clear_suspects (endpoint);
  return crash;
}

/* Keeps the suspects of an endpoint that leaves the list: that it left, or
   started anew, shortly after a request was interrupted there is a sign of its
   end as a refused connection is.  */
static void
keep_suspects (struct pool *pool, struct pool_endpoint *endpoint,
               int64_t now_ms)
{
  if (!endpoint->refused_ms && !pool_has_suspects (endpoint, now_ms))
    return;
  if (!endpoint->refused_ms)
    endpoint->refused_ms = now_ms;
  g_ptr_array_add (pool->ended, take_suspects (endpoint));
}

static void
remove_unlisted (struct pool *pool, int64_t now_ms)
{
  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

      if (!endpoint)
        continue;
      pool->endpoints->pdata[i] = NULL;
      endpoint->removed = true;
      log_change (endpoint, "was removed");
      if (!endpoint->leaving)
        keep_suspects (pool, endpoint, now_ms);
      g_hash_table_remove_all (endpoint->parts);
      if (endpoint->in_flight > 0)
        g_ptr_array_add (pool->removed_in_use, endpoint);
      else
        endpoint_destroy (endpoint);
    }
}

/* Whether ENDPOINT has announced that it leaves.  It stays marked while the
   registry lists it.  */
static bool
has_announced_leaving (struct pool *pool, const struct pool_endpoint *endpoint,
                       int64_t now_ms)
{
  if (!recent_table_find (pool->announced, endpoint->start, now_ms))
    return false;
  recent_table_record (pool->announced, endpoint->start, 1, now_ms);
  return true;
}

static int64_t
find_cold_rate (const struct pool *pool, const char *service)
{
  const int64_t *rate_milli = g_hash_table_lookup (pool->cold_rates, service);

  return rate_milli ? *rate_milli : 0;
}

/* Records for how long an endpoint is cold, if ENTRY is a new one: its time
   counts from then.  */
static void
apply_cold (struct pool *pool, struct pool_endpoint *endpoint,
            const struct endpoint_entry *entry, int64_t now_ms)
{
  struct cold_state cold
      = { .revision = entry->revision,
          .id_hash = endpoint->hash,
          .started_ms = entry->started_ms,
          .until_ms = now_ms + CLAMP (entry->cold_ms, 0, COLD_MAX_MS),
          .rate_milli = find_cold_rate (pool, entry->service) };

  if (entry->revision > endpoint->cold.revision
      && cold_endpoint_record (endpoint, &cold, now_ms))
    endpoint->has_cold_news = endpoint->is_cold;
}

static void
apply_evacuations (const struct pool *pool, struct pool_endpoint *endpoint)
{
  endpoint->is_evacuated
      = evacuations_contain (pool->evacuations, endpoint->data_centre);
  endpoint->returned_ms
      = evacuations_ended_ms (pool->evacuations, endpoint->data_centre);
  if (endpoint->is_evacuated)
    g_hash_table_remove_all (endpoint->parts);
}

/* Applies a list of endpoints: adds new ones and removes missing ones.  The
   state of endpoints that stay is kept, and one that has announced that it
   leaves is leaving, whatever the list says.  */
void
pool_apply (struct pool *pool, const struct endpoint_list *list,
            int64_t now_ms)
{
  GPtrArray *endpoints = g_ptr_array_new_with_free_func (endpoint_destroy);
  GHashTable *by_id = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < pool->endpoints->len; i++)
    g_hash_table_insert (
        by_id, ((struct pool_endpoint *)pool->endpoints->pdata[i])->id,
        GSIZE_TO_POINTER ((gsize)i + 1));
  for (size_t i = 0; i < list->count; i++)
    {
      const struct endpoint_entry *entry = &list->entries[i];
      struct pool_endpoint *endpoint = take_matching (pool, by_id, entry);

      if (!endpoint)
        {
          endpoint = endpoint_create (pool, entry);
          endpoint->speed.service = get_service_speed (pool, entry->service);
          log_change (endpoint, "was added");
        }
      if (entry->leaving && !endpoint->leaving)
        log_change (endpoint, "is leaving");
      endpoint->leaving
          = entry->leaving || has_announced_leaving (pool, endpoint, now_ms);
      endpoint->slots = entry->slots;
      endpoint->remote = strcmp (entry->data_centre, pool->data_centre) != 0;
      endpoint->unreachable = g_hash_table_contains (pool->unreachable_centres,
                                                     entry->data_centre);
      apply_cold (pool, endpoint, entry, now_ms);
      apply_evacuations (pool, endpoint);
      g_ptr_array_add (endpoints, endpoint);
    }
  g_hash_table_destroy (by_id);
  remove_unlisted (pool, now_ms);
  g_ptr_array_set_free_func (pool->endpoints, NULL);
  g_ptr_array_free (pool->endpoints, TRUE);
  pool->endpoints = endpoints;
  forget_services (pool);
}

/* Estimates how many tokens of the prompt ENDPOINT has in its cache, from the
   requests that were sent there.  */
int64_t
pool_cached_tokens (const struct pool_endpoint *endpoint,
                    const struct pool_query *query, int64_t now_ms)
{
  int64_t cached = 0;

  for (size_t i = 0; i < query->part_count; i++)
    {
      const struct tracked_part *part
          = g_hash_table_lookup (endpoint->parts, &query->parts[i].id);

      if (!part || now_ms - part->used_ms > PART_TTL_MS)
        break;
      cached += query->parts[i].tokens;
    }
  return cached;
}

/* Returns what keeps ENDPOINT from serving QUERY at any time.  */
static enum pool_obstacle
find_lasting_obstacle (const struct pool_endpoint *endpoint,
                       const struct pool_query *query)
{
  if (strcmp (endpoint->service, query->service) != 0)
    return POOL_OTHER_SERVICE;
  if (endpoint->leaving)
    return POOL_LEAVING;
  if (endpoint->is_evacuated)
    return POOL_EVACUATED;
  return query->build && endpoint->build != query->build ? POOL_OTHER_BUILD
                                                         : POOL_ELIGIBLE;
}

static bool
may_serve (const struct pool_endpoint *endpoint,
           const struct pool_query *query)
{
  return find_lasting_obstacle (endpoint, query) == POOL_ELIGIBLE;
}

/* Whether a request may be sent to ENDPOINT, or a permit for it be had.  */
static bool
may_be_permitted (const struct pool_endpoint *endpoint,
                  const struct pool_query *query, int64_t now_ms)
{
  return endpoint->limit_milli < 0
         || (!query->is_unlimited && endpoint->permit_after_ms <= now_ms);
}

/* Whether this host cannot send to ENDPOINT, as far as it knows.  */
bool
pool_lacks_path (const struct pool_endpoint *endpoint, int64_t now_ms)
{
  return endpoint->unreachable || endpoint->path.is_broken
         || endpoint->path.is_doubted
         || (endpoint->path.failures > 0 && endpoint->avoid_until_ms > now_ms);
}

/* Returns the share of the choices in which ENDPOINT takes part: its data
   centre may have been evacuated until lately, and its load returns step by
   step.  */
static int64_t
return_percent (const struct pool_endpoint *endpoint, int64_t now_ms)
{
  int64_t since_ms = now_ms - endpoint->returned_ms;

  return endpoint->returned_ms && since_ms < COLD_RETURN_MS
             ? cold_return_percent (since_ms)
             : 100;
}

/* Draws whether ENDPOINT is left out of this choice.  */
static bool
awaits_return (const struct pool_endpoint *endpoint, int64_t now_ms)
{
  int64_t percent = return_percent (endpoint, now_ms);

  return percent < 100 && (int64_t)(id_random64 () % 100) >= percent;
}

static bool
has_fresh_load (const struct pool_endpoint *endpoint, int64_t now_ms)
{
  return endpoint->reported_ms
         && now_ms - endpoint->reported_ms <= MAX_LOAD_AGE_MS;
}

/* Returns how many requests run at ENDPOINT: those that it reported lately,
   and those that this host has sent or seen end since.  */
int64_t
pool_running (const struct pool_endpoint *endpoint, int64_t now_ms)
{
  int64_t running = endpoint->reported_running + endpoint->in_flight
                    - endpoint->reported_in_flight;

  if (!has_fresh_load (endpoint, now_ms) || running < endpoint->in_flight)
    return endpoint->in_flight;
  return running;
}

/* Returns how many requests wait at ENDPOINT, by a recent report.  */
int64_t
pool_waiting (const struct pool_endpoint *endpoint, int64_t now_ms)
{
  return has_fresh_load (endpoint, now_ms) ? endpoint->reported_waiting : 0;
}

/* Returns how long work takes on the machine of ENDPOINT, 100: as usual; 0 if
   it does not tell.  The report loses its meaning with its age.  */
int64_t
pool_work_percent (const struct pool_endpoint *endpoint, int64_t now_ms)
{
  int64_t left_ms = MAX_LOAD_AGE_MS - (now_ms - endpoint->reported_ms);

  if (!endpoint->work_percent || !has_fresh_load (endpoint, now_ms))
    return 0;
  return 100 + (endpoint->work_percent - 100) * left_ms / MAX_LOAD_AGE_MS;
}

/* Stores what is known of ENDPOINT, whose estimated speed is FIGURES.  */
static void
describe (const struct pool_endpoint *endpoint,
          const struct speed_figures *figures, const struct pool_query *query,
          int64_t now_ms, struct place_endpoint *out)
{
  out->remote = endpoint->remote;
  out->hash = endpoint->hash;
  out->slots = endpoint->slots;
  out->speed = figures;
  out->running = pool_running (endpoint, now_ms);
  out->usual_running
      = out->speed->values[SPEED_LOAD_PERMILLE] * endpoint->slots / PERMILLE;
  out->waiting = pool_waiting (endpoint, now_ms)
                 + (endpoint->is_cold ? COLD_WAITING : 0);
  out->work_percent = pool_work_percent (endpoint, now_ms);
  out->cached_tokens = pool_cached_tokens (endpoint, query, now_ms);
}

/* Returns what keeps ENDPOINT from serving QUERY now, but for chance.  */
static enum pool_obstacle
find_obstacle (const struct pool_endpoint *endpoint,
               const struct pool_query *query, int64_t now_ms)
{
  enum pool_obstacle lasting = find_lasting_obstacle (endpoint, query);
  int64_t avoid_until_ms = query->is_relayed ? endpoint->relay_avoid_until_ms
                                             : endpoint->avoid_until_ms;

  if (lasting != POOL_ELIGIBLE)
    return lasting;
  if (query->is_relayed && !pool_lacks_path (endpoint, now_ms))
    return POOL_HAS_PATH;
  if (!query->is_relayed && pool_lacks_path (endpoint, now_ms))
    return endpoint->unreachable ? POOL_UNREACHABLE : POOL_NO_PATH;
  if (avoid_until_ms > now_ms)
    return POOL_AVOIDED;
  if (may_be_permitted (endpoint, query, now_ms))
    return POOL_ELIGIBLE;
  return query->is_unlimited ? POOL_LIMITED : POOL_NO_PERMIT;
}

static void
fill_candidate (struct pool_endpoint *endpoint, const struct pool_query *query,
                int64_t now_ms, struct place_endpoint *out)
{
  *out = (struct place_endpoint){
    .eligible = find_obstacle (endpoint, query, now_ms) == POOL_ELIGIBLE
                && !awaits_return (endpoint, now_ms)
  };
  if (out->eligible)
    describe (endpoint, pool_speed_figures (endpoint, now_ms), query, now_ms,
              out);
}

static bool
are_priors_due (const struct pool *pool, int64_t now_ms)
{
  return !pool->priors_ms || now_ms - pool->priors_ms >= PRIOR_INTERVAL_MS;
}

/* Computes from time to time what is usual in each service.  */
static void
update_priors (struct pool *pool, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer service;

  if (!are_priors_due (pool, now_ms))
    return;
  pool->priors_ms = now_ms;
  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      const struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

      service_speed_collect (endpoint->speed.service, &endpoint->speed,
                             now_ms);
    }
  g_hash_table_iter_init (&iter, pool->service_speeds);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    service_speed_apply (service);
}

static struct place_options
make_place_options (const struct pool_query *query,
                    const struct service_speed *service)
{
  return (struct place_options){
    .prompt_tokens = query->prompt_tokens,
    .program = query->program,
    .events = service ? service->events_milli / PERMILLE : 0,
    .usual_call_us = service ? service->prior.values[SPEED_CALL_US] : 0,
    .is_unrepeatable = query->is_unrepeatable,
  };
}

/* Returns the best endpoint for QUERY that is usable now, or NULL.  */
struct pool_endpoint *
pool_pick (struct pool *pool, const struct pool_query *query, int64_t now_ms)
{
  const struct service_speed *service = NULL;
  struct place_options options;
  struct place_endpoint *candidates
      = xcalloc (pool->endpoints->len + 1, sizeof *candidates);
  int32_t picked;

  update_priors (pool, now_ms);
  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

      fill_candidate (endpoint, query, now_ms, &candidates[i]);
      if (candidates[i].eligible)
        service = endpoint->speed.service;
    }
  options = make_place_options (query, service);
  picked
      = place_pick (candidates, pool->endpoints->len, &options, &pool->seed);
  free (candidates);
  return picked >= 0 ? pool->endpoints->pdata[picked] : NULL;
}

/* Returns what update_priors would leave of the service named NAME.  */
static struct service_speed
preview_service (const struct pool *pool, const char *name, int64_t now_ms)
{
  const struct service_speed *service
      = g_hash_table_lookup (pool->service_speeds, name);
  struct service_speed preview;

  service_speed_init (&preview);
  if (!service)
    return preview;
  preview = *service;
  if (!are_priors_due (pool, now_ms))
    return preview;
  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      const struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

      if (endpoint->speed.service == service)
        service_speed_collect (&preview, &endpoint->speed, now_ms);
    }
  service_speed_apply (&preview);
  return preview;
}

static void
preview_candidate (const struct pool_endpoint *endpoint,
                   const struct service_speed *service,
                   const struct pool_query *query, int64_t now_ms,
                   struct pool_candidate *out)
{
  *out = (struct pool_candidate){
    .endpoint = endpoint,
    .obstacle = find_obstacle (endpoint, query, now_ms),
    .return_percent = return_percent (endpoint, now_ms),
  };
  pool_speed_preview (&endpoint->speed, &service->prior, now_ms,
                      &out->figures);
  out->place.eligible = out->obstacle == POOL_ELIGIBLE;
  describe (endpoint, &out->figures, query, now_ms, &out->place);
}

/* Has place_pick choose among the candidates, with a copy of the random
   state.  */
static int32_t
preview_pick (const struct pool *pool, struct pool_preview *preview)
{
  struct place_endpoint *places = xcalloc (preview->count + 1, sizeof *places);
  uint64_t seed = pool->seed;
  int32_t picked;

  for (size_t i = 0; i < preview->count; i++)
    places[i] = preview->candidates[i].place;
  picked = place_pick (places, preview->count, &preview->options, &seed);
  for (size_t i = 0; i < preview->count; i++)
    preview->candidates[i].place.cost_us
        = places[i].eligible ? places[i].cost_us
                             : place_cost_us (&places[i], &preview->options);
  free (places);
  return picked;
}

/* Returns what pool_pick would do now, with the endpoints of the query's
   service, and changes nothing.  An endpoint whose load returns after an
   evacuation is taken for eligible: the draw cannot be foreseen.  The caller
   releases it before the pool changes.  */
struct pool_preview
pool_preview (const struct pool *pool, const struct pool_query *query,
              int64_t now_ms)
{
  struct service_speed service
      = preview_service (pool, query->service, now_ms);
  struct pool_preview preview
      = { .candidates
          = xcalloc (pool->endpoints->len + 1, sizeof *preview.candidates),
          .options = make_place_options (query, &service) };

  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      const struct pool_endpoint *endpoint = pool->endpoints->pdata[i];
      struct pool_candidate *candidate = &preview.candidates[preview.count];

      if (strcmp (endpoint->service, query->service) != 0)
        continue;
      preview_candidate (endpoint, &service, query, now_ms, candidate);
      preview.count++;
    }
  preview.picked = preview_pick (pool, &preview);
  return preview;
}

/* Frees what PREVIEW holds.  */
void
pool_preview_release (struct pool_preview *preview)
{
  free (preview->candidates);
  *preview = (struct pool_preview){ .picked = -1 };
}

/* Returns the endpoint whose avoidance ends first, even if its data centre is
   unreachable, or NULL if there is none to which a connection may be opened or
   none for which a permit can be had.  */
struct pool_endpoint *
pool_pick_least_avoided (const struct pool *pool,
                         const struct pool_query *query, int64_t now_ms)
{
  struct pool_endpoint *best = NULL;

  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

      if (!may_serve (endpoint, query) || endpoint->path.is_broken
          || !may_be_permitted (endpoint, query, now_ms))
        continue;
      if (!best || endpoint->avoid_until_ms < best->avoid_until_ms)
        best = endpoint;
    }
  return best;
}

/* Returns the endpoint for which a permit can be had first, or NULL if the
   service has none with a limit.  */
struct pool_endpoint *
pool_pick_awaiting_permit (const struct pool *pool,
                           const struct pool_query *query, int64_t now_ms)
{
  struct pool_endpoint *best = NULL;

  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

      if (!may_serve (endpoint, query) || endpoint->unreachable
          || endpoint->limit_milli < 0 || endpoint->avoid_until_ms > now_ms)
        continue;
      if (!best || endpoint->permit_after_ms < best->permit_after_ms)
        best = endpoint;
    }
  return best;
}

/* Whether some endpoint for QUERY takes no request now because of its limit.
 */
bool
pool_has_used_up_limit (const struct pool *pool,
                        const struct pool_query *query, int64_t now_ms)
{
  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      const struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

      if (may_serve (endpoint, query) && endpoint->limit_milli >= 0
          && endpoint->permit_after_ms > now_ms)
        return true;
    }
  return false;
}

/* Whether endpoints without a limit may be overloaded by what the others for
   QUERY do not take.  */
bool
pool_may_overflow (const struct pool *pool, const struct pool_query *query,
                   int64_t now_ms)
{
  return pool_has_used_up_limit (pool, query, now_ms)
         || pool_has_evacuated (pool, query);
}

/* Whether ENDPOINT reported lately that all of its slots are used and that
   requests wait.  */
bool
pool_is_full (const struct pool_endpoint *endpoint, int64_t now_ms)
{
  return now_ms - endpoint->reported_ms <= MAX_LOAD_AGE_MS
         && endpoint->reported_running >= endpoint->slots
         && endpoint->reported_waiting > 0;
}

/* Stores what placement knows of ENDPOINT.  */
static struct place_options
prepare_prediction (struct pool *pool, const struct pool_endpoint *endpoint,
                    const struct pool_query *query, int64_t now_ms,
                    struct place_endpoint *out)
{
  struct pool_endpoint *listed = (struct pool_endpoint *)endpoint;

  update_priors (pool, now_ms);
  *out = (struct place_endpoint){ .eligible = true };
  describe (listed, pool_speed_figures (listed, now_ms), query, now_ms, out);
  return make_place_options (query, endpoint->speed.service);
}

/* Predicts the time from sending a request to ENDPOINT until its first event;
   of a plain call, until its response.  */
int64_t
pool_predict_first_event_ms (struct pool *pool,
                             const struct pool_endpoint *endpoint,
                             const struct pool_query *query, int64_t now_ms)
{
  struct place_endpoint place;
  struct place_options options
      = prepare_prediction (pool, endpoint, query, now_ms, &place);

  return place_first_event_us (&place, &options) / US_PER_MS;
}

/* Predicts the time between two events of a stream at ENDPOINT.  */
int64_t
pool_predict_event_us (struct pool *pool, const struct pool_endpoint *endpoint,
                       const struct pool_query *query, int64_t now_ms)
{
  struct place_endpoint place;

  prepare_prediction (pool, endpoint, query, now_ms, &place);
  return place_event_us (&place);
}

/* Returns the time that a request saves at ENDPOINT, because more of its
   prompt is in the cache there than at the best endpoint without a limit, or
   0.  */
int64_t
pool_cache_gain_ms (struct pool *pool, const struct pool_query *query,
                    const struct pool_endpoint *endpoint, int64_t now_ms)
{
  struct pool_query unlimited = *query;
  struct pool_endpoint *other;
  struct place_endpoint candidate;
  struct place_options options;
  int64_t saved_tokens;

  if (query->prompt_tokens == 0)
    return 0;
  unlimited.is_unlimited = true;
  other = pool_pick (pool, &unlimited, now_ms);
  if (!other)
    return 0;
  options = prepare_prediction (pool, other, &unlimited, now_ms, &candidate);
  saved_tokens
      = pool_cached_tokens (endpoint, query, now_ms) - candidate.cached_tokens;
  if (saved_tokens <= 0)
    return 0;
  options.prompt_tokens = candidate.cached_tokens + saved_tokens;
  return place_prefill_cost_us (&candidate, &options) / US_PER_MS;
}

/* Returns the listed endpoint whose id and start have the hash START, or
   NULL.  */
struct pool_endpoint *
pool_find_start (const struct pool *pool, uint64_t start)
{
  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

      if (endpoint->start == start)
        return endpoint;
    }
  return NULL;
}

/* Marks a listed process of the endpoint whose id has the hash ID as leaving
   if another one has started after it, at STARTED_MS: the registry is late
   here. Returns it, or NULL.  */
const struct pool_endpoint *
pool_record_replaced (struct pool *pool, uint64_t id, int64_t started_ms,
                      int64_t now_ms)
{
  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

      if (endpoint->hash != id || endpoint->started_ms >= started_ms
          || endpoint->leaving)
        continue;
      pool_record_leaving (pool, endpoint, now_ms);
      return endpoint;
    }
  return NULL;
}

/* Whether SERVICE has an endpoint of BUILD that is not leaving.  */
bool
pool_has_build (const struct pool *pool, const char *service, uint64_t build)
{
  struct pool_query query = { .service = service, .build = build };

  for (guint i = 0; i < pool->endpoints->len; i++)
    if (may_serve (pool->endpoints->pdata[i], &query))
      return true;
  return false;
}

/* Returns the endpoint whose id has HASH, or NULL if it is removed, leaving or
   unreachable.  */
struct pool_endpoint *
pool_find_available (const struct pool *pool, uint64_t hash)
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

/* Records that a request with this prompt part is sent to ENDPOINT.  A new
   part is not tracked if there is no room.  */
static void
touch_part (struct pool_endpoint *endpoint, uint64_t id, int64_t now_ms)
{
  struct tracked_part *part = g_hash_table_lookup (endpoint->parts, &id);

  if (part)
    {
      part->used_ms = now_ms;
      return;
    }
  if (g_hash_table_size (endpoint->parts) >= MAX_PARTS)
    g_hash_table_remove_all (endpoint->parts);
  if (*endpoint->part_count >= POOL_MAX_PARTS
      || !memory_take (MEMORY_TABLES, POOL_PART_BYTES))
    return;
  part = xcalloc (1, sizeof *part);
  part->id = id;
  part->used_ms = now_ms;
  part->count = endpoint->part_count;
  ++*part->count;
  g_hash_table_add (endpoint->parts, part);
}

/* Records that a request is sent to ENDPOINT, which is then expected to have
   the prompt in its cache.  The endpoint stays valid until pool_release.  */
void
pool_acquire (struct pool_endpoint *endpoint, const struct pool_query *query,
              int64_t now_ms)
{
  endpoint->in_flight++;
  for (size_t i = 0; i < query->part_count; i++)
    touch_part (endpoint, query->parts[i].id, now_ms);
}

/* Releases an endpoint that was acquired with pool_acquire.  */
void
pool_release (struct pool *pool, struct pool_endpoint *endpoint)
{
  endpoint->in_flight--;
  if (endpoint->removed && endpoint->in_flight == 0)
    g_ptr_array_remove_fast (pool->removed_in_use, endpoint);
}

/* Records that this host sends a request to ENDPOINT itself.  */
void
pool_begin_direct (struct pool_endpoint *endpoint, int64_t now_ms)
{
  if (endpoint->direct++ == 0)
    endpoint->direct_since_ms = now_ms;
  path_detector_record_sent (&endpoint->path, endpoint->last_heard_ms, now_ms);
}

/* Records the end of a request that began with pool_begin_direct.  */
void
pool_end_direct (struct pool_endpoint *endpoint)
{
  endpoint->direct--;
}

/* Records the load that an endpoint reported in a response.  */
void
pool_record_load (struct pool_endpoint *endpoint, int64_t running,
                  int64_t waiting, int64_t now_ms)
{
  endpoint->reported_running = running;
  endpoint->reported_waiting = waiting;
  endpoint->reported_ms = now_ms;
  endpoint->reported_in_flight = endpoint->in_flight;
  endpoint->work_percent = 0;
  speed_record_load (&endpoint->speed.own, running + MAX (waiting, 0),
                     endpoint->slots, now_ms);
}

/* Records the fourth figure of the same report.  */
void
pool_record_work_percent (struct pool_endpoint *endpoint, int64_t work_percent)
{
  endpoint->work_percent = work_percent;
}

/* Records that ENDPOINT has announced in a response that it leaves: it gets no
   further requests.  Returns whether this is news.  */
bool
pool_record_leaving (struct pool *pool, struct pool_endpoint *endpoint,
                     int64_t now_ms)
{
  bool is_known
      = recent_table_find (pool->announced, endpoint->start, now_ms) != 0;

  recent_table_record (pool->announced, endpoint->start, 1, now_ms);
  endpoint->leaving = true;
  return !is_known;
}

/* Records a successful response of an endpoint.  */
void
pool_record_success (struct pool_endpoint *endpoint)
{
  endpoint->failures = 0;
}

/* Returns for how long an endpoint is avoided after a failure that FAILURES
   others precede.  */
static int64_t
avoid_duration_ms (uint32_t failures)
{
  int64_t avoid_ms = MIN_AVOID_MS;

  for (uint32_t i = 0; i < failures && avoid_ms < MAX_AVOID_MS; i++)
    avoid_ms *= 2;
  return avoid_ms;
}

/* Records that an endpoint could not be reached or failed to respond.  It gets
   no requests for a time that grows with each consecutive failure, unless no
   other endpoint is available.  */
void
pool_record_failure (struct pool_endpoint *endpoint, int64_t now_ms)
{
  endpoint->avoid_until_ms = now_ms + avoid_duration_ms (endpoint->failures++);
}

/* Records a success of a request that another host sent for this one.  */
void
pool_record_relay_success (struct pool_endpoint *endpoint)
{
  endpoint->relay_failures = 0;
}

/* Records that a request which another host should send did not reach ENDPOINT
   or got no response.  */
void
pool_record_relay_failure (struct pool_endpoint *endpoint, int64_t now_ms)
{
  endpoint->relay_avoid_until_ms
      = now_ms + avoid_duration_ms (endpoint->relay_failures++);
}

/* Forgets which requests were running at ENDPOINT when their connections
   ended.  */
void
pool_clear_suspects (struct pool_endpoint *endpoint)
{
  free (endpoint->suspects);
  endpoint->suspects = NULL;
  endpoint->refused_ms = 0;
}

/* Records that ENDPOINT closed the connection while running a request, which
   may have crashed it.  */
void
pool_record_interrupted (struct pool_endpoint *endpoint, uint64_t fingerprint,
                         int64_t now_ms)
{
  struct pool_suspect suspect
      = { .fingerprint = fingerprint, .interrupted_ms = now_ms };

  if (!endpoint->suspects)
    endpoint->suspects
        = xcalloc (POOL_MAX_SUSPECTS, sizeof *endpoint->suspects);
  endpoint->suspects[endpoint->suspect_count++ % POOL_MAX_SUSPECTS] = suspect;
  endpoint->interrupted_ms = now_ms;
  log_write (LOG_INFO, "pool", NULL,
             "endpoint %s ended the connection of a running request with "
             "fingerprint %016" G_GINT64_MODIFIER "x",
             endpoint->id, fingerprint);
}

/* Whether a request was interrupted at ENDPOINT lately, and it is not known
   yet whether the endpoint crashed.  */
bool
pool_has_suspects (const struct pool_endpoint *endpoint, int64_t now_ms)
{
  for (uint32_t i = 0; endpoint->suspects && i < POOL_MAX_SUSPECTS; i++)
    if (is_suspect (&endpoint->suspects[i], now_ms))
      return !endpoint->refused_ms;
  return false;
}

/* Records that ENDPOINT refused a connection.  It is considered crashed if the
   connection of a running request was lost shortly before.  */
void
pool_record_connection_refused (struct pool_endpoint *endpoint, int64_t now_ms)
{
  if (endpoint->refused_ms)
    return;
  if (pool_has_suspects (endpoint, now_ms))
    endpoint->refused_ms = now_ms;
  log_write (LOG_INFO, "pool", NULL,
             "endpoint %s refuses connections; %s request of this host was "
             "interrupted there lately",
             endpoint->id, endpoint->refused_ms ? "a" : "no");
}

static bool
is_confirmed (int64_t refused_ms, int64_t now_ms)
{
  return refused_ms && now_ms - refused_ms >= POOL_CRASH_CONFIRM_MS;
}

/* Returns the crash of an endpoint that has not been returned yet, or NULL.  A
   network partition looks like a crash at first, so crashes are returned only
   after the time in which it would be detected.  */
struct pool_crash *
pool_take_crash (struct pool *pool, int64_t now_ms)
{
  for (guint i = 0; i < pool->ended->len; i++)
    {
      const struct pool_crash *crash = pool->ended->pdata[i];

      if (is_confirmed (crash->refused_ms, now_ms))
        return g_ptr_array_steal_index_fast (pool->ended, i);
    }
  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

      if (is_confirmed (endpoint->refused_ms, now_ms))
        return take_suspects (endpoint);
    }
  return NULL;
}

/* Records whether the endpoints of a data centre are reachable.  Connections
   lost to an unreachable data centre do not make a request suspect.  */
void
pool_set_reachable (struct pool *pool, const char *data_centre, bool reachable)
{
  if (reachable)
    g_hash_table_remove (pool->unreachable_centres, data_centre);
  else
    g_hash_table_add (pool->unreachable_centres, xstrdup (data_centre));
  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

      if (strcmp (endpoint->data_centre, data_centre) != 0)
        continue;
      endpoint->unreachable = !reachable;
      if (!reachable)
        pool_clear_suspects (endpoint);
    }
}

/* Returns the number of listed endpoints.  */
size_t
pool_count (const struct pool *pool)
{
  return pool->endpoints->len;
}

/* Returns the listed endpoint at INDEX, below pool_count.  */
struct pool_endpoint *
pool_at (const struct pool *pool, size_t index)
{
  return pool->endpoints->pdata[index];
}

/* Counts the listed endpoints of SERVICE.  */
struct pool_paths
pool_count_paths (const struct pool *pool, const char *service)
{
  struct pool_paths paths = { 0 };

  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      const struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

      if (strcmp (endpoint->service, service) != 0)
        continue;
      paths.listed++;
      paths.broken += endpoint->path.is_broken;
    }
  return paths;
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer data)
{
  return ((const struct tracked_part *)key)->used_ms < *(const int64_t *)data;
}

/* Halves the time for which unused parts are kept while they have too little
   room, and restores it step by step.  */
static void
adapt_part_ttl (struct pool *pool)
{
  uint32_t full = POOL_MAX_PARTS / 100 * PARTS_FULL_PERCENT;

  if (pool->part_count >= full)
    pool->part_ttl_ms /= 2;
  else if (pool->part_count < full / 2 && pool->part_ttl_ms < PART_TTL_MS)
    pool->part_ttl_ms = MIN (2 * pool->part_ttl_ms + 1, PART_TTL_MS);
}

/* Removes prompt parts that are assumed evicted from the endpoints' caches, or
   for which there is no room.  */
void
pool_expire_prompt_parts (struct pool *pool, int64_t now_ms)
{
  int64_t cutoff_ms;

  adapt_part_ttl (pool);
  cutoff_ms = now_ms - pool->part_ttl_ms;
  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

      g_hash_table_foreach_remove (endpoint->parts, is_expired, &cutoff_ms);
    }
}

/* Forgets all prompt parts, for lack of memory.  */
void
pool_forget_prompt_parts (struct pool *pool)
{
  for (guint i = 0; i < pool->endpoints->len; i++)
    g_hash_table_remove_all (
        ((struct pool_endpoint *)pool->endpoints->pdata[i])->parts);
}

/* Returns the number of prompt parts that are tracked.  */
uint32_t
pool_part_count (const struct pool *pool)
{
  return pool->part_count;
}

/* Sets what the endpoints of each service tolerate while they are cold.  */
void
pool_set_cold_rates (struct pool *pool, const struct pool_cold_rate *rates,
                     size_t count, int64_t now_ms)
{
  g_hash_table_remove_all (pool->cold_rates);
  for (size_t i = 0; i < count; i++)
    {
      int64_t *rate_milli = xcalloc (1, sizeof *rate_milli);

      *rate_milli = rates[i].rate_milli;
      g_hash_table_replace (pool->cold_rates, xstrdup (rates[i].service),
                            rate_milli);
    }
  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

      cold_endpoint_set_rate (
          endpoint, find_cold_rate (pool, endpoint->service), now_ms);
    }
  forget_services (pool);
}

/* Sets which data centres are evacuated: their endpoints get no requests.  */
void
pool_set_evacuated (struct pool *pool, const struct strings *data_centres,
                    int64_t now_ms)
{
  evacuations_apply (pool->evacuations, data_centres, now_ms);
  for (guint i = 0; i < pool->endpoints->len; i++)
    apply_evacuations (pool, pool->endpoints->pdata[i]);
}

/* Whether an endpoint for QUERY gets no requests because its data centre is
   evacuated.  */
bool
pool_has_evacuated (const struct pool *pool, const struct pool_query *query)
{
  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      const struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

      if (endpoint->is_evacuated
          && strcmp (endpoint->service, query->service) == 0)
        return true;
    }
  return false;
}

/* Returns the state of all endpoints as a new reference.  */
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
              "{s:s, s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:b, s:I, s:I, s:I, "
              "s:I, s:b, s:b, s:o}",
              "id", endpoint->id, "service", endpoint->service, "version",
              pool_endpoint_version (endpoint), "address", endpoint->address,
              "slots", (json_int_t)endpoint->slots, "in_flight",
              (json_int_t)endpoint->in_flight, "reported_running",
              (json_int_t)endpoint->reported_running, "reported_waiting",
              (json_int_t)endpoint->reported_waiting, "leaving",
              endpoint->leaving, "failures", (json_int_t)endpoint->failures,
              "limit_per_1000_s", (json_int_t)endpoint->limit_milli,
              "connect_failures", (json_int_t)endpoint->path.failures,
              "last_heard_ms", (json_int_t)endpoint->last_heard_ms, "cold",
              endpoint->is_cold, "evacuated", endpoint->is_evacuated,
              "learned", pool_speed_to_json (endpoint)));
    }
  return list;
}
