/* A callback that runs at the end of the current loop iteration. */
#ifndef GALENA_COMMON_DEFERRED_H
#define GALENA_COMMON_DEFERRED_H

#include <ev.h>

typedef void deferred_handler (void *data);

/* Owned by its user.  Its address must not change while it is in use. */
struct deferred
{
  struct ev_loop *loop;
  ev_prepare watcher; /* never started; events are fed to it */
  deferred_handler *handle;
  void *data;
};

void deferred_init (struct deferred *deferred, struct ev_loop *loop,
                    deferred_handler *handle, void *data);
void deferred_schedule (struct deferred *deferred);
void deferred_cancel (struct deferred *deferred);

#endif
