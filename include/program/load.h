/* Loads programs into memory from their replicas and the journals. */
#ifndef GALENA_PROGRAM_LOAD_H
#define GALENA_PROGRAM_LOAD_H

#include "program/call.h"

void load_start (struct call *call);
bool load_in_progress (const struct programs *programs, const char *id);
void load_cancel_all (struct programs *programs);

#endif
