/* Stand-ins for the users' platform, and the processes of a small deployment.
   Everything runs on loopback addresses and the real clock.  */
#ifndef REVIEW_RIG_2_H
#define REVIEW_RIG_2_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum
{
  RIG_HELD = 0,
  RIG_BROKEN = 1,
  RIG_CANNOT_RUN = 2,
  RIG_MAX_ZONES = 4,
  RIG_MAX_HEADERS = 64,
  RIG_ID_BYTES = 64,
};

/* A message as read from a socket. */
struct rig_message
{
  char *line;
  char *names[RIG_MAX_HEADERS];
  char *values[RIG_MAX_HEADERS];
  int count;
  char *body;
  size_t len;
  bool is_whole;
};

/* A worker: it answers calls with a body of a few bytes, and turns, which have
   the header Token-Usage, with a stream of events.  */
struct rig_worker
{
  const char *id;
  const char *service;
  const char *zone;
  int port;
  int work_ms; /* of a call, and between two events */
  int events;  /* of a turn */
  int slots;
  const char *version; /* of its software; v1 if NULL */
  struct rig_server *server;
};

struct rig_server;

/* A request that a worker began to work on. */
struct rig_run
{
  int64_t at_ms;
  const char *worker;
  char attempt[RIG_ID_BYTES];
  char method[16];
  char target[RIG_ID_BYTES];
  size_t body_bytes;
};

/* A process of the system. */
struct rig_host
{
  char name[RIG_ID_BYTES];
  const char *zone;
  bool is_keeper;
  int caller_port;
  int health_port;
  int peer_port;
  int metrics_port;
  bool first_start;
  pid_t pid;
};

struct rig_answer
{
  int status; /* 0: no answer, or not a whole head */
  struct rig_message message;
};

void rig_begin (int argc, char **argv);
_Noreturn void rig_end (int status);
void rig_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
int64_t rig_now_ms (void);
void rig_sleep_ms (int64_t ms);
bool rig_has_trouble (void);

void rig_start_store (void);
void rig_store_put (const char *kind, const char *name, json_t *spec);
void rig_set_store_down (bool is_down);
void rig_start_worker (struct rig_worker *worker);
void rig_register_worker (const struct rig_worker *worker);
void rig_restart_worker (struct rig_worker *worker, const char *version,
                         int down_ms);
size_t rig_run_count (void);
struct rig_run rig_run_at (size_t index);

void rig_set_hosts (struct rig_host *hosts, int count);
void rig_start_host (struct rig_host *host);
void rig_kill_host (struct rig_host *host);
void rig_stop_host (struct rig_host *host, int wait_ms);
void rig_wipe_host (const struct rig_host *host);
void rig_wait_ready (void);

struct rig_answer rig_call (int port, const char *head, const char *body,
                            int timeout_ms);
const char *rig_header (const struct rig_message *message, const char *name);
void rig_release (struct rig_message *message);

#endif
