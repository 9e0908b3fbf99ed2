#include "common/deferred.h"

static void
handle_event (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  struct deferred *deferred = watcher->data;

  deferred->handle (deferred->data);
}

/* Initialises DEFERRED to call HANDLE on LOOP.  It has the lowest priority, so
   that it runs after all I/O that is ready in the same iteration.  */
void
deferred_init (struct deferred *deferred, struct ev_loop *loop,
               deferred_handler *handle, void *data)
{
  deferred->loop = loop;
  deferred->handle = handle;
  deferred->data = data;
  ev_prepare_init (&deferred->watcher, handle_event);
  ev_set_priority (&deferred->watcher, EV_MINPRI);
  deferred->watcher.data = deferred;
}

/* Schedules one call of the handler in the current loop iteration, however
   often it is scheduled.  The handler may schedule itself again.  */
void
deferred_schedule (struct deferred *deferred)
{
  ev_feed_event (deferred->loop, &deferred->watcher, EV_CUSTOM);
}

/* Cancels a pending call of the handler.  */
void
deferred_cancel (struct deferred *deferred)
{
  ev_clear_pending (deferred->loop, &deferred->watcher);
}
