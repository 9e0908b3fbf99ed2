/* Data centres whose endpoints get no requests because an operator evacuates
   them, and those that get their requests back after an evacuation.  */
#ifndef GALENA_REQUEST_EVACUATIONS_H
#define GALENA_REQUEST_EVACUATIONS_H

#include "common/fields.h"
#include <stdbool.h>
#include <stdint.h>

struct evacuations;

struct evacuations *evacuations_create (void);
void evacuations_destroy (struct evacuations *evacuations);
void evacuations_apply (struct evacuations *evacuations,
                        const struct strings *data_centres, int64_t now_ms);
bool evacuations_contain (const struct evacuations *evacuations,
                          const char *data_centre);
int64_t evacuations_ended_ms (const struct evacuations *evacuations,
                              const char *data_centre);

#endif
