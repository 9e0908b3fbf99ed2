/* The platform's objects, read from the store and passed on from host to host:
   a host's table is always what the store held at the table's revision, across
   late answers of the store, lost and late updates, and two hosts that follow
   the store at once.

   Faults that must be found: -DFAULT_ANY_BASE, -DFAULT_DROP_NEWER,
   -DFAULT_PUT_REMOVED, -DFAULT_OLD_UPDATE.  */

#define HOSTS 2
#define NAMES 2
#define REVISIONS 4 /* 1 to 3 */

/* What the store held at each revision: a bit a name. */
byte content[REVISIONS];
byte touched[REVISIONS]; /* the name that the revision changed */
byte revision = 1;

byte known[HOSTS];    /* revision of a host's table; 0 before the first list */
byte table[HOSTS];    /* its objects, a bit a name */

#define HAS(mask, name) ((((mask) >> (name)) & 1) == 1)

#ifdef FAULT_ANY_BASE
#define BASE_FITS(me) true
#else
#define BASE_FITS(me) (since == known[me])
#endif

#ifdef FAULT_OLD_UPDATE
#define IS_NEWER(me) true
#else
#define IS_NEWER(me) (at >= known[me])
#endif

/* The table is exact, but for hosts that know nothing yet.  */
#define EXACT(me) (known[me] == 0 || table[me] == content[known[me]])

/* An operator creates and removes objects.  */
proctype Store ()
{
  byte name;

  do
  :: atomic {
       revision + 1 < REVISIONS ->
       select (name : 0 .. (NAMES - 1));
       content[revision + 1] = content[revision] ^ (1 << name);
       touched[revision + 1] = name;
       revision = revision + 1 }
  :: atomic { revision + 1 >= REVISIONS -> break }
  od
}

/* Whether the present object NAME of the store at AT last changed after SINCE.
 */
byte r; /* of changed_after */

inline changed_after (at, since, name, result)
{

  result = false;
  r = since + 1;
  do
  :: r <= at -> if :: touched[r] == name -> result = true :: else fi; r++
  :: else -> break
  od
}

proctype Host (byte me)
{
  byte at;    /* revision of an answer or update */
  byte since; /* its base */
  byte name;
  bool newer;

  do
  :: /* finish_list, handle_events: an answer of the store, which may be late */
     atomic {
       select (at : 1 .. (REVISIONS - 1));
       if
       :: at <= revision ->
          name = 0;
          do
          :: name < NAMES ->
             if
             :: HAS (content[at], name) && !HAS (table[me], name) ->
                /* table_put of an unknown object */
                changed_after (at, known[me], name, newer);
#ifdef FAULT_PUT_REMOVED
                newer = true;
#endif
                if
                :: newer || known[me] == 0 ->
                   table[me] = table[me] | (1 << name)
                :: else
                fi
             :: !HAS (content[at], name) && HAS (table[me], name) ->
                /* table_retain */
#ifdef FAULT_DROP_NEWER
                table[me] = table[me] & ~(1 << name)
#else
                if
                :: known[me] <= at -> table[me] = table[me] & ~(1 << name)
                :: else
                fi
#endif
             :: else
             fi;
             name++
          :: else -> break
          od;
          if :: at > known[me] -> known[me] = at :: else fi;
          assert (EXACT (me))
       :: else
       fi }
  :: /* handle_update: a change that another host passes on, maybe late */
     atomic {
       select (at : 1 .. (REVISIONS - 1));
       select (since : 1 .. (REVISIONS - 1));
       if
       :: at <= revision && since < at && known[me] > 0 && BASE_FITS (me) ->
          name = 0;
          do
          :: name < NAMES ->
             changed_after (at, since, name, newer);
             if
             :: newer && HAS (content[at], name) ->
                table[me] = table[me] | (1 << name)
             :: newer && !HAS (content[at], name) ->
                table[me] = table[me] & ~(1 << name)
             :: else
             fi;
             name++
          :: else -> break
          od;
          if :: at > known[me] -> known[me] = at :: else fi;
          assert (EXACT (me))
       :: else
       fi }
  :: /* handle_update of a complete one: all names, and what changed after SINCE */
     atomic {
       select (at : 1 .. (REVISIONS - 1));
       if
       :: at <= revision && IS_NEWER (me) ->
          table[me] = content[at];
          if :: at > known[me] -> known[me] = at :: else fi;
          assert (EXACT (me))
       :: else
       fi }
  :: break
  od
}

init
{
  content[1] = 1;
  touched[1] = 0;
  atomic { run Store (); run Host (0); run Host (1) }
}
