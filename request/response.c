#include "request/response.h"
#include <stdlib.h>

static const char SUBJECT[] = "a request";

/* Owned by its request until it ends. */
struct response
{
  struct response_options options;
  struct ending ending;
  ev_timer timeout;
};

static void
handle_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct response *response = timer->data;

  response->options.handle_timeout (response->options.data);
}

/* Creates a response without a time-out.  */
struct response *
response_create (const struct response_options *options)
{
  struct response *response = xcalloc (1, sizeof *response);

  response->options = *options;
  ev_timer_init (&response->timeout, handle_timeout, 0, 0);
  response->timeout.data = response;
  return response;
}

static void
free_response (struct response *response)
{
  ev_timer_stop (response->options.loop, &response->timeout);
  free (response);
}

/* Has the response end after TIMEOUT_MS from now.  */
void
response_set_timeout (struct response *response, int64_t timeout_ms)
{
  ev_timer_stop (response->options.loop, &response->timeout);
  ev_timer_set (&response->timeout, (double)timeout_ms / 1000.0, 0);
  ev_timer_start (response->options.loop, &response->timeout);
}

/* Whether the caller has the head of a stream.  */
bool
response_has_begun (const struct response *response)
{
  return response->ending.has_begun;
}

/* Starts a stream.  */
void
response_begin (struct response *response, const struct response_head *head,
                const struct log_ids *ids)
{
  struct request_sink *sink = response->options.sink;

  if (ending_begin (&response->ending, SUBJECT, ids))
    sink->begin (sink, head);
}

/* Passes a part of the stream on.  Returns false if the caller has no room for
   it; nothing of it is then passed on.  */
bool
response_write (struct response *response, const char *bytes, size_t len)
{
  struct request_sink *sink = response->options.sink;

  return sink->write (sink, bytes, len);
}

/* Ends the response as END says, but for a whole one that comes when a stream
   has begun, which is aborted: its caller has the head of a response.  Frees
   the response, after the request.  What END points at must outlive that.  */
void
response_end (struct response *response, const struct response_end *end,
              const struct log_ids *ids)
{
  struct request_sink *sink = response->options.sink;
  enum ending_way way = ending_end (&response->ending, end->way, SUBJECT, ids);

  /* An end that is made while the request is released is late.  */
  if (way == ENDING_NONE)
    return;
  response->options.release (response->options.data);
  free_response (response);
  if (way == ENDING_ABORT)
    sink->abort (sink);
  else if (way == ENDING_COMPLETE)
    sink->end (sink);
  else if (way == ENDING_WHOLE && end->error)
    sink->refuse (sink, end->error);
  else if (way == ENDING_WHOLE)
    sink->respond (sink, end->head, end->body);
}

/* Frees COUNT headers.  */
void
headers_destroy (struct header *headers, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      free (headers[i].name);
      free (headers[i].value);
    }
  free (headers);
}

/* Appends copies of NAME and VALUE.  */
void
headers_add (struct header **headers, size_t *count, const char *name,
             const char *value)
{
  *headers = xrealloc (*headers, (*count + 1) * sizeof **headers);
  (*headers)[*count].name = xstrdup (name);
  (*headers)[*count].value = xstrdup (value);
  (*count)++;
}

/* Initializes a head that tells nothing yet.  */
void
response_head_init (struct response_head *head)
{
  *head = (struct response_head){
    .running = -1, .waiting = -1, .limit_milli = -1, .content_length = -1
  };
}

/* Frees the content of HEAD and initializes it again.  */
void
response_head_release (struct response_head *head)
{
  free (head->request_id);
  headers_destroy (head->headers, head->header_count);
  response_head_init (head);
}
