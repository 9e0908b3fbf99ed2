/* Looks up the records of programs that are not loaded in this process. */
#ifndef GALENA_CALLER_LOOKUP_H
#define GALENA_CALLER_LOOKUP_H

#include "caller/api.h"
#include "program/history.h"

/* On failure HISTORY is NULL and ERROR has the reason.  The handler must
   respond to REQUEST. */
typedef void lookup_handler (struct api_request *request,
                             const struct history *history,
                             const struct error *error);

void lookup_program (struct api_request *request, lookup_handler *handle);

#endif
