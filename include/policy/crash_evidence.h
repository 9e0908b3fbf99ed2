/* What is known of requests during whose execution endpoints crashed, and
   whether such a request may be sent again.

   The evidence of all hosts is joined: a crash is a pair of endpoint and time,
   so that two reports of one crash count once, in whatever order and however
   often they come.  A request that has run without a crash is cleared.  One
   after CRASH_LIMIT crashes is sent on trial only, one send at a time in the
   whole fleet, as a sound request may have run beside crashes of other causes;
   after CRASH_MAX_TRIALS trials that crashed too it is refused. */
#ifndef GALENA_POLICY_CRASH_EVIDENCE_H
#define GALENA_POLICY_CRASH_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  CRASH_LIMIT = 3,      /* crashes after which a request is on trial */
  CRASH_MAX_TRIALS = 1, /* that crash, after which it is refused */
  /* Crashes after which reports go to the whole fleet and to the keepers. */
  CRASH_SHARED_FROM = 2,
  CRASH_MAX_ENTRIES = 1024,
  CRASH_MAX_RECORDS = 6, /* of one request; CRASH_LIMIT and trials, and one */
  /* Reports for one endpoint within this time are of the same crash: it takes
     longer to start again. */
  CRASH_SAME_MS = 1500,
  /* Of the times of crashes that the keepers hold, on hosts whose clocks are
     right. */
  CRASH_CLOCK_ERROR_MS = 250,
  /* An interruption that no further sign confirms is no crash. */
  CRASH_PROVISIONAL_MS = 2500,
  CRASH_TRIAL_MS = 2500,     /* for which a trial keeps others waiting */
  CRASH_TTL_MS = 600 * 1000, /* for which a crash counts */
};

/* That an endpoint crashed, or seems to have, as it ran a request. */
struct crash_record
{
  uint64_t endpoint; /* hash of its id */
  int64_t at_ms;
  bool is_confirmed;
};

/* What is known of one request. */
struct crash_state
{
  uint64_t fingerprint; /* hash of the request's contents */
  struct crash_record records[CRASH_MAX_RECORDS];
  uint32_t record_count;
  /* Crashes until EARLIER_MS of which only the number is known. */
  uint32_t earlier;
  int64_t earlier_ms;
  int64_t cleared_ms; /* when it last ran without a crash; 0 for never */
  uint32_t clears;    /* counts these; grows only */
  int64_t trial_until_ms;
};

enum crash_verdict
{
  CRASH_SEND,
  CRASH_TRY,  /* may be sent, as a trial */
  CRASH_WAIT, /* a trial is running */
  CRASH_REFUSE,
};

struct crash_evidence;

/* Called for each request of which something is known. */
typedef void crash_evidence_visitor (void *data,
                                     const struct crash_state *state);

struct crash_evidence *crash_evidence_create (void);
void crash_evidence_destroy (struct crash_evidence *evidence);
bool crash_evidence_join (struct crash_evidence *evidence,
                          const struct crash_state *state, int64_t now_ms);
bool crash_evidence_record (struct crash_evidence *evidence,
                            uint64_t fingerprint,
                            const struct crash_record *record, int64_t now_ms);
bool crash_evidence_clear (struct crash_evidence *evidence,
                           uint64_t fingerprint, int64_t now_ms);
void crash_evidence_set_trial (struct crash_evidence *evidence,
                               uint64_t fingerprint, int64_t until_ms);
enum crash_verdict crash_evidence_check (const struct crash_evidence *evidence,
                                         uint64_t fingerprint, int64_t now_ms,
                                         int64_t *wait_ms);
const struct crash_state *
crash_evidence_find (const struct crash_evidence *evidence,
                     uint64_t fingerprint);
uint32_t crash_state_count (const struct crash_state *state, int64_t now_ms);
void crash_evidence_foreach (const struct crash_evidence *evidence,
                             crash_evidence_visitor *visit, void *data);
void crash_evidence_expire (struct crash_evidence *evidence, int64_t now_ms);

#endif
