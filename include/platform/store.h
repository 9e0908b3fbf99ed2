/* Client of the platform's store of objects. */
#ifndef GALENA_PLATFORM_STORE_H
#define GALENA_PLATFORM_STORE_H

#include "common/fetch.h"
#include <jansson.h>

enum
{
  /* Of calls that do not wait for changes: a store that answers sixty times
     more slowly than usual takes a quarter of a second. */
  PLATFORM_CALL_TIMEOUT_MS = 3000,
};

enum platform_status
{
  PLATFORM_OK = 200,
  PLATFORM_NOT_FOUND = 404,
  PLATFORM_CONFLICT = 409,
  PLATFORM_GONE = 410, /* the changes since a revision */
};

struct platform_store
{
  struct fetcher *fetcher;
  char *base_url;
  char *agent; /* a header line */
};

struct platform_reply
{
  long status;  /* 0 where none came: the call may have been executed */
  json_t *body; /* NULL where there is none; valid during the handler */
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
