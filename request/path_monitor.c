#include "request/path_monitor.h"
#include "common/address.h"
#include "common/buf.h"
#include "common/counters.h"
#include "common/id.h"
#include "common/log.h"
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  PROBE_TIMEOUT_MS = 250, /* as long as requests wait for a connection */
  MAX_PROBES = 64,        /* at the same time */
  MAX_STARTED = 16,       /* probes per tick */
  MIN_CUT_OFF = 2, /* endpoints without a path, until this host is cut off */
  /* Silence after which requests are sent again elsewhere.  An endpoint may
     pause for a second; that all endpoints of a service do so at the same time
     is unlikely. */
  BROKEN_SILENT_MS = 2000,
  CUT_OFF_SILENT_MS = 600,
  /* Silence of a whole service, though requests wait for it, after which its
     paths lack answers: longer than a sound endpoint pauses, and shorter than
     the deadlines of the calls that wait. */
  SERVICE_SILENT_MS = 1500,
  /* After a longer time between ticks this process was paused, and what its
     endpoints sent meanwhile has not been read yet. */
  MAX_TICK_MS = 300,
  /* Several times what a busy endpoint is silent, and less than the time after
     which a crash is counted. */
  REACHED_MS = 500,
  /* For so long after a question, paths are kept verified. */
  VERIFY_MS = 1500,
  VERIFY_INTERVAL_MS = 300, /* between probes of a service */
  SAMPLE_INTERVAL_MS = 100, /* the same while others of the service fail */
  VERIFIED_MS = 600,        /* age of a connection that verifies its path */
};

/* A connection that is being opened.  Owned by the monitor. */
struct path_probe
{
  struct path_monitor *monitor;
  uint64_t endpoint; /* hash of its id and start */
  int fd;
  int64_t started_ms;
  /* Tells only whether the endpoint has crashed: that a connection opens is no
     sign of a path on which answers come back. */
  bool is_for_crash;
  ev_io writable;
};

/* What is known of a service's endpoints. */
struct monitored_service
{
  struct pool_paths paths; /* at the latest tick */
  bool is_reached;         /* at least one of the endpoints */
  bool is_failing;         /* connections to one of them fail */
  int64_t verified_ms; /* when one of them was last probed for other hosts */
  int64_t sampled_ms;  /* or because connections to another one fail */
  int64_t heard_ms;    /* latest bytes of any of them */
  int64_t waiting_since_ms; /* start of the longest wait; 0 for none */
};

struct path_monitor
{
  struct path_monitor_options options;
  struct path_probe probes[MAX_PROBES];
  uint32_t probe_count;
  size_t next;      /* index of the endpoint that is looked at first */
  uint32_t broken;  /* endpoints without a path, at the last tick */
  uint32_t failing; /* endpoints to which connections fail, likewise */
  int64_t verify_until_ms;
  int64_t ticked_ms;
  int64_t steady_since_ms; /* when this process was last paused */
  GHashTable *services;    /* name -> struct monitored_service */
};

/* Creates a monitor of the endpoints of a pool, which outlives it.  */
struct path_monitor *
path_monitor_create (const struct path_monitor_options *options)
{
  struct path_monitor *monitor = xcalloc (1, sizeof *monitor);

  monitor->options = *options;
  monitor->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, free, free);
  return monitor;
}

/* Closes the probe at INDEX; the last one takes its place.  */
static void
remove_probe (struct path_monitor *monitor, uint32_t index)
{
  struct path_probe *probe = &monitor->probes[index];
  struct path_probe *last = &monitor->probes[--monitor->probe_count];
  struct ev_loop *loop = monitor->options.loop;

  ev_io_stop (loop, &probe->writable);
  close (probe->fd);
  if (probe == last)
    return;
  ev_io_stop (loop, &last->writable);
  *probe = *last;
  probe->writable.data = probe;
  ev_io_start (loop, &probe->writable);
}

/* Frees the monitor.  */
void
path_monitor_destroy (struct path_monitor *monitor)
{
  if (!monitor)
    return;
  while (monitor->probe_count > 0)
    remove_probe (monitor, monitor->probe_count - 1);
  g_hash_table_destroy (monitor->services);
  free (monitor);
}

static void
log_path (const struct path_monitor *monitor,
          const struct pool_endpoint *endpoint, bool is_broken)
{
  struct pool_paths paths
      = pool_count_paths (monitor->options.pool, endpoint->service);

  log_write (is_broken ? LOG_WARN : LOG_INFO, "path", NULL,
             "%s to endpoint %s in data centre %s: none to %u of the %u "
             "endpoints of service %s",
             is_broken ? "no connection can be opened"
                       : "connections can be opened again",
             endpoint->id, endpoint->data_centre, paths.broken, paths.listed,
             endpoint->service);
}

static struct monitored_service *
find_or_add_service (struct path_monitor *monitor, const char *name)
{
  struct monitored_service *service
      = g_hash_table_lookup (monitor->services, name);

  if (service)
    return service;
  service = xcalloc (1, sizeof *service);
  g_hash_table_insert (monitor->services, xstrdup (name), service);
  return service;
}

static bool
lacks_answers (const struct pool_endpoint *endpoint)
{
  return path_detector_lacks_answers (&endpoint->path,
                                      endpoint->last_heard_ms);
}

/* Whether ENDPOINT was reached lately.  */
static bool
is_reached (const struct pool_endpoint *endpoint, int64_t now_ms)
{
  return endpoint->path.failures == 0 && !lacks_answers (endpoint)
         && now_ms - MAX (endpoint->last_heard_ms, endpoint->path.opened_ms)
                <= REACHED_MS;
}

/* Whether several endpoints of a service are without a path while none is
   reached, so that the cause is more likely this host's network than the
   endpoints.  */
static bool
is_cut_off (const struct monitored_service *service)
{
  return service->paths.broken >= MIN_CUT_OFF && !service->is_reached;
}

/* Forgets which requests were running at the endpoints of a service from which
   this host is cut off: it cannot tell whether they crashed.  Where no other
   host reaches the service either, its endpoints may have crashed.  */
static void
clear_suspects (struct path_monitor *monitor, const char *name)
{
  const struct path_monitor_options *options = &monitor->options;
  struct pool *pool = options->pool;
  const struct monitored_service *service
      = g_hash_table_lookup (monitor->services, name);

  if (!service || !is_cut_off (service)
      || !options->is_reached_elsewhere (options->data, name))
    return;
  for (size_t i = 0; i < pool_count (pool); i++)
    if (strcmp (pool_at (pool, i)->service, name) == 0)
      pool_clear_suspects (pool_at (pool, i));
}

/* Records whether a connection to ENDPOINT could be opened.  */
void
path_monitor_record (struct path_monitor *monitor,
                     struct pool_endpoint *endpoint, bool is_opened,
                     int64_t now_ms)
{
  if (is_opened)
    {
      if (path_detector_record_opened (&endpoint->path, now_ms))
        {
          endpoint->avoid_until_ms = now_ms;
          log_path (monitor, endpoint, false);
        }
      return;
    }
  counter_add (COUNTER_ENDPOINT_CONNECT_FAILURES, 1);
  monitor->failing++;
  if (path_detector_record_failed (&endpoint->path, now_ms))
    {
      monitor->broken++;
      find_or_add_service (monitor, endpoint->service)->paths.broken++;
      log_path (monitor, endpoint, true);
    }
  clear_suspects (monitor, endpoint->service);
}

/* Records what a request that this host sent to ENDPOINT itself tells about
   its path.  */
void
path_monitor_record_result (struct path_monitor *monitor,
                            struct pool_endpoint *endpoint,
                            const struct fetch_result *result, int64_t now_ms)
{
  bool lacked = lacks_answers (endpoint);

  if (!result->unanswered)
    {
      if (result->connection_opened || result->connection_failed)
        path_monitor_record (monitor, endpoint, result->connection_opened,
                             now_ms);
      return;
    }
  path_detector_record_unanswered (&endpoint->path, endpoint->last_heard_ms,
                                   now_ms);
  monitor->failing++;
  if (!lacked && lacks_answers (endpoint))
    log_write (LOG_WARN, "path", NULL,
               "connections to endpoint %s in data centre %s open and end "
               "without an answer",
               endpoint->id, endpoint->data_centre);
}

/* Ends a probe with the state of its socket.  */
static void
finish_probe (struct path_monitor *monitor, uint32_t index)
{
  struct path_probe *probe = &monitor->probes[index];
  struct pool_endpoint *endpoint
      = pool_find_start (monitor->options.pool, probe->endpoint);
  struct pollfd state = { .fd = probe->fd, .events = POLLOUT };
  int error = 0;
  socklen_t size = sizeof error;
  int64_t started_ms = probe->started_ms;
  bool is_for_crash = probe->is_for_crash;
  bool is_opened;

  getsockopt (probe->fd, SOL_SOCKET, SO_ERROR, &error, &size);
  is_opened = error == 0 && poll (&state, 1, 0) == 1
              && !(state.revents & (POLLERR | POLLHUP));
  remove_probe (monitor, index);
  if (!endpoint)
    return;
  if (error == ECONNREFUSED)
    pool_record_connection_refused (endpoint, clock_now_ms ());
  /* An endpoint that takes connections after a request was interrupted there
     has not crashed. */
  if (is_opened && started_ms > endpoint->interrupted_ms)
    pool_clear_suspects (endpoint);
  if (!is_for_crash)
    path_monitor_record (monitor, endpoint, is_opened, clock_now_ms ());
}

static void
handle_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct path_probe *probe = watcher->data;

  finish_probe (probe->monitor, (uint32_t)(probe - probe->monitor->probes));
}

/* Starts a probe.  A connection that fails at once counts, too.  */
static void
start_probe (struct path_monitor *monitor, struct pool_endpoint *endpoint,
             bool is_for_crash, int64_t now_ms)
{
  struct path_probe *probe = &monitor->probes[monitor->probe_count];
  struct sockaddr_in address;
  int fd;

  endpoint->path.probed_ms = now_ms;
  if (!address_parse (endpoint->address, &address))
    return;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return;
  counter_add (COUNTER_PATH_PROBES, 1);
  if (connect (fd, (const struct sockaddr *)&address, sizeof address) != 0
      && errno != EINPROGRESS)
    {
      if (errno == ECONNREFUSED)
        pool_record_connection_refused (endpoint, now_ms);
      close (fd);
      if (!is_for_crash)
        path_monitor_record (monitor, endpoint, false, now_ms);
      return;
    }
  *probe = (struct path_probe){ .monitor = monitor,
                                .endpoint = endpoint->start,
                                .fd = fd,
                                .started_ms = now_ms,
                                .is_for_crash = is_for_crash };
  monitor->probe_count++;
  ev_io_init (&probe->writable, handle_writable, fd, EV_WRITE);
  probe->writable.data = probe;
  ev_io_start (monitor->options.loop, &probe->writable);
}

/* Returns for how long requests of this host have waited for any byte of
   ENDPOINT, or 0.  */
static int64_t
silence_ms (const struct pool_endpoint *endpoint, int64_t now_ms)
{
  if (endpoint->direct == 0)
    return 0;
  return now_ms - MAX (endpoint->last_heard_ms, endpoint->direct_since_ms);
}

/* Whether the path should be probed because other hosts count on it.  */
static bool
is_verification_due (const struct path_monitor *monitor,
                     const struct pool_endpoint *endpoint,
                     struct monitored_service *service, int64_t now_ms)
{
  if (now_ms >= monitor->verify_until_ms || endpoint->leaving
      || endpoint->unreachable || endpoint->path.failures > 0
      || endpoint->path.is_broken
      || now_ms - service->verified_ms < VERIFY_INTERVAL_MS)
    return false;
  service->verified_ms = now_ms;
  return true;
}

/* Whether a path that was not tried lately should be probed, because others of
   the service fail: a few until this host knows whether it is cut off, and
   then all.  */
static bool
is_doubt_due (const struct pool_endpoint *endpoint,
              struct monitored_service *service, int64_t now_ms)
{
  const struct path_detector *path = &endpoint->path;

  if (path->is_doubted && !lacks_answers (endpoint))
    return now_ms - path->probed_ms >= PATH_PROBE_INTERVAL_MS;
  if (!service->is_failing || service->is_reached
      || now_ms - service->sampled_ms < SAMPLE_INTERVAL_MS)
    return false;
  service->sampled_ms = now_ms;
  return true;
}

static gboolean
is_unlisted (gpointer name, gpointer value, gpointer data)
{
  return ((const struct monitored_service *)value)->paths.listed == 0;
}

static void
count_services (struct path_monitor *monitor, int64_t now_ms)
{
  struct pool *pool = monitor->options.pool;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, monitor->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct monitored_service *service = value;

      service->paths = (struct pool_paths){ 0 };
      service->is_reached = false;
      service->is_failing = false;
      service->heard_ms = 0;
      service->waiting_since_ms = 0;
    }
  monitor->broken = 0;
  monitor->failing = 0;
  for (size_t i = 0; i < pool_count (pool); i++)
    {
      const struct pool_endpoint *endpoint = pool_at (pool, i);
      struct monitored_service *service
          = find_or_add_service (monitor, endpoint->service);

      service->paths.listed++;
      service->paths.broken += endpoint->path.is_broken;
      service->is_reached
          = service->is_reached || is_reached (endpoint, now_ms);
      monitor->broken += endpoint->path.is_broken;
      service->is_failing = service->is_failing || endpoint->path.failures > 0;
      monitor->failing += endpoint->path.failures > 0 || endpoint->unreachable
                          || lacks_answers (endpoint);
      service->heard_ms = MAX (service->heard_ms, endpoint->last_heard_ms);
      if (endpoint->direct > 0
          && (!service->waiting_since_ms
              || endpoint->direct_since_ms < service->waiting_since_ms))
        service->waiting_since_ms = endpoint->direct_since_ms;
    }
  g_hash_table_foreach_remove (monitor->services, is_unlisted, NULL);
}

/* Records whether the endpoint's whole service is silent though requests of
   this host wait for it.  */
static void
watch_silence (struct path_monitor *monitor, struct pool_endpoint *endpoint,
               const struct monitored_service *service, int64_t now_ms)
{
  struct path_detector *path = &endpoint->path;
  int64_t since_ms = MAX (service->heard_ms, service->waiting_since_ms);

  if (path->is_silent && service->heard_ms > path->unanswered_ms)
    path->unanswered = 0;
  if (!service->waiting_since_ms || endpoint->unreachable
      || now_ms - MAX (since_ms, monitor->steady_since_ms) < SERVICE_SILENT_MS)
    return;
  if (!lacks_answers (endpoint))
    log_write (LOG_WARN, "path", NULL,
               "no endpoint of service %s has sent this host anything for "
               "%" PRId64 " ms; other hosts send to endpoint %s if they can",
               endpoint->service, now_ms - since_ms, endpoint->id);
  path_detector_record_silent (path, now_ms);
}

/* Whether requests for ENDPOINT should go another way.  One that lacks answers
   takes requests as long as no other host does.  */
static bool
is_doubtful (const struct path_monitor *monitor,
             const struct pool_endpoint *endpoint,
             const struct monitored_service *service, int64_t now_ms)
{
  const struct path_detector *path = &endpoint->path;

  if (path->is_broken)
    return false;
  if (lacks_answers (endpoint) && !path_detector_is_trial_due (path, now_ms)
      && monitor->options.is_reached_elsewhere (monitor->options.data,
                                                endpoint->service))
    return true;
  return is_cut_off (service)
         && (path->is_doubted || !is_reached (endpoint, now_ms));
}

/* Whether the endpoint should be probed because a request was interrupted
   there: whoever lost the request has to find out whether it crashed, as
   requests may go elsewhere for some time.  */
static bool
is_crash_probe_due (const struct pool_endpoint *endpoint, int64_t now_ms)
{
  return pool_has_suspects (endpoint, now_ms)
         && now_ms > endpoint->interrupted_ms
         && (endpoint->path.probed_ms <= endpoint->interrupted_ms
             || now_ms - endpoint->path.probed_ms >= PATH_PROBE_INTERVAL_MS);
}

static void
tick_endpoint (struct path_monitor *monitor, struct pool_endpoint *endpoint,
               uint32_t *started, int64_t now_ms)
{
  const struct path_monitor_options *options = &monitor->options;
  struct monitored_service *service
      = g_hash_table_lookup (monitor->services, endpoint->service);
  int64_t silent_ms = silence_ms (endpoint, now_ms);
  int64_t max_silent_ms
      = is_cut_off (service) ? CUT_OFF_SILENT_MS : BROKEN_SILENT_MS;
  struct path_detector *path = &endpoint->path;
  bool is_for_path;

  watch_silence (monitor, endpoint, service, now_ms);
  path->is_doubted = is_doubtful (monitor, endpoint, service, now_ms);
  if (endpoint->path.is_broken && silent_ms >= max_silent_ms)
    options->handle_broken (options->data, endpoint, max_silent_ms);
  if (*started >= MAX_STARTED || monitor->probe_count >= MAX_PROBES)
    return;
  is_for_path = path_detector_is_probe_due (&endpoint->path, silent_ms, now_ms)
                || is_verification_due (monitor, endpoint, service, now_ms)
                || is_doubt_due (endpoint, service, now_ms);
  if (!is_for_path && !is_crash_probe_due (endpoint, now_ms))
    return;
  start_probe (monitor, endpoint, !is_for_path, now_ms);
  ++*started;
}

static void
end_late_probes (struct path_monitor *monitor, int64_t now_ms)
{
  for (uint32_t i = monitor->probe_count; i > 0; i--)
    if (now_ms - monitor->probes[i - 1].started_ms >= PROBE_TIMEOUT_MS)
      finish_probe (monitor, i - 1);
}

/* Starts the probes that are due, and reports requests that wait for endpoints
   without a path.  Must be called at least every 100 ms.  */
void
path_monitor_tick (struct path_monitor *monitor, int64_t now_ms)
{
  struct pool *pool = monitor->options.pool;
  size_t count = pool_count (pool);
  uint32_t started = 0;

  if (now_ms - monitor->ticked_ms > MAX_TICK_MS)
    monitor->steady_since_ms = now_ms;
  monitor->ticked_ms = now_ms;
  end_late_probes (monitor, now_ms);
  count_services (monitor, now_ms);
  for (size_t i = 0; i < count; i++)
    tick_endpoint (monitor, pool_at (pool, (monitor->next + i) % count),
                   &started, now_ms);
  if (count > 0)
    monitor->next = (monitor->next + MAX_STARTED) % count;
}

/* Whether this host has no path to some endpoint, as far as it knows.  */
bool
path_monitor_lacks_paths (const struct path_monitor *monitor)
{
  return monitor->failing > 0 || monitor->broken > 0;
}

/* Keeps the path to one endpoint of each service verified for a while.  */
void
path_monitor_verify (struct path_monitor *monitor, int64_t now_ms)
{
  monitor->verify_until_ms = now_ms + VERIFY_MS;
}

/* Whether ENDPOINT was heard lately, or a connection to it opened.  After a
   failure only a byte of the endpoint counts: connections also open where
   nothing comes back.  */
bool
path_monitor_is_verified (const struct path_monitor *monitor,
                          const struct pool_endpoint *endpoint, int64_t now_ms)
{
  return !endpoint->unreachable && !endpoint->path.is_broken
         && endpoint->path.failures == 0
         && (!endpoint->path.failed_ms
             || endpoint->last_heard_ms > endpoint->path.failed_ms)
         && now_ms - MAX (endpoint->path.opened_ms, endpoint->last_heard_ms)
                <= VERIFIED_MS;
}
