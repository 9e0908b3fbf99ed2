#include "bench/figure.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  MANTISSA_BITS = 53,
};

/* Prints a result as a JSON line.  SENSE tells whether BOUND is an upper or a
   lower bound, or that there is none.  */
void
figure_print (const char *name, double value, const char *unit, double bound,
              enum figure_sense sense)
{
  bool met = sense == FIGURE_AT_MOST ? value <= bound : value >= bound;

  if (sense == FIGURE_NO_BOUND)
    printf ("{\"figure\": \"%s\", \"value\": %.6g, \"unit\": \"%s\", "
            "\"bound\": null, \"met\": null}\n",
            name, value, unit);
  else
    printf ("{\"figure\": \"%s\", \"value\": %.6g, \"unit\": \"%s\", "
            "\"bound\": %.6g, \"met\": %s}\n",
            name, value, unit, bound, met ? "true" : "false");
}

/* Returns the next 64 bits of an xorshift64* generator; STATE must not be 0.
 */
uint64_t
figure_random (uint64_t *state)
{
  *state ^= *state << 13;
  *state ^= *state >> 7;
  *state ^= *state << 17;
  return *state * UINT64_C (2685821657736338717);
}

/* Returns a uniformly distributed number in [0, 1).  */
double
figure_uniform (uint64_t *state)
{
  return (double)(figure_random (state) >> (64 - MANTISSA_BITS))
         / (double)(UINT64_C (1) << MANTISSA_BITS);
}

/* Returns an exponentially distributed number with the given mean.  */
double
figure_exponential (uint64_t *state, double mean)
{
  return -mean * log (1.0 - figure_uniform (state));
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

/* Sorts VALUES in place and returns the given percentile, or 0 if COUNT is 0.
 */
double
figure_percentile (double *values, uint32_t count, double percent)
{
  if (count == 0)
    return 0;
  qsort (values, count, sizeof *values, compare_doubles);
  return values[(uint32_t)((double)(count - 1) * percent / 100.0)];
}
