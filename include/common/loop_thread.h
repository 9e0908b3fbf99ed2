/* A thread that runs an event loop. */
#ifndef GALENA_COMMON_LOOP_THREAD_H
#define GALENA_COMMON_LOOP_THREAD_H

#include "common/error.h"
#include <ev.h>
#include <pthread.h>
#include <stdbool.h>

/* A zero-initialised struct is a thread that is not running. */
struct loop_thread
{
  pthread_t thread;
  bool is_running;
};

bool loop_thread_start (struct loop_thread *thread, struct ev_loop *loop,
                        const char *name, struct error *error);
void loop_thread_join (struct loop_thread *thread);

#endif
