#include "request/events.h"
#include "suites.h"
#include <string.h>

struct seen
{
  int64_t ids[16];
  size_t lens[16];
  int count;
  int stop_after;
};

static bool
note (void *data, int64_t id, const char *bytes, size_t len)
{
  struct seen *seen = data;

  seen->ids[seen->count] = id;
  seen->lens[seen->count] = len;
  seen->count++;
  return seen->count != seen->stop_after;
}

static const char stream[] = "id: 1\ndata: a\n\n"
                             "weight-versions: 2\r\nid:2\r\ndata: b\r\n\r\n"
                             "data: no id\n\n"
                             "id: 3\nda";

/* However the bytes are cut, the events are the same.  */
static void
test_any_cut_gives_the_same_events (void)
{
  for (size_t at = 1; at < sizeof stream - 1; at++)
    {
      struct events events = { 0 };
      struct seen seen = { 0 };

      events_take (&events, stream, at, note, &seen);
      events_take (&events, stream + at, sizeof stream - 1 - at, note, &seen);
      CU_ASSERT_EQUAL (seen.count, 3);
      CU_ASSERT_EQUAL (seen.ids[0], 1);
      CU_ASSERT_EQUAL (seen.ids[1], 2);
      CU_ASSERT_EQUAL (seen.ids[2], -1);
      CU_ASSERT_EQUAL (events.pending.len, strlen ("id: 3\nda"));
      events_release (&events);
    }
}

static void
test_handler_stops (void)
{
  struct events events = { 0 };
  struct seen seen = { .stop_after = 1 };

  CU_ASSERT_FALSE (
      events_take (&events, stream, sizeof stream - 1, note, &seen));
  CU_ASSERT_EQUAL (seen.count, 1);
  events_release (&events);
}

CU_TestInfo events_tests[] = {
  { "any cut gives the same events", test_any_cut_gives_the_same_events },
  { "the handler stops", test_handler_stops },
  CU_TEST_INFO_NULL,
};
