#include "allocated.h"
#include "common/buf.h"
#include "common/counters.h"
#include "common/id.h"
#include "common/mailbox.h"
#include "common/memory.h"
#include "platform/traffic.h"
#include "suites.h"
#include "wide_routing.h"
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

enum
{
  PORT_A = 24061, /* and the next two; of host "a" */
  PORT_B = 24071, /* of host "b" */
  RECEIVE_TIMEOUT_S = 5,
  MAX_ACCOUNT_ERROR_PERCENT = 10,
  WIDE_ROUTES = 3000,
  WIDE_ENDPOINTS = 3000,
  WIDE_HOSTS = 380,
  STORM_CHANGES = 20,
  OBJECT_BYTES = 100 * 1024, /* the feed's update of a wide configuration */
  STORM_FRAMES = 200,
  STORM_SMALL_FRAMES = 2 * MAILBOX_SLOTS,
  FLOOD_FRAMES = 2 * MAILBOX_SLOTS, /* more than fit into a queue */
  FLOOD_BURST = 64,                 /* frames, then a pause */
  FLOOD_PAUSE_US = 1000,
  STOP_US = 1500 * 1000,
};

static const char request[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

static void
drop_report (void *data, void *message)
{
  uint32_t *count = data;

  if (count)
    (*count)++;
  node_report_destroy (message);
}

static int
connect_to (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  struct timeval limit = { .tv_sec = RECEIVE_TIMEOUT_S };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  CU_ASSERT_EQUAL_FATAL (
      connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  return fd;
}

/* Creates the traffic of an entry host whose name is NAME, with the ports from
   PORT on.  */
static struct node_traffic *
create_host (struct platform_settings *settings, const char *name,
             uint16_t port, struct mailbox *control)
{
  struct node_traffic *traffic;
  struct error error;

  *settings = (struct platform_settings){
    .host = xstrdup (name),
    .data_centre = xstrdup ("d"),
    .role = xstrdup ("entry"),
    .caller_listen = xasprintf ("127.0.0.1:%u", port),
    .health_listen = xasprintf ("127.0.0.1:%u", port + 1),
    .peer_listen = xasprintf ("127.0.0.1:%u", port + 2),
    .store_address = xstrdup ("127.0.0.1:23924"),
    .stop_grace_s = 1,
    .limit_window_s = 1,
    .max_connections = 10,
  };
  traffic = node_traffic_create (settings, control, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (traffic);
  return traffic;
}

static void
post (struct node_traffic *traffic, struct node_message content)
{
  struct node_message *message = xcalloc (1, sizeof *message);

  *message = content;
  node_traffic_post (traffic, message);
}

/* Posts a frame to HOST with an object of BYTES, as the feed does.  Returns
   false if it was dropped.  */
static bool
post_frame (struct node_traffic *traffic, const char *host, size_t bytes)
{
  struct node_message *message = xcalloc (1, sizeof *message);
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__FeedUpdate update = PEER__FEED_UPDATE__INIT;
  Peer__FeedObject object = PEER__FEED_OBJECT__INIT;
  Peer__FeedObject *objects[] = { &object };
  bool is_posted;

  object.name = (char *)"main";
  object.text.data = xcalloc (1, bytes + 1);
  object.text.len = bytes;
  update.objects = objects;
  update.n_objects = 1;
  frame.body_case = PEER__FRAME__BODY_FEED_UPDATE;
  frame.feed_update = &update;
  message->kind = NODE_SEND;
  message->host = xstrdup (host);
  node_message_pack (&message->frame, &frame);
  is_posted = node_traffic_post (traffic, message);
  free (object.text.data);
  return is_posted;
}

static struct routing *
create_version (int64_t version)
{
  struct wide_size size = {
    .version = version, .routes = WIDE_ROUTES, .services = 6, .customers = 300
  };
  struct routing *routing = wide_routing_create (&size);

  routing_build_index (routing);
  return routing;
}

static struct endpoint_list *
create_endpoints (void)
{
  struct endpoint_list *list = xcalloc (1, sizeof *list);

  list->entries = xcalloc (WIDE_ENDPOINTS, sizeof *list->entries);
  for (uint32_t i = 0; i < WIDE_ENDPOINTS; i++)
    list->entries[list->count++]
        = (struct endpoint_entry){ .id = xasprintf ("endpoint-%u", i),
                                   .service = xstrdup ("app"),
                                   .address = xstrdup ("127.0.0.1:23925"),
                                   .data_centre = xstrdup ("d"),
                                   .slots = 8 };
  return list;
}

/* Returns a list of two hosts, whose ports begin with PORT_A and PORT_B.  */
static struct host_list *
create_hosts (void)
{
  struct host_list *list = xcalloc (1, sizeof *list);

  list->entries = xcalloc (2, sizeof *list->entries);
  list->entries[list->count++]
      = (struct host_entry){ .name = xstrdup ("a"),
                             .address = xasprintf ("127.0.0.1:%u", PORT_A + 2),
                             .data_centre = xstrdup ("d") };
  list->entries[list->count++]
      = (struct host_entry){ .name = xstrdup ("b"),
                             .address = xasprintf ("127.0.0.1:%u", PORT_B + 2),
                             .data_centre = xstrdup ("d") };
  return list;
}

/* Asserts that what the message of KIND takes, whose content CREATE fills in,
   is accounted.  */
static void
check_account (enum node_message_kind kind,
               void (*create) (struct node_message *message))
{
  int64_t accounted = memory_used (MEMORY_MESSAGES);
  int64_t allocated = allocated_bytes ();
  struct node_message *message = xcalloc (1, sizeof *message);

  message->kind = kind;
  create (message);
  node_message_account (message);
  accounted = memory_used (MEMORY_MESSAGES) - accounted;
  allocated = allocated_bytes () - allocated;
  if (!HAS_SANITIZER_ALLOCATOR)
    CU_ASSERT (llabs (accounted - allocated) * 100
               <= allocated * MAX_ACCOUNT_ERROR_PERCENT);
  node_message_destroy (message);
}

static void
fill_endpoints (struct node_message *message)
{
  message->endpoints = create_endpoints ();
}

/* The list of a fleet in two years.  */
static void
fill_hosts (struct node_message *message)
{
  struct host_list *list = xcalloc (1, sizeof *list);

  list->entries = xcalloc (WIDE_HOSTS, sizeof *list->entries);
  for (uint32_t i = 0; i < WIDE_HOSTS; i++)
    list->entries[list->count++]
        = (struct host_entry){ .name = xasprintf ("entry-%u", i),
                               .address = xasprintf ("10.0.0.1:%u", i),
                               .data_centre = xstrdup ("ke-central") };
  message->hosts = list;
}

/* Guards against accounts that do not tell what one more endpoint or host
   takes while its list waits.  */
static void
test_account_of_lists (void)
{
  int64_t before = memory_used (MEMORY_MESSAGES);

  check_account (NODE_ENDPOINTS, fill_endpoints);
  check_account (NODE_HOSTS, fill_hosts);
  CU_ASSERT_EQUAL (memory_used (MEMORY_MESSAGES), before);
}

/* Guards against a process that runs out of memory while its traffic thread is
   busy: whole versions, endpoint lists and host lists of a storm of changes
   wait for it, of which only the newest matter.  */
static void
test_only_the_newest_waits (void)
{
  int64_t versions = counter_get (COUNTER_CONFIG_VERSIONS);
  int64_t one_list = 0;
  struct platform_settings settings;
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct mailbox *control = mailbox_create (loop, drop_report, NULL);
  struct node_traffic *traffic = create_host (&settings, "a", PORT_A, control);
  int64_t messages = memory_used (MEMORY_MESSAGES);

  for (uint32_t i = 0; i < STORM_CHANGES; i++)
    {
      post (traffic, (struct node_message){ .kind = NODE_ROUTING,
                                            .routing = create_version (i) });
      post (traffic,
            (struct node_message){ .kind = NODE_ENDPOINTS,
                                   .endpoints = create_endpoints () });
      post (traffic, (struct node_message){ .kind = NODE_HOSTS,
                                            .hosts = create_hosts () });
      if (i == 0)
        one_list = memory_used (MEMORY_MESSAGES) - messages;
      CU_ASSERT (counter_get (COUNTER_CONFIG_VERSIONS) <= versions + 1);
      CU_ASSERT_EQUAL (memory_used (MEMORY_MESSAGES) - messages, one_list);
    }
  CU_ASSERT (one_list > 0);
  node_traffic_destroy (traffic);
  platform_settings_release (&settings);
  mailbox_destroy (control);
  ev_loop_destroy (loop);
  CU_ASSERT_EQUAL (counter_get (COUNTER_CONFIG_VERSIONS), versions);
  CU_ASSERT_EQUAL (memory_used (MEMORY_MESSAGES), messages);
}

/* Guards against the same by frames of the feed, which hosts ask for again
   when they are lost.  */
static void
test_frames_that_wait_are_bounded (void)
{
  struct platform_settings settings;
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct mailbox *control = mailbox_create (loop, drop_report, NULL);
  struct node_traffic *traffic = create_host (&settings, "a", PORT_A, control);
  int64_t messages = memory_used (MEMORY_MESSAGES);
  int64_t dropped = counter_get (COUNTER_FRAMES_DROPPED);
  int64_t before = dropped;

  for (uint32_t i = 0; i < STORM_FRAMES; i++)
    {
      CU_ASSERT_EQUAL (post_frame (traffic, "b", OBJECT_BYTES),
                       counter_get (COUNTER_FRAMES_DROPPED) == before);
      before = counter_get (COUNTER_FRAMES_DROPPED);
      CU_ASSERT (memory_used (MEMORY_MESSAGES) - messages
                 <= NODE_FRAMES_MAX_BYTES);
    }
  CU_ASSERT (counter_get (COUNTER_FRAMES_DROPPED) - dropped
             >= STORM_FRAMES - NODE_FRAMES_MAX_BYTES / OBJECT_BYTES);
  dropped = counter_get (COUNTER_FRAMES_DROPPED);
  /* Beacons are still passed on, or other hosts would take this one for
     silent. */
  post_frame (traffic, "b", 1);
  CU_ASSERT_EQUAL (counter_get (COUNTER_FRAMES_DROPPED), dropped);
  for (uint32_t i = 0; i < STORM_SMALL_FRAMES; i++)
    post_frame (traffic, "b", 1);
  CU_ASSERT (memory_used (MEMORY_MESSAGES) - messages
             <= NODE_FRAMES_MAX_BYTES + NODE_SMALL_FRAMES_BYTES);
  node_traffic_destroy (traffic);
  platform_settings_release (&settings);
  mailbox_destroy (control);
  ev_loop_destroy (loop);
  CU_ASSERT_EQUAL (memory_used (MEMORY_MESSAGES), messages);
}

/* Returns the status of the health check of the host whose ports begin with
   PORT, or 0 if it does not answer.  */
static int
ask_health (uint16_t port)
{
  char response[1024] = "";
  int fd = connect_to ((uint16_t)(port + 1));
  int status = 0;

  CU_ASSERT_EQUAL (send (fd, request, strlen (request), 0),
                   (ssize_t)strlen (request));
  if (recv (fd, response, sizeof response - 1, 0) > 0)
    sscanf (response, "HTTP/1.1 %d", &status);
  close (fd);
  return status;
}

/* Guards against threads that wait for each other for ever: the control thread
   takes nothing, as it waits for room with the traffic thread, which waits for
   room to pass on what other hosts send.  */
static void
test_full_control_does_not_stop_traffic (void)
{
  struct platform_settings settings[2];
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct mailbox *control_a = mailbox_create (loop, drop_report, NULL);
  struct mailbox *control_b = mailbox_create (loop, drop_report, NULL);
  int64_t messages = memory_used (MEMORY_MESSAGES);
  struct node_traffic *a = create_host (&settings[0], "a", PORT_A, control_a);
  struct node_traffic *b = create_host (&settings[1], "b", PORT_B, control_b);
  int64_t dropped = counter_get (COUNTER_FRAMES_DROPPED);
  int64_t until_ms = clock_now_ms () + (int64_t)RECEIVE_TIMEOUT_S * 1000;
  uint32_t waiting = 0;
  struct error error;

  CU_ASSERT_TRUE (node_traffic_start (a, &error));
  CU_ASSERT_TRUE (node_traffic_start (b, &error));
  post (a,
        (struct node_message){ .kind = NODE_HOSTS, .hosts = create_hosts () });
  post (b,
        (struct node_message){ .kind = NODE_HOSTS, .hosts = create_hosts () });
  for (uint32_t i = 0; i < FLOOD_FRAMES; i++)
    {
      post_frame (a, "b", 1);
      if (i % FLOOD_BURST == 0)
        usleep (FLOOD_PAUSE_US);
    }
  while (counter_get (COUNTER_FRAMES_DROPPED) == dropped
         && clock_now_ms () < until_ms)
    usleep (FLOOD_PAUSE_US);
  CU_ASSERT (counter_get (COUNTER_FRAMES_DROPPED) > dropped);
  CU_ASSERT_EQUAL (ask_health (PORT_B), 503);
  CU_ASSERT (memory_used (MEMORY_MESSAGES) - messages
             <= 2 * (NODE_FRAMES_MAX_BYTES + NODE_SMALL_FRAMES_BYTES));
  mailbox_drain (control_b, drop_report, &waiting);
  CU_ASSERT (waiting >= MAILBOX_SLOTS - 1);
  post (a, (struct node_message){ .kind = NODE_QUIT });
  node_traffic_join (a);
  mailbox_drain (control_b, drop_report, NULL);
  post (b, (struct node_message){ .kind = NODE_QUIT });
  node_traffic_join (b);
  node_traffic_destroy (a);
  node_traffic_destroy (b);
  for (int i = 0; i < 2; i++)
    platform_settings_release (&settings[i]);
  mailbox_drain (control_a, drop_report, NULL);
  mailbox_drain (control_b, drop_report, NULL);
  mailbox_destroy (control_a);
  mailbox_destroy (control_b);
  ev_loop_destroy (loop);
  CU_ASSERT_EQUAL (memory_used (MEMORY_MESSAGES), messages);
}

static void
note_drained (void *data, void *message)
{
  bool *is_drained = data;

  *is_drained
      = *is_drained || ((struct node_report *)message)->event == NODE_DRAINED;
  node_report_destroy (message);
}

/* Guards against a process that never ends, since the control thread had no
   room for the report that nothing is left to do.  */
static void
test_report_waits_for_room (void)
{
  struct platform_settings settings;
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct mailbox *control = mailbox_create (loop, drop_report, NULL);
  struct node_traffic *traffic = create_host (&settings, "a", PORT_A, control);
  int64_t until_ms = clock_now_ms () + (int64_t)RECEIVE_TIMEOUT_S * 1000;
  bool is_drained = false;
  struct node_report *filler;
  struct error error;

  while ((filler = xcalloc (1, sizeof *filler)))
    {
      filler->event = NODE_HOST_ABSENT;
      if (!mailbox_post (control, filler))
        break;
    }
  node_report_destroy (filler);
  CU_ASSERT_TRUE (node_traffic_start (traffic, &error));
  post (traffic, (struct node_message){ .kind = NODE_STOP });
  /* It is drained after stop_grace_s, 1 s. */
  usleep (STOP_US);
  while (!is_drained && clock_now_ms () < until_ms)
    {
      mailbox_drain (control, note_drained, &is_drained);
      usleep (FLOOD_PAUSE_US);
    }
  CU_ASSERT_TRUE (is_drained);
  post (traffic, (struct node_message){ .kind = NODE_QUIT });
  node_traffic_join (traffic);
  node_traffic_destroy (traffic);
  platform_settings_release (&settings);
  mailbox_drain (control, drop_report, NULL);
  mailbox_destroy (control);
  ev_loop_destroy (loop);
}

CU_TestInfo node_messages_tests[] = {
  { "only the newest change waits", test_only_the_newest_waits },
  { "lists' account is what they take", test_account_of_lists },
  { "frames that wait are bounded", test_frames_that_wait_are_bounded },
  { "a full control thread does not stop traffic",
    test_full_control_does_not_stop_traffic },
  { "a report waits for room", test_report_waits_for_room },
  CU_TEST_INFO_NULL,
};
