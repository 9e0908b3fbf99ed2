/* What the control thread and the traffic thread tell each other. */
#ifndef GALENA_GALENASHORED_MESSAGES_H
#define GALENA_GALENASHORED_MESSAGES_H

#include "common/buf.h"
#include "config/config.h"
#include <stdbool.h>
#include <stdint.h>

enum traffic_kind
{
  TRAFFIC_CONFIG, /* take this configuration over */
  TRAFFIC_STOP,   /* begin the planned stop */
  TRAFFIC_QUIT,   /* leave the loop */
  TRAFFIC_DUMP,   /* answer with the state */
  TRAFFIC_CANCEL, /* end a program */
  TRAFFIC_BLOCK,  /* cut a host off, for tests */
  TRAFFIC_SEND,   /* send a frame to a host */
};

/* Made by control, freed by traffic. */
struct traffic_message
{
  enum traffic_kind kind;
  struct config *config; /* owned */
  uint64_t config_revision;
  uint64_t sequence; /* of a configuration or a question */
  bool with_programs;
  bool blocked;
  char *name;       /* of a host or a program; owned */
  struct buf frame; /* packed Peer__Frame; owned */
};

enum control_kind
{
  CONTROL_APPLIED, /* a configuration is in force in traffic */
  CONTROL_DUMPED,
  CONTROL_CANCELLED,
  CONTROL_FRAME,   /* a frame from a host that concerns control */
  CONTROL_DRAINED, /* nothing is under way any more */
};

/* Made by traffic, freed by control. */
struct control_message
{
  enum control_kind kind;
  uint64_t sequence;
  bool found;
  char *name;       /* of the host that sent the frame; owned */
  char *text;       /* JSON; owned */
  struct buf frame; /* packed Peer__Frame; owned */
};

void traffic_message_destroy (struct traffic_message *message);
void control_message_destroy (struct control_message *message);

#endif
