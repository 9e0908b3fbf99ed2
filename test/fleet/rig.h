/* What the tests of whole fleets share: starting the project's programs as
   separate processes on loopback addresses, stand-ins of endpoints on threads,
   and plain HTTP/1.1 over blocking sockets.  The review's cases in the suite
   are built with it, too, so their calls keep their form.

   RIG_DAEMON and RIG_STANDIN in the environment name the programs; RIG_LIMIT_S
   is the time after which a test counts as one that could not run, RIG_KEEP
   leaves its folder.  */
#ifndef GALENA_TEST_FLEET_RIG_H
#define GALENA_TEST_FLEET_RIG_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum
{
  RIG_HELD = 0,      /* the rule held */
  RIG_BROKEN = 1,    /* the rule was broken */
  RIG_COULD_NOT = 2, /* the test could not run */
  RIG_HEAD_BYTES = 16 * 1024,
  RIG_MAX_HOSTS = 16,
  RIG_MAX_CONNECTIONS = 512,
};

/* A connection with what was read beyond the last message. */
struct rig_connection
{
  int fd;
  char *buffer;
  size_t len;
  size_t capacity;
};

enum rig_end
{
  RIG_COMPLETE,  /* by its length, chunks or, without either, its connection */
  RIG_CUT,       /* the connection ended before the end of the message */
  RIG_TIMED_OUT, /* nothing came for the time-out of the connection */
};

/* A request or response.  The body of chunks is decoded. */
struct rig_message
{
  char head[RIG_HEAD_BYTES];
  int status; /* of a response */
  char method[16];
  char target[1024];
  char *body;
  size_t body_len;
  enum rig_end end;
};

struct rig_server;

/* Answers REQUEST on FD.  Returns false to close the connection. */
typedef bool rig_handler (struct rig_server *server,
                          struct rig_connection *connection,
                          const struct rig_message *request);

/* A stand-in of an endpoint, a thread for each connection. */
struct rig_server
{
  const char *id;
  const char *service;
  const char *zone;
  const char *version; /* may be NULL */
  int slots;
  rig_handler *handle;
  void *data;
  int port;
  int listener;
  int64_t sequence;
  int64_t born_ms; /* wall-clock time of its start */
  pthread_mutex_t lock;
  int open[RIG_MAX_CONNECTIONS]; /* descriptors of connections, or -1 */
  bool is_down;
};

/* A process of galenashored. */
struct rig_host
{
  char name[64];
  const char *zone;
  bool is_keeper;
  int caller_port;
  int health_port;
  int peer_port;
  int metrics_port;
  bool was_started;
  pid_t pid;
  char settings[256];
  char log[256];
};

extern bool rig_has_trouble; /* false with TROUBLE=0 */

/* The process and its files. */
void rig_begin (const char *record);
void rig_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
void rig_finish (int status) __attribute__ ((noreturn));
int64_t rig_now_ms (void);
void rig_sleep_ms (int64_t ms);
int rig_free_port (void);

/* The platform's store and what lies there. */
void rig_start_store (void);
int rig_store_port (void);
int rig_put (const char *kind, const char *name, const char *spec);
void rig_remove (const char *kind, const char *name);
void rig_register_server (struct rig_server *server, const char *state);

/* The project's hosts. */
struct rig_host *rig_add_host (const char *name, const char *zone,
                               bool is_keeper, int losses,
                               const char *settings);
void rig_start_host (struct rig_host *host);
void rig_signal_host (struct rig_host *host, int signal);
void rig_wipe_host (const struct rig_host *host);
bool rig_has_exited (struct rig_host *host);
void rig_await_ready (const struct rig_host *host, int64_t timeout_ms);

/* Endpoints. */
void rig_start_server (struct rig_server *server);
bool rig_crash_server (struct rig_server *server);
void rig_restart_server (struct rig_server *server);

/* HTTP. */
int rig_connect (int port, int receive_buffer, int64_t timeout_ms);
void rig_connection_init (struct rig_connection *connection, int fd);
void rig_connection_close (struct rig_connection *connection);
bool rig_send (int fd, const char *bytes, size_t len);
bool rig_printf (int fd, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
bool rig_read_request (struct rig_connection *connection,
                       struct rig_message *request);
bool rig_read_response (struct rig_connection *connection,
                        struct rig_message *response);
void rig_message_release (struct rig_message *message);
bool rig_header (const struct rig_message *message, const char *name,
                 char *value, size_t size);
void rig_thread (void *(*run) (void *data), void *data);

#endif
