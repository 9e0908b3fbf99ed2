/* HTTP server on a single event loop, based on libmicrohttpd. */
#ifndef GALENA_COMMON_HTTPD_H
#define GALENA_COMMON_HTTPD_H

#include "common/buf.h"
#include "common/buffer_budget.h"
#include "common/ending.h"
#include "common/error.h"
#include <ev.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

struct httpd;
struct httpd_request;
struct httpd_connection;
typedef void httpd_handler (void *data, struct httpd_request *request);
typedef void httpd_header_handler (void *data, const char *name,
                                   const char *value);

struct httpd_options
{
  struct ev_loop *loop;
  const char *address;
  uint16_t port;
  size_t connection_memory_bytes;
  size_t max_body_bytes;
  uint32_t idle_timeout_s;
  bool detect_disconnect; /* of clients whose request is suspended */
  uint32_t max_connections;
  /* Near max_connections, closes the connection that has been without a
     complete request for longest, so that clients that send nothing keep no
     others out.  For requests that are answered at once. */
  bool drops_oldest;
  size_t send_buffer_bytes; /* of each connection, in the kernel; 0 for the
                               system's default */
  /* Bounds the bodies and backlogs of all requests; may be NULL.  With it,
     connections and requests count as held for callers, too. */
  struct buffer_budget *buffers;
  bool is_body_sent_on; /* by a transfer, which holds a copy of it */
  const char *cert_pem; /* NULL for plain HTTP */
  const char *key_pem;  /* NULL for plain HTTP */
  const char *ca_pem;   /* requests client certificates; may be NULL */
  /* Names of headers that may come once, beside those of HTTP;
     NULL-terminated or NULL. */
  const char *const *single_headers;
  /* May respond early, or call httpd_discard_body; may be NULL. */
  httpd_handler *handle_headers;
  httpd_handler *handle_request;
  void *data;
};

enum
{
  HTTPD_MAX_HEADERS = 32,
  /* What a connection takes beside connection_memory_bytes, which it uses from
     its first request on. */
  HTTPD_CONNECTION_BYTES = 4 * 1024,
};

enum httpd_state
{
  HTTPD_READING,   /* receiving the request */
  HTTPD_WAITING,   /* passed to the handler, no response yet */
  HTTPD_RESPONDED, /* response is ready but not queued in libmicrohttpd */
  HTTPD_QUEUED,    /* libmicrohttpd sends the response */
};

/* Owned by its httpd.  Valid until handle_disconnect is called or until the
   handler has completed the response. */
struct httpd_request
{
  struct httpd *httpd;
  struct httpd_request *previous; /* in the list of open requests */
  struct httpd_request *next;
  struct MHD_Connection *connection;
  struct httpd_connection *on; /* the same */
  char *method;
  char *target; /* undecoded request target, with the query */
  char *path;
  struct buf body;          /* received request body */
  struct buf response_body; /* of a stream: the part not sent yet */
  size_t charged_bytes;     /* to the budget of the server */
  /* That a response to HEAD states; negative for that of its body. */
  int64_t head_length;
  size_t whole_bytes; /* of them, a large response in one piece */
  int64_t read_ms;    /* when the client last took a part of the stream, or its
                         backlog began */
  int unread_bytes;   /* in the kernel's buffer, when last looked */
  char *content_type;
  char *header_names[HTTPD_MAX_HEADERS];
  char *header_values[HTTPD_MAX_HEADERS];
  uint32_t header_count;
  unsigned status;
  enum httpd_state state;
  struct ending ending;
  bool suspended;
  bool streaming;
  bool stream_ended;
  bool stream_aborted;
  bool body_too_large;
  bool body_refused;      /* the budget does not have its bytes */
  bool discards_body;     /* the handler does not want it */
  bool lacks_chunks;      /* the client speaks HTTP/1.0 */
  bool buffering;         /* the stream is sent in one piece when it ends */
  ev_io disconnect_watch; /* detects that the client closes while suspended */
  bool watching_disconnect;
  void *user; /* for the handler */
  /* Called once, when the client has disconnected or the response is complete.
     May be NULL.  */
  void (*handle_disconnect) (struct httpd_request *request);
};

struct httpd *httpd_create (const struct httpd_options *options,
                            struct error *error);
void httpd_announce_close (struct httpd *httpd);
void httpd_stop_listening (struct httpd *httpd);
void httpd_destroy (struct httpd *httpd);
uint16_t httpd_port (const struct httpd *httpd);
uint32_t httpd_open_requests (const struct httpd *httpd);

const char *httpd_header (const struct httpd_request *request,
                          const char *name);
void httpd_foreach_header (const struct httpd_request *request,
                           httpd_header_handler *handle, void *data);
const char *httpd_query (const struct httpd_request *request,
                         const char *name);
void httpd_set_head_length (struct httpd_request *request, int64_t length);
void httpd_add_header (struct httpd_request *request, const char *name,
                       const char *value);
void httpd_add_retry_after (struct httpd_request *request,
                            uint32_t retry_after_ms);
void httpd_respond (struct httpd_request *request, unsigned status,
                    const char *content_type, const char *body, size_t len);
void httpd_respond_json (struct httpd_request *request, unsigned status,
                         json_t *body);
void httpd_respond_buffered (struct httpd_request *request, unsigned status,
                             const char *content_type);
void httpd_respond_error (struct httpd_request *request,
                          const struct error *error);
void httpd_stream_begin (struct httpd_request *request, unsigned status,
                         const char *content_type);
bool httpd_stream_write (struct httpd_request *request, const void *data,
                         size_t len);
void httpd_stream_end (struct httpd_request *request);
void httpd_stream_abort (struct httpd_request *request);
void httpd_cut_stalled (struct httpd *httpd, int64_t now_ms);
void httpd_discard_body (struct httpd_request *request);
uint32_t httpd_drop_idle (struct httpd *httpd, int64_t idle_ms,
                          int64_t now_ms);
uint32_t httpd_open_connections (const struct httpd *httpd);

#endif
