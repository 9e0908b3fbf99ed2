/* Maintains this host's entry in the host list in the store. */
#ifndef GALENA_PLATFORM_REGISTRY_H
#define GALENA_PLATFORM_REGISTRY_H

#include "platform/messages.h"
#include "platform/settings.h"
#include "platform/store_client.h"
#include <ev.h>

/* Kind of the store objects that are the entries of the host list. */
#define HOST_LIST_KIND "galenashore-hosts"

struct registry;

struct registry_options
{
  struct ev_loop *loop;
  struct store_client *store;
  const struct platform_settings *settings;
  void (*handle_registered) (void *data); /* the entry is written */
  void (*handle_removed) (void *data);    /* after registry_deregister */
  void *data;
};

bool registry_decode_host (const char *name, const json_t *object,
                           struct host_entry *entry);
struct registry *registry_create (const struct registry_options *options);
void registry_destroy (struct registry *registry);
void registry_reregister (struct registry *registry);
void registry_deregister (struct registry *registry);

#endif
