/* Checks that a limited endpoint gets no more requests than it allows. */
#ifndef GALENA_SOAK_LIMIT_CHECK_H
#define GALENA_SOAK_LIMIT_CHECK_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

/* A time in which an endpoint is cold, or its data centre evacuated. */
struct limit_span
{
  int64_t from_ms;
  int64_t to_ms;
};

/* What happened in a run, in the order of time. */
struct limit_check
{
  GArray *starts_ms;    /* of entry hosts */
  GArray *disturbed_ms; /* when the endpoint's link had faults */
  GArray *cold;         /* struct limit_span */
  GArray *evacuated;    /* struct limit_span, in which nothing may arrive */
};

void limit_check_init (struct limit_check *check);
void limit_check_release (struct limit_check *check);
uint32_t limit_check_excess (const struct limit_check *check,
                             const json_t *arrivals_ms, int64_t limit_milli);
uint32_t limit_check_cold_excess (const struct limit_check *check,
                                  const json_t *arrivals_ms);
uint32_t limit_check_evacuated (const struct limit_check *check,
                                const json_t *arrivals_ms);

#endif
