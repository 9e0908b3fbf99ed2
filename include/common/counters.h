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
  COUNTER_PEER_FRAMES_DROPPED, /* for lack of memory */
  COUNTER_PLATFORM_CALLS,      /* all of them */
  COUNTER_PLATFORM_LISTS,      /* of them, reads of whole lists */
  COUNTER_PLATFORM_WATCHES,    /* waits for changes */
  COUNTER_PLATFORM_WRITES,
  COUNTER_TOKEN_PULLS, /* rate limit tokens requested from hosts */
  COUNTER_TOKEN_GRANTS,
  COUNTER_STORE_APPENDS,
  COUNTER_STORE_SYNCS,
  COUNTER_ENDPOINT_RETRIES,
  COUNTER_ENDPOINT_FAILURES,
  COUNTER_ENDPOINT_CONNECT_FAILURES,
  COUNTER_CRASH_NOTICES,      /* frames about requests that crash endpoints */
  COUNTER_CRASH_KEEPER_CALLS, /* the same to keepers of the ledger */
  COUNTER_PATH_PROBES,    /* connections that only tell whether they open */
  COUNTER_RELAYS_SENT,    /* requests that another host was to send */
  COUNTER_RELAYS_SERVED,  /* sent for other hosts */
  COUNTER_RELAYS_REFUSED, /* of other hosts */
  COUNTER_RELAYS_LOST,    /* helping hosts that fell silent */
  /* Requests whose deadline passed while the endpoint was silent. */
  COUNTER_SILENT_DEADLINES,
  COUNTER_ENDPOINTS_LEAVING, /* learnt from their responses */
  COUNTER_ENDPOINTS_SLOW,    /* that turned slower than their service */
  COUNTER_ENDPOINTS_FAILING, /* that began to fail a share of requests */
  COUNTER_SPEED_FACTS_SENT,  /* learned figures, to relays and hosts */
  COUNTER_SPEED_FACTS_RECEIVED,
  COUNTER_ENDPOINT_LIMIT_CHANGES, /* named, changed or ended in responses */
  COUNTER_MALFORMED_LIMITS,       /* in responses of endpoints */
  COUNTER_LIMITED_SENDS,          /* requests sent to endpoints with a limit */
  COUNTER_COLD_ENDPOINTS,         /* times that this host learnt of one */
  COUNTER_COLD_SENDS,             /* requests sent to cold endpoints */
  COUNTER_EVACUATIONS,            /* of data centres, since the start */
  COUNTER_EVACUATIONS_IN_FORCE,
  COUNTER_PERMIT_ASKS,     /* for requests to endpoints with a limit */
  COUNTER_PERMITS_GRANTED, /* by this host */
  COUNTER_PERMITS_DENIED,
  COUNTER_RESENDS,           /* by libcurl, on its own */
  COUNTER_DIRTY_CONNECTIONS, /* idle ones that had brought bytes, or are
                                not known */
  /* Times that a second request was to be sent on a connection in use. */
  COUNTER_SHARED_CONNECTIONS,
  COUNTER_UNFINISHED_EVENTS, /* responses that ended inside an event */
  COUNTER_RESPONSES_LATE, /* to requests whose response had begun or ended */
  COUNTER_ENDS_MISSING,   /* requests freed without an end */
  COUNTER_STREAM_LOOKUPS, /* questions where a resumed stream began */
  COUNTER_STREAM_ORIGINS_UNKNOWN, /* of them, without an answer */
  COUNTER_TURNS_READ,             /* of conversations, from keepers */
  COUNTER_TURNS_UNKNOWN,          /* refused with 404 */
  COUNTER_TURNS_UNCERTAIN,        /* refused, as keepers were silent */
  COUNTER_TURNS_WRITTEN,          /* durable */
  COUNTER_TURNS_LOST,             /* not durable in time */
  COUNTER_TURN_SUPPLEMENTS,       /* writes to others than preferred keepers */
  COUNTER_TURN_PREFIXES,          /* writes repeated with the whole chain */
  COUNTER_CHAINS_REFUSED,         /* first turns, for lack of keepers */
  COUNTER_PROGRAMS_ADMITTED,      /* of those whose deadline is stated */
  COUNTER_PROGRAMS_REFUSED_LOAD,  /* they would end late */
  COUNTER_PROGRAMS_REFUSED_SHARE, /* their customer has had its share */
  COUNTER_PROGRAMS_REFUSED_MEMORY,
  COUNTER_HOPELESS_REFUSED, /* deadlines shorter than any answer takes */
  COUNTER_BUFFERED_BYTES,   /* a gauge */
  COUNTER_READERS_CUT,      /* callers that did not read */
  COUNTER_HEADS_REFUSED,    /* that can be read in more than one way */
  COUNTER_BODIES_REFUSED,   /* for which there was no memory */
  COUNTER_REFUSED_MEMORY,   /* requests, before anything was held for them */
  COUNTER_IDLE_CONNECTIONS_DROPPED, /* of callers, for lack of memory */
  COUNTER_OLD_CONNECTIONS_DROPPED,  /* of the status listeners, for new ones */
  COUNTER_RESPONSES_REFUSED,        /* of endpoints: too long, or no memory */
  COUNTER_HOLDS_PLACED,
  COUNTER_HOLDS_SWEPT, /* deleted from endpoints as orphans */
  /* Of keepers, see conversation/keeper.h. */
  COUNTER_TURNS_KEPT,           /* turns written to this keeper's disk */
  COUNTER_TURNS_NO_ROOM,        /* refused: memory or disk is full */
  COUNTER_TURN_CONFLICTS,       /* other content under the same id */
  COUNTER_TURN_READS,           /* answered with a text */
  COUNTER_TURN_READS_FROM_DISK, /* of them, not from memory */
  COUNTER_TURN_READS_UNKNOWN,   /* the turn is not here */
  COUNTER_TURN_GROUPS_RESTORED, /* read from other keepers */
  COUNTER_TURN_GROUPS_SENT,     /* to other keepers */
  COUNTER_TURN_GROUPS_EXPIRED,
  COUNTER_CONFIG_VERSIONS,   /* decoded and in use; a gauge */
  COUNTER_FRAMES_DROPPED,    /* between the process's threads */
  COUNTER_MESSAGES_REPLACED, /* by newer ones, before they were taken */
  COUNTER_FEED_REQUESTS,     /* for objects, of other hosts */
  COUNTER_FEED_ANSWERS,      /* sent to other hosts */
  COUNTER_FEED_ANSWER_BYTES,
  COUNTER_OBJECTS_UNREADABLE, /* revisions of objects that are not used */
  COUNTER_COUNT,
};

void counter_add (enum counter counter, int64_t amount);
int64_t counter_get (enum counter counter);
void counter_add_refusal (enum error_kind kind);
json_t *counters_to_json (void);
void counters_to_text (struct buf *text);

#endif
