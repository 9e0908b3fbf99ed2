#include "common/id.h"
#include <sodium.h>
#include <string.h>
#include <time.h>
#include <xxhash.h>

enum
{
  ID_RANDOM_BYTES = 16,
};

/* Returns 64 random bits, never 0.  */
uint64_t
id_random64 (void)
{
  uint64_t value = 0;

  while (value == 0)
    randombytes_buf (&value, sizeof value);
  return value;
}

/* Generates a random id as text.  */
void
id_random_text (char out[ID_TEXT_BYTES])
{
  unsigned char raw[ID_RANDOM_BYTES];

  randombytes_buf (raw, sizeof raw);
  sodium_bin2base64 (out, ID_TEXT_BYTES, raw, sizeof raw,
                     sodium_base64_VARIANT_URLSAFE_NO_PADDING);
}

/* Hashes LEN bytes.  The hash is not cryptographic.  */
uint64_t
id_hash64 (const void *data, size_t len, uint64_t seed)
{
  return XXH3_64bits_withSeed (data, len, seed);
}

/* Hashes a string.  The hash is not cryptographic.  */
uint64_t
id_hash_text (const char *text)
{
  return XXH3_64bits (text, strlen (text));
}

/* Returns the monotonic time in microseconds.  It advances while the
   process is stopped or the machine is suspended.  */
int64_t
clock_now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

/* Returns the monotonic time in milliseconds.  */
int64_t
clock_now_ms (void)
{
  return clock_now_us () / 1000;
}

/* Returns the time of day in milliseconds since 1970.  */
int64_t
clock_unix_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}
