/* Simulated agents that run programs through the entry hosts and verify the
   responses. */
#ifndef GALENA_SOAK_CALLERS_H
#define GALENA_SOAK_CALLERS_H

#include "common/fetch.h"
#include <ev.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  CALLERS_TOKENS_PER_EVENT = 3, /* chunk_tokens in the soak's configuration */
};

struct callers;

struct callers_options
{
  struct ev_loop *loop;
  struct fetcher *fetcher;
  uint16_t first_port; /* caller port of the first entry host */
  int hosts;           /* number of entry hosts */
  int count;           /* number of callers */
  uint64_t seed;
};

struct callers_totals
{
  uint32_t attempts;
  uint32_t answered;   /* complete responses with status 200 */
  uint32_t refused;    /* status 402, 429 or 5xx */
  uint32_t broken_off; /* no response or an incomplete one */
  uint32_t resumed;    /* attempts that resume a stream */
  uint32_t programs;
  uint32_t violations;
};

struct callers *callers_create (const struct callers_options *options);
void callers_destroy (struct callers *callers);
void callers_stop (struct callers *callers);
bool callers_are_done (const struct callers *callers);
bool callers_implies_not_run (long status);
void callers_check_runs (struct callers *callers, const json_t *runs);
void callers_report_violation (struct callers *callers, const char *format,
                               ...) __attribute__ ((format (printf, 2, 3)));
struct callers_totals callers_totals (const struct callers *callers);

#endif
