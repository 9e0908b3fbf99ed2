#include "http_caller.h"
#include "common/id.h"
#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  RECEIVE_BYTES = 16 * 1024,
  RECEIVE_BUFFER_BYTES = 4 * 1024, /* so that a paused caller holds little */
};

static const char HEAD_END[] = "\r\n\r\n";
static const char LAST_CHUNK[] = "\r\n0\r\n\r\n";

static void
finish (struct http_caller *caller, enum http_end end)
{
  if (caller->end != HTTP_PENDING)
    return;
  caller->end = end;
  caller->end_ms = clock_now_ms ();
}

/* Returns the length of the response with its head, or 0 if its head or its
   last chunk has not arrived.  */
static size_t
whole_len (const struct http_caller *caller)
{
  const char *text = caller->got.data;
  const char *body = strstr (text, HEAD_END);
  const char *length = strcasestr (text, "\r\nContent-Length:");
  const char *last;

  if (!body)
    return 0;
  body += strlen (HEAD_END);
  if (length && length < body)
    return (size_t)(body - text)
           + strtoul (strchr (length + 2, ':') + 1, NULL, 10);
  /* The line before the first chunk ends the head. */
  last = strstr (body - strlen ("\r\n"), LAST_CHUNK);
  return last ? (size_t)(last - text) + strlen (LAST_CHUNK) : 0;
}

static void
examine (struct http_caller *caller)
{
  size_t whole = whole_len (caller);

  if (caller->status == 0 && strstr (caller->got.data, HEAD_END))
    caller->status
        = (int)strtol (caller->got.data + strlen ("HTTP/1.1 "), NULL, 10);
  if (whole == 0 || caller->got.len < whole)
    return;
  finish (caller, HTTP_COMPLETE);
  caller->excess = caller->got.len - whole;
}

static void
handle_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct http_caller *caller = watcher->data;
  char bytes[RECEIVE_BYTES];
  ssize_t got = recv (caller->fd, bytes, sizeof bytes, 0);

  if (got < 0 && errno == EAGAIN)
    return;
  if (got <= 0)
    {
      ev_io_stop (loop, watcher);
      finish (caller, HTTP_CUT);
      return;
    }
  caller->heard_ms = clock_now_ms ();
  buf_append (&caller->got, bytes, (size_t)got);
  buf_append (&caller->got, "", 1);
  caller->got.len--;
  examine (caller);
}

/* Connects to PORT of this machine and sends REQUEST.  */
struct http_caller *
http_caller_create (struct ev_loop *loop, uint16_t port, const char *request)
{
  struct http_caller *caller = xcalloc (1, sizeof *caller);
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
                                 .sin_port = htons (port) };
  int bytes = RECEIVE_BUFFER_BYTES;

  caller->loop = loop;
  caller->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (caller->fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  CU_ASSERT_EQUAL_FATAL (
      connect (caller->fd, (struct sockaddr *)&address, sizeof address), 0);
  fcntl (caller->fd, F_SETFL, O_NONBLOCK);
  CU_ASSERT_EQUAL (send (caller->fd, request, strlen (request), MSG_NOSIGNAL),
                   (ssize_t)strlen (request));
  caller->sent_ms = clock_now_ms ();
  ev_io_init (&caller->readable, handle_readable, caller->fd, EV_READ);
  caller->readable.data = caller;
  ev_io_start (loop, &caller->readable);
  return caller;
}

/* Returns a port of this machine that nobody listens on, for tests that run
   side by side.  */
uint16_t
http_caller_free_port (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *)&address, len), 0);
  getsockname (fd, (struct sockaddr *)&address, &len);
  close (fd);
  return ntohs (address.sin_port);
}

/* Reads nothing until http_caller_resume is called.  */
void
http_caller_pause (struct http_caller *caller)
{
  ev_io_stop (caller->loop, &caller->readable);
}

/* Reads on.  */
void
http_caller_resume (struct http_caller *caller)
{
  if (caller->fd >= 0 && caller->end != HTTP_CUT)
    ev_io_start (caller->loop, &caller->readable);
}

/* Closes the connection.  */
void
http_caller_leave (struct http_caller *caller)
{
  ev_io_stop (caller->loop, &caller->readable);
  if (caller->fd >= 0)
    close (caller->fd);
  caller->fd = -1;
}

/* Whether the response contains TEXT so far.  */
bool
http_caller_has (const struct http_caller *caller, const char *text)
{
  return caller->got.data && strstr (caller->got.data, text);
}

/* Closes the connection and frees the caller.  */
void
http_caller_destroy (struct http_caller *caller)
{
  if (!caller)
    return;
  http_caller_leave (caller);
  buf_release (&caller->got);
  free (caller);
}
