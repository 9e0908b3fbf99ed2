/* The response to a caller's request: what endpoints send of it, the sink that
   takes it, and its only end.

   A request has its end by the time-out of its route, whatever ends it, and
   ends through response_end alone.  */
#ifndef GALENA_REQUEST_RESPONSE_H
#define GALENA_REQUEST_RESPONSE_H

#include "common/buf.h"
#include "common/ending.h"
#include "common/error.h"
#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct response;

struct header
{
  char *name;
  char *value;
};

/* Status and headers of an endpoint's response. */
struct response_head
{
  long status;
  char *request_id; /* id of the request to which it responds; may be NULL */
  bool not_run;     /* the endpoint states that it has not run the request */
  bool is_from_endpoint; /* has a header that only endpoints send */
  bool is_leaving;       /* the endpoint states that it is shutting down */
  bool has_content_type;
  bool is_event_stream; /* by its content type */
  bool is_encoded;      /* has a content encoding, which was not requested */
  int64_t running;      /* negative if the endpoint reports no load */
  int64_t waiting;
  int64_t work_percent; /* how long work takes on its machine now, 100: as
                           usual; 0 if it does not tell */
  /* Requests per 1,000 s that the endpoint takes from all hosts together;
     negative if it names no limit. */
  int64_t limit_milli;
  bool has_malformed_limit;
  int64_t content_length; /* negative if it states none */
  struct header *headers; /* forwarded to the caller */
  size_t header_count;
};

/* Receives the response: begin, write for each part and end or abort if it is
   streamed; or else respond or refuse.  The request no longer exists when end,
   abort, refuse or respond is called. */
struct request_sink
{
  /* Starts a streamed response. */
  void (*begin) (struct request_sink *sink, const struct response_head *head);
  /* Returns false to stop the stream. */
  bool (*write) (struct request_sink *sink, const char *bytes, size_t len);
  void (*end) (struct request_sink *sink);
  /* Reports that a streamed response will stay incomplete. */
  void (*abort) (struct request_sink *sink);
  /* Reports that the request failed before any response. */
  void (*refuse) (struct request_sink *sink, const struct error *error);
  /* Delivers a complete response in one call. */
  void (*respond) (struct request_sink *sink, const struct response_head *head,
                   const struct buf *body);
};

struct response_options
{
  struct ev_loop *loop;
  struct request_sink *sink;
  /* Must end the response; called when its time-out has passed. */
  void (*handle_timeout) (void *data);
  /* Frees the request, which is gone when its caller gets the end. */
  void (*release) (void *data);
  void *data;
};

/* How a response ends. */
struct response_end
{
  enum ending_way way;
  const struct error *error;        /* a refusal, if the way is ENDING_WHOLE */
  const struct response_head *head; /* else of a whole response, with BODY */
  const struct buf *body;
};

struct response *response_create (const struct response_options *options);
void response_set_timeout (struct response *response, int64_t timeout_ms);
bool response_has_begun (const struct response *response);
void response_begin (struct response *response,
                     const struct response_head *head,
                     const struct log_ids *ids);
bool response_write (struct response *response, const char *bytes, size_t len);
void response_end (struct response *response, const struct response_end *end,
                   const struct log_ids *ids);
void response_head_init (struct response_head *head);
void response_head_release (struct response_head *head);
void headers_add (struct header **headers, size_t *count, const char *name,
                  const char *value);
void headers_destroy (struct header *headers, size_t count);

#endif
