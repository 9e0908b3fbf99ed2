/* The ways of what a host tells all entry hosts: it goes to two relays in each
   data centre, which pass it on to the hosts of their data centre.  */
#ifndef GALENA_REQUEST_NOTICE_RELAYS_H
#define GALENA_REQUEST_NOTICE_RELAYS_H

#include "request/host_set.h"
#include <stdint.h>

/* Where a host is in its fleet.  Nothing is owned. */
struct notice_relays
{
  const char *host; /* name of this host */
  uint64_t data_centre_hash;
  const struct host_set *hosts; /* all entry hosts */
};

/* Called for each recipient; HOST is NULL for this host itself. */
typedef void notice_sender (void *data, const char *host);

void notice_relays_for_each (const struct notice_relays *relays,
                             notice_sender *send, void *data);
void notice_relays_for_neighbours (const struct notice_relays *relays,
                                   notice_sender *send, void *data);

#endif
