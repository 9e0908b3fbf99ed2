/* The endpoints known to this host, with the load and failures that it has
   observed. */
#ifndef GALENA_REQUEST_POOL_H
#define GALENA_REQUEST_POOL_H

#include "common/fields.h"
#include "policy/cold.h"
#include "policy/path_detector.h"
#include "policy/place.h"
#include "request/pool_speed.h"
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Prompt parts tracked of all endpoints together, and what each takes. */
  POOL_MAX_PARTS = 32 * 1024,
  POOL_PART_BYTES = 96,
};

/* A part of a prompt.  Callers send equal parts with the same id. */
struct prompt_part
{
  uint64_t id;
  int64_t tokens;
};

/* A registered endpoint, as reported by the control thread. */
struct endpoint_entry
{
  char *id;
  char *service;
  char *address; /* "IP:port" */
  char *data_centre;
  char *version; /* of its software; NULL if it states none */
  int64_t slots;
  int64_t started_ms; /* of the endpoint's process, Unix time */
  bool leaving;       /* is shutting down and gets no new requests */
  int64_t cold_ms;    /* for how long it is still cold */
  int64_t revision;   /* of the entry; 0 if unknown */
};

/* Created by the control thread, freed by the traffic thread. */
struct endpoint_list
{
  struct endpoint_entry *entries;
  size_t count;
};

enum
{
  POOL_MAX_SUSPECTS = 64, /* interrupted requests tracked per endpoint */
  /* An endpoint that refuses connections counts as crashed only after this
     time.  A partition between data centres is detected before, with a margin
     of 150 ms (policy/failure_detector.h), and so is one of this host
     (request/path_monitor.h). */
  POOL_CRASH_CONFIRM_MS = 800,
};

/* A request that was running when its endpoint closed the connection. */
struct pool_suspect
{
  uint64_t fingerprint;
  int64_t interrupted_ms;
};

/* An endpoint and what this host knows about it.  Owned by the pool, which
   keeps it while requests use it. */
struct pool_endpoint
{
  char *id;
  char *service;
  char *address;
  char *data_centre;
  char *version;  /* NULL if it states none */
  uint64_t hash;  /* of the id */
  uint64_t start; /* hash of the id and started_ms */
  uint64_t data_centre_hash;
  /* Equal for endpoints of one service with the same software version.  One
     that states none is a build of its own. */
  uint64_t build;
  int64_t slots;
  int64_t started_ms;
  bool remote;      /* in another data centre */
  bool unreachable; /* this host cannot reach its data centre */
  bool leaving;
  bool removed;             /* no longer listed, but still in use */
  uint32_t in_flight;       /* requests of this host */
  int64_t reported_running; /* requests, by its latest load report */
  int64_t reported_waiting;
  int64_t reported_ms;
  uint32_t reported_in_flight; /* in_flight at that time */
  int64_t work_percent; /* how long work takes there, by that report, 100: as
                           usual; 0 if it does not tell */
  struct pool_speed speed;
  /* Requests per 1,000 s that it takes from all hosts together; negative if
     it has no limit.  While it has one, each request needs a permit
     (request/endpoint_limiter.h). */
  int64_t limit_milli;
  /* While it is cold, the limit that it names itself; limit_milli is then the
     lower one of this and of what it tolerates
     (request/cold_endpoint.h). */
  int64_t named_limit_milli;
  struct cold_state cold;
  bool is_cold;
  bool has_cold_news;      /* from the registry, for the endpoint's holder */
  int64_t cold_since_ms;   /* permits of before are void */
  bool is_evacuated;       /* its data centre is; it gets no requests */
  int64_t returned_ms;     /* when the last evacuation ended; 0 for none */
  int64_t limit_heard_ms;  /* when this host last heard of the limit */
  int64_t permit_after_ms; /* before, no permit can be had */
  int64_t holder_silent_until_ms; /* before, the spare holder is asked */
  int64_t heard_ms;          /* when its latest bytes were reported as heard */
  int64_t last_heard_ms;     /* when its latest bytes arrived; 0 for never */
  struct path_detector path; /* from this host */
  uint32_t direct;           /* of in_flight, those that this host sent */
  int64_t direct_since_ms;   /* since when there are any */
  /* Of requests that other hosts sent for this one; as failures and
     avoid_until_ms are of those that it sent. */
  uint32_t relay_failures;
  int64_t relay_avoid_until_ms;
  uint32_t failures; /* consecutive */
  /* Gets no requests before, unless no other endpoint is available. */
  int64_t avoid_until_ms;
  /* The POOL_MAX_SUSPECTS newest; NULL before the first one. */
  struct pool_suspect *suspects;
  uint32_t suspect_count;
  int64_t interrupted_ms; /* latest interruption of a request */
  int64_t refused_ms;     /* first refused connection since a request was
                             interrupted there; 0 for none */
  GHashTable *parts;      /* set of struct tracked_part, by its id */
  uint32_t *part_count;   /* of all endpoints together; owned by the pool */
};

/* An endpoint that crashed, and the requests that were running there. */
struct pool_crash
{
  char *id;
  uint64_t endpoint; /* hash of the id */
  struct pool_suspect suspects[POOL_MAX_SUSPECTS];
  uint32_t suspect_count;
  int64_t refused_ms;
};

struct pool;

/* A request for which an endpoint is selected. */
struct pool_query
{
  const char *service;
  const struct prompt_part *parts;
  size_t part_count;
  int64_t prompt_tokens;
  uint64_t program;     /* hash of its id; 0 for none */
  uint64_t build;       /* that the endpoint must have; 0 for any */
  bool is_unlimited;    /* only endpoints without a limit */
  bool is_relayed;      /* only endpoints to which this host has no path */
  bool is_unrepeatable; /* lost if the endpoint fails */
};

/* Why an endpoint is not eligible for a query, in the order in which it is
   looked at. */
enum pool_obstacle
{
  POOL_ELIGIBLE,
  POOL_OTHER_SERVICE,
  POOL_LEAVING,
  POOL_EVACUATED,
  POOL_OTHER_BUILD,
  POOL_UNREACHABLE, /* its data centre */
  POOL_NO_PATH,     /* none from this host to the endpoint */
  POOL_HAS_PATH,    /* the query is for endpoints without one */
  POOL_AVOIDED,     /* after a failure */
  POOL_LIMITED,     /* the query is for endpoints without a limit */
  POOL_NO_PERMIT,
  POOL_RETURNING, /* left out by chance after an evacuation */
};

/* An endpoint of a query's service, as pool_pick sees it. */
struct pool_candidate
{
  const struct pool_endpoint *endpoint;
  enum pool_obstacle obstacle;
  /* The share of the choices in which it takes part after an evacuation. */
  int64_t return_percent;
  struct speed_figures figures;
  struct place_endpoint place; /* also if it is not eligible */
};

/* What pool_pick would do.  The choice is by chance among the candidates with
   a weight. */
struct pool_preview
{
  struct pool_candidate *candidates;
  size_t count;
  int32_t picked; /* index; negative for none */
  struct place_options options;
};

/* What this host has of a service's endpoints that are listed. */
struct pool_paths
{
  uint32_t listed;
  uint32_t broken; /* no connection can be opened */
};

/* What the endpoints of a service tolerate while they are cold. */
struct pool_cold_rate
{
  const char *service;
  int64_t rate_milli; /* requests per 1,000 s; 0 for any number */
};

void endpoint_list_destroy (struct endpoint_list *list);
struct pool_preview pool_preview (const struct pool *pool,
                                  const struct pool_query *query,
                                  int64_t now_ms);
void pool_preview_release (struct pool_preview *preview);

struct pool *pool_create (const char *data_centre);
void pool_set_seed (struct pool *pool, uint64_t seed);
void pool_destroy (struct pool *pool);
void pool_apply (struct pool *pool, const struct endpoint_list *list,
                 int64_t now_ms);
struct pool_endpoint *
pool_pick (struct pool *pool, const struct pool_query *query, int64_t now_ms);
struct pool_endpoint *pool_pick_least_avoided (const struct pool *pool,
                                               const struct pool_query *query,
                                               int64_t now_ms);
bool pool_lacks_path (const struct pool_endpoint *endpoint, int64_t now_ms);
struct pool_paths pool_count_paths (const struct pool *pool,
                                    const char *service);
struct pool_endpoint *
pool_pick_awaiting_permit (const struct pool *pool,
                           const struct pool_query *query, int64_t now_ms);
int64_t pool_cache_gain_ms (struct pool *pool, const struct pool_query *query,
                            const struct pool_endpoint *endpoint,
                            int64_t now_ms);
int64_t pool_predict_first_event_ms (struct pool *pool,
                                     const struct pool_endpoint *endpoint,
                                     const struct pool_query *query,
                                     int64_t now_ms);
int64_t pool_predict_event_us (struct pool *pool,
                               const struct pool_endpoint *endpoint,
                               const struct pool_query *query, int64_t now_ms);
int64_t pool_running (const struct pool_endpoint *endpoint, int64_t now_ms);
int64_t pool_waiting (const struct pool_endpoint *endpoint, int64_t now_ms);
int64_t pool_work_percent (const struct pool_endpoint *endpoint,
                           int64_t now_ms);
bool pool_has_used_up_limit (const struct pool *pool,
                             const struct pool_query *query, int64_t now_ms);
bool pool_may_overflow (const struct pool *pool,
                        const struct pool_query *query, int64_t now_ms);
bool pool_is_full (const struct pool_endpoint *endpoint, int64_t now_ms);
struct pool_endpoint *pool_find_start (const struct pool *pool,
                                       uint64_t start);
bool pool_has_build (const struct pool *pool, const char *service,
                     uint64_t build);
const char *pool_endpoint_version (const struct pool_endpoint *endpoint);
struct pool_endpoint *pool_find_available (const struct pool *pool,
                                           uint64_t hash);
int64_t pool_cached_tokens (const struct pool_endpoint *endpoint,
                            const struct pool_query *query, int64_t now_ms);
void pool_acquire (struct pool_endpoint *endpoint,
                   const struct pool_query *query, int64_t now_ms);
void pool_release (struct pool *pool, struct pool_endpoint *endpoint);
void pool_begin_direct (struct pool_endpoint *endpoint, int64_t now_ms);
void pool_end_direct (struct pool_endpoint *endpoint);
void pool_record_load (struct pool_endpoint *endpoint, int64_t running,
                       int64_t waiting, int64_t now_ms);
void pool_record_work_percent (struct pool_endpoint *endpoint,
                               int64_t work_percent);
bool pool_record_leaving (struct pool *pool, struct pool_endpoint *endpoint,
                          int64_t now_ms);
const struct pool_endpoint *pool_record_replaced (struct pool *pool,
                                                  uint64_t id,
                                                  int64_t started_ms,
                                                  int64_t now_ms);
void pool_record_success (struct pool_endpoint *endpoint);
void pool_record_failure (struct pool_endpoint *endpoint, int64_t now_ms);
void pool_record_relay_success (struct pool_endpoint *endpoint);
void pool_record_relay_failure (struct pool_endpoint *endpoint,
                                int64_t now_ms);
void pool_set_reachable (struct pool *pool, const char *data_centre,
                         bool reachable);
void pool_record_interrupted (struct pool_endpoint *endpoint,
                              uint64_t fingerprint, int64_t now_ms);
void pool_record_connection_refused (struct pool_endpoint *endpoint,
                                     int64_t now_ms);
struct pool_crash *pool_take_crash (struct pool *pool, int64_t now_ms);
void pool_crash_destroy (struct pool_crash *crash);
bool pool_has_suspects (const struct pool_endpoint *endpoint, int64_t now_ms);
void pool_clear_suspects (struct pool_endpoint *endpoint);
uint64_t pool_build_of (const char *service, const char *version);
size_t pool_count (const struct pool *pool);
struct pool_endpoint *pool_at (const struct pool *pool, size_t index);
void pool_expire_prompt_parts (struct pool *pool, int64_t now_ms);
void pool_forget_prompt_parts (struct pool *pool);
uint32_t pool_part_count (const struct pool *pool);
void pool_set_cold_rates (struct pool *pool,
                          const struct pool_cold_rate *rates, size_t count,
                          int64_t now_ms);
void pool_set_evacuated (struct pool *pool, const struct strings *data_centres,
                         int64_t now_ms);
bool pool_has_evacuated (const struct pool *pool,
                         const struct pool_query *query);
json_t *pool_to_json (const struct pool *pool);

#endif
