#include "conversation/turn_index.h"
#include "common/id.h"
#include <stdlib.h>
#include <string.h>

static gint
compare_ids (gconstpointer a, gconstpointer b, gpointer data)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return left < right ? -1 : left > right;
}

static gint
compare_expiry (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct turn_group *left = a;
  const struct turn_group *right = b;

  if (left->expires_ms != right->expires_ms)
    return left->expires_ms < right->expires_ms ? -1 : 1;
  return left->id < right->id ? -1 : left->id > right->id;
}

/* Prepares INDEX.  It keeps at most CONTENT_BYTES_MAX of contents in memory
   after turn_index_trim.  */
void
turn_index_init (struct turn_index *index, size_t content_bytes_max)
{
  *index = (struct turn_index){ .content_bytes_max = content_bytes_max };
  index->turns = g_hash_table_new (g_str_hash, g_str_equal);
  index->groups = g_tree_new_full (compare_ids, NULL, NULL, NULL);
  index->expiry = g_tree_new_full (compare_expiry, NULL, NULL, NULL);
  g_queue_init (&index->by_change);
  g_queue_init (&index->by_use);
}

/* Frees the content of INDEX.  */
void
turn_index_release (struct turn_index *index)
{
  struct turn_group *group;

  while ((group = turn_index_next_group (index, 0)))
    turn_index_remove_group (index, group);
  g_hash_table_destroy (index->turns);
  g_tree_destroy (index->groups);
  g_tree_destroy (index->expiry);
}

/* Returns the turn ID of CUSTOMER, whatever its state, or NULL.  */
struct kept_turn *
turn_index_find (const struct turn_index *index, uint64_t customer,
                 const char *id)
{
  struct kept_turn *turn = g_hash_table_lookup (index->turns, id);

  while (turn && turn->customer != customer)
    turn = turn->next_same_id;
  return turn;
}

/* Whether a customer other than CUSTOMER has a turn ID.  */
bool
turn_index_has_other_customer (const struct turn_index *index,
                               uint64_t customer, const char *id)
{
  const struct kept_turn *turn = g_hash_table_lookup (index->turns, id);

  while (turn && turn->customer == customer)
    turn = turn->next_same_id;
  return turn != NULL;
}

struct turn_group *
turn_index_find_group (const struct turn_index *index, uint64_t id)
{
  return g_tree_lookup (index->groups, &id);
}

/* Returns the group with the lowest id above AFTER, or NULL.  */
struct turn_group *
turn_index_next_group (const struct turn_index *index, uint64_t after)
{
  GTreeNode *node = g_tree_upper_bound (index->groups, &after);

  return node ? g_tree_node_value (node) : NULL;
}

/* Returns the group that expires first, or NULL.  */
struct turn_group *
turn_index_first_expiring (const struct turn_index *index)
{
  GTreeNode *node = g_tree_node_first (index->expiry);

  return node ? g_tree_node_value (node) : NULL;
}

static struct turn_group *
add_group (struct turn_index *index, uint64_t id)
{
  struct turn_group *group = xcalloc (1, sizeof *group);

  group->id = id;
  group->turns = g_ptr_array_new ();
  group->by_change.data = group->by_use.data = group;
  g_tree_insert (index->groups, &group->id, group);
  g_tree_insert (index->expiry, group, group);
  g_queue_push_tail_link (&index->by_change, &group->by_change);
  return group;
}

/* Lets GROUP live until EXPIRES_MS at least.  */
void
turn_index_extend (struct turn_index *index, struct turn_group *group,
                   int64_t expires_ms)
{
  if (expires_ms <= group->expires_ms)
    return;
  g_tree_remove (index->expiry, group);
  group->expires_ms = expires_ms;
  g_tree_insert (index->expiry, group, group);
}

static void
link_turn (struct turn_index *index, struct kept_turn *turn)
{
  turn->next_same_id = g_hash_table_lookup (index->turns, turn->id);
  g_hash_table_replace (index->turns, turn->id, turn);
  index->turn_count++;
}

static void
unlink_turn (struct turn_index *index, struct kept_turn *turn)
{
  struct kept_turn *first = g_hash_table_lookup (index->turns, turn->id);
  struct kept_turn **at = &first;

  while (*at != turn)
    at = &(*at)->next_same_id;
  *at = turn->next_same_id;
  if (first)
    g_hash_table_replace (index->turns, first->id, first);
  else
    g_hash_table_remove (index->turns, turn->id);
  index->turn_count--;
}

/* Returns a hash of the content of WRITE.  The text before the turn is not
   part of it, as it follows from the previous turn.  */
uint64_t
turn_write_hash (const Peer__TurnWrite *write)
{
  uint64_t hash = id_hash_text (write->previous);

  hash = id_hash64 (write->input.data, write->input.len, hash);
  return id_hash64 (write->output.data, write->output.len, hash);
}

static uint64_t
turn_digest (const struct kept_turn *turn)
{
  return id_hash64 (turn->id, strlen (turn->id), turn->customer ^ turn->hash);
}

/* Adds the turn of WRITE as a pending one, which continues PREVIOUS if that is
   not NULL, or makes a failed one pending again.  Its group lives until
   EXPIRES_MS at least.  */
struct kept_turn *
turn_index_put (struct turn_index *index, const Peer__TurnWrite *write,
                struct kept_turn *previous, int64_t now_ms, int64_t expires_ms)
{
  struct kept_turn *turn
      = turn_index_find (index, write->customer, write->turn);
  struct turn_group *group;

  if (turn)
    g_ptr_array_remove (turn->group->turns, turn);
  else
    {
      group = turn_index_find_group (index, write->group);
      turn = xcalloc (1, sizeof *turn);
      turn->id = xstrdup (write->turn);
      turn->customer = write->customer;
      turn->group = group ? group : add_group (index, write->group);
      link_turn (index, turn);
    }
  group = turn->group;
  g_ptr_array_add (group->turns, turn);
  turn->previous = previous;
  turn->has_prefix = !previous && write->has_prefix;
  turn->hash = turn_write_hash (write);
  turn->received_ms = now_ms;
  turn->state = KEPT_TURN_PENDING;
  group->pending_turns++;
  group->changed_ms = now_ms;
  g_queue_unlink (&index->by_change, &group->by_change);
  g_queue_push_tail_link (&index->by_change, &group->by_change);
  turn_index_extend (index, group, expires_ms);
  return turn;
}

/* Ends the pending state of TURN.  It becomes durable only if its record and
   the turn before are.  */
void
turn_index_finish (struct turn_index *index, struct kept_turn *turn,
                   bool is_durable)
{
  struct turn_group *group = turn->group;

  group->pending_turns--;
  turn->state = KEPT_TURN_FAILED;
  if (!is_durable
      || (turn->previous && turn->previous->state != KEPT_TURN_DURABLE))
    return;
  turn->state = KEPT_TURN_DURABLE;
  group->durable_turns++;
  group->digest += turn_digest (turn);
  group->holders = 0;
}

static void
use_group (struct turn_index *index, struct turn_group *group)
{
  if (group->content_bytes == 0)
    return;
  g_queue_unlink (&index->by_use, &group->by_use);
  g_queue_push_head_link (&index->by_use, &group->by_use);
}

static void
drop_content (struct turn_index *index, struct kept_turn *turn)
{
  if (!turn->content)
    return;
  free (turn->content);
  turn->content = NULL;
  turn->group->content_bytes -= turn->content_len + 1;
  index->content_bytes -= turn->content_len + 1;
  if (turn->group->content_bytes == 0)
    g_queue_unlink (&index->by_use, &turn->group->by_use);
}

/* Keeps the content of TURN, which is that of WRITE, in memory.  */
void
turn_index_set_content (struct turn_index *index, struct kept_turn *turn,
                        const Peer__TurnWrite *write)
{
  size_t prefix_len = turn->has_prefix ? write->prefix.len : 0;
  size_t len = prefix_len + write->input.len + write->output.len;
  char *at;

  drop_content (index, turn);
  turn->content = at = xcalloc (1, len + 1);
  turn->content_len = (uint32_t)len;
  if (prefix_len > 0)
    memcpy (at, write->prefix.data, prefix_len);
  at += prefix_len;
  if (write->input.len > 0)
    memcpy (at, write->input.data, write->input.len);
  at += write->input.len;
  if (write->output.len > 0)
    memcpy (at, write->output.data, write->output.len);
  if (turn->group->content_bytes == 0)
    g_queue_push_head_link (&index->by_use, &turn->group->by_use);
  turn->group->content_bytes += len + 1;
  index->content_bytes += len + 1;
  use_group (index, turn->group);
}

/* Drops the contents of the groups that were used longest ago until the rest
   is within the bound.  */
void
turn_index_trim (struct turn_index *index)
{
  while (index->content_bytes > index->content_bytes_max)
    {
      struct turn_group *group = g_queue_peek_tail (&index->by_use);

      for (guint i = 0; i < group->turns->len; i++)
        drop_content (index, g_ptr_array_index (group->turns, i));
    }
}

/* Removes GROUP and its turns, none of which may be pending.  */
void
turn_index_remove_group (struct turn_index *index, struct turn_group *group)
{
  for (guint i = 0; i < group->turns->len; i++)
    {
      struct kept_turn *turn = g_ptr_array_index (group->turns, i);

      drop_content (index, turn);
      unlink_turn (index, turn);
      free (turn->id);
      free (turn);
    }
  g_tree_remove (index->groups, &group->id);
  g_tree_remove (index->expiry, group);
  g_queue_unlink (&index->by_change, &group->by_change);
  g_ptr_array_free (group->turns, TRUE);
  free (group);
}

/* Appends the text of the chain up to and including TURN, and counts the turns
   that it consists of.  Returns false, and appends nothing, if a part of it is
   not in memory.  */
bool
kept_turn_append_text (struct turn_index *index, struct kept_turn *turn,
                       struct buf *text, uint32_t *turns)
{
  struct turn_group *group = turn->group;
  GPtrArray *chain;

  for (const struct kept_turn *at = turn; at; at = at->previous)
    if (!at->content)
      return false;
  chain = g_ptr_array_new ();
  for (struct kept_turn *at = turn; at; at = at->previous)
    g_ptr_array_add (chain, at);
  for (guint i = chain->len; i > 0; i--)
    {
      const struct kept_turn *at = g_ptr_array_index (chain, i - 1);

      buf_append (text, at->content, at->content_len);
    }
  *turns = chain->len;
  g_ptr_array_free (chain, TRUE);
  use_group (index, group);
  return true;
}
