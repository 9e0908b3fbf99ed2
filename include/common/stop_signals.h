/* Holds signals back until a process can handle them. */
#ifndef GALENA_COMMON_STOP_SIGNALS_H
#define GALENA_COMMON_STOP_SIGNALS_H

void stop_signals_block (void);
void stop_signals_unblock (void);

#endif
