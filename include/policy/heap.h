/* Binary heap of nodes that live inside their users' structs. */
#ifndef GALENA_POLICY_HEAP_H
#define GALENA_POLICY_HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Least key first, then least tie. */
struct heap_node
{
  int64_t key;
  uint64_t tie;
  size_t index; /* of the heap; HEAP_NONE outside */
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
