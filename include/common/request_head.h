/* Finds heads of requests that can be read in more than one way.  A lenient
   reader on the way, or behind this host, could take a part of such a head, or
   of what follows it, for a request of its own. */
#ifndef GALENA_COMMON_REQUEST_HEAD_H
#define GALENA_COMMON_REQUEST_HEAD_H

#include <microhttpd.h>
#include <stdbool.h>

struct request_head
{
  struct MHD_Connection *connection;
  /* As libmicrohttpd passes them, with the addresses that they have. */
  const char *method;
  const char *url;
  const char *version;
  const char *target; /* a copy of the URL before it was decoded */
  /* Names of headers that may come once, beside those of HTTP; NULL-terminated
     or NULL. */
  const char *const *single_headers;
};

bool request_head_is_field (const char *line);
const char *request_head_find_fault (const struct request_head *head);

#endif
