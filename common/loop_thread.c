#include "common/loop_thread.h"
#include <string.h>

static void *
run (void *data)
{
  ev_run (data, 0);
  return NULL;
}

/* Runs LOOP, which outlives it, on a new thread until the loop is broken.
   NAME tells it apart in ERROR, where it cannot be started.  */
bool
loop_thread_start (struct loop_thread *thread, struct ev_loop *loop,
                   const char *name, struct error *error)
{
  int problem = pthread_create (&thread->thread, NULL, run, loop);

  thread->is_running = problem == 0;
  if (thread->is_running)
    return true;
  error_set (error, ERROR_INTERNAL, RUN_NOT_RUN,
             "cannot start the %s thread: %s; raise the process limit", name,
             strerror (problem));
  return false;
}

/* Waits for the thread, whose loop has been told to break.  */
void
loop_thread_join (struct loop_thread *thread)
{
  if (thread->is_running)
    pthread_join (thread->thread, NULL);
  thread->is_running = false;
}
