/* Follows the objects of one kind in the platform's store. */
#ifndef GALENA_PLATFORM_WATCH_H
#define GALENA_PLATFORM_WATCH_H

#include "platform/store.h"
#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

struct watch;

struct watch_options
{
  struct ev_loop *loop;
  struct platform_store *store;
  const char *kind;
  int64_t wait_ms; /* a call waits so long for changes */
  /* OBJECT is the last known one where it was removed. */
  void (*handle_object) (void *data, const char *name, json_t *object,
                         bool removed);
  /* All that is in the store has been handled. */
  void (*handle_current) (void *data);
  /* The store stopped answering, or answers again. */
  void (*handle_reach) (void *data, bool answers);
  void *data;
};

struct watch *watch_create (const struct watch_options *options);
void watch_destroy (struct watch *watch);
bool watch_is_current (const struct watch *watch);

#endif
