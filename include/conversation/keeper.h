/* Keeper of conversations: stores turns on this host's disk, gives hosts the
   text of a chain of turns, and brings groups of turns to the keepers that
   should have them.

   A keeper that acknowledges a turn has on disk all that is needed to build
   the text of the chain up to and including that turn.  */
#ifndef GALENA_CONVERSATION_KEEPER_H
#define GALENA_CONVERSATION_KEEPER_H

#include "peer/host.h"
#include "peer/transport.h"
#include "store/store.h"
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct conversation_keeper;

struct conversation_keeper_options
{
  struct transport *transport;
  struct store *store; /* of its own; the keeper destroys it */
  const char *host;
  const char *data_centre;
  uint32_t losses;  /* of keepers, that a turn survives */
  bool first_start; /* of the whole system: an empty disk is expected */
  size_t content_bytes_max; /* of turns in memory; 0 for the default */
  uint32_t turns_max;       /* in the index; 0 for the default */
  uint64_t disk_bytes_max;  /* of the store; 0: until the disk is full */
};

struct conversation_keeper *
conversation_keeper_create (const struct conversation_keeper_options *options);
void conversation_keeper_destroy (struct conversation_keeper *keeper);
void conversation_keeper_set_others (struct conversation_keeper *keeper,
                                     const struct host_location *others,
                                     size_t count);
void conversation_keeper_handle_frame (struct conversation_keeper *keeper,
                                       const char *host,
                                       const Peer__Frame *frame);
void conversation_keeper_tick (struct conversation_keeper *keeper,
                               int64_t now_ms);
bool conversation_keeper_hand_over (struct conversation_keeper *keeper,
                                    int64_t now_ms);
bool conversation_keeper_leave (struct conversation_keeper *keeper,
                                int64_t now_ms);
json_t *conversation_keeper_to_json (const struct conversation_keeper *keeper);

#endif
