/* An entry host's access to the turns that keepers hold: reads the text of a
   chain and writes turns.  */
#ifndef GALENA_CONVERSATION_CLIENT_H
#define GALENA_CONVERSATION_CLIENT_H

#include "common/buf.h"
#include "peer/host.h"
#include "peer/transport.h"
#include "policy/turn_copies.h"
#include <ev.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct conversations;
struct conversation_task; /* a read or a write */

struct conversations_options
{
  struct ev_loop *loop; /* NULL if only conversations_tick keeps the time */
  struct transport *transport;
  const char *data_centre; /* of this host */
  uint32_t losses;         /* of keepers, that turns survive */
  size_t max_held_bytes;   /* of texts, for all requests; 0 for the default */
};

struct conversation_query
{
  uint64_t customer;   /* hash of the name */
  const char *turn;    /* to read the chain up to it; borrowed for the call */
  const char *program; /* the chain's probable one; may be NULL */
  int64_t now_ms;
  int64_t deadline_at_ms;
};

/* A turn to write.  The strings and bytes must stay until the write has ended
   or is cancelled. */
struct conversation_turn
{
  uint64_t group;
  uint64_t customer; /* hash of the name */
  const char *turn;
  const char *previous; /* NULL if the turn begins a chain */
  const char *prefix;   /* text of the chain before the input */
  size_t prefix_len;
  const char *input;
  size_t input_len;
  const char *output;
  size_t output_len;
  uint32_t retention_s;
  int64_t now_ms;
};

/* TEXT and GROUP are valid for TURN_READ_FOUND, and TEXT only during the
   call. */
typedef void conversation_read_handler (void *data,
                                        enum turn_read_verdict verdict,
                                        uint64_t group, const char *text,
                                        size_t len);
typedef void conversation_write_handler (void *data, bool is_durable);

struct conversations *
conversations_create (const struct conversations_options *options);
void conversations_destroy (struct conversations *client);
void conversations_set_keepers (struct conversations *client,
                                const struct host_location *locations,
                                size_t count);
void conversations_handle_frame (struct conversations *client,
                                 const char *host, const Peer__Frame *frame,
                                 int64_t now_ms);
void conversations_tick (struct conversations *client, int64_t now_ms);
bool conversations_may_begin (const struct conversations *client,
                              int64_t now_ms);
bool conversations_hold (struct conversations *client, size_t bytes);
void conversations_release (struct conversations *client, size_t bytes);
json_t *conversations_keepers_to_json (const struct conversations *client,
                                       uint64_t group, int64_t now_ms);
struct conversation_task *
conversations_read (struct conversations *client,
                    const struct conversation_query *query,
                    conversation_read_handler *handle, void *data);
struct conversation_task *
conversations_write (struct conversations *client,
                     const struct conversation_turn *turn,
                     conversation_write_handler *handle, void *data);
void conversation_task_cancel (struct conversation_task *task);

#endif
