/* Traffic thread of the daemon that schedules agent programs: callers,
   endpoints, links to other hosts, programs. */
#ifndef GALENA_GALENASHORED_TRAFFIC_H
#define GALENA_GALENASHORED_TRAFFIC_H

#include "galenashored/messages.h"
#include "galenashored/server.h"

struct traffic;

struct traffic *traffic_create (const struct settings *settings,
                                uint64_t process, struct mailbox *control,
                                struct error *error);
bool traffic_start (struct traffic *traffic, struct error *error);
void traffic_post (struct traffic *traffic, struct traffic_message *message);
void traffic_join (struct traffic *traffic);
void traffic_destroy (struct traffic *traffic);

#endif
