/* Mock servers of the external systems, for tests and the demo. */
#ifndef GALENA_STANDIN_STANDIN_H
#define GALENA_STANDIN_STANDIN_H

#include "common/httpd.h"
#include <ev.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Faults set by a POST to /faults.  Times are in milliseconds; the fields that
   count requests are decremented as they take effect. */
struct faults
{
  int64_t outage_until_ms; /* until then, requests are dropped */
  int64_t slow_ms;         /* delay of every JSON response */
  int64_t hang_next;       /* requests that get no response */
  int64_t lose_answers;    /* requests that take effect, response dropped */
  int64_t garbage_next;    /* responses with malformed content */
  int64_t half_next;       /* responses cut off in the middle */
  int64_t crossed_next;    /* responses with the id of another request */
  int64_t load_lag_ms;     /* the reported load is this stale at most */
  int64_t drop_events;     /* every n-th cache event is not published */
  int64_t limit_milli;     /* limit that responses name; 0 for none */
  int64_t record_bodies;   /* if not 0, endpoints list the bodies they get */
};

struct standin;

struct standin_mode
{
  const char *name;
  void (*create) (struct standin *standin);
  void (*handle_request) (struct standin *standin,
                          struct httpd_request *request);
  void (*destroy) (struct standin *standin);
};

struct standin_settings
{
  int64_t slots;        /* engine: concurrent requests */
  int64_t token_us;     /* engine: time between tokens */
  int64_t prefill_us;   /* engine: time for an uncached prompt token */
  int64_t cache_tokens; /* engine: prefix cache capacity */
  int64_t work_ms;      /* service: execution time; endpoint: event interval */
  bool checks_fencing;  /* engine: rejects orders with a stale fence */
};

/* Owned by main. */
struct standin
{
  const struct standin_mode *mode;
  struct standin_settings settings;
  struct ev_loop *loop;
  struct httpd *httpd;
  struct faults faults;
  struct buf recorded; /* requests received, for tests of information leaks */
  bool record;
  void *state; /* owned by the mode */
};

extern const struct standin_mode standin_endpoint;
extern const struct standin_mode standin_engine;
extern const struct standin_mode standin_objects;
extern const struct standin_mode standin_platform;
extern const struct standin_mode standin_service;

void standin_respond_json (struct standin *standin,
                           struct httpd_request *request, unsigned status,
                           json_t *body);
void standin_drop_response (struct httpd_request *request);
bool standin_use_fault (int64_t *remaining);

#endif
