#include "ledger/keeper_set.h"
#include "common/buf.h"
#include "common/id.h"
#include <stdlib.h>
#include <string.h>

static bool
has_same_keepers (const struct keeper_set *set,
                  const struct host_location *locations, size_t count)
{
  if (set->count != count)
    return false;
  for (size_t i = 0; i < count; i++)
    if (keeper_set_find (set, locations[i].name) < 0)
      return false;
  return true;
}

/* Replaces the keepers.  The ledger survives the loss of LOSSES of them, or of
   a data centre.  Returns false, and changes nothing, if they are the same as
   before.  */
bool
keeper_set_assign (struct keeper_set *set,
                   const struct host_location *locations, size_t count,
                   uint32_t losses)
{
  if (has_same_keepers (set, locations, count))
    return false;
  keeper_set_release (set);
  set->names = xcalloc (count + 1, sizeof *set->names);
  set->hosts = xcalloc (count + 1, sizeof *set->hosts);
  set->count = (uint32_t)count;
  for (size_t i = 0; i < count; i++)
    {
      set->names[i] = xstrdup (locations[i].name);
      set->hosts[i].hash = id_hash_text (locations[i].name);
      set->hosts[i].data_centre_hash = id_hash_text (locations[i].data_centre);
    }
  set->wanted = replicas_wanted (
      losses, replicas_count_centres (set->hosts, set->count));
  return true;
}

/* Frees the content of SET.  */
void
keeper_set_release (struct keeper_set *set)
{
  for (uint32_t i = 0; i < set->count; i++)
    free (set->names[i]);
  free (set->names);
  free (set->hosts);
  *set = (struct keeper_set){ 0 };
}

/* Returns the index of the keeper NAME, or -1.  */
int32_t
keeper_set_find (const struct keeper_set *set, const char *name)
{
  for (uint32_t i = 0; i < set->count; i++)
    if (strcmp (set->names[i], name) == 0)
      return (int32_t)i;
  return -1;
}

/* Returns the keepers that store the charges of PROGRAM, a hash of its id.  */
struct keeper_replicas
keeper_set_replicas (const struct keeper_set *set, uint64_t program)
{
  struct keeper_replicas replicas;

  replicas.count = replicas_select (program, set->hosts, set->count,
                                    set->wanted, replicas.keepers);
  return replicas;
}

/* Whether KEEPER, an index, is one of REPLICAS.  */
bool
keeper_replicas_contain (const struct keeper_replicas *replicas,
                         uint32_t keeper)
{
  for (uint32_t i = 0; i < replicas->count; i++)
    if (replicas->keepers[i] == keeper)
      return true;
  return false;
}

/* Makes COPY the same set.  */
void
keeper_set_copy (struct keeper_set *copy, const struct keeper_set *set)
{
  keeper_set_release (copy);
  copy->names = xcalloc (set->count + 1, sizeof *copy->names);
  copy->hosts = xcalloc (set->count + 1, sizeof *copy->hosts);
  copy->count = set->count;
  copy->wanted = set->wanted;
  for (uint32_t i = 0; i < set->count; i++)
    {
      copy->names[i] = xstrdup (set->names[i]);
      copy->hosts[i] = set->hosts[i];
    }
}

/* Returns a hash of the keepers and their places, whatever their order; never
   0.  */
uint64_t
keeper_set_hash (const struct keeper_set *set)
{
  uint64_t hash = 0;

  for (uint32_t i = 0; i < set->count; i++)
    hash += id_hash64 (&set->hosts[i].hash, sizeof set->hosts[i].hash,
                       set->hosts[i].data_centre_hash);
  return hash ? hash : 1;
}
