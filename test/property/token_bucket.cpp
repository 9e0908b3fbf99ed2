// The buckets of a customer admit at most burst + rate x time over any
// interval, even if messages are lost or late, hosts are paused, or limits are
// reconfigured.
#include "properties.h"
#include <cmath>
#include <map>
#include <rapidcheck.h>
#include <vector>
extern "C"
{
#include "policy/token_bucket.h"
}

namespace
{

constexpr int64_t ONE_TOKEN = UTOKENS_PER_TOKEN;
constexpr int BUCKETS = 3;
constexpr int BORROWERS = 3;

enum class event
{
  take,
  ask,
  answer_lost, // the loan is made, but the borrower does not learn of it
  confirm,
  confirm_lost,
  pause,   // of all hosts, for longer
  lower,   // halves rate and capacity
  restore, // undoes it
};

struct step
{
  event what;
  int bucket;
  int borrower;
  int64_t wait_ms;
  int64_t tokens;
};

struct loan
{
  int bucket;
  uint64_t nonce;
  int64_t left; // whole tokens
  int64_t requested_ms;
};

// All buckets of one customer, and the hosts that borrow from them.
struct fleet
{
  token_bucket buckets[BUCKETS];
  int64_t rate;
  int64_t capacity;
  int64_t now_ms = 0;
  uint64_t nonce = 0;
  std::map<int, loan> borrowed;
  std::vector<std::pair<int64_t, int64_t> > admitted; // time, tokens

  fleet (int64_t rate_tokens, int64_t capacity_tokens)
      : rate (rate_tokens * ONE_TOKEN), capacity (capacity_tokens * ONE_TOKEN)
  {
    for (auto &bucket : buckets)
      {
        token_bucket_init (&bucket, 0);
        token_bucket_configure (&bucket, rate, capacity, 0, 0);
      }
  }

  void
  admit (int64_t tokens)
  {
    admitted.emplace_back (now_ms, tokens);
  }

  // A borrower may spend its loan until TOKEN_BUCKET_LOAN_MS after its
  // request.
  void
  spend_borrowed (int borrower)
  {
    auto found = borrowed.find (borrower);

    if (found == borrowed.end ())
      return;
    if (now_ms - found->second.requested_ms >= TOKEN_BUCKET_LOAN_MS)
      {
        borrowed.erase (found);
        return;
      }
    if (found->second.left > 0)
      {
        found->second.left--;
        admit (1);
      }
  }

  void
  run (const step &step)
  {
    token_bucket &bucket = buckets[step.bucket];

    now_ms += step.wait_ms;
    switch (step.what)
      {
      case event::take:
        if (token_bucket_take (&bucket, step.tokens * ONE_TOKEN, now_ms))
          admit (step.tokens);
        break;
      case event::ask:
        {
          int64_t got = token_bucket_lend (&bucket, ++nonce,
                                           step.tokens * ONE_TOKEN, now_ms);

          RC_ASSERT (got % ONE_TOKEN == 0);
          borrowed[step.borrower]
              = { step.bucket, nonce, got / ONE_TOKEN, now_ms };
          break;
        }
      case event::answer_lost:
        token_bucket_lend (&bucket, ++nonce, step.tokens * ONE_TOKEN, now_ms);
        break;
      case event::confirm:
        {
          auto found = borrowed.find (step.borrower);

          spend_borrowed (step.borrower);
          found = borrowed.find (step.borrower);
          if (found == borrowed.end ())
            break;
          token_bucket_confirm (&buckets[found->second.bucket],
                                found->second.nonce,
                                found->second.left * ONE_TOKEN, now_ms);
          borrowed.erase (found);
          break;
        }
      case event::confirm_lost:
        spend_borrowed (step.borrower);
        borrowed.erase (step.borrower);
        break;
      case event::pause:
        now_ms += step.wait_ms * 20;
        break;
      case event::lower:
        token_bucket_configure (&bucket, rate / 2, capacity / 2,
                                TOKEN_BUCKET_SETTLE_MS, now_ms);
        break;
      case event::restore:
        token_bucket_configure (&bucket, rate, capacity,
                                TOKEN_BUCKET_SETTLE_MS, now_ms);
        break;
      }
    for (auto &each : buckets)
      RC_ASSERT (each.level_utokens + each.lent_utokens <= capacity);
  }

  void
  check_intervals () const
  {
    for (size_t i = 0; i < admitted.size (); i++)
      {
        int64_t sum = 0;

        for (size_t j = i; j < admitted.size (); j++)
          {
            int64_t elapsed_ms = admitted[j].first - admitted[i].first;
            int64_t bound = BUCKETS * (capacity + rate * elapsed_ms / 1000);

            sum += admitted[j].second * ONE_TOKEN;
            RC_ASSERT (sum <= bound);
          }
      }
  }
};

rc::Gen<step>
any_step ()
{
  return rc::gen::build<step> (
      rc::gen::set (&step::what,
                    rc::gen::element (event::take, event::take, event::ask,
                                      event::ask, event::answer_lost,
                                      event::confirm, event::confirm_lost,
                                      event::pause, event::lower,
                                      event::restore)),
      rc::gen::set (&step::bucket, rc::gen::inRange (0, BUCKETS)),
      rc::gen::set (&step::borrower, rc::gen::inRange (0, BORROWERS)),
      rc::gen::set (&step::wait_ms, rc::gen::inRange<int64_t> (0, 400)),
      rc::gen::set (&step::tokens, rc::gen::inRange<int64_t> (1, 5)));
}

} // namespace

bool
check_token_bucket ()
{
  return rc::check ("admitted <= burst + rate x time over every interval", [] {
    // One draw a statement: the order in which arguments are evaluated, and
    // with it the cases of a seed, differ between compilers and builds.
    const int64_t rate_tokens = *rc::gen::inRange<int64_t> (1, 20);
    const int64_t capacity_tokens = *rc::gen::inRange<int64_t> (1, 12);
    fleet fleet (rate_tokens, capacity_tokens);

    for (const step &step :
         *rc::gen::container<std::vector<struct step> > (any_step ()))
      fleet.run (step);
    fleet.check_intervals ();
  });
}
