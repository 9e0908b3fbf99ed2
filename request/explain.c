#include "request/explain.h"
#include "common/buf.h"
#include "common/id.h"
#include "conversation/turn.h"
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_LISTED = 512, /* endpoints; about 400 bytes each in the answer */
  US_PER_MS = 1000,
  PERMILLE = 1000,
};

static const char *const obstacle_names[] = {
  [POOL_ELIGIBLE] = "eligible",
  [POOL_OTHER_SERVICE] = "other service",
  [POOL_LEAVING] = "leaving",
  [POOL_EVACUATED] = "evacuated",
  [POOL_OTHER_BUILD] = "other build",
  [POOL_UNREACHABLE] = "data centre unreachable",
  [POOL_NO_PATH] = "no path",
  [POOL_HAS_PATH] = "has path",
  [POOL_AVOIDED] = "avoided",
  [POOL_LIMITED] = "limited",
  [POOL_NO_PERMIT] = "no permit",
};

/* Returns the name of OBSTACLE.  */
const char *
explain_obstacle (enum pool_obstacle obstacle)
{
  return obstacle_names[obstacle];
}

/* An explanation in the making. */
struct explanation
{
  const struct explain_sources *sources;
  const struct explain_query *query;
  const struct route *route;
  const struct service *service;
  const struct customer *customer;
  int64_t now_ms;
  json_t *json;
};

/* Sets the first sentence of the answer, unless there is one: what comes first
   in the pipeline decides.  */
static void
set_summary (struct explanation *at, char *text)
{
  if (!json_object_get (at->json, "summary"))
    json_object_set_new (at->json, "summary", json_string (text));
  free (text);
}

static const char *
mode_name (enum route_retry_mode mode)
{
  static const char *const names[] = { [ROUTE_IDEMPOTENT] = "idempotent",
                                       [ROUTE_ONCE] = "once",
                                       [ROUTE_STREAM] = "stream" };

  return names[mode];
}

static uint64_t
program_hash (const struct explain_query *query)
{
  return query->program ? id_hash_text (query->program) : 0;
}

static bool
explain_route (struct explanation *at)
{
  const struct explain_query *query = at->query;
  const struct routing *routing = at->sources->routing;

  if (!routing)
    {
      set_summary (at, xstrdup ("Refused: this host has no configuration "
                                "yet."));
      return false;
    }
  at->route = routing_find_route (routing, query->host, query->path);
  if (!at->route)
    {
      set_summary (at, xasprintf ("Refused: no route of host name %s matches "
                                  "the path %s.",
                                  query->host, query->path));
      return false;
    }
  json_object_set_new (
      at->json, "route",
      json_pack ("{s:s, s:s, s:s, s:b, s:b, s:I, s:I}", "name",
                 at->route->name, "path_prefix", at->route->path_prefix,
                 "mode", mode_name (at->route->retry_mode), "resumable",
                 at->route->resumable, "open", at->route->is_open,
                 "timeout_ms", (json_int_t)at->route->timeout_ms,
                 "configuration", (json_int_t)routing->version));
  return true;
}

/* Names the service.  Without a program it is drawn by weight, so the first
   one is taken and the choice is said to be by chance.  */
static bool
explain_service (struct explanation *at)
{
  uint64_t program = program_hash (at->query);

  at->service = route_pick_service (at->route, at->sources->routing->services,
                                    program);
  json_object_set_new (at->json, "service_by_chance",
                       json_boolean (!program && at->route->target_count > 1));
  if (!at->service)
    {
      set_summary (at, xasprintf ("Refused: route %s has no service.",
                                  at->route->name));
      return false;
    }
  json_object_set_new (at->json, "service", json_string (at->service->name));
  return true;
}

static const char *
limit_name (enum limits_verdict verdict)
{
  static const char *const names[] = { [LIMITS_ADMITTED] = "admitted",
                                       [LIMITS_REFUSED] = "refused",
                                       [LIMITS_PENDING] = "borrows or waits" };

  return names[verdict];
}

static bool
explain_customer (struct explanation *at)
{
  const char *name = at->query->customer;

  if (at->route->is_open || !name)
    return true;
  at->customer = routing_find_customer_name (at->sources->routing, name);
  if (!at->customer)
    set_summary (
        at, xasprintf ("Refused: the customer %s is unknown here.", name));
  return at->customer != NULL;
}

static void
explain_limit (struct explanation *at)
{
  struct limits_preview preview;

  if (!at->customer || !at->sources->limits)
    return;
  preview = limits_preview (at->sources->limits, at->customer,
                            at->query->begins_program);
  json_object_set_new (
      at->json, "limit",
      json_pack ("{s:s, s:s, s:b, s:b, s:I, s:I, s:I}", "customer",
                 at->customer->name, "verdict", limit_name (preview.verdict),
                 "limited", preview.is_limited, "share_held_here",
                 preview.is_holder, "per_1000_s",
                 (json_int_t)at->customer->rate_milli, "burst",
                 (json_int_t)at->customer->burst, "retry_after_ms",
                 (json_int_t)preview.retry_after_ms));
  if (preview.verdict == LIMITS_REFUSED)
    set_summary (at, xasprintf ("Refused: the rate limit of customer %s is "
                                "exceeded; Retry-After %lld ms.",
                                at->customer->name,
                                (long long)preview.retry_after_ms));
}

static const char *
admission_reason (const struct admission_preview *preview)
{
  if (preview->is_hopeless)
    return "the deadline is shorter than any answer takes";
  if (preview->lacks_memory)
    return "this host buffers too much for slow readers";
  if (preview->decision.verdict == ADMISSION_REFUSED_SHARE)
    return "the service is loaded and the customer has had its share";
  if (preview->decision.verdict == ADMISSION_REFUSED_LOAD)
    return "the service is loaded, the program would end late";
  return preview->decision.share < 1 ? "admitted by chance"
                                     : "the service has room";
}

static void
explain_admission (struct explanation *at)
{
  const struct explain_query *query = at->query;
  struct admission_ask ask
      = { .service = at->service->name,
          .customer = at->customer ? at->customer->name : NULL,
          .program = program_hash (query),
          .begins_program = query->begins_program,
          .request_left_ms = route_limit_ms (at->route, query->deadline_ms),
          .program_left_ms = query->program_deadline_ms };
  struct admission_preview preview;
  const struct admission_load *load = &preview.load;

  if (!at->sources->admission
      || !route_admits_programs (at->route, query->program_deadline_ms))
    return;
  preview = admission_step_preview (at->sources->admission, &ask, at->now_ms);
  json_object_set_new (
      at->json, "admission",
      json_pack ("{s:b, s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}",
                 "admitted", preview.is_admitted, "why",
                 admission_reason (&preview), "retry_after_ms",
                 (json_int_t)preview.decision.retry_after_ms, "share_permille",
                 (json_int_t)(preview.decision.share * PERMILLE), "wait_ms",
                 (json_int_t)preview.decision.wait_ms, "endpoints",
                 (json_int_t)load->endpoints, "reporting",
                 (json_int_t)load->reporting, "slots", (json_int_t)load->slots,
                 "running", (json_int_t)load->running, "waiting",
                 (json_int_t)load->waiting));
  if (!preview.is_admitted)
    set_summary (at, xasprintf ("Refused by admission: %s; Retry-After %lld "
                                "ms.",
                                admission_reason (&preview),
                                (long long)preview.decision.retry_after_ms));
}

static json_t *
figures_to_json (const struct speed_figures *figures)
{
  return json_pack (
      "{s:I, s:I, s:I, s:I, s:I}", "first_event_us",
      (json_int_t)figures->values[SPEED_FIRST_US], "prefill_ns_per_token",
      (json_int_t)figures->values[SPEED_PREFILL_NS], "event_us",
      (json_int_t)figures->values[SPEED_EVENT_US], "call_us",
      (json_int_t)figures->values[SPEED_CALL_US], "errors_permille",
      (json_int_t)figures->values[SPEED_ERROR_PERMILLE]);
}

static json_t *
candidate_to_json (const struct pool_candidate *candidate,
                   const struct place_options *options, int64_t now_ms)
{
  const struct pool_endpoint *endpoint = candidate->endpoint;
  const struct place_endpoint *place = &candidate->place;
  json_t *json = json_pack (
      "{s:s, s:s, s:s, s:s, s:b, s:s, s:b, s:I, s:I, s:I, s:I, s:I, s:o}",
      "id", endpoint->id, "address", endpoint->address, "data_centre",
      endpoint->data_centre, "version", pool_endpoint_version (endpoint),
      "eligible", place->eligible, "why",
      explain_obstacle (candidate->obstacle), "cold", endpoint->is_cold,
      "slots", (json_int_t)place->slots, "running", (json_int_t)place->running,
      "waiting", (json_int_t)place->waiting, "cached_tokens",
      (json_int_t)place->cached_tokens, "cost_us", (json_int_t)place->cost_us,
      "learned", figures_to_json (&candidate->figures));

  json_object_set_new (json, "first_event_us",
                       json_integer (place_first_event_us (place, options)));
  json_object_set_new (json, "completion_us",
                       json_integer (place_completion_us (place, options)));
  if (candidate->obstacle == POOL_AVOIDED)
    json_object_set_new (json, "avoided_for_ms",
                         json_integer (endpoint->avoid_until_ms - now_ms));
  if (candidate->obstacle == POOL_NO_PERMIT)
    json_object_set_new (json, "no_permit_for_ms",
                         json_integer (endpoint->permit_after_ms - now_ms));
  if (endpoint->limit_milli >= 0)
    json_object_set_new (json, "limit_per_1000_s",
                         json_integer (endpoint->limit_milli));
  if (candidate->return_percent < 100)
    json_object_set_new (json, "return_percent",
                         json_integer (candidate->return_percent));
  return json;
}

static const struct pool_candidate *
find_cheapest (const struct pool_preview *preview, size_t *eligible)
{
  const struct pool_candidate *best = NULL;

  *eligible = 0;
  for (size_t i = 0; i < preview->count; i++)
    {
      const struct pool_candidate *candidate = &preview->candidates[i];

      if (!candidate->place.eligible)
        continue;
      (*eligible)++;
      if (!best || candidate->place.cost_us < best->place.cost_us)
        best = candidate;
    }
  return best;
}

/* Returns why an endpoint is picked, as a sentence that the caller frees.  */
static char *
reason_of (const struct pool_preview *preview)
{
  size_t eligible;
  const struct pool_candidate *picked = &preview->candidates[preview->picked];
  const struct pool_candidate *best = find_cheapest (preview, &eligible);
  double cost_ms = (double)picked->place.cost_us / US_PER_MS;

  if (eligible == 1)
    return xasprintf ("Goes to %s, the only one of %zu endpoints that is "
                      "eligible.",
                      picked->endpoint->id, preview->count);
  if (best->place.cost_us == picked->place.cost_us)
    return xasprintf ("Goes to %s, whose cost of %.1f ms is the lowest of %zu "
                      "eligible endpoints.",
                      picked->endpoint->id, cost_ms, eligible);
  return xasprintf ("Goes to %s, drawn among the endpoints that cost about as "
                    "much as the cheapest one: %.1f ms, against %.1f ms of "
                    "%s.",
                    picked->endpoint->id, cost_ms,
                    (double)best->place.cost_us / US_PER_MS,
                    best->endpoint->id);
}

/* Picks an endpoint that another host reaches.  */
static bool
explain_relay (struct explanation *at, const struct pool_query *query)
{
  struct pool_query relayed = *query;
  struct pool_preview preview;
  bool is_found;

  if (!at->sources->relays
      || !relay_client_has_helper (at->sources->relays, query->service,
                                   at->now_ms))
    return false;
  relayed.is_relayed = true;
  preview = pool_preview (at->sources->pool, &relayed, at->now_ms);
  is_found = preview.picked >= 0;
  if (is_found)
    {
      const char *id = preview.candidates[preview.picked].endpoint->id;

      json_object_set_new (at->json, "picked", json_string (id));
      set_summary (at, xasprintf ("Goes to %s by way of another host, since "
                                  "this one reaches no eligible endpoint.",
                                  id));
    }
  pool_preview_release (&preview);
  return is_found;
}

/* Tells what is left when no endpoint is eligible, in the order in which a
   request tries it.  */
static void
explain_fallback (struct explanation *at, const struct pool_query *query)
{
  const struct pool *pool = at->sources->pool;
  const struct pool_endpoint *endpoint;

  if (explain_relay (at, query))
    return;
  endpoint = pool_pick_least_avoided (pool, query, at->now_ms);
  if (endpoint)
    {
      json_object_set_new (at->json, "picked", json_string (endpoint->id));
      set_summary (at, xasprintf ("Goes to %s, which is not eligible, but "
                                  "whose avoidance ends first.",
                                  endpoint->id));
      return;
    }
  endpoint = pool_pick_awaiting_permit (pool, query, at->now_ms);
  if (endpoint)
    set_summary (
        at, xasprintf (
                "Waits for a permit of %s, the first to have "
                "one in %lld ms.",
                endpoint->id,
                (long long)MAX (endpoint->permit_after_ms - at->now_ms, 0)));
  else
    set_summary (at, xasprintf ("Goes nowhere now: no endpoint of service %s "
                                "is eligible.",
                                query->service));
}

static struct pool_query
make_pool_query (const struct explanation *at)
{
  const struct explain_query *query = at->query;

  return (struct pool_query){
    .service = at->service->name,
    .parts = query->parts,
    .part_count = query->part_count,
    .prompt_tokens = MAX (query->prompt_tokens, 0),
    .program = program_hash (query),
    .build
    = query->version ? pool_build_of (at->service->name, query->version) : 0,
    .is_unrepeatable = at->route->retry_mode == ROUTE_ONCE
  };
}

/* Whether PICKED, which has no limit, takes nothing because others are over
   theirs.  */
static bool
is_overflowing (const struct explanation *at, const struct pool_query *query,
                const struct pool_endpoint *picked)
{
  return picked->limit_milli < 0
         && pool_may_overflow (at->sources->pool, query, at->now_ms)
         && pool_is_full (picked, at->now_ms);
}

static void
explain_pick (struct explanation *at, const struct pool_query *query,
              const struct pool_preview *preview)
{
  const struct pool_endpoint *picked;

  if (preview->picked < 0)
    {
      explain_fallback (at, query);
      return;
    }
  picked = preview->candidates[preview->picked].endpoint;
  if (is_overflowing (at, query, picked))
    {
      set_summary (at, xasprintf ("Waits for a permit or is refused: %s, the "
                                  "best one, is full, and others are over "
                                  "their limits or evacuated.",
                                  picked->id));
      return;
    }
  json_object_set_new (at->json, "picked", json_string (picked->id));
  set_summary (at, reason_of (preview));
}

static void
explain_endpoints (struct explanation *at)
{
  struct pool_query query = make_pool_query (at);
  struct pool_preview preview
      = pool_preview (at->sources->pool, &query, at->now_ms);
  json_t *list = json_array ();

  for (size_t i = 0; i < preview.count && i < MAX_LISTED; i++)
    json_array_append_new (list,
                           candidate_to_json (&preview.candidates[i],
                                              &preview.options, at->now_ms));
  json_object_set_new (at->json, "endpoints", list);
  json_object_set_new (at->json, "endpoint_count",
                       json_integer ((json_int_t)preview.count));
  explain_pick (at, &query, &preview);
  pool_preview_release (&preview);
}

/* A stream goes on at the endpoint, or at least the version, that began it,
   which this host would ask the keepers for.  */
static void
explain_resumption (struct explanation *at)
{
  if (at->query->resumes && at->route->resumable)
    json_object_set_new (
        at->json, "resumption",
        json_string (at->query->version
                         ? "only endpoints of the given version are eligible"
                         : "the stream's version is asked for first and not "
                           "known here; name it to see who is eligible"));
}

static void
explain_keepers (struct explanation *at)
{
  const struct explain_query *query = at->query;
  uint64_t customer = at->customer ? id_hash_text (at->customer->name) : 0;

  if (!query->previous || !at->sources->conversations || !at->route->retained
      || at->route->retry_mode != ROUTE_STREAM)
    return;
  json_object_set_new (
      at->json, "keepers",
      conversations_keepers_to_json (
          at->sources->conversations,
          turn_group (customer, query->program, query->previous), at->now_ms));
}

/* Returns where the request of QUERY would go at NOW_MS, as a new reference:
   what each step of the pipeline would decide, and in "summary" what comes of
   it.  */
json_t *
explain_request (const struct explain_sources *sources,
                 const struct explain_query *query, int64_t now_ms)
{
  struct explanation at = { .sources = sources,
                            .query = query,
                            .now_ms = now_ms,
                            .json = json_object () };

  if (query->method)
    json_object_set_new (at.json, "method", json_string (query->method));
  if (!explain_route (&at) || !explain_customer (&at)
      || !explain_service (&at))
    return at.json;
  explain_admission (&at);
  explain_limit (&at);
  explain_resumption (&at);
  explain_keepers (&at);
  explain_endpoints (&at);
  return at.json;
}
