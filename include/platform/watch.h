/* Keeps a table up to date with the objects of one kind in the platform's
   store. */
#ifndef GALENA_PLATFORM_WATCH_H
#define GALENA_PLATFORM_WATCH_H

#include "feed/table.h"
#include "platform/store_client.h"
#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

struct watch;

struct watch_options
{
  struct ev_loop *loop;
  struct store_client *store;
  struct table *table; /* receives the objects; outlives the watch */
  int64_t wait_ms; /* how long the store may hold a watch call for changes */
  /* The first list waits until the watch is active: at the first start of all
     hosts, most get the objects from the leader. */
  bool waits_for_leader;
  /* While this other watch fails, too, only it calls the store.  May be NULL.
   */
  struct watch *guide;
  /* The store became unreachable or reachable again. */
  void (*handle_reachability) (void *data);
  /* A call succeeded.  May be NULL. */
  void (*handle_reply) (void *data);
  void *data;
};

struct watch *watch_create (const struct watch_options *options);
void watch_destroy (struct watch *watch);
void watch_set_active (struct watch *watch, bool active);
void watch_release (struct watch *watch);
void watch_confirm_current (struct watch *watch);
bool watch_is_unreachable (const struct watch *watch);

#endif
