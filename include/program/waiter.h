/* Callers that wait for a call's answer, and how it is written for them. */
#ifndef GALENA_PROGRAM_WAITER_H
#define GALENA_PROGRAM_WAITER_H

#include "caller/api.h"
#include "endpoint/engine.h"
#include "program/program.h"

enum call_kind
{
  CALL_MODEL,
  CALL_TOOL,
  CALL_BRANCH, /* opens a branch; takes no turn */
};

/* How a model call's answer is written. */
enum call_format
{
  CALL_EVENTS,      /* server-sent events of this API */
  CALL_WHOLE,       /* one JSON object of this API */
  CALL_CHAT_EVENTS, /* OpenAI-style chunks */
  CALL_CHAT_WHOLE,  /* an OpenAI-style completion */
};

/* A caller that waits for a call's answer.  Owned by its
   list. */
struct waiter
{
  struct waiter **list;
  struct api_request *request;
  enum call_format format;
  uint32_t sent_tokens;
  bool streaming;
  struct waiter *next;
};

/* What an answer's end tells beside its text. */
struct ending
{
  const char *cursor;
  const char *program;
  uint32_t turn;
  uint32_t copies;
  const struct engine_usage *usage;
};

void waiter_add (struct waiter **list, struct api_request *request,
                 enum call_format format);
void waiter_destroy (struct waiter *waiter);
void waiter_send_tokens (struct waiter *list, const struct answer *answer);
void waiter_finish (struct waiter *waiter, enum call_kind kind,
                    const struct answer *answer, const struct ending *ending);
void waiter_fail (struct waiter *waiter, const struct error *error,
                  const char *cursor);
void waiter_append_string (struct buf *out, const char *text, size_t len);

#endif
