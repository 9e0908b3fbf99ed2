/* An endpoint that answers each request with bytes that the test chooses. */
#ifndef GALENA_TEST_RAW_ENDPOINT_H
#define GALENA_TEST_RAW_ENDPOINT_H

#include "common/buf.h"
#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What follows the bytes of an answer. */
enum raw_end
{
  RAW_KEEP,   /* the connection stays open and silent */
  RAW_CLOSE,  /* an orderly close */
  RAW_RESET,  /* a reset */
  RAW_REPEAT, /* REPEAT, over and over until the peer closes */
};

struct raw_answer
{
  const char *bytes;
  size_t len;
  enum raw_end end;
  const char *repeat;
  const char *late; /* sent after LATE_MS, before END; NULL for nothing */
  int64_t late_ms;
};

struct raw_endpoint;

enum
{
  RAW_BODY_BYTE = 'b',
};

/* Chooses the answer of ENDPOINT to REQUEST, its head and body. */
typedef struct raw_answer raw_answer_handler (void *data,
                                              struct raw_endpoint *endpoint,
                                              const char *request);

struct raw_endpoint
{
  struct ev_loop *loop;
  raw_answer_handler *answer;
  void *data;
  int listener;
  uint16_t port;
  ev_io acceptor;
  GPtrArray *connections;
  uint32_t requests; /* that have been answered */
  guint connection;  /* index of that of the request that is being answered */
  /* Answers a request as soon as its head has arrived and reads its body, of
     the byte RAW_BODY_BYTE, only after a pause. */
  bool is_early;
  uint32_t stray_bytes; /* that arrived where the rest of a body was due */
  uint32_t open;        /* connections that neither side has closed */
};

struct raw_endpoint *raw_endpoint_create (struct ev_loop *loop,
                                          raw_answer_handler *answer,
                                          void *data);
void raw_endpoint_end_all (struct raw_endpoint *endpoint, enum raw_end end,
                           const char *bytes);
void raw_endpoint_crash (struct raw_endpoint *endpoint);
void raw_endpoint_destroy (struct raw_endpoint *endpoint);

#endif
