#include "policy/owner.h"
#include "common/id.h"

static uint64_t
weigh (uint64_t key, uint64_t host_hash)
{
  uint64_t pair[2] = { key, host_hash };

  return id_hash64 (pair, sizeof pair, 0);
}

static int32_t
best (uint64_t key, const struct owner_candidate *hosts, size_t count,
      bool filter_dc, uint64_t dc_hash)
{
  int32_t picked = -1;
  uint64_t picked_weight = 0;

  for (size_t i = 0; i < count; i++)
    {
      uint64_t weight;

      if (!hosts[i].eligible || (filter_dc && hosts[i].dc_hash != dc_hash))
        continue;
      weight = weigh (key, hosts[i].host_hash);
      if (picked >= 0 && weight <= picked_weight)
        continue;
      picked = (int32_t)i;
      picked_weight = weight;
    }
  return picked;
}

/* Returns the index of the owner of KEY: in its home data centre while a host
   there is eligible, else anywhere; -1 where no host is.  */
int32_t
owner_pick (uint64_t key, uint64_t home_dc_hash,
            const struct owner_candidate *hosts, size_t count)
{
  int32_t picked = best (key, hosts, count, true, home_dc_hash);

  return picked >= 0 ? picked : best (key, hosts, count, false, 0);
}

static bool
is_taken (const int32_t *out, uint32_t used, int32_t index)
{
  for (uint32_t i = 0; i < used; i++)
    if (out[i] == index)
      return true;
  return false;
}

static bool
dc_is_taken (const struct owner_candidate *hosts, const int32_t *out,
             uint32_t used, uint64_t dc_hash)
{
  for (uint32_t i = 0; i < used; i++)
    if (hosts[out[i]].dc_hash == dc_hash)
      return true;
  return false;
}

static int32_t
best_further (uint64_t key, const struct owner_candidate *hosts, size_t count,
              const int32_t *out, uint32_t used, bool new_dc)
{
  int32_t picked = -1;
  uint64_t picked_weight = 0;

  for (size_t i = 0; i < count; i++)
    {
      uint64_t weight = weigh (key, hosts[i].host_hash);

      if (!hosts[i].eligible || is_taken (out, used, (int32_t)i))
        continue;
      if (new_dc && dc_is_taken (hosts, out, used, hosts[i].dc_hash))
        continue;
      if (picked >= 0 && weight <= picked_weight)
        continue;
      picked = (int32_t)i;
      picked_weight = weight;
    }
  return picked;
}

/* Ranks up to WANTED hosts for KEY into OUT, each in a data centre of its own
   while there are such.  Returns how many there are.  */
uint32_t
owner_rank_spread (uint64_t key, const struct owner_candidate *hosts,
                   size_t count, uint32_t wanted, int32_t *out)
{
  uint32_t used = 0;

  while (used < wanted)
    {
      int32_t next = best_further (key, hosts, count, out, used, true);

      if (next < 0)
        next = best_further (key, hosts, count, out, used, false);
      if (next < 0)
        break;
      out[used++] = next;
    }
  return used;
}
