/* What other hosts have told this one of the tokens that they granted.

   The holder of a customer's share counts its grants in memory only.  It tells
   them to a few witnesses, so that the next holder, or the same one after a
   restart, knows what has been granted.  A witness that has begun lately says
   for how long it has known everything.  */
#ifndef GALENA_REQUEST_GRANT_WITNESS_H
#define GALENA_REQUEST_GRANT_WITNESS_H

#include "peer/peer.pb-c.h"
#include <stdbool.h>
#include <stdint.h>

struct grant_witness;

struct grant_witness *grant_witness_create (int64_t window_ms, int64_t now_ms);
void grant_witness_destroy (struct grant_witness *witness);
/* Whether this host is a witness of SHARE. */
typedef bool grant_witness_filter (void *data, uint64_t share);

void grant_witness_change_hosts (struct grant_witness *witness,
                                 grant_witness_filter *is_witness, void *data,
                                 int64_t now_ms);
void grant_witness_record (struct grant_witness *witness, uint64_t share,
                           int64_t tokens, int64_t now_ms);
void grant_witness_tell (struct grant_witness *witness, uint64_t share,
                         int64_t now_ms,
                         void (*send) (void *data, const Peer__Frame *frame),
                         void *data);

#endif
