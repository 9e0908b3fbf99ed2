#include "request/routing.h"
#include "common/buf.h"
#include "common/counters.h"
#include "common/memory.h"
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

enum
{
  BLOCK_BYTES = 16, /* that an allocation takes beside its content */
  KEY_BYTES = 2 * BLOCK_BYTES + 32,   /* an entry of the table of keys */
  HOST_BYTES = 4 * BLOCK_BYTES + 112, /* an entry of the table of hosts */
};

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
  routing->keys
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, free, NULL);
  routing->hosts
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                               (GDestroyNotify)(void (*) (void))g_array_unref);
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
  g_hash_table_destroy (routing->keys);
  g_hash_table_destroy (routing->hosts);
  if (routing->bytes > 0)
    counter_add (COUNTER_CONFIG_VERSIONS, -1);
  memory_add (MEMORY_CONFIG, -(int64_t)routing->bytes);
  free (routing);
}

/* Returns about how many bytes the configuration holds.  */
static size_t
count_bytes (const struct routing *routing)
{
  size_t bytes = sizeof *routing
                 + routing->route_count * sizeof *routing->routes
                 + routing->service_count * sizeof *routing->services
                 + routing->customer_count * sizeof *routing->customers
                 + g_hash_table_size (routing->keys) * KEY_BYTES
                 + g_hash_table_size (routing->hosts) * HOST_BYTES;

  for (uint32_t i = 0; i < routing->route_count; i++)
    {
      const struct route *route = &routing->routes[i];

      bytes += sizeof route + strlen (route->name) + strlen (route->host)
               + strlen (route->path_prefix) + 4 * BLOCK_BYTES
               + route->target_count * sizeof *route->targets;
    }
  for (uint32_t i = 0; i < routing->service_count; i++)
    bytes += strlen (routing->services[i].name) + BLOCK_BYTES;
  for (uint32_t i = 0; i < routing->customer_count; i++)
    bytes += strlen (routing->customers[i].name) + BLOCK_BYTES;
  return bytes;
}

/* Adds an API key of the customer at CUSTOMER_INDEX.  */
void
routing_add_key (struct routing *routing, const char *key,
                 uint32_t customer_index)
{
  uint64_t *hash = xcalloc (1, sizeof *hash);

  *hash = hash_key (key);
  g_hash_table_insert (routing->keys, hash,
                       GUINT_TO_POINTER (customer_index + 1));
}

static gint
compare_prefix_lengths (gconstpointer a, gconstpointer b)
{
  const struct route *left = *(const struct route *const *)a;
  const struct route *right = *(const struct route *const *)b;
  size_t left_len = strlen (left->path_prefix);
  size_t right_len = strlen (right->path_prefix);

  return left_len > right_len ? -1 : left_len < right_len;
}

/* Builds the lookup table of routes.  Must be called after all routes have
   been added.  */
void
routing_build_index (struct routing *routing)
{
  GHashTableIter iter;
  gpointer value;

  for (uint32_t i = 0; i < routing->route_count; i++)
    {
      const struct route *route = &routing->routes[i];
      GArray *list = g_hash_table_lookup (routing->hosts, route->host);

      if (!list)
        {
          list = g_array_new (FALSE, FALSE, sizeof route);
          g_hash_table_insert (routing->hosts, route->host, list);
        }
      g_array_append_val (list, route);
    }
  g_hash_table_iter_init (&iter, routing->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_array_sort (value, compare_prefix_lengths);
  routing->bytes = count_bytes (routing);
  memory_add (MEMORY_CONFIG, (int64_t)routing->bytes);
  counter_add (COUNTER_CONFIG_VERSIONS, 1);
}

/* Returns the route on HOST with the longest matching prefix of PATH, or NULL.
   A port in HOST is ignored.  */
const struct route *
routing_find_route (const struct routing *routing, const char *host,
                    const char *path)
{
  char *name = xstrdup (host ? host : "");
  GArray *list;

  name[strcspn (name, ":")] = '\0';
  list = g_hash_table_lookup (routing->hosts, name);
  free (name);
  for (guint i = 0; list && i < list->len; i++)
    {
      const struct route *route
          = g_array_index (list, const struct route *, i);

      if (strncmp (path, route->path_prefix, strlen (route->path_prefix)) == 0)
        return route;
    }
  return NULL;
}

/* Returns the customer to whom KEY belongs, or NULL.  */
const struct customer *
routing_find_customer (const struct routing *routing, const char *key)
{
  uint64_t hash = hash_key (key);
  guint found = GPOINTER_TO_UINT (g_hash_table_lookup (routing->keys, &hash));

  return found ? &routing->customers[found - 1] : NULL;
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
