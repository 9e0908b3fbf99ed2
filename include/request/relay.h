/* Requests that a host has another one send, since it has no path to their
   endpoint itself.

   The host that took a request keeps it, with its deadline, budget, permit and
   retries; the helping host only sends it once to the endpoint that was
   chosen, or refuses before it has sent anything.  It never passes it on.

   A host asks others whether they help only while it lacks paths, and goes by
   answers that are a moment old, so that hosts of older builds, and hosts that
   are down or lack the same paths, are not counted on.  */
#ifndef GALENA_REQUEST_RELAY_H
#define GALENA_REQUEST_RELAY_H

/* Why a helping host did not send a request.  The values are sent to other
   hosts. */
enum relay_refusal
{
  RELAY_NOT_REFUSED = 0,
  RELAY_UNKNOWN_ENDPOINT = 1,
  RELAY_LEAVING = 2, /* the endpoint is */
  RELAY_NO_PATH = 3,
  RELAY_NO_PERMIT = 4, /* the endpoint has a limit */
  RELAY_BUSY = 5,
  RELAY_STOPPING = 6, /* the helping host is */
  RELAY_MALFORMED = 7,
};

const char *relay_refusal_name (enum relay_refusal refusal);

#endif
