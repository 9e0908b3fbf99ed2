#include "program/idempotency.h"
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
  MAX_RECORDED_BODY_BYTES = 256 * 1024,
  RETRY_MS = 1000,
};

static const char RECORD_KIND[] = "once";

/* A request in progress.  Owned by struct idempotency. */
struct idempotent_run
{
  struct idempotency *idempotency;
  struct api_request *request; /* NULL once the caller has disconnected */
  struct call_spec spec;
  char name[NAME_BYTES];     /* of the record in the platform */
  char nonce[ID_TEXT_BYTES]; /* identifies the run that created the record */
  char request_hash[ID_TEXT_BYTES];
  uint64_t version; /* of the record */
  long status;
  struct buf answer;
  struct error error;
  struct idempotent_run *next;
};

struct idempotency
{
  struct server *server;
  struct idempotent_run *runs;
  /* Record name to nonce, for records that may exist in the platform although
     their request was never sent. */
  GHashTable *unsent;
};

/* Creates the table of at-most-once requests.  */
struct idempotency *
idempotency_create (struct server *server)
{
  struct idempotency *idempotency = xcalloc (1, sizeof *idempotency);

  idempotency->server = server;
  idempotency->unsent
      = g_hash_table_new_full (g_str_hash, g_str_equal, free, free);
  return idempotency;
}

static void
run_destroy (struct idempotent_run *run)
{
  struct idempotent_run **slot = &run->idempotency->runs;

  while (*slot && *slot != run)
    slot = &(*slot)->next;
  if (*slot)
    *slot = run->next;
  if (run->request)
    {
      run->request->user = NULL;
      run->request->handle_disconnect = NULL;
    }
  call_spec_release (&run->spec);
  buf_release (&run->answer);
  free (run);
}

/* Frees the table.  The HTTP client (struct fetcher) must have been destroyed
   before, because its callbacks refer to requests in progress.  */
void
idempotency_destroy (struct idempotency *idempotency)
{
  if (!idempotency)
    return;
  while (idempotency->runs)
    run_destroy (idempotency->runs);
  g_hash_table_destroy (idempotency->unsent);
  free (idempotency);
}

static void
handle_disconnect (struct api_request *request)
{
  ((struct idempotent_run *)request->user)->request = NULL;
}

static struct api_request *
detach_request (struct idempotent_run *run)
{
  struct api_request *request = run->request;

  run->request = NULL;
  if (request)
    {
      request->user = NULL;
      request->handle_disconnect = NULL;
    }
  return request;
}

static void
finish_error (struct idempotent_run *run, const struct error *error)
{
  struct api_request *request = detach_request (run);

  run_destroy (run);
  if (request)
    api_respond_error (request, error);
}

static void
finish_answer (struct idempotent_run *run)
{
  struct api_request *request = detach_request (run);

  if (request)
    api_respond (request, (unsigned)run->status, "application/json",
                 run->answer.data ? run->answer.data : "", run->answer.len);
  run_destroy (run);
}

/* Returns the record for the platform.  STATE is "started", or "done" with the
   answer.  */
static json_t *
make_record (const struct idempotent_run *run, const char *state)
{
  char process[17];
  json_t *value;

  snprintf (process, sizeof process, "%016" PRIx64,
            run->idempotency->server->process);
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

/* The recorded answer is only needed for later retries, so the caller gets the
   answer even if recording it has failed.  */
static void
handle_outcome_recorded (void *data, const struct platform_response *answer)
{
  finish_answer (data);
}

static void
handle_answer (void *data, long status, const struct buf *body)
{
  struct idempotent_run *run = data;
  json_t *value;

  run->status = status;
  buf_append (&run->answer, body->data, body->len);
  if (body->len > MAX_RECORDED_BODY_BYTES)
    {
      finish_answer (run);
      return;
    }
  value = make_record (run, "done");
  platform_put (&run->idempotency->server->platform, RECORD_KIND, run->name,
                run->version, value, handle_outcome_recorded, run);
  json_decref (value);
}

/* If the record of a request that was not sent could not be deleted, remembers
   its nonce, so that a retry may send the request.  */
static void
handle_record_deleted (void *data, const struct platform_response *answer)
{
  struct idempotent_run *run = data;

  if (answer->status != PLATFORM_OK)
    g_hash_table_replace (run->idempotency->unsent, xstrdup (run->name),
                          xstrdup (run->nonce));
  finish_error (run, &run->error);
}

static void
handle_failed (void *data, const struct error *error)
{
  struct idempotent_run *run = data;

  run->error = *error;
  if (error->run != RUN_NOT_RUN)
    {
      finish_error (run, error);
      return;
    }
  platform_delete (&run->idempotency->server->platform, RECORD_KIND, run->name,
                   run->version, handle_record_deleted, run);
}

static void
dispatch (struct idempotent_run *run)
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

  g_hash_table_remove (run->idempotency->unsent, run->name);
  service_call_start (run->idempotency->server, &options);
}

static void
fail_platform_unavailable (struct idempotent_run *run)
{
  struct error error;

  g_hash_table_replace (run->idempotency->unsent, xstrdup (run->name),
                        xstrdup (run->nonce));
  error_set (&error, ERROR_PLATFORM, RUN_NOT_RUN,
             "the platform is unavailable and the Idempotency-Key cannot be "
             "recorded; open a program and send this as a tool call");
  error.retry_after_ms = RETRY_MS;
  finish_error (run, &error);
}

static void
fail_key_reused (struct idempotent_run *run)
{
  struct error error;

  error_set (&error, ERROR_CONFLICT, RUN_NOT_RUN,
             "the Idempotency-Key was used for a different request; use a new "
             "one");
  finish_error (run, &error);
}

static void
fail_outcome_unknown (struct idempotent_run *run)
{
  struct error error;

  error_set (&error, ERROR_OUTCOME_UNKNOWN, RUN_MAY_HAVE_RUN,
             "the request was sent before and its outcome is not known yet; "
             "retry later with the same key, or check the service");
  error.retry_after_ms = RETRY_MS;
  finish_error (run, &error);
}

static void
replay (struct idempotent_run *run, const json_t *value)
{
  const json_t *body = json_object_get (value, "body");

  counter_add (COUNTER_CALLS_REPLAYED, 1);
  run->status = (long)json_integer_value (json_object_get (value, "status"));
  buf_append (&run->answer, json_string_value (body),
              json_string_length (body));
  finish_answer (run);
}

/* Whether the record was created by RUN, or by an earlier run on this process
   that did not send its request.  */
static bool
is_record_of_unsent_run (const struct idempotent_run *run, const char *nonce)
{
  const char *unsent
      = g_hash_table_lookup (run->idempotency->unsent, run->name);

  if (!nonce)
    return false;
  return strcmp (nonce, run->nonce) == 0
         || (unsent && strcmp (nonce, unsent) == 0);
}

/* Handles the existing record after its creation has failed with a conflict or
   an unknown outcome.  */
static void
handle_existing_record (void *data, const struct platform_response *answer)
{
  struct idempotent_run *run = data;
  const json_t *value = json_object_get (answer->body, "data");
  const char *state = json_string_value (json_object_get (value, "state"));
  const char *hash = json_string_value (json_object_get (value, "request"));
  const char *nonce = json_string_value (json_object_get (value, "nonce"));

  if (answer->status != PLATFORM_OK || !state || !hash)
    {
      fail_platform_unavailable (run);
      return;
    }
  if (strcmp (hash, run->request_hash) != 0)
    fail_key_reused (run);
  else if (strcmp (state, "done") == 0)
    replay (run, value);
  else if (is_record_of_unsent_run (run, nonce))
    {
      run->version = answer->version;
      dispatch (run);
    }
  else
    fail_outcome_unknown (run);
}

static void
handle_created (void *data, const struct platform_response *answer)
{
  struct idempotent_run *run = data;

  if (answer->status == PLATFORM_OK)
    {
      run->version = answer->version;
      dispatch (run);
    }
  else if (answer->status == PLATFORM_CONFLICT
           || answer->status == PLATFORM_OUTCOME_UNKNOWN)
    platform_get (&run->idempotency->server->platform, RECORD_KIND, run->name,
                  handle_existing_record, run);
  else
    fail_platform_unavailable (run);
}

static void
set_record_name (struct idempotent_run *run, const struct api_request *request)
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
set_request_hash (struct idempotent_run *run)
{
  uint64_t hash = id_hash64 (run->spec.body.data, run->spec.body.len, 0);

  hash = id_hash64 (run->spec.subpath, strlen (run->spec.subpath), hash);
  hash = id_hash64 (run->spec.method, strlen (run->spec.method), hash);
  snprintf (run->request_hash, sizeof run->request_hash, "%016" PRIx64, hash);
}

/* Whether another run of the same Idempotency-Key is in progress.  */
static bool
has_concurrent_run (const struct idempotency *idempotency,
                    const struct idempotent_run *run)
{
  for (const struct idempotent_run *r = idempotency->runs; r; r = r->next)
    if (r != run && strcmp (r->name, run->name) == 0)
      return true;
  return false;
}

/* Runs REQUEST at most once per customer, route and Idempotency-Key.  A retry
   gets the recorded answer.  Takes ownership of SPEC's contents.  */
void
idempotency_submit (struct idempotency *idempotency,
                    struct api_request *request, struct call_spec *spec)
{
  struct idempotent_run *run = xcalloc (1, sizeof *run);
  json_t *value;

  run->idempotency = idempotency;
  run->request = request;
  run->spec = *spec;
  run->next = idempotency->runs;
  idempotency->runs = run;
  request->user = run;
  request->handle_disconnect = handle_disconnect;
  id_random_text (run->nonce);
  set_record_name (run, request);
  set_request_hash (run);
  if (has_concurrent_run (idempotency, run))
    {
      fail_outcome_unknown (run);
      return;
    }
  value = make_record (run, "started");
  platform_put (&idempotency->server->platform, RECORD_KIND, run->name, 0,
                value, handle_created, run);
  json_decref (value);
}

/* Whether no request is in progress.  */
bool
idempotency_is_idle (const struct idempotency *idempotency)
{
  return !idempotency->runs;
}
