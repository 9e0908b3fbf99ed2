/* Client of the platform's store, which holds JSON objects by kind and name.
   The log on this host's own disk is store/log.h. */
#ifndef GALENA_PLATFORM_STORE_CLIENT_H
#define GALENA_PLATFORM_STORE_CLIENT_H

#include "common/fetch.h"
#include "common/json_span.h"
#include <jansson.h>

enum
{
  /* For calls that do not wait for changes.  A store that is sixty times
     slower than usual answers in a quarter of a second. */
  STORE_CALL_TIMEOUT_MS = 3000,
};

/* Status codes of the store that are handled individually. */
enum store_status
{
  STORE_OK = 200,
  STORE_NOT_FOUND = 404,
  STORE_CONFLICT = 409,
  STORE_GONE = 410, /* the changes since the requested revision were
                       discarded */
};

struct store_client
{
  struct fetcher *fetcher;
  char *base_url;   /* ends in "/objects/" */
  char *user_agent; /* the User-Agent header line */
};

struct store_reply
{
  long status; /* HTTP status; 0 without a complete response, when the call
                  may have been executed */
  /* The body, which may be anything; valid during the handler only. */
  struct json_span text;
  bool is_too_long; /* the body was not taken as a whole */
};

typedef void store_reply_handler (void *data, const struct store_reply *reply);

struct store_call;

void store_client_init (struct store_client *store, struct fetcher *fetcher,
                        const char *address, const char *host);
void store_client_release (struct store_client *store);
struct store_call *store_call_start (struct store_client *store,
                                     const char *method, const char *path,
                                     json_t *body, int64_t timeout_ms,
                                     store_reply_handler *handle, void *data);
bool store_reply_is_success (const struct store_reply *reply);
void store_call_cancel (struct store_call *call);

#endif
