/* The request pipeline: authentication, routing, rate limit, token budget,
   endpoint selection and response.  Front ends submit requests and receive the
   response through a sink.  */
#ifndef GALENA_REQUEST_REQUEST_H
#define GALENA_REQUEST_REQUEST_H

#include "common/buf.h"
#include "common/buffer_budget.h"
#include "common/error.h"
#include "common/fetch.h"
#include "conversation/client.h"
#include "ledger/ledger.h"
#include "policy/admission.h"
#include "request/crash_notices.h"
#include "request/endpoint_limiter.h"
#include "request/limits.h"
#include "request/path_monitor.h"
#include "request/pool.h"
#include "request/relay_client.h"
#include "request/response.h"
#include "request/routing.h"
#include "request/stream_index.h"
#include <ev.h>
#include <glib.h>

struct request;
struct pipeline;

/* A caller's request.  Numbers are negative if the caller did not set them. */
struct request_input
{
  char *id; /* of the caller's attempt; may be NULL */
  char *method;
  char *target; /* from the request line, including the query */
  char *path;
  char *host;
  char *key;                   /* API key; may be NULL */
  char *program;               /* id; may be NULL */
  int64_t deadline_ms;         /* how long the caller waits for the response */
  int64_t program_deadline_ms; /* how long the program has left; 0 or less if
                                  it is not stated */
  int64_t token_budget;        /* of the whole program */
  int64_t prompt_tokens;
  int64_t max_output_tokens;
  int64_t resume_after; /* id of the last event that the caller received */
  char *previous;   /* id of the turn that this one continues; may be NULL */
  char *resumed_id; /* of the attempt that brought the stream's first event;
                       may be NULL */
  struct prompt_part *parts;
  size_t part_count;
  struct header *headers; /* forwarded to the endpoint */
  size_t header_count;
  struct buf body;
};

/* One send of a request to an endpoint. */
struct request_send
{
  const struct request_input *input;
  const char *customer; /* NULL on open routes */
  const char *endpoint; /* id */
  int64_t remaining_ms;
  int64_t resume_after; /* id of an event; negative for none */
  int32_t priority;     /* 0 is the most urgent */
};

/* Encodes and decodes the HTTP headers exchanged with endpoints. write_headers
   appends lines "Name: value", which its caller frees; read_header stores one
   header of a response in HEAD. */
struct request_wire
{
  void (*write_headers) (const struct request_send *send, GPtrArray *lines);
  void (*read_header) (struct response_head *head, const char *name,
                       const char *value);
};

/* Called when a request seems to have crashed an endpoint.  CRASHES is the
   number of crashes with this fingerprint, as far as this host knows. */
typedef void pipeline_crash_handler (void *data, uint64_t fingerprint,
                                     uint32_t crashes, const char *endpoint);

/* Called when bytes have arrived from an endpoint in a data centre. */
typedef void pipeline_heard_handler (void *data, const char *data_centre,
                                     int64_t now_ms);

struct pipeline_options
{
  struct ev_loop *loop;
  struct fetcher *fetcher;
  struct pool *pool;
  struct limits *limits;
  struct endpoint_limiter *limiter; /* NULL to ignore endpoints' limits */
  struct path_monitor *monitor;     /* may be NULL, as may relays */
  struct relay_client *relays; /* NULL to send all requests from this host */
  struct ledger *ledger;
  struct stream_index *streams; /* may be NULL */
  /* NULL to refuse requests on routes that keep turns. */
  struct conversations *conversations;
  /* Of what is held for callers; may be NULL. */
  const struct buffer_budget *buffers;
  bool admits_programs; /* decides by load whether a program may begin */
  const struct request_wire *wire;
  struct crash_notices *crashes; /* NULL: this host is alone with what it
                                    knows */
  pipeline_crash_handler *handle_crash; /* may be NULL */
  pipeline_heard_handler *handle_heard; /* may be NULL */
  void *data;
};

struct pipeline *pipeline_create (const struct pipeline_options *options);
void pipeline_destroy (struct pipeline *pipeline);
void pipeline_apply (struct pipeline *pipeline, struct routing *routing);
void pipeline_tick (struct pipeline *pipeline, int64_t now_ms);
void pipeline_fail_over (struct pipeline *pipeline, const char *data_centre);
void pipeline_fail_path (struct pipeline *pipeline,
                         const struct pool_endpoint *endpoint,
                         int64_t silent_ms);
struct admission *pipeline_admission (const struct pipeline *pipeline);
const struct routing *pipeline_routing (const struct pipeline *pipeline);
const struct admission_step *
pipeline_admission_step (const struct pipeline *pipeline);
void pipeline_abort (struct pipeline *pipeline);
void pipeline_close (struct pipeline *pipeline);
bool pipeline_is_idle (const struct pipeline *pipeline);
uint32_t pipeline_active_requests (const struct pipeline *pipeline);

struct request *request_start (struct pipeline *pipeline,
                               struct request_input *input,
                               struct request_sink *sink);
void request_cancel (struct request *request);
void request_input_destroy (struct request_input *input);

#endif
