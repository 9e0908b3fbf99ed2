/* A bound on the bytes that a thread's servers hold for their clients in sum.
   Used by one thread. */
#ifndef GALENA_COMMON_BUFFER_BUDGET_H
#define GALENA_COMMON_BUFFER_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct buffer_budget
{
  size_t limit_bytes;
  size_t used_bytes;
};

bool buffer_budget_take (struct buffer_budget *budget, size_t bytes);
void buffer_budget_add (struct buffer_budget *budget, size_t bytes);
void buffer_budget_return (struct buffer_budget *budget, size_t bytes);
bool buffer_budget_is_contended (const struct buffer_budget *budget);
bool buffer_budget_is_near (const struct buffer_budget *budget);

#endif
