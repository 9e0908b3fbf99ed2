#include "policy/cold.h"
#include "policy/utokens.h"

enum
{
  MS_PER_S = 1000,
  MILLI = 1000,
  PERCENT = 100,
  /* Endpoints write their entries again and again; ends that differ by less
     are the same one. */
  SAME_END_MS = 250,
  /* A permit is used up to 250 ms after the question for it, so the sends of
     one second may have been permitted in this time. */
  PERMITTED_IN_MS = 1250,
  PRIMARY_BURST = 2, /* requests; one is kept for those that wait */
  SPARE_BURST = 1,
  /* Of what is left for the rates.  With the figures of the users, 20 requests
     a second, 1.5 and 5, that leaves the primary holder all of the 20. */
  PRIMARY_PERCENT = 80,
  SPARE_PERCENT = 40, /* of the tolerated rate, at most */
  MIN_RATE_MILLI = 200,
  /* Of the requests that may be sent again at the beginning of the return. */
  RETURN_START_PERCENT = 5,
};

/* Higher rates count as this one. */
static const int64_t MAX_RATE_MILLI = 1000000000;

static int64_t
min64 (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

static int64_t
max64 (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

/* Whether the endpoint is cold and its rate is limited for that.  */
bool
cold_is_active (const struct cold_state *state, int64_t now_ms)
{
  return state->rate_milli > 0 && now_ms < state->until_ms;
}

/* Whether a later entry tells of a cold time that ends later.  */
bool
cold_is_news (const struct cold_state *state, const struct cold_state *heard)
{
  return heard->revision > state->revision
         && heard->until_ms > state->until_ms + SAME_END_MS;
}

/* Adds what has been heard to STATE, whose times are of this host.  Returns
   whether that is news, as cold_is_news tells.  */
bool
cold_merge (struct cold_state *state, const struct cold_state *heard)
{
  bool is_news = cold_is_news (state, heard);

  if (heard->revision < state->revision || heard->revision <= 0)
    return false;
  if (heard->revision > state->revision)
    {
      int64_t rate_milli = state->rate_milli;

      *state = *heard;
      if (state->rate_milli <= 0)
        state->rate_milli = rate_milli;
      return is_news;
    }
  state->until_ms = min64 (state->until_ms, heard->until_ms);
  if (heard->rate_milli > 0
      && (state->rate_milli <= 0 || heard->rate_milli < state->rate_milli))
    state->rate_milli = heard->rate_milli;
  return false;
}

/* Divides what a cold endpoint that tolerates RATE_MILLI may get between its
   holders, so that both together keep the bound in each second, also when the
   spare one wrongly takes the primary one for dead.  */
struct cold_rates
cold_divide (int64_t rate_milli, const struct cold_bound *bound)
{
  int64_t rate = min64 (rate_milli, MAX_RATE_MILLI);
  int64_t allowed_milli
      = rate * bound->overrun_milli / MILLI + bound->slack_milli;
  int64_t left_milli
      = (allowed_milli - (int64_t)(PRIMARY_BURST + SPARE_BURST) * MILLI)
        * MS_PER_S / PERMITTED_IN_MS;
  struct cold_rates rates
      = { .primary_burst_utokens = (int64_t)PRIMARY_BURST * UTOKENS_PER_TOKEN,
          .spare_burst_utokens = (int64_t)SPARE_BURST * UTOKENS_PER_TOKEN };

  rates.primary_milli = max64 (
      min64 (rate, left_milli * PRIMARY_PERCENT / PERCENT), MIN_RATE_MILLI);
  rates.spare_milli = max64 (
      min64 (rate * SPARE_PERCENT / PERCENT, left_milli - rates.primary_milli),
      MIN_RATE_MILLI);
  return rates;
}

/* Returns the share of its requests that an endpoint may get SINCE_MS after
   the evacuation of its data centre has ended.  */
int64_t
cold_return_percent (int64_t since_ms)
{
  if (since_ms >= COLD_RETURN_MS)
    return PERCENT;
  return RETURN_START_PERCENT
         + max64 (since_ms, 0) * (PERCENT - RETURN_START_PERCENT)
               / COLD_RETURN_MS;
}
