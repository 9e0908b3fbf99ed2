#include "common/buf.h"
#include "common/id.h"
#include "common/mailbox.h"
#include "platform/traffic.h"
#include "suites.h"
#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

enum
{
  CALLER_PORT = 23921,
  RECEIVE_TIMEOUT_S = 5,
  LOOPBACK_DELAY_MS = 50, /* time for bytes to arrive over loopback */
};

static const char request[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

static void
drop_report (void *data, void *message)
{
  node_report_destroy (message);
}

static int
connect_caller (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (CALLER_PORT),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  struct timeval limit = { .tv_sec = RECEIVE_TIMEOUT_S };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  CU_ASSERT_EQUAL_FATAL (
      connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  return fd;
}

/* Guards against a crash on shutdown: a caller sends a request on an open
   connection after the traffic thread has exited, so that the request is read
   only while node_traffic_destroy runs.  */
static void
test_request_after_thread_exit (void)
{
  struct platform_settings settings = { .host = "h",
                                        .data_centre = "d",
                                        .role = "entry",
                                        .caller_listen = "127.0.0.1:23921",
                                        .health_listen = "127.0.0.1:23922",
                                        .peer_listen = "127.0.0.1:23923",
                                        .store_address = "127.0.0.1:23924",
                                        .stop_grace_s = 1,
                                        .limit_window_s = 1,
                                        .max_connections = 10 };
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct mailbox *control = mailbox_create (loop, drop_report, NULL);
  struct node_message *quit = xcalloc (1, sizeof *quit);
  struct node_traffic *traffic;
  struct error error;
  char response[1024];
  int fd;

  traffic = node_traffic_create (&settings, control, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (traffic);
  CU_ASSERT_TRUE (node_traffic_start (traffic, &error));
  fd = connect_caller ();
  CU_ASSERT_EQUAL (send (fd, request, strlen (request), 0),
                   (ssize_t)strlen (request));
  CU_ASSERT (recv (fd, response, sizeof response, 0) > 0);
  quit->kind = NODE_QUIT;
  node_traffic_post (traffic, quit);
  node_traffic_join (traffic);
  CU_ASSERT_EQUAL (send (fd, request, strlen (request), 0),
                   (ssize_t)strlen (request));
  ev_sleep (LOOPBACK_DELAY_MS / 1000.0);
  node_traffic_destroy (traffic);
  close (fd);
  mailbox_drain (control, drop_report, NULL);
  mailbox_destroy (control);
  ev_loop_destroy (loop);
}

CU_TestInfo node_traffic_tests[] = {
  { "request after the traffic thread has exited",
    test_request_after_thread_exit },
  CU_TEST_INFO_NULL,
};
