#include "ledger/item.h"
#include "common/buf.h"

/* Makes ITEM a CHARGE to PROGRAM that asks for no answer.  */
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

/* Returns the charge that ITEM holds.  */
struct charge
ledger_item_charge (const Peer__LedgerItem *item)
{
  return (struct charge){ .source = item->source,
                          .version = item->version,
                          .tokens = item->charged };
}

/* Returns pointers to ITEMS, as frames want them; the caller frees the list.
 */
Peer__LedgerItem **
ledger_items_list (Peer__LedgerItem *items, size_t count)
{
  Peer__LedgerItem **list = xcalloc (count + 1, sizeof *list);

  for (size_t i = 0; i < count; i++)
    list[i] = &items[i];
  return list;
}
