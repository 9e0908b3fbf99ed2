#include "policy/owner.h"
#include "common/id.h"

static uint64_t
rendezvous_weight (uint64_t key, uint64_t host_hash)
{
  uint64_t pair[2] = { key, host_hash };

  return id_hash64 (pair, sizeof pair, 0);
}

/* Returns the index of the eligible host with the highest weight for KEY, of
   the data centre DC_HASH only if FILTER_DC is set, or -1.  */
static int32_t
pick_best (uint64_t key, const struct owner_candidate *hosts, size_t count,
           bool filter_dc, uint64_t dc_hash)
{
  int32_t picked = -1;
  uint64_t picked_weight = 0;

  for (size_t i = 0; i < count; i++)
    {
      uint64_t weight;

      if (!hosts[i].eligible || (filter_dc && hosts[i].dc_hash != dc_hash))
        continue;
      weight = rendezvous_weight (key, hosts[i].host_hash);
      if (picked >= 0 && weight <= picked_weight)
        continue;
      picked = (int32_t)i;
      picked_weight = weight;
    }
  return picked;
}

/* Returns the index of the owner of KEY, the hash of a program id: a host of
   its home data centre if one is eligible, else any eligible host, or -1 if
   there is none.  */
int32_t
owner_pick (uint64_t key, uint64_t home_dc_hash,
            const struct owner_candidate *hosts, size_t count)
{
  int32_t picked = pick_best (key, hosts, count, true, home_dc_hash);

  return picked >= 0 ? picked : pick_best (key, hosts, count, false, 0);
}

static bool
is_used (const int32_t *out, uint32_t used, int32_t index)
{
  for (uint32_t i = 0; i < used; i++)
    if (out[i] == index)
      return true;
  return false;
}

static bool
is_dc_used (const struct owner_candidate *hosts, const int32_t *out,
            uint32_t used, uint64_t dc_hash)
{
  for (uint32_t i = 0; i < used; i++)
    if (hosts[out[i]].dc_hash == dc_hash)
      return true;
  return false;
}

/* Like pick_best, but leaves out the USED hosts in OUT and, if NEW_DC is set,
   their data centres.  */
static int32_t
pick_next (uint64_t key, const struct owner_candidate *hosts, size_t count,
           const int32_t *out, uint32_t used, bool new_dc)
{
  int32_t picked = -1;
  uint64_t picked_weight = 0;

  for (size_t i = 0; i < count; i++)
    {
      uint64_t weight = rendezvous_weight (key, hosts[i].host_hash);

      if (!hosts[i].eligible || is_used (out, used, (int32_t)i))
        continue;
      if (new_dc && is_dc_used (hosts, out, used, hosts[i].dc_hash))
        continue;
      if (picked >= 0 && weight <= picked_weight)
        continue;
      picked = (int32_t)i;
      picked_weight = weight;
    }
  return picked;
}

/* Writes up to WANTED hosts, ranked for KEY, to OUT.  Hosts of data centres
   that are not in OUT yet come first.  Returns the number written.  */
uint32_t
owner_rank_spread (uint64_t key, const struct owner_candidate *hosts,
                   size_t count, uint32_t wanted, int32_t *out)
{
  uint32_t used = 0;

  while (used < wanted)
    {
      int32_t next = pick_next (key, hosts, count, out, used, true);

      if (next < 0)
        next = pick_next (key, hosts, count, out, used, false);
      if (next < 0)
        break;
      out[used++] = next;
    }
  return used;
}
