#include "request/notice_relays.h"
#include <string.h>

enum
{
  RELAYS = 2, /* in each data centre, so that one may be lost */
  MAX_DATA_CENTRES = 32,
};

static bool
contains (const uint64_t *values, uint32_t count, uint64_t value)
{
  for (uint32_t i = 0; i < count; i++)
    if (values[i] == value)
      return true;
  return false;
}

static bool
is_self (const struct notice_relays *relays, const struct host_member *member)
{
  return strcmp (relays->host, member->name) == 0;
}

/* Calls SEND for the relays of one data centre.  */
static void
for_relays_in (const struct notice_relays *relays, uint64_t data_centre,
               notice_sender *send, void *data)
{
  struct host_choice choice = { .item = data_centre, .only = data_centre };
  const struct host_member *chosen[RELAYS];
  uint32_t count = host_set_choose (relays->hosts, &choice, chosen, RELAYS);

  for (uint32_t i = 0; i < count; i++)
    send (data, is_self (relays, chosen[i]) ? NULL : chosen[i]->name);
}

/* Calls SEND for the relays of all data centres.  */
void
notice_relays_for_each (const struct notice_relays *relays,
                        notice_sender *send, void *data)
{
  const struct host_set *hosts = relays->hosts;
  uint64_t data_centres[MAX_DATA_CENTRES];
  uint32_t count = 0;

  for (size_t i = 0; i < hosts->count && count < MAX_DATA_CENTRES; i++)
    if (!contains (data_centres, count, hosts->members[i].data_centre_hash))
      data_centres[count++] = hosts->members[i].data_centre_hash;
  for (uint32_t i = 0; i < count; i++)
    for_relays_in (relays, data_centres[i], send, data);
}

/* Calls SEND for the other hosts of this host's data centre.  */
void
notice_relays_for_neighbours (const struct notice_relays *relays,
                              notice_sender *send, void *data)
{
  const struct host_set *hosts = relays->hosts;

  for (size_t i = 0; i < hosts->count; i++)
    if (hosts->members[i].data_centre_hash == relays->data_centre_hash
        && !is_self (relays, &hosts->members[i]))
      send (data, hosts->members[i].name);
}
