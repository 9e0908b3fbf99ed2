/* Queues model calls, selects an engine for each and retries failed attempts.
   Calls of different customers are scheduled by weighted fair queueing. */
#ifndef GALENA_ENDPOINT_DISPATCHER_H
#define GALENA_ENDPOINT_DISPATCHER_H

#include "common/error.h"
#include "endpoint/endpoint.h"
#include "endpoint/engine.h"
#include "policy/fair.h"
#include "policy/retry.h"
#include <ev.h>

struct server;
struct dispatcher;

struct job;

struct job_handlers
{
  /* Appends the request body for an attempt that continues after the tokens
     received so far. */
  void (*build_body) (void *data, struct buf *body);
  /* Returns false to stop the call and treat it as finished, for example when
     its token limit is reached. */
  bool (*handle_token) (void *data, const char *text, size_t len);
  void (*handle_done) (void *data, const struct engine_usage *usage);
  void (*handle_failed) (void *data, const struct error *error);
  void *data;
};

/* A model call.  The submitter owns it; the dispatcher uses it from
   dispatcher_submit until handle_done, handle_failed or dispatcher_cancel. */
struct job
{
  struct fair_item fair;
  char *model;
  char *customer;
  uint64_t program; /* hash of the program id; its calls prefer the engine that
                       has its prompt cached */
  uint64_t fingerprint;  /* hash of the request's contents; identifies requests
                            that crash endpoints */
  int64_t prompt_tokens; /* estimated */
  struct job_handlers handlers;
  /* The members below are private to the dispatcher. */
  struct dispatcher *dispatcher;
  struct model_queue *queue;
  struct endpoint *endpoint; /* that the attempt occupies; NULL for none */
  struct engine_attempt *attempt;
  ev_timer backoff;
  struct fetch *probe; /* checks whether the endpoint has crashed */
  uint32_t attempts;   /* started so far */
  char *served_by;     /* name of the endpoint that completed the call */
  char *last_failed;   /* endpoint that failed last; avoided on a retry */
  bool isolated;   /* a retry of a request suspected of crashing endpoints */
  bool stopped;    /* handle_token returned false */
  uint64_t tokens; /* received, over all attempts */
  int64_t started_ms; /* start of the latest attempt */
};

struct dispatcher *dispatcher_create (struct server *server);
void dispatcher_destroy (struct dispatcher *dispatcher);
void dispatcher_apply (struct dispatcher *dispatcher,
                       const struct config *config);
void dispatcher_submit (struct dispatcher *dispatcher, struct job *job);
void dispatcher_cancel (struct job *job);
void dispatcher_tick (struct dispatcher *dispatcher, int64_t now_ms);
void dispatcher_record_remote_crash (struct dispatcher *dispatcher,
                                     const char *name, uint64_t fingerprint,
                                     uint32_t crashes);
struct endpoint_table *dispatcher_endpoints (struct dispatcher *dispatcher);
json_t *dispatcher_to_json (struct dispatcher *dispatcher, int64_t now_ms);

#endif
