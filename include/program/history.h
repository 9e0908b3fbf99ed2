/* The records of a program and the hash chain that links its turns.  The
   history hash of a branch starts as its seed, and each turn hashes its
   messages and its answer into it. */
#ifndef GALENA_PROGRAM_HISTORY_H
#define GALENA_PROGRAM_HISTORY_H

#include "common/buf.h"
#include "policy/turn.h"
#include "program/history.pb-c.h"

/* The records of one program in the order in which they were fetched. */
struct history
{
  History__Record **records;
  size_t count;
};

void history_add (struct history *history, const void *data, size_t len);
void history_release (struct history *history);
const History__Open *history_open_record (const struct history *history);
bool history_is_closed (const struct history *history);
bool history_restore_branch (const struct history *history,
                             const struct cursor *cursor,
                             uint64_t request_hash, struct branch *branch,
                             struct buf *messages, const History__Turn **last);
const History__Branch *history_branch_record (const struct history *history,
                                              uint32_t branch, uint64_t seed);
void history_append_messages (struct buf *messages, const void *data,
                              size_t len);
void history_append_turn (struct buf *messages, const History__Turn *turn);
uint64_t history_branch_seed (uint32_t branch, uint64_t parent_hash);
uint64_t history_turn_hash (uint64_t before, const void *messages,
                            size_t messages_len, const void *answer,
                            size_t answer_len);

#endif
