/* A configuration as wide as that of a grown deployment. */
#ifndef GALENA_TEST_WIDE_ROUTING_H
#define GALENA_TEST_WIDE_ROUTING_H

#include "request/routing.h"

/* What a version has beside the routes that a test adds. */
struct wide_size
{
  int64_t version;
  uint32_t routes; /* one a host, each with two targets */
  uint32_t services;
  uint32_t customers; /* each with a key */
};

struct routing *wide_routing_create (const struct wide_size *size);
void wide_routing_add (struct routing *routing, const struct route *route);

#endif
