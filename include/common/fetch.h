/* HTTP client on one event loop, over libcurl's multi interface. */
#ifndef GALENA_COMMON_FETCH_H
#define GALENA_COMMON_FETCH_H

#include "common/buf.h"
#include <curl/curl.h>
#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

struct fetcher;
struct fetch;

struct fetch_result
{
  long status;   /* 0 where no response began */
  bool complete; /* the whole response arrived */
  bool timed_out;
  bool refused;       /* the peer's machine refused the connection */
  bool stopped;       /* its handler gave it up, or the body was too long */
  bool sent;          /* a byte of the request may have left */
  const char *reason; /* for logs */
  struct buf *body;   /* what was collected; empty with handle_data */
};

/* Returns false to give the transfer up. */
typedef bool fetch_data_handler (void *data, const char *bytes, size_t len);
typedef void fetch_header_handler (void *data, const char *name,
                                   const char *value);
typedef void fetch_done_handler (void *data,
                                 const struct fetch_result *result);

struct fetch_options
{
  const char *method;
  const char *url;
  const char *const *headers; /* "Name: value" lines, NULL-terminated */
  const char *body;
  size_t body_len;
  int64_t connect_timeout_ms;
  int64_t timeout_ms;       /* whole transfer; 0 for none */
  int64_t stall_timeout_ms; /* no byte for so long; 0 for none */
  size_t max_body_bytes;
  bool single_attempt;   /* never sent twice, not even by libcurl */
  int64_t max_idle_ms;   /* of a kept connection to use; 0 for any */
  const char *target;    /* as the request line names it; NULL for the URL's */
  int64_t alive_probe_s; /* TCP probes of a silent connection; 0 for none */
  bool exact_headers;    /* adds none but those that HTTP requires */
  fetch_data_handler *handle_data;     /* NULL to collect the body */
  fetch_header_handler *handle_header; /* may be NULL */
  fetch_done_handler *handle_done;
  void (*release_data) (void *data); /* when the fetch goes; may be NULL */
  void *data;
};

struct fetcher *fetcher_create (struct ev_loop *loop);
void fetcher_destroy (struct fetcher *fetcher);

struct fetch *fetch_start (struct fetcher *fetcher,
                           const struct fetch_options *options);
void fetch_cancel (struct fetch *fetch);
long fetch_status (const struct fetch *fetch);

#endif
