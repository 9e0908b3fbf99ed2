#include "common/counters.h"
#include <ck_pr.h>

static const char *const counter_names[COUNTER_COUNT] = {
  [COUNTER_REQUESTS] = "requests",
  [COUNTER_CALLS_STARTED] = "calls_started",
  [COUNTER_CALLS_FINISHED] = "calls_finished",
  [COUNTER_CALLS_REPLAYED] = "calls_replayed",
  [COUNTER_TOKENS] = "tokens",
  [COUNTER_PROGRAMS_OPENED] = "programs_opened",
  [COUNTER_PROGRAMS_CLOSED] = "programs_closed",
  [COUNTER_FORWARDED] = "forwarded",
  [COUNTER_TAKEOVERS] = "takeovers",
  [COUNTER_STREAMS_OPEN] = "streams_open",
  [COUNTER_STREAMS_ENDED_BY_KEY] = "streams_ended_by_key",
  [COUNTER_PEER_FRAMES_SENT] = "peer_frames_sent",
  [COUNTER_PEER_BYTES_SENT] = "peer_bytes_sent",
  [COUNTER_PEER_FRAMES_REFUSED] = "peer_frames_refused",
  [COUNTER_PEER_FRAMES_DROPPED] = "peer_frames_dropped",
  [COUNTER_PLATFORM_CALLS] = "platform_calls",
  [COUNTER_PLATFORM_LISTS] = "platform_lists",
  [COUNTER_PLATFORM_WATCHES] = "platform_watches",
  [COUNTER_PLATFORM_WRITES] = "platform_writes",
  [COUNTER_TOKEN_PULLS] = "token_pulls",
  [COUNTER_TOKEN_GRANTS] = "token_grants",
  [COUNTER_STORE_APPENDS] = "store_appends",
  [COUNTER_STORE_SYNCS] = "store_syncs",
  [COUNTER_ENDPOINT_RETRIES] = "endpoint_retries",
  [COUNTER_ENDPOINT_FAILURES] = "endpoint_failures",
  [COUNTER_ENDPOINT_CONNECT_FAILURES] = "endpoint_connect_failures",
  [COUNTER_CRASH_NOTICES] = "crash_notices",
  [COUNTER_CRASH_KEEPER_CALLS] = "crash_keeper_calls",
  [COUNTER_PATH_PROBES] = "path_probes",
  [COUNTER_RELAYS_SENT] = "relays_sent",
  [COUNTER_RELAYS_SERVED] = "relays_served",
  [COUNTER_RELAYS_REFUSED] = "relays_refused",
  [COUNTER_RELAYS_LOST] = "relays_lost",
  [COUNTER_SILENT_DEADLINES] = "silent_deadlines",
  [COUNTER_ENDPOINTS_LEAVING] = "endpoints_leaving",
  [COUNTER_ENDPOINTS_SLOW] = "endpoints_slow",
  [COUNTER_ENDPOINTS_FAILING] = "endpoints_failing",
  [COUNTER_SPEED_FACTS_SENT] = "speed_facts_sent",
  [COUNTER_SPEED_FACTS_RECEIVED] = "speed_facts_received",
  [COUNTER_ENDPOINT_LIMIT_CHANGES] = "endpoint_limit_changes",
  [COUNTER_MALFORMED_LIMITS] = "malformed_limits",
  [COUNTER_LIMITED_SENDS] = "limited_sends",
  [COUNTER_COLD_ENDPOINTS] = "cold_endpoints",
  [COUNTER_COLD_SENDS] = "cold_sends",
  [COUNTER_EVACUATIONS] = "evacuations",
  [COUNTER_EVACUATIONS_IN_FORCE] = "evacuations_in_force",
  [COUNTER_PERMIT_ASKS] = "permit_asks",
  [COUNTER_PERMITS_GRANTED] = "permits_granted",
  [COUNTER_PERMITS_DENIED] = "permits_denied",
  [COUNTER_RESENDS] = "resends",
  [COUNTER_DIRTY_CONNECTIONS] = "dirty_connections",
  [COUNTER_SHARED_CONNECTIONS] = "shared_connections",
  [COUNTER_UNFINISHED_EVENTS] = "unfinished_events",
  [COUNTER_RESPONSES_LATE] = "responses_late",
  [COUNTER_ENDS_MISSING] = "ends_missing",
  [COUNTER_STREAM_LOOKUPS] = "stream_lookups",
  [COUNTER_STREAM_ORIGINS_UNKNOWN] = "stream_origins_unknown",
  [COUNTER_TURNS_READ] = "turns_read",
  [COUNTER_TURNS_UNKNOWN] = "turns_unknown",
  [COUNTER_TURNS_UNCERTAIN] = "turns_uncertain",
  [COUNTER_TURNS_WRITTEN] = "turns_written",
  [COUNTER_TURNS_LOST] = "turns_lost",
  [COUNTER_TURN_SUPPLEMENTS] = "turn_supplements",
  [COUNTER_TURN_PREFIXES] = "turn_prefixes",
  [COUNTER_CHAINS_REFUSED] = "chains_refused",
  [COUNTER_PROGRAMS_ADMITTED] = "programs_admitted",
  [COUNTER_PROGRAMS_REFUSED_LOAD] = "programs_refused_load",
  [COUNTER_PROGRAMS_REFUSED_SHARE] = "programs_refused_share",
  [COUNTER_PROGRAMS_REFUSED_MEMORY] = "programs_refused_memory",
  [COUNTER_HOPELESS_REFUSED] = "hopeless_refused",
  [COUNTER_BUFFERED_BYTES] = "buffered_bytes",
  [COUNTER_READERS_CUT] = "readers_cut",
  [COUNTER_HEADS_REFUSED] = "heads_refused",
  [COUNTER_BODIES_REFUSED] = "bodies_refused",
  [COUNTER_REFUSED_MEMORY] = "requests_refused_memory",
  [COUNTER_IDLE_CONNECTIONS_DROPPED] = "idle_connections_dropped",
  [COUNTER_OLD_CONNECTIONS_DROPPED] = "old_connections_dropped",
  [COUNTER_RESPONSES_REFUSED] = "responses_refused",
  [COUNTER_HOLDS_PLACED] = "holds_placed",
  [COUNTER_HOLDS_SWEPT] = "holds_swept",
  [COUNTER_TURNS_KEPT] = "turns_kept",
  [COUNTER_TURNS_NO_ROOM] = "turns_no_room",
  [COUNTER_TURN_CONFLICTS] = "turn_conflicts",
  [COUNTER_TURN_READS] = "turn_reads",
  [COUNTER_TURN_READS_FROM_DISK] = "turn_reads_from_disk",
  [COUNTER_TURN_READS_UNKNOWN] = "turn_reads_unknown",
  [COUNTER_TURN_GROUPS_RESTORED] = "turn_groups_restored",
  [COUNTER_TURN_GROUPS_SENT] = "turn_groups_sent",
  [COUNTER_TURN_GROUPS_EXPIRED] = "turn_groups_expired",
  [COUNTER_CONFIG_VERSIONS] = "config_versions",
  [COUNTER_FRAMES_DROPPED] = "frames_dropped",
  [COUNTER_MESSAGES_REPLACED] = "messages_replaced",
  [COUNTER_FEED_REQUESTS] = "feed_requests",
  [COUNTER_FEED_ANSWERS] = "feed_answers",
  [COUNTER_FEED_ANSWER_BYTES] = "feed_answer_bytes",
  [COUNTER_OBJECTS_UNREADABLE] = "objects_unreadable",
};

static uint64_t counter_values[COUNTER_COUNT];
static uint64_t refusals[ERROR_KIND_COUNT];

/* Adds AMOUNT, which may be negative if the counter is a gauge.  */
void
counter_add (enum counter counter, int64_t amount)
{
  ck_pr_add_64 (&counter_values[counter], (uint64_t)amount);
}

/* Returns the current value.  */
int64_t
counter_get (enum counter counter)
{
  return (int64_t)ck_pr_load_64 (&counter_values[counter]);
}

/* Counts a request that was refused with an error of KIND.  */
void
counter_add_refusal (enum error_kind kind)
{
  ck_pr_inc_64 (&refusals[kind]);
}

/* Returns all counters, and the refusals by error kind, as a new reference. */
json_t *
counters_to_json (void)
{
  json_t *root = json_object ();
  json_t *by_kind = json_object ();

  for (int i = 0; i < COUNTER_COUNT; i++)
    json_object_set_new (root, counter_names[i],
                         json_integer (counter_get ((enum counter)i)));
  for (int i = 0; i < ERROR_KIND_COUNT; i++)
    {
      uint64_t count = ck_pr_load_64 (&refusals[i]);

      if (count > 0)
        json_object_set_new (by_kind, error_kind_name ((enum error_kind)i),
                             json_integer ((json_int_t)count));
    }
  json_object_set_new (root, "refusals", by_kind);
  return root;
}

/* Appends all counters in the Prometheus text format.  */
void
counters_to_text (struct buf *text)
{
  for (int i = 0; i < COUNTER_COUNT; i++)
    buf_printf (text, "galenashore_%s %lld\n", counter_names[i],
                (long long)counter_get ((enum counter)i));
  for (int i = 0; i < ERROR_KIND_COUNT; i++)
    buf_printf (text, "galenashore_refusals{kind=\"%s\"} %llu\n",
                error_kind_name ((enum error_kind)i),
                (unsigned long long)ck_pr_load_64 (&refusals[i]));
}
