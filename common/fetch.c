#include "common/fetch.h"
#include "common/connections.h"
#include "common/counters.h"
#include "common/deferred.h"
#include "common/log.h"
#include "common/memory.h"
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  RECEIVE_BUFFER_BYTES = 4096,
  MAX_IDLE_HANDLES = 256,
  MAX_CACHED_CONNECTIONS = 1024,
  /* Of a reused connection: servers close theirs after two minutes or less. */
  DEFAULT_MAX_IDLE_S = 118,
  MAX_DNS_AGE_S = 60,
  DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024,
  /* What all heads of a transfer may occupy, with trailers. */
  MAX_HEAD_BYTES = 160 * 1024,
  /* A line occupies so much beside its copies: libcurl's record of it, and
     those of the name and the value that are passed on. */
  HEAD_LINE_BYTES = 256,
  HEAD_LINE_COPIES = 2,
  /* Heads up to this are taken whatever the host holds: they are many, and the
     responses of endpoints that are sound have no longer ones. */
  SMALL_HEAD_BYTES = 8 * 1024,
  /* Part of the share of all bodies that is left to those on which the host
     depends, and to those that are not longer than LONG_BODY_BYTES, so that a
     few long ones cannot stop all others. */
  ESSENTIAL_PERCENT = 25,
  SHORT_PERCENT = 25,
  LONG_BODY_BYTES = 256 * 1024,
  /* If the process has no limit: of all bodies while one of them is long. */
  MAX_LONG_BODIES_BYTES = 24 * 1024 * 1024,
  STATUS_DIGITS = 3,
  FIRST_INTERIM_STATUS = 100,
  FIRST_FINAL_STATUS = 200,
  LAST_FINAL_STATUS = 599,
  SWITCHING_PROTOCOLS = 101, /* which no request asks for */
};

/* Which transfer uses the socket is asked of the connections: it may end
   before the watch does. */
struct socket_watch
{
  ev_io io;
  struct fetcher *fetcher;
};

struct fetcher
{
  struct ev_loop *loop;
  CURLM *multi;
  struct connections *connections;
  ev_timer timer;
  struct deferred deferred_destroy;
  struct fetch *cancelled;      /* linked by next_cancelled */
  struct fetch *active;         /* linked by prev and next */
  CURL *idle[MAX_IDLE_HANDLES]; /* easy handles kept for reuse */
  uint32_t idle_count;
  uint32_t active_count;
  size_t buffered_bytes; /* of the bodies of active transfers */
};

/* A transfer.  Owned by its fetcher. */
struct fetch
{
  struct connection_user user; /* first member */
  struct fetcher *fetcher;
  CURL *easy;
  struct curl_slist *headers;
  char *request_body;
  size_t request_body_len;
  size_t request_body_sent;
  uint32_t sends; /* of the request, with libcurl's own retries */
  /* The response has no body, which libcurl does not know: it sends one. */
  bool ends_with_head;
  bool refuses_resend;
  bool resend_refused;
  curl_socket_t opened; /* last socket opened for it */
  bool is_plain;        /* without TLS */
  /* The connection chosen for it must not be used: nothing has been sent. */
  bool needs_other_connection;
  size_t head_bytes;     /* that its heads occupy; charged */
  bool lacks_line_end;   /* libcurl holds a part of a line */
  long head_status;      /* of the head that is being received; 0: none */
  bool is_malformed;     /* the bytes are no response */
  bool is_head_complete; /* the head of the final response has arrived */
  bool is_refused;       /* by handle_head */
  enum fetch_framing framing;
  struct buf body;
  size_t buffered_bytes; /* received into the body */
  size_t charged_bytes;  /* that the body occupies */
  size_t max_body_bytes;
  bool is_essential;
  fetch_may_send_handler *may_send;
  fetch_data_handler *handle_data;
  fetch_header_handler *handle_header;
  fetch_head_handler *handle_head;
  fetch_done_handler *handle_done;
  void (*release_data) (void *data);
  void *data;
  bool is_cancelled;
  struct fetch *next_cancelled;
  struct fetch *prev;
  struct fetch *next;
};

static void
unlink_fetch (struct fetch *fetch)
{
  struct fetcher *fetcher = fetch->fetcher;

  if (fetch->prev)
    fetch->prev->next = fetch->next;
  else
    fetcher->active = fetch->next;
  if (fetch->next)
    fetch->next->prev = fetch->prev;
  fetcher->active_count--;
}

static void
link_fetch (struct fetch *fetch)
{
  struct fetcher *fetcher = fetch->fetcher;

  fetch->next = fetcher->active;
  if (fetcher->active)
    fetcher->active->prev = fetch;
  fetcher->active = fetch;
  fetcher->active_count++;
}

static void
fetch_destroy (struct fetch *fetch)
{
  struct fetcher *fetcher = fetch->fetcher;

  unlink_fetch (fetch);
  fetcher->buffered_bytes -= fetch->buffered_bytes;
  curl_multi_remove_handle (fetcher->multi, fetch->easy);
  connection_user_release (&fetch->user);
  /* A handle keeps the heads of its last transfer, and a part of a line.  */
  if (fetcher->idle_count < MAX_IDLE_HANDLES && fetch->is_head_complete
      && fetch->head_bytes <= SMALL_HEAD_BYTES)
    {
      curl_easy_reset (fetch->easy);
      fetcher->idle[fetcher->idle_count++] = fetch->easy;
    }
  else
    curl_easy_cleanup (fetch->easy);
  memory_add (MEMORY_RESPONSES,
              -(int64_t)(fetch->charged_bytes + fetch->head_bytes));
  curl_slist_free_all (fetch->headers);
  free (fetch->request_body);
  buf_release (&fetch->body);
  if (fetch->release_data)
    fetch->release_data (fetch->data);
  free (fetch);
}

/* Whether the connection ended before a byte was received.  Bytes that are no
   response give other codes.  */
static bool
is_unanswered (struct fetch *fetch, CURLcode code)
{
  long head_bytes = 0;

  curl_easy_getinfo (fetch->easy, CURLINFO_HEADER_SIZE, &head_bytes);
  return head_bytes == 0
         && (code == CURLE_GOT_NOTHING || code == CURLE_RECV_ERROR
             || code == CURLE_SEND_ERROR);
}

static void
complete_fetch (struct fetch *fetch, CURLcode code)
{
  struct fetch_result result = { .body = &fetch->body };
  long request_bytes = 0;
  long system_error = 0;
  long connections = 0;

  result.status = fetch_status (fetch);
  curl_easy_getinfo (fetch->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  curl_easy_getinfo (fetch->easy, CURLINFO_OS_ERRNO, &system_error);
  result.framing = fetch->framing;
  if (fetch->ends_with_head && fetch->is_head_complete && !fetch->is_refused)
    code = CURLE_OK;
  /* libcurl also reports success for a connection that closes inside the
     head.  */
  result.complete = code == CURLE_OK && fetch->is_head_complete;
  result.timed_out = code == CURLE_OPERATION_TIMEDOUT;
  result.connection_refused
      = code == CURLE_COULDNT_CONNECT && system_error == ECONNREFUSED;
  result.aborted
      = code == CURLE_WRITE_ERROR || code == CURLE_FILESIZE_EXCEEDED;
  result.sent = request_bytes > 0;
  curl_easy_getinfo (fetch->easy, CURLINFO_NUM_CONNECTS, &connections);
  result.connection_failed
      = code == CURLE_COULDNT_CONNECT || (result.timed_out && !result.sent);
  result.connection_opened
      = connections > 0 && result.sent && !result.connection_failed;
  result.unanswered = connections > 0 && is_unanswered (fetch, code);
  result.resend_refused = fetch->resend_refused;
  result.reason = code == CURLE_OK && !result.complete
                      ? "the head of the response is incomplete"
                  : fetch->is_malformed
                      ? "the response has a status that is none"
                      : curl_easy_strerror (code);
  if (!fetch->is_cancelled && fetch->handle_done)
    fetch->handle_done (fetch->data, &result);
  if (!fetch->is_cancelled)
    fetch_destroy (fetch);
}

/* Starts a transfer again, of which nothing has been sent, on a new
   connection.  */
static void
restart_fetch (struct fetch *fetch)
{
  CURLM *multi = fetch->fetcher->multi;

  fetch->needs_other_connection = false;
  curl_multi_remove_handle (multi, fetch->easy);
  connection_user_release (&fetch->user);
  curl_easy_setopt (fetch->easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_multi_add_handle (multi, fetch->easy);
}

static void
complete_finished_fetches (struct fetcher *fetcher)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (fetcher->multi, &left)))
    {
      struct fetch *fetch = NULL;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &fetch);
      if (fetch->needs_other_connection && !fetch->is_cancelled)
        restart_fetch (fetch);
      else
        complete_fetch (fetch, message->data.result);
    }
}

/* Returns by how much the answers that callers have not read yet exceed their
   share: an answer that is ready is held whatever the share has.  */
static int64_t
callers_excess (void)
{
  int64_t share_bytes = memory_share (MEMORY_CALLERS);

  return share_bytes > 0 ? MAX (memory_used (MEMORY_CALLERS) - share_bytes, 0)
                         : 0;
}

/* Returns how much all bodies may occupy if FETCH's needs CAPACITY.  Long ones
   leave room for what slow callers hold beyond their share, into which they
   would turn.  */
static int64_t
bodies_limit (const struct fetch *fetch, size_t capacity)
{
  int64_t share_bytes = memory_share (MEMORY_RESPONSES);
  int64_t percent = 100 - ESSENTIAL_PERCENT;

  if (fetch->is_essential)
    return share_bytes;
  if (capacity > LONG_BODY_BYTES)
    percent -= SHORT_PERCENT;
  share_bytes = share_bytes / 100 * percent;
  if (capacity <= LONG_BODY_BYTES)
    return share_bytes;
  return MIN (share_bytes, MAX_LONG_BODIES_BYTES) - callers_excess ();
}

/* Charges BYTES more that the heads of a transfer occupy.  Returns false if
   they may not be kept.  */
static bool
charge_head (struct fetch *fetch, size_t bytes)
{
  size_t head_bytes = fetch->head_bytes + bytes;

  if (head_bytes > MAX_HEAD_BYTES)
    return false;
  if (head_bytes <= SMALL_HEAD_BYTES)
    memory_add (MEMORY_RESPONSES, (int64_t)bytes);
  /* As of long bodies, so that they leave room for others.  */
  else if ((int64_t)bytes > bodies_limit (fetch, LONG_BODY_BYTES + 1)
                                - memory_used (MEMORY_RESPONSES)
           || !memory_take (MEMORY_RESPONSES, (int64_t)bytes))
    {
      counter_add (COUNTER_RESPONSES_REFUSED, 1);
      return false;
    }
  fetch->head_bytes = head_bytes;
  return true;
}

/* Charges what libcurl is about to read from FD for a head whose last part had
   no end of a line: it keeps such parts.  Returns false if they may not be
   kept.  */
static bool
charge_part_of_line (struct fetch *fetch, int fd)
{
  int bytes = 0;

  if (fetch->is_head_complete || fetch->is_cancelled)
    return true;
  if (fetch->lacks_line_end
      && (ioctl (fd, FIONREAD, &bytes) != 0
          || !charge_head (fetch, (size_t)bytes)))
    return false;
  fetch->lacks_line_end = true;
  return true;
}

/* Returns the transfer that uses the socket FD, or NULL.  */
static struct fetch *
find_user (const struct fetcher *fetcher, int fd)
{
  const struct connection *connection
      = connections_find (fetcher->connections, fd);

  return connection ? (struct fetch *)connection_get_user (connection) : NULL;
}

static void
handle_socket_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct socket_watch *watch = watcher->data;
  struct fetcher *fetcher = watch->fetcher;
  struct fetch *fetch = find_user (fetcher, watcher->fd);
  int action = 0;
  int running;

  if ((events & EV_READ) && fetch && !charge_part_of_line (fetch, watcher->fd))
    {
      complete_fetch (fetch, CURLE_WRITE_ERROR);
      return;
    }
  if (events & EV_READ)
    action |= CURL_CSELECT_IN;
  if (events & EV_WRITE)
    action |= CURL_CSELECT_OUT;
  curl_multi_socket_action (fetcher->multi, watcher->fd, action, &running);
  complete_finished_fetches (fetcher);
}

static int
handle_socket_change (CURL *easy, curl_socket_t fd, int what, void *data,
                      void *socket_data)
{
  struct fetcher *fetcher = data;
  struct socket_watch *watch = socket_data;
  struct connection *connection = connections_find (fetcher->connections, fd);
  struct fetch *fetch = NULL;
  int events = 0;

  if (what == CURL_POLL_REMOVE)
    {
      /* libcurl says so before it lets another transfer use it. */
      if (connection)
        connection_leave (connection);
      if (watch)
        ev_io_stop (fetcher->loop, &watch->io);
      curl_multi_assign (fetcher->multi, fd, NULL);
      free (watch);
      return 0;
    }
  if (what & CURL_POLL_IN)
    events |= EV_READ;
  if (what & CURL_POLL_OUT)
    events |= EV_WRITE;
  if (!watch)
    {
      watch = xcalloc (1, sizeof *watch);
      watch->fetcher = fetcher;
      ev_init (&watch->io, handle_socket_ready);
      watch->io.data = watch;
      curl_multi_assign (fetcher->multi, fd, watch);
    }
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, &fetch);
  /* libcurl may have a handle of its own close a connection. */
  if (connection && fetch)
    connection_take (connection, &fetch->user);
  ev_io_stop (fetcher->loop, &watch->io);
  ev_io_set (&watch->io, fd, events);
  ev_io_start (fetcher->loop, &watch->io);
  return 0;
}

static void
handle_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct fetcher *fetcher = watcher->data;
  int running;

  curl_multi_socket_action (fetcher->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  complete_finished_fetches (fetcher);
}

static int
handle_timer_change (CURLM *multi, long timeout_ms, void *data)
{
  struct fetcher *fetcher = data;

  ev_timer_stop (fetcher->loop, &fetcher->timer);
  if (timeout_ms < 0)
    return 0;
  ev_timer_set (&fetcher->timer, (double)timeout_ms / 1000.0, 0);
  ev_timer_start (fetcher->loop, &fetcher->timer);
  return 0;
}

/* Removes cancelled transfers.  libcurl does not allow a handle to be removed
   from within its callbacks, so fetch_cancel defers the removal.  */
static void
destroy_cancelled (void *data)
{
  struct fetcher *fetcher = data;

  while (fetcher->cancelled)
    {
      struct fetch *fetch = fetcher->cancelled;

      fetcher->cancelled = fetch->next_cancelled;
      fetch_destroy (fetch);
    }
}

/* Charges what the body occupies with LEN more bytes.  Returns false if they
   may not be buffered.  */
static bool
charge_body (struct fetch *fetch, size_t len)
{
  size_t capacity = buf_capacity_for (&fetch->body, len);
  int64_t growth = (int64_t)(capacity - fetch->body.capacity);

  if (fetch->buffered_bytes + len > fetch->max_body_bytes)
    return false;
  if (growth == 0)
    return true;
  if (growth > bodies_limit (fetch, capacity) - memory_used (MEMORY_RESPONSES)
      || !memory_take (MEMORY_RESPONSES, growth))
    return false;
  fetch->charged_bytes += (size_t)growth;
  return true;
}

static size_t
handle_body (char *bytes, size_t size, size_t count, void *data)
{
  struct fetch *fetch = data;
  size_t len = size * count;

  if (fetch->is_cancelled)
    return 0;
  if (fetch->handle_data)
    return fetch->handle_data (fetch->data, bytes, len) ? len : 0;
  if (!charge_body (fetch, len))
    {
      counter_add (COUNTER_RESPONSES_REFUSED, 1);
      return 0;
    }
  buf_append (&fetch->body, bytes, len);
  fetch->buffered_bytes += len;
  fetch->fetcher->buffered_bytes += len;
  return len;
}

/* Returns the status that LINE states, or 0 if it is no status line of
   HTTP/1.0 or 1.1.  */
static long
parse_status_line (const char *line)
{
  static const char version[] = "HTTP/1.";
  const char *status = line + strlen (version) + 2;

  if (strncmp (line, version, strlen (version)) != 0
      || (line[strlen (version)] != '0' && line[strlen (version)] != '1')
      || status[-1] != ' ' || strspn (status, "0123456789") != STATUS_DIGITS
      || (status[STATUS_DIGITS] != ' ' && status[STATUS_DIGITS] != '\0'))
    return 0;
  return strtol (status, NULL, 10);
}

/* Whether a response may have STATUS, as its last one.  */
bool
fetch_is_final_status (long status)
{
  return status >= FIRST_FINAL_STATUS && status <= LAST_FINAL_STATUS;
}

static bool
is_interim_status (long status)
{
  return status >= FIRST_INTERIM_STATUS && status < FIRST_FINAL_STATUS
         && status != SWITCHING_PROTOCOLS;
}

/* Starts the head of a response, which follows those of any interim ones.
   Returns false to abort the transfer.  */
static bool
read_status_line (struct fetch *fetch, const char *line)
{
  long status = parse_status_line (line);

  fetch->is_malformed
      = !fetch_is_final_status (status) && !is_interim_status (status);
  fetch->head_status = status;
  fetch->framing = FETCH_FRAMING_CLOSE;
  return !fetch->is_malformed;
}

static void
read_framing (struct fetch *fetch, const char *name)
{
  if (strcasecmp (name, "Transfer-Encoding") == 0)
    fetch->framing = FETCH_FRAMING_CHUNKS;
  else if (strcasecmp (name, "Content-Length") == 0
           && fetch->framing == FETCH_FRAMING_CLOSE)
    fetch->framing = FETCH_FRAMING_LENGTH;
}

/* Handles the end of a head.  Returns false to abort the transfer.  */
static bool
end_head (struct fetch *fetch)
{
  fetch->is_head_complete = fetch_is_final_status (fetch->head_status);
  if (!fetch->is_head_complete)
    {
      fetch->head_status = 0;
      return true;
    }
  fetch->is_refused = fetch->handle_head && !fetch->handle_head (fetch->data);
  return !fetch->is_refused && !fetch->ends_with_head;
}

/* Whether TEXT contains the beginning of a head.  */
static bool
has_status_line (const char *text)
{
  static const char version[] = "HTTP/1.";

  while ((text = strstr (text, version)))
    {
      text += strlen (version);
      if (g_ascii_isdigit (text[0]) && text[1] == ' '
          && strspn (text + 2, "0123456789") == STATUS_DIGITS)
        return true;
    }
  return false;
}

/* Handles a line of a head.  Headers of interim responses are dropped.
   Returns false to abort the transfer.  */
static bool
read_head_line (struct fetch *fetch, char *line)
{
  char *value = strchr (line, ':');

  line[strcspn (line, "\r\n")] = '\0';
  /* The head of another response, where one has broken off. */
  if (*line && has_status_line (line + (fetch->head_status == 0)))
    return false;
  if (fetch->head_status == 0)
    return read_status_line (fetch, line);
  if (!*line)
    return end_head (fetch);
  if (value && fetch_is_final_status (fetch->head_status))
    {
      *value++ = '\0';
      value += strspn (value, " ");
      read_framing (fetch, line);
      if (fetch->handle_header)
        fetch->handle_header (fetch->data, line, value);
    }
  return true;
}

/* libcurl also calls this for the trailers of a body in chunks, which are
   dropped.  */
static size_t
handle_header_line (char *bytes, size_t size, size_t count, void *data)
{
  struct fetch *fetch = data;
  size_t len = size * count;
  bool should_continue = true;
  char *line;

  fetch->lacks_line_end = false;
  if (fetch->is_cancelled
      || !charge_head (fetch, HEAD_LINE_BYTES + HEAD_LINE_COPIES * len))
    return 0;
  if (fetch->is_head_complete)
    return len;
  line = strndup (bytes, len);
  if (line)
    should_continue = read_head_line (fetch, line);
  free (line);
  return should_continue ? len : 0;
}

static curl_socket_t
handle_socket_open (void *data, curlsocktype purpose,
                    struct curl_sockaddr *address)
{
  struct fetch *fetch = data;

  fetch->opened = socket (address->family, address->socktype | SOCK_CLOEXEC,
                          address->protocol);
  if (fetch->opened != CURL_SOCKET_BAD)
    connections_add (fetch->fetcher->connections, fetch->opened, &fetch->user);
  return fetch->opened;
}

static int
handle_socket_close (void *data, curl_socket_t fd)
{
  struct fetcher *fetcher = data;

  connections_remove (fetcher->connections, fd);
  return close (fd);
}

/* Whether the socket FD is bound to PORT.  */
static bool
has_local_port (curl_socket_t fd, int port)
{
  union
  {
    struct sockaddr any;
    struct sockaddr_in v4;
    struct sockaddr_in6 v6;
  } address = { .v6 = { 0 } };
  socklen_t len = sizeof address;

  if (fd == CURL_SOCKET_BAD || getsockname (fd, &address.any, &len) < 0)
    return false;
  return ntohs (address.any.sa_family == AF_INET6 ? address.v6.sin6_port
                                                  : address.v4.sin_port)
         == port;
}

static bool
has_unread_bytes (const struct connection *connection)
{
  struct pollfd poll_fd
      = { .fd = connection_fd (connection), .events = POLLIN };

  return poll (&poll_fd, 1, 0) > 0;
}

/* Whether FETCH may send its request on CONNECTION, which was used before.
   What has arrived on an idle connection is no response to it, and not the
   last of such bytes.  */
static bool
may_reuse (struct fetch *fetch, struct connection *connection)
{
  if (connection && !connection_take (connection, &fetch->user))
    {
      counter_add (COUNTER_SHARED_CONNECTIONS, 1);
      log_write (LOG_ERROR, "fetch", NULL,
                 "a request was to be sent on a connection that another one "
                 "uses; it is sent on a new one");
      return false;
    }
  if (!connection || (fetch->is_plain && has_unread_bytes (connection)))
    {
      counter_add (COUNTER_DIRTY_CONNECTIONS, 1);
      return false;
    }
  return true;
}

/* Called whenever libcurl is about to send the request.  It does not tell
   which socket it has chosen, only the addresses of its ends.  */
static int
handle_send (void *data, char *peer_address, char *local_address,
             int peer_port, int local_port)
{
  struct fetch *fetch = data;
  struct connections *connections = fetch->fetcher->connections;
  char *ends;

  if (fetch->is_cancelled)
    return CURL_PREREQFUNC_ABORT;
  ends = xasprintf ("%s:%d %s:%d", local_address, local_port, peer_address,
                    peer_port);
  if (!fetch_has_opened_connection (fetch))
    fetch->needs_other_connection
        = !may_reuse (fetch, connections_find_ends (connections, ends));
  else if (has_local_port (fetch->opened, local_port))
    connections_name (connections, fetch->opened, ends);
  free (ends);
  if (fetch->needs_other_connection
      || (fetch->may_send && !fetch->may_send (fetch->data)))
    return CURL_PREREQFUNC_ABORT;
  if (fetch->sends++ == 0)
    return CURL_PREREQFUNC_OK;
  fetch->resend_refused = fetch->refuses_resend;
  if (fetch->refuses_resend)
    return CURL_PREREQFUNC_ABORT;
  counter_add (COUNTER_RESENDS, 1);
  return CURL_PREREQFUNC_OK;
}

/* Sets what keeps a connection to one transfer at a time: libcurl shares those
   of a peer that says it speaks HTTP/2.  */
static void
set_multi_options (struct fetcher *fetcher)
{
  CURLM *multi = fetcher->multi;

  curl_multi_setopt (multi, CURLMOPT_SOCKETFUNCTION, handle_socket_change);
  curl_multi_setopt (multi, CURLMOPT_SOCKETDATA, fetcher);
  curl_multi_setopt (multi, CURLMOPT_TIMERFUNCTION, handle_timer_change);
  curl_multi_setopt (multi, CURLMOPT_TIMERDATA, fetcher);
  curl_multi_setopt (multi, CURLMOPT_MAXCONNECTS,
                     (long)MAX_CACHED_CONNECTIONS);
  curl_multi_setopt (multi, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
  curl_multi_setopt (multi, CURLMOPT_MAX_HOST_CONNECTIONS, 0L);
  curl_multi_setopt (multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, 0L);
}

/* Creates an HTTP client on LOOP.  */
struct fetcher *
fetcher_create (struct ev_loop *loop)
{
  struct fetcher *fetcher = xcalloc (1, sizeof *fetcher);

  fetcher->loop = loop;
  fetcher->multi = curl_multi_init ();
  fetcher->connections = connections_create ();
  set_multi_options (fetcher);
  ev_timer_init (&fetcher->timer, handle_timer, 0, 0);
  fetcher->timer.data = fetcher;
  deferred_init (&fetcher->deferred_destroy, loop, destroy_cancelled, fetcher);
  return fetcher;
}

/* Aborts all transfers without calling their handlers and frees the client. */
void
fetcher_destroy (struct fetcher *fetcher)
{
  if (!fetcher)
    return;
  while (fetcher->active)
    fetch_destroy (fetcher->active);
  for (uint32_t i = 0; i < fetcher->idle_count; i++)
    curl_easy_cleanup (fetcher->idle[i]);
  curl_multi_cleanup (fetcher->multi);
  connections_destroy (fetcher->connections);
  ev_timer_stop (fetcher->loop, &fetcher->timer);
  deferred_cancel (&fetcher->deferred_destroy);
  free (fetcher);
}

static size_t
read_request_body (char *out, size_t size, size_t count, void *data)
{
  struct fetch *fetch = data;
  size_t left = fetch->request_body_len - fetch->request_body_sent;
  size_t len = size * count < left ? size * count : left;

  memcpy (out, fetch->request_body + fetch->request_body_sent, len);
  fetch->request_body_sent += len;
  return len;
}

/* libcurl resends a request if a reused connection turns out to be closed.  A
   body from a read callback without a seek function cannot be rewound, which
   prevents the resend for single_attempt.  */
static void
set_body (struct fetch *fetch, const struct fetch_options *options)
{
  fetch->request_body = xcalloc (options->body_len + 1, 1);
  fetch->request_body_len = options->body_len;
  if (options->body && options->body_len)
    memcpy (fetch->request_body, options->body, options->body_len);
  curl_easy_setopt (fetch->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                    (curl_off_t)options->body_len);
  if (!options->single_attempt || options->body_len == 0)
    {
      curl_easy_setopt (fetch->easy, CURLOPT_POSTFIELDS, fetch->request_body);
      return;
    }
  curl_easy_setopt (fetch->easy, CURLOPT_POST, 1L);
  curl_easy_setopt (fetch->easy, CURLOPT_READFUNCTION, read_request_body);
  curl_easy_setopt (fetch->easy, CURLOPT_READDATA, fetch);
}

/* Has the request be sent with its method and body, and a response be awaited
   as the method says: that to HEAD has no body.  libcurl sends no body with
   what it knows as HEAD, so that one with a body ends with its head here.  */
static void
set_method (struct fetch *fetch, const struct fetch_options *options)
{
  bool is_head = strcmp (options->method, "HEAD") == 0;

  if (options->body || strcmp (options->method, "POST") == 0)
    {
      set_body (fetch, options);
      fetch->ends_with_head = is_head;
    }
  else if (is_head)
    curl_easy_setopt (fetch->easy, CURLOPT_NOBODY, 1L);
  /* The length that a response to HEAD states is that of no body. */
  if (!fetch->handle_data && !is_head)
    curl_easy_setopt (fetch->easy, CURLOPT_MAXFILESIZE_LARGE,
                      (curl_off_t)fetch->max_body_bytes);
  curl_easy_setopt (fetch->easy, CURLOPT_CUSTOMREQUEST, options->method);
}

/* Returns whether OPTIONS has the header NAME, which ends with a colon.  */
static bool
has_header (const struct fetch_options *options, const char *name)
{
  size_t len = strlen (name);

  for (size_t i = 0; options->headers && options->headers[i]; i++)
    if (strncasecmp (options->headers[i], name, len) == 0)
      return true;
  return false;
}

/* A header without a value, such as "Expect:", stops libcurl from adding its
   own.  */
static void
set_headers (struct fetch *fetch, const struct fetch_options *options)
{
  for (size_t i = 0; options->headers && options->headers[i]; i++)
    fetch->headers = curl_slist_append (fetch->headers, options->headers[i]);
  fetch->headers = curl_slist_append (fetch->headers, "Expect:");
  if (options->exact_headers && !has_header (options, "Accept:"))
    fetch->headers = curl_slist_append (fetch->headers, "Accept:");
  if (options->exact_headers && !has_header (options, "Content-Type:"))
    fetch->headers = curl_slist_append (fetch->headers, "Content-Type:");
  curl_easy_setopt (fetch->easy, CURLOPT_HTTPHEADER, fetch->headers);
}

static void
set_connection_options (CURL *easy, const struct fetch_options *options)
{
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)options->connect_timeout_ms);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)options->timeout_ms);
  if (options->stall_timeout_ms > 0)
    {
      curl_easy_setopt (easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
      curl_easy_setopt (easy, CURLOPT_LOW_SPEED_TIME,
                        (long)((options->stall_timeout_ms + 999) / 1000));
    }
  /* Without a body, only a new connection prevents the resend that set_body
     describes.  */
  if (options->new_connection
      || (options->single_attempt && options->body_len == 0))
    curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
  if (options->tcp_keepalive_s > 0)
    {
      curl_easy_setopt (easy, CURLOPT_TCP_KEEPALIVE, 1L);
      curl_easy_setopt (easy, CURLOPT_TCP_KEEPIDLE,
                        (long)options->tcp_keepalive_s);
      curl_easy_setopt (easy, CURLOPT_TCP_KEEPINTVL,
                        (long)options->tcp_keepalive_s);
    }
  curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN,
                    options->max_idle_ms > 0
                        ? (long)((options->max_idle_ms + 999) / 1000)
                        : (long)DEFAULT_MAX_IDLE_S);
}

/* Sets what callers of the client rely on, whatever libcurl's defaults are:
   requests go as they are to the peer that the URL names, over HTTP/1.1, and
   responses come as they were sent.  Alt-Svc, cookies and proxies are off
   while nothing names a file or an address for them.  */
static void
set_protocol_options (CURL *easy)
{
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  /* Without the extension a peer cannot choose HTTP/2 in a TLS handshake. */
  curl_easy_setopt (easy, CURLOPT_SSL_ENABLE_ALPN, 0L);
  curl_easy_setopt (easy, CURLOPT_SSL_VERIFYPEER, 1L);
  curl_easy_setopt (easy, CURLOPT_SSL_VERIFYHOST, 2L);
  curl_easy_setopt (easy, CURLOPT_PIPEWAIT, 0L);
  curl_easy_setopt (easy, CURLOPT_HTTP09_ALLOWED, 0L);
  curl_easy_setopt (easy, CURLOPT_HTTP200ALIASES, NULL);
  curl_easy_setopt (easy, CURLOPT_HSTS_CTRL, 0L);
  curl_easy_setopt (easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt (easy, CURLOPT_UNRESTRICTED_AUTH, 0L);
  curl_easy_setopt (easy, CURLOPT_NETRC, (long)CURL_NETRC_IGNORED);
  curl_easy_setopt (easy, CURLOPT_FAILONERROR, 0L);
  /* A peer that refuses before it has read a body gets no more of it: its
     connection is closed. */
  curl_easy_setopt (easy, CURLOPT_KEEP_SENDING_ON_ERROR, 0L);
  curl_easy_setopt (easy, CURLOPT_IGNORE_CONTENT_LENGTH, 0L);
  curl_easy_setopt (easy, CURLOPT_ACCEPT_ENCODING, NULL);
  curl_easy_setopt (easy, CURLOPT_TRANSFER_ENCODING, 0L);
  curl_easy_setopt (easy, CURLOPT_HTTP_CONTENT_DECODING, 0L);
  curl_easy_setopt (easy, CURLOPT_HTTP_TRANSFER_DECODING, 1L);
  curl_easy_setopt (easy, CURLOPT_DNS_CACHE_TIMEOUT, (long)MAX_DNS_AGE_S);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TCP_NODELAY, 1L);
}

/* Starts a transfer.  OPTIONS need not outlive the call.  The handlers run on
   the loop's thread, never from within this call.  The returned fetch is valid
   until handle_done returns or fetch_cancel is called.  */
struct fetch *
fetch_start (struct fetcher *fetcher, const struct fetch_options *options)
{
  struct fetch *fetch = xcalloc (1, sizeof *fetch);

  fetch->fetcher = fetcher;
  fetch->easy = fetcher->idle_count > 0 ? fetcher->idle[--fetcher->idle_count]
                                        : curl_easy_init ();
  fetch->may_send = options->may_send;
  fetch->handle_data = options->handle_data;
  fetch->handle_header = options->handle_header;
  fetch->handle_head = options->handle_head;
  fetch->handle_done = options->handle_done;
  fetch->release_data = options->release_data;
  fetch->refuses_resend = options->refuses_resend;
  fetch->is_plain = g_str_has_prefix (options->url, "http://");
  fetch->opened = CURL_SOCKET_BAD;
  fetch->data = options->data;
  fetch->is_essential = options->is_essential;
  fetch->max_body_bytes = options->max_body_bytes ? options->max_body_bytes
                                                  : DEFAULT_MAX_BODY_BYTES;
  link_fetch (fetch);
  curl_easy_setopt (fetch->easy, CURLOPT_URL, options->url);
  set_protocol_options (fetch->easy);
  curl_easy_setopt (fetch->easy, CURLOPT_BUFFERSIZE,
                    (long)RECEIVE_BUFFER_BYTES);
  curl_easy_setopt (fetch->easy, CURLOPT_WRITEFUNCTION, handle_body);
  curl_easy_setopt (fetch->easy, CURLOPT_WRITEDATA, fetch);
  curl_easy_setopt (fetch->easy, CURLOPT_PRIVATE, fetch);
  curl_easy_setopt (fetch->easy, CURLOPT_HEADERFUNCTION, handle_header_line);
  curl_easy_setopt (fetch->easy, CURLOPT_HEADERDATA, fetch);
  curl_easy_setopt (fetch->easy, CURLOPT_PREREQFUNCTION, handle_send);
  curl_easy_setopt (fetch->easy, CURLOPT_PREREQDATA, fetch);
  curl_easy_setopt (fetch->easy, CURLOPT_OPENSOCKETFUNCTION,
                    handle_socket_open);
  curl_easy_setopt (fetch->easy, CURLOPT_OPENSOCKETDATA, fetch);
  curl_easy_setopt (fetch->easy, CURLOPT_CLOSESOCKETFUNCTION,
                    handle_socket_close);
  curl_easy_setopt (fetch->easy, CURLOPT_CLOSESOCKETDATA, fetcher);
  if (options->target)
    curl_easy_setopt (fetch->easy, CURLOPT_REQUEST_TARGET, options->target);
  set_method (fetch, options);
  set_headers (fetch, options);
  set_connection_options (fetch->easy, options);
  curl_multi_add_handle (fetcher->multi, fetch->easy);
  return fetch;
}

/* Cancels a transfer.  Its handlers are not called afterwards; RELEASE_DATA is
   called at the end of the loop iteration.  */
void
fetch_cancel (struct fetch *fetch)
{
  if (fetch->is_cancelled)
    return;
  fetch->is_cancelled = true;
  fetch->next_cancelled = fetch->fetcher->cancelled;
  fetch->fetcher->cancelled = fetch;
  deferred_schedule (&fetch->fetcher->deferred_destroy);
}

/* Returns the number of bytes in the bodies of active transfers.  */
size_t
fetcher_buffered_bytes (const struct fetcher *fetcher)
{
  return fetcher->buffered_bytes;
}

/* Returns the HTTP status received so far, or 0 if there is none.  */
long
fetch_status (const struct fetch *fetch)
{
  long status = 0;

  curl_easy_getinfo (fetch->easy, CURLINFO_RESPONSE_CODE, &status);
  return fetch->is_malformed ? 0 : status;
}

/* Whether the request was sent on a connection that was opened for it, so that
   what arrives there is its response.  */
bool
fetch_has_opened_connection (const struct fetch *fetch)
{
  long connections = 0;

  curl_easy_getinfo (fetch->easy, CURLINFO_NUM_CONNECTS, &connections);
  return connections > 0;
}

/* Returns what ends the body, for logs.  */
const char *
fetch_framing_name (enum fetch_framing framing)
{
  switch (framing)
    {
    case FETCH_FRAMING_LENGTH:
      return "a length";
    case FETCH_FRAMING_CHUNKS:
      return "chunks";
    default:
      return "the end of its connection";
    }
}
