#include "common/mailbox.h"
#include "common/buf.h"
#include "common/handoff.h"
#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  FULL_RETRY_US = 100, /* one iteration of the loop empties a full ring */
};

/* Passes the newest messages to HANDLE.  All are taken at once, so that none
   is handled before one of a lower kind that was posted before it.  */
static void
handle_latest (struct mailbox *mailbox, mailbox_handler *handle, void *data)
{
  void *latest[MAILBOX_LATEST];

  pthread_mutex_lock (&mailbox->latest_lock);
  memcpy (latest, mailbox->latest, sizeof latest);
  memset (mailbox->latest, 0, sizeof mailbox->latest);
  pthread_mutex_unlock (&mailbox->latest_lock);
  for (uint32_t i = 0; i < MAILBOX_LATEST; i++)
    if (latest[i])
      handle (data, latest[i]);
}

static void
handle_wakeup (struct ev_loop *loop, ev_async *watcher, int events)
{
  struct mailbox *mailbox = watcher->data;
  void *message;

  handle_latest (mailbox, mailbox->handle_message, mailbox->data);
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
  pthread_mutex_init (&mailbox->latest_lock, NULL);
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
   loop's thread, which empties the ring, nor on one for which that thread may
   wait in the same way.  */
void
mailbox_post_blocking (struct mailbox *mailbox, void *message)
{
  while (!mailbox_post (mailbox, message))
    usleep (FULL_RETRY_US);
}

/* Posts MESSAGE, which takes BYTES, unless the messages posted so wait with
   more than LIMIT_BYTES in total or the ring is full.  A message over the
   limit is posted when no other waits.  Whoever handles the message calls
   mailbox_release_bytes.  Returns false if it was not posted; the caller then
   keeps ownership of it.  */
bool
mailbox_post_within (struct mailbox *mailbox, void *message, size_t bytes,
                     size_t limit_bytes)
{
  uint64_t waiting = ck_pr_faa_64 (&mailbox->bounded_bytes, bytes);

  if ((waiting == 0 || waiting + bytes <= limit_bytes)
      && mailbox_post (mailbox, message))
    return true;
  mailbox_release_bytes (mailbox, bytes);
  return false;
}

/* Makes room for BYTES of a message that has been handled.  */
void
mailbox_release_bytes (struct mailbox *mailbox, size_t bytes)
{
  ck_pr_sub_64 (&mailbox->bounded_bytes, bytes);
}

/* Posts MESSAGE in place of one of the same KIND that has not been taken yet.
   Of the messages that wait, those of lower kinds are handled first.  Returns
   the one that was replaced, which the caller owns, or NULL.  */
void *
mailbox_replace (struct mailbox *mailbox, uint32_t kind, void *message)
{
  void *replaced;

  pthread_mutex_lock (&mailbox->latest_lock);
  replaced = mailbox->latest[kind];
  mailbox->latest[kind] = message;
  pthread_mutex_unlock (&mailbox->latest_lock);
  ev_async_send (mailbox->loop, &mailbox->wake);
  return replaced;
}

/* Passes all remaining messages to HANDLE, which takes ownership of them.
   Call it before mailbox_destroy.  */
void
mailbox_drain (struct mailbox *mailbox, mailbox_handler *handle, void *data)
{
  void *message;

  handle_latest (mailbox, handle, data);
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
  pthread_mutex_destroy (&mailbox->latest_lock);
  free (mailbox);
}
