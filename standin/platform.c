#include "common/id.h"
#include "standin/standin.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_WATCH_MS = 30000,
  MAX_KIND_BYTES = 64,
  MAX_NAME_BYTES = 256,
};

static const double WATCH_TICK_S = 0.01;

struct platform;

struct watcher
{
  struct platform *platform;
  struct httpd_request *request;
  uint64_t since;
  char *kinds; /* NULL for all */
  int64_t until_ms;
  struct watcher *next;
};

/* Mock platform store.  Deleted objects are kept and marked "deleted", so that
   a watch from any revision sees every change. */
struct platform
{
  json_t *objects; /* "KIND/NAME" to {kind, name, version, data, deleted} */
  uint64_t revision;
  struct watcher *watchers;
  ev_timer tick;
  struct standin *standin;
  int64_t reads;
  int64_t writes;
  int64_t conflicts;
  int64_t watches;
};

static bool
kind_matches (const char *kinds, const char *kind)
{
  size_t len = strlen (kind);
  const char *at = kinds;

  if (!kinds)
    return true;
  while ((at = strstr (at, kind)))
    {
      bool starts = at == kinds || at[-1] == ',';
      bool ends = at[len] == '\0' || at[len] == ',';

      if (starts && ends)
        return true;
      at += len;
    }
  return false;
}

static json_t *
changes_since (struct platform *platform, uint64_t since, const char *kinds,
               bool with_deleted)
{
  json_t *list = json_array ();
  const char *key;
  json_t *object;

  json_object_foreach (platform->objects, key, object)
  {
    uint64_t version
        = (uint64_t)json_integer_value (json_object_get (object, "version"));
    const char *kind = json_string_value (json_object_get (object, "kind"));
    bool deleted = json_is_true (json_object_get (object, "deleted"));

    if (version <= since || !kind_matches (kinds, kind))
      continue;
    if (deleted && !with_deleted)
      continue;
    json_array_append (list, object);
  }
  return list;
}

static json_t *
make_listing (struct platform *platform, json_t *objects)
{
  return json_pack ("{s:I, s:o}", "revision", (json_int_t)platform->revision,
                    "objects", objects);
}

static void
respond_watch (struct platform *platform, struct watcher *watcher,
               json_t *changes)
{
  watcher->request->user = NULL;
  watcher->request->handle_disconnect = NULL;
  standin_respond_json (platform->standin, watcher->request, 200,
                        make_listing (platform, changes));
  free (watcher->kinds);
  free (watcher);
}

static void
wake_watchers (struct platform *platform)
{
  struct watcher **slot = &platform->watchers;
  int64_t now_ms = clock_now_ms ();

  while (*slot)
    {
      struct watcher *watcher = *slot;
      json_t *changes = NULL;

      if (watcher->since < platform->revision)
        changes
            = changes_since (platform, watcher->since, watcher->kinds, true);
      if (changes && json_array_size (changes) == 0
          && now_ms < watcher->until_ms)
        {
          json_decref (changes);
          changes = NULL;
        }
      if (!changes && now_ms < watcher->until_ms)
        {
          slot = &watcher->next;
          continue;
        }
      *slot = watcher->next;
      respond_watch (platform, watcher, changes ? changes : json_array ());
    }
}

static void
handle_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  wake_watchers (timer->data);
}

static void
handle_watch_disconnect (struct httpd_request *request)
{
  struct watcher *watcher = request->user;
  struct watcher **slot = &watcher->platform->watchers;

  while (*slot && *slot != watcher)
    slot = &(*slot)->next;
  if (*slot)
    *slot = watcher->next;
  free (watcher->kinds);
  free (watcher);
}

static void
start_watch (struct platform *platform, struct httpd_request *request)
{
  struct watcher *watcher = xcalloc (1, sizeof *watcher);
  const char *since = httpd_query (request, "since");
  const char *timeout = httpd_query (request, "timeout_ms");
  int64_t wait_ms = timeout ? strtoll (timeout, NULL, 10) : MAX_WATCH_MS;

  platform->watches++;
  watcher->platform = platform;
  watcher->request = request;
  watcher->since = since ? strtoull (since, NULL, 10) : 0;
  watcher->kinds = xstrdup (httpd_query (request, "kinds"));
  watcher->until_ms
      = clock_now_ms () + (wait_ms < MAX_WATCH_MS ? wait_ms : MAX_WATCH_MS);
  watcher->next = platform->watchers;
  platform->watchers = watcher;
  request->user = watcher;
  request->handle_disconnect = handle_watch_disconnect;
  wake_watchers (platform);
}

static void
put_object (struct platform *platform, const char *key, const char *kind,
            const char *name, json_t *data, bool deleted)
{
  json_t *object = json_pack (
      "{s:s, s:s, s:I, s:O, s:b}", "kind", kind, "name", name, "version",
      (json_int_t)++platform->revision, "data", data, "deleted", deleted);

  json_object_set_new (platform->objects, key, object);
}

static uint64_t
current_version (const json_t *object)
{
  if (!object || json_is_true (json_object_get (object, "deleted")))
    return 0;
  return (uint64_t)json_integer_value (json_object_get (object, "version"));
}

static void
respond_version (struct platform *platform, struct httpd_request *request,
                 unsigned status, uint64_t version)
{
  standin_respond_json (platform->standin, request, status,
                        json_pack ("{s:I}", "version", (json_int_t)version));
}

/* Writes or deletes an object.  The object changes even if the fault drops the
   response.  */
static void
write_object (struct platform *platform, struct httpd_request *request,
              const char *kind, const char *name)
{
  char *key = xasprintf ("%s/%s", kind, name);
  json_t *object = json_object_get (platform->objects, key);
  const char *given = httpd_query (request, "version");
  uint64_t version = given ? strtoull (given, NULL, 10) : 0;
  bool deleting = strcmp (request->method, "DELETE") == 0;
  json_t *data;

  platform->writes++;
  data = deleting ? json_null ()
                  : json_loadb (request->body.data ? request->body.data : "",
                                request->body.len, 0, NULL);
  if (!data)
    {
      respond_version (platform, request, 400, 0);
      goto out;
    }
  if (current_version (object) != version)
    {
      platform->conflicts++;
      respond_version (platform, request, 409, current_version (object));
      goto out;
    }
  put_object (platform, key, kind, name, data, deleting);
  if (standin_use_fault (&platform->standin->faults.lose_answers))
    standin_drop_response (request);
  else
    respond_version (platform, request, 200, platform->revision);
  wake_watchers (platform);
out:
  json_decref (data);
  free (key);
}

static void
read_object (struct platform *platform, struct httpd_request *request,
             const char *kind, const char *name)
{
  char *key = xasprintf ("%s/%s", kind, name);
  json_t *object = json_object_get (platform->objects, key);

  free (key);
  platform->reads++;
  if (current_version (object) == 0)
    respond_version (platform, request, 404, 0);
  else
    standin_respond_json (platform->standin, request, 200,
                          json_incref (object));
}

static void
respond_stats (struct platform *platform, struct httpd_request *request)
{
  standin_respond_json (platform->standin, request, 200,
                        json_pack ("{s:I, s:I, s:I, s:I, s:I}", "revision",
                                   (json_int_t)platform->revision, "reads",
                                   (json_int_t)platform->reads, "writes",
                                   (json_int_t)platform->writes, "conflicts",
                                   (json_int_t)platform->conflicts, "watches",
                                   (json_int_t)platform->watches));
}

static void
platform_handle_request (struct standin *standin,
                         struct httpd_request *request)
{
  struct platform *platform = standin->state;
  char kind[MAX_KIND_BYTES];
  char name[MAX_NAME_BYTES];

  if (strcmp (request->path, "/objects") == 0)
    {
      platform->reads++;
      standin_respond_json (
          standin, request, 200,
          make_listing (platform, changes_since (
                                      platform, 0,
                                      httpd_query (request, "kinds"), false)));
      return;
    }
  if (strcmp (request->path, "/watch") == 0)
    start_watch (platform, request);
  else if (strcmp (request->path, "/stats") == 0)
    respond_stats (platform, request);
  else if (sscanf (request->path, "/objects/%63[^/]/%255[^/]", kind, name)
           != 2)
    respond_version (platform, request, 404, 0);
  else if (strcmp (request->method, "GET") == 0)
    read_object (platform, request, kind, name);
  else
    write_object (platform, request, kind, name);
}

static void
platform_create (struct standin *standin)
{
  struct platform *platform = xcalloc (1, sizeof *platform);

  platform->standin = standin;
  platform->objects = json_object ();
  ev_timer_init (&platform->tick, handle_tick, WATCH_TICK_S, WATCH_TICK_S);
  platform->tick.data = platform;
  ev_timer_start (standin->loop, &platform->tick);
  standin->state = platform;
}

static void
platform_destroy (struct standin *standin)
{
  struct platform *platform = standin->state;

  ev_timer_stop (standin->loop, &platform->tick);
  json_decref (platform->objects);
  free (platform);
}

const struct standin_mode standin_platform
    = { .name = "platform",
        .create = platform_create,
        .handle_request = platform_handle_request,
        .destroy = platform_destroy };
