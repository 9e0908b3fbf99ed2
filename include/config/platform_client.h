/* Client of the platform's object API: versions, conditional updates and
   watches. */
#ifndef GALENA_CONFIG_PLATFORM_CLIENT_H
#define GALENA_CONFIG_PLATFORM_CLIENT_H

#include "common/fetch.h"
#include <jansson.h>
#include <stdint.h>

enum platform_status
{
  PLATFORM_OK,
  PLATFORM_NOT_FOUND,
  PLATFORM_CONFLICT,        /* the object has another version */
  PLATFORM_REJECTED,        /* the request is invalid */
  PLATFORM_NOT_SENT,        /* not sent; a write had no effect */
  PLATFORM_OUTCOME_UNKNOWN, /* no complete response; a write may have taken
                               effect */
};

struct platform_response
{
  enum platform_status status;
  uint64_t version; /* written or found; 0 when the body has none */
  json_t *body;     /* borrowed; NULL for none */
};

typedef void platform_handler (void *data,
                               const struct platform_response *response);

/* FETCHER is borrowed and must outlive the client. */
struct platform_client
{
  struct fetcher *fetcher;
  char *url;          /* owned */
  int64_t timeout_ms; /* of every request but a watch */
};

void platform_init (struct platform_client *platform, struct fetcher *fetcher,
                    const char *url);
void platform_release (struct platform_client *platform);
struct fetch *platform_get (struct platform_client *platform, const char *kind,
                            const char *name, platform_handler *handle,
                            void *data);
struct fetch *platform_list (struct platform_client *platform,
                             const char *kinds, platform_handler *handle,
                             void *data);
struct fetch *platform_watch (struct platform_client *platform,
                              const char *kinds, uint64_t since,
                              int64_t timeout_ms, platform_handler *handle,
                              void *data);
struct fetch *platform_put (struct platform_client *platform, const char *kind,
                            const char *name, uint64_t version,
                            const json_t *value, platform_handler *handle,
                            void *data);
struct fetch *platform_delete (struct platform_client *platform,
                               const char *kind, const char *name,
                               uint64_t version, platform_handler *handle,
                               void *data);

#endif
