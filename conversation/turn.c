#include "conversation/turn.h"
#include "common/id.h"
#include <string.h>

/* Returns a key of the turn with the id TURN.  CUSTOMER is the hash of the
   name of the customer whose turn it is.  */
uint64_t
turn_hash (uint64_t customer, const char *turn)
{
  return id_hash64 (turn, strlen (turn), customer);
}

/* Returns the group of a turn that begins a chain.  Turns of one program are
   in one group; PROGRAM may be NULL.  */
uint64_t
turn_group (uint64_t customer, const char *program, const char *turn)
{
  uint64_t group = program ? id_hash64 (program, strlen (program), customer)
                           : turn_hash (customer, turn);

  return group ? group : 1;
}

/* Adds the keeper NAME to DIGEST, initially 0, of a list of keepers in any
   order.  */
uint64_t
turn_keepers_digest (uint64_t digest, const char *name)
{
  return digest + id_hash_text (name);
}

/* Returns the number of keepers that must have a turn on disk before its
   response may end, so that it survives the loss of LOSSES keepers.  */
uint32_t
turn_copies_wanted (uint32_t losses)
{
  return losses + 1;
}
