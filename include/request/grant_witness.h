/* What other hosts have told this one of the tokens that they granted.

   The holder of a customer's share counts its grants in memory only.  It tells
   them to a few witnesses, so that the next holder, or the same one after a
   restart, knows what has been granted.  A witness that has begun lately says
   for how long it has known everything.  One that a frame has not reached does
   not know that: what counts is the most that two of them tell.  */
#ifndef GALENA_REQUEST_GRANT_WITNESS_H
#define GALENA_REQUEST_GRANT_WITNESS_H

#include "peer/peer.pb-c.h"
#include "policy/window.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Hosts that are told what a holder grants, which may be one of them. */
  GRANT_WITNESSES = 3,
};

struct grant_witness;

/* What witnesses have told a new holder.  Initially all zero. */
struct grant_history
{
  uint64_t answered[GRANT_WITNESSES]; /* hashes of their names */
  uint32_t answer_count;
  int64_t told;    /* tokens, by the one that told most */
  GArray *granted; /* struct past_grant, by the same; NULL for none */
};

/* An answer of a witness, which its memory backs. */
struct grant_answer
{
  Peer__LimitHistory history;
  uint32_t ages_ms[WINDOW_STEPS + 1];
  uint32_t tokens[WINDOW_STEPS + 1];
};

struct grant_witness *grant_witness_create (int64_t window_ms, int64_t now_ms);
void grant_witness_destroy (struct grant_witness *witness);

/* Whether this host is a witness of SHARE. */
typedef bool grant_witness_filter (void *data, uint64_t share);

void grant_witness_change_hosts (struct grant_witness *witness,
                                 grant_witness_filter *is_witness, void *data,
                                 int64_t now_ms);
void grant_witness_record (struct grant_witness *witness,
                           const Peer__LimitGranted *granted, int64_t now_ms);
void grant_witness_answer (struct grant_witness *witness, uint64_t share,
                           int64_t now_ms, struct grant_answer *answer);

void grant_history_release (struct grant_history *history);
void grant_history_add (struct grant_history *history, const char *host,
                        const Peer__LimitHistory *told, uint64_t holding,
                        int64_t now_ms);
void grant_history_charge (const struct grant_history *history,
                           struct window *window, int64_t now_ms);

#endif
