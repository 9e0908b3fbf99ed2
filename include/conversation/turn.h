/* Turns of conversations that the system keeps, as hosts and keepers name
   them to each other. */
#ifndef GALENA_CONVERSATION_TURN_H
#define GALENA_CONVERSATION_TURN_H

#include <stdint.h>

/* A keeper's answer to a write.  The values are sent in frames. */
enum turn_write_result
{
  TURN_STORED = 1,         /* the chain up to this turn is on its disk */
  TURN_LACKS_PREVIOUS = 2, /* it needs the text of the chain before */
  TURN_CONFLICT = 3,       /* it has another content under the same id */
  TURN_NO_ROOM = 4,
};

/* A keeper's answer to a read.  The values are sent in frames. */
enum turn_read_result
{
  TURN_FOUND = 1,
  TURN_OTHER_CUSTOMER = 2, /* the turn is another customer's */
  TURN_UNKNOWN = 3,        /* it may have been lost here */
  TURN_UNKNOWN_FOR_CERTAIN = 4,
};

uint64_t turn_hash (uint64_t customer, const char *turn);
uint64_t turn_group (uint64_t customer, const char *program, const char *turn);
uint64_t turn_keepers_digest (uint64_t digest, const char *name);
uint32_t turn_copies_wanted (uint32_t losses);

#endif
