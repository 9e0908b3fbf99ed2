/* Stores records of programs and uploads on several hosts and fetches them
   again.  Only hosts with a data directory (data hosts) store records. */
#ifndef GALENA_PROGRAM_REPLICATION_H
#define GALENA_PROGRAM_REPLICATION_H

#include "peer/peer.pb-c.h"
#include "program/history.h"
#include <stdint.h>

enum
{
  REPLICATION_FACTOR = 2,
};

struct server;
struct replication;

/* STORED is the number of replicas on disk.  WANTED is the number to store:
   REPLICATION_FACTOR, or fewer if there are fewer data hosts. */
typedef void replication_append_handler (void *data, uint32_t stored,
                                         uint32_t wanted);
/* The handler may take ownership of HISTORY's contents by clearing it.
   COMPLETE tells whether every host that may have records has answered; if
   not, records may be missing. */
typedef void replication_fetch_handler (void *data, struct history *history,
                                        bool complete);

struct replication *replication_create (struct server *server);
void replication_destroy (struct replication *replication);
void replication_append (struct replication *replication, const char *program,
                         const History__Record *record,
                         replication_append_handler *handle, void *data);
void replication_fetch (struct replication *replication, const char *program,
                        replication_fetch_handler *handle, void *data);
void replication_drop_handlers (struct replication *replication, void *data);
void replication_handle_frame (struct replication *replication,
                               const char *host, const Peer__Frame *frame);
void replication_handle_host_down (struct replication *replication,
                                   const char *host);
void replication_handle_hosts (struct replication *replication);
void replication_tick (struct replication *replication, int64_t now_ms);

#endif
