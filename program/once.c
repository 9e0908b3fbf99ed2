#include "program/once.h"
#include "common/counters.h"
#include "common/id.h"
#include "galenashored/server.h"
#include <glib.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  NAME_HASH_BYTES = 16,
  NAME_BYTES = 2 * NAME_HASH_BYTES + 1,
  MAX_RECORDED_BYTES = 256 * 1024,
  RETRY_MS = 1000,
};

static const char KIND[] = "once";

/* A request between its record and its answer.  Owned by the once. */
struct once_run
{
  struct once *once;
  struct api_request *request; /* NULL once the caller has gone */
  struct call_spec spec;
  char name[NAME_BYTES];
  char nonce[ID_TEXT_BYTES];
  char request_hash[ID_TEXT_BYTES];
  uint64_t version;
  long status;
  struct buf answer;
  struct error error;
  struct once_run *next;
};

struct once
{
  struct server *server;
  struct once_run *runs;
  /* Name to nonce of records that may stand, though nothing was sent. */
  GHashTable *unsent;
};

/* Creates the once of SERVER.  */
struct once *
once_create (struct server *server)
{
  struct once *once = xcalloc (1, sizeof *once);

  once->server = server;
  once->unsent = g_hash_table_new_full (g_str_hash, g_str_equal, free, free);
  return once;
}

static void
run_destroy (struct once_run *run)
{
  struct once_run **slot = &run->once->runs;

  while (*slot && *slot != run)
    slot = &(*slot)->next;
  if (*slot)
    *slot = run->next;
  if (run->request)
    {
      run->request->user = NULL;
      run->request->handle_gone = NULL;
    }
  call_spec_release (&run->spec);
  buf_release (&run->answer);
  free (run);
}

/* Frees the once; the fetcher has been destroyed before.  */
void
once_destroy (struct once *once)
{
  if (!once)
    return;
  while (once->runs)
    run_destroy (once->runs);
  g_hash_table_destroy (once->unsent);
  free (once);
}

static void
handle_gone (struct api_request *request)
{
  ((struct once_run *)request->user)->request = NULL;
}

static struct api_request *
take_request (struct once_run *run)
{
  struct api_request *request = run->request;

  run->request = NULL;
  if (request)
    {
      request->user = NULL;
      request->handle_gone = NULL;
    }
  return request;
}

static void
finish_error (struct once_run *run, const struct error *error)
{
  struct api_request *request = take_request (run);

  run_destroy (run);
  if (request)
    api_respond_error (request, error);
}

static void
finish_answer (struct once_run *run)
{
  struct api_request *request = take_request (run);

  if (request)
    api_respond (request, (unsigned)run->status, "application/json",
                 run->answer.data ? run->answer.data : "", run->answer.len);
  run_destroy (run);
}

static json_t *
record (const struct once_run *run, const char *state)
{
  char process[17];
  json_t *value;

  snprintf (process, sizeof process, "%016" PRIx64,
            run->once->server->process);
  value
      = json_pack ("{s:s, s:s, s:s, s:s}", "state", state, "nonce", run->nonce,
                   "process", process, "request", run->request_hash);
  if (strcmp (state, "done") == 0)
    {
      json_object_set_new (value, "status", json_integer (run->status));
      json_object_set_new (
          value, "body",
          json_stringn (run->answer.data ? run->answer.data : "",
                        run->answer.len));
    }
  return value;
}

/* The outcome's record is for later repetitions; the answer stands without
   it.  */
static void
handle_outcome_recorded (void *data, const struct platform_response *answer)
{
  finish_answer (data);
}

static void
handle_answer (void *data, long status, const struct buf *body)
{
  struct once_run *run = data;
  json_t *value;

  run->status = status;
  buf_append (&run->answer, body->data, body->len);
  if (body->len > MAX_RECORDED_BYTES)
    {
      finish_answer (run);
      return;
    }
  value = record (run, "done");
  platform_put (&run->once->server->platform, KIND, run->name, run->version,
                value, handle_outcome_recorded, run);
  json_decref (value);
}

static void
handle_withdrawn (void *data, const struct platform_response *answer)
{
  struct once_run *run = data;

  if (answer->status != PLATFORM_OK)
    g_hash_table_replace (run->once->unsent, xstrdup (run->name),
                          xstrdup (run->nonce));
  finish_error (run, &run->error);
}

static void
handle_failed (void *data, const struct error *error)
{
  struct once_run *run = data;

  run->error = *error;
  if (error->run != RUN_NOT_RUN)
    {
      finish_error (run, error);
      return;
    }
  platform_delete (&run->once->server->platform, KIND, run->name, run->version,
                   handle_withdrawn, run);
}

static void
dispatch (struct once_run *run)
{
  struct service_options options = { .route = run->spec.route,
                                     .method = run->spec.method,
                                     .subpath = run->spec.subpath,
                                     .content_type = run->spec.content_type,
                                     .request_id = run->name,
                                     .body = run->spec.body.data,
                                     .body_len = run->spec.body.len,
                                     .timeout_ms = run->spec.timeout_ms,
                                     .handle_response = handle_answer,
                                     .handle_failed = handle_failed,
                                     .data = run };

  g_hash_table_remove (run->once->unsent, run->name);
  service_start (run->once->server, &options);
}

static void
refuse_platform (struct once_run *run)
{
  struct error error;

  g_hash_table_replace (run->once->unsent, xstrdup (run->name),
                        xstrdup (run->nonce));
  error_set (&error, ERROR_PLATFORM, RUN_NOT_RUN,
             "the platform is out, so the Idempotency-Key cannot be "
             "recorded; open a program and make this a tool call of it");
  error.retry_after_ms = RETRY_MS;
  finish_error (run, &error);
}

static void
refuse_other_request (struct once_run *run)
{
  struct error error;

  error_set (&error, ERROR_CONFLICT, RUN_NOT_RUN,
             "the Idempotency-Key was used for another request; use a fresh "
             "one");
  finish_error (run, &error);
}

static void
refuse_unknown (struct once_run *run)
{
  struct error error;

  error_set (&error, ERROR_OUTCOME_UNKNOWN, RUN_MAY_HAVE_RUN,
             "the request was sent before and its outcome is not known yet; "
             "ask again later with the same key, or look at the service");
  error.retry_after_ms = RETRY_MS;
  finish_error (run, &error);
}

static void
replay (struct once_run *run, const json_t *value)
{
  const json_t *body = json_object_get (value, "body");

  counter_add (COUNTER_CALLS_REPLAYED, 1);
  run->status = (long)json_integer_value (json_object_get (value, "status"));
  buf_append (&run->answer, json_string_value (body),
              json_string_length (body));
  finish_answer (run);
}

static bool
is_own_record (const struct once_run *run, const char *nonce)
{
  const char *unsent = g_hash_table_lookup (run->once->unsent, run->name);

  if (!nonce)
    return false;
  return strcmp (nonce, run->nonce) == 0
         || (unsent && strcmp (nonce, unsent) == 0);
}

/* A record stands there already, or the answer to ours was lost.  */
static void
handle_read (void *data, const struct platform_response *answer)
{
  struct once_run *run = data;
  const json_t *value = json_object_get (answer->body, "data");
  const char *state = json_string_value (json_object_get (value, "state"));
  const char *hash = json_string_value (json_object_get (value, "request"));
  const char *nonce = json_string_value (json_object_get (value, "nonce"));

  if (answer->status != PLATFORM_OK || !state || !hash)
    {
      refuse_platform (run);
      return;
    }
  if (strcmp (hash, run->request_hash) != 0)
    refuse_other_request (run);
  else if (strcmp (state, "done") == 0)
    replay (run, value);
  else if (is_own_record (run, nonce))
    {
      run->version = answer->version;
      dispatch (run);
    }
  else
    refuse_unknown (run);
}

static void
handle_created (void *data, const struct platform_response *answer)
{
  struct once_run *run = data;

  if (answer->status == PLATFORM_OK)
    {
      run->version = answer->version;
      dispatch (run);
    }
  else if (answer->status == PLATFORM_CONFLICT
           || answer->status == PLATFORM_OUTCOME_UNKNOWN)
    platform_get (&run->once->server->platform, KIND, run->name, handle_read,
                  run);
  else
    refuse_platform (run);
}

static void
name_run (struct once_run *run, const struct api_request *request)
{
  crypto_generichash_state state;
  unsigned char hash[NAME_HASH_BYTES];

  crypto_generichash_init (&state, NULL, 0, sizeof hash);
  crypto_generichash_update (&state, (unsigned char *)request->customer,
                             strlen (request->customer) + 1);
  crypto_generichash_update (&state, (unsigned char *)run->spec.route,
                             strlen (run->spec.route) + 1);
  crypto_generichash_update (&state, (unsigned char *)request->idempotency_key,
                             strlen (request->idempotency_key));
  crypto_generichash_final (&state, hash, sizeof hash);
  sodium_bin2hex (run->name, sizeof run->name, hash, sizeof hash);
}

static void
hash_run (struct once_run *run)
{
  uint64_t hash = id_hash64 (run->spec.body.data, run->spec.body.len, 0);

  hash = id_hash64 (run->spec.subpath, strlen (run->spec.subpath), hash);
  hash = id_hash64 (run->spec.method, strlen (run->spec.method), hash);
  snprintf (run->request_hash, sizeof run->request_hash, "%016" PRIx64, hash);
}

static bool
is_running (const struct once *once, const struct once_run *wanted)
{
  for (const struct once_run *r = once->runs; r; r = r->next)
    if (r != wanted && strcmp (r->name, wanted->name) == 0)
      return true;
  return false;
}

/* Runs a request that may run at most once.  SPEC's contents belong to it from
   here on.  */
void
once_submit (struct once *once, struct api_request *request,
             struct call_spec *spec)
{
  struct once_run *run = xcalloc (1, sizeof *run);
  json_t *value;

  run->once = once;
  run->request = request;
  run->spec = *spec;
  run->next = once->runs;
  once->runs = run;
  request->user = run;
  request->handle_gone = handle_gone;
  id_random_text (run->nonce);
  name_run (run, request);
  hash_run (run);
  if (is_running (once, run))
    {
      refuse_unknown (run);
      return;
    }
  value = record (run, "started");
  platform_put (&once->server->platform, KIND, run->name, 0, value,
                handle_created, run);
  json_decref (value);
}

/* Whether no such request is under way.  */
bool
once_is_idle (const struct once *once)
{
  return !once->runs;
}
