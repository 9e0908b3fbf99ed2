/* Random identifiers, hashes and the monotonic clock. */
#ifndef GALENA_COMMON_ID_H
#define GALENA_COMMON_ID_H

#include <stddef.h>
#include <stdint.h>

enum
{
  ID_TEXT_BYTES = 27, /* 16 random bytes as URL-safe base64, and a NUL */
};

uint64_t id_random64 (void);
void id_random_text (char out[ID_TEXT_BYTES]);
uint64_t id_hash64 (const void *data, size_t len, uint64_t seed);
uint64_t id_hash_text (const char *text);
int64_t clock_now_ms (void);
int64_t clock_now_us (void);
int64_t clock_unix_ms (void);

#endif
