/* Replicates programs' records to the hosts that have a data folder. */
#ifndef GALENA_PROGRAM_COPIES_H
#define GALENA_PROGRAM_COPIES_H

#include "peer/peer.pb-c.h"
#include "program/history.h"
#include <stdint.h>

enum
{
  COPIES_WANTED = 2,
};

struct server;
struct copies;

/* KEPT replicas are on disk.  WANTED is the number of replicas that the
   current hosts allow. */
typedef void copies_append_handler (void *data, uint32_t kept,
                                    uint32_t wanted);
/* The handler may take ownership of HISTORY's contents by clearing it.
   COMPLETE tells whether every host that may have records answered. */
typedef void copies_fetch_handler (void *data, struct history *history,
                                   bool complete);

struct copies *copies_create (struct server *server);
void copies_destroy (struct copies *copies);
void copies_append (struct copies *copies, const char *program,
                    const History__Record *record,
                    copies_append_handler *handle, void *data);
void copies_fetch (struct copies *copies, const char *program,
                   copies_fetch_handler *handle, void *data);
void copies_cancel (struct copies *copies, void *data);
void copies_handle_frame (struct copies *copies, const char *host,
                          const Peer__Frame *frame);
void copies_handle_down (struct copies *copies, const char *host);
void copies_handle_hosts (struct copies *copies);
void copies_tick (struct copies *copies, int64_t now_ms);

#endif
