#include "common/loop_thread.h"
#include <string.h>

static void *
run_loop (void *data)
{
  ev_run (data, 0);
  return NULL;
}

/* Runs LOOP on a new thread until ev_break.  LOOP must outlive the thread.
   Returns false and sets ERROR, which names the thread NAME, if the thread
   cannot be started.  */
bool
loop_thread_start (struct loop_thread *thread, struct ev_loop *loop,
                   const char *name, struct error *error)
{
  int problem = pthread_create (&thread->thread, NULL, run_loop, loop);

  thread->is_running = problem == 0;
  if (thread->is_running)
    return true;
  error_set (error, ERROR_INTERNAL, RUN_NOT_RUN,
             "cannot start the %s thread: %s; raise the process limit", name,
             strerror (problem));
  return false;
}

/* Waits for the thread to exit.  Its loop must have been told to break.  */
void
loop_thread_join (struct loop_thread *thread)
{
  if (thread->is_running)
    pthread_join (thread->thread, NULL);
  thread->is_running = false;
}
