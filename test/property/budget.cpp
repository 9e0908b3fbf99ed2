// A program never exceeds its budget, with concurrent calls and takeovers by
// owners that only know the recorded grant.
#include "properties.h"
#include <rapidcheck.h>
#include <vector>
extern "C"
{
#include "policy/budget.h"
}

namespace
{

constexpr int OWNERS = 3;

struct step
{
  int kind; // 0 reserve, 1 settle, 2 take over
  int owner;
  int64_t tokens;
  int64_t used;
};

// Found by rapidcheck, which prints the steps of a case that fails.
void
showValue (const step &step, std::ostream &out)
{
  static const char *const KINDS[] = { "reserve", "settle", "take over" };

  out << KINDS[step.kind] << " owner " << step.owner << " tokens "
      << step.tokens << " used " << step.used;
}

struct owner
{
  budget state;
  std::vector<budget_amount> reserved;
  bool fenced = true; // cannot record another grant
};

struct scenario
{
  budget_amount limit;
  budget_amount recorded = {}; // the total grant, as a new owner reads it
  owner owners[OWNERS];
  // The most that calls may have used: their reservations, and what they used
  // once they are settled.
  int64_t tokens = 0;
  int64_t calls = 0;

  explicit scenario (int64_t tokens_limit, int64_t calls_limit)
      : limit{ tokens_limit, calls_limit, 0 }
  {
    // An owner that has read no record knows the limit only.
    for (auto &each : owners)
      budget_init (&each.state, limit);
    take_over (owners[0]);
  }

  // The previous owner may continue to spend its grant but cannot record
  // another.  What an owner reserved before it took over again stays counted:
  // the calls may have run.
  void
  take_over (owner &next)
  {
    for (auto &each : owners)
      each.fenced = true;
    next.fenced = false;
    next.reserved.clear ();
    budget_init (&next.state, limit);
    budget_restore (&next.state, recorded);
  }

  void
  reserve (owner &owner, int64_t amount_tokens)
  {
    budget_amount amount = { amount_tokens, 1, 0 };
    budget_verdict verdict = budget_reserve (&owner.state, amount);

    if (verdict == BUDGET_NEEDS_GRANT && !owner.fenced)
      {
        recorded = budget_next_grant (&owner.state, amount);
        budget_grant (&owner.state, recorded);
        verdict = budget_reserve (&owner.state, amount);
        RC_ASSERT (verdict == BUDGET_OK);
      }
    if (verdict != BUDGET_OK)
      return;
    owner.reserved.push_back (amount);
    tokens += amount.tokens;
    calls += amount.calls;
  }

  void
  settle (owner &owner, int64_t used)
  {
    if (owner.reserved.empty ())
      return;
    budget_amount amount = owner.reserved.back ();
    budget_amount actual
        = { used < amount.tokens ? used : amount.tokens, 1, 0 };

    owner.reserved.pop_back ();
    budget_settle (&owner.state, amount, actual);
    tokens -= amount.tokens - actual.tokens;
  }

  void
  run (const step &step)
  {
    owner &owner = owners[step.owner];

    if (step.kind == 0)
      reserve (owner, step.tokens);
    else if (step.kind == 1)
      settle (owner, step.used);
    else
      take_over (owner);
    RC_ASSERT (tokens <= limit.tokens);
    RC_ASSERT (calls <= limit.calls);
  }
};

} // namespace

bool
check_budget ()
{
  return rc::check ("spent <= limit over all owners together", [] {
    // One draw a statement: the order in which arguments are evaluated, and
    // with it the cases of a seed, differ between compilers and builds.
    const int64_t tokens_limit = *rc::gen::inRange<int64_t> (0, 200);
    const int64_t calls_limit = *rc::gen::inRange<int64_t> (0, 20);
    scenario scenario (tokens_limit, calls_limit);
    auto steps
        = *rc::gen::container<std::vector<step> > (rc::gen::build<step> (
            rc::gen::set (&step::kind, rc::gen::weightedElement<int> (
                                           { { 5, 0 }, { 5, 1 }, { 1, 2 } })),
            rc::gen::set (&step::owner, rc::gen::inRange (0, OWNERS)),
            rc::gen::set (&step::tokens, rc::gen::inRange<int64_t> (0, 40)),
            rc::gen::set (&step::used, rc::gen::inRange<int64_t> (0, 60))));

    for (const step &step : steps)
      scenario.run (step);
  });
}
