#include "allocated.h"
#include <malloc.h>
#include <stddef.h>

#if HAS_SANITIZER_ALLOCATOR
size_t __sanitizer_get_current_allocated_bytes (void);
#endif

/* Returns the bytes that the process has allocated, with what the allocator
   adds to each block.  */
int64_t
allocated_bytes (void)
{
#if HAS_SANITIZER_ALLOCATOR
  return (int64_t)__sanitizer_get_current_allocated_bytes ();
#else
  struct mallinfo2 info = mallinfo2 ();

  return (int64_t)(info.uordblks + info.hblkhd);
#endif
}
