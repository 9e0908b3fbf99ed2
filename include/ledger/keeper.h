/* Keeper: stores a replica of the ledger of program budgets on this host's
   disk.

   Each program is stored by some of the keepers (ledger/keeper_set.h).  A host
   that runs a turn sends its charge to them and counts the answers of a
   majority (ledger/ledger.h).  A keeper answers only once the
   charge is on disk.  */
#ifndef GALENA_LEDGER_KEEPER_H
#define GALENA_LEDGER_KEEPER_H

#include "peer/host.h"
#include "peer/transport.h"
#include "store/store.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct keeper;

/* Called when the keeper on HOST has not been heard from for absent_ms and the
   ledger stays safe without it, so that HOST can be removed from the list of
   keepers.  */
typedef void keeper_absent_handler (void *data, const char *host);

struct keeper_options
{
  struct transport *transport; /* must outlive the keeper */
  struct store *store;         /* must outlive the keeper */
  const char *host;
  const char *data_centre;
  uint32_t losses;      /* of keepers, that the ledger survives */
  bool first_start;     /* of the whole system: an empty disk is expected */
  int64_t retention_ms; /* programs unused for longer are deleted */
  int64_t absent_ms;    /* a keeper not heard from for this long is absent */
  keeper_absent_handler *handle_absent; /* NULL: none are reported */
  void *data;
};

struct keeper *keeper_create (const struct keeper_options *options);
void keeper_destroy (struct keeper *keeper);
void keeper_set_others (struct keeper *keeper,
                        const struct host_location *others, size_t count);
void keeper_handle_frame (struct keeper *keeper, const char *host,
                          const Peer__Frame *frame);
void keeper_tick (struct keeper *keeper, int64_t now_ms);
bool keeper_is_complete (const struct keeper *keeper);
bool keeper_answers_for (const struct keeper *keeper, uint64_t program);
bool keeper_watches (const struct keeper *keeper, const char *host);
bool keeper_may_remove (const struct keeper *keeper, const char *host,
                        int64_t since_ms, int64_t now_ms);
bool keeper_hand_over (struct keeper *keeper, int64_t now_ms);

#endif
