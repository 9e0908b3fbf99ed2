/* Typed errors.  Messages state what is wrong and how to fix it. */
#ifndef GALENA_COMMON_ERROR_H
#define GALENA_COMMON_ERROR_H

#include <stdbool.h>
#include <stdint.h>

enum error_kind
{
  ERROR_NONE,
  ERROR_SETTINGS,
  ERROR_BAD_REQUEST,
  ERROR_TOO_LARGE,
  ERROR_UNAUTHORIZED,
  ERROR_FORBIDDEN,
  ERROR_NOT_FOUND,
  ERROR_METHOD,
  ERROR_STALE_CURSOR,
  ERROR_BRANCH_BUSY,
  ERROR_OUT_OF_ORDER,
  ERROR_RATE_LIMITED,
  ERROR_BUDGET_EXHAUSTED,
  ERROR_OVERLOADED,
  ERROR_CRASHES_ENDPOINTS,
  ERROR_CANCELLED,
  ERROR_ENDPOINT,
  ERROR_ENDPOINT_TIMEOUT,
  ERROR_OUTCOME_UNKNOWN,
  ERROR_HISTORY_UNAVAILABLE,
  ERROR_PLATFORM,
  ERROR_CONFLICT,
  ERROR_PEER,
  ERROR_STOPPING,
  ERROR_INTERNAL,
  ERROR_KIND_COUNT,
};

/* Whether the failed request was executed. */
enum run_state
{
  RUN_NOT_RUN,
  RUN_MAY_HAVE_RUN,
  RUN_RAN,
};

struct error
{
  enum error_kind kind;
  enum run_state run;
  uint32_t retry_after_ms;
  char message[256];
};

void error_set (struct error *error, enum error_kind kind, enum run_state run,
                const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
const char *error_kind_name (enum error_kind kind);
unsigned error_http_status (enum error_kind kind);
const char *error_run_name (enum run_state run);
char *error_to_json (const struct error *error);

#endif
