/* That the response to a caller begins at most once and ends exactly once.

   All ends pass through here, on both interfaces: those of the request
   pipeline (request/response.h), of the own interface's requests
   (caller/api.h) and of the HTTP server.  What comes when a response has begun
   or ended is counted and logged; a stream that has begun is then aborted, so
   that its caller does not wait for an end that nobody sends. */
#ifndef GALENA_COMMON_ENDING_H
#define GALENA_COMMON_ENDING_H

#include "common/log.h"
#include <stdbool.h>

enum ending_way
{
  ENDING_WHOLE,    /* a response or a refusal in one piece */
  ENDING_COMPLETE, /* the end of a stream */
  ENDING_ABORT,    /* a stream that stays incomplete, or will not begin */
  ENDING_LEFT,     /* the caller has left and gets nothing */
  ENDING_NONE,     /* it has ended before */
};

/* How far a response has got. */
struct ending
{
  bool has_begun; /* a stream, whose head the caller has */
  bool has_ended;
};

bool ending_begin (struct ending *ending, const char *subject,
                   const struct log_ids *ids);
enum ending_way ending_end (struct ending *ending, enum ending_way way,
                            const char *subject, const struct log_ids *ids);
void ending_record_missing (const char *subject, const struct log_ids *ids);

#endif
