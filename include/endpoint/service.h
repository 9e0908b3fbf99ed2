/* Calls to services and tools, with retries. */
#ifndef GALENA_ENDPOINT_SERVICE_H
#define GALENA_ENDPOINT_SERVICE_H

#include "common/error.h"
#include "endpoint/dispatcher.h"

struct service_call;

struct service_options
{
  const char *route; /* the service to call */
  const char *method;
  const char *subpath; /* appended to the endpoint's URL; may be empty */
  const char *content_type;
  const char *request_id; /* the same for each attempt */
  const void *body;
  size_t body_len;
  bool idempotent;    /* may be sent again after it may have run */
  int64_t timeout_ms; /* of one attempt */
  void (*handle_response) (void *data, long status, const struct buf *body);
  void (*handle_failed) (void *data, const struct error *error);
  void *data;
};

struct service_call *
service_call_start (struct server *server,
                    const struct service_options *options);
void service_call_cancel (struct service_call *call);

#endif
