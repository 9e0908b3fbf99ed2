#include "common/address.h"
#include "common/counters.h"
#include "common/httpd.h"
#include "common/id.h"
#include "galenashored/control_state.h"
#include <netinet/in.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CONNECTION_MEMORY_BYTES = 8 * 1024,
  MAX_BODY_BYTES = 64 * 1024,
  MAX_CONNECTIONS = 64,
  IDLE_TIMEOUT_S = 30,
  HTTP_OK = 200,
  HTTP_ACCEPTED = 202,
};

static const char BEARER[] = "Bearer ";

/* An HTTP request of an operator that awaits a reply from the traffic thread.
   Owned by the admin. */
struct pending_request
{
  struct admin *admin;
  uint64_t sequence; /* of the message to the traffic thread */
  struct httpd_request *request;
  struct pending_request *next;
};

struct admin
{
  struct control *control;
  struct httpd *httpd;
  struct pending_request *pending_requests;
  char *cert_pem;
  char *key_pem;
};

struct admin_command
{
  const char *method;
  const char *path;
  void (*handle) (struct admin *admin, struct httpd_request *request);
};

static void
pending_request_destroy (struct pending_request *pending_request)
{
  struct pending_request **link = &pending_request->admin->pending_requests;

  while (*link && *link != pending_request)
    link = &(*link)->next;
  if (*link)
    *link = pending_request->next;
  free (pending_request);
}

static void
handle_disconnect (struct httpd_request *request)
{
  pending_request_destroy (request->user);
}

/* Sends MESSAGE to the traffic thread.  REQUEST stays pending until
   admin_handle_reply receives the reply.  Takes ownership of MESSAGE.  */
static void
send_to_traffic_thread (struct admin *admin, struct httpd_request *request,
                        struct traffic_message *message)
{
  struct pending_request *pending_request
      = xcalloc (1, sizeof *pending_request);

  pending_request->admin = admin;
  pending_request->request = request;
  pending_request->next = admin->pending_requests;
  admin->pending_requests = pending_request;
  request->user = pending_request;
  request->handle_disconnect = handle_disconnect;
  pending_request->sequence = control_send_request (admin->control, message);
}

static void
respond_error (struct httpd_request *request, enum error_kind kind,
               const char *message)
{
  struct error error;

  error_set (&error, kind, RUN_NOT_RUN, "%s", message);
  httpd_respond_error (request, &error);
}

static json_t *
status_to_json (const struct control *control)
{
  return json_pack ("{s:s, s:s, s:s, s:I, s:I, s:b, s:b, s:b, s:I}", "host",
                    control->settings->host, "data_centre",
                    control->settings->data_centre, "version", GALENA_VERSION,
                    "config_revision", (json_int_t)control->objects.revision,
                    "applied_revision", (json_int_t)control->applied_revision,
                    "serving", control->sync.loaded, "platform_answers",
                    control->sync.platform_reachable, "stopping",
                    control->stopping, "uptime_ms",
                    (json_int_t)(clock_now_ms () - control->started_ms));
}

static void
handle_status (struct admin *admin, struct httpd_request *request)
{
  httpd_respond_json (request, HTTP_OK, status_to_json (admin->control));
}

static void
handle_counters (struct admin *admin, struct httpd_request *request)
{
  httpd_respond_json (request, HTTP_OK, counters_to_json ());
}

static void
handle_dump (struct admin *admin, struct httpd_request *request)
{
  struct traffic_message *message = xcalloc (1, sizeof *message);

  message->kind = TRAFFIC_DUMP;
  message->with_programs = httpd_query (request, "programs") != NULL;
  send_to_traffic_thread (admin, request, message);
}

static void
handle_drain (struct admin *admin, struct httpd_request *request)
{
  control_begin_stop (admin->control);
  httpd_respond_json (request, HTTP_ACCEPTED, status_to_json (admin->control));
}

static void
handle_withdraw_key (struct admin *admin, struct httpd_request *request)
{
  const char *key_id = httpd_query (request, "key");

  if (!key_id)
    {
      respond_error (
          request, ERROR_BAD_REQUEST,
          "the parameter \"key\" is missing; set it to the id of the key");
      return;
    }
  sync_withdraw (admin->control, key_id);
  httpd_respond_json (request, HTTP_ACCEPTED,
                      json_pack ("{s:s}", "withdrawn", key_id));
}

static void
handle_cancel_program (struct admin *admin, struct httpd_request *request)
{
  const char *program = httpd_query (request, "program");
  struct traffic_message *message;

  if (!program)
    {
      respond_error (
          request, ERROR_BAD_REQUEST,
          "the parameter \"program\" is missing; set it to the id of the "
          "program");
      return;
    }
  message = xcalloc (1, sizeof *message);
  message->kind = TRAFFIC_CANCEL;
  message->name = xstrdup (program);
  send_to_traffic_thread (admin, request, message);
}

/* Blocks or unblocks peer traffic with a host, to simulate a network
   partition in tests.  Requires "test_faults" in the settings.  */
static void
handle_block_host (struct admin *admin, struct httpd_request *request)
{
  const char *host = httpd_query (request, "host");
  const char *off = httpd_query (request, "off");
  struct traffic_message *message;

  if (!admin->control->settings->test_faults || !host)
    {
      respond_error (request, ERROR_FORBIDDEN,
                     "set \"test_faults\" in the settings and give the "
                     "parameter \"host\"");
      return;
    }
  message = xcalloc (1, sizeof *message);
  message->kind = TRAFFIC_BLOCK;
  message->name = xstrdup (host);
  message->blocked = !off;
  traffic_post (admin->control->traffic, message);
  httpd_respond_json (request, HTTP_OK, json_object ());
}

/* Sorted by path. */
static const struct admin_command admin_commands[] = {
  { "POST", "/cancel", handle_cancel_program },
  { "GET", "/counters", handle_counters },
  { "POST", "/drain", handle_drain },
  { "GET", "/dump", handle_dump },
  { "GET", "/status", handle_status },
  { "POST", "/test/block", handle_block_host },
  { "POST", "/withdraw", handle_withdraw_key },
};

/* Returns whether REQUEST carries the operator key, or none is configured.  */
static bool
is_authorized (const struct admin *admin, struct httpd_request *request)
{
  const char *expected = admin->control->settings->operator_key;
  const char *header = httpd_header (request, "Authorization");

  if (!expected)
    return true;
  if (!header || strncmp (header, BEARER, strlen (BEARER)) != 0)
    return false;
  header += strlen (BEARER);
  return strlen (header) == strlen (expected)
         && sodium_memcmp (header, expected, strlen (expected)) == 0;
}

static void
handle_request (void *data, struct httpd_request *request)
{
  struct admin *admin = data;

  if (!is_authorized (admin, request))
    {
      respond_error (request, ERROR_UNAUTHORIZED,
                     "the operator key is missing or invalid; set "
                     "--operator-key-file");
      return;
    }
  for (size_t i = 0; i < sizeof admin_commands / sizeof *admin_commands; i++)
    if (strcmp (admin_commands[i].path, request->path) == 0
        && strcmp (admin_commands[i].method, request->method) == 0)
      {
        admin_commands[i].handle (admin, request);
        return;
      }
  respond_error (request, ERROR_NOT_FOUND,
                 "unknown command; see galenactl(1)");
}

static bool
load_tls (struct admin *admin, struct error *error)
{
  const struct settings *settings = admin->control->settings;

  if (!settings->operator_cert_file)
    return true;
  admin->cert_pem
      = settings_read_text (settings->operator_cert_file, false, error);
  if (!admin->cert_pem)
    return false;
  admin->key_pem
      = settings_read_text (settings->operator_private_key_file, true, error);
  return admin->key_pem != NULL;
}

/* Starts the operator listener.  Returns NULL and sets ERROR if the address
   or the certificate cannot be used.  */
struct admin *
admin_create (struct control *control, struct error *error)
{
  struct admin *admin = xcalloc (1, sizeof *admin);
  char ip[INET_ADDRSTRLEN];
  uint16_t port;
  struct httpd_options options
      = { .loop = control->loop,
          .address = ip,
          .connection_memory_bytes = CONNECTION_MEMORY_BYTES,
          .max_body_bytes = MAX_BODY_BYTES,
          .idle_timeout_s = IDLE_TIMEOUT_S,
          .max_connections = MAX_CONNECTIONS,
          .handle_request = handle_request,
          .data = admin };

  admin->control = control;
  address_split (control->settings->operator_listen, ip, &port);
  options.port = port;
  if (load_tls (admin, error))
    {
      options.cert_pem = admin->cert_pem;
      options.key_pem = admin->key_pem;
      admin->httpd = httpd_create (&options, error);
    }
  if (admin->httpd)
    return admin;
  admin_destroy (admin);
  return NULL;
}

/* Fails all pending requests, then stops and frees the listener.  ADMIN may be
   NULL.  */
void
admin_destroy (struct admin *admin)
{
  if (!admin)
    return;
  while (admin->pending_requests)
    {
      struct httpd_request *request = admin->pending_requests->request;

      request->user = NULL;
      request->handle_disconnect = NULL;
      pending_request_destroy (admin->pending_requests);
      respond_error (request, ERROR_STOPPING, "the host is shutting down");
    }
  httpd_destroy (admin->httpd);
  free (admin->cert_pem);
  free (admin->key_pem);
  free (admin);
}

static json_t *
dump_to_json (struct admin *admin, const struct control_message *message)
{
  json_t *state = json_loads (message->text, 0, NULL);

  json_object_set_new (state, "status", status_to_json (admin->control));
  json_object_set_new (state, "counters", counters_to_json ());
  return state;
}

/* Responds to the operator's request that the traffic thread's reply MESSAGE
   belongs to.  Ignores the reply if the operator has disconnected.  */
void
admin_handle_reply (struct admin *admin, const struct control_message *message)
{
  struct pending_request *pending_request = admin->pending_requests;
  struct httpd_request *request;

  while (pending_request && pending_request->sequence != message->sequence)
    pending_request = pending_request->next;
  if (!pending_request)
    return;
  request = pending_request->request;
  request->user = NULL;
  request->handle_disconnect = NULL;
  pending_request_destroy (pending_request);
  if (message->kind == CONTROL_DUMPED)
    httpd_respond_json (request, HTTP_OK, dump_to_json (admin, message));
  else if (message->found)
    httpd_respond_json (request, HTTP_OK, json_pack ("{s:b}", "ended", 1));
  else
    respond_error (
        request, ERROR_NOT_FOUND,
        "the program is not active on this host; send the request to "
        "its owner");
}
