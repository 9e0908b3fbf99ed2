/* A TCP proxy on the loopback interface that injects network faults. */
#ifndef GALENA_SOAK_PROXY_H
#define GALENA_SOAK_PROXY_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

enum proxy_fault
{
  PROXY_NONE,
  PROXY_DELAY,          /* data is forwarded late */
  PROXY_RESET,          /* open connections are reset, new ones are closed */
  PROXY_DROP_REQUESTS,  /* data to the target is discarded */
  PROXY_DROP_RESPONSES, /* data from the target is discarded */
  PROXY_STALL,          /* nothing is forwarded, connections stay open */
  PROXY_FAULTS,
};

struct proxy;

struct proxy *proxy_create (struct ev_loop *loop, uint16_t port,
                            uint16_t target_port);
void proxy_destroy (struct proxy *proxy);
void proxy_set_fault (struct proxy *proxy, enum proxy_fault fault);
const char *proxy_fault_name (enum proxy_fault fault);

#endif
