/* Conversions of numbers from outside into 64-bit integers. */
#ifndef GALENA_COMMON_NUMBER_H
#define GALENA_COMMON_NUMBER_H

#include <jansson.h>
#include <stdint.h>

int64_t number_to_int64 (double number);
int64_t number_read_count (const json_t *object, const char *name,
                           int64_t max);
int64_t number_from_json (const json_t *value, int64_t fallback);

#endif
