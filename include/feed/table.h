/* A local copy of the objects of one kind in the platform's store, received
   from the store or from another host.

   Changes are made with table_put, table_remove and table_retain, and
   completed with table_commit. */
#ifndef GALENA_FEED_TABLE_H
#define GALENA_FEED_TABLE_H

#include "common/buf.h"
#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Owned by its table. */
struct table_entry
{
  char *name;
  int64_t revision;  /* of its last change */
  json_t *object;    /* NULL if it is packed */
  struct buf packed; /* the compressed text of a large object */
  size_t text_bytes; /* of it */
  bool is_missing;   /* missing in the store; removed after the grace period */
};

struct table;

struct table_options
{
  struct ev_loop *loop;
  const char *kind; /* outlives the table */
  /* Grace period after the store has recovered, during which entries that are
     missing there are kept; 0 to remove them immediately. */
  int64_t grace_ms;
  /* Objects whose parsed tree would be larger are not read; 0 for
     OBJECT_MAX_TREE_BYTES. */
  size_t max_tree_bytes;
  /* Large objects are packed by table_pack.  Only for a kind whose handlers do
     not look at objects again once the set of changes is complete. */
  bool packs_objects;
  /* Called for each change; OBJECT is the last known one if it was removed, or
     NULL if that was large.  May be NULL. */
  void (*handle_object) (void *data, const char *name, json_t *object,
                         bool removed);
  /* Called when a set of changes is complete. */
  void (*handle_commit) (void *data);
  void *data;
};

/* The objects that changed between two revisions.  Valid during the call of
   the listener. */
struct table_change
{
  int64_t base;     /* the revision before the changes */
  bool is_complete; /* the whole content was read; changes before the base are
                       not known */
  const GPtrArray *names; /* char *, of the changed objects */
};

/* Called at each commit, to forward the changes. */
typedef void table_listener (void *data, struct table *table,
                             const struct table_change *change);

struct table *table_create (const struct table_options *options);
void table_destroy (struct table *table);
void table_set_listener (struct table *table, table_listener *listener,
                         void *data);
const char *table_kind (const struct table *table);
size_t table_max_tree_bytes (const struct table *table);
void table_put (struct table *table, const char *name, int64_t revision,
                json_t *object);
void table_pack (struct table *table);
void table_remove (struct table *table, const char *name, int64_t revision);
void table_retain (struct table *table, GHashTable *names);
void table_commit (struct table *table, int64_t revision, int64_t as_of_ms,
                   bool is_complete);
void table_start_grace_period (struct table *table);
bool table_is_loaded (const struct table *table);
int64_t table_revision (const struct table *table);
uint64_t table_generation (const struct table *table);
int64_t table_as_of_ms (const struct table *table);
uint32_t table_count (const struct table *table);
const struct table_entry *table_find (const struct table *table,
                                      const char *name);
bool table_entry_is_larger (const struct table_entry *entry,
                            size_t limit_bytes);
char *table_entry_text (const struct table_entry *entry, size_t *len);
GPtrArray *table_entries (const struct table *table);

#endif
