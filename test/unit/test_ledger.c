#include "common/id.h"
#include "ledger/item.h"
#include "ledger/ledger.h"
#include "local_mesh.h"
#include "suites.h"
#include <stdio.h>
#include <string.h>

enum
{
  MAX_LOOP_ITERATIONS = 20000,
  ENTRY_PORT = 23911,
  KEEPER_PORT = 23912,
  PROGRAM = 7,
  BUDGET = 150,
  RETENTION_MS = 1000,
  LOSSES = 2,
};

/* An entry host's ledger and a keeper that stores charges in memory. */
struct fixture
{
  struct ev_loop *loop;
  struct keyring keyring;
  struct mesh *entry;
  struct mesh *keeper;
  struct ledger *ledger;
  struct charges stored; /* of PROGRAM, at the keeper */
  int writes;            /* items that the keeper received */
  int verdict;           /* of the latest turn; negative until it arrives */
  int64_t known;
};

static void
handle_entry_frame (void *data, const char *host, const Peer__Frame *frame)
{
  struct fixture *fixture = data;

  ledger_handle_frame (fixture->ledger, host, frame);
}

static void
send_answer (struct fixture *fixture, const char *host, uint64_t id)
{
  Peer__LedgerItem items[8];
  Peer__LedgerItem *list[8];
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LedgerAnswers answers = PEER__LEDGER_ANSWERS__INIT;
  Peer__LedgerAnswer answer = PEER__LEDGER_ANSWER__INIT;
  Peer__LedgerAnswer *only = &answer;

  for (size_t i = 0; i < fixture->stored.count && i < 8; i++)
    {
      ledger_item_set (&items[i], PROGRAM, &fixture->stored.entries[i]);
      list[i] = &items[i];
    }
  answer.id = id;
  answer.entries = list;
  answer.n_entries = fixture->stored.count;
  answers.answers = &only;
  answers.n_answers = 1;
  frame.body_case = PEER__FRAME__BODY_LEDGER_ANSWERS;
  frame.ledger_answers = &answers;
  mesh_send (fixture->keeper, host, &frame);
}

static void
handle_keeper_frame (void *data, const char *host, const Peer__Frame *frame)
{
  struct fixture *fixture = data;

  if (frame->body_case != PEER__FRAME__BODY_LEDGER_WRITE)
    return;
  for (size_t i = 0; i < frame->ledger_write->n_items; i++)
    {
      const Peer__LedgerItem *item = frame->ledger_write->items[i];
      struct charge charge = ledger_item_charge (item);

      fixture->writes++;
      charges_merge (&fixture->stored, &charge);
      if (item->id)
        send_answer (fixture, host, item->id);
    }
}

static struct mesh *
open_mesh (struct fixture *fixture, const char *name, uint16_t port,
           mesh_frame_handler *handle)
{
  const struct mesh_host hosts[]
      = { { "e", "127.0.0.1:23911" }, { "k", "127.0.0.1:23912" } };
  struct local_mesh_options options = { .loop = fixture->loop,
                                        .keyring = &fixture->keyring,
                                        .name = name,
                                        .port = port,
                                        .handle_frame = handle,
                                        .data = fixture };
  struct mesh *mesh = local_mesh_open (&options);

  mesh_set_hosts (mesh, hosts, 2);
  return mesh;
}

static void
fixture_open (struct fixture *fixture)
{
  struct ledger_options options
      = { .losses = LOSSES, .retention_ms = RETENTION_MS };
  struct host_location keeper = { .name = "k", .data_centre = "dc" };

  *fixture = (struct fixture){ .loop = ev_loop_new (EVFLAG_AUTO) };
  fixture->keyring.count = 1;
  fixture->keyring.keys[0].id = 1;
  fixture->entry = open_mesh (fixture, "e", ENTRY_PORT, handle_entry_frame);
  fixture->keeper = open_mesh (fixture, "k", KEEPER_PORT, handle_keeper_frame);
  options.loop = fixture->loop;
  options.mesh = fixture->entry;
  fixture->ledger = ledger_create (&options);
  ledger_set_keepers (fixture->ledger, &keeper, 1);
}

static void
fixture_close (struct fixture *fixture)
{
  ledger_destroy (fixture->ledger);
  mesh_destroy (fixture->entry);
  mesh_destroy (fixture->keeper);
  charges_release (&fixture->stored);
  ev_loop_destroy (fixture->loop);
}

static void
handle_verdict (void *data, enum charges_verdict verdict, int64_t known)
{
  struct fixture *fixture = data;

  fixture->verdict = (int)verdict;
  fixture->known = known;
}

static struct ledger_reservation *
reserve (struct fixture *fixture, int64_t tokens)
{
  struct ledger_reservation *reservation;

  fixture->verdict = -1;
  reservation = ledger_reserve (fixture->ledger, PROGRAM, BUDGET, tokens,
                                handle_verdict, fixture);
  for (int i = 0; i < MAX_LOOP_ITERATIONS && fixture->verdict < 0; i++)
    ev_run (fixture->loop, EVRUN_ONCE);
  return reservation;
}

/* Settles the turn and waits until the keeper has received it.  */
static void
settle (struct fixture *fixture, struct ledger_reservation *reservation,
        int64_t used)
{
  int before = fixture->writes;

  ledger_settle (reservation, used);
  ledger_tick (fixture->ledger, clock_now_ms ());
  for (int i = 0; i < MAX_LOOP_ITERATIONS && fixture->writes == before; i++)
    ev_run (fixture->loop, EVRUN_ONCE);
}

static void
test_turns_exhaust_budget (void)
{
  struct fixture fixture;

  fixture_open (&fixture);
  settle (&fixture, reserve (&fixture, 100), 60);
  CU_ASSERT_EQUAL (fixture.verdict, CHARGES_GRANTED);
  CU_ASSERT_TRUE (ledger_is_flushed (fixture.ledger));
  ledger_settle (reserve (&fixture, 100), 0);
  CU_ASSERT_EQUAL (fixture.verdict, CHARGES_EXHAUSTED);
  CU_ASSERT_EQUAL (fixture.known, 160);
  fixture_close (&fixture);
}

/* Once the settlement is sent, the tick alone drops the program: no other
   program needs to be settled.  */
static void
test_unused_program_is_dropped (void)
{
  struct fixture fixture;

  fixture_open (&fixture);
  settle (&fixture, reserve (&fixture, 100), 90);
  CU_ASSERT_TRUE (ledger_has_turns (fixture.ledger, PROGRAM));
  ledger_tick (fixture.ledger, clock_now_ms () + 100 * RETENTION_MS);
  CU_ASSERT_FALSE (ledger_has_turns (fixture.ledger, PROGRAM));
  fixture_close (&fixture);
}

/* A turn that was refused before it ran does not count as the program's first.
 */
static void
test_refused_turn_is_not_first (void)
{
  struct fixture fixture;

  fixture_open (&fixture);
  settle (&fixture, reserve (&fixture, 100), 0);
  CU_ASSERT_EQUAL (fixture.known, 100);
  CU_ASSERT_FALSE (ledger_has_turns (fixture.ledger, PROGRAM));
  ledger_settle (reserve (&fixture, 100), 10);
  CU_ASSERT_TRUE (ledger_has_turns (fixture.ledger, PROGRAM));
  fixture_close (&fixture);
}

static void
inject_answer (struct fixture *fixture, const char *keeper, uint64_t id)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LedgerAnswers answers = PEER__LEDGER_ANSWERS__INIT;
  Peer__LedgerAnswer answer = PEER__LEDGER_ANSWER__INIT;
  Peer__LedgerAnswer *only = &answer;

  answer.id = id;
  answer.behind = true;
  answers.answers = &only;
  answers.n_answers = 1;
  frame.body_case = PEER__FRAME__BODY_LEDGER_ANSWERS;
  frame.ledger_answers = &answers;
  ledger_handle_frame (fixture->ledger, keeper, &frame);
}

/* Keepers are added while a turn waits for answers.  They answer that they are
   behind, so the turn waits for all keepers before it may use the larger part
   of the budget.  */
static void
test_keepers_added_while_waiting (void)
{
  static const struct host_location keepers[]
      = { { "k1", "dc" }, { "k2", "dc" }, { "k3", "dc" },
          { "k4", "dc" }, { "k5", "dc" }, { "k6", "dc" } };
  struct fixture fixture;
  struct ledger_reservation *reservation;

  fixture_open (&fixture);
  fixture.verdict = -1;
  reservation = ledger_reserve (fixture.ledger, PROGRAM, BUDGET, BUDGET,
                                handle_verdict, &fixture);
  ledger_set_keepers (fixture.ledger, keepers,
                      sizeof keepers / sizeof *keepers);
  for (size_t i = 0; i < sizeof keepers / sizeof *keepers; i++)
    inject_answer (&fixture, keepers[i].name,
                   ledger_reservation_id (reservation));
  for (int i = 0; i < MAX_LOOP_ITERATIONS && fixture.verdict < 0; i++)
    ev_run (fixture.loop, EVRUN_ONCE);
  CU_ASSERT_EQUAL (fixture.verdict, CHARGES_UNDECIDED);
  ledger_settle (reservation, 0);
  fixture_close (&fixture);
}

/* The keeper still has the charges that this host made before it dropped the
   program; other hosts may have continued the program.  */
static void
test_dropped_program_stays_charged (void)
{
  struct fixture fixture;

  fixture_open (&fixture);
  settle (&fixture, reserve (&fixture, 100), 90);
  ledger_tick (fixture.ledger, clock_now_ms () + 100 * RETENTION_MS);
  CU_ASSERT_FALSE (ledger_has_turns (fixture.ledger, PROGRAM));
  ledger_settle (reserve (&fixture, 100), 0);
  CU_ASSERT_EQUAL (fixture.verdict, CHARGES_EXHAUSTED);
  CU_ASSERT_EQUAL (fixture.known, 190);
  fixture_close (&fixture);
}

enum
{
  FLEET_KEEPERS = 36,
  FLEET_PORT = 23940,
  FLEET_REPLICAS = 2 * LOSSES + 2,
};

/* A keeper of a large fleet: counts the items that it receives. */
struct fleet_keeper
{
  struct mesh *mesh;
  int items;
};

static void
count_items (void *data, const char *host, const Peer__Frame *frame)
{
  struct fleet_keeper *keeper = data;

  if (frame->body_case == PEER__FRAME__BODY_LEDGER_WRITE)
    keeper->items += (int)frame->ledger_write->n_items;
}

static struct mesh *
open_fleet_mesh (struct fixture *fixture, const char *name, uint16_t port,
                 struct fleet_keeper *keeper)
{
  struct local_mesh_options options = { .loop = fixture->loop,
                                        .keyring = &fixture->keyring,
                                        .name = name,
                                        .port = port,
                                        .has_sparse_pings = true,
                                        .handle_frame = count_items,
                                        .data = keeper };

  return local_mesh_open (&options);
}

static int
count_fleet_items (const struct fleet_keeper *keepers)
{
  int items = 0;

  for (int i = 0; i < FLEET_KEEPERS; i++)
    items += keepers[i].items;
  return items;
}

/* In a fleet of 36 keepers, a turn costs messages to its program's keepers
   only, one in each of six data centres.  */
static void
test_large_fleet (void)
{
  static const char *const centres[]
      = { "dc-a", "dc-b", "dc-c", "dc-d", "dc-e", "dc-f" };
  static char names[FLEET_KEEPERS][8];
  static char addresses[FLEET_KEEPERS][24];
  struct host_location locations[FLEET_KEEPERS];
  struct mesh_host hosts[FLEET_KEEPERS];
  struct fleet_keeper keepers[FLEET_KEEPERS] = { 0 };
  struct ledger_reservation *reservation;
  struct fixture fixture;

  fixture_open (&fixture);
  for (int i = 0; i < FLEET_KEEPERS; i++)
    {
      snprintf (names[i], sizeof names[i], "k%d", i);
      snprintf (addresses[i], sizeof addresses[i], "127.0.0.1:%d",
                FLEET_PORT + i);
      hosts[i] = (struct mesh_host){ names[i], addresses[i] };
      locations[i] = (struct host_location){ names[i], centres[i % (int)6] };
      keepers[i].mesh = open_fleet_mesh (
          &fixture, names[i], (uint16_t)(FLEET_PORT + i), &keepers[i]);
    }
  mesh_set_hosts (fixture.entry, hosts, FLEET_KEEPERS);
  ledger_set_keepers (fixture.ledger, locations, FLEET_KEEPERS);
  reservation = ledger_reserve (fixture.ledger, PROGRAM, BUDGET, 10,
                                handle_verdict, &fixture);
  for (int i = 0;
       i < MAX_LOOP_ITERATIONS && count_fleet_items (keepers) < FLEET_REPLICAS;
       i++)
    ev_run (fixture.loop, EVRUN_ONCE);
  for (int i = 0; i < 200; i++)
    ev_run (fixture.loop, EVRUN_NOWAIT);
  CU_ASSERT_EQUAL (count_fleet_items (keepers), FLEET_REPLICAS);
  for (int c = 0; c < 6; c++)
    {
      int items = 0;

      for (int i = c; i < FLEET_KEEPERS; i += 6)
        items += keepers[i].items;
      CU_ASSERT_EQUAL (items, 1);
    }
  ledger_settle (reservation, 0);
  for (int i = 0; i < FLEET_KEEPERS; i++)
    mesh_destroy (keepers[i].mesh);
  fixture_close (&fixture);
}

CU_TestInfo ledger_tests[] = {
  { "turns exhaust a budget", test_turns_exhaust_budget },
  { "an unused program is dropped", test_unused_program_is_dropped },
  { "a refused turn does not begin the program",
    test_refused_turn_is_not_first },
  { "keepers are added while a turn waits", test_keepers_added_while_waiting },
  { "a large fleet sends to a program's keepers only", test_large_fleet },
  { "a dropped program stays charged", test_dropped_program_stays_charged },
  CU_TEST_INFO_NULL
};
