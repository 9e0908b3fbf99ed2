/* At-most-once execution of non-idempotent requests to services, for requests
   that do not belong to a program.  A record named after the Idempotency-Key
   is created in the platform before the request is sent. */
#ifndef GALENA_PROGRAM_IDEMPOTENCY_H
#define GALENA_PROGRAM_IDEMPOTENCY_H

#include "caller/api.h"
#include "program/call.h"

struct idempotency;

struct idempotency *idempotency_create (struct server *server);
void idempotency_destroy (struct idempotency *idempotency);
void idempotency_submit (struct idempotency *idempotency,
                         struct api_request *request, struct call_spec *spec);
bool idempotency_is_idle (const struct idempotency *idempotency);

#endif
