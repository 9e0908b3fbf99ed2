/* Traffic thread of the daemon in platform mode: callers and endpoints on an
   entry host, the ledger on a keeper, links to the other hosts on both. */
#ifndef GALENA_PLATFORM_TRAFFIC_H
#define GALENA_PLATFORM_TRAFFIC_H

#include "common/error.h"
#include "common/mailbox.h"
#include "platform/messages.h"
#include "platform/settings.h"

struct node_traffic;

struct node_traffic *
node_traffic_create (const struct platform_settings *settings,
                     struct mailbox *control, struct error *error);
bool node_traffic_start (struct node_traffic *traffic, struct error *error);
bool node_traffic_post (struct node_traffic *traffic,
                        struct node_message *message);
void node_traffic_join (struct node_traffic *traffic);
void node_traffic_destroy (struct node_traffic *traffic);

#endif
