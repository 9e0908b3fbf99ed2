#include "common/id.h"
#include "ledger/item.h"
#include "ledger/ledger.h"
#include "suites.h"
#include <string.h>

enum
{
  MAX_TURNS = 20000,
  ENTRY_PORT = 23911,
  KEEPER_PORT = 23912,
  PROGRAM = 7,
  BUDGET = 150,
  RETENTION_MS = 1000,
};

/* An entry host's ledger and a keeper that answers from memory. */
struct scene
{
  struct ev_loop *loop;
  struct keyring keyring;
  struct mesh *entry;
  struct mesh *keeper;
  struct ledger *ledger;
  struct charges kept; /* of the one program */
  int writes;          /* items that the keeper got */
  int verdict;         /* of the newest turn; negative until it comes */
  int64_t known;
};

static void
handle_entry_frame (void *data, const char *host, const Peer__Frame *frame)
{
  struct scene *scene = data;

  ledger_handle_frame (scene->ledger, host, frame);
}

static void
answer (struct scene *scene, const char *host, uint64_t id)
{
  Peer__LedgerItem items[8];
  Peer__LedgerItem *list[8];
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__LedgerAnswers answers = PEER__LEDGER_ANSWERS__INIT;
  Peer__LedgerAnswer answer = PEER__LEDGER_ANSWER__INIT;
  Peer__LedgerAnswer *only = &answer;

  for (size_t i = 0; i < scene->kept.count && i < 8; i++)
    {
      ledger_item_set (&items[i], PROGRAM, &scene->kept.entries[i]);
      list[i] = &items[i];
    }
  answer.id = id;
  answer.entries = list;
  answer.n_entries = scene->kept.count;
  answers.answers = &only;
  answers.n_answers = 1;
  frame.body_case = PEER__FRAME__BODY_LEDGER_ANSWERS;
  frame.ledger_answers = &answers;
  mesh_send (scene->keeper, host, &frame);
}

static void
handle_keeper_frame (void *data, const char *host, const Peer__Frame *frame)
{
  struct scene *scene = data;

  if (frame->body_case != PEER__FRAME__BODY_LEDGER_WRITE)
    return;
  for (size_t i = 0; i < frame->ledger_write->n_items; i++)
    {
      const Peer__LedgerItem *item = frame->ledger_write->items[i];
      struct charge charge = ledger_item_charge (item);

      scene->writes++;
      charges_merge (&scene->kept, &charge);
      if (item->id)
        answer (scene, host, item->id);
    }
}

static void
handle_down (void *data, const char *host)
{
}

static struct mesh *
open_mesh (struct scene *scene, const char *name, uint16_t port,
           mesh_frame_handler *handle)
{
  const struct mesh_host hosts[]
      = { { "e", "127.0.0.1:23911" }, { "k", "127.0.0.1:23912" } };
  struct mesh_options options = { .loop = scene->loop,
                                  .host = name,
                                  .data_centre = "dc",
                                  .process = port,
                                  .listen_address = "127.0.0.1",
                                  .listen_port = port,
                                  .keyring = &scene->keyring,
                                  .handle_frame = handle,
                                  .handle_down = handle_down,
                                  .data = scene };
  struct error error;
  struct mesh *mesh = mesh_create (&options, &error);

  CU_ASSERT_PTR_NOT_NULL_FATAL (mesh);
  mesh_set_hosts (mesh, hosts, 2);
  return mesh;
}

static void
scene_open (struct scene *scene)
{
  struct ledger_options options = { .retention_ms = RETENTION_MS };
  struct strings keepers = { 0 };

  *scene = (struct scene){ .loop = ev_loop_new (EVFLAG_AUTO) };
  scene->keyring.count = 1;
  scene->keyring.keys[0].id = 1;
  scene->entry = open_mesh (scene, "e", ENTRY_PORT, handle_entry_frame);
  scene->keeper = open_mesh (scene, "k", KEEPER_PORT, handle_keeper_frame);
  options.loop = scene->loop;
  options.mesh = scene->entry;
  scene->ledger = ledger_create (&options);
  strings_add (&keepers, "k");
  ledger_set_keepers (scene->ledger, &keepers);
  strings_release (&keepers);
}

static void
scene_close (struct scene *scene)
{
  ledger_destroy (scene->ledger);
  mesh_destroy (scene->entry);
  mesh_destroy (scene->keeper);
  charges_release (&scene->kept);
  ev_loop_destroy (scene->loop);
}

static void
handle_verdict (void *data, enum charges_verdict verdict, int64_t known)
{
  struct scene *scene = data;

  scene->verdict = (int)verdict;
  scene->known = known;
}

static struct ledger_turn *
reserve (struct scene *scene, int64_t tokens)
{
  struct ledger_turn *turn;

  scene->verdict = -1;
  turn = ledger_reserve (scene->ledger, PROGRAM, BUDGET, tokens,
                         handle_verdict, scene);
  for (int i = 0; i < MAX_TURNS && scene->verdict < 0; i++)
    ev_run (scene->loop, EVRUN_ONCE);
  return turn;
}

/* Settles the turn and waits until the keeper has been told.  */
static void
settle (struct scene *scene, struct ledger_turn *turn, int64_t used)
{
  int before = scene->writes;

  ledger_settle (turn, used);
  ledger_tick (scene->ledger, clock_now_ms ());
  for (int i = 0; i < MAX_TURNS && scene->writes == before; i++)
    ev_run (scene->loop, EVRUN_ONCE);
}

static void
test_turns_fill_a_budget (void)
{
  struct scene scene;

  scene_open (&scene);
  settle (&scene, reserve (&scene, 100), 60);
  CU_ASSERT_EQUAL (scene.verdict, CHARGES_GRANTED);
  CU_ASSERT_TRUE (ledger_is_settled (scene.ledger));
  ledger_settle (reserve (&scene, 100), 0);
  CU_ASSERT_EQUAL (scene.verdict, CHARGES_SPENT);
  CU_ASSERT_EQUAL (scene.known, 160);
  scene_close (&scene);
}

/* Also where no other program is settled meanwhile.  */
static void
test_unused_program_is_forgotten (void)
{
  struct scene scene;

  scene_open (&scene);
  settle (&scene, reserve (&scene, 100), 90);
  CU_ASSERT_TRUE (ledger_has_begun (scene.ledger, PROGRAM));
  ledger_tick (scene.ledger, clock_now_ms () + 100 * RETENTION_MS);
  CU_ASSERT_FALSE (ledger_has_begun (scene.ledger, PROGRAM));
  scene_close (&scene);
}

/* A turn was refused before it ran: the next one still begins the program.  */
static void
test_refused_turn_begins_nothing (void)
{
  struct scene scene;

  scene_open (&scene);
  settle (&scene, reserve (&scene, 100), 0);
  CU_ASSERT_EQUAL (scene.known, 100);
  CU_ASSERT_FALSE (ledger_has_begun (scene.ledger, PROGRAM));
  ledger_settle (reserve (&scene, 100), 10);
  CU_ASSERT_TRUE (ledger_has_begun (scene.ledger, PROGRAM));
  scene_close (&scene);
}

static void
answer_as (struct scene *scene, const char *keeper, uint64_t id)
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
  ledger_handle_frame (scene->ledger, keeper, &frame);
}

/* Keepers are added while a turn waits for their answers.  Their word is not
   enough for the larger part of the budget, so it waits for all.  */
static void
test_keepers_are_added_meanwhile (void)
{
  static const char *const names[] = { "k1", "k2", "k3", "k4", "k5", "k6" };
  struct scene scene;
  struct strings keepers = { 0 };
  struct ledger_turn *turn;

  scene_open (&scene);
  scene.verdict = -1;
  turn = ledger_reserve (scene.ledger, PROGRAM, BUDGET, BUDGET, handle_verdict,
                         &scene);
  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    strings_add (&keepers, names[i]);
  ledger_set_keepers (scene.ledger, &keepers);
  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    answer_as (&scene, names[i], ledger_turn_id (turn));
  for (int i = 0; i < MAX_TURNS && scene.verdict < 0; i++)
    ev_run (scene.loop, EVRUN_ONCE);
  CU_ASSERT_EQUAL (scene.verdict, CHARGES_UNKNOWN);
  ledger_settle (turn, 0);
  strings_release (&keepers);
  scene_close (&scene);
}

/* The keeper still has what this host charged before: other hosts may have
   gone on with the program.  */
static void
test_program_that_was_forgotten_is_charged (void)
{
  struct scene scene;

  scene_open (&scene);
  settle (&scene, reserve (&scene, 100), 90);
  ledger_tick (scene.ledger, clock_now_ms () + 100 * RETENTION_MS);
  CU_ASSERT_FALSE (ledger_has_begun (scene.ledger, PROGRAM));
  ledger_settle (reserve (&scene, 100), 0);
  CU_ASSERT_EQUAL (scene.verdict, CHARGES_SPENT);
  CU_ASSERT_EQUAL (scene.known, 190);
  scene_close (&scene);
}

CU_TestInfo ledger_tests[]
    = { { "turns fill a budget", test_turns_fill_a_budget },
        { "an unused program is forgotten", test_unused_program_is_forgotten },
        { "a refused turn begins nothing", test_refused_turn_begins_nothing },
        { "keepers are added meanwhile", test_keepers_are_added_meanwhile },
        { "a program that was forgotten is charged",
          test_program_that_was_forgotten_is_charged },
        CU_TEST_INFO_NULL };
