/* Decides how to handle the call of a turn, from its cursor and the state of
   its branch.

   A branch has at most one call in flight, and its turn numbers only grow.  A
   process takes a new incarnation each time it loads a program, so cursors of
   an earlier load are foreign to it, even if the same process issued them.  */
#ifndef GALENA_POLICY_TURN_H
#define GALENA_POLICY_TURN_H

#include "policy/cursor.h"

enum turn_verdict
{
  TURN_RUN,     /* dispatch it */
  TURN_RESOLVE, /* not idempotent and foreign cursor: ask the journal */
  TURN_JOIN,    /* the same call is in flight: share its response */
  TURN_REPLAY,  /* the same call has finished: repeat its response */
  TURN_OUTCOME_UNKNOWN, /* the same call was closed with unknown outcome */
  TURN_BUSY,            /* another call is in flight on the branch */
  TURN_STALE,           /* the branch is past this turn */
  TURN_MISMATCH,        /* the finished turn was of a different call */
  TURN_RELOAD,          /* the history of the cursor is not in memory */
};

/* The state of a branch of a program in its owner's memory. */
struct branch
{
  uint32_t next_turn;
  uint64_t history_hash; /* over all turns before next_turn */
  bool in_flight;
  uint64_t in_flight_request; /* request hash of the call in flight */
  bool has_last;      /* the fields below describe the turn before next_turn */
  bool last_doubtful; /* it was closed with unknown outcome */
  uint64_t last_request;      /* request hash of its call */
  uint64_t last_history_hash; /* before it */
};

enum turn_verdict turn_decide (const struct branch *branch,
                               const struct cursor *cursor,
                               uint64_t incarnation, bool idempotent,
                               uint64_t request_hash);
void turn_begin (struct branch *branch, uint64_t request_hash);
void turn_finish (struct branch *branch, uint64_t history_hash);
void turn_fail (struct branch *branch);
void turn_close (struct branch *branch, uint64_t request_hash);

#endif
