#include "request/limits.h"
#include "common/counters.h"
#include "common/id.h"
#include "common/log.h"
#include "policy/window.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ASK_MS = 60,        /* a holder answers within a few */
  DENIED_MS = 50,     /* after a round without a loan, none is asked for */
  LOAN_MS = 150,      /* a loan that is not used by then is lost */
  PAUSE_MIN_MS = 40,  /* between rounds for requests that wait */
  PAUSE_MAX_MS = 100, /* another data centre may have a token sooner */
  AHEAD_PER_S = 8,    /* a loan is for an eighth of a second */
  MAX_LOAN_TOKENS = 32,
  /* Programs begin at the pace at which the customer's tokens last for all of
     their requests: one that breaks off has used its tokens for nothing. */
  BEGIN_PERCENT = 140,      /* of the tokens are spoken for in this way */
  PROGRAM_REQUESTS = 12,    /* of a program, until some have been seen */
  PROGRAMS_WEIGHED = 16,    /* that the figure above counts for */
  PROGRAMS_REMEMBERED = 64, /* older ones count for less and less */
  KEPT_PERCENT = 50,   /* a holder keeps so much from other data centres */
  MIN_RETRY_MS = 100,  /* sooner, the next try finds the window as full */
  MAX_RETRY_MS = 1500, /* callers wait for seconds in all */
  MAX_DATA_CENTRES = 32,
  USE_WINDOW_MS = 1000, /* over which a customer's use is counted */
};

/* A request that waits for a token.  Owned by its bucket. */
struct limits_wait
{
  struct bucket *bucket;
  bool begins; /* a program */
  int64_t until_ms;
  limits_handler *handle;
  void *data;
};

/* A customer's tokens on this host. */
struct bucket
{
  struct limits *limits;
  char *customer;
  uint64_t hash;
  struct window own;   /* empty where another host holds the part */
  struct window begun; /* programs that began with tokens of this part */
  int64_t wait_ms;     /* until a token is expected, by the holder's word */
  bool is_holder;
  int64_t rate_milli;
  int64_t burst;
  int64_t borrowed;          /* whole tokens */
  int64_t borrowed_to_begin; /* of the round under way */
  int64_t borrowed_ms;       /* when the last loan was asked for */
  uint64_t nonce;            /* of the round under way; 0 for none */
  uint32_t unanswered;
  uint32_t asked_centres; /* of the round; the first is the own */
  int64_t window_ms;      /* start of the window whose use is counted */
  int64_t used;           /* in that window */
  int64_t used_before;    /* in the one before */
  int64_t asked_ms;
  int64_t denied_begin_ms; /* a program that was to begin */
  ev_timer timer;
  GPtrArray *waits; /* struct limits_wait */
};

struct member
{
  char *name;
  uint64_t hash;    /* of the name */
  uint64_t dc_hash; /* of its data centre's name */
};

struct limits
{
  struct limits_options options;
  GHashTable *buckets;    /* customer -> struct bucket */
  GHashTable *rounds;     /* nonce -> struct bucket whose round it is */
  struct member *members; /* all entry hosts, this one too */
  size_t member_count;
  uint64_t data_centres[MAX_DATA_CENTRES]; /* hashes; the first is the own */
  uint32_t data_centre_count;
  bool is_counted; /* the other hosts leave a part to this one */
  /* Programs of all customers, since those of one that is often refused break
     off before they have sent all of their requests. */
  int64_t given; /* tokens, to the programs counted below */
  int64_t begun_count;
};

static void
bucket_destroy (gpointer data)
{
  struct bucket *bucket = data;

  ev_timer_stop (bucket->limits->options.loop, &bucket->timer);
  for (guint i = 0; i < bucket->waits->len; i++)
    free (bucket->waits->pdata[i]);
  g_ptr_array_free (bucket->waits, TRUE);
  free (bucket->customer);
  free (bucket);
}

/* Creates limits for a host that knows no others yet, and has no part.  */
struct limits *
limits_create (const struct limits_options *options)
{
  struct limits *limits = xcalloc (1, sizeof *limits);

  limits->options = *options;
  limits->buckets
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, bucket_destroy);
  limits->rounds = g_hash_table_new (g_int64_hash, g_int64_equal);
  return limits;
}

static void
release_members (struct limits *limits)
{
  for (size_t i = 0; i < limits->member_count; i++)
    free (limits->members[i].name);
  free (limits->members);
}

/* Frees the limits; waiting requests are not told.  */
void
limits_destroy (struct limits *limits)
{
  if (!limits)
    return;
  g_hash_table_destroy (limits->rounds);
  g_hash_table_destroy (limits->buckets);
  release_members (limits);
  free (limits);
}

/* Returns the host that holds a customer's part of a data centre.  Hosts that
   do not answer count too: two holders of one part would give it twice.  */
static const struct member *
find_holder (const struct limits *limits, uint64_t customer,
             uint64_t data_centre)
{
  const struct member *best = NULL;
  uint64_t best_rank = 0;

  for (size_t i = 0; i < limits->member_count; i++)
    {
      const struct member *member = &limits->members[i];
      uint64_t rank;

      if (member->dc_hash != data_centre)
        continue;
      rank = id_hash64 (&member->hash, sizeof member->hash, customer);
      if (best && rank <= best_rank)
        continue;
      best = member;
      best_rank = rank;
    }
  return best;
}

static bool
is_own_part (const struct bucket *bucket)
{
  const struct limits *limits = bucket->limits;
  const struct member *holder
      = find_holder (limits, bucket->hash, limits->data_centres[0]);

  return holder && strcmp (holder->name, limits->options.host) == 0;
}

/* A part that comes to this host may have been used up by the host that held
   it.  KEEPS: it has been this host's all along.  */
static void
configure (struct bucket *bucket, bool keeps)
{
  const struct limits *limits = bucket->limits;
  int64_t parts = limits->data_centre_count;
  int64_t now_ms = clock_now_ms ();
  bool is_holder = limits->is_counted && is_own_part (bucket);
  int64_t per_s = 0;
  int64_t limit = 0;

  if (is_holder)
    {
      per_s = bucket->rate_milli * (WINDOW_UTOKENS_PER_TOKEN / 1000) / parts;
      limit = per_s * limits->options.window_ms / 1000
              + bucket->burst * WINDOW_UTOKENS_PER_TOKEN / parts;
    }
  if (is_holder && !bucket->is_holder && !keeps)
    {
      window_restart (&bucket->own, now_ms);
      window_restart (&bucket->begun, now_ms);
    }
  bucket->is_holder = is_holder;
  window_configure (&bucket->own, limit, per_s, now_ms);
}

static void
note_data_centre (struct limits *limits, uint64_t hash)
{
  for (uint32_t i = 0; i < limits->data_centre_count; i++)
    if (limits->data_centres[i] == hash)
      return;
  if (limits->data_centre_count < MAX_DATA_CENTRES)
    limits->data_centres[limits->data_centre_count++] = hash;
}

/* Names all entry hosts.  The parts that fall to this one begin empty: it, or
   the host that held them, may have used them up before.  */
void
limits_set_hosts (struct limits *limits, const struct host_location *hosts,
                  size_t count)
{
  GHashTableIter iter;
  gpointer value;

  release_members (limits);
  limits->members = xcalloc (count + 1, sizeof *limits->members);
  limits->member_count = count;
  limits->data_centre_count = 0;
  note_data_centre (limits, id_hash_text (limits->options.data_centre));
  for (size_t i = 0; i < count; i++)
    {
      struct member *member = &limits->members[i];

      member->name = xstrdup (hosts[i].name);
      member->hash = id_hash_text (member->name);
      member->dc_hash = id_hash_text (hosts[i].data_centre);
      note_data_centre (limits, member->dc_hash);
    }
  limits->is_counted = true;
  g_hash_table_iter_init (&iter, limits->buckets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    configure (value, false);
}

static void go_on (struct bucket *bucket);
static void finish_round (struct bucket *bucket);
static bool ask_next (struct bucket *bucket);
static void wait_for_answer (struct bucket *bucket);

/* A holder has not answered in time, or the pause between two rounds is over.
 */
static void
handle_late (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct bucket *bucket = timer->data;

  if (!bucket->nonce)
    {
      go_on (bucket);
      return;
    }
  bucket->unanswered = 0;
  if (bucket->waits->len > 0 && ask_next (bucket))
    wait_for_answer (bucket);
  else
    finish_round (bucket);
}

static struct bucket *
bucket_create (struct limits *limits, const struct customer *customer)
{
  struct bucket *bucket = xcalloc (1, sizeof *bucket);

  bucket->limits = limits;
  bucket->customer = xstrdup (customer->name);
  bucket->hash = id_hash_text (customer->name);
  bucket->waits = g_ptr_array_new ();
  window_init (&bucket->own, limits->options.window_ms + LOAN_MS,
               clock_now_ms ());
  window_init (&bucket->begun, limits->options.window_ms + LOAN_MS,
               clock_now_ms ());
  ev_timer_init (&bucket->timer, handle_late, (double)ASK_MS / 1000.0, 0);
  bucket->timer.data = bucket;
  g_hash_table_insert (limits->buckets, bucket->customer, bucket);
  return bucket;
}

/* Takes over the customers' rates.  They may change at once: each host's part
   is a part of the new rate.  */
void
limits_apply (struct limits *limits, const struct routing *routing)
{
  for (uint32_t i = 0; i < routing->customer_count; i++)
    {
      const struct customer *customer = &routing->customers[i];
      struct bucket *bucket
          = g_hash_table_lookup (limits->buckets, customer->name);
      bool is_new = !bucket;

      if (is_new)
        bucket = bucket_create (limits, customer);
      else if (bucket->rate_milli == customer->rate_milli
               && bucket->burst == customer->burst)
        continue;
      bucket->rate_milli = customer->rate_milli;
      bucket->burst = customer->burst;
      configure (bucket, !is_new);
    }
}

/* Returns how many requests a program has, on average.  */
static int64_t
program_requests (const struct limits *limits)
{
  int64_t requests
      = (limits->given + (int64_t)PROGRAM_REQUESTS * PROGRAMS_WEIGHED)
        / (limits->begun_count + PROGRAMS_WEIGHED);

  return requests > 1 ? requests : 1;
}

/* Returns how many programs may begin with tokens of the part held here, of
   which each is to use as many as programs do on average.  The part may hold a
   few programs only, so half of one counts as one.  */
static int64_t
left_to_begin (struct bucket *bucket, int64_t now_ms)
{
  int64_t program
      = program_requests (bucket->limits) * WINDOW_UTOKENS_PER_TOKEN;

  window_configure (&bucket->begun, bucket->own.limit / 100 * BEGIN_PERCENT,
                    bucket->own.per_s / 100 * BEGIN_PERCENT, now_ms);
  return (window_available (&bucket->begun, now_ms) + program / 2) / program;
}

/* Gives up to TOKENS of the part held here.  */
static int64_t
give (struct bucket *bucket, int64_t tokens, bool begins, int64_t now_ms)
{
  struct limits *limits = bucket->limits;

  if (begins)
    tokens = MIN (tokens, left_to_begin (bucket, now_ms));
  if (tokens <= 0)
    return 0;
  tokens = window_take (&bucket->own, tokens, now_ms);
  limits->given += tokens;
  if (!begins)
    return tokens;
  window_charge (&bucket->begun, tokens * program_requests (limits), now_ms);
  limits->begun_count += tokens;
  if (limits->begun_count > PROGRAMS_REMEMBERED)
    {
      limits->begun_count /= 2;
      limits->given /= 2;
    }
  return tokens;
}

static bool
take (struct bucket *bucket, bool begins, int64_t now_ms)
{
  if (now_ms - bucket->borrowed_ms >= LOAN_MS)
    bucket->borrowed = bucket->borrowed_to_begin = 0;
  if (begins && bucket->borrowed_to_begin > 0)
    {
      bucket->borrowed_to_begin--;
      return true;
    }
  if (!begins && bucket->borrowed > 0)
    {
      bucket->borrowed--;
      return true;
    }
  return give (bucket, 1, begins, now_ms) == 1;
}

static void
count_use (struct bucket *bucket, int64_t now_ms)
{
  if (now_ms - bucket->window_ms >= USE_WINDOW_MS)
    {
      bucket->used_before
          = now_ms - bucket->window_ms < (int64_t)2 * USE_WINDOW_MS
                ? bucket->used
                : 0;
      bucket->used = 0;
      bucket->window_ms = now_ms;
    }
  bucket->used++;
}

static uint32_t
waiting_to_begin (const struct bucket *bucket)
{
  uint32_t count = 0;

  for (guint i = 0; i < bucket->waits->len; i++)
    count += ((const struct limits_wait *)bucket->waits->pdata[i])->begins;
  return count;
}

static uint32_t
waiting_to_go_on (const struct bucket *bucket)
{
  return bucket->waits->len - waiting_to_begin (bucket);
}

static uint32_t
wanted_tokens (const struct bucket *bucket)
{
  int64_t use = bucket->used > bucket->used_before ? bucket->used
                                                   : bucket->used_before;
  int64_t wanted = (int64_t)waiting_to_go_on (bucket) + use / AHEAD_PER_S;

  return (uint32_t)(wanted < MAX_LOAN_TOKENS ? wanted : MAX_LOAN_TOKENS);
}

/* Asks the holder of a data centre's part.  False where there is none to ask.
 */
static bool
ask_holder (struct bucket *bucket, uint64_t data_centre)
{
  struct limits *limits = bucket->limits;
  const struct member *holder
      = find_holder (limits, bucket->hash, data_centre);
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LimitAsk question = PEER__LIMIT_ASK__INIT;

  if (!holder || strcmp (holder->name, limits->options.host) == 0
      || mesh_is_suspect (limits->options.mesh, holder->name))
    return false;
  question.nonce = bucket->nonce;
  question.customer = bucket->customer;
  question.tokens = wanted_tokens (bucket);
  question.begin_tokens = waiting_to_begin (bucket);
  frame.body_case = PEER__FRAME__BODY_LIMIT_ASK;
  frame.limit_ask = &question;
  if (!mesh_send (limits->options.mesh, holder->name, &frame))
    return false;
  bucket->unanswered++;
  return true;
}

/* Asks the next data centre of the round that can be asked, one at a time:
   what several lent at once would be lost but for what is needed.  False where
   none is left.  */
static bool
ask_next (struct bucket *bucket)
{
  const struct limits *limits = bucket->limits;
  uint32_t others = limits->data_centre_count - 1;

  while (bucket->asked_centres <= others)
    {
      uint32_t at = bucket->asked_centres++;

      /* Customers begin with different ones. */
      if (at > 0)
        at = 1 + (uint32_t)((bucket->nonce + at) % others);
      if (ask_holder (bucket, limits->data_centres[at]))
        return true;
    }
  return false;
}

/* Arms the timer for the answer to what was just asked, if anything was.  */
static void
wait_for_answer (struct bucket *bucket)
{
  struct ev_loop *loop = bucket->limits->options.loop;

  ev_timer_stop (loop, &bucket->timer);
  ev_timer_set (&bucket->timer,
                bucket->unanswered > 0 ? (double)ASK_MS / 1000.0 : 0, 0);
  ev_timer_start (loop, &bucket->timer);
}

static void
answer_wait (struct bucket *bucket, guint index, bool admitted)
{
  struct limits_wait *wait = g_ptr_array_remove_index (bucket->waits, index);
  limits_handler *handle = wait->handle;
  void *data = wait->data;

  free (wait);
  handle (data, admitted);
}

static void
serve_waits (struct bucket *bucket, int64_t now_ms)
{
  for (guint i = 0; i < bucket->waits->len;)
    {
      const struct limits_wait *wait = bucket->waits->pdata[i];

      if (take (bucket, wait->begins, now_ms))
        answer_wait (bucket, i, true);
      else
        i++;
    }
}

/* Begins a round: the own data centre's holder is asked first, the others
   where this host is that holder or it has no tokens.  */
static void
ask (struct bucket *bucket, int64_t now_ms)
{
  struct limits *limits = bucket->limits;

  if (bucket->nonce || !limits->is_counted)
    return;
  bucket->nonce = id_random64 ();
  g_hash_table_insert (limits->rounds, &bucket->nonce, bucket);
  bucket->asked_ms = now_ms;
  bucket->unanswered = 0;
  bucket->asked_centres = 0;
  bucket->wait_ms = 0;
  ask_next (bucket);
  counter_add (COUNTER_TOKEN_PULLS, 1);
  wait_for_answer (bucket);
}

/* Serves what waits with tokens that have come back here, and begins another
   round where that is not enough.  */
static void
go_on (struct bucket *bucket)
{
  int64_t now_ms = clock_now_ms ();

  serve_waits (bucket, now_ms);
  if (bucket->waits->len > 0)
    ask (bucket, now_ms);
}

/* Refuses what is not to wait any longer, or would wait in vain.  */
static void
refuse_waits (struct bucket *bucket, int64_t pause_ms, int64_t now_ms)
{
  uint32_t refused = 0;

  for (guint i = 0; i < bucket->waits->len;)
    {
      const struct limits_wait *wait = bucket->waits->pdata[i];

      if (!wait->begins && now_ms + pause_ms <= wait->until_ms
          && now_ms + bucket->wait_ms <= wait->until_ms)
        {
          i++;
          continue;
        }
      refused++;
      answer_wait (bucket, i, false);
    }
  if (refused > 0)
    log_write (LOG_INFO, "limits", NULL,
               "customer %s has no token left for %u requests: rate "
               "%" G_GINT64_FORMAT " in 1000 s, burst %" G_GINT64_FORMAT
               ", part held here: %s, %u unanswered, %u data centres asked, "
               "the next token in %" G_GINT64_FORMAT " ms",
               bucket->customer, refused, bucket->rate_milli, bucket->burst,
               bucket->is_holder ? "yes" : "no", bucket->unanswered,
               bucket->asked_centres, bucket->wait_ms);
}

static void
finish_round (struct bucket *bucket)
{
  struct ev_loop *loop = bucket->limits->options.loop;
  int64_t now_ms = clock_now_ms ();
  int64_t pause_ms;

  ev_timer_stop (loop, &bucket->timer);
  g_hash_table_remove (bucket->limits->rounds, &bucket->nonce);
  bucket->nonce = 0;
  serve_waits (bucket, now_ms);
  bucket->borrowed += bucket->borrowed_to_begin;
  bucket->borrowed_to_begin = 0;
  if (waiting_to_begin (bucket) > 0)
    bucket->denied_begin_ms = now_ms;
  pause_ms = CLAMP (bucket->wait_ms, PAUSE_MIN_MS, PAUSE_MAX_MS);
  refuse_waits (bucket, pause_ms, now_ms);
  if (bucket->waits->len == 0 || bucket->nonce)
    return;
  ev_timer_set (&bucket->timer, (double)pause_ms / 1000.0, 0);
  ev_timer_start (loop, &bucket->timer);
}

/* Gives the waiting up.  */
void
limits_cancel (struct limits_wait *wait)
{
  if (!wait)
    return;
  g_ptr_array_remove (wait->bucket->waits, wait);
  free (wait);
}

/* Takes a token for a request of CUSTOMER, which BEGINS a program or may wait
   for PATIENCE_MS.  With LIMITS_ASKING, HANDLE is called later unless *WAIT is
   cancelled before.  */
enum limits_verdict
limits_admit (struct limits *limits, const struct customer *customer,
              bool begins, int64_t patience_ms, limits_handler *handle,
              void *data, struct limits_wait **wait)
{
  struct bucket *bucket
      = g_hash_table_lookup (limits->buckets, customer->name);
  int64_t now_ms = clock_now_ms ();

  *wait = NULL;
  if (customer->rate_milli == 0 || !bucket)
    return LIMITS_ADMITTED;
  count_use (bucket, now_ms);
  if (waiting_to_go_on (bucket) == 0 && take (bucket, begins, now_ms))
    return LIMITS_ADMITTED;
  if (begins && now_ms - bucket->denied_begin_ms < DENIED_MS)
    return LIMITS_OVER;
  *wait = xcalloc (1, sizeof **wait);
  (*wait)->bucket = bucket;
  (*wait)->begins = begins;
  (*wait)->until_ms = now_ms + patience_ms;
  (*wait)->handle = handle;
  (*wait)->data = data;
  g_ptr_array_add (bucket->waits, *wait);
  if (begins || !ev_is_active (&bucket->timer))
    ask (bucket, now_ms);
  if (bucket->nonce || ev_is_active (&bucket->timer))
    return LIMITS_ASKING;
  limits_cancel (*wait);
  *wait = NULL;
  return LIMITS_OVER;
}

static bool
is_near (const struct limits *limits, const char *host)
{
  for (size_t i = 0; i < limits->member_count; i++)
    if (strcmp (limits->members[i].name, host) == 0)
      return limits->members[i].dc_hash == limits->data_centres[0];
  return false;
}

/* The last token is lent, too: a small customer has few in each part.  */
static int64_t
lendable (int64_t tokens, int64_t percent)
{
  return (tokens * percent + 99) / 100;
}

/* What is lent counts as given now, and the borrower uses it within LOAN_MS,
   by which the window is longer than the customer's.  */
static void
fill_loan (struct bucket *bucket, const Peer__LimitAsk *question,
           bool is_near_by, Peer__LimitLoan *loan)
{
  int64_t now_ms = clock_now_ms ();
  int64_t percent = is_near_by ? 100 : 100 - KEPT_PERCENT;
  int64_t spare = lendable (window_available (&bucket->own, now_ms)
                                / WINDOW_UTOKENS_PER_TOKEN,
                            percent);

  if (spare > question->tokens)
    spare = question->tokens;
  loan->tokens = (uint32_t)give (bucket, spare, false, now_ms);
  spare = lendable (left_to_begin (bucket, now_ms), percent);
  if (spare > question->begin_tokens)
    spare = question->begin_tokens;
  loan->begin_tokens = (uint32_t)give (bucket, spare, true, now_ms);
}

/* Returns after how long the part held here will have a token again.  */
static int64_t
own_wait_ms (struct bucket *bucket, bool begins)
{
  int64_t now_ms = clock_now_ms ();
  int64_t wait_ms = window_wait_ms (&bucket->own, now_ms);
  int64_t begin_ms;

  if (!begins)
    return wait_ms;
  begin_ms = window_wait_ms (&bucket->begun, now_ms);
  return begin_ms > wait_ms ? begin_ms : wait_ms;
}

/* Returns after how long a token of CUSTOMER's is expected: the shortest time
   that a holder told, or this host's own.  */
int64_t
limits_retry_ms (struct limits *limits, const struct customer *customer,
                 bool begins)
{
  struct bucket *bucket
      = g_hash_table_lookup (limits->buckets, customer->name);
  int64_t wait_ms = bucket ? bucket->wait_ms : 0;

  if (bucket && bucket->is_holder
      && (!wait_ms || own_wait_ms (bucket, begins) < wait_ms))
    wait_ms = own_wait_ms (bucket, begins);
  if (wait_ms < MIN_RETRY_MS)
    return MIN_RETRY_MS;
  return wait_ms < MAX_RETRY_MS ? wait_ms : MAX_RETRY_MS;
}

static void
lend (struct limits *limits, const char *host, const Peer__LimitAsk *question)
{
  struct bucket *bucket
      = g_hash_table_lookup (limits->buckets, question->customer);
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LimitLoan loan = PEER__LIMIT_LOAN__INIT;

  loan.nonce = question->nonce;
  if (bucket)
    fill_loan (bucket, question, is_near (limits, host), &loan);
  if (bucket)
    loan.wait_ms = own_wait_ms (bucket, question->begin_tokens > 0);
  if (loan.tokens + loan.begin_tokens > 0)
    counter_add (COUNTER_TOKEN_GRANTS, 1);
  frame.body_case = PEER__FRAME__BODY_LIMIT_LOAN;
  frame.limit_loan = &loan;
  mesh_send (limits->options.mesh, host, &frame);
}

/* A loan that comes after its round counts for nothing: its lender has spent
   it.  */
static void
take_loan (struct limits *limits, const Peer__LimitLoan *loan)
{
  uint64_t nonce = loan->nonce;
  struct bucket *bucket = g_hash_table_lookup (limits->rounds, &nonce);

  if (!bucket)
    return;
  if (bucket->unanswered > 0)
    bucket->unanswered--;
  bucket->borrowed += loan->tokens;
  bucket->borrowed_to_begin += loan->begin_tokens;
  bucket->borrowed_ms = bucket->asked_ms;
  if (!bucket->wait_ms || loan->wait_ms < bucket->wait_ms)
    bucket->wait_ms = loan->wait_ms;
  serve_waits (bucket, clock_now_ms ());
  if (bucket->unanswered == 0
      && (bucket->waits->len == 0 || !ask_next (bucket)))
    finish_round (bucket);
}

/* Takes questions and loans of other hosts.  Other frames are left alone.  */
void
limits_handle_frame (struct limits *limits, const char *host,
                     const Peer__Frame *frame)
{
  if (frame->body_case == PEER__FRAME__BODY_LIMIT_ASK)
    lend (limits, host, frame->limit_ask);
  else if (frame->body_case == PEER__FRAME__BODY_LIMIT_LOAN)
    take_loan (limits, frame->limit_loan);
}
