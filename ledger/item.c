#include "ledger/item.h"
#include "common/buf.h"

/* Fills ITEM with CHARGE to PROGRAM.  The id stays 0, so that keepers send no
   answer.  */
void
ledger_item_set (Peer__LedgerItem *item, uint64_t program,
                 const struct charge *charge)
{
  peer__ledger_item__init (item);
  item->program = program;
  item->source = charge->source;
  item->version = charge->version;
  item->charged = charge->tokens;
}

/* Returns the charge stored in ITEM.  */
struct charge
ledger_item_charge (const Peer__LedgerItem *item)
{
  return (struct charge){ .source = item->source,
                          .version = item->version,
                          .tokens = item->charged };
}

/* Returns an array of pointers to ITEMS, as protobuf-c repeated fields need
   it.  The caller frees the array.  */
Peer__LedgerItem **
ledger_items_list (Peer__LedgerItem *items, size_t count)
{
  Peer__LedgerItem **list = xcalloc (count + 1, sizeof *list);

  for (size_t i = 0; i < count; i++)
    list[i] = &items[i];
  return list;
}
