/* What a request keeps of the version of the configuration by which it runs,
   so that the version itself can be freed before the request ends.  */
#ifndef GALENA_REQUEST_CHOSEN_ROUTE_H
#define GALENA_REQUEST_CHOSEN_ROUTE_H

#include "request/routing.h"

/* One allocation with all that its members point to. */
struct chosen_route
{
  int64_t version;    /* of the configuration */
  struct route route; /* without its host and path prefix, which are NULL */
  struct service *services; /* of its targets, which have indexes into it */
  struct customer customer; /* its name is NULL if there is none */
  size_t bytes;             /* as accounted */
};

/* What a later configuration makes of what a request is. */
enum chosen_route_change
{
  CHOSEN_ROUTE_SAME,
  CHOSEN_ROUTE_GONE,        /* no route matches */
  CHOSEN_ROUTE_KEY_UNKNOWN, /* the route needs a key that belongs to nobody */
  CHOSEN_ROUTE_CHANGED,     /* another customer, or a route of another kind */
};

struct chosen_route *chosen_route_create (const struct routing *routing,
                                          const struct route *route,
                                          const struct customer *customer);
enum chosen_route_change
chosen_route_compare (const struct chosen_route *chosen,
                      const struct route *route,
                      const struct customer *customer);
bool chosen_route_has_targets (const struct chosen_route *chosen,
                               const struct routing *routing,
                               const struct route *route);
void chosen_route_destroy (struct chosen_route *chosen);

#endif
