#include "policy/token_bucket.h"
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
token_bucket_init (struct token_bucket *bucket, int64_t now_ms)
{
  memset (bucket, 0, sizeof *bucket);
  bucket->refilled_ms = now_ms;
}

/* Limits the level to the capacity that is not lent.  */
static void
clamp_level (struct token_bucket *bucket)
{
  int64_t available = bucket->capacity_utokens - bucket->lent_utokens;

  if (available < 0)
    available = 0;
  bucket->level_utokens = min64 (bucket->level_utokens, available);
}

/* Adds the refill up to UNTIL_MS.  */
static void
accrue (struct token_bucket *bucket, int64_t until_ms)
{
  int64_t elapsed_ms = until_ms - bucket->refilled_ms;
  int64_t fill_ms;

  if (elapsed_ms <= 0)
    return;
  bucket->refilled_ms = until_ms;
  if (bucket->rate_utokens_per_s <= 0)
    return;
  /* Time beyond a full bucket makes no difference; the cap prevents overflow.
   */
  fill_ms
      = bucket->capacity_utokens * MS_PER_S / bucket->rate_utokens_per_s + 1;
  elapsed_ms = min64 (elapsed_ms, fill_ms);
  bucket->remainder += elapsed_ms * bucket->rate_utokens_per_s;
  bucket->level_utokens += bucket->remainder / MS_PER_S;
  bucket->remainder %= MS_PER_S;
  clamp_level (bucket);
}

static void
remove_loan (struct token_bucket *bucket, uint32_t i)
{
  bucket->lent_utokens -= bucket->loans[i].utokens;
  bucket->loans[i] = bucket->loans[--bucket->loan_count];
}

static void
remove_expired (struct token_bucket *bucket, int64_t now_ms)
{
  for (uint32_t i = 0; i < bucket->loan_count;)
    if (bucket->loans[i].expires_ms <= now_ms)
      remove_loan (bucket, i);
    else
      i++;
}

/* Brings the bucket up to date: refill, pending parameters, expired loans.  */
static void
advance (struct token_bucket *bucket, int64_t now_ms)
{
  if (bucket->is_pending && bucket->pending_from_ms <= now_ms)
    {
      accrue (bucket, bucket->pending_from_ms);
      bucket->rate_utokens_per_s = bucket->pending_rate_utokens_per_s;
      bucket->capacity_utokens = bucket->pending_capacity_utokens;
      bucket->is_pending = false;
      clamp_level (bucket);
    }
  accrue (bucket, now_ms);
  remove_expired (bucket, now_ms);
}

/* Changes rate and capacity.  Decreases apply at once; increases after
   SETTLE_MS, when no host uses the old parameters any more.  */
void
token_bucket_configure (struct token_bucket *bucket,
                        int64_t rate_utokens_per_s, int64_t capacity_utokens,
                        int64_t settle_ms, int64_t now_ms)
{
  advance (bucket, now_ms);
  if (bucket->rate_utokens_per_s == rate_utokens_per_s
      && bucket->capacity_utokens == capacity_utokens)
    {
      bucket->is_pending = false;
      return;
    }
  if (bucket->is_pending
      && bucket->pending_rate_utokens_per_s == rate_utokens_per_s
      && bucket->pending_capacity_utokens == capacity_utokens)
    return;
  bucket->rate_utokens_per_s
      = min64 (bucket->rate_utokens_per_s, rate_utokens_per_s);
  bucket->capacity_utokens
      = min64 (bucket->capacity_utokens, capacity_utokens);
  clamp_level (bucket);
  bucket->pending_rate_utokens_per_s = rate_utokens_per_s;
  bucket->pending_capacity_utokens = capacity_utokens;
  bucket->pending_from_ms = now_ms + settle_ms;
  bucket->is_pending = true;
  advance (bucket, now_ms);
}

/* Takes UTOKENS for a request of this host.  Returns false if too few are
   left.  */
bool
token_bucket_take (struct token_bucket *bucket, int64_t utokens,
                   int64_t now_ms)
{
  advance (bucket, now_ms);
  if (bucket->level_utokens < utokens)
    return false;
  bucket->level_utokens -= utokens;
  return true;
}

/* Lends up to UTOKENS, in whole tokens, under the borrower's NONCE.  Returns
   the amount debited.  A repeated request with the same nonce gets the same
   loan.  */
int64_t
token_bucket_lend (struct token_bucket *bucket, uint64_t nonce,
                   int64_t utokens, int64_t now_ms)
{
  int64_t amount;

  advance (bucket, now_ms);
  for (uint32_t i = 0; i < bucket->loan_count; i++)
    if (bucket->loans[i].nonce == nonce)
      return bucket->loans[i].utokens;
  if (bucket->loan_count == TOKEN_BUCKET_MAX_LOANS)
    return 0;
  amount = min64 (utokens, bucket->level_utokens);
  amount -= amount % UTOKENS_PER_TOKEN;
  if (amount <= 0)
    return 0;
  bucket->level_utokens -= amount;
  bucket->lent_utokens += amount;
  bucket->loans[bucket->loan_count++]
      = (struct token_bucket_loan){ .nonce = nonce,
                                    .utokens = amount,
                                    .expires_ms
                                    = now_ms + TOKEN_BUCKET_LOAN_EXPIRY_MS };
  return amount;
}

/* Closes the loan of NONCE, of which the borrower returns UNUSED_UTOKENS.  Has
   no effect if the loan is unknown: it has expired and counts as spent.  */
void
token_bucket_confirm (struct token_bucket *bucket, uint64_t nonce,
                      int64_t unused_utokens, int64_t now_ms)
{
  advance (bucket, now_ms);
  for (uint32_t i = 0; i < bucket->loan_count; i++)
    {
      if (bucket->loans[i].nonce != nonce)
        continue;
      unused_utokens = min64 (unused_utokens, bucket->loans[i].utokens);
      remove_loan (bucket, i);
      if (unused_utokens > 0)
        bucket->level_utokens += unused_utokens;
      clamp_level (bucket);
      return;
    }
}

/* Returns the time in milliseconds until UTOKENS are available if nobody else
   takes any, or -1 if they never will be.  */
int64_t
token_bucket_wait_ms (struct token_bucket *bucket, int64_t utokens,
                      int64_t now_ms)
{
  int64_t missing;

  advance (bucket, now_ms);
  missing = utokens - bucket->level_utokens;
  if (missing <= 0)
    return 0;
  if (bucket->rate_utokens_per_s <= 0 || utokens > bucket->capacity_utokens)
    return -1;
  return missing * MS_PER_S / bucket->rate_utokens_per_s + 1;
}
