#include "policy/turn_copies.h"
#include <string.h>

static void
add_keeper (struct turn_copies *copies, const struct replica_host *hosts,
            uint32_t index)
{
  if (copies->count == TURN_COPIES_MAX
      || turn_copies_find (copies, hosts[index].hash))
    return;
  copies->keepers[copies->count++]
      = (struct turn_copy_keeper){ .index = index,
                                   .hash = hosts[index].hash,
                                   .centre = hosts[index].data_centre_hash };
}

/* Orders the keepers for GROUP: first the preferred ones, then those that
   replace them.  */
static void
order_keepers (struct turn_copies *copies, uint64_t group,
               const struct replica_host *hosts, uint32_t host_count)
{
  uint32_t selected[REPLICAS_MAX];
  uint32_t count
      = replicas_select (group, hosts, host_count, copies->wanted, selected);

  for (uint32_t i = 0; i < count; i++)
    add_keeper (copies, hosts, selected[i]);
  copies->preferred = copies->count;
  count = replicas_select (group, hosts, host_count, REPLICAS_MAX, selected);
  for (uint32_t i = 0; i < count; i++)
    add_keeper (copies, hosts, selected[i]);
  for (uint32_t i = 0; i < host_count; i++)
    add_keeper (copies, hosts, i);
  copies->listed = host_count;
}

/* Starts a write or read of a turn of GROUP, of which WANTED copies are
   needed.  */
void
turn_copies_init (struct turn_copies *copies, uint64_t group,
                  const struct replica_host *hosts, uint32_t host_count,
                  uint32_t wanted, int64_t now_ms)
{
  *copies = (struct turn_copies){ .wanted = wanted, .started_ms = now_ms };
  order_keepers (copies, group, hosts, host_count);
}

/* Applies a new list of keepers.  Answers of those that are no longer listed
   do not count.  */
void
turn_copies_set_keepers (struct turn_copies *copies, uint64_t group,
                         const struct replica_host *hosts, uint32_t host_count)
{
  struct turn_copies old = *copies;

  copies->count = 0;
  order_keepers (copies, group, hosts, host_count);
  for (uint32_t i = 0; i < copies->count; i++)
    {
      struct turn_copy_keeper *keeper = &copies->keepers[i];
      const struct turn_copy_keeper *before
          = turn_copies_find (&old, keeper->hash);
      uint32_t index = keeper->index;

      if (!before)
        continue;
      *keeper = *before;
      keeper->index = index;
    }
}

/* Returns the keeper whose name has HASH, or NULL.  */
struct turn_copy_keeper *
turn_copies_find (struct turn_copies *copies, uint64_t hash)
{
  for (uint32_t i = 0; i < copies->count; i++)
    if (copies->keepers[i].hash == hash)
      return &copies->keepers[i];
  return NULL;
}

/* Records that KEEPER was sent the turn, or the question for it.  */
void
turn_copies_record_asked (struct turn_copy_keeper *keeper, int64_t now_ms)
{
  if (!keeper->first_asked_ms)
    keeper->first_asked_ms = now_ms;
  keeper->asked_ms = now_ms;
}

static uint32_t
copies_needed (const struct turn_copies *copies)
{
  return copies->wanted < copies->listed ? copies->wanted : copies->listed;
}

/* Whether KEEPER has the turn or will probably acknowledge it soon.  */
static bool
is_promising (const struct turn_copy_keeper *keeper, int64_t now_ms)
{
  return keeper->copy == TURN_COPY_HELD
         || (keeper->copy == TURN_COPY_NO_ANSWER && keeper->first_asked_ms
             && !keeper->is_silent
             && now_ms - keeper->first_asked_ms < TURN_COPIES_SUPPLEMENT_MS);
}

/* Returns the first keeper that has not been asked, outside the data centre
   EXCEPT unless that is 0; or NULL.  Silent keepers come last.  */
static struct turn_copy_keeper *
find_unasked (struct turn_copies *copies, uint64_t except)
{
  for (int pass = 0; pass < 2; pass++)
    for (uint32_t i = 0; i < copies->count; i++)
      {
        struct turn_copy_keeper *keeper = &copies->keepers[i];

        if (!keeper->first_asked_ms && keeper->is_silent == (pass == 1)
            && (!except || keeper->centre != except))
          return keeper;
      }
  return NULL;
}

/* Returns a keeper that may not have got what it was sent, or NULL.  */
static struct turn_copy_keeper *
find_unanswered (struct turn_copies *copies, int64_t now_ms)
{
  for (uint32_t i = 0; i < copies->count; i++)
    {
      struct turn_copy_keeper *keeper = &copies->keepers[i];

      if (keeper->first_asked_ms && keeper->copy == TURN_COPY_NO_ANSWER
          && now_ms - keeper->asked_ms >= TURN_COPIES_RESEND_MS)
        return keeper;
    }
  return NULL;
}

/* Returns the next keeper to write the turn to, or NULL if none is due.  */
struct turn_copy_keeper *
turn_copies_next_write (struct turn_copies *copies, int64_t now_ms)
{
  uint32_t promising = 0;
  uint64_t centre = 0;
  bool has_two_centres = false;
  struct turn_copy_keeper *next = NULL;

  for (uint32_t i = 0; i < copies->count; i++)
    {
      const struct turn_copy_keeper *keeper = &copies->keepers[i];

      if (!is_promising (keeper, now_ms))
        continue;
      has_two_centres
          = has_two_centres || (promising > 0 && keeper->centre != centre);
      centre = keeper->centre;
      promising++;
    }
  if (promising < copies_needed (copies))
    next = find_unasked (copies, 0);
  else if (!has_two_centres)
    next = find_unasked (copies, centre);
  return next ? next : find_unanswered (copies, now_ms);
}

/* Returns the keeper to read from first: a preferred one of this host's data
   centre if possible.  */
static struct turn_copy_keeper *
find_nearest (struct turn_copies *copies)
{
  struct turn_copy_keeper *other = NULL;

  for (uint32_t i = 0; i < copies->preferred; i++)
    {
      struct turn_copy_keeper *keeper = &copies->keepers[i];

      if (keeper->is_silent)
        continue;
      if (keeper->centre == copies->near_centre)
        return keeper;
      other = other ? other : keeper;
    }
  return other;
}

/* Returns the next keeper to read the turn from, or NULL if none is due.  */
struct turn_copy_keeper *
turn_copies_next_read (struct turn_copies *copies, int64_t now_ms)
{
  const struct turn_copy_keeper *first = NULL;
  struct turn_copy_keeper *next;

  for (uint32_t i = 0; i < copies->count; i++)
    if (copies->keepers[i].first_asked_ms
        && (!first
            || copies->keepers[i].first_asked_ms < first->first_asked_ms))
      first = &copies->keepers[i];
  if (!first)
    {
      next = find_nearest (copies);
      return next ? next : find_unasked (copies, 0);
    }
  if (first->copy == TURN_COPY_NO_ANSWER && !first->is_silent
      && now_ms - first->first_asked_ms < TURN_COPIES_READ_ONE_MS)
    return NULL;
  next = find_unasked (copies, 0);
  return next ? next : find_unanswered (copies, now_ms);
}

/* Whether this host's data centre, or the one that still answers, is cut off:
   CENTRE alone has answered for long, or all others are known to be silent. */
static bool
is_cut_off (const struct turn_copies *copies, uint64_t centre, int64_t now_ms)
{
  bool are_others_silent = true;

  for (uint32_t i = 0; i < copies->count; i++)
    {
      const struct turn_copy_keeper *keeper = &copies->keepers[i];

      if (keeper->centre == centre)
        continue;
      if (keeper->has_replied)
        return false;
      are_others_silent = are_others_silent && keeper->is_silent;
    }
  return are_others_silent
         || now_ms - copies->started_ms >= TURN_COPIES_CUT_OFF_MS;
}

/* Decides whether the turn is durable: enough keepers have it, in two data
   centres unless only one is left.  */
enum turn_write_verdict
turn_copies_decide_write (const struct turn_copies *copies, int64_t now_ms)
{
  uint32_t needed = copies_needed (copies);
  uint32_t held = 0;
  uint32_t possible = 0;
  uint64_t centre = 0;
  bool has_two_centres = false;

  for (uint32_t i = 0; i < copies->count; i++)
    {
      const struct turn_copy_keeper *keeper = &copies->keepers[i];

      if (keeper->copy == TURN_COPY_CONFLICT)
        return TURN_WRITE_FAILED;
      possible += keeper->copy == TURN_COPY_HELD
                  || keeper->copy == TURN_COPY_NO_ANSWER;
      if (keeper->copy != TURN_COPY_HELD)
        continue;
      has_two_centres
          = has_two_centres || (held > 0 && keeper->centre != centre);
      centre = keeper->centre;
      held++;
    }
  if (needed == 0 || possible < needed)
    return TURN_WRITE_FAILED;
  if (held < needed)
    return TURN_WRITE_PENDING;
  return has_two_centres || is_cut_off (copies, centre, now_ms)
             ? TURN_WRITE_DURABLE
             : TURN_WRITE_PENDING;
}

/* Whether a read still waits for KEEPER.  One that falls silent meanwhile may
   only be slow.  */
static bool
is_awaited (const struct turn_copies *copies,
            const struct turn_copy_keeper *keeper, int64_t now_ms)
{
  if (keeper->copy != TURN_COPY_NO_ANSWER)
    return false;
  return !keeper->was_silent || !keeper->is_silent
         || now_ms - copies->started_ms < TURN_COPIES_SILENT_MS;
}

/* Decides what a read has found until UNTIL_MS, when it ends.  */
enum turn_read_verdict
turn_copies_decide_read (const struct turn_copies *copies, int64_t until_ms,
                         int64_t now_ms)
{
  bool is_certain = copies->count > 0 && copies->count == copies->listed;
  bool is_pending = false;

  for (uint32_t i = 0; i < copies->count; i++)
    {
      const struct turn_copy_keeper *keeper = &copies->keepers[i];
      enum turn_copy copy = keeper->copy;

      if (copy == TURN_COPY_HELD)
        return TURN_READ_FOUND;
      if (copy == TURN_COPY_OTHER_CUSTOMER)
        return TURN_READ_NO_SUCH_TURN;
      is_certain = is_certain && copy == TURN_COPY_MISSING_FOR_CERTAIN;
      is_pending = is_pending || is_awaited (copies, keeper, now_ms);
    }
  if (is_certain)
    return TURN_READ_NO_SUCH_TURN;
  return is_pending && now_ms < until_ms ? TURN_READ_PENDING
                                         : TURN_READ_NOT_CERTAIN;
}
