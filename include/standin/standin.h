/* Small fakes of the outside systems, for tests and the demo. */
#ifndef GALENA_STANDIN_STANDIN_H
#define GALENA_STANDIN_STANDIN_H

#include "common/httpd.h"
#include <ev.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Faults that a POST to /faults switches on.  Times are in milliseconds. */
struct faults
{
  int64_t outage_until_ms;
  int64_t slow_ms;      /* every answer waits so long */
  int64_t hang_next;    /* so many requests get no answer at all */
  int64_t lose_answers; /* so many take effect and get no answer */
  int64_t garbage_next; /* so many get an answer that makes no sense */
  int64_t half_next;    /* so many answers are cut in the middle */
  int64_t crossed_next; /* so many answers belong to another request */
  int64_t load_lag_ms;
  int64_t drop_events; /* one in so many cache events is not published */
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
  int64_t slots;        /* engine: requests at once */
  int64_t token_us;     /* engine: time between tokens */
  int64_t prefill_us;   /* engine: time for an uncached prompt token */
  int64_t cache_tokens; /* engine: prefix cache */
  int64_t work_ms;      /* service: time an execution takes */
  bool checks_fencing;
};

/* Owned by main. */
struct standin
{
  const struct standin_mode *mode;
  struct standin_settings settings;
  struct ev_loop *loop;
  struct httpd *httpd;
  struct faults faults;
  struct buf recorded; /* what clients sent, for tests of what leaks */
  bool record;
  void *state; /* of the mode */
};

extern const struct standin_mode standin_endpoint;
extern const struct standin_mode standin_engine;
extern const struct standin_mode standin_objects;
extern const struct standin_mode standin_platform;
extern const struct standin_mode standin_service;

void standin_respond_json (struct standin *standin,
                           struct httpd_request *request, unsigned status,
                           json_t *body);
void standin_lose (struct httpd_request *request);
bool standin_take (int64_t *remaining);

#endif
