/* The price of allocations, for accounts of memory. */
#ifndef GALENA_COMMON_BLOCK_H
#define GALENA_COMMON_BLOCK_H

#include <stddef.h>

size_t block_bytes (size_t size);
size_t block_text_bytes (const char *text);

#endif
