#include "request/grant_witness.h"
#include "common/buf.h"
#include "common/id.h"
#include "common/memory.h"
#include <glib.h>
#include <stdlib.h>

enum
{
  /* 1.2 MB; a host is a witness of a few of each customer. */
  MAX_SHARES = 2048,
};

/* The grants of a share. */
struct witnessed
{
  uint64_t share;
  struct window window;
  int64_t since_ms; /* from when on this host was told everything */
  int64_t told_ms;  /* last */
  uint64_t holder;  /* that told last */
  uint64_t total;   /* that it has told */
};

struct grant_witness
{
  int64_t window_ms;
  int64_t since_ms;   /* of shares of which it was told nothing */
  GHashTable *shares; /* share -> struct witnessed */
};

static void
witnessed_destroy (gpointer data)
{
  memory_add (MEMORY_CONFIG, -(int64_t)sizeof (struct witnessed));
  free (data);
}

/* Creates a witness of grants within WINDOW_MS.  */
struct grant_witness *
grant_witness_create (int64_t window_ms, int64_t now_ms)
{
  struct grant_witness *witness = xcalloc (1, sizeof *witness);

  witness->window_ms = window_ms;
  witness->since_ms = now_ms;
  witness->shares = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                           witnessed_destroy);
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

/* Records what the holder of a share has granted.  Without room for it,
   nothing that this witness knows counts as known any more.  */
void
grant_witness_record (struct grant_witness *witness,
                      const Peer__LimitGranted *granted, int64_t now_ms)
{
  uint64_t share = granted->share;
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
      memory_add (MEMORY_CONFIG, (int64_t)sizeof *witnessed);
      g_hash_table_insert (witness->shares, &witnessed->share, witnessed);
    }
  if (witnessed->holder != granted->holder)
    witnessed->total = 0;
  if (granted->total > witnessed->total)
    window_charge (&witnessed->window,
                   (int64_t)(granted->total - witnessed->total), now_ms);
  witnessed->holder = granted->holder;
  witnessed->total = MAX (granted->total, witnessed->total);
  witnessed->told_ms = now_ms;
}

/* Sets ANSWER to what is known of SHARE.  */
void
grant_witness_answer (struct grant_witness *witness, uint64_t share,
                      int64_t now_ms, struct grant_answer *answer)
{
  struct witnessed *witnessed = g_hash_table_lookup (witness->shares, &share);
  int64_t since_ms = witnessed ? witnessed->since_ms : witness->since_ms;
  Peer__LimitHistory *history = &answer->history;

  peer__limit_history__init (history);
  history->share = share;
  history->known_ms
      = (uint32_t)CLAMP (now_ms - since_ms, 0, witness->window_ms);
  history->ages_ms = answer->ages_ms;
  history->tokens = answer->tokens;
  if (!witnessed)
    return;
  history->holder = witnessed->holder;
  history->total = witnessed->total;
  for (int64_t i = 0; i <= WINDOW_STEPS; i++)
    {
      int64_t age_ms;
      int64_t granted = window_grants (&witnessed->window, i, now_ms, &age_ms);

      if (granted == 0)
        continue;
      answer->ages_ms[history->n_ages_ms++] = (uint32_t)age_ms;
      answer->tokens[history->n_tokens++] = (uint32_t)granted;
    }
}

struct past_grant
{
  int64_t at_ms;
  int64_t tokens;
};

/* Frees the content of HISTORY and makes it empty.  */
void
grant_history_release (struct grant_history *history)
{
  if (history->granted)
    g_array_free (history->granted, TRUE);
  *history = (struct grant_history){ 0 };
}

/* Adds what the witness HOST has TOLD, unless it has answered before, but for
   what the asking host has granted itself: it has told that as HOLDING.  */
void
grant_history_add (struct grant_history *history, const char *host,
                   const Peer__LimitHistory *told, uint64_t holding,
                   int64_t now_ms)
{
  uint64_t hash = id_hash_text (host);
  int64_t own = told->holder == holding ? (int64_t)told->total : 0;
  int64_t sum = 0;
  GArray *granted;

  if (history->answer_count == GRANT_WITNESSES
      || told->n_ages_ms != told->n_tokens)
    return;
  for (uint32_t i = 0; i < history->answer_count; i++)
    if (history->answered[i] == hash)
      return;
  history->answered[history->answer_count++] = hash;
  granted = g_array_new (FALSE, FALSE, sizeof (struct past_grant));
  for (size_t i = 0; i < told->n_tokens; i++)
    {
      int64_t taken = MIN (own, (int64_t)told->tokens[i]);
      struct past_grant grant = { .at_ms = now_ms - (int64_t)told->ages_ms[i],
                                  .tokens = told->tokens[i] - taken };

      own -= taken;
      sum += grant.tokens;
      g_array_append_val (granted, grant);
    }
  if (history->granted && sum <= history->told)
    {
      g_array_free (granted, TRUE);
      return;
    }
  if (history->granted)
    g_array_free (history->granted, TRUE);
  history->granted = granted;
  history->told = sum;
}

/* Charges the grants to WINDOW.  */
void
grant_history_charge (const struct grant_history *history,
                      struct window *window, int64_t now_ms)
{
  for (guint i = 0; history->granted && i < history->granted->len; i++)
    {
      const struct past_grant *grant
          = &g_array_index (history->granted, struct past_grant, i);

      window_charge_before (window, grant->tokens, now_ms - grant->at_ms,
                            now_ms);
    }
}
