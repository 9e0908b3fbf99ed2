#include "policy/turn.h"

/* Decides on a call of the turn before the next one.  */
static enum turn_verdict
decide_last (const struct branch *branch, const struct cursor *cursor,
             uint64_t request_hash)
{
  if (cursor->history_hash != branch->last_history_hash)
    return TURN_RELOAD;
  if (branch->last_request != request_hash)
    return TURN_MISMATCH;
  return branch->last_doubtful ? TURN_OUTCOME_UNKNOWN : TURN_REPLAY;
}

/* Decides on a call of the next turn, which may be in flight.  */
static enum turn_verdict
decide_next (const struct branch *branch, const struct cursor *cursor,
             uint64_t incarnation, bool idempotent, uint64_t request_hash)
{
  if (cursor->history_hash != branch->history_hash)
    return TURN_RELOAD;
  if (branch->in_flight)
    return branch->in_flight_request == request_hash ? TURN_JOIN : TURN_BUSY;
  if (!idempotent && cursor->incarnation != incarnation)
    return TURN_RESOLVE;
  return TURN_RUN;
}

/* Decides how to handle a call with CURSOR.  INCARNATION is that of the
   program as loaded in this process.  Calls with the same REQUEST_HASH are
   retries of one call.  */
enum turn_verdict
turn_decide (const struct branch *branch, const struct cursor *cursor,
             uint64_t incarnation, bool idempotent, uint64_t request_hash)
{
  if (cursor->turn > branch->next_turn)
    return TURN_RELOAD;
  if (cursor->turn == branch->next_turn)
    return decide_next (branch, cursor, incarnation, idempotent, request_hash);
  if (cursor->turn + 1 == branch->next_turn && branch->has_last)
    return decide_last (branch, cursor, request_hash);
  return cursor->incarnation == incarnation ? TURN_STALE : TURN_RELOAD;
}

/* Marks a call as in flight after turn_decide has returned TURN_RUN.  */
void
turn_begin (struct branch *branch, uint64_t request_hash)
{
  branch->in_flight = true;
  branch->in_flight_request = request_hash;
}

/* Moves the branch to its next turn, after the call REQUEST_HASH.  */
static void
advance (struct branch *branch, uint64_t request_hash, uint64_t history_hash,
         bool doubtful)
{
  branch->in_flight = false;
  branch->has_last = true;
  branch->last_doubtful = doubtful;
  branch->last_request = request_hash;
  branch->last_history_hash = branch->history_hash;
  branch->history_hash = history_hash;
  branch->next_turn++;
}

/* Finishes the call in flight; the history now has hash HISTORY_HASH.  */
void
turn_finish (struct branch *branch, uint64_t history_hash)
{
  advance (branch, branch->in_flight_request, history_hash, false);
}

/* Ends a failed call, which may be retried with the same cursor.  */
void
turn_fail (struct branch *branch)
{
  branch->in_flight = false;
}

/* Closes the turn with unknown outcome: no call can run with its cursor any
   more, and the history does not change.  */
void
turn_close (struct branch *branch, uint64_t request_hash)
{
  advance (branch, request_hash, branch->history_hash, true);
}
