/* Divides a customer's rate and burst over slots.

   Each data centre has a fixed number of slots, and each slot is held by at
   most one host process at a time (policy/holders.h).  The holder keeps the
   token bucket of the customer's part in that slot (policy/token_bucket.h). */
#ifndef GALENA_POLICY_SLOTS_H
#define GALENA_POLICY_SLOTS_H

#include <stddef.h>
#include <stdint.h>

enum
{
  SLOTS_MIN_TOKENS = 8, /* minimum burst of a slot, if the burst allows it */
  SLOTS_MAX_PER_DC = 64,
  SLOTS_MAX_DCS = 16,
};

/* A data centre and the number of its slots. */
struct slots_dc
{
  uint64_t dc_hash;
  uint32_t slot_count;
};

/* The part of a customer's rate and burst in one slot. */
struct slot_part
{
  uint32_t dc; /* index into the array of data centres */
  uint32_t slot;
  int64_t rate_utokens_per_s;
  int64_t capacity_utokens;
};

uint32_t slots_for_customer (const struct slots_dc *dcs, uint32_t dc_count,
                             uint64_t customer_hash, int64_t rate_milli,
                             int64_t burst_tokens, struct slot_part *parts,
                             uint32_t max_parts);

#endif
