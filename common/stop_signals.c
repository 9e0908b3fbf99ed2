#include "common/stop_signals.h"
#include <signal.h>

static sigset_t
handled_signals (void)
{
  sigset_t signals;

  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  sigaddset (&signals, SIGHUP);
  return signals;
}

/* Holds back the signals that hosts handle: one that arrives before its
   handler is installed would end the process with the signal's status.  */
void
stop_signals_block (void)
{
  sigset_t signals = handled_signals ();

  pthread_sigmask (SIG_BLOCK, &signals, NULL);
}

/* Delivers the signals that were held back, and later ones at once.  Must be
   called by the thread that handles them, once their handlers are
   installed.  */
void
stop_signals_unblock (void)
{
  sigset_t signals = handled_signals ();

  pthread_sigmask (SIG_UNBLOCK, &signals, NULL);
}
