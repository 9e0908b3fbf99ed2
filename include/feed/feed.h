/* Passes the platform's objects on between hosts.

   In each data centre one entry host follows the store and tells the others
   (policy/lead.h).  A host that the store does not answer asks any other host,
   at its start the seeds.  */
#ifndef GALENA_FEED_FEED_H
#define GALENA_FEED_FEED_H

#include "common/fields.h"
#include "feed/table.h"
#include "peer/peer.pb-c.h"
#include <ev.h>

struct feed;

/* Where another host is. */
struct feed_host
{
  const char *name;
  const char *data_centre;
  bool is_entry;
};

struct feed_options
{
  struct ev_loop *loop;
  const char *host;            /* this one's name; outlives the feed */
  const char *data_centre;     /* outlives the feed */
  bool may_lead;               /* entry hosts may */
  const struct strings *seeds; /* hosts to ask while none is known */
  void (*send) (void *data, const char *host, const Peer__Frame *frame);
  /* This host is to follow the store itself, or not any more. */
  void (*handle_follow) (void *data, bool follows);
  void *data;
};

struct feed *feed_create (const struct feed_options *options);
void feed_destroy (struct feed *feed);
void feed_add (struct feed *feed, struct table *table);
void feed_set_hosts (struct feed *feed, const struct feed_host *hosts,
                     size_t count);
void feed_note_store (struct feed *feed, bool answers);
void feed_handle_frame (struct feed *feed, const char *host,
                        const Peer__Frame *frame);

#endif
