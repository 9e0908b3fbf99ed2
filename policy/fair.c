#include "policy/fair.h"
#include "common/buf.h"
#include <stdlib.h>

enum
{
  CUSTOMER_HASH_BUCKETS = 4096, /* a power of two */
  SERVICE_SCALE = 1024,         /* virtual service per token at weight 1 */
};

/* A customer that has had calls.  Owned by its queue. */
struct fair_customer
{
  uint64_t id;
  struct heap_node node; /* in the heap of customers with waiting calls */
  struct heap items;     /* its waiting calls */
  int64_t service;       /* virtual: tokens charged, divided by weight */
  struct fair_customer *next;
};

/* The queue of all four policies, which differ in the keys of the two heaps.
 */
struct queue
{
  struct fair_queue base;
  struct heap active; /* of customers */
  struct fair_customer *buckets[CUSTOMER_HASH_BUCKETS];
  struct fair_item *oldest;
  struct fair_item *newest;
  int64_t virtual_time; /* service of the customer served last */
  uint64_t sequence;
  uint64_t pops;
};

#define CONTAINER(pointer, type, member)                                      \
  ((type *)(void *)((char *)(pointer)-offsetof (type, member)))

static struct fair_queue *
create_queue (const struct fair_policy *policy)
{
  struct queue *queue = xcalloc (1, sizeof *queue);

  queue->base.policy = policy;
  return &queue->base;
}

static void
destroy_queue (struct fair_queue *fair)
{
  struct queue *queue = (struct queue *)fair;

  for (size_t i = 0; i < CUSTOMER_HASH_BUCKETS; i++)
    while (queue->buckets[i])
      {
        struct fair_customer *customer = queue->buckets[i];

        queue->buckets[i] = customer->next;
        heap_release (&customer->items);
        free (customer);
      }
  heap_release (&queue->active);
  free (queue);
}

static struct fair_customer *
find_or_create_customer (struct queue *queue, uint64_t id)
{
  struct fair_customer **slot = &queue->buckets[id % CUSTOMER_HASH_BUCKETS];
  struct fair_customer *customer = *slot;

  while (customer && customer->id != id)
    customer = customer->next;
  if (customer)
    return customer;
  customer = xcalloc (1, sizeof *customer);
  customer->id = id;
  customer->node.index = HEAP_NONE;
  customer->next = *slot;
  *slot = customer;
  return customer;
}

/* Appends ITEM to the list of all calls by age.  */
static void
link_newest (struct queue *queue, struct fair_item *item)
{
  item->older = queue->newest;
  item->newer = NULL;
  if (queue->newest)
    queue->newest->newer = item;
  else
    queue->oldest = item;
  queue->newest = item;
}

static void
unlink_item (struct queue *queue, struct fair_item *item)
{
  if (item->older)
    item->older->newer = item->newer;
  else
    queue->oldest = item->newer;
  if (item->newer)
    item->newer->older = item->older;
  else
    queue->newest = item->older;
  item->older = NULL;
  item->newer = NULL;
}

/* Queues ITEM, by ITEM_KEY among its customer's calls.  If the customer has no
   other call waiting, it is queued by CUSTOMER_KEY among the customers.  */
static void
push_item (struct fair_queue *fair, struct fair_item *item, int64_t item_key,
           int64_t customer_key)
{
  struct queue *queue = (struct queue *)fair;
  struct fair_customer *customer
      = find_or_create_customer (queue, item->customer);

  item->customer_state = customer;
  item->node.key = item_key;
  item->node.tie = ++queue->sequence;
  link_newest (queue, item);
  heap_push (&customer->items, &item->node);
  if (customer->node.index == HEAP_NONE)
    {
      customer->node.key = customer_key;
      customer->node.tie = queue->sequence;
      heap_push (&queue->active, &customer->node);
    }
}

static void
remove_item (struct fair_queue *fair, struct fair_item *item)
{
  struct queue *queue = (struct queue *)fair;
  struct fair_customer *customer = item->customer_state;

  unlink_item (queue, item);
  heap_remove (&customer->items, &item->node);
  if (customer->items.count == 0)
    heap_remove (&queue->active, &customer->node);
}

/* Returns the first call of the first customer, or NULL.  */
static struct fair_item *
peek_item (struct queue *queue)
{
  struct heap_node *node = heap_peek (&queue->active);
  struct fair_customer *customer;

  if (!node)
    return NULL;
  customer = CONTAINER (node, struct fair_customer, node);
  return CONTAINER (heap_peek (&customer->items), struct fair_item, node);
}

/* The charge operation of policies that do not account for tokens.  */
static void
charge_nothing (struct fair_queue *fair, uint64_t customer, int64_t weight,
                int64_t tokens)
{
}

/* Weighted: orders customers by virtual service and the calls of a customer by
   their programs' attained service.  One pop in FAIR_AGED_POP_INTERVAL serves
   the oldest call if it has waited longer than the age bound.  */

static struct fair_queue *
weighted_create (void)
{
  return create_queue (&fair_weighted);
}

static void
weighted_push (struct fair_queue *fair, struct fair_item *item)
{
  struct queue *queue = (struct queue *)fair;
  struct fair_customer *customer
      = find_or_create_customer (queue, item->customer);

  /* An idle customer earns no credit for the time that it was idle.  */
  if (customer->node.index == HEAP_NONE
      && customer->service < queue->virtual_time)
    customer->service = queue->virtual_time;
  push_item (fair, item, item->attained, customer->service);
}

static struct fair_item *
weighted_pop (struct fair_queue *fair, int64_t now_ms)
{
  struct queue *queue = (struct queue *)fair;
  struct fair_item *item = peek_item (queue);

  if (!item)
    return NULL;
  if (++queue->pops % FAIR_AGED_POP_INTERVAL == 0
      && now_ms - queue->oldest->enqueued_ms > FAIR_AGE_BOUND_MS)
    item = queue->oldest;
  else
    queue->virtual_time = item->customer_state->service;
  remove_item (fair, item);
  return item;
}

static void
weighted_charge (struct fair_queue *fair, uint64_t id, int64_t weight,
                 int64_t tokens)
{
  struct queue *queue = (struct queue *)fair;
  struct fair_customer *customer = find_or_create_customer (queue, id);

  customer->service += tokens * SERVICE_SCALE / (weight > 0 ? weight : 1);
  if (customer->node.index != HEAP_NONE)
    heap_update (&queue->active, &customer->node, customer->service);
}

const struct fair_policy fair_weighted = { .name = "weighted",
                                           .create = weighted_create,
                                           .push = weighted_push,
                                           .pop = weighted_pop,
                                           .remove = remove_item,
                                           .charge = weighted_charge,
                                           .destroy = destroy_queue };

/* First come, first served over all calls.  */

static struct fair_queue *
fcfs_create (void)
{
  return create_queue (&fair_fcfs);
}

static void
fcfs_push (struct fair_queue *fair, struct fair_item *item)
{
  push_item (fair, item, 0, 0);
}

static struct fair_item *
fcfs_pop (struct fair_queue *fair, int64_t now_ms)
{
  struct fair_item *item = ((struct queue *)fair)->oldest;

  if (item)
    remove_item (fair, item);
  return item;
}

const struct fair_policy fair_fcfs = { .name = "fcfs",
                                       .create = fcfs_create,
                                       .push = fcfs_push,
                                       .pop = fcfs_pop,
                                       .remove = remove_item,
                                       .charge = charge_nothing,
                                       .destroy = destroy_queue };

/* Round robin: one call of each customer in turn.  */

static struct fair_queue *
round_robin_create (void)
{
  return create_queue (&fair_round_robin);
}

static void
round_robin_push (struct fair_queue *fair, struct fair_item *item)
{
  struct queue *queue = (struct queue *)fair;

  push_item (fair, item, 0, (int64_t)queue->sequence + 1);
}

static struct fair_item *
round_robin_pop (struct fair_queue *fair, int64_t now_ms)
{
  struct queue *queue = (struct queue *)fair;
  struct fair_item *item = peek_item (queue);
  struct fair_customer *customer;

  if (!item)
    return NULL;
  customer = item->customer_state;
  remove_item (fair, item);
  if (customer->node.index != HEAP_NONE)
    heap_update (&queue->active, &customer->node, (int64_t)++queue->sequence);
  return item;
}

const struct fair_policy fair_round_robin = { .name = "round_robin",
                                              .create = round_robin_create,
                                              .push = round_robin_push,
                                              .pop = round_robin_pop,
                                              .remove = remove_item,
                                              .charge = charge_nothing,
                                              .destroy = destroy_queue };

/* Least attained service over all programs, regardless of customer.  */

static struct fair_queue *
least_attained_create (void)
{
  return create_queue (&fair_least_attained);
}

static void
least_attained_push (struct fair_queue *fair, struct fair_item *item)
{
  push_item (fair, item, item->attained, item->attained);
  heap_update (&((struct queue *)fair)->active, &item->customer_state->node,
               heap_peek (&item->customer_state->items)->key);
}

static struct fair_item *
least_attained_pop (struct fair_queue *fair, int64_t now_ms)
{
  struct queue *queue = (struct queue *)fair;
  struct fair_item *item = peek_item (queue);
  struct fair_customer *customer;

  if (!item)
    return NULL;
  customer = item->customer_state;
  remove_item (fair, item);
  if (customer->node.index != HEAP_NONE)
    heap_update (&queue->active, &customer->node,
                 heap_peek (&customer->items)->key);
  return item;
}

const struct fair_policy fair_least_attained
    = { .name = "least_attained",
        .create = least_attained_create,
        .push = least_attained_push,
        .pop = least_attained_pop,
        .remove = remove_item,
        .charge = charge_nothing,
        .destroy = destroy_queue };

/* Creates an empty queue that is served by POLICY.  */
struct fair_queue *
fair_create (const struct fair_policy *policy)
{
  return policy->create ();
}

/* Frees the queue but not the calls that wait in it.  */
void
fair_destroy (struct fair_queue *fair)
{
  if (fair)
    fair->policy->destroy (fair);
}

/* Adds ITEM, whose fields above the private ones are set.  It must stay valid
   until it is popped or removed.  */
void
fair_push (struct fair_queue *fair, struct fair_item *item)
{
  item->queued = true;
  fair->count++;
  fair->policy->push (fair, item);
}

/* Removes and returns the call to dispatch next, or NULL.  */
struct fair_item *
fair_pop (struct fair_queue *fair, int64_t now_ms)
{
  struct fair_item *item = fair->policy->pop (fair, now_ms);

  if (!item)
    return NULL;
  item->queued = false;
  fair->count--;
  return item;
}

/* Removes a call from the queue.  Does nothing if it is not queued.  */
void
fair_remove (struct fair_queue *fair, struct fair_item *item)
{
  if (!item->queued)
    return;
  item->queued = false;
  fair->count--;
  fair->policy->remove (fair, item);
}

/* Charges CUSTOMER, which has WEIGHT, for TOKENS generated.  Has an effect
   only with fair_weighted.  */
void
fair_charge (struct fair_queue *fair, uint64_t customer, int64_t weight,
             int64_t tokens)
{
  fair->policy->charge (fair, customer, weight, tokens);
}

/* Returns the longest waiting call, or NULL.  */
struct fair_item *
fair_oldest (const struct fair_queue *fair)
{
  return ((const struct queue *)fair)->oldest;
}

/* Returns the number of waiting calls.  */
uint32_t
fair_count (const struct fair_queue *fair)
{
  return fair->count;
}
