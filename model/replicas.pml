/* Models reservations of a program's budget by two hosts whose lists of keepers
   differ in one keeper, so that they may send them to different replicas.

   Each host stores its reservation on the replicas that it selects and counts
   the answers of a majority.  No more turns run than the budget allows,
   whichever of the two lists each host uses.  model/README.md maps the steps to
   the C functions.

   Faults that must be detected: -DFAULT_ODD_REPLICAS, -DFAULT_TWO_CHANGES,
   -DFAULT_MINORITY.  */

#define KEEPERS 6
#define PROCESSES 2
#define BUDGET 1

/* Members of the two selections, one bit per keeper, and their majority. */
#ifdef FAULT_ODD_REPLICAS
#define LIST_A 7  /* 0 1 2 */
#define LIST_B 11 /* 0 1 3 */
#define QUORUM 2
#else
#define LIST_A 15 /* 0 1 2 3 */
#ifdef FAULT_TWO_CHANGES
#define LIST_B 51 /* 0 1 4 5 */
#else
#define LIST_B 23 /* 0 1 2 4 */
#endif
#ifdef FAULT_MINORITY
#define QUORUM 2
#else
#define QUORUM 3
#endif
#endif

#define AT(k, p) ((k) * PROCESSES + (p))
#define IS_REPLICA(list, k) ((((list) >> (k)) & 1) == 1)

bool stored[12];       /* KEEPERS x PROCESSES: has the process's charge */
bool answered[12];
bool sees_other[12];   /* the answer contains the other process's charge */
byte answers[PROCESSES];
bool knows_other[PROCESSES];
byte granted_turns;

proctype host (byte p)
{
  byte list;
  byte k;

  /* ledger_set_keepers: either list may be in use.  */
  if
  :: list = LIST_A
  :: list = LIST_B
  fi;
  do
  /* handle_item, handle_answered_item_stored */
  :: atomic {
       select (k : 0 .. (KEEPERS - 1));
       if
       :: IS_REPLICA (list, k) && !stored[AT (k, p)] ->
          stored[AT (k, p)] = true;
          sees_other[AT (k, p)] = stored[AT (k, 1 - p)]
       :: else
       fi;
       k = 0 }
  /* handle_answer */
  :: atomic {
       select (k : 0 .. (KEEPERS - 1));
       if
       :: stored[AT (k, p)] && !answered[AT (k, p)] ->
          answered[AT (k, p)] = true;
          answers[p]++;
          knows_other[p] = knows_other[p] || sees_other[AT (k, p)]
       :: else
       fi;
       k = 0 }
  /* charges_decide */
  :: atomic {
       answers[p] >= QUORUM ->
       if
       :: !knows_other[p] ->
          granted_turns++;
          assert (granted_turns <= BUDGET)
       :: else
       fi;
       break }
  od
}

init
{
  atomic {
    run host (0);
    run host (1)
  }
}
