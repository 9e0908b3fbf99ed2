/* An object API server that runs in the test process. */
#ifndef GALENA_TEST_FAKE_PLATFORM_H
#define GALENA_TEST_FAKE_PLATFORM_H

#include "common/httpd.h"
#include "config/platform_client.h"
#include <ev.h>
#include <jansson.h>

struct fake_platform
{
  struct ev_loop *loop;
  struct httpd *httpd;
  struct fetcher *fetcher;
  struct platform_client client;
  json_t *objects; /* "KIND/NAME" to {version, data} */
  uint64_t revision;
  int lost_responses; /* number of writes to apply without a response */
  int lost_requests;  /* number of writes to drop without a response */
  bool down;          /* drop all requests */
};

void fake_platform_start (struct fake_platform *fake);
void fake_platform_stop (struct fake_platform *fake);
/* Runs the event loop until *DONE, for a bounded number of iterations. */
void fake_platform_run (struct fake_platform *fake, const bool *done);
/* Returns the data of the object KEY ("KIND/NAME"), or NULL, as a borrowed
   reference. */
json_t *fake_platform_data (struct fake_platform *fake, const char *key);

#endif
