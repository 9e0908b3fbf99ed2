#include "common/id.h"
#include "standin/standin.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  DEFAULT_TOKENS = 16,
  BYTES_PER_TOKEN = 4,
  CRASH_OUTAGE_MS = 300,
  CACHE_ENTRIES = 65536,
  MAX_EVENTS = 256,
  US_PER_S = 1000000,
};

static const char CRASH_MARKER[] = "CRASH-ENGINE";

/* A cached prompt prefix, identified by the chained hash of its messages. */
struct prefix
{
  uint64_t hash;
  int64_t tokens; /* tokens of its last message */
  bool used;
  char program[64];
};

struct generation
{
  struct engine *engine;
  struct httpd_request *request; /* NULL after the client disconnected */
  ev_timer timer;
  char *id;
  char *response_id; /* wrong under the crossed_next fault */
  char *program;
  uint64_t prompt_hash;
  int64_t prompt_tokens;
  int64_t cached_tokens;
  int64_t max_tokens;
  int64_t emitted;
  int64_t priority;
  bool malformed;
  bool truncated;
  bool streaming;
  struct buf text;
  struct generation *next;
};

struct engine
{
  struct standin *standin;
  struct generation *running;
  struct generation *waiting; /* by priority, then by arrival */
  int64_t running_count;
  int64_t waiting_count;
  struct prefix cache[CACHE_ENTRIES]; /* indexed by hash; hash 0 is empty */
  uint32_t clock_hand;                /* next entry to check for eviction */
  int64_t cache_tokens;
  json_t *holds;  /* program to expiry time in ms */
  json_t *events; /* cache events, oldest first */
  int64_t event_sequence;
  int64_t reported_running;
  int64_t reported_waiting;
  int64_t report_time_ms;
  int64_t fence;
  int64_t crashes;
  int64_t served;
  int64_t prefilled_tokens;
  json_t *loaded;
};

static void
remove_generation (struct generation **list, struct generation *generation)
{
  while (*list && *list != generation)
    list = &(*list)->next;
  if (*list)
    *list = generation->next;
}

static void
publish (struct engine *engine, const char *type, uint64_t hash)
{
  char name[32];

  engine->event_sequence++;
  if (engine->standin->faults.drop_events > 0
      && engine->event_sequence % engine->standin->faults.drop_events == 0)
    return;
  snprintf (name, sizeof name, "%016llx", (unsigned long long)hash);
  json_array_append_new (engine->events,
                         json_pack ("{s:I, s:s, s:s}", "sequence",
                                    (json_int_t)engine->event_sequence,
                                    "event", type, "prefix", name));
  if (json_array_size (engine->events) > MAX_EVENTS)
    json_array_remove (engine->events, 0);
}

static struct prefix *
find_prefix (struct engine *engine, uint64_t hash)
{
  struct prefix *prefix = &engine->cache[hash % CACHE_ENTRIES];

  return prefix->hash == hash ? prefix : NULL;
}

static bool
is_held (const struct engine *engine, const char *program)
{
  json_t *until = json_object_get (engine->holds, program);

  return json_integer_value (until) > clock_now_ms ();
}

static void
evict (struct engine *engine, struct prefix *prefix)
{
  publish (engine, "evicted", prefix->hash);
  engine->cache_tokens -= prefix->tokens;
  *prefix = (struct prefix){ 0 };
}

/* Evicts one prefix by the second-chance (clock) algorithm.  Prefixes of held
   programs stay.  Returns false if nothing can be evicted.  */
static bool
evict_one (struct engine *engine)
{
  for (uint32_t i = 0; i < 2 * CACHE_ENTRIES; i++)
    {
      struct prefix *prefix
          = &engine->cache[engine->clock_hand++ % CACHE_ENTRIES];

      if (prefix->hash == 0 || is_held (engine, prefix->program))
        continue;
      if (prefix->used)
        {
          prefix->used = false;
          continue;
        }
      evict (engine, prefix);
      return true;
    }
  return false;
}

static void
cache_prefix (struct engine *engine, uint64_t hash, int64_t tokens,
              const char *program)
{
  struct prefix *prefix = find_prefix (engine, hash);

  if (prefix)
    {
      prefix->used = true;
      return;
    }
  while (engine->cache_tokens > 0
         && engine->cache_tokens + tokens
                > engine->standin->settings.cache_tokens)
    if (!evict_one (engine))
      return;
  prefix = &engine->cache[hash % CACHE_ENTRIES];
  if (prefix->hash != 0)
    evict (engine, prefix);
  prefix->hash = hash;
  prefix->tokens = tokens;
  prefix->used = true;
  snprintf (prefix->program, sizeof prefix->program, "%s", program);
  engine->cache_tokens += tokens;
  publish (engine, "stored", hash);
}

/* Computes the token count and the cached part of the prompt, and caches it.
 */
static void
process_prompt (struct generation *generation, const json_t *messages)
{
  struct engine *engine = generation->engine;
  bool cached = true;
  size_t i;
  json_t *message;

  json_array_foreach (messages, i, message)
  {
    char *text = json_dumps (message, JSON_COMPACT | JSON_SORT_KEYS);
    int64_t tokens = (int64_t)strlen (text) / BYTES_PER_TOKEN + 1;

    generation->prompt_hash
        = id_hash64 (text, strlen (text), generation->prompt_hash);
    free (text);
    cached = cached && find_prefix (engine, generation->prompt_hash);
    generation->prompt_tokens += tokens;
    if (cached)
      generation->cached_tokens += tokens;
    cache_prefix (engine, generation->prompt_hash, tokens,
                  generation->program);
  }
}

static void
generation_destroy (struct generation *generation)
{
  ev_timer_stop (generation->engine->standin->loop, &generation->timer);
  if (generation->request)
    {
      generation->request->user = NULL;
      generation->request->handle_disconnect = NULL;
    }
  free (generation->id);
  free (generation->response_id);
  free (generation->program);
  buf_release (&generation->text);
  free (generation);
}

static char *
token_text (const struct generation *generation)
{
  uint64_t key[2] = { generation->prompt_hash, (uint64_t)generation->emitted };

  return xasprintf (
      " w%llu", (unsigned long long)(id_hash64 (key, sizeof key, 1) % 10000));
}

static void
emit_token (struct generation *generation)
{
  char *token = token_text (generation);
  char *line;

  generation->emitted++;
  buf_append_str (&generation->text, token);
  if (generation->streaming)
    {
      line = xasprintf ("data: {\"id\":\"%s\",\"choices\":[{\"index\":0,"
                        "\"delta\":{\"content\":\"%s\"},"
                        "\"finish_reason\":null}]}\n\n",
                        generation->response_id, token);
      if (generation->malformed)
        httpd_stream_write (generation->request, "data: {\"cho\n\n", 13);
      else if (!httpd_stream_write (generation->request, line, strlen (line)))
        httpd_stream_abort (generation->request);
      free (line);
    }
  free (token);
}

static void
finish_stream (struct generation *generation)
{
  char *line = xasprintf (
      "data: {\"id\":\"%s\",\"choices\":[{\"index\":0,\"delta\":{},"
      "\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":%lld,"
      "\"completion_tokens\":%lld,\"cached_tokens\":%lld}}\n\n"
      "data: [DONE]\n\n",
      generation->response_id, (long long)generation->prompt_tokens,
      (long long)generation->emitted, (long long)generation->cached_tokens);

  httpd_stream_write (generation->request, line, strlen (line));
  httpd_stream_end (generation->request);
  free (line);
}

static void
finish_response (struct generation *generation)
{
  json_t *body = json_pack (
      "{s:s, s:[{s:i, s:{s:s, s:s}, s:s}], s:{s:I, s:I, s:I}}", "id",
      generation->response_id, "choices", "index", 0, "message", "role",
      "assistant", "content",
      generation->text.data ? generation->text.data : "", "finish_reason",
      "stop", "usage", "prompt_tokens", (json_int_t)generation->prompt_tokens,
      "completion_tokens", (json_int_t)generation->emitted, "cached_tokens",
      (json_int_t)generation->cached_tokens);

  generation->request->user = NULL;
  generation->request->handle_disconnect = NULL;
  standin_respond_json (generation->engine->standin, generation->request, 200,
                        body);
  generation->request = NULL;
}

static void
end_generation (struct generation *generation)
{
  remove_generation (&generation->engine->running, generation);
  generation->engine->running_count--;
  generation_destroy (generation);
}

static void
start_waiting (struct engine *engine)
{
  while (engine->waiting
         && engine->running_count < engine->standin->settings.slots)
    {
      struct generation *generation = engine->waiting;
      int64_t uncached = generation->prompt_tokens - generation->cached_tokens;
      double prefill_s
          = (double)(uncached * engine->standin->settings.prefill_us)
            / US_PER_S;
      double token_s = (double)engine->standin->settings.token_us / US_PER_S;

      engine->waiting = generation->next;
      engine->waiting_count--;
      generation->next = engine->running;
      engine->running = generation;
      engine->running_count++;
      engine->served++;
      engine->prefilled_tokens += uncached;
      if (generation->streaming)
        httpd_stream_begin (generation->request, 200, "text/event-stream");
      ev_timer_set (&generation->timer, prefill_s + token_s, token_s);
      ev_timer_start (engine->standin->loop, &generation->timer);
    }
}

static void
handle_token (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct generation *generation = watcher->data;
  struct engine *engine = generation->engine;

  emit_token (generation);
  if (generation->truncated && generation->emitted > 1)
    {
      httpd_stream_abort (generation->request);
      end_generation (generation);
      start_waiting (engine);
      return;
    }
  if (generation->emitted < generation->max_tokens)
    return;
  if (generation->streaming)
    finish_stream (generation);
  else
    finish_response (generation);
  end_generation (generation);
  start_waiting (engine);
}

/* Cancels the generation of a client that disconnected.  */
static void
handle_disconnect (struct httpd_request *request)
{
  struct generation *generation = request->user;
  struct engine *engine = generation->engine;
  bool waiting = false;

  for (struct generation *g = engine->waiting; g; g = g->next)
    waiting = waiting || g == generation;
  generation->request = NULL;
  if (!waiting)
    {
      end_generation (generation);
      start_waiting (engine);
      return;
    }
  remove_generation (&engine->waiting, generation);
  engine->waiting_count--;
  generation_destroy (generation);
}

static void
enqueue (struct engine *engine, struct generation *generation)
{
  struct generation **slot = &engine->waiting;

  while (*slot && (*slot)->priority <= generation->priority)
    slot = &(*slot)->next;
  generation->next = *slot;
  *slot = generation;
  engine->waiting_count++;
}

static void
abort_all (struct generation **list)
{
  while (*list)
    {
      struct generation *generation = *list;
      struct httpd_request *request = generation->request;

      *list = generation->next;
      generation_destroy (generation);
      if (request && request->state == HTTPD_WAITING)
        httpd_stream_begin (request, 500, "text/plain");
      if (request)
        httpd_stream_abort (request);
    }
}

/* Simulates a crash and restart: aborts every stream, clears the cache and the
   holds, and drops requests for CRASH_OUTAGE_MS.  */
static void
crash (struct engine *engine, struct httpd_request *request)
{
  engine->crashes++;
  abort_all (&engine->running);
  abort_all (&engine->waiting);
  engine->running_count = 0;
  engine->waiting_count = 0;
  memset (engine->cache, 0, sizeof engine->cache);
  engine->cache_tokens = 0;
  json_object_clear (engine->holds);
  engine->standin->faults.outage_until_ms = clock_now_ms () + CRASH_OUTAGE_MS;
  standin_drop_response (request);
}

static void
respond_bad_request (struct engine *engine, struct httpd_request *request)
{
  standin_respond_json (engine->standin, request, 400,
                        json_pack ("{s:s}", "error", "bad request"));
}

static void
handle_chat (struct engine *engine, struct httpd_request *request)
{
  struct faults *faults = &engine->standin->faults;
  const char *id = httpd_header (request, "X-Request-Id");
  struct generation *generation;
  json_t *body;
  json_t *messages;
  json_int_t max_tokens;
  const char *program;

  if (request->body.data && strstr (request->body.data, CRASH_MARKER))
    {
      crash (engine, request);
      return;
    }
  body = json_loadb (request->body.data ? request->body.data : "",
                     request->body.len, 0, NULL);
  messages = json_object_get (body, "messages");
  if (!json_is_array (messages))
    {
      json_decref (body);
      respond_bad_request (engine, request);
      return;
    }
  generation = xcalloc (1, sizeof *generation);
  generation->engine = engine;
  generation->request = request;
  generation->id = xstrdup (id ? id : "none");
  generation->response_id = standin_use_fault (&faults->crossed_next)
                                ? xstrdup ("another")
                                : xstrdup (generation->id);
  generation->malformed = standin_use_fault (&faults->garbage_next);
  generation->truncated = standin_use_fault (&faults->half_next);
  program = json_string_value (json_object_get (body, "program"));
  generation->program = xstrdup (program ? program : "");
  max_tokens = json_integer_value (json_object_get (body, "max_tokens"));
  generation->max_tokens = max_tokens > 0 ? max_tokens : DEFAULT_TOKENS;
  generation->priority
      = json_integer_value (json_object_get (body, "priority"));
  generation->emitted
      = json_integer_value (json_object_get (body, "resume_from"));
  generation->streaming = json_is_true (json_object_get (body, "stream"));
  process_prompt (generation, messages);
  json_decref (body);
  ev_timer_init (&generation->timer, handle_token, 0, 0);
  generation->timer.data = generation;
  request->user = generation;
  request->handle_disconnect = handle_disconnect;
  enqueue (engine, generation);
  start_waiting (engine);
}

static void
respond_load (struct engine *engine, struct httpd_request *request)
{
  int64_t now_ms = clock_now_ms ();

  if (now_ms - engine->report_time_ms >= engine->standin->faults.load_lag_ms)
    {
      engine->report_time_ms = now_ms;
      engine->reported_running = engine->running_count;
      engine->reported_waiting = engine->waiting_count;
    }
  standin_respond_json (
      engine->standin, request, 200,
      json_pack ("{s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "running",
                 (json_int_t)engine->reported_running, "waiting",
                 (json_int_t)engine->reported_waiting, "slots",
                 (json_int_t)engine->standin->settings.slots, "cached_tokens",
                 (json_int_t)engine->cache_tokens, "crashes",
                 (json_int_t)engine->crashes, "served",
                 (json_int_t)engine->served, "prefilled_tokens",
                 (json_int_t)engine->prefilled_tokens));
}

static void
handle_hold (struct engine *engine, struct httpd_request *request)
{
  const char *program = request->path + strlen ("/v1/holds/");
  json_t *body;
  json_int_t ttl_ms;

  if (strcmp (request->method, "DELETE") == 0)
    {
      json_object_del (engine->holds, program);
      standin_respond_json (engine->standin, request, 200, json_object ());
      return;
    }
  body = json_loadb (request->body.data ? request->body.data : "",
                     request->body.len, 0, NULL);
  ttl_ms = json_integer_value (json_object_get (body, "ttl_ms"));
  json_decref (body);
  json_object_set_new (engine->holds, program,
                       json_integer (clock_now_ms () + ttl_ms));
  standin_respond_json (engine->standin, request, 200, json_object ());
}

static void
respond_holds (struct engine *engine, struct httpd_request *request)
{
  json_t *list = json_array ();
  const char *program;
  json_t *until;

  json_object_foreach (engine->holds, program, until)
  {
    if (json_integer_value (until) > clock_now_ms ())
      json_array_append_new (list, json_string (program));
  }
  standin_respond_json (engine->standin, request, 200,
                        json_pack ("{s:o}", "holds", list));
}

static void
handle_order (struct engine *engine, struct httpd_request *request)
{
  json_t *body = json_loadb (request->body.data ? request->body.data : "",
                             request->body.len, 0, NULL);
  json_int_t fence = json_integer_value (json_object_get (body, "fence"));
  const char *model = json_string_value (json_object_get (body, "model"));
  bool stale = fence < engine->fence;

  if (stale && engine->standin->settings.checks_fencing)
    standin_respond_json (
        engine->standin, request, 409,
        json_pack ("{s:I}", "fence", (json_int_t)engine->fence));
  else
    {
      engine->fence = stale ? engine->fence : fence;
      if (model)
        json_object_set_new (engine->loaded, model, json_true ());
      standin_respond_json (engine->standin, request, 200,
                            json_pack ("{s:I, s:O}", "fence",
                                       (json_int_t)engine->fence, "loaded",
                                       engine->loaded));
    }
  json_decref (body);
}

static void
engine_handle_request (struct standin *standin, struct httpd_request *request)
{
  struct engine *engine = standin->state;

  if (strcmp (request->path, "/v1/chat/completions") == 0)
    handle_chat (engine, request);
  else if (strcmp (request->path, "/v1/load") == 0)
    respond_load (engine, request);
  else if (strcmp (request->path, "/v1/cache_events") == 0)
    standin_respond_json (standin, request, 200,
                          json_pack ("{s:O}", "events", engine->events));
  else if (strcmp (request->path, "/v1/holds") == 0)
    respond_holds (engine, request);
  else if (strncmp (request->path, "/v1/holds/", strlen ("/v1/holds/")) == 0)
    handle_hold (engine, request);
  else if (strcmp (request->path, "/v1/orders") == 0)
    handle_order (engine, request);
  else
    respond_bad_request (engine, request);
}

static void
engine_create (struct standin *standin)
{
  struct engine *engine = xcalloc (1, sizeof *engine);

  engine->standin = standin;
  engine->holds = json_object ();
  engine->events = json_array ();
  engine->loaded = json_object ();
  standin->state = engine;
}

static void
engine_destroy (struct standin *standin)
{
  struct engine *engine = standin->state;

  json_decref (engine->holds);
  json_decref (engine->events);
  json_decref (engine->loaded);
  free (engine);
}

const struct standin_mode standin_engine
    = { .name = "engine",
        .create = engine_create,
        .handle_request = engine_handle_request,
        .destroy = engine_destroy };
