/* What the control thread and the traffic thread of a platform host tell each
   other. */
#ifndef GALENA_PLATFORM_MESSAGES_H
#define GALENA_PLATFORM_MESSAGES_H

#include "common/buf.h"
#include "request/pool.h"
#include "request/routing.h"
#include <stdbool.h>
#include <stddef.h>

/* A host of the system. */
struct host_entry
{
  char *name;
  char *address; /* "IP:port" for the other hosts */
  char *data_centre;
  bool is_keeper;
};

struct host_list
{
  struct host_entry *entries;
  size_t count;
};

enum node_message_kind
{
  NODE_ROUTING,   /* take this configuration over */
  NODE_ENDPOINTS, /* take these endpoints over */
  NODE_HOSTS,     /* take these hosts over */
  NODE_STOP,      /* begin the planned stop */
  NODE_HAND_OVER, /* give the ledger to the other keepers */
  NODE_SEND,      /* send a frame to a host */
  NODE_QUIT,      /* leave the loop */
};

/* Made by control, freed by traffic with what it holds. */
struct node_message
{
  enum node_message_kind kind;
  struct routing *routing;
  struct endpoint_list *endpoints;
  struct host_list *hosts;
  char *host;       /* that the frame goes to; owned */
  struct buf frame; /* packed */
};

enum node_event
{
  NODE_DRAINED, /* nothing is under way any more */
  NODE_HANDED_OVER,
  NODE_HOST_ABSENT, /* a host is gone and can be taken out of the list */
  NODE_FRAME,       /* a frame from a host that concerns control */
};

/* Made by traffic, freed by control. */
struct node_report
{
  enum node_event event;
  char *host;       /* that is absent, or that sent the frame; owned */
  struct buf frame; /* packed */
};

void host_list_destroy (struct host_list *list);
void node_message_destroy (struct node_message *message);
void node_report_destroy (struct node_report *report);

#endif
