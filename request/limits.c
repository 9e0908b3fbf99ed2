#include "request/limits.h"
#include "common/counters.h"
#include "common/id.h"
#include "common/log.h"
#include "common/memory.h"
#include "policy/window.h"
#include "request/grant_witness.h"
#include "request/host_set.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  LOAN_TIMEOUT_MS = 60, /* a holder answers within a few milliseconds */
  /* For this time after a new program was refused, further ones are refused
     without asking other hosts. */
  NEW_PROGRAM_BACKOFF_MS = 50,
  LOAN_LIFETIME_MS = 150,  /* unused borrowed tokens expire after this time */
  MIN_ROUND_PAUSE_MS = 40, /* between two rounds of loan requests */
  /* Not longer, since a token may become available elsewhere before the
     expected time. */
  MAX_ROUND_PAUSE_MS = 100,
  LOANS_PER_S = 8, /* a loan covers the demand of an eighth of a second */
  MAX_LOAN_TOKENS = 32,
  /* New programs are admitted at a rate at which the customer's tokens
     suffice for all of their requests, because the tokens of a program that is
     cut short are wasted.  This is the limit of the tokens committed to
     programs, as a percentage of the limit of the share. */
  COMMITTED_PERCENT = 140,
  DEFAULT_PROGRAM_REQUESTS = 12, /* initial estimate of requests per program */
  DEFAULT_WEIGHT_PROGRAMS = 16,  /* weight of that estimate, in programs */
  MAX_COUNTED_PROGRAMS = 64,     /* counts are halved beyond this number */
  /* Of the available tokens, not lent to other data centres. */
  RESERVED_PERCENT = 50,
  MIN_RETRY_MS = 100,  /* an earlier retry would find the window still full */
  MAX_RETRY_MS = 1500, /* callers wait a few seconds in total */
  MAX_DATA_CENTRES = 32,
  /* Witnesses that must have told all: one may have missed a part. */
  TOLD_WITNESSES = 2,
  /* Of a share's limit, that a holder may have granted without having told
     its witnesses. */
  UNTOLD_PERCENT = 5,
  /* Between questions to the witnesses, which answer within milliseconds once
     the links are up. */
  HISTORY_RETRY_MS = 50,
  /* Until a witness that has not told all is taken to know no more, as where
     the whole fleet has started. */
  HISTORY_ASK_MS = 1000,
  DEMAND_INTERVAL_MS = 1000, /* interval over which requests are counted */
  /* Beside the struct and the name: three blocks and a table's entry. */
  ENTRY_BYTES = 128,
};

/* A request that waits for a token.  Owned by its rate limit. */
struct limits_waiter
{
  struct rate_limit *rate_limit;
  bool begins_program; /* first request of a program */
  int64_t deadline_ms;
  limits_handler *handler;
  void *data;
};

/* State of a customer's rate limit on this host.

   When tokens are missing, this host starts a round of loan requests: it asks
   the holders of the customer's shares, one data centre after another. */
struct rate_limit
{
  struct limits *limits;
  char *customer;
  uint64_t hash;
  uint64_t share_id; /* names the share in this data centre */
  /* Of this share, chosen from the hosts. */
  const struct host_member *witnesses[GRANT_WITNESSES];
  uint32_t witness_count;
  /* Of this data centre; its limit is 0 if another host holds it. */
  struct window share;
  struct window committed; /* tokens committed to programs admitted here */
  int64_t wait_ms; /* until a token is expected, as reported by holders */
  bool is_holder;
  bool lacks_history;    /* its witnesses have not told all of the window */
  int64_t begun_ms;      /* when this host began to hold the share */
  uint64_t holding;      /* random, of that time */
  int64_t granted;       /* tokens, since then */
  int64_t untold_tokens; /* of these, not told to the witnesses yet */
  struct grant_history history; /* of the time before */
  int64_t rate_milli;
  int64_t burst;
  int64_t borrowed;            /* whole tokens, for programs that have begun */
  int64_t borrowed_for_new;    /* for new programs, in the current round */
  int64_t borrowed_ms;         /* when the last loan was requested */
  uint64_t nonce;              /* of the current round; 0 for none */
  uint32_t unanswered;         /* loan requests of this round */
  uint32_t asked_data_centres; /* in this round, starting with the local one */
  int64_t demand_interval_start_ms; /* of the current interval */
  int64_t demand;                   /* requests in that interval */
  int64_t previous_demand;          /* and in the interval before */
  int64_t round_started_ms;
  int64_t new_refused_ms; /* when a new program was last refused */
  uint64_t generation;    /* of the configuration that last had the customer */
  size_t bytes;           /* as accounted */
  ev_timer timer;
  GPtrArray *waiters; /* struct limits_waiter */
};

struct limits
{
  struct limits_options options;
  GHashTable *rate_limits; /* customer -> struct rate_limit */
  GHashTable *rounds;      /* nonce -> struct rate_limit whose round it is */
  struct host_set hosts;   /* all entry hosts, including this one */
  uint64_t data_centres[MAX_DATA_CENTRES]; /* name hashes, local one first */
  uint32_t data_centre_count;
  bool is_member_list_known; /* the list of hosts is known, so shares can be
                                assigned */
  struct grant_witness *witness; /* of shares that other hosts hold */
  ev_timer history_timer;
  uint64_t generation; /* counts the configurations applied */
  /* Counted over all customers: programs of a customer that is often refused
     end before they have sent all of their requests. */
  int64_t granted; /* tokens granted to the programs counted below */
  int64_t counted_programs;
};

/* Length of the windows of this host: tokens may be used for as long after
   they were lent.  */
static int64_t
share_window_ms (const struct limits *limits)
{
  return limits->options.window_ms + LOAN_LIFETIME_MS;
}

static void
rate_limit_destroy (gpointer data)
{
  struct rate_limit *rate_limit = data;

  ev_timer_stop (rate_limit->limits->options.loop, &rate_limit->timer);
  for (guint i = 0; i < rate_limit->waiters->len; i++)
    free (rate_limit->waiters->pdata[i]);
  g_ptr_array_free (rate_limit->waiters, TRUE);
  memory_add (MEMORY_CONFIG, -(int64_t)rate_limit->bytes);
  grant_history_release (&rate_limit->history);
  free (rate_limit->customer);
  free (rate_limit);
}

static void ask_for_histories (struct ev_loop *loop, ev_timer *timer,
                               int events);

/* Creates limits for a host that knows no other hosts and holds no shares.  */
struct limits *
limits_create (const struct limits_options *options)
{
  struct limits *limits = xcalloc (1, sizeof *limits);

  limits->options = *options;
  limits->rate_limits = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                               rate_limit_destroy);
  limits->rounds = g_hash_table_new (g_int64_hash, g_int64_equal);
  limits->witness
      = grant_witness_create (share_window_ms (limits), clock_now_ms ());
  ev_timer_init (&limits->history_timer, ask_for_histories, 0,
                 HISTORY_RETRY_MS / 1000.0);
  limits->history_timer.data = limits;
  return limits;
}

/* Frees the limits without calling the handlers of waiting requests.  */
void
limits_destroy (struct limits *limits)
{
  if (!limits)
    return;
  g_hash_table_destroy (limits->rounds);
  g_hash_table_destroy (limits->rate_limits);
  host_set_release (&limits->hosts);
  ev_timer_stop (limits->options.loop, &limits->history_timer);
  grant_witness_destroy (limits->witness);
  free (limits);
}

/* Returns the host that holds a customer's share for a data centre.
   Unreachable hosts are included, because two holders of one share would grant
   it twice.  */
static const struct host_member *
find_holder (const struct limits *limits, uint64_t customer,
             uint64_t data_centre)
{
  struct host_choice choice = { .item = customer, .only = data_centre };
  const struct host_member *holder = NULL;

  host_set_choose (&limits->hosts, &choice, &holder, 1);
  return holder;
}

static bool
holds_share (const struct rate_limit *rate_limit)
{
  const struct limits *limits = rate_limit->limits;
  const struct host_member *holder
      = find_holder (limits, rate_limit->hash, limits->data_centres[0]);

  return holder && strcmp (holder->name, limits->options.host) == 0;
}

/* Stores the hosts that are witnesses of SHARE and returns their number.  */
static uint32_t
choose_witnesses (const struct limits *limits, uint64_t share,
                  const struct host_member **chosen)
{
  struct host_choice choice = { .item = share };

  return host_set_choose (&limits->hosts, &choice, chosen, GRANT_WITNESSES);
}

static bool
is_self (const struct limits *limits, const struct host_member *member)
{
  return strcmp (member->name, limits->options.host) == 0;
}

/* Whether this host is a witness of SHARE.  */
static bool
is_witness (void *data, uint64_t share)
{
  const struct limits *limits = data;
  const struct host_member *chosen[GRANT_WITNESSES];
  uint32_t count = choose_witnesses (limits, share, chosen);

  for (uint32_t i = 0; i < count; i++)
    if (is_self (limits, chosen[i]))
      return true;
  return false;
}

static void handle_history (struct limits *limits, const char *host,
                            const Peer__LimitHistory *history);

/* Asks the witnesses what was granted of a share before this host held it.  */
static void
ask_for_history (struct rate_limit *rate_limit)
{
  struct limits *limits = rate_limit->limits;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LimitHistoryAsk ask = PEER__LIMIT_HISTORY_ASK__INIT;
  struct grant_answer answer;

  ask.share = rate_limit->share_id;
  frame.body_case = PEER__FRAME__BODY_LIMIT_HISTORY_ASK;
  frame.limit_history_ask = &ask;
  for (uint32_t i = 0; i < rate_limit->witness_count; i++)
    if (!is_self (limits, rate_limit->witnesses[i]))
      mesh_send (limits->options.mesh, rate_limit->witnesses[i]->name, &frame);
    else
      {
        grant_witness_answer (limits->witness, ask.share, clock_now_ms (),
                              &answer);
        handle_history (limits, limits->options.host, &answer.history);
      }
}

/* Asks again where witnesses have not told all.  */
static void
ask_for_histories (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct limits *limits = timer->data;
  int64_t now_ms = clock_now_ms ();
  bool is_asking = false;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, limits->rate_limits);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct rate_limit *rate_limit = value;

      if (now_ms - rate_limit->begun_ms > HISTORY_ASK_MS)
        rate_limit->lacks_history = false;
      if (rate_limit->lacks_history && rate_limit->is_holder)
        ask_for_history (rate_limit);
      is_asking |= rate_limit->lacks_history && rate_limit->is_holder;
    }
  if (!is_asking)
    ev_timer_stop (loop, timer);
}

/* Begins to hold a share of which this host does not know what was granted
   before.  Until a witness tells, it grants only what accrues.  */
static void
begin_share (struct rate_limit *rate_limit, int64_t now_ms)
{
  struct limits *limits = rate_limit->limits;

  window_restart (&rate_limit->share, now_ms);
  window_restart (&rate_limit->committed, now_ms);
  rate_limit->lacks_history = rate_limit->rate_milli > 0;
  rate_limit->begun_ms = now_ms;
  rate_limit->holding = id_random64 ();
  rate_limit->granted = rate_limit->untold_tokens = 0;
  grant_history_release (&rate_limit->history);
  if (rate_limit->lacks_history && limits->options.mesh)
    ev_timer_start (limits->options.loop, &limits->history_timer);
}

/* Recomputes the share held by this host.  A share that moves to this host
   starts empty, since its previous holder may have used it up.  WAS_HELD_HERE
   is set if no other host can have held the share before.  */
static void
configure_share (struct rate_limit *rate_limit, bool was_held_here)
{
  const struct limits *limits = rate_limit->limits;
  int64_t share_count = limits->data_centre_count;
  int64_t now_ms = clock_now_ms ();
  bool is_holder = limits->is_member_list_known && holds_share (rate_limit);
  uint64_t data_centre = limits->data_centres[0];
  int64_t per_s = 0;
  int64_t limit = 0;

  if (is_holder)
    {
      per_s
          = rate_limit->rate_milli * (UTOKENS_PER_TOKEN / 1000) / share_count;
      limit = per_s * limits->options.window_ms / 1000
              + rate_limit->burst * UTOKENS_PER_TOKEN / share_count;
    }
  rate_limit->share_id
      = id_hash64 (&data_centre, sizeof data_centre, rate_limit->hash);
  rate_limit->witness_count
      = choose_witnesses (limits, rate_limit->share_id, rate_limit->witnesses);
  if (is_holder && !rate_limit->is_holder && !was_held_here)
    begin_share (rate_limit, now_ms);
  rate_limit->is_holder = is_holder;
  window_configure (&rate_limit->share, limit, per_s, now_ms);
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

  if (host_set_assign (&limits->hosts, hosts, count))
    grant_witness_change_hosts (limits->witness, is_witness, limits,
                                clock_now_ms ());
  limits->data_centre_count = 0;
  add_data_centre (limits, id_hash_text (limits->options.data_centre));
  for (size_t i = 0; i < count; i++)
    add_data_centre (limits, limits->hosts.members[i].data_centre_hash);
  limits->is_member_list_known = true;
  g_hash_table_iter_init (&iter, limits->rate_limits);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    configure_share (value, false);
}

static void serve_then_borrow (struct rate_limit *rate_limit);
static void finish_round (struct rate_limit *rate_limit);
static bool ask_next (struct rate_limit *rate_limit);
static void start_answer_timer (struct rate_limit *rate_limit);

/* Handles the timeout of a holder's answer, or the end of the pause between
   two rounds.  */
static void
handle_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct rate_limit *rate_limit = timer->data;

  if (!rate_limit->nonce)
    {
      serve_then_borrow (rate_limit);
      return;
    }
  rate_limit->unanswered = 0;
  if (rate_limit->waiters->len > 0 && ask_next (rate_limit))
    start_answer_timer (rate_limit);
  else
    finish_round (rate_limit);
}

static struct rate_limit *
rate_limit_create (struct limits *limits, const struct customer *customer)
{
  struct rate_limit *rate_limit = xcalloc (1, sizeof *rate_limit);

  rate_limit->limits = limits;
  rate_limit->customer = xstrdup (customer->name);
  rate_limit->hash = id_hash_text (customer->name);
  rate_limit->waiters = g_ptr_array_new ();
  window_init (&rate_limit->share, share_window_ms (limits), clock_now_ms ());
  window_init (&rate_limit->committed, share_window_ms (limits),
               clock_now_ms ());
  ev_timer_init (&rate_limit->timer, handle_timer,
                 (double)LOAN_TIMEOUT_MS / 1000.0, 0);
  rate_limit->timer.data = rate_limit;
  g_hash_table_insert (limits->rate_limits, rate_limit->customer, rate_limit);
  rate_limit->bytes
      = sizeof *rate_limit + strlen (rate_limit->customer) + ENTRY_BYTES;
  memory_add (MEMORY_CONFIG, (int64_t)rate_limit->bytes);
  return rate_limit;
}

/* Whether the configuration in force no longer has the customer and no request
   waits for its tokens.  */
static gboolean
is_forgotten (gpointer key, gpointer value, gpointer data)
{
  const struct rate_limit *rate_limit = value;

  return rate_limit->generation != rate_limit->limits->generation
         && rate_limit->waiters->len == 0 && !rate_limit->nonce;
}

/* Applies the customers' rates.  A new rate takes effect immediately, because
   each share is a fraction of the current rate.  Customers that the
   configuration no longer has are forgotten, with this version or the next;
   one that returns begins with an empty share, as a new one does.  */
void
limits_apply (struct limits *limits, const struct routing *routing)
{
  limits->generation++;
  for (uint32_t i = 0; i < routing->customer_count; i++)
    {
      const struct customer *customer = &routing->customers[i];
      struct rate_limit *rate_limit
          = g_hash_table_lookup (limits->rate_limits, customer->name);
      bool is_new = !rate_limit;

      if (is_new)
        rate_limit = rate_limit_create (limits, customer);
      rate_limit->generation = limits->generation;
      if (!is_new && rate_limit->rate_milli == customer->rate_milli
          && rate_limit->burst == customer->burst)
        continue;
      rate_limit->rate_milli = customer->rate_milli;
      rate_limit->burst = customer->burst;
      configure_share (rate_limit, !is_new);
    }
  g_hash_table_foreach_remove (limits->rate_limits, is_forgotten, NULL);
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
programs_admittable (struct rate_limit *rate_limit, int64_t now_ms)
{
  int64_t program_tokens
      = average_program_requests (rate_limit->limits) * UTOKENS_PER_TOKEN;

  window_configure (
      &rate_limit->committed,
      rate_limit->share.limit_utokens / 100 * COMMITTED_PERCENT,
      rate_limit->share.rate_utokens_per_s / 100 * COMMITTED_PERCENT, now_ms);
  return (window_available (&rate_limit->committed, now_ms)
          + program_tokens / 2)
         / program_tokens;
}

/* Tells the witnesses of a share of TOKENS that were granted, once they are
   too many to be left out.  This host may be one of them: it is asked once it
   does not hold the share any more.  */
static void
tell_witnesses (struct rate_limit *rate_limit, int64_t tokens)
{
  struct limits *limits = rate_limit->limits;
  int64_t limit = rate_limit->share.limit_utokens / UTOKENS_PER_TOKEN;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LimitGranted granted = PEER__LIMIT_GRANTED__INIT;

  rate_limit->granted += tokens;
  rate_limit->untold_tokens += tokens;
  if (!limits->options.mesh
      || rate_limit->untold_tokens <= limit * UNTOLD_PERCENT / 100)
    return;
  granted.share = rate_limit->share_id;
  granted.holder = rate_limit->holding;
  granted.total = (uint64_t)rate_limit->granted;
  rate_limit->untold_tokens = 0;
  frame.body_case = PEER__FRAME__BODY_LIMIT_GRANTED;
  frame.limit_granted = &granted;
  for (uint32_t i = 0; i < rate_limit->witness_count; i++)
    if (is_self (limits, rate_limit->witnesses[i]))
      grant_witness_record (limits->witness, &granted, clock_now_ms ());
    else
      mesh_send (limits->options.mesh, rate_limit->witnesses[i]->name, &frame);
}

/* Grants up to TOKENS of the local share and returns how many were granted. */
static int64_t
grant (struct rate_limit *rate_limit, int64_t tokens, bool begins_program,
       int64_t now_ms)
{
  struct limits *limits = rate_limit->limits;

  if (begins_program)
    tokens = MIN (tokens, programs_admittable (rate_limit, now_ms));
  if (tokens <= 0)
    return 0;
  tokens = window_take (&rate_limit->share, tokens, now_ms);
  if (tokens > 0)
    tell_witnesses (rate_limit, tokens);
  limits->granted += tokens;
  if (!begins_program)
    return tokens;
  window_charge (&rate_limit->committed,
                 tokens * average_program_requests (limits), now_ms);
  limits->counted_programs += tokens;
  if (limits->counted_programs > MAX_COUNTED_PROGRAMS)
    {
      limits->counted_programs /= 2;
      limits->granted /= 2;
    }
  return tokens;
}

/* Takes a token from unexpired loans, or else from the local share.  Returns
   false if there is none.  */
static bool
consume_token (struct rate_limit *rate_limit, bool begins_program,
               int64_t now_ms)
{
  if (now_ms - rate_limit->borrowed_ms >= LOAN_LIFETIME_MS)
    rate_limit->borrowed = rate_limit->borrowed_for_new = 0;
  if (begins_program && rate_limit->borrowed_for_new > 0)
    {
      rate_limit->borrowed_for_new--;
      return true;
    }
  if (!begins_program && rate_limit->borrowed > 0)
    {
      rate_limit->borrowed--;
      return true;
    }
  return grant (rate_limit, 1, begins_program, now_ms) == 1;
}

static void
record_demand (struct rate_limit *rate_limit, int64_t now_ms)
{
  if (now_ms - rate_limit->demand_interval_start_ms >= DEMAND_INTERVAL_MS)
    {
      rate_limit->previous_demand
          = now_ms - rate_limit->demand_interval_start_ms
                    < (int64_t)2 * DEMAND_INTERVAL_MS
                ? rate_limit->demand
                : 0;
      rate_limit->demand = 0;
      rate_limit->demand_interval_start_ms = now_ms;
    }
  rate_limit->demand++;
}

static uint32_t
count_waiting_new (const struct rate_limit *rate_limit)
{
  uint32_t count = 0;

  for (guint i = 0; i < rate_limit->waiters->len; i++)
    count += ((const struct limits_waiter *)rate_limit->waiters->pdata[i])
                 ->begins_program;
  return count;
}

static uint32_t
count_waiting_running (const struct rate_limit *rate_limit)
{
  return rate_limit->waiters->len - count_waiting_new (rate_limit);
}

/* Returns how many tokens to borrow for programs that have begun.  */
static uint32_t
wanted_tokens (const struct rate_limit *rate_limit)
{
  int64_t demand = rate_limit->demand > rate_limit->previous_demand
                       ? rate_limit->demand
                       : rate_limit->previous_demand;
  int64_t wanted
      = (int64_t)count_waiting_running (rate_limit) + demand / LOANS_PER_S;

  return (uint32_t)(wanted < MAX_LOAN_TOKENS ? wanted : MAX_LOAN_TOKENS);
}

/* Requests a loan from the holder of a data centre's share.  Returns false if
   no request could be sent.  */
static bool
ask_holder (struct rate_limit *rate_limit, uint64_t data_centre)
{
  struct limits *limits = rate_limit->limits;
  const struct host_member *holder
      = find_holder (limits, rate_limit->hash, data_centre);
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LimitAsk request = PEER__LIMIT_ASK__INIT;

  if (!holder || strcmp (holder->name, limits->options.host) == 0
      || mesh_is_suspect (limits->options.mesh, holder->name))
    return false;
  request.nonce = rate_limit->nonce;
  request.customer = rate_limit->customer;
  request.tokens = wanted_tokens (rate_limit);
  request.begin_tokens = count_waiting_new (rate_limit);
  frame.body_case = PEER__FRAME__BODY_LIMIT_ASK;
  frame.limit_ask = &request;
  if (!mesh_send (limits->options.mesh, holder->name, &frame))
    return false;
  rate_limit->unanswered++;
  return true;
}

/* Requests a loan from the next reachable data centre of the round.  Returns
   false if none is left.  They are asked one at a time, because tokens lent
   beyond what is needed are lost.  */
static bool
ask_next (struct rate_limit *rate_limit)
{
  const struct limits *limits = rate_limit->limits;
  uint32_t others = limits->data_centre_count - 1;

  while (rate_limit->asked_data_centres <= others)
    {
      uint32_t index = rate_limit->asked_data_centres++;

      /* Rounds start with different remote data centres. */
      if (index > 0)
        index = 1 + (uint32_t)((rate_limit->nonce + index) % others);
      if (ask_holder (rate_limit, limits->data_centres[index]))
        return true;
    }
  return false;
}

/* Starts the timeout for an outstanding answer.  If there is none, the timer
   fires in the next loop iteration.  */
static void
start_answer_timer (struct rate_limit *rate_limit)
{
  struct ev_loop *loop = rate_limit->limits->options.loop;

  ev_timer_stop (loop, &rate_limit->timer);
  ev_timer_set (
      &rate_limit->timer,
      rate_limit->unanswered > 0 ? (double)LOAN_TIMEOUT_MS / 1000.0 : 0, 0);
  ev_timer_start (loop, &rate_limit->timer);
}

static void
finish_waiter (struct rate_limit *rate_limit, guint index, bool admitted)
{
  struct limits_waiter *wait
      = g_ptr_array_remove_index (rate_limit->waiters, index);
  limits_handler *handler = wait->handler;
  void *data = wait->data;

  free (wait);
  handler (data, admitted);
}

static void
serve_waiters (struct rate_limit *rate_limit, int64_t now_ms)
{
  for (guint i = 0; i < rate_limit->waiters->len;)
    {
      const struct limits_waiter *wait = rate_limit->waiters->pdata[i];

      if (consume_token (rate_limit, wait->begins_program, now_ms))
        finish_waiter (rate_limit, i, true);
      else
        i++;
    }
}

/* Starts a round of loan requests.  The holder of the local data centre is
   asked first, and the others if this host is that holder or the loan is not
   enough.  */
static void
start_round (struct rate_limit *rate_limit, int64_t now_ms)
{
  struct limits *limits = rate_limit->limits;

  if (rate_limit->nonce || !limits->is_member_list_known)
    return;
  rate_limit->nonce = id_random64 ();
  g_hash_table_insert (limits->rounds, &rate_limit->nonce, rate_limit);
  rate_limit->round_started_ms = now_ms;
  rate_limit->unanswered = 0;
  rate_limit->asked_data_centres = 0;
  rate_limit->wait_ms = 0;
  ask_next (rate_limit);
  counter_add (COUNTER_TOKEN_PULLS, 1);
  start_answer_timer (rate_limit);
}

/* Serves waiting requests from the local share, and starts a round of loan
   requests if that is not enough.  */
static void
serve_then_borrow (struct rate_limit *rate_limit)
{
  int64_t now_ms = clock_now_ms ();

  serve_waiters (rate_limit, now_ms);
  if (rate_limit->waiters->len > 0)
    start_round (rate_limit, now_ms);
}

/* Refuses new programs, and requests whose wait would expire before the next
   round or the next expected token.  */
static void
refuse_waiters (struct rate_limit *rate_limit, int64_t pause_ms,
                int64_t now_ms)
{
  uint32_t refused = 0;

  for (guint i = 0; i < rate_limit->waiters->len;)
    {
      const struct limits_waiter *wait = rate_limit->waiters->pdata[i];

      if (!wait->begins_program && now_ms + pause_ms <= wait->deadline_ms
          && now_ms + rate_limit->wait_ms <= wait->deadline_ms)
        {
          i++;
          continue;
        }
      refused++;
      finish_waiter (rate_limit, i, false);
    }
  if (refused > 0)
    log_write (LOG_INFO, "limits", NULL,
               "rate limit of customer %s refused %u requests: rate "
               "%" G_GINT64_FORMAT " per 1000 s, burst %" G_GINT64_FORMAT
               ", share held by this host: %s, %u loan requests unanswered, "
               "%u data centres asked, next token expected in "
               "%" G_GINT64_FORMAT " ms",
               rate_limit->customer, refused, rate_limit->rate_milli,
               rate_limit->burst, rate_limit->is_holder ? "yes" : "no",
               rate_limit->unanswered, rate_limit->asked_data_centres,
               rate_limit->wait_ms);
}

/* Ends the round: serves or refuses waiting requests, and schedules the next
   round if some still wait.  */
static void
finish_round (struct rate_limit *rate_limit)
{
  struct ev_loop *loop = rate_limit->limits->options.loop;
  int64_t now_ms = clock_now_ms ();
  int64_t pause_ms;

  ev_timer_stop (loop, &rate_limit->timer);
  g_hash_table_remove (rate_limit->limits->rounds, &rate_limit->nonce);
  rate_limit->nonce = 0;
  serve_waiters (rate_limit, now_ms);
  rate_limit->borrowed += rate_limit->borrowed_for_new;
  rate_limit->borrowed_for_new = 0;
  if (count_waiting_new (rate_limit) > 0)
    rate_limit->new_refused_ms = now_ms;
  pause_ms
      = CLAMP (rate_limit->wait_ms, MIN_ROUND_PAUSE_MS, MAX_ROUND_PAUSE_MS);
  refuse_waiters (rate_limit, pause_ms, now_ms);
  if (rate_limit->waiters->len == 0 || rate_limit->nonce)
    return;
  ev_timer_set (&rate_limit->timer, (double)pause_ms / 1000.0, 0);
  ev_timer_start (loop, &rate_limit->timer);
}

/* Cancels a waiting request; its handler is not called.  */
void
limits_cancel (struct limits_waiter *wait)
{
  if (!wait)
    return;
  g_ptr_array_remove (wait->rate_limit->waiters, wait);
  free (wait);
}

/* Whether a program may not even ask for tokens, since one was refused just
   before.  */
static bool
is_backing_off (const struct rate_limit *rate_limit, bool begins_program,
                int64_t now_ms)
{
  return begins_program
         && now_ms - rate_limit->new_refused_ms < NEW_PROGRAM_BACKOFF_MS;
}

/* Acquires a token for a request of CUSTOMER.  BEGINS_PROGRAM is set for the
   first request of a program; other requests may wait for up to MAX_WAIT_MS.
   If the result is LIMITS_PENDING, HANDLER is called later unless *WAIT is
   cancelled before.  */
enum limits_verdict
limits_admit (struct limits *limits, const struct customer *customer,
              bool begins_program, int64_t max_wait_ms,
              limits_handler *handler, void *data, struct limits_waiter **wait)
{
  struct rate_limit *rate_limit
      = g_hash_table_lookup (limits->rate_limits, customer->name);
  int64_t now_ms = clock_now_ms ();

  *wait = NULL;
  if (customer->rate_milli == 0 || !rate_limit)
    return LIMITS_ADMITTED;
  record_demand (rate_limit, now_ms);
  if (count_waiting_running (rate_limit) == 0
      && consume_token (rate_limit, begins_program, now_ms))
    return LIMITS_ADMITTED;
  if (is_backing_off (rate_limit, begins_program, now_ms))
    return LIMITS_REFUSED;
  *wait = xcalloc (1, sizeof **wait);
  (*wait)->rate_limit = rate_limit;
  (*wait)->begins_program = begins_program;
  (*wait)->deadline_ms = now_ms + max_wait_ms;
  (*wait)->handler = handler;
  (*wait)->data = data;
  g_ptr_array_add (rate_limit->waiters, *wait);
  if (begins_program || !ev_is_active (&rate_limit->timer))
    start_round (rate_limit, now_ms);
  if (rate_limit->nonce || ev_is_active (&rate_limit->timer))
    return LIMITS_PENDING;
  limits_cancel (*wait);
  *wait = NULL;
  return LIMITS_REFUSED;
}

static bool
is_local_host (const struct limits *limits, const char *host)
{
  const struct host_member *member = host_set_find (&limits->hosts, host);

  return member && member->data_centre_hash == limits->data_centres[0];
}

/* Returns PERCENT of TOKENS, rounded up so that the last token can be lent:
   the shares of a customer with a low rate hold only a few tokens.  */
static int64_t
round_up_percent (int64_t tokens, int64_t percent)
{
  return (tokens * percent + 99) / 100;
}

/* Sets LOAN to what the local share can lend in response to REQUEST.  Lent
   tokens are charged to the window immediately.  The borrower may use
   them for up to LOAN_LIFETIME_MS, so the window is longer than the customer's
   by that time.  */
static void
make_loan (struct rate_limit *rate_limit, const Peer__LimitAsk *request,
           bool is_local, Peer__LimitLoan *loan)
{
  int64_t now_ms = clock_now_ms ();
  int64_t percent = is_local ? 100 : 100 - RESERVED_PERCENT;
  int64_t available = round_up_percent (
      window_available (&rate_limit->share, now_ms) / UTOKENS_PER_TOKEN,
      percent);

  if (available > request->tokens)
    available = request->tokens;
  loan->tokens = (uint32_t)grant (rate_limit, available, false, now_ms);
  available
      = round_up_percent (programs_admittable (rate_limit, now_ms), percent);
  if (available > request->begin_tokens)
    available = request->begin_tokens;
  loan->begin_tokens = (uint32_t)grant (rate_limit, available, true, now_ms);
}

/* Returns the time until the local share has a token.  */
static int64_t
share_wait_ms (struct rate_limit *rate_limit, bool begins_program)
{
  int64_t now_ms = clock_now_ms ();
  int64_t wait_ms = window_wait_ms (&rate_limit->share, now_ms);
  int64_t begin_ms;

  if (!begins_program)
    return wait_ms;
  begin_ms = window_wait_ms (&rate_limit->committed, now_ms);
  return begin_ms > wait_ms ? begin_ms : wait_ms;
}

/* Returns the time until a token is expected from any holder, limited to a
   range.  RATE_LIMIT may be NULL.  */
static int64_t
retry_after_ms (struct rate_limit *rate_limit, bool begins_program)
{
  int64_t wait_ms = rate_limit ? rate_limit->wait_ms : 0;

  if (rate_limit && rate_limit->is_holder
      && (!wait_ms || share_wait_ms (rate_limit, begins_program) < wait_ms))
    wait_ms = share_wait_ms (rate_limit, begins_program);
  if (wait_ms < MIN_RETRY_MS)
    return MIN_RETRY_MS;
  return wait_ms < MAX_RETRY_MS ? wait_ms : MAX_RETRY_MS;
}

/* Returns when a refused request of CUSTOMER should be retried.  */
int64_t
limits_retry_after_ms (struct limits *limits, const struct customer *customer,
                       bool begins_program)
{
  return retry_after_ms (
      g_hash_table_lookup (limits->rate_limits, customer->name),
      begins_program);
}

/* Returns what limits_admit would do for a request of CUSTOMER.  Decides with
   copies, so that no token is taken and no demand counted.  LIMITS_PENDING
   says that tokens would be borrowed, or waited for.  */
struct limits_preview
limits_preview (const struct limits *limits, const struct customer *customer,
                bool begins_program)
{
  const struct rate_limit *rate_limit
      = g_hash_table_lookup (limits->rate_limits, customer->name);
  struct limits_preview preview = { .verdict = LIMITS_ADMITTED };
  int64_t now_ms = clock_now_ms ();
  struct limits counts = *limits;
  struct rate_limit copy;

  if (customer->rate_milli == 0 || !rate_limit)
    return preview;
  copy = *rate_limit;
  copy.limits = &counts;
  counts.options.mesh = NULL; /* nobody is told of what it takes */
  preview.is_limited = true;
  preview.is_holder = rate_limit->is_holder;
  preview.retry_after_ms = retry_after_ms (&copy, begins_program);
  if (count_waiting_running (rate_limit) == 0
      && consume_token (&copy, begins_program, now_ms))
    return preview;
  preview.verdict = is_backing_off (rate_limit, begins_program, now_ms)
                        ? LIMITS_REFUSED
                        : LIMITS_PENDING;
  return preview;
}

static void
handle_loan_request (struct limits *limits, const char *host,
                     const Peer__LimitAsk *request)
{
  struct rate_limit *rate_limit
      = g_hash_table_lookup (limits->rate_limits, request->customer);
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LimitLoan loan = PEER__LIMIT_LOAN__INIT;

  loan.nonce = request->nonce;
  if (rate_limit)
    make_loan (rate_limit, request, is_local_host (limits, host), &loan);
  if (rate_limit)
    loan.wait_ms = share_wait_ms (rate_limit, request->begin_tokens > 0);
  counter_add (COUNTER_TOKEN_GRANTS, loan.tokens + loan.begin_tokens);
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
  struct rate_limit *rate_limit = g_hash_table_lookup (limits->rounds, &nonce);

  if (!rate_limit)
    return;
  if (rate_limit->unanswered > 0)
    rate_limit->unanswered--;
  rate_limit->borrowed += loan->tokens;
  rate_limit->borrowed_for_new += loan->begin_tokens;
  rate_limit->borrowed_ms = rate_limit->round_started_ms;
  if (!rate_limit->wait_ms || loan->wait_ms < rate_limit->wait_ms)
    rate_limit->wait_ms = loan->wait_ms;
  serve_waiters (rate_limit, clock_now_ms ());
  if (rate_limit->unanswered == 0
      && (rate_limit->waiters->len == 0 || !ask_next (rate_limit)))
    finish_round (rate_limit);
}

static struct rate_limit *
find_share (const struct limits *limits, uint64_t share)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, limits->rate_limits);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct rate_limit *)value)->share_id == share)
      return value;
  return NULL;
}

/* Takes what the witness HOST tells of the grants before this host held the
   share.  Once enough have told, the most of it is charged, with what their
   holder may not have told.  */
static void
handle_history (struct limits *limits, const char *host,
                const Peer__LimitHistory *history)
{
  struct rate_limit *rate_limit = find_share (limits, history->share);
  int64_t now_ms = clock_now_ms ();
  struct window *share;

  if (!rate_limit || !rate_limit->lacks_history || !rate_limit->is_holder
      || history->known_ms < share_window_ms (limits))
    return;
  grant_history_add (&rate_limit->history, host, history, rate_limit->holding,
                     now_ms);
  if (rate_limit->history.answer_count < TOLD_WITNESSES)
    return;
  share = &rate_limit->share;
  grant_history_charge (&rate_limit->history, share, now_ms);
  window_charge (
      share, share->limit_utokens / UTOKENS_PER_TOKEN * UNTOLD_PERCENT / 100,
      now_ms);
  window_set_known (share, share_window_ms (limits), now_ms);
  rate_limit->lacks_history = false;
  log_write (LOG_INFO, "limits", NULL,
             "customer %s: %" G_GINT64_FORMAT " tokens were granted in the "
             "window before this host held its share",
             rate_limit->customer, rate_limit->history.told);
  grant_history_release (&rate_limit->history);
}

static void
answer_history_ask (const struct limits *limits, const char *host,
                    uint64_t share)
{
  struct grant_answer answer;
  Peer__Frame frame = PEER__FRAME__INIT;

  grant_witness_answer (limits->witness, share, clock_now_ms (), &answer);
  frame.body_case = PEER__FRAME__BODY_LIMIT_HISTORY;
  frame.limit_history = &answer.history;
  mesh_send (limits->options.mesh, host, &frame);
}

/* Handles what other hosts ask and tell of shares; ignores other frames.  */
void
limits_handle_frame (struct limits *limits, const char *host,
                     const Peer__Frame *frame)
{
  switch (frame->body_case)
    {
    case PEER__FRAME__BODY_LIMIT_ASK:
      handle_loan_request (limits, host, frame->limit_ask);
      break;
    case PEER__FRAME__BODY_LIMIT_LOAN:
      handle_loan (limits, frame->limit_loan);
      break;
    case PEER__FRAME__BODY_LIMIT_GRANTED:
      grant_witness_record (limits->witness, frame->limit_granted,
                            clock_now_ms ());
      break;
    case PEER__FRAME__BODY_LIMIT_HISTORY_ASK:
      answer_history_ask (limits, host, frame->limit_history_ask->share);
      break;
    case PEER__FRAME__BODY_LIMIT_HISTORY:
      handle_history (limits, host, frame->limit_history);
      break;
    default:
      break;
    }
}
