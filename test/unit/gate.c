#include "gate.h"
#include "common/buf.h"
#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  LISTEN_BACKLOG = 128,
  MAX_FILLERS = 8, /* connections that fill an empty backlog */
  FILL_WAIT_MS = 5,
  READ_BYTES = 16 * 1024,
};

/* One direction of a connection. */
struct gate_pipe
{
  struct gate_connection *connection;
  int from;
  int to;
  ev_io readable;
};

struct gate_connection
{
  struct gate *gate;
  struct gate_pipe requests;
  struct gate_pipe responses;
  bool is_lossy; /* what is read is discarded */
};

struct gate
{
  struct ev_loop *loop;
  enum gate_mode mode;
  uint16_t endpoint_port;
  uint16_t port;
  int reserved; /* bound only: keeps the port while connections are refused */
  int listener; /* -1 while connections are refused */
  ev_io acceptor;
  GPtrArray *connections;
  int fillers[MAX_FILLERS];
  uint32_t filler_count;
};

static struct sockaddr_in
loopback (uint16_t port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons (port),
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
}

static void
close_connection (struct gate_connection *connection, bool is_reset)
{
  struct gate *gate = connection->gate;
  struct linger linger = { .l_onoff = 1 };

  ev_io_stop (gate->loop, &connection->requests.readable);
  ev_io_stop (gate->loop, &connection->responses.readable);
  if (is_reset)
    setsockopt (connection->requests.from, SOL_SOCKET, SO_LINGER, &linger,
                sizeof linger);
  close (connection->requests.from);
  close (connection->requests.to);
  g_ptr_array_remove_fast (gate->connections, connection);
  free (connection);
}

static void
handle_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct gate_pipe *gate_pipe = watcher->data;
  char bytes[READ_BYTES];
  ssize_t got = recv (gate_pipe->from, bytes, sizeof bytes, 0);

  if (got < 0 && errno == EAGAIN)
    return;
  if (got > 0 && gate_pipe->connection->is_lossy)
    return;
  if (got <= 0
      || send (gate_pipe->to, bytes, (size_t)got, MSG_NOSIGNAL) != got)
    close_connection (gate_pipe->connection, got < 0);
}

static void
start_pipe (struct gate_connection *connection, struct gate_pipe *gate_pipe,
            int from, int to)
{
  *gate_pipe
      = (struct gate_pipe){ .connection = connection, .from = from, .to = to };
  ev_io_init (&gate_pipe->readable, handle_readable, from, EV_READ);
  gate_pipe->readable.data = gate_pipe;
  ev_io_start (connection->gate->loop, &gate_pipe->readable);
}

static void
handle_connection (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct gate *gate = watcher->data;
  struct sockaddr_in address = loopback (gate->endpoint_port);
  int host = accept4 (gate->listener, NULL, NULL, SOCK_CLOEXEC);
  int endpoint = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct gate_connection *connection;

  if (host < 0
      || connect (endpoint, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close (endpoint);
      if (host >= 0)
        close (host);
      return;
    }
  connection = xcalloc (1, sizeof *connection);
  connection->gate = gate;
  connection->is_lossy
      = gate->mode == GATE_ACCEPT_SILENT || gate->mode == GATE_KEEP_SILENT;
  g_ptr_array_add (gate->connections, connection);
  start_pipe (connection, &connection->requests, host, endpoint);
  start_pipe (connection, &connection->responses, endpoint, host);
  if (gate->mode == GATE_ACCEPT_RESET)
    close_connection (connection, true);
}

/* Returns a socket that is bound to the gate's port, a free one at first.  */
static int
bind_port (struct gate *gate)
{
  struct sockaddr_in address = loopback (gate->port);
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int enable = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
  CU_ASSERT_EQUAL_FATAL (
      bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  getsockname (fd, (struct sockaddr *)&address, &len);
  gate->port = ntohs (address.sin_port);
  return fd;
}

static void
start_listening (struct gate *gate)
{
  gate->listener = bind_port (gate);
  listen (gate->listener, LISTEN_BACKLOG);
  ev_io_init (&gate->acceptor, handle_connection, gate->listener, EV_READ);
  gate->acceptor.data = gate;
  ev_io_start (gate->loop, &gate->acceptor);
}

static void
stop_listening (struct gate *gate)
{
  ev_io_stop (gate->loop, &gate->acceptor);
  for (uint32_t i = 0; i < gate->filler_count; i++)
    close (gate->fillers[i]);
  gate->filler_count = 0;
  if (gate->listener >= 0)
    close (gate->listener);
  gate->listener = -1;
}

/* Opens connections until the backlog is full, so that further ones are not
   answered.  */
static void
fill_backlog (struct gate *gate)
{
  struct sockaddr_in address = loopback (gate->port);
  struct pollfd waiting = { .events = POLLOUT };

  ev_io_stop (gate->loop, &gate->acceptor);
  listen (gate->listener, 0);
  do
    {
      waiting.fd
          = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      connect (waiting.fd, (struct sockaddr *)&address, sizeof address);
      gate->fillers[gate->filler_count++] = waiting.fd;
    }
  while (gate->filler_count < MAX_FILLERS
         && poll (&waiting, 1, FILL_WAIT_MS) == 1);
}

/* Creates an open gate to the endpoint that listens on ENDPOINT_PORT.  */
struct gate *
gate_create (struct ev_loop *loop, uint16_t endpoint_port)
{
  struct gate *gate = xcalloc (1, sizeof *gate);

  gate->loop = loop;
  gate->endpoint_port = endpoint_port;
  gate->connections = g_ptr_array_new ();
  gate->reserved = bind_port (gate);
  start_listening (gate);
  return gate;
}

/* Closes all connections and frees the gate.  */
void
gate_destroy (struct gate *gate)
{
  stop_listening (gate);
  while (gate->connections->len > 0)
    close_connection (gate->connections->pdata[0], false);
  g_ptr_array_free (gate->connections, TRUE);
  close (gate->reserved);
  free (gate);
}

/* Returns the port at which the host reaches the endpoint.  */
uint16_t
gate_port (const struct gate *gate)
{
  return gate->port;
}

/* Connections that hung stay silent when the gate opens again.  */
void
gate_set_mode (struct gate *gate, enum gate_mode mode)
{
  gate->mode = mode;
  stop_listening (gate);
  if (mode != GATE_RESET && mode != GATE_KEEP)
    start_listening (gate);
  if (mode == GATE_HANG || mode == GATE_ONE_WAY)
    fill_backlog (gate);
  if (mode == GATE_RESET || mode == GATE_ACCEPT_RESET)
    while (gate->connections->len > 0)
      close_connection (gate->connections->pdata[0], true);
  for (guint i = 0; i < gate->connections->len; i++)
    {
      struct gate_connection *connection = gate->connections->pdata[i];

      connection->is_lossy
          = connection->is_lossy || mode == GATE_ACCEPT_SILENT;
      if (mode == GATE_HANG)
        ev_io_stop (gate->loop, &connection->requests.readable);
      if (mode == GATE_HANG || mode == GATE_ONE_WAY)
        ev_io_stop (gate->loop, &connection->responses.readable);
    }
}
