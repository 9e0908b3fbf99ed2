// One branch, three processes that may each believe that they own it, and
// callers that retry. A call that is not idempotent runs at most once, and
// never after it was reported as not run.
#include "properties.h"
#include <map>
#include <rapidcheck.h>
#include <set>
#include <vector>
extern "C"
{
#include "policy/turn.h"
}

namespace
{

constexpr int PROCESSES = 3;

struct step
{
  int process;
  int cursor;  // index into the cursors issued so far
  int request; // index of the caller's request
  bool finishes;
  bool reload;
};

struct process
{
  branch state;
  uint64_t incarnation = 0; // 0: the program is not in memory
};

// The state of all journals: which loads are fenced, and which positions have
// a recorded intent.
struct scenario
{
  process processes[PROCESSES];
  uint64_t incarnations = 0;
  std::vector<cursor> cursors;
  std::map<std::pair<uint64_t, uint32_t>, int> executions; // by cursor
  std::set<std::pair<uint64_t, uint32_t> > reported_not_run;
  std::set<uint64_t> fenced;
  std::set<std::pair<uint64_t, uint32_t> > intents;
  std::vector<std::pair<uint32_t, uint64_t> > records; // turn and hash

  void
  issue_cursor (const process &from)
  {
    cursor next = {};

    next.turn = from.state.next_turn;
    next.incarnation = from.incarnation;
    next.history_hash = from.state.history_hash;
    next.journaled = true;
    cursors.push_back (next);
  }

  // Loads the branch at the cursor's position, with a new incarnation.
  void
  load (process &process, const cursor &cursor)
  {
    process.incarnation = ++incarnations;
    process.state = {};
    process.state.next_turn = cursor.turn;
    process.state.history_hash = cursor.history_hash;
  }

  void
  execute (process &process, const cursor &cursor, uint64_t request,
           bool finishes)
  {
    auto position = std::make_pair (cursor.incarnation, cursor.turn);

    // The journal rejects intents of a load that another process has fenced.
    if (fenced.count (process.incarnation))
      {
        process.incarnation = 0;
        return;
      }
    intents.insert (position);
    RC_ASSERT (!reported_not_run.count (position));
    RC_ASSERT (++executions[position] == 1);
    turn_begin (&process.state, request);
    if (finishes)
      {
        turn_finish (&process.state, cursor.history_hash * 31 + request + 1);
        issue_cursor (process);
      }
    else
      {
        turn_close (&process.state, request);
        issue_cursor (process);
      }
  }

  void
  resolve (process &process, const cursor &cursor, uint64_t request)
  {
    auto position = std::make_pair (cursor.incarnation, cursor.turn);

    fenced.insert (cursor.incarnation);
    if (!intents.count (position))
      reported_not_run.insert (position);
    turn_begin (&process.state, request);
    turn_close (&process.state, request);
    issue_cursor (process);
  }

  void
  run (const step &step)
  {
    process &process = processes[step.process];
    const cursor cursor
        = cursors[static_cast<size_t> (step.cursor) % cursors.size ()];
    uint64_t request = static_cast<uint64_t> (step.request);

    if (step.reload || process.incarnation == 0)
      load (process, cursor);
    switch (turn_decide (&process.state, &cursor, process.incarnation, false,
                         request))
      {
      case TURN_RUN:
        execute (process, cursor, request, step.finishes);
        break;
      case TURN_RESOLVE:
        resolve (process, cursor, request);
        break;
      case TURN_RELOAD:
        load (process, cursor);
        break;
      case TURN_JOIN:
      case TURN_REPLAY:
      case TURN_OUTCOME_UNKNOWN:
      case TURN_BUSY:
      case TURN_STALE:
      case TURN_MISMATCH:
        break;
      }
  }
};

rc::Gen<step>
any_step ()
{
  return rc::gen::build<step> (
      rc::gen::set (&step::process, rc::gen::inRange (0, PROCESSES)),
      rc::gen::set (&step::cursor, rc::gen::inRange (0, 1000)),
      rc::gen::set (&step::request, rc::gen::inRange (0, 3)),
      rc::gen::set (&step::finishes, rc::gen::arbitrary<bool> ()),
      rc::gen::set (&step::reload, rc::gen::weightedElement<bool> (
                                       { { 4, false }, { 1, true } })));
}

} // namespace

bool
check_turn ()
{
  return rc::check (
      "a cursor's call runs at most once, and never after it "
      "was reported as not run",
      [] {
        scenario scenario;

        scenario.load (scenario.processes[0], cursor{});
        scenario.issue_cursor (scenario.processes[0]);
        for (const step &step :
             *rc::gen::container<std::vector<struct step> > (any_step ()))
          scenario.run (step);
      });
}
