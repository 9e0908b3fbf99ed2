#include "request/event_splitter.h"
#include "suites.h"
#include <glib.h>
#include <string.h>

struct recorded_events
{
  int64_t ids[16];
  size_t lens[16];
  int count;
  int stop_after; /* number of events; 0 for no limit */
};

static bool
record_event (void *data, int64_t id, const char *bytes, size_t len)
{
  struct recorded_events *recorded = data;

  recorded->ids[recorded->count] = id;
  recorded->lens[recorded->count] = len;
  recorded->count++;
  return recorded->count != recorded->stop_after;
}

static const char stream[] = "id: 1\ndata: a\n\n"
                             "weight-versions: 2\r\nid:2\r\ndata: b\r\n\r\n"
                             "data: no id\n\n"
                             "id: 3\nda";

/* The events must not depend on where the stream is split into two chunks.  */
static void
test_chunk_boundaries_do_not_affect_events (void)
{
  for (size_t split = 1; split < sizeof stream - 1; split++)
    {
      struct event_splitter events = { 0 };
      struct recorded_events recorded = { 0 };

      event_splitter_append (&events, stream, split, record_event, &recorded);
      event_splitter_append (&events, stream + split,
                             sizeof stream - 1 - split, record_event,
                             &recorded);
      CU_ASSERT_EQUAL (recorded.count, 3);
      CU_ASSERT_EQUAL (recorded.ids[0], 1);
      CU_ASSERT_EQUAL (recorded.ids[1], 2);
      CU_ASSERT_EQUAL (recorded.ids[2], -1);
      CU_ASSERT_EQUAL (events.pending.len, strlen ("id: 3\nda"));
      event_splitter_release (&events);
    }
}

static void
test_handler_stops (void)
{
  struct event_splitter events = { 0 };
  struct recorded_events recorded = { .stop_after = 1 };

  CU_ASSERT_FALSE (event_splitter_append (&events, stream, sizeof stream - 1,
                                          record_event, &recorded));
  CU_ASSERT_EQUAL (recorded.count, 1);
  event_splitter_release (&events);
}

/* Guards against buffering a stream that has no end of an event.  */
static void
test_event_without_end (void)
{
  char block[4096];
  struct event_splitter events = { 0 };
  struct recorded_events recorded = { 0 };
  size_t appended = 0;

  memset (block, 'x', sizeof block);
  while (appended <= 2 * EVENT_SPLITTER_MAX_EVENT_BYTES
         && event_splitter_append (&events, block, sizeof block, record_event,
                                   &recorded))
    appended += sizeof block;
  CU_ASSERT_EQUAL (appended, EVENT_SPLITTER_MAX_EVENT_BYTES);
  CU_ASSERT_EQUAL (recorded.count, 0);
  event_splitter_release (&events);
}

/* Guards against forwarding bytes of another response as an event, and against
   reading an id that is no number as one.  */
static void
test_what_is_no_event (void)
{
  static const struct
  {
    const char *bytes;
    int64_t id;
  } cases[] = {
    { "id: 7\n\n", 7 },
    { "id:7\r\ndata\r\n\r\n", 7 },
    { "weight-versions: 2\nid: 0\n\n", 0 },
    { "id: 9223372036854775807\n\n", INT64_MAX },
    { "data: x\n\n", EVENT_WITHOUT_ID },
    { "id:\n\n", EVENT_WITHOUT_ID },
    { "data\n\n", EVENT_WITHOUT_ID },
    { ": x\n\n", EVENT_COMMENT },
    { "\n", EVENT_COMMENT },
    { "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n\r\n", EVENT_MALFORMED },
    { "an error\n\n", EVENT_MALFORMED },
    { "data: x\n{\"error\": 1}\n\n", EVENT_MALFORMED },
    { "<html>\n\n", EVENT_MALFORMED },
    { "id: x\n\n", EVENT_MALFORMED },
    { "id: 2x\n\n", EVENT_MALFORMED },
    { "id: -1\n\n", EVENT_MALFORMED },
    { "id: 9223372036854775808\n\n", EVENT_MALFORMED },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct event_splitter events = { 0 };
      struct recorded_events recorded = { 0 };

      event_splitter_append (&events, cases[i].bytes, strlen (cases[i].bytes),
                             record_event, &recorded);
      CU_ASSERT_EQUAL (recorded.count, 1);
      CU_ASSERT_EQUAL (recorded.ids[0], cases[i].id);
      event_splitter_release (&events);
    }
}

CU_TestInfo events_tests[] = {
  { "chunk boundaries do not affect events",
    test_chunk_boundaries_do_not_affect_events },
  { "the handler stops", test_handler_stops },
  { "an event without end", test_event_without_end },
  { "what is no event", test_what_is_no_event },
  CU_TEST_INFO_NULL,
};
