/* A host on the users' platform: its control thread. */
#ifndef GALENA_PLATFORM_NODE_H
#define GALENA_PLATFORM_NODE_H

#include "platform/settings.h"

/* Runs until the process is told to stop.  Returns the exit status. */
int node_run (struct platform_settings *settings, const char *path);

#endif
