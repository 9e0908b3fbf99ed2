/* The configuration of the request path: routes, services, customers and API
   keys.  The control thread builds it; it is immutable once handed to the
   traffic thread.  */
#ifndef GALENA_REQUEST_ROUTING_H
#define GALENA_REQUEST_ROUTING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Whether requests may be sent again if an endpoint may have run them, and
   whether responses are streamed. */
enum route_retry_mode
{
  ROUTE_IDEMPOTENT, /* may be sent again */
  ROUTE_ONCE,       /* are not sent again */
  ROUTE_STREAM,     /* are streamed; may be sent again if resumable */
};

struct route_target
{
  uint32_t service; /* index into the routing's services */
  uint32_t weight;
};

struct route
{
  char *name;
  char *host;
  char *path_prefix;
  enum route_retry_mode retry_mode;
  bool resumable; /* streams can be resumed after the last event received */
  bool retained;  /* the system keeps the turns of conversations */
  uint32_t retention_s;  /* after a turn's end, if retained */
  bool is_open;          /* no API key required */
  int64_t timeout_ms;    /* of a request, including retries */
  int32_t priority;      /* 0 is the most urgent */
  uint32_t max_attempts; /* that may have run; 0 for the default */
  struct route_target *targets;
  uint32_t target_count;
};

struct service
{
  char *name;
  int64_t tokens_per_event; /* output tokens per event of a stream */
  /* Requests per 1,000 s that a cold endpoint tolerates; 0 for any number. */
  int64_t cold_rate_milli;
};

struct customer
{
  char *name;
  int32_t priority;   /* overrides the route's; negative for none */
  int64_t rate_milli; /* requests per 1000 s; 0 for no limit */
  int64_t burst;
};

/* An API key.  Only its hash is kept. */
struct routing_key
{
  uint64_t hash;
  uint32_t customer; /* index into the routing's customers */
};

struct routing
{
  int64_t version; /* of the configuration */
  struct route *routes;
  uint32_t route_count;
  struct service *services;
  uint32_t service_count;
  struct customer *customers;
  uint32_t customer_count;
  int64_t max_body_bytes;
  struct routing_key *keys; /* sorted by hash once the index is built */
  uint32_t key_count;
  uint32_t key_capacity;
  /* Indexes of the routes, sorted by host; those of a host by the length of
     their prefix, the longest first. */
  uint32_t *route_order;
  size_t bytes;             /* that it holds, as accounted */
  uint32_t reference_count; /* not atomic: one thread at a time */
};

struct routing *routing_create (void);
struct routing *routing_ref (struct routing *routing);
void routing_unref (struct routing *routing);
void routing_add_key (struct routing *routing, const char *key,
                      uint32_t customer_index);
void routing_build_index (struct routing *routing);
const struct route *routing_find_route (const struct routing *routing,
                                        const char *host, const char *path);
const struct customer *routing_find_customer (const struct routing *routing,
                                              const char *key);
int64_t route_limit_ms (const struct route *route, int64_t deadline_ms);
bool route_admits_programs (const struct route *route,
                            int64_t program_deadline_ms);
const struct customer *
routing_find_customer_name (const struct routing *routing, const char *name);
const struct service *route_pick_service (const struct route *route,
                                          const struct service *services,
                                          uint64_t random);
int32_t routing_find_service (const struct routing *routing, const char *name);

#endif
