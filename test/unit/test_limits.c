#include "common/buf.h"
#include "common/id.h"
#include "request/limits.h"
#include "suites.h"
#include <string.h>

enum
{
  WINDOW_MS = 500,
  RATE_PER_S = 40,
  BURST = 20, /* 40 tokens a window in all */
  WINDOW_TOKENS = RATE_PER_S * WINDOW_MS / 1000 + BURST,
  PATIENCE_MS = 5000, /* many windows */
};

static const char customer_name[] = "c";

/* The only host of the fleet, which holds every part itself. */
struct scene
{
  struct ev_loop *loop;
  struct limits *limits;
  struct routing *routing;
  struct limits_wait *wait;
  int admitted;
  int refused;
};

static void
open_scene (struct scene *scene)
{
  static const struct host_location self = { .name = "h", .data_centre = "d" };
  struct limits_options options
      = { .host = "h", .data_centre = "d", .window_ms = WINDOW_MS };

  *scene = (struct scene){ .loop = ev_loop_new (EVFLAG_AUTO) };
  options.loop = scene->loop;
  scene->limits = limits_create (&options);
  limits_set_hosts (scene->limits, &self, 1);
  scene->routing = routing_create ();
  scene->routing->customers = xcalloc (1, sizeof *scene->routing->customers);
  scene->routing->customers[0]
      = (struct customer){ .name = xstrdup (customer_name),
                           .rate_milli = RATE_PER_S * 1000,
                           .burst = BURST };
  scene->routing->customer_count = 1;
  limits_apply (scene->limits, scene->routing);
  /* Tokens of a part that has just come here are those that the rate brings.
   */
  ev_sleep (2.0 * WINDOW_MS / 1000);
}

static void
close_scene (struct scene *scene)
{
  limits_destroy (scene->limits);
  routing_unref (scene->routing);
  ev_loop_destroy (scene->loop);
}

static void
note_end (void *data, bool admitted)
{
  struct scene *scene = data;

  scene->wait = NULL;
  if (admitted)
    scene->admitted++;
  else
    scene->refused++;
  ev_break (scene->loop, EVBREAK_ALL);
}

/* Asks for a token and waits for the verdict.  */
static bool
admit (struct scene *scene, bool begins, int64_t patience_ms)
{
  int before = scene->admitted;
  enum limits_verdict verdict
      = limits_admit (scene->limits, &scene->routing->customers[0], begins,
                      patience_ms, note_end, scene, &scene->wait);

  if (verdict != LIMITS_ASKING)
    return verdict == LIMITS_ADMITTED;
  ev_run (scene->loop, 0);
  return scene->admitted > before;
}

static void
use_up (struct scene *scene)
{
  for (int i = 0; i < WINDOW_TOKENS; i++)
    CU_ASSERT_TRUE (admit (scene, false, 0));
}

/* One customer sends more than its rate: a program that is under way waits for
   the next token and is not broken off.  */
static void
test_program_under_way_waits (void)
{
  struct scene scene;

  open_scene (&scene);
  use_up (&scene);
  CU_ASSERT_TRUE (admit (&scene, false, PATIENCE_MS));
  close_scene (&scene);
}

/* A request whose time is over before the next token is refused at once.  */
static void
test_waiting_in_vain (void)
{
  struct scene scene;
  int64_t started_ms;

  open_scene (&scene);
  use_up (&scene);
  started_ms = clock_now_ms ();
  CU_ASSERT_FALSE (admit (&scene, false, WINDOW_MS / 10));
  CU_ASSERT (
      limits_retry_ms (scene.limits, &scene.routing->customers[0], false)
      > WINDOW_MS / 10);
  CU_ASSERT (clock_now_ms () - started_ms < WINDOW_MS);
  close_scene (&scene);
}

/* A burst of programs that begin: some are refused while there are tokens
   left, which those that have begun will need.  */
static void
test_beginning_programs_leave_tokens (void)
{
  struct scene scene;
  int begun = 0;

  open_scene (&scene);
  for (int i = 0; i < WINDOW_TOKENS; i++)
    begun += admit (&scene, true, 0);
  CU_ASSERT (begun >= 2);
  CU_ASSERT (begun <= WINDOW_TOKENS / 4);
  for (int i = begun; i < WINDOW_TOKENS; i++)
    CU_ASSERT_TRUE (admit (&scene, false, 0));
  close_scene (&scene);
}

/* A request that waits is given up by its caller.  */
static void
test_wait_is_cancelled (void)
{
  struct scene scene;

  open_scene (&scene);
  use_up (&scene);
  CU_ASSERT_EQUAL (limits_admit (scene.limits, &scene.routing->customers[0],
                                 false, PATIENCE_MS, note_end, &scene,
                                 &scene.wait),
                   LIMITS_ASKING);
  limits_cancel (scene.wait);
  CU_ASSERT_TRUE (admit (&scene, false, PATIENCE_MS));
  CU_ASSERT_EQUAL (scene.admitted, 1);
  close_scene (&scene);
}

CU_TestInfo limits_tests[] = {
  { "a program under way waits for a token", test_program_under_way_waits },
  { "nobody waits in vain", test_waiting_in_vain },
  { "beginning programs leave tokens", test_beginning_programs_leave_tokens },
  { "a wait is cancelled", test_wait_is_cancelled },
  CU_TEST_INFO_NULL,
};
