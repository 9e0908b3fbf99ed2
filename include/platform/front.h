/* HTTP frontend for callers, in the platform's request format. */
#ifndef GALENA_PLATFORM_FRONT_H
#define GALENA_PLATFORM_FRONT_H

#include "common/httpd.h"
#include "request/request.h"

struct front;

struct front_options
{
  struct ev_loop *loop;
  struct pipeline *pipeline;
  const char *listen; /* "IP:port" */
  uint32_t max_connections;
};

struct front *front_create (const struct front_options *options,
                            struct error *error);
void front_destroy (struct front *front);
void front_announce_close (struct front *front);
void front_stop_listening (struct front *front);

#endif
