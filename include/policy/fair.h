/* Scheduling policies: the order in which waiting calls are dispatched. */
#ifndef GALENA_POLICY_FAIR_H
#define GALENA_POLICY_FAIR_H

#include "policy/heap.h"
#include <stdbool.h>
#include <stdint.h>

struct fair_queue;
struct fair_customer;

/* A waiting call.  Embedded in, and owned by, the caller's struct. */
struct fair_item
{
  uint64_t customer; /* hash of the customer's name */
  int64_t weight;    /* of the customer */
  int64_t attained;  /* tokens generated for its program so far */
  int64_t enqueued_ms;
  /* Private to the policy. */
  struct heap_node node;
  struct fair_item *older;
  struct fair_item *newer;
  struct fair_customer *customer_state;
  bool queued; /* it is in a queue */
};

/* The operations of a policy.  Use them through the functions below. */
struct fair_policy
{
  const char *name;
  struct fair_queue *(*create) (void);
  void (*push) (struct fair_queue *fair, struct fair_item *item);
  struct fair_item *(*pop) (struct fair_queue *fair, int64_t now_ms);
  void (*remove) (struct fair_queue *fair, struct fair_item *item);
  void (*charge) (struct fair_queue *fair, uint64_t customer, int64_t weight,
                  int64_t tokens);
  void (*destroy) (struct fair_queue *fair);
};

/* First member of every policy's queue struct. */
struct fair_queue
{
  const struct fair_policy *policy;
  uint32_t count;
};

/* Customers by weighted share, then programs by least attained service. */
extern const struct fair_policy fair_weighted;
/* First come, first served. */
extern const struct fair_policy fair_fcfs;
/* One call of each customer in turn. */
extern const struct fair_policy fair_round_robin;
/* Programs by least attained service, regardless of customer. */
extern const struct fair_policy fair_least_attained;

enum
{
  /* With fair_weighted, every FAIR_AGED_POP_INTERVAL-th pop returns the oldest
     call if it has waited longer than FAIR_AGE_BOUND_MS. */
  FAIR_AGE_BOUND_MS = 4000,
  FAIR_AGED_POP_INTERVAL = 4,
};

struct fair_queue *fair_create (const struct fair_policy *policy);
void fair_destroy (struct fair_queue *fair);
void fair_push (struct fair_queue *fair, struct fair_item *item);
struct fair_item *fair_pop (struct fair_queue *fair, int64_t now_ms);
void fair_remove (struct fair_queue *fair, struct fair_item *item);
void fair_charge (struct fair_queue *fair, uint64_t customer, int64_t weight,
                  int64_t tokens);
uint32_t fair_count (const struct fair_queue *fair);
struct fair_item *fair_oldest (const struct fair_queue *fair);

#endif
