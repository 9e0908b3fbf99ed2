/* Updates of a table that one host sends to another: the objects that changed
   after a base revision, and with complete ones the names of all objects. */
#ifndef GALENA_FEED_UPDATE_H
#define GALENA_FEED_UPDATE_H

#include "common/buf.h"
#include "feed/table.h"
#include "peer/peer.pb-c.h"

/* An update that is being built.  It borrows names from the table, which must
   not change meanwhile. */
struct update
{
  Peer__FeedUpdate message;
  Peer__FeedState state;
  GPtrArray *objects; /* Peer__FeedObject */
  GPtrArray *names;   /* of all objects, in complete updates */
};

/* A complete update, compressed, which is sent to all hosts that lack the same
   objects.  Owned by the feed. */
struct payload
{
  struct buf deflated;
  size_t inflated_bytes;
  uint64_t generation; /* of the table; 0 for no payload */
  int64_t base;
};

void update_fill_state (Peer__FeedState *state, const struct table *table,
                        int64_t now_ms);
void update_init (struct update *update, const struct table *table,
                  int64_t base, int64_t now_ms);
void update_release (struct update *update);
void update_add (struct update *update, const struct table_entry *entry);
void update_add_removed (struct update *update, const char *name);
void update_add_names (struct update *update, const struct table *table);
void update_add_changed (struct update *update, const struct table *table);
size_t update_bytes (const struct update *update);
void update_to_frame (struct update *update, Peer__Frame *frame);

int64_t update_base (const struct table *table, int64_t revision);
bool payload_is_current (const struct payload *payload,
                         const struct table *table, int64_t base);
void payload_set (struct payload *payload, struct update *update,
                  const struct table *table);
void payload_release (struct payload *payload);
Peer__FeedUpdate *payload_inflate (const uint8_t *deflated, size_t len,
                                   size_t inflated_bytes);

#endif
