#include "request/evacuations.h"
#include "common/buf.h"
#include "common/counters.h"
#include "common/log.h"
#include "policy/cold.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_ENDED = 64, /* data centres whose last evacuation is remembered */
};

struct evacuations
{
  struct strings in_force; /* names of data centres */
  GHashTable *ended;       /* name -> int64_t, when the latest one ended */
};

/* Creates an object without evacuations.  */
struct evacuations *
evacuations_create (void)
{
  struct evacuations *evacuations = xcalloc (1, sizeof *evacuations);

  evacuations->ended
      = g_hash_table_new_full (g_str_hash, g_str_equal, free, free);
  return evacuations;
}

/* Frees the evacuations.  */
void
evacuations_destroy (struct evacuations *evacuations)
{
  if (!evacuations)
    return;
  strings_release (&evacuations->in_force);
  g_hash_table_destroy (evacuations->ended);
  free (evacuations);
}

static void
record_end (struct evacuations *evacuations, const char *data_centre,
            int64_t now_ms)
{
  int64_t *ended_ms;

  if (g_hash_table_size (evacuations->ended) >= MAX_ENDED)
    g_hash_table_remove_all (evacuations->ended);
  ended_ms = xcalloc (1, sizeof *ended_ms);
  *ended_ms = now_ms;
  g_hash_table_replace (evacuations->ended, xstrdup (data_centre), ended_ms);
  log_write (LOG_WARN, "evacuation", NULL,
             "the evacuation of data centre %s has ended: its endpoints get "
             "their requests back within %d ms",
             data_centre, COLD_RETURN_MS);
}

/* Sets the list of all evacuations.  */
void
evacuations_apply (struct evacuations *evacuations,
                   const struct strings *data_centres, int64_t now_ms)
{
  struct strings before = evacuations->in_force;

  evacuations->in_force = (struct strings){ 0 };
  strings_copy (&evacuations->in_force, data_centres);
  for (size_t i = 0; i < before.count; i++)
    if (!strings_contain (data_centres, before.items[i]))
      record_end (evacuations, before.items[i], now_ms);
  for (size_t i = 0; i < data_centres->count; i++)
    if (!strings_contain (&before, data_centres->items[i]))
      {
        counter_add (COUNTER_EVACUATIONS, 1);
        log_write (LOG_WARN, "evacuation", NULL,
                   "data centre %s is evacuated: its endpoints get no "
                   "requests",
                   data_centres->items[i]);
      }
  counter_add (COUNTER_EVACUATIONS_IN_FORCE,
               (int64_t)data_centres->count - (int64_t)before.count);
  strings_release (&before);
}

/* Whether DATA_CENTRE is evacuated.  */
bool
evacuations_contain (const struct evacuations *evacuations,
                     const char *data_centre)
{
  return strings_contain (&evacuations->in_force, data_centre);
}

/* Returns when the latest evacuation of DATA_CENTRE ended, or 0 if none is
   remembered.  */
int64_t
evacuations_ended_ms (const struct evacuations *evacuations,
                      const char *data_centre)
{
  const int64_t *ended_ms
      = g_hash_table_lookup (evacuations->ended, data_centre);

  return ended_ms ? *ended_ms : 0;
}
