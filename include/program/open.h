/* Opens programs: creates, journals and replicates them. */
#ifndef GALENA_PROGRAM_OPEN_H
#define GALENA_PROGRAM_OPEN_H

#include "caller/api.h"
#include "program/program.h"

/* PROGRAM is NULL on failure, with the reason in ERROR.  The handler answers
   the request. */
typedef void program_opened_handler (struct api_request *request,
                                     struct program *program,
                                     const struct error *error);

void program_open (struct api_request *request,
                   program_opened_handler *handle);

#endif
