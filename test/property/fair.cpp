// Every policy returns each call exactly once, and the weighted policy starves
// no customer.
#include "properties.h"
#include <deque>
#include <rapidcheck.h>
#include <set>
#include <vector>
extern "C"
{
#include "policy/fair.h"
}

namespace
{

struct step
{
  int kind; // 0 push, 1 pop, 2 remove, 3 charge
  uint64_t customer;
  int64_t attained;
};

void
check_policy (const fair_policy *policy)
{
  fair_queue *queue = fair_create (policy);
  std::deque<fair_item> items;
  std::set<fair_item *> waiting;
  int64_t now_ms = 0;
  auto steps = *rc::gen::container<std::vector<step> > (rc::gen::build<step> (
      rc::gen::set (&step::kind,
                    rc::gen::weightedElement<int> (
                        { { 5, 0 }, { 4, 1 }, { 1, 2 }, { 2, 3 } })),
      rc::gen::set (&step::customer, rc::gen::inRange<uint64_t> (1, 6)),
      rc::gen::set (&step::attained, rc::gen::inRange<int64_t> (0, 100))));

  for (const step &step : steps)
    {
      now_ms += 500;
      if (step.kind == 0)
        {
          items.push_back ({});
          items.back ().customer = step.customer;
          items.back ().weight = 1;
          items.back ().attained = step.attained;
          items.back ().enqueued_ms = now_ms;
          fair_push (queue, &items.back ());
          waiting.insert (&items.back ());
        }
      else if (step.kind == 1)
        {
          fair_item *item = fair_pop (queue, now_ms);

          RC_ASSERT ((item == nullptr) == waiting.empty ());
          RC_ASSERT (!item || waiting.erase (item) == 1);
        }
      else if (step.kind == 2 && !waiting.empty ())
        {
          fair_remove (queue, *waiting.begin ());
          waiting.erase (waiting.begin ());
        }
      else
        fair_charge (queue, step.customer, 1, step.attained);
      RC_ASSERT (fair_count (queue) == waiting.size ());
    }
  fair_destroy (queue);
}

// A long program of a heavy customer waits while new ones keep arriving.
void
check_no_starvation ()
{
  fair_queue *queue = fair_create (&fair_weighted);
  std::deque<fair_item> items;
  fair_item old = {};
  int64_t pops = 0;
  bool served = false;

  old.customer = 1;
  old.weight = 1;
  old.attained = 1000000;
  fair_charge (queue, 1, 1, 1000000);
  fair_push (queue, &old);
  for (int64_t now_ms = 0; !served; now_ms += 100)
    {
      items.push_back ({});
      items.back ().customer
          = static_cast<uint64_t> (*rc::gen::inRange (1, 4));
      items.back ().weight = 1;
      items.back ().enqueued_ms = now_ms;
      fair_push (queue, &items.back ());
      served = fair_pop (queue, now_ms) == &old;
      RC_ASSERT (++pops
                 <= FAIR_AGE_BOUND_MS / 100 + 2 * FAIR_AGED_POP_INTERVAL + 2);
    }
  fair_destroy (queue);
}

} // namespace

bool
check_fair ()
{
  bool ok = true;

  for (const fair_policy *policy :
       { &fair_weighted, &fair_fcfs, &fair_round_robin, &fair_least_attained })
    ok = rc::check (std::string (policy->name)
                        + " returns each call exactly once",
                    [policy] { check_policy (policy); })
         && ok;
  return rc::check ("weighted starves no customer", check_no_starvation) && ok;
}
