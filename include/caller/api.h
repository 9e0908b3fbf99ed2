/* A request of a caller and its response, as a route's handler sees them.  The
   handler does not see whether the request arrived on a connection to this
   host or was forwarded by another host. */
#ifndef GALENA_CALLER_API_H
#define GALENA_CALLER_API_H

#include "common/buf.h"
#include "common/ending.h"
#include "common/error.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  API_MAX_ARGS = 3,
  API_REQUEST_ID_BYTES = 27,
};

struct server;
struct api_request;

/* Where a response is sent: to a caller's connection, or to the host that
   forwarded the request.  write returns false if the receiver is too slow.
   Either of end and abort is called once; abort also if begin was not. */
struct api_sink_impl
{
  void (*begin) (struct api_request *request, unsigned status,
                 const char *content_type, bool streaming);
  bool (*write) (struct api_request *request, const void *data, size_t len);
  void (*end) (struct api_request *request);
  void (*abort) (struct api_request *request);
};

/* Owned by the side that implements impl.  Valid until api_end or api_abort,
   which complete the response, or until handle_disconnect returns. */
struct api_request
{
  const struct api_sink_impl *impl;
  struct server *server;
  char id[API_REQUEST_ID_BYTES];
  char *customer; /* "" for an anonymous request */
  char *key_id;
  char *method;
  char *path;
  char *args[API_MAX_ARGS]; /* path segments that match wildcards */
  char *cursor;             /* X-Galena-Cursor */
  char *program;            /* X-Galena-Program */
  char *idempotency_key;    /* Idempotency-Key */
  char *content_type;
  uint32_t resume_from; /* Last-Event-ID: number of tokens already received */
  uint32_t hops;        /* grows with each attempt to forward it */
  char *answer_cursor;  /* sent as X-Galena-Cursor */
  char *answer_program; /* sent as X-Galena-Program */
  struct buf body;
  uint32_t retry_after_ms;
  struct ending ending; /* of the response */
  void *impl_data;      /* for impl */
  void *user;           /* for the handler */
  /* Set by the handler.  Called if the caller disconnects or its API key is
     withdrawn before the response is complete. */
  void (*handle_disconnect) (struct api_request *request);
  struct api_request *next; /* link for a list of the handler */
};

void api_begin (struct api_request *request, unsigned status,
                const char *content_type, bool streaming);
bool api_write (struct api_request *request, const void *data, size_t len);
void api_end (struct api_request *request);
void api_abort (struct api_request *request);
void api_respond (struct api_request *request, unsigned status,
                  const char *content_type, const void *body, size_t len);
void api_respond_error (struct api_request *request,
                        const struct error *error);
void api_record_refusal (const struct api_request *request,
                         const struct error *error);
void api_request_release (struct api_request *request);
void api_set_string (char **slot, const char *value);

#endif
