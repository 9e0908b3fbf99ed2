#include "request/reachability.h"
#include "common/buf.h"
#include "common/fields.h"
#include "common/id.h"
#include "common/log.h"
#include "policy/failure_detector.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_PROBED_HOSTS = 3, /* per data centre and round of probes */
};

/* The hosts of a data centre except this one. */
struct data_centre
{
  char *name;
  struct strings hosts; /* names */
  size_t probed;        /* index of the host that was probed last */
  struct failure_detector detector;
  bool reported_unreachable;
};

struct reachability
{
  struct reachability_options options;
  struct data_centre *data_centres;
  size_t count;
  GHashTable *centre_of_host; /* name -> index of its data centre, plus 1 */
};

/* Creates a reachability monitor that knows no hosts yet.  */
struct reachability *
reachability_create (const struct reachability_options *options)
{
  struct reachability *reach = xcalloc (1, sizeof *reach);

  reach->options = *options;
  reach->centre_of_host = g_hash_table_new (g_str_hash, g_str_equal);
  return reach;
}

/* Frees the monitor.  */
void
reachability_destroy (struct reachability *reach)
{
  if (!reach)
    return;
  g_hash_table_destroy (reach->centre_of_host);
  for (size_t i = 0; i < reach->count; i++)
    {
      strings_release (&reach->data_centres[i].hosts);
      free (reach->data_centres[i].name);
    }
  free (reach->data_centres);
  free (reach);
}

/* Returns the index of a data centre.  */
static size_t
find_or_add_centre (struct reachability *reach, const char *name)
{
  struct data_centre *centre;

  for (size_t i = 0; i < reach->count; i++)
    if (strcmp (reach->data_centres[i].name, name) == 0)
      return i;
  reach->data_centres = xrealloc (
      reach->data_centres, (reach->count + 1) * sizeof *reach->data_centres);
  centre = &reach->data_centres[reach->count++];
  *centre = (struct data_centre){ .name = xstrdup (name),
                                  .probed = (size_t)id_random64 () };
  failure_detector_init (&centre->detector, clock_now_ms ());
  return reach->count - 1;
}

/* Sets the list of all hosts.  This host is ignored if listed.  */
void
reachability_set_hosts (struct reachability *reach,
                        const struct host_location *hosts, size_t count)
{
  g_hash_table_remove_all (reach->centre_of_host);
  for (size_t i = 0; i < reach->count; i++)
    strings_release (&reach->data_centres[i].hosts);
  for (size_t i = 0; i < count; i++)
    {
      size_t index;

      if (strcmp (hosts[i].name, reach->options.host) == 0)
        continue;
      index = find_or_add_centre (reach, hosts[i].data_centre);
      strings_add (&reach->data_centres[index].hosts, hosts[i].name);
    }
  for (size_t i = 0; i < reach->count; i++)
    for (size_t k = 0; k < reach->data_centres[i].hosts.count; k++)
      g_hash_table_insert (reach->centre_of_host,
                           reach->data_centres[i].hosts.items[k],
                           GSIZE_TO_POINTER (i + 1));
}

/* Records that a message from HOST arrived at NOW_MS.  Hosts that are not on
   the list are ignored.  */
void
reachability_record_heard (struct reachability *reach, const char *host,
                           int64_t now_ms)
{
  size_t index
      = GPOINTER_TO_SIZE (g_hash_table_lookup (reach->centre_of_host, host));

  if (index > 0)
    failure_detector_record_heard (&reach->data_centres[index - 1].detector,
                                   now_ms);
}

/* Records that bytes arrived at NOW_MS from an endpoint in DATA_CENTRE: its
   hosts may all be down while its endpoints serve.  */
void
reachability_record_endpoint_heard (struct reachability *reach,
                                    const char *data_centre, int64_t now_ms)
{
  for (size_t i = 0; i < reach->count; i++)
    if (strcmp (reach->data_centres[i].name, data_centre) == 0)
      failure_detector_record_heard (&reach->data_centres[i].detector, now_ms);
}

/* Probes a silent data centre: the host that answered last, and others once it
   does not.  The first one is drawn at random, so that the hosts of a fleet
   spread their probes, and then kept, so that few links are open.  */
static void
tick_centre (struct reachability *reach, struct data_centre *centre,
             int64_t now_ms)
{
  bool was_answered = centre->detector.unanswered_since_ms == 0;
  size_t probes = was_answered ? 1 : MAX_PROBED_HOSTS;

  if (!failure_detector_tick (&centre->detector, now_ms))
    return;
  for (size_t i = 0; i < centre->hosts.count && i < probes; i++)
    {
      centre->probed += !was_answered;
      mesh_ping (reach->options.mesh,
                 centre->hosts.items[centre->probed % centre->hosts.count]);
    }
}

/* Whether this host is itself disconnected: the other hosts of its own data
   centre are silent, too.  The state of other data centres is then unknown. */
static bool
is_host_isolated (const struct reachability *reach)
{
  for (size_t i = 0; i < reach->count; i++)
    if (strcmp (reach->data_centres[i].name, reach->options.data_centre) == 0)
      return reach->data_centres[i].hosts.count > 0
             && reach->data_centres[i].detector.is_unreachable;
  return false;
}

/* Probes silent data centres and reports those that became unreachable or
   reachable.  */
void
reachability_tick (struct reachability *reach, int64_t now_ms)
{
  bool is_isolated;

  for (size_t i = 0; i < reach->count; i++)
    if (reach->data_centres[i].hosts.count > 0)
      tick_centre (reach, &reach->data_centres[i], now_ms);
  is_isolated = is_host_isolated (reach);
  for (size_t i = 0; i < reach->count; i++)
    {
      struct data_centre *centre = &reach->data_centres[i];
      bool is_unreachable = centre->detector.is_unreachable
                            && centre->hosts.count > 0 && !is_isolated;

      if (is_unreachable == centre->reported_unreachable)
        continue;
      centre->reported_unreachable = is_unreachable;
      log_write (is_unreachable ? LOG_WARN : LOG_INFO, "reach", NULL,
                 "data centre %s is %s: last message received %lld ms ago",
                 centre->name,
                 is_unreachable ? "not reachable" : "reachable again",
                 (long long)(now_ms - centre->detector.last_heard_ms));
      reach->options.handle_change (reach->options.data, centre->name,
                                    !is_unreachable);
    }
}
