/* Message queue from any thread to one event loop, based on ck_ring. */
#ifndef GALENA_COMMON_MAILBOX_H
#define GALENA_COMMON_MAILBOX_H

#include <ck_ring.h>
#include <ev.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  MAILBOX_SLOTS = 4096, /* a power of two */
  MAILBOX_LATEST = 4,   /* kinds of which only the newest message matters */
};

struct mailbox;
typedef void mailbox_handler (void *data, void *message);

/* Owned by the thread that runs the loop. */
struct mailbox
{
  ck_ring_t ring;
  ck_ring_buffer_t slots[MAILBOX_SLOTS];
  pthread_mutex_t latest_lock;
  void *latest[MAILBOX_LATEST]; /* NULL if none waits; under latest_lock */
  uint64_t bounded_bytes;       /* of mailbox_post_within; atomic */
  ev_async wake;
  struct ev_loop *loop;
  mailbox_handler *handle_message;
  void *data;
};

struct mailbox *mailbox_create (struct ev_loop *loop,
                                mailbox_handler *handle_message, void *data);
bool mailbox_post (struct mailbox *mailbox, void *message);
void mailbox_post_blocking (struct mailbox *mailbox, void *message);
bool mailbox_post_within (struct mailbox *mailbox, void *message, size_t bytes,
                          size_t limit_bytes);
void mailbox_release_bytes (struct mailbox *mailbox, size_t bytes);
void *mailbox_replace (struct mailbox *mailbox, uint32_t kind, void *message);
void mailbox_drain (struct mailbox *mailbox, mailbox_handler *handle,
                    void *data);
void mailbox_destroy (struct mailbox *mailbox);

#endif
