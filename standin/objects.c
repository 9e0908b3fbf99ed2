#include "common/id.h"
#include "standin/standin.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_WAIT_MS = 30000,
  MAX_PAGE_ITEMS = 50, /* small, so that tests cover paging */
  MAX_EVENTS = 1000,
};

static const double WATCH_TICK_S = 0.01;

struct waiter
{
  struct objects *objects;
  struct httpd_request *request;
  char *kind;
  int64_t since;
  int64_t until_ms;
  struct waiter *next;
};

/* Mock object store of the platform: objects by kind and name, with revisions,
   watches and a history that can be compacted.  */
struct objects
{
  json_t *kinds;  /* kind to name to object */
  json_t *events; /* {kind, revision, removed, object}, oldest first */
  int64_t revision;
  int64_t oldest_revision; /* watches from an older revision get 410 */
  int64_t reads;
  int64_t writes;
  struct waiter *waiters;
  json_t *rejected_hosts; /* names of hosts whose requests get 503 */
  ev_timer tick;
  struct standin *standin;
};

static void
append_event (struct objects *objects, const char *kind, json_t *object,
              bool removed)
{
  json_array_append_new (objects->events,
                         json_pack ("{s:s, s:I, s:b, s:O}", "kind", kind,
                                    "revision", (json_int_t)objects->revision,
                                    "removed", removed, "object", object));
  if (json_array_size (objects->events) > MAX_EVENTS)
    json_array_remove (objects->events, 0);
}

static json_t *
events_since (const struct objects *objects, const char *kind, int64_t since)
{
  json_t *list = json_array ();
  json_t *event;
  size_t i;

  json_array_foreach (objects->events, i, event)
  {
    if (json_integer_value (json_object_get (event, "revision")) > since
        && strcmp (json_string_value (json_object_get (event, "kind")), kind)
               == 0)
      json_array_append_new (
          list, json_pack ("{s:O, s:O}", "removed",
                           json_object_get (event, "removed"), "object",
                           json_object_get (event, "object")));
  }
  return list;
}

static bool
try_respond_watch (struct standin *standin, struct httpd_request *request,
                   const char *kind, int64_t since, bool timed_out)
{
  struct objects *objects = standin->state;
  json_t *events;

  if (since < objects->oldest_revision)
    {
      standin_respond_json (standin, request, 410, json_object ());
      return true;
    }
  events = events_since (objects, kind, since);
  if (json_array_size (events) == 0 && !timed_out)
    {
      json_decref (events);
      return false;
    }
  standin_respond_json (standin, request, 200,
                        json_pack ("{s:o, s:I}", "events", events,
                                   "store_revision",
                                   (json_int_t)objects->revision));
  return true;
}

static bool
has_changes (const struct objects *objects, const struct waiter *waiter)
{
  json_t *events = events_since (objects, waiter->kind, waiter->since);
  bool has_events = json_array_size (events) > 0;

  json_decref (events);
  return has_events || waiter->since < objects->oldest_revision;
}

static void
free_waiter (struct waiter *waiter)
{
  free (waiter->kind);
  free (waiter);
}

static void
respond_waiters (struct objects *objects)
{
  struct waiter **slot = &objects->waiters;
  int64_t now_ms = clock_now_ms ();

  while (*slot)
    {
      struct waiter *waiter = *slot;

      if (waiter->request && now_ms < waiter->until_ms
          && !has_changes (objects, waiter))
        {
          slot = &waiter->next;
          continue;
        }
      if (waiter->request)
        waiter->request->handle_disconnect = NULL;
      if (waiter->request
          && !try_respond_watch (objects->standin, waiter->request,
                                 waiter->kind, waiter->since,
                                 now_ms >= waiter->until_ms))
        {
          slot = &waiter->next;
          continue;
        }
      *slot = waiter->next;
      free_waiter (waiter);
    }
}

static void
handle_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  respond_waiters (timer->data);
}

static json_t *
get_or_create_kind (struct objects *objects, const char *kind)
{
  json_t *existing = json_object_get (objects->kinds, kind);

  if (existing)
    return existing;
  existing = json_object ();
  json_object_set_new (objects->kinds, kind, existing);
  return existing;
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static json_t *
list_page (json_t *kind, const char *after, bool *has_more)
{
  size_t count = json_object_size (kind);
  const char **names = xcalloc (count + 1, sizeof *names);
  json_t *items = json_array ();
  const char *name;
  json_t *object;
  size_t i = 0;

  json_object_foreach (kind, name, object) { names[i++] = name; }
  qsort (names, count, sizeof *names, compare_names);
  *has_more = false;
  for (i = 0; i < count; i++)
    {
      if (after && strcmp (names[i], after) <= 0)
        continue;
      if (json_array_size (items) == MAX_PAGE_ITEMS)
        {
          *has_more = true;
          break;
        }
      json_array_append (items, json_object_get (kind, names[i]));
    }
  free (names);
  return items;
}

static void
respond_list (struct standin *standin, struct httpd_request *request,
              const char *kind)
{
  struct objects *objects = standin->state;
  bool has_more;
  json_t *items = list_page (get_or_create_kind (objects, kind),
                             httpd_query (request, "after"), &has_more);

  standin_respond_json (standin, request, 200,
                        json_pack ("{s:o, s:b, s:I}", "items", items,
                                   "has_more", has_more, "store_revision",
                                   (json_int_t)objects->revision));
}

static void
handle_waiter_disconnect (struct httpd_request *request)
{
  ((struct waiter *)request->user)->request = NULL;
}

static void
wait_for_events (struct standin *standin, struct httpd_request *request,
                 const char *kind, int64_t since)
{
  struct objects *objects = standin->state;
  const char *wait = httpd_query (request, "wait_ms");
  int64_t wait_ms = wait ? strtoll (wait, NULL, 10) : 0;
  struct waiter *waiter;

  if (try_respond_watch (standin, request, kind, since, wait_ms <= 0))
    return;
  waiter = xcalloc (1, sizeof *waiter);
  waiter->objects = objects;
  waiter->request = request;
  waiter->kind = xstrdup (kind);
  waiter->since = since;
  waiter->until_ms
      = clock_now_ms () + (wait_ms < MAX_WAIT_MS ? wait_ms : MAX_WAIT_MS);
  waiter->next = objects->waiters;
  objects->waiters = waiter;
  request->user = waiter;
  request->handle_disconnect = handle_waiter_disconnect;
}

static json_int_t
revision_of (const json_t *object)
{
  return json_integer_value (
      json_object_get (json_object_get (object, "metadata"), "rev"));
}

static void
put_object (struct objects *objects, const char *kind, const char *name,
            json_t *spec, json_t *status)
{
  json_t *existing
      = json_object_get (get_or_create_kind (objects, kind), name);
  json_t *object;
  json_int_t create_revision;

  objects->revision++;
  create_revision = existing ? json_integer_value (json_object_get (
                        json_object_get (existing, "metadata"), "create_rev"))
                             : (json_int_t)objects->revision;
  object = json_pack ("{s:{s:s, s:I, s:I, s:[], s:b}, s:O?, s:O?}", "metadata",
                      "name", name, "rev", (json_int_t)objects->revision,
                      "create_rev", create_revision, "finalizers", "deleting",
                      0, "spec", spec, "status", status);
  json_object_set_new (get_or_create_kind (objects, kind), name, object);
  append_event (objects, kind, object, false);
}

static void
handle_write (struct standin *standin, struct httpd_request *request,
              const char *kind, const char *name, bool is_status)
{
  struct objects *objects = standin->state;
  json_t *body = json_loadb (request->body.data ? request->body.data : "",
                             request->body.len, 0, NULL);
  bool is_create = strcmp (request->method, "POST") == 0;
  const char *body_name = json_string_value (
      json_object_get (json_object_get (body, "metadata"), "name"));
  json_t *existing;
  bool is_stale;
  unsigned status = 200;

  if (is_create)
    name = body_name ? body_name : "";
  existing = json_object_get (get_or_create_kind (objects, kind), name);
  objects->writes++;
  is_stale = existing && revision_of (body) > 0
             && revision_of (body) != revision_of (existing);
  if (!is_create && !existing)
    status = 404;
  else if ((is_create && existing) || is_stale)
    status = 409;
  else if (is_status)
    put_object (objects, kind, name, json_object_get (existing, "spec"),
                json_object_get (body, "status"));
  else if (!existing
           || !json_equal (json_object_get (existing, "spec"),
                           json_object_get (body, "spec")))
    put_object (objects, kind, name, json_object_get (body, "spec"),
                existing ? json_object_get (existing, "status") : NULL);
  existing = json_object_get (get_or_create_kind (objects, kind), name);
  json_decref (body);
  if (standin_use_fault (&standin->faults.lose_answers))
    standin_drop_response (request);
  else
    standin_respond_json (standin, request,
                          is_create && status == 200 ? 201 : status,
                          existing ? json_incref (existing) : json_object ());
}

static void
handle_delete (struct standin *standin, struct httpd_request *request,
               const char *kind, const char *name)
{
  struct objects *objects = standin->state;
  json_t *existing
      = json_object_get (get_or_create_kind (objects, kind), name);

  objects->writes++;
  if (!existing)
    {
      standin_respond_json (standin, request, 404, json_object ());
      return;
    }
  objects->revision++;
  append_event (objects, kind, existing, true);
  json_object_del (get_or_create_kind (objects, kind), name);
  standin_respond_json (standin, request, 200, json_object ());
}

static void
handle_read (struct standin *standin, struct httpd_request *request,
             const char *kind, const char *name)
{
  struct objects *objects = standin->state;
  const char *since = httpd_query (request, "watch");
  json_t *existing;

  objects->reads++;
  if (since)
    wait_for_events (standin, request, kind, strtoll (since, NULL, 10));
  else if (!name)
    respond_list (standin, request, kind);
  else
    {
      existing = json_object_get (get_or_create_kind (objects, kind), name);
      standin_respond_json (standin, request, existing ? 200 : 404,
                            existing ? json_incref (existing)
                                     : json_object ());
    }
}

static void
route_request (struct standin *standin, struct httpd_request *request,
               char *kind)
{
  char *name = strchr (kind, '/');
  char *rest = NULL;

  if (name)
    *name++ = '\0';
  if (name && (rest = strchr (name, '/')))
    *rest++ = '\0';
  if (strcmp (request->method, "GET") == 0)
    handle_read (standin, request, kind, name);
  else if (strcmp (request->method, "DELETE") == 0 && name)
    handle_delete (standin, request, kind, name);
  else
    handle_write (standin, request, kind, name,
                  rest && strcmp (rest, "status") == 0);
}

static bool
is_rejected (const struct objects *objects,
             const struct httpd_request *request)
{
  const char *agent = httpd_header (request, "User-Agent");
  const char *host = agent ? strchr (agent, '/') : NULL;
  json_t *name;
  size_t i;

  json_array_foreach (objects->rejected_hosts, i, name)
  {
    if (host && strcmp (host + 1, json_string_value (name)) == 0)
      return true;
  }
  return false;
}

/* Replaces the list of hosts whose requests are rejected.  */
static void
set_rejected_hosts (struct standin *standin, struct httpd_request *request)
{
  struct objects *objects = standin->state;

  json_decref (objects->rejected_hosts);
  objects->rejected_hosts
      = json_loadb (request->body.data ? request->body.data : "",
                    request->body.len, 0, NULL);
  standin_respond_json (standin, request, 200, json_object ());
}

static void
objects_handle_request (struct standin *standin, struct httpd_request *request)
{
  struct objects *objects = standin->state;
  static const char prefix[] = "/objects/";
  char *kind;

  if (strcmp (request->path, "/compact") == 0)
    {
      objects->oldest_revision = objects->revision;
      json_array_clear (objects->events);
      standin_respond_json (standin, request, 200, json_object ());
      return;
    }
  if (strcmp (request->path, "/turned-away") == 0)
    {
      set_rejected_hosts (standin, request);
      return;
    }
  if (is_rejected (objects, request))
    {
      standin_respond_json (standin, request, 503, json_object ());
      return;
    }
  if (strcmp (request->path, "/stats") == 0)
    {
      standin_respond_json (standin, request, 200,
                            json_pack ("{s:I, s:I, s:I}", "reads",
                                       (json_int_t)objects->reads, "writes",
                                       (json_int_t)objects->writes, "revision",
                                       (json_int_t)objects->revision));
      return;
    }
  if (strncmp (request->path, prefix, strlen (prefix)) != 0)
    {
      standin_respond_json (standin, request, 404, json_object ());
      return;
    }
  kind = xstrdup (request->path + strlen (prefix));
  route_request (standin, request, kind);
  free (kind);
}

static void
objects_create (struct standin *standin)
{
  struct objects *objects = xcalloc (1, sizeof *objects);

  objects->kinds = json_object ();
  objects->events = json_array ();
  objects->revision = 1;
  objects->standin = standin;
  standin->state = objects;
  ev_timer_init (&objects->tick, handle_tick, WATCH_TICK_S, WATCH_TICK_S);
  objects->tick.data = objects;
  ev_timer_start (standin->loop, &objects->tick);
}

static void
objects_destroy (struct standin *standin)
{
  struct objects *objects = standin->state;

  ev_timer_stop (standin->loop, &objects->tick);
  while (objects->waiters)
    {
      struct waiter *waiter = objects->waiters;

      objects->waiters = waiter->next;
      free_waiter (waiter);
    }
  json_decref (objects->kinds);
  json_decref (objects->events);
  json_decref (objects->rejected_hosts);
  free (objects);
}

const struct standin_mode standin_objects
    = { .name = "objects",
        .create = objects_create,
        .handle_request = objects_handle_request,
        .destroy = objects_destroy };
