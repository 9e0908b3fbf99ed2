/* State of the traffic thread. */
#ifndef GALENA_GALENASHORED_SERVER_H
#define GALENA_GALENASHORED_SERVER_H

#include "common/fetch.h"
#include "common/httpd.h"
#include "common/mailbox.h"
#include "config/config.h"
#include "config/platform_client.h"
#include "galenashored/settings.h"
#include "journal/journal.h"
#include "peer/mesh.h"
#include "policy/owner.h"
#include "store/store.h"
#include <ev.h>

struct replication;
struct dispatcher;
struct forwarder;
struct holds;
struct limiter;
struct programs;
struct idempotency;

/* What the components of the traffic thread share; one per process.  Owns the
   components unless stated otherwise.  Only the traffic thread uses it. */
struct server
{
  const struct settings *settings;
  struct ev_loop *loop;
  uint64_t process;      /* random id of this process, never 0 */
  uint64_t dc_hash;      /* of the name of this host's data centre */
  struct config *config; /* never NULL once serving */
  struct owner_candidate *candidates; /* one per host of the config */
  struct mailbox *inbox;              /* struct traffic_message */
  struct mailbox *control; /* struct control_message; owned by control */
  struct fetcher *fetcher;
  struct platform_client platform;
  struct journal *journal;
  struct mesh *mesh;
  struct httpd *httpd;
  struct store *store; /* NULL without a data directory */
  struct replication *replication;
  struct dispatcher *dispatcher;
  struct holds *holds;
  struct forwarder *forwarder;
  struct limiter *limiter;
  struct programs *programs;
  struct idempotency *idempotency;
  ev_timer tick;
  bool serving;  /* a configuration has been applied */
  bool stopping; /* a graceful shutdown has started */
  int64_t stop_started_ms;
};

void server_update_candidates (struct server *server);
const struct config_host *server_find_owner (struct server *server,
                                             const char *program);
bool server_is_self (const struct server *server,
                     const struct config_host *host);
const struct config_host *
server_find_host_of_process (const struct server *server, uint64_t process);

#endif
