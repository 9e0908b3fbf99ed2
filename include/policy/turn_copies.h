/* Decides, for one turn of a conversation, which keepers to write it to or to
   read it from, when a write is durable, and when a miss is certain.

   Time is passed in; nothing here does I/O.  */
#ifndef GALENA_POLICY_TURN_COPIES_H
#define GALENA_POLICY_TURN_COPIES_H

#include "policy/replicas.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Keepers beyond this number are not used for writes.  Deployments have 9
     to 11. */
  TURN_COPIES_MAX = 32,
  /* A keeper syncs within a few milliseconds.  Callers come back 20 ms after
     the end of a turn, so a later supplement delays programs. */
  TURN_COPIES_SUPPLEMENT_MS = 40,
  TURN_COPIES_READ_ONE_MS = 30, /* before all keepers are asked */
  /* After this time a read ends without keepers that were silent when it
     began.  Callers learn of a refusal that is known within 50 ms; one that
     answers again is heard earlier. */
  TURN_COPIES_SILENT_MS = 30,
  TURN_COPIES_RESEND_MS = 100, /* a frame or its answer may be lost */
  /* After this time with answers of one data centre only, that one is cut
     off. */
  TURN_COPIES_CUT_OFF_MS = 300,
  /* Then a read without an answer ends.  The refusal must be with the caller
     within 400 ms. */
  TURN_COPIES_READ_MS = 360,
};

/* What a keeper has answered. */
enum turn_copy
{
  TURN_COPY_NO_ANSWER,
  TURN_COPY_HELD,    /* stored, or found */
  TURN_COPY_REFUSED, /* no room */
  TURN_COPY_CONFLICT,
  TURN_COPY_OTHER_CUSTOMER,
  TURN_COPY_MISSING, /* it may have been lost there */
  TURN_COPY_MISSING_FOR_CERTAIN,
};

struct turn_copy_keeper
{
  uint32_t index; /* in the list of keepers */
  uint64_t hash;  /* of its name */
  uint64_t centre;
  bool is_silent;   /* has not answered this host lately */
  bool was_silent;  /* the same when the read began */
  bool has_replied; /* also with an answer that decides nothing */
  bool has_prefix;  /* was sent the text of the chain before */
  enum turn_copy copy;
  int64_t first_asked_ms; /* 0 if not asked */
  int64_t asked_ms;       /* the last time */
};

/* Owned by its user; holds no pointers. */
struct turn_copies
{
  struct turn_copy_keeper keepers[TURN_COPIES_MAX]; /* preferred ones first */
  uint32_t count;
  uint32_t listed; /* number of all keepers */
  uint32_t preferred;
  uint32_t wanted; /* copies */
  uint64_t near_centre;
  int64_t started_ms;
};

enum turn_write_verdict
{
  TURN_WRITE_PENDING,
  TURN_WRITE_DURABLE,
  TURN_WRITE_FAILED, /* more answers cannot make it durable */
};

enum turn_read_verdict
{
  TURN_READ_PENDING,
  TURN_READ_FOUND,
  TURN_READ_NO_SUCH_TURN,
  TURN_READ_NOT_CERTAIN,
};

void turn_copies_init (struct turn_copies *copies, uint64_t group,
                       const struct replica_host *hosts, uint32_t host_count,
                       uint32_t wanted, int64_t now_ms);
void turn_copies_set_keepers (struct turn_copies *copies, uint64_t group,
                              const struct replica_host *hosts,
                              uint32_t host_count);
struct turn_copy_keeper *turn_copies_find (struct turn_copies *copies,
                                           uint64_t hash);
void turn_copies_record_asked (struct turn_copy_keeper *keeper,
                               int64_t now_ms);
struct turn_copy_keeper *turn_copies_next_write (struct turn_copies *copies,
                                                 int64_t now_ms);
struct turn_copy_keeper *turn_copies_next_read (struct turn_copies *copies,
                                                int64_t now_ms);
enum turn_write_verdict
turn_copies_decide_write (const struct turn_copies *copies, int64_t now_ms);
enum turn_read_verdict
turn_copies_decide_read (const struct turn_copies *copies, int64_t until_ms,
                         int64_t now_ms);

#endif
