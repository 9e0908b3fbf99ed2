// Properties of cursors, heaps, slot holders, the table of crashing requests
// and slots.
#include "properties.h"
#include <algorithm>
#include <cstring>
#include <map>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>
extern "C"
{
#include "policy/cursor.h"
#include "policy/heap.h"
#include "policy/holders.h"
#include "policy/retry.h"
#include "policy/slots.h"
#include "policy/token_bucket.h"
}

bool
check_cursor ()
{
  return rc::check (
      "a cursor opens unchanged, and not once a byte differs", [] {
        keyring keyring = {};
        cursor sealed = {};
        cursor opened = {};
        char text[CURSOR_TEXT_BYTES];
        error problem;

        keyring.count = 1;
        keyring.keys[0].secret[0] = 1;
        sealed.program = *rc::gen::arbitrary<uint64_t> ();
        sealed.branch = *rc::gen::arbitrary<uint32_t> ();
        sealed.turn = *rc::gen::arbitrary<uint32_t> ();
        sealed.incarnation = *rc::gen::arbitrary<uint64_t> ();
        sealed.spent_tokens = *rc::gen::arbitrary<uint64_t> ();
        sealed.history_hash = *rc::gen::arbitrary<uint64_t> ();
        RC_ASSERT (cursor_seal (&keyring, &sealed, text));
        RC_ASSERT (cursor_open (&keyring, text, &opened, &problem));
        RC_ASSERT (opened.program == sealed.program);
        RC_ASSERT (opened.branch == sealed.branch);
        RC_ASSERT (opened.turn == sealed.turn);
        RC_ASSERT (opened.incarnation == sealed.incarnation);
        RC_ASSERT (opened.spent_tokens == sealed.spent_tokens);
        RC_ASSERT (opened.history_hash == sealed.history_hash);

        // The last character has unused bits, so it is not modified.
        size_t at = *rc::gen::inRange<size_t> (0, std::strlen (text) - 1);
        text[at] = text[at] == 'A' ? 'B' : 'A';
        RC_ASSERT (!cursor_open (&keyring, text, &opened, &problem));
      });
}

bool
check_heap ()
{
  return rc::check ("a heap returns its nodes in order", [] {
    auto keys = *rc::gen::container<std::vector<int64_t> > (
        rc::gen::inRange<int64_t> (0, 50));
    std::vector<heap_node> nodes (keys.size ());
    heap heap = {};
    int64_t last = INT64_MIN;

    for (size_t i = 0; i < keys.size (); i++)
      {
        nodes[i].key = keys[i];
        nodes[i].tie = i;
        heap_push (&heap, &nodes[i]);
      }
    for (size_t i = 0; i < nodes.size (); i += 3)
      heap_update (&heap, &nodes[i], nodes[i].key / 2);
    while (heap_node *node = heap_peek (&heap))
      {
        RC_ASSERT (node->key >= last);
        last = node->key;
        heap_remove (&heap, node);
      }
    heap_release (&heap);
  });
}

bool
check_holders ()
{
  return rc::check (
      "only its holder releases a slot, and only free ones are claimed", [] {
        constexpr uint32_t SLOTS = 16;
        uint64_t holders[SLOTS];
        auto live = *rc::gen::unique<std::vector<uint64_t> > (
            rc::gen::inRange<uint64_t> (1, 12));
        uint64_t self = *rc::gen::inRange<uint64_t> (1, 12);

        if (std::find (live.begin (), live.end (), self) == live.end ())
          live.push_back (self);
        for (auto &holder : holders)
          holder = *rc::gen::inRange<uint64_t> (0, 12);
        struct holders_plan plan
            = ::holders_plan (holders, SLOTS, self, live.data (),
                              static_cast<uint32_t> (live.size ()),
                              *rc::gen::arbitrary<bool> ());
        for (uint32_t i = 0; i < SLOTS; i++)
          {
            bool listed = std::find (live.begin (), live.end (), holders[i])
                          != live.end ();

            RC_ASSERT (!(plan.release & (1ULL << i)) || holders[i] == self);
            RC_ASSERT (!(plan.claim & (1ULL << i)) || !listed);
          }
        RC_ASSERT (plan.claim == 0 || plan.release == 0);
      });
}

bool
check_poison ()
{
  return rc::check ("a request crashes at most two endpoints", [] {
    static poison_table poison;
    auto requests = *rc::gen::container<std::vector<uint64_t> > (
        rc::gen::inRange<uint64_t> (1, 5));
    std::map<uint64_t, int> crashes;
    int64_t now_ms = 0;

    poison = {};
    for (uint64_t request : requests)
      {
        now_ms += 10;
        // Odd requests crash the endpoint that runs them.
        if (poison_check (&poison, request, now_ms) == POISON_REFUSE)
          continue;
        if (request % 2 == 1)
          {
            crashes[request]++;
            poison_record_crash (&poison, request,
                                 static_cast<uint64_t> (now_ms), 0, now_ms);
          }
        else
          poison_record_success (&poison, request);
      }
    for (const auto &entry : crashes)
      RC_ASSERT (entry.second <= POISON_CRASHES);
  });
}

bool
check_slots ()
{
  return rc::check (
      "the sums of the parts never exceed the rate and the burst", [] {
        uint32_t dc_count = *rc::gen::inRange<uint32_t> (1, 9);
        std::vector<slots_dc> dcs (dc_count);
        std::vector<slot_part> parts (SLOTS_MAX_DCS * 16);
        int64_t rate_milli = *rc::gen::inRange<int64_t> (1, 1000000);
        int64_t burst = *rc::gen::inRange<int64_t> (1, 5000);
        std::set<std::pair<uint32_t, uint32_t> > seen;
        int64_t rate = 0;
        int64_t capacity = 0;

        for (uint32_t i = 0; i < dc_count; i++)
          dcs[i] = { 100 + i, 16 };
        uint32_t count = slots_for_customer (
            dcs.data (), dc_count, *rc::gen::arbitrary<uint64_t> (),
            rate_milli, burst, parts.data (),
            static_cast<uint32_t> (parts.size ()));
        RC_ASSERT (count > 0);
        for (uint32_t i = 0; i < count; i++)
          {
            RC_ASSERT (seen.insert ({ parts[i].dc, parts[i].slot }).second);
            RC_ASSERT (parts[i].capacity_utokens >= UTOKENS_PER_TOKEN);
            rate += parts[i].rate_utokens_per_s;
            capacity += parts[i].capacity_utokens;
          }
        RC_ASSERT (rate <= rate_milli * (UTOKENS_PER_TOKEN / 1000));
        RC_ASSERT (capacity <= burst * UTOKENS_PER_TOKEN);
      });
}
