/* HTTP client on a single event loop, based on libcurl's multi interface. */
#ifndef GALENA_COMMON_FETCH_H
#define GALENA_COMMON_FETCH_H

#include "common/buf.h"
#include <curl/curl.h>
#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

struct fetcher; /* the client */
struct fetch;   /* a transfer */

/* How a response shows where its body ends. */
enum fetch_framing
{
  FETCH_FRAMING_CLOSE, /* at the end of its connection */
  FETCH_FRAMING_LENGTH,
  FETCH_FRAMING_CHUNKS,
};

struct fetch_result
{
  long status; /* 0 if no response arrived */
  enum fetch_framing framing;
  bool complete; /* the entire response arrived */
  bool timed_out;
  bool connection_refused; /* ECONNREFUSED */
  bool connection_opened;  /* a new one was opened for the transfer */
  bool connection_failed;  /* a new one could not be opened */
  /* A new one was opened, and reset or closed without a byte. */
  bool unanswered;
  bool aborted; /* aborted by its handler, or the body was too long */
  bool sent;    /* part of the request may have been sent */
  /* A reused connection was closed before a response, and the request not
     sent again. */
  bool resend_refused;
  const char *reason; /* libcurl's description, for logs */
  struct buf *body;   /* received body; empty if handle_data is set */
};

/* Returns false to abort the transfer. */
typedef bool fetch_data_handler (void *data, const char *bytes, size_t len);
typedef void fetch_header_handler (void *data, const char *name,
                                   const char *value);
/* Called at the end of the final response's head.  Returns false to abort the
   transfer, whose connection is closed then. */
typedef bool fetch_head_handler (void *data);
/* Called when a connection is ready and nothing has been sent.  Returns false
   to end the transfer unsent. */
typedef bool fetch_may_send_handler (void *data);
typedef void fetch_done_handler (void *data,
                                 const struct fetch_result *result);

struct fetch_options
{
  const char *method;
  const char *url;
  const char *const *headers; /* "Name: value", NULL-terminated; or NULL */
  const char *body;
  size_t body_len;
  int64_t connect_timeout_ms;
  int64_t timeout_ms;       /* entire transfer; 0 for none */
  int64_t stall_timeout_ms; /* without any byte received; 0 for none */
  size_t max_body_bytes; /* of a buffered body; 0 for the default of 4 MiB */
  /* The host depends on the body: it may use all of the memory for bodies. */
  bool is_essential;
  bool single_attempt; /* libcurl must not send the request again */
  /* Like single_attempt, for requests that may run again: connections are
     reused, and the result tells whether a resend was refused. */
  bool refuses_resend;
  bool new_connection; /* reuses none */
  int64_t max_idle_ms; /* of a reused connection; 0 for the default */
  const char *target; /* of the request line; NULL to derive it from the URL */
  int64_t tcp_keepalive_s; /* TCP keepalive interval; 0 for none */
  bool exact_headers;      /* suppresses libcurl's Accept and Content-Type */
  fetch_may_send_handler *may_send;    /* may be NULL */
  fetch_data_handler *handle_data;     /* NULL to buffer the body */
  fetch_header_handler *handle_header; /* may be NULL */
  fetch_head_handler *handle_head;     /* may be NULL */
  fetch_done_handler *handle_done;
  void (*release_data) (void *data); /* on free; may be NULL */
  void *data;
};

struct fetcher *fetcher_create (struct ev_loop *loop);
void fetcher_destroy (struct fetcher *fetcher);
size_t fetcher_buffered_bytes (const struct fetcher *fetcher);

struct fetch *fetch_start (struct fetcher *fetcher,
                           const struct fetch_options *options);
void fetch_cancel (struct fetch *fetch);
bool fetch_is_final_status (long status);
long fetch_status (const struct fetch *fetch);
bool fetch_has_opened_connection (const struct fetch *fetch);
const char *fetch_framing_name (enum fetch_framing framing);

#endif
