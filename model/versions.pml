/* Configuration told by the platform and from host to host: what a host has in
   force never goes back, and a withdrawn key never works again, across
   restarts, late messages and racing operators.

   Faults that must be found: -DFAULT_TAKE_ANY, -DFAULT_SERVE_BEFORE_READING,
   -DFAULT_BLIND_WRITE.  */

#ifdef FAULT_BLIND_WRITE
#define VERSION_MATCHES(seen) true
#else
#define VERSION_MATCHES(seen) (platform == seen)
#endif

#define HOSTS 2
#define VERSIONS 4

byte platform = 1;        /* version of the object */
bool withdrawn[VERSIONS]; /* what each version says of the key */
byte have[HOSTS];         /* version in force; 0 for none */
byte served[HOSTS];       /* the highest version that callers of a host saw */
bool gone;                /* the operator was told that the key is withdrawn */
byte gone_version;
byte told;                /* a push under way; 0 for none */
byte restarts = 2;

/* An operator withdraws the key by conditional update.  */
proctype Withdrawer ()
{
  byte seen;

  seen = platform;
  do
  :: atomic { platform == seen && platform + 1 < VERSIONS ->
              platform = platform + 1;
              withdrawn[platform] = true;
              gone = true; gone_version = platform;
              break }
  :: atomic { platform != seen -> seen = platform }
  :: atomic { platform + 1 >= VERSIONS -> break }
  od
}

/* Another one changes something else in the same object.  */
proctype Editor ()
{
  byte seen;
  bool says;

  atomic { seen = platform; says = withdrawn[seen] };
  do
  :: atomic {
       VERSION_MATCHES (seen) && platform + 1 < VERSIONS ->
       platform = platform + 1;
       withdrawn[platform] = says;
       break }
  :: atomic { platform != seen -> seen = platform; says = withdrawn[seen] }
  :: atomic { platform + 1 >= VERSIONS -> break }
  od
}

proctype Host (byte me)
{
  byte got;

  do
  :: /* handle_list, handle_watch: the platform's present version, or a late
        answer */
     atomic {
       select (got : 1 .. (VERSIONS - 1));
       if
       :: got <= platform ->
#ifndef FAULT_TAKE_ANY
            if
            :: got > have[me] -> have[me] = got
            :: else -> skip
            fi
#else
            have[me] = got
#endif
       :: else -> skip
       fi
     }
  :: /* push, take_push */
     atomic { have[me] != 0 -> told = have[me] }
  :: atomic { told > have[me] -> have[me] = told }
  :: /* a caller is served */
     atomic {
       have[me] != 0 ->
       assert (have[me] >= served[me]);
       served[me] = have[me];
       assert (!(gone && have[me] >= gone_version && !withdrawn[have[me]]))
     }
  :: /* the process restarts, with nothing in memory, and reads the platform's
        present version or asks a host before it serves */
     atomic {
       restarts > 0 && have[me] != 0 ->
       restarts = restarts - 1;
#ifdef FAULT_SERVE_BEFORE_READING
       have[me] = 1
#else
       have[me] = platform
#endif
     }
  od
}

init
{
  atomic {
    run Host (0);
    run Host (1);
    run Withdrawer ();
    run Editor ()
  }
}
