/* Conversion between charges and their protobuf form, which frames and the
   store share.  */
#ifndef GALENA_LEDGER_ITEM_H
#define GALENA_LEDGER_ITEM_H

#include "peer/peer.pb-c.h"
#include "policy/charges.h"
#include <stddef.h>
#include <stdint.h>

void ledger_item_set (Peer__LedgerItem *item, uint64_t program,
                      const struct charge *charge);
struct charge ledger_item_charge (const Peer__LedgerItem *item);
Peer__LedgerItem **ledger_items_list (Peer__LedgerItem *items, size_t count);

#endif
