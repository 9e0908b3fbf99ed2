/* A request pipeline on raw endpoints, with a caller that records what it
   gets. */
#ifndef GALENA_TEST_LOCAL_PIPELINE_H
#define GALENA_TEST_LOCAL_PIPELINE_H

#include "raw_endpoint.h"
#include "request/relay_server.h"
#include "request/request.h"

/* How a request ended. */
enum local_outcome
{
  LOCAL_PENDING,
  LOCAL_ENDED,     /* a stream, marked as complete */
  LOCAL_ABORTED,   /* a stream, marked as incomplete */
  LOCAL_RESPONDED, /* a complete response in one piece */
  LOCAL_REFUSED,
};

/* What the caller got. */
struct local_response
{
  enum local_outcome outcome;
  long status;
  struct buf body;
  struct error error; /* of a refusal */
};

enum
{
  LOCAL_MAX_ENDPOINTS = 8,
  LOCAL_MAX_HOSTS = 8,
};

/* An endpoint of the pipeline's only service. */
struct local_endpoint
{
  const char *id;
  const char *version; /* NULL for none */
  int64_t started_ms;
  bool is_gone;  /* not listed */
  uint16_t port; /* through which this host reaches it; 0 for directly */
};

/* The only route; see struct route. */
struct local_route
{
  const char *host; /* NULL for "h" */
  enum route_retry_mode retry_mode;
  bool resumable;
  int64_t timeout_ms;
  uint32_t max_attempts;
  bool retained;
};

struct local_pipeline_options
{
  struct local_route route;
  raw_answer_handler *answer;
  void *data;
  uint32_t endpoint_count;             /* 0 for one */
  const char *const *versions;         /* of the endpoints; NULL for none */
  struct conversations *conversations; /* may be NULL */
  struct ledger *ledger;               /* of budgets; may be NULL */
  int64_t window_ms;                   /* of rate limits */
  struct crash_notices *crashes;       /* may be NULL */
  /* This host recorded that the first endpoint began the stream that further
     requests may resume. */
  bool knows_origin;
  const char *host; /* name of this host; NULL for "x" */
  /* Is a host of the same fleet as this pipeline, with its loop and endpoints,
     and destroyed before it; NULL for a fleet of its own. */
  struct local_pipeline *shared;
};

/* Delivers frames to the other hosts of the fleet a little later. */
struct local_transport
{
  struct transport base; /* first member */
  struct local_pipeline *local;
  GQueue frames; /* struct local_frame, from other hosts */
  ev_timer delivery;
  ev_timer tick;
  bool is_cut; /* frames to and from this host are lost */
  /* Of a build that reads and writes nothing about the connection of a
     relay's response. */
  bool omits_response_origin;
};

struct local_pipeline
{
  const char *host;
  struct local_pipeline *fleet; /* the pipeline that owns the loop */
  struct local_pipeline *hosts[LOCAL_MAX_HOSTS]; /* in the fleet's owner */
  uint32_t host_count;
  struct local_transport transport;
  struct endpoint_limiter *limiter;
  struct path_monitor *monitor;
  struct relay_client *relays;
  struct relay_server *relay_server;
  bool is_old; /* its build does not know relays */
  struct ev_loop *loop;
  struct fetcher *fetcher;
  struct pool *pool;
  struct limits *limits;
  struct stream_index *streams; /* NULL unless it knows a stream's origin */
  struct pipeline *pipeline;
  struct raw_endpoint *endpoints[LOCAL_MAX_ENDPOINTS];
  struct local_endpoint listed[LOCAL_MAX_ENDPOINTS];
  uint32_t endpoint_count;
  struct request_sink sink;
  struct local_response response;
  const char *program;         /* id, of further requests; NULL for none */
  int64_t program_deadline_ms; /* of further requests; 0 for none */
  bool is_started;             /* has had a request */
  struct request *active;      /* NULL once it has ended */
  uint32_t crashes; /* of endpoints, that requests are taken to have caused */
};

struct routing *local_routing_begin (const struct local_route *route);
struct routing *local_routing_create (const struct local_route *route);
struct local_pipeline *
local_pipeline_create (const struct local_pipeline_options *options);
void local_pipeline_destroy (struct local_pipeline *local);
void local_pipeline_list_endpoints (struct local_pipeline *local);
void local_pipeline_use_helper (struct local_pipeline *local);
void local_pipeline_submit (struct local_pipeline *local,
                            struct request_input *input);
void local_pipeline_start (struct local_pipeline *local, int64_t resume_after);
const struct local_response *local_pipeline_run (struct local_pipeline *local);
const struct local_response *
local_pipeline_resume (struct local_pipeline *local, int64_t resume_after);
bool local_response_is_success (const struct local_response *response);

#endif
