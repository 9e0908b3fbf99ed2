#include "request/routing.h"
#include "common/block.h"
#include "common/buf.h"
#include "common/counters.h"
#include "common/memory.h"
#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Returns the hash of an API key, keyed with a per-process secret.  Keys are
   stored only in this form.  */
static uint64_t
hash_key (const char *key)
{
  static uint8_t secret[crypto_shorthash_KEYBYTES];
  static gsize is_initialized;
  uint64_t hash;

  if (g_once_init_enter (&is_initialized))
    {
      crypto_shorthash_keygen (secret);
      g_once_init_leave (&is_initialized, 1);
    }
  crypto_shorthash ((uint8_t *)&hash, (const uint8_t *)key, strlen (key),
                    secret);
  return hash;
}

/* Creates an empty configuration with one reference.  */
struct routing *
routing_create (void)
{
  struct routing *routing = xcalloc (1, sizeof *routing);

  routing->reference_count = 1;
  return routing;
}

/* Adds a reference.  */
struct routing *
routing_ref (struct routing *routing)
{
  routing->reference_count++;
  return routing;
}

/* Drops a reference; dropping the last one frees the configuration.  */
void
routing_unref (struct routing *routing)
{
  if (!routing || --routing->reference_count > 0)
    return;
  for (uint32_t i = 0; i < routing->route_count; i++)
    {
      free (routing->routes[i].name);
      free (routing->routes[i].host);
      free (routing->routes[i].path_prefix);
      free (routing->routes[i].targets);
    }
  for (uint32_t i = 0; i < routing->service_count; i++)
    free (routing->services[i].name);
  for (uint32_t i = 0; i < routing->customer_count; i++)
    free (routing->customers[i].name);
  free (routing->routes);
  free (routing->services);
  free (routing->customers);
  free (routing->keys);
  free (routing->route_order);
  if (routing->bytes > 0)
    counter_add (COUNTER_CONFIG_VERSIONS, -1);
  memory_add (MEMORY_CONFIG, -(int64_t)routing->bytes);
  free (routing);
}

/* Returns how many bytes the configuration holds.  */
static size_t
count_bytes (const struct routing *routing)
{
  size_t bytes
      = block_bytes (sizeof *routing)
        + block_bytes (routing->route_count * sizeof *routing->routes)
        + block_bytes (routing->route_count * sizeof *routing->route_order)
        + block_bytes (routing->service_count * sizeof *routing->services)
        + block_bytes (routing->customer_count * sizeof *routing->customers)
        + block_bytes (routing->key_count * sizeof *routing->keys);

  for (uint32_t i = 0; i < routing->route_count; i++)
    {
      const struct route *route = &routing->routes[i];

      bytes += block_text_bytes (route->name) + block_text_bytes (route->host)
               + block_text_bytes (route->path_prefix)
               + block_bytes (route->target_count * sizeof *route->targets);
    }
  for (uint32_t i = 0; i < routing->service_count; i++)
    bytes += block_text_bytes (routing->services[i].name);
  for (uint32_t i = 0; i < routing->customer_count; i++)
    bytes += block_text_bytes (routing->customers[i].name);
  return bytes;
}

/* Adds an API key of the customer at CUSTOMER_INDEX.  Of equal keys, the last
   one counts.  */
void
routing_add_key (struct routing *routing, const char *key,
                 uint32_t customer_index)
{
  if (routing->key_count == routing->key_capacity)
    {
      routing->key_capacity
          = routing->key_capacity > 0 ? 2 * routing->key_capacity : 1;
      routing->keys = xrealloc (routing->keys,
                                routing->key_capacity * sizeof *routing->keys);
    }
  routing->keys[routing->key_count++]
      = (struct routing_key){ .hash = hash_key (key),
                              .customer = customer_index };
}

static int
compare_keys (const void *a, const void *b)
{
  const struct routing_key *left = a;
  const struct routing_key *right = b;

  if (left->hash != right->hash)
    return left->hash < right->hash ? -1 : 1;
  return left->customer < right->customer ? -1
                                          : left->customer > right->customer;
}

/* Sorts the keys and keeps one of each hash, that of the last customer.  */
static void
sort_keys (struct routing *routing)
{
  uint32_t count = 0;

  if (routing->key_count == 0)
    return;
  qsort (routing->keys, routing->key_count, sizeof *routing->keys,
         compare_keys);
  for (uint32_t i = 0; i < routing->key_count; i++)
    {
      if (count > 0 && routing->keys[count - 1].hash == routing->keys[i].hash)
        count--;
      routing->keys[count++] = routing->keys[i];
    }
  routing->key_count = routing->key_capacity = count;
  routing->keys = xrealloc (routing->keys, count * sizeof *routing->keys);
}

static int
compare_routes (const void *a, const void *b, void *data)
{
  const struct route *routes = data;
  uint32_t left = *(const uint32_t *)a;
  uint32_t right = *(const uint32_t *)b;
  size_t left_len = strlen (routes[left].path_prefix);
  size_t right_len = strlen (routes[right].path_prefix);
  int order = strcmp (routes[left].host, routes[right].host);

  if (order != 0)
    return order;
  if (left_len != right_len)
    return left_len > right_len ? -1 : 1;
  return left < right ? -1 : left > right;
}

/* Builds the lookup tables of routes and keys.  Must be called after all have
   been added.  */
void
routing_build_index (struct routing *routing)
{
  routing->route_order
      = xcalloc (routing->route_count + 1, sizeof *routing->route_order);
  for (uint32_t i = 0; i < routing->route_count; i++)
    routing->route_order[i] = i;
  if (routing->route_count > 0)
    qsort_r (routing->route_order, routing->route_count,
             sizeof *routing->route_order, compare_routes, routing->routes);
  sort_keys (routing);
  routing->bytes = count_bytes (routing);
  memory_add (MEMORY_CONFIG, (int64_t)routing->bytes);
  counter_add (COUNTER_CONFIG_VERSIONS, 1);
}

/* Compares NAME of LEN bytes, which need not end there, with HOST.  */
static int
compare_host (const char *name, size_t len, const char *host)
{
  int order = strncmp (name, host, len);

  return order == 0 && host[len] != '\0' ? -1 : order;
}

/* Returns the place in route_order of the first route that is not on a host
   before NAME of LEN bytes.  */
static uint32_t
find_host (const struct routing *routing, const char *name, size_t len)
{
  uint32_t low = 0;
  uint32_t high = routing->route_count;

  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      const struct route *route
          = &routing->routes[routing->route_order[middle]];

      if (compare_host (name, len, route->host) > 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/* Returns the route on HOST with the longest matching prefix of PATH, or NULL.
   A port in HOST is ignored.  */
const struct route *
routing_find_route (const struct routing *routing, const char *host,
                    const char *path)
{
  const char *name = host ? host : "";
  size_t len = strcspn (name, ":");

  for (uint32_t i = find_host (routing, name, len); i < routing->route_count;
       i++)
    {
      const struct route *route = &routing->routes[routing->route_order[i]];

      if (compare_host (name, len, route->host) != 0)
        return NULL;
      if (strncmp (path, route->path_prefix, strlen (route->path_prefix)) == 0)
        return route;
    }
  return NULL;
}

static int
compare_hashes (const void *hash, const void *key)
{
  uint64_t left = *(const uint64_t *)hash;
  uint64_t right = ((const struct routing_key *)key)->hash;

  return left < right ? -1 : left > right;
}

/* Returns the customer to whom KEY belongs, or NULL.  */
const struct customer *
routing_find_customer (const struct routing *routing, const char *key)
{
  uint64_t hash = hash_key (key);
  const struct routing_key *found
      = routing->key_count > 0
            ? bsearch (&hash, routing->keys, routing->key_count,
                       sizeof *routing->keys, compare_hashes)
            : NULL;

  return found ? &routing->customers[found->customer] : NULL;
}

/* Returns the time of a request on ROUTE whose caller allows it DEADLINE_MS,
   negative for no deadline.  */
int64_t
route_limit_ms (const struct route *route, int64_t deadline_ms)
{
  if (deadline_ms >= 0
      && (route->timeout_ms <= 0 || deadline_ms < route->timeout_ms))
    return deadline_ms;
  return route->timeout_ms;
}

/* Whether admission concerns a request on ROUTE: it is a turn whose caller
   states the program's deadline.  */
bool
route_admits_programs (const struct route *route, int64_t program_deadline_ms)
{
  return route->retry_mode == ROUTE_STREAM && program_deadline_ms > 0;
}

/* Selects a target of ROUTE by weight, with a random number, or a program's
   hash so that its requests go to the same service.  SERVICES are those into
   which the targets have indexes.  Returns NULL if there is none.  */
const struct service *
route_pick_service (const struct route *route, const struct service *services,
                    uint64_t random)
{
  uint64_t weights = 0;
  uint64_t at;

  for (uint32_t i = 0; i < route->target_count; i++)
    weights += route->targets[i].weight;
  if (weights == 0)
    return NULL;
  at = random % weights;
  for (uint32_t i = 0; i < route->target_count; i++)
    {
      if (at < route->targets[i].weight)
        return &services[route->targets[i].service];
      at -= route->targets[i].weight;
    }
  return NULL;
}

/* Returns the customer named NAME, or NULL.  */
const struct customer *
routing_find_customer_name (const struct routing *routing, const char *name)
{
  for (uint32_t i = 0; i < routing->customer_count; i++)
    if (strcmp (routing->customers[i].name, name) == 0)
      return &routing->customers[i];
  return NULL;
}

/* Returns the index of the service named NAME, or -1.  */
int32_t
routing_find_service (const struct routing *routing, const char *name)
{
  for (uint32_t i = 0; i < routing->service_count; i++)
    if (strcmp (routing->services[i].name, name) == 0)
      return (int32_t)i;
  return -1;
}
