/* Models the replication of platform objects from the store and between hosts.
   A host's table always equals the store's content at the table's revision,
   despite delayed store replies, lost and delayed updates, and two hosts that
   watch the store at the same time.

   Faults that must be detected: -DFAULT_ANY_BASE, -DFAULT_DROP_NEWER,
   -DFAULT_PUT_REMOVED, -DFAULT_OLD_UPDATE.  */

#define HOSTS 2
#define NAMES 2
#define REVISIONS 4 /* 1 to 3 */

/* The store's content at each revision, one bit per name. */
byte content[REVISIONS];
byte touched[REVISIONS];      /* the name that the revision changed */
byte revision = 1;

byte table_revision[HOSTS];   /* revision of a host's table; 0 before the first list */
byte table[HOSTS];            /* its objects, one bit per name */

#define HAS(mask, name) ((((mask) >> (name)) & 1) == 1)

#ifdef FAULT_ANY_BASE
#define BASE_FITS(me) true
#else
#define BASE_FITS(me) (since == table_revision[me])
#endif

#ifdef FAULT_OLD_UPDATE
#define IS_NEWER(me) true
#else
#define IS_NEWER(me) (at >= table_revision[me])
#endif

/* The table equals the store's content, unless no list has arrived yet.  */
#define EXACT(me) \
  (table_revision[me] == 0 || table[me] == content[table_revision[me]])

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

/* Sets RESULT to whether NAME changed after revision SINCE, up to AT.  */
byte checked_revision;        /* of changed_after */

inline changed_after (at, since, name, result)
{

  result = false;
  checked_revision = since + 1;
  do
  :: checked_revision <= at ->
     if :: touched[checked_revision] == name -> result = true :: else fi;
     checked_revision++
  :: else -> break
  od
}

proctype Host (byte me)
{
  byte at;    /* revision of an answer or update */
  byte since; /* base revision of an update */
  byte name;
  bool is_changed;

  do
  :: /* finish_list, handle_watch_reply: a store reply, possibly delayed */
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
                changed_after (at, table_revision[me], name, is_changed);
#ifdef FAULT_PUT_REMOVED
                is_changed = true;
#endif
                if
                :: is_changed || table_revision[me] == 0 ->
                   table[me] = table[me] | (1 << name)
                :: else
                fi
             :: !HAS (content[at], name) && HAS (table[me], name) ->
                /* table_retain */
#ifdef FAULT_DROP_NEWER
                table[me] = table[me] & ~(1 << name)
#else
                if
                :: table_revision[me] <= at -> table[me] = table[me] & ~(1 << name)
                :: else
                fi
#endif
             :: else
             fi;
             name++
          :: else -> break
          od;
          if :: at > table_revision[me] -> table_revision[me] = at :: else fi;
          assert (EXACT (me))
       :: else
       fi }
  :: /* handle_update: a change relayed by another host, possibly delayed */
     atomic {
       select (at : 1 .. (REVISIONS - 1));
       select (since : 1 .. (REVISIONS - 1));
       if
       :: at <= revision && since < at && table_revision[me] > 0 && BASE_FITS (me) ->
          name = 0;
          do
          :: name < NAMES ->
             changed_after (at, since, name, is_changed);
             if
             :: is_changed && HAS (content[at], name) ->
                table[me] = table[me] | (1 << name)
             :: is_changed && !HAS (content[at], name) ->
                table[me] = table[me] & ~(1 << name)
             :: else
             fi;
             name++
          :: else -> break
          od;
          if :: at > table_revision[me] -> table_revision[me] = at :: else fi;
          assert (EXACT (me))
       :: else
       fi }
  :: /* handle_update with a complete update: it replaces the whole table */
     atomic {
       select (at : 1 .. (REVISIONS - 1));
       if
       :: at <= revision && IS_NEWER (me) ->
          table[me] = content[at];
          if :: at > table_revision[me] -> table_revision[me] = at :: else fi;
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
