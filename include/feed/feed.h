/* Replicates the platform's objects between hosts.

   One entry host, the leader, follows the store: it watches the store for
   changes and sends them as updates to its data centre and to relays in the
   others (policy/leader.h).  Its beacons tell a few times per second which
   state of the objects is current.  A host that cannot reach the store
   requests updates from other hosts, or from the seeds while it knows no
   hosts.  */
#ifndef GALENA_FEED_FEED_H
#define GALENA_FEED_FEED_H

#include "common/fields.h"
#include "feed/table.h"
#include "peer/peer.pb-c.h"
#include <ev.h>

struct feed;

/* Name, location and role of a host. */
struct feed_host
{
  const char *name;
  const char *data_centre;
  bool is_entry;
};

struct feed_options
{
  struct ev_loop *loop;    /* NULL if the caller calls feed_tick */
  const char *host;        /* name of this host; outlives the feed */
  const char *data_centre; /* outlives the feed */
  bool may_lead; /* this host may become the leader; set on entry hosts */
  /* Age at which state is stale, and the leader is replaced. */
  int64_t stale_ms;
  const struct strings *seeds; /* hosts to ask while no other is known */
  void (*send) (void *data, const char *host, const Peer__Frame *frame);
  /* Sends a large frame, one at a time to a host.  feed_handle_sent must be
     called once it has left this host or is lost.  Returns false if it cannot
     be sent. */
  bool (*send_bulk) (void *data, const char *host, const Peer__Frame *frame);
  size_t max_bulk_bytes; /* of such frames on their way; 0 for the default */
  /* Called when this host must start or stop following the store. */
  void (*handle_follow) (void *data, bool follows);
  int64_t (*now_ms) (void *data); /* NULL for the clock */
  void *data;
};

struct feed *feed_create (const struct feed_options *options);
void feed_destroy (struct feed *feed);
void feed_add_table (struct feed *feed, struct table *table);
void feed_set_hosts (struct feed *feed, const struct feed_host *hosts,
                     size_t count);
void feed_set_store_reachable (struct feed *feed, bool is_reachable);
int64_t feed_interval_ms (const struct feed *feed);
void feed_tick (struct feed *feed);
void feed_handle_sent (struct feed *feed, const char *host);
void feed_handle_frame (struct feed *feed, const char *host,
                        const Peer__Frame *frame);

#endif
