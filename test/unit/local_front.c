#include "local_front.h"
#include "common/id.h"
#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  ASK_MS = 3000, /* for an answer */
  ENDPOINTS = 2,
};

static const double WAKE_S = 0.001;

static void
ignore_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
}

/* Returns the value of the header NAME, with its colon, in TEXT.  The caller
   frees it.  */
static char *
find_value (const char *text, const char *name)
{
  const char *at = strcasestr (text, name);

  at = at ? at + strlen (name) + strspn (at + strlen (name), " ") : "";
  return g_strndup (at, strcspn (at, "\r\n"));
}

static struct raw_answer
answer (void *data, struct raw_endpoint *endpoint, const char *request)
{
  struct local_front *front = data;
  char *id = find_value (request, "\r\nAttempt-Id:");
  bool is_head = g_str_has_prefix (request, "HEAD ");

  g_ptr_array_add (front->requests, g_strdup (request));
  if (front->handle)
    {
      g_free (id);
      return front->handle (data, endpoint, request);
    }
  free (front->sent);
  front->sent = xasprintf (
      "%s\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\n%s",
      front->status_line ? front->status_line : "HTTP/1.1 200 OK", id,
      front->answer ? front->answer
      : is_head     ? "Content-Length: 4\r\n\r\n"
                    : "Content-Length: 4\r\n\r\nbody");
  g_free (id);
  return (struct raw_answer){ .bytes = front->sent,
                              .len = strlen (front->sent),
                              .end = RAW_KEEP };
}

/* Starts a host for callers.  If IS_RELAYED another host sends for it.  */
void
local_front_open (struct local_front *front, const struct local_route *route,
                  bool is_relayed)
{
  struct local_pipeline_options options = { .route = *route,
                                            .endpoint_count = ENDPOINTS,
                                            .answer = answer,
                                            .data = front };
  struct frontend_options frontend
      = { .listen = "127.0.0.1:0", .max_connections = 16 };
  struct error error;

  *front = (struct local_front){ 0 };
  front->requests = g_ptr_array_new_with_free_func (g_free);
  if (is_relayed)
    {
      front->helper = options.shared = local_pipeline_create (&options);
      options.host = "y";
    }
  front->local = local_pipeline_create (&options);
  if (is_relayed)
    {
      local_pipeline_use_helper (front->local);
      for (size_t i = 0; i < ENDPOINTS; i++)
        pool_at (front->local->pool, i)->unreachable = true;
    }
  frontend.loop = front->local->loop;
  frontend.pipeline = front->local->pipeline;
  front->frontend = frontend_create (&frontend, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (front->frontend);
}

void
local_front_close (struct local_front *front)
{
  pipeline_abort (front->local->pipeline);
  frontend_destroy (front->frontend);
  local_pipeline_destroy (front->local);
  if (front->helper)
    local_pipeline_destroy (front->helper);
  g_ptr_array_free (front->requests, TRUE);
  free (front->sent);
}

/* Runs the host for MS.  */
void
local_front_run (struct local_front *front, int64_t ms)
{
  int64_t until_ms = clock_now_ms () + ms;
  ev_timer timer;

  ev_timer_init (&timer, ignore_timer, WAKE_S, WAKE_S);
  ev_timer_start (front->local->loop, &timer);
  while (clock_now_ms () < until_ms)
    ev_run (front->local->loop, EVRUN_ONCE);
  ev_timer_stop (front->local->loop, &timer);
}

static int
connect_to (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_port = htons (port);
  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  CU_ASSERT_EQUAL_FATAL (
      connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  return fd;
}

/* Appends what has arrived on FD to ANSWER.  */
static void
receive (int fd, struct front_answer *got, size_t *len)
{
  char bytes[4096];
  ssize_t count;

  while ((count = recv (fd, bytes, sizeof bytes, MSG_DONTWAIT)) > 0)
    {
      size_t room = sizeof got->head - 1 - *len;
      size_t taken = MIN ((size_t)count, room);

      memcpy (got->head + *len, bytes, taken);
      *len += taken;
      got->head[*len] = '\0';
    }
  got->is_closed = count == 0 || errno == ECONNRESET;
}

/* Sends the LEN bytes of REQUEST over a connection of its own and returns the
   first answer.  What follows within a short time runs, too.  */
struct front_answer
local_front_ask (struct local_front *front, const char *request, size_t len)
{
  int fd = connect_to (frontend_port (front->frontend));
  struct front_answer got = { .status = 0 };
  int64_t sent_ms = clock_now_ms ();
  size_t got_len = 0;

  CU_ASSERT_EQUAL (send (fd, request, len, MSG_NOSIGNAL), (ssize_t)len);
  while (!got.status && !got.is_closed && clock_now_ms () - sent_ms < ASK_MS)
    {
      local_front_run (front, 1);
      receive (fd, &got, &got_len);
      if (strstr (got.head, "\r\n\r\n"))
        got.status = (int)strtol (got.head + strlen ("HTTP/1.1 "), NULL, 10);
    }
  got.took_ms = clock_now_ms () - sent_ms;
  for (int64_t i = 0; i < front->after_ms && !got.is_closed; i++)
    {
      local_front_run (front, 1);
      receive (fd, &got, &got_len);
    }
  close (fd);
  local_front_run (front, 1);
  return got;
}
