/* Decides what happens to a call, from its cursor and the branch's state.

   A branch has one call in flight, and its turns only grow.  Each time a
   process loads a program it takes a fresh incarnation, so a cursor of an
   earlier load is foreign to it, even where the process is the same.  */
#ifndef GALENA_POLICY_TURN_H
#define GALENA_POLICY_TURN_H

#include "policy/cursor.h"

enum turn_verdict
{
  TURN_RUN,      /* dispatch it */
  TURN_RESOLVE,  /* not idempotent, and its cursor is foreign: ask the journal
                  */
  TURN_JOIN,     /* the same call is in flight: share its answer */
  TURN_REPLAY,   /* the same call has finished: give its answer again */
  TURN_DOUBTFUL, /* the same call was closed without a known outcome */
  TURN_BUSY,     /* another call is in flight on the branch */
  TURN_STALE,    /* a later turn has been taken already */
  TURN_MISMATCH, /* the turn was taken by a different call */
  TURN_RELOAD,   /* the cursor follows a history that is not in memory */
};

struct branch
{
  uint32_t next_turn;
  uint64_t history_hash;
  bool in_flight;
  uint64_t in_flight_request;
  bool has_last;
  bool last_doubtful;
  uint64_t last_request;
  uint64_t last_history_hash; /* before the last turn */
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
