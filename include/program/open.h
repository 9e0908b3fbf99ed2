/* Opens programs: creates a program, journals its first budget grant and
   replicates its open record. */
#ifndef GALENA_PROGRAM_OPEN_H
#define GALENA_PROGRAM_OPEN_H

#include "caller/api.h"
#include "program/program.h"

/* On failure PROGRAM is NULL and ERROR has the reason.  The handler must
   respond to REQUEST. */
typedef void program_opened_handler (struct api_request *request,
                                     struct program *program,
                                     const struct error *error);

void program_open (struct api_request *request,
                   program_opened_handler *handle);

#endif
