/* Client of the ledger: reserves tokens of program budgets at the keepers, the
   hosts that store replicas of the ledger.  */
#ifndef GALENA_LEDGER_LEDGER_H
#define GALENA_LEDGER_LEDGER_H

#include "common/fields.h"
#include "peer/host.h"
#include "peer/mesh.h"
#include "policy/charges.h"
#include <ev.h>
#include <stdint.h>

struct ledger;
struct ledger_reservation;

struct ledger_options
{
  struct ev_loop *loop;
  struct mesh *mesh;
  uint32_t losses;      /* of keepers, that the ledger survives */
  int64_t retention_ms; /* programs unused for longer are dropped from this
                           host's memory; the keepers still hold them */
};

/* Called with the outcome of a reservation.  KNOWN is the total charged to the
   program, with this reservation, as far as this host knows.  */
typedef void ledger_verdict_handler (void *data, enum charges_verdict verdict,
                                     int64_t known);

struct ledger *ledger_create (const struct ledger_options *options);
void ledger_destroy (struct ledger *ledger);
void ledger_set_keepers (struct ledger *ledger,
                         const struct host_location *locations, size_t count);
void ledger_set_relays (struct ledger *ledger, const struct strings *names);
bool ledger_has_turns (const struct ledger *ledger, uint64_t program);
struct ledger_reservation *
ledger_reserve (struct ledger *ledger, uint64_t program, int64_t budget,
                int64_t tokens, ledger_verdict_handler *handle, void *data);
uint64_t ledger_reservation_id (const struct ledger_reservation *reservation);
void ledger_settle (struct ledger_reservation *reservation, int64_t used);
void ledger_handle_frame (struct ledger *ledger, const char *host,
                          const Peer__Frame *frame);
void ledger_tick (struct ledger *ledger, int64_t now_ms);
bool ledger_is_flushed (const struct ledger *ledger);

#endif
