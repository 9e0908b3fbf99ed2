/* Name and location of a host, as used by the request path. */
#ifndef GALENA_REQUEST_HOST_H
#define GALENA_REQUEST_HOST_H

/* The strings are borrowed from the caller. */
struct host_location
{
  const char *name;
  const char *data_centre;
};

#endif
