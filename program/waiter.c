#include "program/waiter.h"
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HTTP_OK = 200,
};

/* Appends TEXT as a quoted and escaped JSON string.  */
void
waiter_append_json_string (struct buf *out, const char *text, size_t len)
{
  json_t *string = json_stringn (text, len);
  char *escaped = json_dumps (string, JSON_ENCODE_ANY);

  json_decref (string);
  buf_append_str (out, escaped ? escaped : "\"\"");
  free (escaped);
}

/* Appends the event for one token to OUT.  In CALL_EVENTS the event id is the
   number of tokens so far, so that a client can resume with Last-Event-ID.  */
static void
format_token (struct buf *out, enum call_format format, const char *id,
              uint32_t number, const char *text, size_t len)
{
  if (format == CALL_EVENTS)
    {
      buf_printf (out, "id: %" PRIu32 "\ndata: {\"token\":", number);
      waiter_append_json_string (out, text, len);
      buf_append_str (out, "}\n\n");
      return;
    }
  buf_printf (out,
              "data: {\"id\":\"%s\",\"object\":\"chat.completion.chunk\","
              "\"choices\":[{\"index\":0,\"delta\":{\"content\":",
              id);
  waiter_append_json_string (out, text, len);
  buf_append_str (out, "},\"finish_reason\":null}]}\n\n");
}

static bool
is_streaming_format (enum call_format format)
{
  return format == CALL_EVENTS || format == CALL_CHAT_EVENTS;
}

static void
waiter_unlink (struct waiter *waiter)
{
  struct waiter **slot = waiter->list;

  while (*slot && *slot != waiter)
    slot = &(*slot)->next;
  if (*slot)
    *slot = waiter->next;
}

static void
handle_waiter_disconnect (struct api_request *request)
{
  struct waiter *waiter = request->user;

  waiter_unlink (waiter);
  free (waiter);
}

/* Adds REQUEST to LIST, to be answered in FORMAT.  It is removed automatically
   if the caller disconnects.  */
void
waiter_add (struct waiter **list, struct api_request *request,
            enum call_format format)
{
  struct waiter *waiter = xcalloc (1, sizeof *waiter);

  waiter->list = list;
  waiter->request = request;
  waiter->format = format;
  waiter->sent_tokens = request->resume_from;
  waiter->next = *list;
  *list = waiter;
  request->user = waiter;
  request->handle_disconnect = handle_waiter_disconnect;
}

/* Removes the waiter from its list and frees it.  The request is not freed. */
void
waiter_destroy (struct waiter *waiter)
{
  waiter->request->user = NULL;
  waiter->request->handle_disconnect = NULL;
  waiter_unlink (waiter);
  free (waiter);
}

/* Sends the tokens that WAITER has not received yet, if its format is a
   stream.  Returns false if the client reads too slowly.  */
static bool
send_tokens (struct waiter *waiter, const struct answer *answer)
{
  struct buf out = { 0 };
  bool ok = true;

  if (!is_streaming_format (waiter->format)
      || waiter->sent_tokens >= answer->token_count)
    return true;
  while (waiter->sent_tokens < answer->token_count)
    {
      uint32_t i = waiter->sent_tokens++;
      uint32_t start = i > 0 ? answer->token_ends[i - 1] : 0;

      format_token (&out, waiter->format, waiter->request->id, i + 1,
                    answer->text.data + start, answer->token_ends[i] - start);
    }
  if (!waiter->streaming)
    {
      waiter->streaming = true;
      api_begin (waiter->request, HTTP_OK, "text/event-stream", true);
    }
  ok = api_write (waiter->request, out.data, out.len);
  buf_release (&out);
  return ok;
}

static void
drop_slow_waiter (struct waiter *waiter)
{
  struct api_request *request = waiter->request;

  waiter_destroy (waiter);
  api_abort (request);
}

/* Sends each waiter of LIST the tokens it has not received yet, and aborts the
   responses of clients that read too slowly.  */
void
waiter_send_tokens (struct waiter *list, const struct answer *answer)
{
  struct waiter *waiter = list;

  while (waiter)
    {
      struct waiter *next = waiter->next;

      if (!send_tokens (waiter, answer))
        drop_slow_waiter (waiter);
      waiter = next;
    }
}

static json_t *
usage_to_json (const struct answer *answer,
               const struct answer_metadata *answer_metadata)
{
  return json_pack ("{s:I, s:I, s:I}", "prompt_tokens",
                    (json_int_t)answer_metadata->usage->prompt_tokens,
                    "completion_tokens", (json_int_t)answer->token_count,
                    "cached_tokens",
                    (json_int_t)answer_metadata->usage->cached_tokens);
}

/* Returns the JSON object that ends an event stream and is part of a JSON
   answer.  */
static json_t *
metadata_to_json (const struct answer *answer,
                  const struct answer_metadata *answer_metadata)
{
  return json_pack (
      "{s:s, s:s, s:i, s:i, s:o}", "program", answer_metadata->program,
      "cursor", answer_metadata->cursor, "turn", (int)answer_metadata->turn,
      "copies", (int)answer_metadata->replicas, "usage",
      usage_to_json (answer, answer_metadata));
}

static json_t *
answer_to_json (enum call_format format, const char *id,
                const struct answer *answer,
                const struct answer_metadata *answer_metadata)
{
  const char *text = answer->text.data ? answer->text.data : "";
  json_t *root;

  if (format == CALL_JSON)
    {
      root = metadata_to_json (answer, answer_metadata);
      json_object_set_new (root, "answer",
                           json_stringn (text, answer->text.len));
      return root;
    }
  return json_pack ("{s:s, s:s, s:[{s:i, s:{s:s, s:s%}, s:s}], s:o}", "id", id,
                    "object", "chat.completion", "choices", "index", 0,
                    "message", "role", "assistant", "content", text,
                    answer->text.len, "finish_reason", "stop", "usage",
                    usage_to_json (answer, answer_metadata));
}

/* Sends the event that ends a stream.  Returns false if the client has no room
   for it.  */
static bool
send_stream_end (struct waiter *waiter, const struct answer *answer,
                 const struct answer_metadata *answer_metadata)
{
  bool is_taken;
  struct buf out = { 0 };
  json_t *root = metadata_to_json (answer, answer_metadata);
  char *text = json_dumps (root, JSON_COMPACT);

  json_decref (root);
  if (waiter->format == CALL_EVENTS)
    buf_printf (&out, "event: done\ndata: %s\n\n", text);
  else
    buf_printf (&out,
                "data: {\"id\":\"%s\",\"object\":\"chat.completion.chunk\","
                "\"choices\":[{\"index\":0,\"delta\":{},"
                "\"finish_reason\":\"stop\"}],\"galena\":%s}\n\n"
                "data: [DONE]\n\n",
                waiter->request->id, text);
  free (text);
  if (!waiter->streaming)
    api_begin (waiter->request, HTTP_OK, "text/event-stream", true);
  is_taken = api_write (waiter->request, out.data, out.len);
  buf_release (&out);
  return is_taken;
}

static bool
send_json (struct waiter *waiter, const struct answer *answer,
           const struct answer_metadata *answer_metadata)
{
  json_t *root = answer_to_json (waiter->format, waiter->request->id, answer,
                                 answer_metadata);
  char *text = json_dumps (root, JSON_COMPACT);
  bool is_taken;

  json_decref (root);
  api_begin (waiter->request, HTTP_OK, "application/json", false);
  is_taken = api_write (waiter->request, text, strlen (text));
  free (text);
  return is_taken;
}

/* Ends the response, or aborts one of which the client lacks a part.  */
static void
end_response (struct api_request *request, bool is_taken)
{
  if (is_taken)
    api_end (request);
  else
    api_abort (request);
}

/* Sends WAITER the rest of the answer and its metadata, ends the response and
   frees WAITER.  */
void
waiter_finish (struct waiter *waiter, enum call_kind kind,
               const struct answer *answer,
               const struct answer_metadata *answer_metadata)
{
  struct api_request *request = waiter->request;
  bool is_taken;

  api_set_string (&request->answer_cursor, answer_metadata->cursor);
  api_set_string (&request->answer_program, answer_metadata->program);
  if (kind == CALL_TOOL)
    {
      api_begin (request, answer->status, answer->content_type, false);
      is_taken = api_write (request, answer->text.data, answer->text.len);
    }
  else if (is_streaming_format (waiter->format))
    is_taken = send_tokens (waiter, answer)
               && send_stream_end (waiter, answer, answer_metadata);
  else
    is_taken = send_json (waiter, answer, answer_metadata);
  waiter_destroy (waiter);
  end_response (request, is_taken);
}

/* Sends WAITER an error and frees it.  The error is sent as an event if part
   of the answer has been streamed already.  CURSOR is the next cursor, or NULL
   if the cursor of the request remains valid.  */
void
waiter_fail (struct waiter *waiter, const struct error *error,
             const char *cursor)
{
  struct api_request *request = waiter->request;
  bool streaming = waiter->streaming;
  bool is_taken;
  char *text;
  struct buf out = { 0 };

  waiter_destroy (waiter);
  if (cursor)
    api_set_string (&request->answer_cursor, cursor);
  if (!streaming)
    {
      api_respond_error (request, error);
      return;
    }
  api_record_refusal (request, error);
  text = error_to_json (error);
  buf_printf (&out, "event: error\ndata: %s\n\n", text);
  if (cursor)
    buf_printf (&out, "event: cursor\ndata: {\"cursor\":\"%s\"}\n\n", cursor);
  is_taken = api_write (request, out.data, out.len);
  buf_release (&out);
  free (text);
  end_response (request, is_taken);
}
