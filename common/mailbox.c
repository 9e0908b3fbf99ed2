#include "common/mailbox.h"
#include "common/buf.h"
#include "common/handoff.h"
#include <stdlib.h>
#include <unistd.h>

enum
{
  FULL_US = 100, /* a full ring is emptied in one turn of its loop */
};

static void
handle_wake (struct ev_loop *loop, ev_async *watcher, int events)
{
  struct mailbox *mailbox = watcher->data;
  void *message;

  while (ck_ring_dequeue_mpsc (&mailbox->ring, mailbox->slots, &message))
    {
      handoff_acquire (message);
      mailbox->handle_message (mailbox->data, message);
    }
}

/* Creates a mailbox that hands each message to HANDLE_MESSAGE on LOOP.  */
struct mailbox *
mailbox_create (struct ev_loop *loop, mailbox_handler *handle_message,
                void *data)
{
  struct mailbox *mailbox = xcalloc (1, sizeof *mailbox);

  ck_ring_init (&mailbox->ring, MAILBOX_SLOTS);
  mailbox->loop = loop;
  mailbox->handle_message = handle_message;
  mailbox->data = data;
  ev_async_init (&mailbox->wake, handle_wake);
  mailbox->wake.data = mailbox;
  ev_async_start (loop, &mailbox->wake);
  return mailbox;
}

/* Posts MESSAGE from any thread; false where the ring is full, and then the
   caller still owns it.  */
bool
mailbox_post (struct mailbox *mailbox, void *message)
{
  handoff_release (message);
  if (!ck_ring_enqueue_mpsc (&mailbox->ring, mailbox->slots, message))
    return false;
  ev_async_send (mailbox->loop, &mailbox->wake);
  return true;
}

/* Posts MESSAGE from a thread other than the loop's; waits while the ring is
   full.  */
void
mailbox_post_wait (struct mailbox *mailbox, void *message)
{
  while (!mailbox_post (mailbox, message))
    usleep (FULL_US);
}

/* Hands what is still in the mailbox to HANDLE, before it is destroyed.  */
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

/* Frees the mailbox; call it on the loop's thread, with no more posters.  */
void
mailbox_destroy (struct mailbox *mailbox)
{
  if (!mailbox)
    return;
  ev_async_stop (mailbox->loop, &mailbox->wake);
  free (mailbox);
}
