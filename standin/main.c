#include "common/id.h"
#include "standin/standin.h"
#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  EXIT_USAGE = 2,
  CONNECTION_MEMORY_BYTES = 16 * 1024,
  MAX_BODY_BYTES = 16 * 1024 * 1024,
  MAX_CONNECTIONS = 20000,
  MAX_RECORDED_BYTES = 64 * 1024 * 1024,
};

static const struct standin_mode *const modes[]
    = { &standin_endpoint, &standin_engine, &standin_objects,
        &standin_platform, &standin_service };

struct delayed_response
{
  ev_timer timer;
  struct httpd_request *request;
  unsigned status;
  char *body;
};

static void
respond (struct httpd_request *request, unsigned status, const char *body)
{
  httpd_respond (request, status, "application/json", body, strlen (body));
}

static void
handle_delay_over (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct delayed_response *delayed = watcher->data;

  if (delayed->request)
    {
      delayed->request->user = NULL;
      delayed->request->handle_disconnect = NULL;
      respond (delayed->request, delayed->status, delayed->body);
    }
  free (delayed->body);
  free (delayed);
}

static void
handle_delayed_disconnect (struct httpd_request *request)
{
  struct delayed_response *delayed = request->user;

  delayed->request = NULL;
}

/* Responds with BODY and releases it.  The slow_ms fault delays the response.
 */
void
standin_respond_json (struct standin *standin, struct httpd_request *request,
                      unsigned status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  struct delayed_response *delayed;

  json_decref (body);
  if (standin->faults.slow_ms <= 0)
    {
      respond (request, status, text);
      free (text);
      return;
    }
  delayed = xcalloc (1, sizeof *delayed);
  delayed->request = request;
  delayed->status = status;
  delayed->body = text;
  request->user = delayed;
  request->handle_disconnect = handle_delayed_disconnect;
  ev_timer_init (&delayed->timer, handle_delay_over,
                 (double)standin->faults.slow_ms / 1000.0, 0);
  delayed->timer.data = delayed;
  ev_timer_start (standin->loop, &delayed->timer);
}

/* Closes the connection without a complete response.  */
void
standin_drop_response (struct httpd_request *request)
{
  httpd_stream_begin (request, 200, "application/json");
  httpd_stream_abort (request);
}

/* Decrements a fault counter.  Returns false if it is already zero.  */
bool
standin_use_fault (int64_t *remaining)
{
  if (*remaining <= 0)
    return false;
  --*remaining;
  return true;
}

static void
set_fault (json_t *body, const char *name, int64_t *value)
{
  json_t *given = json_object_get (body, name);

  if (json_is_integer (given))
    *value = json_integer_value (given);
}

static void
update_faults (struct standin *standin, struct httpd_request *request)
{
  struct faults *faults = &standin->faults;
  json_t *body = json_loadb (request->body.data ? request->body.data : "",
                             request->body.len, 0, NULL);
  int64_t outage_ms = -1;

  set_fault (body, "outage_ms", &outage_ms);
  if (outage_ms >= 0)
    faults->outage_until_ms = clock_now_ms () + outage_ms;
  set_fault (body, "slow_ms", &faults->slow_ms);
  set_fault (body, "hang_next", &faults->hang_next);
  set_fault (body, "lose_answers", &faults->lose_answers);
  set_fault (body, "garbage_next", &faults->garbage_next);
  set_fault (body, "half_next", &faults->half_next);
  set_fault (body, "crossed_next", &faults->crossed_next);
  set_fault (body, "load_lag_ms", &faults->load_lag_ms);
  set_fault (body, "drop_events", &faults->drop_events);
  set_fault (body, "limit_milli", &faults->limit_milli);
  set_fault (body, "record_bodies", &faults->record_bodies);
  json_decref (body);
  respond (request, 200, "{}");
}

static enum MHD_Result
handle_recorded_header (void *data, enum MHD_ValueKind kind, const char *name,
                        const char *value)
{
  struct buf *recorded = data;

  buf_printf (recorded, "%s: %s\n", name, value ? value : "");
  return MHD_YES;
}

static void
record_request (struct standin *standin, struct httpd_request *request)
{
  if (!standin->record || standin->recorded.len > MAX_RECORDED_BYTES)
    return;
  buf_printf (&standin->recorded, "%s %s\n", request->method, request->path);
  MHD_get_connection_values (request->connection, MHD_HEADER_KIND,
                             handle_recorded_header, &standin->recorded);
  buf_append (&standin->recorded, request->body.data, request->body.len);
  buf_append_str (&standin->recorded, "\n");
}

static void
handle_request (void *data, struct httpd_request *request)
{
  struct standin *standin = data;

  if (strcmp (request->path, "/faults") == 0)
    {
      update_faults (standin, request);
      return;
    }
  if (strcmp (request->path, "/recorded") == 0)
    {
      httpd_respond (request, 200, "text/plain",
                     standin->recorded.data ? standin->recorded.data : "",
                     standin->recorded.len);
      return;
    }
  record_request (standin, request);
  if (clock_now_ms () < standin->faults.outage_until_ms)
    {
      standin_drop_response (request);
      return;
    }
  if (standin_use_fault (&standin->faults.hang_next))
    return;
  standin->mode->handle_request (standin, request);
}

static void
handle_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  ev_break (loop, EVBREAK_ALL);
}

static const struct standin_mode *
find_mode (const char *name)
{
  for (size_t i = 0; name && i < sizeof modes / sizeof *modes; i++)
    if (strcmp (modes[i]->name, name) == 0)
      return modes[i];
  return NULL;
}

static int
run (struct standin *standin, int port)
{
  struct httpd_options options
      = { .address = "127.0.0.1",
          .port = (uint16_t)port,
          .connection_memory_bytes = CONNECTION_MEMORY_BYTES,
          .max_body_bytes = MAX_BODY_BYTES,
          .max_connections = MAX_CONNECTIONS,
          .detect_disconnect = true,
          .handle_request = handle_request,
          .data = standin };
  ev_signal term;
  ev_signal interrupt;
  struct error error;

  standin->loop = ev_default_loop (EVFLAG_AUTO);
  options.loop = standin->loop;
  standin->httpd = httpd_create (&options, &error);
  if (!standin->httpd)
    {
      fprintf (stderr, "standin: %s\n", error.message);
      return EXIT_FAILURE;
    }
  ev_signal_init (&term, handle_signal, SIGTERM);
  ev_signal_start (standin->loop, &term);
  ev_signal_init (&interrupt, handle_signal, SIGINT);
  ev_signal_start (standin->loop, &interrupt);
  standin->mode->create (standin);
  ev_run (standin->loop, 0);
  /* Open connections are closed when the process exits.  */
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  char *mode_name = NULL;
  gint port = 0;
  gint64 slots = 8;
  gint64 token_us = 2000;
  gint64 prefill_us = 20;
  gint64 cache_tokens = 200000;
  gint64 work_ms = 0;
  gboolean no_fencing = FALSE;
  gboolean record_all = FALSE;
  GOptionEntry entries[] = {
    { "mode", 0, 0, G_OPTION_ARG_STRING, &mode_name,
      "endpoint, engine, objects, platform or service", "MODE" },
    { "port", 0, 0, G_OPTION_ARG_INT, &port, "Port on 127.0.0.1", "PORT" },
    { "slots", 0, 0, G_OPTION_ARG_INT64, &slots, "Concurrent requests", "N" },
    { "token-us", 0, 0, G_OPTION_ARG_INT64, &token_us,
      "Microseconds between tokens", "US" },
    { "prefill-us", 0, 0, G_OPTION_ARG_INT64, &prefill_us,
      "Microseconds for each uncached prompt token", "US" },
    { "cache-tokens", 0, 0, G_OPTION_ARG_INT64, &cache_tokens,
      "Prefix cache size in tokens", "N" },
    { "work-ms", 0, 0, G_OPTION_ARG_INT64, &work_ms,
      "Execution time of a service in milliseconds", "MS" },
    { "no-fencing", 0, 0, G_OPTION_ARG_NONE, &no_fencing,
      "Accept orders with a stale fencing number", NULL },
    { "record", 0, 0, G_OPTION_ARG_NONE, &record_all,
      "Record requests for GET /recorded", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  GOptionContext *context = g_option_context_new (
      "- mock servers of the systems around galenashore");
  GError *problem = NULL;
  struct standin standin = { 0 };
  int status = EXIT_USAGE;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &problem))
    {
      fprintf (stderr, "standin: %s\n", problem->message);
      g_error_free (problem);
      goto out;
    }
  standin.mode = find_mode (mode_name);
  if (!standin.mode || sodium_init () < 0)
    {
      fputs ("standin: --mode must be endpoint, engine, objects, platform or "
             "service\n",
             stderr);
      goto out;
    }
  standin.settings
      = (struct standin_settings){ .slots = slots,
                                   .token_us = token_us,
                                   .prefill_us = prefill_us,
                                   .cache_tokens = cache_tokens,
                                   .work_ms = work_ms,
                                   .checks_fencing = !no_fencing };
  standin.record = record_all;
  signal (SIGPIPE, SIG_IGN);
  status = run (&standin, port);
out:
  g_option_context_free (context);
  g_free (mode_name);
  return status;
}
