#include "soak/chains.h"
#include "common/buf.h"
#include "common/id.h"
#include "common/log.h"
#include "request/event_splitter.h"
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  DEADLINE_MS = 3000,
  CONNECT_TIMEOUT_MS = 1000,
  STREAM_EVENTS = 6, /* events in a stream of the mock endpoint */
  MIN_TURNS = 2,     /* of a chain */
  MAX_TURNS = 5,
  MIN_PAUSE_MS = 20, /* between turns; at most twice this */
  RETRY_PAUSE_MS = 150,
  MAX_INPUT_WORDS = 100,
  FORBIDDEN_EVERY = 12, /* steps */
  BRANCH_EVERY = 5,     /* new chains that continue a turn of another */
  /* Turns are kept for 60 s; those that ended longer ago than this are not
     continued, so that none expires on the way.  */
  CONTINUED_WITHIN_MS = 50000,
  /* 95 % of the chains must go on within 15 s.  */
  LAST_CHECK_MS = 15000,
  LAST_CHECK_PERCENT = 95,
  MAX_HEADERS = 12,
};

enum turn_kind
{
  TURN_ALLOWED,
  TURN_FOREIGN, /* names a turn of another customer */
  TURN_UNKNOWN, /* names a turn that never was */
};

/* One turn, kept until the end of the run.  Owned by struct chains. */
struct turn
{
  char id[20];
  enum turn_kind kind;
  const struct turn *previous; /* NULL for the first */
  struct buf body;             /* that the endpoint must get */
  struct buf text;             /* the body and the output */
  long status;
  int64_t ended_ms;
  bool is_whole;
  bool is_continued;
};

/* A caller that runs one chain after another.  Owned by struct chains. */
struct chain
{
  struct chains *chains;
  struct turn *last; /* whole, or NULL before the first turn */
  int remaining;     /* turns of the chain */
  uint64_t program;
  struct turn *turn; /* in progress; NULL between turns */
  struct fetch *fetch;
  struct event_splitter events;
  int64_t last_event;
  bool is_last_check; /* the turn in progress counts in the last check */
  ev_timer timer;
};

struct chains
{
  struct callers_options options;
  struct callers *callers;
  struct chain *list;
  GPtrArray *turns;      /* all turns */
  GPtrArray *whole;      /* those that may be continued */
  GHashTable *by_id;     /* id to struct turn */
  GQueue *to_continue;   /* during the last check */
  int64_t last_check_ms; /* its start; 0 before */
  struct chains_totals totals;
  uint64_t seed;
};

static uint64_t
random_below (struct chains *chains, uint64_t below)
{
  chains->seed = id_hash64 (&chains->seed, sizeof chains->seed, 3);
  return chains->seed % below;
}

static void
schedule_step (struct chain *chain, uint64_t pause_ms)
{
  struct chains *chains = chain->chains;
  double delay_ms = (double)(pause_ms + random_below (chains, pause_ms));

  ev_timer_set (&chain->timer, delay_ms / 1000.0, 0);
  ev_timer_start (chains->options.loop, &chain->timer);
}

/* Appends the data lines of an event to the text of the chain, as the protocol
   has it: each event's data and a line feed.  */
static bool
handle_event (void *data, int64_t id, const char *bytes, size_t len)
{
  static const char marker[] = "data: ";
  struct chain *chain = data;
  const char *content = memmem (bytes, len, marker, strlen (marker));
  const char *end;

  if (!content || id != chain->last_event + 1)
    callers_report_violation (chain->chains->callers,
                              "%s: event %" PRId64 " follows event %" PRId64,
                              chain->turn->id, id, chain->last_event);
  chain->last_event = id;
  if (!content)
    return true;
  content += strlen (marker);
  end = memchr (content, '\n', len - (size_t)(content - bytes));
  buf_append (&chain->turn->text, content,
              end ? (size_t)(end - content) : len - (size_t)(content - bytes));
  buf_append_str (&chain->turn->text, "\n");
  return true;
}

static bool
handle_data (void *data, const char *bytes, size_t len)
{
  struct chain *chain = data;

  if (fetch_status (chain->fetch) == 200)
    event_splitter_append (&chain->events, bytes, len, handle_event, chain);
  return true;
}

static void
check_status (struct chains *chains, const struct turn *turn, bool complete)
{
  long status = turn->status;

  if (turn->kind != TURN_ALLOWED)
    {
      if (status == 200)
        callers_report_violation (
            chains->callers, "%s names a turn that it may not continue (%s)",
            turn->id, turn->kind == TURN_FOREIGN ? "foreign" : "unknown");
    }
  else if (status >= 400 && status < 500 && status != 402 && status != 429)
    callers_report_violation (
        chains->callers,
        "%s got status %ld; its previous turn %s ended %" PRId64 " ms ago",
        turn->id, status, turn->previous ? turn->previous->id : "none",
        turn->previous ? clock_now_ms () - turn->previous->ended_ms : 0);
  else if (status == 200 && complete && !turn->is_whole)
    callers_report_violation (chains->callers,
                              "%s ended before its last event", turn->id);
}

/* Returns the turn that was named in the last check to its queue.  */
static void
finish_last_check (struct chain *chain)
{
  struct chains *chains = chain->chains;

  if (!chain->is_last_check)
    return;
  if (!chain->turn->is_whole)
    g_queue_push_tail (chains->to_continue, chain->last);
  else if (clock_now_ms () - chains->last_check_ms <= LAST_CHECK_MS)
    chains->totals.ends_continued++;
}

static void
handle_done (void *data, const struct fetch_result *result)
{
  struct chain *chain = data;
  struct chains *chains = chain->chains;
  struct turn *turn = chain->turn;

  chain->fetch = NULL;
  turn->status = result->status;
  turn->ended_ms = clock_now_ms ();
  turn->is_whole = turn->kind == TURN_ALLOWED && result->status == 200
                   && result->complete && chain->last_event == STREAM_EVENTS;
  event_splitter_release (&chain->events);
  check_status (chains, turn, result->complete);
  if (turn->is_whole)
    {
      chains->totals.whole++;
      g_ptr_array_add (chains->whole, turn);
    }
  if (chains->last_check_ms > 0)
    finish_last_check (chain);
  else if (turn->is_whole)
    {
      if (chain->last)
        chain->last->is_continued = true;
      chain->last = turn;
      chain->remaining--;
    }
  chain->turn = NULL;
  schedule_step (chain, turn->is_whole ? MIN_PAUSE_MS : RETRY_PAUSE_MS);
}

static struct turn *
create_turn (struct chains *chains, enum turn_kind kind,
             const struct turn *previous)
{
  struct turn *turn = xcalloc (1, sizeof *turn);
  uint64_t words = 1 + random_below (chains, MAX_INPUT_WORDS);

  turn->kind = kind;
  turn->previous = previous;
  snprintf (turn->id, sizeof turn->id, "c%" PRIx64,
            random_below (chains, UINT64_MAX));
  if (previous)
    buf_append (&turn->body, previous->text.data, previous->text.len);
  buf_printf (&turn->body, "[%s", turn->id);
  while (words-- > 0)
    buf_printf (&turn->body, " %" PRIu64, random_below (chains, 100000));
  buf_append_str (&turn->body, "]");
  buf_append (&turn->text, turn->body.data, turn->body.len);
  g_ptr_array_add (chains->turns, turn);
  g_hash_table_insert (chains->by_id, turn->id, turn);
  chains->totals.turns++;
  chains->totals.continued += kind == TURN_ALLOWED && previous;
  chains->totals.forbidden += kind != TURN_ALLOWED;
  return turn;
}

static size_t
build_headers (struct chain *chain, char **headers)
{
  const struct turn *turn = chain->turn;
  size_t count = 0;

  headers[count++] = xstrdup ("Host: h");
  headers[count++] = xasprintf (
      "Credential: %s", turn->kind == TURN_FOREIGN ? "other-key" : "key");
  headers[count++] = xasprintf ("Attempt-Id: %s", turn->id);
  headers[count++] = xasprintf ("Deadline-Ms: %d", DEADLINE_MS);
  headers[count++] = xasprintf ("Program-Id: %" PRIx64, chain->program);
  headers[count++] = xasprintf ("Session-Id: s%" PRIx64, chain->program);
  headers[count++] = xstrdup ("Token-Usage: 20,30");
  if (turn->kind == TURN_UNKNOWN)
    headers[count++] = xasprintf ("Previous-Turn: n%s", turn->id);
  else if (turn->previous)
    headers[count++] = xasprintf ("Previous-Turn: %s", turn->previous->id);
  return count;
}

/* Sends the new input of a turn to a random host.  */
static void
send_turn (struct chain *chain, enum turn_kind kind,
           const struct turn *previous)
{
  struct chains *chains = chain->chains;
  int host = (int)random_below (chains, (uint64_t)chains->options.hosts);
  char *headers[MAX_HEADERS] = { NULL };
  struct turn *turn = create_turn (chains, kind, previous);
  size_t prefix = previous ? previous->text.len : 0;
  char *url = xasprintf ("http://127.0.0.1:%d/chain/%s",
                         chains->options.first_port + host, turn->id);
  struct fetch_options options = { .method = "POST",
                                   .url = url,
                                   .headers = (const char *const *)headers,
                                   .body = turn->body.data + prefix,
                                   .body_len = turn->body.len - prefix,
                                   .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                                   .timeout_ms = DEADLINE_MS,
                                   .single_attempt = true,
                                   .exact_headers = true,
                                   .handle_data = handle_data,
                                   .handle_done = handle_done,
                                   .data = chain };
  size_t count;

  chain->turn = turn;
  chain->last_event = 0;
  count = build_headers (chain, headers);
  chain->fetch = fetch_start (chains->options.fetcher, &options);
  for (size_t i = 0; i < count; i++)
    free (headers[i]);
  free (url);
}

/* Returns a random turn that still may be continued, or NULL.  */
static struct turn *
pick_whole_turn (struct chains *chains)
{
  struct turn *turn;

  if (chains->whole->len == 0)
    return NULL;
  turn = chains->whole->pdata[random_below (chains, chains->whole->len)];
  return clock_now_ms () - turn->ended_ms < CONTINUED_WITHIN_MS ? turn : NULL;
}

/* Starts a chain, sometimes with a turn that was continued before.  */
static void
start_chain (struct chain *chain)
{
  struct chains *chains = chain->chains;

  chain->last = NULL;
  chain->program = random_below (chains, UINT64_MAX);
  chain->remaining
      = MIN_TURNS + (int)random_below (chains, MAX_TURNS - MIN_TURNS + 1);
  if (random_below (chains, BRANCH_EVERY) == 0)
    chain->last = pick_whole_turn (chains);
}

static void
handle_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct chain *chain = timer->data;
  struct chains *chains = chain->chains;
  const struct turn *other;

  if (chains->last_check_ms > 0)
    {
      chain->last = g_queue_pop_head (chains->to_continue);
      chain->is_last_check = chain->last != NULL;
      if (chain->last)
        send_turn (chain, TURN_ALLOWED, chain->last);
      return;
    }
  other = random_below (chains, FORBIDDEN_EVERY) == 0
              ? pick_whole_turn (chains)
              : NULL;
  if (other && random_below (chains, 2) == 0)
    send_turn (chain, TURN_FOREIGN, other);
  else if (other)
    send_turn (chain, TURN_UNKNOWN, NULL);
  else
    {
      if (chain->remaining == 0)
        start_chain (chain);
      send_turn (chain, TURN_ALLOWED, chain->last);
    }
}

static void
free_turn (void *data)
{
  struct turn *turn = data;

  buf_release (&turn->body);
  buf_release (&turn->text);
  free (turn);
}

/* Starts the callers, each with a random initial delay.  */
struct chains *
chains_create (const struct callers_options *options, struct callers *callers)
{
  struct chains *chains = xcalloc (1, sizeof *chains);

  chains->options = *options;
  chains->callers = callers;
  chains->seed = options->seed;
  chains->turns = g_ptr_array_new_with_free_func (free_turn);
  chains->whole = g_ptr_array_new ();
  chains->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  chains->to_continue = g_queue_new ();
  chains->list = xcalloc ((size_t)options->count, sizeof *chains->list);
  for (int i = 0; i < options->count; i++)
    {
      struct chain *chain = &chains->list[i];

      chain->chains = chains;
      ev_timer_init (&chain->timer, handle_timer, 0, 0);
      chain->timer.data = chain;
      schedule_step (chain, RETRY_PAUSE_MS);
    }
  return chains;
}

/* Cancels requests in progress and frees the callers.  */
void
chains_destroy (struct chains *chains)
{
  if (!chains)
    return;
  for (int i = 0; i < chains->options.count; i++)
    {
      if (chains->list[i].fetch)
        fetch_cancel (chains->list[i].fetch);
      ev_timer_stop (chains->options.loop, &chains->list[i].timer);
      event_splitter_release (&chains->list[i].events);
    }
  g_queue_free (chains->to_continue);
  g_hash_table_destroy (chains->by_id);
  g_ptr_array_free (chains->whole, TRUE);
  g_ptr_array_free (chains->turns, TRUE);
  free (chains->list);
  free (chains);
}

/* Once all faults are over: from now on only the chains' last turns are
   continued, each once, and tried again until that succeeds.  */
void
chains_begin_last_check (struct chains *chains)
{
  int64_t now_ms = clock_now_ms ();

  chains->last_check_ms = now_ms;
  for (guint i = 0; i < chains->whole->len; i++)
    {
      struct turn *turn = chains->whole->pdata[i];

      if (turn->is_continued
          || now_ms - turn->ended_ms > CONTINUED_WITHIN_MS - LAST_CHECK_MS)
        continue;
      g_queue_push_tail (chains->to_continue, turn);
      chains->totals.ends++;
    }
}

static bool
is_any_in_progress (const struct chains *chains)
{
  for (int i = 0; i < chains->options.count; i++)
    if (chains->list[i].turn || ev_is_active (&chains->list[i].timer))
      return true;
  return false;
}

/* Returns whether the last check is over: every chain has gone on, or the time
   for that has passed.  */
bool
chains_are_done (const struct chains *chains)
{
  return !is_any_in_progress (chains)
         || clock_now_ms () - chains->last_check_ms > LAST_CHECK_MS;
}

static size_t
first_difference (const struct buf *expected, const char *body, size_t len)
{
  size_t i = 0;

  while (i < expected->len && i < len && expected->data[i] == body[i])
    i++;
  return i;
}

static void
check_turn_bodies (struct chains *chains, const char *id, const json_t *bodies)
{
  const struct turn *turn = g_hash_table_lookup (chains->by_id, id);
  size_t i;
  json_t *body;

  if (!turn || turn->kind != TURN_ALLOWED)
    {
      callers_report_violation (chains->callers, "%s ran, %s", id,
                                turn ? "which names a turn that it may not "
                                       "continue"
                                     : "which was never sent");
      return;
    }
  if (callers_implies_not_run (turn->status))
    callers_report_violation (chains->callers,
                              "%s was refused with status %ld but executed",
                              id, turn->status);
  json_array_foreach (bodies, i, body)
  {
    const char *text = json_string_value (body);
    size_t len = json_string_length (body);
    size_t same = first_difference (&turn->body, text, len);

    if (same != turn->body.len || same != len)
      callers_report_violation (
          chains->callers,
          "%s after %s: the endpoint got %zu bytes instead of %zu, which "
          "differ from byte %zu on: %.40s instead of %.40s",
          id, turn->previous ? turn->previous->id : "none", len,
          turn->body.len, same, text + same, turn->body.data + same);
  }
}

/* Checks the last turns, and BODIES, which maps the ids of turns to the bodies
   that the endpoints got.  */
void
chains_check_bodies (struct chains *chains, const json_t *bodies)
{
  const struct chains_totals *totals = &chains->totals;
  const char *id;
  json_t *list;

  json_object_foreach ((json_t *)(uintptr_t)bodies, id, list)
      check_turn_bodies (chains, id, list);
  for (guint i = 0; i < chains->whole->len; i++)
    {
      const struct turn *turn = chains->whole->pdata[i];

      if (!json_object_get (bodies, turn->id))
        callers_report_violation (
            chains->callers, "%s was answered but not executed", turn->id);
    }
  if (totals->whole == 0
      || (uint64_t)totals->ends_continued * 100
             < (uint64_t)totals->ends * LAST_CHECK_PERCENT)
    callers_report_violation (
        chains->callers, "%u of %u chains went on %d ms after all faults",
        totals->ends_continued, totals->ends, LAST_CHECK_MS);
}

/* Returns the counters of the run so far.  */
struct chains_totals
chains_totals (const struct chains *chains)
{
  return chains->totals;
}
