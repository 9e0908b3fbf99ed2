/* When a data centre that is not heard from counts as cut off. */
#ifndef GALENA_POLICY_SILENCE_H
#define GALENA_POLICY_SILENCE_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  SILENCE_PROBE_MS = 200, /* without a sign of life, one is asked for */
  /* Ten times the longest way between data centres of a region, and the pause
     of a host whose processor share is used up. */
  SILENCE_CUT_MS = 400,
  SILENCE_PAUSE_MS = 300, /* a longer gap between ticks is the host's own */
};

/* What is known of a data centre.  Owned by its user. */
struct silence
{
  int64_t heard_ms;  /* the last sign of life */
  int64_t probed_ms; /* the oldest question since then; 0 for none */
  int64_t asked_ms;  /* the newest question */
  int64_t ticked_ms;
  bool is_cut;
};

void silence_init (struct silence *silence, int64_t now_ms);
void silence_note_heard (struct silence *silence, int64_t heard_ms);
bool silence_tick (struct silence *silence, int64_t now_ms);

#endif
