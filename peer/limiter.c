#include "peer/limiter.h"
#include "common/counters.h"
#include "common/deferred.h"
#include "common/id.h"
#include "galenashored/server.h"
#include "policy/slots.h"
#include "policy/token_bucket.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_PARTS = SLOTS_MAX_DCS * SLOTS_PER_DC,
  ASK_TIMEOUT_MS = 150, /* time that a holder has to answer */
  ADMIT_WAIT_MS = 400,  /* longest time that a request waits for a token */
  MAX_ASKS = 6,         /* holders asked on behalf of one request */
  SECONDS_PER_MINUTE = 60,
  MILLI = 1000,
  BATCH_WINDOW_MS = 50, /* as many tokens are borrowed at once as there were
                           requests in this time */
  MAX_BATCH_TOKENS = 32,
};

/* The token bucket of a customer for a slot that this host holds. */
struct bucket
{
  uint32_t dc; /* index into the slots of the configuration */
  uint32_t slot;
  struct token_bucket token_bucket;
  bool in_use; /* named by the configuration being applied */
  struct bucket *next;
};

/* Unused tokens borrowed from another host. */
struct borrowed
{
  uint64_t nonce;
  char *holder;
  uint32_t slot;
  uint32_t tokens;
  int64_t asked_ms; /* when the ask was sent; the loan period starts then */
};

/* Rate limit state of one customer.  Owned by the limiter. */
struct customer_limit
{
  char *name;
  uint64_t hash;          /* of the name */
  struct bucket *buckets; /* of the slots that this host holds */
  struct slot_part parts[MAX_PARTS];
  uint32_t part_count;
  struct borrowed borrowed;
  int64_t rate_milli; /* thousandths of a token per second */
  int64_t burst;
  int64_t params_changed_ms; /* when rate or burst last changed; 0 for never */
  uint32_t window_requests;  /* requests in the current batch window */
  int64_t batch_window_start_ms;
  uint32_t next_part; /* part that the next request asks first */
};

/* A request that waits for a token.  Owned by the limiter. */
struct limiter_wait
{
  struct limiter *limiter;
  struct customer_limit *customer;
  limiter_handler *handle;
  void *data;
  uint64_t nonce; /* nonce of the outstanding ask; 0 for none */
  char *holder;   /* host that was asked last */
  uint32_t slot;
  uint32_t position;   /* index into the sequence of parts to ask */
  uint32_t asks_sent;  /* since the last retry */
  uint32_t first_part; /* part that the sequence starts with */
  int64_t asked_ms;
  int64_t started_ms;
  int64_t retry_at_ms; /* 0 while an ask is outstanding */
  int64_t min_wait_ms; /* shortest wait that a holder reported; -1 for none */
  struct limiter_wait *next;
};

struct limiter
{
  struct server *server;
  GHashTable *customers; /* name to struct customer_limit */
  struct limiter_wait *waits;
};

/* Frees all buckets, or with ONLY_UNUSED those that are not in use.  */
static void
free_buckets (struct customer_limit *customer, bool only_unused)
{
  struct bucket **slot = &customer->buckets;

  while (*slot)
    {
      struct bucket *bucket = *slot;

      if (only_unused && bucket->in_use)
        {
          slot = &bucket->next;
          continue;
        }
      *slot = bucket->next;
      free (bucket);
    }
}

static void
customer_destroy (void *pointer)
{
  struct customer_limit *customer = pointer;

  free_buckets (customer, false);
  free (customer->borrowed.holder);
  free (customer->name);
  free (customer);
}

static struct bucket *
find_bucket (const struct customer_limit *customer, uint32_t dc, uint32_t slot)
{
  for (struct bucket *b = customer->buckets; b; b = b->next)
    if (b->dc == dc && b->slot == slot)
      return b;
  return NULL;
}

/* Creates or updates the bucket of a slot that this host holds.  The previous
   holder of a slot drops its bucket before the slot moves, so a bucket that is
   new on this host can be filled at once, except shortly after a change of
   rate or burst: other hosts may still use the old parameters then.  */
static void
update_bucket (struct customer_limit *customer, const struct slot_part *part,
               int64_t now_ms)
{
  struct bucket *bucket = find_bucket (customer, part->dc, part->slot);
  int64_t settle_ms = TOKEN_BUCKET_SETTLE_MS;

  if (!bucket)
    {
      bucket = xcalloc (1, sizeof *bucket);
      bucket->dc = part->dc;
      bucket->slot = part->slot;
      token_bucket_init (&bucket->token_bucket, now_ms);
      bucket->next = customer->buckets;
      customer->buckets = bucket;
      settle_ms
          = customer->params_changed_ms
                ? customer->params_changed_ms + TOKEN_BUCKET_SETTLE_MS - now_ms
                : 0;
      if (settle_ms < 0)
        settle_ms = 0;
    }
  bucket->in_use = true;
  token_bucket_configure (&bucket->token_bucket, part->rate_utokens_per_s,
                          part->capacity_utokens, settle_ms, now_ms);
}

static void
update_params (struct customer_limit *customer, int64_t rate_milli,
               int64_t burst, bool is_new, int64_t now_ms)
{
  if (!is_new
      && (customer->rate_milli != rate_milli || customer->burst != burst))
    customer->params_changed_ms = now_ms;
  customer->rate_milli = rate_milli;
  customer->burst = burst;
}

static void
apply_customer (struct limiter *limiter, const struct config_customer *config,
                const struct slots_dc *dcs, uint32_t dc_count)
{
  const struct server *server = limiter->server;
  struct customer_limit *customer
      = g_hash_table_lookup (limiter->customers, config->name);
  bool is_new = customer == NULL;
  int64_t now_ms = clock_now_ms ();

  if (is_new)
    {
      customer = xcalloc (1, sizeof *customer);
      customer->name = xstrdup (config->name);
      customer->hash = id_hash_text (config->name);
      g_hash_table_insert (limiter->customers, customer->name, customer);
    }
  update_params (customer,
                 config->params.rate_per_minute * MILLI / SECONDS_PER_MINUTE,
                 config->params.burst, is_new, now_ms);
  customer->part_count = slots_for_customer (
      dcs, dc_count, customer->hash, customer->rate_milli, customer->burst,
      customer->parts, MAX_PARTS);
  for (struct bucket *b = customer->buckets; b; b = b->next)
    b->in_use = false;
  for (uint32_t i = 0; i < customer->part_count; i++)
    {
      const struct slot_part *part = &customer->parts[i];

      if (server->config->slots[part->dc].holders[part->slot]
          == server->process)
        update_bucket (customer, part, now_ms);
    }
  free_buckets (customer, true);
}

static gboolean
customer_is_removed (gpointer name, gpointer customer, gpointer config)
{
  return config_find_customer (config, name) == NULL;
}

static void
fail_waits_of_removed_customers (struct limiter *limiter)
{
  struct limiter_wait *wait = limiter->waits;

  while (wait)
    {
      struct limiter_wait *next = wait->next;

      if (!config_find_customer (limiter->server->config,
                                 wait->customer->name))
        {
          limiter_handler *handle = wait->handle;
          void *data = wait->data;
          struct error error;

          limiter_cancel (wait);
          error_set (&error, ERROR_FORBIDDEN, RUN_NOT_RUN,
                     "the customer no longer exists; ask the operator");
          handle (data, &error);
        }
      wait = next;
    }
}

/* Applies the customers' parameters and the slots' holders of the current
   configuration.  */
void
limiter_apply (struct limiter *limiter)
{
  const struct config *config = limiter->server->config;
  struct slots_dc dcs[SLOTS_MAX_DCS];
  uint32_t dc_count = 0;

  for (size_t i = 0; i < config->slot_table_count && dc_count < SLOTS_MAX_DCS;
       i++)
    dcs[dc_count++] = (struct slots_dc){ .dc_hash = config->slots[i].dc_hash,
                                         .slot_count = SLOTS_PER_DC };
  for (size_t i = 0; i < config->customer_count; i++)
    apply_customer (limiter, &config->customers[i], dcs, dc_count);
  fail_waits_of_removed_customers (limiter);
  g_hash_table_foreach_remove (limiter->customers, customer_is_removed,
                               (void *)(uintptr_t)config);
}

/* Creates the limiter of SERVER.  */
struct limiter *
limiter_create (struct server *server)
{
  struct limiter *limiter = xcalloc (1, sizeof *limiter);

  limiter->server = server;
  limiter->customers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                              customer_destroy);
  return limiter;
}

static void
wait_destroy (struct limiter_wait *wait)
{
  struct limiter_wait **slot = &wait->limiter->waits;

  while (*slot && *slot != wait)
    slot = &(*slot)->next;
  if (*slot)
    *slot = wait->next;
  free (wait->holder);
  free (wait);
}

/* Frees the limiter and all waits without calling any handler.  */
void
limiter_destroy (struct limiter *limiter)
{
  if (!limiter)
    return;
  while (limiter->waits)
    wait_destroy (limiter->waits);
  g_hash_table_destroy (limiter->customers);
  free (limiter);
}

static bool
take_local_token (struct customer_limit *customer, int64_t now_ms)
{
  for (struct bucket *b = customer->buckets; b; b = b->next)
    if (token_bucket_take (&b->token_bucket, UTOKENS_PER_TOKEN, now_ms))
      return true;
  return false;
}

static void
send_confirm (struct limiter *limiter, const char *host, const char *customer,
              uint32_t slot, uint64_t nonce, uint32_t unused)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LimitConfirm confirm = PEER__LIMIT_CONFIRM__INIT;

  confirm.nonce = nonce;
  confirm.customer = (char *)(uintptr_t)customer;
  confirm.slot = slot;
  confirm.unused_tokens = unused;
  frame.body_case = PEER__FRAME__BODY_LIMIT_CONFIRM;
  frame.limit_confirm = &confirm;
  mesh_send (limiter->server->mesh, host, &frame);
}

/* Returns the unused borrowed tokens to their holder, if there are any.  */
static void
return_borrowed (struct limiter *limiter, struct customer_limit *customer)
{
  if (customer->borrowed.holder)
    send_confirm (limiter, customer->borrowed.holder, customer->name,
                  customer->borrowed.slot, customer->borrowed.nonce,
                  customer->borrowed.tokens);
  free (customer->borrowed.holder);
  customer->borrowed = (struct borrowed){ 0 };
}

/* Takes a token from the unused borrowed ones.  An expired loan must not be
   used: its holder may have counted it as spent
   and refilled the bucket.  */
static bool
take_borrowed_token (struct limiter *limiter, struct customer_limit *customer,
                     int64_t now_ms)
{
  struct borrowed *borrowed = &customer->borrowed;

  if (!borrowed->holder)
    return false;
  if (now_ms - borrowed->asked_ms >= TOKEN_BUCKET_LOAN_MS)
    {
      return_borrowed (limiter, customer);
      return false;
    }
  if (borrowed->tokens == 0)
    return false;
  borrowed->tokens--;
  if (borrowed->tokens == 0)
    return_borrowed (limiter, customer);
  return true;
}

static void
count_request (struct customer_limit *customer, int64_t now_ms)
{
  if (now_ms - customer->batch_window_start_ms >= BATCH_WINDOW_MS)
    {
      customer->batch_window_start_ms = now_ms;
      customer->window_requests = 0;
    }
  customer->window_requests++;
}

static uint32_t
batch_size (const struct customer_limit *customer)
{
  uint32_t wanted
      = customer->window_requests > 0 ? customer->window_requests : 1;

  return wanted < MAX_BATCH_TOKENS ? wanted : MAX_BATCH_TOKENS;
}

/* Returns the reachable holder to ask next and its PART, or NULL when none is
   left.  The first round covers the
   parts in the local data centre, the second round those in the others.  */
static const struct config_host *
next_holder (struct limiter_wait *wait, const struct slot_part **part)
{
  const struct server *server = wait->limiter->server;
  const struct customer_limit *customer = wait->customer;

  while (wait->position < 2 * customer->part_count
         && wait->asks_sent < MAX_ASKS)
    {
      uint32_t at = (wait->first_part + wait->position) % customer->part_count;
      bool local_round = wait->position < customer->part_count;
      const struct config_slots *slots;
      const struct config_host *host;

      wait->position++;
      *part = &customer->parts[at];
      slots = &server->config->slots[(*part)->dc];
      if (local_round != (slots->dc_hash == server->dc_hash)
          || slots->holders[(*part)->slot] == server->process)
        continue;
      host = server_find_host_of_process (server,
                                          slots->holders[(*part)->slot]);
      if (!host || mesh_is_suspect (server->mesh, host->name))
        continue;
      wait->asks_sent++;
      return host;
    }
  return NULL;
}

static bool
send_ask (struct limiter_wait *wait, const struct config_host *host,
          const struct slot_part *part, int64_t now_ms)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LimitAsk request = PEER__LIMIT_ASK__INIT;

  wait->nonce = id_random64 ();
  free (wait->holder);
  wait->holder = xstrdup (host->name);
  wait->slot = part->slot;
  wait->asked_ms = now_ms;
  wait->retry_at_ms = 0;
  request.nonce = wait->nonce;
  request.customer = wait->customer->name;
  request.slot = part->slot;
  request.tokens = batch_size (wait->customer);
  frame.body_case = PEER__FRAME__BODY_LIMIT_ASK;
  frame.limit_ask = &request;
  counter_add (COUNTER_TOKEN_PULLS, 1);
  return mesh_send (wait->limiter->server->mesh, host->name, &frame);
}

/* Asks the next reachable holder.  Returns false when none is left.  */
static bool
ask_next_holder (struct limiter_wait *wait, int64_t now_ms)
{
  const struct slot_part *part = NULL;
  const struct config_host *host;

  while ((host = next_holder (wait, &part)))
    if (send_ask (wait, host, part, now_ms))
      return true;
  return false;
}

static void
record_wait_time (struct limiter_wait *wait, int64_t wait_ms)
{
  if (wait_ms < 0)
    return;
  if (wait->min_wait_ms < 0 || wait_ms < wait->min_wait_ms)
    wait->min_wait_ms = wait_ms;
}

static void
record_local_wait_times (struct limiter_wait *wait, int64_t now_ms)
{
  for (struct bucket *b = wait->customer->buckets; b; b = b->next)
    record_wait_time (wait, token_bucket_wait_ms (&b->token_bucket,
                                                  UTOKENS_PER_TOKEN, now_ms));
}

static void
admit_wait (struct limiter_wait *wait)
{
  limiter_handler *handle = wait->handle;
  void *data = wait->data;

  wait_destroy (wait);
  handle (data, NULL);
}

static void
reject_wait (struct limiter_wait *wait)
{
  limiter_handler *handle = wait->handle;
  void *data = wait->data;
  struct error error;

  error_set (
      &error, ERROR_RATE_LIMITED, RUN_NOT_RUN,
      "the customer exceeds its rate limit; retry after the given time");
  error.retry_after_ms
      = wait->min_wait_ms > 0 ? (uint32_t)wait->min_wait_ms : MILLI;
  wait_destroy (wait);
  handle (data, &error);
}

/* Called when no holder has a token now.  Waits for the next refill if it
   falls within the admission timeout, otherwise rejects the request at
   once.  */
static void
wait_or_reject (struct limiter_wait *wait, int64_t now_ms)
{
  int64_t remaining_ms = wait->started_ms + ADMIT_WAIT_MS - now_ms;

  record_local_wait_times (wait, now_ms);
  if (wait->min_wait_ms < 0 || wait->min_wait_ms > remaining_ms)
    {
      reject_wait (wait);
      return;
    }
  wait->nonce = 0;
  wait->retry_at_ms = now_ms + wait->min_wait_ms;
  wait->min_wait_ms = -1;
  wait->position = 0;
  wait->asks_sent = 0;
}

/* Admits the waiting request if a token is available on this host now,
   otherwise asks the next holder.  */
static void
resume_wait (struct limiter_wait *wait)
{
  struct limiter *limiter = wait->limiter;
  int64_t now_ms = clock_now_ms ();

  if (take_local_token (wait->customer, now_ms)
      || take_borrowed_token (limiter, wait->customer, now_ms))
    {
      admit_wait (wait);
      return;
    }
  if (!ask_next_holder (wait, now_ms))
    wait_or_reject (wait, now_ms);
}

/* Requests one token from CUSTOMER's rate limit.  Returns NULL when HANDLE was
   called before the function returned.  */
struct limiter_wait *
limiter_admit (struct limiter *limiter, const char *customer,
               limiter_handler *handle, void *data)
{
  struct customer_limit *found
      = g_hash_table_lookup (limiter->customers, customer);
  struct limiter_wait *wait;
  int64_t now_ms = clock_now_ms ();
  struct error error;

  if (!found)
    {
      error_set (&error, ERROR_FORBIDDEN, RUN_NOT_RUN,
                 "the customer no longer exists; ask the operator");
      handle (data, &error);
      return NULL;
    }
  count_request (found, now_ms);
  if (take_local_token (found, now_ms)
      || take_borrowed_token (limiter, found, now_ms))
    {
      handle (data, NULL);
      return NULL;
    }
  wait = xcalloc (1, sizeof *wait);
  wait->limiter = limiter;
  wait->customer = found;
  wait->handle = handle;
  wait->data = data;
  wait->started_ms = now_ms;
  wait->min_wait_ms = -1;
  wait->first_part = found->next_part++;
  wait->next = limiter->waits;
  limiter->waits = wait;
  if (!ask_next_holder (wait, now_ms))
    wait->retry_at_ms = now_ms + 1;
  return wait;
}

/* Cancels WAIT without calling its handler.  */
void
limiter_cancel (struct limiter_wait *wait)
{
  wait_destroy (wait);
}

static void
handle_loan (struct limiter *limiter, const char *host,
             const Peer__LimitLoan *loan)
{
  struct limiter_wait *wait = limiter->waits;
  struct customer_limit *customer;
  int64_t now_ms = clock_now_ms ();
  uint32_t tokens = loan->tokens;
  uint32_t slot;
  int64_t asked_ms;

  while (wait && wait->nonce != loan->nonce)
    wait = wait->next;
  /* A loan that arrives after its wait has ended is ignored: its holder counts
     it as spent.  */
  if (!wait || !wait->holder || strcmp (wait->holder, host) != 0)
    return;
  record_wait_time (wait, loan->wait_ms);
  if (tokens == 0 || now_ms - wait->asked_ms >= TOKEN_BUCKET_LOAN_MS)
    {
      resume_wait (wait);
      return;
    }
  counter_add (COUNTER_TOKEN_GRANTS, tokens);
  customer = wait->customer;
  slot = wait->slot;
  asked_ms = wait->asked_ms;
  tokens--;
  if (tokens > 0)
    {
      return_borrowed (limiter, customer);
      customer->borrowed = (struct borrowed){ .nonce = loan->nonce,
                                              .holder = xstrdup (host),
                                              .slot = slot,
                                              .tokens = tokens,
                                              .asked_ms = asked_ms };
    }
  else
    send_confirm (limiter, host, customer->name, slot, loan->nonce, 0);
  admit_wait (wait);
}

static void
handle_ask (struct limiter *limiter, const char *host,
            const Peer__LimitAsk *ask)
{
  struct customer_limit *customer
      = g_hash_table_lookup (limiter->customers, ask->customer);
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LimitLoan loan = PEER__LIMIT_LOAN__INIT;
  int64_t now_ms = clock_now_ms ();

  loan.nonce = ask->nonce;
  loan.wait_ms = -1;
  for (struct bucket *b = customer ? customer->buckets : NULL; b; b = b->next)
    {
      const struct config_slots *slots
          = &limiter->server->config->slots[b->dc];

      if (b->slot != ask->slot || slots->dc_hash != limiter->server->dc_hash)
        continue;
      loan.tokens
          = (uint32_t)(token_bucket_lend (
                           &b->token_bucket, ask->nonce,
                           (int64_t)ask->tokens * UTOKENS_PER_TOKEN, now_ms)
                       / UTOKENS_PER_TOKEN);
      loan.wait_ms
          = token_bucket_wait_ms (&b->token_bucket, UTOKENS_PER_TOKEN, now_ms);
    }
  frame.body_case = PEER__FRAME__BODY_LIMIT_LOAN;
  frame.limit_loan = &loan;
  mesh_send (limiter->server->mesh, host, &frame);
}

static void
handle_confirm (struct limiter *limiter, const Peer__LimitConfirm *confirm)
{
  struct customer_limit *customer
      = g_hash_table_lookup (limiter->customers, confirm->customer);

  for (struct bucket *b = customer ? customer->buckets : NULL; b; b = b->next)
    if (b->slot == confirm->slot)
      token_bucket_confirm (&b->token_bucket, confirm->nonce,
                            (int64_t)confirm->unused_tokens
                                * UTOKENS_PER_TOKEN,
                            clock_now_ms ());
}

/* Handles rate limit frames and ignores all others.  */
void
limiter_handle_frame (struct limiter *limiter, const char *host,
                      const Peer__Frame *frame)
{
  if (frame->body_case == PEER__FRAME__BODY_LIMIT_ASK)
    handle_ask (limiter, host, frame->limit_ask);
  else if (frame->body_case == PEER__FRAME__BODY_LIMIT_LOAN)
    handle_loan (limiter, host, frame->limit_loan);
  else if (frame->body_case == PEER__FRAME__BODY_LIMIT_CONFIRM)
    handle_confirm (limiter, frame->limit_confirm);
}

static bool
is_due (const struct limiter_wait *wait, int64_t now_ms)
{
  if (wait->retry_at_ms)
    return now_ms >= wait->retry_at_ms;
  return now_ms - wait->asked_ms >= ASK_TIMEOUT_MS;
}

/* Resumes waits whose ask has timed out or whose retry time has come, and
   returns the borrowed tokens of customers without recent requests.  */
void
limiter_tick (struct limiter *limiter, int64_t now_ms)
{
  struct limiter_wait *wait = limiter->waits;
  GHashTableIter iter;
  void *pointer;

  while (wait)
    {
      struct limiter_wait *next = wait->next;

      if (is_due (wait, now_ms))
        resume_wait (wait);
      wait = next;
    }
  g_hash_table_iter_init (&iter, limiter->customers);
  while (g_hash_table_iter_next (&iter, NULL, &pointer))
    {
      struct customer_limit *customer = pointer;

      if (customer->borrowed.holder
          && now_ms - customer->batch_window_start_ms
                 > INT64_C (2) * BATCH_WINDOW_MS)
        return_borrowed (limiter, customer);
    }
}

/* Returns the buckets on this host as a new reference.  */
json_t *
limiter_to_json (const struct limiter *limiter)
{
  json_t *root = json_object ();
  GHashTableIter iter;
  void *name;
  void *pointer;

  g_hash_table_iter_init (&iter, limiter->customers);
  while (g_hash_table_iter_next (&iter, &name, &pointer))
    {
      const struct customer_limit *customer = pointer;
      json_t *buckets = json_array ();

      for (const struct bucket *b = customer->buckets; b; b = b->next)
        json_array_append_new (
            buckets, json_pack ("{s:i, s:I, s:I, s:I, s:I, s:b}", "slot",
                                (int)b->slot, "rate_utokens_per_s",
                                (json_int_t)b->token_bucket.rate_utokens_per_s,
                                "capacity_utokens",
                                (json_int_t)b->token_bucket.capacity_utokens,
                                "level_utokens",
                                (json_int_t)b->token_bucket.level_utokens,
                                "lent_utokens",
                                (json_int_t)b->token_bucket.lent_utokens,
                                "rising", b->token_bucket.is_pending));
      json_object_set_new (root, name, buckets);
    }
  return root;
}
