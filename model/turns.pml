/* Models a turn that keepers store: it is written to them, acknowledged and
   read, while keepers lose their disks, are added, retire or leave the list.

   No read ends with a certain miss after the turn has counted.  A turn counts
   with LOSSES + 1 acknowledgements, here 2, of which those from before a loss
   of a disk count too.  A second disk is lost only after the first loss has
   been repaired.  A read takes 400 ms at the longest and a repair more than a
   second, so that a read is one step.  model/README.md maps the steps to the C
   functions.

   Faults that must be detected: -DFAULT_ONE_COPY, -DFAULT_RETIRE_EARLY,
   -DFAULT_NO_OFFERS.  */

#define KEEPERS 4
#define LOSSES_IN_ALL 2

#ifdef FAULT_ONE_COPY
#define COPIES 1
#else
#define COPIES 2
#endif

bool listed[KEEPERS];
bool stored[KEEPERS];
bool complete[KEEPERS];
bool acked[KEEPERS];
bool read_from[16]; /* KEEPERS x KEEPERS */
bool is_writing = true;
bool counted;
bool is_unclean;   /* a keeper left without being retired */
bool is_unrepaired; /* after the last loss */
byte losses;
byte changes;

/* Keepers preferred for the turn: two of those listed, in the order 3 0 1 2,
   so that the one that is added becomes one.  */
#define RANK(k) ((k) == 3 -> 0 : listed[3] + ((k) > 0 && listed[0]) \
                                 + ((k) > 1 && listed[1]))
#define PREFERRED(k) (listed[k] && RANK (k) < 2)
#define LACKS(k) (PREFERRED (k) && !stored[k])
#define IS_HELD (listed[0] && stored[0] || listed[1] && stored[1] \
                 || listed[2] && stored[2] || listed[3] && stored[3])
#define IS_COMPLETE(k) (!listed[k] || complete[k])
#define ALL_COMPLETE (IS_COMPLETE (0) && IS_COMPLETE (1) && IS_COMPLETE (2) \
                      && IS_COMPLETE (3))

#ifdef FAULT_NO_OFFERS
#define IS_REPAIRED (ALL_COMPLETE && !is_writing)
#else
#define IS_REPAIRED (ALL_COMPLETE && !is_writing \
                     && !(IS_HELD && (LACKS (0) || LACKS (1) || LACKS (2) \
                                      || LACKS (3))))
#endif

#define CERTAIN(k) (complete[k] && !is_unclean)
#define MISSES(k) (!listed[k] || !stored[k] && CERTAIN (k))

#define HAS_READ(k, o) (o == k || !listed[o] || read_from[k * KEEPERS + o])

inline lose (k)
{
  losses++;
  is_unrepaired = true;
  stored[k] = false;
  complete[k] = false;
  for (i : 0 .. KEEPERS - 1) {
    read_from[k * KEEPERS + i] = false
  }
  i = 0
}

/* conversations_write */
proctype writer ()
{
  byte k;

  do
  /* store_turn, handle_record_written */
  :: atomic {
       is_writing ->
       select (k : 0 .. (KEEPERS - 1));
       if
       :: listed[k] && !acked[k] ->
          stored[k] = true;
          acked[k] = true
       :: else
       fi;
       k = 0
     }
  :: atomic {
       is_writing &&
       acked[0] + acked[1] + acked[2] + acked[3] >= COPIES ->
       counted = true;
       is_writing = false
     }
  :: atomic { is_writing -> is_writing = false }
  :: atomic { !is_writing -> break }
  od
}

proctype keeper (byte k)
{
  byte i;
  byte o;

  do
  /* A disk is lost.  */
  :: atomic {
       listed[k] && losses < LOSSES_IN_ALL && !is_unrepaired -> lose (k)
     }
  :: atomic { is_unrepaired && IS_REPAIRED -> is_unrepaired = false }
  /* handle_list, handle_group */
  :: atomic {
       listed[k] && !complete[k] ->
       select (o : 0 .. (KEEPERS - 1));
       if
       :: o != k && listed[o] ->
          read_from[k * KEEPERS + o] = true;
          if
          :: PREFERRED (k) && stored[o] -> stored[k] = true
          :: else
          fi
       :: else
       fi;
       o = 0
     }
  /* keeper_repair_check_complete */
  :: atomic {
       listed[k] && !complete[k] && HAS_READ (k, 0) && HAS_READ (k, 1) &&
       HAS_READ (k, 2) && HAS_READ (k, 3) ->
       complete[k] = true
     }
#ifndef FAULT_NO_OFFERS
  /* offer_groups, or a list read after a change of it */
  :: atomic { IS_HELD && LACKS (k) -> stored[k] = true }
#endif
  /* conversation_keeper_set_others: a keeper is added */
  :: atomic { !listed[k] && k == 3 && changes == 0 -> changes++; listed[k] = true }
  /* replace_remotes: it leaves the list without being retired */
  :: atomic {
       listed[k] && k == 0 && losses < LOSSES_IN_ALL && !is_unrepaired ->
       lose (k);
       listed[k] = false;
       is_unclean = true
     }
  /* conversation_keeper_hand_over */
  :: atomic {
       listed[k] && k == 1 && complete[k] ->
       listed[k] = false;
#ifndef FAULT_RETIRE_EARLY
       for (i : 0 .. KEEPERS - 1) {
         if
         :: stored[k] && PREFERRED (i) -> stored[i] = true
         :: else
         fi
       }
       i = 0;
#endif
       stored[k] = false
     }
  /* handle_read at every keeper */
  :: atomic {
       counted && MISSES (0) && MISSES (1) && MISSES (2) && MISSES (3) ->
       assert (false)
     }
  od
}

init
{
  atomic {
    listed[0] = true;
    listed[1] = true;
    listed[2] = true;
    complete[0] = true;
    complete[1] = true;
    complete[2] = true;
    run writer ();
    run keeper (0);
    run keeper (1);
    run keeper (2);
    run keeper (3)
  }
}
