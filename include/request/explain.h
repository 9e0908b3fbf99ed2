/* Where a request would go now, and why, without sending it: asks the
   decisions of the pipeline for what they would do.  Changes nothing. */
#ifndef GALENA_REQUEST_EXPLAIN_H
#define GALENA_REQUEST_EXPLAIN_H

#include "conversation/client.h"
#include "request/admission_step.h"
#include "request/limits.h"
#include "request/pool.h"
#include "request/relay_client.h"
#include "request/routing.h"
#include <jansson.h>

/* What the pipeline decides by.  Nothing is owned. */
struct explain_sources
{
  const struct routing *routing; /* NULL before the first configuration */
  const struct pool *pool;
  const struct limits *limits;               /* may be NULL */
  const struct admission_step *admission;    /* NULL to admit all */
  const struct relay_client *relays;         /* may be NULL */
  const struct conversations *conversations; /* may be NULL */
};

/* A request that is not sent.  Strings may be NULL but for host and path. */
struct explain_query
{
  const char *method;
  const char *host;
  const char *path;
  const char *customer; /* name */
  const char *program;
  const char *previous; /* turn that it continues */
  const char *version;  /* of the endpoint that began its stream */
  const struct prompt_part *parts;
  size_t part_count;
  int64_t prompt_tokens;
  int64_t deadline_ms; /* negative for none, as the next */
  int64_t program_deadline_ms;
  bool begins_program;
  bool resumes;
};

json_t *explain_request (const struct explain_sources *sources,
                         const struct explain_query *query, int64_t now_ms);
const char *explain_obstacle (enum pool_obstacle obstacle);

#endif
