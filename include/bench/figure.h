/* Benchmark results as JSON lines, random numbers and percentiles. */
#ifndef GALENA_BENCH_FIGURE_H
#define GALENA_BENCH_FIGURE_H

#include <stdbool.h>
#include <stdint.h>

enum figure_sense
{
  FIGURE_AT_MOST,
  FIGURE_AT_LEAST,
  FIGURE_NO_BOUND,
};

void figure_print (const char *name, double value, const char *unit,
                   double bound, enum figure_sense sense);

/* Deterministic pseudorandom numbers: STATE starts as a fixed seed that is not
   0. */
uint64_t figure_random (uint64_t *state);
double figure_uniform (uint64_t *state);
double figure_exponential (uint64_t *state, double mean);
double figure_percentile (double *values, uint32_t count, double percent);

#endif
