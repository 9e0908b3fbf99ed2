/* Whether a program may begin, from the load of the service's endpoints, the
   time that the program has left and its customer's share; and how urgent its
   turns are.  No I/O: load, predictions, random numbers and time are passed
   in. */
#ifndef GALENA_POLICY_ADMISSION_H
#define GALENA_POLICY_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Older reports of load are ignored: a queue of 48 at 16 slots empties in
     about a second. */
  ADMISSION_MAX_LOAD_AGE_MS = 1000,
  ADMISSION_PRIORITIES = 10, /* 0 is the most urgent */
  ADMISSION_MAX_CUSTOMERS = 256,
};

/* Sums over the endpoints of a service that reported their load lately. */
struct admission_load
{
  uint32_t endpoints; /* of the service, also those without a report */
  uint32_t reporting;
  int64_t slots;
  int64_t running;
  int64_t waiting;
};

struct admission_query
{
  uint64_t service;  /* hash of its name */
  uint64_t customer; /* hash of its name; 0 on open routes */
  struct admission_load load;
  int64_t remaining_ms; /* until the program's deadline */
  /* Predicted until the first event; negative if unknown. */
  int64_t first_event_ms;
  uint64_t random;
};

enum admission_verdict
{
  ADMISSION_ADMITTED,
  ADMISSION_REFUSED_LOAD,  /* it would end late */
  ADMISSION_REFUSED_SHARE, /* its customer has had its share */
};

struct admission_decision
{
  enum admission_verdict verdict;
  int64_t wait_ms; /* expected before the program's first turn runs */
  int64_t retry_after_ms;
  double share; /* of such programs that is admitted, by chance */
};

/* A turn whose urgency is wanted. */
struct admission_turn
{
  int32_t priority;    /* configured */
  uint32_t configured; /* bit N is set if priority N is configured somewhere */
  bool begins_program;
  int64_t remaining_ms; /* until the program's deadline */
  uint64_t program;     /* hash of its id */
};

/* What a customer's programs that came lately would take. */
struct admission_demand
{
  uint64_t customer; /* hash of its name */
  uint32_t work_ms;
};

struct admission;

struct admission *admission_create (void);
void admission_destroy (struct admission *admission);
void admission_record_turn (struct admission *admission, uint64_t service,
                            bool begins_program);
void admission_record_first_event (struct admission *admission,
                                   uint64_t service, int64_t first_event_ms,
                                   int64_t now_ms);
void admission_record_end (struct admission *admission, uint64_t service,
                           int64_t held_ms);
struct admission_decision
admission_decide (struct admission *admission,
                  const struct admission_query *query, int64_t now_ms);
struct admission_decision
admission_preview (const struct admission *admission,
                   const struct admission_query *query, int64_t now_ms);
int64_t admission_least_ms (const struct admission *admission,
                            uint64_t service, int64_t now_ms);
uint32_t admission_export (struct admission *admission,
                           struct admission_demand *demands, uint32_t max,
                           int64_t now_ms);
void admission_merge (struct admission *admission,
                      const struct admission_demand *demands, uint32_t count,
                      int64_t now_ms);
bool admission_is_contended (const struct admission *admission,
                             int64_t now_ms);
int32_t admission_priority (const struct admission_turn *turn);
int64_t admission_retry_after_ms (int64_t room_in_ms, int64_t remaining_ms,
                                  uint64_t random);

#endif
