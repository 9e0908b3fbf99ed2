/* Messages between the control thread and the traffic thread. */
#ifndef GALENA_GALENASHORED_MESSAGES_H
#define GALENA_GALENASHORED_MESSAGES_H

#include "common/buf.h"
#include "config/config.h"
#include <stdbool.h>
#include <stdint.h>

enum traffic_kind
{
  TRAFFIC_CONFIG, /* apply this configuration */
  TRAFFIC_STOP,   /* start a graceful shutdown */
  TRAFFIC_QUIT,   /* exit the event loop */
  TRAFFIC_DUMP,   /* reply with the state as JSON */
  TRAFFIC_CANCEL, /* close a program */
  TRAFFIC_BLOCK,  /* block or unblock the link to a host, for tests */
  TRAFFIC_SEND,   /* send a frame to another host */
};

/* From control to traffic.  Created by control, freed by traffic. */
struct traffic_message
{
  enum traffic_kind kind;
  struct config *config; /* owned */
  uint64_t config_revision;
  uint64_t sequence;  /* number of a configuration, or id of a request */
  bool with_programs; /* include programs in the dump */
  bool blocked;       /* block the link, or unblock it */
  char *name;         /* of a host or a program; owned */
  struct buf frame;   /* packed Peer__Frame; owned */
};

enum control_kind
{
  CONTROL_APPLIED,   /* traffic has applied a configuration */
  CONTROL_DUMPED,    /* reply to TRAFFIC_DUMP */
  CONTROL_CANCELLED, /* reply to TRAFFIC_CANCEL */
  CONTROL_FRAME,     /* a frame from a host, for the control thread */
  CONTROL_DRAINED,   /* no open work left */
};

/* From traffic to control.  Created by traffic, freed by control. */
struct control_message
{
  enum control_kind kind;
  uint64_t sequence; /* of the message that this one responds to */
  bool found;        /* the program to cancel exists */
  char *name;        /* of the host that sent the frame; owned */
  char *text;        /* JSON; owned */
  struct buf frame;  /* packed Peer__Frame; owned */
};

void traffic_message_destroy (struct traffic_message *message);
void control_message_destroy (struct control_message *message);

#endif
