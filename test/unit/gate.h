/* Stands between one host and one endpoint, and cuts them off from each
   other.  */
#ifndef GALENA_TEST_GATE_H
#define GALENA_TEST_GATE_H

#include <ev.h>
#include <stdint.h>

enum gate_mode
{
  GATE_OPEN,
  GATE_HANG,          /* nothing passes, new connections are not answered */
  GATE_RESET,         /* open connections are reset, new ones refused */
  GATE_KEEP,          /* open connections live on, new ones are refused */
  GATE_ONE_WAY,       /* requests pass, responses and new connections do not */
  GATE_ACCEPT_RESET,  /* open connections are reset, new ones accepted and
                         then reset */
  GATE_ACCEPT_SILENT, /* connections are accepted, requests read and lost */
  GATE_KEEP_SILENT,   /* open connections live on, new ones as above */
};

struct gate;

struct gate *gate_create (struct ev_loop *loop, uint16_t endpoint_port);
void gate_destroy (struct gate *gate);
uint16_t gate_port (const struct gate *gate);
void gate_set_mode (struct gate *gate, enum gate_mode mode);

#endif
