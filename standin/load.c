/* Load generator: runs agent programs against the caller API and checks every
   response. */
#include "common/fetch.h"
#include "common/id.h"
#include <ev.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_HOSTS = 64,
  MAX_CUSTOMERS = 64,
  MAX_RETRY_DELAY_MS = 2000,
  CONNECT_TIMEOUT_MS = 500,
  CALL_TIMEOUT_MS = 15000,
  RETRY_DELAY_MS = 50,
  RETRY_LIMIT_MS = 60000,
  US_PER_MS = 1000,
  MS_PER_S = 1000,
  HTTP_OK = 200,
  HTTP_CREATED = 201,
};

struct samples
{
  int64_t *values;
  size_t count;
  size_t capacity;
};

struct customer
{
  char *name;
  char *authorization; /* header line */
  struct samples programs_us;
  struct samples calls_us;
  int64_t finished;
  int64_t failed;
  int64_t wrong_history;
  int64_t wrong_turn;
  int64_t unknown_outcomes;
  int64_t retries;
  int64_t budget_stops;
  int64_t interrupted; /* responses cut off after the request was sent */
  json_t *refusals;    /* error kind to count */
};

enum step
{
  STEP_OPEN,
  STEP_BRANCH,
  STEP_MODEL,
  STEP_TOOL,
  STEP_CLOSE,
};

struct load;

/* Runs one program, or one branch of a program.  Owned by struct load. */
struct agent
{
  struct load *load;
  struct customer *customer;
  struct agent *parent; /* NULL unless this is a sub-agent */
  char *program;
  char *cursor;
  enum step step;
  int64_t turn; /* index in the branch, from 0 */
  int64_t turns;
  uint32_t branch;
  uint64_t history; /* hash chain as computed by the mock engine */
  char *user_text;
  struct buf conversation; /* earlier messages, sent in direct mode */
  struct buf answer;       /* tokens of the current call */
  struct buf line;
  char *next_cursor;
  int64_t response_turn;
  bool response_done;
  char *error_kind;
  char *error_run;
  int64_t retry_after_ms;
  uint32_t host;
  ev_timer timer;
  int64_t started_us;
  int64_t call_started_us;
  int64_t first_failure_us;
  uint64_t serial;
  bool waiting_for_child;
  struct fetch *fetch;
};

struct load
{
  struct ev_loop *loop;
  struct fetcher *fetcher;
  char *hosts[MAX_HOSTS];
  uint32_t host_count;
  struct customer customers[MAX_CUSTOMERS];
  uint32_t customer_count;
  char *model;
  char *route;
  char *direct;    /* base URL of an engine, to bypass galenashore */
  gint64 agents;   /* concurrent programs of each customer */
  gint64 programs; /* total for each customer; 0 for no limit */
  gint64 turns;
  gint64 tokens;
  gint64 tool_every;   /* every n-th call is a tool call; 0 for none */
  gint64 branch_every; /* every n-th program has a sub-agent; 0 for none */
  gint64 pause_ms;
  gint64 duration_s;
  gint64 seed;
  gint64 first_host; /* index of the host to start at; -1 for a random one */
  bool stopping;
  int64_t started_us;
  int64_t active;
  uint64_t serial;
  int64_t token_count;
  struct samples recovery_us;
};

static void
add_sample (struct samples *samples, int64_t value)
{
  if (samples->count == samples->capacity)
    {
      samples->capacity = samples->capacity ? 2 * samples->capacity : 1024;
      samples->values
          = xrealloc (samples->values, samples->capacity * sizeof (int64_t));
    }
  samples->values[samples->count++] = value;
}

static int
compare_values (const void *a, const void *b)
{
  int64_t left = *(const int64_t *)a;
  int64_t right = *(const int64_t *)b;

  return left < right ? -1 : left > right;
}

static double
percentile_ms (struct samples *samples, unsigned percent)
{
  size_t at;

  if (samples->count == 0)
    return 0;
  qsort (samples->values, samples->count, sizeof (int64_t), compare_values);
  at = (samples->count - 1) * percent / 100;
  return (double)samples->values[at] / US_PER_MS;
}

static uint64_t
agent_random (struct agent *agent)
{
  uint64_t key[3]
      = { (uint64_t)agent->load->seed, agent->serial, (uint64_t)agent->turn };

  return id_hash64 (key, sizeof key, 0);
}

static uint64_t
hash_message (uint64_t history, const char *role, const char *content)
{
  json_t *message = json_pack ("{s:s, s:s}", "role", role, "content", content);
  char *text = json_dumps (message, JSON_COMPACT | JSON_SORT_KEYS);

  history = id_hash64 (text, strlen (text), history);
  json_decref (message);
  free (text);
  return history;
}

/* Computes the response of the mock engine to HISTORY.  */
static void
expected_answer (uint64_t history, int64_t tokens, struct buf *out)
{
  for (int64_t i = 0; i < tokens; i++)
    {
      uint64_t key[2] = { history, (uint64_t)i };

      buf_printf (
          out, " w%llu",
          (unsigned long long)(id_hash64 (key, sizeof key, 1) % 10000));
    }
}

static void
count_refusal (struct agent *agent)
{
  json_t *refusals = agent->customer->refusals;
  const char *kind = agent->error_kind ? agent->error_kind : "no_answer";

  json_object_set_new (
      refusals, kind,
      json_integer (json_integer_value (json_object_get (refusals, kind))
                    + 1));
}

static void
schedule (struct agent *agent, int64_t delay_ms)
{
  ev_timer_stop (agent->load->loop, &agent->timer);
  ev_timer_set (&agent->timer, (double)delay_ms / MS_PER_S, 0);
  ev_timer_start (agent->load->loop, &agent->timer);
}

static void
agent_free (struct agent *agent)
{
  ev_timer_stop (agent->load->loop, &agent->timer);
  free (agent->program);
  free (agent->cursor);
  free (agent->user_text);
  free (agent->next_cursor);
  free (agent->error_kind);
  free (agent->error_run);
  buf_release (&agent->conversation);
  buf_release (&agent->answer);
  buf_release (&agent->line);
  free (agent);
}

static void
reset_agent (struct agent *agent)
{
  struct load *load = agent->load;

  free (agent->program);
  free (agent->cursor);
  agent->program = NULL;
  agent->cursor = NULL;
  agent->serial = ++load->serial;
  agent->step = STEP_OPEN;
  agent->turn = 0;
  agent->history = 0;
  agent->turns = load->turns;
  agent->started_us = clock_now_us ();
  agent->first_failure_us = 0;
  agent->host = load->first_host >= 0
                    ? (uint32_t)load->first_host
                    : (uint32_t)(agent_random (agent) % load->host_count);
}

/* Ends the agent's program and starts the next one, if any is left to run.  */
static void
end_program (struct agent *agent, bool finished)
{
  struct load *load = agent->load;
  struct customer *customer = agent->customer;
  struct agent *parent = agent->parent;

  if (parent)
    {
      parent->waiting_for_child = false;
      if (!finished)
        customer->failed++;
      agent_free (agent);
      schedule (parent, 0);
      return;
    }
  if (finished)
    {
      customer->finished++;
      add_sample (&customer->programs_us, clock_now_us () - agent->started_us);
    }
  else
    customer->failed++;
  if (load->stopping
      || (load->programs > 0
          && customer->finished + customer->failed + load->agents
                 > load->programs))
    {
      if (--load->active == 0)
        ev_break (load->loop, EVBREAK_ALL);
      agent_free (agent);
      return;
    }
  reset_agent (agent);
  schedule (agent, load->pause_ms);
}

static void
parse_event (struct agent *agent, const char *text)
{
  json_t *data = json_loads (text, 0, NULL);
  const char *token = json_string_value (json_object_get (data, "token"));
  const char *cursor = json_string_value (json_object_get (data, "cursor"));
  const json_t *error = json_object_get (data, "error");
  const json_t *delta = json_object_get (
      json_object_get (json_array_get (json_object_get (data, "choices"), 0),
                       "delta"),
      "content");

  if (json_is_string (delta))
    token = json_string_value (delta);
  if (token)
    {
      buf_append_str (&agent->answer, token);
      agent->load->token_count++;
    }
  if (cursor)
    {
      free (agent->next_cursor);
      agent->next_cursor = xstrdup (cursor);
    }
  if (json_object_get (data, "turn"))
    {
      agent->response_turn
          = json_integer_value (json_object_get (data, "turn"));
      agent->response_done = true;
    }
  if (error)
    {
      free (agent->error_kind);
      free (agent->error_run);
      agent->error_kind
          = xstrdup (json_string_value (json_object_get (error, "kind")));
      agent->error_run
          = xstrdup (json_string_value (json_object_get (error, "run")));
      agent->retry_after_ms
          = json_integer_value (json_object_get (error, "retry_after_ms"));
    }
  json_decref (data);
}

static bool
handle_bytes (void *pointer, const char *bytes, size_t len)
{
  struct agent *agent = pointer;
  char *end;

  buf_append (&agent->line, bytes, len);
  while (agent->line.data
         && (end = memchr (agent->line.data, '\n', agent->line.len)))
    {
      *end = '\0';
      if (strcmp (agent->line.data, "data: [DONE]") == 0)
        agent->response_done = true;
      else if (strncmp (agent->line.data, "data: ", 6) == 0)
        parse_event (agent, agent->line.data + 6);
      else if (agent->line.data[0] == '{')
        parse_event (agent, agent->line.data);
      buf_consume (&agent->line, (size_t)(end - agent->line.data) + 1);
    }
  return true;
}

static void
parse_trailing_line (struct agent *agent)
{
  if (agent->line.len > 0 && agent->line.data[0] == '{')
    parse_event (agent, agent->line.data);
}

static void
record_recovery (struct agent *agent)
{
  if (agent->first_failure_us)
    add_sample (&agent->load->recovery_us,
                clock_now_us () - agent->first_failure_us);
  agent->first_failure_us = 0;
}

static void
check_answer (struct agent *agent)
{
  struct buf expected = { 0 };

  expected_answer (agent->history, agent->load->tokens, &expected);
  if (!expected.data || !agent->answer.data
      || strcmp (expected.data, agent->answer.data) != 0)
    {
      agent->customer->wrong_history++;
      fprintf (stderr, "wrong history: program %s branch %u turn %lld\n",
               agent->program, agent->branch, (long long)agent->turn);
    }
  buf_release (&expected);
}

/* Adds the last turn to the conversation.  In direct mode the client sends all
   earlier messages itself, as galenashore does otherwise.  */
static void
append_conversation (struct agent *agent)
{
  buf_printf (&agent->conversation,
              "{\"role\":\"user\",\"content\":\"%s\"},"
              "{\"role\":\"assistant\",\"content\":\"%s\"},",
              agent->user_text, agent->answer.data ? agent->answer.data : "");
}

/* Selects and schedules the step after a successful one.  */
static void
schedule_next_step (struct agent *agent)
{
  struct load *load = agent->load;

  if (load->direct)
    {
      if (agent->turn >= agent->turns)
        {
          agent->turn = 0;
          agent->conversation.len = 0;
        }
      schedule (agent, load->pause_ms);
      return;
    }
  if (agent->turn >= agent->turns)
    {
      if (agent->parent)
        {
          end_program (agent, true);
          return;
        }
      agent->step = STEP_CLOSE;
    }
  else if (load->branch_every > 0 && !agent->parent && agent->turn == 1
           && agent->step == STEP_MODEL
           && agent->serial % (uint64_t)load->branch_every == 0)
    agent->step = STEP_BRANCH;
  else if (load->tool_every > 0 && (agent->turn + 1) % load->tool_every == 0)
    agent->step = STEP_TOOL;
  else
    agent->step = STEP_MODEL;
  schedule (agent, agent->step == STEP_CLOSE ? 0 : load->pause_ms);
}

static void
advance_turn (struct agent *agent)
{
  agent->turn++;
  if (agent->response_turn && agent->response_turn != agent->turn)
    {
      agent->customer->wrong_turn++;
      agent->turn = agent->response_turn;
    }
  free (agent->cursor);
  agent->cursor = agent->next_cursor;
  agent->next_cursor = NULL;
}

static void
handle_success (struct agent *agent)
{
  add_sample (&agent->customer->calls_us,
              clock_now_us () - agent->call_started_us);
  record_recovery (agent);
  if (agent->step == STEP_MODEL)
    {
      struct buf *answer = &agent->answer;

      agent->history = hash_message (agent->history, "user", agent->user_text);
      if (agent->load->direct)
        append_conversation (agent);
      else
        check_answer (agent);
      agent->history = hash_message (agent->history, "assistant",
                                     answer->data ? answer->data : "");
    }
  if (agent->step == STEP_MODEL || agent->step == STEP_TOOL)
    advance_turn (agent);
  schedule_next_step (agent);
}

static bool
has_error_kind (const struct agent *agent, const char *kind)
{
  return agent->error_kind && strcmp (agent->error_kind, kind) == 0;
}

/* Continues with the next turn after a tool call whose outcome is unknown. The
   call is not retried, since it may have been executed; a real agent would
   query the service instead.  */
static void
skip_unknown_outcome (struct agent *agent)
{
  agent->customer->unknown_outcomes++;
  agent->response_turn = 0;
  advance_turn (agent);
  schedule_next_step (agent);
}

static void
handle_failure (struct agent *agent)
{
  int64_t now_us = clock_now_us ();
  int64_t delay_ms
      = agent->retry_after_ms > 0 ? agent->retry_after_ms : RETRY_DELAY_MS;
  bool may_have_run
      = agent->error_run && strcmp (agent->error_run, "may_have_run") == 0;

  count_refusal (agent);
  if (!agent->first_failure_us)
    agent->first_failure_us = agent->call_started_us;
  if (has_error_kind (agent, "budget_exhausted"))
    {
      agent->customer->budget_stops++;
      end_program (agent, true);
      return;
    }
  if (now_us - agent->first_failure_us > (int64_t)RETRY_LIMIT_MS * US_PER_MS
      || has_error_kind (agent, "not_found")
      || has_error_kind (agent, "cancelled"))
    {
      fprintf (stderr, "program %s failed at step %d: %s\n",
               agent->program ? agent->program : "-", (int)agent->step,
               agent->error_kind ? agent->error_kind : "no response");
      end_program (agent, false);
      return;
    }
  agent->customer->retries++;
  /* A response that broke off is no error: the call is repeated with the same
     cursor, even if the next one had arrived.  */
  if (!agent->error_kind)
    {
      free (agent->next_cursor);
      agent->next_cursor = NULL;
    }
  if (agent->next_cursor && agent->step == STEP_TOOL && may_have_run)
    {
      skip_unknown_outcome (agent);
      return;
    }
  if (agent->next_cursor)
    {
      /* The turn was closed without execution: retry in the next turn.  */
      free (agent->cursor);
      agent->cursor = agent->next_cursor;
      agent->next_cursor = NULL;
      agent->turn++;
      agent->turns++;
    }
  agent->host = (agent->host + 1) % agent->load->host_count;
  schedule (agent,
            delay_ms < MAX_RETRY_DELAY_MS ? delay_ms : MAX_RETRY_DELAY_MS);
}

static void
handle_program_opened (struct agent *agent, const struct fetch_result *result)
{
  json_t *body = json_loadb (result->body->data ? result->body->data : "",
                             result->body->len, 0, NULL);

  if (agent->step == STEP_OPEN)
    {
      free (agent->program);
      agent->program
          = xstrdup (json_string_value (json_object_get (body, "program")));
      free (agent->cursor);
      agent->cursor
          = xstrdup (json_string_value (json_object_get (body, "cursor")));
    }
  json_decref (body);
}

static void
start_child (struct agent *parent, const char *cursor)
{
  struct agent *child = xcalloc (1, sizeof *child);

  child->load = parent->load;
  child->customer = parent->customer;
  child->parent = parent;
  child->program = xstrdup (parent->program);
  child->cursor = xstrdup (cursor);
  child->branch = 1;
  child->serial = ++parent->load->serial;
  child->turns = (parent->turns + 1) / 2;
  child->host = parent->host;
  child->step = STEP_MODEL;
  child->timer = parent->timer;
  child->timer.data = child;
  parent->waiting_for_child = true;
  schedule (child, 0);
}

static void
handle_branch_opened (struct agent *agent, const struct fetch_result *result)
{
  json_t *body = json_loadb (result->body->data ? result->body->data : "",
                             result->body->len, 0, NULL);
  const char *cursor = json_string_value (json_object_get (body, "cursor"));

  agent->step = STEP_MODEL;
  if (cursor)
    start_child (agent, cursor);
  json_decref (body);
}

static void
handle_done (void *pointer, const struct fetch_result *result)
{
  struct agent *agent = pointer;
  bool ok = result->complete
            && (result->status == HTTP_OK || result->status == HTTP_CREATED);

  agent->fetch = NULL;
  parse_trailing_line (agent);
  if (result->body->len > 0)
    handle_bytes (agent, result->body->data, result->body->len);
  parse_trailing_line (agent);
  if (agent->step == STEP_MODEL && !agent->response_done)
    ok = false;
  if (agent->error_kind)
    ok = false;
  if (!ok)
    {
      if (!result->complete && result->sent)
        agent->customer->interrupted++;
      handle_failure (agent);
      return;
    }
  if (agent->step == STEP_CLOSE)
    {
      record_recovery (agent);
      end_program (agent, true);
    }
  else if (agent->step == STEP_BRANCH)
    handle_branch_opened (agent, result);
  else if (agent->step == STEP_OPEN)
    {
      handle_program_opened (agent, result);
      agent->step = STEP_MODEL;
      record_recovery (agent);
      schedule (agent, 0);
    }
  else
    handle_success (agent);
}

/* Reads the cursor of a tool call's response, which is a header.  */
static void
handle_header (void *pointer, const char *name, const char *value)
{
  struct agent *agent = pointer;

  if (g_ascii_strcasecmp (name, "X-Galena-Cursor") != 0)
    return;
  free (agent->next_cursor);
  agent->next_cursor = xstrdup (value);
}

static char *
build_url (struct agent *agent)
{
  const char *base = agent->load->hosts[agent->host];

  switch (agent->step)
    {
    case STEP_OPEN:
      return xasprintf ("%s/v1/programs", base);
    case STEP_BRANCH:
      return xasprintf ("%s/v1/programs/%s/branches", base, agent->program);
    case STEP_MODEL:
      return xasprintf ("%s/v1/programs/%s/calls", base, agent->program);
    case STEP_TOOL:
      return xasprintf ("%s/v1/programs/%s/tools/%s/run", base, agent->program,
                        agent->load->route);
    case STEP_CLOSE:
      break;
    }
  return xasprintf ("%s/v1/programs/%s", base, agent->program);
}

static char *
build_body (struct agent *agent)
{
  if (agent->step == STEP_BRANCH)
    return xstrdup ("{\"branch\":1}");
  if (agent->step == STEP_TOOL)
    return xasprintf ("{\"serial\":%llu,\"turn\":%lld}",
                      (unsigned long long)agent->serial,
                      (long long)agent->turn);
  if (agent->step != STEP_MODEL)
    return NULL;
  free (agent->user_text);
  agent->user_text = xasprintf ("program %llu branch %u turn %lld",
                                (unsigned long long)agent->serial,
                                agent->branch, (long long)agent->turn);
  return xasprintf ("{\"model\":\"%s\",\"max_tokens\":%lld,\"stream\":true,"
                    "\"messages\":[%s{\"role\":\"user\",\"content\":\"%s\"}]}",
                    agent->load->model, (long long)agent->load->tokens,
                    agent->conversation.len > 0 ? agent->conversation.data
                                                : "",
                    agent->user_text);
}

static void
clear_response (struct agent *agent)
{
  buf_release (&agent->answer);
  buf_release (&agent->line);
  free (agent->next_cursor);
  free (agent->error_kind);
  free (agent->error_run);
  agent->next_cursor = NULL;
  agent->error_kind = NULL;
  agent->error_run = NULL;
  agent->retry_after_ms = 0;
  agent->response_turn = 0;
  agent->response_done = false;
}

static void
send_step (struct agent *agent)
{
  struct load *load = agent->load;
  char *url = load->direct ? xasprintf ("%s/v1/chat/completions", load->direct)
                           : build_url (agent);
  char *body = build_body (agent);
  char *cursor = agent->cursor
                     ? xasprintf ("X-Galena-Cursor: %s", agent->cursor)
                     : NULL;
  const char *headers[] = { agent->customer->authorization,
                            "Content-Type: application/json", cursor, NULL };
  bool collect = agent->step != STEP_MODEL;
  struct fetch_options options
      = { .method = agent->step == STEP_CLOSE ? "DELETE" : "POST",
          .url = url,
          .headers = headers,
          .body = body,
          .body_len = body ? strlen (body) : 0,
          .connect_timeout_ms = CONNECT_TIMEOUT_MS,
          .timeout_ms = CALL_TIMEOUT_MS,
          .handle_data = collect ? NULL : handle_bytes,
          .handle_header = handle_header,
          .handle_done = handle_done,
          .data = agent };

  clear_response (agent);
  agent->call_started_us = clock_now_us ();
  agent->fetch = fetch_start (load->fetcher, &options);
  free (url);
  free (body);
  free (cursor);
}

static void
handle_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct agent *agent = timer->data;

  if (agent->waiting_for_child)
    return;
  if (agent->load->stopping && agent->load->direct)
    {
      end_program (agent, true);
      return;
    }
  if (agent->load->direct)
    agent->step = STEP_MODEL;
  send_step (agent);
}

static void
handle_deadline (struct ev_loop *loop, ev_timer *timer, int events)
{
  ((struct load *)timer->data)->stopping = true;
}

static void
start_agents (struct load *load)
{
  for (uint32_t c = 0; c < load->customer_count; c++)
    for (gint64 i = 0; i < load->agents; i++)
      {
        struct agent *agent = xcalloc (1, sizeof *agent);

        agent->load = load;
        agent->customer = &load->customers[c];
        ev_timer_init (&agent->timer, handle_timer, 0, 0);
        agent->timer.data = agent;
        reset_agent (agent);
        load->active++;
        /* Random initial delays keep the agents from running in lockstep.  */
        schedule (agent, load->pause_ms > 0
                             ? (int64_t)(agent_random (agent)
                                         % (uint64_t)load->pause_ms)
                             : 0);
      }
}

static json_t *
make_customer_report (struct customer *customer)
{
  return json_pack (
      "{s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:f, s:f, s:f, s:f, "
      "s:f, s:O}",
      "customer", customer->name, "finished", (json_int_t)customer->finished,
      "lost", (json_int_t)customer->failed, "calls",
      (json_int_t)customer->calls_us.count, "wrong_history",
      (json_int_t)customer->wrong_history, "wrong_turn",
      (json_int_t)customer->wrong_turn, "doubtful",
      (json_int_t)customer->unknown_outcomes, "retries",
      (json_int_t)customer->retries, "budget_stops",
      (json_int_t)customer->budget_stops, "cut",
      (json_int_t)customer->interrupted, "program_p50_ms",
      percentile_ms (&customer->programs_us, 50), "program_p95_ms",
      percentile_ms (&customer->programs_us, 95), "call_p50_ms",
      percentile_ms (&customer->calls_us, 50), "call_p95_ms",
      percentile_ms (&customer->calls_us, 95), "call_p99_ms",
      percentile_ms (&customer->calls_us, 99), "refusals", customer->refusals);
}

static void
print_report (struct load *load)
{
  json_t *customers = json_array ();
  double seconds
      = (double)(clock_now_us () - load->started_us) / (US_PER_MS * MS_PER_S);
  json_t *root;
  char *text;

  for (uint32_t i = 0; i < load->customer_count; i++)
    json_array_append_new (customers,
                           make_customer_report (&load->customers[i]));
  root = json_pack ("{s:f, s:I, s:f, s:I, s:f, s:f, s:f, s:o}", "seconds",
                    seconds, "tokens", (json_int_t)load->token_count,
                    "tokens_per_s", (double)load->token_count / seconds,
                    "recoveries", (json_int_t)load->recovery_us.count,
                    "recovery_p50_ms", percentile_ms (&load->recovery_us, 50),
                    "recovery_p95_ms", percentile_ms (&load->recovery_us, 95),
                    "recovery_max_ms", percentile_ms (&load->recovery_us, 100),
                    "customers", customers);
  text = json_dumps (root, JSON_COMPACT | JSON_REAL_PRECISION (6));
  puts (text);
  free (text);
  json_decref (root);
}

static void
destroy_load (struct load *load)
{
  for (uint32_t i = 0; i < load->customer_count; i++)
    {
      free (load->customers[i].name);
      free (load->customers[i].authorization);
      free (load->customers[i].programs_us.values);
      free (load->customers[i].calls_us.values);
      json_decref (load->customers[i].refusals);
    }
  free (load->recovery_us.values);
  free (load->model);
  free (load->route);
  free (load->direct);
  fetcher_destroy (load->fetcher);
  ev_loop_destroy (load->loop);
}

static void
add_customer (struct load *load, const char *pair)
{
  const char *equals = strchr (pair, '=');
  struct customer *customer = &load->customers[load->customer_count];

  if (!equals || load->customer_count == MAX_CUSTOMERS)
    return;
  customer->name = strndup (pair, (size_t)(equals - pair));
  customer->authorization = xasprintf ("Authorization: Bearer %s", equals + 1);
  customer->refusals = json_object ();
  load->customer_count++;
}

int
main (int argc, char **argv)
{
  struct load load
      = { .agents = 4, .turns = 6, .tokens = 16, .seed = 1, .first_host = -1 };
  gchar **hosts = NULL;
  gchar **customers = NULL;
  GOptionEntry entries[] = {
    { "host", 0, 0, G_OPTION_ARG_STRING_ARRAY, &hosts,
      "Base URL of a host; repeatable", "URL" },
    { "customer", 0, 0, G_OPTION_ARG_STRING_ARRAY, &customers,
      "A customer and its API key; repeatable", "NAME=KEY" },
    { "model", 0, 0, G_OPTION_ARG_STRING, &load.model, "Model", "NAME" },
    { "route", 0, 0, G_OPTION_ARG_STRING, &load.route, "Tool", "NAME" },
    { "direct", 0, 0, G_OPTION_ARG_STRING, &load.direct,
      "Send the calls directly to this engine", "URL" },
    { "agents", 0, 0, G_OPTION_ARG_INT64, &load.agents,
      "Concurrent programs of each customer", "N" },
    { "programs", 0, 0, G_OPTION_ARG_INT64, &load.programs,
      "Total programs of each customer", "N" },
    { "turns", 0, 0, G_OPTION_ARG_INT64, &load.turns, "Turns", "N" },
    { "tokens", 0, 0, G_OPTION_ARG_INT64, &load.tokens, "Tokens", "N" },
    { "tool-every", 0, 0, G_OPTION_ARG_INT64, &load.tool_every,
      "Make every N-th call a tool call", "N" },
    { "branch-every", 0, 0, G_OPTION_ARG_INT64, &load.branch_every,
      "Start a sub-agent in every N-th program", "N" },
    { "pause-ms", 0, 0, G_OPTION_ARG_INT64, &load.pause_ms,
      "Pause between calls", "MS" },
    { "duration-s", 0, 0, G_OPTION_ARG_INT64, &load.duration_s,
      "Start no program after this time", "S" },
    { "seed", 0, 0, G_OPTION_ARG_INT64, &load.seed, "Random seed", "N" },
    { "first-host", 0, 0, G_OPTION_ARG_INT64, &load.first_host,
      "Start every program at this host", "INDEX" },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  GOptionContext *context = g_option_context_new ("- runs agent programs");
  GError *problem = NULL;
  ev_timer deadline;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &problem)
      || sodium_init () < 0)
    {
      fprintf (stderr, "load: %s\n",
               problem ? problem->message : "cannot initialise libsodium");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  for (; hosts && hosts[load.host_count] && load.host_count < MAX_HOSTS;
       load.host_count++)
    load.hosts[load.host_count] = hosts[load.host_count];
  for (gchar **pair = customers; pair && *pair; pair++)
    add_customer (&load, *pair);
  if ((load.host_count == 0 && !load.direct) || load.customer_count == 0)
    {
      fputs ("load: --host and --customer are required\n", stderr);
      return 2;
    }
  if (load.host_count == 0)
    load.hosts[load.host_count++] = load.direct;
  load.turns = load.turns > 0 ? load.turns : 1;
  load.model = load.model ? load.model : xstrdup ("m");
  load.route = load.route ? load.route : xstrdup ("seat");
  load.loop = ev_default_loop (EVFLAG_AUTO);
  load.fetcher = fetcher_create (load.loop);
  load.started_us = clock_now_us ();
  ev_timer_init (&deadline, handle_deadline, (double)load.duration_s, 0);
  deadline.data = &load;
  if (load.duration_s > 0)
    ev_timer_start (load.loop, &deadline);
  start_agents (&load);
  ev_run (load.loop, 0);
  print_report (&load);
  destroy_load (&load);
  g_strfreev (hosts);
  g_strfreev (customers);
  g_option_context_free (context);
  return 0;
}
