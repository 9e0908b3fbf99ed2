#include "raw_endpoint.h"
#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  LISTEN_BACKLOG = 64,
  RECEIVE_BYTES = 4096,
  BLOCK_BYTES = 16 * 1024,
  EARLY_PAUSE_MS = 50,        /* before the body of a request is read */
  EARLY_BUFFER_BYTES = 16384, /* so that a long body cannot be in before */
};

static const char HEAD_END[] = "\r\n\r\n";

struct raw_connection
{
  struct raw_endpoint *endpoint;
  int fd; /* -1 once it is closed */
  ev_io readable;
  ev_io writable;
  struct buf request;
  char block[BLOCK_BYTES]; /* sent over and over, if it is not empty */
  size_t block_len;
  size_t block_sent;
  struct buf unsent; /* of an answer, which the socket does not take yet */
  size_t unsent_at;
  enum raw_end unsent_end;
  char *late; /* part of an answer that is sent later */
  enum raw_end late_end;
  ev_timer late_timer;
  size_t body_left; /* of a request that was answered early */
  ev_timer pause;
};

static void
close_connection (struct raw_connection *connection)
{
  if (connection->fd < 0)
    return;
  ev_io_stop (connection->endpoint->loop, &connection->readable);
  ev_io_stop (connection->endpoint->loop, &connection->writable);
  ev_timer_stop (connection->endpoint->loop, &connection->late_timer);
  ev_timer_stop (connection->endpoint->loop, &connection->pause);
  close (connection->fd);
  connection->fd = -1;
  connection->endpoint->open--;
}

static void
reset_connection (struct raw_connection *connection)
{
  struct linger linger = { .l_onoff = 1 };

  setsockopt (connection->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close_connection (connection);
}

/* Fills BLOCK with repetitions of TEXT and returns their length.  */
static size_t
fill_block (char *block, size_t size, const char *text)
{
  size_t text_len = strlen (text);
  size_t len = 0;

  for (; len + text_len <= size; len += text_len)
    memcpy (block + len, text, text_len);
  return len;
}

static void
end_connection (struct raw_connection *connection, enum raw_end end)
{
  if (end == RAW_CLOSE)
    close_connection (connection);
  else if (end == RAW_RESET)
    reset_connection (connection);
}

/* Sends what the socket takes and keeps the rest.  */
static void
send_bytes (struct raw_connection *connection, const char *bytes, size_t len)
{
  ssize_t sent = send (connection->fd, bytes, len, MSG_NOSIGNAL);
  size_t taken = sent > 0 ? (size_t)sent : 0;

  CU_ASSERT (sent >= 0 || errno == EAGAIN);
  if (taken == len)
    return;
  buf_append (&connection->unsent, bytes + taken, len - taken);
  ev_io_start (connection->endpoint->loop, &connection->writable);
}

/* Sends on what the socket did not take; the peer may have left.  */
static void
send_unsent (struct raw_connection *connection)
{
  ssize_t sent
      = send (connection->fd, connection->unsent.data + connection->unsent_at,
              connection->unsent.len - connection->unsent_at, MSG_NOSIGNAL);

  if (sent < 0)
    {
      if (errno != EAGAIN)
        close_connection (connection);
      return;
    }
  connection->unsent_at += (size_t)sent;
  if (connection->unsent_at < connection->unsent.len)
    return;
  connection->unsent_at = 0;
  buf_release (&connection->unsent);
  ev_io_stop (connection->endpoint->loop, &connection->writable);
  end_connection (connection, connection->unsent_end);
}

static void
handle_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct raw_connection *connection = watcher->data;
  size_t left = connection->block_len - connection->block_sent;
  ssize_t sent;

  if (connection->unsent.len > 0)
    {
      send_unsent (connection);
      return;
    }
  sent = send (connection->fd, connection->block + connection->block_sent,
               left, MSG_NOSIGNAL);

  if (sent < 0)
    {
      if (errno != EAGAIN)
        close_connection (connection);
      return;
    }
  connection->block_sent += (size_t)sent;
  if (connection->block_sent == connection->block_len)
    connection->block_sent = 0;
}

/* The peer may have closed the connection meanwhile.  */
static void
handle_late (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct raw_connection *connection = timer->data;

  send (connection->fd, connection->late, strlen (connection->late),
        MSG_NOSIGNAL);
  if (connection->late_end == RAW_CLOSE)
    close_connection (connection);
}

static void
schedule_late (struct raw_connection *connection,
               const struct raw_answer *answer)
{
  free (connection->late);
  connection->late = xstrdup (answer->late);
  connection->late_end = answer->end;
  ev_timer_set (&connection->late_timer, (double)answer->late_ms / 1000.0, 0);
  ev_timer_start (connection->endpoint->loop, &connection->late_timer);
}

static void
write_answer (struct raw_connection *connection,
              const struct raw_answer *answer)
{
  if (answer->len > 0)
    send_bytes (connection, answer->bytes, answer->len);
  if (answer->late)
    schedule_late (connection, answer);
  else if (connection->unsent.len > 0)
    connection->unsent_end = answer->end;
  else if (answer->end != RAW_REPEAT)
    end_connection (connection, answer->end);
  else
    {
      connection->block_len
          = fill_block (connection->block, BLOCK_BYTES, answer->repeat);
      ev_io_start (connection->endpoint->loop, &connection->writable);
    }
}

static void
send_answer (struct raw_connection *connection)
{
  struct raw_endpoint *endpoint = connection->endpoint;
  struct raw_answer answer;

  g_ptr_array_find (endpoint->connections, connection, &endpoint->connection);
  answer
      = endpoint->answer (endpoint->data, endpoint, connection->request.data);
  buf_release (&connection->request);
  endpoint->requests++;
  write_answer (connection, &answer);
}

/* Returns the length of the REQUEST with its body, or 0 if its head has not
   arrived.  Requests without a length have no body.  */
static size_t
whole_len (const struct buf *request)
{
  static const char field[] = "Content-Length:";
  const char *end = strstr (request->data, HEAD_END);
  const char *length = strcasestr (request->data, field);
  size_t body_len = 0;

  if (!end)
    return 0;
  if (length && length < end)
    body_len = strtoul (length + strlen (field), NULL, 10);
  return (size_t)(end - request->data) + strlen (HEAD_END) + body_len;
}

/* Takes the rest of a body from the LEN BYTES that have arrived.  Returns
   their number.  */
static size_t
read_body (struct raw_connection *connection, const char *bytes, size_t len)
{
  size_t taken = MIN (len, connection->body_left);

  for (size_t i = 0; i < taken; i++)
    connection->endpoint->stray_bytes += bytes[i] != RAW_BODY_BYTE;
  connection->body_left -= taken;
  return taken;
}

static void
handle_pause_end (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct raw_connection *connection = timer->data;

  ev_io_start (loop, &connection->readable);
}

/* Answers a request of WHOLE bytes whose head has arrived.  */
static void
answer_early (struct raw_connection *connection, size_t whole)
{
  struct buf request = connection->request;
  size_t head_len = (size_t)(strstr (request.data, HEAD_END) - request.data)
                    + strlen (HEAD_END);

  connection->body_left = whole - head_len;
  read_body (connection, request.data + head_len, request.len - head_len);
  ev_io_stop (connection->endpoint->loop, &connection->readable);
  ev_timer_set (&connection->pause, EARLY_PAUSE_MS / 1000.0, 0);
  ev_timer_start (connection->endpoint->loop, &connection->pause);
  send_answer (connection);
}

static void
handle_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct raw_connection *connection = watcher->data;
  char bytes[RECEIVE_BYTES];
  ssize_t got = recv (connection->fd, bytes, sizeof bytes, 0);
  size_t taken;
  size_t whole;

  if (got <= 0)
    {
      if (got == 0 || errno != EAGAIN)
        close_connection (connection);
      return;
    }
  taken = read_body (connection, bytes, (size_t)got);
  if (taken == (size_t)got)
    return;
  buf_append (&connection->request, bytes + taken, (size_t)got - taken);
  buf_append (&connection->request, "", 1);
  connection->request.len--;
  whole = whole_len (&connection->request);
  if (whole > 0 && connection->endpoint->is_early)
    answer_early (connection, whole);
  else if (whole > 0 && connection->request.len >= whole)
    send_answer (connection);
}

static void
handle_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct raw_endpoint *endpoint = watcher->data;
  int fd
      = accept4 (endpoint->listener, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
  struct raw_connection *connection;
  int buffer_bytes = EARLY_BUFFER_BYTES;

  if (fd < 0)
    return;
  if (endpoint->is_early)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
  connection = xcalloc (1, sizeof *connection);
  connection->endpoint = endpoint;
  connection->fd = fd;
  ev_io_init (&connection->readable, handle_readable, fd, EV_READ);
  connection->readable.data = connection;
  ev_io_init (&connection->writable, handle_writable, fd, EV_WRITE);
  connection->writable.data = connection;
  ev_timer_init (&connection->late_timer, handle_late, 0, 0);
  connection->late_timer.data = connection;
  ev_timer_init (&connection->pause, handle_pause_end, 0, 0);
  connection->pause.data = connection;
  ev_io_start (loop, &connection->readable);
  g_ptr_array_add (endpoint->connections, connection);
  endpoint->open++;
}

static void
connection_destroy (gpointer data)
{
  struct raw_connection *connection = data;

  close_connection (connection);
  buf_release (&connection->request);
  buf_release (&connection->unsent);
  free (connection->late);
  free (connection);
}

/* Starts an endpoint on the loopback interface that calls ANSWER with DATA for
   each request.  */
struct raw_endpoint *
raw_endpoint_create (struct ev_loop *loop, raw_answer_handler *answer,
                     void *data)
{
  struct raw_endpoint *endpoint = xcalloc (1, sizeof *endpoint);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;

  endpoint->loop = loop;
  endpoint->answer = answer;
  endpoint->data = data;
  endpoint->connections = g_ptr_array_new_with_free_func (connection_destroy);
  endpoint->listener
      = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  CU_ASSERT_EQUAL_FATAL (
      bind (endpoint->listener, (struct sockaddr *)&address, len), 0);
  CU_ASSERT_EQUAL_FATAL (listen (endpoint->listener, LISTEN_BACKLOG), 0);
  getsockname (endpoint->listener, (struct sockaddr *)&address, &len);
  endpoint->port = ntohs (address.sin_port);
  ev_io_init (&endpoint->acceptor, handle_accept, endpoint->listener, EV_READ);
  endpoint->acceptor.data = endpoint;
  ev_io_start (loop, &endpoint->acceptor);
  return endpoint;
}

/* Whether the peer has closed the connection, which this side has not read
   yet.  */
static bool
is_closed_by_peer (const struct raw_connection *connection)
{
  char byte;
  ssize_t got = recv (connection->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  return got == 0 || (got < 0 && errno != EAGAIN);
}

/* Sends BYTES, which may be empty, on all open connections, which then end as
   END says.  */
void
raw_endpoint_end_all (struct raw_endpoint *endpoint, enum raw_end end,
                      const char *bytes)
{
  struct raw_answer answer
      = { .bytes = bytes, .len = strlen (bytes), .end = end };

  for (guint i = 0; i < endpoint->connections->len; i++)
    {
      struct raw_connection *connection = endpoint->connections->pdata[i];

      if (connection->fd >= 0 && is_closed_by_peer (connection))
        close_connection (connection);
      else if (connection->fd >= 0)
        write_answer (connection, &answer);
    }
}

/* Resets all connections and refuses further ones.  */
void
raw_endpoint_crash (struct raw_endpoint *endpoint)
{
  ev_io_stop (endpoint->loop, &endpoint->acceptor);
  if (endpoint->listener >= 0)
    close (endpoint->listener);
  endpoint->listener = -1;
  raw_endpoint_end_all (endpoint, RAW_RESET, "");
}

/* Closes all connections and frees the endpoint.  */
void
raw_endpoint_destroy (struct raw_endpoint *endpoint)
{
  g_ptr_array_free (endpoint->connections, TRUE);
  ev_io_stop (endpoint->loop, &endpoint->acceptor);
  if (endpoint->listener >= 0)
    close (endpoint->listener);
  free (endpoint);
}
