/* A caller that sends one request over a connection of its own and watches how
   the response to it ends. */
#ifndef GALENA_TEST_HTTP_CALLER_H
#define GALENA_TEST_HTTP_CALLER_H

#include "common/buf.h"
#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

enum http_end
{
  HTTP_PENDING,
  HTTP_COMPLETE, /* by its length or its last chunk */
  HTTP_CUT,      /* the connection was closed before */
};

struct http_caller
{
  struct ev_loop *loop;
  int fd; /* -1 once it is closed */
  ev_io readable;
  struct buf got;
  int status; /* 0 until the head has arrived */
  enum http_end end;
  int64_t sent_ms;
  int64_t heard_ms; /* when it last got bytes */
  int64_t end_ms;
  size_t excess; /* bytes that followed a complete response */
};

struct http_caller *http_caller_create (struct ev_loop *loop, uint16_t port,
                                        const char *request);
uint16_t http_caller_free_port (void);
void http_caller_pause (struct http_caller *caller);
void http_caller_resume (struct http_caller *caller);
void http_caller_leave (struct http_caller *caller);
bool http_caller_has (const struct http_caller *caller, const char *text);
void http_caller_destroy (struct http_caller *caller);

#endif
