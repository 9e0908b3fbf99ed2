/* State that the parts of the keeper of conversations share.  Only they
   include this: conversation/keeper.c, which stores and reads turns, and
   conversation/keeper_repair.c, which exchanges groups with other keepers. */
#ifndef GALENA_CONVERSATION_KEEPER_STATE_H
#define GALENA_CONVERSATION_KEEPER_STATE_H

#include "conversation/keeper.h"
#include "conversation/turn.h"
#include "conversation/turn_index.h"

/* Another keeper's group that this one lacks, or lacks a turn of. */
struct turn_want
{
  uint64_t key; /* of the state, for duplicates among the lists of several */
  uint64_t group;
  uint64_t digest;
  int64_t asked_ms; /* 0: not yet */
};

/* State of another keeper. */
struct turn_remote
{
  char *name;
  uint64_t page_after;     /* the next page of its list starts after this */
  int64_t last_request_ms; /* for a page; 0: none */
  bool is_awaiting_page;   /* a request for a page is unanswered */
  bool ignores_page;       /* the next page answers an earlier request */
  bool is_listed;          /* its list was read since it was last silent */
  bool is_silent;
  bool is_leaving;       /* it hands its groups over and then stops */
  bool has_retired;      /* it has handed over all of its groups */
  bool knows_retirement; /* it has acknowledged that this host has */
  int64_t last_notice_ms;
  GQueue wants;   /* struct turn_want, asked ones first */
  uint32_t asked; /* of the wants */
};

/* Hand-over of this host's groups to the others. */
struct turn_hand_over
{
  bool is_active;
  int64_t begun_ms;
  int64_t alone_since_ms; /* when another keeper was last present */
  uint64_t generation;    /* of the placement that the sweep goes by */
  uint64_t next;          /* the sweep goes on after this group */
  int64_t sweep_ms;       /* when it began */
  bool is_missing;        /* a group of this sweep is not held elsewhere */
  bool is_done;           /* a whole sweep has found none */
  uint32_t in_flight;     /* groups sent and not acknowledged */
  int64_t last_sent_ms;
};

/* The keepers that hold copies: those that would answer now, without this host
   once it hands its groups over. */
struct turn_placement
{
  uint32_t *keepers; /* indexes of remotes; this host follows them */
  struct replica_host *hosts;
  uint32_t count;
};

/* A pass over all groups, which offers them to keepers that lack them. */
struct turn_offer_pass
{
  bool is_active;
  uint64_t generation; /* of the placement */
  uint64_t next;       /* the pass goes on after this group */
  int64_t begun_ms;
  int64_t until_ms; /* passes are repeated */
};

struct conversation_keeper
{
  struct conversation_keeper_options options;
  struct turn_index index;
  int64_t now_ms;     /* of the last tick */
  int64_t started_ms; /* first tick; 0 before */
  bool is_stopped;    /* nothing new is begun, see destroy */

  /* Loading. */
  GQueue *unloaded; /* names of programs of the store */
  uint32_t loading; /* being read */
  bool is_loaded;
  bool has_marker;
  char *marked_others; /* the list of keepers as of the marker */

  /* Certainty, see keeper_is_certain. */
  bool is_complete; /* it has lost nothing that it acknowledged */
  bool has_list;
  int64_t uncertain_until_ms; /* a keeper left without being retired */
  uint32_t retention_s;       /* the longest one asked for; 0: none yet */

  /* Appends and reads of the store. */
  uint64_t pending_bytes;
  uint32_t pending_appends;
  uint32_t fetches;
  uint64_t fetch_bytes;  /* of the groups that are read */
  uint32_t waiters;      /* for fetches */
  int64_t full_until_ms; /* a write failed a short time ago */
  int64_t last_full_log_ms;

  /* Other keepers. */
  struct keeper_set set; /* this host follows the others */
  struct turn_placement placement;
  uint64_t generation; /* of the placement */
  struct turn_remote *remotes;
  size_t remote_count;
  GHashTable *wanted; /* keys of all wants */
  int64_t last_probe_ms;
  int64_t last_offer_ms;
  struct turn_offer_pass offer_pass;
  int64_t restore_credit; /* bytes that may be asked for */
  int64_t restore_credit_ms;
  struct turn_hand_over hand_over;
};

/* A group from another keeper whose turns are being written. */
struct group_receipt
{
  struct conversation_keeper *keeper;
  char *host;
  uint64_t id; /* of a hand-over, or 0 */
  uint64_t group;
  uint32_t remaining;
  bool is_kept;
  bool has_turns; /* else the sender has the group no more */
};

void keeper_store_copy (struct conversation_keeper *keeper,
                        const Peer__TurnWrite *write,
                        struct group_receipt *receipt);
void keeper_send_group (struct conversation_keeper *keeper, const char *host,
                        uint64_t group, uint64_t id);
void keeper_send (struct conversation_keeper *keeper, const char *host,
                  const Peer__Frame *frame);
void keeper_write_marker (struct conversation_keeper *keeper);
int64_t keeper_retention_ms (const struct conversation_keeper *keeper);
bool keeper_is_busy (const struct conversation_keeper *keeper);

void keeper_repair_release (struct conversation_keeper *keeper);
void keeper_repair_handle_frame (struct conversation_keeper *keeper,
                                 const char *host, const Peer__Frame *frame);
void keeper_repair_tick (struct conversation_keeper *keeper);
void keeper_repair_check_list (struct conversation_keeper *keeper);
void keeper_repair_check_complete (struct conversation_keeper *keeper);
void keeper_repair_finish_receipt (struct group_receipt *receipt);

#endif
