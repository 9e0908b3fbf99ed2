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
  DELAY_MS = 150, /* many times a usual answer, well below time-outs */
  CHUNK_BYTES = 16 * 1024,
  BACKLOG = 128,
};

static const double TICK_S = 0.01;

/* One direction of a connection. */
struct half
{
  struct tunnel *tunnel;
  int from;
  int to;
  ev_io readable;
  struct buf pending;
  int64_t since_ms; /* when the oldest pending byte came */
  bool is_request;
  bool ended;
};

/* Owned by its proxy. */
struct tunnel
{
  struct proxy *proxy;
  struct half halves[2];
  struct tunnel *next;
  bool closed;
};

struct proxy
{
  struct ev_loop *loop;
  int listener;
  uint16_t target_port;
  ev_io acceptable;
  ev_timer tick;
  enum proxy_fault fault;
  struct tunnel *tunnels;
};

/* Returns what a fault is called in reports.  */
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
close_tunnel (struct tunnel *tunnel, bool reset)
{
  struct linger linger = { .l_onoff = 1 };

  if (tunnel->closed)
    return;
  tunnel->closed = true;
  for (int i = 0; i < 2; i++)
    {
      struct half *half = &tunnel->halves[i];

      ev_io_stop (tunnel->proxy->loop, &half->readable);
      if (reset)
        setsockopt (half->from, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
      close (half->from);
      buf_release (&half->pending);
    }
}

static bool
is_lost (const struct half *half)
{
  enum proxy_fault fault = half->tunnel->proxy->fault;

  return (fault == PROXY_DROP_REQUESTS && half->is_request)
         || (fault == PROXY_DROP_ANSWERS && !half->is_request);
}

static void
handle_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct half *half = watcher->data;
  char bytes[CHUNK_BYTES];
  ssize_t len = recv (half->from, bytes, sizeof bytes, MSG_DONTWAIT);

  if (len > 0)
    {
      if (half->pending.len == 0)
        half->since_ms = clock_now_ms ();
      if (!is_lost (half))
        buf_append (&half->pending, bytes, (size_t)len);
      return;
    }
  half->ended = true;
  ev_io_stop (loop, watcher);
}

/* Passes on what may pass now.  */
static void
push (struct half *half, int64_t now_ms)
{
  enum proxy_fault fault = half->tunnel->proxy->fault;
  ssize_t sent;

  if (fault == PROXY_SILENT
      || (fault == PROXY_DELAY && now_ms - half->since_ms < DELAY_MS))
    return;
  if (half->pending.len > 0)
    {
      sent = send (half->to, half->pending.data, half->pending.len,
                   MSG_DONTWAIT | MSG_NOSIGNAL);
      if (sent > 0)
        buf_consume (&half->pending, (size_t)sent);
    }
  if (half->ended && half->pending.len == 0)
    close_tunnel (half->tunnel, false);
}

static void
sweep (struct proxy *proxy)
{
  struct tunnel **slot = &proxy->tunnels;

  while (*slot)
    {
      struct tunnel *tunnel = *slot;

      if (!tunnel->closed)
        {
          slot = &tunnel->next;
          continue;
        }
      *slot = tunnel->next;
      free (tunnel);
    }
}

static void
handle_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct proxy *proxy = timer->data;
  int64_t now_ms = clock_now_ms ();

  for (struct tunnel *tunnel = proxy->tunnels; tunnel; tunnel = tunnel->next)
    for (int i = 0; i < 2 && !tunnel->closed; i++)
      push (&tunnel->halves[i], now_ms);
  sweep (proxy);
}

static void
open_half (struct tunnel *tunnel, int index, int from, int to)
{
  struct half *half = &tunnel->halves[index];

  *half = (struct half){
    .tunnel = tunnel, .from = from, .to = to, .is_request = index == 0
  };
  ev_io_init (&half->readable, handle_readable, from, EV_READ);
  half->readable.data = half;
  ev_io_start (tunnel->proxy->loop, &half->readable);
}

static void
handle_acceptable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct proxy *proxy = watcher->data;
  struct sockaddr_in address = loopback (proxy->target_port);
  int from = accept4 (proxy->listener, NULL, NULL, SOCK_CLOEXEC);
  int to = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct tunnel *tunnel;

  if (from < 0 || to < 0 || proxy->fault == PROXY_RESET
      || connect (to, (struct sockaddr *)&address, sizeof address) < 0)
    {
      close (from);
      close (to);
      return;
    }
  tunnel = xcalloc (1, sizeof *tunnel);
  tunnel->proxy = proxy;
  open_half (tunnel, 0, from, to);
  open_half (tunnel, 1, to, from);
  tunnel->next = proxy->tunnels;
  proxy->tunnels = tunnel;
}

/* Listens on PORT for TARGET_PORT.  NULL where the port is not free.  */
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
      || listen (proxy->listener, BACKLOG) < 0)
    {
      close (proxy->listener);
      free (proxy);
      return NULL;
    }
  ev_io_init (&proxy->acceptable, handle_acceptable, proxy->listener, EV_READ);
  proxy->acceptable.data = proxy;
  ev_io_start (loop, &proxy->acceptable);
  ev_timer_init (&proxy->tick, handle_tick, TICK_S, TICK_S);
  proxy->tick.data = proxy;
  ev_timer_start (loop, &proxy->tick);
  return proxy;
}

/* Closes every connection and frees the proxy.  */
void
proxy_destroy (struct proxy *proxy)
{
  if (!proxy)
    return;
  for (struct tunnel *tunnel = proxy->tunnels; tunnel; tunnel = tunnel->next)
    close_tunnel (tunnel, true);
  sweep (proxy);
  ev_io_stop (proxy->loop, &proxy->acceptable);
  ev_timer_stop (proxy->loop, &proxy->tick);
  close (proxy->listener);
  free (proxy);
}

/* Begins FAULT, which ends with the next call.  */
void
proxy_set_fault (struct proxy *proxy, enum proxy_fault fault)
{
  proxy->fault = fault;
  if (fault != PROXY_RESET)
    return;
  for (struct tunnel *tunnel = proxy->tunnels; tunnel; tunnel = tunnel->next)
    close_tunnel (tunnel, true);
  sweep (proxy);
}
