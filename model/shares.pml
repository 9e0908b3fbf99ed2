/* Models what a program may be granted while some of its three keepers do not
   answer, and one of them loses its disk.

   Each turn is of one token and is reserved by a host that forgets it at once,
   so that only the keepers know.  A cut parts one keeper from the others; a
   decision asks any keepers of one side and stores the charge at all of them.
   A keeper that loses its disk reads both others before it answers again, and
   so tells them.  From then on a majority leaves the part of a minority alone,
   and a minority grants nothing.  The program is granted no more than its
   budget and one turn.  model/README.md maps the steps to the C functions.

   Faults that must be detected: -DFAULT_UNTOLD_LOSS, -DFAULT_MINORITY_GRANTS_ALL.  */

#define KEEPERS 3
#define ALL 7
#define QUORUM 2
#define READ_FROM 2 /* charges_read_quorum */

/* In tokens.  Of a budget of 8 the majority gets 55 in 100, the minority 45. */
#define BUDGET 8
#define TURN 1
#define MAJORITY_LIMIT 4

#ifdef FAULT_MINORITY_GRANTS_ALL
#define MINORITY_LIMIT BUDGET
#else
#define MINORITY_LIMIT 3
#endif

#ifdef FAULT_UNTOLD_LOSS
#define IS_DOUBTED(set) false
#else
#define IS_DOUBTED(set) ((set) & told)
#endif

#define MERGE(to, from) known[to] = known[to] | known[from]

#define TURNS (BUDGET + TURN + 1)

/* Bits of turns that are on a keeper's disk. */
short known[KEEPERS];
byte granted;
bool complete[KEEPERS] = true;
byte reads;      /* bits of keepers that the one without a disk has read */
byte told;       /* bits of keepers that know of the lost disk */
byte victim = KEEPERS;
byte side = ALL; /* bits of the keepers of one side of a cut */

#define HAS(set, k) (((set) >> (k)) & 1)
#define SAME(a, b) (HAS (side, a) == HAS (side, b))
#define BITS(set, k) (HAS (set, k) + HAS (set, (k) + 1) + HAS (set, (k) + 2))

/* charges_decide, by the keepers of a set.  */
proctype host ()
{
  byte set;
  byte answers;
  short turns;
  byte total;
  byte limit;
  byte k;

  do
  :: atomic {
       granted < TURNS ->
       if
       :: set = 1 :: set = 2 :: set = 3 :: set = 4 :: set = 5 :: set = 6
       :: set = 7
       fi;
       if
       :: (set & side) != 0 && (set & (ALL - side)) != 0 -> set = set & side
       :: else
       fi;
       for (k : 0 .. KEEPERS - 1) {
         if
         :: HAS (set, k) && complete[k] ->
            answers++;
            turns = turns | known[k]
         :: else
         fi
       }
       total = TURN + BITS (turns, 0) + BITS (turns, 3) + BITS (turns, 6);
       total = total + HAS (turns, 9);
       if
       :: answers == KEEPERS && !IS_DOUBTED (set) -> limit = BUDGET
       :: answers >= QUORUM && (answers < KEEPERS || IS_DOUBTED (set)) ->
          limit = MAJORITY_LIMIT
       :: answers > 0 && answers < QUORUM && side != ALL && !IS_DOUBTED (set) ->
          limit = MINORITY_LIMIT
       :: else
       fi;
       if
       :: total <= limit ->
          for (k : 0 .. KEEPERS - 1) {
            if
            :: HAS (set, k) && complete[k] ->
               known[k] = turns | (1 << granted)
            :: else
            fi
          }
          granted++;
          assert (granted <= BUDGET + TURN)
       :: else
       fi;
       set = 0;
       answers = 0;
       turns = 0;
       total = 0;
       limit = 0;
       k = 0
     }
  od
}

/* A keeper loses its disk and reads the others.  */
proctype losses ()
{
  byte from;

  atomic {
    if
    :: victim = 0
    :: victim = 1
    :: victim = 2
    fi;
    complete[victim] = false;
    known[victim] = 0
  }
  /* handle_page, check_complete */
  do
  :: atomic {
       !complete[victim] ->
       if
       :: from = 0
       :: from = 1
       :: from = 2
       fi;
       if
       :: from != victim && !HAS (reads, from) && SAME (from, victim) ->
          known[victim] = known[victim] | known[from];
          reads = reads | (1 << from);
          told = told | (1 << from) | (1 << victim);
          complete[victim] = (BITS (reads, 0) >= READ_FROM)
       :: else
       fi;
       from = 0
     }
  :: atomic { complete[victim] -> break }
  od
}

/* A keeper is cut off; later all reach and read each other.  */
proctype cuts ()
{
  byte k;
  byte count;

  do
  :: atomic {
       side == ALL && count < 2 ->
       count++;
       if
       :: side = 1
       :: side = 2
       :: side = 4
       fi
     }
  :: atomic {
       side != ALL ->
       side = ALL;
       for (k : 0 .. KEEPERS - 1) {
         if
         :: complete[k] ->
            MERGE (k, 0);
            MERGE (k, 1);
            MERGE (k, 2)
         :: else
         fi
       }
       k = 0
     }
  od
}

init
{
  atomic {
    run host ();
    run losses ();
    run cuts ()
  }
}
