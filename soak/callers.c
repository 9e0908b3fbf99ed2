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
  CONNECT_MS = 1000,
  STREAM_EVENTS = 6, /* of the stand-in's streams */
  TURN_TOKENS = 30,  /* that a turn may generate at most */
  BUDGET = 120,      /* six turns of what the stand-in generates */
  MAX_STEPS = 10,
  PAUSE_MS = 30, /* between steps, up to twice as long */
  MAX_HEADERS = 12,
};

enum attempt_kind
{
  ATTEMPT_TURN,
  ATTEMPT_NOTE,   /* may be repeated */
  ATTEMPT_CHARGE, /* at most once */
  ATTEMPT_KINDS,
};

/* One request, for as long as the soak runs.  Owned by the callers. */
struct attempt
{
  char id[20];
  enum attempt_kind kind;
  long status; /* 0 where no answer came */
  bool complete;
};

/* One agent.  Owned by the callers. */
struct caller
{
  struct callers *callers;
  uint64_t program;
  int64_t tokens; /* handed out to the program */
  int steps;
  struct attempt *attempt; /* under way; NULL between two */
  struct fetch *fetch;
  struct event_splitter events;
  int64_t last_event;
  ev_timer pause;
  bool done;
};

struct callers
{
  struct callers_options options;
  struct caller *list;
  GHashTable *attempts; /* id -> struct attempt */
  struct callers_totals totals;
  uint64_t seed;
  bool stopping;
};

static uint64_t
draw (struct callers *callers)
{
  callers->seed = id_hash64 (&callers->seed, sizeof callers->seed, 1);
  return callers->seed;
}

/* Reports that a promise was broken.  */
void
callers_violation (struct callers *callers, const char *format, ...)
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
rest (struct caller *caller)
{
  double wait_ms = PAUSE_MS + (double)(draw (caller->callers) % PAUSE_MS);

  caller->attempt = NULL;
  ev_timer_set (&caller->pause, wait_ms / 1000.0, 0);
  ev_timer_start (caller->callers->options.loop, &caller->pause);
}

static bool
take_event (void *data, int64_t id, const char *bytes, size_t len)
{
  struct caller *caller = data;

  if (id != caller->last_event + 1)
    callers_violation (caller->callers,
                       "%s: event %" PRId64 " follows event %" PRId64,
                       caller->attempt->id, id, caller->last_event);
  caller->last_event = id;
  caller->tokens += CALLERS_TOKENS_PER_EVENT;
  return true;
}

static bool
handle_bytes (void *data, const char *bytes, size_t len)
{
  struct caller *caller = data;

  if (fetch_status (caller->fetch) == 200)
    event_splitter_append (&caller->events, bytes, len, take_event, caller);
  return true;
}

static void
check_body (struct caller *caller, const struct buf *body)
{
  const char *id = caller->attempt->id;

  if (body->len < strlen (id)
      || memcmp (body->data + body->len - strlen (id), id, strlen (id)) != 0)
    callers_violation (caller->callers,
                       "%s got another request's answer: %.*s", id,
                       (int)body->len, body->data ? body->data : "");
}

static void
check_turn (struct caller *caller)
{
  if (caller->last_event != STREAM_EVENTS)
    callers_violation (caller->callers,
                       "%s ended as complete after event %" PRId64,
                       caller->attempt->id, caller->last_event);
}

static void
check_answer (struct caller *caller, const struct fetch_result *result)
{
  struct callers *callers = caller->callers;
  const struct attempt *attempt = caller->attempt;

  if (attempt->status == 200 && attempt->complete)
    {
      callers->totals.answered++;
      if (attempt->kind == ATTEMPT_TURN)
        check_turn (caller);
      else
        check_body (caller, result->body);
    }
  else if (attempt->status >= 400 && attempt->status < 500
           && attempt->status != 402 && attempt->status != 429)
    callers_violation (callers, "%s got status %ld", attempt->id,
                       attempt->status);
  else if (attempt->status >= 400)
    callers->totals.refused++;
  else
    callers->totals.broken++;
  if (caller->tokens > BUDGET + TURN_TOKENS)
    callers_violation (callers,
                       "program %" PRIx64 " got %" PRId64 " tokens of %d",
                       caller->program, caller->tokens, BUDGET);
}

static void
handle_done (void *data, const struct fetch_result *result)
{
  struct caller *caller = data;
  struct attempt *attempt = caller->attempt;

  caller->fetch = NULL;
  attempt->status = result->status;
  attempt->complete = result->complete;
  check_answer (caller, result);
  event_splitter_release (&caller->events);
  rest (caller);
}

static void
begin_program (struct caller *caller)
{
  caller->program = draw (caller->callers);
  caller->tokens = 0;
  caller->steps = 0;
  caller->callers->totals.programs++;
}

static struct attempt *
new_attempt (struct callers *callers, enum attempt_kind kind)
{
  struct attempt *attempt = xcalloc (1, sizeof *attempt);

  snprintf (attempt->id, sizeof attempt->id, "a%" PRIx64, draw (callers));
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
make_headers (const struct caller *caller, char **headers)
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
  add_header (headers, &count, xasprintf ("Token-Budget: %d", BUDGET));
  add_header (headers, &count, xasprintf ("Token-Usage: 20,%d", TURN_TOKENS));
  add_header (headers, &count, xstrdup ("Prompt-Prefix: a1:10,b2:10"));
  return count;
}

static void
send_attempt (struct caller *caller, enum attempt_kind kind)
{
  static const char *const paths[ATTEMPT_KINDS] = { "turn", "note", "charge" };
  struct callers *callers = caller->callers;
  int host = (int)(draw (callers) % (uint64_t)callers->options.hosts);
  char *headers[MAX_HEADERS] = { NULL };
  struct fetch_options options
      = { .method = kind == ATTEMPT_NOTE ? "GET" : "POST",
          .connect_timeout_ms = CONNECT_MS,
          .timeout_ms = DEADLINE_MS,
          .single_attempt = true,
          .exact_headers = true,
          .handle_done = handle_done,
          .data = caller };
  char *url;
  size_t count;

  caller->attempt = new_attempt (callers, kind);
  caller->last_event = 0;
  count = make_headers (caller, headers);
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
    options.handle_data = handle_bytes;
  caller->fetch = fetch_start (callers->options.fetcher, &options);
  for (size_t i = 0; i < count; i++)
    free (headers[i]);
  free (url);
}

/* A turn, then a tool, and so on.  */
static void
handle_pause (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct caller *caller = timer->data;
  struct callers *callers = caller->callers;
  enum attempt_kind kind = ATTEMPT_TURN;

  if (callers->stopping)
    {
      caller->done = true;
      return;
    }
  if (caller->steps == MAX_STEPS)
    begin_program (caller);
  if (caller->steps++ % 2 == 1)
    kind = draw (callers) % 2 ? ATTEMPT_NOTE : ATTEMPT_CHARGE;
  send_attempt (caller, kind);
}

/* Starts the callers.  */
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
      ev_timer_init (&caller->pause, handle_pause, 0, 0);
      caller->pause.data = caller;
      begin_program (caller);
      rest (caller);
    }
  return callers;
}

/* Frees the callers, which are done.  */
void
callers_destroy (struct callers *callers)
{
  if (!callers)
    return;
  for (int i = 0; i < callers->options.count; i++)
    {
      if (callers->list[i].fetch)
        fetch_cancel (callers->list[i].fetch);
      ev_timer_stop (callers->options.loop, &callers->list[i].pause);
      event_splitter_release (&callers->list[i].events);
    }
  g_hash_table_destroy (callers->attempts);
  free (callers->list);
  free (callers);
}

/* Lets each caller end what it has under way.  */
void
callers_stop (struct callers *callers)
{
  callers->stopping = true;
}

/* Whether every caller has stopped.  */
bool
callers_are_done (const struct callers *callers)
{
  for (int i = 0; i < callers->options.count; i++)
    if (!callers->list[i].done)
      return false;
  return true;
}

static bool
promises_not_run (long status)
{
  return status == 429 || status == 503 || status == 402 || status == 408
         || status == 421;
}

/* Checks what callers were told against RUNS, which says how often the
   endpoints ran each attempt.  */
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
      callers_violation (callers, "%s ran, and no caller sent it", id);
  }
  g_hash_table_iter_init (&iter, callers->attempts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct attempt *attempt = value;
      json_int_t ran
          = json_integer_value (json_object_get (runs, attempt->id));

      if (promises_not_run (attempt->status) && ran > 0)
        callers_violation (callers, "%s was refused with %ld and ran",
                           attempt->id, attempt->status);
      if (attempt->kind == ATTEMPT_CHARGE && ran > 1)
        callers_violation (callers, "charge %s ran %d times", attempt->id,
                           (int)ran);
      if (attempt->status == 200 && attempt->complete && ran == 0)
        callers_violation (callers, "%s was answered and has not run",
                           attempt->id);
    }
}

/* Returns what has happened so far.  */
struct callers_totals
callers_totals (const struct callers *callers)
{
  return callers->totals;
}
