/* A TCP proxy on the loopback that can spoil what passes through it. */
#ifndef GALENA_SOAK_PROXY_H
#define GALENA_SOAK_PROXY_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

enum proxy_fault
{
  PROXY_NONE,
  PROXY_DELAY,         /* bytes wait for some time */
  PROXY_RESET,         /* connections are reset, new ones too */
  PROXY_DROP_REQUESTS, /* bytes towards the target are lost */
  PROXY_DROP_ANSWERS,  /* bytes from the target are lost */
  PROXY_SILENT,        /* nothing passes, nothing is closed */
  PROXY_FAULTS,
};

struct proxy;

struct proxy *proxy_create (struct ev_loop *loop, uint16_t port,
                            uint16_t target_port);
void proxy_destroy (struct proxy *proxy);
void proxy_set_fault (struct proxy *proxy, enum proxy_fault fault);
const char *proxy_fault_name (enum proxy_fault fault);

#endif
