#include "policy/heap.h"
#include "common/buf.h"
#include <stdlib.h>

enum
{
  FIRST_CAPACITY = 16,
};

static bool
less (const struct heap_node *a, const struct heap_node *b)
{
  return a->key != b->key ? a->key < b->key : a->tie < b->tie;
}

/* Stores NODE at INDEX.  */
static void
place (struct heap *heap, size_t index, struct heap_node *node)
{
  heap->nodes[index] = node;
  node->index = index;
}

static void
sift_up (struct heap *heap, struct heap_node *node)
{
  size_t index = node->index;

  while (index > 0 && less (node, heap->nodes[(index - 1) / 2]))
    {
      place (heap, index, heap->nodes[(index - 1) / 2]);
      index = (index - 1) / 2;
    }
  place (heap, index, node);
}

static void
sift_down (struct heap *heap, struct heap_node *node)
{
  size_t index = node->index;

  for (;;)
    {
      size_t child = 2 * index + 1;

      if (child >= heap->count)
        break;
      if (child + 1 < heap->count
          && less (heap->nodes[child + 1], heap->nodes[child]))
        child++;
      if (!less (heap->nodes[child], node))
        break;
      place (heap, index, heap->nodes[child]);
      index = child;
    }
  place (heap, index, node);
}

/* Adds NODE, which must not be in a heap.  */
void
heap_push (struct heap *heap, struct heap_node *node)
{
  if (heap->count == heap->capacity)
    {
      heap->capacity = heap->capacity ? 2 * heap->capacity : FIRST_CAPACITY;
      heap->nodes
          = xrealloc (heap->nodes, heap->capacity * sizeof *heap->nodes);
    }
  node->index = heap->count++;
  sift_up (heap, node);
}

/* Returns the smallest node, or NULL.  */
struct heap_node *
heap_peek (const struct heap *heap)
{
  return heap->count > 0 ? heap->nodes[0] : NULL;
}

/* Removes NODE from the heap.  */
void
heap_remove (struct heap *heap, struct heap_node *node)
{
  struct heap_node *last = heap->nodes[--heap->count];

  if (last != node)
    {
      place (heap, node->index, last);
      sift_up (heap, last);
      sift_down (heap, last);
    }
  node->index = HEAP_NONE;
}

/* Changes the key of NODE.  */
void
heap_update (struct heap *heap, struct heap_node *node, int64_t key)
{
  node->key = key;
  sift_up (heap, node);
  sift_down (heap, node);
}

/* Frees the heap's memory but not its nodes.  */
void
heap_release (struct heap *heap)
{
  free (heap->nodes);
  *heap = (struct heap){ 0 };
}
