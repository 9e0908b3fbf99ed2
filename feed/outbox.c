#include "feed/outbox.h"
#include "common/buf.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* An answer on its way. */
struct transfer
{
  int64_t begun_ms;
  size_t bytes;
};

struct outbox
{
  struct outbox_options options;
  GQueue waiting;        /* struct outbox_request */
  GHashTable *transfers; /* host -> struct transfer */
  size_t bytes;          /* of the transfers */
};

/* Creates an outbox without requests.  */
struct outbox *
outbox_create (const struct outbox_options *options)
{
  struct outbox *outbox = xcalloc (1, sizeof *outbox);

  outbox->options = *options;
  g_queue_init (&outbox->waiting);
  outbox->transfers
      = g_hash_table_new_full (g_str_hash, g_str_equal, free, free);
  return outbox;
}

/* Frees a request that outbox_take returned.  */
void
outbox_request_destroy (struct outbox_request *request)
{
  free (request->host);
  free (request);
}

static void
destroy_waiting (gpointer data)
{
  outbox_request_destroy (data);
}

/* Frees the outbox and its requests.  OUTBOX may be NULL.  */
void
outbox_destroy (struct outbox *outbox)
{
  if (!outbox)
    return;
  g_queue_clear_full (&outbox->waiting, destroy_waiting);
  g_hash_table_destroy (outbox->transfers);
  free (outbox);
}

static struct outbox_request *
find_request (struct outbox *outbox, const char *host, size_t table)
{
  for (GList *link = outbox->waiting.head; link; link = link->next)
    {
      struct outbox_request *request = link->data;

      if (request->table == table && strcmp (request->host, host) == 0)
        return request;
    }
  return NULL;
}

/* Adds a copy of REQUEST, or updates the one of that host for that table.
   IS_URGENT: its turn comes before that of the others.  */
void
outbox_add (struct outbox *outbox, const struct outbox_request *request,
            bool is_urgent)
{
  struct outbox_request *known
      = find_request (outbox, request->host, request->table);

  if (known)
    {
      known->revision = request->revision;
      known->accepts_deflate = request->accepts_deflate;
      known->requested_ms = request->requested_ms;
      return;
    }
  known = xcalloc (1, sizeof *known);
  *known = *request;
  known->host = xstrdup (request->host);
  if (is_urgent)
    g_queue_push_head (&outbox->waiting, known);
  else
    g_queue_push_tail (&outbox->waiting, known);
}

/* Forgets answers that the links have neither sent nor lost for long, and
   returns how many of the others do not stall.  */
static size_t
count_active (struct outbox *outbox, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  size_t active = 0;

  g_hash_table_iter_init (&iter, outbox->transfers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct transfer *transfer = value;

      if (now_ms - transfer->begun_ms > outbox->options.max_send_ms)
        {
          outbox->bytes -= transfer->bytes;
          g_hash_table_iter_remove (&iter);
        }
      else
        active += now_ms - transfer->begun_ms < outbox->options.stall_ms;
    }
  return active;
}

static void
drop_old_requests (struct outbox *outbox, int64_t now_ms)
{
  GList *link = outbox->waiting.head;

  while (link)
    {
      struct outbox_request *request = link->data;
      GList *next = link->next;

      if (now_ms - request->requested_ms > outbox->options.max_wait_ms)
        {
          g_queue_delete_link (&outbox->waiting, link);
          outbox_request_destroy (request);
        }
      link = next;
    }
}

/* Removes the next request that may be answered now and returns it; the caller
   frees it.  Returns NULL if there is none.  */
struct outbox_request *
outbox_take (struct outbox *outbox, int64_t now_ms)
{
  drop_old_requests (outbox, now_ms);
  if (g_queue_is_empty (&outbox->waiting)
      || count_active (outbox, now_ms) >= outbox->options.max_active
      || outbox->bytes >= outbox->options.max_bytes)
    return NULL;
  for (GList *link = outbox->waiting.head; link; link = link->next)
    {
      struct outbox_request *request = link->data;

      if (g_hash_table_contains (outbox->transfers, request->host))
        continue;
      g_queue_delete_link (&outbox->waiting, link);
      return request;
    }
  return NULL;
}

/* Records that an answer of BYTES is on its way to HOST.  */
void
outbox_begin (struct outbox *outbox, const char *host, size_t bytes,
              int64_t now_ms)
{
  struct transfer *transfer = xcalloc (1, sizeof *transfer);

  *transfer = (struct transfer){ .begun_ms = now_ms, .bytes = bytes };
  outbox->bytes += bytes;
  g_hash_table_replace (outbox->transfers, xstrdup (host), transfer);
}

/* Records that the answer to HOST has left this host or is lost.  */
void
outbox_end (struct outbox *outbox, const char *host)
{
  const struct transfer *transfer
      = g_hash_table_lookup (outbox->transfers, host);

  if (!transfer)
    return;
  outbox->bytes -= transfer->bytes;
  g_hash_table_remove (outbox->transfers, host);
}

/* Returns the number of requests that wait.  */
size_t
outbox_waiting (const struct outbox *outbox)
{
  return outbox->waiting.length;
}

/* Returns the bytes of the answers on their way.  */
size_t
outbox_bytes (const struct outbox *outbox)
{
  return outbox->bytes;
}
