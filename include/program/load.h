/* Loads programs into memory: the history from the replicas, the budget from
   the journals of the previous owners. */
#ifndef GALENA_PROGRAM_LOAD_H
#define GALENA_PROGRAM_LOAD_H

#include "program/call.h"

void load_start (struct call *call);
bool load_in_progress (const struct programs *programs, const char *id);
void load_cancel_all (struct programs *programs);

#endif
