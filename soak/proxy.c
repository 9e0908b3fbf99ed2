#include "soak/proxy.h"
#include "common/buf.h"
#include "common/id.h"
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  FAULT_DELAY_MS = 150, /* many times a usual response, well below timeouts */
  READ_BYTES = 16 * 1024,
  LISTEN_BACKLOG = 128,
};

static const double FORWARD_INTERVAL_S = 0.01;

/* One direction of a connection. */
struct direction
{
  struct connection *connection;
  int from;
  int to;
  ev_io read_watcher;
  struct buf pending;
  int64_t oldest_ms; /* when the oldest pending byte was received */
  bool is_request;
  bool has_discarded; /* nothing that follows lost bytes may arrive */
  bool at_eof;
};

/* Owned by its proxy. */
struct connection
{
  struct proxy *proxy;
  struct direction directions[2];
  struct connection *next;
  bool closed;
};

struct proxy
{
  struct ev_loop *loop;
  int listener;
  uint16_t target_port;
  ev_io accept_watcher;
  ev_timer forward_timer;
  enum proxy_fault fault;
  struct connection *connections;
};

/* Returns the name of FAULT for log output.  */
const char *
proxy_fault_name (enum proxy_fault fault)
{
  static const char *const names[PROXY_FAULTS] = {
    "none", "delay", "reset", "drop requests", "drop answers", "silent"
  };

  return names[fault];
}

static struct sockaddr_in
loopback (uint16_t port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons (port),
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
}

static void
close_connection (struct connection *connection, bool reset)
{
  struct linger linger = { .l_onoff = 1 };

  if (connection->closed)
    return;
  connection->closed = true;
  for (int i = 0; i < 2; i++)
    {
      struct direction *direction = &connection->directions[i];

      ev_io_stop (connection->proxy->loop, &direction->read_watcher);
      if (reset)
        setsockopt (direction->from, SOL_SOCKET, SO_LINGER, &linger,
                    sizeof linger);
      close (direction->from);
      buf_release (&direction->pending);
    }
}

static bool
discards_data (const struct direction *direction)
{
  enum proxy_fault fault = direction->connection->proxy->fault;

  return (fault == PROXY_DROP_REQUESTS && direction->is_request)
         || (fault == PROXY_DROP_RESPONSES && !direction->is_request);
}

static void
handle_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct direction *direction = watcher->data;
  char bytes[READ_BYTES];
  ssize_t len = recv (direction->from, bytes, sizeof bytes, MSG_DONTWAIT);

  if (len > 0)
    {
      if (direction->pending.len == 0)
        direction->oldest_ms = clock_now_ms ();
      direction->has_discarded
          = direction->has_discarded || discards_data (direction);
      if (!direction->has_discarded)
        buf_append (&direction->pending, bytes, (size_t)len);
      return;
    }
  direction->at_eof = true;
  ev_io_stop (loop, watcher);
}

/* Forwards pending data unless the current fault holds it back.  */
static void
forward_pending (struct direction *direction, int64_t now_ms)
{
  enum proxy_fault fault = direction->connection->proxy->fault;
  ssize_t sent;

  if (fault == PROXY_STALL
      || (fault == PROXY_DELAY
          && now_ms - direction->oldest_ms < FAULT_DELAY_MS))
    return;
  if (direction->pending.len > 0)
    {
      sent = send (direction->to, direction->pending.data,
                   direction->pending.len, MSG_DONTWAIT | MSG_NOSIGNAL);
      if (sent > 0)
        buf_consume (&direction->pending, (size_t)sent);
    }
  if (direction->at_eof && direction->pending.len == 0)
    close_connection (direction->connection, false);
}

static void
free_closed_connections (struct proxy *proxy)
{
  struct connection **slot = &proxy->connections;

  while (*slot)
    {
      struct connection *connection = *slot;

      if (!connection->closed)
        {
          slot = &connection->next;
          continue;
        }
      *slot = connection->next;
      free (connection);
    }
}

static void
handle_forward_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct proxy *proxy = timer->data;
  int64_t now_ms = clock_now_ms ();

  for (struct connection *connection = proxy->connections; connection;
       connection = connection->next)
    for (int i = 0; i < 2 && !connection->closed; i++)
      forward_pending (&connection->directions[i], now_ms);
  free_closed_connections (proxy);
}

static void
start_direction (struct connection *connection, int index, int from, int to)
{
  struct direction *direction = &connection->directions[index];

  *direction = (struct direction){
    .connection = connection, .from = from, .to = to, .is_request = index == 0
  };
  ev_io_init (&direction->read_watcher, handle_readable, from, EV_READ);
  direction->read_watcher.data = direction;
  ev_io_start (connection->proxy->loop, &direction->read_watcher);
}

static void
handle_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct proxy *proxy = watcher->data;
  struct sockaddr_in address = loopback (proxy->target_port);
  int from = accept4 (proxy->listener, NULL, NULL, SOCK_CLOEXEC);
  int to = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct connection *connection;

  if (from < 0 || to < 0 || proxy->fault == PROXY_RESET
      || connect (to, (struct sockaddr *)&address, sizeof address) < 0)
    {
      close (from);
      close (to);
      return;
    }
  connection = xcalloc (1, sizeof *connection);
  connection->proxy = proxy;
  start_direction (connection, 0, from, to);
  start_direction (connection, 1, to, from);
  connection->next = proxy->connections;
  proxy->connections = connection;
}

/* Listens on PORT and forwards connections to TARGET_PORT.  Returns NULL if
   PORT cannot be bound.  */
struct proxy *
proxy_create (struct ev_loop *loop, uint16_t port, uint16_t target_port)
{
  struct proxy *proxy = xcalloc (1, sizeof *proxy);
  struct sockaddr_in address = loopback (port);
  int on = 1;

  proxy->loop = loop;
  proxy->target_port = target_port;
  proxy->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (proxy->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (proxy->listener, (struct sockaddr *)&address, sizeof address) < 0
      || listen (proxy->listener, LISTEN_BACKLOG) < 0)
    {
      close (proxy->listener);
      free (proxy);
      return NULL;
    }
  ev_io_init (&proxy->accept_watcher, handle_accept, proxy->listener, EV_READ);
  proxy->accept_watcher.data = proxy;
  ev_io_start (loop, &proxy->accept_watcher);
  ev_timer_init (&proxy->forward_timer, handle_forward_timer,
                 FORWARD_INTERVAL_S, FORWARD_INTERVAL_S);
  proxy->forward_timer.data = proxy;
  ev_timer_start (loop, &proxy->forward_timer);
  return proxy;
}

/* Closes every connection and frees the proxy.  */
void
proxy_destroy (struct proxy *proxy)
{
  if (!proxy)
    return;
  for (struct connection *connection = proxy->connections; connection;
       connection = connection->next)
    close_connection (connection, true);
  free_closed_connections (proxy);
  ev_io_stop (proxy->loop, &proxy->accept_watcher);
  ev_timer_stop (proxy->loop, &proxy->forward_timer);
  close (proxy->listener);
  free (proxy);
}

/* Applies FAULT until the next call.  */
void
proxy_set_fault (struct proxy *proxy, enum proxy_fault fault)
{
  proxy->fault = fault;
  if (fault != PROXY_RESET)
    return;
  for (struct connection *connection = proxy->connections; connection;
       connection = connection->next)
    close_connection (connection, true);
  free_closed_connections (proxy);
}
