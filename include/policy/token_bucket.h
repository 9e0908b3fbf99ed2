/* One customer's token bucket in one slot (policy/slots.h), and the loans made
   from it.  Amounts are counted in utokens, millionths of a token.

   The customer's rate and burst are divided over slots.  Each slot has one
   holder, so the capacities of the buckets add up to the burst and their
   refill rates to the rate.  A host without tokens borrows from a holder.  The
   holder debits the loan before it answers and counts it against its capacity
   until the borrower has confirmed it, so level + lent never exceeds the
   capacity.  */
#ifndef GALENA_POLICY_TOKEN_BUCKET_H
#define GALENA_POLICY_TOKEN_BUCKET_H

#include "policy/utokens.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TOKEN_BUCKET_MAX_LOANS = 64, /* concurrent loans from one bucket */
  /* The borrower must use a loan within this time. */
  TOKEN_BUCKET_LOAN_MS = 1000,
  /* After this time the holder counts an unconfirmed loan as spent. */
  TOKEN_BUCKET_LOAN_EXPIRY_MS = 3000,
  /* A higher rate or capacity takes effect after this time, when no host uses
     the old ones any more. */
  TOKEN_BUCKET_SETTLE_MS = 20000,
};

/* A loan that the borrower has not confirmed yet. */
struct token_bucket_loan
{
  uint64_t nonce; /* chosen by the borrower, identifies the loan */
  int64_t utokens;
  int64_t expires_ms;
};

struct token_bucket
{
  int64_t rate_utokens_per_s;
  int64_t capacity_utokens;
  int64_t level_utokens;
  int64_t lent_utokens; /* sum of the loans */
  int64_t refilled_ms;  /* time up to which level_utokens accounts */
  int64_t remainder;    /* of the refill division, in utokens / 1000 */
  /* The rate and capacity that take effect at pending_from_ms. */
  int64_t pending_rate_utokens_per_s;
  int64_t pending_capacity_utokens;
  int64_t pending_from_ms;
  bool is_pending;
  struct token_bucket_loan loans[TOKEN_BUCKET_MAX_LOANS];
  uint32_t loan_count;
};

void token_bucket_init (struct token_bucket *bucket, int64_t now_ms);
void token_bucket_configure (struct token_bucket *bucket,
                             int64_t rate_utokens_per_s,
                             int64_t capacity_utokens, int64_t settle_ms,
                             int64_t now_ms);
bool token_bucket_take (struct token_bucket *bucket, int64_t utokens,
                        int64_t now_ms);
int64_t token_bucket_lend (struct token_bucket *bucket, uint64_t nonce,
                           int64_t utokens, int64_t now_ms);
void token_bucket_confirm (struct token_bucket *bucket, uint64_t nonce,
                           int64_t unused_utokens, int64_t now_ms);
int64_t token_bucket_wait_ms (struct token_bucket *bucket, int64_t utokens,
                              int64_t now_ms);

#endif
