/* Control thread of the daemon that schedules agent programs: configuration,
   this host's object and slots, operator requests.  The control thread of the
   other mode, --on-platform, is in platform/node.h.  */
#ifndef GALENA_GALENASHORED_CONTROL_H
#define GALENA_GALENASHORED_CONTROL_H

#include "galenashored/settings.h"

/* Runs until a graceful shutdown is complete or its limit is reached.  Returns
   the exit status. */
int control_run (struct settings *settings);

#endif
