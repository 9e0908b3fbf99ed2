#include "request/chosen_route.h"
#include "common/buf.h"
#include "common/memory.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

static size_t
count_bytes (const struct routing *routing, const struct route *route,
             const struct customer *customer)
{
  size_t bytes = sizeof (struct chosen_route) + strlen (route->name) + 1
                 + route->target_count
                       * (sizeof (struct service) + sizeof *route->targets);

  for (uint32_t i = 0; i < route->target_count; i++)
    bytes += strlen (routing->services[route->targets[i].service].name) + 1;
  if (customer)
    bytes += strlen (customer->name) + 1;
  return bytes;
}

/* Copies TEXT to *END and moves *END behind it.  Returns the copy.  */
static char *
append_text (char **end, const char *text)
{
  char *copy = *end;
  size_t size = strlen (text) + 1;

  memcpy (copy, text, size);
  *end += size;
  return copy;
}

/* Returns copies of ROUTE of ROUTING, of its targets' services and of
   CUSTOMER, which may be NULL.  */
struct chosen_route *
chosen_route_create (const struct routing *routing, const struct route *route,
                     const struct customer *customer)
{
  size_t bytes = count_bytes (routing, route, customer);
  struct chosen_route *chosen = xcalloc (1, bytes);
  char *end;

  chosen->version = routing->version;
  chosen->bytes = bytes;
  chosen->services = (struct service *)(chosen + 1);
  chosen->route = *route;
  chosen->route.host = NULL;
  chosen->route.path_prefix = NULL;
  chosen->route.targets
      = (struct route_target *)(chosen->services + route->target_count);
  end = (char *)(chosen->route.targets + route->target_count);
  chosen->route.name = append_text (&end, route->name);
  for (uint32_t i = 0; i < route->target_count; i++)
    {
      chosen->services[i] = routing->services[route->targets[i].service];
      chosen->services[i].name = append_text (&end, chosen->services[i].name);
      chosen->route.targets[i]
          = (struct route_target){ .service = i,
                                   .weight = route->targets[i].weight };
    }
  if (customer)
    {
      chosen->customer = *customer;
      chosen->customer.name = append_text (&end, customer->name);
    }
  memory_add (MEMORY_CONFIG, (int64_t)bytes);
  return chosen;
}

/* Compares what a request is by CHOSEN and by ROUTE and CUSTOMER, NULL for
   none, of a later configuration: what was read for the request, and may be
   done with it, depends on these.  */
enum chosen_route_change
chosen_route_compare (const struct chosen_route *chosen,
                      const struct route *route,
                      const struct customer *customer)
{
  const struct route *own = &chosen->route;

  if (g_strcmp0 (chosen->customer.name, customer ? customer->name : NULL) != 0
      || own->is_open != route->is_open || own->retry_mode != route->retry_mode
      || own->resumable != route->resumable || own->retained != route->retained
      || own->retention_s != route->retention_s)
    return CHOSEN_ROUTE_CHANGED;
  return CHOSEN_ROUTE_SAME;
}

/* Whether ROUTE of ROUTING has the targets of CHOSEN.  */
bool
chosen_route_has_targets (const struct chosen_route *chosen,
                          const struct routing *routing,
                          const struct route *route)
{
  const struct route *own = &chosen->route;

  if (own->target_count != route->target_count)
    return false;
  for (uint32_t i = 0; i < own->target_count; i++)
    if (own->targets[i].weight != route->targets[i].weight
        || strcmp (chosen->services[i].name,
                   routing->services[route->targets[i].service].name)
               != 0)
      return false;
  return true;
}

/* Frees CHOSEN, which may be NULL.  */
void
chosen_route_destroy (struct chosen_route *chosen)
{
  if (!chosen)
    return;
  memory_add (MEMORY_CONFIG, -(int64_t)chosen->bytes);
  free (chosen);
}
