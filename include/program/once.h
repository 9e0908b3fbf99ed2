/* At-most-once execution of non-idempotent requests outside programs.  Their
   Idempotency-Key is recorded in the platform before they are sent. */
#ifndef GALENA_PROGRAM_ONCE_H
#define GALENA_PROGRAM_ONCE_H

#include "caller/api.h"
#include "program/call.h"

struct once;

struct once *once_create (struct server *server);
void once_destroy (struct once *once);
void once_submit (struct once *once, struct api_request *request,
                  struct call_spec *spec);
bool once_is_idle (const struct once *once);

#endif
