/* Control thread: configuration, host list, slots, operator requests. */
#ifndef GALENA_GALENASHORED_CONTROL_H
#define GALENA_GALENASHORED_CONTROL_H

#include "galenashored/settings.h"

/* Runs until a graceful shutdown.  Returns the exit status. */
int control_run (struct settings *settings);

#endif
