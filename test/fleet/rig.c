#include "rig.h"
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
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
  START_TIMEOUT_MS = 10000,
  CALL_TIMEOUT_MS = 3000,
  /* Programs that run side by side mostly begin at different ports. */
  FIRST_PORT = 2000,
  PORT_BLOCK = 100,
  PORT_BLOCKS = 79,
  LIMIT_S = 58, /* of a test, unless RIG_LIMIT_S sets another */
  READ_BYTES = 16 * 1024,
};

bool rig_has_trouble = true;

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char directory[128];
static int store_port;
static pid_t store_pid;
static struct rig_host hosts[RIG_MAX_HOSTS];
static int host_count;
static int64_t begun_ms;
static char seeds[256];

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

  while (nanosleep (&wait, &wait) != 0 && errno == EINTR)
    ;
}

/* Writes a line to the record, with the time since the start.  */
void
rig_record (const char *format, ...)
{
  va_list arguments;

  pthread_mutex_lock (&record_lock);
  fprintf (record_file, "%7.3f ", (double)(rig_now_ms () - begun_ms) / 1000);
  va_start (arguments, format);
  vfprintf (record_file, format, arguments);
  va_end (arguments);
  fputc ('\n', record_file);
  fflush (record_file);
  pthread_mutex_unlock (&record_lock);
}

static void
kill_all (void)
{
  for (int i = 0; i < host_count; i++)
    if (hosts[i].pid > 0)
      {
        kill (hosts[i].pid, SIGKILL);
        waitpid (hosts[i].pid, NULL, 0);
        hosts[i].pid = 0;
      }
  if (store_pid > 0)
    {
      kill (store_pid, SIGKILL);
      waitpid (store_pid, NULL, 0);
      store_pid = 0;
    }
}

static void
handle_limit (int number)
{
  kill_all ();
  _exit (RIG_COULD_NOT);
}

/* Ends all processes that were started, and this one.  */
void
rig_finish (int status)
{
  char *command;

  rig_record ("result: %s", status == RIG_HELD     ? "the rule held"
                            : status == RIG_BROKEN ? "the rule was broken"
                                                   : "could not run");
  kill_all ();
  if (!getenv ("RIG_KEEP") && asprintf (&command, "rm -rf %s", directory) > 0)
    {
      if (system (command) != 0)
        fprintf (stderr, "cannot remove %s\n", directory);
      free (command);
    }
  fflush (record_file);
  _exit (status);
}

/* Opens the record and a temporary folder.  */
void
rig_begin (const char *record)
{
  const char *trouble = getenv ("TROUBLE");
  const char *limit = getenv ("RIG_LIMIT_S");

  begun_ms = rig_now_ms ();
  rig_has_trouble = !trouble || strcmp (trouble, "0") != 0;
  record_file = fopen (record, "w");
  if (!record_file)
    {
      perror (record);
      exit (RIG_COULD_NOT);
    }
  snprintf (directory, sizeof directory, "/tmp/fleet-XXXXXX");
  if (!mkdtemp (directory))
    exit (RIG_COULD_NOT);
  signal (SIGPIPE, SIG_IGN);
  signal (SIGALRM, handle_limit);
  signal (SIGTERM, handle_limit);
  signal (SIGINT, handle_limit);
  alarm (limit ? (unsigned)atoi (limit) : LIMIT_S);
  rig_record ("%s the disruption", rig_has_trouble ? "with" : "without");
}

/* Returns a socket bound to PORT, or to a free one if that is 0.  */
static int
bind_port (int *port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)*port) };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || getsockname (fd, (struct sockaddr *)&address, &len) != 0)
    rig_finish (RIG_COULD_NOT);
  *port = ntohs (address.sin_port);
  return fd;
}

/* Whether nobody listens on PORT, as far as this process may.  */
static bool
is_free (int port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool is_bound;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  is_bound = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;
  close (fd);
  return is_bound;
}

/* Returns a port that no outgoing connection gets before a host listens on
   it: one below the range that the system takes these from.  */
int
rig_free_port (void)
{
  static int next;

  if (next == 0)
    next = FIRST_PORT + getpid () % PORT_BLOCKS * PORT_BLOCK;
  while (!is_free (++next))
    continue;
  return next;
}

void
rig_thread (void *(*run) (void *data), void *data)
{
  pthread_t thread;

  if (pthread_create (&thread, NULL, run, data) != 0)
    rig_finish (RIG_COULD_NOT);
  pthread_detach (thread);
}

/* HTTP.  */

/* Returns a connection to PORT whose reads time out, or -1.  RECEIVE_BUFFER
   bounds what the kernel takes for it; 0 for the default.  */
int
rig_connect (int port, int receive_buffer, int64_t timeout_ms)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  struct timeval timeout = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (receive_buffer > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                sizeof receive_buffer);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

void
rig_connection_init (struct rig_connection *connection, int fd)
{
  *connection = (struct rig_connection){ .fd = fd };
}

void
rig_connection_close (struct rig_connection *connection)
{
  if (connection->fd >= 0)
    close (connection->fd);
  free (connection->buffer);
  *connection = (struct rig_connection){ .fd = -1 };
}

bool
rig_send (int fd, const char *bytes, size_t len)
{
  while (len > 0)
    {
      ssize_t sent = send (fd, bytes, len, MSG_NOSIGNAL);

      if (sent < 0 && errno == EINTR)
        continue;
      if (sent <= 0)
        return false;
      bytes += sent;
      len -= (size_t)sent;
    }
  return true;
}

bool
rig_printf (int fd, const char *format, ...)
{
  va_list arguments;
  char *text;
  int len;
  bool is_sent;

  va_start (arguments, format);
  len = vasprintf (&text, format, arguments);
  va_end (arguments);
  if (len < 0)
    return false;
  is_sent = rig_send (fd, text, (size_t)len);
  free (text);
  return is_sent;
}

/* Reads more into the buffer.  Returns as recv.  */
static ssize_t
read_more (struct rig_connection *connection)
{
  ssize_t got;

  if (connection->capacity - connection->len < READ_BYTES)
    {
      connection->capacity = connection->len + 2 * READ_BYTES;
      connection->buffer
          = realloc (connection->buffer, connection->capacity + 1);
    }
  do
    got = recv (connection->fd, connection->buffer + connection->len,
                READ_BYTES, 0);
  while (got < 0 && errno == EINTR);
  if (got > 0)
    connection->len += (size_t)got;
  connection->buffer[connection->len] = '\0';
  return got;
}

static void
consume (struct rig_connection *connection, size_t len)
{
  memmove (connection->buffer, connection->buffer + len,
           connection->len - len);
  connection->len -= len;
  connection->buffer[connection->len] = '\0';
}

static enum rig_end
end_of (ssize_t got)
{
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) ? RIG_TIMED_OUT
                                                              : RIG_CUT;
}

static bool
read_head (struct rig_connection *connection, struct rig_message *message)
{
  char *end;

  memset (message, 0, offsetof (struct rig_message, end));
  message->end = RIG_COMPLETE;
  while (!connection->buffer
         || !(end = strstr (connection->buffer, "\r\n\r\n")))
    {
      ssize_t got = read_more (connection);

      if (got <= 0)
        {
          message->end = end_of (got);
          return false;
        }
    }
  *end = '\0';
  snprintf (message->head, sizeof message->head, "%s", connection->buffer);
  *end = '\r';
  consume (connection, (size_t)(end - connection->buffer) + 4);
  return true;
}

bool
rig_header (const struct rig_message *message, const char *name, char *value,
            size_t size)
{
  const char *line = message->head;
  size_t len = strlen (name);

  while ((line = strstr (line, "\r\n")))
    {
      line += 2;
      if (strncasecmp (line, name, len) != 0 || line[len] != ':')
        continue;
      line += len + 1;
      line += strspn (line, " ");
      snprintf (value, size, "%.*s", (int)strcspn (line, "\r"), line);
      return true;
    }
  return false;
}

static void
append_body (struct rig_message *message, const char *bytes, size_t len)
{
  message->body = realloc (message->body, message->body_len + len + 1);
  memcpy (message->body + message->body_len, bytes, len);
  message->body_len += len;
  message->body[message->body_len] = '\0';
}

/* Moves LEN bytes to the body, as far as they come.  */
static bool
take (struct rig_connection *connection, struct rig_message *message,
      size_t len)
{
  while (len > 0)
    {
      size_t part = connection->len < len ? connection->len : len;
      ssize_t got;

      if (part > 0)
        {
          append_body (message, connection->buffer, part);
          consume (connection, part);
          len -= part;
          continue;
        }
      got = read_more (connection);
      if (got > 0)
        continue;
      message->end = end_of (got);
      return false;
    }
  return true;
}

static bool
take_chunks (struct rig_connection *connection, struct rig_message *message)
{
  for (;;)
    {
      char *end;
      size_t size;

      while (!connection->buffer
             || !(end = strstr (connection->buffer, "\r\n")))
        {
          ssize_t got = read_more (connection);

          if (got > 0)
            continue;
          message->end = end_of (got);
          return false;
        }
      size = strtoul (connection->buffer, NULL, 16);
      consume (connection, (size_t)(end - connection->buffer) + 2);
      if (!take (connection, message, size))
        return false;
      while (connection->len < 2)
        {
          ssize_t got = read_more (connection);

          if (got > 0)
            continue;
          message->end = end_of (got);
          return false;
        }
      consume (connection, 2);
      if (size == 0)
        return true;
    }
}

static bool
read_body (struct rig_connection *connection, struct rig_message *message,
           bool is_response)
{
  char value[64];
  ssize_t got;

  if (rig_header (message, "Transfer-Encoding", value, sizeof value))
    return take_chunks (connection, message);
  if (rig_header (message, "Content-Length", value, sizeof value))
    return take (connection, message, strtoul (value, NULL, 10));
  if (!is_response || message->status == 204)
    return true;
  do
    {
      append_body (message, connection->buffer, connection->len);
      consume (connection, connection->len);
      got = read_more (connection);
    }
  while (got > 0);
  message->end = got == 0 ? RIG_COMPLETE : end_of (got);
  return got == 0;
}

/* Reads a request.  Returns false if there is none or it is cut.  */
bool
rig_read_request (struct rig_connection *connection,
                  struct rig_message *request)
{
  if (!read_head (connection, request))
    return false;
  sscanf (request->head, "%15s %1023s", request->method, request->target);
  return read_body (connection, request, false);
}

/* Reads a response, interim ones skipped.  Returns whether it is complete.  */
bool
rig_read_response (struct rig_connection *connection,
                   struct rig_message *response)
{
  do
    {
      if (!read_head (connection, response))
        return false;
      sscanf (response->head, "HTTP/1.%*c %d", &response->status);
    }
  while (response->status / 100 == 1);
  return read_body (connection, response, true);
}

void
rig_message_release (struct rig_message *message)
{
  free (message->body);
  message->body = NULL;
  message->body_len = 0;
}

/* The store.  */

static pid_t
spawn (char *const arguments[], const char *log, const char *settings)
{
  pid_t pid = fork ();
  int fd;

  if (pid != 0)
    return pid;
  /* Nothing stays behind if this program is killed.  To be called by its main
     thread, with which the child would end otherwise. */
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2 (fd, STDOUT_FILENO);
  dup2 (fd, STDERR_FILENO);
  if (settings)
    setenv ("GALENASHORE_CONFIG", settings, 1);
  execv (arguments[0], arguments);
  _exit (EXIT_FAILURE);
}

static int
call_store (const char *method, const char *path, const char *body)
{
  struct rig_connection connection;
  struct rig_message response = { .status = 0 };
  int fd = rig_connect (store_port, 0, CALL_TIMEOUT_MS);
  int status = 0;

  if (fd < 0)
    return 0;
  rig_connection_init (&connection, fd);
  if (rig_printf (fd,
                  "%s %s HTTP/1.1\r\nHost: store\r\nContent-Type: "
                  "application/json\r\nContent-Length: %zu\r\n\r\n%s",
                  method, path, strlen (body), body)
      && rig_read_response (&connection, &response))
    status = response.status;
  rig_message_release (&response);
  rig_connection_close (&connection);
  return status;
}

int
rig_store_port (void)
{
  return store_port;
}

/* Returns the path of a program, which the variable NAME holds.  */
static char *
program_path (const char *name)
{
  char *path = getenv (name);

  if (!path)
    {
      rig_record ("%s names no program", name);
      rig_finish (RIG_COULD_NOT);
    }
  return path;
}

/* Starts the project's stand-in of the platform's store.  */
void
rig_start_store (void)
{
  char port[16];
  char log[256];
  char *arguments[] = { program_path ("RIG_STANDIN"),
                        (char *)"--mode",
                        (char *)"objects",
                        (char *)"--port",
                        port,
                        NULL };
  int64_t until_ms = rig_now_ms () + START_TIMEOUT_MS;

  store_port = rig_free_port ();
  snprintf (port, sizeof port, "%d", store_port);
  snprintf (log, sizeof log, "%s/store.log", directory);
  store_pid = spawn (arguments, log, NULL);
  while (call_store ("GET", "/objects/config", "") != 200)
    {
      if (rig_now_ms () > until_ms)
        {
          rig_record ("the store did not start");
          rig_finish (RIG_COULD_NOT);
        }
      rig_sleep_ms (20);
    }
}

/* Writes an object.  Returns the store's status.  */
int
rig_put (const char *kind, const char *name, const char *spec)
{
  char *path;
  char *body;
  int status;

  if (asprintf (&body, "{\"metadata\": {\"name\": \"%s\"}, \"spec\": %s}",
                name, spec)
      < 0)
    rig_finish (RIG_COULD_NOT);
  if (asprintf (&path, "/objects/%s/%s", kind, name) < 0)
    rig_finish (RIG_COULD_NOT);
  status = call_store ("PUT", path, body);
  free (path);
  if (status == 404)
    {
      if (asprintf (&path, "/objects/%s", kind) < 0)
        rig_finish (RIG_COULD_NOT);
      status = call_store ("POST", path, body);
      free (path);
    }
  free (body);
  if (status != 200 && status != 201)
    {
      rig_record ("the store answers %d to %s/%s", status, kind, name);
      rig_finish (RIG_COULD_NOT);
    }
  return status;
}

void
rig_remove (const char *kind, const char *name)
{
  char *path;

  if (asprintf (&path, "/objects/%s/%s", kind, name) < 0)
    rig_finish (RIG_COULD_NOT);
  call_store ("DELETE", path, "");
  free (path);
}

/* Writes the entry of SERVER in the platform's list.  */
void
rig_register_server (struct rig_server *server, const char *state)
{
  char *spec;

  if (asprintf (&spec,
                "{\"backend\": \"%s\", \"address\": \"127.0.0.1:%d\", "
                "\"zone\": \"%s\", %s%s%s\"max_concurrency\": %d, "
                "\"state\": \"%s\", \"cold_remaining_ms\": 0, "
                "\"born\": %lld, \"seq\": %lld}",
                server->service, server->port, server->zone,
                server->version ? "\"version\": \"" : "",
                server->version ? server->version : "",
                server->version ? "\", " : "", server->slots, state,
                (long long)server->born_ms, (long long)++server->sequence)
      < 0)
    rig_finish (RIG_COULD_NOT);
  rig_put ("servers", server->id, spec);
  free (spec);
}

/* Hosts.  */

/* Adds a host with the settings that the templates of the deploy file give a
   machine of a small deployment.  SETTINGS is further members, or "".  */
struct rig_host *
rig_add_host (const char *name, const char *zone, bool is_keeper, int losses,
              const char *settings)
{
  struct rig_host *host = &hosts[host_count++];
  FILE *file;

  *host = (struct rig_host){ .zone = zone,
                             .is_keeper = is_keeper,
                             .caller_port = rig_free_port (),
                             .health_port = rig_free_port (),
                             .peer_port = rig_free_port (),
                             .metrics_port = rig_free_port () };
  snprintf (host->name, sizeof host->name, "%s", name);
  snprintf (host->settings, sizeof host->settings, "%s/%s.json", directory,
            name);
  snprintf (host->log, sizeof host->log, "%s/%s.log", directory, name);
  if (!is_keeper && strlen (seeds) < sizeof seeds - 32)
    snprintf (seeds + strlen (seeds), sizeof seeds - strlen (seeds),
              "%s\"127.0.0.1:%d\"", *seeds ? ", " : "", host->peer_port);
  snprintf (host->settings, sizeof host->settings, "%s/%s.json", directory,
            name);
  file = fopen (host->settings, "w");
  if (!file)
    rig_finish (RIG_COULD_NOT);
  fprintf (
      file,
      "{\"host\": \"%s\", \"data_centre\": \"%s\", \"role\": \"%s\", "
      "\"peer_listen\": \"127.0.0.1:%d\", \"metrics_listen\": "
      "\"127.0.0.1:%d\", \"store_address\": \"127.0.0.1:%d\", \"seeds\": [%s],"
      " \"stop_grace_s\": 8, \"config_within_ms\": 2000, "
      "\"drain_within_ms\": 2000, \"contact_ms\": 3000, "
      "\"tolerated_losses\": %d, \"first_start\": true%s, ",
      name, zone, is_keeper ? "keeper" : "entry", host->peer_port,
      host->metrics_port, store_port, seeds, losses, settings);
  if (is_keeper)
    fprintf (file, "\"memory_limit_mb\": 120, \"data_dir\": \"%s/data-%s\"}\n",
             directory, name);
  else
    fprintf (file,
             "\"caller_listen\": \"127.0.0.1:%d\", \"health_listen\": "
             "\"127.0.0.1:%d\", \"limit_window_s\": 5, %s"
             "\"contracts\": [\"base\", \"drain\", \"config\", \"cost\", "
             "\"recover\", \"agent\", \"stream\", \"engine\", \"tenants\", "
             "\"quota\", \"platform\"]}\n",
             host->caller_port, host->health_port,
             strstr (settings, "memory_limit_mb")
                 ? ""
                 : "\"memory_limit_mb\": 110, ");
  fclose (file);
  return host;
}

/* Has the settings say that the system has started before.  */
static void
clear_first_start (const struct rig_host *host)
{
  char text[4096];
  FILE *file = fopen (host->settings, "r");
  size_t len = file ? fread (text, 1, sizeof text - 1, file) : 0;
  char *at;

  if (file)
    fclose (file);
  text[len] = '\0';
  at = strstr (text, "\"first_start\": true");
  if (!at)
    return;
  file = fopen (host->settings, "w");
  fprintf (file, "%.*s\"first_start\": false%s", (int)(at - text), text,
           at + strlen ("\"first_start\": true"));
  fclose (file);
}

/* Starts the process of HOST.  */
void
rig_start_host (struct rig_host *host)
{
  char *arguments[]
      = { program_path ("RIG_DAEMON"), (char *)"--on-platform", NULL };
  char data[300];

  if (host->was_started)
    clear_first_start (host);
  snprintf (data, sizeof data, "%s/data-%s", directory, host->name);
  mkdir (data, 0700);
  host->was_started = true;
  host->pid = spawn (arguments, host->log, host->settings);
}

void
rig_signal_host (struct rig_host *host, int number)
{
  if (host->pid <= 0)
    return;
  kill (host->pid, number);
  if (number != SIGKILL)
    return;
  waitpid (host->pid, NULL, 0);
  host->pid = 0;
}

/* Removes what lies on the disk of HOST, which must not run.  */
void
rig_wipe_host (const struct rig_host *host)
{
  char *command;

  if (asprintf (&command, "rm -rf %s/data-%s", directory, host->name) < 0)
    rig_finish (RIG_COULD_NOT);
  if (system (command) != 0)
    rig_finish (RIG_COULD_NOT);
  free (command);
}

/* Whether the process of HOST has ended.  */
bool
rig_has_exited (struct rig_host *host)
{
  if (host->pid > 0 && waitpid (host->pid, NULL, WNOHANG) > 0)
    host->pid = 0;
  return host->pid == 0;
}

static bool
is_ready (const struct rig_host *host)
{
  struct rig_connection connection;
  struct rig_message response = { .status = 0 };
  int fd = rig_connect (host->health_port, 0, CALL_TIMEOUT_MS);
  bool is_ok;

  if (fd < 0)
    return false;
  rig_connection_init (&connection, fd);
  rig_printf (fd, "GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n");
  is_ok = rig_read_response (&connection, &response) && response.status == 200;
  rig_message_release (&response);
  rig_connection_close (&connection);
  return is_ok;
}

/* Waits until HOST, an entry host, is ready for callers.  */
void
rig_await_ready (const struct rig_host *host, int64_t timeout_ms)
{
  int64_t until_ms = rig_now_ms () + timeout_ms;

  while (!is_ready (host))
    {
      if (rig_now_ms () > until_ms)
        {
          rig_record ("%s did not become ready", host->name);
          rig_finish (RIG_COULD_NOT);
        }
      rig_sleep_ms (50);
    }
}

/* Endpoints.  */

struct served
{
  struct rig_server *server;
  int slot; /* in the open connections */
  int fd;
};

static void *
serve_connection (void *data)
{
  struct served *served = data;
  struct rig_server *server = served->server;
  struct rig_connection connection;
  struct rig_message request = { .status = 0 };
  bool is_open = true;

  rig_connection_init (&connection, served->fd);
  while (is_open && rig_read_request (&connection, &request))
    {
      is_open = server->handle (server, &connection, &request);
      rig_message_release (&request);
    }
  rig_message_release (&request);
  pthread_mutex_lock (&server->lock);
  server->open[served->slot] = -1;
  rig_connection_close (&connection);
  pthread_mutex_unlock (&server->lock);
  free (served);
  return NULL;
}

/* Begins to serve the connection FD.  Returns false if there are too many, or
   the endpoint is down.  */
static bool
open_connection (struct rig_server *server, int fd)
{
  struct served *served = NULL;
  int one = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  pthread_mutex_lock (&server->lock);
  for (int i = 0; i < RIG_MAX_CONNECTIONS && !served && !server->is_down; i++)
    if (server->open[i] < 0)
      {
        server->open[i] = fd;
        served = calloc (1, sizeof *served);
        *served = (struct served){ .server = server, .slot = i, .fd = fd };
      }
  pthread_mutex_unlock (&server->lock);
  if (served)
    rig_thread (serve_connection, served);
  return served != NULL;
}

static void *
serve (void *data)
{
  struct rig_server *server = data;
  int listener = server->listener;
  int fd;

  while ((fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    if (!open_connection (server, fd))
      close (fd);
  close (listener);
  return NULL;
}

static int64_t
wall_clock_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void
start_listening (struct rig_server *server)
{
  server->listener = bind_port (&server->port);
  if (listen (server->listener, 128) != 0)
    rig_finish (RIG_COULD_NOT);
  server->is_down = false;
  server->born_ms = wall_clock_ms ();
  rig_thread (serve, server);
}

/* Starts to serve connections and registers SERVER as ready.  */
void
rig_start_server (struct rig_server *server)
{
  pthread_mutex_init (&server->lock, NULL);
  for (int i = 0; i < RIG_MAX_CONNECTIONS; i++)
    server->open[i] = -1;
  start_listening (server);
  rig_register_server (server, "ready");
}

/* Ends all connections of SERVER and refuses new ones, without a word to the
   store.  Returns false if it is down already.  */
bool
rig_crash_server (struct rig_server *server)
{
  bool was_up;

  pthread_mutex_lock (&server->lock);
  was_up = !server->is_down;
  server->is_down = true;
  if (was_up)
    shutdown (server->listener, SHUT_RDWR);
  for (int i = 0; i < RIG_MAX_CONNECTIONS && was_up; i++)
    if (server->open[i] >= 0)
      shutdown (server->open[i], SHUT_RDWR);
  pthread_mutex_unlock (&server->lock);
  return was_up;
}

/* Starts SERVER again at its address, as a new process.  */
void
rig_restart_server (struct rig_server *server)
{
  start_listening (server);
  rig_register_server (server, "ready");
}
