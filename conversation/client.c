#include "conversation/client.h"
#include "common/counters.h"
#include "common/histogram.h"
#include "common/id.h"
#include "common/log.h"
#include "common/memory.h"
#include "conversation/turn.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* A keeper counts as silent once a frame to it has been unanswered for
     longer than this; several times the supplement's time-out. */
  SILENT_MS = 300,
  PING_INTERVAL_MS = 100, /* to silent keepers, so that they are used again */
  /* A keeper that was full may have room again once turns have expired. */
  NO_ROOM_MS = 1000,
  DEADLINE_SHARE = 3, /* part of a request's time that a read may take */
  MIN_READ_MS = 40,   /* else no second keeper would ever be asked */
  HELD_COPIES = 2,    /* of a text: as read, and as sent to the endpoint */
  DEFAULT_HELD_BYTES = 24 * 1024 * 1024, /* a host has 88 MB or more */
};

static const double TICK_INTERVAL_S = 0.01;

/* What this host knows about a keeper. */
struct keeper_view
{
  char *name;
  int64_t unanswered_since_ms; /* oldest unanswered frame; 0 for none */
  int64_t pinged_ms;
  int64_t no_room_until_ms;
};

struct conversations
{
  struct conversations_options options;
  struct keeper_view *keepers;
  struct replica_host *hosts; /* of the same index */
  uint32_t count;
  uint64_t digest;   /* of the list of keepers */
  GHashTable *tasks; /* id -> struct conversation_task */
  GQueue queue;      /* of the same tasks */
  size_t held_bytes;
  ev_timer timer; /* runs while there are tasks or silent keepers */
};

struct conversation_task
{
  struct conversations *client;
  uint64_t id; /* random, the same in all frames of the task */
  uint64_t group;
  struct turn_copies copies;
  int64_t started_ms;
  int64_t until_ms;                       /* of a read */
  char *turn_id;                          /* of a read */
  uint64_t customer;                      /* of a read */
  struct conversation_turn turn;          /* of a write */
  conversation_read_handler *handle_read; /* NULL for a write */
  conversation_write_handler *handle_write;
  void *data;
  GList link;
};

static void
handle_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  conversations_tick (timer->data, clock_now_ms ());
}

/* Creates a client that does not know the keepers yet.  */
struct conversations *
conversations_create (const struct conversations_options *options)
{
  struct conversations *client = xcalloc (1, sizeof *client);

  client->options = *options;
  if (client->options.max_held_bytes == 0)
    client->options.max_held_bytes = DEFAULT_HELD_BYTES;
  client->tasks = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&client->queue);
  ev_timer_init (&client->timer, handle_timer, TICK_INTERVAL_S,
                 TICK_INTERVAL_S);
  client->timer.data = client;
  return client;
}

static void
release_keepers (struct conversations *client)
{
  for (uint32_t i = 0; i < client->count; i++)
    free (client->keepers[i].name);
  free (client->keepers);
  free (client->hosts);
}

/* Frees the client.  There must be no tasks.  */
void
conversations_destroy (struct conversations *client)
{
  if (!client)
    return;
  if (client->options.loop)
    ev_timer_stop (client->options.loop, &client->timer);
  release_keepers (client);
  conversations_release (client, client->held_bytes);
  g_hash_table_destroy (client->tasks);
  free (client);
}

static int32_t
find_keeper (const struct conversations *client, const char *name)
{
  for (uint32_t i = 0; i < client->count; i++)
    if (strcmp (client->keepers[i].name, name) == 0)
      return (int32_t)i;
  return -1;
}

/* Sets the keepers, also for the tasks in progress.  */
void
conversations_set_keepers (struct conversations *client,
                           const struct host_location *locations, size_t count)
{
  struct keeper_view *keepers = xcalloc (count + 1, sizeof *keepers);
  struct replica_host *hosts = xcalloc (count + 1, sizeof *hosts);

  for (size_t i = 0; i < count; i++)
    {
      int32_t known = find_keeper (client, locations[i].name);

      if (known >= 0)
        keepers[i] = client->keepers[known];
      keepers[i].name = xstrdup (locations[i].name);
      hosts[i].hash = id_hash_text (locations[i].name);
      hosts[i].data_centre_hash = id_hash_text (locations[i].data_centre);
    }
  release_keepers (client);
  client->digest = 0;
  for (size_t i = 0; i < count; i++)
    client->digest = turn_keepers_digest (client->digest, locations[i].name);
  client->keepers = keepers;
  client->hosts = hosts;
  client->count = (uint32_t)count;
  for (GList *at = client->queue.head; at; at = at->next)
    {
      struct conversation_task *task = at->data;

      turn_copies_set_keepers (&task->copies, task->group, client->hosts,
                               client->count);
    }
}

static bool
is_silent (const struct keeper_view *keeper, int64_t now_ms)
{
  return keeper->unanswered_since_ms
         && now_ms - keeper->unanswered_since_ms >= SILENT_MS;
}

/* Whether a chain may begin now: enough keepers answer and have room.  */
bool
conversations_may_begin (const struct conversations *client, int64_t now_ms)
{
  uint32_t wanted = turn_copies_wanted (client->options.losses);
  uint32_t usable = 0;

  for (uint32_t i = 0; i < client->count; i++)
    usable += !is_silent (&client->keepers[i], now_ms)
              && client->keepers[i].no_room_until_ms <= now_ms;
  return client->count > 0 && usable >= MIN (wanted, client->count)
         && client->held_bytes <= client->options.max_held_bytes / 2;
}

/* Accounts for BYTES of text that a request holds.  Returns false, and does
   nothing, if the bound or the callers' share of the memory would be exceeded.
   */
bool
conversations_hold (struct conversations *client, size_t bytes)
{
  if (bytes > client->options.max_held_bytes - client->held_bytes
      || !memory_take (MEMORY_CALLERS, HELD_COPIES * (int64_t)bytes))
    return false;
  client->held_bytes += bytes;
  return true;
}

/* Ends what conversations_hold has accounted for.  */
void
conversations_release (struct conversations *client, size_t bytes)
{
  client->held_bytes -= bytes;
  memory_add (MEMORY_CALLERS, -HELD_COPIES * (int64_t)bytes);
}

static bool
send_frame (const struct conversations *client, uint32_t index,
            const Peer__Frame *frame)
{
  return client->options.transport->vtable->send (
      client->options.transport, client->keepers[index].name, frame);
}

static bool
send_question (const struct conversation_task *task, uint32_t index)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__TurnRead question = PEER__TURN_READ__INIT;

  question.id = task->id;
  question.customer = task->customer;
  question.turn = task->turn_id;
  frame.body_case = PEER__FRAME__BODY_TURN_READ;
  frame.turn_read = &question;
  return send_frame (task->client, index, &frame);
}

static ProtobufCBinaryData
borrow_bytes (const char *bytes, size_t len)
{
  return (ProtobufCBinaryData){ .data = (uint8_t *)(uintptr_t)bytes,
                                .len = len };
}

static bool
send_turn (const struct conversation_task *task,
           const struct turn_copy_keeper *keeper)
{
  const struct conversation_turn *turn = &task->turn;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__TurnWrite write = PEER__TURN_WRITE__INIT;

  write.id = task->id;
  write.group = turn->group;
  write.customer = turn->customer;
  write.turn = (char *)(uintptr_t)turn->turn;
  if (turn->previous)
    write.previous = (char *)(uintptr_t)turn->previous;
  write.has_prefix = keeper->has_prefix;
  if (keeper->has_prefix)
    write.prefix = borrow_bytes (turn->prefix, turn->prefix_len);
  write.input = borrow_bytes (turn->input, turn->input_len);
  write.output = borrow_bytes (turn->output, turn->output_len);
  write.retention_s = turn->retention_s;
  frame.body_case = PEER__FRAME__BODY_TURN_WRITE;
  frame.turn_write = &write;
  return send_frame (task->client, keeper->index, &frame);
}

static void
send_to_keeper (struct conversation_task *task,
                struct turn_copy_keeper *keeper, int64_t now_ms)
{
  struct keeper_view *view = &task->client->keepers[keeper->index];
  bool is_sent = task->handle_read ? send_question (task, keeper->index)
                                   : send_turn (task, keeper);

  turn_copies_record_asked (keeper, now_ms);
  if (!is_sent)
    keeper->is_silent = true;
  if (!view->unanswered_since_ms)
    view->unanswered_since_ms = now_ms;
}

/* Sends what is due to the keepers.  */
static void
continue_task (struct conversation_task *task, int64_t now_ms)
{
  struct conversations *client = task->client;
  struct turn_copy_keeper *keeper;

  for (uint32_t i = 0; i < task->copies.count; i++)
    {
      keeper = &task->copies.keepers[i];
      keeper->is_silent = is_silent (&client->keepers[keeper->index], now_ms);
    }
  while ((keeper = task->handle_read
                       ? turn_copies_next_read (&task->copies, now_ms)
                       : turn_copies_next_write (&task->copies, now_ms)))
    {
      if (!task->handle_read && !keeper->first_asked_ms
          && keeper >= task->copies.keepers + task->copies.preferred)
        counter_add (COUNTER_TURN_SUPPLEMENTS, 1);
      send_to_keeper (task, keeper, now_ms);
    }
}

static void
keep_time (struct conversations *client)
{
  if (client->options.loop && !ev_is_active (&client->timer))
    ev_timer_again (client->options.loop, &client->timer);
}

static struct conversation_task *
create_task (struct conversations *client, uint64_t group, int64_t now_ms)
{
  struct conversation_task *task = xcalloc (1, sizeof *task);

  task->client = client;
  task->id = id_random64 ();
  task->group = group;
  task->started_ms = now_ms;
  turn_copies_init (&task->copies, group, client->hosts, client->count,
                    turn_copies_wanted (client->options.losses), now_ms);
  task->copies.near_centre = id_hash_text (client->options.data_centre);
  task->link.data = task;
  g_queue_push_tail_link (&client->queue, &task->link);
  g_hash_table_insert (client->tasks, &task->id, task);
  keep_time (client);
  return task;
}

/* Reads the text of a chain.  HANDLE is called once, never from within this
   call, unless the task is cancelled before.  */
struct conversation_task *
conversations_read (struct conversations *client,
                    const struct conversation_query *query,
                    conversation_read_handler *handle, void *data)
{
  struct conversation_task *task = create_task (
      client, turn_group (query->customer, query->program, query->turn),
      query->now_ms);
  int64_t share_ms = MAX (
      (query->deadline_at_ms - query->now_ms) / DEADLINE_SHARE, MIN_READ_MS);

  task->customer = query->customer;
  task->turn_id = xstrdup (query->turn);
  task->until_ms = query->now_ms + MIN (share_ms, TURN_COPIES_READ_MS);
  task->handle_read = handle;
  task->data = data;
  for (uint32_t i = 0; i < task->copies.count; i++)
    {
      struct turn_copy_keeper *keeper = &task->copies.keepers[i];

      keeper->was_silent
          = is_silent (&client->keepers[keeper->index], query->now_ms);
    }
  continue_task (task, query->now_ms);
  return task;
}

/* Returns the keepers of a turn of GROUP, the preferred ones first, and which
   of them a read would ask at once, as a new reference.  Sends nothing.  */
json_t *
conversations_keepers_to_json (const struct conversations *client,
                               uint64_t group, int64_t now_ms)
{
  struct turn_copies copies;
  json_t *list = json_array ();

  turn_copies_init (&copies, group, client->hosts, client->count,
                    turn_copies_wanted (client->options.losses), now_ms);
  copies.near_centre = id_hash_text (client->options.data_centre);
  for (uint32_t i = 0; i < copies.count; i++)
    copies.keepers[i].is_silent
        = is_silent (&client->keepers[copies.keepers[i].index], now_ms);
  for (uint32_t i = 0; i < copies.count; i++)
    {
      struct turn_copy_keeper *next = turn_copies_next_read (&copies, now_ms);

      if (next)
        turn_copies_record_asked (next, now_ms);
    }
  for (uint32_t i = 0; i < copies.count; i++)
    {
      const struct turn_copy_keeper *keeper = &copies.keepers[i];

      json_array_append_new (
          list, json_pack ("{s:s, s:b, s:b, s:b}", "name",
                           client->keepers[keeper->index].name, "preferred",
                           i < copies.preferred, "silent", keeper->is_silent,
                           "asked_first", keeper->first_asked_ms != 0));
    }
  return list;
}

/* Writes a turn.  HANDLE is called once, never from within this call, unless
   the task is cancelled before.  The write has no time-out of its own.  */
struct conversation_task *
conversations_write (struct conversations *client,
                     const struct conversation_turn *turn,
                     conversation_write_handler *handle, void *data)
{
  struct conversation_task *task
      = create_task (client, turn->group, turn->now_ms);

  task->turn = *turn;
  task->handle_write = handle;
  task->data = data;
  continue_task (task, turn->now_ms);
  return task;
}

static void
task_destroy (struct conversation_task *task)
{
  g_queue_unlink (&task->client->queue, &task->link);
  g_hash_table_remove (task->client->tasks, &task->id);
  free (task->turn_id);
  free (task);
}

/* Describes the answers of the keepers, for logs.  The caller releases it.  */
static struct buf
describe_answers (const struct conversation_task *task)
{
  static const char *const names[]
      = { "no answer",          "has it",  "no room",          "conflict",
          "another customer's", "unknown", "certainly unknown" };
  struct buf text = { 0 };

  for (uint32_t i = 0; i < task->copies.count; i++)
    {
      const struct turn_copy_keeper *keeper = &task->copies.keepers[i];

      if (keeper->first_asked_ms)
        buf_printf (&text, "%s%s: %s", text.len > 0 ? ", " : "",
                    task->client->keepers[keeper->index].name,
                    names[keeper->copy]);
    }
  if (text.len == 0)
    buf_append_str (&text, "no keeper is known");
  buf_append (&text, "", 1);
  return text;
}

/* Ends a task without calling its handler.  No effect if it is NULL.  */
void
conversation_task_cancel (struct conversation_task *task)
{
  struct buf answers;

  if (!task)
    return;
  if (!task->handle_read)
    {
      answers = describe_answers (task);
      counter_add (COUNTER_TURNS_LOST, 1);
      log_write (LOG_WARN, "conversation", NULL,
                 "turn %s given up before it was durable (%s)",
                 task->turn.turn, answers.data);
      buf_release (&answers);
    }
  task_destroy (task);
}

static void
log_read (const struct conversation_task *task, enum turn_read_verdict verdict,
          const Peer__TurnText *found, int64_t now_ms)
{
  struct buf answers = describe_answers (task);

  if (found)
    log_write (LOG_INFO, "conversation", NULL,
               "turn %s read after %" G_GINT64_FORMAT
               " ms: %zu bytes, %u turns, the copy is %u ms old (%s)",
               task->turn_id, now_ms - task->started_ms, found->text.len,
               found->turns, found->age_ms, answers.data);
  else
    log_write (LOG_WARN, "conversation", NULL,
               "turn %s %s after %" G_GINT64_FORMAT " ms (%s)", task->turn_id,
               verdict == TURN_READ_NO_SUCH_TURN
                   ? "does not exist for this customer"
                   : "not read: not all keepers answered with certainty",
               now_ms - task->started_ms, answers.data);
  buf_release (&answers);
}

/* Frees the task and calls its handler.  FOUND is NULL unless the turn was
   found.  */
static void
finish_read (struct conversation_task *task, enum turn_read_verdict verdict,
             const Peer__TurnText *found, int64_t now_ms)
{
  conversation_read_handler *handle = task->handle_read;
  void *data = task->data;

  histogram_record (HISTOGRAM_TURN_READ_MS, now_ms - task->started_ms);
  counter_add (found                               ? COUNTER_TURNS_READ
               : verdict == TURN_READ_NO_SUCH_TURN ? COUNTER_TURNS_UNKNOWN
                                                   : COUNTER_TURNS_UNCERTAIN,
               1);
  log_read (task, verdict, found, now_ms);
  task_destroy (task);
  handle (data, verdict, found ? found->group : 0,
          found ? (const char *)found->text.data : NULL,
          found ? found->text.len : 0);
}

static void
finish_write (struct conversation_task *task, bool is_durable, int64_t now_ms)
{
  conversation_write_handler *handle = task->handle_write;
  void *data = task->data;
  struct buf answers = describe_answers (task);

  histogram_record (HISTOGRAM_TURN_WRITE_MS, now_ms - task->started_ms);
  counter_add (is_durable ? COUNTER_TURNS_WRITTEN : COUNTER_TURNS_LOST, 1);
  log_write (is_durable ? LOG_INFO : LOG_WARN, "conversation", NULL,
             "turn %s %s after %" G_GINT64_FORMAT " ms (%s)", task->turn.turn,
             is_durable ? "durable" : "cannot be made durable",
             now_ms - task->started_ms, answers.data);
  buf_release (&answers);
  task_destroy (task);
  handle (data, is_durable);
}

/* Ends the task if its outcome is known.  */
static bool
finish_if_decided (struct conversation_task *task, int64_t now_ms)
{
  if (task->handle_read)
    {
      enum turn_read_verdict verdict
          = turn_copies_decide_read (&task->copies, task->until_ms, now_ms);

      if (verdict == TURN_READ_PENDING)
        return false;
      finish_read (task, verdict, NULL, now_ms);
    }
  else
    {
      enum turn_write_verdict verdict
          = turn_copies_decide_write (&task->copies, now_ms);

      if (verdict == TURN_WRITE_PENDING)
        return false;
      finish_write (task, verdict == TURN_WRITE_DURABLE, now_ms);
    }
  return true;
}

/* A keeper that was heard since it fell silent is used again: what it did not
   answer may have been lost.  */
static void
check_silent_keepers (struct conversations *client, int64_t now_ms)
{
  struct transport *transport = client->options.transport;

  for (uint32_t i = 0; i < client->count; i++)
    {
      struct keeper_view *keeper = &client->keepers[i];

      if (!is_silent (keeper, now_ms))
        continue;
      if (transport->vtable->last_received_ms (transport, keeper->name)
          >= keeper->unanswered_since_ms + SILENT_MS)
        keeper->unanswered_since_ms = 0;
      else if (now_ms - keeper->pinged_ms >= PING_INTERVAL_MS)
        {
          keeper->pinged_ms = now_ms;
          transport->vtable->ping (transport, keeper->name);
        }
    }
}

/* Whether a keeper still has to be watched: it may fall silent, or is.  */
static bool
has_unanswered (const struct conversations *client)
{
  for (uint32_t i = 0; i < client->count; i++)
    if (client->keepers[i].unanswered_since_ms)
      return true;
  return false;
}

/* Returns a task whose outcome is known, and ends it.  */
static bool
finish_one (struct conversations *client, int64_t now_ms)
{
  for (GList *at = client->queue.head; at; at = at->next)
    if (finish_if_decided (at->data, now_ms))
      return true;
  return false;
}

/* Applies the time-outs.  Must be called about every 10 ms while there are
   tasks; with a loop, the client does so itself.  */
void
conversations_tick (struct conversations *client, int64_t now_ms)
{
  check_silent_keepers (client, now_ms);
  /* A handler may end or begin other tasks, so the list is read anew. */
  while (finish_one (client, now_ms))
    ;
  for (GList *at = client->queue.head; at; at = at->next)
    continue_task (at->data, now_ms);
  if (client->options.loop && client->queue.length == 0
      && !has_unanswered (client))
    ev_timer_stop (client->options.loop, &client->timer);
}

/* Returns the keeper of TASK that is HOST, or NULL, and records that it has
   answered.  */
static struct turn_copy_keeper *
record_answer (struct conversations *client, struct conversation_task *task,
               const char *host)
{
  int32_t index = find_keeper (client, host);
  struct turn_copy_keeper *keeper;

  if (index < 0)
    return NULL;
  client->keepers[index].unanswered_since_ms = 0;
  keeper = task ? turn_copies_find (&task->copies, client->hosts[index].hash)
                : NULL;
  if (keeper)
    keeper->has_replied = true;
  return keeper;
}

/* Sends the turn with the whole chain, unless that is on its way.  */
static void
send_prefix (struct conversation_task *task, struct turn_copy_keeper *keeper,
             int64_t now_ms)
{
  if (keeper->has_prefix || !task->turn.previous)
    return;
  keeper->has_prefix = true;
  keeper->first_asked_ms = 0; /* it answers, so it has its time anew */
  counter_add (COUNTER_TURN_PREFIXES, 1);
  send_to_keeper (task, keeper, now_ms);
}

static void
handle_written (struct conversations *client, const char *host,
                const Peer__TurnWritten *answer, int64_t now_ms)
{
  struct conversation_task *task
      = g_hash_table_lookup (client->tasks, &answer->id);
  struct turn_copy_keeper *keeper = record_answer (client, task, host);
  int32_t index = find_keeper (client, host);

  if (index >= 0 && answer->result == TURN_NO_ROOM)
    client->keepers[index].no_room_until_ms = now_ms + NO_ROOM_MS;
  if (!keeper || task->handle_read || keeper->copy == TURN_COPY_HELD)
    return;
  switch (answer->result)
    {
    case TURN_STORED:
      keeper->copy = TURN_COPY_HELD;
      break;
    case TURN_LACKS_PREVIOUS:
      send_prefix (task, keeper, now_ms);
      return;
    case TURN_CONFLICT:
      keeper->copy = TURN_COPY_CONFLICT;
      break;
    default:
      keeper->copy = TURN_COPY_REFUSED;
      break;
    }
  if (!finish_if_decided (task, now_ms))
    continue_task (task, now_ms);
}

/* Whether the sender of ANSWER knows the same keepers as this host.  With an
   old list, this host would not ask keepers that were added since.  */
static bool
knows_same_keepers (const struct conversations *client,
                    const Peer__TurnText *answer)
{
  return answer->keepers == client->digest;
}

static void
handle_text (struct conversations *client, const char *host,
             const Peer__TurnText *answer, int64_t now_ms)
{
  struct conversation_task *task
      = g_hash_table_lookup (client->tasks, &answer->id);
  struct turn_copy_keeper *keeper = record_answer (client, task, host);

  if (!keeper || !task->handle_read)
    return;
  switch (answer->result)
    {
    case TURN_FOUND:
      keeper->copy = TURN_COPY_HELD;
      finish_read (task, TURN_READ_FOUND, answer, now_ms);
      return;
    case TURN_OTHER_CUSTOMER:
      keeper->copy = TURN_COPY_OTHER_CUSTOMER;
      break;
    case TURN_UNKNOWN_FOR_CERTAIN:
      keeper->copy = knows_same_keepers (client, answer)
                         ? TURN_COPY_MISSING_FOR_CERTAIN
                         : TURN_COPY_MISSING;
      break;
    default:
      keeper->copy = TURN_COPY_MISSING;
      break;
    }
  if (!finish_if_decided (task, now_ms))
    continue_task (task, now_ms);
}

/* Handles answers of keepers and ignores all other frames.  */
void
conversations_handle_frame (struct conversations *client, const char *host,
                            const Peer__Frame *frame, int64_t now_ms)
{
  if (frame->body_case == PEER__FRAME__BODY_TURN_WRITTEN)
    handle_written (client, host, frame->turn_written, now_ms);
  else if (frame->body_case == PEER__FRAME__BODY_TURN_TEXT)
    handle_text (client, host, frame->turn_text, now_ms);
}
