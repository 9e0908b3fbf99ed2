/* A host of the system, as the request path sees it. */
#ifndef GALENA_REQUEST_HOST_H
#define GALENA_REQUEST_HOST_H

/* The strings stay their giver's. */
struct host_location
{
  const char *name;
  const char *data_centre;
};

#endif
