/* Finds programs that are not in this process's memory. */
#ifndef GALENA_CALLER_LOOKUP_H
#define GALENA_CALLER_LOOKUP_H

#include "caller/api.h"
#include "program/history.h"

/* HISTORY is NULL where ERROR tells why. */
typedef void lookup_handler (struct api_request *request,
                             const struct history *history,
                             const struct error *error);

void lookup_program (struct api_request *request, lookup_handler *handle);

#endif
