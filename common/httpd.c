#include "common/httpd.h"
#include "common/counters.h"
#include "common/deferred.h"
#include "common/id.h"
#include "common/log.h"
#include "common/memory.h"
#include "common/request_head.h"
#include <arpa/inet.h>
#include <errno.h>
#include <linux/sockios.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  STREAM_BLOCK_BYTES = 2048,
  WHOLE_BLOCK_BYTES = 16 * 1024, /* of a response in one piece */
  MAX_STREAM_BACKLOG_BYTES = 256 * 1024,
  /* Of each stream, whatever the budget has: streams of callers that read are
     not to break beside the large answers of others. */
  RESERVED_STREAM_BYTES = 4 * 1024,
  LISTEN_BACKLOG = 1024,
  /* A client that has read nothing for so long is cut if much is buffered.
     Callers wait a few seconds in total, and one that reads slowly takes a
     block of the stream more often. */
  STALL_MS = 3000,
  FULL_RETRY_MS = 300,
  /* Runs of libmicrohttpd in which open requests end before the server is
     destroyed.  A response takes one for its headers and one for its body. */
  FINAL_RUNS = 8,
  /* Of a server that drops its oldest connections, one in so many is kept free
     for new ones. */
  SPARE_SHARE = 8,
};

/* A client's connection.  Owned by its server. */
struct httpd_connection
{
  struct httpd_connection *previous;
  struct httpd_connection *next;
  int fd;
  bool has_begun; /* its first request */
  bool is_idle;   /* no request is open */
  bool is_dropped;
  int64_t idle_since_ms;
  int64_t charged_bytes;
};

struct httpd
{
  struct MHD_Daemon *daemon;
  struct httpd_options options;
  ev_io epoll_watch; /* of libmicrohttpd's epoll descriptor */
  ev_timer timer;    /* for libmicrohttpd's timeouts */
  struct deferred deferred_run;
  bool closing; /* responses carry "Connection: close" */
  bool stopped_listening;
  bool destroying; /* requests are refused before they reach the handler */
  uint32_t open_requests;
  struct httpd_request *requests; /* open ones */
  struct httpd_connection *connections;
  uint32_t open_connections;
};

static void cut_response (struct httpd_request *request);
static void respond (struct httpd_request *request, unsigned status,
                     const char *content_type, const char *body, size_t len);

static void
stop_disconnect_watch (struct httpd_request *request)
{
  if (!request->watching_disconnect)
    return;
  request->watching_disconnect = false;
  ev_io_stop (request->httpd->options.loop, &request->disconnect_watch);
}

static void
resume_request (struct httpd_request *request)
{
  if (!request->suspended)
    return;
  stop_disconnect_watch (request);
  request->suspended = false;
  MHD_resume_connection (request->connection);
  deferred_schedule (&request->httpd->deferred_run);
}

/* libmicrohttpd does not poll the sockets of suspended connections, so a
   client that disconnects is detected here.  Bytes of a pipelined request stop
   the watch.  A client that has only ended its sending side still reads: its
   request, which may be running, is cancelled all the same, and the response
   must not say that it has not run.  */
static void
handle_client_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct httpd_request *request = watcher->data;
  void (*handle_disconnect) (struct httpd_request * request)
      = request->handle_disconnect;
  char byte;
  ssize_t got = recv (watcher->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  stop_disconnect_watch (request);
  if (got > 0)
    return;
  request->handle_disconnect = NULL;
  if (handle_disconnect)
    handle_disconnect (request);
  if (request->state == HTTPD_WAITING && !request->buffering)
    respond (request, MHD_HTTP_BAD_GATEWAY, NULL, "", 0);
  else
    cut_response (request);
}

/* Suspends the connection until the handler has a response or more data for
   its stream.  */
static void
suspend_request (struct httpd_request *request)
{
  const union MHD_ConnectionInfo *info;

  request->suspended = true;
  MHD_suspend_connection (request->connection);
  if (!request->httpd->options.detect_disconnect)
    return;
  info = MHD_get_connection_info (request->connection,
                                  MHD_CONNECTION_INFO_CONNECTION_FD);
  ev_io_init (&request->disconnect_watch, handle_client_readable,
              info->connect_fd, EV_READ);
  request->disconnect_watch.data = request;
  request->watching_disconnect = true;
  ev_io_start (request->httpd->options.loop, &request->disconnect_watch);
}

static void
clear_headers (struct httpd_request *request)
{
  for (uint32_t i = 0; i < request->header_count; i++)
    {
      free (request->header_names[i]);
      free (request->header_values[i]);
    }
  request->header_count = 0;
}

/* Charges the bytes that REQUEST holds to the budget, if there is one.  The
   received body stays charged when the handler takes it over, until the
   request ends.  Returns false if the budget does not have them.  */
static bool
charge (struct httpd_request *request, size_t bytes)
{
  struct buffer_budget *buffers = request->httpd->options.buffers;

  if (!buffers)
    return true;
  if (!buffer_budget_take (buffers, bytes))
    return false;
  request->charged_bytes += bytes;
  return true;
}

/* Charges a response in one piece, if it is larger than what the kernel takes
   at once.  It is ready and so is sent whatever the budget has.  */
static void
charge_whole (struct httpd_request *request)
{
  const struct httpd_options *options = &request->httpd->options;

  if (!options->buffers
      || request->response_body.len <= options->send_buffer_bytes)
    return;
  request->whole_bytes = request->response_body.len;
  request->charged_bytes += request->whole_bytes;
  buffer_budget_add (options->buffers, request->whole_bytes);
  request->read_ms = clock_now_ms ();
}

/* Returns up to BYTES of what was charged for REQUEST.  */
static void
discharge (struct httpd_request *request, size_t bytes)
{
  if (bytes > request->charged_bytes)
    bytes = request->charged_bytes;
  if (bytes == 0)
    return;
  buffer_budget_return (request->httpd->options.buffers, bytes);
  request->charged_bytes -= bytes;
}

static void
request_destroy (struct httpd_request *request)
{
  stop_disconnect_watch (request);
  discharge (request, request->charged_bytes);
  buf_release (&request->body);
  buf_release (&request->response_body);
  free (request->method);
  free (request->target);
  free (request->path);
  free (request->content_type);
  clear_headers (request);
  free (request);
}

/* Charges BYTES more to a connection of a caller, negative ones return them.
 */
static void
charge_connection (const struct httpd *httpd,
                   struct httpd_connection *connection, int64_t bytes)
{
  if (!httpd->options.buffers)
    return;
  connection->charged_bytes += bytes;
  memory_add (MEMORY_CALLERS, bytes);
}

/* Records that a request begins.  libmicrohttpd touches the memory of a
   connection step by step, and all of it before a second request.  */
static void
begin_on_connection (const struct httpd *httpd,
                     struct httpd_connection *connection)
{
  connection->is_idle = false;
  if (!connection->has_begun)
    charge_connection (httpd, connection,
                       (int64_t)httpd->options.connection_memory_bytes);
  connection->has_begun = true;
}

static struct httpd_connection *
find_connection (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

  return info->socket_context;
}

/* Called with the undecoded target of each request.  libmicrohttpd passes the
   returned pointer to the later callbacks of the request.  */
static void *
handle_target (void *data, const char *target,
               struct MHD_Connection *connection)
{
  struct httpd *httpd = data;
  struct httpd_request *request = xcalloc (1, sizeof *request);

  request->httpd = httpd;
  request->connection = connection;
  request->on = find_connection (connection);
  request->head_length = -1;
  begin_on_connection (httpd, request->on);
  request->target = xstrdup (target);
  request->next = httpd->requests;
  if (request->next)
    request->next->previous = request;
  httpd->requests = request;
  httpd->open_requests++;
  return request;
}

static ssize_t
read_stream (void *data, uint64_t position, char *out, size_t max)
{
  struct httpd_request *request = data;
  size_t len
      = request->response_body.len < max ? request->response_body.len : max;

  if (len > 0)
    {
      memcpy (out, request->response_body.data, len);
      buf_consume (&request->response_body, len);
      discharge (request, len);
      request->read_ms = clock_now_ms ();
      if (request->response_body.len == 0)
        buf_release (&request->response_body);
      return (ssize_t)len;
    }
  if (request->stream_aborted)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (request->stream_ended)
    return MHD_CONTENT_READER_END_OF_STREAM;
  if (request->httpd->destroying)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  suspend_request (request);
  return 0;
}

/* Passes on a part of a response that is charged as a whole, until all of it
   is passed on.  */
static ssize_t
read_whole (void *data, uint64_t position, char *out, size_t max)
{
  struct httpd_request *request = data;
  size_t left;
  size_t len;

  if (request->stream_aborted)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  left = request->response_body.len - (size_t)position;
  len = left < max ? left : max;
  memcpy (out, request->response_body.data + position, len);
  request->read_ms = clock_now_ms ();
  if (len == left)
    {
      discharge (request, request->whole_bytes);
      request->whole_bytes = 0;
      buf_release (&request->response_body);
    }
  return (ssize_t)len;
}

static enum MHD_Result
queue_response (struct httpd_request *request)
{
  struct MHD_Response *response;
  enum MHD_Result result;

  if (!request->streaming)
    charge_whole (request);
  if (request->head_length >= 0)
    response = MHD_create_response_from_callback (
        (uint64_t)request->head_length, STREAM_BLOCK_BYTES, read_stream,
        request, NULL);
  else if (request->streaming)
    response = MHD_create_response_from_callback (
        MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read_stream, request, NULL);
  else if (request->whole_bytes > 0)
    response = MHD_create_response_from_callback (
        request->whole_bytes, WHOLE_BLOCK_BYTES, read_whole, request, NULL);
  else
    response = MHD_create_response_from_buffer (request->response_body.len,
                                                request->response_body.data,
                                                MHD_RESPMEM_MUST_COPY);
  if (!response)
    return MHD_NO;
  if (!request->streaming && request->whole_bytes == 0)
    buf_release (&request->response_body);
  if (request->content_type)
    MHD_add_response_header (response, "Content-Type", request->content_type);
  for (uint32_t i = 0; i < request->header_count; i++)
    MHD_add_response_header (response, request->header_names[i],
                             request->header_values[i]);
  if (request->httpd->closing || request->httpd->stopped_listening)
    MHD_add_response_header (response, "Connection", "close");
  result = MHD_queue_response (request->connection, request->status, response);
  MHD_destroy_response (response);
  request->state = HTTPD_QUEUED;
  return result;
}

/* Appends to the body, or drops it if it exceeds the limit or the budget.  */
static void
append_body (struct httpd_request *request, const char *data, size_t len)
{
  const struct httpd_options *options = &request->httpd->options;
  bool fits = request->body.len + len <= options->max_body_bytes;

  if (fits && charge (request, len * (options->is_body_sent_on ? 2 : 1)))
    {
      buf_append (&request->body, data, len);
      return;
    }
  request->body_too_large = !fits;
  request->body_refused = fits;
  discharge (request, request->charged_bytes);
  buf_release (&request->body);
}

static void
respond_full (struct httpd_request *request)
{
  struct error error;

  counter_add (COUNTER_BODIES_REFUSED, 1);
  error_set (&error, ERROR_OVERLOADED, RUN_NOT_RUN,
             "this host buffers too much; retry on another host");
  error.retry_after_ms = FULL_RETRY_MS;
  httpd_respond_error (request, &error);
}

static void
respond_too_large (struct httpd_request *request)
{
  struct error error;

  error_set (&error, ERROR_TOO_LARGE, RUN_NOT_RUN,
             "the request body exceeds %zu bytes; send a smaller one",
             request->httpd->options.max_body_bytes);
  httpd_respond_error (request, &error);
}

static void
refuse_while_destroying (struct httpd_request *request)
{
  struct error error;

  error_set (&error, ERROR_STOPPING, RUN_NOT_RUN,
             "the host is stopping; retry on another host");
  httpd_respond_error (request, &error);
}

/* Refuses a request whose head can be read in more than one way, and closes
   its connection, so that nothing that follows the head runs.  */
static void
refuse_head (struct httpd_request *request, const char *fault)
{
  struct error error;

  counter_add (COUNTER_HEADS_REFUSED, 1);
  log_write (LOG_INFO, "httpd", NULL, "refused the head of a request: %s",
             fault);
  error_set (&error, ERROR_BAD_REQUEST, RUN_NOT_RUN,
             "the head of the request is not valid: %s", fault);
  httpd_add_header (request, "Connection", "close");
  httpd_respond_error (request, &error);
}

/* Handles the head of REQUEST, which has arrived as a whole.  */
static void
handle_head (struct httpd_request *request, const struct request_head *head)
{
  struct httpd *httpd = request->httpd;
  const char *fault = request_head_find_fault (head);

  request->method = xstrdup (head->method);
  request->lacks_chunks = strcmp (head->version, MHD_HTTP_VERSION_1_0) == 0;
  request->path = xstrdup (head->url);
  if (fault)
    refuse_head (request, fault);
  else if (httpd->destroying)
    refuse_while_destroying (request);
  else if (httpd->options.handle_headers)
    httpd->options.handle_headers (httpd->options.data, request);
}

/* libmicrohttpd calls this once after the headers, then for each part of the
   body, and then without data until a response is queued.  */
static enum MHD_Result
handle_access (void *data, struct MHD_Connection *connection, const char *url,
               const char *method, const char *version, const char *upload,
               size_t *upload_len, void **request_slot)
{
  struct httpd *httpd = data;
  struct httpd_request *request = *request_slot;

  if (!request->method)
    {
      handle_head (request,
                   &(struct request_head){ .connection = connection,
                                           .method = method,
                                           .url = url,
                                           .version = version,
                                           .target = request->target,
                                           .single_headers
                                           = httpd->options.single_headers });
      if (request->state == HTTPD_RESPONDED)
        return queue_response (request);
      return MHD_YES;
    }
  if (*upload_len > 0)
    {
      if (!request->body_too_large && !request->body_refused
          && !request->discards_body)
        append_body (request, upload, *upload_len);
      *upload_len = 0;
      return MHD_YES;
    }
  if (request->state == HTTPD_READING)
    {
      request->state = HTTPD_WAITING;
      if (httpd->destroying)
        refuse_while_destroying (request);
      else if (request->body_too_large)
        respond_too_large (request);
      else if (request->body_refused)
        respond_full (request);
      else
        httpd->options.handle_request (httpd->options.data, request);
    }
  if (request->state == HTTPD_RESPONDED)
    return queue_response (request);
  if (request->state == HTTPD_WAITING && !request->suspended)
    suspend_request (request);
  return MHD_YES;
}

static void
handle_completed (void *data, struct MHD_Connection *connection,
                  void **request_slot, enum MHD_RequestTerminationCode code)
{
  struct httpd *httpd = data;
  struct httpd_request *request = *request_slot;

  if (!request)
    return;
  *request_slot = NULL;
  if (request->previous)
    request->previous->next = request->next;
  else
    httpd->requests = request->next;
  if (request->next)
    request->next->previous = request->previous;
  httpd->open_requests--;
  request->on->is_idle = true;
  request->on->idle_since_ms = clock_now_ms ();
  if (request->handle_disconnect)
    request->handle_disconnect (request);
  request_destroy (request);
}

static void
restart_timer (struct httpd *httpd)
{
  MHD_UNSIGNED_LONG_LONG timeout_ms;

  ev_timer_stop (httpd->options.loop, &httpd->timer);
  if (MHD_get_timeout (httpd->daemon, &timeout_ms) != MHD_YES)
    return;
  ev_timer_set (&httpd->timer, (double)timeout_ms / 1000.0, 0);
  ev_timer_start (httpd->options.loop, &httpd->timer);
}

/* Runs the daemon once per loop iteration, for everything that became ready in
   it, so that an iteration that writes many tokens needs a single run.  */
static void
run_daemon (void *data)
{
  struct httpd *httpd = data;

  MHD_run (httpd->daemon);
  restart_timer (httpd);
}

static void
handle_epoll_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  deferred_schedule (&((struct httpd *)watcher->data)->deferred_run);
}

static void
handle_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  deferred_schedule (&((struct httpd *)watcher->data)->deferred_run);
}

/* Bounds what the kernel holds for a client that does not read.  It counts
   against the memory limit of the process, as its own buffers do.  */
static void
bound_send_buffer (const struct httpd *httpd, int fd)
{
  int bytes = (int)httpd->options.send_buffer_bytes;

  if (bytes > 0
      && setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes) != 0)
    log_write (LOG_WARN, "httpd", NULL,
               "the send buffer of a connection is not bounded: %s",
               strerror (errno));
}

/* Ends a connection.  libmicrohttpd notices the end and closes it.  */
static void
drop_connection (struct httpd_connection *connection)
{
  connection->is_dropped = true;
  shutdown (connection->fd, SHUT_RDWR);
}

/* Drops the connection that has been without a complete request for longest,
   whatever part of one has arrived.  */
static void
drop_oldest (struct httpd *httpd)
{
  struct httpd_connection *oldest = NULL;

  for (struct httpd_connection *connection = httpd->connections; connection;
       connection = connection->next)
    if (!connection->is_dropped
        && (!oldest || connection->idle_since_ms <= oldest->idle_since_ms))
      oldest = connection;
  if (!oldest)
    return;
  drop_connection (oldest);
  counter_add (COUNTER_OLD_CONNECTIONS_DROPPED, 1);
}

static struct httpd_connection *
open_connection (struct httpd *httpd, int fd)
{
  struct httpd_connection *connection = xcalloc (1, sizeof *connection);

  connection->fd = fd;
  connection->is_idle = true;
  connection->idle_since_ms = clock_now_ms ();
  connection->next = httpd->connections;
  if (connection->next)
    connection->next->previous = connection;
  httpd->connections = connection;
  httpd->open_connections++;
  charge_connection (httpd, connection, HTTPD_CONNECTION_BYTES);
  bound_send_buffer (httpd, fd);
  if (httpd->options.drops_oldest
      && httpd->open_connections * SPARE_SHARE
             > httpd->options.max_connections * (SPARE_SHARE - 1))
    drop_oldest (httpd);
  return connection;
}

static void
close_connection (struct httpd *httpd, struct httpd_connection *connection)
{
  charge_connection (httpd, connection, -connection->charged_bytes);
  if (connection->previous)
    connection->previous->next = connection->next;
  else
    httpd->connections = connection->next;
  if (connection->next)
    connection->next->previous = connection->previous;
  httpd->open_connections--;
  free (connection);
}

static void
handle_connection (void *data, struct MHD_Connection *connection, void **slot,
                   enum MHD_ConnectionNotificationCode code)
{
  struct httpd *httpd = data;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      const union MHD_ConnectionInfo *info = MHD_get_connection_info (
          connection, MHD_CONNECTION_INFO_CONNECTION_FD);

      *slot = open_connection (httpd, info->connect_fd);
    }
  else
    close_connection (httpd, *slot);
}

static struct MHD_Daemon *
start_daemon (struct httpd *httpd, const struct sockaddr_in *address)
{
  const struct httpd_options *options = &httpd->options;
  unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
  struct MHD_OptionItem tls[] = {
    { MHD_OPTION_HTTPS_MEM_CERT, 0, (void *)(uintptr_t)options->cert_pem },
    { MHD_OPTION_HTTPS_MEM_KEY, 0, (void *)(uintptr_t)options->key_pem },
    { options->ca_pem ? MHD_OPTION_HTTPS_MEM_TRUST : MHD_OPTION_END, 0,
      (void *)(uintptr_t)options->ca_pem },
    { MHD_OPTION_END, 0, NULL },
  };
  struct MHD_OptionItem none[] = { { MHD_OPTION_END, 0, NULL } };

  if (options->cert_pem)
    flags |= MHD_USE_TLS;
  return MHD_start_daemon (
      flags, options->port, NULL, NULL, handle_access, httpd,
      MHD_OPTION_SOCK_ADDR, (const struct sockaddr *)address,
      MHD_OPTION_URI_LOG_CALLBACK, handle_target, httpd,
      MHD_OPTION_NOTIFY_COMPLETED, handle_completed, httpd,
      MHD_OPTION_NOTIFY_CONNECTION, handle_connection, httpd,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, options->connection_memory_bytes,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)options->idle_timeout_s,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned)options->max_connections,
      MHD_OPTION_LISTEN_BACKLOG_SIZE, (unsigned)LISTEN_BACKLOG,
      /* The check of request_head.c is the stricter one. */
      MHD_OPTION_STRICT_FOR_CLIENT, 0, MHD_OPTION_PER_IP_CONNECTION_LIMIT, 0U,
      MHD_OPTION_ARRAY, options->cert_pem ? tls : none, MHD_OPTION_END);
}

/* Starts a server.  The strings in OPTIONS must outlive it.  Returns NULL and
   sets ERROR if the server cannot listen on the address.  */
struct httpd *
httpd_create (const struct httpd_options *options, struct error *error)
{
  struct httpd *httpd = xcalloc (1, sizeof *httpd);
  struct sockaddr_in address = { .sin_family = AF_INET };
  const union MHD_DaemonInfo *info;

  httpd->options = *options;
  address.sin_port = htons (options->port);
  if (inet_pton (AF_INET, options->address, &address.sin_addr) != 1)
    {
      error_set (error, ERROR_SETTINGS, RUN_NOT_RUN,
                 "\"%s\" is not an IPv4 address; use one such as 127.0.0.1",
                 options->address);
      free (httpd);
      return NULL;
    }
  httpd->daemon = start_daemon (httpd, &address);
  if (!httpd->daemon)
    {
      error_set (error, ERROR_SETTINGS, RUN_NOT_RUN,
                 "cannot listen on %s:%u; free the port or choose another, "
                 "and check the certificate and key if TLS is enabled",
                 options->address, options->port);
      free (httpd);
      return NULL;
    }
  info = MHD_get_daemon_info (httpd->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  ev_io_init (&httpd->epoll_watch, handle_epoll_readable, info->epoll_fd,
              EV_READ);
  httpd->epoll_watch.data = httpd;
  ev_io_start (options->loop, &httpd->epoll_watch);
  ev_timer_init (&httpd->timer, handle_timer, 0, 0);
  httpd->timer.data = httpd;
  deferred_init (&httpd->deferred_run, options->loop, run_daemon, httpd);
  return httpd;
}

/* Adds "Connection: close" to all further responses.  New connections are
   still accepted.  */
void
httpd_announce_close (struct httpd *httpd)
{
  httpd->closing = true;
}

/* Stops accepting connections.  Open ones close after their response.  */
void
httpd_stop_listening (struct httpd *httpd)
{
  MHD_socket listener;

  if (httpd->stopped_listening)
    return;
  httpd->stopped_listening = true;
  listener = MHD_quiesce_daemon (httpd->daemon);
  if (listener != MHD_INVALID_SOCKET)
    close (listener);
}

/* Returns the number of open requests.  */
uint32_t
httpd_open_requests (const struct httpd *httpd)
{
  return httpd->open_requests;
}

/* Returns the number of open connections.  */
uint32_t
httpd_open_connections (const struct httpd *httpd)
{
  return httpd->open_connections;
}

static bool
has_unread_bytes (int fd)
{
  int bytes = 0;

  return ioctl (fd, FIONREAD, &bytes) != 0 || bytes > 0;
}

/* Closes the connections that have been without a request for IDLE_MS.
   Returns how many.  */
uint32_t
httpd_drop_idle (struct httpd *httpd, int64_t idle_ms, int64_t now_ms)
{
  uint32_t dropped = 0;

  for (struct httpd_connection *connection = httpd->connections; connection;
       connection = connection->next)
    {
      if (!connection->is_idle || connection->is_dropped
          || now_ms - connection->idle_since_ms < idle_ms
          || has_unread_bytes (connection->fd))
        continue;
      drop_connection (connection);
      dropped++;
    }
  counter_add (COUNTER_IDLE_CONNECTIONS_DROPPED, dropped);
  return dropped;
}

/* Drops the body of a request whose headers are being handled.  The request is
   passed to the handler without one, once it has been read as a whole: a
   response before would reach clients as a reset.  */
void
httpd_discard_body (struct httpd_request *request)
{
  request->discards_body = true;
}

/* Returns the port that the server listens on.  */
uint16_t
httpd_port (const struct httpd *httpd)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (httpd->daemon, MHD_DAEMON_INFO_BIND_PORT);

  return info ? info->port : httpd->options.port;
}

/* Responds to the requests that the handler has left open, and aborts open
   streams.  libmicrohttpd must not be stopped while a request is suspended.
   */
static void
end_open_requests (struct httpd *httpd)
{
  struct error error;

  error_set (&error, ERROR_OUTCOME_UNKNOWN, RUN_MAY_HAVE_RUN,
             "the host stopped while the request was open; check its outcome "
             "before repeating it");
  for (struct httpd_request *request = httpd->requests; request;
       request = request->next)
    if (request->buffering || (request->streaming && !request->stream_ended))
      cut_response (request);
    else if (request->state == HTTPD_WAITING)
      httpd_respond_error (request, &error);
}

/* Closes all connections and frees the server.  Requests that are still open
   end first; their handle_disconnect is called.  */
void
httpd_destroy (struct httpd *httpd)
{
  if (!httpd)
    return;
  httpd->destroying = true;
  end_open_requests (httpd);
  for (int i = 0; i < FINAL_RUNS; i++)
    MHD_run (httpd->daemon);
  ev_io_stop (httpd->options.loop, &httpd->epoll_watch);
  ev_timer_stop (httpd->options.loop, &httpd->timer);
  deferred_cancel (&httpd->deferred_run);
  MHD_stop_daemon (httpd->daemon);
  free (httpd);
}

/* Returns the value of a request header, or NULL.  The request owns it.  */
const char *
httpd_header (const struct httpd_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND,
                                      name);
}

struct header_iteration
{
  httpd_header_handler *handle;
  void *data;
};

static enum MHD_Result
handle_header (void *data, enum MHD_ValueKind kind, const char *name,
               const char *value)
{
  struct header_iteration *iteration = data;

  iteration->handle (iteration->data, name, value ? value : "");
  return MHD_YES;
}

/* Calls HANDLE for each request header.  The request owns the strings.  */
void
httpd_foreach_header (const struct httpd_request *request,
                      httpd_header_handler *handle, void *data)
{
  struct header_iteration iteration = { .handle = handle, .data = data };

  MHD_get_connection_values (request->connection, MHD_HEADER_KIND,
                             handle_header, &iteration);
}

/* Returns the value of a query parameter, or NULL.  The request owns it.  */
const char *
httpd_query (const struct httpd_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection,
                                      MHD_GET_ARGUMENT_KIND, name);
}

/* Sets the length of the body that a response to HEAD does not have; none if
   it is negative.  Other responses state that of their body.  */
void
httpd_set_head_length (struct httpd_request *request, int64_t length)
{
  if (strcmp (request->method, MHD_HTTP_METHOD_HEAD) == 0)
    request->head_length = length;
}

/* Adds a header to the response.  Headers beyond HTTPD_MAX_HEADERS are
   dropped.  */
void
httpd_add_header (struct httpd_request *request, const char *name,
                  const char *value)
{
  if (request->header_count == HTTPD_MAX_HEADERS)
    return;
  request->header_names[request->header_count] = xstrdup (name);
  request->header_values[request->header_count] = xstrdup (value);
  request->header_count++;
}

/* Adds a Retry-After header, in whole seconds rounded up, unless
   RETRY_AFTER_MS is 0.  */
void
httpd_add_retry_after (struct httpd_request *request, uint32_t retry_after_ms)
{
  char *seconds;

  if (retry_after_ms == 0)
    return;
  seconds = xasprintf ("%u", (retry_after_ms + 999) / 1000);
  httpd_add_header (request, "Retry-After", seconds);
  free (seconds);
}

static void
set_status (struct httpd_request *request, unsigned status,
            const char *content_type)
{
  request->status = status;
  free (request->content_type);
  request->content_type = content_type ? xstrdup (content_type) : NULL;
  request->state = HTTPD_RESPONDED;
}

/* Whether a response in one piece may be sent.  If a stream has begun, it is
   aborted instead.  */
static bool
claim_whole (struct httpd_request *request)
{
  enum ending_way way
      = ending_end (&request->ending, ENDING_WHOLE, request->path, NULL);

  if (way == ENDING_ABORT)
    cut_response (request);
  return way == ENDING_WHOLE;
}

/* Sends a complete response, on the server's own account or with a claim.  */
static void
respond (struct httpd_request *request, unsigned status,
         const char *content_type, const char *body, size_t len)
{
  request->ending.has_ended = true;
  set_status (request, status, content_type);
  request->response_body.len = 0;
  buf_append (&request->response_body, body, len);
  resume_request (request);
}

static void
respond_error (struct httpd_request *request, const struct error *error)
{
  char *body = error_to_json (error);

  httpd_add_retry_after (request, error->retry_after_ms);
  respond (request, error_http_status (error->kind), "application/json", body,
           strlen (body));
  free (body);
}

/* Sends a complete response.  See ending_end for one that comes too late.  */
void
httpd_respond (struct httpd_request *request, unsigned status,
               const char *content_type, const char *body, size_t len)
{
  if (claim_whole (request))
    respond (request, status, content_type, body, len);
}

/* Sends BODY as a JSON response and releases the reference to it.  */
void
httpd_respond_json (struct httpd_request *request, unsigned status,
                    json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);

  json_decref (body);
  httpd_respond (request, status, "application/json", text, strlen (text));
  free (text);
}

/* Sends a response whose body the caller has appended to RESPONSE_BODY of the
   request.  */
void
httpd_respond_buffered (struct httpd_request *request, unsigned status,
                        const char *content_type)
{
  if (!claim_whole (request))
    return;
  set_status (request, status, content_type);
  resume_request (request);
}

/* Sends ERROR as a JSON response, with a Retry-After header if the error has a
   delay.  */
void
httpd_respond_error (struct httpd_request *request, const struct error *error)
{
  if (claim_whole (request))
    respond_error (request, error);
}

/* Starts a response whose body is written with httpd_stream_write.  A client
   that does not know chunks gets it in one piece with its length, since an
   orderly close would mark an aborted body as complete.  */
void
httpd_stream_begin (struct httpd_request *request, unsigned status,
                    const char *content_type)
{
  if (!ending_begin (&request->ending, request->path, NULL))
    {
      if (!request->ending.has_ended)
        httpd_stream_abort (request);
      return;
    }
  if (request->lacks_chunks && request->state == HTTPD_WAITING)
    {
      request->buffering = true;
      request->status = status;
      request->content_type = content_type ? xstrdup (content_type) : NULL;
      return;
    }
  set_status (request, status, content_type);
  request->streaming = true;
  resume_request (request);
}

/* Returns what is held of a response that the client has not read.  */
static size_t
unsent_bytes (const struct httpd_request *request)
{
  return request->streaming ? request->response_body.len
                            : request->whole_bytes;
}

/* Whether the client has taken nothing of a backlog for a long time.  */
static bool
is_stalled (const struct httpd_request *request, int64_t now_ms)
{
  return !request->stream_aborted && now_ms - request->read_ms >= STALL_MS;
}

/* Notices that the client has read from the kernel's buffer, of which a third
   must be free before the server may write again.  */
static void
record_reading (struct httpd_request *request, int64_t now_ms)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  int bytes;

  if (ioctl (info->connect_fd, SIOCOUTQ, &bytes) != 0)
    return;
  if (bytes < request->unread_bytes)
    request->read_ms = now_ms;
  request->unread_bytes = bytes;
}

/* Closes the connection of a client that does not read, and has its handler
   end its work.  */
static void
cut_stalled (struct httpd_request *request, int64_t now_ms)
{
  void (*handle_disconnect) (struct httpd_request * request)
      = request->handle_disconnect;
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

  counter_add (COUNTER_READERS_CUT, 1);
  log_write (LOG_WARN, "httpd", NULL,
             "cut a client of %s that has read nothing for %lld ms: %zu bytes "
             "wait for it, %zu of %zu are buffered in sum",
             request->path, (long long)(now_ms - request->read_ms),
             unsent_bytes (request),
             request->httpd->options.buffers->used_bytes,
             request->httpd->options.buffers->limit_bytes);
  request->handle_disconnect = NULL;
  if (handle_disconnect)
    handle_disconnect (request);
  cut_response (request);
  /* libmicrohttpd would wait until the socket can be written. */
  shutdown (info->connect_fd, SHUT_RDWR);
}

/* Cuts the clients that do not read, if much is buffered or memory is short.
   Must be called about every second.  */
void
httpd_cut_stalled (struct httpd *httpd, int64_t now_ms)
{
  const struct buffer_budget *buffers = httpd->options.buffers;
  bool is_contended;
  struct httpd_request *next;

  if (!buffers)
    return;
  is_contended = buffer_budget_is_contended (buffers)
                 || memory_state () != MEMORY_ENOUGH;
  for (struct httpd_request *request = httpd->requests; request;
       request = next)
    {
      next = request->next;
      if (unsent_bytes (request) == 0)
        continue;
      record_reading (request, now_ms);
      if (is_contended && is_stalled (request, now_ms))
        cut_stalled (request, now_ms);
    }
}

/* Charges LEN bytes of a stream.  Returns false if there is no room.  */
static bool
charge_stream (struct httpd_request *request, size_t len)
{
  size_t backlog = request->response_body.len + len;

  if (backlog > MAX_STREAM_BACKLOG_BYTES)
    return false;
  if (charge (request, len))
    return true;
  if (backlog > RESERVED_STREAM_BYTES)
    return false;
  buffer_budget_add (request->httpd->options.buffers, len);
  request->charged_bytes += len;
  return true;
}

/* Appends to the body of a streamed response.  Returns false if the client
   reads so slowly that the backlog is full, if the budget for all clients is
   used up, or if the response has ended; nothing is then appended.  */
bool
httpd_stream_write (struct httpd_request *request, const void *data,
                    size_t len)
{
  if (request->ending.has_ended || !charge_stream (request, len))
    return false;
  if (request->response_body.len == 0)
    request->read_ms = clock_now_ms ();
  buf_append (&request->response_body, data, len);
  if (request->state == HTTPD_QUEUED)
    resume_request (request);
  return true;
}

/* Ends the body after all written data has been sent.  */
void
httpd_stream_end (struct httpd_request *request)
{
  switch (ending_end (&request->ending, ENDING_COMPLETE, request->path, NULL))
    {
    case ENDING_COMPLETE:
      break;
    case ENDING_ABORT:
      cut_response (request);
      return;
    default:
      return;
    }
  if (request->buffering)
    {
      request->buffering = false;
      discharge (request, request->response_body.len); /* see charge_whole */
      request->state = HTTPD_RESPONDED;
      resume_request (request);
      return;
    }
  request->stream_ended = true;
  if (request->state == HTTPD_QUEUED)
    resume_request (request);
}

static void
respond_broken_off (struct httpd_request *request)
{
  struct error error;

  error_set (&error, ERROR_ENDPOINT, RUN_MAY_HAVE_RUN,
             "the response was broken off; send the request again if it may "
             "run twice");
  request->buffering = false;
  clear_headers (request);
  respond_error (request, &error);
}

/* Closes the connection without a proper end of the body, on the server's own
   account or with a claim.  A client without the head of a response is told
   that it was broken off.  */
static void
cut_response (struct httpd_request *request)
{
  request->ending.has_ended = true;
  if (request->state == HTTPD_READING || request->state == HTTPD_WAITING)
    {
      respond_broken_off (request);
      return;
    }
  request->stream_aborted = true;
  discharge (request, request->response_body.len);
  buf_release (&request->response_body);
  if (request->state == HTTPD_QUEUED)
    resume_request (request);
}

/* Ends the response without a proper end of the body, so that the client can
   tell that it is incomplete.  */
void
httpd_stream_abort (struct httpd_request *request)
{
  if (ending_end (&request->ending, ENDING_ABORT, request->path, NULL)
      == ENDING_ABORT)
    cut_response (request);
}
