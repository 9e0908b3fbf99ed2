#include "request/conversation_step.h"
#include "common/counters.h"
#include "common/id.h"
#include "conversation/turn.h"
#include "request/event_data.h"
#include "request/request.h"
#include <string.h>

enum
{
  /* As long as the longest body that callers may send. */
  MAX_CHAIN_BYTES = 4 * 1024 * 1024,
  /* Another host or a moment later may reach the keepers; callers wait a few
     seconds in total.  Spread, so that they do not return together. */
  RETRY_MS = 100,
  RETRY_SPREAD_MS = 100,
};

/* Prepares the steps of a request with INPUT of CUSTOMER, NULL for none.  They
   do nothing unless ROUTE keeps its turns.  */
void
conversation_step_init (struct conversation_step *step,
                        struct conversations *client,
                        const struct route *route, const char *customer,
                        struct request_input *input)
{
  *step = (struct conversation_step){ .client = client, .input = input };
  step->is_retained = route->retained && route->retry_mode == ROUTE_STREAM;
  step->retention_s = route->retention_s;
  if (customer)
    step->customer = id_hash_text (customer);
}

/* Cancels a lookup or write and frees the content of STEP.  */
void
conversation_step_release (struct conversation_step *step)
{
  conversation_task_cancel (step->task);
  if (step->held_bytes > 0)
    conversations_release (step->client, step->held_bytes);
  buf_release (&step->output);
  *step = (struct conversation_step){ 0 };
}

/* Whether the request may be sent as far as its conversation is concerned.  */
bool
conversation_step_is_ready (const struct conversation_step *step)
{
  return !step->is_retained || step->is_ready;
}

static bool
hold (struct conversation_step *step, size_t bytes)
{
  if (!conversations_hold (step->client, bytes))
    return false;
  step->held_bytes += bytes;
  return true;
}

/* Whether the response is whole and waits for its turn to be written.  */
bool
conversation_step_is_writing (const struct conversation_step *step)
{
  return step->handle_written != NULL;
}

/* Puts the text of the chain before the caller's input.  */
static enum conversation_verdict
build_body (struct conversation_step *step, const char *text, size_t len)
{
  struct request_input *input = step->input;
  struct buf body = { 0 };

  if (len > MAX_CHAIN_BYTES || input->body.len > MAX_CHAIN_BYTES - len)
    return CONVERSATION_TOO_LONG;
  if (!hold (step, len))
    return CONVERSATION_NO_MEMORY;
  buf_append (&body, text, len);
  buf_append (&body, input->body.data, input->body.len);
  buf_release (&input->body);
  input->body = body;
  step->prefix_len = len;
  step->is_ready = true;
  return CONVERSATION_READY;
}

static void
handle_read (void *data, enum turn_read_verdict verdict, uint64_t group,
             const char *text, size_t len)
{
  struct conversation_step *step = data;
  enum conversation_verdict result = CONVERSATION_NOT_CERTAIN;

  step->task = NULL;
  if (verdict == TURN_READ_NO_SUCH_TURN)
    result = CONVERSATION_NO_SUCH_TURN;
  else if (verdict == TURN_READ_FOUND)
    {
      step->group = group;
      result = build_body (step, text, len);
    }
  step->handle_ready (step->data, result);
}

static enum conversation_verdict
begin_chain (struct conversation_step *step)
{
  const struct request_input *input = step->input;

  if (!conversations_may_begin (step->client, clock_now_ms ()))
    {
      counter_add (COUNTER_CHAINS_REFUSED, 1);
      return CONVERSATION_NO_KEEPERS;
    }
  step->group = turn_group (step->customer, input->program,
                            input->id ? input->id : "");
  step->is_ready = true;
  return CONVERSATION_READY;
}

/* Makes the request's body whole.  HANDLE is called later if the result is
   pending.  */
enum conversation_verdict
conversation_step_begin (struct conversation_step *step,
                         int64_t deadline_at_ms,
                         conversation_ready_handler *handle, void *data)
{
  struct conversation_query query = { .customer = step->customer,
                                      .turn = step->input->previous,
                                      .program = step->input->program,
                                      .now_ms = clock_now_ms (),
                                      .deadline_at_ms = deadline_at_ms };

  if (step->input->resume_after >= 0)
    return CONVERSATION_RESUMED;
  if (!step->client)
    return CONVERSATION_NO_KEEPERS;
  if (!hold (step, step->input->body.len))
    return CONVERSATION_NO_MEMORY;
  if (!query.turn)
    return begin_chain (step);
  step->handle_ready = handle;
  step->data = data;
  step->task = conversations_read (step->client, &query, handle_read, step);
  return CONVERSATION_PENDING;
}

/* Collects the data of an event that is forwarded to the caller.  */
void
conversation_step_add_event (struct conversation_step *step, const char *event,
                             size_t len)
{
  size_t before = step->output.len;

  if (!step->is_retained || step->is_lost)
    return;
  event_data_append (&step->output, event, len);
  if (step->prefix_len + step->output.len <= MAX_CHAIN_BYTES
      && hold (step, step->output.len - before))
    return;
  step->is_lost = true;
  buf_release (&step->output);
}

static void
handle_write (void *data, bool is_durable)
{
  struct conversation_step *step = data;

  step->task = NULL;
  step->handle_written (step->data, is_durable);
}

/* Writes the turn, whose response is complete and successful.  HANDLE is
   called later if the response must wait for that.  A turn without an id is
   not written, since no other turn can name it.  */
enum conversation_end
conversation_step_end (struct conversation_step *step,
                       conversation_write_handler *handle, void *data)
{
  const struct request_input *input = step->input;
  struct conversation_turn turn = { .group = step->group,
                                    .customer = step->customer,
                                    .turn = input->id,
                                    .previous = input->previous,
                                    .prefix = input->body.data,
                                    .prefix_len = step->prefix_len,
                                    .output = step->output.data,
                                    .output_len = step->output.len,
                                    .retention_s = step->retention_s,
                                    .now_ms = clock_now_ms () };

  if (!step->is_retained || !input->id)
    return CONVERSATION_END_AT_ONCE;
  if (step->is_lost)
    {
      counter_add (COUNTER_TURNS_LOST, 1);
      return CONVERSATION_END_LOST;
    }
  if (input->body.len > step->prefix_len)
    {
      turn.input = input->body.data + step->prefix_len;
      turn.input_len = input->body.len - step->prefix_len;
    }
  step->handle_written = handle;
  step->data = data;
  step->task = conversations_write (step->client, &turn, handle_write, step);
  return CONVERSATION_END_LATER;
}

/* Sets ERROR to the refusal that VERDICT, neither ready nor pending, means. */
void
conversation_verdict_error (enum conversation_verdict verdict,
                            struct error *error)
{
  static const char *const messages[] = {
    [CONVERSATION_NO_SUCH_TURN] = "there is no such previous turn",
    [CONVERSATION_NOT_CERTAIN]
    = "too few keepers answered to read the previous turn",
    [CONVERSATION_NO_KEEPERS]
    = "too few keepers answer or have room for a new conversation",
    [CONVERSATION_NO_MEMORY] = "this host has no memory for the conversation",
    [CONVERSATION_TOO_LONG] = "the conversation is too long",
    [CONVERSATION_RESUMED] = "a turn of a kept conversation cannot be resumed"
  };
  enum error_kind kind = verdict == CONVERSATION_NO_SUCH_TURN ? ERROR_NOT_FOUND
                         : verdict == CONVERSATION_TOO_LONG   ? ERROR_TOO_LARGE
                                                            : ERROR_OVERLOADED;

  error_set (error, kind, RUN_NOT_RUN, "%s", messages[verdict]);
  if (kind == ERROR_OVERLOADED)
    error->retry_after_ms
        = RETRY_MS + (uint32_t)(id_random64 () % RETRY_SPREAD_MS);
}
