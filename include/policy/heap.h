/* Binary min-heap of nodes that are embedded in their owners' structs. */
#ifndef GALENA_POLICY_HEAP_H
#define GALENA_POLICY_HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Ordered by key, then by tie, the smallest first. */
struct heap_node
{
  int64_t key;
  uint64_t tie;
  size_t index; /* in the heap; HEAP_NONE if in none */
};

struct heap
{
  struct heap_node **nodes;
  size_t count;
  size_t capacity;
};

#define HEAP_NONE SIZE_MAX

void heap_push (struct heap *heap, struct heap_node *node);
struct heap_node *heap_peek (const struct heap *heap);
void heap_remove (struct heap *heap, struct heap_node *node);
void heap_update (struct heap *heap, struct heap_node *node, int64_t key);
void heap_release (struct heap *heap);

#endif
