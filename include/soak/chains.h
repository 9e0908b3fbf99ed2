/* Simulated callers of conversations that the system keeps. */
#ifndef GALENA_SOAK_CHAINS_H
#define GALENA_SOAK_CHAINS_H

#include "soak/callers.h"

struct chains;

struct chains_totals
{
  uint32_t turns; /* sent, those that must not run included */
  uint32_t whole; /* turns whose response was complete */
  uint32_t continued;
  uint32_t forbidden; /* turns that name one that they may not continue */
  uint32_t ends;      /* last turns of chains at the end of all faults */
  uint32_t ends_continued;
};

/* Violations are reported to CALLERS. */
struct chains *chains_create (const struct callers_options *options,
                              struct callers *callers);
void chains_destroy (struct chains *chains);
void chains_begin_last_check (struct chains *chains);
bool chains_are_done (const struct chains *chains);
void chains_check_bodies (struct chains *chains, const json_t *bodies);
struct chains_totals chains_totals (const struct chains *chains);

#endif
