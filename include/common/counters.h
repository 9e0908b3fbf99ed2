/* Metric counters of the process.  Any thread may update them. */
#ifndef GALENA_COMMON_COUNTERS_H
#define GALENA_COMMON_COUNTERS_H

#include "common/buf.h"
#include "common/error.h"
#include <jansson.h>
#include <stdint.h>

enum counter
{
  COUNTER_REQUESTS,
  COUNTER_CALLS_STARTED,
  COUNTER_CALLS_FINISHED,
  COUNTER_CALLS_REPLAYED, /* answered with the result of an earlier call */
  COUNTER_TOKENS,
  COUNTER_PROGRAMS_OPENED,
  COUNTER_PROGRAMS_CLOSED,
  COUNTER_FORWARDED,    /* requests sent on to another host */
  COUNTER_TAKEOVERS,    /* programs restored from the store or another host */
  COUNTER_STREAMS_OPEN, /* a gauge */
  COUNTER_STREAMS_ENDED_BY_KEY, /* their API key was withdrawn */
  COUNTER_PEER_FRAMES_SENT,
  COUNTER_PEER_BYTES_SENT,
  COUNTER_PEER_FRAMES_REFUSED,
  COUNTER_PLATFORM_CALLS,   /* all of them */
  COUNTER_PLATFORM_LISTS,   /* of them, reads of whole lists */
  COUNTER_PLATFORM_WATCHES, /* waits for changes */
  COUNTER_PLATFORM_WRITES,
  COUNTER_TOKEN_PULLS, /* rate limit tokens requested from hosts */
  COUNTER_TOKEN_GRANTS,
  COUNTER_STORE_APPENDS,
  COUNTER_STORE_SYNCS,
  COUNTER_ENDPOINT_RETRIES,
  COUNTER_ENDPOINT_FAILURES,
  COUNTER_ENDPOINT_CONNECT_FAILURES,
  COUNTER_PATH_PROBES,    /* connections that only tell whether they open */
  COUNTER_RELAYS_SENT,    /* requests that another host was to send */
  COUNTER_RELAYS_SERVED,  /* sent for other hosts */
  COUNTER_RELAYS_REFUSED, /* of other hosts */
  COUNTER_RELAYS_LOST,    /* helping hosts that fell silent */
  /* Requests whose deadline passed while the endpoint was silent. */
  COUNTER_SILENT_DEADLINES,
  COUNTER_ENDPOINTS_LEAVING,      /* learnt from their responses */
  COUNTER_ENDPOINT_LIMIT_CHANGES, /* named, changed or ended in responses */
  COUNTER_MALFORMED_LIMITS,       /* in responses of endpoints */
  COUNTER_LIMITED_SENDS,          /* requests sent to endpoints with a limit */
  COUNTER_PERMIT_ASKS,            /* for requests to endpoints with a limit */
  COUNTER_PERMITS_GRANTED,        /* by this host */
  COUNTER_PERMITS_DENIED,
  COUNTER_RESENDS,                /* by libcurl, on its own */
  COUNTER_UNFINISHED_EVENTS,      /* responses that ended inside an event */
  COUNTER_STREAM_LOOKUPS,         /* questions where a resumed stream began */
  COUNTER_STREAM_ORIGINS_UNKNOWN, /* of them, without an answer */
  COUNTER_PROGRAMS_ADMITTED,      /* of those whose deadline is stated */
  COUNTER_PROGRAMS_REFUSED_LOAD,  /* they would end late */
  COUNTER_PROGRAMS_REFUSED_SHARE, /* their customer has had its share */
  COUNTER_PROGRAMS_REFUSED_MEMORY,
  COUNTER_HOPELESS_REFUSED, /* deadlines shorter than any answer takes */
  COUNTER_BUFFERED_BYTES,   /* a gauge */
  COUNTER_READERS_CUT,      /* callers that did not read */
  COUNTER_BODIES_REFUSED,   /* for which there was no memory */
  COUNTER_HOLDS_PLACED,
  COUNTER_HOLDS_SWEPT, /* deleted from endpoints as orphans */
  COUNTER_COUNT,
};

void counter_add (enum counter counter, int64_t amount);
int64_t counter_get (enum counter counter);
void counter_add_refusal (enum error_kind kind);
json_t *counters_to_json (void);
void counters_to_text (struct buf *text);

#endif
