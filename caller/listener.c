#include "caller/listener.h"
#include "caller/routes.h"
#include "common/address.h"
#include "common/counters.h"
#include "common/id.h"
#include "common/log.h"
#include "galenashored/server.h"
#include "peer/limiter.h"
#include <glib.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CONNECTION_MEMORY_BYTES = 8 * 1024,
  IDLE_TIMEOUT_S = 300,
  MAX_KEY_BYTES = 256,
  MAX_CONFIG_WAIT_MS = 3000,
  RETRY_MS = 1000,
};

static const char BEARER[] = "Bearer ";
static const char SERVICES_PREFIX[] = "/v1/services/";

/* A request on a connection to this host.  The API request must be the first
   member, because the functions of caller_sink cast from it. */
struct local_request
{
  struct api_request request;
  struct listener *listener;
  struct httpd_request *http;
  struct limiter_wait *wait;    /* for the customer's rate limit, or NULL */
  bool dispatched;              /* has been passed to a handler */
  bool is_stream;               /* the response, which has begun */
  int64_t config_wait_since_ms; /* when it began to wait for a configuration,
                                   or 0 */
  struct local_request *prev;
  struct local_request *next;
};

struct listener
{
  struct server *server;
  struct httpd *httpd;
  struct local_request *requests;
  uint32_t request_count;
  char *cert_pem;
  char *key_pem;
};

static void
local_request_destroy (struct local_request *local)
{
  if (local->prev)
    local->prev->next = local->next;
  else
    local->listener->requests = local->next;
  if (local->next)
    local->next->prev = local->prev;
  local->listener->request_count--;
  if (local->wait)
    limiter_cancel (local->wait);
  api_request_release (&local->request);
  free (local);
}

static void
caller_begin (struct api_request *request, unsigned status,
              const char *content_type, bool streaming)
{
  struct local_request *local = (struct local_request *)request;

  if (request->answer_cursor)
    httpd_add_header (local->http, "X-Galena-Cursor", request->answer_cursor);
  if (request->answer_program)
    httpd_add_header (local->http, "X-Galena-Program",
                      request->answer_program);
  httpd_add_retry_after (local->http, request->retry_after_ms);
  if (streaming)
    {
      counter_add (COUNTER_STREAMS_OPEN, 1);
      local->is_stream = true;
      httpd_stream_begin (local->http, status, content_type);
      return;
    }
  /* Buffered until the end, so that it is sent with a Content-Length.
     content_type holds the type of the response from here on.  */
  local->http->status = status;
  api_set_string (&request->content_type, content_type);
}

static bool
caller_write (struct api_request *request, const void *data, size_t len)
{
  struct local_request *local = (struct local_request *)request;

  if (local->is_stream)
    return httpd_stream_write (local->http, data, len);
  /* Buffers the response in the HTTP request.  */
  buf_append (&local->http->response_body, data, len);
  return true;
}

/* Detaches the request from its connection and frees it.  The HTTP server
   handles the rest of the connection.  */
static void
detach_from_connection (struct local_request *local)
{
  if (local->is_stream)
    counter_add (COUNTER_STREAMS_OPEN, -1);
  local->http->user = NULL;
  local->http->handle_disconnect = NULL;
  local_request_destroy (local);
}

static void
caller_end (struct api_request *request)
{
  struct local_request *local = (struct local_request *)request;
  struct httpd_request *http = local->http;

  if (local->is_stream)
    httpd_stream_end (http);
  else
    httpd_respond_buffered (http, http->status, request->content_type);
  detach_from_connection (local);
}

static void
caller_abort (struct api_request *request)
{
  struct local_request *local = (struct local_request *)request;

  httpd_stream_abort (local->http);
  detach_from_connection (local);
}

static const struct api_sink_impl caller_sink = { .begin = caller_begin,
                                                  .write = caller_write,
                                                  .end = caller_end,
                                                  .abort = caller_abort };

static void
handle_connection_disconnect (struct httpd_request *http)
{
  struct local_request *local = http->user;

  if (local->is_stream)
    counter_add (COUNTER_STREAMS_OPEN, -1);
  if (local->request.handle_disconnect)
    local->request.handle_disconnect (&local->request);
  local_request_destroy (local);
}

static bool
fail_auth (struct error *error, const char *message)
{
  error_set (error, ERROR_UNAUTHORIZED, RUN_NOT_RUN, "%s", message);
  return false;
}

/* Whether PATH is of a service that is open to requests without an API key. */
static bool
allows_anonymous (const struct server *server, const char *path)
{
  const char *name = path + strlen (SERVICES_PREFIX);
  const struct config_route *route;
  char *copy;

  if (strncmp (path, SERVICES_PREFIX, strlen (SERVICES_PREFIX)) != 0)
    return false;
  copy = strndup (name, strcspn (name, "/"));
  route = config_find_route (server->config, copy);
  free (copy);
  return route && route->open_to_all;
}

/* Determines the customer from the API key.  The key itself is not stored or
   passed on.  */
static bool
authenticate (struct local_request *local, struct error *error)
{
  const struct server *server = local->listener->server;
  const char *header = httpd_header (local->http, "Authorization");
  const struct config_key *key;
  uint8_t hash[KEY_HASH_BYTES];

  if (!header && allows_anonymous (server, local->http->path))
    {
      local->request.customer = xstrdup ("");
      local->request.key_id = xstrdup ("");
      return true;
    }
  if (!header || strncmp (header, BEARER, strlen (BEARER)) != 0
      || strlen (header) > MAX_KEY_BYTES)
    return fail_auth (error, "the API key is missing; send it as "
                             "\"Authorization: Bearer KEY\"");
  config_hash_key (header + strlen (BEARER), hash);
  key = config_find_key (server->config, hash);
  if (!key)
    return fail_auth (error,
                      "unknown API key; check it, or ask the operator for "
                      "another");
  if (key->withdrawn)
    return fail_auth (error, "the key has been withdrawn; ask the operator "
                             "for another");
  if (!config_find_customer (server->config, key->customer))
    return fail_auth (error, "the key's customer does not exist; contact the "
                             "operator");
  local->request.customer = xstrdup (key->customer);
  local->request.key_id = xstrdup (key->id);
  return true;
}

static void
copy_header (struct local_request *local, char **slot, const char *name)
{
  *slot = xstrdup (httpd_header (local->http, name));
}

static void
read_headers (struct local_request *local)
{
  struct api_request *request = &local->request;
  const char *last_event = httpd_header (local->http, "Last-Event-ID");

  request->method = xstrdup (local->http->method);
  request->path = xstrdup (local->http->path);
  copy_header (local, &request->cursor, "X-Galena-Cursor");
  copy_header (local, &request->program, "X-Galena-Program");
  copy_header (local, &request->idempotency_key, "Idempotency-Key");
  copy_header (local, &request->content_type, "Content-Type");
  if (last_event)
    request->resume_from
        = (uint32_t)CLAMP (strtoll (last_event, NULL, 10), 0, UINT32_MAX);
}

static struct local_request *
local_request_create (struct listener *listener, struct httpd_request *http)
{
  struct local_request *local = xcalloc (1, sizeof *local);

  local->listener = listener;
  local->http = http;
  local->request.impl = &caller_sink;
  local->request.server = listener->server;
  id_random_text (local->request.id);
  local->next = listener->requests;
  if (listener->requests)
    listener->requests->prev = local;
  listener->requests = local;
  listener->request_count++;
  http->user = local;
  http->handle_disconnect = handle_connection_disconnect;
  return local;
}

/* Rejects requests without a valid API key before their bodies are read.  */
static void
handle_headers (void *data, struct httpd_request *http)
{
  struct listener *listener = data;
  struct local_request *local = local_request_create (listener, http);
  struct error error;

  counter_add (COUNTER_REQUESTS, 1);
  /* Requests cannot be authenticated without a configuration.  The request
     waits for one once it has been read completely.  */
  if (!listener->server->serving)
    {
      read_headers (local);
      return;
    }
  if (authenticate (local, &error))
    {
      read_headers (local);
      return;
    }
  api_respond_error (&local->request, &error);
}

static void
handle_rate_limit (void *data, const struct error *error)
{
  struct local_request *local = data;

  local->wait = NULL;
  local->dispatched = true;
  if (error)
    api_respond_error (&local->request, error);
  else
    routes_dispatch (&local->request);
}

/* Applies the rate limit of the request's route, then dispatches it.  */
static void
admit (struct local_request *local)
{
  struct listener *listener = local->listener;
  const struct route_entry *route;
  struct limiter_wait *wait;
  struct error error;

  route = routes_find (&local->request, &error);
  if (!route)
    {
      api_respond_error (&local->request, &error);
      return;
    }
  if (!route->rate_limited || local->request.customer[0] == '\0')
    {
      local->dispatched = true;
      routes_dispatch (&local->request);
      return;
    }
  /* If this returns NULL, the request may have been freed already.  */
  wait = limiter_admit (listener->server->limiter, local->request.customer,
                        handle_rate_limit, local);
  if (wait)
    local->wait = wait;
}

/* Resumes a request that arrived before the first configuration.  */
static void
admit_deferred (struct local_request *local)
{
  struct error error;

  local->config_wait_since_ms = 0;
  if (authenticate (local, &error))
    admit (local);
  else
    api_respond_error (&local->request, &error);
}

static void
handle_request (void *data, struct httpd_request *http)
{
  struct local_request *local = http->user;

  if (!local)
    return;
  local->request.body = http->body;
  http->body = (struct buf){ 0 };
  if (local->request.customer)
    admit (local);
  else if (local->listener->server->serving)
    admit_deferred (local);
  else
    local->config_wait_since_ms = clock_now_ms ();
}

/* Resumes the requests that waited for the first configuration.  */
void
listener_resume_requests (struct listener *listener)
{
  struct local_request *local = listener->requests;

  while (local)
    {
      struct local_request *next = local->next;

      if (local->config_wait_since_ms)
        admit_deferred (local);
      local = next;
    }
}

/* Rejects requests that have waited too long for a configuration.  */
void
listener_tick (struct listener *listener, int64_t now_ms)
{
  struct local_request *local = listener->requests;

  while (local)
    {
      struct local_request *next = local->next;
      struct error error;

      if (local->config_wait_since_ms
          && now_ms - local->config_wait_since_ms > MAX_CONFIG_WAIT_MS)
        {
          local->config_wait_since_ms = 0;
          error_set (
              &error, ERROR_STOPPING, RUN_NOT_RUN,
              "this host has no configuration yet; retry on another host");
          error.retry_after_ms = RETRY_MS;
          api_respond_error (&local->request, &error);
        }
      local = next;
    }
}

static bool
load_tls (struct listener *listener, struct error *error)
{
  const struct settings *settings = listener->server->settings;
  char *cert;
  char *key;

  if (!settings->caller_cert_file)
    return true;
  cert = settings_read_text (settings->caller_cert_file, false, error);
  if (!cert)
    return false;
  key = settings_read_text (settings->caller_key_file, true, error);
  if (!key)
    {
      free (cert);
      return false;
    }
  free (listener->cert_pem);
  free (listener->key_pem);
  listener->cert_pem = cert;
  listener->key_pem = key;
  return true;
}

static struct httpd *
open_httpd (struct listener *listener, struct error *error)
{
  const struct settings *settings = listener->server->settings;
  char ip[INET_ADDRSTRLEN];
  uint16_t port;
  struct httpd_options options
      = { .loop = listener->server->loop,
          .address = ip,
          .connection_memory_bytes = CONNECTION_MEMORY_BYTES,
          .max_body_bytes = (size_t)settings->max_body_bytes,
          .idle_timeout_s = IDLE_TIMEOUT_S,
          .max_connections = (uint32_t)settings->max_connections,
          .cert_pem = listener->cert_pem,
          .key_pem = listener->key_pem,
          .handle_headers = handle_headers,
          .handle_request = handle_request,
          .data = listener };

  address_split (settings->caller_listen, ip, &port);
  options.port = port;
  return httpd_create (&options, error);
}

/* Starts listening for callers.  Returns NULL and sets ERROR on failure.  */
struct listener *
listener_create (struct server *server, struct error *error)
{
  struct listener *listener = xcalloc (1, sizeof *listener);

  listener->server = server;
  if (load_tls (listener, error))
    listener->httpd = open_httpd (listener, error);
  if (listener->httpd)
    return listener;
  free (listener->cert_pem);
  free (listener->key_pem);
  free (listener);
  return NULL;
}

/* Stops accepting connections.  Open requests continue.  */
void
listener_begin_destroy (struct listener *listener)
{
  httpd_stop_listening (listener->httpd);
}

/* Whether no requests are open.  */
bool
listener_is_idle (const struct listener *listener)
{
  return listener->request_count == 0
         && httpd_open_requests (listener->httpd) == 0;
}

/* Closes the connections on which no request is open.  Returns whether none is
   left, so that no further request can come.  */
bool
listener_close_idle (struct listener *listener, int64_t now_ms)
{
  httpd_drop_idle (listener->httpd, 0, now_ms);
  return httpd_open_connections (listener->httpd) == 0;
}

/* Ends a request whose listener goes.  One that no handler has got has
   certainly not run.  */
static void
end_stopped (struct local_request *local)
{
  struct error error;

  if (local->request.handle_disconnect)
    local->request.handle_disconnect (&local->request);
  local->request.handle_disconnect = NULL;
  if (local->dispatched || local->request.ending.has_begun)
    {
      api_abort (&local->request);
      return;
    }
  error_set (&error, ERROR_STOPPING, RUN_NOT_RUN,
             "the host is stopping; retry on another host");
  error.retry_after_ms = RETRY_MS;
  api_respond_error (&local->request, &error);
}

/* Ends all open requests and frees the listener.  */
void
listener_destroy (struct listener *listener)
{
  if (!listener)
    return;
  while (listener->requests)
    end_stopped (listener->requests);
  httpd_destroy (listener->httpd);
  free (listener->cert_pem);
  free (listener->key_pem);
  free (listener);
}

static bool
key_is_withdrawn (const struct server *server, const char *key_id)
{
  const struct config_key *key;

  if (!key_id || !*key_id)
    return false;
  key = config_find_key_by_id (server->config, key_id);
  return !key || key->withdrawn;
}

static void
end_withdrawn (struct local_request *local)
{
  struct error error;

  if (local->request.handle_disconnect)
    local->request.handle_disconnect (&local->request);
  local->request.handle_disconnect = NULL;
  counter_add (COUNTER_STREAMS_ENDED_BY_KEY, 1);
  if (local->request.ending.has_begun)
    {
      api_abort (&local->request);
      return;
    }
  error_set (&error, ERROR_UNAUTHORIZED,
             local->dispatched ? RUN_MAY_HAVE_RUN : RUN_NOT_RUN,
             "the key has been withdrawn; ask the operator for another");
  api_respond_error (&local->request, &error);
}

/* Ends every open request and stream whose API key has been withdrawn or
   deleted.  */
void
listener_enforce_key_withdrawal (struct listener *listener)
{
  struct local_request *local = listener->requests;

  while (local)
    {
      struct local_request *next = local->next;

      if (key_is_withdrawn (listener->server, local->request.key_id))
        end_withdrawn (local);
      local = next;
    }
}

/* Returns the listener's state as a new reference.  */
json_t *
listener_to_json (const struct listener *listener)
{
  return json_pack ("{s:I, s:I}", "requests",
                    (json_int_t)listener->request_count, "open",
                    (json_int_t)httpd_open_requests (listener->httpd));
}
