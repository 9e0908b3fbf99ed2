/* Compression of what passes between hosts, with zlib. */
#ifndef GALENA_COMMON_DEFLATE_H
#define GALENA_COMMON_DEFLATE_H

#include "common/buf.h"
#include <stdbool.h>
#include <stddef.h>

void deflate_append (struct buf *out, const void *data, size_t len);
bool inflate_append (struct buf *out, const void *data, size_t len,
                     size_t inflated_len);

#endif
