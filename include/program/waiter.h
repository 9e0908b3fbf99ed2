/* Requests waiting for the answer of a call, and the formats it is sent in. */
#ifndef GALENA_PROGRAM_WAITER_H
#define GALENA_PROGRAM_WAITER_H

#include "caller/api.h"
#include "endpoint/engine.h"
#include "program/program.h"

enum call_kind
{
  CALL_MODEL,
  CALL_TOOL,
  CALL_BRANCH, /* opens a branch; not a turn */
};

/* Response formats of model calls. */
enum call_format
{
  CALL_EVENTS,      /* server-sent events, native API */
  CALL_JSON,        /* a single JSON object, native API */
  CALL_CHAT_EVENTS, /* OpenAI-compatible chunks */
  CALL_CHAT_JSON,   /* an OpenAI-compatible completion */
};

/* A request waiting for the answer of a call.  Owned by its list. */
struct waiter
{
  struct waiter **list; /* head of the list that it is in */
  struct api_request *request;
  enum call_format format;
  uint32_t sent_tokens;
  bool streaming; /* the event stream has begun */
  struct waiter *next;
};

/* Metadata sent with an answer.  cursor and turn are those of the next call;
   replicas is the number of hosts that have stored the turn (on a replay,
   REPLICATION_FACTOR).  */
struct answer_metadata
{
  const char *cursor;
  const char *program;
  uint32_t turn;
  uint32_t replicas;
  const struct engine_usage *usage;
};

void waiter_add (struct waiter **list, struct api_request *request,
                 enum call_format format);
void waiter_destroy (struct waiter *waiter);
void waiter_send_tokens (struct waiter *list, const struct answer *answer);
void waiter_finish (struct waiter *waiter, enum call_kind kind,
                    const struct answer *answer,
                    const struct answer_metadata *answer_metadata);
void waiter_fail (struct waiter *waiter, const struct error *error,
                  const char *cursor);
void waiter_append_json_string (struct buf *out, const char *text, size_t len);

#endif
