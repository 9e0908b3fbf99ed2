#include "rig.h"
#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum
{
  MAX_HEAD_BYTES = 64 * 1024,
  MAX_RUNS = 100 * 1000,
  MAX_EVENTS = 10 * 1000,
  MAX_CONNECTIONS = 1024,
  BACKLOG = 512,
  READY_MS = 15000,
  TIME_LIMIT_S = 115,
};

static const char PROGRAM[] = "target/galenashored/galenashored";

static FILE *record_file;
static char directory[256];
static int64_t started_ms;
static bool has_trouble = true;
static struct rig_host *all_hosts;
static int host_count;

static struct rig_run runs[MAX_RUNS];
static size_t run_count;
static pthread_mutex_t run_lock = PTHREAD_MUTEX_INITIALIZER;

/* The platform's store. */
static json_t *store_kinds;
static json_t *store_events; /* {kind, rev, removed, object} */
static json_int_t store_revision = 10;
static int store_port;
static bool is_store_down;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed;

int64_t
rig_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
rig_sleep_ms (int64_t ms)
{
  struct timespec wait = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&wait, NULL);
}

/* Writes a line of the record, with the time since the start.  */
void
rig_record (const char *format, ...)
{
  static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
  va_list args;

  pthread_mutex_lock (&lock);
  fprintf (record_file, "%8.3f  ",
           (double)(rig_now_ms () - started_ms) / 1000.0);
  va_start (args, format);
  vfprintf (record_file, format, args);
  va_end (args);
  fputc ('\n', record_file);
  pthread_mutex_unlock (&lock);
}

bool
rig_has_trouble (void)
{
  return has_trouble;
}

static void
remove_tree (const char *path)
{
  DIR *dir = opendir (path);
  const struct dirent *entry;

  while (dir && (entry = readdir (dir)))
    {
      char *child;

      if (strcmp (entry->d_name, ".") == 0 || strcmp (entry->d_name, "..") == 0
          || asprintf (&child, "%s/%s", path, entry->d_name) < 0)
        continue;
      if (unlink (child) != 0)
        remove_tree (child);
      free (child);
    }
  if (dir)
    closedir (dir);
  rmdir (path);
}

/* Ends every process that was started, removes the temporary folder and exits
   with STATUS.  */
void
rig_end (int status)
{
  static const char *const names[]
      = { "the rule held", "the rule was broken", "the case could not run" };

  for (int i = 0; i < host_count; i++)
    if (all_hosts[i].pid > 0)
      {
        kill (all_hosts[i].pid, SIGKILL);
        waitpid (all_hosts[i].pid, NULL, 0);
      }
  rig_record ("%s (exit status %d)", names[status], status);
  fprintf (stderr, "%s\n", names[status]);
  fclose (record_file);
  if (!getenv ("KEEP"))
    remove_tree (directory);
  else
    fprintf (stderr, "logs are in %s\n", directory);
  _exit (status);
}

static void
handle_alarm (int number)
{
  rig_end (RIG_CANNOT_RUN);
}

/* Takes the path of the record as the only argument.  */
void
rig_begin (int argc, char **argv)
{
  const char *trouble = getenv ("TROUBLE");
  const char *parent = getenv ("TMPDIR") ? getenv ("TMPDIR") : "/tmp";
  pthread_condattr_t monotonic;

  if (argc != 2 || !(record_file = fopen (argv[1], "w")))
    exit (RIG_CANNOT_RUN);
  setvbuf (record_file, NULL, _IOLBF, 0);
  has_trouble = !trouble || strcmp (trouble, "0") != 0;
  started_ms = rig_now_ms ();
  snprintf (directory, sizeof directory, "%s/review-XXXXXX", parent);
  if (!mkdtemp (directory))
    exit (RIG_CANNOT_RUN);
  signal (SIGPIPE, SIG_IGN);
  signal (SIGALRM, handle_alarm);
  alarm (TIME_LIMIT_S);
  pthread_condattr_init (&monotonic);
  pthread_condattr_setclock (&monotonic, CLOCK_MONOTONIC);
  pthread_cond_init (&store_changed, &monotonic);
  rig_record ("%s the disruption", has_trouble ? "with" : "without");
}

/* Listens on *PORT, or on a free port if that is 0.  */
static int
listen_on (int *port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)*port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0 || bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, BACKLOG) != 0
      || getsockname (fd, (struct sockaddr *)&address, &len) != 0)
    rig_end (RIG_CANNOT_RUN);
  *port = ntohs (address.sin_port);
  return fd;
}

/* The port stays free for the process that is to listen on it: nobody else is
   given it soon.  */
static int
find_free_port (void)
{
  int port = 0;

  close (listen_on (&port));
  return port;
}

static void
start_thread (void *(*run) (void *), void *data)
{
  pthread_attr_t attributes;
  pthread_t thread;

  pthread_attr_init (&attributes);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attributes, 256 * 1024);
  if (pthread_create (&thread, &attributes, run, data) != 0)
    rig_end (RIG_CANNOT_RUN);
}

/* Messages.  */

void
rig_release (struct rig_message *message)
{
  for (int i = 0; i < message->count; i++)
    {
      free (message->names[i]);
      free (message->values[i]);
    }
  free (message->line);
  free (message->body);
  *message = (struct rig_message){ 0 };
}

const char *
rig_header (const struct rig_message *message, const char *name)
{
  for (int i = 0; i < message->count; i++)
    if (strcasecmp (message->names[i], name) == 0)
      return message->values[i];
  return NULL;
}

static bool
read_line (FILE *stream, char *line, size_t size)
{
  if (!fgets (line, (int)size, stream))
    return false;
  line[strcspn (line, "\r\n")] = '\0';
  return true;
}

static bool
append_bytes (FILE *stream, struct rig_message *message, size_t len)
{
  message->body = realloc (message->body, message->len + len + 1);
  if (fread (message->body + message->len, 1, len, stream) != len)
    return false;
  message->len += len;
  message->body[message->len] = '\0';
  return true;
}

static bool
read_chunks (FILE *stream, struct rig_message *message)
{
  char line[256];

  while (read_line (stream, line, sizeof line))
    {
      size_t len = strtoul (line, NULL, 16);

      if (len > 0 && !append_bytes (stream, message, len))
        return false;
      if (!read_line (stream, line, sizeof line))
        return false;
      if (len == 0)
        return true;
    }
  return false;
}

/* Reads a message with a length or in chunks.  Returns whether its head is
   whole.  */
static bool
read_message (FILE *stream, struct rig_message *message)
{
  char *line = malloc (MAX_HEAD_BYTES);
  const char *length;

  *message = (struct rig_message){ 0 };
  if (!read_line (stream, line, MAX_HEAD_BYTES))
    {
      free (line);
      return false;
    }
  message->line = strdup (line);
  while (read_line (stream, line, MAX_HEAD_BYTES) && *line)
    {
      char *value = strchr (line, ':');

      if (!value || message->count == RIG_MAX_HEADERS)
        continue;
      *value++ = '\0';
      message->names[message->count] = strdup (line);
      message->values[message->count++]
          = strdup (value + strspn (value, " \t"));
    }
  free (line);
  message->body = calloc (1, 1);
  length = rig_header (message, "Content-Length");
  if (rig_header (message, "Transfer-Encoding"))
    message->is_whole = read_chunks (stream, message);
  else
    message->is_whole
        = !length
          || append_bytes (stream, message, strtoul (length, NULL, 10));
  return !ferror (stream);
}

static bool
write_all (int fd, const char *bytes, size_t len)
{
  while (len > 0)
    {
      ssize_t sent = send (fd, bytes, len, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      bytes += sent;
      len -= (size_t)sent;
    }
  return true;
}

/* Servers.  */

/* Handles a request.  Returns false to close the connection.  */
typedef bool request_handler (void *data, int fd,
                              const struct rig_message *message);

struct rig_server
{
  int listener;
  request_handler *handle;
  void *data;
  pthread_mutex_t lock;
  int fds[MAX_CONNECTIONS]; /* open ones; 0: free */
};

struct server_connection
{
  struct rig_server *server;
  int fd;
};

/* Replaces the connection FROM of SERVER by TO; 0 stands for none.  */
static void
replace_connection (struct rig_server *server, int from, int to)
{
  pthread_mutex_lock (&server->lock);
  for (int i = 0; i < MAX_CONNECTIONS; i++)
    if (server->fds[i] == from)
      {
        server->fds[i] = to;
        break;
      }
  pthread_mutex_unlock (&server->lock);
}

static void *
run_connection (void *pointer)
{
  struct server_connection *connection = pointer;
  struct rig_server *server = connection->server;
  FILE *stream = fdopen (connection->fd, "r");
  struct rig_message message;

  while (read_message (stream, &message))
    {
      bool goes_on
          = message.is_whole
            && server->handle (server->data, connection->fd, &message);

      rig_release (&message);
      if (!goes_on)
        break;
    }
  replace_connection (server, connection->fd, 0);
  fclose (stream);
  free (connection);
  return NULL;
}

static void *
run_server (void *pointer)
{
  struct rig_server *server = pointer;
  int on = 1;

  for (;;)
    {
      struct server_connection *connection = calloc (1, sizeof *connection);

      connection->server = server;
      connection->fd = accept4 (server->listener, NULL, NULL, SOCK_CLOEXEC);
      if (connection->fd < 0)
        {
          free (connection);
          return NULL;
        }
      replace_connection (server, 0, connection->fd);
      setsockopt (connection->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      start_thread (run_connection, connection);
    }
  return NULL;
}

/* Starts a server on *PORT, or on a free port if that is 0.  */
static struct rig_server *
start_server (request_handler *handle, void *data, int *port)
{
  struct rig_server *server = calloc (1, sizeof *server);

  pthread_mutex_init (&server->lock, NULL);
  server->listener = listen_on (port);
  server->handle = handle;
  server->data = data;
  start_thread (run_server, server);
  return server;
}

/* Stops listening and ends all connections.  SERVER is not freed, as its
   threads may still run.  */
static void
stop_server (struct rig_server *server)
{
  shutdown (server->listener, SHUT_RDWR);
  close (server->listener);
  pthread_mutex_lock (&server->lock);
  for (int i = 0; i < MAX_CONNECTIONS; i++)
    if (server->fds[i] > 0)
      shutdown (server->fds[i], SHUT_RDWR);
  pthread_mutex_unlock (&server->lock);
}

/* The platform's store.  */

static json_t *
find_kind (const char *kind)
{
  json_t *objects = json_object_get (store_kinds, kind);

  if (!objects)
    {
      objects = json_object ();
      json_object_set_new (store_kinds, kind, objects);
    }
  return objects;
}

static void
add_event (const char *kind, json_t *object, bool is_removed)
{
  json_array_append_new (store_events,
                         json_pack ("{s:s, s:I, s:b, s:O}", "kind", kind,
                                    "rev", store_revision, "removed",
                                    is_removed, "object", object));
  if (json_array_size (store_events) > MAX_EVENTS)
    json_array_remove (store_events, 0);
  pthread_cond_broadcast (&store_changed);
}

/* Creates or changes an object: PART, "spec" or "status", becomes CONTENT.
   Returns the object, which the store owns.  */
static json_t *
put_object (const char *kind, const char *name, const char *part,
            json_t *content)
{
  json_t *objects = find_kind (kind);
  json_t *known = json_object_get (objects, name);
  json_t *object;

  if (known && json_equal (json_object_get (known, part), content))
    return known;
  store_revision++;
  object = known ? json_deep_copy (known)
                 : json_pack ("{s:{s:s, s:I, s:I, s:[], s:b}, s:{}, s:{}}",
                              "metadata", "name", name, "rev", store_revision,
                              "create_rev", store_revision, "finalizers",
                              "deleting", 0, "spec", "status");
  json_object_set_new (json_object_get (object, "metadata"), "rev",
                       json_integer (store_revision));
  json_object_set (object, part, content);
  json_object_set_new (objects, name, object);
  add_event (kind, object, false);
  return object;
}

static bool
remove_object (const char *kind, const char *name)
{
  json_t *objects = find_kind (kind);
  json_t *object = json_object_get (objects, name);

  if (!object)
    return false;
  json_incref (object);
  json_object_del (objects, name);
  store_revision++;
  json_object_set_new (json_object_get (object, "metadata"), "rev",
                       json_integer (store_revision));
  add_event (kind, object, true);
  json_decref (object);
  return true;
}

static bool
respond_json (int fd, int status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  char *answer;
  int len = asprintf (&answer,
                      "HTTP/1.1 %d Status\r\nContent-Type: application/json"
                      "\r\nContent-Length: %zu\r\n\r\n%s",
                      status, strlen (text), text);
  bool is_sent = write_all (fd, answer, (size_t)len);

  json_decref (body);
  free (text);
  free (answer);
  return is_sent;
}

static long long
query_number (const char *query, const char *name)
{
  const char *at = query ? strstr (query, name) : NULL;

  return at ? strtoll (at + strlen (name), NULL, 10) : -1;
}

/* Answers as soon as there is a change of KIND after SINCE.  The caller holds
   the lock.  */
static json_t *
wait_for_changes (const char *kind, long long since, long long wait_ms)
{
  struct timespec until;

  clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_sec += wait_ms / 1000;
  until.tv_nsec += wait_ms % 1000 * 1000000;
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  for (;;)
    {
      json_t *events = json_array ();
      json_t *event;
      size_t i;

      json_array_foreach (store_events, i, event)
      {
        if (json_integer_value (json_object_get (event, "rev")) > since
            && strcmp (json_string_value (json_object_get (event, "kind")),
                       kind)
                   == 0)
          json_array_append_new (
              events, json_pack ("{s:O, s:O}", "object",
                                 json_object_get (event, "object"), "removed",
                                 json_object_get (event, "removed")));
      }
      if ((!is_store_down && json_array_size (events) > 0)
          || pthread_cond_timedwait (&store_changed, &store_lock, &until)
                 == ETIMEDOUT)
        return json_pack ("{s:o, s:I}", "events", events, "store_revision",
                          store_revision);
      json_decref (events);
    }
}

static json_t *
list_objects (const char *kind)
{
  json_t *items = json_array ();
  const char *name;
  json_t *object;

  json_object_foreach (find_kind (kind), name, object)
  {
    json_array_append (items, object);
  }
  return json_pack ("{s:o, s:b, s:I}", "items", items, "has_more", 0,
                    "store_revision", store_revision);
}

static json_t *
call_store (const char *method, const char *kind, const char *name,
            const char *query, json_t *body, int *status)
{
  json_t *known = name ? json_object_get (find_kind (kind), name) : NULL;
  const char *given = json_string_value (
      json_object_get (json_object_get (body, "metadata"), "name"));

  *status = 200;
  if (strcmp (method, "GET") == 0 && !name)
    return query_number (query, "watch=") >= 0
               ? wait_for_changes (kind, query_number (query, "watch="),
                                   query_number (query, "wait_ms="))
               : list_objects (kind);
  if (strcmp (method, "POST") == 0 && given)
    {
      known = json_object_get (find_kind (kind), given);
      if (known)
        {
          *status = 409;
          return json_incref (known);
        }
      *status = 201;
      return json_incref (
          put_object (kind, given, "spec", json_object_get (body, "spec")));
    }
  if (!known)
    {
      *status = 404;
      return json_object ();
    }
  if (strcmp (method, "DELETE") == 0)
    {
      remove_object (kind, name);
      return json_object ();
    }
  if (strcmp (method, "PUT") == 0)
    {
      const char *part = json_object_get (body, "spec") ? "spec" : "status";

      return json_incref (
          put_object (kind, name, part, json_object_get (body, part)));
    }
  return json_incref (known);
}

/* A store that is down is silent.  The caller holds the lock.  */
static void
wait_until_up (void)
{
  while (is_store_down)
    pthread_cond_wait (&store_changed, &store_lock);
}

static bool
handle_store_request (void *data, int fd, const struct rig_message *message)
{
  char method[16];
  char target[512];
  char *query;
  char *kind;
  char *name;
  char *rest;
  json_t *body = json_loadb (message->body, message->len, 0, NULL);
  json_t *reply;
  int status;

  if (sscanf (message->line, "%15s %511s", method, target) != 2
      || strncmp (target, "/objects/", 9) != 0)
    return respond_json (fd, 404, json_object ());
  query = strchr (target, '?');
  if (query)
    *query++ = '\0';
  kind = target + 9;
  name = strchr (kind, '/');
  if (name)
    *name++ = '\0';
  rest = name ? strchr (name, '/') : NULL;
  if (rest)
    *rest = '\0';
  pthread_mutex_lock (&store_lock);
  wait_until_up ();
  reply = call_store (method, kind, name, query, body, &status);
  if (strcmp (method, "GET") != 0)
    rig_record ("store: %s %s/%s: %d", method, kind, name ? name : "", status);
  wait_until_up ();
  reply = json_deep_copy (reply);
  pthread_mutex_unlock (&store_lock);
  json_decref (body);
  return respond_json (fd, status, reply);
}

void
rig_start_store (void)
{
  store_kinds = json_object ();
  store_events = json_array ();
  start_server (handle_store_request, NULL, &store_port);
}

/* Writes an object, as the operator or a worker does.  */
void
rig_store_put (const char *kind, const char *name, json_t *spec)
{
  pthread_mutex_lock (&store_lock);
  put_object (kind, name, "spec", spec);
  pthread_mutex_unlock (&store_lock);
  json_decref (spec);
}

/* Makes the store silent, or has it answer again.  */
void
rig_set_store_down (bool is_down)
{
  pthread_mutex_lock (&store_lock);
  is_store_down = is_down;
  pthread_cond_broadcast (&store_changed);
  pthread_mutex_unlock (&store_lock);
  rig_record ("the store %s", is_down ? "is silent" : "answers again");
}

/* Workers.  */

static void
record_run (const struct rig_worker *worker, const struct rig_message *message,
            const char *attempt)
{
  struct rig_run run = { .at_ms = rig_now_ms (),
                         .worker = worker->id,
                         .body_bytes = message->len };

  snprintf (run.attempt, sizeof run.attempt, "%s", attempt);
  sscanf (message->line, "%15s %63s", run.method, run.target);
  pthread_mutex_lock (&run_lock);
  if (run_count < MAX_RUNS)
    runs[run_count++] = run;
  pthread_mutex_unlock (&run_lock);
}

size_t
rig_run_count (void)
{
  size_t count;

  pthread_mutex_lock (&run_lock);
  count = run_count;
  pthread_mutex_unlock (&run_lock);
  return count;
}

struct rig_run
rig_run_at (size_t index)
{
  struct rig_run run;

  pthread_mutex_lock (&run_lock);
  run = runs[index];
  pthread_mutex_unlock (&run_lock);
  return run;
}

static const char *
version_of (const struct rig_worker *worker)
{
  return worker->version ? worker->version : "v1";
}

static bool
send_stream (const struct rig_worker *worker, int fd, const char *headers,
             int first)
{
  const char *version = version_of (worker);
  char text[512];
  int len = snprintf (text, sizeof text,
                      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n%s\r\n",
                      headers);

  if (!write_all (fd, text, (size_t)len))
    return false;
  for (int i = first; i < worker->events; i++)
    {
      char event[64];
      int event_len = snprintf (event, sizeof event, "id: %d\ndata: %s-%d\n\n",
                                i, version, i);

      rig_sleep_ms (worker->work_ms);
      len = snprintf (text, sizeof text, "%x\r\n%s\r\n", (unsigned)event_len,
                      event);
      if (!write_all (fd, text, (size_t)len))
        return false;
    }
  return write_all (fd, "0\r\n\r\n", 5);
}

static bool
handle_work (void *data, int fd, const struct rig_message *message)
{
  const struct rig_worker *worker = data;
  const char *attempt = rig_header (message, "Attempt-Id");
  const char *expected = rig_header (message, "Expect-Instance");
  const char *after = rig_header (message, "Last-Event-Id");
  char headers[256];
  char text[512];
  int len;

  snprintf (headers, sizeof headers,
            "Attempt-Id: %s\r\nServer-Stamp: %s.%s\r\n",
            attempt ? attempt : "", worker->id, attempt ? attempt : "");
  if (!attempt || (expected && strcmp (expected, worker->id) != 0))
    {
      len = snprintf (text, sizeof text,
                      "HTTP/1.1 %s\r\nNot-Executed: 1\r\nAttempt-Id: %s\r\n"
                      "Content-Length: 0\r\n\r\n",
                      attempt ? "421 Misdirected" : "400 Bad",
                      attempt ? attempt : "");
      return write_all (fd, text, (size_t)len);
    }
  record_run (worker, message, attempt);
  if (rig_header (message, "Token-Usage"))
    return send_stream (worker, fd, headers, after ? atoi (after) + 1 : 0);
  rig_sleep_ms (worker->work_ms);
  len = snprintf (text, sizeof text,
                  "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", headers);
  return write_all (fd, text, (size_t)len);
}

/* Writes the entry of WORKER into the store, which must be up.  */
void
rig_register_worker (const struct rig_worker *worker)
{
  char address[32];
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  snprintf (address, sizeof address, "127.0.0.1:%d", worker->port);
  rig_store_put (
      "servers", worker->id,
      json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i, s:I}", "backend",
                 worker->service, "address", address, "zone", worker->zone,
                 "version", "v1", "max_concurrency", worker->slots, "state",
                 "ready", "cold_remaining_ms", 0, "seq", 1, "born",
                 (json_int_t)now.tv_sec * 1000 + now.tv_nsec / 1000000));
}

/* Starts WORKER, which must stay valid, and registers it.  */
void
rig_start_worker (struct rig_worker *worker)
{
  worker->server = start_server (handle_work, worker, &worker->port);
  rig_register_worker (worker);
}

/* Has WORKER start again, under the id and at the address that it had, with
   another VERSION of its software.  It is not registered yet.  */
void
rig_restart_worker (struct rig_worker *worker, const char *version,
                    int down_ms)
{
  stop_server (worker->server);
  rig_record ("%s ends", worker->id);
  rig_sleep_ms (down_ms);
  worker->version = version;
  worker->server = start_server (handle_work, worker, &worker->port);
  rig_record ("%s has started again, version %s", worker->id, version);
}

/* Hosts.  */

/* Sets the processes of the deployment, and finds ports for them.  */
void
rig_set_hosts (struct rig_host *hosts, int count)
{
  all_hosts = hosts;
  host_count = count;
  for (int i = 0; i < count; i++)
    {
      hosts[i].caller_port = find_free_port ();
      hosts[i].health_port = find_free_port ();
      hosts[i].peer_port = find_free_port ();
      hosts[i].metrics_port = find_free_port ();
      hosts[i].first_start = true;
    }
}

static void
data_directory (const struct rig_host *host, char *out, size_t size)
{
  snprintf (out, size, "%s/data-%s", directory, host->name);
}

static json_t *
make_seeds (void)
{
  json_t *seeds = json_array ();

  for (int i = 0; i < host_count && json_array_size (seeds) < 3; i++)
    if (!all_hosts[i].is_keeper)
      json_array_append_new (
          seeds, json_sprintf ("127.0.0.1:%d", all_hosts[i].peer_port));
  return seeds;
}

static void
set_address (json_t *settings, const char *name, int port)
{
  json_object_set_new (settings, name, json_sprintf ("127.0.0.1:%d", port));
}

/* Writes the settings of HOST as the templates in deploy/ render them for a
   small deployment.  */
static void
write_settings (const struct rig_host *host, const char *path)
{
  char data[512];
  json_t *settings = json_pack (
      "{s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:i, s:i, s:b, s:o}", "host",
      host->name, "data_centre", host->zone, "role",
      host->is_keeper ? "keeper" : "entry", "stop_grace_s", 8,
      "config_within_ms", 2000, "drain_within_ms", 2000, "contact_ms", 3000,
      "memory_limit_mb", 260, "tolerated_losses", 1, "first_start",
      host->first_start, "seeds", make_seeds ());

  set_address (settings, "peer_listen", host->peer_port);
  set_address (settings, "metrics_listen", host->metrics_port);
  set_address (settings, "store_address", store_port);
  if (host->is_keeper)
    {
      data_directory (host, data, sizeof data);
      mkdir (data, 0700);
      json_object_set_new (settings, "data_dir", json_string (data));
    }
  else
    {
      set_address (settings, "caller_listen", host->caller_port);
      set_address (settings, "health_listen", host->health_port);
      json_object_set_new (settings, "limit_window_s", json_integer (5));
      json_object_set_new (settings, "contracts",
                           json_pack ("[s, s, s, s, s, s, s, s, s, s, s]",
                                      "base", "drain", "config", "cost",
                                      "recover", "agent", "stream", "engine",
                                      "tenants", "quota", "platform"));
    }
  if (json_dump_file (settings, path, 0) != 0)
    rig_end (RIG_CANNOT_RUN);
  json_decref (settings);
}

/* Starts HOST with the command of the deploy file.  */
void
rig_start_host (struct rig_host *host)
{
  char settings[512];
  char variable[600];
  char log[512];
  char name[] = "PATH=/usr/bin:/bin";
  char program[sizeof PROGRAM];
  char option[] = "--on-platform";
  char *arguments[] = { program, option, NULL };
  char *environment[] = { variable, name, NULL };

  snprintf (settings, sizeof settings, "%s/%s.json", directory, host->name);
  snprintf (variable, sizeof variable, "GALENASHORE_CONFIG=%s", settings);
  snprintf (log, sizeof log, "%s/%s.log", directory, host->name);
  memcpy (program, PROGRAM, sizeof PROGRAM);
  write_settings (host, settings);
  host->pid = fork ();
  if (host->pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      execve (program, arguments, environment);
      _exit (127);
    }
  rig_record ("%s %s", host->first_start ? "started" : "started again",
              host->name);
  host->first_start = false;
}

/* Kills the process of HOST and waits for its end.  */
void
rig_kill_host (struct rig_host *host)
{
  kill (host->pid, SIGKILL);
  waitpid (host->pid, NULL, 0);
  host->pid = 0;
  rig_record ("killed %s", host->name);
}

/* Stops the process of HOST with SIGTERM, and kills it after WAIT_MS.  */
void
rig_stop_host (struct rig_host *host, int wait_ms)
{
  int64_t until_ms = rig_now_ms () + wait_ms;

  rig_record ("SIGTERM to %s", host->name);
  kill (host->pid, SIGTERM);
  while (waitpid (host->pid, NULL, WNOHANG) == 0)
    {
      if (rig_now_ms () >= until_ms)
        {
          rig_kill_host (host);
          return;
        }
      rig_sleep_ms (5);
    }
  host->pid = 0;
  rig_record ("%s has ended", host->name);
}

/* Empties the disk of HOST, which is down.  */
void
rig_wipe_host (const struct rig_host *host)
{
  char data[512];

  data_directory (host, data, sizeof data);
  remove_tree (data);
  rig_record ("%s has lost its disk", host->name);
}

/* Waits until all entry hosts are ready.  */
void
rig_wait_ready (void)
{
  int64_t until_ms = rig_now_ms () + READY_MS;

  for (int i = 0; i < host_count; i++)
    while (!all_hosts[i].is_keeper)
      {
        struct rig_answer answer
            = rig_call (all_hosts[i].health_port,
                        "GET /readyz HTTP/1.1\r\nHost: probe\r\n", NULL, 1000);
        bool is_ready = answer.status == 200;

        rig_release (&answer.message);
        if (is_ready)
          break;
        if (rig_now_ms () >= until_ms)
          {
            rig_record ("%s is not ready", all_hosts[i].name);
            rig_end (RIG_CANNOT_RUN);
          }
        rig_sleep_ms (50);
      }
}

/* Sends a request on a new connection: HEAD is its first lines, each with its
   end.  The caller releases the message of the answer.  */
struct rig_answer
rig_call (int port, const char *head, const char *body, int timeout_ms)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  struct timeval timeout = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
  struct rig_answer answer = { 0 };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  char *text;
  int len = body ? asprintf (&text, "%sContent-Length: %zu\r\n\r\n%s", head,
                             strlen (body), body)
                 : asprintf (&text, "%s\r\n", head);
  FILE *stream;

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0
      || !write_all (fd, text, (size_t)len))
    {
      close (fd);
      free (text);
      return answer;
    }
  free (text);
  stream = fdopen (fd, "r");
  if (read_message (stream, &answer.message))
    sscanf (answer.message.line, "HTTP/1.1 %d", &answer.status);
  fclose (stream);
  return answer;
}
