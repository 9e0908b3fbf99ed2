#include "wide_routing.h"
#include "common/buf.h"
#include <stdlib.h>

enum
{
  ADDED_ROUTES_MAX = 4,
  TARGETS = 2,
};

static void
fill_route (struct route *route, uint32_t number, uint32_t service_count)
{
  *route = (struct route){
    .name = xasprintf ("route-of-department-%u", number),
    .host = xasprintf ("department-%u.example.org", number),
    .path_prefix = xasprintf ("/v1/department/%u/", number),
    .retry_mode = ROUTE_ONCE,
    .is_open = true,
    .timeout_ms = 6000,
    .targets = xcalloc (TARGETS, sizeof *route->targets),
    .target_count = TARGETS,
  };
  for (uint32_t i = 0; i < TARGETS; i++)
    route->targets[i]
        = (struct route_target){ .service = (number + i) % service_count,
                                 .weight = 1 };
}

/* Returns a version of SIZE, for which routing_build_index has yet to be
   called.  Its first service is "app".  */
struct routing *
wide_routing_create (const struct wide_size *size)
{
  struct routing *routing = routing_create ();

  routing->version = size->version;
  routing->service_count = size->services;
  routing->services = xcalloc (size->services + 1, sizeof *routing->services);
  for (uint32_t i = 0; i < size->services; i++)
    routing->services[i]
        = (struct service){ .name = i == 0 ? xstrdup ("app")
                                           : xasprintf ("service-%u", i),
                            .tokens_per_event = 1 };
  routing->route_count = size->routes;
  routing->routes
      = xcalloc (size->routes + ADDED_ROUTES_MAX, sizeof *routing->routes);
  for (uint32_t i = 0; i < size->routes; i++)
    fill_route (&routing->routes[i], i, size->services);
  routing->customer_count = size->customers;
  routing->customers
      = xcalloc (size->customers + 1, sizeof *routing->customers);
  for (uint32_t i = 0; i < size->customers; i++)
    {
      char *key = xasprintf ("key-of-customer-%u", i);

      routing->customers[i]
          = (struct customer){ .name = xasprintf ("customer-%u", i),
                               .priority = -1,
                               .rate_milli = 1000 * 1000,
                               .burst = 100 };
      routing_add_key (routing, key, i);
      free (key);
    }
  return routing;
}

/* Adds a copy of ROUTE, of at most ADDED_ROUTES_MAX, whose only target is the
   first service.  */
void
wide_routing_add (struct routing *routing, const struct route *route)
{
  struct route *copy = &routing->routes[routing->route_count++];

  *copy = *route;
  copy->name = xstrdup (route->name);
  copy->host = xstrdup (route->host);
  copy->path_prefix = xstrdup (route->path_prefix);
  copy->targets = xcalloc (1, sizeof *copy->targets);
  copy->targets[0].weight = 1;
  copy->target_count = 1;
}
