#include "common/deferred.h"

static void
handle_fed (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  struct deferred *deferred = watcher->data;

  deferred->handle (deferred->data);
}

/* Prepares DEFERRED to call HANDLE on LOOP.  The lowest priority makes it run
   behind all I/O that was ready in the same turn.  */
void
deferred_init (struct deferred *deferred, struct ev_loop *loop,
               deferred_handler *handle, void *data)
{
  deferred->loop = loop;
  deferred->handle = handle;
  deferred->data = data;
  ev_prepare_init (&deferred->watcher, handle_fed);
  ev_set_priority (&deferred->watcher, EV_MINPRI);
  deferred->watcher.data = deferred;
}

/* Calls the handler once in this turn of the loop; from inside the handler,
   once more.  */
void
deferred_schedule (struct deferred *deferred)
{
  ev_feed_event (deferred->loop, &deferred->watcher, EV_CUSTOM);
}

/* Takes back a call that is still to come.  */
void
deferred_release (struct deferred *deferred)
{
  ev_clear_pending (deferred->loop, &deferred->watcher);
}
