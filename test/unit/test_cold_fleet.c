#include "common/buf.h"
#include "common/id.h"
#include "peer/packed_frame.h"
#include "policy/endpoint_limit.h"
#include "request/endpoint_limiter.h"
#include "suites.h"
#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* A fleet in virtual time, some of whose endpoints become cold while it sends
   a normal second's load: half of what the warm endpoints take.  */

enum
{
  HOSTS = 240,
  DATA_CENTRES = 4,
  ENDPOINTS = 20,
  COLD_ENDPOINTS = ENDPOINTS / 2, /* those with an even index */
  SLOTS = 6,
  WARM_MS = 50, /* service time: 2,400 requests a second in all */
  SLOW_MS = 200,
  REQUESTS_PER_S = 960,
  HEAVY_PER_S = 3000, /* more than all take while half are cold */
  TICK_MS = 50,
  RING_MS = 2048,
  COLD_MS = 3000,
  COLD_MILLI = 20000, /* the users': 20 requests a second */
  OVERRUN_MILLI = 1500,
  SLACK_MILLI = 5000,
  SECOND_BOUND = 20 * 3 / 2 + 5,
  LEARN_MS = 300, /* until hosts with a late registry are told by others */
  LATE_MS = 2000, /* how late that registry is */
  MAX_ARRIVALS = 4096,
  /* Of the 50 requests that a cold endpoint tolerates in the counted time,
     while it has no holder for half of that. */
  MIN_USED = 15,
  MAX_TRIES = 4,
  MAX_WAIT_MS = 300,
  /* As for endpoints that name limits (test_endpoint_limits.c): the wait for a
     turn, and 250 ms. */
  REFUSE_MS = MAX_WAIT_MS + 250,
  DEFAULT_SEED = 10, /* with which the bound of refusals was exceeded once */
};

struct fleet;

struct fleet_host
{
  struct transport transport; /* first member */
  struct fleet *fleet;
  int index;
  char name[8];
  char data_centre[8];
  struct pool *pool;
  struct endpoint_limiter *limiter; /* NULL: killed */
  bool is_paused;
  int64_t paused_ms; /* in all */
  bool is_cut;       /* from all hosts; endpoints are reached */
  int64_t list_due_ms;
  int64_t received_ms[HOSTS];
};

struct fleet_endpoint
{
  char id[8];
  int64_t cold_ms; /* in its registry entry */
  int64_t revision;
  int64_t cold_until_ms;
  int running;
  int holder;                     /* the host that was asked last */
  int64_t sent_ms[MAX_ARRIVALS];  /* since the fleet must know that it is */
  int64_t heard_ms[MAX_ARRIVALS]; /* cold */
  uint32_t arrivals;
};

struct fleet_request
{
  struct fleet_host *host;
  uint64_t start; /* of the endpoint */
  uint32_t tries;
  bool waits;
  int64_t begun_ms;
  int64_t asked_ms;
  int64_t paused_ms; /* of the host, before it began */
  struct fleet_request *next;
};

enum event_kind
{
  EVENT_FRAME,
  EVENT_SEND,
  EVENT_ARRIVAL,
  EVENT_ANSWER,
};

struct event
{
  enum event_kind kind;
  struct fleet_host *from;
  struct fleet_host *host;
  struct fleet_request *request;
  int endpoint;
  int64_t sent_ms;
  struct buf bytes;
};

struct fleet
{
  int64_t now_ms;
  uint64_t seed;
  struct fleet_host hosts[HOSTS];
  struct fleet_endpoint endpoints[ENDPOINTS];
  GQueue ring[RING_MS];
  struct fleet_request *requests; /* all, freed at the end */
  uint64_t requests_per_s;
  uint32_t begun;
  uint32_t served;
  uint32_t refused;
  int64_t slowest_refusal_ms;
  int64_t counted_from_ms; /* arrivals */
};

static uint64_t
next_random (struct fleet *fleet)
{
  fleet->seed = id_hash64 (&fleet->seed, sizeof fleet->seed, 1);
  return fleet->seed;
}

/* State of what the hosts draw.  */
static uint64_t host_seed;

static uint32_t
draw_word (void)
{
  host_seed = id_hash64 (&host_seed, sizeof host_seed, 2);
  return (uint32_t)host_seed;
}

static void
draw_bytes (void *const out, const size_t len)
{
  uint8_t *bytes = out;

  for (size_t i = 0; i < len; i++)
    bytes[i] = (uint8_t)(draw_word () >> 8);
}

static const char *
drawing_name (void)
{
  return "seeded, for simulations";
}

/* What the hosts draw themselves, as nonces and choices between endpoints, is
   repeatable, too.  The environment variable COLD_SEED sets another seed.  */
static void
seed_hosts (void)
{
  static randombytes_implementation drawing = {
    .implementation_name = drawing_name, .random = draw_word, .buf = draw_bytes
  };
  const char *seed = getenv ("COLD_SEED");

  host_seed = seed ? strtoull (seed, NULL, 10) : DEFAULT_SEED;
  printf ("(seed %" PRIu64 ") ", host_seed);
  randombytes_set_implementation (&drawing);
}

static struct event *
schedule (struct fleet *fleet, enum event_kind kind, int64_t delay_ms)
{
  struct event *event = xcalloc (1, sizeof *event);

  event->kind = kind;
  event->sent_ms = fleet->now_ms;
  g_queue_push_tail (&fleet->ring[(fleet->now_ms + delay_ms) % RING_MS],
                     event);
  return event;
}

static void
event_destroy (gpointer data)
{
  struct event *event = data;

  buf_release (&event->bytes);
  free (event);
}

static uint64_t
start_of (const struct fleet *fleet, int endpoint)
{
  int64_t started_ms = 0;

  return id_hash64 (&started_ms, sizeof started_ms,
                    id_hash_text (fleet->endpoints[endpoint].id));
}

static int
index_of (const struct fleet *fleet, uint64_t start)
{
  for (int i = 0; i < ENDPOINTS; i++)
    if (start_of (fleet, i) == start)
      return i;
  return 0;
}

static bool
send_frame (struct transport *transport, const char *name,
            const Peer__Frame *frame)
{
  struct fleet_host *from = (struct fleet_host *)transport;
  struct fleet *fleet = from->fleet;
  struct event *event
      = schedule (fleet, EVENT_FRAME, 1 + (int64_t)(next_random (fleet) % 3));

  event->from = from;
  event->host = &fleet->hosts[atoi (name + 1)];
  packed_frame_append (&event->bytes, frame);
  if (frame->body_case == PEER__FRAME__BODY_ENDPOINT_ASK)
    fleet->endpoints[index_of (fleet, frame->endpoint_ask->endpoint)].holder
        = event->host->index;
  return true;
}

static void
ping_host (struct transport *transport, const char *name)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__Ping ping = PEER__PING__INIT;

  frame.body_case = PEER__FRAME__BODY_PING;
  frame.ping = &ping;
  send_frame (transport, name, &frame);
}

static int64_t
last_received_ms (struct transport *transport, const char *name)
{
  return ((struct fleet_host *)transport)->received_ms[atoi (name + 1)];
}

static const struct transport_vtable transport_vtable = {
  .send = send_frame, .ping = ping_host, .last_received_ms = last_received_ms
};

/* Gives HOST the registry's present entries.  */
static void
apply_registry (struct fleet *fleet, struct fleet_host *host)
{
  struct endpoint_list *list = xcalloc (1, sizeof *list);

  list->entries = xcalloc (ENDPOINTS, sizeof *list->entries);
  list->count = ENDPOINTS;
  for (int i = 0; i < ENDPOINTS; i++)
    list->entries[i] = (struct endpoint_entry){
      .id = xstrdup (fleet->endpoints[i].id),
      .service = xstrdup ("app"),
      .address = xstrdup ("127.0.0.1:1"),
      .data_centre = xasprintf ("dc%d", i % DATA_CENTRES),
      .slots = SLOTS,
      .cold_ms = fleet->endpoints[i].cold_ms,
      .revision = fleet->endpoints[i].revision,
    };
  pool_apply (host->pool, list, fleet->now_ms);
  endpoint_list_destroy (list);
  host->list_due_ms = 0;
}

static void
start_host (struct fleet *fleet, struct fleet_host *host)
{
  struct endpoint_limiter_options options
      = { .host = host->name,
          .data_centre = host->data_centre,
          .transport = &host->transport,
          .cold_bound = { OVERRUN_MILLI, SLACK_MILLI } };
  struct pool_cold_rate rate = { .service = "app", .rate_milli = COLD_MILLI };
  struct host_location locations[HOSTS];

  for (int i = 0; i < HOSTS; i++)
    locations[i]
        = (struct host_location){ .name = fleet->hosts[i].name,
                                  .data_centre = fleet->hosts[i].data_centre };
  host->pool = options.pool = pool_create (host->data_centre);
  pool_set_cold_rates (host->pool, &rate, 1, fleet->now_ms);
  apply_registry (fleet, host);
  host->limiter = endpoint_limiter_create (&options);
  endpoint_limiter_set_hosts (host->limiter, locations, HOSTS, fleet->now_ms);
}

static void
kill_host (struct fleet_host *host)
{
  endpoint_limiter_destroy (host->limiter);
  pool_destroy (host->pool);
  host->limiter = NULL;
}

static struct fleet *
create_fleet (void)
{
  struct fleet *fleet = xcalloc (1, sizeof *fleet);

  seed_hosts ();
  fleet->seed = id_hash64 (&host_seed, sizeof host_seed, 3);
  fleet->requests_per_s = REQUESTS_PER_S;
  fleet->now_ms = 100000;
  fleet->counted_from_ms = INT64_MAX;
  for (int i = 0; i < ENDPOINTS; i++)
    {
      snprintf (fleet->endpoints[i].id, sizeof fleet->endpoints[i].id, "e%d",
                i);
      fleet->endpoints[i].revision = 1;
    }
  for (int i = 0; i < HOSTS; i++)
    {
      struct fleet_host *host = &fleet->hosts[i];

      host->transport.vtable = &transport_vtable;
      host->fleet = fleet;
      host->index = i;
      snprintf (host->name, sizeof host->name, "h%d", i);
      snprintf (host->data_centre, sizeof host->data_centre, "dc%d",
                i % DATA_CENTRES);
    }
  for (int i = 0; i < HOSTS; i++)
    start_host (fleet, &fleet->hosts[i]);
  return fleet;
}

static void
destroy_fleet (struct fleet *fleet)
{
  for (int i = 0; i < HOSTS; i++)
    if (fleet->hosts[i].limiter)
      kill_host (&fleet->hosts[i]);
  for (int i = 0; i < RING_MS; i++)
    g_queue_clear_full (&fleet->ring[i], event_destroy);
  while (fleet->requests)
    {
      struct fleet_request *next = fleet->requests->next;

      free (fleet->requests);
      fleet->requests = next;
    }
  free (fleet);
  randombytes_set_implementation (&randombytes_sysrandom_implementation);
}

static void dispatch (struct fleet_request *request);

static void
send_request (struct fleet_request *request, int64_t wait_ms)
{
  struct event *event
      = schedule (request->host->fleet, EVENT_SEND, MAX (wait_ms, 1));

  event->host = request->host;
  event->request = request;
}

static void
handle_permit (void *data, bool is_granted, int64_t wait_ms)
{
  struct fleet_request *request = data;

  struct fleet *fleet = request->host->fleet;

  if (is_granted)
    {
      send_request (request, wait_ms);
      return;
    }
  if (fleet->now_ms - request->asked_ms >= ENDPOINT_LIMITER_ASK_TIMEOUT_MS)
    {
      request->tries = MAX_TRIES;
      request->waits = true;
    }
  dispatch (request);
}

static void
refuse (struct fleet_request *request)
{
  struct fleet *fleet = request->host->fleet;
  int64_t paused_ms = request->host->paused_ms - request->paused_ms;
  int64_t taken_ms = fleet->now_ms - request->begun_ms - paused_ms;

  fleet->refused++;
  if (taken_ms > fleet->slowest_refusal_ms)
    fleet->slowest_refusal_ms = taken_ms;
}

/* Tries limited endpoints, then others, then waits for a turn, as
   request/request.c does.  */
static void
dispatch (struct fleet_request *request)
{
  struct fleet_host *host = request->host;
  int64_t now_ms = host->fleet->now_ms;
  struct pool_query query
      = { .service = "app", .is_unlimited = request->tries++ >= MAX_TRIES };
  struct permit_query permit = { .handler = handle_permit, .data = request };
  struct permit_ask *ask;
  enum permit_verdict verdict;
  int64_t wait_ms;

  if (!host->limiter || request->tries > 2 * MAX_TRIES)
    {
      refuse (request);
      return;
    }
  permit.endpoint = pool_pick (host->pool, &query, now_ms);
  if (!permit.endpoint && !request->waits)
    {
      request->waits = true;
      permit.max_wait_ms = MAX_WAIT_MS;
      permit.endpoint = pool_pick_awaiting_permit (host->pool, &query, now_ms);
    }
  if (!permit.endpoint)
    {
      refuse (request);
      return;
    }
  request->start = permit.endpoint->start;
  request->asked_ms = now_ms;
  verdict = endpoint_limiter_acquire (host->limiter, &permit, now_ms, &wait_ms,
                                      &ask);
  if (verdict != PERMIT_PENDING)
    handle_permit (request, verdict == PERMIT_GRANTED, wait_ms);
}

static void
begin_request (struct fleet *fleet)
{
  struct fleet_host *host = &fleet->hosts[next_random (fleet) % HOSTS];
  struct fleet_request *request;

  if (!host->limiter || host->is_paused)
    return;
  request = xcalloc (1, sizeof *request);
  request->host = host;
  request->begun_ms = fleet->now_ms;
  request->paused_ms = host->paused_ms;
  request->next = fleet->requests;
  fleet->requests = request;
  fleet->begun++;
  dispatch (request);
}

static void
handle_send (struct fleet *fleet, const struct event *event)
{
  struct pool_endpoint *endpoint
      = event->host->limiter
            ? pool_find_start (event->host->pool, event->request->start)
            : NULL;
  struct pool_query query = { .service = "app" };
  struct event *arrival;

  if (!endpoint)
    return;
  pool_acquire (endpoint, &query, fleet->now_ms);
  arrival = schedule (fleet, EVENT_ARRIVAL, 1);
  arrival->host = event->host;
  arrival->request = event->request;
  arrival->endpoint = index_of (fleet, endpoint->start);
}

static void
handle_arrival (struct fleet *fleet, const struct event *event)
{
  struct fleet_endpoint *endpoint = &fleet->endpoints[event->endpoint];
  bool is_cold = fleet->now_ms < endpoint->cold_until_ms;
  bool is_full = endpoint->running >= SLOTS;
  struct event *answer;

  if (is_cold && fleet->now_ms >= fleet->counted_from_ms
      && endpoint->arrivals < MAX_ARRIVALS)
    {
      endpoint->sent_ms[endpoint->arrivals] = event->sent_ms;
      endpoint->heard_ms[endpoint->arrivals++] = fleet->now_ms;
    }
  endpoint->running += !is_full;
  answer = schedule (fleet, EVENT_ANSWER,
                     is_full   ? 1
                     : is_cold ? SLOW_MS
                               : WARM_MS);
  answer->host = event->host;
  answer->request = is_full ? event->request : NULL;
  answer->endpoint = event->endpoint;
}

static void
handle_answer (struct fleet *fleet, const struct event *event)
{
  struct fleet_endpoint *endpoint = &fleet->endpoints[event->endpoint];
  struct pool_endpoint *known
      = event->host->limiter ? pool_find_start (
            event->host->pool, start_of (fleet, event->endpoint))
                             : NULL;

  if (!event->request)
    {
      endpoint->running--;
      fleet->served++;
    }
  if (!known)
    return;
  pool_release (event->host->pool, known);
  endpoint_limiter_record_limit (event->host->limiter, known, -1,
                                 event->sent_ms, fleet->now_ms);
  pool_record_load (known, endpoint->running, 0, fleet->now_ms);
  if (!event->request)
    return;
  pool_record_failure (known, fleet->now_ms);
  dispatch (event->request);
}

static void
handle_frame (struct fleet *fleet, struct event *event)
{
  struct fleet_host *host = event->host;
  Peer__Frame *frame;

  if (!event->from->limiter || !host->limiter || event->from->is_cut
      || host->is_cut)
    return;
  frame = packed_frame_unpack (&event->bytes);
  host->received_ms[event->from->index] = fleet->now_ms;
  if (frame->body_case == PEER__FRAME__BODY_PING)
    {
      Peer__Frame reply = PEER__FRAME__INIT;
      Peer__Pong pong = PEER__PONG__INIT;

      reply.body_case = PEER__FRAME__BODY_PONG;
      reply.pong = &pong;
      send_frame (&host->transport, event->from->name, &reply);
    }
  endpoint_limiter_handle_frame (host->limiter, event->from->name, frame,
                                 fleet->now_ms);
  peer__frame__free_unpacked (frame, NULL);
}

/* A paused host handles nothing; what reaches it waits.  */
static void
handle_events (struct fleet *fleet)
{
  GQueue *due = &fleet->ring[fleet->now_ms % RING_MS];
  guint count = due->length;

  while (due->length > 0 && count-- > 0)
    {
      struct event *event = g_queue_pop_head (due);

      if (event->kind != EVENT_ARRIVAL && event->host->is_paused)
        {
          g_queue_push_tail (&fleet->ring[(fleet->now_ms + 1) % RING_MS],
                             event);
          continue;
        }
      if (event->kind == EVENT_FRAME)
        handle_frame (fleet, event);
      else if (event->kind == EVENT_SEND)
        handle_send (fleet, event);
      else if (event->kind == EVENT_ARRIVAL)
        handle_arrival (fleet, event);
      else
        handle_answer (fleet, event);
      event_destroy (event);
      count = MAX (count, due->length);
    }
}

static void
run_fleet (struct fleet *fleet, int64_t duration_ms)
{
  int64_t end_ms = fleet->now_ms + duration_ms;

  while (fleet->now_ms < end_ms)
    {
      fleet->now_ms++;
      handle_events (fleet);
      for (int i = 0; i < HOSTS; i++)
        {
          struct fleet_host *host = &fleet->hosts[i];

          host->paused_ms += host->is_paused;
          if (!host->limiter || host->is_paused)
            continue;
          if (host->list_due_ms && host->list_due_ms <= fleet->now_ms)
            apply_registry (fleet, host);
          if ((fleet->now_ms + i) % TICK_MS == 0)
            endpoint_limiter_tick (host->limiter, fleet->now_ms);
        }
      for (uint64_t due = fleet->requests_per_s; due > 0;
           due -= MIN (due, 1000))
        if (next_random (fleet) % 1000 < due)
          begin_request (fleet);
    }
}

/* Makes half of the endpoints cold.  The registry tells hosts within 50 ms,
   and every LATE_EVERY-th one late, if that is not 0.  */
static void
make_cold (struct fleet *fleet, int late_every)
{
  for (int i = 0; i < ENDPOINTS; i += 2)
    {
      fleet->endpoints[i].cold_ms = COLD_MS;
      fleet->endpoints[i].revision++;
      fleet->endpoints[i].cold_until_ms = fleet->now_ms + COLD_MS;
    }
  for (int i = 0; i < HOSTS; i++)
    fleet->hosts[i].list_due_ms
        = fleet->now_ms + 1 + (int64_t)(next_random (fleet) % 50)
          + (late_every && i % late_every == 0 ? LATE_MS : 0);
  fleet->counted_from_ms = fleet->now_ms + LEARN_MS;
  fleet->begun = fleet->served = fleet->refused = 0;
}

/* Returns the most requests that were sent to a cold endpoint and arrived
   there within one second.  */
static uint32_t
most_in_second (const struct fleet *fleet)
{
  uint32_t most = 0;

  for (int i = 0; i < ENDPOINTS; i++)
    {
      const struct fleet_endpoint *endpoint = &fleet->endpoints[i];

      for (uint32_t first = 0; first < endpoint->arrivals; first++)
        {
          int64_t from_ms = endpoint->sent_ms[first];
          uint32_t count = 0;

          for (uint32_t k = 0; k < endpoint->arrivals; k++)
            count += endpoint->sent_ms[k] >= from_ms
                     && endpoint->heard_ms[k] < from_ms + 1000;
          most = MAX (most, count);
        }
    }
  return most;
}

static uint32_t
cold_arrivals (const struct fleet *fleet)
{
  uint32_t arrivals = 0;

  for (int i = 0; i < ENDPOINTS; i++)
    arrivals += fleet->endpoints[i].arrivals;
  return arrivals;
}

static void
check (struct fleet *fleet, uint32_t served_percent)
{
  CU_ASSERT (most_in_second (fleet) <= SECOND_BOUND);
  CU_ASSERT (fleet->served * 100 >= fleet->begun * served_percent);
  CU_ASSERT (fleet->slowest_refusal_ms <= REFUSE_MS);
  if (getenv ("COLD_FIGURES"))
    printf ("most %u begun %u served %u refused %u slowest %d cold %u\n",
            most_in_second (fleet), fleet->begun, fleet->served,
            fleet->refused, (int)fleet->slowest_refusal_ms,
            cold_arrivals (fleet));
}

/* Guards against hosts that each send a little to a cold endpoint and crash it
   together, and against requests that are refused or wait for it while the
   warm half has room for the load of a normal second.  */
static void
test_half_turns_cold (void)
{
  struct fleet *fleet = create_fleet ();

  run_fleet (fleet, 4000);
  make_cold (fleet, 0);
  run_fleet (fleet, COLD_MS);
  check (fleet, 95);
  run_fleet (fleet, 2000);
  for (int i = 0; i < ENDPOINTS; i++)
    CU_ASSERT (pool_at (fleet->hosts[1].pool, (size_t)i)->limit_milli < 0);
  destroy_fleet (fleet);
}

/* Guards against hosts that send as before because the registry has not told
   them yet, while others know.  */
static void
test_late_registry (void)
{
  static const uint64_t loads[] = { REQUESTS_PER_S, HEAVY_PER_S };

  for (int i = 0; i < 2; i++)
    {
      struct fleet *fleet = create_fleet ();

      run_fleet (fleet, 4000);
      fleet->requests_per_s = loads[i];
      make_cold (fleet, 3);
      run_fleet (fleet, COLD_MS);
      check (fleet, i == 0 ? 95 : 30);
      destroy_fleet (fleet);
    }
}

/* Guards against a holder that is killed, or cut off from the other hosts, or
   suspended, whose place is taken while what it permitted is still sent.  */
static void
test_lost_holders (void)
{
  for (int fault = 0; fault < 3; fault++)
    {
      struct fleet *fleet = create_fleet ();
      int holders[COLD_ENDPOINTS];

      run_fleet (fleet, 4000);
      fleet->requests_per_s = HEAVY_PER_S;
      make_cold (fleet, 0);
      run_fleet (fleet, 500);
      for (int i = 0; i < COLD_ENDPOINTS; i++)
        holders[i] = fleet->endpoints[2 * i].holder;
      for (int i = 0; i < COLD_ENDPOINTS; i++)
        {
          struct fleet_host *host = &fleet->hosts[holders[i]];

          if (fault == 0 && host->limiter)
            kill_host (host);
          host->is_cut = fault == 1;
          host->is_paused = fault == 2;
        }
      run_fleet (fleet, 1200);
      for (int i = 0; i < COLD_ENDPOINTS; i++)
        {
          struct fleet_host *host = &fleet->hosts[holders[i]];

          if (!host->limiter)
            start_host (fleet, host);
          host->is_cut = host->is_paused = false;
        }
      run_fleet (fleet, 1300);
      check (fleet, 30);
      CU_ASSERT (cold_arrivals (fleet) >= COLD_ENDPOINTS * MIN_USED);
      destroy_fleet (fleet);
    }
}

/* Guards against a second cold time that the end of the first one, or answers
   without a limit, hide; the load is more than the fleet can serve.  */
static void
test_cold_again (void)
{
  struct fleet *fleet = create_fleet ();

  run_fleet (fleet, 4000);
  fleet->requests_per_s = HEAVY_PER_S;
  make_cold (fleet, 0);
  run_fleet (fleet, COLD_MS - 500);
  make_cold (fleet, 3);
  run_fleet (fleet, COLD_MS);
  check (fleet, 30);
  destroy_fleet (fleet);
}

/* Guards against requests to a process that has started anew at the address
   and under the id of one that a late registry still lists.  */
static void
test_started_anew (void)
{
  struct fleet *fleet = create_fleet ();
  struct fleet_host *host = &fleet->hosts[0];
  struct pool_query query = { .service = "app" };
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__EndpointNotice notice = PEER__ENDPOINT_NOTICE__INIT;
  Peer__EndpointFact fact = PEER__ENDPOINT_FACT__INIT;
  Peer__EndpointFact *facts[] = { &fact };
  Peer__EndpointCold cold = PEER__ENDPOINT_COLD__INIT;

  frame.body_case = PEER__FRAME__BODY_ENDPOINT_NOTICE;
  frame.endpoint_notice = &notice;
  notice.facts = facts;
  notice.n_facts = 1;
  fact.cold = &cold;
  fact.endpoint = 1;
  fact.limit_milli = -1;
  cold.revision = 2;
  cold.remaining_ms = COLD_MS;
  cold.rate_milli = COLD_MILLI;
  cold.started_ms = 1;
  for (int i = 0; i < ENDPOINTS; i++)
    {
      CU_ASSERT_PTR_NOT_NULL (pool_pick (host->pool, &query, fleet->now_ms));
      cold.id_hash = id_hash_text (fleet->endpoints[i].id);
      endpoint_limiter_handle_frame (host->limiter, "h1", &frame,
                                     fleet->now_ms);
    }
  CU_ASSERT_PTR_NULL (pool_pick (host->pool, &query, fleet->now_ms));
  destroy_fleet (fleet);
}

/* Guards against rates that leave no room for a spare holder that wrongly
   takes the primary one for dead, while permits are used late.  */
static void
test_both_holders (void)
{
  enum
  {
    RUN_MS = 10000,
    LATEST_MS = 250,
  };
  const struct cold_bound bound = { OVERRUN_MILLI, SLACK_MILLI };
  struct cold_rates rates = cold_divide (COLD_MILLI, &bound);
  struct endpoint_limit primary;
  struct endpoint_limit spare;
  uint32_t sends[RUN_MS + LATEST_MS] = { 0 };
  uint32_t in_second = 0;
  uint64_t seed = 1;
  int64_t wait_ms;

  CU_ASSERT_EQUAL (rates.primary_milli, COLD_MILLI);
  endpoint_limit_init (&primary, ENDPOINT_LIMIT_PRIMARY, 0);
  endpoint_limit_init (&spare, ENDPOINT_LIMIT_SPARE, 0);
  endpoint_limit_set_cold (&primary, rates.primary_milli,
                           rates.primary_burst_utokens, 0);
  endpoint_limit_set_cold (&spare, rates.spare_milli,
                           rates.spare_burst_utokens, 0);
  for (int64_t now_ms = 0; now_ms < RUN_MS; now_ms++)
    {
      bool is_busy = now_ms / 1000 % 3 != 0; /* else the buckets fill */

      if (is_busy && endpoint_limit_take (&primary, 1, now_ms, &wait_ms))
        sends[now_ms
              + (int64_t)(id_hash64 (&seed, 8, (uint64_t)now_ms)
                          % LATEST_MS)]++;
      if (is_busy && endpoint_limit_take (&spare, 1, now_ms, &wait_ms))
        sends[now_ms
              + (int64_t)(id_hash64 (&seed, 8, ~(uint64_t)now_ms)
                          % LATEST_MS)]++;
    }
  for (int64_t at_ms = 0; at_ms < RUN_MS; at_ms++)
    {
      in_second += sends[at_ms] - (at_ms >= 1000 ? sends[at_ms - 1000] : 0);
      CU_ASSERT (in_second <= SECOND_BOUND);
    }
}

CU_TestInfo cold_fleet_tests[] = {
  { "both holders permit", test_both_holders },
  { "half of a service turns cold", test_half_turns_cold },
  { "the registry is late on a third of the hosts", test_late_registry },
  { "holders are killed, cut off and paused", test_lost_holders },
  { "endpoints turn cold again", test_cold_again },
  { "a process that has started anew", test_started_anew },
  CU_TEST_INFO_NULL,
};
