/* Brings a program into memory from its copies and the journals. */
#ifndef GALENA_PROGRAM_LOAD_H
#define GALENA_PROGRAM_LOAD_H

#include "program/call.h"

void load_start (struct call *call);
void load_drop_all (struct programs *programs);

#endif
