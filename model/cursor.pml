/* Models cursors and program takeover, for one branch and one non-idempotent
   request.

   Three processes may each believe that they own the program.  They may crash,
   and pause between any two steps.  Every message ever sent may be redelivered
   to any process, and answers may be lost.  The platform may be unavailable.
   model/README.md maps the steps to the C functions.

   Faults that must be detected: -DFAULT_KEEP_TURN, -DFAULT_NO_INCARNATION,
   -DFAULT_NO_FENCE, -DFAULT_NO_INTENT, -DFAULT_JOURNALED_OUTAGE.  */

#define PROCESSES 3
#define TURNS 3
#define LOADS 4            /* incarnations 1 .. LOADS - 1 */
#define POSITIONS (LOADS * TURNS)
#define POS(incarnation, turn) ((incarnation) * TURNS + (turn))
#define NONE 255

bool sent[POSITIONS];         /* a message with this cursor is in flight */
bool journaled[POSITIONS];    /* cursor guarantees a recorded intent */
bool intent[POSITIONS];       /* recorded in the journal */
byte executions[POSITIONS];
bool answered_not_run[POSITIONS];
byte holder[LOADS];           /* process that runs an incarnation */
bool moved[PROCESSES];        /* fence in a process's journal */
bool recorded[PROCESSES];     /* the program has an entry in its journal */
byte loads = 1;               /* the next incarnation */
bool platform_up = true;      /* platform is available */
byte outages = 1;
byte crashes = 1;
byte request_executions;      /* executions of the caller's one request */
bool answered;                /* the caller will not send it again */
byte current = POS (1, 0);    /* the newest cursor that the caller has */

/* Delivers the answer to the message at CURSOR, with the new cursor FRESH.  The
   caller continues from its newest cursor only and ignores answers to older
   messages.  */
inline deliver_cursor (cursor, fresh)
{
  if
  :: !answered && current == cursor -> current = fresh; sent[fresh] = true
  :: else -> skip
  fi
}

inline seal (cursor, promise)
{
  journaled[cursor] = promise
}

/* Closes the turn and answers with a new cursor.  The answer may be lost.  */
inline close_turn (cursor, not_run)
{
  if
  :: not_run -> answered_not_run[cursor] = true
  :: else -> skip
  fi;
#ifdef FAULT_KEEP_TURN
  fresh = POS (self, next);
#else
  next = next + 1;
  fresh = POS (self, next);
#endif
  seal (fresh, platform_up && recorded[me]);
  if
  :: not_run -> deliver_cursor (cursor, fresh) /* the answer arrives */
  :: !not_run && current == cursor ->
       answered = true                /* the caller reads the outcome */
  :: true -> skip                     /* the answer is lost */
  fi
}

/* One execution at the service.  */
inline execute (cursor)
{
  executions[cursor] = executions[cursor] + 1;
  request_executions = request_executions + 1;
  assert (executions[cursor] <= 1);
  assert (!answered_not_run[cursor]);
  assert (request_executions <= 1);
  next = next + 1;
  if
  :: answered = true
  :: skip
  fi
}

/* attach_to_branch, begin_budget and record_intent.  */
inline begin (position)
{
  cursor = position;
  if
  :: !journaled[cursor] -> pending = cursor
  :: journaled[cursor] && platform_up && moved[me] -> self = 0
  :: journaled[cursor] && platform_up && !moved[me] ->
#ifndef FAULT_NO_INTENT
       intent[cursor] = true;
#endif
       pending = cursor
  :: journaled[cursor] && !platform_up ->
#ifdef FAULT_JOURNALED_OUTAGE
       pending = cursor
#else
       close_turn (cursor, true)
#endif
  fi
}

proctype Process (byte me; byte self)
{
  /* SELF is the incarnation in memory, 0 for none.  */
  byte next = 0;
  byte cursor;
  byte fresh;
  byte from;
  byte pending = NONE; /* a call between its intent and its dispatch */

  do
  :: /* crash */
     atomic { crashes > 0 && self != 0 -> crashes = crashes - 1; self = 0;
              pending = NONE }

  :: /* load_start, journal_take_over, restore */
     atomic {
       self == 0 && loads < LOADS && platform_up ->
       select (cursor : 0 .. (POSITIONS - 1));
       if
       :: sent[cursor] ->
            from = holder[cursor / TURNS];
#ifndef FAULT_NO_FENCE
            if
            :: from != me -> moved[from] = true
            :: else -> skip
            fi;
            /* fences every process that took over from FROM as well */
            byte other = 0;
            do
            :: other < PROCESSES ->
                 if
                 :: other != me && recorded[other] -> moved[other] = true
                 :: else -> skip
                 fi;
                 other = other + 1
            :: else -> break
            od;
#endif
            moved[me] = false;
            recorded[me] = true;
            self = loads;
            holder[self] = me;
            loads = loads + 1;
            next = cursor % TURNS
       :: else -> skip
       fi
     }

  :: /* turn_decide: TURN_RUN */
     atomic {
       (self != 0 && pending == NONE && next + 1 < TURNS &&
        sent[POS (self, next)]) ->
       begin (POS (self, next))
     }

#ifdef FAULT_NO_INCARNATION
  :: atomic {
       self != 0 && pending == NONE && next + 1 < TURNS ->
       select (from : 1 .. (LOADS - 1));
       if
       :: sent[POS (from, next)] -> begin (POS (from, next))
       :: else -> skip
       fi
     }
#endif

  :: /* dispatch, possibly after a pause */
     atomic {
       self != 0 && pending != NONE ->
       execute (pending);
       pending = NONE
     }

  :: /* turn_decide: TURN_RESOLVE; handle_outcome_resolved */
     atomic {
       self != 0 && pending == NONE && next + 1 < TURNS && platform_up && !moved[me] ->
       select (cursor : 0 .. (POSITIONS - 1));
       if
       :: sent[cursor] && cursor % TURNS == next && cursor / TURNS != self ->
            from = holder[cursor / TURNS];
            if
            :: from != me ->
#ifndef FAULT_NO_FENCE
                 moved[from] = true
#else
                 skip
#endif
            :: else -> skip
            fi;
            close_turn (cursor, journaled[cursor] && !intent[cursor])
       :: else -> skip
       fi
     }
  od
}

proctype Platform ()
{
  do
  :: atomic { platform_up && outages > 0 -> outages = outages - 1; platform_up = false }
  :: atomic { !platform_up -> platform_up = true }
  od
}

init
{
  atomic {
    /* program_open at process 0 */
    holder[1] = 0;
    loads = 2;
    recorded[0] = true;
    journaled[POS (1, 0)] = true;
    sent[POS (1, 0)] = true;
    run Process (0, 1);
    run Process (1, 0);
    run Process (2, 0);
    run Platform ()
  }
}
