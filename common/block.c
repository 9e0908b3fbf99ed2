#include "common/block.h"
#include <string.h>

/* What an allocation takes of the C library's heap on 64-bit systems. */
enum
{
  BLOCK_HEAD_BYTES = 8,
  BLOCK_ALIGNMENT = 16,
  BLOCK_BYTES_MIN = 32,
};

/* Returns what an allocation of SIZE bytes takes; one of 0 bytes is not
   made.  */
size_t
block_bytes (size_t size)
{
  size_t bytes = size + BLOCK_HEAD_BYTES + BLOCK_ALIGNMENT - 1;

  if (size == 0)
    return 0;
  bytes -= bytes % BLOCK_ALIGNMENT;
  return bytes > BLOCK_BYTES_MIN ? bytes : BLOCK_BYTES_MIN;
}

/* Returns what a copy of TEXT takes, which may be NULL for none.  */
size_t
block_text_bytes (const char *text)
{
  return text ? block_bytes (strlen (text) + 1) : 0;
}
