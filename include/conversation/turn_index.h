/* Index of the turns on a keeper's disk, in memory: groups of turns, which
   turn continues which, and the contents of recently used groups.  It does no
   I/O.

   The interface is that of the keeper (conversation/keeper.c), which stores
   the turns.  */
#ifndef GALENA_CONVERSATION_TURN_INDEX_H
#define GALENA_CONVERSATION_TURN_INDEX_H

#include "common/buf.h"
#include "ledger/keeper_set.h"
#include "peer/peer.pb-c.h"
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum kept_turn_state
{
  KEPT_TURN_PENDING, /* its record is being written */
  KEPT_TURN_DURABLE, /* it and its chain are on disk */
  KEPT_TURN_FAILED,  /* it or its chain could not be written */
};

/* Owned by its group. */
struct kept_turn
{
  char *id;
  uint64_t customer; /* hash of the name */
  uint64_t hash;     /* of the previous turn's id, input and output */
  struct turn_group *group;
  /* NULL if it begins a chain, or has the text before its input with it. */
  struct kept_turn *previous;
  struct kept_turn *next_same_id; /* of another customer */
  char *content;                  /* prefix, input and output; NULL if only on
                                     disk */
  uint32_t content_len;
  bool has_prefix;
  enum kept_turn_state state;
  int64_t received_ms;
  GSList *waiters; /* of the keeper, until it is durable or has failed */
};

/* Turns that are stored and deleted together.  Owned by the index. */
struct turn_group
{
  uint64_t id;
  GPtrArray *turns; /* each after its previous one */
  uint32_t durable_turns;
  uint32_t pending_turns;
  uint64_t digest; /* of the durable turns, in any order */
  int64_t changed_ms;
  int64_t expires_ms;
  GList by_change; /* link of the index's queue */
  GList by_use;    /* likewise, while it has contents in memory */
  size_t content_bytes;
  uint64_t disk_bytes;     /* of its records */
  uint64_t covered_digest; /* another keeper's state, all of which is here */
  struct keeper_replicas replicas;
  uint64_t replicas_generation; /* of the placement that they are by */
  uint64_t holders; /* bits of the other keepers known to have the digest */
  int64_t sent_ms;  /* when it was last handed over; 0 if never */
  GSList *fetch_waiters; /* of the keeper, until the group is read from disk */
  bool is_fetching;
};

struct turn_index
{
  GHashTable *turns; /* id -> struct kept_turn, those of other customers
                        linked by next_same_id */
  GTree *groups;     /* by id */
  GTree *expiry;     /* groups by expires_ms */
  GQueue by_change;  /* groups, the last changed one at the tail */
  GQueue by_use;     /* groups with contents, the last used one at the head */
  size_t content_bytes;
  size_t content_bytes_max;
  uint32_t turn_count;
};

void turn_index_init (struct turn_index *index, size_t content_bytes_max);
void turn_index_release (struct turn_index *index);
struct kept_turn *turn_index_find (const struct turn_index *index,
                                   uint64_t customer, const char *id);
bool turn_index_has_other_customer (const struct turn_index *index,
                                    uint64_t customer, const char *id);
struct turn_group *turn_index_find_group (const struct turn_index *index,
                                          uint64_t id);
struct turn_group *turn_index_next_group (const struct turn_index *index,
                                          uint64_t after);
struct turn_group *turn_index_first_expiring (const struct turn_index *index);
struct kept_turn *turn_index_put (struct turn_index *index,
                                  const Peer__TurnWrite *write,
                                  struct kept_turn *previous, int64_t now_ms,
                                  int64_t expires_ms);
void turn_index_extend (struct turn_index *index, struct turn_group *group,
                        int64_t expires_ms);
void turn_index_finish (struct turn_index *index, struct kept_turn *turn,
                        bool is_durable);
void turn_index_set_content (struct turn_index *index, struct kept_turn *turn,
                             const Peer__TurnWrite *write);
void turn_index_trim (struct turn_index *index);
void turn_index_remove_group (struct turn_index *index,
                              struct turn_group *group);
uint64_t turn_write_hash (const Peer__TurnWrite *write);
bool kept_turn_append_text (struct turn_index *index, struct kept_turn *turn,
                            struct buf *text, uint32_t *turns);

#endif
