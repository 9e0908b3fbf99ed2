/* Finds out to which endpoints this host can open connections.  It probes
   those to which connections failed, and those that are silent while requests
   wait for them.  */
#ifndef GALENA_REQUEST_PATH_MONITOR_H
#define GALENA_REQUEST_PATH_MONITOR_H

#include "common/fetch.h"
#include "request/pool.h"
#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

struct path_monitor;

/* Called at each tick while requests of this host wait for ENDPOINT, to which
   it has no path.  Those that have waited for SILENT_MS should wait no more.
 */
typedef void path_monitor_broken_handler (void *data,
                                          struct pool_endpoint *endpoint,
                                          int64_t silent_ms);

/* Whether another host reaches endpoints of SERVICE.  */
typedef bool path_monitor_reached_query (void *data, const char *service);

struct path_monitor_options
{
  struct ev_loop *loop;
  struct pool *pool;
  path_monitor_broken_handler *handle_broken;
  path_monitor_reached_query *is_reached_elsewhere;
  void *data;
};

struct path_monitor *
path_monitor_create (const struct path_monitor_options *options);
void path_monitor_destroy (struct path_monitor *monitor);
void path_monitor_tick (struct path_monitor *monitor, int64_t now_ms);
void path_monitor_record (struct path_monitor *monitor,
                          struct pool_endpoint *endpoint, bool is_opened,
                          int64_t now_ms);
void path_monitor_record_result (struct path_monitor *monitor,
                                 struct pool_endpoint *endpoint,
                                 const struct fetch_result *result,
                                 int64_t now_ms);
bool path_monitor_lacks_paths (const struct path_monitor *monitor);
void path_monitor_verify (struct path_monitor *monitor, int64_t now_ms);
bool path_monitor_is_verified (const struct path_monitor *monitor,
                               const struct pool_endpoint *endpoint,
                               int64_t now_ms);

#endif
