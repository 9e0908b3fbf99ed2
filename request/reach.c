#include "request/reach.h"
#include "common/buf.h"
#include "common/fields.h"
#include "common/id.h"
#include "common/log.h"
#include "policy/silence.h"
#include <stdlib.h>
#include <string.h>

enum
{
  PROBED_HOSTS = 3, /* of a data centre at once */
};

struct data_centre
{
  char *name;
  struct strings hosts; /* names */
  size_t next;          /* host to ask first */
  struct failure_detector silence;
  bool reported_cut;
};

struct reach
{
  struct reach_options options;
  struct data_centre *list;
  size_t count;
};

/* Creates a view that knows no hosts.  */
struct reach *
reach_create (const struct reach_options *options)
{
  struct reach *reach = xcalloc (1, sizeof *reach);

  reach->options = *options;
  return reach;
}

/* Frees the view.  */
void
reach_destroy (struct reach *reach)
{
  if (!reach)
    return;
  for (size_t i = 0; i < reach->count; i++)
    {
      strings_release (&reach->list[i].hosts);
      free (reach->list[i].name);
    }
  free (reach->list);
  free (reach);
}

static struct data_centre *
find_centre (struct reach *reach, const char *name)
{
  struct data_centre *centre;

  for (size_t i = 0; i < reach->count; i++)
    if (strcmp (reach->list[i].name, name) == 0)
      return &reach->list[i];
  reach->list
      = xrealloc (reach->list, (reach->count + 1) * sizeof *reach->list);
  centre = &reach->list[reach->count++];
  *centre = (struct data_centre){ .name = xstrdup (name) };
  failure_detector_init (&centre->silence, clock_now_ms ());
  return centre;
}

/* Names all hosts of the system; this one is left out.  */
void
reach_set_hosts (struct reach *reach, const struct host_location *hosts,
                 size_t count)
{
  for (size_t i = 0; i < reach->count; i++)
    strings_release (&reach->list[i].hosts);
  for (size_t i = 0; i < count; i++)
    {
      if (strcmp (hosts[i].name, reach->options.host) == 0)
        continue;
      strings_add (&find_centre (reach, hosts[i].data_centre)->hosts,
                   hosts[i].name);
    }
}

static void
tick_centre (struct reach *reach, struct data_centre *centre, int64_t now_ms)
{
  for (size_t i = 0; i < centre->hosts.count; i++)
    failure_detector_record_heard (
        &centre->silence,
        mesh_last_received_ms (reach->options.mesh, centre->hosts.items[i]));
  if (!failure_detector_tick (&centre->silence, now_ms))
    return;
  for (size_t i = 0; i < centre->hosts.count && i < PROBED_HOSTS; i++)
    mesh_ping (reach->options.mesh,
               centre->hosts.items[centre->next++ % centre->hosts.count]);
}

/* Where the hosts beside this one are silent, too, it is this host that is cut
   off, and nothing is known of the others.  */
static bool
is_cut_off_itself (const struct reach *reach)
{
  for (size_t i = 0; i < reach->count; i++)
    if (strcmp (reach->list[i].name, reach->options.data_centre) == 0)
      return reach->list[i].hosts.count > 0
             && reach->list[i].silence.is_unreachable;
  return false;
}

/* Asks data centres that were silent for a sign of life, and tells of those
   that became unreachable or reachable.  */
void
reach_tick (struct reach *reach, int64_t now_ms)
{
  bool is_alone;

  for (size_t i = 0; i < reach->count; i++)
    if (reach->list[i].hosts.count > 0)
      tick_centre (reach, &reach->list[i], now_ms);
  is_alone = is_cut_off_itself (reach);
  for (size_t i = 0; i < reach->count; i++)
    {
      struct data_centre *centre = &reach->list[i];
      bool is_cut = centre->silence.is_unreachable && centre->hosts.count > 0
                    && !is_alone;

      if (is_cut == centre->reported_cut)
        continue;
      centre->reported_cut = is_cut;
      log_write (is_cut ? LOG_WARN : LOG_INFO, "reach", NULL,
                 "data centre %s is %s: last heard %lld ms ago", centre->name,
                 is_cut ? "out of reach" : "in reach again",
                 (long long)(now_ms - centre->silence.heard_ms));
      reach->options.handle_change (reach->options.data, centre->name,
                                    !is_cut);
    }
}
