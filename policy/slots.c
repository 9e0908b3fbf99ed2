#include "policy/slots.h"
#include "common/id.h"
#include "policy/token_bucket.h"
#include <stdlib.h>

enum
{
  UTOKENS_PER_MILLI = UTOKENS_PER_TOKEN / 1000,
};

/* The index of a data centre or slot, to be sorted by its weight. */
struct ranked
{
  uint64_t weight;
  uint32_t index;
};

static int
compare_ranked (const void *a, const void *b)
{
  const struct ranked *left = a;
  const struct ranked *right = b;

  if (left->weight != right->weight)
    return left->weight > right->weight ? -1 : 1;
  return left->index < right->index ? -1 : left->index > right->index;
}

static uint64_t
rendezvous_weight (uint64_t customer, uint64_t dc, uint64_t slot)
{
  uint64_t key[3] = { customer, dc, slot };

  return id_hash64 (key, sizeof key, 0);
}

/* Writes the data centres that have slots to OUT, by descending rendezvous
   weight for the customer.  Returns their number.  */
static uint32_t
rank_dcs (const struct slots_dc *dcs, uint32_t dc_count, uint64_t customer,
          struct ranked *out)
{
  uint32_t used = 0;

  for (uint32_t i = 0; i < dc_count && used < SLOTS_MAX_DCS; i++)
    {
      if (dcs[i].slot_count == 0)
        continue;
      out[used].index = i;
      out[used].weight = rendezvous_weight (customer, dcs[i].dc_hash, 0);
      used++;
    }
  qsort (out, used, sizeof *out, compare_ranked);
  return used;
}

/* Does the same with the slots of DC.  */
static uint32_t
rank_slots (const struct slots_dc *dc, uint64_t customer, struct ranked *out)
{
  uint32_t count
      = dc->slot_count < SLOTS_MAX_PER_DC ? dc->slot_count : SLOTS_MAX_PER_DC;

  for (uint32_t i = 0; i < count; i++)
    {
      out[i].index = i;
      out[i].weight = rendezvous_weight (customer, dc->dc_hash, i + 1);
    }
  qsort (out, count, sizeof *out, compare_ranked);
  return count;
}

/* Divides a customer's rate, RATE_MILLI thousandths of a token per second, and
   its burst.  Every data centre gets a part as long
   as the burst has a whole token for each, so that it can continue during a
   network partition.  Within a data centre, the part is divided over as many
   slots as can have SLOTS_MIN_TOKENS each.  The sums of the parts never exceed
   the rate and the burst.  Returns the number of PARTS written.  */
uint32_t
slots_for_customer (const struct slots_dc *dcs, uint32_t dc_count,
                    uint64_t customer_hash, int64_t rate_milli,
                    int64_t burst_tokens, struct slot_part *parts,
                    uint32_t max_parts)
{
  struct ranked dc_rank[SLOTS_MAX_DCS] = { 0 };
  struct ranked slot_rank[SLOTS_MAX_PER_DC] = { 0 };
  uint32_t written = 0;
  uint32_t used_dcs = rank_dcs (dcs, dc_count, customer_hash, dc_rank);

  if (burst_tokens < used_dcs)
    used_dcs = (uint32_t)burst_tokens;
  for (uint32_t i = 0; i < used_dcs; i++)
    {
      const struct slots_dc *dc = &dcs[dc_rank[i].index];
      int64_t dc_burst = burst_tokens * UTOKENS_PER_TOKEN / used_dcs;
      int64_t dc_rate = rate_milli * UTOKENS_PER_MILLI / used_dcs;
      uint32_t slots = rank_slots (dc, customer_hash, slot_rank);
      int64_t wanted
          = dc_burst / ((int64_t)SLOTS_MIN_TOKENS * UTOKENS_PER_TOKEN);

      if (wanted < 1)
        wanted = 1;
      if (wanted < slots)
        slots = (uint32_t)wanted;
      for (uint32_t j = 0; j < slots && written < max_parts; j++)
        parts[written++]
            = (struct slot_part){ .dc = dc_rank[i].index,
                                  .slot = slot_rank[j].index,
                                  .rate_utokens_per_s = dc_rate / slots,
                                  .capacity_utokens = dc_burst / slots };
    }
  return written;
}
