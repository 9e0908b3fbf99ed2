#include "common/id.h"
#include "ledger/item.h"
#include "ledger/ledger.h"
#include "suites.h"
#include <string.h>

enum
{
  MAX_LOOP_ITERATIONS = 20000,
  ENTRY_PORT = 23911,
  KEEPER_PORT = 23912,
  PROGRAM = 7,
  BUDGET = 150,
  RETENTION_MS = 1000,
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

static void
handle_down (void *data, const char *host)
{
}

static struct mesh *
open_mesh (struct fixture *fixture, const char *name, uint16_t port,
           mesh_frame_handler *handle)
{
  const struct mesh_host hosts[]
      = { { "e", "127.0.0.1:23911" }, { "k", "127.0.0.1:23912" } };
  struct mesh_options options = { .loop = fixture->loop,
                                  .host = name,
                                  .data_centre = "dc",
                                  .process = port,
                                  .listen_address = "127.0.0.1",
                                  .listen_port = port,
                                  .keyring = &fixture->keyring,
                                  .handle_frame = handle,
                                  .handle_down = handle_down,
                                  .data = fixture };
  struct error error;
  struct mesh *mesh = mesh_create (&options, &error);

  CU_ASSERT_PTR_NOT_NULL_FATAL (mesh);
  mesh_set_hosts (mesh, hosts, 2);
  return mesh;
}

static void
fixture_open (struct fixture *fixture)
{
  struct ledger_options options = { .retention_ms = RETENTION_MS };
  struct strings keepers = { 0 };

  *fixture = (struct fixture){ .loop = ev_loop_new (EVFLAG_AUTO) };
  fixture->keyring.count = 1;
  fixture->keyring.keys[0].id = 1;
  fixture->entry = open_mesh (fixture, "e", ENTRY_PORT, handle_entry_frame);
  fixture->keeper = open_mesh (fixture, "k", KEEPER_PORT, handle_keeper_frame);
  options.loop = fixture->loop;
  options.mesh = fixture->entry;
  fixture->ledger = ledger_create (&options);
  strings_add (&keepers, "k");
  ledger_set_keepers (fixture->ledger, &keepers);
  strings_release (&keepers);
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
  static const char *const names[] = { "k1", "k2", "k3", "k4", "k5", "k6" };
  struct fixture fixture;
  struct strings keepers = { 0 };
  struct ledger_reservation *reservation;

  fixture_open (&fixture);
  fixture.verdict = -1;
  reservation = ledger_reserve (fixture.ledger, PROGRAM, BUDGET, BUDGET,
                                handle_verdict, &fixture);
  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    strings_add (&keepers, names[i]);
  ledger_set_keepers (fixture.ledger, &keepers);
  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    inject_answer (&fixture, names[i], ledger_reservation_id (reservation));
  for (int i = 0; i < MAX_LOOP_ITERATIONS && fixture.verdict < 0; i++)
    ev_run (fixture.loop, EVRUN_ONCE);
  CU_ASSERT_EQUAL (fixture.verdict, CHARGES_UNDECIDED);
  ledger_settle (reservation, 0);
  strings_release (&keepers);
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

CU_TestInfo ledger_tests[] = {
  { "turns exhaust a budget", test_turns_exhaust_budget },
  { "an unused program is dropped", test_unused_program_is_dropped },
  { "a refused turn does not begin the program",
    test_refused_turn_is_not_first },
  { "keepers are added while a turn waits", test_keepers_added_while_waiting },
  { "a dropped program stays charged", test_dropped_program_stays_charged },
  CU_TEST_INFO_NULL
};
