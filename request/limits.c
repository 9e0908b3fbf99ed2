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
  LOAN_TIMEOUT_MS = 60,     /* a holder answers within a few milliseconds */
  DENIED_BACKOFF_MS = 50,   /* new programs are refused without asking other
                               hosts after one was refused */
  LOAN_LIFETIME_MS = 150,   /* unused borrowed tokens expire after this time */
  MIN_ROUND_PAUSE_MS = 40,  /* between rounds, while requests wait */
  MAX_ROUND_PAUSE_MS = 100, /* another data centre may have a token sooner */
  LOANS_PER_S = 8,          /* a loan covers an eighth of a second */
  MAX_LOAN_TOKENS = 32,
  /* New programs are admitted at a rate at which the customer's tokens
     suffice for all of their requests, because the tokens of a program that is
     cut short are wasted. */
  COMMITTED_PERCENT = 140,       /* of the tokens, committed in this way */
  DEFAULT_PROGRAM_REQUESTS = 12, /* initial estimate of requests per program */
  DEFAULT_WEIGHT_PROGRAMS = 16,  /* weight of that estimate, in programs */
  MAX_COUNTED_PROGRAMS = 64,     /* counts are halved beyond this number */
  RESERVED_PERCENT = 50, /* share that is not lent to other data centres */
  MIN_RETRY_MS = 100,  /* an earlier retry would find the window still full */
  MAX_RETRY_MS = 1500, /* callers wait a few seconds in total */
  MAX_DATA_CENTRES = 32,
  USE_INTERVAL_MS = 1000, /* interval over which a customer's use is counted */
};

/* A request that waits for a token.  Owned by its bucket. */
struct limits_wait
{
  struct bucket *bucket;
  bool begins_program; /* first request of a program */
  int64_t deadline_ms;
  limits_handler *handler;
  void *data;
};

/* State of a customer's rate limit on this host. */
struct bucket
{
  struct limits *limits;
  char *customer;
  uint64_t hash;
  struct window share;     /* limit 0 if another host holds the share */
  struct window committed; /* tokens committed to programs admitted here */
  int64_t wait_ms; /* until a token is expected, as reported by holders */
  bool is_holder;
  int64_t rate_milli;
  int64_t burst;
  int64_t borrowed;         /* whole tokens */
  int64_t borrowed_for_new; /* for new programs, in the current round */
  int64_t borrowed_ms;      /* when the last loan was requested */
  uint64_t nonce;           /* of the current round; 0 for none */
  uint32_t unanswered;
  uint32_t asked_centres; /* in this round, starting with the local one */
  int64_t use_interval_start_ms; /* start of the current use interval */
  int64_t used;                  /* tokens requested in that interval */
  int64_t previous_use;          /* and in the interval before */
  int64_t round_started_ms;
  int64_t new_refused_ms; /* when a new program was last refused */
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
  struct member *members; /* all entry hosts, including this one */
  size_t member_count;
  uint64_t data_centres[MAX_DATA_CENTRES]; /* name hashes, local one first */
  uint32_t data_centre_count;
  bool has_members; /* the list of hosts is known, so shares can be assigned */
  /* Counted over all customers: programs of a customer that is often refused
     end before they have sent all of their requests. */
  int64_t granted; /* tokens granted to the programs counted below */
  int64_t counted_programs;
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

/* Creates limits for a host that knows no other hosts and holds no shares.  */
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

/* Frees the limits without calling the handlers of waiting requests.  */
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

/* Returns the host that holds a customer's share for a data centre, chosen by
   rendezvous hashing.  Unreachable hosts are included, because two holders of
   one share would grant it twice.  */
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
holds_share (const struct bucket *bucket)
{
  const struct limits *limits = bucket->limits;
  const struct member *holder
      = find_holder (limits, bucket->hash, limits->data_centres[0]);

  return holder && strcmp (holder->name, limits->options.host) == 0;
}

/* Recomputes the share held by this host.  A share that moves to this host
   starts empty, since its previous holder may have used it up.  WAS_HELD_HERE:
   the share has not been held by another host.  */
static void
configure_share (struct bucket *bucket, bool was_held_here)
{
  const struct limits *limits = bucket->limits;
  int64_t share_count = limits->data_centre_count;
  int64_t now_ms = clock_now_ms ();
  bool is_holder = limits->has_members && holds_share (bucket);
  int64_t per_s = 0;
  int64_t limit = 0;

  if (is_holder)
    {
      per_s = bucket->rate_milli * (WINDOW_UTOKENS_PER_TOKEN / 1000)
              / share_count;
      limit = per_s * limits->options.window_ms / 1000
              + bucket->burst * WINDOW_UTOKENS_PER_TOKEN / share_count;
    }
  if (is_holder && !bucket->is_holder && !was_held_here)
    {
      window_restart (&bucket->share, now_ms);
      window_restart (&bucket->committed, now_ms);
    }
  bucket->is_holder = is_holder;
  window_configure (&bucket->share, limit, per_s, now_ms);
}

static void
add_data_centre (struct limits *limits, uint64_t hash)
{
  for (uint32_t i = 0; i < limits->data_centre_count; i++)
    if (limits->data_centres[i] == hash)
      return;
  if (limits->data_centre_count < MAX_DATA_CENTRES)
    limits->data_centres[limits->data_centre_count++] = hash;
}

/* Sets the list of all entry hosts.  Shares newly assigned to this host start
   empty, since this host or their previous holder may have used them up.  */
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
  add_data_centre (limits, id_hash_text (limits->options.data_centre));
  for (size_t i = 0; i < count; i++)
    {
      struct member *member = &limits->members[i];

      member->name = xstrdup (hosts[i].name);
      member->hash = id_hash_text (member->name);
      member->dc_hash = id_hash_text (hosts[i].data_centre);
      add_data_centre (limits, member->dc_hash);
    }
  limits->has_members = true;
  g_hash_table_iter_init (&iter, limits->buckets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    configure_share (value, false);
}

static void serve_or_start_round (struct bucket *bucket);
static void finish_round (struct bucket *bucket);
static bool ask_next (struct bucket *bucket);
static void start_answer_timer (struct bucket *bucket);

/* Handles the timeout of a holder's answer, or the end of the pause between
   two rounds.  */
static void
handle_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct bucket *bucket = timer->data;

  if (!bucket->nonce)
    {
      serve_or_start_round (bucket);
      return;
    }
  bucket->unanswered = 0;
  if (bucket->waits->len > 0 && ask_next (bucket))
    start_answer_timer (bucket);
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
  window_init (&bucket->share, limits->options.window_ms + LOAN_LIFETIME_MS,
               clock_now_ms ());
  window_init (&bucket->committed,
               limits->options.window_ms + LOAN_LIFETIME_MS, clock_now_ms ());
  ev_timer_init (&bucket->timer, handle_timer,
                 (double)LOAN_TIMEOUT_MS / 1000.0, 0);
  bucket->timer.data = bucket;
  g_hash_table_insert (limits->buckets, bucket->customer, bucket);
  return bucket;
}

/* Applies the customers' rates.  A new rate takes effect immediately, because
   each share is a fraction of the current rate.  */
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
      configure_share (bucket, !is_new);
    }
}

/* Returns the average number of requests per program.  */
static int64_t
average_program_requests (const struct limits *limits)
{
  int64_t requests
      = (limits->granted
         + (int64_t)DEFAULT_PROGRAM_REQUESTS * DEFAULT_WEIGHT_PROGRAMS)
        / (limits->counted_programs + DEFAULT_WEIGHT_PROGRAMS);

  return requests > 1 ? requests : 1;
}

/* Returns how many programs the local share can still admit, assuming the
   average number of requests for each.  The result is rounded, since a share
   may be sufficient for only a few programs.  */
static int64_t
programs_admittable (struct bucket *bucket, int64_t now_ms)
{
  int64_t program_tokens
      = average_program_requests (bucket->limits) * WINDOW_UTOKENS_PER_TOKEN;

  window_configure (&bucket->committed,
                    bucket->share.limit_utokens / 100 * COMMITTED_PERCENT,
                    bucket->share.rate_utokens_per_s / 100 * COMMITTED_PERCENT,
                    now_ms);
  return (window_available (&bucket->committed, now_ms) + program_tokens / 2)
         / program_tokens;
}

/* Grants up to TOKENS of the local share and returns how many were granted. */
static int64_t
grant (struct bucket *bucket, int64_t tokens, bool begins_program,
       int64_t now_ms)
{
  struct limits *limits = bucket->limits;

  if (begins_program)
    tokens = MIN (tokens, programs_admittable (bucket, now_ms));
  if (tokens <= 0)
    return 0;
  tokens = window_take (&bucket->share, tokens, now_ms);
  limits->granted += tokens;
  if (!begins_program)
    return tokens;
  window_charge (&bucket->committed,
                 tokens * average_program_requests (limits), now_ms);
  limits->counted_programs += tokens;
  if (limits->counted_programs > MAX_COUNTED_PROGRAMS)
    {
      limits->counted_programs /= 2;
      limits->granted /= 2;
    }
  return tokens;
}

static bool
consume_token (struct bucket *bucket, bool begins_program, int64_t now_ms)
{
  if (now_ms - bucket->borrowed_ms >= LOAN_LIFETIME_MS)
    bucket->borrowed = bucket->borrowed_for_new = 0;
  if (begins_program && bucket->borrowed_for_new > 0)
    {
      bucket->borrowed_for_new--;
      return true;
    }
  if (!begins_program && bucket->borrowed > 0)
    {
      bucket->borrowed--;
      return true;
    }
  return grant (bucket, 1, begins_program, now_ms) == 1;
}

static void
count_use (struct bucket *bucket, int64_t now_ms)
{
  if (now_ms - bucket->use_interval_start_ms >= USE_INTERVAL_MS)
    {
      bucket->previous_use = now_ms - bucket->use_interval_start_ms
                                     < (int64_t)2 * USE_INTERVAL_MS
                                 ? bucket->used
                                 : 0;
      bucket->used = 0;
      bucket->use_interval_start_ms = now_ms;
    }
  bucket->used++;
}

static uint32_t
count_waiting_new (const struct bucket *bucket)
{
  uint32_t count = 0;

  for (guint i = 0; i < bucket->waits->len; i++)
    count += ((const struct limits_wait *)bucket->waits->pdata[i])
                 ->begins_program;
  return count;
}

static uint32_t
count_waiting_running (const struct bucket *bucket)
{
  return bucket->waits->len - count_waiting_new (bucket);
}

static uint32_t
wanted_tokens (const struct bucket *bucket)
{
  int64_t use = bucket->used > bucket->previous_use ? bucket->used
                                                    : bucket->previous_use;
  int64_t wanted = (int64_t)count_waiting_running (bucket) + use / LOANS_PER_S;

  return (uint32_t)(wanted < MAX_LOAN_TOKENS ? wanted : MAX_LOAN_TOKENS);
}

/* Requests a loan from the holder of a data centre's share.  Returns false if
   no request could be sent.  */
static bool
ask_holder (struct bucket *bucket, uint64_t data_centre)
{
  struct limits *limits = bucket->limits;
  const struct member *holder
      = find_holder (limits, bucket->hash, data_centre);
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LimitAsk request = PEER__LIMIT_ASK__INIT;

  if (!holder || strcmp (holder->name, limits->options.host) == 0
      || mesh_is_suspect (limits->options.mesh, holder->name))
    return false;
  request.nonce = bucket->nonce;
  request.customer = bucket->customer;
  request.tokens = wanted_tokens (bucket);
  request.begin_tokens = count_waiting_new (bucket);
  frame.body_case = PEER__FRAME__BODY_LIMIT_ASK;
  frame.limit_ask = &request;
  if (!mesh_send (limits->options.mesh, holder->name, &frame))
    return false;
  bucket->unanswered++;
  return true;
}

/* Requests a loan from the next reachable data centre of the round.  Returns
   false if none is left.  They are asked one at a time, because tokens lent
   beyond what is needed are lost.  */
static bool
ask_next (struct bucket *bucket)
{
  const struct limits *limits = bucket->limits;
  uint32_t others = limits->data_centre_count - 1;

  while (bucket->asked_centres <= others)
    {
      uint32_t index = bucket->asked_centres++;

      /* Rounds start with different remote data centres. */
      if (index > 0)
        index = 1 + (uint32_t)((bucket->nonce + index) % others);
      if (ask_holder (bucket, limits->data_centres[index]))
        return true;
    }
  return false;
}

/* Starts the timeout for an outstanding answer.  If there is none, the timer
   fires in the next loop iteration.  */
static void
start_answer_timer (struct bucket *bucket)
{
  struct ev_loop *loop = bucket->limits->options.loop;

  ev_timer_stop (loop, &bucket->timer);
  ev_timer_set (&bucket->timer,
                bucket->unanswered > 0 ? (double)LOAN_TIMEOUT_MS / 1000.0 : 0,
                0);
  ev_timer_start (loop, &bucket->timer);
}

static void
finish_wait (struct bucket *bucket, guint index, bool admitted)
{
  struct limits_wait *wait = g_ptr_array_remove_index (bucket->waits, index);
  limits_handler *handler = wait->handler;
  void *data = wait->data;

  free (wait);
  handler (data, admitted);
}

static void
serve_waits (struct bucket *bucket, int64_t now_ms)
{
  for (guint i = 0; i < bucket->waits->len;)
    {
      const struct limits_wait *wait = bucket->waits->pdata[i];

      if (consume_token (bucket, wait->begins_program, now_ms))
        finish_wait (bucket, i, true);
      else
        i++;
    }
}

/* Starts a round of loan requests.  The holder of the local data centre is
   asked first, and the others if this host is that holder or the loan is not
   enough.  */
static void
start_round (struct bucket *bucket, int64_t now_ms)
{
  struct limits *limits = bucket->limits;

  if (bucket->nonce || !limits->has_members)
    return;
  bucket->nonce = id_random64 ();
  g_hash_table_insert (limits->rounds, &bucket->nonce, bucket);
  bucket->round_started_ms = now_ms;
  bucket->unanswered = 0;
  bucket->asked_centres = 0;
  bucket->wait_ms = 0;
  ask_next (bucket);
  counter_add (COUNTER_TOKEN_PULLS, 1);
  start_answer_timer (bucket);
}

/* Serves waiting requests from the local share, and starts another round if
   that is not enough.  */
static void
serve_or_start_round (struct bucket *bucket)
{
  int64_t now_ms = clock_now_ms ();

  serve_waits (bucket, now_ms);
  if (bucket->waits->len > 0)
    start_round (bucket, now_ms);
}

/* Refuses new programs, and requests whose wait would expire before the next
   round or the next expected token.  */
static void
refuse_waits (struct bucket *bucket, int64_t pause_ms, int64_t now_ms)
{
  uint32_t refused = 0;

  for (guint i = 0; i < bucket->waits->len;)
    {
      const struct limits_wait *wait = bucket->waits->pdata[i];

      if (!wait->begins_program && now_ms + pause_ms <= wait->deadline_ms
          && now_ms + bucket->wait_ms <= wait->deadline_ms)
        {
          i++;
          continue;
        }
      refused++;
      finish_wait (bucket, i, false);
    }
  if (refused > 0)
    log_write (LOG_INFO, "limits", NULL,
               "rate limit of customer %s refused %u requests: rate "
               "%" G_GINT64_FORMAT " per 1000 s, burst %" G_GINT64_FORMAT
               ", share held by this host: %s, %u loan requests unanswered, "
               "%u data centres asked, next token expected in "
               "%" G_GINT64_FORMAT " ms",
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
  bucket->borrowed += bucket->borrowed_for_new;
  bucket->borrowed_for_new = 0;
  if (count_waiting_new (bucket) > 0)
    bucket->new_refused_ms = now_ms;
  pause_ms = CLAMP (bucket->wait_ms, MIN_ROUND_PAUSE_MS, MAX_ROUND_PAUSE_MS);
  refuse_waits (bucket, pause_ms, now_ms);
  if (bucket->waits->len == 0 || bucket->nonce)
    return;
  ev_timer_set (&bucket->timer, (double)pause_ms / 1000.0, 0);
  ev_timer_start (loop, &bucket->timer);
}

/* Cancels a waiting request; its handler is not called.  */
void
limits_cancel (struct limits_wait *wait)
{
  if (!wait)
    return;
  g_ptr_array_remove (wait->bucket->waits, wait);
  free (wait);
}

/* Acquires a token for a request of CUSTOMER.  BEGINS_PROGRAM is set for the
   first request of a program; other requests may wait for up to MAX_WAIT_MS.
   If the result is LIMITS_PENDING, HANDLER is called later unless *WAIT is
   cancelled before.  */
enum limits_verdict
limits_admit (struct limits *limits, const struct customer *customer,
              bool begins_program, int64_t max_wait_ms,
              limits_handler *handler, void *data, struct limits_wait **wait)
{
  struct bucket *bucket
      = g_hash_table_lookup (limits->buckets, customer->name);
  int64_t now_ms = clock_now_ms ();

  *wait = NULL;
  if (customer->rate_milli == 0 || !bucket)
    return LIMITS_ADMITTED;
  count_use (bucket, now_ms);
  if (count_waiting_running (bucket) == 0
      && consume_token (bucket, begins_program, now_ms))
    return LIMITS_ADMITTED;
  if (begins_program && now_ms - bucket->new_refused_ms < DENIED_BACKOFF_MS)
    return LIMITS_REFUSED;
  *wait = xcalloc (1, sizeof **wait);
  (*wait)->bucket = bucket;
  (*wait)->begins_program = begins_program;
  (*wait)->deadline_ms = now_ms + max_wait_ms;
  (*wait)->handler = handler;
  (*wait)->data = data;
  g_ptr_array_add (bucket->waits, *wait);
  if (begins_program || !ev_is_active (&bucket->timer))
    start_round (bucket, now_ms);
  if (bucket->nonce || ev_is_active (&bucket->timer))
    return LIMITS_PENDING;
  limits_cancel (*wait);
  *wait = NULL;
  return LIMITS_REFUSED;
}

static bool
is_local_host (const struct limits *limits, const char *host)
{
  for (size_t i = 0; i < limits->member_count; i++)
    if (strcmp (limits->members[i].name, host) == 0)
      return limits->members[i].dc_hash == limits->data_centres[0];
  return false;
}

/* Rounds up so that the last token can be lent: the shares of a customer with
   a low rate hold only a few tokens.  */
static int64_t
round_up_percent (int64_t tokens, int64_t percent)
{
  return (tokens * percent + 99) / 100;
}

/* Lent tokens are charged to the window immediately.  The borrower may use
   them for up to LOAN_LIFETIME_MS, so the window is longer than the customer's
   by that time.  */
static void
make_loan (struct bucket *bucket, const Peer__LimitAsk *request, bool is_local,
           Peer__LimitLoan *loan)
{
  int64_t now_ms = clock_now_ms ();
  int64_t percent = is_local ? 100 : 100 - RESERVED_PERCENT;
  int64_t available = round_up_percent (
      window_available (&bucket->share, now_ms) / WINDOW_UTOKENS_PER_TOKEN,
      percent);

  if (available > request->tokens)
    available = request->tokens;
  loan->tokens = (uint32_t)grant (bucket, available, false, now_ms);
  available = round_up_percent (programs_admittable (bucket, now_ms), percent);
  if (available > request->begin_tokens)
    available = request->begin_tokens;
  loan->begin_tokens = (uint32_t)grant (bucket, available, true, now_ms);
}

/* Returns the time until the local share has a token.  */
static int64_t
share_wait_ms (struct bucket *bucket, bool begins_program)
{
  int64_t now_ms = clock_now_ms ();
  int64_t wait_ms = window_wait_ms (&bucket->share, now_ms);
  int64_t begin_ms;

  if (!begins_program)
    return wait_ms;
  begin_ms = window_wait_ms (&bucket->committed, now_ms);
  return begin_ms > wait_ms ? begin_ms : wait_ms;
}

/* Returns the time until a token of CUSTOMER is expected: the shortest wait
   reported by a holder or expected of the local share.  */
int64_t
limits_retry_ms (struct limits *limits, const struct customer *customer,
                 bool begins_program)
{
  struct bucket *bucket
      = g_hash_table_lookup (limits->buckets, customer->name);
  int64_t wait_ms = bucket ? bucket->wait_ms : 0;

  if (bucket && bucket->is_holder
      && (!wait_ms || share_wait_ms (bucket, begins_program) < wait_ms))
    wait_ms = share_wait_ms (bucket, begins_program);
  if (wait_ms < MIN_RETRY_MS)
    return MIN_RETRY_MS;
  return wait_ms < MAX_RETRY_MS ? wait_ms : MAX_RETRY_MS;
}

static void
handle_loan_request (struct limits *limits, const char *host,
                     const Peer__LimitAsk *request)
{
  struct bucket *bucket
      = g_hash_table_lookup (limits->buckets, request->customer);
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LimitLoan loan = PEER__LIMIT_LOAN__INIT;

  loan.nonce = request->nonce;
  if (bucket)
    make_loan (bucket, request, is_local_host (limits, host), &loan);
  if (bucket)
    loan.wait_ms = share_wait_ms (bucket, request->begin_tokens > 0);
  if (loan.tokens + loan.begin_tokens > 0)
    counter_add (COUNTER_TOKEN_GRANTS, 1);
  frame.body_case = PEER__FRAME__BODY_LIMIT_LOAN;
  frame.limit_loan = &loan;
  mesh_send (limits->options.mesh, host, &frame);
}

/* Accepts a loan.  A loan that arrives after its round has ended is dropped;
   the lender has already charged it.  */
static void
handle_loan (struct limits *limits, const Peer__LimitLoan *loan)
{
  uint64_t nonce = loan->nonce;
  struct bucket *bucket = g_hash_table_lookup (limits->rounds, &nonce);

  if (!bucket)
    return;
  if (bucket->unanswered > 0)
    bucket->unanswered--;
  bucket->borrowed += loan->tokens;
  bucket->borrowed_for_new += loan->begin_tokens;
  bucket->borrowed_ms = bucket->round_started_ms;
  if (!bucket->wait_ms || loan->wait_ms < bucket->wait_ms)
    bucket->wait_ms = loan->wait_ms;
  serve_waits (bucket, clock_now_ms ());
  if (bucket->unanswered == 0
      && (bucket->waits->len == 0 || !ask_next (bucket)))
    finish_round (bucket);
}

/* Handles loan requests and loans of other hosts; ignores other frames.  */
void
limits_handle_frame (struct limits *limits, const char *host,
                     const Peer__Frame *frame)
{
  if (frame->body_case == PEER__FRAME__BODY_LIMIT_ASK)
    handle_loan_request (limits, host, frame->limit_ask);
  else if (frame->body_case == PEER__FRAME__BODY_LIMIT_LOAN)
    handle_loan (limits, frame->limit_loan);
}
