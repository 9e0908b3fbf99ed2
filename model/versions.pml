/* Models the distribution of configuration from the platform and between hosts.
   The version in force on a host never decreases and a withdrawn key never works
   again, despite restarts, delayed messages and concurrent operators.

   Faults that must be detected: -DFAULT_TAKE_ANY, -DFAULT_SERVE_BEFORE_READING,
   -DFAULT_BLIND_WRITE.  */

#ifdef FAULT_BLIND_WRITE
#define VERSION_MATCHES(seen) true
#else
#define VERSION_MATCHES(seen) (platform == seen)
#endif

#define HOSTS 2
#define VERSIONS 4

byte platform = 1;            /* version of the object */
bool withdrawn[VERSIONS];     /* whether the key is withdrawn in each version */
byte version_in_force[HOSTS]; /* version in force; 0 for none */
byte served[HOSTS];           /* the highest version that callers of a host saw */
bool withdrawal_confirmed;    /* the withdrawal was confirmed to the operator */
byte withdrawal_version;
byte pushed_version;          /* version of a push in flight; 0 for none */
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
              withdrawal_confirmed = true; withdrawal_version = platform;
              break }
  :: atomic { platform != seen -> seen = platform }
  :: atomic { platform + 1 >= VERSIONS -> break }
  od
}

/* Another operator changes something else in the same object.  */
proctype Editor ()
{
  byte seen;
  bool key_withdrawn;

  atomic { seen = platform; key_withdrawn = withdrawn[seen] };
  do
  :: atomic {
       VERSION_MATCHES (seen) && platform + 1 < VERSIONS ->
       platform = platform + 1;
       withdrawn[platform] = key_withdrawn;
       break }
  :: atomic { platform != seen -> seen = platform; key_withdrawn = withdrawn[seen] }
  :: atomic { platform + 1 >= VERSIONS -> break }
  od
}

proctype Host (byte me)
{
  byte received;

  do
  :: /* handle_list, handle_watch: the platform's current version, or a
        delayed response */
     atomic {
       select (received : 1 .. (VERSIONS - 1));
       if
       :: received <= platform ->
#ifndef FAULT_TAKE_ANY
            if
            :: received > version_in_force[me] -> version_in_force[me] = received
            :: else -> skip
            fi
#else
            version_in_force[me] = received
#endif
       :: else -> skip
       fi
     }
  :: /* push, handle_push */
     atomic { version_in_force[me] != 0 -> pushed_version = version_in_force[me] }
  :: atomic { pushed_version > version_in_force[me] ->
              version_in_force[me] = pushed_version }
  :: /* a caller's request is served */
     atomic {
       version_in_force[me] != 0 ->
       assert (version_in_force[me] >= served[me]);
       served[me] = version_in_force[me];
       assert (!(withdrawal_confirmed &&
                 version_in_force[me] >= withdrawal_version &&
                 !withdrawn[version_in_force[me]]))
     }
  :: /* the process restarts without state and reads the platform's current
        version, or asks another host, before it serves */
     atomic {
       restarts > 0 && version_in_force[me] != 0 ->
       restarts = restarts - 1;
#ifdef FAULT_SERVE_BEFORE_READING
       version_in_force[me] = 1
#else
       version_in_force[me] = platform
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
