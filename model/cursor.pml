/* The cursor rule with takeover, for one branch and one request that must not
   be repeated.

   Three processes may each believe that they own the program.  They crash, and
   they pause between any two steps.  Every message that was ever sent may be
   delivered again to any process, and answers may be lost.  The platform may be
   out.  model/README.md maps the steps to the C functions.

   Faults that must be found: -DFAULT_KEEP_TURN, -DFAULT_NO_INCARNATION,
   -DFAULT_NO_FENCE, -DFAULT_NO_INTENT, -DFAULT_JOURNALED_OUTAGE.  */

#define PROCESSES 3
#define TURNS 3
#define LOADS 4            /* incarnations 1 .. LOADS - 1 */
#define POSITIONS (LOADS * TURNS)
#define POS(incarnation, turn) ((incarnation) * TURNS + (turn))
#define NONE 255

bool sent[POSITIONS];      /* a message with this cursor is under way */
bool journaled[POSITIONS]; /* what the cursor promises */
bool intent[POSITIONS];    /* recorded in the journal */
byte executions[POSITIONS];
bool said_not_run[POSITIONS];
byte holder[LOADS];        /* process of an incarnation */
bool moved[PROCESSES];     /* mark in a process's journal */
bool recorded[PROCESSES];  /* the program has an entry in its journal */
byte loads = 1;            /* the next incarnation */
bool up = true;            /* the platform */
byte outages = 1;
byte crashes = 1;
byte ran;                  /* executions of the caller's one request */
bool answered;             /* the caller will not send it again */
byte current = POS (1, 0); /* the newest cursor that the caller has */

/* An answer to the message at CURSOR arrives with the cursor FRESH: the caller
   goes on from its newest cursor only, so an answer to an older message makes
   it do nothing.  */
inline caller_goes_on (cursor, fresh)
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

/* turn_close and the answer with a fresh cursor.  The answer may be lost.  */
inline close_turn (cursor, not_run)
{
  if
  :: not_run -> said_not_run[cursor] = true
  :: else -> skip
  fi;
#ifdef FAULT_KEEP_TURN
  fresh = POS (self, next);
#else
  next = next + 1;
  fresh = POS (self, next);
#endif
  seal (fresh, up && recorded[me]);
  if
  :: not_run -> caller_goes_on (cursor, fresh) /* the answer arrives */
  :: !not_run && current == cursor ->
       answered = true                /* the caller looks, and goes on */
  :: true -> skip                     /* the answer is lost */
  fi
}

/* One execution at the service.  */
inline execute (cursor)
{
  executions[cursor] = executions[cursor] + 1;
  ran = ran + 1;
  assert (executions[cursor] <= 1);
  assert (!said_not_run[cursor]);
  assert (ran <= 1);
  next = next + 1;
  if
  :: answered = true
  :: skip
  fi
}

/* take_branch, begin_budget and record_intent.  */
inline begin (position)
{
  cursor = position;
  if
  :: !journaled[cursor] -> pending = cursor
  :: journaled[cursor] && up && moved[me] -> self = 0
  :: journaled[cursor] && up && !moved[me] ->
#ifndef FAULT_NO_INTENT
       intent[cursor] = true;
#endif
       pending = cursor
  :: journaled[cursor] && !up ->
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
       self == 0 && loads < LOADS && up ->
       select (cursor : 0 .. (POSITIONS - 1));
       if
       :: sent[cursor] ->
            from = holder[cursor / TURNS];
#ifndef FAULT_NO_FENCE
            if
            :: from != me -> moved[from] = true
            :: else -> skip
            fi;
            /* whoever took it from there is fenced as well */
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

  :: /* dispatch: a pause may lie before it */
     atomic {
       self != 0 && pending != NONE ->
       execute (pending);
       pending = NONE
     }

  :: /* turn_decide: TURN_RESOLVE; handle_resolved */
     atomic {
       self != 0 && pending == NONE && next + 1 < TURNS && up && !moved[me] ->
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
  :: atomic { up && outages > 0 -> outages = outages - 1; up = false }
  :: atomic { !up -> up = true }
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
