#include "common/buf.h"
#include "common/counters.h"
#include "common/fetch.h"
#include "common/httpd.h"
#include "common/id.h"
#include "platform/watch.h"
#include "suites.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_LOOP_ITERATIONS = 2000,
  MAX_LOOP_MS = 10000,
  DEEP_LEVELS = 3000, /* more than jansson parses */
  LONG_NAME_BYTES = 600,
  LARGE_ENTRY_BYTES = 300 * 1024,     /* no entry of an endpoint is as large */
  LONG_REPLY_BYTES = 5 * 1024 * 1024, /* more than a call takes */
  GRACE_MS = 60000,                   /* longer than the test */
  WAIT_MS = 200,                      /* of a watch call */
};

/* A store with one object, and a watch of it. */
struct fixture
{
  struct ev_loop *loop;
  struct httpd *httpd;
  struct fetcher *fetcher;
  struct store_client store;
  struct table *table;
  struct watch *watch;
  bool is_down;
  bool is_removed; /* the object, at revision 2 */
  int calls;
  /* Replies in place of those with one object; NULL for none. */
  const char *list;
  const char *next_page; /* of the list, after the first */
  const char *events;    /* once, unless they are kept */
  bool keeps_events;
  int objects;      /* that the table's handler was called with */
  char after[1024]; /* what the last request for a page asked for */
};

static void
handle_request (void *data, struct httpd_request *request)
{
  struct fixture *fixture = data;
  static const char list[]
      = "{\"items\": [{\"metadata\": {\"name\": \"e\", \"rev\": 1}}],"
        " \"store_revision\": 1}";
  static const char removal[]
      = "{\"events\": [{\"removed\": true, \"object\":"
        " {\"metadata\": {\"name\": \"e\", \"rev\": 2}}}],"
        " \"store_revision\": 2}";
  static const char nothing[] = "{\"events\": [], \"store_revision\": 1}";
  const char *body = httpd_query (request, "watch") ? nothing : list;

  const char *after = httpd_query (request, "after");

  fixture->calls++;
  if (fixture->is_removed && body == nothing)
    body = removal;
  if (fixture->list && body == list)
    body = after && fixture->next_page ? fixture->next_page : fixture->list;
  if (after)
    snprintf (fixture->after, sizeof fixture->after, "%s", after);
  if (fixture->events && body == nothing)
    {
      body = fixture->events;
      if (!fixture->keeps_events)
        fixture->events = NULL;
    }
  if (fixture->is_down)
    httpd_respond (request, 503, "text/plain", "", 0);
  else
    httpd_respond (request, 200, "application/json", body, strlen (body));
}

static void
handle_object (void *data, const char *name, json_t *object, bool removed)
{
  ((struct fixture *)data)->objects++;
}

static void
handle_commit (void *data)
{
}

static void
handle_reachability (void *data)
{
}

/* Opens a fixture whose store answers with LIST, or with one object if it is
   NULL.  */
static void
fixture_open_with (struct fixture *fixture, const char *list)
{
  struct httpd_options httpd = { .address = "127.0.0.1",
                                 .connection_memory_bytes = 8192,
                                 .max_body_bytes = 8192,
                                 .max_connections = 8,
                                 .handle_request = handle_request,
                                 .data = fixture };
  struct table_options table = { .kind = "servers",
                                 .grace_ms = GRACE_MS,
                                 .handle_object = handle_object,
                                 .handle_commit = handle_commit,
                                 .data = fixture };
  struct watch_options watch
      = { .wait_ms = WAIT_MS, .handle_reachability = handle_reachability };
  struct error error;
  char address[32];

  memset (fixture, 0, sizeof *fixture);
  fixture->list = list;
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  httpd.loop = table.loop = watch.loop = fixture->loop;
  fixture->httpd = httpd_create (&httpd, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->httpd);
  fixture->fetcher = fetcher_create (fixture->loop);
  snprintf (address, sizeof address, "127.0.0.1:%u",
            httpd_port (fixture->httpd));
  store_client_init (&fixture->store, fixture->fetcher, address, "test");
  fixture->table = table_create (&table);
  watch.store = &fixture->store;
  watch.table = fixture->table;
  fixture->watch = watch_create (&watch);
}

static void
fixture_open (struct fixture *fixture)
{
  fixture_open_with (fixture, NULL);
}

static void
fixture_close (struct fixture *fixture)
{
  watch_destroy (fixture->watch);
  table_destroy (fixture->table);
  fetcher_destroy (fixture->fetcher);
  store_client_release (&fixture->store);
  httpd_destroy (fixture->httpd);
  ev_loop_destroy (fixture->loop);
}

static bool
is_listed (const struct fixture *fixture)
{
  return table_is_loaded (fixture->table);
}

static bool
is_failing (const struct fixture *fixture)
{
  return watch_is_unreachable (fixture->watch);
}

static bool
is_object_gone (const struct fixture *fixture)
{
  return !table_find (fixture->table, "e");
}

static void
run_until (const struct fixture *fixture,
           bool (*is_met) (const struct fixture *))
{
  int64_t until_ms = clock_now_ms () + MAX_LOOP_MS;

  for (int i = 0; i < MAX_LOOP_ITERATIONS && !is_met (fixture)
                  && clock_now_ms () < until_ms;
       i++)
    ev_run (fixture->loop, EVRUN_ONCE);
  CU_ASSERT_TRUE (is_met (fixture));
}

/* Activates the watch while the store is down, until a call has failed.  */
static void
fail_active_watch (struct fixture *fixture)
{
  run_until (fixture, is_listed);
  fixture->is_down = true;
  watch_set_active (fixture->watch, true);
  run_until (fixture, is_failing);
}

/* A host that could not reach the store leaves the watch to another one.  When
   it watches again, long after, an endpoint that was removed meanwhile must go
   at once: its removal is no lapse in an outage.  */
static void
test_no_grace_after_a_rest (void)
{
  struct fixture fixture;

  fixture_open (&fixture);
  fail_active_watch (&fixture);
  watch_set_active (fixture.watch, false);
  CU_ASSERT_FALSE (is_failing (&fixture));
  fixture.is_down = false;
  fixture.is_removed = true;
  watch_set_active (fixture.watch, true);
  run_until (&fixture, is_object_gone);
  fixture_close (&fixture);
}

/* In an outage that the watch itself sees, entries lapse: they are kept until
   the end of the grace period.  */
static void
test_grace_after_an_outage (void)
{
  struct fixture fixture;

  fixture_open (&fixture);
  fail_active_watch (&fixture);
  fixture.is_down = false;
  fixture.is_removed = true;
  for (int i = 0; i < MAX_LOOP_ITERATIONS && is_failing (&fixture); i++)
    ev_run (fixture.loop, EVRUN_ONCE);
  CU_ASSERT_FALSE (is_failing (&fixture));
  CU_ASSERT_FALSE (is_object_gone (&fixture));
  fixture_close (&fixture);
}

/* Appends COUNT copies of TEXT.  */
static void
append_repeated (struct buf *buf, const char *text, size_t count)
{
  for (size_t i = 0; i < count; i++)
    buf_append_str (buf, text);
}

/* Appends objects that cannot be read, named odd-0 and so on as far as their
   names can be told, each followed by a comma.  Returns their number.  */
static int
append_odd_objects (struct buf *buf)
{
  static const char *const specs[]
      = { "{\"max_concurrency\":123456789012345678901234567890}",
          "{\"max_concurrency\":-9223372036854775809}",
          "{\"cold_remaining_ms\":1e999}",
          "{\"backend\":\"\xff\xfe\"}",
          "{\"backend\":\"a\\u0000b\"}",
          "{\"backend\":\"a\tb\"}",
          "{\"backend\":\"\\ud800\"}",
          "{\"backend\":nonsense}",
          "{\"backend\" \"b\"}",
          "{\"a\\u0000b\":1}",
          "[1 2]",
          "[}" };
  static const char *const nameless[]
      = { "7",
          "null",
          "\"text\"",
          "[]",
          "[{\"metadata\":{}}]",
          "{}",
          "nonsense",
          "{\"metadata\":{\"name\":7,\"rev\":3}}",
          "{\"metadata\":{\"name\":\"\",\"rev\":3}}",
          "{\"metadata\":{\"name\":\"\\u0000\",\"rev\":3}}",
          "{\"metadata\":{\"name\":[\"x\"],\"rev\":3}}",
          "{\"metadata\":[\"name\",\"x\"]}" };
  static const char *const revisions[]
      = { "\"3\"", "-1", "1e999", "99999999999999999999", "2.5", "null" };
  int count = 0;

  for (size_t i = 0; i < sizeof specs / sizeof *specs; i++)
    buf_printf (buf,
                "{\"metadata\":{\"name\":\"odd-%d\",\"rev\":3},"
                "\"spec\":%s},",
                count++, specs[i]);
  buf_printf (
      buf, "{\"metadata\":{\"name\":\"odd-%d\",\"rev\":3},\"spec\":", count++);
  append_repeated (buf, "[", DEEP_LEVELS);
  append_repeated (buf, "]", DEEP_LEVELS);
  buf_append_str (buf, "},");
  for (size_t i = 0; i < sizeof nameless / sizeof *nameless; i++)
    buf_printf (buf, "%s,", nameless[i]);
  for (size_t i = 0; i < sizeof revisions / sizeof *revisions; i++)
    buf_printf (buf,
                "{\"metadata\":{\"name\":\"unversioned-%zu\",\"rev\":%s}},", i,
                revisions[i]);
  return count;
}

/* Whether NAME is in the table with something that can be used.  */
static bool
is_usable (const struct fixture *fixture, const char *name)
{
  const struct table_entry *entry = table_find (fixture->table, name);

  return entry && json_object_get (entry->object, "spec");
}

static void
assert_no_odd_object_is_usable (const struct fixture *fixture, int count)
{
  char name[32];

  for (int i = 0; i < count; i++)
    {
      snprintf (name, sizeof name, "odd-%d", i);
      CU_ASSERT_FALSE (is_usable (fixture, name));
    }
}

/* Guards against a page that is refused as a whole, again and again, because
   another writer left one object in it that cannot be read.  */
static void
test_odd_objects_in_a_list (void)
{
  struct fixture fixture;
  struct buf list = { 0 };
  int64_t before = counter_get (COUNTER_OBJECTS_UNREADABLE);
  int count;

  buf_append_str (&list, "{\"items\": [{\"metadata\": {\"name\": \"e\","
                         " \"rev\": 1}, \"spec\": {}},");
  count = append_odd_objects (&list);
  buf_append_str (&list, "{\"metadata\": {\"name\": \"last\", \"rev\": 4},"
                         " \"spec\": {}}], \"store_revision\": 9}");
  buf_append (&list, "", 1);
  fixture_open_with (&fixture, list.data);
  run_until (&fixture, is_listed);
  CU_ASSERT_FALSE (is_failing (&fixture));
  CU_ASSERT_TRUE (is_usable (&fixture, "e"));
  CU_ASSERT_TRUE (is_usable (&fixture, "last"));
  assert_no_odd_object_is_usable (&fixture, count);
  CU_ASSERT_EQUAL (table_revision (fixture.table), 9);
  CU_ASSERT_TRUE (counter_get (COUNTER_OBJECTS_UNREADABLE) >= before + count);
  fixture_close (&fixture);

  /* Each revision is logged and counted once, however often it is listed. */
  before = counter_get (COUNTER_OBJECTS_UNREADABLE);
  fixture_open_with (&fixture, list.data);
  run_until (&fixture, is_listed);
  CU_ASSERT_EQUAL (counter_get (COUNTER_OBJECTS_UNREADABLE), before);
  fixture_close (&fixture);
  buf_release (&list);
}

static bool
has_events (const struct fixture *fixture)
{
  return table_revision (fixture->table) == 9;
}

/* Guards against a watch that gets the same changes for ever because one of
   them cannot be read.  An endpoint whose entry can no longer be read is not
   used.  */
static void
test_odd_objects_in_events (void)
{
  static const char list[]
      = "{\"items\": [{\"metadata\": {\"name\": \"odd-0\", \"rev\": 1},"
        " \"spec\": {}}, {\"metadata\": {\"name\": \"unversioned-0\","
        " \"rev\": 1}, \"spec\": {}}, {\"metadata\": {\"name\": \"gone\","
        " \"rev\": 1}, \"spec\": {}}], \"store_revision\": 1}";
  struct fixture fixture;
  struct buf objects = { 0 };
  struct buf events = { 0 };
  struct buf text = { 0 };
  int count = append_odd_objects (&objects);
  const char *rest = objects.data;

  buf_append_str (&text, "{\"events\": [7, [], {}, {\"removed\": true},"
                         " {\"object\": 7}, {\"object\": {\"metadata\":"
                         " {\"name\": \"gone\", \"rev\": \"2\"}, \"spec\":"
                         " 1e999}, \"removed\": true},");
  /* Each object of the list ends in "}," in front of the next one's start. */
  buf_append (&objects, "", 1);
  for (const char *end; (end = strstr (rest, "},{")); rest = end + 2)
    buf_printf (&events, "{\"object\": %.*s, \"removed\": false},",
                (int)(end + 1 - rest), rest);
  buf_append (&text, events.data, events.len);
  buf_append_str (&text, "{\"removed\": false, \"object\": {\"metadata\":"
                         " {\"name\": \"new\", \"rev\": 8}, \"spec\": {}}}],"
                         " \"store_revision\": 9}");
  buf_append (&text, "", 1);
  fixture_open_with (&fixture, list);
  run_until (&fixture, is_listed);
  CU_ASSERT_TRUE (is_usable (&fixture, "odd-0"));
  fixture.events = text.data;
  watch_set_active (fixture.watch, true);
  run_until (&fixture, has_events);
  CU_ASSERT_FALSE (is_failing (&fixture));
  CU_ASSERT_TRUE (is_usable (&fixture, "new"));
  CU_ASSERT_PTR_NULL (table_find (fixture.table, "gone"));
  CU_ASSERT_FALSE (is_usable (&fixture, "unversioned-0"));
  assert_no_odd_object_is_usable (&fixture, count);
  fixture_close (&fixture);
  buf_release (&objects);
  buf_release (&events);
  buf_release (&text);
}

/* Guards against a list that asks for the same page for ever: the last object
   of a page cannot be read, or its name has characters that mean something
   else in a path.  */
static void
test_list_goes_on_behind_an_odd_name (void)
{
  static const char first[]
      = "{\"items\": [{\"metadata\": {\"name\": \"a\", \"rev\": 1}},"
        " {\"metadata\": {\"name\": \"b&after=a#%%41/ \u00e9\", \"rev\": 1},"
        " \"spec\": 1e999}, 7], \"has_more\": true, \"store_revision\": 1}";
  static const char second[]
      = "{\"items\": [{\"metadata\": {\"name\": \"c\", \"rev\": 1}}],"
        " \"store_revision\": 1}";
  struct fixture fixture;

  fixture_open_with (&fixture, first);
  fixture.next_page = second;
  run_until (&fixture, is_listed);
  CU_ASSERT_STRING_EQUAL (fixture.after, "b&after=a#%%41/ \u00e9");
  CU_ASSERT_EQUAL (fixture.calls, 2);
  CU_ASSERT_PTR_NOT_NULL (table_find (fixture.table, "a"));
  CU_ASSERT_PTR_NOT_NULL (table_find (fixture.table, "c"));
  fixture_close (&fixture);
}

/* Guards against a path that is cut off in the middle of a long name, which
   lists the same page for ever.  */
static void
test_list_goes_on_behind_a_long_name (void)
{
  struct fixture fixture;
  struct buf first = { 0 };
  struct buf name = { 0 };

  append_repeated (&name, "n", LONG_NAME_BYTES);
  buf_append (&name, "", 1);
  buf_printf (&first,
              "{\"items\": [{\"metadata\": {\"name\": \"a\", \"rev\": 1}},"
              " {\"metadata\": {\"name\": \"%s\", \"rev\": 1}}],"
              " \"has_more\": true, \"store_revision\": 1}",
              name.data);
  buf_append (&first, "", 1);
  fixture_open_with (&fixture, first.data);
  fixture.next_page = "{\"items\": [], \"store_revision\": 1}";
  run_until (&fixture, is_listed);
  CU_ASSERT_STRING_EQUAL (fixture.after, name.data);
  fixture_close (&fixture);
  buf_release (&first);
  buf_release (&name);
}

/* Guards against calls without a pause: a page that claims that more follow,
   but from which the next one cannot be told, is a failed call.  */
static void
test_list_without_progress_fails (void)
{
  static const char *const lists[]
      = { "{\"items\": [7], \"has_more\": true, \"store_revision\": 1}",
          "{\"items\": [{\"metadata\": {\"name\": \"a\", \"rev\": 1}}],"
          " \"has_more\": true, \"store_revision\": 1}" };

  for (size_t i = 0; i < sizeof lists / sizeof *lists; i++)
    {
      struct fixture fixture;

      fixture_open_with (&fixture, lists[i]);
      run_until (&fixture, is_failing);
      CU_ASSERT_FALSE (is_listed (&fixture));
      CU_ASSERT_TRUE (fixture.calls <= 2);
      fixture_close (&fixture);
    }
}

/* Guards against a part of a reply being taken for the whole: one that is cut
   off, is not JSON or does not state its revision changes nothing.  */
static void
test_broken_replies_fail (void)
{
  static const char *const lists[]
      = { "{\"items\": [{\"metadata\": {\"name\": \"a\", \"rev\": 1}}",
          "{\"items\": [{\"metadata\": {\"name\": \"a\", \"rev\": 1}}],"
          " \"store_revision\": 1",
          "{\"items\": [{\"metadata\": {\"name\": \"a\", \"rev\": 1}}]}",
          "{\"items\": [{\"metadata\": {\"name\": \"a\", \"rev\": 1}}],"
          " \"store_revision\": 1e999}",
          "{\"items\": [{\"metadata\": {\"name\": \"a\", \"rev\": 1}}],"
          " \"store_revision\": 0}",
          "{\"items\": [{} {}], \"store_revision\": 1}",
          "{\"items\": {}, \"store_revision\": 1}",
          "[]",
          "",
          "text" };

  for (size_t i = 0; i < sizeof lists / sizeof *lists; i++)
    {
      struct fixture fixture;

      fixture_open_with (&fixture, lists[i]);
      run_until (&fixture, is_failing);
      CU_ASSERT_FALSE (is_listed (&fixture));
      CU_ASSERT_EQUAL (table_count (fixture.table), 0);
      fixture_close (&fixture);
    }
}

/* Guards against a host that ends for lack of memory: an object larger than
   any of its kind is not parsed, because its tree takes up to 79 times the
   memory of its text.  */
static void
test_large_objects_are_not_parsed (void)
{
  static const char *const values[] = { "[]", "{}", "0", "\"\"" };

  for (size_t i = 0; i < sizeof values / sizeof *values; i++)
    {
      struct fixture fixture;
      struct buf list = { 0 };

      buf_append_str (&list, "{\"items\": [{\"metadata\": {\"name\": \"e\","
                             " \"rev\": 1}, \"spec\": [0");
      while (list.len < LARGE_ENTRY_BYTES)
        buf_printf (&list, ",%s", values[i]);
      buf_append_str (&list,
                      "]}, {\"metadata\": {\"name\": \"f\", \"rev\": 1},"
                      " \"spec\": {}}], \"store_revision\": 1}");
      buf_append (&list, "", 1);
      fixture_open_with (&fixture, list.data);
      run_until (&fixture, is_listed);
      CU_ASSERT_FALSE (is_usable (&fixture, "e"));
      CU_ASSERT_TRUE (is_usable (&fixture, "f"));
      fixture_close (&fixture);
      buf_release (&list);
    }
}

static bool
has_new_object (const struct fixture *fixture)
{
  return table_find (fixture->table, "new") != NULL;
}

/* Guards against a watch that asks for ever for changes which exceed the
   length of a reply, as several versions of a wide configuration do after the
   store was slow: the list has the newest objects only.  */
static void
test_changes_longer_than_a_reply (void)
{
  static const char begin[] = "{\"events\": [], \"store_revision\": 2";
  struct fixture fixture;
  char *events = xcalloc (1, LONG_REPLY_BYTES + 1);

  memset (events, ' ', LONG_REPLY_BYTES);
  memcpy (events, begin, sizeof begin - 1);
  events[LONG_REPLY_BYTES - 1] = '}';
  fixture_open (&fixture);
  run_until (&fixture, is_listed);
  fixture.list = "{\"items\": [{\"metadata\": {\"name\": \"new\","
                 " \"rev\": 2}}], \"store_revision\": 2}";
  fixture.events = events;
  fixture.keeps_events = true;
  watch_set_active (fixture.watch, true);
  run_until (&fixture, has_new_object);
  CU_ASSERT_FALSE (is_failing (&fixture));
  fixture_close (&fixture);
  free (events);
}

/* Guards against a host that parses each version of a large configuration
   which comes in one reply, with the one before still in memory: only the last
   event of each object counts.  */
static void
test_last_event_of_an_object_counts (void)
{
  static const char events[]
      = "{\"events\": ["
        "{\"object\": {\"metadata\": {\"name\": \"e\", \"rev\": 2}}},"
        "{\"object\": {\"metadata\": {\"name\": \"f\", \"rev\": 3}}},"
        "{\"object\": {\"metadata\": {\"name\": \"g\", \"rev\": 4}},"
        " \"removed\": true},"
        "{\"object\": {\"metadata\": {\"name\": \"e\", \"rev\": 5}}},"
        "{\"object\": {\"metadata\": {\"name\": \"f\", \"rev\": 6}},"
        " \"removed\": true},"
        "{\"object\": {\"metadata\": {\"name\": \"g\", \"rev\": 7}}},"
        "{\"object\": {\"metadata\": {\"name\": \"e\", \"rev\": 8}}}],"
        " \"store_revision\": 9}";
  struct fixture fixture;

  fixture_open (&fixture);
  run_until (&fixture, is_listed);
  fixture.objects = 0;
  fixture.events = events;
  watch_set_active (fixture.watch, true);
  run_until (&fixture, has_events);
  CU_ASSERT_EQUAL (fixture.objects, 2);
  CU_ASSERT_EQUAL (table_find (fixture.table, "e")->revision, 8);
  CU_ASSERT_PTR_NULL (table_find (fixture.table, "f"));
  CU_ASSERT_EQUAL (table_find (fixture.table, "g")->revision, 7);
  fixture_close (&fixture);
}

CU_TestInfo watch_tests[]
    = { { "no grace period after a rest", test_no_grace_after_a_rest },
        { "a grace period after an outage", test_grace_after_an_outage },
        { "odd objects in a list", test_odd_objects_in_a_list },
        { "odd objects in events", test_odd_objects_in_events },
        { "a list goes on behind an odd name",
          test_list_goes_on_behind_an_odd_name },
        { "a list goes on behind a long name",
          test_list_goes_on_behind_a_long_name },
        { "a list without progress fails", test_list_without_progress_fails },
        { "broken replies fail", test_broken_replies_fail },
        { "large objects are not parsed", test_large_objects_are_not_parsed },
        { "changes longer than a reply", test_changes_longer_than_a_reply },
        { "the last event of an object counts",
          test_last_event_of_an_object_counts },
        CU_TEST_INFO_NULL };
