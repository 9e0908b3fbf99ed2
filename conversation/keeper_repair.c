#include "common/counters.h"
#include "common/id.h"
#include "common/log.h"
#include "conversation/keeper_state.h"
#include <stdlib.h>
#include <string.h>

enum
{
  PROBE_INTERVAL_MS = 400, /* between liveness probes */
  SILENT_MS = 1200,        /* three unanswered probes */
  REQUEST_RETRY_MS = 500,  /* until an unanswered question for a page, or a
                              notice of retirement, is sent again */
  GROUP_RETRY_MS = 1000,   /* likewise for a group */
  PAGE_GROUPS = 400,       /* about 10 KB a frame */
  PAGE_SCAN = 2000,        /* groups looked at for a page */
  /* Groups that one keeper is asked for at a time, and all of them.  A group
     is about 50 KB, and up to a few 100 KB. */
  ASKED_PER_REMOTE = 4,
  ASKED_MAX = 16,
  /* Bytes a second that are restored from other keepers.  A keeper has about
     80 MB (190 turns a second of 6 KB, kept for 70 s); the restoration of all
     has to end within 6 s of a start. */
  RESTORE_BYTES_PER_S = 24 * 1024 * 1024,
  RESTORE_BURST_BYTES = RESTORE_BYTES_PER_S / 10,
  /* No more is asked for while so much waits for the disk. */
  RESTORE_PENDING_BYTES = 4 * 1024 * 1024,
  OFFER_INTERVAL_MS = 2000,
  /* Groups that changed this long ago are offered: after a write has reached
     all keepers it was sent to, and often enough that the loss of one offer
     does no harm. */
  OFFER_FROM_MS = 1000,
  OFFER_UNTIL_MS = 7000,
  /* A retiring keeper waits for the lists of the others so long, and then
     sends groups that they may have. */
  LISTS_WAIT_MS = 3000,
  /* One that stops gives up if it has heard no other keeper for so much longer
     than makes them silent: it may only have been held up itself, and not have
     read what they sent. */
  ALONE_MS = SILENT_MS + 2 * PROBE_INTERVAL_MS,
  OFFER_STEP = 400,           /* groups looked at in a tick */
  HAND_OVER_STEP = 400,       /* likewise */
  HAND_OVER_ANSWER_STEP = 32, /* likewise, after an acknowledgement */
  HAND_OVER_MAX = 16,         /* groups sent and not acknowledged */
  HOLDERS_MAX = 64,           /* bits of turn_group.holders */
  MS_PER_S = 1000,
  /* Id of the notice that a keeper has handed over all of its groups.  It
     names group 0, which no turn has. */
  RETIREMENT_ID = 1,
};

static struct turn_remote *
find_remote (const struct conversation_keeper *keeper, const char *name)
{
  for (size_t i = 0; i < keeper->remote_count; i++)
    if (strcmp (keeper->remotes[i].name, name) == 0)
      return &keeper->remotes[i];
  return NULL;
}

/* Returns the index of the keeper NAME, or -1 if it is not on the list.  */
static int32_t
find_remote_index (const struct conversation_keeper *keeper, const char *name)
{
  const struct turn_remote *remote = find_remote (keeper, name);

  return remote ? (int32_t)(remote - keeper->remotes) : -1;
}

/* Whether REMOTE would answer now and goes on to.  */
static bool
is_present (const struct turn_remote *remote)
{
  return !remote->is_silent && !remote->is_leaving;
}

/* Recomputes which keepers hold copies.  With IS_NEW_LIST the indexes have
   changed, too.  */
static void
update_placement (struct conversation_keeper *keeper, bool is_new_list)
{
  struct turn_placement *placement = &keeper->placement;
  uint32_t *keepers = xcalloc (keeper->remote_count + 1, sizeof *keepers);
  uint32_t count = 0;

  for (uint32_t i = 0; i < keeper->remote_count; i++)
    if (is_present (&keeper->remotes[i]))
      keepers[count++] = i;
  if (!keeper->hand_over.is_active && keeper->set.count > 0)
    keepers[count++] = (uint32_t)keeper->remote_count;
  if (!is_new_list && count == placement->count
      && (count == 0
          || memcmp (keepers, placement->keepers, count * sizeof *keepers)
                 == 0))
    {
      free (keepers);
      return;
    }
  free (placement->keepers);
  free (placement->hosts);
  placement->keepers = keepers;
  placement->count = count;
  placement->hosts = xcalloc (count + 1, sizeof *placement->hosts);
  for (uint32_t i = 0; i < count; i++)
    placement->hosts[i] = keeper->set.hosts[keepers[i]];
  keeper->generation++;
}

/* Returns the keepers that are to hold GROUP: of those that would answer.  */
static const struct keeper_replicas *
group_replicas (const struct conversation_keeper *keeper,
                struct turn_group *group)
{
  const struct turn_placement *placement = &keeper->placement;
  struct keeper_replicas *replicas = &group->replicas;

  if (group->replicas_generation == keeper->generation)
    return replicas;
  replicas->count
      = replicas_select (group->id, placement->hosts, placement->count,
                         keeper->set.wanted, replicas->keepers);
  for (uint32_t i = 0; i < replicas->count; i++)
    replicas->keepers[i] = placement->keepers[replicas->keepers[i]];
  group->replicas_generation = keeper->generation;
  return replicas;
}

static uint64_t
holder_bit (size_t remote)
{
  return remote < HOLDERS_MAX ? 1ULL << remote : 0;
}

/* Has the hand-over look at all groups again.  */
static void
begin_sweep (struct conversation_keeper *keeper)
{
  struct turn_hand_over *hand_over = &keeper->hand_over;

  hand_over->next = 0;
  hand_over->is_missing = hand_over->is_done = false;
  hand_over->sweep_ms = keeper->now_ms;
  hand_over->generation = keeper->generation;
}

/* Forgets which groups the keepers of the bits REMOTES are known to have.  */
static void
forget_holders (struct conversation_keeper *keeper, uint64_t remotes)
{
  for (struct turn_group *group = turn_index_next_group (&keeper->index, 0);
       group; group = turn_index_next_group (&keeper->index, group->id))
    group->holders &= ~remotes;
}

/* Id under which GROUP is handed over in its present state.  */
static uint64_t
hand_over_id (const struct turn_group *group)
{
  uint64_t id = id_hash64 (&group->digest, sizeof group->digest, group->id);

  return id > RETIREMENT_ID ? id : RETIREMENT_ID + 1;
}

static void
remove_want (struct conversation_keeper *keeper, struct turn_remote *remote,
             GList *link)
{
  struct turn_want *want = link->data;

  remote->asked -= want->asked_ms != 0;
  g_hash_table_remove (keeper->wanted, &want->key);
  g_queue_delete_link (&remote->wants, link);
  free (want);
}

static void
clear_wants (struct conversation_keeper *keeper, struct turn_remote *remote)
{
  while (remote->wants.head)
    remove_want (keeper, remote, remote->wants.head);
}

/* Has the list of REMOTE read again from the start.  A page under way belongs
   to the reading before.  */
static void
restart_list (struct turn_remote *remote)
{
  remote->ignores_page = remote->is_awaiting_page;
  remote->is_listed = false;
  remote->page_after = 0;
  remote->last_request_ms = 0;
}

static void
request_page (struct conversation_keeper *keeper, struct turn_remote *remote)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__TurnListAsk ask = PEER__TURN_LIST_ASK__INIT;

  remote->last_request_ms = keeper->now_ms;
  remote->is_awaiting_page = true;
  ask.after = remote->page_after;
  ask.is_leaving = keeper->hand_over.is_active;
  frame.body_case = PEER__FRAME__BODY_TURN_LIST_ASK;
  frame.turn_list_ask = &ask;
  keeper_send (keeper, remote->name, &frame);
}

static void
request_pages (struct conversation_keeper *keeper)
{
  for (size_t i = 0; i < keeper->remote_count; i++)
    {
      struct turn_remote *remote = &keeper->remotes[i];

      if (!remote->is_listed && !remote->is_silent
          && (remote->last_request_ms == 0
              || keeper->now_ms - remote->last_request_ms >= REQUEST_RETRY_MS))
        request_page (keeper, remote);
    }
}

/* States of groups, sent to one keeper as a page of a list or an offer. */
struct state_list
{
  Peer__TurnGroupState states[PAGE_GROUPS];
  Peer__TurnGroupState *pointers[PAGE_GROUPS];
  size_t count;
};

static void
add_state (struct state_list *list, const struct turn_group *group)
{
  Peer__TurnGroupState *state = &list->states[list->count];

  peer__turn_group_state__init (state);
  state->group = group->id;
  state->turns = group->durable_turns;
  state->digest = group->digest;
  list->pointers[list->count++] = state;
}

static void
send_states (struct conversation_keeper *keeper, const char *host,
             struct state_list *list, uint64_t next, bool is_last)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__TurnList message = PEER__TURN_LIST__INIT;

  message.groups = list->pointers;
  message.n_groups = list->count;
  message.next = next;
  message.is_last = is_last;
  message.is_complete = keeper->is_complete;
  frame.body_case = PEER__FRAME__BODY_TURN_LIST;
  frame.turn_list = &message;
  keeper_send (keeper, host, &frame);
  list->count = 0;
}

/* Notes what the question of REMOTE for a list tells of it: it is heard, may
   be about to stop, or has started with another disk.  */
static void
note_list_ask (struct conversation_keeper *keeper, struct turn_remote *remote,
               const Peer__TurnListAsk *ask)
{
  remote->is_silent = false;
  if (remote->is_leaving != ask->is_leaving)
    log_write (LOG_INFO, "conversations", NULL, "keeper %s %s", remote->name,
               ask->is_leaving ? "is about to stop" : "has started again");
  remote->is_leaving = ask->is_leaving;
  update_placement (keeper, false);
  if (ask->after != 0)
    return;
  forget_holders (keeper, holder_bit ((size_t)(remote - keeper->remotes)));
  if (keeper->hand_over.is_active)
    begin_sweep (keeper);
}

/* Answers a keeper with the groups after AFTER that it is to hold; one that is
   about to stop, with all, so that it knows who has its own.  A keeper that is
   not on this host's list yet gets no answer, and asks again; the same while
   turns are being loaded.  */
static void
handle_list_ask (struct conversation_keeper *keeper, const char *host,
                 const Peer__TurnListAsk *ask)
{
  int32_t remote = find_remote_index (keeper, host);
  struct turn_group *group = NULL;
  struct state_list list = { .count = 0 };
  uint64_t next = ask->after;

  if (remote < 0)
    return;
  note_list_ask (keeper, &keeper->remotes[remote], ask);
  if (!keeper->is_loaded)
    return;
  for (int i = 0; i < PAGE_SCAN && list.count < PAGE_GROUPS; i++)
    {
      group = turn_index_next_group (&keeper->index, next);
      if (!group)
        break;
      next = group->id;
      if (group->durable_turns > 0
          && (ask->is_leaving
              || keeper_replicas_contain (group_replicas (keeper, group),
                                          (uint32_t)remote)))
        add_state (&list, group);
    }
  send_states (keeper, host, &list, next, group == NULL);
}

/* Whether this keeper has the turns of GROUP that DIGEST stands for at another
   keeper, and maybe more.  */
static bool
has_state (const struct conversation_keeper *keeper, uint64_t group,
           uint64_t digest)
{
  const struct turn_group *found
      = turn_index_find_group (&keeper->index, group);

  return found && found->durable_turns > 0
         && (found->digest == digest || found->covered_digest == digest);
}

static void
add_want (struct conversation_keeper *keeper, struct turn_remote *remote,
          const Peer__TurnGroupState *state)
{
  uint64_t key
      = id_hash64 (&state->digest, sizeof state->digest, state->group);
  struct turn_want *want;

  if (g_hash_table_contains (keeper->wanted, &key))
    return;
  want = xcalloc (1, sizeof *want);
  want->key = key;
  want->group = state->group;
  want->digest = state->digest;
  g_queue_push_tail (&remote->wants, want);
  g_hash_table_add (keeper->wanted, &want->key);
}

/* Compares the state of a group at REMOTE with that here.  */
static void
compare_state (struct conversation_keeper *keeper, struct turn_remote *remote,
               const Peer__TurnGroupState *state)
{
  uint64_t bit = holder_bit ((size_t)(remote - keeper->remotes));
  struct turn_group *group
      = turn_index_find_group (&keeper->index, state->group);

  if (has_state (keeper, state->group, state->digest))
    {
      if (group->digest == state->digest)
        group->holders |= bit;
      return;
    }
  if (group)
    group->holders &= ~bit;
  if (keeper->hand_over.is_active)
    return;
  add_want (keeper, remote, state);
}

static uint32_t
count_asked (const struct conversation_keeper *keeper)
{
  uint32_t asked = 0;

  for (size_t i = 0; i < keeper->remote_count; i++)
    asked += keeper->remotes[i].asked;
  return asked;
}

static void
accrue_credit (struct conversation_keeper *keeper)
{
  int64_t elapsed_ms = keeper->now_ms - keeper->restore_credit_ms;

  keeper->restore_credit_ms = keeper->now_ms;
  keeper->restore_credit += elapsed_ms * (RESTORE_BYTES_PER_S / MS_PER_S);
  if (keeper->restore_credit > RESTORE_BURST_BYTES)
    keeper->restore_credit = RESTORE_BURST_BYTES;
}

/* Returns the first want of REMOTE that may be asked for, or NULL.  Drops
   those that have been met otherwise.  The bounds are on new ones, so that
   unanswered ones are asked for again.  */
static struct turn_want *
next_want (struct conversation_keeper *keeper, struct turn_remote *remote)
{
  GList *link = remote->wants.head;

  while (link)
    {
      struct turn_want *want = link->data;
      GList *next = link->next;

      if (has_state (keeper, want->group, want->digest))
        remove_want (keeper, remote, link);
      else if (want->asked_ms == 0)
        return remote->asked < ASKED_PER_REMOTE
                       && count_asked (keeper) < ASKED_MAX
                   ? want
                   : NULL;
      else if (keeper->now_ms - want->asked_ms >= GROUP_RETRY_MS)
        return want;
      link = next;
    }
  return NULL;
}

/* Asks REMOTE for groups that are wanted.  */
static void
request_groups_of (struct conversation_keeper *keeper,
                   struct turn_remote *remote)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__TurnGroupAsk ask = PEER__TURN_GROUP_ASK__INIT;
  uint64_t groups[ASKED_MAX];
  struct turn_want *want;

  while (ask.n_groups < ASKED_PER_REMOTE
         && (want = next_want (keeper, remote)))
    {
      remote->asked += want->asked_ms == 0;
      want->asked_ms = keeper->now_ms;
      groups[ask.n_groups++] = want->group;
    }
  if (ask.n_groups == 0)
    return;
  ask.groups = groups;
  frame.body_case = PEER__FRAME__BODY_TURN_GROUP_ASK;
  frame.turn_group_ask = &ask;
  keeper_send (keeper, remote->name, &frame);
}

/* Asks for wanted groups, within the bounds on rate and memory.  */
static void
request_groups (struct conversation_keeper *keeper)
{
  for (size_t i = 0; i < keeper->remote_count; i++)
    if (keeper->restore_credit > 0
        && keeper->pending_bytes < RESTORE_PENDING_BYTES
        && !keeper->remotes[i].is_silent)
      request_groups_of (keeper, &keeper->remotes[i]);
}

/* Handles a page of the list of HOST, or an offer, which has no end: the
   groups that changed a short time ago.  */
static void
handle_list (struct conversation_keeper *keeper, const char *host,
             const Peer__TurnList *list)
{
  struct turn_remote *remote = find_remote (keeper, host);
  bool is_offer = !list->is_last && list->next == 0;

  if (!remote || !keeper->is_loaded)
    return;
  for (size_t i = 0; i < list->n_groups; i++)
    compare_state (keeper, remote, list->groups[i]);
  if (!is_offer && remote->ignores_page)
    remote->ignores_page = false;
  else if (!is_offer && remote->is_awaiting_page)
    {
      remote->is_awaiting_page = false;
      remote->page_after = list->next;
      remote->is_listed = list->is_last;
      if (!remote->is_listed)
        request_page (keeper, remote);
    }
  request_groups (keeper);
  keeper_repair_check_complete (keeper);
}

static void
handle_group_ask (struct conversation_keeper *keeper, const char *host,
                  const Peer__TurnGroupAsk *ask)
{
  if (!keeper->is_loaded)
    return;
  for (size_t i = 0; i < ask->n_groups && i < ASKED_MAX; i++)
    keeper_send_group (keeper, host, ask->groups[i], 0);
}

static void
send_kept (struct conversation_keeper *keeper, const char *host, uint64_t id,
           uint64_t group, bool is_kept)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__TurnGroupKept kept = PEER__TURN_GROUP_KEPT__INIT;

  kept.id = id;
  kept.group = group;
  kept.is_kept = is_kept;
  frame.body_case = PEER__FRAME__BODY_TURN_GROUP_KEPT;
  frame.turn_group_kept = &kept;
  keeper_send (keeper, host, &frame);
}

/* Ends the wants of a group that REMOTE sent.  One whose turns could not be
   written is asked for again later.  */
static void
finish_wants (struct conversation_keeper *keeper, struct turn_remote *remote,
              uint64_t group, bool is_kept, bool has_turns)
{
  struct turn_group *found = turn_index_find_group (&keeper->index, group);

  for (GList *link = remote->wants.head, *next; link; link = next)
    {
      struct turn_want *want = link->data;

      next = link->next;
      if (want->asked_ms == 0 || want->group != group)
        continue;
      if (!is_kept)
        {
          want->asked_ms = keeper->now_ms;
          continue;
        }
      if (found && has_turns)
        found->covered_digest = want->digest;
      remove_want (keeper, remote, link);
    }
}

/* Called when all turns of a group that another keeper sent are on disk, or
   have failed.  Frees RECEIPT.  */
void
keeper_repair_finish_receipt (struct group_receipt *receipt)
{
  struct conversation_keeper *keeper = receipt->keeper;
  struct turn_remote *remote = find_remote (keeper, receipt->host);

  if (receipt->id != 0)
    send_kept (keeper, receipt->host, receipt->id, receipt->group,
               receipt->is_kept);
  else if (remote)
    {
      finish_wants (keeper, remote, receipt->group, receipt->is_kept,
                    receipt->has_turns);
      counter_add (COUNTER_TURN_GROUPS_RESTORED, receipt->is_kept);
    }
  if (!keeper->is_stopped)
    {
      request_groups (keeper);
      keeper_repair_check_complete (keeper);
    }
  free (receipt->host);
  free (receipt);
}

static void
handle_group (struct conversation_keeper *keeper, const char *host,
              const Peer__TurnGroup *group)
{
  struct turn_remote *remote = find_remote (keeper, host);
  struct group_receipt *receipt;

  if (group->group == 0)
    {
      if (remote)
        remote->has_retired = true;
      send_kept (keeper, host, group->id, 0, true);
      return;
    }
  receipt = xcalloc (1, sizeof *receipt);
  receipt->keeper = keeper;
  receipt->host = xstrdup (host);
  receipt->id = group->id;
  receipt->group = group->group;
  receipt->remaining = 1;
  receipt->is_kept = true;
  receipt->has_turns = group->n_turns > 0;
  for (size_t i = 0; i < group->n_turns; i++)
    {
      keeper->restore_credit
          -= (int64_t)(group->turns[i]->prefix.len + group->turns[i]->input.len
                       + group->turns[i]->output.len);
      keeper_store_copy (keeper, group->turns[i], receipt);
    }
  if (--receipt->remaining == 0)
    keeper_repair_finish_receipt (receipt);
}

static void continue_hand_over (struct conversation_keeper *keeper,
                                uint32_t step);

static void
handle_kept (struct conversation_keeper *keeper, const char *host,
             const Peer__TurnGroupKept *kept)
{
  int32_t index = find_remote_index (keeper, host);
  struct turn_group *group;

  if (index < 0)
    return;
  if (kept->group == 0)
    {
      keeper->remotes[index].knows_retirement = true;
      return;
    }
  if (keeper->hand_over.in_flight > 0)
    keeper->hand_over.in_flight--;
  group = turn_index_find_group (&keeper->index, kept->group);
  if (group && kept->is_kept && kept->id == hand_over_id (group))
    group->holders |= holder_bit ((size_t)index);
  if (keeper->hand_over.is_active && !keeper->hand_over.is_done
      && keeper->hand_over.generation == keeper->generation)
    continue_hand_over (keeper, HAND_OVER_ANSWER_STEP);
}

/* Handles frames between keepers of conversations.  Ignores other frames.  */
void
keeper_repair_handle_frame (struct conversation_keeper *keeper,
                            const char *host, const Peer__Frame *frame)
{
  switch (frame->body_case)
    {
    case PEER__FRAME__BODY_TURN_LIST_ASK:
      handle_list_ask (keeper, host, frame->turn_list_ask);
      break;
    case PEER__FRAME__BODY_TURN_LIST:
      handle_list (keeper, host, frame->turn_list);
      break;
    case PEER__FRAME__BODY_TURN_GROUP_ASK:
      handle_group_ask (keeper, host, frame->turn_group_ask);
      break;
    case PEER__FRAME__BODY_TURN_GROUP:
      handle_group (keeper, host, frame->turn_group);
      break;
    case PEER__FRAME__BODY_TURN_GROUP_KEPT:
      handle_kept (keeper, host, frame->turn_group_kept);
      break;
    default:
      break;
    }
}

/* Marks a keeper that lost its disk as complete once it has read the lists of
   all others and what it lacked of them.  */
void
keeper_repair_check_complete (struct conversation_keeper *keeper)
{
  bool is_read = keeper->remote_count > 0;

  if (keeper->is_complete || !keeper->is_loaded || !keeper->has_list)
    return;
  for (size_t i = 0; i < keeper->remote_count; i++)
    is_read = is_read && keeper->remotes[i].is_listed
              && keeper->remotes[i].wants.length == 0;
  /* What was acknowledged before the loss has expired by then.  */
  if (!is_read
      && keeper->now_ms - keeper->started_ms < keeper_retention_ms (keeper))
    return;
  keeper->is_complete = true;
  keeper_write_marker (keeper);
  log_write (LOG_INFO, "conversations", NULL,
             "the turns are complete again: %u turns in %d groups, read from "
             "%zu keepers in %lld ms",
             keeper->index.turn_count, g_tree_nnodes (keeper->index.groups),
             keeper->remote_count,
             (long long)(keeper->now_ms - keeper->started_ms));
}

/* A keeper left the list without having handed its groups over: for the time
   that turns are kept, a turn that is not found may have been lost.  */
static void
handle_unclean_leave (struct conversation_keeper *keeper, const char *name)
{
  keeper->uncertain_until_ms = keeper->now_ms + keeper_retention_ms (keeper);
  log_write (LOG_WARN, "conversations", NULL,
             "keeper %s left the list without being retired; turns that are "
             "not found count as possibly lost for %lld ms",
             name, (long long)keeper_retention_ms (keeper));
}

/* Compares the list of keepers with that of the marker, after both are known,
   and writes a new marker where needed.  */
void
keeper_repair_check_list (struct conversation_keeper *keeper)
{
  char **names;

  if (!keeper->is_loaded || !keeper->has_list)
    return;
  names = g_strsplit (keeper->marked_others ? keeper->marked_others : "", "\n",
                      -1);
  for (char **name = names; *name; name++)
    if (**name && strcmp (*name, keeper->options.host) != 0
        && !find_remote (keeper, *name))
      handle_unclean_leave (keeper, *name);
  g_strfreev (names);
  free (keeper->marked_others);
  keeper->marked_others = NULL;
  if (keeper->is_complete)
    keeper_write_marker (keeper);
  keeper_repair_check_complete (keeper);
}

static void
release_remotes (struct conversation_keeper *keeper)
{
  for (size_t i = 0; i < keeper->remote_count; i++)
    {
      clear_wants (keeper, &keeper->remotes[i]);
      free (keeper->remotes[i].name);
    }
  free (keeper->remotes);
}

/* Frees what is allocated for the exchange with other keepers.  */
void
keeper_repair_release (struct conversation_keeper *keeper)
{
  release_remotes (keeper);
  keeper_set_release (&keeper->set);
  free (keeper->placement.keepers);
  free (keeper->placement.hosts);
}

/* Replaces the state of the other keepers.  The lists of all are read again,
   as this host may have become a preferred keeper of groups.  */
static void
replace_remotes (struct conversation_keeper *keeper)
{
  size_t count = keeper->set.count - 1;
  struct turn_remote *remotes = xcalloc (count + 1, sizeof *remotes);

  for (size_t i = 0; i < count; i++)
    {
      const struct turn_remote *known
          = find_remote (keeper, keeper->set.names[i]);

      remotes[i].name = xstrdup (keeper->set.names[i]);
      if (!known)
        continue;
      remotes[i].is_silent = known->is_silent;
      remotes[i].is_leaving = known->is_leaving;
      remotes[i].has_retired = known->has_retired;
      remotes[i].is_awaiting_page = remotes[i].ignores_page
          = known->is_awaiting_page;
    }
  for (size_t i = 0; i < keeper->remote_count; i++)
    if (keeper_set_find (&keeper->set, keeper->remotes[i].name) < 0
        && !keeper->remotes[i].has_retired)
      handle_unclean_leave (keeper, keeper->remotes[i].name);
  release_remotes (keeper);
  keeper->remotes = remotes;
  keeper->remote_count = count;
  update_placement (keeper, true);
  forget_holders (keeper, UINT64_MAX);
}

/* Sets the list of other keepers.  */
void
conversation_keeper_set_others (struct conversation_keeper *keeper,
                                const struct host_location *others,
                                size_t count)
{
  struct host_location *all = xcalloc (count + 1, sizeof *all);

  for (size_t i = 0; i < count; i++)
    all[i] = others[i];
  all[count]
      = (struct host_location){ .name = keeper->options.host,
                                .data_centre = keeper->options.data_centre };
  if (keeper_set_assign (&keeper->set, all, count + 1, keeper->options.losses))
    {
      keeper->set.wanted = turn_copies_wanted (keeper->options.losses);
      replace_remotes (keeper);
      keeper->has_list = true;
      keeper_repair_check_list (keeper);
    }
  free (all);
}

/* Updates which keepers are silent, and pings all of them.  One that was
   silent and is heard again may have been without contact to this host only,
   so that its list is read anew; it may have lost its disk, too.  What was
   wanted from a silent one may be on the lists of others, which are read
   again.  */
static void
probe_remotes (struct conversation_keeper *keeper)
{
  struct transport *transport = keeper->options.transport;
  bool has_lost_wants = false;
  uint64_t silenced = 0;

  if (keeper->now_ms - keeper->last_probe_ms < PROBE_INTERVAL_MS)
    return;
  keeper->last_probe_ms = keeper->now_ms;
  for (size_t i = 0; i < keeper->remote_count; i++)
    {
      struct turn_remote *remote = &keeper->remotes[i];
      int64_t heard_ms
          = transport->vtable->last_received_ms (transport, remote->name);

      if (heard_ms < keeper->started_ms)
        heard_ms = keeper->started_ms;
      if (keeper->now_ms - heard_ms <= SILENT_MS)
        remote->is_silent = false;
      else if (!remote->is_silent)
        {
          remote->is_silent = true;
          silenced |= holder_bit (i);
          restart_list (remote);
          has_lost_wants |= remote->wants.length > 0;
          clear_wants (keeper, remote);
        }
      transport->vtable->ping (transport, remote->name);
    }
  for (size_t i = 0; has_lost_wants && i < keeper->remote_count; i++)
    restart_list (&keeper->remotes[i]);
  if (silenced)
    forget_holders (keeper, silenced);
  update_placement (keeper, false);
}

/* Lists of states for the other keepers, one each by their indexes.  */
static struct state_list *
create_offers (const struct conversation_keeper *keeper)
{
  return xcalloc (keeper->remote_count + 1, sizeof (struct state_list));
}

/* Adds GROUP to the OFFERS for those that are to hold it and are not known to
   have it.  Full lists are sent.  */
static void
add_offer (struct conversation_keeper *keeper, struct state_list *offers,
           struct turn_group *group)
{
  const struct keeper_replicas *replicas = group_replicas (keeper, group);

  if (group->durable_turns == 0)
    return;
  for (uint32_t i = 0; i < replicas->count; i++)
    {
      uint32_t remote = replicas->keepers[i];

      if (remote >= keeper->remote_count
          || (group->holders & holder_bit (remote)) != 0)
        continue;
      add_state (&offers[remote], group);
      if (offers[remote].count == PAGE_GROUPS)
        send_states (keeper, keeper->remotes[remote].name, &offers[remote], 0,
                     false);
    }
}

/* Sends what is left of OFFERS and frees them.  */
static void
send_offers (struct conversation_keeper *keeper, struct state_list *offers)
{
  for (size_t i = 0; i < keeper->remote_count; i++)
    if (offers[i].count > 0)
      send_states (keeper, keeper->remotes[i].name, &offers[i], 0, false);
  free (offers);
}

/* Offers the others the groups that changed a short time ago.  Those that lack
   a turn, because they were slow or the frame was lost, ask for it.  */
static void
offer_changed_groups (struct conversation_keeper *keeper)
{
  struct state_list *offers;

  if (keeper->now_ms - keeper->last_offer_ms < OFFER_INTERVAL_MS
      || keeper->remote_count == 0)
    return;
  keeper->last_offer_ms = keeper->now_ms;
  offers = create_offers (keeper);
  for (const GList *link = keeper->index.by_change.tail; link;
       link = link->prev)
    {
      struct turn_group *group = link->data;

      if (keeper->now_ms - group->changed_ms > OFFER_UNTIL_MS)
        break;
      if (keeper->now_ms - group->changed_ms >= OFFER_FROM_MS)
        add_offer (keeper, offers, group);
    }
  send_offers (keeper, offers);
}

/* Begins another pass over all groups if the keepers that hold copies have
   changed, or did a short time ago, as offers may be lost.  Returns whether
   there are groups left to look at.  */
static bool
begin_pass (struct conversation_keeper *keeper)
{
  struct turn_offer_pass *pass = &keeper->offer_pass;

  if (pass->generation != keeper->generation)
    {
      pass->generation = keeper->generation;
      pass->until_ms = keeper->now_ms + OFFER_UNTIL_MS;
    }
  else if (pass->is_active)
    return true;
  else if (keeper->now_ms >= pass->until_ms
           || keeper->now_ms - pass->begun_ms < OFFER_INTERVAL_MS)
    return false;
  pass->is_active = true;
  pass->begun_ms = keeper->now_ms;
  pass->next = 0;
  return true;
}

/* Offers groups to the keepers that have come to hold them because others are
   silent, leave, or are back.  Looks at a bounded number at a time.  */
static void
offer_moved_groups (struct conversation_keeper *keeper)
{
  struct turn_offer_pass *pass = &keeper->offer_pass;
  struct state_list *offers;

  if (keeper->remote_count == 0 || !begin_pass (keeper))
    return;
  offers = create_offers (keeper);
  for (int i = 0; i < OFFER_STEP && pass->is_active; i++)
    {
      struct turn_group *group
          = turn_index_next_group (&keeper->index, pass->next);

      pass->is_active = group != NULL;
      if (!group)
        break;
      pass->next = group->id;
      add_offer (keeper, offers, group);
    }
  send_offers (keeper, offers);
}

/* Probes the other keepers, reads their lists and the groups that this one
   lacks, and offers them its own.  */
void
keeper_repair_tick (struct conversation_keeper *keeper)
{
  accrue_credit (keeper);
  probe_remotes (keeper);
  if (!keeper->is_loaded)
    return;
  request_pages (keeper);
  request_groups (keeper);
  offer_changed_groups (keeper);
  offer_moved_groups (keeper);
  keeper_repair_check_complete (keeper);
}

/* Sends GROUP to those of its keepers, once this host is gone, that are not
   known to have it.  Returns whether there are any.  */
static bool
hand_group_over (struct conversation_keeper *keeper, struct turn_group *group)
{
  struct turn_hand_over *hand_over = &keeper->hand_over;
  const struct keeper_replicas *replicas = group_replicas (keeper, group);
  bool may_send = hand_over->in_flight < HAND_OVER_MAX
                  && (group->sent_ms == 0
                      || keeper->now_ms - group->sent_ms >= GROUP_RETRY_MS);
  bool is_missing = false;

  for (uint32_t i = 0; i < replicas->count; i++)
    {
      uint32_t remote = replicas->keepers[i];

      if ((group->holders & holder_bit (remote)) != 0)
        continue;
      is_missing = true;
      if (!may_send)
        continue;
      group->sent_ms = hand_over->last_sent_ms = keeper->now_ms;
      hand_over->in_flight++;
      keeper_send_group (keeper, keeper->remotes[remote].name, group->id,
                         hand_over_id (group));
    }
  return is_missing;
}

/* Whether a turn may have come since the sweep began.  Where all keepers store
   all turns, hosts wait for the others anyway.  */
static bool
has_changed_in_sweep (const struct conversation_keeper *keeper)
{
  const struct turn_group *newest = keeper->index.by_change.tail
                                        ? keeper->index.by_change.tail->data
                                        : NULL;

  return keeper->pending_appends > 0
         || (newest && newest->changed_ms >= keeper->hand_over.sweep_ms
             && keeper->remote_count >= keeper->set.wanted);
}

/* Looks at up to STEP groups.  After the last one, begins again unless all are
   held elsewhere.  */
static void
continue_hand_over (struct conversation_keeper *keeper, uint32_t step)
{
  struct turn_hand_over *hand_over = &keeper->hand_over;

  if (hand_over->in_flight > 0
      && keeper->now_ms - hand_over->last_sent_ms >= GROUP_RETRY_MS)
    hand_over->in_flight = 0;
  for (uint32_t i = 0; i < step; i++)
    {
      struct turn_group *group
          = turn_index_next_group (&keeper->index, hand_over->next);

      if (!group)
        {
          if (hand_over->is_missing || has_changed_in_sweep (keeper))
            begin_sweep (keeper);
          else
            hand_over->is_done = true;
          return;
        }
      hand_over->next = group->id;
      if (group->durable_turns > 0 && hand_group_over (keeper, group))
        hand_over->is_missing = true;
    }
}

/* Tells the present keepers that all groups have been handed over.  Returns
   whether all of them know.  */
static bool
announce_retirement (struct conversation_keeper *keeper)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__TurnGroup notice = PEER__TURN_GROUP__INIT;
  bool is_known = true;

  notice.id = RETIREMENT_ID;
  frame.body_case = PEER__FRAME__BODY_TURN_GROUP;
  frame.turn_group = &notice;
  for (size_t i = 0; i < keeper->remote_count; i++)
    {
      struct turn_remote *remote = &keeper->remotes[i];

      if (remote->is_silent || remote->knows_retirement)
        continue;
      is_known = false;
      if (remote->last_notice_ms != 0
          && keeper->now_ms - remote->last_notice_ms < REQUEST_RETRY_MS)
        continue;
      remote->last_notice_ms = keeper->now_ms;
      keeper_send (keeper, remote->name, &frame);
    }
  return is_known;
}

static void
begin_hand_over (struct conversation_keeper *keeper)
{
  log_write (LOG_INFO, "conversations", NULL,
             "handing %d groups over to the other keepers",
             g_tree_nnodes (keeper->index.groups));
  keeper->hand_over.is_active = true;
  keeper->hand_over.begun_ms = keeper->now_ms;
  keeper->hand_over.alone_since_ms = keeper->now_ms;
  update_placement (keeper, false);
  /* Their lists tell what they have already, and the questions for these that
     this host is about to stop.  */
  forget_holders (keeper, UINT64_MAX);
  for (size_t i = 0; i < keeper->remote_count; i++)
    {
      clear_wants (keeper, &keeper->remotes[i]);
      restart_list (&keeper->remotes[i]);
    }
  request_pages (keeper);
}

/* Whether the list of a present keeper is still awaited.  */
static bool
is_awaiting_lists (const struct conversation_keeper *keeper)
{
  if (keeper->now_ms - keeper->hand_over.begun_ms >= LISTS_WAIT_MS)
    return false;
  for (uint32_t i = 0; i < keeper->remote_count; i++)
    if (is_present (&keeper->remotes[i]) && !keeper->remotes[i].is_listed)
      return true;
  return false;
}

/* Sends every group to the keepers that hold it without this one.  Returns
   true once they have acknowledged all groups as written to disk.  */
static bool
hand_groups_over (struct conversation_keeper *keeper, int64_t now_ms)
{
  struct turn_hand_over *hand_over = &keeper->hand_over;

  if (!keeper->is_loaded || !keeper->has_list)
    return false;
  keeper->now_ms = now_ms;
  if (!hand_over->is_active)
    begin_hand_over (keeper);
  if (is_awaiting_lists (keeper))
    return false;
  if (keeper->remote_count > 0 && keeper->placement.count == 0)
    return false;
  if (hand_over->generation != keeper->generation
      || (hand_over->is_done && has_changed_in_sweep (keeper)))
    begin_sweep (keeper);
  if (!hand_over->is_done)
    continue_hand_over (keeper, HAND_OVER_STEP);
  return hand_over->is_done;
}

/* Hands all groups over, so that this host can be retired.  Returns true once
   the others have them on disk and know it.  To be called again and again,
   beside the ticks.  */
bool
conversation_keeper_hand_over (struct conversation_keeper *keeper,
                               int64_t now_ms)
{
  return hand_groups_over (keeper, now_ms) && announce_retirement (keeper);
}

/* Hands all groups over before the process stops, as it may not come back.
   Returns true once the others have them on disk, or no other keeper would
   take them.  To be called again and again, beside the ticks.  */
bool
conversation_keeper_leave (struct conversation_keeper *keeper, int64_t now_ms)
{
  struct turn_hand_over *hand_over = &keeper->hand_over;
  bool has_nothing = keeper->is_loaded && keeper->index.turn_count == 0
                     && keeper->pending_appends == 0;

  if (has_nothing || !keeper->has_list || hand_groups_over (keeper, now_ms))
    return true;
  if (keeper->placement.count > 0)
    hand_over->alone_since_ms = now_ms;
  return hand_over->is_active
         && now_ms - hand_over->alone_since_ms >= ALONE_MS;
}
