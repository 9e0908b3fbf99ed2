#include "program/history.h"
#include "common/id.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Adds a packed record.  A record that cannot be unpacked is ignored.  */
void
history_add (struct history *history, const void *data, size_t len)
{
  History__Record *record = history__record__unpack (NULL, len, data);

  if (!record)
    return;
  history->records = xrealloc (
      history->records, (history->count + 1) * sizeof *history->records);
  history->records[history->count++] = record;
}

/* Frees the records and resets HISTORY.  */
void
history_release (struct history *history)
{
  for (size_t i = 0; i < history->count; i++)
    history__record__free_unpacked (history->records[i], NULL);
  free (history->records);
  *history = (struct history){ 0 };
}

/* Returns the program's open record, or NULL.  */
const History__Open *
history_open_record (const struct history *history)
{
  for (size_t i = 0; i < history->count; i++)
    if (history->records[i]->body_case == HISTORY__RECORD__BODY_OPEN)
      return history->records[i]->open;
  return NULL;
}

/* Whether the program has been closed.  */
bool
history_is_closed (const struct history *history)
{
  for (size_t i = 0; i < history->count; i++)
    if (history->records[i]->body_case == HISTORY__RECORD__BODY_CLOSE)
      return true;
  return false;
}

/* Returns the initial history hash of a branch.  */
uint64_t
history_branch_seed (uint32_t branch, uint64_t parent_hash)
{
  uint64_t pair[2] = { branch, parent_hash };

  return id_hash64 (pair, sizeof pair, 0);
}

/* Returns the history hash after a turn.  */
uint64_t
history_turn_hash (uint64_t before, const void *messages, size_t messages_len,
                   const void *answer, size_t answer_len)
{
  uint64_t hash = cursor_chain_hash (before, messages, messages_len);

  return cursor_chain_hash (hash, answer, answer_len);
}

/* Whether the hash of the turn matches its contents.  */
static bool
turn_hash_is_valid (const History__Turn *turn)
{
  if (turn->doubtful)
    return turn->hash_after == turn->hash_before;
  return turn->hash_after
         == history_turn_hash (turn->hash_before, turn->messages.data,
                               turn->messages.len, turn->answer.data,
                               turn->answer.len);
}

static const History__Turn *
find_turn_by_hash_after (const struct history *history, uint32_t branch,
                         uint32_t turn, uint64_t hash_after)
{
  for (size_t i = 0; i < history->count; i++)
    {
      const History__Turn *found = history->records[i]->turn;

      if (history->records[i]->body_case == HISTORY__RECORD__BODY_TURN
          && found->branch == branch && found->turn == turn
          && found->hash_after == hash_after && turn_hash_is_valid (found))
        return found;
    }
  return NULL;
}

static const History__Turn *
find_turn_by_request (const struct history *history, uint32_t branch,
                      uint32_t turn, uint64_t hash_before,
                      uint64_t request_hash)
{
  for (size_t i = 0; i < history->count; i++)
    {
      const History__Turn *found = history->records[i]->turn;

      if (history->records[i]->body_case == HISTORY__RECORD__BODY_TURN
          && found->branch == branch && found->turn == turn
          && found->hash_before == hash_before
          && found->request_hash == request_hash && turn_hash_is_valid (found))
        return found;
    }
  return NULL;
}

/* Returns the record that opened BRANCH with initial hash SEED, or NULL.  */
const History__Branch *
history_branch_record (const struct history *history, uint32_t branch,
                       uint64_t seed)
{
  for (size_t i = 0; i < history->count; i++)
    {
      const History__Branch *found = history->records[i]->branch;

      if (history->records[i]->body_case == HISTORY__RECORD__BODY_BRANCH
          && found->branch == branch
          && history_branch_seed (branch, found->parent_hash) == seed)
        return found;
    }
  return NULL;
}

/* Appends JSON messages, separated by a comma if MESSAGES is not empty.  */
void
history_append_messages (struct buf *messages, const void *data, size_t len)
{
  if (len == 0)
    return;
  if (messages->len > 0)
    buf_append (messages, ",", 1);
  buf_append (messages, data, len);
}

/* Appends the messages and the answer of TURN to the messages that are sent to
   engines.  */
void
history_append_turn (struct buf *messages, const History__Turn *turn)
{
  json_t *answer;
  char *text;

  if (turn->doubtful)
    return;
  history_append_messages (messages, turn->messages.data, turn->messages.len);
  if (!turn->is_message)
    return;
  answer = json_pack ("{s:s, s:s%}", "role", "assistant", "content",
                      turn->answer.data ? (char *)turn->answer.data : "",
                      turn->answer.len);
  text = json_dumps (answer, JSON_COMPACT);
  json_decref (answer);
  if (text)
    history_append_messages (messages, text, strlen (text));
  free (text);
}

/* Appends the messages of the first TURNS turns of a branch, oldest first.
   HASH is the history hash after the last of them.  Returns false if a turn of
   the hash chain is missing.  */
static bool
collect_messages (const struct history *history, uint32_t branch,
                  uint32_t turns, uint64_t hash, struct buf *messages)
{
  const History__Turn **chain = xcalloc (turns + 1, sizeof *chain);
  const History__Branch *start = NULL;
  bool ok = true;

  for (uint32_t left = turns; ok && left > 0; left--)
    {
      chain[left - 1]
          = find_turn_by_hash_after (history, branch, left - 1, hash);
      ok = chain[left - 1] != NULL;
      if (ok)
        hash = chain[left - 1]->hash_before;
    }
  if (ok && branch == 0)
    ok = hash == history_branch_seed (0, 0);
  if (ok && branch > 0)
    {
      start = history_branch_record (history, branch, hash);
      ok = start != NULL;
    }
  if (ok && start)
    history_append_messages (messages, start->messages.data,
                             start->messages.len);
  for (uint32_t i = 0; ok && i < turns; i++)
    history_append_turn (messages, chain[i]);
  free (chain);
  return ok;
}

/* Rebuilds the branch at CURSOR, plus the next turn if the records contain the
   outcome of the request REQUEST_HASH at that position.  MESSAGES receives the
   messages that are sent to engines.  LAST receives the next turn, or NULL.
   Returns false if the records do not form an unbroken hash chain up to the
   cursor.  */
bool
history_restore_branch (const struct history *history,
                        const struct cursor *cursor, uint64_t request_hash,
                        struct branch *branch, struct buf *messages,
                        const History__Turn **last)
{
  if (!collect_messages (history, cursor->branch, cursor->turn,
                         cursor->history_hash, messages))
    return false;
  *branch = (struct branch){ .next_turn = cursor->turn,
                             .history_hash = cursor->history_hash };
  *last = find_turn_by_request (history, cursor->branch, cursor->turn,
                                cursor->history_hash, request_hash);
  if (!*last)
    return true;
  history_append_turn (messages, *last);
  branch->has_last = true;
  branch->last_request = request_hash;
  branch->last_history_hash = cursor->history_hash;
  branch->last_doubtful = (*last)->doubtful;
  branch->history_hash = (*last)->hash_after;
  branch->next_turn++;
  return true;
}
