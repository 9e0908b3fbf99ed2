#include "policy/replicas.h"
#include "common/id.h"
#include <stdbool.h>

enum
{
  MIN_CENTRES = 3, /* of two data centres, one has no majority */
};

/* Whether REPLICAS of an item, spread over CENTRES data centres, have a
   majority without one of these.  */
static bool
survives_centre (uint32_t replicas, uint32_t centres)
{
  return replicas - (replicas + centres - 1) / centres >= replicas / 2 + 1;
}

/* Returns how many replicas, at most REPLICAS_MAX, keep a majority without
   LOSSES hosts, or without one of CENTRES data centres.  */
uint32_t
replicas_wanted (uint32_t losses, uint32_t centres)
{
  uint32_t wanted
      = 2 * (losses < REPLICAS_MAX_LOSSES ? losses : REPLICAS_MAX_LOSSES) + 2;

  while (centres >= MIN_CENTRES && wanted < REPLICAS_MAX
         && !survives_centre (wanted, centres))
    wanted += 2;
  return wanted;
}

/* Returns the number of data centres.  */
uint32_t
replicas_count_centres (const struct replica_host *hosts, uint32_t host_count)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < host_count; i++)
    {
      bool is_first = true;

      for (uint32_t k = 0; k < i && is_first; k++)
        is_first = hosts[k].data_centre_hash != hosts[i].data_centre_hash;
      count += is_first;
    }
  return count;
}

/* Whether HOST can be added to the COUNT selected ones: it is not among them,
   and fewer than LIMIT of them are in its data centre.  */
static bool
may_add (const struct replica_host *hosts, const uint32_t *selected,
         uint32_t count, uint32_t host, uint32_t limit)
{
  uint32_t in_centre = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      if (selected[i] == host)
        return false;
      in_centre += hosts[selected[i]].data_centre_hash
                   == hosts[host].data_centre_hash;
    }
  return in_centre < limit;
}

/* Selects up to WANTED of the hosts for ITEM and returns their number.
   SELECTED gets their indexes, the best ranked first.  No data centre has more
   than its part of them, unless the others have too few hosts.  */
uint32_t
replicas_select (uint64_t item, const struct replica_host *hosts,
                 uint32_t host_count, uint32_t wanted,
                 uint32_t selected[REPLICAS_MAX])
{
  uint32_t centres = replicas_count_centres (hosts, host_count);
  uint32_t target = wanted < host_count ? wanted : host_count;
  uint32_t limit;
  uint32_t count = 0;

  if (target > REPLICAS_MAX)
    target = REPLICAS_MAX;
  if (target == 0)
    return 0;
  limit = (target + centres - 1) / centres;
  while (count < target)
    {
      uint32_t best = host_count;
      uint64_t best_rank = 0;

      for (uint32_t i = 0; i < host_count; i++)
        {
          uint64_t rank;

          if (!may_add (hosts, selected, count, i, limit))
            continue;
          rank = id_hash64 (&hosts[i].hash, sizeof hosts[i].hash, item);
          if (best < host_count && rank <= best_rank)
            continue;
          best = i;
          best_rank = rank;
        }
      if (best < host_count)
        selected[count++] = best;
      else
        limit++;
    }
  return count;
}
