#include "soak/callers.h"
#include "common/buf.h"
#include "common/id.h"
#include "request/event_splitter.h"
#include <glib.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  DEADLINE_MS = 3000,
  CONNECT_TIMEOUT_MS = 1000,
  STREAM_EVENTS = 6,    /* events in a stream of the mock endpoint */
  MAX_TURN_TOKENS = 30, /* token limit of one turn */
  TOKEN_BUDGET = 120,   /* enough for six turns of the mock endpoint */
  STEPS_PER_PROGRAM = 10,
  MIN_STEP_DELAY_MS = 30, /* the delay is at most twice this */
  MAX_HEADERS = 12,
};

enum attempt_kind
{
  ATTEMPT_TURN,
  ATTEMPT_NOTE,   /* idempotent: may run more than once */
  ATTEMPT_CHARGE, /* not idempotent: runs at most once */
  ATTEMPT_KINDS,
};

/* One request, kept until the end of the run.  Owned by struct callers. */
struct attempt
{
  char id[20];
  enum attempt_kind kind;
  long status; /* HTTP status; 0 if there was no response */
  bool complete;
};

/* One simulated agent.  Owned by struct callers. */
struct caller
{
  struct callers *callers;
  uint64_t program;
  int64_t tokens; /* received by the current program */
  int steps;
  struct attempt *attempt; /* in progress; NULL between steps */
  char stream[20]; /* id of the attempt that brought the first event of the
                      stream; empty for none */
  unsigned source; /* endpoint that sent this event */
  struct fetch *fetch;
  struct event_splitter events;
  int64_t last_event;
  ev_timer step_timer;
  bool done;
};

struct callers
{
  struct callers_options options;
  struct caller *list;
  GHashTable *attempts; /* attempt id to struct attempt */
  struct callers_totals totals;
  uint64_t seed;
  bool stopping;
};

static uint64_t
next_random (struct callers *callers)
{
  callers->seed = id_hash64 (&callers->seed, sizeof callers->seed, 1);
  return callers->seed;
}

/* Prints and counts a violated guarantee.  */
void
callers_report_violation (struct callers *callers, const char *format, ...)
{
  va_list arguments;

  callers->totals.violations++;
  fputs ("VIOLATION: ", stdout);
  va_start (arguments, format);
  vprintf (format, arguments);
  va_end (arguments);
  fputs ("\n", stdout);
}

static void
schedule_next_step (struct caller *caller)
{
  double delay_ms
      = MIN_STEP_DELAY_MS
        + (double)(next_random (caller->callers) % MIN_STEP_DELAY_MS);

  caller->attempt = NULL;
  ev_timer_set (&caller->step_timer, delay_ms / 1000.0, 0);
  ev_timer_start (caller->callers->options.loop, &caller->step_timer);
}

/* Every endpoint has a software version of its own, so that all events of a
   stream must come from one, over all attempts.  */
static void
check_source (struct caller *caller, const char *bytes, size_t len)
{
  static const char marker[] = " from ";
  const char *source = memmem (bytes, len, marker, strlen (marker));
  unsigned port
      = source ? (unsigned)strtoul (source + strlen (marker), NULL, 10) : 0;

  if (!*caller->stream)
    {
      snprintf (caller->stream, sizeof caller->stream, "%s",
                caller->attempt->id);
      caller->source = port;
    }
  if (port != caller->source)
    callers_report_violation (caller->callers,
                              "%s: stream %s began at endpoint %u and goes on "
                              "at %u",
                              caller->attempt->id, caller->stream,
                              caller->source, port);
}

static bool
handle_event (void *data, int64_t id, const char *bytes, size_t len)
{
  struct caller *caller = data;

  check_source (caller, bytes, len);

  if (id != caller->last_event + 1)
    callers_report_violation (caller->callers,
                              "%s: event %" PRId64 " follows event %" PRId64,
                              caller->attempt->id, id, caller->last_event);
  caller->last_event = id;
  caller->tokens += CALLERS_TOKENS_PER_EVENT;
  return true;
}

static bool
handle_body_data (void *data, const char *bytes, size_t len)
{
  struct caller *caller = data;

  if (fetch_status (caller->fetch) == 200)
    event_splitter_append (&caller->events, bytes, len, handle_event, caller);
  return true;
}

static void
check_body (struct caller *caller, const struct buf *body)
{
  const char *id = caller->attempt->id;

  if (body->len < strlen (id)
      || memcmp (body->data + body->len - strlen (id), id, strlen (id)) != 0)
    callers_report_violation (
        caller->callers, "%s received the response of another request: %.*s",
        id, (int)body->len, body->data ? body->data : "");
}

static void
check_stream (struct caller *caller)
{
  if (caller->last_event != STREAM_EVENTS)
    callers_report_violation (caller->callers,
                              "%s completed after event %" PRId64,
                              caller->attempt->id, caller->last_event);
}

static void
check_response (struct caller *caller, const struct fetch_result *result)
{
  struct callers *callers = caller->callers;
  const struct attempt *attempt = caller->attempt;

  if (attempt->status == 200 && attempt->complete)
    {
      callers->totals.answered++;
      if (attempt->kind == ATTEMPT_TURN)
        check_stream (caller);
      else
        check_body (caller, result->body);
    }
  else if (attempt->status >= 400 && attempt->status < 500
           && attempt->status != 402 && attempt->status != 429)
    callers_report_violation (callers, "%s received unexpected status %ld",
                              attempt->id, attempt->status);
  else if (attempt->status >= 400)
    callers->totals.refused++;
  else
    callers->totals.broken_off++;
  if (caller->tokens > TOKEN_BUDGET + MAX_TURN_TOKENS)
    callers_report_violation (callers,
                              "program %" PRIx64 " received %" PRId64
                              " tokens, its budget is %d",
                              caller->program, caller->tokens, TOKEN_BUDGET);
}

static void
handle_done (void *data, const struct fetch_result *result)
{
  struct caller *caller = data;
  struct attempt *attempt = caller->attempt;

  caller->fetch = NULL;
  attempt->status = result->status;
  attempt->complete = result->complete;
  check_response (caller, result);
  event_splitter_release (&caller->events);
  if (attempt->complete || attempt->kind != ATTEMPT_TURN)
    *caller->stream = '\0';
  schedule_next_step (caller);
}

static void
start_program (struct caller *caller)
{
  *caller->stream = '\0';
  caller->program = next_random (caller->callers);
  caller->tokens = 0;
  caller->steps = 0;
  caller->callers->totals.programs++;
}

static struct attempt *
create_attempt (struct callers *callers, enum attempt_kind kind)
{
  struct attempt *attempt = xcalloc (1, sizeof *attempt);

  snprintf (attempt->id, sizeof attempt->id, "a%" PRIx64,
            next_random (callers));
  attempt->kind = kind;
  g_hash_table_insert (callers->attempts, attempt->id, attempt);
  callers->totals.attempts++;
  return attempt;
}

static void
add_header (char **headers, size_t *count, char *line)
{
  headers[(*count)++] = line;
}

static size_t
build_headers (const struct caller *caller, char **headers)
{
  size_t count = 0;

  add_header (headers, &count, xstrdup ("Host: h"));
  add_header (headers, &count, xstrdup ("Credential: key"));
  add_header (headers, &count,
              xasprintf ("Attempt-Id: %s", caller->attempt->id));
  add_header (headers, &count, xasprintf ("Deadline-Ms: %d", DEADLINE_MS));
  add_header (headers, &count,
              xasprintf ("Program-Id: %" PRIx64, caller->program));
  if (caller->attempt->kind != ATTEMPT_TURN)
    return count;
  add_header (headers, &count, xasprintf ("Token-Budget: %d", TOKEN_BUDGET));
  add_header (headers, &count,
              xasprintf ("Token-Usage: 20,%d", MAX_TURN_TOKENS));
  add_header (headers, &count, xstrdup ("Prompt-Prefix: a1:10,b2:10"));
  if (!*caller->stream)
    return count;
  add_header (headers, &count,
              xasprintf ("Last-Event-Id: %" PRId64, caller->last_event));
  add_header (headers, &count, xasprintf ("Resumes: %s", caller->stream));
  return count;
}

static void
send_attempt (struct caller *caller, enum attempt_kind kind)
{
  static const char *const paths[ATTEMPT_KINDS] = { "turn", "note", "charge" };
  struct callers *callers = caller->callers;
  int host = (int)(next_random (callers) % (uint64_t)callers->options.hosts);
  char *headers[MAX_HEADERS] = { NULL };
  struct fetch_options options
      = { .method = kind == ATTEMPT_NOTE ? "GET" : "POST",
          .connect_timeout_ms = CONNECT_TIMEOUT_MS,
          .timeout_ms = DEADLINE_MS,
          .single_attempt = true,
          .exact_headers = true,
          .handle_done = handle_done,
          .data = caller };
  char *url;
  size_t count;

  caller->attempt = create_attempt (callers, kind);
  if (!*caller->stream)
    caller->last_event = 0;
  else
    callers->totals.resumed++;
  count = build_headers (caller, headers);
  url = xasprintf ("http://127.0.0.1:%d/%s/%s",
                   callers->options.first_port + host, paths[kind],
                   caller->attempt->id);
  options.url = url;
  options.headers = (const char *const *)headers;
  if (kind != ATTEMPT_NOTE)
    {
      options.body = caller->attempt->id;
      options.body_len = strlen (caller->attempt->id);
    }
  if (kind == ATTEMPT_TURN)
    options.handle_data = handle_body_data;
  caller->fetch = fetch_start (callers->options.fetcher, &options);
  for (size_t i = 0; i < count; i++)
    free (headers[i]);
  free (url);
}

/* Sends the next request; turns and tool calls alternate, but a stream that
   broke off is resumed first, at any host.  */
static void
handle_step_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct caller *caller = timer->data;
  struct callers *callers = caller->callers;
  enum attempt_kind kind = ATTEMPT_TURN;

  if (callers->stopping)
    {
      caller->done = true;
      return;
    }
  if (*caller->stream)
    {
      send_attempt (caller, ATTEMPT_TURN);
      return;
    }
  if (caller->steps == STEPS_PER_PROGRAM)
    start_program (caller);
  if (caller->steps++ % 2 == 1)
    kind = next_random (callers) % 2 ? ATTEMPT_NOTE : ATTEMPT_CHARGE;
  send_attempt (caller, kind);
}

/* Starts the callers, each with a random initial delay.  */
struct callers *
callers_create (const struct callers_options *options)
{
  struct callers *callers = xcalloc (1, sizeof *callers);

  callers->options = *options;
  callers->seed = options->seed;
  callers->attempts
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free);
  callers->list = xcalloc ((size_t)options->count, sizeof *callers->list);
  for (int i = 0; i < options->count; i++)
    {
      struct caller *caller = &callers->list[i];

      caller->callers = callers;
      ev_timer_init (&caller->step_timer, handle_step_timer, 0, 0);
      caller->step_timer.data = caller;
      start_program (caller);
      schedule_next_step (caller);
    }
  return callers;
}

/* Cancels requests in progress and frees the callers.  */
void
callers_destroy (struct callers *callers)
{
  if (!callers)
    return;
  for (int i = 0; i < callers->options.count; i++)
    {
      if (callers->list[i].fetch)
        fetch_cancel (callers->list[i].fetch);
      ev_timer_stop (callers->options.loop, &callers->list[i].step_timer);
      event_splitter_release (&callers->list[i].events);
    }
  g_hash_table_destroy (callers->attempts);
  free (callers->list);
  free (callers);
}

/* Stops each caller after its current request.  */
void
callers_stop (struct callers *callers)
{
  callers->stopping = true;
}

/* Returns whether every caller has stopped.  */
bool
callers_are_done (const struct callers *callers)
{
  for (int i = 0; i < callers->options.count; i++)
    if (!callers->list[i].done)
      return false;
  return true;
}

/* Returns whether a response with STATUS promises that the request has not
   run.  */
bool
callers_implies_not_run (long status)
{
  return status == 429 || status == 503 || status == 402 || status == 408
         || status == 421;
}

/* Checks the statuses that callers received against RUNS, which maps attempt
   ids to the number of executions on the endpoints.  */
void
callers_check_runs (struct callers *callers, const json_t *runs)
{
  GHashTableIter iter;
  gpointer value;
  const char *id;
  json_t *count;

  json_object_foreach ((json_t *)(uintptr_t)runs, id, count)
  {
    if (!g_hash_table_contains (callers->attempts, id))
      callers_report_violation (callers, "%s was executed but never sent", id);
  }
  g_hash_table_iter_init (&iter, callers->attempts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct attempt *attempt = value;
      json_int_t ran
          = json_integer_value (json_object_get (runs, attempt->id));

      if (callers_implies_not_run (attempt->status) && ran > 0)
        callers_report_violation (
            callers, "%s was refused with status %ld but executed",
            attempt->id, attempt->status);
      if (attempt->kind == ATTEMPT_CHARGE && ran > 1)
        callers_report_violation (callers, "charge %s was executed %d times",
                                  attempt->id, (int)ran);
      if (attempt->status == 200 && attempt->complete && ran == 0)
        callers_report_violation (callers, "%s succeeded but was not executed",
                                  attempt->id);
    }
}

/* Returns the counters of the run so far.  */
struct callers_totals
callers_totals (const struct callers *callers)
{
  return callers->totals;
}
