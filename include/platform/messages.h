/* Messages between the control thread and the traffic thread of a platform
   host. */
#ifndef GALENA_PLATFORM_MESSAGES_H
#define GALENA_PLATFORM_MESSAGES_H

#include "common/buf.h"
#include "common/fields.h"
#include "common/mailbox.h"
#include "peer/peer.pb-c.h"
#include "request/pool.h"
#include "request/routing.h"
#include <stdbool.h>
#include <stddef.h>

/* One host of this system, from the host list in the store. */
struct host_entry
{
  char *name;
  char *address; /* "IP:port" that other hosts connect to */
  char *data_centre;
  bool is_keeper; /* stores the ledger; other hosts are entry hosts */
};

struct host_list
{
  struct host_entry *entries;
  size_t count;
};

/* Bounds of the frames that wait for one of the two threads. */
enum
{
  NODE_FRAMES_MAX_BYTES = 1536 * 1024,
  /* Room beyond it for small frames: beacons and questions of the feed are
     passed on while updates wait, or other hosts would count as silent. */
  NODE_SMALL_FRAMES_BYTES = 256 * 1024,
  NODE_SMALL_FRAME_MAX_BYTES = 4 * 1024,
};

/* The first ones, up to NODE_HOSTS, replace a message of their kind that
   the thread has not taken yet; those that wait are handled in this order.  An
   endpoint list that is sent after evacuations so never arrives without. */
enum node_message_kind
{
  NODE_ROUTING,     /* apply this configuration */
  NODE_EVACUATIONS, /* apply this list of evacuated data centres */
  NODE_ENDPOINTS,   /* apply this endpoint list */
  NODE_HOSTS,       /* apply this host list */
  NODE_STOP,        /* start a graceful shutdown */
  NODE_HAND_OVER,   /* transfer the ledger to the other keepers */
  NODE_SEND,        /* send a frame to another host */
  NODE_QUIT,        /* exit the event loop */
};

/* From control to traffic.  Created by control, freed by traffic.  Pointers
   that the kind does not need are NULL. */
struct node_message
{
  enum node_message_kind kind;
  struct routing *routing;         /* owned */
  struct endpoint_list *endpoints; /* owned */
  struct host_list *hosts;         /* owned */
  struct strings data_centres;     /* owned */
  char *host;                      /* recipient of the frame; owned */
  struct buf frame;                /* packed Peer__Frame; owned */
  unsigned frame_kind;             /* number of the frame's body */
  bool is_bulk;                    /* report NODE_SENT once it is sent */
  size_t bytes;                    /* accounted, without routing */
};

enum node_event
{
  NODE_DRAINED,     /* no work left, or the grace period is nearly over */
  NODE_HANDED_OVER, /* the ledger is transferred */
  NODE_HOST_ABSENT, /* a host is absent; remove it from the host list */
  NODE_FRAME,       /* a frame from a host, for the control thread */
  NODE_SENT,        /* the last bulk frame to a host is sent or lost */
};

/* From traffic to control.  Created by traffic, freed by control. */
struct node_report
{
  enum node_event event;
  char *host;       /* the absent host or the frame's sender; owned */
  struct buf frame; /* packed Peer__Frame; owned */
  size_t bytes;     /* accounted */
};

/* What is logged of dropped frames. */
struct frame_drops
{
  uint64_t count; /* since the last log line */
  int64_t logged_ms;
};

void node_message_pack (struct buf *buf, const Peer__Frame *frame);
void host_list_destroy (struct host_list *list);
void node_message_account (struct node_message *message);
void node_report_account (struct node_report *report);
bool node_frame_post (struct mailbox *mailbox, void *message, size_t bytes);
void frame_drops_record (struct frame_drops *drops, const char *module,
                         int64_t now_ms);
void node_message_destroy (struct node_message *message);
void node_report_destroy (struct node_report *report);

#endif
