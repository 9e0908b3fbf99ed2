/* Requests of other hosts for more objects than are sent at once, and the
   answers that are on their way.

   A few answers are on their way at a time, one to a host, and the bytes of
   all are bounded.  All other hosts wait; each gets the state at the time of
   its turn, however often it has asked.  */
#ifndef GALENA_FEED_OUTBOX_H
#define GALENA_FEED_OUTBOX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct outbox;

struct outbox_options
{
  size_t max_bytes;  /* of all answers on their way, unless it is one */
  size_t max_active; /* answers on their way, without those that stall */
  /* An answer that has not left this host for so long no longer uses the
     bandwidth that others could. */
  int64_t stall_ms;
  int64_t max_wait_ms; /* after which a request is dropped unless repeated */
  int64_t max_send_ms; /* after which an answer counts as lost */
};

/* Owned by the outbox. */
struct outbox_request
{
  char *host;
  size_t table;     /* index of the table that the host lacks a part of */
  int64_t revision; /* up to which the host knows it */
  bool accepts_deflate;
  int64_t requested_ms; /* the last time */
};

struct outbox *outbox_create (const struct outbox_options *options);
void outbox_destroy (struct outbox *outbox);
void outbox_add (struct outbox *outbox, const struct outbox_request *request,
                 bool is_urgent);
struct outbox_request *outbox_take (struct outbox *outbox, int64_t now_ms);
void outbox_request_destroy (struct outbox_request *request);
void outbox_begin (struct outbox *outbox, const char *host, size_t bytes,
                   int64_t now_ms);
void outbox_end (struct outbox *outbox, const char *host);
size_t outbox_waiting (const struct outbox *outbox);
size_t outbox_bytes (const struct outbox *outbox);

#endif
