/* The control thread: configuration, host list, slots, operators. */
#ifndef GALENA_GALENASHORED_CONTROL_H
#define GALENA_GALENASHORED_CONTROL_H

#include "galenashored/settings.h"

/* Runs until the process is told to stop.  Returns the exit status. */
int control_run (struct settings *settings);

#endif
