#include "request/host_set.h"
#include "common/buf.h"
#include "common/id.h"
#include <stdlib.h>
#include <string.h>

/* Frees the content of SET.  */
void
host_set_release (struct host_set *set)
{
  for (size_t i = 0; i < set->count; i++)
    free (set->members[i].name);
  free (set->members);
  *set = (struct host_set){ 0 };
}

static bool
has_same_members (const struct host_set *set,
                  const struct host_location *hosts, size_t count)
{
  if (set->count != count)
    return false;
  for (size_t i = 0; i < count; i++)
    if (!host_set_find (set, hosts[i].name))
      return false;
  return true;
}

/* Replaces the hosts.  Returns whether they are others than before.  */
bool
host_set_assign (struct host_set *set, const struct host_location *hosts,
                 size_t count)
{
  bool is_changed = !has_same_members (set, hosts, count);

  host_set_release (set);
  set->members = xcalloc (count + 1, sizeof *set->members);
  set->count = count;
  for (size_t i = 0; i < count; i++)
    set->members[i] = (struct host_member){
      .name = xstrdup (hosts[i].name),
      .hash = id_hash_text (hosts[i].name),
      .data_centre_hash = id_hash_text (hosts[i].data_centre),
    };
  return is_changed;
}

/* Returns the host NAME, or NULL.  */
const struct host_member *
host_set_find (const struct host_set *set, const char *name)
{
  for (size_t i = 0; i < set->count; i++)
    if (strcmp (set->members[i].name, name) == 0)
      return &set->members[i];
  return NULL;
}

static bool
is_chosen (const struct host_member *member, const struct host_member **chosen,
           uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (chosen[i] == member)
      return true;
  return false;
}

/* Stores up to MAX hosts, the best ranked first, and returns their number.
   Unreachable hosts are included, so that all hosts choose the same ones.  */
uint32_t
host_set_choose (const struct host_set *set, const struct host_choice *choice,
                 const struct host_member **chosen, uint32_t max)
{
  uint32_t count = 0;

  while (count < max)
    {
      const struct host_member *best = NULL;
      uint64_t best_rank = 0;

      for (size_t i = 0; i < set->count; i++)
        {
          const struct host_member *member = &set->members[i];
          uint64_t rank;

          if ((choice->only && member->data_centre_hash != choice->only)
              || (choice->excluded
                  && member->data_centre_hash == choice->excluded)
              || is_chosen (member, chosen, count))
            continue;
          rank = id_hash64 (&member->hash, sizeof member->hash, choice->item);
          if (best && rank <= best_rank)
            continue;
          best = member;
          best_rank = rank;
        }
      if (!best)
        break;
      chosen[count++] = best;
    }
  return count;
}
