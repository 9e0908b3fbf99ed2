/* The steps of a request on a route whose turns the system keeps: before it is
   sent, the chain that it continues is read; after its response, the turn is
   written.  */
#ifndef GALENA_REQUEST_CONVERSATION_STEP_H
#define GALENA_REQUEST_CONVERSATION_STEP_H

#include "common/buf.h"
#include "common/error.h"
#include "conversation/client.h"
#include <stdbool.h>
#include <stdint.h>

struct request_input;
struct route;

enum conversation_verdict
{
  CONVERSATION_READY, /* the request's body is whole */
  CONVERSATION_PENDING,
  CONVERSATION_NO_SUCH_TURN,
  CONVERSATION_NOT_CERTAIN, /* too few keepers answered */
  CONVERSATION_NO_KEEPERS,  /* too few keepers for a new chain */
  CONVERSATION_NO_MEMORY,
  CONVERSATION_TOO_LONG,
  CONVERSATION_RESUMED, /* the events before are not at hand */
};

enum conversation_end
{
  CONVERSATION_END_AT_ONCE, /* there is nothing to write */
  CONVERSATION_END_LATER,
  CONVERSATION_END_LOST, /* the turn cannot be kept */
};

typedef void conversation_ready_handler (void *data,
                                         enum conversation_verdict verdict);

/* Owned by its request; initially all zero, for a route that keeps nothing. */
struct conversation_step
{
  bool is_retained;
  bool is_ready; /* the body holds the whole chain */
  bool is_lost;  /* the output is not complete */
  struct conversations *client;
  struct request_input *input; /* owned by the request */
  uint64_t customer;           /* hash of the name; 0 on open routes */
  uint64_t group;
  uint32_t retention_s;
  size_t prefix_len; /* of the body, before the caller's input */
  size_t held_bytes; /* accounted for by the client */
  struct buf output;
  struct conversation_task *task;
  conversation_ready_handler *handle_ready;
  conversation_write_handler *handle_written;
  void *data;
};

void conversation_step_init (struct conversation_step *step,
                             struct conversations *client,
                             const struct route *route, const char *customer,
                             struct request_input *input);
void conversation_step_release (struct conversation_step *step);
bool conversation_step_is_ready (const struct conversation_step *step);
bool conversation_step_is_writing (const struct conversation_step *step);
enum conversation_verdict
conversation_step_begin (struct conversation_step *step,
                         int64_t deadline_at_ms,
                         conversation_ready_handler *handle, void *data);
void conversation_step_add_event (struct conversation_step *step,
                                  const char *event, size_t len);
enum conversation_end
conversation_step_end (struct conversation_step *step,
                       conversation_write_handler *handle, void *data);
void conversation_verdict_error (enum conversation_verdict verdict,
                                 struct error *error);

#endif
