/* Models program budgets replicated on three keepers, one of which may lose its
   disk.

   Two processes reserve turns of one token.  A turn runs when a majority of
   keepers has stored its reservation and all charges known to them fit the
   budget.  No more turns run than the budget allows, however delayed answers
   are and whichever keeper loses its disk.  model/README.md maps the steps to
   the C functions.

   Faults that must be detected: -DFAULT_ONE_ANSWER_DECIDES, -DFAULT_LOST_ANSWERS,
   -DFAULT_READ_FROM_ONE, -DFAULT_CHARGES_NOT_MERGED, -DFAULT_READ_AT_ONCE.  */

#define KEEPERS 3
#define PROCESSES 2
#define BUDGET 1
#define TURNS 1

#ifdef FAULT_ONE_ANSWER_DECIDES
#define QUORUM 1
#else
#define QUORUM 2
#endif

#ifdef FAULT_READ_FROM_ONE
#define READ_FROM 1
#else
#define READ_FROM 2
#endif

#ifdef FAULT_LOST_ANSWERS
#define MAY_ANSWER(k) true
#else
#define MAY_ANSWER(k) complete[k]
#endif

/* Answers from before a keeper lost its disk may be counted until the round
   ends, so the keeper starts reading only after that.  */
#ifdef FAULT_READ_AT_ONCE
#define NO_ROUND_PENDING(k) true
#else
#define NO_ROUND_PENDING(k) (!asked[AT (k, 0)] && !asked[AT (k, 1)])
#endif

#define AT(k, p) ((k) * PROCESSES + (p))

byte charged[PROCESSES];      /* a process's own entry */
byte version[PROCESSES];
byte turns[PROCESSES];
bool round_pending[PROCESSES];
byte answers[PROCESSES];      /* number of keepers that answered */
bool asked[6];                /* KEEPERS x PROCESSES: has the entry */
bool answered[6];
byte answer_charged[6];       /* the other's entry in the answer */
byte answer_version[6];
byte seen_charged[PROCESSES]; /* the other's entry, as merged */
byte seen_version[PROCESSES];
byte stored_charged[6];       /* on a keeper's disk */
byte stored_version[6];
bool complete[KEEPERS] = true;
bool read_from[9];            /* KEEPERS x KEEPERS */
byte reads[KEEPERS];
bool disk_was_lost;
byte granted_turns;           /* turns that were granted */

inline merge (k, p, new_charged, new_version)
{
  if
  :: new_version > stored_version[AT (k, p)] ->
     stored_charged[AT (k, p)] = new_charged;
     stored_version[AT (k, p)] = new_version
  :: else
  fi
}

inline reset_round (p)
{
  round_pending[p] = false;
  answers[p] = 0;
  for (i : 0 .. KEEPERS - 1) {
    asked[AT (i, p)] = false;
    answered[AT (i, p)] = false
  }
}

proctype process (byte p)
{
  byte i;
  byte k;

  do
  /* ledger_reserve */
  :: atomic {
       !round_pending[p] && turns[p] < TURNS ->
       turns[p]++;
       charged[p]++;
       version[p]++;
       round_pending[p] = true
     }
  /* handle_item, handle_answered_item_stored */
  :: atomic {
       round_pending[p] ->
       if
       :: k = 0
       :: k = 1
       :: k = 2
       fi;
       if
       :: !asked[AT (k, p)] ->
          merge (k, p, charged[p], version[p]);
          if
          :: MAY_ANSWER (k) ->
             asked[AT (k, p)] = true;
             answer_charged[AT (k, p)] = stored_charged[AT (k, 1 - p)];
             answer_version[AT (k, p)] = stored_version[AT (k, 1 - p)]
          :: else
          fi
       :: else
       fi;
       k = 0
     }
  /* handle_answer: merges and counts */
  :: atomic {
       round_pending[p] ->
       if
       :: k = 0
       :: k = 1
       :: k = 2
       fi;
       if
       :: asked[AT (k, p)] && !answered[AT (k, p)] ->
          answered[AT (k, p)] = true;
          answers[p]++;
#ifndef FAULT_CHARGES_NOT_MERGED
          if
          :: answer_version[AT (k, p)] > seen_version[p] ->
             seen_version[p] = answer_version[AT (k, p)];
             seen_charged[p] = answer_charged[AT (k, p)]
          :: else
          fi
#endif
       :: else
       fi;
       k = 0
     }
  /* charges_decide */
  :: atomic {
       round_pending[p] && answers[p] >= QUORUM ->
       if
       :: charged[p] + seen_charged[p] <= BUDGET ->
          granted_turns++;
          assert (granted_turns <= BUDGET)
       :: else ->
          charged[p]--;
          version[p]++
       fi;
       reset_round (p);
       i = 0
     }
  :: atomic { !round_pending[p] && turns[p] == TURNS -> break }
  od
}

/* A keeper loses its disk and reads the ledger from the others.  */
proctype keeper (byte k)
{
  byte o;

  do
  :: atomic {
       !disk_was_lost ->
       disk_was_lost = true;
       complete[k] = false;
       stored_charged[AT (k, 0)] = 0;
       stored_version[AT (k, 0)] = 0;
       stored_charged[AT (k, 1)] = 0;
       stored_version[AT (k, 1)] = 0
     }
  /* handle_page */
  :: atomic {
       !complete[k] && NO_ROUND_PENDING (k) ->
       if
       :: o = 0
       :: o = 1
       :: o = 2
       fi;
       if
       :: o != k && !read_from[k * KEEPERS + o] ->
          read_from[k * KEEPERS + o] = true;
          reads[k]++;
          merge (k, 0, stored_charged[AT (o, 0)], stored_version[AT (o, 0)]);
          merge (k, 1, stored_charged[AT (o, 1)], stored_version[AT (o, 1)])
       :: else
       fi;
       o = 0
     }
  /* check_complete */
  :: atomic { !complete[k] && reads[k] >= READ_FROM -> complete[k] = true }
  :: atomic { disk_was_lost && complete[k] -> break }
  od
}

init
{
  atomic {
    run process (0);
    run process (1);
    run keeper (0);
    run keeper (1);
    run keeper (2)
  }
}
