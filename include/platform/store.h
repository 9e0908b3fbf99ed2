/* Client of the platform's object store. */
#ifndef GALENA_PLATFORM_STORE_H
#define GALENA_PLATFORM_STORE_H

#include "common/fetch.h"
#include <jansson.h>

enum
{
  /* For calls that do not wait for changes.  A store that is sixty times
     slower than usual answers in a quarter of a second. */
  PLATFORM_CALL_TIMEOUT_MS = 3000,
};

enum platform_status
{
  PLATFORM_OK = 200,
  PLATFORM_NOT_FOUND = 404,
  PLATFORM_CONFLICT = 409,
  PLATFORM_GONE = 410, /* the changes since a revision were discarded */
};

struct platform_store
{
  struct fetcher *fetcher;
  char *base_url;
  char *user_agent; /* the User-Agent header line */
};

struct platform_reply
{
  long status;  /* 0 without a response: the call may have been executed */
  json_t *body; /* NULL if absent; valid during the handler only */
};

typedef void platform_reply_handler (void *data,
                                     const struct platform_reply *reply);

struct platform_call;

void platform_store_init (struct platform_store *store,
                          struct fetcher *fetcher, const char *address,
                          const char *host);
void platform_store_release (struct platform_store *store);
struct platform_call *
platform_call_start (struct platform_store *store, const char *method,
                     const char *path, json_t *body, int64_t timeout_ms,
                     platform_reply_handler *handle, void *data);
bool platform_reply_is_success (const struct platform_reply *reply);
void platform_call_cancel (struct platform_call *call);

#endif
