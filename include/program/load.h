/* Loads programs into memory from their replicas and the journals. */
#ifndef GALENA_PROGRAM_LOAD_H
#define GALENA_PROGRAM_LOAD_H

#include "program/call.h"

void load_start (struct call *call);
bool load_is_under_way (const struct programs *programs, const char *id);
void load_drop_all (struct programs *programs);

#endif
