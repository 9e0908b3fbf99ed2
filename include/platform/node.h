/* Control thread of the daemon in platform mode (--on-platform).

   In this mode the daemon is one host of the users' platform: it takes its
   configuration from the platform's store.  An entry host forwards callers'
   requests to endpoints; a keeper stores the ledger of program budgets.
   Names that begin with node_ belong to this mode.  The control thread of the
   other mode, which schedules agent programs, is in galenashored/control.h. */
#ifndef GALENA_PLATFORM_NODE_H
#define GALENA_PLATFORM_NODE_H

#include "platform/settings.h"

/* Runs until a stop signal.  Returns the exit status. */
int node_run (struct platform_settings *settings, const char *path);

#endif
