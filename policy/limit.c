#include "policy/limit.h"
#include <string.h>

enum
{
  MS_PER_S = 1000,
};

static int64_t
min64 (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

/* Initializes an empty bucket.  A new holder starts without tokens, because
   the previous one may just have spent the whole burst.  */
void
token_bucket_init (struct token_bucket *limit, int64_t now_ms)
{
  memset (limit, 0, sizeof *limit);
  limit->refilled_ms = now_ms;
}

static void
clamp_level (struct token_bucket *limit)
{
  int64_t available = limit->capacity_utokens - limit->lent_utokens;

  if (available < 0)
    available = 0;
  limit->level_utokens = min64 (limit->level_utokens, available);
}

static void
accrue (struct token_bucket *limit, int64_t until_ms)
{
  int64_t elapsed_ms = until_ms - limit->refilled_ms;
  int64_t fill_ms;

  if (elapsed_ms <= 0)
    return;
  limit->refilled_ms = until_ms;
  if (limit->rate_utokens_per_s <= 0)
    return;
  /* Time beyond a full bucket makes no difference; the cap prevents overflow.
   */
  fill_ms = limit->capacity_utokens * MS_PER_S / limit->rate_utokens_per_s + 1;
  elapsed_ms = min64 (elapsed_ms, fill_ms);
  limit->remainder += elapsed_ms * limit->rate_utokens_per_s;
  limit->level_utokens += limit->remainder / MS_PER_S;
  limit->remainder %= MS_PER_S;
  clamp_level (limit);
}

static void
remove_loan (struct token_bucket *limit, uint32_t i)
{
  limit->lent_utokens -= limit->loans[i].utokens;
  limit->loans[i] = limit->loans[--limit->loan_count];
}

static void
remove_expired (struct token_bucket *limit, int64_t now_ms)
{
  for (uint32_t i = 0; i < limit->loan_count;)
    if (limit->loans[i].expires_ms <= now_ms)
      remove_loan (limit, i);
    else
      i++;
}

static void
advance (struct token_bucket *limit, int64_t now_ms)
{
  if (limit->is_pending && limit->pending_from_ms <= now_ms)
    {
      accrue (limit, limit->pending_from_ms);
      limit->rate_utokens_per_s = limit->pending_rate_utokens_per_s;
      limit->capacity_utokens = limit->pending_capacity_utokens;
      limit->is_pending = false;
      clamp_level (limit);
    }
  accrue (limit, now_ms);
  remove_expired (limit, now_ms);
}

/* Changes rate and capacity.  Decreases apply at once; increases after
   SETTLE_MS, when no host uses the old parameters any more.  */
void
token_bucket_configure (struct token_bucket *limit, int64_t rate_utokens_per_s,
                        int64_t capacity_utokens, int64_t settle_ms,
                        int64_t now_ms)
{
  advance (limit, now_ms);
  if (limit->rate_utokens_per_s == rate_utokens_per_s
      && limit->capacity_utokens == capacity_utokens)
    {
      limit->is_pending = false;
      return;
    }
  if (limit->is_pending
      && limit->pending_rate_utokens_per_s == rate_utokens_per_s
      && limit->pending_capacity_utokens == capacity_utokens)
    return;
  limit->rate_utokens_per_s
      = min64 (limit->rate_utokens_per_s, rate_utokens_per_s);
  limit->capacity_utokens = min64 (limit->capacity_utokens, capacity_utokens);
  clamp_level (limit);
  limit->pending_rate_utokens_per_s = rate_utokens_per_s;
  limit->pending_capacity_utokens = capacity_utokens;
  limit->pending_from_ms = now_ms + settle_ms;
  limit->is_pending = true;
  advance (limit, now_ms);
}

/* Takes UTOKENS for a request of this host.  Returns false if too few are
   left.  */
bool
token_bucket_take (struct token_bucket *limit, int64_t utokens, int64_t now_ms)
{
  advance (limit, now_ms);
  if (limit->level_utokens < utokens)
    return false;
  limit->level_utokens -= utokens;
  return true;
}

/* Lends up to UTOKENS, in whole tokens, under the borrower's NONCE.  Returns
   the amount debited.  A repeated request with the same nonce gets the same
   loan.  */
int64_t
token_bucket_lend (struct token_bucket *limit, uint64_t nonce, int64_t utokens,
                   int64_t now_ms)
{
  int64_t amount;

  advance (limit, now_ms);
  for (uint32_t i = 0; i < limit->loan_count; i++)
    if (limit->loans[i].nonce == nonce)
      return limit->loans[i].utokens;
  if (limit->loan_count == TOKEN_BUCKET_MAX_LOANS)
    return 0;
  amount = min64 (utokens, limit->level_utokens);
  amount -= amount % UTOKENS_PER_TOKEN;
  if (amount <= 0)
    return 0;
  limit->level_utokens -= amount;
  limit->lent_utokens += amount;
  limit->loans[limit->loan_count++]
      = (struct token_bucket_loan){ .nonce = nonce,
                                    .utokens = amount,
                                    .expires_ms
                                    = now_ms + TOKEN_BUCKET_LOAN_EXPIRY_MS };
  return amount;
}

/* Closes the loan of NONCE, of which the borrower returns UNUSED_UTOKENS.  An
   unknown nonce returns nothing, because its loan has expired.  */
void
token_bucket_confirm (struct token_bucket *limit, uint64_t nonce,
                      int64_t unused_utokens, int64_t now_ms)
{
  advance (limit, now_ms);
  for (uint32_t i = 0; i < limit->loan_count; i++)
    {
      if (limit->loans[i].nonce != nonce)
        continue;
      unused_utokens = min64 (unused_utokens, limit->loans[i].utokens);
      remove_loan (limit, i);
      if (unused_utokens > 0)
        limit->level_utokens += unused_utokens;
      clamp_level (limit);
      return;
    }
}

/* Returns the time in milliseconds until UTOKENS are available if nobody else
   takes any, or -1 if they never will be.  */
int64_t
token_bucket_wait_ms (struct token_bucket *limit, int64_t utokens,
                      int64_t now_ms)
{
  int64_t missing;

  advance (limit, now_ms);
  missing = utokens - limit->level_utokens;
  if (missing <= 0)
    return 0;
  if (limit->rate_utokens_per_s <= 0 || utokens > limit->capacity_utokens)
    return -1;
  return missing * MS_PER_S / limit->rate_utokens_per_s + 1;
}
