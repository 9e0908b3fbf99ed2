#include "common/mailbox.h"
#include "common/buf.h"
#include "common/handoff.h"
#include <stdlib.h>
#include <unistd.h>

enum
{
  FULL_RETRY_US = 100, /* one iteration of the loop empties a full ring */
};

static void
handle_wakeup (struct ev_loop *loop, ev_async *watcher, int events)
{
  struct mailbox *mailbox = watcher->data;
  void *message;

  while (ck_ring_dequeue_mpsc (&mailbox->ring, mailbox->slots, &message))
    {
      handoff_acquire (message);
      mailbox->handle_message (mailbox->data, message);
    }
}

/* Creates a mailbox that calls HANDLE_MESSAGE on LOOP for each message.  */
struct mailbox *
mailbox_create (struct ev_loop *loop, mailbox_handler *handle_message,
                void *data)
{
  struct mailbox *mailbox = xcalloc (1, sizeof *mailbox);

  ck_ring_init (&mailbox->ring, MAILBOX_SLOTS);
  mailbox->loop = loop;
  mailbox->handle_message = handle_message;
  mailbox->data = data;
  ev_async_init (&mailbox->wake, handle_wakeup);
  mailbox->wake.data = mailbox;
  ev_async_start (loop, &mailbox->wake);
  return mailbox;
}

/* Posts MESSAGE from any thread.  Returns false if the ring is full; the
   caller then keeps ownership of the message.  */
bool
mailbox_post (struct mailbox *mailbox, void *message)
{
  handoff_release (message);
  if (!ck_ring_enqueue_mpsc (&mailbox->ring, mailbox->slots, message))
    return false;
  ev_async_send (mailbox->loop, &mailbox->wake);
  return true;
}

/* Posts MESSAGE and blocks while the ring is full.  Must not be called on the
   loop's thread, which empties the ring.  */
void
mailbox_post_blocking (struct mailbox *mailbox, void *message)
{
  while (!mailbox_post (mailbox, message))
    usleep (FULL_RETRY_US);
}

/* Passes all remaining messages to HANDLE, which takes ownership of them.
   Call it before mailbox_destroy.  */
void
mailbox_drain (struct mailbox *mailbox, mailbox_handler *handle, void *data)
{
  void *message;

  while (ck_ring_dequeue_mpsc (&mailbox->ring, mailbox->slots, &message))
    {
      handoff_acquire (message);
      handle (data, message);
    }
}

/* Frees the mailbox.  Call it on the loop's thread, after the last post.  */
void
mailbox_destroy (struct mailbox *mailbox)
{
  if (!mailbox)
    return;
  ev_async_stop (mailbox->loop, &mailbox->wake);
  free (mailbox);
}
