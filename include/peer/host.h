/* Name and location of a host, as in the host list. */
#ifndef GALENA_PEER_HOST_H
#define GALENA_PEER_HOST_H

/* The strings are borrowed from the caller. */
struct host_location
{
  const char *name;
  const char *data_centre;
};

#endif
