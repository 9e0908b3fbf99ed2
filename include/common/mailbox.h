/* Message queue from any thread to one event loop, based on ck_ring. */
#ifndef GALENA_COMMON_MAILBOX_H
#define GALENA_COMMON_MAILBOX_H

#include <ck_ring.h>
#include <ev.h>
#include <stdbool.h>

enum
{
  MAILBOX_SLOTS = 4096, /* a power of two */
};

struct mailbox;
typedef void mailbox_handler (void *data, void *message);

/* Owned by the thread that runs the loop. */
struct mailbox
{
  ck_ring_t ring;
  ck_ring_buffer_t slots[MAILBOX_SLOTS];
  ev_async wake;
  struct ev_loop *loop;
  mailbox_handler *handle_message;
  void *data;
};

struct mailbox *mailbox_create (struct ev_loop *loop,
                                mailbox_handler *handle_message, void *data);
bool mailbox_post (struct mailbox *mailbox, void *message);
void mailbox_post_blocking (struct mailbox *mailbox, void *message);
void mailbox_drain (struct mailbox *mailbox, mailbox_handler *handle,
                    void *data);
void mailbox_destroy (struct mailbox *mailbox);

#endif
