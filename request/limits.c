#include "request/limits.h"
#include "common/counters.h"
#include "common/id.h"
#include "policy/limit.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Until a host that left the list has stopped using its part. */
  HOSTS_SETTLE_MS = 4000,
  ASK_MS = 60,       /* other data centres answer within a few */
  DENIED_MS = 250,   /* after a round without a loan, none is asked for */
  ASKED_HOSTS = 2,   /* a round */
  LOAN_TOKENS = 8,   /* asked for at once */
  LOW_TOKENS = 3,    /* below this, tokens are borrowed ahead of need */
  KEPT_PERCENT = 50, /* a lender keeps so much of what it has */
  MIN_RETRY_MS = 100,
  PART_BURST_TOKENS = 1, /* the least that a host's part may hold */
};

/* A request that waits for a loan.  Owned by its bucket. */
struct limits_wait
{
  struct bucket *bucket;
  limits_handler *handle;
  void *data;
};

/* A customer's tokens on this host. */
struct bucket
{
  struct limits *limits;
  char *customer;
  struct limit own;
  int64_t rate_milli;
  int64_t burst;
  int64_t borrowed;    /* whole tokens */
  int64_t borrowed_ms; /* when the last loan was asked for */
  uint64_t nonce;      /* of the round under way; 0 for none */
  uint32_t unanswered;
  int64_t asked_ms;
  int64_t denied_ms;
  ev_timer timer;
  GPtrArray *waits; /* struct limits_wait */
};

struct limits
{
  struct limits_options options;
  GHashTable *buckets; /* customer -> struct bucket */
  char **others;
  size_t other_count;
  bool is_counted; /* the other hosts leave a part to this one */
  uint64_t seed;
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
  limits->seed = id_random64 ();
  return limits;
}

static void
release_others (struct limits *limits)
{
  for (size_t i = 0; i < limits->other_count; i++)
    free (limits->others[i]);
  free (limits->others);
}

/* Frees the limits; waiting requests are not told.  */
void
limits_destroy (struct limits *limits)
{
  if (!limits)
    return;
  g_hash_table_destroy (limits->buckets);
  release_others (limits);
  free (limits);
}

static void
configure (struct bucket *bucket, int64_t settle_ms)
{
  struct limits *limits = bucket->limits;
  int64_t parts = (int64_t)limits->other_count + 1;
  int64_t burst = bucket->burst * LIMIT_UTOKENS / parts;

  if (!limits->is_counted)
    return;
  if (burst < (int64_t)PART_BURST_TOKENS * LIMIT_UTOKENS)
    burst = (int64_t)PART_BURST_TOKENS * LIMIT_UTOKENS;
  limit_configure (&bucket->own,
                   bucket->rate_milli * (LIMIT_UTOKENS / 1000) / parts, burst,
                   settle_ms, clock_now_ms ());
}

/* Names the other entry hosts.  WAS_COUNTED: this host was in the list already
   when it started, so that the others have left it its part all along.  */
void
limits_set_hosts (struct limits *limits, const char *const *others,
                  size_t count, bool was_counted)
{
  bool is_first = !limits->is_counted;
  GHashTableIter iter;
  gpointer value;

  release_others (limits);
  limits->others = xcalloc (count + 1, sizeof *limits->others);
  for (size_t i = 0; i < count; i++)
    limits->others[i] = xstrdup (others[i]);
  limits->other_count = count;
  limits->is_counted = true;
  g_hash_table_iter_init (&iter, limits->buckets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    configure (value, is_first && was_counted ? 0 : HOSTS_SETTLE_MS);
}

static void finish_round (struct bucket *bucket);

static void
handle_late (struct ev_loop *loop, ev_timer *timer, int events)
{
  finish_round (timer->data);
}

static struct bucket *
bucket_create (struct limits *limits, const struct customer *customer)
{
  struct bucket *bucket = xcalloc (1, sizeof *bucket);

  bucket->limits = limits;
  bucket->customer = xstrdup (customer->name);
  bucket->waits = g_ptr_array_new ();
  limit_init (&bucket->own, clock_now_ms ());
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
      configure (bucket, 0);
    }
}

static bool
take (struct bucket *bucket, int64_t now_ms)
{
  if (bucket->borrowed > 0 && now_ms - bucket->borrowed_ms < LIMIT_LOAN_MS)
    {
      bucket->borrowed--;
      return true;
    }
  bucket->borrowed = 0;
  return limit_take (&bucket->own, LIMIT_UTOKENS, now_ms);
}

static void
ask (struct bucket *bucket, int64_t now_ms)
{
  struct limits *limits = bucket->limits;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LimitAsk question = PEER__LIMIT_ASK__INIT;
  size_t first;

  if (bucket->nonce || limits->other_count == 0
      || now_ms - bucket->denied_ms < DENIED_MS)
    return;
  limits->seed = id_hash64 (&limits->seed, sizeof limits->seed, 1);
  first = limits->seed % limits->other_count;
  bucket->nonce = id_random64 ();
  bucket->asked_ms = now_ms;
  bucket->unanswered = 0;
  question.nonce = bucket->nonce;
  question.customer = bucket->customer;
  question.tokens = LOAN_TOKENS;
  frame.body_case = PEER__FRAME__BODY_LIMIT_ASK;
  frame.limit_ask = &question;
  for (size_t i = 0; i < limits->other_count
                     && bucket->unanswered < ASKED_HOSTS;
       i++)
    {
      const char *host = limits->others[(first + i) % limits->other_count];

      if (mesh_is_suspect (limits->options.mesh, host))
        continue;
      if (mesh_send (limits->options.mesh, host, &frame))
        bucket->unanswered++;
    }
  counter_add (COUNTER_TOKEN_PULLS, 1);
  ev_timer_stop (limits->options.loop, &bucket->timer);
  ev_timer_set (&bucket->timer,
                bucket->unanswered > 0 ? (double)ASK_MS / 1000.0 : 0, 0);
  ev_timer_start (limits->options.loop, &bucket->timer);
}

static void
answer_wait (struct bucket *bucket, bool admitted)
{
  struct limits_wait *wait = g_ptr_array_remove_index (bucket->waits, 0);
  limits_handler *handle = wait->handle;
  void *data = wait->data;

  free (wait);
  handle (data, admitted);
}

static void
serve_waits (struct bucket *bucket, int64_t now_ms)
{
  while (bucket->waits->len > 0 && take (bucket, now_ms))
    answer_wait (bucket, true);
}

static void
finish_round (struct bucket *bucket)
{
  int64_t now_ms = clock_now_ms ();

  ev_timer_stop (bucket->limits->options.loop, &bucket->timer);
  bucket->nonce = 0;
  serve_waits (bucket, now_ms);
  if (bucket->waits->len > 0)
    bucket->denied_ms = now_ms;
  while (bucket->waits->len > 0)
    answer_wait (bucket, false);
}

/* Takes a token for a request of CUSTOMER.  With LIMITS_ASKING, HANDLE is
   called later unless *WAIT is cancelled before.  */
enum limits_verdict
limits_admit (struct limits *limits, const struct customer *customer,
              limits_handler *handle, void *data, struct limits_wait **wait)
{
  struct bucket *bucket
      = g_hash_table_lookup (limits->buckets, customer->name);
  int64_t now_ms = clock_now_ms ();

  *wait = NULL;
  if (customer->rate_milli == 0 || !bucket)
    return LIMITS_ADMITTED;
  if (take (bucket, now_ms))
    {
      if (bucket->own.level_utokens < (int64_t)LOW_TOKENS * LIMIT_UTOKENS
          && bucket->borrowed < LOW_TOKENS)
        ask (bucket, now_ms);
      return LIMITS_ADMITTED;
    }
  ask (bucket, now_ms);
  if (!bucket->nonce)
    return LIMITS_OVER;
  *wait = xcalloc (1, sizeof **wait);
  (*wait)->bucket = bucket;
  (*wait)->handle = handle;
  (*wait)->data = data;
  g_ptr_array_add (bucket->waits, *wait);
  return LIMITS_ASKING;
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

/* Returns after how long CUSTOMER's next token is expected on this host.  */
int64_t
limits_retry_ms (struct limits *limits, const struct customer *customer)
{
  struct bucket *bucket
      = g_hash_table_lookup (limits->buckets, customer->name);
  int64_t wait_ms = bucket ? limit_wait_ms (&bucket->own, LIMIT_UTOKENS,
                                            clock_now_ms ())
                           : 0;

  return wait_ms < MIN_RETRY_MS ? MIN_RETRY_MS : wait_ms;
}

static void
lend (struct limits *limits, const char *host,
      const Peer__LimitAsk *question)
{
  struct bucket *bucket
      = g_hash_table_lookup (limits->buckets, question->customer);
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LimitLoan loan = PEER__LIMIT_LOAN__INIT;
  int64_t now_ms = clock_now_ms ();

  loan.nonce = question->nonce;
  if (bucket && bucket->waits->len == 0)
    {
      int64_t spare = bucket->own.level_utokens * KEPT_PERCENT / 100;
      int64_t wanted = (int64_t)question->tokens * LIMIT_UTOKENS;

      loan.tokens
          = (uint32_t)(limit_lend (&bucket->own, question->nonce,
                                   wanted < spare ? wanted : spare, now_ms)
                       / LIMIT_UTOKENS);
    }
  if (loan.tokens > 0)
    counter_add (COUNTER_TOKEN_GRANTS, 1);
  frame.body_case = PEER__FRAME__BODY_LIMIT_LOAN;
  frame.limit_loan = &loan;
  mesh_send (limits->options.mesh, host, &frame);
}

static struct bucket *
find_round (struct limits *limits, uint64_t nonce)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, limits->buckets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct bucket *)value)->nonce == nonce)
      return value;
  return NULL;
}

/* A loan that comes after its round counts for nothing: its lender has spent
   it.  */
static void
take_loan (struct limits *limits, const Peer__LimitLoan *loan)
{
  struct bucket *bucket
      = loan->nonce ? find_round (limits, loan->nonce) : NULL;

  if (!bucket)
    return;
  bucket->unanswered--;
  bucket->borrowed += loan->tokens;
  bucket->borrowed_ms = bucket->asked_ms;
  serve_waits (bucket, clock_now_ms ());
  if (bucket->unanswered == 0)
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
