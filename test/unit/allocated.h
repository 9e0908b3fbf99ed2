/* What the process has allocated, to compare it with the accounts. */
#ifndef GALENA_TEST_ALLOCATED_H
#define GALENA_TEST_ALLOCATED_H

#include <stdint.h>

/* The sanitizers' allocators have other prices than that of the C library. */
#if defined __SANITIZE_ADDRESS__ || defined __SANITIZE_THREAD__
#define HAS_SANITIZER_ALLOCATOR 1
#else
#define HAS_SANITIZER_ALLOCATOR 0
#endif

int64_t allocated_bytes (void);

#endif
