#include "fake_keepers.h"
#include "common/id.h"
#include "conversation/turn.h"
#include "peer/packed_frame.h"
#include <CUnit/CUnit.h>
#include <stdlib.h>
#include <string.h>

enum
{
  WAY_MS = 1,
};

struct fake_turn
{
  uint64_t customer;
  uint64_t group;
  struct buf text; /* of the chain */
};

struct fake_frame
{
  struct fake_keeper *keeper;
  bool is_answer;
  int64_t due_ms;
  struct buf bytes;
};

static void
turn_destroy (gpointer data)
{
  struct fake_turn *turn = data;

  buf_release (&turn->text);
  free (turn);
}

static struct fake_keeper *
find_keeper (struct fake_keepers *fleet, const char *name)
{
  for (uint32_t i = 0; i < fleet->count; i++)
    if (strcmp (fleet->keepers[i].name, name) == 0)
      return &fleet->keepers[i];
  return NULL;
}

static void
push_frame (struct fake_keepers *fleet, struct fake_keeper *keeper,
            bool is_answer, const Peer__Frame *frame)
{
  struct fake_frame *copy = xcalloc (1, sizeof *copy);

  copy->keeper = keeper;
  copy->is_answer = is_answer;
  copy->due_ms = fleet->now_ms + WAY_MS;
  packed_frame_append (&copy->bytes, frame);
  g_queue_push_tail (&fleet->frames, copy);
}

static bool
send_frame (struct transport *base, const char *host, const Peer__Frame *frame)
{
  struct fake_keepers *fleet = (struct fake_keepers *)(void *)base;
  struct fake_keeper *keeper = find_keeper (fleet, host);

  CU_ASSERT_PTR_NOT_NULL_FATAL (keeper);
  push_frame (fleet, keeper, false, frame);
  return true;
}

static void
ping (struct transport *base, const char *host)
{
  struct fake_keepers *fleet = (struct fake_keepers *)(void *)base;
  struct fake_keeper *keeper = find_keeper (fleet, host);

  if (keeper && !keeper->is_silent)
    keeper->heard_ms = fleet->now_ms;
}

static int64_t
last_received_ms (struct transport *base, const char *host)
{
  const struct fake_keeper *keeper
      = find_keeper ((struct fake_keepers *)(void *)base, host);

  return keeper ? keeper->heard_ms : 0;
}

/* Initializes COUNT keepers in as many data centres as CENTRES, "a" first.  */
void
fake_keepers_init (struct fake_keepers *fleet, uint32_t count,
                   uint32_t centres)
{
  static const struct transport_vtable vtable = {
    .send = send_frame, .ping = ping, .last_received_ms = last_received_ms
  };
  static const char *const names[FAKE_KEEPERS_MAX]
      = { "k0", "k1", "k2", "k3", "k4",  "k5",
          "k6", "k7", "k8", "k9", "k10", "k11" };
  static const char *const data_centres[] = { "a", "b", "c", "d" };

  *fleet = (struct fake_keepers){ .base.vtable = &vtable, .count = count };
  g_queue_init (&fleet->frames);
  for (uint32_t i = 0; i < count; i++)
    {
      fleet->keepers[i].name = names[i];
      fleet->keepers[i].data_centre = data_centres[i % centres];
      fleet->keepers[i].turns = g_hash_table_new_full (g_str_hash, g_str_equal,
                                                       free, turn_destroy);
    }
}

static void
frame_destroy (struct fake_frame *frame)
{
  buf_release (&frame->bytes);
  free (frame);
}

void
fake_keepers_release (struct fake_keepers *fleet)
{
  struct fake_frame *frame;

  while ((frame = g_queue_pop_head (&fleet->frames)))
    frame_destroy (frame);
  for (uint32_t i = 0; i < fleet->count; i++)
    g_hash_table_destroy (fleet->keepers[i].turns);
}

/* Tells the client of the first COUNT keepers.  */
void
fake_keepers_list (struct fake_keepers *fleet, uint32_t count)
{
  struct host_location locations[FAKE_KEEPERS_MAX];

  for (uint32_t i = 0; i < count; i++)
    locations[i] = (struct host_location){ fleet->keepers[i].name,
                                           fleet->keepers[i].data_centre };
  conversations_set_keepers (fleet->client, locations, count);
}

/* Stores a turn if the chain before it is known.  */
static enum turn_write_result
store_turn (struct fake_keeper *keeper, const Peer__TurnWrite *write)
{
  const struct fake_turn *before
      = g_hash_table_lookup (keeper->turns, write->previous);
  struct fake_turn *known = g_hash_table_lookup (keeper->turns, write->turn);
  struct fake_turn *turn;
  bool is_same;

  keeper->writes++;
  keeper->prefixes += write->has_prefix;
  if (keeper->is_full)
    return TURN_NO_ROOM;
  if (*write->previous && !write->has_prefix && !before)
    return TURN_LACKS_PREVIOUS;
  turn = xcalloc (1, sizeof *turn);
  turn->customer = write->customer;
  turn->group = write->group;
  if (write->has_prefix)
    buf_append (&turn->text, write->prefix.data, write->prefix.len);
  else if (before)
    buf_append (&turn->text, before->text.data, before->text.len);
  buf_append (&turn->text, write->input.data, write->input.len);
  buf_append (&turn->text, write->output.data, write->output.len);
  if (!known)
    {
      g_hash_table_insert (keeper->turns, xstrdup (write->turn), turn);
      return TURN_STORED;
    }
  is_same = known->text.len == turn->text.len
            && memcmp (known->text.data, turn->text.data, turn->text.len) == 0;
  turn_destroy (turn);
  return is_same ? TURN_STORED : TURN_CONFLICT;
}

static void
answer (struct fake_keepers *fleet, struct fake_keeper *keeper,
        const Peer__Frame *frame)
{
  if (keeper->lose > 0)
    {
      keeper->lose--;
      return;
    }
  push_frame (fleet, keeper, true, frame);
  if (fleet->answer_twice)
    push_frame (fleet, keeper, true, frame);
}

static void
answer_read (struct fake_keepers *fleet, struct fake_keeper *keeper,
             const Peer__TurnRead *question)
{
  const struct fake_turn *turn
      = g_hash_table_lookup (keeper->turns, question->turn);
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__TurnText text = PEER__TURN_TEXT__INIT;

  keeper->reads++;
  text.id = question->id;
  for (uint32_t i = 0; i < fleet->count; i++)
    text.keepers = turn_keepers_digest (text.keepers, fleet->keepers[i].name);
  text.result = keeper->is_fresh ? TURN_UNKNOWN : TURN_UNKNOWN_FOR_CERTAIN;
  if (turn && turn->customer != question->customer)
    text.result = TURN_OTHER_CUSTOMER;
  else if (turn)
    {
      text.result = TURN_FOUND;
      text.group = turn->group;
      text.text.data = (uint8_t *)turn->text.data;
      text.text.len = turn->text.len;
    }
  frame.body_case = PEER__FRAME__BODY_TURN_TEXT;
  frame.turn_text = &text;
  answer (fleet, keeper, &frame);
}

static void
handle_at_keeper (struct fake_keepers *fleet, struct fake_keeper *keeper,
                  const Peer__Frame *frame)
{
  Peer__Frame reply = PEER__FRAME__INIT;
  Peer__TurnWritten written = PEER__TURN_WRITTEN__INIT;

  if (frame->body_case == PEER__FRAME__BODY_TURN_READ)
    answer_read (fleet, keeper, frame->turn_read);
  if (frame->body_case != PEER__FRAME__BODY_TURN_WRITE)
    return;
  written.id = frame->turn_write->id;
  written.result = store_turn (keeper, frame->turn_write);
  reply.body_case = PEER__FRAME__BODY_TURN_WRITTEN;
  reply.turn_written = &written;
  if (!keeper->is_on_hold)
    answer (fleet, keeper, &reply);
}

/* Delivers the frames that are due and the client's time-outs.  */
void
fake_keepers_run (struct fake_keepers *fleet, int64_t now_ms)
{
  struct fake_frame *frame;

  fleet->now_ms = now_ms;
  while ((frame = g_queue_peek_head (&fleet->frames))
         && frame->due_ms <= now_ms)
    {
      Peer__Frame *content = packed_frame_unpack (&frame->bytes);

      g_queue_pop_head (&fleet->frames);
      CU_ASSERT_PTR_NOT_NULL_FATAL (content);
      if (!frame->keeper->is_silent && frame->is_answer)
        {
          frame->keeper->heard_ms = now_ms;
          conversations_handle_frame (fleet->client, frame->keeper->name,
                                      content, now_ms);
        }
      else if (!frame->keeper->is_silent)
        handle_at_keeper (fleet, frame->keeper, content);
      peer__frame__free_unpacked (content, NULL);
      frame_destroy (frame);
    }
  conversations_tick (fleet->client, now_ms);
}

/* Cuts the keepers of a data centre off, or all if it is NULL.  */
void
fake_keepers_silence (struct fake_keepers *fleet, const char *data_centre,
                      bool is_silent)
{
  for (uint32_t i = 0; i < fleet->count; i++)
    if (!data_centre
        || strcmp (fleet->keepers[i].data_centre, data_centre) == 0)
      fleet->keepers[i].is_silent = is_silent;
}

/* Returns how many keepers hold TURN.  */
uint32_t
fake_keepers_holding (const struct fake_keepers *fleet, const char *turn)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < fleet->count; i++)
    count += g_hash_table_contains (fleet->keepers[i].turns, turn);
  return count;
}
