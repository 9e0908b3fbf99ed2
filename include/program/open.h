/* Opens programs: memory, journal and copies. */
#ifndef GALENA_PROGRAM_OPEN_H
#define GALENA_PROGRAM_OPEN_H

#include "caller/api.h"
#include "program/program.h"

/* PROGRAM is NULL where ERROR tells why; the request has not been answered. */
typedef void program_opened_handler (struct api_request *request,
                                     struct program *program,
                                     const struct error *error);

void program_open (struct api_request *request,
                   program_opened_handler *handle);

#endif
