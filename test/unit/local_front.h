/* A front end on a pipeline on raw endpoints, and what reaches these. */
#ifndef GALENA_TEST_LOCAL_FRONT_H
#define GALENA_TEST_LOCAL_FRONT_H

#include "http_caller.h"
#include "local_pipeline.h"
#include "platform/frontend.h"

struct local_front
{
  struct local_pipeline *local;
  struct local_pipeline *helper; /* sends for LOCAL; NULL for none */
  struct frontend *frontend;
  GPtrArray *requests; /* char *, that reached an endpoint, with bodies */
  /* Head of the answers after the status line and Attempt-Id, and the body;
     NULL for a short one with a length. */
  const char *answer;
  const char *status_line; /* NULL for 200 */
  /* Replaces all that an endpoint would answer; may be NULL. */
  raw_answer_handler *handle;
  char *sent;       /* the last answer */
  int64_t after_ms; /* that a connection stays open after an answer */
};

/* What a caller got. */
struct front_answer
{
  int status;     /* 0 if there is none */
  bool is_closed; /* the connection, by the host */
  int64_t took_ms;
  char head[1024];
};

void local_front_open (struct local_front *front,
                       const struct local_route *route, bool is_relayed);
void local_front_close (struct local_front *front);
struct front_answer local_front_ask (struct local_front *front,
                                     const char *request, size_t len);
void local_front_run (struct local_front *front, int64_t ms);

#endif
