/* Control thread of a host on the users' platform. */
#ifndef GALENA_PLATFORM_NODE_H
#define GALENA_PLATFORM_NODE_H

#include "platform/settings.h"

/* Runs until a stop signal.  Returns the exit status. */
int node_run (struct platform_settings *settings, const char *path);

#endif
