#include "request/grant_witness.h"
#include "common/buf.h"
#include "policy/window.h"
#include <glib.h>
#include <stdlib.h>

enum
{
  MAX_SHARES
  = 2048, /* 1.2 MB; a host is a witness of a few of each customer */
};

/* The grants of a share. */
struct witnessed
{
  uint64_t share;
  struct window window;
  int64_t since_ms; /* from when on this host was told everything */
  int64_t told_ms;  /* last */
};

struct grant_witness
{
  int64_t window_ms;
  int64_t since_ms;   /* of shares of which it was told nothing */
  GHashTable *shares; /* share -> struct witnessed */
};

/* Creates a witness of grants within WINDOW_MS.  */
struct grant_witness *
grant_witness_create (int64_t window_ms, int64_t now_ms)
{
  struct grant_witness *witness = xcalloc (1, sizeof *witness);

  witness->window_ms = window_ms;
  witness->since_ms = now_ms;
  witness->shares
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free);
  return witness;
}

/* Frees the witness.  */
void
grant_witness_destroy (struct grant_witness *witness)
{
  if (!witness)
    return;
  g_hash_table_destroy (witness->shares);
  free (witness);
}

/* Notes that the list of hosts has changed.  What is known of shares of which
   this host stays a witness goes on; of others, it begins anew.  */
void
grant_witness_change_hosts (struct grant_witness *witness,
                            grant_witness_filter *is_witness, void *data,
                            int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  witness->since_ms = now_ms;
  g_hash_table_iter_init (&iter, witness->shares);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!is_witness (data, ((const struct witnessed *)value)->share))
      g_hash_table_iter_remove (&iter);
}

/* Drops the shares of which nothing in the window is known.  */
static void
drop_old (struct grant_witness *witness, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, witness->shares);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct witnessed *witnessed = value;

      if (now_ms - witnessed->told_ms > 2 * witness->window_ms)
        g_hash_table_iter_remove (&iter);
    }
}

/* Records that the holder of SHARE has granted TOKENS.  Without room for it,
   nothing that this witness knows counts as known any more.  */
void
grant_witness_record (struct grant_witness *witness, uint64_t share,
                      int64_t tokens, int64_t now_ms)
{
  struct witnessed *witnessed = g_hash_table_lookup (witness->shares, &share);

  if (!witnessed && g_hash_table_size (witness->shares) >= MAX_SHARES)
    drop_old (witness, now_ms);
  if (!witnessed && g_hash_table_size (witness->shares) >= MAX_SHARES)
    {
      witness->since_ms = now_ms;
      return;
    }
  if (!witnessed)
    {
      witnessed = xcalloc (1, sizeof *witnessed);
      witnessed->share = share;
      witnessed->since_ms = witness->since_ms;
      window_init (&witnessed->window, witness->window_ms, now_ms);
      g_hash_table_insert (witness->shares, &witnessed->share, witnessed);
    }
  witnessed->told_ms = now_ms;
  window_charge (&witnessed->window, tokens, now_ms);
}

/* Calls SEND with what is known of SHARE.  */
void
grant_witness_tell (struct grant_witness *witness, uint64_t share,
                    int64_t now_ms,
                    void (*send) (void *data, const Peer__Frame *frame),
                    void *data)
{
  struct witnessed *witnessed = g_hash_table_lookup (witness->shares, &share);
  uint32_t ages_ms[WINDOW_STEPS + 1];
  uint32_t tokens[WINDOW_STEPS + 1];
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LimitHistory history = PEER__LIMIT_HISTORY__INIT;

  history.share = share;
  history.known_ms = (uint32_t)CLAMP (
      now_ms - (witnessed ? witnessed->since_ms : witness->since_ms), 0,
      witness->window_ms);
  history.ages_ms = ages_ms;
  history.tokens = tokens;
  for (int64_t i = 0; witnessed && i <= WINDOW_STEPS; i++)
    {
      int64_t age_ms;
      int64_t granted = window_grants (&witnessed->window, i, now_ms, &age_ms);

      if (granted == 0)
        continue;
      ages_ms[history.n_ages_ms++] = (uint32_t)age_ms;
      tokens[history.n_tokens++] = (uint32_t)granted;
    }
  frame.body_case = PEER__FRAME__BODY_LIMIT_HISTORY;
  frame.limit_history = &history;
  send (data, &frame);
}
