#include "common/error.h"
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

struct error_kind_row
{
  const char *name;
  unsigned http_status;
};

static const struct error_kind_row error_kinds[ERROR_KIND_COUNT] = {
  [ERROR_NONE] = { "none", 200 },
  [ERROR_SETTINGS] = { "settings", 400 },
  [ERROR_BAD_REQUEST] = { "bad_request", 400 },
  [ERROR_TOO_LARGE] = { "too_large", 413 },
  [ERROR_UNAUTHORIZED] = { "unauthorized", 401 },
  [ERROR_FORBIDDEN] = { "forbidden", 403 },
  [ERROR_NOT_FOUND] = { "not_found", 404 },
  [ERROR_METHOD] = { "method_not_allowed", 405 },
  [ERROR_STALE_CURSOR] = { "stale_cursor", 409 },
  [ERROR_BRANCH_BUSY] = { "branch_busy", 409 },
  [ERROR_OUT_OF_ORDER] = { "out_of_order", 409 },
  [ERROR_RATE_LIMITED] = { "rate_limited", 429 },
  [ERROR_BUDGET_EXHAUSTED] = { "budget_exhausted", 402 },
  [ERROR_OVERLOADED] = { "overloaded", 503 },
  [ERROR_CRASHES_ENDPOINTS] = { "request_crashes_endpoints", 422 },
  [ERROR_CANCELLED] = { "cancelled", 410 },
  [ERROR_ENDPOINT] = { "endpoint_failed", 502 },
  [ERROR_ENDPOINT_TIMEOUT] = { "endpoint_timeout", 504 },
  [ERROR_OUTCOME_UNKNOWN] = { "outcome_unknown", 409 },
  [ERROR_HISTORY_UNAVAILABLE] = { "history_unavailable", 503 },
  [ERROR_PLATFORM] = { "platform_unavailable", 503 },
  [ERROR_CONFLICT] = { "conflict", 409 },
  [ERROR_PEER] = { "peer_unreachable", 503 },
  [ERROR_STOPPING] = { "stopping", 503 },
  [ERROR_INTERNAL] = { "internal", 500 },
};

static const char *const run_names[] = {
  [RUN_NOT_RUN] = "not_run",
  [RUN_MAY_HAVE_RUN] = "may_have_run",
  [RUN_RAN] = "ran",
};

/* Sets ERROR, which may be NULL.  Messages that are too long are truncated. */
void
error_set (struct error *error, enum error_kind kind, enum run_state run,
           const char *format, ...)
{
  va_list args;

  if (!error)
    return;
  error->kind = kind;
  error->run = run;
  error->retry_after_ms = 0;
  va_start (args, format);
  vsnprintf (error->message, sizeof error->message, format, args);
  va_end (args);
}

/* Returns the name of KIND in the HTTP API.  */
const char *
error_kind_name (enum error_kind kind)
{
  return error_kinds[kind].name;
}

/* Returns the HTTP status code for KIND.  */
unsigned
error_http_status (enum error_kind kind)
{
  return error_kinds[kind].http_status;
}

/* Returns the name of RUN in the HTTP API.  */
const char *
error_run_name (enum run_state run)
{
  return run_names[run];
}

/* Returns ERROR as a JSON response body, which the caller frees.  */
char *
error_to_json (const struct error *error)
{
  json_t *root
      = json_pack ("{s:{s:s, s:s, s:s, s:I}}", "error", "kind",
                   error_kind_name (error->kind), "run",
                   error_run_name (error->run), "message", error->message,
                   "retry_after_ms", (json_int_t)error->retry_after_ms);
  char *text = json_dumps (root, JSON_COMPACT);

  json_decref (root);
  return text;
}
