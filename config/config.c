#include "config/config.h"
#include "common/address.h"
#include "common/buf.h"
#include "common/id.h"
#include <ctype.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_RATE_PER_MINUTE = 10000000,
  MAX_BURST = 1000000,
  MAX_WEIGHT = 1000,
  MAX_PROGRAM_IDLE_S = 30 * 24 * 3600,
  MAX_TIMEOUT_MS = 3600 * 1000,
  MAX_SLOTS = 100000,
  MAX_NAME_BYTES = 128,
  DEFAULT_TIMEOUT_MS = 30000,
  DEFAULT_SLOTS = 8,
};

/* Limit of budgets, costs and tokens per call. */
static const int64_t MAX_AMOUNT = INT64_C (1000000000000);

/* A field with the same name in the objects and in struct customer_params. */
#define PARAM(member, low, high)                                              \
  {                                                                           \
    .name = #member, .type = FIELD_INT64,                                     \
    .offset = offsetof (struct customer_params, member), .min = (low),        \
    .max = (high)                                                             \
  }

static const struct field param_fields[] = {
  PARAM (rate_per_minute, 1, MAX_RATE_PER_MINUTE),
  PARAM (burst, 1, MAX_BURST),
  PARAM (weight, 1, MAX_WEIGHT),
  PARAM (budget_tokens, 0, MAX_AMOUNT),
  PARAM (budget_calls, 0, MAX_AMOUNT),
  PARAM (budget_cost_micros, 0, MAX_AMOUNT),
  PARAM (cost_micros_per_token, 0, MAX_AMOUNT),
  PARAM (max_tokens_per_call, 1, MAX_AMOUNT),
  PARAM (program_idle_s, 1, MAX_PROGRAM_IDLE_S),
  { .name = "models",
    .type = FIELD_STRINGS,
    .offset = offsetof (struct customer_params, models) },
  { .name = "tools",
    .type = FIELD_STRINGS,
    .offset = offsetof (struct customer_params, tools) },
};

struct key_data
{
  char *customer;
  char *hash;
  bool withdrawn;
};

static const struct field key_fields[] = {
  { .name = "customer",
    .type = FIELD_STRING,
    .offset = offsetof (struct key_data, customer),
    .required = true,
    .remedy = "name the customer that the key belongs to" },
  { .name = "hash",
    .type = FIELD_STRING,
    .offset = offsetof (struct key_data, hash),
    .required = true,
    .remedy = "create keys with galenactl" },
  { .name = "withdrawn",
    .type = FIELD_BOOL,
    .offset = offsetof (struct key_data, withdrawn) },
};

struct endpoint_data
{
  char *kind;
  struct config_endpoint endpoint;
};

static const struct field endpoint_fields[] = {
  { .name = "kind",
    .type = FIELD_STRING,
    .offset = offsetof (struct endpoint_data, kind),
    .required = true,
    .remedy = "set it to \"engine\" or \"service\"" },
  { .name = "url",
    .type = FIELD_STRING,
    .offset = offsetof (struct endpoint_data, endpoint.url),
    .required = true,
    .remedy = "give the endpoint's base URL" },
  { .name = "credential",
    .type = FIELD_STRING,
    .offset = offsetof (struct endpoint_data, endpoint.credential) },
  { .name = "route",
    .type = FIELD_STRING,
    .offset = offsetof (struct endpoint_data, endpoint.route) },
  { .name = "models",
    .type = FIELD_STRINGS,
    .offset = offsetof (struct endpoint_data, endpoint.models) },
  { .name = "slots",
    .type = FIELD_INT64,
    .offset = offsetof (struct endpoint_data, endpoint.slots),
    .min = 1,
    .max = MAX_SLOTS },
  { .name = "checks_fencing",
    .type = FIELD_BOOL,
    .offset = offsetof (struct endpoint_data, endpoint.checks_fencing) },
  { .name = "leaving",
    .type = FIELD_BOOL,
    .offset = offsetof (struct endpoint_data, endpoint.leaving) },
};

static const struct field route_fields[] = {
  { .name = "open_to_all",
    .type = FIELD_BOOL,
    .offset = offsetof (struct config_route, open_to_all) },
  { .name = "idempotent",
    .type = FIELD_BOOL,
    .offset = offsetof (struct config_route, idempotent) },
  { .name = "timeout_ms",
    .type = FIELD_INT64,
    .offset = offsetof (struct config_route, timeout_ms),
    .min = 1,
    .max = MAX_TIMEOUT_MS },
};

struct host_data
{
  char *process;
  struct config_host host;
};

static const struct field host_fields[] = {
  { .name = "data_centre",
    .type = FIELD_STRING,
    .offset = offsetof (struct host_data, host.data_centre),
    .required = true },
  { .name = "peer_address",
    .type = FIELD_STRING,
    .offset = offsetof (struct host_data, host.peer_address),
    .required = true },
  { .name = "caller_address",
    .type = FIELD_STRING,
    .offset = offsetof (struct host_data, host.caller_address) },
  { .name = "operator_address",
    .type = FIELD_STRING,
    .offset = offsetof (struct host_data, host.operator_address) },
  { .name = "process",
    .type = FIELD_STRING,
    .offset = offsetof (struct host_data, process),
    .required = true },
  { .name = "has_data_folder",
    .type = FIELD_BOOL,
    .offset = offsetof (struct host_data, host.has_data_directory) },
  { .name = "leaving",
    .type = FIELD_BOOL,
    .offset = offsetof (struct host_data, host.leaving) },
};

#define ARRAY_LENGTH(array) (sizeof (array) / sizeof *(array))

static void
set_default_params (struct customer_params *params)
{
  *params = (struct customer_params){ .rate_per_minute = 600,
                                      .burst = 60,
                                      .weight = 1,
                                      .budget_tokens = 1000000,
                                      .budget_calls = 1000,
                                      .budget_cost_micros = 1000000000,
                                      .cost_micros_per_token = 0,
                                      .max_tokens_per_call = 4096,
                                      .program_idle_s = 3600 };
}

static void
release_params (struct customer_params *params)
{
  fields_release (param_fields, ARRAY_LENGTH (param_fields), params);
}

/* Reads the data of a template into OUT; parameters that are not set get their
   defaults.  The caller frees the lists in OUT with strings_release.  */
bool
config_read_template_params (const json_t *data, struct customer_params *out,
                             struct error *error)
{
  set_default_params (out);
  return fields_read (data, param_fields, ARRAY_LENGTH (param_fields),
                      "template", out, error);
}

static bool
fail_validation (struct error *error, const char *text)
{
  error_set (error, ERROR_SETTINGS, RUN_NOT_RUN, "%s", text);
  return false;
}

static bool
name_is_valid (const char *name)
{
  size_t len = strlen (name);

  if (len == 0 || len > MAX_NAME_BYTES)
    return false;
  for (size_t i = 0; i < len; i++)
    if (!isalnum ((unsigned char)name[i]) && !strchr ("-_", name[i]))
      return false;
  return true;
}

static json_t *
copy_without_template (const json_t *data)
{
  json_t *copy = json_copy ((json_t *)(uintptr_t)data);

  json_object_del (copy, "template");
  return copy;
}

/* Reads the data of a customer into OUT; parameters that are not set are taken
   from TEMPLATE, or get their defaults where it does not set them either.
   TEMPLATE may be NULL to check only the customer's own fields.  */
static bool
read_customer (const json_t *data, const json_t *template,
               struct customer_params *out, struct error *error)
{
  json_t *overrides;
  bool ok;

  set_default_params (out);
  if (!json_is_string (json_object_get (data, "template")))
    return fail_validation (
        error, "customer: \"template\" is missing; name its template");
  if (template
      && !fields_read (template, param_fields, ARRAY_LENGTH (param_fields),
                       "template", out, error))
    return false;
  overrides = copy_without_template (data);
  ok = fields_read (overrides, param_fields, ARRAY_LENGTH (param_fields),
                    "customer", out, error);
  json_decref (overrides);
  return ok;
}

static bool
read_key (const json_t *data, const char *name, struct config_key *out,
          struct error *error)
{
  struct key_data raw = { 0 };
  size_t len = 0;
  bool ok = fields_read (data, key_fields, ARRAY_LENGTH (key_fields), "key",
                         &raw, error);

  if (ok
      && (sodium_hex2bin (out->hash, sizeof out->hash, raw.hash,
                          strlen (raw.hash), NULL, &len, NULL)
              != 0
          || len != sizeof out->hash))
    ok = fail_validation (error,
                          "key: \"hash\" is not 64 hexadecimal digits; create "
                          "keys with galenactl");
  if (ok)
    {
      out->id = xstrdup (name);
      out->customer = xstrdup (raw.customer);
      out->withdrawn = raw.withdrawn;
    }
  fields_release (key_fields, ARRAY_LENGTH (key_fields), &raw);
  return ok;
}

static void
release_endpoint (struct config_endpoint *endpoint)
{
  free (endpoint->name);
  free (endpoint->url);
  free (endpoint->credential);
  free (endpoint->route);
  strings_release (&endpoint->models);
}

static bool
read_endpoint (const json_t *data, const char *name,
               struct config_endpoint *out, struct error *error)
{
  struct endpoint_data raw = { .endpoint.slots = DEFAULT_SLOTS };
  bool ok = fields_read (data, endpoint_fields, ARRAY_LENGTH (endpoint_fields),
                         "endpoint", &raw, error);

  if (ok && strcmp (raw.kind, "engine") == 0)
    raw.endpoint.kind = ENDPOINT_ENGINE;
  else if (ok && strcmp (raw.kind, "service") == 0)
    raw.endpoint.kind = ENDPOINT_SERVICE;
  else if (ok)
    ok = fail_validation (
        error, "endpoint: \"kind\" must be \"engine\" or \"service\"");
  if (ok && raw.endpoint.kind == ENDPOINT_SERVICE && !raw.endpoint.route)
    ok = fail_validation (
        error, "endpoint: \"route\" is missing; name the route that "
               "the service belongs to");
  if (ok && strncmp (raw.endpoint.url, "http://", 7) != 0
      && strncmp (raw.endpoint.url, "https://", 8) != 0)
    ok = fail_validation (
        error, "endpoint: \"url\" must begin with http:// or https://");
  free (raw.kind);
  if (!ok)
    {
      release_endpoint (&raw.endpoint);
      return false;
    }
  *out = raw.endpoint;
  out->name = xstrdup (name);
  return true;
}

static bool
read_route (const json_t *data, const char *name, struct config_route *out,
            struct error *error)
{
  *out = (struct config_route){ .timeout_ms = DEFAULT_TIMEOUT_MS };
  if (!fields_read (data, route_fields, ARRAY_LENGTH (route_fields), "route",
                    out, error))
    return false;
  out->name = xstrdup (name);
  return true;
}

static void
release_host (struct config_host *host)
{
  free (host->name);
  free (host->data_centre);
  free (host->peer_address);
  free (host->caller_address);
  free (host->operator_address);
}

static bool
read_host (const json_t *data, const char *name, struct config_host *out,
           struct error *error)
{
  struct host_data raw = { 0 };
  struct sockaddr_in address;
  bool ok = fields_read (data, host_fields, ARRAY_LENGTH (host_fields), "host",
                         &raw, error);

  if (ok && !address_parse (raw.host.peer_address, &address))
    ok = fail_validation (error, "host: \"peer_address\" must be IP:port");
  if (ok)
    raw.host.process = strtoull (raw.process, NULL, 16);
  free (raw.process);
  if (!ok)
    {
      release_host (&raw.host);
      return false;
    }
  *out = raw.host;
  out->name = xstrdup (name);
  out->name_hash = id_hash_text (name);
  out->dc_hash = id_hash_text (out->data_centre);
  return true;
}

static bool
read_slots (const json_t *data, const char *name, struct config_slots *out,
            struct error *error)
{
  const json_t *holders = json_object_get (data, "holders");

  *out = (struct config_slots){ 0 };
  if (json_array_size (holders) != SLOTS_PER_DC)
    return fail_validation (error,
                            "slots: \"holders\" must have one entry per slot");
  for (size_t i = 0; i < SLOTS_PER_DC; i++)
    {
      const char *holder = json_string_value (json_array_get (holders, i));

      out->holders[i] = holder ? strtoull (holder, NULL, 16) : 0;
    }
  out->data_centre = xstrdup (name);
  out->dc_hash = id_hash_text (name);
  return true;
}

/* Returns whether DATA is valid for the object NAME of KIND.  References to
   other objects are not checked.  */
bool
config_validate_object (const char *kind, const char *name, const json_t *data,
                        struct error *error)
{
  struct customer_params params = { 0 };
  struct config_endpoint endpoint = { 0 };
  struct config_route route = { 0 };
  struct config_key key = { 0 };
  struct config_host host = { 0 };
  bool ok;

  if (!name_is_valid (name))
    {
      error_set (error, ERROR_SETTINGS, RUN_NOT_RUN,
                 "%s: \"%.40s\" is not a valid name; use up to %d letters, "
                 "digits, '-' and '_'",
                 kind, name, MAX_NAME_BYTES);
      return false;
    }
  if (strcmp (kind, "template") == 0)
    ok = config_read_template_params (data, &params, error);
  else if (strcmp (kind, "customer") == 0)
    ok = read_customer (data, NULL, &params, error);
  else if (strcmp (kind, "endpoint") == 0)
    ok = read_endpoint (data, name, &endpoint, error);
  else if (strcmp (kind, "route") == 0)
    ok = read_route (data, name, &route, error);
  else if (strcmp (kind, "key") == 0)
    ok = read_key (data, name, &key, error);
  else if (strcmp (kind, "host") == 0)
    ok = read_host (data, name, &host, error);
  else
    ok = fail_validation (error,
                          "objects of this kind are not configuration; use "
                          "template, customer, key, endpoint or route");
  release_params (&params);
  release_endpoint (&endpoint);
  release_host (&host);
  free (route.name);
  free (key.id);
  free (key.customer);
  return ok;
}

/* Computes the hash under which a caller's key is stored.  Keys have 256
   random bits, so an unsalted hash does not reveal them.  */
void
config_hash_key (const char *key, uint8_t hash[KEY_HASH_BYTES])
{
  static const char domain[] = "galenashore caller key";

  crypto_generichash (hash, KEY_HASH_BYTES, (const unsigned char *)key,
                      strlen (key), (const unsigned char *)domain,
                      sizeof domain);
}

/* Returns the data of an object, or NULL when OBJECTS does not contain it.  */
static const json_t *
find_object_data (const json_t *objects, const char *kind, const char *name)
{
  size_t i;
  json_t *object;

  json_array_foreach (objects, i, object)
  {
    const char *object_kind
        = json_string_value (json_object_get (object, "kind"));
    const char *object_name
        = json_string_value (json_object_get (object, "name"));

    if (object_kind && object_name && strcmp (object_kind, kind) == 0
        && strcmp (object_name, name) == 0)
      return json_object_get (object, "data");
  }
  return NULL;
}

static bool
add_customer (struct config *config, const json_t *objects, const char *name,
              const json_t *data, struct error *error)
{
  const char *template_name
      = json_string_value (json_object_get (data, "template"));
  const json_t *template
      = template_name ? find_object_data (objects, "template", template_name)
                      : NULL;
  struct config_customer *customer
      = &config->customers[config->customer_count];

  if (template_name && !template)
    {
      error_set (error, ERROR_SETTINGS, RUN_NOT_RUN,
                 "customer: template \"%.60s\" does not exist; create it or "
                 "name another",
                 template_name);
      return false;
    }
  if (!read_customer (data, template, &customer->params, error))
    {
      release_params (&customer->params);
      return false;
    }
  customer->name = xstrdup (name);
  config->customer_count++;
  return true;
}

/* Reads an object into the table of its kind.  Templates are read when a
   customer refers to them; objects of other kinds are ignored.  */
static bool
add_object (struct config *config, const json_t *objects, const char *kind,
            const char *name, const json_t *data, struct error *error)
{
  if (strcmp (kind, "customer") == 0)
    return add_customer (config, objects, name, data, error);
  if (strcmp (kind, "key") == 0)
    {
      if (!read_key (data, name, &config->keys[config->key_count], error))
        return false;
      config->key_count++;
      return true;
    }
  if (strcmp (kind, "endpoint") == 0)
    {
      if (!read_endpoint (data, name,
                          &config->endpoints[config->endpoint_count], error))
        return false;
      config->endpoint_count++;
      return true;
    }
  if (strcmp (kind, "route") == 0)
    {
      if (!read_route (data, name, &config->routes[config->route_count],
                       error))
        return false;
      config->route_count++;
      return true;
    }
  if (strcmp (kind, "host") == 0)
    {
      if (!read_host (data, name, &config->hosts[config->host_count], error))
        return false;
      config->host_count++;
      return true;
    }
  if (strcmp (kind, "slots") == 0)
    {
      if (!read_slots (data, name, &config->slots[config->slot_table_count],
                       error))
        return false;
      config->slot_table_count++;
    }
  return true;
}

static int
compare_customers (const void *a, const void *b)
{
  return strcmp (((const struct config_customer *)a)->name,
                 ((const struct config_customer *)b)->name);
}

static int
compare_keys (const void *a, const void *b)
{
  return memcmp (((const struct config_key *)a)->hash,
                 ((const struct config_key *)b)->hash, KEY_HASH_BYTES);
}

static int
compare_routes (const void *a, const void *b)
{
  return strcmp (((const struct config_route *)a)->name,
                 ((const struct config_route *)b)->name);
}

static int
compare_slots (const void *a, const void *b)
{
  return strcmp (((const struct config_slots *)a)->data_centre,
                 ((const struct config_slots *)b)->data_centre);
}

static void
sort_tables (struct config *config)
{
  qsort (config->customers, config->customer_count, sizeof *config->customers,
         compare_customers);
  qsort (config->keys, config->key_count, sizeof *config->keys, compare_keys);
  qsort (config->routes, config->route_count, sizeof *config->routes,
         compare_routes);
  qsort (config->slots, config->slot_table_count, sizeof *config->slots,
         compare_slots);
}

/* Builds the configuration from OBJECTS, an array of {kind, name, data}.
   Invalid objects are left out and listed with the reason in "invalid" of the
   result.  The caller owns the result.  */
struct config *
config_build (const json_t *objects, uint64_t revision)
{
  struct config *config = xcalloc (1, sizeof *config);
  size_t count = json_array_size (objects) + 1;
  size_t i;
  json_t *object;

  config->revision = revision;
  config->customers = xcalloc (count, sizeof *config->customers);
  config->keys = xcalloc (count, sizeof *config->keys);
  config->endpoints = xcalloc (count, sizeof *config->endpoints);
  config->routes = xcalloc (count, sizeof *config->routes);
  config->hosts = xcalloc (count, sizeof *config->hosts);
  config->slots = xcalloc (count, sizeof *config->slots);
  config->invalid = json_array ();
  json_array_foreach (objects, i, object)
  {
    const char *kind = json_string_value (json_object_get (object, "kind"));
    const char *name = json_string_value (json_object_get (object, "name"));
    struct error error;

    if (!kind || !name
        || add_object (config, objects, kind, name,
                       json_object_get (object, "data"), &error))
      continue;
    json_array_append_new (config->invalid,
                           json_pack ("{s:s, s:s, s:s}", "kind", kind, "name",
                                      name, "reason", error.message));
  }
  sort_tables (config);
  return config;
}

/* Frees a configuration, which may be NULL.  */
void
config_destroy (struct config *config)
{
  if (!config)
    return;
  for (size_t i = 0; i < config->customer_count; i++)
    {
      release_params (&config->customers[i].params);
      free (config->customers[i].name);
    }
  for (size_t i = 0; i < config->key_count; i++)
    {
      free (config->keys[i].id);
      free (config->keys[i].customer);
    }
  for (size_t i = 0; i < config->endpoint_count; i++)
    release_endpoint (&config->endpoints[i]);
  for (size_t i = 0; i < config->route_count; i++)
    free (config->routes[i].name);
  for (size_t i = 0; i < config->host_count; i++)
    release_host (&config->hosts[i]);
  for (size_t i = 0; i < config->slot_table_count; i++)
    free (config->slots[i].data_centre);
  free (config->customers);
  free (config->keys);
  free (config->endpoints);
  free (config->routes);
  free (config->hosts);
  free (config->slots);
  json_decref (config->invalid);
  free (config);
}

/* Returns the customer NAME, or NULL when there is none.  */
const struct config_customer *
config_find_customer (const struct config *config, const char *name)
{
  struct config_customer search_key = { .name = (char *)(uintptr_t)name };

  return bsearch (&search_key, config->customers, config->customer_count,
                  sizeof search_key, compare_customers);
}

/* Returns the key with HASH, or NULL when there is none.  */
const struct config_key *
config_find_key (const struct config *config, const uint8_t *hash)
{
  struct config_key search_key = { 0 };

  memcpy (search_key.hash, hash, sizeof search_key.hash);
  return bsearch (&search_key, config->keys, config->key_count,
                  sizeof search_key, compare_keys);
}

/* Returns the key with ID, or NULL when there is none.  */
const struct config_key *
config_find_key_by_id (const struct config *config, const char *id)
{
  for (size_t i = 0; i < config->key_count; i++)
    if (strcmp (config->keys[i].id, id) == 0)
      return &config->keys[i];
  return NULL;
}

/* Returns the route NAME, or NULL when there is none.  */
const struct config_route *
config_find_route (const struct config *config, const char *name)
{
  struct config_route search_key = { .name = (char *)(uintptr_t)name };

  return bsearch (&search_key, config->routes, config->route_count,
                  sizeof search_key, compare_routes);
}

/* Returns the host NAME, or NULL when there is none.  */
const struct config_host *
config_find_host (const struct config *config, const char *name)
{
  for (size_t i = 0; i < config->host_count; i++)
    if (strcmp (config->hosts[i].name, name) == 0)
      return &config->hosts[i];
  return NULL;
}
