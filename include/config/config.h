/* The configuration as typed values, built from the objects of the
   platform. */
#ifndef GALENA_CONFIG_CONFIG_H
#define GALENA_CONFIG_CONFIG_H

#include "common/error.h"
#include "common/fields.h"
#include "policy/budget.h"
#include <jansson.h>
#include <stdint.h>

/* Kinds of objects that are part of the configuration. */
#define CONFIG_KINDS "template,customer,key,endpoint,route,host,slots,drain"

enum
{
  KEY_HASH_BYTES = 32,
  KEY_HASH_TEXT_BYTES = 2 * KEY_HASH_BYTES + 1,
  KEY_ID_TEXT_BYTES = 17,
  KEY_TEXT_BYTES = 64,
  SLOTS_PER_DC = 16, /* rate limit slots of each data centre */
};

/* Parameters that a template sets and a customer may override. */
struct customer_params
{
  int64_t rate_per_minute;
  int64_t burst;
  int64_t weight;
  int64_t budget_tokens;
  int64_t budget_calls;
  int64_t budget_cost_micros;
  int64_t cost_micros_per_token;
  int64_t max_tokens_per_call;
  int64_t program_idle_s;
  struct strings models; /* empty to allow all */
  struct strings tools;  /* empty to allow all */
};

struct config_customer
{
  char *name;
  struct customer_params params;
};

/* An API key of a caller.  Only its hash is stored. */
struct config_key
{
  uint8_t hash[KEY_HASH_BYTES];
  char *id;
  char *customer;
  bool withdrawn;
};

enum endpoint_kind
{
  ENDPOINT_ENGINE,
  ENDPOINT_SERVICE,
};

struct config_endpoint
{
  char *name;
  enum endpoint_kind kind;
  char *url;
  char *credential; /* sent as a bearer token; NULL for none */
  char *route;      /* that a service endpoint serves; NULL for none */
  struct strings models;
  int64_t slots; /* calls that it can run at once */
  bool checks_fencing;
  bool leaving; /* gets no new calls */
};

/* A service or tool that callers and programs can call. */
struct config_route
{
  char *name;
  bool open_to_all;
  bool idempotent;    /* a call may be sent again after it may have run */
  int64_t timeout_ms; /* of one attempt */
};

struct config_host
{
  char *name;
  char *data_centre;
  char *peer_address;
  char *caller_address;
  char *operator_address;
  uint64_t process; /* id of the host's current process */
  uint64_t name_hash;
  uint64_t dc_hash; /* hash of the name of its data centre */
  bool has_data_directory;
  bool leaving;
};

/* Which process holds each rate limit slot of a data centre. */
struct config_slots
{
  char *data_centre;
  uint64_t dc_hash;
  uint64_t holders[SLOTS_PER_DC]; /* process ids; 0 for none */
};

/* Immutable once built.  The owner of the struct owns all of its members. */
struct config
{
  uint64_t revision; /* of the objects that it was built from */
  struct config_customer *customers; /* sorted by name */
  size_t customer_count;
  struct config_key *keys; /* sorted by hash */
  size_t key_count;
  struct config_endpoint *endpoints;
  size_t endpoint_count;
  struct config_route *routes; /* sorted by name */
  size_t route_count;
  struct config_host *hosts;
  size_t host_count;
  struct config_slots *slots;
  size_t slot_table_count;
  json_t *invalid; /* invalid objects, each with the reason */
};

struct config *config_build (const json_t *objects, uint64_t revision);
void config_destroy (struct config *config);
bool config_validate_object (const char *kind, const char *name,
                             const json_t *data, struct error *error);
const struct config_customer *
config_find_customer (const struct config *config, const char *name);
const struct config_key *config_find_key (const struct config *config,
                                          const uint8_t *hash);
const struct config_key *config_find_key_by_id (const struct config *config,
                                                const char *id);
const struct config_route *config_find_route (const struct config *config,
                                              const char *name);
const struct config_host *config_find_host (const struct config *config,
                                            const char *name);
void config_hash_key (const char *key, uint8_t hash[KEY_HASH_BYTES]);
bool config_read_template_params (const json_t *data,
                                  struct customer_params *out,
                                  struct error *error);

#endif
